//! What decides, and what goes from it to the process that goes on in its place.

use super::events::{Action, Event};
use super::ids::{DestinationId, EndpointId, MessageId, Micros};
use crate::shared::sharing::{Beliefs, Facts};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of a module, in a form that only a module of the same version understands.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState(pub(crate) serde_json::Value);

/// How a life found an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outage {
    /// It fails, or did at the last look.
    Out,
    /// It is back and cold.
    Cold {
        /// When it came back, as far as can be guessed.
        since: Micros,
        /// The latest moment at which it may have.
        back_by: Micros,
    },
}

/// What decides: [`crate::Sender`], or whatever an emulator compares with it. No I/O, no clock, no threads.
pub trait DecisionEngine: Send {
    /// Takes in what happened at `now` and appends what to do about it.
    fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>);
    /// Whether a call of this message may begin at this endpoint, just before its first byte.
    fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool;
    /// Until when a destination has told to wait; 0: it has not.
    fn required_wait_until(&self, destination: DestinationId) -> Micros;
    /// A former life was told to wait until then; before anything else has happened.
    fn restore_wait(&mut self, _destination: DestinationId, _until: Micros) {}
    /// The pace of the first calls to a destination whose limit nobody tells; before anything else has happened.
    fn restore_send_rate(&mut self, _destination: DestinationId, _per_s: f64) {}
    /// What was handed in lately by destination, in messages a second.
    fn demand(&self, _now: Micros) -> Vec<(DestinationId, f64)> {
        Vec::new()
    }
    /// Endpoints that are out, or cold after an outage.
    fn outages(&self, _now: Micros) -> Vec<(EndpointId, Outage)> {
        Vec::new()
    }
    /// One more with each endpoint that is found out or back.
    fn outage_changes(&self) -> u64 {
        0
    }
    /// A former life found this endpoint so, and so much was handed in for its destination, in messages a second; before anything
    /// else has happened.
    fn restore_outage(&mut self, _id: EndpointId, _outage: Outage, _per_s: f64) {}
    /// Whether the module keeps away from this endpoint now, as it found it to be out. For overviews.
    fn is_ejected(&self, _id: EndpointId) -> bool {
        false
    }
    /// What this courier knows of itself, for others; endpoints are named by their addresses.
    fn facts(&self, _now: Micros) -> Facts {
        Facts::default()
    }
    /// What couriers apply_beliefs together, from now on; it holds until its own ends.
    fn apply_beliefs(&mut self, _now: Micros, _beliefs: Arc<Beliefs>) {}
    /// What another process of the same courier goes on with, beside the messages and the list.
    fn export_state(&self) -> EngineState {
        EngineState::default()
    }
    /// Goes on with it; before anything else has happened.
    fn import_state(&mut self, _carried: EngineState) {}
}
