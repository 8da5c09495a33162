//! Who wants what delivered, and when: the same for both engines, drawn from the same streams.

use crate::scenario::{Arrivals, Scenario};
use crate::streams::Streams;
use indigohold::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp, Poisson};
use rand_pcg::Pcg64Mcg;

/// Time is cut into steps of this length, in seconds, within which the rate counts as steady.
const STEP: f64 = 0.1;

/// One message that a client wants delivered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Wanted {
    /// Since the beginning.
    pub at: Micros,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its destination.
    pub dest: usize,
}

/// All that clients want, one after another.
pub struct Clients {
    scenario: Scenario,
    /// Sums of the destinations' shares.
    sums: Vec<f64>,
    arrivals: Pcg64Mcg,
    kinds: Pcg64Mcg,
    at: f64,
    /// Messages of the present clump that are still to come.
    clump: u64,
    replayed: usize,
}

impl Clients {
    /// The clients of a scenario.
    pub fn new(scenario: &Scenario, streams: Streams) -> Clients {
        let mut sum = 0.0;
        let sums = scenario.shares().into_iter().map(|share| {
            sum += share;
            sum
        });
        Clients {
            sums: sums.collect(),
            scenario: scenario.clone(),
            arrivals: streams.of("clients/arrivals"),
            kinds: streams.of("clients/kinds"),
            at: 0.0,
            clump: 0,
            replayed: 0,
        }
    }

    fn next_at(&mut self) -> Option<f64> {
        if let Arrivals::Replay(moments) = &self.scenario.clients.arrivals {
            let at = *moments.get(self.replayed)?;
            self.replayed += 1;
            return Some((at as f64 / 1e3).max(self.at));
        }
        if self.clump > 0 {
            self.clump -= 1;
            return Some(self.at);
        }
        let clump = match self.scenario.clients.arrivals {
            Arrivals::Bursty(mean) => mean,
            _ => 1.0,
        };
        let mut at = self.at;
        loop {
            if at > self.scenario.seconds {
                return None;
            }
            let rate = self.scenario.clients.rate * self.scenario.load_at(at) / clump;
            let ends = (at / STEP).floor() * STEP + STEP;
            let gap = Exp::new(rate).map_or(f64::INFINITY, |d| d.sample(&mut self.arrivals));
            // An exponential gap has no memory: past the step's end, the next step draws anew.
            if rate > 0.0 && at + gap < ends {
                at += gap;
                break;
            }
            at = ends + 1e-9;
        }
        if clump > 1.0 {
            self.clump = Poisson::new(clump - 1.0).map_or(0, |d| d.sample(&mut self.arrivals) as u64);
        }
        Some(at)
    }
}

impl Iterator for Clients {
    type Item = Wanted;

    fn next(&mut self) -> Option<Wanted> {
        self.at = self.next_at().filter(|at| *at <= self.scenario.seconds)?;
        let class = pick(&mut self.kinds, self.scenario.classes.iter().map(|c| c.share));
        let tenant = pick(&mut self.kinds, self.scenario.tenants.iter().map(|t| t.share));
        let draw: f64 = self.kinds.random();
        let dest = self.sums.partition_point(|sum| *sum < draw).min(self.sums.len() - 1);
        Some(Wanted { at: Micros::from_secs(self.at), class, tenant, dest })
    }
}

fn pick(rng: &mut Pcg64Mcg, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let at = rng.random::<f64>() * shares.clone().sum::<f64>();
    let mut sum = 0.0;
    let found = shares.clone().position(|share| {
        sum += share;
        at < sum
    });
    found.unwrap_or(shares.count() - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn wanted(text: &str) -> Vec<Wanted> {
        let scenario = Scenario::read(text.as_bytes()).unwrap_or_else(|f| panic!("{f:?}"));
        Clients::new(&scenario, Streams::new(3)).collect()
    }

    #[test]
    fn rates_ramps_surges_and_clumps_are_as_asked() {
        let steady = wanted(r#"{"seconds":100,"clients":{"rate":50}}"#).len();
        assert!((4_700..5_300).contains(&steady), "{steady}");
        let clumps =
            wanted(r#"{"seconds":100,"clients":{"rate":50,"arrivals":{"kind":"bursty","clump":5}}}"#);
        assert!((4_200..5_800).contains(&clumps.len()), "{}", clumps.len());
        let together = clumps.windows(2).filter(|w| w[0].at == w[1].at).count();
        assert!(together > clumps.len() / 2, "{together}");
        let ramp = wanted(
            r#"{"seconds":100,"clients":{"rate":50,"arrivals":{"kind":"ramp","from":0,"to":1,"begins_s":40,"ends_s":60}}}"#,
        );
        let before = ramp.iter().filter(|w| w.at < Micros(40_000_000)).count();
        let after = ramp.iter().filter(|w| w.at >= Micros(60_000_000)).count();
        assert!(before == 0 && (1_800..2_200).contains(&after), "{before} {after}");
        let surge =
            wanted(r#"{"seconds":100,"clients":{"rate":50,"surges":[{"from_s":10,"to_s":20,"times":4}]}}"#);
        let within = surge.iter().filter(|w| (10.0..20.0).contains(&w.at.secs())).count();
        assert!((1_850..2_150).contains(&within), "{within}");
    }

    #[test]
    fn a_replay_comes_when_it_says_and_shares_are_kept() {
        let replay = wanted(r#"{"clients":{"arrivals":{"kind":"replay","at_ms":"0 5 5 1200"}}}"#);
        let at: Vec<u64> = replay.iter().map(|w| w.at.0).collect();
        assert_eq!(at, [0, 5_000, 5_000, 1_200_000]);
        let all = wanted(r#"{"seconds":200,"destinations":{"count":4,"skew":1}}"#);
        let of = |dest| all.iter().filter(|w| w.dest == dest).count() as f64 / all.len() as f64;
        assert!((of(0) / of(3) - 4.0).abs() < 0.6, "{} {}", of(0), of(3));
    }

    #[test]
    fn what_is_wanted_does_not_depend_on_the_rest_of_the_scenario() {
        let plain = wanted(r#"{"seconds":20}"#);
        let other =
            wanted(r#"{"seconds":20,"courier":{"instances":9},"faults":[{"what":"hangs"}],"kills":[{}]}"#);
        assert_eq!(plain, other);
    }
}
