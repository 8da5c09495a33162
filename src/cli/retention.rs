//! `indigohold retention ...`: what is kept of ended messages, by the control channel.

use super::drain::{client, failed};
use super::{Retention, Socket, Whose};
use crate::control::retention::{RetentionOrder, RetentionScope, RetentionStatus};
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

const DONE: u8 = 0;
const REFUSED: u8 = 2;
/// Not every courier honours it, as far as is known.
const NOT_BY_ALL: u8 = 3;

/// Carries it out: the exit code, after all has been printed.
pub fn run(control_file: &Path, socket: &Socket, what: &Retention) -> u8 {
    let order = match order(what) {
        Ok(order) => order,
        Err(e) => {
            eprintln!("{e}");
            return REFUSED;
        }
    };
    let mut client = match client(control_file, socket) {
        Ok(client) => client,
        Err(e) => {
            eprintln!("{e}");
            return REFUSED;
        }
    };
    let answer = match &order {
        Some(order) => client.order(order),
        None => client.retention(),
    };
    let mut shape = match answer {
        Ok(shape) => shape,
        Err(e) => return failed(&e),
    };
    if let Retention::Show { tenant: Some(tenant), .. } = what {
        shape.tenants.retain(|t| t.tenant == *tenant);
    }
    match what {
        Retention::Show { json: true, .. } => {
            println!("{}", serde_json::to_string_pretty(&shape).unwrap_or_default());
        }
        Retention::Show { .. } => print!("{}", text(&shape)),
        Retention::Forget { .. } => {
            println!("given; it is done once 'indigohold retention show' says that it is in force");
            print!("{}", text(&shape));
        }
        _ => print!("{}", text(&shape)),
    }
    match what {
        Retention::Show { .. } if shape.tenants.iter().any(|t| !t.by_all) => NOT_BY_ALL,
        _ => DONE,
    }
}

fn order(what: &Retention) -> Result<Option<RetentionOrder>, String> {
    let shape = |w: &Whose| RetentionScope {
        tenant: w.tenant.clone(),
        class: w.class.clone(),
        destination: w.destination,
    };
    Ok(match what {
        Retention::Show { .. } => None,
        Retention::Set { whose, keep, replays } => {
            let keep = humantime::parse_duration(keep).map_err(|e| format!("--keep: {e}"))?;
            let keep_s = u32::try_from(keep.as_secs()).map_err(|_| "--keep: longer than 8.5 years")?;
            Some(RetentionOrder::Set { whose: shape(whose), keep_s, replays: replays.unwrap_or(0) })
        }
        Retention::Hold { whose, release } => {
            Some(RetentionOrder::Hold { whose: shape(whose), on: !release })
        }
        Retention::Forget { whose, until, despite_hold } => {
            let until_ms = until.as_deref().map(moment).transpose().map_err(|e| format!("--until: {e}"))?;
            Some(RetentionOrder::Forget { whose: shape(whose), until_ms, despite_hold: *despite_hold })
        }
    })
}

/// A moment, in milliseconds since 1970.
pub(super) fn moment(text: &str) -> Result<u64, String> {
    let time = humantime::parse_rfc3339_weak(text).map_err(|e| format!("{text:?}: {e}"))?;
    let since = time.duration_since(UNIX_EPOCH).map_err(|_| "long past".to_owned())?;
    Ok(since.as_millis() as u64)
}

/// A moment as it is shown.
pub(super) fn time(ms: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(ms)).to_string()
}

fn text(shape: &RetentionStatus) -> String {
    let mut out = format!("courier {}: {} messages kept", shape.me, shape.kept);
    let counts = [
        (shape.deleted, "deleted by age or order"),
        (shape.dropped, "dropped for want of room"),
        (shape.dropped_held, "of these under a hold"),
        (shape.unwritten, "not kept"),
    ];
    for (n, what) in counts.iter().filter(|(n, _)| *n > 0) {
        let _ = write!(out, ", {n} {what}");
    }
    let heard = match (shape.informed, shape.fresh) {
        (false, _) => "has not heard enough others in this life: shows nothing, sends nothing again",
        (_, false) => "has not heard enough others lately: sends nothing again",
        _ => "has heard enough others",
    };
    let _ = writeln!(out, "; {heard}");
    if let Some(why) = &shape.closed {
        let _ = writeln!(out, "CLOSED, nothing is kept here: {why}");
    }
    for t in &shape.tenants {
        let _ = write!(out, "{}: version {}", t.tenant, t.version);
        if let Some(until) = t.forgotten_until_ms {
            let state = if t.in_force { "in force" } else { "NOT in force yet" };
            let _ = write!(out, ", forgotten up to {} ({state})", time(until));
        }
        let _ =
            write!(out, ", honoured by {}", if t.by_all { "all".into() } else { list(t.honoured_by.iter()) });
        if !t.not_by.is_empty() {
            let not = t.not_by.iter().map(|(node, version)| format!("{node} (version {version})"));
            let _ = write!(out, ", not by {}", list(not));
        }
        if !t.unheard.is_empty() {
            let unheard = t.unheard.iter().map(|(node, since)| match since {
                Some(since) => format!("{node} (since {})", time(*since)),
                None => format!("{node} (never heard)"),
            });
            let _ = write!(out, ", unheard {}", list(unheard));
        }
        if let Some(oldest) = t.oldest_ms {
            let _ = write!(out, ", oldest held ended {}", time(oldest));
        }
        out.push('\n');
    }
    for p in &shape.policies {
        let any = || "any".to_owned();
        let _ = write!(
            out,
            "  tenant {}, class {}, destination {}:",
            p.whose.tenant.clone().unwrap_or_else(any),
            p.whose.class.clone().unwrap_or_else(any),
            p.whose.destination.map_or_else(any, |d| d.to_string())
        );
        if let Some(keep) = p.keep_s {
            let keep = humantime::format_duration(Duration::from_secs(u64::from(keep)));
            let _ = write!(out, " version {}, kept {keep}, sent again {} times", p.version, p.replays);
        }
        let _ = write!(out, "{}", if p.hold { ", HELD" } else { "" });
        if let Some(until) = p.forgotten_until_ms {
            let _ = write!(out, ", forgotten up to {}", time(until));
        }
        out.push('\n');
    }
    out
}

fn list(of: impl Iterator<Item = impl ToString>) -> String {
    let of: Vec<String> = of.map(|o| o.to_string()).collect();
    if of.is_empty() {
        "nobody".into()
    } else {
        of.join(", ")
    }
}
