//! The core's part in a hand-over to another process of the same courier: it freezes, so that its journal is settled at one
//! point, and then either goes on as if nothing had been, or has left and only tells how its last calls end. On the other
//! side a core goes on with what was passed. Who may do what when is [`crate::upgrade::phase`]'s to say.

use super::{Answer, End, Notice, PendingMessage, Report};
use super::{Backend, Core, Courier, Fetch, FinishedFetch, Order};
use crate::api::{EndpointId, EngineState, Event, MessageId, Micros};
use crate::register::kept_copy::ListSnapshot;
use crossbeam_channel::Sender;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// What another process needs beside the journal.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The module's names for backends, by front.
    names: Vec<(u8, String, EndpointId)>,
    next_name: u32,
    module: EngineState,
    /// What discovery has told.
    pub lists: Vec<(u8, ListSnapshot)>,
    /// Messages that their clients are just being told of.
    pub answering: BTreeSet<u64>,
}

/// How a call ended that was out when its process left.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompletedCall {
    /// The message.
    pub msg: u64,
    /// How it ended.
    pub end: End,
    /// From its first byte on.
    pub latency: Micros,
    /// What the backend told of its load.
    pub load: Vec<f32>,
    /// Its last word.
    pub said: String,
}

/// What happened while the core was frozen.
pub(super) enum Deferred {
    Report(Report),
    Completed(Vec<FinishedFetch>),
    Probed(Event),
}

/// Whether the core decides.
pub(super) enum Ownership {
    /// It does.
    Active,
    /// Not now: this waits.
    Frozen(Vec<Deferred>),
    /// Never again: another process does, and hears of the calls that are still out, so many; nobody tells it more after the last.
    HandedOver { to: Option<Sender<CompletedCall>>, out: usize },
}

impl Core {
    pub(super) fn is_active(&self) -> bool {
        matches!(self.mode, Ownership::Active)
    }

    /// Nothing begins and nothing is decided from here on.
    fn freeze(&mut self) -> HandoverState {
        self.mode = Ownership::Frozen(Vec::new());
        self.sharing_state.pause();
        let names = self.endpoint_ids.iter().map(|((front, name), at)| (*front, name.clone(), *at)).collect();
        HandoverState {
            names,
            next_name: self.next_endpoint_number,
            module: self.policy.export_state(),
            lists: self.register.snapshots(),
            answering: BTreeSet::new(),
        }
    }

    /// As if nothing had been; what waited is taken in.
    fn thaw(&mut self, now: Micros) {
        let Ownership::Frozen(waited) = std::mem::replace(&mut self.mode, Ownership::Active) else { return };
        self.sharing_state.resume();
        for later in waited {
            match later {
                Deferred::Report(what) => drop(self.report(now, what)),
                Deferred::Completed(all) => self.done(now, all),
                Deferred::Probed(event) => self.process_probe_result(now, event),
            }
        }
    }

    /// Another process owns the journal from here on.
    fn hand_over(&mut self, to: Sender<CompletedCall>) {
        let begun = |(msg, m): &(&u64, &PendingMessage)| {
            m.in_flight && self.journal.owed().get(*msg).is_some_and(|o| o.open.is_some())
        };
        let out = self.messages.iter().filter(begun).count();
        let left = Ownership::HandedOver { to: Some(to).filter(|_| out > 0), out };
        let Ownership::Frozen(waited) = std::mem::replace(&mut self.mode, left) else { return };
        self.history = None;
        self.replays.end();
        for later in waited {
            if let Deferred::Completed(all) = later {
                self.tell_over(all);
            }
        }
    }

    /// What happens to a core that does not decide.
    pub(super) fn report_while_inactive(&mut self, what: Report) -> Answer {
        match what {
            Report::Begin(_) => return Answer::MayBegin(false),
            Report::Req(_) => return Answer::Refused(self.stay_away()),
            Report::Done { fetch, end, latency, load, reply: said } => {
                self.complete_while_inactive(vec![FinishedFetch { fetch, end, latency, load, said }]);
            }
            what => {
                if let Ownership::Frozen(waited) = &mut self.mode {
                    waited.push(Deferred::Report(what));
                }
            }
        }
        Answer::Acknowledged
    }

    pub(super) fn complete_while_inactive(&mut self, all: Vec<FinishedFetch>) {
        match &mut self.mode {
            Ownership::Frozen(waited) => waited.push(Deferred::Completed(all)),
            _ => self.tell_over(all),
        }
    }

    /// A call that had begun is told; of one that had not the other process has never heard.
    fn tell_over(&mut self, all: Vec<FinishedFetch>) {
        let Ownership::HandedOver { to, out } = &mut self.mode else { return };
        for FinishedFetch { fetch, end, latency, load, said } in all {
            let begun = self.journal.owed().get(&fetch.msg).is_some_and(|owed| owed.open.is_some());
            if begun && self.messages.get_mut(&fetch.msg).is_some_and(|m| std::mem::take(&mut m.in_flight)) {
                // An error says that the other process is gone; the journal says what may have run.
                let over = CompletedCall { msg: fetch.msg, end, latency, load, said };
                let _ = to.as_ref().map(|to| to.send(over));
                *out = out.saturating_sub(1);
            }
        }
        if *out == 0 {
            *to = None;
        }
    }

    /// Goes on with what another process passed.
    pub(super) fn import_handover(&mut self, passed: &mut HandoverState) {
        self.next_endpoint_number = self.next_endpoint_number.max(passed.next_name);
        for (front, name, at) in passed.names.drain(..) {
            self.endpoint_ids.insert((front, name), at);
        }
        self.policy.import_state(std::mem::take(&mut passed.module));
    }

    /// Takes up what the journal says is owed. Calls that it calls open are still out in the process that handed over.
    pub(super) fn resume(&mut self, now: Micros, passed: Option<&HandoverState>) {
        let owed = self.journal.owed().clone();
        let mut events = Vec::new();
        for (id, owed) in owed {
            if owed.verdict.is_none() {
                self.figures.attempts.resumed(now, &owed);
            }
            let req = owed.req;
            self.messages_by_id.insert(req.id.clone(), id);
            let over = owed.verdict.is_some();
            let answering = passed.is_some_and(|p| p.answering.contains(&id));
            let msg = PendingMessage {
                req: req.clone(),
                attempts: owed.tries as u8,
                orders_after_answer: answering.then(Vec::new),
                decided: over,
                accepted_from_other_client: false,
                resumed_may_have_run: owed.risk.is_some() || owed.open.is_some(),
                in_flight: false,
                waiting_batch: None,
            };
            let held = self.messages.entry(id).or_insert(msg);
            if let Some(verdict) = owed.verdict {
                let notice = Order::Notice(Notice { msg: id, req, verdict, last_reply: owed.said });
                match &mut held.orders_after_answer {
                    Some(parked) => parked.push(notice),
                    None => drop(self.order_sender.send(notice)),
                }
                continue;
            }
            match owed.open {
                Some((sent, name)) => {
                    held.in_flight = true;
                    let risk = owed.risk.map(|(at, name)| (at, self.intern(req.front, &name)));
                    let at = self.intern(req.front, &name);
                    events.push(Event::Resumed {
                        message: super::message(id, &req),
                        tries: owed.tries,
                        risk,
                    });
                    events.push(Event::StillOut { id: MessageId(id), endpoint: at, sent });
                    let attempt = owed.tries.saturating_sub(1) as u8;
                    // Only its name matters: the connection is the other process's.
                    let backend =
                        Arc::new(Backend { name, addr: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)) });
                    let until = req.due;
                    self.predecessor_fetches
                        .insert(id, Fetch { msg: id, attempt, endpoint: at, backend, req, deadline: until });
                }
                None => {
                    let risk = owed.risk.map(|(at, name)| (at, self.intern(req.front, &name)));
                    events.push(Event::Resumed {
                        message: super::message(id, &req),
                        tries: owed.tries,
                        risk,
                    });
                }
            }
        }
        self.feed(now, &events, &mut []);
    }
}

impl Courier {
    /// Nothing begins and nothing is decided until [`Courier::thaw`] or [`Courier::hand_over`]; what another process needs.
    pub fn freeze(&self) -> HandoverState {
        self.state().freeze()
    }

    /// Takes service up again.
    pub fn thaw(&self) {
        let now = self.clock.now();
        self.state().thaw(now);
    }

    /// Another process decides from here on; the ends of calls that are out go to `to`.
    pub fn hand_over(&self, to: Sender<CompletedCall>) {
        self.state().hand_over(to);
        // Danger: the history's thread may be writing. Whoever waits for it may not hold the state.
        self.history.iter().for_each(|shelf| shelf.let_go());
    }

    /// Whether another process decides.
    pub fn has_handed_over(&self) -> bool {
        matches!(self.state().mode, Ownership::HandedOver { .. })
    }

    /// A call that another process carried out is over.
    pub fn complete_inherited_call(&self, over: CompletedCall) {
        let CompletedCall { msg, end, latency, load, said } = over;
        let Some(fetch) = self.state().predecessor_fetches.remove(&msg) else { return };
        self.report(Report::Done { fetch, end, latency, load, reply: said });
    }

    /// The other process is gone: what it had out may have run, and nobody will say so.
    pub fn abandon_inherited_calls(&self) -> usize {
        let lost: Vec<Fetch> = std::mem::take(&mut self.state().predecessor_fetches).into_values().collect();
        let count = lost.len();
        for fetch in lost {
            let (latency, load, said) = (Micros(0), Vec::new(), String::new());
            self.report(Report::Done { fetch, end: End::CalledOff, latency, load, reply: said });
        }
        count
    }
}
