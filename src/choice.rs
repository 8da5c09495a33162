//! All decisions of indigohold. The interface (settings, events, actions, ids, outcomes) is in `src/api.rs`.
//!
//! Plain state, without a decision, is in `src/state.rs`. Reading order: tuned values; the design
//! (`RetryBudget`, `backoff`, `Pace`); the guards around it (`Endpoint`); then `Sender`: what it learns from
//! events, how it answers, and what it sends at the end of a round.

use crate::api::*;
use crate::state::*;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

// ---- Tuned values ----

pub(crate) const SECOND: Micros = Micros(1_000_000);
/// A first try deposits this many thousandths of a token: repeats stay near ten per cent (design).
const DEPOSIT: u64 = 100;
const TOKEN: u64 = 1000; // a repeat withdraws a whole one
/// Deposits expire after the paper's ten seconds; a sender's own demand is counted over the same span.
pub(crate) const DEPOSIT_LIFE: Micros = Micros(10_000_000);
/// Repeats a second (design), saved up for as long as a deposit lives.
pub(crate) const RESERVE_PER_S: f64 = 1.0;
/// First bound of the backoff in aims; it doubles from try to try. Danger: half a second, the design's value,
/// goes back to a saturated destination before it has drained, and each such repeat costs a token.
const BACKOFF_AIMS: f64 = 1.0;
const BACKOFF_OF_LEFT: f64 = 0.25; // of the time left, at most (design)
/// Each call taken adds so many calls a second (design). Danger: queues grow meanwhile; a second that takes
/// calls adds this share of the own demand for each since the cut, less the more was lately refused.
const PACE_CREEP: f64 = 0.1;
const PACE_BACK: f64 = 0.5;
const PACE_BACK_MOST: Micros = Micros(4_000_000);
const REFUSED_MOST: f64 = 0.15; // share of calls refused from which nothing is added
const REFUSED_GAIN: f64 = 0.05;
/// Of a known limit; so many even parts at most (danger: half of it for each of a hundred), one at least.
const PACE_START: f64 = 0.5;
const PACE_START_PARTS: f64 = 5.0;
/// Told what is left of the limit, the pace changes by this share a second for a whole limit above or below
/// what is to be left, for so long at most; it is so many times the even part or the own demand at most.
const PACE_STEER: f64 = 0.25;
const PACE_LEFT: f64 = 0.4;
const PACE_STEER_MOST: Micros = Micros(5_000_000);
const PACE_SPARE: f64 = 4.0;
const PACE_EVEN: f64 = 0.8;
const LIMIT_GAIN: f64 = 0.2;
const LIMIT_NEWS: f64 = 0.25; // limits are noisy; more than this is news
/// Gaps of pause after a refusal, and jitter: danger, all refused in one instant come again in one instant.
const PAUSE: f64 = 0.5;
const PAUSE_JITTER: f64 = 2.0;
/// The slowest pace: this share of the even part, or so many calls a second, less with refusals in a row,
/// but never under the last share of the sender's own demand.
const PACE_FLOOR_SHARE: f64 = 0.5;
const PACE_FLOOR: f64 = 0.5;
const PACE_SUNK: f64 = 0.1;
/// A refusal leaves of the pace the odds, learned with this gain and kept within these bounds, that a call
/// after a refusal is taken.
const HOPE_GAIN: f64 = 0.2;
pub(crate) const HOPE_START: f64 = 0.5;
const HOPE_MIN: f64 = 0.03;
const HOPE_MAX: f64 = 0.75;
/// Weight of the newest outcome in an endpoint's failure average, and where the endpoint is taken out:
/// two failures in a row do, one in ten does not.
const TROUBLE_GAIN: f64 = 0.3;
/// A time-out or a break says less: a bad network makes two in a row often, four seldom.
const TROUBLE_GAIN_LOST: f64 = 0.2;
const TROUBLE_OUT: f64 = 0.5;
/// Danger: lines break by chance, and a call lost that way took an endpoint out, cold for long, that had just
/// served others. One that served so lately is not out by one lost call; one out for less was not out at all.
const LATELY: Micros = Micros(1_000_000);
const BLIP: Micros = Micros(3_000_000);
/// Danger: a destination that refuses so often in a row, though its report says that so much of its limit is
/// left, is shut; many senders with a message each would push it over when it opens. It is an outage.
const SHUT_LEFT: f32 = 0.9;
const SHUT_RUN: i32 = 2;
const SHUT_SOME: f32 = 0.25;
/// So long a silence is shut too with some of the limit left, or with none where no limit is listed and no
/// wait ever told. Danger (broken rules): a hung one refuses with its queue full; where refused calls use the
/// limit up it looks busy. Not where senders may probe: their probes use a busy one's limit up.
const SHUT_LONG: Micros = Micros(5_000_000);
const REST_SHARE: f64 = 0.35;
const SHUT_SILENT: Micros = Micros(2_000_000);
const COLD_SAFETY: f64 = 0.7; // share that the senders together take of what a cold destination bears
const BUNDLE_ITEM: f64 = 0.25; // weight of each further message of a bundle, in calls
/// Bounds of the pause between trials of an endpoint that is out, and its jitter. The upper one is for each
/// sender there is: danger, eleven senders that each try every 1.5 s push a small destination over.
const TRIAL_MIN: Micros = Micros(500_000);
const TRIAL_MAX: Micros = Micros(750_000);
const TRIAL_JITTER: f64 = 0.25;
/// A return found by a trial was half-way back to the last failure in the mean. Counted from the trial,
/// senders with few messages are the slower the later they find out.
const RETURN_SINCE: f64 = 0.5;
const OUT_MEMORY: Micros = Micros(20_000_000); // so long after an outage, endpoints that join are cold
const NOTE_APART: Micros = Micros(5_000_000); // between notes about one endpoint
/// Gain of the latency averages; deviations above the mean that few answers exceed.
const LATENCY_GAIN: f64 = 0.2;
pub(crate) const UPPER_DEVIATIONS: f64 = 4.0;
/// Time-out: so many usual upper latencies, doubled with each time-out in a row: slow partners must get to
/// answer, lost calls must not hold slots.
const TIMEOUT_LATENCIES: f64 = 3.0;
const TIMEOUT_MIN: Micros = Micros(1_000_000);
/// And at most so many aims, and this share of a key's window: a repeat must still fit in, with so many usual
/// upper latencies. Danger: one that went in time was worked on when its partner had forgotten the first.
const TIMEOUT_AIMS: f64 = 2.0;
const TIMEOUT_OF_WINDOW: f64 = 0.75;
const REPEAT_WORK: f64 = 2.0;
/// An endpoint with a call out for so many times its upper latency, and nothing heard since, has stalled.
const STALL_LATENCIES: f64 = 2.0;
const STALL_MIN: Micros = Micros(1_000_000);
/// An idle connection is trusted for so long at most; of a pause after which a call broke, for this share;
/// each call that finds it in order adds a fiftieth. Danger: idle connections fill the tables of endpoints
/// that take few, and who holds one never sees it; a failed connect halves the time for its whole kind.
const KEEP_IDLE: Micros = Micros(5_000_000);
const KEEP_LEAST: Micros = Micros(500_000);
const KEEP_CUT: f64 = 0.5;
const KEEP_GROW: f64 = 1.02;
const SPARSE: f64 = 2.0; // with fewer calls than this in that time, who has a connection is first
const ROOM_SPARE: f64 = 0.05; // shed when less of the room is free
const SHARE_BURST_S: f64 = 3.0; // a tenant may be so many seconds ahead of its share
/// Rounds before the due time in which nothing is sent; share of the answer slack used; when to look again.
const LAST_ROUNDS: f64 = 2.0;
const SLACK_USED: f64 = 0.5;
const POLL: Micros = Micros(50_000);
/// Pause before asking for the list again; doubles, jittered, up to this share of the longest allowed.
/// Danger: a fleet that starts, or whose watches break, asks in one instant; discovery, behind with its
/// queue, answers nobody in time, and all ask again. So the asks of all come so far apart, also the first.
const ASK_AGAIN: Micros = Micros(500_000);
const ASK_OF_ALLOWED: f64 = 0.25;
const ASK_APART: Micros = Micros(50_000);
/// With fewer held, each is looked at in a round; with more (danger: it takes the processor), the due alone.
const LOOK_FEW: usize = 256;
const LANES_SPARE: usize = 64; // key lanes kept beyond those in use

const ALARM: TimerToken = TimerToken(0);

// ---- The design ----

impl RetryBudget {
    pub(crate) fn deposit(&mut self, now: Micros) {
        // Danger: where nothing is repeated, nothing else drops what has expired.
        while self.deposits.front().is_some_and(|d| d.0 <= now) {
            self.deposits.pop_front();
        }
        self.deposits.push_back((now + DEPOSIT_LIFE, DEPOSIT));
    }

    /// A repeat takes its token from the deposits, the oldest first, and what they lack from the reserve.
    /// Danger: a destination with little traffic never saves up a whole token before its deposits expire.
    fn withdraw(&mut self, now: Micros, reserve: &mut Reserve) -> bool {
        self.deposits.retain(|d| d.0 > now);
        let mut due = TOKEN.saturating_sub(self.deposits.iter().map(|d| d.1).sum());
        if !reserve.withdraw(now, due) {
            return false;
        }
        due = TOKEN - due;
        for deposit in &mut self.deposits {
            let part = deposit.1.min(due);
            deposit.1 -= part;
            due -= part;
        }
        true
    }
}

impl Reserve {
    fn withdraw(&mut self, now: Micros, due: u64) -> bool {
        let (most, due) = (RESERVE_PER_S * DEPOSIT_LIFE.secs(), due as f64 / TOKEN as f64);
        self.tokens = (self.tokens + (now - self.at).secs() * RESERVE_PER_S).min(most);
        self.at = now;
        let pays = self.tokens >= due;
        self.tokens -= if pays { due } else { 0.0 };
        pays
    }
}

/// Full jitter: a random draw under a bound that doubles from try to try, capped by the time left.
fn backoff(rng: &mut Pcg64Mcg, aim: Micros, tries: u32, left: Micros) -> Micros {
    let bound = aim.scale(BACKOFF_AIMS).scale(2f64.powi(tries.saturating_sub(1).min(16) as i32));
    bound.min(left.scale(BACKOFF_OF_LEFT)).scale(uniform(rng))
}

/// Pace of one route in calls a second: unbounded until refused or until a limit is known.
impl Pace {
    /// The pace moves with the limit. Danger: a hundred that each learn of a lowered limit by refusals send
    /// more than it for seconds, and where refused calls use it up nothing is taken meanwhile.
    fn told_limit(&mut self, limit: f64, senders: u32, usual: f64) {
        let before = self.limit.unwrap_or(limit);
        let news = (limit / before - 1.0).abs() > LIMIT_NEWS;
        let limit = if news { limit } else { before + LIMIT_GAIN * (limit - before) };
        self.limit = Some(limit);
        self.share = limit / f64::from(senders.max(1));
        let parts = (self.share * PACE_START_PARTS).max(PACE_FLOOR);
        let start = (limit * PACE_START).min(parts).max(self.share);
        let most = if news && limit < before { usual.max(self.share) } else { f64::MAX };
        self.rate = Some(self.rate.map_or(start, |r| r.min(most) * limit / before).min(limit));
    }

    /// What is left is news of all senders, told to each.
    fn told_left(&mut self, now: Micros, left: f64, usual: f64) {
        let span = (now - self.told_at).min(PACE_STEER_MOST).secs();
        self.told_at = now;
        let factor = (PACE_STEER * (left.clamp(0.0, 1.0) - PACE_LEFT) * span).exp();
        let most = self.share.max(usual) * PACE_SPARE;
        let least = if factor > 1.0 { self.share * PACE_EVEN } else { 0.0 }; // even parts add up to the limit
        self.rate = self.rate.map(|r| (r * factor).min(most).max(least));
    }

    /// From when on a call may go. Danger: where each of many senders has a call in seconds, a message may be
    /// late by waiting for the next one; it goes ahead of its turn, by one call at most.
    fn opens(&self, now: Micros, aim_at: Micros) -> Micros {
        let hurries = self.run == 0 && aim_at > now && aim_at < self.next_at;
        let ahead = self.rate.filter(|_| hurries).map_or(Micros(0), |r| Micros::from_secs(1.0 / r));
        self.next_at - ahead
    }

    fn call(&mut self, now: Micros) {
        push_within(&mut self.sent, now, SECOND);
        if let Some(rate) = self.rate {
            self.next_at = self.next_at.max(now) + Micros::from_secs(1.0 / rate);
        }
    }

    /// The cut starts from what was really sent in the last second. Refusals of calls sent before the last
    /// cut belong to the same congestion and cut no further. Danger: where refused calls use the limit up, a
    /// destination sent more than its limit takes nothing at all for good; so the floor sinks with each
    /// refusal in a row, and where calls after refusals are seldom taken (`hope`) the cuts are deep.
    fn refused(&mut self, now: Micros, sent: Micros, hope: f64, usual: f64, opens: Micros, pause: f64) {
        self.refused += REFUSED_GAIN * (1.0 - self.refused);
        if self.rate.is_some() && sent < self.cut_at {
            return;
        }
        let lately = self.sent.len().max(1) as f64;
        let before = self.rate.map_or(lately, |r| r.min(lately));
        self.run += 1;
        let sunk = (PACE_FLOOR * hope.powi(self.run)).max((usual * PACE_SUNK).min(PACE_FLOOR));
        let floor = sunk.max(self.share * PACE_FLOOR_SHARE);
        let rate = (before * hope).max(floor);
        self.rate = Some(rate);
        self.cut_at = now;
        self.next_at = self.next_at.max(opens + Micros::from_secs(pause / rate));
    }

    /// A call taken brings a pace sunk by a run of refusals back to the sender's own usual demand.
    fn taken(&mut self, now: Micros, last: Micros, usual: f64) {
        self.run = 0;
        self.refused *= 1.0 - REFUSED_GAIN;
        let (since, span) = ((now - self.cut_at).min(PACE_BACK_MOST), now - last.max(self.cut_at));
        let room = (1.0 - self.refused / REFUSED_MOST).max(0.0);
        let back = usual * PACE_BACK * since.secs() * span.min(SECOND).secs() * room;
        let least = if self.share > 0.0 { self.share * PACE_FLOOR_SHARE } else { PACE_FLOOR };
        let creep = if self.told_at > Micros(0) { 0.0 } else { back.max(PACE_CREEP) };
        let crept = |r: f64| r.max(usual.min(least)) + creep;
        self.rate = self.rate.map(|r| crept(r).min(self.limit.unwrap_or(f64::MAX)));
    }
}

// ---- The guards ----

impl Endpoint {
    fn answered(&mut self, latency: Micros) {
        self.timeouts = 0;
        let x = latency.secs();
        match self.mean {
            None => (self.mean, self.deviation) = (Some(x), x / 2.0),
            Some(m) => {
                self.deviation += LATENCY_GAIN * ((x - m).abs() - self.deviation);
                self.mean = Some(m + LATENCY_GAIN * (x - m));
            }
        }
    }

    /// Danger: a hanging endpoint costs no tokens, it only swallows slots and messages. Once a call is out
    /// far too long with nothing heard since, one further call at a time goes there. Harms a little where a
    /// single slow call meets an idle endpoint.
    fn stalled(&self, now: Micros) -> bool {
        let limit = Micros::from_secs(self.upper().unwrap_or(0.0) * STALL_LATENCIES).max(STALL_MIN);
        let stale = |c: &&Call| c.sent + limit < now && self.last_heard < c.sent;
        let stale = self.calls.values().filter(stale).count();
        stale > 0 && self.calls.len() > stale
    }
}

impl Sender {
    /// Takes in what happened at `now` and appends what to do about it.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            self.learn(now, event, actions);
        }
        let spread = self.asks_apart() - ASK_AGAIN;
        if self.ask_at == Some(Micros(0)) && spread > Micros(0) {
            self.ask_at = Some(now + spread.scale(uniform(&mut self.rng)));
        }
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            actions.push(Action::Follow);
        }
        let few = self.held.len() < LOOK_FEW;
        self.expire(now, few, actions);
        if few {
            self.waiting = Waiting::of(now, self.held.values());
        }
        self.dispatch(now, few, actions);
        self.probe(now, actions);
        self.shed(now, actions);
        self.let_go(now, actions);
        self.set_alarm(now, few, actions);
    }

    // ---- Learning ----

    fn learn(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Demand(message) => self.take(now, message, actions),
            // Danger: a courier that comes back still owes these; what may have run keeps its window.
            Event::Resumed { message, tries, risk } => {
                self.take(now, message, actions);
                if let Some(held) = self.held.get_mut(&message.id) {
                    (held.tries, held.risk) = (*tries, *risk);
                }
            }
            Event::Returned { endpoint, outcome, report, .. } => {
                self.report(now, *endpoint, report);
                self.returned(now, event, actions);
                if let Outcome::Full(told) = *outcome {
                    self.shut(now, *endpoint, told.unwrap_or_default(), report, actions);
                }
            }
            Event::Probed { endpoint, outcome, latency: _, report } => {
                self.report(now, *endpoint, report);
                self.probed(now, *endpoint, *outcome, actions);
            }
            Event::WholeList(entries) => {
                let listed: BTreeSet<_> = entries.iter().map(|e| e.endpoint).collect();
                let missing = self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id));
                missing.for_each(|(_, e)| e.listed = Listed::Gone);
                self.ask_fails = 0;
                self.list(now, entries);
            }
            Event::ListChange(entries) => {
                self.ask_fails = 0;
                self.list(now, entries);
            }
            Event::Relisted(entries) => self.list(now, entries),
            Event::ListFailed => {
                let (allowed, apart) =
                    (self.set.rules.must_ask_in.unwrap_or(DEPOSIT_LIFE), self.asks_apart());
                let most = allowed.scale(ASK_OF_ALLOWED).max(apart.scale(2.0)).min(allowed);
                let bound = ASK_AGAIN.max(apart).scale(2f64.powi(self.ask_fails.min(16) as i32)).min(most);
                self.ask_at = Some(now + bound.scale(0.5 + 0.5 * uniform(&mut self.rng)));
                self.ask_fails += 1;
            }
            Event::Hangup(id) => {
                if let Some(held) = self.held.get(id) {
                    if let (Some(out), true) = (&held.out, self.set.limits.cancel) {
                        actions.push(Action::CallOff { id: *id, attempt: out.attempt });
                    }
                    self.close(*id);
                }
            }
            Event::Elapsed(_) => self.alarm_at = self.alarm_at.filter(|at| *at > now),
            Event::PeerNote { bytes, .. } => self.noted(now, bytes),
            Event::StillOut { id, endpoint, sent } => self.still_out(*id, *endpoint, *sent),
            Event::Restarted(id) => self.endpoints.get_mut(id).into_iter().for_each(|e| e.start_cold(now)),
            Event::UnderWay(_) => {}
        }
    }

    /// The span over which one ask of each sender is spread.
    fn asks_apart(&self) -> Micros {
        let allowed = self.set.rules.must_ask_in.unwrap_or(DEPOSIT_LIFE);
        ASK_APART.scale(f64::from(self.set.senders)).min(allowed)
    }

    /// Endpoints that are gone with no call out are forgotten, and routes without endpoints; told waits stay.
    /// Danger (a broken rule): one that joins a destination that was out here is cold, and pushed over too.
    fn list(&mut self, now: Micros, entries: &[Entry]) {
        for entry in entries {
            let apart = self.set.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.routes_apart);
            let id = (entry.destination, apart.then_some(entry.endpoint));
            let route = self.routes.entry(id).or_default();
            route.endpoints.insert(entry.endpoint);
            // Danger: a line told again would undo what endpoints have told of a limit since.
            let listed = std::mem::replace(&mut route.pace.listed, entry.weight);
            let told = entry.weight > 0.0 && entry.weight.is_finite() && entry.weight != listed;
            if self.set.weights != Weights::Off && told {
                route.pace.told_limit(f64::from(entry.weight as f32), self.set.senders, f64::MAX);
            }
            let joins = route.out_until > now && !self.endpoints.contains_key(&entry.endpoint);
            let endpoint = self.endpoints.entry(entry.endpoint).or_default();
            if joins {
                endpoint.start_cold(now);
            }
            (endpoint.route, endpoint.zone, endpoint.kind) = (id, entry.zone, entry.kind);
            (endpoint.rank, endpoint.listed) = (entry.rank, entry.state);
        }
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

    /// A limit told by an endpoint stands in the place of a listed one.
    fn report(&mut self, now: Micros, endpoint: EndpointId, report: &[f32]) {
        let told = |place: Option<usize>| place.and_then(|i| report.get(i)).filter(|x| x.is_finite());
        let Some(e) = self.endpoints.get(&endpoint) else { return };
        let Some(limit) = told(self.set.report_limit).filter(|limit| **limit > 0.0) else { return };
        let usual = own_rate(&self.destinations, now, e.route.0, DEPOSIT_LIFE);
        let pace = &mut self.routes.entry(e.route).or_default().pace;
        pace.told_limit(f64::from(*limit), self.set.senders, usual);
        if let Some(left) = told(self.set.report_left) {
            pace.told_left(now, f64::from(*left), usual);
        }
    }

    /// An id handed in twice is held once; a message of no known class is handed back.
    fn take(&mut self, now: Micros, message: &Message, actions: &mut Vec<Action>) {
        if self.held.contains_key(&message.id) {
            return;
        }
        let Some(class) = self.set.classes.get(usize::from(message.class.0)) else {
            actions.push(Action::Decline { id: message.id, stay_away: SECOND });
            return;
        };
        let destination = self.destinations.entry(message.destination).or_default();
        push_within(&mut destination.asked, now, DEPOSIT_LIFE);
        let mut over_share = false;
        let tenant = usize::from(message.tenant.0);
        if let Some(quota) = self.set.tenants.get(tenant).and_then(|t| t.quota_per_s).filter(|q| *q > 0.0) {
            over_share = self.shares[tenant] > now + Micros::from_secs(SHARE_BURST_S);
            if !over_share {
                let step = Micros::from_secs(f64::from(self.set.senders.max(1)) / quota);
                self.shares[tenant] = self.shares[tenant].max(now) + step;
            }
        }
        let lane = message.key.filter(|_| class.in_order);
        if let Some(key) = lane {
            self.lanes.entry(key).or_default().line.push_back(message.id);
        }
        let held = Held {
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
            message: Message { key: lane, ..message.clone() },
        };
        self.waiting.add(now, &held);
        self.held.insert(message.id, held);
    }

    fn returned(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let Event::Returned { id, outcome, terminal, latency, attempt, .. } = *event else { return };
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(out) = held.out.take_if(|o| o.attempt == attempt) else { return };
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if may_still_run || matches!(outcome, Outcome::Error | Outcome::Spoilt(_)) {
            held.risk.get_or_insert((out.sent, out.endpoint));
        }
        if let (Some(lane), true) = (held.message.key.and_then(|k| self.lanes.get_mut(&k)), may_still_run) {
            lane.rest_until = now + self.set.rules.key_quiet.unwrap_or_default();
        }
        let ended = held.ended || terminal || outcome == Outcome::Ok;
        self.call_back(now, &out, outcome, latency, actions);
        if ended {
            return self.close(id);
        }
        self.again(now, id, actions);
    }

    /// A repeat that is permitted backs off and then waits in the queue until a token pays for it; one that
    /// is not is answered at once.
    fn again(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        let last = self.last_send(held);
        if now >= last || held.tries >= self.set.limits.max_attempts.unwrap_or(u32::MAX) {
            return self.give_up(now, id, actions);
        }
        let ready_at = now + backoff(&mut self.rng, held.aim, held.tries, last - now);
        if let Some(held) = self.held.get_mut(&id) {
            held.ready_at = ready_at;
            self.waiting.add(now, held);
        }
    }

    /// The moment from which nothing may be sent for a message any more.
    fn last_send(&self, held: &Held) -> Micros {
        let due = held.message.due - self.set.period.scale(LAST_ROUNDS);
        match (held.risk, held.effect) {
            (None, _) | (_, Effect::Safe) => due,
            (Some((sent, at)), Effect::Keyed { window, .. }) => {
                let work = self.endpoints.get(&at).and_then(Endpoint::upper).unwrap_or(0.0) * REPEAT_WORK;
                due.min(sent + window - Micros::from_secs(work).max(self.set.period))
            }
            (Some(_), Effect::Unsafe) => Micros(0),
        }
    }

    /// What one outcome says of its endpoint and route. A bundle shares one fate and is heard once.
    fn call_back(
        &mut self, now: Micros, out: &Out, outcome: Outcome, latency: Micros, actions: &mut Vec<Action>,
    ) {
        let Some(e) = self.endpoints.get_mut(&out.endpoint) else { return };
        let Some(route) = self.routes.get_mut(&e.route) else { return };
        if let Outcome::Full(Some(wait)) | Outcome::Spoilt(Some(wait)) = outcome {
            route.wait_until = route.wait_until.max(now + wait);
        }
        let Some(call) = e.calls.get_mut(&out.call) else { return };
        call.left -= 1;
        let first = !std::mem::replace(&mut call.heard, true);
        if call.left == 0 {
            e.calls.remove(&out.call);
            route.out -= 1;
            self.busy -= 1;
            self.quiet.push(out.endpoint);
        }
        if outcome == Outcome::Ok {
            e.answered(latency);
        }
        if !first {
            return;
        }
        // Danger: connections dropped unseen after a pause take the next message with them.
        let idle = out.sent - e.last_heard;
        let keep = self.keep.entry(e.kind).or_insert(KEEP_IDLE);
        let paused = idle > Micros(0) && idle < KEEP_IDLE;
        match outcome {
            // Danger: lines break by chance too; after a short pause that says nothing of idle connections.
            Outcome::Reset | Outcome::Timeout if paused => {
                *keep = idle.scale(KEEP_CUT).max(KEEP_LEAST).min(*keep);
            }
            Outcome::ConnectFailed if e.health == Health::Up => {
                *keep = keep.scale(KEEP_CUT).max(KEEP_LEAST).min(*keep);
            }
            Outcome::Ok if paused => *keep = keep.scale(KEEP_GROW).min(KEEP_IDLE),
            _ => {}
        }
        let usual = own_rate(&self.destinations, now, e.route.0, DEPOSIT_LIFE);
        match outcome {
            Outcome::Moot | Outcome::Cancelled => {
                if e.health == Health::HalfOpen {
                    e.health = Health::Out { trial_at: now, probed: true };
                }
            }
            Outcome::Ok => {
                self.hope += if route.pace.run > 0 { HOPE_GAIN * (1.0 - self.hope) } else { 0.0 };
                let last = std::mem::replace(&mut route.taken_at, now);
                route.pace.taken(now, last, usual);
                self.seen_alive(now, out.endpoint, actions);
            }
            Outcome::Full(_) => {
                let after = route.pace.run > 0 && out.sent >= route.pace.cut_at;
                self.hope *= if after { 1.0 - HOPE_GAIN } else { 1.0 };
                let (hope, opens) = (self.hope.clamp(HOPE_MIN, HOPE_MAX), now.max(route.wait_until));
                let pause = PAUSE + PAUSE_JITTER * uniform(&mut self.rng);
                route.pace.refused(now, out.sent, hope, usual, opens, pause);
                (e.last_heard, e.lost) = (now, false);
                if e.health == Health::HalfOpen {
                    self.take_out(now, out.endpoint, actions);
                }
            }
            Outcome::Error
            | Outcome::Spoilt(_)
            | Outcome::Timeout
            | Outcome::ConnectFailed
            | Outcome::Reset => {
                let lost = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Spoilt(_));
                let gain = if lost { TROUBLE_GAIN_LOST } else { TROUBLE_GAIN };
                match outcome {
                    Outcome::Timeout => e.timeouts += 1,
                    _ => e.last_heard = now,
                }
                // Danger: an endpoint at its connection limit, or behind a network that loses calls, fails
                // some and serves others meanwhile; it is not out. A failed connect takes out at once.
                let served_since = e.last_ok > out.sent;
                e.trouble += if served_since { 0.0 } else { (1.0 - e.trouble) * gain };
                e.lost = outcome != Outcome::Error;
                let lately = e.lost && e.served_within(now, LATELY);
                let cold = matches!(e.health, Health::Ramp { .. }) && !lately;
                let down = outcome == Outcome::ConnectFailed && !served_since && !lately;
                if down || cold || e.health == Health::HalfOpen || e.trouble > TROUBLE_OUT {
                    self.take_out(now, out.endpoint, actions);
                }
            }
        }
    }

    fn seen_alive(&mut self, now: Micros, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        let blip = e.lost && e.served_within(now, BLIP);
        (e.last_ok, e.last_heard) = (now, now);
        e.trouble *= 1.0 - TROUBLE_GAIN;
        if matches!(e.health, Health::Out { .. } | Health::HalfOpen) && blip {
            self.was_blip(now, id);
        } else if matches!(e.health, Health::Out { .. } | Health::HalfOpen) {
            if self.set.limits.notes && e.noted + NOTE_APART <= now {
                e.noted = now;
                actions.push(Action::Note { to: None, bytes: id.bytes().to_vec() });
            }
            self.back(now, id);
            self.log(now, id, "is back and cold", actions);
        }
    }

    /// Nothing was out: what was taken out with this endpoint is in use again, and who joins is not cold.
    fn was_blip(&mut self, now: Micros, id: EndpointId) {
        let Some(at) = self.endpoints.get(&id).map(|e| e.out_at) else { return };
        let mut all = true;
        for sibling in self.siblings(id) {
            let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
            if sibling == id || e.out_at == at && matches!(e.health, Health::Out { .. }) {
                (e.health, e.trouble) = (Health::Up, 0.0);
            }
            all &= e.health == Health::Up;
        }
        let route = self.endpoints.get(&id).and_then(|e| self.routes.get_mut(&e.route));
        if let (true, Some(route)) = (all, route) {
            route.out_until = now;
        }
    }

    /// Danger: with few messages each, senders would learn of a return by one trial each, minutes apart. A
    /// note names an endpoint that has answered its sender after an outage. It only opens the ramp: one that
    /// is malformed or of an endpoint in use changes nothing, a wrong one ends with the first call to fail.
    fn noted(&mut self, now: Micros, bytes: &[u8]) {
        let Some(id) = EndpointId::from_bytes(bytes) else { return };
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.noted = now;
        if matches!(e.health, Health::Out { .. }) {
            self.back(now, id);
        }
    }

    /// Danger: trials push a cold destination too; they are spaced by what those out bear at their coldest.
    /// One for all of them will do: if each waits for its own, a return is found as many times later.
    fn trial_pause(&mut self, now: Micros, id: EndpointId) -> Micros {
        let jitter = 1.0 + TRIAL_JITTER * (2.0 * uniform(&mut self.rng) - 1.0);
        let tried = |id: &EndpointId| match self.endpoints.get(id).map(|e| (e.listed, e.health)) {
            Some((Listed::Ready, health)) => matches!(health, Health::Out { .. } | Health::HalfOpen),
            _ => false,
        };
        let out = self.siblings(id).iter().filter(|s| tried(s)).count().max(1) as f64;
        let most = TRIAL_MAX.scale(f64::from(self.set.senders));
        let pause = Micros::from_secs(1.0 / (self.cold_rate(now, id) * out));
        pause.min(most).max(TRIAL_MIN).scale(jitter)
    }

    fn take_out(&mut self, now: Micros, id: EndpointId, actions: &mut Vec<Action>) {
        let was = self.endpoints.get(&id).map_or(Health::Up, |e| e.health);
        for sibling in self.siblings(id) {
            let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
            self.routes.entry(e.route).and_modify(|r| r.out_until = now + OUT_MEMORY);
            let quiet =
                e.last_ok + DEPOSIT_LIFE < now && matches!(e.health, Health::Up | Health::Ramp { .. });
            if sibling == id || quiet {
                e.health = Health::Out { trial_at: now, probed: false };
                e.out_at = now;
            }
        }
        self.rest_trials(now, id);
        if was == Health::Up {
            self.log(now, id, "is out", actions);
        }
    }

    /// No trial of the endpoints that are out with this one, itself counted, before a pause.
    fn rest_trials(&mut self, now: Micros, id: EndpointId) {
        let next = now + self.trial_pause(now, id);
        for sibling in self.siblings(id) {
            if let Some(Health::Out { trial_at, .. }) =
                self.endpoints.get_mut(&sibling).map(|e| &mut e.health)
            {
                *trial_at = next.max(*trial_at);
            }
        }
    }

    /// Danger (broken rule 4): a destination that refuses in a row, or for long, with its limit free is shut;
    /// a message of each sender pushes it over when it opens. Who was told when, was told with all others: it
    /// is cold from then on, and each starts at a point of its own. Harms where full ones tell long waits.
    fn shut(&mut self, now: Micros, id: EndpointId, told: Micros, report: &[f32], actions: &mut Vec<Action>) {
        let told_of = |place: Option<usize>| place.map(|i| report.get(i).copied().unwrap_or(0.0));
        let unlimited = told_of(self.set.report_limit) == Some(0.0);
        let left = told_of(self.set.report_left).filter(|_| !unlimited).unwrap_or(1.0);
        let Some(at) = self.endpoints.get(&id).map(|e| e.route) else { return };
        let Some(route) = self.routes.get_mut(&at) else { return };
        let (silent, in_row) = (now - route.taken_at, route.pace.run >= SHUT_RUN);
        let untold = self.set.weights == Weights::Off && route.wait_until == Micros(0);
        let some = left >= SHUT_SOME && !self.set.limits.probes;
        let long = in_row && silent > SHUT_LONG && (untold || some);
        let free = left >= SHUT_LEFT && silent > SHUT_SILENT;
        if told > SHUT_SILENT || free && self.set.report_left.is_some() && told > Micros(0) {
            (route.out_until, route.taken_at) = (now + OUT_MEMORY, Micros(0));
            let opens = route.wait_until;
            for sibling in self.siblings(id) {
                let phase = uniform(&mut self.rng);
                let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
                (e.health, e.credit) = (Health::Ramp { since: opens }, (opens, phase));
            }
        } else if long || free && in_row {
            self.take_out(now, id, actions);
        } else if free && self.set.report_left.is_some() {
            let rest = Micros::from_secs(REST_SHARE * uniform(&mut self.rng) / self.cold_rate(now, id));
            self.routes.entry(at).and_modify(|r| r.pace.next_at = r.pace.next_at.max(now + rest));
        }
    }

    fn back(&mut self, now: Micros, id: EndpointId) {
        let out_for = self.endpoints.get(&id).map_or(Micros(0), |e| e.tried_at - e.out_at);
        let half = out_for.min(self.cold()).scale(RETURN_SINCE);
        for sibling in self.siblings(id) {
            let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
            if sibling == id || matches!(e.health, Health::Out { .. }) {
                e.health = Health::Ramp { since: now - half };
                e.trouble = 0.0;
                e.credit = (now, 0.0);
            }
        }
    }

    fn probed(&mut self, now: Micros, id: EndpointId, outcome: Outcome, actions: &mut Vec<Action>) {
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.last_heard = now;
        match (e.health, outcome) {
            (Health::HalfOpen, Outcome::Ok) => e.health = Health::Out { trial_at: now, probed: true },
            (Health::HalfOpen, _) => self.take_out(now, id, actions),
            _ => {}
        }
    }

    /// Danger: a destination back from an outage falls over when pushed. This sender's part of what a cold
    /// endpoint bears, in calls a second: from the share it has at least, up to all of it. Its part is the
    /// even one of a known limit, or what is handed in here for it: all senders' demands make up the whole
    /// however many they are, while even parts of hundreds are longer apart than a message lives.
    fn cold_rate(&self, now: Micros, id: EndpointId) -> f64 {
        let rules = &self.set.rules;
        let (Some(share), Some(factor)) = (rules.cold_share, rules.overload_factor) else { return f64::MAX };
        let Some(e) = self.endpoints.get(&id) else { return f64::MAX };
        let Some(route) = self.routes.get(&e.route) else { return f64::MAX };
        let warm = match e.health {
            Health::Ramp { since } => (now - since).secs() / self.cold().secs().max(1e-6),
            _ => 0.0,
        };
        let ready = |id: &&EndpointId| self.endpoints.get(id).is_some_and(|e| e.listed == Listed::Ready);
        let endpoints = route.endpoints.iter().filter(ready).count().max(1) as f64;
        let ours = route.pace.share.max(own_rate(&self.destinations, now, e.route.0, DEPOSIT_LIFE));
        COLD_SAFETY * factor * (share + (1.0 - share) * warm.min(1.0)) * ours / endpoints
    }

    fn cold(&self) -> Micros {
        self.set.rules.cold.unwrap_or_default()
    }

    /// Danger: while a connection comes up, its endpoint may start to drain, its destination may tell a wait,
    /// or forget an earlier call. Asked just before a first byte; says whether the call may still begin.
    pub fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool {
        let Some(e) = self.endpoints.get(&id).filter(|e| e.listed == Listed::Ready) else { return false };
        let in_time = self.held.get(&message).is_none_or(|held| now < self.last_send(held));
        in_time && self.routes.get(&e.route).is_none_or(|r| r.wait_until <= now)
    }

    // ---- Answering ----

    /// Final answer: handed back where that is permitted, else failed.
    fn give_up(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&id) else { return };
        if held.harmless() {
            let stay_away = self.opens_in(now, held.message.destination, Micros(0)).max(SECOND);
            let most = self.set.limits.max_retry_after.unwrap_or(stay_away);
            actions.push(Action::Decline { id, stay_away: stay_away.min(most) });
        } else {
            actions.push(Action::Fail(id));
        }
        self.close(id);
    }

    /// How long until a destination's queue, as known now, is through.
    fn opens_in(&self, now: Micros, destination: DestinationId, aim_at: Micros) -> Micros {
        let opens = |r: &Route| r.wait_until.max(r.pace.opens(now, aim_at)) - now;
        self.routes_of(destination).map(opens).min().unwrap_or_default()
    }

    /// When a message is over if nothing happens; `None`: it has had its answer.
    fn end_at(&self, held: &Held) -> Option<Micros> {
        let slack = self.set.rules.answer_slack.unwrap_or_default().scale(SLACK_USED);
        match held.out {
            None => Some(self.last_send(held)),
            Some(_) => (!held.ended).then(|| held.message.due + slack),
        }
    }

    fn expire(&mut self, now: Micros, few: bool, actions: &mut Vec<Action>) {
        let over = |h: &Held| self.end_at(h).is_some_and(|at| at <= now);
        let all = || self.held.iter().filter(|(_, h)| over(h)).map(|(id, _)| *id).collect();
        let ids: Vec<_> = if few { all() } else { self.waiting.look_at(now) };
        for id in ids {
            match self.held.get(&id).and_then(|h| self.end_at(h)) {
                Some(at) if at <= now => self.give_up(now, id, actions),
                at => self.held.get_mut(&id).into_iter().for_each(|h| self.waiting.ends(h, at)),
            }
        }
    }

    /// Danger: one destination that is out fills the room and others are turned away at the door. What is
    /// worth least where the most waits goes first, the late before the rest, with a time to come back.
    fn shed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(room) = self.set.limits.max_open else { return };
        let most = (f64::from(room) * (1.0 - ROOM_SPARE)) as usize;
        while self.held.len() > most {
            let mut waiting: BTreeMap<DestinationId, usize> = BTreeMap::new();
            for h in self.held.values().filter(|h| h.waits()) {
                *waiting.entry(h.message.destination).or_default() += 1;
            }
            let cheap = |h: &Held| (h.over_share, waiting[&h.message.destination], Reverse(h.worth));
            let rank = |h: &&Held| (cheap(h), h.aim_at <= now, h.aim_at);
            let Some(worst) = self.held.values().filter(|h| h.harmless()).max_by_key(rank) else { return };
            self.give_up(now, worst.message.id, actions);
        }
    }

    // ---- Sending ----

    /// Sends what may go, the most urgent first: what can still meet its aim, by aim; then what is late;
    /// then what is beyond its tenant's share. A repeat goes when a token pays for it.
    fn dispatch(&mut self, now: Micros, few: bool, actions: &mut Vec<Action>) {
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
            let pays = first || destination.budget.withdraw(now, &mut self.reserve);
            if pays {
                self.waiting.remove(to, &at);
                self.send(now, at.3, endpoint, joins, &mut bundles, actions);
            }
        }
    }

    fn ready(&self, now: Micros, held: &Held) -> bool {
        held.waits() && held.ready_at <= now && self.in_turn(now, held)
    }

    /// Order: a message with a key goes when it is first in line and the key has rested. Its own further
    /// tries need no rest.
    fn in_turn(&self, now: Micros, held: &Held) -> bool {
        let Some(lane) = held.message.key.and_then(|k| self.lanes.get(&k)) else { return true };
        lane.line.front() == Some(&held.message.id) && (held.tries > 0 || lane.rest_until <= now)
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
                let Some(e) = self.endpoints.get(id) else { continue };
                if e.listed != Listed::Ready || !self.same_group(held, *id, e) {
                    continue;
                }
                if let Some((call, count)) = bundles.get(id) {
                    if *count < self.bundle_max(now, *id, e) {
                        return Some((*id, Some(*call)));
                    }
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

    fn same_group(&self, held: &Held, id: EndpointId, e: &Endpoint) -> bool {
        match (held.risk, held.effect) {
            (Some((_, at)), Effect::Keyed { group: Group::Endpoint, .. }) => at == id,
            (Some((_, at)), Effect::Keyed { group: Group::Zone, .. }) => {
                self.endpoints.get(&at).is_some_and(|a| a.zone == e.zone)
            }
            _ => true,
        }
    }

    fn usable(&self, now: Micros, id: EndpointId, e: &Endpoint) -> bool {
        match e.health {
            Health::Up => true,
            Health::HalfOpen => false,
            Health::Out { trial_at, probed } => trial_at <= now && (probed || !self.set.limits.probes),
            Health::Ramp { since } => since + self.cold() <= now || self.credit(now, id, e) >= 1.0,
        }
    }

    /// Credit of a cold endpoint; at most one call is saved up.
    fn credit(&self, now: Micros, id: EndpointId, e: &Endpoint) -> f64 {
        let mean_rate = (self.cold_rate(e.credit.0, id) + self.cold_rate(now, id)) / 2.0;
        (e.credit.1 + mean_rate * (now - e.credit.0).secs()).min(1.0)
    }

    fn bundle_max(&self, now: Micros, id: EndpointId, e: &Endpoint) -> u32 {
        let most = self.set.kinds.get(usize::from(e.kind.0)).map_or(1, |k| k.bundle_max);
        match e.health {
            Health::Up => most,
            Health::Ramp { .. } => {
                let span = self.set.rules.tip_after.unwrap_or_default().secs();
                let bears = (self.cold_rate(now, id) * span - 1.0) / BUNDLE_ITEM;
                most.min(1 + bears.max(0.0) as u32)
            }
            _ => 1,
        }
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
            route.pace.call(now);
            bundles.insert(to, (call, 0));
        }
        e.calls.entry(call).or_insert(Call { sent: now, left: 0, heard: false }).left += 1;
        bundles.entry(to).and_modify(|b| b.1 += 1);
        let trial = matches!(e.health, Health::Out { .. });
        match e.health {
            Health::Out { .. } => (e.health, e.tried_at) = (Health::HalfOpen, now),
            Health::Ramp { since } if since + cold <= now => e.health = Health::Up,
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

    /// A probe asks first, where it may: it risks no message and no token.
    fn probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.set.limits.probes {
            return;
        }
        let wanted: BTreeSet<_> = self.held.values().map(|h| h.message.destination).collect();
        let routes = wanted.iter().flat_map(|d| self.routes_of(*d)).filter(|r| r.wait_until <= now);
        let ids: Vec<_> = routes.flat_map(|r| r.endpoints.iter().copied()).collect();
        for id in ids {
            let Some(e) = self.endpoints.get_mut(&id).filter(|e| e.listed == Listed::Ready) else { continue };
            if matches!(e.health, Health::Out { trial_at, probed: false } if trial_at <= now) {
                (e.health, e.tried_at) = (Health::HalfOpen, now);
                self.routes.entry(e.route).or_default().pace.call(now);
                actions.push(Action::Probe(id));
            }
        }
    }

    /// Danger: idle connections of many senders fill the table of an endpoint, and one dropped unseen takes
    /// the next message with it. What will not be used again soon is closed; the next call shakes hands.
    fn let_go(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.quiet) {
            let Some(e) = self.endpoints.get(&id).filter(|e| e.calls.is_empty()) else { continue };
            let keep = self.keep.get(&e.kind).copied().unwrap_or(KEEP_IDLE);
            if own_rate(&self.destinations, now, e.route.0, DEPOSIT_LIFE) * keep.secs() < 1.0 {
                actions.push(Action::LetGo(id));
            }
        }
    }

    fn set_alarm(&mut self, now: Micros, few: bool, actions: &mut Vec<Action>) {
        if self.lanes.len() > self.held.len() + LANES_SPARE {
            self.lanes.retain(|_, lane| !lane.line.is_empty() || lane.rest_until > now);
        }
        let moment = |h: &Held| match h.out {
            Some(_) => h.message.due,
            None => {
                let opens = now + self.opens_in(now, h.message.destination, h.aim_at);
                let ready = h.ready_at.max(opens);
                self.last_send(h).min(if ready > now { ready } else { now + POLL })
            }
        };
        let soon = (!few).then_some(now + self.set.period);
        let moments = self.held.values().take_while(|_| few).filter(|h| !h.ended).map(moment);
        let Some(next) = moments.chain(self.ask_at).chain(soon).min() else { return };
        let next = next.max(now + self.set.period);
        if self.alarm_at.is_none_or(|a| a > next) {
            self.alarm_at = Some(next);
            actions.push(Action::SetTimer { after: next - now, token: ALARM });
        }
    }
}
