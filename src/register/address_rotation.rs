//! Chooses which of several discovery addresses is asked next, and when. No I/O, no clock.
//!
//! The address that answered last stays in use. When it fails, the others are tried in turn, each after a jittered
//! pause that doubles. Once all have failed, the decision module decides when the next round begins; its own waits
//! double and are jittered too. Without the jitter, forty couriers whose watches break in the same instant would all
//! ask the next address in that instant.

use crate::api::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddr;

/// First pause before another address is asked.
const FIRST_PAUSE: Micros = Micros(200_000);
/// Longest such pause.
const MAX_PAUSE: Micros = Micros(2_000_000);
/// Bound on the number of failures that lengthen the pause.
const MAX_COUNTED_FAILURES: usize = 16;

/// Discovery's addresses, and the one in use.
pub struct AddressRotation {
    addrs: Vec<SocketAddr>,
    current: usize,
    /// Addresses that have failed in this round.
    failures: usize,
    rng: Pcg64Mcg,
}

impl AddressRotation {
    /// Starts with the configured address, followed by the extra ones.
    pub fn new(configured: SocketAddr, extra_addrs: &[SocketAddr], seed: u64) -> AddressRotation {
        let mut addrs = vec![configured];
        addrs.extend(extra_addrs.iter().filter(|addr| **addr != configured));
        AddressRotation { addrs, current: 0, failures: 0, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// The address in use.
    pub fn current(&self) -> SocketAddr {
        self.addrs[self.current]
    }

    /// The address that the configuration names.
    pub fn configured(&self) -> SocketAddr {
        self.addrs[0]
    }

    /// The address in use has answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// The address in use has failed, and the next one takes its place. Returns the pause before that is asked, or
    /// `None` if all addresses have failed in this round.
    pub fn record_failure(&mut self) -> Option<Micros> {
        self.failures += 1;
        self.current = (self.current + 1) % self.addrs.len();
        if self.failures >= self.addrs.len() {
            self.failures = 0;
            return None;
        }
        let doublings = self.failures.min(MAX_COUNTED_FAILURES) as i32 - 1;
        let pause = FIRST_PAUSE.scale(2f64.powi(doublings)).min(MAX_PAUSE);
        Some(self.random_within(pause))
    }

    /// The span with jitter: between three quarters and five quarters of it.
    pub fn jittered(&mut self, span: Micros) -> Micros {
        span.scale(0.75 + 0.5 * f64::from(self.rng.next_u32()) / f64::from(u32::MAX))
    }

    /// A time drawn uniformly from zero to this span.
    pub fn random_within(&mut self, span: Micros) -> Micros {
        span.scale(f64::from(self.rng.next_u32()) / f64::from(u32::MAX))
    }

    /// Whether there is no other address to ask.
    pub fn is_only_address(&self) -> bool {
        self.addrs.len() == 1
    }

    /// Replaces the configured address with a new one, which is used at once. `false`: it was the configured address
    /// already.
    pub fn set_configured(&mut self, configured: SocketAddr) -> bool {
        if self.configured() == configured {
            return false;
        }
        self.addrs.retain(|addr| *addr != configured);
        if !self.addrs.is_empty() {
            self.addrs.remove(0);
        }
        self.addrs.insert(0, configured);
        (self.current, self.failures) = (0, 0);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn addr(port: u16) -> SocketAddr {
        ([127, 0, 0, 1], port).into()
    }

    #[test]
    fn addresses_are_tried_in_turn_and_one_that_answers_stays() {
        let mut rotation = AddressRotation::new(addr(1), &[addr(2), addr(1), addr(3)], 7);
        let mut order = vec![rotation.current().port()];
        assert!(rotation.record_failure().is_some());
        order.push(rotation.current().port());
        assert!(rotation.record_failure().is_some());
        order.push(rotation.current().port());
        assert_eq!(order, [1, 2, 3]);
        assert_eq!(rotation.record_failure(), None, "the round is over");
        rotation.record_failure();
        rotation.record_success();
        assert_eq!(rotation.current().port(), 2);
        assert!(rotation.record_failure().is_some(), "a new round");
    }

    #[test]
    fn a_new_configured_address_is_used_at_once() {
        let mut rotation = AddressRotation::new(addr(1), &[addr(2)], 7);
        rotation.record_failure();
        assert_eq!(rotation.current().port(), 2);
        assert!(!rotation.set_configured(addr(1)), "it is configured already");
        assert!(rotation.set_configured(addr(9)));
        assert_eq!((rotation.current().port(), rotation.configured().port()), (9, 9));
        rotation.record_failure();
        assert_eq!(rotation.current().port(), 2, "the old configured address is dropped");
        assert_eq!(rotation.record_failure(), None);
    }

    /// Guards against synchronized couriers: forty that fail in the same instant must ask the next address at different
    /// times.
    #[test]
    fn pauses_differ_between_couriers() {
        let first_pause = |seed| AddressRotation::new(addr(1), &[addr(2)], seed).record_failure().unwrap().0;
        let mut pauses: Vec<u64> = (0..40).map(first_pause).collect();
        pauses.sort_unstable();
        assert!(pauses[0] < 40_000 && pauses[39] > 160_000 && pauses[39] <= FIRST_PAUSE.0, "{pauses:?}");
        assert!(pauses.windows(2).all(|w| w[1] - w[0] < 60_000), "{pauses:?}");
    }
}
