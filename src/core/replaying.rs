//! Sending ended messages again. One is in the module only while a call of it is out: it comes in when no live message waits and
//! a slot is free, and if it can't go at once it is taken out again, so it never competes. It has one call; it is claimed in the
//! history just before the first byte, and the claim is closed once the call is over. The journal never hears of it.

use super::{policy_message, returned_event, Core, End, FinishedFetch, PendingMessage, Req};
use crate::api::{Class, DedupGroup, Effect, Event, MessageId, Micros, Outcome, Settings};
use crate::history::keeper::Keeper;
use crate::history::reading::World;
use crate::history::replay::{Gate, Life, Live, Not, Order, Run};
use crate::history::store::History;
use crate::register::Registry;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Slots that stay free for what may come: one in so many.
const SPARE: usize = 4;

/// None comes in for so long after a live message waited, after one could not go at once, and after a partner turned one away.
const QUIET: Micros = Micros(50_000);
const PUT_OFF: Micros = Micros(250_000);
const AWAY: Micros = Micros(1_000_000);

/// One that is in the module.
struct One {
    /// The order's number, and the message's in the history.
    order: u64,
    number: u64,
    claimed: bool,
    /// It may not go any more.
    passed: bool,
}

/// One that is out of the module, and whose claim is to be closed.
struct Closing {
    order: u64,
    number: u64,
    claimed: bool,
    passed: bool,
    ran: bool,
    taken: bool,
}

/// Why the history can't be asked.
pub(super) enum HistoryUnavailable {
    /// Its thread is at it, or its file is slow: later.
    Busy,
    /// It is closed or off.
    Closed,
}

/// What is being sent again.
pub(super) struct Replays {
    classes: Vec<Class>,
    slots: usize,
    pub(super) runs: Vec<Run>,
    /// The turn in which each order was last planned, and whether it was to be run.
    pub(super) planned: BTreeMap<u64, (u16, bool)>,
    /// What is known of orders is looked at again then.
    pub(super) next_order_check: Micros,
    ones: BTreeMap<u64, One>,
    closing: Vec<Closing>,
    /// None comes in before.
    quiet_until: Micros,
}

impl Replays {
    pub(super) fn new(settings: &Settings) -> Replays {
        let slots = settings.limits.slots.map_or(64, |s| s as usize);
        Replays {
            classes: settings.classes.clone(),
            slots,
            runs: Vec::new(),
            planned: BTreeMap::new(),
            next_order_check: Micros(0),
            ones: BTreeMap::new(),
            closing: Vec::new(),
            quiet_until: Micros(0),
        }
    }

    /// Whether this one is sent again.
    pub(super) fn contains(&self, msg: u64) -> bool {
        self.ones.contains_key(&msg)
    }

    /// How many are in the module.
    pub(super) fn active_count(&self) -> usize {
        self.ones.len()
    }

    /// Another process decides. What is out keeps its claim, as after a kill.
    pub(super) fn stop_all(&mut self) {
        self.runs.clear();
        self.planned.clear();
    }

    pub(super) fn run_mut(&mut self, order: u64) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.order.id() == order)
    }
}

fn effect(classes: &[Class], class: u16) -> Effect {
    classes.get(usize::from(class)).map_or(Effect::Unsafe, |c| c.effect)
}

/// Whether an endpoint that remembers the key is there. Danger: of a zone only the very endpoint is known to be of it.
fn group(classes: &[Class], register: &Registry, dest: u16, backend: &str, class: u16) -> bool {
    let books = || (0..2).filter_map(|front| register.front(front));
    match effect(classes, class) {
        Effect::Keyed { group: DedupGroup::All, .. } => books().any(|b| b.has_destination(dest)),
        _ => books().any(|b| b.accepts_calls(backend)),
    }
}

impl Core {
    /// Lets the next one in, if it is time for it.
    pub(super) fn start_next_replay(&mut self, now: Micros) {
        self.update_replay_orders(now);
        if self.replays.runs.is_empty() && self.replays.ones.is_empty() {
            return;
        }
        self.close_claims(now);
        // The module has given them up, or puts them off.
        let idle = |m: &u64| {
            self.messages.get(m).is_none_or(|held| !held.in_flight) || self.waiting_fetches.contains_key(m)
        };
        let idle: Vec<u64> = self.replays.ones.keys().copied().filter(idle).collect();
        idle.into_iter().for_each(|msg| self.withdraw(now, msg));
        if self.stop_at.is_some() || self.replays.runs.iter().all(Run::over) {
            return;
        }
        let waits =
            |(msg, m): &(&u64, &PendingMessage)| !m.decided && !m.in_flight && !self.replays.contains(**msg);
        let waiting = self.messages.iter().filter(waits).count();
        if waiting > 0 {
            self.replays.quiet_until = self.replays.quiet_until.max(now + QUIET);
        }
        if now < self.replays.quiet_until || !self.replays.runs.iter().any(|run| run.due(now)) {
            return;
        }
        let live = Live {
            waiting,
            free: self.replays.slots.saturating_sub(self.messages.values().filter(|m| m.in_flight).count()),
            spare: (self.replays.slots / SPARE).max(1),
        };
        let next = self.try_with_replay_context(now, |history, life, world, runs| {
            runs.iter_mut().find_map(|run| {
                let order = run.order.clone();
                let gate = Gate { book: history.book(), life };
                let may = |number| {
                    let item = history.item(number, world).ok_or(Not::Retention)?;
                    gate.may(now, &order, &item)?;
                    // Danger: it would be lacking in an older copy of the folder, and nobody would know.
                    let beyond = history.orders().beyond(order.id(), item.about.ended);
                    if beyond {
                        Err(Not::NotFresh)
                    } else {
                        Ok(())
                    }
                };
                let number = run.next(now, live, may)?;
                Some((order, number))
            })
        });
        if let Ok(Some((order, number))) = next {
            self.let_in(now, &order, number);
        }
    }

    /// The history with all that decides whether a message may go.
    fn try_with_replay_context<T>(
        &mut self, now: Micros, by: impl FnOnce(&mut History, Life, &World, &mut Vec<Run>) -> T,
    ) -> Result<T, HistoryUnavailable> {
        self.try_with_history(now, |core, keeper| core.with_replay_context(keeper, by))?
            .ok_or(HistoryUnavailable::Closed)
    }

    /// The history, if it is free. Danger: its thread may be writing, and a file that is slow would hold up traffic; neither is
    /// waited for.
    pub(super) fn try_with_history<T>(
        &mut self, now: Micros, by: impl FnOnce(&mut Core, &mut Keeper) -> T,
    ) -> Result<T, HistoryUnavailable> {
        let shelf = self.history.as_ref().ok_or(HistoryUnavailable::Closed)?.shelf.clone();
        let mut keeper = shelf.free().ok_or(HistoryUnavailable::Busy)?;
        let keeper = keeper.as_mut().ok_or(HistoryUnavailable::Closed)?;
        if keeper.slow(now) {
            return Err(HistoryUnavailable::Busy);
        }
        Ok(by(self, keeper))
    }

    /// The same as [`Core::try_with_replay_context`] for whoever has it; `None`: it is closed.
    pub(super) fn with_replay_context<T>(
        &mut self, keeper: &mut Keeper, by: impl FnOnce(&mut History, Life, &World, &mut Vec<Run>) -> T,
    ) -> Option<T> {
        let Core { replays, register, .. } = self;
        let again_after = keeper.config.again_after;
        let (history, hearing) = keeper.both()?;
        let Replays { classes, runs, .. } = replays;
        let effect = |class| effect(classes, class);
        let group = |dest, backend: &str, class| group(classes, register, dest, backend, class);
        let world = World { effect: &effect, group: &group };
        let life = Life { hearing, number: hearing.life(), again_after };
        Some(by(history, life, &world, runs))
    }

    /// Into the module, as a message that is handed in, or as one that an earlier life may have sent.
    fn let_in(&mut self, now: Micros, order: &Order, number: u64) {
        let id = order.id();
        let found = self.try_with_replay_context(now, |history, _, world, _| {
            let item = history.item(number, world)?;
            Some((history.peek(now, number)?, item))
        });
        let (kept, item) = match found {
            Ok(Some(found)) => found,
            Err(HistoryUnavailable::Busy) => {
                return self.replays.run_mut(id).into_iter().for_each(|run| run.put_back(number))
            }
            Ok(None) | Err(HistoryUnavailable::Closed) => {
                return self.replays.run_mut(id).into_iter().for_each(|run| run.passed_by(number))
            }
        };
        let deadline = self.replays.classes.get(usize::from(kept.class)).map_or(Micros(0), |c| c.deadline);
        let (mut due, mut risk) = (now + deadline, None);
        let begun = item.claims.get(&id).map_or(item.first, |claim| claim.at());
        if let Effect::Keyed { window, group } = item.effect {
            if now < begun + window && item.group {
                // Danger: behind the end of the window the endpoints would take a repeat for a new one.
                due = due.min(begun + window.scale(0.98));
                // Where not all of them remember the key the module must know which do. It then counts as a repeat, of which
                // the module sends few where little else is sent.
                if group != DedupGroup::All && !kept.first.1.is_empty() {
                    risk = Some((begun, self.endpoint_id(kept.front, &kept.first.1)));
                }
            }
        }
        let req = Req {
            id: kept.id,
            front: kept.front,
            dest: kept.dest,
            class: kept.class,
            tenant: kept.tenant,
            due,
            head: kept.head,
            body: kept.body.into(),
            keep_id: Micros(0),
        };
        if self.draining.refusal(now, &req).is_some() {
            self.replays.run_mut(id).into_iter().for_each(|run| run.put_back(number));
            return;
        }
        let (msg, req) = (self.next_message, Arc::new(req));
        self.next_message += 1;
        let held = PendingMessage {
            req: req.clone(),
            attempts: 0,
            orders_after_answer: None,
            decided: false,
            accepted_from_other_client: false,
            resumed_may_have_run: false,
            in_flight: false,
            waiting_batch: None,
        };
        self.messages.insert(msg, held);
        self.replays.ones.insert(msg, One { order: id, number, claimed: false, passed: false });
        let message = policy_message(msg, &req);
        let event = match risk {
            Some(_) => Event::Resumed { message, attempts: 1, first_uncertain: risk },
            None => Event::Demand(message),
        };
        self.feed(now, &[event], &mut [(msg, None)]);
        let goes = self.messages.get(&msg).is_some_and(|held| held.in_flight)
            && !self.waiting_fetches.contains_key(&msg);
        if !goes {
            // Danger: each try counts as demand of its tenant; the destination may be out for long.
            self.replays.quiet_until = self.replays.quiet_until.max(now + PUT_OFF);
            self.withdraw(now, msg);
        }
    }

    /// It could not go at once, or not any more: it leaves the module.
    fn withdraw(&mut self, now: Micros, msg: u64) {
        let mut events: Vec<Event> = self.leave_waiting_line(msg).into_iter().collect();
        events.push(Event::Withdrawn(MessageId(msg)));
        self.settle(now, msg, None);
        self.feed(now, &events, &mut []);
    }

    /// The last look, and the claim. Danger: from here on it may have run.
    pub(super) fn claim_replay(&mut self, now: Micros, msg: u64) -> bool {
        let Some(one) = self.replays.ones.get(&msg).filter(|one| !one.claimed) else { return false };
        let (order, number) = (one.order, one.number);
        let Some(order) =
            self.replays.run_mut(order).filter(|run| !run.stopped()).map(|run| run.order.clone())
        else {
            return false;
        };
        let claimed = self.try_with_replay_context(now, |history, life, world, _| {
            history.claim(now, &order, number, world, life)
        });
        let Some(one) = self.replays.ones.get_mut(&msg) else { return false };
        match claimed {
            Ok(Ok(Ok(_))) => one.claimed = true,
            Ok(Ok(Err(Not::NotFresh))) => {}
            Ok(Ok(Err(_))) => one.passed = true,
            // What can't be claimed is not sent.
            Ok(Err(_)) | Err(_) => {}
        }
        one.claimed
    }

    /// Its one call is over.
    pub(super) fn finish_replay(&mut self, now: Micros, over: FinishedFetch, events: &mut Vec<Event>) {
        let FinishedFetch { fetch, end, latency, load, .. } = over;
        let outcome = match end {
            End::Delivered => Outcome::Ok,
            End::Failed => Outcome::Error,
            End::Spoilt(wait) => Outcome::InvalidAnswer(wait),
            End::TurnedAway(wait) => Outcome::Refused(wait),
            End::NotConnected => Outcome::ConnectFailed,
            End::Broke => Outcome::Reset,
            End::TimedOut => Outcome::Timeout,
            End::CalledOff => Outcome::Cancelled,
            End::Unsent | End::NotBegun | End::Over | End::Rejected => Outcome::NotSent,
        };
        if let End::TurnedAway(Some(wait)) | End::Spoilt(Some(wait)) = end {
            self.record_wait(now, fetch.req.front, fetch.req.dest, wait);
        }
        if matches!(end, End::TurnedAway(_)) {
            self.replays.quiet_until = self.replays.quiet_until.max(now + AWAY);
        }
        let mut more = Vec::new();
        self.record_call_end(now, &fetch, end.for_trust(), &mut more);
        let terminal = matches!(end, End::Delivered | End::Over | End::Rejected);
        events.push(returned_event(&fetch, outcome, terminal, latency, load));
        events.push(Event::Withdrawn(MessageId(fetch.msg)));
        events.append(&mut more);
        self.settle(now, fetch.msg, Some(end));
    }

    /// It is out of the module: its claim is closed, or was never needed.
    fn settle(&mut self, now: Micros, msg: u64, end: Option<End>) {
        let Some(One { order, number, claimed, passed }) = self.replays.ones.remove(&msg) else { return };
        self.drop_msg(msg);
        // Danger: a claim that can't be closed stands for one that may have run.
        let ran =
            claimed && end.is_some_and(|end| end.may_have_run() || matches!(end, End::Over | End::Rejected));
        let taken = end == Some(End::Delivered);
        self.replays.closing.push(Closing { order, number, claimed, passed, ran, taken });
        self.close_claims(now);
    }

    /// What waited for the history to be free. Until then its run counts it as out.
    fn close_claims(&mut self, now: Micros) {
        for one in std::mem::take(&mut self.replays.closing) {
            let Closing { order, number, claimed, passed, ran, taken } = one;
            let known = self.replays.run_mut(order).map(|run| run.order.clone());
            if let Some(order) = known.filter(|_| claimed) {
                let closed = self.try_with_replay_context(now, |history, _, _, _| match ran {
                    true => history.sent(&order, number, taken),
                    false => history.unclaim(&order, number),
                });
                if matches!(closed, Err(HistoryUnavailable::Busy)) {
                    self.replays.closing.push(one);
                    continue;
                }
            }
            let Some(run) = self.replays.run_mut(order) else { continue };
            match (passed, ran) {
                (true, _) => run.passed_by(number),
                (_, true) => run.ended(number, taken),
                _ => run.put_back(number),
            }
        }
    }
}
