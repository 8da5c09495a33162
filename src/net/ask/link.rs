//! One connection to another courier's door: a line goes out, lines come back. It waits for nothing.

use super::shape::{plain, PieceShape, PART_BYTES};
use crate::json;
use mio::net::TcpStream;
use std::io::{self, ErrorKind, Read, Write};

/// Bytes of a refusal's words that are kept.
const WORDS: usize = 200;

/// What has come over it.
#[derive(Debug)]
pub(super) enum Said {
    /// A piece, and the bytes that it took.
    Piece(PieceShape, usize),
    /// It won't answer.
    Refused(String),
    /// What came is no answer.
    Rubbish(String),
    /// It ended, or can't be had. `true`: nobody listens there.
    Broke(bool, String),
}

pub(super) struct Link {
    pub stream: TcpStream,
    /// Number of the question.
    pub question: u64,
    /// Whom it goes to, by place.
    pub courier: usize,
    /// How manieth connection for this part.
    pub tries: u8,
    /// By which of its doors.
    pub door: usize,
    /// Pieces came.
    pub pieces: usize,
    /// Number of the last piece, once it is known.
    pub last: Option<u8>,
    out: Vec<u8>,
    line: Vec<u8>,
    read: usize,
}

impl Link {
    pub fn new(
        stream: TcpStream, question: u64, courier: usize, (tries, door): (u8, usize), line: &str,
    ) -> Link {
        let out = line.as_bytes().to_vec();
        Link { stream, question, courier, tries, door, pieces: 0, last: None, out, line: Vec::new(), read: 0 }
    }

    /// Some of an answer has come.
    pub fn began(&self) -> bool {
        self.read > 0
    }

    /// All pieces have come.
    pub fn whole(&self) -> bool {
        self.last.is_some_and(|last| self.pieces == usize::from(last) + 1)
    }

    fn broke(e: &io::Error) -> Said {
        let refused = e.kind() == ErrorKind::ConnectionRefused;
        Said::Broke(refused, if refused { "the connection was refused".into() } else { e.to_string() })
    }

    /// Writes and reads what can be. What comes is in its order; after anything but a piece there is no more.
    pub fn move_on(&mut self, said: &mut Vec<Said>) {
        match self.stream.take_error() {
            Ok(None) => {}
            Ok(Some(e)) | Err(e) => return said.push(Link::broke(&e)),
        }
        while !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(n) => drop(self.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Not connected yet.
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(e) => return said.push(Link::broke(&e)),
            }
        }
        let mut buf = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut buf) {
                Ok(0) => {
                    let what = match self.read {
                        0 => "the connection ended without an answer",
                        _ => "the connection broke in the middle of the answer",
                    };
                    return said.push(Said::Broke(false, what.into()));
                }
                Ok(n) => {
                    self.read += n;
                    // Danger: an answer without an end would fill the memory.
                    if self.read > PART_BYTES {
                        return said.push(Said::Rubbish("the answer is too long".into()));
                    }
                    for byte in &buf[..n] {
                        if *byte != b'\n' {
                            self.line.push(*byte);
                            continue;
                        }
                        let one = Link::one(&std::mem::take(&mut self.line));
                        let more = matches!(one, Said::Piece(..));
                        said.push(one);
                        if !more {
                            return;
                        }
                    }
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
                Err(e) => return said.push(Link::broke(&e)),
            }
        }
    }

    fn one(line: &[u8]) -> Said {
        if let Some(words) = line.strip_prefix(b"400 ") {
            return Said::Refused(plain(&String::from_utf8_lossy(words), WORDS));
        }
        match json::from_slice(line) {
            Ok(piece) => Said::Piece(piece, line.len()),
            Err(e) => Said::Rubbish(plain(&format!("the answer can't be read: {e}"), WORDS)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::thread;

    #[test]
    fn an_answer_without_an_end_is_given_up_at_its_bound() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let writer = thread::spawn(move || {
            let (mut stream, _) = listener.accept().unwrap();
            // The reader closes before all is written.
            let _ = stream.write_all(&vec![b'x'; 64 << 20]);
        });
        let (mut link, mut said) = (Link::new(stream, 1, 0, (0, 0), "part held\n"), Vec::new());
        while said.is_empty() {
            link.move_on(&mut said);
            thread::yield_now();
        }
        assert!(matches!(&said[..], [Said::Rubbish(words)] if words.contains("too long")), "{said:?}");
        assert!(link.read <= PART_BYTES + 16 * 1024 && link.line.len() <= link.read);
        drop(link);
        writer.join().unwrap();
    }
}
