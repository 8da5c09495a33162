//! HTTP/1.1 heads, read with httparse: requests of clients, answers of endpoints and of discovery.

use crate::api::Micros;
use crate::net::pool::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

const HEADERS_MOST: usize = 64;
/// The longest told wait that is believed; no message lives so long.
const WAIT_MOST: Micros = Micros(600_000_000);

/// Why a request can't be read; the status that says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bad {
    /// Malformed.
    Malformed,
    /// Its length is not told.
    NoLength,
    /// The body is too long.
    Body,
    /// The head is too long.
    Head,
}

impl Bad {
    /// The status line's end.
    pub fn status(self) -> &'static str {
        match self {
            Bad::Malformed => "400 Bad Request",
            Bad::NoLength => "411 Length Required",
            Bad::Body => "413 Content Too Large",
            Bad::Head => "431 Request Header Fields Too Large",
        }
    }
}

/// The head of a request, as places in its buffer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// Bytes of the head.
    pub head: usize,
    /// Bytes of the body.
    pub body: usize,
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// The client wants the connection closed.
    pub close: bool,
    /// The client waits for a word before it sends the body.
    pub expects: bool,
    /// `Req-Id`
    pub id: Option<String>,
    /// `Req-Kind`
    pub class: Option<String>,
    /// `Req-Owner`
    pub tenant: Option<String>,
    /// `Req-Deadline-Ms`
    pub deadline_ms: Option<u64>,
    /// `X-Addressing`: `dest`
    pub dest: Option<u16>,
    /// `Idempotency-Key`
    pub key: Option<String>,
}

/// Reads a request's head; `None`: more bytes are needed.
pub fn request(bytes: &[u8]) -> Result<Option<RequestHead>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Request::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n > MAX_HEAD_BYTES => return Err(Bad::Head),
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => return Err(Bad::Head),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(Bad::Head),
        Err(_) => return Err(Bad::Malformed),
    };
    let mut out = RequestHead {
        head,
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        close: parsed.version == Some(0),
        ..RequestHead::default()
    };
    let mut length = None;
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| Bad::Malformed)?.trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let n = digits(value).ok_or(Bad::Malformed)?;
            // Two lengths that differ make two readers see two requests.
            if length.is_some_and(|l| l != n) {
                return Err(Bad::Malformed);
            }
            length = Some(n);
        } else if is("transfer-encoding") {
            return Err(Bad::NoLength);
        } else if is("connection") {
            out.close |= has_token(value, "close");
        } else if is("expect") {
            out.expects = value.eq_ignore_ascii_case("100-continue");
        } else if is("req-id") {
            out.id = Some(value.to_owned());
        } else if is("req-kind") {
            out.class = Some(value.to_owned());
        } else if is("req-owner") {
            out.tenant = Some(value.to_owned());
        } else if is("req-deadline-ms") {
            out.deadline_ms = Some(digits(value).ok_or(Bad::Malformed)?);
        } else if is("x-addressing") {
            out.dest = addressing(value);
        } else if is("idempotency-key") {
            out.key = Some(value.to_owned());
        }
    }
    if length.is_none() && matches!(out.method.as_str(), "POST" | "PUT" | "PATCH") {
        return Err(Bad::NoLength);
    }
    out.body = usize::try_from(length.unwrap_or(0)).ok().filter(|n| *n <= MAX_BODY_BYTES).ok_or(Bad::Body)?;
    Ok(Some(out))
}

/// Digits only: `parse` alone would take a sign.
fn digits(value: &str) -> Option<u64> {
    value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok()).flatten()
}

fn has_token(value: &str, token: &str) -> bool {
    value.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// `dest=7`, alone or among others.
fn addressing(value: &str) -> Option<u16> {
    let pairs = value.split([',', ';']).filter_map(|p| p.trim().split_once('='));
    pairs.filter(|(k, _)| k.trim() == "dest").find_map(|(_, v)| v.trim().parse().ok())
}

/// How the body of an answer ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// After so many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// With the connection.
    Close,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerHead {
    /// Bytes of the head.
    pub head: usize,
    /// Status.
    pub status: u16,
    /// How its body ends.
    pub body: Body,
    /// The connection closes after it.
    pub close: bool,
    /// `X-RateLimit-Wait-Ms`
    pub wait: Option<Micros>,
    /// `X-Over-Slots`
    pub over_slots: bool,
    /// `Srv-Load`, by the names asked for; empty where the answer has none.
    pub load: Vec<f32>,
}

/// Reads an answer's head; `None`: more bytes are needed. An interim answer (1xx) is for the caller to skip.
pub fn answer(bytes: &[u8], load_names: &[String]) -> Result<Option<AnswerHead>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MOST];
    let mut parsed = httparse::Response::new(&mut headers);
    let head = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => return Err(Bad::Head),
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(Bad::Malformed),
    };
    let status = parsed.code.unwrap_or(0);
    let mut out = AnswerHead {
        head,
        status,
        body: Body::Close,
        close: parsed.version == Some(0),
        wait: None,
        over_slots: false,
        load: Vec::new(),
    };
    let (mut length, mut chunked) = (None, false);
    for header in parsed.headers.iter() {
        // What is not text is no length and no number that is looked for here.
        let value = std::str::from_utf8(header.value).unwrap_or("\0");
        let (value, is) = (value.trim(), |name: &str| header.name.eq_ignore_ascii_case(name));
        if is("content-length") {
            let n = digits(value).and_then(|n| usize::try_from(n).ok()).ok_or(Bad::Malformed)?;
            if length.is_some_and(|l| l != n) {
                return Err(Bad::Malformed);
            }
            length = Some(n);
        } else if is("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
            if !chunked {
                return Err(Bad::Malformed);
            }
        } else if is("connection") {
            out.close |= has_token(value, "close");
        } else if is("x-ratelimit-wait-ms") {
            let ms = value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms > 0.0);
            out.wait = ms.map(|ms| Micros::from_secs(ms / 1e3).min(WAIT_MOST));
        } else if is("x-over-slots") {
            out.over_slots = value == "1";
        } else if is("srv-load") {
            out.load = load(value, load_names);
        }
    }
    out.body = match (status, length, chunked) {
        (_, Some(_), true) => return Err(Bad::Malformed),
        (100..=199 | 204 | 304, ..) => Body::Length(0),
        (_, _, true) => Body::Chunked,
        (_, Some(n), false) => Body::Length(n),
        (_, None, false) => Body::Close,
    };
    out.close |= out.body == Body::Close;
    Ok(Some(out))
}

/// The first line of an answer is there and says 200, whatever follows.
pub fn says_200(bytes: &[u8]) -> bool {
    let line =
        bytes.split(|b| *b == b'\n').next().filter(|line| line.len() < bytes.len()).unwrap_or_default();
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    matches!(line.strip_prefix(b"HTTP/1.1 200").or(line.strip_prefix(b"HTTP/1.0 200")), Some([] | [b' ', ..]))
}

impl AnswerHead {
    /// Where the answer ends that these bytes begin with; `None`: it has not ended yet. `ended`: nothing more comes.
    pub fn end(&self, bytes: &[u8], ended: bool) -> Result<Option<usize>, Bad> {
        let body = bytes.get(self.head..).ok_or(Bad::Malformed)?;
        match self.body {
            Body::Length(n) if n > MAX_BODY_BYTES => Err(Bad::Body),
            Body::Length(n) => Ok((body.len() >= n).then_some(self.head + n)),
            Body::Close => Ok(ended.then_some(bytes.len())),
            Body::Chunked => Ok(chunks(body)?.map(|n| self.head + n)),
        }
    }
}

impl AnswerHead {
    /// The body of a whole answer, without what stands round its chunks.
    pub fn content(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let mut body = bytes.get(self.head..)?;
        if self.body != Body::Chunked {
            return Some(body.to_vec());
        }
        let mut content = Vec::with_capacity(body.len());
        while let Ok(httparse::Status::Complete((line, size))) = httparse::parse_chunk_size(body) {
            let size = usize::try_from(size).ok().filter(|n| *n <= MAX_BODY_BYTES)?;
            if size == 0 {
                return Some(content);
            }
            content.extend_from_slice(body.get(line..line + size)?);
            body = body.get(line + size + 2..)?;
        }
        None
    }
}

/// Where a chunked body ends. It has no trailer, or none that is understood.
fn chunks(body: &[u8]) -> Result<Option<usize>, Bad> {
    let mut at = 0;
    loop {
        let size = match httparse::parse_chunk_size(&body[at..]) {
            Ok(httparse::Status::Complete((line, size))) => {
                at += line;
                usize::try_from(size).ok().filter(|n| *n <= MAX_BODY_BYTES).ok_or(Bad::Body)?
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Bad::Malformed),
        };
        match body.get(at + size..at + size + 2) {
            Some(b"\r\n") => at += size + 2,
            Some(_) => return Err(Bad::Malformed),
            None => return Ok(None),
        }
        if size == 0 {
            return Ok(Some(at));
        }
    }
}

/// `TEXT x0=0.4, x1=25` in the order of the names; what is not told is 0. Danger: a report with one value that can't
/// be read is spoilt, and taken for a 0 it would say that there is no limit, or nothing left of it.
fn load(value: &str, names: &[String]) -> Vec<f32> {
    let told: Vec<(&str, &str)> = value.split([' ', ',']).filter_map(|p| p.split_once('=')).collect();
    let number = |v: &str| v.parse().ok().filter(|v: &f32| (0.0..1e6).contains(v));
    let of = |name: &String| told.iter().find(|(k, _)| k == name).map_or(Some(0.0), |(_, v)| number(v));
    if !told.iter().any(|(k, _)| names.iter().any(|name| name == k)) {
        return Vec::new();
    }
    names.iter().map(of).collect::<Option<_>>().unwrap_or_default()
}
