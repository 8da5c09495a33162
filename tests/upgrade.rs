//! A new version under load, with real processes: started beside the old one on the same folder, five times in a row, with
//! every message counted by stand-ins; killed, hanging and unfit successors; what goes along.

mod support;

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::crowd::{connect, environment, submit, Environment, Response};
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A process with the listener as descriptor 7, as the platform gives it.
fn start(site: &Environment, held: &TcpListener) -> Program {
    let mut command = Command::new("sh");
    surroundings(&mut command, &site.folder.0, &site.config.to_string());
    let run = format!("exec '{}' 7<&0 </dev/null", env!("CARGO_BIN_EXE_indigohold"));
    command.args(["-c", &run]).env("NODE_LISTEN_FD", "7").env("NODE_CONTROL", "127.0.0.1:0");
    command.stdin(Stdio::from(OwnedFd::from(held.try_clone().unwrap())));
    Program::of(command)
}

fn ready(site: &Environment, held: &TcpListener) -> (Program, SocketAddr) {
    let mut program = start(site, held);
    program.line("indigohold: ready");
    let door = program.addr("door");
    (program, door)
}

fn held(site: &mut Environment) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    site.config["listen"] = addr.to_string().into();
    (listener, addr)
}

fn call(door: SocketAddr, line: &str) -> String {
    let mut stream = connect(door);
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// Clients that keep their sessions, until they are told to end.
struct Load {
    over: Arc<AtomicBool>,
    broken: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<Vec<String>>>,
}

fn load(addr: SocketAddr, clients: usize) -> Load {
    let (over, broken) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients = (0..clients)
        .map(|c| {
            let (over, broken) = (over.clone(), broken.clone());
            thread::spawn(move || {
                let (mut stream, mut taken) = (connect(addr), Vec::new());
                for n in 0.. {
                    if over.load(Ordering::SeqCst) {
                        break;
                    }
                    let id = format!("c{c}-{n}");
                    match submit(&mut stream, &id) {
                        Response::Status(202) => taken.push(id),
                        Response::Status(_) => {}
                        Response::Closed | Response::Truncated => {
                            broken.fetch_add(1, Ordering::SeqCst);
                            stream = connect(addr);
                        }
                    }
                    thread::sleep(Duration::from_millis(15));
                }
                taken
            })
        })
        .collect();
    Load { over, broken, clients }
}

impl Load {
    /// Ids that were taken on, and how many requests met a broken connection.
    fn end(self) -> (Vec<String>, usize) {
        self.over.store(true, Ordering::SeqCst);
        let taken = self.clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
        (taken, self.broken.load(Ordering::SeqCst))
    }
}

#[test]
fn five_upgrades_in_a_row_lose_and_double_nothing_and_break_no_session() {
    let slow = endpoint(|_, _| {
        thread::sleep(Duration::from_millis(30));
        Act::Answer(OK)
    });
    let mut site = environment(256, 64);
    site.config["settings"]["profiles"][0]["aim"] = 3_000_000.into();
    site.set_endpoints(&[instance("s-0", slow.addr, 3, "up").replace("50.0", "50000.0")]);
    let (listener, addr) = held(&mut site);
    let (mut program, mut door) = ready(&site, &listener);
    let load = load(addr, 6);
    let mut completed = 0;
    let count = |door: SocketAddr| -> u64 {
        let figures: serde_json::Value =
            serde_json::from_str(call(door, "telemetry").lines().next().unwrap()).unwrap();
        figures["completed"]["print-order"].as_u64().unwrap()
    };
    for _ in 0..5 {
        thread::sleep(Duration::from_millis(250));
        let (mut next, next_door) = ready(&site, &listener);
        assert!(call(next_door, "readyz").starts_with("200 "));
        program.line_with("handed over");
        assert!(call(door, "readyz").starts_with("400 "), "it takes no clients any more");
        program.signal("TERM");
        program.line_with("owed, 0 of them out");
        completed += 0;
        next.line_with("the process before has ended lost=0");
        assert!(program.child.wait().unwrap().success());
        (program, door) = (next, next_door);
    }
    let (taken, broken) = load.end();
    assert_eq!(broken, 0, "requests that met a broken connection");
    until("all are delivered", || taken.iter().all(|id| slow.count(id) >= 1));
    until("all have ended", || call(door, "telemetry").contains("\"pending\":0"));
    let mut counts: BTreeMap<usize, usize> = BTreeMap::new();
    taken.iter().for_each(|id| *counts.entry(slow.count(id)).or_default() += 1);
    assert!(taken.len() > 100, "{}", taken.len());
    assert_eq!(counts, BTreeMap::from([(1, taken.len())]), "deliveries by message");
    assert_eq!(site.discovery.notices.lock().unwrap().len(), 0);
    completed += count(door);
    assert!(completed > 0);
}

/// Guards against ends of calls that the process before heard and did not pass on: it ended between the two.
#[test]
fn ends_that_come_all_at_once_with_the_end_of_their_process_are_passed_on() {
    let round = Arc::new(AtomicUsize::new(0));
    let open = round.clone();
    let partner = endpoint(move |id, _| {
        let of: usize = id.split('-').next().and_then(|r| r.strip_prefix('r')).unwrap().parse().unwrap();
        until("its round", || open.load(Ordering::SeqCst) > of);
        Act::Answer(OK)
    });
    let mut site = environment(256, 64);
    site.config["settings"]["profiles"][0]["aim"] = 3_000_000.into();
    site.set_endpoints(&[instance("s-0", partner.addr, 3, "up").replace("50.0", "50000.0")]);
    let (listener, addr) = held(&mut site);
    let (mut program, _) = ready(&site, &listener);
    for r in 0..4 {
        let ids: Vec<String> = (0..12).map(|n| format!("r{r}-{n}")).collect();
        let mut client = connect(addr);
        ids.iter().for_each(|id| assert_eq!(submit(&mut client, id), Response::Status(202)));
        until("all calls are out", || ids.iter().all(|id| partner.count(id) == 1));
        let (mut next, _) = ready(&site, &listener);
        program.line_with("handed over");
        program.signal("TERM");
        program.line_with("told to end");
        round.store(r + 1, Ordering::SeqCst);
        next.line_with("the process before has ended lost=0");
        assert!(program.child.wait().unwrap().success());
        assert!(ids.iter().all(|id| partner.count(id) == 1), "sent again");
        program = next;
    }
}

#[test]
fn a_successor_that_dies_hangs_or_is_unfit_costs_nothing() {
    let mut site = environment(256, 64);
    let (listener, addr) = held(&mut site);
    let (mut program, door) = ready(&site, &listener);
    let load = load(addr, 3);
    let socket = site.folder.0.join("state/upgrade.sock");
    let say = |frame: &str| {
        let mut stream = UnixStream::connect(&socket).unwrap();
        stream.write_all(&(frame.len() as u32).to_le_bytes()).unwrap();
        stream.write_all(frame.as_bytes()).unwrap();
        stream
    };
    // It says nothing, says nonsense, speaks another version, takes nothing in, or is gone at once.
    drop(UnixStream::connect(&socket).unwrap());
    drop(say("{}"));
    let mut refused = say(r#"{"Ask":{"version":99,"process":1}}"#);
    let mut answer = String::new();
    refused.read_to_string(&mut answer).unwrap();
    assert!(answer.contains("No") && answer.contains("version"), "{answer:?}");
    drop(say(r#"{"Ask":{"version":1,"process":1}}"#));
    program.line_with("did not take over");
    let hangs = say(r#"{"Ask":{"version":1,"process":2}}"#);
    thread::sleep(Duration::from_millis(900));
    assert!(call(door, "readyz").starts_with("200 "));
    // And after all that a good one takes over.
    let (mut next, next_door) = ready(&site, &listener);
    drop(hangs);
    program.line_with("handed over");
    assert!(call(next_door, "readyz").starts_with("200 "));
    let (taken, broken) = load.end();
    assert_eq!(broken, 0);
    until("all are delivered once", || taken.iter().all(|id| site.endpoint.count(id) == 1));
    program.kill();
    next.line_with("the process before has ended");
}

#[test]
fn a_kill_at_any_moment_of_the_hand_over_loses_nothing() {
    for delay_ms in [0, 4, 8, 12, 16, 24, 40] {
        let mut site = environment(256, 64);
        let (listener, addr) = held(&mut site);
        let (old, _) = ready(&site, &listener);
        let load = load(addr, 3);
        thread::sleep(Duration::from_millis(50));
        let mut next = start(&site, &listener);
        thread::sleep(Duration::from_millis(delay_ms));
        old.kill();
        next.line("indigohold: ready");
        thread::sleep(Duration::from_millis(50));
        let (taken, _) = load.end();
        // A keyed message that may have run is repeated in its window, so it may be seen twice, never not at all.
        until("all are delivered", || taken.iter().all(|id| site.endpoint.count(id) >= 1));
    }
}

#[test]
fn bans_waits_and_calls_that_are_out_go_along() {
    let hangs = endpoint(|id, _| {
        if id == "long" {
            thread::sleep(Duration::from_millis(900));
            Act::Answer(OK)
        } else {
            Act::Answer(
                "HTTP/1.1 429 Too Many Requests\r\nX-RateLimit-Wait-Ms: 1500\r\nContent-Length: 0\r\n\r\n",
            )
        }
    });
    let mut site = environment(256, 64);
    site.config["settings"]["profiles"][0]["aim"] = 3_000_000.into();
    let banned = endpoint(|_, _| Act::Answer(OK));
    let entries = [instance("s-0", hangs.addr, 3, "up"), instance("s-1", banned.addr, 4, "up")];
    site.set_endpoints(&entries);
    let (listener, addr) = held(&mut site);
    let (mut old, door) = ready(&site, &listener);
    assert!(call(door, "exclude s-1").starts_with("200 "));
    let mut stream = connect(addr);
    assert_eq!(submit(&mut stream, "long"), Response::Status(202));
    until("it is out", || hangs.count("long") == 1);
    assert_eq!(submit(&mut stream, "waits"), Response::Status(202));
    until("it was told to wait", || hangs.count("waits") == 1);
    let told = Instant::now();
    thread::sleep(Duration::from_millis(20));
    let (mut next, next_door) = ready(&site, &listener);
    old.line_with("handed over");
    // The session goes on where it is.
    assert_eq!(submit(&mut stream, "after"), Response::Status(202));
    let text = support::crowd::request_text("nowhere").replace("dest=3", "dest=4");
    drop(ask(addr, text.as_bytes()));
    until("the call that was out has ended", || call(next_door, "telemetry").contains("\"print-order\":1"));
    assert_eq!(hangs.count("long"), 1, "it was not sent again");
    old.signal("TERM");
    next.line_with("the process before has ended lost=0");
    assert_eq!(hangs.count("waits") + hangs.count("after"), 1, "within the wait nothing is sent there");
    until("after the wait", || hangs.count("waits") + hangs.count("after") > 1);
    assert!(told.elapsed() >= Duration::from_millis(1_400), "{:?}", told.elapsed());
    assert_eq!(banned.calls.lock().unwrap().len(), 0);
    assert!(call(next_door, "include s-1").starts_with("200 "));
}

#[test]
fn without_an_inherited_socket_the_listener_goes_along_and_a_second_owner_is_told_why_not() {
    let mut site = environment(256, 64);
    site.config["control"] = "127.0.0.1:0".into();
    let (mut old, addr) = site.start();
    let mut stream = connect(addr);
    assert_eq!(submit(&mut stream, "before"), Response::Status(202));
    let (mut next, again) = site.start();
    old.line_with("handed over");
    assert_eq!(again, addr, "the same listener");
    assert_eq!(submit(&mut stream, "after"), Response::Status(202));
    assert_eq!(submit(&mut connect(addr), "new"), Response::Status(202));
    old.signal("TERM");
    next.line_with("the process before has ended");
    // One that can't ask finds the folder owned.
    site.config["control"] = serde_json::Value::Null;
    let mut third = Program::spawn(&site.folder.0, &site.config.to_string(), None);
    third.line_with("owns it since");
    assert_eq!(third.child.wait().unwrap().code(), Some(1));
    until("all are delivered", || ["before", "after", "new"].iter().all(|id| site.endpoint.count(id) == 1));
    let _ = TcpStream::connect(addr).unwrap();
}
