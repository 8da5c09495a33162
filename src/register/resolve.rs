//! Decides which record of an endpoint is in effect, how many calls it may get, and what to notify the decision module
//! of.

use super::front::{FrontRegistry, Published, Timer};
use super::phase::{Phase, PhaseInputs};
use super::source_state::SourceState;
use super::types::{EndpointChange, EndpointRecord, EndpointState, RegistryEffects, Source};
use crate::api::Micros;
use std::collections::HashSet;

impl FrontRegistry {
    /// The record in effect for a name, and the source that decides it.
    pub(super) fn effective(&self, now: Micros, name: &str) -> Option<(EndpointRecord, Source)> {
        let (discovery, static_file) = (self.source(Source::Discovery), self.source(Source::Static));
        if [discovery, static_file].into_iter().flatten().any(|state| state.removed.contains_key(name)) {
            return None;
        }
        let in_remembered = || {
            self.usable_remembered(now).and_then(|(source, state)| Some((state.records.get(name)?, source)))
        };
        let record_in =
            |source| self.source(source).and_then(|state| Some((state.records.get(name)?, source)));
        // A remembered list is ignored once discovery has sent an update; see `usable_remembered`.
        let (found, source) = record_in(Source::Discovery)
            .filter(|_| discovery.is_some_and(|state| state.has_update))
            .or_else(|| self.held.get(name).map(|held| (&held.record, Source::Discovery)))
            .or_else(|| record_in(Source::Static))
            .or_else(|| record_in(Source::Zone))
            .or_else(in_remembered)?;
        let address_taken =
            |preferred: Option<&SourceState>| preferred.is_some_and(|s| s.has_other_owner(found.addr, name));
        let in_discovery = discovery.is_some_and(|state| state.records.contains_key(name));
        if source != Source::Zone
            && (!in_discovery && address_taken(discovery)
                || source.is_remembered() && address_taken(static_file))
        {
            return None;
        }
        let mut record = found.clone();
        let drained_by_operators = static_file
            .and_then(|state| state.records.get(name))
            .is_some_and(|record| record.state == EndpointState::Draining);
        if drained_by_operators {
            record.state = EndpointState::Draining;
        }
        if self.excluded.contains(name) {
            record.state = EndpointState::Draining;
        }
        Some((record, source))
    }

    /// The source that decides an endpoint's record, and how many concurrent calls the endpoint may get; `None`: as
    /// many as the decision module orders.
    pub(super) fn call_limit(&self, now: Micros, name: &str) -> Option<(Source, Option<u32>)> {
        let (_, source) = self.effective(now, name)?;
        let confirmed = match source {
            Source::Discovery => self.watching && !self.held.contains_key(name),
            Source::Zone => true,
            Source::Static | Source::KeptCopy | Source::Configured => false,
        };
        if confirmed {
            return Some((source, None));
        }
        // The operators are responsible for their file, so it counts as fresh whatever its age.
        let age = match source {
            Source::Static => Micros(0),
            _ => now - self.sources.get(&source).map_or(Micros(0), |state| state.as_of),
        };
        let earned = self.trust.get(name).map_or(0, |trust| trust.earned());
        Some((source, self.rules.trust.concurrency_limit(age, earned)))
    }

    /// Compares the records in effect for these names with the published ones, and publishes the differences.
    pub(super) fn publish_changes(
        &mut self, now: Micros, names: HashSet<String>, effects: &mut RegistryEffects,
    ) {
        let mut names: Vec<String> = names.into_iter().collect();
        names.sort_unstable();
        for name in names {
            let found = self.effective(now, &name);
            // A remembered endpoint is not published while discovery may still send its own list.
            let found =
                found.filter(|(_, source)| !(source.is_remembered() && self.discovery_wait_until.is_some()));
            match found {
                Some((record, source)) => {
                    let confirmed =
                        source == Source::Discovery && self.watching && !self.held.contains_key(&name);
                    let ejected =
                        !confirmed && self.trust.get(&name).is_some_and(|t| t.ejection(now).is_some());
                    let published = Published { record, ejected };
                    if self.published.get(&name) != Some(&published) {
                        effects.changes.push(EndpointChange { record: published.record.clone(), ejected });
                        self.published.insert(name, published);
                    }
                }
                None => self.withdraw(&name, effects),
            }
        }
    }

    /// Unpublishes an endpoint that is no longer listed, and rejects the calls that are queued for it.
    fn withdraw(&mut self, name: &str, effects: &mut RegistryEffects) {
        if let Some(published) = self.published.remove(name) {
            let record = EndpointRecord { state: EndpointState::Gone, ..published.record };
            effects.changes.push(EndpointChange { record, ejected: false });
        }
        let idle = self.trust.get_mut(name).is_some_and(|trust| {
            effects.rejected.extend(trust.drain_queue());
            trust.idle()
        });
        if idle {
            self.trust.remove(name);
        }
    }

    /// Discovery answers again after a silence: ends the ejections and the call limits of that time.
    pub(super) fn lift_limits(&mut self, now: Micros, effects: &mut RegistryEffects) {
        let ejected =
            self.published.iter().filter(|(_, p)| p.ejected).map(|(name, _)| name.clone()).collect();
        self.publish_changes(now, ejected, effects);
        let with_queue: Vec<String> = self
            .trust
            .iter()
            .filter(|(_, trust)| trust.has_queued_calls())
            .map(|(name, _)| name.clone())
            .collect();
        with_queue.iter().for_each(|name| self.release_queued(now, name, effects));
    }

    pub(super) fn set_timer(&mut self, at: Micros, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Recomputes the phase, and logs a change of it.
    pub(super) fn update_phase(&mut self, now: Micros, effects: &mut RegistryEffects) {
        let discovery = self.source(Source::Discovery).filter(|state| state.has_update);
        let inputs = PhaseInputs {
            discovery_updated: discovery.is_some(),
            watching: self.watching,
            silent_for: discovery.map_or(Micros(0), |state| now - state.as_of),
            holds_endpoints: !self.held.is_empty(),
            zone_loaded: self.has_update_from(Source::Zone),
            has_fallback: self.usable_remembered(now).is_some_and(|(_, state)| !state.records.is_empty())
                || self.source(Source::Static).is_some_and(|state| !state.records.is_empty()),
        };
        let phase = Phase::of(&inputs, self.rules.stale_after);
        if phase != self.phase {
            effects.log_lines.push(format!("the register is {}, it was {}", phase.name(), self.phase.name()));
            self.phase = phase;
        }
    }
}
