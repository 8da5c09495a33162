//! Entries by which couriers share latencies: own evidence on one kind of question in 48 bytes, and the entries received from
//! others. What was received is never forwarded.
//!
//! | bytes | |
//! | --- | --- |
//! | 0 | version, 1 |
//! | 1 | kind |
//! | 2 | evidence: number of answers, at most 255 |
//! | 3 | number of couriers listed below, at most 9 |
//! | 4 to 19 | rates of 32 half-octaves, four bits each, the low half of a byte first; 0: nothing known |
//! | 20 to 46 | couriers that differ from the pooled latency: number, little-endian, and how much slower in quarter octaves; 127: never answers |
//! | 47 | 0 |

use super::latency::{LatencyModel, BUCKETS};
use super::{CourierId, Kind};
use crate::api::Micros;
use std::collections::BTreeMap;

/// Size of an entry.
pub const ENTRY_BYTES: usize = 48;
const VERSION: u8 = 1;
/// Half-octaves in an entry; each covers two buckets.
const HALF_OCTAVES: usize = BUCKETS / 2;
const MAX_OUTLIERS: usize = 9;
/// Marks an outlier that never answers.
const NEVER: i8 = 127;
/// A courier is listed as an outlier from this shift on, in quarter octaves: twice as slow or as fast as the pool.
const MIN_OUTLIER_SHIFT: i32 = 4;
/// Maximum number of authors whose entries are kept for a kind.
const MAX_AUTHORS: usize = 64;

/// Why a received entry was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryError {
    /// It does not have 48 bytes, or has an impossible value.
    Malformed,
    /// Its version is not known to this process.
    UnknownVersion,
    /// It is not newer than the author's entry that is known.
    Outdated,
}

struct ReceivedEntry {
    incarnation: u64,
    version: u64,
    at: Micros,
    weight: f32,
    rates: [Option<f32>; HALF_OCTAVES],
    outliers: Vec<(CourierId, i8)>,
}

/// The entries received from other couriers on one kind of question.
#[derive(Default)]
pub(super) struct ReceivedEntries {
    by_author: BTreeMap<CourierId, ReceivedEntry>,
    shifts: BTreeMap<CourierId, Option<i8>>,
}

impl ReceivedEntries {
    /// The mean rate of each bucket and its weight. `decay` gives the factor for an entry received at a time.
    pub(super) fn rates(&self, decay: impl Fn(Micros) -> f32) -> [(f32, f32); BUCKETS] {
        let mut sums = [(0.0, 0.0); BUCKETS];
        for entry in self.by_author.values() {
            let weight = entry.weight * decay(entry.at);
            for (b, sum) in sums.iter_mut().enumerate() {
                if let Some(rate) = entry.rates[b / 2] {
                    *sum = (sum.0 + weight * rate / 2.0, sum.1 + weight);
                }
            }
        }
        sums.map(|(rate, weight)| (if weight > 0.0 { rate / weight } else { 0.0 }, weight))
    }

    /// By how many quarter octaves a courier is reported slower than the pool; `Some(None)`: it never answers.
    pub(super) fn shift(&self, courier: CourierId) -> Option<Option<i8>> {
        self.shifts.get(&courier).copied()
    }

    /// Computes each courier's shift as the median of those reported, so that a single author can't outweigh the others.
    fn update_shifts(&mut self) {
        let mut reported: BTreeMap<CourierId, Vec<i8>> = BTreeMap::new();
        for (courier, shift) in self.by_author.values().flat_map(|entry| &entry.outliers) {
            reported.entry(*courier).or_default().push(*shift);
        }
        let median = |mut shifts: Vec<i8>| {
            shifts.sort_unstable();
            Some(shifts[shifts.len() / 2]).filter(|shift| *shift != NEVER)
        };
        self.shifts = reported.into_iter().map(|(courier, shifts)| (courier, median(shifts))).collect();
    }
}

impl LatencyModel {
    /// Encodes what this courier has measured for a kind of question, for the others; `None` if there is no evidence.
    pub fn encode_entry(&self, now: Micros, kind: Kind) -> Option<[u8; ENTRY_BYTES]> {
        let (answers, exposure) = self.own_pool(now, kind);
        let evidence = answers.iter().sum::<f32>();
        if exposure[0] < 1.0 {
            return None;
        }
        let mut out = [0; ENTRY_BYTES];
        (out[0], out[1], out[2]) = (VERSION, kind as u8, (evidence.round() as u8).max(1));
        for step in 0..HALF_OCTAVES {
            let exposed = exposure[2 * step].min(exposure[2 * step + 1]);
            let rate: f32 = (2 * step..2 * step + 2).map(|b| answers[b] / exposure[b].max(1e-6)).sum();
            let code =
                if exposed < 0.5 { 0 } else { (rate.max(1e-6).log2() / 0.75 + 11.5).clamp(1.0, 15.0) as u8 };
            out[4 + step / 2] |= code << (4 * (step % 2));
        }
        let pooled = self.pooled_curve(now, kind);
        let pooled_median = pooled.quantile(0.5).map_or(BUCKETS as f64, quarter_octaves);
        let mut outliers: Vec<(i32, CourierId)> = self
            .known_couriers(kind)
            .into_iter()
            .filter_map(|courier| {
                let own = self.courier_curve(now, kind, courier, &pooled).quantile(0.5).map(quarter_octaves);
                let shift =
                    own.map_or(NEVER.into(), |own| ((own - pooled_median).round() as i32).clamp(-64, 64));
                (shift.abs() >= MIN_OUTLIER_SHIFT).then_some((shift, courier))
            })
            .collect();
        outliers.sort_by_key(|(shift, courier)| (-shift.abs(), *courier));
        for (n, (shift, courier)) in outliers.iter().take(MAX_OUTLIERS).enumerate() {
            let at = 20 + 3 * n;
            out[at..at + 2].copy_from_slice(&courier.0.to_le_bytes());
            out[at + 2] = *shift as i8 as u8;
            out[3] += 1;
        }
        Some(out)
    }

    /// Merges what another courier has measured. A newer entry of an author replaces its older one.
    pub fn merge_entry(
        &mut self, now: Micros, author: CourierId, incarnation: u64, version: u64, bytes: &[u8],
    ) -> Result<Kind, EntryError> {
        if bytes.first().is_some_and(|v| *v != VERSION) {
            return Err(EntryError::UnknownVersion);
        }
        let bytes: &[u8; ENTRY_BYTES] = bytes.try_into().map_err(|_| EntryError::Malformed)?;
        let (_, kind) = *Kind::ALL.get(usize::from(bytes[1])).ok_or(EntryError::Malformed)?;
        let listed = usize::from(bytes[3]);
        if listed > MAX_OUTLIERS || bytes[47] != 0 || bytes[2] == 0 {
            return Err(EntryError::Malformed);
        }
        let received = &mut self.received[kind as usize];
        if received
            .by_author
            .get(&author)
            .is_some_and(|entry| (entry.incarnation, entry.version) >= (incarnation, version))
        {
            return Err(EntryError::Outdated);
        }
        let rates = std::array::from_fn(|step| {
            let code = bytes[4 + step / 2] >> (4 * (step % 2)) & 15;
            (code > 0).then(|| (0.75 * (f32::from(code) - 11.0)).exp2())
        });
        let outliers = bytes[20..47].chunks_exact(3).take(listed);
        let outliers = outliers.map(|c| (CourierId(u16::from_le_bytes([c[0], c[1]])), c[2] as i8)).collect();
        let weight = f32::from(bytes[2]).min(MAX_AUTHOR_WEIGHT);
        received
            .by_author
            .insert(author, ReceivedEntry { incarnation, version, at: now, weight, rates, outliers });
        // A growing fleet or changing courier numbers must not exhaust the memory; the oldest entry is evicted.
        if received.by_author.len() > MAX_AUTHORS {
            let oldest =
                received.by_author.iter().min_by_key(|(_, entry)| entry.at).map(|(author, _)| *author);
            oldest.and_then(|author| received.by_author.remove(&author));
        }
        received.update_shifts();
        Ok(kind)
    }
}

/// Maximum weight of one author's entry, in answers.
const MAX_AUTHOR_WEIGHT: f32 = 4.0;

/// The position of a latency on the logarithmic scale of the buckets, in quarter octaves.
fn quarter_octaves(latency: Micros) -> f64 {
    4.0 * (latency.0.max(1) as f64 / 250.0).log2()
}
