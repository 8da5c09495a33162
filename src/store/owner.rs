//! Who owns a state folder: one process at a time. The claim is a lock on a file that the system lets go of with its process,
//! however that ends; so there is nothing to clean up after SIGKILL. Each claim has a number of its own, one more than the
//! last: the incarnation, which the journal writes down at its start.

use crate::api::Micros;
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::Path;
use std::time::{Duration, Instant};

/// The file's name.
const FILE: &str = "owner";
/// Bytes of it that are read.
const MOST: u64 = 512;
/// Room that it takes in the folder that lasts: one block.
pub const ROOM: u64 = 512;
/// A predecessor that is being killed has so long to be gone.
const PATIENCE: Duration = Duration::from_millis(400);
/// A folder that can't be written has so long to become one that can.
const OPEN_PATIENCE: Duration = Duration::from_secs(10);
const LOOK: Duration = Duration::from_millis(10);

/// What an owner writes of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Claim {
    /// Its number: one more than that of the owner before.
    pub incarnation: u64,
    /// Its process.
    pub process: u32,
    /// When it claimed the folder.
    pub since: Micros,
}

/// Why a folder could not be claimed.
#[derive(Debug)]
pub enum Refusal {
    /// Another process owns it; what it wrote of itself, if that can be read.
    Owned(Option<Claim>),
    /// The folder or the file can't be used.
    Io(io::Error),
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refusal::Owned(Some(claim)) => {
                let since = std::time::UNIX_EPOCH + Duration::from_micros(claim.since.0);
                let since = humantime::format_rfc3339_seconds(since);
                let Claim { incarnation, process, .. } = claim;
                write!(f, "process {process} owns it since {since} (incarnation {incarnation})")
            }
            Refusal::Owned(None) => f.write_str("another process owns it"),
            Refusal::Io(e) => e.fmt(f),
        }
    }
}

/// A claimed folder. It is let go of when this is dropped, or with the process.
#[derive(Debug)]
pub struct Owner {
    /// What was written.
    pub claim: Claim,
    /// The lock lives as long as this is open.
    file: File,
}

impl Owner {
    /// The same process goes on under a number above `known`, as its folder turned out to be an older copy's. An error leaves
    /// the claim as it was.
    pub fn raise(&mut self, now: Micros, known: u64) -> io::Result<u64> {
        let incarnation = self.claim.incarnation.max(known).saturating_add(1);
        let claim = Claim { incarnation, since: now, ..self.claim };
        write(&mut self.file, &claim)?;
        self.claim = claim;
        Ok(incarnation)
    }
}

fn write(file: &mut File, claim: &Claim) -> io::Result<()> {
    file.seek(SeekFrom::Start(0))?;
    file.write_all(claim.line().as_bytes())?;
    file.set_len(claim.line().len() as u64)
}

impl Claim {
    fn line(&self) -> String {
        let text = format!("{} {} {}", self.incarnation, self.process, self.since.0);
        format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
    }

    fn read(line: &str) -> Option<Claim> {
        let (sum, text) = line.trim_end().split_once(' ')?;
        if u32::from_str_radix(sum, 16).ok()? != crc32fast::hash(text.as_bytes()) {
            return None;
        }
        let mut words = text.split(' ');
        let incarnation = words.next()?.parse().ok()?;
        let process = words.next()?.parse().ok()?;
        let since = Micros(words.next()?.parse().ok()?);
        words.next().is_none().then_some(Claim { incarnation, process, since })
    }
}

fn written(file: &mut File) -> io::Result<Option<Claim>> {
    let mut text = String::new();
    file.seek(SeekFrom::Start(0))?;
    // What is no text is no claim either.
    match file.take(MOST).read_to_string(&mut text) {
        Err(e) if e.kind() == io::ErrorKind::InvalidData => Ok(None),
        other => other.map(|_| Claim::read(&text)),
    }
}

/// Claims a folder, which is made if there is none. `known` is the highest incarnation that the caller knows of from
/// elsewhere: where the file is damaged the count goes on from there.
pub fn claim(dir: &Path, now: Micros, known: u64) -> Result<Owner, Refusal> {
    std::fs::create_dir_all(dir).map_err(Refusal::Io)?;
    let path = dir.join(FILE);
    let mut file = open(&path).map_err(Refusal::Io)?;
    let until = Instant::now() + PATIENCE;
    loop {
        match file.try_lock() {
            Ok(()) => break,
            Err(TryLockError::WouldBlock) if Instant::now() < until => std::thread::sleep(LOOK),
            Err(TryLockError::WouldBlock) => return Err(Refusal::Owned(written(&mut file).unwrap_or(None))),
            Err(TryLockError::Error(e)) => return Err(Refusal::Io(e)),
        }
    }
    let before = written(&mut file).map_err(Refusal::Io)?.map_or(0, |c| c.incarnation);
    let incarnation = before.max(known) + 1;
    let claim = Claim { incarnation, process: std::process::id(), since: now };
    // Danger: a folder that can't be written just now is no reason not to serve what it holds. The lock is the claim; its number is
    // also in the journal, which is written as soon as that can be.
    if let Err(e) = write(&mut file, &claim) {
        tracing::warn!(target: "journal", "the claim of the folder can't be written: {e}");
    }
    Ok(Owner { claim, file })
}

/// Opens the file; what this machine lacks for a moment, or a disk without room for it, is waited for.
fn open(path: &Path) -> io::Result<File> {
    let until = Instant::now() + OPEN_PATIENCE;
    loop {
        match OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path) {
            Err(_) if Instant::now() < until => std::thread::sleep(LOOK),
            other => return other,
        }
    }
}
