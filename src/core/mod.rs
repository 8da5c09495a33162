//! The core: a small blocking facade round the decision module, and the one owner of it. It knows no wire.
//!
//! [`Courier::report`] takes in what happened and answers at once, [`Courier::pick`] blocks until the next order,
//! [`Courier::tick`] moves time. The fronts see reqs, fetches and verdicts, never the module's events or actions.

pub mod draining;
pub mod handover;
mod orders;
pub mod remember;

use crate::admin::figures::{Board, Ended, Figures};
use crate::admin::hand::Hand;
use crate::api::{Listed as ModuleListed, *};
use crate::comeback::memory::Waits;
use crate::register::kept::Edition;
use crate::register::phase::Phase;
use crate::register::trust::{CallEnd, Heard};
use crate::register::{Change, News, Register, Rules as RegisterRules};
use crate::store::Journal;
pub use crate::store::{Req, Verdict};
use crate::Sender;
use crossbeam_channel::Receiver;
use draining::Draining;
use handover::{Mode, Passed};
pub use orders::*;
use remember::Remembers;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The wall clock read once, and moved on by the monotonic one: deadlines outlast the process, and a step of the
/// wall clock moves none of them.
#[derive(Debug, Clone, Copy)]
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
    state: Mutex<Core>,
    /// Fetches that are over and that the core has not heard of yet, and how many: whoever holds the state takes them in
    /// before it lets go. Threads that end a fetch never wait for the state, and what ends together is one round of the
    /// module and one write of the journal.
    desk: Mutex<Vec<Over>>,
    on_desk: AtomicUsize,
    orders: Receiver<Order>,
    /// What operators read; it is as it was when the state was last let go of.
    pub board: Arc<Board>,
    /// Fronts that take nothing on.
    shut: [AtomicBool; draining::FRONTS],
}

/// What the operators settled for the core.
#[derive(Default)]
pub struct Options {
    /// For the register.
    pub register: RegisterRules,
    /// Where drains are written down; `None`: none can be asked for.
    pub drains: Option<PathBuf>,
    /// The class of what the courier hands in itself to tell an end, as bounces are: a drain lets it in and does not end
    /// it, else an end would go untold.
    pub own_class: Option<u16>,
    /// Endpoints that are left out by hand; `None`: none can be.
    pub hand: Option<Arc<Hand>>,
    /// What the process passed that served until now.
    pub passed: Option<Passed>,
    /// Where what the next life must know is written down; `None`: nowhere.
    pub memory: Option<PathBuf>,
}

/// A fetch that is over.
struct Over {
    fetch: Fetch,
    end: End,
    latency: Micros,
    load: Vec<f32>,
    said: String,
}

/// The state while one thread holds it. What lies on the desk by the end is taken in.
struct Held<'a> {
    courier: &'a Courier,
    state: Option<MutexGuard<'a, Core>>,
}

impl Deref for Held<'_> {
    type Target = Core;
    fn deref(&self) -> &Core {
        self.state.as_ref().expect("held until it is dropped")
    }
}

impl DerefMut for Held<'_> {
    fn deref_mut(&mut self) -> &mut Core {
        self.state.as_mut().expect("held until it is dropped")
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.state.take() {
            self.courier.clear_desk(state);
        }
    }
}

struct Msg {
    req: Arc<Req>,
    tries: u8,
    /// Orders that wait for the req's answer to be written. Danger: a fetch that began first would deliver a
    /// message that its client has not heard of.
    parked: Option<Vec<Order>>,
    /// What began it was over before: only a notice or an outcome is still due.
    over: bool,
    /// Somebody else who handed it in was told that it is taken on.
    shared: bool,
    /// A call is ordered, out, or waits for its turn.
    out: bool,
}

/// The one owner of all that is decided: the module, the journal, the register, the messages owed. It reads no clock and
/// waits for nothing; whoever drives it says what time it is and carries out its orders. [`Courier`] shares one among
/// threads; an emulator drives as many as it likes in a time of its own.
pub struct Core {
    sender: Box<dyn Decide>,
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
    /// Which backends are listed, by whom, and how far they are trusted.
    register: Register,
    /// Fetches that wait for their turn at a backend that is not fully trusted, with their time-outs.
    in_line: BTreeMap<u64, (Fetch, Micros)>,
    draining: Draining,
    mode: Mode,
    /// Until when a destination is to be left alone by answers that are not read to their end yet. The module hears of a
    /// wait with the whole answer; by then this is over or repeats it.
    waits: Waits,
    remembers: Remembers,
    /// Calls that the process before carries out to their end.
    away: BTreeMap<u64, Fetch>,
    hand: Option<Arc<Hand>>,
    /// The version of it that holds here.
    hand_seen: u64,
    figures: Figures,
    members_at: Micros,
    alarm_at: Option<Micros>,
    stop_at: Option<Micros>,
    failed: Option<String>,
}

impl Courier {
    /// Takes up what the journal says is owed.
    pub fn new(settings: Settings, seed: u64, clock: Clock, journal: Journal, options: Options) -> Courier {
        let (core, orders) = Core::new(settings, seed, clock.now(), journal, options);
        let courier = Courier {
            clock,
            state: Mutex::new(core),
            desk: Mutex::default(),
            on_desk: AtomicUsize::new(0),
            orders,
            board: Arc::default(),
            shut: draining::none_shut(),
        };
        courier.flag(&courier.state());
        courier
    }

    fn state(&self) -> Held<'_> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        Held { courier: self, state: Some(state) }
    }

    /// A fetch is over. It is taken in at once, by this thread or by the one that holds the state.
    fn over(&self, over: Over) {
        let mut desk = self.desk.lock().unwrap_or_else(PoisonError::into_inner);
        desk.push(over);
        // Danger: written after the lock is gone, a later smaller number would hide what lies there.
        self.on_desk.store(desk.len(), Ordering::SeqCst);
        drop(desk);
        match self.state.try_lock() {
            Ok(state) => self.clear_desk(state),
            Err(TryLockError::Poisoned(state)) => self.clear_desk(state.into_inner()),
            // Whoever holds it looks at the desk once more after letting go.
            Err(TryLockError::WouldBlock) => {}
        }
    }

    /// Takes in what lies on the desk and lets go of the state. Danger: what is put there in between, by a thread that
    /// found the state held, would lie until the next event; so the desk is looked at again afterwards.
    fn clear_desk<'a>(&'a self, mut state: MutexGuard<'a, Core>) {
        loop {
            if self.on_desk.load(Ordering::SeqCst) > 0 {
                let mut desk = self.desk.lock().unwrap_or_else(PoisonError::into_inner);
                let over = std::mem::take(&mut *desk);
                self.on_desk.store(0, Ordering::SeqCst);
                drop(desk);
                state.done(self.clock.now(), over);
            }
            self.board.publish(state.figures());
            drop(state);
            if self.on_desk.load(Ordering::SeqCst) == 0 {
                return;
            }
            state = match self.state.try_lock() {
                Ok(state) => state,
                Err(TryLockError::Poisoned(state)) => state.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
        }
    }

    /// Blocks until there is something to do. The courier lives as long as its process, so orders never end.
    pub fn pick(&self) -> Order {
        self.orders.recv().unwrap_or(Order::Nothing)
    }

    /// Takes in what happened.
    pub fn report(&self, what: Report) -> Answer {
        if let Report::Done { fetch, end, latency, load, said } = what {
            self.over(Over { fetch, end, latency, load, said });
            return Answer::Noted;
        }
        let mut state = self.state();
        // Danger: what lies on the desk may tell to wait, or that the message is over, and was there before.
        if matches!(what, Report::Begin(_)) && self.on_desk.load(Ordering::SeqCst) > 0 {
            drop(state);
            state = self.state();
        }
        let now = self.clock.now();
        state.report(now, what)
    }

    /// Reqs that came together are taken or refused together, each by itself: one write of the journal covers all that are
    /// taken, and one round of the module decides on them, in their order.
    pub fn hand_in(&self, reqs: Vec<Req>) -> Vec<Answer> {
        let now = self.clock.now();
        self.state().take(now, reqs)
    }

    /// The answers that took these messages on have been written, or could not be.
    pub fn answered(&self, written: &[(u64, bool)]) {
        let now = self.clock.now();
        self.state().answered(now, written);
    }

    /// Moves time; says when it wants to be called again at the latest.
    pub fn tick(&self) -> Instant {
        let now = self.clock.now();
        let next = self.state().tick(now);
        self.clock.instant(next)
    }

    /// The process is to end at this moment: nothing begins that cannot finish by then.
    pub fn stop(&self, at: Instant) {
        let left = at.saturating_duration_since(Instant::now());
        let at = self.clock.now() + Micros(left.as_micros() as u64);
        self.state().stop(at);
    }

    /// How many messages are owed their end.
    pub fn owed(&self) -> usize {
        self.state().owed()
    }

    /// How many backends are known, those counted that went lately.
    pub fn backends(&self) -> usize {
        self.state().backends.len()
    }

    /// What the courier may do, by what its list of this front rests on.
    pub fn phase(&self, front: u8) -> Phase {
        self.state().register.get(front).map_or(Phase::Cold, |b| b.phase())
    }

    /// Whether a front calls itself ready.
    pub fn ready(&self, front: u8) -> bool {
        let now = self.clock.now();
        self.state().register.book(front, now).ready(now)
    }

    /// The version of a front's list after which its changes are to be asked for.
    pub fn list_version(&self, front: u8) -> u64 {
        self.state().register.get(front).map_or(0, |b| b.version())
    }

    /// The number of a front's list and when it was last true, once discovery has spoken.
    pub fn edition(&self, front: u8) -> Option<(u64, Micros)> {
        self.state().register.get(front)?.edition()
    }

    /// That list, and the bytes that the journal takes beside it.
    pub fn to_keep(&self, front: u8) -> Option<(Edition, u64)> {
        let state = self.state();
        Some((state.register.get(front)?.to_keep()?, state.journal.on_disk()))
    }

    /// Why the journal can't be kept any more, if so: the courier must end.
    pub fn failed(&self) -> Option<String> {
        self.state().failed.clone()
    }
}

const TICK_US: u64 = 5_000;
/// A backend that has gone is known for so long: more than any window in which a message may be repeated.
const GONE_KEPT: Micros = Micros(60_000_000);
const GONE_MOST: usize = 512;
/// Endpoints are counted again so often, though nothing was told of them: the module may avoid another.
const MEMBERS_EVERY: Micros = Micros(100_000);
/// The front whose list says whether the instance calls itself ready.
const FIRST_FRONT: u8 = 0;
/// A fetch that begins this shortly before the end would be cut off.
const LAST_BEGIN: Micros = Micros(700_000);
/// How long a client is told to stay away where the module has said nothing.
const STAY_AWAY: Micros = Micros(1_000_000);

impl Core {
    /// A core that decides by the module, and its orders. What the journal says is owed is taken up.
    pub fn new(
        settings: Settings, seed: u64, now: Micros, journal: Journal, options: Options,
    ) -> (Core, Receiver<Order>) {
        let sender = Box::new(Sender::new(settings.clone(), seed));
        Core::with(sender, &settings, seed, now, journal, options)
    }

    /// The same with another module.
    pub fn with(
        sender: Box<dyn Decide>, settings: &Settings, seed: u64, now: Micros, journal: Journal,
        options: Options,
    ) -> (Core, Receiver<Order>) {
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        let longest = settings.limits.max_retry_after;
        let draining = Draining::new(options.drains.as_deref(), effects, longest, options.own_class);
        let (out, orders) = crossbeam_channel::unbounded();
        let next_msg = journal.owed().keys().next_back().map_or(0, |m| m + 1).max(now.0);
        let max_open = settings.limits.max_open.map_or(usize::MAX, |m| m as usize);
        let mut core = Core {
            sender,
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
            register: Register::new(options.register, seed),
            in_line: BTreeMap::new(),
            draining,
            mode: Mode::Decides,
            waits: Waits::new(),
            remembers: Remembers::new(options.memory),
            away: BTreeMap::new(),
            hand: options.hand,
            hand_seen: 0,
            figures: Figures::default(),
            members_at: Micros(0),
            alarm_at: None,
            stop_at: None,
            failed: None,
        };
        core.look_at_hand(now);
        let mut passed = options.passed;
        passed.iter_mut().for_each(|passed| core.go_on_with(passed));
        core.recall(now, passed.is_some());
        core.resume(now, passed.as_ref());
        core.strike(now, true);
        (core, orders)
    }

    /// As [`Courier::hand_in`].
    pub fn hand_in(&mut self, now: Micros, reqs: Vec<Req>) -> Vec<Answer> {
        self.take(now, reqs)
    }

    /// As [`Courier::answered`].
    pub fn answered(&mut self, now: Micros, written: &[(u64, bool)]) {
        for (msg, written) in written {
            let what = if *written { Report::Answered(*msg) } else { Report::Withdrawn(*msg) };
            self.report(now, what);
        }
    }

    /// Moves time; says when it wants to be called again at the latest.
    pub fn tick(&mut self, now: Micros) -> Micros {
        if !self.decides() {
            return now + Micros(TICK_US);
        }
        self.look_at_hand(now);
        if self.members_at <= now {
            self.members_at = now + MEMBERS_EVERY;
            self.count_members();
        }
        for (front, news) in self.register.tick(now) {
            self.listed(now, front, news, Vec::new());
        }
        if self.draining.next_at().is_some_and(|at| at <= now) {
            self.strike(now, false);
        }
        self.remember(now);
        if self.alarm_at.is_some_and(|at| at <= now) {
            self.alarm_at = None;
            self.feed(now, &[Event::Elapsed(TimerToken(0))], &mut []);
        }
        let soon = now + Micros(TICK_US);
        self.alarm_at.map_or(soon, |at| at.min(soon))
    }

    /// When the module wants to hear of time again, if at all: an emulator need not call [`Core::tick`] before that but for
    /// the register and drains.
    pub fn alarm_at(&self) -> Option<Micros> {
        self.alarm_at
    }

    /// As [`Courier::stop`].
    pub fn stop(&mut self, at: Micros) {
        self.stop_at = Some(at);
    }

    /// How many messages are owed their end.
    pub fn owed(&self) -> usize {
        self.msgs.len()
    }

    /// What became of messages, and how things stand.
    pub fn figures(&mut self) -> &Figures {
        self.figures.pending = self.msgs.len() as u64;
        &self.figures
    }

    fn count_members(&mut self) {
        let (mut members, mut unavailable) = (0, 0);
        for (front, name, out) in self.register.members() {
            let endpoint = self.names.get(&(front, name.to_owned()));
            members += 1;
            unavailable += u64::from(out || endpoint.is_some_and(|at| self.sender.avoids(*at)));
        }
        let ready = self.register.get(FIRST_FRONT).is_none_or(|book| book.ready(self.members_at));
        (self.figures.members, self.figures.unavailable, self.figures.ready) = (members, unavailable, ready);
    }

    /// Takes over what the operators have left out or put back since the last look.
    fn look_at_hand(&mut self, now: Micros) {
        let Some(hand) = self.hand.clone().filter(|hand| hand.version() != self.hand_seen) else { return };
        // Danger: read before the set, so that a change in between is looked at once more and never missed.
        self.hand_seen = hand.version();
        for (front, back, news) in self.register.left_out(now, hand.out()) {
            let back = back.iter().map(|name| Event::Restarted(self.intern(front, name))).collect();
            self.listed(now, front, news, back);
        }
        self.count_members();
    }

    /// The module's name for a backend. Its address may differ from courier to courier and change.
    fn intern(&mut self, front: u8, name: &str) -> EndpointId {
        let next = EndpointId { addr: self.next_name.to_be_bytes(), port: 0 };
        *self.names.entry((front, name.to_owned())).or_insert_with(|| {
            self.next_name += 1;
            next
        })
    }

    /// Takes in what happened.
    pub fn report(&mut self, now: Micros, what: Report) -> Answer {
        if !self.decides() {
            return self.set_aside(what);
        }
        match what {
            Report::Req(req) => return self.take(now, vec![req]).pop().unwrap_or(Answer::Refused(STAY_AWAY)),
            // Danger: a client that goes before its answer takes the message of another with it, who handed in the same
            // and was told that it is taken on.
            Report::Withdrawn(msg) if !self.msgs.get(&msg).is_some_and(|m| m.shared) => {
                self.withdrawn(now, msg)
            }
            Report::Answered(msg) | Report::Withdrawn(msg) => {
                let parked = self.msgs.get_mut(&msg).and_then(|m| m.parked.take());
                parked.into_iter().flatten().for_each(|order| self.order(order));
            }
            Report::Begin(fetch) => return Answer::Go(self.begin(now, &fetch)),
            Report::Wait { front, dest, wait } => {
                self.heard_wait(now, front, dest, wait);
                self.remember(now);
            }
            Report::Done { fetch, end, latency, load, said } => {
                self.done(now, vec![Over { fetch, end, latency, load, said }]);
            }
            Report::Told(msg) => {
                let ended = match self.journal.owed().get(&msg).and_then(|owed| owed.verdict) {
                    Some(Verdict::HandedBack(_)) => Ended::Rejected,
                    _ => Ended::Failed,
                };
                self.forget(now, msg, Some(ended));
            }
            Report::List { front, word } => {
                if let Some(hand) = &self.hand {
                    hand.listed(word.lines.iter().map(|line| line.name.as_str()));
                }
                // Discovery has answered, if only that nothing has changed: the module hears that too.
                let answered = (word.source == Source::Watch).then(|| Event::ListChange(Vec::new()));
                let news = self.register.book(front, now).hear(now, word);
                self.listed(now, front, news, answered.into_iter().collect());
            }
            Report::ListHeard(front) => {
                let news = self.register.book(front, now).heartbeat(now);
                if news != News::default() {
                    self.listed(now, front, news, Vec::new());
                }
            }
            Report::ListFailed(front) => {
                let news = self.register.book(front, now).unheard(now);
                self.listed(now, front, news, vec![Event::ListFailed]);
            }
        }
        Answer::Noted
    }

    /// Taken or refused at once, each in its turn. The journal has all that are taken before any answer says so.
    fn take(&mut self, now: Micros, reqs: Vec<Req>) -> Vec<Answer> {
        if !self.decides() {
            return reqs.iter().map(|_| Answer::Refused(STAY_AWAY)).collect();
        }
        let mut answers = Vec::with_capacity(reqs.len());
        let mut batch: Vec<(u64, Arc<Req>)> = Vec::new();
        for req in reqs {
            // Danger: one that is handed in twice in a batch was known by a message that may yet be refused.
            if batch.iter().any(|(_, other)| other.id == req.id) {
                self.decide(now, std::mem::take(&mut batch), &mut answers);
            }
            match self.look_at(now, &req, batch.len()) {
                Some(answer) => {
                    match answer {
                        Answer::Refused(_) | Answer::Draining { .. } => {
                            self.figures.count(Ended::Rejected, req.class);
                        }
                        Answer::NoSuchDest => self.figures.count(Ended::Failed, req.class),
                        _ => {}
                    }
                    answers.push(answer);
                }
                None => {
                    let id = self.next_msg;
                    self.next_msg += 1;
                    batch.push((id, Arc::new(req)));
                    answers.push(Answer::Taken(id));
                }
            }
        }
        self.decide(now, batch, &mut answers);
        answers
    }

    /// The answer to a req that needs no decision of the module; so many before it are about to be taken.
    fn look_at(&mut self, now: Micros, req: &Req, before: usize) -> Option<Answer> {
        // Handed in again under the same id: its answer was lost on the way, and it is owed, or was answered, once.
        if let Some(held) = self.by_id.get(&req.id).and_then(|msg| self.msgs.get_mut(msg)) {
            // Danger: another's message under an id that is taken was told that it is taken on, and never was.
            if !same(&held.req, req) {
                return Some(Answer::Refused(STAY_AWAY));
            }
            held.shared = true;
            return Some(Answer::Known);
        }
        if self.journal.knows(&req.id, now) {
            return Some(Answer::Known);
        }
        if let Some(turn) = self.draining.turns_away(now, req) {
            return Some(Answer::Draining { wait: turn.wait, drain: turn.id });
        }
        let book = self.register.book(req.front, now);
        if !book.knows_dest(req.dest) {
            return Some(if book.certain() { Answer::NoSuchDest } else { Answer::Refused(STAY_AWAY) });
        }
        let full = self.failed.is_some() || self.msgs.len() + before >= self.max_open;
        full.then_some(Answer::Refused(STAY_AWAY))
    }

    /// Writes a batch down and asks the module. Who can't be taken has its answer changed.
    fn decide(&mut self, now: Micros, batch: Vec<(u64, Arc<Req>)>, answers: &mut [Answer]) {
        if batch.is_empty() {
            return;
        }
        let mut refuse = |msg: u64, wait: Micros| {
            for answer in answers.iter_mut().filter(|a| **a == Answer::Taken(msg)) {
                *answer = Answer::Refused(wait);
            }
        };
        let taken = match self.journal.take(&batch) {
            Ok(taken) => taken,
            Err(e) => {
                self.broken(e);
                0
            }
        };
        for (msg, req) in &batch[taken..] {
            self.figures.count(Ended::Rejected, req.class);
            refuse(*msg, STAY_AWAY);
        }
        let mut events = Vec::with_capacity(taken);
        let mut asking = Vec::with_capacity(taken);
        for (id, req) in &batch[..taken] {
            events.push(Event::Demand(message(*id, req)));
            asking.push((*id, None));
            self.by_id.insert(req.id.clone(), *id);
            let parked = Some(Vec::new());
            let msg = Msg { req: req.clone(), tries: 0, parked, over: false, shared: false, out: false };
            self.msgs.insert(*id, msg);
        }
        if taken > 0 {
            self.feed(now, &events, &mut asking);
        }
        for (id, verdict) in asking {
            let wait = match verdict {
                None => continue,
                Some(Verdict::HandedBack(wait)) => wait,
                Some(Verdict::GivenUp) => STAY_AWAY,
            };
            self.forget(now, id, Some(Ended::Rejected));
            refuse(id, wait);
        }
    }

    /// The client went before its answer was written.
    fn withdrawn(&mut self, now: Micros, msg: u64) {
        let Some(parked) = self.msgs.get_mut(&msg).and_then(|m| m.parked.take()) else { return };
        let mut events = vec![Event::Hangup(MessageId(msg))];
        for order in parked {
            if let Order::Fetch(fetch) = order {
                events.push(returned(&fetch, Outcome::Moot, true, Micros(0), Vec::new()));
                self.trust(now, &fetch, CallEnd::Unsent, &mut events);
            }
        }
        events.extend(self.leave_line(msg));
        self.forget(now, msg, None);
        self.feed(now, &events, &mut []);
    }

    /// Just before the first byte of a fetch, which the journal must hear of first.
    fn begin(&mut self, now: Micros, fetch: &Fetch) -> bool {
        self.look_at_hand(now);
        let alive = self.msgs.get(&fetch.msg).is_some_and(|m| !m.over);
        let ends = self.stop_at.is_some_and(|at| now + LAST_BEGIN >= at);
        let in_time = now < fetch.req.due;
        let listed = self.register.get(fetch.req.front).is_some_and(|b| b.serves(&fetch.backend.name));
        let before_strike = self.draining.may_begin(now, &fetch.req);
        let told_wait = self.waits.get(&(fetch.req.front, fetch.req.dest)).is_some_and(|until| now < *until);
        if !alive
            || ends
            || !in_time
            || !listed
            || !before_strike
            || told_wait
            || !self.sender.may_begin(now, MessageId(fetch.msg), fetch.at)
        {
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

    /// Fetches are over: written down together, and one round of the module on all of them, in their order.
    fn done(&mut self, now: Micros, all: Vec<Over>) {
        if !self.decides() {
            return self.over_aside(all);
        }
        let (mut events, mut rejected) = (Vec::with_capacity(all.len()), Vec::new());
        self.journal.gather();
        all.into_iter().for_each(|over| self.one_done(now, over, &mut events, &mut rejected));
        // Danger: an order to send once more, or to tell an end, must not leave before the journal knows how the last call
        // ended.
        let written = self.journal.written();
        written.unwrap_or_else(|e| self.broken(e));
        rejected.into_iter().for_each(|msg| self.verdict(msg, Verdict::GivenUp, &mut []));
        self.remember(now);
        if !events.is_empty() {
            self.feed(now, &events, &mut []);
        }
    }

    fn one_done(&mut self, now: Micros, over: Over, events: &mut Vec<Event>, rejected: &mut Vec<u64>) {
        let Over { fetch, end, latency, load, said } = over;
        if let Some(held) = self.msgs.get_mut(&fetch.msg) {
            held.out = false;
        }
        if let End::TurnedAway(Some(wait)) | End::Spoilt(Some(wait)) = end {
            // Known from the head of the answer on, where its front tells of that.
            self.heard_wait(now, fetch.req.front, fetch.req.dest, wait);
        }
        let mut more = Vec::new();
        let heard = self.trust(now, &fetch, end.for_trust(), &mut more);
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
            // A machine that only an old list names says nothing of its destination.
            End::NotConnected if heard == Heard::Masked => (Outcome::Moot, false),
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
            End::Delivered => self.forget(now, fetch.msg, Some(Ended::Completed)),
            End::Over => self.forget(now, fetch.msg, Some(Ended::Failed)),
            End::Rejected if self.msgs.get(&fetch.msg).is_some_and(|m| !m.over) => {
                rejected.push(fetch.msg);
            }
            _ => {}
        }
        events.push(returned(&fetch, outcome, over, latency, load));
        events.append(&mut more);
    }

    /// The register hears how a fetch ended. What follows of that for the module is added to `events`.
    fn trust(&mut self, now: Micros, fetch: &Fetch, end: CallEnd, events: &mut Vec<Event>) -> Heard {
        let front = fetch.req.front;
        let (heard, news) = self.register.book(front, now).returned(now, &fetch.backend.name, end);
        if news != News::default() {
            let more = self.changed(now, front, news);
            events.extend(more);
        }
        heard
    }

    /// Takes a fetch out of the line in which it waits; the module hears that it was never sent.
    fn leave_line(&mut self, msg: u64) -> Option<Event> {
        let (fetch, _) = self.in_line.remove(&msg)?;
        if let Some(held) = self.msgs.get_mut(&msg) {
            held.out = false;
            self.register.book(held.req.front, Micros(0)).call_off(&fetch.backend.name, msg);
        }
        Some(returned(&fetch, Outcome::Moot, false, Micros(0), Vec::new()))
    }

    /// Carries out what the register decided, and tells the module.
    fn listed(&mut self, now: Micros, front: u8, news: News, more: Vec<Event>) {
        let mut events = self.changed(now, front, news);
        events.extend(more);
        self.feed(now, &events, &mut []);
    }

    /// The same; the events for the module are returned.
    fn changed(&mut self, now: Micros, front: u8, news: News) -> Vec<Event> {
        news.said.iter().for_each(|words| tracing::info!(target: "register", "{words}"));
        let mut lines = Vec::with_capacity(news.changes.len());
        for Change { line, benched } in news.changes {
            let key = (front, line.name.clone());
            let endpoint = self.intern(front, &line.name);
            lines.push(Entry {
                endpoint,
                destination: DestinationId(line.dest),
                kind: KindId(line.kind),
                zone: ZoneId(line.zone),
                state: match line.state {
                    ListState::Up if benched => ModuleListed::Draining,
                    ListState::Up => ModuleListed::Ready,
                    ListState::Draining => ModuleListed::Draining,
                    ListState::Gone => ModuleListed::Gone,
                },
                weight: line.weight,
                rank: line.rank,
            });
            let listed = Arc::new(Backend { name: key.1, addr: line.addr });
            if line.state == ListState::Gone {
                self.gone.push_back((now, front, listed.clone()));
            }
            // Nothing new goes to a connection of one that drains, is gone or has moved.
            let before = self.backends.insert(endpoint, listed.clone()).filter(|b| *b != listed);
            let parts = line.state != ListState::Up;
            before.into_iter().chain(parts.then_some(listed)).for_each(|b| self.order(Order::LetGo(b)));
        }
        self.forget_gone(now);
        if news.read_again {
            self.order(Order::ReadList(front));
        }
        let mut events: Vec<Event> =
            news.returned.into_iter().filter_map(|msg| self.leave_line(msg)).collect();
        for msg in news.released {
            let Some((fetch, cap)) = self.in_line.remove(&msg) else { continue };
            if self.msgs.contains_key(&msg) {
                self.start(now, fetch, cap);
            } else {
                // Danger: a call whose message has ended meanwhile would hold its slot for ever.
                events.push(returned(&fetch, Outcome::Moot, true, Micros(0), Vec::new()));
                self.trust(now, &fetch, CallEnd::Unsent, &mut events);
            }
        }
        if !lines.is_empty() {
            events.insert(0, Event::Relisted(lines));
        }
        events
    }

    /// Danger: where backends come and go all day, their names alone fill memory in the end.
    fn forget_gone(&mut self, now: Micros) {
        let over =
            |s: &Core| s.gone.len() > GONE_MOST || s.gone.front().is_some_and(|g| g.0 + GONE_KEPT <= now);
        while over(self) {
            let Some((_, front, backend)) = self.gone.pop_front() else { return };
            let key = (front, backend.name.clone());
            // It may have come back.
            if !self.register.get(front).is_some_and(|b| b.lists(&key.1)) {
                if let Some(endpoint) = self.names.remove(&key) {
                    self.backends.remove(&endpoint);
                }
            }
        }
    }

    /// Gives events to the module and carries out what it decides. A verdict on a req that is being handed in (`asking`)
    /// is its answer, not an order.
    fn feed(&mut self, now: Micros, events: &[Event], asking: &mut [(u64, Option<Verdict>)]) {
        let (mut actions, mut never_sent) = (Vec::new(), Vec::new());
        self.sender.handle(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Try { id, endpoint, timeout } => self.fetch(now, id.0, endpoint, timeout),
                Action::Decline { id, stay_away } => {
                    self.verdict(id.0, Verdict::HandedBack(stay_away), asking);
                }
                Action::Fail(id) => self.verdict(id.0, Verdict::GivenUp, asking),
                Action::CallOff { id, attempt } => match self.leave_line(id.0) {
                    Some(event) => never_sent.push(event),
                    None => self.order(Order::Cancel { msg: id.0, attempt }),
                },
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
                Action::Log(words) => tracing::info!(target: "decisions", "{words}"),
                // Neither is permitted by the settings of a courier on sockets.
                Action::Probe(_) | Action::Note { .. } => {}
            }
        }
        if !never_sent.is_empty() {
            self.feed(now, &never_sent, asking);
        }
    }

    fn fetch(&mut self, now: Micros, msg: u64, at: EndpointId, cap: Micros) {
        let (Some(held), Some(backend)) = (self.msgs.get_mut(&msg), self.backends.get(&at)) else { return };
        let (attempt, backend, req) = (held.tries, backend.clone(), held.req.clone());
        held.tries += 1;
        held.out = true;
        let until = now;
        let goes = self.register.book(req.front, now).call(now, &backend.name, msg);
        let fetch = Fetch { msg, attempt, at, backend, req, until };
        if goes {
            self.start(now, fetch, cap);
        } else {
            self.in_line.insert(msg, (fetch, cap));
        }
    }

    /// Its turn has come.
    fn start(&mut self, now: Micros, mut fetch: Fetch, cap: Micros) {
        let Some(held) = self.msgs.get_mut(&fetch.msg) else { return };
        fetch.until = (now + cap).min(fetch.req.due);
        if let Some(stop_at) = self.stop_at {
            fetch.until = fetch.until.min(stop_at);
        }
        match &mut held.parked {
            Some(parked) => parked.push(Order::Fetch(fetch)),
            None => self.order(Order::Fetch(fetch)),
        }
    }

    fn verdict(&mut self, msg: u64, verdict: Verdict, asking: &mut [(u64, Option<Verdict>)]) {
        if let Some((_, answer)) = asking.iter_mut().find(|(id, _)| *id == msg) {
            *answer = Some(verdict);
            return;
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

    fn forget(&mut self, now: Micros, msg: u64, ended: Option<Ended>) {
        self.journal.end(msg, now).unwrap_or_else(|e| self.broken(e));
        if let Some(held) = self.msgs.get(&msg) {
            ended.into_iter().for_each(|ended| self.figures.count(ended, held.req.class));
            self.draining.ended(now, &held.req);
        }
        self.drop_msg(msg);
    }

    fn drop_msg(&mut self, msg: u64) {
        if let Some(held) = self.msgs.remove(&msg) {
            self.by_id.remove(&held.req.id);
        }
    }

    fn broken(&mut self, e: std::io::Error) {
        tracing::error!(target: "journal", "the journal can't be written: {e}");
        self.failed.get_or_insert(e.to_string());
    }
}

/// The same message, handed in twice; its deadline counts from another moment. An id that is recognised after its end
/// was made from the message itself, whose traces may differ by now.
fn same(a: &Req, b: &Req) -> bool {
    let of = |r: &Req| (r.class, r.tenant, r.head.clone());
    a.front == b.front && a.dest == b.dest && (a.keep_id.0 > 0 || of(a) == of(b) && a.body == b.body)
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
