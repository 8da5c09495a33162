//! The settings that a sender is created with.

use super::ids::Micros;
use std::collections::BTreeSet;

/// The effect of delivering a message of a class more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// A repeat is harmless.
    Safe,
    /// The endpoints of `group` drop a repeat within `window` from the first attempt that may have taken effect.
    Keyed {
        /// The endpoints that remember the deduplication key.
        group: DedupGroup,
        /// How long they remember it.
        window: Micros,
    },
    /// A repeat takes effect again.
    Unsafe,
}

impl Effect {
    /// Whether only the endpoints of one zone drop a repeat.
    pub(crate) fn is_keyed_by_zone(self) -> bool {
        matches!(self, Effect::Keyed { group: DedupGroup::Zone, .. })
    }
}

/// The endpoints of a destination that drop a repeat of an earlier attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupGroup {
    /// All of them.
    All,
    /// Those in the zone of the earlier attempt.
    Zone,
    /// Only the endpoint of the earlier attempt.
    Endpoint,
}

/// How the worth of a message falls after its latency target ([`Class::aim`]).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorthDecay {
    /// Linearly, down to the late worth at the deadline.
    Linear,
    /// Halves with each further `aim` that passes, but doesn't fall below the late worth.
    Halving,
}

/// How the endpoint list is obtained from discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery pushes changes without being asked.
    Push,
    /// Discovery sends the list only after [`Action::Subscribe`](super::Action::Subscribe) or
    /// [`Action::Fetch`](super::Action::Fetch).
    Subscribe,
}

/// What an endpoint's listed weight means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Weights {
    /// It has no meaning.
    Off,
    /// The calls per second that the destination (or route) accepts from all senders together.
    Nominal,
    /// The same, with an error of up to one half in either direction.
    Rough,
}

/// A class of message.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The latency target: a message delivered within this time earns its full worth.
    pub aim: Micros,
    /// How long after its first submission a message may still be delivered.
    pub deadline: Micros,
    /// The worth of one delivered message.
    pub worth: f64,
    /// The share of the worth that is left at the deadline.
    pub late_worth: f64,
    /// The effect of a repeated delivery.
    pub effect: Effect,
    /// Messages with the same key are delivered one at a time, in order.
    pub in_order: bool,
    /// How the client of an undelivered message learns of its end.
    pub end_report: EndReport,
}

/// How the client of an accepted message that was not delivered learns of its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReport {
    /// By a notice outside of the deliveries. To decline such a message frees its room.
    Notice,
    /// By a message that takes its place, so that to decline it frees no room. It is not shed.
    Message,
    /// It is itself the report of another message's end, which nothing would replace. It is not shed.
    IsReport,
}

/// A kind of destination.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Kind {
    /// Its name in the endpoint list; empty if the settings give it none.
    pub name: String,
    /// Each endpoint is a separate route with its own rate limit, send rate and outages.
    pub separate_routes: bool,
    /// The maximum number of messages in one call.
    pub max_batch_size: u32,
}

/// A tenant.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// The tenant's quota over all senders, in messages per second.
    pub quota_per_s: Option<f64>,
}

/// The parameters of the platform's rules. `None`: the rule doesn't apply here.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// How long after a message's due time a final answer still counts.
    pub answer_slack: Option<Micros>,
    /// The minimum share of its capacity that a destination has when it returns from an outage.
    pub cold_share: Option<f64>,
    /// How long after its return a destination has its full capacity.
    pub cold: Option<Micros>,
    /// A cold destination fails again if it receives more than this multiple of its current capacity for `tip_after`.
    pub overload_factor: Option<f64>,
    /// How long the overload of `overload_factor` must last before a cold destination fails again.
    pub tip_after: Option<Micros>,
    /// How long no message with the same key is sent after an attempt that may still be running.
    pub key_quiet: Option<Micros>,
    /// In [`DiscoveryMode::Subscribe`]: the maximum time without a subscription or a request for the list.
    pub must_ask_in: Option<Micros>,
}

/// What the deployment permits, and its limits.
#[derive(Debug, Clone, PartialEq)]
pub struct Limits {
    /// [`Action::CancelAttempt`](super::Action::CancelAttempt) is allowed.
    pub cancel: bool,
    /// [`Action::Probe`](super::Action::Probe) is allowed.
    pub probes: bool,
    /// [`Action::SendGossip`](super::Action::SendGossip) is allowed.
    pub gossip: bool,
    /// The maximum number of concurrent calls.
    pub slots: Option<u32>,
    /// The maximum number of messages held at once. Further ones are refused before they reach the sender.
    pub max_open: Option<u32>,
    /// The maximum number of attempts for one message.
    pub max_attempts: Option<u32>,
    /// The longest retry-after time that clients obey.
    pub max_retry_after: Option<Micros>,
}

impl Settings {
    /// The positions of the classes whose messages may safely run twice.
    pub fn repeatable_classes(&self) -> BTreeSet<u16> {
        let positions = (0..).zip(&self.classes);
        positions.filter(|(_, class)| class.effect == Effect::Safe).map(|(position, _)| position).collect()
    }
}

/// All settings that a sender is created with.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The number of senders of this service, this one included.
    pub senders: u32,
    /// The message classes; a [`ClassId`](super::ClassId) is a position in this list.
    pub classes: Vec<Class>,
    /// The kinds of destination; a [`KindId`](super::KindId) is a position in this list.
    pub kinds: Vec<Kind>,
    /// The tenants; may be empty. A [`TenantId`](super::TenantId) is a position in this list.
    pub tenants: Vec<Tenant>,
    /// The worth of a message beyond its tenant's quota, as a share of its normal worth.
    pub over_share_worth: Option<f64>,
    /// How the worth of a message falls after its latency target.
    pub worth_decay: WorthDecay,
    /// How the endpoint list is obtained.
    pub discovery: DiscoveryMode,
    /// The meaning of listed weights.
    pub weights: Weights,
    /// The position of the remaining share of the rate limit in a load report.
    pub report_left: Option<usize>,
    /// The position of the rate limit, in calls per second, in a load report.
    pub report_limit: Option<usize>,
    /// The minimum time between two decision rounds.
    pub period: Micros,
    /// The parameters of the platform's rules.
    pub rules: Rules,
    /// What the deployment permits, and its limits.
    pub limits: Limits,
}
