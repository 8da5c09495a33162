//! What is kept of ended messages and for how long, as entries that merge in any order and any number of times: what is
//! shorter or forgotten wins for ever, and what is longer holds only for what ends after it was made.
//!
//! ```
//! use indigohold::history::retention::*;
//! use indigohold::Micros;
//!
//! let (day, channel) = (86_400, Scope { tenant: 3, class: ANY, dest: 7 });
//! let mut book = Book::new(16);
//! let word = Word { version: 1, replay: true, replays: 2, hold: false };
//! book.join(channel, book.reworded(channel, Micros(0), word, 30 * day));
//! let message = About { tenant: 3, class: 0, dest: 7, ended: Micros(5_000_000) };
//! assert_eq!(book.gone(Micros(6_000_000), &message), None);
//! book.join(channel, book.forgetting(channel, Micros(9_000_000), false).unwrap());
//! assert_eq!(book.gone(Micros(6_000_000), &message), Some(Gone::Forgotten));
//! ```

use crate::api::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;

/// In a [`Scope`]: whatever it is.
pub const ANY: u16 = u16::MAX;
/// The longest that can be kept, in seconds: 8.5 years. One that is never shorter.
pub const LONGEST: u32 = (1 << 28) - 1;
/// Bytes of one entry with its scope on the wire, at most.
pub const WIRE: usize = 48;

const VERSION_MOST: u64 = (1 << 42) - 1;
const ERA_MOST: u16 = (1 << 14) - 1;
const REPLAY: u8 = 1;
const HOLD: u8 = 2;

/// Which messages an entry is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// Position in the settings, or [`ANY`].
    pub tenant: u16,
    /// Position in the settings, or [`ANY`].
    pub class: u16,
    /// Number, or [`ANY`].
    pub dest: u16,
}

impl Scope {
    /// Whether the message is one of these.
    pub fn covers(&self, m: &About) -> bool {
        let fits = |mine: u16, its: u16| mine == ANY || mine == its;
        fits(self.tenant, m.tenant) && fits(self.class, m.class) && fits(self.dest, m.dest)
    }
}

/// What decisions need to know of a message that has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct About {
    /// Position in the settings.
    pub tenant: u16,
    /// Position in the settings.
    pub class: u16,
    /// Number of its destination.
    pub dest: u16,
    /// When it ended, by its holder's clock.
    pub ended: Micros,
}

/// The part of a policy that goes with its version: nothing of it brings back what was deleted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Word {
    /// Larger is newer; 42 bits.
    pub version: u64,
    /// May be sent again at all.
    pub replay: bool,
    /// How often each message at most.
    pub replays: u8,
    /// Stops ageing. It does not stop forgetting.
    pub hold: bool,
}

/// What is known for one scope. Times in whole seconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Entry {
    version: u64,
    digest: u16,
    flags: u8,
    replays: u8,
    era: u16,
    from: u32,
    keep: u32,
    lifts: u32,
    before: u32,
    forget: u32,
}

impl Entry {
    /// The least upper bound of both: commutative, associative, idempotent.
    pub fn join(self, other: Entry) -> Entry {
        let (lo, hi) = if self.era <= other.era { (self, other) } else { (other, self) };
        let mut out = hi;
        out.before = hi.before.min(lo.before);
        if lo.era == hi.era {
            out.from = hi.from.max(lo.from);
            out.lifts = hi.lifts.max(lo.lifts);
            out.keep = hi.keep.min(lo.keep);
        } else {
            out.before = out.before.min(lo.keep);
        }
        out.forget = self.forget.max(other.forget);
        let (old, new) = if self.version <= other.version { (self, other) } else { (other, self) };
        (out.version, out.digest, out.flags, out.replays) = (new.version, new.digest, new.flags, new.replays);
        if old.version == new.version {
            out.digest = old.digest.max(new.digest);
            out.flags = (old.flags & new.flags & REPLAY) | ((old.flags | new.flags) & HOLD);
            out.replays = old.replays.min(new.replays);
        }
        out
    }

    /// The version of its [`Word`].
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What it says that goes with its version.
    pub fn word(&self) -> Word {
        let Entry { version, replays, .. } = *self;
        Word { version, replay: self.is(REPLAY), replays, hold: self.is(HOLD) }
    }

    /// Up to which second, itself included, everything is forgotten; 0: none.
    pub fn forget(&self) -> u32 {
        self.forget
    }

    /// Seconds for which what ended in that second is kept at most.
    /// Danger: a longer era lifts only bounds that its maker knew of; a shortening from elsewhere binds it too.
    pub fn keep(&self, ended: u32) -> u32 {
        if ended < self.from || self.before < self.lifts {
            self.keep.min(self.before)
        } else {
            self.keep
        }
    }

    fn forgets(&self, ended: u32) -> bool {
        self.forget > 0 && ended <= self.forget
    }

    fn is(&self, flag: u8) -> bool {
        self.flags & flag != 0
    }

    fn sound(&self) -> bool {
        let lengths = [self.keep, self.lifts, self.before];
        self.version <= VERSION_MOST && self.era <= ERA_MOST && lengths.iter().all(|l| *l <= LONGEST)
    }
}

/// One entry for the carrier, [`WIRE`] bytes at most.
pub fn encode(scope: Scope, entry: Entry) -> Vec<u8> {
    postcard::to_allocvec(&(scope, entry)).unwrap_or_default()
}

/// Reads one entry, and nothing behind it; `None` if it is none, or has values that no courier writes.
pub fn decode(bytes: &[u8]) -> Option<(Scope, Entry)> {
    let (read, rest) = postcard::take_from_bytes::<(Scope, Entry)>(bytes).ok()?;
    (rest.is_empty() && read.1.sound()).then_some(read)
}

/// Why a message is not kept any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Gone {
    /// A forget order covers it.
    Forgotten,
    /// It was kept for as long as is allowed.
    Aged,
    /// Nothing says that it is kept.
    NoPolicy,
}

/// Why a forget order is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// A hold covers a part of it; who means it says so.
    Held,
    /// There is no room for one more entry.
    Full,
}

/// All that a courier knows of retention. Entries of all scopes, so many at most.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Book {
    entries: BTreeMap<Scope, Entry>,
    most: usize,
    digest: u64,
    refused: u32,
}

fn second(at: Micros) -> u32 {
    (at.0 / 1_000_000).min(u64::from(u32::MAX)) as u32
}

fn hash(scope: &Scope, entry: &Entry) -> u64 {
    let sum = Sha256::digest(encode(*scope, *entry));
    sum.iter().take(8).fold(0, |h, b| h << 8 | u64::from(*b))
}

impl Book {
    /// An empty one.
    pub fn new(most: usize) -> Book {
        Book { entries: BTreeMap::new(), most, digest: 0, refused: 0 }
    }

    /// What is known, by scope.
    pub fn entries(&self) -> &BTreeMap<Scope, Entry> {
        &self.entries
    }

    /// The same for two books that know the same; order does not matter.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The same by tenant, of all that names it or all tenants: for those that are named, and [`ANY`] for all others.
    pub fn digests(&self) -> BTreeMap<u16, u64> {
        let mut out = BTreeMap::from([(ANY, 0)]);
        for (scope, entry) in &self.entries {
            *out.entry(scope.tenant).or_insert(0) ^= hash(scope, entry);
        }
        let all = out[&ANY];
        out.iter_mut().filter(|(tenant, _)| **tenant != ANY).for_each(|(_, sum)| *sum ^= all);
        out
    }

    /// Entries that found no room. Danger: one of them may have been a forget order, so a book that has refused any is never
    /// whole: nothing is sent or shown by it.
    pub fn whole(&self) -> bool {
        self.refused == 0
    }

    /// Takes in what another said; whether anything is new.
    pub fn join(&mut self, scope: Scope, entry: Entry) -> bool {
        let old = self.entries.get(&scope).copied();
        if old.is_none() && self.entries.len() >= self.most {
            self.refused = self.refused.saturating_add(1);
            return false;
        }
        let new = old.map_or(entry, |old| old.join(entry));
        if old == Some(new) {
            return false;
        }
        self.digest ^= old.map_or(0, |old| hash(&scope, &old)) ^ hash(&scope, &new);
        self.entries.insert(scope, new);
        true
    }

    /// The entry that says this from now on, to be joined by all. A `keep` (seconds) that is longer than what is known begins
    /// an era: it brings nothing back and holds for what ends from `now` on.
    pub fn reworded(&self, scope: Scope, now: Micros, word: Word, keep: u32) -> Entry {
        let flags = if word.replay { REPLAY } else { 0 } | if word.hold { HOLD } else { 0 };
        let keep = keep.min(LONGEST);
        let said = (word.version, flags, word.replays, keep);
        let sum = Sha256::digest(postcard::to_allocvec(&said).unwrap_or_default());
        let fresh = Entry {
            version: word.version.min(VERSION_MOST),
            digest: u16::from_le_bytes([sum[0], sum[1]]),
            flags,
            replays: word.replays,
            era: 0,
            from: 0,
            keep,
            lifts: 0,
            before: LONGEST,
            forget: 0,
        };
        let Some(old) = self.entries.get(&scope) else { return fresh };
        let holds = old.keep(second(now).max(old.from));
        let forget = old.forget;
        if keep <= holds || old.era == ERA_MOST {
            return Entry {
                era: old.era,
                from: old.from,
                lifts: old.lifts,
                before: old.before,
                forget,
                ..fresh
            };
        }
        let before = old.before.min(old.keep);
        // Danger: of two that lift in one second, neither may let in what the other had not.
        let from = second(now).saturating_add(1).max(old.from);
        Entry { era: old.era + 1, from, lifts: before, before, forget, ..fresh }
    }

    /// Whether what is known of a scope says this already.
    pub fn says(&self, scope: Scope, word: Word, keep: u32) -> bool {
        let fresh = Book::new(1).reworded(scope, Micros(0), word, keep);
        let known = self.entries.get(&scope);
        known.is_some_and(|e| (e.version, e.digest) == (fresh.version, fresh.digest))
    }

    /// The entry that forgets everything of a scope up to a moment (rounded up: too much rather than too little). A hold
    /// does not stop it where it is heard; it stops its being given, unless `despite_hold`.
    pub fn forgetting(&self, scope: Scope, until: Micros, despite_hold: bool) -> Result<Entry, Refusal> {
        let meets = |a: u16, b: u16| a == ANY || b == ANY || a == b;
        let overlaps = |s: &Scope| {
            meets(s.tenant, scope.tenant) && meets(s.class, scope.class) && meets(s.dest, scope.dest)
        };
        if !despite_hold && self.entries.iter().any(|(s, e)| e.is(HOLD) && overlaps(s)) {
            return Err(Refusal::Held);
        }
        let old = self.entries.get(&scope);
        if old.is_none() && self.entries.len() >= self.most {
            return Err(Refusal::Full);
        }
        let nothing = Word { version: 0, replay: true, replays: u8::MAX, hold: false };
        let base = old.copied().unwrap_or_else(|| self.reworded(scope, until, nothing, LONGEST));
        Ok(Entry { forget: base.forget.max(second(until)).max(1), ..base })
    }

    /// All entries that cover it: eight at most, so many entries cost no more.
    fn of(&self, m: &About) -> impl Iterator<Item = &Entry> + '_ {
        let (tenants, classes, dests) = ([m.tenant, ANY], [m.class, ANY], [m.dest, ANY]);
        let scopes = (0..8_usize).map(move |n| Scope {
            tenant: tenants[n & 1],
            class: classes[n >> 1 & 1],
            dest: dests[n >> 2],
        });
        scopes.filter_map(|scope| self.entries.get(&scope))
    }

    /// Whether a forget order covers it.
    pub fn forgotten(&self, m: &About) -> bool {
        self.of(m).any(|e| e.forgets(second(m.ended)))
    }

    /// Whether a hold covers it.
    pub fn held(&self, m: &About) -> bool {
        self.of(m).any(|e| e.is(HOLD))
    }

    /// Whether and why it must not be there any more; the strictest of all that is known decides. It needs nobody else: who
    /// hears nothing goes on deleting by it.
    pub fn gone(&self, now: Micros, m: &About) -> Option<Gone> {
        if self.forgotten(m) {
            return Some(Gone::Forgotten);
        }
        // Version 0 is of a forget order alone, which says nothing of keeping.
        let worded = self.of(m).filter(|e| e.version > 0);
        let Some(keep) = worded.map(|e| e.keep(second(m.ended))).min() else { return Some(Gone::NoPolicy) };
        let aged = now.0.saturating_sub(m.ended.0) > u64::from(keep) * 1_000_000;
        (aged && !self.held(m)).then_some(Gone::Aged)
    }

    /// How often it may be sent again by policy; 0: not at all. What only a hold keeps is not sent.
    pub fn replays(&self, now: Micros, m: &About) -> u8 {
        let aged =
            |e: &Entry| now.0.saturating_sub(m.ended.0) > u64::from(e.keep(second(m.ended))) * 1_000_000;
        let allowed = |e: &Entry| if e.is(REPLAY) && !aged(e) { e.replays } else { 0 };
        if self.gone(now, m).is_some() {
            return 0;
        }
        self.of(m).map(allowed).min().unwrap_or(0)
    }

    /// The newest version known of anything that names the tenant, or all tenants.
    pub fn version(&self, tenant: u16) -> u64 {
        let of = self.entries.iter().filter(|(s, _)| s.tenant == tenant || s.tenant == ANY);
        of.map(|(_, e)| e.version).max().unwrap_or(0)
    }
}
