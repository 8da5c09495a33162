//! Ids of ended messages that are still recognised, so that a message that is submitted again takes effect once.
//!
//! An id is kept as a hash, in the file of the period in which it expires. A file is only appended to, and removed once its
//! period is over. An id that must be recognised is never dropped before; [`EndedIds::has_room`] says whether another
//! can be promised. Ids of messages that may safely run twice are dropped where the others need their room.

use super::segments::BLOCK_BYTES;
use super::Storage;
use crate::api::Micros;
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, ErrorKind};

/// The file of older versions, with a line for each id.
const LEGACY_FILE: &str = "ids.log";
/// All ids that expire in a period of this length share a file.
const PERIOD_MS: u64 = 6 * 3600 * 1000;
/// An entry: the id's hash, its expiry in milliseconds since the start of the period, and a checksum.
const ENTRY_BYTES: usize = 8 + 4 + 2;

/// Whether an id may be dropped before it expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Retention {
    /// If the message runs twice, that does no harm.
    Droppable,
    /// The message must not run twice.
    Required,
}

/// The file of a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Period {
    retention: Retention,
    /// Number of the period since 1970.
    number: u64,
}

impl Period {
    fn file_name(self) -> String {
        let Period { retention, number } = self;
        match retention {
            Retention::Droppable => format!("ids-droppable-{number:08}.log"),
            Retention::Required => format!("ids-required-{number:08}.log"),
        }
    }

    fn from_file_name(name: &str) -> Option<Period> {
        let stem = name.strip_prefix("ids-")?.strip_suffix(".log")?;
        let (retention, number) = stem.split_once('-')?;
        let retention = match retention {
            "droppable" => Retention::Droppable,
            "required" => Retention::Required,
            _ => return None,
        };
        Some(Period { retention, number: number.parse().ok()? })
    }

    fn is_over(self, now: Micros) -> bool {
        (self.number + 1).saturating_mul(PERIOD_MS) <= now.0 / 1000
    }
}

/// The ids that expire in one period.
#[derive(Default)]
struct PeriodIds {
    /// Expiry by the id's hash, in milliseconds since the start of the period.
    expiry_by_hash: HashMap<u64, u32>,
    /// Length of the whole entries in the file.
    file_bytes: u64,
    /// Entries that are still to be appended.
    unwritten: Vec<u8>,
    /// Part of an entry may follow those in the file.
    torn: bool,
}

impl PeriodIds {
    /// Reads a file. Damaged entries are skipped.
    fn read(bytes: &[u8]) -> PeriodIds {
        let (entries, torn) = bytes.as_chunks::<ENTRY_BYTES>();
        PeriodIds {
            expiry_by_hash: entries.iter().filter_map(decode_entry).collect(),
            file_bytes: (entries.len() * ENTRY_BYTES) as u64,
            unwritten: Vec::new(),
            torn: !torn.is_empty(),
        }
    }

    fn write(&mut self, name: &str, storage: &mut dyn Storage) -> io::Result<()> {
        if self.torn {
            storage.truncate(name, self.file_bytes)?;
            self.torn = false;
        }
        if !self.unwritten.is_empty() {
            storage.append(name, &self.unwritten).inspect_err(|_| self.torn = true)?;
            self.file_bytes += self.unwritten.len() as u64;
            self.unwritten = Vec::new();
        }
        Ok(())
    }

    fn bytes_on_disk(&self) -> u64 {
        (self.file_bytes + self.unwritten.len() as u64).div_ceil(BLOCK_BYTES) * BLOCK_BYTES
    }
}

/// How many ids are kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndedIdFigures {
    /// Ids that are recognised.
    pub kept: u64,
    /// Ids that the room would hold.
    pub capacity: u64,
    /// Ids that were dropped before they expired; none of a message that must not run twice.
    pub dropped: u64,
}

/// The ids of one journal.
pub(super) struct EndedIds {
    periods: BTreeMap<Period, PeriodIds>,
    max_bytes: u64,
    dropped: u64,
    /// Whether the file of an older version is to be removed once its ids are written.
    has_legacy_file: bool,
}

impl EndedIds {
    /// Reads the files, that of an older version too. Nothing is written.
    pub fn read(storage: &dyn Storage, max_bytes: u64, now: Micros) -> io::Result<EndedIds> {
        let mut ids = EndedIds { periods: BTreeMap::new(), max_bytes, dropped: 0, has_legacy_file: false };
        for name in storage.names()? {
            if let Some(period) = Period::from_file_name(&name) {
                let bytes = storage.read(&name)?.unwrap_or_default();
                let read = PeriodIds::read(&bytes);
                let damaged = read.file_bytes as usize / ENTRY_BYTES - read.expiry_by_hash.len();
                if damaged > 0 {
                    tracing::warn!(target: "journal", "{name}: {damaged} ids are damaged or doubled, and are not recognised");
                }
                ids.periods.insert(period, read);
            }
        }
        if let Some(bytes) = storage.read(LEGACY_FILE)? {
            ids.has_legacy_file = true;
            for (id, until) in read_legacy_lines(&bytes).filter(|(_, until)| *until > now) {
                ids.insert(&id, until, Retention::Required);
            }
        }
        Ok(ids)
    }

    /// Whether an id is recognised.
    pub fn contains(&self, id: &str, now: Micros) -> bool {
        let hash = hash_of(id);
        self.periods.iter().any(|(period, ids)| {
            let expiry = ids.expiry_by_hash.get(&hash);
            expiry.is_some_and(|ms| period.number * PERIOD_MS + u64::from(*ms) > now.0 / 1000)
        })
    }

    /// Adds an id until a time; [`EndedIds::write`] writes it.
    pub fn insert(&mut self, id: &str, until: Micros, retention: Retention) {
        let expiry_ms = until.0.div_ceil(1000);
        let (number, offset) = (expiry_ms / PERIOD_MS, (expiry_ms % PERIOD_MS) as u32);
        let ids = self.periods.entry(Period { retention, number }).or_default();
        let hash = hash_of(id);
        if ids.expiry_by_hash.insert(hash, offset) != Some(offset) {
            ids.unwritten.extend(encode_entry(hash, offset));
        }
    }

    /// Writes what is not in the files yet. After an error the next call tries again.
    pub fn write(&mut self, storage: &mut dyn Storage) -> io::Result<()> {
        for (period, ids) in &mut self.periods {
            ids.write(&period.file_name(), storage)?;
        }
        if self.has_legacy_file {
            remove_file(storage, LEGACY_FILE)?;
            self.has_legacy_file = false;
        }
        Ok(())
    }

    /// Whether the files lack anything.
    pub fn needs_write(&self) -> bool {
        self.has_legacy_file || self.periods.values().any(|ids| ids.torn || !ids.unwritten.is_empty())
    }

    /// Removes the periods that are over, and droppable ones while the ids take more than their room.
    pub fn make_room(&mut self, now: Micros, storage: &mut dyn Storage) {
        let over: Vec<Period> = self.periods.keys().copied().filter(|period| period.is_over(now)).collect();
        for period in over {
            self.remove(period, storage);
        }
        while self.bytes_on_disk() > self.max_bytes {
            let Some(period) = self.first_droppable() else { return };
            let Some(dropped) = self.remove(period, storage) else { return };
            self.dropped += dropped;
            tracing::warn!(
                target: "journal",
                "{dropped} ids of ended messages that may run twice are dropped early: the others need their room"
            );
        }
    }

    fn first_droppable(&self) -> Option<Period> {
        self.periods.keys().copied().find(|period| period.retention == Retention::Droppable)
    }

    /// Removes a period; returns how many ids it had, or `None` if its file can't be removed now.
    fn remove(&mut self, period: Period, storage: &mut dyn Storage) -> Option<u64> {
        remove_file(storage, &period.file_name()).ok()?;
        self.periods.remove(&period).map(|ids| ids.expiry_by_hash.len() as u64)
    }

    /// Whether the ids of one more message can be kept beside those of this many pending ones.
    pub fn has_room(&self, pending: usize) -> bool {
        let required = self.periods.iter().filter(|(period, _)| period.retention == Retention::Required);
        let taken: u64 = required.map(|(_, ids)| ids.bytes_on_disk()).sum();
        let promised = (pending as u64 + 1) * ENTRY_BYTES as u64;
        // Each of the files may begin another block, and one more file may begin.
        let blocks = 2 * BLOCK_BYTES;
        taken + promised + blocks <= self.max_bytes
    }

    /// Disk space of the files, in whole blocks.
    pub fn bytes_on_disk(&self) -> u64 {
        self.periods.values().map(PeriodIds::bytes_on_disk).sum()
    }

    pub fn figures(&self) -> EndedIdFigures {
        EndedIdFigures {
            kept: self.periods.values().map(|ids| ids.expiry_by_hash.len() as u64).sum(),
            capacity: self.max_bytes / ENTRY_BYTES as u64,
            dropped: self.dropped,
        }
    }
}

fn remove_file(storage: &mut dyn Storage, name: &str) -> io::Result<()> {
    match storage.remove(name) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

fn hash_of(id: &str) -> u64 {
    let [a, b, c, d, e, f, g, h, ..] = <[u8; 32]>::from(Sha256::digest(id.as_bytes()));
    u64::from_le_bytes([a, b, c, d, e, f, g, h])
}

fn checksum(fields: &[u8]) -> [u8; 2] {
    (crc32fast::hash(fields) as u16).to_le_bytes()
}

fn encode_entry(hash: u64, offset: u32) -> Vec<u8> {
    let fields = [&hash.to_le_bytes()[..], &offset.to_le_bytes()].concat();
    [&fields[..], &checksum(&fields)].concat()
}

fn decode_entry(entry: &[u8; ENTRY_BYTES]) -> Option<(u64, u32)> {
    let (fields, sum) = entry.split_at(ENTRY_BYTES - 2);
    let (hash, offset) = fields.split_at(8);
    let offset = u32::from_le_bytes(offset.try_into().ok()?);
    (checksum(fields) == sum).then_some((u64::from_le_bytes(hash.try_into().ok()?), offset))
}

/// The lines of an older version: a checksum, the expiry time and the id. Damaged lines are skipped.
fn read_legacy_lines(bytes: &[u8]) -> impl Iterator<Item = (String, Micros)> {
    let read_line = |line: &str| {
        let (sum, text) = line.split_once(' ')?;
        let sum = u32::from_str_radix(sum, 16).ok()?;
        let (until, id) = text.split_once(' ').filter(|_| crc32fast::hash(text.as_bytes()) == sum)?;
        Some((id.to_owned(), Micros(until.parse().ok()?)))
    };
    let text = String::from_utf8_lossy(bytes);
    text.lines().filter_map(read_line).collect::<Vec<_>>().into_iter()
}
