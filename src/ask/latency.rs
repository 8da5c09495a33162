//! How long answers take, by courier and kind of question, learnt from answers and from silences. Answers and exposure are
//! counted by bucket of time: a piecewise exponential model, a smooth relative of the Kaplan-Meier estimator. A silence is
//! exposure without an answer for as long as it lasted, and is never dropped. All evidence decays with each question: for
//! latencies that were not waited for lately, the estimate returns to that of the fleet and to the prior, so that a courier
//! that is no longer waited for is tried again from time to time.

use super::entry::ReceivedEntries;
use super::{AskConfig, CourierId, Kind};
use crate::api::Micros;
use std::collections::BTreeMap;

/// Buckets of time, four per octave: the first ends at 0.3 ms, the last at 16.4 s.
pub const BUCKETS: usize = 64;
const BUCKET_ORIGIN_MICROS: f64 = 250.0;
/// Weight of the kind's pooled rates in a courier's rates, in answers.
const POOL_WEIGHT: f32 = 2.0;
/// Maximum weight of one courier in the kind's pooled rates, in answers: a courier that never answers, asked a thousand times,
/// weighs as one courier, not as a thousand.
const MAX_COURIER_WEIGHT: f32 = 2.0;
/// Maximum weight of the entries received from other couriers in the kind's pooled rates, in answers.
const MAX_RECEIVED_WEIGHT: f32 = 8.0;
/// Number of preceding buckets from which the rate of a bucket is extrapolated.
const EXTRAPOLATION_BUCKETS: usize = 8;
/// Maximum weight of that extrapolation, as a multiple of the prior's weight.
const MAX_EXTRAPOLATION_WEIGHT: f32 = 3.0;
/// Maximum rate per bucket; a higher one is practically an immediate answer.
const MAX_RATE: f32 = 6.0;

/// The end of a bucket.
pub fn bucket_end(bucket: usize) -> Micros {
    Micros((BUCKET_ORIGIN_MICROS * ((bucket + 1) as f64 / 4.0).exp2()) as u64)
}

/// The bucket of a latency. The last bucket has no end.
pub fn bucket_of(latency: Micros) -> usize {
    let at = 4.0 * (latency.0.max(1) as f64 / BUCKET_ORIGIN_MICROS).log2();
    let guess = (at.max(0.0) as usize).min(BUCKETS - 1);
    // Rounding near an edge may give the bucket that ends there, of which no time is left.
    if latency >= bucket_end(guess) {
        (guess + 1).min(BUCKETS - 1)
    } else {
        guess
    }
}

fn bucket_start(bucket: usize) -> Micros {
    if bucket == 0 {
        Micros(0)
    } else {
        bucket_end(bucket - 1)
    }
}

/// The fraction of the bucket that has elapsed at this latency, 0 to 1.
fn elapsed_fraction(bucket: usize, latency: Micros) -> f32 {
    let (start, end) = (bucket_start(bucket), bucket_end(bucket));
    ((latency - start).0 as f32 / (end - start).0 as f32).min(1.0)
}

/// Expected latency as a hazard rate: for each bucket, the rate at which answers arrive that have not arrived before.
#[derive(Debug, Clone, PartialEq)]
pub struct LatencyCurve {
    rates: [f32; BUCKETS],
    /// Sums of the rates of all buckets before each index.
    cumulative: [f32; BUCKETS + 1],
}

impl LatencyCurve {
    /// Creates a curve from the rate of each bucket: the probability that no answer arrives in it is `exp(-rate)`.
    pub fn new(rates: [f32; BUCKETS]) -> LatencyCurve {
        let mut cumulative = [0.0; BUCKETS + 1];
        for b in 0..BUCKETS {
            cumulative[b + 1] = cumulative[b] + rates[b];
        }
        LatencyCurve { rates, cumulative }
    }

    /// The rate of a bucket.
    pub fn rate(&self, bucket: usize) -> f32 {
        self.rates[bucket.min(BUCKETS - 1)]
    }

    /// The sum of the rates before this latency: the probability of no answer by then is `exp(-sum)`.
    pub fn cumulative_rate(&self, latency: Micros) -> f32 {
        let bucket = bucket_of(latency);
        self.cumulative[bucket] + self.rates[bucket] * elapsed_fraction(bucket, latency)
    }

    /// [`LatencyCurve::cumulative_rate`] at the end of a bucket.
    pub fn cumulative_rate_at_end(&self, bucket: usize) -> f32 {
        self.cumulative[bucket + 1]
    }

    /// The latency by which this share of the answers arrives; `None` if fewer ever arrive.
    pub fn quantile(&self, share: f64) -> Option<Micros> {
        let target = -(1.0 - share).ln() as f32;
        let bucket = (0..BUCKETS).find(|&b| self.cumulative[b + 1] >= target)?;
        let fraction = (target - self.cumulative[bucket]) / self.rates[bucket].max(1e-9);
        let (start, end) = (bucket_start(bucket), bucket_end(bucket));
        Some(start + (end - start).scale(f64::from(fraction)))
    }
}

/// The evidence on one courier's answers to one kind of question; 520 bytes.
struct CourierEvidence {
    answers: [f32; BUCKETS],
    exposure: [f32; BUCKETS],
    /// When the half-life decay was last applied.
    decayed_at: Micros,
}

impl CourierEvidence {
    fn decay(&mut self, factor: f32) {
        self.answers.iter_mut().chain(&mut self.exposure).for_each(|x| *x *= factor);
    }

    /// Adds the time from `from` to `to` after the question to the exposure.
    fn expose(&mut self, from: Micros, to: Micros) {
        if from >= to {
            return;
        }
        let (first, last) = (bucket_of(from), bucket_of(to));
        for b in first..=last {
            let before = if b == first { elapsed_fraction(b, from) } else { 0.0 };
            let after = if b == last { elapsed_fraction(b, to) } else { 1.0 };
            self.exposure[b] += after - before;
        }
    }
}

/// Everything learnt about latencies: own measurements and the entries received from other couriers.
pub struct LatencyModel {
    half_life: Micros,
    /// Factor by which evidence decays with each question.
    question_decay: f32,
    /// Maximum number of entries in `own`.
    max_own: usize,
    prior: LatencyCurve,
    /// The prior's weight, in answers.
    prior_weight: f32,
    own: BTreeMap<(Kind, CourierId), CourierEvidence>,
    pub(super) received: [ReceivedEntries; Kind::ALL.len()],
}

impl LatencyModel {
    /// Creates a model that knows only the prior.
    pub fn new(config: &AskConfig) -> LatencyModel {
        let (median, log_std_dev) = (config.prior.median.0 as f64, config.prior.log_std_dev);
        let survival = |t: Micros| (1.0 - normal((t.0 as f64 / median).ln() / log_std_dev)).max(1e-30);
        let rate = |b: usize| {
            let start = if b == 0 { 1.0 } else { survival(bucket_start(b)) };
            ((start / survival(bucket_end(b))).ln() as f32).clamp(0.0, MAX_RATE)
        };
        LatencyModel {
            half_life: config.latency_memory.half_life,
            question_decay: 1.0 - 1.0 / config.latency_memory.answers as f32,
            max_own: config.latency_memory.max_couriers * Kind::ALL.len(),
            prior: LatencyCurve::new(std::array::from_fn(rate)),
            prior_weight: config.prior.equivalent_answers as f32,
            own: BTreeMap::new(),
            received: Default::default(),
        }
    }

    /// The factor by which evidence of `since` has decayed by `now`.
    fn decay_factor(&self, since: Micros, now: Micros) -> f32 {
        (-((now - since).secs() / self.half_life.secs())).exp2() as f32
    }

    fn evidence(&mut self, now: Micros, kind: Kind, courier: CourierId) -> &mut CourierEvidence {
        // Without a bound, couriers that join and leave would exhaust the memory; the one with the oldest evidence is evicted.
        if !self.own.contains_key(&(kind, courier)) && self.own.len() >= self.max_own {
            let oldest = self.own.iter().min_by_key(|(_, evidence)| evidence.decayed_at).map(|(key, _)| *key);
            oldest.and_then(|key| self.own.remove(&key));
        }
        let half_life = self.half_life.secs();
        let evidence = self.own.entry((kind, courier)).or_insert_with(|| CourierEvidence {
            answers: [0.0; BUCKETS],
            exposure: [0.0; BUCKETS],
            decayed_at: now,
        });
        // To save work, the decay is applied at most once per sixteenth of the half-life.
        if (now - evidence.decayed_at).secs() * 16.0 > half_life {
            evidence.decay((-((now - evidence.decayed_at).secs() / half_life)).exp2() as f32);
            evidence.decayed_at = now;
        }
        evidence
    }

    /// Records that no answer arrived between `from` and `to`, both measured from the question. Each interval must be recorded
    /// only once.
    pub fn record_silence(&mut self, now: Micros, kind: Kind, courier: CourierId, from: Micros, to: Micros) {
        self.evidence(now, kind, courier).expose(from, to);
    }

    /// Records an answer that arrived `at` after the question; the silence until `from` has been recorded.
    pub fn record_answer(&mut self, now: Micros, kind: Kind, courier: CourierId, from: Micros, at: Micros) {
        let decay = self.question_decay;
        let evidence = self.evidence(now, kind, courier);
        evidence.expose(from, at);
        evidence.answers[bucket_of(at)] += 1.0;
        evidence.decay(decay);
    }

    /// Records that no answer is expected any more; the silence has been recorded.
    pub fn record_no_answer(&mut self, now: Micros, kind: Kind, courier: CourierId) {
        let decay = self.question_decay;
        self.evidence(now, kind, courier).decay(decay);
    }

    /// Answers and exposure of a kind from own evidence, each courier with a weight of at most [`MAX_COURIER_WEIGHT`].
    pub(super) fn own_pool(&self, now: Micros, kind: Kind) -> ([f32; BUCKETS], [f32; BUCKETS]) {
        let (mut answers, mut exposure) = ([0.0; BUCKETS], [0.0; BUCKETS]);
        for evidence in self.own_of(kind).map(|(_, evidence)| evidence) {
            let decay = self.decay_factor(evidence.decayed_at, now);
            for b in 0..BUCKETS {
                let weight = decay * MAX_COURIER_WEIGHT / (evidence.exposure[b] * decay + MAX_COURIER_WEIGHT);
                answers[b] += evidence.answers[b] * weight;
                exposure[b] += evidence.exposure[b] * weight;
            }
        }
        (answers, exposure)
    }

    fn own_of(&self, kind: Kind) -> impl Iterator<Item = (CourierId, &CourierEvidence)> {
        let range = (kind, CourierId(0))..=(kind, CourierId(u16::MAX));
        self.own.range(range).map(|((_, courier), evidence)| (*courier, evidence))
    }

    /// Couriers with own evidence on a kind of question.
    pub(super) fn known_couriers(&self, kind: Kind) -> Vec<CourierId> {
        self.own_of(kind).map(|(courier, _)| courier).collect()
    }

    /// The expected latency for a kind of question over the whole fleet: own evidence, received entries and the prior.
    pub fn pooled_curve(&self, now: Micros, kind: Kind) -> LatencyCurve {
        let (answers, exposure) = self.own_pool(now, kind);
        let received = self.received[kind as usize].rates(|at| self.decay_factor(at, now));
        LatencyCurve::new(std::array::from_fn(|b| {
            let others = (received[b].0, exposure_for(received[b].0, received[b].1.min(MAX_RECEIVED_WEIGHT)));
            let rate = self.assumed_rate(b, &answers, &exposure);
            let prior = (rate, exposure_for(rate, self.prior_weight));
            let weighted_answers = answers[b] + others.0 * others.1 + prior.0 * prior.1;
            (weighted_answers / (exposure[b] + others.1 + prior.1)).min(MAX_RATE)
        }))
    }

    /// The rate assumed for a bucket before there is evidence: a mean of the prior's and that of the two octaves before the
    /// bucket. Where many couriers have long been silent for a common reason, they will not answer in the next moment either.
    fn assumed_rate(&self, bucket: usize, answers: &[f32; BUCKETS], exposure: &[f32; BUCKETS]) -> f32 {
        let near = bucket.saturating_sub(EXTRAPOLATION_BUCKETS)..bucket;
        let (answered, exposed) = near.fold((0.0, 0.0), |(a, x), b| (a + answers[b], x + exposure[b]));
        let weight =
            (exposed / EXTRAPOLATION_BUCKETS as f32).min(self.prior_weight * MAX_EXTRAPOLATION_WEIGHT);
        let weighted = self.prior.rates[bucket] * self.prior_weight + weight * answered / exposed.max(1e-6);
        weighted / (self.prior_weight + weight)
    }

    /// The expected latency of one courier; `pooled` is that of the kind.
    pub fn courier_curve(
        &self, now: Micros, kind: Kind, courier: CourierId, pooled: &LatencyCurve,
    ) -> LatencyCurve {
        let shift = self.received[kind as usize].shift(courier);
        let evidence = self.own.get(&(kind, courier));
        let decay = evidence.map_or(0.0, |evidence| self.decay_factor(evidence.decayed_at, now));
        LatencyCurve::new(std::array::from_fn(|b| {
            let base = match shift {
                None => pooled.rates[b],
                Some(None) => pooled.rates[b] / 8.0,
                Some(Some(by)) => usize::try_from(b as i32 - i32::from(by)).map_or(0.0, |b| pooled.rate(b)),
            };
            let (answers, exposure) = evidence.map_or((0.0, 0.0), |e| (e.answers[b], e.exposure[b]));
            let base_exposure = exposure_for(base, POOL_WEIGHT);
            ((answers * decay + base * base_exposure) / (exposure * decay + base_exposure)).min(MAX_RATE)
        }))
    }
}

/// The exposure with which a rate has the weight of this number of answers. A high rate with the same exposure as a low one
/// would stand for many answers, and a courier's own silences would hardly outweigh it.
fn exposure_for(rate: f32, answers: f32) -> f32 {
    answers / rate.max(1.0)
}

/// The cumulative normal distribution (Abramowitz and Stegun, 26.2.17; the error is at most 1e-7).
fn normal(x: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.231_641_9 * x.abs());
    let series = [0.319_381_530, -0.356_563_782, 1.781_477_937, -1.821_255_978, 1.330_274_429];
    let sum = series.iter().rev().fold(0.0, |sum, a| (sum + a) * t);
    let tail = (-x * x / 2.0).exp() / (2.0 * std::f64::consts::PI).sqrt() * sum;
    if x > 0.0 {
        1.0 - tail
    } else {
        tail
    }
}
