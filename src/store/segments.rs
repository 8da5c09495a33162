//! Segments: how a new one begins, when an old one goes, and room for more.

use super::records::{body, encode_take, put_record, START};
use super::{Home, Journal, Succession};
use std::collections::BTreeSet;
use std::io::{self, ErrorKind};

pub(super) const SEGMENT_PARTS: u64 = 16;
pub(super) const BLOCK: u64 = 512;

pub(super) struct Segment {
    pub number: u64,
    pub name: String,
    pub bytes: u64,
    /// Checksum of all its bytes; the next segment begins with it.
    pub sum: crc32fast::Hasher,
    pub live: BTreeSet<u64>,
}

impl Journal {
    /// Bytes on disk, each file in whole blocks. The ids count twice their share: they are written anew beside
    /// the old file.
    pub fn on_disk(&self) -> u64 {
        let ids = self.ids_bytes.div_ceil(BLOCK) * BLOCK * 2;
        ids + self.aside + self.segments.iter().map(|s| s.bytes.div_ceil(BLOCK) * BLOCK).sum::<u64>()
    }

    /// Removes segments without live messages. One that can't be removed now is tried again the next time.
    pub(super) fn drop_dead(&mut self) {
        while self.segments.len() > 1 && self.segments[0].live.is_empty() {
            match self.home.remove(&self.segments[0].name) {
                Err(e) if e.kind() != ErrorKind::NotFound => return,
                _ => drop(self.segments.remove(0)),
            }
        }
    }

    /// Room for so many more bytes, with a reserve: to write one segment again, and for the outcomes and ends of
    /// what is owed, which may never be turned away. Danger: one long-lived message keeps the oldest segment and
    /// all after it; so while more than half the budget is used, the live ones of the oldest move to the tail. Not
    /// where most of it all is live: each req that is refused would have everything written again.
    pub(super) fn make_room(&mut self, bytes: u64) -> io::Result<bool> {
        let reserve = self.segment_bytes * 4;
        for _ in 0..self.segments.len() {
            if self.segments.len() < 2 || self.on_disk() + bytes <= self.budget / 2 {
                break;
            }
            let live: u64 = self.owed.values().map(|o| o.req.body.len() as u64 + 512).sum();
            if live * 2 > self.on_disk() {
                break;
            }
            // Some may only wait to be put away.
            let is_owed = |m: &u64| self.owed.contains_key(m);
            let oldest: Vec<u64> = self.segments[0].live.iter().copied().filter(is_owed).collect();
            if oldest.is_empty() {
                break;
            }
            let moved: u64 =
                oldest.iter().filter_map(|m| self.owed.get(m)).map(|o| o.req.body.len() as u64 + 512).sum();
            if self.on_disk() + moved + self.segment_bytes > self.budget {
                break;
            }
            for msg in oldest {
                if let Some(body) = self.owed.get(&msg).map(|owed| encode_take(msg, owed)) {
                    self.append_now(&body)?;
                    self.lives_here(msg);
                }
            }
            self.drop_dead();
        }
        // The history gives way to traffic.
        while self.segments.len() > 1 && self.on_disk() + bytes + reserve > self.budget && self.let_go() {}
        Ok(self.on_disk() + bytes + reserve <= self.budget)
    }
}

/// A segment begins with who writes it, and with what the one before it was at that moment.
pub(super) fn new_segment(
    home: &mut dyn Home, number: u64, incarnation: u64, succession: Succession, before: Option<&Segment>,
) -> io::Result<Segment> {
    let name = format!("{number:08}.log");
    let mut start = body(START, 0);
    start.extend(incarnation.to_le_bytes());
    let (last, bytes, sum) = before.map_or((0, 0, 0), |s| (s.number, s.bytes, s.sum.clone().finalize()));
    start.extend(last.to_le_bytes());
    start.extend(bytes.to_le_bytes());
    start.extend(sum.to_le_bytes());
    start.push(succession.to_byte());
    let mut record = Vec::new();
    put_record(&mut record, &start);
    // What a failed append left there would stand before the first record.
    home.truncate(&name, 0)?;
    home.append(&name, &record)?;
    let mut sum = crc32fast::Hasher::new();
    sum.update(&record);
    Ok(Segment { number, name, bytes: record.len() as u64, sum, live: BTreeSet::new() })
}
