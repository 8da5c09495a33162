//! The binary wire: big-endian frames of records, as bytes in and bytes out.

use indigohold::{
    Action, ClassId, DestinationId, EndpointId, Entry, Event, Key, KindId, ListingState, Message, MessageId,
    Micros, Outcome, PeerId, TenantId, TimerToken, ZoneId,
};
use std::collections::BTreeMap;

/// One decoded record of a batch.
#[derive(Debug)]
pub enum Record {
    /// An instance starts.
    Spawn { instance: u16, seed: u64, conf: Vec<u8> },
    /// An instance is killed.
    Halt { instance: u16 },
    /// Something happened at an instance.
    Event { instance: u16, event: Event },
}

/// Lists of endpoints by number; valid for the whole process.
pub type Tables = BTreeMap<u32, Vec<Entry>>;

/// A place in a frame, read field by field.
struct Reader<'a> {
    bytes: &'a [u8],
    what: &'static str,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], String> {
        let Some((head, tail)) = self.bytes.split_at_checked(n) else {
            return Err(format!("{}: needs {n} more bytes, {} left", self.what, self.bytes.len()));
        };
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], String> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, String> {
        Ok(self.array::<1>()?[0])
    }

    fn u16(&mut self) -> Result<u16, String> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, String> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, String> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, String> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn endpoint(&mut self) -> Result<EndpointId, String> {
        Ok(EndpointId { addr: self.array()?, port: self.u16()? })
    }

    fn report(&mut self) -> Result<Vec<f32>, String> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn outcome(&mut self) -> Result<u8, String> {
        self.u8()
    }
}

fn outcome(code: u8, note: u32) -> Result<Outcome, String> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Refused((note > 0).then(|| Micros(u64::from(note) * 1000))),
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn entry(r: &mut Reader) -> Result<Entry, String> {
    let endpoint = r.endpoint()?;
    let _up_since = r.u64()?;
    let zone = ZoneId(r.u16()?);
    let state = match r.u8()? {
        1 => ListingState::Gone,
        2 => ListingState::Ready,
        3 => ListingState::Draining,
        other => return Err(format!("Table: unknown mode {other}")),
    };
    let destination = DestinationId(r.u16()?);
    let weight = f64::from(r.f32()?);
    Ok(Entry { endpoint, destination, kind: KindId(r.u8()?), zone, state, weight, rank: 0 })
}

/// Decodes what follows the length field of a batch: its clock and its records.
pub fn batch(bytes: &[u8], tables: &mut Tables) -> Result<(Micros, Vec<Record>), String> {
    let mut frame = Reader { bytes, what: "batch" };
    let now = Micros(frame.u64()?);
    let count = frame.u32()?;
    let mut records = Vec::new();
    for index in 0..count {
        let at = bytes.len() - frame.bytes.len();
        let place = |e: String| format!("record {index} at byte {at}: {e}");
        record(&mut frame, tables, &mut records).map_err(place)?;
    }
    if !frame.bytes.is_empty() {
        return Err(format!("batch: {} bytes after its last record", frame.bytes.len()));
    }
    Ok((now, records))
}

fn record(frame: &mut Reader, tables: &mut Tables, out: &mut Vec<Record>) -> Result<(), String> {
    let code = frame.u8()?;
    let len = frame.u32()? as usize;
    let mut r = Reader { bytes: frame.take(len)?, what: "record" };
    if code == 7 {
        r.what = "Table";
        let id = r.u32()?;
        let n = r.u32()?;
        let entries = (0..n).map(|_| entry(&mut r)).collect::<Result<_, _>>()?;
        tables.insert(id, entries);
        return finish(&r);
    }
    let instance = r.u16()?;
    let event = match code {
        9 => {
            r.what = "Spawn";
            let seed = r.u64()?;
            let n = r.u32()? as usize;
            let conf = r.take(n)?.to_vec();
            out.push(Record::Spawn { instance, seed, conf });
            return finish(&r);
        }
        2 => {
            out.push(Record::Halt { instance });
            return finish(&r);
        }
        5 => {
            r.what = "Discovery";
            let _version = r.u32()?;
            let id = r.u32()?;
            let how = r.u8()?;
            let list = || tables.get(&id).cloned().ok_or(format!("Discovery: unknown Table {id}"));
            match how {
                0 => Event::ListChange(list()?),
                1 | 2 => Event::WholeList(list()?),
                3 => Event::ListFailed,
                other => return Err(format!("Discovery: unknown kind {other}")),
            }
        }
        11 => {
            r.what = "Demand";
            let id = MessageId(r.u64()?);
            let _options = r.u8()?;
            let tenant = TenantId(r.u16()?);
            let key = Some(r.u64()?).filter(|k| *k != 0).map(Key);
            let _hint = r.u32()?;
            let class = ClassId(r.u16()?);
            let due = Micros(r.u64()?);
            let far = r.f32()?;
            if far.fract() != 0.0 || !(0.0..=65535.0).contains(&far) {
                return Err(format!("Demand: farEnd {far} is no destination"));
            }
            Event::Demand(Message { id, destination: DestinationId(far as u16), class, tenant, key, due })
        }
        10 => {
            r.what = "Hangup";
            Event::Withdrawn(MessageId(r.u64()?))
        }
        6 => {
            r.what = "UnderWay";
            let id = MessageId(r.u64()?);
            let _attempt = r.u8()?;
            r.endpoint()?;
            r.u32()?;
            Event::AnswerStarted(id)
        }
        3 => {
            r.what = "PeerData";
            let from = PeerId(r.u16()?);
            let n = usize::from(r.u16()?);
            Event::PeerGossip { from, bytes: r.take(n)?.to_vec() }
        }
        8 => {
            r.what = "Elapsed";
            Event::TimerElapsed(TimerToken(r.u64()?))
        }
        4 => {
            r.what = "PingResult";
            let latency = Micros(u64::from(r.u32()?));
            let endpoint = r.endpoint()?;
            let outcome = outcome(r.outcome()?, 0)?;
            Event::Probed { endpoint, outcome, latency, report: r.report()? }
        }
        1 => {
            r.what = "Returned";
            let id = MessageId(r.u64()?);
            let how = r.outcome()?;
            let endpoint = r.endpoint()?;
            let terminal = match r.u8()? {
                0 => false,
                1 => true,
                other => return Err(format!("Returned: terminal is {other}, not 0 or 1")),
            };
            let outcome = outcome(how, r.u32()?)?;
            let latency = Micros(u64::from(r.u32()?));
            let attempt = r.u8()?;
            Event::Returned { id, endpoint, outcome, terminal, latency, attempt, report: r.report()? }
        }
        other => return Err(format!("unknown event code {other}")),
    };
    out.push(Record::Event { instance, event });
    finish(&r)
}

fn finish(r: &Reader) -> Result<(), String> {
    match r.bytes.len() {
        0 => Ok(()),
        n => Err(format!("{}: {n} bytes too many", r.what)),
    }
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        let len = 2 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.body.push(code);
        self.body.extend((len as u32).to_be_bytes());
        self.body.extend(instance.to_be_bytes());
        fields.iter().for_each(|f| self.body.extend(*f));
        self.count += 1;
    }

    fn text(&mut self, code: u8, instance: u16, head: &[u8], text: &[u8]) {
        let text = &text[..text.len().min(usize::from(u16::MAX))];
        self.record(code, instance, &[head, &(text.len() as u16).to_be_bytes(), text]);
    }

    /// Says that an instance's decision code has failed.
    pub fn fatal(&mut self, instance: u16, words: &str) {
        self.text(10, instance, &[], words.as_bytes());
    }

    /// Adds one action.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let at = |e: &EndpointId| [&e.addr[..], &e.port.to_be_bytes()].concat();
        let span = |m: &Micros| u32::try_from(m.0).unwrap_or(u32::MAX).to_be_bytes();
        match action {
            Action::Try { id, endpoint, timeout } => {
                self.record(1, instance, &[&id.0.to_be_bytes(), &at(endpoint), &span(timeout)]);
            }
            Action::Decline { id, retry_after } => {
                self.record(2, instance, &[&id.0.to_be_bytes(), &span(retry_after)]);
            }
            Action::Fail(id) => self.record(3, instance, &[&id.0.to_be_bytes()]),
            Action::CancelAttempt { id, attempt } => {
                self.record(4, instance, &[&id.0.to_be_bytes(), &[*attempt]])
            }
            Action::SetTimer { after, token } => {
                self.record(5, instance, &[&span(after), &token.0.to_be_bytes()]);
            }
            Action::Probe(endpoint) => self.record(6, instance, &[&at(endpoint)]),
            Action::CloseIdleConnections(endpoint) => self.record(7, instance, &[&at(endpoint)]),
            Action::SendGossip { to, bytes } => {
                self.text(8, instance, &to.map_or(u16::MAX, |p| p.0).to_be_bytes(), bytes);
            }
            Action::Log(words) => self.text(9, instance, &[], words.as_bytes()),
            Action::Subscribe => self.record(11, instance, &[&[1]]),
            Action::Fetch => self.record(12, instance, &[]),
        }
    }

    /// The finished frame.
    pub fn bytes(self) -> Vec<u8> {
        let mut out = self.count.to_be_bytes().to_vec();
        out.extend((self.body.len() as u32).to_be_bytes());
        out.extend(self.body);
        out
    }
}
