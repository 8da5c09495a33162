//! The entries of one owner as one member holds them. An entry's version is the incarnation of its owner's
//! run and a counter that rises over all entries of that run; the higher version wins. No entry with a
//! counter up to `seen` is missing.

use super::codec::{encoded_len, EntryBlock, EntryItem, EntryRequest};
use crate::api::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most live entries of one owner.
pub const MAX_ENTRIES_PER_OWNER: usize = 64;
/// Most tombstones that are kept per owner.
pub const MAX_TOMBSTONES_PER_OWNER: usize = 32;
/// A counter that is further than this above the known one is rejected as coming from the future.
pub const MAX_COUNTER_JUMP: u64 = 1 << 32;

/// One stored entry.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredEntry {
    /// The incarnation of the run that set it.
    pub incarnation: u64,
    /// Its counter in that run; 0 until it is first sent.
    pub counter: u64,
    /// When it was set, on this member's clock.
    pub set_at: Micros,
    /// Its value; `None` for a tombstone.
    pub value: Option<Arc<[u8]>>,
}

/// The entries of one owner.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnerEntries {
    /// The owner's highest incarnation.
    pub incarnation: u64,
    /// No entry of that run is missing up to this counter.
    pub seen: u64,
    /// The highest counter that was announced.
    pub top: u64,
    /// By kind and id.
    pub items: BTreeMap<(u8, u32), StoredEntry>,
    /// Up to this counter, entries were removed without a tombstone.
    pub(super) purged: u64,
    /// The progress of a sweep (a full retransmission) and the holder's `purged` for which it runs.
    pub(super) sweep: (u64, u64),
    /// Entries of this run were evicted, so these entries can't be passed on as complete.
    pub partial: bool,
    /// When entries of previous runs expire.
    pub previous_until: Micros,
}

impl OwnerEntries {
    /// Starts a newer run: its counters start at zero. Entries of previous runs stay until they are replaced,
    /// or until `previous_until`.
    pub fn start_run(&mut self, incarnation: u64, previous_until: Micros) {
        if incarnation > self.incarnation {
            (self.incarnation, self.seen, self.top, self.purged) = (incarnation, 0, 0, 0);
            (self.partial, self.previous_until, self.sweep) = (false, previous_until, (0, 0));
            self.items.retain(|_, stored| stored.value.is_some());
        }
    }

    /// Whether entries are missing.
    pub fn is_incomplete(&self) -> bool {
        self.top > self.seen
    }

    /// The request for the missing entries.
    pub fn request(&self, owner: u16) -> EntryRequest {
        EntryRequest { owner, incarnation: self.incarnation, have: self.seen, sweep: self.sweep }
    }

    /// Merges a valid block of the current run; blocks of other runs change nothing. `late` is added to the
    /// ages in the block.
    pub fn merge(&mut self, now: Micros, block: &EntryBlock, late: Micros) {
        if block.incarnation != self.incarnation || block.to > self.top.saturating_add(MAX_COUNTER_JUMP) {
            return;
        }
        for item in &block.items {
            let version = (block.incarnation, block.from.saturating_add(item.step));
            let stored = self.items.get(&(item.kind, item.id));
            // A late, duplicate or reordered block must not bring back an older version.
            if stored.is_none_or(|h| (h.incarnation, h.counter) < version) {
                let set_at = now - late - Micros(u64::from(item.age) * 1_000);
                let value = item.value.as_deref().map(Arc::from);
                let stored = StoredEntry { incarnation: version.0, counter: version.1, set_at, value };
                self.items.insert((item.kind, item.id), stored);
            }
        }
        let (swept_to, sweep_target) = self.sweep;
        if block.swept > 0 {
            let listed = |c: u64| block.items.iter().any(|i| block.from + i.step == c);
            let range = block.from + 1..=block.to;
            self.items.retain(|_, h| {
                h.incarnation != block.incarnation || !range.contains(&h.counter) || listed(h.counter)
            });
        }
        // If one block of a sweep is lost, entries that no longer exist would remain; so the blocks count
        // only in an unbroken sequence from the first.
        let continues = sweep_target == block.swept && block.from <= swept_to;
        let extends_known = match block.swept {
            0 => block.from <= self.seen,
            swept if block.from == 0 || continues => {
                self.sweep = (if sweep_target == swept { swept_to.max(block.to) } else { block.to }, swept);
                true
            }
            _ => false,
        };
        if extends_known {
            self.seen = self.seen.max(block.to);
        }
        self.top = self.top.max(block.to);
        self.enforce_limits();
    }

    /// Removes entries of previous runs once they have expired.
    pub fn expire_previous(&mut self, now: Micros) {
        if now >= self.previous_until {
            let current = self.incarnation;
            self.items.retain(|_, h| h.incarnation == current);
        }
    }

    /// Enforces the limits on tombstones and on live entries.
    fn enforce_limits(&mut self) {
        let current = self.incarnation;
        let count = |s: &OwnerEntries, tombstones: bool| {
            s.items.values().filter(|h| h.value.is_none() == tombstones).count()
        };
        while count(self, true) > MAX_TOMBSTONES_PER_OWNER {
            let sent = self.items.iter().filter(|(_, h)| h.value.is_none() && h.counter > 0);
            let Some((key, counter)) = sent.map(|(k, h)| (*k, h.counter)).min_by_key(|(_, c)| *c) else {
                break;
            };
            self.items.remove(&key);
            self.purged = self.purged.max(counter);
        }
        while count(self, false) > MAX_ENTRIES_PER_OWNER {
            // Entries of previous runs go first, then the least urgent, then the oldest.
            let live = self.items.iter().filter(|(_, h)| h.value.is_some());
            let victim =
                live.map(|(k, h)| (h.incarnation == current, std::cmp::Reverse(k.0), h.set_at, *k)).min();
            let Some((of_current_run, .., key)) = victim else { break };
            self.items.remove(&key);
            self.partial |= of_current_run;
        }
    }

    /// Evicts one entry because of a limit elsewhere.
    pub fn evict(&mut self, key: (u8, u32)) {
        if let Some(stored) = self.items.remove(&key) {
            self.partial |= stored.incarnation == self.incarnation;
        }
    }

    /// The entries above what the requester has, up to `room` bytes; `None` if there are none, if they are
    /// incomplete here or if nothing fits. `skip` selects keys that are about to be sent anew.
    pub fn answer(
        &self, now: Micros, request: &EntryRequest, room: usize, skip: impl Fn(&(u8, u32)) -> bool,
    ) -> Option<EntryBlock> {
        if request.have >= self.seen || self.partial {
            return None;
        }
        // An entry that was removed without a tombstone may have any counter below `purged`, so the requester
        // needs all entries again.
        let swept = if self.purged > request.have { self.purged } else { 0 };
        let have = match swept {
            0 => request.have,
            swept if request.sweep.1 == swept => request.sweep.0,
            _ => 0,
        };
        let due = self.items.iter().filter(|(key, h)| {
            h.incarnation == self.incarnation && h.counter > have && h.counter <= self.seen && !skip(key)
        });
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, h)| h.counter);
        let to = self.seen;
        let mut block = EntryBlock {
            owner: request.owner,
            incarnation: self.incarnation,
            from: have,
            to,
            swept,
            items: vec![],
        };
        let mut left = room.checked_sub(encoded_len(&block))?;
        for (key, stored) in due {
            let item = encode_entry(now, *key, stored, have);
            let Some(rest) = left.checked_sub(encoded_len(&item)) else {
                // The block ends with the last entry that fits.
                block.to = block.items.last().map(|i| have + i.step)?;
                break;
            };
            left = rest;
            block.items.push(item);
        }
        Some(block)
    }
}

fn encode_entry(now: Micros, key: (u8, u32), stored: &StoredEntry, from: u64) -> EntryItem {
    let age = ((now - stored.set_at).0 / 1_000).min(u64::from(u32::MAX)) as u32;
    let value = stored.value.as_ref().map(|v| v.to_vec());
    EntryItem { kind: key.0, id: key.1, step: stored.counter.saturating_sub(from), age, value }
}

/// A member's own entries. An entry gets its counter when it is first sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalEntries {
    /// The entries; `seen` and `top` are the newest counter assigned.
    pub entries: OwnerEntries,
    /// The keys of entries to send, and since when they wait.
    pub dirty: BTreeMap<(u8, u32), Micros>,
}

impl LocalEntries {
    /// Sets or removes an entry. Returns false, and changes nothing, if there are too many.
    pub fn set(&mut self, now: Micros, key: (u8, u32), value: Option<&[u8]>) -> bool {
        let entries = &mut self.entries;
        let new = entries.items.get(&key).is_none_or(|h| h.value.is_none());
        let live = entries.items.values().filter(|h| h.value.is_some()).count();
        let total = entries.items.len();
        match value {
            Some(_)
                if new
                    && (live >= MAX_ENTRIES_PER_OWNER
                        || total >= MAX_ENTRIES_PER_OWNER + MAX_TOMBSTONES_PER_OWNER) =>
            {
                return false
            }
            None if new => return true,
            _ => {}
        }
        let counter = entries.items.get(&key).map_or(0, |h| h.counter);
        if value.is_none() && counter == 0 {
            entries.items.remove(&key);
            self.dirty.remove(&key);
            return true;
        }
        let stored = StoredEntry {
            incarnation: entries.incarnation,
            counter,
            set_at: now,
            value: value.map(Arc::from),
        };
        entries.items.insert(key, stored);
        self.dirty.entry(key).or_insert(now);
        true
    }

    /// Starts a newer run, in which all live entries are sent anew.
    pub fn adopt_incarnation(&mut self, now: Micros, incarnation: u64) {
        self.entries.items.retain(|_, h| h.value.is_some());
        for stored in self.entries.items.values_mut() {
            (stored.incarnation, stored.counter) = (incarnation, 0);
        }
        let items = std::mem::take(&mut self.entries.items);
        self.dirty = items.keys().map(|k| (*k, now)).collect();
        self.entries = OwnerEntries { incarnation, items, ..OwnerEntries::default() };
    }

    /// About how many bytes all waiting entries take.
    pub fn pending_bytes(&self) -> usize {
        let stored = self.dirty.keys().filter_map(|k| self.entries.items.get(k));
        stored.map(|h| 12 + h.value.as_ref().map_or(0, |v| v.len())).sum::<usize>() + 16
    }

    /// The next block of changes, the most urgent first, up to `room` bytes; assigns their counters.
    pub fn next_block(&mut self, now: Micros, owner: u16, room: usize) -> Option<EntryBlock> {
        let entries = &mut self.entries;
        let urgency = |(key, since): (&(u8, u32), &Micros)| i64::from(key.0) - (now - *since).secs() as i64;
        let mut due: Vec<_> = self.dirty.iter().map(|d| (urgency(d), *d.0)).collect();
        due.sort();
        let (incarnation, from) = (entries.incarnation, entries.top);
        let mut block =
            EntryBlock { owner, incarnation, from, to: from + due.len() as u64, swept: 0, items: vec![] };
        let mut left = room.checked_sub(encoded_len(&block))?;
        for (_, key) in due {
            let Some(stored) = entries.items.get_mut(&key) else {
                self.dirty.remove(&key);
                continue;
            };
            let old_counter = std::mem::replace(&mut stored.counter, entries.top + 1);
            let next = encode_entry(now, key, stored, from);
            let Some(rest) = left.checked_sub(encoded_len(&next)) else {
                stored.counter = old_counter;
                continue;
            };
            left = rest;
            entries.top += 1;
            self.dirty.remove(&key);
            block.items.push(next);
        }
        (block.to, entries.seen) = (entries.top, entries.top);
        entries.enforce_limits();
        (!block.items.is_empty()).then_some(block)
    }
}
