//! All decisions of a sender, a file for each matter; nothing is decided in this one. What is told and done
//! is in `src/api/`, plain state without a decision in `src/state/`. Each file begins with its tuned values.
//!
//! Reading order: `round` (what happens in a round), `repeats` and `pace` (the design), `health` and
//! `release` (the guards around it), `outcomes`, `listing` and `shares` (what is learnt from events),
//! `answering`, `sending` and `connections`.

mod answering;
mod connections;
mod health;
mod listing;
mod outages;
mod outcomes;
mod pace;
mod release;
mod repeats;
mod round;
mod sending;
mod shares;

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

// Tuned values of one file that another reads too.
use connections::{trust, KEEP_IDLE, SPARSE};
use health::{OUT_MEMORY, SHUT_SOME};
use outcomes::{HOPE_START, TROUBLE_GAIN};
use release::{BUNDLE_ITEM, NOTE_APART};
pub(crate) use repeats::DEPOSIT_LIFE;

#[cfg(test)]
mod tests {
    use crate::api::Micros;
    use crate::state::RetryBudget;

    /// Guards against a bucket that grows for as long as nothing is repeated.
    #[test]
    fn deposits_that_have_expired_are_dropped() {
        let mut budget = RetryBudget::default();
        (0..10_000).for_each(|n| budget.deposit(Micros(n * 100_000)));
        assert!(
            budget.deposits.len() <= 101,
            "{}: a tenth of a second apart, ten seconds long",
            budget.deposits.len()
        );
    }
}
