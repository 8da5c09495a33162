//! Admission: which client connections hold a place, and who makes room for whom. No I/O, no clock, no threads: events go
//! in with their time, decisions come out, so that floods can be played through in tests and in a model of arrivals.
//!
//! A place is a descriptor. Connections are told apart by what they have shown, and only by that:
//!
//! | standing | what it is | makes room |
//! | --- | --- | --- |
//! | silent | connected, nothing said | after `speak`; if nothing else is left, after `hurry` |
//! | asking | a request has begun to come in | after `whole`; if nothing else is left, after `hurry` without a byte |
//! | served | a whole request is being answered | never |
//! | parting | said its last word, its end is awaited | at once |
//! | faulty | its last request could not be used | at once |
//! | once | asked once, and stays | after `rest` |
//! | steady | asked more than once | after `rest`, after all of those that asked once |
//!
//! Danger: a client that connected just now and is closed before its answer has lost its message, if the last byte of it
//! is written by then; so the young and silent are the last to make room, and one whose request is read whole never does.
//!
//! **Bound.** Each standing but `served` makes room after some time, whatever its client does, and `served` lasts no longer
//! than it takes to write an answer. So a newcomer finds a place within `hurry` of its turn, or within `whole` where
//! clients send a byte now and then ([`Admission::wait_most`]).

pub mod config;

use crate::api::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::{IpAddr, Ipv6Addr};

/// What the operators or the deployment settle.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// So many connections at most.
    pub places: usize,
    /// So many places are kept free of those that idle, for newcomers.
    pub reserve: usize,
    /// A client that has said nothing for so long is not going to.
    pub speak: Micros,
    /// A request that is not whole after so long makes room, whatever still comes of it.
    pub whole: Micros,
    /// Where nothing better is left: who has been silent, or has sent no further byte, for so long.
    pub hurry: Micros,
    /// One that idles is left alone for so long: it may be about to ask again.
    pub rest: Micros,
    /// Room or not, one that has said nothing is closed after so long.
    pub silent_most: Micros,
    /// Room or not, a request that is not whole is given up after so long.
    pub whole_most: Micros,
    /// Room or not, one that idles is closed after so long.
    pub idle_most: Micros,
    /// A source that holds more than this share of all places makes room before others, while others are there.
    pub source_share: f64,
}

/// What a connection has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Connected, and nothing said.
    Silent,
    /// A request has begun to come in.
    Asking,
    /// A whole request is being answered.
    Served,
    /// It has heard its last word.
    Parting,
    /// Its last request could not be used.
    Faulty,
    /// It asked once.
    Once,
    /// It asked more than once.
    Steady,
}

impl Standing {
    /// All there are.
    pub const ALL: [Standing; 7] = [
        Standing::Silent,
        Standing::Asking,
        Standing::Served,
        Standing::Parting,
        Standing::Faulty,
        Standing::Once,
        Standing::Steady,
    ];
}

/// Whether a newcomer may come in now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// There is a place.
    Come,
    /// There is one once this connection is closed.
    After(u64),
    /// There is none until then, at the latest.
    Wait(Micros),
}

/// Where a connection comes from: an IPv4 address, or the 64 bits of an IPv6 address that name a network.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Source(IpAddr);

impl Source {
    /// The source that an address belongs to.
    pub fn of(addr: IpAddr) -> Source {
        match addr.to_canonical() {
            IpAddr::V4(addr) => Source(IpAddr::V4(addr)),
            IpAddr::V6(addr) => {
                let network = u128::from(addr) & !u128::from(u64::MAX);
                Source(IpAddr::V6(Ipv6Addr::from(network)))
            }
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Conn {
    source: Source,
    standing: Standing,
    /// Since when it stands so; for a request, when its first byte came.
    since: Micros,
    /// When its last byte came.
    moved: Micros,
    /// Requests that were answered.
    asked: u32,
}

/// In the order of time, by standing. A request stands twice: by its first byte and by its last.
#[derive(Debug, Default)]
struct Queues {
    by_since: BTreeMap<Standing, BTreeSet<(Micros, u64)>>,
    by_moved: BTreeSet<(Micros, u64)>,
    len: usize,
}

impl Queues {
    fn put(&mut self, key: u64, conn: &Conn) {
        self.len += 1;
        self.by_since.entry(conn.standing).or_default().insert((conn.since, key));
        if conn.standing == Standing::Asking {
            self.by_moved.insert((conn.moved, key));
        }
    }

    fn take(&mut self, key: u64, conn: &Conn) {
        self.len -= 1;
        if let Some(queue) = self.by_since.get_mut(&conn.standing) {
            queue.remove(&(conn.since, key));
        }
        self.by_moved.remove(&(conn.moved, key));
    }

    fn first(&self, standing: Standing) -> Option<(Micros, u64)> {
        self.by_since.get(&standing)?.first().copied()
    }

    /// Who makes room, best first: standing, and for how long it must have stood so.
    fn spare(&self, now: Micros, rules: &Rules, hurry: bool) -> Option<u64> {
        use Standing::*;
        let gentle = [
            (Parting, Micros(0)),
            (Faulty, Micros(0)),
            (Silent, rules.speak),
            (Asking, rules.whole),
            (Once, rules.rest),
            (Steady, rules.rest),
        ];
        let due =
            |at: Option<(Micros, u64)>, age: Micros| at.filter(|(since, _)| *since + age <= now).map(|f| f.1);
        let found = gentle.iter().find_map(|(standing, age)| due(self.first(*standing), *age));
        let last = || {
            due(self.by_moved.first().copied(), rules.hurry).or_else(|| due(self.first(Silent), rules.hurry))
        };
        found.or_else(|| hurry.then(last).flatten())
    }

    /// When somebody will make room at the latest, if nothing happens.
    fn spare_at(&self, rules: &Rules) -> Option<Micros> {
        use Standing::*;
        let ages = [
            (self.first(Parting), Micros(0)),
            (self.first(Faulty), Micros(0)),
            (self.first(Silent), rules.hurry.min(rules.speak)),
            (self.first(Asking), rules.whole),
            (self.by_moved.first().copied(), rules.hurry),
            (self.first(Once), rules.rest),
            (self.first(Steady), rules.rest),
        ];
        ages.into_iter().filter_map(|(first, age)| Some(first?.0 + age)).min()
    }
}

/// The connections of one listener.
#[derive(Debug)]
pub struct Admission {
    rules: Rules,
    conns: HashMap<u64, Conn>,
    all: Queues,
    sources: HashMap<Source, Queues>,
    heaviest: BTreeSet<(usize, Source)>,
    /// Fewer places, and until when.
    squeezed: Option<(usize, Micros)>,
}

impl Admission {
    /// Nobody is there yet.
    pub fn new(rules: Rules) -> Admission {
        let (conns, sources) = (HashMap::new(), HashMap::new());
        Admission { rules, conns, all: Queues::default(), sources, heaviest: BTreeSet::new(), squeezed: None }
    }

    /// There are no more places than are held now, for a while: no descriptor was free.
    pub fn squeeze(&mut self, until: Micros) {
        self.squeezed = Some((self.conns.len().max(1), until));
    }

    /// Something else in the process needs a descriptor: for a while there is one place less than are held now. Who is to
    /// make room for it; nobody, where all are being served.
    pub fn give_way(&mut self, now: Micros, until: Micros) -> Option<u64> {
        self.squeezed = Some((self.conns.len().saturating_sub(1).max(1), until));
        self.spare(now, true)
    }

    fn places(&self, now: Micros) -> usize {
        let squeezed = self.squeezed.filter(|(_, until)| *until > now).map(|(places, _)| places);
        squeezed.map_or(self.rules.places, |places| places.min(self.rules.places))
    }

    /// How many hold a place.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether nobody does.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// What a connection has shown.
    pub fn standing(&self, key: u64) -> Option<Standing> {
        self.conns.get(&key).map(|c| c.standing)
    }

    /// How many stand so.
    pub fn count(&self, standing: Standing) -> usize {
        self.all.by_since.get(&standing).map_or(0, BTreeSet::len)
    }

    /// The longest that a newcomer whose turn it is can wait for a place, answers being written aside.
    pub fn wait_most(&self) -> Micros {
        let r = &self.rules;
        r.whole.max(r.hurry).max(r.rest)
    }

    /// Whether a newcomer may come in. Its own source makes room first, if that holds more than its share.
    pub fn enter(&self, now: Micros) -> Entry {
        let free = self.places(now).saturating_sub(self.conns.len());
        if free > self.rules.reserve {
            return Entry::Come;
        }
        // Room is made before there is none, so that a newcomer does not wait for it; not at the cost of the young.
        match self.spare(now, free == 0) {
            Some(key) => Entry::After(key),
            None if free > 0 => Entry::Come,
            None => Entry::Wait(self.all.spare_at(&self.rules).unwrap_or(now + self.rules.hurry)),
        }
    }

    fn spare(&self, now: Micros, hurry: bool) -> Option<u64> {
        let most = (self.rules.places as f64 * self.rules.source_share) as usize;
        let greedy = self.heaviest.last().filter(|(n, _)| self.heaviest.len() > 1 && *n > most);
        let Some((_, source)) = greedy else { return self.all.spare(now, &self.rules, hurry) };
        // Danger: a flood's connections are all young, and then those of others made room for it; so its own are not left
        // alone while they rest, and others make room only where there is no place at all.
        let hasty = Rules { rest: Micros(0), ..self.rules.clone() };
        let own = self.sources.get(source).and_then(|queues| queues.spare(now, &hasty, hurry));
        own.or_else(|| hurry.then(|| self.all.spare(now, &self.rules, true)).flatten())
    }

    /// It has a place.
    pub fn connected(&mut self, now: Micros, key: u64, from: IpAddr) {
        let source = Source::of(from);
        self.put(key, Conn { source, standing: Standing::Silent, since: now, moved: now, asked: 0 });
    }

    /// Some bytes of a request have come, and it is not whole.
    pub fn bytes(&mut self, now: Micros, key: u64) {
        self.change(key, |conn| {
            if conn.standing != Standing::Asking {
                (conn.standing, conn.since) = (Standing::Asking, now);
            }
            conn.moved = now;
        });
    }

    /// A request is whole and will be answered.
    pub fn whole(&mut self, now: Micros, key: u64) {
        self.change(key, |conn| (conn.standing, conn.since) = (Standing::Served, now));
    }

    /// Its answer is written; `fault`: the request could not be used.
    pub fn answered(&mut self, now: Micros, key: u64, fault: bool) {
        self.change(key, |conn| {
            conn.asked += u32::from(!fault);
            conn.since = now;
            conn.standing = match conn.asked {
                _ if fault => Standing::Faulty,
                0 | 1 => Standing::Once,
                _ => Standing::Steady,
            };
        });
    }

    /// It has heard its last word, and is closed when its client has ended too.
    pub fn parting(&mut self, now: Micros, key: u64) {
        self.change(key, |conn| (conn.standing, conn.since) = (Standing::Parting, now));
    }

    /// It is closed.
    pub fn closed(&mut self, key: u64) {
        self.take(key);
    }

    /// The next one that has held its place for as long as it may.
    pub fn overdue(&self, now: Micros) -> Option<u64> {
        self.ends().filter(|(at, _)| *at <= now).min().map(|(_, key)| key)
    }

    /// When the next one will have.
    pub fn next_at(&self) -> Option<Micros> {
        self.ends().min().map(|(at, _)| at)
    }

    fn ends(&self) -> impl Iterator<Item = (Micros, u64)> + '_ {
        let r = &self.rules;
        let ages = [
            (Standing::Silent, r.silent_most),
            (Standing::Asking, r.whole_most),
            (Standing::Faulty, r.silent_most),
            (Standing::Parting, r.hurry),
            (Standing::Once, r.idle_most),
            (Standing::Steady, r.idle_most),
        ];
        ages.into_iter().filter_map(|(standing, age)| {
            let (since, key) = self.all.first(standing)?;
            Some((since + age, key))
        })
    }

    fn change(&mut self, key: u64, f: impl FnOnce(&mut Conn)) {
        if let Some(mut conn) = self.take(key) {
            f(&mut conn);
            self.put(key, conn);
        }
    }

    fn put(&mut self, key: u64, conn: Conn) {
        self.conns.insert(key, conn);
        self.all.put(key, &conn);
        let queues = self.sources.entry(conn.source).or_default();
        self.heaviest.remove(&(queues.len, conn.source));
        queues.put(key, &conn);
        self.heaviest.insert((queues.len, conn.source));
    }

    fn take(&mut self, key: u64) -> Option<Conn> {
        let conn = self.conns.remove(&key)?;
        self.all.take(key, &conn);
        if let Some(queues) = self.sources.get_mut(&conn.source) {
            self.heaviest.remove(&(queues.len, conn.source));
            queues.take(key, &conn);
            if queues.len > 0 {
                self.heaviest.insert((queues.len, conn.source));
            } else {
                self.sources.remove(&conn.source);
            }
        }
        Some(conn)
    }
}
