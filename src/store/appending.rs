//! Appends records, including while the folder can't be written (`ENOSPC`, `EIO`).
//!
//! When a call that writes an accept or an attempt start returns `Ok`, its record is on disk; after an error it is
//! not, and it will not be written later. The other records (outcomes, final outcomes, ends) describe what has
//! already happened: those that can't be written are kept in memory in their order, and nothing is appended before
//! them. [`Journal::has_unwritten`] reports whether there are any.
//!
//! A failed append may leave some of its bytes in the file. They are cut off before the next append. If that fails
//! too, a new segment is begun, whose first record holds the valid length of the preceding one (see `recovery`).

use super::records::put_record;
use super::salvage::RECORD_HEADER_BYTES;
use super::segments::new_segment;
use super::Journal;
use std::io;

/// The state of the last segment's file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Tail {
    /// It holds exactly the records that were written to it.
    Whole,
    /// Part of a failed append may follow its records.
    Torn,
    /// No segment may be written to; a new one must be begun.
    Missing,
}

impl Journal {
    /// Whether records that could not be written are held in memory; if the process is killed now, they are lost.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Whether anything is still to be written or repaired.
    pub fn needs_repair(&self) -> bool {
        self.has_unwritten() || self.tail != Tail::Whole || self.ended_ids.needs_write()
    }

    /// The error of the last write; empty if it succeeded.
    pub fn last_failure(&self) -> &str {
        self.last_failure.as_deref().unwrap_or_default()
    }

    /// Writes the records that could not be written before, and repairs the files that failed writes left.
    pub fn repair(&mut self) -> io::Result<()> {
        // The end of a message must not be on disk without the id by which the message is recognised.
        self.ended_ids.write(&mut *self.storage)?;
        self.repair_tail()?;
        while let Some(records) = self.unwritten.pop_front() {
            if let Err(e) = self.append_to_tail(&records) {
                self.unwritten.push_front(records);
                return Err(e);
            }
        }
        Ok(())
    }

    /// Starts a batch: records are gathered, up to a segment's length, until [`Journal::write_batch`]. Before that call
    /// nothing that depends on them may be done, and no req may be accepted.
    pub fn begin_batch(&mut self) {
        self.batch.get_or_insert_default();
    }

    /// Writes the batch and ends it: later records are written at once again.
    pub fn write_batch(&mut self) {
        if let Some(records) = self.batch.take().filter(|records| !records.is_empty()) {
            self.write_or_queue(records);
        }
    }

    /// Appends a record that no caller waits for.
    pub(super) fn append(&mut self, body: &[u8]) {
        let Some(mut records) = self.batch.take() else {
            return self.write_or_queue(encode_record(body));
        };
        // A segment longer than its limit would make the count of free disk space wrong.
        if !records.is_empty()
            && (records.len() + RECORD_HEADER_BYTES + body.len()) as u64 > self.segment_bytes
        {
            self.write_or_queue(std::mem::take(&mut records));
        }
        put_record(&mut records, body);
        self.batch = Some(records);
    }

    /// Appends a record that must be on disk before anything else is done.
    pub(super) fn append_now(&mut self, body: &[u8]) -> io::Result<()> {
        self.write_now(&encode_record(body))
    }

    /// Writes complete records to one segment: all of them are on disk, or none of them is.
    pub(super) fn write_now(&mut self, records: &[u8]) -> io::Result<()> {
        let written = self.repair().and_then(|()| self.append_to_tail(records));
        self.last_failure = written.as_ref().err().map(ToString::to_string);
        written
    }

    fn write_or_queue(&mut self, records: Vec<u8>) {
        if self.write_now(&records).is_err() {
            self.unwritten.push_back(records);
        }
    }

    fn append_to_tail(&mut self, records: &[u8]) -> io::Result<()> {
        let used = self.segments.last().map_or(0, |s| s.bytes);
        if used > 0 && used + records.len() as u64 > self.segment_bytes {
            self.tail = Tail::Missing;
            self.repair_tail()?;
        }
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        if let Err(e) = self.storage.append(&last.name, records) {
            self.tail = Tail::Torn;
            // The partial append is cut off at once. If the process were killed before the next append, it would stay.
            let _ = self.repair_tail();
            return Err(e);
        }
        last.sum.update(records);
        last.bytes += records.len() as u64;
        Ok(())
    }

    fn repair_tail(&mut self) -> io::Result<()> {
        match self.tail {
            Tail::Whole => return Ok(()),
            Tail::Missing => self.begin_segment()?,
            Tail::Torn => {
                let cut = self.segments.last().map(|last| (last.name.clone(), last.bytes));
                let cut = cut.map_or(Ok(()), |(name, bytes)| self.storage.truncate(&name, bytes));
                cut.or_else(|_| self.begin_segment())?;
            }
        }
        self.tail = Tail::Whole;
        Ok(())
    }

    fn begin_segment(&mut self) -> io::Result<()> {
        let next = self.segments.last().map_or(1, |s| s.number + 1);
        let segment =
            new_segment(&mut *self.storage, next, self.incarnation, self.start_mode, self.segments.last())?;
        self.segments.push(segment);
        Ok(())
    }
}

fn encode_record(body: &[u8]) -> Vec<u8> {
    let mut record = Vec::with_capacity(RECORD_HEADER_BYTES + body.len());
    put_record(&mut record, body);
    record
}
