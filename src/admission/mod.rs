//! Admission of client connections: which of them hold one of the listener's places, and which is closed ("evicted") so
//! that a new one can be accepted. The module does no I/O, reads no clock and starts no thread: it is told events with
//! their time and returns decisions, so that floods of connections can be simulated in tests.
//!
//! A place is a file descriptor. Connections are distinguished by their [`ConnState`] and by their [`Source`], and by
//! nothing else:
//!
//! | state, by its name in status reports | meaning | can be evicted |
//! | --- | --- | --- |
//! | silent | connected, no byte received | after `silent_grace`; after `urgent_grace` if there is no other candidate |
//! | asking | part of a request was received | after `request_grace`; after `urgent_grace` without a byte if there is no other candidate |
//! | served | a complete request is being answered | never |
//! | parting | the last answer was sent, the client's end of stream is awaited | at once |
//! | faulty | the last request could not be used | at once |
//! | once | idle after one answered request | after `idle_grace` |
//! | steady | idle after more than one answered request | after `idle_grace`, after all connections in state `once` |
//!
//! A client that connected recently loses its message if the connection is closed after the client has written its last
//! byte and before it is answered. Recently connected silent connections are therefore evicted last, and a connection
//! whose complete request was read is never evicted.
//!
//! **Bound.** Each state except `served` becomes evictable after a bounded time whatever the client does, and `served`
//! lasts no longer than it takes to write an answer. A new connection therefore gets a place within `urgent_grace` of its
//! turn, or within `request_grace` if clients send single bytes at intervals ([`Admission::max_wait`]).

pub mod config;
mod connection;

pub use connection::{ConnState, Source};

use crate::api::Micros;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::IpAddr;

/// Limits on the connections of one listener, from the operators' file and the resources of the deployment.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Most connections at a time.
    pub max_connections: usize,
    /// Places that idle connections may not keep: with no more than these free, a candidate for eviction is closed for
    /// each new connection.
    pub reserve: usize,
    /// Age from which a silent connection can be evicted.
    pub silent_grace: Micros,
    /// Time since the first byte from which an incomplete request can be evicted, whether more bytes arrive or not.
    pub request_grace: Micros,
    /// Time without a byte from which a silent connection or an incomplete request can be evicted if no place is free and
    /// there is no other candidate. A connection that awaits its client's end of stream is closed after the same time.
    pub urgent_grace: Micros,
    /// Time from which an idle connection can be evicted. Until then its client may be about to send its next request.
    pub idle_grace: Micros,
    /// Age at which a silent connection is closed even if places are free, and the time after which one whose last request
    /// could not be used is.
    pub silent_timeout: Micros,
    /// Time since the first byte at which an incomplete request is closed even if places are free.
    pub request_timeout: Micros,
    /// Time after which an idle connection is closed even if places are free.
    pub idle_timeout: Micros,
    /// While there are connections of other sources, those of a source that holds more than this share of all places are
    /// evicted first.
    pub max_source_share: f64,
}

/// Whether a new connection can be accepted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A place is free.
    Accept,
    /// A place is free once this connection is closed.
    AcceptAfterClosing(u64),
    /// No connection can be evicted before this time, unless one changes its state.
    WaitUntil(Micros),
}

#[derive(Debug, Clone, Copy)]
struct Conn {
    source: Source,
    state: ConnState,
    /// Time of the last change of state; for a request, the arrival of its first byte.
    state_since: Micros,
    /// Arrival of the last byte.
    last_byte_at: Micros,
    answered_requests: u32,
}

/// Connections by state, in order of time. An incomplete request is in two queues: by its first byte and by its last.
#[derive(Debug, Default)]
struct Queues {
    by_state: BTreeMap<ConnState, BTreeSet<(Micros, u64)>>,
    by_last_byte: BTreeSet<(Micros, u64)>,
    len: usize,
}

impl Queues {
    fn insert(&mut self, key: u64, conn: &Conn) {
        self.len += 1;
        self.by_state.entry(conn.state).or_default().insert((conn.state_since, key));
        if conn.state == ConnState::Receiving {
            self.by_last_byte.insert((conn.last_byte_at, key));
        }
    }

    fn remove(&mut self, key: u64, conn: &Conn) {
        self.len -= 1;
        if let Some(queue) = self.by_state.get_mut(&conn.state) {
            queue.remove(&(conn.state_since, key));
        }
        self.by_last_byte.remove(&(conn.last_byte_at, key));
    }

    fn oldest(&self, state: ConnState) -> Option<(Micros, u64)> {
        self.by_state.get(&state)?.first().copied()
    }

    /// The connection to evict now, if there is one. States are tried in the order of the list, each with the least time
    /// in it; `urgent` allows connections that are only past `urgent_grace`.
    fn eviction_candidate(&self, now: Micros, rules: &Rules, urgent: bool) -> Option<u64> {
        use ConnState::*;
        let grace_by_state = [
            (Closing, Micros(0)),
            (BadRequest, Micros(0)),
            (Silent, rules.silent_grace),
            (Receiving, rules.request_grace),
            (IdleAfterOne, rules.idle_grace),
            (IdleAfterMore, rules.idle_grace),
        ];
        let due =
            |at: Option<(Micros, u64)>, age: Micros| at.filter(|(since, _)| *since + age <= now).map(|f| f.1);
        let candidate = grace_by_state.iter().find_map(|(state, age)| due(self.oldest(*state), *age));
        let urgent_candidate = || {
            due(self.by_last_byte.first().copied(), rules.urgent_grace)
                .or_else(|| due(self.oldest(Silent), rules.urgent_grace))
        };
        candidate.or_else(|| urgent.then(urgent_candidate).flatten())
    }

    /// The time at which a connection can be evicted at the latest, if there is no further event.
    fn next_eviction_at(&self, rules: &Rules) -> Option<Micros> {
        use ConnState::*;
        let ages = [
            (self.oldest(Closing), Micros(0)),
            (self.oldest(BadRequest), Micros(0)),
            (self.oldest(Silent), rules.urgent_grace.min(rules.silent_grace)),
            (self.oldest(Receiving), rules.request_grace),
            (self.by_last_byte.first().copied(), rules.urgent_grace),
            (self.oldest(IdleAfterOne), rules.idle_grace),
            (self.oldest(IdleAfterMore), rules.idle_grace),
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
    by_source: HashMap<Source, Queues>,
    /// Each source with the number of its connections; the last has the most.
    sources_by_count: BTreeSet<(usize, Source)>,
    /// A temporary, lower limit on the connections, and when it ends.
    temporary_limit: Option<(usize, Micros)>,
}

impl Admission {
    /// A listener without connections.
    pub fn new(rules: Rules) -> Admission {
        let (conns, by_source) = (HashMap::new(), HashMap::new());
        Admission {
            rules,
            conns,
            all: Queues::default(),
            by_source,
            sources_by_count: BTreeSet::new(),
            temporary_limit: None,
        }
    }

    /// Limits connections to the present number until a time, because no descriptor was free.
    pub fn limit_to_current(&mut self, until: Micros) {
        self.temporary_limit = Some((self.conns.len().max(1), until));
    }

    /// Limits connections to one less than the present number until a time, because another part of the process needs a
    /// descriptor. Returns the connection to close for it, or `None` if all are being answered.
    pub fn free_a_descriptor(&mut self, now: Micros, until: Micros) -> Option<u64> {
        self.temporary_limit = Some((self.conns.len().saturating_sub(1).max(1), until));
        self.eviction_candidate(now, true)
    }

    fn max_connections(&self, now: Micros) -> usize {
        let limit = self.temporary_limit.filter(|(_, until)| *until > now).map(|(places, _)| places);
        limit.map_or(self.rules.max_connections, |places| places.min(self.rules.max_connections))
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }

    /// State of a connection.
    pub fn state(&self, key: u64) -> Option<ConnState> {
        self.conns.get(&key).map(|c| c.state)
    }

    /// Number of connections in a state.
    pub fn count(&self, state: ConnState) -> usize {
        self.all.by_state.get(&state).map_or(0, BTreeSet::len)
    }

    /// Longest time for which the first connection in the listen queue can wait for a place, not counting the time in
    /// which answers are written.
    pub fn max_wait(&self) -> Micros {
        let r = &self.rules;
        r.request_grace.max(r.urgent_grace).max(r.idle_grace)
    }

    /// Decides whether a new connection can be accepted. If one source holds more than its share, its connections are
    /// evicted first.
    pub fn decide(&self, now: Micros) -> Decision {
        let free = self.max_connections(now).saturating_sub(self.conns.len());
        if free > self.rules.reserve {
            return Decision::Accept;
        }
        // Connections are evicted while places are still free, so that a new one does not wait for a place. Connections
        // that are only past `urgent_grace` are not evicted for that.
        match self.eviction_candidate(now, free == 0) {
            Some(key) => Decision::AcceptAfterClosing(key),
            None if free > 0 => Decision::Accept,
            None => Decision::WaitUntil(
                self.all.next_eviction_at(&self.rules).unwrap_or(now + self.rules.urgent_grace),
            ),
        }
    }

    /// The source that holds more than its share of all places, if one does.
    fn source_over_share(&self) -> Option<Source> {
        let share = (self.rules.max_connections as f64 * self.rules.max_source_share) as usize;
        self.sources_by_count.last().filter(|(count, _)| *count > share).map(|(_, source)| *source)
    }

    /// The connection to close in favour of a new one from this address although none can be evicted by its age: the oldest of
    /// another source that holds more than its share, unless a complete request of it is being answered.
    pub fn over_share_candidate(&self, from: IpAddr) -> Option<u64> {
        use ConnState::*;
        let source = self.source_over_share().filter(|source| *source != Source::of(from))?;
        let queues = self.by_source.get(&source)?;
        let oldest = [Silent, Receiving, IdleAfterOne, IdleAfterMore].map(|state| queues.oldest(state));
        oldest.into_iter().flatten().min().map(|(_, key)| key)
    }

    fn eviction_candidate(&self, now: Micros, urgent: bool) -> Option<u64> {
        let over_share = self.source_over_share().filter(|_| self.sources_by_count.len() > 1);
        let Some(source) = over_share else {
            return self.all.eviction_candidate(now, &self.rules, urgent);
        };
        // The connections of a flood are all recent, so that by age alone those of other sources would be evicted for
        // it. The flood's own connections therefore get no idle grace, and others are evicted only if no place is free.
        let without_idle_grace = Rules { idle_grace: Micros(0), ..self.rules.clone() };
        let own = self
            .by_source
            .get(&source)
            .and_then(|queues| queues.eviction_candidate(now, &without_idle_grace, urgent));
        own.or_else(|| urgent.then(|| self.all.eviction_candidate(now, &self.rules, true)).flatten())
    }

    /// A connection was accepted.
    pub fn connected(&mut self, now: Micros, key: u64, from: IpAddr) {
        let source = Source::of(from);
        self.insert(
            key,
            Conn {
                source,
                state: ConnState::Silent,
                state_since: now,
                last_byte_at: now,
                answered_requests: 0,
            },
        );
    }

    /// Bytes of a request were received, and it is still incomplete.
    pub fn partial_request(&mut self, now: Micros, key: u64) {
        self.change(key, |conn| {
            if conn.state != ConnState::Receiving {
                (conn.state, conn.state_since) = (ConnState::Receiving, now);
            }
            conn.last_byte_at = now;
        });
    }

    /// A request is complete and will be answered.
    pub fn complete_request(&mut self, now: Micros, key: u64) {
        self.change(key, |conn| (conn.state, conn.state_since) = (ConnState::Answering, now));
    }

    /// The answer was written. `bad_request`: the request could not be used.
    pub fn answered(&mut self, now: Micros, key: u64, bad_request: bool) {
        self.change(key, |conn| {
            conn.answered_requests += u32::from(!bad_request);
            conn.state_since = now;
            conn.state = match conn.answered_requests {
                _ if bad_request => ConnState::BadRequest,
                0 | 1 => ConnState::IdleAfterOne,
                _ => ConnState::IdleAfterMore,
            };
        });
    }

    /// The last answer was sent; the connection is closed at the client's end of stream.
    pub fn closing(&mut self, now: Micros, key: u64) {
        self.change(key, |conn| (conn.state, conn.state_since) = (ConnState::Closing, now));
    }

    /// The connection was closed.
    pub fn closed(&mut self, key: u64) {
        self.remove(key);
    }

    /// The connection whose timeout passed first, if one has.
    pub fn timed_out(&self, now: Micros) -> Option<u64> {
        self.timeouts().filter(|(at, _)| *at <= now).min().map(|(_, key)| key)
    }

    /// Time of the next timeout.
    pub fn next_timeout(&self) -> Option<Micros> {
        self.timeouts().min().map(|(at, _)| at)
    }

    fn timeouts(&self) -> impl Iterator<Item = (Micros, u64)> + '_ {
        let r = &self.rules;
        let ages = [
            (ConnState::Silent, r.silent_timeout),
            (ConnState::Receiving, r.request_timeout),
            (ConnState::BadRequest, r.silent_timeout),
            (ConnState::Closing, r.urgent_grace),
            (ConnState::IdleAfterOne, r.idle_timeout),
            (ConnState::IdleAfterMore, r.idle_timeout),
        ];
        ages.into_iter().filter_map(|(state, age)| {
            let (since, key) = self.all.oldest(state)?;
            Some((since + age, key))
        })
    }

    fn change(&mut self, key: u64, f: impl FnOnce(&mut Conn)) {
        if let Some(mut conn) = self.remove(key) {
            f(&mut conn);
            self.insert(key, conn);
        }
    }

    fn insert(&mut self, key: u64, conn: Conn) {
        self.conns.insert(key, conn);
        self.all.insert(key, &conn);
        let queues = self.by_source.entry(conn.source).or_default();
        self.sources_by_count.remove(&(queues.len, conn.source));
        queues.insert(key, &conn);
        self.sources_by_count.insert((queues.len, conn.source));
    }

    fn remove(&mut self, key: u64) -> Option<Conn> {
        let conn = self.conns.remove(&key)?;
        self.all.remove(key, &conn);
        if let Some(queues) = self.by_source.get_mut(&conn.source) {
            self.sources_by_count.remove(&(queues.len, conn.source));
            queues.remove(key, &conn);
            if queues.len > 0 {
                self.sources_by_count.insert((queues.len, conn.source));
            } else {
                self.by_source.remove(&conn.source);
            }
        }
        Some(conn)
    }
}
