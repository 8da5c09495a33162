//! What partners, clients and the platform saw in one run.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// What a repeat does, by the first letter of the message's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    Safe,
    Keyed,
    Unsafe,
}

impl Effect {
    pub const ALL: [Effect; 3] = [Effect::Safe, Effect::Keyed, Effect::Unsafe];

    pub fn of(id: &str) -> Effect {
        match id.as_bytes()[0] {
            b's' => Effect::Safe,
            b'k' => Effect::Keyed,
            _ => Effect::Unsafe,
        }
    }

    pub fn letter(self) -> char {
        match self {
            Effect::Safe => 's',
            Effect::Keyed => 'k',
            Effect::Unsafe => 'u',
        }
    }

    /// Its class in the settings, and how long it may be delivered.
    pub fn class(self) -> (&'static str, Duration) {
        match self {
            Effect::Safe => ("render-status", Duration::from_millis(3_000)),
            Effect::Keyed => ("print-order", Duration::from_millis(9_000)),
            Effect::Unsafe => ("notify", Duration::from_millis(4_000)),
        }
    }
}

/// Whether a call took effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ran {
    Delivered,
    Perhaps,
    Never,
}

/// One call at a partner.
#[derive(Debug, Clone)]
pub struct Call {
    pub id: String,
    pub dest: u16,
    /// When its last byte had come.
    pub at: Instant,
    pub ran: Ran,
    /// What its answer told to wait, and when that was written.
    pub wait: Duration,
    pub answered: Instant,
}

/// One run.
#[derive(Default)]
pub struct Record {
    pub calls: Vec<Call>,
    /// Ids whose clients read 202.
    pub taken: BTreeSet<String>,
    /// Ids that the platform was told the end of.
    pub noticed: BTreeSet<String>,
    /// When a process was ready.
    pub ready: Vec<Instant>,
    /// Requests that were read by nobody's fault but the courier's and had no answer.
    pub unanswered: Vec<String>,
    pub refused: usize,
}
