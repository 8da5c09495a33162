//! Ownership of a state folder: one process at a time. The claim is a lock on a file, which the system releases when
//! the process ends for any reason, so there is nothing to clean up after SIGKILL. Each claim has an incarnation
//! number, one more than the last, which the journal records at the start of each segment.

use crate::api::Micros;
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::time::{Duration, Instant};

/// Name of the locked file.
const OWNER_FILE: &str = "owner";
/// At most this much of the file is read.
const MAX_READ_BYTES: u64 = 512;
/// Disk space that the file takes in the state folder: one block.
pub const OWNER_FILE_DISK_BYTES: u64 = 512;
/// How long to wait for the lock, so that a predecessor that is being killed can end.
const LOCK_TIMEOUT: Duration = Duration::from_millis(400);
/// How long to retry opening the file, so that a folder that can't be written now can become writable.
const OPEN_TIMEOUT: Duration = Duration::from_secs(10);
const RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// What an owner writes to the file about itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Its number: one more than that of the previous owner.
    pub incarnation: u64,
    /// Its process id.
    pub process_id: u32,
    /// When it claimed the folder.
    pub since: Micros,
}

/// Why a folder could not be claimed.
#[derive(Debug)]
pub enum ClaimError {
    /// Another process owns it; holds that process's claim, if it can be read.
    Owned(Option<Claim>),
    /// The folder or the file can't be used.
    Io(io::Error),
}

impl fmt::Display for ClaimError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            ClaimError::Owned(Some(claim)) => {
                let since = std::time::UNIX_EPOCH + Duration::from_micros(claim.since.0);
                let since = humantime::format_rfc3339_seconds(since);
                let Claim { incarnation, process_id, .. } = claim;
                write!(f, "process {process_id} owns it since {since} (incarnation {incarnation})")
            }
            ClaimError::Owned(None) => f.write_str("another process owns it"),
            ClaimError::Io(e) => e.fmt(f),
        }
    }
}

/// A claimed folder. The claim is released when this is dropped, or when the process ends.
#[derive(Debug)]
pub struct Owner {
    /// The claim as it was written.
    pub claim: Claim,
    /// The open file holds the lock.
    file: File,
}

impl Owner {
    /// Raises this owner's incarnation above `known`, because the folder turned out to be an older copy: a higher
    /// incarnation has been in use. An error leaves the claim unchanged.
    pub fn raise_incarnation(&mut self, now: Micros, known: u64) -> io::Result<u64> {
        let incarnation = self.claim.incarnation.max(known).saturating_add(1);
        let claim = Claim { incarnation, since: now, ..self.claim };
        write_claim(&mut self.file, &claim)?;
        self.claim = claim;
        Ok(incarnation)
    }
}

fn write_claim(file: &mut File, claim: &Claim) -> io::Result<()> {
    file.seek(SeekFrom::Start(0))?;
    file.write_all(claim.line().as_bytes())?;
    file.set_len(claim.line().len() as u64)
}

impl Claim {
    /// The file's content: a checksum and the fields of the claim.
    fn line(&self) -> String {
        let text = format!("{} {} {}", self.incarnation, self.process_id, self.since.0);
        format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
    }

    fn parse(line: &str) -> Option<Claim> {
        let (sum, text) = line.trim_end().split_once(' ')?;
        if u32::from_str_radix(sum, 16).ok()? != crc32fast::hash(text.as_bytes()) {
            return None;
        }
        let mut fields = text.split(' ');
        let incarnation = fields.next()?.parse().ok()?;
        let process_id = fields.next()?.parse().ok()?;
        let since = Micros(fields.next()?.parse().ok()?);
        fields.next().is_none().then_some(Claim { incarnation, process_id, since })
    }
}

fn read_claim(file: &mut File) -> io::Result<Option<Claim>> {
    let mut text = String::new();
    file.seek(SeekFrom::Start(0))?;
    // Content that is not UTF-8 counts as no claim.
    match file.take(MAX_READ_BYTES).read_to_string(&mut text) {
        Err(e) if e.kind() == io::ErrorKind::InvalidData => Ok(None),
        other => other.map(|_| Claim::parse(&text)),
    }
}

/// Claims a folder, which is created if it does not exist. `known` is the highest incarnation that the caller knows
/// of from other sources; if the file is damaged, the numbers continue from there.
pub fn claim(dir: &Path, now: Micros, known: u64) -> Result<Owner, ClaimError> {
    std::fs::create_dir_all(dir).map_err(ClaimError::Io)?;
    let path = dir.join(OWNER_FILE);
    let mut file = open(&path).map_err(ClaimError::Io)?;
    let until = Instant::now() + LOCK_TIMEOUT;
    loop {
        match file.try_lock() {
            Ok(()) => break,
            Err(TryLockError::WouldBlock) if Instant::now() < until => std::thread::sleep(RETRY_INTERVAL),
            Err(TryLockError::WouldBlock) => {
                return Err(ClaimError::Owned(read_claim(&mut file).unwrap_or(None)))
            }
            Err(TryLockError::Error(e)) => return Err(ClaimError::Io(e)),
        }
    }
    let previous = read_claim(&mut file).map_err(ClaimError::Io)?.map_or(0, |c| c.incarnation);
    let incarnation = previous.max(known) + 1;
    let claim = Claim { incarnation, process_id: std::process::id(), since: now };
    // A folder that can't be written now is still served. The lock alone makes the claim effective; the incarnation
    // is also in the journal, which is written as soon as the folder can be written.
    if let Err(e) = write_claim(&mut file, &claim) {
        tracing::warn!(target: "journal", "the owner file of the state folder can't be written: {e}");
    }
    Ok(Owner { claim, file })
}

/// Opens the file. Errors are retried until a timeout, because a lack of descriptors or of disk space may be temporary.
fn open(path: &Path) -> io::Result<File> {
    let until = Instant::now() + OPEN_TIMEOUT;
    loop {
        match OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path) {
            Err(_) if Instant::now() < until => std::thread::sleep(RETRY_INTERVAL),
            other => return other,
        }
    }
}
