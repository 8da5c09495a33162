//! Sweeps: the same scenario over a grid of settings, or over points drawn from it by chance; each point a file of its own,
//! so that a sweep that was stopped goes on where it was.

use super::{one, parallel, Outcome};
use crate::policies::Policy;
use crate::scenario::Scenario;
use crate::streams::Streams;
use rand::Rng;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::{fs, io};

/// A setting that is varied, and its values. The path `policy` varies the policy.
#[derive(Debug, Clone, PartialEq)]
pub struct Axis {
    /// The setting's path.
    pub path: String,
    /// The values, as text.
    pub values: Vec<String>,
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// `clients.load=0.8,1.0,1.2`; values that hold commas are kept apart by `;` instead.
    fn from_str(text: &str) -> Result<Axis, String> {
        let (path, values) = text.split_once('=').ok_or("no = in it")?;
        let by = if values.contains(';') { ';' } else { ',' };
        let values: Vec<String> = values.split(by).filter(|v| !v.is_empty()).map(str::to_owned).collect();
        if values.is_empty() {
            return Err(format!("{path}: no values"));
        }
        Ok(Axis { path: path.to_owned(), values })
    }
}

/// One point: the settings, and the seed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Settings by path.
    pub settings: Vec<(String, String)>,
    /// The seed.
    pub seed: u64,
}

/// What came of a point.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Done {
    /// The point.
    pub point: Point,
    /// The outcome.
    pub outcome: Outcome,
}

/// The points of a grid, or so many of them drawn by chance.
pub fn points(axes: &[Axis], seeds: &[u64], random: Option<usize>) -> Vec<Point> {
    let mut grid: Vec<Vec<(String, String)>> = vec![Vec::new()];
    for axis in axes {
        let longer = grid.iter().flat_map(|base| {
            axis.values.iter().map(move |value| {
                let mut settings = base.clone();
                settings.push((axis.path.clone(), value.clone()));
                settings
            })
        });
        grid = longer.collect();
    }
    if let Some(count) = random {
        let mut rng = Streams::new(0).of("sweep");
        while grid.len() > count {
            let at = rng.random_range(0..grid.len());
            grid.swap_remove(at);
        }
    }
    let with = |settings: &Vec<(String, String)>, seed: u64| Point { settings: settings.clone(), seed };
    grid.iter().flat_map(|settings| seeds.iter().map(move |seed| with(settings, *seed))).collect()
}

/// Reads the scenario of a point, and its policy.
pub fn at(text: &str, point: &Point, usual: Policy) -> Result<(Scenario, Policy), String> {
    let policy = point.settings.iter().find(|(path, _)| path == "policy");
    let policy = policy.map_or(Ok(usual), |(_, name)| name.parse())?;
    let changes: Vec<(String, String)> =
        point.settings.iter().filter(|(path, _)| path != "policy").cloned().collect();
    let scenario = Scenario::read_with(text.as_bytes(), &changes).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        lines.join("; ")
    })?;
    Ok((scenario, policy))
}

fn place(folder: &Path, text: &str, point: &Point) -> PathBuf {
    let mut hash = Sha256::new();
    hash.update(env!("CARGO_PKG_VERSION"));
    hash.update(text);
    hash.update(serde_json::to_vec(point).unwrap_or_default());
    let name: String = hash.finalize().iter().take(10).fold(String::new(), |mut out, byte| {
        let _ = write!(out, "{byte:02x}");
        out
    });
    folder.join(format!("{name}.json"))
}

/// Runs all points that have no result in the folder yet.
pub fn sweep(
    text: &str, all: &[Point], usual: Policy, folder: &Path, threads: usize, done: impl Fn(usize) + Sync,
) -> io::Result<Vec<Done>> {
    fs::create_dir_all(folder)?;
    // A wrong point is told before the first has run.
    for point in all {
        at(text, point, usual).map_err(io::Error::other)?;
    }
    let results = parallel(all, threads, done, |point| -> io::Result<Done> {
        let file = place(folder, text, point);
        if let Some(before) = fs::read(&file).ok().and_then(|bytes| serde_json::from_slice(&bytes).ok()) {
            return Ok(before);
        }
        let (scenario, policy) = at(text, point, usual).map_err(io::Error::other)?;
        let (outcome, _) = one(&scenario, policy, point.seed);
        let done = Done { point: point.clone(), outcome };
        // Beside it and then in its place: a sweep that is stopped leaves no half result.
        let beside = file.with_extension("new");
        fs::write(&beside, serde_json::to_vec(&done).map_err(io::Error::other)?)?;
        fs::rename(beside, &file)?;
        Ok(done)
    });
    results.into_iter().collect()
}

/// One line a point.
pub fn csv(all: &[Done]) -> String {
    let paths: Vec<&str> =
        all.first().map_or(Vec::new(), |d| d.point.settings.iter().map(|(path, _)| path.as_str()).collect());
    let mut out = String::new();
    for path in &paths {
        let _ = write!(out, "{path},");
    }
    out.push_str("seed,goodput,worst_10s,recovery_s,stuck,wanted,delivered,calls,repeats,refusals,doubles,toppled,p50_ms,p99_ms,broken\n");
    for done in all {
        for (_, value) in &done.point.settings {
            let _ = write!(out, "\"{value}\",");
        }
        let f = &done.outcome.figures;
        let recovery = f.recovery_s.map_or(String::new(), |s| format!("{s:.1}"));
        let mut broken: Vec<&str> = done.outcome.broken.iter().map(|b| b.rule.as_str()).collect();
        broken.dedup();
        let _ = writeln!(
            out,
            "{},{:.5},{:.5},{recovery},{},{},{},{},{},{},{},{},{:.2},{:.2},\"{}\"",
            done.point.seed,
            f.goodput,
            f.worst_10s,
            f.stuck,
            f.wanted,
            f.delivered,
            f.calls,
            f.repeats,
            f.refusals,
            f.doubles,
            f.toppled,
            f.latency.p50,
            f.latency.p99,
            broken.join(" ")
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_grid_has_all_points_and_a_draw_of_it_some() {
        let axes: Vec<Axis> = ["clients.load=0.8,1.2", "policy=indigohold;fixed:pause_ms=1"]
            .map(|text| text.parse().unwrap())
            .to_vec();
        assert_eq!(axes[1].values, ["indigohold", "fixed:pause_ms=1"]);
        assert_eq!(points(&axes, &[1, 2, 3], None).len(), 12);
        let some = points(&axes, &[1, 2, 3], Some(2));
        assert_eq!(some.len(), 6);
        assert_eq!(some, points(&axes, &[1, 2, 3], Some(2)), "the same draw each time");
        assert!("clients.load".parse::<Axis>().is_err() && "clients.load=".parse::<Axis>().is_err());
    }
}
