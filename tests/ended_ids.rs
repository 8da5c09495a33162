//! Ids of ended messages: how many are kept, what is dropped first, what is refused, and what a kill or a failing disk leaves.

#[path = "support/faulty_storage.rs"]
mod faulty_storage;

use faulty_storage::{FaultyStorage, Script};
use indigohold::store::storage::Storage;
use indigohold::store::{Journal, Req};
use indigohold::Micros;
use std::collections::BTreeSet;
use std::sync::Arc;

const HOUR: u64 = 3_600_000_000;
const NOW: Micros = Micros(480_000 * HOUR);
const KEPT_FOR: u64 = 120 * HOUR;
/// Class of messages that must not run twice, and of those that may.
const ORDER: u16 = 0;
const STATUS: u16 = 1;

fn req(id: &str, class: u16, until: Micros) -> Arc<Req> {
    Arc::new(Req {
        id: id.to_owned(),
        front: 1,
        dest: 3,
        class,
        tenant: 0,
        due: NOW + Micros(HOUR),
        head: String::new(),
        body: vec![7; 20].into(),
        keep_id_until: until,
    })
}

fn open(storage: &FaultyStorage, budget: u64, now: Micros) -> Journal {
    let mut journal = Journal::open_storage(Box::new(storage.clone()), budget, now).unwrap();
    journal.set_repeatable_classes(BTreeSet::from([STATUS]));
    journal
}

/// Accepts a message, if its id can be remembered, and ends it after a call that may have run.
fn run(journal: &mut Journal, msg: u64, id: &str, class: u16, now: Micros) -> bool {
    let req = req(id, class, now + Micros(KEPT_FOR));
    if journal.must_remember(&req) && !journal.has_room_for_id(now, 0) {
        return false;
    }
    assert_eq!(journal.accept(&[(msg, req)]).unwrap(), 1);
    journal.start_attempt(msg, now, "s-1", None).unwrap();
    journal.end(msg, now);
    true
}

/// Guards against a second delivery: with the courier's 3 MB of disk, an id was dropped once some 5,500 others had ended.
#[test]
fn an_id_is_recognised_behind_twenty_thousand_others_and_after_restarts() {
    const COUNT: u64 = 20_000;
    let storage = FaultyStorage::default();
    for run_number in 0..4 {
        let mut journal = open(&storage, 3_000_000, NOW);
        for n in run_number * COUNT / 4..(run_number + 1) * COUNT / 4 {
            assert!(run(&mut journal, n + 1, &format!("order-{n}"), ORDER, NOW + Micros(n * 8_000)), "{n}");
        }
    }
    let journal = open(&storage, 3_000_000, NOW);
    let at = NOW + Micros(KEPT_FOR - HOUR);
    assert!((0..COUNT).all(|n| journal.knows_id(&format!("order-{n}"), at)));
    assert!(!journal.knows_id("order-20000", at));
    assert_eq!(journal.ended_id_figures().kept, COUNT);
    assert!(journal.disk_bytes() <= 3_000_000);
}

/// Guards against a promise that lapses when the room is full: what may run twice goes first, then nothing more is promised.
#[test]
fn a_full_room_drops_only_what_may_run_twice_and_then_promises_nothing_more() {
    let storage = FaultyStorage::default();
    let mut journal = open(&storage, 64 * 1024, NOW);
    let capacity = journal.ended_id_figures().capacity;
    for n in 0..capacity / 2 {
        assert!(run(&mut journal, 1_000_000 + n, &format!("status-{n}"), STATUS, NOW));
    }
    assert!((0..capacity / 2).all(|n| journal.knows_id(&format!("status-{n}"), NOW)));
    let orders =
        (0..capacity).take_while(|n| run(&mut journal, n + 1, &format!("order-{n}"), ORDER, NOW)).count();
    let orders = orders as u64;
    assert!(orders > capacity * 8 / 10 && orders < capacity, "{orders} of {capacity}");
    for at in [NOW, NOW + Micros(KEPT_FOR - 1_000)] {
        let journal = open(&storage, 64 * 1024, at);
        assert!((0..orders).all(|n| journal.knows_id(&format!("order-{n}"), at)), "at {at:?}");
    }
    let figures = journal.ended_id_figures();
    assert_eq!((figures.kept, figures.dropped), (orders, capacity / 2));
    // A message that may run twice is taken all the same, and takes no room from the others.
    assert!(run(&mut journal, 2_000_000, "late-status", STATUS, NOW));
    assert!((0..orders).all(|n| journal.knows_id(&format!("order-{n}"), NOW)));
    assert!(!run(&mut journal, 2_000_001, "late-order", ORDER, NOW));
    let expired = NOW + Micros(KEPT_FOR + 6 * HOUR);
    assert!(run(&mut journal, 2_000_002, "next-order", ORDER, expired), "there is room again");
    assert!(!journal.knows_id("order-0", expired));
    assert_eq!(journal.ended_id_figures().kept, 1);
}

/// Guards against more promises than there is room: a pending message has its room from its acceptance on.
#[test]
fn pending_messages_hold_the_room_for_their_ids() {
    let storage = FaultyStorage::default();
    let mut journal = open(&storage, 64 * 1024, NOW);
    let mut accepted = 0;
    while journal.has_room_for_id(NOW, 0) {
        let req = req(&format!("order-{accepted}"), ORDER, NOW + Micros(KEPT_FOR));
        accepted += 1;
        if journal.accept(&[(accepted, req)]).unwrap() == 0 {
            // The journal itself may be full first.
            accepted -= 1;
            break;
        }
    }
    assert!(!journal.has_room_for_id(NOW, 1_000));
    for msg in 1..=accepted {
        journal.start_attempt(msg, NOW, "s-1", None).unwrap();
        journal.end(msg, NOW);
    }
    assert!(accepted > 50, "{accepted}");
    assert!((0..accepted).all(|n| journal.knows_id(&format!("order-{n}"), NOW)));
    assert!(journal.disk_bytes() <= 64 * 1024);
}

/// Guards against an end that is on disk without the id: after a kill the message would be neither pending nor recognised.
#[test]
fn after_a_failing_disk_and_a_kill_a_message_is_pending_or_recognised() {
    for from in 0..24 {
        for count in [1, 2, 3, usize::MAX] {
            for (partial_bytes, truncate_fails) in [(0, false), (5, false), (5, true)] {
                let script = Script { from, count, partial_bytes, truncate_fails, ..Script::default() };
                let storage = FaultyStorage::new(script);
                let mut journal = open(&storage, 400_000, NOW);
                let mut begun = Vec::new();
                for msg in 1..=6 {
                    let req = req(&format!("order-{msg}"), ORDER, NOW + Micros(KEPT_FOR));
                    let accepted = journal.accept(&[(msg, req)]).is_ok_and(|count| count == 1);
                    if accepted && journal.start_attempt(msg, NOW, "s-1", None).is_ok() {
                        begun.push(msg);
                        journal.end(msg, NOW);
                    }
                }
                drop(journal);
                storage.recover();
                let journal = open(&storage, 400_000, NOW);
                for msg in begun {
                    let pending =
                        journal.pending().get(&msg).is_some_and(|state| state.first_uncertain.is_some());
                    let recognised = journal.knows_id(&format!("order-{msg}"), NOW);
                    assert!(pending || recognised, "{script:?}: message {msg} may run again");
                }
            }
        }
    }
}

#[test]
fn torn_and_damaged_entries_cost_no_other_id() {
    let storage = FaultyStorage::default();
    let mut journal = open(&storage, 400_000, NOW);
    for n in 0..20 {
        assert!(run(&mut journal, n + 1, &format!("order-{n}"), ORDER, NOW));
    }
    drop(journal);
    let mut files = storage.files.clone();
    let name = files.names().unwrap().into_iter().find(|name| name.starts_with("ids-")).unwrap();
    let mut bytes = files.read(&name).unwrap().unwrap();
    bytes[14 * 7 + 3] ^= 0x10;
    bytes.extend([1, 2, 3, 4, 5]);
    files.replace(&name, &bytes).unwrap();
    let mut journal = open(&storage, 400_000, NOW);
    assert!(run(&mut journal, 100, "order-later", ORDER, NOW));
    drop(journal);
    let journal = open(&storage, 400_000, NOW);
    let known = (0..20).filter(|n| journal.knows_id(&format!("order-{n}"), NOW)).count();
    assert_eq!((known, journal.knows_id("order-later", NOW)), (19, true));
}

/// Guards against an upgrade that forgets what the version before has promised.
#[test]
fn the_file_of_an_older_version_is_read_once() {
    let storage = FaultyStorage::default();
    let line = |id: &str, until: Micros| {
        let text = format!("{} {id}", until.0);
        format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
    };
    let until = NOW + Micros(KEPT_FOR);
    let text = line("kept", until) + &line("over", NOW) + "00000000 1 damaged\n" + &line("last", until);
    storage.files.clone().replace("ids.log", text.as_bytes()).unwrap();
    for _ in 0..2 {
        let journal = open(&storage, 400_000, NOW);
        assert!(
            journal.knows_id("kept", NOW) && journal.knows_id("last", NOW) && !journal.knows_id("over", NOW)
        );
        assert_eq!(storage.files.read("ids.log").unwrap(), None);
    }
}
