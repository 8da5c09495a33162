//! Gossip between couriers: membership, and small versioned entries that reach every member that lacks them,
//! over datagrams that may be lost, duplicated, delayed, reordered or delivered in one direction only.
//! Traffic stays within a fixed budget. This module does no I/O, reads no clock and starts no threads:
//! datagrams and the time go in, datagrams come out. `docs/design/peers.md` gives the reasons for the design.
//!
//! **Bounds.** At most [`MAX_MEMBERS`] members; per owner [`entries::MAX_ENTRIES_PER_OWNER`] entries and
//! [`entries::MAX_TOMBSTONES_PER_OWNER`] tombstones; [`Config::max_peer_entries`] entries of other members in
//! total; one pending repair per owner; [`MAX_QUEUED_ANSWERS`] queued requests. See [`budget`] for the bounds
//! on traffic.

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

/// Most members of a fleet.
pub const MAX_MEMBERS: usize = 1_024;
/// Most entry requests that wait for an answer.
pub const MAX_QUEUED_ANSWERS: usize = 256;
/// Bytes that a heartbeat may take even when the budget has nothing left: the header, one entry of full
/// length and one digest.
pub const MIN_BEAT_BYTES: usize = 112;
/// Most digests of other members in a heartbeat.
const MAX_DIGESTS_PER_BEAT: usize = 6;
/// Out-of-order datagrams often arrive on their own, so the first request for missing entries waits this long
/// plus a random time of up to four times as long.
const FIRST_REQUEST_DELAY: Micros = Micros(50_000);
/// Time from the first request to the second; it doubles with each further one.
const RETRY_DELAY: Micros = Micros(300_000);
/// Longest time between two requests.
const MAX_RETRY_DELAY: Micros = Micros(2_000_000);
/// A message that took this much longer than the fastest recent one is counted as late.
const LATE_AFTER: Micros = Micros(1_000_000);
/// Longest heartbeat interval that is accepted from a member, in tenths of a second.
const MAX_BEAT_TENTHS: u16 = 3_000;
/// Oldest process run that is accepted, in milliseconds.
const MAX_RUN_AGE_MS: u64 = 1 << 45;

/// The recipients of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Recipient {
    /// The member with this number.
    One(u16),
    /// Every other member.
    All,
}

/// A pending repair: entries of one owner are missing.
#[derive(Debug, Clone, PartialEq)]
struct Chase {
    due: Micros,
    wait: Micros,
    tries: u32,
    teller: Option<u16>,
}

/// One member's view of the fleet, and the entries that it publishes.
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
    /// Requests that wait for an answer, by requester and owner.
    answers: BTreeMap<(u16, u16), EntryRequest>,
    /// The requester that was answered last.
    answered: u16,
    /// Members that still send in a previous run and have to be told of the newer one.
    tell: BTreeSet<u16>,
    /// Owners that still have entries from a previous run.
    fading: BTreeSet<u16>,
    held: usize,
    repairs_next: bool,
    superseded: Option<u64>,
    private: DirectUpdates,
    counts: Counts,
}

impl Peers {
    /// Creates member `me` of `n` (numbered from 0) in a process run with this incarnation that starts at
    /// `now`.
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

    /// Sets the number of members, at most [`MAX_MEMBERS`]. The budget restarts empty.
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
        self.budget.set_byte_rate(self.start.rate(bytes.0));
        // A random phase keeps members that start together from sending together.
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

    /// Takes in a datagram. `from` is the member whose address it came from, if known.
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
            // Each member that notices replies only with a probability, so that about four do; if none does,
            // the old run sends again.
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
        // Direct updates and acknowledgements for a previous run of this member do not apply to this run.
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

    /// Registers the run that a message names for `owner`; returns false if that run has been replaced.
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

    /// Checks what others report of this member: a higher incarnation, or counters that this run never
    /// assigned, mean that another run has replaced it.
    fn of_me(&mut self, incarnation: u64, top: u64) {
        let own = self.incarnation;
        // Believing an unreachable incarnation would silence this member for good, since no higher number
        // would be accepted.
        if incarnation > own.saturating_add(membership::MAX_INCARNATION_JUMP) {
            return;
        }
        if incarnation > own || (incarnation == own && top > self.own.shelf.top) {
            self.superseded = self.superseded.max(Some(incarnation));
        }
    }

    fn top(&mut self, now: Micros, late: Micros, teller: u16, top: &MemberDigest) {
        if top.owner == self.me {
            // The member's own stamp comes back: the teller has heard of this member up to that time,
            // directly or through others.
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

    /// Evicts entries of the least urgent kinds, the oldest first, and somewhat more than needed so that this
    /// runs seldom.
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

    /// Notes that `teller` announced the owner's newest counter and schedules a repair if entries are
    /// missing.
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
        // A requester that knows only a previous run has no entries of this one.
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
