//! Reads a folder when it is opened: the records that can be read, and the messages that are uncertain because of the
//! rest.

use super::history_backlog::RecoveredEnds;
use super::records::{apply, Fields, ACCEPT, ATTEMPT_START, END, SEGMENT_START};
use super::salvage::{record_at, split_segment, SegmentPart, RECORD_HEADER_BYTES};
use super::segments::{Segment, BLOCK_BYTES};
use super::{Damage, EndedMessage, MessageState, StartMode, StartedAttempt, Storage};
use std::collections::{BTreeMap, BTreeSet};
use std::io;

/// Damaged bytes that are saved of each damage, and the number of damages that are saved.
const MAX_DAMAGED_COPY_BYTES: usize = 8 * 1024;
const MAX_DAMAGED_COPIES: usize = 8;
const DAMAGED_COPY_PREFIX: &str = "damaged-";

/// What has been read so far.
#[derive(Default)]
pub(super) struct Recovery {
    pub pending: BTreeMap<u64, MessageState>,
    /// Segment and offset of the last accept record of each message.
    pub accepted_at: BTreeMap<u64, (u64, usize)>,
    pub damages: Vec<Damage>,
    pub incarnation: u64,
    pub ended: RecoveredEnds,
}

/// The first record of a segment.
struct SegmentStart {
    incarnation: u64,
    preceding: PrecedingSegment,
    start_mode: StartMode,
}

/// The state of the preceding segment when this one was begun.
struct PrecedingSegment {
    number: u64,
    bytes: u64,
    sum: u32,
}

impl SegmentStart {
    /// Decodes the fields of a [`SEGMENT_START`] after the kind and the message.
    fn read(mut fields: Fields) -> Option<SegmentStart> {
        let incarnation = fields.u64()?;
        let preceding = PrecedingSegment { number: fields.u64()?, bytes: fields.u64()?, sum: fields.u32()? };
        // Older versions wrote no start mode.
        let start_mode = fields.u8().map_or(StartMode::Restart, StartMode::from_byte);
        Some(SegmentStart { incarnation, preceding, start_mode })
    }
}

impl PrecedingSegment {
    /// Reads it from the first record of this segment.
    fn of(segment: &[u8]) -> Option<PrecedingSegment> {
        let (body, _) = record_at(segment, 0)?;
        let mut fields = Fields(&segment[body]);
        let kind = fields.u8()?;
        fields.u64()?;
        SegmentStart::read(fields).filter(|_| kind == SEGMENT_START).map(|start| start.preceding)
    }

    /// Length of the part of the preceding segment that successful appends wrote; `None`: the whole file.
    fn valid_length(&self, number: u64, bytes: &[u8]) -> Option<usize> {
        let length = usize::try_from(self.bytes).ok()?;
        let written = bytes.get(..length).filter(|_| self.number == number)?;
        (crc32fast::hash(written) == self.sum).then_some(length)
    }
}

/// Reads all segments of a folder, the oldest first. Bytes of a failed append that could not be cut off are neither a
/// record nor a damage; the next segment holds the offset at which they begin.
pub(super) fn read_segments(storage: &dyn Storage, recovery: &mut Recovery) -> io::Result<Vec<Segment>> {
    let mut names: Vec<(u64, String)> = Vec::new();
    for name in storage.names()? {
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
            None => storage.read(&name)?.unwrap_or_default(),
        };
        if let Some((_, next)) = names.peek() {
            let following = storage.read(next)?.unwrap_or_default();
            let length =
                PrecedingSegment::of(&following).and_then(|preceding| preceding.valid_length(number, &bytes));
            bytes.truncate(length.unwrap_or(bytes.len()));
            next_bytes = Some(following);
        }
        let live = recovery.read_segment(number, &bytes, segments.last());
        let mut sum = crc32fast::Hasher::new();
        sum.update(&bytes);
        segments.push(Segment { number, name, bytes: bytes.len() as u64, sum, live });
    }
    Ok(segments)
}

impl Recovery {
    /// Reads the next segment; returns the messages of which it holds an accept record.
    pub fn read_segment(&mut self, number: u64, bytes: &[u8], preceding: Option<&Segment>) -> BTreeSet<u64> {
        // Segments are removed from the oldest on, so their numbers never have a gap.
        if preceding.is_some_and(|p| p.number + 1 != number) {
            self.damages.push(Damage {
                segment: number,
                bytes: 0..0,
                description: "segments before it are missing",
            });
        }
        let mut live = BTreeSet::new();
        for part in split_segment(bytes) {
            let record = match part {
                SegmentPart::Record(record) => record,
                SegmentPart::Damage(bytes) => {
                    let description = "bytes that can't be read";
                    self.damages.push(Damage { segment: number, bytes, description });
                    continue;
                }
                // A last record with only its length damaged looks the same as one that was being written. If it is an
                // attempt start, the attempt counts as one that may have started.
                SegmentPart::Torn(torn) => {
                    let mut fields =
                        Fields(bytes.get(torn.start + RECORD_HEADER_BYTES..).unwrap_or_default());
                    if let (Some(ATTEMPT_START), Some(msg)) = (fields.u8(), fields.u64()) {
                        let state = self.pending.get_mut(&msg);
                        state.into_iter().for_each(|s| s.first_uncertain = Some(StartedAttempt::unknown()));
                    }
                    continue;
                }
            };
            let body = &bytes[record.clone()];
            let mut fields = Fields(body);
            match (fields.u8(), fields.u64()) {
                (Some(SEGMENT_START), _) => self.apply_segment_start(fields, preceding),
                (Some(ACCEPT), Some(msg)) => drop(self.accepted_at.insert(msg, (number, record.start))),
                (Some(END), Some(msg)) => self.apply_history_end(msg, fields),
                _ => {}
            }
            apply(body, &mut self.pending, &mut live);
        }
        live
    }

    fn apply_history_end(&mut self, msg: u64, mut fields: Fields) {
        let Some((seq, at, how, reply)) = fields.history_end() else { return };
        let Some(mut state) = self.pending.remove(&msg) else { return };
        state.last_reply = reply.unwrap_or(state.last_reply);
        self.ended.push(EndedMessage { seq, msg, state, at, how });
    }

    /// A process that another one follows has no calls in flight any more, unless it handed them over. If they stayed
    /// open, an outcome recorded by the new process would be taken for that of a call which it never made.
    pub fn apply_start_mode(&mut self, start_mode: StartMode) {
        if start_mode == StartMode::Restart {
            self.pending.values_mut().for_each(MessageState::open_attempt_is_lost);
        }
    }

    fn apply_segment_start(&mut self, fields: Fields, preceding: Option<&Segment>) {
        let Some(SegmentStart { incarnation, preceding: recorded, start_mode }) = SegmentStart::read(fields)
        else {
            return;
        };
        if incarnation > self.incarnation {
            self.incarnation = incarnation;
            self.apply_start_mode(start_mode);
        }
        let Some(preceding) = preceding.filter(|p| p.number == recorded.number) else { return };
        let already_reported = self.damages.iter().any(|d| d.segment == recorded.number);
        if (preceding.bytes, preceding.sum.clone().finalize()) != (recorded.bytes, recorded.sum)
            && !already_reported
        {
            let end = preceding.bytes as usize;
            self.damages.push(Damage {
                segment: recorded.number,
                bytes: end..end,
                description: "its length or checksum is not the one recorded in the next segment",
            });
        }
    }
}

/// Marks the messages that were accepted before the last damage as ones that may have run: an attempt start of theirs
/// may have been in the damaged bytes. Returns their number.
pub(super) fn mark_uncertain(
    pending: &mut BTreeMap<u64, MessageState>, accepted_at: &BTreeMap<u64, (u64, usize)>, damages: &[Damage],
) -> usize {
    let Some(last) = damages.iter().map(|d| (d.segment, d.bytes.start)).max() else { return 0 };
    let mut marked = 0;
    for (msg, state) in pending.iter_mut().filter(|(_, s)| s.final_outcome.is_none()) {
        if accepted_at.get(msg).is_none_or(|at| *at < last) {
            // Time and backend are unknown: with these values every repeat window has passed and no endpoint matches.
            state.first_uncertain = Some(StartedAttempt::unknown());
            marked += 1;
        }
    }
    marked
}

/// Saves damaged bytes for later inspection, each damage once; returns the disk space that all copies take.
pub(super) fn save_damaged_bytes(
    storage: &mut dyn Storage, damages: &[Damage], segments: &[Segment],
) -> io::Result<u64> {
    let names = storage.names()?;
    let mut copies: Vec<String> = names.into_iter().filter(|n| n.starts_with(DAMAGED_COPY_PREFIX)).collect();
    for damage in damages.iter().filter(|d| !d.bytes.is_empty()) {
        let name = format!("{DAMAGED_COPY_PREFIX}{:08}-{}", damage.segment, damage.bytes.start);
        let segment = segments.iter().find(|s| s.number == damage.segment);
        let Some(segment) = segment.filter(|_| copies.len() < MAX_DAMAGED_COPIES && !copies.contains(&name))
        else {
            continue;
        };
        let bytes = storage.read(&segment.name)?.unwrap_or_default();
        let part = &bytes[damage.bytes.clone()];
        storage.replace(&name, &part[..part.len().min(MAX_DAMAGED_COPY_BYTES)])?;
        copies.push(name);
    }
    let disk_bytes = |name: &String| -> io::Result<u64> {
        Ok((storage.read(name)?.map_or(0, |b| b.len()) as u64).div_ceil(BLOCK_BYTES) * BLOCK_BYTES)
    };
    copies.iter().map(disk_bytes).sum()
}
