//! Probes: health requests to endpoints. A probe has a connection of its own, as a fetch has, but
//! no message, and it takes no slot.
//! A wait that its response demands holds as one in the response to a message does.

use super::http::{self, ResponseHead};
use super::response::{report_retry_after, start_wait_check};
use super::Platform;
use crate::api::{Micros, Outcome};
use crate::core::Probe;
use crate::net::pool::PooledBuffer;
use crate::net::{conn, errors};
use crossbeam_channel::Receiver;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Threads that carry out probes. Two endpoints that hang delay the probes of others by the settings' connect timeout at
/// most.
pub const THREADS: usize = 2;
/// Maximum number of probes that wait for a thread; further ones end as not sent.
pub const QUEUE_CAPACITY: usize = 32;
/// Timeout for reading bytes that have arrived already.
const BUFFERED_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Thread function: carries out ordered probes until the channel is closed.
pub fn run_worker(platform: &Platform, orders: &Receiver<Probe>) {
    for probe in orders {
        platform.conns.fetch_ordered(probe.number(), 0);
        let result = send_probe(platform, &probe);
        platform.conns.fetch_ended(probe.number(), 0);
        if let Some(stream) = result.unused_stream {
            platform.conns.keep(&probe.backend, stream, 0);
        }
        platform.courier.probed(&probe, result.outcome, result.latency, result.load);
    }
}

struct ProbeResult {
    outcome: Outcome,
    latency: Micros,
    load: Vec<f32>,
    /// The connection, if no request was written to it.
    unused_stream: Option<Arc<TcpStream>>,
}

impl ProbeResult {
    fn without_response(outcome: Outcome, unused_stream: Option<Arc<TcpStream>>) -> ProbeResult {
        ProbeResult { outcome, latency: Micros(0), load: Vec::new(), unused_stream }
    }
}

fn send_probe(platform: &Platform, probe: &Probe) -> ProbeResult {
    let until = platform.courier.clock.instant(probe.ordered_at + platform.settings.connect);
    // Behind probes of endpoints that hang, this one may have waited until its timeout; its outcome is no longer needed.
    if Instant::now() >= until {
        return ProbeResult::without_response(Outcome::NotSent, None);
    }
    let (stream, idled) = match platform.conns.reuse(&probe.backend) {
        Some((stream, _)) => (stream, true),
        None => match platform.acceptor.connect(probe.backend.addr, until) {
            Ok(stream) => (Arc::new(stream), false),
            // A resource that this process lacks is no evidence about the endpoint.
            Err(e) if errors::is_local(&e) => return ProbeResult::without_response(Outcome::NotSent, None),
            Err(_) => return ProbeResult::without_response(Outcome::ConnectFailed, None),
        },
    };
    platform.conns.fetch_connected(probe.number(), 0, &stream);
    // The last check before the first byte, because queueing and connecting may have taken long. It is repeated after the
    // core agreed, because the check itself may take long.
    let waits = start_wait_check(platform, probe.dest);
    if !platform.courier.may_probe(probe) || waits.finds_new_wait() {
        return ProbeResult::without_response(Outcome::NotSent, Some(stream));
    }
    if idled && !conn::is_idle(&stream) {
        return ProbeResult::without_response(Outcome::NotSent, None);
    }
    platform.conns.request_starts(probe.number(), 0, probe.dest);
    let sent = Instant::now();
    let text =
        format!("GET /health/live HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", probe.backend.addr);
    if conn::write_all(&stream, text.as_bytes(), until).is_err() {
        // The failure of a connection that was idle is no evidence about its endpoint, which may just have closed it for
        // being idle.
        return ProbeResult::without_response(
            if idled { Outcome::NotSent } else { Outcome::ConnectFailed },
            None,
        );
    }
    let mut buf = platform.pool.get();
    let response = read_response(platform, probe, &stream, &mut buf, until);
    let latency = Micros(sent.elapsed().as_micros() as u64);
    match response {
        Ok(head) => {
            ProbeResult { outcome: outcome_from_head(&head), latency, load: head.load, unused_stream: None }
        }
        Err(outcome) => ProbeResult { outcome, latency, load: Vec::new(), unused_stream: None },
    }
}

fn outcome_from_head(head: &ResponseHead) -> Outcome {
    match head.status {
        200 => Outcome::Ok,
        429 | 503 => Outcome::Refused(head.retry_after),
        _ => Outcome::Error,
    }
}

/// Reads the head of the response by the deadline. The body is not needed.
fn read_response(
    platform: &Platform, probe: &Probe, stream: &TcpStream, buf: &mut PooledBuffer, until: Instant,
) -> Result<ResponseHead, Outcome> {
    let mut filled = 0;
    loop {
        match http::parse_response(&buf[..filled], &platform.settings.load) {
            Ok(Some(head)) if head.status >= 200 => return Ok(head),
            Ok(None) => {}
            // An interim response is an error: a request without a body asks for none.
            Ok(Some(_)) | Err(_) => return Err(Outcome::Error),
        }
        // Only the first peek may happen after the deadline; otherwise a trickle of bytes would be read for ever.
        if filled > 0 && Instant::now() >= until {
            return Err(Outcome::Timeout);
        }
        let peeked = conn::peek(stream, &mut buf[filled..], until);
        if let Ok(n) = peeked {
            // Reported before the bytes are taken from the socket; otherwise a call that begins in between would violate the
            // wait.
            report_retry_after(platform, probe.dest, &buf[..filled + n]);
        }
        // The bytes have arrived, so this does not wait.
        let by = Instant::now() + BUFFERED_READ_TIMEOUT;
        match peeked.and_then(|_| conn::read(stream, &mut buf[filled..], by)) {
            Ok(n) if n > 0 => filled += n,
            Err(e) if errors::is_timeout(&e) => return Err(Outcome::Timeout),
            _ => return Err(Outcome::Reset),
        }
    }
}
