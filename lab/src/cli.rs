//! Arguments of the command line, and the scenarios that they name.

use crate::{real, returns};
use clap::{Args, Parser, Subcommand};
use indigohold_lab::experiment::minimise::Failure;
use indigohold_lab::experiment::sweep::Axis;
use indigohold_lab::policies::{Policy, NAMES};
use indigohold_lab::scenario::{library, set, Scenario};
use serde_json::Value;
use std::path::PathBuf;

#[derive(Parser)]
#[command(
    name = "lab",
    version,
    about = "An emulator of the world around the courier, and experiments on it"
)]
/// The command line.
pub struct Cli {
    #[command(subcommand)]
    /// What is to be done.
    pub command: Command,
}

/// A subcommand.
#[derive(Subcommand)]
pub enum Command {
    /// The scenarios that come with the lab
    List,
    /// Print a scenario's file, with settings changed
    Show(ScenarioArgs),
    /// Print the form of scenario files as a JSON Schema
    Schema,
    /// Read scenario files and name every fault in them
    Check {
        /// The files
        files: Vec<PathBuf>,
    },
    /// Run a scenario, check the rules, print the figures
    Run {
        #[command(flatten)]
        what: ScenarioArgs,
        #[command(flatten)]
        how: RunArgs,
        /// Keep the run in this folder
        #[arg(long)]
        keep: Option<PathBuf>,
        /// Print the outcome as JSON
        #[arg(long)]
        json: bool,
    },
    /// Run a scenario against the real program, on loopback sockets and in real time
    Sockets {
        #[command(flatten)]
        what: ScenarioArgs,
        /// The seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Keep the run in this folder
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Run a scenario beside its unharmed twin and print the fleet's measures: time to full service, asks, connections
    Fleet(returns::FleetArgs),
    /// Measure how fleets come back: a table by instances, share killed, register's outage and lost folders
    Comeback(returns::ComebackArgs),
    /// Run scenarios in both engines and print their figures side by side (virtual / sockets)
    Agree {
        /// Scenarios by name or file
        #[arg(default_values_t = ["calm", "errors", "half-killed", "slow-recovery"].map(str::to_owned))]
        scenarios: Vec<String>,
        /// So many seeds, from 1 on
        #[arg(long, default_value_t = 1)]
        seeds: u64,
    },
    /// Send messages at a program at a steady rate, whatever becomes of them
    Load(real::LoadArgs),
    /// Find the rate at which the real program can't keep up
    Knee(real::KneeArgs),
    /// Run a scenario over a grid of settings; goes on where it was stopped
    Sweep {
        #[command(flatten)]
        what: ScenarioArgs,
        /// A setting and its values, as in clients.load=0.8,1.0,1.2; `policy` varies the policy (values apart by ;)
        #[arg(long = "vary", required = true)]
        vary: Vec<Axis>,
        /// Draw this number of points of the grid instead of all
        #[arg(long)]
        random: Option<usize>,
        #[command(flatten)]
        seeds: SeedArgs,
        /// The policy where it is not varied
        #[arg(long, default_value = "indigohold")]
        policy: Policy,
        /// Folder of the results
        #[arg(long, default_value = "lab-results/sweep")]
        out: PathBuf,
    },
    /// Compare two policies seed by seed, over one scenario or the whole library
    Compare {
        /// The first policy
        first: Policy,
        /// The second
        second: Policy,
        /// Scenarios by name or file; all of the library where none is named
        #[arg(long = "scenario")]
        scenarios: Vec<String>,
        #[command(flatten)]
        seeds: SeedArgs,
    },
    /// Run all policies over the library, and keep the table
    Baselines {
        /// The policies
        #[arg(long = "policy", default_values_t = NAMES.map(str::to_owned))]
        policies: Vec<String>,
        /// Scenarios by name or file; all of the library where none is named
        #[arg(long = "scenario")]
        scenarios: Vec<String>,
        #[command(flatten)]
        seeds: SeedArgs,
        /// Folder of the results
        #[arg(long, default_value = "lab-results/baselines")]
        out: PathBuf,
    },
    /// Make a failing scenario small
    Minimise {
        #[command(flatten)]
        what: ScenarioArgs,
        #[command(flatten)]
        how: RunArgs,
        /// What counts as failing: rule:NAME, goodput:BELOW or stuck
        #[arg(long)]
        failure: Failure,
        /// Runs at most
        #[arg(long, default_value_t = 300)]
        most: usize,
    },
    /// One HTML file of kept runs, sweeps and baselines
    Report {
        /// Folders of results
        folders: Vec<PathBuf>,
        /// Where to write it
        #[arg(long, default_value = "lab-results/report.html")]
        out: PathBuf,
    },
    /// How fast the engine is, by instances and destinations
    Speed {
        /// Messages a second, over all instances
        #[arg(long, default_value_t = 1_000.0)]
        rate: f64,
        /// Seconds of emulated time
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Pairs instances x destinations, as in 100x1000
        #[arg(long = "size", default_values_t = ["1x10", "10x100", "100x1000", "1000x10000"].map(str::to_owned))]
        sizes: Vec<String>,
    },
}

/// A scenario and changes to it.
#[derive(Args)]
pub struct ScenarioArgs {
    /// A scenario of the library, or a file
    scenario: String,
    /// Change a setting, as in clients.load=1.2
    #[arg(long = "set", value_name = "PATH=VALUE")]
    set: Vec<String>,
}

/// How a scenario is run.
#[derive(Args)]
pub struct RunArgs {
    /// The policy: indigohold, or one of the lab, as in fixed:pause_ms=500
    #[arg(long, default_value = "indigohold")]
    pub policy: Policy,
    /// The seed
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

/// The seeds of several runs, and how many run at once.
#[derive(Args)]
pub struct SeedArgs {
    /// So many seeds, from 1 on
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Threads; all processors by default
    #[arg(long, env = "LAB_THREADS")]
    threads: Option<usize>,
}

impl SeedArgs {
    /// All seeds.
    pub fn all(&self) -> Vec<u64> {
        (1..=self.seeds).collect()
    }

    /// The number of threads.
    pub fn threads(&self) -> usize {
        self.threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()))
    }
}

/// The text of a scenario of the library or of a file.
pub fn text_of(scenario: &str) -> Result<String, String> {
    match library::text(scenario) {
        Some(text) => Ok(text.to_owned()),
        None => std::fs::read_to_string(scenario)
            .map_err(|e| format!("{scenario}: no scenario of the library, and no file: {e}")),
    }
}

impl ScenarioArgs {
    /// The scenario's text with its changes, and what it says.
    pub fn read(&self) -> Result<(Value, Scenario), String> {
        let text = text_of(&self.scenario)?;
        let mut value: Value = serde_json::from_str(&text).map_err(|e| format!("{}: {e}", self.scenario))?;
        for change in &self.set {
            let (path, to) = change.split_once('=').ok_or_else(|| format!("--set {change}: no = in it"))?;
            set(&mut value, path, to).map_err(|e| format!("--set {change}: {e}"))?;
        }
        let scenario = read(&value.to_string(), &self.scenario)?;
        Ok((value, scenario))
    }
}

/// Reads a scenario's text. The error names every fault.
pub fn read(text: &str, name: &str) -> Result<Scenario, String> {
    Scenario::read(text.as_bytes()).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{name}: {f}")).collect();
        lines.join("\n")
    })
}

/// The named scenarios, or all of the library where none is named.
pub fn chosen(names: &[String]) -> Result<Vec<(String, Scenario)>, String> {
    let all: Vec<String> = match names {
        [] => library::ALL.iter().map(|(name, _)| (*name).to_owned()).collect(),
        some => some.to_vec(),
    };
    all.into_iter().map(|name| Ok((name.clone(), read(&text_of(&name)?, &name)?))).collect()
}
