//! What the endpoint list means, and when it is requested.

use super::*;

/// First pause before the list is requested again; the pause doubles with each failure, with jitter, up to
/// this fraction of the longest time that is allowed without a request.
const LIST_RETRY_PAUSE: Micros = Micros(500_000);
const MAX_PAUSE_FRACTION_OF_ALLOWED: f64 = 0.25;
/// Requests of the whole fleet are spaced by this on average. A fleet whose members all ask at once is
/// answered too late and asks again.
const FLEET_REQUEST_SPACING: Micros = Micros(65_000);
/// Six seconds after discovery can be reached again a change counts as announced, however large the fleet is.
/// So no pause is longer than leaves time for an answer.
const MAX_LIST_RETRY_PAUSE: Micros = Micros(4_500_000);
/// A pause is at least this fraction of its bound.
const MIN_PAUSE_FRACTION: f64 = 0.5;
/// The same where the bound is `MAX_LIST_RETRY_PAUSE`.
const MIN_PAUSE_FRACTION_AT_MAX: f64 = 0.9;

impl Sender {
    /// Longest time without a request for the list.
    fn max_time_without_request(&self) -> Micros {
        self.settings.rules.must_ask_in.unwrap_or(DEMAND_WINDOW)
    }

    /// The span over which one request of each sender is spread.
    fn list_request_spread(&self) -> Micros {
        let senders = f64::from(self.settings.senders);
        FLEET_REQUEST_SPACING.scale(senders).min(self.max_time_without_request())
    }

    /// Requests the list when that is due. The first request is spread over the fleet too.
    pub(super) fn request_list(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let spread = self.list_request_spread() - LIST_RETRY_PAUSE;
        if self.list_request_at == Some(Micros(0)) && spread > Micros(0) {
            self.list_request_at = Some(now + spread.scale(uniform(&mut self.rng)));
        }
        if self.list_request_at.take_if(|at| *at <= now).is_some() {
            actions.push(Action::Subscribe);
        }
    }

    /// Schedules the next request after one that failed.
    pub(super) fn schedule_list_request(&mut self, now: Micros) {
        let (allowed, spread) = (self.max_time_without_request(), self.list_request_spread());
        let fraction = allowed.scale(MAX_PAUSE_FRACTION_OF_ALLOWED);
        let max = fraction.max(spread.scale(2.0)).min(allowed).min(MAX_LIST_RETRY_PAUSE);
        let doublings = self.list_request_failures.min(16) as i32;
        let bound = LIST_RETRY_PAUSE.max(spread).scale(2f64.powi(doublings)).min(max);
        // If the longest pauses varied much, the requests of a fleet that were well spread would pile up
        // again.
        let min_fraction =
            if bound == MAX_LIST_RETRY_PAUSE { MIN_PAUSE_FRACTION_AT_MAX } else { MIN_PAUSE_FRACTION };
        let pause = bound.scale(min_fraction + (1.0 - min_fraction) * uniform(&mut self.rng));
        self.list_request_at = Some(now + pause);
        self.list_request_failures += 1;
    }

    /// Applies a whole list: endpoints that are missing from it are gone.
    pub(super) fn apply_full_list(&mut self, now: Micros, entries: &[Entry]) {
        let listed: BTreeSet<_> = entries.iter().map(|e| e.endpoint).collect();
        let missing = self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(id));
        missing.for_each(|(_, e)| e.listed = ListingState::Gone);
        self.apply_list_change(now, entries);
    }

    /// Applies entries that discovery sent.
    pub(super) fn apply_list_change(&mut self, now: Micros, entries: &[Entry]) {
        self.list_request_failures = 0;
        self.apply_entries(now, entries);
    }

    /// Applies entries from any source. An endpoint that joins a destination shortly after an outage begins
    /// in slow start: it is cold as well, and full load on such endpoints has overloaded them and broken a
    /// rule.
    pub(super) fn apply_entries(&mut self, now: Micros, entries: &[Entry]) {
        for entry in entries {
            let kind = self.settings.kinds.get(usize::from(entry.kind.0));
            let separate_routes = kind.is_some_and(|k| k.separate_routes);
            let id = (entry.destination, separate_routes.then_some(entry.endpoint));
            let new_route = || Route { last_accepted_at: now, ..Route::default() };
            let route = self.routes.entry(id).or_insert_with(new_route);
            route.endpoints.insert(entry.endpoint);
            // Only a changed weight counts: an entry that is sent again would undo what endpoints have
            // reported about the limit since.
            let before = std::mem::replace(&mut route.send_rate.listed_limit, entry.weight);
            let changed = entry.weight > 0.0 && entry.weight.is_finite() && entry.weight != before;
            if self.settings.weights != Weights::Off && changed {
                let limit = f64::from(entry.weight as f32);
                route.send_rate.set_limit(limit, self.settings.senders, f64::MAX);
            }
            let joins_after_outage =
                route.recent_outage_until > now && !self.endpoints.contains_key(&entry.endpoint);
            let endpoint = self.endpoints.entry(entry.endpoint).or_default();
            if joins_after_outage {
                endpoint.start_cold(now);
            }
            (endpoint.route, endpoint.zone, endpoint.kind) = (id, entry.zone, entry.kind);
            (endpoint.rank, endpoint.listed) = (entry.rank, entry.state);
            self.apply_earlier_outage(now, entry.endpoint);
        }
        self.drop_gone_endpoints(now);
    }
}
