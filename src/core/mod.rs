//! The core: a small blocking facade round the decision module, and the one owner of it. It knows no wire.
//!
//! [`Courier::report`] takes in what happened and answers at once, [`Courier::pick`] blocks until the next order,
//! [`Courier::tick`] moves time. The fronts see reqs, fetches and verdicts, never the module's events or actions.

mod orders;

use crate::api::{Listed as ModuleListed, *};
use crate::choice::Sender;
use crate::store::Journal;
pub use crate::store::{Req, Verdict};
use crossbeam_channel::Receiver;
pub use orders::*;
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The wall clock read once, and moved on by the monotonic one: deadlines outlast the process, and a step of the
/// wall clock moves none of them.
pub struct Clock {
    start: Instant,
    unix: Micros,
}

impl Clock {
    /// Reads the wall clock, once.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: Micros(unix.as_micros() as u64) }
    }

    /// Now, in microseconds since 1970.
    pub fn now(&self) -> Micros {
        self.unix + Micros(self.start.elapsed().as_micros() as u64)
    }

    /// The moment on the monotonic clock.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.unix).0)
    }
}

/// The courier's decisions, shared by all threads.
pub struct Courier {
    /// The one clock.
    pub clock: Clock,
    state: Mutex<State>,
    orders: Receiver<Order>,
}

struct Msg {
    req: Arc<Req>,
    tries: u8,
    /// Orders that wait for the req's answer to be written. Danger: a fetch that began first would deliver a
    /// message that its client has not heard of.
    parked: Option<Vec<Order>>,
    /// What began it was over before: only a notice or an outcome is still due.
    over: bool,
}

struct State {
    sender: Sender,
    journal: Journal,
    out: crossbeam_channel::Sender<Order>,
    msgs: BTreeMap<u64, Msg>,
    by_id: HashMap<String, u64>,
    next_msg: u64,
    max_open: usize,
    backends: BTreeMap<EndpointId, Arc<Backend>>,
    names: HashMap<(u8, String), EndpointId>,
    next_name: u32,
    /// Backends that have gone, and when: forgotten once no message remembers them.
    gone: VecDeque<(Micros, u8, Arc<Backend>)>,
    /// Names on the list of each front that are not gone, with what the module knows of them.
    listed: BTreeMap<(u8, String), Entry>,
    dests: HashSet<u16>,
    /// Fronts whose list came from the register itself, not from what was kept of it.
    fresh: HashSet<u8>,
    /// The lines of a front's kept list, and until when the module is not told them. Danger: a kept list may be old, and a
    /// fetch to a backend that has long gone takes its whole destination for out.
    kept: Option<(Micros, u8, Vec<Entry>)>,
    alarm_at: Option<Micros>,
    stop_at: Option<Micros>,
    failed: Option<String>,
}

impl Courier {
    /// Takes up what the journal says is owed.
    pub fn new(settings: Settings, seed: u64, clock: Clock, journal: Journal) -> Courier {
        let (out, orders) = crossbeam_channel::unbounded();
        let now = clock.now();
        let next_msg = journal.owed().keys().next_back().map_or(0, |m| m + 1).max(now.0);
        let max_open = settings.limits.max_open.map_or(usize::MAX, |m| m as usize);
        let mut state = State {
            sender: Sender::new(settings, seed),
            journal,
            out,
            msgs: BTreeMap::new(),
            by_id: HashMap::new(),
            next_msg,
            max_open,
            backends: BTreeMap::new(),
            names: HashMap::new(),
            next_name: 1,
            gone: VecDeque::new(),
            listed: BTreeMap::new(),
            dests: HashSet::new(),
            fresh: HashSet::new(),
            kept: None,
            alarm_at: None,
            stop_at: None,
            failed: None,
        };
        state.resume(now);
        Courier { clock, state: Mutex::new(state), orders }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Blocks until there is something to do. The courier lives as long as its process, so orders never end.
    pub fn pick(&self) -> Order {
        self.orders.recv().unwrap_or(Order::Nothing)
    }

    /// Takes in what happened.
    pub fn report(&self, what: Report) -> Answer {
        let now = self.clock.now();
        let mut state = self.state();
        state.report(now, what)
    }

    /// Moves time; says when it wants to be called again at the latest.
    pub fn tick(&self) -> Instant {
        let now = self.clock.now();
        let mut state = self.state();
        if let Some((.., lines)) = state.kept.take_if(|k| k.0 <= now) {
            state.feed(now, &[Event::ListChange(lines)], None);
        }
        if state.alarm_at.is_some_and(|at| at <= now) {
            state.alarm_at = None;
            state.feed(now, &[Event::Elapsed(TimerToken(0))], None);
        }
        let soon = now + Micros(TICK_US);
        self.clock.instant(state.alarm_at.map_or(soon, |at| at.min(soon)))
    }

    /// The process is to end at this moment: nothing begins that cannot finish by then.
    pub fn stop(&self, at: Instant) {
        let left = at.saturating_duration_since(Instant::now());
        let at = self.clock.now() + Micros(left.as_micros() as u64);
        self.state().stop_at = Some(at);
    }

    /// How many messages are owed their end.
    pub fn owed(&self) -> usize {
        self.state().msgs.len()
    }

    /// How many backends are known, those counted that went lately.
    pub fn backends(&self) -> usize {
        self.state().backends.len()
    }

    /// Why the journal can't be kept any more, if so: the courier must end.
    pub fn failed(&self) -> Option<String> {
        self.state().failed.clone()
    }
}

const TICK_US: u64 = 5_000;
/// How long a kept list waits for news of the register. The register answers within milliseconds if it is there.
const KEPT_HELD: Micros = Micros(500_000);
/// A backend that has gone is known for so long: more than any window in which a message may be repeated.
const GONE_KEPT: Micros = Micros(60_000_000);
const GONE_MOST: usize = 512;
/// A fetch that begins this shortly before the end would be cut off.
const LAST_BEGIN: Micros = Micros(700_000);
/// How long a client is told to stay away where the module has said nothing.
const STAY_AWAY: Micros = Micros(1_000_000);

impl State {
    fn resume(&mut self, now: Micros) {
        let owed = self.journal.owed().clone();
        let mut events = Vec::new();
        for (id, owed) in owed {
            let req = owed.req;
            self.by_id.insert(req.id.clone(), id);
            let over = owed.verdict.is_some();
            self.msgs.insert(id, Msg { req: req.clone(), tries: owed.tries as u8, parked: None, over });
            if let Some(verdict) = owed.verdict {
                let _ = self.out.send(Order::Notice(Notice { msg: id, req, verdict, said: owed.said }));
                continue;
            }
            // A fetch without an outcome may have run.
            let risk = owed.risk.or(owed.open).map(|(at, name)| (at, self.intern(req.front, &name)));
            events.push(Event::Resumed { message: message(id, &req), tries: owed.tries, risk });
        }
        self.feed(now, &events, None);
    }

    /// The module's name for a backend. Its address may differ from courier to courier and change.
    fn intern(&mut self, front: u8, name: &str) -> EndpointId {
        let next = EndpointId { addr: self.next_name.to_be_bytes(), port: 0 };
        *self.names.entry((front, name.to_owned())).or_insert_with(|| {
            self.next_name += 1;
            next
        })
    }

    fn report(&mut self, now: Micros, what: Report) -> Answer {
        match what {
            Report::Req(req) => return self.take(now, req),
            Report::Answered(msg) => {
                let parked = self.msgs.get_mut(&msg).and_then(|m| m.parked.take());
                parked.into_iter().flatten().for_each(|order| self.order(order));
            }
            Report::Withdrawn(msg) => self.withdrawn(now, msg),
            Report::Begin(fetch) => return Answer::Go(self.begin(now, &fetch)),
            Report::Done { fetch, end, latency, load, said } => {
                self.done(now, &fetch, end, latency, load, said);
            }
            Report::Told(msg) => self.forget(now, msg),
            Report::List { front, whole, backends, fresh } => {
                if fresh {
                    self.fresh.insert(front);
                }
                let lines = self.list(now, front, whole, backends);
                if !fresh {
                    self.kept = Some((now + KEPT_HELD, front, lines));
                    return Answer::Noted;
                }
                let mut all = self.kept.take_if(|k| k.1 == front).map_or(Vec::new(), |k| k.2);
                all.extend(lines);
                self.feed(now, &[Event::ListChange(all)], None);
            }
            Report::ListFailed => self.feed(now, &[Event::ListFailed], None),
        }
        Answer::Noted
    }

    /// Taken or refused at once. The journal has it before the answer says so.
    fn take(&mut self, now: Micros, req: Req) -> Answer {
        // Handed in again under the same id: its answer was lost on the way, and it is owed, or was answered, once.
        if self.by_id.contains_key(&req.id) || self.journal.knows(&req.id, now) {
            return Answer::Known;
        }
        if !self.dests.contains(&req.dest) {
            return if self.fresh.contains(&req.front) {
                Answer::NoSuchDest
            } else {
                Answer::Refused(STAY_AWAY)
            };
        }
        if self.failed.is_some() || self.msgs.len() >= self.max_open {
            return Answer::Refused(STAY_AWAY);
        }
        let id = self.next_msg;
        let event = Event::Demand(message(id, &req));
        let req = Arc::new(req);
        match self.journal.take(id, req.clone()) {
            Ok(true) => {}
            Ok(false) => return Answer::Refused(STAY_AWAY),
            Err(e) => {
                self.broken(e);
                return Answer::Refused(STAY_AWAY);
            }
        }
        self.next_msg += 1;
        self.by_id.insert(req.id.clone(), id);
        let msg = Msg { req, tries: 0, parked: Some(Vec::new()), over: false };
        self.msgs.insert(id, msg);
        let mut refused = None;
        self.feed(now, &[event], Some((id, &mut refused)));
        match refused {
            Some(Verdict::HandedBack(wait)) => {
                self.forget(now, id);
                Answer::Refused(wait)
            }
            Some(Verdict::GivenUp) => {
                self.forget(now, id);
                Answer::Refused(STAY_AWAY)
            }
            None => Answer::Taken(id),
        }
    }

    /// The client went before its answer was written.
    fn withdrawn(&mut self, now: Micros, msg: u64) {
        let Some(parked) = self.msgs.get_mut(&msg).and_then(|m| m.parked.take()) else { return };
        let mut events = vec![Event::Hangup(MessageId(msg))];
        for order in parked {
            if let Order::Fetch(fetch) = order {
                events.push(returned(&fetch, Outcome::Moot, true, Micros(0), Vec::new()));
            }
        }
        self.forget(now, msg);
        self.feed(now, &events, None);
    }

    /// Just before the first byte of a fetch, which the journal must hear of first.
    fn begin(&mut self, now: Micros, fetch: &Fetch) -> bool {
        let alive = self.msgs.get(&fetch.msg).is_some_and(|m| !m.over);
        let ends = self.stop_at.is_some_and(|at| now + LAST_BEGIN >= at);
        let in_time = now < fetch.req.due;
        if !alive || ends || !in_time || !self.sender.may_begin(now, fetch.at) {
            return false;
        }
        match self.journal.begin(fetch.msg, now, &fetch.backend.name) {
            Ok(()) => true,
            Err(e) => {
                self.broken(e);
                false
            }
        }
    }

    fn done(&mut self, now: Micros, fetch: &Fetch, end: End, latency: Micros, load: Vec<f32>, said: String) {
        if end == End::Unsent && self.stop_at.is_some_and(|at| now + LAST_BEGIN >= at) {
            return; // the next life takes it up, with no attempt counted
        }
        let (outcome, over) = match end {
            End::Delivered => (Outcome::Ok, true),
            End::Failed => (Outcome::Error, false),
            End::Spoilt(wait) => (Outcome::Spoilt(wait), false),
            End::TurnedAway(wait) => (Outcome::Full(wait), false),
            End::Unsent => (Outcome::Moot, false),
            End::Over | End::Rejected => (Outcome::Moot, true),
            End::NotConnected => (Outcome::ConnectFailed, false),
            End::Broke => (Outcome::Reset, false),
            End::TimedOut => (Outcome::Timeout, false),
            End::CalledOff => (Outcome::Cancelled, false),
        };
        if end != End::Delivered {
            let written = self.journal.outcome(fetch.msg, end.may_have_run(), &said);
            written.unwrap_or_else(|e| self.broken(e));
        }
        match end {
            End::Delivered | End::Over => self.forget(now, fetch.msg),
            End::Rejected if self.msgs.get(&fetch.msg).is_some_and(|m| !m.over) => {
                self.verdict(fetch.msg, Verdict::GivenUp, &mut None);
            }
            _ => {}
        }
        self.feed(now, &[returned(fetch, outcome, over, latency, load)], None);
    }

    /// Each front has a list of its own; a whole one ends only what that front had listed before.
    fn list(&mut self, now: Micros, front: u8, whole: bool, backends: Vec<ListLine>) -> Vec<Entry> {
        let mut lines = Vec::with_capacity(backends.len());
        if whole {
            let named: HashSet<&str> = backends.iter().map(|b| b.name.as_str()).collect();
            let of_front = self.listed.iter().filter(|((f, _), _)| *f == front);
            let missing = of_front.filter(|((_, name), _)| !named.contains(name.as_str()));
            for (_, entry) in missing {
                lines.push(Entry { state: ModuleListed::Gone, ..entry.clone() });
                if let Some(backend) = self.backends.get(&entry.endpoint) {
                    self.gone.push_back((now, front, backend.clone()));
                    // The receiver lives in the same struct; it cannot be gone.
                    let _ = self.out.send(Order::LetGo(backend.clone()));
                }
            }
            self.listed.retain(|(f, name), _| *f != front || named.contains(name.as_str()));
        }
        for backend in backends {
            let endpoint = self.intern(front, &backend.name);
            let entry = Entry {
                endpoint,
                destination: DestinationId(backend.dest),
                kind: KindId(backend.kind),
                zone: ZoneId(backend.zone),
                state: match backend.state {
                    ListState::Up => ModuleListed::Ready,
                    ListState::Draining => ModuleListed::Draining,
                    ListState::Gone => ModuleListed::Gone,
                },
                weight: backend.weight,
                rank: backend.rank,
            };
            let key = (front, backend.name.clone());
            if backend.state == ListState::Gone {
                self.listed.remove(&key);
            } else {
                self.dests.insert(backend.dest);
                self.listed.insert(key, entry.clone());
            }
            let listed = Arc::new(Backend { name: backend.name, addr: backend.addr });
            if backend.state == ListState::Gone {
                self.gone.push_back((now, front, listed.clone()));
            }
            // Nothing new goes to a connection of one that drains, is gone or has moved.
            let before = self.backends.insert(endpoint, listed.clone()).filter(|b| *b != listed);
            let parts = backend.state != ListState::Up;
            before.into_iter().chain(parts.then_some(listed)).for_each(|b| self.order(Order::LetGo(b)));
            lines.push(entry);
        }
        self.forget_gone(now);
        lines
    }

    /// Danger: where backends come and go all day, their names alone fill memory in the end.
    fn forget_gone(&mut self, now: Micros) {
        let over =
            |s: &State| s.gone.len() > GONE_MOST || s.gone.front().is_some_and(|g| g.0 + GONE_KEPT <= now);
        while over(self) {
            let Some((_, front, backend)) = self.gone.pop_front() else { return };
            let key = (front, backend.name.clone());
            // It may have come back.
            if !self.listed.contains_key(&key) {
                if let Some(endpoint) = self.names.remove(&key) {
                    self.backends.remove(&endpoint);
                }
            }
        }
    }

    /// Gives events to the module and carries out what it decides. A verdict on the req that is being handed in
    /// (`asking`) is its answer, not an order.
    fn feed(&mut self, now: Micros, events: &[Event], mut asking: Option<(u64, &mut Option<Verdict>)>) {
        let mut actions = Vec::new();
        self.sender.handle(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Try { id, endpoint, timeout } => self.fetch(now, id.0, endpoint, timeout),
                Action::Decline { id, stay_away } => {
                    self.verdict(id.0, Verdict::HandedBack(stay_away), &mut asking);
                }
                Action::Fail(id) => self.verdict(id.0, Verdict::GivenUp, &mut asking),
                Action::CallOff { id, attempt } => self.order(Order::Cancel { msg: id.0, attempt }),
                Action::SetTimer { after, .. } => {
                    let at = now + after;
                    self.alarm_at = Some(self.alarm_at.map_or(at, |a| a.min(at)));
                }
                Action::Follow | Action::Fetch => self.order(Order::Watch),
                Action::LetGo(endpoint) => {
                    if let Some(backend) = self.backends.get(&endpoint) {
                        self.order(Order::LetGo(backend.clone()));
                    }
                }
                Action::Log(words) => eprintln!("indigohold: {words}"),
                // Neither is permitted by the settings of a courier on sockets.
                Action::Probe(_) | Action::Note { .. } => {}
            }
        }
    }

    fn fetch(&mut self, now: Micros, msg: u64, at: EndpointId, cap: Micros) {
        let (Some(held), Some(backend)) = (self.msgs.get_mut(&msg), self.backends.get(&at)) else { return };
        let mut until = (now + cap).min(held.req.due);
        if let Some(stop_at) = self.stop_at {
            until = until.min(stop_at);
        }
        let fetch =
            Fetch { msg, attempt: held.tries, at, backend: backend.clone(), req: held.req.clone(), until };
        held.tries += 1;
        match &mut held.parked {
            Some(parked) => parked.push(Order::Fetch(fetch)),
            None => self.order(Order::Fetch(fetch)),
        }
    }

    fn verdict(&mut self, msg: u64, verdict: Verdict, asking: &mut Option<(u64, &mut Option<Verdict>)>) {
        if let Some((id, answer)) = asking {
            if *id == msg {
                **answer = Some(verdict);
                return;
            }
        }
        self.journal.verdict(msg, verdict).unwrap_or_else(|e| self.broken(e));
        let Some(held) = self.msgs.get_mut(&msg) else { return };
        held.over = true;
        let said = self.journal.owed().get(&msg).map(|o| o.said.clone()).unwrap_or_default();
        let notice = Order::Notice(Notice { msg, req: held.req.clone(), verdict, said });
        match &mut held.parked {
            Some(parked) => parked.push(notice),
            None => self.order(notice),
        }
    }

    fn order(&self, order: Order) {
        // The receiver lives in the same struct as this state; it cannot be gone.
        let _ = self.out.send(order);
    }

    fn forget(&mut self, now: Micros, msg: u64) {
        self.journal.end(msg, now).unwrap_or_else(|e| self.broken(e));
        self.drop_msg(msg);
    }

    fn drop_msg(&mut self, msg: u64) {
        if let Some(held) = self.msgs.remove(&msg) {
            self.by_id.remove(&held.req.id);
        }
    }

    fn broken(&mut self, e: std::io::Error) {
        eprintln!("indigohold: the journal can't be written: {e}");
        self.failed.get_or_insert(e.to_string());
    }
}

fn message(id: u64, req: &Req) -> Message {
    Message {
        id: MessageId(id),
        destination: DestinationId(req.dest),
        class: ClassId(req.class),
        tenant: TenantId(req.tenant),
        key: None,
        due: req.due,
    }
}

fn returned(fetch: &Fetch, outcome: Outcome, terminal: bool, latency: Micros, report: Vec<f32>) -> Event {
    let (id, endpoint, attempt) = (MessageId(fetch.msg), fetch.at, fetch.attempt);
    Event::Returned { id, endpoint, outcome, terminal, latency, attempt, report }
}

/// A backend as the fronts reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Backend {
    /// Its name in the list, the same at every courier.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
}
