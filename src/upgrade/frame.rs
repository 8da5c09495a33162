//! The frames that two processes of one courier exchange over a Unix stream during a handover. A frame is a header of
//! four bytes with the body's length (little-endian) and a JSON body; file descriptors are attached to the header.
//! The length of a frame and the number of its descriptors are bounded, and a frame that can't be decoded is an
//! error.

use crate::core::handover::{CompletedCall, HandoverState};
use crate::json;
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

/// The maximum length of a frame's body.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The maximum number of file descriptors of one frame.
pub const MAX_FRAME_FDS: usize = 32;
/// The length of a frame's header.
const HEADER_BYTES: usize = 4;

/// A frame of the handover protocol.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The new process requests the handover.
    #[serde(rename = "Ask")]
    Request {
        /// Its version of the handover protocol.
        version: u32,
        /// Its process id.
        process: u32,
    },
    /// The old process refuses the request, with the reason.
    #[serde(rename = "No")]
    Refused(String),
    /// The state of the core; the listener is attached.
    #[serde(rename = "Core")]
    CoreState(Box<HandoverState>),
    /// Client connections, each with its descriptor attached.
    #[serde(rename = "Seats")]
    Connections(Vec<ExportedConnection>),
    /// The state is complete.
    #[serde(rename = "Whole")]
    StateComplete,
    /// The new process has received the complete state.
    Ready,
    /// The old process has released the folder to the new one.
    #[serde(rename = "Yours")]
    OwnershipReleased,
    /// A call of the old process has ended.
    #[serde(rename = "Over")]
    CallCompleted(CompletedCall),
}

/// Sends a frame with the given descriptors before the deadline.
pub fn send(stream: &UnixStream, frame: &Frame, fds: &[BorrowedFd], deadline: Instant) -> io::Result<()> {
    let body = serde_json::to_vec(frame).map_err(io::Error::other)?;
    if body.len() > MAX_BODY_BYTES || fds.len() > MAX_FRAME_FDS {
        return Err(io::Error::new(ErrorKind::InvalidInput, "a frame is too long"));
    }
    let header = (body.len() as u32).to_le_bytes();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_FRAME_FDS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !fds.is_empty() && !control.push(SendAncillaryMessage::ScmRights(fds)) {
        return Err(io::Error::other("no room for descriptors"));
    }
    conn::SocketStream::set_write_timeout(stream, Some(remaining(deadline)?))?;
    // A header of four bytes is written completely or not at all.
    let sent = sendmsg(stream, &[IoSlice::new(&header)], &mut control, SendFlags::NOSIGNAL)?;
    if sent != HEADER_BYTES {
        return Err(ErrorKind::WriteZero.into());
    }
    conn::write_all(stream, &body, deadline)
}

/// Receives a frame and its descriptors before the deadline.
pub fn receive(stream: &UnixStream, deadline: Instant) -> io::Result<(Frame, Vec<OwnedFd>)> {
    let mut header = [0; HEADER_BYTES];
    let (mut filled, mut fds) = (0, Vec::new());
    while filled < HEADER_BYTES {
        conn::SocketStream::set_read_timeout(stream, Some(remaining(deadline)?))?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_FRAME_FDS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let buffers = &mut [IoSliceMut::new(&mut header[filled..])];
        let received = match recvmsg(stream, buffers, &mut control, RecvFlags::CMSG_CLOEXEC) {
            Err(rustix::io::Errno::INTR) => continue,
            other => other?.bytes,
        };
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(attached) = message {
                fds.extend(attached);
            }
        }
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        filled += received;
    }
    let length = u32::from_le_bytes(header) as usize;
    if length > MAX_BODY_BYTES {
        return Err(io::Error::new(ErrorKind::InvalidData, "a frame is too long"));
    }
    // The buffer grows with the data that arrives: a header with a false length must not allocate memory for a body
    // that never comes.
    let (mut body, mut buf) = (Vec::new(), [0; 16 * 1024]);
    while body.len() < length {
        let wanted = buf.len().min(length - body.len());
        match conn::read(stream, &mut buf[..wanted], deadline)? {
            0 => return Err(ErrorKind::UnexpectedEof.into()),
            n => body.extend_from_slice(&buf[..n]),
        }
    }
    let frame = json::from_slice(&body).map_err(|e| io::Error::new(ErrorKind::InvalidData, e))?;
    Ok((frame, fds))
}

fn remaining(deadline: Instant) -> io::Result<Duration> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    if remaining.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    Ok(remaining.max(Duration::from_millis(1)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::api::Micros;
    use crate::core::End;
    use std::io::{Read, Write};
    use std::net::{TcpListener, TcpStream};
    use std::os::fd::AsFd;

    fn test_deadline() -> Instant {
        Instant::now() + Duration::from_secs(20)
    }

    #[test]
    fn frames_and_their_descriptors_are_received_as_sent() {
        let (sender, receiver) = UnixStream::pair().unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let (connection, _) = listener.accept().unwrap();
        let completed = CompletedCall {
            msg: 7,
            end: End::TurnedAway(Some(Micros(9))),
            latency: Micros(1),
            load: vec![0.5, 2.0],
            reply: "x".into(),
        };
        send(&sender, &Frame::Request { version: 1, process: 2 }, &[], test_deadline()).unwrap();
        send(&sender, &Frame::Connections(vec![]), &[connection.as_fd(), listener.as_fd()], test_deadline())
            .unwrap();
        send(&sender, &Frame::CallCompleted(completed), &[], test_deadline()).unwrap();
        drop(connection);
        let (frame, fds) = receive(&receiver, test_deadline()).unwrap();
        assert!(frame == Frame::Request { version: 1, process: 2 } && fds.is_empty());
        let (frame, mut fds) = receive(&receiver, test_deadline()).unwrap();
        assert_eq!((frame, fds.len()), (Frame::Connections(vec![]), 2));
        let inherited = TcpListener::from(fds.pop().unwrap());
        assert_eq!(inherited.local_addr().unwrap(), listener.local_addr().unwrap());
        let mut connection = TcpStream::from(fds.pop().unwrap());
        connection.write_all(b"still here").unwrap();
        let mut received = [0; 10];
        client.read_exact(&mut received).unwrap();
        assert_eq!(&received, b"still here");
        assert!(matches!(
            receive(&receiver, test_deadline()).unwrap().0,
            Frame::CallCompleted(call) if call.end == End::TurnedAway(Some(Micros(9)))
        ));
    }

    #[test]
    fn truncated_frames_invalid_bodies_and_false_lengths_are_errors() {
        let complete = {
            let body = serde_json::to_vec(&Frame::StateComplete).unwrap();
            [&(body.len() as u32).to_le_bytes()[..], &body].concat()
        };
        for cut in 0..complete.len() {
            let (mut sender, receiver) = UnixStream::pair().unwrap();
            sender.write_all(&complete[..cut]).unwrap();
            drop(sender);
            assert_eq!(
                receive(&receiver, test_deadline()).unwrap_err().kind(),
                ErrorKind::UnexpectedEof,
                "{cut}"
            );
        }
        for bytes in [&b"\xff\xff\xff\xff"[..], b"\x02\x00\x00\x00{}", b"\x04\x00\x00\x00\xff\xfe\xfd\xfc"] {
            let (mut sender, receiver) = UnixStream::pair().unwrap();
            sender.write_all(bytes).unwrap();
            assert_eq!(
                receive(&receiver, test_deadline()).unwrap_err().kind(),
                ErrorKind::InvalidData,
                "{bytes:?}"
            );
        }
        let (_sender, receiver) = UnixStream::pair().unwrap();
        assert!(crate::net::errors::is_timeout(
            &receive(&receiver, Instant::now() + Duration::from_millis(20)).unwrap_err()
        ));
    }
}
