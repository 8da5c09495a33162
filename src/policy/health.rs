//! Outlier ejection: which endpoints are out, and when they get a trial.

use super::*;

/// An ejection by a lost call was no outage, and is undone, if the endpoint's previous success is at most
/// this old when it succeeds again.
const MAX_BLIP: Micros = Micros(3_000_000);
/// An endpoint that refuses this many calls in a row while it reports at least this fraction of its limit as
/// left is shut: it has an outage.
const SHUT_HEADROOM: f32 = 0.9;
const SHUT_REFUSALS_IN_A_ROW: i32 = 2;
/// From this fraction of the limit on, a refusal is not taken for one by the limit.
pub(super) const LIMIT_NOT_REACHED_HEADROOM: f32 = 0.25;
/// An endpoint that refuses in a row and has accepted nothing for this long is shut too if some of its limit
/// is left, or if no limit is listed and it never told the sender to wait.
///
/// A hung endpoint refuses while its queue is full, and where refused calls use the limit up it looks merely
/// busy; that has led to broken rules. Where senders may probe, this needs load reports, as probes use up the
/// limit of a busy endpoint.
const LONG_SILENCE: Micros = Micros(5_000_000);
/// Upper bound of the pause after a single refusal with the limit free, in gaps between slow start calls.
const REFUSAL_PAUSE_GAPS: f64 = 0.35;
/// Time without an accepted call from which a refusal with the limit free counts as an outage.
const SHORT_SILENCE: Micros = Micros(2_000_000);
/// Bounds of the interval between trials of an ejected endpoint. The upper bound is multiplied by the number
/// of senders, as the trials of many senders would otherwise overload the endpoint.
const MIN_TRIAL_INTERVAL: Micros = Micros(500_000);
const MAX_TRIAL_INTERVAL_PER_SENDER: Micros = Micros(750_000);
const TRIAL_JITTER: f64 = 0.25;
/// For this long after an outage, endpoints that join begin in slow start.
pub(super) const OUTAGE_MEMORY: Micros = Micros(20_000_000);
/// A sibling without a success for this long is ejected together with an endpoint.
const SIBLING_SILENCE: Micros = DEMAND_WINDOW;
/// Weight of the newest latency in the averages.
const LATENCY_GAIN: f64 = 0.2;
/// The upper latency, which few answers exceed, is the mean and this many deviations.
const UPPER_DEVIATIONS: f64 = 4.0;
/// An endpoint has stalled if a call has been in flight for this many upper latencies with no sign since.
const STALL_LATENCIES: f64 = 2.0;
const MIN_STALL_TIME: Micros = Micros(1_000_000);

impl Endpoint {
    /// Latency that few answers exceed, in seconds.
    pub(super) fn upper_latency(&self) -> Option<f64> {
        self.latency_mean.map(|m| m + UPPER_DEVIATIONS * self.latency_deviation)
    }

    /// Updates the latency averages after a successful answer.
    pub(super) fn record_latency(&mut self, latency: Micros) {
        self.consecutive_timeouts = 0;
        let x = latency.secs();
        match self.latency_mean {
            None => (self.latency_mean, self.latency_deviation) = (Some(x), x / 2.0),
            Some(m) => {
                self.latency_deviation += LATENCY_GAIN * ((x - m).abs() - self.latency_deviation);
                self.latency_mean = Some(m + LATENCY_GAIN * (x - m));
            }
        }
    }

    /// Whether the endpoint hangs, so that it may get no further call. A hanging endpoint costs no retry
    /// tokens, but it holds slots and messages. Once a call has been in flight far too long with no sign
    /// since, one further call at a time is sent.
    pub(super) fn is_stalled(&self, now: Micros) -> bool {
        let upper = Micros::from_secs(self.upper_latency().unwrap_or(0.0) * STALL_LATENCIES);
        let limit = upper.max(MIN_STALL_TIME);
        let stale = |c: &&Call| c.sent_at + limit < now && self.last_heard < c.sent_at;
        let stale_calls = self.calls.values().filter(stale).count();
        stale_calls > 0 && self.calls.len() > stale_calls
    }
}

impl Sender {
    /// Records a successful call: an ejected endpoint returns, in slow start unless the ejection was a blip.
    pub(super) fn record_success(&mut self, now: Micros, id: EndpointId, actions: &mut Vec<Action>) {
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        let blip = e.last_failure_lost && e.served_within(now, MAX_BLIP);
        (e.last_ok, e.last_heard) = (now, now);
        e.failure_average *= 1.0 - FAILURE_GAIN;
        if e.health.is_ejected() && blip {
            self.undo_ejection(now, id);
        } else if e.health.is_ejected() {
            if self.settings.limits.gossip && e.last_note_at + MIN_NOTE_INTERVAL <= now {
                e.last_note_at = now;
                actions.push(Action::SendGossip { to: None, bytes: id.bytes().to_vec() });
            }
            self.begin_slow_start(now, id);
            self.log_endpoint(now, id, "is back and cold", actions);
        }
    }

    /// Puts an endpoint that had no real outage back into normal use, together with the siblings that were
    /// ejected with it. If all are healthy then, endpoints that join do not begin in slow start.
    fn undo_ejection(&mut self, now: Micros, id: EndpointId) {
        let Some(at) = self.endpoints.get(&id).map(|e| e.ejected_at) else { return };
        let mut all_healthy = true;
        self.for_each_sibling(id, |sibling, e| {
            if sibling == id || e.ejected_at == at && matches!(e.health, Health::Ejected { .. }) {
                (e.health, e.failure_average) = (Health::Healthy, 0.0);
            }
            all_healthy &= e.health == Health::Healthy;
        });
        let route = self.endpoints.get(&id).and_then(|e| self.routes.get_mut(&e.route));
        route.filter(|_| all_healthy).into_iter().for_each(|r| r.recent_outage_until = now);
    }

    /// Interval between trials of an ejected endpoint. Trials load a cold endpoint too, so one trial serves
    /// all ejected siblings, and trials are spaced by at least the total slow start rate of these.
    pub(super) fn trial_interval(&mut self, now: Micros, id: EndpointId) -> Micros {
        let jitter = 1.0 + TRIAL_JITTER * (2.0 * uniform(&mut self.rng) - 1.0);
        let is_ejected = |s: &Endpoint| s.listed == ListingState::Ready && s.health.is_ejected();
        let ejected = |s: &&EndpointId| self.endpoints.get(s).is_some_and(is_ejected);
        let count = self.siblings(id).iter().filter(ejected).count().max(1) as f64;
        let takes_turns = self.beliefs.as_ref().is_some_and(|b| b.may_probe(now, id).is_some());
        let senders = if takes_turns { 1.0 } else { f64::from(self.settings.senders) };
        let max = MAX_TRIAL_INTERVAL_PER_SENDER.scale(senders);
        let interval = Micros::from_secs(1.0 / (self.slow_start_rate(now, id) * count));
        interval.min(max).max(MIN_TRIAL_INTERVAL).scale(jitter)
    }

    /// Whether this sender may try the endpoint: its own trial time has come and, where the senders take
    /// turns, it is this sender's turn.
    pub(super) fn trial_due(&self, now: Micros, id: EndpointId, trial_at: Micros) -> bool {
        trial_at <= now && self.beliefs.as_ref().and_then(|b| b.may_probe(now, id)).unwrap_or(true)
    }

    /// Ejects an endpoint, together with the siblings that have not succeeded lately.
    pub(super) fn eject(&mut self, now: Micros, id: EndpointId, actions: &mut Vec<Action>) {
        let before = self.endpoints.get(&id).map_or(Health::Healthy, |e| e.health);
        for sibling in self.siblings(id) {
            let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
            self.routes.entry(e.route).and_modify(|r| r.recent_outage_until = now + OUTAGE_MEMORY);
            if sibling == id || e.last_ok + SIBLING_SILENCE < now && !e.health.is_ejected() {
                (e.health, e.ejected_at) = (Health::Ejected { trial_at: now, probed: false }, now);
            }
        }
        self.outage_changes += 1;
        self.postpone_trials(now, id);
        if before == Health::Healthy {
            self.log_endpoint(now, id, "is out", actions);
        }
    }

    /// Puts the next trial of the endpoint and its ejected siblings off by a trial interval from now.
    pub(super) fn postpone_trials(&mut self, now: Micros, id: EndpointId) {
        let next = now + self.trial_interval(now, id);
        self.for_each_sibling(id, |_, e| {
            if let Health::Ejected { trial_at, .. } = &mut e.health {
                *trial_at = next.max(*trial_at);
            }
        });
    }

    /// Checks whether a refusal, with the time it told the sender to wait (0: none), shows an outage.
    ///
    /// An endpoint that refuses in a row, or for long, while its limit is free is shut. If each sender sent
    /// it a message when it opens, it would be overloaded; that has broken rule 4. If it told when it opens,
    /// its slow start begins then, at a random credit for each endpoint and sender. Otherwise it is ejected.
    pub(super) fn check_refusal_for_outage(
        &mut self, now: Micros, id: EndpointId, told_wait: Micros, report: &[f32], actions: &mut Vec<Action>,
    ) {
        let reported = |place: Option<usize>| place.map(|i| report.get(i).copied().unwrap_or(0.0));
        let headroom = reported(self.settings.report_left).unwrap_or(0.0);
        let headroom = if reported(self.settings.report_limit) == Some(0.0) { 1.0 } else { headroom };
        let Some(route_id) = self.endpoints.get(&id).map(|e| e.route) else { return };
        let Some(route) = self.routes.get_mut(&route_id) else { return };
        let silence = now - route.last_accepted_at;
        let in_a_row = route.send_rate.consecutive_refusals >= SHUT_REFUSALS_IN_A_ROW;
        let no_limit_known = self.settings.weights == Weights::Off && route.wait_until == Micros(0);
        let (may_probe, reports_headroom) =
            (self.settings.limits.probes, self.settings.report_left.is_some());
        let hangs = no_limit_known && (reports_headroom || !may_probe)
            || headroom >= LIMIT_NOT_REACHED_HEADROOM && !may_probe;
        let long = in_a_row && silence > LONG_SILENCE && hangs;
        let limit_free = headroom >= SHUT_HEADROOM && silence > SHORT_SILENCE;
        if told_wait > SHORT_SILENCE || limit_free && reports_headroom && told_wait > Micros(0) {
            self.outage_changes += 1;
            (route.recent_outage_until, route.last_accepted_at) = (now + OUTAGE_MEMORY, Micros(0));
            let opens_at = route.wait_until;
            for sibling in self.siblings(id) {
                let phase = uniform(&mut self.rng);
                let Some(e) = self.endpoints.get_mut(&sibling) else { continue };
                e.health = Health::SlowStart { since: opens_at };
                (e.credit, e.latest_return_at) = ((opens_at, phase), opens_at);
            }
        } else if long || limit_free && in_a_row {
            self.eject(now, id, actions);
        } else if limit_free && reports_headroom {
            let gaps = REFUSAL_PAUSE_GAPS * uniform(&mut self.rng);
            let pause = Micros::from_secs(gaps / self.slow_start_rate(now, id));
            let postpone =
                |r: &mut Route| r.send_rate.next_call_at = r.send_rate.next_call_at.max(now + pause);
            self.routes.entry(route_id).and_modify(postpone);
        }
    }

    /// Records the outcome of a probe.
    pub(super) fn record_probe(
        &mut self, now: Micros, id: EndpointId, outcome: Outcome, actions: &mut Vec<Action>,
    ) {
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.last_heard = now;
        // An endpoint that refuses does answer, so it is up. Where others use its limit up, probes may be
        // refused for ever, and the endpoint would never return.
        let up = matches!(outcome, Outcome::Ok | Outcome::Refused(_));
        match e.health {
            Health::HalfOpen if up => e.health = Health::Ejected { trial_at: now, probed: true },
            Health::HalfOpen => self.eject(now, id, actions),
            _ => {}
        }
    }

    /// Probes the ejected endpoints whose trial is due, where probes are permitted: a probe risks no message
    /// and no retry token. Only destinations with held messages are probed.
    pub(super) fn send_probes(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.limits.probes {
            return;
        }
        let wanted: BTreeSet<_> = self.messages.values().map(|h| h.message.destination).collect();
        let routes = wanted.iter().flat_map(|d| self.routes_of(*d)).filter(|r| r.wait_until <= now);
        let ids = routes.flat_map(|r| r.endpoints.iter().copied()).filter(|id| self.trial_due(now, *id, now));
        for id in ids.collect::<Vec<_>>() {
            let Some(e) = self.endpoints.get_mut(&id).filter(|e| e.listed == ListingState::Ready) else {
                continue;
            };
            if matches!(e.health, Health::Ejected { trial_at, probed: false } if trial_at <= now) {
                (e.health, e.last_trial_at) = (Health::HalfOpen, now);
                self.routes.entry(e.route).or_default().send_rate.record_call(now, now);
                actions.push(Action::Probe(id));
            }
        }
    }
}
