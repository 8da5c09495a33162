//! Client sessions: one request at a time, read by the connection acceptor. Every request that was read completely is answered
//! at once: it is accepted, gets a synthetic answer, or is refused with the reason.

use super::http::{self, ParseError, RequestHead};
use super::{Platform, FRONT};
use crate::api::Micros;
use crate::core::{Answer, Req};
use crate::net::acceptor::{ClientProtocol, CloseReason, Parsed, Reply};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// Base of the pause before a client's next request after an invalid one. It is doubled with each invalid request, from the
/// first on. Clients that repeat a refused request at once would otherwise take processor time from all others.
const FAULT_PAUSE: Micros = Micros(10_000);
/// Bound on the exponent of that pause.
const MAX_FAULT_PAUSE_DOUBLINGS: u32 = 5;
/// Subtracted from the deadline of a connection's first request. A client counts its deadline from the moment it sent the
/// request, and an end is overdue 300 ms after the deadline. The first request may have waited until the connection was
/// admitted, for as long as its client waits for the answer, 400 ms.
const FIRST_REQUEST_SKEW: Micros = Micros(400_000);
/// The same for later requests, which are read as soon as the acceptor's thread wakes.
const REQUEST_SKEW: Micros = Micros(100_000);
/// Maximum length of an id and of a key.
const MAX_TOKEN_BYTES: usize = 256;
/// Maximum deadline of a req.
const MAX_DEADLINE_MS: u64 = 24 * 3600 * 1000;

/// Handles the requests of client sessions.
pub struct ClientSessions(pub Arc<Platform>);

/// The state of one session.
#[derive(Serialize, Deserialize)]
pub struct SessionState {
    /// Subtracted from the deadline of the next request.
    skew: Micros,
    /// Invalid requests so far.
    faults: u32,
    /// The current request expected `100 Continue`, which has been sent.
    continued: bool,
}

/// A req to submit, and whether the connection closes after the answer.
pub struct Submission {
    req: Req,
    close: bool,
}

impl ClientProtocol for ClientSessions {
    type Session = SessionState;
    type Request = Submission;

    fn open(&self, _from: SocketAddr, _out: &mut Vec<u8>) -> SessionState {
        SessionState { skew: FIRST_REQUEST_SKEW, faults: 0, continued: false }
    }

    fn parse(
        &self, state: &mut SessionState, bytes: &[u8], out: &mut Vec<u8>,
    ) -> (usize, Parsed<Submission>) {
        let platform = &*self.0;
        let head = match http::parse_request(bytes) {
            Err(e) => {
                out.extend(parse_error_response(e).as_bytes());
                return (bytes.len(), Parsed::Closing);
            }
            Ok(None) => return (0, Parsed::Incomplete { begun: !bytes.is_empty() }),
            Ok(Some(head)) => head,
        };
        let end = head.head_len + head.body_len;
        if bytes.len() < end {
            if head.expects_continue && !state.continued {
                state.continued = true;
                out.extend(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            return (0, Parsed::Incomplete { begun: true });
        }
        state.continued = false;
        // Requests that were read and not answered are lost when the connection closes, so only the answer to the last request
        // in the buffer announces the close.
        let closing = platform.acceptor.closing() || platform.courier.front_closed(FRONT);
        let close = head.close || closing && bytes.len() == end;
        let parsed = match parse_submission(
            platform,
            &head,
            &bytes[head.head_len..end],
            std::mem::replace(&mut state.skew, REQUEST_SKEW),
        ) {
            Ok(req) => Parsed::Request(Submission { req, close }),
            Err(response) => {
                out.extend(response.text(close).as_bytes());
                match close {
                    true => Parsed::Closing,
                    false => Parsed::Answered { fault: response.fault },
                }
            }
        };
        (end, parsed)
    }

    fn answer(&self, submissions: Vec<Submission>) -> Vec<Reply> {
        let (reqs, closes): (Vec<Req>, Vec<bool>) =
            submissions.into_iter().map(|submission| (submission.req, submission.close)).unzip();
        let answers = self.0.courier.hand_in(reqs);
        answers.into_iter().zip(closes).map(|(answer, close)| self.reply(answer, close)).collect()
    }

    fn replies_written(&self, results: &[(u64, bool)]) {
        self.0.courier.answered(results);
    }

    fn fault_pause(&self, state: &mut SessionState) -> Micros {
        state.faults += 1;
        FAULT_PAUSE.scale(f64::from(1 << state.faults.min(MAX_FAULT_PAUSE_DOUBLINGS)))
    }

    fn export_session(&self, state: &SessionState) -> Vec<u8> {
        // Serializing plain numbers cannot fail.
        serde_json::to_vec(state).unwrap_or_default()
    }

    fn import_session(&self, from: SocketAddr, bytes: &[u8]) -> SessionState {
        serde_json::from_slice(bytes).unwrap_or_else(|_| self.open(from, &mut Vec::new()))
    }

    fn closing_reply(&self, reason: CloseReason) -> &'static str {
        match reason {
            CloseReason::Half => "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
            CloseReason::Full | CloseReason::Gone => {
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
            }
            // Bytes sent on an idle connection would be read as the answer to a request that is on its way.
            CloseReason::Idle => "",
        }
    }

    /// No refusal is sent, because it would be lost: the request that is on its way to the closed connection causes a reset.
    /// So a new client waits for a place, for a time that the admission rules bound.
    fn refusal(&self) -> Option<&'static str> {
        None
    }
}

impl ClientSessions {
    fn reply(&self, answer: Answer, close: bool) -> Reply {
        let courier = &self.0.courier;
        let mut accepted_message = None;
        let response = match answer {
            Answer::Taken(msg) => {
                accepted_message = Some(msg);
                Response::new("202 Accepted")
            }
            Answer::Known => Response::new("202 Accepted"),
            Answer::Refused(wait) | Answer::NoRoomForId(wait) => Response {
                headers: format!("Retry-After: {:.3}\r\n", wait.secs()),
                ..Response::new("503 Service Unavailable")
            },
            Answer::Draining { wait, drain } => {
                let link = courier
                    .alternative_address(drain)
                    .map(|at| format!("Link: <{at}>; rel=\"alternate\"\r\n"));
                let headers = format!("Retry-After: {:.3}\r\n{}", wait.secs(), link.unwrap_or_default());
                Response { headers, body: "draining\n".into(), ..Response::new("503 Service Unavailable") }
            }
            Answer::NoSuchDest => Response::fault("404 Not Found", "X-Addressing: no such destination\n"),
            Answer::MayBegin(_) | Answer::Acknowledged => Response::new("500 Internal Server Error"),
        };
        Reply { text: response.text(close), close, fault: response.fault, accepted_message }
    }
}

/// A response before it is formatted.
struct Response {
    status: &'static str,
    headers: String,
    body: String,
    /// The request was invalid.
    fault: bool,
}

impl Response {
    fn new(status: &'static str) -> Response {
        Response { status, headers: String::new(), body: String::new(), fault: false }
    }

    fn fault(status: &'static str, body: &str) -> Response {
        Response { body: body.to_owned(), fault: true, ..Response::new(status) }
    }

    fn text(&self, close: bool) -> String {
        let connection = if close { "Connection: close\r\n" } else { "" };
        let (status, headers, body) = (self.status, &self.headers, &self.body);
        format!("HTTP/1.1 {status}\r\n{headers}{connection}Content-Length: {}\r\n\r\n{body}", body.len())
    }
}

fn parse_error_response(e: ParseError) -> String {
    Response::new(e.status()).text(true)
}

/// The req that a request submits, or the response to a request that submits none.
fn parse_submission(
    platform: &Platform, head: &RequestHead, body: &[u8], skew: Micros,
) -> Result<Req, Response> {
    let path = head.path.split('?').next().unwrap_or_default();
    let not_allowed = |allow: &str| Response {
        headers: format!("Allow: {allow}\r\n"),
        ..Response::fault("405 Method Not Allowed", "")
    };
    match (head.method.as_str(), path) {
        ("POST", "/api") => {}
        ("GET", "/health/ready") if !platform.courier.ready(FRONT) => {
            return Err(Response {
                headers: "Retry-After: 1\r\n".into(),
                body: "no backend is known yet\n".into(),
                ..Response::new("503 Service Unavailable")
            })
        }
        ("GET", "/health/ready" | "/health/live") => {
            return Err(Response { body: "ok\n".into(), ..Response::new("200 OK") })
        }
        (_, "/api") => return Err(not_allowed("POST")),
        (_, "/health/ready" | "/health/live") => return Err(not_allowed("GET")),
        _ => return Err(Response::fault("404 Not Found", "no such path\n")),
    }
    parse_req(platform, head, body, skew)
        .map_err(|reason| Response::fault("400 Bad Request", &format!("{reason}\n")))
}

/// The req, or the reason for which it is invalid.
fn parse_req(
    platform: &Platform, head: &RequestHead, body: &[u8], skew: Micros,
) -> Result<Req, &'static str> {
    let position = |names: &[String], name: &Option<String>| {
        let name = name.as_deref()?;
        names.iter().position(|known| known == name).and_then(|index| u16::try_from(index).ok())
    };
    let is_token = |text: &str| {
        !text.is_empty() && text.len() <= MAX_TOKEN_BYTES && text.bytes().all(|byte| byte.is_ascii_graphic())
    };
    let id = head.id.clone().filter(|id| is_token(id)).ok_or("Req-Id: missing or malformed")?;
    let key = head.key.clone().unwrap_or_default();
    if head.key.is_some() && !is_token(&key) {
        return Err("Idempotency-Key: malformed");
    }
    let ms =
        head.deadline_ms.filter(|ms| *ms <= MAX_DEADLINE_MS).ok_or("Req-Deadline-Ms: missing or too long")?;
    let tenant = if platform.settings.tenants.is_empty() {
        Some(0)
    } else {
        position(&platform.settings.tenants, &head.tenant)
    };
    Ok(Req {
        id,
        front: FRONT,
        dest: head.dest.ok_or("X-Addressing: missing or malformed")?,
        class: position(&platform.settings.classes, &head.class).ok_or("Req-Kind: no such class")?,
        tenant: tenant.ok_or("Req-Owner: no such tenant")?,
        due: platform.courier.clock.now() + Micros(ms * 1000) - skew.min(Micros(ms * 250)),
        head: key,
        body: body.into(),
        keep_id_until: Micros(0),
    })
}
