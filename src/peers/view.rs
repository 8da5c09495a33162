//! The interface to payloads and readers: setting entries, reading those of others, with their age and the
//! coverage of the fleet.

use super::membership::Member;
use super::{MemberStatus, Micros, Peers};
use std::sync::Arc;

/// Counters since the start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Datagrams accepted.
    pub heard: u64,
    /// Accepted datagrams that took over a second longer than the fastest recent one.
    pub late: u64,
    /// Datagrams refused, by [`super::Refusal::ALL`].
    pub refused: [u64; 6],
    /// Refused parts of accepted datagrams: of previous runs, of unknown members, from the future.
    pub parts_refused: u64,
    /// Messages sent, counting each receiver.
    pub notes: u64,
    /// Bytes sent, over all receivers.
    pub bytes: u64,
    /// Heartbeats, changes, requests, answers and direct messages sent.
    pub sent: [u64; 5],
    /// Bytes by these kinds, over all receivers.
    pub sent_bytes: [u64; 5],
    /// Entries of other members that were evicted because of the limit.
    pub given_up: u64,
    /// Requests dropped because the queue was full.
    pub unanswered: u64,
}

/// An entry of another member.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerEntry {
    /// Its owner's number.
    pub owner: u16,
    /// Its kind.
    pub kind: u8,
    /// Its id within its kind.
    pub id: u32,
    /// The incarnation of the run that set it.
    pub incarnation: u64,
    /// Its counter in that run: the pair distinguishes versions.
    pub counter: u64,
    /// The value.
    pub value: Arc<[u8]>,
    /// When it was set, on this member's clock; too late by the smallest delay of messages on the way.
    pub set_at: Micros,
    /// The run that set it has been replaced by one that has not set this entry yet.
    pub from_previous_run: bool,
}

/// What is known of a member.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberView {
    /// Its state.
    pub standing: MemberStatus,
    /// Since when it has this state.
    pub since: Micros,
    /// The incarnation of its run; 0 if nothing was ever received.
    pub incarnation: u64,
    /// The latest time at which it is known to have been alive, from itself or through others.
    pub last_alive: Option<Micros>,
    /// When a message came directly from it.
    pub last_direct: Option<Micros>,
    /// The send time of this member's newest message that the other is known to have heard of, directly or
    /// through others. In a large fleet it reports this seldom; if no member has for several heartbeats, this
    /// member is not being received.
    pub last_heard_own: Option<Micros>,
    /// No entry that it has announced is missing here.
    pub whole: bool,
}

/// The gossip state at one time, for readers on other threads.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// When the snapshot was taken.
    pub taken_at: Micros,
    /// This member's number.
    pub me: u16,
    /// By number; this member itself is alive and complete.
    pub members: Vec<MemberView>,
    /// By owner, kind and id, without this member's own.
    pub entries: Vec<PeerEntry>,
    /// Another run has replaced this one: entries set here reach nobody.
    pub superseded: Option<u64>,
    /// The counters.
    pub counts: Counts,
}

impl Snapshot {
    /// The share of the fleet, weighted by `weight`, that was alive within `within` before `now`, this member
    /// included. `now` is the reader's clock, so that a snapshot that is no longer renewed covers less and
    /// less.
    pub fn coverage(&self, now: Micros, within: Micros, weight: impl Fn(u16) -> f64) -> f64 {
        let (mut all, mut there) = (0.0, 0.0);
        for (i, seen) in self.members.iter().enumerate() {
            let weight = weight(i as u16).max(0.0);
            all += weight;
            let fresh =
                seen.last_alive.is_some_and(|a| now - a <= within) && seen.standing != MemberStatus::Down;
            if fresh || i == usize::from(self.me) {
                there += weight;
            }
        }
        if all > 0.0 {
            there / all
        } else {
            0.0
        }
    }

    /// The send time of this member's newest message that any other member is known to have heard of, if any.
    pub fn heard_until(&self) -> Option<Micros> {
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != usize::from(self.me));
        others.filter_map(|(_, m)| m.last_heard_own).max()
    }

    /// The entries of this kind.
    pub fn kind(&self, kind: u8) -> impl Iterator<Item = &PeerEntry> {
        self.entries.iter().filter(move |s| s.kind == kind)
    }
}

impl Peers {
    /// Publishes an entry to all members; it replaces the one with this kind and id. Lower kinds are more
    /// urgent. Returns false, and changes nothing, if the value is longer than
    /// [`super::codec::MAX_VALUE_BYTES`] or there are already [`super::entries::MAX_ENTRIES_PER_OWNER`]
    /// others.
    pub fn set(&mut self, now: Micros, kind: u8, id: u32, value: &[u8]) -> bool {
        value.len() <= super::codec::MAX_VALUE_BYTES && self.local.set(now, (kind, id), Some(value))
    }

    /// Removes an entry.
    pub fn remove(&mut self, now: Micros, kind: u8, id: u32) {
        self.local.set(now, (kind, id), None);
    }

    /// Sends an update to one member alone until it is acknowledged, at most until `until`; it replaces the
    /// one to it with this kind and id. Returns false if the value is too long or there is no such member.
    pub fn send_to(&mut self, now: Micros, to: u16, kind: u8, id: u32, value: &[u8], until: Micros) -> bool {
        let valid = value.len() <= super::codec::MAX_VALUE_BYTES
            && to != self.me
            && usize::from(to) < self.members.len();
        if valid {
            self.direct.send(now, to, kind, id, value, until);
        }
        valid
    }

    /// Adds to the traffic budget for messages that this courier has handled.
    pub fn handled(&mut self, messages: u32) {
        self.budget.add_handled(messages);
    }

    /// The higher incarnation of another run of this member, or the own one if it appeared with counters that
    /// this run never assigned; this run then sends nothing more. That is right if another process took over.
    /// If this process does own the data directory, its incarnation came from an older copy: claim one above
    /// this and continue with [`Peers::adopt_incarnation`].
    pub fn superseded(&self) -> Option<u64> {
        self.superseded
    }

    /// Continues under a higher incarnation and publishes all entries anew.
    pub fn adopt_incarnation(&mut self, now: Micros, incarnation: u64) {
        if incarnation > self.incarnation {
            (self.incarnation, self.started_at, self.superseded) = (incarnation, now, None);
            self.local.adopt_incarnation(now, incarnation);
            self.queued_requests.retain(|(_, owner), _| *owner != self.me);
            // Sequence numbers of the previous run say nothing about this one.
            self.direct = super::direct::DirectUpdates::default();
        }
    }

    /// Entries of this kind from other members, to all or to this member alone, without copying the others.
    pub fn get(&self, kind: u8) -> impl Iterator<Item = PeerEntry> + '_ {
        let direct = self.direct.of_kind(kind).map(move |(owner, id, received)| PeerEntry {
            owner,
            kind,
            id,
            incarnation: received.incarnation,
            counter: received.turn,
            value: received.value.clone(),
            set_at: received.set_at,
            from_previous_run: received.incarnation != self.owners[usize::from(owner)].incarnation,
        });
        self.stored_entries(kind, kind).chain(direct)
    }

    fn stored_entries(&self, least: u8, most: u8) -> impl Iterator<Item = PeerEntry> + '_ {
        let range = (least, 0)..=(most, u32::MAX);
        self.owners.iter().enumerate().flat_map(move |(owner, entries)| {
            entries.items.range(range.clone()).filter_map(move |(key, held)| {
                Some(PeerEntry {
                    owner: owner as u16,
                    kind: key.0,
                    id: key.1,
                    incarnation: held.incarnation,
                    counter: held.counter,
                    value: held.value.clone()?,
                    set_at: held.set_at,
                    from_previous_run: held.incarnation != entries.incarnation,
                })
            })
        })
    }

    /// The members by number; this member itself is alive and complete.
    pub fn member_views(&self, now: Micros) -> impl Iterator<Item = MemberView> + '_ {
        self.members.iter().zip(&self.owners).enumerate().map(move |(i, (member, entries))| {
            let (standing, since) = member.status_since(now);
            let Member { last_alive, last_direct, last_heard_own, incarnation, .. } = *member;
            let seen = MemberView {
                standing,
                since,
                incarnation,
                last_alive,
                last_direct,
                last_heard_own,
                whole: !entries.is_incomplete(),
            };
            match i == usize::from(self.me) {
                true => MemberView {
                    standing: MemberStatus::Alive,
                    since: self.started_at,
                    incarnation: self.incarnation,
                    last_alive: Some(now),
                    last_direct: Some(now),
                    last_heard_own: Some(now),
                    whole: true,
                },
                false => seen,
            }
        })
    }

    /// A snapshot for readers on other threads. Values are shared, not copied.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        Snapshot {
            taken_at: now,
            me: self.me,
            members: self.member_views(now).collect(),
            entries: self.stored_entries(0, u8::MAX).collect(),
            superseded: self.superseded,
            counts: self.counts.clone(),
        }
    }

    /// The incarnation of this run.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// This member's number, and the number of members.
    pub fn position(&self) -> (u16, usize) {
        (self.me, self.members.len())
    }

    /// The other members that are alive.
    pub fn alive_members(&self, now: Micros) -> impl Iterator<Item = u16> + '_ {
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != usize::from(self.me));
        others.filter(move |(_, m)| m.status(now) == MemberStatus::Alive).map(|(i, _)| i as u16)
    }

    /// The counters so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// This member's heartbeat interval, which is longer in large fleets.
    pub fn beat_interval(&self) -> Micros {
        self.beat_interval
    }
}
