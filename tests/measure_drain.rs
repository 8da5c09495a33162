//! Measurements of drains, not tests of them: left out unless they are asked for.
//!
//!     cargo test --release --test measure_drain -- --ignored --nocapture --test-threads 1

mod support;

use indigohold::control::client::Client;
use indigohold::control::schema::{DrainScope, NewDrain};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A partner of a true capacity: so many calls at a time, each of so long.
fn partner(at_once: usize, each: Duration) -> Endpoint {
    let places = Arc::new((Mutex::new(at_once), Condvar::new()));
    endpoint(move |_, _| {
        let (free, freed) = &*places;
        let mut left = freed.wait_while(free.lock().unwrap(), |n| *n == 0).unwrap();
        *left -= 1;
        drop(left);
        thread::sleep(each);
        *free.lock().unwrap() += 1;
        freed.notify_one();
        Act::Answer(OK)
    })
}

fn start(endpoints: &[(&Endpoint, u16)], max_open: u32) -> (Folder, Discovery, Program, SocketAddr) {
    let entries: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, (e, d))| instance(&format!("s-{n}"), e.addr, *d, "up"))
        .collect();
    let discovery = discovery(&entries);
    let folder = Folder::new();
    folder.write("channel.json", r#"{"socket": "control.sock"}"#);
    let mut settings = settings(20_000);
    settings["limits"]["maxOpen"] = max_open.into();
    settings["familyInfo"]["slots"] = 16.into();
    let config = serde_json::json!({
        "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 512, "disk_mb": 16},
        "settings": settings
    });
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    (folder, discovery, program, addr)
}

fn hand_in(addr: SocketAddr, id: &str, class: &str, dest: u16) -> u16 {
    let deadline = if class == "print-order" { 20_000 } else { 5_000 };
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: {deadline}\r\nIdempotency-Key: k-{id}\r\nX-Addressing: dest={dest}\r\nContent-Length: 1\r\n\r\nx"
    );
    ask(addr, text.as_bytes()).status()
}

/// Arrivals at 120 % of a partner's capacity for ten seconds, then a drain of the whole: how long it takes against the
/// backlog over the capacity, whether the reported count is the real one, and that every message has one end.
#[test]
#[ignore = "a measurement"]
fn under_full_load() {
    // 2 at a time of 40 ms: 50 a second, which is the rate that the list tells for it too.
    let (slow, capacity) = (partner(2, Duration::from_millis(40)), 50.0);
    let (folder, discovery, _program, addr) = start(&[(&slow, 3)], 2_000);
    let mut client = Client::new(&folder.0.join("control.sock"));
    until("known", || hand_in(addr, "first", "print-order", 3) == 202);
    let taken = Arc::new(Mutex::new(vec!["first".to_owned()]));
    let (stop, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let begun = Instant::now();
    let loads: Vec<_> = (0..4)
        .map(|_| {
            let (taken, stop, next) = (taken.clone(), stop.clone(), next.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    let due = Duration::from_secs_f64(n as f64 / (1.2 * capacity));
                    thread::sleep(due.saturating_sub(begun.elapsed()));
                    let id = format!("m{n}");
                    if hand_in(addr, &id, "print-order", 3) == 202 {
                        taken.lock().unwrap().push(id);
                    }
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(10));
    let drain = client.start(&NewDrain { within_ms: Some(60_000), ..NewDrain::default() }).unwrap();
    let started = Instant::now();
    println!(
        "backlog {} at its start; ideal {:.2} s at {capacity} calls a second",
        drain.at_start,
        drain.at_start as f64 / capacity
    );
    println!("  t s  reported  real  estimate s (low to high)");
    let (mut worst, mut shown) = (0i64, Instant::now() - Duration::from_secs(1));
    let emptied = loop {
        let real = |taken: &[String]| {
            let calls = slow.calls.lock().unwrap();
            let called: HashSet<&str> = calls.iter().filter_map(|c| c.header("req-id")).collect();
            taken.iter().filter(|id| !called.contains(id.as_str())).count() as i64
        };
        // A call counts as an end at the partner when it comes in, at the courier when it is answered: 2 are between.
        let before = real(&taken.lock().unwrap());
        let seen = client.drain(drain.id).unwrap();
        let after = real(&taken.lock().unwrap());
        let out = *seen.left.get("out").unwrap() as i64;
        let reported = seen.total() as i64;
        let off =
            (after.min(before) - (reported - out)).abs().min((before.max(after) - (reported - out)).abs());
        worst = worst.max(off);
        if shown.elapsed() > Duration::from_millis(200) {
            shown = Instant::now();
            let estimate = seen.estimate_s.map_or("none yet".to_owned(), |(l, a, b)| {
                format!("{l:.2} ({a:.2} to {})", b.map_or("?".into(), |b| format!("{b:.2}")))
            });
            println!("{:5.2}  {reported:8}  {:4}  {estimate}", started.elapsed().as_secs_f64(), before + out);
        }
        if seen.total() == 0 {
            break started.elapsed();
        }
        thread::sleep(Duration::from_millis(20));
    };
    stop.store(true, Ordering::SeqCst);
    loads.into_iter().for_each(|l| l.join().unwrap());
    let taken = taken.lock().unwrap();
    let mut counts: HashMap<String, usize> = HashMap::new();
    for call in slow.calls.lock().unwrap().iter() {
        *counts.entry(call.header("req-id").unwrap().to_owned()).or_default() += 1;
    }
    let noticed = discovery.notices.lock().unwrap().len();
    let never =
        taken.iter().filter(|id| !counts.contains_key(*id) && discovery.noticed(id).is_none()).count();
    println!("emptied after {:.2} s; {} taken, {} sent, {noticed} notices, {never} without an end, {} sent more than once; count off by {worst} at worst",
        emptied.as_secs_f64(), taken.len(), counts.len(), counts.values().filter(|n| **n > 1).count());
    // Order: how far what was sent is from arrival order.
    let order: Vec<usize> =
        slow.calls.lock().unwrap().iter().filter_map(|c| c.header("req-id")?[1..].parse().ok()).collect();
    let behind = order.windows(2).filter(|w| w[1] < w[0]).count();
    println!("of {} calls {behind} went before one that had arrived earlier", order.len());
}

/// What a drain of one destination costs another: time from hand-in to call, before and during.
#[test]
#[ignore = "a measurement"]
fn a_partial_drain_beside_others() {
    let (slow, other) = (partner(4, Duration::from_millis(40)), partner(64, Duration::from_millis(5)));
    let (folder, _discovery, _program, addr) = start(&[(&slow, 3), (&other, 4)], 2_000);
    let mut client = Client::new(&folder.0.join("control.sock"));
    until("known", || hand_in(addr, "first", "print-order", 3) == 202);
    let phase = |name: &str| {
        let mut times = Vec::new();
        for n in 0..400 {
            let id = format!("{name}{n}");
            let begun = Instant::now();
            assert_eq!(hand_in(addr, &id, "render-status", 4), 202);
            let end = Instant::now() + LONG;
            while !other.calls.lock().unwrap().iter().rev().take(8).any(|c| c.header("req-id") == Some(&id)) {
                assert!(Instant::now() < end);
                thread::sleep(Duration::from_micros(100));
            }
            times.push(begun.elapsed().as_secs_f64() * 1e3);
            thread::sleep(Duration::from_millis(5));
        }
        times.sort_by(f64::total_cmp);
        println!("{name}: median {:.2} ms, 99th percentile {:.2} ms", times[200], times[396]);
    };
    for n in 0..400 {
        hand_in(addr, &format!("b{n}"), "print-order", 3);
    }
    phase("before");
    for n in 0..400 {
        hand_in(addr, &format!("c{n}"), "print-order", 3);
    }
    let scope = DrainScope { dest: Some(3), ..DrainScope::default() };
    client.start(&NewDrain { scope, within_ms: Some(60_000), ..NewDrain::default() }).unwrap();
    phase("during");
}

/// Memory and processor time of the watch command over ten seconds.
#[test]
#[ignore = "a measurement"]
fn the_cost_of_watching() {
    let silent = endpoint(|_, _| Act::Hang);
    let (folder, _discovery, program, addr) = start(&[(&silent, 3)], 2_000);
    until("known", || hand_in(addr, "first", "print-order", 3) == 202);
    for n in 0..300 {
        hand_in(addr, &format!("m{n}"), "print-order", 3);
    }
    let mut client = Client::new(&folder.0.join("control.sock"));
    client.start(&NewDrain { within_ms: Some(60_000), ..NewDrain::default() }).unwrap();
    let ticks = |pid: u32| -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    };
    let cost = |pid: u32| {
        let before = ticks(pid);
        thread::sleep(Duration::from_secs(10));
        ticks(pid) - before
    };
    let alone = cost(program.child.id());
    let mut watch = Command::new(env!("CARGO_BIN_EXE_indigohold"))
        .args(["drain", "watch", "--every-ms", "500", "--socket"])
        .arg(folder.0.join("control.sock"))
        .stdout(Stdio::null())
        .spawn()
        .unwrap();
    let watched = cost(program.child.id());
    let own = ticks(watch.id());
    let status = std::fs::read_to_string(format!("/proc/{}/status", watch.id())).unwrap();
    let rss = status.lines().find(|l| l.starts_with("VmRSS")).unwrap().to_owned();
    watch.kill().unwrap();
    watch.wait().unwrap();
    println!(
        "courier, 10 ms ticks in 10 s: {alone} alone, {watched} watched; watch itself {own} ticks, {rss}"
    );
}
