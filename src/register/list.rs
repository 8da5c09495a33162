//! The list format of discovery, which is also that of the kept copy, the static file, import and export: JSON with a
//! version and one entry per endpoint. An entry that cannot be parsed does not affect the others.

use super::exclusions::MAX_NAME_BYTES;
use super::{EndpointRecord, EndpointState, ListUpdate, Source};
use crate::api::Micros;
use crate::json;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::HashSet;
use std::sync::Arc;

/// The lifecycle of an endpoint that is no longer listed.
const REMOVED: &str = "removed";

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

/// Names of the kinds and zones that the settings list.
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
        if let Ok(list) = json::from_mut_slice::<DiscoveryList>(&mut copy) {
            return Ok(ParsedList { list, unreadable: Vec::new() });
        }
        let mut value: Value = json::from_slice(bytes).map_err(|e| e.to_string())?;
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
    pub fn into_update(self, source: Source, as_of: Micros) -> ListUpdate {
        let ParsedList { list, mut unreadable } = self;
        let mut records = Vec::with_capacity(list.instances.len());
        let mut names = SharedNames::default();
        for instance in list.instances {
            match instance.to_record_sharing(&mut names) {
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

/// Kind and zone names of one list; each is stored once.
#[derive(Default)]
struct SharedNames(HashSet<Arc<str>>);

impl SharedNames {
    fn get(&mut self, name: &str) -> Arc<str> {
        match self.0.get(name) {
            Some(shared) => shared.clone(),
            None => {
                let shared: Arc<str> = name.into();
                self.0.insert(shared.clone());
                shared
            }
        }
    }
}

impl Instance {
    /// Whether the endpoint is no longer listed.
    pub fn is_removed(&self) -> bool {
        self.lifecycle == REMOVED
    }

    /// Converts the entry to a record. `None` if its address, id or lifecycle is not valid.
    pub fn to_record(&self) -> Option<EndpointRecord> {
        self.to_record_sharing(&mut SharedNames::default())
    }

    fn to_record_sharing(&self, names: &mut SharedNames) -> Option<EndpointRecord> {
        let valid_id = !self.instance_id.is_empty() && self.instance_id.len() <= MAX_NAME_BYTES;
        Some(EndpointRecord {
            addr: self.host_port.parse().ok().filter(|_| valid_id)?,
            dest: self.cell,
            kind: names.get(&self.machine_type),
            zone: names.get(&self.zone),
            state: match self.lifecycle.as_str() {
                "up" => EndpointState::Up,
                "draining" => EndpointState::Draining,
                REMOVED => EndpointState::Gone,
                _ => return None,
            },
            weight: self.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            rank: 0,
            name: self.instance_id.clone(),
        })
    }

    /// Converts a record back to an entry.
    pub fn from_record(record: &EndpointRecord) -> Instance {
        Instance {
            instance_id: record.name.clone(),
            host_port: record.addr.to_string(),
            zone: record.zone.to_string(),
            machine_type: record.kind.to_string(),
            cell: record.dest,
            lifecycle: match record.state {
                EndpointState::Up => "up",
                EndpointState::Draining => "draining",
                EndpointState::Gone => REMOVED,
            }
            .to_owned(),
            weight: Some(record.weight),
        }
    }
}
