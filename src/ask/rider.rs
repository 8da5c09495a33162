//! What rides to the other couriers: learnt latencies as entries of their kind, one for each kind of question, and what this
//! courier holds, for weights. The rider runs on the control thread, questions on their own; between them lies [`Shared`], whose
//! lock is held for copies alone.

use super::{Courier, Kind, Latency, Stand, ENTRY_BYTES};
use crate::api::Micros;
use crate::peers::payload::{kinds, GossipPayload};
use crate::peers::{MemberStatus, Peers};
use serde_json::json;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What is told is looked at again so often, and who is there.
const EVERY: Micros = Micros(2_000_000);
/// What is that old says nothing of who is there.
const STALE: Micros = Micros(10_000_000);
/// Told anew where it has changed by a quarter.
const CHANGED: f64 = 0.25;
/// Entries that wait to be taken in by the questions' thread; the newest of an author and kind alone.
type Inbox = BTreeMap<(u16, Kind), (u64, u64, Vec<u8>)>;

#[derive(Default)]
struct Inner {
    own: BTreeMap<Kind, [u8; ENTRY_BYTES]>,
    inbox: Inbox,
    stands: Vec<Stand>,
    stands_at: Micros,
    weights: BTreeMap<u16, f64>,
}

/// Between the control thread and that of the questions. Bounded by the members and the kinds.
#[derive(Clone, Default)]
pub struct Shared(Arc<Mutex<Inner>>);

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts out what was measured, and takes in what others did.
    pub fn exchange(&self, now: Micros, latency: &mut Latency) {
        let own = Kind::ALL.into_iter().filter_map(|(_, kind)| Some((kind, latency.to_entry(now, kind)?)));
        let own = own.collect();
        let inbox = {
            let mut inner = self.lock();
            inner.own = own;
            std::mem::take(&mut inner.inbox)
        };
        for ((author, _), (life, version, bytes)) in inbox {
            // A fault says that it is old or of another version: nothing is learnt from it.
            let _ = latency.merge_entry(now, Courier(author), life, version, &bytes);
        }
    }

    /// How one stands; `None`: nothing is heard of anybody. Danger: where the control thread hangs, what it said last would keep
    /// one away for ever.
    pub fn stand(&self, now: Micros, courier: Courier) -> Option<Stand> {
        let inner = self.lock();
        let stand = inner.stands.get(usize::from(courier.0)).copied();
        stand.filter(|_| now - inner.stands_at <= STALE)
    }

    /// How much one said it held.
    pub fn weight(&self, courier: Courier) -> Option<f64> {
        self.lock().weights.get(&courier.0).copied()
    }
}

/// See the module.
pub struct AskRider {
    shared: Shared,
    holds: Box<dyn Fn() -> u64 + Send>,
    next: Micros,
    told: BTreeMap<Kind, [u8; ENTRY_BYTES]>,
    told_holds: Option<u64>,
    seen: BTreeMap<(u16, u8), (u64, u64)>,
    heard_at: Option<Micros>,
}

impl AskRider {
    /// Over what lies between; `holds` says how much this courier holds now, and must not wait.
    pub fn new(shared: Shared, holds: impl Fn() -> u64 + Send + 'static) -> AskRider {
        AskRider {
            shared,
            holds: Box::new(holds),
            next: Micros(0),
            told: BTreeMap::new(),
            told_holds: None,
            seen: BTreeMap::new(),
            heard_at: None,
        }
    }

    fn hear(&mut self, now: Micros, peers: &Peers) {
        let mut news: Inbox = BTreeMap::new();
        for said in peers.get(kinds::LATENCY) {
            let Some((_, kind)) = Kind::ALL.get(said.id as usize).copied() else { continue };
            let version = (said.incarnation, said.counter);
            let seen = self.seen.entry((said.owner, kind as u8)).or_default();
            if *seen < version {
                *seen = version;
                news.insert((said.owner, kind), (version.0, version.1, said.value.to_vec()));
            }
        }
        let holds = peers.get(kinds::HELD_MESSAGES).filter(|said| said.id == 0 && !said.from_previous_run);
        let weights: BTreeMap<u16, f64> = holds
            .filter_map(|said| Some((said.owner, postcard::from_bytes::<u64>(&said.value).ok()? as f64)))
            .collect();
        if !news.is_empty() {
            self.heard_at = Some(now);
        }
        let mut inner = self.shared.lock();
        inner.inbox.extend(news);
        inner.weights = weights;
    }

    fn tell(&mut self, now: Micros, peers: &mut Peers) {
        let own = self.shared.lock().own.clone();
        let holds = (self.holds)();
        for (kind, entry) in own {
            if self.told.get(&kind) != Some(&entry) && peers.set(now, kinds::LATENCY, kind as u32, &entry) {
                self.told.insert(kind, entry);
            }
        }
        let told = self.told_holds.map(|told| told as f64);
        let changed = told.is_none_or(|told| (holds as f64 - told).abs() > CHANGED * told.max(4.0));
        let value = postcard::to_allocvec(&holds).ok().filter(|_| changed);
        if value.is_some_and(|value| peers.set(now, kinds::HELD_MESSAGES, 0, &value)) {
            self.told_holds = Some(holds);
        }
    }
}

fn stand(standing: MemberStatus) -> Stand {
    match standing {
        MemberStatus::Unknown => Stand::Unknown,
        // Suspected only: it is asked, and waited for as long as that is worth.
        MemberStatus::Alive | MemberStatus::Suspected => Stand::There,
        MemberStatus::Down => Stand::Away,
    }
}

impl GossipPayload for AskRider {
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros {
        // After each note it is called, too; what it does costs a copy of who is there.
        if now >= self.next {
            self.next = now + EVERY;
            self.hear(now, peers);
            self.tell(now, peers);
            let members = peers.snapshot(now).members;
            let stands = members.iter().map(|seen| stand(seen.standing)).collect();
            let mut inner = self.shared.lock();
            (inner.stands, inner.stands_at) = (stands, now);
        }
        self.next
    }

    fn figures(&self, now: Micros) -> serde_json::Value {
        let inner = self.shared.lock();
        json!({
            "kinds_told": self.told.len(),
            "entries_heard": self.seen.len(),
            "newest_heard_ms": self.heard_at.map(|at| (now - at).0 / 1_000),
            "holds_told": self.told_holds,
            "others_hold": inner.weights.values().sum::<f64>(),
            "others_hold_by": inner.weights.len(),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::super::{AskConfig, Desk, Part, Piece, Verdict};
    use super::*;
    use crate::peers::{cluster, Config, Recipient};

    const S: u64 = 1_000_000;

    fn member(me: u16) -> Peers {
        Peers::new(Config::new(cluster(["f"])), Micros(S), me, 3, 7, u64::from(me) + 1)
    }

    /// Passes notes between the first two for so long; the third is never heard.
    fn run(members: &mut [Peers; 2], riders: &mut [AskRider; 2], from: u64, to: u64) {
        for now in (from..to).step_by(10_000).map(Micros) {
            for i in 0..2 {
                riders[i].tick(now, &mut members[i]);
                for (to, bytes) in members[i].tick(now) {
                    if matches!(to, Recipient::All) || to == Recipient::One(1 - i as u16) {
                        let _ = members[1 - i].receive(now, Some(i as u16), &bytes);
                    }
                }
            }
        }
    }

    #[test]
    fn what_one_has_learnt_and_holds_reaches_the_other_and_who_is_there_is_known() {
        let mut desk = Desk::new(AskConfig::default(), Courier(0), 7);
        let fleet = [Part { courier: Courier(2), life: 1, weight: None, stand: Stand::There }];
        for n in 0..20 {
            let now = Micros(S + n * S / 10);
            let id = desk.ask(now, Kind::Held, 0, &fleet).unwrap();
            let at = now + Micros(300_000);
            let piece =
                Piece { courier: Courier(2), life: 1, number: 0, last: true, figure: 1, settles: false };
            desk.piece(at, id, &piece);
            assert!(matches!(desk.decide(at, id), Some(Verdict::Ended(_))));
        }
        let (a, b) = (Shared::default(), Shared::default());
        a.exchange(Micros(4 * S), desk.latency());
        let mut riders = [AskRider::new(a, || 1_000), AskRider::new(b.clone(), || 3)];
        let mut members = [member(0), member(1)];
        run(&mut members, &mut riders, 4 * S, 40 * S);
        let mut fresh = Latency::new(&AskConfig::default());
        let before = fresh.pool(Micros(40 * S), Kind::Held).quantile(0.5).unwrap();
        b.exchange(Micros(40 * S), &mut fresh);
        let after = fresh.pool(Micros(40 * S), Kind::Held).quantile(0.5).unwrap();
        assert!(before < Micros(50_000) && after > Micros(70_000), "{before:?} {after:?}");
        assert_eq!(b.weight(Courier(0)), Some(1_000.0));
        let now = Micros(40 * S);
        assert_eq!(b.stand(now, Courier(0)), Some(Stand::There));
        assert_eq!(b.stand(now, Courier(2)), Some(Stand::Unknown), "it was never heard");
        assert_eq!(b.stand(now + Micros(30 * S), Courier(0)), None, "the control thread hangs");
        let figures = riders[1].figures(Micros(40 * S));
        assert_eq!((&figures["entries_heard"], &figures["others_hold"]), (&1.into(), &1_000.0.into()));
    }
}
