//! Accepts new connections, and closes connections in favour of others or when their time limit has passed.

use super::*;
use std::net::SocketAddr;

/// The most connections accepted in one round, so that the connections that are open need not wait for long; also the most
/// that are closed in one round for outgoing calls.
const MAX_ACCEPTS_PER_ROUND: usize = 64;
/// How long the number of places stays reduced after the process had no free descriptor.
const REDUCED_PLACES_TIME: Micros = Micros(5_000_000);
/// Pause in accepting connections after the process had no free descriptor.
const NO_DESCRIPTOR_DELAY: Micros = Micros(5_000);

impl<P: ClientProtocol> ConnectionAcceptor<P> {
    /// Closes idle connections in favour of outgoing calls that found no free descriptor.
    pub(super) fn free_descriptors(&mut self, now: Micros) {
        for _ in 0..self.handle.descriptors_wanted.swap(0, Ordering::SeqCst).min(MAX_ACCEPTS_PER_ROUND) {
            self.stats.descriptor_shortages += 1;
            let Some(key) = self.admission.free_a_descriptor(now, now + REDUCED_PLACES_TIME) else { return };
            if let Some(state) = self.evict(now, key) {
                *self.stats.evicted.entry(state).or_default() += 1;
            }
        }
    }

    pub(super) fn accept_connections(&mut self, now: Micros) {
        if self.accept_paused_until.is_some_and(|at| at > now) {
            return;
        }
        self.accept_paused_until = None;
        for _ in 0..MAX_ACCEPTS_PER_ROUND {
            if !self.accept_ready {
                return;
            }
            match self.admission.decide(now) {
                Decision::Accept => self.accept(now),
                Decision::AcceptAfterClosing(key) => {
                    // If that connection has sent something, it is read first, and the next round tries again.
                    let Some(state) = self.evict(now, key) else { return };
                    *self.stats.evicted.entry(state).or_default() += 1;
                }
                Decision::WaitUntil(until) => {
                    self.stats.deferred += 1;
                    match self.protocol.refusal() {
                        Some(reply) => self.accept_over_share(now, reply),
                        None => {
                            self.accept_paused_until = Some(until.max(now + Micros(1_000)));
                            return;
                        }
                    }
                }
            }
        }
    }

    fn accept(&mut self, now: Micros) {
        match self.listener.accept() {
            Ok((stream, from)) => self.add_connection(now, stream, from),
            Err(e) => self.accept_failed(now, &e),
        }
    }

    fn add_connection(&mut self, now: Micros, mut stream: TcpStream, from: SocketAddr) {
        let (key, token) = (self.next_key, Token(self.next_key as usize));
        let interest = Interest::READABLE | Interest::WRITABLE;
        // Without it the kernel may delay small writes; that is no reason to refuse the client.
        let _ = stream.set_nodelay(true);
        // A connection that can't be registered is closed with nothing read, so its client sends the request again.
        if self.poll.registry().register(&mut stream, token, interest).is_err() {
            return;
        }
        self.next_key += 1;
        self.stats.accepted += 1;
        let mut unsent = Vec::new();
        let session = self.protocol.open(from, &mut unsent);
        let connection = Connection {
            stream,
            session,
            unparsed: Vec::new(),
            unsent,
            unconfirmed_messages: Vec::new(),
            readable: false,
            may_parse: false,
            hung_up: false,
            end_of_input: false,
            close_after_write: false,
            discard_left: None,
            timer: None,
        };
        self.connections.insert(key, connection);
        self.admission.connected(now, key, from.ip());
        self.open_count.store(self.connections.len(), Ordering::SeqCst);
        self.flush(now, key);
        self.mark_readable(key);
    }

    /// Accepts a connection for which there is no place. If another source holds more than its share, one of that source's
    /// connections is closed for it; otherwise it is refused.
    fn accept_over_share(&mut self, now: Micros, refusal: &str) {
        let (mut stream, from) = match self.listener.accept() {
            Ok(accepted) => accepted,
            Err(e) => return self.accept_failed(now, &e),
        };
        let Some(key) = self.admission.over_share_candidate(from.ip()) else {
            // The connection is new, so this short reply fits into its send buffer. An error means that the client is gone.
            return drop(stream.write(refusal.as_bytes()));
        };
        if let Some(state) = self.admission.state(key) {
            *self.stats.evicted.entry(state).or_default() += 1;
            self.close_with_reply(key, state);
        }
        self.add_connection(now, stream, from);
    }

    fn accept_failed(&mut self, now: Micros, e: &io::Error) {
        match accept_fault(e) {
            AcceptFault::QueueEmpty => self.accept_ready = false,
            AcceptFault::ConnectionLost => {}
            // Closing connections would not help: the machine lacks a resource that they do not hold.
            AcceptFault::Local => self.accept_paused_until = Some(now + NO_DESCRIPTOR_DELAY),
            AcceptFault::NoDescriptor => {
                // With no free descriptor the new connection can't even be refused, and its readiness event would keep the
                // thread busy. So the number of places is reduced for a while, and an idle connection is closed. Only if
                // there is none, the spare descriptor is used to accept the connection and send the protocol's refusal.
                self.stats.descriptor_shortages += 1;
                if self.admission.is_empty() {
                    self.spare_descriptor = None;
                    self.refuse(self.protocol.refusal().unwrap_or(""));
                    self.spare_descriptor = File::open("/dev/null").ok();
                }
                self.admission.limit_to_current(now + REDUCED_PLACES_TIME);
                self.accept_paused_until = Some(now + NO_DESCRIPTOR_DELAY);
            }
        }
    }

    fn refuse(&mut self, reply: &str) {
        match self.listener.accept() {
            // The connection is new, so this short reply fits into its send buffer. An error means that the client is gone.
            Ok((mut stream, _)) => drop(stream.write(reply.as_bytes())),
            Err(e) if accept_fault(&e) == AcceptFault::QueueEmpty => self.accept_ready = false,
            Err(_) => {}
        }
    }

    /// Closes a connection in favour of another, unless it has just sent something. Returns its state if it was closed.
    /// Input that has arrived is read first: a request, or the last part of one, that crosses the close of its session would
    /// be lost or would have to be sent again.
    fn evict(&mut self, now: Micros, key: u64) -> Option<ConnState> {
        let state = self.admission.state(key)?;
        // A client that does not read its replies is not read either. If its unread input spared it, it would be chosen and
        // spared again and again.
        let has_input =
            |c: &Connection<P::Session>| c.reads_requests() && c.stream.peek(&mut [0]).is_ok_and(|n| n > 0);
        let may_ask = !matches!(state, ConnState::BadRequest | ConnState::Closing);
        if may_ask && self.connections.get(&key).is_some_and(has_input) {
            self.admission.partial_request(now, key);
            self.mark_readable(key);
            return None;
        }
        self.close_with_reply(key, state);
        Some(state)
    }

    /// Sends the protocol's closing reply and closes the connection.
    fn close_with_reply(&mut self, key: u64, state: ConnState) {
        if let Some(connection) = self.connections.get_mut(&key) {
            // There is no pending output, so this short reply fits into the send buffer. An error means that the connection is
            // closed already.
            let why = if state == ConnState::Receiving { CloseReason::Half } else { CloseReason::Idle };
            tracing::debug!(target: "clients", connection = key, ?why, "a connection is closed");
            let reply = self.protocol.closing_reply(why);
            if !reply.is_empty() && connection.unsent.is_empty() && !connection.close_after_write {
                let _ = connection.stream.write(reply.as_bytes());
            }
            // Unread input would reset the connection, and the client could lose the reply.
            let mut sink = [0; 8 * 1024];
            let mut left = MAX_DISCARDED_BYTES;
            while left > 0 && connection.stream.read(&mut sink).is_ok_and(|n| n > 0) {
                left = left.saturating_sub(sink.len());
            }
        }
        self.close(key);
    }

    pub(super) fn close(&mut self, key: u64) {
        let Some(mut connection) = self.connections.remove(&key) else { return };
        self.admission.closed(key);
        self.buffered_bytes -= connection.unparsed.len();
        self.write_results.extend(connection.unconfirmed_messages.drain(..).map(|msg| (msg, false)));
        if let Some(at) = connection.timer {
            self.timers.remove(&(at, key));
        }
        // Closing the socket removes it from the poll anyway; an error means that it was not registered.
        let _ = self.poll.registry().deregister(&mut connection.stream);
        self.open_count.store(self.connections.len(), Ordering::SeqCst);
    }

    pub(super) fn set_timer(&mut self, key: u64, timer: Option<Micros>) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if let Some(at) = std::mem::replace(&mut connection.timer, timer) {
            self.timers.remove(&(at, key));
        }
        self.timers.extend(timer.map(|at| (at, key)));
    }

    /// Handles expired timers and the time limits of the admission rules.
    pub(super) fn run_timers(&mut self, now: Micros) {
        while let Some((_, key)) = self.timers.first().copied().filter(|(at, _)| *at <= now) {
            self.set_timer(key, None);
            let Some(connection) = self.connections.get(&key) else { continue };
            if connection.unsent.is_empty() {
                self.ready.push(key); // the pause after an invalid request is over
            } else {
                self.close(key); // the client does not read its reply
            }
        }
        while let Some(key) = self.admission.timed_out(now) {
            // A request that is still incomplete is given up, whatever input may follow.
            match self.admission.state(key) {
                Some(ConnState::Receiving) => self.close_with_reply(key, ConnState::Receiving),
                _ if self.evict(now, key).is_none() => continue,
                _ => {}
            }
            self.stats.timed_out += 1;
        }
    }
}
