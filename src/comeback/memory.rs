//! What a life writes down for the next one, beside its journal: the waits that partners have told it, and what it was asked to
//! deliver where.
//!
//! Each kind of memory has a stated life. A told wait holds to its own end. Danger: clocks are set. A memory from the future
//! was written before the wall clock was put back; of its waits, what was left when they were written is heeded once more,
//! which costs a pause, where calling early breaks a rule. A wait that is longer than [`LONGEST`] from its writing is a
//! damaged one. Demand is believed for [`DEMAND_LIFE`], and not from the future: it gives the first pace to each destination.
//! Danger: what piled up during an absence, of one instance or at its clients, else goes out in the first second, of all that
//! were away at once; the limit that they share turns much of it away, and all of them are slowed down for it.

use crate::api::{Micros, Outage};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The longest wait that is kept.
pub const LONGEST: Micros = Micros(3_600_000_000);
/// A wait that is over so soon is not kept: no process starts in that time.
pub const SHORTEST: Micros = Micros(20_000);
/// So many are kept, those that end last.
pub const MOST: usize = 1024;
/// The file is written at most so often.
pub const APART: Micros = Micros(5_000);
/// After a write that failed the next one is tried so much later.
pub const AGAIN: Micros = Micros(1_000_000);

/// A demand that is older decides nothing.
pub const DEMAND_LIFE: Micros = Micros(60_000_000);
/// It is written so often.
pub const DEMAND_APART: Micros = Micros(1_000_000);
/// Demand is counted over so long. A life that is younger has not seen it yet: what it saw is taken for its own length, a second
/// at least, and what the former life remembered is handed on.
pub const YOUNG: Micros = Micros(10_000_000);
/// First pace by demand: what piled up in T seconds is gone after 2 T. Danger: faster is the stampede that this is against.
pub const CATCH_UP: f64 = 1.5;
/// The slowest first pace, in calls a second. Danger: who has a message in ten seconds gets two at times.
pub const FIRST_LEAST: f64 = 1.0;

/// What was asked by destination, in messages a second.
pub type Demand = Vec<(u16, f64)>;

/// Who told to wait, front and destination, and until when.
pub type Waits = HashMap<(u8, u16), Micros>;

/// What is written down.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    /// When, by the courier's clock.
    pub written_at: Micros,
    /// Front, destination, and until when to wait.
    pub waits: Vec<(u8, u16, Micros)>,
    /// What was asked.
    #[serde(default)]
    pub demand: Demand,
    /// Endpoints that were out or cold.
    #[serde(default)]
    pub outages: Vec<Known>,
}

/// An endpoint that a life found out or cold.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Known {
    /// Whose list names it.
    pub front: u8,
    /// Its name there.
    pub name: String,
    /// Its destination.
    pub dest: u16,
    /// How it was found.
    pub outage: Outage,
}

impl Memory {
    /// What is worth keeping of these waits.
    pub fn of(now: Micros, waits: &Waits, mut demand: Demand) -> Memory {
        let kept = waits.iter().filter(|(_, until)| **until > now + SHORTEST);
        let mut kept: Vec<_> = kept.map(|((front, dest), until)| (*front, *dest, *until)).collect();
        kept.sort_by_key(|(front, dest, until)| (std::cmp::Reverse(*until), *front, *dest));
        kept.truncate(MOST);
        demand.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        demand.truncate(MOST);
        Memory { written_at: now, waits: kept, demand, outages: Vec::new() }
    }

    /// The demand as far as it is believed now.
    pub fn demand_at(&self, now: Micros) -> Demand {
        let believed = self.written_at <= now && now - self.written_at <= DEMAND_LIFE;
        let all = self.demand.iter().filter(|(_, per_s)| believed && per_s.is_finite() && *per_s > 0.0);
        all.take(MOST).copied().collect()
    }

    /// The same with these outages, or as many as are kept.
    pub fn with_outages(self, outages: impl Iterator<Item = Known>) -> Memory {
        Memory { outages: outages.take(MOST).collect(), ..self }
    }

    /// The outages as far as they are believed now. Danger: an endpoint that is believed out gets one trial at a time.
    pub fn outages_at(&self, now: Micros) -> &[Known] {
        let believed = self.written_at <= now && now - self.written_at <= DEMAND_LIFE;
        if believed {
            &self.outages[..self.outages.len().min(MOST)]
        } else {
            &[]
        }
    }

    /// Its bytes.
    pub fn bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Reads them.
    pub fn read(bytes: &[u8]) -> Result<Memory, String> {
        serde_json::from_slice(bytes).map_err(|e| e.to_string())
    }

    /// The waits that bind a life which begins now.
    pub fn waits_at(&self, now: Micros) -> Waits {
        let set_back = self.written_at > now;
        let left = |until: Micros| until - self.written_at;
        let all = self.waits.iter().take(MOST).filter(|(_, _, until)| left(*until) <= LONGEST);
        let from = |until: Micros| if set_back { now + left(until) } else { until };
        let mut out = Waits::new();
        for (front, dest, until) in all {
            let until = from(*until);
            if until > now {
                let known = out.entry((*front, *dest)).or_default();
                *known = (*known).max(until);
            }
        }
        out
    }
}

/// With which pace a life begins by a demand.
pub fn first_pace(per_s: f64) -> f64 {
    (per_s * CATCH_UP).max(FIRST_LEAST)
}

/// The demand to write down in a life of this age: what it has seen, and while it is young at least what it began with.
pub fn demand_of(age: Micros, seen: Demand, began_with: &Demand) -> Demand {
    let part = age.clamp(Micros(1_000_000), YOUNG).secs() / YOUNG.secs();
    let seen = seen.into_iter().map(|(dest, per_s)| (dest, per_s / part));
    let mut out: std::collections::BTreeMap<u16, f64> = seen.collect();
    for (dest, per_s) in began_with.iter().filter(|_| age < YOUNG) {
        let known = out.entry(*dest).or_default();
        *known = known.max(*per_s);
    }
    out.into_iter().collect()
}

/// When to write: at once, but no more often than [`APART`], so that a partner which tells waits by the thousand costs no
/// more than a bounded share of the time.
#[derive(Debug, Clone, Default)]
pub struct Beat {
    news: bool,
    next_at: Micros,
    demand_at: Micros,
}

impl Beat {
    /// A wait was told; `before` is until when one was known there.
    pub fn told(&mut self, now: Micros, before: Micros, until: Micros) {
        self.news |= until > before && until > now + SHORTEST;
    }

    /// What else is written has changed.
    pub fn changed(&mut self) {
        self.news = true;
    }

    /// Whether to write now; how it went is told to [`Beat::written`].
    pub fn due(&self, now: Micros) -> bool {
        (self.news || self.demand_at <= now) && self.next_at <= now
    }

    /// It was written, or not.
    pub fn written(&mut self, now: Micros, well: bool) {
        self.news = !well;
        self.next_at = now + if well { APART } else { AGAIN };
        self.demand_at = now + DEMAND_APART;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: u64 = 1_000_000;

    fn waits(all: &[(u8, u16, u64)]) -> Waits {
        all.iter().map(|(front, dest, until)| ((*front, *dest), Micros(*until))).collect()
    }

    #[test]
    fn a_wait_holds_to_its_end_and_no_further() {
        let memory =
            Memory::of(Micros(10 * S), &waits(&[(0, 3, 12 * S), (1, 3, 11 * S), (0, 4, 10 * S)]), Vec::new());
        assert_eq!(memory.waits.len(), 2, "what is over is not kept: {memory:?}");
        let read = Memory::read(&memory.bytes()).unwrap();
        assert_eq!(read.waits_at(Micros(10 * S)), waits(&[(0, 3, 12 * S), (1, 3, 11 * S)]));
        assert_eq!(read.waits_at(Micros(11 * S)), waits(&[(0, 3, 12 * S)]));
        assert_eq!(read.waits_at(Micros(12 * S)), waits(&[]));
    }

    #[test]
    fn a_clock_that_was_put_back_lengthens_no_wait_and_forgets_none() {
        let memory = Memory::of(Micros(1000 * S), &waits(&[(0, 3, 1002 * S)]), Vec::new());
        assert_eq!(memory.waits_at(Micros(10 * S)), waits(&[(0, 3, 12 * S)]));
    }

    #[test]
    fn what_can_not_be_is_not_believed() {
        let far = Memory {
            written_at: Micros(S),
            waits: vec![(0, 3, Micros(LONGEST.0 + 2 * S))],
            ..Memory::default()
        };
        assert_eq!(far.waits_at(Micros(S)), waits(&[]));
        for bytes in [&b""[..], b"{}", b"[1]", b"{\"written_at\":1,\"waits\":[[300,1,1]]}", b"\xff"] {
            assert!(Memory::read(bytes).is_err(), "{bytes:?}");
        }
    }

    #[test]
    fn it_writes_at_once_then_apart_and_less_often_where_it_fails() {
        let mut beat = Beat::default();
        assert!(beat.due(Micros(S)), "the first time, for the demand");
        beat.written(Micros(S), true);
        let at = |ms: u64| Micros(S + ms * 1000);
        assert!(!beat.due(at(100)), "there is nothing new");
        beat.told(at(100), Micros(0), Micros(3 * S));
        assert!(beat.due(at(100)));
        beat.written(at(100), true);
        beat.told(at(101), Micros(3 * S), Micros(2 * S));
        assert!(!beat.due(at(200)), "an earlier end is no news");
        beat.told(at(101), Micros(3 * S), Micros(4 * S));
        assert!(!beat.due(at(101)) && beat.due(at(105)), "5 ms apart");
        beat.written(at(200), false);
        assert!(!beat.due(at(1199)) && beat.due(at(1200)), "it is still owed");
        beat.written(at(1200), true);
        assert!(!beat.due(at(2199)) && beat.due(at(2200)), "each second, for the demand");
    }

    #[test]
    fn a_demand_is_believed_for_a_minute_and_not_from_the_future() {
        let memory =
            Memory::of(Micros(100 * S), &Waits::new(), vec![(3, 4.0), (4, 0.2), (5, f64::NAN), (6, -1.0)]);
        assert_eq!(memory.demand_at(Micros(100 * S)), vec![(3, 4.0), (4, 0.2)]);
        assert_eq!(memory.demand_at(Micros(100 * S) + DEMAND_LIFE).len(), 2);
        assert_eq!(memory.demand_at(Micros(100 * S + 1) + DEMAND_LIFE), vec![]);
        assert_eq!(memory.demand_at(Micros(100 * S - 1)), vec![]);
        assert_eq!((first_pace(4.0), first_pace(0.1)), (4.0 * CATCH_UP, FIRST_LEAST));
    }

    /// Killed again while it comes back: the demand is not forgotten, nor taken for less than it was.
    #[test]
    fn a_young_life_hands_on_what_it_was_told() {
        let told = vec![(3, 8.0), (4, 1.0)];
        assert_eq!(demand_of(Micros(2 * S), vec![(3, 0.4), (4, 0.5)], &told), vec![(3, 8.0), (4, 2.5)]);
        assert_eq!(
            demand_of(Micros(0), vec![(3, 0.1)], &vec![]),
            vec![(3, 1.0)],
            "as if it were a second old"
        );
        assert_eq!(demand_of(YOUNG, vec![(3, 0.4)], &told), vec![(3, 0.4)], "by now it knows");
        assert_eq!(demand_of(YOUNG, vec![], &told), vec![]);
    }

    #[test]
    fn a_file_of_the_former_form_is_read() {
        let memory = Memory::read(b"{\"written_at\":5,\"waits\":[[0,3,9]]}").unwrap();
        assert_eq!((memory.waits.len(), memory.demand.len()), (1, 0));
    }

    proptest! {
        /// No wait is shortened by being written and read, at whatever time the next life begins; none outlives its length.
        #[test]
        fn no_wait_is_cut_short(
            now in 0..100u64, begins in 0..100u64,
            all in proptest::collection::vec((0..2u8, 0..5u16, 0..200u64), 0..30),
        ) {
            let told: Vec<_> = all.iter().map(|(f, d, until)| (*f, *d, until * S)).collect();
            let (told, now, begins) = (waits(&told), Micros(now * S), Micros(begins * S));
            let back = Memory::read(&Memory::of(now, &told, Vec::new()).bytes()).unwrap().waits_at(begins);
            for (at, until) in &told {
                let known = back.get(at).copied().unwrap_or_default();
                if begins >= now {
                    prop_assert!(known == *until || *until <= begins || *until <= now + SHORTEST);
                } else if *until > now {
                    prop_assert_eq!(known - begins, *until - now);
                }
            }
            prop_assert!(back.keys().all(|at| told.contains_key(at)));
        }

        /// No bytes panic, and at most so many are believed.
        #[test]
        fn no_bytes_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), now: u64) {
            if let Ok(memory) = Memory::read(&bytes) {
                prop_assert!(memory.waits_at(Micros(now)).len() <= MOST);
            }
        }

        /// Nor do figures at the ends of their range.
        #[test]
        fn no_figures_panic(written: u64, until: u64, now: u64) {
            let memory = Memory { written_at: Micros(written), waits: vec![(0, 1, Micros(until))], demand: vec![(1, f64::NAN), (2, f64::INFINITY)], outages: Vec::new() };
            prop_assert!(memory.waits_at(Micros(now)).len() <= 1);
        }
    }
}
