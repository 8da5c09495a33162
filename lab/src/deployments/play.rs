//! The small world: clients, endpoints and a list, and what each order of the core leads to.

use super::seen::{Seen, LOOK};
use super::{chance, Played, World};
use crossbeam_channel::Receiver;
use indigohold::core::{Answer, Core, End, Fetch, Note, Options, Order, Report};
use indigohold::store::storage::MemoryStorage;
use indigohold::store::{Journal, Req};
use indigohold::{Micros, Outcome, PeerId, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;

const EPOCH: Micros = Micros(1_790_000_000_000_000);
/// The world has settled by then, though clients have not come yet.
const BEGIN: f64 = 0.5;
/// Time for whatever is still owed when the last deadline has passed.
const AFTER: Micros = Micros(2_000_000);
const DISK: u64 = 8 << 20;
/// Steps of this world in a second: far more than its messages, calls and looks at the clock make.
const STEPS_MOST: u64 = 20_000;
/// Of what goes wrong, so much comes from the list, and from clients that go before their answer.
pub(super) const LISTS_OF_TROUBLE: f64 = 0.3;
const GONE_OF_TROUBLE: f64 = 0.2;

pub(super) enum Event {
    Tick,
    HandIn,
    /// The answer to a client is written, or it went before.
    Answer(u64, bool),
    /// A call has its connection.
    Begin(u64),
    /// A call is over.
    Over(u64),
    Told(u64),
    Whole,
    Changes,
    Probed(indigohold::core::Probe),
    Noted,
}

/// A call that is under way: its messages, and the first byte of each that went.
struct Call {
    fetches: Vec<Fetch>,
    began: Option<Micros>,
}

pub struct Play {
    pub(super) settings: Settings,
    pub(super) world: World,
    pub(super) rng: Pcg64Mcg,
    pub(super) now: Micros,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: HashMap<u64, Event>,
    next: u64,
    pub(super) core: Core,
    orders: Receiver<Order>,
    tick_at: Micros,
    /// Steps since a second began, and when the next one does.
    steps: u64,
    second: Micros,
    calls: HashMap<u64, Call>,
    pub(super) watching: bool,
    pub(super) generation: u64,
    body: Arc<[u8]>,
    pub(super) seen: Seen,
}

impl Play {
    pub fn new(settings: Settings, grace: u64, world: &World) -> Play {
        let journal = Journal::open_storage(Box::new(MemoryStorage::default()), DISK, EPOCH)
            .expect("memory can always be written");
        let (core, orders) = Core::new(settings.clone(), world.seed, EPOCH, journal, Options::default());
        let mut play = Play {
            seen: Seen::new(settings.clone(), grace),
            settings,
            world: world.clone(),
            rng: Pcg64Mcg::seed_from_u64(world.seed),
            now: EPOCH,
            events: BinaryHeap::new(),
            what: HashMap::new(),
            next: 0,
            core,
            orders,
            tick_at: Micros(u64::MAX),
            steps: 0,
            second: EPOCH,
            calls: HashMap::new(),
            watching: false,
            generation: 1,
            body: b"ten trumpet parts"[..].into(),
        };
        play.after(Micros(0), Event::Tick);
        // The list is there before any client, as a configuration's is; with many couriers the first ask comes late.
        play.after(Micros(0), Event::Whole);
        play.after(Micros::from_secs(BEGIN), Event::HandIn);
        play.after(Micros::from_secs(BEGIN), Event::Changes);
        play
    }

    /// Goes on until nobody can be owed anything.
    pub fn play_out(mut self) -> Played {
        let longest = self.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
        let slack = self.settings.rules.answer_slack.unwrap_or_default();
        let end = EPOCH + Micros::from_secs(self.world.seconds) + longest + slack + AFTER;
        while let Some(Reverse((at, n))) = self.events.pop() {
            if at > end || !self.seen.played.broken.is_empty() {
                break;
            }
            // Danger: a core that wants to be called again at once, for ever, stands still.
            self.steps = if at >= self.second { 0 } else { self.steps + 1 };
            self.second = if at >= self.second { at + Micros(1_000_000) } else { self.second };
            if self.steps > STEPS_MOST {
                self.seen.broken(at, format!("{} steps in a second", self.steps));
            }
            self.now = at;
            let Some(event) = self.what.remove(&n) else { continue };
            self.step(event);
            self.settle();
        }
        self.seen.end(self.now)
    }

    pub(super) fn after(&mut self, span: Micros, event: Event) {
        self.next += 1;
        self.events.push(Reverse((self.now + span, self.next)));
        self.what.insert(self.next, event);
    }

    pub(super) fn millis(&mut self, from: f64, to: f64) -> Micros {
        Micros::from_secs(self.rng.random_range(from..to) / 1_000.0)
    }

    pub(super) fn wrong(&mut self, share: f64) -> bool {
        let share = self.world.trouble * share;
        chance(&mut self.rng, share)
    }

    fn step(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Tick if self.tick_at <= now || now == EPOCH => {
                self.tick_at = Micros(u64::MAX);
                self.core.tick(now);
            }
            Event::Tick => {}
            Event::HandIn => self.hand_in(),
            Event::Answer(msg, written) => {
                if written {
                    self.seen.answered(msg);
                } else {
                    self.seen.withdrawn(msg);
                }
                self.core.answered(now, &[(msg, written)]);
            }
            Event::Begin(call) => self.begin(call),
            Event::Over(call) => self.over(call),
            Event::Told(msg) => {
                self.seen.told(msg);
                self.core.report(now, Report::NoticeDelivered(msg));
            }
            Event::Whole => self.whole(),
            Event::Changes => self.changes(),
            Event::Probed(probe) => {
                let outcome = if self.wrong(1.0) { Outcome::Timeout } else { Outcome::Ok };
                let load = self.load();
                self.core.probed(now, &probe, outcome, Micros(20_000), load);
            }
            Event::Noted => {
                let names: Vec<String> = self.seen.lines.keys().cloned().collect();
                let name = names[self.rng.random_range(0..names.len())].clone();
                self.core.noted(now, PeerId(1), &Note::EndpointRecovered(name));
            }
        }
    }

    /// Carries out what is ordered, and sees to the next look at the clock.
    fn settle(&mut self) {
        while let Ok(order) = self.orders.try_recv() {
            self.order(order);
        }
        let now = self.now;
        self.seen.held(now, self.core.pending_messages());
        let at = self.core.next_timer_at().map_or(now + LOOK, |at| at.clamp(now + Micros(1), now + LOOK));
        if at < self.tick_at {
            self.tick_at = at;
            self.after(at - now, Event::Tick);
        }
    }

    fn order(&mut self, order: Order) {
        let now = self.now;
        match order {
            Order::Fetch(fetch) => self.call(vec![fetch]),
            Order::Batch(fetches) => self.call(fetches),
            Order::Cancel { msg, attempt } => {
                self.seen.cancelled(now);
                let is = |f: &Fetch| f.msg == msg && f.attempt == attempt;
                let whole = |c: &Call| c.fetches.len() == 1 && c.fetches.iter().any(is);
                let found = self.calls.iter().find(|(_, c)| whole(c)).map(|(n, _)| *n);
                found.into_iter().for_each(|call| self.ends(call, |_| End::CalledOff));
            }
            Order::Notice(notice) => {
                self.seen.noticed(now, notice.msg, notice.verdict);
                let at = self.millis(1.0, 50.0);
                self.after(at, Event::Told(notice.msg));
            }
            Order::WatchList | Order::ReadList(_) => {
                let at = self.millis(1.0, 100.0);
                self.after(at, Event::Whole);
            }
            Order::Probe(probe) => {
                self.seen.probed(now);
                let at = self.millis(5.0, 200.0);
                self.after(at, Event::Probed(probe));
            }
            Order::Note { .. } => {
                self.seen.noted(now);
                self.after(Micros(1_000), Event::Noted);
            }
            Order::CloseIdle(_) | Order::Nothing => {}
        }
    }

    // ---- Clients ----

    fn hand_in(&mut self) {
        let now = self.now;
        if now > EPOCH + Micros::from_secs(self.world.seconds) {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.world.rate;
        self.after(Micros::from_secs(gap), Event::HandIn);
        let class = self.rng.random_range(0..self.settings.classes.len());
        let tenants = self.settings.tenants.len().max(1);
        let due = now + self.settings.classes[class].deadline;
        self.seen.played.wanted += 1;
        let req = Req {
            id: format!("m{}", self.seen.played.wanted),
            front: 0,
            dest: self.rng.random_range(0..self.world.endpoints.len()) as u16,
            class: class as u16,
            tenant: self.rng.random_range(0..tenants) as u16,
            due,
            head: String::new(),
            body: self.body.clone(),
            keep_id_until: Micros(0),
        };
        match self.core.hand_in(now, vec![req]).pop() {
            Some(Answer::Taken(msg)) => {
                self.seen.taken(msg, class, due);
                let stays = !self.wrong(GONE_OF_TROUBLE);
                let at = self.millis(0.0, 3.0);
                self.after(at, Event::Answer(msg, stays));
            }
            Some(Answer::Refused(wait)) => self.seen.refused(now, wait),
            other => self.seen.broken(now, format!("a message was answered with {other:?}")),
        }
    }

    // ---- Calls ----

    fn call(&mut self, fetches: Vec<Fetch>) {
        self.seen.ordered(self.now, &fetches);
        let at = self.millis(0.1, 20.0);
        let number = self.next + 1;
        self.calls.insert(number, Call { fetches, began: None });
        self.after(at, Event::Begin(number));
    }

    fn begin(&mut self, number: u64) {
        let now = self.now;
        if self.wrong(0.1) {
            return self.ends(number, |_| End::NotConnected);
        }
        let Some(call) = self.calls.get_mut(&number) else { return };
        let mut stay = Vec::new();
        let mut held_back = Vec::new();
        for fetch in std::mem::take(&mut call.fetches) {
            match self.core.report(now, Report::Begin(fetch.clone())) {
                Answer::MayBegin(true) => stay.push(fetch),
                _ => held_back.push(fetch),
            }
        }
        for fetch in held_back {
            self.done(fetch, now, End::Unsent);
        }
        if stay.is_empty() {
            self.calls.remove(&number);
            return;
        }
        stay.iter().for_each(|fetch| self.seen.begun(now, fetch));
        self.seen.slot(now, true);
        let until = stay.iter().map(|f| f.deadline).min().unwrap_or(now);
        self.calls.insert(number, Call { fetches: stay, began: Some(now) });
        let (from, to) = self.world.service;
        let served = self.millis(from * 1_000.0, to * 1_000.0);
        self.after(served.min(until - now), Event::Over(number));
    }

    fn over(&mut self, number: u64) {
        let now = self.now;
        let Some(call) = self.calls.get(&number) else { return };
        let until = call.fetches.iter().map(|f| f.deadline).min().unwrap_or(now);
        if until <= now {
            return self.ends(number, |_| End::TimedOut);
        }
        let (all, one) = (self.trouble(), self.wrong(0.2).then(|| self.trouble()));
        let mut first = true;
        self.ends(number, move |_| if std::mem::take(&mut first) { one.unwrap_or(all) } else { all });
    }

    /// How a call ends.
    fn trouble(&mut self) -> End {
        if !self.wrong(1.0) {
            return End::Delivered;
        }
        let wait = self.millis(1.0, 3_000.0);
        let ends = [
            End::Failed,
            End::Spoilt(None),
            End::Spoilt(Some(wait)),
            End::TurnedAway(None),
            End::TurnedAway(Some(wait)),
            End::TurnedAway(Some(Micros(0))),
            End::Unsent,
            End::Over,
            End::Broke,
            End::NotConnected,
        ];
        ends[self.rng.random_range(0..ends.len())]
    }

    fn ends(&mut self, number: u64, mut how: impl FnMut(&Fetch) -> End) {
        let Some(call) = self.calls.remove(&number) else { return };
        if call.began.is_some() {
            self.seen.slot(self.now, false);
        }
        for fetch in call.fetches {
            let end = how(&fetch);
            let unrun = call.began.is_none() && end.may_have_run();
            let end = if unrun { End::Unsent } else { end };
            self.done(fetch, call.began.unwrap_or(self.now), end);
        }
    }

    fn done(&mut self, fetch: Fetch, sent: Micros, end: End) {
        let (now, load) = (self.now, self.load());
        self.seen.over(now, &fetch, sent, end);
        let latency = now - sent;
        self.core.report(now, Report::Done { fetch, end, latency, load, reply: String::new() });
    }

    /// What an endpoint tells of its load, in the order of the settings, now and then odd.
    fn load(&mut self) -> Vec<f32> {
        let named = [self.settings.report_left, self.settings.report_limit];
        let length = named.iter().flatten().max().map_or(0, |n| n + 1);
        if length == 0 || chance(&mut self.rng, 0.3) {
            return Vec::new();
        }
        let odd = self.wrong(0.3);
        let mut load: Vec<f32> = (0..length).map(|_| self.rng.random()).collect();
        self.settings.report_limit.into_iter().for_each(|n| load[n] = self.world.weight as f32);
        if odd {
            load.iter_mut().for_each(|x| *x = [0.0, -1.0, 1e30, 1e-30][(*x * 4.0) as usize % 4]);
        }
        load
    }
}
