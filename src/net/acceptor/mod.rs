//! The connection acceptor of a listener: one thread that accepts all of its connections, reads requests and writes replies. An
//! idle connection holds no buffer. [`crate::admission`] decides which connections are accepted and which are closed; the
//! protocol ([`ClientProtocol`]) parses requests and words the replies.
//!
//! A round of the thread: wait for an event; accept new connections; read those that have sent something; answer all requests
//! that came together in one batch, so that one write of the journal covers them; write the replies; report to the core which
//! of them were written. No step of a round waits for a client: unsent output and incomplete requests stay in the connection's
//! state.
//!
//! Readiness events are edge-triggered (epoll through mio), so each connection stores whether there may be more to read.

mod accepting;
mod connection;
mod handle;
mod handover;
mod protocol;
mod reading;
mod responding;

pub use connection::ExportedConnection;
pub use handle::{bind, AcceptorHandle, AcceptorStats, HandoverFn};
pub use protocol::{ClientProtocol, CloseReason, Parsed, Reply};

use super::errors::{accept_fault, AcceptFault};
use super::transfer::{receive, send, Received, Sent};
use crate::admission::{Admission, ConnState, Decision, Rules};
use crate::api::Micros;
use crate::core::Clock;
use connection::Connection;
use handle::AcceptorEntry;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeSet, HashMap};
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The most input that is read and discarded after the last reply, while the client may still be sending. Closing a socket with
/// unread input resets the connection, and the client may lose the reply that it was just sent; without a limit, a client that
/// sends on and on would take processor time from all others.
const MAX_DISCARDED_BYTES: usize = 72 * 1024;
/// Output of one connection beyond which none of its further requests is parsed until that output is written. One reply, or the
/// replies to one request, may go beyond it.
pub const MAX_UNSENT_BYTES: usize = 16 * 1024;
/// The longest wait for an event, and the interval at which counters are published.
const HOUSEKEEPING_INTERVAL: Micros = Micros(250_000);

/// Delay before a read or write is retried that failed for want of a local resource.
const STALL_RETRY_DELAY: Micros = Micros(2_000);

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST_KEY: u64 = 2;

/// Limits on buffered input, in bytes.
#[derive(Debug, Clone, Copy)]
pub struct BufferLimits {
    /// Of all connections together. The limit applies when a request is found incomplete, so the sum may exceed it briefly.
    pub total: usize,
    /// Of one connection; the longest request must fit.
    pub per_connection: usize,
}

/// Ends the process if the acceptor's thread panics. Pending messages are in the journal; the next process run resumes them.
struct ExitOnPanic;

impl Drop for ExitOnPanic {
    fn drop(&mut self) {
        if std::thread::panicking() {
            tracing::error!(
                target: "lobby",
                "a connection acceptor panicked; the process ends, pending messages stay in the journal"
            );
            std::process::exit(70);
        }
    }
}

/// Accepts, reads and answers the connections of one listener; see the module.
pub struct ConnectionAcceptor<P: ClientProtocol> {
    protocol: P,
    clock: Clock,
    handle: AcceptorHandle,
    poll: Poll,
    listener: TcpListener,
    /// Connections may be waiting to be accepted.
    accept_ready: bool,
    /// No connection is accepted before this time.
    accept_paused_until: Option<Micros>,
    /// A reserved descriptor, given up to accept and refuse a connection if no other is free.
    spare_descriptor: Option<File>,
    admission: Admission,
    connections: HashMap<u64, Connection<P::Session>>,
    next_key: u64,
    timers: BTreeSet<(Micros, u64)>,
    /// Connections to read in this round.
    ready: Vec<u64>,
    /// Connections whose read or write failed for want of a local resource; retried soon.
    stalled: Vec<u64>,
    /// Unparsed bytes of all connections, and their limit.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
    read_buffer: Vec<u8>,
    /// Accepted messages whose reply was written (`true`) or could not be, not yet reported to the protocol.
    write_results: Vec<(u64, bool)>,
    open_count: Arc<AtomicUsize>,
    stats: AcceptorStats,
    published_stats: Arc<Mutex<AcceptorStats>>,
    published_at: Micros,
    handover: Arc<Mutex<Option<HandoverFn>>>,
    finished: Arc<AtomicBool>,
}

impl<P: ClientProtocol> ConnectionAcceptor<P> {
    /// Creates the acceptor of a listener and attaches it to `handle`; its counters are published under `name`.
    pub fn new(
        name: &'static str, protocol: P, listener: std::net::TcpListener, handle: &AcceptorHandle,
        clock: Clock, rules: Rules, limits: BufferLimits,
    ) -> io::Result<ConnectionAcceptor<P>> {
        let poll = Poll::new()?;
        listener.set_nonblocking(true)?;
        let mut listener = TcpListener::from_std(listener);
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let waker = Waker::new(poll.registry(), WAKER)?;
        let (open_count, published_stats) =
            (Arc::new(AtomicUsize::new(0)), Arc::new(Mutex::new(AcceptorStats::default())));
        let (handover, finished) = (Arc::default(), Arc::default());
        handle.acceptors().push(AcceptorEntry {
            name,
            open_count: open_count.clone(),
            stats: published_stats.clone(),
            waker,
            handover: Arc::clone(&handover),
            finished: Arc::clone(&finished),
        });
        let stats =
            AcceptorStats { max_connections: rules.max_connections as u64, ..AcceptorStats::default() };
        Ok(ConnectionAcceptor {
            protocol,
            clock,
            handle: handle.clone(),
            poll,
            listener,
            accept_ready: true,
            accept_paused_until: None,
            spare_descriptor: File::open("/dev/null").ok(),
            admission: Admission::new(rules),
            connections: HashMap::new(),
            next_key: FIRST_KEY,
            timers: BTreeSet::new(),
            ready: Vec::new(),
            stalled: Vec::new(),
            buffered_bytes: 0,
            max_buffered_bytes: limits.total,
            read_buffer: vec![0; limits.per_connection],
            write_results: Vec::new(),
            open_count,
            stats,
            published_stats,
            published_at: Micros(0),
            handover,
            finished,
        })
    }

    /// Runs until the process ends or another process has taken over the connections.
    pub fn run(mut self) {
        // A process whose acceptor thread has died would look alive and never read a request.
        let _exit_on_panic = ExitOnPanic;
        let mut events = Events::with_capacity(256);
        let mut closing = false;
        loop {
            if self.try_handover() {
                self.open_count.store(0, Ordering::SeqCst);
                self.finished.store(true, Ordering::SeqCst);
                return;
            }
            if self.handle.finishing() {
                return self.finish();
            }
            let now = self.clock.now();
            let wait = if self.ready.is_empty() { self.next_wakeup(now) - now } else { Micros(0) };
            // An interrupted wait is not a failure: a process whose share of a core is limited by stopping it sees one
            // each time that it continues.
            let wait = std::time::Duration::from_micros(wait.0.next_multiple_of(1000));
            if self.poll.poll(&mut events, Some(wait)).is_err() {
                events.clear();
            }
            let now = self.clock.now();
            for event in &events {
                match event.token() {
                    LISTENER => self.accept_ready = true,
                    WAKER => {}
                    Token(key) => {
                        let key = key as u64;
                        if event.is_writable()
                            && self.connections.get(&key).is_some_and(|c| !c.unsent.is_empty())
                        {
                            self.flush(now, key);
                        }
                        if let Some(connection) = self.connections.get_mut(&key) {
                            connection.hung_up |= event.is_read_closed() || event.is_error();
                            if connection.hung_up || event.is_readable() {
                                self.mark_readable(key);
                            }
                        }
                    }
                }
            }
            self.retry_stalled(now);
            self.free_descriptors(now);
            self.accept_connections(now);
            if self.handle.closing() && !closing {
                closing = true;
                let all: Vec<u64> = self.connections.keys().copied().collect();
                all.into_iter().for_each(|key| self.mark_readable(key));
            }
            self.read_ready(now, closing);
            self.run_timers(now);
            self.report_writes();
            self.publish_stats(now);
        }
    }

    /// Retries the reads and writes that failed for want of a local resource. No event announces that it is available again.
    fn retry_stalled(&mut self, now: Micros) {
        for key in std::mem::take(&mut self.stalled) {
            if self.connections.get(&key).is_some_and(|connection| !connection.unsent.is_empty()) {
                self.flush(now, key);
            }
            self.mark_readable(key);
        }
    }

    fn next_wakeup(&self, now: Micros) -> Micros {
        let accept = if self.accept_ready { self.accept_paused_until.or(Some(now)) } else { None };
        let timer = self.timers.first().map(|t| t.0);
        let stalled = (!self.stalled.is_empty()).then_some(now + STALL_RETRY_DELAY);
        let at = [accept, timer, stalled, self.admission.next_timeout()].into_iter().flatten().min();
        at.map_or(now + HOUSEKEEPING_INTERVAL, |at| at.clamp(now, now + HOUSEKEEPING_INTERVAL))
    }

    /// Publishes the counters, at most once per housekeeping interval.
    fn publish_stats(&mut self, now: Micros) {
        if now < self.published_at + HOUSEKEEPING_INTERVAL {
            return;
        }
        self.published_at = now;
        let count = |state: &ConnState| (*state, self.admission.count(*state) as u64);
        self.stats.open = ConnState::ALL.iter().map(count).filter(|(_, n)| *n > 0).collect();
        *self.published_stats.lock().unwrap_or_else(PoisonError::into_inner) = self.stats.clone();
    }

    /// Schedules a connection for reading: there may be input.
    pub(super) fn mark_readable(&mut self, key: u64) {
        if let Some(connection) = self.connections.get_mut(&key) {
            connection.readable = true;
            self.ready.push(key);
        }
    }
}
