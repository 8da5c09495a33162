//! Replay of ended messages. A replayed message is in the decision module only while a call of it is in flight. It is
//! admitted when no live message waits and a slot is free, and removed again if it can't be sent at once, so it never
//! competes with live traffic. It has one call: the message is claimed in the history just before the first byte, and
//! the claim is closed after the call. The journal has no record of it.

use super::{policy_message, returned_event, Core, End, FinishedFetch, PendingMessage, Req};
use crate::api::{Class, DedupGroup, Effect, Event, MessageId, Micros, Outcome, SentAttempt, Settings};
use crate::history::keeper::Keeper;
use crate::history::reading::World;
use crate::history::replay::{Gate, Life, Live, Not, Order, Run};
use crate::history::store::History;
use crate::register::Registry;
use std::collections::BTreeMap;
use std::sync::Arc;

/// One of this many slots stays free for new live messages.
const RESERVED_SLOT_DIVISOR: usize = 4;

/// The number of slots where the settings name none.
const DEFAULT_SLOTS: usize = 64;

/// The part of a key's repeat window in which a repeat is still sent.
const USABLE_WINDOW_FRACTION: f64 = 0.98;

/// No replay is admitted for this long after a live message had to wait.
const LIVE_WAITING_PAUSE: Micros = Micros(50_000);
/// No replay is admitted for this long after one could not be sent at once.
const NOT_STARTED_PAUSE: Micros = Micros(250_000);
/// No replay is admitted for this long after a partner turned one away.
const TURNED_AWAY_PAUSE: Micros = Micros(1_000_000);

/// A replayed message that is in the decision module.
struct ActiveReplay {
    /// Number of the replay order.
    order: u64,
    /// Number of the message in the history.
    number: u64,
    claimed: bool,
    /// The message may not be sent any more.
    expired: bool,
}

/// A replayed message that has left the decision module, and whose claim is still to be closed.
struct FinishedReplay {
    order: u64,
    number: u64,
    claimed: bool,
    expired: bool,
    /// The call may have taken effect.
    ran: bool,
    /// The partner accepted the message.
    taken: bool,
}

/// Why the history can't be used.
pub(super) enum HistoryUnavailable {
    /// Its thread is using it, or its file is slow; a later try may succeed.
    Busy,
    /// It is closed or disabled.
    Closed,
}

/// The state of all replays.
pub(super) struct Replays {
    classes: Vec<Class>,
    max_slots: usize,
    pub(super) runs: Vec<Run>,
    /// For each order, the turn in which it was last planned, and whether it was to be run.
    pub(super) planned: BTreeMap<u64, (u16, bool)>,
    /// When the known orders are checked next.
    pub(super) next_order_check: Micros,
    active: BTreeMap<u64, ActiveReplay>,
    unclosed: Vec<FinishedReplay>,
    /// No replay is admitted before this time.
    paused_until: Micros,
}

impl Replays {
    pub(super) fn new(settings: &Settings) -> Replays {
        let max_slots = settings.limits.slots.map_or(DEFAULT_SLOTS, |s| s as usize);
        Replays {
            classes: settings.classes.clone(),
            max_slots,
            runs: Vec::new(),
            planned: BTreeMap::new(),
            next_order_check: Micros(0),
            active: BTreeMap::new(),
            unclosed: Vec::new(),
            paused_until: Micros(0),
        }
    }

    /// Whether this message is a replay.
    pub(super) fn contains(&self, msg: u64) -> bool {
        self.active.contains_key(&msg)
    }

    /// Number of replays in the decision module.
    pub(super) fn active_count(&self) -> usize {
        self.active.len()
    }

    /// Ends all runs after a handover. Messages in flight keep their claims, as after a kill of the process.
    pub(super) fn stop_all(&mut self) {
        self.runs.clear();
        self.planned.clear();
    }

    pub(super) fn run_mut(&mut self, order: u64) -> Option<&mut Run> {
        self.runs.iter_mut().find(|run| run.order.id() == order)
    }
}

/// The effect of a class; unknown classes count as unsafe.
fn effect(classes: &[Class], class: u16) -> Effect {
    classes.get(usize::from(class)).map_or(Effect::Unsafe, |c| c.effect)
}

/// Whether an endpoint that remembers the key is listed. For a group that is not all endpoints, only the endpoint of the
/// earlier call is known to belong to it.
fn has_key_group(classes: &[Class], register: &Registry, dest: u16, backend: &str, class: u16) -> bool {
    let fronts = || (0..2).filter_map(|front| register.front(front));
    match effect(classes, class) {
        Effect::Keyed { group: DedupGroup::All, .. } => fronts().any(|front| front.has_destination(dest)),
        _ => fronts().any(|front| front.accepts_calls(backend)),
    }
}

impl Core {
    /// Admits the next replay if live traffic leaves room and its run is due.
    pub(super) fn start_next_replay(&mut self, now: Micros) {
        self.update_replay_orders(now);
        if self.replays.runs.is_empty() && self.replays.active.is_empty() {
            return;
        }
        self.close_claims(now);
        // The decision module gave these replays up or postponed them.
        let idle = |m: &u64| {
            self.messages.get(m).is_none_or(|held| !held.in_flight) || self.waiting_fetches.contains_key(m)
        };
        let idle: Vec<u64> = self.replays.active.keys().copied().filter(idle).collect();
        idle.into_iter().for_each(|msg| self.withdraw_replay(now, msg));
        if self.stop_at.is_some() || self.replays.runs.iter().all(Run::over) {
            return;
        }
        let is_waiting =
            |(msg, m): &(&u64, &PendingMessage)| !m.decided && !m.in_flight && !self.replays.contains(**msg);
        let waiting = self.messages.iter().filter(is_waiting).count();
        if waiting > 0 {
            self.replays.paused_until = self.replays.paused_until.max(now + LIVE_WAITING_PAUSE);
        }
        if now < self.replays.paused_until || !self.replays.runs.iter().any(|run| run.due(now)) {
            return;
        }
        let in_flight = self.messages.values().filter(|m| m.in_flight).count();
        let live = Live {
            waiting,
            free: self.replays.max_slots.saturating_sub(in_flight),
            spare: (self.replays.max_slots / RESERVED_SLOT_DIVISOR).max(1),
        };
        let next = self.try_with_replay_context(now, |history, life, world, runs| {
            runs.iter_mut().find_map(|run| {
                let order = run.order.clone();
                let gate = Gate { book: history.book(), life };
                let check = |number| {
                    let item = history.item(number, world).ok_or(Not::Retention)?;
                    gate.may(now, &order, &item)?;
                    // A message beyond the position that the other couriers know of must not be sent: an older copy of
                    // the folder would lack its claim, and no courier would notice.
                    match history.orders().beyond(order.id(), item.about.ended) {
                        true => Err(Not::NotFresh),
                        false => Ok(()),
                    }
                };
                let number = run.next(now, live, check)?;
                Some((order, number))
            })
        });
        if let Ok(Some((order, number))) = next {
            self.admit_replay(now, &order, number);
        }
    }

    /// Calls `by` with the history and everything else that decides whether a message may be sent, if the history is
    /// free.
    fn try_with_replay_context<T>(
        &mut self, now: Micros, by: impl FnOnce(&mut History, Life, &World, &mut Vec<Run>) -> T,
    ) -> Result<T, HistoryUnavailable> {
        self.try_with_history(now, |core, keeper| core.with_replay_context(keeper, by))?
            .ok_or(HistoryUnavailable::Closed)
    }

    /// Calls `by` with the history if it is free. Its thread may be writing and its file may be slow; waiting for either
    /// would delay live traffic.
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

    /// As [`Core::try_with_replay_context`], for a caller that already has the history; `None` if it is closed.
    pub(super) fn with_replay_context<T>(
        &mut self, keeper: &mut Keeper, by: impl FnOnce(&mut History, Life, &World, &mut Vec<Run>) -> T,
    ) -> Option<T> {
        let Core { replays, register, .. } = self;
        let again_after = keeper.config.again_after;
        let (history, hearing) = keeper.both()?;
        let Replays { classes, runs, .. } = replays;
        let effect = |class| effect(classes, class);
        let group = |dest, backend: &str, class| has_key_group(classes, register, dest, backend, class);
        let world = World { effect: &effect, group: &group };
        let life = Life { hearing, number: hearing.life(), again_after };
        Some(by(history, life, &world, runs))
    }

    /// Passes a message to the decision module: as a new message, or as one that an earlier process may have sent.
    fn admit_replay(&mut self, now: Micros, order: &Order, number: u64) {
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
        // Nobody knows how long a message of a class that the settings do not list may be sent.
        let Some(deadline) = self.replays.classes.get(usize::from(kept.class)).map(|class| class.deadline)
        else {
            return self.replays.run_mut(id).into_iter().for_each(|run| run.passed_by(number));
        };
        let (mut due, mut risk) = (now + deadline, None);
        let begun = item.claims.get(&id).map_or(item.first, |claim| claim.at());
        if let Effect::Keyed { window, group } = item.effect {
            if now < begun + window && item.group {
                // After the end of the window the endpoints would treat a repeat as a new message.
                due = due.min(begun + window.scale(USABLE_WINDOW_FRACTION));
                // If not all endpoints remember the key, the decision module must know which do. The call then counts as a
                // repeat, and the module limits repeats in proportion to the other calls.
                if group != DedupGroup::All && !kept.first.1.is_empty() {
                    let endpoint = self.endpoint_id(kept.front, &kept.first.1);
                    // The history does not keep the zone, so a class keyed by zone goes to the same endpoint.
                    risk = Some(SentAttempt { sent_at: begun, endpoint, zone: None });
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
            keep_id_until: Micros(0),
        };
        if self.draining.refusal(now, &req).is_some() {
            self.replays.run_mut(id).into_iter().for_each(|run| run.put_back(number));
            return;
        }
        let (msg, req) = (self.next_message, Arc::new(req));
        self.next_message += 1;
        self.messages.insert(msg, PendingMessage::new(req.clone()));
        self.replays.active.insert(msg, ActiveReplay { order: id, number, claimed: false, expired: false });
        let message = policy_message(msg, &req);
        let event = match risk {
            Some(_) => Event::Resumed { message, attempts: 1, first_uncertain: risk },
            None => Event::Demand(message),
        };
        self.feed(now, &[event], &mut [(msg, None)]);
        let goes = self.messages.get(&msg).is_some_and(|held| held.in_flight)
            && !self.waiting_fetches.contains_key(&msg);
        if !goes {
            // Each try counts as demand of its tenant, and an outage of the destination may last long: without a pause
            // the tries would add up to a large demand.
            self.replays.paused_until = self.replays.paused_until.max(now + NOT_STARTED_PAUSE);
            self.withdraw_replay(now, msg);
        }
    }

    /// Removes a replay from the decision module that could not be sent at once, or may not be sent any more.
    fn withdraw_replay(&mut self, now: Micros, msg: u64) {
        let mut events: Vec<Event> = self.leave_waiting_line(msg).into_iter().collect();
        events.push(Event::Withdrawn(MessageId(msg)));
        self.remove_replay(now, msg, None);
        self.feed(now, &events, &mut []);
    }

    /// The last check before the first byte, and the claim. Once claimed, the message may have taken effect.
    pub(super) fn claim_replay(&mut self, now: Micros, msg: u64) -> bool {
        let Some(replay) = self.replays.active.get(&msg).filter(|replay| !replay.claimed) else {
            return false;
        };
        let (order, number) = (replay.order, replay.number);
        let Some(order) =
            self.replays.run_mut(order).filter(|run| !run.stopped()).map(|run| run.order.clone())
        else {
            return false;
        };
        let claimed = self.try_with_replay_context(now, |history, life, world, _| {
            history.claim(now, &order, number, world, life)
        });
        let Some(replay) = self.replays.active.get_mut(&msg) else { return false };
        match claimed {
            Ok(Ok(Ok(_))) => replay.claimed = true,
            Ok(Ok(Err(Not::NotFresh))) => {}
            Ok(Ok(Err(_))) => replay.expired = true,
            // A message that can't be claimed is not sent.
            Ok(Err(_)) | Err(_) => {}
        }
        replay.claimed
    }

    /// Processes the end of the one call of a replay.
    pub(super) fn finish_replay(&mut self, now: Micros, finished: FinishedFetch, events: &mut Vec<Event>) {
        let FinishedFetch { fetch, end, latency, load, .. } = finished;
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
            self.replays.paused_until = self.replays.paused_until.max(now + TURNED_AWAY_PAUSE);
        }
        let mut more = Vec::new();
        self.record_call_end(now, &fetch, end.for_trust(), &mut more);
        let terminal = matches!(end, End::Delivered | End::Over | End::Rejected);
        events.push(returned_event(&fetch, outcome, terminal, latency, load));
        events.push(Event::Withdrawn(MessageId(fetch.msg)));
        events.append(&mut more);
        self.remove_replay(now, fetch.msg, Some(end));
    }

    /// Removes a replay that has left the decision module, and closes its claim if it had one.
    fn remove_replay(&mut self, now: Micros, msg: u64, end: Option<End>) {
        let Some(ActiveReplay { order, number, claimed, expired }) = self.replays.active.remove(&msg) else {
            return;
        };
        self.drop_msg(msg);
        // If the claim can't be closed, the message counts as one that may have taken effect.
        let ran =
            claimed && end.is_some_and(|end| end.may_have_run() || matches!(end, End::Over | End::Rejected));
        let taken = end == Some(End::Delivered);
        self.replays.unclosed.push(FinishedReplay { order, number, claimed, expired, ran, taken });
        self.close_claims(now);
    }

    /// Closes the claims of finished replays as far as the history is free. Until then a run counts them as in flight.
    fn close_claims(&mut self, now: Micros) {
        for replay in std::mem::take(&mut self.replays.unclosed) {
            let FinishedReplay { order, number, claimed, expired, ran, taken } = replay;
            let known = self.replays.run_mut(order).map(|run| run.order.clone());
            if let Some(order) = known.filter(|_| claimed) {
                let closed = self.try_with_replay_context(now, |history, _, _, _| match ran {
                    true => history.sent(&order, number, taken),
                    false => history.unclaim(&order, number),
                });
                if matches!(closed, Err(HistoryUnavailable::Busy)) {
                    self.replays.unclosed.push(replay);
                    continue;
                }
            }
            let Some(run) = self.replays.run_mut(order) else { continue };
            match (expired, ran) {
                (true, _) => run.passed_by(number),
                (_, true) => run.ended(number, taken),
                _ => run.put_back(number),
            }
        }
    }
}
