//! Applies updates from the sources, above all from discovery.

use super::exclusions::ExcludedEndpoints;
use super::front::{FrontRegistry, HeldEndpoint, Timer};
use super::trust::EndpointTrust;
use super::types::{EndpointRecord, EndpointState, ListUpdate, RegistryEffects, Source};
use crate::api::Micros;
use std::collections::HashSet;
use std::sync::Arc;

impl FrontRegistry {
    /// Applies an update from a source.
    pub fn apply_update(&mut self, now: Micros, update: ListUpdate) -> RegistryEffects {
        let mut effects = RegistryEffects::default();
        let mut touched: HashSet<String> = HashSet::new();
        let (source, was_watching) = (update.source, self.watching);
        match source {
            Source::Discovery => {
                let before = self.records_before(&update);
                let names: Vec<String> = update.records.iter().map(|record| record.name.clone()).collect();
                self.apply_discovery_update(now, update, &mut touched, &mut effects);
                effects.list_changes = self.records_changed_since(&before, &names);
            }
            _ => {
                self.apply_other_update(now, update, &mut touched);
                self.record_destinations(now, source);
            }
        }
        self.publish_changes(now, touched, &mut effects);
        if self.watching && !was_watching {
            self.lift_limits(now, &mut effects);
        }
        self.update_phase(now, &mut effects);
        effects
    }

    /// Applies an update from a source other than discovery.
    fn apply_other_update(&mut self, now: Micros, update: ListUpdate, touched: &mut HashSet<String>) {
        let source = update.source;
        let state = self.sources.entry(source).or_default();
        if update.is_full_list {
            touched.extend(state.records.keys().chain(state.removed.keys()).cloned());
            let unreadable: HashSet<&str> = update.unreadable.iter().map(String::as_str).collect();
            let dropped: Vec<String> =
                state.records.keys().filter(|name| !unreadable.contains(name.as_str())).cloned().collect();
            dropped.iter().for_each(|name| drop(state.take(name)));
            state.removed.clear();
        }
        for record in update.records {
            touched.insert(record.name.clone());
            match record.state {
                EndpointState::Gone => state.remove(now, &record.name),
                _ => state.insert(record),
            }
        }
        (state.has_update, state.generation, state.as_of) = (true, update.generation, update.as_of.min(now));
        if source.is_remembered() {
            let wait_started = std::mem::replace(&mut self.discovery_wait_started, true);
            if !wait_started && !self.has_update_from(Source::Discovery) {
                self.discovery_wait_until = Some(now + self.rules.discovery_wait);
                self.set_timer(now + self.rules.discovery_wait, Timer::Usability);
            }
            if let (Source::KeptCopy, false) = (source, self.rules.use_stale_copy) {
                self.set_timer(update.as_of + self.rules.max_copy_age + Micros(1), Timer::Usability);
            }
            // This list may have replaced the other remembered one as the newer.
            touched.extend(self.sources.values().flat_map(|state| state.records.keys().cloned()));
        }
    }

    /// Records the destinations of the endpoints that a source other than discovery makes usable.
    fn record_destinations(&mut self, now: Micros, source: Source) {
        let dests: Vec<u16> = match source.is_remembered() {
            true => {
                let usable = self.usable_remembered(now);
                usable.iter().flat_map(|(_, state)| state.records.values()).map(|r| r.dest).collect()
            }
            false => self.sources[&source].records.values().map(|record| record.dest).collect(),
        };
        self.destinations.extend(dests);
    }

    fn apply_discovery_update(
        &mut self, now: Micros, update: ListUpdate, touched: &mut HashSet<String>,
        effects: &mut RegistryEffects,
    ) {
        let first = !self.has_update_from(Source::Discovery);
        if first {
            self.start_from_remembered(now, update.is_full_list, touched);
        }
        let unconfirmed = update.is_full_list && self.apply_omissions(now, &update, first, touched, effects);
        self.apply_discovery_records(now, update.generation, update.records, unconfirmed, touched);
        self.revision += 1;
        // The address of a held endpoint may have a new owner now, so all of them are compared again.
        touched.extend(self.held.keys().cloned());
        for source in [Source::Static, Source::Zone] {
            let state = self.source(source);
            touched.extend(state.into_iter().flat_map(|state| state.records.keys().cloned()));
        }
        self.watching = true;
    }

    /// Prepares discovery's state for its first update in this process run.
    fn start_from_remembered(&mut self, now: Micros, is_full_list: bool, touched: &mut HashSet<String>) {
        // From now on the remembered lists are ignored, so each of their endpoints must be compared again.
        touched.extend(self.sources.values().flat_map(|state| state.records.keys().cloned()));
        // Partial updates build on the list whose version discovery was asked from, whatever its age. A full list needs
        // the old one only to show what it removes, and a list that is too old to be used has nothing to remove.
        let remembered = if is_full_list { self.usable_remembered(now) } else { self.remembered() };
        let remembered = remembered.map(|(_, state)| (state.generation, state.records.clone()));
        let discovery = self.sources.entry(Source::Discovery).or_default();
        if let Some((generation, records)) = remembered {
            records.into_values().for_each(|record| discovery.insert(record));
            discovery.generation = generation;
        }
        self.discovery_wait_until = None;
    }

    /// Drops the endpoints that a full list of discovery leaves out. Returns whether that list must be confirmed first;
    /// then the endpoints are held, and so stay in use.
    fn apply_omissions(
        &mut self, now: Micros, update: &ListUpdate, first: bool, touched: &mut HashSet<String>,
        effects: &mut RegistryEffects,
    ) -> bool {
        let names = update.records.iter().map(|record| record.name.as_str());
        let listed: HashSet<&str> = names.chain(update.unreadable.iter().map(String::as_str)).collect();
        let discovery = &self.sources[&Source::Discovery];
        let known = discovery.records.values().chain(self.held.values().map(|held| &held.record));
        let up: Vec<EndpointRecord> = known.filter(|r| r.state == EndpointState::Up).cloned().collect();
        let missing: Vec<EndpointRecord> =
            up.iter().filter(|record| !listed.contains(record.name.as_str())).cloned().collect();
        touched.extend(discovery.records.keys().chain(self.held.keys()).cloned());
        let is_older = update.generation < discovery.generation && !(first && discovery.records.is_empty());
        let unconfirmed = self.guard_removals(now, update.generation, is_older, &up, missing, effects);
        if let Some(discovery) = self.sources.get_mut(&Source::Discovery) {
            let dropped: Vec<String> =
                discovery.records.keys().filter(|name| !listed.contains(name.as_str())).cloned().collect();
            dropped.iter().for_each(|name| drop(discovery.take(name)));
        }
        unconfirmed
    }

    /// Asks the guard whether a full list must be confirmed, and if so holds the missing endpoints.
    fn guard_removals(
        &mut self, now: Micros, generation: u64, is_older: bool, up: &[EndpointRecord],
        missing: Vec<EndpointRecord>, effects: &mut RegistryEffects,
    ) -> bool {
        let Some(guard) = &self.rules.guard else { return false };
        let healthy =
            |record: &EndpointRecord| !self.trust.get(&record.name).is_some_and(EndpointTrust::failing);
        let missing: Vec<EndpointRecord> = missing.into_iter().filter(healthy).collect();
        let lost = missing.len();
        let had = up.iter().filter(|record| healthy(record)).count();
        if !guard.must_confirm(&mut self.unconfirmed, now, is_older, generation, lost, had) {
            self.held.clear();
            return false;
        }
        let until = now + guard.hold;
        let reread_at = now + guard.confirm_after;
        effects.log_lines.push(format!(
            "discovery's list of version {generation} would end {lost} of {had} backends{}; they stay until it is \
             confirmed, for {} s at most",
            if is_older { " and is older than what was known" } else { "" },
            guard.hold.secs()
        ));
        for record in missing {
            // An endpoint that is held already keeps its deadline.
            let until = self.held.get(&record.name).map_or(until, |held| held.until);
            self.set_timer(until, Timer::Endpoint(record.name.clone()));
            self.held.insert(record.name.clone(), HeldEndpoint { record, until });
        }
        // The confirming read waits for its timer: a read at once would return the same list, be held back as well and
        // cause the next read without any pause.
        if !self.timers.iter().any(|(_, timer)| *timer == Timer::Reread) {
            self.set_timer(reread_at, Timer::Reread);
        }
        true
    }

    /// Applies the records of an update from discovery.
    fn apply_discovery_records(
        &mut self, now: Micros, generation: u64, records: Vec<EndpointRecord>, unconfirmed: bool,
        touched: &mut HashSet<String>,
    ) {
        let discovery = self.sources.entry(Source::Discovery).or_default();
        for record in records {
            touched.insert(record.name.clone());
            match record.state {
                EndpointState::Gone => {
                    self.held.remove(&record.name);
                    discovery.remove(now, &record.name);
                }
                EndpointState::Draining => {
                    self.held.remove(&record.name);
                    discovery.insert(record);
                }
                EndpointState::Up => {
                    let removed = discovery.removed.contains_key(&record.name);
                    let known = discovery.records.get(&record.name);
                    let draining = known.is_some_and(|known| known.state != EndpointState::Up);
                    // An unconfirmed list cancels no removal and no drain.
                    if !(unconfirmed && (removed || draining)) {
                        self.held.remove(&record.name);
                        discovery.insert(record);
                    }
                }
            }
        }
        (discovery.has_update, discovery.generation, discovery.as_of) = (true, generation, now);
        self.destinations.extend(discovery.records.values().map(|record| record.dest));
    }

    /// Replaces the set of administratively excluded endpoints. Returns the names of the listed endpoints that are no
    /// longer excluded, and the effects.
    pub fn set_excluded(
        &mut self, now: Micros, excluded: &Arc<ExcludedEndpoints>,
    ) -> (Vec<String>, RegistryEffects) {
        let mut effects = RegistryEffects::default();
        let changed = excluded.differing_names(&self.excluded);
        let restored = changed
            .iter()
            .filter(|name| !excluded.contains(name) && self.published.contains_key(*name))
            .cloned()
            .collect();
        self.excluded = excluded.clone();
        self.publish_changes(now, changed.into_iter().collect(), &mut effects);
        (restored, effects)
    }

    /// The watch has sent a heartbeat: nothing has changed.
    pub fn heartbeat(&mut self, now: Micros) -> RegistryEffects {
        let mut effects = RegistryEffects::default();
        if let Some(discovery) = self.sources.get_mut(&Source::Discovery).filter(|state| state.has_update) {
            discovery.as_of = now;
            if !std::mem::replace(&mut self.watching, true) {
                self.lift_limits(now, &mut effects);
            }
        }
        self.update_phase(now, &mut effects);
        effects
    }

    /// The watch could not be opened at any address, or it broke.
    pub fn watch_failed(&mut self, now: Micros) -> RegistryEffects {
        let mut effects = RegistryEffects::default();
        self.watching = false;
        if self.discovery_wait_until.take().is_some() {
            // Discovery will not answer soon, so the remembered endpoints are used at once.
            let names = self.sources.values().flat_map(|state| state.records.keys().cloned()).collect();
            self.publish_changes(now, names, &mut effects);
        }
        if let Some(discovery) = self.source(Source::Discovery) {
            self.set_timer(discovery.as_of + self.rules.stale_after + Micros(1), Timer::Usability);
        }
        self.update_phase(now, &mut effects);
        effects
    }
}
