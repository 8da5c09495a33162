//! What can be read of a segment that is not as it was written, without I/O. Records are `length u32, crc32 u32, body`; where one
//! is damaged the next whole one is found again, by its predecessor's length if that still leads to one, else by looking at
//! each byte. Danger: a body may hold what looks like a record. Where the length leads on it is never looked into; it is only
//! if the length itself is damaged, and then a chain of records must lead from there to the end of the segment.

use std::ops::Range;

/// Length of a record's head, and the longest body that is believed.
pub const HEAD: usize = 8;
const BODY_MOST: usize = 1 << 26;
/// The shortest: a kind and a message. A hole full of zeros would else be read as records without a body.
const BODY_LEAST: usize = 9;
/// Kinds of record, from 1.
const KINDS: u8 = 6;

/// A part of a segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// The body of a whole record.
    Record(Range<usize>),
    /// Bytes that can't be read, with whole records behind them, or complete by their length and wrong all the same.
    Damage(Range<usize>),
    /// The last record was not written to its end: its process died meanwhile, and what it covers was not promised.
    Torn(Range<usize>),
}

/// The body of the whole record that begins there, and where it ends.
pub fn record_at(bytes: &[u8], at: usize) -> Option<(Range<usize>, usize)> {
    let (body, end) = framed_at(bytes, at)?;
    let sum = u32::from_le_bytes(bytes.get(at + 4..at + 8)?.try_into().ok()?);
    (crc32fast::hash(&bytes[body.clone()]) == sum).then_some((body, end))
}

/// What the length there says, if that lies within the segment.
fn framed_at(bytes: &[u8], at: usize) -> Option<(Range<usize>, usize)> {
    let length = u32::from_le_bytes(bytes.get(at..at + 4)?.try_into().ok()?) as usize;
    let end = at.checked_add(HEAD)?.checked_add(length)?;
    ((BODY_LEAST..=BODY_MOST).contains(&length) && end <= bytes.len()).then_some((at + HEAD..end, end))
}

fn plausible(bytes: &[u8], at: usize) -> bool {
    let record = record_at(bytes, at);
    record.is_some_and(|(body, _)| bytes.get(body.start).is_some_and(|kind| (1..=KINDS).contains(kind)))
}

/// Whole records lead from there to the end, but for a last one that is torn: what is there of it looks like one.
fn leads_to_the_end(bytes: &[u8], mut at: usize) -> bool {
    while let Some((_, end)) = record_at(bytes, at) {
        at = end;
    }
    let rest = &bytes[at.min(bytes.len())..];
    let length = rest.first_chunk().map_or(BODY_LEAST, |l| u32::from_le_bytes(*l) as usize);
    let kind = rest.get(HEAD).copied().unwrap_or(1);
    framed_at(bytes, at).is_none()
        && (BODY_LEAST..=BODY_MOST).contains(&length)
        && (1..=KINDS).contains(&kind)
}

/// All parts of a segment, in order and without gaps.
pub fn pieces(bytes: &[u8]) -> Vec<Piece> {
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        if let Some((body, end)) = record_at(bytes, at) {
            out.push(Piece::Record(body));
            at = end;
            continue;
        }
        let framed = framed_at(bytes, at).map(|(_, end)| end);
        // The body or its checksum is damaged, the length is not.
        let by_length = framed.filter(|end| plausible(bytes, *end));
        let found = by_length.or_else(|| {
            (at + 1..bytes.len()).find(|at| plausible(bytes, *at) && leads_to_the_end(bytes, *at))
        });
        match (found, framed) {
            (Some(next), _) => {
                out.push(Piece::Damage(at..next));
                at = next;
            }
            // Complete by its length, and nothing readable behind it: it was written whole and has changed since.
            (None, Some(_)) => {
                out.push(Piece::Damage(at..bytes.len()));
                at = bytes.len();
            }
            (None, None) => {
                out.push(Piece::Torn(at..bytes.len()));
                at = bytes.len();
            }
        }
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(kind: u8, body: &[u8]) -> Vec<u8> {
        let whole = [&[kind], body].concat();
        [&(whole.len() as u32).to_le_bytes()[..], &crc32fast::hash(&whole).to_le_bytes(), &whole].concat()
    }

    fn segment() -> (Vec<u8>, Vec<usize>) {
        let all: Vec<Vec<u8>> = (1..=5).map(|n| record(n, &[n; 20])).collect();
        let ends = all.iter().scan(0, |at, r| {
            *at += r.len();
            Some(*at)
        });
        (all.concat(), ends.collect())
    }

    fn whole(pieces: &[Piece]) -> usize {
        pieces.iter().filter(|p| matches!(p, Piece::Record(_))).count()
    }

    #[test]
    fn a_flipped_bit_costs_one_record_and_is_seen_wherever_it_is() {
        let (good, ends) = segment();
        assert_eq!(whole(&pieces(&good)), 5);
        for bit in 0..good.len() * 8 {
            let mut bytes = good.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            let found = pieces(&bytes);
            assert_eq!(whole(&found), 4, "bit {bit}");
            let last = bit / 8 >= ends[3];
            let seen = found.iter().any(|p| matches!(p, Piece::Damage(_)));
            // Only a length at the very end that leads out of the segment looks as if it had not been written whole.
            assert!(
                seen || last && found.iter().any(|p| matches!(p, Piece::Torn(_))),
                "bit {bit}: {found:?}"
            );
        }
    }

    #[test]
    fn a_cut_is_torn_and_never_damage() {
        let (good, _) = segment();
        for cut in 0..good.len() {
            let found = pieces(&good[..cut]);
            assert!(!found.iter().any(|p| matches!(p, Piece::Damage(_))), "{cut}: {found:?}");
        }
    }

    #[test]
    fn a_hole_costs_what_it_covers() {
        let (good, ends) = segment();
        let mut bytes = good.clone();
        bytes[ends[0] + 3..ends[2] + 5].fill(0);
        let found = pieces(&bytes);
        assert_eq!(whole(&found), 2, "{found:?}");
        assert!(found.contains(&Piece::Damage(ends[0]..ends[3])), "{found:?}");
    }

    /// A client's body that looks like a record is never taken for one while the record round it can be framed.
    #[test]
    fn a_record_within_a_body_is_not_believed() {
        let forged = record(5, &[9; 8]);
        let round = record(1, &[&forged[..], b" and more"].concat());
        let mut bytes = [record(1, b"the first"), round.clone(), record(2, b"the last")].concat();
        let at = record(1, b"the first").len();
        bytes[at + round.len() - 1] ^= 1; // the body is damaged, its length is not
        let found = pieces(&bytes);
        assert_eq!(whole(&found), 2, "{found:?}");
        let mut bytes = [record(1, b"the first"), round, record(2, b"the last")].concat();
        bytes[at] ^= 0x40; // its length is
        let found = pieces(&bytes);
        assert!(found.iter().all(|p| !matches!(p, Piece::Record(r) if bytes[r.start] == 5)), "{found:?}");
    }

    #[test]
    fn no_bytes_panic_and_nothing_is_passed_by() {
        let mut state = 7u64;
        for round in 0..2_000 {
            let bytes: Vec<u8> = (0..round % 90)
                .map(|_| {
                    state = state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    (state >> 59) as u8
                })
                .collect();
            let mut at = 0;
            for piece in pieces(&bytes) {
                let (begins, ends) = match piece {
                    Piece::Record(body) => (body.start - HEAD, body.end),
                    Piece::Damage(part) | Piece::Torn(part) => (part.start, part.end),
                };
                assert_eq!(begins, at);
                at = ends;
            }
            assert_eq!(at, bytes.len());
        }
    }
}
