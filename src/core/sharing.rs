//! The core's side of the desk where it meets what couriers share. Without a rider the desk is shut, and nothing is done here.

use super::{Core, PLATFORM_FRONT};
use crate::api::{EndpointId, Micros};
use crate::shared::sharing::{name, Beliefs, Desk};
use std::collections::HashMap;
use std::sync::Arc;

/// Facts are laid down so often.
const EVERY: Micros = Micros(100_000);

/// What the core keeps of it.
#[derive(Default)]
pub(super) struct FleetExchange {
    pub(super) desk: Arc<Desk>,
    paused: bool,
    facts_at: Micros,
    /// The beliefs that the module has.
    believed: Option<Arc<Beliefs>>,
    /// By the module's number: the name that all couriers compute alike.
    named: HashMap<EndpointId, u64>,
    /// Those left out by hand, by that name, and of which version of the set.
    banned: (u64, Arc<[u64]>),
}

impl FleetExchange {
    /// The core decides nothing from here on, and nobody may lend in its name.
    pub(super) fn pause(&mut self) {
        self.paused = self.desk.is_open();
        self.desk.shut();
    }

    /// It does again.
    pub(super) fn resume(&mut self) {
        if std::mem::take(&mut self.paused) {
            self.desk.open();
        }
    }
}

impl Core {
    /// When a round begins: what the fleet believes goes in, and from time to time what this courier knows goes out.
    pub(super) fn exchange_with_fleet(&mut self, now: Micros) {
        if !self.sharing_state.desk.is_open() {
            return;
        }
        let beliefs = self.sharing_state.desk.beliefs();
        let same = match (&beliefs, &self.sharing_state.believed) {
            (Some(new), Some(old)) => Arc::ptr_eq(new, old),
            (new, _) => new.is_none(),
        };
        if !same {
            self.sharing_state.believed = beliefs.clone();
            beliefs.into_iter().for_each(|beliefs| self.policy.apply_beliefs(now, beliefs));
        }
        if now < self.sharing_state.facts_at {
            return;
        }
        self.sharing_state.facts_at = now + EVERY;
        let mut facts = self.policy.facts(now);
        if self.sharing_state.named.len() > 2 * self.endpoint_ids.len() {
            self.sharing_state.named.clear();
        }
        if facts.endpoints.iter().any(|e| !self.sharing_state.named.contains_key(&e.at)) {
            // Who brings mail to other firms speaks another protocol there, and his neighbours are none of ours.
            let platform = self.endpoint_ids.iter().filter(|((front, _), _)| *front == PLATFORM_FRONT);
            self.sharing_state.named.extend(platform.map(|((_, words), id)| (*id, name(words.as_bytes()))));
        }
        if let Some(hand) =
            self.overrides.as_ref().filter(|hand| hand.version() != self.sharing_state.banned.0)
        {
            // Danger: the version before the set, so that a change in between is looked at once more.
            let version = hand.version();
            self.sharing_state.banned =
                (version, hand.out().names().map(|out| name(out.as_bytes())).collect());
        }
        facts.banned = self.sharing_state.banned.1.clone();
        let named = &self.sharing_state.named;
        facts.endpoints.retain_mut(|e| {
            named.get(&e.at).is_some_and(|name| {
                e.name = *name;
                true
            })
        });
        self.sharing_state.desk.lay(facts);
    }
}
