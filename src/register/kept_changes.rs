//! The change log of the kept copy: changes of discovery's list that are applied before the whole list is written again. Each
//! is appended before it takes effect, so a process that starts while discovery is down goes by no older list than the process
//! before it did.
//!
//! The file has one line for each change: the CRC-32 of a JSON object, and the object. Changes are numbered, and the kept copy
//! says up to which number it has them. If a change cannot be kept, the log says that the list is outdated: a next process
//! would send messages to endpoints that have become another destination's, so it starts without a list.

use super::kept_copy::{self, KeptList};
use super::list::{DiscoveryList, Instance};
use super::EndpointRecord;
use crate::api::Micros;
use crate::json;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

/// Disk space of the log: some 150 changes of an endpoint.
pub const MAX_LOG_BYTES: u64 = 32 * 1024;
/// Room in the log that only the entry for an outdated list may use.
const OUTDATED_ENTRY_BYTES: u64 = 256;
const FILE_NAME: &str = "register.changes";

/// What the log says of one change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Entry {
    /// Number of the change.
    sequence: u64,
    /// Discovery's version of the list with this change.
    generation: u64,
    /// When discovery sent it, in milliseconds since 1970.
    confirmed_ms: u64,
    /// The changed endpoints; `removed` ones are no longer listed.
    #[serde(default)]
    instances: Vec<Instance>,
    /// A change could not be kept: the list up to here is not to be used.
    #[serde(default)]
    outdated: bool,
}

impl Entry {
    fn to_line(&self) -> Vec<u8> {
        // Serialization cannot fail: the entry holds only numbers and strings.
        let json = serde_json::to_string(self).unwrap_or_default();
        format!("{:08x} {json}\n", crc32fast::hash(json.as_bytes())).into_bytes()
    }

    /// `None`: the line is damaged or was not written to its end.
    fn from_line(line: &[u8]) -> Option<Entry> {
        let (sum, json) = std::str::from_utf8(line).ok()?.split_once(' ')?;
        let sum = u32::from_str_radix(sum, 16).ok()?;
        if sum != crc32fast::hash(json.as_bytes()) {
            return None;
        }
        json::from_slice(json.as_bytes()).ok()
    }
}

/// The kept list as a starting process finds it.
#[derive(Debug)]
pub struct KeptListRead {
    /// The copy with the changes of the log.
    pub list: Option<KeptList>,
    /// A change to a list of this version could not be kept: neither the copy nor an older list is to be used.
    pub outdated: Option<u64>,
    /// The log, to be continued.
    pub log: ChangeLog,
    /// Lines for the operators' log.
    pub warnings: Vec<String>,
}

/// Reads the copy and the log in a folder.
pub fn read(dir: &Path) -> KeptListRead {
    let (copy, mut warnings) = kept_copy::read(dir);
    let path = dir.join(FILE_NAME);
    let bytes = match read_log(&path) {
        Ok(bytes) => bytes,
        Err(e) => {
            warnings.push(format!("{} is passed over: {e}", path.display()));
            Vec::new()
        }
    };
    let lines = bytes.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let entries: Vec<Option<Entry>> = lines.map(Entry::from_line).collect();
    let damaged = entries.iter().filter(|entry| entry.is_none()).count();
    if damaged > 0 {
        warnings.push(format!("{}: {damaged} changes can't be read", path.display()));
    }
    let entries: Vec<Entry> = entries.into_iter().flatten().collect();
    let copy_sequence = copy.as_ref().and_then(|copy| copy.sequence);
    let last = entries.iter().map(|entry| entry.sequence).chain(copy_sequence).max().unwrap_or(0);
    // A copy without a number was written by an earlier version, which knows no log.
    let newer = match (&copy, copy_sequence) {
        (Some(_), None) => Vec::new(),
        _ => {
            let first_new = copy_sequence.map_or(0, |sequence| sequence + 1);
            entries.into_iter().filter(|entry| entry.sequence >= first_new).collect()
        }
    };
    let outdated = newer.iter().find(|entry| entry.outdated).map(|entry| entry.generation);
    let list = if outdated.is_some() { None } else { apply(copy, newer) };
    let log = ChangeLog {
        path,
        file: None,
        length: bytes.len() as u64,
        ends_in_line: bytes.last().is_none_or(|byte| *byte == b'\n'),
        sequence: last,
        outdated: outdated.is_some(),
    };
    KeptListRead { list, outdated, log, warnings }
}

/// Reads the log; there need not be one.
fn read_log(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    match File::open(path) {
        Ok(file) => file.take(2 * MAX_LOG_BYTES).read_to_end(&mut bytes).map(|_| bytes),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(bytes),
        Err(e) => Err(e),
    }
}

/// The copy with these changes, in their order.
fn apply(copy: Option<KeptList>, changes: Vec<Entry>) -> Option<KeptList> {
    if changes.is_empty() {
        return copy;
    }
    let KeptList { mut confirmed_ms, sequence, list } = copy.unwrap_or_default();
    let (mut sequence, mut generation) = (sequence.unwrap_or(0), list.generation);
    let named = |instance: Instance| (instance.instance_id.clone(), instance);
    let mut instances: BTreeMap<String, Instance> = list.instances.into_iter().map(named).collect();
    let mut complete = true;
    for change in changes {
        // Behind a missing change discovery must be asked from the version before it, so that it tells that change again.
        complete &= change.sequence == sequence + 1;
        sequence = change.sequence;
        if complete {
            generation = change.generation;
        }
        confirmed_ms = change.confirmed_ms;
        for instance in change.instances {
            match instance.is_removed() {
                true => drop(instances.remove(&instance.instance_id)),
                false => drop(instances.insert(instance.instance_id.clone(), instance)),
            }
        }
    }
    let list = DiscoveryList { generation, reset: true, instances: instances.into_values().collect() };
    Some(KeptList { confirmed_ms, sequence: Some(sequence), list })
}

/// The log of one folder, opened for appending.
#[derive(Debug)]
pub struct ChangeLog {
    path: PathBuf,
    file: Option<File>,
    length: u64,
    /// The last line is complete.
    ends_in_line: bool,
    /// Number of the last change, kept or not.
    sequence: u64,
    /// The log says that the list is outdated.
    outdated: bool,
}

impl ChangeLog {
    /// Number of the last change.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether a change could not be kept, so that the whole list must be written as soon as possible.
    pub fn needs_copy(&self) -> bool {
        self.outdated
    }

    /// Appends a change. If it cannot be kept, the log says that the list is outdated. The error is a line for the log.
    pub fn append(
        &mut self, confirmed_at: Micros, generation: u64, records: &[EndpointRecord],
    ) -> Result<(), String> {
        self.sequence += 1;
        if self.outdated {
            return Ok(());
        }
        let instances = records.iter().map(Instance::from_record).collect();
        let (sequence, confirmed_ms) = (self.sequence, confirmed_at.0 / 1000);
        let entry = Entry { sequence, generation, confirmed_ms, instances, outdated: false };
        let line = entry.to_line();
        if !self.has_room(&line, MAX_LOG_BYTES - OUTDATED_ENTRY_BYTES) {
            // Nothing to report: the whole list is written next.
            return self.mark_outdated(&entry);
        }
        let Err(reason) = self.write_line(&line) else { return Ok(()) };
        self.mark_outdated(&entry)?;
        Err(format!("a change of the list could not be kept: {reason}"))
    }

    /// Says in the log that this change is not in it.
    fn mark_outdated(&mut self, missing: &Entry) -> Result<(), String> {
        self.outdated = true;
        let mark = Entry { instances: Vec::new(), outdated: true, ..missing.clone() }.to_line();
        // A full disk may have room for the mark in place of the changes, which are of no use with it.
        let marked = self.write_line(&mark).or_else(|_| {
            self.clear()?;
            self.write_line(&mark)
        });
        marked.map_err(|e| {
            format!("{}: that the kept list is outdated could not be said: {e}", self.path.display())
        })
    }

    fn has_room(&self, line: &[u8], max_length: u64) -> bool {
        self.length + line.len() as u64 <= max_length
    }

    /// The whole list was written with all changes up to this number.
    pub fn copy_written(&mut self, sequence: u64) {
        if sequence == self.sequence {
            self.outdated = false;
            // If the file stays, its changes are passed over by their numbers.
            let _ = self.clear();
        }
    }

    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        if !self.has_room(line, MAX_LOG_BYTES) {
            return Err(ErrorKind::StorageFull.into());
        }
        let ends_in_line = std::mem::replace(&mut self.ends_in_line, false);
        let file = self.open()?;
        if !ends_in_line {
            file.write_all(b"\n")?;
        }
        file.write_all(line)?;
        self.length += line.len() as u64 + u64::from(!ends_in_line);
        self.ends_in_line = true;
        Ok(())
    }

    fn clear(&mut self) -> io::Result<()> {
        if self.length > 0 || !self.ends_in_line {
            self.open()?.set_len(0)?;
        }
        (self.length, self.ends_in_line) = (0, true);
        Ok(())
    }

    fn open(&mut self) -> io::Result<&mut File> {
        if self.file.is_none() {
            self.file = Some(OpenOptions::new().create(true).append(true).open(&self.path)?);
        }
        self.file.as_mut().ok_or_else(|| ErrorKind::NotFound.into())
    }
}
