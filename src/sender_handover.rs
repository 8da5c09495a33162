//! What a sender passes on to the process that goes on in its place, beside the messages and the list: what it has learnt
//! of destinations and endpoints, told waits, paces and budgets. It decides nothing; endpoints keep their ids.

use crate::api::*;
use crate::policy::DEMAND_WINDOW;
use crate::shared::sharing::{Beliefs, Facts};
use crate::state::{Destination, Endpoint, Health, RetryReserve, Route, RouteId, Sender};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

#[derive(Serialize, Deserialize)]
struct Learnt<D, R, E, S> {
    destinations: D,
    routes: R,
    endpoints: E,
    reserve: S,
    shares: Vec<Micros>,
    hope: f64,
    keep: Vec<(KindId, Micros)>,
}

type Pairs<K, V> = Vec<(K, V)>;
type Read = Learnt<
    Pairs<DestinationId, Destination>,
    Pairs<RouteId, Route>,
    Pairs<EndpointId, Endpoint>,
    RetryReserve,
>;

impl Sender {
    pub(crate) fn export_state(&self) -> EngineState {
        let learnt = Learnt {
            destinations: self.destinations.iter().collect::<Vec<_>>(),
            routes: self.routes.iter().collect::<Vec<_>>(),
            endpoints: self.endpoints.iter().collect::<Vec<_>>(),
            reserve: &self.retry_reserve,
            shares: self.tenant_clocks.clone(),
            hope: self.acceptance_after_refusal,
            keep: self.idle_timeouts.iter().map(|(k, v)| (*k, *v)).collect(),
        };
        // What can't be put into words is learnt anew.
        EngineState(serde_json::to_value(learnt).unwrap_or_default())
    }

    pub(crate) fn import_state(&mut self, carried: EngineState) {
        let Ok(learnt) = serde_json::from_value::<Read>(carried.0) else { return };
        self.destinations = learnt.destinations.into_iter().collect();
        self.routes = learnt.routes.into_iter().collect();
        self.retry_reserve = learnt.reserve;
        if learnt.shares.len() == self.tenant_clocks.len() {
            self.tenant_clocks = learnt.shares;
        }
        self.acceptance_after_refusal = learnt.hope;
        self.idle_timeouts = learnt.keep.into_iter().collect();
        for (id, mut endpoint) in learnt.endpoints {
            // Its trial is out, and if it is not any more nobody would ever end the wait for it.
            if endpoint.health == Health::HalfOpen {
                endpoint.health = Health::Ejected { trial_at: endpoint.last_trial_at, probed: false };
            }
            self.routes.entry(endpoint.route).or_default().endpoints.insert(id);
            self.endpoints.insert(id, endpoint);
        }
    }

    /// A wait that a former life was told.
    pub(crate) fn restore_wait(&mut self, destination: DestinationId, until: Micros) {
        let route = self.routes.entry((destination, None)).or_default();
        route.wait_until = route.wait_until.max(until);
    }

    /// A life that begins goes on from here. Where limits are told, by list or by report, they say it better.
    pub(crate) fn restore_send_rate(&mut self, destination: DestinationId, per_s: f64) {
        if self.settings.report_limit.is_none() && self.settings.weights == Weights::Off {
            self.routes.entry((destination, None)).or_default().send_rate.calls_per_s.get_or_insert(per_s);
        }
    }

    pub(crate) fn demand(&self, now: Micros) -> Vec<(DestinationId, f64)> {
        let lately =
            |d: &Destination| d.recent_demand.iter().filter(|at| **at + DEMAND_WINDOW >= now).count();
        let all = self.destinations.iter().map(|(id, d)| (*id, lately(d) as f64 / DEMAND_WINDOW.secs()));
        all.filter(|(_, per_s)| *per_s > 0.0).collect()
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
        Sender::was_out(self, id, outage, per_s);
    }

    fn is_ejected(&self, id: EndpointId) -> bool {
        self.endpoints.get(&id).is_some_and(|e| e.health.is_ejected())
    }

    fn facts(&self, now: Micros) -> Facts {
        Sender::facts(self, now)
    }

    fn apply_beliefs(&mut self, now: Micros, beliefs: Arc<Beliefs>) {
        Sender::apply_beliefs(self, now, beliefs);
    }

    fn export_state(&self) -> EngineState {
        Sender::export_state(self)
    }

    fn import_state(&mut self, carried: EngineState) {
        Sender::import_state(self, carried);
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

    const AT: EndpointId = EndpointId { addr: [0, 0, 0, 1], port: 0 };

    fn listed() -> Event {
        Event::ListChange(vec![Entry {
            endpoint: AT,
            destination: DestinationId(3),
            kind: KindId(1),
            zone: ZoneId(0),
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

    fn tries(actions: &[Action]) -> usize {
        actions.iter().filter(|a| matches!(a, Action::Try { .. })).count()
    }

    /// Danger: a wait that ends with the process that heard it is broken by the next one.
    #[test]
    fn a_told_wait_and_a_call_that_is_out_go_along() {
        let now = Micros(10_000_000);
        let mut old = Sender::new(settings(), 1);
        let mut actions = Vec::new();
        old.handle(now - Micros(500_000), &[listed(), Event::Demand(message(1))], &mut actions);
        old.handle(now, &[Event::Demand(message(2))], &mut actions);
        assert_eq!(tries(&actions), 2);
        let outcome = Outcome::Refused(Some(Micros(2_000_000)));
        let (attempt, latency, report) = (0, Micros(1000), Vec::new());
        old.handle(
            now + Micros(1000),
            &[Event::Returned {
                id: MessageId(1),
                endpoint: AT,
                outcome,
                terminal: false,
                latency,
                attempt,
                report,
            }],
            &mut actions,
        );
        let carried: EngineState =
            serde_json::from_str(&serde_json::to_string(&old.export_state()).unwrap()).unwrap();
        let mut new = Sender::new(settings(), 2);
        new.import_state(carried);
        assert_eq!(new.told_wait(DestinationId(3)), now + Micros(2_001_000));
        actions.clear();
        let events = [
            Event::Resumed { message: message(1), attempts: 1, first_uncertain: None },
            Event::Resumed { message: message(2), attempts: 1, first_uncertain: None },
            Event::CallInFlight { id: MessageId(2), endpoint: AT, sent: now },
            listed(),
        ];
        new.handle(now + Micros(2000), &events, &mut actions);
        assert_eq!(tries(&actions), 0, "one waits, one is out: {actions:?}");
        assert_eq!(new.free_slots(), old.free_slots(), "the call holds its slot");
        let (outcome, report) = (Outcome::Ok, Vec::new());
        new.handle(
            now + Micros(100_000),
            &[Event::Returned {
                id: MessageId(2),
                endpoint: AT,
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
                assert_eq!(tries(&actions), 0, "the wait is on at {ms}");
            }
        }
        assert_eq!(tries(&actions), 1);
    }

    #[test]
    fn what_is_not_understood_is_learnt_anew() {
        let mut new = Sender::new(settings(), 2);
        new.import_state(EngineState(serde_json::json!({"destinations": 3})));
        new.import_state(EngineState::default());
        assert!(new.routes.is_empty() && new.endpoints.is_empty());
    }
}
