//! Fetches: one attempt each, at one backend, over one connection. What fails is reported; nothing is sent again.

use super::answer::{self, hear_others, Came};
use super::{batch, Platform};
use crate::api::Micros;
use crate::core::{Answer, End, Fetch, Report};
use crate::net::pool::PooledBuffer;
use crate::net::{conn, errors};
use crossbeam_channel::Receiver;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// Takes orders for as long as there are any.
pub fn work(platform: &Platform, orders: &Receiver<Vec<Fetch>>) {
    for mut call in orders {
        match call.pop() {
            Some(fetch) if call.is_empty() => run(platform, fetch),
            Some(last) => {
                call.push(last);
                batch::run(platform, call);
            }
            None => {}
        }
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

/// One fetch, by a call of its own.
pub fn run(platform: &Platform, fetch: Fetch) {
    let mut done = attempt(platform, &fetch);
    let called_off = platform.conns.fetch_ended(fetch.msg, fetch.attempt);
    if called_off && done.end == End::Broke {
        done.end = End::CalledOff;
    }
    if let (Some(spare), false) = (done.spare, called_off) {
        platform.conns.keep(&fetch.backend, spare, 0);
    }
    let (end, latency, load, said) = (done.end, done.latency, done.load, String::new());
    platform.courier.report(Report::Done { fetch, end, latency, load, reply: said });
}

fn attempt(platform: &Platform, fetch: &Fetch) -> Done {
    let clock = &platform.courier.clock;
    let until = clock.instant(fetch.deadline);
    let (stream, reused) = match connected(platform, fetch, until) {
        Ok(connected) => connected,
        Err(end) => return Done::without_answer(end),
    };
    if !platform.conns.fetch_connected(fetch.msg, fetch.attempt, &stream) {
        return Done::without_answer(End::NotBegun);
    }
    let mut buf = platform.pool.get();
    let left = (fetch.deadline - clock.now()).0 / 1000;
    let Some(len) = (left > 0).then(|| write_request(&mut buf, fetch, left)).flatten() else {
        return Done { spare: Some(stream), ..Done::without_answer(End::NotBegun) };
    };
    // The last look before the first byte: connecting may have taken long, and so may the look itself.
    hear_others(platform, fetch);
    let goes = platform.courier.report(Report::Begin(fetch.clone())) == Answer::MayBegin(true);
    if !goes || hear_others(platform, fetch) {
        return Done { spare: Some(stream), ..Done::without_answer(End::NotBegun) };
    }
    // Danger: an endpoint that has ended a connection that idled, or has said something on it that nobody asked, does so at any
    // moment; what is written then counts as a call that may have run, or takes a stray answer for its own.
    if reused && !conn::is_idle(&stream) {
        return Done::without_answer(End::NotBegun);
    }
    let sent = Instant::now();
    if conn::write_all(&stream, &buf[..len], until).is_err() {
        // Its last byte was never written, so it never ran. A connection that was idle and broke says nothing
        // of its endpoint: it may have been closed for its idleness just now.
        return Done::without_answer(if reused { End::NotBegun } else { End::NotConnected });
    }
    platform.courier.board.count_written();
    platform.conns.request_written(fetch.msg, fetch.attempt, fetch.req.dest);
    let (came, at) = answer::hear(platform, fetch, &stream, &mut buf, until, false);
    let latency = Micros((at - sent).as_micros() as u64);
    let (end, load, reusable) = match came {
        Came::Nothing(end) => (end, Vec::new(), false),
        // A first line that says 200 is a delivery whatever follows.
        Came::Unread { says_200: true, .. } => (End::Delivered, Vec::new(), false),
        Came::Unread { wait, .. } => (End::Spoilt(wait), Vec::new(), false),
        Came::Whole { head, .. } => (answer::end_of(&head), head.load, !head.close),
        Came::Head(head) => (answer::end_of(&head), head.load, false),
    };
    Done { end, latency, load, spare: reusable.then_some(stream) }
}

/// A connection, and whether it has served before; else how the fetch ends.
pub fn connected(platform: &Platform, fetch: &Fetch, until: Instant) -> Result<(Arc<TcpStream>, bool), End> {
    if let Some((stream, _)) = platform.conns.reuse(&fetch.backend) {
        return Ok((stream, true));
    }
    let clock = &platform.courier.clock;
    let up_by = until.min(clock.instant(clock.now() + platform.names.connect));
    match platform.door.connect(fetch.backend.addr, up_by) {
        Ok(stream) => Ok((Arc::new(stream), false)),
        // Its own want says nothing of the endpoint, and costs the message no attempt.
        Err(e) if errors::is_local(&e) => Err(End::NotBegun),
        Err(_) => Err(End::NotConnected),
    }
}

/// The request's bytes; `None` if they don't fit, which no req that was taken on does.
fn write_request(buf: &mut PooledBuffer, fetch: &Fetch, left_ms: u64) -> Option<usize> {
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
