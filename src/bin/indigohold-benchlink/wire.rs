//! The simulator's binary wire format: big-endian frames of records. Decodes batches and encodes replies.

use indigohold::{
    Action, ClassId, DestinationId, EndpointId, Entry, Event, Key, KindId, ListingState, Message, MessageId,
    Micros, Outcome, PeerId, TenantId, TimerToken, ZoneId,
};
use std::collections::BTreeMap;

/// The codes of the records in a batch.
mod event_code {
    pub const RETURNED: u8 = 1;
    pub const HALT: u8 = 2;
    pub const PEER_DATA: u8 = 3;
    pub const PING_RESULT: u8 = 4;
    pub const DISCOVERY: u8 = 5;
    pub const UNDER_WAY: u8 = 6;
    pub const TABLE: u8 = 7;
    pub const ELAPSED: u8 = 8;
    pub const SPAWN: u8 = 9;
    pub const HANGUP: u8 = 10;
    pub const DEMAND: u8 = 11;
}

/// The codes of the records in a reply.
mod action_code {
    pub const TRY: u8 = 1;
    pub const DECLINE: u8 = 2;
    pub const FAIL: u8 = 3;
    pub const CANCEL_ATTEMPT: u8 = 4;
    pub const SET_TIMER: u8 = 5;
    pub const PROBE: u8 = 6;
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 7;
    pub const SEND_GOSSIP: u8 = 8;
    pub const LOG: u8 = 9;
    pub const FATAL: u8 = 10;
    pub const SUBSCRIBE: u8 = 11;
    pub const FETCH: u8 = 12;
}

/// One decoded record of a batch that concerns an instance.
#[derive(Debug)]
pub enum Record {
    /// Starts an instance.
    Spawn { instance: u16, seed: u64, conf: Vec<u8> },
    /// Kills an instance.
    Halt { instance: u16 },
    /// Delivers an event to an instance.
    Event { instance: u16, event: Event },
}

/// The endpoint lists by their numbers. They are shared by all instances and kept between batches.
pub type Tables = BTreeMap<u32, Vec<Entry>>;

/// Decodes the fields of a frame or record in order.
struct Reader<'a> {
    /// The bytes that are still to be read.
    bytes: &'a [u8],
    /// The name of the record, for error messages.
    record_name: &'static str,
}

impl<'a> Reader<'a> {
    fn take(&mut self, count: usize) -> Result<&'a [u8], String> {
        let Some((head, tail)) = self.bytes.split_at_checked(count) else {
            return Err(format!("{}: needs {count} more bytes, {} left", self.record_name, self.bytes.len()));
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
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }
}

/// Decodes an outcome. `wait_ms` is the wait that a refusal requires, in milliseconds; 0 for none.
fn outcome(code: u8, wait_ms: u32) -> Result<Outcome, String> {
    Ok(match code {
        10 => Outcome::Ok,
        20 => Outcome::Error,
        30 => Outcome::Refused((wait_ms > 0).then(|| Micros(u64::from(wait_ms) * 1000))),
        40 => Outcome::Timeout,
        50 => Outcome::ConnectFailed,
        60 => Outcome::Reset,
        70 => Outcome::Cancelled,
        80 => Outcome::NotSent,
        other => return Err(format!("unknown outcome {other}")),
    })
}

fn list_entry(r: &mut Reader) -> Result<Entry, String> {
    let endpoint = r.endpoint()?;
    let _up_since = r.u64()?;
    let zone = Some(ZoneId(u64::from(r.u16()?)));
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

/// Decodes the contents of a batch, without its length field: the simulator's time and the records.
pub fn decode_batch(bytes: &[u8], tables: &mut Tables) -> Result<(Micros, Vec<Record>), String> {
    let mut frame = Reader { bytes, record_name: "batch" };
    let now = Micros(frame.u64()?);
    let count = frame.u32()?;
    let mut records = Vec::new();
    for index in 0..count {
        let at = bytes.len() - frame.bytes.len();
        let with_position = |e: String| format!("record {index} at byte {at}: {e}");
        decode_record(&mut frame, tables, &mut records).map_err(with_position)?;
    }
    if !frame.bytes.is_empty() {
        return Err(format!("batch: {} bytes after its last record", frame.bytes.len()));
    }
    Ok((now, records))
}

/// Decodes one record. A `Table` goes to `tables`, any other record to `out`.
fn decode_record(frame: &mut Reader, tables: &mut Tables, out: &mut Vec<Record>) -> Result<(), String> {
    let code = frame.u8()?;
    let len = frame.u32()? as usize;
    let mut r = Reader { bytes: frame.take(len)?, record_name: "record" };
    if code == event_code::TABLE {
        r.record_name = "Table";
        let id = r.u32()?;
        let count = r.u32()?;
        let entries = (0..count).map(|_| list_entry(&mut r)).collect::<Result<_, _>>()?;
        tables.insert(id, entries);
        return finish(&r);
    }
    let instance = r.u16()?;
    let event = match code {
        event_code::SPAWN => {
            r.record_name = "Spawn";
            let seed = r.u64()?;
            let len = r.u32()? as usize;
            let conf = r.take(len)?.to_vec();
            out.push(Record::Spawn { instance, seed, conf });
            return finish(&r);
        }
        event_code::HALT => {
            out.push(Record::Halt { instance });
            return finish(&r);
        }
        event_code::DISCOVERY => {
            r.record_name = "Discovery";
            let _version = r.u32()?;
            let id = r.u32()?;
            let kind = r.u8()?;
            let list = || tables.get(&id).cloned().ok_or(format!("Discovery: unknown Table {id}"));
            match kind {
                0 => Event::ListChange(list()?),
                1 | 2 => Event::WholeList(list()?),
                3 => Event::ListFailed,
                other => return Err(format!("Discovery: unknown kind {other}")),
            }
        }
        event_code::DEMAND => {
            r.record_name = "Demand";
            let id = MessageId(r.u64()?);
            let _options = r.u8()?;
            let tenant = TenantId(r.u16()?);
            let key = Some(r.u64()?).filter(|k| *k != 0).map(Key);
            let _hint = r.u32()?;
            let class = ClassId(r.u16()?);
            let due = Micros(r.u64()?);
            let far_end = r.f32()?;
            if far_end.fract() != 0.0 || !(0.0..=65535.0).contains(&far_end) {
                return Err(format!("Demand: farEnd {far_end} is no destination"));
            }
            Event::Demand(Message { id, destination: DestinationId(far_end as u16), class, tenant, key, due })
        }
        event_code::HANGUP => {
            r.record_name = "Hangup";
            Event::Withdrawn(MessageId(r.u64()?))
        }
        event_code::UNDER_WAY => {
            r.record_name = "UnderWay";
            let id = MessageId(r.u64()?);
            let _attempt = r.u8()?;
            r.endpoint()?;
            r.u32()?;
            Event::AnswerStarted(id)
        }
        event_code::PEER_DATA => {
            r.record_name = "PeerData";
            let from = PeerId(r.u16()?);
            let len = usize::from(r.u16()?);
            Event::PeerGossip { from, bytes: r.take(len)?.to_vec() }
        }
        event_code::ELAPSED => {
            r.record_name = "Elapsed";
            Event::TimerElapsed(TimerToken(r.u64()?))
        }
        event_code::PING_RESULT => {
            r.record_name = "PingResult";
            let latency = Micros(u64::from(r.u32()?));
            let endpoint = r.endpoint()?;
            let outcome = outcome(r.u8()?, 0)?;
            Event::Probed { endpoint, outcome, latency, report: r.report()? }
        }
        event_code::RETURNED => {
            r.record_name = "Returned";
            let id = MessageId(r.u64()?);
            let outcome_code = r.u8()?;
            let endpoint = r.endpoint()?;
            let terminal = match r.u8()? {
                0 => false,
                1 => true,
                other => return Err(format!("Returned: terminal is {other}, not 0 or 1")),
            };
            let outcome = outcome(outcome_code, r.u32()?)?;
            let latency = Micros(u64::from(r.u32()?));
            let attempt = r.u8()?;
            Event::Returned { id, endpoint, outcome, terminal, latency, attempt, report: r.report()? }
        }
        other => return Err(format!("unknown event code {other}")),
    };
    out.push(Record::Event { instance, event });
    finish(&r)
}

/// Fails if a record has bytes after its last field.
fn finish(r: &Reader) -> Result<(), String> {
    match r.bytes.len() {
        0 => Ok(()),
        n => Err(format!("{}: {n} bytes too many", r.record_name)),
    }
}

/// A reply to a batch, filled action by action.
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

    /// Adds a record that ends with a length-prefixed text, cut to the largest length that the prefix can hold.
    fn text(&mut self, code: u8, instance: u16, head: &[u8], text: &[u8]) {
        let text = &text[..text.len().min(usize::from(u16::MAX))];
        self.record(code, instance, &[head, &(text.len() as u16).to_be_bytes(), text]);
    }

    /// Adds a report that an instance's decision engine has failed.
    pub fn fatal(&mut self, instance: u16, message: &str) {
        self.text(action_code::FATAL, instance, &[], message.as_bytes());
    }

    /// Adds one action.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let address = |e: &EndpointId| [&e.addr[..], &e.port.to_be_bytes()].concat();
        let duration = |m: &Micros| u32::try_from(m.0).unwrap_or(u32::MAX).to_be_bytes();
        match action {
            Action::Try { id, endpoint, timeout } => {
                self.record(
                    action_code::TRY,
                    instance,
                    &[&id.0.to_be_bytes(), &address(endpoint), &duration(timeout)],
                );
            }
            Action::Decline { id, retry_after } => {
                self.record(action_code::DECLINE, instance, &[&id.0.to_be_bytes(), &duration(retry_after)]);
            }
            Action::Fail(id) => self.record(action_code::FAIL, instance, &[&id.0.to_be_bytes()]),
            Action::CancelAttempt { id, attempt } => {
                self.record(action_code::CANCEL_ATTEMPT, instance, &[&id.0.to_be_bytes(), &[*attempt]])
            }
            Action::SetTimer { after, token } => {
                self.record(action_code::SET_TIMER, instance, &[&duration(after), &token.0.to_be_bytes()]);
            }
            Action::Probe(endpoint) => self.record(action_code::PROBE, instance, &[&address(endpoint)]),
            Action::CloseIdleConnections(endpoint) => {
                self.record(action_code::CLOSE_IDLE_CONNECTIONS, instance, &[&address(endpoint)])
            }
            Action::SendGossip { to, bytes } => {
                self.text(
                    action_code::SEND_GOSSIP,
                    instance,
                    &to.map_or(u16::MAX, |p| p.0).to_be_bytes(),
                    bytes,
                );
            }
            Action::Log(line) => self.text(action_code::LOG, instance, &[], line.as_bytes()),
            Action::Subscribe => self.record(action_code::SUBSCRIBE, instance, &[&[1]]),
            Action::Fetch => self.record(action_code::FETCH, instance, &[]),
        }
    }

    /// Encodes the reply as a frame.
    pub fn bytes(self) -> Vec<u8> {
        let mut out = self.count.to_be_bytes().to_vec();
        out.extend((self.body.len() as u32).to_be_bytes());
        out.extend(self.body);
        out
    }
}
