//! The control channel's client, as the command line uses it.

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

/// How long an answer is waited for.
const ANSWER: Duration = Duration::from_secs(20);
const ANSWER_MOST: usize = 16 << 20;

/// Why there is no answer of use.
#[derive(Debug)]
pub enum ClientError {
    /// The instance can't be reached.
    Unreachable(io::Error),
    /// It answered that it won't.
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

/// A connection to an instance, kept between calls.
pub struct Client {
    socket: PathBuf,
    kept: Option<UnixStream>,
}

impl Client {
    /// To the instance that listens there.
    pub fn new(socket: &Path) -> Client {
        Client { socket: socket.to_owned(), kept: None }
    }

    /// The instance as a whole.
    pub fn status(&mut self) -> Result<InstanceStatus, ClientError> {
        self.call("GET", "/v1/status", "")
    }

    /// All drains that are on, or were called off lately.
    pub fn drains(&mut self) -> Result<Vec<DrainStatus>, ClientError> {
        self.call("GET", "/v1/drains", "")
    }

    /// One drain.
    pub fn drain(&mut self, id: u64) -> Result<DrainStatus, ClientError> {
        self.call("GET", &format!("/v1/drains/{id}"), "")
    }

    /// Starts a drain.
    pub fn start(&mut self, wish: &NewDrain) -> Result<DrainStatus, ClientError> {
        let body = serde_json::to_string(wish).map_err(io::Error::other)?;
        self.call("POST", "/v1/drains", &body)
    }

    /// Calls one off.
    pub fn cancel(&mut self, id: u64) -> Result<DrainStatus, ClientError> {
        self.call("DELETE", &format!("/v1/drains/{id}"), "")
    }

    /// Takes service up again after one that is over.
    pub fn close(&mut self, id: u64) -> Result<DrainStatus, ClientError> {
        self.call("POST", &format!("/v1/drains/{id}/close"), "")
    }

    /// Asks the fleet.
    pub fn ask(&mut self, kind: &str, subject: &str) -> Result<AnswerShape, ClientError> {
        let question = FleetQuery { kind: kind.to_owned(), subject: subject.to_owned() };
        let body = serde_json::to_string(&question).map_err(io::Error::other)?;
        self.call("POST", "/v1/ask", &body)
    }

    /// Who honours what of retention.
    pub fn retention(&mut self) -> Result<RetentionStatus, ClientError> {
        self.call("GET", "/v1/retention", "")
    }

    /// Gives an order about retention.
    pub fn order(&mut self, order: &RetentionOrder) -> Result<RetentionStatus, ClientError> {
        let body = serde_json::to_string(order).map_err(io::Error::other)?;
        self.call("POST", "/v1/retention", &body)
    }

    /// What an order to send again would do.
    pub fn replay_plan(&mut self, order: &ReplayRequest) -> Result<ReplayPlan, ClientError> {
        let body = serde_json::to_string(order).map_err(io::Error::other)?;
        self.call("POST", "/v1/replays/plan", &body)
    }

    /// Runs it.
    pub fn replay_run(&mut self, order: &ReplayRequest) -> Result<ReplayRun, ClientError> {
        let body = serde_json::to_string(order).map_err(io::Error::other)?;
        self.call("POST", "/v1/replays", &body)
    }

    /// How far orders are.
    pub fn replays(&mut self) -> Result<Vec<ReplayRun>, ClientError> {
        self.call("GET", "/v1/replays", "")
    }

    /// How far one is over the whole fleet.
    pub fn replay_fleet(&mut self, id: &str) -> Result<FleetReplay, ClientError> {
        self.call("GET", &format!("/v1/replays/{id}"), "")
    }

    /// Stops one.
    pub fn replay_stop(&mut self, id: &str) -> Result<ReplayRun, ClientError> {
        self.call("DELETE", &format!("/v1/replays/{id}"), "")
    }

    fn call<T: DeserializeOwned>(&mut self, method: &str, path: &str, body: &str) -> Result<T, ClientError> {
        let until = Instant::now() + ANSWER;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: indigohold\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        // A kept connection may have been closed for its idleness; only asking is repeated, on a new one.
        let kept = self.kept.take().filter(|_| method == "GET");
        if let Some((stream, Ok(answer))) = kept.map(|s| (s.try_clone(), exchange(&s, &request, until))) {
            self.kept = stream.ok();
            return read(&answer);
        }
        let stream = UnixStream::connect(&self.socket)?;
        let answer = exchange(&stream, &request, until)?;
        self.kept = Some(stream);
        read(&answer)
    }
}

fn exchange(stream: &UnixStream, request: &str, until: Instant) -> io::Result<(u16, Vec<u8>)> {
    conn::write_all(stream, request.as_bytes(), until)?;
    let (mut bytes, mut part) = (Vec::new(), vec![0; 16 * 1024]);
    loop {
        let malformed = |_| io::Error::from(ErrorKind::InvalidData);
        if let Some(head) = http::parse_response(&bytes, &[]).map_err(malformed)? {
            if let http::BodyFraming::Length(length) = head.body {
                if bytes.len() >= head.head_len + length {
                    return Ok((head.status, bytes[head.head_len..head.head_len + length].to_vec()));
                }
            }
        }
        if bytes.len() > ANSWER_MOST {
            return Err(ErrorKind::InvalidData.into());
        }
        match conn::read(stream, &mut part, until)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => bytes.extend(&part[..n]),
        }
    }
}

fn read<T: DeserializeOwned>((status, body): &(u16, Vec<u8>)) -> Result<T, ClientError> {
    if (200..300).contains(status) {
        return serde_json::from_slice(body).map_err(|e| ClientError::Unreachable(io::Error::other(e)));
    }
    let problem = serde_json::from_slice(body).map_err(io::Error::other)?;
    Err(ClientError::Problem(problem))
}
