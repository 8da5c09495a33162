//! Wire format of gossip messages: `version u8, tag u16, crc u32` (little-endian), then a [`GossipMessage`]
//! encoded with postcard; in version 2 followed by a [`DirectPayload`].
//!
//! The checksum also covers the fleet's full identifier, of which the tag is a part, so that a message of
//! another fleet passes neither by its tag nor by chance.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The version written for a message without a direct payload.
pub const BASE_VERSION: u8 = 1;
/// The version written for a message with one; higher versions are not read.
pub const VERSION: u8 = 2;
/// Bytes before the message itself.
pub const HEADER_BYTES: usize = 7;
/// Longest datagram.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Longest value of an entry or a direct update.
pub const MAX_VALUE_BYTES: usize = 48;

/// Why a datagram was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// Truncated, damaged, or not a gossip message.
    Malformed,
    /// From another fleet.
    Foreign,
    /// In a newer version of the format.
    Newer,
    /// From a number that is no member, from another address than that member's, or from this member itself.
    Unknown,
    /// From a process run that has been replaced by another.
    Old,
    /// With an incarnation, counter or time that cannot have been reached yet.
    Future,
}

impl Refusal {
    /// All reasons, in the order of their counters.
    pub const ALL: [Refusal; 6] = [
        Refusal::Malformed,
        Refusal::Foreign,
        Refusal::Newer,
        Refusal::Unknown,
        Refusal::Old,
        Refusal::Future,
    ];
}

/// The content of one datagram.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's number.
    pub from: u16,
    /// The incarnation of its run.
    pub incarnation: u64,
    /// The age of that run on its own clock, in milliseconds.
    pub at: u64,
    /// The longest time until its next heartbeat, in tenths of a second; 0: it is leaving.
    pub next: u16,
    /// Its newest counter.
    pub top: u64,
    /// Digests of other members.
    pub tops: Vec<MemberDigest>,
    /// Entries that the sender lacks and requests from the receiver.
    pub asks: Vec<EntryRequest>,
    /// Entries.
    pub blocks: Vec<EntryBlock>,
    /// Updates and acknowledgements for the receiver alone.
    #[serde(skip)]
    pub private: Option<DirectPayload>,
}

/// What one member sends to one other alone.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectPayload {
    /// The incarnation of the receiver's run that it is for.
    pub to_life: u64,
    /// Acknowledgements of updates that this run sent.
    pub taken: Vec<DirectAck>,
    /// The updates.
    pub words: Vec<DirectUpdate>,
}

/// An update for one member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectUpdate {
    /// Its kind.
    pub kind: u8,
    /// Its id within its kind.
    pub id: u32,
    /// A sequence number that rises with each update that the sender's run issues to any member.
    pub turn: u64,
    /// Time since it was first issued, in milliseconds.
    pub age: u32,
    /// Its content.
    pub value: Vec<u8>,
}

/// Acknowledges an update and all earlier ones with this kind and id.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DirectAck {
    /// The kind.
    pub kind: u8,
    /// The id within the kind.
    pub id: u32,
    /// The sequence number.
    pub turn: u64,
}

/// What the sender knows of another member.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// The member's number.
    pub owner: u16,
    /// The incarnation of its run.
    pub incarnation: u64,
    /// The newest counter of that run that the sender can pass on.
    pub top: u64,
    /// The newest known time of that run on its own clock, in tenths of a second, from 1.
    pub stamp: u64,
    /// Time since it was alive, in tenths of a second.
    pub age: u32,
}

/// A request for an owner's entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EntryRequest {
    /// The owner's number.
    pub owner: u16,
    /// The incarnation of its run.
    pub incarnation: u64,
    /// No entry up to this counter is missing.
    pub have: u64,
    /// The progress of a sweep and the [`EntryBlock::swept`] for which it runs; 0 if there is none.
    pub sweep: (u64, u64),
}

/// All live entries and tombstones of an owner with counters above `from` and up to `to`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryBlock {
    /// The owner's number.
    pub owner: u16,
    /// The incarnation of its run.
    pub incarnation: u64,
    /// Lower bound of the counters, exclusive.
    pub from: u64,
    /// Upper bound of the counters, inclusive.
    pub to: u64,
    /// Up to this counter entries were removed without a tombstone (0: none, as far as the receiver needs to
    /// know). Entries in the block's range that it does not list no longer exist; nothing is missing once
    /// such blocks reach from 0 to the highest counter.
    pub swept: u64,
    /// The entries.
    pub items: Vec<EntryItem>,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryItem {
    /// Its kind; lower kinds are more urgent.
    pub kind: u8,
    /// Its id within its kind.
    pub id: u32,
    /// Its counter, relative to the block's `from`.
    pub step: u64,
    /// Time since it was set, in milliseconds.
    pub age: u32,
    /// Its value; `None` for a tombstone.
    pub value: Option<Vec<u8>>,
}

/// The fleet's identifier: a hash over the names that distinguish it, such as those in the settings, in their
/// order.
pub fn cluster<'a>(names: impl IntoIterator<Item = &'a str>) -> u64 {
    let mut hash = Sha256::new();
    for name in names {
        hash.update((name.len() as u64).to_le_bytes());
        hash.update(name);
    }
    let all = hash.finalize();
    all[..8].iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
}

fn checksum(cluster: u64, version: u8, body: &[u8]) -> u32 {
    let mut crc = crc32fast::Hasher::new();
    crc.update(&cluster.to_le_bytes());
    crc.update(&[version]);
    crc.update(body);
    crc.finalize()
}

/// Encoded length of a value inside a message; `usize::MAX` if it can't be encoded.
pub fn encoded_len(of: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(of, postcard::ser_flavors::Size::default()).unwrap_or(usize::MAX)
}

/// Encodes a message as a datagram; `None` if it were longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(cluster: u64, message: &GossipMessage) -> Option<Vec<u8>> {
    let mut body = postcard::to_allocvec(message).ok()?;
    let version = if message.private.is_some() { VERSION } else { BASE_VERSION };
    if let Some(private) = &message.private {
        body.extend(postcard::to_allocvec(private).ok()?);
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(version);
    bytes.extend((cluster as u16).to_le_bytes());
    bytes.extend(checksum(cluster, version, &body).to_le_bytes());
    bytes.extend(body);
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// Decodes a datagram. Never panics, whatever the bytes; allocation is bounded by their number.
pub fn decode(cluster: u64, bytes: &[u8]) -> Result<GossipMessage, Refusal> {
    let [version, tag @ ..] = bytes else { return Err(Refusal::Malformed) };
    let Some((tag, rest)) = tag.split_first_chunk::<2>() else { return Err(Refusal::Malformed) };
    let Some((crc, body)) = rest.split_first_chunk::<4>() else { return Err(Refusal::Malformed) };
    if bytes.len() > MAX_DATAGRAM_BYTES || *version == 0 {
        return Err(Refusal::Malformed);
    }
    if u16::from_le_bytes(*tag) != cluster as u16 {
        return Err(Refusal::Foreign);
    }
    if u32::from_le_bytes(*crc) != checksum(cluster, *version, body) {
        return Err(Refusal::Malformed);
    }
    // Checked after the checksum, so that a damaged byte does not count as a newer version.
    if *version > VERSION {
        return Err(Refusal::Newer);
    }
    let (mut message, mut rest): (GossipMessage, _) =
        postcard::take_from_bytes(body).map_err(|_| Refusal::Malformed)?;
    if *version == VERSION {
        let (private, more): (DirectPayload, _) =
            postcard::take_from_bytes(rest).map_err(|_| Refusal::Malformed)?;
        (message.private, rest) = (Some(private), more);
    }
    let is_valid = |b: &EntryBlock| b.from <= b.to && b.items.iter().all(|i| is_valid_item(b, i));
    let fits =
        message.private.iter().flat_map(|p| &p.words).all(|update| update.value.len() <= MAX_VALUE_BYTES);
    if !rest.is_empty() || !fits || !message.blocks.iter().all(is_valid) {
        return Err(Refusal::Malformed);
    }
    Ok(message)
}

fn is_valid_item(block: &EntryBlock, item: &EntryItem) -> bool {
    let fits = item.value.as_ref().is_none_or(|v| v.len() <= MAX_VALUE_BYTES);
    fits && item.step > 0 && item.step <= block.to - block.from
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn message() -> GossipMessage {
        let item = |step, value| EntryItem { kind: 3, id: 70_000, step, age: 1_200, value };
        let items = vec![item(1, Some(vec![7; MAX_VALUE_BYTES])), item(4, None)];
        GossipMessage {
            from: 299,
            incarnation: 12,
            at: 86_400_000,
            next: 20,
            top: 900,
            tops: vec![MemberDigest { owner: 1, incarnation: 2, top: 3, stamp: 4, age: 5 }],
            asks: vec![EntryRequest { owner: 6, incarnation: 7, have: 8, sweep: (9, 2) }],
            blocks: vec![EntryBlock { owner: 299, incarnation: 12, from: 5, to: 9, swept: 4, items }],
            private: None,
        }
    }

    #[test]
    fn encoded_message_decodes_and_its_length_is_known() {
        let bytes = encode(77, &message()).unwrap();
        assert_eq!(decode(77, &bytes), Ok(message()));
        assert_eq!(bytes.len(), HEADER_BYTES + encoded_len(&message()));
        let long = GossipMessage { blocks: vec![message().blocks[0].clone(); 4], ..message() };
        assert_eq!(encode(77, &long), None);
    }

    #[test]
    fn direct_payload_follows_the_message_in_its_own_version() {
        let update = |bytes| DirectUpdate { kind: 2, id: 9, turn: 300, age: 5, value: vec![3; bytes] };
        let taken = vec![DirectAck { kind: 3, id: 1, turn: 2 }];
        let with = |bytes| GossipMessage {
            blocks: vec![],
            private: Some(DirectPayload { to_life: 8, taken: taken.clone(), words: vec![update(bytes)] }),
            ..message()
        };
        assert_eq!(
            encode(77, &message()).unwrap()[0],
            BASE_VERSION,
            "a reader of version 1 still reads messages without a direct payload"
        );
        let bytes = encode(77, &with(MAX_VALUE_BYTES)).unwrap();
        assert_eq!((bytes[0], decode(77, &bytes)), (VERSION, Ok(with(MAX_VALUE_BYTES))));
        assert_eq!(decode(77, &encode(77, &with(MAX_VALUE_BYTES + 1)).unwrap()), Err(Refusal::Malformed));
        for cut in 0..bytes.len() {
            assert!(decode(77, &bytes[..cut]).is_err());
        }
    }

    #[test]
    fn foreign_newer_and_invalid_messages_are_distinguished() {
        let (a, b) = (cluster(["ab", "c"]), cluster(["a", "bc"]));
        assert_ne!(a, b);
        let bytes = encode(a, &message()).unwrap();
        assert_eq!(decode(b, &bytes), Err(Refusal::Foreign));
        // The same tag, another fleet.
        assert_eq!(decode(a ^ 1 << 40, &bytes), Err(Refusal::Malformed));
        let mut newer = bytes.clone();
        newer[0] = VERSION + 1;
        assert_eq!(decode(a, &newer), Err(Refusal::Malformed), "a damaged version byte");
        let sum = checksum(a, VERSION + 1, &newer[HEADER_BYTES..]);
        newer[3..7].copy_from_slice(&sum.to_le_bytes());
        assert_eq!(decode(a, &newer), Err(Refusal::Newer));
        for (from, to, step) in [(9, 5, 1), (5, 9, 0), (5, 9, 5)] {
            let mut bad = message();
            bad.blocks[0] = EntryBlock { from, to, ..bad.blocks[0].clone() };
            bad.blocks[0].items[0].step = step;
            assert_eq!(decode(a, &encode(a, &bad).unwrap()), Err(Refusal::Malformed));
        }
    }

    quickcheck! {
        fn decode_never_panics(bytes: Vec<u8>, sum: bool) -> bool {
            let mut bytes = bytes;
            if sum && bytes.len() >= HEADER_BYTES {
                bytes[0] = BASE_VERSION + bytes[0] % 2;
                bytes[1..3].copy_from_slice(&77u16.to_le_bytes());
                let crc = checksum(77, bytes[0], &bytes[HEADER_BYTES..]);
                bytes[3..7].copy_from_slice(&crc.to_le_bytes());
            }
            let _ = decode(77, &bytes);
            true
        }

        fn damaged_or_truncated_message_is_refused(at: usize, bit: u8, cut: bool) -> bool {
            let mut bytes = encode(77, &message()).unwrap();
            let at = at % bytes.len();
            if cut {
                bytes.truncate(at);
            } else {
                bytes[at] ^= 1 << (bit % 8);
            }
            decode(77, &bytes).is_err()
        }
    }
}
