//! The journal: what it gives back after a stop anywhere, and the room that it keeps to.

use indigohold::store::{Journal, Req, Verdict};
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
        keep_id: Micros(5_000),
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
        assert_eq!(journal.take(&[(msg, req(&format!("m{msg}"), 10))]).unwrap(), 1);
    }
    journal.begin(1, Micros(200), "s-1").unwrap();
    journal.outcome(1, false, "busy").unwrap();
    journal.begin(1, Micros(300), "s-2").unwrap();
    journal.begin(2, Micros(400), "s-1").unwrap();
    journal.outcome(2, true, "").unwrap();
    journal.begin(2, Micros(500), "s-2").unwrap();
    journal.verdict(3, Verdict::HandedBack(Micros(77))).unwrap();
    journal.end(4, Micros(600)).unwrap();
    drop(journal);
    let journal = open(&dir);
    let owed = journal.owed();
    assert_eq!(owed.keys().copied().collect::<Vec<_>>(), [1, 2, 3]);
    assert_eq!(owed[&1].req, req("m1", 10));
    assert_eq!((owed[&1].tries, owed[&1].risk.clone()), (2, None), "a fetch that was refused leaves no risk");
    assert_eq!(owed[&1].open, Some((Micros(300), "s-2".into())), "one without an outcome may have run");
    assert_eq!(owed[&2].risk, Some((Micros(400), "s-1".into())), "the first that may have run counts");
    assert_eq!(owed[&3].verdict, Some(Verdict::HandedBack(Micros(77))));
    assert_eq!(owed[&1].said, "busy");
}

/// Guards against a start that fails, or forgets what came before, when the last record was cut by a kill.
#[test]
fn a_tail_torn_anywhere_costs_only_its_own_record() {
    let dir = folder("torn");
    let mut journal = open(&dir);
    journal.take(&[(1, req("a", 10))]).unwrap();
    journal.take(&[(2, req("b", 10))]).unwrap();
    drop(journal);
    let file =
        fs::read_dir(&dir).unwrap().map(|f| f.unwrap().path()).find(|p| p.ends_with("00000001.log")).unwrap();
    let whole = fs::read(&file).unwrap();
    for cut in 0..whole.len() {
        fs::write(&file, &whole[..cut]).unwrap();
        let journal = open(&dir);
        let wanted = if cut < whole.len() / 2 { 0 } else { 1 };
        assert_eq!(journal.owed().len(), wanted, "cut at {cut}");
        for extra in fs::read_dir(&dir).unwrap().map(|f| f.unwrap().path()).filter(|p| *p != file) {
            fs::remove_file(extra).unwrap();
        }
    }
    let mut damaged = whole.clone();
    damaged[20] ^= 1;
    fs::write(&file, damaged).unwrap();
    assert_eq!(open(&dir).owed().len(), 0, "nothing behind a damaged record is believed");
}

/// Guards against a disk that fills up: the courier would be counted as crashed. One message that stays for long
/// keeps the oldest segment, and must not keep all behind it.
#[test]
fn the_folder_stays_within_its_room() {
    let dir = folder("room");
    let mut journal = open(&dir);
    assert_eq!(journal.take(&[(1, req("stays", 2000))]).unwrap(), 1);
    for msg in 2..3000 {
        assert_eq!(journal.take(&[(msg, req(&format!("m{msg}"), 3000))]).unwrap(), 1, "message {msg}");
        journal.begin(msg, Micros(msg), "s-1").unwrap();
        journal.end(msg, Micros(msg)).unwrap();
        assert!(on_disk(&dir) <= DISK, "{} bytes after {msg}", on_disk(&dir));
    }
    let mut refused = 0;
    for msg in 3000..3300 {
        refused += 1 - journal.take(&[(msg, req(&format!("m{msg}"), 3000))]).unwrap();
        assert!(on_disk(&dir) <= DISK);
    }
    assert!(refused > 150, "what is owed fills it, and more is refused: {refused}");
    // Outcomes and ends of what was taken always fit.
    let held: Vec<u64> = journal.owed().keys().copied().collect();
    for msg in &held {
        for n in 0..8 {
            journal.begin(*msg, Micros(n), "a-name-of-usual-length").unwrap();
            journal.outcome(*msg, true, "").unwrap();
        }
        assert!(on_disk(&dir) <= DISK);
    }
    drop(journal);
    let mut journal = open(&dir);
    assert_eq!(journal.owed().keys().copied().collect::<Vec<_>>(), held);
    for msg in held {
        journal.end(msg, Micros(4000)).unwrap();
    }
    assert!(journal.owed().is_empty());
}

/// Guards against a print order doubled by a client whose answer was lost, and against one swallowed that never
/// ran.
#[test]
fn ids_of_what_may_have_run_are_recognised_for_their_time() {
    let dir = folder("ids");
    let mut journal = open(&dir);
    for (msg, id) in [(1, "ran"), (2, "never"), (3, "refused")] {
        journal.take(&[(msg, req(id, 10))]).unwrap();
    }
    journal.begin(1, Micros(200), "s").unwrap();
    journal.begin(3, Micros(200), "s").unwrap();
    journal.outcome(3, false, "550 no").unwrap();
    (1..=3).for_each(|msg| journal.end(msg, Micros(300)).unwrap());
    let knows = |journal: &Journal, at| ["ran", "never", "refused"].map(|id| journal.knows(id, Micros(at)));
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
    use indigohold::store::home::{Home, Memory};
    let (dir, memory) = (folder("home"), Memory::default());
    let steps = |journal: &mut Journal, gathers: bool| {
        for msg in 1..400u64 {
            assert_eq!(journal.take(&[(msg, req(&format!("m{msg}"), 900))]).unwrap(), 1);
            journal.begin(msg, Micros(200 + msg), "s-1").unwrap();
            if gathers {
                journal.gather();
            }
            journal.outcome(msg, msg % 3 == 0, "busy").unwrap();
            if msg % 7 != 0 {
                journal.end(msg, Micros(300 + msg)).unwrap();
            }
            if gathers {
                journal.written().unwrap();
            }
        }
    };
    let mut on_disk = open(&dir);
    steps(&mut on_disk, false);
    let mut in_memory = Journal::at(Box::new(memory.clone()), DISK, Micros(100)).unwrap();
    steps(&mut in_memory, true);
    assert_eq!(on_disk.owed(), in_memory.owed());
    drop((on_disk, in_memory));
    let again = Journal::at(Box::new(memory.clone()), DISK, Micros(100)).unwrap();
    assert_eq!(open(&dir).owed(), again.owed());
    assert_eq!(again.owed().len(), 57);
    assert!(again.knows("m3", Micros(400)) && !again.knows("m4", Micros(400)));
    memory.lose();
    assert!(memory.names().unwrap().is_empty());
}
