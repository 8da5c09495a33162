//! The control channel's server: a listener on a Unix domain socket, a few small-stack threads, one request at a time.

use super::config::ControlConfig;
use super::schema::{DrainStatus, InstanceStatus, NewDrain, Problem, SettingsNames};
use super::{fleet_query, replay, retention};
use crate::api::Micros;
use crate::core::draining::Progress;
use crate::core::Courier;
use crate::drain::Refusal;
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

/// How long a request may take to come in, a session to idle, and an answer to be written.
/// How long to wait where a session could not be let in.
const ACCEPT_AGAIN: std::time::Duration = std::time::Duration::from_millis(20);
const REQUEST: Micros = Micros(5_000_000);
const WRITE: Micros = Micros(5_000_000);

struct Control {
    courier: Arc<Courier>,
    words: SettingsNames,
    doors: Vec<AcceptorHandle>,
    fleet: Option<Asker>,
    shared: Option<Arc<Published>>,
    pool: BufferPool,
    started: Micros,
    open: AtomicUsize,
    most: usize,
}

/// Takes the socket's path: one that nobody listens on any more is replaced, one that is in use or is no socket is left
/// alone and is an error. The socket is put in place by a rename, with its permissions set: nobody but its owner can
/// ever connect. `take_over`: whoever listens there has handed over.
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
    let mut name = path.as_os_str().to_owned();
    name.push(format!(".{}", std::process::id()));
    let new = Path::new(&name);
    let _ = fs::remove_file(new); // of a process of the same number, long gone
    let listener = UnixListener::bind(new)?;
    fs::set_permissions(new, fs::Permissions::from_mode(0o600))?;
    fs::rename(new, path)?;
    Ok(listener)
}

/// Starts the listener.
pub fn serve(
    courier: &Arc<Courier>, config: &ControlConfig, words: SettingsNames, doors: Vec<AcceptorHandle>,
    shared: Option<Arc<Published>>, fleet: Option<Asker>, take_over: bool,
) -> io::Result<()> {
    let listener = bind(&config.socket, take_over)?;
    tracing::info!(target: "control", "control on {}", config.socket.display());
    let control = Arc::new(Control {
        courier: courier.clone(),
        words,
        doors,
        fleet,
        shared,
        pool: BufferPool::new(2),
        started: courier.clock.now(),
        open: AtomicUsize::new(0),
        most: config.sessions,
    });
    spawn("control", move || loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => stream,
            Err(e) if accept_fault(&e) == AcceptFault::ConnectionLost => continue,
            Err(_) => {
                std::thread::sleep(ACCEPT_AGAIN);
                continue;
            }
        };
        if control.open.fetch_add(1, Ordering::SeqCst) >= control.most {
            control.open.fetch_sub(1, Ordering::SeqCst);
            let problem = Problem::new("busy", 503, "too many sessions", "");
            // An error says that the client is gone.
            let _ = control.say(&stream, 503, "application/problem+json", &problem, true);
            continue;
        }
        let shared = control.clone();
        let started = spawn("control-session", move || {
            // An error says that the connection broke: there is nobody to tell.
            let _ = shared.session(&stream);
            shared.open.fetch_sub(1, Ordering::SeqCst);
        });
        if started.is_err() {
            control.open.fetch_sub(1, Ordering::SeqCst);
        }
    })
    .map(|_| ())
}

impl Control {
    fn within(&self, span: Micros) -> std::time::Instant {
        let clock = &self.courier.clock;
        clock.instant(clock.now() + span)
    }

    fn session(&self, stream: &UnixStream) -> io::Result<()> {
        let mut buf = self.pool.get();
        let mut filled = 0;
        loop {
            let until = self.within(REQUEST);
            let head = loop {
                let room = match http::parse_request(&buf[..filled]) {
                    Err(bad) => {
                        let status = bad.status();
                        let number = status.split(' ').next().and_then(|s| s.parse().ok()).unwrap_or(400);
                        let problem = Problem::new("request", number, "the request can't be read", status);
                        return self.say(stream, number, "application/problem+json", &problem, true);
                    }
                    Ok(Some(head)) if filled >= head.head_len + head.body_len => break head,
                    Ok(Some(head)) => (head.head_len + head.body_len).min(MAX_HEAD_BYTES + MAX_BODY_BYTES),
                    Ok(None) => MAX_HEAD_BYTES,
                };
                match conn::read(stream, &mut buf[filled..room], until)? {
                    0 => return Ok(()),
                    n => filled += n,
                }
            };
            let end = head.head_len + head.body_len;
            let path = head.path.split('?').next().unwrap_or_default();
            match self.answer(&head.method, path, &buf[head.head_len..end]) {
                Ok((status, value)) => self.say(stream, status, "application/json", &value, head.close)?,
                Err(p) => self.say(stream, p.status, "application/problem+json", &p, head.close)?,
            }
            if head.close {
                return Ok(());
            }
            buf.copy_within(end..filled, 0);
            filled -= end;
        }
    }

    fn say(
        &self, stream: &UnixStream, status: u16, kind: &str, value: &impl Serialize, close: bool,
    ) -> io::Result<()> {
        let body = serde_json::to_string(value).map_err(io::Error::other)?;
        let close = if close { "Connection: close\r\n" } else { "" };
        let text = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: {kind}\r\n{close}Content-Length: {}\r\n\r\n{body}",
            if status < 300 { "OK" } else { "Problem" },
            body.len()
        );
        conn::write_all(stream, text.as_bytes(), self.within(WRITE))
    }

    fn answer(&self, method: &str, path: &str, body: &[u8]) -> Result<(u16, serde_json::Value), Problem> {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let number = |text: &str| text.parse::<u64>().map_err(|_| Problem::from(Refusal::Unknown));
        match (method, &parts[..]) {
            ("GET", ["v1", "status"]) => value(200, &self.status()),
            ("GET", ["v1", "drains"]) => value(200, &self.drains()),
            ("POST", ["v1", "drains"]) => self.start(body),
            ("GET", ["v1", "drains", id]) => {
                let progress = self.courier.drain(number(id)?).ok_or(Problem::from(Refusal::Unknown))?;
                value(200, &self.shape(&progress))
            }
            ("DELETE", ["v1", "drains", id]) => {
                value(200, &self.shape(&self.courier.drain_cancel(number(id)?)?))
            }
            ("POST", ["v1", "drains", id, "close"]) => {
                value(200, &self.shape(&self.courier.drain_close(number(id)?)?))
            }
            ("POST", ["v1", "ask"]) => {
                value(200, &fleet_query::ask(self.fleet.as_ref(), &self.courier.clock, body)?)
            }
            (_, ["v1", "status" | "drains"] | ["v1", "drains", _] | ["v1", "drains", _, "close"]) => {
                Err(Problem::new("method", 405, "not with this method", format!("{method} {path}")))
            }
            (_, ["v1", "replays", ..]) => {
                replay::answer(&self.courier, &self.words, method, &parts[2..], body)
            }
            (_, ["v1", "retention", ..]) => {
                retention::answer(&self.courier, &self.words, method, &parts[2..], body)
            }
            _ => Err(Problem::new("path", 404, "no such path", path)),
        }
    }

    fn shape(&self, progress: &Progress) -> DrainStatus {
        self.words.drain_status(progress, self.courier.clock.now())
    }

    fn drains(&self) -> Vec<DrainStatus> {
        self.courier.drains().iter().map(|p| self.shape(p)).collect()
    }

    fn start(&self, body: &[u8]) -> Result<(u16, serde_json::Value), Problem> {
        let malformed =
            |detail: String| Problem::new("wish", 422, "the wish can't be granted as it is", detail);
        let wish: NewDrain = serde_json::from_slice(body).map_err(|e| malformed(e.to_string()))?;
        let wish = self.words.resolve_drain(wish, self.courier.clock.now()).map_err(malformed)?;
        let (started, progress) = self.courier.drain_start(wish)?;
        value(if started.updated { 200 } else { 201 }, &self.shape(&progress))
    }

    fn status(&self) -> InstanceStatus {
        let drains = self.drains().into_iter().filter(DrainStatus::is_on).collect();
        InstanceStatus {
            version: env!("CARGO_PKG_VERSION").into(),
            pid: std::process::id(),
            started_ms: self.started.0 / 1000,
            now_ms: self.courier.clock.now().0 / 1000,
            register: self.courier.phase(platform::FRONT).name().into(),
            owed: self.courier.owed() as u64,
            backends: self.courier.backends() as u64,
            ending: self.courier.is_stopping(),
            clients: self.doors.iter().flat_map(|d| d.stats()).map(|(n, t)| (n.to_owned(), t)).collect(),
            drains,
            shared: self.shared.as_ref().map(|shared| shared.json(self.courier.clock.now())),
        }
    }
}

pub(super) fn value(status: u16, of: &impl Serialize) -> Result<(u16, serde_json::Value), Problem> {
    let value =
        serde_json::to_value(of).map_err(|e| Problem::new("internal", 500, "a fault", e.to_string()))?;
    Ok((status, value))
}
