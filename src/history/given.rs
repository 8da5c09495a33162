//! An order to send again as couriers tell it to each other, and how far it is at one of them.

use super::order::Order;
use super::replay::Not;
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A plan that nobody runs stands for so many seconds.
const PLAN_STANDS: u32 = 600;

/// An order as the fleet has it. Merged by [`Given::join`], in any order and any number of times.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Given {
    /// What it asks.
    pub order: Order,
    /// When, in seconds since 1970.
    pub at: u32,
    /// The higher one stands: it was given again.
    pub turn: u16,
    /// It is to be run; else it is a plan.
    pub go: bool,
    /// Nothing more of it begins.
    pub stopped: bool,
}

impl Given {
    /// Takes in what another knows; whether anything is new. In one turn, running it wins over planning, and stopping over both.
    pub fn join(&mut self, other: &Given) -> bool {
        let was = self.clone();
        match other.turn.cmp(&self.turn) {
            std::cmp::Ordering::Greater => {
                (self.turn, self.go, self.stopped, self.at) = (other.turn, other.go, other.stopped, other.at);
            }
            std::cmp::Ordering::Equal => {
                self.go |= other.go;
                self.stopped |= other.stopped;
                self.at = self.at.min(other.at);
            }
            std::cmp::Ordering::Less => {}
        }
        if other.order.reason.len() > self.order.reason.len() && !self.order.worded() {
            self.order.reason.clone_from(&other.order.reason);
        }
        *self != was
    }

    /// The other says the same of what is to be done.
    pub fn flags_as(&self, other: &Given) -> bool {
        (self.turn, self.go, self.stopped) == (other.turn, other.go, other.stopped)
    }

    /// It can't be begun any more; `stands`: seconds.
    pub fn lapsed(&self, now: u32, stands: u32) -> bool {
        now.saturating_sub(self.at) > if self.go { stands } else { PLAN_STANDS }
    }
}

/// How far an order is at one courier.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum Phase {
    /// Not planned: not enough others were heard.
    #[default]
    Waits,
    /// Planned, and not to be run.
    Planned,
    /// Under way.
    Runs,
    /// Nothing more begins; some are out.
    Stops,
    /// Stopped.
    Stopped,
    /// Nothing is left to do.
    Done,
}

impl Phase {
    /// All there are, by their place on the wire.
    pub const ALL: [Phase; 6] =
        [Phase::Waits, Phase::Planned, Phase::Runs, Phase::Stops, Phase::Stopped, Phase::Done];

    /// As operators read it.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Waits => "waits",
            Phase::Planned => "planned",
            Phase::Runs => "runs",
            Phase::Stops => "stops",
            Phase::Stopped => "stopped",
            Phase::Done => "done",
        }
    }
}

/// One courier's part of an order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Part {
    /// How far.
    pub phase: Phase,
    /// Not ended: not begun, or out.
    pub left: u32,
    /// Taken by the partner, over all lives that are known here.
    pub taken: u32,
    /// Not taken; not sent again by this order.
    pub refused: u32,
    /// Passed by since it was planned.
    pub passed: u32,
    /// Not planned, by reason.
    pub not: BTreeMap<Not, u64>,
}

/// What another courier last said of its part.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Told {
    /// It.
    pub part: Part,
    /// When it was said.
    pub at: Micros,
    /// By a life that is over.
    pub former: bool,
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whatever_the_order_of_what_is_heard_the_same_stands() {
        let mut all = Vec::new();
        for n in 0..32_u32 {
            let (turn, at) = ((n >> 2 & 1) as u16, 5 + (n >> 3));
            all.push(Given {
                order: Order::new(1, 7, (Micros(0), Micros(9_000)), true, "t"),
                at,
                turn,
                go: n & 1 > 0,
                stopped: n & 2 > 0,
            });
        }
        let join = |a: &Given, b: &Given| {
            let mut out = a.clone();
            out.join(b);
            out
        };
        for a in &all {
            assert_eq!(&join(a, a), a);
            for b in &all {
                assert_eq!(join(a, b), join(b, a));
                let c = &all[(a.at as usize * 7 + b.at as usize * 3 + usize::from(a.stopped)) % all.len()];
                assert_eq!(join(&join(a, b), c), join(a, &join(b, c)));
            }
        }
    }
}
