//! Replay orders: requests to send ended messages again. An order comes from an operator or from a peer courier. It is
//! planned once enough peers were heard from, then run, and may be stopped; a restarted courier continues it. The core's
//! tick skips its work while the history is locked; operators' calls wait for the lock.

use super::replaying::HistoryUnavailable;
use super::{Core, Courier};
use crate::api::Micros;
use crate::history::given::{Given, Part, Phase, Told};
use crate::history::keeper::Keeper;
use crate::history::orders::{Orders, Refused};
use crate::history::replay::{plan, Claim, Gate, Item, Order, Plan, Run};
use std::collections::BTreeMap;

/// The number of messages that one plan may include.
const MAX_MESSAGES_PER_ORDER: usize = 100_000;
/// The number of messages of one order that may be in flight at once.
const MAX_IN_FLIGHT_PER_ORDER: usize = 4;
/// Interval between two updates of all known orders.
const ORDER_UPDATE_INTERVAL: Micros = Micros(100_000);
/// The number of remaining messages that are examined when an order's claim line is advanced.
const MAX_MESSAGES_ADVANCED: usize = 2_048;

/// The current state of a replay order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplayOrderState {
    /// The order as all couriers share it.
    pub given: Given,
    /// This courier's progress on it.
    pub part: Part,
    /// The number of remaining messages that are in flight.
    pub in_flight: u64,
    /// The progress that each peer last reported.
    pub reported_by_peers: BTreeMap<u16, Told>,
}

/// Why a replay order is not accepted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplayOrderError {
    /// This courier keeps no history, or the history file can't be written.
    HistoryUnavailable,
    /// The list of orders refused it.
    Refused(Refused),
}

impl Core {
    /// Updates all known orders once per interval. While the history is locked, this is left to a later tick.
    pub(super) fn update_replay_orders(&mut self, now: Micros) {
        // If the clock was set back, the next check lies more than one interval ahead. Without the second condition, orders
        // would not be updated until the clock has caught up.
        if now < self.replays.next_order_check && self.replays.next_order_check <= now + ORDER_UPDATE_INTERVAL
        {
            return;
        }
        if !matches!(
            self.try_with_history(now, |core, keeper| core.update_all_orders(now, keeper)),
            Err(HistoryUnavailable::Busy)
        ) {
            self.replays.next_order_check = now + ORDER_UPDATE_INTERVAL;
        }
    }

    fn update_all_orders(&mut self, now: Micros, keeper: &mut Keeper) {
        let Some((history, _)) = keeper.both() else { return };
        if history.orders().known.is_empty() && self.replays.runs.is_empty() {
            return;
        }
        // Orders whose removal can't be written now are removed by a later update.
        let _ = history.change(|orders| orders.sweep(now));
        let known: Vec<(u64, Given)> =
            history.orders().known.iter().map(|(id, k)| (*id, k.row.given.clone())).collect();
        let is_known = |id: &u64| known.iter().any(|(known, _)| known == id);
        self.replays.runs.retain(|run| !run.over() || is_known(&run.order.id()));
        self.replays.planned.retain(|id, _| is_known(id));
        for (id, given) in known {
            self.update_order(now, keeper, id, &given);
        }
    }

    fn update_order(&mut self, now: Micros, keeper: &mut Keeper, id: u64, given: &Given) {
        if given.stopped {
            self.replays.run_mut(id).into_iter().for_each(Run::stop);
        }
        let turn = (given.turn, given.go);
        let (busy, stops) =
            self.replays.run_mut(id).map_or((false, false), |run| (!run.over(), run.stopped()));
        if busy && !stops {
            // The order was given again while it runs: the run continues unchanged.
            self.replays.planned.insert(id, turn);
        }
        let ready = keeper.both().is_some_and(|(history, hearing)| {
            hearing.fresh(now) && history.book().whole() && history.orders().ready(id)
        });
        if !busy && !given.stopped && ready && self.replays.planned.get(&id) != Some(&turn) {
            self.start_order(now, keeper, id, given);
        }
        self.announce_progress(keeper, id);
        let part = self.current_part(keeper, id, given);
        record_part(keeper, id, part);
    }

    /// Plans an order, and starts its run unless only a plan was requested.
    fn start_order(&mut self, now: Micros, keeper: &mut Keeper, id: u64, given: &Given) {
        let Some((plan, taken, refused)) = self.plan(now, keeper, &given.order) else { return };
        self.replays.planned.insert(id, (given.turn, given.go));
        self.replays.runs.retain(|run| run.order.id() != id);
        let mut part = Part { phase: Phase::Planned, left: plan.may.len() as u32, ..Part::default() };
        (part.taken, part.refused) = (taken as u32, refused as u32);
        if given.go {
            let per_s = keeper.config.per_s;
            let run =
                Run::new(given.order.clone(), &plan, per_s, MAX_IN_FLIGHT_PER_ORDER).carried(taken, refused);
            self.replays.runs.push(run);
        }
        part.not = plan.not;
        record_part(keeper, id, part);
    }

    /// This courier's current progress on an order.
    fn current_part(&mut self, keeper: &Keeper, id: u64, given: &Given) -> Part {
        let known = keeper.history().and_then(|h| h.orders().known.get(&id));
        let mut part = known.map(|known| known.part.clone()).unwrap_or_default();
        let current = self.replays.planned.get(&id) == Some(&(given.turn, given.go));
        let Some(run) = self.replays.run_mut(id) else {
            part.phase = match (given.stopped, current) {
                (true, _) => Phase::Stopped,
                (false, true) => Phase::Planned,
                (false, false) => Phase::Waits,
            };
            return part;
        };
        part.phase = match (run.stopped(), run.over()) {
            (_, true) if !given.stopped && !current => Phase::Waits,
            (true, true) if run.left().next().is_some() => Phase::Stopped,
            (_, true) => Phase::Done,
            (true, false) => Phase::Stops,
            (false, false) => Phase::Runs,
        };
        let done = run.progress();
        part.left = (done.left + done.out) as u32;
        (part.taken, part.refused, part.passed) =
            (done.taken as u32, done.refused as u32, done.passed as u32);
        part
    }

    /// Advances the claim line of an order: messages that ended up to the line may be claimed. Enough peers must hold a
    /// new line before any message between the old and the new line is sent.
    fn announce_progress(&mut self, keeper: &mut Keeper, id: u64) {
        let Some((history, _)) = keeper.both() else { return };
        let run = self.replays.runs.iter().find(|run| run.order.id() == id && !run.stopped());
        let Some(run) = run.filter(|_| history.orders().advances(id)) else { return };
        let left: Vec<Micros> =
            run.left().take(MAX_MESSAGES_ADVANCED).filter_map(|n| history.ended_at(n)).collect();
        // A line that can't be written is not announced, and no message beyond the old one is sent.
        let _ = history.change(|orders| orders.advance(id, left.into_iter()));
    }

    /// Returns a plan, and how many messages this order has already sent that the partner accepted and did not accept.
    fn plan(&mut self, now: Micros, keeper: &mut Keeper, order: &Order) -> Option<(Plan, usize, usize)> {
        let id = order.id();
        self.with_replay_context(keeper, |history, life, world, _| {
            let items: Vec<Item> = history.items(order, world).collect();
            let gate = Gate { book: history.book(), life };
            let ended = |taken: bool| {
                let its = items.iter().filter_map(|i| i.claims.get(&id));
                its.filter(|c| matches!(c, Claim::Ended { taken: t, .. } if *t == taken)).count()
            };
            let (taken, refused) = (ended(true), ended(false));
            (plan(now, order, &gate, &items, BTreeMap::new(), MAX_MESSAGES_PER_ORDER), taken, refused)
        })
    }

    fn order_state(&mut self, keeper: &Keeper, id: u64) -> Option<ReplayOrderState> {
        let known = keeper.history()?.orders().known.get(&id)?.clone();
        let in_flight = self.replays.run_mut(id).map_or(0, |run| run.progress().out as u64);
        Some(ReplayOrderState {
            given: known.row.given,
            part: known.part,
            in_flight,
            reported_by_peers: known.told,
        })
    }

    /// Changes the known orders, and updates all of them at once.
    fn change_orders<T>(
        &mut self, now: Micros, keeper: &mut Keeper, change: impl FnOnce(&mut Orders) -> T,
    ) -> Option<T> {
        let (history, _) = keeper.both()?;
        let result = history.change(change).ok();
        self.update_all_orders(now, keeper);
        self.replays.next_order_check = now + ORDER_UPDATE_INTERVAL;
        result
    }
}

fn record_part(keeper: &mut Keeper, id: u64, part: Part) {
    let known = keeper.both().and_then(|(history, _)| history.orders_mut().known.get_mut(&id));
    if let Some(known) = known {
        known.part = part;
    }
}

impl Courier {
    /// Locks the history first and the core second; the reverse order could deadlock with this one. `None`: there is no
    /// history, or another process has it or is about to take it over.
    fn with_replay_orders<T>(
        &self, action: impl FnOnce(&mut Core, &mut Keeper, Micros) -> Option<T>,
    ) -> Option<T> {
        self.history.as_ref()?.wait(|keeper| {
            let mut state = self.state();
            let now = self.clock.now();
            state.history.as_ref()?;
            action(&mut state, keeper, now)
        })?
    }

    /// Plans an order for the messages in this courier's history; peers plan their own. `None`: this courier has no history.
    pub fn replay_plan(&self, order: &Order) -> Option<Plan> {
        self.with_replay_orders(|state, keeper, now| {
            let (plan, ..) = state.plan(now, keeper, order)?;
            // If the list of orders refuses the order, this courier's own plan is returned all the same.
            let _ = state.change_orders(now, keeper, |orders| orders.give(now, order, false));
            Some(plan)
        })
    }

    /// Accepts an order: it is stored, announced to the peers, and run here once enough of them were heard from. If it is
    /// running already, it was given twice, and the run continues unchanged.
    pub fn replay_run(&self, order: &Order) -> Result<ReplayOrderState, ReplayOrderError> {
        let given = self.with_replay_orders(|state, keeper, now| {
            let given = state.change_orders(now, keeper, |orders| orders.give(now, order, true))?;
            Some(given.map(|id| state.order_state(keeper, id)))
        });
        given
            .ok_or(ReplayOrderError::HistoryUnavailable)?
            .map_err(ReplayOrderError::Refused)?
            .ok_or(ReplayOrderError::HistoryUnavailable)
    }

    /// The states of all known orders.
    pub fn replay_orders(&self) -> Vec<ReplayOrderState> {
        let all = self.with_replay_orders(|state, keeper, _| {
            let known: Vec<u64> = keeper.history()?.orders().known.keys().copied().collect();
            Some(known.into_iter().filter_map(|id| state.order_state(keeper, id)).collect())
        });
        all.unwrap_or_default()
    }

    /// The state of one order. `None`: it is unknown, or there is no history.
    pub fn replay_order(&self, order: u64) -> Option<ReplayOrderState> {
        self.with_replay_orders(|state, keeper, _| state.order_state(keeper, order))
    }

    /// Stops an order: no further message of it is sent, here at once and by peers when they hear of it. `None`: it
    /// is unknown, or there is no history.
    pub fn replay_stop(&self, order: u64) -> Option<ReplayOrderState> {
        self.with_replay_orders(|state, keeper, now| {
            state.change_orders(now, keeper, |orders| orders.stop(order))?;
            state.order_state(keeper, order)
        })
    }
}
