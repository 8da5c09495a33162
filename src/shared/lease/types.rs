//! Settings of a lease, and the messages about it that couriers exchange.

use crate::shared::Member;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Units that make up a whole limit.
pub const LIMIT_UNITS: u32 = 10_000_000;
/// This fraction (one part in so many) of a safe share is never lent, so that a new run may use it at once.
pub const RESERVE_DIVISOR: u32 = 4;
/// How a limit is shared.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LeaseSettings {
    /// Maximum number of couriers that may run; each always owns this part of the limit. At least 1.
    pub max_couriers: u32,
    /// Minimum number of couriers that run. Equal to `max_couriers` if the number is known exactly.
    pub min_couriers: u32,
    /// How long a loan is in force after the holder's request for it, on the holder's clock.
    pub loan_term: Micros,
    /// Time between two rounds of planning loans.
    pub plan_interval: Micros,
    /// The courier that lends the units that nobody owns; if none is named, these are not used.
    pub steward: Option<Member>,
}

impl LeaseSettings {
    /// For exactly `n` couriers (at least 1), with a loan term of 1.2 s and a planning round every 400 ms.
    pub fn exactly(n: u32) -> LeaseSettings {
        let n = n.max(1);
        LeaseSettings {
            max_couriers: n,
            min_couriers: n,
            loan_term: Micros(1_200_000),
            plan_interval: Micros(400_000),
            steward: None,
        }
    }

    /// For about `n` couriers, from half to twice as many; `steward` lends what nobody owns.
    pub fn about(n: u32, steward: Option<Member>) -> LeaseSettings {
        LeaseSettings {
            max_couriers: n.max(1) * 2,
            min_couriers: (n / 2).max(1),
            steward,
            ..LeaseSettings::exactly(n)
        }
    }

    /// What each courier owns, in units.
    pub fn safe_share(&self) -> u32 {
        LIMIT_UNITS / self.max_couriers.max(1)
    }

    /// How long a lender counts a loan as lent after it received the request. Clocks within 1 % of true time differ by at
    /// most 1.01 / 0.99, and the lender must wait at least as long as the holder uses the loan.
    pub fn lender_wait(&self) -> Micros {
        // Rounded up: a lender that takes its part back early would break the bound on the sum of shares.
        Micros(self.loan_term.0 + self.loan_term.0 * 21 / 1000 + 1)
    }

    /// Differences up to this many units cause no change of loans.
    pub fn dead_band(&self) -> u32 {
        (self.safe_share() / 32).max(1)
    }
}

/// How a process run begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Start {
    /// Nothing is known of a previous run of this member.
    First,
    /// A previous run may have lent what it owned.
    Restart,
    /// Another run of the same member still serves (a handover): no units are held until [`Lease::other_run_ended`].
    ///
    /// [`Lease::other_run_ended`]: super::Lease::other_run_ended
    Overlapping,
}

/// A courier's demand for one limit and what it holds of it, published to all peers. At most 27 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Demand {
    /// Units that it would use.
    pub units: u32,
    /// Weight of its messages relative to those of peers, at least 1.
    pub weight: u8,
    /// Units that it owns.
    pub owned: u32,
    /// Units in force there.
    pub in_force: u32,
    /// Units that it has lent and that are still counted as lent.
    pub lent: u32,
    /// Milliseconds since its run began, on its clock.
    pub stamp_ms: u32,
}

/// A loan from the entry's owner to `to`. At most 30 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Loan {
    /// The holder.
    pub to: Member,
    /// Units; 0 ends the loan.
    pub units: u32,
    /// The run of `to` that published the demand.
    pub run: u64,
    /// The stamp of that demand.
    pub stamp_ms: u32,
    /// Increases with each loan of the lender's run.
    pub sequence: u32,
}

/// Returns loans before they expire: the sender uses none of the lender's loans that precede `sequence`. At most 20 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LoanAck {
    /// The lender.
    pub to: Member,
    /// The lender's run.
    pub run: u64,
    /// The newest loan of that run that was accepted.
    pub sequence: u32,
}

/// A message to be published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseMessage {
    /// For all peers.
    Demand(Demand),
    /// For `to` only; others ignore it. One entry for each pair of limit and `to`.
    Loan(Loan),
    /// For `to` only, likewise.
    Ack(LoanAck),
}
