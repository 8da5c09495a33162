//! How long idle connections are trusted, and when they are closed.

use super::*;

/// Upper bound of the idle timeout, the time for which an idle connection is trusted.
///
/// The timeout is kept by kind of destination. A call that breaks after a pause cuts it to a fraction of the
/// pause; a call that succeeds after a pause makes it a fiftieth longer. Idle connections also fill the
/// connection tables of endpoints that accept few, which the holder of a connection never notices. So a
/// sender whose new connection finds no room halves the timeout for the whole kind.
pub(super) const MAX_IDLE_TIMEOUT: Micros = Micros(5_000_000);
const MIN_IDLE_TIMEOUT: Micros = Micros(500_000);
const IDLE_TIMEOUT_CUT_FACTOR: f64 = 0.5;
const IDLE_TIMEOUT_GROWTH_FACTOR: f64 = 1.02;
/// With fewer calls expected per endpoint within `MAX_IDLE_TIMEOUT`, endpoints with an open connection are
/// preferred.
pub(super) const SPARSE_CALLS_PER_ENDPOINT: f64 = 2.0;

/// Adjusts the idle timeout to the outcome of a call that was sent after the connection was `idle`. If the
/// timeout stayed too long, connections that were dropped unnoticed in a pause would each lose a message.
pub(super) fn update_idle_timeout(timeout: &mut Micros, no_room: bool, idle: Micros, outcome: Outcome) {
    let paused = idle > Micros(0) && idle < MAX_IDLE_TIMEOUT;
    let cut = |from: Micros| from.scale(IDLE_TIMEOUT_CUT_FACTOR).max(MIN_IDLE_TIMEOUT);
    match outcome {
        // Calls are also lost by chance. Without the lower bound, one lost after a short pause would cut the
        // timeout to nearly nothing, although it says nothing about idle connections.
        Outcome::Reset | Outcome::Timeout if paused => *timeout = cut(idle).min(*timeout),
        _ if no_room => *timeout = cut(*timeout).min(*timeout),
        Outcome::Ok if paused => *timeout = timeout.scale(IDLE_TIMEOUT_GROWTH_FACTOR).min(MAX_IDLE_TIMEOUT),
        _ => {}
    }
}

impl Sender {
    /// Closes the connections of newly idle endpoints for which less than one message is expected within the
    /// idle timeout, as they would only take room in the endpoints' connection tables.
    pub(super) fn close_idle_connections(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.newly_idle) {
            let Some(e) = self.endpoints.get_mut(&id).filter(|e| e.calls.is_empty()) else { continue };
            let timeout = self.idle_timeouts.get(&e.kind).copied().unwrap_or(MAX_IDLE_TIMEOUT);
            if demand_rate(&self.destinations, now, e.route.0, DEMAND_WINDOW) * timeout.secs() < 1.0 {
                e.has_connection = false;
                actions.push(Action::CloseIdleConnections(id));
            }
        }
    }
}
