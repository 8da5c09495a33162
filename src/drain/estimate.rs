//! Estimates the remaining time of a drain from the rate at which messages ended recently, with an interval for its
//! uncertainty. The module reads no clock.

use crate::api::Micros;
use std::collections::VecDeque;

/// The window in which ends of messages are counted.
const WINDOW: Micros = Micros(10_000_000);
/// The maximum number of ends that are kept.
const MAX_ENDS: usize = 4096;
/// Half the width of the interval, in standard deviations of the count: it covers 19 of 20 cases.
const STANDARD_DEVIATIONS: f64 = 2.0;

/// The times at which messages ended recently.
#[derive(Debug, Clone, Default)]
pub struct RecentEnds {
    times: VecDeque<Micros>,
}

/// The estimated remaining time of a drain.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The most likely remaining time, in seconds.
    pub likely_s: f64,
    /// The lower end of the interval, in seconds.
    pub low_s: f64,
    /// The upper end of the interval, in seconds; infinite if too few messages have ended.
    pub high_s: f64,
}

impl RecentEnds {
    /// Records the end of a message.
    pub fn record(&mut self, now: Micros) {
        self.times.push_back(now);
        if self.times.len() > MAX_ENDS {
            self.times.pop_front();
        }
        self.remove_expired(now);
    }

    fn remove_expired(&mut self, now: Micros) {
        while self.times.front().is_some_and(|at| *at + WINDOW < now) {
            self.times.pop_front();
        }
    }

    /// Estimates the time until `left` more messages have ended, at the rate since `since`. Returns `None` if no message has
    /// ended since then.
    pub fn estimate(&mut self, now: Micros, since: Micros, left: u64) -> Option<Estimate> {
        self.remove_expired(now);
        let window_start = self
            .times
            .front()
            .copied()
            .filter(|_| self.times.len() == MAX_ENDS)
            .unwrap_or(now - WINDOW)
            .max(since);
        let count = self.times.iter().filter(|at| **at >= window_start).count() as f64;
        let window_s = (now - window_start).secs();
        if left == 0 {
            return Some(Estimate { likely_s: 0.0, low_s: 0.0, high_s: 0.0 });
        }
        if count < 1.0 || window_s <= 0.0 {
            return None;
        }
        let left = left as f64;
        let deviation = STANDARD_DEVIATIONS * count.sqrt();
        let remaining_s = |count: f64| left * window_s / count;
        let high_s = if count > deviation { remaining_s(count - deviation) } else { f64::INFINITY };
        Some(Estimate { likely_s: remaining_s(count), low_s: remaining_s(count + deviation), high_s })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn a_steady_rate_is_estimated_and_few_ends_give_no_upper_limit() {
        let mut ends = RecentEnds::default();
        assert_eq!(ends.estimate(Micros(S), Micros(0), 5), None);
        ends.record(Micros(S));
        let early = ends.estimate(Micros(2 * S), Micros(0), 10).unwrap();
        assert_eq!((early.likely_s, early.high_s), (20.0, f64::INFINITY));
        (0..1000).for_each(|n| ends.record(Micros(100 * S + n * 10_000)));
        let steady = ends.estimate(Micros(110 * S), Micros(0), 500).unwrap();
        assert!((steady.likely_s - 5.0).abs() < 0.1, "{steady:?}");
        assert!(steady.low_s > 4.5 && steady.high_s < 5.5, "{steady:?}");
        assert_eq!(ends.estimate(Micros(110 * S), Micros(0), 0).unwrap().likely_s, 0.0);
    }

    #[test]
    fn ends_before_the_drain_are_not_counted() {
        let mut ends = RecentEnds::default();
        (0..100).for_each(|n| ends.record(Micros(n * 50_000)));
        assert_eq!(ends.estimate(Micros(6 * S), Micros(6 * S), 10), None);
    }

    #[test]
    fn the_number_of_kept_ends_is_bounded() {
        let mut ends = RecentEnds::default();
        (0..100_000).for_each(|n| ends.record(Micros(n)));
        assert!(ends.times.len() <= MAX_ENDS);
        let fast = ends.estimate(Micros(100_000), Micros(0), 1000).unwrap();
        assert!((fast.likely_s - 0.001).abs() < 0.0001, "the rate is a million per second: {fast:?}");
    }
}
