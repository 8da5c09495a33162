//! The core's part in what neighbours tell each other and in probes of endpoints. The module names an endpoint by a number
//! that this courier gave it; outside it goes by its name in the list, the same at every courier.

use super::handover::{Deferred, Ownership};
use super::{Backend, Core, Courier, Order, MIN_TIME_TO_BEGIN, PLATFORM_FRONT};
use crate::api::{DestinationId, EndpointId, Event, Micros, Outcome, PeerId};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Probes that are ordered or out at once; more end as not sent. Danger: a module that asks without end would fill memory.
const OUT_MOST: usize = 1024;

/// A question to one endpoint how it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Probe {
    pub(crate) endpoint: EndpointId,
    /// Whom to ask.
    pub backend: Arc<Backend>,
    /// Its destination, whose told waits bind the probe too.
    pub dest: u16,
    /// When it was ordered; its time counts from here.
    pub since: Micros,
}

impl Probe {
    /// A number of its own among all that is out: messages have numbers below it, and an endpoint has one probe at most.
    pub fn number(&self) -> u64 {
        let [a, b, c, d, ..] = self.endpoint.bytes();
        u64::from(u32::MAX) << 32 | u64::from(u32::from_be_bytes([a, b, c, d]))
    }
}

/// What one courier tells another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Note {
    /// The endpoint of this name has answered after it had been out.
    EndpointRecovered(String),
}

/// What the settings permit, and what is out.
#[derive(Default)]
pub(super) struct ProbesAndNotes {
    probes: bool,
    notes: bool,
    out: BTreeSet<EndpointId>,
}

impl ProbesAndNotes {
    pub(super) fn new(probes: bool, notes: bool) -> ProbesAndNotes {
        ProbesAndNotes { probes, notes, out: BTreeSet::new() }
    }
}

impl Core {
    /// The name behind one of the module's numbers, if the platform's list has it. Who brings mail to other firms speaks
    /// another protocol there, and his neighbours are none of ours.
    fn name_of(&self, at: EndpointId) -> Option<String> {
        let mut all = self.endpoint_ids.iter();
        all.find(|((front, _), id)| *front == PLATFORM_FRONT && **id == at).map(|((_, name), _)| name.clone())
    }

    /// The module asks for a probe. What can't be ordered ends at once, by an event that is returned. Danger: an endpoint
    /// counts as half open until its probe ends, and gets nothing meanwhile.
    pub(super) fn probe(&mut self, now: Micros, at: EndpointId) -> Option<Event> {
        let to = self.name_of(at).and_then(|name| self.register.front(PLATFORM_FRONT)?.destination_of(&name));
        let (Some(dest), Some(backend), true) = (to, self.backends.get(&at).cloned(), self.neighbours.probes)
        else {
            return Some(probed(at, Outcome::Moot, Micros(0), Vec::new()));
        };
        if self.neighbours.out.len() >= OUT_MOST || !self.neighbours.out.insert(at) {
            return Some(probed(at, Outcome::Moot, Micros(0), Vec::new()));
        }
        self.order(Order::Probe(Probe { endpoint: at, backend, dest, since: now }));
        None
    }

    /// The module has something to tell; what is not the number of an endpoint is told nobody.
    pub(super) fn note(&self, to: Option<PeerId>, bytes: &[u8]) {
        let name = EndpointId::from_bytes(bytes).and_then(|at| self.name_of(at));
        if let (Some(name), true) = (name, self.neighbours.notes) {
            self.order(Order::Note { to, note: Note::EndpointRecovered(name) });
        }
    }

    /// As [`Courier::may_probe`].
    pub fn may_probe(&mut self, now: Micros, probe: &Probe) -> bool {
        if !self.is_active() {
            return false;
        }
        self.look_at_hand(now);
        let listed =
            self.register.front(PLATFORM_FRONT).is_some_and(|b| b.accepts_calls(&probe.backend.name));
        let same = self.backends.get(&probe.endpoint).is_some_and(|b| *b == probe.backend);
        let told_wait =
            self.destination_waits.get(&(PLATFORM_FRONT, probe.dest)).is_some_and(|until| now < *until);
        let ends = self.stop_at.is_some_and(|at| now + MIN_TIME_TO_BEGIN >= at);
        listed && same && !told_wait && !ends && self.neighbours.out.contains(&probe.endpoint)
    }

    /// As [`Courier::probed`].
    pub fn probed(&mut self, now: Micros, probe: &Probe, outcome: Outcome, latency: Micros, load: Vec<f32>) {
        let event = probed(probe.endpoint, outcome, latency, load);
        match &mut self.mode {
            Ownership::Active => {}
            Ownership::Frozen(waited) => return waited.push(Deferred::Probed(event)),
            // Whoever goes on with the module has taken it for not sent.
            Ownership::HandedOver { .. } => return,
        }
        if let Outcome::Full(Some(wait)) = outcome {
            // Danger: the module hears no wait in the outcome of a probe. Calls that it went on to order would be stopped
            // just before their first byte, one after the other, until their messages had no attempt left.
            self.heard_wait(now, PLATFORM_FRONT, probe.dest, wait);
            self.policy.restore_wait(DestinationId(probe.dest), now + wait);
            self.remember(now);
        }
        self.probe_over(now, event);
    }

    pub(super) fn probe_over(&mut self, now: Micros, event: Event) {
        if let Event::Probed { endpoint, .. } = &event {
            self.neighbours.out.remove(endpoint);
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
        if !self.neighbours.notes || !self.is_active() {
            return false;
        }
        self.feed(now, &[Event::PeerNote { from, bytes: at.bytes().to_vec() }], &mut []);
        true
    }
}

impl Courier {
    /// Just before the first byte of a probe: whether its endpoint is listed where it was, in use, and not told to be left
    /// alone, and whether the process goes on for long enough.
    pub fn may_probe(&self, probe: &Probe) -> bool {
        let now = self.clock.now();
        self.state().may_probe(now, probe)
    }

    /// A probe is over. `Moot`: it was not sent.
    pub fn probed(&self, probe: &Probe, outcome: Outcome, latency: Micros, load: Vec<f32>) {
        let now = self.clock.now();
        self.state().probed(now, probe, outcome, latency, load);
    }

    /// A neighbour has told something; `false`: it is of no use here, since what it names is not listed or the settings
    /// permit no notes.
    pub fn noted(&self, from: PeerId, note: &Note) -> bool {
        let now = self.clock.now();
        self.state().noted(now, from, note)
    }
}

fn probed(endpoint: EndpointId, outcome: Outcome, latency: Micros, report: Vec<f32>) -> Event {
    Event::Probed { endpoint, outcome, latency, report }
}
