//! The budget of an endpoint in slow start: what a whole fleet sends to one that has come back cold, first calls, repeats and trials
//! together, for fleets and endpoints of any size. No sockets, no clock.

mod common;

use common::*;
use indigohold::*;

/// The endpoint is cold for so long after an outage, and takes this share of its capacity at first.
const COLD_S: f64 = 10.0;
const COLD_SHARE: f64 = 0.2;
const FACTOR: f64 = 2.0;
const SPAN_S: f64 = 2.0;
const CALM: u64 = 12 * S;
const TICK: u64 = 5_000;

fn set_of(senders: u32, told: bool) -> Settings {
    let mut set = settings();
    set.senders = senders;
    set.classes[0].aim = Micros(S);
    set.classes[0].deadline = Micros(20 * S);
    set.rules.cold_share = Some(COLD_SHARE);
    set.rules.cold = Some(Micros((COLD_S * 1e6) as u64));
    set.rules.overload_factor = Some(FACTOR);
    set.rules.tip_after = Some(Micros((SPAN_S * 1e6) as u64));
    if told {
        set.weights = Weights::Nominal;
        (set.report_left, set.report_limit) = (Some(0), Some(1));
    }
    set
}

/// Numbers of chance.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// One deployment: so many couriers, an endpoint that takes `first` calls in the span when it has just come back, whether its limit
/// is told, how long it is out, and whether all couriers are killed just before it comes back.
#[derive(Debug, Clone, Copy)]
struct Case {
    senders: u32,
    first: f64,
    told: bool,
    outage: u64,
    killed: bool,
    seed: u64,
}

impl Case {
    fn capacity(&self) -> f64 {
        self.first / (FACTOR * COLD_SHARE * SPAN_S)
    }
}

fn budget(n: f64) -> f64 {
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

/// A message that is held: its owner, and what it was handed in as.
struct Held {
    owner: usize,
    message: Message,
    tries: u32,
}

/// The most that the endpoint got in one span while it was cold, as a share of its budget then; and what it got in all.
fn play(case: Case) -> (f64, usize) {
    let set = set_of(case.senders, case.told);
    let weight = if case.told { case.capacity() } else { 0.0 };
    let line = Entry { weight, ..entry(1, 7) };
    let seeded = |seed: u64| SenderHarness::seeded(set.clone(), vec![line.clone()], seed);
    let mut fleet: Vec<SenderHarness> =
        (0..case.senders).map(|n| seeded(case.seed * 1_000 + u64::from(n))).collect();
    let start = fleet[0].now;
    let (down, back) = (start + CALM, start + CALM + case.outage);
    let end = back + (COLD_S * 1e6) as u64;
    let mut draw = Draw(0x2545_f491_4f6c_dd1d ^ (case.seed << 20));
    let (mut next, mut id) = (start, 0u64);
    let mut held: std::collections::BTreeMap<u64, Held> = Default::default();
    let mut out: Vec<(u64, usize, u64, Outcome)> = vec![];
    let mut arrivals: Vec<u64> = vec![];
    for now in (start..end).step_by(TICK as usize) {
        let mut sent: Vec<(usize, u64)> = vec![];
        if case.killed && now == back {
            out.clear();
            for (n, b) in fleet.iter_mut().enumerate() {
                let mut life =
                    SenderHarness::without_list(set.clone(), case.seed * 1_000 + 500_000 + n as u64);
                life.now = now;
                // As the core does with what the former life wrote down.
                let per_s = case.capacity() * 0.8 / f64::from(case.senders);
                let known = DecisionEngine::outages(&b.sender, Micros(now));
                life.sender.restore_send_rate(DestinationId(7), per_s);
                known.into_iter().for_each(|(id, outage)| life.sender.restore_outage(id, outage, per_s));
                let own = held.values().filter(|h| h.owner == n);
                let resumed = own.map(|h| {
                    let message = h.message.clone();
                    Event::Resumed { message, attempts: h.tries, first_uncertain: None }
                });
                life.feed(resumed.collect());
                life.attempt_counts =
                    held.iter().filter(|(_, h)| h.owner == n).map(|(id, h)| (*id, h.tries as u8)).collect();
                let listed = life.feed(vec![Event::WholeList(vec![line.clone()])]);
                sent.extend(attempted_ids(&listed).into_iter().map(|id| (n, id)));
                *b = life;
            }
        }
        for (n, b) in fleet.iter_mut().enumerate() {
            let till = now.saturating_sub(b.now);
            sent.extend(attempted_ids(&b.wait(till)).into_iter().map(|id| (n, id)));
        }
        while next <= now {
            let n = (draw.next() * f64::from(case.senders)) as usize;
            id += 1;
            let Event::Demand(message) = fleet[n].message(id, 7, 0, None) else { unreachable!() };
            let message = Message { due: Micros(now + 20 * S), ..message };
            held.insert(id, Held { owner: n, message: message.clone(), tries: 0 });
            sent.extend(
                attempted_ids(&fleet[n].feed(vec![Event::Demand(message)])).into_iter().map(|id| (n, id)),
            );
            next += (-(1.0 - draw.next()).ln() / (case.capacity() * 0.8) * S as f64) as u64;
        }
        out.sort_by_key(|o| o.0);
        while out.first().is_some_and(|o| o.0 <= now) {
            let (_, n, id, outcome) = out.remove(0);
            if outcome == Outcome::Ok {
                held.remove(&id);
            }
            let all = fleet[n].returns_with_report(id, outcome, vec![]);
            sent.extend(attempted_ids(&all).into_iter().map(|id| (n, id)));
        }
        for (n, id) in sent {
            if let Some(h) = held.get_mut(&id) {
                h.tries += 1;
            }
            let is_out = (down..back).contains(&now);
            if now >= back {
                arrivals.push(now);
            }
            let (after, outcome) =
                if is_out { (20_000, Outcome::ConnectFailed) } else { (100_000, Outcome::Ok) };
            out.push((now + after, n, id, outcome));
        }
    }
    let span = (SPAN_S * 1e6) as u64;
    let worst = (0..arrivals.len()).map(|last| {
        let at = arrivals[last];
        let calls = arrivals[..=last].iter().rev().take_while(|a| **a + span > at).count() as f64;
        let warm = ((at - back) as f64 / 1e6 / COLD_S).min(1.0);
        let n = FACTOR * case.capacity() * SPAN_S * (COLD_SHARE + (1.0 - COLD_SHARE) * warm);
        calls / budget(n)
    });
    (worst.fold(0.0, f64::max), arrivals.len())
}

/// Fleets and endpoints of the operators' page. Of three hundred couriers only one outage: each case takes seconds.
fn within_budget(killed: bool) {
    let mut over = Vec::new();
    for told in [true, false] {
        for senders in [1, 5, 30, 300] {
            for first in [1.0, 5.0, 29.0, 30.0, 300.0] {
                // Only the fleet of its own size meets the largest endpoint: others would hold thousands of messages each.
                let large = senders == 300 && (!told || first < 30.0) || first == 300.0 && senders < 300;
                for (seed, outage) in [(1, 6 * S), (2, 15 * S)] {
                    if large || senders == 300 && seed == 1 {
                        continue;
                    }
                    let case = Case { senders, first, told, outage, killed, seed };
                    let (worst, calls) = play(case);
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

/// Guards against couriers that count a cold endpoint warm by a guess of when it came back, and then send what has piled up.
#[test]
fn no_fleet_sends_an_endpoint_in_slow_start_more_than_its_budget() {
    within_budget(false);
}

/// Guards against a life that knows nothing of an outage: all couriers are killed just before the endpoint comes back.
#[test]
fn nor_does_one_whose_couriers_were_all_killed_meanwhile() {
    within_budget(true);
}
