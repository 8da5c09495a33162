//! Three couriers' leases of one limit under every interleaving, to a bounded depth: entries lost, doubled, late and out of
//! order, one restart, clocks at 0.99, 1.00 and 1.01 of true time. A split is entries that do not arrive, a pause a
//! courier that is neither ticked nor told anything while its share is still looked at: both lie within.

use indigohold::shared::lease::{Lease, LeaseMessage, LeaseSettings, Start, LIMIT_UNITS};
use indigohold::shared::{Member, Version};
use indigohold::Micros;
use stateright::{Checker, Model, Property};

const N: usize = 3;
const RATES: [u64; N] = [99, 101, 100];
/// Old enough that first lives are not quiet any more.
const BEGIN: u64 = 1_300_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    step: u64,
    /// Of a step, in true time.
    length: u64,
    couriers: Vec<Lease>,
    lives: [u64; N],
    counters: [u64; N],
    /// Entries under way: the two newest of each owner and kind; they stay, so each may come twice or never.
    net: Vec<(usize, Version, LeaseMessage)>,
    restarts: u8,
    turned: bool,
    /// Within a step: wants are heard, then ticks, then loans are heard, each in order. What is done in another order
    /// ends in the same world, but for a want that answers in no time at all.
    cursor: (u8, usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Time,
    Tick(usize),
    Hear(usize, usize),
    Restart(usize),
    /// The one that wanted much wants nothing, and the other way round.
    Turn,
}

struct Fleet {
    steps: u64,
    length: u64,
    restarts: u8,
    turns: bool,
}

impl World {
    fn clock(&self, i: usize) -> Micros {
        Micros((BEGIN + self.step * self.length) * RATES[i] / 100)
    }

    fn sum(&self) -> u64 {
        (0..N).map(|i| u64::from(self.couriers[i].in_force(self.clock(i)))).sum()
    }

    fn place(&self, act: &Act) -> (u8, usize) {
        match act {
            Act::Time => (0, 0),
            Act::Tick(i) => (1, i + 1),
            Act::Hear(to, k) => {
                (if matches!(self.net[*k].2, LeaseMessage::Demand(_)) { 0 } else { 2 }, k * N + to + 1)
            }
            Act::Restart(_) | Act::Turn => self.cursor,
        }
    }

    fn hear(&mut self, to: usize, entry: usize) {
        let (from, version, said) = self.net[entry];
        let now = self.clock(to);
        match said {
            LeaseMessage::Demand(demand) => {
                self.couriers[to].receive_demand(now, Member(from as u32), version, demand)
            }
            LeaseMessage::Loan(loan) => {
                self.couriers[to].receive_loan(now, Member(from as u32), version, loan);
            }
            LeaseMessage::Ack(ack) => self.couriers[to].receive_ack(Member(from as u32), ack),
        }
    }

    fn tick(&mut self, i: usize) {
        let mut out = vec![];
        let now = self.clock(i);
        self.couriers[i].tick(now, &mut out);
        for said in out {
            self.counters[i] += 1;
            let same = |e: &(usize, Version, LeaseMessage)| {
                e.0 == i
                    && match (&e.2, &said) {
                        (LeaseMessage::Demand(_), LeaseMessage::Demand(_)) => true,
                        (LeaseMessage::Loan(a), LeaseMessage::Loan(b)) => a.to == b.to,
                        (LeaseMessage::Ack(a), LeaseMessage::Ack(b)) => a.to == b.to,
                        _ => false,
                    }
            };
            if self.net.iter().filter(|e| same(e)).count() >= if i == 0 { 2 } else { 1 } {
                let oldest = self.net.iter().position(same).unwrap();
                self.net.remove(oldest);
            }
            self.net.push((i, Version { run: self.lives[i], counter: self.counters[i] }, said));
        }
    }
}

fn courier(i: usize, life: u64, now: Micros, start: Start) -> Lease {
    let mut lease = Lease::new(Member(i as u32), life, now, LeaseSettings::exactly(N as u32), start);
    // One wants nearly all, one its part, one nothing.
    lease.set_demand([LIMIT_UNITS / 10 * 8, 0, LIMIT_UNITS / 10][i], 1);
    lease
}

impl Model for Fleet {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let couriers = (0..N).map(|i| courier(i, 1, Micros(0), Start::First)).collect();
        let counters = [0; N];
        let mut world = World {
            step: 0,
            length: self.length,
            couriers,
            lives: [1; N],
            counters,
            net: vec![],
            restarts: 0,
            turned: false,
            cursor: (0, 0),
        };
        (0..N).for_each(|i| world.tick(i));
        for k in 0..world.net.len() {
            (0..N).for_each(|to| world.hear(to, k));
        }
        vec![world]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        if w.step < self.steps {
            acts.push(Act::Time);
        }
        acts.extend((0..N).filter(|i| w.cursor <= (1, *i)).map(Act::Tick));
        for (k, (from, _, said)) in w.net.iter().enumerate() {
            // The lenders' own wants shape the plan and nothing else; they were heard at the start.
            let for_whom = |to: &usize| match said {
                LeaseMessage::Demand(_) => *from == 0 && *to != 0,
                LeaseMessage::Loan(loan) => loan.to == Member(*to as u32),
                LeaseMessage::Ack(ack) => ack.to == Member(*to as u32),
            };
            acts.extend(
                (0..N).filter(for_whom).map(|to| Act::Hear(to, k)).filter(|a| w.cursor <= w.place(a)),
            );
        }
        if self.turns && !w.turned && w.cursor == (0, 0) {
            acts.push(Act::Turn);
        }
        if w.restarts < self.restarts {
            acts.extend((0..N).map(Act::Restart));
        }
    }

    fn next_state(&self, w: &World, act: Act) -> Option<World> {
        let mut next = w.clone();
        match act {
            Act::Time => next.step += 1,
            Act::Tick(i) => next.tick(i),
            Act::Hear(to, k) => next.hear(to, k),
            Act::Turn => {
                next.turned = true;
                next.couriers[0].set_demand(0, 1);
                next.couriers[1].set_demand(LIMIT_UNITS / 10 * 8, 1);
            }
            Act::Restart(i) => {
                next.restarts += 1;
                next.lives[i] += 1;
                next.couriers[i] = courier(i, next.lives[i], next.clock(i), Start::Restart);
            }
        }
        let changed = next != *w;
        next.cursor = w.place(&act);
        changed.then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the shares in force are at most the limit", |_, w: &World| {
                w.sum() <= u64::from(LIMIT_UNITS)
            }),
            Property::sometimes("a loan is used", |_, w: &World| {
                w.couriers[0].in_force(w.clock(0)) > LIMIT_UNITS / 3
            }),
            Property::sometimes("a loan is given back before it lapses", |m: &Fleet, w: &World| {
                !m.turns || w.net.iter().any(|e| matches!(e.2, LeaseMessage::Ack(_)))
            }),
            Property::sometimes("a loan is used after a restart", |m: &Fleet, w: &World| {
                m.restarts == 0 || w.restarts > 0 && w.couriers[0].in_force(w.clock(0)) > LIMIT_UNITS / 3
            }),
        ]
    }
}

fn check(fleet: Fleet, depth: usize) {
    let checker = fleet.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// Three steps of half a lapse: every interleaving, to the end.
#[test]
fn no_interleaving_with_a_restart_puts_more_in_force_than_the_limit() {
    check(Fleet { steps: 3, length: 611_000, restarts: 1, turns: false }, 100);
}

/// Demand turns round: loans are given back before they lapse.
#[test]
fn no_interleaving_with_a_turn_of_demand_puts_more_in_force_than_the_limit() {
    check(Fleet { steps: 4, length: 420_000, restarts: 0, turns: true }, 17);
}
