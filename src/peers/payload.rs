//! What rides on the ground: budgets, counts, judgements, policies, learnt times. Each hears others' entries and sets this courier's
//! own, on the control thread alone; traffic reads what it publishes and never waits for it.

use super::Peers;
use crate::api::Micros;
use std::collections::BTreeMap;

/// Kinds of entries, one rider each; a kind that is not known is carried on and read by nobody.
pub mod kinds {
    /// What a courier wants of a limit.
    pub const DEMAND: u8 = 1;
    /// What it lends of its own share.
    pub const LOAN: u8 = 2;
    /// The newest turn of loans that it took.
    pub const LOAN_ACK: u8 = 3;
    /// Its counters.
    pub const COUNTERS: u8 = 4;
    /// What it saw of an endpoint.
    pub const EVIDENCE: u8 = 5;
    /// How fast others answer its questions.
    pub const LATENCY: u8 = 6;
    /// What it holds, by channel or kind of question.
    pub const HELD_MESSAGES: u8 = 7;
    /// Retention: facts of the book, what is honoured, rounds of hearing.
    pub const RETENTION: u8 = 8;
    /// Replay orders: claims and stops.
    pub const REPLAY: u8 = 9;
}

/// One matter that couriers share.
pub trait GossipPayload: Send {
    /// Takes in what others have said since and sets what this courier entries itself. Returns the latest moment at which it wants
    /// to be called again; it is called after each note that was taken in, too.
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros;

    /// What it believes and since when, for operators: an object with ages in milliseconds.
    fn figures(&self, now: Micros) -> serde_json::Value;
}

/// All that this courier entries of one kind, so that only what changes is set.
#[derive(Debug)]
pub struct PublishedEntries {
    kind: u8,
    /// By number, with when it was set.
    published: BTreeMap<u32, (Vec<u8>, Micros)>,
}

impl PublishedEntries {
    /// Nothing yet, of one of [`kinds`].
    pub fn new(kind: u8) -> PublishedEntries {
        PublishedEntries { kind, published: BTreeMap::new() }
    }

    /// What is said under a number, and since when.
    pub fn value(&self, id: u32) -> Option<(&[u8], Micros)> {
        self.published.get(&id).map(|(value, at)| (value.as_slice(), *at))
    }

    /// What is said from this number on.
    pub fn from(&self, first: u32) -> impl Iterator<Item = (u32, &[u8])> {
        self.published.range(first..).map(|(id, (value, _))| (*id, value.as_slice()))
    }

    /// From now on this and nothing else is said.
    pub fn publish(&mut self, now: Micros, peers: &mut Peers, entries: BTreeMap<u32, Vec<u8>>) {
        for id in self.published.keys().filter(|id| !entries.contains_key(id)) {
            peers.remove(now, self.kind, *id);
        }
        // Danger: what finds no room among a courier's entries must be said once there is some.
        let mut before = std::mem::take(&mut self.published);
        self.published = entries
            .into_iter()
            .filter_map(|(id, value)| match before.remove(&id) {
                Some(old) if old.0 == value => Some((id, old)),
                _ => peers.set(now, self.kind, id, &value).then_some((id, (value, now))),
            })
            .collect();
    }
}
