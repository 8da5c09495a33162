//! Client of the control channel, used by the command line.

use super::fleet_query::FleetQuery;
use super::replay::{FleetReplay, ReplayPlan, ReplayRequest, ReplayRun};
use super::retention::{RetentionOrder, RetentionStatus};
use super::schema::{DrainStatus, InstanceStatus, NewDrain, Problem};
use crate::net::ask::shape::AnswerShape;
use crate::net::conn;
use crate::net::platform::http;
use serde::de::DeserializeOwned;
use std::io::{self, ErrorKind};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Longest time for a request and its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the received bytes, head and body, above which an answer is rejected.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Why a call failed.
#[derive(Debug)]
pub enum ClientError {
    /// The instance can't be reached, or its answer can't be read.
    Unreachable(io::Error),
    /// The instance answered with a problem.
    Problem(Problem),
}

impl From<io::Error> for ClientError {
    fn from(e: io::Error) -> ClientError {
        ClientError::Unreachable(e)
    }
}

impl std::fmt::Display for ClientError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self {
            ClientError::Unreachable(e) => write!(f, "the instance can't be reached: {e}"),
            ClientError::Problem(p) if p.detail.is_empty() => f.write_str(&p.title),
            ClientError::Problem(p) => write!(f, "{}: {}", p.title, p.detail),
        }
    }
}

/// A client of one instance. It keeps its connection open between calls.
pub struct Client {
    socket: PathBuf,
    idle_stream: Option<UnixStream>,
}

impl Client {
    /// A client of the instance that listens on `socket`. It connects with the first call.
    pub fn new(socket: &Path) -> Client {
        Client { socket: socket.to_owned(), idle_stream: None }
    }

    /// The status of the whole instance.
    pub fn status(&mut self) -> Result<InstanceStatus, ClientError> {
        self.call("GET", "/v1/status", "")
    }

    /// All active drains, and those that were cancelled recently.
    pub fn drains(&mut self) -> Result<Vec<DrainStatus>, ClientError> {
        self.call("GET", "/v1/drains", "")
    }

    /// The status of one drain.
    pub fn drain(&mut self, id: u64) -> Result<DrainStatus, ClientError> {
        self.call("GET", &format!("/v1/drains/{id}"), "")
    }

    /// Starts a drain.
    pub fn start(&mut self, wish: &NewDrain) -> Result<DrainStatus, ClientError> {
        let body = serde_json::to_string(wish).map_err(io::Error::other)?;
        self.call("POST", "/v1/drains", &body)
    }

    /// Cancels a drain.
    pub fn cancel(&mut self, id: u64) -> Result<DrainStatus, ClientError> {
        self.call("DELETE", &format!("/v1/drains/{id}"), "")
    }

    /// Closes a finished drain; the instance accepts messages again.
    pub fn close(&mut self, id: u64) -> Result<DrainStatus, ClientError> {
        self.call("POST", &format!("/v1/drains/{id}/close"), "")
    }

    /// Sends a query to the whole fleet.
    pub fn ask(&mut self, kind: &str, subject: &str) -> Result<AnswerShape, ClientError> {
        let query = FleetQuery { kind: kind.to_owned(), subject: subject.to_owned() };
        let body = serde_json::to_string(&query).map_err(io::Error::other)?;
        self.call("POST", "/v1/ask", &body)
    }

    /// The retention policies, and which couriers honour them.
    pub fn retention(&mut self) -> Result<RetentionStatus, ClientError> {
        self.call("GET", "/v1/retention", "")
    }

    /// Sets, holds or forgets, as the order says.
    pub fn order(&mut self, order: &RetentionOrder) -> Result<RetentionStatus, ClientError> {
        let body = serde_json::to_string(order).map_err(io::Error::other)?;
        self.call("POST", "/v1/retention", &body)
    }

    /// What a replay order would do; nothing is sent.
    pub fn replay_plan(&mut self, order: &ReplayRequest) -> Result<ReplayPlan, ClientError> {
        let body = serde_json::to_string(order).map_err(io::Error::other)?;
        self.call("POST", "/v1/replays/plan", &body)
    }

    /// Runs a replay order.
    pub fn replay_run(&mut self, order: &ReplayRequest) -> Result<ReplayRun, ClientError> {
        let body = serde_json::to_string(order).map_err(io::Error::other)?;
        self.call("POST", "/v1/replays", &body)
    }

    /// The progress of all replay orders at this courier.
    pub fn replays(&mut self) -> Result<Vec<ReplayRun>, ClientError> {
        self.call("GET", "/v1/replays", "")
    }

    /// The progress of a replay order in the whole fleet.
    pub fn replay_fleet(&mut self, id: &str) -> Result<FleetReplay, ClientError> {
        self.call("GET", &format!("/v1/replays/{id}"), "")
    }

    /// Stops a replay order.
    pub fn replay_stop(&mut self, id: &str) -> Result<ReplayRun, ClientError> {
        self.call("DELETE", &format!("/v1/replays/{id}"), "")
    }

    fn call<T: DeserializeOwned>(&mut self, method: &str, path: &str, body: &str) -> Result<T, ClientError> {
        let until = Instant::now() + ANSWER_TIMEOUT;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: indigohold\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        // The server may have closed the open connection because it was idle. Only a GET is sent over it, as only a GET may be
        // repeated on a new connection.
        let idle = self.idle_stream.take().filter(|_| method == "GET");
        if let Some((stream, Ok(answer))) = idle.map(|s| (s.try_clone(), exchange(&s, &request, until))) {
            self.idle_stream = stream.ok();
            return decode(&answer);
        }
        let stream = UnixStream::connect(&self.socket)?;
        let answer = exchange(&stream, &request, until)?;
        self.idle_stream = Some(stream);
        decode(&answer)
    }
}

/// Writes the request and reads the status and the body of the answer. An answer must state its Content-Length.
fn exchange(stream: &UnixStream, request: &str, until: Instant) -> io::Result<(u16, Vec<u8>)> {
    conn::write_all(stream, request.as_bytes(), until)?;
    let (mut bytes, mut chunk) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        let malformed = |_| io::Error::from(ErrorKind::InvalidData);
        if let Some(head) = http::parse_response(&bytes, &[]).map_err(malformed)? {
            if let http::BodyFraming::Length(length) = head.body {
                if bytes.len() >= head.head_len + length {
                    return Ok((head.status, bytes[head.head_len..head.head_len + length].to_vec()));
                }
            }
        }
        if bytes.len() > MAX_ANSWER_BYTES {
            return Err(ErrorKind::InvalidData.into());
        }
        match conn::read(stream, &mut chunk, until)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => bytes.extend(&chunk[..n]),
        }
    }
}

fn decode<T: DeserializeOwned>((status, body): &(u16, Vec<u8>)) -> Result<T, ClientError> {
    if (200..300).contains(status) {
        return serde_json::from_slice(body).map_err(|e| ClientError::Unreachable(io::Error::other(e)));
    }
    let problem = serde_json::from_slice(body).map_err(io::Error::other)?;
    Err(ClientError::Problem(problem))
}
