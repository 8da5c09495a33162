//! The endpoint registry: which endpoints exist, according to every source that the courier has. No I/O, no clock, no
//! threads: updates from sources, the ends of calls and the time come in as events; endpoint records for the decision
//! module come out.
//!
//! Each front has a [`FrontRegistry`] with up to five [`Source`]s. `docs/design/register.md` has the full precedence
//! table. In short: an explicit `removed` or `draining` from discovery or from the operators' static file overrides
//! everything else; otherwise the first source that lists an endpoint decides its record; remembered lists (the kept
//! copy, the list in the configuration) are used only until discovery has sent an update; and an address that two
//! sources give to different endpoints belongs to the endpoint that the preferred source names.
//!
//! [`trust`] limits the calls to a remembered endpoint, [`guard`] holds back list updates that would remove too many
//! endpoints, and [`phase`] summarises what the registry is based on.

pub mod address_rotation;
mod calls;
pub mod config;
pub mod discovery_timing;
pub mod exclusions;
mod front;
pub mod guard;
pub mod kept_changes;
pub mod kept_copy;
pub mod list;
mod list_changes;
pub mod phase;
mod resolve;
mod source_state;
pub mod static_file;
pub mod trust;
mod types;
mod updates;

pub use front::{EndpointRow, FrontRegistry};
pub use types::{
    EndpointChange, EndpointRecord, EndpointState, ListUpdate, RegistryEffects, RegistryRules, Source,
};

use crate::api::Micros;
use exclusions::ExcludedEndpoints;
use kept_copy::ListSnapshot;
use std::collections::BTreeMap;
use std::sync::Arc;

/// The endpoint registries of all fronts.
pub struct Registry {
    fronts: BTreeMap<u8, FrontRegistry>,
    excluded: Arc<ExcludedEndpoints>,
    rules: RegistryRules,
    seed: u64,
}

impl Registry {
    /// Creates an empty registry. `seed` drives the jitter of its pauses.
    pub fn new(rules: RegistryRules, seed: u64) -> Registry {
        Registry { fronts: BTreeMap::new(), excluded: Arc::default(), rules, seed }
    }

    /// Returns the registry of a front, and creates it if there is none.
    pub fn front_mut(&mut self, front: u8, now: Micros) -> &mut FrontRegistry {
        let (rules, seed) = (&self.rules, self.seed ^ u64::from(front));
        let excluded = &self.excluded;
        self.fronts.entry(front).or_insert_with(|| FrontRegistry {
            excluded: excluded.clone(),
            ..FrontRegistry::new(rules.clone(), seed, now)
        })
    }

    /// Returns the registry of a front, if it has one.
    pub fn front(&self, front: u8) -> Option<&FrontRegistry> {
        self.fronts.get(&front)
    }

    /// Replaces the set of administratively excluded endpoints in all fronts. Returns, for each front, the names of the
    /// listed endpoints that are no longer excluded, and the effects.
    pub fn set_excluded(
        &mut self, now: Micros, excluded: Arc<ExcludedEndpoints>,
    ) -> Vec<(u8, Vec<String>, RegistryEffects)> {
        self.excluded = excluded.clone();
        let results =
            self.fronts.iter_mut().map(|(front, registry)| (*front, registry.set_excluded(now, &excluded)));
        results.map(|(front, (restored, effects))| (front, restored, effects)).collect()
    }

    /// Returns the list of each front to which discovery has sent an update in this process run.
    pub fn snapshots(&self) -> Vec<(u8, ListSnapshot)> {
        self.fronts.iter().filter_map(|(front, registry)| Some((*front, registry.snapshot()?))).collect()
    }

    /// Returns the listed endpoints of all fronts, as [`FrontRegistry::members`] does for one.
    pub fn members(&self) -> impl Iterator<Item = (u8, &str, bool)> {
        self.fronts.iter().flat_map(|(front, registry)| {
            registry.members().map(|(name, unavailable)| (*front, name, unavailable))
        })
    }

    /// Fires the timers that are due in any front.
    pub fn tick(&mut self, now: Micros) -> Vec<(u8, RegistryEffects)> {
        let due =
            self.fronts.iter_mut().filter(|(_, registry)| registry.next_at().is_some_and(|at| at <= now));
        due.map(|(front, registry)| (*front, registry.tick(now))).collect()
    }
}
