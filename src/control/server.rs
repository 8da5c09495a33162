//! Server of the control channel: a listener on a Unix domain socket and a bounded number of session threads with small
//! stacks. A session handles one request at a time.

use super::config::ControlConfig;
use super::schema::{DrainStatus, InstanceStatus, NewDrain, Problem, SettingsNames};
use super::{fleet_query, replay, retention};
use crate::api::Micros;
use crate::core::draining::Progress;
use crate::core::Courier;
use crate::drain::Refusal;
use crate::json;
use crate::net::acceptor::AcceptorHandle;
use crate::net::ask::Asker;
use crate::net::errors::{accept_fault, AcceptFault};
use crate::net::peers::published::Published;
use crate::net::platform::http;
use crate::net::pool::{BufferPool, MAX_BODY_BYTES, MAX_HEAD_BYTES};
use crate::net::{conn, platform, spawn};
use serde::Serialize;
use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

/// Pause after a failed accept.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(20);
/// Longest time until a whole request has arrived, counted from the previous answer; it limits idle sessions too.
const REQUEST_TIMEOUT: Micros = Micros(5_000_000);
/// Longest time to write an answer.
const WRITE_TIMEOUT: Micros = Micros(5_000_000);

struct ControlServer {
    courier: Arc<Courier>,
    names: SettingsNames,
    acceptors: Vec<AcceptorHandle>,
    fleet: Option<Asker>,
    shared: Option<Arc<Published>>,
    pool: BufferPool,
    started: Micros,
    open_sessions: AtomicUsize,
    max_sessions: usize,
}

/// Binds the listener to the socket's path. A socket file without a listener is replaced. A socket that is in use and a file
/// that is no socket are left alone, and the call fails. The socket is created under a temporary name, gets its permissions,
/// and is then renamed, so only its owner can connect at any time. `take_over`: the process that listens on the path has
/// handed over to this one, so its socket is replaced although it is in use.
pub fn bind(path: &Path, take_over: bool) -> io::Result<UnixListener> {
    match fs::symlink_metadata(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => {}
        Err(e) => return Err(e),
        Ok(meta) if !meta.file_type().is_socket() => {
            return Err(io::Error::new(
                ErrorKind::AlreadyExists,
                "there is a file of this name that is no socket",
            ));
        }
        Ok(_) => {
            if !take_over && UnixStream::connect(path).is_ok() {
                return Err(io::Error::new(ErrorKind::AddrInUse, "another instance listens there"));
            }
        }
    }
    if let Some(folder) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
        fs::create_dir_all(folder)?;
    }
    let mut temporary_path = path.as_os_str().to_owned();
    temporary_path.push(format!(".{}", std::process::id()));
    let temporary_path = Path::new(&temporary_path);
    // An earlier process with the same process id may have left this file behind.
    let _ = fs::remove_file(temporary_path);
    let listener = UnixListener::bind(temporary_path)?;
    fs::set_permissions(temporary_path, fs::Permissions::from_mode(0o600))?;
    fs::rename(temporary_path, path)?;
    Ok(listener)
}

/// Binds the socket and starts the thread that accepts sessions. See [`bind`] for `take_over`.
pub fn serve(
    courier: &Arc<Courier>, config: &ControlConfig, names: SettingsNames, acceptors: Vec<AcceptorHandle>,
    shared: Option<Arc<Published>>, fleet: Option<Asker>, take_over: bool,
) -> io::Result<()> {
    let listener = bind(&config.socket, take_over)?;
    tracing::info!(target: "control", "control on {}", config.socket.display());
    let control = Arc::new(ControlServer {
        courier: courier.clone(),
        names,
        acceptors,
        fleet,
        shared,
        pool: BufferPool::new(2),
        started: courier.clock.now(),
        open_sessions: AtomicUsize::new(0),
        max_sessions: config.sessions,
    });
    spawn("control", move || loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if accept_fault(&e) == AcceptFault::ConnectionLost => continue,
            Err(_) => {
                std::thread::sleep(ACCEPT_RETRY_DELAY);
                continue;
            }
        };
        if control.open_sessions.fetch_add(1, Ordering::SeqCst) >= control.max_sessions {
            control.open_sessions.fetch_sub(1, Ordering::SeqCst);
            let problem = Problem::new("busy", 503, "too many sessions", "");
            // An error means that the client has disconnected.
            let _ = control.write_response(&stream, 503, "application/problem+json", &problem, true);
            continue;
        }
        let shared = control.clone();
        let started = spawn("control-session", move || {
            // An error means that the connection broke, so it can't be reported to the client.
            let _ = shared.run_session(&stream);
            shared.open_sessions.fetch_sub(1, Ordering::SeqCst);
        });
        if started.is_err() {
            control.open_sessions.fetch_sub(1, Ordering::SeqCst);
        }
    })
    .map(|_| ())
}

impl ControlServer {
    fn deadline_in(&self, span: Micros) -> std::time::Instant {
        let clock = &self.courier.clock;
        clock.instant(clock.now() + span)
    }

    fn run_session(&self, stream: &UnixStream) -> io::Result<()> {
        let mut buf = self.pool.get();
        let mut filled = 0;
        loop {
            let until = self.deadline_in(REQUEST_TIMEOUT);
            let head = loop {
                let needed_bytes = match http::parse_request(&buf[..filled]) {
                    Err(malformed) => {
                        let status = malformed.status();
                        let number = status.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(400);
                        let problem = Problem::new("request", number, "the request can't be read", status);
                        return self.write_response(
                            stream,
                            number,
                            "application/problem+json",
                            &problem,
                            true,
                        );
                    }
                    Ok(Some(head)) if filled >= head.head_len + head.body_len => break head,
                    Ok(Some(head)) => (head.head_len + head.body_len).min(MAX_HEAD_BYTES + MAX_BODY_BYTES),
                    Ok(None) => MAX_HEAD_BYTES,
                };
                match conn::read(stream, &mut buf[filled..needed_bytes], until)? {
                    0 => return Ok(()),
                    n => filled += n,
                }
            };
            let end = head.head_len + head.body_len;
            let path = head.path.split('?').next().unwrap_or_default();
            match self.answer(&head.method, path, &buf[head.head_len..end]) {
                Ok((status, value)) => {
                    self.write_response(stream, status, "application/json", &value, head.close)?
                }
                Err(problem) => self.write_response(
                    stream,
                    problem.status,
                    "application/problem+json",
                    &problem,
                    head.close,
                )?,
            }
            if head.close {
                return Ok(());
            }
            buf.copy_within(end..filled, 0);
            filled -= end;
        }
    }

    fn write_response(
        &self, stream: &UnixStream, status: u16, content_type: &str, value: &impl Serialize, close: bool,
    ) -> io::Result<()> {
        let body = serde_json::to_string(value).map_err(io::Error::other)?;
        let close = if close { "Connection: close\r\n" } else { "" };
        let text = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\n{close}Content-Length: {}\r\n\r\n{body}",
            if status < 300 { "OK" } else { "Problem" },
            body.len()
        );
        conn::write_all(stream, text.as_bytes(), self.deadline_in(WRITE_TIMEOUT))
    }

    fn answer(&self, method: &str, path: &str, body: &[u8]) -> Result<(u16, serde_json::Value), Problem> {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let drain_id = |text: &str| text.parse::<u64>().map_err(|_| Problem::from(Refusal::Unknown));
        match (method, &parts[..]) {
            ("GET", ["v1", "status"]) => ok_json(200, &self.status()),
            ("GET", ["v1", "drains"]) => ok_json(200, &self.drain_statuses()),
            ("POST", ["v1", "drains"]) => self.start_drain(body),
            ("GET", ["v1", "drains", id]) => {
                let progress = self.courier.drain(drain_id(id)?).ok_or(Problem::from(Refusal::Unknown))?;
                ok_json(200, &self.drain_status(&progress))
            }
            ("DELETE", ["v1", "drains", id]) => {
                ok_json(200, &self.drain_status(&self.courier.drain_cancel(drain_id(id)?)?))
            }
            ("POST", ["v1", "drains", id, "close"]) => {
                ok_json(200, &self.drain_status(&self.courier.drain_close(drain_id(id)?)?))
            }
            ("POST", ["v1", "ask"]) => {
                ok_json(200, &fleet_query::ask(self.fleet.as_ref(), &self.courier.clock, body)?)
            }
            (_, ["v1", "status" | "drains"] | ["v1", "drains", _] | ["v1", "drains", _, "close"]) => {
                Err(Problem::new("method", 405, "not with this method", format!("{method} {path}")))
            }
            (_, ["v1", "replays", ..]) => {
                replay::answer(&self.courier, &self.names, method, &parts[2..], body)
            }
            (_, ["v1", "retention", ..]) => {
                retention::answer(&self.courier, &self.names, method, &parts[2..], body)
            }
            _ => Err(Problem::new("path", 404, "no such path", path)),
        }
    }

    fn drain_status(&self, progress: &Progress) -> DrainStatus {
        self.names.drain_status(progress, self.courier.clock.now())
    }

    fn drain_statuses(&self) -> Vec<DrainStatus> {
        self.courier.drains().iter().map(|progress| self.drain_status(progress)).collect()
    }

    fn start_drain(&self, body: &[u8]) -> Result<(u16, serde_json::Value), Problem> {
        let malformed =
            |detail: String| Problem::new("wish", 422, "the wish can't be granted as it is", detail);
        let drain: NewDrain = json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
        let request = self.names.resolve_drain(drain, self.courier.clock.now()).map_err(malformed)?;
        let (started, progress) = self.courier.drain_start(request)?;
        ok_json(if started.updated { 200 } else { 201 }, &self.drain_status(&progress))
    }

    fn status(&self) -> InstanceStatus {
        let drains = self.drain_statuses().into_iter().filter(DrainStatus::is_on).collect();
        InstanceStatus {
            version: env!("CARGO_PKG_VERSION").into(),
            pid: std::process::id(),
            started_ms: self.started.0 / 1000,
            now_ms: self.courier.clock.now().0 / 1000,
            register: self.courier.phase(platform::FRONT).name().into(),
            owed: self.courier.owed() as u64,
            backends: self.courier.backends() as u64,
            ending: self.courier.is_stopping(),
            clients: self
                .acceptors
                .iter()
                .flat_map(|a| a.stats())
                .map(|(name, stats)| (name.to_owned(), stats))
                .collect(),
            drains,
            shared: self.shared.as_ref().map(|shared| shared.json(self.courier.clock.now())),
        }
    }
}

/// A successful answer: the HTTP status and the value as JSON.
pub(super) fn ok_json(status: u16, of: &impl Serialize) -> Result<(u16, serde_json::Value), Problem> {
    let value =
        serde_json::to_value(of).map_err(|e| Problem::new("internal", 500, "a fault", e.to_string()))?;
    Ok((status, value))
}
