//! Client sessions: one request at a time, read by the connection acceptor. Every request that was read whole gets its
//! answer at once: taken, a synthetic answer, or a clear failure.

use super::http::{self, Bad, RequestHead};
use super::{Platform, FRONT};
use crate::api::Micros;
use crate::core::{Answer, Req};
use crate::net::acceptor::{ClientProtocol, CloseReason, Parsed, Reply};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// After a request that can't be used the next one of its client waits, twice as long each time. Danger: clients that
/// send the same again as soon as it is turned away take the processor from all others.
const FAULT: Micros = Micros(10_000);
const FAULT_DOUBLES: u32 = 5;
/// Danger: a client counts its deadline from when it sent the request, and an end is overdue 300 ms after that. The first
/// request of a connection may have waited for as long as its client waits for the answer, 400 ms, before the connection
/// was let in; a later one is read as soon as the acceptor wakes. So this much is taken off the deadline.
const SKEW_FIRST: Micros = Micros(400_000);
const SKEW: Micros = Micros(100_000);
/// The longest id, key and deadline that are taken.
const NAME_MOST: usize = 256;
const DEADLINE_MS_MOST: u64 = 24 * 3600 * 1000;

/// The platform's clients.
pub struct Clients(pub Arc<Platform>);

/// What is remembered of one.
#[derive(Serialize, Deserialize)]
pub struct Talk {
    skew: Micros,
    faults: u32,
    /// It waited for a word before it sent the body, and has heard it.
    continued: bool,
}

/// A req to be handed in, and whether its answer is the last word.
pub struct Ask {
    req: Req,
    last: bool,
}

impl ClientProtocol for Clients {
    type Session = Talk;
    type Request = Ask;

    fn open(&self, _from: SocketAddr, _out: &mut Vec<u8>) -> Talk {
        Talk { skew: SKEW_FIRST, faults: 0, continued: false }
    }

    fn parse(&self, talk: &mut Talk, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Parsed<Ask>) {
        let platform = &*self.0;
        let head = match http::request(bytes) {
            Err(bad) => {
                out.extend(turn_away(bad).as_bytes());
                return (bytes.len(), Parsed::Closing);
            }
            Ok(None) => return (0, Parsed::Incomplete { begun: !bytes.is_empty() }),
            Ok(Some(head)) => head,
        };
        let end = head.head + head.body;
        if bytes.len() < end {
            if head.expects && !talk.continued {
                talk.continued = true;
                out.extend(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return (0, Parsed::Incomplete { begun: true });
        }
        talk.continued = false;
        // Danger: what is read behind this request and not answered is lost; so only the last that was read is told to be it.
        let ends = platform.door.closing() || platform.courier.front_closed(FRONT);
        let last = head.close || ends && bytes.len() == end;
        let heard =
            match request(platform, &head, &bytes[head.head..end], std::mem::replace(&mut talk.skew, SKEW)) {
                Ok(req) => Parsed::Request(Ask { req, last }),
                Err(say) => {
                    out.extend(say.text(last).as_bytes());
                    match last {
                        true => Parsed::Closing,
                        false => Parsed::Answered { fault: say.fault },
                    }
                }
            };
        (end, heard)
    }

    fn answer(&self, asks: Vec<Ask>) -> Vec<Reply> {
        let (reqs, lasts): (Vec<Req>, Vec<bool>) = asks.into_iter().map(|ask| (ask.req, ask.last)).unzip();
        let answers = self.0.courier.hand_in(reqs);
        answers.into_iter().zip(lasts).map(|(answer, last)| self.reply(answer, last)).collect()
    }

    fn replies_written(&self, receipts: &[(u64, bool)]) {
        self.0.courier.answered(receipts);
    }

    fn fault_pause(&self, talk: &mut Talk) -> Micros {
        talk.faults += 1;
        FAULT.scale(f64::from(1 << talk.faults.min(FAULT_DOUBLES)))
    }

    fn export_session(&self, talk: &Talk) -> Vec<u8> {
        // Plain numbers can't fail to be written.
        serde_json::to_vec(talk).unwrap_or_default()
    }

    fn import_session(&self, from: SocketAddr, words: &[u8]) -> Talk {
        serde_json::from_slice(words).unwrap_or_else(|_| self.open(from, &mut Vec::new()))
    }

    fn closing_reply(&self, why: CloseReason) -> &'static str {
        match why {
            CloseReason::Half => "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            CloseReason::Full | CloseReason::Gone => {
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            // Danger: what is said on an idle connection would be read as the answer to a request that crosses it.
            CloseReason::Idle => "",
        }
    }

    /// Danger: a refusal that is sent across a newcomer's request is lost with the connection's reset; so it waits for a
    /// place, which the admission bounds.
    fn refusal(&self) -> Option<&'static str> {
        None
    }
}

impl Clients {
    fn reply(&self, answer: Answer, last: bool) -> Reply {
        let courier = &self.0.courier;
        let mut receipt = None;
        let say = match answer {
            Answer::Taken(msg) => {
                receipt = Some(msg);
                Say::of("202 Accepted")
            }
            Answer::Known => Say::of("202 Accepted"),
            Answer::Refused(wait) => Say {
                headers: format!("Retry-After: {:.3}\r\n", wait.secs()),
                ..Say::of("503 Service Unavailable")
            },
            Answer::Draining { wait, drain } => {
                let link = courier
                    .alternative_address(drain)
                    .map(|at| format!("Link: <{at}>; rel=\"alternate\"\r\n"));
                let headers = format!("Retry-After: {:.3}\r\n{}", wait.secs(), link.unwrap_or_default());
                Say { headers, body: "draining\n".into(), ..Say::of("503 Service Unavailable") }
            }
            Answer::NoSuchDest => Say::fault("404 Not Found", "X-Addressing: no such destination\n"),
            Answer::MayBegin(_) | Answer::Acknowledged => Say::of("500 Internal Server Error"),
        };
        Reply { text: say.text(last), close: last, fault: say.fault, accepted_message: receipt }
    }
}

/// An answer before it is put into words.
struct Say {
    status: &'static str,
    headers: String,
    body: String,
    /// The request can't be used.
    fault: bool,
}

impl Say {
    fn of(status: &'static str) -> Say {
        Say { status, headers: String::new(), body: String::new(), fault: false }
    }

    fn fault(status: &'static str, body: &str) -> Say {
        Say { body: body.to_owned(), fault: true, ..Say::of(status) }
    }

    fn text(&self, last: bool) -> String {
        let close = if last { "Connection: close\r\n" } else { "" };
        let (status, headers, body) = (self.status, &self.headers, &self.body);
        format!("HTTP/1.1 {status}\r\n{headers}{close}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

fn turn_away(bad: Bad) -> String {
    Say::of(bad.status()).text(true)
}

/// The req of a request, or the answer to a request that has none.
fn request(platform: &Platform, head: &RequestHead, body: &[u8], skew: Micros) -> Result<Req, Say> {
    let path = head.path.split('?').next().unwrap_or_default();
    let not_allowed = |allow: &str| Say {
        headers: format!("Allow: {allow}\r\n"),
        ..Say::fault("405 Method Not Allowed", "")
    };
    match (head.method.as_str(), path) {
        ("POST", "/api") => {}
        ("GET", "/health/ready") if !platform.courier.ready(FRONT) => {
            return Err(Say {
                headers: "Retry-After: 1\r\n".into(),
                body: "no backend is known yet\n".into(),
                ..Say::of("503 Service Unavailable")
            })
        }
        ("GET", "/health/ready" | "/health/live") => {
            return Err(Say { body: "ok\n".into(), ..Say::of("200 OK") })
        }
        (_, "/api") => return Err(not_allowed("POST")),
        (_, "/health/ready" | "/health/live") => return Err(not_allowed("GET")),
        _ => return Err(Say::fault("404 Not Found", "no such path\n")),
    }
    req(platform, head, body, skew).map_err(|why| Say::fault("400 Bad Request", &format!("{why}\n")))
}

/// The req, or what is wrong with it.
fn req(platform: &Platform, head: &RequestHead, body: &[u8], skew: Micros) -> Result<Req, &'static str> {
    let place = |list: &[String], name: &Option<String>| {
        let name = name.as_deref()?;
        list.iter().position(|n| n == name).and_then(|n| u16::try_from(n).ok())
    };
    let token = |t: &str| !t.is_empty() && t.len() <= NAME_MOST && t.bytes().all(|b| b.is_ascii_graphic());
    let id = head.id.clone().filter(|id| token(id)).ok_or("Req-Id: missing or malformed")?;
    let key = head.key.clone().unwrap_or_default();
    if head.key.is_some() && !token(&key) {
        return Err("Idempotency-Key: malformed");
    }
    let ms = head
        .deadline_ms
        .filter(|ms| *ms <= DEADLINE_MS_MOST)
        .ok_or("Req-Deadline-Ms: missing or too long")?;
    let tenant = if platform.names.tenants.is_empty() {
        Some(0)
    } else {
        place(&platform.names.tenants, &head.tenant)
    };
    Ok(Req {
        id,
        front: FRONT,
        dest: head.dest.ok_or("X-Addressing: missing or malformed")?,
        class: place(&platform.names.classes, &head.class).ok_or("Req-Kind: no such class")?,
        tenant: tenant.ok_or("Req-Owner: no such tenant")?,
        due: platform.courier.clock.now() + Micros(ms * 1000) - skew.min(Micros(ms * 250)),
        head: key,
        body: body.into(),
        keep_id_until: Micros(0),
    })
}
