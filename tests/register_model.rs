//! The endpoint registry on random histories agrees with a simple model that computes the result from scratch after each step.

#[path = "support/registry.rs"]
mod registry;

use indigohold::register::trust::CallEnd;
use indigohold::register::{EndpointRecord, EndpointState, ListUpdate, RegistryRules, Source};
use indigohold::Micros;
use proptest::prelude::*;
use registry::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
enum Step {
    FullList(Source, BTreeSet<u8>),
    Change(u8, EndpointState),
    StaticFile(BTreeSet<u8>, BTreeSet<u8>),
    WatchFailed,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let names = || proptest::collection::btree_set(0u8..6, 0..6);
    let state =
        prop_oneof![Just(EndpointState::Up), Just(EndpointState::Draining), Just(EndpointState::Gone)];
    let source =
        prop_oneof![3 => Just(Source::Discovery), 1 => Just(Source::KeptCopy), 1 => Just(Source::Configured)];
    let step = prop_oneof![
        4 => (source, names()).prop_map(|(s, n)| Step::FullList(s, n)),
        3 => (0u8..6, state).prop_map(|(n, s)| Step::Change(n, s)),
        2 => (names(), names()).prop_map(|(up, off)| Step::StaticFile(up, off)),
        1 => Just(Step::WatchFailed),
        2 => (1u64..1000).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..40)
}

fn name(n: u8) -> String {
    format!("s-{n}")
}

/// The record of an endpoint; endpoints 2 and 3 share one address.
fn entry(n: u8, state: EndpointState) -> EndpointRecord {
    record(&name(n), if n == 3 { 2 } else { u16::from(n) }, state)
}

/// The rules of the design note, applied to all updates so far; no result is carried over from step to step.
#[derive(Default)]
struct Model {
    discovery: Option<BTreeMap<u8, EndpointState>>,
    removed: BTreeSet<u8>,
    copy: Option<(u64, BTreeSet<u8>)>,
    configured: Option<(u64, BTreeSet<u8>)>,
    static_file: BTreeMap<u8, EndpointState>,
    wait_until: Option<Micros>,
}

impl Model {
    fn remembered(&self) -> BTreeSet<u8> {
        match (&self.copy, &self.configured) {
            (Some(c), Some(k)) if k.0 > c.0 => k.1.clone(),
            (Some(c), _) => c.1.clone(),
            (None, Some(k)) => k.1.clone(),
            (None, None) => BTreeSet::new(),
        }
    }

    fn expected(&self, now: Micros) -> BTreeMap<String, (EndpointState, bool)> {
        let mut out = BTreeMap::new();
        let drained_by_file = |n: u8| self.static_file.get(&n) == Some(&EndpointState::Draining);
        let in_discovery = |n: u8| self.discovery.as_ref().and_then(|records| records.get(&n).copied());
        let waits = self.wait_until.is_some_and(|at| now < at);
        for n in 0..6u8 {
            if self.removed.contains(&n) || self.static_file.get(&n) == Some(&EndpointState::Gone) {
                continue;
            }
            let in_file = self.static_file.get(&n).copied();
            let remembered = self.discovery.is_none() && self.remembered().contains(&n);
            let other = match n {
                2 => Some(3),
                3 => Some(2),
                _ => None,
            };
            let taken_by_discovery =
                in_discovery(n).is_none() && other.is_some_and(|o| in_discovery(o).is_some());
            let taken_by_file = other.is_some_and(|o| {
                matches!(self.static_file.get(&o), Some(EndpointState::Up | EndpointState::Draining))
            });
            let state = match (in_discovery(n), in_file) {
                (Some(state), _) => state,
                (None, Some(state)) if !taken_by_discovery => state,
                (None, None) if remembered && !waits && !taken_by_discovery && !taken_by_file => {
                    EndpointState::Up
                }
                _ => continue,
            };
            let state = if drained_by_file(n) { EndpointState::Draining } else { state };
            out.insert(name(n), (state, false));
        }
        out
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// After each step, the published changes add up to the result of the model.
    #[test]
    fn the_registry_agrees_with_a_simple_model(steps in steps()) {
        let mut registry = registry_with(RegistryRules::default());
        let (mut published, mut model) = (PublishedEndpoints::default(), Model::default());
        let (mut now, mut generation) = (at(1000), 1);
        for step in steps {
            generation += 1;
            now = now + Micros(1000);
            let up = |names: &BTreeSet<u8>| -> Vec<EndpointRecord> {
                names.iter().map(|n| entry(*n, EndpointState::Up)).collect()
            };
            let effects = match &step {
                Step::FullList(Source::Discovery, names) => {
                    model.discovery = Some(names.iter().map(|n| (*n, EndpointState::Up)).collect());
                    model.removed.retain(|n| !names.contains(n));
                    model.wait_until = None;
                    registry.apply_update(now, ListUpdate::full(Source::Discovery, generation, up(names), now))
                }
                Step::FullList(source, names) => {
                    let list = Some((generation, names.clone()));
                    match source {
                        Source::KeptCopy => model.copy = list,
                        _ => model.configured = list,
                    }
                    if model.discovery.is_none() && model.wait_until.is_none() {
                        model.wait_until = Some(now + RegistryRules::default().discovery_wait);
                    }
                    registry.apply_update(now, ListUpdate::full(*source, generation, up(names), now))
                }
                Step::Change(n, state) => {
                    let remembered = model.remembered();
                    let discovery = model.discovery.get_or_insert_with(|| {
                        remembered.into_iter().map(|n| (n, EndpointState::Up)).collect()
                    });
                    match state {
                        EndpointState::Gone => {
                            discovery.remove(n);
                            model.removed.insert(*n);
                        }
                        state => {
                            discovery.insert(*n, *state);
                            model.removed.remove(n);
                        }
                    }
                    model.wait_until = None;
                    registry.apply_update(now, partial_update(generation, vec![entry(*n, *state)], now))
                }
                Step::StaticFile(on, off) => {
                    let state = |n: &u8| match n % 2 { 0 => EndpointState::Gone, _ => EndpointState::Draining };
                    model.static_file = on.iter().map(|n| (*n, EndpointState::Up)).collect();
                    model.static_file.extend(off.iter().map(|n| (*n, state(n))));
                    let records = model.static_file.iter().map(|(n, s)| entry(*n, *s)).collect();
                    registry.apply_update(now, ListUpdate::full(Source::Static, generation, records, now))
                }
                Step::WatchFailed => {
                    if model.wait_until.is_some() {
                        model.wait_until = Some(Micros(0));
                    }
                    registry.watch_failed(now)
                }
                Step::Wait(ms) => {
                    now = now + Micros(ms * 1000);
                    registry.tick(now)
                }
            };
            published.apply(&effects);
            published.apply(&registry.tick(now));
            if model.wait_until.is_some_and(|until| until <= now) {
                model.wait_until = Some(Micros(0));
            }
            prop_assert_eq!(&published.0, &model.expected(now), "after {:?}", step);
            for (name, (state, _)) in &published.0 {
                prop_assert_eq!(registry.accepts_calls(name), *state == EndpointState::Up);
            }
        }
    }

    /// On any history, no more calls are in flight than allowed, and each queued call is released or rejected exactly
    /// once.
    #[test]
    fn queued_calls_are_neither_lost_nor_duplicated(
        ends in proptest::collection::vec((0u8..5, 0u8..3, 0u64..1500), 1..80)
    ) {
        let mut registry = registry_with(RegistryRules::default());
        let mut now = at(100_000);
        registry.apply_update(now, full_update(Source::KeptCopy, 5, &["a", "b", "c"], at(99_700)));
        registry.watch_failed(now);
        let (mut in_flight, mut queued) = (Vec::<(u64, &str)>::new(), BTreeMap::<u64, &str>::new());
        let mut next = 0;
        for (action, endpoint, ms) in ends {
            now = now + Micros(ms * 1000);
            let name = ["a", "b", "c"][usize::from(endpoint)];
            let mut effects = vec![registry.tick(now)];
            match action {
                0 | 1 if registry.accepts_calls(name) => {
                    next += 1;
                    if registry.admit_call(now, name, next) {
                        in_flight.push((next, name));
                    } else {
                        queued.insert(next, name);
                    }
                }
                2..=4 => {
                    if let Some(place) = in_flight.iter().position(|call| call.1 == name) {
                        in_flight.remove(place);
                        let end = [CallEnd::Answered, CallEnd::Refused, CallEnd::Lost][usize::from(action - 2)];
                        effects.push(registry.call_ended(now, name, end).1);
                    }
                }
                _ => {}
            }
            for effect in effects {
                for msg in effect.released {
                    let name = queued.remove(&msg);
                    prop_assert!(name.is_some(), "{} was not queued", msg);
                    in_flight.push((msg, name.unwrap_or_default()));
                }
                for msg in effect.rejected {
                    prop_assert!(queued.remove(&msg).is_some(), "{} was not queued", msg);
                }
            }
            for row in registry.rows(now) {
                let limit = row.concurrency_limit.unwrap_or(u32::MAX).max(64);
                let count = in_flight.iter().filter(|call| call.1 == row.record.name).count();
                prop_assert!(count as u32 <= limit, "{} calls in flight at {}", count, row.record.name);
            }
        }
        // In the end no call is left in the queue.
        let remaining = registry.tick(now + at(3));
        for msg in remaining.released.into_iter().chain(remaining.rejected) {
            prop_assert!(queued.remove(&msg).is_some());
        }
        prop_assert!(queued.is_empty(), "{:?}", queued);
    }
}
