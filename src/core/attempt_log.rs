//! Logs and counts the states of attempts: resumed from an earlier process, withheld, begun, over.
//!
//! Each change of state is logged to the target `attempts` at `debug`. For messages that an earlier process may have sent
//! it is logged at `info`: they are few, and may be repeated only within their deduplication group and window.

use super::{Core, End, Fetch, FinalOutcome};
use crate::api::Micros;
use crate::store::{MessageState, StartedAttempt};
use serde_json::{json, Value};

/// Why the first byte of an attempt may not be sent. The variant names are written to logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Withheld {
    /// The message has ended, or its outcome is decided.
    MessageOver,
    /// The process ends too soon for another attempt.
    ProcessEnds,
    /// The message's due time has passed.
    TimeUp,
    /// The endpoint is not listed as accepting calls.
    NotListed,
    /// A drain forbids it.
    Drain,
    /// The destination demanded a wait that is not over.
    ToldToWait,
    /// The decision module forbids it.
    Policy,
    /// The attempt could not be recorded in the journal or, for a replay, claimed in the history.
    NotRecorded,
}

/// Counts of attempts since the process began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Resumed messages of which no process had begun a call.
    pub resumed_untried: u64,
    /// Resumed messages whose earlier calls certainly never ran.
    pub resumed_never_ran: u64,
    /// Resumed messages of which an earlier call may have run.
    pub resumed_may_have_run: u64,
    /// Attempts whose first byte was about to be sent.
    pub begun: u64,
    /// Attempts whose first byte was not allowed to be sent.
    pub withheld: u64,
    /// Attempts that ended without a first byte.
    pub not_begun: u64,
    /// Attempts that certainly never ran, without those counted as `not_begun`.
    pub never_ran: u64,
    /// Attempts that may have run and were not delivered.
    pub may_have_run: u64,
    /// Attempts for a message of which an earlier attempt may have run.
    pub repeated: u64,
}

impl AttemptCounts {
    /// The counts as JSON, as shown to operators.
    pub fn json(&self) -> Value {
        json!({
            "resumed": {
                "untried": self.resumed_untried,
                "never_ran": self.resumed_never_ran,
                "may_have_run": self.resumed_may_have_run,
            },
            "begun": self.begun,
            "withheld": self.withheld,
            "not_begun": self.not_begun,
            "never_ran": self.never_ran,
            "may_have_run": self.may_have_run,
            "repeated": self.repeated,
        })
    }

    /// Counts a message that is resumed from an earlier process, and logs it if a call of it may have run.
    pub(super) fn resumed(&mut self, now: Micros, owed: &MessageState) {
        let first_call = owed.first_uncertain.as_ref().or(owed.open_attempt.as_ref());
        let Some(StartedAttempt { at: called_at, backend: endpoint, .. }) = first_call else {
            let count =
                if owed.attempts == 0 { &mut self.resumed_untried } else { &mut self.resumed_never_ran };
            *count += 1;
            return;
        };
        self.resumed_may_have_run += 1;
        tracing::info!(
            target: "attempts",
            id = %owed.req.id, class = owed.req.class, tries = owed.attempts, called_at_ms = called_at.0 / 1_000,
            called_ms_ago = (now - *called_at).0 / 1_000, endpoint = %endpoint, due_in_ms = (owed.req.due - now).0 / 1_000,
            "taken up: an earlier call may have run"
        );
    }
}

impl Core {
    /// Whether an earlier process may have sent this message.
    fn sent_by_earlier_process(&self, fetch: &Fetch) -> bool {
        self.messages.get(&fetch.msg).is_some_and(|message| message.resumed_may_have_run)
    }

    /// Counts and logs an attempt whose first byte is about to be sent.
    pub(super) fn note_begun(&mut self, now: Micros, fetch: &Fetch) {
        let counts = &mut self.figures.attempts;
        counts.begun += 1;
        let first_call =
            self.journal.pending().get(&fetch.msg).and_then(|owed| owed.first_uncertain.as_ref());
        let Some(StartedAttempt { at: called_at, .. }) = first_call else {
            tracing::debug!(
                target: "attempts", id = %fetch.req.id, attempt = fetch.attempt, endpoint = %fetch.backend.name, "begins"
            );
            return;
        };
        counts.repeated += 1;
        tracing::info!(
            target: "attempts",
            id = %fetch.req.id, attempt = fetch.attempt, endpoint = %fetch.backend.name,
            called_ms_ago = (now - *called_at).0 / 1_000, "begins: a repeat of a call that may have run"
        );
    }

    /// Counts and logs an attempt whose first byte may not be sent.
    pub(super) fn note_withheld(&mut self, fetch: &Fetch, why: Withheld) {
        self.figures.attempts.withheld += 1;
        tracing::debug!(
            target: "attempts",
            id = %fetch.req.id, attempt = fetch.attempt, endpoint = %fetch.backend.name, ?why, "withheld"
        );
    }

    /// Counts and logs the end of an attempt.
    pub(super) fn note_over(&mut self, fetch: &Fetch, end: End, latency: Micros) {
        let counts = &mut self.figures.attempts;
        match end {
            End::Delivered => {}
            End::NotBegun => counts.not_begun += 1,
            end if end.may_have_run() => counts.may_have_run += 1,
            _ => counts.never_ran += 1,
        }
        let (id, attempt, endpoint) = (&fetch.req.id, fetch.attempt, &fetch.backend.name);
        let latency_ms = latency.0 / 1_000;
        if self.sent_by_earlier_process(fetch) {
            tracing::info!(
                target: "attempts", %id, attempt, %endpoint, ?end, latency_ms, "over, of a message taken up"
            );
        } else {
            tracing::debug!(target: "attempts", %id, attempt, %endpoint, ?end, latency_ms, "over");
        }
    }

    /// Logs that the outcome of a message is decided without delivery.
    pub(super) fn note_verdict(&self, msg: u64, verdict: FinalOutcome) {
        let Some(message) = self.messages.get(&msg) else { return };
        let (id, tries) = (&message.req.id, message.attempts);
        if message.resumed_may_have_run {
            tracing::info!(target: "attempts", %id, tries, ?verdict, "its end is decided, of a message taken up");
        } else {
            tracing::debug!(target: "attempts", %id, tries, ?verdict, "its end is decided");
        }
    }
}
