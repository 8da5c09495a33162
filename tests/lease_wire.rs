//! A limit that four processes share, counted at the partner: while links are spoilt, while the fleet is cut in two and demand moves to
//! the other half, when it is healed, and when a holder was stopped for longer than its loans last.

mod support;

use indigohold_relay::Faults;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::fleet::*;
use support::*;

/// Calls a second that the partner takes from all together, by the list.
const LIMIT: usize = 100;
/// Counted over so long.
const SPAN: Duration = Duration::from_secs(2);
/// Four own four of five parts; nobody lends what the empty place owns. A tenth more is not the couriers' but this machine's, which
/// delivers late what was sent in time.
const OWNED: usize = 2 * LIMIT * 4 / 5;
const MOST: usize = OWNED + OWNED / 10;
const SOON: f64 = 20.0;

/// When each call came.
type Calls = Arc<Mutex<Vec<Instant>>>;

/// The most that came within any [`SPAN`] that began since then.
fn most_since(calls: &Calls, since: Instant) -> usize {
    let calls = calls.lock().unwrap();
    let first = calls.partition_point(|at| *at < since);
    let mut begin = first;
    (first..calls.len())
        .map(|end| {
            while calls[end] - calls[begin] > SPAN {
                begin += 1;
            }
            end + 1 - begin
        })
        .max()
        .unwrap_or(0)
}

fn lately(calls: &Calls) -> usize {
    let calls = calls.lock().unwrap();
    calls.iter().rev().take_while(|at| at.elapsed() < SPAN).count()
}

/// Clients of one courier: so many messages a second, whatever becomes of them, until it is dropped.
struct Feeder {
    per_s: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl Feeder {
    fn new(addr: SocketAddr, name: usize) -> Feeder {
        let (per_s, stop) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicBool::new(false)));
        let (rate, end) = (per_s.clone(), stop.clone());
        thread::spawn(move || {
            let (mut n, mut session) = (0u64, None);
            while !end.load(Ordering::SeqCst) {
                let rate = rate.load(Ordering::SeqCst);
                thread::sleep(Duration::from_millis(1_000_u64.checked_div(rate).unwrap_or(20)));
                if rate == 0 {
                    continue;
                }
                n += 1;
                // A courier that is stopped answers nobody: its client leaves, and comes again.
                let done = session.take().or_else(|| TcpStream::connect(addr).ok()).and_then(|mut stream| {
                    stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
                    stream.write_all(crowd::request_text(&format!("f{name}-{n}")).as_bytes()).ok()?;
                    let mut buf = [0; 512];
                    (stream.read(&mut buf).ok()? > 0).then_some(stream)
                });
                session = done;
            }
        });
        Feeder { per_s, stop }
    }

    fn rate(&self, per_s: u64) {
        self.per_s.store(per_s, Ordering::SeqCst);
    }
}

impl Drop for Feeder {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Guards against loans that arrive nowhere (use stays at the safe shares), and against parts of a limit that are in force twice.
#[test]
fn a_limit_holds_at_the_partner_through_a_cut_and_a_stopped_holder() {
    let calls = Calls::default();
    let seen = calls.clone();
    let mut fleet = Fleet::with(4, true, true, &format!("{LIMIT}.0"), move |_, _| {
        seen.lock().unwrap().push(Instant::now());
        Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
    });
    fleet
        .mesh
        .all(Faults { lost: 0.1, doubled: 0.1, swapped: 0.1, late: 0.3, late_us: (0, 60_000) })
        .unwrap();
    fleet.gather(SOON);
    let feeders: Vec<Feeder> = (0..4).map(|i| Feeder::new(fleet.listening(i), i)).collect();
    // Of five parts (one place is empty) the first two own 40 a second; half as much again comes to each of them alone.
    let began = Instant::now();
    feeders[0].rate(150);
    feeders[1].rate(150);
    within(SOON, "use of what the others own and do not want", || lately(&calls) >= 2 * LIMIT * 55 / 100);
    // Cut, and demand moves to the half that has lent. What was lent may come back only when it has surely lapsed.
    fleet.spoil(&[0, 1, 4], &[2, 3], Faults { lost: 1.0, ..Faults::default() });
    fleet.spoil(&[2, 3], &[0, 1, 4], Faults { lost: 1.0, ..Faults::default() });
    feeders[2].rate(150);
    feeders[3].rate(150);
    within(SOON, "each half alone", || {
        fleet.all_say(&[0, 1], &[2, 3], "away") && fleet.all_say(&[2, 3], &[0, 1], "away")
    });
    thread::sleep(SPAN);
    assert!(lately(&calls) >= 2 * LIMIT * 55 / 100, "each keeps its safe share: {}", lately(&calls));
    // Healed: two of them want nothing any more.
    fleet.heal();
    feeders[1].rate(0);
    feeders[3].rate(0);
    within(SOON, "full use of four parts", || lately(&calls) >= 2 * LIMIT * 55 / 100);
    // A holder is stopped for longer than its loans last, and goes on: what it held is others' by then.
    fleet.signal(0, "STOP");
    feeders[1].rate(150);
    within(SOON, "stopped", || fleet.all_say(&[1, 2, 3], &[0], "away"));
    thread::sleep(SPAN);
    fleet.signal(0, "CONT");
    within(SOON, "back", || fleet.all_say(&[0, 1, 2, 3], &[0, 1, 2, 3], "here"));
    thread::sleep(SPAN);
    let most = most_since(&calls, began);
    println!("{} calls, {most} in {SPAN:?} at most, four parts are {OWNED}", calls.lock().unwrap().len());
    assert!(most <= MOST, "{most} calls within {SPAN:?}, four parts are {OWNED}");
}
