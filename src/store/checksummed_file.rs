//! Small files that are replaced as a whole: a header line, `<magic> <version> <crc32> <bytes>`, and a body. The new
//! file is written beside the current one; then the current one is renamed to `.old` and the new one takes its name. So
//! a kill at any moment leaves at least one of the two complete. Incomplete and damaged files and those of another
//! format are reported and skipped.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

const MAX_HEADER_BYTES: usize = 128;
/// Longer files are not read.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// Name and format of one kind of file.
#[derive(Debug, Clone, Copy)]
pub struct ChecksummedFile {
    /// Its name in the folder. The previous file has the suffix `.old`, the one being written `.new`.
    pub name: &'static str,
    /// First word of the header.
    pub magic: &'static str,
    /// Format version; files of other versions are not read.
    pub version: u32,
}

impl ChecksummedFile {
    /// The whole file for this body.
    pub fn encode(&self, body: &[u8]) -> Vec<u8> {
        let sum = crc32fast::hash(body);
        let mut out = format!("{} {} {sum:08x} {}\n", self.magic, self.version, body.len()).into_bytes();
        out.extend(body);
        out
    }

    /// The body of a whole file; the error says why it can't be read.
    pub fn decode<'a>(&self, bytes: &'a [u8]) -> Result<&'a [u8], String> {
        let end = bytes.iter().take(MAX_HEADER_BYTES).position(|b| *b == b'\n').ok_or("not of this kind")?;
        let header = std::str::from_utf8(&bytes[..end]).map_err(|_| "not of this kind")?;
        let fields: Vec<&str> = header.split(' ').collect();
        let [magic, version, sum, length] = fields[..] else { return Err("not of this kind".into()) };
        if magic != self.magic {
            return Err("not of this kind".into());
        }
        if version != self.version.to_string() {
            return Err(format!("of format {version}, and only {} is known", self.version));
        }
        let sum = u32::from_str_radix(sum, 16).map_err(|_| "its header is damaged")?;
        let length: usize = length.parse().map_err(|_| "its header is damaged")?;
        let body = &bytes[end + 1..];
        if body.len() != length {
            return Err(format!("incomplete: {} of {length} bytes", body.len()));
        }
        if crc32fast::hash(body) != sum {
            return Err("damaged: its checksum is wrong".into());
        }
        Ok(body)
    }

    fn path(&self, dir: &Path, suffix: &str) -> PathBuf {
        dir.join(format!("{}{suffix}", self.name))
    }

    /// Reads the current file, or the previous one if that fails, and parses the body with `parse`. Also returns a
    /// line for the log for each file that is skipped.
    pub fn read<T>(
        &self, dir: &Path, mut parse: impl FnMut(&[u8]) -> Result<T, String>,
    ) -> (Option<T>, Vec<String>) {
        let mut log_lines = Vec::new();
        for path in [self.path(dir, ""), self.path(dir, ".old")] {
            let bytes = match fs::metadata(&path) {
                Ok(meta) if meta.len() > MAX_FILE_BYTES => Err("too long".to_owned()),
                Ok(_) => fs::read(&path).map_err(|e| e.to_string()),
                Err(e) if e.kind() == io::ErrorKind::NotFound => continue,
                Err(e) => Err(e.to_string()),
            };
            match bytes.and_then(|bytes| self.decode(&bytes).and_then(&mut parse)) {
                Ok(read) => return (Some(read), log_lines),
                Err(e) => log_lines.push(format!("{} is passed over: {e}", path.display())),
            }
        }
        (None, log_lines)
    }

    /// Replaces the current file. It is never written in place, because a kill would leave it incomplete.
    pub fn write(&self, dir: &Path, bytes: &[u8]) -> io::Result<()> {
        let (current, old, new) = (self.path(dir, ""), self.path(dir, ".old"), self.path(dir, ".new"));
        if let Err(e) = fs::write(&new, bytes) {
            // A partly written file takes disk space that the journal may need. If it can't be removed, the next write
            // replaces it.
            let _ = fs::remove_file(&new);
            return Err(e);
        }
        match fs::rename(&current, &old) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        fs::rename(&new, &current)
    }
}
