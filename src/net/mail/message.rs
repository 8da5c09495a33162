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

/// What the front needs of a message's header. The header is read once for each message, however many recipients it has.
#[derive(Debug, Default, PartialEq)]
pub struct Header {
    /// The first `Req-Kind`: the name of the message's class.
    pub class_name: Option<String>,
    /// The number of servers that have passed the message on.
    pub hop_count: usize,
    /// The first `Message-ID`; empty if the field has no value.
    id: Option<String>,
}

impl Header {
    /// Reads the header of a message text.
    pub fn read(text: &[u8]) -> Header {
        let end = text.windows(4).position(|w| w == b"\r\n\r\n").unwrap_or(text.len());
        let joined = String::from_utf8_lossy(&text[..end]).replace("\r\n ", " ").replace("\r\n\t", " ");
        let mut header = Header::default();
        for (name, value) in joined.split("\r\n").filter_map(|line| line.split_once(':')) {
            let (name, value) = (name.trim(), value.trim());
            if name.eq_ignore_ascii_case("received") {
                header.hop_count += 1;
            } else if name.eq_ignore_ascii_case("req-kind") {
                header.class_name.get_or_insert_with(|| value.to_owned());
            } else if name.eq_ignore_ascii_case("message-id") {
                header.id.get_or_insert_with(|| value.to_owned());
            }
        }
        header
    }

    /// What makes a message the same when it is handed in again: sender, recipient and its Message-ID; a message
    /// without one is known by its whole text.
    pub fn message_id(&self, envelope: &Envelope, text: &[u8]) -> String {
        let mut hash = Sha256::new();
        hash.update(envelope.head().to_ascii_lowercase());
        match self.id.as_ref().filter(|id| !id.is_empty()) {
            Some(id) => {
                hash.update(b"\0id\0");
                hash.update(id.as_bytes());
            }
            None => {
                hash.update(b"\0text\0");
                hash.update(text);
            }
        }
        hash.finalize().iter().take(16).map(|b| format!("{b:02x}")).collect()
    }
}
