//! Endpoints whose names, addresses and destinations change places while messages for two destinations are sent: nothing goes to a
//! process that was not listed for its destination shortly before.
//!
//! `ADDRESS_REUSE_SEED` and `ADDRESS_REUSE_SECONDS` play another run.

mod support;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::partner::hand_in_at;
use support::*;

const DESTINATIONS: [u16; 2] = [3, 5];
const PROCESSES: usize = 4;
const NAMES: u32 = 5;
/// A call may begin so long after the list that no longer has it was told.
const TOLD_SLACK: Duration = Duration::from_millis(700);
const TIME_BETWEEN_LISTS: Duration = Duration::from_millis(900);
const DEFAULT_SEED: u64 = 61;
const DEFAULT_SECONDS: u64 = 10;

fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().unwrap())
}

/// One call as an endpoint's process saw it.
struct Call {
    at: Instant,
    process: usize,
    destination: u16,
    id: String,
}

/// Which process serves which destination under which name.
type Listing = BTreeMap<u32, (usize, u16)>;

/// Starts a process that answers each call, some of them late.
fn start_process(process: usize, calls: &Arc<Mutex<Vec<Call>>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let calls = calls.clone();
    thread::spawn(move || {
        for (number, stream) in listener.incoming().map_while(Result::ok).enumerate() {
            let calls = calls.clone();
            thread::spawn(move || {
                let at = Instant::now();
                let mut writer = stream.try_clone().unwrap();
                let Some(call) = read_http(&mut BufReader::new(stream)) else { return };
                let id = call.header("req-id").unwrap().to_owned();
                let destination = id.split('-').next().unwrap().parse().unwrap();
                calls.lock().unwrap().push(Call { at, process, destination, id });
                thread::sleep(Duration::from_millis(if number % 10 == 0 { 300 } else { 5 }));
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            });
        }
    });
    addr
}

/// Random names for all processes, with each destination served by at least one.
fn random_listing(random: &mut Pcg64Mcg) -> Listing {
    loop {
        let mut listing = Listing::new();
        for process in 0..PROCESSES {
            let destination = DESTINATIONS[(random.next_u32() % 2) as usize];
            // A process that is given another's name is listed by the later one alone.
            listing.insert(random.next_u32() % NAMES, (process, destination));
        }
        if DESTINATIONS.iter().all(|destination| listing.values().any(|(_, d)| d == destination)) {
            return listing;
        }
    }
}

fn entries(listing: &Listing, addrs: &[SocketAddr]) -> String {
    let entry = |(name, (process, destination)): (&u32, &(usize, u16))| {
        instance(&format!("s-{name}"), addrs[*process], *destination, "up")
    };
    listing.iter().map(entry).collect::<Vec<_>>().join(",")
}

/// Guards against picture (d) of issue 61: an endpoint that was listed again under its name for another destination went on
/// getting messages of the one before, and a call that was ordered before its endpoint's address changed went to the old one.
#[test]
fn a_process_at_a_reused_address_or_name_gets_only_its_own_destinations_messages() {
    let seed = setting("ADDRESS_REUSE_SEED", DEFAULT_SEED);
    let seconds = setting("ADDRESS_REUSE_SECONDS", DEFAULT_SECONDS);
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let calls = Arc::<Mutex<Vec<Call>>>::default();
    let addrs: Vec<SocketAddr> = (0..PROCESSES).map(|process| start_process(process, &calls)).collect();
    let first = random_listing(&mut random);
    let discovery = discovery(&[entries(&first, &addrs)]);
    let mut listings = vec![(Instant::now(), first)];
    let folder = Folder::new();
    let mut settings = settings(20_000);
    settings["tenants"][0]["quotaPerS"] = 10_000.0.into();
    let port = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let config = json!({
        "listen": port.to_string(), "discovery": discovery.addr.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 3}, "settings": settings
    });
    let mut program = Program::start(&folder.0, &config, None);
    until("the first list", || hand_in_at(port, "3-first", "print-order", 3) == 202);
    let stop = Arc::new(AtomicBool::new(false));
    let clients = DESTINATIONS.map(|destination| {
        let stop = stop.clone();
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                submit_if_served(port, &format!("{destination}-{number}"), destination);
                thread::sleep(Duration::from_millis(10));
            }
        })
    });
    let rounds = seconds * 1000 / TIME_BETWEEN_LISTS.as_millis() as u64;
    for round in 0..rounds {
        let listing = random_listing(&mut random);
        *discovery.list.lock().unwrap() = (8 + round, entries(&listing, &addrs));
        listings.push((Instant::now(), listing));
        if round == rounds / 2 {
            thread::sleep(TIME_BETWEEN_LISTS / 4);
            program.kill();
            program = Program::start(&folder.0, &config, None);
        }
        thread::sleep(TIME_BETWEEN_LISTS);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    drop(program);
    let calls = calls.lock().unwrap();
    let wrong: Vec<String> = calls.iter().filter(|call| !was_listed(call, &listings)).map(describe).collect();
    println!(
        "seed {seed}: {} lists, {} calls, {} to the wrong process",
        listings.len(),
        calls.len(),
        wrong.len()
    );
    assert!(calls.len() as u64 > 20 * seconds, "seed {seed}: only {} calls", calls.len());
    assert!(wrong.is_empty(), "seed {seed}: {wrong:?}");
}

fn describe(call: &Call) -> String {
    format!("{} at process {}", call.id, call.process)
}

/// Whether some list that held within the slack before the call had the process under the call's destination.
fn was_listed(call: &Call, listings: &[(Instant, Listing)]) -> bool {
    listings.iter().enumerate().any(|(index, (told_at, listing))| {
        let replaced_at = listings.get(index + 1).map(|next| next.0);
        let held = *told_at <= call.at && replaced_at.is_none_or(|at| at + TOLD_SLACK >= call.at);
        held && listing.values().any(|entry| *entry == (call.process, call.destination))
    })
}

/// Hands a message in, if the courier is there; while it starts again it is not.
fn submit_if_served(addr: SocketAddr, id: &str, destination: u16) {
    let text = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: print-order\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: 19000\r\nIdempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: 1\r\n\r\nx"
    );
    let Ok(mut stream) = std::net::TcpStream::connect(addr) else { return };
    if stream.write_all(text.as_bytes()).is_ok() {
        // Whether it was taken on does not matter here.
        let _ = read_http(&mut BufReader::new(stream));
    }
}
