//! Non-blocking reads and writes with typed results. Interrupted calls are repeated here.

use super::errors::{fault_of, Fault};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::io::Errno;
use std::io::{Read, Write};
use std::os::fd::AsFd;

/// The result of a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Received {
    /// The number of bytes read.
    Bytes(usize),
    /// The other side has closed its sending side.
    EndOfStream,
    /// No input has arrived yet.
    WouldBlock,
    /// This machine lacks a resource at present. The read is to be retried soon; no poll event announces it.
    LocalFault,
    /// The connection failed.
    Broken,
}

/// The result of a write, beside the number of bytes written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sent {
    /// Everything was written.
    All,
    /// The send buffer is full.
    WouldBlock,
    /// This machine lacks a resource at present. The write is to be retried soon; no poll event announces it.
    LocalFault,
    /// The connection failed.
    Broken,
}

/// Whether the other side has closed the connection or its sending side, however much input is still unread. Input hides the end
/// of the stream from a read.
pub fn has_hung_up(stream: &impl AsFd) -> bool {
    let mut fds = [PollFd::new(stream, PollFlags::RDHUP)];
    loop {
        match poll(&mut fds, Some(&Timespec::default())) {
            Err(Errno::INTR) => {}
            ready => return ready.is_ok_and(|count| count > 0),
        }
    }
}

/// Reads once.
pub fn receive(stream: &mut impl Read, into: &mut [u8]) -> Received {
    loop {
        return match stream.read(into) {
            Ok(0) => Received::EndOfStream,
            Ok(n) => Received::Bytes(n),
            Err(e) => match fault_of(&e) {
                Fault::Interrupted => continue,
                Fault::TimedOut => Received::WouldBlock,
                Fault::Local | Fault::NoDescriptor => Received::LocalFault,
                Fault::Remote => Received::Broken,
            },
        };
    }
}

/// Writes until everything is written or the socket accepts no more. Returns the number of bytes written.
pub fn send(stream: &mut impl Write, bytes: &[u8]) -> (usize, Sent) {
    let mut written = 0;
    while written < bytes.len() {
        match stream.write(&bytes[written..]) {
            Ok(0) => return (written, Sent::Broken),
            Ok(n) => written += n,
            Err(e) => match fault_of(&e) {
                Fault::Interrupted => {}
                Fault::TimedOut => return (written, Sent::WouldBlock),
                Fault::Local | Fault::NoDescriptor => return (written, Sent::LocalFault),
                Fault::Remote => return (written, Sent::Broken),
            },
        }
    }
    (written, Sent::All)
}
