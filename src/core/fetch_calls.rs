//! Begin and end of fetches: the checks just before the first byte, and the effect of an outcome on the message.

use super::attempt_log::Withheld;
use super::{returned_event, Core, End, Fetch, FinalOutcome, FinishedFetch, MIN_TIME_TO_BEGIN};
use crate::admin::metrics::Ended;
use crate::api::{Event, MessageId, Micros, Outcome};
use crate::register::trust::{CallEnd, CallReport};
use crate::register::RegistryEffects;
use crate::store::{EndKind, StartedAttempt};

impl Core {
    /// Whether the first byte of a fetch may be sent now; if so, the journal has recorded the attempt.
    pub(super) fn begin_fetch(&mut self, now: Micros, fetch: &Fetch) -> bool {
        self.begin_fetches(now, std::slice::from_ref(fetch)) == [true]
    }

    /// Decides the same for each member of a batch, with one journal write for all members that may begin.
    pub(super) fn begin_all(&mut self, now: Micros, fetches: &[Fetch]) -> Vec<bool> {
        if !self.is_active() {
            return vec![false; fetches.len()];
        }
        self.begin_fetches(now, fetches)
    }

    fn begin_fetches(&mut self, now: Micros, fetches: &[Fetch]) -> Vec<bool> {
        let mut reasons: Vec<Option<Withheld>> =
            fetches.iter().map(|fetch| self.withheld_reason(now, fetch)).collect();
        let is_replay = |fetch: &Fetch| self.replays.contains(fetch.msg);
        let first_calls =
            fetches.iter().zip(&reasons).filter(|(fetch, why)| why.is_none() && !is_replay(fetch));
        let started = |fetch: &Fetch| StartedAttempt {
            at: now,
            backend: fetch.backend.name.clone(),
            zone: fetch.backend.zone,
        };
        let attempts: Vec<(u64, StartedAttempt)> =
            first_calls.map(|(fetch, _)| (fetch.msg, started(fetch))).collect();
        let recorded = self.journal.start_attempts(&attempts).is_ok();
        for (fetch, why) in fetches.iter().zip(&mut reasons).filter(|(_, why)| why.is_none()) {
            let goes = match self.replays.contains(fetch.msg) {
                true => self.claim_replay(now, fetch.msg),
                false => recorded,
            };
            *why = (!goes).then_some(Withheld::NotRecorded);
        }
        for (fetch, why) in fetches.iter().zip(&reasons) {
            match why {
                Some(why) => self.note_withheld(fetch, *why),
                None => self.note_begun(now, fetch),
            }
        }
        reasons.iter().map(Option::is_none).collect()
    }

    /// The reason why this fetch may not begin now, if there is one.
    fn withheld_reason(&mut self, now: Micros, fetch: &Fetch) -> Option<Withheld> {
        self.apply_overrides(now);
        let alive = self.messages.get(&fetch.msg).is_some_and(|m| !m.decided);
        let ends = self.stop_at.is_some_and(|at| now + MIN_TIME_TO_BEGIN >= at);
        let listed = self.is_listed_as_ordered(fetch);
        let told_wait =
            self.destination_waits.get(&(fetch.req.front, fetch.req.dest)).is_some_and(|until| now < *until);
        let conditions = [
            (Withheld::MessageOver, !alive),
            (Withheld::ProcessEnds, ends),
            (Withheld::TimeUp, now >= fetch.req.due),
            (Withheld::NotListed, !listed),
            (Withheld::Drain, !self.draining.may_begin(now, &fetch.req)),
            (Withheld::ToldToWait, told_wait),
            (Withheld::Policy, !self.policy.may_begin(now, MessageId(fetch.msg), fetch.endpoint)),
        ];
        conditions.into_iter().find(|(_, holds)| *holds).map(|(why, _)| why)
    }

    /// Handles finished fetches: one journal write and one round of the decision module cover all of them, in their order.
    pub(super) fn fetches_done(&mut self, now: Micros, all: Vec<FinishedFetch>) {
        if !self.is_active() {
            return self.complete_while_inactive(all);
        }
        let (mut events, mut rejected) = (Vec::with_capacity(all.len()), Vec::new());
        self.journal.begin_batch();
        all.into_iter().for_each(|over| self.fetch_done(now, over, &mut events, &mut rejected));
        // A retry or a notice must not be ordered before the journal has the outcome of the last call.
        self.journal.write_batch();
        self.queue_ended_messages();
        rejected.into_iter().for_each(|msg| self.verdict(now, msg, FinalOutcome::GivenUp, &mut []));
        self.write_memory_if_due(now);
        if !events.is_empty() {
            self.feed(now, &events, &mut []);
        }
    }

    pub(super) fn fetch_done(
        &mut self, now: Micros, over: FinishedFetch, events: &mut Vec<Event>, rejected: &mut Vec<u64>,
    ) {
        if self.replays.contains(over.fetch.msg) {
            return self.finish_replay(now, over, events);
        }
        let FinishedFetch { fetch, end, latency, load, said } = over;
        self.note_over(&fetch, end, latency);
        if let Some(held) = self.messages.get_mut(&fetch.msg) {
            held.in_flight = false;
        }
        if let End::TurnedAway(Some(wait)) | End::Spoilt(Some(wait)) = end {
            // A front that reports the wait when it reads the answer's head has recorded it already.
            self.record_wait(now, fetch.req.front, fetch.req.dest, wait);
        }
        let mut more = Vec::new();
        let heard = self.record_call_end(now, &fetch, end.for_trust(), &mut more);
        if matches!(end, End::Unsent | End::NotBegun)
            && self.stop_at.is_some_and(|at| now + MIN_TIME_TO_BEGIN >= at)
        {
            return; // the next process resumes the message with no attempt counted
        }
        let (outcome, over) = match end {
            End::Delivered => (Outcome::Ok, true),
            End::Failed => (Outcome::Error, false),
            End::Spoilt(wait) => (Outcome::InvalidAnswer(wait), false),
            End::TurnedAway(wait) => (Outcome::Refused(wait), false),
            End::Unsent => (Outcome::NotSent, false),
            End::NotBegun => (self.undo_attempt(fetch.msg), false),
            End::Over | End::Rejected => (Outcome::NotSent, true),
            // A failed connection to a backend that only an outdated list names is no evidence about its destination.
            End::NotConnected if heard == CallReport::AsUnsent => (Outcome::NotSent, false),
            End::NotConnected => (Outcome::ConnectFailed, false),
            End::Broke => (Outcome::Reset, false),
            End::TimedOut => (Outcome::Timeout, false),
            End::CalledOff => (Outcome::Cancelled, false),
        };
        if end != End::Delivered {
            self.journal.record_outcome(fetch.msg, end.may_have_run(), &said);
        }
        match end {
            End::Delivered => {
                self.finish_message(now, fetch.msg, Ended::Completed, EndKind::Delivered, Some(&said))
            }
            End::Over => self.finish_message(now, fetch.msg, Ended::Failed, EndKind::GivenUp, None),
            End::Rejected if self.messages.get(&fetch.msg).is_some_and(|m| !m.decided) => {
                rejected.push(fetch.msg);
            }
            _ => {}
        }
        events.push(returned_event(&fetch, outcome, over, latency, load));
        events.append(&mut more);
    }

    /// Reports the end of a fetch to the register, and adds the resulting events for the decision module to `events`.
    pub(super) fn record_call_end(
        &mut self, now: Micros, fetch: &Fetch, end: CallEnd, events: &mut Vec<Event>,
    ) -> CallReport {
        let front = fetch.req.front;
        let (heard, news) = self.register.front_mut(front, now).call_ended(now, &fetch.backend.name, end);
        if news != RegistryEffects::default() {
            let more = self.list_change_events(now, front, news);
            events.extend(more);
        }
        heard
    }

    /// Removes a fetch that waits for its turn at a backend; the returned event says that it was never sent.
    pub(super) fn leave_waiting_line(&mut self, msg: u64) -> Option<Event> {
        let (fetch, _) = self.waiting_fetches.remove(&msg)?;
        if let Some(held) = self.messages.get_mut(&msg) {
            held.in_flight = false;
            self.register.front_mut(held.req.front, Micros(0)).cancel_waiting_call(&fetch.backend.name, msg);
        }
        let outcome = self.undo_attempt(msg);
        Some(returned_event(&fetch, outcome, false, Micros(0), Vec::new()))
    }

    /// Uncounts the message's latest attempt here; the outcome makes the decision module do the same.
    fn undo_attempt(&mut self, msg: u64) -> Outcome {
        if let Some(held) = self.messages.get_mut(&msg) {
            held.attempts = held.attempts.wrapping_sub(1);
        }
        Outcome::NotStarted
    }
}
