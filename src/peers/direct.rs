//! Direct updates for one member alone: the newest by receiver, kind and id is retransmitted until it is
//! acknowledged or expires. `docs/design/peers.md` gives the reasons for the design.
//!
//! **Bounds.** At most [`MAX_OUTGOING`] updates to send and [`MAX_RECEIVED`] received ones, of which the
//! oldest is dropped first, and [`MAX_PENDING_ACKS`] pending acknowledgements; an update beyond that is
//! acknowledged when it is retransmitted.

use super::codec::{encoded_len, DirectAck, DirectPayload, DirectUpdate};
use super::{MAX_RETRY_DELAY, RETRY_DELAY};
use crate::api::Micros;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Most updates to send.
pub const MAX_OUTGOING: usize = 256;
/// Most received updates.
pub const MAX_RECEIVED: usize = 1_024;
/// Most pending acknowledgements.
pub const MAX_PENDING_ACKS: usize = 256;
/// Updates that are issued within this time are sent together.
const BATCH_DELAY: Micros = Micros(10_000);
/// A sequence number from here on is rejected: no run issues so many updates.
const MAX_TURN: u64 = 1 << 48;

type Key = (u16, u8, u32);

/// An update to send.
#[derive(Debug, Clone, PartialEq)]
struct OutgoingUpdate {
    turn: u64,
    value: Arc<[u8]>,
    set_at: Micros,
    due: Micros,
    wait: Micros,
    until: Micros,
}

/// A received update.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedUpdate {
    /// The incarnation of the run that sent it.
    pub incarnation: u64,
    /// Its sequence number in that run.
    pub turn: u64,
    /// Its content.
    pub value: Arc<[u8]>,
    /// When it was issued, on this member's clock.
    pub set_at: Micros,
}

/// The direct updates that one process run sends and receives.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DirectUpdates {
    out: BTreeMap<Key, OutgoingUpdate>,
    heard: BTreeMap<Key, ReceivedUpdate>,
    /// Received updates that are to be acknowledged, with their sequence numbers.
    owed: BTreeMap<Key, u64>,
    turn: u64,
    /// The member that was sent to last, for round-robin.
    last: u16,
}

impl DirectUpdates {
    /// Sends an update to `to` until it is acknowledged, at most until `until`. It replaces the one with this
    /// kind and id.
    pub fn say(&mut self, now: Micros, to: u16, kind: u8, id: u32, value: &[u8], until: Micros) {
        self.turn += 1;
        if self.out.len() >= MAX_OUTGOING && !self.out.contains_key(&(to, kind, id)) {
            let oldest = self.out.iter().min_by_key(|(_, o)| o.turn).map(|(key, _)| *key);
            oldest.and_then(|key| self.out.remove(&key));
        }
        let due = now + BATCH_DELAY;
        let value = Arc::from(value);
        self.out.insert(
            (to, kind, id),
            OutgoingUpdate { turn: self.turn, value, set_at: now, due, wait: RETRY_DELAY, until },
        );
    }

    /// Takes in the payload of a message from this run of `from`; `late` is how much longer it took than the
    /// fastest. Returns how many of its updates have sequence numbers out of range.
    pub fn heard(
        &mut self, now: Micros, from: u16, incarnation: u64, late: Micros, private: &DirectPayload,
    ) -> u64 {
        // An unreachable sequence number would stay above all later ones.
        let sound = |word: &&DirectUpdate| word.turn < MAX_TURN;
        for word in private.words.iter().filter(sound) {
            let key = (from, word.kind, word.id);
            let version = (incarnation, word.turn);
            let known = self.heard.get(&key).map(|h| (h.incarnation, h.turn));
            if known.is_none_or(|known| known < version) {
                let set_at = now - late - Micros(u64::from(word.age) * 1_000);
                if self.heard.len() >= MAX_RECEIVED && known.is_none() {
                    let oldest = self.heard.iter().min_by_key(|(_, h)| h.set_at).map(|(key, _)| *key);
                    oldest.and_then(|key| self.heard.remove(&key));
                }
                let value = Arc::from(word.value.as_slice());
                self.heard.insert(key, ReceivedUpdate { incarnation, turn: word.turn, value, set_at });
            }
            // Duplicates are acknowledged too, as the first acknowledgement may be lost. The newest known one
            // covers all before it.
            if self.owed.len() < MAX_PENDING_ACKS || self.owed.contains_key(&key) {
                let newest = known.filter(|k| k.0 == incarnation).map_or(word.turn, |k| k.1.max(word.turn));
                self.owed.insert(key, newest);
            }
        }
        for DirectAck { kind, id, turn } in &private.taken {
            // The acknowledgement of an older update does not cover the one that replaced it.
            if self.out.get(&(from, *kind, *id)).is_some_and(|out| out.turn <= *turn) {
                self.out.remove(&(from, *kind, *id));
            }
        }
        private.words.iter().filter(|word| !sound(word)).count() as u64
    }

    /// Member `of` started a new run: acknowledgements for the previous run are dropped, and updates are sent
    /// to the new run at once. What the previous run sent stays valid until it is replaced.
    pub fn renewed(&mut self, now: Micros, of: u16) {
        self.owed.retain(|key, _| key.0 != of);
        for (_, out) in self.out.range_mut((of, 0, 0)..=(of, u8::MAX, u32::MAX)) {
            (out.due, out.wait) = (now, RETRY_DELAY);
        }
    }

    /// Keeps only the members that `there` accepts.
    pub fn retain(&mut self, there: impl Fn(u16) -> bool) {
        self.out.retain(|key, _| there(key.0));
        self.heard.retain(|key, _| there(key.0));
        self.owed.retain(|key, _| there(key.0));
    }

    /// Received updates of this kind, by sender and id.
    pub fn of(&self, kind: u8) -> impl Iterator<Item = (u16, u32, &ReceivedUpdate)> {
        self.heard.iter().filter(move |(key, _)| key.1 == kind).map(|(key, heard)| (key.0, key.2, heard))
    }

    /// When something is to be sent next.
    pub fn due(&self) -> Option<Micros> {
        let owed = (!self.owed.is_empty()).then_some(Micros(0));
        self.out.values().map(|out| out.due.min(out.until)).min().into_iter().chain(owed).min()
    }

    /// The next member to send to, of those that `there` says are reachable. Expired updates are dropped;
    /// those for unreachable members wait.
    pub fn next(&mut self, now: Micros, there: impl Fn(u16) -> bool) -> Option<u16> {
        self.out.retain(|_, out| now < out.until);
        self.owed.retain(|key, _| there(key.0));
        let away = self.out.iter_mut().filter(|(key, out)| out.due <= now && !there(key.0));
        away.for_each(|(_, out)| out.due = now + MAX_RETRY_DELAY);
        let due = self.out.iter().filter(|(_, out)| out.due <= now).map(|(key, _)| key.0);
        let all = || due.clone().chain(self.owed.keys().map(|key| key.0));
        let next = all().filter(|to| *to > self.last).min().or_else(|| all().min())?;
        self.last = next;
        Some(next)
    }

    /// What is sent now to run `to_life` of `to`, up to `room` bytes; `spread` from 0 to 1 varies the time
    /// until it is retransmitted.
    pub fn speak(
        &mut self, now: Micros, to: u16, to_life: u64, room: usize, spread: f64,
    ) -> Option<DirectPayload> {
        let mut private = DirectPayload { to_life, ..DirectPayload::default() };
        // The lengths of the two lists may grow from one byte to two each.
        let mut left = room.checked_sub(encoded_len(&private) + 2)?;
        let range = (to, 0, 0)..=(to, u8::MAX, u32::MAX);
        let owed: Vec<_> = self.owed.range(range.clone()).map(|(key, turn)| (*key, *turn)).collect();
        for (key, turn) in owed {
            let taken = DirectAck { kind: key.1, id: key.2, turn };
            let Some(rest) = left.checked_sub(encoded_len(&taken)) else { break };
            left = rest;
            self.owed.remove(&key);
            private.taken.push(taken);
        }
        for (key, out) in self.out.range_mut(range).filter(|(_, out)| out.due <= now) {
            let age = ((now - out.set_at).0 / 1_000).min(u64::from(u32::MAX)) as u32;
            let word =
                DirectUpdate { kind: key.1, id: key.2, turn: out.turn, age, value: out.value.to_vec() };
            let Some(rest) = left.checked_sub(encoded_len(&word)) else { continue };
            left = rest;
            out.due = now + out.wait.scale(0.75 + 0.5 * spread);
            out.wait = (out.wait + out.wait).min(MAX_RETRY_DELAY);
            private.words.push(word);
        }
        (!private.words.is_empty() || !private.taken.is_empty()).then_some(private)
    }
}
