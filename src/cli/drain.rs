//! `indigohold drain ...` and `indigohold status`: the control channel from the command line.

use super::{Drain, Socket};
use crate::admission::ConnState;
use crate::control::client::{Client, ClientError};
use crate::control::config as control;
use crate::control::schema::{DrainScope, DrainStatus, InstanceStatus, NewDrain, Problem};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{IsTerminal, Write as _};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Emptied before its deadline, or done as asked.
const DONE: u8 = 0;
/// The wish was refused, or is malformed.
const REFUSED: u8 = 2;
/// The deadline struck, and messages were given up.
const GIVEN_UP: u8 = 3;
/// It was called off.
const CANCELLED: u8 = 4;
/// The deadline struck, and all that was left could be handed back.
const HANDED_BACK: u8 = 5;
/// The instance can't be reached.
const UNREACHED: u8 = 6;

/// Carries it out: the exit code, after all has been printed.
pub fn run(control_file: &Path, socket: &Socket, what: &Drain) -> u8 {
    let mut client = match client(control_file, socket) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{e}");
            return REFUSED;
        }
    };
    let done = match what {
        Drain::Start { by, reason, elsewhere, front, dest, class, tenant, wait, json } => {
            let scope = DrainScope {
                front: front.clone(),
                dest: *dest,
                class: class.clone(),
                tenant: tenant.clone(),
            };
            let wish = match moment(by) {
                Ok((by_ms, within_ms)) => {
                    NewDrain { scope, by_ms, within_ms, reason: reason.clone(), elsewhere: elsewhere.clone() }
                }
                Err(e) => {
                    eprintln!("--by: {e}");
                    return REFUSED;
                }
            };
            client.start(&wish).and_then(|drain| {
                show(std::slice::from_ref(&drain), *json);
                if *wait {
                    return watch(&mut client, drain.id, Duration::from_millis(500));
                }
                Ok(DONE)
            })
        }
        Drain::Status { id, json } => all(&mut client, *id).map(|drains| {
            show(&drains, *json);
            DONE
        }),
        Drain::Watch { id, every_ms } => one(&mut client, *id)
            .and_then(|id| watch(&mut client, id, Duration::from_millis((*every_ms).clamp(50, 60_000)))),
        Drain::Cancel { id } => one(&mut client, *id).and_then(|id| client.cancel(id)).map(|drain| {
            show(std::slice::from_ref(&drain), false);
            DONE
        }),
        Drain::Close { id } => one(&mut client, *id).and_then(|id| client.close(id)).map(|drain| {
            println!("drain {} is closed; service goes on", drain.id);
            DONE
        }),
    };
    done.unwrap_or_else(|e| failed(&e))
}

/// `indigohold status`
pub fn status(control_file: &Path, socket: &Socket, json: bool) -> u8 {
    let status = client(control_file, socket).map(|mut client| client.status());
    match status {
        Err(e) => {
            eprintln!("{e}");
            REFUSED
        }
        Ok(Err(e)) => failed(&e),
        Ok(Ok(status)) if json => {
            println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
            DONE
        }
        Ok(Ok(status)) => {
            print!("{}", status_text(&status));
            DONE
        }
    }
}

/// Returns the name of a connection state as the figures write it.
fn state_name(state: ConnState) -> String {
    match serde_json::to_value(state) {
        Ok(serde_json::Value::String(name)) => name,
        _ => format!("{state:?}"),
    }
}

fn status_text(status: &InstanceStatus) -> String {
    let up = Duration::from_millis(status.now_ms.saturating_sub(status.started_ms) / 1000 * 1000);
    let mut out = format!(
        "indigohold {}, process {}, up {}{}\nregister: {}, {} backends known\nowed: {} messages\n",
        status.version,
        status.pid,
        humantime::format_duration(up),
        if status.ending { ", about to end" } else { "" },
        status.register,
        status.backends,
        status.owed
    );
    for (name, tally) in &status.clients {
        let words = |map: &BTreeMap<ConnState, u64>| {
            let named = map.iter().map(|(state, n)| format!("{n} {}", state_name(*state)));
            named.collect::<Vec<_>>().join(", ")
        };
        let open: u64 = tally.open.values().sum();
        let _ = write!(out, "{name}: {open} of {} places held", tally.max_connections);
        let _ =
            write!(out, "{}", if open > 0 { format!(" ({})", words(&tally.open)) } else { String::new() });
        let _ = write!(out, "; {} let in, {} requests answered", tally.accepted, tally.answered);
        if !tally.evicted.is_empty() {
            let _ = write!(out, "; made room: {}", words(&tally.evicted));
        }
        if tally.deferred + tally.descriptor_shortages > 0 {
            let _ = write!(out, "; kept waiting {} times", tally.deferred);
            let _ = write!(out, ", no descriptor {} times", tally.descriptor_shortages);
        }
        out.push('\n');
    }
    for drain in &status.drains {
        let _ = writeln!(out, "{}", line(drain));
    }
    out + &status.shared.as_ref().map(super::fleet::text).unwrap_or_default()
}

pub(super) fn failed(e: &ClientError) -> u8 {
    eprintln!("{e}");
    match e {
        ClientError::Unreachable(_) => UNREACHED,
        ClientError::Problem(p) if p.short_kind() == "struck" => GIVEN_UP,
        ClientError::Problem(p) if p.short_kind() == "cancelled" => CANCELLED,
        ClientError::Problem(_) => REFUSED,
    }
}

pub(super) fn client(control_file: &Path, socket: &Socket) -> Result<Client, String> {
    let path: PathBuf = match &socket.socket {
        Some(path) => path.clone(),
        None => match control::read(control_file) {
            Ok(Some(config)) => config.socket,
            Ok(None) => return Err(format!("{}: the control channel is off", control_file.display())),
            Err(faults) => {
                let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
                return Err(format!("{}: {}", control_file.display(), faults.join("; ")));
            }
        },
    };
    Ok(Client::new(&path))
}

/// A length of time from now, or a moment: `(by_ms, within_ms)`.
fn moment(text: &str) -> Result<(Option<u64>, Option<u64>), String> {
    if let Ok(length) = humantime::parse_duration(text) {
        return Ok((None, Some(length.as_millis() as u64)));
    }
    let time = humantime::parse_rfc3339_weak(text)
        .map_err(|_| format!("{text:?} is neither a length (90s, 5m) nor a time (2026-12-01T18:00:00Z)"))?;
    let since = time.duration_since(UNIX_EPOCH).map_err(|_| "long past".to_owned())?;
    Ok((Some(since.as_millis() as u64), None))
}

fn all(client: &mut Client, id: Option<u64>) -> Result<Vec<DrainStatus>, ClientError> {
    match id {
        Some(id) => client.drain(id).map(|drain| vec![drain]),
        None => client.drains(),
    }
}

/// The drain that is meant where none is named: the only one that is on.
fn one(client: &mut Client, id: Option<u64>) -> Result<u64, ClientError> {
    if let Some(id) = id {
        return Ok(id);
    }
    let on: Vec<u64> = client.drains()?.iter().filter(|d| d.is_on()).map(|d| d.id).collect();
    match on[..] {
        [id] => Ok(id),
        [] => Err(ClientError::Problem(Problem::new("unknown", 404, "no drain is on", ""))),
        _ => Err(ClientError::Problem(Problem::new("which", 409, "several drains are on; name one", ""))),
    }
}

fn show(drains: &[DrainStatus], json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(drains).unwrap_or_default());
        return;
    }
    if drains.is_empty() {
        println!("no drain is on");
    }
    for drain in drains {
        println!("{}", line(drain));
        for (name, counts) in &drain.by_class {
            let parts: Vec<String> = counts
                .iter()
                .filter(|(what, n)| *what != "total" && **n > 0)
                .map(|(what, n)| format!("{n} {}", what.replace('_', " ")))
                .collect();
            println!("  {name}: {} ({})", counts.get("total").copied().unwrap_or(0), parts.join(", "));
        }
    }
}

/// One line of how far a drain is.
fn line(drain: &DrainStatus) -> String {
    let mut out = format!("drain {} {}: {} of {} left", drain.id, drain.state, drain.total(), drain.at_start);
    let scope = &drain.scope;
    let parts = [
        scope.front.as_ref().map(|f| format!("front {f}")),
        scope.dest.map(|d| format!("destination {d}")),
        scope.class.as_ref().map(|c| format!("class {c}")),
        scope.tenant.as_ref().map(|t| format!("tenant {t}")),
    ];
    let parts: Vec<String> = parts.into_iter().flatten().collect();
    if !parts.is_empty() {
        let _ = write!(out, " of {}", parts.join(", "));
    }
    if drain.state == "draining" {
        let _ = write!(out, ", deadline in {:.1} s", drain.by_ms.saturating_sub(drain.now_ms) as f64 / 1e3);
        if let Some((likely, low, high)) = drain.estimate_s {
            let high = high.map_or("?".to_owned(), |s| format!("{s:.0}"));
            let _ = write!(out, ", empty in about {likely:.0} s ({low:.0} to {high})");
        }
        if let Some(until) = drain.told_until_ms {
            let _ = write!(
                out,
                ", a partner told to wait {:.1} s",
                until.saturating_sub(drain.now_ms) as f64 / 1e3
            );
        }
    }
    if drain.given_up + drain.handed_back > 0 {
        let _ = write!(out, "; {} given up, {} handed back", drain.given_up, drain.handed_back);
    }
    if !drain.reason.is_empty() {
        let _ = write!(out, " [{}]", drain.reason);
    }
    out
}

/// Watches a drain to its end: a bar on a terminal, else a line whenever something has changed.
fn watch(client: &mut Client, id: u64, every: Duration) -> Result<u8, ClientError> {
    let bar = std::io::stdout().is_terminal().then(|| {
        let bar = indicatif::ProgressBar::new(0);
        let style = indicatif::ProgressStyle::with_template("{bar:30} {pos}/{len} {msg}");
        bar.set_style(style.unwrap_or_else(|_| indicatif::ProgressStyle::default_bar()));
        bar
    });
    let mut said = None;
    loop {
        let drain = client.drain(id)?;
        match &bar {
            Some(bar) => {
                let whole = drain.at_start.max(drain.total());
                bar.set_length(whole);
                bar.set_position(whole - drain.total());
                bar.set_message(line(&drain));
            }
            None => {
                let now = (drain.state.clone(), drain.left.clone());
                if said.as_ref() != Some(&now) {
                    said = Some(now);
                    println!("{} {}", time(drain.now_ms), line(&drain));
                    // Whoever reads this may be a pipe.
                    let _ = std::io::stdout().flush();
                }
            }
        }
        let code = match drain.state.as_str() {
            "emptied" => Some(DONE),
            "closed" if drain.given_up + drain.handed_back == 0 => Some(DONE),
            "cancelled" => Some(CANCELLED),
            "struck" | "struck_and_emptied" | "closed" if drain.given_up > 0 => Some(GIVEN_UP),
            "struck" | "struck_and_emptied" | "closed" => Some(HANDED_BACK),
            _ => None,
        };
        if let Some(code) = code {
            if let Some(bar) = &bar {
                bar.finish_and_clear();
                println!("{}", line(&drain));
            }
            return Ok(code);
        }
        thread::sleep(every);
    }
}

fn time(ms: u64) -> String {
    let at: SystemTime = UNIX_EPOCH + Duration::from_millis(ms);
    humantime::format_rfc3339_millis(at).to_string()
}
