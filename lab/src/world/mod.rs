//! The partners' world without I/O, clock or threads: destinations with endpoints, what they can take, and what goes wrong
//! with them. Whoever drives it says what time it is, hands calls in and takes replies out: the engine in virtual time, and
//! the one on real sockets, drive the same world.

mod calls;
pub mod limits;
mod outages;
mod types;

pub use types::*;

use crate::scenario::{FaultKind, Scenario, Which};
use crate::streams::Streams;
use indigohold::Micros;
use limits::Meter;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

struct Call {
    at: EndpointNo,
    msg: u64,
    class: usize,
    /// Its connection is still open.
    open: bool,
}

struct Endpoint {
    dest: usize,
    workers: usize,
    busy: usize,
    queue: VecDeque<CallNo>,
    /// Calls that came while it hung.
    open: usize,
    wrong: Vec<(usize, FaultKind)>,
    gone: bool,
}

impl Endpoint {
    fn has(&self, by: impl Fn(&FaultKind) -> bool) -> bool {
        self.wrong.iter().any(|(_, w)| by(w))
    }

    fn down(&self) -> bool {
        self.gone || self.has(|w| matches!(w, FaultKind::Refuses))
    }
}

struct Destination {
    endpoints: Vec<EndpointNo>,
    /// Mean time of a call, in seconds.
    service: f64,
    /// Calls a second, all endpoints together.
    capacity: f64,
    meter: Meter,
    cold_since: Option<Micros>,
    down_until: Micros,
    /// Calls while it is cold, and by whom.
    pushed: VecDeque<(Micros, usize)>,
    /// Instances that saw it fail during its last outage.
    seen: HashSet<usize>,
    /// Who has run, where its memory is kept: by message, and by endpoint where each keeps its own.
    keys: HashMap<(u64, Option<EndpointNo>), Micros>,
    trouble: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Begin(usize),
    End(usize),
    Done(EndpointNo, CallNo),
    Stood(usize),
}

struct Planned {
    what: FaultKind,
    dest: usize,
    endpoints: Vec<EndpointNo>,
    lasts: Micros,
}

/// The world.
pub struct World {
    scenario: Scenario,
    dests: Vec<Destination>,
    endpoints: Vec<Endpoint>,
    calls: HashMap<CallNo, Call>,
    due: BTreeSet<(Micros, u64, Due)>,
    next: u64,
    planned: Vec<Planned>,
    work: Pcg64Mcg,
    errors: Pcg64Mcg,
    waits: Pcg64Mcg,
    out: Vec<Happening>,
    started: Micros,
}

/// A destination that nobody asks bears this many calls a second.
const SILENT_RATE: f64 = 0.5;

impl World {
    /// The world of a scenario; its time begins at `now`.
    pub fn new(scenario: &Scenario, streams: Streams, now: Micros) -> World {
        let conf = &scenario.destinations;
        let mut draw = streams.of("world/destinations");
        let shares = scenario.shares();
        let (mut dests, mut endpoints) = (Vec::new(), Vec::new());
        for n in 0..conf.count {
            let asked = shares.get(n).map_or(SILENT_RATE, |share| share * scenario.clients.rate);
            let count = draw.random_range(conf.endpoints.0..=conf.endpoints.1);
            let service = between(&mut draw, conf.service);
            let wanted = asked * between(&mut draw, conf.headroom);
            let workers = ((wanted * service / count as f64).ceil() as usize).max(1);
            let capacity = (workers * count) as f64 / service;
            let first = endpoints.len() as EndpointNo;
            for _ in 0..count {
                endpoints.push(Endpoint {
                    dest: n,
                    workers,
                    busy: 0,
                    queue: VecDeque::new(),
                    open: 0,
                    wrong: Vec::new(),
                    gone: false,
                });
            }
            dests.push(Destination {
                endpoints: (first..endpoints.len() as EndpointNo).collect(),
                service,
                capacity,
                meter: Meter::new(conf.limit, asked, now),
                cold_since: None,
                down_until: Micros(0),
                pushed: VecDeque::new(),
                seen: HashSet::new(),
                keys: HashMap::new(),
                trouble: 0,
            });
        }
        let mut world = World {
            scenario: scenario.clone(),
            dests,
            endpoints,
            calls: HashMap::new(),
            due: BTreeSet::new(),
            next: 0,
            planned: Vec::new(),
            work: streams.of("world/work"),
            errors: streams.of("world/errors"),
            waits: streams.of("world/waits"),
            out: Vec::new(),
            started: now,
        };
        world.plan();
        world
    }

    fn plan(&mut self) {
        let faults = self.scenario.faults.clone();
        for fault in &faults {
            let dests: Vec<usize> = match fault.which {
                Which::Largest => vec![0],
                Which::Number(n) => vec![n],
                Which::Every(n) => (0..self.scenario.destinations.active).step_by(n).collect(),
            };
            let mut at = fault.at;
            loop {
                for dest in &dests {
                    let all = &self.dests[*dest].endpoints;
                    let some = ((all.len() as f64 * fault.endpoints).ceil() as usize).clamp(1, all.len());
                    let planned = Planned {
                        what: fault.what,
                        dest: *dest,
                        endpoints: all[..some].to_vec(),
                        lasts: Micros::from_secs(fault.lasts),
                    };
                    let number = self.planned.len();
                    self.planned.push(planned);
                    self.at(self.started + Micros::from_secs(at), Due::Begin(number));
                }
                at += fault.every;
                if fault.every <= 0.0 || at >= self.scenario.seconds {
                    break;
                }
            }
        }
    }

    fn at(&mut self, at: Micros, due: Due) {
        self.next += 1;
        self.due.insert((at, self.next, due));
    }

    /// Its endpoints: of which destination, and the weight that the list tells.
    pub fn list(&self) -> impl Iterator<Item = (EndpointNo, usize, f64)> + '_ {
        self.endpoints.iter().enumerate().map(|(n, e)| {
            let dest = &self.dests[e.dest];
            (n as EndpointNo, e.dest, dest.meter.rate().unwrap_or(dest.capacity))
        })
    }

    /// Those of one destination.
    pub fn endpoints_of(&self, dest: usize) -> impl Iterator<Item = (EndpointNo, usize, f64)> + '_ {
        let d = &self.dests[dest];
        let weight = d.meter.rate().unwrap_or(d.capacity);
        d.endpoints.iter().map(move |n| (*n, dest, weight))
    }

    /// How many destinations there are.
    pub fn dests(&self) -> usize {
        self.dests.len()
    }

    /// The destination of an endpoint.
    pub fn dest_of(&self, at: EndpointNo) -> usize {
        self.endpoints[at as usize].dest
    }

    /// Calls a second that a destination bears now.
    pub fn capacity(&self, now: Micros, dest: usize) -> f64 {
        self.dests[dest].capacity * self.warmth(now, dest)
    }

    /// When something happens next by itself.
    pub fn next_at(&self) -> Option<Micros> {
        self.due.first().map(|(at, _, _)| *at)
    }

    /// What has happened until now, in its order.
    pub fn advance(&mut self, now: Micros) -> Vec<Happening> {
        while let Some((at, _, due)) = self.due.first().copied().filter(|(at, _, _)| *at <= now) {
            self.due.pop_first();
            match due {
                Due::Begin(n) => self.begin(at, n),
                Due::End(n) => self.end(at, n),
                Due::Done(endpoint, call) => self.worked(at, endpoint, call),
                Due::Stood(dest) => self.stood(at, dest),
            }
        }
        std::mem::take(&mut self.out)
    }
}

fn between(rng: &mut Pcg64Mcg, (low, high): (f64, f64)) -> f64 {
    if low < high {
        rng.random_range(low..high)
    } else {
        low
    }
}

#[cfg(test)]
mod tests;
