//! The zones in use: loaded from their files, changed by updates over UDP and TCP, kept in the folder that lasts.

use super::kept_zone::{read_file, KeepError, KeptZone, Origin, MAX_ZONE_BYTES};
use super::update;
use super::zone::{MailBackend, Zone};
use crate::file_version::FileVersion;
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, Record, RecordType};
use std::fs;
use std::net::{IpAddr, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

struct Kept {
    zone: Zone,
    file: PathBuf,
    kept_zone: KeptZone,
    /// The file as it was when it was last read.
    file_version: Option<FileVersion>,
}

/// All zones.
pub struct Zones {
    kept: Mutex<Vec<Kept>>,
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
    /// good version of its file if that cannot be read now. A bad file of a zone that was never kept is an error.
    pub fn open(
        files: &[(Name, PathBuf)], state: &Path, sources: Vec<IpAddr>, changed: Box<dyn Fn() + Send + Sync>,
    ) -> Result<Zones, String> {
        let dir = state.join("zones");
        if let Err(e) = fs::create_dir_all(&dir) {
            tracing::error!(target: "zones", "{}: {e}; no zone can be kept", dir.display());
        }
        let mut kept = Vec::new();
        for (position, (origin, file)) in files.iter().enumerate() {
            let kept_zone = KeptZone::new(&dir, origin);
            kept_zone.adopt(&dir, position, origin);
            // The version is taken first: a file that changes while it is read is read again.
            let file_version = FileVersion::of(file).ok();
            let zone = open_zone(file, origin, &kept_zone)?;
            kept.push(Kept { zone, file: file.clone(), kept_zone, file_version });
        }
        Ok(Zones { kept: Mutex::new(kept), sources, changed })
    }

    fn kept(&self) -> MutexGuard<'_, Vec<Kept>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The mail backends of a partner's domain.
    pub fn backends(&self, domain: &Name) -> Vec<MailBackend> {
        let kept = self.kept();
        let zone =
            kept.iter().filter(|k| k.zone.origin.zone_of(domain)).max_by_key(|k| k.zone.origin.num_labels());
        zone.map_or(Vec::new(), |k| k.zone.backends(domain))
    }

    /// Reads a zone file again once it has changed. A bad one changes nothing: the last good list stays. One
    /// whose serial is not later than what is in use changes nothing either.
    pub fn reload(&self) {
        let mut changed = false;
        for kept in self.kept().iter_mut() {
            let now = FileVersion::of(&kept.file).ok();
            if now == kept.file_version {
                continue;
            }
            match read_file(&kept.file, &kept.zone.origin) {
                Ok((zone, text)) if later(zone.serial(), kept.zone.serial()) => {
                    // It is kept before it is used, so that the next process knows it even if the file is bad by then.
                    match kept.kept_zone.write_copy(&zone, &text) {
                        Ok(()) => {}
                        Err(e @ KeepError::NotReadBack) => log_not_kept(&kept.file, &e),
                        Err(e) => {
                            tracing::error!(target: "zones", "{e}; the new zone is not used yet");
                            continue;
                        }
                    }
                    kept.zone = zone;
                    changed = true;
                }
                Ok(_) => {
                    tracing::warn!(target: "zones", "{}: its serial has not risen; not taken", kept.file.display())
                }
                Err(e) => tracing::warn!(target: "zones", "{e}; the last good list stays in use"),
            }
            kept.file_version = now;
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
        let mut all = self.kept();
        let kept = all.iter_mut().find(|k| k.zone.origin == origin).ok_or(ResponseCode::NotAuth)?;
        let Some(new) = update::apply(&kept.zone, question)? else { return Ok(()) };
        // It lasts before it is answered; what can't be read back is not taken.
        kept.kept_zone.write_updated(&new).map_err(|e| {
            tracing::error!(target: "zones", "{e}");
            ResponseCode::ServFail
        })?;
        kept.zone = new;
        drop(all);
        (self.changed)();
        Ok(())
    }

    fn query(&self, question: &Message, answer: &mut Message) -> Result<(), ResponseCode> {
        let [query] = &question.queries[..] else { return Err(ResponseCode::FormErr) };
        let wanted: &Query = query;
        let name = wanted.name().to_lowercase();
        let kept = self.kept();
        let within = kept.iter().filter(|k| k.zone.origin.zone_of(&name));
        let zone = &within.max_by_key(|k| k.zone.origin.num_labels()).ok_or(ResponseCode::Refused)?.zone;
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

/// The zone that a starting process uses.
fn open_zone(file: &Path, origin: &Name, kept_zone: &KeptZone) -> Result<Zone, String> {
    let (zone, text) = match (read_file(file, origin), kept_zone.read(origin)) {
        (Ok((zone, _)), Some((kept, Origin::Updates))) if !later(zone.serial(), kept.serial()) => {
            return Ok(kept)
        }
        (Ok(read), _) => read,
        (Err(e), Some((kept, _))) => {
            tracing::warn!(target: "zones", "{e}; the zone as it was kept stays in use");
            return Ok(kept);
        }
        (Err(e), None) => return Err(e),
    };
    // A start that can't keep it goes on all the same: only a later one with a bad file would need the copy.
    if let Err(e) = kept_zone.write_copy(&zone, &text) {
        log_not_kept(file, &e);
    }
    Ok(zone)
}

fn log_not_kept(file: &Path, e: &KeepError) {
    tracing::error!(target: "zones", "{}: {e}; a start while the file is bad would not know this version", file.display());
}
