//! Fetches: one attempt each, at one backend, over one connection. What fails is reported; nothing is sent again.

use super::http::{self, AnswerHead};
use super::Platform;
use crate::api::Micros;
use crate::core::{Answer, End, Fetch, Report};
use crate::net::conn;
use crate::net::pool::Buf;
use crossbeam_channel::Receiver;
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Takes orders for as long as there are any.
pub fn work(platform: &Platform, orders: &Receiver<Fetch>) {
    for fetch in orders {
        run(platform, fetch);
    }
}

struct Done {
    end: End,
    latency: Micros,
    load: Vec<f32>,
    /// The connection, if another fetch can use it.
    spare: Option<Arc<TcpStream>>,
}

impl Done {
    fn without_answer(end: End) -> Done {
        Done { end, latency: Micros(0), load: Vec::new(), spare: None }
    }
}

fn run(platform: &Platform, fetch: Fetch) {
    let mut done = attempt(platform, &fetch);
    let called_off = platform.conns.closed(fetch.msg, fetch.attempt);
    if called_off && done.end == End::Broke {
        done.end = End::CalledOff;
    }
    if let (Some(spare), false) = (done.spare, called_off) {
        platform.conns.keep(&fetch.backend, spare, 0);
    }
    let (end, latency, load, said) = (done.end, done.latency, done.load, String::new());
    platform.courier.report(Report::Done { fetch, end, latency, load, said });
}

fn attempt(platform: &Platform, fetch: &Fetch) -> Done {
    let (clock, addr) = (&platform.courier.clock, fetch.backend.addr);
    let until = clock.instant(fetch.until);
    let (stream, reused) = match platform.conns.reuse(&fetch.backend) {
        Some((stream, _)) => (stream, true),
        None => {
            let up_by = until.min(clock.instant(clock.now() + platform.names.connect));
            match platform.door.connect(addr, up_by) {
                Ok(stream) => (Arc::new(stream), false),
                // Its own want says nothing of the endpoint, and costs the message no attempt.
                Err(e) if conn::no_descriptor(&e) => return Done::without_answer(End::Unsent),
                Err(_) => return Done::without_answer(End::NotConnected),
            }
        }
    };
    if !platform.conns.opened(fetch.msg, fetch.attempt, &stream) {
        return Done::without_answer(End::Unsent);
    }
    let mut buf = platform.pool.get();
    let left = (fetch.until - clock.now()).0 / 1000;
    let Some(len) = (left > 0).then(|| write_request(&mut buf, fetch, left)).flatten() else {
        return Done { spare: Some(stream), ..Done::without_answer(End::Unsent) };
    };
    // The last look before the first byte: connecting may have taken long, and so may the look itself.
    hear_others(platform, fetch);
    let goes = platform.courier.report(Report::Begin(fetch.clone())) == Answer::Go(true);
    if !goes || hear_others(platform, fetch) {
        return Done { spare: Some(stream), ..Done::without_answer(End::Unsent) };
    }
    let sent = Instant::now();
    if conn::write_all(&stream, &buf[..len], until).is_err() {
        // Its last byte was never written, so it never ran. A connection that was idle and broke says nothing
        // of its endpoint: it may have been closed for its idleness just now.
        return Done::without_answer(if reused { End::Unsent } else { End::NotConnected });
    }
    platform.courier.board.wrote();
    platform.conns.written(fetch.msg, fetch.attempt, fetch.req.dest);
    let heard = hear(platform, fetch, &stream, &mut buf, until);
    let latency = Micros((heard.at - sent).as_micros() as u64);
    Done { end: heard.end, latency, load: heard.load, spare: heard.reusable.then_some(stream) }
}

fn end_of(head: &AnswerHead) -> End {
    match head.status {
        200 => End::Delivered,
        429 => End::TurnedAway(head.wait),
        503 if head.over_slots => End::Unsent,
        503 => End::TurnedAway(head.wait),
        504 => End::Unsent,
        410 => End::Over,
        _ => End::Failed,
    }
}

/// The request's bytes; `None` if they don't fit, which no req that was taken on does.
fn write_request(buf: &mut Buf, fetch: &Fetch, left_ms: u64) -> Option<usize> {
    let (req, size) = (&fetch.req, buf.len());
    let mut rest = &mut buf[..];
    write!(rest, "POST /hook HTTP/1.1\r\nHost: {}\r\nReq-Id: {}\r\n", fetch.backend.addr, req.id).ok()?;
    if !req.head.is_empty() {
        write!(rest, "Idempotency-Key: {}\r\n", req.head).ok()?;
    }
    write!(rest, "Req-Deadline-Ms: {left_ms}\r\nContent-Length: {}\r\n\r\n", req.body.len()).ok()?;
    rest.write_all(&req.body).ok()?;
    let unused = rest.len();
    Some(size - unused)
}

/// A bound for reading what lies there.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Bytes of an answer within which its head is looked for before it is taken out.
const PEEKED: usize = 1024;

/// Tells the core what waits lie unread in other calls' connections to the same destination; whether there is one. Danger: in
/// a process that gets a small part of a core the thread that is to read an answer may be hundreds of milliseconds behind,
/// and a call that begins meanwhile breaks the wait. Who reads an answer tells its wait before taking it out, so it is seen
/// by one or the other.
fn hear_others(platform: &Platform, fetch: &Fetch) -> bool {
    let (mut head, mut told) = ([0; PEEKED], false);
    for stream in platform.conns.unread(fetch.req.dest) {
        let n = conn::peek_now(&stream, &mut head);
        told |= tell_wait(platform, fetch, &head[..n]);
    }
    told
}

/// Tells the core the wait in the head of an answer, if there is one. It holds from now on, however long the body takes.
fn tell_wait(platform: &Platform, fetch: &Fetch, bytes: &[u8]) -> bool {
    // Most answers tell none and are read once.
    if !bytes.starts_with(b"HTTP/1.") || !matches!(bytes.get(9..12), Some(b"429" | b"503")) {
        return false;
    }
    let Ok(Some(head)) = http::answer(bytes, &platform.names.load) else { return false };
    let End::TurnedAway(Some(wait)) = end_of(&head) else { return false };
    platform.courier.report(Report::Wait { front: fetch.req.front, dest: fetch.req.dest, wait });
    true
}

/// The rest of an answer comes right behind its first byte; a body that is of no use is not waited for as long.
const REST: Micros = Micros(300_000);
const REST_UNUSED: Micros = Micros(30_000);
/// Interim answers (1xx) before the final one.
const INTERIM_MOST: usize = 16;

struct Heard {
    end: End,
    load: Vec<f32>,
    /// When it was clear.
    at: Instant,
    /// The answer was whole, with nothing behind it.
    reusable: bool,
}

/// Reads the answer. Danger: it may be noise, cut off or without end. A first line that says 200 is true whatever
/// follows. Any other answer proves nothing unless it is whole and nothing follows: the call may have run. None of
/// them holds the slot until the deadline.
fn hear(platform: &Platform, fetch: &Fetch, stream: &TcpStream, buf: &mut Buf, until: Instant) -> Heard {
    let clock = &platform.courier.clock;
    let within = |span| until.min(clock.instant(clock.now() + span));
    let no_answer = |end| Heard { end, load: Vec::new(), at: Instant::now(), reusable: false };
    let spoilt =
        |bytes: &[u8]| no_answer(if http::says_200(bytes) { End::Delivered } else { End::Spoilt(None) });
    let (mut filled, mut interim) = (0, 0);
    // Set while a part of an answer is there.
    let mut rest: Option<Instant> = None;
    let head = loop {
        match http::answer(&buf[..filled], &platform.names.load) {
            Ok(Some(head)) if head.status < 200 && interim < INTERIM_MOST => {
                interim += 1;
                buf.copy_within(head.head..filled, 0);
                filled -= head.head;
                rest = None;
                // What is there already may be the next answer.
                continue;
            }
            Ok(Some(head)) if head.status >= 200 => break head,
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => return spoilt(&buf[..filled]),
        }
        if filled > 0 {
            rest.get_or_insert_with(|| within(REST));
        }
        // Only the first look may be late: a trickle would go on for ever.
        let by = rest.unwrap_or(until);
        let there = match filled {
            0 => conn::peek(stream, &mut buf[..], by),
            _ if Instant::now() < by => conn::peek(stream, &mut buf[filled..], by),
            _ => Err(ErrorKind::TimedOut.into()),
        };
        if let Ok(n) = there {
            tell_wait(platform, fetch, &buf[..filled + n]);
        }
        // It is there, so this does not wait.
        let by = Instant::now() + AT_ONCE;
        match there.and_then(|_| conn::read(stream, &mut buf[filled..], by)) {
            Ok(n) if n > 0 => filled += n,
            Err(e) if conn::timed_out(&e) && rest.is_none() => return no_answer(End::TimedOut),
            Err(e) if conn::timed_out(&e) => return spoilt(&buf[..filled]),
            _ if http::says_200(&buf[..filled]) => return no_answer(End::Delivered),
            _ => return no_answer(End::Broke),
        }
    };
    let (at, end) = (Instant::now(), end_of(&head));
    // Only a refusal is worth waiting for its body: it must be whole to be believed.
    let refusal = !end.may_have_run();
    let limit = within(if refusal { REST } else { REST_UNUSED });
    let mut ended = false;
    let whole = loop {
        match head.end(&buf[..filled], ended) {
            Ok(Some(n)) => break n == filled,
            Ok(None) if !ended && filled < buf.len() => {}
            _ => break false,
        }
        match conn::read(stream, &mut buf[filled..], limit) {
            Ok(0) => ended = true,
            Ok(n) => filled += n,
            Err(_) => break false,
        }
    };
    match end {
        End::TurnedAway(wait) if !whole => {
            Heard { end: End::Spoilt(wait), load: Vec::new(), at, reusable: false }
        }
        _ if refusal && !whole => no_answer(End::Spoilt(None)),
        _ => Heard { end, load: head.load, at, reusable: whole && !head.close },
    }
}
