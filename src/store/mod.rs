//! The journal: a write-ahead log of the messages that the courier has accepted, so that they survive its process.
//! Every record is appended with one write before the step that it covers (the 202 reply, the first byte of a fetch).
//! Data that was written survives a kill of the process, so nothing is synced to disk. If the machine is lost, so is
//! the folder; the platform takes that into account.
//!
//! The folder holds small segments, `00000001.log` and up. A record is `length u32, crc32 u32, body`; a body is
//! `kind u8, message u64` and the fields of that kind, little-endian. Segments without live messages are removed, the
//! oldest first. If a segment stays too long, its live messages are written again at the tail. A later accept record
//! of a message replaces all its earlier records, so a kill between the copy and the removal does no harm.

mod accepting;
mod appending;
pub mod checksummed_file;
mod ended_ids;
mod history_backlog;
mod id_retention;
pub mod owner;
mod recorded_names;
mod records;
mod recovery;
pub mod salvage;
mod segments;
pub mod storage;

use crate::api::{Micros, ZoneId};
use accepting::EndReserve;
use appending::Tail;
pub use ended_ids::EndedIdFigures;
use ended_ids::EndedIds;
use history_backlog::Backlog;
pub use history_backlog::{EndKind, EndedMessage};
pub use recorded_names::{PositionNames, RecordedNames};
use records::{
    apply, attempt_start_body, put_final_outcome, put_record, put_text, record_body, END, FINAL_OUTCOME,
    OUTCOME,
};
use recovery::{mark_uncertain, read_segments, save_damaged_bytes, Recovery};
use segments::{Segment, BLOCK_BYTES, SEGMENTS_IN_BUDGET};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;
use std::sync::Arc;
use storage::{DirStorage, Storage};

/// How a message ended, where its client must be notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinalOutcome {
    /// It failed; the message may have taken effect or not.
    GivenUp,
    /// It took no effect, and the client may submit it again, preferably after this delay.
    HandedBack(Micros),
}

/// A req as its front accepted it. Only the front interprets `head` and `body`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Req {
    /// The client's id for it.
    pub id: String,
    /// Number of the front that accepted it.
    pub front: u8,
    /// Number of its destination.
    pub dest: u16,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
    /// Absolute deadline.
    pub due: Micros,
    /// What the front needs besides the body: an idempotency key, an envelope.
    pub head: String,
    /// Passed on unchanged.
    pub body: Arc<[u8]>,
    /// Until when `id` is recognised after a message that may have taken effect has ended; 0: not at all.
    pub keep_id_until: Micros,
}

/// How a process takes over a folder that another process has written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartMode {
    /// The other process is gone, and the results of its calls in flight are lost.
    Restart,
    /// The other process completes its calls in flight and reports their results.
    Handover,
}

impl StartMode {
    fn to_byte(self) -> u8 {
        u8::from(self == StartMode::Handover)
    }

    fn from_byte(byte: u8) -> StartMode {
        match byte {
            0 => StartMode::Restart,
            _ => StartMode::Handover,
        }
    }
}

/// An attempt that was started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartedAttempt {
    /// When it started.
    pub at: Micros,
    /// Name of its backend.
    pub backend: String,
    /// The zone that the backend was listed in; `None`: not known, or written by an older version.
    pub zone: Option<ZoneId>,
}

impl StartedAttempt {
    /// An attempt of which neither time nor backend is known, as its record is damaged.
    fn unknown() -> StartedAttempt {
        StartedAttempt { at: Micros(0), backend: String::new(), zone: None }
    }
}

/// The journal's state of a message that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct MessageState {
    /// The req itself.
    pub req: Arc<Req>,
    /// Number of attempts started.
    pub attempts: u32,
    /// The first attempt that may have taken effect.
    pub first_uncertain: Option<StartedAttempt>,
    /// The attempt in flight, in this process or in the one that handed over to it.
    pub open_attempt: Option<StartedAttempt>,
    /// The decided final outcome; only the notice to the client is pending.
    pub final_outcome: Option<FinalOutcome>,
    /// The last reply of a backend, for the notice of the message's end.
    pub last_reply: String,
    /// Names of its class and tenant.
    pub names: RecordedNames,
    /// The message whose end this one reports.
    pub replaces: Option<ReplacedMessage>,
    /// Bytes kept free for the record of the message that will report this one's end.
    pub end_reserve: u64,
}

/// A message whose place a bounce has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplacedMessage {
    /// Its number.
    pub msg: u64,
    /// The destination whose places it used.
    pub destination: u16,
}

/// Stored data that differs from what was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damage {
    /// Number of the segment.
    pub segment: u64,
    /// The unreadable bytes of the segment; empty if it is known only that the segment has changed.
    pub bytes: std::ops::Range<usize>,
    /// What was found, as text for the log.
    pub description: &'static str,
}

/// The journal of one courier.
pub struct Journal {
    storage: Box<dyn Storage>,
    /// Disk space in bytes that the journal may use.
    budget: u64,
    segment_bytes: u64,
    segments: Vec<Segment>,
    pending: BTreeMap<u64, MessageState>,
    ended_ids: EndedIds,
    /// Classes whose messages may safely run twice, by position in the settings.
    repeatable_classes: BTreeSet<u16>,
    /// Names of the positions that reqs hold; `None`: they are not recorded.
    names: Option<PositionNames>,
    /// Records that [`Journal::write_batch`] writes together; `None`: each record is written at once.
    batch: Option<Vec<u8>>,
    /// Complete records that could not be written, the oldest first; no entry is longer than a segment.
    unwritten: VecDeque<Vec<u8>>,
    /// Bytes to keep free for the report of a req's end; `None`: no end is reported by a message.
    end_reserve: Option<EndReserve>,
    tail: Tail,
    /// The error of the last write; `None`: it succeeded.
    last_failure: Option<String>,
    incarnation: u64,
    start_mode: StartMode,
    damages: Vec<Damage>,
    uncertain_count: usize,
    /// Disk space of the saved copies of damaged bytes.
    damaged_copies_bytes: u64,
    /// Ended messages that the history has not stored yet.
    backlog: Backlog,
}

impl Journal {
    /// Opens the folder after a restart and reads the pending messages, see [`Journal::open_storage`].
    pub fn open(dir: &Path, budget: u64, now: Micros) -> io::Result<Journal> {
        Journal::open_as(dir, budget, now, 0, StartMode::Restart)
    }

    /// Opens the folder for an owner with this incarnation number; 0: one more than any that has written here.
    pub fn open_as(
        dir: &Path, budget: u64, now: Micros, incarnation: u64, start_mode: StartMode,
    ) -> io::Result<Journal> {
        Journal::read(Box::new(DirStorage::new(dir)?), budget, now, incarnation, start_mode)
    }

    /// Reads the pending messages from `storage`. An incomplete last record was being written when the process died,
    /// so the step that it covers had not been acknowledged. Any other difference from what was written is a
    /// [`Damage`]: the records after it are still read and the damaged bytes are saved. Each message that was
    /// accepted before the damage, and so may have had a record there, counts as one that may have run at an unknown
    /// time and backend: it is sent again only if a repeat does no harm.
    pub fn open_storage(storage: Box<dyn Storage>, budget: u64, now: Micros) -> io::Result<Journal> {
        Journal::read(storage, budget, now, 0, StartMode::Restart)
    }

    fn read(
        mut storage: Box<dyn Storage>, budget: u64, now: Micros, incarnation: u64, start_mode: StartMode,
    ) -> io::Result<Journal> {
        let budget = budget.max(64 * 1024);
        let ended_ids = EndedIds::read(&*storage, budget / id_retention::BUDGET_DIVISOR, now)?;
        let mut recovery = Recovery::default();
        let mut segments = read_segments(&*storage, &mut recovery)?;
        recovery.apply_start_mode(start_mode);
        // Damaged bytes that can't be saved now are lost with their segment; no pending message depends on them.
        let damaged_copies_bytes =
            save_damaged_bytes(&mut *storage, &recovery.damages, &segments).unwrap_or(0);
        let Recovery { mut pending, accepted_at, damages, incarnation: previous, ended } = recovery;
        let uncertain_count = mark_uncertain(&mut pending, &accepted_at, &damages);
        // A message is live in the last segment that holds an accept record of it.
        let mut seen = BTreeSet::new();
        let waiting: BTreeSet<u64> = ended.by_number.values().map(|end| end.msg).collect();
        for segment in segments.iter_mut().rev() {
            segment.live.retain(|m| (pending.contains_key(m) || waiting.contains(m)) && seen.insert(*m));
        }
        let mut journal = Journal {
            storage,
            budget,
            segment_bytes: (budget / SEGMENTS_IN_BUDGET).max(16 * BLOCK_BYTES),
            segments,
            pending,
            ended_ids,
            repeatable_classes: BTreeSet::new(),
            names: None,
            batch: None,
            unwritten: VecDeque::new(),
            end_reserve: None,
            tail: Tail::Missing,
            last_failure: None,
            incarnation: incarnation.max(previous + 1),
            start_mode,
            damages,
            uncertain_count,
            damaged_copies_bytes,
            backlog: Backlog::new(budget, ended),
        };
        // The pending messages are served even if the folder can't be written now; a later repair writes what is
        // missing.
        let _ = journal.repair();
        journal.remove_dead_segments();
        Ok(journal)
    }

    /// The incarnation number of this owner.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The damages found, and how many messages count as uncertain because of them.
    pub fn damages(&self) -> (&[Damage], usize) {
        (&self.damages, self.uncertain_count)
    }

    /// The messages that have not ended, by number.
    pub fn pending(&self) -> &BTreeMap<u64, MessageState> {
        &self.pending
    }

    /// Records that an attempt is about to start. After an error it must not start, and the journal is unchanged.
    pub fn start_attempt(
        &mut self, msg: u64, now: Micros, backend: &str, zone: Option<ZoneId>,
    ) -> io::Result<()> {
        self.start_attempts(&[(msg, StartedAttempt { at: now, backend: backend.to_owned(), zone })])
    }

    /// As [`Journal::start_attempt`], for attempts that share a call. They are recorded by one write: all may start,
    /// or none.
    pub fn start_attempts(&mut self, attempts: &[(u64, StartedAttempt)]) -> io::Result<()> {
        let pending = attempts.iter().filter(|(msg, _)| self.pending.contains_key(msg));
        let bodies: Vec<Vec<u8>> = pending.map(|(msg, attempt)| attempt_start_body(*msg, attempt)).collect();
        let mut records = Vec::new();
        bodies.iter().for_each(|body| put_record(&mut records, body));
        if !records.is_empty() {
            self.write_now(&records)?;
        }
        for body in &bodies {
            apply(body, &mut self.pending, &mut BTreeSet::new());
        }
        Ok(())
    }

    /// Records that a fetch is finished. `may_have_run` is false only if its outcome proves that it had no effect;
    /// `reply` is the text of the backend's reply.
    pub fn record_outcome(&mut self, msg: u64, may_have_run: bool, reply: &str) {
        let mut body = record_body(OUTCOME, msg);
        body.push(u8::from(may_have_run));
        put_text(&mut body, reply);
        self.change(msg, &body);
    }

    /// Records the message's final outcome, of which its client must be notified.
    pub fn record_final_outcome(&mut self, msg: u64, outcome: FinalOutcome) {
        let mut body = record_body(FINAL_OUTCOME, msg);
        put_final_outcome(&mut body, Some(outcome));
        self.change(msg, &body);
    }

    /// Ends a message. If it may have taken effect, its id is recognised until its `keep_id_until`, because a client
    /// that did not receive the answer submits the same message again long after it was delivered.
    pub fn end(&mut self, msg: u64, now: Micros) {
        self.remember_id(msg, now);
        self.change(msg, &record_body(END, msg));
        self.remove_dead_segments();
    }

    /// Revokes the acceptance of a message that was just accepted. After an error it is still pending.
    pub fn withdraw(&mut self, msg: u64) -> io::Result<()> {
        if self.pending.contains_key(&msg) {
            self.append_now(&record_body(END, msg))?;
            self.apply_change(msg, &record_body(END, msg));
            self.remove_dead_segments();
        }
        Ok(())
    }

    fn change(&mut self, msg: u64, body: &[u8]) {
        if self.pending.contains_key(&msg) {
            self.apply_change(msg, body);
            self.append(body);
        }
    }

    fn apply_change(&mut self, msg: u64, body: &[u8]) {
        apply(body, &mut self.pending, &mut BTreeSet::new());
        if !self.pending.contains_key(&msg) {
            self.segments.iter_mut().for_each(|s| {
                s.live.remove(&msg);
            });
        }
    }

    /// Marks the message as live in the last segment and in no other.
    fn set_live_in_tail(&mut self, msg: u64) {
        for segment in &mut self.segments {
            segment.live.remove(&msg);
        }
        if let Some(last) = self.segments.last_mut() {
            last.live.insert(msg);
        }
    }
}
