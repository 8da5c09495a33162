//! The admin server of the running program, over loopback: answers while other connections send incomplete lines, metrics
//! compared with what the simulated clients, endpoints and discovery saw, and endpoints that stay excluded through new
//! lists and SIGKILL.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::crowd::{connect, environment, submit, Environment, Response};
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

fn start(descriptors: usize) -> (Environment, Program, SocketAddr, SocketAddr) {
    let mut setup = environment(descriptors, 64);
    setup.config["control"] = "127.0.0.1:0".into();
    let (mut program, addr) = setup.start();
    let admin = program.addr("door");
    (setup, program, addr, admin)
}

/// Sends bytes on a connection of their own and returns the whole answer.
fn send_line(admin: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(admin);
    stream.write_all(bytes).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn metrics(admin: SocketAddr) -> serde_json::Value {
    let answer = send_line(admin, b"telemetry\n");
    let (json, end) = answer.split_once('\n').unwrap();
    assert_eq!(end, "EOF\n", "{answer:?}");
    serde_json::from_str(json).unwrap()
}

#[test]
fn every_line_has_one_answer_and_the_next_connection_is_served() {
    let (_environment, _program, _, admin) = start(256);
    assert!(send_line(admin, b"readyz\n").starts_with("200 "));
    assert!(send_line(admin, b"readyz\r\n").starts_with("200 "));
    let long = [b"exclude ".as_slice(), &[b'x'; 4000], b"\n"].concat();
    for bad in [
        &b"\n"[..],
        b"readyz now\n",
        b"exclude\n",
        b"exclude nobody\n",
        b"\xff\xfe\n",
        b"GET / HTTP/1.1\r\n\r\n",
        &long,
    ] {
        let answer = send_line(admin, bad);
        assert!(
            answer.starts_with("400 ") && answer.ends_with('\n') && answer.lines().count() == 1,
            "{answer:?}"
        );
    }
    // The line arrives in two parts, split at each byte.
    for cut in 0..7 {
        let mut stream = connect(admin);
        stream.write_all(&b"readyz\n"[..cut]).unwrap();
        thread::sleep(Duration::from_millis(2));
        stream.write_all(&b"readyz\n"[cut..]).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("200 "), "{cut}: {answer:?}");
    }
    // A line without an end is refused.
    let mut stream = connect(admin);
    stream.write_all(b"readyz").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("400 "), "{answer:?}");
}

#[test]
fn answers_come_within_a_second_beside_two_hundred_incomplete_lines_and_busy_clients() {
    let (_environment, _program, addr, admin) = start(384);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut stream = connect(addr);
                for n in 0.. {
                    if stop.load(Ordering::SeqCst) {
                        break;
                    }
                    if matches!(
                        submit(&mut stream, &format!("c{c}-{n}")),
                        Response::Closed | Response::Truncated
                    ) {
                        stream = connect(addr);
                    }
                }
            })
        })
        .collect();
    let mut incomplete: Vec<TcpStream> = Vec::new();
    let mut slowest = Duration::ZERO;
    for n in 0..40 {
        for _ in 0..5 {
            let mut stream = connect(admin);
            stream.write_all(b"telem").unwrap();
            incomplete.push(stream);
        }
        let start = Instant::now();
        match n % 2 {
            0 => assert!(send_line(admin, b"readyz\n").starts_with("200 ")),
            _ => drop(metrics(admin)),
        }
        slowest = slowest.max(start.elapsed());
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}

#[test]
fn metrics_agree_with_what_clients_endpoints_and_discovery_saw() {
    let (mut setup, program, ..) = start(256);
    drop(program);
    let error_response = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let failing = endpoint(move |_, _| Act::Answer(error_response));
    let entries = [instance("s-0", setup.endpoint.addr, 3, "up"), instance("s-1", failing.addr, 4, "up")];
    setup.set_endpoints(&entries);
    setup.config["settings"] = settings(1_000);
    setup.config["settings"]["limits"]["maxOpen"] = 4_000.into();
    let (mut program, addr) = setup.start();
    let admin = program.addr("door");
    let mut stream = connect(addr);
    for n in 0..50 {
        assert_eq!(submit(&mut stream, &format!("d{n}")), Response::Status(202));
    }
    for n in 0..6 {
        let text = support::crowd::request_text(&format!("f{n}"))
            .replace("dest=3", "dest=4")
            .replace("20000", "1000");
        assert_eq!(ask(addr, text.as_bytes()).status(), 202);
    }
    // A destination is unknown only by a list from discovery: the stored copy may be outdated.
    program.line_with("the register is live");
    let text = support::crowd::request_text("nowhere").replace("dest=3", "dest=9");
    assert_eq!(ask(addr, text.as_bytes()).status(), 404);
    until("all messages have ended", || {
        let metrics = metrics(admin);
        metrics["pending"] == 0 && metrics["completed"]["print-order"] == 50
    });
    let notices = setup.discovery.notices.lock().unwrap().clone();
    let count = |outcome: &str| notices.iter().filter(|n| n["outcome"] == outcome).count();
    assert_eq!(notices.len(), 6, "{notices:?}");
    let metrics = metrics(admin);
    assert_eq!(
        metrics["rejected"],
        serde_json::json!({"print-order": count("handed_back"), "render-status": 0})
    );
    assert_eq!(
        metrics["failed"],
        serde_json::json!({"print-order": count("given_up") + 1, "render-status": 0})
    );
    let calls = setup.endpoint.calls.lock().unwrap().len() + failing.calls.lock().unwrap().len();
    assert_eq!(metrics["upstream_requests"], calls);
    assert_eq!(metrics["members"], 2);
}

#[test]
fn an_excluded_endpoint_gets_nothing_through_new_lists_and_a_kill_until_it_is_included() {
    let (mut setup, program, ..) = start(256);
    drop(program);
    let other = endpoint(|_, _| Act::Answer(OK));
    let entries = [instance("s-0", setup.endpoint.addr, 3, "up"), instance("s-1", other.addr, 3, "up")];
    setup.set_endpoints(&entries);
    let (mut program, mut addr) = setup.start();
    let mut admin = program.addr("door");
    assert!(send_line(admin, b"exclude s-9\n").starts_with("400 "), "it was never listed");
    assert!(send_line(admin, b"exclude s-0\n").starts_with("200 "));
    assert!(send_line(admin, b"exclude s-0\n").starts_with("200 "), "a repeated command succeeds");
    // No new call starts later than 250 ms after the confirmation, which is the bound in the operators' pages, and calls
    // that were in flight have ended by then.
    thread::sleep(Duration::from_millis(250));
    let before = setup.endpoint.calls.lock().unwrap().len();
    let submit_ten = |addr: SocketAddr, prefix: &str| {
        let mut stream = connect(addr);
        for n in 0..10 {
            assert_eq!(submit(&mut stream, &format!("{prefix}-{n}")), Response::Status(202));
        }
        until(prefix, || (0..10).all(|n| other.count(&format!("{prefix}-{n}")) == 1));
    };
    submit_ten(addr, "out");
    until("the exclusion is counted", || metrics(admin)["members_unavailable"] == 1);
    // Discovery removes the endpoint, lists it again, and lists it at another address.
    for (version, list) in [
        (8, vec![entries[1].clone()]),
        (9, entries.to_vec()),
        (10, {
            let moved = endpoint(|_, _| Act::Answer(OK));
            vec![instance("s-0", moved.addr, 3, "up"), entries[1].clone()]
        }),
        (11, entries.to_vec()),
    ] {
        *setup.discovery.list.lock().unwrap() = (version, list.join(","));
        let members = list.len();
        until("the list is received", || metrics(admin)["members"] == members);
        submit_ten(addr, &format!("list-{version}"));
    }
    program.kill();
    (program, addr) = setup.start();
    admin = program.addr("door");
    submit_ten(addr, "killed");
    assert_eq!(setup.endpoint.calls.lock().unwrap().len(), before, "no call since the confirmation");
    // The same by the command line.
    let command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
        let out = command.args(args).env("NODE_CONTROL", admin.to_string()).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap())
    };
    assert_eq!(command(&["include", "s-9"]).0, Some(3));
    assert_eq!(command(&["include", "s-0"]), (Some(0), "200 is in use again\n".into()));
    assert_eq!(command(&["ready"]).0, Some(0));
    until("the endpoint is used again", || {
        let mut stream = connect(addr);
        let id = format!("back-{}", Instant::now().elapsed().as_nanos());
        submit(&mut stream, &id);
        setup.endpoint.calls.lock().unwrap().len() > before
    });
}

#[test]
fn an_exclusion_that_cannot_be_stored_is_refused() {
    let (setup, _program, _, admin) = start(256);
    // A folder at the path of the temporary file makes the write fail.
    std::fs::create_dir(setup.folder.0.join("state/excluded.new")).unwrap();
    let answer = send_line(admin, b"exclude s-0\n");
    assert!(answer.starts_with("400 ") && answer.contains("written down"), "{answer:?}");
    std::fs::remove_dir(setup.folder.0.join("state/excluded.new")).unwrap();
    assert!(send_line(admin, b"exclude s-0\n").starts_with("200 "));
}

#[test]
fn an_invalid_or_occupied_control_address_is_one_line_and_exit_code_1() {
    let setup = environment(256, 64);
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for control in ["here", &occupied.local_addr().unwrap().to_string()] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
        surroundings(&mut command, &setup.folder.0, &setup.config.to_string());
        let out = command.env("NODE_CONTROL", control).output().unwrap();
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1), "{text}");
        assert!(text.lines().filter(|l| l.contains("control: ")).count() == 1, "{text}");
    }
}
