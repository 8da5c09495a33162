//! Answers requests and writes the replies.

use super::*;

/// How long a client may take to read a reply.
const WRITE_TIMEOUT: Micros = Micros(500_000);

impl<P: ClientProtocol> ConnectionAcceptor<P> {
    /// Answers a batch of requests; `keys` names the connection of each.
    pub(super) fn answer_requests(&mut self, keys: Vec<u64>, requests: Vec<P::Request>) {
        self.stats.answered += requests.len() as u64;
        self.stats.largest_batch = self.stats.largest_batch.max(requests.len() as u64);
        let replies = self.protocol.answer(requests);
        let now = self.clock.now();
        let gone_reply = self.protocol.closing_reply(CloseReason::Gone);
        for (key, reply) in keys.into_iter().zip(replies) {
            let Some(connection) = self.connections.get_mut(&key) else {
                self.write_results.extend(reply.accepted_message.map(|msg| (msg, false)));
                continue;
            };
            // A client that has left while its request was recorded never reads that its message is accepted.
            let abandoned =
                reply.accepted_message.is_some() && !gone_reply.is_empty() && connection.has_ended();
            if abandoned {
                self.stats.abandoned += 1;
                connection.unsent.extend(gone_reply.as_bytes());
                self.write_results.extend(reply.accepted_message.map(|msg| (msg, false)));
            } else {
                connection.unsent.extend(reply.text.as_bytes());
                connection.unconfirmed_messages.extend(reply.accepted_message);
            }
            // Input beyond the limit is not kept for later: the client sends it again.
            let is_over_limit =
                !connection.unparsed.is_empty() && self.buffered_bytes > self.max_buffered_bytes;
            connection.close_after_write |= reply.close || abandoned || is_over_limit;
            self.request_answered(now, key, reply.fault);
        }
        self.report_writes();
    }

    /// Sends a reply that was appended to the connection's output, and schedules what follows: a pause after an invalid
    /// request, or the next request.
    pub(super) fn request_answered(&mut self, now: Micros, key: u64, fault: bool) {
        self.admission.answered(now, key, fault);
        let pause = match self.connections.get_mut(&key) {
            Some(connection) if fault => Some(now + self.protocol.fault_pause(&mut connection.session)),
            _ => None,
        };
        self.flush(now, key);
        let Some(connection) = self.connections.get_mut(&key) else { return };
        if pause.is_some() && connection.unsent.is_empty() && !connection.close_after_write {
            self.set_timer(key, pause);
        } else if connection.may_parse || connection.readable {
            self.ready.push(key);
        }
    }

    /// Writes pending output as far as the client accepts it.
    pub(super) fn flush(&mut self, now: Micros, key: u64) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let was_waiting = !connection.unsent.is_empty() && connection.timer.is_some();
        let (written, sent) = send(&mut connection.stream, &connection.unsent);
        connection.unsent.drain(..written);
        match sent {
            Sent::Broken => return self.close(key),
            Sent::LocalFault => self.stalled.push(key),
            Sent::WouldBlock | Sent::All => {}
        }
        if sent != Sent::All {
            if !was_waiting {
                self.set_timer(key, Some(now + WRITE_TIMEOUT));
            }
            return;
        }
        connection.unsent = Vec::new();
        self.write_results.extend(connection.unconfirmed_messages.drain(..).map(|msg| (msg, true)));
        if connection.close_after_write && connection.discard_left.is_none() {
            connection.discard_left = Some(MAX_DISCARDED_BYTES);
            let ended = connection.end_of_input || connection.stream.shutdown(Shutdown::Write).is_err();
            self.buffered_bytes -= connection.unparsed.len();
            connection.unparsed = Vec::new();
            self.admission.closing(now, key);
            if ended {
                return self.close(key);
            }
            self.ready.push(key);
        }
        if was_waiting {
            self.set_timer(key, None);
            self.ready.push(key);
        }
    }

    /// Reports which replies were written, all of a round at once.
    pub(super) fn report_writes(&mut self) {
        if !self.write_results.is_empty() {
            self.protocol.replies_written(&self.write_results);
            self.write_results.clear();
        }
    }
}
