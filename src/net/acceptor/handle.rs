//! The interface of a frontend's connection acceptors to the rest of the process, and the opening of listening sockets.

use super::connection::ExportedConnection;
use crate::admission::ConnState;
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

/// Delay before another attempt to connect after the process had no free descriptor.
const NO_DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Interval at which [`AcceptorHandle::finish`] checks whether the acceptors have finished.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Runs in an acceptor's thread between two rounds, with its listener and its connections. Returns whether another process
/// has taken them over.
pub type HandoverFn = Box<dyn FnOnce(BorrowedFd, &[(BorrowedFd, ExportedConnection)]) -> bool + Send>;

/// Counters of one acceptor, for status reports.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptorStats {
    /// The largest number of open connections.
    #[serde(rename = "places")]
    pub max_connections: u64,
    /// Open connections by state.
    pub open: BTreeMap<ConnState, u64>,
    /// Connections accepted so far.
    #[serde(rename = "let_in")]
    pub accepted: u64,
    /// Those closed in favour of others, by their state at that time.
    #[serde(rename = "made_room")]
    pub evicted: BTreeMap<ConnState, u64>,
    /// Those closed because their time limit had passed.
    pub timed_out: u64,
    /// Times that new clients had to wait or were refused because no connection could be closed in their favour.
    #[serde(rename = "kept_waiting")]
    pub deferred: u64,
    /// Times that the process had no free descriptor.
    #[serde(rename = "no_descriptor")]
    pub descriptor_shortages: u64,
    /// Requests whose client had closed its sending side before they were read.
    #[serde(default, rename = "gone")]
    pub abandoned: u64,
    /// Requests answered.
    pub answered: u64,
    /// The largest number of requests answered in one batch.
    #[serde(rename = "together_most")]
    pub largest_batch: u64,
}

/// Controls the acceptors of one frontend from other threads.
#[derive(Clone)]
pub struct AcceptorHandle {
    pub(super) closing: Arc<AtomicBool>,
    pub(super) finishing: Arc<AtomicBool>,
    pub(super) acceptors: Arc<Mutex<Vec<AcceptorEntry>>>,
    /// How many descriptors outgoing connections wait for.
    pub(super) descriptors_wanted: Arc<AtomicUsize>,
}

/// What the handle shares with one acceptor.
pub(super) struct AcceptorEntry {
    pub(super) name: &'static str,
    pub(super) open_count: Arc<AtomicUsize>,
    pub(super) stats: Arc<Mutex<AcceptorStats>>,
    pub(super) waker: Waker,
    pub(super) handover: Arc<Mutex<Option<HandoverFn>>>,
    /// The acceptor reads nothing any more and has answered all that it had read, or it has handed over.
    pub(super) finished: Arc<AtomicBool>,
}

impl Default for AcceptorHandle {
    fn default() -> AcceptorHandle {
        AcceptorHandle::new()
    }
}

impl AcceptorHandle {
    /// A handle to which no acceptor is attached yet.
    pub fn new() -> AcceptorHandle {
        AcceptorHandle {
            closing: Arc::default(),
            finishing: Arc::default(),
            acceptors: Arc::default(),
            descriptors_wanted: Arc::default(),
        }
    }

    pub(super) fn acceptors(&self) -> MutexGuard<'_, Vec<AcceptorEntry>> {
        self.acceptors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.acceptors().iter().map(|entry| entry.open_count.load(Ordering::SeqCst)).sum()
    }

    /// The counters of each acceptor, by its name.
    pub fn stats(&self) -> Vec<(&'static str, AcceptorStats)> {
        let of = |entry: &AcceptorEntry| {
            (entry.name, entry.stats.lock().unwrap_or_else(PoisonError::into_inner).clone())
        };
        self.acceptors().iter().map(of).collect()
    }

    /// Closes each connection after its current request, and at once if it has none.
    pub fn close(&self) {
        if !self.closing.swap(true, Ordering::SeqCst) {
            // An error means that the acceptor no longer exists.
            self.acceptors().iter().for_each(|entry| drop(entry.waker.wake()));
        }
    }

    /// Called at the end of the process: nothing more is read, and every request that was read whole is answered. Returns
    /// whether that was done by the deadline. A process that ends between reading a request and answering it loses the request,
    /// while a request that was never read is sent again by its client.
    pub fn finish(&self, until: Instant) -> bool {
        self.finishing.store(true, Ordering::SeqCst);
        // An error means that the acceptor no longer exists.
        self.acceptors().iter().for_each(|entry| drop(entry.waker.wake()));
        loop {
            let finished = self.acceptors().iter().all(|entry| entry.finished.load(Ordering::SeqCst));
            if finished || Instant::now() >= until {
                return finished;
            }
            std::thread::sleep(FINISH_POLL_INTERVAL);
        }
    }

    /// Has the only acceptor run this handover before its next round. An error means that there is not exactly one acceptor.
    pub fn hand_over(&self, handover: HandoverFn) -> Result<(), &'static str> {
        match &self.acceptors()[..] {
            [entry] => {
                *entry.handover.lock().unwrap_or_else(PoisonError::into_inner) = Some(handover);
                entry.waker.wake().map_err(|_| "the acceptor has ended")
            }
            [] => Err("no listener is served"),
            _ => Err("several listeners are served"),
        }
    }

    /// Connects before the deadline, for any outgoing call of this process. If client connections hold all descriptors, an
    /// idle one of them is closed for this call. Otherwise calls and notices would fail until those clients disconnect,
    /// because without a new client no connection would be closed in favour of another.
    pub fn connect(&self, addr: SocketAddr, until: Instant) -> io::Result<std::net::TcpStream> {
        loop {
            match conn::connect(addr, until) {
                Err(e)
                    if errors::is_out_of_descriptors(&e)
                        && Instant::now() + NO_DESCRIPTOR_RETRY_DELAY < until =>
                {
                    self.descriptors_wanted.fetch_add(1, Ordering::SeqCst);
                    // An error means that the acceptor no longer exists.
                    self.acceptors().iter().for_each(|entry| drop(entry.waker.wake()));
                    std::thread::sleep(NO_DESCRIPTOR_RETRY_DELAY);
                }
                other => return other,
            }
        }
    }

    /// Whether [`AcceptorHandle::finish`] was called: nothing more is read.
    pub fn finishing(&self) -> bool {
        self.finishing.load(Ordering::SeqCst)
    }

    /// Whether [`AcceptorHandle::close`] was called: the process is about to end.
    pub fn closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }
}

/// Opens a listening socket. `backlog` connections may wait to be accepted, if the kernel allows it (`net.core.somaxconn`).
/// The standard library asks for 128, which hundreds of clients that connect at once overflow; a client whose connection
/// request is dropped tries again only a second later.
pub fn bind(addr: &str, backlog: i32) -> io::Result<std::net::TcpListener> {
    let addr = addr.to_socket_addrs()?.next().ok_or(ErrorKind::AddrNotAvailable)?;
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.bind(&addr.into())?;
    socket.listen(backlog)?;
    Ok(socket.into())
}
