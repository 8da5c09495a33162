//! The partners' world without I/O, clock or threads: destinations with endpoints, what they can take, and what goes wrong
//! with them. Whoever drives it says what time it is, hands calls in and takes replies out: the engine in virtual time, and
//! the one on real sockets, drive the same world.

pub mod limits;

use crate::scenario::{Effect, Group, Scenario, Shape, Which, Wrong};
use crate::streams::Streams;
use indigohold::Micros;
use limits::Meter;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// An endpoint, by its place in the world.
pub type EndpointNo = u32;
/// A call, numbered by whoever makes it; never the same twice.
pub type CallNo = u64;

/// An endpoint's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// What an attempt to connect meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connect {
    /// It comes up after so much work beyond the network's time.
    Up(Micros),
    /// Refused at once.
    Refused,
    /// It never comes up.
    Never,
}

/// How a call is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Delivered.
    Ok,
    /// An error; whether it ran is in the world's record, not in the answer.
    Error,
    /// Turned away unseen, perhaps with a wait.
    Full(Option<Micros>),
    /// The connection breaks.
    Break,
}

/// What has happened in the world.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Happening {
    /// A call is answered.
    Reply(CallNo, Reply),
    /// A message took effect, or was dropped as a repeat.
    Ran {
        /// The message.
        msg: u64,
        /// Where.
        at: EndpointNo,
        /// It took effect.
        effect: bool,
    },
    /// All connections to an endpoint have broken.
    Broken(EndpointNo),
    /// The list says something new.
    Listed(EndpointNo, Listed),
    /// Something went wrong, or was over, at a destination.
    Trouble {
        /// Where.
        dest: usize,
        /// It begins.
        begins: bool,
        /// What.
        what: &'static str,
    },
    /// A destination that was cold fell over: it was sent more than it bore.
    Toppled {
        /// Where.
        dest: usize,
        /// Calls in the window that did it.
        calls: usize,
        /// Of these, by instances that had seen the outage.
        knowing: usize,
    },
}

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
    wrong: Vec<(usize, Wrong)>,
    gone: bool,
}

impl Endpoint {
    fn has(&self, by: impl Fn(&Wrong) -> bool) -> bool {
        self.wrong.iter().any(|(_, w)| by(w))
    }

    fn down(&self) -> bool {
        self.gone || self.has(|w| matches!(w, Wrong::Refuses))
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
    what: Wrong,
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

    // ---- Trouble ----

    fn begin(&mut self, now: Micros, n: usize) {
        let Planned { what, dest, endpoints, lasts, .. } = &self.planned[n];
        let (what, dest, lasts, endpoints) = (*what, *dest, *lasts, endpoints.clone());
        self.dests[dest].trouble += 1;
        self.out.push(Happening::Trouble { dest, begins: true, what: name(what) });
        if let Wrong::LimitTimes(times) = what {
            self.dests[dest].meter.times(times);
        }
        for at in endpoints {
            self.endpoints[at as usize].wrong.push((n, what));
            match what {
                Wrong::Refuses => self.fall(at),
                Wrong::Leaves => self.out.push(Happening::Listed(at, Listed::Draining)),
                _ => {}
            }
        }
        self.at(now + lasts, Due::End(n));
    }

    fn end(&mut self, now: Micros, n: usize) {
        let Planned { what, dest, endpoints, .. } = &self.planned[n];
        let (what, dest, endpoints) = (*what, *dest, endpoints.clone());
        self.dests[dest].trouble -= 1;
        self.out.push(Happening::Trouble { dest, begins: false, what: name(what) });
        if let Wrong::LimitTimes(times) = what {
            self.dests[dest].meter.times(1.0 / times.max(1e-9));
        }
        for at in &endpoints {
            self.endpoints[*at as usize].wrong.retain(|(other, _)| *other != n);
            if what == Wrong::Leaves {
                self.endpoints[*at as usize].gone = true;
                self.out.push(Happening::Listed(*at, Listed::Gone));
                self.fall(*at);
            }
        }
        let outage = matches!(what, Wrong::Refuses | Wrong::Hangs | Wrong::Silent | Wrong::Shut(_));
        if outage && endpoints.len() == self.dests[dest].endpoints.len() {
            self.dests[dest].cold_since = Some(now);
            self.dests[dest].pushed.clear();
        }
        // What waited meanwhile is worked on now.
        endpoints.into_iter().for_each(|at| self.start(now, at));
    }

    /// Its process is gone, and all it had.
    fn fall(&mut self, at: EndpointNo) {
        let endpoint = &mut self.endpoints[at as usize];
        endpoint.busy = 0;
        endpoint.open = 0;
        endpoint.queue.clear();
        let mut calls: Vec<CallNo> = self.calls.iter().filter(|(_, c)| c.at == at).map(|(n, _)| *n).collect();
        calls.sort_unstable();
        for call in calls {
            if self.calls.remove(&call).is_some_and(|c| c.open) {
                self.out.push(Happening::Reply(call, Reply::Break));
            }
            self.dests[self.endpoints[at as usize].dest].meter.done();
        }
        self.out.push(Happening::Broken(at));
    }

    fn stood(&mut self, now: Micros, dest: usize) {
        let d = &mut self.dests[dest];
        if d.down_until <= now {
            d.cold_since = Some(now);
            d.pushed.clear();
        }
    }

    /// The share of its capacity that a destination has.
    fn warmth(&self, now: Micros, dest: usize) -> f64 {
        let conf = &self.scenario.destinations;
        let Some(since) = self.dests[dest].cold_since else { return 1.0 };
        let part = (now - since).secs() / conf.cold.secs().max(1e-9);
        (conf.cold_share + (1.0 - conf.cold_share) * part).min(1.0)
    }

    /// A call to a cold destination; whether it is still standing.
    fn push(&mut self, now: Micros, dest: usize, who: usize) -> bool {
        let warmth = self.warmth(now, dest);
        let conf = &self.scenario.destinations;
        let (span, times, lasts) = (conf.topple_after, conf.topple_factor, conf.topple_for);
        let d = &mut self.dests[dest];
        if d.cold_since.is_none() {
            return true;
        }
        if warmth >= 1.0 {
            d.cold_since = None;
            d.pushed.clear();
            d.seen.clear();
            return true;
        }
        d.pushed.push_back((now, who));
        while d.pushed.front().is_some_and(|(at, _)| *at + span < now) {
            d.pushed.pop_front();
        }
        // A little slack for chance: two calls.
        let bears = d.capacity * warmth * span.secs() * times + 2.0;
        if d.pushed.len() as f64 <= bears {
            return true;
        }
        let knowing = d.pushed.iter().filter(|(_, who)| d.seen.contains(who)).count();
        let calls = d.pushed.len();
        d.down_until = now + lasts;
        d.pushed.clear();
        let endpoints = d.endpoints.clone();
        self.out.push(Happening::Toppled { dest, calls, knowing });
        endpoints.into_iter().for_each(|at| self.fall(at));
        self.at(now + lasts, Due::Stood(dest));
        false
    }

    // ---- Connections and calls ----

    /// Somebody listens there.
    pub fn up(&self, now: Micros, at: EndpointNo) -> bool {
        !self.is_down(now, at)
    }

    fn is_down(&self, now: Micros, at: EndpointNo) -> bool {
        let endpoint = &self.endpoints[at as usize];
        endpoint.down() || self.dests[endpoint.dest].down_until > now
    }

    fn saw(&mut self, dest: usize, who: usize) {
        self.dests[dest].seen.insert(who);
    }

    /// An instance connects.
    pub fn connect(&mut self, now: Micros, at: EndpointNo, who: usize) -> Connect {
        let dest = self.endpoints[at as usize].dest;
        if self.is_down(now, at) {
            self.saw(dest, who);
            return Connect::Refused;
        }
        if self.endpoints[at as usize].has(|w| matches!(w, Wrong::Silent)) {
            self.saw(dest, who);
            return Connect::Never;
        }
        let endpoint = &mut self.endpoints[at as usize];
        if endpoint.open >= self.scenario.destinations.connections {
            return Connect::Refused;
        }
        endpoint.open += 1;
        Connect::Up(Micros::from_secs(self.scenario.destinations.handshake))
    }

    /// One of its connections has ended.
    pub fn disconnect(&mut self, at: EndpointNo) {
        let endpoint = &mut self.endpoints[at as usize];
        endpoint.open = endpoint.open.saturating_sub(1);
    }

    /// Its caller has closed the connection: it may yet run.
    pub fn give_up(&mut self, call: CallNo) {
        if let Some(c) = self.calls.get_mut(&call) {
            c.open = false;
        }
    }

    /// The last byte of a call has come. Its reply comes with [`World::advance`], which is to be asked for this moment too.
    pub fn call(&mut self, now: Micros, at: EndpointNo, call: CallNo, who: usize, msg: u64, class: usize) {
        let dest = self.endpoints[at as usize].dest;
        if self.is_down(now, at) {
            self.saw(dest, who);
            self.out.push(Happening::Reply(call, Reply::Break));
            return;
        }
        if self.endpoints[at as usize].has(|w| matches!(w, Wrong::Silent)) {
            self.saw(dest, who);
            return;
        }
        if !self.push(now, dest, who) {
            self.out.push(Happening::Reply(call, Reply::Break));
            return;
        }
        let endpoint = &self.endpoints[at as usize];
        let shut = endpoint.wrong.iter().find_map(|(_, w)| match w {
            Wrong::Shut(wait) => Some(*wait),
            _ => None,
        });
        let leaving = endpoint.has(|w| matches!(w, Wrong::Leaves));
        if let Some(wait) = shut {
            self.saw(dest, who);
            let told = self.tells().then_some(wait);
            return self.out.push(Happening::Reply(call, Reply::Full(told)));
        }
        if leaving {
            return self.out.push(Happening::Reply(call, Reply::Full(None)));
        }
        let counts = self.scenario.destinations.refusals_count;
        let service = self.dests[dest].service;
        if let Err(wait) = self.dests[dest].meter.take(now, counts, service) {
            let told = self.tells().then_some(wait);
            return self.out.push(Happening::Reply(call, Reply::Full(told)));
        }
        let endpoint = &self.endpoints[at as usize];
        if endpoint.has(|w| matches!(w, Wrong::HalfOpen)) {
            self.saw(dest, who);
            self.dests[dest].meter.done();
            self.run(now, at, msg, class);
            return self.out.push(Happening::Reply(call, Reply::Break));
        }
        let hangs = endpoint.has(|w| matches!(w, Wrong::Hangs));
        if hangs {
            self.saw(dest, who);
        }
        let endpoint = &mut self.endpoints[at as usize];
        if endpoint.queue.len() >= self.scenario.destinations.queue
            && (hangs || endpoint.busy >= endpoint.workers)
        {
            self.dests[dest].meter.done();
            return self.out.push(Happening::Reply(call, Reply::Full(None)));
        }
        endpoint.queue.push_back(call);
        self.calls.insert(call, Call { at, msg, class, open: true });
        self.start(now, at);
    }

    fn tells(&mut self) -> bool {
        self.waits.random::<f64>() < self.scenario.destinations.tells_wait
    }

    /// Takes calls from the queue for as long as there are workers.
    fn start(&mut self, now: Micros, at: EndpointNo) {
        loop {
            let endpoint = &mut self.endpoints[at as usize];
            if endpoint.busy >= endpoint.workers || endpoint.has(|w| matches!(w, Wrong::Hangs)) {
                return;
            }
            let Some(call) = endpoint.queue.pop_front() else { return };
            // Whoever gave it up has closed its connection: it is passed over.
            if !self.calls.get(&call).is_some_and(|c| c.open) {
                self.calls.remove(&call);
                let dest = self.endpoints[at as usize].dest;
                self.dests[dest].meter.done();
                continue;
            }
            endpoint.busy += 1;
            let (dest, waiting) = (endpoint.dest, endpoint.queue.len());
            let slow: f64 = endpoint
                .wrong
                .iter()
                .filter_map(|(_, w)| match w {
                    Wrong::Slow(times) => Some(*times),
                    _ => None,
                })
                .product();
            let drag = 1.0 + self.scenario.destinations.drag * waiting as f64;
            let speed = self.warmth(now, dest) * slow;
            let mean = self.dests[dest].service;
            let takes = self.draw_work(mean) * drag / speed.max(1e-3);
            self.at(now + Micros::from_secs(takes).max(Micros(1)), Due::Done(at, call));
        }
    }

    fn draw_work(&mut self, mean: f64) -> f64 {
        let drawn = match self.scenario.destinations.shape {
            Shape::Fixed => Ok(mean),
            Shape::Exponential => Exp::new(1.0 / mean).map(|d| d.sample(&mut self.work)).map_err(drop),
            Shape::LogNormal(sigma) => LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma)
                .map(|d| d.sample(&mut self.work))
                .map_err(drop),
            Shape::Pareto(shape) => Pareto::new(mean * (shape - 1.0) / shape, shape)
                .map(|d| d.sample(&mut self.work))
                .map_err(drop),
        };
        drawn.unwrap_or(mean)
    }

    /// A call has been worked on.
    fn worked(&mut self, now: Micros, at: EndpointNo, call: CallNo) {
        // It went with its process.
        let Some(Call { msg, class, open, .. }) = self.calls.remove(&call) else { return };
        let dest = self.endpoints[at as usize].dest;
        if self.endpoints[at as usize].has(|w| matches!(w, Wrong::Hangs)) {
            // It began before; it goes on once the hang is over.
            let endpoint = &mut self.endpoints[at as usize];
            endpoint.busy = endpoint.busy.saturating_sub(1);
            endpoint.queue.push_front(call);
            self.calls.insert(call, Call { at, msg, class, open });
            return;
        }
        let silent = self.endpoints[at as usize].has(|w| matches!(w, Wrong::Silent));
        self.endpoints[at as usize].busy = self.endpoints[at as usize].busy.saturating_sub(1);
        self.dests[dest].meter.done();
        let fails = self.endpoints[at as usize].wrong.iter().find_map(|(_, w)| match w {
            Wrong::Fails(share) => Some(*share),
            _ => None,
        });
        let conf = &self.scenario.destinations;
        let (errors, errors_ran) = (conf.errors, conf.errors_ran);
        let chance = self.errors.random::<f64>();
        let reply = if fails.is_some_and(|share| chance < share) {
            self.run(now, at, msg, class);
            Reply::Error
        } else if chance < errors {
            if self.errors.random::<f64>() < errors_ran {
                self.run(now, at, msg, class);
            }
            Reply::Error
        } else {
            self.run(now, at, msg, class);
            Reply::Ok
        };
        if open && !silent {
            self.out.push(Happening::Reply(call, reply));
        }
        self.start(now, at);
    }

    /// A message takes effect, unless it is a repeat that its destination drops.
    fn run(&mut self, now: Micros, at: EndpointNo, msg: u64, class: usize) {
        let dest = self.endpoints[at as usize].dest;
        let effect = match self.scenario.classes[class].effect {
            Effect::Keyed(group, window) => {
                let place = (msg, (group == Group::Endpoint).then_some(at));
                let first = *self.dests[dest].keys.entry(place).or_insert(now);
                let known = first < now && now <= first + window;
                if !known {
                    self.dests[dest].keys.insert(place, now);
                }
                !known
            }
            Effect::Safe | Effect::Unsafe => true,
        };
        self.out.push(Happening::Ran { msg, at, effect });
    }
}

fn between(rng: &mut Pcg64Mcg, (low, high): (f64, f64)) -> f64 {
    if low < high {
        rng.random_range(low..high)
    } else {
        low
    }
}

fn name(what: Wrong) -> &'static str {
    match what {
        Wrong::Refuses => "refuses",
        Wrong::Hangs => "hangs",
        Wrong::Slow(_) => "slow",
        Wrong::Fails(_) => "fails",
        Wrong::HalfOpen => "half open",
        Wrong::Silent => "silent",
        Wrong::Shut(_) => "shut",
        Wrong::LimitTimes(_) => "other limit",
        Wrong::Leaves => "leaves",
    }
}

#[cfg(test)]
mod tests;
