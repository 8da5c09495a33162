//! The core's part in the notes between peers and in probes of endpoints. The decision module identifies an endpoint by
//! a number that this courier assigned; notes carry its name in the list, which is the same at every courier.

use super::handover::{Deferred, Ownership};
use super::{Backend, Core, Courier, Order, MIN_TIME_TO_BEGIN, PLATFORM_FRONT};
use crate::api::{DestinationId, EndpointId, Event, Micros, Outcome, PeerId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Probes that may be ordered or in flight at once; further ones end as not sent. Without the limit, a decision module
/// that keeps asking for probes would exhaust memory.
const MAX_OUTSTANDING_PROBES: usize = 1024;

/// A health probe of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    pub(crate) endpoint: EndpointId,
    /// The backend to probe.
    pub backend: Arc<Backend>,
    /// Its destination; a wait that the destination demanded applies to the probe too.
    pub dest: u16,
    /// When the probe was ordered; its timeout counts from this moment.
    pub ordered_at: Micros,
}

impl Probe {
    /// A number that no other call in flight has: messages have smaller numbers, and an endpoint has one probe at most.
    pub fn number(&self) -> u64 {
        let [a, b, c, d, ..] = self.endpoint.bytes();
        u64::from(u32::MAX) << 32 | u64::from(u32::from_be_bytes([a, b, c, d]))
    }
}

/// A note that one courier sends to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The endpoint of this name has answered again after an outage.
    EndpointRecovered(String),
}

/// Whether the settings permit probes and notes, and the endpoints with a probe ordered or in flight.
#[derive(Default)]
pub(super) struct ProbesAndNotes {
    probes_allowed: bool,
    notes_allowed: bool,
    outstanding: BTreeSet<EndpointId>,
}

impl ProbesAndNotes {
    pub(super) fn new(probes_allowed: bool, notes_allowed: bool) -> ProbesAndNotes {
        ProbesAndNotes { probes_allowed, notes_allowed, outstanding: BTreeSet::new() }
    }
}

impl Core {
    /// The name of an endpoint of the decision module, if it is one of the platform front. Mail servers of other
    /// companies speak another protocol and are not known to the peers.
    fn endpoint_name(&self, at: EndpointId) -> Option<String> {
        let mut known = self.endpoint_ids.iter();
        known
            .find(|((front, _), id)| *front == PLATFORM_FRONT && **id == at)
            .map(|((_, name), _)| name.clone())
    }

    /// Orders a probe for the decision module. If it can't be ordered, the event of its end is returned at once: an
    /// endpoint counts as half open until its probe ends, and receives no calls meanwhile.
    pub(super) fn probe(&mut self, now: Micros, at: EndpointId) -> Option<Event> {
        let target = self
            .endpoint_name(at)
            .and_then(|name| self.register.front(PLATFORM_FRONT)?.destination_of(&name));
        let (Some(dest), Some(backend), true) =
            (target, self.backends.get(&at).cloned(), self.neighbours.probes_allowed)
        else {
            return Some(probe_event(at, Outcome::NotSent, Micros(0), Vec::new()));
        };
        if self.neighbours.outstanding.len() >= MAX_OUTSTANDING_PROBES
            || !self.neighbours.outstanding.insert(at)
        {
            return Some(probe_event(at, Outcome::NotSent, Micros(0), Vec::new()));
        }
        self.order(Order::Probe(Probe { endpoint: at, backend, dest, ordered_at: now }));
        None
    }

    /// Sends a note of the decision module. Bytes that are not the number of a known endpoint are not sent.
    pub(super) fn note(&self, to: Option<PeerId>, bytes: &[u8]) {
        let name = EndpointId::from_bytes(bytes).and_then(|at| self.endpoint_name(at));
        if let (Some(name), true) = (name, self.neighbours.notes_allowed) {
            self.order(Order::Note { to, note: Note::EndpointRecovered(name) });
        }
    }

    /// As [`Courier::may_probe`].
    pub fn may_probe(&mut self, now: Micros, probe: &Probe) -> bool {
        if !self.is_active() {
            return false;
        }
        self.apply_overrides(now);
        let listed =
            self.register.front(PLATFORM_FRONT).is_some_and(|b| b.accepts_calls(&probe.backend.name));
        let unchanged = self.backends.get(&probe.endpoint).is_some_and(|b| *b == probe.backend);
        let must_wait =
            self.destination_waits.get(&(PLATFORM_FRONT, probe.dest)).is_some_and(|until| now < *until);
        let stopping = self.stop_at.is_some_and(|at| now + MIN_TIME_TO_BEGIN >= at);
        listed
            && unchanged
            && !must_wait
            && !stopping
            && self.neighbours.outstanding.contains(&probe.endpoint)
    }

    /// As [`Courier::probed`].
    pub fn probed(&mut self, now: Micros, probe: &Probe, outcome: Outcome, latency: Micros, load: Vec<f32>) {
        let event = probe_event(probe.endpoint, outcome, latency, load);
        match &mut self.mode {
            Ownership::Active => {}
            Ownership::Frozen(waited) => return waited.push(Deferred::Probed(event)),
            // The process that took over the decision module treats this probe as not sent.
            Ownership::HandedOver { .. } => return,
        }
        if let Outcome::Refused(Some(wait)) = outcome {
            // The decision module ignores the wait in the outcome of a probe. Without being told here it would keep
            // ordering calls that are stopped just before their first byte, until their messages had no attempt left.
            self.record_wait(now, PLATFORM_FRONT, probe.dest, wait);
            self.policy.restore_wait(DestinationId(probe.dest), now + wait);
            self.write_memory_if_due(now);
        }
        self.process_probe_result(now, event);
    }

    pub(super) fn process_probe_result(&mut self, now: Micros, event: Event) {
        if let Event::Probed { endpoint, .. } = &event {
            self.neighbours.outstanding.remove(endpoint);
        }
        self.feed(now, &[event], &mut []);
    }

    /// As [`Courier::noted`].
    pub fn noted(&mut self, now: Micros, from: PeerId, note: &Note) -> bool {
        let Note::EndpointRecovered(name) = note;
        let listed = self.register.front(PLATFORM_FRONT).is_some_and(|b| b.contains(name));
        let Some(at) = self.endpoint_ids.get(&(PLATFORM_FRONT, name.clone())).copied().filter(|_| listed)
        else {
            return false;
        };
        if !self.neighbours.notes_allowed || !self.is_active() {
            return false;
        }
        self.feed(now, &[Event::PeerGossip { from, bytes: at.bytes().to_vec() }], &mut []);
        true
    }
}

impl Courier {
    /// Decides just before the first byte of a probe whether it may be sent: its endpoint must still be listed at the
    /// same address, be in use and have no wait pending, and the process must run long enough.
    pub fn may_probe(&self, probe: &Probe) -> bool {
        let now = self.clock.now();
        self.state().may_probe(now, probe)
    }

    /// Reports the end of a probe. `NotSent` means that it was not sent.
    pub fn probed(&self, probe: &Probe, outcome: Outcome, latency: Micros, load: Vec<f32>) {
        let now = self.clock.now();
        self.state().probed(now, probe, outcome, latency, load);
    }

    /// Processes a note from a peer. Returns `false` if the note is ignored, since its endpoint is not listed here, the
    /// settings permit no notes, or this process does not decide.
    pub fn noted(&self, from: PeerId, note: &Note) -> bool {
        let now = self.clock.now();
        self.state().noted(now, from, note)
    }
}

fn probe_event(endpoint: EndpointId, outcome: Outcome, latency: Micros, report: Vec<f32>) -> Event {
    Event::Probed { endpoint, outcome, latency, report }
}
