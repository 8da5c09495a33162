//! The relay as a process of its own, with ten thousand connections through it. Where a process may not have the descriptors
//! for that, with as many as it may. No test waits for a moment: each waits for what it is to see.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::{Duration, Instant};

const AT_MOST: Duration = Duration::from_secs(10);
const CONNECTIONS: usize = 10_000;
/// Taken and silent: these cost the relay one descriptor, the others two.
const HELD: usize = 200;
/// Descriptors for listeners, files and the poller.
const SPARE: usize = 100;

/// A process may have so many descriptors.
fn descriptors() -> usize {
    let text = std::fs::read_to_string("/proc/self/limits").unwrap();
    let line = text.lines().find(|line| line.starts_with("Max open files")).unwrap();
    line.split_whitespace().nth(3).unwrap().parse().unwrap_or(usize::MAX)
}

struct Program {
    child: Child,
    said: BufReader<ChildStdout>,
}

impl Program {
    fn start(name: &str, script: &serde_json::Value) -> Program {
        let file = format!("{}/{name}-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        std::fs::write(&file, script.to_string()).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_relay"))
            .arg(&file)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let said = BufReader::new(child.stdout.take().unwrap());
        Program { child, said }
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        self.said.read_line(&mut line).unwrap();
        line.trim().to_owned()
    }

    fn ask(&mut self, command: &str) -> String {
        writeln!(self.child.stdin.as_mut().unwrap(), "{command}").unwrap();
        self.line()
    }

    fn count(&mut self, name: &str) -> u64 {
        let counts: serde_json::Value = serde_json::from_str(&self.ask("counts")).unwrap();
        counts[name].as_u64().unwrap()
    }
}

/// Ends by itself when its input does.
impl Drop for Program {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        let _ = self.child.wait();
    }
}

fn ready(stream: TcpStream) -> TcpStream {
    stream.set_read_timeout(Some(AT_MOST)).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

fn passes(from: &mut TcpStream, to: &mut TcpStream, mark: [u8; 8]) {
    from.write_all(&mark).unwrap();
    let mut got = [0; 8];
    to.read_exact(&mut got).unwrap();
    assert_eq!(got, mark);
}

/// There and back, in microseconds.
fn round(near: &mut TcpStream, far: &mut TcpStream, mark: [u8; 8]) -> u64 {
    let began = Instant::now();
    passes(near, far, mark);
    passes(far, near, mark);
    began.elapsed().as_micros() as u64
}

#[test]
fn ten_thousand_connections_are_kept_apart_and_a_command_meets_them_all() {
    let (most, held) = (CONNECTIONS.min((descriptors() - SPARE + HELD) / 2), HELD);
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = listener.local_addr().unwrap();
    let mut relay = Program::start(
        "crowd",
        &serde_json::json!({
            "seed": 1, "connections": most,
            "links": [
                {"from": "c0", "to": "e0", "target": target.to_string()},
                {"from": "c1", "to": "e0", "target": target.to_string()},
            ],
            "rules": [{"name": "held", "links": "c1>e0", "what": "hold"}],
        }),
    );
    let addrs = [(); 2].map(|()| {
        let line = relay.line();
        let words: Vec<&str> = line.split_whitespace().collect();
        words[2].parse::<SocketAddr>().unwrap_or_else(|_| panic!("{line}"))
    });

    // Pairs one after the other, so that each end is known; a direct one beside them.
    let mut pairs = Vec::new();
    for _ in 0..most - held {
        let near = ready(TcpStream::connect(addrs[0]).unwrap());
        pairs.push((near, ready(listener.accept().unwrap().0)));
    }
    let mut direct = (ready(TcpStream::connect(target).unwrap()), ready(listener.accept().unwrap().0));
    let silent: Vec<TcpStream> = (0..held).map(|_| ready(TcpStream::connect(addrs[1]).unwrap())).collect();

    // Each carries its own bytes, both ways, beside the direct one.
    let mut took = [(); 2].map(|()| hdrhistogram::Histogram::<u64>::new(3).unwrap());
    for (n, (near, far)) in pairs.iter_mut().enumerate() {
        took[0].record(round(&mut direct.0, &mut direct.1, (n as u64).to_be_bytes())).unwrap();
        took[1].record(round(near, far, (n as u64).to_be_bytes())).unwrap();
    }
    for (name, took) in ["direct", "relay"].iter().zip(&took) {
        let at = |q: f64| took.value_at_quantile(q);
        println!("{} open, {name}, there and back: p50 {} us, p99 {} us", most, at(0.5), at(0.99));
    }
    assert_eq!((relay.count("open"), relay.count("most")), (most as u64, most as u64));
    assert_eq!(relay.count("unreached"), 0);

    // One more is reset and counted; it costs the others nothing.
    let mut more = ready(TcpStream::connect(addrs[0]).unwrap());
    assert!(more.read(&mut [0; 1]).is_err());
    assert_eq!(relay.count("over"), 1);

    // One command mutes one way of every connection of the link; when it is lifted, nothing was lost.
    assert!(relay
        .ask(r#"add {"name": "mute", "links": "c0>e0", "way": "up", "what": "mute"}"#)
        .starts_with("ok"));
    for (n, (near, far)) in pairs.iter_mut().enumerate() {
        near.write_all(&(n as u64).to_le_bytes()).unwrap();
        passes(far, near, (n as u64).to_be_bytes());
    }
    for (_, far) in &pairs {
        far.set_nonblocking(true).unwrap();
        assert_eq!(far.peek(&mut [0; 1]).unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
        far.set_nonblocking(false).unwrap();
    }
    assert_eq!(relay.ask("lift mute"), "ok");
    for (n, (_, far)) in pairs.iter_mut().enumerate() {
        let mut got = [0; 8];
        far.read_exact(&mut got).unwrap();
        assert_eq!(got, (n as u64).to_le_bytes());
    }
    for stream in &silent {
        stream.set_nonblocking(true).unwrap();
        assert_eq!(stream.peek(&mut [0; 1]).unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    }

    // The ends of all of them are passed on, and none is left.
    drop(silent);
    for (near, mut far) in pairs {
        drop(near);
        assert_eq!(far.read(&mut [0; 1]).unwrap(), 0);
    }
    let until = Instant::now() + AT_MOST;
    while relay.count("open") > 0 {
        assert!(Instant::now() < until, "{} connections are still open", relay.count("open"));
    }
}
