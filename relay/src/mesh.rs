//! Datagrams between couriers, through one socket for each courier: what the others know as its address. Who sends is known by
//! the address that it comes from, and what is passed on comes from the socket of its sender, so that a courier recognises its
//! neighbours. One thread, one poller; what becomes of each datagram is decided in `air.rs`.

use crate::air::{Air, Faults, LinkCounts};
use crate::record::Event;
use crate::rules::{LinkName, Rule};
use crossbeam_channel::{bounded, Receiver, Sender, TryRecvError};
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use socket2::SockRef;
use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const WAKES: Token = Token(usize::MAX);
/// Datagrams read from one socket before what is due is looked at again.
const AT_ONCE: usize = 256;
/// Asks that wait; who asks waits for room.
const ASKS: usize = 64;
/// As much as a socket may be granted for what has come and is not read yet.
const RECEIVED: usize = 4 << 20;

/// One courier, and how it and the others call each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    /// Its name, as in `c3`.
    pub name: String,
    /// Its own address (`peer_listen`).
    pub listen: SocketAddr,
    /// Its neighbours (`peers`) by their places, itself by `listen`.
    pub peers: Vec<SocketAddr>,
    /// One address for all others (`peers_all`).
    pub all: SocketAddr,
}

type Ask = Box<dyn FnOnce(&mut Air, u64) + Send>;

/// Couriers with the network between them; it ends with this.
pub struct Mesh {
    places: Vec<Place>,
    asks: Option<Sender<Ask>>,
    waker: Waker,
    thread: Option<thread::JoinHandle<()>>,
    strangers: Arc<AtomicU64>,
    began: Instant,
}

impl Mesh {
    /// Between so many couriers, `c0` and so on, each with an address that nobody else on this machine is given while this
    /// lives: the relay's port for it, on another loopback address.
    pub fn new(n: usize, seed: u64) -> io::Result<Mesh> {
        Mesh::of((0..n).map(|i| (format!("c{i}"), None)).collect(), seed, Vec::new())
    }

    /// Between couriers of these names, with their own addresses where these are given, and with rules.
    pub fn of(couriers: Vec<(String, Option<SocketAddr>)>, seed: u64, rules: Vec<Rule>) -> io::Result<Mesh> {
        let poll = Poll::new()?;
        let waker = Waker::new(poll.registry(), WAKES)?;
        let mut sockets = Vec::new();
        // The last one is for all others.
        for n in 0..=couriers.len() {
            let mut socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0).into())?;
            // As much as there is; with less, a burst is lost sooner.
            let _ = SockRef::from(&socket).set_recv_buffer_size(RECEIVED);
            poll.registry().register(&mut socket, Token(n), Interest::READABLE)?;
            sockets.push(socket);
        }
        let known = sockets.iter().map(UdpSocket::local_addr).collect::<io::Result<Vec<_>>>()?;
        let own = |n: usize| SocketAddr::from((Ipv4Addr::new(127, 0, 0, 2), known[n].port()));
        let (names, listens): (Vec<String>, Vec<SocketAddr>) =
            couriers.into_iter().enumerate().map(|(n, (name, at))| (name, at.unwrap_or(own(n)))).unzip();
        let place = |n: usize| {
            let mut peers = known[..names.len()].to_vec();
            peers[n] = listens[n];
            Place { name: names[n].clone(), listen: listens[n], peers, all: known[names.len()] }
        };
        let places = (0..names.len()).map(place).collect();
        let (asks, heard) = bounded(ASKS);
        let (strangers, began) = (Arc::<AtomicU64>::default(), Instant::now());
        let mut run = Run {
            poll,
            asks: heard,
            air: Air::new(seed, names, rules),
            by_addr: listens.iter().enumerate().map(|(n, addr)| (*addr, n)).collect(),
            unread: vec![false; sockets.len()],
            sockets,
            listens,
            strangers: strangers.clone(),
            began,
        };
        let thread = thread::Builder::new().name("mesh".into()).spawn(move || run.go())?;
        Ok(Mesh { places, asks: Some(asks), waker, thread: Some(thread), strangers, began })
    }

    /// Has the thread do this, and waits for what it says.
    fn with<T: Send + 'static>(&self, by: impl FnOnce(&mut Air, u64) -> T + Send + 'static) -> io::Result<T> {
        let (to, answer) = bounded(1);
        let gone = || io::Error::other("the mesh has ended");
        let asks = self.asks.as_ref().ok_or_else(gone)?;
        // Who asked may have gone meanwhile.
        asks.send(Box::new(move |air, now| drop(to.send(by(air, now))))).map_err(|_| gone())?;
        self.waker.wake()?;
        answer.recv().map_err(|_| gone())
    }

    /// The couriers, by place.
    pub fn places(&self) -> &[Place] {
        &self.places
    }

    /// How long it has been running: the moments of rules count from its start.
    pub fn age(&self) -> Duration {
        self.began.elapsed()
    }

    /// Only members of one group hear each other, and who is in none hears nobody; what is on its way across is lost. It
    /// replaces an earlier cut. Nothing crosses once this has returned.
    pub fn cut<G: AsRef<[usize]>>(&self, groups: &[G]) -> io::Result<()> {
        let groups: Vec<Vec<usize>> = groups.iter().map(|g| g.as_ref().to_vec()).collect();
        self.with(move |air, _| air.cut(&groups))
    }

    /// Everyone hears everyone again, as far as links allow.
    pub fn heal(&self) -> io::Result<()> {
        self.with(|air, _| air.heal())
    }

    /// Faults by chance from one courier to another; they replace what was said of this way before. One way only:
    /// `lost: 1.0` from a to b, and a still hears b.
    pub fn link(&self, from: usize, to: usize, faults: Faults) -> io::Result<()> {
        self.with(move |air, _| air.faults((from, to), faults))
    }

    /// The same from each to each other.
    pub fn all(&self, faults: Faults) -> io::Result<()> {
        self.with(move |air, _| {
            let n = air.names().len();
            let pairs = (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b);
            pairs.for_each(|ends| air.faults(ends, faults));
        })
    }

    /// A rule more; its number.
    pub fn add(&self, rule: Rule) -> io::Result<usize> {
        self.with(|air, _| air.add(rule))
    }

    /// A rule less; whether it held.
    pub fn lift(&self, rule: usize) -> io::Result<bool> {
        self.with(move |air, _| air.lift(rule))
    }

    /// No rules any more; how many there were.
    pub fn lift_all(&self) -> io::Result<usize> {
        self.with(|air, _| air.lift_all())
    }

    /// A datagram as if one courier had sent it to another.
    pub fn say(&self, from: usize, to: usize, bytes: &[u8]) -> io::Result<()> {
        let bytes = bytes.to_vec();
        self.with(move |air, now| air.take(now, (from, to), &bytes))
    }

    /// A datagram to a courier from an address that nobody knows, past all faults.
    pub fn stranger(&self, to: usize, bytes: &[u8]) -> io::Result<()> {
        let socket = std::net::UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
        socket.send_to(bytes, self.places[to].listen).map(drop)
    }

    /// Datagrams that came to the relay from no courier; they are dropped.
    pub fn strangers(&self) -> u64 {
        self.strangers.load(Ordering::Relaxed)
    }

    /// Counts of the way from one courier to another.
    pub fn counts(&self, from: usize, to: usize) -> io::Result<LinkCounts> {
        self.with(move |air, _| air.counts((from, to)))
    }

    /// Counts of each way on which anything came.
    pub fn used(&self) -> io::Result<Vec<(LinkName, LinkCounts)>> {
        self.with(|air, _| air.used())
    }

    /// Faults met, without times, in the order of links and numbers: the same for the same seed and traffic.
    pub fn met(&self) -> io::Result<Vec<Event>> {
        self.with(|air, _| air.record.canonical())
    }

    /// The same by time, in microseconds since it began.
    pub fn met_by_time(&self) -> io::Result<Vec<(u64, Event)>> {
        self.with(|air, _| air.record.by_time().to_vec())
    }
}

impl Drop for Mesh {
    fn drop(&mut self) {
        drop(self.asks.take());
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Run {
    poll: Poll,
    asks: Receiver<Ask>,
    air: Air,
    sockets: Vec<UdpSocket>,
    /// There may be more to read on a socket.
    unread: Vec<bool>,
    by_addr: HashMap<SocketAddr, usize>,
    listens: Vec<SocketAddr>,
    strangers: Arc<AtomicU64>,
    began: Instant,
}

impl Run {
    fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    fn go(&mut self) {
        let mut events = Events::with_capacity(1024);
        loop {
            let nap = match self.unread.contains(&true) {
                true => Some(Duration::ZERO),
                false => self.air.next().map(|at| Duration::from_micros(at.saturating_sub(self.now()))),
            };
            // Interrupted: the next turn looks again.
            let _ = self.poll.poll(&mut events, nap);
            for event in events.iter().filter(|event| event.token() != WAKES) {
                self.unread[event.token().0] = true;
            }
            (0..self.sockets.len()).filter(|n| self.unread[*n]).collect::<Vec<_>>().into_iter().for_each(
                |n| {
                    self.unread[n] = self.hear(n);
                },
            );
            // Before asks, so that counts say of nothing due that it has come and not what became of it.
            let now = self.now();
            while let Some((ends, bytes)) = self.air.out(now) {
                // A socket that takes none at the moment loses it, as the network may.
                if self.sockets[ends.0].send_to(&bytes, self.listens[ends.1]).is_err() {
                    self.air.unsent(ends);
                }
            }
            loop {
                match self.asks.try_recv() {
                    Ok(ask) => {
                        let now = self.now();
                        ask(&mut self.air, now);
                    }
                    Err(TryRecvError::Empty) => break,
                    Err(TryRecvError::Disconnected) => return,
                }
            }
        }
    }

    /// Whether there may be more.
    fn hear(&mut self, n: usize) -> bool {
        let mut bytes = [0; 65_536];
        for _ in 0..AT_ONCE {
            let (size, source) = match self.sockets[n].recv_from(&mut bytes) {
                Ok(got) => got,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // What the network says of an earlier datagram.
                Err(_) => continue,
            };
            let Some(&from) = self.by_addr.get(&source) else {
                self.strangers.fetch_add(1, Ordering::Relaxed);
                continue;
            };
            let now = self.now();
            let to = if n < self.listens.len() { n..n + 1 } else { 0..self.listens.len() };
            to.filter(|to| *to != from).for_each(|to| self.air.take(now, (from, to), &bytes[..size]));
        }
        true
    }
}
