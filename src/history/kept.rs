//! A message of the history.

use crate::api::Micros;
use crate::store::EndKind;
use serde::{Deserialize, Serialize};

/// A message that has ended, as it is kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The client's name for it.
    pub id: String,
    /// Which front it came in at.
    pub front: u8,
    /// Number of its destination.
    pub dest: u16,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
    /// What the front needs beside the body: an idempotency key, an envelope.
    pub head: String,
    /// Passed on unchanged.
    pub body: Vec<u8>,
    /// Its deadline.
    pub due: Micros,
    /// When the first fetch began that may have run, and at which backend; when it ended and nowhere, if none did.
    pub first: (Micros, String),
    /// When it ended.
    pub ended: Micros,
    /// How.
    pub how: EndKind,
    /// What a backend last said of it.
    pub said: String,
}
