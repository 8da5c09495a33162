//! Updates for the endpoint registry, and what the decision module knows from its changes.
#![allow(dead_code)] // each test program uses its part

use indigohold::register::guard::RemovalGuard;
use indigohold::register::{
    EndpointRecord, EndpointState, FrontRegistry, ListUpdate, RegistryEffects, RegistryRules, Source,
};
use indigohold::Micros;
use std::collections::BTreeMap;

pub const S: u64 = 1_000_000;

pub fn at(secs: u64) -> Micros {
    Micros(secs * S)
}

pub fn record(name: &str, port: u16, state: EndpointState) -> EndpointRecord {
    let addr = ([127, 0, 0, 1], port).into();
    EndpointRecord {
        name: name.into(),
        addr,
        dest: 7,
        kind: "".into(),
        zone: "".into(),
        state,
        weight: 1.0,
        rank: 0,
    }
}

pub fn up_records(names: &[&str]) -> Vec<EndpointRecord> {
    names.iter().map(|n| record(n, 1000 + u16::from(n.as_bytes()[0]), EndpointState::Up)).collect()
}

pub fn full_update(source: Source, generation: u64, names: &[&str], now: Micros) -> ListUpdate {
    ListUpdate::full(source, generation, up_records(names), now)
}

pub fn partial_update(generation: u64, records: Vec<EndpointRecord>, now: Micros) -> ListUpdate {
    ListUpdate { is_full_list: false, ..ListUpdate::full(Source::Discovery, generation, records, now) }
}

/// What the decision module knows from the changes so far: each endpoint's state and whether it is ejected.
#[derive(Default)]
pub struct PublishedEndpoints(pub BTreeMap<String, (EndpointState, bool)>);

impl PublishedEndpoints {
    pub fn apply(&mut self, effects: &RegistryEffects) {
        for change in &effects.changes {
            match change.record.state {
                EndpointState::Gone => self.0.remove(&change.record.name),
                state => self.0.insert(change.record.name.clone(), (state, change.ejected)),
            };
        }
    }

    pub fn up(&self) -> Vec<&str> {
        let up = self.0.iter().filter(|(_, s)| **s == (EndpointState::Up, false));
        up.map(|(name, _)| name.as_str()).collect()
    }
}

pub fn registry_with(rules: RegistryRules) -> FrontRegistry {
    FrontRegistry::new(rules, 1, Micros(0))
}

pub fn guarded_rules() -> RegistryRules {
    RegistryRules { guard: Some(RemovalGuard::default()), ..RegistryRules::default() }
}
