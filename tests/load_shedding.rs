//! Load shedding: which messages are declined when the capacity for held messages (`max_open`) is used up.

mod common;
use common::*;
use indigohold::*;

#[test]
fn at_capacity_messages_are_declined_at_once_with_a_retry_after() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut harness = SenderHarness::new(set, vec![]);
    let mut shed = vec![];
    (0..30).for_each(|id| shed.extend(harness.demand(id, 7, 0)));
    assert_eq!(answered_ids(&shed).len(), 11);
    for action in &shed {
        assert!(!matches!(action, Action::Decline { retry_after: Micros(0), .. }));
    }
}

/// Guards against shedding, at capacity, messages of high and low worth alike for the same destination.
#[test]
fn messages_of_the_least_worth_are_shed_first_from_the_longest_queue() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    set.classes[1].worth = 5.0;
    let mut harness = SenderHarness::new(set, vec![]);
    (0..10).for_each(|id| drop(harness.demand(id, 7, 0)));
    let done: Vec<u64> = (10..25).flat_map(|id| answered_ids(&harness.demand(id, 7, 1))).collect();
    assert!(!done.is_empty() && done.iter().all(|id| *id < 10), "{done:?}");
}

/// Guards against an accepted message that is declined, without an attempt and with most of its time left,
/// only because another message for the same destination was submitted.
#[test]
fn a_new_message_does_not_displace_accepted_ones_of_its_destination() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut harness = SenderHarness::new(set, vec![]);
    let mut ended: Vec<u64> = (0..19).flat_map(|id| answered_ids(&harness.demand(id, 7, 0))).collect();
    assert_eq!(ended, Vec::<u64>::new(), "nothing is shed below the capacity");
    // The waiting messages are overdue by now, but they were accepted and stay.
    harness.now += 6 * S;
    ended.extend(answered_ids(&harness.wait(S)));
    for id in 20..40 {
        assert_eq!(answered_ids(&harness.demand(id, 7, 0)), [id], "the new message is shed");
    }
    assert_eq!(ended, Vec::<u64>::new());
}

/// Guards against the reverse: one destination's messages use up the capacity, and new messages for others are
/// refused.
#[test]
fn messages_of_the_destination_with_by_far_the_longest_queue_are_shed_for_another() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut harness = SenderHarness::new(set, vec![]);
    (0..19).for_each(|id| drop(harness.demand(id, 7, 0)));
    let ended: Vec<u64> = (20..25).flat_map(|id| answered_ids(&harness.demand(id, 8, 0))).collect();
    assert_eq!(ended.len(), 5);
    assert!(ended.iter().all(|id| *id < 19), "{ended:?}");
    // By now neither queue is far longer than the other, and accepted messages stay.
    let more: Vec<u64> = (30..40).flat_map(|id| answered_ids(&harness.demand(id, 8, 0))).collect();
    assert!(more.iter().filter(|id| **id >= 30).count() >= 6, "{more:?}");
}

/// Guards against shedding first the messages that an earlier process run accepted, because they come in at
/// the start of this one.
#[test]
fn resumed_messages_do_not_count_as_new() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut harness = SenderHarness::new(set, vec![]);
    let resumed = |harness: &SenderHarness, id: u64| {
        let Event::Demand(message) = harness.message(id, 7, 0, None) else { unreachable!() };
        // They have more time left than the new message, which alone would make them the first to be shed.
        let message = Message { due: message.due + Micros(S), ..message };
        Event::Resumed { message, attempts: 0, first_uncertain: None }
    };
    let old: Vec<Event> = (0..19).map(|id| resumed(&harness, id)).collect();
    let new = harness.message(50, 7, 0, None);
    let done = harness.feed(old.into_iter().chain([new]).collect());
    assert_eq!(answered_ids(&done), [50]);
}
