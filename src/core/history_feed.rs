//! Passes ended messages from the journal to the history. The journal's last record of a message says that it ended and is
//! to be kept; once that record is written, the message is queued for the history thread. The journal keeps its segments
//! until that thread has stored the message.

use super::{Core, Courier};
use crate::admin::metrics::Ended;
use crate::api::Micros;
use crate::history::keeper::Keeper;
use crate::history::rider::Held;
use crate::history::shelf::Shelf;
use crate::store::EndKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long callers that can try again wait for the history's lock.
const HISTORY_LOCK_TIMEOUT: Duration = Duration::from_millis(50);

/// The history is locked: its thread is at work, or its file is slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistoryBusy;

/// The connection to the history thread.
pub(super) struct HistoryFeed {
    pub shelf: Arc<Shelf>,
    /// The journal has released all ended messages up to this number.
    released_up_to: u64,
    /// Ended messages are discarded because too many wait to be stored.
    discarding: bool,
}

impl Core {
    /// Aligns the history with the journal at the start. Messages that are pending in the journal are the journal's; messages
    /// that ended there and are missing in the history are added. New message numbers follow the highest of both.
    pub(super) fn open_history(&mut self, now: Micros, keeper: Option<Keeper>) {
        let ends = self.journal.take_ended();
        if let Some(mut keeper) = keeper {
            let mark = keeper.take_up(now, self.journal.pending().keys().copied(), &ends);
            self.journal.continue_numbers_after(mark);
            let ended = ends.iter().map(|end| end.msg + 1).max().unwrap_or(0);
            self.next_message = self.next_message.max(keeper.next_number()).max(ended);
            self.history = Some(HistoryFeed {
                shelf: Arc::new(Shelf::new(keeper)),
                released_up_to: 0,
                discarding: false,
            });
        }
        let last = self.journal.last_end_number();
        self.journal.release_up_to(last);
    }

    /// Finishes a message that has ended and whose client needs no further notice.
    pub(super) fn finish_message(
        &mut self, now: Micros, msg: u64, ended: Ended, how: EndKind, said: Option<&str>,
    ) {
        let Some(past) = self.history.as_mut().filter(|past| !past.shelf.closed()) else {
            let past = self.history.as_ref().filter(|_| self.journal.pending().contains_key(&msg));
            past.into_iter().for_each(|past| past.shelf.give_way());
            return self.end_message(now, msg, Some(ended));
        };
        if self.journal.end_for_history(msg, now, how, said) {
            past.discarding = false;
        } else {
            past.shelf.give_way();
            if !std::mem::replace(&mut past.discarding, true) {
                tracing::warn!(target: "history", "its file can't keep up: what ends is not kept for now");
            }
        }
        self.message_ended(now, msg, Some(ended));
    }

    /// Queues the ended messages that the journal has written.
    pub(super) fn queue_ended_messages(&mut self) {
        let Some(past) = self.history.as_ref().filter(|_| !self.journal.has_unwritten()) else { return };
        let ends = self.journal.take_ended();
        if !ends.is_empty() {
            past.shelf.lay(ends);
        }
    }

    /// Lets the journal release the messages that the history has stored.
    pub(super) fn release_persisted_ends(&mut self) {
        let Some(past) = &mut self.history else { return };
        let upto = past.shelf.upto();
        if upto > past.released_up_to {
            past.released_up_to = upto;
            self.journal.release_up_to(upto);
        }
    }
}

impl Courier {
    /// Runs a query of an operator or another courier on the history; `None`: it is off, or another process has it.
    pub fn with_history<T>(&self, by: impl FnOnce(&mut Keeper, Micros) -> T) -> Option<T> {
        self.history.as_ref()?.wait(|keeper| by(keeper, self.clock.now()))
    }

    /// Runs a query if the history's lock is free by `until`; the error says that it is not.
    pub fn with_history_until<T>(
        &self, until: Instant, by: impl FnOnce(&mut Keeper, Micros) -> T,
    ) -> Result<Option<T>, HistoryBusy> {
        let Some(shelf) = &self.history else { return Ok(None) };
        let mut keeper = shelf.free_by(until).ok_or(HistoryBusy)?;
        Ok(keeper.as_mut().map(|keeper| by(keeper, self.clock.now())))
    }

    /// Stores ended messages and advances the history's time. It runs on a thread of its own, as the file may be slow.
    /// `false`: the history is off, or another process has it.
    pub fn persist_history(&self) -> bool {
        self.history.as_ref().is_some_and(|shelf| shelf.turn(&|| self.clock.now()))
    }
}

impl Held for Arc<Courier> {
    fn with(&self, by: &mut dyn FnMut(&mut Keeper)) -> bool {
        let Some(shelf) = &self.history else { return true };
        let Some(mut keeper) = shelf.free_soon(Instant::now() + HISTORY_LOCK_TIMEOUT) else { return false };
        keeper.as_mut().into_iter().for_each(by);
        true
    }
}
