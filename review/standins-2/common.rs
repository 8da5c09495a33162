//! Parts that the cases of the second review share: the record, the courier's process, and stand-ins for the platform, for
//! endpoints and for clients. Only the standard library is used, and only loopback addresses.
#![allow(dead_code)] // each case uses its part

use std::fs::{self, File};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Whether the disruption is to happen.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// `record.txt`: what was sent, answered and run, with the time in seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Opens the file that the first argument names.
    pub fn open() -> Record {
        let path = std::env::args().nth(1).expect("the path of the record");
        let file = Arc::new(Mutex::new(File::create(path).expect("the record can be written")));
        Record { file, start: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {}", text.as_ref()).expect("the record can be written");
    }
}

/// Waits until something holds; `false`: it did not within this time.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(ms(5));
    }
    true
}

/// Free loopback addresses, for the courier. To be called once, after all stand-ins have theirs.
pub fn free_addrs<const N: usize>() -> [SocketAddr; N] {
    let held = [(); N].map(|()| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    held.map(|listener| listener.local_addr().expect("its address"))
}

/// A temporary folder that is removed with this value.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{name}-{}", std::process::id()));
        fs::create_dir_all(path.join("state")).expect("a temporary folder");
        Folder(path)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        fs::write(&path, text).expect("a file in the temporary folder");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The courier, started by the deploy file's command. It is killed with this value.
pub struct Courier {
    pub child: Child,
    record: Record,
    log: PathBuf,
}

impl Courier {
    /// Starts it in the repository's folder, which is the current one, with the configuration `config.json` of the folder.
    pub fn start(folder: &Folder, record: &Record, more: &[(&str, String)]) -> Courier {
        let deploy = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("the command `run`");
        let run = run.trim().trim_matches('"');
        let log = folder.0.join("courier.log");
        let out = File::options().create(true).append(true).open(&log).expect("the courier's log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).stdin(Stdio::null());
        command.stdout(out.try_clone().expect("the courier's log")).stderr(out);
        for (name, _) in std::env::vars().filter(|(name, _)| name.starts_with("NODE_")) {
            command.env_remove(name);
        }
        command.env("NODE_CONFIG", folder.0.join("config.json")).env("NODE_STATE", folder.0.join("state"));
        command.envs(more.iter().map(|(name, value)| (*name, value.as_str())));
        let child = command.spawn().expect("the courier");
        record.line(format!("courier started: {run}, process {}", child.id()));
        Courier { child, record: record.clone(), log }
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("the courier's state")
    }

    /// A planned restart's first half: SIGTERM, and SIGKILL 3.7 s later.
    pub fn terminate(&mut self) {
        self.record.line("SIGTERM to the courier");
        let pid = self.child.id().to_string();
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -TERM {pid}")).status();
        wait_until(ms(3_700), || self.ended().is_some());
        self.kill();
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let status = self.child.wait().expect("the courier's end");
        self.record.line(format!("the courier has ended: {status}"));
    }

    /// Puts the end of its log into the record.
    pub fn record_log(&self, lines: usize) {
        let text = fs::read(&self.log).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let all: Vec<&str> = text.lines().collect();
        for line in &all[all.len().saturating_sub(lines)..] {
            self.record.line(format!("courier's log: {line}"));
        }
    }
}

impl Drop for Courier {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One HTTP request.
pub struct Request {
    pub line: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Reads a whole request; `None`: the connection has ended.
    fn read(reader: &mut BufReader<TcpStream>) -> Option<Request> {
        let mut next = || {
            let mut line = String::new();
            (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
        };
        let line = next()?;
        let mut headers = Vec::new();
        loop {
            let line = next()?;
            match line.split_once(':') {
                Some((name, value)) => headers.push((name.trim().to_owned(), value.trim().to_owned())),
                None => break,
            }
        }
        let mut request = Request { line, headers, body: Vec::new() };
        request.body = vec![0; request.header("Content-Length").parse().unwrap_or(0)];
        reader.read_exact(&mut request.body).ok()?;
        Some(request)
    }
}

/// Serves HTTP: a thread for each connection, one request at a time. The handler returns whether the connection stays open.
pub fn serve(handler: impl Fn(Request, &mut TcpStream) -> bool + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (addr, handler) = (listener.local_addr().unwrap(), Arc::new(handler));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(mut out) = stream.try_clone() else { return };
                let mut reader = BufReader::new(stream);
                while let Some(request) = Request::read(&mut reader) {
                    if !handler(request, &mut out) {
                        return;
                    }
                }
            });
        }
    });
    addr
}

/// A whole HTTP response.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// An endpoint in discovery's list.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub addr: SocketAddr,
    pub kind: &'static str,
    pub cell: u16,
    pub lifecycle: &'static str,
    pub weight: f64,
}

impl Instance {
    fn json(&self) -> String {
        let Instance { id, addr, kind, cell, lifecycle, weight } = self;
        format!(
            r#"{{"instanceId":"{id}","hostPort":"{addr}","zone":"here","machineType":"{kind}","cell":{cell},"lifecycle":"{lifecycle}","weight":{weight:.1},"startedAtMs":0}}"#
        )
    }
}

/// The platform: discovery with a watch, and the place for notices.
#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    /// Every change, from version 1 on.
    changes: Arc<Mutex<Vec<Vec<Instance>>>>,
    /// The lines of all notices.
    pub notices: Arc<Mutex<Vec<String>>>,
    /// While discovery is down, its agent is silent: connections stay open, and nothing is written.
    pub silent: Arc<AtomicBool>,
    /// How many watches have got the list.
    watches: Arc<AtomicUsize>,
}

impl Platform {
    pub fn start(record: &Record, list: Vec<Instance>) -> Platform {
        let changes = Arc::new(Mutex::new(vec![list]));
        let notices: Arc<Mutex<Vec<String>>> = Arc::default();
        let silent: Arc<AtomicBool> = Arc::default();
        let watches: Arc<AtomicUsize> = Arc::default();
        let (all, told, down, record) = (changes.clone(), notices.clone(), silent.clone(), record.clone());
        let begun = watches.clone();
        let addr = serve(move |request, out| {
            if request.line.starts_with("POST /v1/notices") {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    record.line(format!("notice: {line}"));
                    told.lock().unwrap().push(line.to_owned());
                }
                return out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok();
            }
            while down.load(Ordering::SeqCst) {
                thread::sleep(ms(5));
            }
            if !request.line.contains("watch=1") {
                let (_, text) = next_line(&all, 0);
                return out.write_all(&response("200 OK", "", text.as_bytes())).is_ok();
            }
            watch(&all, &down, &begun, out).is_ok()
        });
        Platform { addr, changes, notices, silent, watches }
    }

    /// Waits until the courier answers that it is ready and has got the list by so many watches; `false`: it does not.
    pub fn wait_for(&self, courier: SocketAddr, watches: usize) -> bool {
        let ready = || self.watches.load(Ordering::SeqCst) >= watches && is_ready(courier);
        let is_ready = wait_until(ms(10_000), ready);
        // The list is applied a moment after it was written.
        thread::sleep(ms(300));
        is_ready
    }

    /// Changes entries of the list.
    pub fn change(&self, entries: Vec<Instance>) {
        self.changes.lock().unwrap().push(entries);
    }

    /// Whether a message was ended by a notice.
    pub fn noticed(&self, id: &str) -> bool {
        let mark = format!("\"{id}\"");
        self.notices.lock().unwrap().iter().any(|line| line.contains(&mark))
    }
}

/// What a watch writes after version `seen`, which is 0 at its start: then the whole list.
fn next_line(changes: &Mutex<Vec<Vec<Instance>>>, seen: usize) -> (usize, String) {
    let changes = changes.lock().unwrap();
    let (version, entries): (usize, Vec<Instance>) = match seen {
        0 => {
            let mut list: Vec<Instance> = Vec::new();
            for entry in changes.iter().flatten() {
                list.retain(|known| known.id != entry.id);
                list.push(entry.clone());
            }
            list.retain(|known| known.lifecycle != "removed");
            (changes.len(), list)
        }
        seen if seen < changes.len() => (seen + 1, changes[seen].clone()),
        seen => return (seen, String::new()),
    };
    let entries: Vec<String> = entries.iter().map(Instance::json).collect();
    let text =
        format!(r#"{{"generation":{version},"reset":{},"instances":[{}]}}"#, seen == 0, entries.join(","));
    (version, text)
}

/// Answers a watch until its connection ends: each change on a line, and an empty line every 2 s.
fn watch(
    changes: &Mutex<Vec<Vec<Instance>>>, down: &AtomicBool, begun: &AtomicUsize, out: &mut TcpStream,
) -> std::io::Result<()> {
    out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let (mut seen, mut written) = (0, Instant::now());
    loop {
        while down.load(Ordering::SeqCst) {
            thread::sleep(ms(5));
        }
        let (version, text) = next_line(changes, seen);
        if version != seen || written.elapsed() >= ms(2_000) {
            write!(out, "{:x}\r\n{text}\n\r\n", text.len() + 1)?;
            if seen == 0 {
                begun.fetch_add(1, Ordering::SeqCst);
            }
            (seen, written) = (version, Instant::now());
        }
        thread::sleep(ms(5));
    }
}

/// A message as a client hands it in.
pub struct Message<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub dest: u16,
    pub deadline_ms: u64,
    pub key: &'a str,
}

/// Hands a message in on a connection of its own; returns the answer's status, or 0 without one within 400 ms.
pub fn hand_in(record: &Record, courier: SocketAddr, message: &Message) -> u16 {
    let status = try_hand_in(courier, message).unwrap_or(0);
    record.line(format!(
        "client: {} for destination {} handed in, answered {status}",
        message.id, message.dest
    ));
    status
}

fn try_hand_in(courier: SocketAddr, message: &Message) -> Option<u16> {
    let Message { id, class, tenant, dest, deadline_ms, key } = message;
    let mut stream = TcpStream::connect_timeout(&courier, ms(400)).ok()?;
    stream.set_read_timeout(Some(ms(400))).ok()?;
    let key = if key.is_empty() { String::new() } else { format!("Idempotency-Key: {key}\r\n") };
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: {tenant}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: 5\r\nX-Addressing: dest={dest}\r\n\r\nhello"
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Whether the courier answers that it is ready.
pub fn is_ready(courier: SocketAddr) -> bool {
    let ask = || {
        let mut stream = TcpStream::connect_timeout(&courier, ms(400)).ok()?;
        stream.set_read_timeout(Some(ms(400))).ok()?;
        stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: api.internal\r\n\r\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        Some(line.contains(" 200 "))
    };
    ask().unwrap_or(false)
}

/// The text between two marks.
pub fn between<'a>(text: &'a str, from: &str, to: &str) -> Option<&'a str> {
    text.split_once(from)?.1.split_once(to).map(|(inside, _)| inside)
}
