//! `indigohold replay ...`: sends ended messages again, through the control channel of any one courier.

use super::drain::{client, print_error};
use super::retention::{format_time, parse_time};
use super::{Replay, ReplaySelection, Socket};
use crate::control::client::{Client, ClientError};
use crate::control::replay::{FleetReplay, ReplayPart, ReplayRequest};
use std::fmt::Write as _;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Exit code: the command succeeded.
const DONE: u8 = 0;
/// Exit code: the request was refused or is malformed.
const REFUSED: u8 = 2;
/// Exit code: not every courier has reported on the order.
const INCOMPLETE: u8 = 3;
/// How long `replay plan` waits for the plans of the other couriers.
const PLAN_TIMEOUT: Duration = Duration::from_secs(5);
/// How often `replay plan` looks for them.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Runs the command and prints its result. Returns the exit code.
pub fn run(control_file: &Path, socket: &Socket, what: &Replay) -> u8 {
    let request = match what {
        Replay::Plan { want } | Replay::Run { want } => match replay_request(want) {
            Ok(request) => Some(request),
            Err(e) => {
                eprintln!("{e}");
                return REFUSED;
            }
        },
        _ => None,
    };
    let mut client = match client(control_file, socket) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{e}");
            return REFUSED;
        }
    };
    let result = match (what, &request) {
        (Replay::Plan { .. }, Some(request)) => plan(&mut client, request),
        (Replay::Run { .. }, Some(request)) => {
            client.replay_run(request).and_then(|run| fleet_progress(&mut client, &run.id)).inspect(|fleet| {
                print!("{}", text(fleet));
                println!("it goes on by itself, at every courier that hears of it: 'replay status', 'replay stop {}'", fleet.id);
            })
        }
        (Replay::Stop { id }, _) => {
            client.replay_stop(id).and_then(|_| fleet_progress(&mut client, id)).inspect(|fleet| print!("{}", text(fleet)))
        }
        (Replay::Status { id, json }, _) => return status(&mut client, id.as_deref(), *json),
        _ => return REFUSED,
    };
    result.map_or_else(|e| print_error(&e), |fleet| completeness_code(&[fleet]))
}

fn completeness_code(fleets: &[FleetReplay]) -> u8 {
    match fleets.iter().all(|f| f.unanswered.is_empty() && f.missing.is_empty()) {
        true => DONE,
        false => INCOMPLETE,
    }
}

fn fleet_progress(client: &mut Client, id: &str) -> Result<FleetReplay, ClientError> {
    client.replay_fleet(id)
}

/// Plans the order, waits up to [`PLAN_TIMEOUT`] for the plans of the other couriers, and prints all plans.
fn plan(client: &mut Client, request: &ReplayRequest) -> Result<FleetReplay, ClientError> {
    let own_plan = client.replay_plan(request)?;
    let until = Instant::now() + PLAN_TIMEOUT;
    let fleet = loop {
        let fleet = fleet_progress(client, &own_plan.id)?;
        let some_wait = fleet.parts.values().any(|part| part.state == "waits");
        if (fleet.unanswered.is_empty() && !some_wait) || Instant::now() >= until {
            break fleet;
        }
        thread::sleep(POLL_INTERVAL);
    };
    print!("{}", text(&fleet));
    if own_plan.cut {
        println!("courier {} holds more: give the order again once this one is done", own_plan.me);
    }
    Ok(fleet)
}

fn status(client: &mut Client, id: Option<&str>, json: bool) -> u8 {
    let ids = match id {
        Some(id) => Ok(vec![id.to_owned()]),
        None => client.replays().map(|all| all.into_iter().map(|run| run.id).collect()),
    };
    let all =
        ids.and_then(|ids| ids.iter().map(|id| fleet_progress(client, id)).collect::<Result<Vec<_>, _>>());
    let all = match all {
        Ok(all) => all,
        Err(e) => return print_error(&e),
    };
    match json {
        true => println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default()),
        false if all.is_empty() => println!("no order is known here"),
        false => all.iter().for_each(|fleet| print!("{}", text(fleet))),
    }
    completeness_code(&all)
}

fn replay_request(want: &ReplaySelection) -> Result<ReplayRequest, String> {
    Ok(ReplayRequest {
        tenant: want.tenant.clone(),
        destination: want.destination,
        since_ms: parse_time(&want.since).map_err(|e| format!("--since: {e}"))?,
        until_ms: parse_time(&want.until).map_err(|e| format!("--until: {e}"))?,
        lost: want.lost,
        reason: want.reason.clone(),
    })
}

/// The progress of an order as text for people.
fn text(fleet: &FleetReplay) -> String {
    let sum = |count: fn(&ReplayPart) -> u64| fleet.parts.values().map(count).sum::<u64>();
    let state = match (fleet.go, fleet.stopped) {
        (_, true) => "to stop",
        (true, _) => "to be run",
        (false, _) => "a plan, nothing is sent",
    };
    let (left, taken, refused) = (sum(|p| p.left), sum(|p| p.taken), sum(|p| p.refused));
    let reason = &fleet.want.reason;
    let mut out = format!(
        "order {} [{reason}], {state}: {left} to go, {taken} taken, {refused} not taken, by {} of {} couriers\n",
        fleet.id,
        fleet.parts.len(),
        fleet.parts.len() + fleet.unanswered.len() + fleet.missing.len()
    );
    for (node, part) in &fleet.parts {
        let _ = writeln!(out, "  courier {node} {}", part_text(part));
    }
    for node in &fleet.unanswered {
        let _ = writeln!(out, "  courier {node} is there and has not answered yet");
    }
    for (node, missing) in &fleet.missing {
        let _ = write!(out, "  courier {node} is away, its part is missing, not forgotten: ");
        let _ = match missing.oldest_ms {
            Some(ms) => write!(out, "it held some from {} on", format_time(ms)),
            None => write!(out, "what it holds is not known"),
        };
        let last = missing
            .last
            .as_ref()
            .map(|part| format!("; at {} it said: {}", format_time(part.at_ms), part_text(part)));
        let _ = writeln!(out, "{}", last.unwrap_or_default());
    }
    out
}

fn part_text(part: &ReplayPart) -> String {
    let mut out = format!(
        "{}: {} to go, {} taken, {} not taken, {} passed by",
        part.state, part.left, part.taken, part.refused, part.passed
    );
    for (reason, count) in &part.not {
        let _ = write!(out, "; {count} may not: {reason}");
    }
    if part.state == "waits" {
        out.push_str("; it has not heard enough others, and plans once it has");
    }
    out
}
