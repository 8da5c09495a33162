//! Keeps changes of the platform's endpoint list on disk before they take effect, and hands out the whole list to be written.

use super::{Core, Courier, PLATFORM_FRONT};
use crate::register::kept_copy::ListSnapshot;
use crate::register::EndpointRecord;

/// The list that is to be written, and what its writer needs to know.
pub struct ListToStore {
    /// The list.
    pub snapshot: ListSnapshot,
    /// Number of the last change that it has.
    pub sequence: u64,
    /// Bytes that the journal occupies on the same disk.
    pub journal_bytes: u64,
}

impl Core {
    /// Appends changes of discovery's list to the change log, if there is one.
    pub(super) fn keep_list_changes(&mut self, changes: &[EndpointRecord]) {
        // Once this process has handed over, the folder belongs to another one.
        if changes.is_empty() || !self.is_active() {
            return;
        }
        let Some(registry) = self.register.front(PLATFORM_FRONT) else { return };
        let (Some(log), Some((_, confirmed_at))) = (&mut self.list_changes, registry.revision()) else {
            return;
        };
        if let Err(problem) = log.append(confirmed_at, registry.list_version(), changes) {
            tracing::warn!(target: "register", "{problem}");
        }
    }
}

impl Courier {
    /// The platform's list as it is to be stored on disk.
    pub fn list_to_store(&self) -> Option<ListToStore> {
        let state = self.state();
        Some(ListToStore {
            snapshot: state.register.front(PLATFORM_FRONT)?.snapshot()?,
            sequence: state.list_changes.as_ref().map_or(0, |log| log.sequence()),
            journal_bytes: state.journal.disk_bytes(),
        })
    }

    /// Whether a change of the list could not be kept, so that the whole list must be written soon.
    pub fn list_copy_overdue(&self) -> bool {
        self.state().list_changes.as_ref().is_some_and(|log| log.needs_copy())
    }

    /// The whole list was written, with all changes up to this number.
    pub fn list_copy_written(&self, sequence: u64) {
        let mut state = self.state();
        if state.is_active() {
            state.list_changes.iter_mut().for_each(|log| log.copy_written(sequence));
        }
    }
}
