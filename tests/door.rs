//! The operators' door of the running program, over loopback: answers beside callers that say half a line, figures held to
//! what stand-ins saw, and endpoints that stay out through lists, restarts and SIGKILL.

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

fn opened(sockets: usize) -> (Environment, Program, SocketAddr, SocketAddr) {
    let mut site = environment(sockets, 64);
    site.config["control"] = "127.0.0.1:0".into();
    let (mut program, addr) = site.start();
    let door = program.addr("door");
    (site, program, addr, door)
}

/// The answer to these bytes, whole.
fn call(door: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(door);
    stream.write_all(bytes).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn figures(door: SocketAddr) -> serde_json::Value {
    let answer = call(door, b"telemetry\n");
    let (json, end) = answer.split_once('\n').unwrap();
    assert_eq!(end, "EOF\n", "{answer:?}");
    serde_json::from_str(json).unwrap()
}

#[test]
fn every_line_has_one_answer_and_the_next_caller_is_heard() {
    let (_site, _program, _, door) = opened(256);
    assert!(call(door, b"readyz\n").starts_with("200 "));
    assert!(call(door, b"readyz\r\n").starts_with("200 "));
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
        let answer = call(door, bad);
        assert!(
            answer.starts_with("400 ") && answer.ends_with('\n') && answer.lines().count() == 1,
            "{answer:?}"
        );
    }
    // A line cut at every byte.
    for cut in 0..7 {
        let mut stream = connect(door);
        stream.write_all(&b"readyz\n"[..cut]).unwrap();
        thread::sleep(Duration::from_millis(2));
        stream.write_all(&b"readyz\n"[cut..]).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("200 "), "{cut}: {answer:?}");
    }
    // One whose line has no end is told so.
    let mut stream = connect(door);
    stream.write_all(b"readyz").unwrap();
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("400 "), "{answer:?}");
}

#[test]
fn answers_come_within_a_second_beside_two_hundred_half_lines_and_a_crowd_of_clients() {
    let (_site, _program, addr, door) = opened(384);
    let over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..8)
        .map(|c| {
            let over = over.clone();
            thread::spawn(move || {
                let mut stream = connect(addr);
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
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
    let mut half: Vec<TcpStream> = Vec::new();
    let mut slowest = Duration::ZERO;
    for n in 0..40 {
        for _ in 0..5 {
            let mut stream = connect(door);
            stream.write_all(b"telem").unwrap();
            half.push(stream);
        }
        let since = Instant::now();
        match n % 2 {
            0 => assert!(call(door, b"readyz\n").starts_with("200 ")),
            _ => drop(figures(door)),
        }
        slowest = slowest.max(since.elapsed());
    }
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
}

#[test]
fn figures_are_what_clients_endpoints_and_discovery_saw() {
    let (mut site, program, ..) = opened(256);
    drop(program);
    let shut = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
    let failing = endpoint(move |_, _| Act::Answer(shut));
    let entries = [instance("s-0", site.endpoint.addr, 3, "up"), instance("s-1", failing.addr, 4, "up")];
    site.set_endpoints(&entries);
    site.config["settings"] = settings(1_000);
    site.config["settings"]["limits"]["maxOpen"] = 4_000.into();
    let (mut program, addr) = site.start();
    let door = program.addr("door");
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
    let text = support::crowd::request_text("nowhere").replace("dest=3", "dest=9");
    assert_eq!(ask(addr, text.as_bytes()).status(), 404);
    until("all have ended", || {
        let figures = figures(door);
        figures["pending"] == 0 && figures["completed"]["print-order"] == 50
    });
    let told = site.discovery.notices.lock().unwrap().clone();
    let count = |outcome: &str| told.iter().filter(|n| n["outcome"] == outcome).count();
    assert_eq!(told.len(), 6, "{told:?}");
    let figures = figures(door);
    assert_eq!(
        figures["rejected"],
        serde_json::json!({"print-order": count("handed_back"), "render-status": 0})
    );
    assert_eq!(
        figures["failed"],
        serde_json::json!({"print-order": count("given_up") + 1, "render-status": 0})
    );
    let calls = site.endpoint.calls.lock().unwrap().len() + failing.calls.lock().unwrap().len();
    assert_eq!(figures["upstream_requests"], calls);
    assert_eq!(figures["members"], 2);
}

#[test]
fn an_endpoint_that_is_left_out_gets_nothing_through_lists_and_kills_until_one_call_puts_it_back() {
    let (mut site, program, ..) = opened(256);
    drop(program);
    let other = endpoint(|_, _| Act::Answer(OK));
    let entries = [instance("s-0", site.endpoint.addr, 3, "up"), instance("s-1", other.addr, 3, "up")];
    site.set_endpoints(&entries);
    let (mut program, mut addr) = site.start();
    let mut door = program.addr("door");
    assert!(call(door, b"exclude s-9\n").starts_with("400 "), "it was never listed");
    assert!(call(door, b"exclude s-0\n").starts_with("200 "));
    assert!(call(door, b"exclude s-0\n").starts_with("200 "), "a call that is repeated does no harm");
    // Calls that were out then have ended by now; the page's bound for new ones is 250 ms.
    thread::sleep(Duration::from_millis(250));
    let before = site.endpoint.calls.lock().unwrap().len();
    let hand_in = |addr: SocketAddr, what: &str| {
        let mut stream = connect(addr);
        for n in 0..10 {
            assert_eq!(submit(&mut stream, &format!("{what}-{n}")), Response::Status(202));
        }
        until(what, || (0..10).all(|n| other.count(&format!("{what}-{n}")) == 1));
    };
    hand_in(addr, "out");
    until("it is counted", || figures(door)["members_unavailable"] == 1);
    // Discovery ends it, lists it again, and lists it at another address.
    for (version, list) in [
        (8, vec![entries[1].clone()]),
        (9, entries.to_vec()),
        (10, {
            let moved = endpoint(|_, _| Act::Answer(OK));
            vec![instance("s-0", moved.addr, 3, "up"), entries[1].clone()]
        }),
        (11, entries.to_vec()),
    ] {
        *site.discovery.list.lock().unwrap() = (version, list.join(","));
        let members = list.len();
        until("the list is heard", || figures(door)["members"] == members);
        hand_in(addr, &format!("list-{version}"));
    }
    program.kill();
    (program, addr) = site.start();
    door = program.addr("door");
    hand_in(addr, "killed");
    assert_eq!(site.endpoint.calls.lock().unwrap().len(), before, "nothing new since the yes");
    // By the command line, as staff do it.
    let command = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
        let out = command.args(args).env("NODE_CONTROL", door.to_string()).output().unwrap();
        (out.status.code(), String::from_utf8(out.stdout).unwrap())
    };
    assert_eq!(command(&["include", "s-9"]).0, Some(3));
    assert_eq!(command(&["include", "s-0"]), (Some(0), "200 is in use again\n".into()));
    assert_eq!(command(&["ready"]).0, Some(0));
    until("it is used again", || {
        let mut stream = connect(addr);
        let id = format!("back-{}", Instant::now().elapsed().as_nanos());
        submit(&mut stream, &id);
        site.endpoint.calls.lock().unwrap().len() > before
    });
}

#[test]
fn a_ban_that_cannot_be_written_down_is_a_no() {
    let (site, _program, _, door) = opened(256);
    // A folder where the file is written first.
    std::fs::create_dir(site.folder.0.join("state/excluded.new")).unwrap();
    let answer = call(door, b"exclude s-0\n");
    assert!(answer.starts_with("400 ") && answer.contains("written down"), "{answer:?}");
    std::fs::remove_dir(site.folder.0.join("state/excluded.new")).unwrap();
    assert!(call(door, b"exclude s-0\n").starts_with("200 "));
}

#[test]
fn a_control_that_is_no_address_or_is_taken_is_one_line_and_exit_code_1() {
    let site = environment(256, 64);
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    for control in ["here", &taken.local_addr().unwrap().to_string()] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
        surroundings(&mut command, &site.folder.0, &site.config.to_string());
        let out = command.env("NODE_CONTROL", control).output().unwrap();
        let text = String::from_utf8(out.stderr).unwrap();
        assert_eq!(out.status.code(), Some(1), "{text}");
        assert!(text.lines().filter(|l| l.contains("control: ")).count() == 1, "{text}");
    }
}
