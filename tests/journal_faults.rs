//! The journal while its folder can't be written: `ENOSPC` and `EIO` from each write on, for one write, for several,
//! or for the rest of the process run, with a part of the bytes written; then a restart. Accepted messages stay
//! pending, refused ones do not become pending, and nothing that a failed write left makes other records unreadable.

#[path = "support/faulty_storage.rs"]
mod faulty_storage;

use faulty_storage::{FaultyStorage, Script, IO_ERROR, NO_SPACE};
use indigohold::store::{FinalOutcome, Journal, MessageState, Req, StartedAttempt};
use indigohold::{Micros, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const BUDGET_BYTES: u64 = 400_000;
/// Limit on the writes of [`write_all_kinds`] if none of them fails.
const MAX_WRITES: usize = 24;

/// An attempt in the zone that these tests use.
fn attempt(at: u64, backend: &str) -> StartedAttempt {
    StartedAttempt { at: Micros(at), backend: backend.to_owned(), zone: ZoneId::of_name("far") }
}

fn req(msg: u64) -> Arc<Req> {
    Arc::new(Req {
        id: format!("m{msg}"),
        front: 0,
        dest: 3,
        class: 1,
        tenant: 0,
        due: Micros(99_000_000),
        head: "key".into(),
        body: vec![msg as u8; 40].into(),
        keep_id_until: Micros(99_000_000),
    })
}

fn open(storage: &FaultyStorage) -> Journal {
    Journal::open_storage(Box::new(storage.clone()), BUDGET_BYTES, Micros(100))
        .expect("reads never fail here")
}

/// The messages by the results that the journal's calls returned.
#[derive(Default)]
struct Expected {
    accepted: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    /// Messages with a recorded attempt start.
    started: BTreeSet<u64>,
    ended: BTreeSet<u64>,
}

impl Expected {
    fn accept(&mut self, journal: &mut Journal, msgs: &[u64]) {
        let batch: Vec<(u64, Arc<Req>)> = msgs.iter().map(|msg| (*msg, req(*msg))).collect();
        let accepted = journal.accept(&batch).unwrap_or(0);
        self.accepted.extend(&msgs[..accepted]);
        self.refused.extend(&msgs[accepted..]);
    }

    fn start_attempts(&mut self, journal: &mut Journal, msgs: &[u64]) {
        let accepted = msgs.iter().filter(|msg| self.accepted.contains(msg));
        let attempts: Vec<(u64, StartedAttempt)> = accepted.map(|msg| (*msg, attempt(200, "s-1"))).collect();
        if journal.start_attempts(&attempts).is_ok() {
            self.started.extend(attempts.iter().map(|(msg, _)| msg));
        }
    }

    fn end(&mut self, journal: &mut Journal, msg: u64) {
        if self.accepted.contains(&msg) {
            journal.end(msg, Micros(300));
            self.ended.insert(msg);
        }
    }

    fn pending(&self) -> BTreeSet<u64> {
        self.accepted.difference(&self.ended).copied().collect()
    }
}

/// Writes all kinds of records, one at a time and in batches.
fn write_all_kinds(journal: &mut Journal) -> Expected {
    let mut expected = Expected::default();
    expected.accept(journal, &[1, 2]);
    expected.accept(journal, &[3]);
    expected.start_attempts(journal, &[1]);
    journal.record_outcome(1, true, "failed");
    expected.start_attempts(journal, &[2, 3]);
    journal.begin_batch();
    journal.record_outcome(2, false, "busy");
    journal.record_outcome(3, true, "");
    journal.write_batch();
    expected.end(journal, 1);
    expected.accept(journal, &[4, 5, 6]);
    journal.record_final_outcome(3, FinalOutcome::HandedBack(Micros(7)));
    expected.start_attempts(journal, &[4]);
    expected.end(journal, 5);
    expected.accept(journal, &[7]);
    expected.end(journal, 3);
    expected.start_attempts(journal, &[7]);
    expected
}

fn assert_same(a: &BTreeMap<u64, MessageState>, b: &BTreeMap<u64, MessageState>, case: &str) {
    assert_eq!(a.keys().collect::<Vec<_>>(), b.keys().collect::<Vec<_>>(), "{case}");
    for (msg, state) in a {
        assert_eq!(*state, b[msg], "{case}: message {msg}");
    }
}

/// The states that a restart reads: the results of the calls in flight are lost, so they may have run.
fn after_restart(pending: &BTreeMap<u64, MessageState>) -> BTreeMap<u64, MessageState> {
    let mut pending = pending.clone();
    pending
        .values_mut()
        .for_each(|state| state.first_uncertain = state.first_uncertain.take().or(state.open_attempt.take()));
    pending
}

/// Runs `check` for each combination of first failing write, number of failing writes, written part and failing
/// truncation.
fn each_script(mut check: impl FnMut(Script, String)) {
    for from in 0..MAX_WRITES {
        for count in [1, 2, 5, usize::MAX] {
            for partial_bytes in [0, 1, 7, 8, 30, 120, 200, usize::MAX] {
                for truncate_fails in [false, true] {
                    let errno = if from % 2 == 0 { NO_SPACE } else { IO_ERROR };
                    let script = Script { from, count, partial_bytes, truncate_fails, errno };
                    check(script, format!("{script:?}"));
                }
            }
        }
    }
}

#[test]
fn once_writes_succeed_again_the_folder_matches_the_process() {
    each_script(|script, case| {
        let storage = FaultyStorage::new(script);
        let mut journal = open(&storage);
        let expected = write_all_kinds(&mut journal);
        storage.recover();
        journal.repair().unwrap_or_else(|e| panic!("{case}: {e}"));
        assert!(!journal.needs_repair(), "{case}");
        let pending = journal.pending().clone();
        assert_eq!(pending.keys().copied().collect::<BTreeSet<_>>(), expected.pending(), "{case}");
        drop(journal);
        let again = open(&storage);
        assert_eq!(again.damages(), (&[][..], 0), "{case}: the rest of a failed write is no damage");
        assert_same(&after_restart(&pending), again.pending(), &case);
        for msg in expected.ended.iter().filter(|msg| expected.started.contains(msg)) {
            let recognised = again.knows_id(&format!("m{msg}"), Micros(400));
            assert!(recognised, "{case}: message {msg} may have run and has ended, its id is not recognised");
        }
    });
}

#[test]
fn a_kill_while_writes_fail_keeps_accepted_messages_and_recovers_no_refused_one() {
    each_script(|script, case| {
        let storage = FaultyStorage::new(script);
        let mut journal = open(&storage);
        let expected = write_all_kinds(&mut journal);
        let pending = journal.pending().clone();
        // The process is killed here. If a write of several records fails between two of them and can't be cut off,
        // the first ones stay; so the check of the refused messages below leaves out the scripts in which truncation
        // fails.
        drop(journal);
        storage.recover();
        let again = open(&storage);
        assert_eq!(again.damages().1, 0, "{case}: no message is uncertain because of damage");
        for msg in expected.pending() {
            let Some(found) = again.pending().get(&msg) else { panic!("{case}: message {msg} is lost") };
            // A message that may have run must not count as one that never ran.
            let may_have_run =
                pending[&msg].first_uncertain.is_some() || pending[&msg].open_attempt.is_some();
            assert!(
                !may_have_run || found.first_uncertain.is_some() || found.open_attempt.is_some(),
                "{case}: message {msg}"
            );
        }
        if !script.truncate_fails {
            for msg in &expected.refused {
                assert!(
                    !again.pending().contains_key(msg),
                    "{case}: message {msg} was refused and is recovered"
                );
            }
        }
    });
}

#[test]
fn a_folder_that_can_not_be_written_at_the_start_still_gives_the_pending_messages() {
    let storage = FaultyStorage::default();
    let mut journal = open(&storage);
    let expected = write_all_kinds(&mut journal);
    drop(journal);
    for truncate_fails in [false, true] {
        storage.fail(Script { truncate_fails, ..Script::default() });
        let mut journal = open(&storage);
        assert_eq!(journal.pending().keys().copied().collect::<BTreeSet<_>>(), expected.pending());
        assert!(journal.needs_repair());
        assert!(
            journal.accept(&[(50, req(50))]).is_err(),
            "a message that can't be recorded is not accepted"
        );
        assert!(journal.start_attempt(4, Micros(500), "s-1", None).is_err(), "no attempt starts");
        storage.recover();
        assert_eq!(journal.accept(&[(60, req(60))]).unwrap(), 1);
        journal.end(60, Micros(600));
        drop(journal);
        let journal = open(&storage);
        assert_eq!(journal.pending().keys().copied().collect::<BTreeSet<_>>(), expected.pending());
        assert_eq!(journal.damages(), (&[][..], 0));
    }
}

#[test]
fn an_attempt_that_could_not_be_recorded_leaves_the_message_unchanged() {
    let storage = FaultyStorage::default();
    let mut journal = open(&storage);
    assert_eq!(journal.accept(&[(1, req(1)), (2, req(2))]).unwrap(), 2);
    let before = journal.pending().clone();
    storage.fail(Script { partial_bytes: 9, ..Script::default() });
    for _ in 0..3 {
        journal.start_attempts(&[(1, attempt(200, "s-1")), (2, attempt(200, "s-1"))]).unwrap_err();
    }
    assert_same(
        &before,
        journal.pending(),
        "no attempt is counted, and none counts as one that may have run",
    );
    storage.recover();
    journal.start_attempts(&[(1, attempt(300, "s-1")), (2, attempt(300, "s-1"))]).unwrap();
    drop(journal);
    let pending = open(&storage).pending().clone();
    let started = Some(attempt(300, "s-1"));
    assert!(pending
        .values()
        .all(|s| s.attempts == 1 && s.first_uncertain == started && s.open_attempt.is_none()));
}

#[test]
fn a_message_is_withdrawn_on_disk_or_not_at_all() {
    let storage = FaultyStorage::default();
    let mut journal = open(&storage);
    assert_eq!(journal.accept(&[(1, req(1))]).unwrap(), 1);
    storage.fail(Script::default());
    journal.withdraw(1).unwrap_err();
    assert!(journal.pending().contains_key(&1), "the message is still pending");
    storage.recover();
    journal.withdraw(1).unwrap();
    assert!(journal.pending().is_empty());
    drop(journal);
    assert!(open(&storage).pending().is_empty());
}
