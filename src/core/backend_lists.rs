//! Passes endpoint list changes from the register to the decision module and the fronts, maps backend names to endpoint
//! ids, and applies administrative overrides.

use super::{
    returned_event, Backend, Core, EndpointRecord, EndpointState, Fetch, ListUpdate, Order, Source,
    PLATFORM_FRONT,
};
use crate::api::{DestinationId, EndpointId, Entry, Event, KindId, ListingState, Micros, Outcome, ZoneId};
use crate::register::trust::CallEnd;
use crate::register::{EndpointChange, RegistryEffects};
use std::collections::HashMap;
use std::sync::Arc;

/// How long a removed backend stays known. It exceeds every window in which a message may be repeated.
const REMOVED_BACKEND_RETENTION: Micros = Micros(60_000_000);
const MAX_REMOVED_BACKENDS: usize = 512;

/// A backend that is no longer listed, or is listed for another destination.
pub(super) struct RemovedBackend {
    removed_at: Micros,
    front: u8,
    endpoint: EndpointId,
    name: String,
}

impl Core {
    pub(super) fn update_member_counts(&mut self) {
        let (mut members, mut unavailable) = (0, 0);
        for (front, name, out) in self.register.members() {
            let endpoint = self.endpoint_ids.get(&(front, name.to_owned()));
            members += 1;
            unavailable += u64::from(out || endpoint.is_some_and(|at| self.policy.is_ejected(*at)));
        }
        let ready =
            self.register.front(PLATFORM_FRONT).is_none_or(|book| book.ready(self.next_member_count_at));
        (self.figures.members, self.figures.unavailable, self.figures.ready) = (members, unavailable, ready);
    }

    /// Applies the administrative overrides that changed since the last call.
    pub(super) fn apply_overrides(&mut self, now: Micros) {
        let Some(hand) = self.overrides.clone().filter(|hand| hand.version() != self.overrides_version)
        else {
            return;
        };
        // The version is read before the set: a change in between is applied once more instead of being missed.
        self.overrides_version = hand.version();
        for (front, back, news) in self.register.set_excluded(now, hand.excluded()) {
            let back = back.iter().map(|name| Event::Restarted(self.endpoint_id(front, name))).collect();
            self.apply_list_change(now, front, news, back);
        }
        self.update_member_counts();
    }

    /// The decision module's id of a backend. It follows the name, because the address may change and may differ between
    /// couriers.
    pub(super) fn endpoint_id(&mut self, front: u8, name: &str) -> EndpointId {
        let next = EndpointId { addr: self.next_endpoint_number.to_be_bytes(), port: 0 };
        *self.endpoint_ids.entry((front, name.to_owned())).or_insert_with(|| {
            self.next_endpoint_number += 1;
            next
        })
    }

    /// Applies an update of a list. What discovery has changed is kept on disk before it takes effect.
    pub(super) fn list_updated(&mut self, now: Micros, front: u8, update: ListUpdate) {
        if let Some(overrides) = &self.overrides {
            overrides.record_listed(update.records.iter().map(|line| line.name.as_str()));
        }
        // The decision module is notified of every answer of discovery, even if the list has not changed.
        let discovery_event = (update.source == Source::Discovery).then(|| Event::ListChange(Vec::new()));
        let effects = self.register.front_mut(front, now).apply_update(now, update);
        if front == PLATFORM_FRONT {
            self.keep_list_changes(&effects.list_changes);
        }
        self.apply_list_change(now, front, effects, discovery_event.into_iter().collect());
    }

    /// Carries out the register's decisions and passes the resulting events to the decision module.
    pub(super) fn apply_list_change(
        &mut self, now: Micros, front: u8, news: RegistryEffects, more: Vec<Event>,
    ) {
        let mut events = self.list_change_events(now, front, news);
        events.extend(more);
        self.feed(now, &events, &mut []);
    }

    /// Carries out the register's decisions and returns the events for the decision module.
    pub(super) fn list_change_events(&mut self, now: Micros, front: u8, news: RegistryEffects) -> Vec<Event> {
        news.log_lines.iter().for_each(|words| tracing::info!(target: "register", "{words}"));
        let mut lines = Vec::with_capacity(news.changes.len());
        // Most endpoints share their zone with others.
        let mut zone_ids: HashMap<Arc<str>, Option<ZoneId>> = HashMap::new();
        for EndpointChange { record: line, ejected } in news.changes {
            self.retire_if_reassigned(now, front, &line, &mut lines);
            let endpoint = self.endpoint_id(front, &line.name);
            let kind = self.listed_kinds.kind_of(&line);
            let zone = match zone_ids.get(&line.zone) {
                Some(zone) => *zone,
                None => *zone_ids.entry(line.zone.clone()).or_insert(ZoneId::of_name(&line.zone)),
            };
            lines.push(Entry {
                endpoint,
                destination: DestinationId(line.dest),
                kind,
                zone,
                state: match line.state {
                    EndpointState::Up if ejected => ListingState::Draining,
                    EndpointState::Up => ListingState::Ready,
                    EndpointState::Draining => ListingState::Draining,
                    EndpointState::Gone => ListingState::Gone,
                },
                weight: line.weight,
                rank: line.rank,
            });
            self.batches.set_kind(endpoint, kind);
            let listed = Arc::new(Backend { name: line.name, addr: line.addr, zone, dest: line.dest });
            if line.state == EndpointState::Gone {
                let name = listed.name.clone();
                self.removed_backends.push_back(RemovedBackend { removed_at: now, front, endpoint, name });
            }
            // Idle connections to a backend that drains, was removed or changed its address are closed.
            let before = self.backends.insert(endpoint, listed.clone()).filter(|b| *b != listed);
            let parts = line.state != EndpointState::Up;
            before.into_iter().chain(parts.then_some(listed)).for_each(|b| self.order(Order::CloseIdle(b)));
        }
        self.forget_removed_backends(now);
        if news.reread_list {
            self.order(Order::ReadList(front));
        }
        let mut events: Vec<Event> =
            news.rejected.into_iter().filter_map(|msg| self.leave_waiting_line(msg)).collect();
        for msg in news.released {
            let Some((fetch, cap)) = self.waiting_fetches.remove(&msg) else { continue };
            if self.messages.contains_key(&msg) {
                self.start(now, fetch, cap);
            } else {
                // The message has ended: without this event its call would keep its concurrency slot for ever.
                events.push(returned_event(&fetch, Outcome::NotSent, true, Micros(0), Vec::new()));
                self.record_call_end(now, &fetch, CallEnd::Unsent, &mut events);
            }
        }
        if !lines.is_empty() {
            events.insert(0, Event::LocalListChange(lines));
        }
        events
    }

    /// If a backend is listed for another destination than before, the one before is gone: the decision module would otherwise
    /// send it messages of both. The backend gets another id.
    fn retire_if_reassigned(
        &mut self, now: Micros, front: u8, line: &EndpointRecord, lines: &mut Vec<Entry>,
    ) {
        let key = (front, line.name.clone());
        let Some(endpoint) = self.endpoint_ids.get(&key).copied() else { return };
        let Some(before) = self.backends.get(&endpoint).filter(|before| before.dest != line.dest).cloned()
        else {
            return;
        };
        lines.push(Entry {
            endpoint,
            destination: DestinationId(before.dest),
            kind: self.batches.kind(endpoint).unwrap_or(KindId::UNLISTED),
            zone: before.zone,
            state: ListingState::Gone,
            weight: 0.0,
            rank: 0,
        });
        self.order(Order::CloseIdle(before));
        self.endpoint_ids.remove(&key);
        self.removed_backends.push_back(RemovedBackend { removed_at: now, front, endpoint, name: key.1 });
    }

    /// Whether a call goes where its backend is listed now: another process may have its address, or another destination it.
    pub(super) fn is_listed_as_ordered(&self, fetch: &Fetch) -> bool {
        let (front, name) = (fetch.req.front, &fetch.backend.name);
        let accepts_calls = self.register.front(front).is_some_and(|registry| registry.accepts_calls(name));
        let is_current = self.endpoint_ids.get(&(front, name.clone())) == Some(&fetch.endpoint);
        let listed = self.backends.get(&fetch.endpoint);
        accepts_calls
            && is_current
            && listed.is_some_and(|now| now.addr == fetch.backend.addr && now.dest == fetch.req.dest)
    }

    /// Forgets backends that were removed long ago. Where backends come and go all day, their names would otherwise fill
    /// the memory.
    pub(super) fn forget_removed_backends(&mut self, now: Micros) {
        let over = |s: &Core| {
            s.removed_backends.len() > MAX_REMOVED_BACKENDS
                || s.removed_backends
                    .front()
                    .is_some_and(|removed| removed.removed_at + REMOVED_BACKEND_RETENTION <= now)
        };
        while over(self) {
            let Some(RemovedBackend { front, endpoint, name, .. }) = self.removed_backends.pop_front() else {
                return;
            };
            let is_listed = self.register.front(front).is_some_and(|registry| registry.contains(&name));
            let key = (front, name);
            let is_current = self.endpoint_ids.get(&key) == Some(&endpoint);
            // A backend that is listed again is kept.
            if is_listed && is_current {
                continue;
            }
            if is_current {
                self.endpoint_ids.remove(&key);
            }
            self.backends.remove(&endpoint);
            self.batches.remove_endpoint(endpoint);
        }
    }
}
