//! The endpoints that are out by hand, as the door changes them and the core sees them: each change is written to the folder
//! that lasts before anybody is told yes, and then a version is raised that the core looks at.

use crate::register::exclusions::{ExcludedEndpoints, ExclusionError, ListedNames, MAX_EXCLUDED_BYTES};
use crate::store::checksummed_file::ChecksummedFile;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const FILE: ChecksummedFile = ChecksummedFile { name: "excluded", magic: "indigohold-excluded", version: 1 };
/// Room for that file in the folder that lasts, the one before and the one being written counted.
pub const ROOM: u64 = 3 * (MAX_EXCLUDED_BYTES as u64 + 512);

/// See the module.
#[derive(Debug, Default)]
pub struct Hand {
    dir: PathBuf,
    /// Held while the file is written: only by who makes a call.
    calls: Mutex<()>,
    out: Mutex<Arc<ExcludedEndpoints>>,
    version: AtomicU64,
    /// Another process changes them now.
    closed: AtomicBool,
    known: Mutex<ListedNames>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read(body: &[u8]) -> Result<ExcludedEndpoints, String> {
    let names: Vec<String> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    Ok(ExcludedEndpoints::from_names(names))
}

impl Hand {
    /// What an earlier life wrote down holds.
    pub fn open(dir: &Path) -> Hand {
        let (out, said) = FILE.read(dir, read);
        said.iter().for_each(|words| tracing::error!(target: "door", "{words}"));
        let out = out.unwrap_or_default();
        if out.names().next().is_some() {
            let names: Vec<&str> = out.names().collect();
            tracing::info!(target: "door", "left out by hand: {}", names.join(", "));
        }
        Hand {
            dir: dir.to_owned(),
            out: Mutex::new(Arc::new(out)),
            version: AtomicU64::new(1),
            ..Hand::default()
        }
    }

    /// These are listed now.
    pub fn listed<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        lock(&self.known).record(names);
    }

    /// Raised with each change.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// Those that are out.
    pub fn out(&self) -> Arc<ExcludedEndpoints> {
        lock(&self.out).clone()
    }

    /// Another process changes them from now on; a change that is being written is done.
    pub fn close(&self) {
        let _one_at_a_time = lock(&self.calls);
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Leaves one out.
    pub fn exclude(&self, name: &str) -> Result<String, String> {
        self.change(|out, known| out.exclude(known, name), "is left out", "was left out before")
    }

    /// Puts one back.
    pub fn include(&self, name: &str) -> Result<String, String> {
        self.change(|out, known| out.include(known, name), "is in use again", "was not left out")
    }

    fn change(
        &self,
        by: impl FnOnce(&ExcludedEndpoints, &ListedNames) -> Result<Option<ExcludedEndpoints>, ExclusionError>,
        done: &str, before: &str,
    ) -> Result<String, String> {
        let _one_at_a_time = lock(&self.calls);
        if self.closed.load(Ordering::SeqCst) {
            return Err("another process has taken over; ask there".into());
        }
        let next = by(&self.out(), &lock(&self.known)).map_err(|no| no.to_string())?;
        let Some(next) = next else { return Ok(before.to_owned()) };
        let names: Vec<&str> = next.names().collect();
        let body = serde_json::to_vec(&names).map_err(|e| e.to_string())?;
        // Danger: a yes that a kill undoes sends work to a machine that is being taken apart.
        FILE.write(&self.dir, &FILE.encode(&body)).map_err(|e| format!("it can't be written down: {e}"))?;
        *lock(&self.out) = Arc::new(next);
        self.version.fetch_add(1, Ordering::SeqCst);
        Ok(done.to_owned())
    }
}
