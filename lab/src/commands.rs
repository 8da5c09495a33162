//! Carries out the subcommands.

use crate::cli::{chosen, read, text_of, Command, RunArgs, ScenarioArgs, SeedArgs};
use crate::tables::{print_groups, print_outcome, print_rows, progress, table};
use crate::{real, returns};
use indigohold_lab::experiment::compare::{compare, Verdict};
use indigohold_lab::experiment::minimise::{minimise, Failure};
use indigohold_lab::experiment::sweep::{self, Axis};
use indigohold_lab::experiment::{keep, one, parallel, Outcome};
use indigohold_lab::policies::Policy;
use indigohold_lab::report;
use indigohold_lab::scenario::{library, schema};
use serde::Serialize;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

/// Exit code of a run that broke a rule.
const RULE_BROKEN: u8 = 1;
/// Exit code where a file is invalid.
const INVALID_FILE: u8 = 2;

/// Carries out a subcommand. Exit code 0: all is well; 1: a rule was broken; 2: a file is invalid. An error means that it could
/// not be carried out.
pub fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::List => list()?,
        Command::Show(scenario) => print_json(&scenario.read()?.0)?,
        Command::Schema => print_json(&schema::schema())?,
        Command::Check { files } => return Ok(check_files(&files)),
        Command::Run { what, how, keep: folder, json } => {
            return run_once(&what, &how, folder.as_deref(), json)
        }
        Command::Sockets { what, seed, keep: folder } => {
            let (value, scenario) = what.read()?;
            let outcome = real::run(&value, &scenario, seed, folder.as_deref(), print_outcome)?;
            return Ok(exit_code(!outcome.broken.is_empty()));
        }
        Command::Fleet(args) => {
            let (value, scenario) = args.what.read()?;
            let run = returns::one(&scenario, &args)?;
            println!("{}", returns::tables(&[("".into(), run.clone())], table));
            if let Some(folder) = &args.keep {
                returns::keep(folder, &value, &run)?;
            }
            return Ok(exit_code(!run.broken.is_empty()));
        }
        Command::Comeback(args) => return returns::comeback(&args, table),
        Command::Agree { scenarios, seeds } => {
            println!("{}", real::agree(&chosen(&scenarios)?, seeds, table(&AGREE_HEAD))?);
        }
        Command::Load(args) => real::load(&args, table(&LOAD_HEAD))?,
        Command::Knee(args) => real::knee(&args, table(&KNEE_HEAD))?,
        Command::Sweep { what, vary, random, seeds, policy, out } => {
            run_sweep(&what, &vary, random, &seeds, policy, &out)?;
        }
        Command::Compare { first, second, scenarios, seeds } => {
            compare_policies(first, second, &scenarios, &seeds)?;
        }
        Command::Baselines { policies, scenarios, seeds, out } => {
            run_baselines(&policies, &scenarios, &seeds, &out)?;
        }
        Command::Minimise { what, how, failure, most } => minimise_failure(&what, &how, &failure, most)?,
        Command::Report { folders, out } => {
            write(&out, &report::html(&folders).map_err(|e| e.to_string())?)?;
            println!("{}", out.display());
        }
        Command::Speed { rate, seconds, sizes } => speed(rate, seconds, &sizes)?,
    }
    Ok(ExitCode::SUCCESS)
}

const AGREE_HEAD: [&str; 10] = [
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

const LOAD_HEAD: [&str; 8] = [
    "a second",
    "due",
    "taken",
    "refused",
    "failed",
    "unanswered",
    "from due: p50 / p99 / p99.9 / most",
    "from sent",
];

const KNEE_HEAD: [&str; 8] = [
    "a second",
    "wanted",
    "delivered",
    "keeps up",
    "to its answer: p50 / p99 / p99.9 / most",
    "to its delivery",
    "cpu us each",
    "memory kB",
];

fn exit_code(rule_broken: bool) -> ExitCode {
    match rule_broken {
        true => ExitCode::from(RULE_BROKEN),
        false => ExitCode::SUCCESS,
    }
}

fn print_json(value: &impl Serialize) -> Result<(), String> {
    println!("{}", serde_json::to_string_pretty(value).map_err(|e| e.to_string())?);
    Ok(())
}

fn list() -> Result<(), String> {
    let mut table = table(&["scenario", "what it is for"]);
    for (name, text) in library::ALL {
        table.add_row([name.to_owned(), read(text, name)?.about]);
    }
    println!("{table}");
    Ok(())
}

fn check_files(files: &[PathBuf]) -> ExitCode {
    let mut all_valid = true;
    for file in files {
        let name = file.display().to_string();
        match text_of(&name).and_then(|text| read(&text, &name)) {
            Ok(scenario) => println!("{name}: {}, {} s", scenario.name, scenario.seconds),
            Err(words) => {
                all_valid = false;
                println!("{words}");
            }
        }
    }
    ExitCode::from(if all_valid { 0 } else { INVALID_FILE })
}

fn run_once(
    what: &ScenarioArgs, how: &RunArgs, folder: Option<&Path>, json: bool,
) -> Result<ExitCode, String> {
    let (value, scenario) = what.read()?;
    let (outcome, machine) = one(&scenario, how.policy, how.seed);
    if let Some(folder) = folder {
        keep(folder, &value, &outcome, &machine).map_err(|e| format!("{}: {e}", folder.display()))?;
    }
    match json {
        true => print_json(&outcome)?,
        false => print_outcome(&outcome, &machine),
    }
    Ok(exit_code(!outcome.broken.is_empty()))
}

fn run_sweep(
    what: &ScenarioArgs, vary: &[Axis], random: Option<usize>, seeds: &SeedArgs, policy: Policy, out: &Path,
) -> Result<(), String> {
    let (value, _) = what.read()?;
    let points = sweep::points(vary, &seeds.all(), random);
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
    Ok(())
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

fn compare_policies(
    first: Policy, second: Policy, scenarios: &[String], seeds: &SeedArgs,
) -> Result<(), String> {
    let mut table = table(&[
        "scenario",
        "figure",
        &first.to_string(),
        &second.to_string(),
        "difference",
        "95 %",
        "verdict",
    ]);
    for (name, scenario) in chosen(scenarios)? {
        let runs: Vec<(Policy, u64)> =
            seeds.all().iter().flat_map(|seed| [(first, *seed), (second, *seed)]).collect();
        let outcomes =
            parallel(&runs, seeds.threads(), |_| {}, |(policy, seed)| one(&scenario, *policy, *seed).0);
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
    Ok(())
}

fn run_baselines(
    policies: &[String], scenarios: &[String], seeds: &SeedArgs, out: &Path,
) -> Result<(), String> {
    let policies: Vec<Policy> = policies.iter().map(|p| p.parse()).collect::<Result<_, _>>()?;
    let chosen = chosen(scenarios)?;
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
    write(&out.join("baselines.json"), &serde_json::to_string_pretty(&rows).map_err(|e| e.to_string())?)?;
    print_rows(&rows);
    println!("{} runs, kept in {}", outcomes.len(), out.display());
    Ok(())
}

fn minimise_failure(
    what: &ScenarioArgs, how: &RunArgs, failure: &Failure, most: usize,
) -> Result<(), String> {
    let (value, _) = what.read()?;
    let small = minimise(&value, how.policy, how.seed, failure, most)
        .ok_or("the scenario does not fail in this way with this seed")?;
    small.steps.iter().for_each(|step| eprintln!("{step}"));
    eprintln!("{} runs", small.runs);
    print_json(&small.scenario)
}

fn write(path: &Path, text: &str) -> Result<(), String> {
    let fail = |e: std::io::Error| format!("{}: {e}", path.display());
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(fail)?;
    }
    std::fs::write(path, text).map_err(fail)
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
