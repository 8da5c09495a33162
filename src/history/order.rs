//! An order to send ended messages again, and its number.

use super::retention::About;
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Times go between couriers in whole milliseconds, of so many bits.
const MS_MOST: u64 = (1 << 49) - 1;

/// What an operator asks for.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Position in the settings.
    pub tenant: u16,
    /// Number.
    pub dest: u16,
    /// Messages that ended from then on ...
    pub since: Micros,
    /// ... and before then.
    pub until: Micros,
    /// The partner says that it has lost them, and will take what it may have seen: its word counts where its memory of keys
    /// is over.
    pub lost: bool,
    /// Digest of the reason: the same wish with another reason is another order.
    pub words: u64,
    /// The reason as far as it is known here: for people, and of no weight.
    pub reason: String,
}

/// The first eight bytes of a digest as a number.
pub(super) fn first_bytes(sum: &[u8]) -> u64 {
    sum.iter().take(8).fold(0, |h, b| h << 8 | u64::from(*b))
}

impl Order {
    /// With its reason in the operator's words, a ticket's number. Times in whole milliseconds: part of one is rounded outwards.
    pub fn new(tenant: u16, dest: u16, (since, until): (Micros, Micros), lost: bool, reason: &str) -> Order {
        let since = Micros((since.0 / 1_000).min(MS_MOST) * 1_000);
        let until = Micros(until.0.div_ceil(1_000).min(MS_MOST) * 1_000);
        Order { tenant, dest, since, until, lost, words: digest(reason), reason: reason.to_owned() }
    }

    /// Its number: the same wish has the same one wherever it is made, so two operators in two parts of a split make one order.
    pub fn id(&self) -> u64 {
        let Order { tenant, dest, since, until, lost, words, .. } = self;
        let said = postcard::to_allocvec(&(tenant, dest, since, until, lost, words));
        first_bytes(&Sha256::digest(said.unwrap_or_default()))
    }

    /// All of its reason is known here.
    pub fn worded(&self) -> bool {
        digest(&self.reason) == self.words
    }

    /// Whether a message is one that it asks for.
    pub fn covers(&self, m: &About) -> bool {
        (m.tenant, m.dest) == (self.tenant, self.dest) && (self.since..self.until).contains(&m.ended)
    }
}

fn digest(reason: &str) -> u64 {
    first_bytes(&Sha256::digest(reason))
}
