//! The journal: what it gives back after a stop anywhere, and the room that it keeps to.

use indigohold::store::{FinalOutcome, Journal, Req};
use indigohold::Micros;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

const DISK: u64 = 400_000;

fn folder(name: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("indigohold-store-{}-{name}", std::process::id()));
    let _ = fs::remove_dir_all(&path);
    path
}

fn open(dir: &Path) -> Journal {
    Journal::open(dir, DISK, Micros(100)).unwrap()
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

fn on_disk(dir: &Path) -> u64 {
    fs::read_dir(dir).unwrap().map(|f| f.unwrap().metadata().unwrap().len().div_ceil(512) * 512).sum()
}

#[test]
fn attempts_risk_and_verdict_outlast_the_process() {
    let dir = folder("state");
    let mut journal = open(&dir);
    for msg in 1..=4 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 10))]).unwrap(), 1);
    }
    journal.start_attempt(1, Micros(200), "s-1").unwrap();
    journal.record_outcome(1, false, "busy");
    journal.start_attempt(1, Micros(300), "s-2").unwrap();
    journal.start_attempt(2, Micros(400), "s-1").unwrap();
    journal.record_outcome(2, true, "");
    journal.start_attempt(2, Micros(500), "s-2").unwrap();
    journal.record_final_outcome(3, FinalOutcome::HandedBack(Micros(77)));
    journal.end(4, Micros(600));
    drop(journal);
    let journal = open(&dir);
    let owed = journal.pending();
    assert_eq!(owed.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
    assert_eq!(owed[&1].req, req("m1", 10));
    assert_eq!(owed[&1].attempts, 2);
    assert_eq!(owed[&1].open_attempt, None, "nobody will hear how a call of an earlier process ended");
    assert_eq!(
        owed[&1].first_uncertain,
        Some((Micros(300), "s-2".into())),
        "so it may have run; the refused one before did not"
    );
    assert_eq!(
        owed[&2].first_uncertain,
        Some((Micros(400), "s-1".into())),
        "the first that may have run counts"
    );
    assert_eq!(owed[&3].final_outcome, Some(FinalOutcome::HandedBack(Micros(77))));
    assert_eq!(owed[&1].last_reply, "busy");
}

/// Guards against a start that fails, or forgets what came before, when the last record was cut by a kill.
/// Guards against a repeat outside of its window: a call of the first life was out when it ended, that of the second never ran,
/// and the third life took the message for one that had never run at all.
#[test]
fn what_a_life_left_out_stays_a_risk_whatever_later_lives_learn() {
    for rewritten in [false, true] {
        let dir = folder(&format!("left-out-{rewritten}"));
        let mut journal = open(&dir);
        journal.accept(&[(1, req("m1", 10))]).unwrap();
        journal.start_attempt(1, Micros(200), "s-1").unwrap();
        drop(journal);
        for life in 0..3u64 {
            let mut journal = open(&dir);
            journal.start_attempt(1, Micros(300 + life), "s-2").unwrap();
            journal.record_outcome(1, false, "busy");
            // Enough for its segment to be written anew.
            for n in 0..if rewritten { 400 } else { 0 } {
                let msg = 1_000 + life * 1_000 + n;
                journal.accept(&[(msg, req(&format!("x{msg}"), 900))]).unwrap();
                journal.end(msg, Micros(400));
            }
        }
        let journal = open(&dir);
        let owed = &journal.pending()[&1];
        assert_eq!((owed.attempts, owed.open_attempt.clone()), (4, None));
        assert_eq!(owed.first_uncertain, Some((Micros(200), "s-1".into())), "the first call may have run");
    }
}

#[test]
fn a_tail_torn_anywhere_costs_only_its_own_record() {
    let dir = folder("torn");
    let mut journal = open(&dir);
    journal.accept(&[(1, req("a", 10))]).unwrap();
    journal.accept(&[(2, req("b", 10))]).unwrap();
    drop(journal);
    let file =
        fs::read_dir(&dir).unwrap().map(|f| f.unwrap().path()).find(|p| p.ends_with("00000001.log")).unwrap();
    let whole = fs::read(&file).unwrap();
    // A segment begins with a record of its own.
    const START: usize = 46;
    let first = START + (whole.len() - START) / 2;
    for cut in 0..whole.len() {
        fs::write(&file, &whole[..cut]).unwrap();
        let journal = open(&dir);
        let wanted = if cut < first { 0 } else { 1 };
        assert_eq!(journal.pending().len(), wanted, "cut at {cut}");
        assert!(journal.damages().0.is_empty(), "cut at {cut}");
        for extra in fs::read_dir(&dir).unwrap().map(|f| f.unwrap().path()).filter(|p| *p != file) {
            fs::remove_file(extra).unwrap();
        }
    }
    let mut damaged = whole.clone();
    damaged[START + 20] ^= 1;
    fs::write(&file, damaged).unwrap();
    let journal = open(&dir);
    assert_eq!(
        journal.pending().keys().copied().collect::<Vec<_>>(),
        [2],
        "what is behind a damaged record is read"
    );
    assert_eq!(journal.damages().0.len(), 1);
}

/// Guards against a disk that fills up: the courier would be counted as crashed. One message that stays for long
/// keeps the oldest segment, and must not keep all behind it.
#[test]
fn the_folder_stays_within_its_room() {
    let dir = folder("room");
    let mut journal = open(&dir);
    assert_eq!(journal.accept(&[(1, req("stays", 2000))]).unwrap(), 1);
    for msg in 2..3000 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 3000))]).unwrap(), 1, "message {msg}");
        journal.start_attempt(msg, Micros(msg), "s-1").unwrap();
        journal.end(msg, Micros(msg));
        assert!(on_disk(&dir) <= DISK, "{} bytes after {msg}", on_disk(&dir));
    }
    let mut refused = 0;
    for msg in 3000..3300 {
        refused += 1 - journal.accept(&[(msg, req(&format!("m{msg}"), 3000))]).unwrap();
        assert!(on_disk(&dir) <= DISK);
    }
    assert!(refused > 150, "what is owed fills it, and more is refused: {refused}");
    // Outcomes and ends of what was taken always fit.
    let held: Vec<u64> = journal.pending().keys().copied().collect();
    for msg in &held {
        for n in 0..8 {
            journal.start_attempt(*msg, Micros(n), "a-name-of-usual-length").unwrap();
            journal.record_outcome(*msg, true, "");
        }
        assert!(on_disk(&dir) <= DISK);
    }
    drop(journal);
    let mut journal = open(&dir);
    assert_eq!(journal.pending().keys().copied().collect::<Vec<_>>(), held);
    for msg in held {
        journal.end(msg, Micros(4000));
    }
    assert!(journal.pending().is_empty());
}

/// Guards against a print order doubled by a client whose answer was lost, and against one swallowed that never
/// ran.
#[test]
fn ids_of_what_may_have_run_are_recognised_for_their_time() {
    let dir = folder("ids");
    let mut journal = open(&dir);
    for (msg, id) in [(1, "ran"), (2, "never"), (3, "refused")] {
        journal.accept(&[(msg, req(id, 10))]).unwrap();
    }
    journal.start_attempt(1, Micros(200), "s").unwrap();
    journal.start_attempt(3, Micros(200), "s").unwrap();
    journal.record_outcome(3, false, "550 no");
    (1..=3).for_each(|msg| journal.end(msg, Micros(300)));
    let knows =
        |journal: &Journal, at| ["ran", "never", "refused"].map(|id| journal.knows_id(id, Micros(at)));
    assert_eq!(knows(&journal, 400), [true, false, false]);
    drop(journal);
    let journal = open(&dir);
    assert_eq!(knows(&journal, 400), [true, false, false]);
    assert_eq!(knows(&journal, 5000), [false, false, false], "and no longer than it asked for");
}

/// The same steps leave the same journal in memory as on disk, and the same is read from both; also where records are
/// gathered and written together.
#[test]
fn memory_keeps_what_a_folder_keeps() {
    use indigohold::store::storage::{MemoryStorage, Storage};
    let (dir, memory) = (folder("home"), MemoryStorage::default());
    let steps = |journal: &mut Journal, gathers: bool| {
        for msg in 1..400u64 {
            assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 900))]).unwrap(), 1);
            journal.start_attempt(msg, Micros(200 + msg), "s-1").unwrap();
            if gathers {
                journal.begin_batch();
            }
            journal.record_outcome(msg, msg % 3 == 0, "busy");
            if msg % 7 != 0 {
                journal.end(msg, Micros(300 + msg));
            }
            if gathers {
                journal.write_batch();
            }
        }
    };
    let mut on_disk = open(&dir);
    steps(&mut on_disk, false);
    let mut in_memory = Journal::open_storage(Box::new(memory.clone()), DISK, Micros(100)).unwrap();
    steps(&mut in_memory, true);
    assert_eq!(on_disk.pending(), in_memory.pending());
    drop((on_disk, in_memory));
    let again = Journal::open_storage(Box::new(memory.clone()), DISK, Micros(100)).unwrap();
    assert_eq!(open(&dir).pending(), again.pending());
    assert_eq!(again.pending().len(), 57);
    assert!(again.knows_id("m3", Micros(400)) && !again.knows_id("m4", Micros(400)));
    memory.clear();
    assert!(memory.names().unwrap().is_empty());
}

fn logs(dir: &Path) -> Vec<PathBuf> {
    let files = fs::read_dir(dir).unwrap().map(|f| f.unwrap().path());
    let mut logs: Vec<PathBuf> = files.filter(|p| p.extension().is_some_and(|e| e == "log")).collect();
    logs.retain(|p| p.file_stem().unwrap().to_str().unwrap().parse::<u64>().is_ok());
    logs.sort();
    logs
}

/// Messages 1 to 6: a call of 1 is out; 2 waits; 3 was delivered and has ended; a call of 4 was refused; one of 5 may have
/// run; 6 is to be told its end. More than one segment, and more than one life.
fn history(name: &str) -> PathBuf {
    let dir = folder(name);
    let mut journal = Journal::open(&dir, DISK, Micros(100)).unwrap();
    for msg in 1..=4 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 30))]).unwrap(), 1);
    }
    journal.start_attempt(3, Micros(200), "s-3").unwrap();
    journal.end(3, Micros(210));
    journal.start_attempt(4, Micros(220), "s-4").unwrap();
    journal.record_outcome(4, false, "busy");
    drop(journal);
    let mut journal = Journal::open(&dir, DISK, Micros(300)).unwrap();
    for msg in 5..=6 {
        assert_eq!(journal.accept(&[(msg, req(&format!("m{msg}"), 30))]).unwrap(), 1);
    }
    journal.start_attempt(5, Micros(400), "s-5").unwrap();
    journal.record_outcome(5, true, "");
    journal.record_final_outcome(6, FinalOutcome::GivenUp);
    journal.start_attempt(1, Micros(500), "s-1").unwrap();
    dir
}

/// What no damage may bring about: a message that may have run and looks as if it had not. Those that were delivered, out,
/// or uncertain are either gone or in doubt.
fn none_looks_fresh(journal: &Journal, what: &str) {
    for msg in [1, 3, 5] {
        if let Some(owed) = journal.pending().get(&msg) {
            assert!(
                owed.first_uncertain.is_some() || owed.open_attempt.is_some(),
                "{what}: message {msg} looks fresh"
            );
        }
    }
}

#[test]
fn a_flipped_bit_anywhere_is_told_and_makes_nothing_look_fresh() {
    let dir = history("flip");
    let files = logs(&dir);
    assert_eq!(files.len(), 2);
    let whole: Vec<Vec<u8>> = files.iter().map(|f| fs::read(f).unwrap()).collect();
    let copy = folder("flip-copy");
    let mut untold = 0;
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
            let what = format!("segment {n}, bit {bit}");
            none_looks_fresh(&journal, &what);
            let owed = journal.pending().len();
            assert!(owed >= 4, "{what}: more than one record is lost: {:?}", journal.pending().keys());
            untold += usize::from(journal.damages().0.is_empty());
            drop(journal);
            // The next life knows it too.
            none_looks_fresh(&open(&copy), &what);
        }
    }
    // Only the length of the very last record can look as if it had not been written whole.
    assert!(untold <= 32, "{untold} flips went untold");
}

#[test]
fn holes_cuts_and_missing_segments_are_told_and_make_nothing_look_fresh() {
    let dir = history("hole");
    let files = logs(&dir);
    let first = fs::read(&files[0]).unwrap();
    for from in (0..first.len()).step_by(7) {
        let mut bytes = first.clone();
        let to = (from + 90).min(bytes.len());
        bytes[from..to].fill(0);
        fs::write(&files[0], &bytes).unwrap();
        let journal = open(&dir);
        assert!(!journal.damages().0.is_empty(), "a hole at {from}");
        none_looks_fresh(&journal, &format!("a hole at {from}"));
        drop(journal);
        // Cut off there: the segment behind it remembers what it was.
        fs::write(&files[0], &first[..from]).unwrap();
        let journal = open(&dir);
        assert!(!journal.damages().0.is_empty(), "cut at {from}");
        none_looks_fresh(&journal, &format!("cut at {from}"));
        drop(journal);
        logs(&dir).iter().skip(2).for_each(|file| fs::remove_file(file).unwrap());
    }
    fs::write(&files[0], &first).unwrap();
    assert!(open(&dir).damages().0.is_empty(), "it is whole again");
    let late = open(&dir);
    drop(late);
    let all = logs(&dir);
    fs::remove_file(&all[1]).unwrap();
    let journal = open(&dir);
    assert!(!journal.damages().0.is_empty(), "a segment is missing");
    assert!(journal.pending().values().all(|o| o.first_uncertain.is_some()), "all of them may have run");
}

/// What is damaged is kept aside once, bounded, and counts as taken room.
#[test]
fn damaged_bytes_are_kept_aside_once() {
    let dir = history("aside");
    let files = logs(&dir);
    let mut bytes = fs::read(&files[0]).unwrap();
    bytes[100] ^= 1;
    fs::write(&files[0], &bytes).unwrap();
    let aside = || {
        let names = fs::read_dir(&dir).unwrap().map(|f| f.unwrap().file_name().into_string().unwrap());
        names.filter(|n| n.starts_with("damaged-")).count()
    };
    let first = open(&dir);
    assert_eq!((first.damages().0.len(), aside()), (1, 1));
    assert!(first.disk_bytes() >= on_disk(&dir), "{} of {}", first.disk_bytes(), on_disk(&dir));
    drop(first);
    drop(open(&dir));
    assert_eq!(aside(), 1);
}

/// Each life has a number of its own, also where the last one's file can't be read.
#[test]
fn a_folder_has_one_owner_and_each_a_higher_number() {
    use indigohold::store::owner::{claim, ClaimError};
    let dir = folder("owner");
    let first = claim(&dir, Micros(1_000_000), 0).unwrap();
    assert_eq!(first.claim.incarnation, 1);
    match claim(&dir, Micros(2_000_000), 0) {
        Err(ClaimError::Owned(Some(by))) => assert_eq!(by, first.claim),
        other => panic!("{other:?}"),
    }
    drop(first);
    assert_eq!(claim(&dir, Micros(3_000_000), 0).unwrap().claim.incarnation, 2);
    for bytes in [&b""[..], b"rubbish", b"\xff\xfe\n", b"00000000 9 9 9\n"] {
        fs::write(dir.join("owner"), bytes).unwrap();
        assert_eq!(claim(&dir, Micros(4_000_000), 41).unwrap().claim.incarnation, 42, "{bytes:?}");
    }
}
