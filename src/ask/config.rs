//! The operators' file for questions to all, `deploy/ask.json`. A file that is not there leaves them off.

use super::Kind;
use crate::api::Micros;
use crate::checked::{self, Fault, ObjectReader};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// What an answer is worth, in units of the operators' own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Worth {
    /// All parts together; each part as much of it as it weighs.
    pub share: f64,
    /// On top, where none is missing.
    pub whole: f64,
    /// What one millisecond of waiting costs.
    pub ms_costs: f64,
    /// No question waits longer.
    pub hard: Micros,
}

/// Latency where nothing is known yet: log-normal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prior {
    /// Half of the answers come by then.
    pub median: Micros,
    /// Standard deviation of the logarithm.
    pub spread: f64,
    /// As many answers as this counts for.
    pub counts_as: f64,
}

/// What is remembered of latencies.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Memory {
    /// Answers of one courier to one kind of question; what is older fades.
    pub answers: f64,
    /// What was learnt counts half after this time.
    pub half_life: Micros,
    /// Couriers, at the most; the one that was heard of least lately makes room.
    pub couriers: usize,
    /// After the end of a question, answers still come through and are evidence for so long; 0 where its carrier closes the
    /// connections at the end. Danger: where it says more than the carrier does, each that was given up seems never to answer.
    pub linger: Micros,
}

/// Bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Most {
    /// Questions at a time.
    pub questions: usize,
    /// Parts of one, and ended questions whose late answers are still of use, are bounded by the couriers and this.
    pub ended: usize,
    /// Connections to others.
    pub connections: usize,
}

/// A courier that may be asked. Its number is its place in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name, as its own configuration has it.
    pub name: String,
    /// Its operators' door, and the one that its next version has during and after an upgrade, if that differs.
    pub doors: Vec<SocketAddr>,
}

/// What the file says.
#[derive(Debug, Clone, PartialEq)]
pub struct AskConfig {
    /// Questions are asked and answered.
    pub enabled: bool,
    /// By kind, in the order of [`Kind::ALL`].
    pub worth: [Worth; Kind::ALL.len()],
    /// Cold start.
    pub prior: Prior,
    /// What is remembered.
    pub memory: Memory,
    /// Bounds.
    pub most: Most,
    /// All couriers of the fleet, the same list in the same order at each of them.
    pub couriers: Vec<Peer>,
}

/// Couriers that the file may name.
const COURIERS: usize = 1_024;
/// The longest name.
const NAME: usize = 64;

const WORTH: Worth = Worth { share: 1.0, whole: 0.0, ms_costs: 0.001, hard: Micros(2_000_000) };

impl Default for AskConfig {
    fn default() -> AskConfig {
        AskConfig {
            enabled: false,
            worth: [WORTH; Kind::ALL.len()],
            prior: Prior { median: Micros(20_000), spread: 1.5, counts_as: 1.0 },
            memory: Memory {
                answers: 32.0,
                half_life: Micros(3_600_000_000),
                couriers: 1_024,
                linger: Micros(10_000_000),
            },
            most: Most { questions: 16, ended: 64, connections: 256 },
            couriers: Vec::new(),
        }
    }
}

impl AskConfig {
    /// What an answer to this kind is worth.
    pub fn worth(&self, kind: Kind) -> &Worth {
        &self.worth[kind as usize]
    }

    /// The number of the courier of this name.
    pub fn place(&self, name: &str) -> Option<usize> {
        self.couriers.iter().position(|peer| peer.name == name)
    }

    /// With so many connections at the most; the error says that this can't do.
    pub fn within(mut self, connections: usize) -> Result<AskConfig, String> {
        self.most.connections = self.most.connections.min(connections);
        let others = self.couriers.len().saturating_sub(1);
        match others > self.most.connections {
            true => {
                Err(format!("couriers: {others} others, and {} connections for them", self.most.connections))
            }
            false => Ok(self),
        }
    }
}

/// Reads the file; the errors are all that is wrong with it.
pub fn read(path: &Path) -> Result<AskConfig, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(AskConfig::default()),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes),
    }
}

/// The file's text.
pub fn parse(bytes: &[u8]) -> Result<AskConfig, Vec<Fault>> {
    checked::read(bytes, |doc| {
        let d = AskConfig::default();
        let all = doc.object("worth", |doc| worth(doc, &WORTH)).unwrap_or(WORTH);
        let mut by_kind = [all; Kind::ALL.len()];
        doc.object("kinds", |doc| {
            for (word, kind) in Kind::ALL {
                by_kind[kind as usize] = doc.object(word, |doc| worth(doc, &all)).unwrap_or(all);
            }
        });
        AskConfig {
            enabled: doc.flag("enabled", d.enabled),
            worth: by_kind,
            prior: doc.object("prior", |doc| prior(doc, &d.prior)).unwrap_or(d.prior),
            memory: doc.object("memory", |doc| memory(doc, &d.memory)).unwrap_or(d.memory),
            most: doc.object("most", |doc| most(doc, &d.most)).unwrap_or(d.most),
            couriers: couriers(doc),
        }
    })
}

fn ms(doc: &ObjectReader, name: &str, default: Micros, within: RangeInclusive<f64>) -> Micros {
    Micros::from_secs(doc.number(name, default.0 as f64 / 1e3, within) / 1e3)
}

fn worth(doc: &ObjectReader, d: &Worth) -> Worth {
    let worth = Worth {
        share: doc.number("share", d.share, 0.0..=1e9),
        whole: doc.number("whole", d.whole, 0.0..=1e9),
        ms_costs: doc.number("ms_costs", d.ms_costs, 0.0..=1e9),
        hard: ms(doc, "hard_ms", d.hard, 1.0..=16_000.0),
    };
    if worth.share + worth.whole <= 0.0 {
        doc.fault("share", "no answer is worth anything");
    }
    worth
}

fn prior(doc: &ObjectReader, d: &Prior) -> Prior {
    Prior {
        median: ms(doc, "median_ms", d.median, 1.0..=16_000.0),
        spread: doc.number("spread", d.spread, 0.1..=4.0),
        counts_as: doc.number("counts_as", d.counts_as, 0.1..=100.0),
    }
}

fn memory(doc: &ObjectReader, d: &Memory) -> Memory {
    Memory {
        answers: doc.number("answers", d.answers, 4.0..=10_000.0),
        half_life: Micros::from_secs(doc.number("half_life_s", d.half_life.secs(), 1.0..=1e7)),
        couriers: doc.whole("couriers", d.couriers as u64, 1..=4_096) as usize,
        linger: ms(doc, "linger_ms", d.linger, 0.0..=60_000.0),
    }
}

fn most(doc: &ObjectReader, d: &Most) -> Most {
    Most {
        questions: doc.whole("questions", d.questions as u64, 1..=256) as usize,
        ended: doc.whole("ended", d.ended as u64, 1..=256) as usize,
        connections: doc.whole("connections", d.connections as u64, 8..=4_096) as usize,
    }
}

fn couriers(doc: &ObjectReader) -> Vec<Peer> {
    let list = doc.objects("couriers", COURIERS, |doc| {
        let name = doc.text("name").unwrap_or_else(|| {
            doc.fault("name", "not set");
            String::new()
        });
        if name.len() > NAME || !name.bytes().all(|b| b.is_ascii_graphic()) {
            doc.fault("name", format!("no word of {NAME} letters at the most"));
        }
        let door = |name: &str| {
            let text = doc.text(name)?;
            text.parse().map_err(|e| doc.fault(name, format!("{text:?}: {e}"))).ok()
        };
        let (first, second) = (door("door"), door("second_door"));
        if first.is_none() {
            doc.fault("door", "it must be there");
        }
        Peer { name, doors: first.into_iter().chain(second).collect() }
    });
    let mut names = BTreeSet::new();
    // Danger: one of two of a name would be taken for the other.
    for twice in list.iter().filter(|peer| !peer.name.is_empty() && !names.insert(peer.name.clone())) {
        doc.fault("couriers", format!("two go by the name {:?}", twice.name));
    }
    list
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_file_in_deploy_holds_the_defaults_and_kinds_take_what_all_have() {
        let file = include_bytes!("../../deploy/ask.json");
        assert_eq!(parse(file).unwrap(), AskConfig::default());
        assert!(!AskConfig::default().enabled);
        let text = br#"{"worth": {"ms_costs": 2}, "kinds": {"where": {"whole": 5}}}"#;
        let read = parse(text).unwrap();
        assert_eq!((read.worth(Kind::Where).whole, read.worth(Kind::Where).ms_costs), (5.0, 2.0));
        assert_eq!(read.worth(Kind::Held).whole, 0.0);
        let text = br#"{"couriers": [{"name": "a", "door": "127.0.0.1:9901"}]}"#;
        let door = "127.0.0.1:9901".parse().unwrap();
        assert_eq!(parse(text).unwrap().couriers, [Peer { name: "a".into(), doors: vec![door] }]);
    }

    #[test]
    fn every_fault_is_named_by_its_path() {
        let text = br#"{"worth": {"share": 0}, "prior": {"spread": 9}, "kinds": {"wher": {}},
            "couriers": [{"name": "a", "door": "x"}, {"name": "a b", "door": "127.0.0.1:1"}, {"name": "a"}]}"#;
        let faults: Vec<String> = parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        let expected = [
            "worth.share: no answer is worth anything",
            "kinds.wher: no such setting",
            "prior.spread: 9 is not within 0.1 to 4",
            "couriers[0].door: \"x\": invalid socket address syntax",
            "couriers[0].door: it must be there",
            "couriers[1].name: no word of 64 letters at the most",
            "couriers[2].door: it must be there",
            "couriers: two go by the name \"a\"",
        ];
        assert_eq!(faults, expected);
    }
}
