//! The lobby of a listener: all of its connections on one thread, which hears those that speak and costs nothing for those
//! that don't. Who may come in and who must go is [`crate::admission`]'s to say; what is said is the front's ([`Talker`]).
//!
//! A round: wait until something happens; let newcomers in; hear those that have sent something; answer all requests that
//! came together in one go, so that one write of the journal covers them; write the answers; tell the core which of them
//! were written. Nothing in a round waits for a client: what a client does not read stays in its seat until it does, and
//! what it has half sent too.
//!
//! Readiness is told by edges (epoll through mio), so a seat remembers whether there may be more to read.

mod answering;
mod door;
mod entering;
mod front;
mod hearing;
mod passing;
mod seat;

pub use door::{bind, Door, Pass, Tally};
pub use front::{Bye, Heard, Reply, Talker};
pub use seat::SeatWords;

use super::errors::{accept_fault, AcceptFault};
use super::transfer::{receive, send, Received, Sent};
use crate::admission::{Admission, Entry, Rules, Standing};
use crate::api::Micros;
use crate::core::Clock;
use door::Peek;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use seat::Seat;
use std::collections::{BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// After its last word a client may still be sending; no more than this is read of it. Danger: a socket closed with bytes
/// unread resets its connection, and the client may lose the answer that it was just sent; but whoever floods it takes the
/// processor from all others.
const AFTER_MOST: usize = 72 * 1024;
/// Something is looked at so often even if nothing happens.
const LOOK: Micros = Micros(250_000);

/// What this machine lacked for a read or a write is tried again so soon.
const STALLED: Micros = Micros(2_000);

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST: u64 = 2;

/// Room for what is half sent, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct HeldRoom {
    /// Of all connections together, about.
    pub all: usize,
    /// Of one; the longest request must fit.
    pub one: usize,
}

/// Ends the process with a thread that panics. What is owed is written down, and the next life takes it up.
struct Fatal;

impl Drop for Fatal {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!(target: "lobby", "a lobby has failed; the process ends, what is owed stays owed");
            std::process::exit(70);
        }
    }
}

/// See the module.
pub struct Lobby<F: Talker> {
    front: F,
    clock: Clock,
    door: Door,
    poll: Poll,
    listener: TcpListener,
    /// Somebody may be waiting to be let in.
    knock: bool,
    /// Nobody can be let in until then.
    shut_until: Option<Micros>,
    /// A descriptor to refuse with where there is no other.
    spare: Option<File>,
    admission: Admission,
    seats: HashMap<u64, Seat<F::Talk>>,
    next: u64,
    timers: BTreeSet<(Micros, u64)>,
    /// Who is to be heard in this round.
    turn: Vec<u64>,
    /// Who could not be read or written because this machine lacked something: tried again soon.
    stalled: Vec<u64>,
    /// Bytes held in all seats, and how many there may be.
    held: usize,
    held_most: usize,
    buf: Vec<u8>,
    receipts: Vec<(u64, bool)>,
    open: Arc<AtomicUsize>,
    tally: Tally,
    told: Arc<Mutex<Tally>>,
    told_at: Micros,
    pass: Arc<Mutex<Option<Pass>>>,
    finished: Arc<AtomicBool>,
}

impl<F: Talker> Lobby<F> {
    /// A lobby for a listener, by the name under which its tally is told.
    pub fn new(
        name: &'static str, front: F, listener: std::net::TcpListener, door: &Door, clock: Clock,
        rules: Rules, room: HeldRoom,
    ) -> io::Result<Lobby<F>> {
        let poll = Poll::new()?;
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let (open, told) = (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(Tally::default())));
        let (pass, finished) = (Arc::default(), Arc::default());
        door.lobbies().push(Peek {
            name,
            open: open.clone(),
            tally: told.clone(),
            waker,
            pass: Arc::clone(&pass),
            finished: Arc::clone(&finished),
        });
        let tally = Tally { places: rules.places as u64, ..Tally::default() };
        Ok(Lobby {
            front,
            clock,
            door: door.clone(),
            poll,
            listener,
            knock: true,
            shut_until: None,
            spare: File::open("/dev/null").ok(),
            admission: Admission::new(rules),
            seats: HashMap::new(),
            next: FIRST,
            timers: BTreeSet::new(),
            turn: Vec::new(),
            stalled: Vec::new(),
            held: 0,
            held_most: room.all,
            buf: vec![0; room.one],
            receipts: Vec::new(),
            open,
            tally,
            told,
            told_at: Micros(0),
            pass,
            finished,
        })
    }

    /// Serves for as long as the process lives.
    pub fn run(mut self) {
        // Danger: a lobby that is gone leaves a process that looks alive and hears nobody.
        let _fatal = Fatal;
        let mut events = Events::with_capacity(256);
        let mut closing = false;
        loop {
            if self.passes() {
                self.open.store(0, Ordering::SeqCst);
                self.finished.store(true, Ordering::SeqCst);
                return;
            }
            if self.door.finishing() {
                return self.finish();
            }
            let now = self.clock.now();
            let wait = if self.turn.is_empty() { self.wake_at(now) - now } else { Micros(0) };
            // Danger: an interrupted wait is not an end: a process held to its part of a core by being stopped sees one
            // each time that it goes on.
            let wait = std::time::Duration::from_micros(wait.0.next_multiple_of(1000));
            if self.poll.poll(&mut events, Some(wait)).is_err() {
                events.clear();
            }
            let now = self.clock.now();
            for event in &events {
                match event.token() {
                    LISTENER => self.knock = true,
                    WAKER => {}
                    Token(key) => {
                        let key = key as u64;
                        if event.is_writable() && self.seats.get(&key).is_some_and(|s| !s.out.is_empty()) {
                            self.flush(now, key);
                        }
                        if let Some(seat) = self.seats.get_mut(&key) {
                            seat.hung_up |= event.is_read_closed() || event.is_error();
                            if seat.hung_up || event.is_readable() {
                                self.look(key);
                            }
                        }
                    }
                }
            }
            self.try_stalled(now);
            self.give_way(now);
            self.let_in(now);
            if self.door.closing() && !closing {
                closing = true;
                let all: Vec<u64> = self.seats.keys().copied().collect();
                all.into_iter().for_each(|key| self.look(key));
            }
            self.hear_all(now, closing);
            self.time(now);
            self.report();
            self.tell(now);
        }
    }

    /// What could not be read or written before may go now; no event tells of it.
    fn try_stalled(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.stalled) {
            if self.seats.get(&key).is_some_and(|seat| !seat.out.is_empty()) {
                self.flush(now, key);
            }
            self.look(key);
        }
    }

    fn wake_at(&self, now: Micros) -> Micros {
        let waits = if self.knock { self.shut_until.or(Some(now)) } else { None };
        let timer = self.timers.first().map(|t| t.0);
        let stalled = (!self.stalled.is_empty()).then_some(now + STALLED);
        let at = [waits, timer, stalled, self.admission.next_at()].into_iter().flatten().min();
        at.map_or(now + LOOK, |at| at.clamp(now, now + LOOK))
    }

    /// Tells what it has seen, now and then.
    fn tell(&mut self, now: Micros) {
        if now < self.told_at + LOOK {
            return;
        }
        self.told_at = now;
        let count = |standing: &Standing| (*standing, self.admission.count(*standing) as u64);
        self.tally.open = Standing::ALL.iter().map(count).filter(|(_, n)| *n > 0).collect();
        *self.told.lock().unwrap_or_else(PoisonError::into_inner) = self.tally.clone();
    }

    /// There may be something to read.
    pub(super) fn look(&mut self, key: u64) {
        if let Some(seat) = self.seats.get_mut(&key) {
            seat.readable = true;
            self.turn.push(key);
        }
    }
}
