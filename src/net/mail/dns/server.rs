//! The zones in use: loaded from their files, changed by updates over UDP and TCP, kept in the folder that lasts.

use super::kept_zone::{KeepError, KeptZone, Origin, MAX_ZONE_BYTES};
use super::update;
use super::zone::{MailBackend, Zone};
use super::zone_file::ZoneFile;
use crate::api::Micros;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, Record, RecordType};
use std::fs;
use std::net::{IpAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

struct ServedZone {
    zone: Zone,
    file: ZoneFile,
    kept_zone: KeptZone,
    /// The zone is a kept one that stands in for the file until that counts as completely written.
    is_stand_in: bool,
}

/// All zones.
pub struct Zones {
    served: Mutex<Vec<ServedZone>>,
    sources: Vec<IpAddr>,
    /// Told that the zones have changed.
    changed: Box<dyn Fn() + Send + Sync>,
}

/// Bytes to set aside for so many zones in the folder that lasts.
pub fn room(zones: usize) -> u64 {
    (zones as u64 + 1) * MAX_ZONE_BYTES as u64
}

fn later(a: u32, b: u32) -> bool {
    (a.wrapping_sub(b) as i32) > 0
}

impl Zones {
    /// Loads each zone from its file, or from what is kept of it: what updates have made of it if that is later, and the last
    /// good version of its file if that cannot be read now, or may not be completely written. A bad file of a zone that was never
    /// kept is an error.
    pub fn open(
        files: &[(Name, PathBuf)], state: &Path, sources: Vec<IpAddr>, now: Micros,
        changed: Box<dyn Fn() + Send + Sync>,
    ) -> Result<Zones, String> {
        let dir = state.join("zones");
        if let Err(e) = fs::create_dir_all(&dir) {
            tracing::error!(target: "zones", "{}: {e}; no zone can be kept", dir.display());
        }
        let mut served = Vec::new();
        for (position, (origin, file)) in files.iter().enumerate() {
            let kept_zone = KeptZone::new(&dir, origin);
            kept_zone.adopt(&dir, position, origin);
            // The version is taken first: a file that changes while it is read is read again.
            let file = ZoneFile::new(file, now);
            served.push(ServedZone::open(origin, file, kept_zone)?);
        }
        Ok(Zones { served: Mutex::new(served), sources, changed })
    }

    fn served(&self) -> MutexGuard<'_, Vec<ServedZone>> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The mail backends of a partner's domain.
    pub fn backends(&self, domain: &Name) -> Vec<MailBackend> {
        let served = self.served();
        let within = served.iter().filter(|served| served.zone.origin.zone_of(domain));
        let closest = within.max_by_key(|served| served.zone.origin.num_labels());
        closest.map_or(Vec::new(), |served| served.zone.backends(domain))
    }

    /// Reads a zone file again once it has changed and counts as completely written. A bad one changes nothing: the last good list
    /// stays. One whose serial is not later than what is in use changes nothing either, unless it only goes on where
    /// the version in use ended.
    pub fn reload(&self, now: Micros) {
        let mut changed = false;
        for served in self.served().iter_mut() {
            if served.file.has_settled(now) {
                changed |= served.read_again();
            }
        }
        if changed {
            (self.changed)();
        }
    }

    /// The answer to one question; `None` where none is due.
    pub fn answer(&self, from: IpAddr, bytes: &[u8]) -> Option<Vec<u8>> {
        let Ok(question) = Message::from_vec(bytes) else {
            // Whose id can be read gets told.
            let id = u16::from_be_bytes([*bytes.first()?, *bytes.get(1)?]);
            let is_query = bytes.get(2)? & 0x80 == 0;
            let answer = Message::error_msg(id, OpCode::Query, ResponseCode::FormErr);
            return answer.to_vec().ok().filter(|_| is_query);
        };
        if question.metadata.message_type == MessageType::Response {
            return None;
        }
        let op = question.metadata.op_code;
        let mut answer = Message::response(question.metadata.id, op);
        answer.add_queries(question.queries.clone());
        let code = match op {
            OpCode::Update => self.update(from, &question).err(),
            OpCode::Query => self.query(&question, &mut answer).err(),
            _ => Some(ResponseCode::NotImp),
        };
        answer.metadata.response_code = code.unwrap_or(ResponseCode::NoError);
        answer.to_vec().ok()
    }

    fn update(&self, from: IpAddr, question: &Message) -> Result<(), ResponseCode> {
        if !self.sources.contains(&from) {
            return Err(ResponseCode::Refused);
        }
        let [zone] = &question.queries[..] else { return Err(ResponseCode::FormErr) };
        if zone.query_type() != RecordType::SOA || zone.query_class() != DNSClass::IN {
            return Err(ResponseCode::FormErr);
        }
        let origin = zone.name().to_lowercase();
        let mut all = self.served();
        let served =
            all.iter_mut().find(|served| served.zone.origin == origin).ok_or(ResponseCode::NotAuth)?;
        let Some(new) = update::apply(&served.zone, question)? else { return Ok(()) };
        // It lasts before it is answered; what can't be read back is not taken.
        served.kept_zone.write_updated(&new).map_err(|e| {
            tracing::error!(target: "zones", "{e}");
            ResponseCode::ServFail
        })?;
        served.zone = new;
        served.is_stand_in = false;
        drop(all);
        (self.changed)();
        Ok(())
    }

    fn query(&self, question: &Message, answer: &mut Message) -> Result<(), ResponseCode> {
        let [query] = &question.queries[..] else { return Err(ResponseCode::FormErr) };
        let wanted: &Query = query;
        let name = wanted.name().to_lowercase();
        let all = self.served();
        let within = all.iter().filter(|served| served.zone.origin.zone_of(&name));
        let closest = within.max_by_key(|served| served.zone.origin.num_labels());
        let zone = &closest.ok_or(ResponseCode::Refused)?.zone;
        answer.metadata.authoritative = true;
        for ((owner, kind), set) in zone.sets.iter().filter(|(key, _)| key.0 == name) {
            let alias = *kind == RecordType::CNAME;
            if alias || wanted.query_type() == RecordType::ANY || *kind == wanted.query_type() {
                let records = set.data.iter().map(|d| Record::from_rdata(owner.clone(), set.ttl, d.clone()));
                answer.add_answers(records);
            }
        }
        if answer.answers.is_empty() {
            if let Some(soa) = zone.soa() {
                let data = hickory_proto::rr::RData::SOA(soa.clone());
                answer.add_authority(Record::from_rdata(zone.origin.clone(), soa.minimum, data));
            }
            if !zone.has_name(&name) {
                return Err(ResponseCode::NXDomain);
            }
        }
        Ok(())
    }

    /// Answers over UDP for as long as the process lives.
    pub fn serve_udp(&self, socket: &UdpSocket) {
        let mut buf = [0; 4096];
        loop {
            let Ok((n, from)) = socket.recv_from(&mut buf) else { continue };
            if let Some(mut answer) = self.answer(from.ip(), &buf[..n]) {
                if answer.len() > 512 {
                    // Too long for plain UDP: come again over TCP.
                    let cut = Message::from_vec(&answer).map(|m| m.truncate().to_vec());
                    answer = cut.ok().and_then(Result::ok).unwrap_or_default();
                }
                // The asker asks again if it is lost.
                let _ = socket.send_to(&answer, from);
            }
        }
    }
}

impl ServedZone {
    /// The zone that a starting process uses.
    fn open(origin: &Name, file: ZoneFile, kept_zone: KeptZone) -> Result<ServedZone, String> {
        let kept = kept_zone.read(origin);
        let (zone, text) = match (file.read(origin), kept) {
            (Ok((zone, _)), Some((kept, Origin::Updates))) if !later(zone.serial(), kept.serial()) => {
                return Ok(ServedZone::of_kept(kept, file, kept_zone))
            }
            (Ok((zone, _)), Some((kept, _))) if zone.may_be_cut_off(&kept) => {
                return Ok(ServedZone { zone: kept, file, kept_zone, is_stand_in: true });
            }
            (Ok(read), _) => read,
            (Err(e), Some((kept, _))) => {
                tracing::warn!(target: "zones", "{e}; the zone as it was kept stays in use");
                return Ok(ServedZone::of_kept(kept, file, kept_zone));
            }
            (Err(e), None) => return Err(e),
        };
        // A start that can't keep it goes on all the same: only a later one with a bad file would need the copy.
        if let Err(e) = kept_zone.write_copy(&zone, &text) {
            log_not_kept(file.path(), &e);
        }
        let mut served = ServedZone { zone, file, kept_zone, is_stand_in: false };
        served.file.set_read();
        served.file.set_taken(&text);
        Ok(served)
    }

    /// A kept zone that is used although the present version of the file has been read.
    fn of_kept(zone: Zone, mut file: ZoneFile, kept_zone: KeptZone) -> ServedZone {
        file.set_read();
        ServedZone { zone, file, kept_zone, is_stand_in: false }
    }

    /// Reads the file, and takes its zone if that is later than the one in use. Returns whether the zone has changed.
    fn read_again(&mut self) -> bool {
        let (zone, text) = match self.file.read(&self.zone.origin) {
            Ok(read) => read,
            Err(e) => {
                tracing::warn!(target: "zones", "{e}; the last good list stays in use");
                self.file.set_read();
                return false;
            }
        };
        if !self.is_taken(&zone, &text) {
            let path = self.file.path().display();
            tracing::warn!(target: "zones", "{path}: its serial has not risen; not taken");
            self.file.set_read();
            return false;
        }
        // It is kept before it is used, so that the next process knows it even if the file is bad by then.
        match self.kept_zone.write_copy(&zone, &text) {
            Ok(()) => {}
            Err(e @ KeepError::NotReadBack) => log_not_kept(self.file.path(), &e),
            Err(e) => {
                tracing::error!(target: "zones", "{e}; the new zone is not used yet");
                return false;
            }
        }
        self.file.set_read();
        self.file.set_taken(&text);
        self.zone = zone;
        self.is_stand_in = false;
        true
    }

    /// Whether a zone that was read from the file is to be used in place of the present one.
    fn is_taken(&self, zone: &Zone, text: &str) -> bool {
        let is_completed = zone.serial() == self.zone.serial() && self.file.completes_taken(text);
        self.is_stand_in || is_completed || later(zone.serial(), self.zone.serial())
    }
}

fn log_not_kept(file: &Path, e: &KeepError) {
    tracing::error!(target: "zones", "{}: {e}; a start while the file is bad would not know this version", file.display());
}
