//! Logs and counts what becomes of attempts: taken up from an earlier process, withheld, begun, over.
//!
//! Each change of state is a line of the target `attempts` at `debug`. Of messages that an earlier process may have sent it is a line
//! at `info`: they are few, and may be sent again only within their group and window.

use super::{Core, End, Fetch, Verdict};
use crate::api::Micros;
use crate::store::Owed;
use serde_json::{json, Value};

/// Why the first byte of an attempt may not go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Withheld {
    /// Its message has ended, or its end is decided.
    MessageOver,
    /// The process ends too soon.
    ProcessEnds,
    /// The message's time is up.
    TimeUp,
    /// Its endpoint is not listed as one that takes calls.
    NotListed,
    /// A drain forbids it.
    Drain,
    /// The destination has told to wait.
    ToldToWait,
    /// The decision module forbids it.
    Policy,
    /// The journal could not record it.
    NotRecorded,
}

/// Counts of attempts since the process began.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AttemptCounts {
    /// Messages taken up that no process had called.
    pub resumed_untried: u64,
    /// Messages taken up whose calls surely never ran.
    pub resumed_never_ran: u64,
    /// Messages taken up of which a call may have run.
    pub resumed_may_have_run: u64,
    /// First bytes that were about to go.
    pub begun: u64,
    /// First bytes that were not allowed to go.
    pub withheld: u64,
    /// Attempts that ended without a first byte.
    pub not_begun: u64,
    /// Attempts that surely never ran.
    pub never_ran: u64,
    /// Attempts that may have run and were not delivered.
    pub may_have_run: u64,
    /// Attempts for a message of which an earlier one may have run.
    pub repeated: u64,
}

impl AttemptCounts {
    /// As operators read them.
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

    /// A message of an earlier process is taken up.
    pub(super) fn resumed(&mut self, now: Micros, owed: &Owed) {
        let first_call = owed.risk.as_ref().or(owed.open.as_ref());
        let Some((called_at, endpoint)) = first_call else {
            let count = if owed.tries == 0 { &mut self.resumed_untried } else { &mut self.resumed_never_ran };
            *count += 1;
            return;
        };
        self.resumed_may_have_run += 1;
        tracing::info!(
            target: "attempts",
            id = %owed.req.id, class = owed.req.class, tries = owed.tries, called_at_ms = called_at.0 / 1_000,
            called_ms_ago = (now - *called_at).0 / 1_000, endpoint = %endpoint, due_in_ms = (owed.req.due - now).0 / 1_000,
            "taken up: an earlier call may have run"
        );
    }
}

impl Core {
    /// Whether an earlier process may have sent this message.
    fn sent_by_earlier_process(&self, fetch: &Fetch) -> bool {
        self.messages.get(&fetch.msg).is_some_and(|held| held.resumed_may_have_run)
    }

    /// The first byte of an attempt is about to go.
    pub(super) fn note_begun(&mut self, now: Micros, fetch: &Fetch) {
        let counts = &mut self.figures.attempts;
        counts.begun += 1;
        let first_call = self.journal.owed().get(&fetch.msg).and_then(|owed| owed.risk.as_ref());
        let Some((called_at, _)) = first_call else {
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

    /// The first byte of an attempt may not go.
    pub(super) fn note_withheld(&mut self, fetch: &Fetch, why: Withheld) {
        self.figures.attempts.withheld += 1;
        tracing::debug!(
            target: "attempts",
            id = %fetch.req.id, attempt = fetch.attempt, endpoint = %fetch.backend.name, ?why, "withheld"
        );
    }

    /// An attempt is over.
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

    /// The end of a message is decided without delivery.
    pub(super) fn note_verdict(&self, msg: u64, verdict: Verdict) {
        let Some(held) = self.messages.get(&msg) else { return };
        let (id, tries) = (&held.req.id, held.attempts);
        if held.resumed_may_have_run {
            tracing::info!(target: "attempts", %id, tries, ?verdict, "its end is decided, of a message taken up");
        } else {
            tracing::debug!(target: "attempts", %id, tries, ?verdict, "its end is decided");
        }
    }
}
