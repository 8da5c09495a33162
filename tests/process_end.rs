//! The end of a process: requests that it has read are answered, and requests that arrive later are never read.

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

/// A protocol in which each line is a request that is answered with the same line, once the test releases the answer.
struct EchoProtocol {
    /// The requests that were read.
    requests: Arc<Mutex<Vec<String>>>,
    /// Signals that answers are due.
    answering: Sender<()>,
    /// Releases the answers.
    release: Mutex<Receiver<()>>,
}

impl ClientProtocol for EchoProtocol {
    type Session = ();
    type Request = String;

    fn open(&self, _from: SocketAddr, _out: &mut Vec<u8>) {}

    fn parse(&self, _session: &mut (), bytes: &[u8], _out: &mut Vec<u8>) -> (usize, Parsed<String>) {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            return (0, Parsed::Incomplete { begun: !bytes.is_empty() });
        };
        let line = String::from_utf8(bytes[..=end].to_vec()).unwrap();
        self.requests.lock().unwrap().push(line.clone());
        (end + 1, Parsed::Request(line))
    }

    fn answer(&self, requests: Vec<String>) -> Vec<Reply> {
        self.answering.send(()).unwrap();
        self.release.lock().unwrap().recv().unwrap();
        let reply = |text| Reply { text, close: false, fault: false, accepted_message: None };
        requests.into_iter().map(reply).collect()
    }

    fn closing_reply(&self, _reason: CloseReason) -> &'static str {
        ""
    }

    fn refusal(&self) -> Option<&'static str> {
        None
    }
}

/// The acceptor has read two requests and answers the first when the process is told to end. Guards against an end
/// before both are answered, which would lose them.
#[test]
fn requests_that_were_read_are_answered_before_the_end_and_later_ones_are_not_read() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (requests, handle) = (Arc::new(Mutex::new(Vec::new())), AcceptorHandle::new());
    let (answering, at_answer) = channel();
    let (release_sender, release) = channel();
    let protocol = EchoProtocol { requests: requests.clone(), answering, release: Mutex::new(release) };
    let rules = AdmissionConfig::default().platform.rules(16);
    let limits = BufferLimits { total: 1 << 16, per_connection: 1 << 12 };
    let acceptor =
        ConnectionAcceptor::new("lines", protocol, listener, &handle, Clock::start(), rules, limits).unwrap();
    thread::spawn(move || acceptor.run());
    let mut idle = TcpStream::connect(addr).unwrap();
    let mut busy = TcpStream::connect(addr).unwrap();
    until("both connections", || handle.connection_count() == 2);
    busy.write_all(b"first\nsecond\n").unwrap();
    at_answer.recv().unwrap();
    let finish = {
        let handle = handle.clone();
        thread::spawn(move || handle.finish(Instant::now() + LONG))
    };
    until("the request to finish", || handle.finishing());
    idle.write_all(b"too late\n").unwrap();
    assert!(!finish.is_finished(), "two requests have no answer yet");
    release_sender.send(()).unwrap();
    at_answer.recv().unwrap();
    assert!(!finish.is_finished(), "the second request has no answer yet");
    release_sender.send(()).unwrap();
    assert!(finish.join().unwrap());
    busy.set_read_timeout(Some(Duration::from_millis(100))).unwrap();
    let mut answers = [0; 13];
    busy.read_exact(&mut answers).unwrap();
    assert_eq!(&answers, b"first\nsecond\n");
    assert_eq!(*requests.lock().unwrap(), ["first\n", "second\n"]);
}

/// Reads the next answer; returns its status, and whether it announces that the connection closes.
fn next_status(reader: &mut BufReader<TcpStream>) -> (u16, bool) {
    let Some(answer) = read_http(reader) else { panic!("closed without an answer") };
    (answer.status(), answer.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close")))
}

/// A process that was told to end closes its idle connections, answers the pipelined requests that it has read, and
/// exits. Guards against `Connection: close` in an answer that more requests follow on the same connection: those
/// would get no answer.
#[test]
fn pipelined_requests_at_the_end_of_a_process_are_all_answered() {
    let environment = environment(256, 64);
    let (program, addr) = environment.start();
    let mut pipelined = connect(addr);
    let idle = connect(addr);
    let send_first = |stream: &TcpStream, id: &str| {
        (&mut &*stream).write_all(request_text(id).as_bytes()).unwrap();
        assert_eq!(next_status(&mut BufReader::new(stream.try_clone().unwrap())).0, 202);
    };
    send_first(&pipelined, "w0");
    send_first(&idle, "w1");
    // Half a request, so that the connection does not count as idle.
    let request = request_text("m0");
    let (head, tail) = request.split_at(30);
    program.signal("TERM");
    // Idle connections are closed 3.1 s after the signal. An earlier half request would be abandoned as incomplete
    // before that.
    thread::sleep(Duration::from_millis(2_000));
    pipelined.write_all(head.as_bytes()).unwrap();
    let mut idle_reader = BufReader::new(idle);
    assert!(
        idle_reader.fill_buf().is_ok_and(<[u8]>::is_empty),
        "the idle connection is closed without a response"
    );
    pipelined.write_all(format!("{tail}{}{}", request_text("m1"), request_text("m2")).as_bytes()).unwrap();
    let mut reader = BufReader::new(pipelined);
    let answers: Vec<(u16, bool)> = (0..3).map(|_| next_status(&mut reader)).collect();
    assert!(answers.iter().all(|(status, _)| matches!(status, 202 | 503)), "{answers:?}");
    assert_eq!(answers.iter().map(|(_, closes)| *closes).collect::<Vec<_>>(), [false, false, true]);
}
