//! Reports: tables of sweeps and baselines, and one HTML file with charts of whatever folders of results hold.

mod charts;

use crate::experiment::sweep::Done;
use crate::experiment::{kept, Machine, Outcome};
use crate::fleet::Step;
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// All runs of a sweep with the same settings, whatever their seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// The settings.
    pub settings: Vec<(String, String)>,
    /// Runs.
    pub runs: usize,
    /// Means over the runs.
    pub goodput: f64,
    /// See `goodput`.
    pub worst_10s: f64,
    /// See `goodput`.
    pub calls: f64,
    /// See `goodput`.
    pub repeats: f64,
    /// See `goodput`.
    pub p99_ms: f64,
    /// Runs whose goodput did not come back.
    pub stuck: usize,
    /// Runs that broke a rule.
    pub broken: usize,
}

impl Group {
    /// The settings in one line.
    pub fn label(&self) -> String {
        let all: Vec<String> = self.settings.iter().map(|(path, value)| format!("{path}={value}")).collect();
        all.join(" ")
    }
}

fn mean(values: impl Iterator<Item = f64>) -> f64 {
    let all: Vec<f64> = values.collect();
    if all.is_empty() {
        return 0.0;
    }
    all.iter().sum::<f64>() / all.len() as f64
}

/// One line for each set of settings, in the order in which they came.
pub fn summarise(all: &[Done]) -> Vec<Group> {
    let mut order: Vec<&Vec<(String, String)>> = Vec::new();
    for done in all {
        if !order.contains(&&done.point.settings) {
            order.push(&done.point.settings);
        }
    }
    let group = |settings: &Vec<(String, String)>| {
        let runs: Vec<&Outcome> =
            all.iter().filter(|d| d.point.settings == *settings).map(|d| &d.outcome).collect();
        let of = |by: fn(&Outcome) -> f64| mean(runs.iter().map(|o| by(o)));
        Group {
            settings: settings.clone(),
            runs: runs.len(),
            goodput: of(|o| o.figures.goodput),
            worst_10s: of(|o| o.figures.worst_10s),
            calls: of(|o| o.figures.calls as f64),
            repeats: of(|o| o.figures.repeats as f64),
            p99_ms: of(|o| o.figures.latency.p99),
            stuck: runs.iter().filter(|o| o.figures.stuck).count(),
            broken: runs.iter().filter(|o| !o.broken.is_empty()).count(),
        }
    };
    order.into_iter().map(group).collect()
}

/// A policy on a scenario, over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// The policy.
    pub policy: String,
    /// Runs.
    pub runs: usize,
    /// Means over the runs.
    pub goodput: f64,
    /// See `goodput`.
    pub worst_10s: f64,
    /// Mean of those that came back, in seconds.
    pub recovery_s: Option<f64>,
    /// Runs whose goodput did not come back.
    pub stuck: usize,
    /// Calls for each message wanted.
    pub calls_a_message: f64,
    /// Calls turned away, in the mean.
    pub refusals: f64,
    /// Doubles in all runs.
    pub doubles: u64,
    /// Destinations pushed over in all runs.
    pub toppled: u64,
    /// Rules broken in any run.
    pub broken: Vec<String>,
    /// Goodput by class, means.
    pub classes: Vec<(String, f64)>,
    /// Mean of the 99th percentiles, in milliseconds.
    pub p99_ms: f64,
}

impl Row {
    /// How soon goodput came back, in words.
    pub fn recovery(&self) -> String {
        match (self.recovery_s, self.stuck) {
            (None, 0) => "-".into(),
            (None, n) => format!("never ({n})"),
            (Some(s), 0) => format!("{s:.1}"),
            (Some(s), n) => format!("{s:.1} (never: {n})"),
        }
    }
}

/// One row for each scenario and policy.
pub fn baselines(outcomes: &[Outcome]) -> Vec<Row> {
    let mut groups: Vec<((String, String), Vec<&Outcome>)> = Vec::new();
    for o in outcomes {
        let key = (o.scenario.clone(), o.policy.clone());
        match groups.iter_mut().find(|(k, _)| *k == key) {
            Some((_, all)) => all.push(o),
            None => groups.push((key, vec![o])),
        }
    }
    let row = |((scenario, policy), all): ((String, String), Vec<&Outcome>)| {
        let of = |by: fn(&Outcome) -> f64| mean(all.iter().map(|o| by(o)));
        let back: Vec<f64> = all.iter().filter_map(|o| o.figures.recovery_s).collect();
        let mut broken: Vec<String> =
            all.iter().flat_map(|o| o.broken.iter().map(|b| b.rule.clone())).collect();
        broken.sort();
        broken.dedup();
        let classes = all[0].figures.classes.iter().enumerate();
        let classes =
            classes.map(|(n, c)| (c.name.clone(), mean(all.iter().map(|o| o.figures.classes[n].goodput))));
        Row {
            runs: all.len(),
            goodput: of(|o| o.figures.goodput),
            worst_10s: of(|o| o.figures.worst_10s),
            recovery_s: (!back.is_empty()).then(|| mean(back.into_iter())),
            stuck: all.iter().filter(|o| o.figures.stuck).count(),
            calls_a_message: of(|o| o.figures.calls as f64 / o.figures.wanted.max(1) as f64),
            refusals: of(|o| o.figures.refusals as f64),
            doubles: all.iter().map(|o| o.figures.doubles).sum(),
            toppled: all.iter().map(|o| o.figures.toppled).sum(),
            broken,
            classes: classes.collect(),
            p99_ms: of(|o| o.figures.latency.p99),
            scenario,
            policy,
        }
    };
    groups.into_iter().map(row).collect()
}

/// The same as CSV.
pub fn baselines_csv(rows: &[Row]) -> String {
    let mut out = "scenario,policy,runs,goodput,worst_10s,recovery_s,stuck,calls_a_message,refusals,doubles,toppled,p99_ms,broken\n".to_owned();
    for r in rows {
        let recovery = r.recovery_s.map_or(String::new(), |s| format!("{s:.2}"));
        let _ = writeln!(
            out,
            "{},\"{}\",{},{:.5},{:.5},{recovery},{},{:.3},{:.1},{},{},{:.1},\"{}\"",
            r.scenario,
            r.policy,
            r.runs,
            r.goodput,
            r.worst_10s,
            r.stuck,
            r.calls_a_message,
            r.refusals,
            r.doubles,
            r.toppled,
            r.p99_ms,
            r.broken.join(" ")
        );
    }
    out
}

#[derive(Serialize)]
struct RunPart {
    folder: String,
    outcome: Outcome,
    machine: Option<Machine>,
    charts: Vec<String>,
}

#[derive(Serialize)]
struct SweepPart {
    folder: String,
    groups: Vec<Group>,
    labels: Vec<String>,
    charts: Vec<String>,
}

#[derive(Serialize)]
struct BaselinePart {
    folder: String,
    rows: Vec<Row>,
    recoveries: Vec<String>,
    charts: Vec<String>,
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> io::Result<T> {
    let bytes = fs::read(path)?;
    serde_json::from_slice(&bytes).map_err(|e| io::Error::other(format!("{}: {e}", path.display())))
}

/// One HTML file of these folders: runs (`lab run --keep`), sweeps and baselines.
pub fn html(folders: &[PathBuf]) -> io::Result<String> {
    let (mut runs, mut sweeps, mut all) = (Vec::new(), Vec::new(), Vec::new());
    for folder in folders {
        let name = folder.display().to_string();
        let there = |file: &str| folder.join(file).exists();
        if there("outcome.json") {
            let outcome = kept(folder)?;
            let charts = charts::run(&outcome).map_err(io::Error::other)?;
            let machine = read(&folder.join("machine.json")).ok();
            runs.push(RunPart { folder: name, outcome, machine, charts });
        } else if there("sweep.json") {
            let groups: Vec<Group> = read(&folder.join("sweep.json"))?;
            let charts = charts::sweep(&groups).map_err(io::Error::other)?;
            let labels = groups.iter().map(Group::label).collect();
            sweeps.push(SweepPart { folder: name, groups, labels, charts });
        } else if there("baselines.json") {
            let rows: Vec<Row> = read(&folder.join("baselines.json"))?;
            let charts = charts::baselines(&rows).map_err(io::Error::other)?;
            let recoveries = rows.iter().map(Row::recovery).collect();
            all.push(BaselinePart { folder: name, rows, recoveries, charts });
        } else {
            return Err(io::Error::other(format!("{name}: there is no result in it")));
        }
    }
    let mut environment = minijinja::Environment::new();
    environment.add_template("report.html", include_str!("report.html")).map_err(io::Error::other)?;
    let template = environment.get_template("report.html").map_err(io::Error::other)?;
    let version = env!("CARGO_PKG_VERSION");
    template.render(minijinja::context! { runs, sweeps, baselines => all, version }).map_err(io::Error::other)
}
/// Charts of a fleet's return as SVG, beside its unharmed twin.
pub fn fleet_charts(ours: &[Step], twin: &[Step]) -> io::Result<Vec<String>> {
    charts::fleet(ours, twin).map_err(io::Error::other)
}
