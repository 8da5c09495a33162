//! The messages of the history without their texts, in memory: by number, by age, and what of them is too much.

use super::config::{HistoryConfig, Policy};
use super::kept::Kept;
use super::replay::Claim;
use super::retention::{About, Book};
use super::store::EndKind;
use crate::api::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Bytes that each message takes beside what it is.
pub const BESIDE: u64 = 64;

/// One message, without its text.
#[derive(Clone)]
pub struct Meta {
    pub about: About,
    pub bytes: u64,
    pub delivered: bool,
    pub first: Micros,
    pub at: String,
    pub claims: BTreeMap<u64, Claim>,
}

impl Meta {
    /// Of one that takes so many bytes.
    pub fn of(kept: &Kept, bytes: u64) -> Meta {
        let Kept { tenant, class, dest, ended, .. } = *kept;
        let about = About { tenant, class, dest, ended };
        let (first, at) = kept.first.clone();
        Meta { about, bytes, delivered: kept.how == EndKind::Delivered, first, at, claims: BTreeMap::new() }
    }
}

/// All messages.
pub struct Index {
    /// Bytes at most.
    pub room: u64,
    messages: usize,
    policies: Vec<Policy>,
    /// Bytes and messages by policy.
    used: Vec<(u64, u64)>,
    /// By number.
    pub metas: BTreeMap<u64, Meta>,
    /// By when they ended.
    pub order: BTreeSet<(Micros, u64)>,
    bytes: u64,
    /// The same by tenant.
    pub tenants: BTreeMap<u16, BTreeSet<(Micros, u64)>>,
}

impl Index {
    /// None yet; `room` bytes at most.
    pub fn new(room: u64, config: &HistoryConfig) -> Index {
        let (messages, policies) = (config.messages, config.policies.clone());
        let used = vec![(0, 0); policies.len()];
        let (metas, order, tenants) = Default::default();
        Index { room, messages, policies, used, metas, order, bytes: 0, tenants }
    }

    /// Takes all out.
    pub fn clear(&mut self) {
        self.metas.clear();
        self.order.clear();
        self.tenants.clear();
        self.bytes = 0;
        self.used.fill((0, 0));
    }

    /// Notes a claim.
    pub fn claim(&mut self, number: u64, order: u64, claim: Claim) {
        if let Some(meta) = self.metas.get_mut(&number) {
            meta.claims.insert(order, claim);
        }
    }

    /// Puts one in, in the place of one of the same number.
    pub fn enter(&mut self, number: u64, meta: Meta) {
        self.leave(number);
        self.bytes += meta.bytes + BESIDE;
        for (policy, used) in self.policies.iter().zip(&mut self.used) {
            if policy.scope.covers(&meta.about) {
                *used = (used.0 + meta.bytes, used.1 + 1);
            }
        }
        self.order.insert((meta.about.ended, number));
        self.tenants.entry(meta.about.tenant).or_default().insert((meta.about.ended, number));
        self.metas.insert(number, meta);
    }

    /// Takes one out.
    pub fn leave(&mut self, number: u64) -> Option<Meta> {
        let meta = self.metas.remove(&number)?;
        self.order.remove(&(meta.about.ended, number));
        if let Some(of) = self.tenants.get_mut(&meta.about.tenant) {
            of.remove(&(meta.about.ended, number));
            if of.is_empty() {
                self.tenants.remove(&meta.about.tenant);
            }
        }
        self.bytes -= meta.bytes + BESIDE;
        for (policy, used) in self.policies.iter().zip(&mut self.used) {
            if policy.scope.covers(&meta.about) {
                *used = (used.0 - meta.bytes, used.1 - 1);
            }
        }
        Some(meta)
    }

    /// What is too much: the oldest of each policy that has more than it may, then the oldest of all; what is held last. It
    /// goes to a sixteenth below the bound, so that not every message that comes looks for one that goes.
    pub fn over(&self, book: &Book) -> Vec<u64> {
        let mut over = BTreeSet::new();
        let mut room = (self.bytes, self.metas.len() as u64);
        let below = |most: u64| most - most / 16;
        for (policy, used) in self.policies.iter().zip(&self.used) {
            let mut used = *used;
            if used.0 <= policy.most_bytes && used.1 <= policy.most_messages {
                continue;
            }
            for (_, number) in &self.order {
                if used.0 <= below(policy.most_bytes) && used.1 <= below(policy.most_messages) {
                    break;
                }
                let Some(meta) = self.metas.get(number).filter(|m| policy.scope.covers(&m.about)) else {
                    continue;
                };
                if over.contains(number) {
                    used = (used.0 - meta.bytes, used.1 - 1);
                } else if !book.held(&meta.about) {
                    over.insert(*number);
                    used = (used.0 - meta.bytes, used.1 - 1);
                    room = (room.0 - meta.bytes - BESIDE, room.1 - 1);
                }
            }
        }
        let (bytes, messages) = (self.room, self.messages as u64);
        if room.0 <= bytes && room.1 <= messages {
            return over.into_iter().collect();
        }
        for held in [false, true] {
            for (_, number) in &self.order {
                if room.0 <= below(bytes) && room.1 <= below(messages) {
                    break;
                }
                let Some(meta) = self.metas.get(number).filter(|m| book.held(&m.about) == held) else {
                    continue;
                };
                if over.insert(*number) {
                    room = (room.0 - meta.bytes - BESIDE, room.1 - 1);
                }
            }
        }
        over.into_iter().collect()
    }

    /// The claims of these, by number and order.
    pub fn claims_of(&self, numbers: &[u64]) -> Vec<(u64, u64)> {
        let metas = numbers.iter().filter_map(|n| self.metas.get(n).map(|m| (*n, m)));
        metas.flat_map(|(n, m)| m.claims.keys().map(move |order| (n, *order))).collect()
    }

    /// What must not be there any more.
    pub fn gone(&self, now: Micros, book: &Book) -> Vec<u64> {
        self.metas.iter().filter(|(_, m)| book.gone(now, &m.about).is_some()).map(|(n, _)| *n).collect()
    }

    /// The same for so many numbers from this one on; where to go on, and what must not be there.
    pub fn gone_from(&self, now: Micros, book: &Book, from: u64, most: usize) -> (u64, Vec<u64>) {
        let part = || self.metas.range(from..).take(most);
        let gone = part().filter(|(_, m)| book.gone(now, &m.about).is_some()).map(|(n, _)| *n).collect();
        let next = if part().count() < most { 0 } else { part().last().map_or(0, |(n, _)| n + 1) };
        (next, gone)
    }
}
