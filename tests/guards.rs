//! One small test for each rule and guard, through the interface.

mod common;
use common::*;
use indigohold::*;

#[test]
fn a_message_goes_at_once_and_is_over_when_delivered() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    assert_eq!(attempted_ids(&b.demand(1, 7, 0)), [1]);
    b.now += 200_000;
    b.returns(1, Outcome::Ok);
    let later = b.wait(60 * S);
    assert!(attempted_ids(&later).is_empty() && answered_ids(&later).is_empty());
}

#[test]
fn no_message_is_lost_where_no_endpoint_is_known() {
    let mut b = SenderHarness::new(settings(), vec![]);
    b.demand(1, 7, 0);
    let due = b.now + 28 * S;
    let done = b.wait(28 * S);
    assert_eq!(answered_ids(&done), [1]);
    assert!(b.now <= due);
}

#[test]
fn an_attempt_out_past_the_due_time_is_answered_inside_the_slack() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.demand(1, 7, 0);
    let before = b.wait(28 * S - 1);
    assert!(answered_ids(&before).is_empty());
    let done = b.wait(20_000);
    assert_eq!(answered_ids(&done), [1]);
    b.returns(1, Outcome::Timeout);
    let later = b.wait(60 * S);
    assert!(attempted_ids(&later).is_empty(), "nothing goes out after the final answer");
}

#[test]
fn an_unsafe_message_that_may_have_run_is_failed_and_not_declined() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
        b.demand(1, 7, 2);
        let done = b.returns(1, outcome);
        assert!(done.contains(&Action::Fail(MessageId(1))), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_message_proven_unrun_goes_again() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 7)]);
    b.demand(1, 7, 2);
    assert!(answered_ids(&b.returns(1, Outcome::Refused(None))).is_empty());
    assert_eq!(attempted_ids(&b.wait(20 * S)), [1]);
}

#[test]
fn a_keyed_message_goes_again_only_inside_its_window_from_the_first_that_may_have_run() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 7)]);
    b.demand(1, 7, 1);
    b.now += 11 * S + 990_000;
    let done = b.returns(1, Outcome::Timeout);
    let more = b.wait(28 * S);
    assert!(attempted_ids(&done).is_empty() && attempted_ids(&more).is_empty());
    let all = [done, more].concat();
    assert!(all.contains(&Action::Fail(MessageId(1))), "it may have run and is never declined late");
}

#[test]
fn repeats_of_a_zone_keyed_message_stay_in_the_zone() {
    let mut set = settings();
    set.classes[1].effect = Effect::Keyed { group: DedupGroup::Zone, window: Micros(12 * S) };
    let far = |n| Entry { zone: ZoneId(1), ..entry(n, 7) };
    let mut b = SenderHarness::new(set, vec![entry(1, 7), far(2), far(3)]);
    b.demand(1, 7, 1);
    let first = b.in_flight[0].endpoint;
    b.returns(1, Outcome::Error);
    b.wait(3 * S);
    assert_eq!(b.in_flight.len(), 1);
    assert_eq!(b.in_flight[0].endpoint == endpoint(1), first == endpoint(1));
}

#[test]
fn drained_and_gone_endpoints_get_nothing_new() {
    for state in [ListingState::Draining, ListingState::Gone] {
        let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
        b.feed(vec![Event::ListChange(vec![Entry { state, ..entry(1, 7) }])]);
        b.demand(1, 7, 0);
        assert!(attempted_ids(&b.wait(27 * S)).is_empty() && b.in_flight.is_empty());
    }
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.feed(vec![Event::WholeList(vec![])]);
    assert!(attempted_ids(&b.demand(1, 7, 0)).is_empty(), "missing from a whole list is gone");
}

#[test]
fn a_told_wait_binds_the_whole_destination_and_only_it() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 7), entry(3, 8)]);
    b.demand(1, 7, 0);
    b.returns(1, Outcome::Refused(Some(Micros(S))));
    assert!(attempted_ids(&b.demand(2, 7, 0)).is_empty());
    assert_eq!(attempted_ids(&b.demand(3, 8, 0)), [3]);
    assert!(attempted_ids(&b.wait(S - 1)).is_empty());
    assert!(!attempted_ids(&b.wait(5 * S)).is_empty());
}

#[test]
fn a_told_wait_binds_one_endpoint_where_routes_are_apart() {
    let mut set = settings();
    set.kinds[0].separate_routes = true;
    let mut b = SenderHarness::new(set, vec![entry(1, 7), entry(2, 7)]);
    b.demand(1, 7, 0);
    let first = b.in_flight[0].endpoint;
    b.returns(1, Outcome::Refused(Some(Micros(20 * S))));
    assert_eq!(attempted_ids(&b.demand(2, 7, 0)), [2]);
    assert_ne!(b.in_flight[0].endpoint, first);
}

#[test]
fn messages_of_one_key_take_turns_and_others_pass() {
    let mut set = settings();
    set.classes[0].in_order = true;
    let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
    assert_eq!(attempted_ids(&b.demand_with_key(1, 7, 0, Some(5))), [1]);
    assert!(attempted_ids(&b.demand_with_key(2, 7, 0, Some(5))).is_empty());
    assert_eq!(attempted_ids(&b.demand_with_key(3, 7, 0, Some(6))), [3]);
    b.now += 50_000;
    assert_eq!(attempted_ids(&b.returns(1, Outcome::Ok)), [2]);
}

#[test]
fn a_key_rests_after_an_attempt_that_may_still_run() {
    let mut set = settings();
    set.classes[2].in_order = true;
    let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
    b.demand_with_key(1, 7, 2, Some(5));
    b.demand_with_key(2, 7, 2, Some(5));
    b.now += S;
    let done = b.returns(1, Outcome::Timeout);
    assert!(done.contains(&Action::Fail(MessageId(1))) && attempted_ids(&done).is_empty());
    assert!(attempted_ids(&b.wait(299_000)).is_empty());
    assert_eq!(attempted_ids(&b.wait(100_000)), [2]);
}

#[test]
fn a_withdrawn_message_keeps_its_key_until_its_attempt_is_back() {
    let mut set = settings();
    set.classes[0].in_order = true;
    let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
    b.demand_with_key(1, 7, 0, Some(5));
    b.demand_with_key(2, 7, 0, Some(5));
    let done = b.feed(vec![Event::Withdrawn(MessageId(1))]);
    assert!(done.contains(&Action::CancelAttempt { id: MessageId(1), attempt: 0 }));
    assert!(attempted_ids(&b.wait(3 * S)).is_empty());
    b.returns(1, Outcome::Cancelled);
    assert_eq!(attempted_ids(&b.wait(S)), [2]);
}

/// Forty messages at forty destinations fail once each: no endpoint is out, so that the tokens alone bound.
#[test]
fn repeats_are_bounded_by_tokens() {
    let mut set = settings();
    set.limits.slots = Some(100);
    let mut b = SenderHarness::new(set, (1..41).map(|n| entry(n, u16::from(n))).collect());
    (1..41).for_each(|id| drop(b.demand(id, id as u16, 0)));
    assert_eq!(b.in_flight.len(), 40);
    (1..41).for_each(|id| drop(b.returns(id, Outcome::Error)));
    // Ten tokens saved up, one a second, and a tenth of one deposited by each first try.
    let at_once = attempted_ids(&b.wait(S)).len();
    assert!((8..=12).contains(&at_once), "{at_once} repeats in the first second");
    let later = attempted_ids(&b.wait(5 * S)).len();
    assert!((3..=9).contains(&later) && at_once + later <= 20, "{later} repeats in the five seconds after");
}

#[test]
fn backoff_bounds_double_and_draws_vary() {
    let pause = |seed: u64, tries_before: u8| {
        let mut set = settings();
        set.limits.max_attempts = Some(20);
        let mut b = SenderHarness::new(set, vec![entry(1, 7), entry(2, 7)]);
        b.sender = Sender::new(settings(), seed);
        b.feed(vec![Event::WholeList(vec![entry(1, 7), entry(2, 7)])]);
        b.demand(1, 7, 0);
        for _ in 0..tries_before {
            b.returns(1, Outcome::Error);
            b.wait(6 * S);
            if b.in_flight.is_empty() {
                return 0;
            }
        }
        b.in_flight.first().map_or(0, |a| a.sent)
    };
    let draws: std::collections::BTreeSet<_> = (0..8).map(|seed| pause(seed, 1)).collect();
    assert!(draws.len() > 4, "full jitter: {draws:?}");
    assert!(draws.iter().all(|d| *d <= S + 4 * S + 50_000), "the first bound is one aim: {draws:?}");
}

#[test]
fn refusals_cut_the_pace_and_calls_taken_let_it_creep_back() {
    let mut set = settings();
    set.limits.slots = Some(100);
    let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
    for id in 0..10 {
        assert_eq!(attempted_ids(&b.demand(id, 7, 0)), [id], "unbounded until refused");
    }
    b.now += 500_000;
    b.returns(0, Outcome::Refused(None));
    // Half of the ten calls of the last second: one call in 0.2 s; refusals of calls sent before cut no more.
    b.returns(1, Outcome::Refused(None));
    (2..10).for_each(|id| drop(b.returns(id, Outcome::Ok)));
    for id in 20..60 {
        b.demand(id, 7, 0);
    }
    let sent = attempted_ids(&b.wait(S)).len();
    assert!((3..=8).contains(&sent), "{sent} calls in the next second");
}

#[test]
fn a_listed_limit_paces_first_tries_from_the_start() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    set.senders = 2;
    let mut b = SenderHarness::new(set, vec![Entry { weight: 8.0, ..entry(1, 7) }]);
    for id in 0..20 {
        b.demand(id, 7, 0);
    }
    assert_eq!(b.in_flight.len(), 1);
    let sent = attempted_ids(&b.wait(S)).len();
    assert!((3..=5).contains(&sent), "half of eight a second is this sender's: {sent}");
}

#[test]
fn a_hanging_destination_gets_one_call_at_a_time_and_leaves_slots() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 8)]);
    b.demand(1, 7, 1);
    b.wait(3 * S);
    (2..12).for_each(|id| drop(b.demand(id, 7, 1)));
    assert_eq!(b.in_flight.len(), 2, "the stalled call and one more");
    assert_eq!(attempted_ids(&b.demand(20, 8, 1)), [20]);
}

#[test]
fn one_destination_never_takes_all_slots() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 8)]);
    (0..40).for_each(|id| drop(b.demand(id, 7, 0)));
    assert!(b.in_flight.len() <= 8, "half of sixteen slots");
    assert_eq!(attempted_ids(&b.demand(50, 8, 0)), [50]);
}

/// Two messages meet a destination that is down.
fn down(b: &mut SenderHarness) {
    b.demand(1, 7, 0);
    b.demand(2, 7, 0);
    b.wait(500_000);
    b.returns(1, Outcome::ConnectFailed);
    b.returns(2, Outcome::ConnectFailed);
}

#[test]
fn an_endpoint_that_is_down_gets_one_trial_at_a_time_and_a_ramp() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    let mut b = SenderHarness::new(set, vec![Entry { weight: 10.0, ..entry(1, 7) }]);
    down(&mut b);
    (10..60).for_each(|id| drop(b.demand(id, 7, 0)));
    assert!(b.in_flight.is_empty(), "held, not sent into the outage");
    b.wait(4 * S);
    assert_eq!(b.in_flight.len(), 1, "one trial");
    let id = b.in_flight[0].id;
    b.returns(id, Outcome::Ok);
    // At 20% of at least ten a second, twice overloaded: eight messages in two seconds would push it over.
    let sent = attempted_ids(&b.wait(2 * S)).len();
    assert!((1..8).contains(&sent), "{sent} calls in the first two seconds");
}

#[test]
fn a_connection_limit_is_no_outage() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    b.demand(1, 7, 0);
    b.demand(2, 7, 0);
    b.now += 100_000;
    b.returns(1, Outcome::Ok);
    b.returns(2, Outcome::ConnectFailed);
    assert_eq!(attempted_ids(&b.demand(3, 7, 0)), [3]);
}

#[test]
fn a_probe_asks_before_a_message_tries() {
    let mut set = settings();
    set.limits.probes = true;
    let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
    down(&mut b);
    let done = b.wait(28 * S);
    assert!(done.contains(&Action::Probe(endpoint(1))) && attempted_ids(&done).is_empty());
    let ok =
        Event::Probed { endpoint: endpoint(1), outcome: Outcome::Ok, latency: Micros(9), report: vec![] };
    b.demand(5, 7, 0);
    assert_eq!(attempted_ids(&b.feed(vec![ok])), [5]);
}

#[test]
fn bundles_share_a_call_a_slot_and_the_pace() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    set.kinds[0].max_batch_size = 5;
    let mut b = SenderHarness::new(set, vec![Entry { weight: 2.0, ..entry(1, 7) }]);
    b.demand(0, 7, 0);
    (1..9).for_each(|id| drop(b.demand(id, 7, 0)));
    assert_eq!(b.in_flight.len(), 1);
    assert_eq!(attempted_ids(&b.wait(520_000)).len(), 5, "the next call carries five");
}

#[test]
fn discovery_is_asked_for_again_after_a_failure() {
    let mut set = settings();
    set.discovery = DiscoveryMode::Subscribe;
    let mut b = SenderHarness::new(set, vec![]);
    assert!(b.last_actions.contains(&Action::Subscribe));
    assert!(!b.feed(vec![Event::ListFailed]).contains(&Action::Subscribe));
    assert!(b.wait(S).contains(&Action::Subscribe));
}

#[test]
fn odd_rounds_change_nothing() {
    let mut b = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let past = Event::Demand(Message {
        id: MessageId(9),
        destination: DestinationId(7),
        class: ClassId(0),
        tenant: TenantId(3),
        key: None,
        due: Micros(0),
    });
    let done = b.feed(vec![Event::Withdrawn(MessageId(77)), Event::AnswerStarted(MessageId(4)), past]);
    assert_eq!(answered_ids(&done), [9]);
    assert!(attempted_ids(&done).is_empty());
}

fn rate_of_trials(senders: u32) -> usize {
    let mut set = settings();
    set.senders = senders;
    set.weights = Weights::Nominal;
    set.limits.max_attempts = Some(1000);
    let mut b = SenderHarness::new(set, vec![Entry { weight: 4.0, ..entry(1, 7) }]);
    b.demand(1, 7, 0);
    b.returns(1, Outcome::ConnectFailed);
    let mut trials = 0;
    for _ in 0..270 {
        trials += attempted_ids(&b.wait(100_000)).len();
        if let Some(a) = b.in_flight.first().copied() {
            b.returns(a.id, Outcome::ConnectFailed);
        }
    }
    trials
}

/// Incident: eleven senders' trials pushed a destination over on its return.
#[test]
fn trials_of_many_senders_are_spaced_further_apart() {
    let (few, many) = (rate_of_trials(2), rate_of_trials(11));
    assert!(many >= 1 && many * 2 < few, "{few} trials by one of two, {many} by one of eleven");
}

/// Incident: nine senders that each kept to a ninth of the limit made the busy ones late.
#[test]
fn the_pace_starts_at_half_a_known_limit_however_many_senders() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    set.senders = 9;
    let mut b = SenderHarness::new(set, vec![Entry { weight: 8.0, ..entry(1, 7) }]);
    (0..20).for_each(|id| drop(b.demand(id, 7, 0)));
    assert!(attempted_ids(&b.wait(S)).len() >= 3);
}

/// A destination behind a returned outage opens as it warms, not at its coldest pace.
#[test]
fn a_returned_endpoint_gets_more_as_it_warms() {
    let mut set = settings();
    set.limits.max_open = None;
    let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
    down(&mut b);
    (3..20).for_each(|id| drop(b.demand(id, 7, 0)));
    b.wait(4 * S);
    let mut counts = vec![];
    for span in 0..4 {
        let mut sent = 0;
        for step in 0..40 {
            while let Some(a) = b.in_flight.first().copied() {
                b.returns(a.id, Outcome::Ok);
            }
            sent += attempted_ids(&b.demand(1000 + 40 * span + step, 7, 0)).len();
            sent += attempted_ids(&b.wait(100_000)).len();
        }
        counts.push(sent);
    }
    assert!(counts[0] >= 1 && counts[2] > counts[0], "{counts:?}");
}
