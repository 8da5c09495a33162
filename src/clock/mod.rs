//! The clock of a courier: the time since 1970 as it was read once on this machine, moved on by the monotonic clock. A step of the
//! wall clock moves nothing: not within a life, nor between two lives or the two processes of an upgrade, which all go on from one
//! [`anchor`]. `docs/design/clock.md` has the options that were weighed, and each use of the wall clock.

pub mod anchor;

use crate::api::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time as the courier counts it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// A clock that begins by the wall clock and knows of no other life.
    pub fn start() -> Clock {
        Clock::at(wall())
    }

    /// A clock that says this now.
    pub fn at(unix: Micros) -> Clock {
        Clock { start: Instant::now(), unix }
    }

    /// Now, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.unix + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// The moment on the monotonic clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.unix).0)
    }
}

/// The wall clock, in microseconds since 1970.
fn wall() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(unix.as_micros() as u64)
}
