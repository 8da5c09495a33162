//! Settings of all that couriers share.

use crate::api::Micros;
use crate::shared::{counts, health, lease};

/// Which topics are shared and used in decisions; a topic that is not published here is not used here either.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedTopics {
    /// Limits of destinations, as leases.
    pub limits: bool,
    /// Tenants' traffic against their quotas.
    pub tenants: bool,
    /// The health of endpoints.
    pub endpoints: bool,
}

impl SharedTopics {
    /// All topics.
    pub const ALL: SharedTopics = SharedTopics { limits: true, tenants: true, endpoints: true };
}

/// Settings of all that is shared.
#[derive(Debug, Clone)]
pub struct SharingSettings {
    /// Which topics are shared at all.
    pub topics: SharedTopics,
    /// For each destination's limit.
    pub lease: lease::LeaseSettings,
    /// For the counts.
    pub counts: counts::CountSettings,
    /// For the health of endpoints.
    pub health: health::HealthSettings,
}

impl SharingSettings {
    /// For exactly `n` couriers. With more couriers, messages to all are published less often, so that their total cost stays
    /// the same.
    pub fn exactly(n: u32) -> SharingSettings {
        let per_courier = |each: u64| Micros(u64::from(n.max(1)) * each);
        let lease = lease::LeaseSettings {
            loan_term: Micros(1_200_000) + per_courier(100_000),
            ..lease::LeaseSettings::exactly(n)
        };
        let interval = Micros(500_000).max(per_courier(50_000));
        let counts = counts::CountSettings {
            publish_interval: interval,
            rate_window: Micros(10_000_000),
            fresh_for: interval.scale(5.0),
            half_life: interval.scale(5.0),
            max_age: interval.scale(5.0),
            ..counts::CountSettings::for_members(n)
        };
        SharingSettings {
            topics: SharedTopics::ALL,
            lease,
            counts,
            health: health::HealthSettings::default(),
        }
    }
}
