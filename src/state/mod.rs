//! Plain state and helpers of the sender. All decisions and their constants are in `src/policy/`.

mod records;
mod send_queue;

pub(crate) use records::*;
pub(crate) use send_queue::*;

use crate::api::*;
use crate::shared::sharing::FleetView;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One sender: the whole state of one instance.
pub struct Sender {
    pub(crate) settings: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) retry_reserve: RetryReserve,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) messages: BTreeMap<MessageId, HeldMessage>,
    pub(crate) send_queue: SendQueue,
    /// Queues of the messages that keep their order, by key.
    pub(crate) key_queues: BTreeMap<Key, KeyQueue>,
    /// Calls in flight over all endpoints.
    pub(crate) calls_in_flight: usize,
    /// Virtual clock of each tenant's share: the time by which the traffic so far would be within the share.
    pub(crate) tenant_clocks: Vec<Micros>,
    /// Messages handed in per tenant with a quota since the process began.
    pub(crate) tenant_demand_counts: Vec<u64>,
    /// What the couriers share with each other.
    pub(crate) beliefs: Option<Arc<FleetView>>,
    /// When the leased fractions of limits have to be looked up again.
    pub(crate) lease_update_at: Option<Micros>,
    /// Endpoints whose last call in flight returned in this round.
    pub(crate) newly_idle: Vec<EndpointId>,
    /// Average fraction of the calls sent after a refusal that are accepted.
    pub(crate) acceptance_after_refusal: f64,
    /// How long idle connections are trusted, by kind of destination.
    pub(crate) idle_timeouts: BTreeMap<KindId, Micros>,
    /// Outages that an earlier process run recorded, and the demand for their destinations in messages a
    /// second; an entry is applied once its endpoint is listed.
    pub(crate) earlier_outages: BTreeMap<EndpointId, (Outage, f64)>,
    /// Count of the outages that began or ended so far.
    pub(crate) outage_changes: u64,
    pub(crate) next_call_id: u64,
    /// When the earliest pending timer fires.
    pub(crate) timer_at: Option<Micros>,
    /// When to request the endpoint list.
    pub(crate) list_request_at: Option<Micros>,
    /// Failed list requests in a row.
    pub(crate) list_request_failures: u32,
    /// No log line is written before this time.
    pub(crate) next_log_at: Micros,
}

impl Sender {
    /// A sender that knows nothing yet, with the initial values of its decisions.
    pub(crate) fn start(
        settings: Settings, seed: u64, retry_reserve: RetryReserve, acceptance_after_refusal: f64,
    ) -> Sender {
        Sender {
            rng: Pcg64Mcg::seed_from_u64(seed),
            tenant_clocks: vec![Micros(0); settings.tenants.len()],
            tenant_demand_counts: vec![0; settings.tenants.len()],
            beliefs: None,
            lease_update_at: None,
            list_request_at: (settings.discovery == DiscoveryMode::Subscribe).then_some(Micros(0)),
            settings,
            retry_reserve,
            destinations: BTreeMap::new(),
            routes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            messages: BTreeMap::new(),
            send_queue: SendQueue::default(),
            key_queues: BTreeMap::new(),
            calls_in_flight: 0,
            newly_idle: Vec::new(),
            acceptance_after_refusal,
            idle_timeouts: BTreeMap::new(),
            earlier_outages: BTreeMap::new(),
            outage_changes: 0,
            next_call_id: 0,
            timer_at: None,
            list_request_failures: 0,
            next_log_at: Micros(0),
        }
    }

    /// All routes of a destination.
    pub(crate) fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        let from = self.routes.range((destination, None)..);
        from.take_while(move |(id, _)| id.0 == destination).map(|(_, route)| route)
    }

    /// The endpoints of the same route and rank, this one included.
    ///
    /// An outage mostly affects all of them. When senders that had seen one endpoint fail went on with the
    /// others, they overloaded the destination. So one endpoint's ejection or return is applied to the
    /// siblings that were not heard from lately. The cost: where a single endpoint fails, its siblings wait
    /// for a trial too. Endpoints of another rank are other machines, there as stand-ins, and are not
    /// affected.
    pub(crate) fn siblings(&self, id: EndpointId) -> Vec<EndpointId> {
        let Some(e) = self.endpoints.get(&id) else { return Vec::new() };
        let same_rank = |s: &EndpointId| self.endpoints.get(s).is_some_and(|s| s.rank == e.rank);
        let route = self.routes.get(&e.route);
        route.map_or(Vec::new(), |r| r.endpoints.iter().copied().filter(same_rank).collect())
    }

    /// Applies a change to each of the siblings, this endpoint included.
    pub(crate) fn for_each_sibling(
        &mut self, id: EndpointId, mut change: impl FnMut(EndpointId, &mut Endpoint),
    ) {
        for sibling in self.siblings(id) {
            self.endpoints.get_mut(&sibling).into_iter().for_each(|e| change(sibling, e));
        }
    }

    /// Drops endpoints that are no longer listed and have no call in flight, and routes without endpoints. A
    /// route whose retry-after wait or recent outage still counts stays.
    pub(crate) fn drop_gone_endpoints(&mut self, now: Micros) {
        let routes = &mut self.routes;
        self.endpoints.retain(|id, e| {
            let stays = e.listed != ListingState::Gone || !e.calls.is_empty();
            if let (false, Some(route)) = (stays, routes.get_mut(&e.route)) {
                route.endpoints.remove(id);
            }
            stays
        });
        routes.retain(|_, r| !r.endpoints.is_empty() || r.wait_until.max(r.recent_outage_until) > now);
    }

    /// Drops unused key queues once there are more than `spare` queues beyond the number of held messages.
    pub(crate) fn drop_unused_key_queues(&mut self, now: Micros, spare: usize) {
        if self.key_queues.len() > self.messages.len() + spare {
            self.key_queues.retain(|_, queue| !queue.messages.is_empty() || queue.quiet_until > now);
        }
    }

    /// How long an endpoint stays in slow start after its return.
    pub(crate) fn slow_start_duration(&self) -> Micros {
        self.settings.rules.cold.unwrap_or_default()
    }

    /// Whether the endpoint drops the message if an earlier attempt has run, as it belongs to the group that
    /// remembers the message's key. The group is the zone in which the earlier attempt was sent, also if its
    /// endpoint has changed its zone since. If that zone is not known, only the same endpoint counts.
    pub(crate) fn deduplicates_repeat(&self, held: &HeldMessage, id: EndpointId, e: &Endpoint) -> bool {
        let Some(earlier) = held.may_have_run else { return true };
        match (held.effect, earlier.zone) {
            (Effect::Keyed { group: DedupGroup::Zone, .. }, Some(zone)) => e.zone == Some(zone),
            (Effect::Keyed { group: DedupGroup::Zone | DedupGroup::Endpoint, .. }, _) => {
                earlier.endpoint == id
            }
            _ => true,
        }
    }

    /// Number of waiting messages by destination.
    pub(crate) fn waiting_by_destination(&self) -> BTreeMap<DestinationId, usize> {
        let mut waiting = BTreeMap::new();
        for held in self.messages.values().filter(|h| h.is_waiting()) {
            *waiting.entry(held.message.destination).or_default() += 1;
        }
        waiting
    }

    /// Removes a message that has had its final answer; with an attempt in flight it is kept until that
    /// returns.
    pub(crate) fn finish(&mut self, id: MessageId) {
        let Some(held) = self.messages.get_mut(&id) else { return };
        if held.in_flight.is_some() {
            held.ended = true;
            return;
        }
        if let Some(queue) = held.message.key.and_then(|k| self.key_queues.get_mut(&k)) {
            queue.messages.retain(|m| *m != id);
        }
        self.send_queue.forget(held);
        self.messages.remove(&id);
    }

    /// Number of free call slots.
    pub(crate) fn free_slots(&self) -> usize {
        (self.settings.limits.slots.unwrap_or(u32::MAX) as usize).saturating_sub(self.calls_in_flight)
    }

    /// Until when a destination told the sender to wait: the earliest over its routes. For overviews only; no
    /// decision uses it.
    pub fn told_wait(&self, destination: DestinationId) -> Micros {
        self.routes_of(destination).map(|r| r.wait_until).min().unwrap_or_default()
    }

    /// Logs a line about an endpoint, at most one line a second over all endpoints.
    pub(crate) fn log_endpoint(
        &mut self, now: Micros, id: EndpointId, what: &str, actions: &mut Vec<Action>,
    ) {
        if let (true, Some(e)) = (self.next_log_at <= now, self.endpoints.get(&id)) {
            self.next_log_at = now + SECOND;
            actions.push(Action::Log(format!("destination {}: endpoint {id} {what}", e.route.0 .0)));
        }
    }

    /// Records a call that the previous process began: it holds a slot, and its endpoint, until its outcome
    /// comes.
    pub(crate) fn restore_call(&mut self, id: MessageId, sent: SentAttempt) {
        let SentAttempt { sent_at, endpoint: at, zone } = sent;
        let Some(held) = self.messages.get_mut(&id) else { return };
        self.send_queue.forget(held);
        let call = self.next_call_id;
        self.next_call_id += 1;
        self.calls_in_flight += 1;
        let endpoint = self.endpoints.entry(at).or_default();
        if let Health::Ejected { .. } = endpoint.health {
            endpoint.health = Health::HalfOpen;
        }
        endpoint.calls.insert(call, Call { sent_at, pending_outcomes: 1, has_outcome: false });
        self.routes.entry(endpoint.route).or_default().calls_in_flight += 1;
        let number = held.attempts.saturating_sub(1) as u8;
        held.in_flight = Some(Attempt { endpoint: at, zone, call, sent_at, number });
    }
}

/// Records that one message of a call has its outcome; the call's slot is free once all messages have theirs.
/// Returns whether this outcome is the call's first, and `None` for an unknown call.
pub(crate) fn record_call_outcome(
    e: &mut Endpoint, route: &mut Route, attempt: &Attempt, calls_in_flight: &mut usize,
    newly_idle: &mut Vec<EndpointId>,
) -> Option<bool> {
    let call = e.calls.get_mut(&attempt.call)?;
    call.pending_outcomes -= 1;
    let first = !std::mem::replace(&mut call.has_outcome, true);
    if call.pending_outcomes == 0 {
        e.calls.remove(&attempt.call);
        route.calls_in_flight -= 1;
        *calls_in_flight -= 1;
        newly_idle.push(attempt.endpoint);
    }
    Some(first)
}

/// Appends `now` and drops the times that are older than `span`.
pub(crate) fn push_recent(times: &mut VecDeque<Micros>, now: Micros, span: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|t| *t + span < now) {
        times.pop_front();
    }
}

/// This sender's own demand for a destination in messages a second: messages handed in within the last
/// `span`, counted as one at least.
pub(crate) fn demand_rate(
    destinations: &BTreeMap<DestinationId, Destination>, now: Micros, id: DestinationId, span: Micros,
) -> f64 {
    let recent =
        |d: &Destination| d.recent_demand.len() - d.recent_demand.partition_point(|t| *t + span < now);
    destinations.get(&id).map_or(0, recent).max(1) as f64 / span.secs()
}

/// A random number from 0 (included) to 1 (excluded).
pub(crate) fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
