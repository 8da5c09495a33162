//! Admission compared with a simple model under random sequences of events, the source of an address, and a flood from
//! one source.

use indigohold::admission::{Admission, ConnState, Decision, Rules, Source};
use indigohold::Micros;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

fn rules(places: usize) -> Rules {
    Rules {
        max_connections: places,
        reserve: places / 8,
        silent_grace: ms(450),
        request_grace: ms(250),
        urgent_grace: ms(150),
        idle_grace: ms(20),
        silent_timeout: ms(2_200),
        request_timeout: ms(2_500),
        idle_timeout: ms(30_000),
        max_source_share: 0.5,
    }
}

fn ms(ms: u64) -> Micros {
    Micros(ms * 1_000)
}

fn from(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, 0, 0, n))
}

/// A connection as the model stores it.
#[derive(Debug, Clone)]
struct ModelConn {
    source: u8,
    state: ConnState,
    state_since: u64,
    last_byte_at: u64,
    answered_requests: u32,
}

/// The connection that should be evicted, found by a search through all of them.
fn expected_candidate(
    rules: &Rules, conns: &BTreeMap<u64, ModelConn>, now: u64, urgent: bool,
) -> Option<u64> {
    let mut counts: BTreeMap<u8, usize> = BTreeMap::new();
    conns.values().for_each(|c| *counts.entry(c.source).or_default() += 1);
    let largest = counts.iter().max_by_key(|(source, n)| (**n, **source));
    let over_share =
        largest.filter(|(_, n)| counts.len() > 1 && **n > rules.max_connections / 2).map(|(s, _)| *s);
    let among = |source: Option<u8>| {
        // A source over its share gets no idle grace.
        let idle_grace = if source.is_some() { Micros(0) } else { rules.idle_grace };
        let all: Vec<(u64, &ModelConn)> = conns
            .iter()
            .filter(|(_, c)| source.is_none_or(|s| s == c.source))
            .map(|(k, c)| (*k, c))
            .collect();
        let oldest = |state: ConnState, age: Micros| {
            let due = all.iter().filter(|(_, c)| c.state == state && c.state_since + age.0 <= now);
            due.min_by_key(|(k, c)| (c.state_since, *k)).map(|(k, _)| *k)
        };
        let without_bytes = || {
            let due = all.iter().filter(|(_, c)| {
                c.state == ConnState::Receiving && c.last_byte_at + rules.urgent_grace.0 <= now
            });
            due.min_by_key(|(k, c)| (c.last_byte_at, *k)).map(|(k, _)| *k)
        };
        oldest(ConnState::Closing, Micros(0))
            .or_else(|| oldest(ConnState::BadRequest, Micros(0)))
            .or_else(|| oldest(ConnState::Silent, rules.silent_grace))
            .or_else(|| oldest(ConnState::Receiving, rules.request_grace))
            .or_else(|| oldest(ConnState::IdleAfterOne, idle_grace))
            .or_else(|| oldest(ConnState::IdleAfterMore, idle_grace))
            .or_else(|| if urgent { without_bytes() } else { None })
            .or_else(|| if urgent { oldest(ConnState::Silent, rules.urgent_grace) } else { None })
    };
    match over_share {
        Some(s) => among(Some(s)).or_else(|| if urgent { among(None) } else { None }),
        None => among(None),
    }
}

#[derive(Debug, Clone)]
enum Op {
    Connect(u8),
    PartialRequest(usize),
    CompleteRequest(usize),
    Answered(usize, bool),
    Closing(usize),
    Close(usize),
    Advance(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0usize..64;
    prop_oneof![
        6 => (0u8..3).prop_map(Op::Connect),
        2 => index.clone().prop_map(Op::PartialRequest),
        2 => index.clone().prop_map(Op::CompleteRequest),
        3 => (index.clone(), prop::bool::weighted(0.2)).prop_map(|(n, f)| Op::Answered(n, f)),
        1 => index.clone().prop_map(Op::Closing),
        1 => index.prop_map(Op::Close),
        3 => (0u64..700).prop_map(Op::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(9),
        ..ProptestConfig::default()
    })]

    /// For every sequence of events: there are never more connections than places, the expected connection is evicted and
    /// never one that is being answered, and a wait ends by the time that was returned for it.
    #[test]
    fn decisions_are_those_of_the_model(ops in prop::collection::vec(op(), 1..300), places in 3usize..24) {
        let rules = rules(places);
        let mut admission = Admission::new(rules.clone());
        let mut model: BTreeMap<u64, ModelConn> = BTreeMap::new();
        let (mut now, mut next) = (0u64, 0u64);
        for op in ops {
            let at = Micros(now);
            let nth = |n: usize, model: &BTreeMap<u64, ModelConn>| model.keys().nth(n % model.len().max(1)).copied();
            match op {
                Op::Connect(source) => {
                    let free = places - model.len();
                    match admission.decide(at) {
                        Decision::Accept => {
                            prop_assert!(free > 0);
                            prop_assert!(free > rules.reserve || expected_candidate(&rules, &model, now, false).is_none());
                            admission.connected(at, next, from(source));
                            model.insert(next, ModelConn {
                                source,
                                state: ConnState::Silent,
                                state_since: now,
                                last_byte_at: now,
                                answered_requests: 0,
                            });
                            next += 1;
                        }
                        Decision::AcceptAfterClosing(key) => {
                            prop_assert_eq!(Some(key), expected_candidate(&rules, &model, now, free == 0));
                            prop_assert_ne!(model[&key].state, ConnState::Answering);
                            admission.closed(key);
                            model.remove(&key);
                        }
                        Decision::WaitUntil(until) => {
                            prop_assert_eq!(free, 0);
                            prop_assert_eq!(expected_candidate(&rules, &model, now, true), None);
                            prop_assert!(until > at && until <= at + admission.max_wait());
                            if model.values().any(|c| c.state != ConnState::Answering) {
                                prop_assert!(
                                    matches!(admission.decide(until), Decision::AcceptAfterClosing(_)),
                                    "no candidate at the promised time"
                                );
                            }
                        }
                    }
                }
                Op::PartialRequest(n) => if let Some(key) = nth(n, &model) {
                    let c = model.get_mut(&key).unwrap();
                    if c.state != ConnState::Receiving {
                        (c.state, c.state_since) = (ConnState::Receiving, now);
                    }
                    c.last_byte_at = now;
                    admission.partial_request(at, key);
                },
                Op::CompleteRequest(n) => if let Some(key) = nth(n, &model) {
                    let c = model.get_mut(&key).unwrap();
                    (c.state, c.state_since) = (ConnState::Answering, now);
                    admission.complete_request(at, key);
                },
                Op::Answered(n, fault) => if let Some(key) = nth(n, &model) {
                    let c = model.get_mut(&key).unwrap();
                    c.answered_requests += u32::from(!fault);
                    c.state_since = now;
                    c.state = if fault {
                        ConnState::BadRequest
                    } else if c.answered_requests > 1 {
                        ConnState::IdleAfterMore
                    } else {
                        ConnState::IdleAfterOne
                    };
                    admission.answered(at, key, fault);
                },
                Op::Closing(n) => if let Some(key) = nth(n, &model) {
                    let c = model.get_mut(&key).unwrap();
                    (c.state, c.state_since) = (ConnState::Closing, now);
                    admission.closing(at, key);
                },
                Op::Close(n) => if let Some(key) = nth(n, &model) {
                    admission.closed(key);
                    model.remove(&key);
                },
                Op::Advance(ms) => now += ms * 1_000,
            }
            prop_assert_eq!(admission.len(), model.len());
            for (key, c) in &model {
                prop_assert_eq!(admission.state(*key), Some(c.state));
            }
            while let Some(key) = admission.timed_out(Micros(now)) {
                let c = &model[&key];
                prop_assert_ne!(c.state, ConnState::Answering);
                prop_assert!(now - c.state_since >= 150_000, "{:?}", c);
                admission.closed(key);
                model.remove(&key);
            }
            prop_assert!(admission.next_timeout().is_none_or(|at| at.0 > now));
        }
    }
}

#[test]
fn an_ipv6_network_is_one_source() {
    let of = |text: &str| Source::of(text.parse().unwrap());
    assert_eq!(of("2001:db8:1:2:3::4"), of("2001:db8:1:2:ffff::1"));
    assert_ne!(of("2001:db8:1:2::1"), of("2001:db8:1:3::1"));
    assert_eq!(of("::ffff:10.0.0.1"), of("10.0.0.1"), "an IPv4-mapped address is the IPv4 address");
}

/// One source opens many connections: the connections of the flood are evicted, the four idle ones of another source are
/// not.
#[test]
fn a_flood_from_one_source_evicts_its_own_connections() {
    let mut admission = Admission::new(rules(16));
    for key in 0..4 {
        admission.connected(Micros(0), key, from(1));
        admission.answered(Micros(0), key, false);
    }
    let (mut open, mut next, mut now) = (Vec::new(), 100, 1_000_000);
    for _ in 0..1_000 {
        now += 1_000;
        match admission.decide(Micros(now)) {
            Decision::Accept => {
                admission.connected(Micros(now), next, from(2));
                admission.answered(Micros(now), next, false);
                admission.answered(Micros(now), next, false);
                open.push(next);
                next += 1;
            }
            Decision::AcceptAfterClosing(key) => {
                assert!(key >= 100, "a connection of the other source was evicted");
                admission.closed(key);
            }
            Decision::WaitUntil(_) => {}
        }
    }
    assert!(open.len() > 100, "connections of the flood: {}", open.len());
    assert!((0..4).all(|key| admission.state(key).is_some()));
}

/// Guards against a source that holds all places with requests that it never completes: a connection from elsewhere takes one of
/// them whatever its age, and another of that source does not.
#[test]
fn a_source_over_its_share_makes_room_for_others_at_once() {
    let mut admission = Admission::new(rules(8));
    for key in 0..8 {
        admission.connected(Micros(key), key, from(2));
        admission.partial_request(Micros(10 + key), key);
    }
    assert!(matches!(admission.decide(Micros(100)), Decision::WaitUntil(_)));
    assert_eq!(
        (admission.over_share_candidate(from(1)), admission.over_share_candidate(from(2))),
        (Some(0), None)
    );
    // What is being answered is spared.
    admission.complete_request(Micros(101), 0);
    assert_eq!(admission.over_share_candidate(from(1)), Some(1));
    for key in 1..5 {
        admission.closed(key);
    }
    assert_eq!(admission.over_share_candidate(from(1)), None, "four of eight places are its share");
}
