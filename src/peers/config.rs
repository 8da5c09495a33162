//! What the ground is set up with.

use super::codec;
use crate::api::Micros;

/// What the settings or the operators settle.
#[derive(Debug, Clone, PartialEq)]
pub struct Config {
    /// The fleet's name: [`cluster`].
    pub cluster: u64,
    /// What is sent has so many bytes at most, 160 to 256: the longest datagram less what a frame around it takes.
    pub max_datagram_bytes: usize,
    /// How often each member says that it is there.
    pub beat_interval: Micros,
    /// Beats take so many bytes a second at most, over all receivers: with more members they come less often.
    pub max_beat_bytes_per_s: f64,
    /// Bytes that each message handled adds to what may be sent, over all receivers.
    pub bytes_per_message: f64,
    /// Notes a second, each receiver counted; raised to what beats need.
    pub messages_per_s: f64,
    /// What is set within such a time goes out together.
    pub batch_delay: Micros,
    /// For so long what a former life said goes on standing where the new one says nothing of it.
    pub previous_run_ttl: Micros,
    /// Others' entries in all, dropped ones included.
    pub max_peer_entries: usize,
}

impl Config {
    /// The usual figures, for this fleet.
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
