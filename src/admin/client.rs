//! The door's calls from the command line.

use super::Call;
use crate::config::Paths;
use crate::net::conn;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer is owed within 1 s; a machine that is gone says nothing.
const PATIENCE: Duration = Duration::from_secs(3);
const ANSWER_MOST: usize = 1 << 20;

/// Makes one call and prints what came; `false`: it was a no.
pub fn run(paths: &Paths, call: &Call) -> Result<bool, String> {
    let door = match &paths.control {
        Some(text) => Some(text.parse().map_err(|e| format!("control: {text:?}: {e}"))?),
        None => paths.read()?.door()?,
    };
    let door =
        door.ok_or("no door: neither --control nor NODE_CONTROL nor `control` in the configuration")?;
    let answer = ask(door, call).map_err(|e| format!("{door}: {e}"))?;
    print!("{answer}");
    Ok(!answer.starts_with("400"))
}

fn ask(door: SocketAddr, call: &Call) -> io::Result<String> {
    let until = Instant::now() + PATIENCE;
    let stream = conn::connect(door, until)?;
    conn::write_all(&stream, format!("{call}\n").as_bytes(), until)?;
    let (mut answer, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        match conn::read(&stream, &mut buf, until)? {
            0 => break,
            n => answer.extend_from_slice(&buf[..n]),
        }
        if answer.len() > ANSWER_MOST {
            return Err(io::Error::other("the answer has no end"));
        }
    }
    String::from_utf8(answer).map_err(io::Error::other)
}
