//! Orders to send again on the ground that couriers share: everybody says those that it knows, with how far its own part is. A line
//! is said once it is written, and others' lines are said back once they are.

use super::given::{Part, Told};
use super::keeper::Keeper;
use super::orders::{Known, Orders, NAMED};
use super::rider::Held;
use super::said::{self, BACKS, GROUP, LINE, NOT, ORDER, WORDS};
use super::store::to_bytes;
use crate::api::Micros;
use crate::peers::payload::{kinds, GossipPayload, PublishedEntries};
use crate::peers::{PeerEntry, Peers};
use std::collections::BTreeMap;

/// It looks no more often than this: notes come in by the hundreds.
const LOOK: Micros = Micros(100_000);
/// And no more seldom.
const AGAIN: Micros = Micros(250_000);
/// Progress alone is said no more often.
const PROGRESS: Micros = Micros(1_000_000);

/// The rider.
pub struct Replaying<H: Held> {
    held: H,
    talk: Talk,
}

/// What is heard and said.
struct Talk {
    me: u16,
    looked: Micros,
    /// Versions of others' entries that were taken in, by owner and number.
    heard: BTreeMap<(u16, u32), (u64, u64, bool)>,
    /// What this courier says.
    speech: PublishedEntries,
}

impl<H: Held> Replaying<H> {
    /// For the member of this number.
    pub fn new(held: H, me: u16) -> Replaying<H> {
        let (looked, heard) = Default::default();
        Replaying { held, talk: Talk { me, looked, heard, speech: PublishedEntries::new(kinds::REPLAY) } }
    }
}

impl Talk {
    fn round(&mut self, now: Micros, peers: &Peers, keeper: &mut Keeper) -> BTreeMap<u32, Vec<u8>> {
        // Danger: before the entries are read. Whoever was heard by now had all its entries here by now.
        let fresh = keeper.hearing.fresh(now);
        let Some((history, _)) = keeper.both() else { return BTreeMap::new() };
        let is_new = |s: &PeerEntry| {
            s.owner != self.me
                && self.heard.get(&(s.owner, s.id)) != Some(&(s.incarnation, s.counter, s.from_previous_run))
        };
        let mut new: Vec<PeerEntry> = peers.get(kinds::REPLAY).filter(is_new).collect();
        // Orders first: the rest is of those that are known.
        new.sort_by_key(|s| said::which(s.id).1);
        let me = self.me;
        let taken = history.change(|orders| {
            let done = new.iter().filter(|s| hear(now, me, orders, s));
            done.map(|s| ((s.owner, s.id), (s.incarnation, s.counter, s.from_previous_run)))
                .collect::<Vec<_>>()
        });
        // What could not be written is tried again.
        if let Ok(taken) = taken {
            history.orders_mut().learnt |= fresh;
            self.heard.extend(taken);
        }
        if !new.is_empty() {
            let names: Vec<u64> = history.orders().known.keys().map(|id| id & NAMED).collect();
            self.heard.retain(|(_, entry), _| names.contains(&said::which(*entry).0));
        }
        let mut says = BTreeMap::new();
        for (id, known) in &history.orders().known {
            self.say(now, *id, known, history.orders(), &mut says);
        }
        says
    }

    fn say(&self, now: Micros, id: u64, known: &Known, orders: &Orders, says: &mut BTreeMap<u32, Vec<u8>>) {
        let mut put_in = |which: u32, value: Vec<u8>| says.extend(said::entry(id, which).map(|e| (e, value)));
        let given = &known.row.given;
        let all = said::encode(given, &known.part);
        let old = said::entry(id, ORDER).and_then(|e| self.speech.value(e));
        // Progress alone can wait.
        let waits = old.filter(|(old, at)| {
            let same =
                said::decode(old).is_some_and(|(g, p)| p.phase == known.part.phase && g.flags_as(given));
            same && now < *at + PROGRESS
        });
        put_in(ORDER, waits.map_or(all, |(old, _)| old.to_vec()));
        if !known.part.not.is_empty() {
            put_in(NOT, said::encode_not(&known.part.not));
        }
        if known.row.here && !given.order.reason.is_empty() {
            put_in(WORDS, said::words(&given.order.reason).as_bytes().to_vec());
        }
        if orders.others > 0 && given.order.lost && known.row.line > 0 {
            put_in(LINE, to_bytes(&known.row.line));
        }
        for group in known.row.kept.keys().map(|member| member / GROUP) {
            put_in(BACKS + u32::from(group), said::encode_backs(group, &known.row.kept));
        }
    }
}

/// Takes in one entry of another; whether it is done with it.
fn hear(now: Micros, me: u16, orders: &mut Orders, s: &PeerEntry) -> bool {
    let (name, which) = said::which(s.id);
    if which == ORDER {
        let Some((given, part)) = said::decode(&s.value) else { return true };
        if given.order.id() & NAMED != name {
            return true;
        }
        let Ok(id) = orders.hear(now, &given) else { return false };
        let Some(known) = orders.known.get_mut(&id) else { return false };
        let not = known.told.get(&s.owner).map_or_else(BTreeMap::new, |t| t.part.not.clone());
        let part = Part { not, ..part };
        known.told.insert(s.owner, Told { part, at: s.set_at, former: s.from_previous_run });
        return true;
    }
    let Some(id) = orders.named(name) else { return false };
    match which {
        NOT => {
            let told = orders.known.get_mut(&id).and_then(|known| known.told.get_mut(&s.owner));
            let Some(told) = told else { return false };
            told.part.not = said::decode_not(&s.value).unwrap_or_default();
        }
        WORDS => {
            let text = std::str::from_utf8(&s.value).unwrap_or_default();
            let Some(known) = orders.known.get_mut(&id) else { return false };
            let order = &mut known.row.given.order;
            let plain = !text.chars().any(char::is_control) && text.len() > order.reason.len();
            if plain && !order.worded() {
                order.reason = text.to_owned();
            }
        }
        LINE => {
            let line = postcard::from_bytes(&s.value).ok();
            line.into_iter().for_each(|line| orders.keep(id, s.owner, line));
        }
        _ => {
            let line = said::decode_back((which - BACKS) as u16, &s.value, me);
            line.into_iter().for_each(|line| orders.back(id, s.owner, line));
        }
    }
    true
}

impl<H: Held> GossipPayload for Replaying<H> {
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros {
        let Replaying { held, talk } = self;
        if now < talk.looked + LOOK {
            return talk.looked + LOOK;
        }
        talk.looked = now;
        let mut says = BTreeMap::new();
        if !held.with(&mut |keeper| says = talk.round(now, peers, keeper)) {
            // What was said stands.
            return now + LOOK;
        }
        talk.speech.publish(now, peers, says);
        now + AGAIN
    }

    fn figures(&self, _: Micros) -> serde_json::Value {
        let mut out = serde_json::Value::Null;
        let free = self.held.with(&mut |keeper| {
            let Some(history) = keeper.history() else { return };
            let row = |(id, k): (&u64, &Known)| {
                let parts: BTreeMap<String, &str> =
                    k.told.iter().map(|(owner, told)| (owner.to_string(), told.part.phase.name())).collect();
                serde_json::json!({"order": format!("{id:016x}"), "here": k.part.phase.name(), "others": parts})
            };
            let rows: Vec<_> = history.orders().known.iter().map(row).collect();
            out = serde_json::json!({"orders": rows, "learnt": history.orders().learnt});
        });
        match free {
            true => out,
            false => serde_json::json!({"busy": true}),
        }
    }
}
