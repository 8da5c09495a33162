//! What is set here, and what others say, with its age and how much of the fleet it covers.

use super::membership::Member;
use super::{MemberStatus, Micros, Peers};
use std::sync::Arc;

/// What happened, in figures since the start.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Counts {
    /// Datagrams that were believed.
    pub heard: u64,
    /// Of those, how many took a second longer than the quickest lately.
    pub late: u64,
    /// Datagrams that were not believed, by [`super::Refusal::ALL`].
    pub refused: [u64; 6],
    /// Parts of believed datagrams that were not: of former lives, of no member, from the future.
    pub parts_refused: u64,
    /// Notes sent, each receiver counted.
    pub notes: u64,
    /// Bytes sent, over all receivers.
    pub bytes: u64,
    /// Beats, changes, asks, answers and words for one alone sent.
    pub sent: [u64; 5],
    /// The bytes of each of these kinds, over all receivers.
    pub sent_bytes: [u64; 5],
    /// Entries of others that were given up for want of room.
    pub given_up: u64,
    /// Asks that found no place.
    pub unanswered: u64,
}

/// What another member says.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerEntry {
    /// Who.
    pub owner: u16,
    /// Of this kind.
    pub kind: u8,
    /// Which of its kind.
    pub id: u32,
    /// In which life.
    pub incarnation: u64,
    /// With which counter of that life: the pair tells versions apart.
    pub counter: u64,
    /// The value.
    pub value: Arc<[u8]>,
    /// When it was set, on this member's clock; short by the least time that notes take on the way.
    pub set_at: Micros,
    /// That life has been followed by another that has not said anything of this yet.
    pub from_previous_run: bool,
}

/// How a member is seen.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MemberView {
    /// How it stands.
    pub standing: MemberStatus,
    /// Since when.
    pub since: Micros,
    /// Its life; 0 if nothing was ever heard.
    pub incarnation: u64,
    /// When it was alive, at least, by its own word or others'.
    pub last_alive: Option<Micros>,
    /// When it was last heard itself.
    pub last_direct: Option<Micros>,
    /// The newest word of this member's that it is known to have heard of, by whichever way, was said then. With many members
    /// it seldom says; that nobody has for several beats means that this member is not heard.
    pub last_heard_own: Option<Micros>,
    /// Nothing that it has told is lacking here.
    pub whole: bool,
}

/// All of it at one moment, for readers elsewhere.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// When it was taken_at.
    pub taken_at: Micros,
    /// The own number.
    pub me: u16,
    /// By number; the own one is here, with nothing lacking.
    pub members: Vec<MemberView>,
    /// By owner, kind and number; the own ones not.
    pub entries: Vec<PeerEntry>,
    /// Another life has taken over this member: what this one sets reaches nobody.
    pub superseded: Option<u64>,
    /// The figures.
    pub counts: Counts,
}

impl Snapshot {
    /// The share of the fleet that was alive no longer than `within` before `now`, this member included, weighed by `weight`.
    /// Danger: `now` is the reader's, so that a view that is no longer renewed covers less and less.
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

    /// When the newest word of this member's was said that any other is known to have heard of; none while nobody is.
    pub fn heard_until(&self) -> Option<Micros> {
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != usize::from(self.me));
        others.filter_map(|(_, m)| m.last_heard_own).max()
    }

    /// What others say of this kind.
    pub fn kind(&self, kind: u8) -> impl Iterator<Item = &PeerEntry> {
        self.entries.iter().filter(move |s| s.kind == kind)
    }
}

impl Peers {
    /// Says something to all: it replaces what was said with this kind and number. The lower the kind, the more urgent. False
    /// if the value is longer than [`super::codec::MAX_VALUE_BYTES`] or there are [`super::entries::MAX_ENTRIES_PER_OWNER`] others; then nothing changes.
    pub fn set(&mut self, now: Micros, kind: u8, id: u32, value: &[u8]) -> bool {
        value.len() <= super::codec::MAX_VALUE_BYTES && self.own.set(now, (kind, id), Some(value))
    }

    /// Takes back what was said.
    pub fn remove(&mut self, now: Micros, kind: u8, id: u32) {
        self.own.set(now, (kind, id), None);
    }

    /// Says something to one member alone, until it is taken_at, at the latest until then: it replaces what was said to it with this kind
    /// and number. False if the value is too long or there is no such member.
    pub fn send_to(&mut self, now: Micros, to: u16, kind: u8, id: u32, value: &[u8], until: Micros) -> bool {
        let sound = value.len() <= super::codec::MAX_VALUE_BYTES
            && to != self.me
            && usize::from(to) < self.members.len();
        if sound {
            self.private.say(now, to, kind, id, value, until);
        }
        sound
    }

    /// So many messages were handled: that is what the budget goes by.
    pub fn handled(&mut self, messages: u32) {
        self.budget.handled(messages);
    }

    /// A higher incarnation than the own one is about, or the own one with numbers that were never given: this life is silent from
    /// now on. That is right where another took over. Where this process does own the folder, its incarnation came from an older
    /// copy: claim one above this and go on with [`Peers::adopt_incarnation`].
    pub fn superseded(&self) -> Option<u64> {
        self.superseded
    }

    /// The same process goes on under a higher incarnation, and says everything anew.
    pub fn adopt_incarnation(&mut self, now: Micros, incarnation: u64) {
        if incarnation > self.incarnation {
            (self.incarnation, self.born, self.superseded) = (incarnation, now, None);
            self.own.adopt_incarnation(now, incarnation);
            self.answers.retain(|(_, owner), _| *owner != self.me);
            // What was said in the former life's turns is no answer to this one's.
            self.private = super::direct::DirectUpdates::default();
        }
    }

    /// What others say of this kind, to all or to this member alone, without a copy of the rest.
    pub fn get(&self, kind: u8) -> impl Iterator<Item = PeerEntry> + '_ {
        let alone = self.private.of(kind).map(move |(owner, id, heard)| PeerEntry {
            owner,
            kind,
            id,
            incarnation: heard.incarnation,
            counter: heard.turn,
            value: heard.value.clone(),
            set_at: heard.set_at,
            from_previous_run: heard.incarnation != self.shelves[usize::from(owner)].incarnation,
        });
        self.said(kind, kind).chain(alone)
    }

    fn said(&self, least: u8, most: u8) -> impl Iterator<Item = PeerEntry> + '_ {
        let range = (least, 0)..=(most, u32::MAX);
        self.shelves.iter().enumerate().flat_map(move |(owner, shelf)| {
            shelf.items.range(range.clone()).filter_map(move |(key, held)| {
                Some(PeerEntry {
                    owner: owner as u16,
                    kind: key.0,
                    id: key.1,
                    incarnation: held.incarnation,
                    counter: held.counter,
                    value: held.value.clone()?,
                    set_at: held.set_at,
                    from_previous_run: held.incarnation != shelf.incarnation,
                })
            })
        })
    }

    /// How each member is seen, by number; the own one is here, with nothing lacking.
    pub fn member_views(&self, now: Micros) -> impl Iterator<Item = MemberView> + '_ {
        self.members.iter().zip(&self.shelves).enumerate().map(move |(i, (member, shelf))| {
            let (standing, since) = member.status_since(now);
            let Member { last_alive, last_direct, last_heard_own, incarnation, .. } = *member;
            let seen = MemberView {
                standing,
                since,
                incarnation,
                last_alive,
                last_direct,
                last_heard_own,
                whole: !shelf.lacks(),
            };
            match i == usize::from(self.me) {
                true => MemberView {
                    standing: MemberStatus::Alive,
                    since: self.born,
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

    /// All of it, for readers elsewhere. Values are shared, not copied.
    pub fn snapshot(&self, now: Micros) -> Snapshot {
        Snapshot {
            taken_at: now,
            me: self.me,
            members: self.member_views(now).collect(),
            entries: self.said(0, u8::MAX).collect(),
            superseded: self.superseded,
            counts: self.counts.clone(),
        }
    }

    /// The own life.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// The own number, and how many members there are.
    pub fn position(&self) -> (u16, usize) {
        (self.me, self.members.len())
    }

    /// The others that are here.
    pub fn alive_members(&self, now: Micros) -> impl Iterator<Item = u16> + '_ {
        let others = self.members.iter().enumerate().filter(|(i, _)| *i != usize::from(self.me));
        others.filter(move |(_, m)| m.status(now) == MemberStatus::Alive).map(|(i, _)| i as u16)
    }

    /// The figures so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// How often this member says that it is there: longer with many members.
    pub fn beat_interval(&self) -> Micros {
        self.beat
    }
}
