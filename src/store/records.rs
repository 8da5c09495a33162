//! Record bodies: their encoding, and how a record changes the state of the pending messages.

use super::{EndKind, FinalOutcome, MessageState, RecordedNames, ReplacedMessage, Req, StartedAttempt};
use crate::api::{Micros, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The full state of a pending message.
pub(super) const ACCEPT: u8 = 1;
/// An attempt starts.
pub(super) const ATTEMPT_START: u8 = 2;
/// An attempt is finished.
pub(super) const OUTCOME: u8 = 3;
/// The message's final outcome is decided, and its client must be notified.
pub(super) const FINAL_OUTCOME: u8 = 4;
/// The message has ended.
pub(super) const END: u8 = 5;
/// The first record of a segment. Older versions skip it, because it belongs to no message.
pub(super) const SEGMENT_START: u8 = 6;

pub(super) fn put_record(out: &mut Vec<u8>, body: &[u8]) {
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(body).to_le_bytes());
    out.extend(body);
}

/// The first fields of a body: the kind and the message.
pub(super) fn record_body(kind: u8, msg: u64) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(msg.to_le_bytes());
    body
}

fn put_bytes(body: &mut Vec<u8>, bytes: &[u8]) {
    body.extend((bytes.len() as u32).to_le_bytes());
    body.extend(bytes);
}

pub(super) fn put_text(body: &mut Vec<u8>, text: &str) {
    put_bytes(body, text.as_bytes());
}

fn put_attempt(body: &mut Vec<u8>, attempt: &Option<StartedAttempt>) {
    body.push(u8::from(attempt.is_some()));
    if let Some(attempt) = attempt {
        body.extend(attempt.at.0.to_le_bytes());
        put_text(body, &attempt.backend);
    }
}

/// Zones are at the end of their records, where older versions read nothing.
fn put_zone(body: &mut Vec<u8>, attempt: Option<&StartedAttempt>) {
    let zone = attempt.and_then(|attempt| attempt.zone);
    body.push(u8::from(zone.is_some()));
    if let Some(zone) = zone {
        body.extend(zone.0.to_le_bytes());
    }
}

/// The record of an attempt that starts.
pub(super) fn attempt_start_body(msg: u64, attempt: &StartedAttempt) -> Vec<u8> {
    let mut body = record_body(ATTEMPT_START, msg);
    body.extend(attempt.at.0.to_le_bytes());
    put_text(&mut body, &attempt.backend);
    put_zone(&mut body, Some(attempt));
    body
}

pub(super) fn put_final_outcome(body: &mut Vec<u8>, outcome: Option<FinalOutcome>) {
    let (kind, wait) = match outcome {
        None => (0, Micros(0)),
        Some(FinalOutcome::GivenUp) => (1, Micros(0)),
        Some(FinalOutcome::HandedBack(wait)) => (2, wait),
    };
    body.push(kind);
    body.extend(wait.0.to_le_bytes());
}

/// Older versions read nothing there.
fn put_replaced(body: &mut Vec<u8>, replaced: Option<ReplacedMessage>) {
    if let Some(ReplacedMessage { msg, destination }) = replaced {
        body.extend(msg.to_le_bytes());
        body.extend(destination.to_le_bytes());
    }
}

pub(super) fn encode_accept(msg: u64, state: &MessageState) -> Vec<u8> {
    let req = &state.req;
    let mut out = record_body(ACCEPT, msg);
    put_text(&mut out, &req.id);
    out.push(req.front);
    out.extend(req.dest.to_le_bytes());
    out.extend(req.class.to_le_bytes());
    out.extend(req.tenant.to_le_bytes());
    out.extend(req.due.0.to_le_bytes());
    put_text(&mut out, &req.head);
    put_bytes(&mut out, &req.body);
    out.extend(req.keep_id_until.0.to_le_bytes());
    out.extend(state.attempts.to_le_bytes());
    put_attempt(&mut out, &state.first_uncertain);
    put_attempt(&mut out, &state.open_attempt);
    put_final_outcome(&mut out, state.final_outcome);
    put_text(&mut out, &state.last_reply);
    put_zone(&mut out, state.first_uncertain.as_ref());
    put_zone(&mut out, state.open_attempt.as_ref());
    state.names.put(&mut out);
    put_replaced(&mut out, state.replaces);
    out
}

/// The end of a message that the history is to store. Older versions read it as an ordinary end.
pub(super) fn encode_history_end(
    msg: u64, seq: u64, at: Micros, how: EndKind, reply: Option<&str>,
) -> Vec<u8> {
    let mut out = record_body(END, msg);
    out.extend(seq.to_le_bytes());
    out.extend(at.0.to_le_bytes());
    out.push(match how {
        EndKind::Delivered => 1,
        EndKind::GivenUp => 2,
        EndKind::HandedBack => 3,
    });
    out.push(u8::from(reply.is_some()));
    put_text(&mut out, reply.unwrap_or_default());
    out
}

/// Decodes a body field by field; holds the rest.
pub(super) struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (head, tail) = self.0.split_at_checked(length)?;
        self.0 = tail;
        Some(head)
    }
    pub fn u8(&mut self) -> Option<u8> {
        Some(self.take(1)?[0])
    }
    fn u16(&mut self) -> Option<u16> {
        Some(u16::from_le_bytes(self.take(2)?.try_into().ok()?))
    }
    pub fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.take(4)?.try_into().ok()?))
    }
    pub fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.take(8)?.try_into().ok()?))
    }
    fn bytes(&mut self) -> Option<Vec<u8>> {
        let length = self.u32()? as usize;
        Some(self.take(length)?.to_vec())
    }
    pub fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }
    fn started_attempt(&mut self) -> Option<StartedAttempt> {
        Some(StartedAttempt { at: Micros(self.u64()?), backend: self.text()?, zone: None })
    }
    fn attempt(&mut self) -> Option<Option<StartedAttempt>> {
        match self.u8()? {
            0 => Some(None),
            _ => self.started_attempt().map(Some),
        }
    }
    /// The zone at the end of a record; `None` if it is not known, or the record ends before it.
    fn zone(&mut self) -> Option<ZoneId> {
        match self.u8()? {
            0 => None,
            _ => self.u64().map(ZoneId),
        }
    }
    fn final_outcome(&mut self) -> Option<Option<FinalOutcome>> {
        let (kind, wait) = (self.u8()?, Micros(self.u64()?));
        Some(match kind {
            0 => None,
            1 => Some(FinalOutcome::GivenUp),
            _ => Some(FinalOutcome::HandedBack(wait)),
        })
    }
    /// The fields of an [`END`] after the message: its number, its time, how the message ended, and the last reply.
    /// `None` if the message is not for the history.
    pub fn history_end(&mut self) -> Option<(u64, Micros, EndKind, Option<String>)> {
        let (seq, at) = (self.u64()?, Micros(self.u64()?));
        let how = match self.u8()? {
            1 => EndKind::Delivered,
            2 => EndKind::GivenUp,
            3 => EndKind::HandedBack,
            _ => return None,
        };
        let (has_reply, reply) = (self.u8()? != 0, self.text()?);
        Some((seq, at, how, has_reply.then_some(reply)))
    }
    /// The message that this one replaces; `None` if the record ends before it.
    fn replaced(&mut self) -> Option<ReplacedMessage> {
        Some(ReplacedMessage { msg: self.u64()?, destination: self.u16()? })
    }
    fn message_state(&mut self) -> Option<MessageState> {
        let req = Req {
            id: self.text()?,
            front: self.u8()?,
            dest: self.u16()?,
            class: self.u16()?,
            tenant: self.u16()?,
            due: Micros(self.u64()?),
            head: self.text()?,
            body: self.bytes()?.into(),
            keep_id_until: Micros(self.u64()?),
        };
        let mut state = MessageState {
            req: Arc::new(req),
            attempts: self.u32()?,
            first_uncertain: self.attempt()?,
            open_attempt: self.attempt()?,
            final_outcome: self.final_outcome()?,
            last_reply: self.text()?,
            names: RecordedNames::default(),
            replaces: None,
            end_reserve: 0,
        };
        for attempt in [&mut state.first_uncertain, &mut state.open_attempt] {
            let zone = self.zone();
            attempt.iter_mut().for_each(|attempt| attempt.zone = zone);
        }
        state.names = RecordedNames::read(self);
        state.replaces = self.replaced();
        Some(state)
    }
}

impl MessageState {
    /// The result of the attempt in flight is lost, so it may have run.
    pub(super) fn open_attempt_is_lost(&mut self) {
        self.first_uncertain = self.first_uncertain.take().or(self.open_attempt.take());
    }
}

/// Applies one record. A record that does not decode changes nothing.
pub(super) fn apply(
    body: &[u8], pending: &mut BTreeMap<u64, MessageState>, live: &mut BTreeSet<u64>,
) -> Option<()> {
    let mut fields = Fields(body);
    let (kind, msg) = (fields.u8()?, fields.u64()?);
    if kind == ACCEPT {
        pending.insert(msg, fields.message_state()?);
        live.insert(msg);
        return Some(());
    }
    let state = pending.get_mut(&msg)?;
    match kind {
        ATTEMPT_START => {
            state.attempts += 1;
            state.open_attempt_is_lost();
            let zone_follows = fields.started_attempt()?;
            state.open_attempt = Some(StartedAttempt { zone: fields.zone(), ..zone_follows });
        }
        OUTCOME => {
            let (open, may_have_run) = (state.open_attempt.take(), fields.u8()? != 0);
            state.first_uncertain = state.first_uncertain.take().or(open.filter(|_| may_have_run));
            state.last_reply = fields.text()?;
        }
        FINAL_OUTCOME => state.final_outcome = fields.final_outcome()?,
        END => {
            pending.remove(&msg);
        }
        _ => {}
    }
    Some(())
}
