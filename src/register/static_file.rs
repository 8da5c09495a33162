//! The operators' static file: a list in discovery's format, read again whenever it changes. If it cannot be read, the
//! last valid content stays in effect, in this process and, by a copy in the state folder, in the next one.

use super::list::{DiscoveryList, ParsedList};
use super::{ListUpdate, Source};
use crate::api::Micros;
use crate::file_version::FileVersion;
use crate::json;
use crate::store::checksummed_file::ChecksummedFile;
use serde::{Deserialize, Serialize};
use std::fs;
use std::path::{Path, PathBuf};

/// Longest file that is read.
const MAX_FILE_BYTES: u64 = 16 << 20;
/// Longest copy that is kept: some 450 endpoints.
const MAX_COPY_BYTES: usize = 64 * 1024;
/// Disk space for the copy, the one before and the one that is being written.
pub const COPY_DISK_BYTES: u64 = 3 * MAX_COPY_BYTES as u64;
const COPY_FILE: ChecksummedFile =
    ChecksummedFile { name: "static.copy", magic: "indigohold-static", version: 1 };

/// The last valid content, and of which file.
#[derive(Serialize, Deserialize)]
struct KeptContent {
    path: PathBuf,
    list: DiscoveryList,
}

/// The file, and its state at the last read.
pub struct StaticFile {
    path: PathBuf,
    /// Where the copy is kept.
    state_dir: PathBuf,
    last_seen: Option<FileVersion>,
    /// The first read is done, and if it failed, the copy is in effect.
    started: bool,
    missing: bool,
}

impl StaticFile {
    /// Creates the reader of a file; nothing is read yet.
    pub fn new(path: PathBuf, state_dir: &Path) -> StaticFile {
        let state_dir = state_dir.to_owned();
        StaticFile { path, state_dir, last_seen: None, started: false, missing: false }
    }

    /// Reads the file if it has changed since the last read. A file that was deleted changes nothing; to remove its
    /// endpoints the operators write an empty list. If the first read fails, what an earlier process kept is returned.
    pub fn read_if_changed(&mut self, now: Micros) -> Option<ListUpdate> {
        let update = match self.read_new_content(now) {
            None if !self.started => self.read_copy(now),
            read => read,
        };
        self.started = true;
        update
    }

    fn read_new_content(&mut self, now: Micros) -> Option<ListUpdate> {
        let path = self.path.display();
        let version = match FileVersion::of(&self.path) {
            Ok(version) => version,
            Err(e) => {
                if !std::mem::replace(&mut self.missing, true) {
                    tracing::warn!(target: "register", "the static file {path}: {e}; its last content stays in effect");
                }
                return None;
            }
        };
        self.missing = false;
        if self.last_seen.replace(version) == Some(version) {
            return None;
        }
        let parsed = match version.length {
            length if length > MAX_FILE_BYTES => Err(format!("more than {MAX_FILE_BYTES} bytes")),
            _ => fs::read(&self.path).map_err(|e| e.to_string()).and_then(|bytes| ParsedList::parse(&bytes)),
        };
        match parsed {
            Ok(parsed) => {
                self.write_copy(&parsed.list);
                let update = into_update(parsed, now);
                if !update.unreadable.is_empty() {
                    let count = update.unreadable.len();
                    tracing::warn!(target: "register", "the static file {path}: {count} entries can't be read");
                }
                Some(update)
            }
            Err(e) => {
                tracing::warn!(target: "register", "the static file {path}: {e}; what it said before stays");
                None
            }
        }
    }

    /// Keeps the content before it takes effect.
    fn write_copy(&self, list: &DiscoveryList) {
        let kept = KeptContent { path: self.path.clone(), list: list.clone() };
        // Serialization cannot fail: the list holds only numbers and strings, and the path comes from a JSON file.
        let bytes = COPY_FILE.encode(&serde_json::to_vec(&kept).unwrap_or_default());
        let written = match bytes.len() {
            length if length > MAX_COPY_BYTES => {
                Err(format!("{length} bytes, and {MAX_COPY_BYTES} can be kept"))
            }
            _ => COPY_FILE.write(&self.state_dir, &bytes).map_err(|e| e.to_string()),
        };
        if let Err(e) = written {
            let path = self.path.display();
            tracing::warn!(target: "register", "the static file {path}: it can't be kept for the next start: {e}");
        }
    }

    fn read_copy(&self, now: Micros) -> Option<ListUpdate> {
        let parse = |body: &[u8]| json::from_slice::<KeptContent>(body).map_err(|e| e.to_string());
        let (kept, warnings) = COPY_FILE.read(&self.state_dir, parse);
        warnings.iter().for_each(|warning| tracing::warn!(target: "register", "{warning}"));
        let kept = kept.filter(|kept| kept.path == self.path)?;
        Some(into_update(ParsedList { list: kept.list, unreadable: Vec::new() }, now))
    }
}

/// The file is always a full list, whatever its `reset` field says.
fn into_update(parsed: ParsedList, now: Micros) -> ListUpdate {
    ListUpdate { is_full_list: true, ..parsed.into_update(Source::Static, now) }
}
