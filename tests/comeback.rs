//! Recovery after most couriers of a fleet were killed at once and restarted on their state folders: waits that
//! partners demanded with Retry-After stay in force, and messages that piled up are sent at a limited rate.

mod support;

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

/// The wait that the partner's first answer demands, in the header `X-RateLimit-Wait-Ms`.
const RETRY_AFTER: Duration = Duration::from_millis(6000);

/// What the partner records of the calls that it receives.
#[derive(Default)]
struct PartnerLog {
    /// The time just before it demanded the wait.
    wait_demanded_at: Option<Instant>,
    /// The time of each call.
    calls: Vec<Instant>,
}

/// Starts a partner that answers its first call with 429 and a wait, and all later calls with 200.
fn start_partner(log: &Arc<Mutex<PartnerLog>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let log = log.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let log = log.clone();
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while read_http(&mut reader).is_some() {
                    let mut log = log.lock().unwrap();
                    log.calls.push(Instant::now());
                    let text = match log.calls.len() {
                        1 => "HTTP/1.1 429 Later\r\nX-RateLimit-Wait-Ms: 6000\r\nContent-Length: 0\r\n\r\n",
                        _ => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    };
                    // The clock is read before the write: this thread may be delayed after the write, and a wait that
                    // was observed in full would then seem too short.
                    log.wait_demanded_at.get_or_insert_with(Instant::now);
                    let _ = writer.write_all(text.as_bytes());
                }
            });
        }
    });
    addr
}

/// Four couriers receive a Retry-After; then two of them are killed, one ends after SIGTERM, and one keeps running.
/// Each gets a second message at once. Checks that no courier calls its partner before the end of the wait, and that
/// each delivers both messages afterwards.
#[test]
fn a_retry_after_wait_stays_in_force_across_restarts() {
    let fleet: Vec<_> = (0..4)
        .map(|_| {
            let (mut environment, log) = (environment(256, 64), Arc::<Mutex<PartnerLog>>::default());
            environment
                .set_endpoints(&[instance("s-0", start_partner(&log), 3, "up").replace("50.0", "50000.0")]);
            (environment, log)
        })
        .collect();
    let mut programs: Vec<_> = fleet.iter().map(|(environment, _)| environment.start()).collect();
    for (_, addr) in &programs {
        assert_eq!(submit(&mut connect(*addr), "m0"), Response::Status(202));
    }
    for (n, (_, log)) in fleet.iter().enumerate() {
        until(&format!("the wait of courier {n}"), || log.lock().unwrap().wait_demanded_at.is_some());
    }
    // The answer may still be in a socket buffer. Within this time the courier has received it and stored the wait.
    thread::sleep(Duration::from_millis(200));
    let running = programs.pop().unwrap();
    let (mut ending, _) = programs.remove(0);
    ending.signal("TERM");
    programs.drain(..).for_each(|(program, _)| program.kill());
    let after_kill: Vec<_> = fleet[1..3].iter().map(|(environment, _)| environment.start()).collect();
    assert!(ending.child.wait().unwrap().success());
    let mut recovered = vec![fleet[0].0.start()];
    recovered.extend(after_kill);
    recovered.push(running);
    for (n, (_, addr)) in recovered.iter().enumerate() {
        let demanded_at = fleet[n].1.lock().unwrap().wait_demanded_at.unwrap();
        assert!(demanded_at.elapsed() < RETRY_AFTER, "this machine was too slow: the wait has ended");
        assert_eq!(submit(&mut connect(*addr), "m1"), Response::Status(202));
    }
    for (n, (_, log)) in fleet.iter().enumerate() {
        until(&format!("both deliveries of courier {n}"), || log.lock().unwrap().calls.len() >= 3);
        let log = log.lock().unwrap();
        let delays: Vec<Duration> =
            log.calls[1..].iter().map(|at| *at - log.wait_demanded_at.unwrap()).collect();
        assert!(
            delays.iter().all(|delay| *delay >= RETRY_AFTER),
            "courier {n} called {delays:?} after the partner demanded a wait of 6 s"
        );
    }
}

/// Six couriers send to one partner, and each accepts five messages a second. Five are killed at once, and thirty
/// messages pile up for each at its clients. Guards against a burst: the recovered couriers must send at a rate
/// derived from the demand of their previous run, not everything in the first second. The courier that kept running,
/// and one whose state folder was deleted, have no stored demand and send at once. All messages are delivered.
#[test]
fn recovered_couriers_limit_their_send_rate_by_the_demand_of_the_previous_run() {
    let mut fleet: Vec<Environment> = (0..6).map(|_| environment(256, 64)).collect();
    let partner = fleet[0].endpoint.addr;
    for environment in &mut fleet {
        environment.set_endpoints(&[instance("s-0", partner, 3, "up")]);
        // No endpoint reports a limit.
        environment.config["settings"]["weights"] = "off".into();
        environment.config["settings"]["loadReport"]["names"] = serde_json::json!([]);
    }
    let mut programs: Vec<_> = fleet.iter().map(Environment::start).collect();
    let mut clients: Vec<_> = programs.iter().map(|(_, addr)| connect(*addr)).collect();
    let began = Instant::now();
    for n in 0..20 {
        thread::sleep((began + n * Duration::from_millis(200)).saturating_duration_since(Instant::now()));
        for (courier, client) in clients.iter_mut().enumerate() {
            assert_eq!(submit(client, &format!("a{courier}-{n}")), Response::Status(202));
        }
    }
    let delivered = |prefix: &str| {
        let calls = fleet[0].endpoint.calls.lock().unwrap();
        calls.iter().filter(|call| call.header("req-id").unwrap().starts_with(prefix)).count()
    };
    until("the first deliveries", || delivered("a") == 120);
    thread::sleep(Duration::from_millis(1200));
    programs.drain(1..).for_each(|(program, _)| program.kill());
    std::fs::remove_dir_all(fleet[5].folder.0.join("state")).unwrap();
    let recovered: Vec<_> = fleet[1..].iter().map(Environment::start).collect();
    let addrs: Vec<SocketAddr> = programs.iter().chain(&recovered).map(|(_, addr)| *addr).collect();
    let submitted_at = Instant::now();
    for (courier, addr) in addrs.iter().enumerate() {
        let mut client = connect(*addr);
        for n in 0..30 {
            assert_eq!(submit(&mut client, &format!("b{courier}-{n}")), Response::Status(202));
        }
    }
    let delivered_by = |courier: usize| delivered(&format!("b{courier}-"));
    until("the deliveries of the two couriers without stored demand", || {
        delivered_by(0) == 30 && delivered_by(5) == 30
    });
    until("all deliveries", || delivered("b") == 180);
    // The initial rate is 7.5 messages per second and grows. A busy machine makes the time longer, never shorter.
    let took = submitted_at.elapsed();
    assert!(
        took >= Duration::from_millis(1000),
        "thirty messages of each of four couriers took only {took:?}"
    );
}
