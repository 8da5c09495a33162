//! Sends a command to the admin server, for the command line.

use super::AdminCommand;
use crate::config::Paths;
use crate::net::ask::shape::AnswerShape;
use crate::net::conn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The server answers within 1 s; a machine that is down does not answer at all.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// A question to the fleet is answered within 16 s.
const FLEET_ANSWER_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Sends one command and prints the answer. Returns `false` if the server refused it.
pub fn run(paths: &Paths, command: &AdminCommand) -> Result<bool, String> {
    let addr = server_addr(paths)?;
    let answer = send(addr, command, Instant::now() + ANSWER_TIMEOUT).map_err(|e| format!("{addr}: {e}"))?;
    print!("{answer}");
    Ok(!answer.starts_with("400"))
}

fn server_addr(paths: &Paths) -> Result<SocketAddr, String> {
    let addr = match &paths.control {
        Some(text) => Some(text.parse().map_err(|e| format!("control: {text:?}: {e}"))?),
        None => paths.read()?.admin_addr()?,
    };
    addr.ok_or_else(|| {
        "no address of the admin server: neither --control nor NODE_CONTROL nor `control` in the configuration"
            .into()
    })
}

/// Asks the fleet a question. An error consists of the exit code and a message.
pub fn ask(paths: &Paths, question: &AdminCommand) -> Result<AnswerShape, (u8, String)> {
    const UNREACHED: u8 = 1;
    const REFUSED: u8 = 3;
    let addr = server_addr(paths).map_err(|message| (UNREACHED, message))?;
    let deadline = Instant::now() + FLEET_ANSWER_TIMEOUT;
    let answer = send(addr, question, deadline).map_err(|e| (UNREACHED, format!("{addr}: {e}")))?;
    if let Some(message) = answer.strip_prefix("400 ") {
        return Err((REFUSED, message.trim_end().to_owned()));
    }
    let line =
        answer.strip_suffix("\nEOF\n").ok_or((UNREACHED, format!("{addr}: the answer is incomplete")))?;
    serde_json::from_str(line).map_err(|e| (UNREACHED, format!("{addr}: {e}")))
}

fn send(addr: SocketAddr, command: &AdminCommand, deadline: Instant) -> io::Result<String> {
    let stream = conn::connect(addr, deadline)?;
    conn::write_all(&stream, format!("{command}\n").as_bytes(), deadline)?;
    let (mut answer, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        match conn::read(&stream, &mut buf, deadline)? {
            0 => break,
            n => answer.extend_from_slice(&buf[..n]),
        }
        if answer.len() > MAX_ANSWER_BYTES {
            return Err(io::Error::other(format!("the answer is longer than {MAX_ANSWER_BYTES} bytes")));
        }
    }
    String::from_utf8(answer).map_err(io::Error::other)
}
