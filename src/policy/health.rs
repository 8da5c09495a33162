//! Which endpoints are out, and when they are tried.

use super::*;

const BLIP: Micros = Micros(3_000_000); // one out by a lost call for less was not out at all
/// One that refuses so often in a row, with so much of its limit left by its report, is shut: an outage.
const SHUT_LEFT: f32 = 0.9;
const SHUT_RUN: i32 = 2;
pub(super) const SHUT_SOME: f32 = 0.25;
/// So long a silence is shut too with some of the limit left, or with none where no limit is listed and no
/// wait ever told. Danger (broken rules): a hung one refuses with its queue full; where refused calls use the
/// limit up it looks busy. Not where senders may probe: their probes use a busy one's limit up.
const SHUT_LONG: Micros = Micros(5_000_000);
const REST_SHARE: f64 = 0.35;
const SHUT_SILENT: Micros = Micros(2_000_000);
/// Bounds of the pause between trials of one that is out; the upper for each sender: many push it over.
const TRIAL_MIN: Micros = Micros(500_000);
const TRIAL_MAX: Micros = Micros(750_000);
const TRIAL_JITTER: f64 = 0.25;
/// So long after an outage, endpoints that join are cold.
pub(super) const OUT_MEMORY: Micros = Micros(20_000_000);
/// Gain of the latency averages; deviations above the mean that few answers exceed.
const LATENCY_GAIN: f64 = 0.2;
const UPPER_DEVIATIONS: f64 = 4.0;
/// An endpoint with a call out for so many times its upper latency, and nothing heard since, has stalled.
const STALL_LATENCIES: f64 = 2.0;
const STALL_MIN: Micros = Micros(1_000_000);

impl Endpoint {
    /// Latency that few answers exceed, in seconds.
    pub(super) fn upper(&self) -> Option<f64> {
        self.mean.map(|m| m + UPPER_DEVIATIONS * self.deviation)
    }

    pub(super) fn answered(&mut self, latency: Micros) {
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
    /// far too long with nothing heard since, one further call at a time goes there.
    pub(super) fn stalled(&self, now: Micros) -> bool {
        let limit = Micros::from_secs(self.upper().unwrap_or(0.0) * STALL_LATENCIES).max(STALL_MIN);
        let stale = self.calls.values().filter(|c| c.sent + limit < now && self.last_heard < c.sent).count();
        stale > 0 && self.calls.len() > stale
    }
}

impl Sender {
    pub(super) fn seen_alive(&mut self, now: Micros, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        let blip = e.lost && e.served_within(now, BLIP);
        (e.last_ok, e.last_heard) = (now, now);
        e.trouble *= 1.0 - TROUBLE_GAIN;
        if e.health.is_out() && blip {
            self.was_blip(now, id);
        } else if e.health.is_out() {
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
        self.each_sibling(id, |sibling, e| {
            if sibling == id || e.out_at == at && matches!(e.health, Health::Out { .. }) {
                (e.health, e.trouble) = (Health::Up, 0.0);
            }
            all &= e.health == Health::Up;
        });
        let route = self.endpoints.get(&id).and_then(|e| self.routes.get_mut(&e.route));
        route.filter(|_| all).into_iter().for_each(|r| r.out_until = now);
    }

    /// Danger: trials push a cold one too: one for all that are out, spaced by what these bear at least.
    pub(super) fn trial_pause(&mut self, now: Micros, id: EndpointId) -> Micros {
        let jitter = 1.0 + TRIAL_JITTER * (2.0 * uniform(&mut self.rng) - 1.0);
        let out = |s: &Endpoint| s.listed == Listed::Ready && s.health.is_out();
        let tried = |s: &&EndpointId| self.endpoints.get(s).is_some_and(out);
        let out = self.siblings(id).iter().filter(tried).count().max(1) as f64;
        let turns = self.beliefs.as_ref().is_some_and(|b| b.may_try(now, id).is_some());
        let most = TRIAL_MAX.scale(if turns { 1.0 } else { f64::from(self.set.senders) });
        let pause = Micros::from_secs(1.0 / (self.cold_rate(now, id) * out));
        pause.min(most).max(TRIAL_MIN).scale(jitter)
    }

    /// Not before this sender would, and where turns are taken in its own.
    pub(super) fn tries(&self, now: Micros, id: EndpointId, trial_at: Micros) -> bool {
        trial_at <= now && self.beliefs.as_ref().and_then(|b| b.may_try(now, id)).unwrap_or(true)
    }

    pub(super) fn take_out(&mut self, now: Micros, id: EndpointId, actions: &mut Vec<Action>) {
        let was = self.endpoints.get(&id).map_or(Health::Up, |e| e.health);
        for sibling in self.siblings(id) {
            let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
            self.routes.entry(e.route).and_modify(|r| r.out_until = now + OUT_MEMORY);
            if sibling == id || e.last_ok + DEPOSIT_LIFE < now && !e.health.is_out() {
                (e.health, e.out_at) = (Health::Out { trial_at: now, probed: false }, now);
            }
        }
        self.outage_changes += 1;
        self.rest_trials(now, id);
        if was == Health::Up {
            self.log(now, id, "is out", actions);
        }
    }

    /// No trial of the endpoints that are out with this one, itself counted, before a pause.
    pub(super) fn rest_trials(&mut self, now: Micros, id: EndpointId) {
        let next = now + self.trial_pause(now, id);
        self.each_sibling(id, |_, e| {
            if let Health::Out { trial_at, .. } = &mut e.health {
                *trial_at = next.max(*trial_at);
            }
        });
    }

    /// Danger (broken rule 4): who refuses in a row, or for long, with the limit free is shut; a message of
    /// each sender pushes it over when it opens. Told when, it is cold from then on, each at its own point.
    pub(super) fn shut(
        &mut self, now: Micros, id: EndpointId, told: Micros, report: &[f32], actions: &mut Vec<Action>,
    ) {
        let of = |place: Option<usize>| place.map(|i| report.get(i).copied().unwrap_or(0.0));
        let left = of(self.set.report_left).unwrap_or(0.0);
        let left = if of(self.set.report_limit) == Some(0.0) { 1.0 } else { left };
        let Some(at) = self.endpoints.get(&id).map(|e| e.route) else { return };
        let Some(route) = self.routes.get_mut(&at) else { return };
        let (silent, in_row) = (now - route.taken_at, route.pace.run >= SHUT_RUN);
        let untold = self.set.weights == Weights::Off && route.wait_until == Micros(0);
        let (busy, tells) = (self.set.limits.probes, self.set.report_left.is_some());
        let long = in_row && silent > SHUT_LONG && (untold && (tells || !busy) || left >= SHUT_SOME && !busy);
        let free = left >= SHUT_LEFT && silent > SHUT_SILENT;
        if told > SHUT_SILENT || free && self.set.report_left.is_some() && told > Micros(0) {
            self.outage_changes += 1;
            (route.out_until, route.taken_at) = (now + OUT_MEMORY, Micros(0));
            let opens = route.wait_until;
            for sibling in self.siblings(id) {
                let phase = uniform(&mut self.rng);
                let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
                (e.health, e.credit, e.back_by) = (Health::Ramp { since: opens }, (opens, phase), opens);
            }
        } else if long || free && in_row {
            self.take_out(now, id, actions);
        } else if free && self.set.report_left.is_some() {
            let rest = Micros::from_secs(REST_SHARE * uniform(&mut self.rng) / self.cold_rate(now, id));
            self.routes.entry(at).and_modify(|r| r.pace.next_at = r.pace.next_at.max(now + rest));
        }
    }

    pub(super) fn probed(&mut self, now: Micros, id: EndpointId, how: Outcome, actions: &mut Vec<Action>) {
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.last_heard = now;
        // Danger: where others use its limit up a probe is told full for ever; who answers is up.
        let up = matches!(how, Outcome::Ok | Outcome::Full(_));
        match e.health {
            Health::HalfOpen if up => e.health = Health::Out { trial_at: now, probed: true },
            Health::HalfOpen => self.take_out(now, id, actions),
            _ => {}
        }
    }

    /// A probe asks first, where it may: it risks no message and no token.
    pub(super) fn probe(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.set.limits.probes {
            return;
        }
        let wanted: BTreeSet<_> = self.held.values().map(|h| h.message.destination).collect();
        let routes = wanted.iter().flat_map(|d| self.routes_of(*d)).filter(|r| r.wait_until <= now);
        let ids = routes.flat_map(|r| r.endpoints.iter().copied()).filter(|id| self.tries(now, *id, now));
        for id in ids.collect::<Vec<_>>() {
            let Some(e) = self.endpoints.get_mut(&id).filter(|e| e.listed == Listed::Ready) else { continue };
            if matches!(e.health, Health::Out { trial_at, probed: false } if trial_at <= now) {
                (e.health, e.tried_at) = (Health::HalfOpen, now);
                self.routes.entry(e.route).or_default().pace.call(now, now);
                actions.push(Action::Probe(id));
            }
        }
    }
}
