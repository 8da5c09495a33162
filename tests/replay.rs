//! Replays of ended messages with the running program: orders are planned, run, given twice and stopped, the program is killed at
//! many moments, and live traffic runs meanwhile. The endpoint counts the copies of each message.

mod support;

use indigohold::control::client::Client;
use indigohold::control::replay::{ReplayRequest, ReplayRun};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::crowd::{connect, environment, read_response, request_text, Environment, Response};
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// One courier with a history and the control channel, and an endpoint that acts as given.
fn replay_environment(per_s: u32, act: impl Fn(&str, usize) -> Act + Send + Sync + 'static) -> Environment {
    let mut site = environment(256, 64);
    site.endpoint = endpoint(act);
    let record = instance("s-0", site.endpoint.addr, 3, "up").replace("50.0", "50000.0");
    site.set_endpoints(&[record]);
    let history = serde_json::json!({
        "enabled": true, "disk_kb": 4096, "replay": {"per_s": per_s, "again_after_s": 60},
        "policies": [{"tenant": "tallowood", "keep_s": 6000, "replay": true, "replays": 2}]
    });
    site.folder.write("history.json", &history.to_string());
    site.folder.write("channel.json", r#"{"socket": "run/control.sock"}"#);
    site
}

fn client(site: &Environment) -> Client {
    Client::new(&site.folder.0.join("run/control.sock"))
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn replay_request(reason: &str, lost: bool) -> ReplayRequest {
    let (tenant, reason) = ("tallowood".to_owned(), reason.to_owned());
    ReplayRequest { tenant, destination: 3, since_ms: 0, until_ms: now_ms() + 1, lost, reason }
}

/// Submits messages with these ids over one connection. Returns their number.
fn submit(addr: SocketAddr, ids: impl Iterator<Item = String>) -> usize {
    let (mut stream, mut count) = (connect(addr), 0);
    for id in ids {
        stream.write_all(request_text(&id).as_bytes()).unwrap();
        assert_eq!(read_response(&mut stream), Response::Status(202));
        count += 1;
    }
    count
}

fn wait_until_kept(site: &Environment, count: usize) {
    until("all messages have ended and are kept", || {
        client(site).retention().unwrap().kept as usize >= count
    });
}

fn wait_until_finished(site: &Environment, id: &str) -> ReplayRun {
    let mut last = None;
    until("the order has finished", || {
        last = client(site).replays().unwrap().into_iter().find(|r| r.id == id);
        last.as_ref().is_some_and(|r| r.state == "done" || r.state == "stopped")
    });
    last.unwrap()
}

#[test]
fn an_order_sends_each_message_once_with_its_key_however_often_it_is_given() {
    let site = replay_environment(500, |_, _| Act::Answer(OK));
    let (mut program, addr) = site.start();
    submit(addr, (0..20).map(|n| format!("m{n}")));
    wait_until_kept(&site, 20);
    let order = replay_request("ticket 7", false);
    let plan = client(&site).replay_plan(&order).unwrap();
    assert_eq!((plan.may, plan.not.len(), plan.missing.len()), (20, 0, 0));
    assert_eq!(site.delivered().values().sum::<usize>(), 20, "a plan sends nothing");
    // Two operators give the same order at the same time.
    let runs: Vec<ReplayRun> = thread::scope(|s| {
        let run_order = || client(&site).replay_run(&order).unwrap();
        let threads: Vec<_> = (0..2).map(|_| s.spawn(run_order)).collect();
        threads.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert_eq!(runs[0].id, runs[1].id);
    assert_eq!(runs[0].id, plan.id);
    let run = wait_until_finished(&site, &plan.id);
    assert_eq!((run.taken, run.refused, run.passed, run.left), (20, 0, 0, 0), "{run:?}");
    assert!(site.delivered().values().all(|copies| *copies == 2));
    let mut keys: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for call in site.endpoint.calls.lock().unwrap().iter() {
        let key = call.header("idempotency-key").unwrap().to_owned();
        keys.entry(call.header("req-id").unwrap().to_owned()).or_default().insert(key);
    }
    assert!(keys.values().all(|keys| keys.len() == 1), "a replay must send the key of the first call");
    // The order is given again in this process run and in the next one, which knows from the history what was sent. Another order
    // soon after it sends nothing either.
    for _ in 0..2 {
        let again = client(&site).replay_run(&order).unwrap();
        assert_eq!((again.left, wait_until_finished(&site, &plan.id).taken), (0, 20));
        assert_eq!(client(&site).replay_plan(&order).unwrap().not["Done"], 20);
        assert_eq!(client(&site).replay_plan(&replay_request("ticket 8", true)).unwrap().not["JustSent"], 20);
        program.kill();
        program = site.start().0;
    }
    let socket = site.folder.0.join("run/control.sock");
    let out = Command::new(env!("CARGO_BIN_EXE_indigohold"))
        .args([
            "replay",
            "plan",
            "--tenant",
            "tallowood",
            "--destination",
            "3",
            "--since",
            "2020-01-01T00:00:00Z",
        ])
        .args(["--until", "2199-01-01T00:00:00Z", "--reason", "ticket 9", "--socket"])
        .arg(socket)
        .output()
        .unwrap();
    let text = String::from_utf8(out.stdout).unwrap();
    assert!(out.status.success() && text.contains("20 may not: JustSent"), "{text}");
    assert!(site.delivered().values().all(|copies| *copies == 2));
    drop(program);
}

/// Messages whose repeat takes effect must not be sent twice by one order. The program is killed at many moments between the claim,
/// the send and the end of a message.
#[test]
fn an_order_sends_no_message_twice_when_killed_at_many_moments() {
    let mut site = replay_environment(400, |_, nth| {
        thread::sleep(Duration::from_millis(if nth > 1 { 12 } else { 0 }));
        Act::Answer(OK)
    });
    site.config["settings"]["profiles"][0]["idempotency"] = "side_effect".into();
    let (mut program, addr) = site.start();
    submit(addr, (0..120).map(|n| format!("m{n}")));
    wait_until_kept(&site, 120);
    let order = replay_request("all lost", true);
    assert_eq!(
        client(&site).replay_plan(&replay_request("all lost", false)).unwrap().not["TakesEffect"],
        120
    );
    let (mut kills, mut id) = (0, String::new());
    for kill in 0..8_u64 {
        id = client(&site).replay_run(&order).unwrap().id;
        thread::sleep(Duration::from_micros(30_000 + kill * 3_301));
        program.kill();
        kills += 1;
        program = site.start().0;
    }
    client(&site).replay_run(&order).unwrap();
    wait_until_finished(&site, &id);
    let delivered = site.delivered();
    assert!(
        delivered.values().all(|copies| *copies <= 2),
        "at most one copy from the client's submission and one from the order"
    );
    let plan = client(&site).replay_plan(&order).unwrap();
    let in_doubt = plan.not.get("MayHaveRun").copied().unwrap_or(0);
    let resent = delivered.values().filter(|copies| **copies == 2).count() as u64;
    println!(
        "{kills} kills: {} done, {in_doubt} in doubt, {resent} of 120 reached the partner again",
        plan.not["Done"]
    );
    assert_eq!(plan.not["Done"] + in_doubt, 120);
    assert!(resent >= plan.not["Done"] && resent <= 120 && in_doubt > 0);
}

#[test]
fn a_keyed_message_in_doubt_is_sent_again_only_within_its_repeat_window() {
    let hanging = Arc::new(AtomicBool::new(true));
    let endpoint_hangs = hanging.clone();
    let mut site =
        replay_environment(400, move |_, nth| match nth > 1 && endpoint_hangs.load(Ordering::SeqCst) {
            true => Act::Hang,
            false => Act::Answer(OK),
        });
    site.config["settings"]["profiles"][0]["repeatWindow"] = 6_000_000.into();
    let (program, addr) = site.start();
    submit(addr, (0..2).map(|n| format!("m{n}")));
    wait_until_kept(&site, 2);
    let order = replay_request("hung", false);
    let id = client(&site).replay_run(&order).unwrap().id;
    until("calls for both messages are in flight again", || {
        site.delivered().values().all(|copies| *copies == 2)
    });
    let claimed = Instant::now();
    program.kill();
    hanging.store(false, Ordering::SeqCst);
    let (program, _) = site.start();
    client(&site).replay_run(&order).unwrap();
    let run = wait_until_finished(&site, &id);
    // On a machine that needs longer than the window up to here, nothing is sent again, which is correct too.
    let plan = client(&site).replay_plan(&order).unwrap();
    if run.taken > 0 {
        assert_eq!(
            (run.taken, plan.not["Done"]),
            (2, 2),
            "the endpoints remember the key and ignore the repeat"
        );
    }
    until("the repeat window has ended", || claimed.elapsed() > Duration::from_secs(7));
    let plan = client(&site).replay_plan(&replay_request("later", false)).unwrap();
    assert_eq!(plan.not["JustSent"], 2);
    drop(program);
}

#[test]
fn a_replay_runs_after_live_traffic_and_can_be_stopped() {
    let site = replay_environment(2_000, |id, _| {
        thread::sleep(Duration::from_millis(if id.starts_with("live") { 4 } else { 15 }));
        Act::Answer(OK)
    });
    let (_program, addr) = site.start();
    submit(addr, (0..200).map(|n| format!("m{n}")));
    wait_until_kept(&site, 200);
    let live_latencies = |name: &str| {
        let latencies = Arc::new(Mutex::new(Vec::new()));
        thread::scope(|s| {
            for client in 0..4 {
                let (latencies, site) = (latencies.clone(), &site);
                let name = format!("live-{name}-{client}");
                s.spawn(move || {
                    for n in 0..25 {
                        let (id, submitted) = (format!("{name}-{n}"), Instant::now());
                        submit(addr, [id.clone()].into_iter());
                        until("the live message is delivered", || site.endpoint.count(&id) == 1);
                        latencies.lock().unwrap().push(submitted.elapsed());
                    }
                });
            }
        });
        let mut latencies = Arc::into_inner(latencies).unwrap().into_inner().unwrap();
        latencies.sort();
        (latencies[50], latencies[95])
    };
    let alone = live_latencies("alone");
    let order = replay_request("behind", false);
    let id = client(&site).replay_run(&order).unwrap().id;
    let during_replay = live_latencies("beside");
    let run = client(&site).replays().unwrap().into_iter().find(|r| r.id == id).unwrap();
    println!(
        "live alone {alone:.1?}, beside a replay {during_replay:.1?} (median, 95 %); {} of 200 sent meanwhile",
        run.taken
    );
    let stopped = client(&site).replay_stop(&id).unwrap();
    assert!(stopped.state.starts_with("stop"));
    let stopped = wait_until_finished(&site, &id);
    let live_delivered =
        site.delivered().iter().filter(|(id, copies)| id.starts_with("live") && **copies == 1).count();
    assert_eq!(live_delivered, 200);
    thread::sleep(Duration::from_millis(100));
    let resent =
        site.delivered().iter().filter(|(id, copies)| id.starts_with('m') && **copies == 2).count() as u64;
    assert_eq!(resent, stopped.taken, "a stopped order must send nothing more");
    // After the messages are forgotten, none of them may be sent, whatever was planned.
    let forget = indigohold::control::retention::RetentionOrder::Forget {
        whose: Default::default(),
        until_ms: None,
        despite_hold: false,
    };
    client(&site).order(&forget).unwrap();
    assert_eq!(client(&site).replay_plan(&order).unwrap().may, 0);
}
