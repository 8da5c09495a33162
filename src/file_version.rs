//! Tells two versions of a file apart without reading it.

use std::os::unix::fs::MetadataExt;
use std::path::Path;
use std::time::SystemTime;
use std::{fs, io};

/// What distinguishes two versions of a file. Two that are put in place within one tick of the file system's clock have the same
/// time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FileVersion {
    modified: SystemTime,
    /// Length in bytes.
    pub length: u64,
    inode: u64,
}

impl FileVersion {
    /// The version of the file that is there now.
    pub fn of(path: &Path) -> io::Result<FileVersion> {
        let metadata = fs::metadata(path)?;
        Ok(FileVersion { modified: metadata.modified()?, length: metadata.len(), inode: metadata.ino() })
    }
}
