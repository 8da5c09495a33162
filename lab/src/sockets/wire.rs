//! The platform's protocol from the other side: what partners, the register and clients read and write. Parsing by httparse;
//! nothing here panics whatever comes.

use crate::record::MsgNo;
use crate::world::{EndpointNo, Listed, Reply};
use indigohold::Micros;
use serde::Deserialize;
use std::net::SocketAddr;

const HEADERS: usize = 32;
/// The longest message that is taken.
const MOST: usize = 1 << 20;

/// What lies in a buffer.
#[derive(Debug, PartialEq)]
pub enum Incoming<T> {
    /// Not all of it yet.
    Part,
    /// Something whole, and how many bytes it takes.
    Whole(T, usize),
    /// Something that can't be read.
    Bad(String),
}

/// A request.
#[derive(Debug, Default, PartialEq)]
pub struct Asked {
    /// Path and query.
    pub path: String,
    /// `Req-Id`.
    pub id: String,
    /// The body.
    pub body: Vec<u8>,
}

/// An answer.
#[derive(Debug, Default, PartialEq)]
pub struct Answered {
    /// Its status.
    pub status: u16,
    /// `Retry-After`.
    pub wait: Option<Micros>,
    /// The connection is closed after it.
    pub closes: bool,
}

fn length(headers: &[httparse::Header]) -> Result<usize, String> {
    let mut found = None;
    for header in headers {
        if header.name.eq_ignore_ascii_case("transfer-encoding") {
            return Err("a coded body".into());
        }
        if header.name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(header.value).unwrap_or_default().trim();
            let len: usize = text.parse().map_err(|_| format!("a length of {text:?}"))?;
            if len > MOST || found.is_some_and(|before| before != len) {
                return Err(format!("a length of {len}"));
            }
            found = Some(len);
        }
    }
    Ok(found.unwrap_or(0))
}

fn value<'a>(headers: &[httparse::Header<'a>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// The request at the beginning of a buffer.
pub fn request(held: &[u8]) -> Incoming<Asked> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let begins = match head.parse(held) {
        Ok(httparse::Status::Complete(at)) => at,
        Ok(httparse::Status::Partial) if held.len() < MOST => return Incoming::Part,
        Ok(httparse::Status::Partial) => return Incoming::Bad("a head without end".into()),
        Err(e) => return Incoming::Bad(e.to_string()),
    };
    let len = match length(head.headers) {
        Ok(len) => len,
        Err(what) => return Incoming::Bad(what),
    };
    let Some(body) = held.get(begins..begins + len) else { return Incoming::Part };
    let asked = Asked {
        path: head.path.unwrap_or_default().to_owned(),
        id: value(head.headers, "req-id").unwrap_or_default().to_owned(),
        body: body.to_vec(),
    };
    Incoming::Whole(asked, begins + len)
}

/// The answer at the beginning of a buffer.
pub fn answer(held: &[u8]) -> Incoming<Answered> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let begins = match head.parse(held) {
        Ok(httparse::Status::Complete(at)) => at,
        Ok(httparse::Status::Partial) if held.len() < MOST => return Incoming::Part,
        Ok(httparse::Status::Partial) => return Incoming::Bad("a head without end".into()),
        Err(e) => return Incoming::Bad(e.to_string()),
    };
    let len = match length(head.headers) {
        Ok(len) => len,
        Err(what) => return Incoming::Bad(what),
    };
    if held.len() < begins + len {
        return Incoming::Part;
    }
    let wait = value(head.headers, "retry-after").and_then(|text| text.parse::<f64>().ok());
    let answered = Answered {
        status: head.code.unwrap_or(0),
        wait: wait.filter(|secs| secs.is_finite() && *secs >= 0.0).map(Micros::from_secs),
        closes: value(head.headers, "connection").is_some_and(|v| v.eq_ignore_ascii_case("close")),
    };
    Incoming::Whole(answered, begins + len)
}

/// A partner's answer; `None`: it breaks the connection.
pub fn reply(reply: Reply) -> Option<String> {
    let text = |line: &str, more: &str| Some(format!("HTTP/1.1 {line}\r\n{more}Content-Length: 0\r\n\r\n"));
    match reply {
        Reply::Ok => text("200 OK", ""),
        Reply::Error => text("500 Internal Server Error", ""),
        Reply::Full(Some(wait)) => {
            text("429 Too Many Requests", &format!("X-RateLimit-Wait-Ms: {}\r\n", wait.0.div_ceil(1000)))
        }
        Reply::Full(None) => text("503 Service Unavailable", ""),
        Reply::Break => None,
    }
}

/// A message as a client hands it in; its id says how manieth time that is.
pub fn hand_in(msg: MsgNo, tries: u32, class: &str, tenant: &str, left_ms: u64, dest: usize) -> String {
    let body = "ten trumpet parts";
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {msg}.{tries}\r\nReq-Kind: {class}\r\n\
         Req-Owner: {tenant}\r\nReq-Deadline-Ms: {left_ms}\r\nIdempotency-Key: k{msg}\r\n\
         X-Addressing: dest={dest}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A client's message by the id under which it was handed in; one that nobody handed in has no number.
pub fn number_of(id: &str) -> MsgNo {
    id.split_once('.').and_then(|(msg, _)| msg.parse().ok()).unwrap_or(MsgNo::MAX)
}

/// One entry of the register's list.
pub fn entry(at: EndpointNo, dest: usize, weight: f64, state: Listed, addr: SocketAddr) -> String {
    let lifecycle = match state {
        Listed::Up => "up",
        Listed::Draining => "draining",
        Listed::Gone => "removed",
    };
    format!(
        "{{\"instanceId\":\"e{at}\",\"hostPort\":\"{addr}\",\"zone\":\"z\",\"machineType\":\"partner\",\"cell\":{dest},\
         \"lifecycle\":\"{lifecycle}\",\"weight\":{weight:.3},\"startedAtMs\":0}}"
    )
}

/// A part of a chunked answer.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A notice.
#[derive(Debug, Deserialize, PartialEq)]
pub struct Notice {
    /// Id of the message.
    pub message: String,
    /// `given_up` or `handed_back`.
    pub outcome: String,
    /// When the client is to come again.
    pub retry_in_ms: Option<u64>,
}

/// The notices in a body, one a line.
pub fn notices(body: &[u8]) -> Vec<Result<Notice, String>> {
    let lines = body.split(|b| *b == b'\n').filter(|line| !line.is_empty());
    let read = |line: &[u8]| {
        serde_json::from_slice::<Notice>(line).map_err(|e| format!("{}: {e}", String::from_utf8_lossy(line)))
    };
    lines.map(read).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_handed_in_is_read_whole_at_every_cut() {
        let text = hand_in(7, 2, "order", "tallowood", 900, 3);
        for cut in 0..text.len() {
            assert_eq!(request(&text.as_bytes()[..cut]), Incoming::Part, "{cut}");
        }
        let more = format!("{text}POST");
        let Incoming::Whole(asked, len) = request(more.as_bytes()) else { panic!("it is whole") };
        assert_eq!((asked.id.as_str(), len), ("7.2", text.len()));
        assert_eq!(number_of(&asked.id), 7);
        assert_eq!(number_of("something else"), MsgNo::MAX);
    }

    #[test]
    fn answers_tell_their_wait_and_bad_ones_are_told() {
        let text = "HTTP/1.1 429 Later\r\nRetry-After: 1.5\r\nContent-Length: 2\r\n\r\nno";
        let Incoming::Whole(answered, len) = answer(text.as_bytes()) else { panic!("it is whole") };
        assert_eq!((answered.status, answered.wait, len), (429, Some(Micros(1_500_000)), text.len()));
        let two = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n";
        assert!(matches!(answer(two.as_bytes()), Incoming::Bad(_)));
        assert!(matches!(request(b"\x00\x01\x02 / HTTP/1.1\r\n\r\n"), Incoming::Bad(_)));
        let read = notices(b"{\"message\":\"1.1\",\"outcome\":\"handed_back\",\"retry_in_ms\":5}\nrubbish\n");
        assert_eq!(read[0].as_ref().unwrap().retry_in_ms, Some(5));
        assert!(read.len() == 2 && read[1].is_err());
    }
}
