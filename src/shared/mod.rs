//! State that couriers share: rate limits as leases, request counts, and the health of endpoints. No I/O, clock, threads or
//! random source: the gossip layer delivers what peers published and takes what this courier publishes
//! (`docs/design/shared.md`).
//!
//! Nothing here may forward what was received: a courier publishes its own demand, loans, counters and evidence only.

use serde::{Deserialize, Serialize};

pub mod counts;
pub mod health;
pub mod lease;
pub mod sharing;

/// Identifies a courier within the fleet; the same in all its process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member(pub u32);

/// Orders the messages of one owner: by process run, then by a counter within the run. Later runs have greater numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize)]
pub struct Version {
    /// The process run.
    pub run: u64,
    /// Increases within a run.
    pub counter: u64,
}
