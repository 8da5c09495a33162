//! The last moments of a process: what was read is answered, and what comes then is never read.

mod support;

use indigohold::admission::config::AdmissionConfig;
use indigohold::clock::Clock;
use indigohold::net::acceptor::{
    AcceptorHandle, BufferLimits, ClientProtocol, CloseReason, ConnectionAcceptor, Parsed, Reply,
};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

/// Each line is a request; its answer is the line itself, once the test lets it go.
struct Lines {
    heard: Arc<Mutex<Vec<String>>>,
    answering: Sender<()>,
    go_on: Mutex<Receiver<()>>,
}

impl ClientProtocol for Lines {
    type Session = ();
    type Request = String;

    fn open(&self, _from: SocketAddr, _out: &mut Vec<u8>) {}

    fn parse(&self, _talk: &mut (), bytes: &[u8], _out: &mut Vec<u8>) -> (usize, Parsed<String>) {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            return (0, Parsed::Incomplete { begun: !bytes.is_empty() });
        };
        let line = String::from_utf8(bytes[..=end].to_vec()).unwrap();
        self.heard.lock().unwrap().push(line.clone());
        (end + 1, Parsed::Request(line))
    }

    fn answer(&self, asks: Vec<String>) -> Vec<Reply> {
        self.answering.send(()).unwrap();
        self.go_on.lock().unwrap().recv().unwrap();
        let reply = |text| Reply { text, close: false, fault: false, accepted_message: None };
        asks.into_iter().map(reply).collect()
    }

    fn closing_reply(&self, _why: CloseReason) -> &'static str {
        ""
    }

    fn refusal(&self) -> Option<&'static str> {
        None
    }
}

/// Step before: the acceptor has read two requests and is at the first. Step after: the process may end. Guards against an end
/// in between, which loses both.
#[test]
fn what_was_read_is_answered_before_the_end_and_what_comes_then_is_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (heard, door) = (Arc::new(Mutex::new(Vec::new())), AcceptorHandle::new());
    let (answering, at_answer) = channel();
    let (release, go_on) = channel();
    let front = Lines { heard: heard.clone(), answering, go_on: Mutex::new(go_on) };
    let rules = AdmissionConfig::default().platform.rules(16);
    let room = BufferLimits { total: 1 << 16, per_connection: 1 << 12 };
    let acceptor =
        ConnectionAcceptor::new("lines", front, listener, &door, Clock::start(), rules, room).unwrap();
    thread::spawn(move || acceptor.run());
    let mut resting = TcpStream::connect(addr).unwrap();
    let mut busy = TcpStream::connect(addr).unwrap();
    until("both are there", || door.connection_count() == 2);
    busy.write_all(b"first\nsecond\n").unwrap();
    at_answer.recv().unwrap();
    let ends = {
        let door = door.clone();
        thread::spawn(move || door.finish(Instant::now() + LONG))
    };
    until("the end is asked for", || door.finishing());
    resting.write_all(b"too late\n").unwrap();
    assert!(!ends.is_finished(), "two requests have no answer yet");
    release.send(()).unwrap();
    at_answer.recv().unwrap();
    assert!(!ends.is_finished(), "one of them has none yet");
    release.send(()).unwrap();
    assert!(ends.join().unwrap());
    busy.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut answers = [0; 13];
    busy.read_exact(&mut answers).unwrap();
    assert_eq!(&answers, b"first\nsecond\n");
    assert_eq!(*heard.lock().unwrap(), ["first\n", "second\n"]);
}

fn next_status(reader: &mut BufReader<TcpStream>) -> (u16, bool) {
    let Some(answer) = read_http(reader) else { panic!("closed without an answer") };
    (answer.status(), answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")))
}

/// Step before: resting connections are closed, at the end of a process that was told to end. Step after: it ends. Guards against
/// an answer that calls itself the last with other requests read behind it: those would have none.
#[test]
fn requests_in_a_row_at_the_end_of_a_process_are_all_answered() {
    let site = environment(256, 64);
    let (program, addr) = site.start();
    let mut row = connect(addr);
    let resting = connect(addr);
    let warm = |stream: &TcpStream, id: &str| {
        (&mut &*stream).write_all(request_text(id).as_bytes()).unwrap();
        assert_eq!(next_status(&mut BufReader::new(stream.try_clone().unwrap())).0, 202);
    };
    warm(&row, "w0");
    warm(&resting, "w1");
    // Half a request, so that the connection is none that rests.
    let begun = request_text("m0");
    let (head, tail) = begun.split_at(30);
    program.signal("TERM");
    // Not so early that it is given up as half before the resting ones are closed, 3.1 s after the signal.
    thread::sleep(Duration::from_millis(2_000));
    row.write_all(head.as_bytes()).unwrap();
    let mut rest = BufReader::new(resting);
    assert!(rest.fill_buf().is_ok_and(<[u8]>::is_empty), "the resting one is closed, with no word");
    row.write_all(format!("{tail}{}{}", request_text("m1"), request_text("m2")).as_bytes()).unwrap();
    let mut reader = BufReader::new(row);
    let answers: Vec<(u16, bool)> = (0..3).map(|_| next_status(&mut reader)).collect();
    assert!(answers.iter().all(|(status, _)| matches!(status, 202 | 503)), "{answers:?}");
    assert_eq!(answers.iter().map(|(_, last)| *last).collect::<Vec<_>>(), [false, false, true]);
}
