//! The core's side of its exchange with the thread that shares facts and beliefs among couriers. If no such thread
//! runs, the exchange is closed and nothing is done here.

use super::{Core, PLATFORM_FRONT};
use crate::api::{EndpointId, Micros};
use crate::shared::sharing::{numeric_name, Exchange, FleetView};
use std::collections::HashMap;
use std::sync::Arc;

/// How often the core publishes its facts.
const FACTS_INTERVAL: Micros = Micros(100_000);

/// The core's state of the exchange.
#[derive(Default)]
pub(super) struct FleetExchange {
    pub(super) desk: Arc<Exchange>,
    was_open: bool,
    next_facts_at: Micros,
    /// The beliefs that the decision module has.
    current_beliefs: Option<Arc<FleetView>>,
    /// For each endpoint of the decision module, the numeric name that every courier computes for it.
    shared_names: HashMap<EndpointId, u64>,
    /// Version of the operators' overrides, and the numeric names of the endpoints that they exclude.
    ejected_by_operator: (u64, Arc<[u64]>),
}

impl FleetExchange {
    /// Closes the exchange while the core decides nothing, so that no share of a limit is lent on its behalf.
    pub(super) fn pause(&mut self) {
        self.was_open = self.desk.is_open();
        self.desk.close();
    }

    /// Opens the exchange again if it was open before [`FleetExchange::pause`].
    pub(super) fn resume(&mut self) {
        if std::mem::take(&mut self.was_open) {
            self.desk.open();
        }
    }
}

impl Core {
    /// At the start of a round, passes the fleet's beliefs to the decision module, and every [`FACTS_INTERVAL`]
    /// publishes this courier's facts.
    pub(super) fn exchange_with_fleet(&mut self, now: Micros) {
        if !self.sharing_state.desk.is_open() {
            return;
        }
        let beliefs = self.sharing_state.desk.view();
        let unchanged = match (&beliefs, &self.sharing_state.current_beliefs) {
            (Some(new), Some(old)) => Arc::ptr_eq(new, old),
            (new, _) => new.is_none(),
        };
        if !unchanged {
            self.sharing_state.current_beliefs = beliefs.clone();
            beliefs.into_iter().for_each(|beliefs| self.policy.apply_beliefs(now, beliefs));
        }
        if now < self.sharing_state.next_facts_at {
            return;
        }
        self.sharing_state.next_facts_at = now + FACTS_INTERVAL;
        let mut facts = self.policy.facts(now);
        if self.sharing_state.shared_names.len() > 2 * self.endpoint_ids.len() {
            self.sharing_state.shared_names.clear();
        }
        if facts.endpoints.iter().any(|endpoint| !self.sharing_state.shared_names.contains_key(&endpoint.id))
        {
            // Only endpoints of the platform front are shared: mail servers of other companies speak another protocol
            // and are not known to the peers.
            let platform = self.endpoint_ids.iter().filter(|((front, _), _)| *front == PLATFORM_FRONT);
            self.sharing_state
                .shared_names
                .extend(platform.map(|((_, endpoint), id)| (*id, numeric_name(endpoint.as_bytes()))));
        }
        if let Some(overrides) = self
            .overrides
            .as_ref()
            .filter(|overrides| overrides.version() != self.sharing_state.ejected_by_operator.0)
        {
            // The version is read before the set, so that a change in between causes another read in the next round.
            let version = overrides.version();
            self.sharing_state.ejected_by_operator = (
                version,
                overrides.excluded().names().map(|endpoint| numeric_name(endpoint.as_bytes())).collect(),
            );
        }
        facts.excluded = self.sharing_state.ejected_by_operator.1.clone();
        let shared_names = &self.sharing_state.shared_names;
        facts.endpoints.retain_mut(|endpoint| {
            shared_names.get(&endpoint.id).is_some_and(|name| {
                endpoint.name = *name;
                true
            })
        });
        self.sharing_state.desk.publish_facts(facts);
    }
}
