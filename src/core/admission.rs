//! Admission of reqs: each is accepted or refused at once, and accepted reqs are in the journal before they are answered.

use super::{
    policy_message, returned_event, Answer, Core, FinalOutcome, Order, PendingMessage, Req,
    DEFAULT_RETRY_AFTER,
};
use crate::admin::metrics::Ended;
use crate::api::{Event, MessageId, Micros, Outcome};
use crate::register::trust::CallEnd;
use std::sync::Arc;

impl Core {
    /// The retry delay in a refusal for which the decision module gave none, limited to the longest delay in the settings.
    pub(super) fn default_retry_after(&self) -> Micros {
        DEFAULT_RETRY_AFTER.min(self.draining.max_retry_after)
    }

    /// Accepts or refuses each req in order. The journal has all accepted reqs before any answer is returned.
    pub(super) fn admit(&mut self, now: Micros, reqs: Vec<Req>) -> Vec<Answer> {
        if !self.is_active() {
            return reqs.iter().map(|_| Answer::Refused(self.default_retry_after())).collect();
        }
        let mut answers = Vec::with_capacity(reqs.len());
        let mut batch: Vec<(u64, Arc<Req>)> = Vec::new();
        for req in reqs {
            // A req that repeats an id of this batch must not be answered as known while the first may still be refused, so
            // the batch is decided first.
            if batch.iter().any(|(_, other)| other.id == req.id) {
                self.record_and_decide(now, std::mem::take(&mut batch), &mut answers);
            }
            match self.immediate_answer(now, &req, &batch) {
                Some(answer) => {
                    tracing::debug!(target: "attempts", id = %req.id, ?answer, "answered without a decision");
                    match answer {
                        Answer::Refused(_) | Answer::NoRoomForId(_) | Answer::Draining { .. } => {
                            self.figures.count(Ended::Rejected, req.class);
                        }
                        Answer::NoSuchDest => self.figures.count(Ended::Failed, req.class),
                        _ => {}
                    }
                    answers.push(answer);
                }
                None => {
                    let id = self.next_message;
                    self.next_message += 1;
                    batch.push((id, Arc::new(req)));
                    answers.push(Answer::Taken(id));
                }
            }
        }
        self.record_and_decide(now, batch, &mut answers);
        answers
    }

    /// The answer to a req that needs no decision of the module, if there is one; the reqs of `batch` are to be
    /// admitted ahead of it.
    fn immediate_answer(&mut self, now: Micros, req: &Req, batch: &[(u64, Arc<Req>)]) -> Option<Answer> {
        let stay_away = self.default_retry_after();
        // The client repeats a req whose answer was lost. The message is pending and must not be admitted twice.
        if let Some(held) = self.messages_by_id.get(&req.id).and_then(|msg| self.messages.get_mut(msg)) {
            // A different message under the same id would be answered as accepted and never be delivered.
            if !is_same_message(&held.req, req) {
                return Some(Answer::Refused(stay_away));
            }
            held.accepted_from_other_client = true;
            return Some(Answer::Known);
        }
        if req.keep_id_until > Micros(0) && self.journal.knows_id(&req.id, now) {
            return Some(Answer::Known);
        }
        if let Some(turn) = self.draining.refusal(now, req) {
            return Some(Answer::Draining { wait: turn.retry_after, drain: turn.id });
        }
        let book = self.register.front_mut(req.front, now);
        if !book.has_destination(req.dest) {
            return Some(if book.destinations_known() {
                Answer::NoSuchDest
            } else {
                Answer::Refused(stay_away)
            });
        }
        if !self.has_place(req, batch) {
            return Some(Answer::Refused(stay_away));
        }
        (!self.can_remember_id(now, req, batch.len())).then_some(Answer::NoRoomForId(stay_away))
    }

    /// Whether the req's id can be remembered after its end, where it must be. Counts refusals, and logs when they begin
    /// and end.
    fn can_remember_id(&mut self, now: Micros, req: &Req, before: usize) -> bool {
        if !self.journal.must_remember(req) {
            return true;
        }
        let has_room = self.journal.has_room_for_id(now, before);
        self.figures.refused_for_ids += u64::from(!has_room);
        let was_refusing = std::mem::replace(&mut self.refuses_for_ids, !has_room);
        let figures = self.journal.ended_id_figures();
        match (was_refusing, has_room) {
            (false, false) => tracing::warn!(
                target: "journal",
                "orders by mail are refused: {} ids of ended messages fill the room for {}, and none may be dropped yet",
                figures.kept, figures.capacity
            ),
            (true, true) => {
                tracing::info!(target: "journal", "orders by mail are taken again: there is room for their ids")
            }
            _ => {}
        }
        has_room
    }

    /// Records a batch in the journal and asks the decision module; changes the answers of reqs that are refused.
    pub(super) fn record_and_decide(
        &mut self, now: Micros, batch: Vec<(u64, Arc<Req>)>, answers: &mut [Answer],
    ) {
        if batch.is_empty() {
            return;
        }
        let stay_away = self.default_retry_after();
        let mut refuse = |msg: u64, wait: Micros| {
            for answer in answers.iter_mut().filter(|a| **a == Answer::Taken(msg)) {
                *answer = Answer::Refused(wait);
            }
        };
        // Reqs that the journal could not record are refused.
        let taken = self.journal.accept(&batch).unwrap_or(0);
        for (msg, req) in &batch[taken..] {
            self.figures.count(Ended::Rejected, req.class);
            refuse(*msg, stay_away);
        }
        let mut events = Vec::with_capacity(taken);
        let mut asking = Vec::with_capacity(taken);
        for (id, req) in &batch[..taken] {
            events.push(Event::Demand(policy_message(*id, req)));
            asking.push((*id, None));
            let message = PendingMessage {
                orders_after_answer: Some(Vec::new()),
                place_of: self.ends_by_bounce(req.front).then_some(req.dest),
                ..PendingMessage::new(req.clone())
            };
            self.insert_message(*id, message);
        }
        if taken > 0 {
            self.feed(now, &events, &mut asking);
        }
        for (id, verdict) in asking {
            let wait = match verdict {
                None => continue,
                Some(FinalOutcome::HandedBack(wait)) => wait,
                Some(FinalOutcome::GivenUp) => stay_away,
            };
            // If a refusal were not in the journal, a killed process would resume the message and deliver it beside the copy
            // that the client submitted elsewhere. In that case the message counts as accepted, and its end is notified.
            match self.journal.withdraw(id) {
                Ok(()) => {
                    tracing::debug!(target: "attempts", msg = id, wait_ms = wait.0 / 1_000, "refused by the policy");
                    self.message_ended(now, id, Some(Ended::Rejected));
                    refuse(id, wait);
                }
                Err(_) => self.verdict(now, id, verdict.unwrap_or(FinalOutcome::GivenUp), &mut []),
            }
        }
    }

    /// Withdraws a message whose client disconnected before its answer was written.
    pub(super) fn withdraw_unanswered(&mut self, now: Micros, msg: u64) {
        let Some(parked) = self.messages.get_mut(&msg).and_then(|m| m.orders_after_answer.take()) else {
            return;
        };
        let mut events = vec![Event::Withdrawn(MessageId(msg))];
        for order in parked {
            if let Order::Fetch(fetch) = order {
                events.push(returned_event(&fetch, Outcome::NotSent, true, Micros(0), Vec::new()));
                self.record_call_end(now, &fetch, CallEnd::Unsent, &mut events);
            }
        }
        if let Some(fetch) = self.leave_batch(msg) {
            events.push(returned_event(&fetch, Outcome::NotSent, true, Micros(0), Vec::new()));
            self.record_call_end(now, &fetch, CallEnd::Unsent, &mut events);
        }
        events.extend(self.leave_waiting_line(msg));
        self.end_message(now, msg, None);
        self.feed(now, &events, &mut []);
    }
}

/// Whether two reqs are the same message; the deadlines may differ. An id that stays recognised after its message ended
/// was derived from the message itself, so nothing but front and destination is compared: trace headers may differ by now.
fn is_same_message(a: &Req, b: &Req) -> bool {
    let of = |r: &Req| (r.class, r.tenant, r.head.clone());
    a.front == b.front && a.dest == b.dest && (a.keep_id_until.0 > 0 || of(a) == of(b) && a.body == b.body)
}
