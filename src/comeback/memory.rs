//! The recovery memory: what a process run stores beside the journal for the next run. It holds the waits that partners
//! demanded, the demand of each destination, and the endpoints that were out.
//!
//! A wait is valid until its own end. If the wall clock was set back, the memory is dated in the future. Then the time
//! that each wait had left when it was written is waited again from now: this costs a pause, whereas a call before the
//! end of the wait breaks the partner's rule. A wait that ends more than [`MAX_WAIT`] after it was written is taken as
//! damaged and ignored.
//!
//! Demand is used for [`DEMAND_LIFETIME`], and never if it is dated in the future. It sets the initial send rate of each
//! destination. Without it, the messages that piled up during an absence (of one instance, or at its clients) would go
//! out in the first second, from all instances that were away at the same time. The shared limit would reject many of
//! them, and all instances would be slowed down.

use crate::api::{Micros, Outage};
use crate::json;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// The longest wait that is restored, counted from when it was written.
pub const MAX_WAIT: Micros = Micros(3_600_000_000);
/// A wait that ends within this time is not stored, as no process starts that quickly.
pub const MIN_WAIT: Micros = Micros(20_000);
/// The maximum number of entries of each kind. Of the waits, those that end last are stored.
pub const MAX_ENTRIES: usize = 1024;
/// The shortest interval between two writes of the file.
pub const MIN_WRITE_INTERVAL: Micros = Micros(5_000);
/// The delay after a failed write until the next attempt.
pub const WRITE_RETRY_DELAY: Micros = Micros(1_000_000);

/// The age after which demand and outages are ignored.
pub const DEMAND_LIFETIME: Micros = Micros(60_000_000);
/// The interval at which demand is written.
pub const DEMAND_WRITE_INTERVAL: Micros = Micros(1_000_000);
/// The length of the window in which demand is counted. A process run that is younger has not filled the window: its count
/// is divided by its own age (at least one second), and the demand that the previous run stored is passed on.
pub const DEMAND_WINDOW: Micros = Micros(10_000_000);
/// The initial send rate as a multiple of the demand: what piled up in T seconds is delivered after 2 T. A higher rate
/// would bring back the burst that the initial rate prevents.
pub const CATCH_UP_FACTOR: f64 = 1.5;
/// The lowest initial send rate, in calls per second. A destination with one
/// message in ten seconds sometimes gets two.
pub const MIN_INITIAL_RATE_PER_S: f64 = 1.0;

/// Demand by destination, in messages per second.
pub type Demand = Vec<(u16, f64)>;

/// The ends of the waits that partners demanded, by front and destination.
pub type Waits = HashMap<(u8, u16), Micros>;

/// The content of the memory file.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    /// The time of writing, by the courier's clock.
    pub written_at: Micros,
    /// Front, destination and end of each wait.
    pub waits: Vec<(u8, u16, Micros)>,
    /// The demand of each destination.
    #[serde(default)]
    pub demand: Demand,
    /// Endpoints that were out or in slow start.
    #[serde(default)]
    pub outages: Vec<KnownOutage>,
}

/// An endpoint that was out or in slow start when the memory was written.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KnownOutage {
    /// The front whose endpoint list contains it.
    pub front: u8,
    /// Its name in that list.
    pub name: String,
    /// Its destination.
    pub dest: u16,
    /// Its outage.
    pub outage: Outage,
}

impl Memory {
    /// Builds the memory from the waits that are long enough and from the highest demands.
    pub fn new(now: Micros, waits: &Waits, mut demand: Demand) -> Memory {
        let kept = waits.iter().filter(|(_, until)| **until > now + MIN_WAIT);
        let mut kept: Vec<_> = kept.map(|((front, dest), until)| (*front, *dest, *until)).collect();
        kept.sort_by_key(|(front, dest, until)| (std::cmp::Reverse(*until), *front, *dest));
        kept.truncate(MAX_ENTRIES);
        demand.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        demand.truncate(MAX_ENTRIES);
        Memory { written_at: now, waits: kept, demand, outages: Vec::new() }
    }

    /// Returns the valid entries of the demand, or none if the memory is too old or dated in the future.
    pub fn demand_at(&self, now: Micros) -> Demand {
        let is_current = self.written_at <= now && now - self.written_at <= DEMAND_LIFETIME;
        let all = self.demand.iter().filter(|(_, per_s)| is_current && per_s.is_finite() && *per_s > 0.0);
        all.take(MAX_ENTRIES).copied().collect()
    }

    /// Adds outages, up to [`MAX_ENTRIES`].
    pub fn with_outages(self, outages: impl Iterator<Item = KnownOutage>) -> Memory {
        Memory { outages: outages.take(MAX_ENTRIES).collect(), ..self }
    }

    /// Returns the outages, or none if the memory is too old or dated in the future. An outdated outage would be harmful,
    /// as an endpoint that is taken as out gets only one trial call at a time.
    pub fn outages_at(&self, now: Micros) -> &[KnownOutage] {
        let is_current = self.written_at <= now && now - self.written_at <= DEMAND_LIFETIME;
        if is_current {
            &self.outages[..self.outages.len().min(MAX_ENTRIES)]
        } else {
            &[]
        }
    }

    /// Encodes the memory as JSON.
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Decodes the memory from JSON.
    pub fn from_bytes(bytes: &[u8]) -> Result<Memory, String> {
        json::from_slice(bytes).map_err(|e| e.to_string())
    }

    /// Returns the waits that apply to a process run that starts now.
    pub fn waits_at(&self, now: Micros) -> Waits {
        let clock_set_back = self.written_at > now;
        let remaining = |until: Micros| until - self.written_at;
        let all = self.waits.iter().take(MAX_ENTRIES).filter(|(_, _, until)| remaining(*until) <= MAX_WAIT);
        let end_of = |until: Micros| if clock_set_back { now + remaining(until) } else { until };
        let mut out = Waits::new();
        for (front, dest, until) in all {
            let until = end_of(*until);
            if until > now {
                let known = out.entry((*front, *dest)).or_default();
                *known = (*known).max(until);
            }
        }
        out
    }
}

/// Returns the initial send rate for a demand, in calls per second.
pub fn initial_send_rate(per_s: f64) -> f64 {
    (per_s * CATCH_UP_FACTOR).max(MIN_INITIAL_RATE_PER_S)
}

/// Returns the demand to store in a process run of this age: the observed demand, and until [`DEMAND_WINDOW`] has passed
/// at least the demand that was restored at the start.
pub fn demand_to_store(age: Micros, observed: Demand, restored: &Demand) -> Demand {
    let window_share = age.clamp(Micros(1_000_000), DEMAND_WINDOW).secs() / DEMAND_WINDOW.secs();
    let observed = observed.into_iter().map(|(dest, per_s)| (dest, per_s / window_share));
    let mut out: std::collections::BTreeMap<u16, f64> = observed.collect();
    for (dest, per_s) in restored.iter().filter(|_| age < DEMAND_WINDOW) {
        let known = out.entry(*dest).or_default();
        *known = known.max(*per_s);
    }
    out.into_iter().collect()
}

/// Decides when the file is written: at once after a change, but with [`MIN_WRITE_INTERVAL`] between writes. This bounds
/// the time spent on writing for a partner that demands thousands of waits.
#[derive(Debug, Clone, Default)]
pub struct WriteSchedule {
    has_changes: bool,
    next_write_at: Micros,
    next_demand_write_at: Micros,
}

impl WriteSchedule {
    /// Records that a partner demanded a wait; `known_until` is the end of the wait known before.
    pub fn wait_demanded(&mut self, now: Micros, known_until: Micros, until: Micros) {
        self.has_changes |= until > known_until && until > now + MIN_WAIT;
    }

    /// Records that other stored content has changed.
    pub fn mark_changed(&mut self) {
        self.has_changes = true;
    }

    /// Whether to write now; the caller reports the result to [`WriteSchedule::written`].
    pub fn due(&self, now: Micros) -> bool {
        (self.has_changes || self.next_demand_write_at <= now) && self.next_write_at <= now
    }

    /// Records the result of a write and schedules the next one.
    pub fn written(&mut self, now: Micros, succeeded: bool) {
        self.has_changes = !succeeded;
        self.next_write_at = now + if succeeded { MIN_WRITE_INTERVAL } else { WRITE_RETRY_DELAY };
        self.next_demand_write_at = now + DEMAND_WRITE_INTERVAL;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: u64 = 1_000_000;

    fn waits(entries: &[(u8, u16, u64)]) -> Waits {
        entries.iter().map(|(front, dest, until)| ((*front, *dest), Micros(*until))).collect()
    }

    #[test]
    fn a_restored_wait_is_valid_until_its_end() {
        let memory = Memory::new(
            Micros(10 * S),
            &waits(&[(0, 3, 12 * S), (1, 3, 11 * S), (0, 4, 10 * S)]),
            Vec::new(),
        );
        assert_eq!(memory.waits.len(), 2, "an ended wait is not stored: {memory:?}");
        let read = Memory::from_bytes(&memory.to_bytes()).unwrap();
        assert_eq!(read.waits_at(Micros(10 * S)), waits(&[(0, 3, 12 * S), (1, 3, 11 * S)]));
        assert_eq!(read.waits_at(Micros(11 * S)), waits(&[(0, 3, 12 * S)]));
        assert_eq!(read.waits_at(Micros(12 * S)), waits(&[]));
    }

    #[test]
    fn waits_keep_their_remaining_time_after_the_clock_is_set_back() {
        let memory = Memory::new(Micros(1000 * S), &waits(&[(0, 3, 1002 * S)]), Vec::new());
        assert_eq!(memory.waits_at(Micros(10 * S)), waits(&[(0, 3, 12 * S)]));
    }

    #[test]
    fn overlong_waits_and_malformed_files_are_rejected() {
        let overlong = Memory {
            written_at: Micros(S),
            waits: vec![(0, 3, Micros(MAX_WAIT.0 + 2 * S))],
            ..Memory::default()
        };
        assert_eq!(overlong.waits_at(Micros(S)), waits(&[]));
        for bytes in [&b""[..], b"{}", b"[1]", b"{\"written_at\":1,\"waits\":[[300,1,1]]}", b"\xff"] {
            assert!(Memory::from_bytes(bytes).is_err(), "{bytes:?}");
        }
    }

    #[test]
    fn writes_follow_changes_with_a_minimum_interval_and_a_retry_delay() {
        let mut schedule = WriteSchedule::default();
        assert!(schedule.due(Micros(S)), "the first write is due at once, for the demand");
        schedule.written(Micros(S), true);
        let at = |ms: u64| Micros(S + ms * 1000);
        assert!(!schedule.due(at(100)), "nothing has changed");
        schedule.wait_demanded(at(100), Micros(0), Micros(3 * S));
        assert!(schedule.due(at(100)));
        schedule.written(at(100), true);
        schedule.wait_demanded(at(101), Micros(3 * S), Micros(2 * S));
        assert!(!schedule.due(at(200)), "a wait with an earlier end is no change");
        schedule.wait_demanded(at(101), Micros(3 * S), Micros(4 * S));
        assert!(!schedule.due(at(101)) && schedule.due(at(105)), "writes are 5 ms apart");
        schedule.written(at(200), false);
        assert!(!schedule.due(at(1199)) && schedule.due(at(1200)), "the failed write is retried");
        schedule.written(at(1200), true);
        assert!(!schedule.due(at(2199)) && schedule.due(at(2200)), "the demand is written every second");
    }

    #[test]
    fn demand_is_used_for_a_minute_and_not_if_dated_in_the_future() {
        let memory =
            Memory::new(Micros(100 * S), &Waits::new(), vec![(3, 4.0), (4, 0.2), (5, f64::NAN), (6, -1.0)]);
        assert_eq!(memory.demand_at(Micros(100 * S)), vec![(3, 4.0), (4, 0.2)]);
        assert_eq!(memory.demand_at(Micros(100 * S) + DEMAND_LIFETIME).len(), 2);
        assert_eq!(memory.demand_at(Micros(100 * S + 1) + DEMAND_LIFETIME), vec![]);
        assert_eq!(memory.demand_at(Micros(100 * S - 1)), vec![]);
        assert_eq!(
            (initial_send_rate(4.0), initial_send_rate(0.1)),
            (4.0 * CATCH_UP_FACTOR, MIN_INITIAL_RATE_PER_S)
        );
    }

    /// Guards against losing or lowering the stored demand when a process is killed again shortly after its start.
    #[test]
    fn a_young_run_passes_on_the_restored_demand() {
        let restored = vec![(3, 8.0), (4, 1.0)];
        assert_eq!(
            demand_to_store(Micros(2 * S), vec![(3, 0.4), (4, 0.5)], &restored),
            vec![(3, 8.0), (4, 2.5)]
        );
        assert_eq!(
            demand_to_store(Micros(0), vec![(3, 0.1)], &vec![]),
            vec![(3, 1.0)],
            "the age counts as one second at least"
        );
        assert_eq!(
            demand_to_store(DEMAND_WINDOW, vec![(3, 0.4)], &restored),
            vec![(3, 0.4)],
            "the window is filled"
        );
        assert_eq!(demand_to_store(DEMAND_WINDOW, vec![], &restored), vec![]);
    }

    #[test]
    fn a_file_without_demand_and_outages_is_read() {
        let memory = Memory::from_bytes(b"{\"written_at\":5,\"waits\":[[0,3,9]]}").unwrap();
        assert_eq!((memory.waits.len(), memory.demand.len()), (1, 0));
    }

    proptest! {
        /// Storing and restoring shortens no wait and extends none beyond its length, whenever the next run starts.
        #[test]
        fn restored_waits_keep_their_length(
            now in 0..100u64, started_at in 0..100u64,
            all in proptest::collection::vec((0..2u8, 0..5u16, 0..200u64), 0..30),
        ) {
            let demanded: Vec<_> = all.iter().map(|(f, d, until)| (*f, *d, until * S)).collect();
            let (demanded, now, started_at) = (waits(&demanded), Micros(now * S), Micros(started_at * S));
            let restored = Memory::from_bytes(&Memory::new(now, &demanded, Vec::new()).to_bytes()).unwrap().waits_at(started_at);
            for (at, until) in &demanded {
                let known = restored.get(at).copied().unwrap_or_default();
                if started_at >= now {
                    prop_assert!(known == *until || *until <= started_at || *until <= now + MIN_WAIT);
                } else if *until > now {
                    prop_assert_eq!(known - started_at, *until - now);
                }
            }
            prop_assert!(restored.keys().all(|at| demanded.contains_key(at)));
        }

        /// Arbitrary bytes cause no panic, and at most [`MAX_ENTRIES`] waits are restored.
        #[test]
        fn arbitrary_bytes_cause_no_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200), now: u64) {
            if let Ok(memory) = Memory::from_bytes(&bytes) {
                prop_assert!(memory.waits_at(Micros(now)).len() <= MAX_ENTRIES);
            }
        }

        /// Numbers at the ends of their range cause no panic.
        #[test]
        fn extreme_numbers_cause_no_panic(written: u64, until: u64, now: u64) {
            let memory = Memory { written_at: Micros(written), waits: vec![(0, 1, Micros(until))], demand: vec![(1, f64::NAN), (2, f64::INFINITY)], outages: Vec::new() };
            prop_assert!(memory.waits_at(Micros(now)).len() <= 1);
        }
    }
}
