//! The zones in the folder that lasts, one file each: what dynamic updates have made of a zone, or a copy of the last good
//! version of its file. A process that starts while the file cannot be read goes by that copy, as a running one does.

use super::zone::Zone;
use hickory_proto::rr::Name;
use std::fmt;
use std::fs;
use std::io::{self, Read};
use std::path::{Path, PathBuf};

/// The longest text of a zone.
pub const MAX_ZONE_BYTES: usize = 64 * 1024;
/// First line of a copy of a zone's file; the text that dynamic updates leave has none.
const COPY_MARK: &str = "; copy of the zone's file\n";
/// The longest file in which a zone is kept.
const MAX_KEPT_BYTES: usize = MAX_ZONE_BYTES + COPY_MARK.len();
/// Characters of a zone's name that stand for themselves in the name of its file.
const FILE_NAME_CHARACTERS: &str = "-._";

/// Where a kept zone comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// Dynamic updates have changed it.
    Updates,
    /// It is the last good version of the zone's file.
    File,
}

/// The kept file of one zone.
#[derive(Debug)]
pub struct KeptZone {
    path: PathBuf,
}

impl KeptZone {
    /// The kept file of the zone of this name in a folder.
    pub fn new(dir: &Path, origin: &Name) -> KeptZone {
        KeptZone { path: dir.join(format!("{}zone", file_name(origin))) }
    }

    /// Takes over the file of an earlier version, which named it by the zone's position in the settings, unless there is one
    /// by the zone's name or the file holds another zone.
    pub fn adopt(&self, dir: &Path, position: usize, origin: &Name) {
        let earlier = dir.join(format!("{position}.zone"));
        if self.path.exists() || read_file(&earlier, origin).is_err() {
            return;
        }
        if let Err(e) = fs::rename(&earlier, &self.path) {
            tracing::error!(target: "zones", "{}: {e}", earlier.display());
        }
    }

    /// Reads the kept zone, if there is one that can be read.
    pub fn read(&self, origin: &Name) -> Option<(Zone, Origin)> {
        let text = read_text(&self.path).ok()?;
        let zone = Zone::parse(&text, &self.path, origin).ok()?;
        Some((zone, if text.starts_with(COPY_MARK) { Origin::File } else { Origin::Updates }))
    }

    /// Keeps a zone that updates have changed.
    pub fn write_updated(&self, zone: &Zone) -> Result<(), KeepError> {
        self.write(zone, zone.text())
    }

    /// Keeps a zone that was read from its file. `file_text` is kept where the zone's records can't be written as text that is
    /// read back, or are too long so.
    pub fn write_copy(&self, zone: &Zone, file_text: &str) -> Result<(), KeepError> {
        match self.write(zone, format!("{COPY_MARK}{}", zone.text())) {
            Err(KeepError::NotReadBack) => self.write(zone, format!("{COPY_MARK}{file_text}")),
            other => other,
        }
    }

    fn write(&self, zone: &Zone, text: String) -> Result<(), KeepError> {
        let read_back = Zone::parse(&text, &self.path, &zone.origin);
        if text.len() > MAX_KEPT_BYTES || read_back.as_ref() != Ok(zone) {
            return Err(KeepError::NotReadBack);
        }
        replace(&self.path, &text).map_err(|e| KeepError::NotWritten(self.path.clone(), e))
    }
}

/// Why a zone was not kept.
#[derive(Debug)]
pub enum KeepError {
    /// No text of it would be read back as the same zone.
    NotReadBack,
    /// Its file could not be written.
    NotWritten(PathBuf, io::Error),
}

impl fmt::Display for KeepError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            KeepError::NotReadBack => f.write_str("the zone can't be kept as text"),
            KeepError::NotWritten(path, e) => write!(f, "{}: {e}", path.display()),
        }
    }
}

/// The zone's name in lower case, with every other character than letters, digits and a few more replaced by its code.
fn file_name(origin: &Name) -> String {
    let plain = |c: char| c.is_ascii_alphanumeric() || FILE_NAME_CHARACTERS.contains(c);
    let encode = |c: char| if plain(c) { c.to_string() } else { format!("%{:x}", u32::from(c)) };
    origin.to_lowercase().to_ascii().chars().map(encode).collect()
}

/// Reads a zone file. Returns the zone and the file's text.
pub fn read_file(path: &Path, origin: &Name) -> Result<(Zone, String), String> {
    let text = read_text(path).map_err(|e| format!("{}: {e}", path.display()))?;
    if text.len() > MAX_ZONE_BYTES {
        return Err(format!("{}:1: more than {MAX_ZONE_BYTES} bytes", path.display()));
    }
    let zone = Zone::parse(&text, path, origin)?;
    Ok((zone, text))
}

/// Reads at most one byte more than a kept zone may have.
fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    fs::File::open(path)?.take(MAX_KEPT_BYTES as u64 + 1).read_to_string(&mut text)?;
    Ok(text)
}

/// Writes beside the old file and then replaces it: a stop in between leaves the old one whole.
fn replace(path: &Path, text: &str) -> io::Result<()> {
    let new = path.with_extension("new");
    let written = fs::write(&new, text).and_then(|()| fs::rename(&new, path));
    if written.is_err() {
        // A partly written file takes room that the journal may need.
        let _ = fs::remove_file(&new);
    }
    written
}
