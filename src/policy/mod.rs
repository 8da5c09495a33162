//! All decisions of a sender, one file for each topic; this file decides nothing. The events and actions are
//! defined in `src/api/`, and the plain state in `src/state/`. Each file begins with its constants.
//!
//! Suggested reading order: `round` (the steps of a round), `retries` and `send_rate` (the core of the
//! design), `health` and `slow_start` (the protection around it), `outcomes`, `endpoint_list`,
//! `earlier_outages` and `tenant_shares` (what is learnt from events), `final_answers`, `dispatch` and
//! `idle_connections`.

mod dispatch;
mod earlier_outages;
mod endpoint_list;
mod final_answers;
mod health;
mod idle_connections;
mod outcomes;
mod retries;
mod round;
mod send_rate;
mod slow_start;
mod tenant_shares;

use crate::api::*;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};

// Constants and helpers of one file that other files use too.
pub(crate) use final_answers::usable_room;
use health::{LIMIT_NOT_REACHED_HEADROOM, OUTAGE_MEMORY};
use idle_connections::{update_idle_timeout, MAX_IDLE_TIMEOUT, SPARSE_CALLS_PER_ENDPOINT};
use outcomes::{FAILURE_GAIN, INITIAL_ACCEPTANCE};
pub(crate) use retries::DEMAND_WINDOW;
use send_rate::Refusal;
use slow_start::{BUNDLED_MESSAGE_WEIGHT, MIN_NOTE_INTERVAL};

#[cfg(test)]
mod tests {
    use crate::api::Micros;
    use crate::state::RetryBudget;

    /// Guards against a token bucket that grows for as long as nothing is repeated.
    #[test]
    fn expired_deposits_are_dropped() {
        let mut budget = RetryBudget::default();
        (0..10_000).for_each(|n| budget.deposit(Micros(n * 100_000)));
        assert!(
            budget.deposits.len() <= 101,
            "{} deposits: one each tenth of a second, with a lifetime of ten seconds",
            budget.deposits.len()
        );
    }
}
