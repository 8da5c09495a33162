//! Deletion of messages in parts, so that the core never waits for long.

use super::store::{History, MAX_DELETED_AT_ONCE};
use crate::api::Micros;
use std::io;

impl History {
    /// Deletes the next part of the messages that must be deleted, if any is left.
    pub fn clear(&mut self, now: Micros) -> io::Result<()> {
        let part = self.undeleted.split_off(self.undeleted.len().saturating_sub(MAX_DELETED_AT_ONCE));
        // Another message may have the number by now; only forbidden ones are deleted.
        let is_gone =
            |n: &u64| self.index.metas.get(n).is_some_and(|m| self.book.gone(now, &m.about).is_some());
        let gone: Vec<u64> = part.iter().copied().filter(is_gone).collect();
        if let Err(e) = self.delete(&gone) {
            self.undeleted.extend(part);
            return Err(e);
        }
        self.counts.deleted += gone.len() as u64;
        Ok(())
    }

    /// Finds the messages that must be deleted when the process starts: the one before may have been killed before it had deleted
    /// them all.
    pub fn look_over(&mut self, now: Micros) {
        self.undeleted = self.index.gone(now, &self.book);
    }

    /// Whether messages are left for [`History::clear`].
    pub fn clears(&self) -> bool {
        !self.undeleted.is_empty()
    }

    /// Checks up to `most` messages from a number on, and deletes the forbidden ones. Returns the number to continue with; 0 after the
    /// last message.
    pub fn sweep_from(&mut self, now: Micros, from: u64, most: usize) -> io::Result<u64> {
        let (next, gone) = self.index.gone_from(now, &self.book, from, most);
        self.delete(&gone)?;
        self.counts.deleted += gone.len() as u64;
        Ok(next)
    }
}
