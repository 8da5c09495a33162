//! The endpoints that operators have excluded. The admin server changes the set and the core reads it. Each change is
//! written to the state folder before it is confirmed; then a version number is raised, by which the core notices it.

use crate::json;
use crate::register::exclusions::{ExcludedEndpoints, ExclusionError, ListedNames, MAX_EXCLUDED_BYTES};
use crate::store::checksummed_file::ChecksummedFile;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

const FILE: ChecksummedFile = ChecksummedFile { name: "excluded", magic: "indigohold-excluded", version: 1 };
/// Most disk space of the file in the state folder: the present one, the one before and the one that is being written.
pub const MAX_DISK_BYTES: u64 = 3 * (MAX_EXCLUDED_BYTES as u64 + 512);

/// The excluded endpoints, shared by the admin server and the core.
#[derive(Debug, Default)]
pub struct EndpointOverrides {
    dir: PathBuf,
    /// Held while a change is made and written, so that changes happen one at a time.
    change_lock: Mutex<()>,
    excluded: Mutex<Arc<ExcludedEndpoints>>,
    version: AtomicU64,
    /// Another process has taken over and makes the changes.
    closed: AtomicBool,
    listed: Mutex<ListedNames>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn read_body(body: &[u8]) -> Result<ExcludedEndpoints, String> {
    let names: Vec<String> = json::from_slice(body).map_err(|e| e.to_string())?;
    Ok(ExcludedEndpoints::from_names(names))
}

impl EndpointOverrides {
    /// Reads what a previous run of the process has stored.
    pub fn open(dir: &Path) -> EndpointOverrides {
        let (excluded, problems) = FILE.read(dir, read_body);
        problems.iter().for_each(|problem| tracing::error!(target: "door", "{problem}"));
        let excluded = excluded.unwrap_or_default();
        if excluded.names().next().is_some() {
            let names: Vec<&str> = excluded.names().collect();
            tracing::info!(target: "door", "endpoints excluded by operators: {}", names.join(", "));
        }
        EndpointOverrides {
            dir: dir.to_owned(),
            excluded: Mutex::new(Arc::new(excluded)),
            version: AtomicU64::new(1),
            ..EndpointOverrides::default()
        }
    }

    /// Records the names of listed endpoints. Only an endpoint that was listed can be excluded.
    pub fn record_listed<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        lock(&self.listed).record(names);
    }

    /// Number that rises with each change.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::SeqCst)
    }

    /// The excluded endpoints.
    pub fn excluded(&self) -> Arc<ExcludedEndpoints> {
        lock(&self.excluded).clone()
    }

    /// Refuses changes from now on, because another process has taken over. Waits for a change that is being written.
    pub fn close(&self) {
        let _change_lock = lock(&self.change_lock);
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Excludes an endpoint.
    pub fn exclude(&self, name: &str) -> Result<String, String> {
        self.change(|excluded, listed| excluded.exclude(listed, name), "is left out", "was left out before")
    }

    /// Includes an excluded endpoint again.
    pub fn include(&self, name: &str) -> Result<String, String> {
        self.change(|excluded, listed| excluded.include(listed, name), "is in use again", "was not left out")
    }

    fn change(
        &self,
        apply: impl FnOnce(&ExcludedEndpoints, &ListedNames) -> Result<Option<ExcludedEndpoints>, ExclusionError>,
        changed: &str, unchanged: &str,
    ) -> Result<String, String> {
        let _change_lock = lock(&self.change_lock);
        if self.closed.load(Ordering::SeqCst) {
            return Err("another process has taken over; ask there".into());
        }
        let next = apply(&self.excluded(), &lock(&self.listed)).map_err(|e| e.to_string())?;
        let Some(next) = next else { return Ok(unchanged.to_owned()) };
        let names: Vec<&str> = next.names().collect();
        let body = serde_json::to_vec(&names).map_err(|e| e.to_string())?;
        // The change is stored before it is confirmed. If a crash could undo a confirmed exclusion, messages would go to a
        // machine that operators are dismantling.
        FILE.write(&self.dir, &FILE.encode(&body)).map_err(|e| format!("it can't be written down: {e}"))?;
        *lock(&self.excluded) = Arc::new(next);
        self.version.fetch_add(1, Ordering::SeqCst);
        Ok(changed.to_owned())
    }
}
