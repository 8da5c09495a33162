//! How long discovery may be silent before it is asked again. No I/O, no clock. `docs/design/discovery-clock.md`.
//!
//! Two of the figures are the protocol's: a watch sends something every 2 s, and a change that a silent watch missed
//! counts as notified 6 s after it fell silent.

use crate::api::Micros;

/// Interval at which a watch sends something, if only an empty line.
const HEARTBEAT_INTERVAL: Micros = Micros(2_000_000);
/// A watch without a complete line for two heartbeats is dead. A machine that vanished sends nothing and leaves its
/// connections open, and after three heartbeats the changes that its watch missed are binding. One heartbeat may thus be
/// late by a whole interval, which is more than a process that is stopped for a moment makes it; the third interval is
/// left for the pause, the connection and the answer.
const SILENCE_TIMEOUT: Micros = Micros(2 * HEARTBEAT_INTERVAL.0);
/// A request has failed unless the first complete line of the answer, or all of a list that is read once, arrives
/// within this time.
const FIRST_LINE_TIMEOUT: Micros = Micros(3_000_000);
/// The same for the first byte where discovery is an agent on this machine, which either answers at once or is silent.
/// Whatever the agent gets when it recovers counts as notified at once, so a courier must not wait long on a request
/// that the agent never received.
const PUSHED_FIRST_BYTE_TIMEOUT: Micros = Micros(400_000);
/// First pause before the next watch where lists are pushed.
const FIRST_RECONNECT_PAUSE: Micros = Micros(50_000);
/// Longest such pause.
const MAX_RECONNECT_PAUSE: Micros = Micros(200_000);
/// Bound on the exponent of that pause.
const MAX_RECONNECT_DOUBLINGS: i32 = 16;
/// A change that a silent watch missed counts as notified this long after the watch fell silent.
const NOTIFIED_AFTER: Micros = Micros(6_000_000);
/// Interval between the retries of couriers that share one discovery, the same as between the module's own requests.
const RETRY_SPACING: Micros = Micros(50_000);
/// The retries take up at most half of the time that is left after a silence; the other half is for the answer.
const MAX_RETRY_SPREAD: Micros = Micros((NOTIFIED_AFTER.0 - SILENCE_TIMEOUT.0) / 2);

/// How long the answer to one request is waited for. The deadline is absolute: apart from the first byte, only complete
/// lines move it.
#[derive(Debug, Clone, Copy)]
pub struct ResponseDeadline {
    opened: Micros,
    pushed: bool,
    first_byte_received: bool,
    last_line: Option<Micros>,
}

impl ResponseDeadline {
    /// Starts with a request to discovery that is sent now. `pushed`: discovery is an agent on this machine.
    pub fn start(now: Micros, pushed: bool) -> ResponseDeadline {
        ResponseDeadline { opened: now, pushed, first_byte_received: false, last_line: None }
    }

    /// Bytes have arrived.
    pub fn bytes_received(&mut self) {
        self.first_byte_received = true;
    }

    /// A complete line has arrived, if only a heartbeat.
    pub fn line_received(&mut self, now: Micros) {
        self.last_line = Some(now);
    }

    /// When the request is given up, unless the bytes that have arrived by then complete a line.
    pub fn expires_at(&self) -> Micros {
        match self.last_line {
            Some(last_line) => last_line + SILENCE_TIMEOUT,
            None if self.pushed && !self.first_byte_received => self.opened + PUSHED_FIRST_BYTE_TIMEOUT,
            None => self.opened + FIRST_LINE_TIMEOUT,
        }
    }
}

/// The pauses between watches where lists are pushed, so that a request costs only the local agent.
#[derive(Debug, Default)]
pub struct ReconnectBackoff {
    short_watches: i32,
}

impl ReconnectBackoff {
    /// The pause, without jitter, after a watch of this duration. It grows with each short watch: an agent that accepts
    /// every connection and closes it at once must not be called in a tight loop.
    pub fn pause_after(&mut self, duration: Micros) -> Micros {
        self.short_watches =
            if duration > HEARTBEAT_INTERVAL { 0 } else { self.short_watches.saturating_add(1) };
        let doublings = (self.short_watches - 1).clamp(0, MAX_RECONNECT_DOUBLINGS);
        FIRST_RECONNECT_PAUSE.scale(2f64.powi(doublings)).min(MAX_RECONNECT_PAUSE)
    }
}

/// Where discovery is polled: decides who retries after a silence. The decision module's pause grows with the fleet and
/// with each failure, as is right for a discovery that is down or overloaded. A discovery that fell silent towards this
/// courier but answers others must be asked again before the missed changes count as notified.
#[derive(Debug)]
pub struct SilenceRetry {
    spread: Micros,
    /// Nothing was received since the last failed request.
    silent: bool,
}

impl SilenceRetry {
    /// For a fleet of this many couriers that ask the same discovery.
    pub fn new(couriers: u32) -> SilenceRetry {
        SilenceRetry { spread: RETRY_SPACING.scale(f64::from(couriers)).min(MAX_RETRY_SPREAD), silent: false }
    }

    /// Discovery has answered, if only that it offers no watch.
    pub fn record_answer(&mut self) {
        self.silent = false;
    }

    /// A request to discovery has failed; `timed_out`: by a silence. Returns the span within which to retry, at a random
    /// moment, or `None` if the decision module decides when to retry. Only the first silence in a row is retried here:
    /// a discovery that is silent towards everybody must not be asked in a tight loop.
    pub fn retry_within(&mut self, timed_out: bool) -> Option<Micros> {
        let first_silence = timed_out && !self.silent;
        self.silent = true;
        first_silence.then_some(self.spread)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_without_a_complete_line_do_not_move_the_deadline() {
        for (pushed, first_byte_timeout) in [(true, PUSHED_FIRST_BYTE_TIMEOUT), (false, FIRST_LINE_TIMEOUT)] {
            let start = Micros(7_000_000);
            let mut deadline = ResponseDeadline::start(start, pushed);
            assert_eq!(deadline.expires_at(), start + first_byte_timeout);
            deadline.bytes_received();
            assert_eq!(deadline.expires_at(), start + FIRST_LINE_TIMEOUT);
            deadline.line_received(start + Micros(900_000));
            let expires_at = deadline.expires_at();
            deadline.bytes_received();
            assert_eq!(
                (expires_at, deadline.expires_at()),
                (start + Micros(900_000) + SILENCE_TIMEOUT, expires_at)
            );
        }
    }

    #[test]
    fn a_late_heartbeat_is_tolerated_and_a_silence_leaves_time_for_a_retry() {
        let mut deadline = ResponseDeadline::start(Micros(0), true);
        deadline.line_received(HEARTBEAT_INTERVAL);
        assert!(deadline.expires_at() >= HEARTBEAT_INTERVAL.scale(3.0), "late by one interval");
        let pushed = SILENCE_TIMEOUT
            + FIRST_RECONNECT_PAUSE.scale(1.25)
            + PUSHED_FIRST_BYTE_TIMEOUT
            + MAX_RECONNECT_PAUSE.scale(1.25);
        assert!(pushed + PUSHED_FIRST_BYTE_TIMEOUT < NOTIFIED_AFTER, "a second request is answered in time");
        assert!(
            deadline.expires_at() <= NOTIFIED_AFTER,
            "polling: one interval is left for pause and answer"
        );
    }

    /// Guards against a missed deadline in a large fleet: where hundreds of couriers ask the same discovery, the
    /// decision module's pause after a silence was 5 to 10 s.
    #[test]
    fn the_first_silence_is_retried_in_time_and_the_second_is_left_to_the_module() {
        for couriers in [0, 1, 3, 40, 300, u32::MAX] {
            let mut retry = SilenceRetry::new(couriers);
            let spread = retry.retry_within(true).unwrap();
            assert!(SILENCE_TIMEOUT + spread.scale(2.0) <= NOTIFIED_AFTER, "{couriers}: {spread:?}");
            assert!(spread >= RETRY_SPACING.scale(f64::from(couriers.min(20))), "{couriers}: {spread:?}");
            assert_eq!(retry.retry_within(true), None, "{couriers}: no tight loop");
            retry.record_answer();
            assert_eq!(retry.retry_within(false), None, "discovery answers with a refusal");
            assert_eq!(retry.retry_within(true), None, "nothing was received since");
            retry.record_answer();
            assert_eq!(retry.retry_within(true), Some(spread));
        }
    }

    #[test]
    fn pauses_grow_while_watches_are_short() {
        let mut backoff = ReconnectBackoff::default();
        let pauses_ms: Vec<u64> = (0..5).map(|_| backoff.pause_after(Micros(1)).0 / 1000).collect();
        assert_eq!(pauses_ms, [50, 100, 200, 200, 200]);
        assert_eq!(backoff.pause_after(HEARTBEAT_INTERVAL + Micros(1)), FIRST_RECONNECT_PAUSE);
    }
}
