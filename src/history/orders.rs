//! The orders to send again that this courier knows of, given here or heard of, how far each is here and elsewhere, and the line up
//! to which messages may have been claimed. No I/O: what changes a row is written by whoever calls
//! ([`super::store::History::change`]), before it is acknowledged or said.

use super::given::{Given, Part, Phase, Told};
use super::order::Order;
use crate::api::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Orders that are known at a time.
pub const MOST: usize = 8;
/// Bits of an order's number that name it between couriers.
pub const NAMED: u64 = (1 << 26) - 1;
/// What was given so much later than now, in seconds, was given by nobody.
const AHEAD: u32 = 3_600;
/// A line counts the time at which messages ended by this.
const STEP: u64 = 10_000;
/// Messages that a line is ahead at first, and at most.
const BLOCK: usize = 8;
const BLOCK_MOST: usize = 1_024;

/// What outlasts the process of an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// As the fleet has it.
    pub given: Given,
    /// It was given here: its words are said by this courier.
    pub here: bool,
    /// All that ended up to this line may have been claimed, by this life or a former one; 0: nothing.
    pub line: u64,
    /// The lines of other couriers.
    pub kept: BTreeMap<u16, u64>,
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// What outlasts the process.
    pub row: Row,
    /// How far it is here.
    pub part: Part,
    /// What ended up to this line and has no claim may have been claimed by a former life.
    pub doubt: u64,
    /// What others have of this courier's line.
    pub backs: BTreeMap<u16, u64>,
    /// Their parts.
    pub told: BTreeMap<u16, Told>,
    block: usize,
}

/// Why an order is not taken on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refused {
    /// As many as are known at a time are not over yet.
    Full,
    /// It names itself as another that is known: one with another reason will do.
    Named,
    /// Its time is over, or it was given in the future.
    Lapsed,
}

/// All that are known.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Orders {
    /// By number.
    pub known: BTreeMap<u64, Known>,
    /// So many others must have a line before anything beyond the last one is claimed; 0: there is nobody.
    pub others: usize,
    /// What enough others have of former lives' lines was heard in this life.
    pub learnt: bool,
    /// Seconds for which an order can be begun.
    pub stands: u32,
}

fn second(at: Micros) -> u32 {
    u32::try_from(at.0 / 1_000_000).unwrap_or(u32::MAX)
}

impl Known {
    /// As a life finds it in its file.
    pub fn of(row: Row) -> Known {
        let (part, backs, told) = Default::default();
        Known { doubt: row.line, row, part, backs, told, block: BLOCK }
    }

    fn step(&self, ended: Micros) -> u64 {
        ended.0.saturating_sub(self.row.given.order.since.0) / STEP + 1
    }

    /// Up to where messages may be claimed: so many others have that line.
    fn limit(&self, others: usize) -> u64 {
        let mut backs: Vec<u64> = self.backs.values().copied().collect();
        backs.sort_unstable_by(|a, b| b.cmp(a));
        let least = others.checked_sub(1).and_then(|n| backs.get(n)).copied().unwrap_or(0);
        least.min(self.row.line)
    }

    /// What others know of it and this life does not: a former life told it.
    fn back(&mut self, owner: u16, line: u64) {
        let back = self.backs.entry(owner).or_insert(line);
        *back = line.max(*back);
        if line > self.row.line {
            (self.row.line, self.doubt) = (line, line);
        }
    }
}

impl Orders {
    fn lined(&self, id: u64) -> Option<&Known> {
        self.known.get(&id).filter(|k| self.others > 0 && k.row.given.order.lost)
    }

    /// A former life may have claimed this message for this order, also where there is no claim.
    pub fn doubtful(&self, id: u64, ended: Micros) -> bool {
        self.lined(id).is_some_and(|k| k.step(ended) <= k.doubt)
    }

    /// Not enough others know yet that this message may be claimed for this order.
    pub fn beyond(&self, id: u64, ended: Micros) -> bool {
        self.lined(id).is_some_and(|k| k.step(ended) > k.doubt.max(k.limit(self.others)))
    }

    /// Whether a plan made now knows what former lives may have claimed.
    pub fn ready(&self, id: u64) -> bool {
        self.learnt || self.lined(id).is_none()
    }

    /// Whether the others have the line, so that it may move on.
    pub fn advances(&self, id: u64) -> bool {
        self.lined(id).is_some_and(|k| k.limit(self.others) >= k.row.line)
    }

    /// Moves the line of an order on, if the others have it and what is left below it runs short. `left`: when the messages that
    /// are left ended, in their order.
    pub fn advance(&mut self, id: u64, left: impl Iterator<Item = Micros>) {
        let Some(known) = self.lined(id).filter(|_| self.advances(id)) else { return };
        let (line, doubt, block) = (known.row.line, known.doubt, known.block);
        let steps = left.map(|ended| known.step(ended)).filter(|step| *step > doubt);
        let (mut below, mut beyond, mut last) = (0, 0, line);
        for step in steps {
            // Danger: what was put back stands behind, however far below the line; only what comes first is enough to go on with.
            match step <= line {
                true if beyond == 0 => below += 1,
                true => {}
                false => (beyond, last) = (beyond + 1, step.max(last)),
            }
            if below > block / 2 || beyond == block {
                break;
            }
        }
        let Some(known) = self.known.get_mut(&id).filter(|_| below <= block / 2 && last > line) else {
            return;
        };
        // Nothing was left to send: the others take longer than a block lasts.
        if below == 0 && line > doubt {
            known.block = (block * 2).min(BLOCK_MOST);
        }
        known.row.line = last;
    }

    /// Given here, to be run or only planned. One that was stopped or is over begins its next turn.
    pub fn give(&mut self, now: Micros, order: &Order, go: bool) -> Result<u64, Refused> {
        let (id, at) = (order.id(), second(now));
        if let Some(known) = self.known.get_mut(&id) {
            let given = &mut known.row.given;
            known.row.here = true;
            given.order.reason.clone_from(&order.reason);
            let over = given.stopped || known.part.phase == Phase::Done;
            if go && given.go && over {
                (given.turn, given.at, given.stopped) =
                    (given.turn.saturating_add(1).min(1 << 13), at, false);
                known.part.phase = Phase::Waits;
            } else if go && !given.go {
                (given.go, given.at) = (true, at);
            }
            return Ok(id);
        }
        let given = Given { order: order.clone(), at, turn: 0, go, stopped: false };
        self.add(now, Row { given, here: true, line: 0, kept: BTreeMap::new() }, true)
    }

    /// Heard of from another.
    pub fn hear(&mut self, now: Micros, given: &Given) -> Result<u64, Refused> {
        let id = given.order.id();
        if let Some(known) = self.known.get_mut(&id) {
            known.row.given.join(given);
            return Ok(id);
        }
        self.add(now, Row { given: given.clone(), here: false, line: 0, kept: BTreeMap::new() }, false)
    }

    fn add(&mut self, now: Micros, row: Row, here: bool) -> Result<u64, Refused> {
        let (id, at) = (row.given.order.id(), row.given.at);
        if row.given.lapsed(second(now), self.stands) || at > second(now).saturating_add(AHEAD) {
            return Err(Refused::Lapsed);
        }
        if self.known.keys().any(|known| known & NAMED == id & NAMED) {
            return Err(Refused::Named);
        }
        if self.known.len() >= MOST {
            let over = |k: &&Known| !matches!(k.part.phase, Phase::Waits | Phase::Runs | Phase::Stops);
            let oldest =
                self.known.values().filter(over).map(|k| (k.row.given.at, k.row.given.order.id())).min();
            // Danger: what is put out for an older one would come back, and put that out.
            let (_, oldest) = oldest.filter(|oldest| here || *oldest < (at, id)).ok_or(Refused::Full)?;
            self.known.remove(&oldest);
        }
        self.known.insert(id, Known::of(row));
        Ok(id)
    }

    /// Nothing more of it begins, anywhere. Whether it is known.
    pub fn stop(&mut self, id: u64) -> bool {
        let known = self.known.get_mut(&id);
        known.map(|k| k.row.given.stopped = true).is_some()
    }

    /// Puts out what can't be begun any more and is not under way.
    pub fn sweep(&mut self, now: Micros) {
        let (at, stands) = (second(now), self.stands);
        let under_way = |k: &Known| matches!(k.part.phase, Phase::Runs | Phase::Stops);
        self.known.retain(|_, k| under_way(k) || !k.row.given.lapsed(at, stands));
    }

    /// The order of this name, if it is known.
    pub fn named(&self, name: u64) -> Option<u64> {
        self.known.keys().copied().find(|id| id & NAMED == name)
    }

    /// Another courier's line for an order: kept, so that it can be told its own after a start.
    pub fn keep(&mut self, id: u64, owner: u16, line: u64) {
        if let Some(known) = self.known.get_mut(&id) {
            let kept = known.row.kept.entry(owner).or_insert(line);
            *kept = line.max(*kept);
        }
    }

    /// What another has of this courier's line.
    pub fn back(&mut self, id: u64, owner: u16, line: u64) {
        self.known.get_mut(&id).into_iter().for_each(|known| known.back(owner, line));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000;
    const NOW: Micros = Micros(1_000 * S);

    fn order(reason: &str, lost: bool) -> Order {
        Order::new(1, 7, (Micros(0), Micros(900 * S)), lost, reason)
    }

    fn orders(others: usize) -> Orders {
        Orders { others, stands: 1_000, ..Orders::default() }
    }

    #[test]
    fn stopped_wins_over_running_until_it_is_given_again_by_who_has_heard_of_it() {
        let (mut a, mut b, wish) = (orders(0), orders(0), order("t", false));
        let id = a.give(NOW, &wish, true).unwrap();
        b.give(NOW, &wish, true).unwrap();
        a.stop(id);
        let from = |of: &Orders| of.known[&id].row.given.clone();
        b.hear(NOW, &from(&a)).unwrap();
        a.hear(NOW, &from(&b)).unwrap();
        assert!(from(&a).stopped && from(&b).stopped);
        b.give(NOW, &wish, true).unwrap();
        a.hear(NOW, &from(&b)).unwrap();
        assert_eq!((from(&a).stopped, from(&a).turn, from(&a)), (false, 1, from(&b)));
    }

    #[test]
    fn no_more_than_so_many_the_newest_and_none_that_runs_is_put_out() {
        let mut all = orders(0);
        let ids: Vec<u64> = (0..MOST as u64)
            .map(|n| {
                let id = all.give(Micros((1_000 + n) * S), &order(&format!("t{n}"), false), true).unwrap();
                all.known.get_mut(&id).unwrap().part.phase = Phase::Runs;
                id
            })
            .collect();
        let one_more = order("more", false);
        assert_eq!(all.give(Micros(1_050 * S), &one_more, true), Err(Refused::Full));
        for id in [ids[0], ids[3]] {
            all.known.get_mut(&id).unwrap().part.phase = Phase::Done;
        }
        let older = Given { order: one_more.clone(), at: 999, turn: 0, go: true, stopped: false };
        assert_eq!(all.hear(Micros(1_050 * S), &older), Err(Refused::Full), "or they would take turns");
        all.give(Micros(1_050 * S), &one_more, true).unwrap();
        assert!(!all.known.contains_key(&ids[0]) && all.known.contains_key(&ids[3]));
        all.sweep(Micros(3_000 * S));
        assert_eq!(all.known.len(), MOST - 2, "what runs stays, what is over goes in time");
        assert_eq!(all.hear(Micros(3_000 * S), &older), Err(Refused::Lapsed));
    }

    #[test]
    fn nothing_beyond_the_line_that_enough_others_keep_and_below_it_all_is_in_doubt_after_a_start() {
        let mut all = orders(2);
        let id = all.give(NOW, &order("t", true), true).unwrap();
        let ended = |n: u64| Micros(n * S);
        assert!(all.beyond(id, ended(0)));
        let left = |from: u64| (from..100).map(ended);
        all.advance(id, left(0));
        let line = all.known[&id].row.line;
        assert!(!all.advances(id), "nobody has it");
        all.back(id, 3, line);
        assert!(all.beyond(id, ended(0)), "one of two has it");
        all.back(id, 4, line);
        let block = BLOCK as u64;
        assert!(!all.beyond(id, ended(block - 1)) && all.beyond(id, ended(block)));
        assert!(!all.doubtful(id, ended(0)), "this life told it");
        all.advance(id, left(2));
        assert_eq!(all.known[&id].row.line, line, "enough is left below it");
        all.advance(id, left(block));
        assert!(all.known[&id].block == 2 * BLOCK && all.known[&id].row.line > line, "it had to wait");
        // The one that comes next is beyond the line, and many were put back behind it.
        let line = all.known[&id].row.line;
        [3, 4].into_iter().for_each(|other| all.back(id, other, line));
        all.advance(id, (60..70).map(ended).chain(left(block).take(15)));
        assert!(!all.advances(id) && all.known[&id].row.line > line);
        // The next life, on the folder as it was left.
        let line = all.known[&id].row.line;
        let mut next = orders(2);
        next.known.insert(id, Known::of(all.known[&id].row.clone()));
        assert!(next.doubtful(id, ended(block)) && !next.ready(id));
        next.learnt = true;
        assert!(next.ready(id) && !next.advances(id), "nobody has said that it has the line");
        // On an older one, which knows nothing of it: by the words of others.
        let mut older = orders(2);
        older.hear(NOW, &all.known[&id].row.given).unwrap();
        assert!(!older.doubtful(id, ended(0)));
        older.back(id, 3, line);
        assert!(older.doubtful(id, ended(2 * block - 1)) && !older.doubtful(id, ended(99)));
        // What can be repeated, or where nobody is, goes without.
        let free = all.give(NOW, &order("free", false), true).unwrap();
        assert!(all.ready(free) && !all.beyond(free, ended(99)));
        let mut alone = orders(0);
        let id = alone.give(NOW, &order("t", true), true).unwrap();
        assert!(!alone.beyond(id, ended(99)));
    }
}
