//! `indigohold replay ...`: sending ended messages again, by the control channel of any one courier.

use super::drain::{client, failed};
use super::retention::{moment, time};
use super::{Replay, Socket, Want};
use crate::control::client::{Client, ClientError};
use crate::control::replay::{FleetReplay, ReplayPart, ReplayRequest};
use std::fmt::Write as _;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const DONE: u8 = 0;
const REFUSED: u8 = 2;
/// Not every courier has answered.
const NOT_BY_ALL: u8 = 3;
/// The others' plans are waited for so long, and looked for so often.
const PLANS: Duration = Duration::from_secs(5);
const LOOK: Duration = Duration::from_millis(100);

/// Carries it out: the exit code, after all has been printed.
pub fn run(control_file: &Path, socket: &Socket, what: &Replay) -> u8 {
    let want = match what {
        Replay::Plan { want } | Replay::Run { want } => match shape(want) {
            Ok(want) => Some(want),
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
    let done = match (what, &want) {
        (Replay::Plan { .. }, Some(want)) => plan(&mut client, want),
        (Replay::Run { .. }, Some(want)) => {
            client.replay_run(want).and_then(|run| one(&mut client, &run.id)).inspect(|fleet| {
                print!("{}", text(fleet));
                println!("it goes on by itself, at every courier that hears of it: 'replay status', 'replay stop {}'", fleet.id);
            })
        }
        (Replay::Stop { id }, _) => {
            client.replay_stop(id).and_then(|_| one(&mut client, id)).inspect(|fleet| print!("{}", text(fleet)))
        }
        (Replay::Status { id, json }, _) => return status(&mut client, id.as_deref(), *json),
        _ => return REFUSED,
    };
    done.map_or_else(|e| failed(&e), |fleet| by_all(&[fleet]))
}

fn by_all(fleets: &[FleetReplay]) -> u8 {
    match fleets.iter().all(|f| f.unanswered.is_empty() && f.missing.is_empty()) {
        true => DONE,
        false => NOT_BY_ALL,
    }
}

fn one(client: &mut Client, id: &str) -> Result<FleetReplay, ClientError> {
    client.replay_fleet(id)
}

/// Waits for the others' parts, for a while.
fn plan(client: &mut Client, want: &ReplayRequest) -> Result<FleetReplay, ClientError> {
    let here = client.replay_plan(want)?;
    let until = Instant::now() + PLANS;
    let fleet = loop {
        let fleet = one(client, &here.id)?;
        let waits = fleet.parts.values().any(|part| part.state == "waits");
        if (fleet.unanswered.is_empty() && !waits) || Instant::now() >= until {
            break fleet;
        }
        thread::sleep(LOOK);
    };
    print!("{}", text(&fleet));
    if here.cut {
        println!("courier {} holds more: give the order again once this one is done", here.me);
    }
    Ok(fleet)
}

fn status(client: &mut Client, id: Option<&str>, json: bool) -> u8 {
    let ids = match id {
        Some(id) => Ok(vec![id.to_owned()]),
        None => client.replays().map(|all| all.into_iter().map(|run| run.id).collect()),
    };
    let all = ids.and_then(|ids| ids.iter().map(|id| one(client, id)).collect::<Result<Vec<_>, _>>());
    let all = match all {
        Ok(all) => all,
        Err(e) => return failed(&e),
    };
    match json {
        true => println!("{}", serde_json::to_string_pretty(&all).unwrap_or_default()),
        false if all.is_empty() => println!("no order is known here"),
        false => all.iter().for_each(|fleet| print!("{}", text(fleet))),
    }
    by_all(&all)
}

fn shape(want: &Want) -> Result<ReplayRequest, String> {
    Ok(ReplayRequest {
        tenant: want.tenant.clone(),
        destination: want.destination,
        since_ms: moment(&want.since).map_err(|e| format!("--since: {e}"))?,
        until_ms: moment(&want.until).map_err(|e| format!("--until: {e}"))?,
        lost: want.lost,
        reason: want.reason.clone(),
    })
}

fn text(fleet: &FleetReplay) -> String {
    let sum = |of: fn(&ReplayPart) -> u64| fleet.parts.values().map(of).sum::<u64>();
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
        let _ = writeln!(out, "  courier {node} {}", line(part));
    }
    for node in &fleet.unanswered {
        let _ = writeln!(out, "  courier {node} is there and has not answered yet");
    }
    for (node, missing) in &fleet.missing {
        let _ = write!(out, "  courier {node} is away, its part is missing, not forgotten: ");
        let _ = match missing.oldest_ms {
            Some(ms) => write!(out, "it held some from {} on", time(ms)),
            None => write!(out, "what it holds is not known"),
        };
        let last =
            missing.last.as_ref().map(|part| format!("; at {} it said: {}", time(part.at_ms), line(part)));
        let _ = writeln!(out, "{}", last.unwrap_or_default());
    }
    out
}

fn line(part: &ReplayPart) -> String {
    let mut out = format!(
        "{}: {} to go, {} taken, {} not taken, {} passed by",
        part.state, part.left, part.taken, part.refused, part.passed
    );
    for (why, many) in &part.not {
        let _ = write!(out, "; {many} may not: {why}");
    }
    if part.state == "waits" {
        out.push_str("; it has not heard enough others, and plans once it has");
    }
    out
}
