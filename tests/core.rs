//! The facade round the module: what it orders, when, and what outlasts it. No sockets.

mod common;

use common::{class, keyed, settings, S};
use indigohold::core::*;
use indigohold::store::home::Memory;
use indigohold::store::Journal;
use indigohold::{Effect, Micros};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tempfile::tempdir;

fn courier(dir: &Path) -> Courier {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe), class(keyed()), class(Effect::Unsafe)];
    let clock = Clock::start();
    let journal = Journal::open(dir, 3_000_000, clock.now()).unwrap();
    Courier::new(settings, 1, clock, journal, Options::default())
}

fn line(name: &str, dest: u16, state: EndpointState) -> EndpointRecord {
    let addr: SocketAddr = "127.0.0.1:9".parse().unwrap();
    EndpointRecord { name: name.into(), addr, dest, kind: 0, zone: 0, state, weight: 1.0, rank: 0 }
}

fn list(courier: &Courier, front: u8, backends: Vec<EndpointRecord>) {
    let word = ListUpdate::full(Source::Discovery, 0, backends, courier.clock.now());
    courier.report(Report::List { front, update: word });
}

fn req(courier: &Courier, id: &str, front: u8, dest: u16, class: u16) -> Req {
    Req {
        id: id.into(),
        front,
        dest,
        class,
        tenant: 0,
        due: courier.clock.now() + Micros(20 * S),
        head: String::new(),
        body: [1, 2][..].into(),
        keep_id: courier.clock.now() + Micros(600 * S),
    }
}

fn take(courier: &Courier, id: &str, dest: u16, class: u16) -> u64 {
    match courier.report(Report::Req(req(courier, id, 0, dest, class))) {
        Answer::Taken(msg) => msg,
        other => panic!("{id}: {other:?}"),
    }
}

/// The next fetch or notice; orders to close idle connections or a withdrawn fetch are passed by.
fn next(courier: &Courier) -> Order {
    loop {
        match courier.next_order() {
            Order::CloseIdle(_) | Order::Cancel { .. } => {}
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

fn done(courier: &Courier, fetch: &Fetch, end: End) {
    let (fetch, load, said) = (fetch.clone(), Vec::new(), "its last word".to_owned());
    courier.report(Report::Done { fetch, end, latency: Micros(1000), load, reply: said });
}

/// Guards against a fetch that begins before its req is answered: its client has not heard that it is taken.
#[test]
fn a_fetch_waits_for_the_answer_of_its_req() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    list(&courier, 0, vec![line("a", 7, EndpointState::Up), line("b", 8, EndpointState::Up)]);
    let first = take(&courier, "first", 7, 0);
    let second = take(&courier, "second", 8, 0);
    courier.report(Report::Answered(second));
    assert_eq!(fetch(&courier).msg, second, "the first is not answered yet");
    courier.report(Report::Answered(first));
    assert_eq!(fetch(&courier).msg, first);
}

/// Guards against a message that is delivered though its client went before it heard of it.
#[test]
fn a_withdrawn_req_is_not_sent_and_frees_its_slot() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    list(&courier, 0, vec![line("a", 7, EndpointState::Up)]);
    for n in 0..200 {
        let gone = take(&courier, &format!("gone-{n}"), 7, 2);
        courier.report(Report::Withdrawn(gone));
    }
    let stays = take(&courier, "stays", 7, 2);
    courier.report(Report::Answered(stays));
    assert_eq!(fetch(&courier).msg, stays);
}

/// Guards against a message that two clients handed in under one id going with the first of them, when the second was
/// told that it is taken on; and against another's message being taken for one that it is not.
#[test]
fn who_goes_takes_no_other_s_message_with_it() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    list(&courier, 0, vec![line("a", 7, EndpointState::Up)]);
    let again = |class, body: &[u8]| {
        let same = req(&courier, "m", 0, 7, class);
        courier.report(Report::Req(Req { keep_id: Micros(0), body: body.into(), ..same }))
    };
    let Answer::Taken(msg) = again(1, &[1]) else { panic!("it is new") };
    assert!(matches!(again(0, &[1]), Answer::Refused(_)), "not the same message");
    assert!(matches!(again(1, &[2]), Answer::Refused(_)), "nor this one");
    assert_eq!(again(1, &[1]), Answer::Known);
    courier.report(Report::Withdrawn(msg));
    assert_eq!(fetch(&courier).msg, msg);
}

/// Guards against a repeat whose connection, or whose turn, came so late that its partner had forgotten the first.
#[test]
fn a_keyed_repeat_does_not_begin_outside_its_window() {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe), class(keyed())];
    let start = Micros(1_000 * S);
    let journal = Journal::at(Box::new(Memory::default()), 3_000_000, start).unwrap();
    let (mut core, orders) = Core::new(settings, 1, start, journal, Options::default());
    let word = ListUpdate::full(Source::Discovery, 0, vec![line("a", 7, EndpointState::Up)], start);
    core.report(start, Report::List { front: 0, update: word });
    let ordered = |core: &mut Core, from: Micros| {
        (0..1_500).find_map(|n| {
            let now = from + Micros(n * 5_000);
            core.tick(now);
            let fetch = orders.try_iter().find_map(|o| match o {
                Order::Fetch(fetch) => Some(fetch),
                _ => None,
            });
            fetch.map(|fetch| (now, fetch))
        })
    };
    for (id, late) in [("in-time", false), ("late", true)] {
        let now = start + Micros(if late { 60 * S } else { 0 });
        let req = Req {
            id: id.into(),
            front: 0,
            dest: 7,
            class: 1,
            tenant: 0,
            due: now + Micros(28 * S),
            head: "k".into(),
            body: [1][..].into(),
            keep_id: Micros(0),
        };
        let Answer::Taken(msg) = core.report(now, Report::Req(req)) else { panic!("it is taken") };
        core.report(now, Report::Answered(msg));
        let (now, first) = ordered(&mut core, now).expect("a first fetch");
        assert_eq!(core.report(now, Report::Begin(first.clone())), Answer::MayBegin(true));
        let (end, latency, load, said) = (End::Broke, Micros(1_000), Vec::new(), String::new());
        core.report(now + Micros(S), Report::Done { fetch: first, end, latency, load, reply: said });
        let (at, again) = ordered(&mut core, now + Micros(S)).expect("a repeat within the window");
        assert!(at < now + Micros(12 * S));
        // Its connection comes up at once, or once the window of 12 s is over.
        let begins = if late { now + Micros(12 * S + 1) } else { at };
        assert_eq!(core.report(begins, Report::Begin(again.clone())), Answer::MayBegin(!late), "{id}");
        let (end, load, said) = (if late { End::Unsent } else { End::Delivered }, Vec::new(), String::new());
        core.report(begins, Report::Done { fetch: again, end, latency, load, reply: said });
    }
}

#[test]
fn unknown_destinations_fail_once_the_front_has_a_fresh_list() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    let ask = |front, dest| courier.report(Report::Req(req(&courier, "x", front, dest, 0)));
    let backends = vec![line("a", 7, EndpointState::Up)];
    let word = ListUpdate::full(Source::Configured, 0, backends, courier.clock.now());
    courier.report(Report::List { front: 0, update: word });
    assert!(matches!(ask(0, 9), Answer::Refused(_)), "the list may be old");
    list(&courier, 0, vec![line("a", 7, EndpointState::Up)]);
    assert_eq!(ask(0, 9), Answer::NoSuchDest);
    assert!(matches!(ask(1, 9), Answer::Refused(_)), "the other front has none");
}

/// Guards against one front's list ending the other's backends, and against a first byte after a drain.
#[test]
fn lists_are_kept_apart_and_a_removed_backend_gets_nothing_new() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    list(&courier, 0, vec![line("a", 7, EndpointState::Up)]);
    list(&courier, 1, vec![line("a", 8, EndpointState::Up), line("b", 9, EndpointState::Up)]);
    let msg = take(&courier, "m", 7, 0);
    courier.report(Report::Answered(msg));
    let out = fetch(&courier);
    list(&courier, 1, vec![line("b", 9, EndpointState::Up)]);
    assert_eq!(
        courier.report(Report::Begin(out.clone())),
        Answer::MayBegin(true),
        "the other front's is gone"
    );
    list(&courier, 0, vec![line("a", 7, EndpointState::Draining)]);
    assert_eq!(courier.report(Report::Begin(out)), Answer::MayBegin(false));
}

#[test]
fn nothing_begins_that_cannot_finish_before_the_end() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let courier = courier(&dir);
    list(&courier, 0, vec![line("a", 7, EndpointState::Up)]);
    let msg = take(&courier, "m", 7, 1);
    courier.report(Report::Answered(msg));
    let out = fetch(&courier);
    courier.stop(Instant::now() + Duration::from_millis(100));
    assert_eq!(courier.report(Report::Begin(out.clone())), Answer::MayBegin(false));
    done(&courier, &out, End::Unsent);
    drop(courier);
    let journal = Journal::open(&dir, 3_000_000, Micros(0)).unwrap();
    assert_eq!(journal.owed()[&msg].tries, 0, "the next life takes it up as it was");
}

/// Guards against a repeat in the next life of what may not be repeated, and against its silent end.
#[test]
fn a_fetch_out_at_a_kill_may_have_run() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let before = courier(&dir);
    list(&before, 0, vec![line("a", 7, EndpointState::Up)]);
    let (once, safe) = (take(&before, "once", 7, 2), take(&before, "safe", 7, 0));
    for msg in [once, safe] {
        before.report(Report::Answered(msg));
        let out = fetch(&before);
        assert_eq!(before.report(Report::Begin(out)), Answer::MayBegin(true));
    }
    drop(before);
    let after = courier(&dir);
    match next(&after) {
        Order::Notice(notice) => assert_eq!((notice.msg, notice.verdict), (once, Verdict::GivenUp)),
        other => panic!("{other:?}"),
    }
    list(&after, 0, vec![line("a", 7, EndpointState::Up)]);
    let again = fetch(&after);
    assert_eq!((again.msg, again.attempt), (safe, 1));
    // Until it is told, the end is owed, also in the life after.
    drop(after);
    let last = courier(&dir);
    match next(&last) {
        Order::Notice(notice) => assert_eq!(notice.msg, once),
        other => panic!("{other:?}"),
    }
    last.report(Report::NoticeDelivered(once));
    let known = last.report(Report::Req(req(&last, "once", 0, 7, 2)));
    assert_eq!(known, Answer::Known, "it may have run, and is recognised when it comes again");
}

/// Guards against two answers: a refusal for good ends the message with one notice, which has the backend's word.
#[test]
fn a_rejected_message_ends_once_and_may_come_again() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    list(&courier, 0, vec![line("a", 7, EndpointState::Up)]);
    let msg = take(&courier, "m", 7, 2);
    courier.report(Report::Answered(msg));
    let out = fetch(&courier);
    assert_eq!(courier.report(Report::Begin(out.clone())), Answer::MayBegin(true));
    done(&courier, &out, End::Rejected);
    match next(&courier) {
        Order::Notice(notice) => {
            assert_eq!(
                (notice.msg, notice.verdict, &*notice.last_reply),
                (msg, Verdict::GivenUp, "its last word")
            );
        }
        other => panic!("{other:?}"),
    }
    courier.report(Report::NoticeDelivered(msg));
    let again = take(&courier, "m", 7, 2);
    courier.report(Report::Answered(again));
    assert_eq!(fetch(&courier).msg, again, "the first one's notice was its only one");
}

/// Guards against memory that fills with the names of backends that come and go all day.
#[test]
fn backends_that_have_gone_are_forgotten() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let courier = courier(&dir);
    for n in 0..5_000 {
        list(&courier, 0, vec![line(&format!("s-{n}"), 3, EndpointState::Up)]);
    }
    assert!(courier.backends() < 600, "{}", courier.backends());
    // What is listed still serves.
    let msg = take(&courier, "m", 3, 0);
    courier.report(Report::Answered(msg));
    assert_eq!(fetch(&courier).backend.name, "s-4999");
}

/// Guards against a destination that is taken for out at the start, because the list that was kept names a backend
/// that has gone meanwhile: nothing is sent by a kept list while the register may still speak.
#[test]
fn a_kept_list_waits_for_the_register_but_not_for_long() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let courier = courier(&dir);
    let kept = |names: &[&str]| {
        let lines = names.iter().map(|n| line(n, 3, EndpointState::Up)).collect();
        Report::List {
            front: 0,
            update: ListUpdate::full(Source::Configured, 0, lines, Clock::start().now()),
        }
    };
    courier.report(kept(&["gone"]));
    let first = take(&courier, "m1", 3, 0);
    courier.report(Report::Answered(first));
    list(&courier, 0, vec![line("new", 3, EndpointState::Up)]);
    let sent = fetch(&courier);
    assert_eq!((sent.msg, sent.backend.name.as_str()), (first, "new"));
    done(&courier, &sent, End::Delivered);
    std::fs::remove_dir_all(&dir).unwrap();
    // The register is down: after a moment the kept list is all there is.
    let courier = self::courier(&dir);
    courier.report(kept(&["kept"]));
    let second = take(&courier, "m2", 3, 0);
    courier.report(Report::Answered(second));
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_millis(700) {
        courier.tick();
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fetch(&courier).backend.name, "kept");
}

/// Guards against an end that lies on the desk until the next event: whoever found the core held leaves it there.
#[test]
fn ends_of_many_threads_are_all_taken_in_at_once() {
    const ROUNDS: usize = 60;
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    let backends: Vec<EndpointRecord> =
        (0..8).map(|n| line(&format!("b{n}"), n, EndpointState::Up)).collect();
    list(&courier, 0, backends);
    for round in 0..ROUNDS {
        let mut fetches = Vec::new();
        for n in 0..8 {
            let msg = take(&courier, &format!("{round}.{n}"), n, 2);
            courier.report(Report::Answered(msg));
            fetches.push(fetch(&courier));
        }
        std::thread::scope(|threads| {
            for fetch in &fetches {
                threads.spawn(|| {
                    assert_eq!(courier.report(Report::Begin(fetch.clone())), Answer::MayBegin(true));
                    done(&courier, fetch, End::Delivered);
                });
            }
            threads.spawn(|| (0..50).for_each(|_| assert!(courier.owed() <= 8)));
        });
        // Nothing has happened since: no tick, no other report.
        assert_eq!(courier.owed(), 0, "round {round}");
    }
}

/// The need: a client heeds so long at most, and was told a second by a courier that knew no destination yet.
#[test]
fn nobody_is_told_to_stay_away_longer_than_the_settings_say() {
    let (clock, mut set) = (Clock::start(), settings());
    set.limits.max_retry_after = Some(Micros(S / 5));
    let journal = Journal::at(Box::new(Memory::default()), 3_000_000, clock.now()).unwrap();
    let courier = Courier::new(set, 1, clock, journal, Options::default());
    assert_eq!(courier.report(Report::Req(req(&courier, "m1", 0, 3, 0))), Answer::Refused(Micros(S / 5)));
}
