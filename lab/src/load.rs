//! An open loop of messages at a program: each has its own moment, whatever became of those before. One that finds all
//! connections busy waits for one, and that wait counts: latencies are from the moment at which a message should have gone
//! (from which coordinated omission cannot hide anything), and beside them from when it went. Bounded in count and in time.

use crate::figures::{histogram, Latency};
use crate::sockets::wire::{self, Incoming};
use hdrhistogram::Histogram;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use serde::Serialize;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How messages are handed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Protocol {
    /// The platform's.
    Http,
    /// RFC 5321.
    Smtp,
    /// RFC 2033.
    Lmtp,
}

/// What is asked of a load.
#[derive(Debug, Clone)]
pub struct Load {
    /// The program: a loopback address, no other is taken.
    pub to: SocketAddr,
    /// How.
    pub protocol: Protocol,
    /// Messages a second.
    pub rate: f64,
    /// For so long, in seconds.
    pub seconds: f64,
    /// Messages at the most.
    pub most: u64,
    /// Connections at the most.
    pub connections: usize,
    /// A message that has no answer by then counts as unanswered, in seconds.
    pub patience: f64,
    /// Class, tenant and destination; sender and recipient of mail.
    pub class: String,
    /// See `class`.
    pub tenant: String,
    /// See `class`.
    pub dest: usize,
    /// See `class`.
    pub from: String,
    /// See `class`.
    pub rcpt: String,
    /// Bytes of a body.
    pub bytes: usize,
}

/// What came of it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Loaded {
    /// Messages that were due.
    pub due: u64,
    /// Taken on.
    pub taken: u64,
    /// Refused for now.
    pub refused: u64,
    /// Refused for good, or an answer that can't be read.
    pub failed: u64,
    /// No answer in time, or the connection ended first.
    pub unanswered: u64,
    /// From the moment at which it should have gone to the answer.
    pub from_due: Latency,
    /// From when it went.
    pub from_sent: Latency,
    /// Seconds that it took.
    pub took_s: f64,
}

struct Conn {
    stream: TcpStream,
    held: Vec<u8>,
    out: Vec<u8>,
    /// What it is busy with: due, and sent.
    busy: Option<(Instant, Instant)>,
    /// Step of the mail transaction.
    step: u8,
    ready: bool,
}

enum Heard {
    Nothing,
    /// The next line goes out.
    Say(String),
    Taken,
    Refused,
    Failed,
}

/// Runs a load to its end; `seen` is told now and then how many messages were due.
pub fn run(load: &Load, mut seen: impl FnMut(u64)) -> io::Result<Loaded> {
    if !load.to.ip().is_loopback() {
        return Err(io::Error::new(ErrorKind::InvalidInput, "it must be a loopback address"));
    }
    let mut poll = Poll::new()?;
    let (mut conns, mut free): (Vec<Option<Conn>>, Vec<usize>) = (Vec::new(), Vec::new());
    let (mut waiting, mut out): (VecDeque<Instant>, Loaded) = (VecDeque::new(), Loaded::default());
    let (mut due, mut sent): (Histogram<u64>, Histogram<u64>) = (histogram(), histogram());
    let begun = Instant::now();
    let total = ((load.rate * load.seconds) as u64).min(load.most);
    let moment = |n: u64| begun + Duration::from_secs_f64(n as f64 / load.rate);
    let ends = begun + Duration::from_secs_f64(load.seconds + load.patience);
    let patience = Duration::from_secs_f64(load.patience);
    let mut number = 0u64;
    let mut events = Events::with_capacity(1024);
    loop {
        let now = Instant::now();
        while out.due < total && moment(out.due) <= now {
            waiting.push_back(moment(out.due));
            out.due += 1;
        }
        seen(out.due);
        let busy = conns.iter().flatten().any(|c| c.busy.is_some());
        if now >= ends || out.due == total && waiting.is_empty() && !busy {
            break;
        }
        // Those that have waited too long will not be sent any more.
        while waiting.front().is_some_and(|at| now - *at > patience) {
            waiting.pop_front();
            out.unanswered += 1;
        }
        while let Some(at) = waiting.front().copied() {
            let Some(token) = free.pop() else {
                let open = conns.iter().flatten().count();
                let opening = conns.iter().flatten().filter(|c| !c.ready).count();
                if open < load.connections && opening < waiting.len() {
                    open_one(load, &poll, &mut conns, &mut free)?;
                    continue;
                }
                break;
            };
            let Some(conn) = conns[token].as_mut() else { continue };
            waiting.pop_front();
            number += 1;
            conn.busy = Some((at, Instant::now()));
            let text = first(load, number);
            conn.step = 1;
            say(conn, &text);
        }
        let next = if out.due < total {
            moment(out.due).saturating_duration_since(Instant::now())
        } else {
            patience
        };
        match poll.poll(&mut events, Some(next.min(Duration::from_millis(20)))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        for event in &events {
            let token = event.token().0;
            let Some(conn) = conns[token].as_mut() else { continue };
            if event.is_writable() {
                say(conn, "");
            }
            let mut ended = read(conn);
            loop {
                let heard = hear(load, conn);
                let verdict = match heard {
                    Heard::Nothing => break,
                    Heard::Say(text) => {
                        say(conn, &text);
                        continue;
                    }
                    Heard::Taken => &mut out.taken,
                    Heard::Refused => &mut out.refused,
                    Heard::Failed => &mut out.failed,
                };
                if let Some((at, went)) = conn.busy.take() {
                    *verdict += 1;
                    let now = Instant::now();
                    due.saturating_record(((now - at).as_micros() as u64).max(1));
                    sent.saturating_record(((now - went).as_micros() as u64).max(1));
                } else if conn.ready {
                    break;
                }
                conn.ready = true;
                // What was refused in the middle of a mail transaction: another session is the simplest way out of it.
                if load.protocol != Protocol::Http && !matches!(conn.step, 4 | 11) {
                    ended = true;
                    break;
                }
                free.push(token);
            }
            if ended {
                out.unanswered += u64::from(conn.busy.is_some());
                free.retain(|t| *t != token);
                conns[token] = None;
            }
        }
        for (token, slot) in conns.iter_mut().enumerate() {
            if slot.as_ref().is_some_and(|c| c.busy.is_some_and(|(_, went)| went.elapsed() > patience)) {
                *slot = None;
                out.unanswered += 1;
                free.retain(|t| *t != token);
            }
        }
    }
    out.unanswered +=
        waiting.len() as u64 + conns.iter().flatten().filter(|c| c.busy.is_some()).count() as u64;
    out.from_due = Latency::of(&due);
    out.from_sent = Latency::of(&sent);
    out.took_s = begun.elapsed().as_secs_f64();
    Ok(out)
}

fn open_one(
    load: &Load, poll: &Poll, conns: &mut Vec<Option<Conn>>, free: &mut Vec<usize>,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(load.to)?;
    let token = conns.len();
    poll.registry().register(&mut stream, Token(token), Interest::READABLE | Interest::WRITABLE)?;
    let _ = stream.set_nodelay(true);
    // Over HTTP the client speaks first; over mail the server does.
    let ready = load.protocol == Protocol::Http;
    if ready {
        free.push(token);
    }
    conns.push(Some(Conn { stream, held: Vec::new(), out: Vec::new(), busy: None, step: 0, ready }));
    Ok(())
}

fn say(conn: &mut Conn, text: &str) {
    conn.out.extend_from_slice(text.as_bytes());
    while !conn.out.is_empty() {
        match conn.stream.write(&conn.out) {
            Ok(n) if n > 0 => drop(conn.out.drain(..n)),
            // Reading tells what has become of it.
            _ => return,
        }
    }
}

/// True once the other side has ended.
fn read(conn: &mut Conn) -> bool {
    let mut chunk = [0; 16 * 1024];
    loop {
        match conn.stream.read(&mut chunk) {
            Ok(0) => return true,
            Ok(n) => conn.held.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return false,
            Err(_) => return true,
        }
    }
}

fn first(load: &Load, number: u64) -> String {
    match load.protocol {
        Protocol::Http => {
            let body = "x".repeat(load.bytes);
            format!(
                "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: load-{}-{number}\r\nReq-Kind: {}\r\nReq-Owner: {}\r\n\
                 Req-Deadline-Ms: 20000\r\nIdempotency-Key: load-{}-{number}\r\nX-Addressing: dest={}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                std::process::id(),
                load.class,
                load.tenant,
                std::process::id(),
                load.dest,
                load.bytes
            )
        }
        Protocol::Smtp | Protocol::Lmtp => format!("MAIL FROM:<{}>\r\n", load.from),
    }
}

/// Texts of mail sent so far: each has an id of its own.
static TEXTS: AtomicU64 = AtomicU64::new(0);

fn hear(load: &Load, conn: &mut Conn) -> Heard {
    if load.protocol == Protocol::Http {
        return match wire::answer(&conn.held) {
            Incoming::Part => Heard::Nothing,
            Incoming::Bad(_) => {
                conn.held.clear();
                Heard::Failed
            }
            Incoming::Whole(answer, len) => {
                conn.held.drain(..len);
                match answer.status {
                    200 | 202 => Heard::Taken,
                    429 | 503 => Heard::Refused,
                    _ => Heard::Failed,
                }
            }
        };
    }
    // A reply is over with a line whose code has no hyphen behind it (RFC 5321, section 4.2.1).
    let mut at = 0;
    let code = loop {
        let Some(end) = conn.held[at..].windows(2).position(|w| w == b"\r\n") else { return Heard::Nothing };
        let line = &conn.held[at..at + end];
        let (code, more) = (line.first().copied().unwrap_or(b'5'), line.get(3) == Some(&b'-'));
        at += end + 2;
        if !more {
            break code;
        }
    };
    conn.held.drain(..at);
    let hello = if load.protocol == Protocol::Smtp { "EHLO" } else { "LHLO" };
    match (conn.step, code) {
        (0, b'2') => {
            conn.step = 10;
            Heard::Say(format!("{hello} lab.example\r\n"))
        }
        // The session is there; no message is out.
        (10, b'2') => {
            conn.step = 11;
            Heard::Taken
        }
        (1, b'2') => {
            conn.step = 2;
            Heard::Say(format!("RCPT TO:<{}>\r\n", load.rcpt))
        }
        (2, b'2') => {
            conn.step = 3;
            Heard::Say("DATA\r\n".into())
        }
        (3, b'3') => {
            conn.step = 4;
            let id = format!("load-{}-{}", std::process::id(), TEXTS.fetch_add(1, Ordering::SeqCst));
            let body = "x".repeat(load.bytes.min(900));
            Heard::Say(format!(
                "Message-ID: <{id}@lab.example>\r\nReq-Kind: {}\r\n\r\n{body}\r\n.\r\n",
                load.class
            ))
        }
        (4, b'2') => Heard::Taken,
        (_, b'4') => Heard::Refused,
        _ => Heard::Failed,
    }
}

/// The wait that a figure stands for, in words.
pub fn words(latency: &Latency) -> String {
    format!("{:.2} / {:.2} / {:.2} / {:.2} ms", latency.p50, latency.p99, latency.p999, latency.max)
}
