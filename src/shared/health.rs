//! The health of endpoints, by this courier's own observations, those that peers published, and administrative overrides.
//!
//! An override that excludes an endpoint comes first, then own fresh observations, then what several peers report. Only own
//! observations are published; peers' reports are never forwarded.

use super::{Member, Version};
use crate::Micros;
use std::collections::BTreeMap;

mod evidence;
mod probe;

pub use evidence::{Evidence, Observation};
pub use probe::ProbeTurn;

/// Maximum number of endpoints kept.
pub const MAX_ENDPOINTS: usize = 4_096;
/// Maximum number of peers whose evidence is kept for one endpoint.
pub const MAX_WITNESSES: usize = 1_024;

/// How evidence is published and assessed.
#[derive(Debug, Clone)]
pub struct HealthSettings {
    /// How long an observation remains valid.
    pub validity: Micros,
    /// Interval at which valid evidence is published again.
    pub publish_interval: Micros,
    /// How long the courier whose turn it is has to begin a probe.
    pub turn_time: Micros,
    /// Minimum number of agreeing peers for an assessment by their reports; at least 2 are always required.
    pub min_witnesses: usize,
    /// How long peers' reports of recovery are ignored after such a report was followed by a failure here.
    pub distrust_time: Micros,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        let seconds = |n: u64| Micros(n * 1_000_000);
        HealthSettings {
            validity: seconds(10),
            publish_interval: seconds(1),
            turn_time: Micros(1_500_000),
            min_witnesses: 2,
            distrust_time: seconds(10),
        }
    }
}

/// The assessed state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// Nothing is known against it.
    Free,
    /// It answers slowly.
    Slow,
    /// It has recovered; this courier may send it at most its share of the endpoint's rate.
    Cold,
    /// It is out: probes only.
    Out,
    /// It must not be called until then.
    Shut(Micros),
    /// Excluded by an operator: not even probes.
    Banned,
}

/// The source of an assessment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// None.
    Nothing,
    /// An administrative override.
    Hand,
    /// This courier's own observation.
    Own,
    /// Reports of peers: how many agree, and how many contradict.
    Hearsay(usize, usize),
}

/// An assessment of an endpoint, its source, and the age of the newest evidence for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assessment {
    /// The assessed state.
    pub belief: Belief,
    /// The source.
    pub basis: Basis,
    /// Age of the newest evidence for it.
    pub age: Micros,
}

/// An operator's override for an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Override {
    /// Nothing is sent there.
    Exclude,
    /// It is used whatever peers report; own observations still count.
    Trust,
}

#[derive(Debug, Clone)]
struct OwnEvidence {
    observation: Observation,
    at: Micros,
    until: Micros,
    probes: u16,
    /// When this courier last began a probe.
    probed_at: Option<Micros>,
    /// No courier probes before that.
    probe_after: Micros,
    /// Peers' reports of recovery are ignored until then.
    distrust_until: Micros,
    published_at: Option<Micros>,
}

#[derive(Debug, Clone)]
struct PeerEvidence {
    version: Version,
    observation: Observation,
    at: Micros,
    until: Micros,
    probes: u16,
    probed_at: Option<Micros>,
}

/// One courier's view of the health of endpoints. An endpoint is identified by a number that all couriers compute alike from
/// its address and port.
#[derive(Debug, Clone)]
pub struct SharedHealth {
    me: Member,
    settings: HealthSettings,
    own: BTreeMap<u64, OwnEvidence>,
    others: BTreeMap<u64, BTreeMap<Member, PeerEvidence>>,
    overrides: BTreeMap<u64, Override>,
}

impl SharedHealth {
    /// Without any evidence.
    pub fn new(me: Member, settings: HealthSettings) -> SharedHealth {
        SharedHealth {
            me,
            settings,
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            overrides: BTreeMap::new(),
        }
    }

    /// Sets or ends an operator's override. Ending an exclusion also drops own evidence: an operator who includes the endpoint
    /// again says that it serves, and earlier observations would keep it out for as long as they are valid.
    pub fn set_override(&mut self, endpoint: u64, new: Option<Override>) {
        match new {
            Some(new) if self.overrides.len() < MAX_ENDPOINTS => {
                self.overrides.insert(endpoint, new);
            }
            Some(_) => {}
            None => {
                if self.overrides.remove(&endpoint) == Some(Override::Exclude) {
                    self.own.remove(&endpoint);
                }
            }
        }
    }

    /// Records an observation of this courier. `retry` is when the endpoint may be probed, if it is out.
    pub fn observe(&mut self, now: Micros, endpoint: u64, observation: Observation, retry: Micros) {
        if self.own.len() >= MAX_ENDPOINTS && !self.own.contains_key(&endpoint) {
            self.own.retain(|_, o| now < o.until);
            if self.own.len() >= MAX_ENDPOINTS {
                return;
            }
        }
        let misled = observation == Observation::Out
            && matches!(
                self.assess(now, endpoint),
                Assessment { belief: Belief::Cold, basis: Basis::Hearsay(..), .. }
            );
        let old = self.own.get(&endpoint);
        let changed = observation == Observation::Out || old.is_none_or(|o| o.observation != observation);
        let mut own = OwnEvidence {
            observation,
            at: now,
            until: now + self.settings.validity,
            probes: old.map_or(0, |o| o.probes),
            // Kept if the probe failed; without it, the turns of all other couriers would be long past.
            probed_at: old.and_then(|o| o.probed_at).filter(|_| observation == Observation::Out),
            probe_after: retry,
            distrust_until: old.map_or(Micros(0), |o| o.distrust_until),
            published_at: if changed { None } else { old.and_then(|o| o.published_at) },
        };
        match observation {
            Observation::Out => {
                // Valid over several probes by peers: if all forgot it at the same time, each would probe.
                own.until = now.max(retry) + self.settings.validity.scale(3.0);
                if misled {
                    // A peer that reports falsely, or has a better link, would otherwise make this courier call the
                    // endpoint again at each of its reports.
                    own.distrust_until = now + self.settings.distrust_time;
                }
            }
            Observation::Shut(wait_ms) => own.until = now + Micros(u64::from(wait_ms) * 1_000),
            _ => own.probes = 0,
        }
        self.own.insert(endpoint, own);
    }

    /// Takes in what a peer observed itself, `age` old on arrival. Returns whether it was accepted: evidence that is not newer
    /// than what is known, or has expired, is not.
    pub fn receive(
        &mut self, now: Micros, from: Member, version: Version, endpoint: u64, age: Micros,
        evidence: Evidence,
    ) -> bool {
        let millis = |ms: u32| Micros(u64::from(ms) * 1_000);
        let ago = |ms: u32| now - (age + millis(ms));
        // The validity is chosen by the peer; it is limited to four times what this courier would give.
        let until = now - age + Micros(millis(evidence.valid_ms).0.min(self.settings.validity.0 * 4));
        let has_capacity = self.others.len() < MAX_ENDPOINTS || self.others.contains_key(&endpoint);
        if from == self.me || !has_capacity || now >= until {
            return false;
        }
        let peers = self.others.entry(endpoint).or_default();
        peers.retain(|_, p| now < p.until);
        if peers.get(&from).is_some_and(|p| p.version >= version)
            || (peers.len() >= MAX_WITNESSES && !peers.contains_key(&from))
        {
            return false;
        }
        let (at, probed_at) = (ago(evidence.age_ms), evidence.since_probe_ms.map(ago));
        peers.insert(
            from,
            PeerEvidence {
                version,
                observation: evidence.observation,
                at,
                until,
                probes: evidence.probes,
                probed_at,
            },
        );
        true
    }

    /// Removes a member that has left the fleet, and its evidence.
    pub fn remove_member(&mut self, member: Member) {
        self.others.retain(|_, peers| {
            peers.remove(&member);
            !peers.is_empty()
        });
    }

    /// Appends the own evidence that is due for publication: what is new, or was not published for
    /// [`HealthSettings::publish_interval`]. Never what was received.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(u64, Evidence)>) {
        let millis = |time: Micros| u32::try_from(time.0 / 1_000).unwrap_or(u32::MAX);
        self.own.retain(|_, o| now < o.until);
        for (endpoint, own) in &mut self.own {
            if own.published_at.is_some_and(|at| now < at + self.settings.publish_interval) {
                continue;
            }
            own.published_at = Some(now);
            let observation = match own.observation {
                Observation::Shut(_) => Observation::Shut(millis(own.until - now)),
                other => other,
            };
            let (age_ms, valid_ms, since_probe_ms) =
                (millis(now - own.at), millis(own.until - now), own.probed_at.map(|at| millis(now - at)));
            out.push((
                *endpoint,
                Evidence { observation, age_ms, valid_ms, probes: own.probes, since_probe_ms },
            ));
        }
        self.others.retain(|_, peers| {
            peers.retain(|_, p| now < p.until);
            !peers.is_empty()
        });
    }

    /// Assesses an endpoint.
    pub fn assess(&self, now: Micros, endpoint: u64) -> Assessment {
        let by_operator = self.overrides.get(&endpoint);
        if by_operator == Some(&Override::Exclude) {
            return Assessment { belief: Belief::Banned, basis: Basis::Hand, age: Micros(0) };
        }
        if let Some(own) = self.own.get(&endpoint).filter(|o| now < o.until) {
            return self.assess_own(now, endpoint, own);
        }
        match by_operator {
            Some(_) => Assessment { belief: Belief::Free, basis: Basis::Hand, age: Micros(0) },
            None => self.assess_peers(now, endpoint),
        }
    }

    /// Own evidence outranks that of peers, with one exception: it is out here, and has answered a peer since.
    fn assess_own(&self, now: Micros, endpoint: u64, own: &OwnEvidence) -> Assessment {
        let assessment = |belief| Assessment { belief, basis: Basis::Own, age: now - own.at };
        match own.observation {
            Observation::Served => assessment(Belief::Free),
            Observation::Slow => assessment(Belief::Slow),
            Observation::Cold => assessment(Belief::Cold),
            Observation::Shut(_) => assessment(Belief::Shut(own.until)),
            Observation::Out => {
                let recovered = |p: &&PeerEvidence| {
                    now < p.until && p.observation.answers() && p.at > own.at && now >= own.distrust_until
                };
                // Peers whose probe was answered report it as new; that allows calls at a limited rate.
                let reports: Vec<&PeerEvidence> =
                    self.witnesses(endpoint).map(|(_, p)| p).filter(recovered).collect();
                let Some(newest) = reports.iter().map(|p| p.at).max() else {
                    return assessment(Belief::Out);
                };
                Assessment {
                    belief: Belief::Cold,
                    basis: Basis::Hearsay(reports.len(), 0),
                    age: now - newest,
                }
            }
        }
    }

    fn assess_peers(&self, now: Micros, endpoint: u64) -> Assessment {
        let reports: Vec<&PeerEvidence> =
            self.witnesses(endpoint).map(|(_, p)| p).filter(|p| now < p.until).collect();
        // A courier with a bad link, or a part of the fleet with one, must not take an endpoint out for the others. A report
        // contradicts if it observed something else since the first of the agreeing ones; an earlier one proves nothing.
        let majority = |matches: &dyn Fn(Observation) -> bool| {
            let agreeing: Vec<&&PeerEvidence> = reports.iter().filter(|p| matches(p.observation)).collect();
            let first = agreeing.iter().map(|p| p.at).min().unwrap_or(Micros(0));
            let against = reports.iter().filter(|p| !matches(p.observation) && p.at >= first).count();
            let enough = agreeing.len() >= self.settings.min_witnesses.max(2) && agreeing.len() > against * 2;
            let age = agreeing.iter().map(|p| now - p.at).min().unwrap_or(Micros(0));
            enough.then_some((Basis::Hearsay(agreeing.len(), against), age))
        };
        if let Some((basis, age)) = majority(&|o| matches!(o, Observation::Shut(_))) {
            // The second earliest end, so that a single peer that exaggerates extends the wait no further than another reports.
            let mut ends: Vec<Micros> = reports.iter().filter_map(|p| p.shut_until()).collect();
            ends.sort_unstable();
            return Assessment { belief: Belief::Shut(ends[1]), basis, age };
        }
        let kinds: [(&dyn Fn(Observation) -> bool, Belief); 3] = [
            (&|o| o == Observation::Out, Belief::Out),
            // Recovered at one peer and out at others: two reports that it is not at full rate.
            (&|o| matches!(o, Observation::Cold | Observation::Out), Belief::Cold),
            (&|o| o == Observation::Slow, Belief::Slow),
        ];
        for (matches, belief) in kinds {
            if let Some((basis, age)) = majority(matches) {
                return Assessment { belief, basis, age };
            }
        }
        Assessment { belief: Belief::Free, basis: Basis::Nothing, age: Micros(0) }
    }

    /// Whether any peer reports a fault of the endpoint; if so, this courier's own good observation is worth publishing.
    pub fn disputed(&self, now: Micros, endpoint: u64) -> bool {
        let reports_fault = |p: &PeerEvidence| now < p.until && !matches!(p.observation, Observation::Served);
        self.witnesses(endpoint).any(|(_, p)| reports_fault(p))
    }

    fn witnesses(&self, endpoint: u64) -> impl Iterator<Item = (&Member, &PeerEvidence)> {
        self.others.get(&endpoint).into_iter().flatten()
    }
}

impl PeerEvidence {
    fn shut_until(&self) -> Option<Micros> {
        match self.observation {
            Observation::Shut(_) => Some(self.until),
            _ => None,
        }
    }
}

/// The rate in calls per second that this courier may send to a cold endpoint: the fleet's rate for it times the share of the
/// destination's lease that is in force here. Summed over the fleet, that is at most the fleet's rate, as the lease's sum is
/// bounded.
pub fn cold_rate(fleet_rate: f64, in_force: u32) -> f64 {
    fleet_rate * f64::from(in_force) / f64::from(super::lease::LIMIT_UNITS)
}
