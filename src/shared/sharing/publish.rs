//! Publishes the fleet view, for the core and for operators.

use super::view::{EndpointView, FleetView, TenantView};
use super::Sharing;
use crate::api::Micros;
use crate::peers::Peers;
use crate::shared::counts::CounterKey;
use crate::shared::health::{Belief, ProbeTurn};
use crate::shared::lease::LIMIT_UNITS;
use crate::shared::Member;

/// Total demand in units up to which a limit has spare capacity.
const SPARE_BELOW_UNITS: u64 = LIMIT_UNITS as u64 / 100 * 85;
/// How long spare capacity may be used after it was published.
const SPARE_CAPACITY_VALIDITY: Micros = Micros(1_000_000);
/// There is no spare capacity for this time after a call was refused.
const SPARE_CAPACITY_BACKOFF: Micros = Micros(5_000_000);
/// How long assessments of endpoints are used after they were published.
const ENDPOINT_VALIDITY: Micros = Micros(2_000_000);

impl Sharing {
    pub(super) fn publish_view(&self, now: Micros, peers: &Peers) {
        let members = self.settings.lease.max_couriers;
        let settings = &self.settings.counts;
        let topics = self.settings.topics;
        let tenants = self.facts.tenants.iter().filter(|_| topics.tenants).filter_map(|(tenant, _)| {
            let key = CounterKey::Tenant(*tenant);
            let (requested, _) = self.counts.rate(now, key);
            let known = requested.coverage >= settings.min_coverage && requested.age <= settings.max_age;
            let own = self.counts.own_rate(key).0;
            let fleet = (requested.value / requested.coverage).max(own);
            let until = now + (settings.max_age - requested.age);
            let view = TenantView { own, fleet, age: requested.age, coverage: requested.coverage, until };
            known.then_some((*tenant, view))
        });
        let present: Vec<Member> = peers.alive_members(now).map(|m| Member(u32::from(m))).collect();
        let endpoints = self.facts.endpoints.iter().filter(|_| topics.endpoints).filter_map(|e| {
            let assessment = self.health.assess(now, e.name);
            let probe_at = match self.health.probe_turn(now, e.name, &present) {
                ProbeTurn::Mine => Some(now),
                ProbeTurn::NotBefore(at) => Some(at),
                ProbeTurn::None => None,
            };
            let relevant = assessment.belief != Belief::Free || probe_at.is_some();
            relevant.then_some((e.id, EndpointView { assessment, probe_at, until: now + ENDPOINT_VALIDITY }))
        });
        let all_present = present.len() + 1 >= members as usize;
        let spare_capacity = self.leases.iter().filter_map(|(dest, lease)| {
            let (total, own) = lease.total_and_own_demand();
            let unrefused =
                self.last_refused_at.get(dest).is_none_or(|at| *at + SPARE_CAPACITY_BACKOFF < now);
            let free = SPARE_BELOW_UNITS.checked_sub(total).filter(|_| all_present && unrefused)?;
            // Each courier gets only a part of what is free: if each used all of it, a moment of waiting messages everywhere
            // would exceed the destination's limit, and it would take long to recover.
            let units = u64::from(own) * 2 + free * 2 / u64::from(members.max(1));
            Some((*dest, (units.min(SPARE_BELOW_UNITS) as u32, now + SPARE_CAPACITY_VALIDITY)))
        });
        self.exchange.publish_view(FleetView {
            spare_capacity: spare_capacity.collect(),
            at: now,
            members,
            tenants: tenants.collect(),
            leases: self.leases.iter().map(|(dest, lease)| (*dest, lease.schedule(now))).collect(),
            endpoints: endpoints.collect(),
        });
    }

    /// Implements [`crate::peers::payload::GossipPayload::figures`].
    pub(super) fn operator_figures(&self, now: Micros) -> serde_json::Value {
        let Some(view) = self.exchange.view() else { return serde_json::json!({}) };
        let millis = |time: Micros| time.0 / 1_000;
        let tenants = view.tenants.iter().map(|(tenant, of)| {
            serde_json::json!({
                "tenant": tenant, "own_per_s": of.own, "fleet_per_s": of.fleet,
                "age_ms": millis(of.age + (now - view.at)), "coverage": of.coverage,
            })
        });
        let budgets = view.leases.keys().map(
            |dest| serde_json::json!({ "destination": dest, "share": view.destination_share(now, *dest) }),
        );
        let endpoints = view.endpoints.iter().map(|(id, of)| {
            serde_json::json!({
                "endpoint": id.to_string(), "belief": format!("{:?}", of.assessment.belief),
                "basis": format!("{:?}", of.assessment.basis),
                "age_ms": millis(of.assessment.age + (now - view.at)),
            })
        });
        serde_json::json!({
            "age_ms": millis(now - view.at),
            "facts_age_ms": millis(now - self.facts.at),
            "tenants": tenants.collect::<Vec<_>>(),
            "budgets": budgets.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
            "banned": self.facts.excluded.len(),
            "dropped": self.dropped,
        })
    }
}
