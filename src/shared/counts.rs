//! Requests and refusals of the whole fleet, by tenant and by destination. Each courier counts its own and publishes
//! monotonic counters; those of peers are merged by process run and version. Every fleet value carries its age and coverage.

use super::{Member, Version};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of counters kept of this courier, and of each peer.
pub const MAX_COUNTERS: usize = 1_024;
/// Maximum number of peers whose counters are kept.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum number of samples kept of a counter.
const MAX_SAMPLES: usize = 16;

/// What a counter counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum CounterKey {
    /// A tenant's messages against its quota.
    Tenant(u16),
    /// Calls to a destination.
    Destination(u16),
}

/// The published value of a counter: totals since the owner's process run began. At most 25 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Milliseconds since the owner's process run began.
    pub at_ms: u32,
    /// Messages or calls requested.
    pub requested: u64,
    /// Of these, refused.
    pub refused: u64,
}

/// How counters are published, and for how long those of peers are used.
#[derive(Debug, Clone)]
pub struct CountSettings {
    /// Configured number of couriers; a greater number is used if more have published.
    pub members: u32,
    /// Minimum time between publications of a changed counter; an idle courier publishes one counter this often.
    pub publish_interval: Micros,
    /// Window over which rates are computed.
    pub rate_window: Micros,
    /// A member that published nothing for longer is not covered.
    pub fresh_for: Micros,
    /// After `fresh_for`, a member's rate halves in each such time.
    pub half_life: Micros,
    /// Minimum coverage, 0 to 1, at which [`decide_quota`] uses the fleet's value.
    pub min_coverage: f64,
    /// Maximum age at which it does.
    pub max_age: Micros,
}

impl CountSettings {
    /// For this many couriers: published twice a second, a window of 2 s, fresh for 2 s, then halved every 2 s; a quota
    /// decision needs 0.75 of the fleet and data at most 3 s old.
    pub fn for_members(members: u32) -> CountSettings {
        let two_seconds = Micros(2_000_000);
        let publish_interval = Micros(500_000);
        CountSettings {
            members,
            publish_interval,
            rate_window: two_seconds,
            fresh_for: two_seconds,
            half_life: two_seconds,
            min_coverage: 0.75,
            max_age: Micros(3_000_000),
        }
    }
}

/// A value of the fleet: the sum over the members that published, not scaled up by coverage.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetValue {
    /// The sum: per second, or in total.
    pub value: f64,
    /// Age of the oldest contribution that counts as covered.
    pub age: Micros,
    /// Fraction of the members that contribute, 0 to 1.
    pub coverage: f64,
}

#[derive(Debug, Clone, Default)]
struct Series {
    samples: VecDeque<Tally>,
    version: u64,
    /// Sum of the last (requested, refused) counters of previous runs.
    previous_runs: (u64, u64),
}

impl Series {
    fn push(&mut self, tally: Tally, window_ms: u32) {
        // A run that is younger than the window began with all counters at zero.
        if self.samples.is_empty() && tally.at_ms <= window_ms {
            self.samples.push_back(Tally { at_ms: 0, requested: 0, refused: 0 });
        }
        self.samples.push_back(tally);
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// (requested, refused) per second over the window that ends at `end_ms` on the owner's clock.
    fn rate(&self, end_ms: u32, window_ms: u32) -> (f64, f64) {
        let begin_ms = end_ms.saturating_sub(window_ms);
        let base = self.samples.iter().rev().find(|s| s.at_ms <= begin_ms).or(self.samples.front());
        let (Some(base), Some(last)) = (base, self.samples.back()) else { return (0.0, 0.0) };
        let seconds = f64::from(end_ms.saturating_sub(base.at_ms).max(1)) / 1e3;
        // Counters come from peers and may decrease within a run; saturation keeps rates from becoming negative.
        let per_second = |new: u64, old: u64| new.saturating_sub(old) as f64 / seconds;
        (per_second(last.requested, base.requested), per_second(last.refused, base.refused))
    }

    fn totals(&self) -> (u64, u64) {
        let last = self.samples.back().map_or((0, 0), |s| (s.requested, s.refused));
        (self.previous_runs.0.saturating_add(last.0), self.previous_runs.1.saturating_add(last.1))
    }
}

#[derive(Debug, Clone)]
struct MemberCounts {
    run: u64,
    /// Time of the newest sample on the owner's clock, and the same moment on this courier's clock.
    newest_ms: u32,
    newest_at: Micros,
    series: BTreeMap<CounterKey, Series>,
}

#[derive(Debug, Clone, Default)]
struct OwnCounter {
    requested: u64,
    refused: u64,
    /// When it was last published, and the counters (requested, refused) of that publication.
    published: Option<(Micros, u64, u64)>,
    series: Series,
}

/// This courier's counters and those received from its peers.
#[derive(Debug, Clone)]
pub struct Counts {
    me: Member,
    started_at: Micros,
    settings: CountSettings,
    sampled_at: Option<Micros>,
    own: BTreeMap<CounterKey, OwnCounter>,
    others: BTreeMap<Member, MemberCounts>,
}

impl Counts {
    /// For a process run that begins `now`.
    pub fn new(me: Member, now: Micros, settings: CountSettings) -> Counts {
        Counts {
            me,
            started_at: now,
            settings,
            sampled_at: None,
            own: BTreeMap::new(),
            others: BTreeMap::new(),
        }
    }

    /// Adds to this courier's counter `key`: `requested` requests, of which `refused` were refused.
    pub fn count(&mut self, key: CounterKey, requested: u64, refused: u64) {
        if self.own.len() < MAX_COUNTERS || self.own.contains_key(&key) {
            let own = self.own.entry(key).or_default();
            own.requested = own.requested.saturating_add(requested);
            own.refused = own.refused.saturating_add(refused);
        }
    }

    /// Merges a counter that a peer published, `age` old on arrival. Returns whether it was newer than what was known.
    pub fn merge(
        &mut self, now: Micros, from: Member, version: Version, age: Micros, key: CounterKey, tally: Tally,
    ) -> bool {
        // An entry of this courier's own that comes back would be counted twice.
        if from == self.me || (self.others.len() >= MAX_MEMBERS && !self.others.contains_key(&from)) {
            return false;
        }
        let window_ms = (self.settings.rate_window.0 / 1_000) as u32;
        let at = now - age;
        let new = || MemberCounts {
            run: version.run,
            newest_ms: tally.at_ms,
            newest_at: at,
            series: BTreeMap::new(),
        };
        let member = self.others.entry(from).or_insert_with(new);
        if version.run < member.run {
            return false;
        }
        if version.run > member.run {
            // What the previous run counted remains in the total, once.
            for series in member.series.values_mut() {
                *series = Series { previous_runs: series.totals(), ..Series::default() };
            }
            (member.run, member.newest_ms, member.newest_at) = (version.run, tally.at_ms, at);
        }
        if member.series.len() >= MAX_COUNTERS && !member.series.contains_key(&key) {
            return false;
        }
        let series = member.series.entry(key).or_default();
        if !series.samples.is_empty() && version.counter <= series.version {
            return false;
        }
        series.version = version.counter;
        series.push(tally, window_ms);
        if tally.at_ms >= member.newest_ms {
            (member.newest_ms, member.newest_at) = (tally.at_ms, at);
        }
        true
    }

    /// Removes a member that has left the fleet, and its totals.
    pub fn remove_member(&mut self, member: Member) {
        self.others.remove(&member);
    }

    /// Appends the counters that are due for publication: those that changed, or else, as a sign of life, the one that was
    /// published least recently.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(CounterKey, Tally)>) {
        if self.sampled_at.is_some_and(|at| now < at + self.settings.publish_interval) {
            return;
        }
        self.sampled_at = Some(now);
        let at_ms = millis(now - self.started_at);
        let (window_ms, initial_len) = ((self.settings.rate_window.0 / 1_000) as u32, out.len());
        for (key, own) in &mut self.own {
            let tally = Tally { at_ms, requested: own.requested, refused: own.refused };
            own.series.push(tally, window_ms);
            if own
                .published
                .is_none_or(|(_, requested, refused)| (requested, refused) != (own.requested, own.refused))
            {
                own.published = Some((now, own.requested, own.refused));
                out.push((*key, tally));
            }
        }
        if out.len() == initial_len {
            if let Some((key, own)) = self.own.iter_mut().min_by_key(|(_, own)| own.published.map(|p| p.0)) {
                own.published = Some((now, own.requested, own.refused));
                out.push((*key, Tally { at_ms, requested: own.requested, refused: own.refused }));
            }
        }
    }

    /// This courier's own (requested, refused) per second.
    pub fn own_rate(&self, key: CounterKey) -> (f64, f64) {
        let end_ms = millis(self.sampled_at.unwrap_or(self.started_at) - self.started_at);
        self.own
            .get(&key)
            .map_or((0.0, 0.0), |own| own.series.rate(end_ms, (self.settings.rate_window.0 / 1_000) as u32))
    }

    /// The fleet's (requested, refused) per second.
    pub fn rate(&self, now: Micros, key: CounterKey) -> (FleetValue, FleetValue) {
        let window_ms = (self.settings.rate_window.0 / 1_000) as u32;
        let (mut requested, mut refused) = self.own_rate(key);
        for member in self.others.values() {
            let Some(series) = member.series.get(&key) else { continue };
            let (member_requested, member_refused) = series.rate(member.newest_ms, window_ms);
            // A courier that no longer publishes may have stopped: its last rate decays.
            let overdue = (now - member.newest_at) - self.settings.fresh_for;
            let remaining = 0.5f64.powf(overdue.secs() / self.settings.half_life.secs().max(1e-3));
            requested += member_requested * remaining;
            refused += member_refused * remaining;
        }
        let (age, coverage) = self.age_and_coverage(now);
        let fleet_value = |value| FleetValue { value, age, coverage };
        (fleet_value(requested), fleet_value(refused))
    }

    /// The fleet's total (requested, refused) that this run knows of; each run of each courier is included once.
    pub fn total(&self, now: Micros, key: CounterKey) -> (FleetValue, FleetValue) {
        let own = self.own.get(&key).map_or((0, 0), |own| (own.requested, own.refused));
        let others = self.others.values().filter_map(|m| m.series.get(&key)).map(Series::totals);
        let sum = others.fold(own, |sum, part| (sum.0.saturating_add(part.0), sum.1.saturating_add(part.1)));
        let (age, coverage) = self.age_and_coverage(now);
        let fleet_value = |value: u64| FleetValue { value: value as f64, age, coverage };
        (fleet_value(sum.0), fleet_value(sum.1))
    }

    fn age_and_coverage(&self, now: Micros) -> (Micros, f64) {
        let ages =
            self.others.values().map(|m| now - m.newest_at).filter(|age| *age <= self.settings.fresh_for);
        let (fresh, oldest) = ages.fold((0usize, Micros(0)), |(n, oldest), age| (n + 1, oldest.max(age)));
        let members = (self.settings.members as usize).max(self.others.len() + 1);
        (oldest, (fresh + 1) as f64 / members as f64)
    }
}

fn millis(time: Micros) -> u32 {
    u32::try_from(time.0 / 1_000).unwrap_or(u32::MAX)
}

/// The data that a quota decision uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// The fleet's traffic as published.
    Fleet,
    /// Coverage is too low or the data too old: this courier's own traffic against its even share of the quota.
    OwnShare,
}

/// The result of comparing a tenant's traffic with its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaDecision {
    /// The tenant requests more than its quota.
    pub exceeded: bool,
    /// The rate of its traffic at this courier that is within the quota, per second.
    pub within_per_s: f64,
    /// The data that was used.
    pub basis: Basis,
}

/// Compares a tenant's traffic with its `quota` in messages per second for the whole fleet; `own` is the rate at this courier.
pub fn decide_quota(quota: f64, own: f64, fleet: &FleetValue, settings: &CountSettings) -> QuotaDecision {
    if fleet.coverage < settings.min_coverage || fleet.age > settings.max_age {
        // A courier that is cut off from the fleet keeps to its even share, since the last known value may be far off by now.
        let share = quota / f64::from(settings.members.max(1));
        return QuotaDecision { exceeded: own > share, within_per_s: own.min(share), basis: Basis::OwnShare };
    }
    let total = (fleet.value / fleet.coverage).max(own);
    let within_per_s = if total > quota { own * quota / total } else { own };
    QuotaDecision { exceeded: total > quota, within_per_s, basis: Basis::Fleet }
}
