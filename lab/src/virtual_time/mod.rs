//! The engine in virtual time: the courier's own core, with its journal in memory, drives the partners' world. One queue of
//! events by time and number, one thread a run: two runs of a seed are the same to the byte, whatever runs beside them.

mod calls;
mod life;
mod lists;
mod restarts;
mod submission;

use crate::clients::{Clients, Wanted};
use crate::policies::Policy;
use crate::record::{Fact, Instance, MsgNo, Record};
use crate::scenario::Scenario;
use crate::streams::Streams;
use crate::world::{CallNo, EndpointNo, Listed, Reply, World};
use indigohold::core::{End, ListUpdate, Report, Source};
use indigohold::{Micros, Settings};
use life::{Life, Machine, Stage};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
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
}
