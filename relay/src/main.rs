//! `relay FILE`: stands between the parties of the file's links and takes commands on standard input, one a line.

use clap::Parser;
use indigohold_relay::script::{self, Script};
use indigohold_relay::{Event, LinkCounts, LinkName, Mesh, Relay, RuleNo};
use serde_json::json;
use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::path::PathBuf;
use std::process::ExitCode;

/// A relay on loopback that faults links by rule.
///
/// It prints the address of each link, and one JSON object for each courier with the addresses for its configuration, then
/// answers commands of standard input, one a line: `add RULE` (a rule's JSON object; answers its number), `lift NUMBER`, `lift
/// all`, `cut GROUPS` (as in `cut c0-1 c2-4`), `heal`, `counts`, `ways` (counts of datagrams, an object for each way, then an
/// empty line), `record` (one JSON object for each fault met, then an empty line), `end`. At the end of its input it ends.
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
        let (links, rules, couriers) = (script.links.len(), script.rules.len(), script.couriers.len());
        println!("{}: {links} links, {couriers} couriers, {rules} rules", args.file.display());
        return Ok(());
    }
    let text = |e: io::Error| e.to_string();
    // Both have all rules, so that a rule has one number.
    let relay = Relay::start(script.seed, script.rules.clone(), script.limits).map_err(text)?;
    let mesh = Mesh::of(script.couriers, script.seed, script.rules).map_err(text)?;
    for (name, target) in script.links {
        let addr = relay.link(name.clone(), target).map_err(text)?;
        println!("{name} on {addr} to {target}");
    }
    for place in mesh.places() {
        let own = json!({"name": place.name, "peer_listen": place.listen, "peers": place.peers, "peers_all": place.all});
        println!("{own}");
    }
    let couriers: Vec<&str> = mesh.places().iter().map(|place| place.name.as_str()).collect();
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
                    let n = relay.add(rule.clone()).map_err(text)?;
                    mesh.add(rule).map_err(text)?;
                    names.insert(name, n);
                    format!("ok {n}")
                }
                Err(faults) => format!("no {}", list(faults)),
            },
            "lift" if rest == "all" => {
                let of_datagrams = mesh.lift_all().map_err(text)?;
                format!("ok {}", relay.lift_all().map_err(text)?.max(of_datagrams))
            }
            "lift" => match rest.parse().ok().or_else(|| names.get(rest).copied()) {
                // Danger: both are asked; one that is skipped would keep the rule.
                Some(n) if relay.lift(n).map_err(text)? | mesh.lift(n).map_err(text)? => "ok".into(),
                _ => format!("no rule {rest} holds"),
            },
            "cut" => match script::groups(rest, &couriers) {
                Ok(groups) => mesh.cut(&groups).map(|()| "ok".into()).map_err(text)?,
                Err(what) => format!("no {what}"),
            },
            "heal" => mesh.heal().map(|()| "ok".into()).map_err(text)?,
            "ways" => {
                let line = |(way, counts): (LinkName, LinkCounts)| {
                    let mut value = serde_json::to_value(counts).ok()?;
                    value["way"] = way.to_string().into();
                    Some(value.to_string() + "\n")
                };
                mesh.used().map_err(text)?.into_iter().filter_map(line).collect()
            }
            "counts" => {
                serde_json::to_string(&relay.read().map_err(text)?.counts).map_err(|e| e.to_string())?
            }
            "record" => {
                let mut by_time = relay.read().map_err(text)?.by_time;
                by_time.extend(mesh.met_by_time().map_err(text)?);
                by_time.sort_by_key(|(at, _)| *at);
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
        let mut canonical: Vec<Event> = relay.read().map_err(text)?.canonical;
        canonical.extend(mesh.met().map_err(text)?);
        canonical.sort();
        let lines: Vec<String> =
            canonical.iter().filter_map(|e| serde_json::to_string(e).ok()).map(|l| l + "\n").collect();
        std::fs::write(path, lines.concat()).map_err(text)?;
    }
    Ok(())
}
