//! How lost calls affect the endpoint that they were sent to: its health, slow start, idle timeout and call timeout.

mod common;
use common::*;
use indigohold::*;

/// Guards against ejections by a network that loses a call now and then: healthy endpoints were ejected.
#[test]
fn lost_calls_do_not_eject_an_endpoint_that_answers() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    for round in 0..6u64 {
        harness.demand(2 * round, 7, 2);
        harness.demand(2 * round + 1, 7, 2);
        harness.now += 300_000;
        harness.returns(2 * round + 1, Outcome::Ok);
        harness.now += S;
        harness.returns(2 * round, Outcome::Timeout);
    }
    assert_eq!(attempted_ids(&harness.demand(50, 7, 0)), [50]);
}

/// Guards against needless slow starts: resets of a fraction of all calls sent every endpoint through slow
/// start.
#[test]
fn one_broken_connection_is_not_an_outage() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.demand(1, 7, 2);
    harness.returns(1, Outcome::Reset);
    assert_eq!(attempted_ids(&harness.demand(2, 7, 0)), [2]);
    harness.returns(2, Outcome::ConnectFailed);
    assert!(attempted_ids(&harness.demand(3, 7, 0)).is_empty(), "a failed connect is an outage");
}

/// Guards against an ejection by one lost call: one refused connection to an endpoint that had answered 50 ms
/// before cut its traffic to the slow start rate for 11 s, and each call lost in that time restarted the slow
/// start.
#[test]
fn a_lost_call_does_not_eject_an_endpoint_that_has_just_answered() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.now += S;
    harness.demand(1, 7, 2);
    harness.returns(1, Outcome::Ok);
    harness.demand(2, 7, 2);
    harness.returns(2, Outcome::ConnectFailed);
    assert_eq!(attempted_ids(&harness.demand(3, 7, 2)), [3], "one lost call is not an outage");
    harness.returns(3, Outcome::ConnectFailed);
    assert!(attempted_ids(&harness.demand(4, 7, 2)).is_empty(), "two in a row are an outage");
    // The trial succeeds at once: the endpoint was not out for long enough to be cold.
    assert!(harness.wait(S).iter().any(|a| matches!(a, Action::Try { .. })));
    let trial = harness.in_flight[0].id;
    harness.returns(trial, Outcome::Ok);
    let sent: usize = (10..15).map(|id| attempted_ids(&harness.demand(id, 7, 2)).len()).sum();
    assert_eq!(sent, 5, "no slow start");
}

/// Guards against an overloaded destination: an endpoint that has not answered lately is ejected at once, and
/// returns in slow start.
#[test]
fn a_failed_connect_to_an_endpoint_without_recent_answers_is_an_outage() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.now += S;
    harness.demand(1, 7, 2);
    harness.returns(1, Outcome::Ok);
    harness.now += 4 * S;
    harness.demand(2, 7, 2);
    harness.returns(2, Outcome::ConnectFailed);
    assert!(attempted_ids(&harness.demand(3, 7, 2)).is_empty(), "ejected at once");
    assert!(harness.wait(S).iter().any(|a| matches!(a, Action::Try { .. })));
    let trial = harness.in_flight[0].id;
    harness.returns(trial, Outcome::Ok);
    let sent: usize = (10..15).map(|id| attempted_ids(&harness.demand(id, 7, 2)).len()).sum();
    assert!(sent < 5, "{sent}: the endpoint must be in slow start");
}

/// Guards against an idle timeout that is cut too far: one call lost 25 ms after another cut it to 12 ms, and
/// from then on nearly every message needed a new connection.
#[test]
fn a_call_lost_after_a_short_pause_does_not_shorten_the_idle_timeout() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let mut closed_count = 0;
    for id in 0..200 {
        harness.now += 25_000;
        harness.demand(id, 7, 2);
        harness.now += 25_000;
        let lost = id == 100;
        let actions = harness.returns(id, if lost { Outcome::Reset } else { Outcome::Ok });
        closed_count +=
            u32::from(id > 100 && actions.iter().any(|a| matches!(a, Action::CloseIdleConnections(_))));
    }
    assert_eq!(closed_count, 0);
}

/// Guards against lost calls that hold every slot: the timeout was nine seconds for an endpoint that answers in
/// 200 ms.
#[test]
fn timeouts_follow_the_latency_and_double_with_each_timeout_in_a_row() {
    let timeout = |actions: &[Action]| match actions.iter().find(|a| matches!(a, Action::Try { .. })) {
        Some(Action::Try { timeout, .. }) => timeout.0,
        _ => panic!("no attempt was started"),
    };
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    for id in 0..30 {
        harness.demand(id, 7, 0);
        harness.now += 200_000;
        harness.returns(id, Outcome::Ok);
    }
    let first = timeout(&harness.demand(40, 7, 1));
    assert!((S..2 * S).contains(&first), "{first}");
    harness.now += first;
    harness.returns(40, Outcome::Timeout);
    let second = timeout(&harness.demand(41, 7, 1));
    assert_eq!(second, 2 * first);
}
