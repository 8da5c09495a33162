//! `indigohold drain ...` and `indigohold status`, which use the control channel.

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

/// Exit code: the drain was emptied before its deadline, or the command succeeded.
const DONE: u8 = 0;
/// Exit code: the request was refused or is malformed.
const REFUSED: u8 = 2;
/// Exit code: the deadline has passed, and messages were given up.
const GIVEN_UP: u8 = 3;
/// Exit code: the drain was cancelled.
const CANCELLED: u8 = 4;
/// Exit code: the deadline has passed, and all remaining messages were handed back.
const HANDED_BACK: u8 = 5;
/// Exit code: the instance can't be reached.
const UNREACHABLE: u8 = 6;

/// Runs the command and prints its result. Returns the exit code.
pub fn run(control_file: &Path, socket: &Socket, what: &Drain) -> u8 {
    let mut client = match client(control_file, socket) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{e}");
            return REFUSED;
        }
    };
    let result = match what {
        Drain::Start { by, reason, elsewhere, front, dest, class, tenant, wait, json } => {
            let scope = DrainScope {
                front: front.clone(),
                dest: *dest,
                class: class.clone(),
                tenant: tenant.clone(),
            };
            let request = match deadline(by) {
                Ok((by_ms, within_ms)) => {
                    NewDrain { scope, by_ms, within_ms, reason: reason.clone(), elsewhere: elsewhere.clone() }
                }
                Err(e) => {
                    eprintln!("--by: {e}");
                    return REFUSED;
                }
            };
            client.start(&request).and_then(|drain| {
                print_drains(std::slice::from_ref(&drain), *json);
                if *wait {
                    return watch_to_end(&mut client, drain.id, Duration::from_millis(500));
                }
                Ok(DONE)
            })
        }
        Drain::Status { id, json } => selected_drains(&mut client, *id).map(|drains| {
            print_drains(&drains, *json);
            DONE
        }),
        Drain::Watch { id, every_ms } => selected_id(&mut client, *id).and_then(|id| {
            watch_to_end(&mut client, id, Duration::from_millis((*every_ms).clamp(50, 60_000)))
        }),
        Drain::Cancel { id } => selected_id(&mut client, *id).and_then(|id| client.cancel(id)).map(|drain| {
            print_drains(std::slice::from_ref(&drain), false);
            DONE
        }),
        Drain::Close { id } => selected_id(&mut client, *id).and_then(|id| client.close(id)).map(|drain| {
            println!("drain {} is closed; service goes on", drain.id);
            DONE
        }),
    };
    result.unwrap_or_else(|e| print_error(&e))
}

/// Runs `indigohold status`. Returns the exit code.
pub fn status(control_file: &Path, socket: &Socket, json: bool) -> u8 {
    let status = client(control_file, socket).map(|mut client| client.status());
    match status {
        Err(e) => {
            eprintln!("{e}");
            REFUSED
        }
        Ok(Err(e)) => print_error(&e),
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

/// The status as text for people.
fn status_text(status: &InstanceStatus) -> String {
    let uptime = Duration::from_millis(status.now_ms.saturating_sub(status.started_ms) / 1000 * 1000);
    let mut out = format!(
        "indigohold {}, process {}, up {}{}\nregister: {}, {} backends known\nowed: {} messages\n",
        status.version,
        status.pid,
        humantime::format_duration(uptime),
        if status.ending { ", about to end" } else { "" },
        status.register,
        status.backends,
        status.owed
    );
    for (name, stats) in &status.clients {
        let by_state = |map: &BTreeMap<ConnState, u64>| {
            let named = map.iter().map(|(state, n)| format!("{n} {}", state_name(*state)));
            named.collect::<Vec<_>>().join(", ")
        };
        let open: u64 = stats.open.values().sum();
        let _ = write!(out, "{name}: {open} of {} places held", stats.max_connections);
        let _ =
            write!(out, "{}", if open > 0 { format!(" ({})", by_state(&stats.open)) } else { String::new() });
        let _ = write!(out, "; {} let in, {} requests answered", stats.accepted, stats.answered);
        if !stats.evicted.is_empty() {
            let _ = write!(out, "; made room: {}", by_state(&stats.evicted));
        }
        if stats.deferred + stats.descriptor_shortages > 0 {
            let _ = write!(out, "; kept waiting {} times", stats.deferred);
            let _ = write!(out, ", no descriptor {} times", stats.descriptor_shortages);
        }
        out.push('\n');
    }
    for drain in &status.drains {
        let _ = writeln!(out, "{}", progress_line(drain));
    }
    out + &status.shared.as_ref().map(super::fleet::text).unwrap_or_default()
}

/// Prints the error. Returns the exit code.
pub(super) fn print_error(e: &ClientError) -> u8 {
    eprintln!("{e}");
    match e {
        ClientError::Unreachable(_) => UNREACHABLE,
        ClientError::Problem(p) if p.short_kind() == "struck" => GIVEN_UP,
        ClientError::Problem(p) if p.short_kind() == "cancelled" => CANCELLED,
        ClientError::Problem(_) => REFUSED,
    }
}

/// A client for the socket of the command line, or else for the one that the control file names.
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

/// Parses a deadline, which is a time or a length of time from now. Returns `(by_ms, within_ms)`, one of which is set.
fn deadline(text: &str) -> Result<(Option<u64>, Option<u64>), String> {
    if let Ok(length) = humantime::parse_duration(text) {
        return Ok((None, Some(length.as_millis() as u64)));
    }
    let time = humantime::parse_rfc3339_weak(text)
        .map_err(|_| format!("{text:?} is neither a length (90s, 5m) nor a time (2026-12-01T18:00:00Z)"))?;
    let since_epoch = time.duration_since(UNIX_EPOCH).map_err(|_| "long past".to_owned())?;
    Ok((Some(since_epoch.as_millis() as u64), None))
}

/// The drain with the id, or all drains if none is given.
fn selected_drains(client: &mut Client, id: Option<u64>) -> Result<Vec<DrainStatus>, ClientError> {
    match id {
        Some(id) => client.drain(id).map(|drain| vec![drain]),
        None => client.drains(),
    }
}

/// The id that was given, or else the id of the only active drain. It is an error if there is none, or more than one.
fn selected_id(client: &mut Client, id: Option<u64>) -> Result<u64, ClientError> {
    if let Some(id) = id {
        return Ok(id);
    }
    let active: Vec<u64> = client.drains()?.iter().filter(|d| d.is_on()).map(|d| d.id).collect();
    match active[..] {
        [id] => Ok(id),
        [] => Err(ClientError::Problem(Problem::new("unknown", 404, "no drain is on", ""))),
        _ => Err(ClientError::Problem(Problem::new("which", 409, "several drains are on; name one", ""))),
    }
}

fn print_drains(drains: &[DrainStatus], json: bool) {
    if json {
        println!("{}", serde_json::to_string_pretty(drains).unwrap_or_default());
        return;
    }
    if drains.is_empty() {
        println!("no drain is on");
    }
    for drain in drains {
        println!("{}", progress_line(drain));
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

/// The progress of a drain as one line of text.
fn progress_line(drain: &DrainStatus) -> String {
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

/// Reports the progress of a drain until it ends: with a progress bar on a terminal, otherwise with a line for each change.
/// Returns the exit code.
fn watch_to_end(client: &mut Client, id: u64, every: Duration) -> Result<u8, ClientError> {
    let bar = std::io::stdout().is_terminal().then(|| {
        let bar = indicatif::ProgressBar::new(0);
        let style = indicatif::ProgressStyle::with_template("{bar:30} {pos}/{len} {msg}");
        bar.set_style(style.unwrap_or_else(|_| indicatif::ProgressStyle::default_bar()));
        bar
    });
    let mut last_printed = None;
    loop {
        let drain = client.drain(id)?;
        match &bar {
            Some(bar) => {
                let total = drain.at_start.max(drain.total());
                bar.set_length(total);
                bar.set_position(total - drain.total());
                bar.set_message(progress_line(&drain));
            }
            None => {
                let current = (drain.state.clone(), drain.left.clone());
                if last_printed.as_ref() != Some(&current) {
                    last_printed = Some(current);
                    println!("{} {}", format_time(drain.now_ms), progress_line(&drain));
                    // Standard output may be a pipe, and its reader shall see each line at once.
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
                println!("{}", progress_line(&drain));
            }
            return Ok(code);
        }
        thread::sleep(every);
    }
}

fn format_time(ms: u64) -> String {
    let at: SystemTime = UNIX_EPOCH + Duration::from_millis(ms);
    humantime::format_rfc3339_millis(at).to_string()
}
