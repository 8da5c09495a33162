//! Appends records, also while the folder can't be written (`ENOSPC`, `EIO`).
//!
//! A record that something waits for, a take or the begin of an attempt, is on disk when its call returns `Ok`; after an error it is
//! not, and never will be. The other records (outcomes, verdicts, ends) say what has happened already: those that can't be written
//! are kept in memory, in their order, and nothing is appended before them. [`Journal::behind`] says that there are some.
//!
//! A failed append may leave a part of its bytes. They are cut off before the next one; where that fails too, a new segment begins,
//! and its first record says how long the one before it is (see `reading`).

use super::records::put_record;
use super::salvage::HEAD;
use super::segments::new_segment;
use super::Journal;
use std::io;

/// What the file of the last segment holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tail {
    /// The records that were written to it.
    Whole,
    /// Perhaps a part of a failed append behind them.
    Torn,
    /// None that may be written to: a new segment is to be begun.
    Missing,
}

impl Journal {
    /// Records that could not be written are kept in memory only: a process that is killed now forgets them.
    pub fn behind(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Something is still to be written or mended.
    pub fn failing(&self) -> bool {
        self.behind() || self.tail != Tail::Whole || self.ids_stale
    }

    /// Why the last write failed; empty: it did not.
    pub fn failure(&self) -> &str {
        self.failure.as_deref().unwrap_or_default()
    }

    /// Writes what could not be written before, and mends what a failed write left.
    pub fn catch_up(&mut self) -> io::Result<()> {
        if self.ids_stale {
            self.rewrite_ids();
        }
        self.mend_tail()?;
        while let Some(records) = self.unwritten.pop_front() {
            if let Err(e) = self.append_to_tail(&records) {
                self.unwritten.push_front(records);
                return Err(e);
            }
        }
        Ok(())
    }

    /// From now on records are kept together, up to a segment's length, until [`Journal::written`]. Nothing that rests on
    /// them may be done before, and no req may be taken.
    pub fn gather(&mut self) {
        self.gathered.get_or_insert_default();
    }

    /// Writes what was gathered; from now on each record is written at once again.
    pub fn written(&mut self) {
        if let Some(records) = self.gathered.take().filter(|records| !records.is_empty()) {
            self.write_or_keep(records);
        }
    }

    /// One record that nothing waits for.
    pub(super) fn append(&mut self, body: &[u8]) {
        let Some(mut records) = self.gathered.take() else {
            return self.write_or_keep(record_of(body));
        };
        // Danger: a segment that grows past its length breaks the count of what is still free.
        if !records.is_empty() && (records.len() + HEAD + body.len()) as u64 > self.segment_bytes {
            self.write_or_keep(std::mem::take(&mut records));
        }
        put_record(&mut records, body);
        self.gathered = Some(records);
    }

    /// One record that must be on disk before anything else is done.
    pub(super) fn append_now(&mut self, body: &[u8]) -> io::Result<()> {
        self.write_now(&record_of(body))
    }

    /// Whole records, to one segment: all of them are on disk, or none of them is.
    pub(super) fn write_now(&mut self, records: &[u8]) -> io::Result<()> {
        let written = self.catch_up().and_then(|()| self.append_to_tail(records));
        self.failure = written.as_ref().err().map(ToString::to_string);
        written
    }

    fn write_or_keep(&mut self, records: Vec<u8>) {
        if self.write_now(&records).is_err() {
            self.unwritten.push_back(records);
        }
    }

    fn append_to_tail(&mut self, records: &[u8]) -> io::Result<()> {
        let used = self.segments.last().map_or(0, |s| s.bytes);
        if used > 0 && used + records.len() as u64 > self.segment_bytes {
            self.tail = Tail::Missing;
            self.mend_tail()?;
        }
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        if let Err(e) = self.home.append(&last.name, records) {
            self.tail = Tail::Torn;
            // Danger: a process that is killed before the next append would leave a part of these records; so they go at once.
            let _ = self.mend_tail();
            return Err(e);
        }
        last.sum.update(records);
        last.bytes += records.len() as u64;
        Ok(())
    }

    fn mend_tail(&mut self) -> io::Result<()> {
        match self.tail {
            Tail::Whole => return Ok(()),
            Tail::Missing => self.begin_segment()?,
            Tail::Torn => {
                let cut = self.segments.last().map(|last| (last.name.clone(), last.bytes));
                let cut = cut.map_or(Ok(()), |(name, bytes)| self.home.truncate(&name, bytes));
                cut.or_else(|_| self.begin_segment())?;
            }
        }
        self.tail = Tail::Whole;
        Ok(())
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        let next = self.segments.last().map_or(1, |s| s.number + 1);
        let segment =
            new_segment(&mut *self.home, next, self.incarnation, self.succession, self.segments.last())?;
        self.segments.push(segment);
        Ok(())
    }
}

fn record_of(body: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(HEAD + body.len());
    put_record(&mut record, body);
    record
}
