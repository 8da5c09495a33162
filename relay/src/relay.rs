//! The relay's loop: one thread, one poller. It only moves bytes; what becomes of them is decided in `passage.rs`, and which
//! rules a connection meets in `rules.rs`.

use crate::passage::{End, Met, Passage};
use crate::record::{Event, Record};
use crate::rules::{stream, LinkName, Rule, Way, What};
use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use serde::Serialize;
use socket2::{Domain, SockRef, Socket, Type};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::thread;
use std::time::{Duration, Instant};

/// Bytes held for one direction: as much as a socket's buffers would.
const HELD: usize = 64 * 1024;
/// After a cut by FIN what still comes is read and dropped for so long, as closing over it would send RST.
const LINGER: u64 = 1_000_000;
const WAKES: Token = Token(usize::MAX);
/// Queue of connections that wait to be taken.
const BACKLOG: i32 = 1024;

/// What a relay may hold.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections passed on at once; what comes above that is reset.
    pub connections: usize,
    /// Bytes held for all of them.
    pub bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { connections: 8192, bytes: 64 << 20 }
    }
}

/// Counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Connections taken.
    pub taken: u64,
    /// Open now.
    pub open: usize,
    /// Most at once.
    pub most: usize,
    /// Reset as there were too many.
    pub over: u64,
    /// Whose other side could not be reached.
    pub unreached: u64,
    /// Bytes passed on.
    pub bytes: u64,
    /// Bytes held now.
    pub held: usize,
}

/// What a relay did so far.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Faults met, with their times in microseconds since it began.
    pub by_time: Vec<(u64, Event)>,
    /// The same without times, in the order of links, connections and bytes: equal for the same script and traffic.
    pub canonical: Vec<Event>,
    /// Faults that found no room in the record.
    pub lost: u64,
    /// Counts.
    pub counts: Counts,
}

/// Number of a rule, for taking it back.
pub type RuleNo = usize;

enum Ask {
    Link(LinkName, SocketAddr, Sender<io::Result<SocketAddr>>),
    Target(LinkName, SocketAddr, Sender<bool>),
    Add(Rule, Sender<RuleNo>),
    Lift(RuleNo, Sender<bool>),
    LiftAll(Sender<usize>),
    Read(Sender<Seen>),
    End,
}

/// A running relay; it ends with this.
pub struct Relay {
    asks: Sender<Ask>,
    waker: Waker,
    thread: Option<thread::JoinHandle<()>>,
    began: Instant,
}

impl Relay {
    /// Starts one with the rules of a script.
    pub fn start(seed: u64, rules: Vec<Rule>, limits: Limits) -> io::Result<Relay> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKES)?;
        let (asks, heard) = unbounded();
        let mut run = Run::new(poll, heard, seed, limits);
        let began = run.began;
        rules.into_iter().for_each(|rule| {
            run.add(rule);
        });
        let thread = thread::Builder::new().name("relay".into()).spawn(move || run.go())?;
        Ok(Relay { asks, waker, thread: Some(thread), began })
    }

    fn ask<T>(&self, by: impl FnOnce(Sender<T>) -> Ask) -> io::Result<T> {
        let (to, answer) = bounded(1);
        let gone = || io::Error::other("the relay has ended");
        self.asks.send(by(to)).map_err(|_| gone())?;
        self.waker.wake()?;
        answer.recv().map_err(|_| gone())
    }

    /// How long it has been running: the moments of rules count from its start.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }

    /// A link to this target; dial the address that comes back.
    pub fn link(&self, name: LinkName, target: SocketAddr) -> io::Result<SocketAddr> {
        self.ask(|to| Ask::Link(name, target, to))?
    }

    /// The target of a link has another address now.
    pub fn target(&self, name: LinkName, target: SocketAddr) -> io::Result<bool> {
        self.ask(|to| Ask::Target(name, target, to))
    }

    /// A rule more; open connections meet it too, from where they are.
    pub fn add(&self, rule: Rule) -> io::Result<RuleNo> {
        self.ask(|to| Ask::Add(rule, to))
    }

    /// A rule less; what it held goes on.
    pub fn lift(&self, rule: RuleNo) -> io::Result<bool> {
        self.ask(|to| Ask::Lift(rule, to))
    }

    /// No rules any more; says how many there were.
    pub fn lift_all(&self) -> io::Result<usize> {
        self.ask(Ask::LiftAll)
    }

    /// What was met so far, and counts.
    pub fn read(&self) -> io::Result<Seen> {
        self.ask(Ask::Read)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.asks.send(Ask::End);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Link {
    name: LinkName,
    addr: SocketAddr,
    target: SocketAddr,
    listener: Option<TcpListener>,
    /// Keeps the port while nobody listens on it.
    keeps: Socket,
    next: u64,
}

struct Conn {
    link: usize,
    number: u64,
    from: TcpStream,
    to: Option<TcpStream>,
    connected: bool,
    up: Passage,
    down: Passage,
    up_ended: bool,
    down_ended: bool,
    /// It was cut by FIN; what comes is dropped until then.
    drops_until: Option<u64>,
    wake: Option<u64>,
}

impl Conn {
    fn passage(&mut self, way: Way) -> &mut Passage {
        if way == Way::Up {
            &mut self.up
        } else {
            &mut self.down
        }
    }
}

struct Run {
    poll: Poll,
    asks: Receiver<Ask>,
    seed: u64,
    limits: Limits,
    began: Instant,
    links: Vec<Link>,
    by_name: HashMap<LinkName, usize>,
    conns: HashMap<usize, Conn>,
    next_conn: usize,
    rules: Vec<(Rule, bool)>,
    /// When a rule begins to hold, or ends.
    moments: BTreeSet<(u64, bool, RuleNo)>,
    wakes: BTreeSet<(u64, usize)>,
    /// Not read, as there was no room in all.
    starved: HashSet<usize>,
    held: usize,
    record: Record,
    counts: Counts,
    /// It is to listen again, and could not yet.
    relisten: bool,
}

enum Side {
    Listener,
    From,
    To,
}

fn token(n: usize, side: Side) -> Token {
    Token(n << 2 | side as usize)
}

impl Run {
    fn new(poll: Poll, asks: Receiver<Ask>, seed: u64, limits: Limits) -> Run {
        Run {
            poll,
            asks,
            seed,
            limits,
            began: Instant::now(),
            links: Vec::new(),
            by_name: HashMap::new(),
            conns: HashMap::new(),
            next_conn: 0,
            rules: Vec::new(),
            moments: BTreeSet::new(),
            wakes: BTreeSet::new(),
            starved: HashSet::new(),
            held: 0,
            record: Record::default(),
            counts: Counts::default(),
            relisten: false,
        }
    }

    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn go(&mut self) {
        let mut events = Events::with_capacity(1024);
        loop {
            let now = self.now();
            let next = [self.moments.first().map(|m| m.0), self.wakes.first().map(|w| w.0)];
            let mut nap =
                next.into_iter().flatten().min().map(|at| Duration::from_micros(at.saturating_sub(now)));
            if self.relisten {
                nap = Some(nap.unwrap_or(Duration::MAX).min(Duration::from_millis(10)));
            }
            // Interrupted: the next turn looks again.
            let _ = self.poll.poll(&mut events, nap);
            let tokens: Vec<Token> = events.iter().map(|e| e.token()).collect();
            for Token(t) in tokens {
                let n = t >> 2;
                match t {
                    _ if t == WAKES.0 => {}
                    _ if t & 3 == Side::Listener as usize => self.accept(n),
                    _ => self.pump(n),
                }
            }
            while let Ok(ask) = self.asks.try_recv() {
                if matches!(ask, Ask::End) {
                    return;
                }
                self.answer(ask);
            }
            let now = self.now();
            while let Some((at, begins, rule)) = self.moments.first().copied().filter(|m| m.0 <= now) {
                self.moments.remove(&(at, begins, rule));
                self.switch(rule, begins);
            }
            while let Some((at, conn)) = self.wakes.first().copied().filter(|w| w.0 <= now) {
                self.wakes.remove(&(at, conn));
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.wake = None;
                }
                self.pump(conn);
            }
            if self.held < self.limits.bytes && !self.starved.is_empty() {
                std::mem::take(&mut self.starved).into_iter().for_each(|conn| self.pump(conn));
            }
            if self.relisten {
                self.listeners();
            }
        }
    }

    fn answer(&mut self, ask: Ask) {
        // Who asked may have gone meanwhile.
        match ask {
            Ask::Link(name, target, to) => drop(to.send(self.link(name, target))),
            Ask::Target(name, target, to) => {
                let known = self.by_name.get(&name).map(|n| self.links[*n].target = target);
                let _ = to.send(known.is_some());
            }
            Ask::Add(rule, to) => drop(to.send(self.add(rule))),
            Ask::Lift(rule, to) => drop(to.send(self.lift(rule))),
            Ask::LiftAll(to) => {
                let held = (0..self.rules.len()).filter(|n| self.lift(*n)).count();
                let _ = to.send(held);
            }
            Ask::Read(to) => {
                let counts = Counts { open: self.conns.len(), held: self.held, ..self.counts };
                let (by_time, canonical) = (self.record.by_time().to_vec(), self.record.canonical());
                let _ = to.send(Seen { by_time, canonical, lost: self.record.lost(), counts });
            }
            Ask::End => {}
        }
    }

    // ---- Links and rules ----

    fn link(&mut self, name: LinkName, target: SocketAddr) -> io::Result<SocketAddr> {
        if self.by_name.contains_key(&name) {
            return Err(io::Error::other(format!("there is a link {name} already")));
        }
        let keeps = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        keeps.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let addr = keeps.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))?;
        let n = self.links.len();
        self.links.push(Link { name: name.clone(), addr, target, listener: None, keeps, next: 0 });
        self.by_name.insert(name, n);
        self.listeners();
        Ok(addr)
    }

    /// Listens where nothing refuses, and nowhere else.
    fn listeners(&mut self) {
        self.relisten = false;
        for n in 0..self.links.len() {
            let name = &self.links[n].name;
            let refuses = |(rule, on): &(Rule, bool)| {
                *on && rule.what == What::Refuse && rule.whole_link() && rule.links.has(name)
            };
            let refused = self.rules.iter().any(refuses);
            if refused {
                // Who has come up before is connected; closing would reset those that wait to be taken.
                self.accept(n);
            }
            let link = &mut self.links[n];
            if refused {
                link.listener = None;
            } else if link.listener.is_none() {
                match listen(link.addr, &link.keeps) {
                    Ok(mut listener) => {
                        let token = token(n, Side::Listener);
                        let added = self.poll.registry().register(&mut listener, token, Interest::READABLE);
                        self.relisten |= added.is_err();
                        link.listener = added.is_ok().then_some(listener);
                    }
                    Err(_) => self.relisten = true,
                }
            }
        }
    }

    fn add(&mut self, rule: Rule) -> RuleNo {
        let n = self.rules.len();
        let now = self.now();
        let at = |seconds: f64| (seconds * 1e6) as u64;
        let (from, to) = (at(rule.during.0), at(rule.during.1));
        self.rules.push((rule, false));
        self.moments.insert((to, false, n));
        if from <= now && now < to {
            self.switch(n, true);
        } else {
            self.moments.insert((from, true, n));
        }
        n
    }

    fn lift(&mut self, rule: RuleNo) -> bool {
        self.moments.retain(|(_, _, n)| *n != rule);
        let held = self.rules.get(rule).is_some_and(|(_, on)| *on);
        if held {
            self.switch(rule, false);
        }
        held
    }

    fn switch(&mut self, n: RuleNo, begins: bool) {
        if std::mem::replace(&mut self.rules[n].1, begins) == begins {
            return;
        }
        if matches!(self.rules[n].0.what, What::Refuse) {
            return self.listeners();
        }
        let rule = self.rules[n].0.clone();
        let met = |c: &Conn| rule.meets(self.seed, &self.links[c.link].name, c.number);
        let conns: Vec<usize> = self.conns.iter().filter(|(_, c)| met(c)).map(|(id, _)| *id).collect();
        for id in conns {
            if begins {
                self.arm(id, n);
            } else if let Some(c) = self.conns.get_mut(&id) {
                c.up.lift(n);
                c.down.lift(n);
            }
            self.pump(id);
        }
    }

    fn arm(&mut self, id: usize, n: RuleNo) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&id) else { return };
        let (rule, link) = (&self.rules[n].0, &self.links[c.link]);
        let at = rule.place(self.seed, &link.name, c.number);
        for way in rule.ways.clone() {
            let draws = stream(self.seed, &link.name, c.number, &format!("{}/{way}", rule.name));
            let mut met = Vec::new();
            let (number, passage) = (c.number, c.passage(way));
            passage.arm(n, at, rule.what, draws);
            passage.begin(now, &mut met);
            note(&mut self.record, &self.rules, &link.name, number, way, now, met);
        }
    }

    // ---- Connections ----

    fn accept(&mut self, n: usize) {
        loop {
            let Some(listener) = self.links.get(n).and_then(|l| l.listener.as_ref()) else { return };
            match listener.accept() {
                Ok((stream, _)) => self.take(n, stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionAborted => {}
                // No descriptor left, say: what waits is looked at again.
                Err(_) => {
                    self.links[n].listener = None;
                    self.relisten = true;
                    return;
                }
            }
        }
    }

    fn take(&mut self, n: usize, mut from: TcpStream) {
        let number = self.links[n].next;
        self.links[n].next += 1;
        self.counts.taken += 1;
        if self.conns.len() >= self.limits.connections {
            self.counts.over += 1;
            return reset(from);
        }
        let name = self.links[n].name.clone();
        let meets = |(rule, on): &(Rule, bool)| *on && rule.meets(self.seed, &name, number);
        let met: Vec<RuleNo> = (0..self.rules.len()).filter(|r| meets(&self.rules[*r])).collect();
        let first = |what: What| met.iter().copied().find(|r| self.rules[*r].0.what == what);
        let (refused, held) = (first(What::Refuse), first(What::Hold));
        if let Some(rule) = refused.or(held) {
            let (rule, _) = &self.rules[rule];
            let (rule, what) = (rule.name.clone(), rule.what.word());
            let now = self.now();
            self.record.put(
                now,
                Event { link: name.clone(), connection: number, way: Way::Up, byte: 0, rule, what },
            );
        }
        if refused.is_some() {
            return reset(from);
        }
        let id = self.next_conn;
        self.next_conn += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        let _ = from.set_nodelay(true);
        if self.poll.registry().register(&mut from, token(id, Side::From), both).is_err() {
            return;
        }
        let mut to = None;
        if held.is_none() {
            let dialled = TcpStream::connect(self.links[n].target).and_then(|mut stream| {
                let _ = stream.set_nodelay(true);
                self.poll.registry().register(&mut stream, token(id, Side::To), both)?;
                Ok(stream)
            });
            match dialled {
                Ok(stream) => to = Some(stream),
                Err(_) => {
                    self.counts.unreached += 1;
                    return reset(from);
                }
            }
        }
        let conn = Conn {
            link: n,
            number,
            from,
            to,
            connected: false,
            up: Passage::default(),
            down: Passage::default(),
            up_ended: false,
            down_ended: false,
            drops_until: None,
            wake: None,
        };
        self.conns.insert(id, conn);
        self.counts.most = self.counts.most.max(self.conns.len());
        for rule in met {
            if !matches!(self.rules[rule].0.what, What::Hold) {
                self.arm(id, rule);
            }
        }
        self.pump(id);
    }

    /// Moves what can be moved on one connection, both ways.
    fn pump(&mut self, id: usize) {
        let now = self.now();
        let Some(mut c) = self.conns.remove(&id) else { return };
        let before = c.up.held() + c.down.held();
        let over_all = self.held >= self.limits.bytes;
        let goes_on = self.moves(&mut c, now, over_all);
        let after = if goes_on { c.up.held() + c.down.held() } else { 0 };
        self.held = self.held + after - before;
        if !goes_on {
            if let Some(at) = c.wake {
                self.wakes.remove(&(at, id));
            }
            return;
        }
        if over_all {
            self.starved.insert(id);
        }
        let next =
            [c.up.next(), c.down.next(), c.drops_until].into_iter().flatten().filter(|at| *at > now).min();
        if next != c.wake {
            if let Some(at) = c.wake {
                self.wakes.remove(&(at, id));
            }
            if let Some(at) = next {
                self.wakes.insert((at, id));
            }
            c.wake = next;
        }
        self.conns.insert(id, c);
    }

    /// Whether the connection is still there afterwards.
    fn moves(&mut self, c: &mut Conn, now: u64, over_all: bool) -> bool {
        if let Some(to) = c.to.as_ref().filter(|_| !c.connected) {
            match (to.take_error(), to.peer_addr()) {
                (Ok(None), Ok(_)) => c.connected = true,
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => {}
                _ => {
                    self.counts.unreached += 1;
                    cut(c);
                    return false;
                }
            }
        }
        let mut met = Vec::new();
        for way in [Way::Up, Way::Down] {
            let silent = c.to.is_none();
            let (from, passage) = match way {
                Way::Up => (Some(&mut c.from), &mut c.up),
                Way::Down => (c.to.as_mut().filter(|_| c.connected), &mut c.down),
            };
            let Some(from) = from else { continue };
            if silent {
                // Nobody is there; what comes is dropped, and it must be seen to go.
                if !drop_all(from) {
                    return false;
                }
                continue;
            }
            read(from, passage, now, over_all, &mut met);
            let met = std::mem::take(&mut met);
            note(&mut self.record, &self.rules, &self.links[c.link].name, c.number, way, now, met);
        }
        for way in [Way::Up, Way::Down] {
            let (to, passage) = match way {
                Way::Up => (c.to.as_mut().filter(|_| c.connected), &mut c.up),
                Way::Down => (Some(&mut c.from), &mut c.down),
            };
            let Some(to) = to else { continue };
            let (written, end) = write(to, passage, now);
            self.counts.bytes += written;
            match end {
                None => {}
                Some(End::Rst) => {
                    cut(c);
                    return false;
                }
                Some(End::Half) => {
                    let _ = to.shutdown(Shutdown::Write);
                    match way {
                        Way::Up => c.up_ended = true,
                        Way::Down => c.down_ended = true,
                    }
                }
                Some(End::Fin) => {
                    let _ = c.from.shutdown(Shutdown::Write);
                    let _ = c.to.as_ref().map(|to| to.shutdown(Shutdown::Write));
                    c.up.end(now, End::Fin);
                    c.down.end(now, End::Fin);
                    c.drops_until = Some(now + LINGER);
                }
            }
        }
        if c.up_ended && c.down_ended {
            return false;
        }
        c.drops_until.is_none_or(|until| now < until)
    }
}

fn note(
    to: &mut Record, rules: &[(Rule, bool)], link: &LinkName, number: u64, way: Way, now: u64, met: Vec<Met>,
) {
    for met in met {
        let (rule, what) = (rules[met.rule].0.name.clone(), met.what.word());
        to.put(now, Event { link: link.clone(), connection: number, way, byte: met.byte, rule, what });
    }
}

/// Listens at an address that another socket keeps. Danger: while both may share it, so may any other socket of the machine
/// that asks for a free port, and a link would lead to a stranger; so that is allowed for these few calls only.
fn listen(addr: SocketAddr, keeps: &Socket) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    keeps.set_reuse_address(true)?;
    let listens = socket.bind(&addr.into()).and_then(|()| socket.listen(BACKLOG));
    keeps.set_reuse_address(false)?;
    listens?;
    Ok(TcpListener::from_std(socket.into()))
}

fn reset(stream: TcpStream) {
    // Closing with no time to linger sends RST.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn cut(c: &Conn) {
    for stream in [Some(&c.from), c.to.as_ref()].into_iter().flatten() {
        let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
    }
}

/// Reads and drops what has come; whether the connection is still open.
fn drop_all(from: &mut TcpStream) -> bool {
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

/// Reads while there is room; over its end, reads and drops.
fn read(from: &mut TcpStream, passage: &mut Passage, now: u64, over_all: bool, met: &mut Vec<Met>) {
    let mut chunk = [0; 16 * 1024];
    loop {
        let drops = passage.is_over();
        if !drops && (over_all || passage.held() >= HELD) {
            return;
        }
        let room = if drops { chunk.len() } else { chunk.len().min(HELD - passage.held()) };
        match from.read(&mut chunk[..room]) {
            Ok(0) => return passage.end(now, End::Half),
            Ok(_) if drops => {}
            Ok(n) => passage.take(now, &chunk[..n], met),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => return,
            Err(_) => return passage.end(now, End::Rst),
        }
    }
}

/// Writes what is to go out; how much went, and an end if there is one.
fn write(to: &mut TcpStream, passage: &mut Passage, now: u64) -> (u64, Option<End>) {
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
