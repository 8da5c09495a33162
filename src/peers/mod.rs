//! Gossip between couriers: membership, and small versioned entries that reach every member that lacks them,
//! over datagrams that may be lost, duplicated, delayed, reordered or delivered in one direction only.
//! Traffic stays within a fixed budget. This module does no I/O, reads no clock and starts no threads:
//! datagrams and the time go in, datagrams come out. `docs/design/peers.md` gives the reasons for the design.
//!
//! **Bounds.** At most [`MAX_MEMBERS`] members; per owner [`entries::MAX_ENTRIES_PER_OWNER`] entries and
//! [`entries::MAX_TOMBSTONES_PER_OWNER`] tombstones; [`Config::max_peer_entries`] entries of other members in
//! total; one pending repair per owner; [`MAX_QUEUED_REQUESTS`] queued requests. See [`budget`] for the bounds
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
pub const MAX_QUEUED_REQUESTS: usize = 256;
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
struct Repair {
    due: Micros,
    retry_delay: Micros,
    attempts: u32,
    source: Option<u16>,
}

/// One member's view of the fleet, and the entries that it publishes.
#[derive(Debug, Clone)]
pub struct Peers {
    config: Config,
    me: u16,
    incarnation: u64,
    started_at: Micros,
    rng: Pcg64Mcg,
    members: Vec<Member>,
    owners: Vec<OwnerEntries>,
    local: LocalEntries,
    budget: Budget,
    slow_start: SlowStart,
    beat_interval: Micros,
    next_beat_at: Micros,
    repairs: BTreeMap<u16, Repair>,
    /// Requests that wait for an answer, by requester and owner.
    queued_requests: BTreeMap<(u16, u16), EntryRequest>,
    /// The requester that was answered last.
    last_answered: u16,
    /// Members that still send in a previous run and have to be told of the newer one.
    to_notify: BTreeSet<u16>,
    /// Owners that still have entries from a previous run.
    owners_with_previous: BTreeSet<u16>,
    stored_entries: usize,
    repairs_next: bool,
    superseded: Option<u64>,
    direct: DirectUpdates,
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
            started_at: now,
            rng: Pcg64Mcg::seed_from_u64(seed),
            members: vec![],
            owners: vec![],
            local: LocalEntries {
                entries: OwnerEntries { incarnation, ..OwnerEntries::default() },
                dirty: BTreeMap::new(),
            },
            budget: Budget::new(now, (0.0, 0.0), (0.0, 0.0), 0.0),
            slow_start: SlowStart::new(0.0),
            beat_interval: config.beat_interval,
            next_beat_at: now,
            repairs: BTreeMap::new(),
            queued_requests: BTreeMap::new(),
            last_answered: 0,
            to_notify: BTreeSet::new(),
            owners_with_previous: BTreeSet::new(),
            stored_entries: 0,
            repairs_next: false,
            superseded: None,
            direct: DirectUpdates::default(),
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
        let min_interval =
            Micros::from_secs(MIN_BEAT_BYTES as f64 * others / self.config.max_beat_bytes_per_s.max(1.0));
        self.beat_interval = self.config.beat_interval.max(min_interval).max(Micros(100_000));
        self.members.resize(n, Member::new(now, self.beat_interval));
        self.owners.resize(n, OwnerEntries::default());
        self.stored_entries = self.owners.iter().map(|s| s.items.len()).sum();
        let beats = others / self.beat_interval.secs();
        let messages = self.config.messages_per_s.max(1.5 * beats);
        let bytes = 1.5 * beats * MIN_BEAT_BYTES as f64;
        let full_message = others * self.config.max_datagram_bytes as f64;
        let (messages, bytes) =
            ((messages, (2.0 * messages).max(others)), (bytes, (2.0 * bytes).max(full_message)));
        self.budget = Budget::new(now, messages, bytes, self.config.bytes_per_message);
        self.slow_start = SlowStart::new(beats);
        self.budget.set_byte_rate(self.slow_start.rate(bytes.0));
        // A random phase keeps members that start together from sending together.
        self.next_beat_at = now + self.beat_interval.scale(self.random());
        let exists = |o: &u16| usize::from(*o) < n;
        self.repairs.retain(|o, _| exists(o));
        self.queued_requests.retain(|(p, o), _| exists(p) && exists(o));
        self.to_notify.retain(exists);
        self.owners_with_previous.retain(exists);
        self.direct.retain(|o| exists(&o));
    }

    fn random(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }

    /// Takes in a datagram. `from` is the member whose address it came from, if known.
    pub fn receive(&mut self, now: Micros, from: Option<u16>, bytes: &[u8]) -> Result<(), Refusal> {
        let result = codec::decode(self.config.cluster, bytes)
            .and_then(|message| self.receive_message(now, from, message));
        match result {
            Ok(()) => self.counts.heard += 1,
            Err(why) => {
                let index = Refusal::ALL.iter().position(|r| *r == why).unwrap_or(0);
                self.counts.refused[index] += 1;
            }
        }
        result
    }

    fn receive_message(
        &mut self, now: Micros, address: Option<u16>, message: GossipMessage,
    ) -> Result<(), Refusal> {
        let from = message.from;
        if from == self.me {
            self.check_own_run(message.incarnation, 0);
            return Err(Refusal::Unknown);
        }
        let known = usize::from(from) < self.members.len();
        if !known || address.is_some_and(|a| a != from) {
            return Err(Refusal::Unknown);
        }
        if !self.check_run(now, from, message.incarnation, message.top, message.at)? {
            // Each member that notices replies only with a probability, so that about four do; if none does,
            // the old run sends again.
            if self.random() * (self.members.len() as f64) < 4.0 {
                self.to_notify.insert(from);
            }
            return Err(Refusal::Old);
        }
        let member = &mut self.members[usize::from(from)];
        let late = member.extra_delay(now, message.at);
        self.counts.late += u64::from(late > LATE_AFTER);
        member.last_direct = member.last_direct.max(Some(now - late));
        let stamp = message.at / 100 + 1;
        if message.next == 0 && stamp >= member.stamp {
            member.mark_left(now);
        } else {
            member.beat_interval = Micros(u64::from(message.next.clamp(1, MAX_BEAT_TENTHS)) * 100_000);
            member.mark_alive(now, stamp, now - late);
        }
        for digest in &message.tops {
            self.receive_digest(now, late, from, digest);
        }
        for block in &message.blocks {
            self.receive_block(now, late, block);
        }
        // Direct updates and acknowledgements for a previous run of this member do not apply to this run.
        if let Some(payload) = message.private.as_ref().filter(|p| p.to_life == self.incarnation) {
            self.counts.parts_refused += self.direct.receive(now, from, message.incarnation, late, payload);
        }
        self.record_announcement(now, from, message.top, from);
        let member = &mut self.members[usize::from(from)];
        if !message.asks.is_empty() && message.at + 1 > member.asked {
            member.asked = message.at + 1;
            for request in &message.asks {
                self.queue_request(from, request);
            }
        }
        Ok(())
    }

    /// Registers the run that a message names for `owner`; returns false if that run has been replaced.
    fn check_run(
        &mut self, now: Micros, owner: u16, incarnation: u64, top: u64, at: u64,
    ) -> Result<bool, Refusal> {
        let index = usize::from(owner);
        let known = if incarnation == self.owners[index].incarnation { self.owners[index].top } else { 0 };
        let unreachable = top > known.saturating_add(entries::MAX_COUNTER_JUMP) || at > MAX_RUN_AGE_MS;
        if incarnation == 0 || unreachable || self.members[index].is_future(incarnation) {
            return Err(Refusal::Future);
        }
        if self.members[index].start_run(incarnation) {
            self.owners[index].start_run(incarnation, now + self.config.previous_run_ttl);
            if !self.owners[index].items.is_empty() {
                self.owners_with_previous.insert(owner);
            }
            self.repairs.remove(&owner);
            self.queued_requests.retain(|(_, o), _| *o != owner);
            self.to_notify.remove(&owner);
            self.direct.peer_restarted(now, owner);
        }
        Ok(incarnation == self.members[index].incarnation)
    }

    /// Checks what others report of this member: a higher incarnation, or counters that this run never
    /// assigned, mean that another run has replaced it.
    fn check_own_run(&mut self, incarnation: u64, top: u64) {
        let own = self.incarnation;
        // Believing an unreachable incarnation would silence this member for good, since no higher number
        // would be accepted.
        if incarnation > own.saturating_add(membership::MAX_INCARNATION_JUMP) {
            return;
        }
        if incarnation > own || (incarnation == own && top > self.local.entries.top) {
            self.superseded = self.superseded.max(Some(incarnation));
        }
    }

    fn receive_digest(&mut self, now: Micros, late: Micros, source: u16, digest: &MemberDigest) {
        if digest.owner == self.me {
            // The member's own stamp comes back: the source has heard of this member up to that time,
            // directly or through others.
            if digest.incarnation == self.incarnation {
                let when = self.started_at + Micros(digest.stamp.saturating_sub(1).saturating_mul(100_000));
                let member = &mut self.members[usize::from(source)];
                member.last_heard_own = member.last_heard_own.max(Some(when.min(now)));
            }
            return self.check_own_run(digest.incarnation, digest.top);
        }
        let known = usize::from(digest.owner) < self.members.len();
        let at = digest.stamp.saturating_mul(100);
        if !known || self.check_run(now, digest.owner, digest.incarnation, digest.top, at) != Ok(true) {
            self.counts.parts_refused += 1;
            return;
        }
        let age = late + Micros(u64::from(digest.age) * 100_000);
        self.members[usize::from(digest.owner)].mark_alive(now, digest.stamp, now - age);
        self.record_announcement(now, digest.owner, digest.top, source);
    }

    fn receive_block(&mut self, now: Micros, late: Micros, block: &codec::EntryBlock) {
        if block.owner == self.me {
            return self.check_own_run(block.incarnation, block.to);
        }
        let index = usize::from(block.owner);
        let known = index < self.members.len();
        if !known || self.check_run(now, block.owner, block.incarnation, block.to, 0) != Ok(true) {
            self.counts.parts_refused += 1;
            return;
        }
        let entries = &mut self.owners[index];
        let (request_before, len_before) = (entries.request(block.owner), entries.items.len());
        entries.merge(now, block, late);
        let advanced = entries.request(block.owner) != request_before;
        self.stored_entries = self.stored_entries + entries.items.len() - len_before;
        if !entries.is_incomplete() {
            self.repairs.remove(&block.owner);
        } else if let Some(repair) = self.repairs.get_mut(&block.owner).filter(|_| advanced) {
            (repair.attempts, repair.retry_delay, repair.due) = (0, RETRY_DELAY, now + FIRST_REQUEST_DELAY);
        }
        if self.stored_entries > self.config.max_peer_entries {
            self.evict_entries();
        }
    }

    /// Evicts entries of the least urgent kinds, the oldest first, and somewhat more than needed so that this
    /// runs seldom.
    fn evict_entries(&mut self) {
        let all = self.owners.iter().enumerate().flat_map(|(i, s)| s.items.iter().map(move |e| (i, e)));
        let mut all: Vec<_> = all.map(|(i, (k, h))| (std::cmp::Reverse(k.0), h.set_at, i, *k)).collect();
        all.sort();
        let excess = self.stored_entries - self.config.max_peer_entries + self.config.max_peer_entries / 64;
        for (.., owner, key) in all.into_iter().take(excess) {
            self.owners[owner].evict(key);
            self.stored_entries -= 1;
            self.counts.given_up += 1;
        }
    }

    /// Records that `source` announced the owner's newest counter and schedules a repair if entries are
    /// missing.
    fn record_announcement(&mut self, now: Micros, owner: u16, top: u64, source: u16) {
        let entries = &mut self.owners[usize::from(owner)];
        let newer = top > entries.seen;
        entries.top = entries.top.max(top);
        if !entries.is_incomplete() {
            return;
        }
        let spread = self.random();
        let repair = self.repairs.entry(owner).or_insert_with(|| Repair {
            due: now + FIRST_REQUEST_DELAY + FIRST_REQUEST_DELAY.scale(4.0 * spread),
            retry_delay: RETRY_DELAY,
            attempts: 0,
            source: None,
        });
        if newer && source != owner {
            repair.source = Some(source);
        }
    }

    fn queue_request(&mut self, requester: u16, request: &EntryRequest) {
        let entries = match usize::from(request.owner) {
            _ if request.owner == self.me => &self.local.entries,
            i if i < self.owners.len() => &self.owners[i],
            _ => return,
        };
        let (owner, incarnation) = (request.owner, entries.incarnation);
        // A requester that knows only a previous run has no entries of this one.
        let request = match request.incarnation.cmp(&incarnation) {
            std::cmp::Ordering::Less => EntryRequest { owner, incarnation, have: 0, sweep: (0, 0) },
            std::cmp::Ordering::Equal => *request,
            std::cmp::Ordering::Greater => return,
        };
        if request.have >= entries.seen || entries.partial {
            return;
        }
        if self.queued_requests.len() >= MAX_QUEUED_REQUESTS
            && !self.queued_requests.contains_key(&(requester, request.owner))
        {
            self.counts.unanswered += 1;
            return;
        }
        self.queued_requests.insert((requester, request.owner), request);
    }
}
