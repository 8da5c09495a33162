//! Where a journal's files are: a folder, or memory. Nothing above knows which.

use crate::net::errors::is_out_of_descriptors;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A place for files of bytes. What was appended outlasts the process that did it; nothing is promised of a machine that
/// is lost.
pub trait Home: Send {
    /// Names of all files.
    fn names(&self) -> io::Result<Vec<String>>;
    /// All of a file; `None` if there is none.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Adds to the end of a file, which is made if there is none.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Puts these bytes in the place of a file, all or none of them.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to its first bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Takes a file away.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Files that are kept open for their next append: the journal's tail and the list of ids.
const OPEN_MOST: usize = 2;

/// A folder on disk.
pub struct Folder {
    dir: PathBuf,
    open: Vec<(String, File)>,
}

impl Folder {
    /// The folder, which is made if there is none.
    pub fn new(dir: impl Into<PathBuf>) -> io::Result<Folder> {
        let dir = dir.into();
        fs::create_dir_all(&dir)?;
        Ok(Folder { dir, open: Vec::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = match self.open.iter().position(|(n, _)| n == name) {
            Some(at) => at,
            None => {
                let path = self.dir.join(name);
                let file =
                    self.with_descriptor(|| OpenOptions::new().create(true).append(true).open(&path))?;
                if self.open.len() >= OPEN_MOST {
                    self.open.remove(0);
                }
                self.open.push((name.to_owned(), file));
                self.open.len() - 1
            }
        };
        Ok(&mut self.open[at].1)
    }

    /// Danger: where connections hold all descriptors, a journal that wants one more is no more written. It closes one of its own
    /// first, which is opened again when it is needed.
    fn with_descriptor<T>(&mut self, open: impl Fn() -> io::Result<T>) -> io::Result<T> {
        loop {
            match open() {
                Err(e) if is_out_of_descriptors(&e) && !self.open.is_empty() => drop(self.open.remove(0)),
                other => return other,
            }
        }
    }

    /// After an error too: what is behind the name may be another file by the next try.
    fn close(&mut self, name: &str) {
        self.open.retain(|(n, _)| n != name);
    }
}

impl Home for Folder {
    fn names(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.dir)?.map(|e| e.map(|e| e.file_name().to_string_lossy().into_owned()));
        names.collect()
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match fs::read(self.dir.join(name)) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            other => other.map(Some),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let appended = self.file(name)?.write_all(bytes);
        appended.inspect_err(|_| self.close(name))
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        // Danger: the file that is open is the one that goes.
        self.close(name);
        let beside = self.dir.join(format!("{name}.new"));
        let written = self.with_descriptor(|| fs::write(&beside, bytes));
        let replaced = written.and_then(|()| fs::rename(&beside, self.dir.join(name)));
        // Half a file takes room that others may need. If it can't be removed, the next write replaces it.
        replaced.inspect_err(|_| drop(fs::remove_file(&beside)))
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let cut = self.file(name)?.set_len(length);
        cut.inspect_err(|_| self.close(name))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.dir.join(name))
    }
}

/// Files in memory, for an emulated machine: whoever holds a clone sees the same files, so they outlast an emulated
/// process as those of a folder do.
#[derive(Debug, Clone, Default)]
pub struct Memory(Arc<Mutex<BTreeMap<String, Vec<u8>>>>);

impl Memory {
    fn files(&self) -> MutexGuard<'_, BTreeMap<String, Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes in all files.
    pub fn bytes(&self) -> usize {
        self.files().values().map(Vec::len).sum()
    }

    /// The machine is lost, and all files with it.
    pub fn lose(&self) {
        self.files().clear();
    }
}

impl Home for Memory {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.files().keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.files().get(name).cloned())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut files = self.files();
        match files.get_mut(name) {
            Some(file) => file.extend_from_slice(bytes),
            None => drop(files.insert(name.to_owned(), bytes.to_vec())),
        }
        Ok(())
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.files().insert(name.to_owned(), bytes.to_vec());
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        if let Some(file) = self.files().get_mut(name) {
            file.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        }
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files().remove(name).map(drop).ok_or_else(|| ErrorKind::NotFound.into())
    }
}
