//! Ended messages that the history has not stored yet. Their last record holds when and how they ended, so the
//! journal alone is enough to restore them: if the process is killed before the history has stored them, the next
//! process finds them here. Their segments stay until then.

use super::records::encode_history_end;
use super::{Journal, MessageState, PositionNames};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The backlog holds at most the journal's budget divided by this, and at most `MAX_BACKLOG_BYTES`.
const BUDGET_DIVISOR: u64 = 8;
const MAX_BACKLOG_BYTES: u64 = 4 << 20;
/// Limit on the backlog read from a folder. Beyond it the oldest are dropped, because those were stored first.
const MAX_RECOVERED_BYTES: u64 = 4 * MAX_BACKLOG_BYTES;
/// Size added to each message's variable-length parts.
const FIXED_MESSAGE_BYTES: u64 = 512;

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// A backend accepted it.
    Delivered,
    /// Its client was told that it failed; the message may have taken effect or not.
    GivenUp,
    /// Its client was told to submit it again.
    HandedBack,
}

/// A message that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct EndedMessage {
    /// Number of the end, counted up by one.
    pub seq: u64,
    /// Number of the message.
    pub msg: u64,
    /// Its state when it ended.
    pub state: MessageState,
    /// When it ended.
    pub at: Micros,
    /// How it ended.
    pub how: EndKind,
}

/// The ended messages that the history has not stored.
pub(super) struct Backlog {
    next_number: u64,
    /// Number, message and bytes of each, the oldest first.
    waiting: VecDeque<(u64, u64, u64)>,
    bytes: u64,
    max_bytes: u64,
    /// Those that [`Journal::take_ended`] has not returned yet.
    untaken: Vec<EndedMessage>,
}

fn size_of_message(state: &MessageState) -> u64 {
    (state.req.body.len() + state.req.head.len() + state.last_reply.len()) as u64 + FIXED_MESSAGE_BYTES
}

impl Backlog {
    /// A backlog with the ended messages that were read from a folder.
    pub fn new(budget: u64, recovered: RecoveredEnds) -> Backlog {
        let mut backlog = Backlog {
            next_number: recovered.last_number + 1,
            waiting: VecDeque::new(),
            bytes: 0,
            max_bytes: (budget / BUDGET_DIVISOR).min(MAX_BACKLOG_BYTES),
            untaken: Vec::new(),
        };
        recovered.by_number.into_values().for_each(|end| backlog.push(end));
        backlog
    }

    /// Gives the messages of an earlier process the positions that their names have now.
    pub fn resolve_names(&mut self, names: &PositionNames) {
        self.untaken.iter_mut().for_each(|end| names.resolve(&mut end.state));
    }

    fn push(&mut self, end: EndedMessage) {
        let bytes = size_of_message(&end.state);
        self.bytes += bytes;
        self.waiting.push_back((end.seq, end.msg, bytes));
        self.untaken.push(end);
    }
}

/// The ended messages read from a folder.
#[derive(Default)]
pub(super) struct RecoveredEnds {
    /// The newest of them, by number.
    pub by_number: BTreeMap<u64, EndedMessage>,
    bytes: u64,
    last_number: u64,
}

impl RecoveredEnds {
    /// Adds one, and drops the oldest beyond the limit.
    pub fn push(&mut self, end: EndedMessage) {
        self.last_number = self.last_number.max(end.seq);
        self.bytes += size_of_message(&end.state);
        if let Some(replaced) = self.by_number.insert(end.seq, end) {
            self.bytes -= size_of_message(&replaced.state);
        }
        while self.bytes > MAX_RECOVERED_BYTES {
            let Some((_, oldest)) = self.by_number.pop_first() else { break };
            self.bytes -= size_of_message(&oldest.state);
        }
    }
}

impl Journal {
    /// As [`Journal::end`], for a message that the history is to store: [`Journal::take_ended`] returns it, and it
    /// stays here until [`Journal::release_up_to`] reports that it is stored. `reply` is the last reply of the call
    /// that ended it. Returns `false` if the backlog is full; the message has then ended without being passed to the
    /// history.
    pub fn end_for_history(&mut self, msg: u64, now: Micros, how: EndKind, reply: Option<&str>) -> bool {
        let Some(state) = self.pending.get(&msg) else { return true };
        if self.backlog.bytes + size_of_message(state) > self.backlog.max_bytes {
            self.end(msg, now);
            return false;
        }
        self.remember_id(msg, now);
        let Some(mut state) = self.pending.remove(&msg) else { return true };
        if let Some(reply) = reply {
            reply.clone_into(&mut state.last_reply);
        }
        let seq = self.backlog.next_number;
        self.backlog.next_number += 1;
        self.append(&encode_history_end(msg, seq, now, how, reply));
        self.backlog.push(EndedMessage { seq, msg, state, at: now, how });
        true
    }

    /// The messages that have ended since the last call, in their order. The first call after opening returns those
    /// that the folder held, of which the history may have stored some already. A batch must be written first.
    pub fn take_ended(&mut self) -> Vec<EndedMessage> {
        std::mem::take(&mut self.backlog.untaken)
    }

    /// How many ended messages the history has not stored, and their bytes.
    pub fn history_backlog(&self) -> (usize, u64) {
        (self.backlog.waiting.len(), self.backlog.bytes)
    }

    /// Numbers later ends above `seq`, the last that the history has stored: it ignores ends with a number up to that.
    pub fn continue_numbers_after(&mut self, seq: u64) {
        self.backlog.next_number = self.backlog.next_number.max(seq + 1);
    }

    /// The number of the last end.
    pub fn last_end_number(&self) -> u64 {
        self.backlog.next_number - 1
    }

    /// Releases all ended messages up to this number: the history has stored them, or never will.
    pub fn release_up_to(&mut self, seq: u64) {
        while let Some((_, msg, bytes)) =
            self.backlog.waiting.front().copied().filter(|(number, ..)| *number <= seq)
        {
            self.backlog.waiting.pop_front();
            self.backlog.bytes -= bytes;
            // The message is live in one segment only.
            let _ = self.segments.iter_mut().any(|s| s.live.remove(&msg));
        }
        self.remove_dead_segments();
    }

    /// Removes the oldest segment although the history has not stored some messages in it; not if a pending message
    /// is live there. Those messages are lost only if the process is killed before the history has stored them.
    pub(super) fn drop_oldest_ended(&mut self) -> bool {
        let before = self.segments.len();
        let Some(oldest) = self.segments.first_mut() else { return false };
        if oldest.live.iter().any(|msg| self.pending.contains_key(msg)) {
            return false;
        }
        oldest.live.clear();
        self.remove_dead_segments();
        self.segments.len() < before
    }
}
