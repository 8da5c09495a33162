//! The command line of the lab.

mod real;
mod returns;

use clap::{Args, Parser, Subcommand};
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::Table;
use indicatif::{ProgressBar, ProgressStyle};
use indigohold_lab::experiment::compare::{compare, Verdict};
use indigohold_lab::experiment::minimise::{minimise, Failure};
use indigohold_lab::experiment::sweep::{self, Axis};
use indigohold_lab::experiment::{keep, one, parallel, Machine, Outcome};
use indigohold_lab::policies::{Policy, NAMES};
use indigohold_lab::report;
use indigohold_lab::scenario::{library, schema, set, Scenario};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

#[derive(Parser)]
#[command(
    name = "lab",
    version,
    about = "An emulator of the world around the courier, and experiments on it"
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// The scenarios that come with the lab
    List,
    /// Print a scenario's file, with settings changed
    Show(What),
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
        what: What,
        #[command(flatten)]
        how: How,
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
        what: What,
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
        what: What,
        /// A setting and its values, as in clients.load=0.8,1.0,1.2; `policy` varies the policy (values apart by ;)
        #[arg(long = "vary", required = true)]
        vary: Vec<Axis>,
        /// Draw so many points of the grid instead of all
        #[arg(long)]
        random: Option<usize>,
        #[command(flatten)]
        seeds: Seeds,
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
        seeds: Seeds,
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
        seeds: Seeds,
        /// Folder of the results
        #[arg(long, default_value = "lab-results/baselines")]
        out: PathBuf,
    },
    /// Make a failing scenario small
    Minimise {
        #[command(flatten)]
        what: What,
        #[command(flatten)]
        how: How,
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

#[derive(Args)]
struct What {
    /// A scenario of the library, or a file
    scenario: String,
    /// Change a setting, as in clients.load=1.2
    #[arg(long = "set", value_name = "PATH=VALUE")]
    set: Vec<String>,
}

#[derive(Args)]
struct How {
    /// The policy: indigohold, or one of the lab, as in fixed:pause_ms=500
    #[arg(long, default_value = "indigohold")]
    policy: Policy,
    /// The seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[derive(Args)]
struct Seeds {
    /// So many seeds, from 1 on
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Threads; all processors by default
    #[arg(long, env = "LAB_THREADS")]
    threads: Option<usize>,
}

impl Seeds {
    fn all(&self) -> Vec<u64> {
        (1..=self.seeds).collect()
    }

    fn threads(&self) -> usize {
        self.threads.unwrap_or_else(|| std::thread::available_parallelism().map_or(1, |n| n.get()))
    }
}

fn text_of(scenario: &str) -> Result<String, String> {
    match library::text(scenario) {
        Some(text) => Ok(text.to_owned()),
        None => std::fs::read_to_string(scenario)
            .map_err(|e| format!("{scenario}: no scenario of the library, and no file: {e}")),
    }
}

impl What {
    /// The scenario's text with its changes, and what it says.
    fn read(&self) -> Result<(Value, Scenario), String> {
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

fn read(text: &str, name: &str) -> Result<Scenario, String> {
    Scenario::read(text.as_bytes()).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(|f| format!("{name}: {f}")).collect();
        lines.join("\n")
    })
}

fn main() -> ExitCode {
    let listens = indigohold_lab::sockets::end_on_signals().map_err(|e| e.to_string());
    match listens.and_then(|()| run(Cli::parse().command)) {
        Ok(code) => code,
        Err(words) => {
            eprintln!("lab: {words}");
            ExitCode::from(2)
        }
    }
}

/// 0 where all is well, 1 where a rule was broken, 2 where it could not be done.
fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::List => {
            let mut table = table(&["scenario", "what it is for"]);
            for (name, text) in library::ALL {
                table.add_row([name.to_owned(), read(text, name)?.about]);
            }
            println!("{table}");
        }
        Command::Show(what) => {
            let (value, _) = what.read()?;
            println!("{}", serde_json::to_string_pretty(&value).map_err(|e| e.to_string())?);
        }
        Command::Schema => {
            println!("{}", serde_json::to_string_pretty(&schema::schema()).map_err(|e| e.to_string())?);
        }
        Command::Check { files } => {
            let mut bad = false;
            for file in &files {
                let name = file.display().to_string();
                let result = text_of(&name).and_then(|text| read(&text, &name));
                match result {
                    Ok(scenario) => println!("{name}: {}, {} s", scenario.name, scenario.seconds),
                    Err(words) => {
                        bad = true;
                        println!("{words}");
                    }
                }
            }
            return Ok(ExitCode::from(if bad { 2 } else { 0 }));
        }
        Command::Run { what, how, keep: folder, json } => {
            let (value, scenario) = what.read()?;
            let (outcome, machine) = one(&scenario, how.policy, how.seed);
            if let Some(folder) = &folder {
                keep(folder, &value, &outcome, &machine).map_err(|e| format!("{}: {e}", folder.display()))?;
            }
            if json {
                println!("{}", serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?);
            } else {
                print_outcome(&outcome, &machine);
            }
            return Ok(verdict(&outcome));
        }
        Command::Sockets { what, seed, keep: folder } => {
            let (value, scenario) = what.read()?;
            let outcome = real::run(&value, &scenario, seed, folder.as_deref(), print_outcome)?;
            return Ok(verdict(&outcome));
        }
        Command::Fleet(args) => {
            let (value, scenario) = args.what.read()?;
            let run = returns::one(&scenario, &args)?;
            println!("{}", returns::tables(&[("".into(), run.clone())], table));
            if let Some(folder) = &args.keep {
                returns::keep(folder, &value, &run)?;
            }
            return Ok(ExitCode::from(u8::from(!run.broken.is_empty())));
        }
        Command::Comeback(args) => return returns::comeback(&args, table),
        Command::Agree { scenarios, seeds } => {
            let head = [
                "scenario",
                "seed",
                "goodput",
                "worst 10 s",
                "delivered",
                "calls/msg",
                "p50 ms",
                "p99 ms",
                "rules",
                "findings",
            ];
            println!("{}", real::agree(&chosen(&scenarios)?, seeds, table(&head))?);
        }
        Command::Load(args) => {
            let head = [
                "a second",
                "due",
                "taken",
                "refused",
                "failed",
                "unanswered",
                "from due: p50 / p99 / p99.9 / most",
                "from sent",
            ];
            real::load(&args, table(&head))?;
        }
        Command::Knee(args) => {
            let head = [
                "a second",
                "wanted",
                "delivered",
                "keeps up",
                "to its answer: p50 / p99 / p99.9 / most",
                "to its delivery",
                "cpu us each",
                "memory kB",
            ];
            real::knee(&args, table(&head))?;
        }
        Command::Sweep { what, vary, random, seeds, policy, out } => {
            let (value, _) = what.read()?;
            let points = sweep::points(&vary, &seeds.all(), random);
            let bar = progress(points.len());
            let text = value.to_string();
            let done = sweep::sweep(&text, &points, policy, &out.join("points"), seeds.threads(), |n| {
                bar.set_position(n as u64);
            });
            let done = done.map_err(|e| e.to_string())?;
            bar.finish_and_clear();
            write(&out.join("sweep.csv"), &sweep::csv(&done))?;
            write(&out.join("scenario.json"), &text)?;
            let table = serde_json::to_string(&report::summarise(&done)).map_err(|e| e.to_string())?;
            write(&out.join("sweep.json"), &table)?;
            print_groups(&report::summarise(&done));
            println!("{} runs, kept in {}", done.len(), out.display());
        }
        Command::Compare { first, second, scenarios, seeds } => {
            let mut table = table(&[
                "scenario",
                "figure",
                &first.to_string(),
                &second.to_string(),
                "difference",
                "95 %",
                "verdict",
            ]);
            for (name, scenario) in chosen(&scenarios)? {
                let runs: Vec<(Policy, u64)> =
                    seeds.all().iter().flat_map(|seed| [(first, *seed), (second, *seed)]).collect();
                let outcomes = parallel(
                    &runs,
                    seeds.threads(),
                    |_| {},
                    |(policy, seed)| one(&scenario, *policy, *seed).0,
                );
                for (figure, of) in FIGURES {
                    let pairs: Vec<(f64, f64)> = outcomes.chunks(2).map(|p| (of(&p[0]), of(&p[1]))).collect();
                    let c = compare(&pairs);
                    table.add_row([
                        name.clone(),
                        figure.to_owned(),
                        format!("{:.4}", c.first),
                        format!("{:.4}", c.second),
                        format!("{:+.4}", c.difference),
                        format!("{:+.4} to {:+.4}", c.interval.0, c.interval.1),
                        match c.verdict {
                            Verdict::Higher => "second is higher",
                            Verdict::Lower => "second is lower",
                            Verdict::NoDifference => "no difference seen",
                        }
                        .to_owned(),
                    ]);
                }
            }
            println!("{table}");
        }
        Command::Baselines { policies, scenarios, seeds, out } => {
            let policies: Vec<Policy> = policies.iter().map(|p| p.parse()).collect::<Result<_, _>>()?;
            let chosen = chosen(&scenarios)?;
            let mut runs = Vec::new();
            for (_, scenario) in &chosen {
                for policy in &policies {
                    runs.extend(seeds.all().into_iter().map(|seed| (scenario.clone(), *policy, seed)));
                }
            }
            let bar = progress(runs.len());
            let outcomes = parallel(
                &runs,
                seeds.threads(),
                |n| bar.set_position(n as u64),
                |(scenario, policy, seed)| {
                    let mut outcome = one(scenario, *policy, *seed).0;
                    outcome.figures.seconds.clear();
                    outcome
                },
            );
            bar.finish_and_clear();
            let rows = report::baselines(&outcomes);
            write(&out.join("baselines.csv"), &report::baselines_csv(&rows))?;
            write(
                &out.join("baselines.json"),
                &serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?,
            )?;
            print_rows(&rows);
            println!("{} runs, kept in {}", outcomes.len(), out.display());
        }
        Command::Minimise { what, how, failure, most } => {
            let (value, _) = what.read()?;
            let small = minimise(&value, how.policy, how.seed, &failure, most)
                .ok_or("the scenario does not fail in this way with this seed")?;
            small.steps.iter().for_each(|step| eprintln!("{step}"));
            eprintln!("{} runs", small.runs);
            println!("{}", serde_json::to_string_pretty(&small.scenario).map_err(|e| e.to_string())?);
        }
        Command::Report { folders, out } => {
            let html = report::html(&folders).map_err(|e| e.to_string())?;
            write(&out, &html)?;
            println!("{}", out.display());
        }
        Command::Speed { rate, seconds, sizes } => speed(rate, seconds, &sizes)?,
    }
    Ok(ExitCode::SUCCESS)
}

type Figure = (&'static str, fn(&Outcome) -> f64);

/// Figures that comparisons tell, higher being better for the first three.
const FIGURES: [Figure; 5] = [
    ("goodput", |o| o.figures.goodput),
    ("worst 10 s", |o| o.figures.worst_10s),
    ("delivered", |o| o.figures.delivered as f64 / o.figures.wanted.max(1) as f64),
    ("calls a message", |o| o.figures.calls as f64 / o.figures.wanted.max(1) as f64),
    ("p99, s", |o| o.figures.latency.p99 / 1e3),
];

fn chosen(names: &[String]) -> Result<Vec<(String, Scenario)>, String> {
    let all: Vec<String> = match names {
        [] => library::ALL.iter().map(|(name, _)| (*name).to_owned()).collect(),
        some => some.to_vec(),
    };
    all.into_iter().map(|name| Ok((name.clone(), read(&text_of(&name)?, &name)?))).collect()
}

fn verdict(outcome: &Outcome) -> ExitCode {
    ExitCode::from(if outcome.broken.is_empty() { 0 } else { 1 })
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    let fail = |e: std::io::Error| format!("{}: {e}", path.display());
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(fail)?;
    }
    std::fs::write(path, text).map_err(fail)
}

fn progress(len: usize) -> ProgressBar {
    let bar = ProgressBar::new(len as u64);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left") {
        bar.set_style(style);
    }
    bar
}

fn table(head: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(head);
    table
}

fn print_outcome(outcome: &Outcome, machine: &Machine) {
    let f = &outcome.figures;
    println!("{}, {}, seed {}, {} engine", outcome.scenario, outcome.policy, outcome.seed, outcome.engine);
    let recovery = match (f.recovery_s, f.stuck) {
        (Some(s), _) => format!("{s:.0} s"),
        (None, true) => "never".into(),
        (None, false) => "-".into(),
    };
    println!(
        "goodput {:.4}, worst 10 s {:.4}, recovered after {recovery}; {} of {} delivered, {} refused at the door, {} given up, {} handed back",
        f.goodput, f.worst_10s, f.delivered, f.wanted, f.refused, f.given_up, f.handed_back
    );
    println!(
        "{} calls, {} repeats, {} turned away, {} timed out, {} doubles, {} toppled; {:.2} s, {:.0} steps a second",
        f.calls, f.repeats, f.refusals, f.timeouts, f.doubles, f.toppled, machine.took_s,
        machine.steps as f64 / machine.took_s.max(1e-9)
    );
    let mut table =
        table(&["class", "wanted", "delivered", "goodput", "doubles", "p50 ms", "p99 ms", "p99.9 ms"]);
    for c in &f.classes {
        table.add_row([
            c.name.clone(),
            c.wanted.to_string(),
            c.delivered.to_string(),
            format!("{:.4}", c.goodput),
            c.doubles.to_string(),
            format!("{:.1}", c.latency.p50),
            format!("{:.1}", c.latency.p99),
            format!("{:.1}", c.latency.p999),
        ]);
    }
    println!("{table}");
    for broken in &outcome.broken {
        println!("BROKEN {} at {:.3} s: {}", broken.rule, broken.at_s, broken.what);
        broken.trace.iter().for_each(|line| println!("    {line}"));
    }
    if outcome.broken.is_empty() {
        println!("all rules kept");
    }
}

fn print_groups(groups: &[report::Group]) {
    let mut table = table(&[
        "settings",
        "runs",
        "goodput",
        "worst 10 s",
        "calls",
        "repeats",
        "p99 ms",
        "stuck",
        "rules broken",
    ]);
    for g in groups {
        table.add_row([
            g.label(),
            g.runs.to_string(),
            format!("{:.4}", g.goodput),
            format!("{:.4}", g.worst_10s),
            format!("{:.0}", g.calls),
            format!("{:.0}", g.repeats),
            format!("{:.0}", g.p99_ms),
            g.stuck.to_string(),
            g.broken.to_string(),
        ]);
    }
    println!("{table}");
}

fn print_rows(rows: &[report::Row]) {
    let mut table = table(&[
        "scenario",
        "policy",
        "goodput",
        "worst 10 s",
        "recovery s",
        "calls/msg",
        "refused calls",
        "doubles",
        "toppled",
        "broken",
    ]);
    for r in rows {
        table.add_row([
            r.scenario.clone(),
            r.policy.clone(),
            format!("{:.4}", r.goodput),
            format!("{:.4}", r.worst_10s),
            r.recovery(),
            format!("{:.2}", r.calls_a_message),
            format!("{:.0}", r.refusals),
            r.doubles.to_string(),
            r.toppled.to_string(),
            r.broken.join(" "),
        ]);
    }
    println!("{table}");
}

fn speed(rate: f64, seconds: f64, sizes: &[String]) -> Result<(), String> {
    let mut table =
        table(&["instances", "destinations", "messages", "took s", "messages a second", "steps a second"]);
    for size in sizes {
        let parts = size
            .split_once('x')
            .and_then(|(a, b)| Some((a.parse::<usize>().ok()?, b.parse::<usize>().ok()?)));
        let (instances, dests) = parts.ok_or_else(|| format!("{size}: it must be as 100x1000"))?;
        let text = format!(
            r#"{{"name":"speed","seconds":{seconds},"clients":{{"rate":{rate}}},
                "courier":{{"instances":{instances},"lists_what_it_uses":true,"slots":16}},
                "destinations":{{"count":{dests},"skew":0.5,"endpoints":1}}}}"#
        );
        let scenario = read(&text, "speed")?;
        let begun = Instant::now();
        let (outcome, machine) = one(&scenario, Policy::Indigohold, 1);
        let took = begun.elapsed().as_secs_f64();
        table.add_row([
            instances.to_string(),
            dests.to_string(),
            outcome.figures.wanted.to_string(),
            format!("{took:.2}"),
            format!("{:.0}", outcome.figures.wanted as f64 / took),
            format!("{:.0}", machine.steps as f64 / took),
        ]);
    }
    println!("{table}");
    Ok(())
}
