//! Probes: an endpoint is asked how it is, over a connection of the fetches', with no message and no slot. What it tells of
//! waits binds as in the answer to a message.

use super::answer::{hear_of, tell_wait};
use super::http::{self, AnswerHead};
use super::Platform;
use crate::api::{Micros, Outcome};
use crate::core::Probe;
use crate::net::pool::PooledBuffer;
use crate::net::{conn, errors};
use crossbeam_channel::Receiver;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Threads that carry out probes: two endpoints that hang delay the others by the settings' time at most.
pub const THREADS: usize = 2;
/// Probes that wait for a thread; more end as not sent.
pub const QUEUE: usize = 32;
/// Reading what lies there does not wait for longer.
const AT_ONCE: Duration = Duration::from_secs(1);
/// A body right behind its head is worth this time, since the connection can be used again behind it.
const REST: Micros = Micros(30_000);

/// Takes orders for as long as there are any.
pub fn work(platform: &Platform, orders: &Receiver<Probe>) {
    for probe in orders {
        platform.conns.fetch_ordered(probe.number(), 0);
        let ended = ask(platform, &probe);
        platform.conns.fetch_ended(probe.number(), 0);
        if let Some(spare) = ended.spare {
            platform.conns.keep(&probe.backend, spare, 0);
        }
        platform.courier.probed(&probe, ended.outcome, ended.latency, ended.load);
    }
}

struct Ended {
    outcome: Outcome,
    latency: Micros,
    load: Vec<f32>,
    /// The connection, if it can be used again.
    spare: Option<Arc<TcpStream>>,
}

impl Ended {
    fn without_answer(outcome: Outcome, spare: Option<Arc<TcpStream>>) -> Ended {
        Ended { outcome, latency: Micros(0), load: Vec::new(), spare }
    }
}

fn ask(platform: &Platform, probe: &Probe) -> Ended {
    let until = platform.courier.clock.instant(probe.ordered_at + platform.names.connect);
    // Danger: behind endpoints that hang it may have waited for its whole time, and asks for nobody any more.
    if Instant::now() >= until {
        return Ended::without_answer(Outcome::NotSent, None);
    }
    let (stream, reused) = match platform.conns.reuse(&probe.backend) {
        Some((stream, _)) => (stream, true),
        None => match platform.door.connect(probe.backend.addr, until) {
            Ok(stream) => (Arc::new(stream), false),
            // Its own want says nothing of the endpoint.
            Err(e) if errors::is_local(&e) => return Ended::without_answer(Outcome::NotSent, None),
            Err(_) => return Ended::without_answer(Outcome::ConnectFailed, None),
        },
    };
    platform.conns.fetch_connected(probe.number(), 0, &stream);
    // The last look before the first byte: the queue and the connection may have taken long, and so may the look itself.
    hear_of(platform, probe.dest);
    if !platform.courier.may_probe(probe) || hear_of(platform, probe.dest) {
        return Ended::without_answer(Outcome::NotSent, Some(stream));
    }
    if reused && !conn::is_idle(&stream) {
        return Ended::without_answer(Outcome::NotSent, None);
    }
    let sent = Instant::now();
    let text = format!("GET /health/live HTTP/1.1\r\nHost: {}\r\n\r\n", probe.backend.addr);
    if conn::write_all(&stream, text.as_bytes(), until).is_err() {
        // One that was idle and broke says nothing of its endpoint: it may have been closed for its idleness just now.
        return Ended::without_answer(if reused { Outcome::NotSent } else { Outcome::ConnectFailed }, None);
    }
    platform.conns.request_written(probe.number(), 0, probe.dest);
    let mut buf = platform.pool.get();
    let heard = hear(platform, probe, &stream, &mut buf, until);
    let latency = Micros(sent.elapsed().as_micros() as u64);
    match heard {
        Ok((head, whole)) => {
            let spare = (whole && !head.close).then_some(stream);
            Ended { outcome: outcome(&head), latency, load: head.load, spare }
        }
        Err(outcome) => Ended { outcome, latency, load: Vec::new(), spare: None },
    }
}

fn outcome(head: &AnswerHead) -> Outcome {
    match head.status {
        200 => Outcome::Ok,
        429 | 503 => Outcome::Refused(head.wait),
        _ => Outcome::Error,
    }
}

/// Reads the answer's head before the deadline, and whether the answer is whole with nothing behind it.
fn hear(
    platform: &Platform, probe: &Probe, stream: &TcpStream, buf: &mut PooledBuffer, until: Instant,
) -> Result<(AnswerHead, bool), Outcome> {
    let mut filled = 0;
    let head = loop {
        match http::answer(&buf[..filled], &platform.names.load) {
            Ok(Some(head)) if head.status >= 200 => break head,
            Ok(None) => {}
            // Nobody says that he goes on about a question without a body.
            Ok(Some(_)) | Err(_) => return Err(Outcome::Error),
        }
        // Only the first look may be late: a trickle would go on for ever.
        if filled > 0 && Instant::now() >= until {
            return Err(Outcome::Timeout);
        }
        let there = conn::peek(stream, &mut buf[filled..], until);
        if let Ok(n) = there {
            // Danger: told only once it is taken out, a call that begins meanwhile would break the wait.
            tell_wait(platform, probe.dest, &buf[..filled + n]);
        }
        // It is there, so this does not wait.
        let by = Instant::now() + AT_ONCE;
        match there.and_then(|_| conn::read(stream, &mut buf[filled..], by)) {
            Ok(n) if n > 0 => filled += n,
            Err(e) if errors::is_timeout(&e) => return Err(Outcome::Timeout),
            _ => return Err(Outcome::Reset),
        }
    };
    let by = until.min(Instant::now() + Duration::from_micros(REST.0));
    let whole = loop {
        match head.end(&buf[..filled], false) {
            Ok(Some(end)) => break end == filled,
            Ok(None) if filled < buf.len() => {}
            _ => break false,
        }
        match conn::read(stream, &mut buf[filled..], by) {
            Ok(n) if n > 0 => filled += n,
            _ => break false,
        }
    };
    Ok((head, whole))
}
