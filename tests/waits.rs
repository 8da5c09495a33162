//! A wait that a partner tells holds from when its answer came in, whichever thread reads it first: while the process is held
//! up, and while the answer is still in pieces. Stand-ins keep the time at which an answer was written.

mod support;

use rustix::process::{kill_process, Pid, Signal};
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

/// Calls that come within this of the answer are let through.
const SLACK: Duration = Duration::from_millis(100);
const WAIT: Duration = Duration::from_millis(600);

/// What a partner has told and seen.
#[derive(Default)]
struct Book {
    calls: usize,
    told: Option<Instant>,
    waits: usize,
    /// How long after the answer a call came that should have waited.
    early: Vec<Duration>,
}

impl Book {
    fn call(&mut self) {
        self.calls += 1;
        let since = self.told.map(|t| t.elapsed());
        self.early.extend(since.filter(|s| SLACK < *s && *s < WAIT));
    }
}

/// A partner with several addresses and one book. Each call takes 20 ms; every tenth is turned away with a wait, unless
/// one is told already.
fn partner(book: &Arc<Mutex<Book>>) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let book = book.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let book = book.clone();
            thread::spawn(move || {
                stream.set_nodelay(true).unwrap();
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while read_http(&mut reader).is_some() {
                    book.lock().unwrap().call();
                    thread::sleep(Duration::from_millis(20));
                    let mut book = book.lock().unwrap();
                    let free = book.told.is_none_or(|t| t.elapsed() > WAIT + SLACK);
                    let text = if free && book.calls.is_multiple_of(10) {
                        (book.told, book.waits) = (Some(Instant::now()), book.waits + 1);
                        "HTTP/1.1 429 Later\r\nX-RateLimit-Wait-Ms: 600\r\nContent-Length: 0\r\n\r\n"
                    } else {
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    };
                    if writer.write_all(text.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// Processes that take a core for themselves; they end with this.
struct Busy(Vec<Child>);

impl Drop for Busy {
    fn drop(&mut self) {
        for child in &mut self.0 {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// The last core that this process may use.
fn a_core() -> String {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let list = status.lines().find_map(|l| l.strip_prefix("Cpus_allowed_list:")).unwrap().trim();
    list.rsplit([',', '-']).next().unwrap().to_owned()
}

fn pinned(core: &str, program: &str, args: &[&str]) -> Command {
    let mut command = Command::new("taskset");
    command.args(["-c", core, program]).args(args);
    command
}

/// The process has a small part of a core, and is stopped again and again for longer than the slack: answers come in
/// meanwhile, and what is about to begin when it goes on must not go before they are read. Between the last look and the
/// write there is an instant that nobody can close; one call of some thousand may fall into it, and without the look there
/// are ten and more.
#[test]
fn a_process_that_is_held_up_reads_what_has_come_before_it_calls() {
    let mut site = environment(256, 64);
    let book = Arc::default();
    let entries: Vec<String> = (0..4)
        .map(|n| instance(&format!("s-{n}"), partner(&book), 3, "up").replace("50.0", "50000.0"))
        .collect();
    site.set_endpoints(&entries);
    let core = a_core();
    let mut command = pinned(&core, env!("CARGO_BIN_EXE_indigohold"), &[]);
    surroundings(&mut command, &site.folder.0, &site.config.to_string());
    let mut program = Program::of(command);
    let addr = program.addr("platform");
    program.line("indigohold: ready");
    let spin = ["-c", "while :; do :; done"];
    let _busy = Busy((0..5).map(|_| pinned(&core, "sh", &spin).spawn().unwrap()).collect());
    let pid = Pid::from_child(&program.child);
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let pauses = thread::spawn(move || {
        while !stopped.load(Ordering::SeqCst) {
            kill_process(pid, Signal::STOP).unwrap();
            thread::sleep(Duration::from_millis(150));
            kill_process(pid, Signal::CONT).unwrap();
            thread::sleep(Duration::from_millis(60));
        }
    });
    let begun = Instant::now();
    let mut stream = connect(addr);
    for n in 0.. {
        thread::sleep((begun + n * Duration::from_millis(4)).saturating_duration_since(Instant::now()));
        if begun.elapsed() > Duration::from_secs(15) {
            break;
        }
        if submit(&mut stream, &format!("m{n}")) == Response::Closed {
            stream = connect(addr);
        }
    }
    stop.store(true, Ordering::SeqCst);
    pauses.join().unwrap();
    let book = book.lock().unwrap();
    println!("{} calls, {} waits, early: {:?}", book.calls, book.waits, book.early);
    assert!(book.waits >= 3, "hardly any wait was told: {}", book.waits);
    assert!(book.early.len() <= 1, "{} calls, {} waits, early: {:?}", book.calls, book.waits, book.early);
}

/// The head of an answer tells a wait, and its body does not come.
#[test]
fn a_wait_holds_from_the_head_of_its_answer_on() {
    // A machine that is busy may hold up one of them; where the body is waited for, every one of them calls too early.
    let early: Vec<bool> = (0..4).map(|_| calls_before_the_body()).collect();
    assert!(early.iter().any(|early| !early), "each called before the wait was over");
}

fn calls_before_the_body() -> bool {
    let mut site = environment(256, 64);
    let book: Arc<Mutex<Book>> = Arc::default();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    site.set_endpoints(
        &[instance("s-0", listener.local_addr().unwrap(), 3, "up").replace("50.0", "50000.0")],
    );
    let shared = book.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let book = shared.clone();
            thread::spawn(move || {
                let mut writer = stream.try_clone().unwrap();
                let mut reader = BufReader::new(stream);
                while read_http(&mut reader).is_some() {
                    let mut book = book.lock().unwrap();
                    book.call();
                    let first = book.calls == 1;
                    let text = match first {
                        true => "HTTP/1.1 429 Later\r\nX-RateLimit-Wait-Ms: 600\r\nContent-Length: 2\r\n\r\n",
                        false => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                    };
                    writer.write_all(text.as_bytes()).unwrap();
                    if first {
                        book.told = Some(Instant::now());
                    }
                }
            });
        }
    });
    let (_program, addr) = site.start();
    let mut stream = connect(addr);
    assert_eq!(submit(&mut stream, "m0"), Response::Status(202));
    until("its wait", || book.lock().unwrap().told.is_some());
    thread::sleep(SLACK + Duration::from_millis(20));
    assert_eq!(submit(&mut stream, "m1"), Response::Status(202));
    until("both calls", || book.lock().unwrap().calls >= 3);
    let early = &book.lock().unwrap().early;
    !early.is_empty()
}

/// A client that was not answered in its 400 ms closes and hands in elsewhere. A process that was stopped meanwhile finds the
/// request with the end behind it, on a session that it knew and on one that it had not let in yet, and takes neither on.
#[test]
fn what_its_client_has_given_up_is_not_taken_on_after_a_pause() {
    let site = environment(256, 64);
    let (program, addr) = site.start();
    let mut known = connect(addr);
    assert_eq!(submit(&mut known, "before"), Response::Status(202));
    let pid = Pid::from_child(&program.child);
    kill_process(pid, Signal::STOP).unwrap();
    let mut new = connect(addr);
    known.write_all(request_text("gone-1").as_bytes()).unwrap();
    new.write_all(request_text("gone-2").as_bytes()).unwrap();
    drop((known, new));
    // Who has only ended its sending reads that it may come again.
    let mut half = connect(addr);
    half.write_all(request_text("half").as_bytes()).unwrap();
    half.shutdown(std::net::Shutdown::Write).unwrap();
    kill_process(pid, Signal::CONT).unwrap();
    assert_eq!(read_response(&mut half), Response::Status(503));
    let mut stays = connect(addr);
    assert_eq!(submit(&mut stays, "after"), Response::Status(202));
    until("both deliveries", || site.endpoint.count("before") + site.endpoint.count("after") == 2);
    thread::sleep(Duration::from_millis(300));
    for id in ["gone-1", "gone-2", "half"] {
        assert_eq!(site.endpoint.count(id), 0, "{id} was taken on");
    }
}
