//! The list of backends: a watch on discovery, reopened whenever the decision module requests it; the full list, read
//! periodically where discovery offers no watch, and once more where the registry wants a list confirmed.

use super::line_decoder::LineDecoder;
use super::{Platform, FRONT};
use crate::api::Micros;
use crate::core::{Report, Source};
use crate::net::{conn, errors};
use crate::register::discovery_timing::{ReconnectBackoff, ResponseDeadline, SilenceRetry};
use crate::register::list::ParsedList;
use crossbeam_channel::Receiver;
use std::io::{self, ErrorKind};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout for reading bytes that have arrived already.
const BUFFERED_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Where discovery offers no watch, reads of the full list between two attempts to open one.
const READS_PER_WATCH_ATTEMPT: u32 = 30;

/// Why a watch ended.
enum WatchEnd {
    /// The connection failed or timed out, or the response was malformed.
    Failed(io::Error),
    /// Discovery offers no watch: it answered with a status that says so, or with a list of known length.
    NotOffered,
}

impl From<io::Error> for WatchEnd {
    fn from(e: io::Error) -> WatchEnd {
        WatchEnd::Failed(e)
    }
}

/// Thread function: opens a watch whenever one is requested, and reports its lists until it ends. A watch that ended because
/// discovery's address was replaced is reopened at once, and the other addresses are tried before the decision module is told
/// that the list is unavailable.
///
/// Where lists are pushed, the decision module requests no watch, because in the simulator it receives lists unrequested. What
/// the agent knows counts as notified from the first moment on. So there a watch is opened at the start and whenever none is
/// open.
pub fn run_watch_worker(platform: &Platform, orders: &Receiver<()>) {
    let (clock, pushed) = (&platform.courier.clock, platform.settings.pushed);
    let (mut backoff, mut silence_retry) =
        (ReconnectBackoff::default(), SilenceRetry::new(platform.settings.couriers));
    while pushed || orders.recv().is_ok() {
        let mut opened;
        loop {
            opened = clock.now();
            // One watch answers all requests that have been made so far.
            orders.try_iter().for_each(drop);
            let addr = platform.discovery.addr();
            let e = loop {
                match watch(platform, &mut silence_retry) {
                    WatchEnd::Failed(e) => break e,
                    WatchEnd::NotOffered => {}
                }
                if let Err(e) = poll(platform, orders, &mut silence_retry) {
                    break e;
                }
            };
            tracing::warn!(target: "discovery", "the watch on the list at {addr} ended: {e}");
            // Where lists are pushed, the pauses of `backoff` are short in any case.
            let retry_pause = silence_retry
                .retry_within(errors::is_timeout(&e))
                .filter(|_| !pushed)
                .map(|span| platform.discovery.random_within(span));
            let Some(pause) = platform.discovery.record_failure(addr).or(retry_pause) else { break };
            wait(orders, pause);
        }
        platform.courier.report(Report::ListFailed(FRONT));
        if pushed {
            wait(orders, platform.discovery.jittered(backoff.pause_after(clock.now() - opened)));
        }
    }
}

/// Waits for this time, or until a watch is requested; a replaced address requests one too.
fn wait(orders: &Receiver<()>, pause: Micros) {
    let _ = orders.recv_timeout(Duration::from_micros(pause.0));
}

/// Thread function: reads the full list once for each request, on a connection of its own, because the watch may be open.
pub fn run_read_worker(platform: &Platform, orders: &Receiver<()>) {
    while let Ok(()) = orders.recv() {
        orders.try_iter().for_each(drop);
        if let Err(e) = read_full_list(platform) {
            tracing::warn!(target: "discovery", "the list could not be read again: {e}");
        }
    }
}

/// Sends a request to discovery. Returns the connection and the deadline for the response.
fn send_request(platform: &Platform, query: &str) -> io::Result<(Arc<TcpStream>, ResponseDeadline)> {
    let clock = &platform.courier.clock;
    let deadline = ResponseDeadline::start(clock.now(), platform.settings.pushed);
    let until = clock.instant(deadline.expires_at());
    let stream = platform.discovery.connect(until)?;
    let host = stream.peer_addr()?;
    let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    conn::write_all(&stream, request.as_bytes(), until)?;
    Ok((stream, deadline))
}

/// Reads bytes that arrive by the deadline or, if it has passed, that have arrived already: a process that was stopped for a
/// while must not discard a response that came in time.
fn read_available(
    platform: &Platform, stream: &TcpStream, buf: &mut [u8], deadline: &mut ResponseDeadline,
    decoder: &mut LineDecoder,
) -> io::Result<Result<usize, String>> {
    conn::peek(stream, &mut [0], platform.courier.clock.instant(deadline.expires_at()))?;
    // The bytes have arrived, so this does not wait.
    let n = conn::read(stream, buf, Instant::now() + BUFFERED_READ_TIMEOUT)?;
    deadline.bytes_received();
    Ok(decoder.push(&buf[..n]).map(|()| n))
}

fn parse_list(json: &[u8]) -> io::Result<ParsedList> {
    ParsedList::parse(json).map_err(io::Error::other)
}

fn report_list(platform: &Platform, list: ParsedList) {
    let update = list.into_update(Source::Discovery, platform.courier.clock.now());
    if !update.unreadable.is_empty() {
        let (count, first) = (update.unreadable.len(), &update.unreadable[0]);
        tracing::warn!(target: "discovery", "{count} entries of the list can't be read, {first:?} first");
    }
    platform.courier.report(Report::List { front: FRONT, update });
}

/// The version of the latest list on one watch. Discovery counts versions up, so a list that is not newer is a copy of an
/// earlier one, and what came before it may be one too.
#[derive(Default)]
struct WatchedVersion(Option<u64>);

impl WatchedVersion {
    /// Takes the next list's version; an error if it is not newer.
    fn advance(&mut self, version: u64) -> io::Result<()> {
        match self.0.replace(version) {
            Some(last) if version <= last => {
                Err(io::Error::other(format!("it told version {version} of the list behind version {last}")))
            }
            _ => Ok(()),
        }
    }
}

fn watch(platform: &Platform, silence_retry: &mut SilenceRetry) -> WatchEnd {
    let Err(end) = read_watch(platform, silence_retry);
    if matches!(end, WatchEnd::NotOffered) {
        silence_retry.record_answer();
    }
    end
}

fn read_watch(
    platform: &Platform, silence_retry: &mut SilenceRetry,
) -> Result<std::convert::Infallible, WatchEnd> {
    let clock = &platform.courier.clock;
    let (stream, mut deadline) =
        send_request(platform, &format!("?watch=1&after={}", platform.courier.list_version(FRONT)))?;
    let mut buf = platform.pool.get();
    let mut decoder = LineDecoder::default();
    let (mut answered, mut version) = (false, WatchedVersion::default());
    loop {
        let past_deadline = clock.now() >= deadline.expires_at();
        match read_available(platform, &stream, &mut buf, &mut deadline, &mut decoder)? {
            Err(_) if matches!(decoder.status, 400 | 404 | 405 | 501) => return Err(WatchEnd::NotOffered),
            Err(e) => return Err(io::Error::other(e).into()),
            Ok(0) => return Err(WatchEnd::Failed(ErrorKind::UnexpectedEof.into())),
            Ok(_) => {}
        }
        let mut line_received = false;
        while let Some(line) = decoder.next_line() {
            line_received = true;
            deadline.line_received(clock.now());
            if !answered {
                answered = true;
                silence_retry.record_answer();
                platform.discovery.record_success();
            }
            if line.iter().all(u8::is_ascii_whitespace) {
                platform.courier.report(Report::ListUnchanged(FRONT));
            } else {
                let list = parse_list(&line)?;
                version.advance(list.list.generation)?;
                report_list(platform, list);
            }
        }
        if decoder.ended {
            // A response with a `Content-Length` is a list and not a watch.
            if decoder.body_remaining.is_none() {
                return Err(WatchEnd::Failed(ErrorKind::UnexpectedEof.into()));
            }
            let list = decoder.take_text();
            if !list.iter().all(u8::is_ascii_whitespace) {
                report_list(platform, parse_list(&list)?);
            }
            return Err(WatchEnd::NotOffered);
        }
        // Past the deadline only a complete line counts; otherwise a trickle of bytes would keep the watch open for ever.
        if past_deadline && !line_received {
            return Err(WatchEnd::Failed(ErrorKind::TimedOut.into()));
        }
    }
}

/// Reads the full list periodically, until a read fails, the address is replaced, or it is time to try a watch once more. The
/// pauses have jitter, so that couriers do not ask in step.
fn poll(platform: &Platform, orders: &Receiver<()>, silence_retry: &mut SilenceRetry) -> io::Result<()> {
    let addr = platform.discovery.addr();
    tracing::info!(target: "discovery", "{addr} offers no watch: its list is read every {} s", platform.poll_interval.secs());
    for _ in 0..READS_PER_WATCH_ATTEMPT {
        // Retried here, because an attempt to open a watch that is not offered would delay the list by a request and a
        // response.
        while let Err(e) = read_full_list(platform) {
            let may_retry =
                platform.discovery.is_only_address() && !platform.settings.pushed && errors::is_timeout(&e);
            let Some(span) = silence_retry.retry_within(errors::is_timeout(&e)).filter(|_| may_retry) else {
                return Err(e);
            };
            tracing::warn!(target: "discovery", "the list at {addr} could not be read: {e}");
            wait(orders, platform.discovery.random_within(span));
        }
        silence_retry.record_answer();
        platform.discovery.record_success();
        // The next read also answers a request that is made meanwhile. A replaced address ends the polling.
        wait(orders, platform.discovery.jittered(platform.poll_interval));
        if platform.discovery.addr() != addr {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads the full list once.
fn read_full_list(platform: &Platform) -> io::Result<()> {
    let clock = &platform.courier.clock;
    let (stream, mut deadline) = send_request(platform, "")?;
    let mut buf = platform.pool.get();
    let mut decoder = LineDecoder::default();
    while !decoder.ended {
        let past_deadline = clock.now() >= deadline.expires_at();
        match read_available(platform, &stream, &mut buf, &mut deadline, &mut decoder)?
            .map_err(io::Error::other)?
        {
            0 => decoder.end_of_stream().map_err(io::Error::other)?,
            _ if past_deadline && !decoder.ended => return Err(ErrorKind::TimedOut.into()),
            _ => {}
        }
    }
    report_list(platform, parse_list(&decoder.take_text())?);
    Ok(())
}
