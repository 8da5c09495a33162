//! Ends of attempts whose first byte never went, against what an earlier process left without an outcome. No sockets.

mod common;

use common::{class, keyed, settings, S};
use indigohold::core::handover::HandoverState;
use indigohold::core::*;
use indigohold::store::{Journal, Succession};
use indigohold::{Effect, Micros};
use std::path::Path;
use tempfile::tempdir;

const DISK: u64 = 3_000_000;
const DEST: u16 = 7;
/// Of [`keyed`].
const WINDOW: Micros = Micros(12 * S);
const BEGIN: Micros = Micros(1_000 * S);
const DUE: Micros = Micros(1_000 * S + 40 * S);
const KEYED: u16 = 0;
const UNSAFE: u16 = 1;

/// A process on this folder, at this moment.
fn courier(dir: &Path, now: Micros) -> Courier {
    courier_after(dir, now, None)
}

/// The same behind a process that handed over, if one did.
fn courier_after(dir: &Path, now: Micros, passed: Option<HandoverState>) -> Courier {
    let mut settings = settings();
    settings.classes = vec![class(keyed()), class(Effect::Unsafe)];
    let succession = if passed.is_some() { Succession::HandOver } else { Succession::Restart };
    let journal = Journal::open_as(dir, DISK, now, 0, succession).unwrap();
    let options = Options { handed_over: passed, ..Options::default() };
    let courier = Courier::new(settings, 1, Clock::at(now), journal, options);
    list(&courier);
    courier
}

fn list(courier: &Courier) {
    let addr = "127.0.0.1:9".parse().unwrap();
    let name = "a".to_owned();
    let line = EndpointRecord {
        name,
        addr,
        dest: DEST,
        kind: 0,
        zone: 0,
        state: EndpointState::Up,
        weight: 1.0,
        rank: 0,
    };
    let word = ListUpdate::full(Source::Discovery, 0, vec![line], courier.clock.now());
    courier.report(Report::List { front: 0, update: word });
}

/// The next order that concerns a message.
fn next(courier: &Courier) -> Order {
    loop {
        courier.tick();
        match courier.next_order() {
            Order::CloseIdle(_) | Order::Cancel { .. } | Order::WatchList => {}
            order => return order,
        }
    }
}

fn fetch(courier: &Courier) -> Fetch {
    match next(courier) {
        Order::Fetch(fetch) => fetch,
        other => panic!("{other:?}"),
    }
}

fn over(courier: &Courier, fetch: Fetch, end: End) {
    let (latency, load, said) = (Micros(1_000), Vec::new(), String::new());
    courier.report(Report::Done { fetch, end, latency, load, reply: said });
}

/// A message whose only call was out when its process was killed.
fn left_out(dir: &Path, class: u16) {
    let courier = courier(dir, BEGIN);
    let req = Req {
        id: "m".into(),
        front: 0,
        dest: DEST,
        class,
        tenant: 0,
        due: DUE,
        head: "key".into(),
        body: [1, 2][..].into(),
        keep_id: Micros(0),
    };
    let Answer::Taken(msg) = courier.report(Report::Req(req)) else { panic!("not taken") };
    courier.report(Report::Answered(msg));
    let first = fetch(&courier);
    assert_eq!(courier.report(Report::Begin(first)), Answer::MayBegin(true));
}

fn is_given_up(courier: &Courier) -> bool {
    match next(courier) {
        Order::Notice(notice) => notice.verdict == Verdict::GivenUp,
        Order::Fetch(_) => false,
        other => panic!("{other:?}"),
    }
}

/// Ends of an attempt that may come before its first byte.
const UNBEGUN: [End; 4] = [End::NotConnected, End::NotBegun, End::Unsent, End::CalledOff];

#[test]
fn an_attempt_that_never_began_does_not_clear_the_call_of_an_earlier_process() {
    for end in UNBEGUN {
        let home = tempdir().unwrap();
        left_out(home.path(), KEYED);
        let second = courier(home.path(), BEGIN + Micros(2 * S));
        over(&second, fetch(&second), end);
        drop(second);
        let third = courier(home.path(), BEGIN + WINDOW + Micros(S));
        assert!(is_given_up(&third), "{end:?}: sent again outside its window");
    }
}

#[test]
fn what_may_not_be_repeated_is_never_sent_after_an_unknown_call() {
    let home = tempdir().unwrap();
    left_out(home.path(), UNSAFE);
    for life in 1..4 {
        let later = courier(home.path(), BEGIN + Micros(life * 2 * S));
        assert!(is_given_up(&later), "sent again in life {life}");
    }
}

/// Guards against an attempt that waits for its connection during an upgrade being taken for the earlier process's call.
#[test]
fn an_attempt_that_never_began_over_a_hand_over_does_not_clear_the_call_of_an_earlier_process() {
    for end in UNBEGUN {
        let home = tempdir().unwrap();
        left_out(home.path(), KEYED);
        let second = courier(home.path(), BEGIN + Micros(2 * S));
        let attempt = fetch(&second);
        let passed = second.freeze();
        let (to, ends) = crossbeam_channel::unbounded();
        second.hand_over(to);
        over(&second, attempt, end);
        drop(second);
        let third = courier_after(home.path(), BEGIN + Micros(3 * S), Some(passed));
        ends.try_iter().for_each(|call| third.complete_inherited_call(call));
        over(&third, fetch(&third), End::NotBegun);
        drop(third);
        let fourth = courier(home.path(), BEGIN + WINDOW + Micros(S));
        assert!(is_given_up(&fourth), "{end:?}: sent again outside its window");
    }
}
