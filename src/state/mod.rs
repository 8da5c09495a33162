//! Plain state and helpers of the module. No decision, no table and no tuned value: those are in `src/policy/`.

mod parts;
mod waiting;

pub(crate) use parts::*;
pub(crate) use waiting::*;

use crate::api::*;
use crate::shared::sharing::Beliefs;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// One sender: the whole state of one instance.
pub struct Sender {
    pub(crate) set: Settings,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) reserve: Reserve,
    pub(crate) destinations: BTreeMap<DestinationId, Destination>,
    pub(crate) routes: BTreeMap<RouteId, Route>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(crate) held: BTreeMap<MessageId, Held>,
    pub(crate) waiting: Waiting,
    pub(crate) lanes: BTreeMap<Key, KeyLane>,
    pub(crate) busy: usize,
    /// Virtual clock of each tenant's share: when its traffic so far would have been within it.
    pub(crate) shares: Vec<Micros>,
    /// Messages asked by tenant, those with a quota, since the process began.
    pub(crate) tenants_asked: Vec<u64>,
    /// What couriers share, and when the parts of limits are to be looked at again.
    pub(crate) beliefs: Option<Arc<Beliefs>>,
    pub(crate) heed_at: Option<Micros>,
    /// Endpoints whose last call out has come back in this round.
    pub(crate) quiet: Vec<EndpointId>,
    pub(crate) hope: f64, // how often a call after a refusal is taken
    /// How long idle connections are trusted, by kind of destination.
    pub(crate) keep: BTreeMap<KindId, Micros>,
    /// What a former life found out or cold, and what was handed in there, until it is listed.
    pub(crate) remembered: BTreeMap<EndpointId, (Outage, f64)>,
    /// Endpoints that were found out, or back, so far.
    pub(crate) outage_changes: u64,
    pub(crate) next_call: u64,
    pub(crate) alarm_at: Option<Micros>,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) ask_fails: u32,
    pub(crate) log_at: Micros,
}

impl Sender {
    /// A sender that knows nothing yet, with what its decisions start from.
    pub(crate) fn start(settings: Settings, seed: u64, reserve: Reserve, hope: f64) -> Sender {
        Sender {
            rng: Pcg64Mcg::seed_from_u64(seed),
            shares: vec![Micros(0); settings.tenants.len()],
            tenants_asked: vec![0; settings.tenants.len()],
            beliefs: None,
            heed_at: None,
            ask_at: (settings.discovery == DiscoveryMode::Subscribe).then_some(Micros(0)),
            set: settings,
            reserve,
            destinations: BTreeMap::new(),
            routes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            held: BTreeMap::new(),
            waiting: Waiting::default(),
            lanes: BTreeMap::new(),
            busy: 0,
            quiet: Vec::new(),
            hope,
            keep: BTreeMap::new(),
            remembered: BTreeMap::new(),
            outage_changes: 0,
            next_call: 0,
            alarm_at: None,
            ask_fails: 0,
            log_at: Micros(0),
        }
    }

    pub(crate) fn routes_of(&self, destination: DestinationId) -> impl Iterator<Item = &Route> {
        let from = self.routes.range((destination, None)..);
        from.take_while(move |(id, _)| id.0 == destination).map(|(_, route)| route)
    }

    /// The endpoints that share a route. Danger (a broken rule): an outage mostly takes all of them, and
    /// senders that had seen one fail pushed the destination over by the others; so one speaks for those not
    /// heard lately, out and back. Harms where one endpoint fails: the others wait for a trial too. Those
    /// of another rank are other machines, there to stand in.
    pub(crate) fn siblings(&self, id: EndpointId) -> Vec<EndpointId> {
        let Some(e) = self.endpoints.get(&id) else { return Vec::new() };
        let same = |s: &EndpointId| self.endpoints.get(s).is_some_and(|s| s.rank == e.rank);
        let route = self.routes.get(&e.route);
        route.map_or(Vec::new(), |r| r.endpoints.iter().copied().filter(same).collect())
    }

    /// Changes each of those endpoints, this one among them.
    pub(crate) fn each_sibling(&mut self, id: EndpointId, mut change: impl FnMut(EndpointId, &mut Endpoint)) {
        for sibling in self.siblings(id) {
            self.endpoints.get_mut(&sibling).into_iter().for_each(|e| change(sibling, e));
        }
    }

    /// Endpoints that are gone with no call out are forgotten, and routes without endpoints; told waits stay.
    pub(crate) fn forget_gone(&mut self, now: Micros) {
        let routes = &mut self.routes;
        self.endpoints.retain(|id, e| {
            let stays = e.listed != Listed::Gone || !e.calls.is_empty();
            if let (false, Some(route)) = (stays, routes.get_mut(&e.route)) {
                route.endpoints.remove(id);
            }
            stays
        });
        routes.retain(|_, r| !r.endpoints.is_empty() || r.wait_until.max(r.out_until) > now);
    }

    /// Key lanes beyond those in use go, so many spared.
    pub(crate) fn forget_lanes(&mut self, now: Micros, spared: usize) {
        if self.lanes.len() > self.held.len() + spared {
            self.lanes.retain(|_, lane| !lane.line.is_empty() || lane.rest_until > now);
        }
    }

    /// How long one that returned stays cold.
    pub(crate) fn cold(&self) -> Micros {
        self.set.rules.cold.unwrap_or_default()
    }

    /// Whether the endpoint drops the message if an earlier attempt has run: it shares its key's group.
    pub(crate) fn in_group(&self, held: &Held, id: EndpointId, e: &Endpoint) -> bool {
        let same_zone = |at| self.endpoints.get(&at).is_some_and(|a| a.zone == e.zone);
        match (held.risk, held.effect) {
            (Some((_, at)), Effect::Keyed { group: Group::Endpoint, .. }) => at == id,
            (Some((_, at)), Effect::Keyed { group: Group::Zone, .. }) => same_zone(at),
            _ => true,
        }
    }

    /// How many messages wait, by destination.
    pub(crate) fn waiting_by_destination(&self) -> BTreeMap<DestinationId, usize> {
        let mut waiting = BTreeMap::new();
        for h in self.held.values().filter(|h| h.waits()) {
            *waiting.entry(h.message.destination).or_default() += 1;
        }
        waiting
    }

    /// A message has had its end; it is kept until its attempt is back.
    pub(crate) fn close(&mut self, id: MessageId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        if held.out.is_some() {
            held.ended = true;
            return;
        }
        if let Some(lane) = held.message.key.and_then(|k| self.lanes.get_mut(&k)) {
            lane.line.retain(|m| *m != id);
        }
        self.waiting.forget(held);
        self.held.remove(&id);
    }

    /// Slots that are not taken.
    pub(crate) fn free(&self) -> usize {
        (self.set.limits.slots.unwrap_or(u32::MAX) as usize).saturating_sub(self.busy)
    }

    /// Until when a destination has told to wait, by all of its routes. For overviews; decides nothing.
    pub fn told_wait(&self, destination: DestinationId) -> Micros {
        self.routes_of(destination).map(|r| r.wait_until).min().unwrap_or_default()
    }

    pub(crate) fn log(&mut self, now: Micros, id: EndpointId, what: &str, actions: &mut Vec<Action>) {
        if let (true, Some(e)) = (self.log_at <= now, self.endpoints.get(&id)) {
            self.log_at = now + SECOND;
            actions.push(Action::Log(format!("destination {}: endpoint {id} {what}", e.route.0 .0)));
        }
    }

    /// A call of the process before holds a slot, and its endpoint, until its outcome comes.
    pub(crate) fn still_out(&mut self, id: MessageId, at: EndpointId, sent: Micros) {
        let Some(held) = self.held.get_mut(&id) else { return };
        self.waiting.forget(held);
        let call = self.next_call;
        self.next_call += 1;
        self.busy += 1;
        let endpoint = self.endpoints.entry(at).or_default();
        if let Health::Out { .. } = endpoint.health {
            endpoint.health = Health::HalfOpen;
        }
        endpoint.calls.insert(call, Call { sent, left: 1, heard: false });
        self.routes.entry(endpoint.route).or_default().out += 1;
        held.out = Some(Out { endpoint: at, call, sent, attempt: held.tries.saturating_sub(1) as u8 });
    }
}

/// A message of a call has its outcome; the call's slot is free once all have. Whether it is the first of them, and
/// `None` for a call that is not known.
pub(crate) fn call_over(
    e: &mut Endpoint, route: &mut Route, out: &Out, busy: &mut usize, quiet: &mut Vec<EndpointId>,
) -> Option<bool> {
    let call = e.calls.get_mut(&out.call)?;
    call.left -= 1;
    let first = !std::mem::replace(&mut call.heard, true);
    if call.left == 0 {
        e.calls.remove(&out.call);
        route.out -= 1;
        *busy -= 1;
        quiet.push(out.endpoint);
    }
    Some(first)
}

pub(crate) fn push_within(times: &mut VecDeque<Micros>, now: Micros, span: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|t| *t + span < now) {
        times.pop_front();
    }
}

/// A sender's own demand at a destination: messages handed in over the last `span`, one at least, by second.
pub(crate) fn own_rate(
    destinations: &BTreeMap<DestinationId, Destination>, now: Micros, id: DestinationId, span: Micros,
) -> f64 {
    let recent = |d: &Destination| d.asked.len() - d.asked.partition_point(|t| *t + span < now);
    destinations.get(&id).map_or(0, recent).max(1) as f64 / span.secs()
}

pub(crate) fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
