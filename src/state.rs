//! Plain state and helpers of the module. No decision, no table and no tuned value: those are in `choice.rs`.

use crate::api::*;
use crate::carry::Carried;
use crate::choice::{DEPOSIT_LIFE, HOPE_START, RESERVE_PER_S, SECOND, UPPER_DEVIATIONS};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::ops::Bound;

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
    }

    /// Whether it has delivered in the last `span`.
    pub(crate) fn served_within(&self, now: Micros, span: Micros) -> bool {
        self.last_ok > Micros(0) && self.last_ok + span > now
    }

    /// Latency that few answers exceed, in seconds.
    pub(crate) fn upper(&self) -> Option<f64> {
        self.mean.map(|m| m + UPPER_DEVIATIONS * self.deviation)
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

pub(crate) fn push_within(times: &mut VecDeque<Micros>, now: Micros, span: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|t| *t + span < now) {
        times.pop_front();
    }
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
    /// When messages were handed in, over the last ten seconds.
    pub(crate) asked: VecDeque<Micros>,
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

impl Held {
    pub(crate) fn waits(&self) -> bool {
        self.out.is_none()
    }

    /// It may be handed back: no attempt may have run, or running twice does no harm.
    pub(crate) fn harmless(&self) -> bool {
        self.waits() && (self.risk.is_none() || self.effect == Effect::Safe)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a bucket that grows for as long as nothing is repeated.
    #[test]
    fn deposits_that_have_expired_are_dropped() {
        let mut budget = RetryBudget::default();
        (0..10_000).for_each(|n| budget.deposit(Micros(n * 100_000)));
        assert!(
            budget.deposits.len() <= 101,
            "{}: a tenth of a second apart, ten seconds long",
            budget.deposits.len()
        );
    }
}

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
    /// Endpoints whose last call out has come back in this round.
    pub(crate) quiet: Vec<EndpointId>,
    pub(crate) hope: f64, // how often a call after a refusal is taken
    /// How long idle connections are trusted, by kind of destination.
    pub(crate) keep: BTreeMap<KindId, Micros>,
    pub(crate) next_call: u64,
    pub(crate) alarm_at: Option<Micros>,
    pub(crate) ask_at: Option<Micros>,
    pub(crate) ask_fails: u32,
    pub(crate) log_at: Micros,
}

impl Sender {
    /// A sender that knows nothing yet. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Sender {
        Sender {
            rng: Pcg64Mcg::seed_from_u64(seed),
            shares: vec![Micros(0); settings.tenants.len()],
            ask_at: (settings.discovery == DiscoveryMode::Subscribe).then_some(Micros(0)),
            set: settings,
            reserve: Reserve { tokens: RESERVE_PER_S * DEPOSIT_LIFE.secs(), at: Micros(0) },
            destinations: BTreeMap::new(),
            routes: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            held: BTreeMap::new(),
            waiting: Waiting::default(),
            lanes: BTreeMap::new(),
            busy: 0,
            quiet: Vec::new(),
            hope: HOPE_START,
            keep: BTreeMap::new(),
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
}

impl Held {
    pub(crate) fn urgency(&self, now: Micros) -> Urgency {
        (self.over_share, self.aim_at <= now, self.aim_at, self.message.id)
    }
}

/// In what order messages go: beyond a share last, the late after the rest, then by aim and age.
pub(crate) type Urgency = (bool, bool, Micros, MessageId);

/// Messages that wait to be sent: those that may go, by destination and in order, and those that may not yet. The lines
/// keep their order as time passes but for what gets late meanwhile; whoever takes from one looks.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    lines: BTreeMap<DestinationId, BTreeSet<Urgency>>,
    later: BTreeSet<(Micros, MessageId)>,
    /// When to look whether a message is over, each message once; it may turn out to be later by then, never sooner.
    ends: BTreeSet<(Micros, MessageId)>,
    /// Messages of which that moment may have changed.
    fresh: Vec<MessageId>,
}

impl Waiting {
    pub(crate) fn of<'a>(now: Micros, all: impl Iterator<Item = &'a Held>) -> Waiting {
        let mut waiting = Waiting::default();
        for held in all {
            if held.waits() {
                waiting.add(now, held);
            } else {
                waiting.fresh.push(held.message.id);
            }
        }
        waiting
    }

    pub(crate) fn add(&mut self, now: Micros, held: &Held) {
        self.fresh.push(held.message.id);
        if held.ready_at <= now {
            self.lines.entry(held.message.destination).or_default().insert(held.urgency(now));
        } else {
            self.later.insert((held.ready_at, held.message.id));
        }
    }

    /// Those whose time has come go to their lines.
    pub(crate) fn wake(&mut self, now: Micros, held: &BTreeMap<MessageId, Held>) {
        while let Some((_, id)) = self.later.first().copied().filter(|(at, _)| *at <= now) {
            self.later.pop_first();
            held.get(&id).into_iter().filter(|h| h.waits()).for_each(|h| self.add(now, h));
        }
    }

    pub(crate) fn remove(&mut self, to: DestinationId, at: &Urgency) {
        if let Some(line) = self.lines.get_mut(&to) {
            line.remove(at);
            if line.is_empty() {
                self.lines.remove(&to);
            }
        }
    }

    /// Its end is at this moment, unless something happens to it before.
    pub(crate) fn ends(&mut self, held: &mut Held, at: Option<Micros>) {
        self.ends.remove(&(held.end_at, held.message.id));
        if let Some(at) = at {
            held.end_at = at;
            self.ends.insert((at, held.message.id));
        }
    }

    /// Those that may be over, or whose end has to be looked up; each is over or goes to [`Waiting::ends`].
    pub(crate) fn look_at(&mut self, now: Micros) -> Vec<MessageId> {
        let mut ids = std::mem::take(&mut self.fresh);
        while self.ends.first().is_some_and(|(at, _)| *at <= now) {
            ids.extend(self.ends.pop_first().map(|(_, id)| id));
        }
        ids
    }

    /// It waits no more.
    pub(crate) fn forget(&mut self, held: &Held) {
        for late in [false, true] {
            let at = (held.over_share, late, held.aim_at, held.message.id);
            self.remove(held.message.destination, &at);
        }
        self.later.remove(&(held.ready_at, held.message.id));
        self.ends.remove(&(held.end_at, held.message.id));
    }

    /// The most urgent first, over all destinations.
    pub(crate) fn heads(&self) -> Heads {
        let head = |(to, line): (&DestinationId, &BTreeSet<Urgency>)| Some(Reverse((*line.first()?, *to)));
        Heads(self.lines.iter().filter_map(head).collect())
    }
}

/// A place in each line.
pub(crate) struct Heads(BinaryHeap<Reverse<(Urgency, DestinationId)>>);

impl Heads {
    /// The next message; its destination's line moves on once [`Heads::go_on`] says so.
    pub(crate) fn next(&mut self) -> Option<(Urgency, DestinationId)> {
        self.0.pop().map(|Reverse(next)| next)
    }

    /// Who stands behind this one may come too.
    pub(crate) fn go_on(&mut self, waiting: &Waiting, to: DestinationId, at: Urgency) {
        let line = waiting.lines.get(&to);
        let next = line.and_then(|line| line.range((Bound::Excluded(at), Bound::Unbounded)).next());
        self.0.extend(next.map(|urgency| Reverse((*urgency, to))));
    }
}

impl Decide for Sender {
    fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        Sender::handle(self, now, events, actions);
    }

    fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool {
        Sender::may_begin(self, now, message, id)
    }

    fn told_wait(&self, destination: DestinationId) -> Micros {
        Sender::told_wait(self, destination)
    }

    fn told_before(&mut self, destination: DestinationId, until: Micros) {
        Sender::told_before(self, destination, until);
    }

    fn first_pace(&mut self, destination: DestinationId, per_s: f64) {
        Sender::first_pace(self, destination, per_s);
    }

    fn demand(&self, now: Micros) -> Vec<(DestinationId, f64)> {
        Sender::demand(self, now)
    }

    fn avoids(&self, id: EndpointId) -> bool {
        let out = |e: &Endpoint| matches!(e.health, Health::Out { .. } | Health::HalfOpen);
        self.endpoints.get(&id).is_some_and(out)
    }

    fn carry(&self) -> Carried {
        Sender::carry(self)
    }

    fn go_on_with(&mut self, carried: Carried) {
        Sender::go_on_with(self, carried);
    }
}
