//! The core while its journal cannot be written, without sockets and without a clock. Guards against a courier that
//! accepts a message or begins an attempt without a record of it, that sends a notice of an end which a kill could undo,
//! or that does not resume once the journal directory can be written again.

mod common;
#[path = "support/faulty_storage.rs"]
mod faulty_storage;

use common::{class, settings, S};
use crossbeam_channel::Receiver;
use faulty_storage::{FaultyStorage, Script, IO_ERROR};
use indigohold::core::*;
use indigohold::store::Journal;
use indigohold::{Effect, Micros};

const START: Micros = Micros(1_000 * S);
const DISK: u64 = 3_000_000;
const TIME_TO_DUE: Micros = Micros(20 * S);

struct ProcessRun {
    core: Core,
    orders: Receiver<Order>,
    now: Micros,
}

fn start_run(home: &FaultyStorage, now: Micros) -> ProcessRun {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
    let journal = Journal::open_storage(Box::new(home.clone()), DISK, now).unwrap();
    let (mut core, orders) = Core::new(settings, 1, now, journal, Options::default());
    let addr = "127.0.0.1:9".parse().unwrap();
    let endpoint = EndpointRecord {
        name: "a".into(),
        addr,
        dest: 7,
        kind: "".into(),
        zone: "".into(),
        state: EndpointState::Up,
        weight: 1.0,
        rank: 0,
    };
    core.report(
        now,
        Report::List { front: 0, update: ListUpdate::full(Source::Discovery, 0, vec![endpoint], now) },
    );
    ProcessRun { core, orders, now }
}

impl ProcessRun {
    fn accept(&mut self, id: &str, class: u16) -> Answer {
        let req = Req {
            id: id.into(),
            front: 0,
            dest: 7,
            class,
            tenant: 0,
            due: START + TIME_TO_DUE,
            head: String::new(),
            body: [1, 2][..].into(),
            keep_id_until: Micros(0),
        };
        let answer = self.core.report(self.now, Report::Req(req));
        if let Answer::Taken(msg) = answer {
            self.core.report(self.now, Report::Answered(msg));
        }
        answer
    }

    /// Ticks the core for `span` and returns the orders that it gave meanwhile.
    fn run_for(&mut self, span: Micros) -> Vec<Order> {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + Micros(5_000)).min(until);
            self.core.tick(self.now);
        }
        self.orders.try_iter().collect()
    }

    fn next_fetch(&mut self) -> Fetch {
        for _ in 0..2_000 {
            for order in self.run_for(Micros(5_000)) {
                if let Order::Fetch(fetch) = order {
                    return fetch;
                }
            }
        }
        panic!("no fetch was ordered");
    }

    fn report_done(&mut self, fetch: &Fetch, end: End) {
        let (fetch, load, reply) = (fetch.clone(), Vec::new(), String::new());
        self.core.report(self.now, Report::Done { fetch, end, latency: Micros(1_000), load, reply });
    }
}

fn count_notices(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Notice(_))).count()
}

#[test]
fn no_message_is_accepted_and_no_attempt_begins_while_the_journal_cannot_be_written() {
    let home = FaultyStorage::default();
    let mut run = start_run(&home, START);
    let Answer::Taken(msg) = run.accept("first", 1) else {
        panic!("the first message must be recorded and accepted")
    };
    let fetch = run.next_fetch();
    assert_eq!(fetch.msg, msg);
    home.fail(Script { partial_bytes: 5, errno: IO_ERROR, ..Script::default() });
    assert_eq!(run.core.report(run.now, Report::Begin(fetch.clone())), Answer::MayBegin(false));
    assert!(
        matches!(run.accept("second", 1), Answer::Refused(_)),
        "a message that cannot be recorded is refused"
    );
    run.report_done(&fetch, End::NotBegun);
    let mut tries = 0;
    for _ in 0..3_000 {
        for order in run.run_for(Micros(1_000)) {
            let Order::Fetch(fetch) = order else { continue };
            assert_eq!(run.core.report(run.now, Report::Begin(fetch.clone())), Answer::MayBegin(false));
            run.report_done(&fetch, End::NotBegun);
            tries += 1;
        }
    }
    assert!((10..200).contains(&tries), "{tries} tries in 3 s; a message has eight attempts in all");
    home.recover();
    let fetch = run.next_fetch();
    assert_eq!(fetch.msg, msg, "the accepted message is still pending");
    assert_eq!(run.core.report(run.now, Report::Begin(fetch)), Answer::MayBegin(true));
    assert!(matches!(run.accept("third", 1), Answer::Taken(_)));
    assert_eq!(run.core.pending_messages(), 2);
}

#[test]
fn a_notice_is_sent_only_once_the_end_is_recorded() {
    let home = FaultyStorage::default();
    let mut run = start_run(&home, START);
    assert!(matches!(run.accept("first", 0), Answer::Taken(_)));
    let fetch = run.next_fetch();
    assert_eq!(run.core.report(run.now, Report::Begin(fetch.clone())), Answer::MayBegin(true));
    home.fail(Script::default());
    run.report_done(&fetch, End::Rejected);
    assert_eq!(count_notices(&run.run_for(Micros(S))), 0, "the end is not recorded: a kill would undo it");
    home.recover();
    assert_eq!(count_notices(&run.run_for(Micros(S / 10))), 1);
    // The next run sends the notice again and attempts no delivery.
    drop(run);
    let mut next_run = start_run(&home, START + Micros(3 * S));
    let orders = next_run.run_for(Micros(S));
    assert_eq!(count_notices(&orders), 1);
    assert!(!orders.iter().any(|order| matches!(order, Order::Fetch(_))));
}

/// Guards against an overdue notice: after the message's due time no later run would deliver it, so the notice needs no
/// record of the end.
#[test]
fn a_notice_is_sent_without_a_record_once_the_message_is_due() {
    let home = FaultyStorage::default();
    let mut run = start_run(&home, START);
    assert!(matches!(run.accept("first", 0), Answer::Taken(_)));
    let fetch = run.next_fetch();
    assert_eq!(run.core.report(run.now, Report::Begin(fetch.clone())), Answer::MayBegin(true));
    home.fail(Script::default());
    run.report_done(&fetch, End::Rejected);
    let time_left = START + TIME_TO_DUE - run.now;
    assert_eq!(count_notices(&run.run_for(time_left - Micros(S / 10))), 0);
    assert_eq!(
        count_notices(&run.run_for(Micros(S / 5))),
        1,
        "no later run delivers the message, and the notice would be overdue"
    );
}

/// A message that the policy refuses on arrival is recorded first. Guards against answering with a refusal while the
/// journal cannot record its end: after a kill the message would be recovered and delivered.
#[test]
fn a_refusal_that_cannot_be_recorded_becomes_an_acceptance_and_a_notice() {
    let home = FaultyStorage::default();
    let mut run = start_run(&home, START);
    // No attempt begins, so the policy refuses new messages after some time.
    let mut refused = None;
    for n in 0..10_000 {
        // The acceptance is recorded; the writes after it fail.
        let (writes, _) = home.writes();
        home.fail_from(writes + 1);
        let answer = run.accept(&format!("m{n}"), 0);
        let failed_writes = home.writes().1;
        home.recover();
        if failed_writes > 0 {
            refused = Some(answer);
            break;
        }
    }
    let Some(answer) = refused else { panic!("the policy refused no message") };
    assert!(matches!(answer, Answer::Taken(_)), "{answer:?}");
    assert_eq!(count_notices(&run.run_for(Micros(S / 10))), 1, "its notice is sent once the end is recorded");
}
