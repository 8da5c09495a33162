//! The list of backends: a watch on discovery, reopened whenever the module asks for it; the whole list, read now and
//! then where discovery offers no watch, and once more where the register wants a second word.

use super::lines::Lines;
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

/// A bound for reading what lies there.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Where there is no watch, it is tried again after so many reads of the whole list.
const READS_BETWEEN: u32 = 30;

/// Why a watch ended.
enum Ended {
    /// It broke, or said what can't be read.
    Broke(io::Error),
    /// Discovery offers none: it answered with a status that says so, or with a list and an end.
    NotOffered,
}

impl From<io::Error> for Ended {
    fn from(e: io::Error) -> Ended {
        Ended::Broke(e)
    }
}

/// Opens a watch whenever one is asked for, and reports until it ends. One that ended because discovery has moved is
/// opened anew at once, and other addresses have their turn before the module hears that the list can't be had.
///
/// Danger: where lists are pushed nobody asks for a watch, the module being told unasked in the simulator; and what the agent
/// has counts as told from the first moment on. So there one is opened from the start and whenever there is none.
pub fn work(platform: &Platform, orders: &Receiver<()>) {
    let (clock, pushed) = (&platform.courier.clock, platform.names.pushed);
    let (mut pauses, mut again) = (ReconnectBackoff::default(), SilenceRetry::new(platform.names.couriers));
    while pushed || orders.recv().is_ok() {
        let mut opened;
        loop {
            opened = clock.now();
            // One watch serves all wishes so far.
            orders.try_iter().for_each(drop);
            let addr = platform.site.addr();
            let e = loop {
                match watch(platform, &mut again) {
                    Ended::Broke(e) => break e,
                    Ended::NotOffered => {}
                }
                if let Err(e) = poll(platform, orders, &mut again) {
                    break e;
                }
            };
            tracing::warn!(target: "discovery", "the watch on the list at {addr} ended: {e}");
            // Where lists are pushed, `pauses` are short anyhow.
            let own = again
                .retry_within(errors::is_timeout(&e))
                .filter(|_| !pushed)
                .map(|span| platform.site.within(span));
            let Some(pause) = platform.site.failed(addr).or(own) else { break };
            rest(orders, pause);
        }
        platform.courier.report(Report::ListFailed(FRONT));
        if pushed {
            rest(orders, platform.site.jittered(pauses.pause_after(clock.now() - opened)));
        }
    }
}

/// A pause, which a wish or a move of discovery ends.
fn rest(orders: &Receiver<()>, pause: Micros) {
    let _ = orders.recv_timeout(Duration::from_micros(pause.0));
}

/// Reads the whole list once for each wish, by a connection of its own: the watch may be open meanwhile.
pub fn read_again(platform: &Platform, orders: &Receiver<()>) {
    while let Ok(()) = orders.recv() {
        orders.try_iter().for_each(drop);
        if let Err(e) = read_whole(platform) {
            tracing::warn!(target: "discovery", "the list could not be read again: {e}");
        }
    }
}

/// Calls discovery; the rest of the answer is waited for as the second says.
fn open(platform: &Platform, query: &str) -> io::Result<(Arc<TcpStream>, ResponseDeadline)> {
    let clock = &platform.courier.clock;
    let silence = ResponseDeadline::start(clock.now(), platform.names.pushed);
    let until = clock.instant(silence.expires_at());
    let stream = platform.site.connect(until)?;
    let host = stream.peer_addr()?;
    let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
    conn::write_all(&stream, request.as_bytes(), until)?;
    Ok((stream, silence))
}

/// Takes in what comes before the deadline, or lies there if that is past: danger, a process that was stopped would throw
/// away an answer that came in time.
fn take_in(
    platform: &Platform, stream: &TcpStream, buf: &mut [u8], silence: &mut ResponseDeadline,
    lines: &mut Lines,
) -> io::Result<Result<usize, String>> {
    conn::peek(stream, &mut [0], platform.courier.clock.instant(silence.expires_at()))?;
    // It is there, so this does not wait.
    let n = conn::read(stream, buf, Instant::now() + AT_ONCE)?;
    silence.bytes_received();
    Ok(lines.push(&buf[..n]).map(|()| n))
}

fn tell(platform: &Platform, line: &[u8]) -> io::Result<()> {
    let read = ParsedList::parse(line).map_err(io::Error::other)?;
    let word = read.into_update(Source::Discovery, &platform.places, platform.courier.clock.now());
    if !word.unreadable.is_empty() {
        let (count, first) = (word.unreadable.len(), &word.unreadable[0]);
        tracing::warn!(target: "discovery", "{count} entries of the list can't be read, {first:?} first");
    }
    platform.courier.report(Report::List { front: FRONT, update: word });
    Ok(())
}

fn watch(platform: &Platform, again: &mut SilenceRetry) -> Ended {
    let Err(ended) = watched(platform, again);
    if matches!(ended, Ended::NotOffered) {
        again.record_answer();
    }
    ended
}

fn watched(platform: &Platform, again: &mut SilenceRetry) -> Result<std::convert::Infallible, Ended> {
    let clock = &platform.courier.clock;
    let (stream, mut silence) =
        open(platform, &format!("?watch=1&after={}", platform.courier.list_version(FRONT)))?;
    let mut buf = platform.pool.get();
    let mut lines = Lines::default();
    let mut told = false;
    loop {
        let late = clock.now() >= silence.expires_at();
        match take_in(platform, &stream, &mut buf, &mut silence, &mut lines)? {
            Err(_) if matches!(lines.status, 400 | 404 | 405 | 501) => return Err(Ended::NotOffered),
            Err(what) => return Err(io::Error::other(what).into()),
            Ok(0) => return Err(Ended::Broke(ErrorKind::UnexpectedEof.into())),
            Ok(_) => {}
        }
        let mut word = false;
        while let Some(line) = lines.next_line() {
            word = true;
            silence.line_received(clock.now());
            if !told {
                told = true;
                again.record_answer();
                platform.site.answered();
            }
            if line.iter().all(u8::is_ascii_whitespace) {
                platform.courier.report(Report::ListUnchanged(FRONT));
            } else {
                tell(platform, &line)?;
            }
        }
        if lines.ended {
            // An answer of told length is a list that was read, not a watch.
            if lines.body_length.is_none() {
                return Err(Ended::Broke(ErrorKind::UnexpectedEof.into()));
            }
            let rest = lines.rest();
            if !rest.iter().all(u8::is_ascii_whitespace) {
                tell(platform, &rest)?;
            }
            return Err(Ended::NotOffered);
        }
        // Danger: a trickle always leaves something to be looked at late.
        if late && !word {
            return Err(Ended::Broke(ErrorKind::TimedOut.into()));
        }
    }
}

/// Reads the whole list again and again, for as long as all goes well and until it is time to ask for a watch again.
/// Each courier's pauses have a jitter of their own.
fn poll(platform: &Platform, orders: &Receiver<()>, again: &mut SilenceRetry) -> io::Result<()> {
    let addr = platform.site.addr();
    tracing::info!(target: "discovery", "{addr} offers no watch: its list is read every {} s", platform.poll.secs());
    for _ in 0..READS_BETWEEN {
        // Danger: by way of a watch that is not offered, the list would be a call and an answer later.
        while let Err(e) = read_whole(platform) {
            let own = platform.site.alone() && !platform.names.pushed && errors::is_timeout(&e);
            let Some(span) = again.retry_within(errors::is_timeout(&e)).filter(|_| own) else {
                return Err(e);
            };
            tracing::warn!(target: "discovery", "the list at {addr} was not told: {e}");
            rest(orders, platform.site.within(span));
        }
        again.record_answer();
        platform.site.answered();
        // A wish that comes meanwhile is served by the next read; a move ends the reading.
        rest(orders, platform.site.jittered(platform.poll));
        if platform.site.addr() != addr {
            return Ok(());
        }
    }
    Ok(())
}

/// Reads the whole list once.
fn read_whole(platform: &Platform) -> io::Result<()> {
    let clock = &platform.courier.clock;
    let (stream, mut silence) = open(platform, "")?;
    let mut buf = platform.pool.get();
    let mut lines = Lines::default();
    while !lines.ended {
        let late = clock.now() >= silence.expires_at();
        match take_in(platform, &stream, &mut buf, &mut silence, &mut lines)?.map_err(io::Error::other)? {
            0 => lines.close().map_err(io::Error::other)?,
            _ if late && !lines.ended => return Err(ErrorKind::TimedOut.into()),
            _ => {}
        }
    }
    tell(platform, &lines.rest())
}
