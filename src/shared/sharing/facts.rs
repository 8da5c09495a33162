//! What a courier knows by its own observation: states and monotonic counters, nothing that was received from peers.

use crate::api::{EndpointId, Micros};
use crate::shared::health::Observation;
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// A courier's own facts at one moment.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Facts {
    /// When they were collected.
    pub at: Micros,
    /// By tenant (position in the settings): messages requested against its quota since the process began. Tenants with a quota
    /// only.
    pub tenants: Vec<(u16, u64)>,
    /// By destination.
    pub destinations: Vec<DestinationFacts>,
    /// All listed endpoints.
    pub endpoints: Vec<EndpointFacts>,
    /// Numeric names of the endpoints that operators have excluded, listed or not.
    pub excluded: Arc<[u64]>,
}

/// Facts about one destination.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DestinationFacts {
    /// Its number, the same at all couriers.
    pub dest: u16,
    /// Messages per second that this courier would send there.
    pub demand: f64,
    /// Messages handed in since the process began, and how many of these were within their tenants' shares.
    pub handed_in: (u64, u64),
    /// Calls per second that it accepts from the whole fleet, if listed or reported.
    pub limit: Option<f64>,
    /// Calls sent since the process began.
    pub calls_sent: u64,
    /// Of these, refused.
    pub calls_refused: u64,
}

/// Facts about one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EndpointFacts {
    /// This courier's identifier for it.
    pub id: EndpointId,
    /// Its numeric name, the same at all couriers; see [`numeric_name`].
    pub name: u64,
    /// What this courier observed itself at the end of a call; `None` if it only inferred the state or was told.
    pub observation: Option<Observation>,
    /// When it was last observed.
    pub observed_at: Micros,
    /// If it is out: when it may be probed again.
    pub retry_at: Micros,
    /// If it is out: when a probe by this courier last began; 0 if never.
    pub probed_at: Micros,
}

/// A numeric name that all couriers compute alike.
pub fn numeric_name(bytes: &[u8]) -> u64 {
    let hash = Sha256::digest(bytes);
    hash[..8].iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte))
}
