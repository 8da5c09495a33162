//! The core while its journal can't be written: it takes nothing on and begins nothing, tells no end that a kill could undo, and
//! goes on as before once the folder can be written again. No sockets, no clock.

mod common;
#[path = "support/faulty_home.rs"]
mod faulty_home;

use common::{class, settings, S};
use crossbeam_channel::Receiver;
use faulty_home::{FaultyHome, Script, IO_ERROR};
use indigohold::core::*;
use indigohold::store::Journal;
use indigohold::{Effect, Micros};

const START: Micros = Micros(1_000 * S);
const DISK: u64 = 3_000_000;
const DUE: Micros = Micros(20 * S);

struct Life {
    core: Core,
    orders: Receiver<Order>,
    now: Micros,
}

fn life(home: &FaultyHome, now: Micros) -> Life {
    let mut settings = settings();
    settings.classes = vec![class(Effect::Safe), class(Effect::Unsafe)];
    let journal = Journal::at(Box::new(home.clone()), DISK, now).unwrap();
    let (mut core, orders) = Core::new(settings, 1, now, journal, Options::default());
    let addr = "127.0.0.1:9".parse().unwrap();
    let line = EndpointRecord {
        name: "a".into(),
        addr,
        dest: 7,
        kind: 0,
        zone: 0,
        state: EndpointState::Up,
        weight: 1.0,
        rank: 0,
    };
    core.report(
        now,
        Report::List { front: 0, update: ListUpdate::full(Source::Discovery, 0, vec![line], now) },
    );
    Life { core, orders, now }
}

impl Life {
    fn take(&mut self, id: &str, class: u16) -> Answer {
        let req = Req {
            id: id.into(),
            front: 0,
            dest: 7,
            class,
            tenant: 0,
            due: START + DUE,
            head: String::new(),
            body: [1, 2][..].into(),
            keep_id: Micros(0),
        };
        let answer = self.core.report(self.now, Report::Req(req));
        if let Answer::Taken(msg) = answer {
            self.core.report(self.now, Report::Answered(msg));
        }
        answer
    }

    /// Ticks for this long and says what was ordered meanwhile.
    fn pass(&mut self, span: Micros) -> Vec<Order> {
        let until = self.now + span;
        while self.now < until {
            self.now = (self.now + Micros(5_000)).min(until);
            self.core.tick(self.now);
        }
        self.orders.try_iter().collect()
    }

    fn next_fetch(&mut self) -> Fetch {
        for _ in 0..2_000 {
            for order in self.pass(Micros(5_000)) {
                if let Order::Fetch(fetch) = order {
                    return fetch;
                }
            }
        }
        panic!("nothing is sent");
    }

    fn done(&mut self, fetch: &Fetch, end: End) {
        let (fetch, load, said) = (fetch.clone(), Vec::new(), String::new());
        self.core.report(self.now, Report::Done { fetch, end, latency: Micros(1_000), load, reply: said });
    }
}

fn notices(orders: &[Order]) -> usize {
    orders.iter().filter(|order| matches!(order, Order::Notice(_))).count()
}

#[test]
fn nothing_is_taken_on_and_nothing_begins_until_it_can_be_written() {
    let home = FaultyHome::default();
    let mut life = life(&home, START);
    let Answer::Taken(msg) = life.take("first", 1) else { panic!("it is written") };
    let fetch = life.next_fetch();
    assert_eq!(fetch.msg, msg);
    home.fail(Script { part: 5, errno: IO_ERROR, ..Script::default() });
    assert_eq!(life.core.report(life.now, Report::Begin(fetch.clone())), Answer::MayBegin(false));
    assert!(matches!(life.take("second", 1), Answer::Refused(_)), "what can't be written is shed");
    life.done(&fetch, End::NotBegun);
    let mut tried = 0;
    for _ in 0..3_000 {
        for order in life.pass(Micros(1_000)) {
            let Order::Fetch(fetch) = order else { continue };
            assert_eq!(life.core.report(life.now, Report::Begin(fetch.clone())), Answer::MayBegin(false));
            life.done(&fetch, End::NotBegun);
            tried += 1;
        }
    }
    assert!((10..200).contains(&tried), "{tried} tries in 3 s, where eight are all that there are");
    home.heal();
    let fetch = life.next_fetch();
    assert_eq!(fetch.msg, msg, "what was taken on is still owed");
    assert_eq!(life.core.report(life.now, Report::Begin(fetch)), Answer::MayBegin(true));
    assert!(matches!(life.take("third", 1), Answer::Taken(_)));
    assert_eq!(life.core.pending_messages(), 2);
}

#[test]
fn an_end_is_told_once_it_is_written() {
    let home = FaultyHome::default();
    let mut life = life(&home, START);
    assert!(matches!(life.take("first", 0), Answer::Taken(_)));
    let fetch = life.next_fetch();
    assert_eq!(life.core.report(life.now, Report::Begin(fetch.clone())), Answer::MayBegin(true));
    home.fail(Script::default());
    life.done(&fetch, End::Rejected);
    assert_eq!(notices(&life.pass(Micros(S))), 0, "a kill would undo it");
    home.heal();
    assert_eq!(notices(&life.pass(Micros(S / 10))), 1);
    // The next life tells it again, and delivers nothing.
    drop(life);
    let mut next = self::life(&home, START + Micros(3 * S));
    let orders = next.pass(Micros(S));
    assert_eq!(notices(&orders), 1);
    assert!(!orders.iter().any(|order| matches!(order, Order::Fetch(_))));
}

#[test]
fn an_end_is_told_without_its_record_once_its_time_is_up() {
    let home = FaultyHome::default();
    let mut life = life(&home, START);
    assert!(matches!(life.take("first", 0), Answer::Taken(_)));
    let fetch = life.next_fetch();
    assert_eq!(life.core.report(life.now, Report::Begin(fetch.clone())), Answer::MayBegin(true));
    home.fail(Script::default());
    life.done(&fetch, End::Rejected);
    let left = START + DUE - life.now;
    assert_eq!(notices(&life.pass(left - Micros(S / 10))), 0);
    assert_eq!(notices(&life.pass(Micros(S / 5))), 1, "nobody delivers it any more, and it would be overdue");
}

/// What the module turns away as soon as it comes was written down first; while that can't be undone on disk, it is not refused.
#[test]
fn a_refusal_that_a_kill_could_undo_is_an_acceptance_and_an_end() {
    let home = FaultyHome::default();
    let mut life = life(&home, START);
    // Nothing is sent, so that the module comes to turn newcomers away.
    let mut refused = None;
    for n in 0..10_000 {
        // The take is written, what follows is not.
        let (writes, _) = home.writes();
        home.fail_from(writes + 1);
        let answer = life.take(&format!("m{n}"), 0);
        let failed = home.writes().1;
        home.heal();
        if failed > 0 {
            refused = Some(answer);
            break;
        }
    }
    let Some(answer) = refused else { panic!("the module turns none of them away") };
    assert!(matches!(answer, Answer::Taken(_)), "{answer:?}");
    assert_eq!(notices(&life.pass(Micros(S / 10))), 1, "its end is told once it is written");
}
