//! State that one process run stores for the next beside the journal: destination waits, demand and endpoint outages.

use super::Core;
use crate::api::{DestinationId, EndpointId, Micros, Outage};
use crate::comeback::memory::{
    demand_to_store, initial_send_rate, Demand, KnownOutage, Memory, Waits, WriteSchedule,
};
use crate::store::checksummed_file::ChecksummedFile;
use std::collections::HashMap;
use std::path::{Path, PathBuf};

const FILE: ChecksummedFile = ChecksummedFile { name: "memory", magic: "indigohold-memory", version: 1 };
/// Disk space for the file, its previous version and the version being written.
pub const MAX_FOLDER_BYTES: u64 = 256 * 1024;

/// The memory file and the schedule of its writes.
#[derive(Default)]
pub(super) struct MemoryFile {
    dir: Option<PathBuf>,
    write_schedule: WriteSchedule,
    /// When this process run began.
    run_began_at: Micros,
    /// Demand per destination with which this run began.
    initial_demand: Demand,
    /// The decision module's count of outage changes at the last check.
    seen_outage_changes: u64,
    /// The stored file is empty, so an empty state need not be written again.
    written_empty: bool,
    /// The last write failed, and the failure was logged.
    write_failed: bool,
}

impl MemoryFile {
    pub(super) fn new(dir: Option<PathBuf>) -> MemoryFile {
        MemoryFile { dir, ..MemoryFile::default() }
    }
}

/// Reads the stored waits, demand and outages that are still valid now.
fn read_memory(dir: &Path, now: Micros) -> (Waits, Demand, Vec<KnownOutage>) {
    let (memory, said) = FILE.read(dir, Memory::from_bytes);
    said.iter().for_each(|line| tracing::warn!(target: "comeback", "{line}"));
    let memory = memory.unwrap_or_default();
    let waits = memory.waits_at(now);
    if !waits.is_empty() {
        let set_back = memory.written_at > now;
        tracing::info!(target: "comeback", waits = waits.len(), set_back, "waits of an earlier life hold on");
    }
    (waits, memory.demand_at(now), memory.outages_at(now).to_vec())
}

impl Core {
    /// Restores what an earlier process run stored.
    pub(super) fn restore_memory(&mut self, now: Micros, taken_over: bool) {
        self.memory_file.run_began_at = now;
        self.memory_file.written_empty = true;
        let Some(dir) = &self.memory_file.dir else { return };
        let (waits, demand, outages) = read_memory(dir, now);
        (self.destination_waits, self.memory_file.initial_demand) = (waits, demand);
        if !taken_over {
            self.restore_outages(outages);
        }
        // Stored demand must not set send rates after a hand-over: the service was not interrupted, and the current rates
        // are handed over.
        let demand = self.memory_file.initial_demand.iter().filter(|_| !taken_over);
        let mut paced = 0;
        for (dest, per_s) in demand {
            self.policy.restore_send_rate(DestinationId(*dest), initial_send_rate(*per_s));
            paced += 1;
        }
        if paced > 0 {
            tracing::info!(target: "comeback", destinations = paced, "begins by the demand of an earlier life");
        }
        for ((_, dest), until) in &self.destination_waits {
            self.policy.restore_wait(DestinationId(*dest), *until);
        }
    }

    /// Restores endpoints that were out or cold when the earlier process run last wrote the file.
    fn restore_outages(&mut self, outages: Vec<KnownOutage>) {
        if !outages.is_empty() {
            tracing::info!(target: "comeback", endpoints = outages.len(), "outages of an earlier life are heeded");
        }
        for known in outages {
            let demand = self.memory_file.initial_demand.iter().find(|(dest, _)| *dest == known.dest);
            let per_s = demand.map_or(0.0, |(_, per_s)| *per_s);
            let id = self.endpoint_id(known.front, &known.name);
            self.policy.restore_outage(id, known.outage, per_s);
        }
    }

    /// The endpoints to store that are out or cold now.
    fn outages_to_record(&self, now: Micros) -> impl Iterator<Item = KnownOutage> + '_ {
        let outages: HashMap<EndpointId, Outage> = self.policy.outages(now).into_iter().collect();
        self.endpoint_ids.iter().filter_map(move |((front, name), id)| {
            let outage = *outages.get(id)?;
            let dest = self.register.front(*front)?.destination_of(name)?;
            Some(KnownOutage { front: *front, name: name.clone(), dest, outage })
        })
    }

    /// Records that a partner asked for a wait.
    pub(super) fn record_wait(&mut self, now: Micros, front: u8, dest: u16, wait: Micros) {
        self.destination_waits.retain(|_, until| *until > now);
        let until = self.destination_waits.entry((front, dest)).or_default();
        self.memory_file.write_schedule.wait_demanded(now, *until, now + wait);
        *until = (*until).max(now + wait);
    }

    /// Writes the file if it is due. A wait is written before anything that follows from the answer that asked for it;
    /// otherwise a process killed in between would call the partner after its restart before the wait is over.
    pub(super) fn write_memory_if_due(&mut self, now: Micros) {
        let changes = self.policy.outage_changes();
        if std::mem::replace(&mut self.memory_file.seen_outage_changes, changes) != changes {
            self.memory_file.write_schedule.mark_changed();
        }
        let Some(dir) = self.memory_file.dir.as_deref().filter(|_| self.memory_file.write_schedule.due(now))
        else {
            return;
        };
        let seen: Demand = self.policy.demand(now).into_iter().map(|(d, per_s)| (d.0, per_s)).collect();
        let demand =
            demand_to_store(now - self.memory_file.run_began_at, seen, &self.memory_file.initial_demand);
        let memory =
            Memory::new(now, &self.destination_waits, demand).with_outages(self.outages_to_record(now));
        let idle = memory.waits.is_empty() && memory.demand.is_empty() && memory.outages.is_empty();
        if idle && self.memory_file.written_empty {
            return self.memory_file.write_schedule.written(now, true);
        }
        self.memory_file.written_empty = idle;
        let written = FILE.write(dir, &FILE.encode(&memory.to_bytes()));
        self.memory_file.write_schedule.written(now, written.is_ok());
        let failed = written.as_ref().err();
        if let (Some(e), false) = (failed, self.memory_file.write_failed) {
            tracing::warn!(target: "comeback", "told waits can't be written down, and hold in this life only: {e}");
        }
        self.memory_file.write_failed = failed.is_some();
    }
}
