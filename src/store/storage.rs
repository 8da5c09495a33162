//! Storage for the journal's files: a directory on disk, or memory. The code above works with either.

use crate::net::errors::is_out_of_descriptors;
use std::collections::BTreeMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// A place for files. Appended data survives the process that wrote it, but not necessarily the loss of the machine.
pub trait Storage: Send {
    /// Names of all files.
    fn names(&self) -> io::Result<Vec<String>>;
    /// Reads a whole file; `None` if it does not exist.
    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Appends to a file, which is created if it does not exist.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Replaces a file's content atomically.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to its first `length` bytes.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> io::Result<()>;
}

/// Number of files that are kept open for their next append: the journal's tail and two files of ids.
const MAX_OPEN_FILES: usize = 3;

/// Files in a directory on disk.
pub struct DirStorage {
    dir: PathBuf,
    open_files: Vec<(String, File)>,
}

impl DirStorage {
    /// Opens the directory, which is created if it does not exist.
    pub fn new(dir: impl Into<PathBuf>) -> io::Result<DirStorage> {
        let dir = dir.into();
        fs::create_dir_all(&dir)?;
        Ok(DirStorage { dir, open_files: Vec::new() })
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        let at = match self.open_files.iter().position(|(n, _)| n == name) {
            Some(at) => at,
            None => {
                let path = self.dir.join(name);
                let file =
                    self.with_descriptor(|| OpenOptions::new().create(true).append(true).open(&path))?;
                if self.open_files.len() >= MAX_OPEN_FILES {
                    self.open_files.remove(0);
                }
                self.open_files.push((name.to_owned(), file));
                self.open_files.len() - 1
            }
        };
        Ok(&mut self.open_files[at].1)
    }

    /// Retries `open` after closing one of the storage's own files if no file descriptor is left; the closed file is
    /// opened again when it is needed. Otherwise connections that use up all descriptors would stop the journal's
    /// writes.
    fn with_descriptor<T>(&mut self, open: impl Fn() -> io::Result<T>) -> io::Result<T> {
        loop {
            match open() {
                Err(e) if is_out_of_descriptors(&e) && !self.open_files.is_empty() => {
                    drop(self.open_files.remove(0))
                }
                other => return other,
            }
        }
    }

    /// Closes a file. After an error it must be reopened too, as its name may lead to another file by the next try.
    fn close(&mut self, name: &str) {
        self.open_files.retain(|(n, _)| n != name);
    }
}

impl Storage for DirStorage {
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
        // The open descriptor refers to the file that is about to be replaced.
        self.close(name);
        let temporary = self.dir.join(format!("{name}.new"));
        let written = self.with_descriptor(|| fs::write(&temporary, bytes));
        let replaced = written.and_then(|()| fs::rename(&temporary, self.dir.join(name)));
        // A partly written file takes disk space that others may need. If it can't be removed, the next write
        // replaces it.
        replaced.inspect_err(|_| drop(fs::remove_file(&temporary)))
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

/// Files in memory, for an emulated machine. Clones share the files, so these outlast an emulated process as those in a
/// directory outlast a real one.
#[derive(Debug, Clone, Default)]
pub struct MemoryStorage(Arc<Mutex<BTreeMap<String, Vec<u8>>>>);

impl MemoryStorage {
    fn files(&self) -> MutexGuard<'_, BTreeMap<String, Vec<u8>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Total size of all files in bytes.
    pub fn bytes(&self) -> usize {
        self.files().values().map(Vec::len).sum()
    }

    /// Removes all files, as the loss of the machine does.
    pub fn clear(&self) {
        self.files().clear();
    }
}

impl Storage for MemoryStorage {
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
