//! Segments: how a new one begins, when an old one is removed, and how room is made for new records.

use super::records::{encode_accept, put_record, record_body, SEGMENT_START};
use super::{Journal, StartMode, Storage};
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};

/// The budget is divided into this many segments.
pub(super) const SEGMENTS_IN_BUDGET: u64 = 16;
/// Files take up whole blocks of the disk.
pub(super) const BLOCK_BYTES: u64 = 512;

pub(super) struct Segment {
    pub number: u64,
    pub name: String,
    pub bytes: u64,
    /// Checksum of all its bytes; the first record of the next segment holds it.
    pub sum: crc32fast::Hasher,
    /// The messages whose last accept record is in this segment and still needed.
    pub live: BTreeSet<u64>,
}

impl Journal {
    /// Bytes on disk, each file in whole blocks.
    pub fn disk_bytes(&self) -> u64 {
        self.ended_ids.bytes_on_disk()
            + self.damaged_copies_bytes
            + self.segments.iter().map(|s| s.bytes.div_ceil(BLOCK_BYTES) * BLOCK_BYTES).sum::<u64>()
    }

    /// Removes the oldest segments as long as they hold no live message. If a removal fails, the next call tries it
    /// again.
    pub(super) fn remove_dead_segments(&mut self) {
        while self.segments.len() > 1 && self.segments[0].live.is_empty() {
            match self.storage.remove(&self.segments[0].name) {
                Err(e) if e.kind() != ErrorKind::NotFound => return,
                _ => drop(self.segments.remove(0)),
            }
        }
    }

    /// Makes room for this many more bytes, plus a reserve for rewriting one segment and for the outcomes, ends and
    /// reports of ends of the pending messages, which must never be refused. Returns whether there is room.
    ///
    /// One long-lived message keeps the oldest segment and all after it. So while more than half of the budget is
    /// used, the live messages of the oldest segment are copied to the tail. This is not done if live messages make
    /// up most of the journal: every refused req would then rewrite all of it.
    pub(super) fn make_room(&mut self, bytes: u64) -> io::Result<bool> {
        let reserve = self.segment_bytes * 4 + self.reserved_for_ends();
        for _ in 0..self.segments.len() {
            if self.segments.len() < 2 || self.disk_bytes() + bytes <= self.budget / 2 {
                break;
            }
            let live: u64 = self.pending.values().map(|s| s.req.body.len() as u64 + 512).sum();
            if live * 2 > self.disk_bytes() {
                break;
            }
            // The others have ended and only wait for the history to store them.
            let is_pending = |m: &u64| self.pending.contains_key(m);
            let oldest: Vec<u64> = self.segments[0].live.iter().copied().filter(is_pending).collect();
            if oldest.is_empty() {
                break;
            }
            let moved: u64 = oldest
                .iter()
                .filter_map(|m| self.pending.get(m))
                .map(|s| s.req.body.len() as u64 + 512)
                .sum();
            if self.disk_bytes() + moved + self.segment_bytes > self.budget {
                break;
            }
            for msg in oldest {
                if let Some(body) = self.pending.get(&msg).map(|state| encode_accept(msg, state)) {
                    self.append_now(&body)?;
                    self.set_live_in_tail(msg);
                }
            }
            self.remove_dead_segments();
        }
        // New messages take precedence over ended ones that wait for the history.
        while self.segments.len() > 1
            && self.disk_bytes() + bytes + reserve > self.budget
            && self.drop_oldest_ended()
        {}
        Ok(self.disk_bytes() + bytes + reserve <= self.budget)
    }
}

/// Begins a segment with a record that holds the writing process's incarnation and start mode, and the current number,
/// length and checksum of the preceding segment.
pub(super) fn new_segment(
    storage: &mut dyn Storage, number: u64, incarnation: u64, start_mode: StartMode,
    preceding: Option<&Segment>,
) -> io::Result<Segment> {
    let name = format!("{number:08}.log");
    let mut start = record_body(SEGMENT_START, 0);
    start.extend(incarnation.to_le_bytes());
    let (last, bytes, sum) = preceding.map_or((0, 0, 0), |s| (s.number, s.bytes, s.sum.clone().finalize()));
    start.extend(last.to_le_bytes());
    start.extend(bytes.to_le_bytes());
    start.extend(sum.to_le_bytes());
    start.push(start_mode.to_byte());
    let mut record = Vec::new();
    put_record(&mut record, &start);
    // Without this, bytes of an earlier failed append would precede the first record.
    storage.truncate(&name, 0)?;
    storage.append(&name, &record)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&record);
    Ok(Segment { number, name, bytes: record.len() as u64, sum, live: BTreeSet::new() })
}
