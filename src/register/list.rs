//! Lists as discovery writes them, and as they are kept, imported and exported: JSON with a version and one entry a
//! backend. One entry that can't be read spoils itself alone.

use super::{ListLine, ListState, Source, Word};
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A list, or the changes to one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, Default)]
pub struct List {
    /// Its version.
    pub generation: u64,
    /// The whole list.
    #[serde(default)]
    pub reset: bool,
    /// The entries.
    #[serde(default)]
    pub instances: Vec<Instance>,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    /// The backend's id.
    pub instance_id: String,
    /// Where it listens.
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
    /// Calls a second that its destination takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
}

/// Names of kinds and zones, in the order of the settings.
#[derive(Debug, Clone, Default)]
pub struct Places {
    /// Kinds.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
}

/// A list, and the ids of the entries that could not be read, where at least those could.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Read {
    /// What could be read.
    pub list: List,
    /// What could not.
    pub unread: Vec<String>,
}

/// The longest id that is taken.
const NAME_MOST: usize = super::hand::NAME_MOST;

impl Read {
    /// Reads a list. Entry by entry only where it can't be read as a whole, as that is slow.
    pub fn from(bytes: &[u8]) -> Result<Read, String> {
        let mut copy = bytes.to_vec();
        if let Ok(list) = simd_json::serde::from_slice::<List>(&mut copy) {
            return Ok(Read { list, unread: Vec::new() });
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
        let mut list: List = serde_json::from_value(value).map_err(|e| e.to_string())?;
        let mut unread = Vec::new();
        for entry in entries {
            let id = entry.get("instanceId").and_then(Value::as_str).map(str::to_owned);
            match serde_json::from_value(entry) {
                Ok(instance) => list.instances.push(instance),
                Err(_) => unread.extend(id),
            }
        }
        Ok(Read { list, unread })
    }

    /// What a source says by this list.
    pub fn word(self, source: Source, places: &Places, as_of: Micros) -> Word {
        let Read { list, mut unread } = self;
        let mut lines = Vec::with_capacity(list.instances.len());
        for instance in list.instances {
            match instance.line(places) {
                Some(line) => lines.push(line),
                None => unread.push(instance.instance_id),
            }
        }
        Word { source, whole: list.reset, generation: list.generation, lines, unread, as_of }
    }
}

impl Instance {
    /// The few values that the program uses; `None` where its address, id or state is none.
    pub fn line(&self, places: &Places) -> Option<ListLine> {
        let place = |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(0);
        let named = !self.instance_id.is_empty() && self.instance_id.len() <= NAME_MOST;
        Some(ListLine {
            addr: self.host_port.parse().ok().filter(|_| named)?,
            dest: self.cell,
            kind: place(&places.kinds, &self.machine_type) as u8,
            zone: place(&places.zones, &self.zone) as u16,
            state: match self.lifecycle.as_str() {
                "up" => ListState::Up,
                "draining" => ListState::Draining,
                "removed" => ListState::Gone,
                _ => return None,
            },
            weight: self.weight.filter(|w| w.is_finite()).unwrap_or(1.0),
            rank: 0,
            name: self.instance_id.clone(),
        })
    }

    /// The entry of a line.
    pub fn of(line: &ListLine, places: &Places) -> Instance {
        let name = |list: &[String], place: usize| list.get(place).cloned().unwrap_or_default();
        Instance {
            instance_id: line.name.clone(),
            host_port: line.addr.to_string(),
            zone: name(&places.zones, usize::from(line.zone)),
            machine_type: name(&places.kinds, usize::from(line.kind)),
            cell: line.dest,
            lifecycle: match line.state {
                ListState::Up => "up",
                ListState::Draining => "draining",
                ListState::Gone => "removed",
            }
            .to_owned(),
            weight: Some(line.weight),
        }
    }
}
