//! Retention over the control channel: who honours what, and orders to set, hold and forget.

use super::schema::{Problem, SettingsNames};
use super::server::value;
use crate::api::Micros;
use crate::core::Courier;
use crate::history::hearing::Honoured;
use crate::history::keeper::Keeper;
use crate::history::retention::{Entry, Refusal, Scope, Word, ANY, LONGEST};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Whose messages, by name. What is absent means all.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
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

/// An order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum RetentionOrder {
    /// How long they are kept.
    Set {
        /// Whose.
        whose: RetentionScope,
        /// Seconds.
        keep_s: u32,
        /// Times that each may be sent again; 0: not at all.
        replays: u8,
    },
    /// Ageing stops, or goes on.
    Hold {
        /// Whose.
        whose: RetentionScope,
        /// It stops.
        on: bool,
    },
    /// They are forgotten.
    Forget {
        /// Whose.
        whose: RetentionScope,
        /// What ended up to then, in milliseconds since 1970; now if absent.
        until_ms: Option<u64>,
        /// Also where a hold is known.
        despite_hold: bool,
    },
}

/// One policy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionPolicy {
    /// Whose.
    pub whose: RetentionScope,
    /// Its version; 0: a forget order alone.
    pub version: u64,
    /// Seconds for which what ends now is kept; absent where it says nothing of it.
    pub keep_s: Option<u32>,
    /// Times that each may be sent again.
    pub replays: u8,
    /// Ageing stops.
    pub hold: bool,
    /// What ended up to then is forgotten, in milliseconds since 1970.
    pub forgotten_until_ms: Option<u64>,
}

/// How far a tenant's policies are honoured.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantRetention {
    /// Name of the tenant.
    pub tenant: String,
    /// The newest version told by anybody.
    pub version: u64,
    /// The latest forget order told by anybody, in milliseconds since 1970.
    pub forgotten_until_ms: Option<u64>,
    /// Couriers that honour both, by number.
    pub honoured_by: Vec<u64>,
    /// Couriers that were heard lately and do not, with the version that they honour.
    pub not_by: BTreeMap<u64, u64>,
    /// Couriers that were not heard lately, and since when, in milliseconds since 1970; none: never.
    pub unheard: BTreeMap<u64, Option<u64>>,
    /// When the oldest message ended that anybody is known to hold, in milliseconds since 1970.
    pub oldest_ms: Option<u64>,
    /// Whoever has heard enough others knows it.
    pub in_force: bool,
    /// By all.
    pub by_all: bool,
}

/// All of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionStatus {
    /// Now, in milliseconds since 1970.
    pub now_ms: u64,
    /// The number of this courier.
    pub me: u64,
    /// Why this courier keeps nothing, if its history is closed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub closed: Option<String>,
    /// Messages kept here.
    pub kept: u64,
    /// Deleted by age or order, dropped for want of room (of these under a hold), and not kept at all.
    pub deleted: u64,
    /// Dropped for want of room.
    pub dropped: u64,
    /// Of these, under a hold.
    pub dropped_held: u64,
    /// Not kept.
    pub unwritten: u64,
    /// Enough others were heard in this life to show what is held.
    pub informed: bool,
    /// And lately enough to send anything again.
    pub fresh: bool,
    /// By tenant.
    pub tenants: Vec<TenantRetention>,
    /// By whom they are about.
    pub policies: Vec<RetentionPolicy>,
}

/// Answers a call; `parts`: the path behind `/v1/retention`.
pub fn answer(
    courier: &Courier, words: &SettingsNames, method: &str, parts: &[&str], body: &[u8],
) -> Result<(u16, serde_json::Value), Problem> {
    let order = match (method, parts) {
        ("GET", []) => None,
        ("POST", []) => Some(serde_json::from_slice(body).map_err(|e| refused(e.to_string()))?),
        (_, []) => return Err(Problem::new("method", 405, "not with this method", method)),
        _ => return Err(Problem::new("path", 404, "no such path", parts.join("/"))),
    };
    let done: Option<Result<RetentionStatus, Problem>> = courier.with_history(|keeper, now| {
        if let Some(order) = &order {
            give(keeper, words, order, now)?;
        }
        Ok(shape(keeper, words, now))
    });
    let off = || {
        Problem::new("off", 409, "no history is kept here", "it is off, or another process has taken over")
    };
    value(200, &done.ok_or_else(off)??)
}

fn refused(detail: impl Into<String>) -> Problem {
    Problem::new("order", 422, "the order can't be given as it is", detail)
}

fn scope(words: &SettingsNames, whose: &RetentionScope) -> Result<Scope, Problem> {
    let place = |what: &str, list: &[String], name: &Option<String>| match name {
        None => Ok(ANY),
        Some(name) => {
            let found = list.iter().position(|n| n == name).filter(|at| *at < usize::from(ANY));
            found
                .map(|at| at as u16)
                .ok_or_else(|| refused(format!("{what}: {name:?} is none of the settings")))
        }
    };
    Ok(Scope {
        tenant: place("tenant", &words.tenants, &whose.tenant)?,
        class: place("class", &words.classes, &whose.class)?,
        dest: whose.destination.unwrap_or(ANY),
    })
}

fn whose(words: &SettingsNames, scope: &Scope) -> RetentionScope {
    let named = |list: &[String], place: u16| (place != ANY).then(|| SettingsNames::name_of(list, place));
    RetentionScope {
        tenant: named(&words.tenants, scope.tenant),
        class: named(&words.classes, scope.class),
        destination: Some(scope.dest).filter(|d| *d != ANY),
    }
}

fn give(
    keeper: &mut Keeper, words: &SettingsNames, order: &RetentionOrder, now: Micros,
) -> Result<(), Problem> {
    let skew = keeper.config.skew;
    let closed = || Problem::new("closed", 507, "this courier's history is closed", "");
    let book = keeper.history().ok_or_else(closed)?.book();
    let version = |scope: &Scope| book.entries().get(scope).map_or(0, Entry::version) + 1;
    let (scope, entry) = match order {
        RetentionOrder::Set { whose, keep_s, replays } => {
            if *keep_s > LONGEST {
                return Err(refused(format!("keep_s: {LONGEST} at most")));
            }
            let scope = scope(words, whose)?;
            let hold = book.entries().get(&scope).is_some_and(|e| e.word().hold);
            let word = Word { version: version(&scope), replay: *replays > 0, replays: *replays, hold };
            (scope, book.reworded(scope, now, word, *keep_s))
        }
        RetentionOrder::Hold { whose, on } => {
            let scope = scope(words, whose)?;
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
            let scope = scope(words, whose)?;
            let entry = book.forgetting(scope, until + skew, *despite_hold).map_err(|why| match why {
                Refusal::Held => {
                    Problem::new("held", 409, "a hold covers a part of it", "say so, if it is meant")
                }
                Refusal::Full => Problem::new("full", 507, "there is no room for one more entry", ""),
            })?;
            (scope, entry)
        }
    };
    let room = book.entries().contains_key(&scope) || book.entries().len() < keeper.config.entries;
    if !room {
        return Err(Problem::new("full", 507, "there is no room for one more entry", ""));
    }
    // Danger: what is known holds at once, but an order that is not written is gone with the process.
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

fn shape(keeper: &Keeper, words: &SettingsNames, now: Micros) -> RetentionStatus {
    let counts = keeper.counts();
    let ms = |at: Micros| at.0 / 1_000;
    let forgot = |second: u32| (second > 0).then(|| u64::from(second) * 1_000);
    let tenant = |h: Honoured| TenantRetention {
        tenant: SettingsNames::name_of(&words.tenants, h.tenant),
        version: h.version,
        forgotten_until_ms: forgot(h.forgot),
        by_all: h.by_all(),
        in_force: h.in_force,
        oldest_ms: h.oldest.map(ms),
        unheard: h.unheard.into_iter().map(|(node, at)| (node, at.map(ms))).collect(),
        honoured_by: h.by.into_iter().collect(),
        not_by: h.not_by,
    };
    let policy = |(scope, entry): (&Scope, &Entry)| RetentionPolicy {
        whose: whose(words, scope),
        version: entry.version(),
        keep_s: (entry.version() > 0).then(|| entry.keep(u32::MAX)),
        replays: if entry.word().replay { entry.word().replays } else { 0 },
        hold: entry.word().hold,
        forgotten_until_ms: forgot(entry.forget()),
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
