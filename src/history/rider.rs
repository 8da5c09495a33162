//! Retention on the ground that couriers share: facts of the book spread, each says the digest of what it honours, and whoever
//! has heard this life's word and has the same digest is heard.

use super::keeper::{Keeper, Other};
use super::retention::{decode, encode, Entry, Scope};
use super::store::to_bytes;
use crate::api::Micros;
use crate::peers::payload::{kinds, GossipPayload, PublishedEntries};
use crate::peers::{MemberStatus, Peers};
use std::collections::{BTreeMap, VecDeque};

/// The number of the entry with the digest.
const DIGEST: u32 = 0;
/// Numbers of facts.
const FACTS: u32 = 100;
/// Facts of one courier that stand at a time.
const SLOTS: usize = 16;
/// Of these, so many are for what was given here last, where the book is larger.
const NEWEST: usize = 8;
const OTHERS: usize = SLOTS - NEWEST;
/// Numbers of what is said by tenant, and of how many.
const TENANTS: u32 = 1_000;
const TENANTS_MOST: usize = 24;
/// It looks no more often than this: notes come in by the hundreds.
const LOOK: Micros = Micros(100_000);
/// And no more seldom.
const AGAIN: Micros = Micros(500_000);
/// What is held is told again no sooner, unless the book has changed.
const HELD: Micros = Micros(10_000_000);
/// The next facts of a book that is larger than its slots come after so long; after up to so much longer while others' digests
/// stay as they are.
const TURN: Micros = Micros(6_000_000);
const TURN_MOST: Micros = Micros(60_000_000);
/// Beats that a courier may be silent before it is unheard.
const BEATS: f64 = 4.0;

/// Where the history is kept.
pub trait Held: Send {
    /// Does this with it, unless it is off or another process has it; `false`: its file is at work, come again.
    fn with(&self, by: &mut dyn FnMut(&mut Keeper)) -> bool;
}

/// The rider.
pub struct Retention<H: Held> {
    held: H,
    talk: Talk,
}

/// What is heard and said.
struct Talk {
    me: u16,
    looked: Micros,
    told: Micros,
    /// Versions of others' facts that were taken in, by owner and number.
    facts: BTreeMap<(u16, u32), (u64, u64)>,
    /// The book as it was after the last round, by its digest, and what was given here since, the newest last.
    known: (u64, BTreeMap<Scope, Entry>),
    newest: VecDeque<Scope>,
    /// What this courier says.
    speech: PublishedEntries,
    /// The turn of a large book: where, when it began, how long it takes, and the digests that stood then.
    turn: (usize, Micros, Micros, u64),
}

impl<H: Held> Retention<H> {
    /// For the member of this number.
    pub fn new(held: H, me: u16) -> Retention<H> {
        let (looked, told, facts, known, newest) = Default::default();
        let (speech, turn) = (PublishedEntries::new(kinds::RETENTION), (0, Micros(0), TURN, 0));
        let talk = Talk { me, looked, told, facts, known, newest, speech, turn };
        Retention { held, talk }
    }
}

impl Talk {
    fn round(&mut self, now: Micros, peers: &Peers, keeper: &mut Keeper) -> BTreeMap<u32, Vec<u8>> {
        self.given_here(keeper);
        self.hear(now, peers, keeper);
        if let Some(book) = keeper.history().map(|h| h.book()).filter(|b| b.digest() != self.known.0) {
            self.known = (book.digest(), book.entries().clone());
        }
        let mine = keeper.history().filter(|h| h.settled()).map(|h| h.book().digest());
        let differ = self.others(now, peers, keeper, mine);
        self.says(now, keeper, differ)
    }

    /// What operators have given here since the last round goes first.
    fn given_here(&mut self, keeper: &Keeper) {
        let Some(book) = keeper.history().map(|h| h.book()) else { return };
        if self.known.1.is_empty() || book.digest() == self.known.0 {
            return;
        }
        for (scope, _) in book.entries().iter().filter(|(s, e)| self.known.1.get(s) != Some(e)) {
            self.newest.retain(|s| s != scope);
            self.newest.push_back(*scope);
        }
        while self.newest.len() > NEWEST {
            self.newest.pop_front();
        }
    }

    /// Facts of others that were not taken in yet.
    fn hear(&mut self, now: Micros, peers: &Peers, keeper: &mut Keeper) {
        let mut new = Vec::new();
        for said in peers.get(kinds::RETENTION) {
            let slot = said.id.checked_sub(FACTS).is_some_and(|slot| slot < SLOTS as u32);
            let version = (said.incarnation, said.counter);
            if !slot || said.owner == self.me || self.facts.get(&(said.owner, said.id)) == Some(&version) {
                continue;
            }
            new.extend(decode(&said.value).map(|fact| ((said.owner, said.id), version, fact)));
        }
        let facts: Vec<_> = new.iter().map(|(_, _, fact)| *fact).collect();
        // What could not be written is tried again by the keeper.
        if !facts.is_empty() && keeper.history().is_some() {
            keeper.apply(now, &facts);
            self.facts.extend(new.into_iter().map(|(key, version, _)| (key, version)));
        }
    }

    /// Who stands where, and who was heard. Digests of others that differ, as one number.
    fn others(&mut self, now: Micros, peers: &Peers, keeper: &mut Keeper, mine: Option<u64>) -> u64 {
        let mut others: BTreeMap<u64, Other> = BTreeMap::new();
        let seen: Vec<_> = peers.member_views(now).collect();
        let mut digests: BTreeMap<u16, u64> = BTreeMap::new();
        for said in peers.get(kinds::RETENTION).filter(|s| s.owner != self.me) {
            let other = others.entry(u64::from(said.owner)).or_default();
            if said.id == DIGEST {
                let now_living = seen.get(usize::from(said.owner)).is_some_and(|s| {
                    // Danger: a former life may have had a newer folder than the one that lives.
                    s.incarnation == said.incarnation && !said.from_previous_run
                });
                let digest = postcard::from_bytes::<u64>(&said.value).ok().filter(|_| now_living);
                digests.extend(digest.map(|d| (said.owner, d)));
            } else if let Some(tenant) = said.id.checked_sub(TENANTS).and_then(|t| u16::try_from(t).ok()) {
                let told = postcard::from_bytes(&said.value).ok();
                other.tenants.extend(told.map(|told| (tenant, told)));
            }
        }
        let mut differ = 0_u64;
        for (node, seen) in seen.iter().enumerate().filter(|(n, _)| *n != usize::from(self.me)) {
            let other = others.entry(node as u64).or_default();
            other.alive = seen.last_alive;
            let digest = digests.get(&(node as u16)).copied();
            other.digest = digest;
            match seen.last_heard_own {
                // Danger: only with nothing lacking is its digest as young as its echo.
                Some(at) if mine.is_some() && digest == mine && seen.whole => {
                    keeper.hearing.heard(node as u64, at)
                }
                _ => {}
            }
            let differs = digest.filter(|d| Some(*d) != mine && seen.standing != MemberStatus::Down);
            differ = differ.wrapping_mul(31).wrapping_add(differs.unwrap_or(0));
        }
        keeper.others = others;
        keeper.me = u64::from(self.me);
        keeper.lately = peers.beat_interval().scale(BEATS);
        differ
    }

    /// What this courier says from now on.
    fn says(&mut self, now: Micros, keeper: &Keeper, differ: u64) -> BTreeMap<u32, Vec<u8>> {
        let mut out = BTreeMap::new();
        let Some(history) = keeper.history() else { return out };
        let settled = history.settled();
        if settled {
            out.insert(DIGEST, to_bytes(&history.book().digest()));
        }
        let entries = history.book().entries();
        self.next_turn(now, entries.len(), differ);
        let mut put_fact = |slot: usize, scope: &Scope, entry: &Entry| {
            out.insert(FACTS + slot as u32, encode(*scope, *entry));
        };
        if entries.len() <= SLOTS {
            entries.iter().enumerate().for_each(|(slot, (scope, entry))| put_fact(slot, scope, entry));
        } else {
            let newest = self.newest.iter().filter_map(|s| entries.get_key_value(s));
            newest.enumerate().for_each(|(slot, (scope, entry))| put_fact(slot, scope, entry));
            let part = entries.iter().skip(self.turn.0 % turns(entries.len()) * OTHERS).take(OTHERS);
            part.enumerate().for_each(|(slot, (scope, entry))| put_fact(NEWEST + slot, scope, entry));
        }
        let same = self.speech.value(DIGEST).map(|(value, _)| value) == out.get(&DIGEST).map(Vec::as_slice);
        if settled && same && now < self.told + HELD {
            out.extend(self.speech.from(TENANTS).map(|(id, value)| (id, value.to_vec())));
            return out;
        }
        self.told = now;
        for tenant in history.tenants().into_iter().take(TENANTS_MOST) {
            let Some(told) = history.told(now, 0, tenant) else { continue };
            let oldest = told.oldest.map(|at| (at.0 / 1_000_000) as u32);
            out.insert(TENANTS + u32::from(tenant), to_bytes(&(told.version, told.forgot, oldest)));
        }
        out
    }

    /// A large book goes by turns while somebody's differs.
    fn next_turn(&mut self, now: Micros, entries: usize, differ: u64) {
        let (at, began, lasts, stood) = self.turn;
        if entries <= SLOTS || differ == 0 {
            self.turn = (at, now, TURN, differ);
        } else if differ != stood {
            self.turn = (at, began, TURN, differ);
        } else if now >= began + lasts {
            let whole = (at + 1) % turns(entries) == 0;
            let lasts = if whole { lasts.scale(2.0).min(TURN_MOST) } else { lasts };
            self.turn = (at + 1, now, lasts, differ);
        }
    }
}

fn turns(entries: usize) -> usize {
    entries.div_ceil(OTHERS).max(1)
}

impl<H: Held> GossipPayload for Retention<H> {
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros {
        let Retention { held, talk } = self;
        if now < talk.looked + LOOK {
            return talk.looked + LOOK;
        }
        talk.looked = now;
        let mut says = BTreeMap::new();
        if !held.with(&mut |keeper| says = talk.round(now, peers, keeper)) {
            return now + LOOK;
        }
        talk.speech.publish(now, peers, says);
        now + AGAIN
    }

    fn figures(&self, now: Micros) -> serde_json::Value {
        let mut out = serde_json::Value::Null;
        let free = self.held.with(&mut |keeper| {
            let rows = keeper.overview(now).into_iter().map(|h| {
                let unheard: BTreeMap<String, Option<u64>> = h
                    .unheard
                    .iter()
                    .map(|(node, since)| {
                        (node.to_string(), since.map(|at| now.0.saturating_sub(at.0) / 1_000))
                    })
                    .collect();
                serde_json::json!({
                    "tenant": h.tenant, "version": h.version, "honoured_by": h.by, "not_by": h.not_by,
                    "unheard_ms": unheard, "in_force": h.in_force,
                })
            });
            let heard = keeper.hearing.since().map(|at| now.0.saturating_sub(at.0) / 1_000);
            out = serde_json::json!({
                "informed": keeper.hearing.informed(), "fresh": keeper.hearing.fresh(now), "heard_ms": heard,
                "tenants": rows.collect::<Vec<_>>(),
            });
        });
        match free {
            true => out,
            false => serde_json::json!({"busy": true}),
        }
    }
}
