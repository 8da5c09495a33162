//! Responses to calls. A wait that a response demands is reported as soon as its head has arrived; heads and bodies are
//! read by absolute deadlines.

use super::demanded_waits::WaitCheck;
use super::http::{self, ResponseHead};
use super::{Platform, FRONT};
use crate::api::Micros;
use crate::core::{End, Fetch, Report};
use crate::net::pool::PooledBuffer;
use crate::net::{conn, errors};
use std::fmt;
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The end that the response to a call with one message means; for a batch, that of all its messages alike.
pub fn end_from_head(head: &ResponseHead) -> End {
    match head.status {
        200 => End::Delivered,
        429 => End::TurnedAway(head.retry_after),
        503 if head.over_slots => End::Unsent,
        503 => End::TurnedAway(head.retry_after),
        504 => End::Unsent,
        410 => End::Over,
        _ => End::Failed,
    }
}

/// Timeout for reading bytes that have arrived already.
const BUFFERED_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Length of the part of an unread response in which its head is searched.
const PEEK_BYTES: usize = 1024;

/// Starts the check of a call for waits that its destination demands; see [`super::demanded_waits`].
pub fn start_wait_check(platform: &Platform, dest: u16) -> WaitCheck<'_, impl Fn() -> bool + '_> {
    platform.demanded_waits.start_check(dest, move || report_unread_waits(platform, dest))
}

/// Reports the waits in responses of this destination that other threads have not read yet; whether there are any.
fn report_unread_waits(platform: &Platform, dest: u16) -> bool {
    let (mut head, mut reported) = ([0; PEEK_BYTES], false);
    for stream in platform.conns.with_unread_input(dest) {
        let n = conn::peek_now(&stream, &mut head);
        reported |= report_retry_after(platform, dest, &head[..n]);
    }
    reported
}

/// Reports the wait that the head of a response demands, if there is one. It holds from now on, however long the body takes.
pub fn report_retry_after(platform: &Platform, dest: u16, bytes: &[u8]) -> bool {
    // Most responses demand no wait; the status shows it, so that they are parsed only once.
    let status = bytes.get(9..12).filter(|_| bytes.starts_with(b"HTTP/1."));
    let may_demand_wait = match status {
        Some(b"429" | b"503") => true,
        Some(b"200") => platform.batches,
        _ => false,
    };
    if !may_demand_wait {
        return false;
    }
    let Ok(Some(head)) = http::parse_response(bytes, &platform.settings.load) else { return false };
    // A response to a batch may demand a wait although it delivered some messages.
    let Some(wait) = head.retry_after.filter(|_| matches!(head.status, 200 | 429) || !head.over_slots) else {
        return false;
    };
    platform.courier.report(Report::RetryAfter { front: FRONT, dest, wait });
    platform.demanded_waits.count(dest);
    true
}

/// Time limit for the rest of a response, counted from its first byte.
const REST_TIMEOUT: Micros = Micros(300_000);
/// The same for a body that is read only so that the connection can be reused.
const UNUSED_BODY_TIMEOUT: Micros = Micros(30_000);
/// Maximum number of interim responses (1xx) before the final one.
const MAX_INTERIM_RESPONSES: usize = 16;

/// What was received in response to a call.
pub enum Received {
    /// Nothing that counts: the connection failed, or no response arrived in time.
    Nothing(End),
    /// A response that cannot be parsed, or that is incomplete although it has to be complete.
    Invalid {
        /// Its status line says 200.
        status_line_is_200: bool,
        /// The wait that its head demands, which is honoured all the same.
        retry_after: Option<Micros>,
    },
    /// A valid head; the body is incomplete or followed by other bytes, which does not matter for this status.
    HeadOnly(ResponseHead),
    /// A complete response, followed by nothing.
    Complete {
        /// Its head.
        head: ResponseHead,
        /// Its length in the buffer, head included.
        len: usize,
    },
}

impl fmt::Display for Received {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Received::Nothing(end) => write!(f, "none: {end:?}"),
            Received::Invalid { status_line_is_200, .. } => write!(f, "invalid, 200: {status_line_is_200}"),
            Received::HeadOnly(head) => write!(f, "{}, head only", head.status),
            Received::Complete { head, .. } => write!(f, "{}", head.status),
        }
    }
}

/// Reads the response; returns what was received, and when that was certain. It may be garbage, incomplete or endless. A
/// status line that says 200 counts whatever follows, except for a batch (`body`), where the body has the results of the
/// members. Any other response proves nothing unless it is complete and nothing follows it: the call may have taken effect.
/// No response keeps the slot occupied until the deadline.
pub fn read_response(
    platform: &Platform, fetch: &Fetch, stream: &TcpStream, buf: &mut PooledBuffer, until: Instant,
    body: bool,
) -> (Received, Instant) {
    let clock = &platform.courier.clock;
    let within = |span| until.min(clock.instant(clock.now() + span));
    let invalid = |bytes: &[u8]| {
        (
            Received::Invalid { status_line_is_200: http::status_line_is_200(bytes), retry_after: None },
            Instant::now(),
        )
    };
    let (mut filled, mut interim) = (0, 0);
    // Deadline for the rest, set once a part of a response has arrived.
    let mut rest_until: Option<Instant> = None;
    let head = loop {
        match http::parse_response(&buf[..filled], &platform.settings.load) {
            Ok(Some(head)) if head.status < 200 && interim < MAX_INTERIM_RESPONSES => {
                interim += 1;
                buf.copy_within(head.head_len..filled, 0);
                filled -= head.head_len;
                rest_until = None;
                // The remaining bytes may hold the next response.
                continue;
            }
            Ok(Some(head)) if head.status >= 200 => break head,
            Ok(None) => {}
            Ok(Some(_)) | Err(_) => return invalid(&buf[..filled]),
        }
        if filled > 0 {
            rest_until.get_or_insert_with(|| within(REST_TIMEOUT));
        }
        // Only the first peek may happen after its deadline; otherwise a trickle of bytes would be read for ever.
        let by = rest_until.unwrap_or(until);
        let peeked = match filled {
            0 => conn::peek(stream, &mut buf[..], by),
            _ if Instant::now() < by => conn::peek(stream, &mut buf[filled..], by),
            _ => Err(ErrorKind::TimedOut.into()),
        };
        if let Ok(n) = peeked {
            report_retry_after(platform, fetch.req.dest, &buf[..filled + n]);
        }
        // The bytes have arrived, so this does not wait.
        let by = Instant::now() + BUFFERED_READ_TIMEOUT;
        match peeked.and_then(|_| conn::read(stream, &mut buf[filled..], by)) {
            Ok(n) if n > 0 => filled += n,
            Err(e) if errors::is_timeout(&e) && rest_until.is_none() => {
                return (Received::Nothing(End::TimedOut), Instant::now());
            }
            Err(e) if errors::is_timeout(&e) => return invalid(&buf[..filled]),
            _ if http::status_line_is_200(&buf[..filled]) => return invalid(&buf[..filled]),
            _ => return (Received::Nothing(End::Broke), Instant::now()),
        }
    };
    let head_at = Instant::now();
    // Besides a batch's response, only a refusal needs its body: it must be complete to prove that nothing took effect.
    let needs_body = body || !end_from_head(&head).may_have_run();
    let limit = within(if needs_body { REST_TIMEOUT } else { UNUSED_BODY_TIMEOUT });
    let mut eof = false;
    let complete = loop {
        match head.response_len(&buf[..filled], eof) {
            Ok(Some(n)) => {
                log_surplus(fetch, filled - n);
                break n == filled;
            }
            Ok(None) if !eof && filled < buf.len() => {}
            _ => break false,
        }
        match conn::read(stream, &mut buf[filled..], limit) {
            Ok(0) => eof = true,
            Ok(n) => filled += n,
            Err(_) => break false,
        }
    };
    let received = match complete {
        true => Received::Complete { head, len: filled },
        false if needs_body => {
            let retry_after =
                head.retry_after.filter(|_| body || matches!(end_from_head(&head), End::TurnedAway(_)));
            Received::Invalid { status_line_is_200: head.status == 200, retry_after }
        }
        false => Received::HeadOnly(head),
    };
    (received, head_at)
}

/// Logs bytes that an endpoint sent behind its answer. They belong to no call, and the connection is closed.
fn log_surplus(fetch: &Fetch, surplus_bytes: usize) {
    if surplus_bytes > 0 {
        let (id, endpoint) = (&fetch.req.id, &fetch.backend.name);
        tracing::info!(target: "connections", %id, %endpoint, surplus_bytes, "more came than the answer to the call");
    }
}
