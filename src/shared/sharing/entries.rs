//! The encoding of entries, which must fit into 48 bytes, and the checks on received ones.

use crate::shared::counts::{CounterKey, Tally};
use crate::shared::health::Evidence;
use crate::shared::lease::{Demand, Loan, LoanAck, LIMIT_UNITS};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Version of this encoding; entries with another one come from a newer release.
const FORMAT: u8 = 1;

/// An endpoint's evidence with its full name, since the entry's number holds only half of it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct NamedEvidence {
    /// The endpoint's numeric name.
    pub name: u64,
    /// The evidence.
    pub evidence: Evidence,
}

/// Entries that were not accepted, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Of a newer format, truncated or damaged.
    pub malformed: u64,
    /// With impossible values, or for a tenant or destination that is not configured here.
    pub foreign: u64,
    /// Of previous runs, or not newer than what is known.
    pub old: u64,
    /// Own messages for which there was no capacity among the entries.
    pub no_room: u64,
}

/// Encodes an entry's value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(&(FORMAT, value)).unwrap_or_default()
}

/// Decodes an entry's value; `None` for another format, a truncated value, and a value with trailing bytes.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (format, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
    let (value, rest) = postcard::take_from_bytes::<T>(rest).ok()?;
    (format == FORMAT && rest.is_empty()).then_some(value)
}

/// Whether the values of a demand are possible.
pub fn is_valid_demand(demand: &Demand) -> bool {
    [demand.units, demand.owned, demand.in_force, demand.lent].iter().all(|units| *units <= LIMIT_UNITS)
}

/// The number of the entry for a loan or its acknowledgement.
pub fn loan_entry_id(dest: u16, to: u32) -> u32 {
    u32::from(dest) << 16 | (to & 0xffff)
}

/// The destination in that number; `None` if the number does not match the recipient named in the entry.
pub fn loan_destination(id: u32, to: u32) -> Option<u16> {
    (id & 0xffff == to).then_some((id >> 16) as u16)
}

/// The number of a counter's entry.
pub fn counter_id(key: CounterKey) -> u32 {
    match key {
        CounterKey::Tenant(tenant) => u32::from(tenant),
        CounterKey::Destination(dest) => 0x1_0000 | u32::from(dest),
    }
}

/// The counter whose entry has that number.
pub fn counter_key(id: u32) -> Option<CounterKey> {
    match id >> 16 {
        0 => Some(CounterKey::Tenant(id as u16)),
        1 => Some(CounterKey::Destination(id as u16)),
        _ => None,
    }
}

/// Whether the values of a counter are possible.
pub fn is_valid_tally(tally: &Tally) -> bool {
    tally.refused <= tally.requested && tally.requested < 1 << 48
}

/// A message for a single courier.
pub trait Addressed {
    /// The recipient.
    fn to(&self) -> u32;
}

impl Addressed for Loan {
    fn to(&self) -> u32 {
        self.to.0
    }
}

impl Addressed for LoanAck {
    fn to(&self) -> u32 {
        self.to.0
    }
}
