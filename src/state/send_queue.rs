//! Messages that wait to be sent, in the order in which they are sent.

use super::records::HeldMessage;
use crate::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::ops::Bound;

impl HeldMessage {
    /// The message's place in its destination's queue, as of now.
    pub(crate) fn urgency(&self, now: Micros) -> Urgency {
        Urgency {
            over_share: self.over_share,
            overdue: self.aim_at <= now,
            aim_at: self.aim_at,
            id: self.message.id,
        }
    }
}

/// The order in which messages are sent: those beyond their tenant's share last, those past their aim after
/// the rest, then by aim and age. The order of the fields is the order of comparison.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Urgency {
    over_share: bool,
    overdue: bool,
    aim_at: Micros,
    pub(crate) id: MessageId,
}

/// Messages that wait to be sent: those that are ready, ordered by destination and urgency, and those that
/// are not ready yet. A queued urgency becomes stale when the message passes its aim; whoever takes a message
/// from a queue checks for that.
#[derive(Debug, Default)]
pub(crate) struct SendQueue {
    ready: BTreeMap<DestinationId, BTreeSet<Urgency>>,
    /// Messages that are not ready yet, by the time from which they are.
    delayed: BTreeSet<(Micros, MessageId)>,
    /// When to check whether a message has expired; one entry a message. The real expiry may turn out to be
    /// later than the entry, never earlier.
    expiries: BTreeSet<(Micros, MessageId)>,
    /// Messages whose expiry may have changed since the last check.
    unchecked: Vec<MessageId>,
}

impl SendQueue {
    /// Builds the queue from all held messages.
    pub(crate) fn of<'a>(now: Micros, all: impl Iterator<Item = &'a HeldMessage>) -> SendQueue {
        let mut queue = SendQueue::default();
        for held in all {
            if held.is_waiting() {
                queue.add(now, held);
            } else {
                queue.unchecked.push(held.message.id);
            }
        }
        queue
    }

    pub(crate) fn add(&mut self, now: Micros, held: &HeldMessage) {
        self.unchecked.push(held.message.id);
        if held.ready_at <= now {
            self.ready.entry(held.message.destination).or_default().insert(held.urgency(now));
        } else {
            self.delayed.insert((held.ready_at, held.message.id));
        }
    }

    /// Moves the messages that have become ready to the queues of their destinations.
    pub(crate) fn release_delayed(&mut self, now: Micros, messages: &BTreeMap<MessageId, HeldMessage>) {
        while let Some((_, id)) = self.delayed.first().copied().filter(|(at, _)| *at <= now) {
            self.delayed.pop_first();
            messages.get(&id).into_iter().filter(|h| h.is_waiting()).for_each(|h| self.add(now, h));
        }
    }

    /// Removes an entry from the queue of a destination.
    pub(crate) fn remove(&mut self, destination: DestinationId, entry: &Urgency) {
        if let Some(queue) = self.ready.get_mut(&destination) {
            queue.remove(entry);
            if queue.is_empty() {
                self.ready.remove(&destination);
            }
        }
    }

    /// Sets when the message expires if nothing happens before; `None`: it does not.
    pub(crate) fn set_expiry(&mut self, held: &mut HeldMessage, at: Option<Micros>) {
        self.expiries.remove(&(held.expires_at, held.message.id));
        if let Some(at) = at {
            held.expires_at = at;
            self.expiries.insert((at, held.message.id));
        }
    }

    /// Takes the messages that may have expired or whose expiry is not known. The caller ends each of them or
    /// passes it to [`SendQueue::set_expiry`].
    pub(crate) fn take_expiry_candidates(&mut self, now: Micros) -> Vec<MessageId> {
        let mut ids = std::mem::take(&mut self.unchecked);
        while self.expiries.first().is_some_and(|(at, _)| *at <= now) {
            ids.extend(self.expiries.pop_first().map(|(_, id)| id));
        }
        ids
    }

    /// Removes a message that no longer waits.
    pub(crate) fn forget(&mut self, held: &HeldMessage) {
        for overdue in [false, true] {
            let (over_share, aim_at, id) = (held.over_share, held.aim_at, held.message.id);
            self.remove(held.message.destination, &Urgency { over_share, overdue, aim_at, id });
        }
        self.delayed.remove(&(held.ready_at, held.message.id));
        self.expiries.remove(&(held.expires_at, held.message.id));
    }

    /// The most urgent ready message of each destination.
    pub(crate) fn heads(&self) -> QueueHeads {
        let head = |(destination, queue): (&DestinationId, &BTreeSet<Urgency>)| {
            Some(Reverse((*queue.first()?, *destination)))
        };
        QueueHeads(self.ready.iter().filter_map(head).collect())
    }
}

/// A merged view of the queues of all destinations, with a position in each.
pub(crate) struct QueueHeads(BinaryHeap<Reverse<(Urgency, DestinationId)>>);

impl QueueHeads {
    /// The most urgent message over all destinations. Its destination yields nothing more until
    /// [`QueueHeads::advance`] is called for it.
    pub(crate) fn next(&mut self) -> Option<(Urgency, DestinationId)> {
        self.0.pop().map(|Reverse(next)| next)
    }

    /// Lets the message behind this entry in its destination's queue come next.
    pub(crate) fn advance(&mut self, queue: &SendQueue, destination: DestinationId, entry: Urgency) {
        let entries = queue.ready.get(&destination);
        let next = entries.and_then(|e| e.range((Bound::Excluded(entry), Bound::Unbounded)).next());
        self.0.extend(next.map(|urgency| Reverse((*urgency, destination))));
    }
}
