//! The lobby of a listener: all of its connections on one thread, which hears those that speak and costs nothing for those
//! that don't. Who may come in and who must go is [`crate::admission`]'s to say; what is said is the front's ([`Talker`]).
//!
//! A round: wait until something happens; let newcomers in; hear those that have sent something; answer all requests that
//! came together in one go, so that one write of the journal covers them; write the answers; tell the core which of them
//! were written. Nothing in a round waits for a client: what a client does not read stays in its seat until it does, and
//! what it has half sent too.
//!
//! Readiness is told by edges (epoll through mio), so a seat remembers whether there may be more to read.

use crate::admission::{Admission, Entry, Rules, Standing};
use crate::api::Micros;
use crate::core::Clock;
use crate::net::conn;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, ToSocketAddrs};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// So many are let in, and so many requests answered, in one go: the others must not wait for long.
const LET_IN_MOST: usize = 64;
const TOGETHER_MOST: usize = 32;
/// How long an answer may take to be read.
const WRITE: Micros = Micros(500_000);
/// How long there are fewer places, and how long to wait, where no descriptor was free.
const SQUEEZED: Micros = Micros(5_000_000);
const NO_DESCRIPTOR: Micros = Micros(5_000);
const NO_DESCRIPTOR_NAP: std::time::Duration = std::time::Duration::from_millis(5);
/// After its last word a client may still be sending; no more than this is read of it. Danger: a socket closed with bytes
/// unread resets its connection, and the client may lose the answer that it was just sent; but whoever floods it takes the
/// processor from all others.
const AFTER_MOST: usize = 72 * 1024;
/// Something is looked at so often even if nothing happens.
const LOOK: Micros = Micros(250_000);

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST: u64 = 2;

/// What came of hearing a client.
pub enum Heard<A> {
    /// More must come first. `begun`: a request or a transaction is under way.
    More {
        /// See there.
        begun: bool,
    },
    /// A whole request; it is answered together with others.
    Ask(A),
    /// It was answered by the front itself. `fault`: it could not be used.
    Said {
        /// See there.
        fault: bool,
    },
    /// The last word is said.
    Last,
}

/// The answer to a request.
pub struct Reply {
    /// Its bytes.
    pub text: String,
    /// It is the last word.
    pub last: bool,
    /// The request could not be used.
    pub fault: bool,
    /// The message that it takes on: reported once the answer is written, or can't be.
    pub receipt: Option<u64>,
}

/// Why one must go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bye {
    /// It asks nothing.
    Idle,
    /// What it has begun to send is not whole.
    Half,
    /// Too much is half sent, by all clients together.
    Full,
    /// It ended its side before its request was heard; no words: the front takes such a request all the same.
    Gone,
}

/// What a front does with its clients. Nothing here may wait for one.
pub trait Talker: Send + 'static {
    /// What is remembered of one client.
    type Talk: Send;
    /// A whole request.
    type Ask;

    /// A client is there; what it hears first goes to `out`.
    fn open(&self, from: SocketAddr, out: &mut Vec<u8>) -> Self::Talk;
    /// Hears what has come; says how much of it is done with.
    fn hear(&self, talk: &mut Self::Talk, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Heard<Self::Ask>);
    /// Answers requests that came together, in their order.
    fn answer(&self, asks: Vec<Self::Ask>) -> Vec<Reply>;
    /// Which answers that took a message on were written, and which could not be.
    fn written(&self, _receipts: &[(u64, bool)]) {}
    /// After a fault its client is not heard for so long.
    fn pause(&self, _talk: &mut Self::Talk) -> Micros {
        Micros(0)
    }
    /// What one hears that must go.
    fn farewell(&self, why: Bye) -> &'static str;
    /// What a newcomer hears for whom there is no place; none: it waits for one.
    fn full(&self) -> Option<&'static str>;
    /// What is remembered of a client, for another process that goes on with it.
    fn pack(&self, _talk: &Self::Talk) -> Vec<u8> {
        Vec::new()
    }
    /// The same by such words; what they don't say is as of a newcomer.
    fn unpack(&self, from: SocketAddr, _words: &[u8]) -> Self::Talk {
        self.open(from, &mut Vec::new())
    }
}

/// A seat in words: with its descriptor, all that another process needs to go on with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeatWords {
    talk: Vec<u8>,
    held: Vec<u8>,
    out: Vec<u8>,
    /// Messages whose answers are being written.
    pub receipts: Vec<u64>,
    asked: u32,
    ended: bool,
    last: bool,
    after: Option<usize>,
}

/// Runs in a lobby's thread between two rounds, with its listener and its seats; `true`: another process has them now.
pub type Pass = Box<dyn FnOnce(BorrowedFd, &[(BorrowedFd, SeatWords)]) -> bool + Send>;

/// What one lobby has seen, for overviews.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Places there are.
    pub places: u64,
    /// Connections that hold one, by what they have shown.
    pub open: BTreeMap<Standing, u64>,
    /// Connections let in so far.
    pub let_in: u64,
    /// Of those, closed to make room for others, by what they had shown.
    pub made_room: BTreeMap<Standing, u64>,
    /// Closed because they had held their place for as long as they may.
    pub timed_out: u64,
    /// Times that newcomers had to wait, since nobody could make room.
    pub kept_waiting: u64,
    /// Times that no descriptor was free.
    pub no_descriptor: u64,
    /// Requests whose client had gone before they were heard.
    #[serde(default)]
    pub gone: u64,
    /// Requests answered, and the most of them in one go.
    pub answered: u64,
    /// See there.
    pub together_most: u64,
}

/// The lobbies of one front as others see them.
#[derive(Clone)]
pub struct Door {
    closing: Arc<AtomicBool>,
    lobbies: Arc<Mutex<Vec<Peek>>>,
    /// Descriptors that calls wait for.
    wanted: Arc<AtomicUsize>,
}

struct Peek {
    name: &'static str,
    open: Arc<AtomicUsize>,
    tally: Arc<Mutex<Tally>>,
    waker: Waker,
    pass: Arc<Mutex<Option<Pass>>>,
}

impl Default for Door {
    fn default() -> Door {
        Door::new()
    }
}

impl Door {
    /// A door that is open, to no lobby yet.
    pub fn new() -> Door {
        Door { closing: Arc::default(), lobbies: Arc::default(), wanted: Arc::default() }
    }

    fn lobbies(&self) -> MutexGuard<'_, Vec<Peek>> {
        self.lobbies.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How many connections are there.
    pub fn count(&self) -> usize {
        self.lobbies().iter().map(|l| l.open.load(Ordering::SeqCst)).sum()
    }

    /// What each lobby has seen, by its name.
    pub fn tallies(&self) -> Vec<(&'static str, Tally)> {
        let of = |l: &Peek| (l.name, l.tally.lock().unwrap_or_else(PoisonError::into_inner).clone());
        self.lobbies().iter().map(of).collect()
    }

    /// Every session ends after the request that it is at, and at once if it is at none.
    pub fn close(&self) {
        if !self.closing.swap(true, Ordering::SeqCst) {
            // An error says that its lobby is gone.
            self.lobbies().iter().for_each(|l| drop(l.waker.wake()));
        }
    }

    /// Has the one lobby pass what it has, at its next quiet moment. An error says that there is not one lobby.
    pub fn pass(&self, pass: Pass) -> Result<(), &'static str> {
        match &self.lobbies()[..] {
            [lobby] => {
                *lobby.pass.lock().unwrap_or_else(PoisonError::into_inner) = Some(pass);
                lobby.waker.wake().map_err(|_| "its lobby is gone")
            }
            [] => Err("nobody is served"),
            _ => Err("several listeners are served"),
        }
    }

    /// Connects before the deadline, for whatever this process calls. Danger: where sessions hold all descriptors, and
    /// nobody knocks who would have them make room, calls and notices would fail for as long as the sessions stay; so one
    /// that idles makes room for this call.
    pub fn connect(&self, addr: SocketAddr, until: std::time::Instant) -> io::Result<std::net::TcpStream> {
        loop {
            match conn::connect(addr, until) {
                Err(e)
                    if conn::no_descriptor(&e) && std::time::Instant::now() + NO_DESCRIPTOR_NAP < until =>
                {
                    self.wanted.fetch_add(1, Ordering::SeqCst);
                    // An error says that its lobby is gone.
                    self.lobbies().iter().for_each(|l| drop(l.waker.wake()));
                    std::thread::sleep(NO_DESCRIPTOR_NAP);
                }
                other => return other,
            }
        }
    }

    /// The process is about to end.
    pub fn closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }
}

/// Opens a listening socket; so many connections may wait to be let in, if the kernel allows (`net.core.somaxconn`).
/// Danger: the standard library asks for 128; a crowd overflows that, and a client whose connection request is dropped
/// tries again a second later.
pub fn bind(addr: &str, backlog: i32) -> io::Result<std::net::TcpListener> {
    let addr = addr.to_socket_addrs()?.next().ok_or(ErrorKind::AddrNotAvailable)?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}

struct Seat<T> {
    stream: TcpStream,
    talk: T,
    /// What has come and is not done with.
    held: Vec<u8>,
    /// What is said and not written.
    out: Vec<u8>,
    receipts: Vec<u64>,
    /// There may be more to read.
    readable: bool,
    /// What is held may be a whole request.
    unheard: bool,
    /// Its client has ended, by the poll's word; and all that came before has been read.
    hung_up: bool,
    ended: bool,
    /// After what is said nothing more is.
    last: bool,
    /// Bytes that are still read, and dropped, after the last word.
    after: Option<usize>,
    /// Not heard, or not written to, until then; then it is looked at.
    until: Option<Micros>,
}

impl<T> Seat<T> {
    fn hears(&self) -> bool {
        self.out.is_empty() && !self.last && self.until.is_none()
    }
}

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
        let pass = Arc::default();
        door.lobbies().push(Peek {
            name,
            open: open.clone(),
            tally: told.clone(),
            waker,
            pass: Arc::clone(&pass),
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
            held: 0,
            held_most: room.all,
            buf: vec![0; room.one],
            receipts: Vec::new(),
            open,
            tally,
            told,
            told_at: Micros(0),
            pass,
        })
    }

    /// Goes on with a session of another process.
    pub fn adopt(&mut self, fd: OwnedFd, words: SeatWords) {
        let stream = std::net::TcpStream::from(fd);
        let from = stream.peer_addr().and_then(|from| stream.set_nonblocking(true).map(|()| from));
        let mut stream = TcpStream::from_std(stream);
        let (key, now) = (self.next, self.clock.now());
        let interest = Interest::READABLE | Interest::WRITABLE;
        let placed = self.poll.registry().register(&mut stream, Token(key as usize), interest);
        let (Ok(from), Ok(())) = (from, placed) else {
            self.receipts.extend(words.receipts.into_iter().map(|msg| (msg, false)));
            return;
        };
        self.next += 1;
        let SeatWords { talk, held, out, receipts, asked, ended, last, after } = words;
        let talk = self.front.unpack(from, &talk);
        self.admission.connected(now, key, from.ip());
        for _ in 0..asked {
            self.admission.whole(now, key);
            self.admission.answered(now, key, false);
        }
        if !held.is_empty() {
            self.admission.bytes(now, key);
        }
        if after.is_some() {
            self.admission.parting(now, key);
        }
        self.held += held.len();
        let (unheard, readable, hung_up, until) = (!held.is_empty(), true, false, None);
        let seat =
            Seat { stream, talk, held, out, receipts, readable, unheard, hung_up, ended, last, after, until };
        self.seats.insert(key, seat);
        self.open.store(self.seats.len(), Ordering::SeqCst);
        self.flush(now, key);
        self.look(key);
    }

    /// Passes everything to another process, if that is asked for; `true`: it has it.
    fn passes(&mut self) -> bool {
        let Some(pass) = self.pass.lock().unwrap_or_else(PoisonError::into_inner).take() else {
            return false;
        };
        self.report();
        let words = |key: &u64, seat: &Seat<F::Talk>| SeatWords {
            talk: self.front.pack(&seat.talk),
            held: seat.held.clone(),
            out: seat.out.clone(),
            receipts: seat.receipts.clone(),
            asked: match self.admission.standing(*key) {
                Some(Standing::Once) => 1,
                Some(Standing::Steady) => 2,
                _ => 0,
            },
            ended: seat.ended,
            last: seat.last,
            after: seat.after,
        };
        let seats: Vec<_> =
            self.seats.iter().map(|(key, seat)| (seat.stream.as_fd(), words(key, seat))).collect();
        pass(self.listener.as_fd(), &seats)
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
                return;
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

    fn wake_at(&self, now: Micros) -> Micros {
        let waits = if self.knock { self.shut_until.or(Some(now)) } else { None };
        let timer = self.timers.first().map(|t| t.0);
        let at = [waits, timer, self.admission.next_at()].into_iter().flatten().min();
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
    fn look(&mut self, key: u64) {
        if let Some(seat) = self.seats.get_mut(&key) {
            seat.readable = true;
            self.turn.push(key);
        }
    }

    // ---- Who comes in, and who goes ----

    /// Sessions that idle make room for calls that found no descriptor.
    fn give_way(&mut self, now: Micros) {
        for _ in 0..self.door.wanted.swap(0, Ordering::SeqCst).min(LET_IN_MOST) {
            self.tally.no_descriptor += 1;
            let Some(key) = self.admission.give_way(now, now + SQUEEZED) else { return };
            if let Some(standing) = self.make_room(now, key) {
                *self.tally.made_room.entry(standing).or_default() += 1;
            }
        }
    }

    fn let_in(&mut self, now: Micros) {
        if self.shut_until.is_some_and(|at| at > now) {
            return;
        }
        self.shut_until = None;
        for _ in 0..LET_IN_MOST {
            if !self.knock {
                return;
            }
            match self.admission.enter(now) {
                Entry::Come => self.accept(now),
                Entry::After(key) => {
                    // It has spoken: it is heard first, and the next round looks again.
                    let Some(standing) = self.make_room(now, key) else { return };
                    *self.tally.made_room.entry(standing).or_default() += 1;
                }
                Entry::Wait(until) => {
                    self.tally.kept_waiting += 1;
                    match self.front.full() {
                        Some(words) => self.refuse(words),
                        None => {
                            self.shut_until = Some(until.max(now + Micros(1_000)));
                            return;
                        }
                    }
                }
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        match self.listener.accept() {
            Ok((mut stream, from)) => {
                let (key, token) = (self.next, Token(self.next as usize));
                let interest = Interest::READABLE | Interest::WRITABLE;
                // A connection that can't be set up is closed at once, and its client sees that.
                if stream.set_nodelay(true).is_err()
                    || self.poll.registry().register(&mut stream, token, interest).is_err()
                {
                    return;
                }
                self.next += 1;
                self.tally.let_in += 1;
                let mut out = Vec::new();
                let talk = self.front.open(from, &mut out);
                let seat = Seat {
                    stream,
                    talk,
                    held: Vec::new(),
                    out,
                    receipts: Vec::new(),
                    readable: false,
                    unheard: false,
                    hung_up: false,
                    ended: false,
                    last: false,
                    after: None,
                    until: None,
                };
                self.seats.insert(key, seat);
                self.admission.connected(now, key, from.ip());
                self.open.store(self.seats.len(), Ordering::SeqCst);
                self.flush(now, key);
                self.look(key);
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.knock = false,
            // The client went again.
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
            Err(_) => {
                // Danger: with no descriptor free the newcomer can't even be refused, and its knock would keep the
                // lobby turning round. So there are fewer places for a while, and one that idles makes room. Only
                // where nobody is there to do so the spare descriptor takes it, to tell it where the front has words.
                self.tally.no_descriptor += 1;
                if self.admission.is_empty() {
                    self.spare = None;
                    self.refuse(self.front.full().unwrap_or(""));
                    self.spare = File::open("/dev/null").ok();
                }
                self.admission.squeeze(now + SQUEEZED);
                self.shut_until = Some(now + NO_DESCRIPTOR);
            }
        }
    }

    fn refuse(&mut self, words: &str) {
        match self.listener.accept() {
            // It has just connected, so these few bytes fit into its buffer. An error says that it is gone.
            Ok((mut stream, _)) => drop(stream.write(words.as_bytes())),
            Err(e) if e.kind() == ErrorKind::WouldBlock => self.knock = false,
            Err(_) => {}
        }
    }

    /// Closes one, unless something has come from it just now. Danger: a request that crosses its session's end, or whose
    /// last part does, is lost, or must be sent again; so what has come is heard first.
    fn make_room(&mut self, now: Micros, key: u64) -> Option<Standing> {
        let standing = self.admission.standing(key)?;
        // Danger: one that does not read its answers is not heard, and would be chosen, and spared, again and again.
        let speaks = |s: &Seat<F::Talk>| s.hears() && s.stream.peek(&mut [0]).is_ok_and(|n| n > 0);
        let heard = !matches!(standing, Standing::Faulty | Standing::Parting);
        if heard && self.seats.get(&key).is_some_and(speaks) {
            self.admission.bytes(now, key);
            self.look(key);
            return None;
        }
        self.dismiss(key, standing);
        Some(standing)
    }

    /// Says farewell and closes.
    fn dismiss(&mut self, key: u64, standing: Standing) {
        if let Some(seat) = self.seats.get_mut(&key) {
            // Nothing waits to be written, so these few bytes fit. An error says that it is closed already.
            let why = if standing == Standing::Asking { Bye::Half } else { Bye::Idle };
            let words = self.front.farewell(why);
            if !words.is_empty() && seat.out.is_empty() && !seat.last {
                let _ = seat.stream.write(words.as_bytes());
            }
            // What is unread would reset the connection and could destroy its answer.
            let mut sink = [0; 8 * 1024];
            let mut left = AFTER_MOST;
            while left > 0 && seat.stream.read(&mut sink).is_ok_and(|n| n > 0) {
                left = left.saturating_sub(sink.len());
            }
        }
        self.close(key);
    }

    fn close(&mut self, key: u64) {
        let Some(mut seat) = self.seats.remove(&key) else { return };
        self.admission.closed(key);
        self.held -= seat.held.len();
        self.receipts.extend(seat.receipts.drain(..).map(|msg| (msg, false)));
        if let Some(at) = seat.until {
            self.timers.remove(&(at, key));
        }
        // Closing takes it out of the poll; an error would say that it was not in it.
        let _ = self.poll.registry().deregister(&mut seat.stream);
        self.open.store(self.seats.len(), Ordering::SeqCst);
    }

    fn set_until(&mut self, key: u64, until: Option<Micros>) {
        let Some(seat) = self.seats.get_mut(&key) else { return };
        if let Some(at) = std::mem::replace(&mut seat.until, until) {
            self.timers.remove(&(at, key));
        }
        self.timers.extend(until.map(|at| (at, key)));
    }

    fn time(&mut self, now: Micros) {
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.set_until(key, None);
            let Some(seat) = self.seats.get(&key) else { continue };
            if seat.out.is_empty() {
                self.turn.push(key); // its pause is over
            } else {
                self.close(key); // it does not read
            }
        }
        while let Some(key) = self.admission.overdue(now) {
            // A request that is not whole by now is given up, whatever still comes of it.
            match self.admission.standing(key) {
                Some(Standing::Asking) => self.dismiss(key, Standing::Asking),
                _ if self.make_room(now, key).is_none() => continue,
                _ => {}
            }
            self.tally.timed_out += 1;
        }
    }

    // ---- Hearing and answering ----

    fn hear_all(&mut self, now: Micros, closing: bool) {
        let mut turn = std::mem::take(&mut self.turn);
        turn.sort_unstable();
        turn.dedup();
        let (mut keys, mut asks) = (Vec::new(), Vec::new());
        for key in turn {
            if let Some(ask) = self.hear(now, key, closing) {
                self.admission.whole(now, key);
                keys.push(key);
                asks.push(ask);
            }
            if asks.len() >= TOGETHER_MOST {
                self.answer(std::mem::take(&mut keys), std::mem::take(&mut asks));
            }
        }
        if !asks.is_empty() {
            self.answer(keys, asks);
        }
    }

    /// Reads what one client has sent, and hears it up to its first whole request.
    fn hear(&mut self, now: Micros, key: u64, closing: bool) -> Option<F::Ask> {
        loop {
            let seat = self.seats.get_mut(&key)?;
            if seat.after.is_some() {
                self.drain(key);
                return None;
            }
            if !seat.hears() {
                return None;
            }
            let mut filled = seat.held.len();
            self.held -= filled;
            self.buf[..filled].copy_from_slice(&seat.held);
            seat.held.clear();
            let room = self.buf.len();
            let mut news = std::mem::take(&mut seat.unheard) && filled > 0;
            while seat.readable && filled < room {
                match seat.stream.read(&mut self.buf[filled..]) {
                    Ok(0) => (seat.ended, seat.readable) = (true, false),
                    Ok(n) => {
                        filled += n;
                        news = true;
                        // A short read has found all that there was. Danger: an end that came with these bytes is told
                        // by no edge of its own; it is read for.
                        seat.readable = seat.hung_up || filled == room;
                    }
                    Err(e) if e.kind() == ErrorKind::WouldBlock => seat.readable = false,
                    Err(e) if e.kind() == ErrorKind::Interrupted => {}
                    Err(_) => {
                        self.close(key);
                        return None;
                    }
                }
                // What is there is heard first: most often it is a whole request, and all that there is.
                if news {
                    break;
                }
            }
            let mut at = 0;
            let mut end = None;
            while news && at < filled && end.is_none() {
                let (used, heard) = self.front.hear(&mut seat.talk, &self.buf[at..filled], &mut seat.out);
                at += used;
                match heard {
                    Heard::Said { fault: false } if used > 0 => {}
                    other => end = Some(other),
                }
            }
            let left = filled - at;
            if left > 0 {
                seat.held.extend_from_slice(&self.buf[at..filled]);
                self.held += left;
            } else if seat.held.capacity() > 0 {
                seat.held = Vec::new(); // an idle seat holds nothing
            }
            let (readable, ended, nothing) = (seat.readable, seat.ended, left == 0);
            match end {
                Some(Heard::Ask(ask)) => {
                    let words = self.front.farewell(Bye::Gone);
                    // One that was let in just now has had no event yet that would tell of its end.
                    let ended = |s: &Seat<F::Talk>| s.stream.peek(&mut [0]).is_ok_and(|n| n == 0);
                    if !words.is_empty() && (seat.ended || seat.hung_up || ended(seat)) {
                        // Danger: a client that was not answered in time closes, and hands in elsewhere. A process that
                        // was held up finds its request with the end behind it; taken on now, it would be delivered
                        // beside the other. Who has only ended its sending reads that it is to come again.
                        self.tally.gone += 1;
                        seat.out.extend(words.as_bytes());
                        seat.last = true;
                        self.flush(now, key);
                        return None;
                    }
                    seat.unheard = left > 0;
                    return Some(ask);
                }
                Some(Heard::Last) => {
                    seat.last = true;
                    self.flush(now, key);
                    return None;
                }
                Some(Heard::Said { fault }) => {
                    seat.unheard = left > 0;
                    self.said(now, key, fault);
                    return None;
                }
                Some(Heard::More { begun }) => {
                    if begun {
                        self.admission.bytes(now, key);
                    }
                    if self.held > self.held_most && left > 0 {
                        let words = self.front.farewell(Bye::Full);
                        seat.out.extend(words.as_bytes());
                        seat.last = true;
                    }
                    self.flush(now, key);
                }
                None if news => {
                    self.said(now, key, false);
                    return None;
                }
                None => {}
            }
            // Danger: an end that crosses a whole request must not eat it; so it counts once all is heard.
            if ended
                || closing && !readable && nothing && self.admission.standing(key) != Some(Standing::Asking)
            {
                if self.seats.get(&key).is_some_and(|s| s.out.is_empty()) {
                    self.close(key);
                }
                return None;
            }
            if !readable || self.seats.get(&key).is_some_and(|s| s.held.len() >= room) {
                return None;
            }
        }
    }

    /// Reads, and drops, what comes after the last word.
    fn drain(&mut self, key: u64) {
        let Some(seat) = self.seats.get_mut(&key) else { return };
        let mut sink = [0; 8 * 1024];
        loop {
            match seat.stream.read(&mut sink) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(n) if n > 0 && seat.after.is_some_and(|left| left > n) => {
                    seat.after = seat.after.map(|left| left - n);
                }
                _ => return self.close(key),
            }
        }
    }

    fn answer(&mut self, keys: Vec<u64>, asks: Vec<F::Ask>) {
        self.tally.answered += asks.len() as u64;
        self.tally.together_most = self.tally.together_most.max(asks.len() as u64);
        let replies = self.front.answer(asks);
        let now = self.clock.now();
        for (key, reply) in keys.into_iter().zip(replies) {
            let Some(seat) = self.seats.get_mut(&key) else {
                self.receipts.extend(reply.receipt.map(|msg| (msg, false)));
                continue;
            };
            seat.out.extend(reply.text.as_bytes());
            seat.receipts.extend(reply.receipt);
            seat.last |= reply.last;
            self.said(now, key, reply.fault);
        }
        self.report();
    }

    /// What was heard is answered, and the answer goes out.
    fn said(&mut self, now: Micros, key: u64, fault: bool) {
        self.admission.answered(now, key, fault);
        let pause = match self.seats.get_mut(&key) {
            Some(seat) if fault => Some(now + self.front.pause(&mut seat.talk)),
            _ => None,
        };
        self.flush(now, key);
        let Some(seat) = self.seats.get_mut(&key) else { return };
        if pause.is_some() && seat.out.is_empty() && !seat.last {
            self.set_until(key, pause);
        } else if seat.unheard || seat.readable {
            self.turn.push(key);
        }
    }

    /// Writes what is said, as far as the client takes it.
    fn flush(&mut self, now: Micros, key: u64) {
        let Some(seat) = self.seats.get_mut(&key) else { return };
        let waited = !seat.out.is_empty() && seat.until.is_some();
        let mut written = 0;
        let broke = loop {
            if written == seat.out.len() {
                break false;
            }
            match seat.stream.write(&seat.out[written..]) {
                Ok(0) => break true,
                Ok(n) => written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => break false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break true,
            }
        };
        seat.out.drain(..written);
        if broke {
            return self.close(key);
        }
        if !seat.out.is_empty() {
            if !waited {
                self.set_until(key, Some(now + WRITE));
            }
            return;
        }
        seat.out = Vec::new();
        self.receipts.extend(seat.receipts.drain(..).map(|msg| (msg, true)));
        if seat.last && seat.after.is_none() {
            seat.after = Some(AFTER_MOST);
            let over = seat.ended || seat.stream.shutdown(Shutdown::Write).is_err();
            self.held -= seat.held.len();
            seat.held = Vec::new();
            self.admission.parting(now, key);
            if over {
                return self.close(key);
            }
            self.turn.push(key);
        }
        if waited {
            self.set_until(key, None);
            self.turn.push(key);
        }
    }

    /// Tells the core which answers were written, all of a round at once.
    fn report(&mut self) {
        if !self.receipts.is_empty() {
            self.front.written(&self.receipts);
            self.receipts.clear();
        }
    }
}
