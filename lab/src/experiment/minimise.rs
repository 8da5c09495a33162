//! Makes a failing scenario small: fewer faults, kills, instances, destinations, messages, a shorter run, for as long as it
//! still fails in the same way. It only takes away what a reader would have to understand.

use crate::policies::Policy;
use crate::scenario::{set, Scenario};
use crate::virtual_time::Run;
use crate::{figures, rules};
use serde_json::Value;

/// What counts as failing.
#[derive(Debug, Clone, PartialEq)]
pub enum Failure {
    /// This rule is broken; of [`rules::RULES`].
    Rule(String),
    /// Goodput is below this.
    Goodput(f64),
    /// Goodput does not come back after the last trouble.
    Stuck,
}

impl std::str::FromStr for Failure {
    type Err = String;

    /// `rule:twice`, `goodput:0.5` or `stuck`.
    fn from_str(text: &str) -> Result<Failure, String> {
        match text.split_once(':') {
            Some(("rule", rule)) if rules::RULES.contains(&rule) => Ok(Failure::Rule(rule.into())),
            Some(("rule", _)) => Err(format!("the rules are {}", rules::RULES.join(", "))),
            Some(("goodput", below)) => below.parse().map(Failure::Goodput).map_err(|_| "no number".into()),
            None if text == "stuck" => Ok(Failure::Stuck),
            _ => Err("it must be rule:NAME, goodput:BELOW or stuck".into()),
        }
    }
}

impl Failure {
    /// Whether a run fails in this way.
    pub fn seen(&self, scenario: &Scenario, policy: Policy, seed: u64) -> bool {
        let (record, _) = Run::new(scenario, policy, seed).to_end();
        match self {
            Failure::Rule(rule) => rules::check(&record, scenario).iter().any(|b| b.rule == rule),
            Failure::Goodput(below) => figures::figures(&record, scenario).goodput < *below,
            Failure::Stuck => figures::figures(&record, scenario).stuck,
        }
    }
}

/// What minimising came to.
#[derive(Debug, Clone, PartialEq)]
pub struct Small {
    /// The scenario.
    pub scenario: Value,
    /// Runs that it took.
    pub runs: usize,
    /// What was taken away, in the order.
    pub steps: Vec<String>,
}

/// Numbers that may be made smaller, and to what at the least.
const NUMBERS: [(&str, f64); 9] = [
    ("seconds", 1.0),
    ("clients.rate", 1.0),
    ("destinations.count", 1.0),
    ("destinations.active", 1.0),
    ("courier.instances", 1.0),
    ("courier.slots", 1.0),
    ("clients.retries", 0.0),
    ("destinations.errors", 0.0),
    ("destinations.queue", 0.0),
];
const LISTS: [&str; 6] = ["faults", "kills", "classes", "tenants", "clients.surges", "registry.down"];

fn number(value: &Value, path: &str) -> Option<f64> {
    path.split('.').try_fold(value, |at, name| at.get(name)).and_then(Value::as_f64)
}

fn list_len(value: &Value, path: &str) -> usize {
    let at = path.split('.').try_fold(value, |at, name| at.get(name));
    at.and_then(Value::as_array).map_or(0, Vec::len)
}

fn without(value: &Value, path: &str, place: usize) -> Value {
    let mut out = value.clone();
    let at = path.split('.').try_fold(&mut out, |at, name| at.get_mut(name));
    if let Some(list) = at.and_then(Value::as_array_mut) {
        list.remove(place);
    }
    out
}

/// Makes it small with at most so many runs. `None`: it does not fail as it is.
pub fn minimise(text: &Value, policy: Policy, seed: u64, failure: &Failure, most: usize) -> Option<Small> {
    let mut runs = 0;
    let mut fails = |value: &Value| {
        runs += 1;
        let read = Scenario::read(value.to_string().as_bytes());
        read.is_ok_and(|scenario| failure.seen(&scenario, policy, seed))
    };
    let mut now = text.clone();
    // What is left out is filled in, so that it can be made smaller.
    let whole = Scenario::read(now.to_string().as_bytes()).ok()?;
    let filled = [
        ("seconds", whole.seconds),
        ("clients.rate", whole.clients.rate),
        ("destinations.count", whole.destinations.count as f64),
        ("courier.instances", whole.courier.instances as f64),
    ];
    for (path, value) in filled {
        set(&mut now, path, &value.to_string()).ok()?;
    }
    if !fails(&now) {
        return None;
    }
    let (mut steps, mut tried) = (Vec::new(), 1);
    loop {
        let before = now.clone();
        for path in LISTS {
            let mut place = list_len(&now, path);
            while place > 0 && tried < most {
                place -= 1;
                let smaller = without(&now, path, place);
                tried += 1;
                if fails(&smaller) {
                    now = smaller;
                    steps.push(format!("{path}[{place}] taken away"));
                }
            }
        }
        for (path, least) in NUMBERS {
            // Halved while it still fails, then by single steps of an eighth.
            for part in [0.5, 0.5, 0.5, 0.5, 0.875, 0.875] {
                let Some(value) = number(&now, path).filter(|v| *v > least && tried < most) else { break };
                let whole = matches!(path, p if !p.ends_with("seconds") && !p.ends_with("rate") && !p.ends_with("errors"));
                let next = if whole { (value * part).floor() } else { value * part }.max(least);
                let mut smaller = now.clone();
                if next >= value || set(&mut smaller, path, &next.to_string()).is_err() {
                    break;
                }
                tried += 1;
                if !fails(&smaller) {
                    continue;
                }
                steps.push(format!("{path} {value} -> {next}"));
                now = smaller;
            }
        }
        if now == before || tried >= most {
            break;
        }
    }
    Some(Small { scenario: now, runs, steps })
}
