//! Behaviour while the journal cannot be written. The journal itself refuses new messages and attempts; the core defers
//! notices whose verdict is only in memory, and retries the write.

use super::{Core, Courier, Notice, Order};
use crate::api::Micros;

/// Interval between two attempts to write records that could not be written.
const RETRY_INTERVAL: Micros = Micros(20_000);

/// Deferred notices and the state of the retries.
#[derive(Default)]
pub(super) struct JournalOutage {
    /// Notices whose verdict the journal holds in memory only.
    deferred_notices: Vec<Notice>,
    /// Time of the next attempt to write.
    retry_at: Micros,
    /// Whether the journal was failing at the last check.
    was_failing: bool,
}

impl Core {
    /// Sends a notice once its verdict is in the journal. If the notice went first and the process were killed, the next
    /// process would resume the message and deliver it although the client was told to submit it elsewhere. After the
    /// message's deadline nothing is delivered, so the notice goes out without the record.
    ///
    /// A bounce needs no such delay: none of its calls begins before its own record is written.
    pub(super) fn send_notice(&mut self, now: Micros, notice: Notice) {
        if self.ends_by_bounce(notice.req.front) {
            self.replace_by_bounce(now, &notice);
        } else if self.journal.has_unwritten() && now < notice.req.due {
            self.journal_outage.deferred_notices.push(notice);
        } else {
            self.order(Order::Notice(notice));
        }
    }

    /// Retries the records that the journal could not write, and sends the notices that waited for them.
    pub(super) fn retry_journal(&mut self, now: Micros) {
        if self.journal.needs_repair() && now >= self.journal_outage.retry_at {
            self.journal_outage.retry_at = now + RETRY_INTERVAL;
            // An error leaves the records pending until the next retry.
            let _ = self.journal.repair();
        }
        let failing = self.journal.needs_repair() || !self.journal.last_failure().is_empty();
        match (std::mem::replace(&mut self.journal_outage.was_failing, failing), failing) {
            (false, true) => {
                let why = self.journal.last_failure();
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
    /// Whether all journal records are written; retries at once if some are not.
    pub fn journal_written(&self) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        state.journal_outage.retry_at = now;
        state.retry_journal(now);
        !state.journal.has_unwritten()
    }
}
