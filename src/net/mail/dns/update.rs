//! Dynamic updates (RFC 2136) of a zone: prerequisites, then all changes or none.

use super::zone::{Set, Zone};
use hickory_proto::op::{Message, ResponseCode};
use hickory_proto::rr::{DNSClass, Name, RData, Record, RecordType};
use std::collections::BTreeMap;

/// Applies an update to a copy of the zone. `None`: it is good and changes nothing.
pub fn apply(zone: &Zone, update: &Message) -> Result<Option<Zone>, ResponseCode> {
    prerequisites(zone, &update.answers)?;
    for record in &update.authorities {
        prescan(zone, record)?;
    }
    let mut new = zone.clone();
    for record in &update.authorities {
        change(&mut new, record);
    }
    if new == *zone {
        return Ok(None);
    }
    // The serial rises with every change, unless the update has raised it itself (section 3.6).
    if new.serial() == zone.serial() {
        let key = (new.origin.clone(), RecordType::SOA);
        if let Some(RData::SOA(soa)) = new.sets.get_mut(&key).and_then(|s| s.data.first_mut()) {
            soa.serial = match soa.serial.wrapping_add(1) {
                0 => 1,
                serial => serial,
            };
        }
    }
    Ok(Some(new))
}

fn inside(zone: &Zone, record: &Record) -> Result<Name, ResponseCode> {
    let name = record.name.to_lowercase();
    if zone.origin.zone_of(&name) {
        Ok(name)
    } else {
        Err(ResponseCode::NotZone)
    }
}

fn empty(record: &Record) -> bool {
    matches!(record.data, RData::Update0(_))
}

/// Section 3.2.
fn prerequisites(zone: &Zone, records: &[Record]) -> Result<(), ResponseCode> {
    let mut exact: BTreeMap<(Name, RecordType), Vec<RData>> = BTreeMap::new();
    for record in records {
        if record.ttl != 0 {
            return Err(ResponseCode::FormErr);
        }
        let (name, kind) = (inside(zone, record)?, record.record_type());
        let present = match kind {
            RecordType::ANY => zone.has_name(&name),
            kind => !zone.get(&name, kind).is_empty(),
        };
        match record.dns_class {
            DNSClass::ANY if !empty(record) => return Err(ResponseCode::FormErr),
            DNSClass::ANY if !present && kind == RecordType::ANY => return Err(ResponseCode::NXDomain),
            DNSClass::ANY if !present => return Err(ResponseCode::NXRRSet),
            DNSClass::ANY => {}
            DNSClass::NONE if !empty(record) => return Err(ResponseCode::FormErr),
            DNSClass::NONE if present && kind == RecordType::ANY => return Err(ResponseCode::YXDomain),
            DNSClass::NONE if present => return Err(ResponseCode::YXRRSet),
            DNSClass::NONE => {}
            DNSClass::IN if empty(record) || is_meta(kind) => return Err(ResponseCode::FormErr),
            DNSClass::IN => exact.entry((name, kind)).or_default().push(record.data.clone()),
            _ => return Err(ResponseCode::FormErr),
        }
    }
    for ((name, kind), wanted) in exact {
        let held = zone.get(&name, kind);
        let same = held.iter().all(|d| wanted.contains(d)) && wanted.iter().all(|d| held.contains(d));
        if !same {
            return Err(ResponseCode::NXRRSet);
        }
    }
    Ok(())
}

fn is_meta(kind: RecordType) -> bool {
    matches!(
        kind,
        RecordType::ANY
            | RecordType::AXFR
            | RecordType::IXFR
            | RecordType::OPT
            | RecordType::TSIG
            | RecordType::ZERO
    )
}

/// Section 3.4.1: what is malformed is refused before anything changes.
fn prescan(zone: &Zone, record: &Record) -> Result<(), ResponseCode> {
    inside(zone, record)?;
    let kind = record.record_type();
    let good = match record.dns_class {
        DNSClass::IN => !is_meta(kind) && !empty(record),
        DNSClass::ANY => record.ttl == 0 && empty(record) && (kind == RecordType::ANY || !is_meta(kind)),
        DNSClass::NONE => record.ttl == 0 && !is_meta(kind) && !empty(record),
        _ => false,
    };
    if good {
        Ok(())
    } else {
        Err(ResponseCode::FormErr)
    }
}

/// Section 3.4.2.
fn change(zone: &mut Zone, record: &Record) {
    let (name, kind) = (record.name.to_lowercase(), record.record_type());
    let apex = name == zone.origin;
    match record.dns_class {
        DNSClass::ANY => {
            zone.sets.retain(|(n, k), _| {
                let named = *n == name && (kind == RecordType::ANY || *k == kind);
                let kept = apex && matches!(*k, RecordType::SOA | RecordType::NS);
                !named || kept
            });
        }
        DNSClass::NONE => {
            let key = (name, kind);
            let Some(set) = zone.sets.get_mut(&key) else { return };
            let last_ns = apex && kind == RecordType::NS && set.data.len() == 1;
            if kind == RecordType::SOA || last_ns {
                return;
            }
            set.data.retain(|d| *d != record.data);
            if set.data.is_empty() {
                zone.sets.remove(&key);
            }
        }
        _ => add(zone, name, kind, record),
    }
}

fn add(zone: &mut Zone, name: Name, kind: RecordType, record: &Record) {
    let has_alias = !zone.get(&name, RecordType::CNAME).is_empty();
    let has_others = zone.sets.keys().any(|(n, k)| *n == name && *k != RecordType::CNAME);
    // An alias stands alone.
    if kind == RecordType::CNAME && has_others || kind != RecordType::CNAME && has_alias {
        return;
    }
    if let RData::SOA(soa) = &record.data {
        // Only at the apex, and only a serial that is later in sequence (RFC 1982).
        let rises = (soa.serial.wrapping_sub(zone.serial()) as i32) > 0;
        if name != zone.origin || !rises {
            return;
        }
    }
    let set = zone.sets.entry((name, kind)).or_insert_with(|| Set { ttl: record.ttl, data: Vec::new() });
    set.ttl = record.ttl;
    if matches!(kind, RecordType::SOA | RecordType::CNAME) {
        set.data.clear();
    }
    if !set.data.contains(&record.data) {
        set.data.push(record.data.clone());
    }
}
