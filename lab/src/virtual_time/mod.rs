//! The engine in virtual time: the courier's own core, with its journal in memory, drives the partners' world. One queue of
//! events by time and number, one thread a run: two runs of a seed are the same to the byte, whatever runs beside them.

mod life;

use crate::clients::{Clients, Wanted};
use crate::policies::Policy;
use crate::record::{Ended, Fact, Instance, MsgNo, Record};
use crate::scenario::{Effect, Scenario};
use crate::streams::Streams;
use crate::world::{CallNo, Connect, EndpointNo, Happening, Listed, Reply, World};
use indigohold::core::{
    Answer, End, EndpointRecord, EndpointState, Fetch, ListUpdate, Notice, Order, Report, Source,
};
use indigohold::store::{FinalOutcome, Req};
use indigohold::{Micros, Outcome, Settings};
use life::{Life, Machine, Out, Stage};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Time begins there, as if at some moment of 2026: nothing depends on it.
const EPOCH: Micros = Micros(1_790_000_000_000_000);
/// An instance looks at its clock so often without any other cause.
const LOOK: Micros = Micros(100_000);
/// Time for whatever is still owed when the last deadline has passed.
const AFTER: Micros = Micros(1_000_000);
/// A connection that is not up by then is not going to be, and the share of an endpoint's idle time for which one is kept.
const CONNECT: Micros = Micros(1_500_000);
const KEEP_SHARE: f64 = 0.8;
/// From SIGTERM: clients are served on, then the process ends.
const SERVES_ON: Micros = Micros(3_100_000);
const ENDS: Micros = Micros(3_400_000);
/// A watch says that it lives.
const HEARTBEAT: Micros = Micros(2_000_000);

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next message is wanted.
    Wanted,
    HandIn(MsgNo),
    Tick(Instance, u32),
    Connected(Instance, u32, u64, u8),
    NotConnected(Instance, u32, u64, u8),
    Arrives(Instance, u32, u64, u8, CallNo),
    Replies(CallNo, u8),
    TimesOut(Instance, u32, u64, u8, CallNo),
    /// A change of the list, by its place among all changes.
    Listed(Instance, u32, usize),
    /// The whole list is asked for, and is told.
    Whole(Instance, u32),
    Answered(Instance, u32),
    ListFails(Instance, u32),
    Heartbeat(Instance, u32),
    Noticed(Instance, u32, u64, MsgNo, Option<Option<u64>>),
    Kill(usize),
    Ends(Instance, u32, usize),
    Starts(Instance),
    DownBegins,
}

struct Message {
    class: usize,
    tenant: usize,
    dest: usize,
    due: Micros,
    tries: u32,
    holder: Option<Instance>,
    began: bool,
    over: bool,
}

/// One run of a scenario.
pub struct Run {
    scenario: Scenario,
    settings: Settings,
    policy: Policy,
    streams: Streams,
    now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64, Event)>>,
    next: u64,
    world: World,
    record: Record,
    machines: Vec<Machine>,
    messages: Vec<Message>,
    /// Who waits for each call: instance, life, message there, attempt.
    calls: std::collections::HashMap<CallNo, (Instance, u32, u64, u8, Reply)>,
    next_call: CallNo,
    changes: Vec<(EndpointNo, Listed)>,
    /// Until when the register is busy with calls that came before.
    register_free: Micros,
    states: Vec<Listed>,
    body: Arc<[u8]>,
    wants: Clients,
    coming: Option<Wanted>,
    places: Pcg64Mcg,
    network: Pcg64Mcg,
    clients: Pcg64Mcg,
    lists: Pcg64Mcg,
    kills: Pcg64Mcg,
    /// Events taken from the queue and calls into cores, for figures of the engine itself.
    pub steps: u64,
}

/// Runs a scenario with a policy and a seed to its end.
pub fn run(scenario: &Scenario, policy: Policy, seed: u64) -> Record {
    Run::new(scenario, policy, seed).to_end().0
}

impl Run {
    /// A run that has not begun.
    pub fn new(scenario: &Scenario, policy: Policy, seed: u64) -> Run {
        let streams = Streams::new(seed);
        let world = World::new(scenario, streams, EPOCH);
        let mut run = Run {
            settings: life::settings(scenario),
            scenario: scenario.clone(),
            policy,
            streams,
            now: EPOCH,
            events: BinaryHeap::new(),
            next: 0,
            states: vec![Listed::Up; world.list().count()],
            world,
            record: Record::new(EPOCH),
            machines: (0..scenario.courier.instances).map(|_| Machine::default()).collect(),
            messages: Vec::new(),
            calls: Default::default(),
            next_call: 0,
            changes: Vec::new(),
            register_free: EPOCH,
            body: b"ten trumpet parts"[..].into(),
            wants: Clients::new(scenario, streams),
            coming: None,
            places: streams.of("clients/instances"),
            network: streams.of("network"),
            clients: streams.of("clients/habits"),
            lists: streams.of("registry"),
            kills: streams.of("kills"),
            steps: 0,
        };
        for n in 0..run.machines.len() {
            run.start(n as Instance);
        }
        for (n, kill) in scenario.kills.iter().enumerate() {
            for one in 0..kill.count {
                run.at(EPOCH + Micros::from_secs(kill.at + kill.apart * one as f64), Event::Kill(n));
            }
        }
        for down in &scenario.registry.down {
            run.at(EPOCH + Micros::from_secs(down.0), Event::DownBegins);
        }
        run.next_wanted();
        run
    }

    /// Goes on to the end. The record, and how many events it took.
    pub fn to_end(mut self) -> (Record, u64) {
        let longest = self.scenario.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let end = EPOCH + Micros::from_secs(self.scenario.seconds) + longest + AFTER;
        loop {
            let queued = self.events.peek().map(|Reverse((at, _, _))| *at);
            let world = self.world.next_at();
            let Some(at) = [queued, world].into_iter().flatten().min() else { break };
            if at > end {
                break;
            }
            self.now = at;
            self.steps += 1;
            if world == Some(at) {
                self.pump();
            } else if let Some(Reverse((_, _, event))) = self.events.pop() {
                self.step(event);
            }
        }
        (self.record, self.steps)
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn put(&mut self, fact: Fact) {
        self.record.put(self.now, fact);
    }

    fn hop(&mut self) -> Micros {
        let (low, high) = self.scenario.network;
        Micros::from_secs(if low < high { self.network.random_range(low..high) } else { low }).max(Micros(1))
    }

    /// Seconds since the beginning.
    fn secs(&self) -> f64 {
        (self.now - EPOCH).secs()
    }

    fn life(&mut self, n: Instance, life: u32) -> Option<&mut Life> {
        self.machines[n as usize].life.as_mut().filter(|l| l.number == life)
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Wanted => self.wanted(),
            Event::HandIn(msg) => self.hand_in(msg),
            Event::Tick(n, life) => {
                let now = self.now;
                let Some(life) = self.life(n, life).filter(|l| l.tick_at == now) else { return };
                life.tick_at = Micros(u64::MAX);
                life.core.tick(now);
                self.settle(n);
            }
            Event::Connected(n, life, msg, attempt) => self.connected(n, life, msg, attempt),
            Event::NotConnected(n, life, msg, attempt) => {
                if self.life(n, life).is_some_and(|l| l.out.contains_key(&(msg, attempt))) {
                    self.finish(n, msg, attempt, End::NotConnected, false);
                    self.settle(n);
                }
            }
            Event::Arrives(n, life, msg, attempt, call) => self.arrives(n, life, msg, attempt, call),
            Event::Replies(call, _) => self.replied(call),
            Event::TimesOut(n, life, msg, attempt, call) => {
                let out =
                    |l: &mut Life| l.out.get(&(msg, attempt)).is_some_and(|o| o.stage == Stage::Out(call));
                if self.life(n, life).is_some_and(out) {
                    self.world.give_up(call);
                    self.calls.remove(&call);
                    self.finish(n, msg, attempt, End::TimedOut, false);
                    self.settle(n);
                }
            }
            Event::Listed(n, life, change) => {
                let (endpoint, state) = self.changes[change];
                if self.life(n, life).is_some_and(|l| l.watching) {
                    self.put(Fact::Listed { to: n, endpoint, state });
                    let lines = vec![self.line(endpoint, state)];
                    self.tell(
                        n,
                        ListUpdate {
                            is_full_list: false,
                            ..ListUpdate::full(Source::Discovery, change as u64 + 2, lines, self.now)
                        },
                    );
                }
            }
            Event::Whole(n, life) => self.asked(n, life),
            Event::Answered(n, life) => self.tell_whole(n, life),
            Event::ListFails(n, life) => {
                let now = self.now;
                if let Some(life) = self.life(n, life) {
                    life.watching = false;
                    life.core.report(now, Report::ListFailed(0));
                    self.settle(n);
                }
            }
            Event::Heartbeat(n, life) => {
                let now = self.now;
                if let Some(l) = self.life(n, life).filter(|l| l.watching) {
                    l.core.report(now, Report::ListUnchanged(0));
                    self.settle(n);
                    self.at(now + HEARTBEAT, Event::Heartbeat(n, life));
                }
            }
            Event::Noticed(n, life, id, msg, wait) => self.noticed(n, life, id, msg, wait),
            Event::Kill(k) => self.kill(k),
            Event::Ends(n, life, k) => {
                if self.life(n, life).is_some() {
                    self.ends(n, k);
                }
            }
            Event::Starts(n) => self.start(n),
            Event::DownBegins => {
                let watching: Vec<(Instance, u32)> = (0..)
                    .zip(&self.machines)
                    .filter_map(|(n, m)| m.life.as_ref().filter(|l| l.watching).map(|l| (n, l.number)))
                    .collect();
                for (n, life) in watching {
                    let at = self.now + self.hop();
                    self.at(at, Event::ListFails(n, life));
                }
            }
        }
    }

    // ---- Clients ----

    fn next_wanted(&mut self) {
        self.coming = self.wants.next();
        if let Some(wanted) = self.coming {
            self.at((EPOCH + wanted.at).max(self.now), Event::Wanted);
        }
    }

    fn wanted(&mut self) {
        let Some(Wanted { class, tenant, dest, .. }) = self.coming.take() else { return };
        let due = self.now + self.scenario.classes[class].deadline;
        let msg = self.messages.len() as MsgNo;
        let (holder, began, over) = (None, false, false);
        self.messages.push(Message { class, tenant, dest, due, tries: 0, holder, began, over });
        self.put(Fact::Wanted { msg, class: class as u16, tenant: tenant as u16, dest: dest as u32, due });
        self.hand_in(msg);
        self.next_wanted();
    }

    /// Whom a front would send a client to: one that serves.
    fn an_instance(&mut self) -> Option<Instance> {
        let now = self.now;
        let serves =
            |m: &Machine| m.life.as_ref().is_some_and(|l| l.ending.is_none_or(|at| now < at + SERVES_ON));
        let serving: Vec<usize> = (0..self.machines.len()).filter(|n| serves(&self.machines[*n])).collect();
        let draw: f64 = self.places.random();
        serving.get((draw * serving.len() as f64) as usize).map(|n| *n as Instance)
    }

    fn hand_in(&mut self, msg: MsgNo) {
        let Some(n) = self.an_instance() else { return self.come_again(msg, None) };
        let m = &mut self.messages[msg as usize];
        m.tries += 1;
        let (dest, now) = (m.dest, self.now);
        let req = Req {
            id: format!("{msg}.{}", m.tries),
            front: 0,
            dest: m.dest as u16,
            class: m.class as u16,
            tenant: m.tenant as u16,
            due: m.due,
            head: String::new(),
            body: self.body.clone(),
            keep_id_until: Micros(0),
        };
        self.put(Fact::HandedIn { msg, at: n });
        self.teach(n, dest);
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        let answer = life.core.hand_in(now, vec![req]).pop();
        match answer {
            Some(Answer::Taken(id)) => {
                life.core.answered(now, &[(id, true)]);
                self.messages[msg as usize].holder = Some(n);
                self.put(Fact::Taken { msg, at: n });
            }
            Some(Answer::Refused(wait) | Answer::NoRoomForId(wait) | Answer::Draining { wait, .. }) => {
                self.put(Fact::Refused { msg, at: n, wait: Some(wait) });
                self.come_again(msg, Some(wait));
            }
            _ => {
                self.put(Fact::Refused { msg, at: n, wait: None });
                self.come_again(msg, None);
            }
        }
        self.settle(n);
    }

    /// The client comes again after a while, if its habits and the deadline allow.
    fn come_again(&mut self, msg: MsgNo, wait: Option<Micros>) {
        let conf = &self.scenario.clients;
        let wait = wait.unwrap_or(conf.pause).scale(1.0 + 0.2 * self.clients.random::<f64>());
        let m = &mut self.messages[msg as usize];
        if m.tries <= conf.retries && self.now + wait < m.due {
            self.at(self.now + wait, Event::HandIn(msg));
        } else {
            m.over = true;
            self.put(Fact::Abandoned { msg });
        }
    }

    fn noticed(&mut self, n: Instance, life: u32, id: u64, msg: MsgNo, wait: Option<Option<u64>>) {
        let now = self.now;
        self.put(Fact::Told { msg, by: n, harmless: wait.is_some() });
        // A life that has ended meanwhile tells it once more; the platform takes that without harm.
        if let Some(life) = self.life(n, life) {
            life.core.report(now, Report::NoticeDelivered(id));
            self.settle(n);
        }
        if self.messages[msg as usize].holder.take().is_some() {
            match wait {
                Some(wait) => self.come_again(msg, wait.map(Micros)),
                None => self.messages[msg as usize].over = true,
            }
        }
    }

    // ---- Lives ----

    fn start(&mut self, n: Instance) {
        let (now, seed) = (self.now, self.streams.number(&format!("courier/{n}/{}", self.now.0)));
        let machine = &mut self.machines[n as usize];
        machine.lives += 1;
        let number = machine.lives;
        let disk = self.scenario.courier.disk;
        let sender = self.policy.build(&self.settings, seed);
        machine.life = Some(Life::new(sender, &self.settings, machine.disk.clone(), disk, seed, now, number));
        self.put(Fact::Up(n));
        if !self.scenario.courier.lists_what_it_uses {
            let lines = self.lines();
            self.tell(n, ListUpdate::full(Source::Configured, 1, lines, now));
        }
        let Some(life) = self.life(n, number) else { return };
        life.core.tick(now);
        self.settle(n);
    }

    fn kill(&mut self, k: usize) {
        let kill = self.scenario.kills[k].clone();
        let alive: Vec<usize> = (0..self.machines.len())
            .filter(|n| self.machines[*n].life.as_ref().is_some_and(|l| l.ending.is_none()))
            .collect();
        if alive.is_empty() {
            return;
        }
        let n = alive[self.kills.random_range(0..alive.len())] as Instance;
        if !kill.gently {
            return self.ends(n, k);
        }
        let (now, until) = (self.now, self.now + ENDS);
        self.put(Fact::Ending(n));
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        life.ending = Some(now);
        life.core.stop(until);
        let number = life.number;
        self.at(until, Event::Ends(n, number, k));
    }

    fn ends(&mut self, n: Instance, k: usize) {
        let kill = self.scenario.kills[k].clone();
        let Some(life) = self.machines[n as usize].life.take() else { return };
        for out in life.out.into_values() {
            if let Stage::Out(call) = out.stage {
                self.world.give_up(call);
                self.calls.remove(&call);
            }
            if out.stage != Stage::Connecting {
                self.world.disconnect(out.to);
            }
        }
        for (endpoint, idle) in life.idle {
            idle.iter().for_each(|_| self.world.disconnect(endpoint));
        }
        self.put(Fact::Down(n, kill.loses_disk));
        if kill.loses_disk {
            self.machines[n as usize].disk.clear();
            self.pass_on(n);
        }
        self.at(self.now + Micros::from_secs(kill.away), Event::Starts(n));
    }

    /// What a lost machine held is handed to others, unless it may have run and must not be repeated.
    fn pass_on(&mut self, n: Instance) {
        for msg in 0..self.messages.len() {
            let m = &mut self.messages[msg];
            if m.holder != Some(n) || m.over {
                continue;
            }
            m.holder = None;
            let repeats = self.scenario.classes[m.class].effect != Effect::Unsafe;
            if m.began && !repeats {
                m.over = true;
                self.put(Fact::Abandoned { msg: msg as MsgNo });
            } else {
                self.come_again(msg as MsgNo, Some(Micros(1_000_000)));
            }
        }
    }

    // ---- The list ----

    fn line(&self, endpoint: EndpointNo, state: Listed) -> EndpointRecord {
        let dest = self.world.dest_of(endpoint);
        let weight = self.world.endpoints_of(dest).next().map_or(1.0, |(_, _, w)| w);
        line_of(endpoint, dest, weight, state)
    }

    fn lines(&self) -> Vec<EndpointRecord> {
        let all = self.world.list().filter(|(n, ..)| self.states[*n as usize] != Listed::Gone);
        all.map(|(n, dest, weight)| line_of(n, dest, weight, self.states[n as usize])).collect()
    }

    /// An instance that is told only what it uses hears of a destination when its clients first do.
    fn teach(&mut self, n: Instance, dest: usize) {
        if !self.scenario.courier.lists_what_it_uses {
            return;
        }
        let Some(life) = self.machines[n as usize].life.as_mut() else { return };
        if !life.taught.insert(dest) {
            return;
        }
        let generation = self.changes.len() as u64 + 1;
        let of = |(n, d, w): (EndpointNo, usize, f64)| {
            (d == dest).then(|| line_of(n, d, w, self.states[n as usize]))
        };
        let lines: Vec<EndpointRecord> =
            self.world.endpoints_of(dest).filter_map(of).filter(|l| l.state != EndpointState::Gone).collect();
        self.tell(
            n,
            ListUpdate {
                is_full_list: false,
                ..ListUpdate::full(Source::Discovery, generation, lines, self.now)
            },
        );
    }

    fn tell(&mut self, n: Instance, word: ListUpdate) {
        let now = self.now;
        if let Some(life) = self.machines[n as usize].life.as_mut() {
            life.core.report(now, Report::List { front: 0, update: word });
            self.settle(n);
        }
    }

    fn registry_is_down(&self) -> bool {
        let at = self.secs();
        self.scenario.registry.down.iter().any(|(from, to)| *from <= at && at < *to)
    }

    /// One call after another, if the scenario says so.
    fn asked(&mut self, n: Instance, number: u32) {
        let conf = &self.scenario.registry;
        let (serves, waits) = (Micros::from_secs(conf.serves), Micros::from_secs(conf.waits));
        let begins = self.register_free.max(self.now);
        let answered = !self.registry_is_down() && begins - self.now <= waits;
        self.put(Fact::Asked { by: n, answered });
        if !answered {
            return self.step(Event::ListFails(n, number));
        }
        self.register_free = begins + serves;
        self.at(begins + serves, Event::Answered(n, number));
    }

    fn tell_whole(&mut self, n: Instance, number: u32) {
        if self.registry_is_down() {
            return self.step(Event::ListFails(n, number));
        }
        let generation = self.changes.len() as u64 + 1;
        let only = self.scenario.courier.lists_what_it_uses;
        let now = self.now;
        let Some(life) = self.life(n, number) else { return };
        life.watching = true;
        if only {
            life.core.report(now, Report::ListUnchanged(0));
            return self.settle(n);
        }
        for endpoint in 0..self.states.len() as EndpointNo {
            let state = self.states[endpoint as usize];
            if state != Listed::Up {
                self.put(Fact::Listed { to: n, endpoint, state });
            }
        }
        let lines = self.lines();
        self.tell(n, ListUpdate::full(Source::Discovery, generation, lines, self.now));
        self.at(self.now + HEARTBEAT, Event::Heartbeat(n, number));
    }

    fn list_changes(&mut self, endpoint: EndpointNo, state: Listed) {
        self.states[endpoint as usize] = state;
        self.changes.push((endpoint, state));
        let change = self.changes.len() - 1;
        for n in 0..self.machines.len() {
            let (low, high) = self.scenario.registry.late;
            let late = if low < high { self.lists.random_range(low..high) } else { low };
            let Some(life) = self.machines[n].life.as_mut().filter(|l| l.watching) else { continue };
            // One after another, however late.
            life.list_at = life.list_at.max(self.now + Micros::from_secs(late));
            let (at, number) = (life.list_at, life.number);
            self.at(at, Event::Listed(n as Instance, number, change));
        }
    }

    // ---- Orders and calls ----

    /// Carries out whatever an instance has ordered, and sees to its next look at the clock.
    fn settle(&mut self, n: Instance) {
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

    fn order(&mut self, n: Instance, order: Order) {
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

    fn fetch(&mut self, n: Instance, fetch: Fetch) {
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

    fn connected(&mut self, n: Instance, life: u32, msg: u64, attempt: u8) {
        if self.life(n, life).is_some_and(|l| l.out.contains_key(&(msg, attempt))) {
            self.begin(n, (msg, attempt));
            self.settle(n);
        }
    }

    /// A connection is there: the last look, and the first byte.
    fn begin(&mut self, n: Instance, key: (u64, u8)) {
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

    fn arrives(&mut self, n: Instance, life: u32, msg: u64, attempt: u8, call: CallNo) {
        // What has been written arrives, also after its writer's end.
        let known = self.life(n, life).and_then(|l| l.out.get(&(msg, attempt)));
        let found = known.filter(|o| o.stage == Stage::Out(call));
        let Some((to, id)) = found.map(|o| (o.to, number_of(&o.fetch.req.id))) else { return };
        let class = self.messages[id as usize].class;
        self.world.call(self.now, to, call, n as usize, id, class);
        self.pump();
    }

    /// Takes out what has happened in the world.
    fn pump(&mut self) {
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

    fn replied(&mut self, call: CallNo) {
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

    fn cancel(&mut self, n: Instance, msg: u64, attempt: u8) {
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
    fn finish(&mut self, n: Instance, msg: u64, attempt: u8, end: End, keep: bool) {
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

fn line_of(endpoint: EndpointNo, dest: usize, weight: f64, state: Listed) -> EndpointRecord {
    EndpointRecord {
        name: format!("e{endpoint}"),
        addr: SocketAddr::from((Ipv4Addr::from(0x0A00_0000 + endpoint), 80)),
        dest: dest as u16,
        kind: "".into(),
        zone: "".into(),
        state: match state {
            Listed::Up => EndpointState::Up,
            Listed::Draining => EndpointState::Draining,
            Listed::Gone => EndpointState::Gone,
        },
        weight,
        rank: 0,
    }
}
