//! Whether to wait on for the parts that are still missing: as long as some later time, up to the maximum wait, has a higher
//! expected value than the present.

use super::latency::{bucket_end, bucket_of, LatencyCurve, BUCKETS};
use super::AnswerValue;
use crate::api::Micros;

/// A part that may still arrive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PendingPart<'a> {
    /// Its share of the complete answer, 0 to 1.
    pub weight: f64,
    /// When its courier was asked.
    pub asked: Micros,
    /// The latency expected of its courier.
    pub curve: &'a LatencyCurve,
}

/// Whether some later time has a higher expected value than now. `can_complete`: no part is known to be missing for good. The
/// caller asks again when an answer arrives, and at the end of each bucket ([`next_evaluation`]), since a silence is evidence,
/// too.
///
/// Computes at most (parts x buckets) exponentials; mostly a few buckets suffice.
pub fn worth_waiting(
    now: Micros, started: Micros, open: &[PendingPart], can_complete: bool, value: &AnswerValue,
) -> bool {
    let deadline = started + value.max_wait;
    let max_gain = open.iter().map(|part| part.weight).sum::<f64>() * value.share_value;
    let max_gain = if can_complete { max_gain + value.completeness_bonus } else { max_gain };
    if open.is_empty() || now >= deadline {
        return false;
    }
    let before: Vec<f32> = open.iter().map(|part| part.curve.cumulative_rate(now - part.asked)).collect();
    let (mut cost, mut previous_time, mut previous_all) = (0.0, now, 0.0);
    for bucket in bucket_of(now - started)..BUCKETS {
        let aligned = started + bucket_end(bucket);
        // The last bucket has no end; the deadline is the last time that counts.
        let time = if bucket == BUCKETS - 1 { deadline } else { aligned.min(deadline) };
        let (mut expected_share, mut all_arrived) = (0.0, 1.0);
        for (part, before) in open.iter().zip(&before) {
            let sum = if part.asked == started && time == aligned {
                part.curve.cumulative_rate_at_end(bucket)
            } else {
                part.curve.cumulative_rate(time - part.asked)
            };
            let probability = 1.0 - f64::from((before - sum).exp());
            expected_share += part.weight * probability;
            all_arrived *= probability;
        }
        // Waiting costs nothing after all parts have arrived.
        cost += value.cost_per_ms * (time - previous_time).0 as f64 / 1e3
            * (1.0 - (previous_all + all_arrived) / 2.0);
        (previous_time, previous_all) = (time, all_arrived);
        let bonus = if can_complete { value.completeness_bonus * all_arrived } else { 0.0 };
        if value.share_value * expected_share + bonus > cost {
            return true;
        }
        if cost >= max_gain || time >= deadline {
            return false;
        }
    }
    false
}

/// When a silence is new evidence: the end of the bucket that contains `now`.
pub fn next_evaluation(now: Micros, started: Micros, max_wait: Micros) -> Micros {
    let bucket = bucket_of(now - started);
    let end = if bucket == BUCKETS - 1 { max_wait } else { bucket_end(bucket) };
    started + end.min(max_wait)
}
