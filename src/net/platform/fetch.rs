//! Fetches: one attempt each, to one backend, over a connection of its own. A failure is reported; nothing is retried here.
//!
//! A response names no request. On a connection that carried an earlier request, a late second copy of the earlier response
//! would be taken for the response to this one, so no connection carries a second request.

use super::response::{self, Received};
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

/// Thread function: carries out ordered calls until the channel is closed.
pub fn run_worker(platform: &Platform, orders: &Receiver<Vec<Fetch>>) {
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

struct AttemptResult {
    end: End,
    latency: Micros,
    load: Vec<f32>,
    /// The connection, if no request was written to it.
    unused_stream: Option<Arc<TcpStream>>,
}

impl AttemptResult {
    fn without_response(end: End) -> AttemptResult {
        AttemptResult { end, latency: Micros(0), load: Vec::new(), unused_stream: None }
    }
}

/// Carries out one fetch in a call of its own.
pub fn run(platform: &Platform, fetch: Fetch) {
    let mut result = attempt(platform, &fetch);
    let cancelled = platform.conns.fetch_ended(fetch.msg, fetch.attempt);
    if cancelled && result.end == End::Broke {
        result.end = End::CalledOff;
    }
    if let (Some(unused_stream), false) = (result.unused_stream, cancelled) {
        platform.conns.keep(&fetch.backend, unused_stream, 0);
    }
    let (end, latency, load, reply) = (result.end, result.latency, result.load, String::new());
    platform.courier.report(Report::Done { fetch, end, latency, load, reply });
}

fn attempt(platform: &Platform, fetch: &Fetch) -> AttemptResult {
    let clock = &platform.courier.clock;
    let until = clock.instant(fetch.deadline);
    let (stream, idled) = match connect(platform, fetch, until) {
        Ok(connection) => connection,
        Err(end) => return AttemptResult::without_response(end),
    };
    if !platform.conns.fetch_connected(fetch.msg, fetch.attempt, &stream) {
        return AttemptResult::without_response(End::NotBegun);
    }
    let mut buf = platform.pool.get();
    let left_ms = (fetch.deadline - clock.now()).0 / 1000;
    let Some(len) = (left_ms > 0).then(|| write_request(&mut buf, fetch, left_ms)).flatten() else {
        return AttemptResult {
            unused_stream: Some(stream),
            ..AttemptResult::without_response(End::NotBegun)
        };
    };
    // The last check before the first byte, because connecting may have taken long. It is repeated after the core agreed,
    // because the check itself may take long.
    let waits = response::start_wait_check(platform, fetch.req.dest);
    let may_begin = platform.courier.report(Report::Begin(fetch.clone())) == Answer::MayBegin(true);
    if !may_begin || waits.finds_new_wait() {
        return AttemptResult {
            unused_stream: Some(stream),
            ..AttemptResult::without_response(End::NotBegun)
        };
    }
    // An endpoint may at any moment close a connection that is idle, or send an unsolicited response on it. A request
    // written then would count as a call that may have taken effect, or be matched with the wrong response.
    if idled && !conn::is_idle(&stream) {
        return AttemptResult::without_response(End::NotBegun);
    }
    platform.conns.request_starts(fetch.msg, fetch.attempt, fetch.req.dest);
    let sent = Instant::now();
    if conn::write_all(&stream, &buf[..len], until).is_err() {
        // The last byte was not written, so the call did not take effect. The failure of a connection that was idle is no
        // evidence about its endpoint, which may just have closed it for being idle.
        return AttemptResult::without_response(if idled { End::NotBegun } else { End::NotConnected });
    }
    platform.courier.board.count_written();
    let (received, received_at) = response::read_response(platform, fetch, &stream, &mut buf, until, false);
    let latency = Micros((received_at - sent).as_micros() as u64);
    tracing::debug!(
        target: "connections", id = %fetch.req.id, attempt = fetch.attempt, endpoint = %fetch.backend.name, idled,
        local = ?stream.local_addr().ok(), answer = %received, latency_us = latency.0, "answered"
    );
    let (end, load) = match received {
        Received::Nothing(end) => (end, Vec::new()),
        // A status line that says 200 is a delivery whatever follows.
        Received::Invalid { status_line_is_200: true, .. } => (End::Delivered, Vec::new()),
        Received::Invalid { retry_after, .. } => (End::Spoilt(retry_after), Vec::new()),
        Received::Complete { head, .. } | Received::HeadOnly(head) => {
            (response::end_from_head(&head), head.load)
        }
    };
    AttemptResult { end, latency, load, unused_stream: None }
}

/// A connection on which no request was written yet, and whether it has been idle; otherwise how the fetch ends.
pub fn connect(platform: &Platform, fetch: &Fetch, until: Instant) -> Result<(Arc<TcpStream>, bool), End> {
    if let Some((stream, _)) = platform.conns.reuse(&fetch.backend) {
        return Ok((stream, true));
    }
    let clock = &platform.courier.clock;
    let connect_by = until.min(clock.instant(clock.now() + platform.settings.connect));
    match platform.acceptor.connect(fetch.backend.addr, connect_by) {
        Ok(stream) => Ok((Arc::new(stream), false)),
        // A resource that this process lacks is no evidence about the endpoint and costs the message no attempt.
        Err(e) if errors::is_local(&e) => Err(End::NotBegun),
        Err(_) => Err(End::NotConnected),
    }
}

/// Writes the request and returns its length; `None`: it does not fit, which happens to no accepted req.
fn write_request(buf: &mut PooledBuffer, fetch: &Fetch, left_ms: u64) -> Option<usize> {
    let (req, size) = (&fetch.req, buf.len());
    let mut rest = &mut buf[..];
    write!(rest, "POST /hook HTTP/1.1\r\nHost: {}\r\nReq-Id: {}\r\n", fetch.backend.addr, req.id).ok()?;
    if !req.head.is_empty() {
        write!(rest, "Idempotency-Key: {}\r\n", req.head).ok()?;
    }
    write!(
        rest,
        "Req-Deadline-Ms: {left_ms}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n",
        req.body.len()
    )
    .ok()?;
    rest.write_all(&req.body).ok()?;
    let unused = rest.len();
    Some(size - unused)
}
