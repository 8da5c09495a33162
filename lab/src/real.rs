//! The commands that run the real program: a scenario on sockets, both engines side by side, a load, and the knee.

use clap::Args;
use comfy_table::Table;
use indicatif::ProgressBar;
use indigohold_lab::experiment::{judge, keep, machine, one, Machine, Outcome};
use indigohold_lab::figures::Latency;
use indigohold_lab::load::{self, Load, Protocol};
use indigohold_lab::policies::Policy;
use indigohold_lab::scenario::Scenario;
use indigohold_lab::sockets::{self, Found, Scratch};
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// A scenario on sockets; the outcome, the machine and what was found beside.
pub fn sockets(scenario: &Scenario, seed: u64) -> Result<(Outcome, Machine, Found), String> {
    let program = sockets::program().map_err(|e| e.to_string())?;
    let scratch = Scratch::new().map_err(|e| e.to_string())?;
    let begun = Instant::now();
    let ran = sockets::run(scenario, seed, &program, &scratch.0);
    let (record, found) = ran.map_err(|e| format!("{}: {e}", scenario.name))?;
    let outcome = judge(&record, scenario, Policy::Indigohold, seed, "sockets");
    Ok((outcome, machine(begun, found.steps), found))
}

/// Runs, keeps and tells a scenario on sockets.
pub fn run(
    value: &Value, scenario: &Scenario, seed: u64, folder: Option<&Path>, print: impl Fn(&Outcome, &Machine),
) -> Result<Outcome, String> {
    let (outcome, machine, found) = sockets(scenario, seed)?;
    if let Some(folder) = folder {
        keep(folder, value, &outcome, &machine).map_err(|e| format!("{}: {e}", folder.display()))?;
        let used = serde_json::to_string_pretty(&found.used).map_err(|e| e.to_string())?;
        std::fs::write(folder.join("used.json"), used).map_err(|e| e.to_string())?;
    }
    print(&outcome, &machine);
    if let Some(answers) = &found.answers {
        println!("hand-in to answer, p50 / p99 / p99.9 / most: {}", load::words(&Latency::of(answers)));
    }
    let cpu: u64 = found.used.iter().map(|u| u.cpu_ms).sum();
    let memory = found.used.iter().map(|u| u.memory_kb).max().unwrap_or(0);
    let lives: u32 = found.used.iter().map(|u| u.lives).sum();
    println!("{lives} lives, {cpu} ms of processor time in their last ones, {memory} kB at most in one");
    found.findings.iter().for_each(|finding| println!("FOUND {finding}"));
    Ok(outcome)
}

/// Both engines on the same scenarios and seeds.
pub fn agree(chosen: &[(String, Scenario)], seeds: u64, mut table: Table) -> Result<Table, String> {
    for (name, scenario) in chosen {
        for seed in 1..=seeds {
            let emulated = one(scenario, Policy::Indigohold, seed).0;
            let (real, _, found) = sockets(scenario, seed)?;
            let both = |by: fn(&Outcome) -> f64| format!("{:.3} / {:.3}", by(&emulated), by(&real));
            let rules = |o: &Outcome| if o.broken.is_empty() { "kept" } else { "broken" };
            table.add_row([
                name.clone(),
                seed.to_string(),
                both(|o| o.figures.goodput),
                both(|o| o.figures.worst_10s),
                both(|o| o.figures.delivered as f64 / o.figures.wanted.max(1) as f64),
                both(|o| o.figures.calls as f64 / o.figures.wanted.max(1) as f64),
                format!("{:.1} / {:.1}", emulated.figures.latency.p50, real.figures.latency.p50),
                format!("{:.1} / {:.1}", emulated.figures.latency.p99, real.figures.latency.p99),
                format!("{} / {}", rules(&emulated), rules(&real)),
                found.findings.len().to_string(),
            ]);
            for broken in &real.broken {
                eprintln!(
                    "{name} seed {seed} on sockets: {} at {:.3} s: {}",
                    broken.rule, broken.at_s, broken.what
                );
                broken.trace.iter().for_each(|line| eprintln!("    {line}"));
            }
            found.findings.iter().for_each(|finding| eprintln!("{name} seed {seed}: {finding}"));
        }
    }
    Ok(table)
}

/// Flags of `load`.
#[derive(Args)]
pub struct LoadArgs {
    /// The program: a loopback address
    #[arg(long)]
    to: SocketAddr,
    /// How messages are handed in
    #[arg(long, value_enum, default_value_t = Protocol::Http)]
    protocol: Protocol,
    /// Messages a second
    #[arg(long, default_value_t = 100.0)]
    rate: f64,
    /// For so long
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Messages at the most
    #[arg(long, default_value_t = 1_000_000)]
    most: u64,
    /// Connections at the most
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Seconds after which a message counts as unanswered
    #[arg(long, default_value_t = 2.0)]
    patience: f64,
    /// Class of the messages
    #[arg(long, default_value = "print-order")]
    class: String,
    /// Their tenant
    #[arg(long, default_value = "tallowood")]
    tenant: String,
    /// Their destination
    #[arg(long, default_value_t = 7)]
    dest: usize,
    /// Sender, over mail
    #[arg(long, default_value = "lab@tallowood.partners.example")]
    from: String,
    /// Recipient, over mail
    #[arg(long, default_value = "orders@gumleaf.partners.example")]
    rcpt: String,
    /// Bytes of a body
    #[arg(long, default_value_t = 200)]
    bytes: usize,
    /// Raise the rate by this factor from step to step until messages are refused, unanswered or slow
    #[arg(long)]
    sweep: Option<f64>,
    /// Steps of a sweep at the most
    #[arg(long, default_value_t = 12)]
    steps: u32,
    /// A step whose 99th percentile from due to answer is over this many milliseconds ends a sweep
    #[arg(long, default_value_t = 100.0)]
    slow_ms: f64,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

impl LoadArgs {
    fn load(&self, rate: f64) -> Result<Load, String> {
        if !(rate > 0.0 && rate <= 1e6 && self.seconds > 0.0 && self.seconds <= 3_600.0) {
            return Err("the rate must be within 1,000,000 a second, the time within an hour".into());
        }
        Ok(Load {
            to: self.to,
            protocol: self.protocol,
            rate,
            seconds: self.seconds,
            most: self.most,
            connections: self.connections.clamp(1, 20_000),
            patience: self.patience.clamp(0.01, 60.0),
            class: self.class.clone(),
            tenant: self.tenant.clone(),
            dest: self.dest,
            from: self.from.clone(),
            rcpt: self.rcpt.clone(),
            bytes: self.bytes.min(60_000),
        })
    }
}

#[derive(Serialize)]
struct Step {
    rate: f64,
    loaded: load::Loaded,
}

/// An open loop at a program, or a sweep of them.
pub fn load(args: &LoadArgs, mut table: Table) -> Result<(), String> {
    let (mut rate, mut steps) = (args.rate, Vec::new());
    for _ in 0..if args.sweep.is_some() { args.steps.max(1) } else { 1 } {
        let load = args.load(rate)?;
        let bar = ProgressBar::new((rate * args.seconds) as u64);
        let loaded = load::run(&load, |due| bar.set_position(due)).map_err(|e| e.to_string())?;
        bar.finish_and_clear();
        let ends =
            loaded.refused + loaded.failed + loaded.unanswered > 0 || loaded.from_due.p99 > args.slow_ms;
        steps.push(Step { rate, loaded });
        match args.sweep {
            Some(factor) if !ends && factor > 1.0 => rate *= factor,
            _ => break,
        }
    }
    if args.json {
        println!("{}", serde_json::to_string_pretty(&steps).map_err(|e| e.to_string())?);
        return Ok(());
    }
    for Step { rate, loaded: l } in &steps {
        table.add_row([
            format!("{rate:.0}"),
            l.due.to_string(),
            l.taken.to_string(),
            l.refused.to_string(),
            l.failed.to_string(),
            l.unanswered.to_string(),
            load::words(&l.from_due),
            load::words(&l.from_sent),
        ]);
    }
    println!("{table}");
    Ok(())
}

/// Flags of `knee`.
#[derive(Args)]
pub struct KneeArgs {
    /// The first rate, in messages a second
    #[arg(long, default_value_t = 500.0)]
    from: f64,
    /// Seconds for each rate
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Calls out at once
    #[arg(long, default_value_t = 64)]
    slots: usize,
    /// A rate at which more than this many milliseconds lie between wanted and delivered, for one in a hundred, is too high
    #[arg(long, default_value_t = 100.0)]
    slow_ms: f64,
    /// Steps of halving after the doubling
    #[arg(long, default_value_t = 4)]
    halvings: u32,
    /// Keep the table as JSON here
    #[arg(long)]
    out: Option<PathBuf>,
}

#[derive(Serialize)]
struct Rate {
    rate: f64,
    wanted: u64,
    delivered: u64,
    keeps_up: bool,
    answers: Latency,
    deliveries: Latency,
    cpu_us_each: f64,
    memory_kb: u64,
}

/// Finds the rate at which one instance can't keep up with eight partners that answer within a tenth of a millisecond.
pub fn knee(args: &KneeArgs, mut table: Table) -> Result<(), String> {
    let mut all: Vec<Rate> = Vec::new();
    let at = |rate: f64| -> Result<Rate, String> {
        let text = format!(
            r#"{{"name":"knee","seconds":{},"courier":{{"instances":1,"slots":{},"max_open":200000,"disk_mb":256}},
                "clients":{{"rate":{rate},"retries":0}},"network_ms":0,
                "destinations":{{"count":8,"skew":0,"endpoints":1,"service_ms":0.1,"service_shape":"fixed","headroom":50,
                    "queue":100000,"handshake_ms":0,"connections":10000}}}}"#,
            args.seconds, args.slots
        );
        let scenario = Scenario::read(text.as_bytes()).map_err(|f| format!("{f:?}"))?;
        let (outcome, _, found) = sockets(&scenario, 1)?;
        let f = &outcome.figures;
        let answers = found.answers.as_ref().map(Latency::of).unwrap_or_default();
        let cpu: u64 = found.used.iter().map(|u| u.cpu_ms).sum();
        let keeps_up = f.delivered == f.wanted && f.latency.p99 <= args.slow_ms && found.findings.is_empty();
        Ok(Rate {
            rate,
            wanted: f.wanted,
            delivered: f.delivered,
            keeps_up,
            answers,
            deliveries: f.latency,
            cpu_us_each: cpu as f64 * 1e3 / f.wanted.max(1) as f64,
            memory_kb: found.used.iter().map(|u| u.memory_kb).max().unwrap_or(0),
        })
    };
    let mut rate = args.from;
    let (mut low, mut high) = (0.0, 0.0);
    for _ in 0..12 {
        let seen = at(rate)?;
        let keeps_up = seen.keeps_up;
        all.push(seen);
        if !keeps_up {
            high = rate;
            break;
        }
        low = rate;
        rate *= 2.0;
    }
    for _ in 0..if high > 0.0 { args.halvings } else { 0 } {
        let middle = (low + high) / 2.0;
        let seen = at(middle)?;
        if seen.keeps_up {
            low = middle;
        } else {
            high = middle;
        }
        all.push(seen);
    }
    all.sort_by(|a, b| a.rate.total_cmp(&b.rate));
    for r in &all {
        table.add_row([
            format!("{:.0}", r.rate),
            r.wanted.to_string(),
            r.delivered.to_string(),
            if r.keeps_up { "yes" } else { "no" }.to_owned(),
            load::words(&r.answers),
            load::words(&r.deliveries),
            format!("{:.0}", r.cpu_us_each),
            r.memory_kb.to_string(),
        ]);
    }
    println!("{table}");
    println!("the knee lies between {low:.0} and {high:.0} messages a second");
    if let Some(out) = &args.out {
        let text = serde_json::to_string_pretty(&all).map_err(|e| e.to_string())?;
        std::fs::write(out, text).map_err(|e| format!("{}: {e}", out.display()))?;
    }
    Ok(())
}
