//! Connections to endpoints, and calls from their arrival to their response.

use super::{Call, CallNo, Connect, Due, EndpointNo, Happening, Reply, World};
use crate::scenario::{Effect, FaultKind, Group, Shape};
use indigohold::Micros;
use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal, Pareto};

impl World {
    /// Somebody listens there.
    pub fn up(&self, now: Micros, at: EndpointNo) -> bool {
        !self.is_down(now, at)
    }

    pub(super) fn is_down(&self, now: Micros, at: EndpointNo) -> bool {
        let endpoint = &self.endpoints[at as usize];
        endpoint.down() || self.dests[endpoint.dest].down_until > now
    }

    pub(super) fn saw(&mut self, dest: usize, who: usize) {
        self.dests[dest].seen.insert(who);
    }

    /// An instance connects.
    pub fn connect(&mut self, now: Micros, at: EndpointNo, who: usize) -> Connect {
        let dest = self.endpoints[at as usize].dest;
        if self.is_down(now, at) {
            self.saw(dest, who);
            return Connect::Refused;
        }
        if self.endpoints[at as usize].has(|w| matches!(w, FaultKind::Silent)) {
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
        if self.endpoints[at as usize].has(|w| matches!(w, FaultKind::Silent)) {
            self.saw(dest, who);
            return;
        }
        if !self.push(now, dest, who) {
            self.out.push(Happening::Reply(call, Reply::Break));
            return;
        }
        let endpoint = &self.endpoints[at as usize];
        let shut = endpoint.wrong.iter().find_map(|(_, w)| match w {
            FaultKind::Shut(wait) => Some(*wait),
            _ => None,
        });
        let leaving = endpoint.has(|w| matches!(w, FaultKind::Leaves));
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
        if endpoint.has(|w| matches!(w, FaultKind::HalfOpen)) {
            self.saw(dest, who);
            self.dests[dest].meter.done();
            self.run(now, at, msg, class);
            return self.out.push(Happening::Reply(call, Reply::Break));
        }
        let hangs = endpoint.has(|w| matches!(w, FaultKind::Hangs));
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

    pub(super) fn tells(&mut self) -> bool {
        self.waits.random::<f64>() < self.scenario.destinations.tells_wait
    }

    /// Takes calls from the queue for as long as there are workers.
    pub(super) fn start(&mut self, now: Micros, at: EndpointNo) {
        loop {
            let endpoint = &mut self.endpoints[at as usize];
            if endpoint.busy >= endpoint.workers || endpoint.has(|w| matches!(w, FaultKind::Hangs)) {
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
                    FaultKind::Slow(times) => Some(*times),
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

    pub(super) fn draw_work(&mut self, mean: f64) -> f64 {
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
    pub(super) fn worked(&mut self, now: Micros, at: EndpointNo, call: CallNo) {
        // It went with its process.
        let Some(Call { msg, class, open, .. }) = self.calls.remove(&call) else { return };
        let dest = self.endpoints[at as usize].dest;
        if self.endpoints[at as usize].has(|w| matches!(w, FaultKind::Hangs)) {
            // It began before; it goes on once the hang is over.
            let endpoint = &mut self.endpoints[at as usize];
            endpoint.busy = endpoint.busy.saturating_sub(1);
            endpoint.queue.push_front(call);
            self.calls.insert(call, Call { at, msg, class, open });
            return;
        }
        let silent = self.endpoints[at as usize].has(|w| matches!(w, FaultKind::Silent));
        self.endpoints[at as usize].busy = self.endpoints[at as usize].busy.saturating_sub(1);
        self.dests[dest].meter.done();
        let fails = self.endpoints[at as usize].wrong.iter().find_map(|(_, w)| match w {
            FaultKind::Fails(share) => Some(*share),
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
    pub(super) fn run(&mut self, now: Micros, at: EndpointNo, msg: u64, class: usize) {
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
