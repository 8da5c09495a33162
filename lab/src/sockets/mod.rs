//! The engine on real sockets: the same world and the same clients against the real program, as many processes as the
//! scenario has instances, all on loopback. One thread and one poller serve partners, register, notices and clients, and
//! write the record; clients are heard before partners, so that what a courier did in order is written in order.
//!
//! Where it differs from virtual time: the network takes what loopback takes, a silent machine's connections come up (the
//! kernel answers for it) and then say nothing, and who is busy is busy.

mod begin;
mod clients;
mod conns;
mod lives;
mod partners;
mod process;
mod registry;
pub mod wire;

pub use process::{program, Scratch, Used};

use crate::clients::{Clients, Wanted};
use crate::record::{Ended, Fact, Instance, MsgNo, Record};
use crate::scenario::{Effect, Folder, Kill, Scenario};
use crate::streams::Streams;
use crate::world::{CallNo, Connect, EndpointNo, Happening, Listed, Reply, World};
use indigohold::core::Clock;
use indigohold::Micros;
use indigohold_relay::relay::Seen;
use indigohold_relay::{Limits, LinkName, Relay, Rule, RuleNo, What};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use process::{Fleet, Said};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use signal_hook::consts::{SIGINT, SIGTERM};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use wire::{Asked, Incoming};

/// How long the loop sleeps at the most, and how long all instances may take to be ready.
const NAP: Duration = Duration::from_millis(20);
const READY: Micros = Micros(30_000_000);
/// Time for whatever is still owed when the last deadline has passed.
const AFTER: Micros = Micros(1_500_000);
const HEARTBEAT: Micros = Micros(2_000_000);
/// A crashed instance is started again after so long.
const CRASHED_AWAY: f64 = 0.6;
/// Bytes read at once.
const CHUNK: usize = 64 * 1024;

/// What a run on sockets gives beside its record.
#[derive(Debug, Default)]
pub struct Found {
    /// Processor time and memory, by instance, all its lives together.
    pub used: Vec<Used>,
    /// What an operator must hear of: instances that ended by themselves, and what could not be read.
    pub findings: Vec<String>,
    /// From hand-in to its answer.
    pub answers: Option<hdrhistogram::Histogram<u64>>,
    /// Steps of the loop.
    pub steps: u64,
    /// The longest time between two steps: more than a nap if the machine, or this process, stood still.
    pub longest_gap: Gap,
    /// What was done to the links, where the scenario has some.
    pub relay: Option<Seen>,
}

/// Time between two steps of the loop.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Gap {
    /// Its length.
    pub length: Micros,
    /// When it was over, since the beginning of the run.
    pub over_at: Micros,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    HandIn(MsgNo),
    /// A client has waited long enough, on this connection.
    Patience(usize, MsgNo),
    Kill(usize),
    Start(Instance),
    Line(Instance, usize),
    Heartbeat(Instance, usize),
    RegisterDown,
    /// The register's turn for a call on this connection has come.
    Serves(Instance, usize, bool),
    Pause(usize),
    GoesOn(Instance),
    /// The folders are copied, for lives to come.
    Copy,
    /// A life that was never ready is killed.
    Unstick(Instance),
}

enum Kind {
    /// Somebody's partner: whose, and which; the call that is out on it.
    Hook { of: Instance, at: EndpointNo, call: Option<CallNo> },
    /// The register and the notices, as this instance knows them.
    Registry { of: Instance, watches: bool },
    /// A client's connection; what it has handed in, when, and whether that was sent before on another.
    Client { to: Instance, asked: Option<(MsgNo, Micros, bool)> },
}

struct Conn {
    stream: TcpStream,
    kind: Kind,
    held: Vec<u8>,
    out: Vec<u8>,
    /// It is closed once all is written.
    last: bool,
}

struct Message {
    wanted: Wanted,
    due: Micros,
    tries: u32,
    holder: Option<Instance>,
    began: bool,
    over: bool,
}

/// One run.
struct Run<'a> {
    scenario: &'a Scenario,
    clock: Clock,
    began: Micros,
    poll: Poll,
    conns: HashMap<usize, Conn>,
    listeners: HashMap<usize, (TcpListener, Instance, Option<EndpointNo>)>,
    /// Where each instance finds each endpoint.
    addrs: HashMap<(Instance, EndpointNo), SocketAddr>,
    /// Between all parties, where the scenario has links; and where each link is dialled.
    relay: Option<Relay>,
    dialled: HashMap<LinkName, SocketAddr>,
    /// Rules by which a link of an endpoint that is down refuses, as the endpoint would.
    refusing: HashMap<EndpointNo, RuleNo>,
    /// Until when the register is busy with calls that came before.
    register_free: Micros,
    next_token: usize,
    world: World,
    record: Record,
    fleet: Fleet,
    serving: Vec<Option<SocketAddr>>,
    /// When an instance was killed or told to end by the scenario, and by which of its kills.
    ending: HashMap<Instance, usize>,
    /// Who is stopped; and whose life is ended since it was never ready.
    paused: HashSet<Instance>,
    stuck: HashSet<Instance>,
    messages: Vec<Message>,
    wants: Clients,
    calls: HashMap<CallNo, (usize, MsgNo, u8)>,
    next_call: CallNo,
    due: BTreeSet<(Micros, u64, Due)>,
    next_due: u64,
    changes: Vec<(EndpointNo, Listed)>,
    states: Vec<Listed>,
    line_at: Vec<Micros>,
    closed: HashSet<EndpointNo>,
    idle: BTreeMap<Instance, Vec<usize>>,
    places: Pcg64Mcg,
    habits: Pcg64Mcg,
    lists: Pcg64Mcg,
    kills: Pcg64Mcg,
    found: Found,
    /// When the last step of the loop began.
    last_step: Micros,
    coming: Option<Wanted>,
    /// What the poller told of partners and the register while clients were heard: of the next turn.
    left_over: Vec<(usize, bool)>,
    /// Whether a fault is set on a link between clients and instances; else clients dial themselves.
    clients_by_relay: bool,
}

fn endpoint_link(of: Instance, at: EndpointNo) -> LinkName {
    LinkName::new(format!("c{of}"), format!("e{at}"))
}

static ENDED: OnceLock<Arc<AtomicBool>> = OnceLock::new();

/// From now on SIGINT and SIGTERM end a run by an error instead of ending this process at once, a second one ends it. Danger:
/// instances that outlive their run go on dialling its ports, which belong to another by then.
pub fn end_on_signals() -> io::Result<()> {
    let ended = ENDED.get_or_init(Arc::default);
    for signal in [SIGINT, SIGTERM] {
        signal_hook::flag::register_conditional_shutdown(signal, 1, ended.clone())?;
        signal_hook::flag::register(signal, ended.clone())?;
    }
    Ok(())
}

/// Runs a scenario against the program; files go into `folder`.
pub fn run(scenario: &Scenario, seed: u64, program: &Path, folder: &Path) -> io::Result<(Record, Found)> {
    let streams = Streams::new(seed);
    let mut run = Run::new(scenario, streams, program, folder)?;
    run.prepare(streams)?;
    run.world = World::new(scenario, streams, run.began);
    run.go()?;
    run.found.used = run.fleet.end();
    if let Some(relay) = &run.relay {
        run.found.relay = Some(relay.read()?);
    }
    Ok((run.record, run.found))
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario, streams: Streams, program: &Path, folder: &Path) -> io::Result<Run<'a>> {
        let clock = Clock::start();
        let now = clock.now();
        let count = scenario.courier.instances;
        let world = World::new(scenario, streams, now + READY); // begun anew once all are ready
        let endpoints = world.list().count();
        Ok(Run {
            scenario,
            clock,
            began: now,
            poll: Poll::new()?,
            conns: HashMap::new(),
            listeners: HashMap::new(),
            addrs: HashMap::new(),
            relay: None,
            dialled: HashMap::new(),
            refusing: HashMap::new(),
            register_free: now,
            next_token: 0,
            world,
            record: Record::new(now),
            fleet: Fleet::new(program, folder, count),
            serving: vec![None; count],
            ending: HashMap::new(),
            paused: HashSet::new(),
            stuck: HashSet::new(),
            messages: Vec::new(),
            wants: Clients::new(scenario, streams),
            calls: HashMap::new(),
            next_call: 0,
            due: BTreeSet::new(),
            next_due: 0,
            changes: Vec::new(),
            states: vec![Listed::Up; endpoints],
            line_at: vec![now; count],
            closed: HashSet::new(),
            idle: BTreeMap::new(),
            places: streams.of("clients/instances"),
            habits: streams.of("clients/habits"),
            lists: streams.of("registry"),
            kills: streams.of("kills"),
            found: Found { answers: Some(crate::figures::histogram()), ..Found::default() },
            last_step: now,
            coming: None,
            left_over: Vec::new(),
            clients_by_relay: false,
        })
    }

    fn now(&self) -> Micros {
        self.clock.now()
    }

    fn token(&mut self) -> Token {
        self.next_token += 1;
        Token(self.next_token)
    }

    fn at(&mut self, at: Micros, due: Due) {
        self.next_due += 1;
        self.due.insert((at, self.next_due, due));
    }

    fn put(&mut self, fact: Fact) {
        let now = self.now();
        self.record.put(now, fact);
    }

    /// Counts a step of the loop, and how long after the last one it begins.
    fn count_step(&mut self) {
        let now = self.now();
        let gap = Gap { length: now - self.last_step, over_at: now - self.began };
        if gap.length > self.found.longest_gap.length {
            self.found.longest_gap = gap;
        }
        self.last_step = now;
        self.found.steps += 1;
    }

    /// One turn of the loop: what has come, what is due, what the world does.
    fn turn(&mut self) -> io::Result<()> {
        self.count_step();
        if ENDED.get().is_some_and(|ended| ended.load(Ordering::SeqCst)) {
            return Err(io::Error::other("it was told to end"));
        }
        let now = self.now();
        let coming = self.coming.map(|w| self.began + w.at);
        let next = [self.due.first().map(|d| d.0), self.world.next_at(), coming].into_iter().flatten().min();
        let nap = next.map_or(NAP, |at| Duration::from_micros((at - now).0).min(NAP));
        let mut came = std::mem::take(&mut self.left_over);
        let nap = if came.is_empty() { nap } else { Duration::ZERO };
        came.extend(self.polled(nap)?);
        self.hear_all(came)?;
        let now = self.now();
        while let Some((at, number, due)) = self.due.first().copied().filter(|d| d.0 <= now) {
            self.due.remove(&(at, number, due));
            self.is_due(due)?;
        }
        self.pump()?;
        self.look_after()
    }
}
