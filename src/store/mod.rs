//! The journal: what the courier has taken on outlasts its process. Every record is appended with one write
//! before the step that it covers (a 202, the first byte of a fetch); a process that is killed loses nothing that
//! was written, so nothing is synced. A machine that is lost loses the folder, and the platform knows that.
//!
//! The folder holds small segments, `00000001.log` and up. A record is `length u32, crc32 u32, body`; a body is
//! `kind u8, message u64` and what the kind needs, little-endian. Segments go from the oldest on, once they hold
//! no live message; the live ones of a segment that stays too long are written again at the tail. A later record
//! of a message takes the place of all before it, so a stop between the two steps does no harm.

pub mod home;
pub mod owner;
pub mod salvage;
pub mod sealed;

use crate::api::Micros;
use home::{Folder, Home};
use salvage::{pieces, Piece, HEAD};
use std::collections::{BTreeMap, BTreeSet};
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

/// A message in the journal that has not ended.
#[derive(Debug, Clone, PartialEq)]
pub struct Owed {
    /// The req itself.
    pub req: Arc<Req>,
    /// Fetches begun.
    pub tries: u32,
    /// The first fetch that may have run: when it began and at which backend.
    pub risk: Option<(Micros, String)>,
    /// A fetch that has begun and has no outcome.
    pub open: Option<(Micros, String)>,
    /// Decided already; only the notice is owed.
    pub verdict: Option<Verdict>,
    /// What a backend last said of it, for whoever is told its end.
    pub said: String,
}

const SEGMENT_PARTS: u64 = 16;
const BLOCK: u64 = 512;
/// Damaged bytes that are kept aside, by damage, and damages of which they are.
const ASIDE_BYTES: usize = 8 * 1024;
const ASIDE_MOST: usize = 8;
const ASIDE: &str = "damaged-";
/// The file of ids that are still recognised, its share of the budget, and how it is written anew.
const IDS: &str = "ids.log";
const IDS_SHARE: u64 = 8;

struct Segment {
    number: u64,
    name: String,
    bytes: u64,
    /// Checksum of all its bytes; the next segment begins with it.
    sum: crc32fast::Hasher,
    live: BTreeSet<u64>,
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
    /// Records that are written together once [`Journal::written`] is called; `None`: each is written at once.
    gathered: Option<Vec<u8>>,
    incarnation: u64,
    damages: Vec<Damage>,
    doubted: usize,
    aside: u64,
}

impl Journal {
    /// Opens the folder and reads what is owed, see [`Journal::at`].
    pub fn open(dir: &Path, disk: u64, now: Micros) -> io::Result<Journal> {
        Journal::open_as(dir, disk, now, 0)
    }

    /// The same for an owner of this number; 0: one more than any that has written here.
    pub fn open_as(dir: &Path, disk: u64, now: Micros, incarnation: u64) -> io::Result<Journal> {
        Journal::read(Box::new(Folder::new(dir)?), disk, now, incarnation)
    }

    /// Reads what is owed. A last record that is not whole was being written when the process died, so what it covers had
    /// not been promised. Anything else that is not as it was written is a [`Damage`]: what can be read behind it is read,
    /// the bytes are kept aside, and each message that was taken before it, and may have had a record there, counts as one
    /// that may have run, nobody knows when or where: it is not sent again unless that does no harm.
    pub fn at(home: Box<dyn Home>, disk: u64, now: Micros) -> io::Result<Journal> {
        Journal::read(home, disk, now, 0)
    }

    fn read(mut home: Box<dyn Home>, disk: u64, now: Micros, incarnation: u64) -> io::Result<Journal> {
        let ids = read_ids(home.read(IDS)?.unwrap_or_default(), now);
        let ids_bytes = write_ids(&mut *home, &ids)?;
        let budget = disk.max(64 * 1024);
        let mut numbers: Vec<(u64, String)> = Vec::new();
        for name in home.names()? {
            let number = name.strip_suffix(".log").and_then(|n| n.parse().ok());
            numbers.extend(number.map(|n| (n, name)));
        }
        numbers.sort();
        let next = numbers.last().map_or(1, |(n, _)| n + 1);
        let mut reading = Reading::default();
        let mut segments: Vec<Segment> = Vec::new();
        for (number, name) in numbers {
            let bytes = home.read(&name)?.unwrap_or_default();
            let live = reading.segment(number, &bytes, segments.last());
            let mut sum = crc32fast::Hasher::new();
            sum.update(&bytes);
            segments.push(Segment { number, name, bytes: bytes.len() as u64, sum, live });
        }
        let aside = keep_aside(&mut *home, &reading.damages, &segments)?;
        let Reading { mut owed, taken_at, damages, incarnation: before, .. } = reading;
        let doubted = doubt(&mut owed, &taken_at, &damages);
        // A message lives in the last segment that holds a take of it.
        let mut seen = BTreeSet::new();
        for segment in segments.iter_mut().rev() {
            segment.live.retain(|m| owed.contains_key(m) && seen.insert(*m));
        }
        let segment_bytes = (budget / SEGMENT_PARTS).max(16 * BLOCK);
        let incarnation = incarnation.max(before + 1);
        segments.push(new_segment(&mut *home, next, incarnation, segments.last())?);
        let gathered = None;
        let mut journal = Journal {
            home,
            budget,
            segment_bytes,
            segments,
            owed,
            ids,
            ids_bytes,
            gathered,
            incarnation,
            damages,
            doubted,
            aside,
        };
        journal.drop_dead()?;
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
    /// refused.
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
            if !self.make_room((records.len() + HEAD + body.len()) as u64)? {
                break;
            }
            // No segment gets longer than it should.
            if !records.is_empty() && (records.len() + HEAD + body.len()) as u64 > self.segment_bytes {
                self.write_takes(&mut records, &reqs[written..taken])?;
                written = taken;
            }
            put_record(&mut records, &body);
            self.owed.insert(*msg, owed);
            taken += 1;
        }
        self.write_takes(&mut records, &reqs[written..taken])?;
        Ok(taken)
    }

    fn write_takes(&mut self, records: &mut Vec<u8>, reqs: &[(u64, Arc<Req>)]) -> io::Result<()> {
        if reqs.is_empty() {
            return Ok(());
        }
        self.write(records).inspect_err(|_| {
            reqs.iter().for_each(|(msg, _)| drop(self.owed.remove(msg)));
        })?;
        records.clear();
        reqs.iter().for_each(|(msg, _)| self.lives_here(*msg));
        Ok(())
    }

    /// A fetch is about to begin.
    pub fn begin(&mut self, msg: u64, now: Micros, backend: &str) -> io::Result<()> {
        let mut body = body(BEGIN, msg);
        body.extend(now.0.to_le_bytes());
        text(&mut body, backend);
        self.change(msg, &body)
    }

    /// A fetch is over; `may_have_run` unless its outcome proves that it never did. `said` is the backend's word.
    pub fn outcome(&mut self, msg: u64, may_have_run: bool, said: &str) -> io::Result<()> {
        let mut body = body(OUTCOME, msg);
        body.push(u8::from(may_have_run));
        text(&mut body, said);
        self.change(msg, &body)
    }

    /// The message's end is decided and its client must be told.
    pub fn verdict(&mut self, msg: u64, verdict: Verdict) -> io::Result<()> {
        let mut body = body(VERDICT, msg);
        put_verdict(&mut body, Some(verdict));
        self.change(msg, &body)
    }

    /// Nothing more is owed. What may have taken effect is still recognised for as long as it asked for.
    /// Danger: a client whose answer was lost hands the same message in again, long after it was delivered.
    pub fn end(&mut self, msg: u64, now: Micros) -> io::Result<()> {
        let may_have_run = |o: &&Owed| o.risk.is_some() || o.open.is_some();
        if let Some(owed) = self.owed.get(&msg).filter(may_have_run) {
            let (id, until) = (owed.req.id.clone(), owed.req.keep_id);
            if until > now {
                self.remember(id, until, now)?;
            }
        }
        self.change(msg, &body(END, msg))?;
        self.drop_dead()
    }

    fn change(&mut self, msg: u64, body: &[u8]) -> io::Result<()> {
        if !self.owed.contains_key(&msg) {
            return Ok(());
        }
        let mut live = BTreeSet::new();
        apply(body, &mut self.owed, &mut live);
        if !self.owed.contains_key(&msg) {
            self.segments.iter_mut().for_each(|s| {
                s.live.remove(&msg);
            });
        }
        self.append(body)
    }

    /// From now on records are kept together, up to a segment's length, until [`Journal::written`]. Nothing that rests on
    /// them may be done before, and no req may be taken.
    pub fn gather(&mut self) {
        self.gathered.get_or_insert_default();
    }

    /// Writes what was gathered; from now on each record is written at once again.
    pub fn written(&mut self) -> io::Result<()> {
        match self.gathered.take() {
            Some(records) if !records.is_empty() => self.write(&records),
            _ => Ok(()),
        }
    }

    fn append(&mut self, body: &[u8]) -> io::Result<()> {
        if let Some(mut records) = self.gathered.take() {
            // Danger: a segment that grows past its length breaks the count of what is still free.
            if !records.is_empty() && (records.len() + HEAD + body.len()) as u64 > self.segment_bytes {
                self.write(&records)?;
                records.clear();
            }
            put_record(&mut records, body);
            self.gathered = Some(records);
            return Ok(());
        }
        let mut record = Vec::with_capacity(HEAD + body.len());
        put_record(&mut record, body);
        self.write(&record)
    }

    /// Whole records, to one segment.
    fn write(&mut self, records: &[u8]) -> io::Result<()> {
        let used = self.segments.last().map_or(0, |s| s.bytes);
        if used > 0 && used + records.len() as u64 > self.segment_bytes {
            let next = self.segments.last().map_or(1, |s| s.number + 1);
            let segment = new_segment(&mut *self.home, next, self.incarnation, self.segments.last())?;
            self.segments.push(segment);
        }
        if let Some(last) = self.segments.last_mut() {
            self.home.append(&last.name, records)?;
            last.sum.update(records);
            last.bytes += records.len() as u64;
        }
        Ok(())
    }

    fn lives_here(&mut self, msg: u64) {
        for segment in &mut self.segments {
            segment.live.remove(&msg);
        }
        if let Some(last) = self.segments.last_mut() {
            last.live.insert(msg);
        }
    }

    fn remember(&mut self, id: String, until: Micros, now: Micros) -> io::Result<()> {
        let line = id_line(&id, until);
        self.ids.insert(id, until);
        self.home.append(IDS, line.as_bytes())?;
        self.ids_bytes += line.len() as u64;
        let most = self.budget / IDS_SHARE;
        if self.ids_bytes > most {
            self.ids.retain(|_, until| *until > now);
            // Still over half its share: those that would go first go now.
            let mut soonest: Vec<(Micros, String)> = self.ids.iter().map(|(i, u)| (*u, i.clone())).collect();
            soonest.sort();
            let mut bytes: u64 = soonest.iter().map(|(u, i)| id_line(i, *u).len() as u64).sum();
            for (until, id) in soonest {
                if bytes <= most / 2 {
                    break;
                }
                bytes -= id_line(&id, until).len() as u64;
                self.ids.remove(&id);
            }
            self.ids_bytes = write_ids(&mut *self.home, &self.ids)?;
        }
        Ok(())
    }

    /// Bytes on disk, each file in whole blocks. The ids count twice their share: they are written anew beside
    /// the old file.
    pub fn on_disk(&self) -> u64 {
        let ids = self.ids_bytes.div_ceil(BLOCK) * BLOCK * 2;
        ids + self.aside + self.segments.iter().map(|s| s.bytes.div_ceil(BLOCK) * BLOCK).sum::<u64>()
    }

    fn drop_dead(&mut self) -> io::Result<()> {
        while self.segments.len() > 1 && self.segments[0].live.is_empty() {
            let dead = self.segments.remove(0);
            self.home.remove(&dead.name)?;
        }
        Ok(())
    }

    /// Room for so many more bytes, with a reserve: to write one segment again, and for the outcomes and ends of
    /// what is owed, which may never be turned away. Danger: one long-lived message keeps the oldest segment and
    /// all after it; so while more than half the budget is used, the live ones of the oldest move to the tail. Not
    /// where most of it all is live: each req that is refused would have everything written again.
    fn make_room(&mut self, bytes: u64) -> io::Result<bool> {
        let reserve = self.segment_bytes * 4;
        for _ in 0..self.segments.len() {
            if self.segments.len() < 2 || self.on_disk() + bytes <= self.budget / 2 {
                break;
            }
            let live: u64 = self.owed.values().map(|o| o.req.body.len() as u64 + 512).sum();
            if live * 2 > self.on_disk() {
                break;
            }
            let oldest: Vec<u64> = self.segments[0].live.iter().copied().collect();
            let moved: u64 =
                oldest.iter().filter_map(|m| self.owed.get(m)).map(|o| o.req.body.len() as u64 + 512).sum();
            if self.on_disk() + moved + self.segment_bytes > self.budget {
                break;
            }
            for msg in oldest {
                if let Some(body) = self.owed.get(&msg).map(|owed| encode_take(msg, owed)) {
                    self.append(&body)?;
                    self.lives_here(msg);
                }
            }
            self.drop_dead()?;
        }
        Ok(self.on_disk() + bytes + reserve <= self.budget)
    }
}

fn id_line(id: &str, until: Micros) -> String {
    let text = format!("{} {id}", until.0);
    format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}

/// Reads the ids that are still to be recognised; a torn or damaged line is passed over.
fn read_ids(bytes: Vec<u8>, now: Micros) -> BTreeMap<String, Micros> {
    let read = |line: &str| {
        let (sum, text) = line.split_once(' ')?;
        let sum = u32::from_str_radix(sum, 16).ok()?;
        let (until, id) = text.split_once(' ').filter(|_| crc32fast::hash(text.as_bytes()) == sum)?;
        Some((id.to_owned(), Micros(until.parse().ok()?)))
    };
    let text = String::from_utf8_lossy(&bytes);
    text.lines().filter_map(read).filter(|(_, until)| *until > now).collect()
}

/// Writes the ids anew; says how many bytes they take.
fn write_ids(home: &mut dyn Home, ids: &BTreeMap<String, Micros>) -> io::Result<u64> {
    let text: String = ids.iter().map(|(id, until)| id_line(id, *until)).collect();
    home.replace(IDS, text.as_bytes())?;
    Ok(text.len() as u64)
}

/// A segment begins with who writes it, and with what the one before it was at that moment.
fn new_segment(
    home: &mut dyn Home, number: u64, incarnation: u64, before: Option<&Segment>,
) -> io::Result<Segment> {
    let name = format!("{number:08}.log");
    let mut start = body(START, 0);
    start.extend(incarnation.to_le_bytes());
    let (last, bytes, sum) = before.map_or((0, 0, 0), |s| (s.number, s.bytes, s.sum.clone().finalize()));
    start.extend(last.to_le_bytes());
    start.extend(bytes.to_le_bytes());
    start.extend(sum.to_le_bytes());
    let mut record = Vec::new();
    put_record(&mut record, &start);
    home.append(&name, &record)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&record);
    Ok(Segment { number, name, bytes: record.len() as u64, sum, live: BTreeSet::new() })
}

/// What has been read so far.
#[derive(Default)]
struct Reading {
    owed: BTreeMap<u64, Owed>,
    /// Where the last take of each message is.
    taken_at: BTreeMap<u64, (u64, usize)>,
    damages: Vec<Damage>,
    incarnation: u64,
}

impl Reading {
    /// Reads one more; says which messages it holds takes of.
    fn segment(&mut self, number: u64, bytes: &[u8], before: Option<&Segment>) -> BTreeSet<u64> {
        // Segments go from the oldest on, so there is never a gap between two.
        if before.is_some_and(|b| b.number + 1 != number) {
            self.damages.push(Damage {
                segment: number,
                bytes: 0..0,
                what: "segments before it are missing",
            });
        }
        let mut live = BTreeSet::new();
        for piece in pieces(bytes) {
            let record = match piece {
                Piece::Record(record) => record,
                Piece::Damage(bytes) => {
                    let what = "bytes that can't be read";
                    self.damages.push(Damage { segment: number, bytes, what });
                    continue;
                }
                // Danger: one whose length alone is damaged looks the same as one that was being written. If it is the beginning
                // of a call, that call counts as one that may have begun.
                Piece::Torn(part) => {
                    let mut fields = Fields(bytes.get(part.start + HEAD..).unwrap_or_default());
                    if let (Some(BEGIN), Some(msg)) = (fields.u8(), fields.u64()) {
                        let owed = self.owed.get_mut(&msg);
                        owed.into_iter().for_each(|o| o.risk = Some((Micros(0), String::new())));
                    }
                    continue;
                }
            };
            let body = &bytes[record.clone()];
            let mut fields = Fields(body);
            match (fields.u8(), fields.u64()) {
                (Some(START), _) => self.start(fields, before),
                (Some(TAKE), Some(msg)) => drop(self.taken_at.insert(msg, (number, record.start))),
                _ => {}
            }
            apply(body, &mut self.owed, &mut live);
        }
        live
    }

    fn start(&mut self, mut fields: Fields, before: Option<&Segment>) {
        let (Some(incarnation), Some(number), Some(bytes), Some(sum)) =
            (fields.u64(), fields.u64(), fields.u64(), fields.u32())
        else {
            return;
        };
        self.incarnation = self.incarnation.max(incarnation);
        let Some(before) = before.filter(|b| b.number == number) else { return };
        let known = self.damages.iter().any(|d| d.segment == number);
        if (before.bytes, before.sum.clone().finalize()) != (bytes, sum) && !known {
            let end = before.bytes as usize;
            self.damages.push(Damage { segment: number, bytes: end..end, what: "it is not what it was" });
        }
    }
}

/// Messages that were taken before a damage may have had a record there, of a call that began: from now on they may have run.
fn doubt(
    owed: &mut BTreeMap<u64, Owed>, taken_at: &BTreeMap<u64, (u64, usize)>, damages: &[Damage],
) -> usize {
    let Some(last) = damages.iter().map(|d| (d.segment, d.bytes.start)).max() else { return 0 };
    let mut doubted = 0;
    for (msg, owed) in owed.iter_mut().filter(|(_, o)| o.verdict.is_none()) {
        if taken_at.get(msg).is_none_or(|at| *at < last) {
            // When and where nobody knows: no window is open any more, and no endpoint is the same.
            owed.risk = Some((Micros(0), String::new()));
            doubted += 1;
        }
    }
    doubted
}

/// Keeps damaged bytes for whoever wants to look at them, once; says how much room they take.
fn keep_aside(home: &mut dyn Home, damages: &[Damage], segments: &[Segment]) -> io::Result<u64> {
    let names = home.names()?;
    let mut there: Vec<String> = names.into_iter().filter(|n| n.starts_with(ASIDE)).collect();
    for damage in damages.iter().filter(|d| !d.bytes.is_empty()) {
        let name = format!("{ASIDE}{:08}-{}", damage.segment, damage.bytes.start);
        let segment = segments.iter().find(|s| s.number == damage.segment);
        let Some(segment) = segment.filter(|_| there.len() < ASIDE_MOST && !there.contains(&name)) else {
            continue;
        };
        let bytes = home.read(&segment.name)?.unwrap_or_default();
        let part = &bytes[damage.bytes.clone()];
        home.replace(&name, &part[..part.len().min(ASIDE_BYTES)])?;
        there.push(name);
    }
    let blocks = |name: &String| -> io::Result<u64> {
        Ok((home.read(name)?.map_or(0, |b| b.len()) as u64).div_ceil(BLOCK) * BLOCK)
    };
    there.iter().map(blocks).sum()
}

// ---- Records ----

const TAKE: u8 = 1;
const BEGIN: u8 = 2;
const OUTCOME: u8 = 3;
const VERDICT: u8 = 4;
const END: u8 = 5;
/// Older programs pass it by: it is of no message.
const START: u8 = 6;

fn put_record(out: &mut Vec<u8>, body: &[u8]) {
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(body).to_le_bytes());
    out.extend(body);
}

fn body(kind: u8, msg: u64) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(msg.to_le_bytes());
    body
}

fn bytes(body: &mut Vec<u8>, bytes: &[u8]) {
    body.extend((bytes.len() as u32).to_le_bytes());
    body.extend(bytes);
}

fn text(body: &mut Vec<u8>, text: &str) {
    bytes(body, text.as_bytes());
}

fn put_attempt(body: &mut Vec<u8>, attempt: &Option<(Micros, String)>) {
    body.push(u8::from(attempt.is_some()));
    if let Some((at, backend)) = attempt {
        body.extend(at.0.to_le_bytes());
        text(body, backend);
    }
}

fn put_verdict(body: &mut Vec<u8>, verdict: Option<Verdict>) {
    let (kind, wait) = match verdict {
        None => (0, Micros(0)),
        Some(Verdict::GivenUp) => (1, Micros(0)),
        Some(Verdict::HandedBack(wait)) => (2, wait),
    };
    body.push(kind);
    body.extend(wait.0.to_le_bytes());
}

fn encode_take(msg: u64, owed: &Owed) -> Vec<u8> {
    let req = &owed.req;
    let mut out = body(TAKE, msg);
    text(&mut out, &req.id);
    out.push(req.front);
    out.extend(req.dest.to_le_bytes());
    out.extend(req.class.to_le_bytes());
    out.extend(req.tenant.to_le_bytes());
    out.extend(req.due.0.to_le_bytes());
    text(&mut out, &req.head);
    bytes(&mut out, &req.body);
    out.extend(req.keep_id.0.to_le_bytes());
    out.extend(owed.tries.to_le_bytes());
    put_attempt(&mut out, &owed.risk);
    put_attempt(&mut out, &owed.open);
    put_verdict(&mut out, owed.verdict);
    text(&mut out, &owed.said);
    out
}

struct Fields<'a>(&'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, tail) = self.0.split_at_checked(n)?;
        self.0 = tail;
        Some(head)
    }
    fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }
    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_le_bytes(self.take(2)?.try_into().ok()?))
    }
    fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }
    fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<Vec<u8>> {
        let n = self.u32()? as usize;
        Some(self.take(n)?.to_vec())
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }
    fn attempt(&mut self) -> Option<Option<(Micros, String)>> {
        Some(match self.u8()? {
            0 => None,
            _ => Some((Micros(self.u64()?), self.text()?)),
        })
    }
    fn verdict(&mut self) -> Option<Option<Verdict>> {
        let (kind, wait) = (self.u8()?, Micros(self.u64()?));
        Some(match kind {
            0 => None,
            1 => Some(Verdict::GivenUp),
            _ => Some(Verdict::HandedBack(wait)),
        })
    }
    fn owed(&mut self) -> Option<Owed> {
        let req = Req {
            id: self.text()?,
            front: self.u8()?,
            dest: self.u16()?,
            class: self.u16()?,
            tenant: self.u16()?,
            due: Micros(self.u64()?),
            head: self.text()?,
            body: self.bytes()?.into(),
            keep_id: Micros(self.u64()?),
        };
        Some(Owed {
            req: Arc::new(req),
            tries: self.u32()?,
            risk: self.attempt()?,
            open: self.attempt()?,
            verdict: self.verdict()?,
            said: self.text()?,
        })
    }
}

/// Applies one record. One that does not decode changes nothing.
fn apply(body: &[u8], owed: &mut BTreeMap<u64, Owed>, live: &mut BTreeSet<u64>) -> Option<()> {
    let mut fields = Fields(body);
    let (kind, msg) = (fields.u8()?, fields.u64()?);
    if kind == TAKE {
        owed.insert(msg, fields.owed()?);
        live.insert(msg);
        return Some(());
    }
    let held = owed.get_mut(&msg)?;
    match kind {
        BEGIN => {
            held.tries += 1;
            held.open = Some((Micros(fields.u64()?), fields.text()?));
        }
        OUTCOME => {
            let (open, may_have_run) = (held.open.take(), fields.u8()? != 0);
            held.risk = held.risk.take().or(open.filter(|_| may_have_run));
            held.said = fields.text()?;
        }
        VERDICT => held.verdict = fields.verdict()?,
        END => {
            owed.remove(&msg);
        }
        _ => {}
    }
    Some(())
}
