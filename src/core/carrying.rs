//! Passes events to the decision module and carries out its actions as orders for the fronts.

use super::batches::{self, OrderedAttempt};
use super::{Core, Fetch, FinalOutcome, Notice, Order};
use crate::admin::metrics::Ended;
use crate::api::{Action, Event, Micros};

impl Core {
    /// Passes events to the decision module and carries out its actions. A verdict on a req that is just being submitted
    /// (`submitted`) is stored there as its answer and becomes no order.
    pub(super) fn feed(
        &mut self, now: Micros, events: &[Event], submitted: &mut [(u64, Option<FinalOutcome>)],
    ) {
        let (mut actions, mut unsent_events, mut tries) = (Vec::new(), Vec::new(), Vec::new());
        self.exchange_with_fleet(now);
        self.policy.handle(now, events, &mut actions);
        for action in actions {
            match action {
                Action::Try { id, endpoint, timeout } => {
                    tries.push(OrderedAttempt { msg: id.0, endpoint, timeout })
                }
                Action::Decline { id, retry_after } => {
                    self.verdict(now, id.0, FinalOutcome::HandedBack(retry_after), submitted);
                }
                Action::Fail(id) => self.verdict(now, id.0, FinalOutcome::GivenUp, submitted),
                Action::CancelAttempt { id, attempt } => match self.leave_waiting_line(id.0) {
                    Some(event) => unsent_events.push(event),
                    None => self.order(Order::Cancel { msg: id.0, attempt }),
                },
                Action::SetTimer { after, .. } => {
                    let at = now + after;
                    self.next_timer_at = Some(self.next_timer_at.map_or(at, |a| a.min(at)));
                }
                Action::Subscribe | Action::Fetch => self.order(Order::WatchList),
                Action::CloseIdleConnections(endpoint) => {
                    if let Some(backend) = self.backends.get(&endpoint) {
                        self.order(Order::CloseIdle(backend.clone()));
                    }
                }
                Action::Log(text) => tracing::info!(target: "decisions", "{text}"),
                Action::Probe(endpoint) => unsent_events.extend(self.probe(now, endpoint)),
                Action::SendGossip { to, bytes } => self.note(to, &bytes),
            }
        }
        for batch in self.batches.group_into_calls(tries) {
            self.start_call(now, batch);
        }
        unsent_events.append(&mut self.new_bounces);
        if !unsent_events.is_empty() {
            self.feed(now, &unsent_events, submitted);
        }
    }

    /// Starts the fetches that share one call. A fetch that has to wait for its turn at a backend that is not fully
    /// trusted is taken out of the call and sent alone later.
    fn start_call(&mut self, now: Micros, batch: Vec<OrderedAttempt>) {
        let mut call = Vec::with_capacity(batch.len());
        for OrderedAttempt { msg, endpoint: at, timeout: cap } in batch {
            let (Some(pending), Some(backend)) = (self.messages.get_mut(&msg), self.backends.get(&at)) else {
                continue;
            };
            let (attempt, backend, req) = (pending.attempts, backend.clone(), pending.req.clone());
            pending.attempts = pending.attempts.wrapping_add(1);
            pending.in_flight = true;
            let may_start = self.register.front_mut(req.front, now).admit_call(now, &backend.name, msg);
            let fetch = Fetch { msg, attempt, endpoint: at, backend, req, deadline: now };
            if may_start {
                call.push((fetch, cap));
            } else {
                self.waiting_fetches.insert(msg, (fetch, cap));
            }
        }
        match call.len() {
            0 => {}
            1 => call.into_iter().for_each(|(fetch, cap)| self.start(now, fetch, cap)),
            _ => {
                let fetches =
                    call.into_iter().map(|(fetch, cap)| self.with_deadline(now, fetch, cap)).collect();
                for mut call in batches::split_by_deadline(now, fetches) {
                    match call.len() {
                        1 => call.drain(..).for_each(|fetch| self.order_fetch(fetch)),
                        _ => self.start_batch(call),
                    }
                }
            }
        }
    }

    /// Sets the deadline of a fetch that may start now: its timeout, limited by the req's deadline and the process end.
    fn with_deadline(&self, now: Micros, mut fetch: Fetch, cap: Micros) -> Fetch {
        fetch.deadline = (now + cap).min(fetch.req.due);
        if let Some(stop_at) = self.stop_at {
            fetch.deadline = fetch.deadline.min(stop_at);
        }
        fetch
    }

    /// Starts a fetch whose turn at its backend has come.
    pub(super) fn start(&mut self, now: Micros, fetch: Fetch, cap: Micros) {
        let fetch = self.with_deadline(now, fetch, cap);
        self.order_fetch(fetch);
    }

    /// Orders a fetch that has a call of its own: at once, or after the answer that accepted its message is written.
    fn order_fetch(&mut self, fetch: Fetch) {
        let Some(pending) = self.messages.get_mut(&fetch.msg) else { return };
        match &mut pending.orders_after_answer {
            Some(parked) => parked.push(Order::Fetch(fetch)),
            None => self.order(Order::Fetch(fetch)),
        }
    }

    /// Records the end of a message that was not delivered and orders the notice to its client.
    pub(super) fn verdict(
        &mut self, now: Micros, msg: u64, verdict: FinalOutcome,
        submitted: &mut [(u64, Option<FinalOutcome>)],
    ) {
        if let Some((_, answer)) = submitted.iter_mut().find(|(id, _)| *id == msg) {
            *answer = Some(verdict);
            return;
        }
        // No client waits for the end of a replayed message: its replay run handles it.
        if self.replays.contains(msg) {
            return;
        }
        self.journal.record_final_outcome(msg, verdict);
        self.note_verdict(msg, verdict);
        let Some(pending) = self.messages.get_mut(&msg) else { return };
        pending.decided = true;
        let last_reply = self.journal.pending().get(&msg).map(|o| o.last_reply.clone()).unwrap_or_default();
        let notice = Notice { msg, req: pending.req.clone(), verdict, last_reply };
        match &mut pending.orders_after_answer {
            Some(parked) => parked.push(Order::Notice(notice)),
            None => self.send_notice(now, notice),
        }
    }

    pub(super) fn order(&self, order: Order) {
        // Sending can't fail: the receiver belongs to the same courier as this state.
        let _ = self.order_sender.send(order);
    }

    /// Records the end of a message in the journal and removes the message.
    pub(super) fn end_message(&mut self, now: Micros, msg: u64, ended: Option<Ended>) {
        self.journal.end(msg, now);
        self.message_ended(now, msg, ended);
    }

    /// Removes a message whose end the journal has recorded, and counts its outcome.
    pub(super) fn message_ended(&mut self, now: Micros, msg: u64, ended: Option<Ended>) {
        if let Some(pending) = self.messages.get(&msg) {
            if let Some(ended) = ended {
                self.figures.count(ended, pending.req.class);
                self.recent_outcomes.record(now, &pending.req.id, ended);
            }
            self.draining.ended(now, &pending.req);
        }
        self.drop_msg(msg);
    }
}
