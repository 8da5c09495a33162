//! Gossip payloads: rate limits, counters, shared health, policies, measured latencies. Each reads the
//! entries of other couriers and sets this courier's own, on the control thread only; traffic reads what a
//! payload publishes and never waits for it.

use super::Peers;
use crate::api::Micros;
use std::collections::BTreeMap;

/// Kinds of entries, one payload each. Entries of an unknown kind are passed on but not read.
pub mod kinds {
    /// The capacity that a courier needs of a limit.
    pub const DEMAND: u8 = 1;
    /// The part of its own share that a courier lends.
    pub const LOAN: u8 = 2;
    /// The newest loan that a courier has received.
    pub const LOAN_ACK: u8 = 3;
    /// A courier's counters.
    pub const COUNTERS: u8 = 4;
    /// A courier's observations of an endpoint.
    pub const EVIDENCE: u8 = 5;
    /// How fast other couriers answer its queries.
    pub const LATENCY: u8 = 6;
    /// What a courier holds, by channel or kind of query.
    pub const HELD_MESSAGES: u8 = 7;
    /// Retention: facts of the history's index, what is honoured, and acknowledgement rounds.
    pub const RETENTION: u8 = 8;
    /// Replay orders: claims and stops.
    pub const REPLAY: u8 = 9;
}

/// One subject that couriers share over gossip.
pub trait GossipPayload: Send {
    /// Reads what others have published since the last call and sets this courier's own entries. Returns the
    /// latest time of the next call; it is also called after each message that was taken in.
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros;

    /// Its state, for operators: an object with ages in milliseconds.
    fn figures(&self, now: Micros) -> serde_json::Value;
}

/// This courier's entries of one kind, of which only changes are set.
#[derive(Debug)]
pub struct PublishedEntries {
    kind: u8,
    /// By id, with the time when the value was set.
    published: BTreeMap<u32, (Vec<u8>, Micros)>,
}

impl PublishedEntries {
    /// Starts empty, for one of [`kinds`].
    pub fn new(kind: u8) -> PublishedEntries {
        PublishedEntries { kind, published: BTreeMap::new() }
    }

    /// The value published under an id, and since when.
    pub fn value(&self, id: u32) -> Option<(&[u8], Micros)> {
        self.published.get(&id).map(|(value, at)| (value.as_slice(), *at))
    }

    /// The entries published from this id on.
    pub fn from(&self, first: u32) -> impl Iterator<Item = (u32, &[u8])> {
        self.published.range(first..).map(|(id, (value, _))| (*id, value.as_slice()))
    }

    /// Publishes exactly these entries and removes all others of this kind.
    pub fn publish(&mut self, now: Micros, peers: &mut Peers, entries: BTreeMap<u32, Vec<u8>>) {
        for id in self.published.keys().filter(|id| !entries.contains_key(id)) {
            peers.remove(now, self.kind, *id);
        }
        // An entry that was refused because the courier has too many is left out, so that it is set as soon
        // as there is capacity.
        let mut previous = std::mem::take(&mut self.published);
        self.published = entries
            .into_iter()
            .filter_map(|(id, value)| match previous.remove(&id) {
                Some(old) if old.0 == value => Some((id, old)),
                _ => peers.set(now, self.kind, id, &value).then_some((id, (value, now))),
            })
            .collect();
    }
}
