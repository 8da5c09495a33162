//! Replay of ended messages over the control channel: orders are planned, run, stopped, and their progress is reported.

use super::schema::{Problem, SettingsNames};
use super::server::ok_json;
use crate::api::Micros;
use crate::core::replay_orders::{ReplayOrderError, ReplayOrderState};
use crate::core::Courier;
use crate::history::given::{Part, Told};
use crate::history::keeper::Keeper;
use crate::history::orders::Refused;
use crate::history::replay::Order;
use crate::json;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest reason of an order.
const MAX_REASON_BYTES: usize = 200;

/// A replay order: the messages to send again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "WantShape", deny_unknown_fields)]
pub struct ReplayRequest {
    /// Name of the tenant.
    pub tenant: String,
    /// Number of the destination.
    pub destination: u16,
    /// Start of the span in which the messages ended, in milliseconds since 1970.
    pub since_ms: u64,
    /// End of the span, exclusive, in milliseconds since 1970.
    pub until_ms: u64,
    /// The partner has reported the messages as lost, so a repeat may take effect again.
    #[serde(default)]
    pub lost: bool,
    /// Reason of the order. It is part of the order's id.
    pub reason: String,
}

/// Plan of an order at the courier that was asked.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayPlan {
    /// Id of the order, 16 hexadecimal digits.
    pub id: String,
    /// Number of the courier that was asked.
    pub me: u64,
    /// Number of messages that may be sent.
    pub may: u64,
    /// Numbers of messages that may not be sent, by reason.
    pub not: BTreeMap<String, u64>,
    /// The plan is cut off: further messages need another order.
    pub cut: bool,
    /// Couriers that are away. Their messages are missing from the plan, not forgotten. The value is the time at which the oldest
    /// message ended that the courier was last known to hold of this tenant, in milliseconds since 1970, if it is known.
    pub missing: BTreeMap<u64, Option<u64>>,
}

/// Progress of an order at one courier.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayRun {
    /// Id of the order, 16 hexadecimal digits.
    pub id: String,
    /// The order.
    pub want: ReplayRequest,
    /// `runs`, `stops`, `stopped` or `done`.
    pub state: String,
    /// Messages that were not sent yet.
    pub left: u64,
    /// Messages whose call is in flight.
    pub out: u64,
    /// Messages that the partner accepted.
    pub taken: u64,
    /// Messages that the partner did not accept; this order does not send them again.
    pub refused: u64,
    /// Planned messages that could no longer be sent when their turn came.
    pub passed: u64,
}

/// One courier's part of an order, as that courier reported it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplayPart {
    /// `waits` (the courier has not heard from enough other couriers), `planned`, `runs`, `stops`, `stopped` or `done`.
    pub state: String,
    /// Messages that were not sent yet, or whose call is in flight.
    pub left: u64,
    /// Messages that the partner accepted.
    pub taken: u64,
    /// Messages that the partner did not accept; this order does not send them again.
    pub refused: u64,
    /// Planned messages that could no longer be sent when their turn came.
    pub passed: u64,
    /// Numbers of messages that may not be sent, by reason.
    pub not: BTreeMap<String, u64>,
    /// Time of the report, in milliseconds since 1970.
    pub at_ms: u64,
}

/// A courier that is away. Its part of the order is missing, not forgotten.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MissingReplayPart {
    /// When the oldest message of the tenant ended that the courier was last known to hold, in milliseconds since 1970.
    pub oldest_ms: Option<u64>,
    /// Its last report on the order, if there was one.
    pub last: Option<ReplayPart>,
}

/// Progress of an order in the whole fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReplay {
    /// Id of the order, 16 hexadecimal digits.
    pub id: String,
    /// The order. A long reason that was given to another courier may be cut off.
    pub want: ReplayRequest,
    /// Whether the order is to be run; otherwise it is only planned.
    pub go: bool,
    /// Whether the order has been told to stop.
    pub stopped: bool,
    /// When the order was given, in milliseconds since 1970.
    pub given_ms: u64,
    /// Number of the courier that was asked.
    pub me: u64,
    /// Parts of the couriers that are present and have reported, by courier number.
    pub parts: BTreeMap<u64, ReplayPart>,
    /// Couriers that are present and have not reported on the order yet.
    pub unanswered: Vec<u64>,
    /// Couriers that are away, by courier number.
    pub missing: BTreeMap<u64, MissingReplayPart>,
}

/// Answers a request. `parts` is the path after `/v1/replays`, split at its slashes.
pub fn answer(
    courier: &Courier, names: &SettingsNames, method: &str, parts: &[&str], body: &[u8],
) -> Result<(u16, serde_json::Value), Problem> {
    let history_unavailable = || {
        Problem::new("off", 409, "no history is kept here", "it is off, closed, or another process has it")
    };
    match (method, parts) {
        ("POST", ["plan"]) => {
            let order = parse_order(names, body)?;
            let plan = courier.replay_plan(&order).ok_or_else(history_unavailable)?;
            let not = plan.not.iter().map(|(why, many)| (format!("{why:?}"), *many)).collect();
            let absent_couriers = |keeper: &Keeper, now| {
                let absent = keeper.members(now).filter(|(_, here)| !here);
                absent.map(|(node, _)| (node, oldest_held_ms(keeper, node, order.tenant))).collect()
            };
            let (me, missing) = courier
                .with_history(|keeper, now| (keeper.me, absent_couriers(keeper, now)))
                .ok_or_else(history_unavailable)?;
            let plan = ReplayPlan {
                id: id_text(order.id()),
                me,
                may: plan.may.len() as u64,
                not,
                cut: plan.cut,
                missing,
            };
            ok_json(200, &plan)
        }
        ("POST", []) => {
            let order = parse_order(names, body)?;
            let refused = |why| {
                let detail = match why {
                    ReplayOrderError::HistoryUnavailable => return history_unavailable(),
                    ReplayOrderError::Refused(Refused::Full) => "too many orders run: stop one, or wait",
                    ReplayOrderError::Refused(Refused::Named) => {
                        "its number is too near to another's: word the reason otherwise"
                    }
                    ReplayOrderError::Refused(Refused::Lapsed) => "by this courier's clock its time is over",
                };
                Problem::new("many", 409, "it can't be run", detail)
            };
            ok_json(200, &run_progress(names, &courier.replay_run(&order).map_err(refused)?))
        }
        ("GET", []) => {
            let all: Vec<ReplayRun> =
                courier.replay_orders().iter().map(|state| run_progress(names, state)).collect();
            ok_json(200, &all)
        }
        ("GET", [id]) => {
            let state =
                parse_id(id).and_then(|id| courier.replay_order(id)).ok_or_else(|| unknown_order(id))?;
            ok_json(
                200,
                &courier
                    .with_history(|keeper, now| fleet_progress(names, &state, keeper, now))
                    .ok_or_else(history_unavailable)?,
            )
        }
        ("DELETE", [id]) => {
            let unknown = || unknown_order(id);
            let id = parse_id(id).ok_or_else(unknown)?;
            ok_json(200, &run_progress(names, &courier.replay_stop(id).ok_or_else(unknown)?))
        }
        (_, [] | [_]) => Err(Problem::new("method", 405, "not with this method", method)),
        _ => Err(Problem::new("path", 404, "no such path", parts.join("/"))),
    }
}

fn unknown_order(id: &str) -> Problem {
    Problem::new("unknown", 404, "no such order is known here", id)
}

fn parse_id(id: &str) -> Option<u64> {
    u64::from_str_radix(id, 16).ok()
}

/// When the oldest message of the tenant ended that the courier `node` was last known to hold, in milliseconds since 1970.
fn oldest_held_ms(keeper: &Keeper, node: u64, tenant: u16) -> Option<u64> {
    let told = keeper.others.get(&node)?.tenants.get(&tenant)?;
    told.2.map(|second| u64::from(second) * 1_000)
}

fn id_text(id: u64) -> String {
    format!("{id:016x}")
}

fn parse_order(names: &SettingsNames, body: &[u8]) -> Result<Order, Problem> {
    let refused = |detail: String| Problem::new("order", 422, "the order can't be given as it is", detail);
    let request: ReplayRequest = json::from_slice(body).map_err(|e| refused(e.to_string()))?;
    let tenant = names.tenants.iter().position(|n| *n == request.tenant);
    let tenant =
        tenant.ok_or_else(|| refused(format!("tenant: {:?} is none of the settings", request.tenant)))?;
    if request.reason.is_empty()
        || request.reason.len() > MAX_REASON_BYTES
        || request.reason.chars().any(char::is_control)
    {
        return Err(refused(format!("reason: a plain text of 1 to {MAX_REASON_BYTES} bytes")));
    }
    if request.since_ms >= request.until_ms {
        return Err(refused("until: not after since".into()));
    }
    let micros = |ms: u64| Micros(ms.saturating_mul(1_000));
    let span = (micros(request.since_ms), micros(request.until_ms));
    Ok(Order::new(tenant as u16, request.destination, span, request.lost, &request.reason))
}

fn replay_request(names: &SettingsNames, order: &Order) -> ReplayRequest {
    ReplayRequest {
        tenant: SettingsNames::name_of(&names.tenants, order.tenant),
        destination: order.dest,
        since_ms: order.since.0 / 1_000,
        until_ms: order.until.0 / 1_000,
        lost: order.lost,
        reason: order.reason.clone(),
    }
}

fn run_progress(names: &SettingsNames, state: &ReplayOrderState) -> ReplayRun {
    let Part { phase, left, taken, refused, passed, .. } = state.part;
    ReplayRun {
        id: id_text(state.given.order.id()),
        want: replay_request(names, &state.given.order),
        state: phase.name().into(),
        left: u64::from(left).saturating_sub(state.in_flight),
        out: state.in_flight,
        taken: taken.into(),
        refused: refused.into(),
        passed: passed.into(),
    }
}

fn replay_part(part: &Part, at: Micros) -> ReplayPart {
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

fn fleet_progress(
    names: &SettingsNames, state: &ReplayOrderState, keeper: &Keeper, now: Micros,
) -> FleetReplay {
    let given = &state.given;
    let mut fleet = FleetReplay {
        id: id_text(given.order.id()),
        want: replay_request(names, &given.order),
        go: given.go,
        stopped: given.stopped,
        given_ms: u64::from(given.at) * 1_000,
        me: keeper.me,
        parts: [(keeper.me, replay_part(&state.part, now))].into(),
        unanswered: Vec::new(),
        missing: BTreeMap::new(),
    };
    for (node, present) in keeper.members(now) {
        let told: Option<&Told> =
            u16::try_from(node).ok().and_then(|node| state.reported_by_peers.get(&node));
        let reported = told.map(|told| replay_part(&told.part, told.at));
        match (present, reported) {
            // A report from a previous run of that courier's process does not count as an answer of the current run.
            (true, Some(reported)) if told.is_some_and(|t| !t.former) => {
                drop(fleet.parts.insert(node, reported))
            }
            (true, _) => fleet.unanswered.push(node),
            (false, last) => {
                let oldest_ms = oldest_held_ms(keeper, node, given.order.tenant);
                fleet.missing.insert(node, MissingReplayPart { oldest_ms, last });
            }
        }
    }
    fleet
}
