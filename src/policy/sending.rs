//! Which message goes now, to which endpoint, with which time-out.

use super::*;
use rand_core::RngCore;

/// Time-out: so many usual upper latencies, doubled with each time-out in a row: slow partners must get to
/// answer, lost calls must not hold slots.
const TIMEOUT_LATENCIES: f64 = 3.0;
const TIMEOUT_MIN: Micros = Micros(1_000_000);
/// And at most so many aims, and this share of a key's window: a repeat must still fit in. Danger: one that
/// went in time was worked on when its partner had forgotten the first.
const TIMEOUT_AIMS: f64 = 2.0;
const TIMEOUT_OF_WINDOW: f64 = 0.75;

impl Sender {
    /// Sends what may go, the most urgent first: what can still meet its aim, by aim; then what is late;
    /// then what is beyond its tenant's share. A repeat goes when a token pays for it.
    pub(super) fn dispatch(&mut self, now: Micros, few: bool, actions: &mut Vec<Action>) {
        let mut bundles: BTreeMap<EndpointId, (u64, u32)> = BTreeMap::new();
        self.waiting.wake(now, &self.held);
        let mut heads = self.waiting.heads();
        // Danger: with hundreds held for a destination that is out, each round would look there hundreds of
        // times; where one that may go to any endpoint finds none, no other will in this round.
        let mut closed = BTreeSet::new();
        while let Some((at, to)) = heads.next() {
            let Some(held) = self.held.get(&at.3).filter(|h| self.ready(now, h)) else {
                heads.go_on(&self.waiting, to, at);
                continue;
            };
            if held.urgency(now) != at {
                self.waiting.remove(to, &at);
                self.waiting.add(now, held);
                heads.go_on(&self.waiting, to, at);
                continue;
            }
            if !few && self.free() == 0 && bundles.is_empty() {
                return;
            }
            let from = self.rng.next_u64() as usize;
            let found = (!closed.contains(&to)).then(|| self.pick(now, held, from, &bundles)).flatten();
            if found.is_none() && held.risk.is_none() {
                closed.insert(to);
            }
            if few || !closed.contains(&to) {
                heads.go_on(&self.waiting, to, at);
            }
            let Some((endpoint, joins)) = found else { continue };
            let destination = self.destinations.entry(held.message.destination).or_default();
            let first = held.tries == 0;
            if first {
                destination.budget.deposit(now);
            }
            if first || destination.budget.withdraw(now, &mut self.reserve) {
                self.waiting.remove(to, &at);
                self.send(now, at.3, endpoint, joins, &mut bundles, actions);
            }
        }
    }

    /// In order, a key's first in line goes once the key has rested; its own further tries need no rest.
    fn ready(&self, now: Micros, held: &Held) -> bool {
        let first = |lane: &KeyLane| lane.line.front() == Some(&held.message.id);
        let in_turn = |lane: &KeyLane| first(lane) && (held.tries > 0 || lane.rest_until <= now);
        let lane = held.message.key.and_then(|k| self.lanes.get(&k));
        held.waits() && held.ready_at <= now && lane.is_none_or(in_turn)
    }

    /// The endpoint for a message now, and the bundle it joins; `None` holds it.
    /// Danger: the first calls of hundreds of senders all go to one endpoint; each starts at one of its own.
    fn pick(
        &self, now: Micros, held: &Held, from: usize, bundles: &BTreeMap<EndpointId, (u64, u32)>,
    ) -> Option<(EndpointId, Option<u64>)> {
        let free = self.free();
        let mut best: Option<((u16, bool, f64), EndpointId)> = None;
        let own = own_rate(&self.destinations, now, held.message.destination, DEPOSIT_LIFE);
        let routes: Vec<_> = self.routes_of(held.message.destination).collect();
        for n in 0..routes.len() {
            let route = routes[from.wrapping_add(n) % routes.len()];
            // Danger: one slow destination takes every slot. It may hold as many as it leaves free.
            let bulkhead = free > 0 && route.out < free;
            let open = bulkhead && route.wait_until <= now && route.pace.opens(now, held.aim_at) <= now;
            let skip = from % route.endpoints.len().max(1);
            let sparse = own * KEEP_IDLE.secs() < SPARSE * route.endpoints.len() as f64;
            for id in route.endpoints.iter().skip(skip).chain(route.endpoints.iter().take(skip)) {
                let drops = |e: &&Endpoint| e.listed == Listed::Ready && self.in_group(held, *id, e);
                let Some(e) = self.endpoints.get(id).filter(drops) else { continue };
                if let Some((call, _)) = bundles.get(id).filter(|b| b.1 < self.bundle_max(now, *id, e)) {
                    return Some((*id, Some(*call)));
                }
                // Danger: each repeat is spent on a trial of the endpoint that failed, none on its stand-in.
                let above = |s: &EndpointId| self.endpoints.get(s).is_some_and(|s| s.rank > e.rank);
                let spent = held.tries > 0 && matches!(e.health, Health::Out { .. });
                let rank = if spent && route.endpoints.iter().any(above) { u16::MAX } else { e.rank };
                let keep = self.keep.get(&e.kind).copied().unwrap_or(KEEP_IDLE);
                let shakes = sparse && (e.trouble > 0.0 || !e.calls.is_empty() || e.last_ok + keep < now);
                let cost = (rank, shakes, e.mean.unwrap_or(0.0) * (e.calls.len() + 1) as f64);
                let better = best.is_none_or(|b| cost < b.0);
                if open && better && self.usable(now, *id, e) && !e.stalled(now) {
                    best = Some((cost, *id));
                }
            }
        }
        best.map(|(_, id)| (id, None))
    }

    fn send(
        &mut self, now: Micros, id: MessageId, to: EndpointId, joins: Option<u64>,
        bundles: &mut BTreeMap<EndpointId, (u64, u32)>, actions: &mut Vec<Action>,
    ) {
        let cold = self.cold();
        let credit = self.endpoints.get(&to).map_or(0.0, |e| self.credit(now, to, e));
        let (Some(held), Some(e)) = (self.held.get_mut(&id), self.endpoints.get_mut(&to)) else { return };
        let Some(route) = self.routes.get_mut(&e.route) else { return };
        let (call, weight) = joins.map_or((self.next_call, 1.0), |call| (call, BUNDLE_ITEM));
        if joins.is_none() {
            self.next_call += 1;
            self.busy += 1;
            route.out += 1;
            route.pace.call(now, route.pace.next_at);
            bundles.insert(to, (call, 0));
        }
        e.calls.entry(call).or_insert(Call { sent: now, left: 0, heard: false }).left += 1;
        bundles.entry(to).and_modify(|b| b.1 += 1);
        let trial = matches!(e.health, Health::Out { .. });
        match e.health {
            Health::Out { .. } => (e.health, e.tried_at) = (Health::HalfOpen, now),
            Health::Ramp { since } if e.is_warm(now, since, cold) => e.health = Health::Up,
            Health::Ramp { .. } => e.credit = (now, credit - weight),
            Health::Up | Health::HalfOpen => {}
        }
        let usual = e.upper().map_or(held.aim, |u| Micros::from_secs(u * TIMEOUT_LATENCIES));
        let doubled = usual.max(TIMEOUT_MIN).scale(f64::from(1 << e.timeouts.min(10)));
        // Danger: what can't be repeated gains nothing from being given up early; its answer is waited for.
        let patience = if held.effect == Effect::Unsafe { held.message.due } else { doubled };
        let mut timeout = patience.min(held.aim.scale(TIMEOUT_AIMS)).min(held.message.due - now);
        if let Effect::Keyed { window, .. } = held.effect {
            timeout = timeout.min(window.scale(TIMEOUT_OF_WINDOW));
        }
        held.out = Some(Out { endpoint: to, call, sent: now, attempt: held.tries as u8 });
        held.tries += 1;
        actions.push(Action::Try { id, endpoint: to, timeout });
        if trial {
            self.rest_trials(now, to);
        }
    }

    /// Danger: while a connection comes up, its endpoint may start to drain, its destination may tell a wait,
    /// or forget an earlier call. Asked just before a first byte; says whether the call may still begin.
    pub fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&id).filter(|e| e.listed == Listed::Ready) else { return false };
        let in_time = self.held.get(&message).is_none_or(|held| now < self.last_send(held));
        in_time && self.routes.get(&e.route).is_none_or(|r| r.wait_until <= now)
    }
}
