//! What the outcome of a call means for its message, endpoint and route.

use super::*;

/// Pause after a refusal, in gaps between calls at the reduced rate: a fixed part and a random part. Without
/// the random part, messages that were refused at the same instant would all come again at the same instant.
const REFUSAL_PAUSE_GAPS: f64 = 0.5;
const REFUSAL_PAUSE_JITTER_GAPS: f64 = 2.0;
/// A refusal multiplies the send rate by the average fraction of calls after a refusal that are accepted. The
/// average gains by this with each such call, and the factor stays within these bounds.
const ACCEPTANCE_GAIN: f64 = 0.2;
pub(super) const INITIAL_ACCEPTANCE: f64 = 0.5;
const MIN_REFUSAL_FACTOR: f64 = 0.03;
const MAX_REFUSAL_FACTOR: f64 = 0.75;
/// Weight of the newest outcome in an endpoint's failure average.
pub(super) const FAILURE_GAIN: f64 = 0.3;
/// Weight of a time-out, a broken connection or an unreadable answer. It is lower, as a bad network often
/// loses two calls in a row, but seldom four.
const LOST_CALL_GAIN: f64 = 0.2;
/// An endpoint with a higher failure average is ejected: two failures in a row exceed it, one in ten does
/// not.
const EJECTION_FAILURE_AVERAGE: f64 = 0.5;
/// An endpoint that succeeded within this time is not ejected for one lost call. Connections also break by
/// chance, and a call lost that way ejected endpoints that had just served others, with a long slow start
/// after.
const RECENT_SUCCESS: Micros = Micros(1_000_000);

impl Sender {
    /// Records that an attempt returned, and schedules a repeat or gives the final answer if the message is
    /// not finished.
    pub(super) fn record_attempt(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let Event::Returned { id, outcome, terminal, attempt: number, .. } = *event else { return };
        let Some(held) = self.messages.get_mut(&id) else { return };
        let Some(attempt) = held.in_flight.take_if(|a| a.number == number) else { return };
        if outcome == Outcome::NotStarted {
            held.attempts = held.attempts.saturating_sub(1);
        }
        let may_still_run = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if may_still_run || matches!(outcome, Outcome::Error | Outcome::InvalidAnswer(_)) {
            held.may_have_run.get_or_insert(attempt.sent());
        }
        let quiet_time = self.settings.rules.key_quiet.unwrap_or_default();
        let key_queue = held.message.key.and_then(|k| self.key_queues.get_mut(&k));
        key_queue.filter(|_| may_still_run).into_iter().for_each(|q| q.quiet_until = now + quiet_time);
        let ended = held.ended || terminal || outcome == Outcome::Ok;
        self.record_outcome(now, &attempt, event, actions);
        if ended {
            return self.finish(id);
        }
        self.schedule_retry(now, id, outcome != Outcome::NotStarted, actions);
    }

    /// Records what an outcome says about its endpoint and route. The messages of a bundle share one fate, so
    /// only the first outcome of a call counts.
    fn record_outcome(&mut self, now: Micros, attempt: &Attempt, event: &Event, actions: &mut Vec<Action>) {
        let Event::Returned { outcome, latency, ref report, .. } = *event else { return };
        let Some(e) = self.endpoints.get_mut(&attempt.endpoint) else { return };
        let Some(route) = self.routes.get_mut(&e.route) else { return };
        if let Outcome::Refused(Some(wait)) | Outcome::InvalidAnswer(Some(wait)) = outcome {
            route.wait_until = route.wait_until.max(now + wait);
        }
        let calls = &mut self.calls_in_flight;
        let first = record_call_outcome(e, route, attempt, calls, &mut self.newly_idle);
        let Some(first) = first else { return };
        if outcome == Outcome::Ok {
            e.record_latency(latency);
        }
        if !first {
            return;
        }
        // A new connection that is refused while the limit is free met a full connection table. Taken for a
        // refusal by the limit, it would cut the rate each time, and a destination with half of its limit
        // free would get next to no calls.
        let limit_free = |i: usize| report.get(i).is_none_or(|left| *left >= LIMIT_NOT_REACHED_HEADROOM);
        let table_full = !e.has_connection
            && outcome == Outcome::Refused(None)
            && self.settings.report_left.is_some_and(limit_free);
        let no_room = table_full || outcome == Outcome::ConnectFailed && e.health == Health::Healthy;
        let stays_open = matches!(outcome, Outcome::Refused(_) | Outcome::NotSent | Outcome::NotStarted);
        e.has_connection = outcome == Outcome::Ok || e.has_connection && stays_open;
        let timeout = self.idle_timeouts.entry(e.kind).or_insert(MAX_IDLE_TIMEOUT);
        update_idle_timeout(timeout, no_room, attempt.sent_at - e.last_heard, outcome);
        let demand = demand_rate(&self.destinations, now, e.route.0, DEMAND_WINDOW);
        match outcome {
            Outcome::NotSent | Outcome::NotStarted | Outcome::Cancelled if e.health == Health::HalfOpen => {
                e.health = Health::Ejected { trial_at: now, probed: true };
            }
            Outcome::NotSent | Outcome::NotStarted | Outcome::Cancelled => {}
            Outcome::Ok => {
                let after_refusal = route.send_rate.consecutive_refusals > 0;
                let gain = ACCEPTANCE_GAIN * (1.0 - self.acceptance_after_refusal);
                self.acceptance_after_refusal += if after_refusal { gain } else { 0.0 };
                let last = std::mem::replace(&mut route.last_accepted_at, now);
                route.send_rate.record_accepted(now, last, demand);
                self.record_success(now, attempt.endpoint, actions);
            }
            Outcome::Refused(_) => {
                let rate = &mut route.send_rate;
                let after_refusal =
                    rate.consecutive_refusals > 0 && attempt.sent_at >= rate.last_cut_at && !table_full;
                self.acceptance_after_refusal *= if after_refusal { 1.0 - ACCEPTANCE_GAIN } else { 1.0 };
                let acceptance = self.acceptance_after_refusal.clamp(MIN_REFUSAL_FACTOR, MAX_REFUSAL_FACTOR);
                let refusal = Refusal {
                    sent_at: attempt.sent_at,
                    factor: if table_full { 1.0 } else { acceptance },
                    opens_at: now.max(route.wait_until),
                    pause_gaps: REFUSAL_PAUSE_GAPS + REFUSAL_PAUSE_JITTER_GAPS * uniform(&mut self.rng),
                };
                rate.record_refusal(now, refusal, demand);
                (e.last_heard, e.last_failure_lost) = (now, false);
                if e.health == Health::HalfOpen {
                    self.eject(now, attempt.endpoint, actions);
                }
            }
            // The call failed: an error, an unreadable answer, no answer in time, no connection, a break.
            _ => {
                let lost = matches!(outcome, Outcome::Timeout | Outcome::Reset | Outcome::InvalidAnswer(_));
                let gain = if lost { LOST_CALL_GAIN } else { FAILURE_GAIN };
                match outcome {
                    Outcome::Timeout => e.consecutive_timeouts += 1,
                    _ => e.last_heard = now,
                }
                // An endpoint at its connection limit, or behind a network that loses calls, fails some calls
                // and serves others meanwhile. That is no outage, so failures of calls sent before the last
                // success do not count. Otherwise a failed connect ejects at once.
                let served_since = e.last_ok > attempt.sent_at;
                e.failure_average += if served_since { 0.0 } else { (1.0 - e.failure_average) * gain };
                e.last_failure_lost = outcome != Outcome::Error;
                let served_lately = e.last_failure_lost && e.served_within(now, RECENT_SUCCESS);
                let fails_cold = matches!(e.health, Health::SlowStart { .. }) && !served_lately;
                let unreachable = outcome == Outcome::ConnectFailed && !served_since && !served_lately;
                let half_open = e.health == Health::HalfOpen;
                if unreachable || fails_cold || half_open || e.failure_average > EJECTION_FAILURE_AVERAGE {
                    self.eject(now, attempt.endpoint, actions);
                }
            }
        }
    }
}
