//! The interface of a decision engine, and the state that it hands over to the process that replaces its own.

use super::events::{Action, Event};
use super::ids::{DestinationId, EndpointId, MessageId, Micros};
use crate::shared::sharing::{Facts, FleetView};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The state of a decision engine, in a form that only an engine of the same version understands.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineState(pub(crate) serde_json::Value);

/// The outage state of an endpoint, as a process run last observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outage {
    /// The endpoint fails, or failed at the last attempt or probe.
    Out,
    /// The endpoint is back and in slow start.
    Cold {
        /// The estimated time at which it came back.
        since: Micros,
        /// The latest time at which it can have come back.
        back_by: Micros,
    },
}

/// Decides when and where each message is sent: [`crate::Sender`], or another implementation that an emulator compares
/// with it. An implementation does no I/O, reads no clock and starts no threads.
///
/// The `restore_` methods and [`import_state`](DecisionEngine::import_state) are called before the first event.
pub trait DecisionEngine: Send {
    /// Processes the events that happened up to `now` and appends the resulting actions.
    fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>);
    /// Whether a call with this message may start at this endpoint; asked just before its first byte is sent.
    fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool;
    /// Until when a destination has required callers to wait; 0 if it has not.
    fn required_wait_until(&self, destination: DestinationId) -> Micros;
    /// Restores a wait that a destination required from an earlier process run.
    fn restore_wait(&mut self, _destination: DestinationId, _until: Micros) {}
    /// Sets the initial send rate for a destination that doesn't publish its rate limit.
    fn restore_send_rate(&mut self, _destination: DestinationId, _per_s: f64) {}
    /// The recent rate of submitted messages for each destination, in messages per second.
    fn demand(&self, _now: Micros) -> Vec<(DestinationId, f64)> {
        Vec::new()
    }
    /// The endpoints that are out, or in slow start after an outage.
    fn outages(&self, _now: Micros) -> Vec<(EndpointId, Outage)> {
        Vec::new()
    }
    /// A counter that increases each time an endpoint is found to be out or back.
    fn outage_changes(&self) -> u64 {
        0
    }
    /// Restores the outage that an earlier process run observed at an endpoint. `_per_s` is the rate of submitted messages
    /// for its destination at that time, in messages per second.
    fn restore_outage(&mut self, _id: EndpointId, _outage: Outage, _per_s: f64) {}
    /// Whether the engine has ejected this endpoint because of an outage. Used for overviews.
    fn is_ejected(&self, _id: EndpointId) -> bool {
        false
    }
    /// The observations of this courier that it shares with its peers. Endpoints are named by their addresses.
    fn facts(&self, _now: Micros) -> Facts {
        Facts::default()
    }
    /// Applies the merged view of all couriers. It is valid until its own expiry time.
    fn apply_beliefs(&mut self, _now: Micros, _beliefs: Arc<FleetView>) {}
    /// The learnt state that the replacing process of this courier continues with. Messages and the endpoint list are
    /// handed over separately.
    fn export_state(&self) -> EngineState {
        EngineState::default()
    }
    /// Continues with the state that [`export_state`](DecisionEngine::export_state) returned in the replaced process.
    fn import_state(&mut self, _state: EngineState) {}
}
