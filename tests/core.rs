//! The courier core without sockets: which orders it gives, when it gives them, and which state survives a restart
//! of the process.

mod common;

use common::{class, keyed, settings, S};
use indigohold::core::*;
use indigohold::store::storage::MemoryStorage;
use indigohold::store::Journal;
use indigohold::{Effect, Micros};
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

fn endpoint(name: &str, dest: u16, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        name: name.into(),
        addr: ([127, 0, 0, 1], 9).into(),
        dest,
        kind: "".into(),
        zone: "".into(),
        state,
        weight: 1.0,
        rank: 0,
    }
}

fn report_list(courier: &Courier, front: u8, backends: Vec<EndpointRecord>) {
    let update = ListUpdate::full(Source::Discovery, 0, backends, courier.clock.now());
    courier.report(Report::List { front, update });
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
        keep_id_until: courier.clock.now() + Micros(600 * S),
    }
}

fn accept(courier: &Courier, id: &str, dest: u16, class: u16) -> u64 {
    match courier.report(Report::Req(req(courier, id, 0, dest, class))) {
        Answer::Taken(msg) => msg,
        other => panic!("{id}: {other:?}"),
    }
}

/// Returns the next fetch or notice; skips orders to close idle connections and to cancel a fetch.
fn next_fetch_or_notice(courier: &Courier) -> Order {
    loop {
        match courier.next_order() {
            Order::CloseIdle(_) | Order::Cancel { .. } => {}
            order => return order,
        }
    }
}

fn next_fetch(courier: &Courier) -> Fetch {
    match next_fetch_or_notice(courier) {
        Order::Fetch(fetch) => fetch,
        other => panic!("{other:?}"),
    }
}

fn report_done(courier: &Courier, fetch: &Fetch, end: End) {
    let (fetch, load, reply) = (fetch.clone(), Vec::new(), "its last word".to_owned());
    courier.report(Report::Done { fetch, end, latency: Micros(1000), load, reply });
}

/// Guards against a fetch that is ordered before its req is answered: the client does not know yet that the message is
/// accepted.
#[test]
fn a_fetch_is_ordered_only_after_its_req_is_answered() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up), endpoint("b", 8, EndpointState::Up)]);
    let first = accept(&courier, "first", 7, 0);
    let second = accept(&courier, "second", 8, 0);
    courier.report(Report::Answered(second));
    assert_eq!(next_fetch(&courier).msg, second, "the first is not answered yet");
    courier.report(Report::Answered(first));
    assert_eq!(next_fetch(&courier).msg, first);
}

/// Guards against the delivery of a message whose client disconnected before it got the answer, and against withdrawn
/// messages that keep their slots.
#[test]
fn a_withdrawn_req_is_not_sent_and_frees_its_slot() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    for n in 0..200 {
        let withdrawn = accept(&courier, &format!("gone-{n}"), 7, 2);
        courier.report(Report::Withdrawn(withdrawn));
    }
    let kept = accept(&courier, "stays", 7, 2);
    courier.report(Report::Answered(kept));
    assert_eq!(next_fetch(&courier).msg, kept);
}

/// Two clients hand in the same message under one id, and the first withdraws. Guards against dropping the message that
/// the second was told is accepted, and against treating a req with another class or body as the same message.
#[test]
fn a_withdrawal_keeps_a_message_that_another_client_handed_in() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    let hand_in = |class, body: &[u8]| {
        let template = req(&courier, "m", 0, 7, class);
        courier.report(Report::Req(Req { keep_id_until: Micros(0), body: body.into(), ..template }))
    };
    let Answer::Taken(msg) = hand_in(1, &[1]) else { panic!("the first req must be accepted") };
    assert!(matches!(hand_in(0, &[1]), Answer::Refused(_)), "another class is another message");
    assert!(matches!(hand_in(1, &[2]), Answer::Refused(_)), "another body is another message");
    assert_eq!(hand_in(1, &[1]), Answer::Known);
    courier.report(Report::Withdrawn(msg));
    assert_eq!(next_fetch(&courier).msg, msg);
}

/// Guards against a keyed repeat that begins after the partner has forgotten the first attempt, because the repeat was
/// ordered too late or its connection was established too late.
#[test]
fn a_keyed_repeat_does_not_begin_outside_its_key_window() {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe), class(keyed())];
    let start = Micros(1_000 * S);
    let journal = Journal::open_storage(Box::new(MemoryStorage::default()), 3_000_000, start).unwrap();
    let (mut core, orders) = Core::new(settings, 1, start, journal, Options::default());
    let update = ListUpdate::full(Source::Discovery, 0, vec![endpoint("a", 7, EndpointState::Up)], start);
    core.report(start, Report::List { front: 0, update });
    let next_fetch_from = |core: &mut Core, from: Micros| {
        (0..1_500).find_map(|n| {
            let now = from + Micros(n * 5_000);
            core.tick(now);
            let fetch = orders.try_iter().find_map(|order| match order {
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
            keep_id_until: Micros(0),
        };
        let Answer::Taken(msg) = core.report(now, Report::Req(req)) else {
            panic!("the req must be accepted")
        };
        core.report(now, Report::Answered(msg));
        let (now, first) = next_fetch_from(&mut core, now).expect("a first fetch");
        assert_eq!(core.report(now, Report::Begin(first.clone())), Answer::MayBegin(true));
        let (end, latency, load, reply) = (End::Broke, Micros(1_000), Vec::new(), String::new());
        core.report(now + Micros(S), Report::Done { fetch: first, end, latency, load, reply });
        let (ordered_at, repeat) =
            next_fetch_from(&mut core, now + Micros(S)).expect("a repeat within the window");
        assert!(ordered_at < now + Micros(12 * S));
        // The connection for the repeat is ready at once, or only after the key window of 12 s has ended.
        let begins_at = if late { now + Micros(12 * S + 1) } else { ordered_at };
        assert_eq!(core.report(begins_at, Report::Begin(repeat.clone())), Answer::MayBegin(!late), "{id}");
        let (end, load, reply) = (if late { End::Unsent } else { End::Delivered }, Vec::new(), String::new());
        core.report(begins_at, Report::Done { fetch: repeat, end, latency, load, reply });
    }
}

#[test]
fn unknown_destinations_are_rejected_only_with_a_discovered_list() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    let hand_in = |front, dest| courier.report(Report::Req(req(&courier, "x", front, dest, 0)));
    let backends = vec![endpoint("a", 7, EndpointState::Up)];
    let update = ListUpdate::full(Source::Configured, 0, backends, courier.clock.now());
    courier.report(Report::List { front: 0, update });
    assert!(matches!(hand_in(0, 9), Answer::Refused(_)), "a configured list may be outdated");
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    assert_eq!(hand_in(0, 9), Answer::NoSuchDest);
    assert!(matches!(hand_in(1, 9), Answer::Refused(_)), "the other front has no list");
}

/// Guards against a list of one front that removes backends of another front, and against an attempt that begins on a
/// backend that is draining.
#[test]
fn lists_are_separate_per_front_and_a_draining_backend_gets_no_new_attempt() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    report_list(&courier, 1, vec![endpoint("a", 8, EndpointState::Up), endpoint("b", 9, EndpointState::Up)]);
    let msg = accept(&courier, "m", 7, 0);
    courier.report(Report::Answered(msg));
    let ordered = next_fetch(&courier);
    report_list(&courier, 1, vec![endpoint("b", 9, EndpointState::Up)]);
    assert_eq!(
        courier.report(Report::Begin(ordered.clone())),
        Answer::MayBegin(true),
        "only the backend of the other front was removed"
    );
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Draining)]);
    assert_eq!(courier.report(Report::Begin(ordered)), Answer::MayBegin(false));
}

/// Guards against an attempt that begins so close to the drain deadline that it would be cut off.
#[test]
fn no_attempt_begins_that_cannot_finish_before_the_drain_deadline() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let courier = courier(&dir);
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    let msg = accept(&courier, "m", 7, 1);
    courier.report(Report::Answered(msg));
    let ordered = next_fetch(&courier);
    courier.stop(Instant::now() + Duration::from_millis(100));
    assert_eq!(courier.report(Report::Begin(ordered.clone())), Answer::MayBegin(false));
    report_done(&courier, &ordered, End::Unsent);
    drop(courier);
    let journal = Journal::open(&dir, 3_000_000, Micros(0)).unwrap();
    assert_eq!(
        journal.pending()[&msg].attempts,
        0,
        "the next run recovers the message without a counted attempt"
    );
}

/// Guards against repeating an unsafe message after a restart: its attempt was in flight when the process was killed and
/// may have run. Guards also against giving it up without a notice.
#[test]
fn an_attempt_in_flight_at_a_kill_counts_as_possibly_run() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let before = courier(&dir);
    report_list(&before, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    let (unsafe_msg, safe_msg) = (accept(&before, "once", 7, 2), accept(&before, "safe", 7, 0));
    for msg in [unsafe_msg, safe_msg] {
        before.report(Report::Answered(msg));
        let ordered = next_fetch(&before);
        assert_eq!(before.report(Report::Begin(ordered)), Answer::MayBegin(true));
    }
    drop(before);
    let after = courier(&dir);
    match next_fetch_or_notice(&after) {
        Order::Notice(notice) => {
            assert_eq!((notice.msg, notice.verdict), (unsafe_msg, FinalOutcome::GivenUp))
        }
        other => panic!("{other:?}"),
    }
    report_list(&after, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    let again = next_fetch(&after);
    assert_eq!((again.msg, again.attempt), (safe_msg, 1));
    // The notice stays pending until it is delivered, also across another restart.
    drop(after);
    let last = courier(&dir);
    match next_fetch_or_notice(&last) {
        Order::Notice(notice) => assert_eq!(notice.msg, unsafe_msg),
        other => panic!("{other:?}"),
    }
    last.report(Report::NoticeDelivered(unsafe_msg));
    let known = last.report(Report::Req(req(&last, "once", 0, 7, 2)));
    assert_eq!(known, Answer::Known, "it may have run, so the same req is recognised as known");
}

/// Guards against two notices for one message: a permanent rejection gives one notice, which carries the backend's reply.
#[test]
fn a_rejected_message_gives_one_notice_and_may_be_handed_in_again() {
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    report_list(&courier, 0, vec![endpoint("a", 7, EndpointState::Up)]);
    let msg = accept(&courier, "m", 7, 2);
    courier.report(Report::Answered(msg));
    let ordered = next_fetch(&courier);
    assert_eq!(courier.report(Report::Begin(ordered.clone())), Answer::MayBegin(true));
    report_done(&courier, &ordered, End::Rejected);
    match next_fetch_or_notice(&courier) {
        Order::Notice(notice) => {
            assert_eq!(
                (notice.msg, notice.verdict, &*notice.last_reply),
                (msg, FinalOutcome::GivenUp, "its last word")
            );
        }
        other => panic!("{other:?}"),
    }
    courier.report(Report::NoticeDelivered(msg));
    let again = accept(&courier, "m", 7, 2);
    courier.report(Report::Answered(again));
    assert_eq!(next_fetch(&courier).msg, again, "the first message must give no second notice");
}

/// Guards against unbounded memory use when backends with new names come and go continuously.
#[test]
fn removed_backends_are_forgotten() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let courier = courier(&dir);
    for n in 0..5_000 {
        report_list(&courier, 0, vec![endpoint(&format!("s-{n}"), 3, EndpointState::Up)]);
    }
    assert!(courier.backends() < 600, "{}", courier.backends());
    // The backend that is still listed gets fetches.
    let msg = accept(&courier, "m", 3, 0);
    courier.report(Report::Answered(msg));
    assert_eq!(next_fetch(&courier).backend.name, "s-4999");
}

/// Guards against a destination that counts as unreachable at the start because the stored list names a backend that has
/// gone meanwhile: no fetch uses a stored list while the register may still answer.
#[test]
fn a_stored_list_is_used_only_after_the_wait_for_the_register() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let courier = courier(&dir);
    let stored_list = |names: &[&str]| {
        let endpoints = names.iter().map(|name| endpoint(name, 3, EndpointState::Up)).collect();
        Report::List {
            front: 0,
            update: ListUpdate::full(Source::Configured, 0, endpoints, Clock::start().now()),
        }
    };
    courier.report(stored_list(&["gone"]));
    let first = accept(&courier, "m1", 3, 0);
    courier.report(Report::Answered(first));
    report_list(&courier, 0, vec![endpoint("new", 3, EndpointState::Up)]);
    let sent = next_fetch(&courier);
    assert_eq!((sent.msg, sent.backend.name.as_str()), (first, "new"));
    report_done(&courier, &sent, End::Delivered);
    std::fs::remove_dir_all(&dir).unwrap();
    // The register does not answer: after a short wait the stored list is used.
    let courier = self::courier(&dir);
    courier.report(stored_list(&["kept"]));
    let second = accept(&courier, "m2", 3, 0);
    courier.report(Report::Answered(second));
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(700) {
        courier.tick();
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(next_fetch(&courier).backend.name, "kept");
}

/// Guards against the end of an attempt that stays in the queue until the next event: a thread that finds the core
/// locked puts its report into the queue, and the holder of the lock must process it.
#[test]
fn ends_reported_by_concurrent_threads_are_processed_at_once() {
    const ROUNDS: usize = 60;
    let home = tempdir().unwrap();
    let courier = courier(home.path());
    let backends: Vec<EndpointRecord> =
        (0..8).map(|n| endpoint(&format!("b{n}"), n, EndpointState::Up)).collect();
    report_list(&courier, 0, backends);
    for round in 0..ROUNDS {
        let mut fetches = Vec::new();
        for n in 0..8 {
            let msg = accept(&courier, &format!("{round}.{n}"), n, 2);
            courier.report(Report::Answered(msg));
            fetches.push(next_fetch(&courier));
        }
        std::thread::scope(|threads| {
            for fetch in &fetches {
                threads.spawn(|| {
                    assert_eq!(courier.report(Report::Begin(fetch.clone())), Answer::MayBegin(true));
                    report_done(&courier, fetch, End::Delivered);
                });
            }
            threads.spawn(|| (0..50).for_each(|_| assert!(courier.owed() <= 8)));
        });
        // No tick and no other report has happened since.
        assert_eq!(courier.owed(), 0, "round {round}");
    }
}

/// Guards against a retry-after above `max_retry_after`: a courier that knew no destination yet answered one second,
/// though its clients wait for a shorter time at most.
#[test]
fn retry_after_does_not_exceed_the_configured_maximum() {
    let (clock, mut settings) = (Clock::start(), settings());
    settings.limits.max_retry_after = Some(Micros(S / 5));
    let journal = Journal::open_storage(Box::new(MemoryStorage::default()), 3_000_000, clock.now()).unwrap();
    let courier = Courier::new(settings, 1, clock, journal, Options::default());
    assert_eq!(courier.report(Report::Req(req(&courier, "m1", 0, 3, 0))), Answer::Refused(Micros(S / 5)));
}
