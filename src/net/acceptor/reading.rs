//! Reads and parses the input of connections that have sent something.

use super::*;

/// Input behind a request beyond which it is refused: the end of the stream may be behind input for which the socket has no room
/// yet, so nobody can tell whether the client is still there. Clients of the platform send one request at a time.
const MAX_PIPELINED_BYTES: usize = 16 * 1024;
/// The most requests answered in one batch, so that the other connections need not wait for long.
const MAX_BATCH_REQUESTS: usize = 32;

impl<P: ClientProtocol> ConnectionAcceptor<P> {
    /// Reads all connections that are scheduled for it, and answers their requests in batches.
    pub(super) fn read_ready(&mut self, now: Micros, closing: bool) {
        let mut ready = std::mem::take(&mut self.ready);
        ready.sort_unstable();
        ready.dedup();
        let (mut keys, mut requests) = (Vec::new(), Vec::new());
        for key in ready {
            if let Some(request) = self.read_request(now, key, closing) {
                self.admission.complete_request(now, key);
                keys.push(key);
                requests.push(request);
            }
            if requests.len() >= MAX_BATCH_REQUESTS {
                self.answer_requests(std::mem::take(&mut keys), std::mem::take(&mut requests));
            }
        }
        if !requests.is_empty() {
            self.answer_requests(keys, requests);
        }
    }

    /// Reads the input of one connection, and parses it up to the end of its first whole request.
    fn read_request(&mut self, now: Micros, key: u64, closing: bool) -> Option<P::Request> {
        loop {
            let connection = self.connections.get_mut(&key)?;
            if connection.discard_left.is_some() {
                self.discard_input(key);
                return None;
            }
            if !connection.reads_requests() {
                return None;
            }
            let mut filled = connection.unparsed.len();
            self.buffered_bytes -= filled;
            self.read_buffer[..filled].copy_from_slice(&connection.unparsed);
            connection.unparsed.clear();
            let capacity = self.read_buffer.len();
            let mut has_news = std::mem::take(&mut connection.may_parse) && filled > 0;
            while connection.readable && filled < capacity {
                match receive(&mut connection.stream, &mut self.read_buffer[filled..]) {
                    Received::EndOfStream => (connection.end_of_input, connection.readable) = (true, false),
                    Received::Bytes(n) => {
                        filled += n;
                        has_news = true;
                        // A short read has emptied the socket. If the end of the input arrived together with these bytes, no
                        // further event announces it, so the socket is read once more to find it.
                        connection.readable = connection.hung_up || filled == capacity;
                    }
                    Received::WouldBlock => connection.readable = false,
                    Received::LocalFault => {
                        connection.readable = false;
                        self.stalled.push(key);
                    }
                    Received::Broken => {
                        self.close(key);
                        return None;
                    }
                }
                // New input is parsed before more is read: in most cases it is one whole request and all that there is.
                if has_news {
                    break;
                }
            }
            let mut at = 0;
            let mut result = None;
            while has_news && at < filled && result.is_none() {
                let (used, parsed) = self.protocol.parse(
                    &mut connection.session,
                    &self.read_buffer[at..filled],
                    &mut connection.unsent,
                );
                at += used;
                match parsed {
                    Parsed::Answered { fault: false }
                        if used > 0 && connection.unsent.len() < MAX_UNSENT_BYTES => {}
                    other => result = Some(other),
                }
            }
            let left = filled - at;
            if left > 0 {
                connection.unparsed.extend_from_slice(&self.read_buffer[at..filled]);
                self.buffered_bytes += left;
            } else if connection.unparsed.capacity() > 0 {
                connection.unparsed = Vec::new(); // an idle connection holds no buffer
            }
            let (readable, end_of_input, all_parsed) =
                (connection.readable, connection.end_of_input, left == 0);
            if left > 0 && self.buffered_bytes > self.max_buffered_bytes {
                // Requests that wait for their turn take memory like incomplete ones.
                connection.close_after_write |= matches!(result, Some(Parsed::Answered { .. }));
            }
            match result {
                Some(Parsed::Request(request)) => {
                    let reply = self.protocol.closing_reply(CloseReason::Gone);
                    // A connection that was accepted just now has had no event yet that could report its end.
                    let may_be_abandoned =
                        connection.has_ended() || connection.input_behind(left) > MAX_PIPELINED_BYTES;
                    if !reply.is_empty() && may_be_abandoned {
                        // A client that got no answer in time closes the connection and submits its request elsewhere. A
                        // process that was suspended finds the request followed by the end of the input; if it accepted the
                        // request now, the message would be delivered twice. A client that has closed only its sending side
                        // reads in the reply that it is to try again.
                        self.stats.abandoned += 1;
                        tracing::debug!(
                            target: "clients", connection = key, why = ?CloseReason::Gone, "a request is refused"
                        );
                        connection.unsent.extend(reply.as_bytes());
                        connection.close_after_write = true;
                        self.flush(now, key);
                        return None;
                    }
                    connection.may_parse = left > 0;
                    return Some(request);
                }
                Some(Parsed::Closing) => {
                    connection.close_after_write = true;
                    self.flush(now, key);
                    return None;
                }
                Some(Parsed::Answered { fault }) => {
                    connection.may_parse = left > 0;
                    self.request_answered(now, key, fault);
                    return None;
                }
                Some(Parsed::Incomplete { begun }) => {
                    if begun {
                        self.admission.partial_request(now, key);
                    }
                    if self.buffered_bytes > self.max_buffered_bytes && left > 0 {
                        let reply = self.protocol.closing_reply(CloseReason::Full);
                        tracing::debug!(
                            target: "clients", connection = key, why = ?CloseReason::Full, "a request is refused"
                        );
                        connection.unsent.extend(reply.as_bytes());
                        connection.close_after_write = true;
                    }
                    self.flush(now, key);
                }
                None if has_news => {
                    self.request_answered(now, key, false);
                    return None;
                }
                None => {}
            }
            // The end of the input takes effect only once all input before it is parsed, so that it can't discard a whole
            // request that came with it.
            if end_of_input
                || closing
                    && !readable
                    && all_parsed
                    && self.admission.state(key) != Some(ConnState::Receiving)
            {
                if self.connections.get(&key).is_some_and(|c| c.unsent.is_empty()) {
                    self.close(key);
                }
                return None;
            }
            if !readable || self.connections.get(&key).is_some_and(|c| c.unparsed.len() >= capacity) {
                return None;
            }
        }
    }

    /// Reads and discards input that arrives after the last reply.
    fn discard_input(&mut self, key: u64) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let mut sink = [0; 8 * 1024];
        loop {
            match receive(&mut connection.stream, &mut sink) {
                Received::WouldBlock => return,
                Received::LocalFault => return self.stalled.push(key),
                Received::Bytes(n) if connection.discard_left.is_some_and(|left| left > n) => {
                    connection.discard_left = connection.discard_left.map(|left| left - n);
                }
                _ => return self.close(key),
            }
        }
    }
}
