//! When the program asks discovery again: from the start where lists are pushed, and after every kind of silence.

mod support;

use indigohold_relay::{Limits, LinkName, Relay, Rule, Way, What};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};
use support::scripted::{list, up, Mode, Scripted};
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const PUSHED: &str = "automatic";
const SUBSCRIBED: &str = "subscribe";

fn start(discovery: SocketAddr, folder: &Folder, discovery_mode: &str) -> (Program, SocketAddr) {
    start_in_fleet(discovery, folder, discovery_mode, 1)
}

/// Starts one of `couriers` couriers that ask the same discovery.
fn start_in_fleet(
    discovery: SocketAddr, folder: &Folder, discovery_mode: &str, couriers: u32,
) -> (Program, SocketAddr) {
    let mut config = serde_json::json!({
        "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "0b",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
        "known": {"generation": 0, "reset": true, "instances": []},
        "settings": settings(20_000)
    });
    config["settings"]["discovery"] = discovery_mode.into();
    config["settings"]["balancers"] = couriers.into();
    let mut program = Program::start(&folder.0, &config, None);
    let addr = program.addr("platform");
    (program, addr)
}

/// Waits until the destination is known, by sending messages until one is accepted.
fn wait_until_known(addr: SocketAddr, id: &str, dest: u16) {
    let call = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: print-order\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: 20000\r\nIdempotency-Key: k-{id}\r\nX-Addressing: dest={dest}\r\nContent-Length: 1\r\n\r\nx"
    );
    until(id, || ask(addr, call.as_bytes()).status() == 202);
}

/// Guards against a program that never queries discovery where lists are pushed, and uses the configured list for ever.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_after_an_outage() {
    let (endpoint, folder) = (endpoint(|_, _| Act::Answer(OK)), Folder::new());
    let scripted = Scripted::serving(list(5, &[up("s-1", endpoint.addr, 3)]));
    let (mut program, addr) = start(scripted.addr, &folder, PUSHED);
    program.line_with("the register is live");
    wait_until_known(addr, "m1", 3);
    // Discovery's machine goes down and comes back.
    scripted.stop();
    scripted.set(list(6, &[up("s-2", endpoint.addr, 4)]));
    scripted.start();
    wait_until_known(addr, "m2", 4);
    assert!(scripted.asks().last().unwrap().line.contains("after=5"), "{:?}", scripted.asks());
    assert!(scripted.asks().len() < 5, "{:?}", scripted.asks());
}

/// A watch that is silent, or that keeps sending an incomplete line, is reopened once, two heartbeats after the last
/// complete line. That leaves time before the missed changes count as notified, 6 s after it.
#[test]
fn a_silent_watch_is_reopened_once_and_in_time() {
    let cases = [(PUSHED, ""), (SUBSCRIBED, ""), (PUSHED, "{"), (SUBSCRIBED, "{")];
    let each = cases.map(|(discovery_mode, trickle)| {
        thread::spawn(move || {
            let (endpoint, folder) = (endpoint(|_, _| Act::Answer(OK)), Folder::new());
            let scripted = Scripted::serving(list(5, &[up("s-1", endpoint.addr, 3)]));
            let (_program, addr) = start(scripted.addr, &folder, discovery_mode);
            wait_until_known(addr, "m1", 3);
            let asked = scripted.asks().len();
            scripted.hush(trickle);
            scripted.set(list(6, &[up("s-1", endpoint.addr, 3), up("s-2", endpoint.addr, 4)]));
            wait_until_known(addr, "m2", 4);
            let again = &scripted.asks()[asked..];
            assert_eq!(again.len(), 1, "{discovery_mode} {trickle:?} {again:?}");
            let after = again[0].at - scripted.last_said().unwrap();
            let (min, max) = (Duration::from_millis(3_500), Duration::from_millis(5_200));
            assert!((min..max).contains(&after), "{discovery_mode} {trickle:?} {after:?}");
        })
    });
    each.into_iter().for_each(|case| case.join().unwrap());
}

/// An agent that accepts requests and does not answer, as while discovery is down, is asked repeatedly, but not in a
/// tight loop.
#[test]
fn an_agent_that_never_answers_is_asked_again_soon() {
    let (endpoint, folder) = (endpoint(|_, _| Act::Answer(OK)), Folder::new());
    let scripted = Scripted::serving(list(5, &[up("s-1", endpoint.addr, 3)]));
    let (_program, addr) = start(scripted.addr, &folder, PUSHED);
    wait_until_known(addr, "m1", 3);
    let (asked, since) = (scripted.asks().len(), Instant::now());
    scripted.mode(Mode::Mute);
    until("asked again", || scripted.asks().len() >= asked + 5);
    let asks = &scripted.asks()[asked..];
    // On a loaded machine one request may be recorded late and the next in time, which makes a single
    // interval too short; but the program waits 400 ms for each answer, so their number is bounded.
    let max_asks = since.elapsed().as_secs_f64() / 0.4 + 1.0;
    assert!(asks.len() as f64 <= max_asks, "{} asks, {max_asks:.1} at most", asks.len());
    let intervals: Vec<Duration> = asks.windows(2).map(|w| w[1].at - w[0].at).collect();
    assert!(intervals.iter().min() < Some(&Duration::from_millis(1_500)), "{intervals:?}");
    scripted.set(list(6, &[up("s-2", endpoint.addr, 4)]));
    scripted.mode(Mode::Serve);
    wait_until_known(addr, "m2", 4);
}

/// A list may be indented, in an answer and on a watch.
#[test]
fn an_indented_list_is_read() {
    for mode in [Mode::Serve, Mode::NoWatch] {
        let (endpoint, folder) = (endpoint(|_, _| Act::Answer(OK)), Folder::new());
        folder.write("register.json", r#"{"poll_ms": 100}"#);
        let indented = |generation, name, cell| {
            let text = list(generation, &[up(name, endpoint.addr, cell)]);
            serde_json::to_string_pretty(&serde_json::from_str::<serde_json::Value>(&text).unwrap()).unwrap()
        };
        let scripted = Scripted::serving(indented(5, "s-1", 3));
        scripted.mode(mode);
        let (_program, addr) = start(scripted.addr, &folder, SUBSCRIBED);
        wait_until_known(addr, "m1", 3);
        scripted.say(indented(6, "s-2", 4));
        wait_until_known(addr, "m2", 4);
    }
}

/// One poll or watch falls silent, on a connection that carries no answers, while the agent works and answers new
/// requests. The agent is asked again, also where lists are pushed, and the changes are known in time.
#[test]
fn a_silent_poll_or_watch_of_a_healthy_agent_is_retried() {
    let cases = [
        (PUSHED, Mode::NoWatch),
        (SUBSCRIBED, Mode::NoWatch),
        (PUSHED, Mode::Serve),
        (SUBSCRIBED, Mode::Serve),
    ];
    let each = cases.map(|(discovery_mode, mode)| {
        thread::spawn(move || {
            let (endpoint, folder) = (endpoint(|_, _| Act::Answer(OK)), Folder::new());
            folder.write("register.json", r#"{"poll_ms": 100}"#);
            let scripted = Scripted::serving(list(5, &[up("s-1", endpoint.addr, 3)]));
            scripted.mode(mode.clone());
            let relay = Relay::start(1, Vec::new(), Limits::default()).unwrap();
            let through = relay.link(LinkName::new("c0", "agent"), scripted.addr).unwrap();
            let (_program, addr) = start(through, &folder, discovery_mode);
            wait_until_known(addr, "m1", 3);
            // Mutes the open connections and the next one; those after it work.
            let last = relay.read().unwrap().counts.taken;
            let mute = Rule::new("silent", "c0>agent", What::Mute).unwrap().one_way(Way::Down).on(0, last);
            relay.add(mute).unwrap();
            until("an answer is held back", || relay.read().unwrap().counts.held > 0);
            let at = Instant::now();
            scripted.say(list(6, &[up("s-1", endpoint.addr, 3), up("s-2", endpoint.addr, 4)]));
            wait_until_known(addr, "m2", 4);
            // At most two silences in a row: of a watch and of the request after it.
            assert!(at.elapsed() < Duration::from_secs(15), "{discovery_mode} {mode:?} {:?}", at.elapsed());
        })
    });
    each.into_iter().for_each(|case| case.join().unwrap());
}

/// Time after which the protocol counts a change as notified that a silence kept from the courier.
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);

/// Guards against two delays. A courier that was one of hundreds with the same discovery paused for 5 to 10 s after a
/// silence, while the missed changes counted as notified already. And a read that fell silent was repeated only after an
/// attempt to open a watch that is not offered, one request and one answer later.
#[test]
fn a_courier_of_a_large_fleet_retries_in_time_after_a_silence() {
    let each = [Mode::Serve, Mode::NoWatch].map(|mode| {
        thread::spawn(move || {
            let (endpoint, folder) = (endpoint(|_, _| Act::Answer(OK)), Folder::new());
            folder.write("register.json", r#"{"poll_ms": 100}"#);
            let scripted = Scripted::serving(list(5, &[up("s-1", endpoint.addr, 3)]));
            scripted.mode(mode.clone());
            let (_program, addr) = start_in_fleet(scripted.addr, &folder, SUBSCRIBED, 300);
            wait_until_known(addr, "m1", 3);
            let asked = if mode == Mode::Serve {
                let asked = scripted.asks().len();
                scripted.hush("");
                asked
            } else {
                // The next read is received and never answered; those after it are answered.
                scripted.miss(1);
                until("a read is missed", || scripted.missed() == 1);
                scripted.asks().len()
            };
            until("asked again", || scripted.asks().len() > asked);
            let asks = scripted.asks();
            let silent = if mode == Mode::Serve { scripted.last_said().unwrap() } else { asks[asked - 1].at };
            let after = asks[asked].at - silent;
            // The retry is due within 5 s. The protocol leaves it another second, and `late` adds one for a slow machine.
            let late = Duration::from_secs(1);
            assert!(after > Duration::from_secs(2) && after < NOTIFIED_AFTER + late, "{mode:?} {after:?}");
            assert_eq!(asks[asked].line.contains("watch=1"), mode == Mode::Serve, "{:?}", asks[asked]);
        })
    });
    each.into_iter().for_each(|case| case.join().unwrap());
}
