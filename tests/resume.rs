//! How the sender treats messages that are resumed from an earlier process run, and whether it lets a call begin just
//! before its first byte is sent.

mod common;
use common::*;
use indigohold::*;

fn resumed(
    harness: &SenderHarness, id: u64, class: u16, attempts: u32, may_have_run: Option<(u64, u8)>, due: u64,
) -> Event {
    let Event::Demand(message) = harness.message(id, 7, class, None) else { unreachable!() };
    let first_uncertain = may_have_run.map(|(at, n)| sent_attempt(at, n));
    Event::Resumed { message: Message { due: Micros(due), ..message }, attempts, first_uncertain }
}

/// Guards against a repeat outside the key's window because the window started again with the process.
#[test]
fn a_keyed_message_keeps_its_window_across_restarts() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.now = 100 * S;
    let due = harness.now + 20 * S;
    let inside = resumed(&harness, 1, 1, 1, Some((harness.now - 5 * S, 1)), due);
    let outside = resumed(&harness, 2, 1, 1, Some((harness.now - 13 * S, 1)), due);
    let done = harness.feed(vec![inside, outside]);
    assert_eq!(attempted_ids(&done), [1]);
    assert!(done.contains(&Action::Fail(MessageId(2))), "it may have run, and its window has ended");
}

#[test]
fn attempts_are_counted_across_restarts() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let last = resumed(&harness, 1, 0, 7, None, harness.now + 20 * S);
    assert_eq!(attempted_ids(&harness.feed(vec![last])), [1]);
    harness.in_flight[0].number = 7;
    assert_eq!(answered_ids(&harness.returns(1, Outcome::Refused(None))), [1], "that was the eighth attempt");
}

#[test]
fn an_overdue_resumed_message_is_answered_at_once_and_not_sent() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.now = 100 * S;
    let due = harness.now - S;
    let (never_sent, may_have_run) = (
        resumed(&harness, 1, 1, 0, None, due),
        resumed(&harness, 2, 2, 1, Some((harness.now - 2 * S, 1)), due),
    );
    let done = harness.feed(vec![never_sent, may_have_run]);
    assert_eq!(answered_ids(&done), [1, 2]);
    assert!(attempted_ids(&done).is_empty());
    assert!(done.contains(&Action::Fail(MessageId(2))));
}

/// Guards against a first byte to a backend that began to drain, or asked for a wait, while its connection
/// was opened.
#[test]
fn a_call_may_not_begin_during_a_drain_or_a_retry_after_wait() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 8)]);
    let may_begin = |harness: &SenderHarness, n| {
        harness.sender.may_begin(Micros(harness.now), MessageId(99), endpoint(n))
    };
    assert!(may_begin(&harness, 1) && may_begin(&harness, 2) && !may_begin(&harness, 3));
    harness.feed(vec![Event::ListChange(vec![Entry { state: ListingState::Draining, ..entry(1, 7) }])]);
    assert!(!may_begin(&harness, 1) && may_begin(&harness, 2));
    harness.demand(1, 8, 0);
    harness.returns(1, Outcome::Refused(Some(Micros(S))));
    assert!(!may_begin(&harness, 2));
    harness.now += S;
    assert!(may_begin(&harness, 2));
}

/// Guards against a timeout that is too short for an order by mail when its server is slower than usual. An unsafe
/// message can't be repeated, so an early timeout only loses its answer.
#[test]
fn an_unsafe_message_gets_a_long_timeout() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    for id in 1..20 {
        harness.demand(id, 7, 2);
        harness.now += 50_000;
        harness.returns(id, Outcome::Ok);
        harness.wait(S);
    }
    let timeout_of = |actions: Vec<Action>| {
        actions.iter().find_map(|a| match a {
            Action::Try { timeout, .. } => Some(timeout.0),
            _ => None,
        })
    };
    assert_eq!(timeout_of(harness.demand(50, 7, 2)), Some(8 * S), "twice the aim");
    harness.returns(50, Outcome::Ok);
    harness.wait(S);
    assert!(timeout_of(harness.demand(51, 7, 0)).unwrap() < 2 * S, "a safe message gets a shorter timeout");
}

/// Guards against a partner that can't be reached while its first mail exchanger is out although it names a second
/// one, and against a second mail exchanger that gets messages while the first is healthy.
#[test]
fn an_endpoint_of_a_higher_rank_is_used_while_the_lower_is_out() {
    let mut harness = SenderHarness::new(
        settings(),
        vec![Entry { rank: 10, ..entry(1, 7) }, Entry { rank: 20, ..entry(2, 7) }],
    );
    for id in 1..=5 {
        harness.demand(id, 7, 0);
        assert_eq!(harness.in_flight[0].endpoint, endpoint(1));
        harness.now += 100_000;
        harness.returns(id, Outcome::Ok);
        harness.wait(S);
    }
    harness.demand(6, 7, 0);
    harness.returns(6, Outcome::ConnectFailed);
    harness.demand(7, 7, 0);
    assert!(
        harness.in_flight.iter().any(|a| a.id == 7 && a.endpoint == endpoint(2)),
        "the first endpoint is out"
    );
    // Repeats go to the stand-in even when a trial of the first endpoint is due; a first attempt is used for
    // the trial.
    harness.wait(4 * S);
    assert!(harness.in_flight.iter().any(|a| a.id == 6 && a.endpoint == endpoint(2)));
    harness.demand(8, 7, 0);
    assert!(harness.in_flight.iter().any(|a| a.id == 8 && a.endpoint == endpoint(1)), "the trial");
}
