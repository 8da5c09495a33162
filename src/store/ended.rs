//! Messages that have ended and that whoever keeps a history has not put away yet. Their last record says when and how, so that the
//! journal alone knows it: a process that is killed before the history has them finds them here again. Segments stay until then.

use super::records::end_kept;
use super::{Journal, Owed};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// They take no more than this share of the journal's budget, nor more than so many bytes.
const SHARE: u64 = 8;
const MOST: u64 = 4 << 20;
/// Bytes of them that are found in a folder at most, the oldest go first: those were put away first.
const FOUND: u64 = 4 * MOST;
/// Bytes that each takes beside what it is.
const BESIDE: u64 = 512;

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum How {
    /// A backend took it.
    Delivered,
    /// Its client was told that nothing is promised.
    GivenUp,
    /// Its client was told to hand it in again.
    HandedBack,
}

/// A message that has ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Ended {
    /// One more with each.
    pub seq: u64,
    /// The message.
    pub msg: u64,
    /// As it was owed.
    pub owed: Owed,
    /// When it ended.
    pub at: Micros,
    /// How.
    pub how: How,
}

/// Those that have not been put away.
pub(super) struct Backlog {
    next: u64,
    /// Number, message and bytes, the oldest first.
    waits: VecDeque<(u64, u64, u64)>,
    bytes: u64,
    most: u64,
    /// Not given out yet.
    fresh: Vec<Ended>,
}

fn weight(owed: &Owed) -> u64 {
    (owed.req.body.len() + owed.req.head.len() + owed.said.len()) as u64 + BESIDE
}

impl Backlog {
    /// With those that a folder held.
    pub fn new(budget: u64, found: Found) -> Backlog {
        let mut backlog = Backlog {
            next: found.last + 1,
            waits: VecDeque::new(),
            bytes: 0,
            most: (budget / SHARE).min(MOST),
            fresh: Vec::new(),
        };
        found.ends.into_values().for_each(|end| backlog.push(end));
        backlog
    }

    fn push(&mut self, end: Ended) {
        let bytes = weight(&end.owed);
        self.bytes += bytes;
        self.waits.push_back((end.seq, end.msg, bytes));
        self.fresh.push(end);
    }
}

/// What was read of them.
#[derive(Default)]
pub(super) struct Found {
    /// By number.
    pub ends: BTreeMap<u64, Ended>,
    bytes: u64,
    last: u64,
}

impl Found {
    /// One more.
    pub fn push(&mut self, end: Ended) {
        self.last = self.last.max(end.seq);
        self.bytes += weight(&end.owed);
        if let Some(twice) = self.ends.insert(end.seq, end) {
            self.bytes -= weight(&twice.owed);
        }
        while self.bytes > FOUND {
            let Some((_, oldest)) = self.ends.pop_first() else { break };
            self.bytes -= weight(&oldest.owed);
        }
    }
}

impl Journal {
    /// As [`Journal::end`], for a message that is to be put away: it is given out by [`Journal::ended`], and stays here until
    /// [`Journal::kept`] says that it has been. `said`: the last word of the call that ended it. `false`: too many wait, and it has
    /// ended without.
    pub fn end_kept(&mut self, msg: u64, now: Micros, how: How, said: Option<&str>) -> bool {
        let Some(owed) = self.owed.get(&msg) else { return true };
        if self.backlog.bytes + weight(owed) > self.backlog.most {
            self.end(msg, now);
            return false;
        }
        self.recognise(msg, now);
        let Some(mut owed) = self.owed.remove(&msg) else { return true };
        if let Some(said) = said {
            said.clone_into(&mut owed.said);
        }
        let seq = self.backlog.next;
        self.backlog.next += 1;
        self.append(&end_kept(msg, seq, now, how, said));
        self.backlog.push(Ended { seq, msg, owed, at: now, how });
        true
    }

    /// Those that have ended since this was last asked, in their order; after an opening those that the folder held, of which
    /// some may have been put away before. What was gathered must be written first.
    pub fn ended(&mut self) -> Vec<Ended> {
        std::mem::take(&mut self.backlog.fresh)
    }

    /// How many have ended and wait to be put away, and their bytes.
    pub fn waiting(&self) -> (usize, u64) {
        (self.backlog.waits.len(), self.backlog.bytes)
    }

    /// Numbers go on behind this one. Danger: whoever puts them away passes by those up to the last that it has.
    pub fn ends_from(&mut self, seq: u64) {
        self.backlog.next = self.backlog.next.max(seq + 1);
    }

    /// The number of the last.
    pub fn last_end(&self) -> u64 {
        self.backlog.next - 1
    }

    /// All up to this one were put away, or never will be.
    pub fn kept(&mut self, seq: u64) {
        while let Some((_, msg, bytes)) = self.backlog.waits.front().copied().filter(|(n, ..)| *n <= seq) {
            self.backlog.waits.pop_front();
            self.backlog.bytes -= bytes;
            // It lives in one segment.
            let _ = self.segments.iter_mut().any(|s| s.live.remove(&msg));
        }
        self.drop_dead();
    }

    /// The oldest segment goes though some that it holds wait to be put away; not if one lives there that is owed. They are lost
    /// only if the process is killed before they have been.
    pub(super) fn let_go(&mut self) -> bool {
        let before = self.segments.len();
        let Some(oldest) = self.segments.first_mut() else { return false };
        if oldest.live.iter().any(|msg| self.owed.contains_key(msg)) {
            return false;
        }
        oldest.live.clear();
        self.drop_dead();
        self.segments.len() < before
    }
}
