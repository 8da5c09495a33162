//! What the list of endpoints means, and when it is asked for.

use super::*;

/// Pause before asking for the list again; doubles, jittered, up to this share of the longest allowed.
/// Danger: a fleet that asks at once is answered too late and asks again; so asks come so far apart.
const ASK_AGAIN: Micros = Micros(500_000);
const ASK_OF_ALLOWED: f64 = 0.25;
const ASK_APART: Micros = Micros(65_000);
/// Danger: six seconds after discovery can be reached again a change counts as told, however large the fleet;
/// so no pause is longer than leaves time for an answer.
const ASK_MOST: Micros = Micros(4_500_000);
/// A pause is this share of its bound at least.
const ASK_LEAST: f64 = 0.5;
const ASK_MOST_LEAST: f64 = 0.9;

impl Sender {
    /// The span over which one ask of each sender is spread.
    fn asks_apart(&self) -> Micros {
        let allowed = self.set.rules.must_ask_in.unwrap_or(DEPOSIT_LIFE);
        ASK_APART.scale(f64::from(self.set.senders)).min(allowed)
    }

    /// Asks when it is time to; the first ask is spread too.
    pub(super) fn ask(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let spread = self.asks_apart() - ASK_AGAIN;
        if self.ask_at == Some(Micros(0)) && spread > Micros(0) {
            self.ask_at = Some(now + spread.scale(uniform(&mut self.rng)));
        }
        if self.ask_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Follow);
        }
    }

    pub(super) fn ask_again(&mut self, now: Micros) {
        let (allowed, apart) = (self.set.rules.must_ask_in.unwrap_or(DEPOSIT_LIFE), self.asks_apart());
        let most = allowed.scale(ASK_OF_ALLOWED).max(apart.scale(2.0)).min(allowed).min(ASK_MOST);
        let bound = ASK_AGAIN.max(apart).scale(2f64.powi(self.ask_fails.min(16) as i32)).min(most);
        // Danger: pauses that differ much pile the asks of a fleet up again that were well apart.
        let least = if bound == ASK_MOST { ASK_MOST_LEAST } else { ASK_LEAST };
        self.ask_at = Some(now + bound.scale(least + (1.0 - least) * uniform(&mut self.rng)));
        self.ask_fails += 1;
    }

    pub(super) fn list_whole(&mut self, now: Micros, entries: &[Entry]) {
        let listed: BTreeSet<_> = entries.iter().map(|e| e.endpoint).collect();
        let missing = self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id));
        missing.for_each(|(_, e)| e.listed = Listed::Gone);
        self.list_told(now, entries);
    }

    pub(super) fn list_told(&mut self, now: Micros, entries: &[Entry]) {
        self.ask_fails = 0;
        self.list(now, entries);
    }

    /// Danger (a broken rule): one that joins a destination that was out here is cold, and pushed over too.
    pub(super) fn list(&mut self, now: Micros, entries: &[Entry]) {
        for entry in entries {
            let apart = self.set.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.routes_apart);
            let id = (entry.destination, apart.then_some(entry.endpoint));
            let route = self.routes.entry(id).or_insert_with(|| Route { taken_at: now, ..Route::default() });
            route.endpoints.insert(entry.endpoint);
            // Danger: a line told again would undo what endpoints have told of a limit since.
            let listed = std::mem::replace(&mut route.pace.listed, entry.weight);
            let told = entry.weight > 0.0 && entry.weight.is_finite() && entry.weight != listed;
            if self.set.weights != Weights::Off && told {
                route.pace.told_limit(f64::from(entry.weight as f32), self.set.senders, f64::MAX);
            }
            let joins = route.out_until > now && !self.endpoints.contains_key(&entry.endpoint);
            let endpoint = self.endpoints.entry(entry.endpoint).or_default();
            if joins {
                endpoint.start_cold(now);
            }
            (endpoint.route, endpoint.zone, endpoint.kind) = (id, entry.zone, entry.kind);
            (endpoint.rank, endpoint.listed) = (entry.rank, entry.state);
            self.recollect(now, entry.endpoint);
        }
        self.forget_gone(now);
    }
}
