//! 10,000 messages sent again by four couriers beside live traffic, and the live traffic alone, in turns:
//! `cargo test --release --test measure_replay -- --ignored --nocapture`. It prints; it judges only that each went once.

mod support;

use hdrhistogram::Histogram;
use indigohold::control::client::Client;
use indigohold::control::replay::ReplayRequest;
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::crowd::{connect, read_response, request_text, Response};
use support::fleet::{within, Fleet};
use support::*;

const N: usize = 4;
const EACH: usize = 2_500;
/// Live messages a second at each.
const LIVE: u64 = 40;
const AIM_US: u64 = 100_000;

type Ends = Arc<Mutex<HashMap<String, Instant>>>;

/// Takes 3 ms for each call, and counts copies.
fn partner(ends: &Ends) -> (SocketAddr, Arc<Mutex<HashMap<String, usize>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (ends, copies): (_, Arc<Mutex<HashMap<String, usize>>>) = (ends.clone(), Arc::default());
    let all = copies.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().map_while(Result::ok) {
            let (ends, copies) = (ends.clone(), all.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                while let Some(call) = read_http(&mut reader) {
                    let id = call.header("req-id").unwrap().to_owned();
                    ends.lock().unwrap().entry(id.clone()).or_insert_with(Instant::now);
                    *copies.lock().unwrap().entry(id).or_default() += 1;
                    thread::sleep(Duration::from_millis(3));
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    (addr, copies)
}

/// Live messages at a fixed pace until it is over; from the first byte to the partner's, in microseconds.
fn live(addrs: &[SocketAddr], ends: &Ends, round: usize, over: &AtomicBool) -> Histogram<u64> {
    let begun = Mutex::new(Vec::new());
    thread::scope(|s| {
        for (i, addr) in addrs.iter().enumerate() {
            let begun = &begun;
            s.spawn(move || {
                let (mut stream, since) = (connect(*addr), Instant::now());
                for n in 0.. {
                    let at = since + Duration::from_micros(n * 1_000_000 / LIVE);
                    thread::sleep(at.saturating_duration_since(Instant::now()));
                    if over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("live-{round}-{i}-{n}");
                    let now = Instant::now();
                    stream.write_all(request_text(&id).as_bytes()).unwrap();
                    assert_eq!(read_response(&mut stream), Response::Status(202));
                    begun.lock().unwrap().push((id, now));
                }
            });
        }
    });
    let begun = begun.into_inner().unwrap();
    within(20.0, "all live ones are there", || {
        let ends = ends.lock().unwrap();
        begun.iter().all(|(id, _)| ends.contains_key(id))
    });
    let (ends, mut out) = (ends.lock().unwrap(), Histogram::new(3).unwrap());
    begun.iter().for_each(|(id, at)| out.record((ends[id] - *at).as_micros() as u64).unwrap());
    out
}

fn show(what: &str, of: &Histogram<u64>) {
    let ms = |us: u64| us as f64 / 1e3;
    println!(
        "{what}: {} live messages, median {:.2} ms, p99 {:.2} ms, in aim {:.2} %",
        of.len(),
        ms(of.value_at_quantile(0.5)),
        ms(of.value_at_quantile(0.99)),
        of.percentile_below(AIM_US)
    );
}

#[test]
#[ignore = "a measurement"]
fn ten_thousand_beside_live_traffic() {
    let ends: Ends = Arc::default();
    let (partner, copies) = partner(&ends);
    let mut fleet = Fleet::new(N, true, true);
    let line = instance("s-1", partner, 3, "up").replace("50.0", "50000.0");
    fleet.discovery.list.lock().unwrap().1 = line;
    let per_s: f64 = std::env::var("PER_S").ok().and_then(|s| s.parse().ok()).unwrap_or(100.0);
    let file = serde_json::json!({
        "enabled": true, "disk_kb": 16_384, "quorum": 0.6, "fresh_s": 20, "skew_s": 0,
        "replay": {"per_s": per_s, "again_after_s": 60},
        "policies": [{"tenant": "tallowood", "keep_s": 6000, "replay": true, "replays": 1}]
    });
    for i in 0..N {
        let config = &mut fleet.configs[i];
        config["limits"]["disk_mb"] = 64.into();
        config["settings"]["tenants"][0]["quotaPerS"] = 10_000.0.into();
        config["settings"]["familyInfo"]["slots"] = 32.into();
        config["settings"]["limits"]["maxOpen"] = 400_000.into();
        config["settings"]["profiles"][0]["idempotency"] = "side_effect".into();
        fleet.folders[i].write("history.json", &file.to_string());
        fleet.folders[i].write("channel.json", r#"{"socket": "run/control.sock"}"#);
        fleet.start(i);
    }
    let client = |i: usize| Client::new(&fleet.folders[i].0.join("run/control.sock"));
    let doors: Vec<SocketAddr> = fleet.programs.iter().map(|p| p.as_ref().unwrap().1).collect();
    let mut programs: Vec<_> = fleet.programs.iter_mut().map(|p| p.as_mut().unwrap()).collect();
    let addrs: Vec<SocketAddr> = programs.iter_mut().map(|p| p.0.addr("platform")).collect();
    thread::scope(|s| {
        for (i, addr) in addrs.iter().enumerate() {
            s.spawn(move || {
                let mut streams: Vec<_> = (0..4).map(|_| connect(*addr)).collect();
                for n in 0..EACH {
                    let stream = &mut streams[n % 4];
                    loop {
                        stream.write_all(request_text(&format!("c{i}-{n}")).as_bytes()).unwrap();
                        if read_response(stream) == Response::Status(202) {
                            break;
                        }
                        thread::sleep(Duration::from_millis(5));
                    }
                }
            });
        }
    });
    let kept = |i: usize| client(i).retention().unwrap();
    within(120.0, "all is kept and heard", || (0..N).all(|i| kept(i).kept as usize == EACH && kept(i).fresh));
    let alone = |round: usize| {
        let over = AtomicBool::new(false);
        thread::scope(|s| {
            let it = s.spawn(|| live(&addrs, &ends, round, &over));
            thread::sleep(Duration::from_secs(12));
            over.store(true, Ordering::SeqCst);
            it.join().unwrap()
        })
    };
    show("alone, before", &alone(0));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let want = ReplayRequest {
        tenant: "tallowood".into(),
        destination: 3,
        since_ms: now - 3_600_000,
        until_ms: now - 12_000,
        lost: true,
        reason: "measured".into(),
    };
    let (over, since) = (AtomicBool::new(false), Instant::now());
    let beside = thread::scope(|s| {
        let it = s.spawn(|| live(&addrs, &ends, 1, &over));
        let id = client(0).replay_run(&want).unwrap().id;
        let done = || {
            let fleet = client(0).replay_fleet(&id).unwrap();
            (0..N as u64).all(|i| fleet.parts.get(&i).is_some_and(|part| part.state == "done"))
        };
        while !done() && since.elapsed() < Duration::from_secs(90) {
            thread::sleep(Duration::from_millis(100));
        }
        // Danger: what stands still is to be seen, not waited for.
        for i in (0..N).filter(|_| !done()) {
            let its = client(i).retention().unwrap();
            println!("courier {i}: fresh {}, {:?}", its.fresh, client(i).replays().unwrap());
            println!("{}", support::fleet::view(doors[i])["riders"]);
            println!("{}", support::fleet::view(doors[i])["members"]);
        }
        let fleet = client(0).replay_fleet(&id).unwrap();
        println!("{:.1} s: {:?}", since.elapsed().as_secs_f64(), fleet.parts);
        over.store(true, Ordering::SeqCst);
        it.join().unwrap()
    });
    let took = since.elapsed();
    show("beside", &beside);
    show("alone, after", &alone(2));
    let copies = copies.lock().unwrap();
    let went = copies.iter().filter(|(id, n)| id.starts_with('c') && **n > 1).count();
    let twice = copies.values().filter(|n| **n > 2).count();
    println!("{went} of {} went again in {:.1} s, {twice} of them twice", N * EACH, took.as_secs_f64());
    assert_eq!(twice, 0);
}
