//! Bytes between sockets and passages.

use super::conns::Conn;
use crate::passage::Met;
use crate::passage::{End, Passage};
use mio::net::{TcpListener, TcpStream};
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Bytes held for one direction: as much as a socket's buffers would.
pub(super) const HELD: usize = 64 * 1024;
/// Queue of connections that wait to be taken.
const BACKLOG: i32 = 1024;

/// Listens at an address that another socket keeps. Danger: while both may share it, so may any other socket of the machine
/// that asks for a free port, and a link would lead to a stranger; so that is allowed for these few calls only.
pub(super) fn listen(addr: SocketAddr, keeps: &Socket) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    keeps.set_reuse_address(true)?;
    let listens = socket.bind(&addr.into()).and_then(|()| socket.listen(BACKLOG));
    keeps.set_reuse_address(false)?;
    listens?;
    Ok(TcpListener::from_std(socket.into()))
}

pub(super) fn reset(stream: TcpStream) {
    // Closing with no time to linger sends RST.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

pub(super) fn cut(c: &Conn) {
    for stream in [Some(&c.from), c.to.as_ref()].into_iter().flatten() {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads and drops what has come; whether the connection is still open.
pub(super) fn drop_all(from: &mut TcpStream) -> bool {
    let mut chunk = [0; 16 * 1024];
    loop {
        match from.read(&mut chunk) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return e.kind() == ErrorKind::WouldBlock,
        }
    }
}

/// Reads while there is room; over its end, reads and drops. Whether it stopped for want of room of this way's own.
pub(super) fn read(
    from: &mut TcpStream, passage: &mut Passage, now: u64, over_all: bool, met: &mut Vec<Met>,
) -> bool {
    let mut chunk = [0; 16 * 1024];
    loop {
        let drops = passage.is_over();
        if !drops && (over_all || passage.held() >= HELD) {
            return !over_all;
        }
        let room = if drops { chunk.len() } else { chunk.len().min(HELD - passage.held()) };
        match from.read(&mut chunk[..room]) {
            Ok(0) => {
                passage.end(now, End::Half);
                return false;
            }
            Ok(_) if drops => {}
            Ok(n) => passage.take(now, &chunk[..n], met),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                return false;
            }
            Err(_) => {
                passage.end(now, End::Rst);
                return false;
            }
        }
    }
}

/// Writes what is to go out; how much went, and an end if there is one.
pub(super) fn write(to: &mut TcpStream, passage: &mut Passage, now: u64) -> (u64, Option<End>) {
    let mut written = 0;
    loop {
        let (mut bytes, end) = passage.out(now, 16 * 1024);
        if bytes.is_empty() {
            return (written, end);
        }
        match to.write(&bytes) {
            Ok(n) => {
                written += n as u64;
                bytes.drain(..n);
                passage.put_back(bytes);
            }
            Err(e) if e.kind() == ErrorKind::Interrupted => passage.put_back(bytes),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                passage.put_back(bytes);
                return (written, None);
            }
            // It has gone: its own reading tells how.
            Err(_) => {
                passage.put_back(bytes);
                return (written, Some(End::Rst));
            }
        }
    }
}
