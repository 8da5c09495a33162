//! What couriers say of orders to send again: entries of at most [`MAX_VALUE_BYTES`] bytes each. An order's number comes from what its
//! entry says, so nobody can be told another order under the same number.

use super::given::{Given, Part, Phase};
use super::order::Order;
use super::orders::NAMED;
use super::replay::Not;
use crate::api::Micros;
use crate::peers::codec::MAX_VALUE_BYTES;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an entry of an order is; from [`BACKS`] on, one for each [`GROUP`] members.
pub const ORDER: u32 = 0;
/// What may not go, by reason.
pub const NOT: u32 = 1;
/// The beginning of its reason.
pub const WORDS: u32 = 2;
/// Up to which line messages may be claimed.
pub const LINE: u32 = 3;
/// Lines of others that are kept.
pub const BACKS: u32 = 4;
/// Members of one such entry.
pub const GROUP: u16 = 6;
/// Kinds of entries of one order.
const WHICH: u32 = 64;

/// The number of an entry; `None`: there is none for so many members.
pub fn entry(id: u64, which: u32) -> Option<u32> {
    (which < WHICH).then_some((id & NAMED) as u32 * WHICH + which)
}

/// The name of its order and what it is.
pub fn which(entry: u32) -> (u64, u32) {
    (u64::from(entry / WHICH), entry % WHICH)
}

const LOST: u8 = 1;
const STOPPED: u8 = 2;
const GO: u8 = 4;
const PHASE: u8 = 3;

#[derive(Serialize, Deserialize)]
struct Wire {
    tenant: u16,
    dest: u16,
    since_ms: u64,
    until_ms: u64,
    words: [u8; 8],
    flags: u8,
    at: u32,
    turn: u16,
    counts: [u32; 4],
}

/// An order and how far it is here.
pub fn encode(given: &Given, part: &Part) -> Vec<u8> {
    let order = &given.order;
    let phase = Phase::ALL.iter().position(|p| *p == part.phase).unwrap_or(0) as u8;
    let flag = |on: bool, flag: u8| if on { flag } else { 0 };
    let least = |n: u32| n.min((1 << 21) - 1);
    let wire = Wire {
        tenant: order.tenant,
        dest: order.dest,
        since_ms: order.since.0 / 1_000,
        until_ms: order.until.0 / 1_000,
        words: order.words.to_le_bytes(),
        flags: flag(order.lost, LOST) | flag(given.stopped, STOPPED) | flag(given.go, GO) | phase << PHASE,
        at: given.at,
        turn: given.turn,
        counts: [part.left, part.taken, part.refused, part.passed].map(least),
    };
    postcard::to_allocvec(&wire).unwrap_or_default()
}

/// Reads one; its reason is not in it.
pub fn decode(bytes: &[u8]) -> Option<(Given, Part)> {
    let (wire, rest) = postcard::take_from_bytes::<Wire>(bytes).ok()?;
    let ms = |ms: u64| ms.checked_mul(1_000).map(Micros);
    let order = Order {
        words: u64::from_le_bytes(wire.words),
        ..Order::new(
            wire.tenant,
            wire.dest,
            (ms(wire.since_ms)?, ms(wire.until_ms)?),
            wire.flags & LOST != 0,
            "",
        )
    };
    let phase = *Phase::ALL.get(usize::from(wire.flags >> PHASE))?;
    let [left, taken, refused, passed] = wire.counts;
    let part = Part { phase, left, taken, refused, passed, not: BTreeMap::new() };
    let (stopped, go) = (wire.flags & STOPPED != 0, wire.flags & GO != 0);
    let sound = rest.is_empty() && order.since < order.until;
    sound.then_some((Given { order, at: wire.at, turn: wire.turn, go, stopped }, part))
}

/// What may not go. The reason's place, then how many.
pub fn encode_not(not: &BTreeMap<Not, u64>) -> Vec<u8> {
    let mut out = Vec::new();
    for (why, many) in not {
        let place = Not::ALL.iter().position(|n| n == why).unwrap_or(0) as u8;
        out.push(place);
        let many = (*many).min((1 << 21) - 1) as u32;
        out.extend(postcard::to_allocvec(&many).unwrap_or_default());
    }
    out
}

/// Reads it; reasons that are not known here are left out.
pub fn decode_not(mut bytes: &[u8]) -> Option<BTreeMap<Not, u64>> {
    let mut out = BTreeMap::new();
    while !bytes.is_empty() {
        let ((place, many), rest) = postcard::take_from_bytes::<(u8, u32)>(bytes).ok()?;
        bytes = rest;
        out.extend(Not::ALL.get(usize::from(place)).map(|why| (*why, u64::from(many))));
    }
    Some(out)
}

/// As much of a text as an entry holds.
pub fn words(text: &str) -> &str {
    let end = (0..=MAX_VALUE_BYTES.min(text.len())).rev().find(|at| text.is_char_boundary(*at));
    &text[..end.unwrap_or(0)]
}

/// Lines that are kept of the members of a group, by place in it.
pub fn encode_backs(group: u16, kept: &BTreeMap<u16, u64>) -> Vec<u8> {
    let first = group * GROUP;
    let lines: Vec<(u8, u64)> =
        kept.range(first..first.saturating_add(GROUP)).map(|(m, line)| ((m - first) as u8, *line)).collect();
    postcard::to_allocvec(&lines).unwrap_or_default()
}

/// The line of one member in it.
pub fn decode_back(group: u16, bytes: &[u8], member: u16) -> Option<u64> {
    let lines: Vec<(u8, u64)> = postcard::from_bytes(bytes).ok()?;
    let place = member.checked_sub(group * GROUP)?;
    lines.into_iter().find(|(m, _)| u16::from(*m) == place).map(|(_, line)| line)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_longest_of_each_fits_and_reads_as_it_was() {
        let most = Micros(u64::MAX);
        let order = Order { words: u64::MAX, ..Order::new(u16::MAX, u16::MAX, (most, most), true, "") };
        let order = Order { since: Micros(order.until.0 - 1_000), ..order };
        let given = Given { order, at: u32::MAX, turn: 1 << 13, go: true, stopped: true };
        let n = (1 << 21) - 1;
        let part =
            Part { phase: Phase::Done, left: n, taken: n, refused: n, passed: n, not: BTreeMap::new() };
        let bytes = encode(&given, &part);
        assert!(bytes.len() <= MAX_VALUE_BYTES, "{}", bytes.len());
        let (read, its) = decode(&bytes).unwrap();
        assert_eq!((read.order.id(), &read, its), (given.order.id(), &given, part));
        let not: BTreeMap<Not, u64> = Not::ALL.iter().map(|why| (*why, u64::from(n))).collect();
        assert!(encode_not(&not).len() <= MAX_VALUE_BYTES);
        assert_eq!(decode_not(&encode_not(&not)), Some(not));
        let kept: BTreeMap<u16, u64> = (0..40).map(|m| (m, 1 << 41)).collect();
        assert!(encode_backs(5, &kept).len() <= MAX_VALUE_BYTES);
        assert_eq!(decode_back(5, &encode_backs(5, &kept), 33), Some(1 << 41));
        assert_eq!(decode_back(5, &encode_backs(5, &kept), 6), None);
        assert_eq!(words(&"é".repeat(30)).len(), 48);
        assert_eq!(which(entry(u64::MAX, BACKS + 3).unwrap()), (NAMED, BACKS + 3));
    }

    quickcheck::quickcheck! {
        fn no_bytes_make_it_fall(bytes: Vec<u8>) -> bool {
            let _ = (decode_not(&bytes), decode_back(0, &bytes, 3));
            decode(&bytes).is_none_or(|(given, part)| decode(&encode(&given, &part)).is_some())
        }
    }
}
