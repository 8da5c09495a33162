//! Connections: accepted, read, written, closed.

use super::*;

impl Run<'_> {
    pub(super) fn accept(&mut self, token: usize) -> io::Result<()> {
        loop {
            let Some((listener, of, at)) = self.listeners.get(&token) else { return Ok(()) };
            let (of, at) = (*of, *at);
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(_) => return Ok(()),
            };
            let kind = match at {
                None => Kind::Registry { of, watches: false },
                Some(at) => {
                    if self.world.connect(self.clock.now(), at, of as usize) == Connect::Refused {
                        continue;
                    }
                    self.put(Fact::Connected { by: of, to: at });
                    Kind::Hook { of, at, call: None }
                }
            };
            self.open(stream, kind)?;
        }
    }

    pub(super) fn open(&mut self, mut stream: TcpStream, kind: Kind) -> io::Result<usize> {
        let _ = stream.set_nodelay(true);
        let token = self.token();
        self.poll.registry().register(&mut stream, token, Interest::READABLE | Interest::WRITABLE)?;
        let conn = Conn { stream, kind, held: Vec::new(), out: Vec::new(), last: false };
        self.conns.insert(token.0, conn);
        Ok(token.0)
    }

    pub(super) fn write(&mut self, token: usize, bytes: &[u8]) {
        if let Some(conn) = self.conns.get_mut(&token) {
            conn.out.extend_from_slice(bytes);
            self.flush(token);
        }
    }

    pub(super) fn flush(&mut self, token: usize) {
        let Some(conn) = self.conns.get_mut(&token) else { return };
        while !conn.out.is_empty() {
            match conn.stream.write(&conn.out) {
                Ok(n) if n > 0 => drop(conn.out.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // Reading tells what has become of it. A connection that is not up yet is not writable either.
                _ => return,
            }
        }
        if conn.last {
            self.close(token);
        }
    }

    pub(super) fn close(&mut self, token: usize) {
        let Some(mut conn) = self.conns.remove(&token) else { return };
        let _ = self.poll.registry().deregister(&mut conn.stream);
        match conn.kind {
            Kind::Hook { of, at, call } => {
                self.world.disconnect(at);
                if let Some(call) = call {
                    self.world.give_up(call);
                    if let Some((_, msg, _)) = self.calls.remove(&call) {
                        let ended = Ended::CalledOff;
                        self.put(Fact::Back { msg, by: of, to: at, ended });
                    }
                }
            }
            Kind::Client { to, .. } => {
                self.idle.entry(to).or_default().retain(|t| *t != token);
            }
            Kind::Registry { .. } => {}
        }
    }

    /// What the poller has to tell, after so long at the latest: connections and listeners, and which may be written to.
    pub(super) fn polled(&mut self, nap: Duration) -> io::Result<Vec<(usize, bool)>> {
        let mut events = Events::with_capacity(1024);
        match self.poll.poll(&mut events, Some(nap)) {
            Err(e) if e.kind() != ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        Ok(events.iter().map(|e| (e.token().0, e.is_writable())).collect())
    }

    /// Takes in what came. A courier answers its client before it calls a partner, so what partners and the register were sent
    /// is read first, then clients are heard, and only then it is looked at: an answer that was written before a call is
    /// there by then, also if both came while this loop was busy and the poller had told of the call alone.
    pub(super) fn hear_all(&mut self, came: Vec<(usize, bool)>) -> io::Result<()> {
        let (clients, others): (Vec<_>, Vec<_>) = came.into_iter().partition(|(t, _)| self.is_client(*t));
        let mut read = Vec::new();
        for (token, writable) in others {
            if self.listeners.contains_key(&token) {
                self.accept(token)?;
                continue;
            }
            if writable {
                self.flush(token);
            }
            read.extend(self.read(token).map(|ended| (token, ended)));
        }
        self.hear_clients(clients)?;
        if !read.is_empty() {
            let (clients, others) =
                self.polled(Duration::ZERO)?.into_iter().partition(|(t, _)| self.is_client(*t));
            self.left_over = others;
            self.hear_clients(clients)?;
        }
        for (token, ended) in read {
            self.asked(token)?;
            if ended {
                self.close(token);
            }
        }
        Ok(())
    }

    fn is_client(&self, token: usize) -> bool {
        self.conns.get(&token).is_some_and(|c| matches!(c.kind, Kind::Client { .. }))
    }

    fn hear_clients(&mut self, clients: Vec<(usize, bool)>) -> io::Result<()> {
        for (token, writable) in clients {
            if writable {
                self.flush(token);
            }
            self.hear(token)?;
        }
        Ok(())
    }

    /// Hears a client.
    pub(super) fn hear(&mut self, token: usize) -> io::Result<()> {
        let Some(ended) = self.read(token) else { return Ok(()) };
        self.client_hears(token, ended)?;
        if ended {
            self.close(token);
        }
        Ok(())
    }

    /// Reads what is there, and whether that was the end; nothing if the connection is not there, or not up yet.
    fn read(&mut self, token: usize) -> Option<bool> {
        let mut chunk = [0; CHUNK];
        loop {
            let conn = self.conns.get_mut(&token)?;
            match conn.stream.read(&mut chunk) {
                Ok(0) => return Some(true),
                Ok(n) => conn.held.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Some(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::NotConnected => return None,
                Err(_) => return Some(true),
            }
        }
    }

    /// Whole requests on a partner's or the register's connection.
    pub(super) fn asked(&mut self, token: usize) -> io::Result<()> {
        loop {
            let Some(conn) = self.conns.get_mut(&token) else { return Ok(()) };
            let asked = match wire::request(&conn.held) {
                Incoming::Part => return Ok(()),
                Incoming::Bad(what) => {
                    self.found.findings.push(format!("a request that can't be read: {what}"));
                    self.close(token);
                    return Ok(());
                }
                Incoming::Whole(asked, len) => {
                    conn.held.drain(..len);
                    asked
                }
            };
            match conn.kind {
                Kind::Hook { of, at, .. } => self.called(token, of, at, &asked),
                Kind::Registry { of, .. } => self.registry(token, of, &asked)?,
                Kind::Client { .. } => return Ok(()),
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A call was told of while its client's answer, written before it, was not: as it is where both come after the poller was
    /// asked. The answer counts as the first all the same.
    #[test]
    fn an_answer_that_was_written_before_a_call_is_taken_in_before_it() {
        let text = br#"{"seconds":1,"courier":{"instances":1},"destinations":{"count":1,"endpoints":[1,1],"skew":0}}"#;
        let scenario = Scenario::read(text).unwrap_or_else(|f| panic!("{f:?}"));
        let scratch = Scratch::new().unwrap();
        let mut run = Run::new(&scenario, Streams::new(1), Path::new("none"), &scratch.0).unwrap();
        let wanted = Wanted { at: Micros(0), class: 0, tenant: 0, dest: 0 };
        let (now, due) = (run.now(), run.now() + Micros::from_secs(5.0));
        run.messages.push(Message { wanted, due, tries: 1, holder: None, began: false, over: false });
        let door = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let mut connected = |kind| {
            let ours = TcpStream::connect(door.local_addr().unwrap()).unwrap();
            let (theirs, _) = door.accept().unwrap();
            (run.open(ours, kind).unwrap(), theirs)
        };
        let (_client, mut courier) = connected(Kind::Client { to: 0, asked: Some((0, now, true)) });
        let (hook, mut caller) = connected(Kind::Hook { of: 0, at: 0, call: None });
        courier.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n").unwrap();
        let call = "POST /hook HTTP/1.1\r\nHost: p\r\nReq-Id: 0.1\r\nContent-Length: 0\r\n\r\n";
        caller.write_all(call.as_bytes()).unwrap();
        run.hear_all(vec![(hook, false)]).unwrap();
        let order: Vec<&Fact> = run.record.facts.iter().map(|(_, f)| f).collect();
        let taken = order.iter().position(|f| matches!(f, Fact::Taken { msg: 0, at: 0 }));
        let began = order.iter().position(|f| matches!(f, Fact::Began { msg: 0, .. }));
        assert!(taken.is_some() && began.is_some() && taken < began, "{order:?} {:?}", run.found.findings);
    }
}
