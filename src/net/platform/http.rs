//! Parsing of HTTP/1.1 heads with httparse: requests of clients, responses of endpoints and of discovery.

use crate::api::Micros;
use crate::net::pool::{MAX_BODY_BYTES, MAX_HEAD_BYTES};

const MAX_HEADERS: usize = 64;
/// Upper bound for the wait that a response may demand. No message has a longer deadline.
const MAX_RETRY_AFTER: Micros = Micros(600_000_000);

/// Why a message cannot be parsed. Each reason has the status with which a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The head, or the framing of the body, is malformed or ambiguous.
    Malformed,
    /// The request needs a `Content-Length`, which it lacks, or it uses `Transfer-Encoding`, which is not accepted.
    LengthRequired,
    /// The body is longer than `MAX_BODY_BYTES`.
    BodyTooLarge,
    /// The head is longer than `MAX_HEAD_BYTES` or has too many headers.
    HeadTooLarge,
}

impl ParseError {
    /// Status code and reason phrase.
    pub fn status(self) -> &'static str {
        match self {
            ParseError::Malformed => "400 Bad Request",
            ParseError::LengthRequired => "411 Length Required",
            ParseError::BodyTooLarge => "413 Content Too Large",
            ParseError::HeadTooLarge => "431 Request Header Fields Too Large",
        }
    }
}

/// The head of a request, with the lengths that locate its body in the buffer.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RequestHead {
    /// Length of the head in bytes, with the empty line that ends it.
    pub head_len: usize,
    /// Length of the body in bytes.
    pub body_len: usize,
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Whether the connection closes after the response.
    pub close: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
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

/// Parses the head of a request; `None`: more bytes are needed.
pub fn parse_request(bytes: &[u8]) -> Result<Option<RequestHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    let head_len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) if n > MAX_HEAD_BYTES => return Err(ParseError::HeadTooLarge),
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => {
            return Err(ParseError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLarge),
        Err(_) => return Err(ParseError::Malformed),
    };
    let mut request = RequestHead {
        head_len,
        method: parsed.method.unwrap_or_default().to_owned(),
        path: parsed.path.unwrap_or_default().to_owned(),
        close: parsed.version == Some(0),
        ..RequestHead::default()
    };
    let mut body_len = None;
    for header in parsed.headers.iter() {
        let value = std::str::from_utf8(header.value).map_err(|_| ParseError::Malformed)?.trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            let n = parse_digits(value).ok_or(ParseError::Malformed)?;
            // With two different lengths, another parser could see other request boundaries (request smuggling).
            if body_len.is_some_and(|earlier| earlier != n) {
                return Err(ParseError::Malformed);
            }
            body_len = Some(n);
        } else if is("transfer-encoding") {
            return Err(ParseError::LengthRequired);
        } else if is("connection") {
            request.close |= has_token(value, "close");
        } else if is("expect") {
            request.expects_continue = value.eq_ignore_ascii_case("100-continue");
        } else if is("req-id") {
            request.id = Some(value.to_owned());
        } else if is("req-kind") {
            request.class = Some(value.to_owned());
        } else if is("req-owner") {
            request.tenant = Some(value.to_owned());
        } else if is("req-deadline-ms") {
            request.deadline_ms = Some(parse_digits(value).ok_or(ParseError::Malformed)?);
        } else if is("x-addressing") {
            request.dest = parse_addressing(value);
        } else if is("idempotency-key") {
            request.key = Some(value.to_owned());
        }
    }
    if body_len.is_none() && matches!(request.method.as_str(), "POST" | "PUT" | "PATCH") {
        return Err(ParseError::LengthRequired);
    }
    request.body_len = usize::try_from(body_len.unwrap_or(0))
        .ok()
        .filter(|n| *n <= MAX_BODY_BYTES)
        .ok_or(ParseError::BodyTooLarge)?;
    Ok(Some(request))
}

/// Parses a number of digits only; `str::parse` alone accepts a sign.
fn parse_digits(value: &str) -> Option<u64> {
    value.bytes().all(|b| b.is_ascii_digit()).then(|| value.parse().ok()).flatten()
}

fn has_token(value: &str, token: &str) -> bool {
    value.split(',').any(|item| item.trim().eq_ignore_ascii_case(token))
}

/// The destination in an `X-Addressing` value: `dest=7`, alone or among other pairs.
fn parse_addressing(value: &str) -> Option<u16> {
    let pairs = value.split([',', ';']).filter_map(|pair| pair.trim().split_once('='));
    pairs.filter(|(name, _)| name.trim() == "dest").find_map(|(_, value)| value.trim().parse().ok())
}

/// How the end of a response body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(usize),
    /// By the last chunk of the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq)]
pub struct ResponseHead {
    /// Length of the head in bytes, with the empty line that ends it.
    pub head_len: usize,
    /// Status code.
    pub status: u16,
    /// How the end of the body is found.
    pub body: BodyFraming,
    /// Whether the connection closes after this response.
    pub close: bool,
    /// `X-RateLimit-Wait-Ms`
    pub retry_after: Option<Micros>,
    /// `X-Over-Slots`
    pub over_slots: bool,
    /// The values of `Srv-Load` in the order of the requested names; empty without a valid load report.
    pub load: Vec<f32>,
}

/// Parses the head of a response; `None`: more bytes are needed. The caller skips interim responses (1xx).
pub fn parse_response(bytes: &[u8], load_names: &[String]) -> Result<Option<ResponseHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    let head_len = match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if bytes.len() >= MAX_HEAD_BYTES => {
            return Err(ParseError::HeadTooLarge)
        }
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(ParseError::Malformed),
    };
    let status = parsed.code.unwrap_or(0);
    let mut response = ResponseHead {
        head_len,
        status,
        body: BodyFraming::UntilClose,
        close: parsed.version == Some(0),
        retry_after: None,
        over_slots: false,
        load: Vec::new(),
    };
    let (mut length, mut chunked) = (None, false);
    for header in parsed.headers.iter() {
        // A value that is not UTF-8 matches none of the lengths and numbers expected here.
        let value = std::str::from_utf8(header.value).unwrap_or("\0");
        let (value, is) = (value.trim(), |name: &str| header.name.eq_ignore_ascii_case(name));
        if is("content-length") {
            let n = parse_digits(value).and_then(|n| usize::try_from(n).ok()).ok_or(ParseError::Malformed)?;
            if length.is_some_and(|earlier| earlier != n) {
                return Err(ParseError::Malformed);
            }
            length = Some(n);
        } else if is("transfer-encoding") {
            chunked = value.eq_ignore_ascii_case("chunked");
            if !chunked {
                return Err(ParseError::Malformed);
            }
        } else if is("connection") {
            response.close |= has_token(value, "close");
        } else if is("x-ratelimit-wait-ms") {
            let ms = value.parse().ok().filter(|ms: &f64| ms.is_finite() && *ms > 0.0);
            response.retry_after = ms.map(|ms| Micros::from_secs(ms / 1e3).min(MAX_RETRY_AFTER));
        } else if is("x-over-slots") {
            response.over_slots = value == "1";
        } else if is("srv-load") {
            response.load = parse_load(value, load_names);
        }
    }
    response.body = match (status, length, chunked) {
        (_, Some(_), true) => return Err(ParseError::Malformed),
        (100..=199 | 204 | 304, ..) => BodyFraming::Length(0),
        (_, _, true) => BodyFraming::Chunked,
        (_, Some(n), false) => BodyFraming::Length(n),
        (_, None, false) => BodyFraming::UntilClose,
    };
    response.close |= response.body == BodyFraming::UntilClose;
    Ok(Some(response))
}

/// Whether the status line is complete and its status is 200, whatever follows.
pub fn status_line_is_200(bytes: &[u8]) -> bool {
    let line =
        bytes.split(|b| *b == b'\n').next().filter(|line| line.len() < bytes.len()).unwrap_or_default();
    let line = line.strip_suffix(b"\r").unwrap_or(line);
    matches!(line.strip_prefix(b"HTTP/1.1 200").or(line.strip_prefix(b"HTTP/1.0 200")), Some([] | [b' ', ..]))
}

impl ResponseHead {
    /// Length of the response that starts at the first of these bytes; `None`: it is incomplete. `eof`: the connection
    /// has ended, no more bytes will arrive.
    pub fn response_len(&self, bytes: &[u8], eof: bool) -> Result<Option<usize>, ParseError> {
        let body = bytes.get(self.head_len..).ok_or(ParseError::Malformed)?;
        match self.body {
            BodyFraming::Length(n) if n > MAX_BODY_BYTES => Err(ParseError::BodyTooLarge),
            BodyFraming::Length(n) => Ok((body.len() >= n).then_some(self.head_len + n)),
            BodyFraming::UntilClose => Ok(eof.then_some(bytes.len())),
            BodyFraming::Chunked => Ok(chunked_len(body)?.map(|n| self.head_len + n)),
        }
    }
}

impl ResponseHead {
    /// The body of a complete response, decoded if it is chunked; `None` if a chunk is malformed or too long.
    pub fn decoded_body(&self, bytes: &[u8]) -> Option<Vec<u8>> {
        let mut body = bytes.get(self.head_len..)?;
        if self.body != BodyFraming::Chunked {
            return Some(body.to_vec());
        }
        let mut decoded = Vec::with_capacity(body.len());
        while let Ok(httparse::Status::Complete((line_len, size))) = httparse::parse_chunk_size(body) {
            let size = usize::try_from(size).ok().filter(|n| *n <= MAX_BODY_BYTES)?;
            if size == 0 {
                return Some(decoded);
            }
            decoded.extend_from_slice(body.get(line_len..line_len + size)?);
            body = body.get(line_len + size + 2..)?;
        }
        None
    }
}

/// Length of a chunked body; `None`: it is incomplete. A body with a trailer section is rejected as malformed.
fn chunked_len(body: &[u8]) -> Result<Option<usize>, ParseError> {
    let mut at = 0;
    loop {
        let size = match httparse::parse_chunk_size(&body[at..]) {
            Ok(httparse::Status::Complete((line_len, size))) => {
                at += line_len;
                usize::try_from(size).ok().filter(|n| *n <= MAX_BODY_BYTES).ok_or(ParseError::BodyTooLarge)?
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ParseError::Malformed),
        };
        match body.get(at + size..at + size + 2) {
            Some(b"\r\n") => at += size + 2,
            Some(_) => return Err(ParseError::Malformed),
            None => return Ok(None),
        }
        if size == 0 {
            return Ok(Some(at));
        }
    }
}

/// Parses a load report, `TEXT x0=0.4, x1=25`, into values in the order of the names; a missing value is 0. A report with a
/// value that cannot be parsed is ignored as a whole: read as 0, the value would mean that there is no limit, or that
/// nothing is left of it.
fn parse_load(value: &str, names: &[String]) -> Vec<f32> {
    let pairs: Vec<(&str, &str)> = value.split([' ', ',']).filter_map(|pair| pair.split_once('=')).collect();
    let number = |text: &str| text.parse().ok().filter(|number: &f32| (0.0..1e6).contains(number));
    let value_of =
        |name: &String| pairs.iter().find(|(key, _)| key == name).map_or(Some(0.0), |(_, text)| number(text));
    if !pairs.iter().any(|(key, _)| names.iter().any(|name| name == key)) {
        return Vec::new();
    }
    names.iter().map(value_of).collect::<Option<_>>().unwrap_or_default()
}
