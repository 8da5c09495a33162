//! Sending ended messages again with the running program: planned, run, given twice, stopped, killed at many moments, beside live
//! traffic. The endpoint counts copies.

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

/// One courier with a history and the control channel, and a partner that does this.
fn replaying(per_s: u32, act: impl Fn(&str, usize) -> Act + Send + Sync + 'static) -> Environment {
    let mut site = environment(256, 64);
    site.endpoint = endpoint(act);
    let line = instance("s-0", site.endpoint.addr, 3, "up").replace("50.0", "50000.0");
    site.set_endpoints(&[line]);
    let file = serde_json::json!({
        "enabled": true, "disk_kb": 4096, "replay": {"per_s": per_s, "again_after_s": 60},
        "policies": [{"tenant": "tallowood", "keep_s": 6000, "replay": true, "replays": 2}]
    });
    site.folder.write("history.json", &file.to_string());
    site.folder.write("channel.json", r#"{"socket": "run/control.sock"}"#);
    site
}

fn client(site: &Environment) -> Client {
    Client::new(&site.folder.0.join("run/control.sock"))
}

fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

fn want(reason: &str, lost: bool) -> ReplayRequest {
    let (tenant, reason) = ("tallowood".to_owned(), reason.to_owned());
    ReplayRequest { tenant, destination: 3, since_ms: 0, until_ms: now_ms() + 1, lost, reason }
}

fn hand_in(addr: SocketAddr, ids: impl Iterator<Item = String>) -> usize {
    let (mut stream, mut many) = (connect(addr), 0);
    for id in ids {
        stream.write_all(request_text(&id).as_bytes()).unwrap();
        assert_eq!(read_response(&mut stream), Response::Status(202));
        many += 1;
    }
    many
}

fn kept(site: &Environment, many: usize) {
    until("all have ended and are kept", || client(site).retention().unwrap().kept as usize >= many);
}

fn over(site: &Environment, id: &str) -> ReplayRun {
    let mut last = None;
    until("the order is over", || {
        last = client(site).replays().unwrap().into_iter().find(|r| r.id == id);
        last.as_ref().is_some_and(|r| r.state == "done" || r.state == "stopped")
    });
    last.unwrap()
}

#[test]
fn each_message_goes_once_for_an_order_with_its_key_however_often_it_is_given() {
    let site = replaying(500, |_, _| Act::Answer(OK));
    let (mut program, addr) = site.start();
    hand_in(addr, (0..20).map(|n| format!("m{n}")));
    kept(&site, 20);
    let order = want("ticket 7", false);
    let plan = client(&site).replay_plan(&order).unwrap();
    assert_eq!((plan.may, plan.not.len(), plan.missing.len()), (20, 0, 0));
    assert_eq!(site.delivered().values().sum::<usize>(), 20, "a plan sends nothing");
    // By two operators at once.
    let runs: Vec<ReplayRun> = thread::scope(|s| {
        let one = || client(&site).replay_run(&order).unwrap();
        let all: Vec<_> = (0..2).map(|_| s.spawn(one)).collect();
        all.into_iter().map(|t| t.join().unwrap()).collect()
    });
    assert_eq!(runs[0].id, runs[1].id);
    assert_eq!(runs[0].id, plan.id);
    let run = over(&site, &plan.id);
    assert_eq!((run.taken, run.refused, run.passed, run.left), (20, 0, 0, 0), "{run:?}");
    assert!(site.delivered().values().all(|copies| *copies == 2));
    let mut keys: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for call in site.endpoint.calls.lock().unwrap().iter() {
        let key = call.header("idempotency-key").unwrap().to_owned();
        keys.entry(call.header("req-id").unwrap().to_owned()).or_default().insert(key);
    }
    assert!(keys.values().all(|keys| keys.len() == 1), "the same key");
    // Given once more, by this life and by the next, which knows what went; and another order soon after.
    for _ in 0..2 {
        let again = client(&site).replay_run(&order).unwrap();
        assert_eq!((again.left, over(&site, &plan.id).taken), (0, 20));
        assert_eq!(client(&site).replay_plan(&order).unwrap().not["Done"], 20);
        assert_eq!(client(&site).replay_plan(&want("ticket 8", true)).unwrap().not["JustSent"], 20);
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

/// A message that takes effect each time it is sent, killed at many moments between claim, send and end.
#[test]
fn killed_at_many_moments_nothing_that_takes_effect_goes_twice_for_an_order() {
    let mut site = replaying(400, |_, nth| {
        thread::sleep(Duration::from_millis(if nth > 1 { 12 } else { 0 }));
        Act::Answer(OK)
    });
    site.config["settings"]["profiles"][0]["idempotency"] = "side_effect".into();
    let (mut program, addr) = site.start();
    hand_in(addr, (0..120).map(|n| format!("m{n}")));
    kept(&site, 120);
    let order = want("all lost", true);
    assert_eq!(client(&site).replay_plan(&want("all lost", false)).unwrap().not["TakesEffect"], 120);
    let (mut kills, mut id) = (0, String::new());
    for kill in 0..8_u64 {
        id = client(&site).replay_run(&order).unwrap().id;
        thread::sleep(Duration::from_micros(30_000 + kill * 3_301));
        program.kill();
        kills += 1;
        program = site.start().0;
    }
    client(&site).replay_run(&order).unwrap();
    over(&site, &id);
    let delivered = site.delivered();
    assert!(delivered.values().all(|copies| *copies <= 2), "one of the client's, one of the order's");
    let plan = client(&site).replay_plan(&order).unwrap();
    let in_doubt = plan.not.get("MayHaveRun").copied().unwrap_or(0);
    let sent = delivered.values().filter(|copies| **copies == 2).count() as u64;
    println!(
        "{kills} kills: {} done, {in_doubt} in doubt, {sent} of 120 reached the partner again",
        plan.not["Done"]
    );
    assert_eq!(plan.not["Done"] + in_doubt, 120);
    assert!(sent >= plan.not["Done"] && sent <= 120 && in_doubt > 0);
}

#[test]
fn a_keyed_one_in_doubt_goes_again_within_its_window_and_not_after() {
    let hung = Arc::new(AtomicBool::new(true));
    let hangs = hung.clone();
    let mut site = replaying(400, move |_, nth| match nth > 1 && hangs.load(Ordering::SeqCst) {
        true => Act::Hang,
        false => Act::Answer(OK),
    });
    site.config["settings"]["profiles"][0]["repeatWindow"] = 6_000_000.into();
    let (program, addr) = site.start();
    hand_in(addr, (0..2).map(|n| format!("m{n}")));
    kept(&site, 2);
    let order = want("hung", false);
    let id = client(&site).replay_run(&order).unwrap().id;
    until("both are under way again", || site.delivered().values().all(|copies| *copies == 2));
    let claimed = Instant::now();
    program.kill();
    hung.store(false, Ordering::SeqCst);
    let (program, _) = site.start();
    client(&site).replay_run(&order).unwrap();
    let run = over(&site, &id);
    // On a machine that took longer than the window for this it is the other way round, and right as well.
    let plan = client(&site).replay_plan(&order).unwrap();
    if run.taken > 0 {
        assert_eq!((run.taken, plan.not["Done"]), (2, 2), "the endpoints remember the key, and drop it");
    }
    until("the window is over", || claimed.elapsed() > Duration::from_secs(7));
    let plan = client(&site).replay_plan(&want("later", false)).unwrap();
    assert_eq!(plan.not["JustSent"], 2);
    drop(program);
}

#[test]
fn it_stands_behind_live_traffic_and_stops() {
    let site = replaying(2_000, |id, _| {
        thread::sleep(Duration::from_millis(if id.starts_with("live") { 4 } else { 15 }));
        Act::Answer(OK)
    });
    let (_program, addr) = site.start();
    hand_in(addr, (0..200).map(|n| format!("m{n}")));
    kept(&site, 200);
    let times = |name: &str| {
        let took = Arc::new(Mutex::new(Vec::new()));
        thread::scope(|s| {
            for c in 0..4 {
                let (took, site) = (took.clone(), &site);
                let name = format!("live-{name}-{c}");
                s.spawn(move || {
                    for n in 0..25 {
                        let (id, since) = (format!("{name}-{n}"), Instant::now());
                        hand_in(addr, [id.clone()].into_iter());
                        until("live is delivered", || site.endpoint.count(&id) == 1);
                        took.lock().unwrap().push(since.elapsed());
                    }
                });
            }
        });
        let mut took = Arc::into_inner(took).unwrap().into_inner().unwrap();
        took.sort();
        (took[50], took[95])
    };
    let alone = times("alone");
    let order = want("behind", false);
    let id = client(&site).replay_run(&order).unwrap().id;
    let beside = times("beside");
    let went = client(&site).replays().unwrap().into_iter().find(|r| r.id == id).unwrap();
    println!(
        "live alone {alone:.1?}, beside a replay {beside:.1?} (median, 95 %); {} of 200 sent meanwhile",
        went.taken
    );
    let stopped = client(&site).replay_stop(&id).unwrap();
    assert!(stopped.state.starts_with("stop"));
    let stopped = over(&site, &id);
    let live = site.delivered().iter().filter(|(id, copies)| id.starts_with("live") && **copies == 1).count();
    assert_eq!(live, 200);
    thread::sleep(Duration::from_millis(100));
    let sent =
        site.delivered().iter().filter(|(id, copies)| id.starts_with('m') && **copies == 2).count() as u64;
    assert_eq!(sent, stopped.taken, "nothing more begins once it is stopped");
    // Forgotten meanwhile: nothing of it goes, whatever was planned.
    let forget = indigohold::control::retention::RetentionOrder::Forget {
        whose: Default::default(),
        until_ms: None,
        despite_hold: false,
    };
    client(&site).order(&forget).unwrap();
    assert_eq!(client(&site).replay_plan(&order).unwrap().may, 0);
}
