//! `relay FILE`: stands between the parties of the file's links and takes commands on standard input, one a line.

use clap::Parser;
use indigohold_relay::script::{self, Script};
use indigohold_relay::{Relay, RuleNo};
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// A relay on loopback that faults links by rule.
///
/// It prints the address of each link, then answers commands of standard input, one a line: `add RULE` (a rule's JSON
/// object; answers its number), `lift NUMBER`, `lift all`, `counts`, `record` (one JSON object for each fault met, then an
/// empty line), `end`. At the end of its input it ends.
#[derive(Parser)]
#[command(name = "relay", version)]
struct Args {
    /// Links, rules and limits, as `docs/operators/relay.md` describes them.
    file: PathBuf,
    /// Only check the file.
    #[arg(long)]
    check: bool,
    /// Write what was met to this file at the end, without times, in an order of its own.
    #[arg(long, value_name = "FILE")]
    record: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("relay: {what}");
            ExitCode::from(1)
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let text = std::fs::read(&args.file).map_err(|e| format!("{}: {e}", args.file.display()))?;
    let list = |faults: Vec<indigohold::checked::Fault>| {
        faults.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
    };
    let script = Script::read(&text).map_err(list)?;
    if args.check {
        println!("{}: {} links, {} rules", args.file.display(), script.links.len(), script.rules.len());
        return Ok(());
    }
    let text = |e: io::Error| e.to_string();
    let relay = Relay::start(script.seed, script.rules, script.limits).map_err(text)?;
    for (name, target) in script.links {
        let addr = relay.link(name.clone(), target).map_err(text)?;
        println!("{name} on {addr} to {target}");
    }
    let mut names: HashMap<String, RuleNo> = HashMap::new();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(text)?;
        let (word, rest) = line.trim().split_once(' ').unwrap_or((line.trim(), ""));
        let said = match word {
            "" => continue,
            "end" => break,
            "add" => match script::rule(rest.as_bytes()) {
                Ok(rule) => {
                    let name = rule.name.clone();
                    let n = relay.add(rule).map_err(text)?;
                    names.insert(name, n);
                    format!("ok {n}")
                }
                Err(faults) => format!("no {}", list(faults)),
            },
            "lift" if rest == "all" => format!("ok {}", relay.lift_all().map_err(text)?),
            "lift" => match rest.parse().ok().or_else(|| names.get(rest).copied()) {
                Some(n) if relay.lift(n).map_err(text)? => "ok".into(),
                _ => format!("no rule {rest} holds"),
            },
            "counts" => {
                serde_json::to_string(&relay.read().map_err(text)?.counts).map_err(|e| e.to_string())?
            }
            "record" => {
                let by_time = relay.read().map_err(text)?.by_time;
                let lines: Vec<String> = by_time
                    .iter()
                    .filter_map(|(at, event)| {
                        let mut value = serde_json::to_value(event).ok()?;
                        value["at_us"] = (*at).into();
                        Some(value.to_string() + "\n")
                    })
                    .collect();
                lines.concat()
            }
            other => format!("no such command: {other}"),
        };
        println!("{said}");
        io::stdout().flush().map_err(text)?;
    }
    if let Some(path) = &args.record {
        let canonical = relay.read().map_err(text)?.canonical;
        let lines: Vec<String> =
            canonical.iter().filter_map(|e| serde_json::to_string(e).ok()).map(|l| l + "\n").collect();
        std::fs::write(path, lines.concat()).map_err(text)?;
    }
    Ok(())
}
