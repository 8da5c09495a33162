//! Answers to calls: told waits as soon as they lie there, heads and bodies by absolute deadlines.

use super::http::{self, AnswerHead};
use super::{Platform, FRONT};
use crate::api::Micros;
use crate::core::{End, Fetch, Report};
use crate::net::pool::PooledBuffer;
use crate::net::{conn, errors};
use std::io::ErrorKind;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// What an answer to a call with one message says of it; to a batch, of all alike.
pub fn end_of(head: &AnswerHead) -> End {
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

/// A bound for reading what lies there.
const AT_ONCE: Duration = Duration::from_secs(1);
/// Bytes of an answer within which its head is looked for before it is taken out.
const PEEKED: usize = 1024;

/// Tells the core what waits lie unread in other calls' connections to the same destination; whether there is one. Danger: in
/// a process that gets a small part of a core the thread that is to read an answer may be hundreds of milliseconds behind,
/// and a call that begins meanwhile breaks the wait. Who reads an answer tells its wait before taking it out, so it is seen
/// by one or the other.
pub fn hear_others(platform: &Platform, fetch: &Fetch) -> bool {
    hear_of(platform, fetch.req.dest)
}

/// The same for whatever goes to this destination.
pub fn hear_of(platform: &Platform, dest: u16) -> bool {
    let (mut head, mut told) = ([0; PEEKED], false);
    for stream in platform.conns.with_unread_input(dest) {
        let n = conn::peek_now(&stream, &mut head);
        told |= tell_wait(platform, dest, &head[..n]);
    }
    told
}

/// Tells the core the wait in the head of an answer, if there is one. It holds from now on, however long the body takes.
pub fn tell_wait(platform: &Platform, dest: u16, bytes: &[u8]) -> bool {
    // Most answers tell none and are read once.
    let status = bytes.get(9..12).filter(|_| bytes.starts_with(b"HTTP/1."));
    let may_tell = match status {
        Some(b"429" | b"503") => true,
        Some(b"200") => platform.batches,
        _ => false,
    };
    if !may_tell {
        return false;
    }
    let Ok(Some(head)) = http::answer(bytes, &platform.names.load) else { return false };
    // That of a batch may tell one beside what it delivered.
    let Some(wait) = head.wait.filter(|_| matches!(head.status, 200 | 429) || !head.over_slots) else {
        return false;
    };
    platform.courier.report(Report::RetryAfter { front: FRONT, dest, wait });
    true
}

/// The rest of an answer comes right behind its first byte; a body that is of no use is not waited for as long.
const REST: Micros = Micros(300_000);
const REST_UNUSED: Micros = Micros(30_000);
/// Interim answers (1xx) before the final one.
const INTERIM_MOST: usize = 16;

/// What came of an answer.
pub enum Came {
    /// Nothing that counts: the connection broke, or nobody answered in time.
    Nothing(End),
    /// It can't be read, or is not whole where it has to be.
    Unread {
        /// Its first line says 200.
        says_200: bool,
        /// A wait in its head binds all the same.
        wait: Option<Micros>,
    },
    /// Its head, and something is wrong behind it that does not matter.
    Head(AnswerHead),
    /// All of it, with nothing behind.
    Whole {
        /// Its head.
        head: AnswerHead,
        /// Bytes of the buffer, the head's counted.
        len: usize,
    },
}

/// Reads the answer; what came, and when it was clear. Danger: it may be noise, cut off or without end. A first line that
/// says 200 is true whatever follows, but of a batch (`body`), whose members are told in the body. Any other answer
/// proves nothing unless it is whole and nothing follows: the call may have run. None of them holds the slot until the
/// deadline.
pub fn hear(
    platform: &Platform, fetch: &Fetch, stream: &TcpStream, buf: &mut PooledBuffer, until: Instant,
    body: bool,
) -> (Came, Instant) {
    let clock = &platform.courier.clock;
    let within = |span| until.min(clock.instant(clock.now() + span));
    let unread =
        |bytes: &[u8]| (Came::Unread { says_200: http::says_200(bytes), wait: None }, Instant::now());
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
            Ok(Some(_)) | Err(_) => return unread(&buf[..filled]),
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
            tell_wait(platform, fetch.req.dest, &buf[..filled + n]);
        }
        // It is there, so this does not wait.
        let by = Instant::now() + AT_ONCE;
        match there.and_then(|_| conn::read(stream, &mut buf[filled..], by)) {
            Ok(n) if n > 0 => filled += n,
            Err(e) if errors::is_timeout(&e) && rest.is_none() => {
                return (Came::Nothing(End::TimedOut), Instant::now());
            }
            Err(e) if errors::is_timeout(&e) => return unread(&buf[..filled]),
            _ if http::says_200(&buf[..filled]) => return unread(&buf[..filled]),
            _ => return (Came::Nothing(End::Broke), Instant::now()),
        }
    };
    let at = Instant::now();
    // Else only a refusal is worth waiting for its body: it must be whole to be believed.
    let needs = body || !end_of(&head).may_have_run();
    let limit = within(if needs { REST } else { REST_UNUSED });
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
    let came = match whole {
        true => Came::Whole { head, len: filled },
        false if needs => {
            let wait = head.wait.filter(|_| body || matches!(end_of(&head), End::TurnedAway(_)));
            Came::Unread { says_200: head.status == 200, wait }
        }
        false => Came::Head(head),
    };
    (came, at)
}
