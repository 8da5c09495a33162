//! What a destination allows beside its work: so many calls a second, evenly or counted in windows, or so many at once.

use crate::scenario::Limit;
use indigohold::Micros;

/// A rate limit saves up calls for so long, one call at least.
const BURST: f64 = 0.25;

/// The count of one destination.
#[derive(Debug, Clone)]
pub struct Meter {
    limit: Limit,
    /// Calls a second, where the limit is one.
    rate: f64,
    at: Micros,
    tokens: f64,
    /// Since when the window counts, and what it has counted.
    window: (Micros, u64),
    out: usize,
}

impl Meter {
    /// For a destination that is asked so many calls a second at load 1.
    pub fn new(limit: Limit, asked: f64, now: Micros) -> Meter {
        let rate = match limit {
            Limit::Rate(times) | Limit::Window(times, _) => times * asked,
            Limit::None | Limit::Concurrency(_) => 0.0,
        };
        Meter { limit, rate, at: now, tokens: 1.0, window: (now, 0), out: 0 }
    }

    /// Calls a second that it allows, where that is its limit.
    pub fn rate(&self) -> Option<f64> {
        matches!(self.limit, Limit::Rate(_) | Limit::Window(..)).then_some(self.rate)
    }

    /// The limit becomes so many times what it is.
    pub fn times(&mut self, times: f64) {
        self.rate *= times;
        if let Limit::Concurrency(calls) = &mut self.limit {
            *calls = ((*calls as f64 * times).round() as usize).max(1);
        }
    }

    /// A call comes in; an error says after how long there is room again.
    pub fn take(&mut self, now: Micros, refusals_count: bool, service: f64) -> Result<(), Micros> {
        match self.limit {
            Limit::None => {}
            Limit::Rate(_) => {
                let most = (self.rate * BURST).max(1.0);
                self.tokens = (self.tokens + (now - self.at).secs() * self.rate).min(most);
                self.at = now;
                let taken = self.tokens >= 1.0;
                if taken || refusals_count {
                    // Danger: refused calls that count without end would shut it for ever.
                    self.tokens = (self.tokens - 1.0).max(-most);
                }
                if !taken {
                    return Err(Micros::from_secs((1.0 - self.tokens) / self.rate.max(1e-6)));
                }
            }
            Limit::Window(_, span) => {
                if self.window.0 + span <= now {
                    let passed = (now - self.window.0).0 / span.0.max(1);
                    self.window = (self.window.0 + Micros(passed * span.0), 0);
                }
                let most = (self.rate * span.secs()).max(1.0) as u64;
                let taken = self.window.1 < most;
                if taken || refusals_count {
                    self.window.1 += 1;
                }
                if !taken {
                    return Err(self.window.0 + span - now);
                }
            }
            Limit::Concurrency(calls) => {
                if self.out >= calls {
                    return Err(Micros::from_secs(service));
                }
            }
        }
        self.out += 1;
        Ok(())
    }

    /// A call that was taken is over.
    pub fn done(&mut self) {
        self.out = self.out.saturating_sub(1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn taken(limit: Limit, every_us: u64, span_us: u64) -> usize {
        let mut meter = Meter::new(limit, 10.0, Micros(0));
        (0..span_us)
            .step_by(every_us as usize)
            .filter(|at| meter.take(Micros(*at), false, 0.1).is_ok())
            .count()
    }

    #[test]
    fn a_rate_is_kept_however_much_is_asked() {
        let counts: Vec<usize> =
            [1_000, 7_000, 50_000].iter().map(|every| taken(Limit::Rate(1.0), *every, 10_000_000)).collect();
        assert!(counts.iter().all(|n| (95..=103).contains(n)), "{counts:?}");
    }

    #[test]
    fn a_window_counts_from_its_beginning_and_tells_when_the_next_begins() {
        let mut meter = Meter::new(Limit::Window(1.0, Micros(1_000_000)), 3.0, Micros(0));
        let take = |meter: &mut Meter, at| meter.take(Micros(at), false, 0.1);
        assert!((0..3).all(|n| take(&mut meter, n).is_ok()));
        assert_eq!(take(&mut meter, 400_000), Err(Micros(600_000)));
        assert!(take(&mut meter, 1_000_000).is_ok());
    }

    #[test]
    fn calls_at_once_are_bounded_until_they_are_done() {
        let mut meter = Meter::new(Limit::Concurrency(2), 3.0, Micros(0));
        assert!(meter.take(Micros(0), false, 0.1).is_ok() && meter.take(Micros(0), false, 0.1).is_ok());
        assert!(meter.take(Micros(1), false, 0.1).is_err());
        meter.done();
        assert!(meter.take(Micros(2), false, 0.1).is_ok());
    }
}
