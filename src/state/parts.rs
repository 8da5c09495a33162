//! What a sender keeps of an endpoint, a route, a destination and a message.

use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Failure accrual: in use, out with trials, or returned and cold.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub(crate) enum Health {
    #[default]
    Up,
    /// Trials from `trial_at`; `probed` when a probe has said that a message may try.
    Out {
        trial_at: Micros,
        probed: bool,
    },
    /// One trial (message or probe) is on its way.
    HalfOpen,
    Ramp {
        since: Micros,
    },
}

impl Health {
    /// Out, or on trial.
    pub(crate) fn is_out(self) -> bool {
        matches!(self, Health::Out { .. } | Health::HalfOpen)
    }
}

/// A call out: when it was sent, how many messages it carries without outcome, whether the first has one.
pub(crate) struct Call {
    pub(crate) sent: Micros,
    pub(crate) left: usize,
    pub(crate) heard: bool,
}

/// An endpoint as this sender knows it.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) route: RouteId,
    pub(crate) zone: ZoneId,
    pub(crate) kind: KindId,
    /// Endpoints of a higher rank stand in for those of a lower.
    pub(crate) rank: u16,
    #[serde(skip)]
    pub(crate) listed: Listed,
    pub(crate) health: Health,
    /// The last failure was a call lost on the way, not an answer.
    pub(crate) lost: bool,
    /// EWMA of failures, 0 to 1.
    pub(crate) trouble: f64,
    pub(crate) mean: Option<f64>,
    pub(crate) deviation: f64,
    /// Time-outs since the last answer; each doubles the next time-out.
    pub(crate) timeouts: u32,
    pub(crate) last_ok: Micros,
    pub(crate) last_heard: Micros,
    /// When it was last found to be out, and when its last trial was sent.
    pub(crate) out_at: Micros,
    pub(crate) tried_at: Micros,
    /// An answer came over a connection that should still be open.
    #[serde(skip)]
    pub(crate) linked: bool,
    /// The latest moment at which it may have come back. Danger: `since` of its ramp is a guess, and who counts it
    /// warm by that sends what has piled up while it is not.
    #[serde(default)]
    pub(crate) back_by: Micros,
    /// Last note about it, sent or heard.
    pub(crate) noted: Micros,
    /// Calls that a cold endpoint may get: credit as of a moment; it grows with the cold rate.
    pub(crate) credit: (Micros, f64),
    #[serde(skip)]
    pub(crate) calls: BTreeMap<u64, Call>,
}

impl Endpoint {
    /// It starts with nothing warm.
    pub(crate) fn start_cold(&mut self, now: Micros) {
        self.health = Health::Ramp { since: now };
        self.credit = (now, 0.0);
        self.back_by = now;
    }

    /// Whether its ramp, which began then, is surely over.
    pub(crate) fn is_warm(&self, now: Micros, since: Micros, cold: Micros) -> bool {
        self.back_by.max(since) + cold <= now
    }

    /// Whether it has delivered in the last `span`.
    pub(crate) fn served_within(&self, now: Micros, span: Micros) -> bool {
        self.last_ok > Micros(0) && self.last_ok + span > now
    }
}

/// What shares a limit, a pace and told waits: a destination, or one endpoint where routes are apart.
pub(crate) type RouteId = (DestinationId, Option<EndpointId>);

pub(crate) struct Out {
    pub(crate) endpoint: EndpointId,
    pub(crate) call: u64,
    pub(crate) sent: Micros,
    pub(crate) attempt: u8,
}

pub(crate) struct Held {
    pub(crate) message: Message,
    /// When it was handed in; long ago if that was in an earlier life.
    pub(crate) came: Micros,
    pub(crate) effect: Effect,
    pub(crate) aim: Micros,
    pub(crate) aim_at: Micros,
    pub(crate) over_share: bool,
    /// Worth in time, in thousandths.
    pub(crate) worth: u64,
    pub(crate) tries: u32,
    pub(crate) ready_at: Micros,
    pub(crate) out: Option<Out>,
    /// First attempt that may have run: when it was sent and where to.
    pub(crate) risk: Option<(Micros, EndpointId)>,
    /// Answered; kept only until its attempt is back.
    pub(crate) ended: bool,
    /// Where it stands among the ends of [`Waiting`].
    pub(crate) end_at: Micros,
}

#[derive(Default)]
pub(crate) struct KeyLane {
    pub(crate) line: VecDeque<MessageId>,
    pub(crate) rest_until: Micros,
}

/// Token bucket of one destination: first tries deposit, repeats withdraw, deposits expire.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct RetryBudget {
    pub(crate) deposits: VecDeque<(Micros, u64)>,
}

/// The small reserve of a sender, shared over all destinations.
#[derive(Serialize, Deserialize)]
pub(crate) struct Reserve {
    pub(crate) tokens: f64,
    pub(crate) at: Micros,
}

/// Pace of one route in calls a second: unbounded until refused or until a limit is known.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Pace {
    pub(crate) rate: Option<f64>,
    /// The limit for all senders, and this sender's part of it, where told.
    pub(crate) limit: Option<f64>,
    pub(crate) share: f64,
    /// The limit as the list has it; when an endpoint last told how much is left.
    pub(crate) listed: f64,
    pub(crate) told_at: Micros,
    pub(crate) next_at: Micros,
    pub(crate) sent: VecDeque<Micros>,
    pub(crate) cut_at: Micros,
    /// The part of the limit that a lease gives, if one does.
    #[serde(skip)]
    pub(crate) part: Option<f64>,
    /// Calls sent and turned away since the process began.
    #[serde(skip)]
    pub(crate) called: u64,
    #[serde(skip)]
    pub(crate) turned: u64,
    /// Refusals since the last call taken.
    pub(crate) run: i32,
    /// Share of the calls that were refused, the latest most.
    #[serde(default)]
    pub(crate) refused: f64,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Route {
    pub(crate) pace: Pace,
    pub(crate) wait_until: Micros,
    /// Calls out, and when one was last taken.
    #[serde(skip)]
    pub(crate) out: usize,
    pub(crate) taken_at: Micros,
    /// An outage was seen lately.
    pub(crate) out_until: Micros,
    #[serde(skip)]
    pub(crate) endpoints: BTreeSet<EndpointId>,
}

#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    pub(crate) budget: RetryBudget,
    /// Messages handed in since the process began, and of these within their tenants' shares.
    #[serde(skip)]
    pub(crate) came: (u64, u64),
    /// When messages were handed in, over the last ten seconds.
    pub(crate) asked: VecDeque<Micros>,
}

impl RetryBudget {
    /// Takes so much of the deposits, the oldest first.
    pub(crate) fn pay(&mut self, mut due: u64) {
        for deposit in &mut self.deposits {
            let part = deposit.1.min(due);
            deposit.1 -= part;
            due -= part;
        }
    }
}

impl Reserve {
    /// Takes so many tokens if there are so many; it grows by `per_s` up to `most`.
    pub(crate) fn withdraw(&mut self, now: Micros, due: f64, per_s: f64, most: f64) -> bool {
        let saved = self.tokens + (now - self.at).secs() * per_s;
        (self.tokens, self.at) = (saved.min(most), now);
        let pays = self.tokens >= due;
        self.tokens -= if pays { due } else { 0.0 };
        pays
    }
}

impl Held {
    /// A message that was just handed in.
    pub(crate) fn new(now: Micros, message: Message, class: &Class, over_share: bool) -> Held {
        Held {
            effect: class.effect,
            aim: class.aim,
            aim_at: message.due - (class.deadline - class.aim),
            over_share,
            worth: (class.worth * 1e3) as u64,
            tries: 0,
            ready_at: now,
            out: None,
            risk: None,
            ended: false,
            end_at: message.due,
            came: now,
            message,
        }
    }

    pub(crate) fn waits(&self) -> bool {
        self.out.is_none()
    }

    /// It may be handed back: no attempt may have run, or running twice does no harm.
    pub(crate) fn harmless(&self) -> bool {
        self.waits() && (self.risk.is_none() || self.effect == Effect::Safe)
    }
}
