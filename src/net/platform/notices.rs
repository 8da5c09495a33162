//! Notices: reports that an accepted message ended without delivery. A notice is sent to discovery's address until the
//! response is 204. Each request has a connection of its own: a response names no notice, and a late second copy of an earlier
//! response would end notices that were not accepted.

use super::http;
use super::Platform;
use crate::api::Micros;
use crate::core::{FinalOutcome, Notice, Report};
use crate::net::conn;
use crossbeam_channel::Receiver;
use std::io::{self, Write};
use std::thread;
use std::time::Instant;

/// Timeout of the first attempt, doubled with each failure. A notice is overdue 300 ms after the message's deadline, and a
/// connection that was cut off silently never answers, so this timeout leaves time for another attempt on a new connection.
/// A notice that is sent twice does no harm.
const FIRST_TIMEOUT: Micros = Micros(100_000);
/// Maximum timeout of an attempt.
const MAX_TIMEOUT: Micros = Micros(2_000_000);
/// Pause after the first failed attempt, doubled with each failure.
const FIRST_PAUSE: Micros = Micros(10_000);
/// Maximum pause between attempts.
const MAX_PAUSE: Micros = Micros(500_000);
/// Maximum number of notices in one request.
const MAX_BATCH: usize = 64;
/// Upper bound for the length of a request's head.
const MAX_REQUEST_HEAD_BYTES: usize = 192;

/// Thread function: sends ordered notices until the channel is closed.
pub fn run_worker(platform: &Platform, orders: &Receiver<Notice>) {
    let clock = &platform.courier.clock;
    let (mut pause, mut timeout) = (FIRST_PAUSE, FIRST_TIMEOUT);
    let mut batch_limit = MAX_BATCH;
    let mut pending: Vec<Notice> = Vec::new();
    loop {
        if pending.is_empty() {
            let Ok(notice) = orders.recv() else { return };
            pending.push(notice);
        }
        pending.extend(orders.try_iter());
        let batch_len = pending.len().min(batch_limit);
        match send(platform, &pending[..batch_len], clock.instant(clock.now() + timeout)) {
            Ok(204) => {
                (pause, timeout, batch_limit) = (FIRST_PAUSE, FIRST_TIMEOUT, MAX_BATCH);
                for notice in pending.drain(..batch_len) {
                    platform.courier.report(Report::NoticeDelivered(notice.msg));
                }
                continue;
            }
            // A notice that is rejected must not hold up the others, so from now on they are sent one at a time, in turn.
            Ok(status) => {
                tracing::warn!(target: "notices", message = %pending[0].req.id, "a notice was answered {status}");
                batch_limit = 1;
                pending.rotate_left(1);
            }
            Err(_) => {}
        }
        thread::sleep(std::time::Duration::from_micros(pause.0));
        pause = pause.scale(2.0).min(MAX_PAUSE);
        timeout = timeout.scale(2.0).min(MAX_TIMEOUT);
    }
}

/// The JSON line of one notice.
pub fn json_line(notice: &Notice) -> String {
    let id = serde_json::Value::from(notice.req.id.as_str());
    match notice.verdict {
        FinalOutcome::GivenUp => format!("{{\"message\":{id},\"outcome\":\"given_up\"}}\n"),
        FinalOutcome::HandedBack(wait) => {
            let ms = wait.0.div_ceil(1000);
            format!("{{\"message\":{id},\"outcome\":\"handed_back\",\"retry_in_ms\":{ms}}}\n")
        }
    }
}

/// Sends the notices in one request. Returns the status of the response.
fn send(platform: &Platform, notices: &[Notice], until: Instant) -> io::Result<u16> {
    let body: String = notices.iter().map(json_line).collect();
    let stream = platform.discovery.connect(until)?;
    let mut request = Vec::with_capacity(body.len() + MAX_REQUEST_HEAD_BYTES);
    write!(request, "POST /v1/notices HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", stream.peer_addr()?)?;
    write!(request, "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len())?;
    conn::write_all(&stream, &request, until)?;
    let mut buf = platform.pool.get();
    let mut filled = 0;
    loop {
        let n = conn::read(&stream, &mut buf[filled..], until)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        filled += n;
        let malformed = |_| io::Error::from(io::ErrorKind::InvalidData);
        if let Some(head) = http::parse_response(&buf[..filled], &[]).map_err(malformed)? {
            return Ok(head.status);
        }
    }
}
