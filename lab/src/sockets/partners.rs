//! Partners: calls that reach them, what they answer, and their falls.

use super::*;

impl Run<'_> {
    pub(super) fn called(&mut self, token: usize, of: Instance, at: EndpointNo, asked: &Asked) {
        let msg = wire::number_of(&asked.id);
        let Some(class) = self.messages.get(msg as usize).map(|m| m.wanted.class) else {
            let words = format!("a call with an id that nobody handed in: {:?} to {}", asked.id, asked.path);
            self.found.findings.push(words);
            self.write(token, b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n");
            return;
        };
        let call = self.next_call;
        self.next_call += 1;
        let attempt = u8::from(self.messages[msg as usize].began);
        self.messages[msg as usize].began = true;
        self.put(Fact::Began { msg, by: of, to: at, attempt });
        self.calls.insert(call, (token, msg, attempt));
        if let Some(Conn { kind: Kind::Hook { call: out, .. }, .. }) = self.conns.get_mut(&token) {
            *out = Some(call);
        }
        let now = self.now();
        self.world.call(now, at, call, of as usize, msg, class);
    }

    pub(super) fn pump(&mut self) -> io::Result<()> {
        let now = self.now();
        for happening in self.world.advance(now) {
            match happening {
                Happening::Reply(call, reply) => self.reply(call, reply),
                Happening::Ran { msg, at, effect } => self.put(Fact::Ran { msg, at, effect }),
                Happening::Broken(at) => self.fall(at),
                Happening::Listed(at, state) => self.list_changes(at, state),
                Happening::Trouble { dest, begins, what } => {
                    self.put(Fact::Trouble { dest: dest as u32, begins, what });
                }
                Happening::Toppled { dest, calls, knowing } => {
                    let (dest, calls, knowing) = (dest as u32, calls as u32, knowing as u32);
                    self.put(Fact::Toppled { dest, calls, knowing });
                }
            }
        }
        // Who is back listens where it did before.
        let back: Vec<EndpointNo> =
            self.closed.iter().copied().filter(|at| self.world.up(now, *at)).collect();
        for at in back {
            for n in 0..self.scenario.courier.instances as Instance {
                let open = self.listeners.values().any(|(_, of, e)| (*of, *e) == (n, Some(at)));
                if !open && self.listen(n, Some(at), self.addrs[&(n, at)]).is_err() {
                    return Ok(()); // its address is not free yet: the next turn tries again
                }
            }
            self.closed.remove(&at);
            if let (Some(relay), Some(rule)) = (&self.relay, self.refusing.remove(&at)) {
                relay.lift(rule)?;
            }
        }
        Ok(())
    }

    pub(super) fn reply(&mut self, call: CallNo, reply: Reply) {
        let Some((token, msg, _)) = self.calls.remove(&call) else { return };
        let Some(conn) = self.conns.get_mut(&token) else { return };
        let Kind::Hook { of, at, call: out } = &mut conn.kind else { return };
        let (of, at) = (*of, *at);
        *out = None;
        let ended = match reply {
            Reply::Ok => Ended::Delivered,
            Reply::Error => Ended::Failed,
            Reply::Full(wait) => Ended::TurnedAway(wait),
            Reply::Break => Ended::Broke,
        };
        self.put(Fact::Back { msg, by: of, to: at, ended });
        if reply == Reply::Ok {
            let m = &mut self.messages[msg as usize];
            (m.over, m.holder) = (true, None);
        }
        match wire::reply(reply) {
            Some(text) => self.write(token, text.as_bytes()),
            None => self.close(token),
        }
    }

    /// Its process is gone: nobody listens, and all its connections break.
    pub(super) fn fall(&mut self, at: EndpointNo) {
        let gone: Vec<usize> =
            self.listeners.iter().filter(|(_, (_, _, e))| *e == Some(at)).map(|(t, _)| *t).collect();
        for token in gone {
            if let Some((mut listener, ..)) = self.listeners.remove(&token) {
                let _ = self.poll.registry().deregister(&mut listener);
            }
        }
        self.closed.insert(at);
        if let (Some(relay), Ok(rule)) = (&self.relay, Rule::new("down", &format!("*>e{at}"), What::Refuse)) {
            // An error says that the relay has ended, and then nothing is passed on anyway.
            self.refusing.extend(relay.add(rule).ok().map(|rule| (at, rule)));
        }
        let here = |c: &Conn| matches!(c.kind, Kind::Hook { at: e, .. } if e == at);
        let broken: Vec<usize> = self.conns.iter().filter(|(_, c)| here(c)).map(|(t, _)| *t).collect();
        broken.into_iter().for_each(|token| self.close(token));
    }
}
