//! The entries of one owner, as one member has them. An entry's version is its owner's life and a counter that rises over all
//! entries of that life; the higher version stands. `seen` says that nothing is lacking up to there.

use super::codec::{encoded_len, EntryBlock, EntryItem, EntryRequest};
use crate::api::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// An owner has no more entries that stand.
pub const MAX_ENTRIES_PER_OWNER: usize = 64;
/// Of those that were dropped so many are remembered.
pub const MAX_TOMBSTONES_PER_OWNER: usize = 32;
/// A counter that is further above the known one is from the future.
pub const MAX_COUNTER_JUMP: u64 = 1 << 32;

/// One entry.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredEntry {
    /// The life that set it.
    pub incarnation: u64,
    /// Its counter in that life; 0 while it was never sent.
    pub counter: u64,
    /// When it was set, on this member's clock.
    pub set_at: Micros,
    /// Its value; none once it is dropped.
    pub value: Option<Arc<[u8]>>,
}

/// One owner's entries.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct OwnerEntries {
    /// The owner's highest life.
    pub incarnation: u64,
    /// Nothing of that life is lacking up to this counter.
    pub seen: u64,
    /// The highest counter that was told of.
    pub top: u64,
    /// By kind and number.
    pub items: BTreeMap<(u8, u32), StoredEntry>,
    /// Up to this counter, things are gone without a tombstone.
    pub(super) purged: u64,
    /// How far a sweep has come, and for which `purged` of its holder.
    pub(super) sweep: (u64, u64),
    /// Something of this life was given up for want of room: it can't be passed on as whole.
    pub partial: bool,
    /// Until when entries of former lives are kept.
    pub former_until: Micros,
}

impl OwnerEntries {
    /// A higher life: its numbers start anew. What former lives said stays until it is replaced, or until then.
    pub fn renew(&mut self, incarnation: u64, former_until: Micros) {
        if incarnation > self.incarnation {
            (self.incarnation, self.seen, self.top, self.purged) = (incarnation, 0, 0, 0);
            (self.partial, self.former_until, self.sweep) = (false, former_until, (0, 0));
            self.items.retain(|_, held| held.value.is_some());
        }
    }

    /// Whether something is lacking.
    pub fn lacks(&self) -> bool {
        self.top > self.seen
    }

    /// What to ask for.
    pub fn ask(&self, owner: u16) -> EntryRequest {
        EntryRequest { owner, incarnation: self.incarnation, have: self.seen, sweep: self.sweep }
    }

    /// Takes in a block of this life's (a sound one; others change nothing). `late` is how much older it is than it says.
    pub fn merge(&mut self, now: Micros, block: &EntryBlock, late: Micros) {
        if block.incarnation != self.incarnation || block.to > self.top.saturating_add(MAX_COUNTER_JUMP) {
            return;
        }
        for item in &block.items {
            let version = (block.incarnation, block.from.saturating_add(item.step));
            let held = self.items.get(&(item.kind, item.id));
            // Danger: what comes late, twice or out of order must not bring back what it was.
            if held.is_none_or(|h| (h.incarnation, h.counter) < version) {
                let set_at = now - late - Micros(u64::from(item.age) * 1_000);
                let value = item.value.as_deref().map(Arc::from);
                let held = StoredEntry { incarnation: version.0, counter: version.1, set_at, value };
                self.items.insert((item.kind, item.id), held);
            }
        }
        let (at, of) = self.sweep;
        if block.swept > 0 {
            let named = |c: u64| block.items.iter().any(|i| block.from + i.step == c);
            let range = block.from + 1..=block.to;
            self.items.retain(|_, h| {
                h.incarnation != block.incarnation || !range.contains(&h.counter) || named(h.counter)
            });
        }
        // Danger: one block of a sweep that is lost leaves what nobody has any more; so they count only from the first on.
        let goes_on = of == block.swept && block.from <= at;
        let joins = match block.swept {
            0 => block.from <= self.seen,
            swept if block.from == 0 || goes_on => {
                self.sweep = (if of == swept { at.max(block.to) } else { block.to }, swept);
                true
            }
            _ => false,
        };
        if joins {
            self.seen = self.seen.max(block.to);
        }
        self.top = self.top.max(block.to);
        self.bound();
    }

    /// Former lives' entries go, once their time is over.
    pub fn fade(&mut self, now: Micros) {
        if now >= self.former_until {
            let life = self.incarnation;
            self.items.retain(|_, h| h.incarnation == life);
        }
    }

    /// Keeps to the bounds; true if something that stands was given up.
    fn bound(&mut self) {
        let life = self.incarnation;
        let count =
            |s: &OwnerEntries, tomb: bool| s.items.values().filter(|h| h.value.is_none() == tomb).count();
        while count(self, true) > MAX_TOMBSTONES_PER_OWNER {
            let sent = self.items.iter().filter(|(_, h)| h.value.is_none() && h.counter > 0);
            let Some((key, counter)) = sent.map(|(k, h)| (*k, h.counter)).min_by_key(|(_, c)| *c) else {
                break;
            };
            self.items.remove(&key);
            self.purged = self.purged.max(counter);
        }
        while count(self, false) > MAX_ENTRIES_PER_OWNER {
            // Former lives' first, then the least urgent, then the oldest.
            let live = self.items.iter().filter(|(_, h)| h.value.is_some());
            let last = live.map(|(k, h)| (h.incarnation == life, std::cmp::Reverse(k.0), h.set_at, *k)).min();
            let Some((now_living, .., key)) = last else { break };
            self.items.remove(&key);
            self.partial |= now_living;
        }
    }

    /// Gives up one entry for want of room elsewhere.
    pub fn give_up(&mut self, key: (u8, u32)) {
        if let Some(held) = self.items.remove(&key) {
            self.partial |= held.incarnation == self.incarnation;
        }
    }

    /// What stands above what the asker has, as much as takes up to `room` bytes; none if there is nothing to say or it can't be
    /// said. `skip` are keys that are about to be told anew.
    pub fn answer(
        &self, now: Micros, ask: &EntryRequest, room: usize, skip: impl Fn(&(u8, u32)) -> bool,
    ) -> Option<EntryBlock> {
        if ask.have >= self.seen || self.partial {
            return None;
        }
        // Danger: what went without a tombstone may have any counter below: the asker needs to hear it all once more.
        let swept = if self.purged > ask.have { self.purged } else { 0 };
        let have = match swept {
            0 => ask.have,
            swept if ask.sweep.1 == swept => ask.sweep.0,
            _ => 0,
        };
        let due = self.items.iter().filter(|(key, h)| {
            h.incarnation == self.incarnation && h.counter > have && h.counter <= self.seen && !skip(key)
        });
        let mut due: Vec<_> = due.collect();
        due.sort_by_key(|(_, h)| h.counter);
        let to = self.seen;
        let mut block = EntryBlock {
            owner: ask.owner,
            incarnation: self.incarnation,
            from: have,
            to,
            swept,
            items: vec![],
        };
        let mut left = room.checked_sub(encoded_len(&block))?;
        for (key, held) in due {
            let item = item(now, *key, held, have);
            let Some(rest) = left.checked_sub(encoded_len(&item)) else {
                // No further than what fits.
                block.to = block.items.last().map(|i| have + i.step)?;
                break;
            };
            left = rest;
            block.items.push(item);
        }
        Some(block)
    }
}

fn item(now: Micros, key: (u8, u32), held: &StoredEntry, from: u64) -> EntryItem {
    let age = ((now - held.set_at).0 / 1_000).min(u64::from(u32::MAX)) as u32;
    let value = held.value.as_ref().map(|v| v.to_vec());
    EntryItem { kind: key.0, id: key.1, step: held.counter.saturating_sub(from), age, value }
}

/// A member's own entries. What is set gets its counter when it is first sent.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LocalEntries {
    /// Those, `seen` and `top` being the newest counter that was given.
    pub shelf: OwnerEntries,
    /// What is to be told, and since when.
    pub dirty: BTreeMap<(u8, u32), Micros>,
}

impl LocalEntries {
    /// Sets an entry. False if there are too many; then nothing changes.
    pub fn set(&mut self, now: Micros, key: (u8, u32), value: Option<&[u8]>) -> bool {
        let shelf = &mut self.shelf;
        let new = shelf.items.get(&key).is_none_or(|h| h.value.is_none());
        let standing = shelf.items.values().filter(|h| h.value.is_some()).count();
        let all = shelf.items.len();
        match value {
            Some(_)
                if new
                    && (standing >= MAX_ENTRIES_PER_OWNER
                        || all >= MAX_ENTRIES_PER_OWNER + MAX_TOMBSTONES_PER_OWNER) =>
            {
                return false
            }
            None if new => return true,
            _ => {}
        }
        let counter = shelf.items.get(&key).map_or(0, |h| h.counter);
        if value.is_none() && counter == 0 {
            shelf.items.remove(&key);
            self.dirty.remove(&key);
            return true;
        }
        let held =
            StoredEntry { incarnation: shelf.incarnation, counter, set_at: now, value: value.map(Arc::from) };
        shelf.items.insert(key, held);
        self.dirty.entry(key).or_insert(now);
        true
    }

    /// A new life: everything that stands is to be told anew.
    pub fn adopt_incarnation(&mut self, now: Micros, incarnation: u64) {
        self.shelf.items.retain(|_, h| h.value.is_some());
        for held in self.shelf.items.values_mut() {
            (held.incarnation, held.counter) = (incarnation, 0);
        }
        let items = std::mem::take(&mut self.shelf.items);
        self.dirty = items.keys().map(|k| (*k, now)).collect();
        self.shelf = OwnerEntries { incarnation, items, ..OwnerEntries::default() };
    }

    /// How many bytes it would take to tell all that is new, about.
    pub fn wanted(&self) -> usize {
        let held = self.dirty.keys().filter_map(|k| self.shelf.items.get(k));
        held.map(|h| 12 + h.value.as_ref().map_or(0, |v| v.len())).sum::<usize>() + 16
    }

    /// The next block of changes, the most urgent first, as much as takes up to `room` bytes: it gives them their counters.
    pub fn changes(&mut self, now: Micros, owner: u16, room: usize) -> Option<EntryBlock> {
        let shelf = &mut self.shelf;
        let urgency = |(key, since): (&(u8, u32), &Micros)| i64::from(key.0) - (now - *since).secs() as i64;
        let mut due: Vec<_> = self.dirty.iter().map(|d| (urgency(d), *d.0)).collect();
        due.sort();
        let (incarnation, from) = (shelf.incarnation, shelf.top);
        let mut block =
            EntryBlock { owner, incarnation, from, to: from + due.len() as u64, swept: 0, items: vec![] };
        let mut left = room.checked_sub(encoded_len(&block))?;
        for (_, key) in due {
            let Some(held) = shelf.items.get_mut(&key) else {
                self.dirty.remove(&key);
                continue;
            };
            let was = std::mem::replace(&mut held.counter, shelf.top + 1);
            let next = item(now, key, held, from);
            let Some(rest) = left.checked_sub(encoded_len(&next)) else {
                held.counter = was;
                continue;
            };
            left = rest;
            shelf.top += 1;
            self.dirty.remove(&key);
            block.items.push(next);
        }
        (block.to, shelf.seen) = (shelf.top, shelf.top);
        shelf.bound();
        (!block.items.is_empty()).then_some(block)
    }
}
