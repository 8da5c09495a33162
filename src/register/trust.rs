//! Limits on the calls to an endpoint that is known only from a remembered list, or from a watch that has gone silent.
//!
//! The limit on concurrent calls falls with the age of the list: `initial_calls`, halved once per `half_life`, and at
//! least 1. Each answered call doubles what the endpoint has earned in this process run, and from [`UNLIMITED_FROM`] on
//! there is no limit. Calls beyond the limit are queued in order, for at most [`MAX_QUEUE_TIME`].
//!
//! If a limited endpoint that has earned nothing yet refuses a connection, the decision module is notified that the
//! call was never sent, and only this endpoint is ejected, for a pause that doubles each time. A list of last week names
//! machines that no longer exist, and the module takes a refused connection for an outage of the whole destination.

use crate::api::Micros;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// Number of concurrent calls from which an endpoint is not limited any more.
pub const UNLIMITED_FROM: u32 = 64;
/// How long a call is queued before it is rejected back to the decision module.
pub const MAX_QUEUE_TIME: Micros = Micros(2_000_000);
/// Bound on the exponent of the ejection pause.
const MAX_EJECTION_DOUBLINGS: u32 = 16;

/// Parameters of the limits.
#[derive(Debug, Clone, PartialEq)]
pub struct TrustRules {
    /// Concurrent calls to an endpoint from a fresh list that has not been called yet.
    pub initial_calls: u32,
    /// Age of the list that halves this limit.
    pub half_life: Micros,
    /// First ejection after a refused connection. It doubles with each refusal, with a jitter of a quarter either way.
    pub first_ejection: Micros,
    /// Longest ejection, before jitter.
    pub max_ejection: Micros,
}

impl Default for TrustRules {
    fn default() -> TrustRules {
        TrustRules {
            initial_calls: 16,
            half_life: Micros(60_000_000),
            first_ejection: Micros(500_000),
            max_ejection: Micros(30_000_000),
        }
    }
}

impl TrustRules {
    /// Concurrent calls by the age of the list and what was earned since; `None`: no limit.
    pub fn concurrency_limit(&self, list_age: Micros, earned: u32) -> Option<u32> {
        let halvings = list_age.0 / self.half_life.0.max(1);
        let by_age = if halvings < 32 { self.initial_calls >> halvings } else { 0 };
        let limit = by_age.max(earned).max(1);
        (limit < UNLIMITED_FROM).then_some(limit)
    }
}

/// How a call ended, as far as it says something about the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The endpoint answered, with any status.
    Answered,
    /// No connection could be opened.
    Refused,
    /// No answer, or one that is not usable.
    Lost,
    /// The call was never sent.
    Unsent,
}

/// How the end of a call is reported to the decision module.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallReport {
    /// As it was.
    AsIs,
    /// As if the call had never been sent.
    AsUnsent,
}

/// Limit, ejection and queue of one endpoint.
#[derive(Debug, Default)]
pub struct EndpointTrust {
    in_flight: u32,
    earned: u32,
    failing: bool,
    refusals: u32,
    ejected_until: Micros,
    /// Messages whose calls wait for admission, each with the time at which it is rejected.
    queue: VecDeque<(Micros, u64)>,
}

impl EndpointTrust {
    /// Admits a call, or queues it and returns `false`.
    pub fn admit(&mut self, now: Micros, msg: u64, limit: Option<u32>) -> bool {
        if self.queue.is_empty() && limit.is_none_or(|limit| self.in_flight < limit) {
            self.in_flight += 1;
            return true;
        }
        self.queue.push_back((now + MAX_QUEUE_TIME, msg));
        false
    }

    /// Records the end of an admitted call. `limited`: the registry limits the calls to this endpoint.
    pub fn record_end(
        &mut self, now: Micros, end: CallEnd, limited: bool, rules: &TrustRules, rng: &mut Pcg64Mcg,
    ) -> CallReport {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            CallEnd::Answered => {
                self.earned = (self.earned * 2).clamp(2, UNLIMITED_FROM);
                (self.failing, self.refusals, self.ejected_until) = (false, 0, Micros(0));
            }
            CallEnd::Lost => {
                self.failing = true;
                self.earned /= 2;
            }
            CallEnd::Refused => {
                self.failing = true;
                let unproven = self.earned == 0;
                self.earned = 0;
                if limited && unproven {
                    self.eject(now, rules, rng);
                    return CallReport::AsUnsent;
                }
            }
            CallEnd::Unsent => {}
        }
        CallReport::AsIs
    }

    fn eject(&mut self, now: Micros, rules: &TrustRules, rng: &mut Pcg64Mcg) {
        let doublings = self.refusals.min(MAX_EJECTION_DOUBLINGS) as i32;
        let pause = rules.first_ejection.scale(2f64.powi(doublings)).min(rules.max_ejection);
        let jitter = f64::from(rng.next_u32()) / f64::from(u32::MAX);
        self.ejected_until = now + pause.scale(0.75 + 0.5 * jitter);
        self.refusals += 1;
    }

    /// Until when the endpoint is ejected, if it is.
    pub fn ejection(&self, now: Micros) -> Option<Micros> {
        Some(self.ejected_until).filter(|until| *until > now)
    }

    /// Whether its last completed call was refused or lost.
    pub fn failing(&self) -> bool {
        self.failing
    }

    /// Concurrent calls that its answers have earned it.
    pub fn earned(&self) -> u32 {
        self.earned
    }

    /// Whether a call is queued.
    pub fn has_queued_calls(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Whether no call is in flight or queued.
    pub fn idle(&self) -> bool {
        self.in_flight == 0 && self.queue.is_empty()
    }

    /// Admits queued calls in order, as far as the limit allows.
    pub fn release(&mut self, limit: Option<u32>) -> Vec<u64> {
        let mut released = Vec::new();
        while limit.is_none_or(|limit| self.in_flight < limit) {
            let Some((_, msg)) = self.queue.pop_front() else { break };
            self.in_flight += 1;
            released.push(msg);
        }
        released
    }

    /// Takes a call out of the queue. `false`: it was not queued.
    pub fn cancel(&mut self, msg: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|queued| queued.1 != msg);
        self.queue.len() < before
    }

    /// Takes out the calls that have been queued for too long.
    pub fn expire(&mut self, now: Micros) -> Vec<u64> {
        let mut expired = Vec::new();
        while let Some((_, msg)) = self.queue.pop_front_if(|queued| queued.0 <= now) {
            expired.push(msg);
        }
        expired
    }

    /// Takes out all queued calls.
    pub fn drain_queue(&mut self) -> Vec<u64> {
        self.queue.drain(..).map(|queued| queued.1).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand_core::SeedableRng;

    const S: u64 = 1_000_000;

    #[test]
    fn the_limit_halves_with_age_and_doubles_with_answers() {
        let rules = TrustRules::default();
        let by_age = [(0, 16), (59, 16), (60, 8), (120, 4), (240, 1), (3600, 1), (1 << 40, 1)];
        for (secs, limit) in by_age {
            assert_eq!(rules.concurrency_limit(Micros(secs * S), 0), Some(limit), "{secs} s");
        }
        let mut rng = Pcg64Mcg::seed_from_u64(1);
        let mut trust = EndpointTrust::default();
        let old = Micros(3600 * S);
        let mut limits = Vec::new();
        for round in 0..7 {
            let limit = rules.concurrency_limit(old, trust.earned());
            limits.push(limit);
            assert!(trust.admit(Micros(0), round, limit));
            let report = trust.record_end(Micros(0), CallEnd::Answered, true, &rules, &mut rng);
            assert_eq!(report, CallReport::AsIs);
        }
        assert_eq!(limits, [Some(1), Some(2), Some(4), Some(8), Some(16), Some(32), None]);
    }

    #[test]
    fn queued_calls_are_released_in_order_and_expire() {
        let mut trust = EndpointTrust::default();
        assert!(trust.admit(Micros(0), 1, Some(1)));
        assert!(!trust.admit(Micros(0), 2, Some(1)));
        assert!(!trust.admit(Micros(5), 3, Some(1)));
        assert!(!trust.admit(Micros(5), 4, Some(8)), "no call overtakes the queue");
        assert!(trust.cancel(3) && !trust.cancel(3));
        assert!(trust.release(Some(1)).is_empty());
        assert_eq!(trust.expire(MAX_QUEUE_TIME), [2]);
        assert_eq!(trust.release(Some(2)), [4]);
    }

    /// Guards against calling a machine that no longer exists at full rate, and against pauses without jitter.
    #[test]
    fn each_refusal_ejects_for_longer() {
        let rules = TrustRules::default();
        let mut rng = Pcg64Mcg::seed_from_u64(2);
        let mut trust = EndpointTrust::default();
        let mut pauses = Vec::new();
        for _ in 0..9 {
            assert!(trust.admit(Micros(0), 1, Some(1)));
            let report = trust.record_end(Micros(0), CallEnd::Refused, true, &rules, &mut rng);
            assert_eq!(report, CallReport::AsUnsent);
            pauses.push(trust.ejection(Micros(0)).unwrap().0 as f64 / 1e6);
        }
        for (n, pause) in pauses.iter().enumerate() {
            let middle = (0.5 * 2f64.powi(n as i32)).min(30.0);
            assert!((middle * 0.75..=middle * 1.25).contains(pause), "{pauses:?}");
        }
        trust.admit(Micros(0), 1, Some(1));
        trust.record_end(Micros(0), CallEnd::Answered, true, &rules, &mut rng);
        assert_eq!(trust.ejection(Micros(0)), None);
        trust.admit(Micros(0), 1, Some(1));
        let report = trust.record_end(Micros(0), CallEnd::Refused, true, &rules, &mut rng);
        assert_eq!(report, CallReport::AsIs, "the module judges an endpoint that has answered");
    }
}
