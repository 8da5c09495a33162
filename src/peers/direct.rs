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
    retry_delay: Micros,
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
    outgoing: BTreeMap<Key, OutgoingUpdate>,
    received: BTreeMap<Key, ReceivedUpdate>,
    /// Received updates that are to be acknowledged, with their sequence numbers.
    pending_acks: BTreeMap<Key, u64>,
    last_turn: u64,
    /// The member that was sent to last, for round-robin.
    last_recipient: u16,
}

impl DirectUpdates {
    /// Sends an update to `to` until it is acknowledged, at most until `until`. It replaces the one with this
    /// kind and id.
    pub fn send(&mut self, now: Micros, to: u16, kind: u8, id: u32, value: &[u8], until: Micros) {
        self.last_turn += 1;
        if self.outgoing.len() >= MAX_OUTGOING && !self.outgoing.contains_key(&(to, kind, id)) {
            let oldest = self.outgoing.iter().min_by_key(|(_, o)| o.turn).map(|(key, _)| *key);
            oldest.and_then(|key| self.outgoing.remove(&key));
        }
        let due = now + BATCH_DELAY;
        let value = Arc::from(value);
        self.outgoing.insert(
            (to, kind, id),
            OutgoingUpdate { turn: self.last_turn, value, set_at: now, due, retry_delay: RETRY_DELAY, until },
        );
    }

    /// Takes in the payload of a message from this run of `from`; `late` is how much longer it took than the
    /// fastest. Returns how many of its updates have sequence numbers out of range.
    pub fn receive(
        &mut self, now: Micros, from: u16, incarnation: u64, late: Micros, payload: &DirectPayload,
    ) -> u64 {
        // An unreachable sequence number would stay above all later ones.
        let in_range = |update: &&DirectUpdate| update.turn < MAX_TURN;
        for update in payload.words.iter().filter(in_range) {
            let key = (from, update.kind, update.id);
            let version = (incarnation, update.turn);
            let known = self.received.get(&key).map(|h| (h.incarnation, h.turn));
            if known.is_none_or(|known| known < version) {
                let set_at = now - late - Micros(u64::from(update.age) * 1_000);
                if self.received.len() >= MAX_RECEIVED && known.is_none() {
                    let oldest = self.received.iter().min_by_key(|(_, h)| h.set_at).map(|(key, _)| *key);
                    oldest.and_then(|key| self.received.remove(&key));
                }
                let value = Arc::from(update.value.as_slice());
                self.received.insert(key, ReceivedUpdate { incarnation, turn: update.turn, value, set_at });
            }
            // Duplicates are acknowledged too, as the first acknowledgement may be lost. The newest known one
            // covers all before it.
            if self.pending_acks.len() < MAX_PENDING_ACKS || self.pending_acks.contains_key(&key) {
                let newest =
                    known.filter(|k| k.0 == incarnation).map_or(update.turn, |k| k.1.max(update.turn));
                self.pending_acks.insert(key, newest);
            }
        }
        for DirectAck { kind, id, turn } in &payload.taken {
            // The acknowledgement of an older update does not cover the one that replaced it.
            if self.outgoing.get(&(from, *kind, *id)).is_some_and(|out| out.turn <= *turn) {
                self.outgoing.remove(&(from, *kind, *id));
            }
        }
        payload.words.iter().filter(|update| !in_range(update)).count() as u64
    }

    /// Member `of` started a new run: acknowledgements for the previous run are dropped, and updates are sent
    /// to the new run at once. What the previous run sent stays valid until it is replaced.
    pub fn peer_restarted(&mut self, now: Micros, of: u16) {
        self.pending_acks.retain(|key, _| key.0 != of);
        for (_, out) in self.outgoing.range_mut((of, 0, 0)..=(of, u8::MAX, u32::MAX)) {
            (out.due, out.retry_delay) = (now, RETRY_DELAY);
        }
    }

    /// Keeps only the members that `exists` accepts.
    pub fn retain(&mut self, exists: impl Fn(u16) -> bool) {
        self.outgoing.retain(|key, _| exists(key.0));
        self.received.retain(|key, _| exists(key.0));
        self.pending_acks.retain(|key, _| exists(key.0));
    }

    /// Received updates of this kind, by sender and id.
    pub fn of_kind(&self, kind: u8) -> impl Iterator<Item = (u16, u32, &ReceivedUpdate)> {
        self.received
            .iter()
            .filter(move |(key, _)| key.1 == kind)
            .map(|(key, received)| (key.0, key.2, received))
    }

    /// When something is to be sent next.
    pub fn due(&self) -> Option<Micros> {
        let ack_due = (!self.pending_acks.is_empty()).then_some(Micros(0));
        self.outgoing.values().map(|out| out.due.min(out.until)).min().into_iter().chain(ack_due).min()
    }

    /// The next member to send to, of those that `reachable` says are reachable. Expired updates are dropped;
    /// those for unreachable members wait.
    pub fn next_recipient(&mut self, now: Micros, reachable: impl Fn(u16) -> bool) -> Option<u16> {
        self.outgoing.retain(|_, out| now < out.until);
        self.pending_acks.retain(|key, _| reachable(key.0));
        let unreachable = self.outgoing.iter_mut().filter(|(key, out)| out.due <= now && !reachable(key.0));
        unreachable.for_each(|(_, out)| out.due = now + MAX_RETRY_DELAY);
        let due = self.outgoing.iter().filter(|(_, out)| out.due <= now).map(|(key, _)| key.0);
        let all = || due.clone().chain(self.pending_acks.keys().map(|key| key.0));
        let next = all().filter(|to| *to > self.last_recipient).min().or_else(|| all().min())?;
        self.last_recipient = next;
        Some(next)
    }

    /// What is sent now to run `incarnation` of `to`, up to `room` bytes; `spread` from 0 to 1 varies the time
    /// until it is retransmitted.
    pub fn build_payload(
        &mut self, now: Micros, to: u16, incarnation: u64, room: usize, spread: f64,
    ) -> Option<DirectPayload> {
        let mut payload = DirectPayload { to_life: incarnation, ..DirectPayload::default() };
        // The lengths of the two lists may grow from one byte to two each.
        let mut left = room.checked_sub(encoded_len(&payload) + 2)?;
        let range = (to, 0, 0)..=(to, u8::MAX, u32::MAX);
        let acks: Vec<_> = self.pending_acks.range(range.clone()).map(|(key, turn)| (*key, *turn)).collect();
        for (key, turn) in acks {
            let ack = DirectAck { kind: key.1, id: key.2, turn };
            let Some(rest) = left.checked_sub(encoded_len(&ack)) else { break };
            left = rest;
            self.pending_acks.remove(&key);
            payload.taken.push(ack);
        }
        for (key, out) in self.outgoing.range_mut(range).filter(|(_, out)| out.due <= now) {
            let age = ((now - out.set_at).0 / 1_000).min(u64::from(u32::MAX)) as u32;
            let update =
                DirectUpdate { kind: key.1, id: key.2, turn: out.turn, age, value: out.value.to_vec() };
            let Some(rest) = left.checked_sub(encoded_len(&update)) else { continue };
            left = rest;
            out.due = now + out.retry_delay.scale(0.75 + 0.5 * spread);
            out.retry_delay = (out.retry_delay + out.retry_delay).min(MAX_RETRY_DELAY);
            payload.words.push(update);
        }
        (!payload.words.is_empty() || !payload.taken.is_empty()).then_some(payload)
    }
}
