//! The kept copy: the last list of discovery, in a [`ChecksummedFile`] in the state folder. [`WriteSchedule`] decides when
//! to write, without I/O or clock; [`KeptCopyWriter`] writes.

use super::list::{DiscoveryList, Instance};
use super::EndpointRecord;
use crate::api::Micros;
use crate::json;
use crate::store::checksummed_file::ChecksummedFile;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};

const COPY_FILE: ChecksummedFile =
    ChecksummedFile { name: "register.copy", magic: "indigohold-register", version: 1 };
/// Files take up whole blocks of the disk.
const DISK_BLOCK_BYTES: u64 = 512;
/// The present copy, the one before and the one that is being written.
const MAX_FILES: u64 = 3;
/// Pause after the first failed write, unless `min_interval` is longer.
const FIRST_RETRY_INTERVAL: Micros = Micros(1_000_000);
/// Longest pause after a failed write.
const MAX_RETRY_INTERVAL: Micros = Micros(60_000_000);
/// Bound on the exponent of that pause.
const MAX_RETRY_DOUBLINGS: u32 = 16;

/// A list as it is stored, and when it was last confirmed.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
#[serde(rename = "Kept")] // the name in parse errors
pub struct KeptList {
    /// When discovery last confirmed the list, in milliseconds since 1970.
    #[serde(rename = "heard_ms")]
    pub confirmed_ms: u64,
    /// Number of the last change that the list has, as the [change log](super::kept_changes) counts them. Earlier versions write
    /// none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
    /// The list.
    pub list: DiscoveryList,
}

impl KeptList {
    /// When discovery last confirmed the list.
    pub fn confirmed_at(&self) -> Micros {
        Micros(self.confirmed_ms.saturating_mul(1000))
    }
}

/// The content of the file for a list.
pub fn encode(kept: &KeptList) -> Vec<u8> {
    // Serialization cannot fail: the list holds only numbers and strings.
    COPY_FILE.encode(&serde_json::to_vec(kept).unwrap_or_default())
}

fn read_body(body: &[u8]) -> Result<KeptList, String> {
    json::from_slice(body).map_err(|e| format!("damaged: {e}"))
}

/// Decodes the content of the file; the error is the reason why it cannot be used.
pub fn decode(bytes: &[u8]) -> Result<KeptList, String> {
    COPY_FILE.decode(bytes).and_then(read_body)
}

/// Reads the copy in a folder, or the one before if that is damaged. Also returns a log line for each file that was
/// skipped.
pub fn read(dir: &Path) -> (Option<KeptList>, Vec<String>) {
    COPY_FILE.read(dir, read_body)
}

/// Replaces the copy in a folder.
pub fn write(dir: &Path, bytes: &[u8]) -> io::Result<()> {
    COPY_FILE.write(dir, bytes)
}

/// Parameters of the kept copy.
#[derive(Debug, Clone, PartialEq)]
pub struct KeptCopyRules {
    /// Whether a copy is written and read at all.
    pub enabled: bool,
    /// Disk space for the present copy, the one before and the one that is being written.
    pub disk_bytes: u64,
    /// Shortest interval between two writes.
    pub min_interval: Micros,
    /// Limit on the bytes written per minute.
    pub max_bytes_per_minute: u64,
    /// Interval at which an unchanged list is written again, to keep its age up to date.
    pub refresh_interval: Micros,
}

impl Default for KeptCopyRules {
    fn default() -> KeptCopyRules {
        KeptCopyRules {
            enabled: true,
            disk_bytes: 192 * 1024,
            min_interval: Micros(2_000_000),
            max_bytes_per_minute: 256 * 1024,
            refresh_interval: Micros(30_000_000),
        }
    }
}

impl KeptCopyRules {
    /// The longest copy that fits into the disk space.
    pub fn max_copy_bytes(&self) -> u64 {
        (self.disk_bytes / MAX_FILES) / DISK_BLOCK_BYTES * DISK_BLOCK_BYTES
    }

    /// Disk space that copies of this length take.
    pub fn bytes_on_disk(copy_bytes: u64) -> u64 {
        copy_bytes.div_ceil(DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES * MAX_FILES
    }
}

/// Decides when a copy is due.
#[derive(Debug, Default)]
pub struct WriteSchedule {
    next_write: Micros,
    /// Revision of the last written list, and when that list was confirmed.
    last_written: Option<(u64, Micros)>,
    failures: u32,
}

impl WriteSchedule {
    /// Whether this revision of the list must be written now.
    pub fn due(&self, now: Micros, revision: u64, confirmed_at: Micros, rules: &KeptCopyRules) -> bool {
        let changed = self.last_written.is_none_or(|(last, _)| last != revision);
        let aged = self.last_written.is_none_or(|(_, last)| confirmed_at >= last + rules.refresh_interval);
        now >= self.next_write && (changed || aged)
    }

    /// Whether the last write failed.
    pub fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records a successful write. The pause that follows keeps to the limit on bytes per minute.
    pub fn record_write(
        &mut self, now: Micros, revision: u64, confirmed_at: Micros, bytes: u64, rules: &KeptCopyRules,
    ) {
        let pause = Micros::from_secs(bytes as f64 * 60.0 / rules.max_bytes_per_minute.max(1) as f64);
        self.next_write = now + pause.max(rules.min_interval);
        self.last_written = Some((revision, confirmed_at));
        self.failures = 0;
    }

    /// Records a failed write. The pause that follows doubles with each failure, up to a minute.
    pub fn record_failure(&mut self, now: Micros, rules: &KeptCopyRules) {
        let doublings = self.failures.min(MAX_RETRY_DOUBLINGS) as i32;
        let pause = rules.min_interval.max(FIRST_RETRY_INTERVAL).scale(2f64.powi(doublings));
        self.next_write = now + pause.min(MAX_RETRY_INTERVAL);
        self.failures += 1;
    }
}

/// Discovery's list as the registry holds it, for the kept copy and for the hand-over to a new process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListSnapshot {
    /// Raised with each update from discovery.
    #[serde(rename = "number")]
    pub revision: u64,
    /// Discovery's version of the list.
    pub generation: u64,
    /// When discovery last confirmed the list.
    #[serde(rename = "heard")]
    pub confirmed_at: Micros,
    /// The endpoints, by name.
    #[serde(rename = "lines")]
    pub records: Vec<EndpointRecord>,
}

/// The list was not written.
#[derive(Debug, PartialEq)]
pub struct NotWritten {
    /// Why, for the operators' log; `None`: it was logged before.
    pub log_line: Option<String>,
}

/// Writes the copy in one folder.
pub struct KeptCopyWriter {
    dir: PathBuf,
    rules: KeptCopyRules,
    schedule: WriteSchedule,
    /// Whether the last list did not fit, so that this is logged only once.
    too_long: bool,
}

impl KeptCopyWriter {
    /// Creates the writer for a folder.
    pub fn new(dir: &Path, rules: KeptCopyRules) -> KeptCopyWriter {
        KeptCopyWriter { dir: dir.to_owned(), rules, schedule: WriteSchedule::default(), too_long: false }
    }

    /// Whether this revision of the list must be written now.
    pub fn due(&self, now: Micros, revision: u64, confirmed_at: Micros) -> bool {
        self.rules.enabled && self.schedule.due(now, revision, confirmed_at, &self.rules)
    }

    /// Whether the list must be written although it is too soon, because a change of it could not be kept. After a failed write
    /// the pause is kept all the same.
    pub fn may_write_early(&self) -> bool {
        self.rules.enabled && !self.schedule.has_failed()
    }

    /// Writes a list that has all changes up to the number `sequence`. `free`: bytes in the folder that the journal does not
    /// take.
    pub fn write(
        &mut self, now: Micros, snapshot: &ListSnapshot, sequence: u64, free: u64,
    ) -> Result<(), NotWritten> {
        let instances = snapshot.records.iter().map(Instance::from_record).collect();
        let list = DiscoveryList { generation: snapshot.generation, reset: true, instances };
        let confirmed_ms = snapshot.confirmed_at.0 / 1000;
        let bytes = encode(&KeptList { confirmed_ms, sequence: Some(sequence), list });
        let length = bytes.len() as u64;
        if length > self.rules.max_copy_bytes() || KeptCopyRules::bytes_on_disk(length) > free {
            self.schedule.record_failure(now, &self.rules);
            let first = !std::mem::replace(&mut self.too_long, true);
            let reason = format!(
                "the list of {} backends is not kept: {length} bytes, and {} are free for it",
                snapshot.records.len(),
                self.rules.max_copy_bytes().min(free / MAX_FILES)
            );
            return Err(NotWritten { log_line: first.then_some(reason) });
        }
        self.too_long = false;
        match write(&self.dir, &bytes) {
            Ok(()) => {
                self.schedule.record_write(
                    now,
                    snapshot.revision,
                    snapshot.confirmed_at,
                    length,
                    &self.rules,
                );
                Ok(())
            }
            Err(e) => {
                self.schedule.record_failure(now, &self.rules);
                let log_line = format!("the list could not be kept in {}: {e}", self.dir.display());
                Err(NotWritten { log_line: Some(log_line) })
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;

    #[test]
    fn writes_keep_to_the_limit_on_bytes_per_minute() {
        let rules = KeptCopyRules { max_bytes_per_minute: 60_000, ..KeptCopyRules::default() };
        let mut schedule = WriteSchedule::default();
        assert!(schedule.due(Micros(0), 1, Micros(0), &rules));
        schedule.record_write(Micros(0), 1, Micros(0), 10_000, &rules);
        assert!(!schedule.due(Micros(9 * S), 2, Micros(9 * S), &rules), "10 000 bytes use up 10 s");
        assert!(schedule.due(Micros(10 * S), 2, Micros(10 * S), &rules));
        assert!(!schedule.due(Micros(29 * S), 1, Micros(29 * S), &rules), "nothing has changed");
        assert!(schedule.due(Micros(30 * S), 1, Micros(30 * S), &rules), "the stored age is out of date");
        let mut writes = 0;
        for ms in 0..60_000 {
            let now = Micros(ms * 1000);
            if schedule.due(now, ms, now, &rules) {
                schedule.record_write(now, ms, now, 10_000, &rules);
                writes += 1;
            }
        }
        assert!(writes * 10_000 <= 60_000, "{writes} copies in a minute of churn");
        schedule.record_failure(Micros(0), &rules);
        schedule.record_failure(Micros(0), &rules);
        assert!(
            !schedule.due(Micros(4 * S - 1), 9_999_999, Micros(0), &rules),
            "the pause doubles on a full disk"
        );
    }
}
