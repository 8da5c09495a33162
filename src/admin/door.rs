//! The door's sockets: all callers on one thread with a poller of its own. Nothing here waits for a caller: what one has
//! half said stays in its place until it is whole, its time is up, or a newcomer needs the place.

use super::{refusal, Desk, Heard, LINE_MOST};
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

/// Callers at a time, as a share of all descriptors and at most.
const PLACES_SHARE: usize = 8;
const PLACES_MOST: usize = 64;
/// How long a caller may take for its line, and to read its answer and close.
const LINE: Micros = Micros(5_000_000);
const PART: Micros = Micros(1_000_000);
/// Bytes of a caller that are read and dropped after its line.
const AFTER_MOST: usize = 16 * 1024;
/// With no descriptor free the next look is after so long.
const NO_DESCRIPTOR: Micros = Micros(5_000);
const LISTENER: Token = Token(0);
const ANSWERS: Token = Token(usize::MAX);

/// How many callers there may be at once where a process may hold so many descriptors.
pub fn places(sockets: usize) -> usize {
    (sockets / PLACES_SHARE).clamp(4, PLACES_MOST)
}

struct Caller {
    stream: TcpStream,
    line: Vec<u8>,
    out: Vec<u8>,
    /// Its line is answered.
    answered: bool,
    /// Its line is whole, and the answer comes from another thread.
    waits: bool,
    dropped: usize,
    until: Micros,
}

struct Door {
    desk: Desk,
    clock: Clock,
    poll: Poll,
    listener: TcpListener,
    /// Somebody may be waiting to be let in, from this moment on.
    knock: Option<Micros>,
    /// In the order in which they came.
    callers: BTreeMap<usize, Caller>,
    next: usize,
    places: usize,
    /// Answers that other threads make. One comes for each caller that waits, so they are bounded by those.
    later: Receiver<(usize, String)>,
    makers: Sender<(usize, String)>,
    waker: Arc<Waker>,
}

/// Takes the door's address.
pub fn bind(addr: SocketAddr) -> io::Result<std::net::TcpListener> {
    crate::net::acceptor::bind(&addr.to_string(), 256)
}

/// Serves the door for as long as the process lives; says where it is.
pub fn serve(
    listener: std::net::TcpListener, desk: Desk, clock: Clock, places: usize,
) -> io::Result<SocketAddr> {
    listener.set_nonblocking(true)?;
    let addr = listener.local_addr()?;
    let mut listener = TcpListener::from_std(listener);
    let poll = Poll::new()?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let (callers, (makers, later)) = (BTreeMap::new(), unbounded());
    let waker = Arc::new(Waker::new(poll.registry(), ANSWERS)?);
    let knock = Some(Micros(0));
    let mut door =
        Door { desk, clock, poll, listener, knock, callers, next: 1, places, later, makers, waker };
    spawn("door", move || {
        let mut events = Events::with_capacity(128);
        loop {
            door.round(&mut events);
        }
    })?;
    Ok(addr)
}

impl Door {
    fn round(&mut self, events: &mut Events) {
        let now = self.clock.now();
        let next = self.callers.values().map(|c| c.until).chain(self.knock).min();
        let wait = next.map(|at| std::time::Duration::from_micros((at - now).0.next_multiple_of(1000)));
        if self.poll.poll(events, wait).is_err() {
            events.clear();
        }
        let now = self.clock.now();
        for event in events.iter() {
            match event.token() {
                LISTENER => self.knock = Some(now),
                ANSWERS => {}
                Token(key) => self.hear(now, key),
            }
        }
        for (key, text) in self.later.try_iter().collect::<Vec<_>>() {
            self.answer(now, key, text);
        }
        // Whoever is here is heard before any of them makes room.
        self.let_in(now);
        let late: Vec<usize> = self.callers.iter().filter(|(_, c)| c.until <= now).map(|(k, _)| *k).collect();
        for key in late {
            match self.callers.get(&key) {
                Some(c) if c.answered => self.close(key),
                Some(c) if c.waits => self.answer(now, key, refusal("no answer came in time")),
                _ => self.answer(now, key, refusal("the line did not end in time")),
            }
        }
    }

    fn let_in(&mut self, now: Micros) {
        while self.knock.is_some_and(|at| at <= now) {
            match self.listener.accept() {
                Ok((stream, _)) => self.come(now, stream),
                Err(e) => match accept_fault(&e) {
                    AcceptFault::QueueEmpty => self.knock = None,
                    AcceptFault::ConnectionLost => {}
                    AcceptFault::Local => self.knock = Some(now + NO_DESCRIPTOR),
                    AcceptFault::NoDescriptor => {
                        self.make_room();
                        self.knock = Some(now + NO_DESCRIPTOR);
                    }
                },
            }
        }
    }

    fn come(&mut self, now: Micros, mut stream: TcpStream) {
        if self.callers.len() >= self.places {
            self.make_room();
        }
        let key = self.next;
        self.next += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut stream, Token(key), both).is_err() {
            return;
        }
        let (line, out) = (Vec::new(), Vec::new());
        let caller =
            Caller { stream, line, out, answered: false, waits: false, dropped: 0, until: now + LINE };
        self.callers.insert(key, caller);
        self.hear(now, key);
    }

    /// The newest are heard: who has its answer goes first, then who has been at its line for longest, and last whoever
    /// waits for an answer that is being made.
    fn make_room(&mut self) {
        let parting = self.callers.iter().find(|(_, c)| c.answered && c.out.is_empty());
        let half = || self.callers.iter().find(|(_, c)| !c.waits);
        let key = parting.or_else(half).or(self.callers.iter().next()).map(|(key, _)| *key);
        key.into_iter().for_each(|key| self.close(key));
    }

    fn close(&mut self, key: usize) {
        if let Some(mut caller) = self.callers.remove(&key) {
            // An error would say that it was not in the poll.
            let _ = self.poll.registry().deregister(&mut caller.stream);
        }
    }

    /// Reads what there is; answers a whole line; writes what is left to write.
    fn hear(&mut self, now: Micros, key: usize) {
        let mut buf = [0; 1024];
        while let Some(caller) = self.callers.get_mut(&key) {
            match caller.stream.read(&mut buf) {
                Ok(0) if caller.answered => return self.close(key),
                // Its own end is said, and it reads on; or it is gone, and the answer finds that out.
                Ok(0) if caller.waits => return,
                Ok(0) => return self.answer(now, key, refusal("the line has no end")),
                Ok(n) if caller.answered || caller.waits => {
                    caller.dropped += n;
                    if caller.dropped > AFTER_MOST {
                        return self.close(key);
                    }
                }
                Ok(n) => {
                    caller.line.extend_from_slice(&buf[..n]);
                    let end = caller.line.iter().position(|b| *b == b'\n');
                    if end.unwrap_or(caller.line.len()) > LINE_MOST {
                        self.answer(now, key, refusal("the line is too long"));
                    } else if let Some(end) = end {
                        let line = std::mem::take(&mut caller.line);
                        match self.desk.hear(line[..end].trim_ascii_end(), || self.tell(key)) {
                            Heard::Now(answer) => self.answer(now, key, answer),
                            Heard::Later(within) => {
                                if let Some(caller) = self.callers.get_mut(&key) {
                                    (caller.waits, caller.until) = (true, now + within + PART);
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

    /// How another thread hands over the answer to a caller.
    fn tell(&self, key: usize) -> Tell {
        let (to, waker) = (self.makers.clone(), self.waker.clone());
        Box::new(move |text| {
            if to.send((key, text)).is_ok() {
                // An error would say that the poller is gone, and the door with it.
                let _ = waker.wake();
            }
        })
    }

    fn answer(&mut self, now: Micros, key: usize, text: String) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        (caller.answered, caller.until) = (true, now + if caller.waits { LINE } else { PART });
        caller.waits = false;
        caller.line = Vec::new();
        caller.out = text.into_bytes();
        self.write(key);
    }

    /// After its answer a caller hears the end of it; its own end is waited for. Danger: a socket closed with bytes unread
    /// resets its connection, and the answer may be lost with it.
    fn write(&mut self, key: usize) {
        let Some(caller) = self.callers.get_mut(&key) else { return };
        while !caller.out.is_empty() {
            match caller.stream.write(&caller.out) {
                Ok(n) if n > 0 => drop(caller.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => return self.close(key),
            }
        }
        if caller.answered && caller.stream.shutdown(Shutdown::Write).is_err() {
            self.close(key);
        }
    }
}
