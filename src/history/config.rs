//! The operators' file for history, `deploy/history.json`: off unless it says so. `docs/operators/retention.md` explains it.

use super::hearing::Quorum;
use super::retention::{Scope, Word, ANY, LONGEST};
use crate::api::Micros;
use crate::checked::{self, Fault, ObjectReader};
use std::io::ErrorKind;
use std::path::Path;

/// The least that the file of the history can work in, in KiB: an empty one has 1,040.
pub const DISK_LEAST: u64 = 2_048;
const DAY: u64 = 86_400;

/// One policy as the file has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Policy {
    /// What it is about.
    pub scope: Scope,
    /// Version, replays, hold.
    pub word: Word,
    /// Seconds.
    pub keep: u32,
    /// Bytes of this courier's history for it; what is oldest goes first.
    pub most_bytes: u64,
    /// Messages of this courier's history for it; what is oldest goes first.
    pub most_messages: u64,
}

/// Names of the settings by position. No two are the same; empty: the position has no name.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SettingNames {
    /// Of the classes: those of the platform's front, then those of mail, which have the same names.
    pub classes: Vec<String>,
    /// Of the tenants.
    pub tenants: Vec<String>,
}

impl SettingNames {
    fn new(tenants: &[String], classes: &[String]) -> SettingNames {
        SettingNames { classes: distinct(classes), tenants: distinct(tenants) }
    }

    /// Whether no position has a name.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().chain(&self.tenants).all(String::is_empty)
    }
}

/// A name that stands there before gets the number of its occurrence.
fn distinct(names: &[String]) -> Vec<String> {
    let occurrence = |at: usize| names[..at].iter().filter(|name| **name == names[at]).count();
    let name = |at: usize| match (names[at].as_str(), occurrence(at)) {
        ("", _) => String::new(),
        (name, 0) => name.to_owned(),
        // No name of the settings has a line break.
        (name, before) => format!("{name}\n{before}"),
    };
    (0..names.len()).map(name).collect()
}

/// What the file says, and the settings' names.
#[derive(Debug, Clone, PartialEq)]
pub struct HistoryConfig {
    /// Nothing is kept otherwise.
    pub enabled: bool,
    /// Bytes of disk for the history's file.
    pub disk: u64,
    /// Messages at most.
    pub messages: usize,
    /// Entries of retention at most.
    pub entries: usize,
    /// Share of the others that must have been heard.
    pub quorum: f64,
    /// For how long what was heard is good for sending again.
    pub fresh: Micros,
    /// Added to the moment of a forget order: how far clocks may differ.
    pub skew: Micros,
    /// Messages sent again in a second, at most.
    pub per_s: f64,
    /// A message that was sent again is not sent by another order for so long.
    pub again_after: Micros,
    /// Seconds for which an order to send again can be begun, wherever it is heard of.
    pub stands: u32,
    /// By tenant, class and destination.
    pub policies: Vec<Policy>,
    /// What the history's file calls classes and tenants.
    pub names: SettingNames,
}

impl HistoryConfig {
    /// How many others must be heard in a fleet of so many.
    pub fn quorum(&self, members: usize) -> Quorum {
        Quorum::share(members, self.quorum)
    }
}

/// Reads the file; the errors are all that is wrong with it. One that is not there is off.
pub fn read(path: &Path, tenants: &[String], classes: &[String]) -> Result<HistoryConfig, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => parse(b"{}", tenants, classes),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes, tenants, classes),
    }
}

/// The file's text, with the settings' names of tenants and classes.
pub fn parse(bytes: &[u8], tenants: &[String], classes: &[String]) -> Result<HistoryConfig, Vec<Fault>> {
    checked::read(bytes, |doc| config(doc, tenants, classes))
}

fn config(doc: &ObjectReader, tenants: &[String], classes: &[String]) -> HistoryConfig {
    let secs = |doc: &ObjectReader, name: &str, default: f64, most: f64| {
        Micros::from_secs(doc.number(name, default, 0.0..=most))
    };
    let replay = |r: &ObjectReader| {
        let per_s = r.number("per_s", 20.0, 0.01..=1e4);
        (per_s, secs(r, "again_after_s", 86_400.0, 1e8), r.whole("stands_s", DAY, 1..=100_000_000) as u32)
    };
    let usual = (20.0, Micros(DAY * 1_000_000), DAY as u32);
    let (per_s, again_after, stands) = doc.object("replay", replay).unwrap_or(usual);
    let config = HistoryConfig {
        enabled: doc.flag("enabled", false),
        disk: doc.whole("disk_kb", 8_192, DISK_LEAST..=1 << 22) * 1_024,
        messages: doc.whole("messages", 20_000, 1..=1_000_000) as usize,
        entries: doc.whole("entries", 1_024, 1..=4_096) as usize,
        quorum: doc.number("quorum", 1.0, 0.0..=1.0),
        fresh: secs(doc, "fresh_s", 30.0, 86_400.0),
        skew: secs(doc, "skew_s", 5.0, 3_600.0),
        per_s,
        again_after,
        stands,
        policies: doc.objects("policies", 256, |p| policy(p, tenants, classes)),
        names: SettingNames::new(tenants, classes),
    };
    for (n, policy) in config.policies.iter().enumerate() {
        if config.policies[..n].iter().any(|p| p.scope == policy.scope) {
            doc.fault(&format!("policies[{n}]"), "the same tenant, class and destination as one before it");
        }
    }
    if config.policies.len() > config.entries {
        let (many, most) = (config.policies.len(), config.entries);
        doc.fault("entries", format!("{many} policies need more room than {most}"));
    }
    config
}

fn policy(doc: &ObjectReader, tenants: &[String], classes: &[String]) -> Policy {
    let named = |name: &str, of: &[String]| {
        let Some(text) = doc.text(name) else { return ANY };
        let found = of.iter().position(|n| *n == text).filter(|at| *at < usize::from(ANY));
        if found.is_none() {
            doc.fault(name, format!("{text:?} is none of the settings"));
        }
        found.map_or(ANY, |at| at as u16)
    };
    let scope = Scope {
        tenant: named("tenant", tenants),
        class: named("class", classes),
        dest: doc.whole("destination", u64::from(ANY), 0..=u64::from(ANY)) as u16,
    };
    let word = Word {
        version: doc.whole("version", 1, 1..=1 << 40),
        replay: doc.flag("replay", false),
        replays: doc.whole("replays", 1, 1..=100) as u8,
        hold: doc.flag("hold", false),
    };
    Policy {
        scope,
        word,
        keep: doc.whole("keep_s", 0, 0..=u64::from(LONGEST)) as u32,
        most_bytes: doc.whole("most_kb", 1 << 22, 1..=1 << 22) * 1_024,
        most_messages: doc.whole("most_messages", 1_000_000, 1..=1_000_000),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names(of: &[&str]) -> Vec<String> {
        of.iter().map(|n| (*n).to_owned()).collect()
    }

    #[test]
    fn the_file_in_deploy_is_off_and_holds_the_defaults() {
        let file = include_bytes!("../../deploy/history.json");
        let read = parse(file, &[], &[]).unwrap();
        assert_eq!(read, parse(b"{}", &[], &[]).unwrap());
        assert!(!read.enabled && read.policies.is_empty());
    }

    #[test]
    fn every_fault_is_named_by_its_path() {
        let text = br#"{"enabled": true, "disk_kb": 500, "replay": {"per_s": 0}, "policies": [
            {"tenant": "tallowood", "keep_s": 60, "hold": 1}, {"tenant": "talowood"},
            {"tenant": "tallowood", "class": "fax", "kep_s": 1}, {"tenant": "tallowood"}]}"#;
        let faults = parse(text, &names(&["tallowood"]), &names(&["print-order"])).unwrap_err();
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        assert_eq!(
            faults,
            [
                "replay.per_s: 0 is not within 0.01 to 10000",
                "disk_kb: 500 is not within 2048 to 4194304",
                "policies[0].hold: 1 is neither true nor false",
                "policies[1].tenant: \"talowood\" is none of the settings",
                "policies[2].class: \"fax\" is none of the settings",
                "policies[2].kep_s: no such setting",
                "policies[2]: the same tenant, class and destination as one before it",
                "policies[3]: the same tenant, class and destination as one before it",
            ]
        );
    }
}
