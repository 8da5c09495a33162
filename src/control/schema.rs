//! The JSON documents of the control channel, with names in place of the core's numbers, and problem details (RFC 9457).

use crate::api::Micros;
use crate::core::draining::{Counts, Progress};
use crate::drain::{DrainRequest, Refusal, Scope, Stage, MAX_TEXT_BYTES};
use crate::net::acceptor::AcceptorStats;
use crate::net::{mail, platform};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The settings' names of classes and tenants, which the core knows by number.
#[derive(Debug, Clone, Default)]
pub struct SettingsNames {
    /// Names of classes, by position in the settings; several positions may have the same name.
    pub classes: Vec<String>,
    /// Names of tenants, by position in the settings.
    pub tenants: Vec<String>,
}

/// The frontends that a scope can name, with their numbers.
const FRONTS: [(&str, u8); 2] = [("platform", platform::FRONT), ("mail", mail::FRONT)];

/// The messages that a drain covers, by name. A field that is absent matches all messages.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "ScopeShape", default, deny_unknown_fields)]
pub struct DrainScope {
    /// Name of the frontend: `platform` or `mail`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub front: Option<String>,
    /// Number of the destination.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dest: Option<u16>,
    /// Name of the class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Name of the tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
}

/// A request to start a drain. Exactly one of `by_ms` and `within_ms` must be present.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "WishShape", default, deny_unknown_fields)]
pub struct NewDrain {
    /// The messages that the drain covers.
    pub scope: DrainScope,
    /// The deadline, in milliseconds since 1970.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub by_ms: Option<u64>,
    /// The deadline, in milliseconds from now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub within_ms: Option<u64>,
    /// Reason, for people who look at the drain.
    pub reason: String,
    /// A URI that clients may use during the drain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub elsewhere: Option<String>,
}

/// Progress of a drain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Number of the drain.
    pub id: u64,
    /// `draining`, `emptied`, `struck`, `struck_and_emptied`, `cancelled` or `closed`.
    pub state: String,
    /// The messages that the drain covers.
    pub scope: DrainScope,
    /// When the drain was requested, in milliseconds since 1970.
    pub since_ms: u64,
    /// The deadline, in milliseconds since 1970.
    pub by_ms: u64,
    /// The current time, by the same clock.
    pub now_ms: u64,
    /// Reason, for people who look at the drain.
    pub reason: String,
    /// A URI that clients may use during the drain.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub elsewhere: Option<String>,
    /// Number of messages in scope when the drain began.
    pub at_start: u64,
    /// Pending messages in scope, by state and in total.
    pub left: BTreeMap<String, u64>,
    /// Pending messages by class, then by state.
    pub by_class: BTreeMap<String, BTreeMap<String, u64>>,
    /// Pending messages by destination, then by state.
    pub by_dest: BTreeMap<u16, BTreeMap<String, u64>>,
    /// The latest time until which one of the destinations concerned demanded a wait, in milliseconds since 1970.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_until_ms: Option<u64>,
    /// Estimated seconds until no message is left: the likely value, and the lower and upper bound of the 95 % interval. There
    /// is no upper bound while too few messages have ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub estimate_s: Option<(f64, f64, Option<f64>)>,
    /// Number of messages that were given up at the deadline.
    pub given_up: u64,
    /// Number of messages that were handed back to their clients at the deadline.
    pub handed_back: u64,
}

impl DrainStatus {
    /// Whether the drain is active, that is, new messages in its scope are refused.
    pub fn is_on(&self) -> bool {
        !matches!(self.state.as_str(), "cancelled" | "closed")
    }

    /// Number of pending messages in scope.
    pub fn total(&self) -> u64 {
        self.left.get("total").copied().unwrap_or(0)
    }
}

/// Status of the whole instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Version of the program.
    pub version: String,
    /// Process id.
    pub pid: u32,
    /// When the process started, in milliseconds since 1970.
    pub started_ms: u64,
    /// The current time, in milliseconds since 1970.
    pub now_ms: u64,
    /// Phase of the registry behind the platform frontend's list of backends.
    pub register: String,
    /// Number of pending messages.
    pub owed: u64,
    /// Number of known backends.
    pub backends: u64,
    /// Whether the process has been told to end.
    pub ending: bool,
    /// Client connections, by listener.
    #[serde(default)]
    pub clients: BTreeMap<String, AcceptorStats>,
    /// Active drains.
    pub drains: Vec<DrainStatus>,
    /// State of the shared health, if the instance takes part in it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<serde_json::Value>,
}

/// Problem details of a failed request (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// URN of the kind; `docs/operators/control.md` lists them.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short summary of the kind of problem.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What was wrong with this request; may be empty.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Problem {
    /// A problem of the kind `urn:indigohold:problem:{kind}`.
    pub fn new(kind: &str, status: u16, title: &str, detail: impl Into<String>) -> Problem {
        let kind = format!("urn:indigohold:problem:{kind}");
        Problem { kind, title: title.into(), status, detail: detail.into() }
    }

    /// The last part of the kind's URN.
    pub fn short_kind(&self) -> &str {
        self.kind.rsplit(':').next().unwrap_or_default()
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Problem {
        let (kind, status, title) = match refusal {
            Refusal::Ending => ("ending", 503, "the process is about to end"),
            Refusal::Deadline => ("deadline", 422, "the deadline is past, or more than seven days away"),
            Refusal::TooMany => ("many", 409, "too many drains are on"),
            Refusal::Unknown => ("unknown", 404, "no such drain is on"),
            Refusal::Expired => {
                ("struck", 409, "the deadline came first: every message had its answer decided")
            }
            Refusal::Cancelled => ("cancelled", 409, "it was called off before"),
            Refusal::Disk => ("disk", 507, "it can't be written down, so it does not hold"),
        };
        Problem::new(kind, status, title, "")
    }
}

impl SettingsNames {
    /// Resolves the names of a scope to numbers. The error names the field that is wrong.
    pub fn resolve_scope(&self, scope: &DrainScope) -> Result<Scope, String> {
        let front = match &scope.front {
            None => None,
            Some(name) => {
                let found = FRONTS.iter().find(|(n, _)| n == name);
                Some(found.ok_or_else(|| format!("scope.front: {name:?} is no front"))?.1)
            }
        };
        let positions = |list: &[String], name: &String| -> Vec<u16> {
            list.iter().enumerate().filter(|(_, n)| *n == name).map(|(position, _)| position as u16).collect()
        };
        let classes = scope.class.as_ref().map_or(Vec::new(), |name| positions(&self.classes, name));
        if let (Some(name), true) = (&scope.class, classes.is_empty()) {
            return Err(format!("scope.class: {name:?} is no class"));
        }
        let tenant = match &scope.tenant {
            None => None,
            Some(name) => {
                let found = positions(&self.tenants, name).first().copied();
                Some(found.ok_or_else(|| format!("scope.tenant: {name:?} is no tenant"))?)
            }
        };
        Ok(Scope { front, dest: scope.dest, classes, tenant })
    }

    /// Checks a request for a drain and resolves its names and its deadline. The error names the field that is wrong.
    pub fn resolve_drain(&self, drain: NewDrain, now: Micros) -> Result<DrainRequest, String> {
        let deadline = match (drain.by_ms, drain.within_ms) {
            (Some(by), None) => Micros(by.saturating_mul(1000)),
            (None, Some(within)) => now + Micros(within.saturating_mul(1000)),
            _ => return Err("one of by_ms and within_ms must be there".into()),
        };
        let check_text = |name: &str, text: &str, allowed: fn(char) -> bool| match text {
            t if t.len() > MAX_TEXT_BYTES => Err(format!("{name}: more than {MAX_TEXT_BYTES} bytes")),
            t if !t.chars().all(allowed) => Err(format!("{name}: not a plain text")),
            _ => Ok(()),
        };
        check_text("reason", &drain.reason, |c| !c.is_control())?;
        // The address is written into a header of each refusal, so a control character in it could forge further headers.
        let uri_char = |c: char| c.is_ascii_graphic() && !"<>\"\\".contains(c);
        check_text("elsewhere", drain.elsewhere.as_deref().unwrap_or_default(), uri_char)?;
        Ok(DrainRequest {
            scope: self.resolve_scope(&drain.scope)?,
            deadline,
            reason: drain.reason,
            alternative_address: drain.elsewhere,
        })
    }

    /// The name at a position, or `#` and the position if it has no name.
    pub fn name_of(list: &[String], position: u16) -> String {
        list.get(usize::from(position)).cloned().unwrap_or_else(|| format!("#{position}"))
    }

    fn scope_names(&self, scope: &Scope) -> DrainScope {
        let front = |number| FRONTS.iter().find(|(_, n)| *n == number).map(|(name, _)| (*name).to_owned());
        DrainScope {
            front: scope.front.and_then(front),
            dest: scope.dest,
            class: scope.classes.first().map(|c| SettingsNames::name_of(&self.classes, *c)),
            tenant: scope.tenant.map(|t| SettingsNames::name_of(&self.tenants, t)),
        }
    }

    /// The status of a drain as the control channel shows it.
    pub fn drain_status(&self, progress: &Progress, now: Micros) -> DrainStatus {
        let drain = &progress.drain;
        let state = match (drain.stage, progress.is_empty()) {
            (Stage::Draining, false) => "draining",
            (Stage::Draining, true) => "emptied",
            (Stage::Expired, false) => "struck",
            (Stage::Expired, true) => "struck_and_emptied",
            (Stage::Cancelled, _) => "cancelled",
            (Stage::Closed, _) => "closed",
        };
        let mut by_class: BTreeMap<String, Counts> = BTreeMap::new();
        for (class, counts) in &progress.by_class {
            by_class.entry(SettingsNames::name_of(&self.classes, *class)).or_default().add(counts);
        }
        DrainStatus {
            id: drain.id,
            state: state.into(),
            scope: self.scope_names(&drain.scope),
            since_ms: drain.started_us / 1000,
            by_ms: drain.deadline_us / 1000,
            now_ms: now.0 / 1000,
            reason: drain.reason.clone(),
            elsewhere: drain.alternative_address.clone(),
            at_start: drain.at_start,
            left: count_map(&progress.left),
            by_class: by_class.iter().map(|(name, c)| (name.clone(), count_map(c))).collect(),
            by_dest: progress.by_dest.iter().map(|(dest, c)| (*dest, count_map(c))).collect(),
            told_until_ms: progress.retry_after_until.map(|at| at.0 / 1000),
            estimate_s: progress.estimate.map(|e| {
                let high = Some(e.high_s).filter(|s| s.is_finite());
                (e.likely_s, e.low_s, high)
            }),
            given_up: drain.outcomes.given_up,
            handed_back: drain.outcomes.handed_back,
        }
    }
}

fn count_map(counts: &Counts) -> BTreeMap<String, u64> {
    let by_state = [
        ("total", counts.total),
        ("answering", counts.answering),
        ("waiting", counts.waiting),
        ("told_to_wait", counts.told_to_wait),
        ("out", counts.in_flight),
        ("notice_owed", counts.notice_pending),
    ];
    by_state.into_iter().map(|(name, n)| (name.to_owned(), n)).collect()
}
