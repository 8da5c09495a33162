//! Ended messages that the journal passes to the history.

use super::store::{io_error, History};
use crate::api::Micros;
use crate::store::EndedMessage;
use redb::{TableDefinition, WriteTransaction};
use std::io;

/// The journal's number of the last end that is stored here, or that no policy keeps.
pub(super) const MARK: TableDefinition<(), u64> = TableDefinition::new("mark");

pub(super) fn put_mark(t: &WriteTransaction, mark: Option<u64>) -> io::Result<()> {
    if let Some(mark) = mark {
        t.open_table(MARK).map_err(io_error)?.insert((), mark).map_err(io_error)?;
    }
    Ok(())
}

impl History {
    /// Stores ended messages, the oldest first. Those that retention forbids by now are left out.
    pub fn take_in(&mut self, now: Micros, ends: &[EndedMessage]) {
        for end in ends {
            // A message that is stored and lies behind the mark would be stored again, without its claims.
            self.mark = self.mark.max(Some(end.seq));
            self.take_one(now, end.at, end.msg, &end.state, end.how);
        }
        self.write(now);
    }

    /// As [`History::take_in`], at a start, with all ends of the journal. Returns the number of messages that were stored. A new file
    /// has no forget orders, and the journal may hold messages that were forgotten: none of them is stored in it.
    pub fn catch_up(&mut self, now: Micros, ends: &[EndedMessage]) -> io::Result<usize> {
        let last = ends.last().map_or(0, |end| end.seq);
        let Some(mark) = self.mark else {
            self.counts.unwritten += ends.len() as u64;
            return self.begin_at(last).map(|()| 0);
        };
        let behind = ends.partition_point(|end| end.seq <= mark);
        self.take_in(now, &ends[behind..]);
        Ok(ends.len() - behind)
    }

    /// The journal's number of the last end that is stored here. `None`: the file is new.
    pub fn mark(&self) -> Option<u64> {
        self.mark
    }

    fn begin_at(&mut self, seq: u64) -> io::Result<()> {
        self.mark = Some(seq);
        self.write_transaction(|t| put_mark(t, Some(seq)))
    }
}
