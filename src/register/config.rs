//! The operators' file for the registry: `deploy/register.json` unless `NODE_REGISTER` or `--register` names another.
//! If there is no such file, every setting has its default. `docs/operators/register.md` explains the settings.

use super::guard::RemovalGuard;
use super::kept_copy::KeptCopyRules;
use super::trust::TrustRules;
use super::RegistryRules;
use crate::api::Micros;
use crate::checked::{self, Fault, ObjectReader};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The settings of the registry.
#[derive(Debug, Clone, PartialEq)]
pub struct RegisterConfig {
    /// Further addresses of discovery.
    pub extra_addrs: Vec<SocketAddr>,
    /// Path of the static file.
    pub static_file: Option<PathBuf>,
    /// Interval at which the full list is read where discovery offers no watch.
    pub poll_interval: Micros,
    /// Parameters of the kept copy.
    pub kept_copy: KeptCopyRules,
    /// Rules of the registry itself.
    pub rules: RegistryRules,
}

impl Default for RegisterConfig {
    fn default() -> RegisterConfig {
        RegisterConfig {
            extra_addrs: Vec::new(),
            static_file: None,
            poll_interval: Micros(2_000_000),
            kept_copy: KeptCopyRules::default(),
            rules: RegistryRules::default(),
        }
    }
}

/// Limit on the number of further addresses of discovery.
const MAX_EXTRA_ADDRS: usize = 16;
const DAY_S: f64 = 24.0 * 3600.0;

/// Reads the file. The errors are all faults in it.
pub fn read(path: &Path) -> Result<RegisterConfig, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(RegisterConfig::default()),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes, path.parent().unwrap_or(Path::new(""))),
    }
}

/// Parses the content of the file. Paths in it are relative to `folder`, the file's own folder.
pub fn parse(bytes: &[u8], folder: &Path) -> Result<RegisterConfig, Vec<Fault>> {
    checked::read(bytes, |doc| settings(doc, folder))
}

fn millis(doc: &ObjectReader, name: &str, default: Micros, max_ms: f64) -> Micros {
    Micros::from_secs(doc.number(name, default.0 as f64 / 1e3, 0.0..=max_ms) / 1e3)
}

fn seconds(doc: &ObjectReader, name: &str, default: Micros, min_s: f64, max_s: f64) -> Micros {
    Micros::from_secs(doc.number(name, default.secs(), min_s..=max_s))
}

fn settings(doc: &ObjectReader, folder: &Path) -> RegisterConfig {
    let defaults = RegisterConfig::default();
    let extra_addrs = doc.texts("also", MAX_EXTRA_ADDRS, |text| {
        text.parse().map_err(|_| format!("{text:?} is no address with a port"))
    });
    let kept_copy = doc.object("kept", kept_copy_rules);
    let (max_copy_age, use_stale_copy) = doc
        .object("copy", |copy| {
            let max_age = seconds(copy, "use_within_s", defaults.rules.max_copy_age, 0.0, 3650.0 * DAY_S);
            (max_age, copy.flag("use_stale", false))
        })
        .unwrap_or((defaults.rules.max_copy_age, false));
    let trust = doc.object("trust", trust_rules);
    let guard = doc.object("guard", removal_guard);
    let default_poll_ms = defaults.poll_interval.0 as f64 / 1e3;
    RegisterConfig {
        extra_addrs,
        static_file: doc.text("static").map(|file| folder.join(file)),
        poll_interval: Micros::from_secs(doc.number("poll_ms", default_poll_ms, 100.0..=6e5) / 1e3),
        kept_copy: kept_copy.unwrap_or_default(),
        rules: RegistryRules {
            discovery_wait: millis(doc, "hold_ms", defaults.rules.discovery_wait, 6e4),
            stale_after: seconds(doc, "stale_after_s", defaults.rules.stale_after, 0.1, DAY_S),
            max_copy_age,
            use_stale_copy,
            cold_ready_after: seconds(doc, "cold_ready_s", defaults.rules.cold_ready_after, 0.0, 3600.0),
            trust: trust.unwrap_or_default(),
            guard: guard.unwrap_or_default(),
        },
    }
}

fn kept_copy_rules(kept: &ObjectReader) -> KeptCopyRules {
    let defaults = KeptCopyRules::default();
    KeptCopyRules {
        enabled: kept.flag("enabled", defaults.enabled),
        disk_bytes: kept.whole("disk_kb", defaults.disk_bytes / 1024, 12..=1 << 20) * 1024,
        min_interval: millis(kept, "every_ms", defaults.min_interval, 3.6e6),
        max_bytes_per_minute: kept.whole("bytes_a_minute", defaults.max_bytes_per_minute, 1024..=1 << 32),
        refresh_interval: seconds(kept, "refresh_s", defaults.refresh_interval, 1.0, 3600.0),
    }
}

fn trust_rules(trust: &ObjectReader) -> TrustRules {
    let defaults = TrustRules::default();
    let rules = TrustRules {
        initial_calls: trust.whole("start", u64::from(defaults.initial_calls), 1..=1024) as u32,
        half_life: seconds(trust, "halving_s", defaults.half_life, 0.001, 365.0 * DAY_S),
        first_ejection: millis(trust, "bench_ms", defaults.first_ejection, 6e5),
        max_ejection: millis(trust, "bench_most_ms", defaults.max_ejection, 3.6e6),
    };
    if rules.max_ejection < rules.first_ejection {
        trust.fault("bench_most_ms", "shorter than bench_ms");
    }
    rules
}

/// Parses the guard's settings; `None` if it is disabled.
fn removal_guard(guard: &ObjectReader) -> Option<RemovalGuard> {
    let defaults = RemovalGuard::default();
    let enabled = guard.flag("enabled", true);
    let rules = RemovalGuard {
        max_removed_share: guard.number("share", defaults.max_removed_share, 0.0..=1.0),
        always_allowed: guard.whole("least", defaults.always_allowed as u64, 0..=1 << 20) as usize,
        hold: seconds(guard, "hold_s", defaults.hold, 0.0, 30.0 * DAY_S),
        confirm_after: millis(guard, "confirm_ms", defaults.confirm_after, 6e5),
    };
    if rules.hold < rules.confirm_after {
        guard.fault("hold_s", "shorter than confirm_ms: nothing could ever be confirmed");
    }
    enabled.then_some(rules)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_empty_file_gives_the_defaults_with_the_guard_off() {
        let config = parse(b"{}", Path::new("")).unwrap();
        assert_eq!(config, RegisterConfig::default());
        assert_eq!(config.rules.guard, None);
        assert_eq!(
            parse(br#"{"guard": {}}"#, Path::new("")).unwrap().rules.guard,
            Some(RemovalGuard::default())
        );
        assert_eq!(parse(br#"{"guard": {"enabled": false}}"#, Path::new("")).unwrap().rules.guard, None);
    }

    #[test]
    fn every_fault_is_reported_with_its_path() {
        let text = br#"{"also": ["127.0.0.1:1", "here", 7], "hold_ms": "long", "kept": {"disk_kb": 1.5},
            "trust": {"bench_ms": 2000, "bench_most_ms": 1000}, "guard": {"share": 3}, "polls": 1, "static": ""}"#;
        let faults: Vec<String> =
            parse(text, Path::new("")).unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(
            faults,
            [
                "also[1]: \"here\" is no address with a port",
                "also[2]: 7 is no text",
                "kept.disk_kb: 1.5 is not within 12 to 1048576",
                "trust.bench_most_ms: shorter than bench_ms",
                "guard.share: 3 is not within 0 to 1",
                "static: \"\" is no text",
                "hold_ms: \"long\" is no number",
                "polls: no such setting",
            ]
        );
        assert!(parse(b"{", Path::new("")).unwrap_err()[0].to_string().contains("line 1"));
    }
}
