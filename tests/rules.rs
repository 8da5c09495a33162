//! Property test with random legal streams of events under several settings: a sender keeps the rules that it
//! can keep on its own, and the same events give the same actions. Outcomes are drawn at random; no server is
//! modelled.

mod common;
use common::{class, endpoint, entry, settings, S};
use indigohold::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    Demand { destination: u16, class: u16, key: u64 },
    Return { pick: usize, outcome: u8 },
    List { n: u8, state: u8 },
    Withdraw { pick: usize },
    ListFailed,
    Probe { outcome: u8 },
    Gossip { bytes: Vec<u8> },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        2 => proptest::collection::vec(0u8..=255, 0..300).prop_map(|bytes| Step::Gossip { bytes }),
        1 => (0u8..8).prop_map(|n| Step::Gossip { bytes: endpoint(n).bytes().to_vec() }),
        2 => (1u16..21, 0u16..4, 0u64..4).prop_map(|(destination, class, key)| Step::Demand { destination, class, key }),
        6 => (1u16..4, 0u16..4, 0u64..4).prop_map(|(destination, class, key)| Step::Demand { destination, class, key }),
        6 => (0usize..40, 0u8..9).prop_map(|(pick, outcome)| Step::Return { pick, outcome }),
        1 => (1u8..7, 0u8..4).prop_map(|(n, state)| Step::List { n, state }),
        1 => (0usize..40).prop_map(|pick| Step::Withdraw { pick }),
        1 => Just(Step::ListFailed),
        2 => (0u8..2).prop_map(|outcome| Step::Probe { outcome }),
        6 => prop_oneof![1u64..40, 40u64..900, 900u64..9000].prop_map(|millis| Step::Wait { millis }),
    ]
}

/// What the test knows of a message.
#[derive(Default)]
struct TrackedMessage {
    class: u16,
    destination: u16,
    key: u64,
    due: u64,
    order: u64,
    attempts: u8,
    /// The attempt in flight: its endpoint, its number and when it was sent.
    in_flight: Option<(EndpointId, u8, u64)>,
    /// The first attempt that may have run: when it was sent and where to.
    may_have_run: Option<(u64, EndpointId)>,
    finished: bool,
}

/// Runs the steps and checks every action; returns all actions.
fn run_steps(set: &Settings, steps: &[Step]) -> Vec<Action> {
    let keyed_window = 12 * S;
    let slack = 20_000;
    let zone = |e: EndpointId| e.addr[3] % 2;
    let list_entry =
        |n: u8| Entry { zone: Some(ZoneId(u64::from(n % 2))), ..entry(n, u16::from(n.div_ceil(2))) };
    let mut sender = Sender::new(set.clone(), 11);
    let mut now = 3 * S;
    let mut seen: BTreeMap<u64, TrackedMessage> = BTreeMap::new();
    let mut states: BTreeMap<EndpointId, ListingState> =
        (1..41).map(|n| (endpoint(n), ListingState::Ready)).collect();
    let mut retry_after_until: BTreeMap<(u16, Option<EndpointId>), u64> = BTreeMap::new();
    let mut quiet_until: BTreeMap<u64, u64> = BTreeMap::new();
    let mut probes: Vec<EndpointId> = vec![];
    let mut timers: BTreeSet<u64> = BTreeSet::new();
    let mut all = vec![];
    let mut next = 0;
    let end = [Step::Wait { millis: 40_000 }];
    let mut queue: Vec<Vec<Event>> = vec![vec![Event::WholeList((1..41).map(list_entry).collect())]];
    for step in std::iter::once(&Step::Wait { millis: 1 }).chain(steps).chain(&end) {
        let mut until = now;
        match step {
            Step::Demand { destination, class, key } => {
                next += 1;
                let due = now + set.classes[usize::from(*class)].deadline.0;
                let message = Message {
                    id: MessageId(next),
                    destination: DestinationId(*destination),
                    class: ClassId(*class),
                    tenant: TenantId(0),
                    key: (*key > 0).then_some(Key(*key)),
                    due: Micros(due),
                };
                let tracked = TrackedMessage {
                    class: *class,
                    destination: *destination,
                    key: *key,
                    due,
                    order: next,
                    ..Default::default()
                };
                seen.insert(next, tracked);
                queue.push(vec![Event::Demand(message)]);
            }
            Step::Return { pick, outcome } => {
                let in_flight: Vec<u64> =
                    seen.iter().filter(|(_, s)| s.in_flight.is_some()).map(|(id, _)| *id).collect();
                if let Some(id) = in_flight.get(pick % in_flight.len().max(1)) {
                    let outcome = [
                        Outcome::Ok,
                        Outcome::Ok,
                        Outcome::Error,
                        Outcome::Refused(None),
                        Outcome::Refused(Some(Micros(700_000))),
                        Outcome::Timeout,
                        Outcome::ConnectFailed,
                        Outcome::Reset,
                        Outcome::NotSent,
                    ][usize::from(*outcome)];
                    queue.push(vec![returned(
                        &mut seen,
                        &mut retry_after_until,
                        &mut quiet_until,
                        set,
                        now,
                        *id,
                        outcome,
                    )]);
                }
            }
            Step::List { n, state } => {
                let state =
                    [ListingState::Ready, ListingState::Ready, ListingState::Draining, ListingState::Gone]
                        [usize::from(*state)];
                states.insert(endpoint(*n), state);
                queue.push(vec![Event::ListChange(vec![Entry { state, ..list_entry(*n) }])]);
            }
            Step::Withdraw { pick } => {
                let held: Vec<u64> = seen.iter().filter(|(_, s)| !s.finished).map(|(id, _)| *id).collect();
                if let Some(id) = held.get(pick % held.len().max(1)) {
                    seen.get_mut(id).expect("held").finished = true;
                    queue.push(vec![Event::Withdrawn(MessageId(*id))]);
                }
            }
            Step::ListFailed => queue.push(vec![Event::ListFailed]),
            Step::Probe { outcome } => {
                if let Some(endpoint) = probes.pop() {
                    let outcome = [Outcome::Ok, Outcome::Timeout][usize::from(*outcome)];
                    queue.push(vec![Event::Probed { endpoint, outcome, latency: Micros(9), report: vec![] }]);
                }
            }
            Step::Gossip { bytes } => {
                queue.push(vec![Event::PeerGossip { from: PeerId(2), bytes: bytes.clone() }])
            }
            Step::Wait { millis } => until = now + millis * 1000,
        }
        loop {
            let events = if let Some(events) = queue.pop() {
                events
            } else {
                // Attempts end by their messages' due times at the latest; then timers fire.
                let expiring =
                    seen.iter().filter(|(_, s)| s.in_flight.is_some()).map(|(id, s)| (s.due, *id)).min();
                let timer = timers.first().copied();
                let at = expiring.map(|e| e.0).into_iter().chain(timer).min();
                let Some(at) = at.filter(|at| *at <= until) else { break };
                now = now.max(at);
                if timer == Some(at) {
                    timers.remove(&at);
                    vec![Event::TimerElapsed(TimerToken(0))]
                } else {
                    let id = expiring.expect("the earlier one").1;
                    vec![returned(
                        &mut seen,
                        &mut retry_after_until,
                        &mut quiet_until,
                        set,
                        now,
                        id,
                        Outcome::Timeout,
                    )]
                }
            };
            let mut actions = vec![];
            sender.handle(Micros(now), &events, &mut actions);
            for action in &actions {
                match action {
                    Action::Try { id, endpoint, .. } => {
                        let comes_before = |other: &TrackedMessage, me: &TrackedMessage| {
                            other.order < me.order && (!other.finished || other.in_flight.is_some())
                        };
                        let me = &seen[&id.0];
                        let in_order = set.classes[usize::from(me.class)].in_order && me.key > 0;
                        if in_order {
                            let before = seen.values().filter(|o| {
                                o.key == me.key
                                    && set.classes[usize::from(o.class)].in_order
                                    && comes_before(o, me)
                            });
                            assert_eq!(before.count(), 0, "key order");
                            let quiet = quiet_until.get(&me.key).copied().unwrap_or(0);
                            assert!(me.attempts > 0 || now >= quiet, "the key's quiet time");
                        }
                        assert!(!me.finished, "no attempt after the final answer");
                        assert!(me.in_flight.is_none(), "no second attempt in flight");
                        assert!(
                            u32::from(me.attempts) < set.limits.max_attempts.unwrap_or(99),
                            "too many attempts"
                        );
                        assert_eq!(
                            states[endpoint],
                            ListingState::Ready,
                            "only listed endpoints that do not drain"
                        );
                        assert_eq!(u16::from(endpoint.addr[3].div_ceil(2)), me.destination);
                        let route = (me.destination, set.kinds[0].separate_routes.then_some(*endpoint));
                        assert!(retry_after_until.get(&route).is_none_or(|w| *w <= now), "Retry-After wait");
                        match (set.classes[usize::from(me.class)].effect, me.may_have_run) {
                            (Effect::Unsafe, risk) => assert!(risk.is_none(), "unsafe repeat"),
                            (Effect::Keyed { group, .. }, Some((sent, first))) => {
                                assert!(now < sent + keyed_window, "window");
                                assert!(group == DedupGroup::All || zone(first) == zone(*endpoint), "group");
                            }
                            _ => {}
                        }
                        let in_flight = seen.values().filter(|s| s.in_flight.is_some()).count();
                        assert!(
                            set.kinds[0].max_batch_size > 1
                                || in_flight < set.limits.slots.unwrap_or(99) as usize
                        );
                        let me = seen.get_mut(&id.0).expect("known");
                        me.in_flight = Some((*endpoint, me.attempts, now));
                        me.attempts += 1;
                    }
                    Action::Decline { id, .. } => {
                        let me = seen.get_mut(&id.0).expect("known");
                        assert!(!me.finished, "one answer");
                        assert!(me.in_flight.is_none() && now <= me.due + slack);
                        match set.classes[usize::from(me.class)].effect {
                            Effect::Safe => {}
                            Effect::Unsafe => {
                                assert!(me.may_have_run.is_none(), "declined though it may have run")
                            }
                            Effect::Keyed { group, .. } => {
                                assert!(me.may_have_run.is_none() || group == DedupGroup::All)
                            }
                        }
                        me.finished = true;
                    }
                    Action::Fail(id) => {
                        let me = seen.get_mut(&id.0).expect("known");
                        assert!(!me.finished && now <= me.due + slack, "one answer in time");
                        me.finished = true;
                    }
                    Action::SetTimer { after, .. } => drop(timers.insert(now + after.0)),
                    Action::Probe(endpoint) => {
                        assert!(set.limits.probes && states[endpoint] == ListingState::Ready);
                        probes.push(*endpoint);
                    }
                    _ => {}
                }
            }
            all.extend(actions);
        }
        now = now.max(until);
    }
    assert!(seen.values().all(|s| s.finished), "every message has its answer");
    all
}

fn returned(
    seen: &mut BTreeMap<u64, TrackedMessage>,
    retry_after_until: &mut BTreeMap<(u16, Option<EndpointId>), u64>, quiet_until: &mut BTreeMap<u64, u64>,
    set: &Settings, now: u64, id: u64, outcome: Outcome,
) -> Event {
    let message = seen.get_mut(&id).expect("known");
    let (endpoint, attempt, sent) = message.in_flight.take().expect("in flight");
    if matches!(outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset) {
        message.may_have_run.get_or_insert((sent, endpoint));
    }
    if matches!(outcome, Outcome::Timeout | Outcome::Reset)
        && set.classes[usize::from(message.class)].in_order
    {
        quiet_until.insert(message.key, now + set.rules.key_quiet.map_or(0, |q| q.0));
    }
    if let Outcome::Refused(Some(wait)) = outcome {
        let route = (message.destination, set.kinds[0].separate_routes.then_some(endpoint));
        let until = retry_after_until.entry(route).or_default();
        *until = (*until).max(now + wait.0);
    }
    let terminal = message.finished || outcome == Outcome::Ok;
    message.finished = terminal;
    let latency = Micros(now - sent);
    Event::Returned { id: MessageId(id), endpoint, outcome, terminal, latency, attempt, report: vec![] }
}

fn settings_variants() -> Vec<Settings> {
    let mut plain = settings();
    plain.classes.push(class(Effect::Keyed { group: DedupGroup::Zone, window: Micros(12 * S) }));
    plain.limits.slots = Some(5);
    let mut ordered = plain.clone();
    ordered.classes[0].in_order = true;
    ordered.classes[2].in_order = true;
    ordered.limits.probes = true;
    ordered.limits.max_open = Some(12);
    let mut separate_routes = plain.clone();
    separate_routes.kinds[0].separate_routes = true;
    separate_routes.discovery = DiscoveryMode::Subscribe;
    separate_routes.weights = Weights::Rough;
    let mut batched = plain.clone();
    batched.kinds[0].max_batch_size = 4;
    batched.limits.max_attempts = Some(3);
    batched.classes[1].in_order = true;
    // One of hundreds of senders: no load reports, no probes, and gossip messages with arbitrary bytes.
    let mut many = plain.clone();
    many.senders = 300;
    many.weights = Weights::Nominal;
    many.limits.gossip = true;
    many.limits.slots = Some(3);
    many.limits.max_open = Some(12);
    vec![plain, ordered, separate_routes, batched, many]
}

#[test]
fn a_sender_keeps_the_rules_and_is_deterministic() {
    let config = Config { cases: 150, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..150);
    let result = runner.run(&steps, |steps| {
        for set in settings_variants() {
            prop_assert_eq!(run_steps(&set, &steps), run_steps(&set, &steps));
        }
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
