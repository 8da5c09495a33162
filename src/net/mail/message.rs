//! Addresses, header fields and identity of messages that clients hand in.

use super::client::Envelope;
use sha2::{Digest, Sha256};

/// A dot-atom at a domain, which goes out again as it came in. Quoted local parts and other scripts are refused
/// in clear words.
pub fn is_plain_address(address: &str) -> bool {
    let Some((local, domain)) = address.rsplit_once('@') else { return false };
    let atom = |s: &str| {
        !s.is_empty() && s.bytes().all(|b| b.is_ascii_alphanumeric() || b"!#$%&'*+-/=?^_`{|}~".contains(&b))
    };
    address.len() <= 254 && local.split('.').all(atom) && domain.split('.').all(atom)
}

/// The domain of an address, in lower case.
pub fn domain_of(address: &str) -> Option<String> {
    address.rsplit_once('@').map(|(_, domain)| domain.to_ascii_lowercase())
}

/// The lines of a message's header, continued ones joined.
fn fields(text: &[u8]) -> impl Iterator<Item = (String, String)> {
    let end = text.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(text.len());
    let header = String::from_utf8_lossy(&text[..end]).replace("\r\n ", " ").replace("\r\n\t", " ");
    let split =
        |line: &str| line.split_once(':').map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()));
    header.split("\r\n").filter_map(split).collect::<Vec<_>>().into_iter()
}

/// A field of a message's header, by its name in lower case.
pub fn header_field(text: &[u8], name: &str) -> Option<String> {
    fields(text).find(|(k, _)| k == name).map(|(_, v)| v)
}

/// The number of servers that have passed a message on.
pub fn hop_count(text: &[u8]) -> usize {
    fields(text).filter(|(k, _)| k == "received").count()
}

/// What makes a message the same when it is handed in again: sender, recipient and its Message-ID; a message
/// without one is known by its whole text.
pub fn message_id(envelope: &Envelope, text: &[u8]) -> String {
    let mut hash = Sha256::new();
    hash.update(envelope.head().to_ascii_lowercase());
    match header_field(text, "message-id").filter(|id| !id.is_empty()) {
        Some(id) => hash.update([b"\0id\0", id.as_bytes()].concat()),
        None => hash.update([b"\0text\0", text].concat()),
    }
    hash.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect()
}
