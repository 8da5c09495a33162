//! The pending messages of the core: one record for each, and the room that they take by destination.

use super::{Core, Order, Req};
use std::collections::BTreeMap;
use std::sync::Arc;

/// A message whose end has not been reported and recorded yet.
pub(super) struct PendingMessage {
    pub req: Arc<Req>,
    pub attempts: u8,
    /// Orders that wait until the req's answer is written. If a fetch began before that, it would deliver a message
    /// whose acceptance the client has not been notified of.
    pub orders_after_answer: Option<Vec<Order>>,
    /// The message's end is decided; only its notice or outcome is still due.
    pub decided: bool,
    /// Another client submitted the same message and was notified that it is accepted.
    pub accepted_from_other_client: bool,
    /// A call is ordered, in flight, or waiting for its turn.
    pub in_flight: bool,
    /// The message was resumed, and an earlier process may have sent it.
    pub resumed_may_have_run: bool,
    /// The batch that waits until this message's answer is written.
    pub waiting_batch: Option<u64>,
    /// The destination whose places this message uses: its own, or, for a bounce, that of the message that it reports.
    /// `None`: places are not limited by destination on its front.
    pub place_of: Option<u16>,
}

impl PendingMessage {
    /// A message that has not been sent, whose acceptance its client knows.
    pub fn new(req: Arc<Req>) -> PendingMessage {
        PendingMessage {
            req,
            attempts: 0,
            orders_after_answer: None,
            decided: false,
            accepted_from_other_client: false,
            in_flight: false,
            resumed_may_have_run: false,
            waiting_batch: None,
            place_of: None,
        }
    }
}

/// The number of pending messages that use places of each destination.
#[derive(Default)]
pub(super) struct DestinationPlaces(BTreeMap<u16, usize>);

impl DestinationPlaces {
    /// Places in use of one destination.
    pub fn used(&self, destination: u16) -> usize {
        self.0.get(&destination).copied().unwrap_or(0)
    }

    fn take(&mut self, destination: u16) {
        *self.0.entry(destination).or_default() += 1;
    }

    fn release(&mut self, destination: u16) {
        let Some(used) = self.0.get_mut(&destination) else { return };
        *used -= 1;
        if *used == 0 {
            self.0.remove(&destination);
        }
    }
}

impl Core {
    /// Adds a pending message to the core's tables.
    pub(super) fn insert_message(&mut self, msg: u64, message: PendingMessage) {
        self.messages_by_id.insert(message.req.id.clone(), msg);
        message.place_of.into_iter().for_each(|destination| self.places.take(destination));
        self.messages.insert(msg, message);
    }

    /// Removes a message from the core's tables.
    pub(super) fn drop_msg(&mut self, msg: u64) {
        // Otherwise a batch that waits for the answer to the removed message would never be sent.
        self.leave_batch(msg);
        if let Some(message) = self.messages.remove(&msg) {
            self.messages_by_id.remove(&message.req.id);
            message.place_of.into_iter().for_each(|destination| self.places.release(destination));
        }
    }

    /// Whether there is a place for one more req behind those of `batch`.
    ///
    /// A message that ends by a bounce keeps its place until that is delivered, and can't be shed before. So that a
    /// destination that is out does not use up the room for the others, it gets at most as many places as it leaves free.
    pub(super) fn has_place(&self, req: &Req, batch: &[(u64, Arc<Req>)]) -> bool {
        let held = self.messages.len() + batch.len();
        if held >= self.max_pending {
            return false;
        }
        if !self.ends_by_bounce(req.front) {
            return true;
        }
        let same_destination = |other: &Req| (other.front, other.dest) == (req.front, req.dest);
        let before = batch.iter().filter(|(_, other)| same_destination(other)).count();
        self.places.used(req.dest) + before < self.usable_room.saturating_sub(held)
    }
}
