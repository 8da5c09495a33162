//! What a relay did: each fault that a connection met, with the byte. Bounded; what no longer fits is counted.

use crate::rules::{LinkName, Way};
use serde::{Serialize, Serializer};

/// Events kept at the most.
const MOST: usize = 200_000;

fn as_text<T: ToString, S: Serializer>(value: &T, to: S) -> Result<S::Ok, S::Error> {
    to.serialize_str(&value.to_string())
}

/// A fault that was met.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Event {
    /// The link.
    #[serde(serialize_with = "as_text")]
    pub link: LinkName,
    /// Number of the connection on it, from 0.
    pub connection: u64,
    /// Direction.
    #[serde(serialize_with = "as_text")]
    pub way: Way,
    /// Before this byte of it.
    pub byte: u64,
    /// Name of the rule.
    pub rule: String,
    /// What.
    pub what: &'static str,
}

/// All that was met.
#[derive(Debug, Default)]
pub struct Record {
    all: Vec<(u64, Event)>,
    lost: u64,
}

impl Record {
    /// Writes one down, with its time in microseconds since the relay began.
    pub fn put(&mut self, at: u64, event: Event) {
        if self.all.len() < MOST {
            self.all.push((at, event));
        } else {
            self.lost += 1;
        }
    }

    /// In the order of time.
    pub fn by_time(&self) -> &[(u64, Event)] {
        &self.all
    }

    /// Those that found no room.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Without times, in the order of links, connections and bytes: the same for the same script and the same traffic.
    pub fn canonical(&self) -> Vec<Event> {
        let mut all: Vec<Event> = self.all.iter().map(|(_, e)| e.clone()).collect();
        all.sort();
        all
    }
}
