//! Model check of three couriers' leases of one limit under every interleaving, to a bounded depth: entries lost, duplicated,
//! late and out of order, one restart, clocks at 0.99, 1.00 and 1.01 of true time. Network splits and suspended processes are
//! included: entries that do not arrive, and a courier that neither ticks nor receives while its share still counts.

use indigohold::shared::lease::{Lease, LeaseMessage, LeaseSettings, Start, LIMIT_UNITS};
use indigohold::shared::{Member, Version};
use indigohold::Micros;
use stateright::{Checker, Model, Property};

const N: usize = 3;
const RATES: [u64; N] = [99, 101, 100];
/// Late enough that the quiet time of the first runs is over.
const BEGIN: u64 = 1_300_000;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct FleetState {
    step: u64,
    /// Length of a step in microseconds of true time.
    step_us: u64,
    couriers: Vec<Lease>,
    runs: [u64; N],
    counters: [u64; N],
    /// Entries in transit: the newest of each owner and kind, for courier 0 the two newest. They stay, so each may arrive twice or
    /// never.
    net: Vec<(usize, Version, LeaseMessage)>,
    restarts: u8,
    demand_swapped: bool,
    /// Within a step, demands are received first, then couriers tick, then loans are received, each in order. Any other order
    /// leads to the same state, except for a demand that is answered within the step.
    cursor: (u8, usize),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    Time,
    Tick(usize),
    Receive(usize, usize),
    Restart(usize),
    /// The courier with a high demand and the one without any swap their demands.
    SwapDemand,
}

struct FleetModel {
    steps: u64,
    step_us: u64,
    restarts: u8,
    swaps_demand: bool,
}

impl FleetState {
    fn clock(&self, i: usize) -> Micros {
        Micros((BEGIN + self.step * self.step_us) * RATES[i] / 100)
    }

    fn units_in_force(&self) -> u64 {
        (0..N).map(|i| u64::from(self.couriers[i].in_force(self.clock(i)))).sum()
    }

    fn position(&self, action: &Action) -> (u8, usize) {
        match action {
            Action::Time => (0, 0),
            Action::Tick(i) => (1, i + 1),
            Action::Receive(to, entry) => (
                if matches!(self.net[*entry].2, LeaseMessage::Demand(_)) { 0 } else { 2 },
                entry * N + to + 1,
            ),
            Action::Restart(_) | Action::SwapDemand => self.cursor,
        }
    }

    fn receive(&mut self, to: usize, entry: usize) {
        let (from, version, message) = self.net[entry];
        let now = self.clock(to);
        match message {
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
        for message in out {
            self.counters[i] += 1;
            let same = |e: &(usize, Version, LeaseMessage)| {
                e.0 == i
                    && match (&e.2, &message) {
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
            self.net.push((i, Version { run: self.runs[i], counter: self.counters[i] }, message));
        }
    }
}

fn courier(i: usize, run: u64, now: Micros, start: Start) -> Lease {
    let mut lease = Lease::new(Member(i as u32), run, now, LeaseSettings::exactly(N as u32), start);
    // Demands of 0.8 of the limit, of nothing, and of a tenth.
    lease.set_demand([LIMIT_UNITS / 10 * 8, 0, LIMIT_UNITS / 10][i], 1);
    lease
}

impl Model for FleetModel {
    type State = FleetState;
    type Action = Action;

    fn init_states(&self) -> Vec<FleetState> {
        let couriers = (0..N).map(|i| courier(i, 1, Micros(0), Start::First)).collect();
        let counters = [0; N];
        let mut state = FleetState {
            step: 0,
            step_us: self.step_us,
            couriers,
            runs: [1; N],
            counters,
            net: vec![],
            restarts: 0,
            demand_swapped: false,
            cursor: (0, 0),
        };
        (0..N).for_each(|i| state.tick(i));
        for k in 0..state.net.len() {
            (0..N).for_each(|to| state.receive(to, k));
        }
        vec![state]
    }

    fn actions(&self, w: &FleetState, actions: &mut Vec<Action>) {
        if w.step < self.steps {
            actions.push(Action::Time);
        }
        actions.extend((0..N).filter(|i| w.cursor <= (1, *i)).map(Action::Tick));
        for (entry, (from, _, message)) in w.net.iter().enumerate() {
            // The lenders' own demands affect only the plan; they were received at the start.
            let is_recipient = |to: &usize| match message {
                LeaseMessage::Demand(_) => *from == 0 && *to != 0,
                LeaseMessage::Loan(loan) => loan.to == Member(*to as u32),
                LeaseMessage::Ack(ack) => ack.to == Member(*to as u32),
            };
            actions.extend(
                (0..N)
                    .filter(is_recipient)
                    .map(|to| Action::Receive(to, entry))
                    .filter(|a| w.cursor <= w.position(a)),
            );
        }
        if self.swaps_demand && !w.demand_swapped && w.cursor == (0, 0) {
            actions.push(Action::SwapDemand);
        }
        if w.restarts < self.restarts {
            actions.extend((0..N).map(Action::Restart));
        }
    }

    fn next_state(&self, w: &FleetState, action: Action) -> Option<FleetState> {
        let mut next = w.clone();
        match action {
            Action::Time => next.step += 1,
            Action::Tick(i) => next.tick(i),
            Action::Receive(to, entry) => next.receive(to, entry),
            Action::SwapDemand => {
                next.demand_swapped = true;
                next.couriers[0].set_demand(0, 1);
                next.couriers[1].set_demand(LIMIT_UNITS / 10 * 8, 1);
            }
            Action::Restart(i) => {
                next.restarts += 1;
                next.runs[i] += 1;
                next.couriers[i] = courier(i, next.runs[i], next.clock(i), Start::Restart);
            }
        }
        let changed = next != *w;
        next.cursor = w.position(&action);
        changed.then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the shares in force are at most the limit", |_, w: &FleetState| {
                w.units_in_force() <= u64::from(LIMIT_UNITS)
            }),
            Property::sometimes("a loan is used", |_, w: &FleetState| {
                w.couriers[0].in_force(w.clock(0)) > LIMIT_UNITS / 3
            }),
            Property::sometimes("a loan is returned before it expires", |m: &FleetModel, w: &FleetState| {
                !m.swaps_demand || w.net.iter().any(|e| matches!(e.2, LeaseMessage::Ack(_)))
            }),
            Property::sometimes("a loan is used after a restart", |m: &FleetModel, w: &FleetState| {
                m.restarts == 0 || w.restarts > 0 && w.couriers[0].in_force(w.clock(0)) > LIMIT_UNITS / 3
            }),
        ]
    }
}

fn check_model(fleet: FleetModel, depth: usize) {
    let checker = fleet.checker().threads(2).target_max_depth(depth).spawn_bfs().join();
    println!("{} states, depth {}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
}

/// Three steps of half the lender's wait: every interleaving, to the end.
#[test]
fn no_interleaving_with_a_restart_puts_more_in_force_than_the_limit() {
    check_model(FleetModel { steps: 3, step_us: 611_000, restarts: 1, swaps_demand: false }, 100);
}

/// Demand is swapped: loans are returned before they expire.
#[test]
fn no_interleaving_with_a_swap_of_demand_puts_more_in_force_than_the_limit() {
    check_model(FleetModel { steps: 4, step_us: 420_000, restarts: 0, swaps_demand: true }, 17);
}
