//! Attempts that end before their first byte, without sockets. An earlier process may have been killed during a call,
//! whose outcome is then unknown. Guards against a later attempt that never began being taken for the outcome of that
//! call: the message would then be sent again although this is no longer allowed.

mod common;

use common::{class, keyed, settings, S};
use indigohold::core::handover::HandoverState;
use indigohold::core::*;
use indigohold::store::{Journal, StartMode};
use indigohold::{Effect, Micros};
use std::path::Path;
use tempfile::tempdir;

const DISK: u64 = 3_000_000;
const DEST: u16 = 7;
/// The repeat window of [`keyed`].
const REPEAT_WINDOW: Micros = Micros(12 * S);
const START: Micros = Micros(1_000 * S);
const DUE: Micros = Micros(1_000 * S + 40 * S);
const KEYED: u16 = 0;
const UNSAFE: u16 = 1;

/// Starts a courier on the journal in `dir` at `now`, after a kill or for the first time.
fn courier(dir: &Path, now: Micros) -> Courier {
    courier_after(dir, now, None)
}

/// Starts a courier as [`courier`] does, or as the new process of a handover.
fn courier_after(dir: &Path, now: Micros, handed_over: Option<HandoverState>) -> Courier {
    let mut settings = settings();
    settings.classes = vec![class(keyed()), class(Effect::Unsafe)];
    let start_mode = if handed_over.is_some() { StartMode::Handover } else { StartMode::Restart };
    let journal = Journal::open_as(dir, DISK, now, 0, start_mode).unwrap();
    let options = Options { handed_over, ..Options::default() };
    let courier = Courier::new(settings, 1, Clock::at(now), journal, options);
    report_list(&courier);
    courier
}

fn report_list(courier: &Courier) {
    let addr = "127.0.0.1:9".parse().unwrap();
    let name = "a".to_owned();
    let endpoint = EndpointRecord {
        name,
        addr,
        dest: DEST,
        kind: "".into(),
        zone: "".into(),
        state: EndpointState::Up,
        weight: 1.0,
        rank: 0,
    };
    let update = ListUpdate::full(Source::Discovery, 0, vec![endpoint], courier.clock.now());
    courier.report(Report::List { front: 0, update });
}

/// Returns the next fetch or notice; skips orders that concern connections and lists, and cancelled fetches.
fn next_fetch_or_notice(courier: &Courier) -> Order {
    loop {
        courier.tick();
        match courier.next_order() {
            Order::CloseIdle(_) | Order::Cancel { .. } | Order::WatchList => {}
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

fn report_done(courier: &Courier, fetch: Fetch, end: End) {
    let (latency, load, reply) = (Micros(1_000), Vec::new(), String::new());
    courier.report(Report::Done { fetch, end, latency, load, reply });
}

/// Leaves a message in the journal whose only call was in flight when its process was killed.
fn leave_call_in_flight(dir: &Path, class: u16) {
    let courier = courier(dir, START);
    let req = Req {
        id: "m".into(),
        front: 0,
        dest: DEST,
        class,
        tenant: 0,
        due: DUE,
        head: "key".into(),
        body: [1, 2][..].into(),
        keep_id_until: Micros(0),
    };
    let Answer::Taken(msg) = courier.report(Report::Req(req)) else { panic!("the req must be accepted") };
    courier.report(Report::Answered(msg));
    let first = next_fetch(&courier);
    assert_eq!(courier.report(Report::Begin(first)), Answer::MayBegin(true));
}

fn is_given_up(courier: &Courier) -> bool {
    match next_fetch_or_notice(courier) {
        Order::Notice(notice) => notice.verdict == FinalOutcome::GivenUp,
        Order::Fetch(_) => false,
        other => panic!("{other:?}"),
    }
}

/// The ends that an attempt may have before its first byte is sent.
const ENDS_BEFORE_FIRST_BYTE: [End; 4] = [End::NotConnected, End::NotBegun, End::Unsent, End::CalledOff];

#[test]
fn an_attempt_that_never_began_does_not_settle_the_call_of_an_earlier_process() {
    for end in ENDS_BEFORE_FIRST_BYTE {
        let home = tempdir().unwrap();
        leave_call_in_flight(home.path(), KEYED);
        let second = courier(home.path(), START + Micros(2 * S));
        report_done(&second, next_fetch(&second), end);
        drop(second);
        let third = courier(home.path(), START + REPEAT_WINDOW + Micros(S));
        assert!(is_given_up(&third), "{end:?}: sent again after the repeat window");
    }
}

#[test]
fn an_unsafe_message_is_never_sent_again_after_a_call_of_unknown_outcome() {
    let home = tempdir().unwrap();
    leave_call_in_flight(home.path(), UNSAFE);
    for restart in 1..4 {
        let later = courier(home.path(), START + Micros(restart * 2 * S));
        assert!(is_given_up(&later), "sent again after restart {restart}");
    }
}

/// During a handover an attempt may still wait for its connection, and its end is reported to the new process. Guards
/// against this end being taken for the outcome of the earlier process's call.
#[test]
fn an_attempt_that_never_began_across_a_handover_does_not_settle_the_call_of_an_earlier_process() {
    for end in ENDS_BEFORE_FIRST_BYTE {
        let home = tempdir().unwrap();
        leave_call_in_flight(home.path(), KEYED);
        let second = courier(home.path(), START + Micros(2 * S));
        let attempt = next_fetch(&second);
        let handed_over = second.freeze();
        let (end_sender, ends) = crossbeam_channel::unbounded();
        second.hand_over(end_sender);
        report_done(&second, attempt, end);
        drop(second);
        let third = courier_after(home.path(), START + Micros(3 * S), Some(handed_over));
        ends.try_iter().for_each(|call| third.complete_inherited_call(call));
        report_done(&third, next_fetch(&third), End::NotBegun);
        drop(third);
        let fourth = courier(home.path(), START + REPEAT_WINDOW + Micros(S));
        assert!(is_given_up(&fourth), "{end:?}: sent again after the repeat window");
    }
}
