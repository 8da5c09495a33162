//! Storage in memory whose writes fail by a script: from a given write on, for a given number of writes, with a part
//! of the bytes written.

// Each test file uses only part of this module.
#![allow(dead_code)]

use indigohold::store::storage::{MemoryStorage, Storage};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// `ENOSPC` on Linux.
pub const NO_SPACE: i32 = 28;
/// `EIO` on Linux.
pub const IO_ERROR: i32 = 5;

/// Which writes fail, and how.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    /// Number of the first write that fails, from 0.
    pub from: usize,
    /// Number of writes that fail.
    pub count: usize,
    /// Number of bytes that a failing append still writes.
    pub partial_bytes: usize,
    /// Truncation fails too while writes fail.
    pub truncate_fails: bool,
    /// The error number.
    pub errno: i32,
}

impl Default for Script {
    fn default() -> Script {
        Script { from: usize::MAX, count: 0, partial_bytes: 0, truncate_fails: false, errno: NO_SPACE }
    }
}

#[derive(Default)]
struct State {
    script: Script,
    writes: usize,
    failed: usize,
}

/// Clones share the files and the script.
#[derive(Clone, Default)]
pub struct FaultyStorage {
    pub files: MemoryStorage,
    state: Arc<Mutex<State>>,
}

impl FaultyStorage {
    pub fn new(script: Script) -> FaultyStorage {
        let storage = FaultyStorage::default();
        storage.state().script = script;
        storage
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// All writes fail from now on, as `script` says; its `from` and `count` are not used.
    pub fn fail(&self, script: Script) {
        let mut state = self.state();
        state.script = Script { from: state.writes, count: usize::MAX, ..script };
    }

    /// All writes fail from the one with this number on.
    pub fn fail_from(&self, from: usize) {
        self.state().script = Script { from, count: usize::MAX, ..Script::default() };
    }

    /// All writes succeed from now on.
    pub fn recover(&self) {
        self.state().script = Script::default();
    }

    /// The number of writes so far, and how many of them failed.
    pub fn writes(&self) -> (usize, usize) {
        let state = self.state();
        (state.writes, state.failed)
    }

    /// Counts a write. The error, if it is to fail, holds the number of bytes that are written all the same.
    fn count_write(&self) -> Result<(), (io::Error, usize)> {
        let mut state = self.state();
        let number = state.writes;
        state.writes += 1;
        let Script { from, count, partial_bytes, errno, .. } = state.script;
        if number < from || number - from >= count {
            return Ok(());
        }
        state.failed += 1;
        Err((io::Error::from_raw_os_error(errno), partial_bytes))
    }

    /// Whether the last write failed, by the script.
    fn failing(&self) -> bool {
        let state = self.state();
        let Script { from, count, .. } = state.script;
        state.writes > from && state.writes - from <= count
    }
}

impl Storage for FaultyStorage {
    fn names(&self) -> io::Result<Vec<String>> {
        self.files.names()
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.files.read(name)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_write().or_else(|(e, partial_bytes)| {
            self.files.append(name, &bytes[..partial_bytes.min(bytes.len() - 1)])?;
            Err(e)
        })?;
        self.files.append(name, bytes)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.count_write().map_err(|(e, _)| e)?;
        self.files.replace(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let state = self.state();
        let (fails, errno) = (state.script.truncate_fails, state.script.errno);
        drop(state);
        if fails && self.failing() {
            return Err(io::Error::from_raw_os_error(errno));
        }
        self.files.truncate(name, length)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.files.remove(name)
    }
}
