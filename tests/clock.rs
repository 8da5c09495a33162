//! The courier's clock across process runs: the wall clock is stepped between two runs, by seconds and by an hour, forward and
//! back, and deadlines and deduplication windows keep their durations. Leases, waits, drains and slow starts use the same clock.

mod support;

use indigohold::clock::anchor::{resume, Anchor, ClockReading};
use indigohold::store::{Journal, PositionNames, Req};
use indigohold::Micros;
use std::path::Path;
use std::sync::Arc;
use support::crowd::*;
use support::*;

/// One second, in microseconds.
const S: u64 = 1_000_000;
/// Steps of the wall clock, in seconds.
const STEPS_S: [i64; 4] = [-3_600, -5, 5, 3_600];

fn shifted(at: Micros, seconds: i64) -> Micros {
    Micros(at.0.checked_add_signed(seconds * S as i64).unwrap())
}

fn reading(boot: &str, monotonic_s: u64, wall_s: u64) -> ClockReading {
    ClockReading { boot: boot.into(), monotonic: Micros(monotonic_s * S), wall: Micros(wall_s * S) }
}

fn anchor(boot: &str, monotonic_s: u64, time_s: u64) -> Anchor {
    Anchor { boot: boot.into(), monotonic: Micros(monotonic_s * S), time: Micros(time_s * S) }
}

#[test]
fn wall_clock_step_between_process_runs_has_no_effect() {
    let first = anchor("b", 100, 50_000);
    for step in STEPS_S {
        for downtime_s in [0, 1, 30, 90_000] {
            let mut now = reading("b", 100 + downtime_s, 50_000 + downtime_s);
            now.wall = shifted(now.wall, step);
            assert_eq!(
                resume(Some(&first), &now),
                (Micros((50_000 + downtime_s) * S), true),
                "{step} {downtime_s}"
            );
            // Steps of this size also have no effect if the boot id is unknown.
            now.boot = String::new();
            assert_eq!(
                resume(Some(&first), &now),
                (Micros((50_000 + downtime_s) * S), true),
                "{step} {downtime_s}"
            );
        }
    }
}

#[test]
fn after_reboot_wall_clock_applies_but_time_never_goes_back() {
    let first = anchor("b", 100, 50_000);
    assert_eq!(resume(Some(&first), &reading("c", 4_000, 60_000)), (Micros(60_000 * S), false));
    assert_eq!(
        resume(Some(&first), &reading("b", 99, 60_000)),
        (Micros(60_000 * S), false),
        "the monotonic clock restarted"
    );
    assert_eq!(
        resume(Some(&first), &reading("c", 4_000, 49_000)),
        (Micros(50_000 * S), false),
        "the wall clock was set back"
    );
    let days_later = reading("", 200, 50_000 + 3 * 86_400);
    assert_eq!(
        resume(Some(&first), &days_later),
        (days_later.wall, false),
        "unknown boot id, large deviation"
    );
    assert_eq!(resume(None, &reading("b", 7, 60_000)), (Micros(60_000 * S), false));
}

#[test]
fn anchor_is_kept_and_damaged_anchor_is_ignored() {
    let folder = Folder::new();
    let dir = &folder.0.join("state");
    let (first, mut pending) = indigohold::clock::anchor::start(dir);
    pending.write().unwrap();
    let written = std::fs::read(dir.join("clock")).unwrap();
    let (second, mut already_written) = indigohold::clock::anchor::start(dir);
    already_written.write().unwrap();
    assert_eq!(
        std::fs::read(dir.join("clock")).unwrap(),
        written,
        "all process runs of a boot use one anchor"
    );
    let (a, b) = (first.now(), second.now());
    assert!(b >= a && b - a < Micros(S), "{a:?} {b:?}");
    for cut in 0..written.len() {
        std::fs::write(dir.join("clock"), &written[..cut]).unwrap();
        let (clock, mut pending) = indigohold::clock::anchor::start(dir);
        assert!(clock.now() >= a, "cut at {cut}");
        pending.write().unwrap();
        assert_eq!(std::fs::read(dir.join("clock")).unwrap().len(), written.len(), "cut at {cut}");
    }
}

/// Writes the anchor of an earlier process run that started while the wall clock was off by `step` seconds. Returns the current
/// time of the courier's clock by this anchor.
fn write_earlier_anchor(dir: &Path, step: i64) -> Micros {
    let now = ClockReading::now();
    let time = shifted(now.wall, step);
    Anchor { boot: now.boot, monotonic: now.monotonic, time }.write(dir).unwrap();
    time
}

fn req(id: &str, due: Micros) -> Arc<Req> {
    Arc::new(Req {
        id: id.into(),
        front: 0,
        dest: 3,
        class: 0,
        tenant: 0,
        due,
        head: format!("k-{id}"),
        body: b"x"[..].into(),
        keep_id_until: Micros(0),
    })
}

/// The names that the program gives the first class and tenant of [`environment`].
fn position_names() -> PositionNames {
    PositionNames {
        classes: vec!["platform:print-order".to_owned()],
        tenants: vec!["tallowood".to_owned()],
        unlisted_class: 1,
    }
}

/// Guards against a process that counts a step of the wall clock as elapsed time: deadlines and deduplication windows from the
/// earlier run would end too early or too late.
#[test]
fn stored_deadlines_and_windows_survive_a_wall_clock_step() {
    for step in STEPS_S {
        let site = environment(256, 64);
        let dir = site.folder.0.join("state");
        let now = write_earlier_anchor(&dir, step);
        let mut journal = Journal::open(&dir, 3_000_000, now).unwrap();
        journal.set_position_names(position_names());
        let window = Micros(8 * S);
        let accepted = [
            (1, req("has-time", now + Micros(15 * S))),
            (2, req("out-of-time", now - Micros(S / 100))),
            (3, req("in-window", now + Micros(15 * S))),
            (4, req("past-window", now + Micros(15 * S))),
        ];
        assert_eq!(journal.accept(&accepted).unwrap(), 4);
        journal.start_attempt(3, now - Micros(S / 2), "s-0", None).unwrap();
        journal.start_attempt(4, now - window - Micros(S), "s-0", None).unwrap();
        drop(journal);
        let (_program, _) = site.start();
        until("the deliveries", || site.delivered().len() >= 2);
        let ended = |id: &str| site.discovery.noticed(id).is_some();
        until("the ends", || ended("out-of-time") && ended("past-window"));
        let delivered: Vec<String> = site.delivered().into_keys().collect();
        assert_eq!(delivered, ["has-time", "in-window"], "step of {step} s");
    }
}
