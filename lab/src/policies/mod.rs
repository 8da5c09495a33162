//! What is compared: our module, and the usual ways to retry, each behind the same interface. All of them keep the rules on
//! repeats, told waits, drains and attempts; they differ in when they try again, and in how much they send.

mod plain;

use indigohold::{DecisionEngine, Micros, Sender, Settings};
use plain::Plain;
use std::fmt;
use std::str::FromStr;

/// How a policy of the lab retries and paces itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Tactic {
    /// At once.
    Immediate,
    /// After a fixed pause.
    Fixed {
        /// The pause.
        pause: Micros,
    },
    /// After a random pause under a bound that doubles; no budget.
    Jitter {
        /// First bound.
        base: Micros,
        /// Last bound.
        cap: Micros,
    },
    /// At once, while there are tokens: first tries bring them.
    Budget {
        /// Tokens that a first try brings.
        ratio: f64,
        /// Tokens at most.
        most: f64,
    },
    /// As with jitter, but nothing at all while too much has failed in a fixed window.
    Breaker {
        /// Length of a window.
        window: Micros,
        /// Share of failures that opens it.
        share: f64,
        /// For so long.
        open: Micros,
    },
    /// As with jitter, at a pace that rises by steps and is halved by each refusal.
    Aimd {
        /// Calls a second that each success adds.
        step: f64,
        /// What a refusal leaves.
        cut: f64,
    },
}

/// A policy by name, with its settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// The courier's own decision module.
    Indigohold,
    /// One of the lab.
    Lab(Tactic),
}

/// Names of all policies, ours first.
pub const NAMES: [&str; 7] = ["indigohold", "immediate", "fixed", "jitter", "budget", "breaker", "aimd"];

const MS: u64 = 1_000;

impl Policy {
    /// One of them that decides.
    pub fn build(&self, settings: &Settings, seed: u64) -> Box<dyn DecisionEngine> {
        match self {
            Policy::Indigohold => Box::new(Sender::new(settings.clone(), seed)),
            Policy::Lab(tactic) => Box::new(Plain::new(settings.clone(), *tactic, seed)),
        }
    }

    fn name(&self) -> &'static str {
        match self {
            Policy::Indigohold => NAMES[0],
            Policy::Lab(Tactic::Immediate) => NAMES[1],
            Policy::Lab(Tactic::Fixed { .. }) => NAMES[2],
            Policy::Lab(Tactic::Jitter { .. }) => NAMES[3],
            Policy::Lab(Tactic::Budget { .. }) => NAMES[4],
            Policy::Lab(Tactic::Breaker { .. }) => NAMES[5],
            Policy::Lab(Tactic::Aimd { .. }) => NAMES[6],
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    /// A name, and settings behind a colon: `fixed:pause_ms=500`, `breaker:share=0.4,open_ms=2000`. What is left out has the
    /// value that did best over the library of scenarios; `docs/operators/lab.md` has the sweep.
    fn from_str(text: &str) -> Result<Policy, String> {
        let (name, rest) = text.split_once(':').unwrap_or((text, ""));
        let mut given = Vec::new();
        for part in rest.split(',').filter(|p| !p.is_empty()) {
            let (key, value) = part.split_once('=').ok_or_else(|| format!("{part}: no = in it"))?;
            let value: f64 = value.parse().map_err(|_| format!("{part}: no number"))?;
            if !value.is_finite() || value < 0.0 {
                return Err(format!("{part}: it must not be negative"));
            }
            given.push((key, value));
        }
        let mut take = |key: &str, default: f64| {
            let at = given.iter().position(|(k, _)| *k == key);
            at.map_or(default, |at| given.remove(at).1)
        };
        let ms = |value: f64| Micros((value * MS as f64) as u64);
        let policy = match name {
            "indigohold" => Policy::Indigohold,
            "immediate" => Policy::Lab(Tactic::Immediate),
            "fixed" => Policy::Lab(Tactic::Fixed { pause: ms(take("pause_ms", 4_000.0)) }),
            "jitter" => Policy::Lab(Tactic::Jitter {
                base: ms(take("base_ms", 500.0)),
                cap: ms(take("cap_ms", 8_000.0)),
            }),
            "budget" => {
                Policy::Lab(Tactic::Budget { ratio: take("ratio", 0.2), most: take("most", 20.0).max(1.0) })
            }
            "breaker" => Policy::Lab(Tactic::Breaker {
                window: ms(take("window_ms", 1_000.0)),
                share: take("share", 0.5),
                open: ms(take("open_ms", 1_000.0)),
            }),
            "aimd" => {
                Policy::Lab(Tactic::Aimd { step: take("step", 0.5), cut: take("cut", 0.8).clamp(0.01, 1.0) })
            }
            other => return Err(format!("{other}: none of {}", NAMES.join(", "))),
        };
        match given.first() {
            Some((key, _)) => Err(format!("{name} has no setting {key}")),
            None => Ok(policy),
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.name())?;
        let ms = |m: &Micros| m.0 as f64 / MS as f64;
        match self {
            Policy::Indigohold | Policy::Lab(Tactic::Immediate) => Ok(()),
            Policy::Lab(Tactic::Fixed { pause }) => write!(f, ":pause_ms={}", ms(pause)),
            Policy::Lab(Tactic::Jitter { base, cap }) => {
                write!(f, ":base_ms={},cap_ms={}", ms(base), ms(cap))
            }
            Policy::Lab(Tactic::Budget { ratio, most }) => write!(f, ":ratio={ratio},most={most}"),
            Policy::Lab(Tactic::Breaker { window, share, open }) => {
                write!(f, ":window_ms={},share={share},open_ms={}", ms(window), ms(open))
            }
            Policy::Lab(Tactic::Aimd { step, cut }) => write!(f, ":step={step},cut={cut}"),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_policy_is_read_as_it_is_written() {
        for name in NAMES {
            let policy: Policy = name.parse().unwrap();
            assert_eq!(policy.to_string().parse::<Policy>().unwrap(), policy, "{name}");
        }
        let fixed: Policy = "fixed:pause_ms=250".parse().unwrap();
        assert_eq!(fixed, Policy::Lab(Tactic::Fixed { pause: Micros(250_000) }));
        for wrong in ["fixes", "fixed:pause=1", "fixed:pause_ms", "fixed:pause_ms=-1", "jitter:base_ms=x"] {
            assert!(wrong.parse::<Policy>().is_err(), "{wrong}");
        }
    }
}
