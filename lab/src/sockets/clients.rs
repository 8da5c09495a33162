//! Clients: what they hand in, what they hear, and when they come again.

use super::*;

impl Run<'_> {
    pub(super) fn wanted(&mut self, wanted: Wanted) -> io::Result<()> {
        let msg = self.messages.len() as MsgNo;
        let now = self.now();
        let due = now + self.scenario.classes[wanted.class].deadline;
        self.messages.push(Message { wanted, due, tries: 0, holder: None, began: false, over: false });
        let (class, tenant, dest) = (wanted.class as u16, wanted.tenant as u16, wanted.dest as u32);
        // From when it was due, however late this loop is: else its own slowness would flatter the courier.
        self.record.put(self.began + wanted.at, Fact::Wanted { msg, class, tenant, dest, due });
        self.hand_in(msg)
    }

    pub(super) fn hand_in(&mut self, msg: MsgNo) -> io::Result<()> {
        if self.messages[msg as usize].over {
            return Ok(());
        }
        let serving: Vec<Instance> =
            (0..).zip(&self.serving).filter(|(_, a)| a.is_some()).map(|(n, _)| n).collect();
        let draw: f64 = self.places.random();
        let Some(to) = serving.get((draw * serving.len() as f64) as usize).copied() else {
            self.come_again(msg, None);
            return Ok(());
        };
        self.messages[msg as usize].tries += 1;
        self.put(Fact::HandedIn { msg, at: to });
        self.send(msg, to, false)
    }

    pub(super) fn send(&mut self, msg: MsgNo, to: Instance, again: bool) -> io::Result<()> {
        let Some(addr) = self.serving[to as usize] else {
            self.come_again(msg, None);
            return Ok(());
        };
        let token = match self.idle.entry(to).or_default().pop() {
            Some(token) if !again => token,
            _ => match TcpStream::connect(addr) {
                Ok(stream) => self.open(stream, Kind::Client { to, asked: None })?,
                Err(_) => {
                    self.come_again(msg, None);
                    return Ok(());
                }
            },
        };
        let now = self.now();
        let m = &self.messages[msg as usize];
        let (class, tenant) =
            (&self.scenario.classes[m.wanted.class].name, &self.scenario.tenants[m.wanted.tenant].name);
        // The first time it is handed in counts from when it was due, see above.
        let sent = if m.tries == 1 && !again { self.began + m.wanted.at } else { now };
        let text = wire::hand_in(msg, m.tries, class, tenant, (m.due - now).0 / 1000, m.wanted.dest);
        if let Some(Conn { kind: Kind::Client { asked, .. }, .. }) = self.conns.get_mut(&token) {
            *asked = Some((msg, sent, again));
        }
        self.write(token, text.as_bytes());
        let patience = self.scenario.clients.patience;
        self.at(now + patience, Due::Patience(token, msg));
        Ok(())
    }

    pub(super) fn client_hears(&mut self, token: usize, ended: bool) -> io::Result<()> {
        let Some(Conn { kind: Kind::Client { to, asked }, held, .. }) = self.conns.get_mut(&token) else {
            return Ok(());
        };
        let to = *to;
        let answer = match wire::answer(held) {
            Incoming::Whole(answer, len) => {
                held.drain(..len);
                Some(answer)
            }
            Incoming::Part => None,
            Incoming::Bad(what) => {
                self.found.findings.push(format!("an answer to a client that can't be read: {what}"));
                None
            }
        };
        let Some((msg, sent, again)) = *asked else { return Ok(()) };
        match answer {
            Some(answer) => {
                *asked = None;
                let now = self.clock.now();
                if let Some(answers) = &mut self.found.answers {
                    answers.saturating_record((now - sent).0.max(1));
                }
                if answer.closes || ended {
                    self.close(token);
                } else {
                    self.idle.entry(to).or_default().push(token);
                }
                match answer.status {
                    200 | 202 => {
                        self.messages[msg as usize].holder = Some(to);
                        self.messages[msg as usize].began = false;
                        self.put(Fact::Taken { msg, at: to });
                    }
                    _ => {
                        self.put(Fact::Refused { msg, at: to, wait: answer.wait });
                        self.come_again(msg, answer.wait);
                    }
                }
            }
            None if ended => {
                *asked = None;
                if again {
                    self.put(Fact::Unanswered { msg, at: to });
                    self.come_again(msg, None);
                } else {
                    // Closed between requests: it is sent once more on a new one.
                    self.send(msg, to, true)?;
                }
            }
            None => {}
        }
        Ok(())
    }

    pub(super) fn come_again(&mut self, msg: MsgNo, wait: Option<Micros>) {
        let conf = &self.scenario.clients;
        let wait = wait.unwrap_or(conf.pause).scale(1.0 + 0.2 * self.habits.random::<f64>());
        let at = self.now() + wait;
        let m = &mut self.messages[msg as usize];
        if m.tries <= conf.retries && at < m.due {
            self.at(at, Due::HandIn(msg));
        } else {
            m.over = true;
            self.put(Fact::Abandoned { msg });
        }
    }

    pub(super) fn noticed(&mut self, by: Instance, notice: &wire::Notice) {
        let msg = wire::number_of(&notice.message);
        if self.messages.get(msg as usize).is_none() {
            return self
                .found
                .findings
                .push(format!("a notice for {}, which nobody handed in", notice.message));
        }
        let harmless = notice.outcome == "handed_back";
        self.put(Fact::Told { msg, by, harmless });
        if self.messages[msg as usize].holder.take().is_some() {
            if harmless {
                self.come_again(msg, notice.retry_in_ms.map(|ms| Micros(ms * 1000)));
            } else {
                self.messages[msg as usize].over = true;
            }
        }
    }
}
