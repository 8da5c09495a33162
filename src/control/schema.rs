//! What goes over the control channel: JSON with names in place of numbers, and problems (RFC 9457).

use crate::api::Micros;
use crate::core::draining::{Counts, Progress};
use crate::drain::{DrainRequest, Refusal, Scope, Stage, MAX_TEXT_BYTES};
use crate::net::acceptor::AcceptorStats;
use crate::net::{mail, platform};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Names of what the core knows by number.
#[derive(Debug, Clone, Default)]
pub struct SettingsNames {
    /// Names of classes, by their position; one name may stand for several.
    pub classes: Vec<String>,
    /// Names of tenants, by their position.
    pub tenants: Vec<String>,
}

const FRONTS: [(&str, u8); 2] = [("platform", platform::FRONT), ("mail", mail::FRONT)];

/// Whose messages, by name. What is absent means all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainScope {
    /// `platform` or `mail`.
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

/// A wish to drain. One of `by_ms` and `within_ms` must be there.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct NewDrain {
    /// Whose messages.
    pub scope: DrainScope,
    /// The deadline, in milliseconds since 1970.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub by_ms: Option<u64>,
    /// The deadline, in milliseconds from now.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub within_ms: Option<u64>,
    /// Why.
    pub reason: String,
    /// Where clients may go meanwhile: a URI.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub elsewhere: Option<String>,
}

/// How far a drain is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DrainStatus {
    /// Its number.
    pub id: u64,
    /// `draining`, `emptied`, `struck`, `struck_and_emptied`, `cancelled` or `closed`.
    pub state: String,
    /// Whose messages.
    pub scope: DrainScope,
    /// When it was asked for, and its deadline, in milliseconds since 1970.
    pub since_ms: u64,
    /// The deadline.
    pub by_ms: u64,
    /// Now, by the same clock.
    pub now_ms: u64,
    /// Why.
    pub reason: String,
    /// Where clients may go meanwhile.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub elsewhere: Option<String>,
    /// Messages in scope when it began.
    pub at_start: u64,
    /// Messages in scope that are still owed something.
    pub left: BTreeMap<String, u64>,
    /// The same by class.
    pub by_class: BTreeMap<String, BTreeMap<String, u64>>,
    /// And by destination.
    pub by_dest: BTreeMap<u16, BTreeMap<String, u64>>,
    /// Until when the last destination concerned has told to wait, in milliseconds since 1970.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub told_until_ms: Option<u64>,
    /// Likely seconds to the end, and between which it lies nineteen times in twenty. No upper one: too few have ended.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub estimate_s: Option<(f64, f64, Option<f64>)>,
    /// Messages that its strike gave up and handed back.
    pub given_up: u64,
    /// Handed back.
    pub handed_back: u64,
}

impl DrainStatus {
    /// It turns messages away.
    pub fn is_on(&self) -> bool {
        !matches!(self.state.as_str(), "cancelled" | "closed")
    }

    /// Messages left.
    pub fn total(&self) -> u64 {
        self.left.get("total").copied().unwrap_or(0)
    }
}

/// The instance as a whole.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InstanceStatus {
    /// Version of the program.
    pub version: String,
    /// Its process.
    pub pid: u32,
    /// When it started, and now, in milliseconds since 1970.
    pub started_ms: u64,
    /// Now.
    pub now_ms: u64,
    /// What the list of the platform's front rests on.
    pub register: String,
    /// Messages that are owed something.
    pub owed: u64,
    /// Backends known.
    pub backends: u64,
    /// It has been told to end.
    pub ending: bool,
    /// Connections of clients, by listener.
    #[serde(default)]
    pub clients: BTreeMap<String, AcceptorStats>,
    /// Drains that are on.
    pub drains: Vec<DrainStatus>,
    /// What the fleet believes, where state is shared.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<serde_json::Value>,
}

/// What went wrong (RFC 9457).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Which kind; see `docs/operators/control.md`.
    #[serde(rename = "type")]
    pub kind: String,
    /// In short.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// What exactly.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub detail: String,
}

impl Problem {
    /// A problem of a kind.
    pub fn new(kind: &str, status: u16, title: &str, detail: impl Into<String>) -> Problem {
        let kind = format!("urn:indigohold:problem:{kind}");
        Problem { kind, title: title.into(), status, detail: detail.into() }
    }

    /// The last word of its kind.
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
    /// The scope of these names, or what is wrong with them.
    pub fn resolve_scope(&self, shape: &DrainScope) -> Result<Scope, String> {
        let front = match &shape.front {
            None => None,
            Some(name) => {
                let found = FRONTS.iter().find(|(n, _)| n == name);
                Some(found.ok_or_else(|| format!("scope.front: {name:?} is no front"))?.1)
            }
        };
        let places = |list: &[String], name: &String| -> Vec<u16> {
            list.iter().enumerate().filter(|(_, n)| *n == name).map(|(place, _)| place as u16).collect()
        };
        let classes = shape.class.as_ref().map_or(Vec::new(), |name| places(&self.classes, name));
        if let (Some(name), true) = (&shape.class, classes.is_empty()) {
            return Err(format!("scope.class: {name:?} is no class"));
        }
        let tenant = match &shape.tenant {
            None => None,
            Some(name) => {
                let found = places(&self.tenants, name).first().copied();
                Some(found.ok_or_else(|| format!("scope.tenant: {name:?} is no tenant"))?)
            }
        };
        Ok(Scope { front, dest: shape.dest, classes, tenant })
    }

    /// The wish, or what is wrong with it.
    pub fn resolve_drain(&self, shape: NewDrain, now: Micros) -> Result<DrainRequest, String> {
        let by = match (shape.by_ms, shape.within_ms) {
            (Some(by), None) => Micros(by.saturating_mul(1000)),
            (None, Some(within)) => now + Micros(within.saturating_mul(1000)),
            _ => return Err("one of by_ms and within_ms must be there".into()),
        };
        let plain = |name: &str, text: &str, ok: fn(char) -> bool| match text {
            t if t.len() > MAX_TEXT_BYTES => Err(format!("{name}: more than {MAX_TEXT_BYTES} bytes")),
            t if !t.chars().all(ok) => Err(format!("{name}: not a plain text")),
            _ => Ok(()),
        };
        plain("reason", &shape.reason, |c| !c.is_control())?;
        // Danger: it goes into a header's line of each refusal.
        let uri = |c: char| c.is_ascii_graphic() && !"<>\"\\".contains(c);
        plain("elsewhere", shape.elsewhere.as_deref().unwrap_or_default(), uri)?;
        Ok(DrainRequest {
            scope: self.resolve_scope(&shape.scope)?,
            deadline: by,
            reason: shape.reason,
            alternative_address: shape.elsewhere,
        })
    }

    /// The name at a place, or the place where it has none.
    pub fn name_of(list: &[String], place: u16) -> String {
        list.get(usize::from(place)).cloned().unwrap_or_else(|| format!("#{place}"))
    }

    fn scope_shape(&self, scope: &Scope) -> DrainScope {
        let front = |number| FRONTS.iter().find(|(_, n)| *n == number).map(|(name, _)| (*name).to_owned());
        DrainScope {
            front: scope.front.and_then(front),
            dest: scope.dest,
            class: scope.classes.first().map(|c| SettingsNames::name_of(&self.classes, *c)),
            tenant: scope.tenant.map(|t| SettingsNames::name_of(&self.tenants, t)),
        }
    }

    /// A drain as it is shown.
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
            scope: self.scope_shape(&drain.scope),
            since_ms: drain.started_us / 1000,
            by_ms: drain.deadline_us / 1000,
            now_ms: now.0 / 1000,
            reason: drain.reason.clone(),
            elsewhere: drain.alternative_address.clone(),
            at_start: drain.at_start,
            left: counts(&progress.left),
            by_class: by_class.iter().map(|(name, c)| (name.clone(), counts(c))).collect(),
            by_dest: progress.by_dest.iter().map(|(dest, c)| (*dest, counts(c))).collect(),
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

fn counts(counts: &Counts) -> BTreeMap<String, u64> {
    let all = [
        ("total", counts.total),
        ("answering", counts.answering),
        ("waiting", counts.waiting),
        ("told_to_wait", counts.told_to_wait),
        ("out", counts.in_flight),
        ("notice_owed", counts.notice_pending),
    ];
    all.into_iter().map(|(name, n)| (name.to_owned(), n)).collect()
}
