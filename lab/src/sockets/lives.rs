//! What is due, and the processes: killed, stopped, started again.

use super::*;

impl Run<'_> {
    pub(super) fn is_due(&mut self, due: Due) -> io::Result<()> {
        match due {
            Due::HandIn(msg) => return self.hand_in(msg),
            Due::Patience(token, msg) => {
                let waits =
                    |c: &Conn| matches!(c.kind, Kind::Client { asked: Some((m, ..)), .. } if m == msg);
                let Some(conn) = self.conns.get(&token).filter(|c| waits(c)) else { return Ok(()) };
                let Kind::Client { to, .. } = conn.kind else { return Ok(()) };
                self.close(token);
                self.put(Fact::Unanswered { msg, at: to });
                self.come_again(msg, Some(Micros(0)));
            }
            Due::Kill(k) => self.kill(k)?,
            Due::Start(n) => self.fleet.start_again(n)?,
            Due::Serves(n, token, watch) => {
                // Who has gone meanwhile is not served; its connection's number is not used again.
                if self.conns.contains_key(&token) {
                    self.serve(token, n, watch)?;
                }
            }
            Due::Pause(p) => {
                let alive = self.alive();
                if !alive.is_empty() {
                    let n = alive[self.kills.random_range(0..alive.len())];
                    self.fleet.pause(n, true)?;
                    self.paused.insert(n);
                    self.put(Fact::Paused(n, true));
                    let at = self.now() + Micros::from_secs(self.scenario.pauses[p].lasts);
                    self.at(at, Due::GoesOn(n));
                }
            }
            Due::GoesOn(n) => {
                if self.paused.remove(&n) {
                    self.fleet.pause(n, false)?;
                    self.put(Fact::Paused(n, false));
                }
            }
            Due::Copy => (0..self.serving.len()).try_for_each(|n| self.fleet.copy(n as Instance))?,
            Due::Unstick(n) => {
                self.stuck.insert(n);
                self.fleet.end_one(n, false)?;
            }
            Due::Line(n, change) => self.line(n, change),
            Due::Heartbeat(n, token) => {
                if self.watchers(n).contains(&token) {
                    self.write(token, wire::chunk("\n").as_bytes());
                    let at = self.now() + HEARTBEAT;
                    self.at(at, Due::Heartbeat(n, token));
                }
            }
            Due::RegisterDown => {
                let all: Vec<usize> =
                    (0..self.line_at.len()).flat_map(|n| self.watchers(n as Instance)).collect();
                all.into_iter().for_each(|token| self.close(token));
            }
        }
        Ok(())
    }

    /// Who serves, is not stopped, and was not told to end.
    pub(super) fn alive(&self) -> Vec<Instance> {
        let alive = |n: &Instance| !self.ending.contains_key(n) && !self.paused.contains(n);
        (0..).zip(&self.serving).filter(|(n, a)| a.is_some() && alive(n)).map(|(n, _)| n).collect()
    }

    pub(super) fn kill(&mut self, k: usize) -> io::Result<()> {
        let kill = &self.scenario.kills[k];
        let alive = self.alive();
        if alive.is_empty() {
            return Ok(());
        }
        let n = alive[self.kills.random_range(0..alive.len())];
        self.ending.insert(n, k);
        if kill.gently {
            self.put(Fact::Ending(n));
        }
        self.fleet.end_one(n, kill.gently)
    }

    /// Hears what the processes say, and sees which have ended.
    pub(super) fn look_after(&mut self) -> io::Result<()> {
        while let Some((n, said)) = self.fleet.hear() {
            match said {
                Said::Listens(addr) => self.fleet.listens(n, addr)?,
                Said::Ready => {
                    self.serving[n as usize] = match self.fleet.addr(n) {
                        Some(addr) if self.clients_by_relay => {
                            Some(self.dial(LinkName::new("clients", format!("c{n}")), addr)?)
                        }
                        Some(addr) => Some(addr),
                        None => None,
                    };
                    self.put(Fact::Up(n));
                }
            }
        }
        for (n, how) in self.fleet.ended()? {
            self.serving[n as usize] = None;
            self.paused.remove(&n);
            if self.stuck.remove(&n) {
                self.fleet.start_again(n)?;
                continue;
            }
            let planned = self.ending.remove(&n).map(|k| self.scenario.kills[k].clone());
            let lost = planned.as_ref().is_some_and(|k| k.loses_disk);
            self.put(Fact::Down(n, lost));
            let to_it = |c: &Conn| matches!(c.kind, Kind::Client { to, .. } if to == n);
            let clients: Vec<usize> = self.conns.iter().filter(|(_, c)| to_it(c)).map(|(t, _)| *t).collect();
            for token in clients {
                self.hear(token)?;
                self.close(token);
            }
            self.idle.remove(&n);
            let away = match &planned {
                Some(kill) => kill.away,
                None => {
                    self.found.findings.push(format!("instance {n} ended by itself: {how}"));
                    CRASHED_AWAY
                }
            };
            if lost {
                self.fleet.lose(n)?;
                self.pass_on(n);
            }
            let at = self.now() + Micros::from_secs(away);
            let (folder, stuck) = planned.as_ref().map_or((Folder::Kept, 0.0), |k| (k.folder, k.stuck));
            if let Some(words) = self.fleet.fault_folder(n, folder)? {
                self.found.findings.push(format!("instance {n}: {words}"));
            }
            if stuck > 0.0 {
                self.fleet.hold_next(n);
                self.at(at + Micros::from_secs(stuck), Due::Unstick(n));
            }
            self.at(at, Due::Start(n));
        }
        Ok(())
    }

    /// What a lost machine held is handed to others, unless it may have run and must not be repeated.
    pub(super) fn pass_on(&mut self, n: Instance) {
        for msg in 0..self.messages.len() {
            let m = &mut self.messages[msg];
            if m.holder != Some(n) || m.over {
                continue;
            }
            m.holder = None;
            if m.began && self.scenario.classes[m.wanted.class].effect == Effect::Unsafe {
                m.over = true;
                self.put(Fact::Abandoned { msg: msg as MsgNo });
            } else {
                self.come_again(msg as MsgNo, Some(Micros(1_000_000)));
            }
        }
    }
}
