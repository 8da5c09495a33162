//! What a folder holds when it is opened: records as far as they can be read, and who is in doubt for the rest.

use super::ended::Found;
use super::records::{apply, Fields, BEGIN, END, START, TAKE};
use super::salvage::{pieces, record_at, Piece, HEAD};
use super::segments::{Segment, BLOCK};
use super::{Damage, Ended, Home, Owed, Succession};
use crate::api::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Damaged bytes that are kept aside, by damage, and damages of which they are.
const ASIDE_BYTES: usize = 8 * 1024;
const ASIDE_MOST: usize = 8;
const ASIDE: &str = "damaged-";

/// What has been read so far.
#[derive(Default)]
pub(super) struct Reading {
    pub owed: BTreeMap<u64, Owed>,
    /// Where the last take of each message is.
    pub taken_at: BTreeMap<u64, (u64, usize)>,
    pub damages: Vec<Damage>,
    pub incarnation: u64,
    pub found: Found,
}

/// The first record of a segment.
struct Start {
    incarnation: u64,
    before: Before,
    succession: Succession,
}

/// What it says of the segment before it.
struct Before {
    number: u64,
    bytes: u64,
    sum: u32,
}

impl Start {
    /// Behind the kind and the message of a [`START`].
    fn read(mut fields: Fields) -> Option<Start> {
        let incarnation = fields.u64()?;
        let before = Before { number: fields.u64()?, bytes: fields.u64()?, sum: fields.u32()? };
        // Older programs wrote no more.
        let succession = fields.u8().map_or(Succession::Restart, Succession::from_byte);
        Some(Start { incarnation, before, succession })
    }
}

impl Before {
    fn of(segment: &[u8]) -> Option<Before> {
        let (body, _) = record_at(segment, 0)?;
        let mut fields = Fields(&segment[body]);
        let kind = fields.u8()?;
        fields.u64()?;
        Start::read(fields).filter(|_| kind == START).map(|start| start.before)
    }

    /// How much of the segment before was written by appends that succeeded; `None`: as much as is there.
    fn length(&self, number: u64, bytes: &[u8]) -> Option<usize> {
        let length = usize::try_from(self.bytes).ok()?;
        let written = bytes.get(..length).filter(|_| self.number == number)?;
        (crc32fast::hash(written) == self.sum).then_some(length)
    }
}

/// Reads all segments of a folder, the oldest first. Danger: where a failed append could not be taken back, what it left is no
/// record and no damage; the segment behind it says where it begins.
pub(super) fn read_segments(home: &dyn Home, reading: &mut Reading) -> io::Result<Vec<Segment>> {
    let mut names: Vec<(u64, String)> = Vec::new();
    for name in home.names()? {
        let number = name.strip_suffix(".log").and_then(|n| n.parse().ok());
        names.extend(number.map(|n| (n, name)));
    }
    names.sort();
    let mut segments: Vec<Segment> = Vec::new();
    let mut names = names.into_iter().peekable();
    let mut next_bytes = None;
    while let Some((number, name)) = names.next() {
        let mut bytes = match next_bytes.take() {
            Some(bytes) => bytes,
            None => home.read(&name)?.unwrap_or_default(),
        };
        if let Some((_, next)) = names.peek() {
            let following = home.read(next)?.unwrap_or_default();
            let length = Before::of(&following).and_then(|before| before.length(number, &bytes));
            bytes.truncate(length.unwrap_or(bytes.len()));
            next_bytes = Some(following);
        }
        let live = reading.segment(number, &bytes, segments.last());
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes);
        segments.push(Segment { number, name, bytes: bytes.len() as u64, sum, live });
    }
    Ok(segments)
}

impl Reading {
    /// Reads one more; says which messages it holds takes of.
    pub fn segment(&mut self, number: u64, bytes: &[u8], before: Option<&Segment>) -> BTreeSet<u64> {
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
                (Some(END), Some(msg)) => self.end_kept(msg, fields),
                _ => {}
            }
            apply(body, &mut self.owed, &mut live);
        }
        live
    }

    fn end_kept(&mut self, msg: u64, mut fields: Fields) {
        let Some((seq, at, how, said)) = fields.end_kept() else { return };
        let Some(mut owed) = self.owed.remove(&msg) else { return };
        owed.said = said.unwrap_or(owed.said);
        self.found.push(Ended { seq, msg, owed, at, how });
    }

    /// A process that another one follows has no calls out any more, unless it handed them over. Danger: an outcome that the new
    /// process records would otherwise be taken for that of a call which it never made.
    pub fn succeed(&mut self, succession: Succession) {
        if succession == Succession::Restart {
            self.owed.values_mut().for_each(Owed::open_call_is_lost);
        }
    }

    fn start(&mut self, fields: Fields, before: Option<&Segment>) {
        let Some(Start { incarnation, before: told, succession }) = Start::read(fields) else { return };
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.succeed(succession);
        }
        let Some(before) = before.filter(|b| b.number == told.number) else { return };
        let known = self.damages.iter().any(|d| d.segment == told.number);
        if (before.bytes, before.sum.clone().finalize()) != (told.bytes, told.sum) && !known {
            let end = before.bytes as usize;
            self.damages.push(Damage {
                segment: told.number,
                bytes: end..end,
                what: "it is not what it was",
            });
        }
    }
}

/// Messages that were taken before a damage may have had a record there, of a call that began: from now on they may have run.
pub(super) fn doubt(
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
pub(super) fn keep_aside(home: &mut dyn Home, damages: &[Damage], segments: &[Segment]) -> io::Result<u64> {
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
