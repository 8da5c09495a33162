//! What operators' questions look up at the core: where a message is, and what is held. One look-up or one copy under the lock.

use super::{Core, Courier};
use crate::admin::figures::Ended;
use crate::api::Micros;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

/// Bytes of ids of ended messages that are remembered at the most, and what one takes beside its id.
const ENDS_BYTES: usize = 4 << 20;
const END_BYTES: usize = 128;

/// What a held message is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum At {
    /// Waiting to be sent.
    Waiting,
    /// A call is out, or waits for its turn.
    Out,
    /// Its end is decided, and its client has not been told yet.
    NoticeOwed,
}

impl At {
    /// Its word in answers.
    pub fn word(self) -> &'static str {
        match self {
            At::Waiting => "held",
            At::Out => "out",
            At::NoticeOwed => "notice_owed",
        }
    }
}

/// A held message, as far as questions go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// Number of its destination.
    pub dest: u16,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
    /// What it is at.
    pub at: At,
}

/// Where a message is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// It is held here.
    Held {
        /// What, and for whom.
        held: Held,
        /// Calls of it that have begun.
        tries: u8,
        /// Its deadline, since 1970.
        due: Micros,
        /// Where the call that is out went.
        backend: Option<String>,
    },
    /// It has ended in this life of the process.
    Ended {
        /// How.
        how: Ended,
        /// When, since 1970.
        at: Micros,
    },
    /// It has ended and may have taken effect; no more is known of it.
    Recognised,
    /// It was never here, or that is forgotten.
    Unknown,
}

/// Ids of messages that ended lately, and how.
#[derive(Debug, Default)]
pub(super) struct Ends {
    /// None are kept where nobody may ask.
    kept: bool,
    by_id: HashMap<Arc<str>, (Ended, Micros)>,
    order: VecDeque<(Arc<str>, Micros)>,
    bytes: usize,
}

impl Ends {
    pub(super) fn new(kept: bool) -> Ends {
        Ends { kept, ..Ends::default() }
    }

    pub(super) fn ended(&mut self, now: Micros, id: &str, how: Ended) {
        if !self.kept {
            return;
        }
        let id: Arc<str> = id.into();
        self.bytes += id.len() + END_BYTES;
        self.by_id.insert(id.clone(), (how, now));
        self.order.push_back((id, now));
        // Danger: without a bound every id that ever came would stay.
        while self.bytes > ENDS_BYTES {
            let Some((id, at)) = self.order.pop_front() else { return };
            self.bytes -= id.len() + END_BYTES;
            // One that was handed in again, and ended again, is younger than this entry.
            if self.by_id.get(&id).is_some_and(|(_, ended)| *ended == at) {
                self.by_id.remove(&id);
            }
        }
    }
}

impl Core {
    fn at(&self, msg: u64, held: &super::PendingMessage) -> At {
        let decided = || self.journal.owed().get(&msg).is_some_and(|owed| owed.verdict.is_some());
        match held.in_flight {
            true => At::Out,
            false if decided() => At::NoticeOwed,
            false => At::Waiting,
        }
    }

    /// Where the message of this id is.
    pub fn place(&self, now: Micros, id: &str) -> Place {
        let held = self.messages_by_id.get(id).and_then(|msg| Some((*msg, self.messages.get(msg)?)));
        if let Some((msg, held)) = held {
            let req = &held.req;
            let open = self.journal.owed().get(&msg).and_then(|owed| owed.open.as_ref());
            return Place::Held {
                held: Held { dest: req.dest, class: req.class, tenant: req.tenant, at: self.at(msg, held) },
                tries: held.attempts,
                due: req.due,
                backend: open.map(|(_, name)| name.clone()),
            };
        }
        match self.recent_outcomes.by_id.get(id) {
            Some((how, at)) => Place::Ended { how: *how, at: *at },
            None if self.journal.knows(id, now) => Place::Recognised,
            None => Place::Unknown,
        }
    }
}

impl Courier {
    /// Where the message of this id is; `None`: another process has taken over, or is about to.
    pub fn place(&self, id: &str) -> Option<Place> {
        let now = self.clock.now();
        let state = self.state();
        state.is_active().then(|| state.place(now, id))
    }

    /// All that is held, in no order; `None`: another process has taken over, or is about to.
    pub fn held(&self) -> Option<Vec<Held>> {
        let state = self.state();
        if !state.is_active() {
            return None;
        }
        let held = |(msg, held): (&u64, &super::PendingMessage)| {
            let (req, at) = (&held.req, state.at(*msg, held));
            Held { dest: req.dest, class: req.class, tenant: req.tenant, at }
        };
        Some(state.messages.iter().map(held).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ends_are_bounded_by_their_bytes_and_an_end_again_counts_as_the_last() {
        let mut ends = Ends::new(true);
        ends.ended(Micros(1), "again", Ended::Rejected);
        let long = "x".repeat(200);
        let fit = ENDS_BYTES / (200 + 4 + END_BYTES);
        for n in 0..fit - 1 {
            ends.ended(Micros(2), &format!("{long}{n:04}"), Ended::Completed);
        }
        ends.ended(Micros(3), "again", Ended::Completed);
        for n in 0..5 {
            ends.ended(Micros(4), &format!("{long}b{n:03}"), Ended::Failed);
        }
        assert!(ends.bytes <= ENDS_BYTES && ends.by_id.len() <= ends.order.len());
        assert_eq!(ends.by_id["again"], (Ended::Completed, Micros(3)), "its older entry has made room");
        assert!(!ends.by_id.contains_key(format!("{long}0000").as_str()));
        let mut off = Ends::new(false);
        off.ended(Micros(1), "m", Ended::Failed);
        assert!(off.by_id.is_empty());
    }
}
