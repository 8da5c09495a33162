//! Acceptance of messages: clients' reqs, if there is room for them, and the reports of ends, which need none.

use super::records::{encode_accept, put_record};
use super::salvage::RECORD_HEADER_BYTES;
use super::{Journal, MessageState, ReplacedMessage, Req};
use std::io;
use std::sync::Arc;

/// How many bytes the record may take that reports the end of a req.
pub(super) type EndReserve = Box<dyn Fn(&Req) -> u64 + Send>;

impl Journal {
    /// Sets how many bytes are kept free for the report of each req's end. Called before any message is accepted.
    pub fn set_end_reserve(&mut self, reserve: Box<dyn Fn(&Req) -> u64 + Send>) {
        for state in self.pending.values_mut() {
            state.end_reserve = reserve(&state.req);
        }
        self.end_reserve = Some(reserve);
    }

    /// The bytes kept free for the reports of the pending messages' ends.
    pub(super) fn reserved_for_ends(&self) -> u64 {
        let is_reserved = self.end_reserve.is_some();
        self.pending.values().take_while(|_| is_reserved).map(|state| state.end_reserve).sum()
    }

    /// Accepts reqs, if possible with one write; returns how many of them, from the first on, had room. The caller must
    /// refuse the others. An error means that none could be written.
    pub fn accept(&mut self, reqs: &[(u64, Arc<Req>)]) -> io::Result<usize> {
        let (mut records, mut accepted, mut written) = (Vec::new(), 0, 0);
        for (msg, req) in reqs {
            let state = self.new_state(req, None);
            let body = encode_accept(*msg, &state);
            let bytes = (records.len() + RECORD_HEADER_BYTES + body.len()) as u64;
            match self.make_room(bytes + state.end_reserve) {
                Ok(true) => {}
                // The records gathered so far may still be written.
                Ok(false) | Err(_) => break,
            }
            // A write that exceeds a segment's length is split.
            if !records.is_empty()
                && (records.len() + RECORD_HEADER_BYTES + body.len()) as u64 > self.segment_bytes
            {
                match self.write_accepts(&mut records, &reqs[written..accepted]) {
                    Ok(()) => written = accepted,
                    Err(e) => return if written > 0 { Ok(written) } else { Err(e) },
                }
            }
            put_record(&mut records, &body);
            self.pending.insert(*msg, state);
            accepted += 1;
        }
        match self.write_accepts(&mut records, &reqs[written..accepted]) {
            Ok(()) => Ok(accepted),
            Err(_) if written > 0 => Ok(written),
            Err(e) => Err(e),
        }
    }

    fn write_accepts(&mut self, records: &mut Vec<u8>, reqs: &[(u64, Arc<Req>)]) -> io::Result<()> {
        if reqs.is_empty() {
            return Ok(());
        }
        self.write_now(records).inspect_err(|_| {
            reqs.iter().for_each(|(msg, _)| drop(self.pending.remove(msg)));
        })?;
        records.clear();
        reqs.iter().for_each(|(msg, _)| self.set_live_in_tail(*msg));
        Ok(())
    }

    /// Accepts the message that reports the end of `replaced`, which the caller ends in the same batch. There is always
    /// room for it: `replaced` had that reserved. If it can't be written now, `replaced` stays on disk until it is.
    pub fn accept_in_place_of(&mut self, msg: u64, req: &Arc<Req>, replaced: ReplacedMessage) {
        let state = self.new_state(req, Some(replaced));
        self.append(&encode_accept(msg, &state));
        self.pending.insert(msg, state);
        // As long as this message is live there, the record of the one that it replaces is not removed.
        let segment = self.segments.iter_mut().find(|segment| segment.live.contains(&replaced.msg));
        match segment {
            Some(segment) => drop(segment.live.insert(msg)),
            None => self.set_live_in_tail(msg),
        }
    }

    fn new_state(&self, req: &Arc<Req>, replaces: Option<ReplacedMessage>) -> MessageState {
        MessageState {
            req: req.clone(),
            attempts: 0,
            first_uncertain: None,
            open_attempt: None,
            final_outcome: None,
            last_reply: String::new(),
            names: self.names_of(req),
            replaces,
            end_reserve: self.end_reserve.as_ref().map_or(0, |reserve| reserve(req)),
        }
    }
}
