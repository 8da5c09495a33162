//! The core's part in a handover to another process of the same courier. The old core freezes, so that its journal stops
//! changing. It then either thaws and continues, or hands over and only forwards how its last calls end. The new core
//! continues from the state that it received. [`crate::upgrade::phase`] decides which process may do what at each stage.

use super::{notified_end, Answer, End, Notice, PendingMessage, Report};
use super::{Backend, Core, Courier, Fetch, FinishedFetch, Order};
use crate::api::{EndpointId, EngineState, Event, MessageId, Micros, SentAttempt};
use crate::register::kept_copy::ListSnapshot;
use crate::store::StartedAttempt;
use crossbeam_channel::Sender;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// The state that the new process needs beside the journal. It is passed as JSON, also between different versions.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The decision module's ids of backends, by front and name.
    #[serde(rename = "names")]
    endpoint_ids: Vec<(u8, String, EndpointId)>,
    #[serde(rename = "next_name")]
    next_endpoint_number: u32,
    #[serde(rename = "module")]
    policy: EngineState,
    /// The lists of backends that discovery returned, by front.
    pub lists: Vec<(u8, ListSnapshot)>,
    /// Messages whose accepting answer is just being written to their clients.
    pub answering: BTreeSet<u64>,
}

/// The end of a call that was in flight when its process handed over.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// Number of the message.
    pub msg: u64,
    /// How the call ended.
    pub end: End,
    /// Time since its first byte was sent.
    pub latency: Micros,
    /// The load figures that the backend reported.
    pub load: Vec<f32>,
    /// The text of the backend's reply.
    #[serde(rename = "said")]
    pub reply: String,
}

/// An event that arrived while the core was frozen.
pub(super) enum Deferred {
    Report(Report),
    Completed(Vec<FinishedFetch>),
    Probed(Event),
}

/// Whether this core owns the journal and decides.
pub(super) enum Ownership {
    /// The core decides.
    Active,
    /// The core is about to hand over and decides nothing; these events wait.
    Frozen(Vec<Deferred>),
    /// Another process decides for good. The ends of the calls that are still in flight are sent to it; the channel is
    /// closed after the last.
    HandedOver { to: Option<Sender<CompletedCall>>, in_flight: usize },
}

impl Core {
    pub(super) fn is_active(&self) -> bool {
        matches!(self.mode, Ownership::Active)
    }

    /// Stops all decisions and the start of fetches; returns the state for the new process.
    fn freeze(&mut self) -> HandoverState {
        self.mode = Ownership::Frozen(Vec::new());
        self.sharing_state.pause();
        let endpoint_ids =
            self.endpoint_ids.iter().map(|((front, name), at)| (*front, name.clone(), *at)).collect();
        HandoverState {
            endpoint_ids,
            next_endpoint_number: self.next_endpoint_number,
            policy: self.policy.export_state(),
            lists: self.register.snapshots(),
            answering: BTreeSet::new(),
        }
    }

    /// Continues after a handover that failed, and processes the events that waited.
    fn thaw(&mut self, now: Micros) {
        let Ownership::Frozen(waited) = std::mem::replace(&mut self.mode, Ownership::Active) else { return };
        self.sharing_state.resume();
        for deferred in waited {
            match deferred {
                Deferred::Report(report) => drop(self.report(now, report)),
                Deferred::Completed(fetches) => self.fetches_done(now, fetches),
                Deferred::Probed(event) => self.process_probe_result(now, event),
            }
        }
    }

    /// Gives the journal to another process, which receives the ends of the calls that are still in flight.
    fn hand_over(&mut self, to: Sender<CompletedCall>) {
        let begun = |(msg, m): &(&u64, &PendingMessage)| {
            m.in_flight && self.journal.pending().get(*msg).is_some_and(|o| o.open_attempt.is_some())
        };
        let in_flight = self.messages.iter().filter(begun).count();
        let handed_over = Ownership::HandedOver { to: Some(to).filter(|_| in_flight > 0), in_flight };
        let Ownership::Frozen(waited) = std::mem::replace(&mut self.mode, handed_over) else { return };
        self.history = None;
        self.replays.stop_all();
        for deferred in waited {
            if let Deferred::Completed(fetches) = deferred {
                self.forward_completed(fetches);
            }
        }
    }

    /// Handles a report while the core does not decide.
    pub(super) fn report_while_inactive(&mut self, report: Report) -> Answer {
        match report {
            Report::Begin(_) => return Answer::MayBegin(false),
            Report::Req(_) => return Answer::Refused(self.default_retry_after()),
            Report::Done { fetch, end, latency, load, reply: said } => {
                self.complete_while_inactive(vec![FinishedFetch { fetch, end, latency, load, said }]);
            }
            report => {
                if let Ownership::Frozen(waited) = &mut self.mode {
                    waited.push(Deferred::Report(report));
                }
            }
        }
        Answer::Acknowledged
    }

    /// Handles finished fetches while the core does not decide.
    pub(super) fn complete_while_inactive(&mut self, fetches: Vec<FinishedFetch>) {
        match &mut self.mode {
            Ownership::Frozen(waited) => waited.push(Deferred::Completed(fetches)),
            _ => self.forward_completed(fetches),
        }
    }

    /// Sends the ends of calls to the new process. Fetches that had not begun are left out, since the new process does
    /// not know of them.
    fn forward_completed(&mut self, fetches: Vec<FinishedFetch>) {
        let Ownership::HandedOver { to, in_flight } = &mut self.mode else { return };
        for FinishedFetch { fetch, end, latency, load, said } in fetches {
            let begun =
                self.journal.pending().get(&fetch.msg).is_some_and(|owed| owed.open_attempt.is_some());
            if begun && self.messages.get_mut(&fetch.msg).is_some_and(|m| std::mem::take(&mut m.in_flight)) {
                // A send error means that the new process is gone; the journal records what may have run.
                let call = CompletedCall { msg: fetch.msg, end, latency, load, reply: said };
                let _ = to.as_ref().map(|to| to.send(call));
                *in_flight = in_flight.saturating_sub(1);
            }
        }
        if *in_flight == 0 {
            *to = None;
        }
    }

    /// Takes over the state that the old process passed.
    pub(super) fn import_handover(&mut self, received: &mut HandoverState) {
        self.next_endpoint_number = self.next_endpoint_number.max(received.next_endpoint_number);
        for (front, name, at) in received.endpoint_ids.drain(..) {
            self.endpoint_ids.insert((front, name), at);
        }
        self.policy.import_state(std::mem::take(&mut received.policy));
    }

    /// An attempt of the journal, with the decision module's id of its backend.
    fn sent_attempt(&mut self, front: u8, attempt: &StartedAttempt) -> SentAttempt {
        let endpoint = self.endpoint_id(front, &attempt.backend);
        SentAttempt { sent_at: attempt.at, endpoint, zone: attempt.zone }
    }

    /// Resumes the messages that the journal lists as pending. Calls that the journal has as open are still in flight in
    /// the process that handed over.
    pub(super) fn resume(&mut self, now: Micros, received: Option<&HandoverState>) {
        let owed = self.journal.pending().clone();
        let (mut events, mut undelivered) = (Vec::new(), Vec::new());
        let replaced: BTreeSet<u64> = owed.values().filter_map(|owed| Some(owed.replaces?.msg)).collect();
        for (id, owed) in owed {
            if owed.final_outcome.is_none() {
                self.figures.attempts.resumed(now, &owed);
            }
            let req = owed.req;
            let answering = received.is_some_and(|state| state.answering.contains(&id));
            let destination = owed.replaces.map_or(req.dest, |replaced| replaced.destination);
            let message = PendingMessage {
                attempts: owed.attempts as u8,
                orders_after_answer: answering.then(Vec::new),
                decided: owed.final_outcome.is_some(),
                resumed_may_have_run: owed.first_uncertain.is_some() || owed.open_attempt.is_some(),
                in_flight: owed.open_attempt.is_some() && owed.final_outcome.is_none(),
                place_of: self.ends_by_bounce(req.front).then_some(destination),
                ..PendingMessage::new(req.clone())
            };
            self.insert_message(id, message);
            if let Some(verdict) = owed.final_outcome {
                undelivered.push(Notice { msg: id, req, verdict, last_reply: owed.last_reply });
                continue;
            }
            match owed.open_attempt {
                Some(open) => {
                    let risk = owed.first_uncertain.map(|attempt| self.sent_attempt(req.front, &attempt));
                    let attempt_in_flight = self.sent_attempt(req.front, &open);
                    events.push(Event::Resumed {
                        message: super::policy_message(id, &req),
                        attempts: owed.attempts,
                        first_uncertain: risk,
                    });
                    events.push(Event::CallInFlight { id: MessageId(id), attempt: attempt_in_flight });
                    let attempt = owed.attempts.saturating_sub(1) as u8;
                    // The address is not used: the connection belongs to the old process.
                    let backend = Arc::new(Backend {
                        name: open.backend,
                        addr: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
                        zone: open.zone,
                        dest: req.dest,
                    });
                    let until = req.due;
                    self.predecessor_fetches.insert(
                        id,
                        Fetch {
                            msg: id,
                            attempt,
                            endpoint: attempt_in_flight.endpoint,
                            backend,
                            req,
                            deadline: until,
                        },
                    );
                }
                None => {
                    let risk = owed.first_uncertain.map(|attempt| self.sent_attempt(req.front, &attempt));
                    events.push(Event::Resumed {
                        message: super::policy_message(id, &req),
                        attempts: owed.attempts,
                        first_uncertain: risk,
                    });
                }
            }
        }
        undelivered.into_iter().for_each(|notice| self.resume_notice(now, notice, &replaced));
        self.feed(now, &events, &mut []);
    }

    /// Continues with a message whose end is decided; `replaced` are those whose bounces are pending already.
    fn resume_notice(&mut self, now: Micros, notice: Notice, replaced: &BTreeSet<u64>) {
        let parked = self.messages.get_mut(&notice.msg).and_then(|m| m.orders_after_answer.as_mut());
        if replaced.contains(&notice.msg) {
            let (ended, how) = notified_end(Some(notice.verdict));
            self.finish_message(now, notice.msg, ended, how, None);
        } else if let Some(parked) = parked {
            parked.push(Order::Notice(notice));
        } else if self.ends_by_bounce(notice.req.front) {
            self.replace_by_bounce(now, &notice);
        } else {
            self.order(Order::Notice(notice));
        }
    }
}

impl Courier {
    /// Stops all decisions and the start of fetches until [`Courier::thaw`] or [`Courier::hand_over`]; returns the state
    /// for the new process.
    pub fn freeze(&self) -> HandoverState {
        self.state().freeze()
    }

    /// Resumes service after a handover that failed.
    pub fn thaw(&self) {
        let now = self.clock.now();
        self.state().thaw(now);
    }

    /// Completes the handover: another process decides, and the ends of the calls in flight are sent to `to`.
    pub fn hand_over(&self, to: Sender<CompletedCall>) {
        self.state().hand_over(to);
        // The state lock is not held here: the history's thread may be writing, and waiting for it with the lock held
        // would block every thread that needs the core.
        self.history.iter().for_each(|shelf| shelf.let_go());
    }

    /// Whether this process has handed over.
    pub fn has_handed_over(&self) -> bool {
        matches!(self.state().mode, Ownership::HandedOver { .. })
    }

    /// Processes the end of a call that the old process carried out.
    pub fn complete_inherited_call(&self, call: CompletedCall) {
        let CompletedCall { msg, end, latency, load, reply } = call;
        let Some(fetch) = self.state().predecessor_fetches.remove(&msg) else { return };
        self.report(Report::Done { fetch, end, latency, load, reply });
    }

    /// Ends the calls that the old process had in flight, after that process is gone and can't report them. They may
    /// have taken effect. Returns their number.
    pub fn abandon_inherited_calls(&self) -> usize {
        let lost: Vec<Fetch> = std::mem::take(&mut self.state().predecessor_fetches).into_values().collect();
        let count = lost.len();
        for fetch in lost {
            let (latency, load, reply) = (Micros(0), Vec::new(), String::new());
            self.report(Report::Done { fetch, end: End::CalledOff, latency, load, reply });
        }
        count
    }
}
