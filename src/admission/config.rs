//! The operators' file for client connections: `deploy/admission.json`, unless `NODE_ADMISSION` or `--admission` names
//! another. If it does not exist, the defaults apply. `docs/operators/clients.md` explains the settings.

use super::Rules;
use crate::api::Micros;
use crate::checked::{self, Fault, ObjectReader};
use std::io::ErrorKind;
use std::path::Path;

/// Defaults of the platform frontend. A client of the platform sends its request as soon as it is connected and waits 400 ms
/// for the answer. It may close a session and open another at any time, and a silent one must be closed within 3 s.
const PLATFORM: Rules = Rules {
    max_connections: usize::MAX,
    reserve: 0,
    silent_grace: Micros(450_000),
    request_grace: Micros(250_000),
    urgent_grace: Micros(150_000),
    idle_grace: Micros(20_000),
    silent_timeout: Micros(2_200_000),
    request_timeout: Micros(2_500_000),
    idle_timeout: Micros(30_000_000),
    max_source_share: 0.5,
};
/// Defaults of the mail frontend. SMTP clients may take minutes for a command (RFC 5321, section 4.5.3.2), but not while
/// others wait for a place. The number of connections is small because each may hold a message in memory.
const MAIL: Rules = Rules {
    max_connections: 64,
    reserve: 0,
    silent_grace: Micros(5_000_000),
    request_grace: Micros(20_000_000),
    urgent_grace: Micros(20_000_000),
    idle_grace: Micros(5_000_000),
    silent_timeout: Micros(300_000_000),
    request_timeout: Micros(600_000_000),
    idle_timeout: Micros(300_000_000),
    max_source_share: 0.5,
};

/// Settings of the listeners of one frontend.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontendAdmission {
    rules: Rules,
    /// The share of the places that idle connections may not keep.
    reserve_share: f64,
    /// Length of the listen queue, in connections.
    pub backlog: i32,
}

impl FrontendAdmission {
    /// The rules where descriptors and memory allow this many connections.
    pub fn rules(&self, affordable: usize) -> Rules {
        let max_connections = affordable.min(self.rules.max_connections).max(1);
        let reserve = ((max_connections as f64 * self.reserve_share) as usize).min(max_connections - 1);
        Rules { max_connections, reserve, ..self.rules.clone() }
    }
}

/// Content of the file.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// Settings of the platform frontend.
    pub platform: FrontendAdmission,
    /// Settings of each listener of the mail frontend.
    pub mail: FrontendAdmission,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            platform: FrontendAdmission { rules: PLATFORM, reserve_share: 1.0 / 16.0, backlog: 1_024 },
            mail: FrontendAdmission { rules: MAIL, reserve_share: 0.0, backlog: 1_024 },
        }
    }
}

/// Reads the file; the error lists all its faults.
pub fn read(path: &Path) -> Result<AdmissionConfig, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(AdmissionConfig::default()),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes),
    }
}

/// Parses the text of the file; the error lists all its faults.
pub fn parse(bytes: &[u8]) -> Result<AdmissionConfig, Vec<Fault>> {
    checked::read(bytes, |doc| {
        let defaults = AdmissionConfig::default();
        AdmissionConfig {
            platform: doc
                .object("platform", |frontend| read_frontend(frontend, &defaults.platform))
                .unwrap_or(defaults.platform),
            mail: doc
                .object("mail", |frontend| read_frontend(frontend, &defaults.mail))
                .unwrap_or(defaults.mail),
        }
    })
}

fn read_frontend(doc: &ObjectReader, defaults: &FrontendAdmission) -> FrontendAdmission {
    let ms = |name: &str, default: Micros, max: f64| {
        Micros::from_secs(doc.number(name, default.0 as f64 / 1e3, 0.0..=max) / 1e3)
    };
    let hour_ms = 3.6e6;
    let places = doc.whole("places", 0, 0..=1 << 20) as usize;
    let frontend = FrontendAdmission {
        rules: Rules {
            max_connections: if places == 0 { defaults.rules.max_connections } else { places },
            reserve: 0,
            silent_grace: ms("speak_ms", defaults.rules.silent_grace, hour_ms),
            request_grace: ms("whole_ms", defaults.rules.request_grace, hour_ms),
            urgent_grace: ms("hurry_ms", defaults.rules.urgent_grace, hour_ms),
            idle_grace: ms("rest_ms", defaults.rules.idle_grace, hour_ms),
            silent_timeout: ms("silent_most_ms", defaults.rules.silent_timeout, hour_ms),
            request_timeout: ms("whole_most_ms", defaults.rules.request_timeout, hour_ms),
            idle_timeout: ms("idle_most_ms", defaults.rules.idle_timeout, 24.0 * hour_ms),
            max_source_share: doc.number("source_share", defaults.rules.max_source_share, 0.0..=1.0),
        },
        reserve_share: doc.number("reserve_share", defaults.reserve_share, 0.0..=0.5),
        backlog: doc.whole("backlog", defaults.backlog as u64, 1..=65_535) as i32,
    };
    for (name, timeout, grace) in [
        ("silent_most_ms", frontend.rules.silent_timeout, frontend.rules.silent_grace),
        ("whole_most_ms", frontend.rules.request_timeout, frontend.rules.request_grace),
        ("idle_most_ms", frontend.rules.idle_timeout, frontend.rules.idle_grace),
    ] {
        if timeout < grace {
            doc.fault(
                name,
                "shorter than the time after which such a connection can be closed for a new one",
            );
        }
    }
    frontend
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_in_deploy_equals_the_defaults() {
        let file = include_bytes!("../../deploy/admission.json");
        assert_eq!(parse(file).unwrap(), AdmissionConfig::default());
        assert_eq!(parse(b"{}").unwrap(), AdmissionConfig::default());
    }

    #[test]
    fn connections_are_bounded_by_the_resources_and_the_file() {
        let rules =
            |text: &str, affordable: usize| parse(text.as_bytes()).unwrap().platform.rules(affordable);
        assert_eq!((rules("{}", 293).max_connections, rules("{}", 293).reserve), (293, 18));
        assert_eq!(rules(r#"{"platform": {"places": 100}}"#, 293).max_connections, 100);
        assert_eq!(rules(r#"{"platform": {"places": 100}}"#, 50).max_connections, 50);
        let smallest = rules(r#"{"platform": {"places": 1, "reserve_share": 0.5}}"#, 293);
        assert_eq!(
            (smallest.max_connections, smallest.reserve),
            (1, 0),
            "the reserve leaves one place for an idle connection"
        );
    }

    #[test]
    fn every_fault_is_reported_with_its_path() {
        let text =
            br#"{"platform": {"places": -1, "speak_ms": 3000, "backlog": 1.5, "hury_ms": 1}, "post": {}}"#;
        let faults: Vec<String> = parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(
            faults,
            [
                "platform.places: -1 is not within 0 to 1048576",
                "platform.backlog: 1.5 is no whole number",
                "platform.silent_most_ms: shorter than the time after which such a connection can be closed for a new one",
                "platform.hury_ms: no such setting",
                "post: no such setting",
            ]
        );
    }
}
