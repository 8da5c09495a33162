//! Export and import of a sender's learnt state for the handover to a replacing process: the state of destinations and
//! endpoints, required waits, send rates and retry budgets. Messages and the endpoint list are handed over separately.
//! This module makes no decisions. Endpoints keep their ids across the handover.

use crate::api::*;
use crate::policy::DEMAND_WINDOW;
use crate::shared::sharing::{Facts, FleetView};
use crate::state::{Destination, Endpoint, Health, RetryReserve, Route, RouteId, Sender};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The learnt state as JSON. The type parameters let the exporting side borrow what the importing side owns.
#[derive(Serialize, Deserialize)]
struct LearntState<D, R, E, S> {
    destinations: D,
    routes: R,
    endpoints: E,
    #[serde(rename = "reserve")]
    retry_reserve: S,
    #[serde(rename = "shares")]
    tenant_clocks: Vec<Micros>,
    #[serde(rename = "hope")]
    acceptance_after_refusal: f64,
    #[serde(rename = "keep")]
    idle_timeouts: Vec<(KindId, Micros)>,
}

type Pairs<K, V> = Vec<(K, V)>;
type ImportedState = LearntState<
    Pairs<DestinationId, Destination>,
    Pairs<RouteId, Route>,
    Pairs<EndpointId, Endpoint>,
    RetryReserve,
>;

impl Sender {
    pub(crate) fn export_state(&self) -> EngineState {
        let learnt = LearntState {
            destinations: self.destinations.iter().collect::<Vec<_>>(),
            routes: self.routes.iter().collect::<Vec<_>>(),
            endpoints: self.endpoints.iter().collect::<Vec<_>>(),
            retry_reserve: &self.retry_reserve,
            tenant_clocks: self.tenant_clocks.clone(),
            acceptance_after_refusal: self.acceptance_after_refusal,
            idle_timeouts: self.idle_timeouts.iter().map(|(k, v)| (*k, *v)).collect(),
        };
        // If the state can't be serialized, the new process starts without it and learns it again.
        EngineState(serde_json::to_value(learnt).unwrap_or_default())
    }

    pub(crate) fn import_state(&mut self, state: EngineState) {
        let Ok(learnt) = serde_json::from_value::<ImportedState>(state.0) else { return };
        self.destinations = learnt.destinations.into_iter().collect();
        self.routes = learnt.routes.into_iter().collect();
        self.retry_reserve = learnt.retry_reserve;
        if learnt.tenant_clocks.len() == self.tenant_clocks.len() {
            self.tenant_clocks = learnt.tenant_clocks;
        }
        self.acceptance_after_refusal = learnt.acceptance_after_refusal;
        self.idle_timeouts = learnt.idle_timeouts.into_iter().collect();
        for (id, mut endpoint) in learnt.endpoints {
            // The half-open trial was in flight in the replaced process. If it has ended by now, no outcome would follow
            // and the endpoint would stay half-open for ever.
            if endpoint.health == Health::HalfOpen {
                endpoint.health = Health::Ejected { trial_at: endpoint.last_trial_at, probed: false };
            }
            self.routes.entry(endpoint.route).or_default().endpoints.insert(id);
            self.endpoints.insert(id, endpoint);
        }
    }

    /// Restores a wait that a destination required from an earlier process run.
    pub(crate) fn restore_wait(&mut self, destination: DestinationId, until: Micros) {
        let route = self.routes.entry((destination, None)).or_default();
        route.wait_until = route.wait_until.max(until);
    }

    /// Sets the initial send rate of a destination, unless the endpoint list or load reports publish rate limits, which are
    /// more precise than a remembered rate.
    pub(crate) fn restore_send_rate(&mut self, destination: DestinationId, per_s: f64) {
        if self.settings.report_limit.is_none() && self.settings.weights == Weights::Off {
            self.routes.entry((destination, None)).or_default().send_rate.calls_per_s.get_or_insert(per_s);
        }
    }

    pub(crate) fn demand(&self, now: Micros) -> Vec<(DestinationId, f64)> {
        let recent_count =
            |d: &Destination| d.recent_demand.iter().filter(|at| **at + DEMAND_WINDOW >= now).count();
        let rates =
            self.destinations.iter().map(|(id, d)| (*id, recent_count(d) as f64 / DEMAND_WINDOW.secs()));
        rates.filter(|(_, per_s)| *per_s > 0.0).collect()
    }
}

impl DecisionEngine for Sender {
    fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        Sender::handle(self, now, events, actions);
    }

    fn may_begin(&self, now: Micros, message: MessageId, id: EndpointId) -> bool {
        Sender::may_begin(self, now, message, id)
    }

    fn required_wait_until(&self, destination: DestinationId) -> Micros {
        Sender::told_wait(self, destination)
    }

    fn restore_wait(&mut self, destination: DestinationId, until: Micros) {
        Sender::restore_wait(self, destination, until);
    }

    fn restore_send_rate(&mut self, destination: DestinationId, per_s: f64) {
        Sender::restore_send_rate(self, destination, per_s);
    }

    fn demand(&self, now: Micros) -> Vec<(DestinationId, f64)> {
        Sender::demand(self, now)
    }

    fn outages(&self, now: Micros) -> Vec<(EndpointId, Outage)> {
        Sender::outages(self, now)
    }

    fn outage_changes(&self) -> u64 {
        self.outage_changes
    }

    fn restore_outage(&mut self, id: EndpointId, outage: Outage, per_s: f64) {
        Sender::record_earlier_outage(self, id, outage, per_s);
    }

    fn is_ejected(&self, id: EndpointId) -> bool {
        self.endpoints.get(&id).is_some_and(|e| e.health.is_ejected())
    }

    fn facts(&self, now: Micros) -> Facts {
        Sender::facts(self, now)
    }

    fn apply_beliefs(&mut self, now: Micros, beliefs: Arc<FleetView>) {
        Sender::apply_beliefs(self, now, beliefs);
    }

    fn export_state(&self) -> EngineState {
        Sender::export_state(self)
    }

    fn import_state(&mut self, state: EngineState) {
        Sender::import_state(self, state);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::Value;

    fn settings() -> Settings {
        let text = include_str!("../examples/config.json");
        let mut config: Value = serde_json::from_str(text).unwrap();
        crate::settings::settings(config["settings"].take().to_string().as_bytes()).unwrap()
    }

    const ENDPOINT: EndpointId = EndpointId { addr: [0, 0, 0, 1], port: 0 };

    fn endpoint_listed() -> Event {
        Event::ListChange(vec![Entry {
            endpoint: ENDPOINT,
            destination: DestinationId(3),
            kind: KindId(1),
            zone: Some(ZoneId(0)),
            state: ListingState::Ready,
            weight: 50.0,
            rank: 0,
        }])
    }

    fn message(id: u64) -> Message {
        Message {
            id: MessageId(id),
            destination: DestinationId(3),
            class: ClassId(0),
            tenant: TenantId(0),
            key: None,
            due: Micros(30_000_000),
        }
    }

    fn attempts(actions: &[Action]) -> usize {
        actions.iter().filter(|a| matches!(a, Action::Try { .. })).count()
    }

    /// Guards against a wait that is lost with the process that received it: the next process would send too early.
    #[test]
    fn required_wait_and_call_in_flight_survive_handover() {
        let now = Micros(10_000_000);
        let mut old = Sender::new(settings(), 1);
        let mut actions = Vec::new();
        old.handle(now - Micros(500_000), &[endpoint_listed(), Event::Demand(message(1))], &mut actions);
        old.handle(now, &[Event::Demand(message(2))], &mut actions);
        assert_eq!(attempts(&actions), 2);
        let outcome = Outcome::Refused(Some(Micros(2_000_000)));
        let (attempt, latency, report) = (0, Micros(1000), Vec::new());
        old.handle(
            now + Micros(1000),
            &[Event::Returned {
                id: MessageId(1),
                endpoint: ENDPOINT,
                outcome,
                terminal: false,
                latency,
                attempt,
                report,
            }],
            &mut actions,
        );
        let exported: EngineState =
            serde_json::from_str(&serde_json::to_string(&old.export_state()).unwrap()).unwrap();
        let mut new = Sender::new(settings(), 2);
        new.import_state(exported);
        assert_eq!(new.told_wait(DestinationId(3)), now + Micros(2_001_000));
        actions.clear();
        let events = [
            Event::Resumed { message: message(1), attempts: 1, first_uncertain: None },
            Event::Resumed { message: message(2), attempts: 1, first_uncertain: None },
            Event::CallInFlight {
                id: MessageId(2),
                attempt: SentAttempt { sent_at: now, endpoint: ENDPOINT, zone: None },
            },
            endpoint_listed(),
        ];
        new.handle(now + Micros(2000), &events, &mut actions);
        assert_eq!(attempts(&actions), 0, "one message waits, the other is in flight: {actions:?}");
        assert_eq!(new.free_slots(), old.free_slots(), "the call in flight occupies its slot");
        let (outcome, report) = (Outcome::Ok, Vec::new());
        new.handle(
            now + Micros(100_000),
            &[Event::Returned {
                id: MessageId(2),
                endpoint: ENDPOINT,
                outcome,
                terminal: true,
                latency,
                attempt,
                report,
            }],
            &mut actions,
        );
        assert!(!new.messages.contains_key(&MessageId(2)));
        assert_eq!(new.free_slots(), old.free_slots() + 1);
        for ms in 2..40 {
            new.handle(now + Micros(ms * 100_000), &[Event::TimerElapsed(TimerToken(0))], &mut actions);
            if ms < 20 {
                assert_eq!(attempts(&actions), 0, "the wait still holds at {ms}");
            }
        }
        assert_eq!(attempts(&actions), 1);
    }

    #[test]
    fn unreadable_state_is_ignored() {
        let mut new = Sender::new(settings(), 2);
        new.import_state(EngineState(serde_json::json!({"destinations": 3})));
        new.import_state(EngineState::default());
        assert!(new.routes.is_empty() && new.endpoints.is_empty());
    }
}
