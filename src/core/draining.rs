//! Drains at the core: what [`crate::drain`] decides is written down first, then holds for the messages that the core
//! owns. All counts are taken from these messages when they are asked for.

use super::{Core, Courier, MIN_TIME_TO_BEGIN};
use crate::api::{DestinationId, Effect, Event, MessageId, Micros};
use crate::drain::estimate::{Ends, Estimate};
use crate::drain::{self, Drain, Drains, History, Marks, Refusal, Stage, Started, Tally, TurnAway, Wish};
use crate::store::sealed::Sealed;
use crate::store::{Req, Verdict};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

const FILE: Sealed = Sealed { name: "drains", magic: "indigohold-drains", version: 1 };
/// Room for that file in the folder that lasts, the one before and the one being written counted.
pub const RESERVED_DISK_BYTES: u64 = 128 * 1024;
/// The max_retry_after time that a client is told to stay away where the settings name none.
const LONGEST: Micros = Micros(60_000_000);
/// Fronts are numbered from 0.
pub(super) const FRONT_COUNT: usize = 2;

/// The core's part in drains.
pub(super) struct Draining {
    drains: Drains,
    /// Where they are written down; `None`: nobody can ask for one.
    dir: Option<PathBuf>,
    ends: BTreeMap<u64, Ends>,
    effects: Vec<Effect>,
    pub(super) max_retry_after: Micros,
    own: Option<u16>,
}

/// How many messages there are, by what they are at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// All of them.
    pub total: u64,
    /// Taken on, and the answer that says so is being written.
    pub answering: u64,
    /// Waiting to be sent.
    pub waiting: u64,
    /// Waiting because their destination told to.
    pub told_to_wait: u64,
    /// A call is out.
    pub out: u64,
    /// Decided; the client has not been told yet.
    pub notice_owed: u64,
}

impl Counts {
    /// Adds those of another class or destination.
    pub fn add(&mut self, more: &Counts) {
        self.total += more.total;
        self.answering += more.answering;
        self.waiting += more.waiting;
        self.told_to_wait += more.told_to_wait;
        self.out += more.out;
        self.notice_owed += more.notice_owed;
    }
}

/// How far a drain is, by the messages as they are now.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// The drain.
    pub drain: Drain,
    /// Messages in its scope that are still owed something.
    pub left: Counts,
    /// The same by class.
    pub by_class: BTreeMap<u16, Counts>,
    /// And by destination.
    pub by_dest: BTreeMap<u16, Counts>,
    /// Until when the last of the destinations concerned has told to wait, if any has.
    pub retry_after_until: Option<Micros>,
    /// When it should be over; `None`: nothing has ended yet.
    pub estimate: Option<Estimate>,
}

impl Progress {
    /// Nothing is left that is owed anything.
    pub fn is_empty(&self) -> bool {
        self.left.total == 0
    }
}

fn marks(req: &Req) -> Marks {
    Marks { front: req.front, dest: req.dest, class: req.class, tenant: req.tenant }
}

impl Draining {
    pub(super) fn new(
        dir: Option<&Path>, effects: Vec<Effect>, max_retry_after: Option<Micros>, own: Option<u16>,
    ) -> Draining {
        let mut drains = Drains::default();
        if let Some(dir) = dir {
            let (read, said) = FILE.read(dir, |body| serde_json::from_slice(body).map_err(|e| e.to_string()));
            said.iter().for_each(|words| tracing::error!(target: "drain", "{words}"));
            drains = read.unwrap_or_default();
        }
        for drain in drains.on() {
            tracing::info!(target: "drain", drain = drain.id, "a drain goes on from an earlier life");
        }
        let (dir, max_retry_after) = (dir.map(Path::to_owned), max_retry_after.unwrap_or(LONGEST));
        Draining { drains, dir, ends: BTreeMap::new(), effects, max_retry_after, own }
    }

    pub(super) fn refusal(&self, now: Micros, req: &Req) -> Option<TurnAway> {
        if self.own == Some(req.class) {
            return None;
        }
        self.drains.turns_away(now, &marks(req), self.max_retry_after)
    }

    pub(super) fn may_begin(&self, now: Micros, req: &Req) -> bool {
        self.own == Some(req.class) || self.drains.may_begin(now, &marks(req), MIN_TIME_TO_BEGIN)
    }

    pub(super) fn next_at(&self) -> Option<Micros> {
        self.drains.next_at()
    }

    /// A message has ended.
    pub(super) fn ended(&mut self, now: Micros, req: &Req) {
        for drain in self.drains.on().iter().filter(|d| d.scope.covers(&marks(req))) {
            self.ends.entry(drain.id).or_default().ended(now);
        }
    }

    fn save(&self, drains: &Drains) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Err(io::ErrorKind::Unsupported.into()) };
        let body = serde_json::to_vec(drains).map_err(io::Error::other)?;
        FILE.write(dir, &FILE.seal(&body))
    }

    /// A change holds once it is written down, and not at all if it can't be.
    fn change<T>(&mut self, by: impl FnOnce(&mut Drains) -> Result<T, Refusal>) -> Result<T, Refusal> {
        let mut next = self.drains.clone();
        let done = by(&mut next)?;
        self.save(&next).map_err(|e| {
            tracing::error!(target: "drain", "drains can't be written down: {e}");
            Refusal::Disk
        })?;
        let on = |id: &u64| next.on().iter().any(|d| d.id == *id);
        self.ends.retain(|id, _| on(id));
        self.drains = next;
        Ok(done)
    }
}

impl Core {
    /// Strikes what is due. In a life that begins it also goes on with what an earlier one had begun.
    pub(super) fn apply_due_drains(&mut self, now: Micros, resuming: bool) {
        if !self.is_active() {
            return;
        }
        let mut due = self.draining.drains.strike(now);
        if resuming {
            due =
                self.draining.drains.on().iter().filter(|d| d.stage == Stage::Struck).map(|d| d.id).collect();
        }
        if due.is_empty() {
            return;
        }
        let mut events = Vec::new();
        for id in due {
            let Some(drain) = self.draining.drains.get(id).cloned() else { continue };
            let mut tally = Tally::default();
            let own = self.draining.own;
            let open = |m: &super::PendingMessage| !m.decided && own != Some(m.req.class);
            let found = self.messages.iter().filter(|(msg, m)| {
                // What is sent again is owed to nobody.
                open(m) && !self.replays.contains(**msg) && drain.scope.covers(&marks(&m.req))
            });
            let found: Vec<(u64, u16)> = found.map(|(msg, m)| (*msg, m.req.class)).collect();
            for (msg, class) in found {
                let effect = self.draining.effects.get(usize::from(class)).copied().unwrap_or(Effect::Unsafe);
                let owed = self.journal.owed().get(&msg);
                let history = match owed.is_some_and(|o| o.risk.is_some() || o.open.is_some()) {
                    true => History::MayHaveRun,
                    false => History::NeverRan,
                };
                let verdict = match drain::answer(effect, history) {
                    drain::Answer::HandBack => {
                        tally.handed_back += 1;
                        Verdict::HandedBack(self.stay_away())
                    }
                    drain::Answer::GiveUp => {
                        tally.given_up += 1;
                        Verdict::GivenUp
                    }
                };
                self.verdict(now, msg, verdict, &mut []);
                events.push(Event::Hangup(MessageId(msg)));
            }
            self.draining.drains.tallied(id, tally);
            let Tally { given_up, handed_back } = tally;
            tracing::info!(target: "drain", drain = id, given_up, handed_back, "a drain has come to its deadline");
        }
        // Danger: the deadline holds whether or not the disk takes it. If it does not, the next life finds the deadline
        // past and strikes what is left then.
        if let Err(e) = self.draining.save(&self.draining.drains) {
            tracing::error!(target: "drain", "drains can't be written down: {e}");
        }
        self.feed(now, &events, &mut []);
    }

    fn progress(&mut self, now: Micros, drain: Drain) -> Progress {
        let (mut left, mut by_class, mut by_dest) = (Counts::default(), BTreeMap::new(), BTreeMap::new());
        let mut waits: BTreeMap<u16, Micros> = BTreeMap::new();
        for (msg, held) in self.messages.iter().filter(|(_, m)| drain.scope.covers(&marks(&m.req))) {
            let req = &held.req;
            let told = *waits
                .entry(req.dest)
                .or_insert_with(|| self.policy.required_wait_until(DestinationId(req.dest)));
            for counts in
                [&mut left, by_class.entry(req.class).or_default(), by_dest.entry(req.dest).or_default()]
            {
                counts.total += 1;
                *match held {
                    m if m.orders_after_answer.is_some() => &mut counts.answering,
                    m if m.decided => &mut counts.notice_owed,
                    m if m.in_flight && !self.waiting_fetches.contains_key(msg) => &mut counts.out,
                    _ if told > now => &mut counts.told_to_wait,
                    _ => &mut counts.waiting,
                } += 1;
            }
        }
        let ends = self.draining.ends.entry(drain.id).or_default();
        let estimate = ends.estimate(now, Micros(drain.since), left.total);
        if matches!(drain.stage, Stage::Cancelled | Stage::Closed) {
            self.draining.ends.remove(&drain.id);
        }
        let retry_after_until = waits.into_values().filter(|at| *at > now).max();
        Progress { drain, left, by_class, by_dest, retry_after_until, estimate }
    }
}

impl Courier {
    /// Starts a drain, or gives one that is on a new deadline.
    pub fn drain_start(&self, wish: Wish) -> Result<(Started, Progress), Refusal> {
        let now = self.clock.now();
        let mut state = self.state();
        // What is due has struck, whoever looks first.
        state.apply_due_drains(now, false);
        let held = state.messages.values().filter(|m| wish.scope.covers(&marks(&m.req))).count() as u64;
        let ending = state.stop_at.is_some() || !state.is_active();
        let started = state.draining.change(|drains| drains.start(now, wish, ending, held))?;
        self.update_closed_fronts(&state);
        let drain = state.draining.drains.get(started.id).cloned().ok_or(Refusal::Unknown)?;
        tracing::info!(
            target: "drain", drain = drain.id, by_ms = drain.by / 1000, again = started.again, held,
            reason = drain.reason.as_str(), "a drain begins"
        );
        Ok((started, state.progress(now, drain)))
    }

    /// Calls a drain off; service is as before for whatever has not ended.
    pub fn drain_cancel(&self, id: u64) -> Result<Progress, Refusal> {
        self.drain_end(id, "a drain is called off", |drains, now, _| drains.cancel(now, id))
    }

    /// Takes service up again after a drain that is over.
    pub fn drain_close(&self, id: u64) -> Result<Progress, Refusal> {
        self.drain_end(id, "a drain is closed", |drains, now, left| drains.close(now, id, left))
    }

    fn drain_end(
        &self, id: u64, words: &str, by: impl FnOnce(&mut Drains, Micros, u64) -> Result<(), Refusal>,
    ) -> Result<Progress, Refusal> {
        let now = self.clock.now();
        let mut state = self.state();
        if !state.is_active() {
            return Err(Refusal::Ending);
        }
        state.apply_due_drains(now, false);
        let drain = state.draining.drains.get(id).cloned().ok_or(Refusal::Unknown)?;
        let left = state.progress(now, drain).left.total;
        state.draining.change(|drains| by(drains, now, left))?;
        self.update_closed_fronts(&state);
        tracing::info!(target: "drain", drain = id, left, "{words}");
        let drain = state.draining.drains.get(id).cloned().ok_or(Refusal::Unknown)?;
        let progress = state.progress(now, drain);
        // What waited so shortly before the deadline that nothing could begin may go now.
        state.feed(now, &[], &mut []);
        Ok(progress)
    }

    /// How far the drains are that are on, or were lately called off.
    pub fn drains(&self) -> Vec<Progress> {
        let now = self.clock.now();
        let mut state = self.state();
        let all: Vec<Drain> =
            state.draining.drains.on().iter().chain(state.draining.drains.ended()).cloned().collect();
        all.into_iter().map(|drain| state.progress(now, drain)).collect()
    }

    /// How far one drain is.
    pub fn drain(&self, id: u64) -> Option<Progress> {
        let now = self.clock.now();
        let mut state = self.state();
        let drain = state.draining.drains.get(id).cloned()?;
        Some(state.progress(now, drain))
    }

    /// Where clients may go that a drain turns away.
    pub fn alternative_address(&self, drain: u64) -> Option<String> {
        self.state().draining.drains.get(drain)?.elsewhere.clone()
    }

    /// A front takes nothing on: its sessions end between requests. Asked for each request, so without the lock.
    pub fn front_closed(&self, front: u8) -> bool {
        self.closed_fronts.get(usize::from(front)).is_some_and(|s| s.load(Ordering::Relaxed))
    }

    pub(super) fn update_closed_fronts(&self, state: &Core) {
        for (front, shut) in self.closed_fronts.iter().enumerate() {
            shut.store(state.draining.drains.shuts(front as u8), Ordering::Relaxed);
        }
    }

    /// The process has been told to end.
    pub fn is_stopping(&self) -> bool {
        self.state().stop_at.is_some()
    }
}

/// Flags of all fronts, none shut.
pub(super) fn all_fronts_open() -> [AtomicBool; FRONT_COUNT] {
    [const { AtomicBool::new(false) }; FRONT_COUNT]
}
