//! The kept copy under damage: every prefix, every flipped bit, a kill at every step of its replacement, a full disk.

use indigohold::register::kept_copy::{
    self, KeptCopyRules, KeptCopyWriter, KeptList, ListSnapshot, NotWritten,
};
use indigohold::register::list::{DiscoveryList, Instance, ParsedList};
use indigohold::register::{EndpointRecord, EndpointState};
use indigohold::Micros;
use std::fs;
use tempfile::tempdir;

fn record(n: u16) -> EndpointRecord {
    EndpointRecord {
        name: format!("s-{n}"),
        addr: ([127, 0, 0, 1], 1000 + n).into(),
        dest: n,
        kind: "community".into(),
        zone: "unlisted-zone".into(),
        state: if n == 1 { EndpointState::Draining } else { EndpointState::Up },
        weight: 2.5,
        rank: 0,
    }
}

fn kept_list(generation: u64) -> KeptList {
    let instances = (0..3).map(|n| Instance::from_record(&record(n))).collect();
    let list = DiscoveryList { generation, reset: true, instances };
    KeptList { confirmed_ms: 1_700_000_000_123, sequence: Some(generation), list }
}

/// Guards against zones that lose their names in a copy or a hand-over: those that the settings did not list had none.
#[test]
fn a_copy_decodes_to_the_list_that_was_encoded() {
    let bytes = kept_copy::encode(&kept_list(5));
    let decoded = kept_copy::decode(&bytes).unwrap();
    assert_eq!(decoded, kept_list(5));
    let records: Vec<EndpointRecord> = decoded.list.instances.iter().filter_map(|i| i.to_record()).collect();
    assert_eq!(records, [record(0), record(1), record(2)]);
}

#[test]
fn a_handed_over_record_keeps_its_names_and_a_position_alone_is_none() {
    let json = serde_json::to_value(record(0)).unwrap();
    assert_eq!(serde_json::from_value::<EndpointRecord>(json.clone()).unwrap(), record(0));
    // As a version wrote it that knew positions only.
    let mut old = json;
    for name in ["kind_name", "zone_name"] {
        assert!(old.as_object_mut().unwrap().remove(name).is_some());
    }
    (old["kind"], old["zone"]) = (0.into(), 0.into());
    let read: EndpointRecord = serde_json::from_value(old).unwrap();
    assert_eq!(read, EndpointRecord { kind: "".into(), zone: "".into(), ..record(0) });
}

/// Guards against a partly written copy that is taken for a shorter list.
#[test]
fn no_prefix_and_no_flipped_bit_is_accepted() {
    let bytes = kept_copy::encode(&kept_list(5));
    for end in 0..bytes.len() {
        assert!(kept_copy::decode(&bytes[..end]).is_err(), "{end} of {} bytes", bytes.len());
    }
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        // A flipped case bit of the checksum's hexadecimal digits changes nothing; all else must be rejected.
        match kept_copy::decode(&damaged) {
            Err(_) => {}
            Ok(decoded) => assert_eq!(decoded, kept_list(5), "bit {bit}"),
        }
    }
}

#[test]
fn a_copy_of_another_format_is_reported_and_skipped() {
    let folder = tempdir().unwrap();
    let dir = folder.path().to_owned();
    kept_copy::write(&dir, &kept_copy::encode(&kept_list(5))).unwrap();
    let text = String::from_utf8(kept_copy::encode(&kept_list(6))).unwrap();
    fs::rename(dir.join("register.copy"), dir.join("register.copy.old")).unwrap();
    fs::write(dir.join("register.copy"), text.replacen(" 1 ", " 2 ", 1)).unwrap();
    let (found, log_lines) = kept_copy::read(&dir);
    assert_eq!(found.unwrap().list.generation, 5, "the copy before");
    assert!(log_lines.len() == 1 && log_lines[0].contains("of format 2"), "{log_lines:?}");
    fs::write(dir.join("register.copy.old"), "{}").unwrap();
    let (found, log_lines) = kept_copy::read(&dir);
    assert_eq!((found, log_lines.len()), (None, 2), "one log line for each file");
}

/// SIGKILL at any moment of a replacement: the files as they are after each step, and with each prefix of the new copy
/// written.
#[test]
fn a_kill_at_any_step_leaves_a_complete_copy() {
    let (first, second) = (kept_copy::encode(&kept_list(1)), kept_copy::encode(&kept_list(2)));
    let folder = tempdir().unwrap();
    let dir = folder.path().to_owned();
    let (new, current, old) =
        (dir.join("register.copy.new"), dir.join("register.copy"), dir.join("register.copy.old"));
    kept_copy::write(&dir, &kept_copy::encode(&kept_list(0))).unwrap();
    kept_copy::write(&dir, &first).unwrap();
    let generation = || kept_copy::read(&dir).0.map(|k| k.list.generation);
    for end in 0..=second.len() {
        fs::write(&new, &second[..end]).unwrap();
        assert_eq!(generation(), Some(1), "{end} bytes of the new copy are written");
    }
    fs::rename(&current, &old).unwrap();
    assert_eq!(generation(), Some(1), "between the renames");
    fs::rename(&new, &current).unwrap();
    assert_eq!(generation(), Some(2));
    // The next write succeeds in each of these states.
    for missing in [&current, &old] {
        let _ = fs::remove_file(missing);
        kept_copy::write(&dir, &second).unwrap();
        assert_eq!(generation(), Some(2));
    }
}

fn snapshot(revision: u64, count: u16) -> ListSnapshot {
    ListSnapshot {
        revision,
        generation: revision,
        confirmed_at: Micros(revision * 1_000_000),
        records: (0..count).map(record).collect(),
    }
}

/// Guards against a copy that takes the disk space of the pending messages, and against a courier that dies of a full
/// disk.
#[test]
fn a_full_disk_affects_only_the_copy() {
    let folder = tempdir().unwrap();
    let dir = folder.path().to_owned();
    let rules = KeptCopyRules { min_interval: Micros(0), ..KeptCopyRules::default() };
    let mut writer = KeptCopyWriter::new(&dir, rules);
    let at = |n: u64| Micros(n * 1_000_000);
    assert_eq!(writer.write(at(1), &snapshot(1, 3), 1, 1 << 20), Ok(()));
    let log_line =
        writer.write(at(2), &snapshot(2, 3), 2, 1000).unwrap_err().log_line.expect("a line for the log");
    assert!(log_line.contains("not kept"), "{log_line}");
    assert_eq!(
        writer.write(at(5), &snapshot(3, 3), 3, 1000),
        Err(NotWritten { log_line: None }),
        "logged once"
    );
    // The write itself fails: the copy before stays.
    fs::create_dir(dir.join("register.copy.new")).unwrap();
    let log_line =
        writer.write(at(9), &snapshot(4, 3), 4, 1 << 20).unwrap_err().log_line.expect("a line for the log");
    assert!(log_line.contains("could not be kept"), "{log_line}");
    assert!(!writer.due(at(9), 5, at(9)), "no write for a while after a failure");
    assert_eq!(kept_copy::read(&dir).0.unwrap().list.generation, 1);
    fs::remove_dir(dir.join("register.copy.new")).unwrap();
    assert!(writer.due(at(90), 5, at(9)));
    assert_eq!(writer.write(at(90), &snapshot(5, 3), 5, 1 << 20), Ok(()));
    assert_eq!(kept_copy::read(&dir).0.unwrap().list.generation, 5);
}

#[test]
fn a_list_longer_than_its_disk_space_is_not_kept() {
    let folder = tempdir().unwrap();
    let dir = folder.path().to_owned();
    let rules = KeptCopyRules { disk_bytes: 12 * 1024, ..KeptCopyRules::default() };
    let mut writer = KeptCopyWriter::new(&dir, rules);
    let refused = writer.write(Micros(0), &snapshot(1, 100), 1, 1 << 30).unwrap_err();
    assert!(refused.log_line.unwrap().contains("100 backends"));
    assert_eq!(kept_copy::read(&dir), (None, Vec::new()));
}

/// A list of discovery, truncated and damaged, gives an error or a list, never a panic.
#[test]
fn no_damaged_list_causes_a_panic() {
    let text = serde_json::to_vec(&kept_list(5).list).unwrap();
    let mut seed = 7u64;
    for round in 0..20_000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mut bytes = text.clone();
        for n in 0..1 + round % 4 {
            let at = (seed >> (8 * n)) as usize % bytes.len();
            bytes[at] = (seed >> (40 + n)) as u8;
        }
        bytes.truncate(bytes.len() - (seed >> 56) as usize % 32);
        if let Ok(parsed) = ParsedList::parse(&bytes) {
            let update = parsed.into_update(indigohold::register::Source::Discovery, Micros(0));
            assert!(update.records.len() + update.unreadable.len() <= 6);
        }
    }
}
