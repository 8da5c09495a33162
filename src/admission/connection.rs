//! What connections are distinguished by: their state and their source.

use std::net::{IpAddr, Ipv6Addr};

/// State of a connection, by what its client has sent so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConnState {
    /// Connected, no byte received.
    Silent,
    /// Part of a request was received.
    #[serde(rename = "asking")]
    Receiving,
    /// A complete request is being answered.
    #[serde(rename = "served")]
    Answering,
    /// The last answer was sent, the client's end of stream is awaited.
    #[serde(rename = "parting")]
    Closing,
    /// The last request could not be used.
    #[serde(rename = "faulty")]
    BadRequest,
    /// Idle after one answered request.
    #[serde(rename = "once")]
    IdleAfterOne,
    /// Idle after more than one answered request.
    #[serde(rename = "steady")]
    IdleAfterMore,
}

impl ConnState {
    /// All states.
    pub const ALL: [ConnState; 7] = [
        ConnState::Silent,
        ConnState::Receiving,
        ConnState::Answering,
        ConnState::Closing,
        ConnState::BadRequest,
        ConnState::IdleAfterOne,
        ConnState::IdleAfterMore,
    ];
}

/// Origin of a connection: an IPv4 address, or the network part of an IPv6 address (its first 64 bits).
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(IpAddr);

impl Source {
    /// The source of an address.
    pub fn of(addr: IpAddr) -> Source {
        match addr.to_canonical() {
            IpAddr::V4(addr) => Source(IpAddr::V4(addr)),
            IpAddr::V6(addr) => {
                let network = u128::from(addr) & !u128::from(u64::MAX);
                Source(IpAddr::V6(Ipv6Addr::from(network)))
            }
        }
    }
}
