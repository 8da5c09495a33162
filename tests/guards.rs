//! One small test for each rule and protection of a sender, through its public interface.

mod common;
use common::*;
use indigohold::*;

#[test]
fn a_message_is_sent_at_once_and_finished_when_delivered() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    assert_eq!(attempted_ids(&harness.demand(1, 7, 0)), [1]);
    harness.now += 200_000;
    harness.returns(1, Outcome::Ok);
    let later = harness.wait(60 * S);
    assert!(attempted_ids(&later).is_empty() && answered_ids(&later).is_empty());
}

#[test]
fn a_message_is_answered_by_its_due_time_where_no_endpoint_is_known() {
    let mut harness = SenderHarness::new(settings(), vec![]);
    harness.demand(1, 7, 0);
    let due = harness.now + 28 * S;
    let done = harness.wait(28 * S);
    assert_eq!(answered_ids(&done), [1]);
    assert!(harness.now <= due);
}

#[test]
fn a_message_with_an_attempt_in_flight_past_its_due_time_is_answered_within_the_slack() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.demand(1, 7, 0);
    let before = harness.wait(28 * S - 1);
    assert!(answered_ids(&before).is_empty());
    let done = harness.wait(20_000);
    assert_eq!(answered_ids(&done), [1]);
    harness.returns(1, Outcome::Timeout);
    let later = harness.wait(60 * S);
    assert!(attempted_ids(&later).is_empty(), "no attempt after the final answer");
}

#[test]
fn an_unsafe_message_that_may_have_run_is_failed_and_not_declined() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
        harness.demand(1, 7, 2);
        let done = harness.returns(1, outcome);
        assert!(done.contains(&Action::Fail(MessageId(1))), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_message_that_was_refused_is_sent_again() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 7)]);
    harness.demand(1, 7, 2);
    assert!(answered_ids(&harness.returns(1, Outcome::Refused(None))).is_empty());
    assert_eq!(attempted_ids(&harness.wait(20 * S)), [1]);
}

#[test]
fn a_keyed_message_is_repeated_only_within_its_window_from_the_first_attempt_that_may_have_run() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 7)]);
    harness.demand(1, 7, 1);
    harness.now += 11 * S + 990_000;
    let done = harness.returns(1, Outcome::Timeout);
    let more = harness.wait(28 * S);
    assert!(attempted_ids(&done).is_empty() && attempted_ids(&more).is_empty());
    let all = [done, more].concat();
    assert!(all.contains(&Action::Fail(MessageId(1))), "it may have run, so it is failed and not declined");
}

#[test]
fn drained_and_gone_endpoints_get_nothing_new() {
    for state in [ListingState::Draining, ListingState::Gone] {
        let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
        harness.feed(vec![Event::ListChange(vec![Entry { state, ..entry(1, 7) }])]);
        harness.demand(1, 7, 0);
        assert!(attempted_ids(&harness.wait(27 * S)).is_empty() && harness.in_flight.is_empty());
    }
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.feed(vec![Event::WholeList(vec![])]);
    assert!(
        attempted_ids(&harness.demand(1, 7, 0)).is_empty(),
        "an endpoint that is missing from a whole list is gone"
    );
}

#[test]
fn a_retry_after_wait_applies_to_the_whole_destination_and_to_no_other() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 7), entry(3, 8)]);
    harness.demand(1, 7, 0);
    harness.returns(1, Outcome::Refused(Some(Micros(S))));
    assert!(attempted_ids(&harness.demand(2, 7, 0)).is_empty());
    assert_eq!(attempted_ids(&harness.demand(3, 8, 0)), [3]);
    assert!(attempted_ids(&harness.wait(S - 1)).is_empty());
    assert!(!attempted_ids(&harness.wait(5 * S)).is_empty());
}

#[test]
fn a_retry_after_wait_applies_to_one_endpoint_where_routes_are_separate() {
    let mut set = settings();
    set.kinds[0].separate_routes = true;
    let mut harness = SenderHarness::new(set, vec![entry(1, 7), entry(2, 7)]);
    harness.demand(1, 7, 0);
    let first = harness.in_flight[0].endpoint;
    harness.returns(1, Outcome::Refused(Some(Micros(20 * S))));
    assert_eq!(attempted_ids(&harness.demand(2, 7, 0)), [2]);
    assert_ne!(harness.in_flight[0].endpoint, first);
}

#[test]
fn messages_of_one_key_are_sent_in_turn_and_do_not_block_others() {
    let mut set = settings();
    set.classes[0].in_order = true;
    let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
    assert_eq!(attempted_ids(&harness.demand_with_key(1, 7, 0, Some(5))), [1]);
    assert!(attempted_ids(&harness.demand_with_key(2, 7, 0, Some(5))).is_empty());
    assert_eq!(attempted_ids(&harness.demand_with_key(3, 7, 0, Some(6))), [3]);
    harness.now += 50_000;
    assert_eq!(attempted_ids(&harness.returns(1, Outcome::Ok)), [2]);
}

#[test]
fn a_key_has_a_quiet_time_after_an_attempt_that_may_still_run() {
    let mut set = settings();
    set.classes[2].in_order = true;
    let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
    harness.demand_with_key(1, 7, 2, Some(5));
    harness.demand_with_key(2, 7, 2, Some(5));
    harness.now += S;
    let done = harness.returns(1, Outcome::Timeout);
    assert!(done.contains(&Action::Fail(MessageId(1))) && attempted_ids(&done).is_empty());
    assert!(attempted_ids(&harness.wait(299_000)).is_empty());
    assert_eq!(attempted_ids(&harness.wait(100_000)), [2]);
}

#[test]
fn a_withdrawn_message_keeps_its_key_until_its_attempt_returns() {
    let mut set = settings();
    set.classes[0].in_order = true;
    let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
    harness.demand_with_key(1, 7, 0, Some(5));
    harness.demand_with_key(2, 7, 0, Some(5));
    let done = harness.feed(vec![Event::Withdrawn(MessageId(1))]);
    assert!(done.contains(&Action::CancelAttempt { id: MessageId(1), attempt: 0 }));
    assert!(attempted_ids(&harness.wait(3 * S)).is_empty());
    harness.returns(1, Outcome::Cancelled);
    assert_eq!(attempted_ids(&harness.wait(S)), [2]);
}

/// Forty messages to forty destinations fail once each: no ejection, so only retry tokens bound the repeats.
#[test]
fn repeats_are_bounded_by_the_retry_budget() {
    let mut set = settings();
    set.limits.slots = Some(100);
    let mut harness = SenderHarness::new(set, (1..41).map(|n| entry(n, u16::from(n))).collect());
    (1..41).for_each(|id| drop(harness.demand(id, id as u16, 0)));
    assert_eq!(harness.in_flight.len(), 40);
    (1..41).for_each(|id| drop(harness.returns(id, Outcome::Error)));
    // The reserve holds ten tokens and gains one a second; each first attempt deposits a tenth of a token.
    let at_once = attempted_ids(&harness.wait(S)).len();
    assert!((8..=12).contains(&at_once), "{at_once} repeats in the first second");
    let later = attempted_ids(&harness.wait(5 * S)).len();
    assert!((3..=9).contains(&later) && at_once + later <= 20, "{later} repeats in the five seconds after");
}

#[test]
fn backoff_has_full_jitter_under_its_bound() {
    let pause = |seed: u64, attempts_before: u8| {
        let mut set = settings();
        set.limits.max_attempts = Some(20);
        let mut harness = SenderHarness::new(set, vec![entry(1, 7), entry(2, 7)]);
        harness.sender = Sender::new(settings(), seed);
        harness.feed(vec![Event::WholeList(vec![entry(1, 7), entry(2, 7)])]);
        harness.demand(1, 7, 0);
        for _ in 0..attempts_before {
            harness.returns(1, Outcome::Error);
            harness.wait(6 * S);
            if harness.in_flight.is_empty() {
                return 0;
            }
        }
        harness.in_flight.first().map_or(0, |a| a.sent)
    };
    let draws: std::collections::BTreeSet<_> = (0..8).map(|seed| pause(seed, 1)).collect();
    assert!(draws.len() > 4, "full jitter: {draws:?}");
    assert!(draws.iter().all(|d| *d <= S + 4 * S + 50_000), "the first bound is one aim: {draws:?}");
}

#[test]
fn refusals_cut_the_send_rate_and_accepted_calls_raise_it() {
    let mut set = settings();
    set.limits.slots = Some(100);
    let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
    for id in 0..10 {
        assert_eq!(attempted_ids(&harness.demand(id, 7, 0)), [id], "unbounded until refused");
    }
    harness.now += 500_000;
    harness.returns(0, Outcome::Refused(None));
    // The cut is to half of the last second's ten calls: one in 0.2 s. Refusals of older calls cut no further.
    harness.returns(1, Outcome::Refused(None));
    (2..10).for_each(|id| drop(harness.returns(id, Outcome::Ok)));
    for id in 20..60 {
        harness.demand(id, 7, 0);
    }
    let sent = attempted_ids(&harness.wait(S)).len();
    assert!((3..=8).contains(&sent), "{sent} calls in the next second");
}

#[test]
fn a_listed_limit_bounds_the_send_rate_from_the_start() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    set.senders = 2;
    let mut harness = SenderHarness::new(set, vec![Entry { weight: 8.0, ..entry(1, 7) }]);
    for id in 0..20 {
        harness.demand(id, 7, 0);
    }
    assert_eq!(harness.in_flight.len(), 1);
    let sent = attempted_ids(&harness.wait(S)).len();
    assert!((3..=5).contains(&sent), "this sender has half of the eight calls a second: {sent}");
}

#[test]
fn a_hanging_destination_gets_one_call_at_a_time_and_leaves_slots() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 8)]);
    harness.demand(1, 7, 1);
    harness.wait(3 * S);
    (2..12).for_each(|id| drop(harness.demand(id, 7, 1)));
    assert_eq!(harness.in_flight.len(), 2, "the stalled call and one further call");
    assert_eq!(attempted_ids(&harness.demand(20, 8, 1)), [20]);
}

#[test]
fn one_destination_never_takes_all_slots() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7), entry(2, 8)]);
    (0..40).for_each(|id| drop(harness.demand(id, 7, 0)));
    assert!(harness.in_flight.len() <= 8, "half of sixteen slots");
    assert_eq!(attempted_ids(&harness.demand(50, 8, 0)), [50]);
}

/// Ejects endpoint 1: the connects of two messages to destination 7 fail.
fn fail_two_connects(harness: &mut SenderHarness) {
    harness.demand(1, 7, 0);
    harness.demand(2, 7, 0);
    harness.wait(500_000);
    harness.returns(1, Outcome::ConnectFailed);
    harness.returns(2, Outcome::ConnectFailed);
}

#[test]
fn an_ejected_endpoint_gets_one_trial_at_a_time_and_then_a_slow_start() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    let mut harness = SenderHarness::new(set, vec![Entry { weight: 10.0, ..entry(1, 7) }]);
    fail_two_connects(&mut harness);
    (10..60).for_each(|id| drop(harness.demand(id, 7, 0)));
    assert!(harness.in_flight.is_empty(), "messages are held during the outage");
    harness.wait(4 * S);
    assert_eq!(harness.in_flight.len(), 1, "one trial");
    let id = harness.in_flight[0].id;
    harness.returns(id, Outcome::Ok);
    // It starts at 20% of ten calls a second and bears twice that: eight messages in two seconds overload it.
    let sent = attempted_ids(&harness.wait(2 * S)).len();
    assert!((1..8).contains(&sent), "{sent} calls in the first two seconds");
}

#[test]
fn a_connection_limit_is_no_outage() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    harness.demand(1, 7, 0);
    harness.demand(2, 7, 0);
    harness.now += 100_000;
    harness.returns(1, Outcome::Ok);
    harness.returns(2, Outcome::ConnectFailed);
    assert_eq!(attempted_ids(&harness.demand(3, 7, 0)), [3]);
}

#[test]
fn a_probe_is_sent_before_a_message_is_used_as_a_trial() {
    let mut set = settings();
    set.limits.probes = true;
    let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
    fail_two_connects(&mut harness);
    let done = harness.wait(28 * S);
    assert!(done.contains(&Action::Probe(endpoint(1))) && attempted_ids(&done).is_empty());
    let ok =
        Event::Probed { endpoint: endpoint(1), outcome: Outcome::Ok, latency: Micros(9), report: vec![] };
    harness.demand(5, 7, 0);
    assert_eq!(attempted_ids(&harness.feed(vec![ok])), [5]);
}

#[test]
fn bundled_messages_share_a_call_a_slot_and_the_send_rate() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    set.kinds[0].max_batch_size = 5;
    let mut harness = SenderHarness::new(set, vec![Entry { weight: 2.0, ..entry(1, 7) }]);
    harness.demand(0, 7, 0);
    (1..9).for_each(|id| drop(harness.demand(id, 7, 0)));
    assert_eq!(harness.in_flight.len(), 1);
    assert_eq!(attempted_ids(&harness.wait(520_000)).len(), 5, "the next call carries five");
}

#[test]
fn the_endpoint_list_is_requested_again_after_a_failure() {
    let mut set = settings();
    set.discovery = DiscoveryMode::Subscribe;
    let mut harness = SenderHarness::new(set, vec![]);
    assert!(harness.last_actions.contains(&Action::Subscribe));
    assert!(!harness.feed(vec![Event::ListFailed]).contains(&Action::Subscribe));
    assert!(harness.wait(S).contains(&Action::Subscribe));
}

#[test]
fn events_for_unknown_or_expired_messages_start_no_attempt() {
    let mut harness = SenderHarness::new(settings(), vec![entry(1, 7)]);
    let late = Event::Demand(Message {
        id: MessageId(9),
        destination: DestinationId(7),
        class: ClassId(0),
        tenant: TenantId(3),
        key: None,
        due: Micros(0),
    });
    let done = harness.feed(vec![Event::Withdrawn(MessageId(77)), Event::AnswerStarted(MessageId(4)), late]);
    assert_eq!(answered_ids(&done), [9]);
    assert!(attempted_ids(&done).is_empty());
}

fn count_trials(senders: u32) -> usize {
    let mut set = settings();
    set.senders = senders;
    set.weights = Weights::Nominal;
    set.limits.max_attempts = Some(1000);
    let mut harness = SenderHarness::new(set, vec![Entry { weight: 4.0, ..entry(1, 7) }]);
    harness.demand(1, 7, 0);
    harness.returns(1, Outcome::ConnectFailed);
    let mut trials = 0;
    for _ in 0..270 {
        trials += attempted_ids(&harness.wait(100_000)).len();
        if let Some(a) = harness.in_flight.first().copied() {
            harness.returns(a.id, Outcome::ConnectFailed);
        }
    }
    trials
}

/// Guards against overload by trials: those of eleven senders together overloaded a returning destination.
#[test]
fn trials_of_many_senders_are_spaced_further_apart() {
    let (few, many) = (count_trials(2), count_trials(11));
    assert!(many >= 1 && many * 2 < few, "{few} trials by one of two, {many} by one of eleven");
}

/// Guards against late messages: with each of nine senders kept to a ninth of the limit, busy ones were late.
#[test]
fn the_send_rate_starts_at_half_of_a_known_limit_for_any_number_of_senders() {
    let mut set = settings();
    set.weights = Weights::Nominal;
    set.senders = 9;
    let mut harness = SenderHarness::new(set, vec![Entry { weight: 8.0, ..entry(1, 7) }]);
    (0..20).for_each(|id| drop(harness.demand(id, 7, 0)));
    assert!(attempted_ids(&harness.wait(S)).len() >= 3);
}

#[test]
fn the_rate_rises_above_its_initial_value_during_slow_start() {
    let mut set = settings();
    set.limits.max_open = None;
    let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
    fail_two_connects(&mut harness);
    (3..20).for_each(|id| drop(harness.demand(id, 7, 0)));
    harness.wait(4 * S);
    let mut counts = vec![];
    for span in 0..4 {
        let mut sent = 0;
        for step in 0..40 {
            while let Some(a) = harness.in_flight.first().copied() {
                harness.returns(a.id, Outcome::Ok);
            }
            sent += attempted_ids(&harness.demand(1000 + 40 * span + step, 7, 0)).len();
            sent += attempted_ids(&harness.wait(100_000)).len();
        }
        counts.push(sent);
    }
    assert!(counts[0] >= 1 && counts[2] > counts[0], "{counts:?}");
}
