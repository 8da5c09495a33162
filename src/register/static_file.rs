//! The operators' static file: a list in discovery's format, read again whenever it changes. If it cannot be read, the
//! last valid content stays in effect.

use super::list::ParsedList;
use super::{ListUpdate, Source};
use crate::api::Micros;
use std::fs;
use std::path::PathBuf;
use std::time::SystemTime;

/// Longest file that is read.
const MAX_FILE_BYTES: u64 = 16 << 20;

/// The file, and its state at the last read.
pub struct StaticFile {
    path: PathBuf,
    /// Modification time and length at the last read.
    last_seen: Option<(SystemTime, u64)>,
    missing: bool,
}

impl StaticFile {
    /// Creates the reader of a file; nothing is read yet.
    pub fn new(path: PathBuf) -> StaticFile {
        StaticFile { path, last_seen: None, missing: false }
    }

    /// Reads the file if it has changed since the last read. A file that was deleted changes nothing; to remove its
    /// endpoints the operators write an empty list.
    pub fn read_if_changed(&mut self, now: Micros) -> Option<ListUpdate> {
        let path = self.path.display();
        let meta = match fs::metadata(&self.path).and_then(|m| Ok((m.modified()?, m.len()))) {
            Ok(meta) => meta,
            Err(e) => {
                if !std::mem::replace(&mut self.missing, true) {
                    tracing::warn!(target: "register", "the static file {path}: {e}; its last content stays in effect");
                }
                return None;
            }
        };
        self.missing = false;
        if self.last_seen.replace(meta) == Some(meta) {
            return None;
        }
        let parsed = match meta.1 {
            length if length > MAX_FILE_BYTES => Err(format!("more than {MAX_FILE_BYTES} bytes")),
            _ => fs::read(&self.path).map_err(|e| e.to_string()).and_then(|bytes| ParsedList::parse(&bytes)),
        };
        match parsed {
            Ok(parsed) => {
                // The file is always a full list, whatever its `reset` field says.
                let update = ListUpdate { is_full_list: true, ..parsed.into_update(Source::Static, now) };
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
}
