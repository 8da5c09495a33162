//! The commands about how a fleet comes back: one scenario beside its unharmed twin, and a table over many.

use crate::cli::ScenarioArgs;
use clap::{Args, ValueEnum};
use comfy_table::Table;
use indigohold_lab::experiment::judge;
use indigohold_lab::fleet::{self, Measures, Step};
use indigohold_lab::policies::Policy;
use indigohold_lab::record::Record;
use indigohold_lab::report;
use indigohold_lab::scenario::{library, Folder, Scenario};
use indigohold_lab::sockets::{self, Scratch};
use indigohold_lab::virtual_time;
use serde::Serialize;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Which engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Engine {
    /// The real program, in real time.
    Sockets,
    /// Virtual time.
    Virtual,
}

/// Flags of `fleet`.
#[derive(Args)]
pub struct FleetArgs {
    #[command(flatten)]
    pub what: ScenarioArgs,
    /// The engine
    #[arg(long, value_enum, default_value_t = Engine::Sockets)]
    engine: Engine,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Keep the run in this folder
    #[arg(long)]
    pub keep: Option<PathBuf>,
}

/// Flags of `comeback`.
#[derive(Args)]
pub struct ComebackArgs {
    /// Instances
    #[arg(long, value_delimiter = ',', default_values_t = [10, 20, 40])]
    instances: Vec<usize>,
    /// Shares of them that are killed
    #[arg(long, value_delimiter = ',', default_values_t = [0.3, 0.7, 0.95])]
    share: Vec<f64>,
    /// What is wrong with the register from the kill on, and for how many seconds: up, down:5, mute:15
    #[arg(long, value_delimiter = ',', default_values_t = ["up".to_owned()])]
    register: Vec<String>,
    /// What is done to the folders of those killed: kept, wiped, older, missing
    #[arg(long, value_delimiter = ',', default_values_t = ["kept".to_owned()])]
    folder: Vec<String>,
    /// The engine
    #[arg(long, value_enum, default_value_t = Engine::Sockets)]
    engine: Engine,
    /// So many seeds, from 1 on
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Folder of the table
    #[arg(long)]
    out: Option<PathBuf>,
}

/// A run beside its twin.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    measures: Measures,
    /// Rules that were broken.
    pub broken: Vec<String>,
    findings: Vec<String>,
    #[serde(skip)]
    steps: (Vec<Step>, Vec<Step>),
}

fn record(scenario: &Scenario, engine: Engine, seed: u64) -> Result<(Record, Vec<String>), String> {
    match engine {
        Engine::Virtual => Ok((virtual_time::run(scenario, Policy::Indigohold, seed), Vec::new())),
        Engine::Sockets => {
            let program = sockets::program().map_err(|e| e.to_string())?;
            let scratch = Scratch::new().map_err(|e| e.to_string())?;
            let ran = sockets::run(scenario, seed, &program, &scratch.0);
            let (record, found) = ran.map_err(|e| format!("{}: {e}", scenario.name))?;
            Ok((record, found.findings))
        }
    }
}

/// One scenario and its twin.
pub fn one(scenario: &Scenario, args: &FleetArgs) -> Result<Run, String> {
    let left_out = scenario.sockets_only();
    if args.engine == Engine::Virtual && !left_out.is_empty() {
        println!("left out in virtual time: {}", left_out.join(", "));
    }
    beside_twin(scenario, args.engine, args.seed)
}

fn beside_twin(scenario: &Scenario, engine: Engine, seed: u64) -> Result<Run, String> {
    let (ours, findings) = record(scenario, engine, seed)?;
    let (twin, _) = record(&scenario.unharmed(), engine, seed)?;
    let name = if engine == Engine::Sockets { "sockets" } else { "virtual" };
    let outcome = judge(&ours, scenario, Policy::Indigohold, seed, name);
    for broken in &outcome.broken {
        eprintln!("{} seed {seed}: {} at {:.3} s: {}", scenario.name, broken.rule, broken.at_s, broken.what);
        broken.trace.iter().for_each(|line| eprintln!("    {line}"));
    }
    Ok(Run {
        measures: fleet::measures(&ours, &twin, scenario, seed),
        broken: outcome.broken.iter().map(|b| format!("{} at {:.3} s: {}", b.rule, b.at_s, b.what)).collect(),
        findings,
        steps: (fleet::steps(&ours, scenario), fleet::steps(&twin, scenario)),
    })
}

/// The measures as a table, a line a run.
pub fn tables(runs: &[(String, Run)], table: impl Fn(&[&str]) -> Table) -> Table {
    let mut out = table(&[
        "run",
        "full service",
        "in time (twin)",
        "handed back",
        "refused",
        "given up",
        "asks: all/peak/refused",
        "connects: all/peak",
        "turned away",
        "over limit",
        "toppled",
        "idle room",
        "away",
        "rules",
        "found",
    ]);
    for (name, run) in runs {
        let m = &run.measures;
        out.add_row([
            name.clone(),
            m.full_service_s.map_or("not within the run".into(), |s| format!("{s:.2} s")),
            format!("{:.3} ({:.3})", m.in_time, m.twin_in_time),
            format!("{:.3}", m.handed_back),
            format!("{:.3}", m.refused),
            format!("{:.3}", m.given_up),
            format!("{} / {} / {}", m.asks, m.asks_peak, m.asks_refused),
            format!("{} / {}", m.connects, m.connects_peak),
            format!("{:.3}", m.turned_away),
            format!("{:.2}", m.over_limit),
            m.toppled.to_string(),
            format!("{:.3}", m.idle_room),
            format!("{:.2} s", m.away_s),
            if run.broken.is_empty() { "kept".into() } else { run.broken.join("; ") },
            run.findings.len().to_string(),
        ]);
    }
    out
}

/// Keeps a run: scenario, measures, and its steps beside the twin's.
pub fn keep(folder: &Path, scenario: &Value, run: &Run) -> Result<(), String> {
    let text = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(text)?;
    let json = |v: &dyn Fn() -> serde_json::Result<String>| v().map_err(|e| e.to_string());
    std::fs::write(folder.join("scenario.json"), json(&|| serde_json::to_string_pretty(scenario))?)
        .map_err(text)?;
    std::fs::write(folder.join("fleet.json"), json(&|| serde_json::to_string_pretty(run))?).map_err(text)?;
    let charts = report::fleet_charts(&run.steps.0, &run.steps.1).map_err(text)?;
    for (name, chart) in ["in-time", "asked", "held"].iter().zip(charts) {
        std::fs::write(folder.join(format!("{name}.svg")), chart).map_err(text)?;
    }
    std::fs::write(folder.join("steps.csv"), fleet::csv(&run.steps.0, &run.steps.1)).map_err(text)
}

/// The scenario of one line of the table.
fn scenario(instances: usize, share: f64, register: &str, folder: &str) -> Result<Scenario, String> {
    let text = library::text("mass-restart").ok_or("the library lacks mass-restart")?;
    let killed = ((instances as f64 * share).round() as usize).max(1);
    let changes = [
        ("courier.instances", instances.to_string()),
        ("clients.rate", (8 * instances).to_string()),
        ("kills[0].count", killed.to_string()),
    ];
    let changes = changes.map(|(path, to)| (path.to_owned(), to));
    let mut out = Scenario::read_with(text.as_bytes(), &changes).map_err(|f| format!("{f:?}"))?;
    let at = out.kills[0].at;
    match folder {
        "kept" => {}
        "wiped" => out.kills[0].loses_disk = true,
        "older" => out.kills[0].folder = Folder::Older(at - 2.0),
        "missing" => out.kills[0].folder = Folder::Missing,
        other => return Err(format!("--folder {other}: kept, wiped, older or missing")),
    }
    let (what, lasts) = register.split_once(':').unwrap_or((register, "0"));
    let lasts: f64 =
        lasts.parse().map_err(|_| format!("--register {register}: no seconds behind the colon"))?;
    match what {
        "up" => {}
        "down" => out.registry.down.push((at, at + lasts)),
        "mute" => {
            let rule = indigohold_relay::Rule::new("mute", "c*>registry", indigohold_relay::What::Mute)?;
            out.links.push(rule.during(at, at + lasts));
        }
        other => return Err(format!("--register {other}: up, down:SECONDS or mute:SECONDS")),
    }
    // Time to come back in, after the last fault.
    out.seconds = out.last_trouble().unwrap_or(0.0) + 10.0;
    out.name = format!(
        "{instances} instances, {:.0} % killed, register {register}, folders {folder}",
        share * 100.0
    );
    Ok(out)
}

/// The table.
pub fn comeback(args: &ComebackArgs, table: impl Fn(&[&str]) -> Table) -> Result<ExitCode, String> {
    let mut runs = Vec::new();
    for instances in &args.instances {
        for share in &args.share {
            for register in &args.register {
                for folder in &args.folder {
                    let scenario = scenario(*instances, *share, register, folder)?;
                    for seed in 1..=args.seeds {
                        let run = beside_twin(&scenario, args.engine, seed)?;
                        let name = format!("{}, seed {seed}", scenario.name);
                        eprintln!("{name}: full service after {:?} s", run.measures.full_service_s);
                        runs.push((name, run));
                    }
                }
            }
        }
    }
    println!("{}", tables(&runs, table));
    if let Some(out) = &args.out {
        let text = |e: std::io::Error| format!("{}: {e}", out.display());
        std::fs::create_dir_all(out).map_err(text)?;
        let json = serde_json::to_string_pretty(&runs).map_err(|e| e.to_string())?;
        std::fs::write(out.join("comeback.json"), json).map_err(text)?;
        for (name, run) in &runs {
            let file = name.replace([' ', ',', '%', ':'], "_") + ".csv";
            std::fs::write(out.join(file), fleet::csv(&run.steps.0, &run.steps.1)).map_err(text)?;
        }
    }
    Ok(ExitCode::from(u8::from(runs.iter().any(|(_, run)| !run.broken.is_empty()))))
}
