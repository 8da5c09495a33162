//! Exchange of shared state between a sender and its peers: the facts that it publishes and the merged beliefs that it
//! receives. This module makes no decisions: `src/policy/` decides what to do with a leased share or a peer's observation.

use crate::api::*;
use crate::shared::health::Observation;
use crate::shared::sharing::{numeric_name, DestinationFacts, EndpointFacts, Facts, FleetView};
use crate::state::*;
use std::sync::Arc;

/// The window over which demand is measured.
const DEMAND_WINDOW: Micros = Micros(10_000_000);
/// A shorter window, used instead when demand in it has risen by more than random variation.
const RECENT_DEMAND_WINDOW: Micros = Micros(2_000_000);
/// How many standard deviations count as random variation.
const RISE_DEVIATIONS: f64 = 3.0;
/// The share of the waiting messages that is added to demand, per second.
const BACKLOG_DRAIN_SHARE_PER_S: f64 = 0.1;

impl Sender {
    /// This sender's own observations. They contain nothing that was received from peers.
    pub fn facts(&self, now: Micros) -> Facts {
        let tenant_counts = self.settings.tenants.iter().zip(&self.tenant_demand_counts).enumerate();
        let tenants = tenant_counts.filter(|(_, (t, _))| t.quota_per_s.is_some_and(|q| q > 0.0));
        let destinations = self.routes.iter().filter(|((_, apart), _)| apart.is_none());
        let waiting = self.waiting_by_destination();
        let facts_of = |((id, _), route): (&RouteId, &Route)| {
            self.destination_facts(now, *id, route, waiting.get(id).copied().unwrap_or(0))
        };
        Facts {
            at: now,
            tenants: tenants.map(|(i, (_, asked))| (i as u16, *asked)).collect(),
            destinations: destinations.map(facts_of).collect(),
            endpoints: self.endpoints.iter().map(|(id, e)| endpoint_facts(now, *id, e)).collect(),
            excluded: Arc::default(),
        }
    }

    fn destination_facts(
        &self, now: Micros, id: DestinationId, route: &Route, waiting: usize,
    ) -> DestinationFacts {
        let rate_over = |window| demand_rate(&self.destinations, now, id, window);
        let (average, recent) = (rate_over(DEMAND_WINDOW), rate_over(RECENT_DEMAND_WINDOW));
        // With few messages, random variation alone can double the count of the short window, and the shares would
        // oscillate with it.
        let variation = RISE_DEVIATIONS * (average / RECENT_DEMAND_WINDOW.secs()).sqrt();
        let rate = if recent > average + variation { recent } else { average };
        let last_submitted = self.destinations.get(&id).and_then(|d| d.recent_demand.back());
        let has_demand = last_submitted.is_some_and(|at| *at + DEMAND_WINDOW > now);
        let demand = if has_demand { rate } else { 0.0 } + waiting as f64 * BACKLOG_DRAIN_SHARE_PER_S;
        let SendRate { limit, calls_sent, calls_refused, .. } = route.send_rate;
        let handed_in = self.destinations.get(&id).map_or((0, 0), |d| d.handed_in);
        DestinationFacts { dest: id.0, handed_in, demand, limit, calls_sent, calls_refused }
    }

    /// Applies the merged view of all couriers.
    pub fn apply_beliefs(&mut self, now: Micros, beliefs: Arc<FleetView>) {
        let recovered: Vec<_> =
            beliefs.endpoints.keys().copied().filter(|id| beliefs.has_recovered(now, *id)).collect();
        recovered.into_iter().for_each(|id| self.peers_report_recovery(now, id));
        self.beliefs = Some(beliefs);
        self.lease_update_at = Some(now);
    }

    /// Applies the leased shares of rate limits that are in effect at `now`. They change over time even if no new beliefs arrive.
    pub(crate) fn refresh_leased_shares(&mut self, now: Micros) {
        let Some(beliefs) =
            self.beliefs.as_ref().filter(|_| self.lease_update_at.is_some_and(|at| at <= now))
        else {
            return;
        };
        for ((dest, apart), route) in &mut self.routes {
            if apart.is_none() {
                route.send_rate.set_lease(now, beliefs.destination_share(now, dest.0), self.settings.senders);
            }
        }
        self.lease_update_at = beliefs.next_share_change(now);
    }
}

/// This sender's own observation of an endpoint, by the outcomes of its own calls.
fn endpoint_facts(now: Micros, id: EndpointId, e: &Endpoint) -> EndpointFacts {
    let recently_served = e.last_ok > Micros(0) && e.last_ok + DEMAND_WINDOW > now;
    let (observation, observed_at) = match e.health {
        // An endpoint that was ejected with a sibling, or reopened on a peer's report, was not observed by this sender.
        Health::Ejected { .. } | Health::HalfOpen => {
            ((e.failure_average > 0.0).then_some(Observation::Out), e.ejected_at)
        }
        Health::SlowStart { .. } => {
            ((recently_served && e.last_ok >= e.ejected_at).then_some(Observation::Cold), e.last_ok)
        }
        Health::Healthy => (recently_served.then_some(Observation::Served), e.last_ok),
    };
    let retry_at = match e.health {
        Health::Ejected { trial_at, .. } => trial_at,
        _ => now,
    };
    EndpointFacts {
        id,
        name: numeric_name(&id.bytes()),
        observation,
        observed_at,
        retry_at,
        probed_at: e.last_trial_at,
    }
}
