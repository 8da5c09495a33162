//! Where the sender repeats a message whose repeats are dropped within one zone only.

mod common;
use common::*;
use indigohold::*;

#[test]
fn repeats_of_a_zone_keyed_message_stay_in_the_zone() {
    let mut set = settings();
    set.classes[1].effect = Effect::Keyed { group: DedupGroup::Zone, window: Micros(12 * S) };
    let far = |n| Entry { zone: Some(ZoneId(1)), ..entry(n, 7) };
    let mut harness = SenderHarness::new(set, vec![entry(1, 7), far(2), far(3)]);
    harness.demand(1, 7, 1);
    let first = harness.in_flight[0].endpoint;
    harness.returns(1, Outcome::Error);
    harness.wait(3 * S);
    assert_eq!(harness.in_flight.len(), 1);
    assert_eq!(harness.in_flight[0].endpoint == endpoint(1), first == endpoint(1));
}

/// Guards against a repeat outside of the group after an endpoint has changed its zone, or while a zone is not known.
#[test]
fn a_zone_keyed_message_belongs_to_the_zone_in_which_it_was_sent() {
    let mut set = settings();
    set.classes[1].effect = Effect::Keyed { group: DedupGroup::Zone, window: Micros(12 * S) };
    let of_zone = |n, zone: &str| Entry { zone: ZoneId::of_name(zone), ..entry(n, 7) };
    let due = 20 * S;
    let resumed = |harness: &SenderHarness, zone: &str| {
        let Event::Demand(message) = harness.message(1, 7, 1, None) else { unreachable!() };
        let message = Message { due: Micros(harness.now + due), ..message };
        let first = SentAttempt { zone: ZoneId::of_name(zone), ..sent_attempt(harness.now - S, 1) };
        Event::Resumed { message, attempts: 1, first_uncertain: Some(first) }
    };
    // Sent in `a` to endpoint 1, which is listed as below by now: where it may be sent again.
    let cases = [
        ("a", vec![of_zone(1, "b"), of_zone(2, "b")], None),
        ("a", vec![of_zone(1, "b"), of_zone(2, "a")], Some(2)),
        ("a", vec![of_zone(2, "a")], Some(2)),
        ("a", vec![of_zone(1, ""), of_zone(2, "")], None),
        ("", vec![of_zone(2, ""), of_zone(3, "a")], None),
        ("", vec![of_zone(1, ""), of_zone(2, "")], Some(1)),
    ];
    for (zone, list, allowed) in cases {
        let mut harness = SenderHarness::new(set.clone(), list.clone());
        harness.now = 100 * S;
        let event = resumed(&harness, zone);
        harness.feed(vec![event]);
        harness.wait(3 * S);
        let sent_to: Vec<EndpointId> = harness.in_flight.iter().map(|call| call.endpoint).collect();
        assert_eq!(sent_to, allowed.map(endpoint).into_iter().collect::<Vec<_>>(), "{zone:?}, {list:?}");
    }
}

/// Guards against a first byte in another zone than the one in which the call was ordered.
#[test]
fn a_zone_keyed_call_does_not_begin_once_its_endpoint_has_changed_its_zone() {
    for (group, begins) in [(DedupGroup::Zone, false), (DedupGroup::All, true)] {
        let mut set = settings();
        set.classes[1].effect = Effect::Keyed { group, window: Micros(12 * S) };
        let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
        harness.demand(1, 7, 1);
        let may_begin = |harness: &SenderHarness| {
            harness.sender.may_begin(Micros(harness.now), MessageId(1), endpoint(1))
        };
        assert!(may_begin(&harness));
        harness.feed(vec![Event::ListChange(vec![Entry { zone: ZoneId::of_name("b"), ..entry(1, 7) }])]);
        assert_eq!(may_begin(&harness), begins);
    }
}
