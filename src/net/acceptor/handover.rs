//! The end of an acceptor: it hands its connections over to another process, or finishes the requests that were read. Also the
//! import of connections from another process.

use super::*;

/// The most pipelined requests of one connection that are answered at the end of a process.
const MAX_FINISH_ROUNDS: usize = 64;

impl<P: ClientProtocol> ConnectionAcceptor<P> {
    /// Answers requests that were partly read if the rest has arrived, and reads nothing more. The connections stay open until
    /// the process ends: a request that arrives meanwhile is never read, and its client sends it again.
    pub(super) fn finish(mut self) {
        let now = self.clock.now();
        let begun: Vec<u64> = self
            .connections
            .iter()
            .filter(|(_, connection)| !connection.unparsed.is_empty())
            .map(|(key, _)| *key)
            .collect();
        begun.into_iter().for_each(|key| self.mark_readable(key));
        for _ in 0..MAX_FINISH_ROUNDS {
            self.ready.retain(|key| {
                self.connections.get(key).is_some_and(|connection| !connection.unparsed.is_empty())
            });
            self.read_ready(now, true);
        }
        let stalled = std::mem::take(&mut self.stalled);
        stalled.into_iter().for_each(|key| self.flush(now, key));
        self.report_writes();
        self.finished.store(true, Ordering::SeqCst);
        loop {
            std::thread::park();
        }
    }

    /// Continues a connection of another process.
    pub fn import_connection(&mut self, fd: OwnedFd, exported: ExportedConnection) {
        let stream = std::net::TcpStream::from(fd);
        let from = stream.peer_addr().and_then(|from| stream.set_nonblocking(true).map(|()| from));
        let mut stream = TcpStream::from_std(stream);
        let (key, now) = (self.next_key, self.clock.now());
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut stream, Token(key as usize), interest);
        let (Ok(from), Ok(())) = (from, registered) else {
            self.write_results.extend(exported.unconfirmed_messages.into_iter().map(|msg| (msg, false)));
            return;
        };
        self.next_key += 1;
        let ExportedConnection {
            session,
            unparsed,
            unsent,
            unconfirmed_messages,
            requests,
            end_of_input,
            close_after_write,
            discard_left,
        } = exported;
        let session = self.protocol.import_session(from, &session);
        self.admission.connected(now, key, from.ip());
        for _ in 0..requests {
            self.admission.complete_request(now, key);
            self.admission.answered(now, key, false);
        }
        if !unparsed.is_empty() {
            self.admission.partial_request(now, key);
        }
        if discard_left.is_some() {
            self.admission.closing(now, key);
        }
        self.buffered_bytes += unparsed.len();
        let (may_parse, readable, hung_up, timer) = (!unparsed.is_empty(), true, false, None);
        let connection = Connection {
            stream,
            session,
            unparsed,
            unsent,
            unconfirmed_messages,
            readable,
            may_parse,
            hung_up,
            end_of_input,
            close_after_write,
            discard_left,
            timer,
        };
        self.connections.insert(key, connection);
        self.open_count.store(self.connections.len(), Ordering::SeqCst);
        self.flush(now, key);
        self.mark_readable(key);
    }

    /// Hands all connections over to another process if that was requested. Returns whether the other process has taken them.
    pub(super) fn try_handover(&mut self) -> bool {
        let Some(handover) = self.handover.lock().unwrap_or_else(PoisonError::into_inner).take() else {
            return false;
        };
        self.report_writes();
        let export = |key: &u64, connection: &Connection<P::Session>| ExportedConnection {
            session: self.protocol.export_session(&connection.session),
            unparsed: connection.unparsed.clone(),
            unsent: connection.unsent.clone(),
            unconfirmed_messages: connection.unconfirmed_messages.clone(),
            requests: match self.admission.state(*key) {
                Some(ConnState::IdleAfterOne) => 1,
                Some(ConnState::IdleAfterMore) => 2,
                _ => 0,
            },
            end_of_input: connection.end_of_input,
            close_after_write: connection.close_after_write,
            discard_left: connection.discard_left,
        };
        let connections: Vec<_> = self
            .connections
            .iter()
            .map(|(key, connection)| (connection.stream.as_fd(), export(key, connection)))
            .collect();
        handover(self.listener.as_fd(), &connections)
    }
}
