//! The operators' settings for questions to the fleet, `deploy/ask.json`. Without the file, questions are disabled.

use super::Kind;
use crate::api::Micros;
use crate::checked::{self, Fault, ObjectReader};
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// The value of an answer, in units that the operators choose.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerValue {
    /// Value of all parts together; each part has its weight's fraction of it.
    pub share_value: f64,
    /// Added where no part is missing.
    pub completeness_bonus: f64,
    /// Cost of one millisecond of waiting.
    pub cost_per_ms: f64,
    /// No question waits longer than this.
    pub max_wait: Micros,
}

/// The log-normal latency that is assumed before there is evidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prior {
    /// Half of the answers arrive by this time.
    pub median: Micros,
    /// Standard deviation of the logarithm.
    pub log_std_dev: f64,
    /// The prior has the weight of this number of answers.
    pub equivalent_answers: f64,
}

/// How much of the measured latencies is remembered, and for how long.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LatencyMemory {
    /// Answers of one courier to one kind of question; older evidence decays.
    pub answers: f64,
    /// After this time evidence has half of its weight.
    pub half_life: Micros,
    /// Maximum number of couriers; beyond it, the one with the oldest evidence is evicted.
    pub max_couriers: usize,
    /// How long after the end of a question answers still arrive and count as evidence; 0 where the caller closes the
    /// connections at the end. If this exceeds the time for which the caller keeps them open, each courier that was no longer
    /// waited for is recorded as never answering.
    pub linger: Micros,
}

/// Limits on what runs at the same time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Questions at a time.
    pub questions: usize,
    /// Ended questions whose late answers are still recorded. The parts of each are bounded by the number of couriers.
    pub ended_questions: usize,
    /// Connections to other couriers.
    pub connections: usize,
}

/// A courier that may be asked. Its number is its index in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FleetMember {
    /// Its name, as in its own settings.
    pub name: String,
    /// The address of its admin server, and, if it differs, the one that its next version has during and after a handover.
    pub admin_addresses: Vec<SocketAddr>,
}

/// The settings in the file.
#[derive(Debug, Clone, PartialEq)]
pub struct AskConfig {
    /// Whether questions are asked and answered.
    pub enabled: bool,
    /// By kind, in the order of [`Kind::ALL`].
    pub answer_values: [AnswerValue; Kind::ALL.len()],
    /// The latency assumed before there is evidence.
    pub prior: Prior,
    /// How much of the measured latencies is remembered.
    pub latency_memory: LatencyMemory,
    /// Limits on what runs at the same time.
    pub limits: Limits,
    /// All couriers of the fleet. Each courier must have the same list in the same order.
    pub couriers: Vec<FleetMember>,
}

/// Maximum number of couriers in the file.
const MAX_COURIERS: usize = 1_024;
/// Maximum length of a courier's name.
const MAX_NAME_BYTES: usize = 64;

const DEFAULT_ANSWER_VALUE: AnswerValue = AnswerValue {
    share_value: 1.0,
    completeness_bonus: 0.0,
    cost_per_ms: 0.001,
    max_wait: Micros(2_000_000),
};

impl Default for AskConfig {
    fn default() -> AskConfig {
        AskConfig {
            enabled: false,
            answer_values: [DEFAULT_ANSWER_VALUE; Kind::ALL.len()],
            prior: Prior { median: Micros(20_000), log_std_dev: 1.5, equivalent_answers: 1.0 },
            latency_memory: LatencyMemory {
                answers: 32.0,
                half_life: Micros(3_600_000_000),
                max_couriers: 1_024,
                linger: Micros(10_000_000),
            },
            limits: Limits { questions: 16, ended_questions: 64, connections: 256 },
            couriers: Vec::new(),
        }
    }
}

impl AskConfig {
    /// The value of an answer to this kind.
    pub fn answer_value(&self, kind: Kind) -> &AnswerValue {
        &self.answer_values[kind as usize]
    }

    /// The index of the courier with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.couriers.iter().position(|member| member.name == name)
    }

    /// Limits the connections to at most `connections`; an error if these are too few to reach every other courier.
    pub fn with_max_connections(mut self, connections: usize) -> Result<AskConfig, String> {
        self.limits.connections = self.limits.connections.min(connections);
        let others = self.couriers.len().saturating_sub(1);
        match others > self.limits.connections {
            true => Err(format!(
                "couriers: {others} others, and {} connections for them",
                self.limits.connections
            )),
            false => Ok(self),
        }
    }
}

/// Reads the file. The error lists everything that is wrong with it.
pub fn read(path: &Path) -> Result<AskConfig, Vec<Fault>> {
    match std::fs::read(path) {
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(AskConfig::default()),
        Err(e) => Err(vec![Fault { path: String::new(), what: e.to_string() }]),
        Ok(bytes) => parse(&bytes),
    }
}

/// Parses the file's text. The error lists everything that is wrong with it.
pub fn parse(bytes: &[u8]) -> Result<AskConfig, Vec<Fault>> {
    checked::read(bytes, |doc| {
        let d = AskConfig::default();
        let all = doc
            .object("worth", |doc| answer_value(doc, &DEFAULT_ANSWER_VALUE))
            .unwrap_or(DEFAULT_ANSWER_VALUE);
        let mut by_kind = [all; Kind::ALL.len()];
        doc.object("kinds", |doc| {
            for (name, kind) in Kind::ALL {
                by_kind[kind as usize] = doc.object(name, |doc| answer_value(doc, &all)).unwrap_or(all);
            }
        });
        AskConfig {
            enabled: doc.flag("enabled", d.enabled),
            answer_values: by_kind,
            prior: doc.object("prior", |doc| prior(doc, &d.prior)).unwrap_or(d.prior),
            latency_memory: doc
                .object("memory", |doc| latency_memory(doc, &d.latency_memory))
                .unwrap_or(d.latency_memory),
            limits: doc.object("most", |doc| limits(doc, &d.limits)).unwrap_or(d.limits),
            couriers: couriers(doc),
        }
    })
}

fn millis(doc: &ObjectReader, name: &str, default: Micros, range: RangeInclusive<f64>) -> Micros {
    Micros::from_secs(doc.number(name, default.0 as f64 / 1e3, range) / 1e3)
}

fn answer_value(doc: &ObjectReader, d: &AnswerValue) -> AnswerValue {
    let value = AnswerValue {
        share_value: doc.number("share", d.share_value, 0.0..=1e9),
        completeness_bonus: doc.number("whole", d.completeness_bonus, 0.0..=1e9),
        cost_per_ms: doc.number("ms_costs", d.cost_per_ms, 0.0..=1e9),
        max_wait: millis(doc, "hard_ms", d.max_wait, 1.0..=16_000.0),
    };
    if value.share_value + value.completeness_bonus <= 0.0 {
        doc.fault("share", "`share` and `whole` must not both be 0");
    }
    value
}

fn prior(doc: &ObjectReader, d: &Prior) -> Prior {
    Prior {
        median: millis(doc, "median_ms", d.median, 1.0..=16_000.0),
        log_std_dev: doc.number("spread", d.log_std_dev, 0.1..=4.0),
        equivalent_answers: doc.number("counts_as", d.equivalent_answers, 0.1..=100.0),
    }
}

fn latency_memory(doc: &ObjectReader, d: &LatencyMemory) -> LatencyMemory {
    LatencyMemory {
        answers: doc.number("answers", d.answers, 4.0..=10_000.0),
        half_life: Micros::from_secs(doc.number("half_life_s", d.half_life.secs(), 1.0..=1e7)),
        max_couriers: doc.whole("couriers", d.max_couriers as u64, 1..=4_096) as usize,
        linger: millis(doc, "linger_ms", d.linger, 0.0..=60_000.0),
    }
}

fn limits(doc: &ObjectReader, d: &Limits) -> Limits {
    Limits {
        questions: doc.whole("questions", d.questions as u64, 1..=256) as usize,
        ended_questions: doc.whole("ended", d.ended_questions as u64, 1..=256) as usize,
        connections: doc.whole("connections", d.connections as u64, 8..=4_096) as usize,
    }
}

fn couriers(doc: &ObjectReader) -> Vec<FleetMember> {
    let list = doc.objects("couriers", MAX_COURIERS, |doc| {
        let name = doc.text("name").unwrap_or_else(|| {
            doc.fault("name", "not set");
            String::new()
        });
        if name.len() > MAX_NAME_BYTES || !name.bytes().all(|b| b.is_ascii_graphic()) {
            doc.fault("name", format!("must be one word of at most {MAX_NAME_BYTES} ASCII characters"));
        }
        let address = |name: &str| {
            let text = doc.text(name)?;
            text.parse().map_err(|e| doc.fault(name, format!("{text:?}: {e}"))).ok()
        };
        let (first, second) = (address("door"), address("second_door"));
        if first.is_none() {
            doc.fault("door", "must be set to a valid address");
        }
        FleetMember { name, admin_addresses: first.into_iter().chain(second).collect() }
    });
    let mut names = BTreeSet::new();
    // Names must be unique: answers of one of two couriers with the same name would be credited to the other.
    for duplicate in
        list.iter().filter(|member| !member.name.is_empty() && !names.insert(member.name.clone()))
    {
        doc.fault("couriers", format!("two couriers have the name {:?}", duplicate.name));
    }
    list
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn deployed_file_matches_the_defaults_and_kinds_inherit_the_common_values() {
        let file = include_bytes!("../../deploy/ask.json");
        assert_eq!(parse(file).unwrap(), AskConfig::default());
        assert!(!AskConfig::default().enabled);
        let text = br#"{"worth": {"ms_costs": 2}, "kinds": {"where": {"whole": 5}}}"#;
        let config = parse(text).unwrap();
        assert_eq!(
            (
                config.answer_value(Kind::Where).completeness_bonus,
                config.answer_value(Kind::Where).cost_per_ms
            ),
            (5.0, 2.0)
        );
        assert_eq!(config.answer_value(Kind::Held).completeness_bonus, 0.0);
        let text = br#"{"couriers": [{"name": "a", "door": "127.0.0.1:9901"}]}"#;
        let address = "127.0.0.1:9901".parse().unwrap();
        assert_eq!(
            parse(text).unwrap().couriers,
            [FleetMember { name: "a".into(), admin_addresses: vec![address] }]
        );
    }

    #[test]
    fn every_fault_is_named_by_its_path() {
        let text = br#"{"worth": {"share": 0}, "prior": {"spread": 9}, "kinds": {"wher": {}},
            "couriers": [{"name": "a", "door": "x"}, {"name": "a b", "door": "127.0.0.1:1"}, {"name": "a"}]}"#;
        let faults: Vec<String> = parse(text).unwrap_err().iter().map(ToString::to_string).collect();
        let expected = [
            "worth.share: `share` and `whole` must not both be 0",
            "kinds.wher: no such setting",
            "prior.spread: 9 is not within 0.1 to 4",
            "couriers[0].door: \"x\": invalid socket address syntax",
            "couriers[0].door: must be set to a valid address",
            "couriers[1].name: must be one word of at most 64 ASCII characters",
            "couriers[2].door: must be set to a valid address",
            "couriers: two couriers have the name \"a\"",
        ];
        assert_eq!(faults, expected);
    }
}
