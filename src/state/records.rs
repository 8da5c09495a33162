//! What a sender records about an endpoint, a route, a destination and a message.
//!
//! The types that derive `Serialize` are part of the handover to the next process. Their serialized names
//! must stay, so that an older and a newer version can hand over to each other in both directions.

use crate::api::*;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Health of an endpoint, as outlier ejection and slow start see it.
#[derive(Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub(crate) enum Health {
    /// In normal use.
    #[default]
    #[serde(rename = "Up")]
    Healthy,
    /// Ejected: from `trial_at` on it may get one trial; `probed` once a successful probe allows a message.
    #[serde(rename = "Out")]
    Ejected { trial_at: Micros, probed: bool },
    /// Ejected, with one trial (a message or a probe) in flight.
    HalfOpen,
    /// Returned from an outage; its allowed rate rises from `since` on.
    #[serde(rename = "Ramp")]
    SlowStart { since: Micros },
}

impl Health {
    /// Whether the endpoint is ejected, with or without a trial in flight.
    pub(crate) fn is_ejected(self) -> bool {
        matches!(self, Health::Ejected { .. } | Health::HalfOpen)
    }
}

/// A call in flight; it carries one message or a bundle of them.
pub(crate) struct Call {
    pub(crate) sent_at: Micros,
    /// Messages of the call that have no outcome yet.
    pub(crate) pending_outcomes: usize,
    /// Whether at least one message of the call has an outcome.
    pub(crate) has_outcome: bool,
}

/// An endpoint as this sender knows it.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Endpoint {
    pub(crate) route: RouteId,
    /// The zone that it is listed in. The handover leaves it out: the new process takes it from the list.
    #[serde(serialize_with = "serialize_no_zone", deserialize_with = "ignore_zone")]
    pub(crate) zone: Option<ZoneId>,
    pub(crate) kind: KindId,
    /// Endpoints of a higher rank are used only while none of a lower rank can be.
    pub(crate) rank: u16,
    #[serde(skip)]
    pub(crate) listed: ListingState,
    pub(crate) health: Health,
    /// The last failure was a lost call (time-out, broken or failed connection, unreadable answer), not an
    /// error answer.
    #[serde(rename = "lost")]
    pub(crate) last_failure_lost: bool,
    /// Exponentially weighted average of failures, from 0 to 1.
    #[serde(rename = "trouble")]
    pub(crate) failure_average: f64,
    /// Exponentially weighted averages of the latency and of its deviation, in seconds.
    #[serde(rename = "mean")]
    pub(crate) latency_mean: Option<f64>,
    #[serde(rename = "deviation")]
    pub(crate) latency_deviation: f64,
    /// Time-outs since the last successful answer; each doubles the next time-out.
    #[serde(rename = "timeouts")]
    pub(crate) consecutive_timeouts: u32,
    /// When the last call succeeded.
    pub(crate) last_ok: Micros,
    /// When the endpoint last gave any sign other than a time-out.
    pub(crate) last_heard: Micros,
    #[serde(rename = "out_at")]
    pub(crate) ejected_at: Micros,
    #[serde(rename = "tried_at")]
    pub(crate) last_trial_at: Micros,
    /// An answer came over a connection that should still be open.
    #[serde(skip)]
    pub(crate) has_connection: bool,
    /// The latest time at which the endpoint can have returned. `since` of its slow start is only an
    /// estimate: if the endpoint counted as warm by that estimate, the backlog would be sent to it while it
    /// is still cold.
    #[serde(default, rename = "back_by")]
    pub(crate) latest_return_at: Micros,
    /// When a peer note about the endpoint was last sent or received.
    #[serde(rename = "noted")]
    pub(crate) last_note_at: Micros,
    /// Calls that the endpoint may get in slow start: the credit at a given time. It grows at the slow start
    /// rate.
    pub(crate) credit: (Micros, f64),
    /// Calls in flight by call number.
    #[serde(skip)]
    pub(crate) calls: BTreeMap<u64, Call>,
}

impl Endpoint {
    /// Begins a slow start with no credit.
    pub(crate) fn start_cold(&mut self, now: Micros) {
        self.health = Health::SlowStart { since: now };
        self.credit = (now, 0.0);
        self.latest_return_at = now;
    }

    /// Whether a slow start of this `duration` that began at `since` is over for certain.
    pub(crate) fn is_warm(&self, now: Micros, since: Micros, duration: Micros) -> bool {
        self.latest_return_at.max(since) + duration <= now
    }

    /// Whether a call has succeeded within the last `span`.
    pub(crate) fn served_within(&self, now: Micros, span: Micros) -> bool {
        self.last_ok > Micros(0) && self.last_ok + span > now
    }
}

/// The unit that shares a rate limit, a send rate and retry-after waits: a whole destination, or one endpoint
/// where the kind of destination has separate routes.
pub(crate) type RouteId = (DestinationId, Option<EndpointId>);

/// An older version expects a number here, the zone's position in its own settings.
fn serialize_no_zone<S: Serializer>(_: &Option<ZoneId>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_u16(u16::MAX)
}

fn ignore_zone<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<ZoneId>, D::Error> {
    serde::de::IgnoredAny::deserialize(deserializer).map(|_| None)
}

/// An attempt in flight for one message.
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    /// The zone that the endpoint was listed in when the attempt was sent.
    pub(crate) zone: Option<ZoneId>,
    /// Number of the call that carries the message.
    pub(crate) call: u64,
    pub(crate) sent_at: Micros,
    /// Number of the attempt for its message, from 0.
    pub(crate) number: u8,
}

/// A message that this sender has accepted and not finished.
pub(crate) struct HeldMessage {
    pub(crate) message: Message,
    /// When the message was handed in; 0 if an earlier process run accepted it.
    pub(crate) handed_in_at: Micros,
    pub(crate) effect: Effect,
    pub(crate) aim: Micros,
    pub(crate) aim_at: Micros,
    /// The message exceeds its tenant's share.
    pub(crate) over_share: bool,
    /// How its client learns of its end if it is not delivered.
    pub(crate) end_report: EndReport,
    /// Worth of timely delivery, in thousandths.
    pub(crate) worth_millis: u64,
    /// Attempts made so far.
    pub(crate) attempts: u32,
    /// No attempt is made before this time.
    pub(crate) ready_at: Micros,
    pub(crate) in_flight: Option<Attempt>,
    /// The first attempt that may have taken effect.
    pub(crate) may_have_run: Option<SentAttempt>,
    /// Already answered; kept only until the attempt in flight returns.
    pub(crate) ended: bool,
    /// The expiry under which [`SendQueue`](super::SendQueue) has the message.
    pub(crate) expires_at: Micros,
}

/// The queue of messages with one key, which are sent one after the other.
#[derive(Default)]
pub(crate) struct KeyQueue {
    pub(crate) messages: VecDeque<MessageId>,
    /// The next message is not sent before this time: the previous attempt may still run until then.
    pub(crate) quiet_until: Micros,
}

/// Token bucket of one destination: first attempts deposit, repeats withdraw, and deposits expire.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct RetryBudget {
    /// Expiry and remaining thousandths of a token of each deposit, the oldest first.
    pub(crate) deposits: VecDeque<(Micros, u64)>,
}

/// A sender's small reserve of retry tokens, shared by all destinations.
#[derive(Serialize, Deserialize)]
pub(crate) struct RetryReserve {
    pub(crate) tokens: f64,
    /// When `tokens` was last computed.
    #[serde(rename = "at")]
    pub(crate) updated_at: Micros,
}

/// Send rate of one route: unbounded until a call is refused or a limit is known.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct SendRate {
    #[serde(rename = "rate")]
    pub(crate) calls_per_s: Option<f64>,
    /// The limit for all senders together, in calls a second, where it is known.
    pub(crate) limit: Option<f64>,
    /// This sender's part of the limit, in calls a second; 0 where no limit is known.
    #[serde(rename = "share")]
    pub(crate) own_share: f64,
    /// The limit as last given in the endpoint list.
    #[serde(rename = "listed")]
    pub(crate) listed_limit: f64,
    /// When an endpoint last reported how much of the limit is left.
    #[serde(rename = "told_at")]
    pub(crate) headroom_reported_at: Micros,
    /// The next call should not be sent before this time.
    #[serde(rename = "next_at")]
    pub(crate) next_call_at: Micros,
    /// When calls were sent during the last second.
    #[serde(rename = "sent")]
    pub(crate) recent_calls: VecDeque<Micros>,
    /// When a refusal last reduced the rate.
    #[serde(rename = "cut_at")]
    pub(crate) last_cut_at: Micros,
    /// The fraction of the limit that a lease grants to this sender, if one does.
    #[serde(skip)]
    pub(crate) leased_fraction: Option<f64>,
    /// Calls sent and calls refused since the process began.
    #[serde(skip)]
    pub(crate) calls_sent: u64,
    #[serde(skip)]
    pub(crate) calls_refused: u64,
    /// Refusals since the last accepted call.
    #[serde(rename = "run")]
    pub(crate) consecutive_refusals: i32,
    /// Exponentially weighted fraction of the calls that were refused.
    #[serde(default, rename = "refused")]
    pub(crate) refused_fraction: f64,
}

/// A destination's only route, or one of its separate routes.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Route {
    #[serde(rename = "pace")]
    pub(crate) send_rate: SendRate,
    /// No call is sent before this time, as the destination told the sender to wait.
    pub(crate) wait_until: Micros,
    #[serde(skip)]
    pub(crate) calls_in_flight: usize,
    /// When a call was last accepted.
    #[serde(rename = "taken_at")]
    pub(crate) last_accepted_at: Micros,
    /// Until this time an outage counts as recent, and endpoints that join begin in slow start.
    #[serde(rename = "out_until")]
    pub(crate) recent_outage_until: Micros,
    #[serde(skip)]
    pub(crate) endpoints: BTreeSet<EndpointId>,
}

/// What is recorded per destination, over all of its routes.
#[derive(Default, Serialize, Deserialize)]
pub(crate) struct Destination {
    #[serde(rename = "budget")]
    pub(crate) retry_budget: RetryBudget,
    /// Messages handed in since the process began, and how many of them were within their tenants' shares.
    #[serde(skip)]
    pub(crate) handed_in: (u64, u64),
    /// When messages were handed in during the last ten seconds.
    #[serde(rename = "asked")]
    pub(crate) recent_demand: VecDeque<Micros>,
}

impl Attempt {
    /// When and where it was sent.
    pub(crate) fn sent(&self) -> SentAttempt {
        SentAttempt { sent_at: self.sent_at, endpoint: self.endpoint, zone: self.zone }
    }
}

impl RetryBudget {
    /// Takes this many thousandths of a token from the deposits, the oldest first.
    pub(crate) fn consume(&mut self, mut due: u64) {
        for deposit in &mut self.deposits {
            let part = deposit.1.min(due);
            deposit.1 -= part;
            due -= part;
        }
    }
}

impl RetryReserve {
    /// Takes `due` tokens if the reserve has them. The reserve grows by `per_s` tokens a second, up to
    /// `most`.
    pub(crate) fn withdraw(&mut self, now: Micros, due: f64, per_s: f64, most: f64) -> bool {
        let saved = self.tokens + (now - self.updated_at).secs() * per_s;
        (self.tokens, self.updated_at) = (saved.min(most), now);
        let pays = self.tokens >= due;
        self.tokens -= if pays { due } else { 0.0 };
        pays
    }
}

impl HeldMessage {
    /// A message that was just handed in.
    pub(crate) fn new(now: Micros, message: Message, class: &Class, over_share: bool) -> HeldMessage {
        HeldMessage {
            effect: class.effect,
            aim: class.aim,
            aim_at: message.due - (class.deadline - class.aim),
            over_share,
            end_report: class.end_report,
            worth_millis: (class.worth * 1e3) as u64,
            attempts: 0,
            ready_at: now,
            in_flight: None,
            may_have_run: None,
            ended: false,
            expires_at: message.due,
            handed_in_at: now,
            message,
        }
    }

    /// Whether no attempt is in flight.
    pub(crate) fn is_waiting(&self) -> bool {
        self.in_flight.is_none()
    }

    /// Whether the message reports the end of another.
    pub(crate) fn is_report(&self) -> bool {
        self.end_report == EndReport::IsReport
    }

    /// Whether the message may be handed back: no attempt may have run, or running twice does no harm.
    pub(crate) fn may_be_declined(&self) -> bool {
        self.is_waiting() && (self.may_have_run.is_none() || self.effect == Effect::Safe)
    }
}
