//! The bodies of records: what is written of a message, and what a record does to all that is owed.

use super::{How, Owed, Req, Verdict};
use crate::api::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

pub(super) const TAKE: u8 = 1;
pub(super) const BEGIN: u8 = 2;
pub(super) const OUTCOME: u8 = 3;
pub(super) const VERDICT: u8 = 4;
pub(super) const END: u8 = 5;
/// Older programs pass it by: it is of no message.
pub(super) const START: u8 = 6;

pub(super) fn put_record(out: &mut Vec<u8>, body: &[u8]) {
    out.extend((body.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(body).to_le_bytes());
    out.extend(body);
}

pub(super) fn body(kind: u8, msg: u64) -> Vec<u8> {
    let mut body = vec![kind];
    body.extend(msg.to_le_bytes());
    body
}

fn bytes(body: &mut Vec<u8>, bytes: &[u8]) {
    body.extend((bytes.len() as u32).to_le_bytes());
    body.extend(bytes);
}

pub(super) fn text(body: &mut Vec<u8>, text: &str) {
    bytes(body, text.as_bytes());
}

fn put_attempt(body: &mut Vec<u8>, attempt: &Option<(Micros, String)>) {
    body.push(u8::from(attempt.is_some()));
    if let Some((at, backend)) = attempt {
        body.extend(at.0.to_le_bytes());
        text(body, backend);
    }
}

/// An attempt begins at this endpoint.
pub(super) fn begin_body(msg: u64, now: Micros, endpoint: &str) -> Vec<u8> {
    let mut body = body(BEGIN, msg);
    body.extend(now.0.to_le_bytes());
    text(&mut body, endpoint);
    body
}

pub(super) fn put_verdict(body: &mut Vec<u8>, verdict: Option<Verdict>) {
    let (kind, wait) = match verdict {
        None => (0, Micros(0)),
        Some(Verdict::GivenUp) => (1, Micros(0)),
        Some(Verdict::HandedBack(wait)) => (2, wait),
    };
    body.push(kind);
    body.extend(wait.0.to_le_bytes());
}

pub(super) fn encode_take(msg: u64, owed: &Owed) -> Vec<u8> {
    let req = &owed.req;
    let mut out = body(TAKE, msg);
    text(&mut out, &req.id);
    out.push(req.front);
    out.extend(req.dest.to_le_bytes());
    out.extend(req.class.to_le_bytes());
    out.extend(req.tenant.to_le_bytes());
    out.extend(req.due.0.to_le_bytes());
    text(&mut out, &req.head);
    bytes(&mut out, &req.body);
    out.extend(req.keep_id.0.to_le_bytes());
    out.extend(owed.tries.to_le_bytes());
    put_attempt(&mut out, &owed.risk);
    put_attempt(&mut out, &owed.open);
    put_verdict(&mut out, owed.verdict);
    text(&mut out, &owed.said);
    out
}

/// The end of one that is to be put away. Older programs take it for an end as any other.
pub(super) fn end_kept(msg: u64, seq: u64, at: Micros, how: How, said: Option<&str>) -> Vec<u8> {
    let mut out = body(END, msg);
    out.extend(seq.to_le_bytes());
    out.extend(at.0.to_le_bytes());
    out.push(match how {
        How::Delivered => 1,
        How::GivenUp => 2,
        How::HandedBack => 3,
    });
    out.push(u8::from(said.is_some()));
    text(&mut out, said.unwrap_or_default());
    out
}

pub(super) struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    fn take(&mut self, n: usize) -> Option<&'a [u8]> {
        let (head, tail) = self.0.split_at_checked(n)?;
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
        let n = self.u32()? as usize;
        Some(self.take(n)?.to_vec())
    }
    fn text(&mut self) -> Option<String> {
        String::from_utf8(self.bytes()?).ok()
    }
    fn attempt(&mut self) -> Option<Option<(Micros, String)>> {
        Some(match self.u8()? {
            0 => None,
            _ => Some((Micros(self.u64()?), self.text()?)),
        })
    }
    fn verdict(&mut self) -> Option<Option<Verdict>> {
        let (kind, wait) = (self.u8()?, Micros(self.u64()?));
        Some(match kind {
            0 => None,
            1 => Some(Verdict::GivenUp),
            _ => Some(Verdict::HandedBack(wait)),
        })
    }
    /// Behind the message of an [`END`]: its number, when, how, and the last word, if it is one that is to be put away.
    pub fn end_kept(&mut self) -> Option<(u64, Micros, How, Option<String>)> {
        let (seq, at) = (self.u64()?, Micros(self.u64()?));
        let how = match self.u8()? {
            1 => How::Delivered,
            2 => How::GivenUp,
            3 => How::HandedBack,
            _ => return None,
        };
        let (there, said) = (self.u8()? != 0, self.text()?);
        Some((seq, at, how, there.then_some(said)))
    }
    fn owed(&mut self) -> Option<Owed> {
        let req = Req {
            id: self.text()?,
            front: self.u8()?,
            dest: self.u16()?,
            class: self.u16()?,
            tenant: self.u16()?,
            due: Micros(self.u64()?),
            head: self.text()?,
            body: self.bytes()?.into(),
            keep_id: Micros(self.u64()?),
        };
        Some(Owed {
            req: Arc::new(req),
            tries: self.u32()?,
            risk: self.attempt()?,
            open: self.attempt()?,
            verdict: self.verdict()?,
            said: self.text()?,
        })
    }
}

impl Owed {
    /// Nobody will hear how the call that is out ends, so it may have run.
    pub(super) fn open_call_is_lost(&mut self) {
        self.risk = self.risk.take().or(self.open.take());
    }
}

/// Applies one record. One that does not decode changes nothing.
pub(super) fn apply(body: &[u8], owed: &mut BTreeMap<u64, Owed>, live: &mut BTreeSet<u64>) -> Option<()> {
    let mut fields = Fields(body);
    let (kind, msg) = (fields.u8()?, fields.u64()?);
    if kind == TAKE {
        owed.insert(msg, fields.owed()?);
        live.insert(msg);
        return Some(());
    }
    let held = owed.get_mut(&msg)?;
    match kind {
        BEGIN => {
            held.tries += 1;
            held.open_call_is_lost();
            held.open = Some((Micros(fields.u64()?), fields.text()?));
        }
        OUTCOME => {
            let (open, may_have_run) = (held.open.take(), fields.u8()? != 0);
            held.risk = held.risk.take().or(open.filter(|_| may_have_run));
            held.said = fields.text()?;
        }
        VERDICT => held.verdict = fields.verdict()?,
        END => {
            owed.remove(&msg);
        }
        _ => {}
    }
    Some(())
}
