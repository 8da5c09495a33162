//! The journal: what the courier has taken on outlasts its process. Every record is appended with one write
//! before the step that it covers (a 202, the first byte of a fetch); a process that is killed loses nothing that
//! was written, so nothing is synced. A machine that is lost loses the folder, and the platform knows that.
//!
//! The folder holds small segments, `00000001.log` and up. A record is `length u32, crc32 u32, body`; a body is
//! `kind u8, message u64` and what the kind needs, little-endian. Segments go from the oldest on, once they hold
//! no live message; the live ones of a segment that stays too long are written again at the tail. A later record
//! of a message takes the place of all before it, so a stop between the two steps does no harm.

mod appending;
mod ended;
pub mod home;
mod ids;
pub mod owner;
mod reading;
mod records;
pub mod salvage;
pub mod sealed;
mod segments;

use crate::api::Micros;
use appending::Tail;
use ended::Backlog;
pub use ended::{Ended, How};
use home::{Folder, Home};
use ids::{read_ids, IDS};
use reading::{doubt, keep_aside, read_segments, Reading};
use records::{apply, begin_body, body, encode_take, put_record, put_verdict, text, END, OUTCOME, VERDICT};
use salvage::HEAD;
use segments::{Segment, BLOCK, SEGMENT_PARTS};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::path::Path;
use std::sync::Arc;

/// How a message ended, where its client must be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Failed; nothing is promised.
    GivenUp,
    /// It did no harm and may be handed in again, best after so long.
    HandedBack(Micros),
}

/// A req as its front took it on. The front alone knows what `head` and `body` mean.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Req {
    /// The client's name for it.
    pub id: String,
    /// Which front it belongs to.
    pub front: u8,
    /// Number of its destination.
    pub dest: u16,
    /// Its class, by position in the settings.
    pub class: u16,
    /// Its tenant, by position in the settings.
    pub tenant: u16,
    /// Absolute deadline.
    pub due: Micros,
    /// What the front needs beside the body: an idempotency key, an envelope.
    pub head: String,
    /// Passed on unchanged.
    pub body: Arc<[u8]>,
    /// Until when `id` is recognised after a message that may have taken effect has ended; 0: not at all.
    pub keep_id: Micros,
}

/// How a process comes to a folder that another one has written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Succession {
    /// The other one is gone, and nobody will hear how its calls ended.
    Restart,
    /// The other one carries the calls that it has out to their ends, and tells how they end.
    HandOver,
}

impl Succession {
    fn to_byte(self) -> u8 {
        u8::from(self == Succession::HandOver)
    }

    fn from_byte(byte: u8) -> Succession {
        match byte {
            0 => Succession::Restart,
            _ => Succession::HandOver,
        }
    }
}

/// A message in the journal that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Owed {
    /// The req itself.
    pub req: Arc<Req>,
    /// Fetches begun.
    pub tries: u32,
    /// The first fetch that may have run: when it began and at which backend.
    pub risk: Option<(Micros, String)>,
    /// A call that is out now, in this process or in the one that handed over to it.
    pub open: Option<(Micros, String)>,
    /// Decided already; only the notice is owed.
    pub verdict: Option<Verdict>,
    /// What a backend last said of it, for whoever is told its end.
    pub said: String,
}

/// Something that was not as it had been written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Damage {
    /// The segment.
    pub segment: u64,
    /// Bytes of it that can't be read; none where it is known only that the segment is not what it was.
    pub bytes: std::ops::Range<usize>,
    /// What is known of it, in words.
    pub what: &'static str,
}

/// The journal of one courier.
pub struct Journal {
    home: Box<dyn Home>,
    budget: u64,
    segment_bytes: u64,
    segments: Vec<Segment>,
    owed: BTreeMap<u64, Owed>,
    /// Ids of ended messages that are still recognised, and until when.
    ids: BTreeMap<String, Micros>,
    ids_bytes: u64,
    /// Their file lacks some, or ends in half a line.
    ids_stale: bool,
    /// Records that are written together once [`Journal::written`] is called; `None`: each is written at once.
    gathered: Option<Vec<u8>>,
    /// Whole records that could not be written, the oldest first; no entry is longer than a segment.
    unwritten: VecDeque<Vec<u8>>,
    tail: Tail,
    /// Why the last write failed; `None`: it did not.
    failure: Option<String>,
    incarnation: u64,
    succession: Succession,
    damages: Vec<Damage>,
    doubted: usize,
    aside: u64,
    /// Ended, and not put away.
    backlog: Backlog,
}

impl Journal {
    /// Opens the folder and reads what is owed, see [`Journal::at`].
    pub fn open(dir: &Path, disk: u64, now: Micros) -> io::Result<Journal> {
        Journal::open_as(dir, disk, now, 0, Succession::Restart)
    }

    /// The same for an owner of this number; 0: one more than any that has written here.
    pub fn open_as(
        dir: &Path, disk: u64, now: Micros, incarnation: u64, succession: Succession,
    ) -> io::Result<Journal> {
        Journal::read(Box::new(Folder::new(dir)?), disk, now, incarnation, succession)
    }

    /// Reads what is owed. A last record that is not whole was being written when the process died, so what it covers had
    /// not been promised. Anything else that is not as it was written is a [`Damage`]: what can be read behind it is read,
    /// the bytes are kept aside, and each message that was taken before it, and may have had a record there, counts as one
    /// that may have run, nobody knows when or where: it is not sent again unless that does no harm.
    pub fn at(home: Box<dyn Home>, disk: u64, now: Micros) -> io::Result<Journal> {
        Journal::read(home, disk, now, 0, Succession::Restart)
    }

    fn read(
        mut home: Box<dyn Home>, disk: u64, now: Micros, incarnation: u64, succession: Succession,
    ) -> io::Result<Journal> {
        let ids = read_ids(home.read(IDS)?.unwrap_or_default(), now);
        let budget = disk.max(64 * 1024);
        let mut reading = Reading::default();
        let mut segments = read_segments(&*home, &mut reading)?;
        reading.succeed(succession);
        // What can't be kept aside now is lost with its segment; nothing that is owed rests on it.
        let aside = keep_aside(&mut *home, &reading.damages, &segments).unwrap_or(0);
        let Reading { mut owed, taken_at, damages, incarnation: before, found } = reading;
        let doubted = doubt(&mut owed, &taken_at, &damages);
        // A message lives in the last segment that holds a take of it.
        let mut seen = BTreeSet::new();
        let waiting: BTreeSet<u64> = found.ends.values().map(|end| end.msg).collect();
        for segment in segments.iter_mut().rev() {
            segment.live.retain(|m| (owed.contains_key(m) || waiting.contains(m)) && seen.insert(*m));
        }
        let mut journal = Journal {
            home,
            budget,
            segment_bytes: (budget / SEGMENT_PARTS).max(16 * BLOCK),
            segments,
            owed,
            ids,
            ids_bytes: 0,
            ids_stale: true,
            gathered: None,
            unwritten: VecDeque::new(),
            tail: Tail::Missing,
            failure: None,
            incarnation: incarnation.max(before + 1),
            succession,
            damages,
            doubted,
            aside,
            backlog: Backlog::new(budget, found),
        };
        // Danger: a folder that can't be written just now still says what is owed; what is missing is written later.
        let _ = journal.catch_up();
        journal.drop_dead();
        Ok(journal)
    }

    /// The number of this owner.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// What was not as it had been written, and how many messages are in doubt for it.
    pub fn damages(&self) -> (&[Damage], usize) {
        (&self.damages, self.doubted)
    }

    /// What is owed, by message.
    pub fn owed(&self) -> &BTreeMap<u64, Owed> {
        &self.owed
    }

    /// Whether a message of this id has ended and may have taken effect.
    pub fn knows(&self, id: &str, now: Micros) -> bool {
        self.ids.get(id).is_some_and(|until| *until > now)
    }

    /// Takes reqs on, all by one write; says how many of them, from the first on, there was room for. The others must be
    /// refused. An error says that none could be written.
    pub fn take(&mut self, reqs: &[(u64, Arc<Req>)]) -> io::Result<usize> {
        let (mut records, mut taken, mut written) = (Vec::new(), 0, 0);
        for (msg, req) in reqs {
            let owed = Owed {
                req: req.clone(),
                tries: 0,
                risk: None,
                open: None,
                verdict: None,
                said: String::new(),
            };
            let body = encode_take(*msg, &owed);
            match self.make_room((records.len() + HEAD + body.len()) as u64) {
                Ok(true) => {}
                // What waits in `records` may still be written.
                Ok(false) | Err(_) => break,
            }
            // No segment gets longer than it should.
            if !records.is_empty() && (records.len() + HEAD + body.len()) as u64 > self.segment_bytes {
                match self.write_takes(&mut records, &reqs[written..taken]) {
                    Ok(()) => written = taken,
                    Err(e) => return if written > 0 { Ok(written) } else { Err(e) },
                }
            }
            put_record(&mut records, &body);
            self.owed.insert(*msg, owed);
            taken += 1;
        }
        match self.write_takes(&mut records, &reqs[written..taken]) {
            Ok(()) => Ok(taken),
            Err(_) if written > 0 => Ok(written),
            Err(e) => Err(e),
        }
    }

    fn write_takes(&mut self, records: &mut Vec<u8>, reqs: &[(u64, Arc<Req>)]) -> io::Result<()> {
        if reqs.is_empty() {
            return Ok(());
        }
        self.write_now(records).inspect_err(|_| {
            reqs.iter().for_each(|(msg, _)| drop(self.owed.remove(msg)));
        })?;
        records.clear();
        reqs.iter().for_each(|(msg, _)| self.lives_here(*msg));
        Ok(())
    }

    /// An attempt is about to begin. After an error it must not, and the journal is as it was.
    pub fn begin(&mut self, msg: u64, now: Micros, endpoint: &str) -> io::Result<()> {
        self.begin_all(now, &[(msg, endpoint)])
    }

    /// The same for attempts that share a call, by one write: all of them may begin, or none.
    pub fn begin_all(&mut self, now: Micros, attempts: &[(u64, &str)]) -> io::Result<()> {
        let owed = attempts.iter().filter(|(msg, _)| self.owed.contains_key(msg));
        let bodies: Vec<Vec<u8>> = owed.map(|(msg, endpoint)| begin_body(*msg, now, endpoint)).collect();
        let mut records = Vec::new();
        bodies.iter().for_each(|body| put_record(&mut records, body));
        if !records.is_empty() {
            self.write_now(&records)?;
        }
        for body in &bodies {
            apply(body, &mut self.owed, &mut BTreeSet::new());
        }
        Ok(())
    }

    /// A fetch is over; `may_have_run` unless its outcome proves that it never did. `said` is the backend's word.
    pub fn outcome(&mut self, msg: u64, may_have_run: bool, said: &str) {
        let mut body = body(OUTCOME, msg);
        body.push(u8::from(may_have_run));
        text(&mut body, said);
        self.change(msg, &body);
    }

    /// The message's end is decided and its client must be told.
    pub fn verdict(&mut self, msg: u64, verdict: Verdict) {
        let mut body = body(VERDICT, msg);
        put_verdict(&mut body, Some(verdict));
        self.change(msg, &body);
    }

    /// Nothing more is owed. What may have taken effect is still recognised for as long as it asked for.
    /// Danger: a client whose answer was lost hands the same message in again, long after it was delivered.
    pub fn end(&mut self, msg: u64, now: Micros) {
        self.recognise(msg, now);
        self.change(msg, &body(END, msg));
        self.drop_dead();
    }

    /// A message that was just taken is not taken on after all. After an error it still is.
    pub fn withdraw(&mut self, msg: u64) -> io::Result<()> {
        if self.owed.contains_key(&msg) {
            self.append_now(&body(END, msg))?;
            self.apply_change(msg, &body(END, msg));
            self.drop_dead();
        }
        Ok(())
    }

    fn change(&mut self, msg: u64, body: &[u8]) {
        if self.owed.contains_key(&msg) {
            self.apply_change(msg, body);
            self.append(body);
        }
    }

    fn apply_change(&mut self, msg: u64, body: &[u8]) {
        apply(body, &mut self.owed, &mut BTreeSet::new());
        if !self.owed.contains_key(&msg) {
            self.segments.iter_mut().for_each(|s| {
                s.live.remove(&msg);
            });
        }
    }

    fn lives_here(&mut self, msg: u64) {
        for segment in &mut self.segments {
            segment.live.remove(&msg);
        }
        if let Some(last) = self.segments.last_mut() {
            last.live.insert(msg);
        }
    }
}
