//! The core: a small blocking facade round the decision module, and the one owner of it. It knows no wire.
//!
//! [`Courier::report`] takes in what happened and answers at once, [`Courier::pick`] blocks until the next order,
//! [`Courier::tick`] moves time. The fronts see reqs, fetches and verdicts, never the module's events or actions.

mod admission;
pub mod attempt_log;
mod backend_lists;
mod batches;
mod carrying;
pub mod draining;
mod fetch_calls;
pub mod handover;
mod history_feed;
mod journal_outage;
pub mod memory;
pub mod message_lookup;
pub mod neighbours;
mod orders;
pub mod replay_orders;
pub mod replaying;
mod shared;
mod sharing;

use crate::admin::figures::{Ended, Figures};
use crate::admin::hand::Hand;
use crate::api::*;
pub use crate::clock::Clock;
use crate::comeback::memory::Waits;
use crate::history::keeper::Keeper;
use crate::register::{Registry, RegistryEffects, RegistryRules};
use crate::store::{How, Journal};
pub use crate::store::{Req, Verdict};
use crate::Sender;
use batches::Batches;
use crossbeam_channel::Receiver;
use draining::Draining;
use handover::{HandoverState, Ownership};
use memory::MemoryFile;
use neighbours::ProbesAndNotes;
pub use orders::*;
use replaying::Replays;
pub use shared::Courier;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// What the operators settled for the core.
#[derive(Default)]
pub struct Options {
    /// For the register.
    pub register: RegistryRules,
    /// Where drains are written down; `None`: none can be asked for.
    pub drain_dir: Option<PathBuf>,
    /// The class of what the courier hands in itself to tell an end, as bounces are: a drain lets it in and does not end
    /// it, else an end would go untold.
    pub own_class: Option<u16>,
    /// Endpoints that are left out by hand; `None`: none can be.
    pub overrides: Option<Arc<Hand>>,
    /// What the process passed that served until now.
    pub handed_over: Option<HandoverState>,
    /// Where what the next life must know is written down; `None`: nowhere.
    pub memory_dir: Option<PathBuf>,
    /// How messages ended is remembered, for questions.
    pub record_outcomes: bool,
    /// Where ended messages are kept; `None`: nowhere.
    pub history: Option<Keeper>,
}

/// A fetch that is over.
struct FinishedFetch {
    fetch: Fetch,
    end: End,
    latency: Micros,
    load: Vec<f32>,
    said: String,
}

struct PendingMessage {
    req: Arc<Req>,
    attempts: u8,
    /// Orders that wait for the req's answer to be written. Danger: a fetch that began first would deliver a
    /// message that its client has not heard of.
    orders_after_answer: Option<Vec<Order>>,
    /// What began it was over before: only a notice or an outcome is still due.
    decided: bool,
    /// Somebody else who handed it in was told that it is taken on.
    accepted_from_other_client: bool,
    /// A call is ordered, out, or waits for its turn.
    in_flight: bool,
    /// An earlier process may have sent it.
    resumed_may_have_run: bool,
    /// The batch that waits for this one's answer to be written.
    waiting_batch: Option<u64>,
}

/// The one owner of all that is decided: the module, the journal, the register, the messages owed. It reads no clock and
/// waits for nothing; whoever drives it says what time it is and carries out its orders. [`Courier`] shares one among
/// threads; an emulator drives as many as it likes in a time of its own.
pub struct Core {
    policy: Box<dyn DecisionEngine>,
    journal: Journal,
    order_sender: crossbeam_channel::Sender<Order>,
    messages: BTreeMap<u64, PendingMessage>,
    messages_by_id: HashMap<String, u64>,
    next_message: u64,
    max_pending: usize,
    backends: BTreeMap<EndpointId, Arc<Backend>>,
    endpoint_ids: HashMap<(u8, String), EndpointId>,
    next_endpoint_number: u32,
    /// Backends that have gone, and when: forgotten once no message remembers them.
    removed_backends: VecDeque<(Micros, u8, Arc<Backend>)>,
    /// Which backends are listed, by whom, and how far they are trusted.
    register: Registry,
    batches: Batches,
    /// Fetches that wait for their turn at a backend that is not fully trusted, with their time-outs.
    waiting_fetches: BTreeMap<u64, (Fetch, Micros)>,
    draining: Draining,
    neighbours: ProbesAndNotes,
    sharing_state: sharing::FleetExchange,
    mode: Ownership,
    /// Until when a destination is to be left alone by answers that are not read to their end yet. The module hears of a
    /// wait with the whole answer; by then this is over or repeats it.
    destination_waits: Waits,
    memory_file: MemoryFile,
    /// Ended messages; `None`: they are not kept.
    history: Option<history_feed::HistoryFeed>,
    /// What of them is being sent again.
    replays: Replays,
    /// Calls that the process before carries out to their end.
    predecessor_fetches: BTreeMap<u64, Fetch>,
    overrides: Option<Arc<Hand>>,
    /// The version of it that holds here.
    overrides_version: u64,
    figures: Figures,
    recent_outcomes: message_lookup::RecentOutcomes,
    next_member_count_at: Micros,
    next_timer_at: Option<Micros>,
    stop_at: Option<Micros>,
    journal_outage: journal_outage::JournalOutage,
}

const TICK_INTERVAL_US: u64 = 5_000;
/// Endpoints are counted again so often, though nothing was told of them: the module may avoid another.
const MEMBER_COUNT_INTERVAL: Micros = Micros(100_000);
/// The front whose list says whether the instance calls itself ready.
const PLATFORM_FRONT: u8 = 0;
/// A fetch that begins this shortly before the end would be cut off.
const MIN_TIME_TO_BEGIN: Micros = Micros(700_000);
/// How long a client is told to stay away where the module has said nothing.
const DEFAULT_RETRY_AFTER: Micros = Micros(1_000_000);

impl Core {
    /// A core that decides by the module, and its orders. What the journal says is owed is taken up.
    pub fn new(
        settings: Settings, seed: u64, now: Micros, journal: Journal, options: Options,
    ) -> (Core, Receiver<Order>) {
        let sender = Box::new(Sender::new(settings.clone(), seed));
        Core::with_policy(sender, &settings, seed, now, journal, options)
    }

    /// The same with another module.
    pub fn with_policy(
        sender: Box<dyn DecisionEngine>, settings: &Settings, seed: u64, now: Micros, journal: Journal,
        options: Options,
    ) -> (Core, Receiver<Order>) {
        let effects = settings.classes.iter().map(|c| c.effect).collect();
        let longest = settings.limits.max_retry_after;
        let draining = Draining::new(options.drain_dir.as_deref(), effects, longest, options.own_class);
        let (out, orders) = crossbeam_channel::unbounded();
        let next_msg = journal.owed().keys().next_back().map_or(0, |m| m + 1).max(now.0);
        let batches = Batches::new(settings.kinds.iter().map(|k| k.max_batch_size).collect());
        let max_open = settings.limits.max_open.map_or(usize::MAX, |m| m as usize);
        let mut core = Core {
            policy: sender,
            journal,
            order_sender: out,
            messages: BTreeMap::new(),
            messages_by_id: HashMap::new(),
            next_message: next_msg,
            max_pending: max_open,
            backends: BTreeMap::new(),
            endpoint_ids: HashMap::new(),
            next_endpoint_number: 1,
            removed_backends: VecDeque::new(),
            register: Registry::new(options.register, seed),
            batches,
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
            figures: Figures::default(),
            recent_outcomes: message_lookup::RecentOutcomes::new(options.record_outcomes),
            next_member_count_at: Micros(0),
            next_timer_at: None,
            stop_at: None,
            journal_outage: journal_outage::JournalOutage::default(),
        };
        core.open_history(now, options.history);
        core.apply_overrides(now);
        let mut passed = options.handed_over;
        passed.iter_mut().for_each(|passed| core.import_handover(passed));
        core.restore_memory(now, passed.is_some());
        core.resume(now, passed.as_ref());
        core.apply_due_drains(now, true);
        (core, orders)
    }

    /// As [`Courier::hand_in`].
    pub fn hand_in(&mut self, now: Micros, reqs: Vec<Req>) -> Vec<Answer> {
        self.admit(now, reqs)
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
        if !self.is_active() {
            return now + Micros(TICK_INTERVAL_US);
        }
        self.apply_overrides(now);
        self.exchange_with_fleet(now);
        if self.next_member_count_at <= now {
            self.next_member_count_at = now + MEMBER_COUNT_INTERVAL;
            self.update_member_counts();
        }
        for (front, news) in self.register.tick(now) {
            self.apply_list_change(now, front, news, Vec::new());
        }
        if self.draining.next_at().is_some_and(|at| at <= now) {
            self.apply_due_drains(now, false);
        }
        self.write_memory_if_due(now);
        self.retry_journal(now);
        self.release_persisted_ends();
        self.start_next_replay(now);
        if self.next_timer_at.is_some_and(|at| at <= now) {
            self.next_timer_at = None;
            self.feed(now, &[Event::TimerElapsed(TimerToken(0))], &mut []);
        }
        let soon = now + Micros(TICK_INTERVAL_US);
        self.next_timer_at.map_or(soon, |at| at.min(soon))
    }

    /// When the module wants to hear of time again, if at all: an emulator need not call [`Core::tick`] before that but for
    /// the register and drains.
    pub fn next_timer_at(&self) -> Option<Micros> {
        self.next_timer_at
    }

    /// As [`Courier::stop`].
    pub fn stop(&mut self, at: Micros) {
        self.stop_at = Some(at);
    }

    /// How many messages are owed their end.
    pub fn pending_messages(&self) -> usize {
        self.messages.len()
    }

    /// What became of messages, and how things stand.
    pub fn figures(&mut self) -> &Figures {
        self.figures.pending = self.messages.len().saturating_sub(self.replays.active_count()) as u64;
        &self.figures
    }

    /// Takes in what happened.
    pub fn report(&mut self, now: Micros, what: Report) -> Answer {
        if !self.is_active() {
            return self.report_while_inactive(what);
        }
        match what {
            Report::Req(req) => {
                let answer = self.admit(now, vec![req]).pop();
                return answer.unwrap_or_else(|| Answer::Refused(self.default_retry_after()));
            }
            // Danger: a client that goes before its answer takes the message of another with it, who handed in the same
            // and was told that it is taken on.
            Report::Withdrawn(msg)
                if !self.messages.get(&msg).is_some_and(|m| m.accepted_from_other_client) =>
            {
                self.withdraw_unanswered(now, msg)
            }
            Report::Answered(msg) | Report::Withdrawn(msg) => {
                let held = self.messages.get_mut(&msg);
                let (parked, joins) =
                    held.map_or((None, None), |m| (m.orders_after_answer.take(), m.waiting_batch.take()));
                for order in parked.into_iter().flatten() {
                    match order {
                        Order::Notice(notice) => self.send_notice(now, notice),
                        order => self.order(order),
                    }
                }
                joins.into_iter().for_each(|batch| self.batch_answer_resolved(batch));
            }
            Report::Begin(fetch) => return Answer::MayBegin(self.begin_fetch(now, &fetch)),
            Report::RetryAfter { front, dest, wait } => {
                self.record_wait(now, front, dest, wait);
                self.write_memory_if_due(now);
            }
            Report::Done { fetch, end, latency, load, reply: said } => {
                self.fetches_done(now, vec![FinishedFetch { fetch, end, latency, load, said }]);
            }
            Report::NoticeDelivered(msg) => {
                let (ended, how) = match self.journal.owed().get(&msg).and_then(|owed| owed.verdict) {
                    Some(Verdict::HandedBack(_)) => (Ended::Rejected, How::HandedBack),
                    _ => (Ended::Failed, How::GivenUp),
                };
                self.finish_message(now, msg, ended, how, None);
                self.queue_ended_messages();
            }
            Report::List { front, update: word } => {
                if let Some(hand) = &self.overrides {
                    hand.listed(word.records.iter().map(|line| line.name.as_str()));
                }
                // Discovery has answered, if only that nothing has changed: the module hears that too.
                let answered = (word.source == Source::Discovery).then(|| Event::ListChange(Vec::new()));
                let news = self.register.front_mut(front, now).apply_update(now, word);
                self.apply_list_change(now, front, news, answered.into_iter().collect());
            }
            Report::ListUnchanged(front) => {
                let news = self.register.front_mut(front, now).heartbeat(now);
                if news != RegistryEffects::default() {
                    self.apply_list_change(now, front, news, Vec::new());
                }
            }
            Report::ListFailed(front) => {
                let news = self.register.front_mut(front, now).watch_failed(now);
                self.apply_list_change(now, front, news, vec![Event::ListFailed]);
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

/// A backend as the fronts reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Backend {
    /// Its name in the list, the same at every courier.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
}
