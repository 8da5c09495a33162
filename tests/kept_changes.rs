//! Changes of discovery's list that are kept before they take effect: what a process that is killed at any moment leaves is the
//! list that it went by, or none.

#[path = "support/registry.rs"]
mod registry;
mod support;

use indigohold::register::kept_changes::{self, KeptListRead, MAX_LOG_BYTES};
use indigohold::register::kept_copy::{self, KeptCopyRules, KeptCopyWriter};
use indigohold::register::list::Instance;
use indigohold::register::{EndpointRecord, EndpointState, FrontRegistry, ListUpdate, Source};
use indigohold::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use registry::{partial_update, record, registry_with};
use serde_json::{json, Value};
use std::fs;
use std::net::TcpListener;
use std::path::Path;
use support::partner::hand_in_at;
use support::*;
use tempfile::tempdir;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// Guards against review/7: a courier that was killed while discovery was down went by an older list than it had been told, and
/// sent one partner's messages to an address that was another's by then.
#[test]
fn after_a_kill_nothing_goes_to_an_address_that_has_become_another_partners() {
    let (stays, moves) = (endpoint(|_, _| Act::Answer(OK)), endpoint(|_, _| Act::Answer(OK)));
    let (stays_up, moves_up) = (instance("s-1", stays.addr, 3, "up"), instance("s-2", moves.addr, 3, "up"));
    let discovery = discovery(&[stays_up.clone(), moves_up.clone()]);
    let folder = Folder::new();
    let config = |discovery: String| {
        json!({
            "listen": "127.0.0.1:0", "discovery": discovery, "seed": "0c",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}, "settings": settings(20_000)
        })
    };
    let mut program = Program::start(&folder.0, &config(discovery.addr.to_string()), None);
    let addr = program.addr("platform");
    until("the first list is kept", || folder.0.join("state/register.copy").exists());
    // Each follows the write before too closely to be written with the whole list.
    *discovery.list.lock().unwrap() = (8, [&stays_up[..], &moves_up].join(","));
    let moved = instance("s-3", moves.addr, 5, "up");
    *discovery.list.lock().unwrap() = (9, [&stays_up[..], &moved].join(","));
    until("the change is in use", || hand_in_at(addr, "first", "print-order", 5) == 202);
    until("the moved address is called", || moves.count("first") == 1);
    program.kill();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let mut program = Program::start(&folder.0, &config(closed.to_string()), None);
    let addr = program.addr("platform");
    let ids: Vec<String> = (0..20).map(|n| format!("m-{n}")).collect();
    ids.iter().for_each(|id| assert_eq!(hand_in_at(addr, id, "print-order", 3), 202));
    until("all are delivered", || ids.iter().all(|id| stays.count(id) + moves.count(id) == 1));
    assert!(ids.iter().all(|id| moves.count(id) == 0), "some went to the other partner's endpoint");
}

/// A registry with its folder, as the core and the daemon drive them.
struct Kept {
    folder: tempfile::TempDir,
    registry: FrontRegistry,
    log: kept_changes::ChangeLog,
    writer: KeptCopyWriter,
    now: Micros,
}

impl Kept {
    fn start(folder: tempfile::TempDir) -> Kept {
        let KeptListRead { list, log, outdated, .. } = kept_changes::read(folder.path());
        assert_eq!(outdated, None);
        let writer = KeptCopyWriter::new(folder.path(), KeptCopyRules::default());
        let mut kept =
            Kept { registry: registry_with(Default::default()), folder, log, writer, now: Micros(5_000_000) };
        if let Some(list) = list {
            let records = list.list.instances.iter().map(|i| i.to_record().unwrap()).collect();
            let update = ListUpdate::full(Source::KeptCopy, list.list.generation, records, kept.now);
            kept.registry.apply_update(kept.now, update);
        }
        kept
    }

    fn told(&mut self, update: ListUpdate) {
        self.now = self.now + Micros(1_000_000);
        let changes = self.registry.apply_update(self.now, update).list_changes;
        if !changes.is_empty() {
            let (_, confirmed) = self.registry.revision().unwrap();
            self.log.append(confirmed, self.registry.list_version(), &changes).unwrap();
        }
    }

    fn write_copy(&mut self) {
        let snapshot = self.registry.snapshot().unwrap();
        self.writer.write(self.now, &snapshot, self.log.sequence(), 1 << 20).unwrap();
        self.log.copy_written(self.log.sequence());
    }

    /// The records that the next process would go by.
    fn on_disk(&self) -> Vec<EndpointRecord> {
        let list = kept_changes::read(self.folder.path()).list;
        list.map_or(Vec::new(), |kept| kept.list.instances.iter().filter_map(Instance::to_record).collect())
    }

    fn in_use(&self) -> Vec<EndpointRecord> {
        self.registry.snapshot().map_or(Vec::new(), |snapshot| snapshot.records)
    }
}

fn random_update(random: &mut Pcg64Mcg, generation: u64, now: Micros) -> ListUpdate {
    let mut pick = |n: u32| random.next_u32() % n;
    let records = (0..1 + pick(4))
        .map(|_| {
            let state = [EndpointState::Up, EndpointState::Up, EndpointState::Draining, EndpointState::Gone]
                [pick(4) as usize];
            record(&format!("s-{}", pick(12)), 2000 + pick(12) as u16, state)
        })
        .collect();
    let update = partial_update(generation, records, now);
    ListUpdate { is_full_list: pick(5) == 0, ..update }
}

/// After each update the folder has what the process goes by, whatever copies were written and however often it was killed.
#[test]
fn what_is_on_disk_is_always_what_is_in_use() {
    for seed in 0..40 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut kept = Kept::start(tempdir().unwrap());
        for generation in 1..60 {
            kept.told(random_update(&mut random, generation, kept.now));
            assert_eq!(kept.on_disk(), kept.in_use(), "seed {seed}, version {generation}");
            let version = kept_changes::read(kept.folder.path()).list.map_or(0, |list| list.list.generation);
            assert!(version <= generation, "seed {seed}: version {version} was never told");
            match random.next_u32() % 8 {
                0 => kept.write_copy(),
                1 => kept = Kept::start(kept.folder),
                _ => {}
            }
        }
    }
}

/// A kill while a line is written leaves the list before or the one with that change.
#[test]
fn a_log_cut_anywhere_is_the_list_after_one_of_its_changes() {
    let mut kept = Kept::start(tempdir().unwrap());
    let mut lists = vec![kept.in_use()];
    for generation in 1..6 {
        let up = record(&format!("s-{generation}"), 2000, EndpointState::Up);
        kept.told(partial_update(generation, vec![up], kept.now));
        lists.push(kept.in_use());
    }
    let path = kept.folder.path().join("register.changes");
    let whole = fs::read(&path).unwrap();
    for end in 0..=whole.len() {
        fs::write(&path, &whole[..end]).unwrap();
        let complete = whole[..end].iter().filter(|byte| **byte == b'\n').count();
        let found = kept.on_disk();
        assert!(found == lists[complete] || end > 0 && found == lists[(complete + 1).min(5)], "{end} bytes");
        // What the next process appends to a cut line can be read.
        let mut next = Kept::start(tempdir().unwrap());
        fs::write(next.folder.path().join("register.changes"), &whole[..end]).unwrap();
        next = Kept::start(next.folder);
        next.told(partial_update(9, vec![record("last", 2009, EndpointState::Up)], next.now));
        assert!(next.on_disk().iter().any(|record| record.name == "last"), "{end} bytes");
    }
}

/// A change that is missing in the middle is asked for again: the version stays that of the last list without a gap.
#[test]
fn behind_a_damaged_change_the_version_does_not_rise() {
    let mut kept = Kept::start(tempdir().unwrap());
    for generation in 1..5 {
        let up = record(&format!("s-{generation}"), 2000, EndpointState::Up);
        kept.told(partial_update(generation, vec![up], kept.now));
    }
    let path = kept.folder.path().join("register.changes");
    let text = fs::read_to_string(&path).unwrap().replacen("s-3", "s-8", 1);
    fs::write(&path, text).unwrap();
    let read = kept_changes::read(kept.folder.path());
    let list = read.list.unwrap().list;
    assert_eq!((list.generation, list.instances.len()), (2, 3));
    assert!(
        read.warnings.len() == 1 && read.warnings[0].contains("1 changes can't be read"),
        "{:?}",
        read.warnings
    );
}

/// When the log is full, or can't be written, the list on disk is said to be outdated until the whole list is written: no process
/// goes by the older one meanwhile.
#[test]
fn a_change_that_can_not_be_kept_makes_the_kept_list_unusable() {
    let mut kept = Kept::start(tempdir().unwrap());
    kept.told(partial_update(1, vec![record("s-0", 2000, EndpointState::Up)], kept.now));
    kept.write_copy();
    let mut generation = 2;
    while !kept.log.needs_copy() {
        let up = record(&format!("s-{generation}"), 2000, EndpointState::Up);
        kept.told(partial_update(generation, vec![up], kept.now));
        generation += 1;
        assert!(generation < 1_000, "the log has no bound");
    }
    assert!(fs::metadata(kept.folder.path().join("register.changes")).unwrap().len() <= MAX_LOG_BYTES);
    let read = kept_changes::read(kept.folder.path());
    assert_eq!((read.list, read.outdated), (None, Some(generation - 1)));
    kept.write_copy();
    assert!(!kept.log.needs_copy());
    assert_eq!(kept.on_disk(), kept.in_use());
    // A log that can't be written at all: nothing but the copy helps.
    let folder = tempdir().unwrap();
    fs::create_dir(folder.path().join("register.changes")).unwrap();
    let mut log = kept_changes::read(folder.path()).log;
    assert!(log.append(Micros(1), 1, &[record("s-1", 2000, EndpointState::Up)]).is_err());
    assert!(log.needs_copy());
}

/// An earlier version writes copies without a number and knows no log: what the log says is older than such a copy.
#[test]
fn a_copy_of_an_earlier_version_goes_before_the_log() {
    let mut kept = Kept::start(tempdir().unwrap());
    kept.told(partial_update(1, vec![record("s-1", 2000, EndpointState::Up)], kept.now));
    let mut copy = kept_changes::read(kept.folder.path()).list.unwrap();
    copy.sequence = None;
    copy.list.instances.clear();
    kept_copy::write(kept.folder.path(), &kept_copy::encode(&copy)).unwrap();
    assert!(kept.on_disk().is_empty());
    kept = Kept::start(kept.folder);
    kept.told(partial_update(2, vec![record("s-2", 2000, EndpointState::Up)], kept.now));
    kept.write_copy();
    assert_eq!(kept.on_disk(), kept.in_use());
}

/// A process whose kept list is outdated goes by no list of the configuration that is older.
#[test]
fn an_outdated_list_is_not_replaced_by_an_older_one_of_the_configuration() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let known: Value = serde_json::from_str(&instance("s-1", endpoint.addr, 3, "up")).unwrap();
    let config = json!({
        "listen": "127.0.0.1:0", "discovery": closed.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
        "known": {"generation": 4, "reset": true, "instances": [known]}, "settings": settings(20_000)
    });
    for (generation, answer) in [(5, 503), (4, 202)] {
        let folder = Folder::new();
        write_outdated_log(&folder.0.join("state"), generation);
        let mut program = Program::start(&folder.0, &config, None);
        let addr = program.addr("platform");
        assert_eq!(hand_in_at(addr, "m-1", "print-order", 3), answer, "outdated at version {generation}");
    }
}

fn write_outdated_log(state: &Path, generation: u64) {
    let mut log = kept_changes::read(state).log;
    let many: Vec<EndpointRecord> =
        (0..400).map(|n| record(&format!("s-{n}"), 2000, EndpointState::Up)).collect();
    log.append(Micros(1), generation, &many).unwrap();
    assert_eq!(kept_changes::read(state).outdated, Some(generation));
}
