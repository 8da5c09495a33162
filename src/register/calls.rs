//! Admission, queueing and completion of calls, and the timers.

use super::front::{FrontRegistry, Timer};
use super::trust::{self, CallEnd, CallReport};
use super::types::RegistryEffects;
use crate::api::Micros;
use std::collections::HashSet;

/// Shortest interval between two reads that are to confirm a list.
const MIN_REREAD_INTERVAL: Micros = Micros(100_000);

impl FrontRegistry {
    /// Admits a call that is about to be ordered. `false`: it is queued, and is later released or rejected.
    pub fn admit_call(&mut self, now: Micros, name: &str, msg: u64) -> bool {
        let Some((_, limit)) = self.call_limit(now, name) else { return true };
        let trust = self.trust.entry(name.to_owned()).or_default();
        let admitted = trust.admit(now, msg, limit);
        if !admitted {
            self.set_timer(now + trust::MAX_QUEUE_TIME, Timer::Endpoint(name.to_owned()));
        }
        admitted
    }

    /// Takes a call out of an endpoint's queue. `false`: it was not queued.
    pub fn cancel_waiting_call(&mut self, name: &str, msg: u64) -> bool {
        self.trust.get_mut(name).is_some_and(|trust| trust.cancel(msg))
    }

    /// An admitted call has ended. `AsUnsent`: the decision module must be notified that the call was never sent, since
    /// a refusal by an endpoint that is known only from a remembered list says nothing about its destination.
    pub fn call_ended(&mut self, now: Micros, name: &str, end: CallEnd) -> (CallReport, RegistryEffects) {
        let mut effects = RegistryEffects::default();
        let limit = self.call_limit(now, name);
        let limited = limit.is_some_and(|(_, limit)| limit.is_some());
        let Some(trust) = self.trust.get_mut(name) else { return (CallReport::AsIs, effects) };
        let report = trust.record_end(now, end, limited, &self.rules.trust, &mut self.rng);
        if let Some(until) = trust.ejection(now) {
            self.set_timer(until, Timer::Endpoint(name.to_owned()));
        }
        if end == CallEnd::Refused && self.held.remove(name).is_some() {
            effects.log_lines.push(format!("backend {name} is gone: it was held, and refused a call"));
        }
        if report == CallReport::AsUnsent {
            effects.rejected = self.trust.get_mut(name).map_or(Vec::new(), |trust| trust.drain_queue());
        }
        self.publish_changes(now, HashSet::from([name.to_owned()]), &mut effects);
        self.release_queued(now, name, &mut effects);
        (report, effects)
    }

    /// Fires the timers that are due.
    pub fn tick(&mut self, now: Micros) -> RegistryEffects {
        let mut effects = RegistryEffects::default();
        if self.timers.first().is_none_or(|timer| timer.0 > now) {
            return effects;
        }
        let mut touched = HashSet::new();
        while let Some((_, timer)) = self.timers.first().filter(|timer| timer.0 <= now).cloned() {
            self.timers.pop_first();
            match timer {
                Timer::Reread => {
                    if let (Some(_), Some(guard)) = (&self.unconfirmed, &self.rules.guard) {
                        effects.reread_list = true;
                        let at = now + guard.confirm_after.max(MIN_REREAD_INTERVAL);
                        self.set_timer(at, Timer::Reread);
                    }
                }
                Timer::Usability => {
                    self.discovery_wait_until = self.discovery_wait_until.filter(|at| *at > now);
                    touched.extend(self.sources.values().flat_map(|state| state.records.keys().cloned()));
                    let usable = self.usable_remembered(now);
                    let records = usable.iter().flat_map(|(_, state)| state.records.values());
                    let dests: Vec<u16> = records.map(|record| record.dest).collect();
                    self.destinations.extend(dests);
                }
                Timer::Endpoint(name) => {
                    self.expire_endpoint(now, &name, &mut effects);
                    touched.insert(name);
                }
            }
        }
        let names: Vec<String> = touched.iter().cloned().collect();
        self.publish_changes(now, touched, &mut effects);
        names.iter().for_each(|name| self.release_queued(now, name, &mut effects));
        self.update_phase(now, &mut effects);
        effects
    }

    /// Ends an endpoint's hold if that is over, and rejects the calls that have been queued for it for too long.
    fn expire_endpoint(&mut self, now: Micros, name: &str, effects: &mut RegistryEffects) {
        if self.held.get(name).is_some_and(|held| held.until <= now) {
            self.held.remove(name);
            effects.log_lines.push(format!(
                "backend {name} is gone: discovery did not list it again within the hold time"
            ));
            if self.held.is_empty() {
                self.unconfirmed = None;
            }
        }
        if let Some(trust) = self.trust.get_mut(name) {
            effects.rejected.extend(trust.expire(now));
        }
    }

    /// Releases the calls queued for an endpoint, as far as its limit allows.
    pub(super) fn release_queued(&mut self, now: Micros, name: &str, effects: &mut RegistryEffects) {
        let Some((_, limit)) = self.call_limit(now, name) else { return };
        let ejected = self.published.get(name).is_some_and(|published| published.ejected);
        if let (Some(trust), false) = (self.trust.get_mut(name), ejected) {
            effects.released.extend(trust.release(limit));
        }
    }
}
