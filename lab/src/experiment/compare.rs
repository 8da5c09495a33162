//! Two series of runs compared seed by seed. The difference that counts is the median of the pairs', and its interval comes
//! from resampling the pairs; where that holds zero, no difference was seen, and that is the verdict.

use crate::streams::Streams;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// Resamples of one comparison, and the share of them within its interval.
const RESAMPLES: usize = 2_000;
const SHARE: f64 = 0.95;

/// What a comparison shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The second is higher.
    Higher,
    /// The second is lower.
    Lower,
    /// No difference seen.
    NoDifference,
}

/// A comparison of pairs.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Pairs.
    pub pairs: usize,
    /// Median of the first, and of the second.
    pub first: f64,
    /// See `first`.
    pub second: f64,
    /// Median of the differences, second less first.
    pub difference: f64,
    /// 95 of 100 resamples have their median within.
    pub interval: (f64, f64),
    /// What that shows.
    pub verdict: Verdict,
}

fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return f64::NAN;
    }
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        (values[middle - 1] + values[middle]) / 2.0
    }
}

/// Compares pairs (first, second). With fewer than five pairs no interval means anything, and no difference is claimed.
pub fn compare(pairs: &[(f64, f64)]) -> Comparison {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| b - a).collect();
    let mut rng = Streams::new(0).of("compare");
    let mut medians: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            let draw = |_| differences[rng.random_range(0..differences.len().max(1))];
            median(if differences.is_empty() {
                Vec::new()
            } else {
                (0..differences.len()).map(draw).collect()
            })
        })
        .collect();
    medians.sort_by(f64::total_cmp);
    let at = |share: f64| medians[((RESAMPLES - 1) as f64 * share).round() as usize];
    let interval = (at((1.0 - SHARE) / 2.0), at((1.0 + SHARE) / 2.0));
    let verdict = match pairs.len() {
        0..5 => Verdict::NoDifference,
        _ if interval.0 > 0.0 => Verdict::Higher,
        _ if interval.1 < 0.0 => Verdict::Lower,
        _ => Verdict::NoDifference,
    };
    Comparison {
        pairs: pairs.len(),
        first: median(pairs.iter().map(|p| p.0).collect()),
        second: median(pairs.iter().map(|p| p.1).collect()),
        difference: median(differences),
        interval,
        verdict,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_difference_is_seen_where_there_is_one_and_only_there() {
        let noise = [0.01, -0.02, 0.015, -0.01, 0.005, 0.02, -0.015, 0.0, 0.01, -0.005];
        let same: Vec<(f64, f64)> = noise.iter().map(|n| (0.8, 0.8 + n)).collect();
        assert_eq!(compare(&same).verdict, Verdict::NoDifference);
        let better: Vec<(f64, f64)> = noise.iter().map(|n| (0.8, 0.9 + n)).collect();
        let seen = compare(&better);
        assert_eq!(seen.verdict, Verdict::Higher);
        assert!((seen.difference - 0.1).abs() < 0.01 && seen.interval.0 > 0.08, "{seen:?}");
        let worse: Vec<(f64, f64)> = better.iter().map(|(a, b)| (*b, *a)).collect();
        assert_eq!(compare(&worse).verdict, Verdict::Lower);
        assert_eq!(compare(&better[..4]).verdict, Verdict::NoDifference, "too few to claim anything");
        assert_eq!(compare(&[]).pairs, 0);
    }
}
