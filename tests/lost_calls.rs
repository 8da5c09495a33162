//! What a call that got lost says of its endpoint, through the interface.

mod common;
use common::*;
use indigohold::*;

/// Incident: a network that loses one call now and then took healthy endpoints out.
#[test]
fn lost_calls_do_not_take_an_answering_endpoint_out() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    for round in 0..6u64 {
        b.demand(2 * round, 7, 2);
        b.demand(2 * round + 1, 7, 2);
        b.now += 300_000;
        b.returns(2 * round + 1, Outcome::Ok);
        b.now += S;
        b.returns(2 * round, Outcome::Timeout);
    }
    assert_eq!(attempted_ids(&b.demand(50, 7, 0)), [50]);
}

/// Incident: resets on a share of all calls sent every endpoint through the cold ramp.
#[test]
fn one_broken_connection_is_no_outage() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.demand(1, 7, 2);
    b.returns(1, Outcome::Reset);
    assert_eq!(attempted_ids(&b.demand(2, 7, 0)), [2]);
    b.returns(2, Outcome::ConnectFailed);
    assert!(attempted_ids(&b.demand(3, 7, 0)).is_empty(), "a failed connect is");
}

/// Incident: one refused connection to an endpoint that had served 50 ms before cut its traffic to a cold one's for
/// 11 s, and each call lost in that time began it anew.
#[test]
fn a_lost_call_is_no_outage_of_an_endpoint_that_served_just_before() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.now += S;
    b.demand(1, 7, 2);
    b.returns(1, Outcome::Ok);
    b.demand(2, 7, 2);
    b.returns(2, Outcome::ConnectFailed);
    assert_eq!(attempted_ids(&b.demand(3, 7, 2)), [3], "one is not");
    b.returns(3, Outcome::ConnectFailed);
    assert!(attempted_ids(&b.demand(4, 7, 2)).is_empty(), "two in a row are");
    // The trial succeeds at once: nobody was out for long enough to be cold.
    assert!(b.wait(S).iter().any(|a| matches!(a, Action::Try { .. })));
    let trial = b.in_flight[0].id;
    b.returns(trial, Outcome::Ok);
    let sent: usize = (10..15).map(|id| attempted_ids(&b.demand(id, 7, 2)).len()).sum();
    assert_eq!(sent, 5, "no cold ramp");
}

/// Guards against a destination pushed over: what did not serve lately is out at once, and cold when it is back.
#[test]
fn a_lost_call_after_a_silence_is_an_outage() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.now += S;
    b.demand(1, 7, 2);
    b.returns(1, Outcome::Ok);
    b.now += 4 * S;
    b.demand(2, 7, 2);
    b.returns(2, Outcome::ConnectFailed);
    assert!(attempted_ids(&b.demand(3, 7, 2)).is_empty(), "out at once");
    assert!(b.wait(S).iter().any(|a| matches!(a, Action::Try { .. })));
    let trial = b.in_flight[0].id;
    b.returns(trial, Outcome::Ok);
    let sent: usize = (10..15).map(|id| attempted_ids(&b.demand(id, 7, 2)).len()).sum();
    assert!(sent < 5, "{sent}: it is cold");
}

/// Incident: one call lost 25 ms after another halved the trust in idle connections to 12 ms; from then on nearly every
/// message paid for a new one.
#[test]
fn a_call_lost_after_a_short_pause_leaves_idle_connections_their_time() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let mut let_go = 0;
    for id in 0..200 {
        b.now += 25_000;
        b.demand(id, 7, 2);
        b.now += 25_000;
        let lost = id == 100;
        let actions = b.returns(id, if lost { Outcome::Reset } else { Outcome::Ok });
        let_go += u32::from(id > 100 && actions.iter().any(|a| matches!(a, Action::CloseIdleConnections(_))));
    }
    assert_eq!(let_go, 0);
}

/// Incident: a nine-second time-out for an endpoint that answers in a fifth of a second held every slot.
#[test]
fn time_outs_follow_latency_and_double_in_a_row() {
    let timeout = |actions: &[Action]| match actions.iter().find(|a| matches!(a, Action::Try { .. })) {
        Some(Action::Try { timeout, .. }) => timeout.0,
        _ => panic!("a try"),
    };
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    for id in 0..30 {
        b.demand(id, 7, 0);
        b.now += 200_000;
        b.returns(id, Outcome::Ok);
    }
    let first = timeout(&b.demand(40, 7, 1));
    assert!((S..2 * S).contains(&first), "{first}");
    b.now += first;
    b.returns(40, Outcome::Timeout);
    let second = timeout(&b.demand(41, 7, 1));
    assert_eq!(second, 2 * first);
}
