//! How many datagrams one neighbour may have read. No I/O, no clock.

use crate::api::Micros;

/// Datagrams a second that are read of one neighbour, and how many at once after a rest. A note is due when an endpoint
/// comes back, so this is far more than an honest one sends.
const PER_S: f64 = 32.0;
const BURST: f64 = 64.0;

/// The room that one neighbour has left.
#[derive(Debug, Clone, Copy)]
pub struct Rate {
    per_s: f64,
    burst: f64,
    left: f64,
    at: Micros,
}

impl Default for Rate {
    fn default() -> Rate {
        Rate::beside(0.0)
    }
}

impl Rate {
    /// Where a neighbour may send so many notes a second besides, of which it may save up two seconds'.
    pub fn beside(notes: f64) -> Rate {
        let burst = BURST + 2.0 * notes;
        Rate { per_s: PER_S + notes, burst, left: burst, at: Micros(0) }
    }

    /// Takes one; `false`: there is none. Time that goes back gives nothing.
    pub fn take(&mut self, now: Micros) -> bool {
        let passed = now.max(self.at) - self.at;
        (self.left, self.at) = ((self.left + passed.secs() * self.per_s).min(self.burst), now.max(self.at));
        let there = self.left >= 1.0;
        self.left -= if there { 1.0 } else { 0.0 };
        there
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_gets_its_burst_and_then_its_rate() {
        let mut rate = Rate::default();
        let taken = |rate: &mut Rate, at: u64| (0..1000).filter(|_| rate.take(Micros(at))).count();
        assert_eq!(taken(&mut rate, 5_000_000), 64);
        assert_eq!(taken(&mut rate, 4_000_000), 0);
        assert_eq!(taken(&mut rate, 6_000_000), 32);
        assert_eq!(taken(&mut rate, 3_600_000_000), 64);
        let mut rate = Rate::beside(100.0);
        assert_eq!((taken(&mut rate, 5_000_000), taken(&mut rate, 6_000_000)), (264, 132));
    }
}
