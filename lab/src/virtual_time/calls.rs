//! Orders of the core in virtual time: connections, calls, their responses and their ends.

use super::life::{Life, Out, Stage};
use super::{Event, Run, CONNECT, KEEP_SHARE, LOOK};
use crate::record::{Ended, Fact, Instance, MsgNo};
use crate::world::{CallNo, Connect, EndpointNo, Happening, Reply};
use indigohold::core::{Answer, End, Fetch, Notice, Order, Report};
use indigohold::store::FinalOutcome;
use indigohold::{Micros, Outcome};

impl Run {
    /// Carries out whatever an instance has ordered, and sees to its next look at the clock.
    pub(super) fn settle(&mut self, n: Instance) {
        loop {
            let Some(life) = self.machines[n as usize].life.as_mut() else { return };
            if let Ok(order) = life.orders.try_recv() {
                self.order(n, order);
            } else if life.free() {
                let Some(fetch) = life.queue.pop_front() else { break };
                self.fetch(n, fetch);
            } else {
                break;
            }
        }
        let now = self.now;
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let at = life.core.next_timer_at().map_or(now + LOOK, |at| at.clamp(now + Micros(1), now + LOOK));
        if at < life.tick_at {
            life.tick_at = at;
            let number = life.number;
            self.at(at, Event::Tick(n, number));
        }
    }

    pub(super) fn order(&mut self, n: Instance, order: Order) {
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let number = life.number;
        match order {
            Order::Fetch(fetch) => life.queue.push_back(fetch),
            // This world knows no batches: each is a call of its own.
            Order::Batch(fetches) => life.queue.extend(fetches),
            Order::Cancel { msg, attempt } => self.cancel(n, msg, attempt),
            Order::Notice(Notice { msg, req, verdict, .. }) => {
                let wait = match verdict {
                    FinalOutcome::GivenUp => None,
                    FinalOutcome::HandedBack(wait) => Some(Some(wait.0)),
                };
                let at = self.now + self.hop();
                self.at(at, Event::Noticed(n, number, msg, number_of(&req.id), wait));
            }
            Order::WatchList | Order::ReadList(_) => {
                let at = self.now + self.hop() + self.hop();
                self.at(at, Event::Whole(n, number));
            }
            Order::CloseIdle(backend) => {
                let endpoint = endpoint_of(&backend.name);
                let idle = life.idle.remove(&endpoint).unwrap_or_default();
                idle.iter().for_each(|_| self.world.disconnect(endpoint));
            }
            // The worlds here permit neither; what is not sent must be told to be so.
            Order::Probe(probe) => {
                life.core.probed(self.now, &probe, Outcome::NotSent, Micros(0), Vec::new())
            }
            Order::Note { .. } | Order::Nothing => {}
        }
    }

    pub(super) fn fetch(&mut self, n: Instance, fetch: Fetch) {
        let (to, now) = (endpoint_of(&fetch.backend.name), self.now);
        let keep = self.scenario.destinations.idle.scale(KEEP_SHARE);
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let (number, key) = (life.number, (fetch.msg, fetch.attempt));
        let until = fetch.deadline;
        let (idle, stale) = life.take_idle(to, now, keep);
        life.out.insert(key, Out { fetch, to, stage: Stage::Connecting, sent: now });
        (0..stale).for_each(|_| self.world.disconnect(to));
        if idle {
            return self.begin(n, key);
        }
        match self.world.connect(now, to, n as usize) {
            Connect::Up(work) => {
                self.put(Fact::Connected { by: n, to });
                let at = now + self.hop() + self.hop() + work;
                self.at(at, Event::Connected(n, number, key.0, key.1));
            }
            Connect::Refused => {
                let at = now + self.hop() + self.hop();
                self.at(at, Event::NotConnected(n, number, key.0, key.1));
            }
            Connect::Never => {
                self.at((now + CONNECT).min(until).max(now), Event::NotConnected(n, number, key.0, key.1));
            }
        }
        self.pump();
    }

    pub(super) fn connected(&mut self, n: Instance, life: u32, msg: u64, attempt: u8) {
        if self.life(n, life).is_some_and(|l| l.out.contains_key(&(msg, attempt))) {
            self.begin(n, (msg, attempt));
            self.settle(n);
        }
    }

    /// A connection is there: the last look, and the first byte.
    pub(super) fn begin(&mut self, n: Instance, key: (u64, u8)) {
        let now = self.now;
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let Some(out) = life.out.get_mut(&key) else { return };
        out.stage = Stage::Connected;
        let (fetch, to) = (out.fetch.clone(), out.to);
        let in_time = now < fetch.deadline;
        if !in_time || life.core.report(now, Report::Begin(fetch.clone())) != Answer::MayBegin(true) {
            return self.finish(n, key.0, key.1, End::Unsent, true);
        }
        let call = self.next_call;
        self.next_call += 1;
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let number = life.number;
        if let Some(out) = life.out.get_mut(&key) {
            (out.stage, out.sent) = (Stage::Out(call), now);
        }
        let msg = number_of(&fetch.req.id);
        self.messages[msg as usize].began = true;
        self.put(Fact::Began { msg, by: n, to, attempt: key.1 });
        self.calls.insert(call, (n, number, key.0, key.1, Reply::Break));
        let arrives = now + self.hop();
        self.at(arrives, Event::Arrives(n, number, key.0, key.1, call));
        self.at(fetch.deadline.max(now), Event::TimesOut(n, number, key.0, key.1, call));
    }

    pub(super) fn arrives(&mut self, n: Instance, life: u32, msg: u64, attempt: u8, call: CallNo) {
        // What has been written arrives, also after its writer's end.
        let known = self.life(n, life).and_then(|l| l.out.get(&(msg, attempt)));
        let found = known.filter(|o| o.stage == Stage::Out(call));
        let Some((to, id)) = found.map(|o| (o.to, number_of(&o.fetch.req.id))) else { return };
        let class = self.messages[id as usize].class;
        self.world.call(self.now, to, call, n as usize, id, class);
        self.pump();
    }

    /// Takes out what has happened in the world.
    pub(super) fn pump(&mut self) {
        for happening in self.world.advance(self.now) {
            match happening {
                Happening::Reply(call, reply) => {
                    if let Some(waits) = self.calls.get_mut(&call) {
                        waits.4 = reply;
                        let at = self.now + self.hop();
                        self.at(at, Event::Replies(call, 0));
                    }
                }
                Happening::Ran { msg, at, effect } => self.put(Fact::Ran { msg, at, effect }),
                Happening::Broken(endpoint) => {
                    for machine in &mut self.machines {
                        machine.life.as_mut().map(|l| l.idle.remove(&endpoint));
                    }
                }
                Happening::Listed(endpoint, state) => self.list_changes(endpoint, state),
                Happening::Trouble { dest, begins, what } => {
                    self.put(Fact::Trouble { dest: dest as u32, begins, what });
                }
                Happening::Toppled { dest, calls, knowing } => self.put(Fact::Toppled {
                    dest: dest as u32,
                    calls: calls as u32,
                    knowing: knowing as u32,
                }),
            }
        }
    }

    pub(super) fn replied(&mut self, call: CallNo) {
        let Some((n, life, msg, attempt, reply)) = self.calls.remove(&call) else { return };
        let out = |l: &mut Life| l.out.get(&(msg, attempt)).is_some_and(|o| o.stage == Stage::Out(call));
        if !self.life(n, life).is_some_and(out) {
            return;
        }
        let (end, keep) = match reply {
            Reply::Ok => (End::Delivered, true),
            Reply::Error => (End::Failed, true),
            Reply::Full(wait) => (End::TurnedAway(wait), true),
            Reply::Break => (End::Broke, false),
        };
        self.finish(n, msg, attempt, end, keep);
        self.settle(n);
    }

    pub(super) fn cancel(&mut self, n: Instance, msg: u64, attempt: u8) {
        let now = self.now;
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        if let Some(at) = life.queue.iter().position(|f| (f.msg, f.attempt) == (msg, attempt)) {
            if let Some(fetch) = life.queue.remove(at) {
                life.core.report(now, done(fetch, End::Unsent, Micros(0)));
            }
            return;
        }
        match life.out.get(&(msg, attempt)).map(|o| o.stage) {
            Some(Stage::Out(call)) => {
                self.world.give_up(call);
                self.calls.remove(&call);
                self.finish(n, msg, attempt, End::CalledOff, false);
            }
            Some(_) => self.finish(n, msg, attempt, End::Unsent, false),
            None => {}
        }
    }

    /// A fetch is over; its connection is kept or closed.
    pub(super) fn finish(&mut self, n: Instance, msg: u64, attempt: u8, end: End, keep: bool) {
        let now = self.now;
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let Some(out) = life.out.remove(&(msg, attempt)) else { return };
        let sent = matches!(out.stage, Stage::Out(_));
        if keep {
            life.idle.entry(out.to).or_default().push(now);
        } else if out.stage != Stage::Connecting {
            self.world.disconnect(out.to);
        }
        let id = number_of(&out.fetch.req.id);
        let ended = match end {
            End::Delivered => Some(Ended::Delivered),
            End::Failed => Some(Ended::Failed),
            End::TurnedAway(wait) => Some(Ended::TurnedAway(wait)),
            End::NotConnected => Some(Ended::NotConnected),
            End::Broke => Some(Ended::Broke),
            End::TimedOut => Some(Ended::TimedOut),
            End::CalledOff => Some(Ended::CalledOff),
            _ => None,
        };
        if let Some(ended) = ended {
            self.put(Fact::Back { msg: id, by: n, to: out.to, ended });
        }
        if end == End::Delivered {
            self.messages[id as usize].over = true;
            self.messages[id as usize].holder = None;
        }
        let latency = if sent { now - out.sent } else { Micros(0) };
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        life.core.report(now, done(out.fetch, end, latency));
    }
}

fn done(fetch: Fetch, end: End, latency: Micros) -> Report {
    Report::Done { fetch, end, latency, load: Vec::new(), reply: String::new() }
}

/// A client's message by the id under which it was handed in.
fn number_of(id: &str) -> MsgNo {
    id.split_once('.').and_then(|(msg, _)| msg.parse().ok()).unwrap_or(0)
}

fn endpoint_of(name: &str) -> EndpointNo {
    name.strip_prefix('e').and_then(|n| n.parse().ok()).unwrap_or(0)
}
