//! A front's lobbies as others see them, and the sockets that come from outside them.

use super::seat::SeatWords;
use crate::admission::Standing;
use crate::net::{conn, errors};
use mio::Waker;
use serde::{Deserialize, Serialize};
use socket2::{Domain, Protocol, Socket, Type};
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, ToSocketAddrs};
use std::os::fd::BorrowedFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long to wait where no descriptor was free.
const NO_DESCRIPTOR_NAP: Duration = Duration::from_millis(5);
/// How often a lobby that finishes is looked at.
const FINISH_LOOK: Duration = Duration::from_millis(1);

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
    pub(super) closing: Arc<AtomicBool>,
    pub(super) finishing: Arc<AtomicBool>,
    pub(super) lobbies: Arc<Mutex<Vec<Peek>>>,
    /// Descriptors that calls wait for.
    pub(super) wanted: Arc<AtomicUsize>,
}

pub(super) struct Peek {
    pub(super) name: &'static str,
    pub(super) open: Arc<AtomicUsize>,
    pub(super) tally: Arc<Mutex<Tally>>,
    pub(super) waker: Waker,
    pub(super) pass: Arc<Mutex<Option<Pass>>>,
    /// It reads nothing any more, and has answered all that it had read.
    pub(super) finished: Arc<AtomicBool>,
}

impl Default for Door {
    fn default() -> Door {
        Door::new()
    }
}

impl Door {
    /// A door that is open, to no lobby yet.
    pub fn new() -> Door {
        Door {
            closing: Arc::default(),
            finishing: Arc::default(),
            lobbies: Arc::default(),
            wanted: Arc::default(),
        }
    }

    pub(super) fn lobbies(&self) -> MutexGuard<'_, Vec<Peek>> {
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

    /// The process ends. Nothing is read any more, and all that was read whole is answered; whether that is so by the deadline.
    /// Danger: a process that ends between reading a request and answering it loses the request, while one that was never read
    /// is sent again by its client.
    pub fn finish(&self, until: Instant) -> bool {
        self.finishing.store(true, Ordering::SeqCst);
        // An error says that its lobby is gone.
        self.lobbies().iter().for_each(|l| drop(l.waker.wake()));
        loop {
            let finished = self.lobbies().iter().all(|l| l.finished.load(Ordering::SeqCst));
            if finished || Instant::now() >= until {
                return finished;
            }
            std::thread::sleep(FINISH_LOOK);
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
    pub fn connect(&self, addr: SocketAddr, until: Instant) -> io::Result<std::net::TcpStream> {
        loop {
            match conn::connect(addr, until) {
                Err(e) if errors::no_descriptor(&e) && Instant::now() + NO_DESCRIPTOR_NAP < until => {
                    self.wanted.fetch_add(1, Ordering::SeqCst);
                    // An error says that its lobby is gone.
                    self.lobbies().iter().for_each(|l| drop(l.waker.wake()));
                    std::thread::sleep(NO_DESCRIPTOR_NAP);
                }
                other => return other,
            }
        }
    }

    /// The process ends, and nothing more is read.
    pub fn finishing(&self) -> bool {
        self.finishing.load(Ordering::SeqCst)
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
