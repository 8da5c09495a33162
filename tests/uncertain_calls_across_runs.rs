//! A courier's journal records that an earlier call may have taken effect, and keeps this record across process runs,
//! whatever later calls return. Several couriers are killed at once, twice, while calls are in flight.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

/// How long the partner remembers the key of a call.
const REPEAT_WINDOW: Duration = Duration::from_millis(6000);
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const COURIER_COUNT: usize = 3;

/// Starts the partner's endpoint. The first call of a message `h…` hangs, so it may have taken effect; the first call
/// of `n…` is rejected with 503, so it has not. All second calls are rejected, and all later ones are accepted.
fn start_partner() -> Endpoint {
    endpoint(|id, nth| match nth {
        1 if id.starts_with('h') => Act::Hang,
        1 | 2 => Act::Answer(BUSY),
        _ => Act::Answer(OK),
    })
}

fn environments(addr: SocketAddr) -> Vec<Environment> {
    let new_environment = |_| {
        let mut environment = environment(256, 64);
        // Each kind of message has its own destination, so that a wait for one does not affect the other. No limit is
        // reported.
        let entry = |name: &str, cell| instance(name, addr, cell, "up").replace("50.0", "0.0");
        environment.set_endpoints(&[entry("s-3", 3), entry("s-4", 4)]);
        environment.config["settings"]["weights"] = "off".into();
        environment.config["settings"]["loadReport"]["names"] = serde_json::json!([]);
        environment.config["settings"]["profiles"][0]["repeatWindow"] = 6_000_000.into();
        environment
    };
    (0..COURIER_COUNT).map(new_environment).collect()
}

fn submit(addr: SocketAddr, id: &str, dest: u16) {
    let text = request_text(id).replace("dest=3", &format!("dest={dest}"));
    assert_eq!(ask(addr, text.as_bytes()).status(), 202);
}

/// Guards against a duplicate delivery that a long-running test found. The call of the first run was in flight when the
/// process was killed, and the call of the second run was rejected within the window. The third run found only the
/// second call in its journal, and called again after the partner had forgotten the key.
#[test]
fn a_call_in_flight_at_a_kill_is_never_repeated_outside_its_window() {
    let partner = start_partner();
    let environments = environments(partner.addr);
    let first: Vec<_> = environments.iter().map(Environment::start).collect();
    let begun = Instant::now();
    for (i, (_, addr)) in first.iter().enumerate() {
        submit(*addr, &format!("h{i}"), 3);
        submit(*addr, &format!("n{i}"), 4);
    }
    let all_called =
        |prefix: &str, n: usize| (0..COURIER_COUNT).all(|i| partner.count(&format!("{prefix}{i}")) >= n);
    until("the first calls", || all_called("h", 1) && all_called("n", 1));
    first.into_iter().for_each(|(process, _)| process.kill());
    let second: Vec<_> = environments.iter().map(Environment::start).collect();
    until("the calls of the second run", || all_called("h", 2));
    assert!(begun.elapsed() < REPEAT_WINDOW, "the machine was too slow: the repeat window is over");
    second.into_iter().for_each(|(process, _)| process.kill());
    std::thread::sleep(
        (begun + REPEAT_WINDOW + Duration::from_millis(300)).saturating_duration_since(Instant::now()),
    );
    let _third: Vec<_> = environments.iter().map(Environment::start).collect();
    until("the notices for messages that may have taken effect", || {
        (0..COURIER_COUNT).all(|i| environments[i].discovery.noticed(&format!("h{i}")).is_some())
    });
    until("the deliveries of the other messages", || all_called("n", 3));
    for (i, environment) in environments.iter().enumerate() {
        assert_eq!(partner.count(&format!("h{i}")), 2, "sent again outside its repeat window");
        assert_eq!(environment.discovery.noticed(&format!("h{i}")).unwrap()["outcome"], "given_up");
    }
}
