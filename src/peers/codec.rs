//! What a note between couriers looks like. `version u8, tag u16, crc u32` (little-endian), then a [`GossipMessage`] by postcard; in version 2
//! a [`DirectPayload`] behind it.
//!
//! The checksum is begun with the fleet's whole name, of which the tag is a part: a foreign fleet's note passes neither by
//! its tag nor by chance.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The version that is written where there is nothing for the receiver alone.
pub const BASE_VERSION: u8 = 1;
/// The version that is written where there is; a higher one is not read.
pub const VERSION: u8 = 2;
/// Bytes before the note itself.
pub const HEADER_BYTES: usize = 7;
/// No datagram is longer.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// An entry's value is no longer.
pub const MAX_VALUE_BYTES: usize = 48;

/// Why a datagram was not believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Refusal {
    /// Cut, damaged, or not a note at all.
    Malformed,
    /// Another fleet's.
    Foreign,
    /// A newer version of the format.
    Newer,
    /// From a number that is no member, or not from that member's address, or from this one itself.
    Unknown,
    /// From a life that has been followed by another.
    Old,
    /// An incarnation, counter or time that nobody can have reached yet.
    Future,
}

impl Refusal {
    /// All there are, in the order of their counts.
    pub const ALL: [Refusal; 6] = [
        Refusal::Malformed,
        Refusal::Foreign,
        Refusal::Newer,
        Refusal::Unknown,
        Refusal::Old,
        Refusal::Future,
    ];
}

/// One datagram's content.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's number.
    pub from: u16,
    /// Its life.
    pub incarnation: u64,
    /// How old that life is, on its own clock, in milliseconds.
    pub at: u64,
    /// In how many tenths of a second its next beat comes at the latest; 0: it is leaving.
    pub next: u16,
    /// Its newest counter.
    pub top: u64,
    /// News of others.
    pub tops: Vec<MemberDigest>,
    /// What the sender lacks and asks the receiver for.
    pub asks: Vec<EntryRequest>,
    /// Entries.
    pub blocks: Vec<EntryBlock>,
    /// What is for the receiver alone.
    #[serde(skip)]
    pub private: Option<DirectPayload>,
}

/// What one member says to one other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DirectPayload {
    /// The life of the receiver's that it is for.
    pub to_life: u64,
    /// What was heard from that life.
    pub taken: Vec<DirectAck>,
    /// What is said.
    pub words: Vec<DirectUpdate>,
}

/// A word for one member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectUpdate {
    /// Its kind.
    pub kind: u8,
    /// Which of its kind.
    pub id: u32,
    /// Rising with each word that the sender's life says to anybody.
    pub turn: u64,
    /// So long ago it was first said, in milliseconds.
    pub age: u32,
    /// What it says.
    pub value: Vec<u8>,
}

/// That a word, and all before it with this kind and number, was heard.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DirectAck {
    /// Its kind.
    pub kind: u8,
    /// Which of its kind.
    pub id: u32,
    /// Its turn.
    pub turn: u64,
}

/// News of a member.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct MemberDigest {
    /// Of whom.
    pub owner: u16,
    /// Its life.
    pub incarnation: u64,
    /// The newest counter known of that life.
    pub top: u64,
    /// The newest time of that life, on its own clock, that is known, in tenths of a second, from 1.
    pub stamp: u64,
    /// So long ago it was alive, in tenths of a second.
    pub age: u32,
}

/// A wish for an owner's entries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct EntryRequest {
    /// Whose.
    pub owner: u16,
    /// Of which life.
    pub incarnation: u64,
    /// Up to this counter nothing is lacking.
    pub have: u64,
    /// How far a sweep has come, and the [`EntryBlock::swept`] that it is for; 0 if there is none.
    pub sweep: (u64, u64),
}

/// An owner's entries with counters above `from` and up to `to`: those that still stand, all of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EntryBlock {
    /// Whose.
    pub owner: u16,
    /// Of which life.
    pub incarnation: u64,
    /// Above this.
    pub from: u64,
    /// Up to this.
    pub to: u64,
    /// Up to this counter things went without a word of their own (0: nothing did, as far as the receiver needs to know). Of
    /// this range, what is not named here no longer stands; nothing is lacking once such blocks reach from 0 to the top.
    pub swept: u64,
    /// The entries.
    pub items: Vec<EntryItem>,
}

/// One entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryItem {
    /// Its kind; the lower, the more urgent.
    pub kind: u8,
    /// Which of its kind.
    pub id: u32,
    /// Its counter, from the block's `from`.
    pub step: u64,
    /// So long ago it was set, in milliseconds.
    pub age: u32,
    /// Its value; none once it is dropped.
    pub value: Option<Vec<u8>>,
}

/// The fleet's name as a number, from what tells it apart, such as the names in the settings, in their order.
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

/// How many bytes something takes inside a note. What can't be written takes more than there are.
pub fn encoded_len(of: &impl Serialize) -> usize {
    postcard::serialize_with_flavor(of, postcard::ser_flavors::Size::default()).unwrap_or(usize::MAX)
}

/// A datagram with this note; none if it were longer than [`MAX_DATAGRAM_BYTES`].
pub fn encode(cluster: u64, note: &GossipMessage) -> Option<Vec<u8>> {
    let mut body = postcard::to_allocvec(note).ok()?;
    let version = if note.private.is_some() { VERSION } else { BASE_VERSION };
    if let Some(private) = &note.private {
        body.extend(postcard::to_allocvec(private).ok()?);
    }
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.push(version);
    bytes.extend((cluster as u16).to_le_bytes());
    bytes.extend(checksum(cluster, version, &body).to_le_bytes());
    bytes.extend(body);
    (bytes.len() <= MAX_DATAGRAM_BYTES).then_some(bytes)
}

/// The note in a datagram. Never panics, whatever the bytes; what it allocates is bounded by their number.
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
    // After the checksum: a damaged byte is no newer version.
    if *version > VERSION {
        return Err(Refusal::Newer);
    }
    let (mut note, mut rest): (GossipMessage, _) =
        postcard::take_from_bytes(body).map_err(|_| Refusal::Malformed)?;
    if *version == VERSION {
        let (private, more): (DirectPayload, _) =
            postcard::take_from_bytes(rest).map_err(|_| Refusal::Malformed)?;
        (note.private, rest) = (Some(private), more);
    }
    let sound = |b: &EntryBlock| b.from <= b.to && b.items.iter().all(|i| within(b, i));
    let fits = note.private.iter().flat_map(|p| &p.words).all(|word| word.value.len() <= MAX_VALUE_BYTES);
    if !rest.is_empty() || !fits || !note.blocks.iter().all(sound) {
        return Err(Refusal::Malformed);
    }
    Ok(note)
}

fn within(block: &EntryBlock, item: &EntryItem) -> bool {
    let fits = item.value.as_ref().is_none_or(|v| v.len() <= MAX_VALUE_BYTES);
    fits && item.step > 0 && item.step <= block.to - block.from
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::quickcheck;

    fn note() -> GossipMessage {
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
    fn what_is_sealed_opens_and_its_size_is_known() {
        let bytes = encode(77, &note()).unwrap();
        assert_eq!(decode(77, &bytes), Ok(note()));
        assert_eq!(bytes.len(), HEADER_BYTES + encoded_len(&note()));
        let long = GossipMessage { blocks: vec![note().blocks[0].clone(); 4], ..note() };
        assert_eq!(encode(77, &long), None);
    }

    #[test]
    fn what_is_for_one_alone_stands_behind_the_note_in_a_version_of_its_own() {
        let word = |bytes| DirectUpdate { kind: 2, id: 9, turn: 300, age: 5, value: vec![3; bytes] };
        let taken = vec![DirectAck { kind: 3, id: 1, turn: 2 }];
        let with = |bytes| GossipMessage {
            blocks: vec![],
            private: Some(DirectPayload { to_life: 8, taken: taken.clone(), words: vec![word(bytes)] }),
            ..note()
        };
        assert_eq!(
            encode(77, &note()).unwrap()[0],
            BASE_VERSION,
            "one of the former version reads what is for all"
        );
        let bytes = encode(77, &with(MAX_VALUE_BYTES)).unwrap();
        assert_eq!((bytes[0], decode(77, &bytes)), (VERSION, Ok(with(MAX_VALUE_BYTES))));
        assert_eq!(decode(77, &encode(77, &with(MAX_VALUE_BYTES + 1)).unwrap()), Err(Refusal::Malformed));
        for cut in 0..bytes.len() {
            assert!(decode(77, &bytes[..cut]).is_err());
        }
    }

    #[test]
    fn foreign_newer_and_unsound_notes_are_told_apart() {
        let (a, b) = (cluster(["ab", "c"]), cluster(["a", "bc"]));
        assert_ne!(a, b);
        let bytes = encode(a, &note()).unwrap();
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
            let mut bad = note();
            bad.blocks[0] = EntryBlock { from, to, ..bad.blocks[0].clone() };
            bad.blocks[0].items[0].step = step;
            assert_eq!(decode(a, &encode(a, &bad).unwrap()), Err(Refusal::Malformed));
        }
    }

    quickcheck! {
        fn no_bytes_panic(bytes: Vec<u8>, sum: bool) -> bool {
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

        fn a_damaged_or_cut_note_is_refused(at: usize, bit: u8, cut: bool) -> bool {
            let mut bytes = encode(77, &note()).unwrap();
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
