//! `indigohold retention ...`: how long ended messages are kept, through the control channel.

use super::drain::{client, print_error};
use super::{MessageSelection, Retention, Socket};
use crate::control::retention::{RetentionOrder, RetentionScope, RetentionStatus};
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, UNIX_EPOCH};

/// Exit code: the command succeeded.
const DONE: u8 = 0;
/// Exit code: the request was refused or is malformed.
const REFUSED: u8 = 2;
/// Exit code: not every courier is known to honour the policies.
const NOT_BY_ALL: u8 = 3;

/// Runs the command and prints its result. Returns the exit code.
pub fn run(control_file: &Path, socket: &Socket, what: &Retention) -> u8 {
    let order = match retention_order(what) {
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
    let mut status = match answer {
        Ok(status) => status,
        Err(e) => return print_error(&e),
    };
    if let Retention::Show { tenant: Some(tenant), .. } = what {
        status.tenants.retain(|t| t.tenant == *tenant);
    }
    match what {
        Retention::Show { json: true, .. } => {
            println!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
        }
        Retention::Show { .. } => print!("{}", text(&status)),
        Retention::Forget { .. } => {
            println!("given; it is done once 'indigohold retention show' says that it is in force");
            print!("{}", text(&status));
        }
        _ => print!("{}", text(&status)),
    }
    match what {
        Retention::Show { .. } if status.tenants.iter().any(|t| !t.by_all) => NOT_BY_ALL,
        _ => DONE,
    }
}

fn retention_order(what: &Retention) -> Result<Option<RetentionOrder>, String> {
    let scope = |selection: &MessageSelection| RetentionScope {
        tenant: selection.tenant.clone(),
        class: selection.class.clone(),
        destination: selection.destination,
    };
    Ok(match what {
        Retention::Show { .. } => None,
        Retention::Set { whose, keep, replays } => {
            let keep = humantime::parse_duration(keep).map_err(|e| format!("--keep: {e}"))?;
            let keep_s = u32::try_from(keep.as_secs()).map_err(|_| "--keep: longer than 8.5 years")?;
            Some(RetentionOrder::Set { whose: scope(whose), keep_s, replays: replays.unwrap_or(0) })
        }
        Retention::Hold { whose, release } => {
            Some(RetentionOrder::Hold { whose: scope(whose), on: !release })
        }
        Retention::Forget { whose, until, despite_hold } => {
            let until_ms =
                until.as_deref().map(parse_time).transpose().map_err(|e| format!("--until: {e}"))?;
            Some(RetentionOrder::Forget { whose: scope(whose), until_ms, despite_hold: *despite_hold })
        }
    })
}

/// Parses a time (RFC 3339) as milliseconds since 1970.
pub(super) fn parse_time(text: &str) -> Result<u64, String> {
    let time = humantime::parse_rfc3339_weak(text).map_err(|e| format!("{text:?}: {e}"))?;
    let since_epoch = time.duration_since(UNIX_EPOCH).map_err(|_| "long past".to_owned())?;
    Ok(since_epoch.as_millis() as u64)
}

/// Formats milliseconds since 1970 as a time in seconds (RFC 3339).
pub(super) fn format_time(ms: u64) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(ms)).to_string()
}

/// The status as text for people.
fn text(status: &RetentionStatus) -> String {
    let mut out = format!("courier {}: {} messages kept", status.me, status.kept);
    let counts = [
        (status.deleted, "deleted by age or order"),
        (status.dropped, "dropped for want of room"),
        (status.dropped_held, "of these under a hold"),
        (status.unwritten, "not kept"),
    ];
    for (n, what) in counts.iter().filter(|(n, _)| *n > 0) {
        let _ = write!(out, ", {n} {what}");
    }
    let heard = match (status.informed, status.fresh) {
        (false, _) => "has not heard enough others in this life: shows nothing, sends nothing again",
        (_, false) => "has not heard enough others lately: sends nothing again",
        _ => "has heard enough others",
    };
    let _ = writeln!(out, "; {heard}");
    if let Some(why) = &status.closed {
        let _ = writeln!(out, "CLOSED, nothing is kept here: {why}");
    }
    for tenant in &status.tenants {
        let _ = write!(out, "{}: version {}", tenant.tenant, tenant.version);
        if let Some(until) = tenant.forgotten_until_ms {
            let state = if tenant.in_force { "in force" } else { "NOT in force yet" };
            let _ = write!(out, ", forgotten up to {} ({state})", format_time(until));
        }
        let _ = write!(
            out,
            ", honoured by {}",
            if tenant.by_all { "all".into() } else { comma_list(tenant.honoured_by.iter()) }
        );
        if !tenant.not_by.is_empty() {
            let not = tenant.not_by.iter().map(|(node, version)| format!("{node} (version {version})"));
            let _ = write!(out, ", not by {}", comma_list(not));
        }
        if !tenant.unheard.is_empty() {
            let unheard = tenant.unheard.iter().map(|(node, since)| match since {
                Some(since) => format!("{node} (since {})", format_time(*since)),
                None => format!("{node} (never heard)"),
            });
            let _ = write!(out, ", unheard {}", comma_list(unheard));
        }
        if let Some(oldest) = tenant.oldest_ms {
            let _ = write!(out, ", oldest held ended {}", format_time(oldest));
        }
        out.push('\n');
    }
    for policy in &status.policies {
        let any = || "any".to_owned();
        let _ = write!(
            out,
            "  tenant {}, class {}, destination {}:",
            policy.whose.tenant.clone().unwrap_or_else(any),
            policy.whose.class.clone().unwrap_or_else(any),
            policy.whose.destination.map_or_else(any, |d| d.to_string())
        );
        if let Some(keep) = policy.keep_s {
            let keep = humantime::format_duration(Duration::from_secs(u64::from(keep)));
            let _ =
                write!(out, " version {}, kept {keep}, sent again {} times", policy.version, policy.replays);
        }
        let _ = write!(out, "{}", if policy.hold { ", HELD" } else { "" });
        if let Some(until) = policy.forgotten_until_ms {
            let _ = write!(out, ", forgotten up to {}", format_time(until));
        }
        out.push('\n');
    }
    out
}

/// Joins the items with commas; `nobody` if there are none.
fn comma_list(items: impl Iterator<Item = impl ToString>) -> String {
    let items: Vec<String> = items.map(|item| item.to_string()).collect();
    if items.is_empty() {
        "nobody".into()
    } else {
        items.join(", ")
    }
}
