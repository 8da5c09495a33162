//! [`Courier`] shares the core among the threads of a process: one clock, one lock, and a queue of finished fetches.

use super::{draining, Answer, Core, End, Fetch, FinishedFetch, Options, Order, Report, Req};
use crate::admin::metrics::PublishedMetrics;
use crate::api::{Micros, Settings};
use crate::clock::Clock;
use crate::history::shelf::Shelf;
use crate::register::phase::Phase;
use crate::shared::sharing::Exchange;
use crate::store::Journal;
use crossbeam_channel::Receiver;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::Instant;

/// The core, shared by all threads of the process.
pub struct Courier {
    /// The clock that all threads use.
    pub clock: Clock,
    state: Mutex<Core>,
    /// Finished fetches that the core has not processed yet. The thread that holds the state processes them before it
    /// releases the lock, so threads that finish a fetch never wait for it. Fetches that are processed together need
    /// one round of the decision module and one journal write.
    finished: Mutex<Vec<FinishedFetch>>,
    /// The length of `finished`, readable without its lock.
    finished_count: AtomicUsize,
    orders: Receiver<Order>,
    /// Store of ended messages; `None` if they are not kept.
    pub(super) history: Option<Arc<Shelf>>,
    /// Metrics for operators, as of the last release of the state lock.
    pub board: Arc<PublishedMetrics>,
    /// Exchange of facts and beliefs between the core and the thread that shares them with other couriers.
    pub sharing: Arc<Exchange>,
    /// For each front, whether a drain makes it refuse everything.
    pub(super) closed_fronts: [AtomicBool; draining::FRONT_COUNT],
}

/// Guard of the locked state. Dropping it processes the queued finished fetches and releases the lock.
pub(super) struct StateGuard<'a> {
    courier: &'a Courier,
    state: Option<MutexGuard<'a, Core>>,
}

impl Deref for StateGuard<'_> {
    type Target = Core;
    fn deref(&self) -> &Core {
        self.state.as_ref().expect("held until it is dropped")
    }
}

impl DerefMut for StateGuard<'_> {
    fn deref_mut(&mut self) -> &mut Core {
        self.state.as_mut().expect("held until it is dropped")
    }
}

impl Drop for StateGuard<'_> {
    fn drop(&mut self) {
        if let Some(state) = self.state.take() {
            self.courier.process_finished(state);
        }
    }
}

impl Courier {
    /// Creates the core and resumes the messages that the journal lists as pending.
    pub fn new(settings: Settings, seed: u64, clock: Clock, journal: Journal, options: Options) -> Courier {
        let (core, orders) = Core::new(settings, seed, clock.now(), journal, options);
        let courier = Courier {
            clock,
            sharing: core.sharing_state.desk.clone(),
            history: core.history.as_ref().map(|history| history.shelf.clone()),
            state: Mutex::new(core),
            finished: Mutex::default(),
            finished_count: AtomicUsize::new(0),
            orders,
            board: Arc::default(),
            closed_fronts: draining::all_fronts_open(),
        };
        courier.update_closed_fronts(&courier.state());
        courier
    }

    pub(super) fn state(&self) -> StateGuard<'_> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        StateGuard { courier: self, state: Some(state) }
    }

    /// Queues finished fetches. They are processed at once, by this thread or by the one that holds the state.
    fn push_finished(&self, fetches: Vec<FinishedFetch>) {
        let mut finished = self.finished.lock().unwrap_or_else(PoisonError::into_inner);
        finished.extend(fetches);
        // Stored while the queue is locked. After the lock is released, a delayed store of a smaller number would hide
        // fetches that were queued meanwhile.
        self.finished_count.store(finished.len(), Ordering::SeqCst);
        drop(finished);
        match self.state.try_lock() {
            Ok(state) => self.process_finished(state),
            Err(TryLockError::Poisoned(state)) => self.process_finished(state.into_inner()),
            // The thread that holds the state checks the queue again after it releases the lock.
            Err(TryLockError::WouldBlock) => {}
        }
    }

    /// Processes the queued finished fetches and releases the state. The queue is checked again after the release: a
    /// fetch queued in between, by a thread that found the state locked, would otherwise wait until the next event.
    fn process_finished<'a>(&'a self, mut state: MutexGuard<'a, Core>) {
        loop {
            if self.finished_count.load(Ordering::SeqCst) > 0 {
                let mut finished = self.finished.lock().unwrap_or_else(PoisonError::into_inner);
                let fetches = std::mem::take(&mut *finished);
                self.finished_count.store(0, Ordering::SeqCst);
                drop(finished);
                state.fetches_done(self.clock.now(), fetches);
            }
            self.board.publish(state.figures());
            drop(state);
            if self.finished_count.load(Ordering::SeqCst) == 0 {
                return;
            }
            state = match self.state.try_lock() {
                Ok(state) => state,
                Err(TryLockError::Poisoned(state)) => state.into_inner(),
                Err(TryLockError::WouldBlock) => return,
            };
        }
    }

    /// Blocks until the next order. The courier exists as long as its process, so the channel of orders never closes.
    pub fn next_order(&self) -> Order {
        self.orders.recv().unwrap_or(Order::Nothing)
    }

    /// Processes an event that a front reports, and answers it.
    pub fn report(&self, what: Report) -> Answer {
        if let Report::Done { fetch, end, latency, load, reply: said } = what {
            self.push_finished(vec![FinishedFetch { fetch, end, latency, load, said }]);
            return Answer::Acknowledged;
        }
        let mut state = self.state();
        // A fetch that finished earlier and is still queued may demand a wait or end this message. Dropping the guard
        // processes it before the decision.
        if matches!(what, Report::Begin(_)) && self.finished_count.load(Ordering::SeqCst) > 0 {
            drop(state);
            state = self.state();
        }
        let now = self.clock.now();
        state.report(now, what)
    }

    /// Decides for each member of a batch that has its connection whether its first byte may be sent.
    pub fn begin_all(&self, fetches: &[Fetch]) -> Vec<bool> {
        let mut state = self.state();
        // Queued fetches are processed first, for the same reason as in [`Courier::report`].
        if self.finished_count.load(Ordering::SeqCst) > 0 {
            drop(state);
            state = self.state();
        }
        let now = self.clock.now();
        state.begin_all(now, fetches)
    }

    /// Reports the end of fetches that shared one call; they are processed together. The first stands for the call.
    pub fn batch_done(&self, ends: Vec<(Fetch, End)>, latency: Micros, load: &[f32]) {
        let finished =
            |(fetch, end)| FinishedFetch { fetch, end, latency, load: load.to_vec(), said: String::new() };
        self.push_finished(ends.into_iter().map(finished).collect());
    }

    /// Accepts or refuses each of several reqs that arrived together. One journal write covers all that are accepted,
    /// and one round of the decision module decides on them, in their order.
    pub fn hand_in(&self, reqs: Vec<Req>) -> Vec<Answer> {
        let now = self.clock.now();
        self.state().admit(now, reqs)
    }

    /// Reports for each message whether the answer that accepted it could be written.
    pub fn answered(&self, written: &[(u64, bool)]) {
        let now = self.clock.now();
        self.state().answered(now, written);
    }

    /// Advances the core's time; returns the latest moment for the next call.
    pub fn tick(&self) -> Instant {
        let now = self.clock.now();
        let next = self.state().tick(now);
        self.clock.instant(next)
    }

    /// Sets the moment at which the process ends: no fetch begins that cannot finish by then.
    pub fn stop(&self, at: Instant) {
        let remaining = at.saturating_duration_since(Instant::now());
        let at = self.clock.now() + Micros(remaining.as_micros() as u64);
        self.state().stop(at);
    }

    /// Number of messages that are still pending.
    pub fn owed(&self) -> usize {
        self.state().pending_messages()
    }

    /// Number of known backends, including those that were removed recently.
    pub fn backends(&self) -> usize {
        self.state().backends.len()
    }

    /// What the courier may do, given the source of this front's list of backends.
    pub fn phase(&self, front: u8) -> Phase {
        self.state().register.front(front).map_or(Phase::Cold, |b| b.phase())
    }

    /// Whether a front reports itself as ready.
    pub fn ready(&self, front: u8) -> bool {
        let now = self.clock.now();
        self.state().register.front_mut(front, now).ready(now)
    }

    /// The version of a front's list from which changes are to be requested.
    pub fn list_version(&self, front: u8) -> u64 {
        self.state().register.front(front).map_or(0, |b| b.list_version())
    }

    /// The number of a front's list and when it was last confirmed, once discovery has answered.
    pub fn edition(&self, front: u8) -> Option<(u64, Micros)> {
        self.state().register.front(front)?.revision()
    }
}
