//! What an update of discovery changes in its list, for the change log of the kept copy.

use super::front::FrontRegistry;
use super::types::{EndpointRecord, EndpointState, ListUpdate, Source};
use std::collections::{BTreeSet, HashMap};

/// Records of the kept list before an update, by name.
pub(super) struct RecordsBefore {
    records: HashMap<String, EndpointRecord>,
    /// The update concerns all endpoints, and not only those that it names.
    of_all: bool,
}

impl FrontRegistry {
    /// The records that are kept on disk and that an update may change.
    pub(super) fn records_before(&self, update: &ListUpdate) -> RecordsBefore {
        if !self.has_update_from(Source::Discovery) {
            let kept = self.source(Source::KeptCopy);
            let records = kept.map_or_else(HashMap::new, |copy| copy.records.clone());
            return RecordsBefore { records, of_all: true };
        }
        let names: BTreeSet<&str> = match update.is_full_list {
            true => self.kept_names(),
            false => update.records.iter().map(|record| record.name.as_str()).collect(),
        };
        let record = |name: &str| Some((name.to_owned(), self.kept_record(name)?.clone()));
        RecordsBefore { records: names.into_iter().filter_map(record).collect(), of_all: update.is_full_list }
    }

    /// The records that have changed since, in the order of their names; those no longer listed are `Gone`.
    pub(super) fn records_changed_since(
        &self, before: &RecordsBefore, updated_names: &[String],
    ) -> Vec<EndpointRecord> {
        let mut names: BTreeSet<&str> = before.records.keys().map(String::as_str).collect();
        names.extend(updated_names.iter().map(String::as_str));
        if before.of_all {
            names.extend(self.kept_names());
        }
        let change = |name: &str| match (before.records.get(name), self.kept_record(name)) {
            (before, Some(now)) if before != Some(now) => Some(now.clone()),
            (Some(before), None) => Some(EndpointRecord { state: EndpointState::Gone, ..before.clone() }),
            _ => None,
        };
        names.into_iter().filter_map(change).collect()
    }

    /// The record of an endpoint in the list that is kept.
    fn kept_record(&self, name: &str) -> Option<&EndpointRecord> {
        let listed = self.source(Source::Discovery).and_then(|discovery| discovery.records.get(name));
        listed.or_else(|| self.held.get(name).map(|held| &held.record))
    }

    fn kept_names(&self) -> BTreeSet<&str> {
        let listed =
            self.source(Source::Discovery).into_iter().flat_map(|discovery| discovery.records.keys());
        listed.chain(self.held.keys()).map(String::as_str).collect()
    }
}
