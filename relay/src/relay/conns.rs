//! Connections: taken, dialled on, and moved along.

use super::bytes::{cut, drop_all, read, reset, write, HELD};
use super::run::{token, Run, Side};
use super::RuleNo;
use crate::passage::{End, Met, Passage};
use crate::record::{Event, Record};
use crate::rules::{LinkName, Rule, Way, What};
use mio::net::TcpStream;
use mio::Interest;
use std::io::ErrorKind;
use std::net::Shutdown;

/// After a cut by FIN what still comes is read and dropped for so long, as closing over it would send RST.
const LINGER: u64 = 1_000_000;

pub(super) struct Conn {
    pub(super) link: usize,
    pub(super) number: u64,
    pub(super) from: TcpStream,
    pub(super) to: Option<TcpStream>,
    pub(super) connected: bool,
    pub(super) up: Passage,
    pub(super) down: Passage,
    pub(super) up_ended: bool,
    pub(super) down_ended: bool,
    /// It was cut by FIN; what comes is dropped until then.
    pub(super) drops_until: Option<u64>,
    pub(super) wake: Option<u64>,
    /// Reading stopped for want of room, and there is some now.
    pub(super) unread: bool,
}

impl Conn {
    pub(super) fn passage(&mut self, way: Way) -> &mut Passage {
        if way == Way::Up {
            &mut self.up
        } else {
            &mut self.down
        }
    }
}

impl Run {
    pub(super) fn accept(&mut self, n: usize) {
        loop {
            let Some(listener) = self.links.get(n).and_then(|l| l.listener.as_ref()) else { return };
            match listener.accept() {
                Ok((stream, _)) => self.take(n, stream),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted || e.kind() == ErrorKind::ConnectionAborted => {}
                // No descriptor left, say: what waits is looked at again.
                Err(_) => {
                    self.links[n].listener = None;
                    self.relisten = true;
                    return;
                }
            }
        }
    }

    pub(super) fn take(&mut self, n: usize, mut from: TcpStream) {
        let number = self.links[n].next;
        self.links[n].next += 1;
        self.counts.taken += 1;
        if self.conns.len() >= self.limits.connections {
            self.counts.over += 1;
            return reset(from);
        }
        let name = self.links[n].name.clone();
        let meets = |(rule, on): &(Rule, bool)| *on && rule.meets(self.seed, &name, number);
        let met: Vec<RuleNo> = (0..self.rules.len()).filter(|r| meets(&self.rules[*r])).collect();
        let first = |what: What| met.iter().copied().find(|r| self.rules[*r].0.what == what);
        let (refused, held) = (first(What::Refuse), first(What::Hold));
        if let Some(rule) = refused.or(held) {
            let (rule, _) = &self.rules[rule];
            let (rule, what) = (rule.name.clone(), rule.what.word());
            let now = self.now();
            self.record.put(
                now,
                Event { link: name.clone(), connection: number, way: Way::Up, byte: 0, rule, what },
            );
        }
        if refused.is_some() {
            return reset(from);
        }
        let id = self.next_conn;
        self.next_conn += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        let _ = from.set_nodelay(true);
        if self.poll.registry().register(&mut from, token(id, Side::From), both).is_err() {
            return;
        }
        let mut to = None;
        if held.is_none() {
            let dialled = TcpStream::connect(self.links[n].target).and_then(|mut stream| {
                let _ = stream.set_nodelay(true);
                self.poll.registry().register(&mut stream, token(id, Side::To), both)?;
                Ok(stream)
            });
            match dialled {
                Ok(stream) => to = Some(stream),
                Err(_) => {
                    self.counts.unreached += 1;
                    return reset(from);
                }
            }
        }
        let conn = Conn {
            link: n,
            number,
            from,
            to,
            connected: false,
            up: Passage::default(),
            down: Passage::default(),
            up_ended: false,
            down_ended: false,
            drops_until: None,
            wake: None,
            unread: false,
        };
        self.conns.insert(id, conn);
        self.counts.most = self.counts.most.max(self.conns.len());
        for rule in met {
            if !matches!(self.rules[rule].0.what, What::Hold) {
                self.arm(id, rule);
            }
        }
        self.pump(id);
    }

    /// Moves what can be moved on one connection, both ways.
    pub(super) fn pump(&mut self, id: usize) {
        let now = self.now();
        let Some(mut c) = self.conns.remove(&id) else { return };
        let before = c.up.held() + c.down.held();
        let over_all = self.held >= self.limits.bytes;
        let goes_on = self.moves(&mut c, now, over_all);
        let after = if goes_on { c.up.held() + c.down.held() } else { 0 };
        self.held = self.held + after - before;
        if !goes_on {
            if let Some(at) = c.wake {
                self.wakes.remove(&(at, id));
            }
            return;
        }
        // Danger: what lies unread in a socket is told of once only; nothing more may ever come to tell of it again.
        if over_all || c.unread {
            self.starved.insert(id);
        }
        let next =
            [c.up.next(), c.down.next(), c.drops_until].into_iter().flatten().filter(|at| *at > now).min();
        if next != c.wake {
            if let Some(at) = c.wake {
                self.wakes.remove(&(at, id));
            }
            if let Some(at) = next {
                self.wakes.insert((at, id));
            }
            c.wake = next;
        }
        self.conns.insert(id, c);
    }

    /// Whether the connection is still there afterwards.
    pub(super) fn moves(&mut self, c: &mut Conn, now: u64, over_all: bool) -> bool {
        if let Some(to) = c.to.as_ref().filter(|_| !c.connected) {
            match (to.take_error(), to.peer_addr()) {
                (Ok(None), Ok(_)) => c.connected = true,
                (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => {}
                _ => {
                    self.counts.unreached += 1;
                    cut(c);
                    return false;
                }
            }
        }
        let mut met = Vec::new();
        let mut full = [false; 2];
        for way in [Way::Up, Way::Down] {
            let silent = c.to.is_none();
            let (from, passage) = match way {
                Way::Up => (Some(&mut c.from), &mut c.up),
                Way::Down => (c.to.as_mut().filter(|_| c.connected), &mut c.down),
            };
            let Some(from) = from else { continue };
            if silent {
                // Nobody is there; what comes is dropped, and it must be seen to go.
                if !drop_all(from) {
                    return false;
                }
                continue;
            }
            full[way as usize] = read(from, passage, now, over_all, &mut met);
            let met = std::mem::take(&mut met);
            note(&mut self.record, &self.rules, &self.links[c.link].name, c.number, way, now, met);
        }
        for way in [Way::Up, Way::Down] {
            let (to, passage) = match way {
                Way::Up => (c.to.as_mut().filter(|_| c.connected), &mut c.up),
                Way::Down => (Some(&mut c.from), &mut c.down),
            };
            let Some(to) = to else { continue };
            let (written, end) = write(to, passage, now);
            self.counts.bytes += written;
            match end {
                None => {}
                Some(End::Rst) => {
                    cut(c);
                    return false;
                }
                Some(End::Half) => {
                    let _ = to.shutdown(Shutdown::Write);
                    match way {
                        Way::Up => c.up_ended = true,
                        Way::Down => c.down_ended = true,
                    }
                }
                Some(End::Fin) => {
                    let _ = c.from.shutdown(Shutdown::Write);
                    let _ = c.to.as_ref().map(|to| to.shutdown(Shutdown::Write));
                    c.up.end(now, End::Fin);
                    c.down.end(now, End::Fin);
                    c.drops_until = Some(now + LINGER);
                }
            }
        }
        if c.up_ended && c.down_ended {
            return false;
        }
        c.unread = full[0] && c.up.held() < HELD || full[1] && c.down.held() < HELD;
        c.drops_until.is_none_or(|until| now < until)
    }
}

pub(super) fn note(
    to: &mut Record, rules: &[(Rule, bool)], link: &LinkName, number: u64, way: Way, now: u64, met: Vec<Met>,
) {
    for met in met {
        let (rule, what) = (rules[met.rule].0.name.clone(), met.what.word());
        to.put(now, Event { link: link.clone(), connection: number, way, byte: met.byte, rule, what });
    }
}
