//! One instance of the courier in virtual time: its core, its connections, its threads for fetches, and its folder.

use crate::scenario::{Effect, Group, Scenario};
use crate::world::{CallNo, EndpointNo};
use crossbeam_channel::Receiver;
use indigohold::core::{Core, Fetch, Options, Order};
use indigohold::store::storage::MemoryStorage;
use indigohold::store::Journal;
use indigohold::{
    Class, DecisionEngine, DiscoveryMode, Kind, Limits, Micros, Rules, Settings, Tenant, Weights, WorthDecay,
};
use std::collections::{HashMap, HashSet, VecDeque};

/// A machine: what outlasts its processes, and the process if there is one.
#[derive(Default)]
pub struct Machine {
    /// The folder that lasts.
    pub disk: MemoryStorage,
    /// Lives so far.
    pub lives: u32,
    /// The one now.
    pub life: Option<Life>,
}

/// How far a fetch is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// It has no connection yet.
    Connecting,
    /// It has one.
    Connected,
    /// Its call is out.
    Out(CallNo),
}

/// A fetch that a thread is busy with.
pub struct Out {
    /// The fetch.
    pub fetch: Fetch,
    /// Where to.
    pub to: EndpointNo,
    /// How far it is.
    pub stage: Stage,
    /// Since when.
    pub sent: Micros,
}

/// A process.
pub struct Life {
    /// Its number on its machine.
    pub number: u32,
    /// The courier.
    pub core: Core,
    /// What it orders.
    pub orders: Receiver<Order>,
    /// Fetches that wait for a thread.
    pub queue: VecDeque<Fetch>,
    /// Fetches under way, by message and attempt.
    pub out: HashMap<(u64, u8), Out>,
    /// Idle connections, and since when.
    pub idle: HashMap<EndpointNo, Vec<Micros>>,
    /// When it looks at its clock next.
    pub tick_at: Micros,
    /// When it was told to end.
    pub ending: Option<Micros>,
    /// Its watch on the list is open.
    pub watching: bool,
    /// When its last change of the list comes.
    pub list_at: Micros,
    /// Destinations of which it has been told.
    pub taught: HashSet<usize>,
    threads: usize,
}

impl Life {
    /// A process that begins, with whatever its folder holds.
    pub fn new(
        sender: Box<dyn DecisionEngine>, settings: &Settings, disk: MemoryStorage, bytes: u64, seed: u64,
        now: Micros, number: u32,
    ) -> Life {
        let journal =
            Journal::open_storage(Box::new(disk), bytes, now).expect("memory can always be written");
        let (core, orders) = Core::with_policy(sender, settings, seed, now, journal, Options::default());
        Life {
            number,
            core,
            orders,
            queue: VecDeque::new(),
            out: HashMap::new(),
            idle: HashMap::new(),
            tick_at: Micros(u64::MAX),
            ending: None,
            watching: false,
            list_at: now,
            taught: HashSet::new(),
            threads: settings.limits.slots.map_or(64, |s| s as usize) + 2,
        }
    }

    /// A thread is free for another fetch.
    pub fn free(&self) -> bool {
        self.out.len() < self.threads
    }

    /// An idle connection, if there is one in order; and how many had been idle for too long.
    pub fn take_idle(&mut self, to: EndpointNo, now: Micros, keep: Micros) -> (bool, usize) {
        let Some(idle) = self.idle.get_mut(&to) else { return (false, 0) };
        let before = idle.len();
        idle.retain(|since| *since + keep > now);
        let stale = before - idle.len();
        (idle.pop().is_some(), stale)
    }
}

/// The courier's settings, as the platform would tell them.
pub fn settings(scenario: &Scenario) -> Settings {
    let conf = &scenario.destinations;
    let class = |c: &crate::scenario::Class| Class {
        aim: c.aim,
        deadline: c.deadline,
        worth: c.worth,
        late_worth: c.late_worth,
        effect: match c.effect {
            Effect::Safe => indigohold::Effect::Safe,
            Effect::Keyed(group, window) => indigohold::Effect::Keyed {
                group: match group {
                    Group::All => indigohold::DedupGroup::All,
                    Group::Endpoint => indigohold::DedupGroup::Endpoint,
                },
                window,
            },
            Effect::Unsafe => indigohold::Effect::Unsafe,
        },
        in_order: false,
        end_report: indigohold::EndReport::Notice,
    };
    Settings {
        senders: scenario.courier.instances as u32,
        classes: scenario.classes.iter().map(class).collect(),
        kinds: vec![Kind { name: String::new(), separate_routes: false, max_batch_size: 1 }],
        tenants: scenario.tenants.iter().map(|t| Tenant { quota_per_s: t.quota }).collect(),
        over_share_worth: None,
        worth_decay: WorthDecay::Linear,
        discovery: DiscoveryMode::Subscribe,
        weights: if conf.told_weights { Weights::Nominal } else { Weights::Off },
        report_left: None,
        report_limit: None,
        period: Micros(5_000),
        rules: Rules {
            answer_slack: Some(Micros(250_000)),
            cold_share: Some(conf.cold_share),
            cold: Some(conf.cold),
            overload_factor: Some(conf.topple_factor),
            tip_after: Some(conf.topple_after),
            key_quiet: None,
            must_ask_in: Some(Micros(10_000_000)),
        },
        limits: Limits {
            cancel: true,
            probes: false,
            gossip: false,
            slots: Some(scenario.courier.slots as u32),
            max_open: Some(scenario.courier.max_open as u32),
            max_attempts: Some(scenario.courier.attempts),
            max_retry_after: Some(Micros(5_000_000)),
        },
    }
}
