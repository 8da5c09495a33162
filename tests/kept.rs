//! The kept copy under damage: every prefix, every flipped bit, a stop at every step of its replacement, a full disk.

use indigohold::register::kept_copy::{self, KeptCopyRules, KeptCopyWriter, KeptList, ListSnapshot};
use indigohold::register::list::{DiscoveryList, Instance, KindAndZoneNames, ParsedList};
use indigohold::register::{EndpointRecord, EndpointState};
use indigohold::Micros;
use std::fs;
use tempfile::tempdir;

fn places() -> KindAndZoneNames {
    KindAndZoneNames { kinds: vec!["print-house".into(), "community".into()], zones: vec!["z".into()] }
}

fn line(n: u16) -> EndpointRecord {
    EndpointRecord {
        name: format!("s-{n}"),
        addr: ([127, 0, 0, 1], 1000 + n).into(),
        dest: n,
        kind: 1,
        zone: 0,
        state: if n == 1 { EndpointState::Draining } else { EndpointState::Up },
        weight: 2.5,
        rank: 0,
    }
}

fn copy(generation: u64) -> KeptList {
    let instances = (0..3).map(|n| Instance::from_record(&line(n), &places())).collect();
    KeptList { confirmed_ms: 1_700_000_000_123, list: DiscoveryList { generation, reset: true, instances } }
}

#[test]
fn what_is_kept_is_what_was_told() {
    let bytes = kept_copy::encode(&copy(5));
    let back = kept_copy::decode(&bytes).unwrap();
    assert_eq!(back, copy(5));
    let lines: Vec<EndpointRecord> =
        back.list.instances.iter().filter_map(|i| i.to_record(&places())).collect();
    assert_eq!(lines, [line(0), line(1), line(2)]);
}

/// Guards against a torn copy that is taken for a shorter list.
#[test]
fn no_prefix_and_no_flipped_bit_is_believed() {
    let bytes = kept_copy::encode(&copy(5));
    for end in 0..bytes.len() {
        assert!(kept_copy::decode(&bytes[..end]).is_err(), "{end} of {} bytes", bytes.len());
    }
    for bit in 0..bytes.len() * 8 {
        let mut damaged = bytes.clone();
        damaged[bit / 8] ^= 1 << (bit % 8);
        // A flipped case bit of the checksum's digits changes nothing; else it must not be believed.
        match kept_copy::decode(&damaged) {
            Err(_) => {}
            Ok(back) => assert_eq!(back, copy(5), "bit {bit}"),
        }
    }
}

#[test]
fn a_copy_of_another_format_is_said_and_passed_over() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    kept_copy::write(&dir, &kept_copy::encode(&copy(5))).unwrap();
    let text = String::from_utf8(kept_copy::encode(&copy(6))).unwrap();
    fs::rename(dir.join("register.copy"), dir.join("register.copy.old")).unwrap();
    fs::write(dir.join("register.copy"), text.replacen(" 1 ", " 2 ", 1)).unwrap();
    let (found, said) = kept_copy::read(&dir);
    assert_eq!(found.unwrap().list.generation, 5, "the one before");
    assert!(said.len() == 1 && said[0].contains("of format 2"), "{said:?}");
    fs::write(dir.join("register.copy.old"), "{}").unwrap();
    let (found, said) = kept_copy::read(&dir);
    assert_eq!((found, said.len()), (None, 2), "each in a line of its own");
}

/// SIGKILL at any moment of a replacement: as files are, after each step and with each prefix written of the new one.
#[test]
fn a_stop_at_any_step_leaves_a_whole_copy() {
    let (one, two) = (kept_copy::encode(&copy(1)), kept_copy::encode(&copy(2)));
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let (new, current, old) =
        (dir.join("register.copy.new"), dir.join("register.copy"), dir.join("register.copy.old"));
    kept_copy::write(&dir, &kept_copy::encode(&copy(0))).unwrap();
    kept_copy::write(&dir, &one).unwrap();
    let generation = || kept_copy::read(&dir).0.map(|k| k.list.generation);
    for end in 0..=two.len() {
        fs::write(&new, &two[..end]).unwrap();
        assert_eq!(generation(), Some(1), "{end} bytes of the new one are written");
    }
    fs::rename(&current, &old).unwrap();
    assert_eq!(generation(), Some(1), "between the renames");
    fs::rename(&new, &current).unwrap();
    assert_eq!(generation(), Some(2));
    // And the next write goes on from each of these states.
    for missing in [&current, &old] {
        let _ = fs::remove_file(missing);
        kept_copy::write(&dir, &two).unwrap();
        assert_eq!(generation(), Some(2));
    }
}

fn edition(number: u64, count: u16) -> ListSnapshot {
    ListSnapshot {
        revision: number,
        generation: number,
        confirmed_at: Micros(number * 1_000_000),
        records: (0..count).map(line).collect(),
    }
}

/// Guards against a copy that takes the room of what is owed, and against a courier that dies of a full disk.
#[test]
fn a_full_disk_costs_the_copy_alone() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let rules = KeptCopyRules { min_interval: Micros(0), ..KeptCopyRules::default() };
    let mut keeper = KeptCopyWriter::new(&dir, rules, places());
    let second = |n: u64| Micros(n * 1_000_000);
    assert_eq!(keeper.write(second(1), &edition(1, 3), 1 << 20), None);
    let said = keeper.write(second(2), &edition(2, 3), 1000).expect("a line for the log");
    assert!(said.contains("not kept"), "{said}");
    assert_eq!(keeper.write(second(5), &edition(3, 3), 1000), None, "said once");
    // The disk itself refuses: the copy before stays.
    fs::create_dir(dir.join("register.copy.new")).unwrap();
    let said = keeper.write(second(9), &edition(4, 3), 1 << 20).expect("a line for the log");
    assert!(said.contains("could not be kept"), "{said}");
    assert!(!keeper.due(second(9), 5, second(9)), "it is left alone for a while");
    assert_eq!(kept_copy::read(&dir).0.unwrap().list.generation, 1);
    fs::remove_dir(dir.join("register.copy.new")).unwrap();
    assert!(keeper.due(second(90), 5, second(9)));
    assert_eq!(keeper.write(second(90), &edition(5, 3), 1 << 20), None);
    assert_eq!(kept_copy::read(&dir).0.unwrap().list.generation, 5);
}

#[test]
fn a_list_longer_than_its_room_is_not_kept() {
    let home = tempdir().unwrap();
    let dir = home.path().to_owned();
    let rules = KeptCopyRules { disk_bytes: 12 * 1024, ..KeptCopyRules::default() };
    let mut keeper = KeptCopyWriter::new(&dir, rules, places());
    assert!(keeper.write(Micros(0), &edition(1, 100), 1 << 30).unwrap().contains("100 backends"));
    assert_eq!(kept_copy::read(&dir), (None, Vec::new()));
}

/// What discovery sends, cut and damaged: an error or a list, never a panic.
#[test]
fn no_bytes_of_a_list_panic() {
    let text = serde_json::to_vec(&copy(5).list).unwrap();
    let mut seed = 7u64;
    for round in 0..20_000 {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let mut bytes = text.clone();
        for n in 0..1 + round % 4 {
            let at = (seed >> (8 * n)) as usize % bytes.len();
            bytes[at] = (seed >> (40 + n)) as u8;
        }
        bytes.truncate(bytes.len() - (seed >> 56) as usize % 32);
        if let Ok(read) = ParsedList::parse(&bytes) {
            let places = places();
            let word = read.into_update(indigohold::register::Source::Discovery, &places, Micros(0));
            assert!(word.records.len() + word.unreadable.len() <= 6);
        }
    }
}
