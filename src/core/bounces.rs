//! Bounces: on a front whose clients can't be called back, a message that ends undelivered is replaced by a bounce, a message
//! that reports its end to its sender.
//!
//! The bounce takes the place of the message in one step: the same place among the pending messages, the same segment of the
//! journal, and no decision about its admission. From the acceptance of a message on there is thus room for its final answer.

use super::pending::PendingMessage;
use super::{policy_message, Core, FinalOutcome, Notice, Req};
use crate::admin::metrics::Ended;
use crate::api::{Event, Micros};
use crate::store::{EndKind, ReplacedMessage};
use std::sync::Arc;

/// What a front does to report the end of its messages by messages of its own.
pub trait BounceComposer: Send + Sync {
    /// Number of the front.
    fn front(&self) -> u8;
    /// The class of its bounces.
    fn class(&self) -> u16;
    /// The bounce of a message, with a number that no other message has; `None`: there is nobody to report to.
    fn compose(&self, now: Micros, number: u64, notice: &Notice) -> Option<Req>;
    /// The most bytes that the journal's record of this req's bounce may take.
    fn max_record_bytes(&self, req: &Req) -> u64;
}

/// How a message counts whose end its client has been notified of.
pub(super) fn notified_end(outcome: Option<FinalOutcome>) -> (Ended, EndKind) {
    match outcome {
        Some(FinalOutcome::HandedBack(_)) => (Ended::Rejected, EndKind::HandedBack),
        _ => (Ended::Failed, EndKind::GivenUp),
    }
}

impl Core {
    /// Whether undelivered messages of this front are reported by bounces.
    pub(super) fn ends_by_bounce(&self, front: u8) -> bool {
        self.bounce_composer.as_ref().is_some_and(|composer| composer.front() == front)
    }

    /// Ends a message that was not delivered, and puts its bounce in its place if there is one to send. The journal writes
    /// both together. If it can't be written now, no call of the bounce begins before it is.
    pub(super) fn replace_by_bounce(&mut self, now: Micros, notice: &Notice) {
        let Some(message) = self.messages.get(&notice.msg) else { return };
        let destination = message.place_of.unwrap_or(notice.req.dest);
        let (ended, how) = notified_end(Some(notice.verdict));
        let number = self.next_message;
        let composer = self.bounce_composer.clone();
        let bounce = composer.and_then(|composer| composer.compose(now, number, notice)).map(Arc::new);
        self.journal.begin_batch();
        if let Some(bounce) = &bounce {
            self.next_message += 1;
            let replaced = ReplacedMessage { msg: notice.msg, destination };
            self.journal.accept_in_place_of(number, bounce, replaced);
        }
        self.finish_message(now, notice.msg, ended, how, None);
        self.journal.write_batch();
        self.queue_ended_messages();
        if let Some(bounce) = bounce {
            let message = policy_message(number, &bounce);
            let place_of = Some(destination);
            self.insert_message(number, PendingMessage { place_of, ..PendingMessage::new(bounce) });
            // The decision module takes it as accepted: a message that was just submitted could be refused.
            self.new_bounces.push(Event::Resumed { message, attempts: 0, first_uncertain: None });
        }
    }

    /// Makes the journal keep room for the bounce of each pending message.
    pub(super) fn reserve_room_for_bounces(&mut self) {
        let Some(composer) = self.bounce_composer.clone() else { return };
        let reserve = move |req: &Req| match req.front == composer.front() && req.class != composer.class() {
            true => composer.max_record_bytes(req),
            false => 0,
        };
        self.journal.set_end_reserve(Box::new(reserve));
    }

    /// Passes the bounces to the decision module that no other event has passed to it.
    pub(super) fn start_new_bounces(&mut self, now: Micros) {
        if !self.new_bounces.is_empty() {
            self.feed(now, &[], &mut []);
        }
    }
}
