//! A zone: its file, its records, and the mail backends that they name.

use hickory_proto::rr::rdata::SOA;
use hickory_proto::rr::{Name, RData, RecordType};
use hickory_proto::serialize::txt::Parser;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::str::FromStr;

/// Time to live and data of the records of one name and type.
#[derive(Debug, Clone, PartialEq)]
pub struct Set {
    /// Time to live.
    pub ttl: u32,
    /// The data; never empty.
    pub data: Vec<RData>,
}

/// All records of a zone, names in lower case.
#[derive(Debug, Clone, PartialEq)]
pub struct Zone {
    /// The zone's name.
    pub origin: Name,
    /// The records.
    pub sets: BTreeMap<(Name, RecordType), Set>,
}

/// The protocol that a mail backend speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Protocol {
    /// RFC 5321.
    Smtp,
    /// RFC 2033.
    Lmtp,
}

/// A mail backend named by a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MailBackend {
    /// Its name: protocol, host and address.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Preference or priority: the lowest that can be reached is used.
    pub rank: u16,
}

const SMTP_PORT: u16 = 25;

/// A name in lower case and absolute; `None` if it is no name.
pub fn name(text: &str) -> Option<Name> {
    let mut name = Name::from_ascii(text).ok()?.to_lowercase();
    name.set_fqdn(true);
    Some(name)
}

impl Zone {
    /// Reads a zone's text. An error names the line that the bad record begins at.
    pub fn parse(text: &str, path: &Path, origin: &Name) -> Result<Zone, String> {
        let parse = |text: &str| {
            let parser = Parser::new(text.to_owned(), Some(path.to_owned()), Some(origin.clone()));
            parser.parse().map_err(|e| e.to_string())
        };
        let sets = match parse(text) {
            Ok((_, sets)) => sets,
            Err(e) => {
                // The parser names no line. The text up to the end of a record can be read unless the bad record is in it.
                let starts = record_starts(text);
                let end_of = |index: usize| starts.get(index + 1).map_or(text.len(), |next| next.1);
                let indices: Vec<usize> = (0..starts.len()).collect();
                let bad = indices.partition_point(|index| parse(&text[..end_of(*index)]).is_ok());
                let fault =
                    starts.get(bad).and_then(|start| Some((start.0, parse(&text[..end_of(bad)]).err()?)));
                let (line, e) = fault.unwrap_or((starts.last().map_or(1, |s| s.0), e));
                return Err(format!("{}:{line}: {e}", path.display()));
            }
        };
        let mut zone = Zone { origin: origin.clone(), sets: BTreeMap::new() };
        for set in sets.into_values() {
            let name = set.name().to_lowercase();
            if !origin.zone_of(&name) {
                let line = line_of(text, &name, origin);
                return Err(format!("{}:{line}: {name} is outside of the zone {origin}", path.display()));
            }
            let data: Vec<RData> = set.records_without_rrsigs().map(|r| r.data.clone()).collect();
            if !data.is_empty() {
                zone.sets.insert((name, set.record_type()), Set { ttl: set.ttl(), data });
            }
        }
        if zone.soa().is_none() {
            return Err(format!("{}:1: the zone {origin} has no SOA record", path.display()));
        }
        Ok(zone)
    }

    /// The zone as a file's text, which [`Zone::parse`] reads back.
    pub fn text(&self) -> String {
        let mut out = format!("$ORIGIN {}\n", self.origin);
        // The start of authority comes first, as readers expect.
        let soa_first = |(key, _): &(&(Name, RecordType), &Set)| key.1 != RecordType::SOA;
        let (rest, soa): (Vec<_>, Vec<_>) = self.sets.iter().partition(soa_first);
        for ((name, kind), set) in soa.into_iter().chain(rest) {
            for data in &set.data {
                let _ = writeln!(out, "{name} {} IN {kind} {data}", set.ttl);
            }
        }
        out
    }

    /// The start of authority.
    pub fn soa(&self) -> Option<&SOA> {
        match self.sets.get(&(self.origin.clone(), RecordType::SOA))?.data.first()? {
            RData::SOA(soa) => Some(soa),
            _ => None,
        }
    }

    /// The serial; a zone without one was never taken.
    pub fn serial(&self) -> u32 {
        self.soa().map_or(0, |soa| soa.serial)
    }

    /// Whether this zone may be the beginning of a text that is still being written over the text of an earlier zone: it
    /// leaves out records of the earlier one, and has either another serial or nothing of its own.
    pub fn may_be_cut_off(&self, earlier: &Zone) -> bool {
        !earlier.is_within(self) && (self.serial() != earlier.serial() || self.is_within(earlier))
    }

    /// Whether the other zone has all records of this one, the start of authority aside.
    fn is_within(&self, other: &Zone) -> bool {
        let has_all = |key: &(Name, RecordType), set: &Set| {
            let data = other.get(&key.0, key.1);
            key.1 == RecordType::SOA || set.data.iter().all(|record| data.contains(record))
        };
        self.sets.iter().all(|(key, set)| has_all(key, set))
    }

    /// The data of one name and type.
    pub fn get(&self, name: &Name, kind: RecordType) -> &[RData] {
        self.sets.get(&(name.clone(), kind)).map_or(&[], |s| &s.data)
    }

    /// Whether any record has this name.
    pub fn has_name(&self, name: &Name) -> bool {
        self.sets.range((name.clone(), RecordType::ZERO)..).next().is_some_and(|(key, _)| key.0 == *name)
            || self.sets.keys().any(|key| key.0 == *name)
    }

    /// The mail backends of a partner's domain. `_lmtp._tcp` and `_smtp._tcp` service records name port and
    /// protocol; else the mail exchangers do, else the domain's own address (RFC 5321, section 5.1). A single
    /// exchanger named "." has no address: that domain takes no mail (RFC 7505). Addresses outside of the zone are not known here and not asked for.
    pub fn backends(&self, domain: &Name) -> Vec<MailBackend> {
        let mut out = Vec::new();
        for (label, word) in [("_lmtp._tcp", "lmtp"), ("_smtp._tcp", "smtp")] {
            let Some(service) = Name::from_str(label).ok().and_then(|l| l.append_domain(domain).ok()) else {
                continue;
            };
            for data in self.get(&service.to_lowercase(), RecordType::SRV) {
                if let RData::SRV(srv) = data {
                    self.add(&mut out, word, &srv.target, srv.port, srv.priority);
                }
            }
        }
        if out.is_empty() {
            let exchangers = self.get(domain, RecordType::MX);
            for data in exchangers {
                if let RData::MX(mx) = data {
                    self.add(&mut out, "smtp", &mx.exchange, SMTP_PORT, mx.preference);
                }
            }
            if exchangers.is_empty() {
                self.add(&mut out, "smtp", domain, SMTP_PORT, 0);
            }
        }
        out
    }

    fn add(&self, out: &mut Vec<MailBackend>, word: &str, host: &Name, port: u16, rank: u16) {
        for data in self.get(&host.to_lowercase(), RecordType::A) {
            if let RData::A(a) = data {
                let addr = SocketAddr::new(IpAddr::V4(a.0), port);
                let backend = MailBackend { name: format!("{word}/{host}/{addr}"), addr, rank };
                if !out.iter().any(|b: &MailBackend| b.name == backend.name) {
                    out.push(backend);
                }
            }
        }
    }
}

impl MailBackend {
    /// The protocol that a backend of this name speaks.
    pub fn protocol(name: &str) -> Protocol {
        if name.starts_with("lmtp/") {
            Protocol::Lmtp
        } else {
            Protocol::Smtp
        }
    }
}

/// Line and byte where each record begins: brackets and quotes join lines, a semicolon hides the rest of one.
fn record_starts(text: &str) -> Vec<(usize, usize)> {
    let (mut starts, mut depth, mut quoted, mut at, mut line) = (Vec::new(), 0usize, false, 0, 0);
    for part in text.split_inclusive('\n') {
        line += 1;
        if depth == 0 && !quoted && !part.trim().is_empty() {
            starts.push((line, at));
        }
        let mut chars = part.chars();
        while let Some(c) = chars.next() {
            match c {
                '\\' => drop(chars.next()),
                '"' => quoted = !quoted,
                ';' if !quoted => break,
                '(' if !quoted => depth += 1,
                ')' if !quoted => depth = depth.saturating_sub(1),
                _ => {}
            }
        }
        at += part.len();
    }
    starts
}

/// The first line that begins with a name, as it is written or absolute; 1 if none does.
fn line_of(text: &str, wanted: &Name, origin: &Name) -> usize {
    let is = |line: &str| {
        let word = line.split_whitespace().next().unwrap_or_default();
        Name::parse(word, Some(origin)).is_ok_and(|n| n.to_lowercase() == *wanted)
    };
    text.lines().position(is).map_or(1, |n| n + 1)
}
