//! How a journal treats a call without an outcome when the next process opens it. After a restart the call may have
//! run; after a handover the old process may still report the outcome.

use indigohold::store::{Journal, Req, StartMode, StartedAttempt};
use indigohold::{Micros, ZoneId};
use std::path::Path;
use std::sync::Arc;
use tempfile::tempdir;

const DISK_BYTES: u64 = 400_000;
const NOW: Micros = Micros(100);
const CALLED_AT: Micros = Micros(200);

fn req(id: &str, bytes: usize) -> Arc<Req> {
    Arc::new(Req {
        id: id.into(),
        front: 1,
        dest: 3,
        class: 1,
        tenant: 2,
        due: Micros(999),
        head: "key".into(),
        body: vec![7; bytes].into(),
        keep_id_until: Micros(0),
    })
}

fn open(dir: &Path, start_mode: StartMode) -> Journal {
    Journal::open_as(dir, DISK_BYTES, NOW, 0, start_mode).unwrap()
}

/// Leaves a journal whose process ended while a call was in flight.
fn leave_call_in_flight(dir: &Path) {
    let mut journal = open(dir, StartMode::Restart);
    journal.accept(&[(1, req("m1", 10))]).unwrap();
    journal.start_attempt(1, CALLED_AT, "s-1", ZoneId::of_name("far")).unwrap();
}

/// The call that [`leave_call_in_flight`] leaves.
fn call_in_flight() -> Option<StartedAttempt> {
    Some(StartedAttempt { at: CALLED_AT, backend: "s-1".to_owned(), zone: ZoneId::of_name("far") })
}

/// Writes enough messages that the oldest segments are rewritten.
fn fill_segments(journal: &mut Journal, first: u64) {
    for msg in first..first + 400 {
        journal.accept(&[(msg, req(&format!("x{msg}"), 900))]).unwrap();
        journal.end(msg, NOW);
    }
}

#[test]
fn an_outcome_without_a_start_does_not_settle_the_call_of_an_earlier_process() {
    for rewritten in [false, true] {
        let dir = tempdir().unwrap();
        leave_call_in_flight(dir.path());
        for run in 1..4 {
            let mut journal = open(dir.path(), StartMode::Restart);
            journal.record_outcome(1, false, "refused");
            if rewritten {
                fill_segments(&mut journal, run * 1_000);
            }
            assert_eq!(journal.pending()[&1].first_uncertain, call_in_flight(), "run {run}");
        }
        let journal = open(dir.path(), StartMode::Restart);
        assert_eq!(
            (journal.pending()[&1].first_uncertain.clone(), journal.pending()[&1].open_attempt.clone()),
            (call_in_flight(), None)
        );
    }
}

#[test]
fn a_call_in_flight_at_a_handover_stays_open_until_its_outcome_or_a_restart() {
    for (may_have_run, first_uncertain) in
        [(None, call_in_flight()), (Some(true), call_in_flight()), (Some(false), None)]
    {
        let dir = tempdir().unwrap();
        leave_call_in_flight(dir.path());
        let mut journal = open(dir.path(), StartMode::Handover);
        assert_eq!(
            (journal.pending()[&1].first_uncertain.clone(), journal.pending()[&1].open_attempt.clone()),
            (None, call_in_flight())
        );
        may_have_run.into_iter().for_each(|ran| journal.record_outcome(1, ran, ""));
        // The segment of this record says that this process followed a handover.
        journal.accept(&[(2, req("m2", 10))]).unwrap();
        drop(journal);
        let journal = open(dir.path(), StartMode::Restart);
        let pending = &journal.pending()[&1];
        assert_eq!(
            (pending.first_uncertain.clone(), pending.open_attempt.clone()),
            (first_uncertain, None),
            "{may_have_run:?}"
        );
    }
}

#[test]
fn a_handover_does_not_reopen_a_call_from_before_an_earlier_restart() {
    let dir = tempdir().unwrap();
    leave_call_in_flight(dir.path());
    drop(open(dir.path(), StartMode::Restart));
    let mut journal = open(dir.path(), StartMode::Handover);
    assert_eq!(
        (journal.pending()[&1].first_uncertain.clone(), journal.pending()[&1].open_attempt.clone()),
        (call_in_flight(), None)
    );
    journal.record_outcome(1, false, "");
    drop(journal);
    assert_eq!(open(dir.path(), StartMode::Restart).pending()[&1].first_uncertain, call_in_flight());
}
