//! Orders to send ended messages again: taken on from an operator or from another courier, planned once enough others were heard,
//! run, stopped, and gone on with after a restart. The core's tick only tries for the history; operators' calls wait for it.

use super::replaying::HistoryUnavailable;
use super::{Core, Courier};
use crate::api::Micros;
use crate::history::given::{Given, Part, Phase, Told};
use crate::history::keeper::Keeper;
use crate::history::orders::{Orders, Refused};
use crate::history::replay::{plan, Claim, Gate, Item, Order, Plan, Run};
use std::collections::BTreeMap;

/// Messages of one order.
const MAX_MESSAGES_PER_ORDER: usize = 100_000;
/// Messages of one order that are out at once.
const MAX_IN_FLIGHT_PER_ORDER: usize = 4;
/// What is known of orders is looked at so often.
const ORDER_UPDATE_INTERVAL: Micros = Micros(100_000);
/// Messages that are looked at for a line at most.
const MAX_MESSAGES_ADVANCED: usize = 2_048;

/// What an order is like now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplayOrderState {
    /// As the fleet has it.
    pub given: Given,
    /// This courier's part.
    pub part: Part,
    /// Of what is left, under way.
    pub in_flight: u64,
    /// What others last said of their parts.
    pub reported_by_peers: BTreeMap<u16, Told>,
}

/// Why an order is not taken on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplayOrderError {
    /// No history is kept here, or its file can't be written.
    HistoryUnavailable,
    /// See there.
    Refused(Refused),
}

impl Core {
    /// What is known of orders, and what is to be done about it. While the history is not free, a later tick does it.
    pub(super) fn update_replay_orders(&mut self, now: Micros) {
        // Danger: a clock that was put back would leave orders alone until it has caught up.
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
        // What can't be put out now is put out later.
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
            // Given again while it runs: it goes on as it is.
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

    /// Plans an order, and begins it if it is to be run.
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

    /// This courier's part as it is now.
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

    /// What goes by a line that others keep is told to them before it goes.
    fn announce_progress(&mut self, keeper: &mut Keeper, id: u64) {
        let Some((history, _)) = keeper.both() else { return };
        let run = self.replays.runs.iter().find(|run| run.order.id() == id && !run.stopped());
        let Some(run) = run.filter(|_| history.orders().advances(id)) else { return };
        let left: Vec<Micros> =
            run.left().take(MAX_MESSAGES_ADVANCED).filter_map(|n| history.ended_at(n)).collect();
        // What can't be written is not told, and nothing beyond it goes.
        let _ = history.change(|orders| orders.advance(id, left.into_iter()));
    }

    /// A plan, and how many were taken and not taken before.
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
        let out = self.replays.run_mut(id).map_or(0, |run| run.progress().out as u64);
        Some(ReplayOrderState {
            given: known.row.given,
            part: known.part,
            in_flight: out,
            reported_by_peers: known.told,
        })
    }

    /// Changes what is known of orders, and does at once what follows.
    fn change_orders<T>(
        &mut self, now: Micros, keeper: &mut Keeper, by: impl FnOnce(&mut Orders) -> T,
    ) -> Option<T> {
        let (history, _) = keeper.both()?;
        let out = history.change(by).ok();
        self.update_all_orders(now, keeper);
        self.replays.next_order_check = now + ORDER_UPDATE_INTERVAL;
        out
    }
}

fn record_part(keeper: &mut Keeper, id: u64, part: Part) {
    let known = keeper.both().and_then(|(history, _)| history.orders_mut().known.get_mut(&id));
    if let Some(known) = known {
        known.part = part;
    }
}

impl Courier {
    /// Danger: the history is waited for first, then the core; never the other way round. `None`: there is none, or another process
    /// has it or is about to.
    fn with_replay_orders<T>(
        &self, by: impl FnOnce(&mut Core, &mut Keeper, Micros) -> Option<T>,
    ) -> Option<T> {
        self.history.as_ref()?.wait(|keeper| {
            let mut state = self.state();
            let now = self.clock.now();
            state.history.as_ref()?;
            by(&mut state, keeper, now)
        })?
    }

    /// What an order would do with what this courier holds; the others plan theirs. `None`: it holds no history.
    pub fn replay_plan(&self, order: &Order) -> Option<Plan> {
        self.with_replay_orders(|state, keeper, now| {
            let (plan, ..) = state.plan(now, keeper, order)?;
            // A plan that finds no room is still this courier's own.
            let _ = state.change_orders(now, keeper, |orders| orders.give(now, order, false));
            Some(plan)
        })
    }

    /// Gives an order: it is kept, told to the others, and run here once enough of them were heard. One that runs goes on as it
    /// is: it was given twice.
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

    /// The orders that are known.
    pub fn replay_orders(&self) -> Vec<ReplayOrderState> {
        let all = self.with_replay_orders(|state, keeper, _| {
            let known: Vec<u64> = keeper.history()?.orders().known.keys().copied().collect();
            Some(known.into_iter().filter_map(|id| state.order_state(keeper, id)).collect())
        });
        all.unwrap_or_default()
    }

    /// One of them.
    pub fn replay_order(&self, order: u64) -> Option<ReplayOrderState> {
        self.with_replay_orders(|state, keeper, _| state.order_state(keeper, order))
    }

    /// Nothing more of it begins, here at once and elsewhere when it is heard; `None`: no such order.
    pub fn replay_stop(&self, order: u64) -> Option<ReplayOrderState> {
        self.with_replay_orders(|state, keeper, now| {
            state.change_orders(now, keeper, |orders| orders.stop(order))?;
            state.order_state(keeper, order)
        })
    }
}
