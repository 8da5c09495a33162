//! Sending again over the control channel: what an order would do, running it, how far it is, stopping it.

use super::schema::{Problem, SettingsNames};
use super::server::value;
use crate::api::Micros;
use crate::core::replay_orders::{ReplayOrderError, ReplayOrderState};
use crate::core::Courier;
use crate::history::given::{Part, Told};
use crate::history::keeper::Keeper;
use crate::history::orders::Refused;
use crate::history::replay::Order;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest reason.
const REASON_MOST: usize = 200;

/// What is to be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ReplayRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the destination.
    pub destination: u16,
    /// What ended from then on, in milliseconds since 1970.
    pub since_ms: u64,
    /// And before then.
    pub until_ms: u64,
    /// The partner says that it has lost them.
    #[serde(default)]
    pub lost: bool,
    /// Why.
    pub reason: String,
}

/// What an order would do at this courier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayPlan {
    /// Its number.
    pub id: String,
    /// The courier that was asked.
    pub me: u64,
    /// Messages that may go.
    pub may: u64,
    /// Messages that may not, by reason.
    pub not: BTreeMap<String, u64>,
    /// There are more; they are of the next order.
    pub cut: bool,
    /// Couriers that are away: what they hold is missing, not forgotten. With the moment at which the oldest message ended that
    /// they were last known to hold of this tenant, in milliseconds since 1970; none: not known.
    pub missing: BTreeMap<u64, Option<u64>>,
}

/// How far an order is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayRun {
    /// Its number.
    pub id: String,
    /// What it is.
    pub want: ReplayRequest,
    /// `runs`, `stops`, `stopped` or `done`.
    pub state: String,
    /// Not begun.
    pub left: u64,
    /// Under way.
    pub out: u64,
    /// Taken by the partner.
    pub taken: u64,
    /// Not taken; not sent again by this order.
    pub refused: u64,
    /// Passed by since it was planned.
    pub passed: u64,
}

/// One courier's part of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayPart {
    /// `waits` (it has not heard enough others), `planned`, `runs`, `stops`, `stopped` or `done`.
    pub state: String,
    /// Not ended: to be sent, or under way.
    pub left: u64,
    /// Taken by the partner.
    pub taken: u64,
    /// Not taken; not sent again by this order.
    pub refused: u64,
    /// Passed by since it was planned.
    pub passed: u64,
    /// May not go, by reason.
    pub not: BTreeMap<String, u64>,
    /// When it said so, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A courier whose part is missing, not forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingReplayPart {
    /// When the oldest message of the tenant ended that it was last known to hold, in milliseconds since 1970.
    pub oldest_ms: Option<u64>,
    /// What it last said of its part, if it did.
    pub last: Option<ReplayPart>,
}

/// An order over the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReplay {
    /// Its number.
    pub id: String,
    /// What it is. Of a long reason given elsewhere, the beginning.
    pub want: ReplayRequest,
    /// It is to be run; else it is a plan.
    pub go: bool,
    /// It is to stop.
    pub stopped: bool,
    /// When it was given, in milliseconds since 1970.
    pub given_ms: u64,
    /// The courier that was asked.
    pub me: u64,
    /// By courier that is there.
    pub parts: BTreeMap<u64, ReplayPart>,
    /// Couriers that are there and have not said anything of it yet.
    pub unanswered: Vec<u64>,
    /// Couriers that are away.
    pub missing: BTreeMap<u64, MissingReplayPart>,
}

/// Answers a call; `parts`: the path behind `/v1/replays`.
pub fn answer(
    courier: &Courier, words: &SettingsNames, method: &str, parts: &[&str], body: &[u8],
) -> Result<(u16, serde_json::Value), Problem> {
    let off = || {
        Problem::new("off", 409, "no history is kept here", "it is off, closed, or another process has it")
    };
    match (method, parts) {
        ("POST", ["plan"]) => {
            let order = order(words, body)?;
            let plan = courier.replay_plan(&order).ok_or_else(off)?;
            let not = plan.not.iter().map(|(why, many)| (format!("{why:?}"), *many)).collect();
            let away = |keeper: &Keeper, now| {
                let away = keeper.members(now).filter(|(_, here)| !here);
                away.map(|(node, _)| (node, oldest(keeper, node, order.tenant))).collect()
            };
            let (me, missing) =
                courier.with_history(|keeper, now| (keeper.me, away(keeper, now))).ok_or_else(off)?;
            let shape = ReplayPlan {
                id: name(order.id()),
                me,
                may: plan.may.len() as u64,
                not,
                cut: plan.cut,
                missing,
            };
            value(200, &shape)
        }
        ("POST", []) => {
            let order = order(words, body)?;
            let cant = |why| {
                let detail = match why {
                    ReplayOrderError::HistoryUnavailable => return off(),
                    ReplayOrderError::Refused(Refused::Full) => "too many orders run: stop one, or wait",
                    ReplayOrderError::Refused(Refused::Named) => {
                        "its number is too near to another's: word the reason otherwise"
                    }
                    ReplayOrderError::Refused(Refused::Lapsed) => "by this courier's clock its time is over",
                };
                Problem::new("many", 409, "it can't be run", detail)
            };
            value(200, &shape(words, &courier.replay_run(&order).map_err(cant)?))
        }
        ("GET", []) => {
            let all: Vec<ReplayRun> =
                courier.replay_orders().iter().map(|state| shape(words, state)).collect();
            value(200, &all)
        }
        ("GET", [id]) => {
            let state =
                number(id).and_then(|number| courier.replay_order(number)).ok_or_else(|| unknown(id))?;
            value(
                200,
                &courier.with_history(|keeper, now| fleet(words, &state, keeper, now)).ok_or_else(off)?,
            )
        }
        ("DELETE", [id]) => {
            let unknown = || unknown(id);
            let id = number(id).ok_or_else(unknown)?;
            value(200, &shape(words, &courier.replay_stop(id).ok_or_else(unknown)?))
        }
        (_, [] | [_]) => Err(Problem::new("method", 405, "not with this method", method)),
        _ => Err(Problem::new("path", 404, "no such path", parts.join("/"))),
    }
}

fn unknown(id: &str) -> Problem {
    Problem::new("unknown", 404, "no such order is known here", id)
}

fn number(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

fn oldest(keeper: &Keeper, node: u64, tenant: u16) -> Option<u64> {
    let told = keeper.others.get(&node)?.tenants.get(&tenant)?;
    told.2.map(|second| u64::from(second) * 1_000)
}

fn name(id: u64) -> String {
    format!("{id:016x}")
}

fn order(words: &SettingsNames, body: &[u8]) -> Result<Order, Problem> {
    let refused = |detail: String| Problem::new("order", 422, "the order can't be given as it is", detail);
    let want: ReplayRequest = serde_json::from_slice(body).map_err(|e| refused(e.to_string()))?;
    let tenant = words.tenants.iter().position(|n| *n == want.tenant);
    let tenant =
        tenant.ok_or_else(|| refused(format!("tenant: {:?} is none of the settings", want.tenant)))?;
    if want.reason.is_empty() || want.reason.len() > REASON_MOST || want.reason.chars().any(char::is_control)
    {
        return Err(refused(format!("reason: a plain text of 1 to {REASON_MOST} bytes")));
    }
    if want.since_ms >= want.until_ms {
        return Err(refused("until: not after since".into()));
    }
    let at = |ms: u64| Micros(ms.saturating_mul(1_000));
    let span = (at(want.since_ms), at(want.until_ms));
    Ok(Order::new(tenant as u16, want.destination, span, want.lost, &want.reason))
}

fn wanted(words: &SettingsNames, order: &Order) -> ReplayRequest {
    ReplayRequest {
        tenant: SettingsNames::name_of(&words.tenants, order.tenant),
        destination: order.dest,
        since_ms: order.since.0 / 1_000,
        until_ms: order.until.0 / 1_000,
        lost: order.lost,
        reason: order.reason.clone(),
    }
}

fn shape(words: &SettingsNames, state: &ReplayOrderState) -> ReplayRun {
    let Part { phase, left, taken, refused, passed, .. } = state.part;
    ReplayRun {
        id: name(state.given.order.id()),
        want: wanted(words, &state.given.order),
        state: phase.name().into(),
        left: u64::from(left).saturating_sub(state.in_flight),
        out: state.in_flight,
        taken: taken.into(),
        refused: refused.into(),
        passed: passed.into(),
    }
}

fn part(part: &Part, at: Micros) -> ReplayPart {
    ReplayPart {
        state: part.phase.name().into(),
        left: part.left.into(),
        taken: part.taken.into(),
        refused: part.refused.into(),
        passed: part.passed.into(),
        not: part.not.iter().map(|(why, many)| (format!("{why:?}"), *many)).collect(),
        at_ms: at.0 / 1_000,
    }
}

fn fleet(words: &SettingsNames, state: &ReplayOrderState, keeper: &Keeper, now: Micros) -> FleetReplay {
    let given = &state.given;
    let mut out = FleetReplay {
        id: name(given.order.id()),
        want: wanted(words, &given.order),
        go: given.go,
        stopped: given.stopped,
        given_ms: u64::from(given.at) * 1_000,
        me: keeper.me,
        parts: [(keeper.me, part(&state.part, now))].into(),
        unanswered: Vec::new(),
        missing: BTreeMap::new(),
    };
    for (node, here) in keeper.members(now) {
        let told: Option<&Told> =
            u16::try_from(node).ok().and_then(|node| state.reported_by_peers.get(&node));
        let said = told.map(|told| part(&told.part, told.at));
        match (here, said) {
            // What a former life said is no word of the one that is there.
            (true, Some(said)) if told.is_some_and(|t| !t.former) => drop(out.parts.insert(node, said)),
            (true, _) => out.unanswered.push(node),
            (false, last) => {
                let oldest_ms = oldest(keeper, node, given.order.tenant);
                out.missing.insert(node, MissingReplayPart { oldest_ms, last });
            }
        }
    }
    out
}
