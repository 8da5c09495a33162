//! Retention over the control channel: the policies, the couriers that honour them, and orders to set, hold and forget.

use super::schema::{Problem, SettingsNames};
use super::server::ok_json;
use crate::api::Micros;
use crate::core::Courier;
use crate::history::hearing::Honoured;
use crate::history::keeper::Keeper;
use crate::history::retention::{Entry, Refusal, Scope, Word, ANY, LONGEST};
use crate::json;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The messages that a policy or an order covers, by name. A field that is absent matches all messages.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename = "WhoseShape", default, deny_unknown_fields)]
pub struct RetentionScope {
    /// Name of the tenant.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
    /// Name of the class.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
    /// Number of the destination.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub destination: Option<u16>,
}

/// An order about retention.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename = "OrderShape", rename_all = "snake_case", deny_unknown_fields)]
pub enum RetentionOrder {
    /// Sets how long ended messages are kept.
    Set {
        /// The messages that the order covers.
        whose: RetentionScope,
        /// Time to keep a message after its end, in seconds.
        keep_s: u32,
        /// How often each message may be sent again; 0 forbids replays.
        replays: u8,
    },
    /// Starts or ends a hold. Under a hold, messages are not deleted by age.
    Hold {
        /// The messages that the order covers.
        whose: RetentionScope,
        /// Whether the hold starts; otherwise it ends.
        on: bool,
    },
    /// Deletes the messages for good, in the whole fleet.
    Forget {
        /// The messages that the order covers.
        whose: RetentionScope,
        /// Messages that ended up to this time are forgotten, in milliseconds since 1970; the current time if absent.
        until_ms: Option<u64>,
        /// Forget messages under a hold too.
        despite_hold: bool,
    },
}

/// A policy with its version, or a forget order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionPolicy {
    /// The messages that the policy covers.
    pub whose: RetentionScope,
    /// Version of the policy; 0 if there is only a forget order.
    pub version: u64,
    /// How long a message that ends now is kept, in seconds; absent if there is only a forget order.
    pub keep_s: Option<u32>,
    /// How often each message may be sent again.
    pub replays: u8,
    /// Whether a hold prevents deletion by age.
    pub hold: bool,
    /// Messages that ended up to this time are forgotten, in milliseconds since 1970.
    pub forgotten_until_ms: Option<u64>,
}

/// Which couriers honour a tenant's policies.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRetention {
    /// Name of the tenant.
    pub tenant: String,
    /// The newest version that any courier reported.
    pub version: u64,
    /// The time of the latest forget order that any courier reported, in milliseconds since 1970.
    pub forgotten_until_ms: Option<u64>,
    /// Couriers that honour both, by courier number.
    pub honoured_by: Vec<u64>,
    /// Couriers that were heard recently and do not honour both, with the version that they honour.
    pub not_by: BTreeMap<u64, u64>,
    /// Couriers that were not heard recently, with the time of their last report in milliseconds since 1970; absent if they were
    /// never heard.
    pub unheard: BTreeMap<u64, Option<u64>>,
    /// When the oldest message ended that any courier is known to hold, in milliseconds since 1970.
    pub oldest_ms: Option<u64>,
    /// Whether so many couriers honour both that every courier that has heard a quorum of the others knows of them.
    pub in_force: bool,
    /// Whether all couriers honour both.
    pub by_all: bool,
}

/// Status of retention, as this courier knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionStatus {
    /// The current time, in milliseconds since 1970.
    pub now_ms: u64,
    /// Number of this courier.
    pub me: u64,
    /// Why the history of this courier is closed and keeps nothing, if it is.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub closed: Option<String>,
    /// Number of messages kept at this courier.
    pub kept: u64,
    /// Number of messages deleted by age or by an order.
    pub deleted: u64,
    /// Number of messages dropped because the history was full.
    pub dropped: u64,
    /// Number of dropped messages that were under a hold.
    pub dropped_held: u64,
    /// Number of ended messages that were not kept at all.
    pub unwritten: u64,
    /// Whether enough other couriers were heard in this process run for the courier to show the messages it keeps.
    pub informed: bool,
    /// Whether they were heard recently enough for the courier to send messages again.
    pub fresh: bool,
    /// One record per tenant.
    pub tenants: Vec<TenantRetention>,
    /// Policies and forget orders, one per scope.
    pub policies: Vec<RetentionPolicy>,
}

/// Answers a request. `parts` is the path after `/v1/retention`, split at its slashes.
pub fn answer(
    courier: &Courier, names: &SettingsNames, method: &str, parts: &[&str], body: &[u8],
) -> Result<(u16, serde_json::Value), Problem> {
    let order = match (method, parts) {
        ("GET", []) => None,
        ("POST", []) => Some(json::from_slice(body).map_err(|e| refused(e.to_string()))?),
        (_, []) => return Err(Problem::new("method", 405, "not with this method", method)),
        _ => return Err(Problem::new("path", 404, "no such path", parts.join("/"))),
    };
    let result: Option<Result<RetentionStatus, Problem>> = courier.with_history(|keeper, now| {
        if let Some(order) = &order {
            apply_order(keeper, names, order, now)?;
        }
        Ok(status(keeper, names, now))
    });
    let history_unavailable = || {
        Problem::new("off", 409, "no history is kept here", "it is off, or another process has taken over")
    };
    ok_json(200, &result.ok_or_else(history_unavailable)??)
}

fn refused(detail: impl Into<String>) -> Problem {
    Problem::new("order", 422, "the order can't be given as it is", detail)
}

fn resolve_scope(names: &SettingsNames, whose: &RetentionScope) -> Result<Scope, Problem> {
    let position = |what: &str, list: &[String], name: &Option<String>| match name {
        None => Ok(ANY),
        Some(name) => {
            let found = list.iter().position(|n| n == name).filter(|at| *at < usize::from(ANY));
            found
                .map(|at| at as u16)
                .ok_or_else(|| refused(format!("{what}: {name:?} is none of the settings")))
        }
    };
    Ok(Scope {
        tenant: position("tenant", &names.tenants, &whose.tenant)?,
        class: position("class", &names.classes, &whose.class)?,
        dest: whose.destination.unwrap_or(ANY),
    })
}

fn scope_names(names: &SettingsNames, scope: &Scope) -> RetentionScope {
    let name =
        |list: &[String], position: u16| (position != ANY).then(|| SettingsNames::name_of(list, position));
    RetentionScope {
        tenant: name(&names.tenants, scope.tenant),
        class: name(&names.classes, scope.class),
        destination: Some(scope.dest).filter(|d| *d != ANY),
    }
}

fn apply_order(
    keeper: &mut Keeper, names: &SettingsNames, order: &RetentionOrder, now: Micros,
) -> Result<(), Problem> {
    let skew = keeper.config.skew;
    let history_closed = || Problem::new("closed", 507, "this courier's history is closed", "");
    let book = keeper.history().ok_or_else(history_closed)?.book();
    let version = |scope: &Scope| book.entries().get(scope).map_or(0, Entry::version) + 1;
    let (scope, entry) = match order {
        RetentionOrder::Set { whose, keep_s, replays } => {
            if *keep_s > LONGEST {
                return Err(refused(format!("keep_s: {LONGEST} at most")));
            }
            let scope = resolve_scope(names, whose)?;
            let hold = book.entries().get(&scope).is_some_and(|e| e.word().hold);
            let word = Word { version: version(&scope), replay: *replays > 0, replays: *replays, hold };
            (scope, book.reworded(scope, now, word, *keep_s))
        }
        RetentionOrder::Hold { whose, on } => {
            let scope = resolve_scope(names, whose)?;
            let known = book.entries().get(&scope).filter(|e| e.version() > 0);
            let known = known
                .ok_or_else(|| refused("there is no policy of exactly this tenant, class and destination"))?;
            let word = Word { version: version(&scope), hold: *on, ..known.word() };
            (scope, book.reworded(scope, now, word, known.keep(u32::MAX)))
        }
        RetentionOrder::Forget { whose, until_ms, despite_hold } => {
            let until = until_ms.map_or(now, |ms| Micros(ms.saturating_mul(1_000)));
            if until > now {
                return Err(refused("until: that is still to come"));
            }
            let scope = resolve_scope(names, whose)?;
            let entry = book.forgetting(scope, until + skew, *despite_hold).map_err(|why| match why {
                Refusal::Held => {
                    Problem::new("held", 409, "a hold covers a part of it", "say so, if it is meant")
                }
                Refusal::Full => Problem::new("full", 507, "there is no room for one more entry", ""),
            })?;
            (scope, entry)
        }
    };
    let has_room = book.entries().contains_key(&scope) || book.entries().len() < keeper.config.entries;
    if !has_room {
        return Err(Problem::new("full", 507, "there is no room for one more entry", ""));
    }
    // The order takes effect at once, but if it can't be written to disk, it is lost when the process ends.
    match keeper.apply(now, &[(scope, entry)]) {
        true => Ok(()),
        false => Err(Problem::new(
            "disk",
            507,
            "it holds in this process, but can't be written down",
            "give it again",
        )),
    }
}

fn status(keeper: &Keeper, names: &SettingsNames, now: Micros) -> RetentionStatus {
    let counts = keeper.counts();
    let ms = |at: Micros| at.0 / 1_000;
    let forgotten_until_ms = |second: u32| (second > 0).then(|| u64::from(second) * 1_000);
    let tenant = |honoured: Honoured| TenantRetention {
        tenant: SettingsNames::name_of(&names.tenants, honoured.tenant),
        version: honoured.version,
        forgotten_until_ms: forgotten_until_ms(honoured.forgot),
        by_all: honoured.by_all(),
        in_force: honoured.in_force,
        oldest_ms: honoured.oldest.map(ms),
        unheard: honoured.unheard.into_iter().map(|(node, at)| (node, at.map(ms))).collect(),
        honoured_by: honoured.by.into_iter().collect(),
        not_by: honoured.not_by,
    };
    let policy = |(scope, entry): (&Scope, &Entry)| RetentionPolicy {
        whose: scope_names(names, scope),
        version: entry.version(),
        keep_s: (entry.version() > 0).then(|| entry.keep(u32::MAX)),
        replays: if entry.word().replay { entry.word().replays } else { 0 },
        hold: entry.word().hold,
        forgotten_until_ms: forgotten_until_ms(entry.forget()),
    };
    let book = keeper.history().map(|h| h.book());
    RetentionStatus {
        now_ms: ms(now),
        me: keeper.me,
        closed: keeper.shut().map(str::to_owned),
        kept: keeper.history().map_or(0, |h| h.len() as u64),
        deleted: counts.deleted,
        dropped: counts.dropped,
        dropped_held: counts.dropped_held,
        unwritten: counts.unwritten,
        informed: keeper.hearing.informed(),
        fresh: keeper.hearing.fresh(now),
        tenants: keeper.overview(now).into_iter().map(tenant).collect(),
        policies: book.map_or(Vec::new(), |b| b.entries().iter().map(policy).collect()),
    }
}
