//! Finds the kind of an endpoint by its name.

use crate::api::{KindId, Settings};
use crate::register::EndpointRecord;
use std::collections::BTreeSet;

/// Unlisted kinds beyond this number are not logged.
const MAX_LOGGED_KINDS: usize = 16;

/// The kinds that the settings list.
pub(super) struct ListedKinds {
    /// In the order of the settings; empty where they give a kind no name.
    names: Vec<String>,
    /// Unlisted kinds that have been logged.
    logged: BTreeSet<String>,
}

impl ListedKinds {
    pub(super) fn new(settings: &Settings) -> ListedKinds {
        let names = settings.kinds.iter().map(|kind| kind.name.clone()).collect();
        ListedKinds { names, logged: BTreeSet::new() }
    }

    /// The kind of an endpoint. Where the settings name no kinds, their first entry is for every endpoint.
    pub(super) fn kind_of(&mut self, record: &EndpointRecord) -> KindId {
        if self.names.iter().all(String::is_empty) {
            return KindId(0);
        }
        let position = self.names.iter().position(|name| !name.is_empty() && **name == *record.kind);
        match position.and_then(|position| u8::try_from(position).ok()) {
            Some(position) => KindId(position),
            None => {
                self.log_unlisted(record);
                KindId::UNLISTED
            }
        }
    }

    fn log_unlisted(&mut self, record: &EndpointRecord) {
        if self.logged.len() < MAX_LOGGED_KINDS && self.logged.insert(record.kind.to_string()) {
            tracing::warn!(
                target: "register",
                "{}: the settings list no kind {:?}; its endpoints get one message in a call", record.name, record.kind
            );
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::register::EndpointState;

    fn kinds(names: &[&str]) -> ListedKinds {
        let names = names.iter().map(|name| name.to_string()).collect();
        ListedKinds { names, logged: BTreeSet::new() }
    }

    fn record(kind: &str) -> EndpointRecord {
        let (addr, state) = (([127, 0, 0, 1], 1).into(), EndpointState::Up);
        EndpointRecord {
            name: "s".into(),
            addr,
            dest: 7,
            kind: kind.into(),
            zone: "".into(),
            state,
            weight: 1.0,
            rank: 0,
        }
    }

    /// Guards against limits of the first kind that are applied to endpoints of every kind that the settings lack.
    #[test]
    fn a_kind_that_is_not_listed_is_none_of_the_listed_ones() {
        let mut listed = kinds(&["print-house", "community"]);
        assert_eq!(listed.kind_of(&record("community")), KindId(1));
        assert_eq!(listed.kind_of(&record("press")), KindId::UNLISTED);
        assert_eq!(listed.kind_of(&record("")), KindId::UNLISTED);
        assert_eq!(kinds(&["", "community"]).kind_of(&record("")), KindId::UNLISTED);
        assert_eq!(kinds(&[""]).kind_of(&record("press")), KindId(0), "the settings name no kinds");
        assert_eq!(kinds(&[]).kind_of(&record("press")), KindId(0));
    }

    #[test]
    fn only_so_many_unlisted_kinds_are_logged() {
        let mut listed = kinds(&["community"]);
        for n in 0..100 {
            listed.kind_of(&record(&format!("k{n}")));
        }
        assert_eq!(listed.logged.len(), MAX_LOGGED_KINDS);
    }
}
