//! The kept copy: what discovery told, in the folder that lasts, as a [`Sealed`] file. [`Pace`] says when to write,
//! without I/O or clock; [`Keeper`] writes.

use super::list::{Instance, List, Places};
use super::ListLine;
use crate::api::Micros;
use crate::store::sealed::Sealed;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

const COPY: Sealed = Sealed { name: "register.copy", magic: "indigohold-register", version: 1 };
/// Files on disk count in whole blocks, and there are up to three at a time.
const BLOCK: u64 = 512;
const FILES: u64 = 3;

/// A list, and when it was last known to be true.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    /// In milliseconds since 1970.
    pub heard_ms: u64,
    /// The list.
    pub list: List,
}

impl Kept {
    /// When the list was last known to be true.
    pub fn heard(&self) -> Micros {
        Micros(self.heard_ms.saturating_mul(1000))
    }
}

/// The bytes of a copy.
pub fn encode(kept: &Kept) -> Vec<u8> {
    // Numbers and texts alone can't fail to be written.
    COPY.seal(&serde_json::to_vec(kept).unwrap_or_default())
}

fn read_body(body: &[u8]) -> Result<Kept, String> {
    serde_json::from_slice(body).map_err(|e| format!("damaged: {e}"))
}

/// Reads a copy back; the error says why it can't be.
pub fn decode(bytes: &[u8]) -> Result<Kept, String> {
    COPY.open(bytes).and_then(read_body)
}

/// Reads the copy of a folder: the present one, else the one before. Each that is passed over is one line.
pub fn read(dir: &Path) -> (Option<Kept>, Vec<String>) {
    COPY.read(dir, read_body)
}

/// Puts a copy in place.
pub fn write(dir: &Path, bytes: &[u8]) -> io::Result<()> {
    COPY.write(dir, bytes)
}

/// Figures of the keeping.
#[derive(Debug, Clone, PartialEq)]
pub struct KeepRules {
    /// Off: nothing is written and nothing is read.
    pub enabled: bool,
    /// Room in the folder that lasts, for the copy, the one before and the one being written.
    pub disk: u64,
    /// No sooner after the last copy than this.
    pub every: Micros,
    /// Bytes written a minute at most.
    pub bytes_a_minute: u64,
    /// A list that does not change is written again so often, for its age.
    pub refresh: Micros,
}

impl Default for KeepRules {
    fn default() -> KeepRules {
        KeepRules {
            enabled: true,
            disk: 192 * 1024,
            every: Micros(2_000_000),
            bytes_a_minute: 256 * 1024,
            refresh: Micros(30_000_000),
        }
    }
}

impl KeepRules {
    /// The longest copy that fits.
    pub fn longest(&self) -> u64 {
        (self.disk / FILES) / BLOCK * BLOCK
    }

    /// Bytes that copies of this length take on disk.
    pub fn on_disk(bytes: u64) -> u64 {
        bytes.div_ceil(BLOCK) * BLOCK * FILES
    }
}

/// When a copy is due.
#[derive(Debug, Default)]
pub struct Pace {
    next: Micros,
    wrote: Option<(u64, Micros)>,
    failures: u32,
}

impl Pace {
    /// Whether this edition of the list, true at `heard`, is to be written now.
    pub fn due(&self, now: Micros, edition: u64, heard: Micros, rules: &KeepRules) -> bool {
        let changed = self.wrote.is_none_or(|(e, _)| e != edition);
        let aged = self.wrote.is_none_or(|(_, h)| heard >= h + rules.refresh);
        now >= self.next && (changed || aged)
    }

    /// It has been written. The bytes of a minute are spread over it.
    pub fn wrote(&mut self, now: Micros, edition: u64, heard: Micros, bytes: u64, rules: &KeepRules) {
        let pause = Micros::from_secs(bytes as f64 * 60.0 / rules.bytes_a_minute.max(1) as f64);
        self.next = now + pause.max(rules.every);
        self.wrote = Some((edition, heard));
        self.failures = 0;
    }

    /// It could not be written: the pause doubles, up to a minute.
    pub fn failed(&mut self, now: Micros, rules: &KeepRules) {
        let pause = rules.every.max(Micros(1_000_000)).scale(2f64.powi(self.failures.min(16) as i32));
        self.next = now + pause.min(Micros(60_000_000));
        self.failures += 1;
    }
}

/// A list to be kept, as the register has it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Edition {
    /// Raised with each change.
    pub number: u64,
    /// Its version at discovery.
    pub generation: u64,
    /// When it was last known to be true.
    pub heard: Micros,
    /// Its lines.
    pub lines: Vec<ListLine>,
}

/// Keeps the copy of one folder.
pub struct Keeper {
    dir: PathBuf,
    rules: KeepRules,
    places: Places,
    pace: Pace,
    too_long: bool,
}

impl Keeper {
    /// For this folder.
    pub fn new(dir: &Path, rules: KeepRules, places: Places) -> Keeper {
        Keeper { dir: dir.to_owned(), rules, places, pace: Pace::default(), too_long: false }
    }

    /// Whether an edition is due.
    pub fn due(&self, now: Micros, number: u64, heard: Micros) -> bool {
        self.rules.enabled && self.pace.due(now, number, heard, &self.rules)
    }

    /// Writes an edition. `free`: bytes that the journal leaves in the folder. `Some`: a line for the log.
    pub fn keep(&mut self, now: Micros, edition: &Edition, free: u64) -> Option<String> {
        let instances = edition.lines.iter().map(|l| Instance::of(l, &self.places)).collect();
        let list = List { generation: edition.generation, reset: true, instances };
        let bytes = encode(&Kept { heard_ms: edition.heard.0 / 1000, list });
        let length = bytes.len() as u64;
        if length > self.rules.longest() || KeepRules::on_disk(length) > free {
            self.pace.failed(now, &self.rules);
            let first = !std::mem::replace(&mut self.too_long, true);
            return first.then(|| {
                format!(
                    "the list of {} backends is not kept: {length} bytes, and {} are free for it",
                    edition.lines.len(),
                    self.rules.longest().min(free / FILES)
                )
            });
        }
        self.too_long = false;
        match write(&self.dir, &bytes) {
            Ok(()) => {
                self.pace.wrote(now, edition.number, edition.heard, length, &self.rules);
                None
            }
            Err(e) => {
                self.pace.failed(now, &self.rules);
                Some(format!("the list could not be kept in {}: {e}", self.dir.display()))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn a_copy_is_written_at_its_pace() {
        let rules = KeepRules { bytes_a_minute: 60_000, ..KeepRules::default() };
        let mut pace = Pace::default();
        assert!(pace.due(Micros(0), 1, Micros(0), &rules));
        pace.wrote(Micros(0), 1, Micros(0), 10_000, &rules);
        assert!(!pace.due(Micros(9 * S), 2, Micros(9 * S), &rules), "ten seconds' worth of bytes");
        assert!(pace.due(Micros(10 * S), 2, Micros(10 * S), &rules));
        assert!(!pace.due(Micros(29 * S), 1, Micros(29 * S), &rules), "nothing has changed");
        assert!(pace.due(Micros(30 * S), 1, Micros(30 * S), &rules), "but its age has");
        let mut writes = 0;
        for ms in 0..60_000 {
            let now = Micros(ms * 1000);
            if pace.due(now, ms, now, &rules) {
                pace.wrote(now, ms, now, 10_000, &rules);
                writes += 1;
            }
        }
        assert!(writes * 10_000 <= 60_000, "{writes} copies in a minute of churn");
        pace.failed(Micros(0), &rules);
        pace.failed(Micros(0), &rules);
        assert!(
            !pace.due(Micros(4 * S - 1), 9_999_999, Micros(0), &rules),
            "a full disk is left alone for longer"
        );
    }
}
