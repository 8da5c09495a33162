//! Experiments: one run, many in a grid, two compared seed by seed, a failing one made small. Results are kept as files that
//! a later report, or a later version, can read.

pub mod compare;
pub mod minimise;
pub mod sweep;

use crate::figures::{figures, Figures};
use crate::policies::Policy;
use crate::rules;
use crate::scenario::Scenario;
use crate::virtual_time::Run;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt::Write as _;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::Instant;
use std::{fs, io};

/// A rule that a run broke, as it is kept.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BrokenRule {
    /// Its name.
    pub rule: String,
    /// Seconds since the beginning.
    pub at_s: f64,
    /// What happened.
    pub what: String,
    /// What became of the message.
    pub trace: Vec<String>,
}

/// What came of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// The scenario's name.
    pub scenario: String,
    /// The policy, with its settings.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Which engine: `virtual` or `sockets`.
    pub engine: String,
    /// Version of the lab and the courier.
    pub version: String,
    /// Figures.
    pub figures: Figures,
    /// Rules that were broken.
    pub broken: Vec<BrokenRule>,
}

/// What measured it: kept beside results, as figures of real time mean nothing without it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Operating system and kind of processor.
    pub system: String,
    /// Processors that it may use.
    pub cores: usize,
    /// How long the run took in real time, in seconds.
    pub took_s: f64,
    /// Events that the engine went through.
    pub steps: u64,
}

/// Runs a scenario in virtual time, checks the rules, and takes the figures.
pub fn one(scenario: &Scenario, policy: Policy, seed: u64) -> (Outcome, Machine) {
    let begun = Instant::now();
    let (record, steps) = Run::new(scenario, policy, seed).to_end();
    let outcome = judge(&record, scenario, policy, seed, "virtual");
    (outcome, machine(begun, steps))
}

/// This machine.
pub fn machine(begun: Instant, steps: u64) -> Machine {
    let cores = std::thread::available_parallelism().map_or(1, |n| n.get());
    let system = format!("{} {}", std::env::consts::OS, std::env::consts::ARCH);
    Machine { system, cores, took_s: begun.elapsed().as_secs_f64(), steps }
}

/// What a record shows.
pub fn judge(
    record: &crate::record::Record, scenario: &Scenario, policy: Policy, seed: u64, engine: &str,
) -> Outcome {
    // Only ours claims to bound its repeats.
    let broken = rules::check_for(record, scenario, policy == Policy::Indigohold);
    let broken = broken.into_iter().map(|b| BrokenRule {
        rule: b.rule.to_owned(),
        at_s: record.secs(b.at),
        what: b.what,
        trace: b.trace,
    });
    Outcome {
        scenario: scenario.name.clone(),
        policy: policy.to_string(),
        seed,
        engine: engine.to_owned(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        broken: broken.collect(),
        figures: figures(record, scenario),
    }
}

/// Does `work` for each item on as many threads; results keep the order of the items.
pub fn parallel<T: Sync, R: Send>(
    items: &[T], threads: usize, done: impl Fn(usize) + Sync, work: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let (next, count) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let out: Mutex<Vec<Option<R>>> = Mutex::new(items.iter().map(|_| None).collect());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, items.len().max(1)) {
            scope.spawn(|| loop {
                let n = next.fetch_add(1, Ordering::SeqCst);
                let Some(item) = items.get(n) else { return };
                let result = work(item);
                out.lock().unwrap_or_else(|e| e.into_inner())[n] = Some(result);
                done(count.fetch_add(1, Ordering::SeqCst) + 1);
            });
        }
    });
    out.into_inner().unwrap_or_else(|e| e.into_inner()).into_iter().flatten().collect()
}

/// Keeps a run in a folder: the scenario as it was run, the outcome, the machine, and its seconds as CSV.
pub fn keep(folder: &Path, scenario: &Value, outcome: &Outcome, machine: &Machine) -> io::Result<()> {
    fs::create_dir_all(folder)?;
    let json = |value: &dyn erased::Json| value.pretty();
    fs::write(folder.join("scenario.json"), json(scenario))?;
    fs::write(folder.join("outcome.json"), json(outcome))?;
    fs::write(folder.join("machine.json"), json(machine))?;
    fs::write(folder.join("seconds.csv"), csv(outcome))
}

mod erased {
    /// Whatever can be written as JSON for people.
    pub trait Json {
        /// With line breaks.
        fn pretty(&self) -> String;
    }

    impl<T: serde::Serialize> Json for T {
        fn pretty(&self) -> String {
            serde_json::to_string_pretty(self).unwrap_or_default() + "\n"
        }
    }
}

fn csv(outcome: &Outcome) -> String {
    let mut out = "second,asked,earned,calls,repeats,refusals,delivered,owed\n".to_owned();
    for (n, s) in outcome.figures.seconds.iter().enumerate() {
        let _ = writeln!(
            out,
            "{n},{:.4},{:.4},{},{},{},{},{}",
            s.asked, s.earned, s.calls, s.repeats, s.refusals, s.delivered, s.owed
        );
    }
    out
}

/// Reads the outcome that a folder keeps.
pub fn kept(folder: &Path) -> io::Result<Outcome> {
    let bytes = fs::read(folder.join("outcome.json"))?;
    serde_json::from_slice(&bytes).map_err(io::Error::other)
}
