//! The endpoint registry of one front, and the queries on it.

use super::exclusions::ExcludedEndpoints;
use super::guard::UnconfirmedList;
use super::kept_copy::ListSnapshot;
use super::phase::Phase;
use super::source_state::SourceState;
use super::trust::EndpointTrust;
use super::types::{EndpointRecord, EndpointState, RegistryRules, Source};
use crate::api::Micros;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

/// What is done at a deadline. Where several have the same, they are handled in this order.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A change of what may be used: the wait for discovery is over, the kept copy is too old, or the watch is stale.
    Usability,
    /// The next read that is to confirm a list.
    Reread,
    /// The end of an endpoint's hold or ejection, or of the time that its calls may be queued.
    Endpoint(String),
}

/// What the decision module was last notified of an endpoint.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Published {
    pub(super) record: EndpointRecord,
    pub(super) ejected: bool,
}

/// An endpoint that an unconfirmed list leaves out and that stays listed until `until`.
pub(super) struct HeldEndpoint {
    pub(super) record: EndpointRecord,
    pub(super) until: Micros,
}

/// One row of an overview of the endpoints in use.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointRow {
    /// The record in use.
    pub record: EndpointRecord,
    /// The source that decides it.
    pub source: Source,
    /// Time since that source's list was last known to be current.
    pub age: Micros,
    /// Whether it is missing from a list that is not confirmed yet.
    pub held: bool,
    /// Concurrent calls that the registry allows; `None`: no limit.
    pub concurrency_limit: Option<u32>,
}

/// The endpoint registry of one front.
pub struct FrontRegistry {
    pub(super) sources: BTreeMap<Source, SourceState>,
    /// Whether the watch is open and has sent something since it was opened.
    pub(super) watching: bool,
    /// Until when remembered endpoints wait for discovery, if they do.
    pub(super) discovery_wait_until: Option<Micros>,
    /// Whether that wait has been started; there is one per process run.
    pub(super) discovery_wait_started: bool,
    /// Endpoints that are missing from an unconfirmed list.
    pub(super) held: HashMap<String, HeldEndpoint>,
    pub(super) unconfirmed: Option<UnconfirmedList>,
    /// Endpoints that the operators exclude, whatever the sources list.
    pub(super) excluded: Arc<ExcludedEndpoints>,
    pub(super) trust: HashMap<String, EndpointTrust>,
    pub(super) published: HashMap<String, Published>,
    /// Every destination that has had a usable endpoint in this process run.
    pub(super) destinations: HashSet<u16>,
    /// Deadlines.
    pub(super) timers: BTreeSet<(Micros, Timer)>,
    pub(super) phase: Phase,
    /// Raised with each update from discovery.
    pub(super) revision: u64,
    pub(super) started: Micros,
    pub(super) rules: RegistryRules,
    pub(super) rng: Pcg64Mcg,
}

impl FrontRegistry {
    /// Creates a registry that knows no endpoints.
    pub fn new(rules: RegistryRules, seed: u64, now: Micros) -> FrontRegistry {
        FrontRegistry {
            sources: BTreeMap::new(),
            watching: false,
            discovery_wait_until: None,
            discovery_wait_started: false,
            held: HashMap::new(),
            unconfirmed: None,
            excluded: Arc::default(),
            trust: HashMap::new(),
            published: HashMap::new(),
            destinations: HashSet::new(),
            timers: BTreeSet::new(),
            phase: Phase::Cold,
            revision: 0,
            started: now,
            rules,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    pub(super) fn source(&self, source: Source) -> Option<&SourceState> {
        self.sources.get(&source)
    }

    pub(super) fn has_update_from(&self, source: Source) -> bool {
        self.source(source).is_some_and(|state| state.has_update)
    }

    /// The remembered list of discovery with the higher version: the kept copy or the configuration's list.
    pub(super) fn remembered(&self) -> Option<(Source, &SourceState)> {
        let copy = self.source(Source::KeptCopy).map(|state| (Source::KeptCopy, state));
        let configured = self.source(Source::Configured).map(|state| (Source::Configured, state));
        match (copy, configured) {
            (Some(copy), Some(configured)) if configured.1.generation > copy.1.generation => Some(configured),
            (Some(copy), _) => Some(copy),
            (None, configured) => configured,
        }
    }

    /// The remembered list, unless discovery has sent an update or the list is too old to be used.
    pub(super) fn usable_remembered(&self, now: Micros) -> Option<(Source, &SourceState)> {
        let fresh = |state: &SourceState| now - state.as_of <= self.rules.max_copy_age;
        self.remembered().filter(|(_, state)| {
            !self.has_update_from(Source::Discovery) && (self.rules.use_stale_copy || fresh(state))
        })
    }

    /// The list version after which discovery must be asked for changes.
    pub fn list_version(&self) -> u64 {
        match self.source(Source::Discovery).filter(|state| state.has_update) {
            Some(discovery) => discovery.generation,
            None => self.remembered().map_or(0, |(_, state)| state.generation),
        }
    }

    /// The listed endpoints, each with whether it gets no calls because it is excluded or ejected.
    pub fn members(&self) -> impl Iterator<Item = (&str, bool)> {
        self.published
            .iter()
            .map(|(name, published)| (name.as_str(), published.ejected || self.excluded.contains(name)))
    }

    /// Whether a call may still begin there: the endpoint is listed as up and not ejected.
    pub fn accepts_calls(&self, name: &str) -> bool {
        self.published.get(name).is_some_and(|p| p.record.state == EndpointState::Up && !p.ejected)
    }

    /// The destination of a listed endpoint.
    pub fn destination_of(&self, name: &str) -> Option<u16> {
        self.published.get(name).map(|published| published.record.dest)
    }

    /// Whether the endpoint is listed, in any state.
    pub fn contains(&self, name: &str) -> bool {
        self.published.contains_key(name)
    }

    /// When the next timer of [`FrontRegistry::tick`] is due.
    pub fn next_at(&self) -> Option<Micros> {
        self.timers.first().map(|timer| timer.0)
    }

    /// Whether an endpoint of this destination has been listed in this process run.
    pub fn has_destination(&self, dest: u16) -> bool {
        self.destinations.contains(&dest)
    }

    /// Whether a source that knows every destination has sent its list, so that an unlisted destination does not exist.
    pub fn destinations_known(&self) -> bool {
        self.has_update_from(Source::Discovery) || self.has_update_from(Source::Zone)
    }

    /// What the registry is based on.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the instance reports ready: at once, but without any endpoints only after `cold_ready_after`.
    pub fn ready(&self, now: Micros) -> bool {
        self.phase != Phase::Cold || now >= self.started + self.rules.cold_ready_after
    }

    /// The revision of the list that is to be kept on disk, and when the list was last confirmed. `None` until
    /// discovery has sent an update in this process run.
    pub fn revision(&self) -> Option<(u64, Micros)> {
        self.source(Source::Discovery)
            .filter(|state| state.has_update)
            .map(|discovery| (self.revision, discovery.as_of))
    }

    /// The list of that revision, including the endpoints that are held against an unconfirmed list.
    pub fn snapshot(&self) -> Option<ListSnapshot> {
        let (revision, confirmed_at) = self.revision()?;
        let discovery = self.source(Source::Discovery)?;
        let held = self.held.values().map(|held| &held.record);
        let mut records: Vec<EndpointRecord> = discovery.records.values().chain(held).cloned().collect();
        records.sort_by(|a, b| a.name.cmp(&b.name));
        Some(ListSnapshot { revision, generation: discovery.generation, confirmed_at, records })
    }

    /// The endpoints in use, by name.
    pub fn rows(&self, now: Micros) -> Vec<EndpointRow> {
        let mut rows: Vec<EndpointRow> = self
            .published
            .keys()
            .filter_map(|name| {
                let (record, source) = self.effective(now, name)?;
                let (_, concurrency_limit) = self.call_limit(now, name)?;
                let age = now - self.sources.get(&source)?.as_of;
                Some(EndpointRow {
                    record,
                    source,
                    age,
                    held: self.held.contains_key(name),
                    concurrency_limit,
                })
            })
            .collect();
        rows.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        rows
    }
}
