//! The operators' file for what couriers share, `deploy/shared.json` unless `NODE_SHARED` or `--shared` names another. A file that
//! is not there leaves the part off. `docs/operators/shared.md` explains the settings.

use crate::api::Micros;
use crate::checked::{self, Fault};
use crate::peers::{cluster, Config};
use crate::shared::sharing::SharedTopics;
use std::io::ErrorKind;
use std::path::Path;

/// The fleet's name where the file gives none.
const FLEET: &str = "fleet";

/// What the file says.
#[derive(Debug, Clone, PartialEq)]
pub struct Sharing {
    /// How entries go between couriers.
    pub ground: Config,
    /// What is shared of limits, tenants and endpoints.
    pub matters: SharedTopics,
}

/// Reads the file; `None`: the part is off. The errors are all that is wrong with it.
pub fn read(path: &Path) -> Result<Option<Sharing>, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes),
    }
}

/// The file's text.
pub fn parse(bytes: &[u8]) -> Result<Option<Sharing>, Vec<Fault>> {
    checked::read(bytes, |doc| {
        let d = Config::new(0);
        let enabled = doc.flag("enabled", false);
        let fleet = doc.text("fleet").unwrap_or_else(|| FLEET.to_owned());
        let ground = Config {
            cluster: cluster([fleet.as_str()]),
            beat_interval: Micros(doc.whole("beat_ms", d.beat_interval.0 / 1_000, 200..=60_000) * 1_000),
            max_beat_bytes_per_s: doc.number("floor_bytes_per_s", d.max_beat_bytes_per_s, 64.0..=1e6),
            bytes_per_message: doc.number("bytes_per_message", d.bytes_per_message, 0.0..=4_096.0),
            messages_per_s: doc.number("notes_per_s", d.messages_per_s, 1.0..=20_000.0),
            ..d
        };
        // Danger: near a limit leased parts hand more back than each courier's own finding (`docs/operators/beliefs.md`).
        let matters = SharedTopics {
            limits: doc.flag("share_limits", false),
            tenants: doc.flag("share_tenants", true),
            endpoints: doc.flag("share_endpoints", true),
        };
        enabled.then_some(Sharing { ground, matters })
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_in_deploy_is_off_and_holds_the_usual_figures() {
        let file = include_str!("../../../deploy/shared.json");
        assert_eq!(parse(file.as_bytes()).unwrap(), None);
        let on = file.replace("\"enabled\": false", "\"enabled\": true");
        let matters = SharedTopics { limits: false, ..SharedTopics::ALL };
        let usual = Sharing { ground: Config::new(cluster([FLEET])), matters };
        assert_eq!(parse(on.as_bytes()).unwrap(), Some(usual.clone()));
        assert_eq!(parse(br#"{"enabled": true}"#).unwrap(), Some(usual));
        let all = parse(br#"{"enabled": true, "share_limits": true}"#).unwrap().unwrap();
        assert_eq!(all.matters, SharedTopics::ALL);
        assert_eq!(parse(b"{}").unwrap(), None);
    }

    #[test]
    fn every_fault_is_named_by_its_path_also_where_the_part_is_off() {
        let text = br#"{"enabled": false, "fleet": "", "beat_ms": 1, "notes_per_s": 0, "floor": 1}"#;
        let faults: Vec<String> = parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(
            faults,
            [
                "fleet: \"\" is no text",
                "beat_ms: 1 is not within 200 to 60000",
                "notes_per_s: 0 is not within 1 to 20000",
                "floor: no such setting",
            ]
        );
    }
}
