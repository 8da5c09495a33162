//! Finds the readable records of a segment that may be damaged, without I/O. A record is
//! `length u32, crc32 u32, body`. After a damaged record the next intact one is found by the damaged record's length,
//! if that leads to an intact record, otherwise by trying every offset.
//!
//! A body may contain bytes that look like a record. While the length leads to an intact record the body is never
//! searched. It is searched only if the length itself is damaged, and then a chain of records must lead from the
//! offset to the end of the segment.

use std::ops::Range;

/// Length of a record's header: its length and its checksum.
pub const RECORD_HEADER_BYTES: usize = 8;
/// A longer length counts as damaged.
const MAX_BODY_BYTES: usize = 1 << 26;
/// The shortest body holds a kind and a message. Without this limit a range of zeros would be read as records with an
/// empty body.
const MIN_BODY_BYTES: usize = 9;
/// Record kinds are numbered from 1 to this.
const MAX_KIND: u8 = 6;

/// A part of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SegmentPart {
    /// The body of an intact record.
    Record(Range<usize>),
    /// Unreadable bytes that are followed by intact records, or that are complete by their length but fail the
    /// checksum.
    Damage(Range<usize>),
    /// An incomplete last record. The process died while writing it, so the step that it covers was not acknowledged.
    Torn(Range<usize>),
}

/// The body of the intact record that begins at this offset, and the record's end.
pub fn record_at(bytes: &[u8], at: usize) -> Option<(Range<usize>, usize)> {
    let (body, end) = frame_at(bytes, at)?;
    let sum = u32::from_le_bytes(bytes.get(at + 4..at + 8)?.try_into().ok()?);
    (crc32fast::hash(&bytes[body.clone()]) == sum).then_some((body, end))
}

/// Body and end of the record at this offset by its length field alone, if that is valid and within the segment.
fn frame_at(bytes: &[u8], at: usize) -> Option<(Range<usize>, usize)> {
    let length = u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize;
    let end = at.checked_add(RECORD_HEADER_BYTES)?.checked_add(length)?;
    ((MIN_BODY_BYTES..=MAX_BODY_BYTES).contains(&length) && end <= bytes.len())
        .then_some((at + RECORD_HEADER_BYTES..end, end))
}

/// Whether an intact record of a known kind begins at this offset.
fn plausible_record_at(bytes: &[u8], at: usize) -> bool {
    let record = record_at(bytes, at);
    record.is_some_and(|(body, _)| bytes.get(body.start).is_some_and(|kind| (1..=MAX_KIND).contains(kind)))
}

/// Whether intact records follow each other from this offset to the end of the segment. The last one may be
/// incomplete if its existing part has a valid length and kind.
fn chain_reaches_end(bytes: &[u8], mut at: usize) -> bool {
    while let Some((_, end)) = record_at(bytes, at) {
        at = end;
    }
    let rest = &bytes[at.min(bytes.len())..];
    let length = rest.first_chunk().map_or(MIN_BODY_BYTES, |l| u32::from_le_bytes(*l) as usize);
    let kind = rest.get(RECORD_HEADER_BYTES).copied().unwrap_or(1);
    frame_at(bytes, at).is_none()
        && (MIN_BODY_BYTES..=MAX_BODY_BYTES).contains(&length)
        && (1..=MAX_KIND).contains(&kind)
}

/// Splits a segment into its parts, in order and without gaps.
pub fn split_segment(bytes: &[u8]) -> Vec<SegmentPart> {
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if let Some((body, end)) = record_at(bytes, at) {
            out.push(SegmentPart::Record(body));
            at = end;
            continue;
        }
        let framed = frame_at(bytes, at).map(|(_, end)| end);
        // If an intact record follows, only the body or its checksum is damaged, not the length.
        let by_length = framed.filter(|end| plausible_record_at(bytes, *end));
        let found = by_length.or_else(|| {
            (at + 1..bytes.len()).find(|at| plausible_record_at(bytes, *at) && chain_reaches_end(bytes, *at))
        });
        match (found, framed) {
            (Some(next), _) => {
                out.push(SegmentPart::Damage(at..next));
                at = next;
            }
            // The record is complete by its length and nothing readable follows: it was fully written and has changed
            // since.
            (None, Some(_)) => {
                out.push(SegmentPart::Damage(at..bytes.len()));
                at = bytes.len();
            }
            (None, None) => {
                out.push(SegmentPart::Torn(at..bytes.len()));
                at = bytes.len();
            }
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(kind: u8, fields: &[u8]) -> Vec<u8> {
        let body = [&[kind], fields].concat();
        [&(body.len() as u32).to_le_bytes()[..], &crc32fast::hash(&body).to_le_bytes(), &body].concat()
    }

    /// A segment of five records, and the offsets at which they end.
    fn segment() -> (Vec<u8>, Vec<usize>) {
        let records: Vec<Vec<u8>> = (1..=5).map(|n| record(n, &[n; 20])).collect();
        let ends = records.iter().scan(0, |at, r| {
            *at += r.len();
            Some(*at)
        });
        (records.concat(), ends.collect())
    }

    fn intact_records(parts: &[SegmentPart]) -> usize {
        parts.iter().filter(|p| matches!(p, SegmentPart::Record(_))).count()
    }

    #[test]
    fn a_flipped_bit_loses_one_record_and_is_detected() {
        let (good, ends) = segment();
        assert_eq!(intact_records(&split_segment(&good)), 5);
        for bit in 0..good.len() * 8 {
            let mut bytes = good.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            let found = split_segment(&bytes);
            assert_eq!(intact_records(&found), 4, "bit {bit}");
            let last = bit / 8 >= ends[3];
            let detected = found.iter().any(|p| matches!(p, SegmentPart::Damage(_)));
            // Only the last record can look incomplete instead, if its damaged length points past the segment's end.
            assert!(
                detected || last && found.iter().any(|p| matches!(p, SegmentPart::Torn(_))),
                "bit {bit}: {found:?}"
            );
        }
    }

    #[test]
    fn a_truncated_segment_is_torn_and_never_damaged() {
        let (good, _) = segment();
        for cut in 0..good.len() {
            let found = split_segment(&good[..cut]);
            assert!(!found.iter().any(|p| matches!(p, SegmentPart::Damage(_))), "{cut}: {found:?}");
        }
    }

    #[test]
    fn a_zeroed_range_loses_only_the_records_it_overlaps() {
        let (good, ends) = segment();
        let mut bytes = good.clone();
        bytes[ends[0] + 3..ends[2] + 5].fill(0);
        let found = split_segment(&bytes);
        assert_eq!(intact_records(&found), 2, "{found:?}");
        assert!(found.contains(&SegmentPart::Damage(ends[0]..ends[3])), "{found:?}");
    }

    /// Guards against taking part of a client's body for a record, whether the enclosing record's body or its length is
    /// damaged.
    #[test]
    fn a_record_inside_a_body_is_not_read_as_a_record() {
        let forged = record(5, &[9; 8]);
        let enclosing = record(1, &[&forged[..], b" and more"].concat());
        let mut bytes = [record(1, b"the first"), enclosing.clone(), record(2, b"the last")].concat();
        let at = record(1, b"the first").len();
        bytes[at + enclosing.len() - 1] ^= 1; // damages the body, not the length
        let found = split_segment(&bytes);
        assert_eq!(intact_records(&found), 2, "{found:?}");
        let mut bytes = [record(1, b"the first"), enclosing, record(2, b"the last")].concat();
        bytes[at] ^= 0x40; // damages the length
        let found = split_segment(&bytes);
        assert!(
            found.iter().all(|p| !matches!(p, SegmentPart::Record(r) if bytes[r.start] == 5)),
            "{found:?}"
        );
    }

    #[test]
    fn random_bytes_cause_no_panic_and_the_parts_have_no_gaps() {
        let mut state = 7u64;
        for round in 0..2_000 {
            let bytes: Vec<u8> = (0..round % 90)
                .map(|_| {
                    state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    (state >> 59) as u8
                })
                .collect();
            let mut at = 0;
            for part in split_segment(&bytes) {
                let (begins, ends) = match part {
                    SegmentPart::Record(body) => (body.start - RECORD_HEADER_BYTES, body.end),
                    SegmentPart::Damage(range) | SegmentPart::Torn(range) => (range.start, range.end),
                };
                assert_eq!(begins, at);
                at = ends;
            }
            assert_eq!(at, bytes.len());
        }
    }
}
