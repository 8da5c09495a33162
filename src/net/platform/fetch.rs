//! Fetches: one attempt each, at one backend, over one connection. What fails is reported; nothing is sent again.

use super::http::{self, AnswerHead, Body};
use super::Platform;
use crate::api::Micros;
use crate::core::{Answer, End, Fetch, Report};
use crate::net::conn;
use crate::net::pool::Buf;
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

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
        platform.conns.keep(fetch.backend.addr, spare, 0);
    }
    let (end, latency, load, said) = (done.end, done.latency, done.load, String::new());
    platform.courier.report(Report::Done { fetch, end, latency, load, said });
}

fn attempt(platform: &Platform, fetch: &Fetch) -> Done {
    let (clock, addr) = (&platform.courier.clock, fetch.backend.addr);
    let until = clock.instant(fetch.until);
    let (stream, reused) = match platform.conns.reuse(addr) {
        Some((stream, _)) => (stream, true),
        None => {
            let up_by = until.min(clock.instant(clock.now() + platform.names.connect));
            match conn::connect(addr, up_by) {
                Ok(stream) => (Arc::new(stream), false),
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
    // The last look before the first byte: connecting may have taken long.
    if platform.courier.report(Report::Begin(fetch.clone())) != Answer::Go(true) {
        return Done { spare: Some(stream), ..Done::without_answer(End::Unsent) };
    }
    let sent = Instant::now();
    if conn::write_all(&stream, &buf[..len], until).is_err() {
        // Its last byte was never written, so it never ran. A connection that was idle and broke says nothing
        // of its endpoint: it may have been closed for its idleness just now.
        return Done::without_answer(if reused { End::Unsent } else { End::NotConnected });
    }
    match read_answer(platform, &stream, &mut buf, until) {
        Ok((head, whole)) => {
            let end = end_of(&head);
            let latency = Micros(sent.elapsed().as_micros() as u64);
            let spare = (whole && !head.close).then_some(stream);
            Done { end, latency, load: head.load, spare }
        }
        Err(end) => Done { latency: Micros(sent.elapsed().as_micros() as u64), ..Done::without_answer(end) },
    }
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

/// Reads the answer. Its first line decides; whether its body came whole decides only on the connection.
fn read_answer(
    platform: &Platform, stream: &TcpStream, buf: &mut Buf, until: Instant,
) -> Result<(AnswerHead, bool), End> {
    let (mut start, mut filled) = (0, 0);
    let head = loop {
        match conn::read(stream, &mut buf[filled..], until) {
            Ok(0) => return Err(End::Broke),
            Ok(n) => filled += n,
            Err(e) if conn::timed_out(&e) => return Err(End::TimedOut),
            Err(_) => return Err(End::Broke),
        }
        match http::answer(&buf[start..filled], &platform.names.load) {
            Ok(Some(head)) if head.status < 200 => start += head.head,
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(_) => return Err(End::Failed),
        }
    };
    let Body::Length(body) = head.body else { return Ok((head, false)) };
    let end = start + head.head + body;
    while filled < end && end <= buf.len() {
        match conn::read(stream, &mut buf[filled..], until) {
            Ok(n) if n > 0 => filled += n,
            _ => return Ok((head, false)),
        }
    }
    Ok((head, filled == end))
}
