//! How what returns from an outage is loaded again, and who is told.

use super::*;

const COLD_SAFETY: f64 = 0.7; // share that the senders together take of what a cold destination bears
const RETURN_SINCE: f64 = 0.5; // a return found by a trial was half-way back to the last failure
pub(super) const NOTE_APART: Micros = Micros(5_000_000); // between notes about one endpoint
pub(super) const BUNDLE_ITEM: f64 = 0.25; // weight of each further message of a bundle, in calls

impl Sender {
    /// Danger: with few messages each, senders would learn of a return by one trial each, minutes apart. A
    /// note of one that has answered only opens the ramp; a wrong one ends with the first call to fail.
    pub(super) fn noted(&mut self, now: Micros, bytes: &[u8]) {
        let Some(id) = EndpointId::from_bytes(bytes) else { return };
        let Some(e) = self.endpoints.get_mut(&id) else { return };
        e.noted = now;
        if matches!(e.health, Health::Out { .. }) {
            self.back(now, id);
        }
    }

    pub(super) fn back(&mut self, now: Micros, id: EndpointId) {
        let out_for = self.endpoints.get(&id).map_or(Micros(0), |e| e.tried_at - e.out_at);
        self.outage_changes += 1;
        let half = out_for.min(self.cold()).scale(RETURN_SINCE);
        self.each_sibling(id, |sibling, e| {
            if sibling == id || matches!(e.health, Health::Out { .. }) {
                e.start_cold(now);
                (e.health, e.trouble) = (Health::Ramp { since: now - half }, 0.0);
            }
        });
    }

    /// Others were answered there: since it failed here, or since it was out for them alone.
    pub(crate) fn heard_back(&mut self, now: Micros, id: EndpointId) {
        match self.endpoints.get_mut(&id) {
            Some(e) if matches!(e.health, Health::Out { .. }) => self.back(now, id),
            Some(e) if e.health == Health::Up => e.start_cold(now),
            _ => {}
        }
    }

    pub(super) fn usable(&self, now: Micros, id: EndpointId, e: &Endpoint) -> bool {
        match e.health {
            Health::Up => !self.beliefs.as_ref().is_some_and(|b| b.keeps_from(now, id)),
            Health::HalfOpen => false,
            Health::Out { trial_at, probed } => {
                self.tries(now, id, trial_at) && (probed || !self.set.limits.probes)
            }
            Health::Ramp { since } => e.is_warm(now, since, self.cold()) || self.credit(now, id, e) >= 1.0,
        }
    }

    /// Credit of a cold endpoint; at most one call is saved up.
    pub(super) fn credit(&self, now: Micros, id: EndpointId, e: &Endpoint) -> f64 {
        let mean_rate = (self.cold_rate(e.credit.0, id) + self.cold_rate(now, id)) / 2.0;
        (e.credit.1 + mean_rate * (now - e.credit.0).secs()).min(1.0)
    }

    /// Danger: a destination back from an outage falls over when pushed. This sender's part of what a cold
    /// endpoint bears, in calls a second: the even one of a known limit, or what is handed in here: all
    /// demands make up the whole, while even parts of hundreds are longer apart than a message lives.
    pub(super) fn cold_rate(&self, now: Micros, id: EndpointId) -> f64 {
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
        let own = own_rate(&self.destinations, now, e.route.0, DEPOSIT_LIFE);
        let ours = if route.pace.part.is_some() { route.pace.share } else { route.pace.share.max(own) };
        COLD_SAFETY * factor * (share + (1.0 - share) * warm.min(1.0)) * ours / endpoints
    }

    pub(super) fn bundle_max(&self, now: Micros, id: EndpointId, e: &Endpoint) -> u32 {
        let most = self.set.kinds.get(usize::from(e.kind.0)).map_or(1, |k| k.bundle_max);
        match e.health {
            Health::Up => most,
            Health::Ramp { .. } => {
                let span = self.set.rules.tip_after.unwrap_or_default().secs();
                let bears = (self.cold_rate(now, id) * span - 1.0) / BUNDLE_ITEM;
                most.min((bears.max(0.0) as u32).saturating_add(1))
            }
            _ => 1,
        }
    }
}
