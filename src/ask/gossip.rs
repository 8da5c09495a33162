//! What a courier shares with the others by gossip: its learnt latencies, one entry for each kind of question, and how much it
//! holds, from which weights follow. [`AskGossip`] runs on the control thread, questions on a thread of their own; they
//! exchange data through [`SharedState`], whose lock is held only to copy.

use super::{CourierId, Kind, LatencyModel, Presence, ENTRY_BYTES};
use crate::api::Micros;
use crate::peers::payload::{kinds, GossipPayload};
use crate::peers::{MemberStatus, Peers};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Interval at which received entries are read, own ones are published and presence is updated.
const INTERVAL: Micros = Micros(2_000_000);
/// Presence that has not been updated for this long is ignored.
const PRESENCE_MAX_AGE: Micros = Micros(10_000_000);
/// The held quantity is published again when it has changed by this fraction.
const MIN_CHANGE: f64 = 0.25;
/// Entries to be merged by the questions' thread: incarnation, version and bytes of the newest one of each author and kind.
type Inbox = BTreeMap<(u16, Kind), (u64, u64, Vec<u8>)>;

#[derive(Default)]
struct Inner {
    own: BTreeMap<Kind, [u8; ENTRY_BYTES]>,
    inbox: Inbox,
    presence: Vec<Presence>,
    presence_at: Micros,
    weights: BTreeMap<u16, f64>,
}

/// Shared between the control thread and the questions' thread. Its size is bounded by the number of members and of kinds.
#[derive(Clone, Default)]
pub struct SharedState(Arc<Mutex<Inner>>);

impl SharedState {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts out the own measurements for publication, and merges those received from others.
    pub fn exchange(&self, now: Micros, latency: &mut LatencyModel) {
        let own =
            Kind::ALL.into_iter().filter_map(|(_, kind)| Some((kind, latency.encode_entry(now, kind)?)));
        let own = own.collect();
        let inbox = {
            let mut inner = self.lock();
            inner.own = own;
            std::mem::take(&mut inner.inbox)
        };
        for ((author, _), (incarnation, version, bytes)) in inbox {
            // An entry that is outdated, malformed or of an unknown version is ignored.
            let _ = latency.merge_entry(now, CourierId(author), incarnation, version, &bytes);
        }
    }

    /// Whether a courier is present; `None` if that is not known of any courier. An old state is ignored: if the control thread
    /// hung, its last one would keep a courier away for ever.
    pub fn presence(&self, now: Micros, courier: CourierId) -> Option<Presence> {
        let inner = self.lock();
        let presence = inner.presence.get(usize::from(courier.0)).copied();
        presence.filter(|_| now - inner.presence_at <= PRESENCE_MAX_AGE)
    }

    /// How much a courier reported to hold.
    pub fn weight(&self, courier: CourierId) -> Option<f64> {
        self.lock().weights.get(&courier.0).copied()
    }
}

/// Publishes and receives the gossip payload of questions on the control thread.
pub struct AskGossip {
    shared: SharedState,
    held: Box<dyn Fn() -> u64 + Send>,
    next: Micros,
    published: BTreeMap<Kind, [u8; ENTRY_BYTES]>,
    published_held: Option<u64>,
    /// Incarnation and counter of the newest entry by author and kind.
    seen: BTreeMap<(u16, u8), (u64, u64)>,
    received_at: Option<Micros>,
}

impl AskGossip {
    /// Creates it over the shared state. `held` returns how much this courier holds now, and must not block.
    pub fn new(shared: SharedState, held: impl Fn() -> u64 + Send + 'static) -> AskGossip {
        AskGossip {
            shared,
            held: Box::new(held),
            next: Micros(0),
            published: BTreeMap::new(),
            published_held: None,
            seen: BTreeMap::new(),
            received_at: None,
        }
    }

    /// Copies new entries and the weights of the other couriers into the shared state.
    fn receive(&mut self, now: Micros, peers: &Peers) {
        let mut new: Inbox = BTreeMap::new();
        for entry in peers.get(kinds::LATENCY) {
            let Some((_, kind)) = Kind::ALL.get(entry.id as usize).copied() else { continue };
            let version = (entry.incarnation, entry.counter);
            let seen = self.seen.entry((entry.owner, kind as u8)).or_default();
            if *seen < version {
                *seen = version;
                new.insert((entry.owner, kind), (version.0, version.1, entry.value.to_vec()));
            }
        }
        let held = peers.get(kinds::HELD_MESSAGES).filter(|entry| entry.id == 0 && !entry.from_previous_run);
        let weights: BTreeMap<u16, f64> = held
            .filter_map(|entry| Some((entry.owner, postcard::from_bytes::<u64>(&entry.value).ok()? as f64)))
            .collect();
        if !new.is_empty() {
            self.received_at = Some(now);
        }
        let mut inner = self.shared.lock();
        inner.inbox.extend(new);
        inner.weights = weights;
    }

    /// Publishes the own entries and the held quantity where they have changed.
    fn publish(&mut self, now: Micros, peers: &mut Peers) {
        let own = self.shared.lock().own.clone();
        let held = (self.held)();
        for (kind, entry) in own {
            if self.published.get(&kind) != Some(&entry)
                && peers.set(now, kinds::LATENCY, kind as u32, &entry)
            {
                self.published.insert(kind, entry);
            }
        }
        let published = self.published_held.map(|published| published as f64);
        let changed = published
            .is_none_or(|published| (held as f64 - published).abs() > MIN_CHANGE * published.max(4.0));
        let value = postcard::to_allocvec(&held).ok().filter(|_| changed);
        if value.is_some_and(|value| peers.set(now, kinds::HELD_MESSAGES, 0, &value)) {
            self.published_held = Some(held);
        }
    }
}

fn presence(status: MemberStatus) -> Presence {
    match status {
        MemberStatus::Unknown => Presence::Unknown,
        // A courier that is only suspected is still asked, and waited for as long as that is worthwhile.
        MemberStatus::Alive | MemberStatus::Suspected => Presence::Present,
        MemberStatus::Down => Presence::Away,
    }
}

impl GossipPayload for AskGossip {
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros {
        // Called after each gossip message, too; copying the presence of all members each time would be wasteful.
        if now >= self.next {
            self.next = now + INTERVAL;
            self.receive(now, peers);
            self.publish(now, peers);
            let members = peers.snapshot(now).members;
            let states = members.iter().map(|member| presence(member.standing)).collect();
            let mut inner = self.shared.lock();
            (inner.presence, inner.presence_at) = (states, now);
        }
        self.next
    }

    fn figures(&self, now: Micros) -> serde_json::Value {
        let inner = self.shared.lock();
        json!({
            "kinds_told": self.published.len(),
            "entries_heard": self.seen.len(),
            "newest_heard_ms": self.received_at.map(|at| (now - at).0 / 1_000),
            "holds_told": self.published_held,
            "others_hold": inner.weights.values().sum::<f64>(),
            "others_hold_by": inner.weights.len(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::super::{AskConfig, Coordinator, Decision, Part, Piece};
    use super::*;
    use crate::peers::{cluster, Config, Recipient};

    const SECOND: u64 = 1_000_000;

    fn member(me: u16) -> Peers {
        Peers::new(Config::new(cluster(["f"])), Micros(SECOND), me, 3, 7, u64::from(me) + 1)
    }

    /// Exchanges gossip messages between the first two members from `from` to `to`; nothing is heard of the third.
    fn exchange_messages(members: &mut [Peers; 2], payloads: &mut [AskGossip; 2], from: u64, to: u64) {
        for now in (from..to).step_by(10_000).map(Micros) {
            for i in 0..2 {
                payloads[i].tick(now, &mut members[i]);
                for (to, bytes) in members[i].tick(now) {
                    if matches!(to, Recipient::All) || to == Recipient::One(1 - i as u16) {
                        let _ = members[1 - i].receive(now, Some(i as u16), &bytes);
                    }
                }
            }
        }
    }

    #[test]
    fn latencies_and_held_quantity_reach_the_other_courier_and_presence_is_known() {
        let mut coordinator = Coordinator::new(AskConfig::default(), CourierId(0), 7);
        let fleet =
            [Part { courier: CourierId(2), incarnation: 1, weight: None, presence: Presence::Present }];
        for n in 0..20 {
            let now = Micros(SECOND + n * SECOND / 10);
            let id = coordinator.ask(now, Kind::Held, 0, &fleet).unwrap();
            let at = now + Micros(300_000);
            let piece = Piece {
                courier: CourierId(2),
                incarnation: 1,
                number: 0,
                last: true,
                figure: 1,
                settles: false,
            };
            coordinator.record_piece(at, id, &piece);
            assert!(matches!(coordinator.decide(at, id), Some(Decision::Ended(_))));
        }
        let (a, b) = (SharedState::default(), SharedState::default());
        a.exchange(Micros(4 * SECOND), coordinator.latency());
        let mut payloads = [AskGossip::new(a, || 1_000), AskGossip::new(b.clone(), || 3)];
        let mut members = [member(0), member(1)];
        exchange_messages(&mut members, &mut payloads, 4 * SECOND, 40 * SECOND);
        let mut fresh = LatencyModel::new(&AskConfig::default());
        let before = fresh.pooled_curve(Micros(40 * SECOND), Kind::Held).quantile(0.5).unwrap();
        b.exchange(Micros(40 * SECOND), &mut fresh);
        let after = fresh.pooled_curve(Micros(40 * SECOND), Kind::Held).quantile(0.5).unwrap();
        assert!(before < Micros(50_000) && after > Micros(70_000), "{before:?} {after:?}");
        assert_eq!(b.weight(CourierId(0)), Some(1_000.0));
        let now = Micros(40 * SECOND);
        assert_eq!(b.presence(now, CourierId(0)), Some(Presence::Present));
        assert_eq!(b.presence(now, CourierId(2)), Some(Presence::Unknown), "nothing was ever heard of it");
        assert_eq!(b.presence(now + Micros(30 * SECOND), CourierId(0)), None, "the control thread hangs");
        let figures = payloads[1].figures(Micros(40 * SECOND));
        assert_eq!((&figures["entries_heard"], &figures["others_hold"]), (&1.into(), &1_000.0.into()));
    }
}
