//! The loop, links and rules.

use super::bytes::listen;
use super::conns::{note, Conn};
use super::{Ask, Counts, Limits, RuleNo, Seen};
use crate::record::Record;
use crate::rules::{stream, LinkName, Rule, What};
use crossbeam_channel::Receiver;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use socket2::{Domain, Socket, Type};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

pub(super) const WAKES: Token = Token(usize::MAX);

pub(super) struct Link {
    pub(super) name: LinkName,
    pub(super) addr: SocketAddr,
    pub(super) target: SocketAddr,
    pub(super) listener: Option<TcpListener>,
    /// Keeps the port while nobody listens on it.
    pub(super) keeps: Socket,
    pub(super) next: u64,
}

pub(super) struct Run {
    pub(super) poll: Poll,
    pub(super) asks: Receiver<Ask>,
    pub(super) seed: u64,
    pub(super) limits: Limits,
    pub(super) began: Instant,
    pub(super) links: Vec<Link>,
    pub(super) by_name: HashMap<LinkName, usize>,
    pub(super) conns: HashMap<usize, Conn>,
    pub(super) next_conn: usize,
    pub(super) rules: Vec<(Rule, bool)>,
    /// When a rule begins to hold, or ends.
    pub(super) moments: BTreeSet<(u64, bool, RuleNo)>,
    pub(super) wakes: BTreeSet<(u64, usize)>,
    /// Not read to the end, as there was no room in all or of their own.
    pub(super) starved: HashSet<usize>,
    pub(super) held: usize,
    pub(super) record: Record,
    pub(super) counts: Counts,
    /// It is to listen again, and could not yet.
    pub(super) relisten: bool,
}

pub(super) enum Side {
    Listener,
    From,
    To,
}

pub(super) fn token(n: usize, side: Side) -> Token {
    Token(n << 2 | side as usize)
}

impl Run {
    pub(super) fn new(poll: Poll, asks: Receiver<Ask>, seed: u64, limits: Limits) -> Run {
        Run {
            poll,
            asks,
            seed,
            limits,
            began: Instant::now(),
            links: Vec::new(),
            by_name: HashMap::new(),
            conns: HashMap::new(),
            next_conn: 0,
            rules: Vec::new(),
            moments: BTreeSet::new(),
            wakes: BTreeSet::new(),
            starved: HashSet::new(),
            held: 0,
            record: Record::default(),
            counts: Counts::default(),
            relisten: false,
        }
    }

    pub(super) fn now(&self) -> u64 {
        self.began.elapsed().as_micros() as u64
    }

    pub(super) fn go(&mut self) {
        let mut events = Events::with_capacity(1024);
        loop {
            let now = self.now();
            let next = [self.moments.first().map(|m| m.0), self.wakes.first().map(|w| w.0)];
            let mut nap =
                next.into_iter().flatten().min().map(|at| Duration::from_micros(at.saturating_sub(now)));
            if self.relisten {
                nap = Some(nap.unwrap_or(Duration::MAX).min(Duration::from_millis(10)));
            }
            if self.held < self.limits.bytes && !self.starved.is_empty() {
                nap = Some(Duration::ZERO);
            }
            // Interrupted: the next turn looks again.
            let _ = self.poll.poll(&mut events, nap);
            let tokens: Vec<Token> = events.iter().map(|e| e.token()).collect();
            for Token(t) in tokens {
                let n = t >> 2;
                match t {
                    _ if t == WAKES.0 => {}
                    _ if t & 3 == Side::Listener as usize => self.accept(n),
                    _ => self.pump(n),
                }
            }
            while let Ok(ask) = self.asks.try_recv() {
                if matches!(ask, Ask::End) {
                    return;
                }
                self.answer(ask);
            }
            let now = self.now();
            while let Some((at, begins, rule)) = self.moments.first().copied().filter(|m| m.0 <= now) {
                self.moments.remove(&(at, begins, rule));
                self.switch(rule, begins);
            }
            while let Some((at, conn)) = self.wakes.first().copied().filter(|w| w.0 <= now) {
                self.wakes.remove(&(at, conn));
                if let Some(c) = self.conns.get_mut(&conn) {
                    c.wake = None;
                }
                self.pump(conn);
            }
            if self.held < self.limits.bytes && !self.starved.is_empty() {
                std::mem::take(&mut self.starved).into_iter().for_each(|conn| self.pump(conn));
            }
            if self.relisten {
                self.listeners();
            }
        }
    }

    pub(super) fn answer(&mut self, ask: Ask) {
        // Who asked may have gone meanwhile.
        match ask {
            Ask::Link(name, target, to) => drop(to.send(self.link(name, target))),
            Ask::Target(name, target, to) => {
                let known = self.by_name.get(&name).map(|n| self.links[*n].target = target);
                let _ = to.send(known.is_some());
            }
            Ask::Add(rule, to) => drop(to.send(self.add(rule))),
            Ask::Lift(rule, to) => drop(to.send(self.lift(rule))),
            Ask::LiftAll(to) => {
                let held = (0..self.rules.len()).filter(|n| self.lift(*n)).count();
                let _ = to.send(held);
            }
            Ask::Read(to) => {
                let counts = Counts { open: self.conns.len(), held: self.held, ..self.counts };
                let (by_time, canonical) = (self.record.by_time().to_vec(), self.record.canonical());
                let _ = to.send(Seen { by_time, canonical, lost: self.record.lost(), counts });
            }
            Ask::End => {}
        }
    }

    // ---- Links and rules ----

    pub(super) fn link(&mut self, name: LinkName, target: SocketAddr) -> io::Result<SocketAddr> {
        if self.by_name.contains_key(&name) {
            return Err(io::Error::other(format!("there is a link {name} already")));
        }
        let keeps = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        keeps.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let addr = keeps.local_addr()?.as_socket().ok_or_else(|| io::Error::other("no address"))?;
        let n = self.links.len();
        self.links.push(Link { name: name.clone(), addr, target, listener: None, keeps, next: 0 });
        self.by_name.insert(name, n);
        self.listeners();
        Ok(addr)
    }

    /// Listens where nothing refuses, and nowhere else.
    pub(super) fn listeners(&mut self) {
        self.relisten = false;
        for n in 0..self.links.len() {
            let name = &self.links[n].name;
            let refuses = |(rule, on): &(Rule, bool)| {
                *on && rule.what == What::Refuse && rule.whole_link() && rule.links.has(name)
            };
            let refused = self.rules.iter().any(refuses);
            if refused {
                // Who has come up before is connected; closing would reset those that wait to be taken.
                self.accept(n);
            }
            let link = &mut self.links[n];
            if refused {
                link.listener = None;
            } else if link.listener.is_none() {
                match listen(link.addr, &link.keeps) {
                    Ok(mut listener) => {
                        let token = token(n, Side::Listener);
                        let added = self.poll.registry().register(&mut listener, token, Interest::READABLE);
                        self.relisten |= added.is_err();
                        link.listener = added.is_ok().then_some(listener);
                    }
                    Err(_) => self.relisten = true,
                }
            }
        }
    }

    pub(super) fn add(&mut self, rule: Rule) -> RuleNo {
        let n = self.rules.len();
        let now = self.now();
        let at = |seconds: f64| (seconds * 1e6) as u64;
        let (from, to) = (at(rule.during.0), at(rule.during.1));
        self.rules.push((rule, false));
        self.moments.insert((to, false, n));
        if from <= now && now < to {
            self.switch(n, true);
        } else {
            self.moments.insert((from, true, n));
        }
        n
    }

    pub(super) fn lift(&mut self, rule: RuleNo) -> bool {
        self.moments.retain(|(_, _, n)| *n != rule);
        let held = self.rules.get(rule).is_some_and(|(_, on)| *on);
        if held {
            self.switch(rule, false);
        }
        held
    }

    pub(super) fn switch(&mut self, n: RuleNo, begins: bool) {
        if std::mem::replace(&mut self.rules[n].1, begins) == begins {
            return;
        }
        if matches!(self.rules[n].0.what, What::Refuse) {
            return self.listeners();
        }
        let rule = self.rules[n].0.clone();
        let met = |c: &Conn| rule.meets(self.seed, &self.links[c.link].name, c.number);
        let conns: Vec<usize> = self.conns.iter().filter(|(_, c)| met(c)).map(|(id, _)| *id).collect();
        for id in conns {
            if begins {
                self.arm(id, n);
            } else if let Some(c) = self.conns.get_mut(&id) {
                c.up.lift(n);
                c.down.lift(n);
            }
            self.pump(id);
        }
    }

    pub(super) fn arm(&mut self, id: usize, n: RuleNo) {
        let now = self.now();
        let Some(c) = self.conns.get_mut(&id) else { return };
        let (rule, link) = (&self.rules[n].0, &self.links[c.link]);
        let at = rule.place(self.seed, &link.name, c.number);
        for way in rule.ways.clone() {
            let draws = stream(self.seed, &link.name, c.number, &format!("{}/{way}", rule.name));
            let mut met = Vec::new();
            let (number, passage) = (c.number, c.passage(way));
            passage.arm(n, at, rule.what, draws);
            passage.begin(now, &mut met);
            note(&mut self.record, &self.rules, &link.name, number, way, now, met);
        }
    }
}
