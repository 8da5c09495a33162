//! The journal: what it restores after a kill at any moment or with damaged files, and its limit on disk space.

use indigohold::store::{FinalOutcome, Journal, Req, StartedAttempt};
use indigohold::{Micros, ZoneId};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const BUDGET_BYTES: u64 = 400_000;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("indigohold-store-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

/// An attempt in the zone that these tests use.
fn attempt(at: u64, backend: &str) -> StartedAttempt {
    StartedAttempt { at: Micros(at), backend: backend.to_owned(), zone: ZoneId::of_name("far") }
}

fn open(dir: &Path) -> Journal {
    Journal::open(dir, BUDGET_BYTES, Micros(100)).unwrap()
}

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
        keep_id_until: Micros(5_000),
    })
}

/// Disk space of all files, in whole blocks of 512 bytes.
fn disk_bytes(dir: &Path) -> u64 {
    fs::read_dir(dir).unwrap().map(|f| f.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
}

#[test]
fn attempts_and_final_outcomes_survive_the_process() {
    let dir = folder("state");
    let mut journal = open(&dir);
    for msg in 1..=4 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 10))]).unwrap(), 1);
    }
    journal.start_attempt(1, Micros(200), "s-1", ZoneId::of_name("far")).unwrap();
    journal.record_outcome(1, false, "busy");
    journal.start_attempt(1, Micros(300), "s-2", ZoneId::of_name("far")).unwrap();
    journal.start_attempt(2, Micros(400), "s-1", ZoneId::of_name("far")).unwrap();
    journal.record_outcome(2, true, "");
    journal.start_attempt(2, Micros(500), "s-2", None).unwrap();
    journal.record_final_outcome(3, FinalOutcome::HandedBack(Micros(77)));
    journal.end(4, Micros(600));
    drop(journal);
    let journal = open(&dir);
    let pending = journal.pending();
    assert_eq!(pending.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
    assert_eq!(pending[&1].req, req("m1", 10));
    assert_eq!(pending[&1].attempts, 2);
    assert_eq!(pending[&1].open_attempt, None, "the result of an earlier process's call is lost");
    assert_eq!(
        pending[&1].first_uncertain,
        Some(attempt(300, "s-2")),
        "the lost call may have run; the refused one before it did not"
    );
    assert_eq!(
        pending[&2].first_uncertain,
        Some(attempt(400, "s-1")),
        "the first call that may have run counts"
    );
    assert_eq!(pending[&3].final_outcome, Some(FinalOutcome::HandedBack(Micros(77))));
    assert_eq!(pending[&1].last_reply, "busy");
}

/// Guards against a repeat after the repeat window. A call of the first process run is in flight when that run is
/// killed, and the calls of later runs never run; a later run must not take the message for one that has never run at
/// all.
#[test]
fn a_call_lost_by_one_process_stays_uncertain_in_later_ones() {
    for rewritten in [false, true] {
        let dir = folder(&format!("lost-call-{rewritten}"));
        let mut journal = open(&dir);
        journal.accept(&[(1, req("m1", 10))]).unwrap();
        journal.start_attempt(1, Micros(200), "s-1", ZoneId::of_name("far")).unwrap();
        drop(journal);
        for run in 0..3u64 {
            let mut journal = open(&dir);
            journal.start_attempt(1, Micros(300 + run), "s-2", ZoneId::of_name("far")).unwrap();
            journal.record_outcome(1, false, "busy");
            // Enough records that the message is copied to a new segment.
            for n in 0..if rewritten { 400 } else { 0 } {
                let msg = 1_000 + run * 1_000 + n;
                journal.accept(&[(msg, req(&format!("x{msg}"), 900))]).unwrap();
                journal.end(msg, Micros(400));
            }
        }
        let journal = open(&dir);
        let state = &journal.pending()[&1];
        assert_eq!((state.attempts, state.open_attempt.clone()), (4, None));
        assert_eq!(state.first_uncertain, Some(attempt(200, "s-1")), "the first call may have run");
    }
}

/// Guards against a start that fails, or that loses earlier records, after a kill left the last record incomplete.
#[test]
fn a_torn_tail_loses_only_its_own_record() {
    let dir = folder("torn");
    let mut journal = open(&dir);
    journal.accept(&[(1, req("a", 10))]).unwrap();
    journal.accept(&[(2, req("b", 10))]).unwrap();
    drop(journal);
    let file =
        fs::read_dir(&dir).unwrap().map(|f| f.unwrap().path()).find(|p| p.ends_with("00000001.log")).unwrap();
    let whole = fs::read(&file).unwrap();
    // Length of the record that begins each segment.
    const SEGMENT_START_BYTES: usize = 46;
    let first = SEGMENT_START_BYTES + (whole.len() - SEGMENT_START_BYTES) / 2;
    for cut in 0..whole.len() {
        fs::write(&file, &whole[..cut]).unwrap();
        let journal = open(&dir);
        let expected = if cut < first { 0 } else { 1 };
        assert_eq!(journal.pending().len(), expected, "cut at {cut}");
        assert!(journal.damages().0.is_empty(), "cut at {cut}");
        for extra in fs::read_dir(&dir).unwrap().map(|f| f.unwrap().path()).filter(|p| *p != file) {
            fs::remove_file(extra).unwrap();
        }
    }
    let mut damaged = whole.clone();
    damaged[SEGMENT_START_BYTES + 20] ^= 1;
    fs::write(&file, damaged).unwrap();
    let journal = open(&dir);
    assert_eq!(
        journal.pending().keys().copied().collect::<Vec<_>>(),
        [2],
        "the records after a damaged one are read"
    );
    assert_eq!(journal.damages().0.len(), 1);
}

/// Guards against a journal that fills the disk, for which the courier would be counted as crashed. A long-lived
/// message needs the oldest segment; it must not keep all later segments.
#[test]
fn the_folder_stays_within_its_budget() {
    let dir = folder("budget");
    let mut journal = open(&dir);
    assert_eq!(journal.accept(&[(1, req("stays", 2000))]).unwrap(), 1);
    for msg in 2..3000 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 3000))]).unwrap(), 1, "message {msg}");
        journal.start_attempt(msg, Micros(msg), "s-1", None).unwrap();
        journal.end(msg, Micros(msg));
        assert!(disk_bytes(&dir) <= BUDGET_BYTES, "{} bytes after {msg}", disk_bytes(&dir));
    }
    let mut refused = 0;
    for msg in 3000..3300 {
        refused += 1 - journal.accept(&[(msg, req(&format!("m{msg}"), 3000))]).unwrap();
        assert!(disk_bytes(&dir) <= BUDGET_BYTES);
    }
    assert!(refused > 150, "pending messages fill the journal, and more are refused: {refused}");
    // Outcomes and ends of accepted messages always fit.
    let held: Vec<u64> = journal.pending().keys().copied().collect();
    for msg in &held {
        for n in 0..8 {
            journal.start_attempt(*msg, Micros(n), "a-name-of-usual-length", None).unwrap();
            journal.record_outcome(*msg, true, "");
        }
        assert!(disk_bytes(&dir) <= BUDGET_BYTES);
    }
    drop(journal);
    let mut journal = open(&dir);
    assert_eq!(journal.pending().keys().copied().collect::<Vec<_>>(), held);
    for msg in held {
        journal.end(msg, Micros(4000));
    }
    assert!(journal.pending().is_empty());
}

/// Guards against a second delivery when a client whose answer was lost submits its message again, and against
/// dropping a repeated message that never ran.
#[test]
fn ids_of_messages_that_may_have_run_are_recognised_until_they_expire() {
    let dir = folder("ids");
    let mut journal = open(&dir);
    for (msg, id) in [(1, "ran"), (2, "never"), (3, "refused")] {
        journal.accept(&[(msg, req(id, 10))]).unwrap();
    }
    journal.start_attempt(1, Micros(200), "s", None).unwrap();
    journal.start_attempt(3, Micros(200), "s", None).unwrap();
    journal.record_outcome(3, false, "550 no");
    (1..=3).for_each(|msg| journal.end(msg, Micros(300)));
    let knows =
        |journal: &Journal, at| ["ran", "never", "refused"].map(|id| journal.knows_id(id, Micros(at)));
    assert_eq!(knows(&journal, 400), [true, false, false]);
    drop(journal);
    let journal = open(&dir);
    assert_eq!(knows(&journal, 400), [true, false, false]);
    assert_eq!(knows(&journal, 5000), [false, false, false], "not after `keep_id_until`");
}

/// The same steps leave the same journal in memory as on disk, and both are read back the same, also if records are
/// written in batches.
#[test]
fn memory_storage_behaves_as_a_directory() {
    use indigohold::store::storage::{MemoryStorage, Storage};
    let (dir, memory) = (folder("storage"), MemoryStorage::default());
    let steps = |journal: &mut Journal, batched: bool| {
        for msg in 1..400u64 {
            assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 900))]).unwrap(), 1);
            journal.start_attempt(msg, Micros(200 + msg), "s-1", None).unwrap();
            if batched {
                journal.begin_batch();
            }
            journal.record_outcome(msg, msg % 3 == 0, "busy");
            if msg % 7 != 0 {
                journal.end(msg, Micros(300 + msg));
            }
            if batched {
                journal.write_batch();
            }
        }
    };
    let mut on_disk = open(&dir);
    steps(&mut on_disk, false);
    let mut in_memory = Journal::open_storage(Box::new(memory.clone()), BUDGET_BYTES, Micros(100)).unwrap();
    steps(&mut in_memory, true);
    assert_eq!(on_disk.pending(), in_memory.pending());
    drop((on_disk, in_memory));
    let again = Journal::open_storage(Box::new(memory.clone()), BUDGET_BYTES, Micros(100)).unwrap();
    assert_eq!(open(&dir).pending(), again.pending());
    assert_eq!(again.pending().len(), 57);
    assert!(again.knows_id("m3", Micros(400)) && !again.knows_id("m4", Micros(400)));
    memory.clear();
    assert!(memory.names().unwrap().is_empty());
}

/// Paths of the segments, the oldest first.
fn segment_files(dir: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(dir).unwrap().map(|f| f.unwrap().path());
    let mut segments: Vec<PathBuf> = files.filter(|p| p.extension().is_some_and(|e| e == "log")).collect();
    segments.retain(|p| p.file_stem().unwrap().to_str().unwrap().parse::<u64>().is_ok());
    segments.sort();
    segments
}

/// A journal of two segments, written by two process runs, with messages 1 to 6: a call of 1 is in flight; 2 waits; 3
/// was delivered and has ended; a call of 4 was refused; a call of 5 may have run; the client of 6 is to be notified
/// of its end.
fn journal_of_two_runs(name: &str) -> PathBuf {
    let dir = folder(name);
    let mut journal = Journal::open(&dir, BUDGET_BYTES, Micros(100)).unwrap();
    for msg in 1..=4 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 30))]).unwrap(), 1);
    }
    journal.start_attempt(3, Micros(200), "s-3", None).unwrap();
    journal.end(3, Micros(210));
    journal.start_attempt(4, Micros(220), "s-4", None).unwrap();
    journal.record_outcome(4, false, "busy");
    drop(journal);
    let mut journal = Journal::open(&dir, BUDGET_BYTES, Micros(300)).unwrap();
    for msg in 5..=6 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 30))]).unwrap(), 1);
    }
    journal.start_attempt(5, Micros(400), "s-5", None).unwrap();
    journal.record_outcome(5, true, "");
    journal.record_final_outcome(6, FinalOutcome::GivenUp);
    journal.start_attempt(1, Micros(500), "s-1", None).unwrap();
    dir
}

/// Asserts that no message that may have run looks as if it had not. The messages that were delivered, in flight or
/// uncertain are either gone or uncertain.
fn assert_none_looks_unsent(journal: &Journal, case: &str) {
    for msg in [1, 3, 5] {
        if let Some(state) = journal.pending().get(&msg) {
            assert!(
                state.first_uncertain.is_some() || state.open_attempt.is_some(),
                "{case}: message {msg} looks unsent"
            );
        }
    }
}

#[test]
fn a_flipped_bit_is_reported_and_makes_no_message_look_unsent() {
    let dir = journal_of_two_runs("flip");
    let files = segment_files(&dir);
    assert_eq!(files.len(), 2);
    let whole: Vec<Vec<u8>> = files.iter().map(|f| fs::read(f).unwrap()).collect();
    let copy = folder("flip-copy");
    let mut unreported = 0;
    for (n, bytes) in whole.iter().enumerate() {
        for bit in 0..bytes.len() * 8 {
            let _ = fs::remove_dir_all(&copy);
            fs::create_dir_all(&copy).unwrap();
            for (m, file) in files.iter().enumerate() {
                let mut bytes = whole[m].clone();
                if m == n {
                    bytes[bit / 8] ^= 1 << (bit % 8);
                }
                fs::write(copy.join(file.file_name().unwrap()), bytes).unwrap();
            }
            let journal = open(&copy);
            let case = format!("segment {n}, bit {bit}");
            assert_none_looks_unsent(&journal, &case);
            let pending = journal.pending().len();
            assert!(pending >= 4, "{case}: more than one record is lost: {:?}", journal.pending().keys());
            unreported += usize::from(journal.damages().0.is_empty());
            drop(journal);
            // The next process run reads the same.
            assert_none_looks_unsent(&open(&copy), &case);
        }
    }
    // Only a damaged length of the last record can look like an incomplete write.
    assert!(unreported <= 32, "{unreported} flips were not reported");
}

#[test]
fn zeroed_cut_and_missing_segments_are_reported_and_make_no_message_look_unsent() {
    let dir = journal_of_two_runs("zeroed");
    let files = segment_files(&dir);
    let first = fs::read(&files[0]).unwrap();
    for from in (0..first.len()).step_by(7) {
        let mut bytes = first.clone();
        let to = (from + 90).min(bytes.len());
        bytes[from..to].fill(0);
        fs::write(&files[0], &bytes).unwrap();
        let journal = open(&dir);
        assert!(!journal.damages().0.is_empty(), "zeroed from {from}");
        assert_none_looks_unsent(&journal, &format!("zeroed from {from}"));
        drop(journal);
        // Cut off at the same offset: the next segment holds the length and the checksum that it had.
        fs::write(&files[0], &first[..from]).unwrap();
        let journal = open(&dir);
        assert!(!journal.damages().0.is_empty(), "cut at {from}");
        assert_none_looks_unsent(&journal, &format!("cut at {from}"));
        drop(journal);
        segment_files(&dir).iter().skip(2).for_each(|file| fs::remove_file(file).unwrap());
    }
    fs::write(&files[0], &first).unwrap();
    assert!(open(&dir).damages().0.is_empty(), "the segment is restored");
    let late = open(&dir);
    drop(late);
    let all = segment_files(&dir);
    fs::remove_file(&all[1]).unwrap();
    let journal = open(&dir);
    assert!(!journal.damages().0.is_empty(), "a segment is missing");
    assert!(journal.pending().values().all(|o| o.first_uncertain.is_some()), "all messages may have run");
}

/// The copy of damaged bytes is written once and counts as used disk space.
#[test]
fn damaged_bytes_are_saved_once() {
    let dir = journal_of_two_runs("damaged-copy");
    let files = segment_files(&dir);
    let mut bytes = fs::read(&files[0]).unwrap();
    bytes[100] ^= 1;
    fs::write(&files[0], &bytes).unwrap();
    let copies = || {
        let names = fs::read_dir(&dir).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap());
        names.filter(|n| n.starts_with("damaged-")).count()
    };
    let first = open(&dir);
    assert_eq!((first.damages().0.len(), copies()), (1, 1));
    assert!(first.disk_bytes() >= disk_bytes(&dir), "{} of {}", first.disk_bytes(), disk_bytes(&dir));
    drop(first);
    drop(open(&dir));
    assert_eq!(copies(), 1);
}

/// Each process run gets a higher incarnation number, also if the previous owner's file can't be read.
#[test]
fn a_folder_has_one_owner_and_each_gets_a_higher_incarnation() {
    use indigohold::store::owner::{claim, ClaimError};
    let dir = folder("owner");
    let first = claim(&dir, Micros(1_000_000), 0).unwrap();
    assert_eq!(first.claim.incarnation, 1);
    match claim(&dir, Micros(2_000_000), 0) {
        Err(ClaimError::Owned(Some(owner))) => assert_eq!(owner, first.claim),
        other => panic!("{other:?}"),
    }
    drop(first);
    assert_eq!(claim(&dir, Micros(3_000_000), 0).unwrap().claim.incarnation, 2);
    for bytes in [&b""[..], b"rubbish", b"\xff\xfe\n", b"00000000 9 9 9\n"] {
        fs::write(dir.join("owner"), bytes).unwrap();
        assert_eq!(claim(&dir, Micros(4_000_000), 41).unwrap().claim.incarnation, 42, "{bytes:?}");
    }
}
