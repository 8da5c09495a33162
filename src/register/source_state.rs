//! The current state of one source, built from its updates.

use super::types::EndpointRecord;
use crate::api::Micros;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// The current state of one source.
#[derive(Debug, Default)]
pub(super) struct SourceState {
    /// Whether the source itself has sent an update.
    pub(super) has_update: bool,
    pub(super) generation: u64,
    /// When the list was last known to be current.
    pub(super) as_of: Micros,
    pub(super) records: HashMap<String, EndpointRecord>,
    /// Names of the endpoints that were explicitly removed, and when.
    pub(super) removed: HashMap<String, Micros>,
    /// Which endpoints this source lists at an address.
    owners: HashMap<SocketAddr, HashSet<String>>,
}

/// Removals remembered per source; beyond that the older half is dropped. Without a limit, the names would fill the
/// memory where endpoints come and go all day.
const MAX_REMOVED: usize = 4096;

impl SourceState {
    /// Adds or replaces an endpoint.
    pub(super) fn insert(&mut self, record: EndpointRecord) {
        self.take(&record.name);
        self.removed.remove(&record.name);
        self.owners.entry(record.addr).or_default().insert(record.name.clone());
        self.records.insert(record.name.clone(), record);
    }

    /// Drops an endpoint that is no longer listed, without remembering a removal.
    pub(super) fn take(&mut self, name: &str) -> Option<EndpointRecord> {
        let record = self.records.remove(name)?;
        if let Some(owners) = self.owners.get_mut(&record.addr) {
            owners.remove(name);
            if owners.is_empty() {
                self.owners.remove(&record.addr);
            }
        }
        Some(record)
    }

    /// Drops an endpoint that the source removes explicitly.
    pub(super) fn remove(&mut self, now: Micros, name: &str) {
        self.take(name);
        self.removed.insert(name.to_owned(), now);
        if self.removed.len() > MAX_REMOVED {
            let mut times: Vec<Micros> = self.removed.values().copied().collect();
            let (_, median, _) = times.select_nth_unstable(MAX_REMOVED / 2);
            let median = *median;
            self.removed.retain(|_, at| *at > median);
        }
    }

    /// Whether this source lists other endpoints at the address, but not the one with this name.
    pub(super) fn has_other_owner(&self, addr: SocketAddr, name: &str) -> bool {
        self.owners.get(&addr).is_some_and(|owners| !owners.contains(name))
    }
}
