//! The sockets of the admin server: one thread with a poller of its own serves all connections and never blocks on one of
//! them. An incomplete line is kept until it is complete, its time is up, or the connection is closed for a new one.

use super::{refusal, CommandHandler, Reply, MAX_LINE_BYTES};
use crate::api::Micros;
use crate::core::Clock;
use crate::net::ask::Tell;
use crate::net::errors::{accept_fault, AcceptFault};
use crate::net::spawn;
use crossbeam_channel::{unbounded, Receiver, Sender};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::Arc;

/// Connections at a time: the descriptors divided by this, with an upper bound.
const DESCRIPTORS_PER_CONNECTION: usize = 8;
const MAX_CONNECTIONS: usize = 64;
/// Time in which a client must send its line, or read an answer that another thread computed.
const LINE_TIMEOUT: Micros = Micros(5_000_000);
/// Time in which a client must read an immediate answer and close the connection, and the margin on the time that another
/// thread has for an answer.
const CLOSE_TIMEOUT: Micros = Micros(1_000_000);
/// Most bytes that are read and discarded after the line.
const MAX_DISCARDED_BYTES: usize = 16 * 1024;
/// Delay before the next `accept` after no descriptor was free.
const NO_DESCRIPTOR_RETRY_DELAY: Micros = Micros(5_000);
const LISTENER: Token = Token(0);
const ANSWER_READY: Token = Token(usize::MAX);

/// Most connections at a time if the process may have this many descriptors.
pub fn max_connections(descriptors: usize) -> usize {
    (descriptors / DESCRIPTORS_PER_CONNECTION).clamp(4, MAX_CONNECTIONS)
}

struct Connection {
    stream: TcpStream,
    line: Vec<u8>,
    unsent: Vec<u8>,
    /// The line was answered.
    answered: bool,
    /// The line is complete, and another thread computes the answer.
    awaits_answer: bool,
    discarded_bytes: usize,
    deadline: Micros,
}

struct Server {
    handler: CommandHandler,
    clock: Clock,
    poll: Poll,
    listener: TcpListener,
    /// Time from which `accept` is to be called; `None` if no client is waiting.
    accept_at: Option<Micros>,
    /// In the order in which they were accepted.
    connections: BTreeMap<usize, Connection>,
    next_key: usize,
    max_connections: usize,
    /// Answers from other threads. There is at most one per connection that awaits one, so the channel needs no bound.
    answers: Receiver<(usize, String)>,
    answer_sender: Sender<(usize, String)>,
    waker: Arc<Waker>,
}

/// Binds the address of the admin server.
pub fn bind(addr: SocketAddr) -> io::Result<std::net::TcpListener> {
    crate::net::acceptor::bind(&addr.to_string(), 256)
}

/// Starts the thread that serves connections until the process ends. Returns the address.
pub fn serve(
    listener: std::net::TcpListener, handler: CommandHandler, clock: Clock, max_connections: usize,
) -> io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let mut listener = TcpListener::from_std(listener);
    let poll = Poll::new()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let (connections, (answer_sender, answers)) = (BTreeMap::new(), unbounded());
    let waker = Arc::new(Waker::new(poll.registry(), ANSWER_READY)?);
    let accept_at = Some(Micros(0));
    let mut server = Server {
        handler,
        clock,
        poll,
        listener,
        accept_at,
        connections,
        next_key: 1,
        max_connections,
        answers,
        answer_sender,
        waker,
    };
    spawn("door", move || {
        let mut events = Events::with_capacity(128);
        loop {
            server.round(&mut events);
        }
    })?;
    Ok(addr)
}

impl Server {
    fn round(&mut self, events: &mut Events) {
        let now = self.clock.now();
        let next = self.connections.values().map(|c| c.deadline).chain(self.accept_at).min();
        let timeout = next.map(|at| std::time::Duration::from_micros((at - now).0.next_multiple_of(1000)));
        if self.poll.poll(events, timeout).is_err() {
            events.clear();
        }
        let now = self.clock.now();
        for event in events.iter() {
            match event.token() {
                LISTENER => self.accept_at = Some(now),
                ANSWER_READY => {}
                Token(key) => self.read(now, key),
            }
        }
        for (key, text) in self.answers.try_iter().collect::<Vec<_>>() {
            self.answer(now, key, text);
        }
        // Existing connections are read before one of them can be closed for a new one.
        self.accept(now);
        let expired: Vec<usize> =
            self.connections.iter().filter(|(_, c)| c.deadline <= now).map(|(k, _)| *k).collect();
        for key in expired {
            match self.connections.get(&key) {
                Some(c) if c.answered => self.close(key),
                Some(c) if c.awaits_answer => self.answer(now, key, refusal("no answer came in time")),
                _ => self.answer(now, key, refusal("the line did not end in time")),
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        while self.accept_at.is_some_and(|at| at <= now) {
            match self.listener.accept() {
                Ok((stream, _)) => self.add(now, stream),
                Err(e) => match accept_fault(&e) {
                    AcceptFault::QueueEmpty => self.accept_at = None,
                    AcceptFault::ConnectionLost => {}
                    AcceptFault::Local => self.accept_at = Some(now + NO_DESCRIPTOR_RETRY_DELAY),
                    AcceptFault::NoDescriptor => {
                        self.evict();
                        self.accept_at = Some(now + NO_DESCRIPTOR_RETRY_DELAY);
                    }
                },
            }
        }
    }

    fn add(&mut self, now: Micros, mut stream: TcpStream) {
        if self.connections.len() >= self.max_connections {
            self.evict();
        }
        let key = self.next_key;
        self.next_key += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(key), both).is_err() {
            return;
        }
        let (line, unsent) = (Vec::new(), Vec::new());
        let connection = Connection {
            stream,
            line,
            unsent,
            answered: false,
            awaits_answer: false,
            discarded_bytes: 0,
            deadline: now + LINE_TIMEOUT,
        };
        self.connections.insert(key, connection);
        self.read(now, key);
    }

    /// Closes a connection so that a new one can be served: the oldest that has its whole answer, else the oldest whose
    /// line is incomplete, else the oldest that awaits an answer.
    fn evict(&mut self) {
        let finished = self.connections.iter().find(|(_, c)| c.answered && c.unsent.is_empty());
        let incomplete = || self.connections.iter().find(|(_, c)| !c.awaits_answer);
        let key = finished.or_else(incomplete).or(self.connections.iter().next()).map(|(key, _)| *key);
        key.into_iter().for_each(|key| self.close(key));
    }

    fn close(&mut self, key: usize) {
        if let Some(mut connection) = self.connections.remove(&key) {
            // An error would mean that the socket was not registered.
            let _ = self.poll.registry().deregister(&mut connection.stream);
        }
    }

    /// Reads what is available, executes a complete line, and writes what is unsent.
    fn read(&mut self, now: Micros, key: usize) {
        let mut buf = [0; 1024];
        while let Some(connection) = self.connections.get_mut(&key) {
            match connection.stream.read(&mut buf) {
                Ok(0) if connection.answered => return self.close(key),
                // The client has closed its sending side and still reads, or it is gone and writing the answer will fail.
                Ok(0) if connection.awaits_answer => return,
                Ok(0) => return self.answer(now, key, refusal("the line has no end")),
                Ok(n) if connection.answered || connection.awaits_answer => {
                    connection.discarded_bytes += n;
                    if connection.discarded_bytes > MAX_DISCARDED_BYTES {
                        return self.close(key);
                    }
                }
                Ok(n) => {
                    connection.line.extend_from_slice(&buf[..n]);
                    let end = connection.line.iter().position(|b| *b == b'\n');
                    if end.unwrap_or(connection.line.len()) > MAX_LINE_BYTES {
                        self.answer(now, key, refusal("the line is too long"));
                    } else if let Some(end) = end {
                        let line = std::mem::take(&mut connection.line);
                        match self.handler.handle(line[..end].trim_ascii_end(), || self.callback(key)) {
                            Reply::Now(answer) => self.answer(now, key, answer),
                            Reply::Later(within) => {
                                if let Some(connection) = self.connections.get_mut(&key) {
                                    (connection.awaits_answer, connection.deadline) =
                                        (true, now + within + CLOSE_TIMEOUT);
                                }
                            }
                        }
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return self.write(key),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.close(key),
            }
        }
    }

    /// The callback by which another thread passes the answer for a connection.
    fn callback(&self, key: usize) -> Tell {
        let (sender, waker) = (self.answer_sender.clone(), self.waker.clone());
        Box::new(move |text| {
            if sender.send((key, text)).is_ok() {
                // An error would mean that the poller is gone, and the server with it.
                let _ = waker.wake();
            }
        })
    }

    fn answer(&mut self, now: Micros, key: usize, text: String) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        (connection.answered, connection.deadline) =
            (true, now + if connection.awaits_answer { LINE_TIMEOUT } else { CLOSE_TIMEOUT });
        connection.awaits_answer = false;
        connection.line = Vec::new();
        connection.unsent = text.into_bytes();
        self.write(key);
    }

    /// Writes what is unsent. After the answer the sending side is closed, and the connection is kept until the client
    /// closes its side too: closing a socket with unread bytes resets the connection, and the answer could be lost.
    fn write(&mut self, key: usize) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        while !connection.unsent.is_empty() {
            match connection.stream.write(&connection.unsent) {
                Ok(n) if n > 0 => drop(connection.unsent.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return self.close(key),
            }
        }
        if connection.answered && connection.stream.shutdown(Shutdown::Write).is_err() {
            self.close(key);
        }
    }
}
