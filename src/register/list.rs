//! The list format of discovery, which is also that of the kept copy, the static file, import and export: JSON with a
//! version and one entry per endpoint. An entry that cannot be parsed does not affect the others.

use super::exclusions::MAX_NAME_BYTES;
use super::{EndpointRecord, EndpointState, ListUpdate, Source};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A full list, or the changes to one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
#[serde(rename = "List")] // the name in parse errors
pub struct DiscoveryList {
    /// Version of the list.
    pub generation: u64,
    /// Whether this is the full list; otherwise it holds only what has changed.
    #[serde(default)]
    pub reset: bool,
    /// The entries, one per endpoint.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// One entry of a list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The endpoint's id.
    pub instance_id: String,
    /// Address on which it listens.
    pub host_port: String,
    /// Its zone, by name.
    #[serde(default)]
    pub zone: String,
    /// Its kind, by name.
    #[serde(default)]
    pub machine_type: String,
    /// Its destination.
    pub cell: u16,
    /// `up`, `draining` or `removed`.
    pub lifecycle: String,
    /// Rate that its destination accepts, in calls per second.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
}

/// Names of kinds and zones, in the order of the settings, by which records refer to them.
#[derive(Debug, Clone, Default)]
pub struct KindAndZoneNames {
    /// Kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// A parsed list, and the ids of the entries that could not be parsed, as far as the ids could be.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ParsedList {
    /// The list, with the entries that could be parsed.
    pub list: DiscoveryList,
    /// Ids of the other entries.
    pub unreadable: Vec<String>,
}

impl ParsedList {
    /// Parses a list. It is parsed entry by entry, which is slow, only if it cannot be parsed as a whole.
    pub fn parse(bytes: &[u8]) -> Result<ParsedList, String> {
        let mut copy = bytes.to_vec();
        if let Ok(list) = simd_json::serde::from_slice::<DiscoveryList>(&mut copy) {
            return Ok(ParsedList { list, unreadable: Vec::new() });
        }
        let mut value: Value = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
        let entries = match value.get_mut("instances").map(Value::take) {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(entries)) => entries,
            Some(_) => return Err("instances: no list".into()),
        };
        if let Value::Object(fields) = &mut value {
            fields.remove("instances");
        }
        let mut list: DiscoveryList = serde_json::from_value(value).map_err(|e| e.to_string())?;
        let mut unreadable = Vec::new();
        for entry in entries {
            let id = entry.get("instanceId").and_then(Value::as_str).map(str::to_owned);
            match serde_json::from_value(entry) {
                Ok(instance) => list.instances.push(instance),
                Err(_) => unreadable.extend(id),
            }
        }
        Ok(ParsedList { list, unreadable })
    }

    /// Makes an update from a source of this list.
    pub fn into_update(self, source: Source, names: &KindAndZoneNames, as_of: Micros) -> ListUpdate {
        let ParsedList { list, mut unreadable } = self;
        let mut records = Vec::with_capacity(list.instances.len());
        for instance in list.instances {
            match instance.to_record(names) {
                Some(record) => records.push(record),
                None => unreadable.push(instance.instance_id),
            }
        }
        ListUpdate {
            source,
            is_full_list: list.reset,
            generation: list.generation,
            records,
            unreadable,
            as_of,
        }
    }
}

impl Instance {
    /// Converts the entry to a record. `None` if its address, id or lifecycle is not valid.
    pub fn to_record(&self, names: &KindAndZoneNames) -> Option<EndpointRecord> {
        let position = |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0);
        let valid_id = !self.instance_id.is_empty() && self.instance_id.len() <= MAX_NAME_BYTES;
        Some(EndpointRecord {
            addr: self.host_port.parse().ok().filter(|_| valid_id)?,
            dest: self.cell,
            kind: position(&names.kinds, &self.machine_type) as u8,
            zone: position(&names.zones, &self.zone) as u16,
            state: match self.lifecycle.as_str() {
                "up" => EndpointState::Up,
                "draining" => EndpointState::Draining,
                "removed" => EndpointState::Gone,
                _ => return None,
            },
            weight: self.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            rank: 0,
            name: self.instance_id.clone(),
        })
    }

    /// Converts a record back to an entry.
    pub fn from_record(record: &EndpointRecord, names: &KindAndZoneNames) -> Instance {
        let name_at = |list: &[String], position: usize| list.get(position).cloned().unwrap_or_default();
        Instance {
            instance_id: record.name.clone(),
            host_port: record.addr.to_string(),
            zone: name_at(&names.zones, usize::from(record.zone)),
            machine_type: name_at(&names.kinds, usize::from(record.kind)),
            cell: record.dest,
            lifecycle: match record.state {
                EndpointState::Up => "up",
                EndpointState::Draining => "draining",
                EndpointState::Gone => "removed",
            }
            .to_owned(),
            weight: Some(record.weight),
        }
    }
}
