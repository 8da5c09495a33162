//! Guard against lists of discovery that would remove too many endpoints. Discovery may come back from a restart with
//! an empty list, or with one of last week; a courier that applied it at once would drop every partner that answers.
//!
//! A full list must be confirmed if it would remove more than a share of the endpoints that are up and not failing, or
//! if its version is older than the known one. The endpoints that it leaves out are held, that is they stay in use,
//! until one of these: the list is read again, at least `confirm_after` later and not older, and still must be
//! confirmed (then it is applied in full); a list arrives that needs no confirmation; the endpoint refuses a call; an
//! update drains or removes it explicitly; another endpoint is listed at its address; the hold time is over. Explicit
//! drains and removals are never held back.

use crate::api::Micros;

/// Parameters of the guard.
#[derive(Debug, Clone, PartialEq)]
pub struct RemovalGuard {
    /// Share of the healthy endpoints that a list may remove without confirmation.
    pub max_removed_share: f64,
    /// Number of endpoints that a list may always remove without confirmation.
    pub always_allowed: usize,
    /// Longest time for which endpoints are held.
    pub hold: Micros,
    /// Shortest time between the first read and the read that confirms it.
    pub confirm_after: Micros,
}

impl Default for RemovalGuard {
    fn default() -> RemovalGuard {
        RemovalGuard {
            max_removed_share: 0.34,
            always_allowed: 2,
            hold: Micros(30_000_000),
            confirm_after: Micros(1_000_000),
        }
    }
}

/// A list that waits for confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UnconfirmedList {
    since: Micros,
    generation: u64,
}

impl RemovalGuard {
    /// Whether a full list must be confirmed before it is applied. `is_older`: its version is older than the known one;
    /// `lost` of `had` healthy endpoints are missing from it.
    pub fn must_confirm(
        &self, unconfirmed: &mut Option<UnconfirmedList>, now: Micros, is_older: bool, generation: u64,
        lost: usize, had: usize,
    ) -> bool {
        let too_many = lost > self.always_allowed && lost as f64 > self.max_removed_share * had as f64;
        let suspicious = too_many || is_older && lost > 0 || is_older && unconfirmed.is_none();
        if !suspicious {
            *unconfirmed = None;
            return false;
        }
        match *unconfirmed {
            Some(first) if generation >= first.generation && now >= first.since + self.confirm_after => {
                *unconfirmed = None;
                false
            }
            Some(first) => {
                // An even older list restarts the wait for confirmation.
                if generation < first.generation {
                    *unconfirmed = Some(UnconfirmedList { since: now, generation });
                }
                true
            }
            None => {
                *unconfirmed = Some(UnconfirmedList { since: now, generation });
                true
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn a_few_removals_apply_at_once_and_many_need_confirmation() {
        let guard = RemovalGuard::default();
        let mut unconfirmed = None;
        assert!(!guard.must_confirm(&mut unconfirmed, Micros(0), false, 5, 2, 4), "always allowed");
        assert!(!guard.must_confirm(&mut unconfirmed, Micros(0), false, 5, 30, 100), "under the share");
        assert!(guard.must_confirm(&mut unconfirmed, Micros(0), false, 5, 40, 100));
        assert!(
            guard.must_confirm(&mut unconfirmed, Micros(S - 1), false, 5, 40, 100),
            "too soon to confirm"
        );
        assert!(!guard.must_confirm(&mut unconfirmed, Micros(S), false, 5, 40, 100), "confirmed");
        assert_eq!(unconfirmed, None);
    }

    #[test]
    fn an_older_list_needs_confirmation_by_one_that_is_not_older_still() {
        let guard = RemovalGuard::default();
        let mut unconfirmed = None;
        assert!(guard.must_confirm(&mut unconfirmed, Micros(0), true, 3, 1, 100));
        assert!(guard.must_confirm(&mut unconfirmed, Micros(2 * S), true, 2, 1, 100), "still older");
        assert!(!guard.must_confirm(&mut unconfirmed, Micros(3 * S), true, 2, 1, 100));
    }
}
