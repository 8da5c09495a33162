//! Which message is sent now, to which endpoint, and with which time-out.

use super::*;
use rand_core::RngCore;

/// The time-out of a call is this many upper latencies, and doubles with each time-out in a row: slow
/// partners must get time to answer, while lost calls must not hold slots.
const TIMEOUT_UPPER_LATENCIES: f64 = 3.0;
const MIN_TIMEOUT: Micros = Micros(1_000_000);
/// The time-out is at most this many aims of the message ...
const MAX_TIMEOUT_AIMS: f64 = 2.0;
/// ... and at most this fraction of its key's window, so that a repeat still fits into the window. With a
/// longer time-out, a repeat that was sent in time was processed after its partner had forgotten the first
/// attempt.
const MAX_TIMEOUT_FRACTION_OF_WINDOW: f64 = 0.75;

/// A call that was begun in this round, and the number of messages that it carries so far.
struct OpenBundle {
    call: u64,
    messages: u32,
}

/// The calls begun in this round that further messages may join, by endpoint.
type OpenBundles = BTreeMap<EndpointId, OpenBundle>;

impl Sender {
    /// Sends the messages that may be sent, the most urgent first: messages that can still meet their aim in
    /// order of it, then overdue ones, then those beyond their tenant's share. A repeat is sent only when the
    /// retry budget pays for it.
    pub(super) fn dispatch(&mut self, now: Micros, scan_all: bool, actions: &mut Vec<Action>) {
        let mut bundles = OpenBundles::new();
        self.send_queue.release_delayed(now, &self.messages);
        let mut heads = self.send_queue.heads();
        // Destinations where a message that may go to any endpoint found none: no other message will find one
        // in this round. Without this, each round would search hundreds of times for a destination that is
        // out.
        let mut closed = BTreeSet::new();
        while let Some((entry, to)) = heads.next() {
            let Some(held) = self.messages.get(&entry.id).filter(|h| self.is_ready(now, h)) else {
                heads.advance(&self.send_queue, to, entry);
                continue;
            };
            if held.urgency(now) != entry {
                self.send_queue.remove(to, &entry);
                self.send_queue.add(now, held);
                heads.advance(&self.send_queue, to, entry);
                continue;
            }
            if !scan_all && self.free_slots() == 0 && bundles.is_empty() {
                return;
            }
            let offset = self.rng.next_u64() as usize;
            let search = !closed.contains(&to);
            let found = search.then(|| self.choose_endpoint(now, held, offset, &bundles)).flatten();
            if found.is_none() && held.may_have_run.is_none() {
                closed.insert(to);
            }
            if scan_all || !closed.contains(&to) {
                heads.advance(&self.send_queue, to, entry);
            }
            let Some((endpoint, joins)) = found else { continue };
            let destination = self.destinations.entry(held.message.destination).or_default();
            let first = held.attempts == 0;
            if first {
                destination.retry_budget.deposit(now);
            }
            if first || destination.retry_budget.withdraw(now, &mut self.retry_reserve) {
                self.send_queue.remove(to, &entry);
                self.send(now, entry.id, endpoint, joins, &mut bundles, actions);
            }
        }
    }

    /// Whether a message may be sent now. With ordered keys only the first message in a key's queue may, once
    /// the quiet time is over; its own repeats need no quiet time.
    fn is_ready(&self, now: Micros, held: &HeldMessage) -> bool {
        let first = |queue: &KeyQueue| queue.messages.front() == Some(&held.message.id);
        let in_turn = |queue: &KeyQueue| first(queue) && (held.attempts > 0 || queue.quiet_until <= now);
        let queue = held.message.key.and_then(|k| self.key_queues.get(&k));
        held.is_waiting() && held.ready_at <= now && queue.is_none_or(in_turn)
    }

    /// The endpoint that a message may be sent to now, and the call whose bundle it joins; `None`: the
    /// message is held. The search starts at a random `offset`, as the first calls of hundreds of senders
    /// would otherwise all go to one endpoint.
    fn choose_endpoint(
        &self, now: Micros, held: &HeldMessage, offset: usize, bundles: &OpenBundles,
    ) -> Option<(EndpointId, Option<u64>)> {
        let free_slots = self.free_slots();
        let mut best: Option<((u16, bool, f64), EndpointId)> = None;
        let demand = demand_rate(&self.destinations, now, held.message.destination, DEMAND_WINDOW);
        let routes: Vec<_> = self.routes_of(held.message.destination).collect();
        for n in 0..routes.len() {
            let route = routes[offset.wrapping_add(n) % routes.len()];
            // A route may hold at most as many slots as it leaves free; otherwise one slow destination would
            // take every slot.
            let has_slot = free_slots > 0 && route.calls_in_flight < free_slots;
            let rate_allows = route.send_rate.opens_at(now, held.aim_at) <= now;
            let open = has_slot && route.wait_until <= now && rate_allows;
            let skip = offset % route.endpoints.len().max(1);
            let max_sparse = SPARSE_CALLS_PER_ENDPOINT * route.endpoints.len() as f64;
            let sparse = demand * MAX_IDLE_TIMEOUT.secs() < max_sparse;
            for id in route.endpoints.iter().skip(skip).chain(route.endpoints.iter().take(skip)) {
                let permitted =
                    |e: &&Endpoint| e.listed == ListingState::Ready && self.deduplicates_repeat(held, *id, e);
                let Some(e) = self.endpoints.get(id).filter(permitted) else { continue };
                let open_bundle = bundles.get(id);
                if let Some(b) = open_bundle.filter(|b| b.messages < self.bundle_limit(now, *id, e)) {
                    return Some((*id, Some(b.call)));
                }
                // Repeats are not used as trials where a stand-in of a higher rank exists: each repeat would
                // be spent on the endpoint that failed, and none would reach the stand-in.
                let ranks_higher = |s: &EndpointId| self.endpoints.get(s).is_some_and(|s| s.rank > e.rank);
                let trial_by_repeat = held.attempts > 0 && matches!(e.health, Health::Ejected { .. });
                let has_stand_in = trial_by_repeat && route.endpoints.iter().any(ranks_higher);
                let rank = if has_stand_in { u16::MAX } else { e.rank };
                let timeout = self.idle_timeouts.get(&e.kind).copied().unwrap_or(MAX_IDLE_TIMEOUT);
                let needs_connection =
                    sparse && (e.failure_average > 0.0 || !e.calls.is_empty() || e.last_ok + timeout < now);
                let load = e.latency_mean.unwrap_or(0.0) * (e.calls.len() + 1) as f64;
                let cost = (rank, needs_connection, load);
                let better = best.is_none_or(|b| cost < b.0);
                if open && better && self.is_usable(now, *id, e) && !e.is_stalled(now) {
                    best = Some((cost, *id));
                }
            }
        }
        best.map(|(_, id)| (id, None))
    }

    /// Sends a message in a new call, or in the call that it joins.
    fn send(
        &mut self, now: Micros, id: MessageId, to: EndpointId, joins: Option<u64>, bundles: &mut OpenBundles,
        actions: &mut Vec<Action>,
    ) {
        let slow_start = self.slow_start_duration();
        let credit = self.endpoints.get(&to).map_or(0.0, |e| self.current_credit(now, to, e));
        let (Some(held), Some(e)) = (self.messages.get_mut(&id), self.endpoints.get_mut(&to)) else { return };
        let Some(route) = self.routes.get_mut(&e.route) else { return };
        let (call, weight) = joins.map_or((self.next_call_id, 1.0), |call| (call, BUNDLED_MESSAGE_WEIGHT));
        if joins.is_none() {
            self.next_call_id += 1;
            self.calls_in_flight += 1;
            route.calls_in_flight += 1;
            route.send_rate.record_call(now, route.send_rate.next_call_at);
            bundles.insert(to, OpenBundle { call, messages: 0 });
        }
        let new_call = || Call { sent_at: now, pending_outcomes: 0, has_outcome: false };
        e.calls.entry(call).or_insert_with(new_call).pending_outcomes += 1;
        bundles.entry(to).and_modify(|b| b.messages += 1);
        let is_trial = matches!(e.health, Health::Ejected { .. });
        match e.health {
            Health::Ejected { .. } => (e.health, e.last_trial_at) = (Health::HalfOpen, now),
            Health::SlowStart { since } if e.is_warm(now, since, slow_start) => e.health = Health::Healthy,
            Health::SlowStart { .. } => e.credit = (now, credit - weight),
            Health::Healthy | Health::HalfOpen => {}
        }
        let timeout = call_timeout(now, held, e);
        let number = held.attempts as u8;
        held.in_flight = Some(Attempt { endpoint: to, zone: e.zone, call, sent_at: now, number });
        held.attempts += 1;
        actions.push(Action::Try { id, endpoint: to, timeout });
        if is_trial {
            self.postpone_trials(now, to);
        }
    }

    /// Whether a call may still begin; asked just before its first byte. While a connection is being opened
    /// its endpoint may start to drain or change its zone, and its destination may tell the sender to wait or
    /// forget an earlier call.
    pub fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&id).filter(|e| e.listed == ListingState::Ready) else {
            return false;
        };
        let permitted = |held: &HeldMessage| {
            let zone_unchanged = held.in_flight.as_ref().is_none_or(|attempt| attempt.zone == e.zone);
            now < self.latest_send_time(held) && (zone_unchanged || !held.effect.is_keyed_by_zone())
        };
        self.messages.get(&message).is_none_or(permitted)
            && self.routes.get(&e.route).is_none_or(|r| r.wait_until <= now)
    }
}

/// The time-out of an attempt that is sent now.
fn call_timeout(now: Micros, held: &HeldMessage, e: &Endpoint) -> Micros {
    let upper = e.upper_latency();
    let usual = upper.map_or(held.aim, |u| Micros::from_secs(u * TIMEOUT_UPPER_LATENCIES));
    let doubled = usual.max(MIN_TIMEOUT).scale(f64::from(1 << e.consecutive_timeouts.min(10)));
    // Giving up early gains nothing for a message that can't be repeated, so its answer is waited for. The
    // client of a report would read each repeat of it.
    let waits = held.effect == Effect::Unsafe || held.is_report();
    let patience = if waits { held.message.due } else { doubled };
    let timeout = patience.min(held.aim.scale(MAX_TIMEOUT_AIMS)).min(held.message.due - now);
    match held.effect {
        Effect::Keyed { window, .. } => timeout.min(window.scale(MAX_TIMEOUT_FRACTION_OF_WINDOW)),
        _ => timeout,
    }
}
