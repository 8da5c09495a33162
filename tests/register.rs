//! The register alone, without sockets or clock: who wins, what is not believed at once, how far memory is trusted,
//! and, on random histories, that it never differs from a plain model that decides everything anew each time.

use indigohold::register::guard::RemovalGuard;
use indigohold::register::phase::Phase;
use indigohold::register::trust::{CallEnd, CallReport};
use indigohold::register::{
    EndpointRecord, EndpointState, FrontRegistry, ListUpdate, RegistryEffects, RegistryRules, Source,
};
use indigohold::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const S: u64 = 1_000_000;

fn at(secs: u64) -> Micros {
    Micros(secs * S)
}

fn line(name: &str, port: u16, state: EndpointState) -> EndpointRecord {
    let addr = ([127, 0, 0, 1], port).into();
    EndpointRecord { name: name.into(), addr, dest: 7, kind: 0, zone: 0, state, weight: 1.0, rank: 0 }
}

fn ups(names: &[&str]) -> Vec<EndpointRecord> {
    names.iter().map(|n| line(n, 1000 + u16::from(n.as_bytes()[0]), EndpointState::Up)).collect()
}

fn whole(source: Source, generation: u64, names: &[&str], now: Micros) -> ListUpdate {
    ListUpdate::full(source, generation, ups(names), now)
}

fn part(generation: u64, lines: Vec<EndpointRecord>, now: Micros) -> ListUpdate {
    ListUpdate { is_full_list: false, ..ListUpdate::full(Source::Discovery, generation, lines, now) }
}

/// What the module knows by the changes told so far.
#[derive(Default)]
struct Told(BTreeMap<String, (EndpointState, bool)>);

impl Told {
    fn apply_update(&mut self, news: &RegistryEffects) {
        for change in &news.changes {
            match change.record.state {
                EndpointState::Gone => self.0.remove(&change.record.name),
                state => self.0.insert(change.record.name.clone(), (state, change.ejected)),
            };
        }
    }

    fn up(&self) -> Vec<&str> {
        let up = self.0.iter().filter(|(_, s)| **s == (EndpointState::Up, false));
        up.map(|(name, _)| name.as_str()).collect()
    }
}

fn book(rules: RegistryRules) -> FrontRegistry {
    FrontRegistry::new(rules, 1, Micros(0))
}

fn guarded() -> RegistryRules {
    RegistryRules { guard: Some(RemovalGuard::default()), ..RegistryRules::default() }
}

#[test]
fn memory_waits_serves_and_yields_to_discovery() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(100), whole(Source::KeptCopy, 5, &["a", "b"], at(90))));
    assert_eq!((book.phase(), told.up()), (Phase::FromCopy, vec![]), "discovery may still speak");
    assert!(book.has_destination(7) && !book.destinations_known(), "its messages are taken on meanwhile");
    assert_eq!(book.list_version(), 5);
    told.apply_update(&book.tick(at(100) + Micros(499_999)));
    assert_eq!(told.up(), Vec::<&str>::new());
    told.apply_update(&book.tick(at(100) + Micros(500_000)));
    assert_eq!(told.up(), ["a", "b"]);
    told.apply_update(&book.apply_update(at(130), whole(Source::Discovery, 9, &["b", "c"], at(130))));
    assert_eq!((book.phase(), told.up()), (Phase::Live, vec!["b", "c"]));
}

#[test]
fn a_failed_watch_ends_the_wait_and_changes_build_on_memory() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(100), whole(Source::Configured, 3, &["x"], at(100))));
    told.apply_update(&book.apply_update(at(100), whole(Source::KeptCopy, 5, &["a", "b"], at(90))));
    told.apply_update(&book.watch_failed(at(100)));
    assert_eq!(told.up(), ["a", "b"], "the later of the two memories, at once");
    told.apply_update(&book.apply_update(
        at(110),
        part(6, vec![line("c", 1, EndpointState::Up), line("a", 2, EndpointState::Gone)], at(110)),
    ));
    assert_eq!((told.up(), book.list_version()), (vec!["b", "c"], 6));
}

#[test]
fn a_copy_that_is_too_old_is_listed_but_not_used() {
    let day = 24 * 3600;
    for (use_stale_copy, up) in [(false, vec![]), (true, vec!["a"])] {
        let (mut book, mut told) =
            (book(RegistryRules { use_stale_copy, ..RegistryRules::default() }), Told::default());
        told.apply_update(&book.apply_update(at(2 * day), whole(Source::KeptCopy, 5, &["a"], at(1))));
        told.apply_update(&book.watch_failed(at(2 * day)));
        assert_eq!(told.up(), up);
        assert_eq!(book.list_version(), 5, "discovery is asked for what changed since");
        assert_eq!(book.has_destination(7), use_stale_copy, "nothing is taken on that could not be sent");
        assert_eq!(book.phase(), if use_stale_copy { Phase::FromCopy } else { Phase::Cold });
    }
    // One that grows too old while it is used goes out of use.
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(day), whole(Source::KeptCopy, 5, &["a"], at(10))));
    told.apply_update(&book.watch_failed(at(day)));
    assert_eq!(told.up(), ["a"]);
    told.apply_update(&book.tick(at(day + 11)));
    assert_eq!((told.up(), book.phase()), (vec![], Phase::Cold));
}

#[test]
fn explicit_words_bind_whatever_else_is_known() {
    for source in [Source::Static, Source::KeptCopy, Source::Configured] {
        let (mut book, mut told) = (book(guarded()), Told::default());
        told.apply_update(&book.apply_update(at(100), whole(source, 5, &["a", "b", "d"], at(100))));
        told.apply_update(&book.watch_failed(at(100)));
        assert_eq!(told.up(), ["a", "b", "d"]);
        let gone = vec![line("a", 1097, EndpointState::Gone), line("b", 1098, EndpointState::Draining)];
        told.apply_update(&book.apply_update(at(101), part(6, gone, at(101))));
        assert_eq!(told.up(), ["d"], "{source:?}");
        assert!(!book.accepts_calls("a") && !book.accepts_calls("b") && book.accepts_calls("d"));
    }
    // The operators' word binds too, and theirs alone lifts it.
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 1, &["a", "b"], at(1))));
    let lines = vec![line("a", 1097, EndpointState::Draining), line("b", 1098, EndpointState::Gone)];
    told.apply_update(&book.apply_update(at(2), ListUpdate::full(Source::Static, 1, lines, at(2))));
    told.apply_update(&book.apply_update(at(3), whole(Source::Discovery, 2, &["a", "b"], at(3))));
    assert_eq!(told.up(), Vec::<&str>::new());
    told.apply_update(&book.apply_update(at(4), whole(Source::Static, 2, &[], at(4))));
    assert_eq!(told.up(), ["a", "b"]);
}

#[test]
fn an_address_belongs_to_whom_the_better_source_says() {
    let (mut book, mut told) = (book(guarded()), Told::default());
    let old = vec![line("old", 1, EndpointState::Up), line("stays", 2, EndpointState::Up)];
    told.apply_update(&book.apply_update(at(1), ListUpdate::full(Source::Static, 1, old, at(1))));
    assert_eq!(told.up(), ["old", "stays"]);
    told.apply_update(&book.apply_update(
        at(2),
        ListUpdate::full(Source::Discovery, 1, vec![line("new", 1, EndpointState::Up)], at(2)),
    ));
    assert_eq!(told.up(), ["new", "stays"], "nothing meant for one goes to the other");
    // Also where it is only held against a list that is not believed.
    let (mut book, mut told) = (self::book(guarded()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 9, &["a", "b", "c", "d"], at(1))));
    told.apply_update(&book.apply_update(
        at(2),
        ListUpdate::full(Source::Discovery, 10, vec![line("n", 1000 + 97, EndpointState::Up)], at(2)),
    ));
    assert_eq!(told.up(), ["b", "c", "d", "n"]);
}

#[test]
fn an_empty_list_is_not_believed_until_it_is_reread_list() {
    let (mut book, mut told) = (book(guarded()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 9, &["a", "b", "c", "d"], at(1))));
    let news = book.apply_update(at(2), whole(Source::Discovery, 10, &[], at(2)));
    assert!(!news.reread_list && news.changes.is_empty(), "it is not read in a circle: {news:?}");
    assert_eq!(book.phase(), Phase::Provisional);
    assert_eq!(book.snapshot().unwrap().records.len(), 4, "nor is it kept");
    // What refuses a call there is gone at once.
    assert!(book.admit_call(at(2), "a", 1));
    let (_, news) = book.call_ended(at(2), "a", CallEnd::Refused);
    told.apply_update(&news);
    assert_eq!(told.up(), ["b", "c", "d"]);
    // What drains explicitly is draining.
    told.apply_update(
        &book.apply_update(at(2), part(11, vec![line("b", 1098, EndpointState::Draining)], at(2))),
    );
    assert_eq!(told.up(), ["c", "d"]);
    assert!(book.tick(at(3)).reread_list, "it asks for the second word itself");
    told.apply_update(&book.apply_update(at(4), whole(Source::Discovery, 11, &[], at(4))));
    assert_eq!((told.up(), book.phase()), (vec![], Phase::Live), "read twice: believed");
}

#[test]
fn what_is_held_returns_or_ends() {
    let (mut book, mut told) = (book(guarded()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 9, &["a", "b", "c", "d"], at(1))));
    told.apply_update(&book.apply_update(at(2), whole(Source::Discovery, 3, &["a"], at(2))));
    assert_eq!((told.up(), book.phase()), (vec!["a", "b", "c", "d"], Phase::Provisional), "an older list");
    told.apply_update(&book.apply_update(at(3), whole(Source::Discovery, 12, &["a", "b", "c", "e"], at(3))));
    assert_eq!(
        (told.up(), book.phase()),
        (vec!["a", "b", "c", "e"], Phase::Live),
        "a good one ends the doubt"
    );
    told.apply_update(&book.apply_update(at(5), whole(Source::Discovery, 13, &["a"], at(5))));
    assert_eq!(told.up(), ["a", "b", "c", "e"]);
    told.apply_update(&book.tick(at(36)));
    assert_eq!((told.up(), book.phase()), (vec!["a"], Phase::Live), "nobody named them again");
}

#[test]
fn an_older_list_lifts_no_removal() {
    let (mut book, mut told) = (book(guarded()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 9, &["a", "b"], at(1))));
    told.apply_update(&book.apply_update(at(1), part(10, vec![line("a", 1097, EndpointState::Gone)], at(1))));
    told.apply_update(&book.apply_update(at(2), whole(Source::Discovery, 8, &["a", "b"], at(2))));
    assert_eq!(told.up(), ["b"]);
    told.apply_update(&book.apply_update(at(4), whole(Source::Discovery, 8, &["a", "b"], at(4))));
    assert_eq!(told.up(), ["a", "b"], "said twice");
}

/// The platform: whatever discovery has written counts as told.
#[test]
fn without_the_guard_every_list_binds() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 9, &["a", "b", "c", "d"], at(1))));
    told.apply_update(&book.apply_update(at(2), whole(Source::Discovery, 3, &[], at(2))));
    assert_eq!((told.up(), book.phase()), (vec![], Phase::Live));
}

#[test]
fn an_entry_that_can_not_be_read_ends_nothing() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 9, &["a", "b"], at(1))));
    let word = ListUpdate { unreadable: vec!["b".into()], ..whole(Source::Discovery, 10, &["a"], at(2)) };
    told.apply_update(&book.apply_update(at(2), word));
    assert_eq!(told.up(), ["a", "b"]);
}

#[test]
fn a_remembered_backend_gets_its_calls_one_by_one() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(10_000), whole(Source::KeptCopy, 5, &["a", "b"], at(10))));
    told.apply_update(&book.watch_failed(at(10_000)));
    let calls: Vec<bool> = (0..5).map(|msg| book.admit_call(at(10_000), "a", msg)).collect();
    assert_eq!(calls, [true, false, false, false, false]);
    assert!(book.admit_call(at(10_000), "b", 9), "each for itself");
    let (heard, news) = book.call_ended(at(10_001), "a", CallEnd::Answered);
    assert_eq!((heard, news.released), (CallReport::AsIs, vec![1, 2]), "twice as many, in their order");
    assert!(book.cancel_waiting_call("a", 3) && !book.cancel_waiting_call("a", 3));
    // Discovery speaks: the rest go at once.
    assert_eq!(book.apply_update(at(10_001), whole(Source::Discovery, 6, &["a"], at(10_001))).released, [4]);
    assert!((20..90).all(|msg| book.admit_call(at(10_001), "a", msg)), "it is listed now");
}

#[test]
fn a_dead_machine_of_an_old_list_is_benched_and_says_nothing_of_its_siblings() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(10_000), whole(Source::KeptCopy, 5, &["a", "b"], at(10))));
    told.apply_update(&book.watch_failed(at(10_000)));
    assert!(book.admit_call(at(10_000), "a", 1) && !book.admit_call(at(10_000), "a", 2));
    let (heard, news) = book.call_ended(at(10_000), "a", CallEnd::Refused);
    assert_eq!((heard, &news.rejected), (CallReport::AsUnsent, &vec![2]), "nobody waits for a dead one");
    told.apply_update(&news);
    assert_eq!((told.up(), book.accepts_calls("a")), (vec!["b"], false));
    told.apply_update(&book.tick(at(10_000) + Micros(374_999)));
    assert_eq!(told.up(), ["b"]);
    told.apply_update(&book.tick(at(10_000) + Micros(625_000)));
    assert_eq!(told.up(), ["a", "b"], "it is tried again");
    // Listed by discovery, a refusal is what it is.
    told.apply_update(&book.apply_update(at(10_002), whole(Source::Discovery, 6, &["a", "b"], at(10_002))));
    assert!(book.admit_call(at(10_002), "a", 3));
    assert_eq!(book.call_ended(at(10_002), "a", CallEnd::Refused).0, CallReport::AsIs);
}

#[test]
fn a_call_does_not_wait_for_ever() {
    let mut book = book(RegistryRules::default());
    book.apply_update(at(10_000), whole(Source::KeptCopy, 5, &["a"], at(10)));
    book.watch_failed(at(10_000));
    assert!(book.admit_call(at(10_000), "a", 1) && !book.admit_call(at(10_000), "a", 2));
    assert_eq!(book.tick(at(10_001)).rejected, Vec::<u64>::new());
    assert_eq!(book.tick(at(10_002)).rejected, [2]);
    // Nor for one that is listed no more.
    assert!(!book.admit_call(at(10_003), "a", 3));
    assert_eq!(book.apply_update(at(10_003), whole(Source::Discovery, 6, &["b"], at(10_003))).rejected, [3]);
}

/// What has answered in this life is as good as ever while discovery is silent.
#[test]
fn an_outage_of_discovery_bounds_nothing_that_answers() {
    let (mut book, mut told) = (book(RegistryRules::default()), Told::default());
    told.apply_update(&book.apply_update(at(1), whole(Source::Discovery, 5, &["a", "b"], at(1))));
    for msg in 0..10 {
        assert!(book.admit_call(at(1), "a", msg));
        book.call_ended(at(1), "a", CallEnd::Answered);
    }
    told.apply_update(&book.watch_failed(at(2)));
    assert_eq!(book.phase(), Phase::Live, "a watch that breaks is opened again within moments");
    told.apply_update(&book.tick(at(12)));
    assert_eq!((book.phase(), told.up()), (Phase::Stale, vec!["a", "b"]));
    assert!((100..200).all(|msg| book.admit_call(at(3600), "a", msg)));
    assert!(
        book.admit_call(at(3600), "b", 200) && !book.admit_call(at(3600), "b", 201),
        "it was never called"
    );
    let news = book.heartbeat(at(3601));
    assert_eq!((book.phase(), news.released), (Phase::Live, vec![201]));
}

#[test]
fn readiness_follows_its_stated_rule() {
    let rules = RegistryRules { cold_ready_after: at(5), ..RegistryRules::default() };
    let mut book = FrontRegistry::new(rules, 1, at(100));
    assert!(!book.ready(at(104)) && book.ready(at(105)), "nothing is known: ready to refuse");
    book.apply_update(at(101), whole(Source::KeptCopy, 5, &["a"], at(90)));
    assert!(book.ready(at(101)));
}

// ---- On random histories ----

#[derive(Debug, Clone)]
enum Step {
    Whole(Source, BTreeSet<u8>),
    Change(u8, EndpointState),
    Fixed(BTreeSet<u8>, BTreeSet<u8>),
    Unheard,
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let names = || proptest::collection::btree_set(0u8..6, 0..6);
    let state =
        prop_oneof![Just(EndpointState::Up), Just(EndpointState::Draining), Just(EndpointState::Gone)];
    let source =
        prop_oneof![3 => Just(Source::Discovery), 1 => Just(Source::KeptCopy), 1 => Just(Source::Configured)];
    let step = prop_oneof![
        4 => (source, names()).prop_map(|(s, n)| Step::Whole(s, n)),
        3 => (0u8..6, state).prop_map(|(n, s)| Step::Change(n, s)),
        2 => (names(), names()).prop_map(|(up, off)| Step::Fixed(up, off)),
        1 => Just(Step::Unheard),
        2 => (1u64..1000).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..40)
}

fn name(n: u8) -> String {
    format!("s-{n}")
}

/// Ids two and three share an address in memory and in the static file, which the watch gives to three.
fn entry(n: u8, state: EndpointState) -> EndpointRecord {
    line(&name(n), if n == 3 { 2 } else { u16::from(n) }, state)
}

/// The rules of the design note, applied to all words so far, with nothing remembered in between.
#[derive(Default)]
struct Model {
    watch: Option<BTreeMap<u8, EndpointState>>,
    removed: BTreeSet<u8>,
    copy: Option<(u64, BTreeSet<u8>)>,
    known: Option<(u64, BTreeSet<u8>)>,
    fixed: BTreeMap<u8, EndpointState>,
    hold: Option<Micros>,
}

impl Model {
    fn memory(&self) -> BTreeSet<u8> {
        match (&self.copy, &self.known) {
            (Some(c), Some(k)) if k.0 > c.0 => k.1.clone(),
            (Some(c), _) => c.1.clone(),
            (None, Some(k)) => k.1.clone(),
            (None, None) => BTreeSet::new(),
        }
    }

    fn expected(&self, now: Micros) -> BTreeMap<String, (EndpointState, bool)> {
        let mut out = BTreeMap::new();
        let fixed_off = |n: u8| self.fixed.get(&n) == Some(&EndpointState::Draining);
        let watched = |n: u8| self.watch.as_ref().and_then(|w| w.get(&n).copied());
        let waits = self.hold.is_some_and(|at| now < at);
        for n in 0..6u8 {
            if self.removed.contains(&n) || self.fixed.get(&n) == Some(&EndpointState::Gone) {
                continue;
            }
            let fixed = self.fixed.get(&n).copied();
            let remembered = self.watch.is_none() && self.memory().contains(&n);
            let other = match n {
                2 => Some(3),
                3 => Some(2),
                _ => None,
            };
            let watch_took = watched(n).is_none() && other.is_some_and(|o| watched(o).is_some());
            let fixed_took = other.is_some_and(|o| {
                matches!(self.fixed.get(&o), Some(EndpointState::Up | EndpointState::Draining))
            });
            let state = match (watched(n), fixed) {
                (Some(state), _) => state,
                (None, Some(state)) if !watch_took => state,
                (None, None) if remembered && !waits && !watch_took && !fixed_took => EndpointState::Up,
                _ => continue,
            };
            let state = if fixed_off(n) { EndpointState::Draining } else { state };
            out.insert(name(n), (state, false));
        }
        out
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Step by step, what was told by changes is what the rules say of all words so far.
    #[test]
    fn the_register_agrees_with_a_plain_model(steps in steps()) {
        let (mut book, mut told, mut model) = (book(RegistryRules::default()), Told::default(), Model::default());
        let (mut now, mut generation) = (at(1000), 1);
        for step in steps {
            generation += 1;
            now = now + Micros(1000);
            let up = |names: &BTreeSet<u8>| -> Vec<EndpointRecord> {
                names.iter().map(|n| entry(*n, EndpointState::Up)).collect()
            };
            let news = match &step {
                Step::Whole(Source::Discovery, names) => {
                    model.watch = Some(names.iter().map(|n| (*n, EndpointState::Up)).collect());
                    model.removed.retain(|n| !names.contains(n));
                    model.hold = None;
                    book.apply_update(now, ListUpdate::full(Source::Discovery, generation, up(names), now))
                }
                Step::Whole(source, names) => {
                    let said = Some((generation, names.clone()));
                    match source {
                        Source::KeptCopy => model.copy = said,
                        _ => model.known = said,
                    }
                    if model.watch.is_none() && model.hold.is_none() {
                        model.hold = Some(now + RegistryRules::default().discovery_wait);
                    }
                    book.apply_update(now, ListUpdate::full(*source, generation, up(names), now))
                }
                Step::Change(n, state) => {
                    let memory = model.memory();
                    let watch = model.watch.get_or_insert_with(|| {
                        memory.into_iter().map(|n| (n, EndpointState::Up)).collect()
                    });
                    match state {
                        EndpointState::Gone => {
                            watch.remove(n);
                            model.removed.insert(*n);
                        }
                        state => {
                            watch.insert(*n, *state);
                            model.removed.remove(n);
                        }
                    }
                    model.hold = None;
                    book.apply_update(now, part(generation, vec![entry(*n, *state)], now))
                }
                Step::Fixed(on, off) => {
                    let state = |n: &u8| match n % 2 { 0 => EndpointState::Gone, _ => EndpointState::Draining };
                    model.fixed = on.iter().map(|n| (*n, EndpointState::Up)).collect();
                    model.fixed.extend(off.iter().map(|n| (*n, state(n))));
                    let lines = model.fixed.iter().map(|(n, s)| entry(*n, *s)).collect();
                    book.apply_update(now, ListUpdate::full(Source::Static, generation, lines, now))
                }
                Step::Unheard => {
                    if model.hold.is_some() {
                        model.hold = Some(Micros(0));
                    }
                    book.watch_failed(now)
                }
                Step::Wait(ms) => {
                    now = now + Micros(ms * 1000);
                    book.tick(now)
                }
            };
            told.apply_update(&news);
            told.apply_update(&book.tick(now));
            if model.hold.is_some_and(|until| until <= now) {
                model.hold = Some(Micros(0));
            }
            prop_assert_eq!(&told.0, &model.expected(now), "after {:?}", step);
            for (name, (state, _)) in &told.0 {
                prop_assert_eq!(book.accepts_calls(name), *state == EndpointState::Up);
            }
        }
    }

    /// Whatever is asked for and answered, no more calls are out than allowed, and each one that waits is released or
    /// returned exactly once.
    #[test]
    fn calls_in_line_are_neither_lost_nor_doubled(
        ends in proptest::collection::vec((0u8..5, 0u8..3, 0u64..1500), 1..80)
    ) {
        let mut book = book(RegistryRules::default());
        let mut now = at(100_000);
        book.apply_update(now, whole(Source::KeptCopy, 5, &["a", "b", "c"], at(99_700)));
        book.watch_failed(now);
        let (mut out, mut waiting) = (Vec::<(u64, &str)>::new(), BTreeMap::<u64, &str>::new());
        let mut next = 0;
        for (what, which, ms) in ends {
            now = now + Micros(ms * 1000);
            let name = ["a", "b", "c"][usize::from(which)];
            let mut news = vec![book.tick(now)];
            match what {
                0 | 1 if book.accepts_calls(name) => {
                    next += 1;
                    if book.admit_call(now, name, next) {
                        out.push((next, name));
                    } else {
                        waiting.insert(next, name);
                    }
                }
                2..=4 => {
                    if let Some(place) = out.iter().position(|o| o.1 == name) {
                        out.remove(place);
                        let end = [CallEnd::Answered, CallEnd::Refused, CallEnd::Lost][usize::from(what - 2)];
                        news.push(book.call_ended(now, name, end).1);
                    }
                }
                _ => {}
            }
            for n in news {
                for msg in n.released {
                    let name = waiting.remove(&msg);
                    prop_assert!(name.is_some(), "{} was not waiting", msg);
                    out.push((msg, name.unwrap_or_default()));
                }
                for msg in n.rejected {
                    prop_assert!(waiting.remove(&msg).is_some(), "{} was not waiting", msg);
                }
            }
            for row in book.rows(now) {
                let most = row.concurrency_limit.unwrap_or(u32::MAX).max(64);
                let count = out.iter().filter(|o| o.1 == row.record.name).count();
                prop_assert!(count as u32 <= most, "{} calls out at {}", count, row.record.name);
            }
        }
        // In the end nobody is left in line.
        let rest = book.tick(now + at(3));
        for msg in rest.released.into_iter().chain(rest.rejected) {
            prop_assert!(waiting.remove(&msg).is_some());
        }
        prop_assert!(waiting.is_empty(), "{:?}", waiting);
    }
}
