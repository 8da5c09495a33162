//! Entries' forms: what fits into 48 bytes, and what is believed of what comes in.

use crate::shared::counts::{CounterKey, Tally};
use crate::shared::judgement::Evidence;
use crate::shared::lease::{Demand, Loan, LoanAck, LIMIT_UNITS};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Of this form; another is of a newer version.
const FORM: u8 = 1;

/// An endpoint's evidence with the whole of its name.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Named {
    /// The endpoint.
    pub name: u64,
    /// What was seen of it.
    pub evidence: Evidence,
}

/// What was not taken in, by cause.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Dropped {
    /// Of a newer form, cut or damaged.
    pub malformed: u64,
    /// Of values that nobody can have, or for a tenant or destination that there is not.
    pub foreign: u64,
    /// Of former lives, or no newer than what is known.
    pub old: u64,
    /// Own words that found no room among the entries.
    pub no_room: u64,
}

/// An entry's value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(&(FORM, value)).unwrap_or_default()
}

/// Reads it back; `None` for another form, for what is cut, and for what has more behind it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (form, rest) = postcard::take_from_bytes::<u8>(bytes).ok()?;
    let (value, rest) = postcard::take_from_bytes::<T>(rest).ok()?;
    (form == FORM && rest.is_empty()).then_some(value)
}

/// Whether somebody can have said this of a limit.
pub fn is_valid_demand(demand: &Demand) -> bool {
    [demand.units, demand.owned, demand.in_force, demand.lent].iter().all(|units| *units <= LIMIT_UNITS)
}

/// The number of a loan's or return's entry.
pub fn pair(dest: u16, to: u32) -> u32 {
    u32::from(dest) << 16 | (to & 0xffff)
}

/// The destination of that number, and whether it fits what the entry says of its receiver.
pub fn unpair(id: u32, to: u32) -> Option<u16> {
    (id & 0xffff == to).then_some((id >> 16) as u16)
}

/// The number of a counter's entry.
pub fn counter(what: CounterKey) -> u32 {
    match what {
        CounterKey::Tenant(tenant) => u32::from(tenant),
        CounterKey::Destination(dest) => 0x1_0000 | u32::from(dest),
    }
}

/// What is counted under that number.
pub fn counted(id: u32) -> Option<CounterKey> {
    match id >> 16 {
        0 => Some(CounterKey::Tenant(id as u16)),
        1 => Some(CounterKey::Destination(id as u16)),
        _ => None,
    }
}

/// Whether a counter can be true.
pub fn sound_tally(tally: &Tally) -> bool {
    tally.refused <= tally.requested && tally.requested < 1 << 48
}

/// Whether a loan or a return is for this courier.
pub trait For {
    /// To whom it speaks.
    fn to(&self) -> u32;
}

impl For for Loan {
    fn to(&self) -> u32 {
        self.to.0
    }
}

impl For for LoanAck {
    fn to(&self) -> u32 {
        self.to.0
    }
}
