//! How what couriers share goes out of the module and into it. It decides nothing: what is done with a part or a word is in
//! `src/policy/`.

use crate::api::*;
use crate::shared::judgement::Saw;
use crate::shared::sharing::{name, Beliefs, Facts, OfDestination, OfEndpoint};
use crate::state::*;
use std::sync::Arc;

/// Demand is that of the last ten seconds, or of so lately if it has risen by more than chance: so many deviations.
const LATELY: Micros = Micros(2_000_000);
const BY_CHANCE: f64 = 3.0;
/// What waits is wanted beside what comes, this share of it each second.
const OF_WAITING: f64 = 0.1;
const DEMAND_OVER: Micros = Micros(10_000_000);

impl Sender {
    /// What this sender knows of itself. What it was told by others is not in it.
    pub fn facts(&self, now: Micros) -> Facts {
        let quotas = self.settings.tenants.iter().zip(&self.tenant_demand_counts).enumerate();
        let tenants = quotas.filter(|(_, (t, _))| t.quota_per_s.is_some_and(|q| q > 0.0));
        let destinations = self.routes.iter().filter(|((_, apart), _)| apart.is_none());
        let waiting = self.waiting_by_destination();
        let of = |((id, _), route): (&RouteId, &Route)| {
            self.of_destination(now, *id, route, waiting.get(id).copied().unwrap_or(0))
        };
        Facts {
            at: now,
            tenants: tenants.map(|(i, (_, asked))| (i as u16, *asked)).collect(),
            destinations: destinations.map(of).collect(),
            endpoints: self.endpoints.iter().map(|(id, e)| seen(now, *id, e)).collect(),
            banned: Arc::default(),
        }
    }

    fn of_destination(&self, now: Micros, id: DestinationId, route: &Route, waiting: usize) -> OfDestination {
        let lately = |span| demand_rate(&self.destinations, now, id, span);
        let (usual, newest) = (lately(DEMAND_OVER), lately(LATELY));
        // Danger: with few messages, chance alone doubles a short count, and shares would swing with it.
        let chance = BY_CHANCE * (usual / LATELY.secs()).sqrt();
        let rate = if newest > usual + chance { newest } else { usual };
        let asked = self.destinations.get(&id).and_then(|d| d.recent_demand.back());
        let some = asked.is_some_and(|at| *at + DEMAND_OVER > now);
        let demand = if some { rate } else { 0.0 } + waiting as f64 * OF_WAITING;
        let SendRate { limit, calls_sent, calls_refused, .. } = route.send_rate;
        let came = self.destinations.get(&id).map_or((0, 0), |d| d.handed_in);
        OfDestination { dest: id.0, came, demand, limit, called: calls_sent, refused: calls_refused }
    }

    /// What couriers believe together, from now on.
    pub fn apply_beliefs(&mut self, now: Micros, beliefs: Arc<Beliefs>) {
        let back: Vec<_> = beliefs.endpoints.keys().copied().filter(|id| beliefs.back(now, *id)).collect();
        back.into_iter().for_each(|id| self.peers_report_recovery(now, id));
        self.beliefs = Some(beliefs);
        self.lease_update_at = Some(now);
    }

    /// Parts of limits change as time goes on, also where nothing more is heard.
    pub(crate) fn heed(&mut self, now: Micros) {
        let Some(beliefs) =
            self.beliefs.as_ref().filter(|_| self.lease_update_at.is_some_and(|at| at <= now))
        else {
            return;
        };
        for ((dest, apart), route) in &mut self.routes {
            if apart.is_none() {
                route.send_rate.set_lease(now, beliefs.share_of(now, dest.0), self.settings.senders);
            }
        }
        self.lease_update_at = beliefs.next_step(now);
    }
}

/// Own evidence of an endpoint: what its own calls ended with.
fn seen(now: Micros, id: EndpointId, e: &Endpoint) -> OfEndpoint {
    let lately = e.last_ok > Micros(0) && e.last_ok + DEMAND_OVER > now;
    let (saw, at) = match e.health {
        // Danger: what went out with a sibling, or was opened by another's word, was not seen here.
        Health::Ejected { .. } | Health::HalfOpen => {
            ((e.failure_average > 0.0).then_some(Saw::Out), e.ejected_at)
        }
        Health::SlowStart { .. } => ((lately && e.last_ok >= e.ejected_at).then_some(Saw::Cold), e.last_ok),
        Health::Healthy => (lately.then_some(Saw::Served), e.last_ok),
    };
    let retry = match e.health {
        Health::Ejected { trial_at, .. } => trial_at,
        _ => now,
    };
    OfEndpoint { at: id, name: name(&id.bytes()), saw, seen: at, retry, tried: e.last_trial_at }
}
