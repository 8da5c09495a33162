//! Slow start of a process run. A new run has to publish all its entries and lacks all others; if a whole
//! fleet starts at once, this would cause a burst of traffic. Until it has published and received everything
//! once, a run sends at most [`BEAT_TRAFFIC_FACTOR`] times what heartbeats without entries take.

use super::MIN_BEAT_BYTES;

/// Factor on the traffic of heartbeats without entries: the bound is 2, less a margin for early heartbeats.
const BEAT_TRAFFIC_FACTOR: f64 = 1.85;
/// Share of that for entries in heartbeats; the rest is for requests and answers.
const ENTRY_SHARE: f64 = 0.55;
/// Bytes per second that a run may always send. A fleet of four takes little more, where slow start would
/// gain nothing.
const MIN_BYTES_PER_S: f64 = 200.0;
/// Slow start lasts at least this many heartbeats: by then the entries of others are known and the gossip
/// payloads have published theirs.
const MIN_BEATS: u32 = 4;
/// Slow start ends after this many heartbeats: a request that nobody can answer would otherwise prolong it
/// for ever.
const MAX_BEATS: u32 = 40;
/// Bytes of a heartbeat before any other member is known.
const INITIAL_BEAT_BYTES: usize = 24;

/// Progress of the slow start.
#[derive(Debug, Clone, PartialEq)]
pub struct SlowStart {
    beats: u32,
    ended: bool,
    /// Bytes of the latest heartbeat without entries, and such heartbeats per second.
    quiet_bytes: usize,
    beats_per_s: f64,
}

impl SlowStart {
    /// Starts for a run that sends `beats_per_s` heartbeat messages per second, counting receivers.
    pub fn new(beats_per_s: f64) -> SlowStart {
        SlowStart { beats: 0, ended: false, quiet_bytes: INITIAL_BEAT_BYTES, beats_per_s }
    }

    fn limited_rate(&self) -> Option<f64> {
        let rate = BEAT_TRAFFIC_FACTOR * self.beats_per_s * self.quiet_bytes as f64;
        (!self.ended && rate > MIN_BYTES_PER_S).then_some(rate)
    }

    /// Called when a heartbeat is due that takes `quiet` bytes without entries; `open` says that entries wait
    /// to be sent or are missing. Returns the bytes that it may take at least, whatever else was sent.
    pub fn min_beat_bytes(&mut self, quiet: usize, open: bool) -> usize {
        self.beats = self.beats.saturating_add(1);
        self.quiet_bytes = quiet.min(MIN_BEAT_BYTES);
        self.ended |= self.beats > MAX_BEATS || self.beats > MIN_BEATS && !open;
        // Heartbeats with and without room for entries alternate, so that neither entries nor repairs starve
        // the other.
        let alternation = ((MIN_BEAT_BYTES - self.quiet_bytes) as f64
            / (ENTRY_SHARE * self.quiet_bytes as f64))
            .ceil()
            .max(1.0) as u32;
        match self.limited_rate().is_none() || self.beats.is_multiple_of(alternation) {
            true => MIN_BEAT_BYTES,
            false => self.quiet_bytes,
        }
    }

    /// Bytes per second, given the `usual` rate after slow start.
    pub fn rate(&self, usual: f64) -> f64 {
        match self.ended {
            true => usual,
            false => usual.min(self.limited_rate().unwrap_or(MIN_BYTES_PER_S)),
        }
    }

    /// Bytes per receiver to reserve for the next heartbeat.
    pub fn reserved_bytes(&self) -> usize {
        match self.limited_rate() {
            Some(_) => self.quiet_bytes,
            None => MIN_BEAT_BYTES,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn slow_start_ends_when_all_is_exchanged_or_after_the_limit() {
        let mut start = SlowStart::new(10.0);
        let least: Vec<usize> = (0..6).map(|n| start.min_beat_bytes(56, n < 5)).collect();
        assert_eq!(least, [56, MIN_BEAT_BYTES, 56, MIN_BEAT_BYTES, 56, MIN_BEAT_BYTES]);
        assert_eq!((start.rate(1_680.0), start.reserved_bytes()), (1_680.0, MIN_BEAT_BYTES));
        assert_eq!(start.min_beat_bytes(56, true), MIN_BEAT_BYTES, "slow start does not begin again");
        let mut never = SlowStart::new(10.0);
        assert!((0..MAX_BEATS).all(|_| never.min_beat_bytes(56, true) <= MIN_BEAT_BYTES));
        assert_eq!((never.rate(1_680.0), never.reserved_bytes()), (1_036.0, 56));
        never.min_beat_bytes(56, true);
        assert_eq!(never.rate(1_680.0), 1_680.0);
        // Three members: what they send is too little to be limited.
        let mut small = SlowStart::new(1.0);
        assert_eq!(
            (small.min_beat_bytes(40, true), small.rate(168.0), small.rate(300.0)),
            (MIN_BEAT_BYTES, 168.0, MIN_BYTES_PER_S)
        );
    }
}
