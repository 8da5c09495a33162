//! Batches over sockets: a complete response decides the end of each message; a response may also be truncated at any byte,
//! invalid, or missing. The courier has one slot, so messages submitted while a call is in flight are sent as one batch when
//! it ends.

mod support;

use serde_json::{json, Value};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};
use support::partner::*;
use support::*;

/// Twenty messages are sent unchanged in one call, and each ends as the response says.
#[test]
fn each_of_twenty_messages_in_one_call_ends_by_its_own_state() {
    let world = world(partner(|nth, items| {
        let state = |i: usize| match i {
            _ if nth > 0 => "done",
            1 => "failed",
            2 => "busy",
            3 => "void",
            _ => "done",
        };
        let mut states: Vec<_> = ids(items).into_iter().enumerate().map(|(i, id)| (id, state(i))).collect();
        if nth == 0 {
            // The response omits the fifth message, and has a state for an unknown id, which concerns none of them.
            states[4].0 = "stranger".into();
        }
        Reply::Keeps(told(&states, ""))
    }));
    let (_program, addr) = world.start();
    let all = named("m", 20);
    world.together(addr, "gate", "print-order", &all);
    until("the second calls of three messages", || {
        let copies = world.copies();
        let singles = world.partner.singles.lock().unwrap().clone();
        let called_again = |id: &str| copies.get(id) == Some(&2) || singles.iter().any(|s| s == id);
        world.partner.gate.send(()).unwrap();
        ["m-1", "m-2", "m-4"].iter().all(|id| called_again(id))
    });
    let first = &world.batches()[0];
    assert_eq!(first.len(), 20, "one call");
    let mut sent = ids(first);
    sent.sort();
    let mut submitted = all.clone();
    submitted.sort();
    assert_eq!(sent, submitted);
    for item in first {
        assert_eq!(item["key"], format!("key-{}", item["id"].as_str().unwrap()));
        assert_eq!(item["body"], "YQBiImM=");
    }
    assert_eq!(
        world.copies().values().filter(|n| **n > 1).count() + world.partner.singles.lock().unwrap().len() - 1,
        3
    );
    assert!(world.discovery.notices.lock().unwrap().is_empty());
}

/// A truncated response proves nothing, wherever it ends and whether by FIN or by RST: a message that must not be repeated is
/// given up and not sent again. The complete response delivers.
#[test]
fn a_response_truncated_at_any_byte_neither_delivers_nor_causes_a_second_call() {
    let response = |items: &[Value]| all_done(items).into_bytes();
    let world = world(partner(move |nth, items| {
        let bytes = response(items);
        // Cut at every seventh byte, by FIN and by RST in turn; the last response is complete.
        let cut = (nth * 7).min(bytes.len());
        match (cut == bytes.len(), nth % 2) {
            (true, _) => Reply::Keeps(String::from_utf8(bytes).unwrap()),
            (false, 0) => Reply::Ends(bytes[..cut].to_vec()),
            (false, _) => Reply::Resets(bytes[..cut].to_vec()),
        }
    }));
    let (_program, addr) = world.start();
    let length = all_done(&[json!({"id": "c00-0"}), json!({"id": "c00-1"})]).len();
    let rounds = length.div_ceil(7);
    for round in 0..=rounds {
        let all = named(&format!("c{round:02}"), 2);
        // The gate's call succeeds, which restores a backend that was ejected.
        world.together(addr, &format!("gate{round:02}"), "render-status", &all);
        until("the batch", || world.batches().len() > round);
        if round < rounds {
            until("the notices", || all.iter().all(|id| world.discovery.noticed(id).is_some()));
            assert!(all.iter().all(|id| world.discovery.noticed(id).unwrap()["outcome"] == "given_up"));
        }
    }
    assert!(world.copies().values().all(|n| *n == 1), "{:?}", world.copies());
    let last = named(&format!("c{rounds:02}"), 2);
    assert!(last.iter().all(|id| world.discovery.noticed(id).is_none()), "the complete response delivers");
}

/// A courier is killed while a batch is in flight, and restarted. Repeatable messages are sent once more under their
/// keys; those that must not be repeated are given up.
#[test]
fn a_batch_in_flight_when_the_process_was_killed_may_have_taken_effect() {
    let world = world(partner(|nth, items| match nth {
        0 => Reply::Silent,
        _ => Reply::Keeps(all_done(items)),
    }));
    let (program, addr) = world.start();
    assert_eq!(hand_in(addr, "gate", "print-order"), 202);
    until("the call that holds the slot", || !world.partner.singles.lock().unwrap().is_empty());
    let (repeatable, unrepeatable) = (named("k", 4), named("u", 4));
    repeatable.iter().for_each(|id| assert_eq!(hand_in(addr, id, "print-order"), 202));
    unrepeatable.iter().for_each(|id| assert_eq!(hand_in(addr, id, "render-status"), 202));
    world.partner.gate.send(()).unwrap();
    until("a batch of both kinds", || world.batches().first().is_some_and(|batch| batch.len() == 8));
    program.kill();
    let (_program, _) = world.start();
    until("messages that must not be repeated are given up", || {
        unrepeatable.iter().all(|id| world.discovery.noticed(id).is_some_and(|n| n["outcome"] == "given_up"))
    });
    let called_again = |id: &String| {
        world.partner.gate.send(()).unwrap();
        world.copies()[id] == 2 || world.partner.singles.lock().unwrap().contains(id)
    };
    until("the second calls of the repeatable messages", || repeatable.iter().all(called_again));
    assert!(unrepeatable
        .iter()
        .all(|id| world.copies()[id] == 1 && !world.partner.singles.lock().unwrap().contains(id)));
}

/// SIGTERM arrives while a batch is in flight: the process ends in time, and the response still counts.
#[test]
fn the_response_to_a_batch_in_flight_at_sigterm_is_awaited() {
    let world = world(partner(|_, items| {
        thread::sleep(Duration::from_millis(900));
        Reply::Keeps(all_done(items))
    }));
    let (mut program, addr) = world.start();
    world.together(addr, "gate", "render-status", &named("t", 5));
    until("the batch", || world.batches().len() == 1);
    let signalled = Instant::now();
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
    assert!(signalled.elapsed() < Duration::from_millis(3_700), "{:?}", signalled.elapsed());
    let (mut program, _) = world.start();
    let ready = program.line("indigohold: ready");
    assert!(ready.contains(" 0 messages are owed"), "{ready}");
    assert!(world.discovery.notices.lock().unwrap().is_empty());
    assert!(world.copies().values().all(|n| *n == 1));
}

/// Members have different timeouts: the one that times out first must not be sent again while its call stays open for the
/// others. These settings allow one fetch in flight per message.
#[test]
fn a_member_that_times_out_first_has_no_second_copy_in_flight() {
    let world = world(partner(|nth, items| match nth {
        0 => Reply::Silent,
        _ => Reply::Keeps(all_done(items)),
    }));
    let mut config = world.config.clone();
    config["settings"]["familyInfo"]["slots"] = 4.into();
    let world = World { config, ..world };
    let (_program, addr) = world.start();
    assert_eq!(hand_in(addr, "wait", "print-order"), 202);
    until("the call that is refused with a wait", || !world.partner.singles.lock().unwrap().is_empty());
    let (repeatable, unrepeatable) = (named("k", 2), named("u", 2));
    repeatable.iter().for_each(|id| assert_eq!(hand_in(addr, id, "print-order"), 202));
    unrepeatable.iter().for_each(|id| assert_eq!(hand_in(addr, id, "render-status"), 202));
    let contains = |batch: &[Value], id: &str| batch.iter().any(|item| item["id"] == id);
    until("a batch of both kinds", || {
        world.partner.gate.send(()).unwrap();
        world.batches().first().is_some_and(|batch| contains(batch, "k-0") && contains(batch, "u-0"))
    });
    until("the second calls of the repeatable messages", || {
        world.partner.gate.send(()).unwrap();
        let singles = world.partner.singles.lock().unwrap().clone();
        repeatable.iter().all(|id| world.copies()[id] > 1 || singles.contains(id))
    });
    assert_eq!(world.partner.doubled.load(Ordering::SeqCst), 0);
}
