//! Time values and the ids of messages, endpoints and peers.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use std::ops::{Add, Sub};

/// A point in time or a duration, in whole microseconds. Additions and subtractions saturate.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Micros(pub u64);

impl Micros {
    /// The value in seconds, for rate calculations.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// Converts from seconds. Negative values and NaN become 0.
    pub fn from_secs(secs: f64) -> Micros {
        Micros((secs * 1e6) as u64)
    }
    /// The duration multiplied by a factor.
    pub fn scale(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A message; an id is never reused.
    MessageId(u64);
    /// A partner's destination.
    DestinationId(u16);
    /// A class of message: its position in [`Settings::classes`](super::Settings::classes).
    ClassId(u16);
    /// A tenant: its position in [`Settings::tenants`](super::Settings::tenants).
    TenantId(u16);
    /// A zone. [`ZoneId::of_name`] derives it from the zone's name, whether the settings list that name or not.
    ZoneId(u64);
    /// A kind of destination: its position in [`Settings::kinds`](super::Settings::kinds).
    KindId(u8);
    /// An ordering key: messages with one key are delivered in order if their class requires it.
    Key(u64);
    /// The number of another sender.
    PeerId(u16);
    /// The token of a timer, chosen by the sender.
    TimerToken(u64);
}

impl ZoneId {
    /// The id of the zone with this name, the same in every process and on every courier; `None` if the name is empty.
    pub fn of_name(name: &str) -> Option<ZoneId> {
        let digest = Sha256::digest(name.as_bytes());
        let [a, b, c, d, e, f, g, h, ..] = <[u8; 32]>::from(digest);
        (!name.is_empty()).then_some(ZoneId(u64::from_le_bytes([a, b, c, d, e, f, g, h])))
    }
}

impl KindId {
    /// A kind that the settings do not list: one message in a call, and no separate routes.
    pub const UNLISTED: KindId = KindId(u8::MAX);
}

/// One endpoint of a destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointId {
    /// The IPv4 address in network byte order.
    pub addr: [u8; 4],
    /// The TCP port.
    pub port: u16,
}

impl EndpointId {
    /// Encodes address and port as six bytes in network byte order.
    pub fn bytes(self) -> [u8; 6] {
        let ([a, b, c, d], [p, q]) = (self.addr, self.port.to_be_bytes());
        [a, b, c, d, p, q]
    }

    /// Decodes the output of [`EndpointId::bytes`]; `None` if the length differs.
    pub fn from_bytes(bytes: &[u8]) -> Option<EndpointId> {
        let [a, b, c, d, p, q] = <[u8; 6]>::try_from(bytes).ok()?;
        Some(EndpointId { addr: [a, b, c, d], port: u16::from_be_bytes([p, q]) })
    }
}

impl fmt::Display for EndpointId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let [a, b, c, d] = self.addr;
        write!(f, "{a}.{b}.{c}.{d}:{}", self.port)
    }
}

pub(crate) const SECOND: Micros = Micros(1_000_000);
