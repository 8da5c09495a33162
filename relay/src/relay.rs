//! The relay's loop: one thread, one poller. It only moves bytes; what becomes of them is decided in `passage.rs`, and which
//! rules a connection meets in `rules.rs`. Here is what is asked of it; `run.rs` has the loop, links and rules, `conns.rs`
//! connections, `bytes.rs` sockets.

mod bytes;
mod conns;
mod run;

use crate::record::Event;
use crate::rules::{LinkName, Rule};
use crossbeam_channel::{bounded, unbounded, Sender};
use mio::{Poll, Waker};
use run::{Run, WAKES};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

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
