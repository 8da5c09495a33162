//! Who has to go when a courier's room is full.

mod common;
use common::*;
use indigohold::*;

#[test]
fn a_full_room_sheds_at_once_with_a_time_to_come_back() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut b = SenderHarness::new(set, vec![]);
    let mut shed = vec![];
    (0..30).for_each(|id| shed.extend(b.demand(id, 7, 0)));
    assert_eq!(answered_ids(&shed).len(), 11);
    for action in &shed {
        assert!(!matches!(action, Action::Decline { retry_after: Micros(0), .. }));
    }
}

/// Danger: a full room turned dear messages away as readily as cheap ones for the same destination.
#[test]
fn the_cheapest_are_shed_first_where_most_waits() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    set.classes[1].worth = 5.0;
    let mut b = SenderHarness::new(set, vec![]);
    (0..10).for_each(|id| drop(b.demand(id, 7, 0)));
    let done: Vec<u64> = (10..25).flat_map(|id| answered_ids(&b.demand(id, 7, 1))).collect();
    assert!(!done.is_empty() && done.iter().all(|id| *id < 10), "{done:?}");
}

/// Guards against a message that was taken on and is handed back, untried and with most of its time left, only because
/// another came to the same destination.
#[test]
fn who_comes_to_a_full_room_does_not_push_out_what_was_taken_on() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut b = SenderHarness::new(set, vec![]);
    let mut ended: Vec<u64> = (0..19).flat_map(|id| answered_ids(&b.demand(id, 7, 0))).collect();
    assert_eq!(ended, Vec::<u64>::new(), "there is room");
    // Those that wait are late by now; late or not, they were promised their end.
    b.now += 6 * S;
    ended.extend(answered_ids(&b.wait(S)));
    for id in 20..40 {
        assert_eq!(answered_ids(&b.demand(id, 7, 0)), [id], "who comes is told at the door");
    }
    assert_eq!(ended, Vec::<u64>::new());
}

/// Guards against the reverse: one destination's messages fill the room and others are turned away at the door.
#[test]
fn a_destination_with_far_more_waiting_makes_room_for_another() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut b = SenderHarness::new(set, vec![]);
    (0..19).for_each(|id| drop(b.demand(id, 7, 0)));
    let ended: Vec<u64> = (20..25).flat_map(|id| answered_ids(&b.demand(id, 8, 0))).collect();
    assert_eq!(ended.len(), 5);
    assert!(ended.iter().all(|id| *id < 19), "{ended:?}");
    // By now neither has far more than the other, and what was taken on stays.
    let more: Vec<u64> = (30..40).flat_map(|id| answered_ids(&b.demand(id, 8, 0))).collect();
    assert!(more.iter().filter(|id| **id >= 30).count() >= 6, "{more:?}");
}

/// Guards against what a former life took on being the first to go because it comes in at the start of this one.
#[test]
fn what_a_former_life_took_on_is_not_at_the_door() {
    let mut set = settings();
    set.limits.max_open = Some(20);
    let mut b = SenderHarness::new(set, vec![]);
    let resumed = |b: &SenderHarness, id: u64| {
        let Event::Demand(message) = b.message(id, 7, 0, None) else { unreachable!() };
        // With more time left than who comes: that alone would make them the first to go.
        let message = Message { due: message.due + Micros(S), ..message };
        Event::Resumed { message, attempts: 0, first_uncertain: None }
    };
    let old: Vec<Event> = (0..19).map(|id| resumed(&b, id)).collect();
    let new = b.message(50, 7, 0, None);
    let done = b.feed(old.into_iter().chain([new]).collect());
    assert_eq!(answered_ids(&done), [50]);
}
