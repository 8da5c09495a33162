//! Reads and writes that don't wait, each as one step with a typed result. Interrupted calls are made again here.

use super::errors::{fault_of, Fault};
use std::io::{Read, Write};

/// What came of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// So many bytes.
    Bytes(usize),
    /// The other side has ended.
    Ended,
    /// Nothing is there yet.
    Nothing,
    /// This machine lacks something just now: to be read again soon, with no word of the poll.
    Later,
    /// The connection broke.
    Broke,
}

/// What came of a write, beside the bytes that went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// All of them.
    All,
    /// The other side takes no more now.
    Full,
    /// This machine lacks something just now: to be written again soon, with no word of the poll.
    Later,
    /// The connection broke.
    Broke,
}

/// Reads once.
pub fn receive(stream: &mut impl Read, into: &mut [u8]) -> Received {
    loop {
        return match stream.read(into) {
            Ok(0) => Received::Ended,
            Ok(n) => Received::Bytes(n),
            Err(e) => match fault_of(&e) {
                Fault::Interrupted => continue,
                Fault::TimedOut => Received::Nothing,
                Fault::Local | Fault::NoDescriptor => Received::Later,
                Fault::Remote => Received::Broke,
            },
        };
    }
}

/// Writes as much as is taken; says how much that was.
pub fn send(stream: &mut impl Write, bytes: &[u8]) -> (usize, Sent) {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => return (written, Sent::Broke),
            Ok(n) => written += n,
            Err(e) => match fault_of(&e) {
                Fault::Interrupted => {}
                Fault::TimedOut => return (written, Sent::Full),
                Fault::Local | Fault::NoDescriptor => return (written, Sent::Later),
                Fault::Remote => return (written, Sent::Broke),
            },
        }
    }
    (written, Sent::All)
}
