//! The file of one zone: when a new version of it counts as completely written, and which text of it was taken last.

use super::kept_zone::read_file;
use super::zone::Zone;
use crate::api::Micros;
use crate::file_version::FileVersion;
use hickory_proto::rr::Name;
use std::collections::hash_map::DefaultHasher;
use std::hash::Hasher;
use std::path::{Path, PathBuf};

/// A file that has not changed for so long counts as completely written. With the time between two looks, a change holds within
/// the 6 s in which one has to be known.
pub const SETTLE_TIME: Micros = Micros(4_000_000);

/// A zone's file.
#[derive(Debug)]
pub struct ZoneFile {
    path: PathBuf,
    version: Option<FileVersion>,
    unchanged_since: Micros,
    /// Whether this version has been read and decided on.
    is_read: bool,
    taken: Option<TakenText>,
}

/// Length and hash of the text that was taken last.
#[derive(Debug, PartialEq, Eq)]
struct TakenText {
    length: usize,
    hash: u64,
}

impl TakenText {
    fn of(text: &str) -> TakenText {
        let mut hasher = DefaultHasher::new();
        hasher.write(text.as_bytes());
        TakenText { length: text.len(), hash: hasher.finish() }
    }
}

impl ZoneFile {
    /// A file of which no version has been read yet.
    pub fn new(path: &Path, now: Micros) -> ZoneFile {
        let version = FileVersion::of(path).ok();
        ZoneFile { path: path.to_owned(), version, unchanged_since: now, is_read: false, taken: None }
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether there is a version that has not been read yet and that counts as completely written.
    pub fn has_settled(&mut self, now: Micros) -> bool {
        let version = FileVersion::of(&self.path).ok();
        if version != self.version {
            self.version = version;
            self.unchanged_since = now;
            self.is_read = false;
        }
        !self.is_read && now - self.unchanged_since >= SETTLE_TIME
    }

    /// Reads the file. Returns the zone and the file's text.
    pub fn read(&self, origin: &Name) -> Result<(Zone, String), String> {
        read_file(&self.path, origin)
    }

    /// The present version is not read again.
    pub fn set_read(&mut self) {
        self.is_read = true;
    }

    /// The zone in use is the one of this text.
    pub fn set_taken(&mut self, text: &str) {
        self.taken = Some(TakenText::of(text));
    }

    /// Whether the text begins with the one that was taken and goes on: the file was not complete then.
    pub fn completes_taken(&self, text: &str) -> bool {
        let Some(taken) = &self.taken else { return false };
        taken.length < text.len() && text.get(..taken.length).map(TakenText::of).as_ref() == Some(taken)
    }
}
