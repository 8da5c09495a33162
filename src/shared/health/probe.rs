//! Decides which courier probes an endpoint that is out, so that one of the fleet probes instead of each.

use super::{Belief, Member, Observation, Override, SharedHealth};
use crate::Micros;

/// Whether this courier should probe an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeTurn {
    /// It should, now; [`SharedHealth::begin_probe`] announces it.
    Mine,
    /// Not before then, provided that nothing is received until then.
    NotBefore(Micros),
    /// There is nothing to probe: the endpoint is not out, or is excluded.
    None,
}

impl SharedHealth {
    /// Whether it is this courier's turn to probe. `present` are the members that the gossip layer considers alive.
    ///
    /// The couriers that observed the endpoint to be out are ordered in a way that all compute alike: by number of probes,
    /// then by a hash of endpoint and member. The first may probe when the endpoint is due; the courier of rank r, after r
    /// turns in which no courier announced a probe.
    pub fn probe_turn(&self, now: Micros, endpoint: u64, present: &[Member]) -> ProbeTurn {
        let own = self.own.get(&endpoint).filter(|o| o.observation == Observation::Out && now < o.until);
        let belief = self.assess(now, endpoint).belief;
        let Some(own) = own
            .filter(|_| belief == Belief::Out && self.overrides.get(&endpoint) != Some(&Override::Exclude))
        else {
            return ProbeTurn::None;
        };
        let order = |member: Member, probes: u16| (probes, hash(endpoint, member), member);
        let mine = order(self.me, own.probes);
        let candidates = self
            .witnesses(endpoint)
            .filter(|(m, p)| p.observation == Observation::Out && now < p.until && present.contains(m));
        let (mut rank, mut from) = (0u64, own.probe_after);
        for (member, peer) in candidates {
            rank += u64::from(order(*member, peer.probes) < mine);
            // An announced probe starts the turns anew; an old one delays nobody.
            from = from.max(peer.probed_at.map_or(Micros(0), |at| at + self.settings.turn_time));
        }
        from = from.max(own.probed_at.map_or(Micros(0), |at| at + self.settings.turn_time));
        let at = from + Micros(self.settings.turn_time.0.saturating_mul(rank));
        match now >= at {
            true => ProbeTurn::Mine,
            false => ProbeTurn::NotBefore(at),
        }
    }

    /// This courier begins a probe; the next tick announces it. [`SharedHealth::observe`] records its result.
    pub fn begin_probe(&mut self, now: Micros, endpoint: u64) {
        if let Some(own) = self.own.get_mut(&endpoint) {
            own.probed_at = Some(now);
            own.probes = own.probes.saturating_add(1);
            own.published_at = None;
        }
    }
}

/// Rendezvous hashing: the same result at every courier, and another order for each endpoint (the mixing step of splitmix64).
fn hash(endpoint: u64, member: Member) -> u64 {
    let mut x = endpoint ^ u64::from(member.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
