//! What a courier believes of what is shared, with absolute ends: who asks says what time it is, and what has ended is no answer.

use crate::api::{EndpointId, Micros, TenantId};
use crate::shared::judgement::{Belief, Judged};
use crate::shared::lease::LIMIT_UNITS;
use std::collections::BTreeMap;

/// Below a quota that the fleet has used up, a courier's part is never under this share of the even one.
const LEAST_PART: f64 = 0.25;

/// A tenant's traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OfTenant {
    /// Messages a second at this courier.
    pub own: f64,
    /// At the whole fleet, scaled up by its coverage; never under `own`.
    pub fleet: f64,
    /// Age of the oldest part it rests on, when it was published.
    pub age: Micros,
    /// Share of the fleet that it rests on.
    pub coverage: f64,
    /// It counts for nothing from then on.
    pub until: Micros,
}

/// An endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OfEndpoint {
    /// What is believed, on whose word, and how old that is.
    pub judged: Judged,
    /// Where it is out here: not tried before.
    pub trial: Option<Micros>,
    /// It counts for nothing from then on.
    pub until: Micros,
}

/// All beliefs at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Beliefs {
    /// When they were published.
    pub at: Micros,
    /// Couriers of the fleet.
    pub members: u32,
    /// By tenant, those with a quota that are shared.
    pub tenants: BTreeMap<u16, OfTenant>,
    /// By destination: units in force from a moment on, as long as nothing more is heard. Never empty.
    pub budgets: BTreeMap<u16, Vec<(Micros, u32)>>,
    /// By destination, while all members are here and want less than the limit together: units that this courier may use,
    /// its own want and all that is free; and the end of that.
    pub room: BTreeMap<u16, (u32, Micros)>,
    /// By endpoint, by this courier's number for it.
    pub endpoints: BTreeMap<EndpointId, OfEndpoint>,
}

impl Beliefs {
    /// Messages a second of this tenant's that are within its quota here; `None`: nothing is known that is fresh.
    pub fn part_of(&self, now: Micros, tenant: TenantId, quota: f64) -> Option<f64> {
        let known = self.tenants.get(&tenant.0).filter(|t| now < t.until)?;
        let even = quota / f64::from(self.members.max(1));
        // Parts are as the traffic, so that they add up to the quota. Danger: where nothing came lately, a part of nothing
        // would call the first message one too many.
        let least = if known.fleet <= quota { even } else { even * LEAST_PART };
        Some((quota * known.own / known.fleet.max(1e-9)).max(least))
    }

    /// The part of a destination's limit that this courier may use at this moment; `None`: it is not shared.
    pub fn share_of(&self, now: Micros, dest: u16) -> Option<f64> {
        let steps = self.budgets.get(&dest)?;
        let (_, units) = steps.iter().rev().find(|(from, _)| *from <= now).or(steps.first())?;
        // Danger: parts of a limit that nobody fills keep messages waiting behind a pace of their own, while others' parts lie
        // idle; where each has a message a second, many come too late by that. So what is free is nobody's part.
        let room = self.room.get(&dest).filter(|(_, until)| now < *until).map_or(0, |(units, _)| *units);
        Some(f64::from(room.max(*units)) / f64::from(LIMIT_UNITS))
    }

    /// When [`Beliefs::share_of`] next changes for any destination.
    pub fn next_step(&self, now: Micros) -> Option<Micros> {
        let steps = self.budgets.values().flatten().map(|(from, _)| *from);
        steps.chain(self.room.values().map(|(_, until)| *until)).filter(|from| *from > now).min()
    }

    fn endpoint(&self, now: Micros, id: EndpointId) -> Option<&OfEndpoint> {
        self.endpoints.get(&id).filter(|e| now < e.until)
    }

    /// Whether others' word keeps new work from this endpoint.
    pub fn keeps_from(&self, now: Micros, id: EndpointId) -> bool {
        let belief = self.endpoint(now, id).map(|e| e.judged.belief);
        match belief {
            Some(Belief::Out | Belief::Banned) => true,
            Some(Belief::Shut(until)) => now < until,
            _ => false,
        }
    }

    /// Whether others were answered there since it failed here.
    pub fn back(&self, now: Micros, id: EndpointId) -> bool {
        self.endpoint(now, id).is_some_and(|e| e.judged.belief == Belief::Cold)
    }

    /// Whether it is this courier's turn to try what is out here; `None`: nothing is known of turns.
    pub fn may_try(&self, now: Micros, id: EndpointId) -> Option<bool> {
        let trial = self.endpoint(now, id)?.trial?;
        Some(trial <= now)
    }
}
