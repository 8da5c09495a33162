//! A sender and its clock for tests; feeds events, keeps the actions of the last round.
#![allow(dead_code)]

use indigohold::*;

pub const S: u64 = 1_000_000;

pub fn endpoint(n: u8) -> EndpointId {
    EndpointId { addr: [10, 0, 0, n], port: 7000 }
}

pub fn class(effect: Effect) -> Class {
    Class {
        aim: Micros(4 * S),
        deadline: Micros(28 * S),
        worth: 1.0,
        late_worth: 0.5,
        effect,
        in_order: false,
    }
}

pub fn keyed() -> Effect {
    Effect::Keyed { group: Group::All, window: Micros(12 * S) }
}

pub fn settings() -> Settings {
    Settings {
        senders: 1,
        classes: vec![class(Effect::Safe), class(keyed()), class(Effect::Unsafe)],
        kinds: vec![Kind { routes_apart: false, bundle_max: 1 }],
        tenants: vec![],
        over_share_worth: None,
        fade: Fade::Even,
        discovery: DiscoveryMode::Push,
        weights: Weights::Off,
        report_left: None,
        report_limit: None,
        period: Micros(5_000),
        rules: Rules {
            answer_slack: Some(Micros(20_000)),
            cold_share: Some(0.2),
            cold: Some(Micros(10 * S)),
            overload_factor: Some(2.0),
            tip_after: Some(Micros(2 * S)),
            key_quiet: Some(Micros(300_000)),
            must_ask_in: Some(Micros(10 * S)),
        },
        limits: Limits {
            cancel: true,
            probes: false,
            notes: false,
            slots: Some(16),
            max_open: Some(200),
            max_attempts: Some(8),
            max_retry_after: Some(Micros(2 * S)),
        },
    }
}

pub fn entry(n: u8, destination: u16) -> Entry {
    Entry {
        endpoint: endpoint(n),
        destination: DestinationId(destination),
        kind: KindId(0),
        zone: ZoneId(0),
        state: Listed::Ready,
        weight: 1.0,
        rank: 0,
    }
}

/// A sent attempt that is still out.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub id: u64,
    pub endpoint: EndpointId,
    pub number: u8,
    pub sent: u64,
}

pub struct Bench {
    pub sender: Sender,
    pub now: u64,
    pub last: Vec<Action>,
    pub out: Vec<Attempt>,
    pub tries: std::collections::BTreeMap<u64, u8>,
    pub alarms: Vec<u64>,
}

impl Bench {
    pub fn new(settings: Settings, entries: Vec<Entry>) -> Bench {
        Bench::seeded(settings, entries, 7)
    }

    pub fn seeded(settings: Settings, entries: Vec<Entry>, seed: u64) -> Bench {
        let mut bench = Bench::unlisted(settings, seed);
        bench.feed(vec![Event::WholeList(entries)]);
        bench
    }

    /// One that was told no list yet.
    pub fn unlisted(settings: Settings, seed: u64) -> Bench {
        Bench {
            sender: Sender::new(settings, seed),
            now: S,
            last: vec![],
            out: vec![],
            tries: Default::default(),
            alarms: vec![],
        }
    }

    /// One round at the present time.
    pub fn feed(&mut self, events: Vec<Event>) -> Vec<Action> {
        let mut actions = vec![];
        self.sender.handle(Micros(self.now), &events, &mut actions);
        for action in &actions {
            match action {
                Action::Try { id, endpoint, .. } => {
                    let number = self.tries.entry(id.0).or_default();
                    self.out.push(Attempt { id: id.0, endpoint: *endpoint, number: *number, sent: self.now });
                    *number += 1;
                }
                Action::SetTimer { after, .. } => self.alarms.push(self.now + after.0),
                _ => {}
            }
        }
        self.last = actions.clone();
        actions
    }

    /// Passes time, ringing timers as they were set; returns all that was done on the way.
    pub fn wait(&mut self, micros: u64) -> Vec<Action> {
        let end = self.now + micros;
        let mut all = vec![];
        while let Some(at) = self.alarms.iter().copied().filter(|a| *a <= end).min() {
            self.alarms.retain(|a| *a != at);
            self.now = self.now.max(at);
            all.extend(self.feed(vec![Event::Elapsed(TimerToken(0))]));
        }
        self.now = end;
        all
    }

    pub fn demand(&mut self, id: u64, destination: u16, class: u16) -> Vec<Action> {
        self.demand_key(id, destination, class, None)
    }

    pub fn demand_key(&mut self, id: u64, destination: u16, class: u16, key: Option<u64>) -> Vec<Action> {
        let event = self.message(id, destination, class, key);
        self.feed(vec![event])
    }

    pub fn message(&self, id: u64, destination: u16, class: u16, key: Option<u64>) -> Event {
        Event::Demand(Message {
            id: MessageId(id),
            destination: DestinationId(destination),
            class: ClassId(class),
            tenant: TenantId(0),
            key: key.map(Key),
            due: Micros(self.now + 28 * S),
        })
    }

    /// Ends the oldest attempt that is out for a message.
    pub fn returns(&mut self, id: u64, outcome: Outcome) -> Vec<Action> {
        self.returns_with(id, outcome, vec![])
    }

    pub fn returns_with(&mut self, id: u64, outcome: Outcome, report: Vec<f32>) -> Vec<Action> {
        let at = self.out.iter().position(|a| a.id == id).expect("an attempt is out");
        let a = self.out.remove(at);
        self.feed(vec![Event::Returned {
            id: MessageId(id),
            endpoint: a.endpoint,
            outcome,
            terminal: outcome == Outcome::Ok,
            latency: Micros(self.now - a.sent),
            attempt: a.number,
            report,
        }])
    }
}

pub fn tries(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| match a {
        Action::Try { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}

pub fn answers(actions: &[Action]) -> Vec<u64> {
    let id = |a: &Action| match a {
        Action::Decline { id, .. } | Action::Fail(id) => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(id).collect()
}
