//! Scenarios: a world, what clients ask of it, and what goes wrong, as JSON files of a settled form. Each file is checked
//! whole, and every fault is named by its path. `docs/operators/lab.md` lists all settings with their units.

pub mod library;
mod reading;
pub mod schema;
mod types;

pub use types::*;

use indigohold::checked::{self, Fault};
use reading::scenario;
use serde_json::Value;

/// All settings of a scenario file, as its reader asks for them.
pub fn settings() -> Vec<checked::Setting> {
    checked::describe(scenario)
}

impl Scenario {
    /// Reads a scenario; all that is wrong with it otherwise.
    pub fn read(text: &[u8]) -> Result<Scenario, Vec<Fault>> {
        checked::read(text, scenario)
    }

    /// The same, with settings changed by their paths, as in `clients.load=1.2`.
    pub fn read_with(text: &[u8], changes: &[(String, String)]) -> Result<Scenario, Vec<Fault>> {
        let fault = |path: &str, what: String| vec![Fault { path: path.into(), what }];
        let mut value: Value = serde_json::from_slice(text).map_err(|e| fault("", e.to_string()))?;
        for (path, text) in changes {
            set(&mut value, path, text).map_err(|what| fault(path, what))?;
        }
        Scenario::read(value.to_string().as_bytes())
    }

    /// Share of all messages of each destination that gets any.
    pub fn shares(&self) -> Vec<f64> {
        let weight = |n: usize| 1.0 / ((n + 1) as f64).powf(self.destinations.skew);
        let all: Vec<f64> = (0..self.destinations.active).map(weight).collect();
        let sum: f64 = all.iter().sum();
        all.into_iter().map(|w| w / sum).collect()
    }

    /// Times the usual rate that is asked at this moment (seconds).
    pub fn load_at(&self, at: f64) -> f64 {
        let ramp = match &self.clients.arrivals {
            Arrivals::Ramp { from, to, begins, ends } => {
                let part = ((at - begins) / (ends - begins).max(1e-9)).clamp(0.0, 1.0);
                from + (to - from) * part
            }
            _ => 1.0,
        };
        let surge = |s: &&(f64, f64, f64)| s.0 <= at && at < s.1;
        self.clients.load * ramp * self.clients.surges.iter().filter(surge).map(|s| s.2).product::<f64>()
    }

    /// The same world with nothing that goes wrong: what a fleet does unharmed.
    pub fn unharmed(&self) -> Scenario {
        let mut twin = self.clone();
        twin.faults.clear();
        twin.kills.clear();
        twin.pauses.clear();
        twin.registry.down.clear();
        // The links stay, so that both runs go through the same relay; nothing is done to them.
        twin.links.iter_mut().for_each(|rule| rule.chance = 0.0);
        twin
    }

    /// What of it is played on sockets only.
    pub fn sockets_only(&self) -> Vec<&'static str> {
        let folder = |k: &Kill| k.folder != Folder::Kept;
        let parts = [
            (!self.links.is_empty(), "links"),
            (!self.pauses.is_empty(), "pauses"),
            (self.kills.iter().any(folder), "kills[].folder"),
            (self.kills.iter().any(|k| k.stuck > 0.0), "kills[].stuck_s"),
        ];
        parts.into_iter().filter(|(there, _)| *there).map(|(_, name)| name).collect()
    }

    /// When the last thing that goes wrong is over, in seconds; `None`: nothing does.
    pub fn last_trouble(&self) -> Option<f64> {
        let faults = self.faults.iter().map(|f| if f.every > 0.0 { self.seconds } else { f.at + f.lasts });
        let kills = self.kills.iter().map(|k| k.at + k.apart * (k.count - 1) as f64 + k.away + k.stuck);
        let pauses = self.pauses.iter().map(|p| p.at + p.lasts);
        let links = self.links.iter().map(|l| l.during.1.min(self.seconds));
        let down = self.registry.down.iter().map(|d| d.1);
        let surges = self.clients.surges.iter().map(|s| s.1);
        faults.chain(kills).chain(pauses).chain(links).chain(down).chain(surges).max_by(f64::total_cmp)
    }
}

/// Puts a value at a path, as in `faults[0].lasts_s`. Objects on the way are made; places in lists must be there.
pub fn set(value: &mut Value, path: &str, text: &str) -> Result<(), String> {
    let new = serde_json::from_str(text).unwrap_or_else(|_| Value::String(text.into()));
    let mut at = value;
    for part in path.split('.') {
        let (name, places) = part.split_once('[').map_or((part, ""), |(name, places)| (name, places));
        if at.is_null() {
            *at = Value::Object(Default::default());
        }
        at = at
            .as_object_mut()
            .ok_or("it leads through what is no object")?
            .entry(name)
            .or_insert(Value::Null);
        for place in places.split('[').filter(|p| !p.is_empty()) {
            let place: usize = place.trim_end_matches(']').parse().map_err(|_| "no place in a list")?;
            at = at.get_mut(place).ok_or("there is no such place in the list")?;
        }
    }
    *at = new;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_fault_is_named() {
        let text = br#"{"seconds": -1, "couriers": {}, "classes": [{"aim_ms": 9, "deadline_ms": 8, "effect": "odd"}],
            "destinations": {"count": 3, "limit": {"kind": "rate", "time": 2}},
            "faults": [{"what": "hangs", "where": "number", "number": 3}], "kills": [{"count": 9}]}"#;
        let faults = Scenario::read(text).unwrap_err();
        let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
        for path in [
            "seconds",
            "couriers",
            "classes[0].effect",
            "classes[0].aim_ms",
            "destinations.limit.time",
            "faults[0].number",
            "kills[0].count",
        ] {
            assert!(paths.contains(&path), "{path} is not among {paths:?}");
        }
        assert_eq!(paths.len(), 7, "{paths:?}");
    }

    #[test]
    fn settings_are_changed_by_their_paths() {
        let change = |path: &str, text: &str| {
            Scenario::read_with(br#"{"faults": [{"what": "hangs"}]}"#, &[(path.into(), text.into())])
        };
        assert_eq!(change("clients.load", "1.5").unwrap().clients.load, 1.5);
        assert_eq!(change("faults[0].lasts_s", "2").unwrap().faults[0].lasts, 2.0);
        assert_eq!(change("name", "other").unwrap().name, "other");
        assert!(change("faults[1].lasts_s", "2").is_err());
        assert!(change("clients.lode", "2").is_err());
    }
}
