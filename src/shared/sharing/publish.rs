//! What is believed, for the core and for operators.

use super::beliefs::{Beliefs, OfEndpoint as EndpointBelief, OfTenant};
use super::Sharing;
use crate::api::Micros;
use crate::peers::Peers;
use crate::shared::counts::CounterKey;
use crate::shared::judgement::{Belief, Trial};
use crate::shared::lease::LIMIT_UNITS;
use crate::shared::Member;

/// Units of a limit up to which it is not full; and how long that holds after it was published.
const FILLED: u64 = LIMIT_UNITS as u64 / 100 * 85;
const ROOM: Micros = Micros(1_000_000);
/// Nor where a call was turned away so lately.
const CALM: Micros = Micros(5_000_000);
/// Judgements count for nothing so long after they were published.
const JUDGED: Micros = Micros(2_000_000);

impl Sharing {
    pub(super) fn publish(&self, now: Micros, peers: &Peers) {
        let members = self.terms.lease.max_couriers;
        let terms = &self.terms.counts;
        let matters = self.terms.matters;
        let tenants = self.facts.tenants.iter().filter(|_| matters.tenants).filter_map(|(tenant, _)| {
            let what = CounterKey::Tenant(*tenant);
            let (asked, _) = self.counts.rate(now, what);
            let known = asked.coverage >= terms.min_coverage && asked.age <= terms.max_age;
            let own = self.counts.own_rate(what).0;
            let fleet = (asked.value / asked.coverage).max(own);
            let until = now + (terms.max_age - asked.age);
            let of = OfTenant { own, fleet, age: asked.age, coverage: asked.coverage, until };
            known.then_some((*tenant, of))
        });
        let here: Vec<Member> = peers.alive_members(now).map(|m| Member(u32::from(m))).collect();
        let endpoints = self.facts.endpoints.iter().filter(|_| matters.endpoints).filter_map(|e| {
            let judged = self.judgements.judge(now, e.name);
            let trial = match self.judgements.trial(now, e.name, &here) {
                Trial::Mine => Some(now),
                Trial::NotBefore(at) => Some(at),
                Trial::None => None,
            };
            let says = judged.belief != Belief::Free || trial.is_some();
            says.then_some((e.at, EndpointBelief { judged, trial, until: now + JUDGED }))
        });
        let whole = here.len() + 1 >= members as usize;
        let room = self.leases.iter().filter_map(|(dest, lease)| {
            let (all, own) = lease.total_and_own_demand();
            let calm = self.turned_away.get(dest).is_none_or(|at| *at + CALM < now);
            let free = FILLED.checked_sub(all).filter(|_| whole && calm)?;
            // Danger: if each took all that is free, a moment's waiting in all would put the destination in debt for long.
            let units = u64::from(own) * 2 + free * 2 / u64::from(members.max(1));
            Some((*dest, (units.min(FILLED) as u32, now + ROOM)))
        });
        self.desk.believe(Beliefs {
            room: room.collect(),
            at: now,
            members,
            tenants: tenants.collect(),
            budgets: self.leases.iter().map(|(dest, lease)| (*dest, lease.schedule(now))).collect(),
            endpoints: endpoints.collect(),
        });
    }

    /// As [`crate::peers::payload::GossipPayload::figures`].
    pub(super) fn told_operators(&self, now: Micros) -> serde_json::Value {
        let Some(beliefs) = self.desk.beliefs() else { return serde_json::json!({}) };
        let ms = |time: Micros| time.0 / 1_000;
        let tenants = beliefs.tenants.iter().map(|(t, of)| {
            serde_json::json!({
                "tenant": t, "own_per_s": of.own, "fleet_per_s": of.fleet,
                "age_ms": ms(of.age + (now - beliefs.at)), "coverage": of.coverage,
            })
        });
        let budgets = beliefs
            .budgets
            .keys()
            .map(|dest| serde_json::json!({ "destination": dest, "share": beliefs.share_of(now, *dest) }));
        let endpoints = beliefs.endpoints.iter().map(|(id, of)| {
            serde_json::json!({
                "endpoint": id.to_string(), "belief": format!("{:?}", of.judged.belief),
                "basis": format!("{:?}", of.judged.basis), "age_ms": ms(of.judged.age + (now - beliefs.at)),
            })
        });
        serde_json::json!({
            "age_ms": ms(now - beliefs.at),
            "facts_age_ms": ms(now - self.facts.at),
            "tenants": tenants.collect::<Vec<_>>(),
            "budgets": budgets.collect::<Vec<_>>(),
            "endpoints": endpoints.collect::<Vec<_>>(),
            "banned": self.facts.banned.len(),
            "dropped": self.dropped,
        })
    }
}
