//! Endpoints that hold few connections, and many senders with little traffic each: who keeps an idle connection takes a
//! place from another.

mod common;
use common::*;
use indigohold::*;
use std::collections::BTreeMap;

const SENDERS: usize = 40;
const DESTINATIONS: usize = 3;
const PLACES: usize = 13;
const SERVICE: u64 = 150_000;
/// The sockets close what has been idle for so long.
const IDLE: u64 = 12 * S;

/// Endpoints, one for each destination, each of which takes far more than it is sent, over so many
/// connections. What it turns away for want of a place
/// says nothing of its limit.
#[derive(Default)]
struct Table {
    /// By destination and sender.
    idle: BTreeMap<(usize, usize), Vec<u64>>,
    open: [usize; DESTINATIONS],
    refused: usize,
}

impl Table {
    fn taken(&self, now: u64, to: usize) -> usize {
        let idle = self.idle.range((to, 0)..(to + 1, 0)).flat_map(|(_, all)| all);
        self.open[to] + idle.filter(|since| **since + IDLE > now).count()
    }

    /// Whether the call is taken: over the sender's idle connection, or over a new one if there is a place.
    fn call(&mut self, now: u64, to: usize, from: usize) -> bool {
        let idle = self.idle.entry((to, from)).or_default();
        idle.retain(|since| *since + IDLE > now);
        let taken = idle.pop().is_some() || self.taken(now, to) < PLACES;
        self.open[to] += usize::from(taken);
        self.refused += usize::from(!taken);
        taken
    }
}

fn let_go(actions: &[Action]) -> Vec<EndpointId> {
    let of = |a: &Action| match a {
        Action::CloseIdleConnections(endpoint) => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Guards against a fleet whose idle connections shut itself out: each refusal was taken for the limit's, the pace fell, and
/// a destination that takes three times the demand was held to be out.
#[test]
fn idle_connections_give_way_where_places_are_few() {
    let mut set = settings();
    set.senders = SENDERS as u32;
    set.classes[0].aim = Micros(5 * S / 2);
    (set.report_left, set.report_limit) = (Some(0), Some(1));
    let list: Vec<Entry> = (0..DESTINATIONS as u16).map(|to| entry(to as u8, to)).collect();
    let seeded = |seed| SenderHarness::seeded(set.clone(), list.clone(), seed);
    let mut fleet: Vec<SenderHarness> = (0..SENDERS as u64).map(seeded).collect();
    let (start, mut table) = (fleet[0].now, Table::default());
    let (mut handed_in, mut in_time, mut given_in) = (0, 0, BTreeMap::new());
    // When it ends, whose it is, which message, and whether it was taken.
    let mut out: Vec<(u64, usize, u64, bool)> = vec![];
    for step in 0..40_000u64 / 5 {
        let now = start + step * 5_000;
        let mut done: Vec<(usize, Vec<Action>)> = vec![];
        for (n, b) in fleet.iter_mut().enumerate() {
            done.push((n, b.wait(now.saturating_sub(b.now))));
        }
        // 24 messages a second, 0.6 from each sender.
        if step * 24 / 200 != (step + 1) * 24 / 200 {
            let n = handed_in * 17 % SENDERS;
            handed_in += 1;
            given_in.insert(handed_in as u64, now);
            done.push((n, fleet[n].demand(handed_in as u64, (handed_in % DESTINATIONS) as u16, 0)));
        }
        let (over, on): (Vec<_>, Vec<_>) = out.into_iter().partition(|o| o.0 <= now);
        out = on;
        for (_, n, id, taken) in over {
            let (outcome, report) = match taken {
                true => (Outcome::Ok, vec![0.9, 70.0]),
                false => (Outcome::Refused(None), vec![]),
            };
            if taken {
                let to = id as usize % DESTINATIONS;
                table.open[to] -= 1;
                table.idle.entry((to, n)).or_default().push(now);
                in_time += usize::from(now < given_in[&id] + 5 * S / 2);
            }
            done.push((n, fleet[n].returns_with_report(id, outcome, report)));
        }
        for (n, actions) in done {
            for endpoint in let_go(&actions) {
                table.idle.remove(&(endpoint.addr[3].into(), n));
            }
            for id in attempted_ids(&actions) {
                let taken = table.call(now, id as usize % DESTINATIONS, n);
                out.push((now + if taken { SERVICE } else { 40_000 }, n, id, taken));
            }
        }
    }
    println!("{in_time} of {handed_in} delivered in time, {} calls refused", table.refused);
    assert!(in_time * 10 > handed_in * 9, "{in_time} of {handed_in} in time");
    assert!(table.refused * 5 < handed_in, "{} refused", table.refused);
}

/// A refusal by the limit itself shortens nothing: the idle connection stays, as it did before.
#[test]
fn a_refusal_by_the_limit_closes_no_idle_connection() {
    let lets_go = |report: Vec<f32>| {
        let mut set = settings();
        (set.report_left, set.report_limit) = (Some(0), Some(1));
        let mut b = SenderHarness::new(set, vec![entry(1, 7)]);
        for id in 0..3 {
            b.demand(id, 7, 0);
            b.returns_with_report(id, Outcome::Refused(None), report.clone());
            b.wait(20 * S);
            b.returns_with_report(id, Outcome::Ok, vec![0.9, 70.0]);
            b.wait(20 * S);
        }
        // Three messages in three seconds: a connection trusted for five of them stays open.
        (10..13).any(|id| {
            b.demand(id, 7, 0);
            b.wait(S);
            let goes = let_go(&b.returns_with_report(id, Outcome::Ok, vec![0.9, 70.0]));
            id > 10 && !goes.is_empty()
        })
    };
    assert!(lets_go(vec![]), "no word of the limit: the table is full");
    assert!(!lets_go(vec![0.0, 70.0]), "the limit is used up");
}
