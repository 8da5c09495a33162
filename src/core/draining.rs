//! Drains at the core. What [`crate::drain`] decides is written to disk first and then applied to the messages that the
//! core owns. All counts are computed from these messages on request.

use super::stored_drains::DrainNames;
use super::{Core, Courier, MIN_TIME_TO_BEGIN};
use crate::api::{DestinationId, Effect, Event, MessageId, Micros};
use crate::drain::estimate::{Estimate, RecentEnds};
use crate::drain::{
    self, Drain, DrainRequest, Drains, History, MessageAttributes, OutcomeCounts, Refusal, Rejection, Stage,
    Started,
};
use crate::store::checksummed_file::ChecksummedFile;
use crate::store::{FinalOutcome, PositionNames, Req};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};

const DRAINS_FILE: ChecksummedFile =
    ChecksummedFile { name: "drains", magic: "indigohold-drains", version: 1 };
/// Disk space reserved for the drains file in the persistent folder, enough for the previous file and the new one.
pub const RESERVED_DISK_BYTES: u64 = 128 * 1024;
/// The longest time that a client may be told to wait if the settings name none.
const DEFAULT_MAX_RETRY_AFTER: Micros = Micros(60_000_000);
/// Fronts are numbered from 0.
pub(super) const FRONT_COUNT: usize = 2;

/// The core's part in drains.
pub(super) struct Draining {
    drains: Drains,
    names: DrainNames,
    /// Folder of the drains file; `None` if no drain can be requested.
    dir: Option<PathBuf>,
    /// By drain, the ends of its messages, from which its remaining time is estimated.
    ends: BTreeMap<u64, RecentEnds>,
    /// The effect of each class.
    effects: Vec<Effect>,
    /// The longest time that a client may be told to wait.
    pub(super) max_retry_after: Micros,
    /// The class of bounces; drains do not apply to it.
    bounce_class: Option<u16>,
}

/// Numbers of messages by their state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// All messages.
    pub total: u64,
    /// Accepted; the answer to the client is being written.
    pub answering: u64,
    /// Waiting to be sent.
    pub waiting: u64,
    /// Waiting because their destination demanded it.
    pub told_to_wait: u64,
    /// A call is in flight.
    #[serde(rename = "out")]
    pub in_flight: u64,
    /// The end is decided, and the client has not been notified yet.
    #[serde(rename = "notice_owed")]
    pub notice_pending: u64,
}

impl Counts {
    /// Adds the counts of another class or destination.
    pub fn add(&mut self, more: &Counts) {
        self.total += more.total;
        self.answering += more.answering;
        self.waiting += more.waiting;
        self.told_to_wait += more.told_to_wait;
        self.in_flight += more.in_flight;
        self.notice_pending += more.notice_pending;
    }
}

/// Progress of a drain, computed from the current messages.
#[derive(Debug, Clone, PartialEq)]
pub struct Progress {
    /// The drain.
    pub drain: Drain,
    /// Messages in its scope that are still pending.
    pub left: Counts,
    /// Pending messages by class.
    pub by_class: BTreeMap<u16, Counts>,
    /// Pending messages by destination.
    pub by_dest: BTreeMap<u16, Counts>,
    /// The latest time until which one of the destinations concerned demanded a wait, if any did.
    pub retry_after_until: Option<Micros>,
    /// Estimated remaining time; `None` while no message has ended.
    pub estimate: Option<Estimate>,
}

impl Progress {
    /// Whether no message in the scope is pending.
    pub fn is_empty(&self) -> bool {
        self.left.total == 0
    }
}

fn marks(req: &Req) -> MessageAttributes {
    MessageAttributes { front: req.front, dest: req.dest, class: req.class, tenant: req.tenant }
}

impl Draining {
    pub(super) fn new(
        dir: Option<&Path>, effects: Vec<Effect>, max_retry_after: Option<Micros>, bounce_class: Option<u16>,
        names: Option<PositionNames>,
    ) -> Draining {
        let (mut drains, mut names) = (Drains::default(), DrainNames::new(names));
        if let Some(dir) = dir {
            let (read, errors) = DRAINS_FILE.read(dir, |body| names.decode(body).map_err(|e| e.to_string()));
            errors.iter().for_each(|error| tracing::error!(target: "drain", "{error}"));
            drains = read.unwrap_or_default();
        }
        for drain in drains.active() {
            tracing::info!(target: "drain", drain = drain.id, "a drain continues from an earlier run of the process");
        }
        let (dir, max_retry_after) =
            (dir.map(Path::to_owned), max_retry_after.unwrap_or(DEFAULT_MAX_RETRY_AFTER));
        Draining { drains, names, dir, ends: BTreeMap::new(), effects, max_retry_after, bounce_class }
    }

    /// Whether the req is a bounce: it reports the end of another message.
    pub(super) fn is_bounce(&self, req: &Req) -> bool {
        self.bounce_class == Some(req.class)
    }

    /// The refusal of a new req, if it is in the scope of a drain.
    pub(super) fn refusal(&self, now: Micros, req: &Req) -> Option<Rejection> {
        if self.is_bounce(req) {
            return None;
        }
        self.drains.rejection(now, &marks(req), self.max_retry_after)
    }

    /// Whether no drain forbids that a fetch of this req begins now.
    pub(super) fn may_begin(&self, now: Micros, req: &Req) -> bool {
        self.is_bounce(req) || self.drains.may_begin(now, &marks(req), MIN_TIME_TO_BEGIN)
    }

    /// The next deadline of a drain.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.drains.next_deadline()
    }

    /// Records the end of a message for the estimates of the drains that cover it.
    pub(super) fn ended(&mut self, now: Micros, req: &Req) {
        for drain in self.drains.active().iter().filter(|d| d.scope.covers(&marks(req))) {
            self.ends.entry(drain.id).or_default().record(now);
        }
    }

    fn save(&self, drains: &Drains) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Err(io::ErrorKind::Unsupported.into()) };
        let body = self.names.encode(drains).map_err(io::Error::other)?;
        DRAINS_FILE.write(dir, &DRAINS_FILE.encode(&body))
    }

    /// Applies a change once it is written to disk. If it can't be written, nothing changes.
    fn change<T>(&mut self, apply: impl FnOnce(&mut Drains) -> Result<T, Refusal>) -> Result<T, Refusal> {
        let mut next = self.drains.clone();
        let result = apply(&mut next)?;
        self.save(&next).map_err(|e| {
            tracing::error!(target: "drain", "the drains file can't be written: {e}");
            Refusal::Disk
        })?;
        let is_on = |id: &u64| next.active().iter().any(|d| d.id == *id);
        self.ends.retain(|id, _| is_on(id));
        self.drains = next;
        Ok(result)
    }
}

impl Core {
    /// Ends the pending messages of drains whose deadline has come. When the process starts (`resuming`), it also
    /// continues with drains whose messages an earlier run had begun to end.
    pub(super) fn apply_due_drains(&mut self, now: Micros, resuming: bool) {
        if !self.is_active() {
            return;
        }
        let mut due = self.draining.drains.expire_due(now);
        if resuming {
            due = self
                .draining
                .drains
                .active()
                .iter()
                .filter(|d| d.stage == Stage::Expired)
                .map(|d| d.id)
                .collect();
        }
        if due.is_empty() {
            return;
        }
        let mut events = Vec::new();
        for id in due {
            let Some(drain) = self.draining.drains.get(id).cloned() else { continue };
            let mut tally = OutcomeCounts::default();
            let bounce_class = self.draining.bounce_class;
            let open = |m: &super::PendingMessage| !m.decided && bounce_class != Some(m.req.class);
            let found = self.messages.iter().filter(|(msg, m)| {
                // No client waits for the end of a replayed message.
                open(m) && !self.replays.contains(**msg) && drain.scope.covers(&marks(&m.req))
            });
            let found: Vec<(u64, u16)> = found.map(|(msg, m)| (*msg, m.req.class)).collect();
            for (msg, class) in found {
                let effect = self.draining.effects.get(usize::from(class)).copied().unwrap_or(Effect::Unsafe);
                let owed = self.journal.pending().get(&msg);
                let history =
                    match owed.is_some_and(|o| o.first_uncertain.is_some() || o.open_attempt.is_some()) {
                        true => History::MayHaveRun,
                        false => History::NeverRan,
                    };
                let verdict = match drain::final_answer(effect, history) {
                    drain::Answer::HandBack => {
                        tally.handed_back += 1;
                        FinalOutcome::HandedBack(self.default_retry_after())
                    }
                    drain::Answer::GiveUp => {
                        tally.given_up += 1;
                        FinalOutcome::GivenUp
                    }
                };
                self.verdict(now, msg, verdict, &mut []);
                events.push(Event::Withdrawn(MessageId(msg)));
            }
            self.draining.drains.add_outcomes(id, tally);
            let OutcomeCounts { given_up, handed_back } = tally;
            tracing::info!(target: "drain", drain = id, given_up, handed_back, "a drain has reached its deadline");
        }
        // The deadline takes effect even if the file can't be written. In that case the next run of the process finds
        // the deadline past and ends the messages that are left then.
        if let Err(e) = self.draining.save(&self.draining.drains) {
            tracing::error!(target: "drain", "the drains file can't be written: {e}");
        }
        self.feed(now, &events, &mut []);
    }

    /// Computes the progress of a drain from the current messages.
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
                    m if m.decided => &mut counts.notice_pending,
                    m if m.in_flight && !self.waiting_fetches.contains_key(msg) => &mut counts.in_flight,
                    _ if told > now => &mut counts.told_to_wait,
                    _ => &mut counts.waiting,
                } += 1;
            }
        }
        let ends = self.draining.ends.entry(drain.id).or_default();
        let estimate = ends.estimate(now, Micros(drain.started_us), left.total);
        if matches!(drain.stage, Stage::Cancelled | Stage::Closed) {
            self.draining.ends.remove(&drain.id);
        }
        let retry_after_until = waits.into_values().filter(|at| *at > now).max();
        Progress { drain, left, by_class, by_dest, retry_after_until, estimate }
    }
}

impl Courier {
    /// Starts a drain, or sets a new deadline for an active one.
    pub fn drain_start(&self, wish: DrainRequest) -> Result<(Started, Progress), Refusal> {
        let now = self.clock.now();
        let mut state = self.state();
        // A drain whose deadline has come takes effect before the request, even if no tick has handled it yet.
        state.apply_due_drains(now, false);
        let held = state.messages.values().filter(|m| wish.scope.covers(&marks(&m.req))).count() as u64;
        let ending = state.stop_at.is_some() || !state.is_active();
        let started = state.draining.change(|drains| drains.start(now, wish, ending, held))?;
        self.update_closed_fronts(&state);
        let drain = state.draining.drains.get(started.id).cloned().ok_or(Refusal::Unknown)?;
        tracing::info!(
            target: "drain", drain = drain.id, by_ms = drain.deadline_us / 1000, again = started.updated, held,
            reason = drain.reason.as_str(), "a drain begins"
        );
        Ok((started, state.progress(now, drain)))
    }

    /// Cancels a drain; messages that have not ended continue as before.
    pub fn drain_cancel(&self, id: u64) -> Result<Progress, Refusal> {
        self.drain_end(id, "a drain is cancelled", |drains, now, _| drains.cancel(now, id))
    }

    /// Resumes service after a finished drain.
    pub fn drain_close(&self, id: u64) -> Result<Progress, Refusal> {
        self.drain_end(id, "a drain is closed", |drains, now, left| drains.close(now, id, left))
    }

    fn drain_end(
        &self, id: u64, log_text: &str, apply: impl FnOnce(&mut Drains, Micros, u64) -> Result<(), Refusal>,
    ) -> Result<Progress, Refusal> {
        let now = self.clock.now();
        let mut state = self.state();
        if !state.is_active() {
            return Err(Refusal::Ending);
        }
        state.apply_due_drains(now, false);
        let drain = state.draining.drains.get(id).cloned().ok_or(Refusal::Unknown)?;
        let left = state.progress(now, drain).left.total;
        state.draining.change(|drains| apply(drains, now, left))?;
        self.update_closed_fronts(&state);
        tracing::info!(target: "drain", drain = id, left, "{log_text}");
        let drain = state.draining.drains.get(id).cloned().ok_or(Refusal::Unknown)?;
        let progress = state.progress(now, drain);
        // Messages that could not begin any more shortly before the deadline may be sent now.
        state.feed(now, &[], &mut []);
        Ok(progress)
    }

    /// Progress of the active drains and of those that ended recently.
    pub fn drains(&self) -> Vec<Progress> {
        let now = self.clock.now();
        let mut state = self.state();
        let all: Vec<Drain> =
            state.draining.drains.active().iter().chain(state.draining.drains.ended()).cloned().collect();
        all.into_iter().map(|drain| state.progress(now, drain)).collect()
    }

    /// Progress of one drain.
    pub fn drain(&self, id: u64) -> Option<Progress> {
        let now = self.clock.now();
        let mut state = self.state();
        let drain = state.draining.drains.get(id).cloned()?;
        Some(state.progress(now, drain))
    }

    /// The alternative address for clients that a drain refuses.
    pub fn alternative_address(&self, drain: u64) -> Option<String> {
        self.state().draining.drains.get(drain)?.alternative_address.clone()
    }

    /// Whether a drain makes a front refuse everything; its sessions then end between requests. Read on each request,
    /// so it does not take the lock.
    pub fn front_closed(&self, front: u8) -> bool {
        self.closed_fronts.get(usize::from(front)).is_some_and(|s| s.load(Ordering::Relaxed))
    }

    /// Copies to the lock-free flags which fronts the drains close.
    pub(super) fn update_closed_fronts(&self, state: &Core) {
        for (front, closed) in self.closed_fronts.iter().enumerate() {
            closed.store(state.draining.drains.closes_front(front as u8), Ordering::Relaxed);
        }
    }

    /// Whether the process has been asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.state().stop_at.is_some()
    }
}

/// The flags of [`Courier::front_closed`] with no front closed.
pub(super) fn all_fronts_open() -> [AtomicBool; FRONT_COUNT] {
    [const { AtomicBool::new(false) }; FRONT_COUNT]
}
