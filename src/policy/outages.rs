//! What a life knows of endpoints that are out, or cold after an outage, for the next one.

use super::*;

impl Sender {
    /// Endpoints that are out or cold, as far as this life has found.
    pub(crate) fn outages(&self, now: Micros) -> Vec<(EndpointId, Outage)> {
        let of = |(id, e): (&EndpointId, &Endpoint)| match e.health {
            Health::Up => None,
            Health::Out { .. } | Health::HalfOpen => Some((*id, Outage::Out)),
            Health::Ramp { since } if e.is_warm(now, since, self.cold()) => None,
            Health::Ramp { since } => Some((*id, Outage::Cold { since, back_by: e.back_by })),
        };
        self.endpoints.iter().filter_map(of).collect()
    }

    /// A former life found this endpoint out or cold; it holds once the endpoint is listed. `per_s` is what
    /// was handed in for its destination then: this sender's part of what a cold one bears goes by that.
    pub(crate) fn was_out(&mut self, id: EndpointId, outage: Outage, per_s: f64) {
        self.remembered.insert(id, (outage, per_s));
    }

    /// Danger: to a life that knows nothing of an outage all that piled up goes out at once, and of all that
    /// were killed together.
    pub(super) fn recollect(&mut self, now: Micros, id: EndpointId) {
        let Some((outage, per_s)) = self.remembered.remove(&id) else { return };
        let Some(route_id) = self.endpoints.get(&id).map(|e| e.route) else { return };
        self.routes.entry(route_id).or_default().out_until = now + OUT_MEMORY;
        let asked = &mut self.destinations.entry(route_id.0).or_default().asked;
        // What was resumed was asked before, and is counted in the demand of that time.
        asked.clear();
        let count = (per_s * DEPOSIT_LIFE.secs()).min(ASKED_MOST) as u64;
        asked.extend((0..count).map(|n| now - DEPOSIT_LIFE.scale((count - n) as f64 / count as f64)));
        match outage {
            Outage::Out => {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    (e.health, e.out_at) = (Health::Out { trial_at: now, probed: false }, now);
                }
                // The couriers that were killed together do not all try at once.
                let phase = self.trial_pause(now, id).scale(uniform(&mut self.rng));
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.health = Health::Out { trial_at: now + phase, probed: false };
                }
            }
            Outage::Cold { since, back_by } => {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.start_cold(now);
                    (e.health, e.back_by) = (Health::Ramp { since }, back_by);
                }
            }
        }
    }
}

/// What is made up of a former life's demand for one destination, in messages.
const ASKED_MOST: f64 = 10_000.0;
