//! What the module does with messages taken up from an earlier life, and what it says just before a first byte.

mod common;
use common::*;
use indigohold::*;

fn resumed(b: &SenderHarness, id: u64, class: u16, tries: u32, risk: Option<(u64, u8)>, due: u64) -> Event {
    let Event::Demand(message) = b.message(id, 7, class, None) else { unreachable!() };
    let risk = risk.map(|(at, n)| (Micros(at), endpoint(n)));
    Event::Resumed {
        message: Message { due: Micros(due), ..message },
        attempts: tries,
        first_uncertain: risk,
    }
}

/// Guards against a repeat outside of the key's window because the window began anew with the process.
#[test]
fn a_keyed_message_keeps_its_window_over_lives() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.now = 100 * S;
    let due = b.now + 20 * S;
    let inside = resumed(&b, 1, 1, 1, Some((b.now - 5 * S, 1)), due);
    let outside = resumed(&b, 2, 1, 1, Some((b.now - 13 * S, 1)), due);
    let done = b.feed(vec![inside, outside]);
    assert_eq!(attempted_ids(&done), [1]);
    assert!(done.contains(&Action::Fail(MessageId(2))), "it may have run, and its window is over");
}

#[test]
fn attempts_count_over_lives() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let last = resumed(&b, 1, 0, 7, None, b.now + 20 * S);
    assert_eq!(attempted_ids(&b.feed(vec![last])), [1]);
    b.in_flight[0].number = 7;
    assert_eq!(answered_ids(&b.returns(1, Outcome::Refused(None))), [1], "that was the eighth");
}

#[test]
fn what_is_overdue_is_answered_at_once_and_not_sent() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.now = 100 * S;
    let due = b.now - S;
    let (fresh, ran) = (resumed(&b, 1, 1, 0, None, due), resumed(&b, 2, 2, 1, Some((b.now - 2 * S, 1)), due));
    let done = b.feed(vec![fresh, ran]);
    assert_eq!(answered_ids(&done), [1, 2]);
    assert!(attempted_ids(&done).is_empty());
    assert!(done.contains(&Action::Fail(MessageId(2))));
}

/// Guards against a first byte to a backend that began to drain, or told a wait, while its connection came up.
#[test]
fn a_call_may_not_begin_against_a_drain_or_a_wait() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 8)]);
    let ask = |b: &SenderHarness, n| b.sender.may_begin(Micros(b.now), MessageId(99), endpoint(n));
    assert!(ask(&b, 1) && ask(&b, 2) && !ask(&b, 3));
    b.feed(vec![Event::ListChange(vec![Entry { state: ListingState::Draining, ..entry(1, 7) }])]);
    assert!(!ask(&b, 1) && ask(&b, 2));
    b.demand(1, 8, 0);
    b.returns(1, Outcome::Refused(Some(Micros(S))));
    assert!(!ask(&b, 2));
    b.now += S;
    assert!(ask(&b, 2));
}

/// Guards against an order over mail that is taken for lost because its server is slower than usual: it can't be
/// repeated, so giving up early only loses its answer.
#[test]
fn what_cannot_be_repeated_is_waited_for() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    for id in 1..20 {
        b.demand(id, 7, 2);
        b.now += 50_000;
        b.returns(id, Outcome::Ok);
        b.wait(S);
    }
    let caps = |actions: Vec<Action>| {
        actions.iter().find_map(|a| match a {
            Action::Try { timeout, .. } => Some(timeout.0),
            _ => None,
        })
    };
    assert_eq!(caps(b.demand(50, 7, 2)), Some(8 * S), "two aims");
    b.returns(50, Outcome::Ok);
    b.wait(S);
    assert!(caps(b.demand(51, 7, 0)).unwrap() < 2 * S, "a safe one is repeated sooner");
}

/// Guards against a partner that is lost with its first mail exchanger though it names a second one, and against
/// a second one that gets the work while the first is well.
#[test]
fn a_higher_rank_stands_in_while_the_lower_is_out() {
    let mut b = SenderHarness::new(
        settings(),
        vec![Entry { rank: 10, ..entry(1, 7) }, Entry { rank: 20, ..entry(2, 7) }],
    );
    for id in 1..=5 {
        b.demand(id, 7, 0);
        assert_eq!(b.in_flight[0].endpoint, endpoint(1));
        b.now += 100_000;
        b.returns(id, Outcome::Ok);
        b.wait(S);
    }
    b.demand(6, 7, 0);
    b.returns(6, Outcome::ConnectFailed);
    b.demand(7, 7, 0);
    assert!(b.in_flight.iter().any(|a| a.id == 7 && a.endpoint == endpoint(2)), "the first one is out");
    // Repeats go to the stand-in also when the first one is due for a trial; a first try makes the trial.
    b.wait(4 * S);
    assert!(b.in_flight.iter().any(|a| a.id == 6 && a.endpoint == endpoint(2)));
    b.demand(8, 7, 0);
    assert!(b.in_flight.iter().any(|a| a.id == 8 && a.endpoint == endpoint(1)), "the trial");
}
