//! What one process run passes to the next about endpoints that are out, or in slow start after an outage.

use super::*;

/// Most messages of demand that are assumed for one destination from an earlier process run's rate.
const MAX_ASSUMED_DEMAND_MESSAGES: f64 = 10_000.0;

impl Sender {
    /// Endpoints that are out or in slow start, as far as this process run has found.
    pub(crate) fn outages(&self, now: Micros) -> Vec<(EndpointId, Outage)> {
        let outage_of = |(id, e): (&EndpointId, &Endpoint)| match e.health {
            Health::Healthy => None,
            Health::Ejected { .. } | Health::HalfOpen => Some((*id, Outage::Out)),
            Health::SlowStart { since } if e.is_warm(now, since, self.slow_start_duration()) => None,
            Health::SlowStart { since } => Some((*id, Outage::Cold { since, back_by: e.latest_return_at })),
        };
        self.endpoints.iter().filter_map(outage_of).collect()
    }

    /// Notes an outage that an earlier process run found; it applies once the endpoint is listed. `per_s` is
    /// the demand for the endpoint's destination then, which determines this sender's part of the slow start
    /// rate.
    pub(crate) fn record_earlier_outage(&mut self, id: EndpointId, outage: Outage, per_s: f64) {
        self.earlier_outages.insert(id, (outage, per_s));
    }

    /// Applies an outage that an earlier process run found. A process that knew nothing of the outage would
    /// send the whole backlog at once, and so would all others that were killed together with it.
    pub(super) fn apply_earlier_outage(&mut self, now: Micros, id: EndpointId) {
        let Some((outage, per_s)) = self.earlier_outages.remove(&id) else { return };
        let Some(route_id) = self.endpoints.get(&id).map(|e| e.route) else { return };
        self.routes.entry(route_id).or_default().recent_outage_until = now + OUTAGE_MEMORY;
        let recent_demand = &mut self.destinations.entry(route_id.0).or_default().recent_demand;
        // Resumed messages were handed in earlier, and the demand of that time already includes them.
        recent_demand.clear();
        let count = (per_s * DEMAND_WINDOW.secs()).min(MAX_ASSUMED_DEMAND_MESSAGES) as u64;
        let age = |n| DEMAND_WINDOW.scale((count - n) as f64 / count as f64);
        recent_demand.extend((0..count).map(|n| now - age(n)));
        match outage {
            Outage::Out => {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    (e.health, e.ejected_at) = (Health::Ejected { trial_at: now, probed: false }, now);
                }
                // The random phase keeps couriers that were killed together from all sending a trial at once.
                let phase = self.trial_interval(now, id).scale(uniform(&mut self.rng));
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.health = Health::Ejected { trial_at: now + phase, probed: false };
                }
            }
            Outage::Cold { since, back_by } => {
                if let Some(e) = self.endpoints.get_mut(&id) {
                    e.start_cold(now);
                    (e.health, e.latest_return_at) = (Health::SlowStart { since }, back_by);
                }
            }
        }
    }
}
