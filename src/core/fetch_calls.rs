//! How fetches begin and end: the last look before a first byte, and what an outcome means for all that is owed.

use super::attempt_log::Withheld;
use super::{returned_event, Core, End, Fetch, FinishedFetch, Verdict, MIN_TIME_TO_BEGIN};
use crate::admin::figures::Ended;
use crate::api::{Event, MessageId, Micros, Outcome};
use crate::register::trust::{CallEnd, CallReport};
use crate::register::RegistryEffects;
use crate::store::How;

impl Core {
    /// Just before the first byte of a fetch, which the journal must hear of first.
    pub(super) fn begin_fetch(&mut self, now: Micros, fetch: &Fetch) -> bool {
        self.begin_fetches(now, std::slice::from_ref(fetch)) == [true]
    }

    /// The same for the members of a batch, each by itself, with one write of the journal for all that go.
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
        let attempts: Vec<(u64, &str)> =
            first_calls.map(|(fetch, _)| (fetch.msg, fetch.backend.name.as_str())).collect();
        let recorded = self.journal.begin_all(now, &attempts).is_ok();
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

    /// Why this fetch may not begin by all that is known now, if it may not.
    fn withheld_reason(&mut self, now: Micros, fetch: &Fetch) -> Option<Withheld> {
        self.apply_overrides(now);
        let alive = self.messages.get(&fetch.msg).is_some_and(|m| !m.decided);
        let ends = self.stop_at.is_some_and(|at| now + MIN_TIME_TO_BEGIN >= at);
        let listed =
            self.register.front(fetch.req.front).is_some_and(|b| b.accepts_calls(&fetch.backend.name));
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

    /// Fetches are over: written down together, and one round of the module on all of them, in their order.
    pub(super) fn fetches_done(&mut self, now: Micros, all: Vec<FinishedFetch>) {
        if !self.is_active() {
            return self.complete_while_inactive(all);
        }
        let (mut events, mut rejected) = (Vec::with_capacity(all.len()), Vec::new());
        self.journal.gather();
        all.into_iter().for_each(|over| self.fetch_done(now, over, &mut events, &mut rejected));
        // Danger: an order to send once more, or to tell an end, must not leave before the journal knows how the last call
        // ended.
        self.journal.written();
        self.queue_ended_messages();
        rejected.into_iter().for_each(|msg| self.verdict(now, msg, Verdict::GivenUp, &mut []));
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
            // Known from the head of the answer on, where its front tells of that.
            self.record_wait(now, fetch.req.front, fetch.req.dest, wait);
        }
        let mut more = Vec::new();
        let heard = self.record_call_end(now, &fetch, end.for_trust(), &mut more);
        if matches!(end, End::Unsent | End::NotBegun)
            && self.stop_at.is_some_and(|at| now + MIN_TIME_TO_BEGIN >= at)
        {
            return; // the next life takes it up, with no attempt counted
        }
        let (outcome, over) = match end {
            End::Delivered => (Outcome::Ok, true),
            End::Failed => (Outcome::Error, false),
            End::Spoilt(wait) => (Outcome::InvalidAnswer(wait), false),
            End::TurnedAway(wait) => (Outcome::Refused(wait), false),
            End::Unsent => (Outcome::NotSent, false),
            End::NotBegun => (self.undo_attempt(fetch.msg), false),
            End::Over | End::Rejected => (Outcome::NotSent, true),
            // A machine that only an old list names says nothing of its destination.
            End::NotConnected if heard == CallReport::AsUnsent => (Outcome::NotSent, false),
            End::NotConnected => (Outcome::ConnectFailed, false),
            End::Broke => (Outcome::Reset, false),
            End::TimedOut => (Outcome::Timeout, false),
            End::CalledOff => (Outcome::Cancelled, false),
        };
        if end != End::Delivered {
            self.journal.outcome(fetch.msg, end.may_have_run(), &said);
        }
        match end {
            End::Delivered => {
                self.finish_message(now, fetch.msg, Ended::Completed, How::Delivered, Some(&said))
            }
            End::Over => self.finish_message(now, fetch.msg, Ended::Failed, How::GivenUp, None),
            End::Rejected if self.messages.get(&fetch.msg).is_some_and(|m| !m.decided) => {
                rejected.push(fetch.msg);
            }
            _ => {}
        }
        events.push(returned_event(&fetch, outcome, over, latency, load));
        events.append(&mut more);
    }

    /// The register hears how a fetch ended. What follows of that for the module is added to `events`.
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

    /// Takes a fetch out of the line in which it waits; the module hears that it was never sent.
    pub(super) fn leave_waiting_line(&mut self, msg: u64) -> Option<Event> {
        let (fetch, _) = self.waiting_fetches.remove(&msg)?;
        if let Some(held) = self.messages.get_mut(&msg) {
            held.in_flight = false;
            self.register.front_mut(held.req.front, Micros(0)).cancel_waiting_call(&fetch.backend.name, msg);
        }
        let outcome = self.undo_attempt(msg);
        Some(returned_event(&fetch, outcome, false, Micros(0), Vec::new()))
    }

    /// The latest attempt of this message is taken back: here, and in the module by the outcome.
    fn undo_attempt(&mut self, msg: u64) -> Outcome {
        if let Some(held) = self.messages.get_mut(&msg) {
            held.attempts = held.attempts.wrapping_sub(1);
        }
        Outcome::NotStarted
    }
}
