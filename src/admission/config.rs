//! The operators' file for client connections, `deploy/admission.json` unless `NODE_ADMISSION` or `--admission` names
//! another. A file that is not there leaves everything at its default. `docs/operators/clients.md` explains the settings.

use super::Rules;
use crate::api::Micros;
use crate::checked::{self, Fault, ObjectReader};
use std::io::ErrorKind;
use std::path::Path;

/// A client of the platform sends its request as soon as it is connected, and waits 400 ms for the answer; it may close a
/// session and open another as it likes, and is owed a close within 3 s where it says nothing.
const PLATFORM: Rules = Rules {
    places: usize::MAX,
    reserve: 0,
    speak: Micros(450_000),
    whole: Micros(250_000),
    hurry: Micros(150_000),
    rest: Micros(20_000),
    silent_most: Micros(2_200_000),
    whole_most: Micros(2_500_000),
    idle_most: Micros(30_000_000),
    source_share: 0.5,
};
/// Clients of mail may take minutes over a command (RFC 5321, section 4.5.3.2), but not while others find no place. Each
/// may hold a message.
const MAIL: Rules = Rules {
    places: 64,
    reserve: 0,
    speak: Micros(5_000_000),
    whole: Micros(20_000_000),
    hurry: Micros(20_000_000),
    rest: Micros(5_000_000),
    silent_most: Micros(300_000_000),
    whole_most: Micros(600_000_000),
    idle_most: Micros(300_000_000),
    source_share: 0.5,
};

/// What holds at the listeners of one front.
#[derive(Debug, Clone, PartialEq)]
pub struct Wishes {
    rules: Rules,
    /// The share of the places that is kept free of those that idle.
    reserve_share: f64,
    /// Connections that may wait to be let in.
    pub backlog: i32,
}

impl Wishes {
    /// The rules where there are descriptors and memory for so many places.
    pub fn rules(&self, places: usize) -> Rules {
        let places = places.min(self.rules.places).max(1);
        let reserve = ((places as f64 * self.reserve_share) as usize).min(places - 1);
        Rules { places, reserve, ..self.rules.clone() }
    }
}

/// What the file says.
#[derive(Debug, Clone, PartialEq)]
pub struct AdmissionConfig {
    /// For the platform's front.
    pub platform: Wishes,
    /// For each listener of the mail front.
    pub mail: Wishes,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig {
            platform: Wishes { rules: PLATFORM, reserve_share: 1.0 / 16.0, backlog: 1_024 },
            mail: Wishes { rules: MAIL, reserve_share: 0.0, backlog: 1_024 },
        }
    }
}

/// Reads the file; the errors are all that is wrong with it.
pub fn read(path: &Path) -> Result<AdmissionConfig, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(AdmissionConfig::default()),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes),
    }
}

/// The file's text.
pub fn parse(bytes: &[u8]) -> Result<AdmissionConfig, Vec<Fault>> {
    checked::read(bytes, |doc| {
        let d = AdmissionConfig::default();
        AdmissionConfig {
            platform: doc.object("platform", |front| wishes(front, &d.platform)).unwrap_or(d.platform),
            mail: doc.object("mail", |front| wishes(front, &d.mail)).unwrap_or(d.mail),
        }
    })
}

fn wishes(doc: &ObjectReader, d: &Wishes) -> Wishes {
    let ms = |name: &str, default: Micros, most: f64| {
        Micros::from_secs(doc.number(name, default.0 as f64 / 1e3, 0.0..=most) / 1e3)
    };
    let hour = 3.6e6;
    let places = doc.whole("places", 0, 0..=1 << 20) as usize;
    let wishes = Wishes {
        rules: Rules {
            places: if places == 0 { d.rules.places } else { places },
            reserve: 0,
            speak: ms("speak_ms", d.rules.speak, hour),
            whole: ms("whole_ms", d.rules.whole, hour),
            hurry: ms("hurry_ms", d.rules.hurry, hour),
            rest: ms("rest_ms", d.rules.rest, hour),
            silent_most: ms("silent_most_ms", d.rules.silent_most, hour),
            whole_most: ms("whole_most_ms", d.rules.whole_most, hour),
            idle_most: ms("idle_most_ms", d.rules.idle_most, 24.0 * hour),
            source_share: doc.number("source_share", d.rules.source_share, 0.0..=1.0),
        },
        reserve_share: doc.number("reserve_share", d.reserve_share, 0.0..=0.5),
        backlog: doc.whole("backlog", d.backlog as u64, 1..=65_535) as i32,
    };
    for (name, most, of) in [
        ("silent_most_ms", wishes.rules.silent_most, wishes.rules.speak),
        ("whole_most_ms", wishes.rules.whole_most, wishes.rules.whole),
        ("idle_most_ms", wishes.rules.idle_most, wishes.rules.rest),
    ] {
        if most < of {
            doc.fault(name, "shorter than the time after which one makes room");
        }
    }
    wishes
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_in_deploy_holds_the_defaults() {
        let file = include_bytes!("../../deploy/admission.json");
        assert_eq!(parse(file).unwrap(), AdmissionConfig::default());
        assert_eq!(parse(b"{}").unwrap(), AdmissionConfig::default());
    }

    #[test]
    fn places_are_what_limits_and_operators_both_allow() {
        let of = |text: &str, most: usize| parse(text.as_bytes()).unwrap().platform.rules(most);
        assert_eq!((of("{}", 293).places, of("{}", 293).reserve), (293, 18));
        assert_eq!(of(r#"{"platform": {"places": 100}}"#, 293).places, 100);
        assert_eq!(of(r#"{"platform": {"places": 100}}"#, 50).places, 50);
        let tight = of(r#"{"platform": {"places": 1, "reserve_share": 0.5}}"#, 293);
        assert_eq!((tight.places, tight.reserve), (1, 0), "there is always a place for one that idles");
    }

    #[test]
    fn every_fault_is_named_by_its_path() {
        let text =
            br#"{"platform": {"places": -1, "speak_ms": 3000, "backlog": 1.5, "hury_ms": 1}, "post": {}}"#;
        let faults: Vec<String> = parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        assert_eq!(
            faults,
            [
                "platform.places: -1 is not within 0 to 1048576",
                "platform.backlog: 1.5 is no whole number",
                "platform.silent_most_ms: shorter than the time after which one makes room",
                "platform.hury_ms: no such setting",
                "post: no such setting",
            ]
        );
    }
}
