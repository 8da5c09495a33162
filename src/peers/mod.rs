//! What couriers tell one another: who is there, and small versioned entries that reach everyone who lacks them, over datagrams that
//! may be lost, doubled, late, out of order or one-way, at a price that is known beforehand. No I/O, no clock, no threads:
//! datagrams and time go in, datagrams come out. `docs/design/peers.md` says why it is cut so.
//!
//! **Bounds.** [`MAX_MEMBERS`] members; by owner [`entries::MAX_ENTRIES_PER_OWNER`] entries and [`entries::MAX_TOMBSTONES_PER_OWNER`] dropped ones; [`Config::max_peer_entries`] in all; one
//! chase by owner; [`MAX_QUEUED_ANSWERS`] asks waiting for an answer. What is sent: see [`budget`].

pub mod budget;
pub mod codec;
mod config;
pub mod direct;
pub mod entries;
pub mod membership;
pub mod payload;
mod send;
mod slow_start;
mod view;

use crate::api::Micros;
use budget::Budget;
use codec::{EntryRequest, GossipMessage, MemberDigest};
use direct::DirectUpdates;
use entries::{LocalEntries, OwnerEntries};
use membership::Member;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slow_start::SlowStart;
use std::collections::{BTreeMap, BTreeSet};

pub use codec::{cluster, Refusal};
pub use config::Config;
pub use membership::MemberStatus;
pub use view::{Counts, MemberView, PeerEntry, Snapshot};

/// There are no more members.
pub const MAX_MEMBERS: usize = 1_024;
/// So many asks wait for an answer at most.
pub const MAX_QUEUED_ANSWERS: usize = 256;
/// A beat takes so much at most where the budget has nothing for more: a head, one entry of full length, one piece of news.
pub const MIN_BEAT_BYTES: usize = 112;
/// Pieces of news of others in a beat.
const MAX_DIGESTS_PER_BEAT: usize = 6;
/// What is out of order often comes by itself: an ask waits for so long, and up to four times this more.
const FIRST_REQUEST_DELAY: Micros = Micros(50_000);
/// The second ask comes so much after the first, and each further one after twice as long.
const RETRY_DELAY: Micros = Micros(300_000);
/// But never after longer than this.
const MAX_RETRY_DELAY: Micros = Micros(2_000_000);
/// A note that took so much longer than the quickest is counted as late.
const LATE_AFTER: Micros = Micros(1_000_000);
/// No member is waited for by a longer beat, in tenths of a second.
const MAX_BEAT_TENTHS: u16 = 3_000;
/// No life is older, in milliseconds.
const MAX_RUN_AGE_MS: u64 = 1 << 45;

/// Whom a datagram is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// This member.
    One(u16),
    /// Every other member.
    All,
}

/// Something is lacking of an owner.
#[derive(Debug, Clone, PartialEq)]
struct Chase {
    due: Micros,
    wait: Micros,
    tries: u32,
    teller: Option<u16>,
}

/// One member's view of the fleet and what it says to it.
#[derive(Debug, Clone)]
pub struct Peers {
    config: Config,
    me: u16,
    incarnation: u64,
    born: Micros,
    rng: Pcg64Mcg,
    members: Vec<Member>,
    shelves: Vec<OwnerEntries>,
    own: LocalEntries,
    budget: Budget,
    start: SlowStart,
    beat: Micros,
    beat_at: Micros,
    chases: BTreeMap<u16, Chase>,
    /// By asker and owner.
    answers: BTreeMap<(u16, u16), EntryRequest>,
    /// The asker that was answered last.
    answered: u16,
    /// Former lives that are to be told so.
    tell: BTreeSet<u16>,
    /// Owners of whom a former life's entries still stand.
    fading: BTreeSet<u16>,
    held: usize,
    repairs_next: bool,
    superseded: Option<u64>,
    private: DirectUpdates,
    counts: Counts,
}

impl Peers {
    /// Member `me` of `n` (numbers from 0), in the life with this incarnation, which begins now.
    pub fn new(config: Config, now: Micros, me: u16, n: usize, incarnation: u64, seed: u64) -> Peers {
        let config = Config {
            max_datagram_bytes: config.max_datagram_bytes.clamp(160, codec::MAX_DATAGRAM_BYTES),
            ..config
        };
        let mut peers = Peers {
            me,
            incarnation,
            born: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: vec![],
            shelves: vec![],
            own: LocalEntries {
                shelf: OwnerEntries { incarnation, ..OwnerEntries::default() },
                dirty: BTreeMap::new(),
            },
            budget: Budget::new(now, (0.0, 0.0), (0.0, 0.0), 0.0),
            start: SlowStart::new(0.0),
            beat: config.beat_interval,
            beat_at: now,
            chases: BTreeMap::new(),
            answers: BTreeMap::new(),
            answered: 0,
            tell: BTreeSet::new(),
            fading: BTreeSet::new(),
            held: 0,
            repairs_next: false,
            superseded: None,
            private: DirectUpdates::default(),
            counts: Counts::default(),
            config,
        };
        peers.resize(now, n);
        peers
    }

    /// The fleet has so many members from now on, [`MAX_MEMBERS`] at most. The budget begins anew, with nothing saved up.
    pub fn resize(&mut self, now: Micros, n: usize) {
        let n = n.clamp(usize::from(self.me) + 1, MAX_MEMBERS.max(usize::from(self.me) + 1));
        let others = (n - 1) as f64;
        let least =
            Micros::from_secs(MIN_BEAT_BYTES as f64 * others / self.config.max_beat_bytes_per_s.max(1.0));
        self.beat = self.config.beat_interval.max(least).max(Micros(100_000));
        self.members.resize(n, Member::new(now, self.beat));
        self.shelves.resize(n, OwnerEntries::default());
        self.held = self.shelves.iter().map(|s| s.items.len()).sum();
        let beats = others / self.beat.secs();
        let notes = self.config.messages_per_s.max(1.5 * beats);
        let bytes = 1.5 * beats * MIN_BEAT_BYTES as f64;
        let full = others * self.config.max_datagram_bytes as f64;
        let (notes, bytes) = ((notes, (2.0 * notes).max(others)), (bytes, (2.0 * bytes).max(full)));
        self.budget = Budget::new(now, notes, bytes, self.config.bytes_per_message);
        self.start = SlowStart::new(beats);
        self.budget.pace(self.start.rate(bytes.0));
        // Danger: members that start together must not speak together.
        self.beat_at = now + self.beat.scale(self.random());
        let gone = |o: &u16| usize::from(*o) < n;
        self.chases.retain(|o, _| gone(o));
        self.answers.retain(|(p, o), _| gone(p) && gone(o));
        self.tell.retain(gone);
        self.fading.retain(gone);
        self.private.retain(|o| gone(&o));
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// A datagram came in; `from` is the member with the address that it came from, where that is known.
    pub fn receive(&mut self, now: Micros, from: Option<u16>, bytes: &[u8]) -> Result<(), Refusal> {
        let result =
            codec::decode(self.config.cluster, bytes).and_then(|note| self.receive_message(now, from, note));
        match result {
            Ok(()) => self.counts.heard += 1,
            Err(why) => {
                let at = Refusal::ALL.iter().position(|r| *r == why).unwrap_or(0);
                self.counts.refused[at] += 1;
            }
        }
        result
    }

    fn receive_message(
        &mut self, now: Micros, address: Option<u16>, note: GossipMessage,
    ) -> Result<(), Refusal> {
        let from = note.from;
        if from == self.me {
            self.of_me(note.incarnation, 0);
            return Err(Refusal::Unknown);
        }
        let known = usize::from(from) < self.members.len();
        if !known || address.is_some_and(|a| a != from) {
            return Err(Refusal::Unknown);
        }
        if !self.life(now, from, note.incarnation, note.top, note.at)? {
            // One of us telling it is enough; if none does, it speaks again.
            if self.random() * (self.members.len() as f64) < 4.0 {
                self.tell.insert(from);
            }
            return Err(Refusal::Old);
        }
        let member = &mut self.members[usize::from(from)];
        let late = member.extra_delay(now, note.at);
        self.counts.late += u64::from(late > LATE_AFTER);
        member.last_direct = member.last_direct.max(Some(now - late));
        let stamp = note.at / 100 + 1;
        if note.next == 0 && stamp >= member.stamp {
            member.mark_left(now);
        } else {
            member.beat_interval = Micros(u64::from(note.next.clamp(1, MAX_BEAT_TENTHS)) * 100_000);
            member.mark_alive(now, stamp, now - late);
        }
        for top in &note.tops {
            self.top(now, late, from, top);
        }
        for block in &note.blocks {
            self.block(now, late, block);
        }
        // Danger: what was said to a former life of this member, or answers it, is nothing to this one.
        if let Some(private) = note.private.as_ref().filter(|p| p.to_life == self.incarnation) {
            self.counts.parts_refused += self.private.heard(now, from, note.incarnation, late, private);
        }
        self.told(now, from, note.top, from);
        let member = &mut self.members[usize::from(from)];
        if !note.asks.is_empty() && note.at + 1 > member.asked {
            member.asked = note.at + 1;
            for ask in &note.asks {
                self.asked(from, ask);
            }
        }
        Ok(())
    }

    /// Something is said of a member's life: false if that life is over.
    fn life(
        &mut self, now: Micros, owner: u16, incarnation: u64, top: u64, at: u64,
    ) -> Result<bool, Refusal> {
        let i = usize::from(owner);
        let known = if incarnation == self.shelves[i].incarnation { self.shelves[i].top } else { 0 };
        let ahead = top > known.saturating_add(entries::MAX_COUNTER_JUMP) || at > MAX_RUN_AGE_MS;
        if incarnation == 0 || ahead || self.members[i].is_future(incarnation) {
            return Err(Refusal::Future);
        }
        if self.members[i].start_run(incarnation) {
            self.shelves[i].renew(incarnation, now + self.config.previous_run_ttl);
            if !self.shelves[i].items.is_empty() {
                self.fading.insert(owner);
            }
            self.chases.remove(&owner);
            self.answers.retain(|(_, o), _| *o != owner);
            self.tell.remove(&owner);
            self.private.renewed(now, owner);
        }
        Ok(incarnation == self.members[i].incarnation)
    }

    /// Somebody speaks of this member: a higher life, or numbers that this one never gave, mean that this one is not the last.
    fn of_me(&mut self, incarnation: u64, top: u64) {
        let own = self.incarnation;
        // Danger: what nobody can have reached would silence this member, and no number above it would be believed.
        if incarnation > own.saturating_add(membership::MAX_INCARNATION_JUMP) {
            return;
        }
        if incarnation > own || (incarnation == own && top > self.own.shelf.top) {
            self.superseded = self.superseded.max(Some(incarnation));
        }
    }

    fn top(&mut self, now: Micros, late: Micros, teller: u16, top: &MemberDigest) {
        if top.owner == self.me {
            // The own stamp comes back: so far the teller has heard of this member, by whichever way.
            if top.incarnation == self.incarnation {
                let when = self.born + Micros(top.stamp.saturating_sub(1).saturating_mul(100_000));
                let member = &mut self.members[usize::from(teller)];
                member.last_heard_own = member.last_heard_own.max(Some(when.min(now)));
            }
            return self.of_me(top.incarnation, top.top);
        }
        let known = usize::from(top.owner) < self.members.len();
        let at = top.stamp.saturating_mul(100);
        if !known || self.life(now, top.owner, top.incarnation, top.top, at) != Ok(true) {
            self.counts.parts_refused += 1;
            return;
        }
        let age = late + Micros(u64::from(top.age) * 100_000);
        self.members[usize::from(top.owner)].mark_alive(now, top.stamp, now - age);
        self.told(now, top.owner, top.top, teller);
    }

    fn block(&mut self, now: Micros, late: Micros, block: &codec::EntryBlock) {
        if block.owner == self.me {
            return self.of_me(block.incarnation, block.to);
        }
        let i = usize::from(block.owner);
        let known = i < self.members.len();
        if !known || self.life(now, block.owner, block.incarnation, block.to, 0) != Ok(true) {
            self.counts.parts_refused += 1;
            return;
        }
        let shelf = &mut self.shelves[i];
        let (before, len) = (shelf.ask(block.owner), shelf.items.len());
        shelf.merge(now, block, late);
        let forward = shelf.ask(block.owner) != before;
        self.held = self.held + shelf.items.len() - len;
        if !shelf.lacks() {
            self.chases.remove(&block.owner);
        } else if let Some(chase) = self.chases.get_mut(&block.owner).filter(|_| forward) {
            (chase.tries, chase.wait, chase.due) = (0, RETRY_DELAY, now + FIRST_REQUEST_DELAY);
        }
        if self.held > self.config.max_peer_entries {
            self.make_room();
        }
    }

    /// Gives up a part of what is held, so that this is seldom done: the least urgent kinds, of those the oldest.
    fn make_room(&mut self) {
        let all = self.shelves.iter().enumerate().flat_map(|(i, s)| s.items.iter().map(move |e| (i, e)));
        let mut all: Vec<_> = all.map(|(i, (k, h))| (std::cmp::Reverse(k.0), h.set_at, i, *k)).collect();
        all.sort();
        let over = self.held - self.config.max_peer_entries + self.config.max_peer_entries / 64;
        for (.., owner, key) in all.into_iter().take(over) {
            self.shelves[owner].give_up(key);
            self.held -= 1;
            self.counts.given_up += 1;
        }
    }

    /// The newest counter of an owner was told by `teller`: what is lacking is chased.
    fn told(&mut self, now: Micros, owner: u16, top: u64, teller: u16) {
        let shelf = &mut self.shelves[usize::from(owner)];
        let more = top > shelf.seen;
        shelf.top = shelf.top.max(top);
        if !shelf.lacks() {
            return;
        }
        let spread = self.random();
        let chase = self.chases.entry(owner).or_insert_with(|| Chase {
            due: now + FIRST_REQUEST_DELAY + FIRST_REQUEST_DELAY.scale(4.0 * spread),
            wait: RETRY_DELAY,
            tries: 0,
            teller: None,
        });
        if more && teller != owner {
            chase.teller = Some(teller);
        }
    }

    fn asked(&mut self, by: u16, ask: &EntryRequest) {
        let shelf = match usize::from(ask.owner) {
            _ if ask.owner == self.me => &self.own.shelf,
            i if i < self.shelves.len() => &self.shelves[i],
            _ => return,
        };
        let (owner, incarnation) = (ask.owner, shelf.incarnation);
        // An asker that knows a former life only has nothing of this one.
        let ask = match ask.incarnation.cmp(&incarnation) {
            std::cmp::Ordering::Less => EntryRequest { owner, incarnation, have: 0, sweep: (0, 0) },
            std::cmp::Ordering::Equal => *ask,
            std::cmp::Ordering::Greater => return,
        };
        if ask.have >= shelf.seen || shelf.partial {
            return;
        }
        if self.answers.len() >= MAX_QUEUED_ANSWERS && !self.answers.contains_key(&(by, ask.owner)) {
            self.counts.unanswered += 1;
            return;
        }
        self.answers.insert((by, ask.owner), ask);
    }
}
