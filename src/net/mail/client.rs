//! Mail fetches: one recipient of one message in one SMTP or LMTP transaction.
//!
//! The last byte of a fetch is that of the final dot's line. A connection that breaks before it is written proves
//! that the message never ran; one that breaks after it, with no reply read, may have run. A 4yz or 5yz reply
//! proves that it did not, whenever it comes.
//!
//! A reply names no command. So that a late second copy of an earlier reply is not taken for a later one, a connection
//! carries one transaction, no command is sent while a reply is unread, and a reply that says that the text is accepted
//! counts once 221 has answered QUIT.

use super::dns::zone::{MailBackend, Protocol};
use super::lines::{self, Reply};
use super::Mail;
use crate::api::Micros;
use crate::core::{Answer, End, Fetch, Report};
use crate::net::pool::PooledBuffer;
use crate::net::{conn, errors};
use crossbeam_channel::Receiver;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Instant;

/// A connection that is not up by then is not going to be.
const CONNECT: Micros = Micros(5_000_000);
/// The longest wait that is read out of a reply's words; they are prose.
const WAIT_MOST: Micros = Micros(3_600_000_000);
/// Replies that are read after QUIT.
const MAX_REPLIES_TO_QUIT: usize = 8;
/// Extensions of a server, as a kept connection's tag.
const EIGHT_BIT: u32 = 1;

/// The envelope of a req, as the journal keeps it in the req's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Envelope {
    /// The sender's address; empty for a bounce.
    pub from: String,
    /// The recipient's address.
    pub to: String,
}

impl Envelope {
    /// In one text. Addresses hold no line ends.
    pub fn head(&self) -> String {
        format!("{}\n{}", self.from, self.to)
    }

    /// From that text.
    pub fn of(head: &str) -> Envelope {
        let (from, to) = head.split_once('\n').unwrap_or(("", head));
        Envelope { from: from.to_owned(), to: to.to_owned() }
    }
}

/// Takes orders for as long as there are any.
pub fn work(mail: &Mail, orders: &Receiver<Vec<Fetch>>) {
    for fetch in orders.iter().flatten() {
        let started = Instant::now();
        let (mut end, said, spare) = match attempt(mail, &fetch) {
            Ok((end, said, spare)) => (end, said, spare),
            Err(Fault { end, said }) => (end, said, None),
        };
        let called_off = mail.conns.fetch_ended(fetch.msg, fetch.attempt);
        if called_off && end == End::Broke {
            end = End::CalledOff;
        }
        if let (Some((stream, tag)), false) = (spare, called_off) {
            mail.conns.keep(&fetch.backend, stream, tag);
        }
        let latency = Micros(started.elapsed().as_micros() as u64);
        mail.courier.report(Report::Done { fetch, end, latency, load: Vec::new(), reply: said });
    }
}

struct Fault {
    end: End,
    said: String,
}

fn fault(end: End, said: impl Into<String>) -> Fault {
    Fault { end, said: said.into() }
}

type Spare = Option<(Arc<TcpStream>, u32)>;

/// One connection and what has been read from it.
struct Talk<'a> {
    stream: &'a TcpStream,
    buf: PooledBuffer,
    filled: usize,
    until: Instant,
}

impl Talk<'_> {
    /// Sends a command and reads its reply. Nothing of the message has run yet, so any break says that it never
    /// did.
    fn say(&mut self, command: &str) -> Result<Reply, Fault> {
        if !command.is_empty() {
            self.expect_no_input()?;
            conn::write_all(self.stream, format!("{command}\r\n").as_bytes(), self.until)
                .map_err(|e| fault(End::NotConnected, e.to_string()))?;
        }
        self.hear().map_err(|(_, said)| fault(End::NotConnected, said))
    }

    /// Fails if a reply has come that no command asked for, or if the connection has ended.
    fn expect_no_input(&self) -> Result<(), Fault> {
        if self.filled == 0 && conn::is_idle(self.stream) {
            return Ok(());
        }
        Err(fault(End::NotConnected, "the connection has ended, or a reply came that no command asked for"))
    }

    /// Ends the session after the text was accepted. The replies between that one and 221 show whether it was a copy of an
    /// earlier reply; then the end of the message is known only if all of them say the same.
    fn confirm_accepted(&mut self) -> End {
        if conn::write_all(self.stream, b"QUIT\r\n", self.until).is_err() {
            return End::Delivered;
        }
        let mut end = End::Delivered;
        for _ in 0..MAX_REPLIES_TO_QUIT {
            match self.hear() {
                Ok(reply) if reply.code == 221 => return end,
                Ok(reply) if (200..300).contains(&reply.code) => {}
                Ok(_) => end = End::Spoilt(None),
                Err((true, _)) => return End::TimedOut,
                // Some servers close without 221.
                Err((false, _)) => return end,
            }
        }
        End::Spoilt(None)
    }

    /// Reads one reply; an error says whether time ran out.
    fn hear(&mut self) -> Result<Reply, (bool, String)> {
        loop {
            match lines::reply(&self.buf[..self.filled]) {
                Ok(Some(reply)) => {
                    self.buf.copy_within(reply.len..self.filled, 0);
                    self.filled -= reply.len;
                    return Ok(reply);
                }
                Ok(None) => {}
                Err(e) => return Err((false, e.to_owned())),
            }
            match conn::read(self.stream, &mut self.buf[self.filled..], self.until) {
                Ok(0) => return Err((false, "the connection was closed".into())),
                Ok(n) => self.filled += n,
                Err(e) => return Err((errors::is_timeout(&e), e.to_string())),
            }
        }
    }
}

/// What a reply that is no success says of the message. It never ran.
fn refused(reply: &Reply) -> End {
    if reply.code >= 500 {
        return End::Rejected;
    }
    match (told_wait(reply), reply.enhanced()) {
        (Some(wait), _) => End::TurnedAway(Some(wait)),
        // It concerns this address or this mailbox; the partner as a whole is not busy.
        (None, Some((1 | 2 | 6, _))) if reply.code != 421 => End::Unsent,
        (None, None) if matches!(reply.code, 450 | 451) => End::Unsent,
        (None, _) => End::TurnedAway(None),
    }
}

fn told_wait(reply: &Reply) -> Option<Micros> {
    reply.wait_ms().map(|ms| Micros(ms.saturating_mul(1000)).min(WAIT_MOST))
}

fn words(reply: &Reply) -> String {
    format!("{} {}", reply.code, reply.text)
}

fn attempt(mail: &Mail, fetch: &Fetch) -> Result<(End, String, Spare), Fault> {
    let (clock, addr) = (&mail.courier.clock, fetch.backend.addr);
    let until = clock.instant(fetch.deadline);
    let envelope = Envelope::of(&fetch.req.head);
    // The name of a backend begins with its destination.
    let protocol = MailBackend::protocol(fetch.backend.name.split_once('/').map_or("", |p| p.1));
    let (stream, known) = match mail.conns.reuse(&fetch.backend) {
        Some((stream, tag)) => (stream, Some(tag)),
        None => {
            let up_by = until.min(clock.instant(clock.now() + CONNECT));
            let end =
                |e: &std::io::Error| if errors::is_local(e) { End::NotBegun } else { End::NotConnected };
            let stream = mail.door.connect(addr, up_by).map_err(|e| fault(end(&e), e.to_string()))?;
            (Arc::new(stream), None)
        }
    };
    if !mail.conns.fetch_connected(fetch.msg, fetch.attempt, &stream) {
        return Err(fault(End::NotBegun, "called off"));
    }
    let mut talk = Talk { stream: &stream, buf: mail.pool.get(), filled: 0, until };
    let extensions = match known {
        Some(tag) => tag,
        None => greet(mail, &mut talk, protocol)?,
    };
    let eight_bit = !fetch.req.body.is_ascii();
    if eight_bit && extensions & EIGHT_BIT == 0 {
        let said = "554 5.6.3 the partner's server takes no 8-bit text";
        return Ok((End::Rejected, said.into(), Some((stream.clone(), extensions))));
    }
    // The last look before the transaction's first byte: connecting and greeting may have taken long.
    if mail.courier.report(Report::Begin(fetch.clone())) != Answer::MayBegin(true) {
        return Ok((End::NotBegun, String::new(), Some((stream.clone(), extensions))));
    }
    let body = if eight_bit { " BODY=8BITMIME" } else { "" };
    let first = talk.say(&format!("MAIL FROM:<{}>{body}", envelope.from));
    // A connection that was idle may have been closed for that just now; it says nothing of the server.
    let first = first.map_err(|f| if known.is_some() { fault(End::NotBegun, f.said) } else { f });
    let mut reply = first?;
    if reply.code == 250 {
        reply = talk.say(&format!("RCPT TO:<{}>", envelope.to))?;
    }
    if matches!(reply.code, 250 | 251) {
        reply = talk.say("DATA")?;
    }
    if reply.code != 354 {
        // A server that says 2yz where 354 is due does not speak the protocol; nothing was sent.
        let end = if reply.code < 400 { End::NotConnected } else { refused(&reply) };
        // An error means that the connection has ended already.
        let _ = conn::write_all(&stream, b"QUIT\r\n", until);
        return Ok((end, words(&reply), None));
    }
    talk.expect_no_input()?;
    let text = lines::stuffed(&fetch.req.body);
    conn::write_all(&stream, &text, until).map_err(|e| fault(End::NotConnected, e.to_string()))?;
    mail.courier.board.count_written();
    // From here on it may have run. LMTP answers once for each recipient, and there is one.
    match talk.hear() {
        Ok(reply) => {
            let end = match reply.code {
                200..=299 => talk.confirm_accepted(),
                400.. => refused(&reply),
                _ => End::Failed,
            };
            Ok((end, words(&reply), None))
        }
        Err((true, said)) => Err(fault(End::TimedOut, said)),
        Err((false, said)) => Err(fault(End::Broke, said)),
    }
}

/// Greeting and hello; the server's extensions that matter here.
fn greet(mail: &Mail, talk: &mut Talk, protocol: Protocol) -> Result<u32, Fault> {
    let hello = talk.say("")?;
    if hello.code != 220 {
        // The server as a whole refuses; it says nothing of this message.
        return Err(fault(End::TurnedAway(told_wait(&hello)), words(&hello)));
    }
    let host = &mail.config.hostname;
    let mut reply = match protocol {
        Protocol::Smtp => talk.say(&format!("EHLO {host}"))?,
        Protocol::Lmtp => talk.say(&format!("LHLO {host}"))?,
    };
    if protocol == Protocol::Smtp && matches!(reply.code, 500..=504) {
        reply = talk.say(&format!("HELO {host}"))?;
        reply.lines.clear();
    }
    if reply.code != 250 {
        return Err(fault(End::TurnedAway(told_wait(&reply)), words(&reply)));
    }
    let has = |name: &str| reply.lines.iter().skip(1).any(|l| l.eq_ignore_ascii_case(name));
    Ok(if has("8BITMIME") { EIGHT_BIT } else { 0 })
}
