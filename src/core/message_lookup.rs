//! Lookups for operators: where a message is, and which messages are held. Each takes one lookup or one copy under the lock.

use super::{Core, Courier};
use crate::admin::metrics::Ended;
use crate::api::Micros;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Most bytes taken by the outcomes of ended messages, and the bytes that one takes beside its id.
const MAX_OUTCOME_BYTES: usize = 4 << 20;
const OUTCOME_OVERHEAD_BYTES: usize = 128;

/// The state of a held message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldState {
    /// Waiting to be sent.
    Waiting,
    /// A call is in flight, or waits for its turn.
    InFlight,
    /// Its end is decided, and its client has not been notified yet.
    NoticePending,
}

impl HeldState {
    /// Its name in answers to operators.
    pub fn label(self) -> &'static str {
        match self {
            HeldState::Waiting => "held",
            HeldState::InFlight => "out",
            HeldState::NoticePending => "notice_owed",
        }
    }
}

/// The properties of a held message that lookups return.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldMessage {
    /// Number of its destination.
    pub dest: u16,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
    /// Its state.
    pub state: HeldState,
}

/// Where a message is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageLocation {
    /// This courier holds it.
    Held {
        /// Its destination, class, tenant and state.
        message: HeldMessage,
        /// Number of calls that have begun for it.
        attempts: u8,
        /// Its deadline, since 1970.
        deadline: Micros,
        /// The backend of the call in flight.
        backend: Option<String>,
    },
    /// It has ended during this process run.
    Ended {
        /// How it ended.
        how: Ended,
        /// When it ended, since 1970.
        at: Micros,
    },
    /// It has ended and may have taken effect; only its id is still known.
    KnownDuplicate,
    /// It was never here, or has been forgotten.
    Unknown,
}

/// Outcomes of recently ended messages, by id.
#[derive(Debug, Default)]
pub(super) struct RecentOutcomes {
    /// Nothing is recorded where lookups are off.
    enabled: bool,
    outcomes_by_id: HashMap<Arc<str>, (Ended, Micros)>,
    oldest_first: VecDeque<(Arc<str>, Micros)>,
    bytes: usize,
}

impl RecentOutcomes {
    pub(super) fn new(kept: bool) -> RecentOutcomes {
        RecentOutcomes { enabled: kept, ..RecentOutcomes::default() }
    }

    pub(super) fn record(&mut self, now: Micros, id: &str, how: Ended) {
        if !self.enabled {
            return;
        }
        let id: Arc<str> = id.into();
        self.bytes += id.len() + OUTCOME_OVERHEAD_BYTES;
        self.outcomes_by_id.insert(id.clone(), (how, now));
        self.oldest_first.push_back((id, now));
        // Without a bound every id that was ever submitted would stay in memory.
        while self.bytes > MAX_OUTCOME_BYTES {
            let Some((id, at)) = self.oldest_first.pop_front() else { return };
            self.bytes -= id.len() + OUTCOME_OVERHEAD_BYTES;
            // A message that was submitted and ended again has a later outcome than this entry.
            if self.outcomes_by_id.get(&id).is_some_and(|(_, ended)| *ended == at) {
                self.outcomes_by_id.remove(&id);
            }
        }
    }
}

impl Core {
    fn held_state(&self, msg: u64, held: &super::PendingMessage) -> HeldState {
        let decided = || self.journal.pending().get(&msg).is_some_and(|owed| owed.final_outcome.is_some());
        match held.in_flight {
            true => HeldState::InFlight,
            false if decided() => HeldState::NoticePending,
            false => HeldState::Waiting,
        }
    }

    /// Where the message of this id is.
    pub fn locate_message(&self, now: Micros, id: &str) -> MessageLocation {
        let held = self.messages_by_id.get(id).and_then(|msg| Some((*msg, self.messages.get(msg)?)));
        if let Some((msg, held)) = held {
            let req = &held.req;
            let open = self.journal.pending().get(&msg).and_then(|owed| owed.open_attempt.as_ref());
            return MessageLocation::Held {
                message: HeldMessage {
                    dest: req.dest,
                    class: req.class,
                    tenant: req.tenant,
                    state: self.held_state(msg, held),
                },
                attempts: held.attempts,
                deadline: req.due,
                backend: open.map(|attempt| attempt.backend.clone()),
            };
        }
        match self.recent_outcomes.outcomes_by_id.get(id) {
            Some((how, at)) => MessageLocation::Ended { how: *how, at: *at },
            None if self.journal.knows_id(id, now) => MessageLocation::KnownDuplicate,
            None => MessageLocation::Unknown,
        }
    }
}

impl Courier {
    /// Where the message of this id is; `None`: another process has taken over, or is about to.
    pub fn locate_message(&self, id: &str) -> Option<MessageLocation> {
        let now = self.clock.now();
        let state = self.state();
        state.is_active().then(|| state.locate_message(now, id))
    }

    /// All that is held, in no order; `None`: another process has taken over, or is about to.
    pub fn held_messages(&self) -> Option<Vec<HeldMessage>> {
        let state = self.state();
        if !state.is_active() {
            return None;
        }
        let held = |(msg, held): (&u64, &super::PendingMessage)| {
            let (req, at) = (&held.req, state.held_state(*msg, held));
            HeldMessage { dest: req.dest, class: req.class, tenant: req.tenant, state: at }
        };
        Some(state.messages.iter().map(held).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ends_are_bounded_by_their_bytes_and_an_end_again_counts_as_the_last() {
        let mut ends = RecentOutcomes::new(true);
        ends.record(Micros(1), "again", Ended::Rejected);
        let long = "x".repeat(200);
        let fit = MAX_OUTCOME_BYTES / (200 + 4 + OUTCOME_OVERHEAD_BYTES);
        for n in 0..fit - 1 {
            ends.record(Micros(2), &format!("{long}{n:04}"), Ended::Completed);
        }
        ends.record(Micros(3), "again", Ended::Completed);
        for n in 0..5 {
            ends.record(Micros(4), &format!("{long}b{n:03}"), Ended::Failed);
        }
        assert!(ends.bytes <= MAX_OUTCOME_BYTES && ends.outcomes_by_id.len() <= ends.oldest_first.len());
        assert_eq!(
            ends.outcomes_by_id["again"],
            (Ended::Completed, Micros(3)),
            "its older entry has made room"
        );
        assert!(!ends.outcomes_by_id.contains_key(format!("{long}0000").as_str()));
        let mut off = RecentOutcomes::new(false);
        off.record(Micros(1), "m", Ended::Failed);
        assert!(off.outcomes_by_id.is_empty());
    }
}
