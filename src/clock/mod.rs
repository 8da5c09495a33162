//! The courier's clock: Unix time, read once on this machine and advanced by the monotonic clock. A step of the wall clock
//! has no effect on it, neither within a process run nor between two runs or the two processes of an upgrade, because all of
//! them continue from one [`anchor`]. `docs/design/clock.md` describes the alternatives and each use of the wall clock.

pub mod anchor;

use crate::api::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that advances with the monotonic clock and shows Unix time.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// Creates a clock that starts at the wall clock's time, without an anchor from an earlier process run.
    pub fn start() -> Clock {
        Clock::at(wall())
    }

    /// Creates a clock that shows `unix` now.
    pub fn at(unix: Micros) -> Clock {
        Clock { start: Instant::now(), unix }
    }

    /// The current time, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.unix + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// Converts a time of this clock to the monotonic clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.unix).0)
    }
}

/// The wall clock's time, in microseconds since 1970.
fn wall() -> Micros {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Micros(unix.as_micros() as u64)
}
