//! The journal while its folder can't be written: `ENOSPC` and `EIO` on each write, for one call, for some, for the rest of the
//! life, with a part of the bytes written; then a restart. What was taken on stays owed, what was refused is not, and nothing that
//! a failed write left makes other records unreadable.

#[path = "support/faulty_storage.rs"]
mod faulty_storage;

use faulty_storage::{FaultyStorage, Script, IO_ERROR, NO_SPACE};
use indigohold::store::{FinalOutcome, Journal, MessageState, Req};
use indigohold::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const DISK: u64 = 400_000;
/// Writes of one run of [`run`] that none fails, at most.
const WRITES: usize = 24;

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

fn open(home: &FaultyStorage) -> Journal {
    Journal::open_storage(Box::new(home.clone()), DISK, Micros(100)).expect("reading never fails here")
}

/// What the journal's user knows of its messages.
#[derive(Default)]
struct Known {
    taken: BTreeSet<u64>,
    refused: BTreeSet<u64>,
    /// Attempts whose begin was recorded.
    begun: BTreeSet<u64>,
    ended: BTreeSet<u64>,
}

impl Known {
    fn take(&mut self, journal: &mut Journal, msgs: &[u64]) {
        let batch: Vec<(u64, Arc<Req>)> = msgs.iter().map(|msg| (*msg, req(*msg))).collect();
        let taken = journal.accept(&batch).unwrap_or(0);
        self.taken.extend(&msgs[..taken]);
        self.refused.extend(&msgs[taken..]);
    }

    fn begin(&mut self, journal: &mut Journal, msgs: &[u64]) {
        let attempts: Vec<(u64, &str)> =
            msgs.iter().filter(|msg| self.taken.contains(msg)).map(|msg| (*msg, "s-1")).collect();
        if journal.start_attempts(Micros(200), &attempts).is_ok() {
            self.begun.extend(attempts.iter().map(|(msg, _)| msg));
        }
    }

    fn end(&mut self, journal: &mut Journal, msg: u64) {
        if self.taken.contains(&msg) {
            journal.end(msg, Micros(300));
            self.ended.insert(msg);
        }
    }

    fn owed(&self) -> BTreeSet<u64> {
        self.taken.difference(&self.ended).copied().collect()
    }
}

/// A life with all kinds of records, alone and together.
fn run(journal: &mut Journal) -> Known {
    let mut known = Known::default();
    known.take(journal, &[1, 2]);
    known.take(journal, &[3]);
    known.begin(journal, &[1]);
    journal.record_outcome(1, true, "failed");
    known.begin(journal, &[2, 3]);
    journal.begin_batch();
    journal.record_outcome(2, false, "busy");
    journal.record_outcome(3, true, "");
    journal.write_batch();
    known.end(journal, 1);
    known.take(journal, &[4, 5, 6]);
    journal.record_final_outcome(3, FinalOutcome::HandedBack(Micros(7)));
    known.begin(journal, &[4]);
    known.end(journal, 5);
    known.take(journal, &[7]);
    known.end(journal, 3);
    known.begin(journal, &[7]);
    known
}

fn same(a: &BTreeMap<u64, MessageState>, b: &BTreeMap<u64, MessageState>, case: &str) {
    assert_eq!(a.keys().collect::<Vec<_>>(), b.keys().collect::<Vec<_>>(), "{case}");
    for (msg, owed) in a {
        assert_eq!(*owed, b[msg], "{case}: message {msg}");
    }
}

/// After a restart nobody will hear how a call that was out has ended: it may have run.
fn after_restart(owed: &BTreeMap<u64, MessageState>) -> BTreeMap<u64, MessageState> {
    let mut owed = owed.clone();
    owed.values_mut()
        .for_each(|owed| owed.first_uncertain = owed.first_uncertain.take().or(owed.open_attempt.take()));
    owed
}

fn each_script(mut check: impl FnMut(Script, String)) {
    for from in 0..WRITES {
        for count in [1, 2, 5, usize::MAX] {
            for part in [0, 1, 7, 8, 30, 120, 200, usize::MAX] {
                for cuts_fail in [false, true] {
                    let errno = if from % 2 == 0 { NO_SPACE } else { IO_ERROR };
                    let script = Script { from, count, part, cuts_fail, errno };
                    check(script, format!("{script:?}"));
                }
            }
        }
    }
}

#[test]
fn after_a_fault_has_passed_the_folder_says_what_the_process_knew() {
    each_script(|script, case| {
        let home = FaultyStorage::new(script);
        let mut journal = open(&home);
        let known = run(&mut journal);
        home.heal();
        journal.repair().unwrap_or_else(|e| panic!("{case}: {e}"));
        assert!(!journal.needs_repair(), "{case}");
        let owed = journal.pending().clone();
        assert_eq!(owed.keys().copied().collect::<BTreeSet<_>>(), known.owed(), "{case}");
        drop(journal);
        let again = open(&home);
        assert_eq!(again.damages(), (&[][..], 0), "{case}: what a failed write left is no damage");
        same(&after_restart(&owed), again.pending(), &case);
        for msg in known.ended.iter().filter(|msg| known.begun.contains(msg)) {
            let recognised = again.knows_id(&format!("m{msg}"), Micros(400));
            assert!(recognised, "{case}: message {msg} may have run and has ended, its id is not recognised");
        }
    });
}

#[test]
fn a_kill_while_writes_fail_loses_nothing_that_was_taken_and_takes_nothing_up_that_was_refused() {
    each_script(|script, case| {
        let home = FaultyStorage::new(script);
        let mut journal = open(&home);
        let known = run(&mut journal);
        let owed = journal.pending().clone();
        // Killed here. Multi-record writes that are cut between two records and can't be taken back are the exception that
        // `refused` leaves out below.
        drop(journal);
        home.heal();
        let again = open(&home);
        assert_eq!(again.damages().1, 0, "{case}: nobody is in doubt");
        for msg in known.owed() {
            let Some(found) = again.pending().get(&msg) else { panic!("{case}: message {msg} is forgotten") };
            // What may have run must not count as one that never did.
            let may_have_run = owed[&msg].first_uncertain.is_some() || owed[&msg].open_attempt.is_some();
            assert!(
                !may_have_run || found.first_uncertain.is_some() || found.open_attempt.is_some(),
                "{case}: message {msg}"
            );
        }
        if !script.cuts_fail {
            for msg in &known.refused {
                assert!(
                    !again.pending().contains_key(msg),
                    "{case}: message {msg} was refused and is taken up"
                );
            }
        }
    });
}

#[test]
fn a_folder_that_can_not_be_written_at_the_start_still_says_what_is_owed() {
    let home = FaultyStorage::default();
    let mut journal = open(&home);
    let known = run(&mut journal);
    drop(journal);
    for cuts_fail in [false, true] {
        home.fail(Script { cuts_fail, ..Script::default() });
        let mut journal = open(&home);
        assert_eq!(journal.pending().keys().copied().collect::<BTreeSet<_>>(), known.owed());
        assert!(journal.needs_repair());
        assert!(journal.accept(&[(50, req(50))]).is_err(), "what can't be written down is not taken on");
        assert!(journal.start_attempt(4, Micros(500), "s-1").is_err(), "and no attempt begins");
        home.heal();
        assert_eq!(journal.accept(&[(60, req(60))]).unwrap(), 1);
        journal.end(60, Micros(600));
        drop(journal);
        let journal = open(&home);
        assert_eq!(journal.pending().keys().copied().collect::<BTreeSet<_>>(), known.owed());
        assert_eq!(journal.damages(), (&[][..], 0));
    }
}

#[test]
fn an_attempt_that_could_not_be_recorded_leaves_the_message_as_it_was() {
    let home = FaultyStorage::default();
    let mut journal = open(&home);
    assert_eq!(journal.accept(&[(1, req(1)), (2, req(2))]).unwrap(), 2);
    let before = journal.pending().clone();
    home.fail(Script { part: 9, ..Script::default() });
    for _ in 0..3 {
        journal.start_attempts(Micros(200), &[(1, "s-1"), (2, "s-1")]).unwrap_err();
    }
    same(&before, journal.pending(), "no attempt is counted, and none may have run");
    home.heal();
    journal.start_attempts(Micros(300), &[(1, "s-1"), (2, "s-1")]).unwrap();
    drop(journal);
    let owed = open(&home).pending().clone();
    let begun = Some((Micros(300), "s-1".to_owned()));
    assert!(owed
        .values()
        .all(|owed| owed.attempts == 1 && owed.first_uncertain == begun && owed.open_attempt.is_none()));
}

#[test]
fn a_message_is_withdrawn_on_disk_or_not_at_all() {
    let home = FaultyStorage::default();
    let mut journal = open(&home);
    assert_eq!(journal.accept(&[(1, req(1))]).unwrap(), 1);
    home.fail(Script::default());
    journal.withdraw(1).unwrap_err();
    assert!(journal.pending().contains_key(&1), "it is still owed");
    home.heal();
    journal.withdraw(1).unwrap();
    assert!(journal.pending().is_empty());
    drop(journal);
    assert!(open(&home).pending().is_empty());
}
