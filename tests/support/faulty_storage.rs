//! A state folder in memory whose writes fail by a script: from one write on, for so many writes, with a part of the bytes written.

// Each test file uses a part of it.
#![allow(dead_code)]

use indigohold::store::storage::{MemoryStorage, Storage};
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

/// `ENOSPC` and `EIO`, as Linux numbers them.
pub const NO_SPACE: i32 = 28;
pub const IO_ERROR: i32 = 5;

/// Which writes fail, and how.
#[derive(Debug, Clone, Copy)]
pub struct Script {
    /// Number of the first write that fails, from 0.
    pub from: usize,
    /// So many fail.
    pub count: usize,
    /// Bytes of a failing append that are written all the same.
    pub part: usize,
    /// A file can't be cut either while writes fail.
    pub cuts_fail: bool,
    /// The error.
    pub errno: i32,
}

impl Default for Script {
    fn default() -> Script {
        Script { from: usize::MAX, count: 0, part: 0, cuts_fail: false, errno: NO_SPACE }
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
        let home = FaultyStorage::default();
        home.state().script = script;
        home
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// All writes fail from now on.
    pub fn fail(&self, script: Script) {
        let mut state = self.state();
        state.script = Script { from: state.writes, count: usize::MAX, ..script };
    }

    /// All writes from this one on fail.
    pub fn fail_from(&self, from: usize) {
        self.state().script = Script { from, count: usize::MAX, ..Script::default() };
    }

    /// Writes succeed from now on.
    pub fn heal(&self) {
        self.state().script = Script::default();
    }

    /// Writes so far, and how many of them failed.
    pub fn writes(&self) -> (usize, usize) {
        let state = self.state();
        (state.writes, state.failed)
    }

    /// The next write; an error if it is to fail.
    fn write(&self) -> Result<(), (io::Error, usize)> {
        let mut state = self.state();
        let number = state.writes;
        state.writes += 1;
        let Script { from, count, part, errno, .. } = state.script;
        if number < from || number - from >= count {
            return Ok(());
        }
        state.failed += 1;
        Err((io::Error::from_raw_os_error(errno), part))
    }

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
        self.write().or_else(|(e, part)| {
            self.files.append(name, &bytes[..part.min(bytes.len() - 1)])?;
            Err(e)
        })?;
        self.files.append(name, bytes)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.write().map_err(|(e, _)| e)?;
        self.files.replace(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let state = self.state();
        let (fails, errno) = (state.script.cuts_fail, state.script.errno);
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
