//! Slow start: how endpoints that return from an outage are loaded again, and how peers hear of the return.

use super::*;

/// Fraction of what a cold destination bears that all senders together use.
const SLOW_START_SAFETY: f64 = 0.7;
/// A return found by a trial is assumed to have happened this fraction of the outage before it.
const ASSUMED_RETURN_FRACTION: f64 = 0.5;
/// Shortest interval between notes about one endpoint.
pub(super) const MIN_NOTE_INTERVAL: Micros = Micros(5_000_000);
/// Weight of each further message of a bundle, in calls.
pub(super) const BUNDLED_MESSAGE_WEIGHT: f64 = 0.25;

impl Sender {
    /// Handles a peer's note that an endpoint has answered. Where each sender has few messages, each would
    /// learn of a return only by its own trial, minutes apart. A note only begins the slow start; a wrong one
    /// has no effect beyond the first call that fails.
    pub(super) fn receive_note(&mut self, now: Micros, bytes: &[u8]) {
        let Some(id) = EndpointId::from_bytes(bytes) else { return };
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.last_note_at = now;
        if matches!(e.health, Health::Ejected { .. }) {
            self.begin_slow_start(now, id);
        }
    }

    /// Begins the slow start of an endpoint and of its ejected siblings.
    pub(super) fn begin_slow_start(&mut self, now: Micros, id: EndpointId) {
        let outage = self.endpoints.get(&id).map_or(Micros(0), |e| e.last_trial_at - e.ejected_at);
        self.outage_changes += 1;
        let assumed_age = outage.min(self.slow_start_duration()).scale(ASSUMED_RETURN_FRACTION);
        self.for_each_sibling(id, |sibling, e| {
            if sibling == id || matches!(e.health, Health::Ejected { .. }) {
                e.start_cold(now);
                (e.health, e.failure_average) = (Health::SlowStart { since: now - assumed_age }, 0.0);
            }
        });
    }

    /// Handles that peers were answered by an endpoint, either since it failed for this sender or, if it
    /// never did, after it was out for them alone.
    pub(crate) fn peers_report_recovery(&mut self, now: Micros, id: EndpointId) {
        match self.endpoints.get_mut(&id) {
            Some(e) if matches!(e.health, Health::Ejected { .. }) => self.begin_slow_start(now, id),
            Some(e) if e.health == Health::Healthy => e.start_cold(now),
            _ => {}
        }
    }

    /// Whether the endpoint may be sent a call now, by its health.
    pub(super) fn is_usable(&self, now: Micros, id: EndpointId, e: &Endpoint) -> bool {
        match e.health {
            Health::Healthy => !self.beliefs.as_ref().is_some_and(|b| b.excludes(now, id)),
            Health::HalfOpen => false,
            Health::Ejected { trial_at, probed } => {
                self.trial_due(now, id, trial_at) && (probed || !self.settings.limits.probes)
            }
            Health::SlowStart { since } => {
                e.is_warm(now, since, self.slow_start_duration()) || self.current_credit(now, id, e) >= 1.0
            }
        }
    }

    /// Credit of an endpoint in slow start, in calls; at most one call is saved up.
    pub(super) fn current_credit(&self, now: Micros, id: EndpointId, e: &Endpoint) -> f64 {
        let (since, credit) = e.credit;
        let mean_rate = (self.slow_start_rate(since, id) + self.slow_start_rate(now, id)) / 2.0;
        (credit + mean_rate * (now - since).secs()).min(1.0)
    }

    /// This sender's part of what an endpoint bears in slow start, in calls a second. A destination that
    /// returns from an outage falls over when it is overloaded.
    ///
    /// The part is this sender's share of a known limit or, if that is more and no share is leased, its own
    /// demand. The demands of all senders add up to the whole, while the even shares of hundreds of senders
    /// give each one call in a time longer than a message lives.
    pub(super) fn slow_start_rate(&self, now: Micros, id: EndpointId) -> f64 {
        let rules = &self.settings.rules;
        let (Some(share), Some(factor)) = (rules.cold_share, rules.overload_factor) else { return f64::MAX };
        let Some(e) = self.endpoints.get(&id) else { return f64::MAX };
        let Some(route) = self.routes.get(&e.route) else { return f64::MAX };
        let progress = match e.health {
            Health::SlowStart { since } => (now - since).secs() / self.slow_start_duration().secs().max(1e-6),
            _ => 0.0,
        };
        let ready =
            |id: &&EndpointId| self.endpoints.get(id).is_some_and(|e| e.listed == ListingState::Ready);
        let endpoints = route.endpoints.iter().filter(ready).count().max(1) as f64;
        let demand = demand_rate(&self.destinations, now, e.route.0, DEMAND_WINDOW);
        let rate = &route.send_rate;
        let own = if rate.leased_fraction.is_some() { rate.own_share } else { rate.own_share.max(demand) };
        let capacity = share + (1.0 - share) * progress.min(1.0);
        SLOW_START_SAFETY * factor * capacity * own / endpoints
    }

    /// Most messages that one call to the endpoint may carry.
    pub(super) fn bundle_limit(&self, now: Micros, id: EndpointId, e: &Endpoint) -> u32 {
        let max = self.settings.kinds.get(usize::from(e.kind.0)).map_or(1, |k| k.max_batch_size);
        match e.health {
            Health::Healthy => max,
            Health::SlowStart { .. } => {
                let span = self.settings.rules.tip_after.unwrap_or_default().secs();
                let further = (self.slow_start_rate(now, id) * span - 1.0) / BUNDLED_MESSAGE_WEIGHT;
                max.min((further.max(0.0) as u32).saturating_add(1))
            }
            _ => 1,
        }
    }
}
