//! What couriers publish about an endpoint.

use serde::{Deserialize, Serialize};

/// What a courier observed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Observation {
    /// It answers.
    Served,
    /// It answers, far later than it used to.
    Slow,
    /// It answers again after an outage, but is not at full rate yet.
    Cold,
    /// It does not answer.
    Out,
    /// It asked not to be called for this many milliseconds from now on.
    Shut(u32),
}

impl Observation {
    pub(super) fn answers(self) -> bool {
        matches!(self, Observation::Served | Observation::Slow | Observation::Cold)
    }
}

/// The value of an entry: what its owner observed itself. At most 20 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// The observation.
    pub observation: Observation,
    /// Its age in milliseconds at publication.
    pub age_ms: u32,
    /// How long it remains valid, in milliseconds from publication.
    pub valid_ms: u32,
    /// Probes that the owner has made since it observed that the endpoint is out.
    pub probes: u16,
    /// Milliseconds since the owner last began a probe, if it observed that the endpoint is out.
    pub since_probe_ms: Option<u32>,
}
