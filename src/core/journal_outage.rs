//! What the core does while the journal can't be written: it takes nothing on and begins no attempt, each refused by the journal
//! itself, and tells no end that a kill could undo.

use super::{Core, Courier, Notice, Order};
use crate::api::Micros;

/// How long to wait between two tries to write what could not be written.
const RETRY_INTERVAL: Micros = Micros(20_000);

/// Ends that are not told yet, and whether the journal can be written.
#[derive(Default)]
pub(super) struct JournalOutage {
    /// Notices of verdicts that the journal has in memory only.
    deferred_notices: Vec<Notice>,
    /// When writing is tried again.
    retry_at: Micros,
    /// The journal was failing at the last look.
    was_failing: bool,
}

impl Core {
    /// An end is told once the journal has its verdict. Danger: a process that is killed in between takes the message up again
    /// and delivers what its client was told to hand in elsewhere. Once its time is up nothing is delivered any more, so then it
    /// is told all the same.
    pub(super) fn send_notice(&mut self, now: Micros, notice: Notice) {
        if self.journal.behind() && now < notice.req.due {
            self.journal_outage.deferred_notices.push(notice);
        } else {
            self.order(Order::Notice(notice));
        }
    }

    /// Tries to write what the journal could not write, and tells the ends that waited for it.
    pub(super) fn retry_journal(&mut self, now: Micros) {
        if self.journal.failing() && now >= self.journal_outage.retry_at {
            self.journal_outage.retry_at = now + RETRY_INTERVAL;
            // After an error the next try does it.
            let _ = self.journal.catch_up();
        }
        let failing = self.journal.failing() || !self.journal.failure().is_empty();
        match (std::mem::replace(&mut self.journal_outage.was_failing, failing), failing) {
            (false, true) => {
                let why = self.journal.failure();
                tracing::error!(target: "journal", "it can't be written, and nothing is taken on until it can: {why}");
            }
            (true, false) => {
                tracing::info!(target: "journal", "it is written again");
                self.queue_ended_messages();
            }
            _ => {}
        }
        for notice in std::mem::take(&mut self.journal_outage.deferred_notices) {
            self.send_notice(now, notice);
        }
    }
}

impl Courier {
    /// Whether the journal's records are all written; tries once more if some are not.
    pub fn journal_written(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        state.journal_outage.retry_at = now;
        state.retry_journal(now);
        !state.journal.behind()
    }
}
