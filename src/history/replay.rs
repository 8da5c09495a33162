//! Sending ended messages again: which may, which may not and why, in which order and how fast. No I/O: whoever runs an
//! order writes the claim down before the send, and its end after it, and tells both here.

use super::hearing::Hearing;
pub use super::order::Order;
use super::retention::{About, Book, Gone};
use crate::api::{Effect, Micros};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// What became of a message under one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Claim {
    /// About to be sent, by this life.
    Sending {
        /// When.
        at: Micros,
        /// The life that sends it.
        life: u64,
    },
    /// The call's outcome is known.
    Ended {
        /// When it was sent.
        at: Micros,
        /// It was taken.
        taken: bool,
    },
}

impl Claim {
    /// When it was sent.
    pub fn at(&self) -> Micros {
        match self {
            Claim::Sending { at, .. } | Claim::Ended { at, .. } => *at,
        }
    }
}

/// One message of the history, as far as a plan needs it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Its number.
    pub number: u64,
    /// Whose it is, and when it ended.
    pub about: About,
    /// It was delivered; else its client was told that it was not, and has it still.
    pub delivered: bool,
    /// What a repeat can do.
    pub effect: Effect,
    /// Its key's window began.
    pub first: Micros,
    /// Endpoints of the key's group are there now.
    pub group: bool,
    /// By order.
    pub claims: BTreeMap<u64, Claim>,
}

/// Why a message is not sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Not {
    /// A forget order covers it.
    Forgotten,
    /// It was kept for long enough, or nothing keeps it.
    Retention,
    /// Its policy does not allow it.
    NotAllowed,
    /// As often as allowed.
    UsedUp,
    /// This courier has not heard from enough others what was forgotten.
    NotFresh,
    /// Its client has it still.
    NotDelivered,
    /// The partner does not remember its key any more, and has not said that it lost it.
    OutOfWindow,
    /// None of the endpoints that remember its key is there.
    OutOfGroup,
    /// It takes effect again, and the partner has not said that it lost it.
    TakesEffect,
    /// This order has sent it.
    Done,
    /// A former life began to send it, and nobody knows whether it did; a repeat could take effect.
    MayHaveRun,
    /// Another order sent it a short time ago.
    JustSent,
}

impl Not {
    /// All there are. Danger: couriers tell each other their places; a new one goes to the end.
    pub const ALL: [Not; 12] = [
        Not::Forgotten,
        Not::Retention,
        Not::NotAllowed,
        Not::UsedUp,
        Not::NotFresh,
        Not::NotDelivered,
        Not::OutOfWindow,
        Not::OutOfGroup,
        Not::TakesEffect,
        Not::Done,
        Not::MayHaveRun,
        Not::JustSent,
    ];
}

/// What a life brings to the question whether a message may be sent.
#[derive(Debug, Clone, Copy)]
pub struct Life<'a> {
    /// Who was heard.
    pub hearing: &'a Hearing,
    /// Its number; another for each start.
    pub number: u64,
    /// Another order leaves a message alone for so long after it was sent.
    pub again_after: Micros,
}

/// Whether a message may be sent under an order now.
pub struct Gate<'a> {
    /// What is known of retention.
    pub book: &'a Book,
    /// By whom.
    pub life: Life<'a>,
}

impl Gate<'_> {
    /// Asked for the plan, and once more just before each send: what was forgotten meanwhile is not sent.
    pub fn may(&self, now: Micros, order: &Order, item: &Item) -> Result<(), Not> {
        let gone = |why| match why {
            Gone::Forgotten => Not::Forgotten,
            Gone::Aged | Gone::NoPolicy => Not::Retention,
        };
        self.book.gone(now, &item.about).map_or(Ok(()), |why| Err(gone(why)))?;
        if !(self.book.whole() && self.life.hearing.fresh(now)) {
            return Err(Not::NotFresh);
        }
        let most = usize::from(self.book.replays(now, &item.about));
        let id = order.id();
        let mine = item.claims.get(&id);
        let others = item.claims.iter().filter(|(order, _)| **order != id);
        match mine {
            Some(Claim::Ended { .. }) => return Err(Not::Done),
            // Under way, in this very life.
            Some(Claim::Sending { life, .. }) if *life == self.life.number => return Err(Not::Done),
            _ => {}
        }
        match others.clone().count() {
            _ if most == 0 => return Err(Not::NotAllowed),
            n if n >= most => return Err(Not::UsedUp),
            _ => {}
        }
        if others.into_iter().any(|(_, c)| now.0.saturating_sub(c.at().0) < self.life.again_after.0) {
            return Err(Not::JustSent);
        }
        if !item.delivered {
            return Err(Not::NotDelivered);
        }
        // Danger: a claim without an end may have run; its window began with it, and the partner's word is from before it.
        let doubt = mine.is_some();
        let first = mine.map_or(item.first, Claim::at);
        match item.effect {
            Effect::Safe => Ok(()),
            Effect::Unsafe if doubt => Err(Not::MayHaveRun),
            Effect::Unsafe => order.lost.then_some(()).ok_or(Not::TakesEffect),
            Effect::Keyed { window, .. } => {
                let open = now.0.saturating_sub(first.0) < window.0;
                match (open, doubt) {
                    (true, _) if item.group => Ok(()),
                    (_, true) => Err(Not::MayHaveRun),
                    _ if order.lost => Ok(()),
                    (true, _) => Err(Not::OutOfGroup),
                    (false, _) => Err(Not::OutOfWindow),
                }
            }
        }
    }
}

/// What an order would do, before it is run.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Plan {
    /// Numbers of those that may be sent, the oldest first.
    pub may: Vec<u64>,
    /// How many may not, by reason.
    pub not: BTreeMap<Not, u64>,
    /// Couriers that are away, and how many messages of the channel they were last known to hold: missing, not forgotten.
    pub missing: BTreeMap<u64, u64>,
    /// There are more than so many; the rest is of the next order.
    pub cut: bool,
}

/// Plans an order over what this courier holds; `most` numbers at most.
pub fn plan<'a>(
    now: Micros, order: &Order, gate: &Gate, items: impl IntoIterator<Item = &'a Item>,
    missing: BTreeMap<u64, u64>, most: usize,
) -> Plan {
    let mut out = Plan { missing, ..Plan::default() };
    let mut may = Vec::new();
    for item in items.into_iter().filter(|i| order.covers(&i.about)) {
        match gate.may(now, order, item) {
            Ok(()) if may.len() < most => may.push((item.about.ended, item.number)),
            Ok(()) => out.cut = true,
            Err(why) => *out.not.entry(why).or_insert(0) += 1,
        }
    }
    may.sort_unstable();
    out.may = may.into_iter().map(|(_, number)| number).collect();
    out
}

/// What live traffic leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Live {
    /// Live messages that could be sent now and wait.
    pub waiting: usize,
    /// Slots that nobody uses.
    pub free: usize,
    /// Of these, how many stay free for what may come.
    pub spare: usize,
}

/// How far an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Progress {
    /// Not begun yet.
    pub left: usize,
    /// Under way.
    pub out: usize,
    /// Taken by the partner.
    pub taken: usize,
    /// Not taken; not sent again by this order.
    pub refused: usize,
    /// Passed by since they were planned: forgotten, aged, no longer known fresh.
    pub passed: usize,
}

/// One order while it runs.
#[derive(Debug, Clone)]
pub struct Run {
    /// What it is.
    pub order: Order,
    left: VecDeque<u64>,
    out: BTreeSet<u64>,
    gap: Micros,
    next: Micros,
    most_out: usize,
    progress: Progress,
    stopped: bool,
}

impl Run {
    /// Runs what was planned: `per_s` messages a second and `most_out` at once, at most.
    pub fn new(order: Order, plan: &Plan, per_s: f64, most_out: usize) -> Run {
        let gap = Micros::from_secs(1.0 / per_s.max(1e-6));
        let left = plan.may.iter().copied().collect();
        let (out, progress) = Default::default();
        Run { order, left, out, gap, next: Micros(0), most_out, progress, stopped: false }
    }

    /// What it has done in former lives.
    pub fn carried(mut self, taken: usize, refused: usize) -> Run {
        (self.progress.taken, self.progress.refused) = (taken, refused);
        self
    }

    /// Numbers that are left, in their order.
    pub fn left(&self) -> impl Iterator<Item = u64> + '_ {
        self.left.iter().copied()
    }

    /// The next message to send, if there is one and now is its time: its claim must be written down before its first byte.
    /// `may` is asked once more; a message that may no longer is passed by. It stands behind all live traffic.
    pub fn next(&mut self, now: Micros, live: Live, may: impl Fn(u64) -> Result<(), Not>) -> Option<u64> {
        // Danger: a clock that was put back would hold the order up until it has caught up.
        if !self.due(now) || live.waiting > 0 || live.free <= live.spare {
            return None;
        }
        while let Some(number) = self.left.front().copied() {
            match may(number) {
                Ok(()) => {
                    self.left.pop_front();
                    self.out.insert(number);
                    self.next = now + self.gap;
                    return Some(number);
                }
                // It will be again, or the operator stops it.
                Err(Not::NotFresh) => return None,
                Err(_) => {
                    self.left.pop_front();
                    self.progress.passed += 1;
                }
            }
        }
        None
    }

    /// A send's outcome, once its claim's end is written down.
    pub fn ended(&mut self, number: u64, taken: bool) {
        if self.out.remove(&number) {
            *(if taken { &mut self.progress.taken } else { &mut self.progress.refused }) += 1;
        }
    }

    /// It was not begun, or proved never to have run: it goes to the end of the line, whose turn comes no sooner for it.
    pub fn put_back(&mut self, number: u64) {
        if self.out.remove(&number) {
            self.left.push_back(number);
        }
    }

    /// It may no longer go, as was seen just before its first byte.
    pub fn passed_by(&mut self, number: u64) {
        if self.out.remove(&number) {
            self.progress.passed += 1;
        }
    }

    /// Whether [`Run::next`] is worth asking.
    pub fn due(&self, now: Micros) -> bool {
        let early = now < self.next && self.next.0 - now.0 <= self.gap.0;
        !self.stopped && !self.left.is_empty() && !early && self.out.len() < self.most_out
    }

    /// It was told to stop.
    pub fn stopped(&self) -> bool {
        self.stopped
    }

    /// Nothing more is begun; what is under way ends.
    pub fn stop(&mut self) {
        self.stopped = true;
    }

    /// How far it is.
    pub fn progress(&self) -> Progress {
        Progress { left: self.left.len(), out: self.out.len(), ..self.progress }
    }

    /// Nothing is left to do.
    pub fn over(&self) -> bool {
        self.out.is_empty() && (self.stopped || self.left.is_empty())
    }
}
