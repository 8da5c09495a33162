//! What a note between couriers looks like: mark and version (1 byte), kind (1 byte), the kind's body, a CRC-32 of all that
//! (4 bytes, little-endian). No I/O. Any bytes may come in; what is not understood is refused and says why.

use crate::core::Note;
use serde::{Deserialize, Serialize};

/// Bytes of a datagram at most; a longer one is never sent.
pub const MOST: usize = 256;
/// Bytes of a frame beside its body.
pub const AROUND: usize = 2 + CRC;
const CRC: usize = 4;
/// The upper half marks a note, the lower one is the version of the frame.
const MARK: u8 = 0xd0;
const VERSION: u8 = 1;
const VERSION_BITS: u8 = 0x0f;
/// Kind 0: an endpoint has come back. Kinds 2 to 255 are for what couriers may want to share later.
const BACK: u8 = 0;
/// Kind 1: what [`crate::peers::Peers`] says. Who does not share state knows no such kind.
pub const SHARED: u8 = 1;

/// Why a datagram says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// Longer than [`MOST`].
    Long,
    /// No note, or damaged.
    Malformed,
    /// A version or a kind that this program does not know.
    Unknown,
}

/// The body of kind 0.
#[derive(Serialize, Deserialize)]
struct Back<'a> {
    instance: &'a str,
}

/// A body as it goes over the wire; `None`: it would be too long.
pub fn seal(kind: u8, body: &[u8]) -> Option<Vec<u8>> {
    if body.len() + AROUND > MOST {
        return None;
    }
    let mut out = Vec::with_capacity(body.len() + AROUND);
    out.extend([MARK | VERSION, kind]);
    out.extend(body);
    out.extend(crc32fast::hash(&out).to_le_bytes());
    Some(out)
}

/// The kind and the body of what came in.
pub fn open(bytes: &[u8]) -> Result<(u8, &[u8]), Refused> {
    if bytes.len() > MOST {
        return Err(Refused::Long);
    }
    let (sealed, crc) = bytes.split_last_chunk::<CRC>().ok_or(Refused::Malformed)?;
    let [mark, kind, body @ ..] = sealed else { return Err(Refused::Malformed) };
    if mark & !VERSION_BITS != MARK {
        return Err(Refused::Malformed);
    }
    // Danger: another version may be checked in another way; what it says is not for this one.
    if mark & VERSION_BITS != VERSION {
        return Err(Refused::Unknown);
    }
    if crc32fast::hash(sealed) != u32::from_le_bytes(*crc) {
        return Err(Refused::Malformed);
    }
    Ok((*kind, body))
}

/// A note's bytes; `None`: it does not fit.
pub fn encode(note: &Note) -> Option<Vec<u8>> {
    let Note::EndpointRecovered(name) = note;
    let body = postcard::to_allocvec(&Back { instance: name }).ok()?;
    seal(BACK, &body)
}

/// The note in these bytes.
pub fn decode(bytes: &[u8]) -> Result<Note, Refused> {
    let (kind, body) = open(bytes)?;
    if kind != BACK {
        return Err(Refused::Unknown);
    }
    match postcard::take_from_bytes::<Back>(body) {
        Ok((back, [])) if !back.instance.is_empty() => Ok(Note::EndpointRecovered(back.instance.to_owned())),
        _ => Err(Refused::Malformed),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sealed(mut bytes: Vec<u8>) -> Vec<u8> {
        bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    #[test]
    fn a_note_comes_out_as_it_went_in_and_is_short() {
        let note = Note::EndpointRecovered("s-5be2a07c".into());
        let bytes = encode(&note).unwrap();
        assert_eq!(bytes.len(), 17);
        assert_eq!(decode(&bytes), Ok(note));
        let longest = |n: usize| encode(&Note::EndpointRecovered("x".repeat(n))).map(|bytes| bytes.len());
        assert_eq!((longest(248), longest(249)), (Some(256), None));
    }

    /// Guards against bytes that are no whole note and change something: every cut, every single bit, what follows it.
    #[test]
    fn what_is_damaged_says_nothing() {
        let good = encode(&Note::EndpointRecovered("s-5be2a07c".into())).unwrap();
        for cut in 0..good.len() {
            assert!(decode(&good[..cut]).is_err(), "{cut}");
        }
        for bit in 0..good.len() * 8 {
            let mut bytes = good.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            assert!(decode(&bytes).is_err(), "{bit}");
        }
        assert_eq!(decode(&[good.clone(), vec![0]].concat()), Err(Refused::Malformed));
        assert_eq!(decode(&[0; MOST + 1]), Err(Refused::Long));
    }

    /// Guards against a version or a kind of later being taken for what it is not, and sound frames with unsound bodies.
    #[test]
    fn later_kinds_and_versions_are_passed_over() {
        assert_eq!(decode(&seal(1, b"anything").unwrap()), Err(Refused::Unknown));
        assert_eq!(decode(&sealed(vec![MARK | 2, BACK, 1, b'x'])), Err(Refused::Unknown));
        for body in [&[][..], &[0], &[2, b'x'], &[1, 0xff], &[1, b'x', b'y'], &[0xff, 0xff, 0xff, 0xff, 0x7f]]
        {
            assert_eq!(decode(&seal(BACK, body).unwrap()), Err(Refused::Malformed), "{body:?}");
        }
        assert_eq!(open(&seal(7, b"body").unwrap()), Ok((7, &b"body"[..])));
    }
}
