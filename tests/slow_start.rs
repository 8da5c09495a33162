//! What a whole fleet sends to an endpoint in slow start, first attempts, repeats and trials together,
//! against the budget of the endpoint, for fleets and endpoints of any size. No sockets, and a simulated
//! clock.

mod common;

use common::*;
use indigohold::*;

/// How long the endpoint is cold after an outage, and which fraction of its capacity it has at first.
const COLD_S: f64 = 10.0;
const COLD_SHARE: f64 = 0.2;
/// Calls above this multiple of the present capacity, within the span below, overload the endpoint.
const OVERLOAD_FACTOR: f64 = 2.0;
const SPAN_S: f64 = 2.0;
/// Time in microseconds before the outage, and the step of the simulation.
const TIME_BEFORE_OUTAGE: u64 = 12 * S;
const TICK: u64 = 5_000;

fn fleet_settings(senders: u32, limit_known: bool) -> Settings {
    let mut set = settings();
    set.senders = senders;
    set.classes[0].aim = Micros(S);
    set.classes[0].deadline = Micros(20 * S);
    set.rules.cold_share = Some(COLD_SHARE);
    set.rules.cold = Some(Micros((COLD_S * 1e6) as u64));
    set.rules.overload_factor = Some(OVERLOAD_FACTOR);
    set.rules.tip_after = Some(Micros((SPAN_S * 1e6) as u64));
    if limit_known {
        set.weights = Weights::Nominal;
        (set.report_left, set.report_limit) = (Some(0), Some(1));
    }
    set
}

/// A pseudo-random number generator (xorshift).
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// One deployment: the number of couriers, the calls that the endpoint bears in the span right after its
/// return (`first`), whether its limit is known, how long it is out in microseconds, and whether all couriers
/// are killed just before it returns.
#[derive(Debug, Clone, Copy)]
struct Case {
    senders: u32,
    first: f64,
    limit_known: bool,
    outage: u64,
    killed: bool,
    seed: u64,
}

impl Case {
    fn capacity(&self) -> f64 {
        self.first / (OVERLOAD_FACTOR * COLD_SHARE * SPAN_S)
    }
}

/// Calls that may arrive where `n` are expected: `n` and a margin for chance.
fn budget(n: f64) -> f64 {
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// A message that is not delivered yet: its courier, the message as submitted, and the attempts made.
struct Held {
    owner: usize,
    message: Message,
    attempts: u32,
}

/// Returns the most calls that the endpoint got in one span while it was cold, as a fraction of its budget at
/// that time, and the number of all its calls.
fn simulate(case: Case) -> (f64, usize) {
    let set = fleet_settings(case.senders, case.limit_known);
    let weight = if case.limit_known { case.capacity() } else { 0.0 };
    let list_entry = Entry { weight, ..entry(1, 7) };
    let seeded = |seed: u64| SenderHarness::seeded(set.clone(), vec![list_entry.clone()], seed);
    let mut fleet: Vec<SenderHarness> =
        (0..case.senders).map(|n| seeded(case.seed * 1_000 + u64::from(n))).collect();
    let start = fleet[0].now;
    let (outage_start, outage_end) = (start + TIME_BEFORE_OUTAGE, start + TIME_BEFORE_OUTAGE + case.outage);
    let end = outage_end + (COLD_S * 1e6) as u64;
    let mut random = Random(0x2545_f491_4f6c_dd1d ^ (case.seed << 20));
    let (mut next, mut id) = (start, 0u64);
    let mut held: std::collections::BTreeMap<u64, Held> = Default::default();
    let mut in_flight: Vec<(u64, usize, u64, Outcome)> = vec![];
    let mut arrivals: Vec<u64> = vec![];
    for now in (start..end).step_by(TICK as usize) {
        let mut sent: Vec<(usize, u64)> = vec![];
        if case.killed && now == outage_end {
            in_flight.clear();
            for (n, harness) in fleet.iter_mut().enumerate() {
                let mut restarted =
                    SenderHarness::without_list(set.clone(), case.seed * 1_000 + 500_000 + n as u64);
                restarted.now = now;
                // As the core does with the state that the earlier process run stored.
                let per_s = case.capacity() * 0.8 / f64::from(case.senders);
                let outages = DecisionEngine::outages(&harness.sender, Micros(now));
                restarted.sender.restore_send_rate(DestinationId(7), per_s);
                outages
                    .into_iter()
                    .for_each(|(id, outage)| restarted.sender.restore_outage(id, outage, per_s));
                let own = held.values().filter(|h| h.owner == n);
                let resumed = own.map(|h| {
                    let message = h.message.clone();
                    Event::Resumed { message, attempts: h.attempts, first_uncertain: None }
                });
                restarted.feed(resumed.collect());
                restarted.attempt_counts = held
                    .iter()
                    .filter(|(_, h)| h.owner == n)
                    .map(|(id, h)| (*id, h.attempts as u8))
                    .collect();
                let listed = restarted.feed(vec![Event::WholeList(vec![list_entry.clone()])]);
                sent.extend(attempted_ids(&listed).into_iter().map(|id| (n, id)));
                *harness = restarted;
            }
        }
        for (n, harness) in fleet.iter_mut().enumerate() {
            let elapsed = now.saturating_sub(harness.now);
            sent.extend(attempted_ids(&harness.wait(elapsed)).into_iter().map(|id| (n, id)));
        }
        while next <= now {
            let n = (random.next() * f64::from(case.senders)) as usize;
            id += 1;
            let Event::Demand(message) = fleet[n].message(id, 7, 0, None) else { unreachable!() };
            let message = Message { due: Micros(now + 20 * S), ..message };
            held.insert(id, Held { owner: n, message: message.clone(), attempts: 0 });
            sent.extend(
                attempted_ids(&fleet[n].feed(vec![Event::Demand(message)])).into_iter().map(|id| (n, id)),
            );
            next += (-(1.0 - random.next()).ln() / (case.capacity() * 0.8) * S as f64) as u64;
        }
        in_flight.sort_by_key(|call| call.0);
        while in_flight.first().is_some_and(|call| call.0 <= now) {
            let (_, n, id, outcome) = in_flight.remove(0);
            if outcome == Outcome::Ok {
                held.remove(&id);
            }
            let all = fleet[n].returns_with_report(id, outcome, vec![]);
            sent.extend(attempted_ids(&all).into_iter().map(|id| (n, id)));
        }
        for (n, id) in sent {
            if let Some(h) = held.get_mut(&id) {
                h.attempts += 1;
            }
            let during_outage = (outage_start..outage_end).contains(&now);
            if now >= outage_end {
                arrivals.push(now);
            }
            let (after, outcome) =
                if during_outage { (20_000, Outcome::ConnectFailed) } else { (100_000, Outcome::Ok) };
            in_flight.push((now + after, n, id, outcome));
        }
    }
    let span = (SPAN_S * 1e6) as u64;
    let worst = (0..arrivals.len()).map(|last| {
        let at = arrivals[last];
        let calls = arrivals[..=last].iter().rev().take_while(|a| **a + span > at).count() as f64;
        let warm = ((at - outage_end) as f64 / 1e6 / COLD_S).min(1.0);
        let n = OVERLOAD_FACTOR * case.capacity() * SPAN_S * (COLD_SHARE + (1.0 - COLD_SHARE) * warm);
        calls / budget(n)
    });
    (worst.fold(0.0, f64::max), arrivals.len())
}

/// Checks fleets and endpoints of the sizes in the operators' requirements. Three hundred couriers meet only
/// one outage, as each case takes seconds.
fn check_all_deployments(killed: bool) {
    let mut over = Vec::new();
    for limit_known in [true, false] {
        for senders in [1, 5, 30, 300] {
            for first in [1.0, 5.0, 29.0, 30.0, 300.0] {
                // Only the largest fleet meets the largest endpoint: couriers of others would hold thousands
                // of messages each.
                let large =
                    senders == 300 && (!limit_known || first < 30.0) || first == 300.0 && senders < 300;
                for (seed, outage) in [(1, 6 * S), (2, 15 * S)] {
                    if large || senders == 300 && seed == 1 {
                        continue;
                    }
                    let case = Case { senders, first, limit_known, outage, killed, seed };
                    let (worst, calls) = simulate(case);
                    assert!(calls > 0, "{case:?}: the endpoint is used again");
                    if worst > 1.0 {
                        over.push(format!("{worst:.2} of the budget, {case:?}"));
                    }
                }
            }
        }
    }
    assert!(over.is_empty(), "{} cases: {over:#?}", over.len());
}

/// Guards against couriers that count a cold endpoint as warm by an estimate of when it returned, and then
/// send the backlog.
#[test]
fn a_fleet_keeps_to_the_budget_of_an_endpoint_in_slow_start() {
    check_all_deployments(false);
}

/// Guards against a process that knows nothing of an outage: all couriers are killed just before the endpoint
/// returns.
#[test]
fn a_fleet_that_was_killed_during_the_outage_keeps_to_the_budget() {
    check_all_deployments(true);
}
