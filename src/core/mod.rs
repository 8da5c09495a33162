//! The core: a small blocking facade around the decision module, which it alone owns. It knows no wire
//! protocol.
//!
//! [`Courier::report`] processes a report and answers at once, [`Courier::next_order`] blocks until the next order, and
//! [`Courier::tick`] advances time. The fronts see reqs, fetches and verdicts, never the module's events or actions.

mod admission;
pub mod attempt_log;
mod backend_lists;
mod batches;
pub mod bounces;
mod carrying;
pub mod draining;
mod fetch_calls;
pub mod handover;
mod history_feed;
mod journal_outage;
mod kept_list;
mod listed_kinds;
pub mod memory;
pub mod message_lookup;
pub mod neighbours;
mod orders;
mod pending;
pub mod replay_orders;
pub mod replaying;
mod shared;
mod sharing;
mod stored_drains;

use crate::admin::metrics::Metrics;
use crate::admin::overrides::EndpointOverrides;
use crate::api::*;
pub use crate::clock::Clock;
use crate::comeback::memory::Waits;
use crate::history::keeper::Keeper;
use crate::policy::usable_room;
use crate::register::kept_changes::ChangeLog;
use crate::register::{Registry, RegistryEffects, RegistryRules};
use crate::store::Journal;
pub use crate::store::{FinalOutcome, Req};
use crate::Sender;
use batches::Batches;
use bounces::{notified_end, BounceComposer};
use crossbeam_channel::Receiver;
use draining::Draining;
use handover::{HandoverState, Ownership};
use listed_kinds::ListedKinds;
use memory::MemoryFile;
use neighbours::ProbesAndNotes;
pub use orders::*;
use pending::{DestinationPlaces, PendingMessage};
use replaying::Replays;
pub use shared::Courier;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// Options of the core.
#[derive(Default)]
pub struct Options {
    /// Rules of the register.
    pub register: RegistryRules,
    /// Folder in which drains are stored. If `None`, no drain can be requested.
    pub drain_dir: Option<PathBuf>,
    /// Composes the bounces of a front whose undelivered messages end by bounces. A drain does not end these, because the
    /// outcomes that they report would otherwise never be delivered. `None`: no front has bounces.
    pub bounces: Option<Arc<dyn BounceComposer>>,
    /// Administrative overrides that exclude endpoints. If `None`, no endpoint can be excluded.
    pub overrides: Option<Arc<EndpointOverrides>>,
    /// State handed over by the process that served before this one.
    pub handed_over: Option<HandoverState>,
    /// Change log of the platform's endpoint list. If `None`, changes are kept with the whole list only.
    pub list_changes: Option<ChangeLog>,
    /// Folder for the state that the next process run needs. If `None`, that state is not stored.
    pub memory_dir: Option<PathBuf>,
    /// Whether the outcomes of ended messages are kept for lookups.
    pub record_outcomes: bool,
    /// Store of ended messages. If `None`, they are not kept.
    pub history: Option<Keeper>,
}

/// A finished fetch and its result.
struct FinishedFetch {
    fetch: Fetch,
    end: End,
    latency: Micros,
    load: Vec<f32>,
    said: String,
}

/// The single owner of the decision module, the journal, the register and the pending messages. It reads no clock and
/// never blocks: its caller passes the current time and carries out its orders. [`Courier`] shares one core among
/// threads; an emulator can drive any number of cores in virtual time.
pub struct Core {
    policy: Box<dyn DecisionEngine>,
    journal: Journal,
    order_sender: crossbeam_channel::Sender<Order>,
    messages: BTreeMap<u64, PendingMessage>,
    messages_by_id: HashMap<String, u64>,
    next_message: u64,
    max_pending: usize,
    /// The part of `max_pending` up to which the decision module sheds nothing.
    usable_room: usize,
    places: DestinationPlaces,
    bounce_composer: Option<Arc<dyn BounceComposer>>,
    /// Bounces that the decision module does not know yet.
    new_bounces: Vec<Event>,
    backends: BTreeMap<EndpointId, Arc<Backend>>,
    endpoint_ids: HashMap<(u8, String), EndpointId>,
    next_endpoint_number: u32,
    /// Removed backends. They are forgotten once no message can refer to them.
    removed_backends: VecDeque<backend_lists::RemovedBackend>,
    /// The listed backends, the source of each and how far each is trusted.
    register: Registry,
    list_changes: Option<ChangeLog>,
    batches: Batches,
    listed_kinds: ListedKinds,
    /// Fetches that wait for their turn at a backend that is not fully trusted, with their timeouts.
    waiting_fetches: BTreeMap<u64, (Fetch, Micros)>,
    draining: Draining,
    neighbours: ProbesAndNotes,
    sharing_state: sharing::FleetExchange,
    mode: Ownership,
    /// Until when each destination must not be called, according to answers that are not completely read yet. The
    /// decision module is notified of a wait with the complete answer; by then the wait here has expired or is the same
    /// as the one that the module receives.
    destination_waits: Waits,
    memory_file: MemoryFile,
    /// Feeds ended messages to their store. If `None`, they are not kept.
    history: Option<history_feed::HistoryFeed>,
    /// Ended messages that are being sent again.
    replays: Replays,
    /// Fetches that the previous process carries out to their end.
    predecessor_fetches: BTreeMap<u64, Fetch>,
    overrides: Option<Arc<EndpointOverrides>>,
    /// The version of the overrides that is applied here.
    overrides_version: u64,
    figures: Metrics,
    recent_outcomes: message_lookup::RecentOutcomes,
    next_member_count_at: Micros,
    next_timer_at: Option<Micros>,
    stop_at: Option<Micros>,
    journal_outage: journal_outage::JournalOutage,
    /// Whether the last req whose id must be remembered was refused for want of room for it.
    refuses_for_ids: bool,
}

const TICK_INTERVAL_US: u64 = 5_000;
/// Interval at which the endpoints are counted again even if no list changed, because the decision module may have
/// ejected another endpoint.
const MEMBER_COUNT_INTERVAL: Micros = Micros(100_000);
/// The front whose list decides whether the instance reports itself ready.
const PLATFORM_FRONT: u8 = 0;
/// Minimum time left before the process stops or a drain ends for a fetch to begin. A later one would be cut off.
const MIN_TIME_TO_BEGIN: Micros = Micros(700_000);
/// Retry delay given to clients if the decision module has given none.
const DEFAULT_RETRY_AFTER: Micros = Micros(1_000_000);

impl Core {
    /// Creates a core with the default decision module, and the queue of its orders. The messages that the journal
    /// lists as pending are resumed.
    pub fn new(
        settings: Settings, seed: u64, now: Micros, journal: Journal, options: Options,
    ) -> (Core, Receiver<Order>) {
        let policy = Box::new(Sender::new(settings.clone(), seed));
        Core::with_policy(policy, &settings, seed, now, journal, options)
    }

    /// Like [`Core::new`], with the given decision module.
    pub fn with_policy(
        policy: Box<dyn DecisionEngine>, settings: &Settings, seed: u64, now: Micros, journal: Journal,
        options: Options,
    ) -> (Core, Receiver<Order>) {
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        let max_retry_after = settings.limits.max_retry_after;
        let bounce_class = options.bounces.as_ref().map(|bounces| bounces.class());
        let draining = Draining::new(
            options.drain_dir.as_deref(),
            effects,
            max_retry_after,
            bounce_class,
            journal.position_names().cloned(),
        );
        let (order_sender, orders) = crossbeam_channel::unbounded();
        let next_message = journal.pending().keys().next_back().map_or(0, |m| m + 1).max(now.0);
        let batches = Batches::new(settings.kinds.iter().map(|k| k.max_batch_size).collect());
        let max_pending = settings.limits.max_open.map_or(usize::MAX, |m| m as usize);
        let mut core = Core {
            policy,
            journal,
            order_sender,
            messages: BTreeMap::new(),
            messages_by_id: HashMap::new(),
            next_message,
            max_pending,
            usable_room: settings.limits.max_open.map_or(usize::MAX, usable_room),
            places: DestinationPlaces::default(),
            bounce_composer: options.bounces,
            new_bounces: Vec::new(),
            backends: BTreeMap::new(),
            endpoint_ids: HashMap::new(),
            next_endpoint_number: 1,
            removed_backends: VecDeque::new(),
            register: Registry::new(options.register, seed),
            list_changes: options.list_changes,
            batches,
            listed_kinds: ListedKinds::new(settings),
            waiting_fetches: BTreeMap::new(),
            draining,
            neighbours: ProbesAndNotes::new(settings.limits.probes, settings.limits.gossip),
            sharing_state: sharing::FleetExchange::default(),
            mode: Ownership::Active,
            destination_waits: Waits::new(),
            memory_file: MemoryFile::new(options.memory_dir),
            history: None,
            replays: Replays::new(settings),
            predecessor_fetches: BTreeMap::new(),
            overrides: options.overrides,
            overrides_version: 0,
            figures: Metrics::default(),
            recent_outcomes: message_lookup::RecentOutcomes::new(options.record_outcomes),
            next_member_count_at: Micros(0),
            next_timer_at: None,
            stop_at: None,
            journal_outage: journal_outage::JournalOutage::default(),
            refuses_for_ids: false,
        };
        core.journal.set_repeatable_classes(settings.repeatable_classes());
        core.reserve_room_for_bounces();
        core.open_history(now, options.history);
        core.apply_overrides(now);
        let mut handover = options.handed_over;
        handover.iter_mut().for_each(|state| core.import_handover(state));
        core.restore_memory(now, handover.is_some());
        core.resume(now, handover.as_ref());
        core.apply_due_drains(now, true);
        (core, orders)
    }

    /// See [`Courier::hand_in`].
    pub fn hand_in(&mut self, now: Micros, reqs: Vec<Req>) -> Vec<Answer> {
        self.admit(now, reqs)
    }

    /// See [`Courier::answered`].
    pub fn answered(&mut self, now: Micros, written: &[(u64, bool)]) {
        for (msg, written) in written {
            let report = if *written { Report::Answered(*msg) } else { Report::Withdrawn(*msg) };
            self.report(now, report);
        }
    }

    /// Advances time. Returns the latest time at which it must be called again.
    pub fn tick(&mut self, now: Micros) -> Micros {
        if !self.is_active() {
            return now + Micros(TICK_INTERVAL_US);
        }
        self.apply_overrides(now);
        self.exchange_with_fleet(now);
        if self.next_member_count_at <= now {
            self.next_member_count_at = now + MEMBER_COUNT_INTERVAL;
            self.update_member_counts();
        }
        for (front, effects) in self.register.tick(now) {
            self.apply_list_change(now, front, effects, Vec::new());
        }
        if self.draining.next_at().is_some_and(|at| at <= now) {
            self.apply_due_drains(now, false);
        }
        self.write_memory_if_due(now);
        self.retry_journal(now);
        self.release_persisted_ends();
        self.start_next_replay(now);
        self.start_new_bounces(now);
        if self.next_timer_at.is_some_and(|at| at <= now) {
            self.next_timer_at = None;
            self.feed(now, &[Event::TimerElapsed(TimerToken(0))], &mut []);
        }
        let next_tick = now + Micros(TICK_INTERVAL_US);
        self.next_timer_at.map_or(next_tick, |at| at.min(next_tick))
    }

    /// When the decision module's next timer is due, if one is set. Before that time, an emulator needs to call
    /// [`Core::tick`] only for the register and drains.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.next_timer_at
    }

    /// See [`Courier::stop`].
    pub fn stop(&mut self, at: Micros) {
        self.stop_at = Some(at);
    }

    /// The number of messages whose end is pending.
    pub fn pending_messages(&self) -> usize {
        self.messages.len()
    }

    /// Counts of message outcomes and the current state.
    pub fn figures(&mut self) -> &Metrics {
        self.figures.ended_ids = self.journal.ended_id_figures();
        self.figures.pending = self.messages.len().saturating_sub(self.replays.active_count()) as u64;
        &self.figures
    }

    /// Processes a report of what happened.
    pub fn report(&mut self, now: Micros, report: Report) -> Answer {
        if !self.is_active() {
            return self.report_while_inactive(report);
        }
        match report {
            Report::Req(req) => {
                let answer = self.admit(now, vec![req]).pop();
                return answer.unwrap_or_else(|| Answer::Refused(self.default_retry_after()));
            }
            // A client that disconnects before its answer withdraws its message, unless another client submitted the
            // same message and was notified that it is accepted: withdrawing it would lose that client's message.
            Report::Withdrawn(msg)
                if !self.messages.get(&msg).is_some_and(|m| m.accepted_from_other_client) =>
            {
                self.withdraw_unanswered(now, msg)
            }
            Report::Answered(msg) | Report::Withdrawn(msg) => {
                let message = self.messages.get_mut(&msg);
                let (deferred_orders, waiting_batch) =
                    message.map_or((None, None), |m| (m.orders_after_answer.take(), m.waiting_batch.take()));
                for order in deferred_orders.into_iter().flatten() {
                    match order {
                        Order::Notice(notice) => self.send_notice(now, notice),
                        order => self.order(order),
                    }
                }
                waiting_batch.into_iter().for_each(|batch| self.batch_answer_resolved(batch));
            }
            Report::Begin(fetch) => return Answer::MayBegin(self.begin_fetch(now, &fetch)),
            Report::RetryAfter { front, dest, wait } => {
                self.record_wait(now, front, dest, wait);
                self.write_memory_if_due(now);
            }
            Report::Done { fetch, end, latency, load, reply } => {
                self.fetches_done(now, vec![FinishedFetch { fetch, end, latency, load, said: reply }]);
            }
            Report::NoticeDelivered(msg) => {
                let outcome = self.journal.pending().get(&msg).and_then(|owed| owed.final_outcome);
                let (ended, how) = notified_end(outcome);
                self.finish_message(now, msg, ended, how, None);
                self.queue_ended_messages();
            }
            Report::List { front, update } => self.list_updated(now, front, update),
            Report::ListUnchanged(front) => {
                let effects = self.register.front_mut(front, now).heartbeat(now);
                if effects != RegistryEffects::default() {
                    self.apply_list_change(now, front, effects, Vec::new());
                }
            }
            Report::ListFailed(front) => {
                let effects = self.register.front_mut(front, now).watch_failed(now);
                self.apply_list_change(now, front, effects, vec![Event::ListFailed]);
            }
        }
        Answer::Acknowledged
    }
}

fn policy_message(id: u64, req: &Req) -> Message {
    Message {
        id: MessageId(id),
        destination: DestinationId(req.dest),
        class: ClassId(req.class),
        tenant: TenantId(req.tenant),
        key: None,
        due: req.due,
    }
}

fn returned_event(
    fetch: &Fetch, outcome: Outcome, terminal: bool, latency: Micros, report: Vec<f32>,
) -> Event {
    let (id, endpoint, attempt) = (MessageId(fetch.msg), fetch.endpoint, fetch.attempt);
    Event::Returned { id, endpoint, outcome, terminal, latency, attempt, report }
}

/// Name and address of a backend.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Backend {
    /// Name in the list, the same at every courier.
    pub name: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// The zone that it is listed in.
    pub zone: Option<ZoneId>,
    /// Its destination.
    pub dest: u16,
}
