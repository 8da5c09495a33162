//! The core shared by the threads of a process: one clock, one lock, and a desk for fetches that are over.

use super::{draining, Answer, Core, End, Fetch, FinishedFetch, Options, Order, Report, Req};
use crate::admin::figures::Board;
use crate::api::{Micros, Settings};
use crate::clock::Clock;
use crate::history::shelf::Shelf;
use crate::register::kept_copy::ListSnapshot;
use crate::register::phase::Phase;
use crate::shared::sharing::Desk;
use crate::store::Journal;
use crossbeam_channel::Receiver;
use std::ops::{Deref, DerefMut};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::time::Instant;

/// The courier's decisions, shared by all threads.
pub struct Courier {
    /// The one clock.
    pub clock: Clock,
    state: Mutex<Core>,
    /// Fetches that are over and that the core has not heard of yet, and how many: whoever holds the state takes them in
    /// before it lets go. Threads that end a fetch never wait for the state, and what ends together is one round of the
    /// module and one write of the journal.
    desk: Mutex<Vec<FinishedFetch>>,
    on_desk: AtomicUsize,
    orders: Receiver<Order>,
    /// Ended messages; `None`: they are not kept.
    pub(super) history: Option<Arc<Shelf>>,
    /// What operators read; it is as it was when the state was last let go of.
    pub board: Arc<Board>,
    /// Where the core meets what couriers share.
    pub sharing: Arc<Desk>,
    /// Fronts that take nothing on.
    pub(super) closed_fronts: [AtomicBool; draining::FRONT_COUNT],
}

/// The state while one thread holds it. What lies on the desk by the end is taken in.
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
            self.courier.clear_desk(state);
        }
    }
}

impl Courier {
    /// Takes up what the journal says is owed.
    pub fn new(settings: Settings, seed: u64, clock: Clock, journal: Journal, options: Options) -> Courier {
        let (core, orders) = Core::new(settings, seed, clock.now(), journal, options);
        let courier = Courier {
            clock,
            sharing: core.sharing_state.desk.clone(),
            history: core.history.as_ref().map(|history| history.shelf.clone()),
            state: Mutex::new(core),
            desk: Mutex::default(),
            on_desk: AtomicUsize::new(0),
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

    /// Fetches are over. They are taken in at once, by this thread or by the one that holds the state.
    fn over(&self, over: Vec<FinishedFetch>) {
        let mut desk = self.desk.lock().unwrap_or_else(PoisonError::into_inner);
        desk.extend(over);
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
    pub fn next_order(&self) -> Order {
        self.orders.recv().unwrap_or(Order::Nothing)
    }

    /// Takes in what happened.
    pub fn report(&self, what: Report) -> Answer {
        if let Report::Done { fetch, end, latency, load, reply: said } = what {
            self.over(vec![FinishedFetch { fetch, end, latency, load, said }]);
            return Answer::Acknowledged;
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

    /// The members of a batch have their connection: which of them may go, each by itself.
    pub fn begin_all(&self, fetches: &[Fetch]) -> Vec<bool> {
        let mut state = self.state();
        // Danger: as in [`Courier::report`].
        if self.on_desk.load(Ordering::SeqCst) > 0 {
            drop(state);
            state = self.state();
        }
        let now = self.clock.now();
        state.begin_all(now, fetches)
    }

    /// Fetches that shared a call are over; they are taken in as one. The first speaks for the call.
    pub fn batch_done(&self, ends: Vec<(Fetch, End)>, latency: Micros, load: &[f32]) {
        let over =
            |(fetch, end)| FinishedFetch { fetch, end, latency, load: load.to_vec(), said: String::new() };
        self.over(ends.into_iter().map(over).collect());
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
        self.state().register.front(front).map_or(Phase::Cold, |b| b.phase())
    }

    /// Whether a front calls itself ready.
    pub fn ready(&self, front: u8) -> bool {
        let now = self.clock.now();
        self.state().register.front_mut(front, now).ready(now)
    }

    /// The version of a front's list after which its changes are to be asked for.
    pub fn list_version(&self, front: u8) -> u64 {
        self.state().register.front(front).map_or(0, |b| b.list_version())
    }

    /// The number of a front's list and when it was last true, once discovery has spoken.
    pub fn edition(&self, front: u8) -> Option<(u64, Micros)> {
        self.state().register.front(front)?.revision()
    }

    /// That list, and the bytes that the journal takes beside it.
    pub fn list_to_store(&self, front: u8) -> Option<(ListSnapshot, u64)> {
        let state = self.state();
        Some((state.register.front(front)?.snapshot()?, state.journal.on_disk()))
    }
}
