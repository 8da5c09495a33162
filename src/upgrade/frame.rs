//! What two processes of one courier say to each other: frames of a kind, a length and JSON over a Unix stream, descriptors
//! with a frame's head. Whatever comes is bounded, and what can't be read is an error in words.

use crate::core::handover::{CompletedCall, HandoverState};
use crate::net::acceptor::ExportedConnection;
use crate::net::conn;
use rustix::net::{
    recvmsg, sendmsg, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use serde::{Deserialize, Serialize};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

/// The longest frame, and descriptors with one.
const FRAME_MOST: usize = 16 << 20;
/// Descriptors that go with one frame at most.
pub const FDS_MOST: usize = 32;
const HEAD: usize = 4;

/// One thing said.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// A new process wants to serve.
    Ask {
        /// What it speaks.
        version: u32,
        /// Its process.
        process: u32,
    },
    /// It can't be, and why.
    No(String),
    /// What the core passes; the listener is with it.
    Core(Box<HandoverState>),
    /// Sessions, each with its descriptor.
    Seats(Vec<ExportedConnection>),
    /// That was all.
    Whole,
    /// All of it is here.
    Ready,
    /// The folder is the other's.
    Yours,
    /// A call is over.
    Over(CompletedCall),
}

/// Says one thing before the deadline.
pub fn send(stream: &UnixStream, frame: &Frame, fds: &[BorrowedFd], until: Instant) -> io::Result<()> {
    let body = serde_json::to_vec(frame).map_err(io::Error::other)?;
    if body.len() > FRAME_MOST || fds.len() > FDS_MOST {
        return Err(io::Error::new(ErrorKind::InvalidInput, "a frame is too long"));
    }
    let head = (body.len() as u32).to_le_bytes();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(FDS_MOST))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() && !control.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(io::Error::other("no room for descriptors"));
    }
    conn::SocketStream::set_write_timeout(stream, Some(left(until)?))?;
    // A head of four bytes goes as a whole or not at all.
    let sent = sendmsg(stream, &[IoSlice::new(&head)], &mut control, SendFlags::NOSIGNAL)?;
    if sent != HEAD {
        return Err(ErrorKind::WriteZero.into());
    }
    conn::write_all(stream, &body, until)
}

/// Hears one thing before the deadline, and takes the descriptors that came with it.
pub fn hear(stream: &UnixStream, until: Instant) -> io::Result<(Frame, Vec<OwnedFd>)> {
    let mut head = [0; HEAD];
    let (mut filled, mut fds) = (0, Vec::new());
    while filled < HEAD {
        conn::SocketStream::set_read_timeout(stream, Some(left(until)?))?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(FDS_MOST))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let into = &mut [IoSliceMut::new(&mut head[filled..])];
        let got = match recvmsg(stream, into, &mut control, RecvFlags::CMSG_CLOEXEC) {
            Err(rustix::io::Errno::INTR) => continue,
            other => other?.bytes,
        };
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(more) = message {
                fds.extend(more);
            }
        }
        if got == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        filled += got;
    }
    let length = u32::from_le_bytes(head) as usize;
    if length > FRAME_MOST {
        return Err(io::Error::new(ErrorKind::InvalidData, "a frame is too long"));
    }
    // Danger: a length that is a lie must not take memory for what never comes.
    let (mut body, mut buf) = (Vec::new(), [0; 16 * 1024]);
    while body.len() < length {
        let most = buf.len().min(length - body.len());
        match conn::read(stream, &mut buf[..most], until)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => body.extend_from_slice(&buf[..n]),
        }
    }
    let frame = serde_json::from_slice(&body).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    Ok((frame, fds))
}

fn left(until: Instant) -> io::Result<Duration> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    Ok(left.max(Duration::from_millis(1)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Micros;
    use crate::core::End;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};
    use std::os::fd::AsFd;

    fn soon() -> Instant {
        Instant::now() + Duration::from_secs(20)
    }

    #[test]
    fn what_is_said_is_heard_and_descriptors_come_with_their_frame() {
        let (a, b) = UnixStream::pair().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (session, _) = listener.accept().unwrap();
        let over = CompletedCall {
            msg: 7,
            end: End::TurnedAway(Some(Micros(9))),
            latency: Micros(1),
            load: vec![0.5, 2.0],
            reply: "x".into(),
        };
        send(&a, &Frame::Ask { version: 1, process: 2 }, &[], soon()).unwrap();
        send(&a, &Frame::Seats(vec![]), &[session.as_fd(), listener.as_fd()], soon()).unwrap();
        send(&a, &Frame::Over(over), &[], soon()).unwrap();
        drop(session);
        let (frame, fds) = hear(&b, soon()).unwrap();
        assert!(frame == Frame::Ask { version: 1, process: 2 } && fds.is_empty());
        let (frame, mut fds) = hear(&b, soon()).unwrap();
        assert_eq!((frame, fds.len()), (Frame::Seats(vec![]), 2));
        let passed = TcpListener::from(fds.pop().unwrap());
        assert_eq!(passed.local_addr().unwrap(), listener.local_addr().unwrap());
        let mut session = TcpStream::from(fds.pop().unwrap());
        session.write_all(b"still here").unwrap();
        let mut heard = [0; 10];
        client.read_exact(&mut heard).unwrap();
        assert_eq!(&heard, b"still here");
        assert!(
            matches!(hear(&b, soon()).unwrap().0, Frame::Over(over) if over.end == End::TurnedAway(Some(Micros(9))))
        );
    }

    #[test]
    fn garbage_cuts_and_lies_are_errors() {
        let whole = {
            let body = serde_json::to_vec(&Frame::Whole).unwrap();
            [&(body.len() as u32).to_le_bytes()[..], &body].concat()
        };
        for cut in 0..whole.len() {
            let (mut a, b) = UnixStream::pair().unwrap();
            a.write_all(&whole[..cut]).unwrap();
            drop(a);
            assert_eq!(hear(&b, soon()).unwrap_err().kind(), ErrorKind::UnexpectedEof, "{cut}");
        }
        for bytes in [&b"\xff\xff\xff\xff"[..], b"\x02\x00\x00\x00{}", b"\x04\x00\x00\x00\xff\xfe\xfd\xfc"] {
            let (mut a, b) = UnixStream::pair().unwrap();
            a.write_all(bytes).unwrap();
            assert_eq!(hear(&b, soon()).unwrap_err().kind(), ErrorKind::InvalidData, "{bytes:?}");
        }
        let (_a, b) = UnixStream::pair().unwrap();
        assert!(crate::net::errors::is_timeout(
            &hear(&b, Instant::now() + Duration::from_millis(20)).unwrap_err()
        ));
    }
}
