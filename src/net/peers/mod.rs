//! Notes between couriers, as datagrams. One thread of its own has the socket; whatever it can't keep up with, and whatever
//! it does not understand, is dropped and counted. Nobody waits for it. Where state is shared ([`crate::peers`]), the same thread
//! carries it.

pub mod config;
pub mod control;
pub mod frame;
pub mod published;
pub mod rate;
pub mod riders;

use super::spawn;
use crate::api::PeerId;
use crate::config::PeerAddresses;
use crate::core::{Courier, Note};
use crate::peers::Recipient;
use control::{Control, Shared};
use crossbeam_channel::{bounded, Receiver, Sender};
use frame::Refused;
use mio::net::UdpSocket;
use mio::{Events, Interest, Poll, Token, Waker};
use published::Published;
use rate::Rate;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicU8, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Notes that wait for the thread; more are dropped.
const QUEUE: usize = 64;
/// Datagrams that are read before orders are looked at again. Danger: a flood would keep what is to be sent for ever.
const AT_ONCE: usize = 64;
/// The port is another process's until it has handed over; so often it is tried again.
const AGAIN: Duration = Duration::from_millis(250);
/// Counts that have changed are said so often at most.
const SAY_EVERY: Duration = Duration::from_secs(1);
/// The thread goes on, leaves its port to another life, or says farewell and ends.
const ON: u8 = 0;
const CLOSE: u8 = 1;
const LEAVE: u8 = 2;
const SOCKET: Token = Token(0);
const WAKER: Token = Token(1);

macro_rules! counts {
    ($($(#[$words:meta])* $name:ident),* $(,)?) => {
        /// What became of notes, since the start.
        #[derive(Debug, Default)]
        pub struct Counts { $($name: AtomicU64),* }

        impl Counts {
            $($(#[$words])* pub fn $name(&self) -> u64 { self.$name.load(Ordering::Relaxed) })*

            fn line(&self) -> String {
                [$(format!("{} {}", stringify!($name), self.$name())),*].join(", ")
            }
        }
    };
}

counts! {
    /// Datagrams sent.
    sent,
    /// Notes that were not sent: the queue was full, the socket took none, or there is none now.
    unsent,
    /// Notes that would not fit into a datagram.
    too_long,
    /// Notes that the core took in.
    heard,
    /// Datagrams from no neighbour.
    strangers,
    /// Datagrams of over 256 bytes.
    long,
    /// Datagrams that are no note, or damaged.
    malformed,
    /// Notes of a kind or a version that is not known here.
    unknown,
    /// Datagrams beyond what a neighbour may send.
    flooded,
    /// Notes of what is not listed here.
    unlisted,
    /// Notes of the shared state that were believed.
    shared,
    /// Those that were not; why is in its own figures.
    unbelieved,
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Where notes are handed in.
#[derive(Clone)]
pub struct Peers {
    orders: Sender<(Option<PeerId>, Note)>,
    waker: Arc<Waker>,
    shut: Arc<AtomicU8>,
    /// Ends with the thread.
    gone: Receiver<()>,
    /// What became of them.
    pub counts: Arc<Counts>,
    /// What the shared state is believed to be; `None`: none is shared.
    pub shared: Option<Arc<Published>>,
}

impl Peers {
    /// Has a note sent to one neighbour, or to all. It never waits; what there is no room for is dropped.
    pub fn tell(&self, to: Option<PeerId>, note: Note) {
        if self.orders.try_send((to, note)).is_err() {
            count(&self.counts.unsent);
        }
        // An error says that its thread is gone.
        let _ = self.waker.wake();
    }

    /// Another process has taken over: its port is left to it.
    pub fn close(&self) {
        self.end(CLOSE);
    }

    /// This courier ends and nobody takes over: its neighbours are told, if the thread gets to it by then.
    pub fn leave(&self, until: Instant) {
        self.end(LEAVE);
        // Either it has ended, or it is late; the neighbours find out by themselves then.
        let _ = self.gone.recv_deadline(until);
    }

    fn end(&self, how: u8) {
        // Danger: a farewell after another life has taken over would take that one away.
        let _ = self.shut.compare_exchange(ON, how, Ordering::SeqCst, Ordering::SeqCst);
        let _ = self.waker.wake();
    }
}

/// Starts the thread. An address that another process still has is waited for; any other error is returned.
pub fn start(courier: &Arc<Courier>, at: PeerAddresses, shared: Option<Shared>) -> io::Result<Peers> {
    let poll = Poll::new()?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let (orders, waiting) = bounded(QUEUE);
    let (going, gone) = bounded(0);
    let rate =
        shared.as_ref().map_or_else(Rate::default, |shared| Rate::beside(shared.config.messages_per_s));
    let control = shared.map(|shared| Control::new(courier, shared));
    let handle = Peers {
        orders,
        waker,
        shut: Arc::default(),
        gone,
        counts: Arc::default(),
        shared: control.as_ref().map(Control::published),
    };
    let now = Instant::now();
    let mut work = Work {
        courier: courier.clone(),
        by_addr: at.peers.iter().enumerate().map(|(i, (_, addr))| (*addr, i)).collect(),
        rates: vec![rate; at.peers.len()],
        at,
        poll,
        socket: None,
        tried_at: now,
        orders: waiting,
        shut: handle.shut.clone(),
        _going: going,
        control,
        counts: handle.counts.clone(),
        said: (String::new(), now),
        unread: false,
    };
    work.said.0 = work.counts.line();
    match work.bind(now) {
        Err(e) if e.kind() == ErrorKind::AddrInUse => {
            tracing::warn!(target: "peers", "notes: {} is taken; tried again until it is free", work.at.listen);
        }
        other => other?,
    }
    spawn("peers", move || work.run())?;
    Ok(handle)
}

struct Work {
    courier: Arc<Courier>,
    at: PeerAddresses,
    by_addr: HashMap<SocketAddr, usize>,
    /// By place in the configuration.
    rates: Vec<Rate>,
    poll: Poll,
    socket: Option<UdpSocket>,
    tried_at: Instant,
    orders: Receiver<(Option<PeerId>, Note)>,
    shut: Arc<AtomicU8>,
    _going: Sender<()>,
    /// The shared state, if any is.
    control: Option<Control>,
    counts: Arc<Counts>,
    /// The counts as last said, and when.
    said: (String, Instant),
    /// There may be more to read.
    unread: bool,
}

impl Work {
    fn bind(&mut self, now: Instant) -> io::Result<()> {
        self.tried_at = now;
        let mut socket = UdpSocket::bind(self.at.listen)?;
        self.poll.registry().register(&mut socket, SOCKET, Interest::READABLE)?;
        tracing::info!(target: "peers", "peers on {}", socket.local_addr()?);
        self.socket = Some(socket);
        Ok(())
    }

    fn run(mut self) {
        let mut events = Events::with_capacity(4);
        loop {
            match self.poll.poll(&mut events, self.wait()) {
                Err(e) if e.kind() != ErrorKind::Interrupted => {
                    tracing::error!(target: "peers", "no notes any more: {e}");
                    return;
                }
                _ => {}
            }
            match self.shut.load(Ordering::SeqCst) {
                ON => {}
                LEAVE => {
                    let last = |c: &mut Control| c.leave(self.courier.clock.now());
                    let out = self.control.as_mut().map_or_else(Vec::new, last);
                    return self.say_all(out);
                }
                _ => return,
            }
            let now = Instant::now();
            if self.socket.is_none() && now - self.tried_at >= AGAIN {
                // It was said that it is tried again.
                let _ = self.bind(now);
            }
            while let Ok((to, note)) = self.orders.try_recv() {
                self.send(to, &note);
            }
            self.hear();
            self.share();
            self.say(now);
        }
    }

    /// How long there is nothing to do but for what comes in.
    fn wait(&self) -> Option<Duration> {
        if self.unread {
            return Some(Duration::ZERO);
        }
        let say =
            (self.counts.line() != self.said.0).then(|| SAY_EVERY.saturating_sub(self.said.1.elapsed()));
        let clock = &self.courier.clock;
        let share = self.control.as_ref().map(|c| Duration::from_micros((c.next_at() - clock.now()).0));
        let bind = self.socket.is_none().then(|| AGAIN.saturating_sub(self.tried_at.elapsed()));
        say.into_iter().chain(bind).chain(share).min()
    }

    fn send(&mut self, to: Option<PeerId>, note: &Note) {
        let Some(bytes) = frame::encode(note).filter(|bytes| bytes.len() <= frame::MOST) else {
            return count(&self.counts.too_long);
        };
        let one =
            |peer: &PeerId| self.at.peers.iter().filter(|(id, _)| id == peer).map(|(_, a)| *a).collect();
        let to: Vec<SocketAddr> = to.as_ref().map_or_else(|| self.all(), one);
        self.post(&bytes, to);
    }

    /// Where something for all goes.
    fn all(&self) -> Vec<SocketAddr> {
        match self.at.broadcast {
            Some(all) => vec![all],
            None => self.at.peers.iter().map(|(_, addr)| *addr).collect(),
        }
    }

    /// What the shared state has to do and to say now.
    fn share(&mut self) {
        let now = self.courier.clock.now();
        let out = self.control.as_mut().map_or_else(Vec::new, |c| c.turn(now));
        self.say_all(out);
    }

    fn say_all(&self, bodies: Vec<(Recipient, Vec<u8>)>) {
        for (to, body) in bodies {
            let to = match to {
                Recipient::All => self.all(),
                Recipient::One(to) => {
                    self.at.peers.iter().filter(|(id, _)| id.0 == to).map(|(_, addr)| *addr).collect()
                }
            };
            match frame::seal(frame::SHARED, &body) {
                Some(bytes) => self.post(&bytes, to),
                None => count(&self.counts.too_long),
            }
        }
    }

    fn post(&self, bytes: &[u8], to: Vec<SocketAddr>) {
        for addr in to {
            // A socket that takes none at the moment loses it, as the network may.
            match self.socket.as_ref().map(|socket| socket.send_to(bytes, addr)) {
                Some(Ok(_)) => count(&self.counts.sent),
                _ => count(&self.counts.unsent),
            }
        }
    }

    fn hear(&mut self) {
        let mut buf = [0; frame::MOST + 1];
        let mut failed = 0;
        for _ in 0..AT_ONCE {
            let Some(socket) = &self.socket else { break };
            match socket.recv_from(&mut buf) {
                Ok((n, from)) => self.one(&buf[..n], from),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.unread = false;
                    return;
                }
                // What the network says of an earlier datagram is of no interest here.
                Err(_) => failed += 1,
            }
        }
        // Danger: a socket that only fails would keep a core busy.
        if failed == AT_ONCE {
            self.socket = None;
        }
        self.unread = self.socket.is_some();
    }

    fn one(&mut self, bytes: &[u8], from: SocketAddr) {
        let Some(place) = self.by_addr.get(&from) else { return count(&self.counts.strangers) };
        let (peer, now) = (self.at.peers[*place].0, self.courier.clock.now());
        if !self.rates[*place].take(now) {
            return count(&self.counts.flooded);
        }
        if let (Ok((frame::SHARED, body)), Some(control)) = (frame::open(bytes), &mut self.control) {
            let believed = control.heard(now, peer, body);
            return count(if believed { &self.counts.shared } else { &self.counts.unbelieved });
        }
        match frame::decode(bytes) {
            Ok(note) if self.courier.noted(peer, &note) => count(&self.counts.heard),
            Ok(_) => count(&self.counts.unlisted),
            Err(Refused::Long) => count(&self.counts.long),
            Err(Refused::Malformed) => count(&self.counts.malformed),
            Err(Refused::Unknown) => count(&self.counts.unknown),
        }
    }

    fn say(&mut self, now: Instant) {
        if now - self.said.1 < SAY_EVERY {
            return;
        }
        let line = self.counts.line();
        if line != self.said.0 {
            tracing::debug!(target: "peers", "notes: {line}");
            self.said = (line, now);
        }
    }
}
