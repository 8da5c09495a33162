//! What the journal makes of a call without an outcome when another process follows: after a restart it may have run, after a
//! hand-over the outcome may still come.

use indigohold::store::{Journal, Req, StartMode};
use indigohold::Micros;
use std::path::Path;
use std::sync::Arc;
use tempfile::tempdir;

const DISK: u64 = 400_000;
const NOW: Micros = Micros(100);
const CALLED: Micros = Micros(200);

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

fn open(dir: &Path, succession: StartMode) -> Journal {
    Journal::open_as(dir, DISK, NOW, 0, succession).unwrap()
}

/// A process that ends with a call out.
fn call_out(dir: &Path) {
    let mut journal = open(dir, StartMode::Restart);
    journal.accept(&[(1, req("m1", 10))]).unwrap();
    journal.start_attempt(1, CALLED, "s-1").unwrap();
}

fn call() -> Option<(Micros, String)> {
    Some((CALLED, "s-1".into()))
}

/// Has the oldest segments written anew.
fn fill(journal: &mut Journal, first: u64) {
    for msg in first..first + 400 {
        journal.accept(&[(msg, req(&format!("x{msg}"), 900))]).unwrap();
        journal.end(msg, NOW);
    }
}

#[test]
fn an_outcome_without_a_begin_leaves_the_call_of_an_earlier_process_a_risk() {
    for rewritten in [false, true] {
        let dir = tempdir().unwrap();
        call_out(dir.path());
        for life in 1..4 {
            let mut journal = open(dir.path(), StartMode::Restart);
            journal.record_outcome(1, false, "refused");
            if rewritten {
                fill(&mut journal, life * 1_000);
            }
            assert_eq!(journal.pending()[&1].first_uncertain, call(), "life {life}");
        }
        let journal = open(dir.path(), StartMode::Restart);
        assert_eq!(
            (journal.pending()[&1].first_uncertain.clone(), journal.pending()[&1].open_attempt.clone()),
            (call(), None)
        );
    }
}

#[test]
fn a_call_that_was_handed_over_is_open_until_its_outcome_or_a_restart() {
    for (may_have_run, risk) in [(None, call()), (Some(true), call()), (Some(false), None)] {
        let dir = tempdir().unwrap();
        call_out(dir.path());
        let mut journal = open(dir.path(), StartMode::Handover);
        assert_eq!(
            (journal.pending()[&1].first_uncertain.clone(), journal.pending()[&1].open_attempt.clone()),
            (None, call())
        );
        may_have_run.into_iter().for_each(|ran| journal.record_outcome(1, ran, ""));
        // Its segment tells the next process how this one came.
        journal.accept(&[(2, req("m2", 10))]).unwrap();
        drop(journal);
        let journal = open(dir.path(), StartMode::Restart);
        let owed = &journal.pending()[&1];
        assert_eq!(
            (owed.first_uncertain.clone(), owed.open_attempt.clone()),
            (risk, None),
            "{may_have_run:?}"
        );
    }
}

#[test]
fn a_hand_over_does_not_open_what_a_restart_before_it_has_settled() {
    let dir = tempdir().unwrap();
    call_out(dir.path());
    drop(open(dir.path(), StartMode::Restart));
    let mut journal = open(dir.path(), StartMode::Handover);
    assert_eq!(
        (journal.pending()[&1].first_uncertain.clone(), journal.pending()[&1].open_attempt.clone()),
        (call(), None)
    );
    journal.record_outcome(1, false, "");
    drop(journal);
    assert_eq!(open(dir.path(), StartMode::Restart).pending()[&1].first_uncertain, call());
}
