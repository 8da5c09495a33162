//! Configuration of the gossip between couriers.

use super::codec;
use crate::api::Micros;

/// Gossip parameters, from the settings or an administrator.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The fleet's identifier; see [`cluster`].
    pub cluster: u64,
    /// Longest datagram sent, 160 to 256 bytes: the longest allowed less the frame around it.
    pub max_datagram_bytes: usize,
    /// Heartbeat interval.
    pub beat_interval: Micros,
    /// Most bytes per second that heartbeats take, over all receivers; larger fleets send heartbeats less
    /// often.
    pub max_beat_bytes_per_s: f64,
    /// Bytes that each handled message adds to the traffic budget, over all receivers.
    pub bytes_per_message: f64,
    /// Most gossip messages per second, counting each receiver; raised to what heartbeats need.
    pub messages_per_s: f64,
    /// Entries that are set within this time are sent together.
    pub batch_delay: Micros,
    /// How long entries of a previous run stay valid where the new run has not replaced them.
    pub previous_run_ttl: Micros,
    /// Most entries of other members, tombstones included.
    pub max_peer_entries: usize,
}

impl Config {
    /// The default configuration for this fleet.
    pub fn new(cluster: u64) -> Config {
        Config {
            cluster,
            max_datagram_bytes: codec::MAX_DATAGRAM_BYTES - 6,
            beat_interval: Micros(2_000_000),
            max_beat_bytes_per_s: 6_000.0,
            bytes_per_message: 32.0,
            messages_per_s: 500.0,
            batch_delay: Micros(50_000),
            previous_run_ttl: Micros(30_000_000),
            max_peer_entries: 16_384,
        }
    }
}
