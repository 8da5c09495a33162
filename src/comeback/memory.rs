//! What a life writes down for the next one, beside its journal: the waits that partners have told it.
//!
//! Each kind of memory has a stated life. A told wait holds to its own end. Danger: clocks are set. A memory from the future
//! was written before the wall clock was put back; of its waits, what was left when they were written is heeded once more,
//! which costs a pause, where calling early breaks a rule. A wait that is longer than [`LONGEST`] from its writing is a
//! damaged one.

use crate::api::Micros;
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

/// Who told to wait, front and destination, and until when.
pub type Waits = HashMap<(u8, u16), Micros>;

/// What is written down.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// When, by the wall clock.
    pub written_at: Micros,
    /// Front, destination, and until when to wait.
    pub waits: Vec<(u8, u16, Micros)>,
}

impl Memory {
    /// What is worth keeping of these waits.
    pub fn of(now: Micros, waits: &Waits) -> Memory {
        let kept = waits.iter().filter(|(_, until)| **until > now + SHORTEST);
        let mut kept: Vec<_> = kept.map(|((front, dest), until)| (*front, *dest, *until)).collect();
        kept.sort_by_key(|(front, dest, until)| (std::cmp::Reverse(*until), *front, *dest));
        kept.truncate(MOST);
        Memory { written_at: now, waits: kept }
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

/// When to write: at once, but no more often than [`APART`], so that a partner which tells waits by the thousand costs no
/// more than a bounded share of the time.
#[derive(Debug, Clone, Default)]
pub struct Beat {
    news: bool,
    next_at: Micros,
}

impl Beat {
    /// A wait was told; `before` is until when one was known there.
    pub fn told(&mut self, now: Micros, before: Micros, until: Micros) {
        self.news |= until > before && until > now + SHORTEST;
    }

    /// Whether to write now; how it went is told to [`Beat::written`].
    pub fn due(&self, now: Micros) -> bool {
        self.news && self.next_at <= now
    }

    /// It was written, or not.
    pub fn written(&mut self, now: Micros, well: bool) {
        self.news = !well;
        self.next_at = now + if well { APART } else { AGAIN };
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
        let memory = Memory::of(Micros(10 * S), &waits(&[(0, 3, 12 * S), (1, 3, 11 * S), (0, 4, 10 * S)]));
        assert_eq!(memory.waits.len(), 2, "what is over is not kept: {memory:?}");
        let read = Memory::read(&memory.bytes()).unwrap();
        assert_eq!(read.waits_at(Micros(10 * S)), waits(&[(0, 3, 12 * S), (1, 3, 11 * S)]));
        assert_eq!(read.waits_at(Micros(11 * S)), waits(&[(0, 3, 12 * S)]));
        assert_eq!(read.waits_at(Micros(12 * S)), waits(&[]));
    }

    #[test]
    fn a_clock_that_was_put_back_lengthens_no_wait_and_forgets_none() {
        let memory = Memory::of(Micros(1000 * S), &waits(&[(0, 3, 1002 * S)]));
        assert_eq!(memory.waits_at(Micros(10 * S)), waits(&[(0, 3, 12 * S)]));
    }

    #[test]
    fn what_can_not_be_is_not_believed() {
        let far = Memory { written_at: Micros(S), waits: vec![(0, 3, Micros(LONGEST.0 + 2 * S))] };
        assert_eq!(far.waits_at(Micros(S)), waits(&[]));
        for bytes in [&b""[..], b"{}", b"[1]", b"{\"written_at\":1,\"waits\":[[300,1,1]]}", b"\xff"] {
            assert!(Memory::read(bytes).is_err(), "{bytes:?}");
        }
    }

    #[test]
    fn it_writes_at_once_then_apart_and_less_often_where_it_fails() {
        let mut beat = Beat::default();
        assert!(!beat.due(Micros(S)));
        beat.told(Micros(S), Micros(0), Micros(3 * S));
        assert!(beat.due(Micros(S)));
        beat.written(Micros(S), true);
        assert!(!beat.due(Micros(2 * S)), "there is nothing new");
        beat.told(Micros(S), Micros(3 * S), Micros(2 * S));
        assert!(!beat.due(Micros(2 * S)), "an earlier end is no news");
        beat.told(Micros(S) + Micros(1), Micros(3 * S), Micros(4 * S));
        assert!(!beat.due(Micros(S) + Micros(1)) && beat.due(Micros(S) + APART));
        beat.written(Micros(2 * S), false);
        assert!(!beat.due(Micros(2 * S) + APART) && beat.due(Micros(2 * S) + AGAIN), "it is still owed");
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
            let back = Memory::read(&Memory::of(now, &told).bytes()).unwrap().waits_at(begins);
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
            let memory = Memory { written_at: Micros(written), waits: vec![(0, 1, Micros(until))] };
            prop_assert!(memory.waits_at(Micros(now)).len() <= 1);
        }
    }
}
