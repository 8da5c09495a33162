//! What the journal hands over.

use super::store::{other, History};
use crate::api::Micros;
use crate::store::EndedMessage;
use redb::{TableDefinition, WriteTransaction};
use std::io;

/// The journal's number of the last end that is here, or was not to be kept.
pub(super) const MARK: TableDefinition<(), u64> = TableDefinition::new("mark");

pub(super) fn put_mark(t: &WriteTransaction, mark: Option<u64>) -> io::Result<()> {
    if let Some(mark) = mark {
        t.open_table(MARK).map_err(other)?.insert((), mark).map_err(other)?;
    }
    Ok(())
}

impl History {
    /// Puts away what has ended, by the journal's word, the oldest first. What may not be kept by now is passed by.
    pub fn take_in(&mut self, now: Micros, ends: &[EndedMessage]) {
        for end in ends {
            // Danger: one that is here and behind the mark would be put in twice, and forget who has sent it again.
            self.mark = self.mark.max(Some(end.seq));
            self.take_one(now, end.at, end.msg, &end.state, end.how);
        }
        self.write(now);
    }

    /// The same at a start, with all that the folder's journal has; says how many were taken in. Danger: a file that is new has
    /// lost what it knew of forgetting, and may have lost it together with what was forgotten: nothing comes back into it.
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

    /// The journal's number of the last end that is here. `None`: the file is new.
    pub fn mark(&self) -> Option<u64> {
        self.mark
    }

    fn begin_at(&mut self, seq: u64) -> io::Result<()> {
        self.mark = Some(seq);
        self.transact(|t| put_mark(t, Some(seq)))
    }
}
