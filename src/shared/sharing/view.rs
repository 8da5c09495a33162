//! A courier's view of its fleet, with absolute end times: the reader passes the current time, and what has expired is ignored.

use crate::api::{EndpointId, Micros, TenantId};
use crate::shared::health::{Assessment, Belief};
use crate::shared::lease::LIMIT_UNITS;
use std::collections::BTreeMap;

/// If the fleet has used up a quota, a courier's share of it is at least this fraction of the even share.
const MIN_TENANT_SHARE: f64 = 0.25;

/// A tenant's traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TenantView {
    /// Messages per second at this courier.
    pub own: f64,
    /// Messages per second at the whole fleet, scaled up by coverage; at least `own`.
    pub fleet: f64,
    /// Age of the oldest contribution when the view was published.
    pub age: Micros,
    /// Fraction of the fleet that contributes.
    pub coverage: f64,
    /// Ignored from then on.
    pub until: Micros,
}

/// The health of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointView {
    /// The assessment, its source and its age.
    pub assessment: Assessment,
    /// If the endpoint is out here: this courier must not probe it before that.
    pub probe_at: Option<Micros>,
    /// Ignored from then on.
    pub until: Micros,
}

/// Everything that the couriers share, at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetView {
    /// When it was published.
    pub at: Micros,
    /// Number of couriers in the fleet.
    pub members: u32,
    /// By tenant, for those whose quota is shared.
    pub tenants: BTreeMap<u16, TenantView>,
    /// By destination: units in force from a moment on, as long as nothing more is received. The lists are never empty.
    pub leases: BTreeMap<u16, Vec<(Micros, u32)>>,
    /// By destination, while all members are present and their total demand is below the limit: units that this courier may
    /// use, from its own demand and what is free, and when that ends.
    pub spare_capacity: BTreeMap<u16, (u32, Micros)>,
    /// By endpoint, under this courier's identifier for it.
    pub endpoints: BTreeMap<EndpointId, EndpointView>,
}

impl FleetView {
    /// Messages per second of this tenant that are within its quota here; `None` if nothing recent is known.
    pub fn tenant_share(&self, now: Micros, tenant: TenantId, quota: f64) -> Option<f64> {
        let known = self.tenants.get(&tenant.0).filter(|t| now < t.until)?;
        let even_share = quota / f64::from(self.members.max(1));
        // Shares are proportional to traffic, so that they add up to the quota. The lower bound is needed where no traffic came
        // lately: with a share of zero, the first message would exceed it.
        let least = if known.fleet <= quota { even_share } else { even_share * MIN_TENANT_SHARE };
        Some((quota * known.own / known.fleet.max(1e-9)).max(least))
    }

    /// The fraction of a destination's limit that this courier may use at this moment; `None` if the limit is not shared.
    pub fn destination_share(&self, now: Micros, dest: u16) -> Option<f64> {
        let steps = self.leases.get(&dest)?;
        let (_, units) = steps.iter().rev().find(|(from, _)| *from <= now).or(steps.first())?;
        // If the limit is not used up, fixed shares would hold messages back at one courier while the shares of others are
        // idle; where each courier has about a message per second, many would be late. So free capacity belongs to nobody.
        let spare =
            self.spare_capacity.get(&dest).filter(|(_, until)| now < *until).map_or(0, |(units, _)| *units);
        Some(f64::from(spare.max(*units)) / f64::from(LIMIT_UNITS))
    }

    /// When [`FleetView::destination_share`] next changes for any destination.
    pub fn next_share_change(&self, now: Micros) -> Option<Micros> {
        let steps = self.leases.values().flatten().map(|(from, _)| *from);
        steps.chain(self.spare_capacity.values().map(|(_, until)| *until)).filter(|from| *from > now).min()
    }

    fn endpoint(&self, now: Micros, id: EndpointId) -> Option<&EndpointView> {
        self.endpoints.get(&id).filter(|e| now < e.until)
    }

    /// Whether the assessment keeps new messages from being sent to this endpoint.
    pub fn excludes(&self, now: Micros, id: EndpointId) -> bool {
        let belief = self.endpoint(now, id).map(|e| e.assessment.belief);
        match belief {
            Some(Belief::Out | Belief::Banned) => true,
            Some(Belief::Shut(until)) => now < until,
            _ => false,
        }
    }

    /// Whether the endpoint has answered a peer since it failed here.
    pub fn has_recovered(&self, now: Micros, id: EndpointId) -> bool {
        self.endpoint(now, id).is_some_and(|e| e.assessment.belief == Belief::Cold)
    }

    /// Whether it is this courier's turn to probe an endpoint that is out here; `None` if no turns are known.
    pub fn may_probe(&self, now: Micros, id: EndpointId) -> Option<bool> {
        let probe_at = self.endpoint(now, id)?.probe_at?;
        Some(probe_at <= now)
    }
}
