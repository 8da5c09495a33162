//! Whether this life has heard what was forgotten meanwhile, and what the fleet honours. A courier begins numbered rounds;
//! others echo its life and round with the digest of their book. One counts from when the round began, if it knows nothing
//! that this one lacks: a note that was late, doubled or for a former life proves nothing.

use crate::api::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Rounds that may still be answered.
const ROUNDS: usize = 16;

/// What is asked of whom, from the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Quorum {
    /// Couriers of the fleet, this one included.
    pub members: usize,
    /// Others that must have been heard.
    pub others: usize,
}

impl Quorum {
    /// A share of the others, one at least where there are any.
    pub fn share(members: usize, share: f64) -> Quorum {
        let rest = members.saturating_sub(1);
        let others = ((rest as f64 * share.clamp(0.0, 1.0)).ceil() as usize).clamp(rest.min(1), rest);
        Quorum { members, others }
    }

    /// Couriers that must honour an order until every one that has heard `others` surely knows it, even if one that knew has
    /// lost it since.
    pub fn in_force(&self) -> usize {
        (self.members - self.others.min(self.members) + 1).min(self.members.max(1))
    }
}

/// One round of asking, as it goes over the wire and comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Round {
    /// Of the asker.
    pub life: u64,
    /// Number within the life.
    pub number: u32,
}

/// Who was heard, in this life.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Hearing {
    life: u64,
    quorum: Quorum,
    fresh: Micros,
    begun: VecDeque<(u32, Micros)>,
    next: u32,
    /// By name's number: when the latest round began that it has answered with an equal digest.
    heard: BTreeMap<u64, Micros>,
}

impl Hearing {
    /// A life that has heard nobody. What it knows is good for sending for `fresh` after a round began.
    pub fn new(life: u64, quorum: Quorum, fresh: Micros) -> Hearing {
        Hearing { life, quorum, fresh, begun: VecDeque::new(), next: 0, heard: BTreeMap::new() }
    }

    /// Another size of the fleet. Danger: a fleet that grew needs more others to be heard, at once.
    pub fn resize(&mut self, quorum: Quorum) {
        self.quorum = quorum;
    }

    /// Begins a round; to be asked of everybody.
    pub fn begin(&mut self, now: Micros) -> Round {
        let number = self.next;
        self.next = self.next.wrapping_add(1);
        if self.begun.len() >= ROUNDS {
            self.begun.pop_front();
        }
        self.begun.push_back((number, now));
        Round { life: self.life, number }
    }

    /// `node` (not this one) echoed a round; `same`: its book then had the digest that this one's has now. Whether it counts.
    pub fn echoed(&mut self, node: u64, round: Round, same: bool) -> bool {
        let began = self.begun.iter().find(|(n, _)| *n == round.number).map(|(_, at)| *at);
        let Some(began) = began.filter(|_| round.life == self.life && same) else { return false };
        self.heard(node, began);
        true
    }

    /// The life that hears.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// `node` (not this one) had heard this life's word of that moment when it honoured a book with the digest that this one's
    /// has now: as a round that began then.
    pub fn heard(&mut self, node: u64, began: Micros) {
        // More names than members would be made up, or of those that left.
        if !self.heard.contains_key(&node) && self.heard.len() + 1 >= self.quorum.members {
            let oldest = self.heard.iter().min_by_key(|(_, at)| **at).map(|(n, _)| *n);
            if let Some(oldest) = oldest {
                self.heard.remove(&oldest);
            }
        }
        let at = self.heard.entry(node).or_insert(began);
        *at = began.max(*at);
    }

    /// `node` is known to be gone for good: what it said counts no more.
    pub fn left(&mut self, node: u64) {
        self.heard.remove(&node);
    }

    /// Whether this life has heard enough others to show what it holds.
    pub fn informed(&self) -> bool {
        self.heard.len() >= self.quorum.others
    }

    /// Whether what it knows is young enough to send anything again.
    /// Danger: a clock that was put back makes what was heard "later" than now; that is not fresh.
    pub fn fresh(&self, now: Micros) -> bool {
        let young = |at: &&Micros| **at <= now && now.0 - at.0 <= self.fresh.0;
        self.heard.values().filter(young).count() >= self.quorum.others
    }

    /// Since when enough others have been unheard, if they are: the moment from which it is no longer fresh counts `fresh` on.
    pub fn since(&self) -> Option<Micros> {
        let mut at: Vec<Micros> = self.heard.values().copied().collect();
        at.sort_unstable_by(|a, b| b.cmp(a));
        match self.quorum.others {
            0 => None,
            n => at.get(n - 1).copied(),
        }
    }
}

/// What one courier last said of a tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// Who.
    pub node: u64,
    /// Which tenant, by position in the settings.
    pub tenant: u16,
    /// The version that it honours: written down, and all that it forbids deleted.
    pub version: u64,
    /// Up to which second it has forgotten, over all of the tenant's scopes.
    pub forgot: u32,
    /// When the oldest message that it holds of the tenant ended.
    pub oldest: Option<Micros>,
    /// When it was heard.
    pub at: Micros,
}

/// How far a tenant's policy is honoured.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Honoured {
    /// Which tenant.
    pub tenant: u16,
    /// The newest version anybody told.
    pub version: u64,
    /// The latest forget order anybody told, in seconds.
    pub forgot: u32,
    /// Those that honour both and were heard lately.
    pub by: BTreeSet<u64>,
    /// Those that were heard lately and do not, and what they honour.
    pub not_by: BTreeMap<u64, u64>,
    /// Those that were not heard lately, and since when; `None`: never.
    pub unheard: BTreeMap<u64, Option<Micros>>,
    /// When the oldest message that anybody is known to hold ended.
    pub oldest: Option<Micros>,
    /// Enough honour it that whoever has heard the quorum knows it.
    pub in_force: bool,
}

impl Honoured {
    /// Every member does.
    pub fn by_all(&self) -> bool {
        self.not_by.is_empty() && self.unheard.is_empty()
    }
}

/// For each tenant that anybody told of: who honours what. `members` are all that there should be, this one included; who was
/// heard longer ago than `lately` is unheard, whatever it said.
pub fn overview(
    now: Micros, lately: Micros, quorum: Quorum, members: &BTreeSet<u64>, told: &[Told],
) -> Vec<Honoured> {
    let tenants: BTreeSet<u16> = told.iter().map(|t| t.tenant).collect();
    let of = |tenant: u16| {
        let last = |node: &u64| {
            let its = told.iter().filter(|t| t.node == *node && t.tenant == tenant);
            its.max_by_key(|t| (t.at, t.version, t.forgot))
        };
        let all = told.iter().filter(|t| t.tenant == tenant);
        let version = all.clone().map(|t| t.version).max().unwrap_or(0);
        let forgot = all.map(|t| t.forgot).max().unwrap_or(0);
        let (by, not_by, unheard) = Default::default();
        let mut out =
            Honoured { tenant, version, forgot, by, not_by, unheard, oldest: None, in_force: false };
        for node in members {
            let Some(t) = last(node) else {
                out.unheard.insert(*node, None);
                continue;
            };
            out.oldest = out.oldest.into_iter().chain(t.oldest).min();
            if now.0.saturating_sub(t.at.0) > lately.0 {
                out.unheard.insert(*node, Some(t.at));
            } else if t.version >= version && t.forgot >= forgot {
                out.by.insert(*node);
            } else {
                out.not_by.insert(*node, t.version);
            }
        }
        out.in_force = out.by.len() >= quorum.in_force();
        out
    };
    tenants.into_iter().map(of).collect()
}
