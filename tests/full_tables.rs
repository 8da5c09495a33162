//! Endpoints that accept few connections, and many senders with little traffic each: an idle connection of
//! one sender takes a place in the connection table from another.

mod common;
use common::*;
use indigohold::*;
use std::collections::BTreeMap;

const SENDERS: usize = 40;
const DESTINATIONS: usize = 3;
const MAX_CONNECTIONS: usize = 13;
const SERVICE_MICROS: u64 = 150_000;
/// Sockets are closed after this idle time.
const IDLE_TIMEOUT_MICROS: u64 = 12 * S;

/// Connection tables of endpoints, one for each destination. Each endpoint has a rate limit far above what it
/// is sent, but accepts only `MAX_CONNECTIONS` connections. A refusal for want of a connection says nothing
/// about its rate limit.
#[derive(Default)]
struct ConnectionTables {
    /// Since when connections have been idle, by destination and sender.
    idle: BTreeMap<(usize, usize), Vec<u64>>,
    in_use: [usize; DESTINATIONS],
    refused: usize,
}

impl ConnectionTables {
    fn open_connections(&self, now: u64, to: usize) -> usize {
        let idle = self.idle.range((to, 0)..(to + 1, 0)).flat_map(|(_, all)| all);
        self.in_use[to] + idle.filter(|since| **since + IDLE_TIMEOUT_MICROS > now).count()
    }

    /// Whether the call is accepted: over the sender's idle connection, or over a new one if the table has
    /// room.
    fn call(&mut self, now: u64, to: usize, from: usize) -> bool {
        let idle = self.idle.entry((to, from)).or_default();
        idle.retain(|since| *since + IDLE_TIMEOUT_MICROS > now);
        let taken = idle.pop().is_some() || self.open_connections(now, to) < MAX_CONNECTIONS;
        self.in_use[to] += usize::from(taken);
        self.refused += usize::from(!taken);
        taken
    }
}

fn closed_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    let of = |a: &Action| match a {
        Action::CloseIdleConnections(endpoint) => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(of).collect()
}

/// Guards against a fleet that excludes itself by idle connections: each refusal was taken for one by the
/// rate limit, the send rate fell, and a destination that accepts three times the demand counted as out.
#[test]
fn idle_connections_are_closed_where_connection_tables_are_small() {
    let mut set = settings();
    set.senders = SENDERS as u32;
    set.classes[0].aim = Micros(5 * S / 2);
    (set.report_left, set.report_limit) = (Some(0), Some(1));
    let list: Vec<Entry> = (0..DESTINATIONS as u16).map(|to| entry(to as u8, to)).collect();
    let seeded = |seed| SenderHarness::seeded(set.clone(), list.clone(), seed);
    let mut fleet: Vec<SenderHarness> = (0..SENDERS as u64).map(seeded).collect();
    let (start, mut table) = (fleet[0].now, ConnectionTables::default());
    let (mut handed_in, mut in_time, mut given_in) = (0, 0, BTreeMap::new());
    // Calls in flight: when each ends, its sender, its message, and whether it was accepted.
    let mut out: Vec<(u64, usize, u64, bool)> = vec![];
    for step in 0..40_000u64 / 5 {
        let now = start + step * 5_000;
        let mut done: Vec<(usize, Vec<Action>)> = vec![];
        for (n, harness) in fleet.iter_mut().enumerate() {
            done.push((n, harness.wait(now.saturating_sub(harness.now))));
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
                table.in_use[to] -= 1;
                table.idle.entry((to, n)).or_default().push(now);
                in_time += usize::from(now < given_in[&id] + 5 * S / 2);
            }
            done.push((n, fleet[n].returns_with_report(id, outcome, report)));
        }
        for (n, actions) in done {
            for endpoint in closed_endpoints(&actions) {
                table.idle.remove(&(endpoint.addr[3].into(), n));
            }
            for id in attempted_ids(&actions) {
                let taken = table.call(now, id as usize % DESTINATIONS, n);
                out.push((now + if taken { SERVICE_MICROS } else { 40_000 }, n, id, taken));
            }
        }
    }
    println!("{in_time} of {handed_in} delivered in time, {} calls refused", table.refused);
    assert!(in_time * 10 > handed_in * 9, "{in_time} of {handed_in} in time");
    assert!(table.refused * 5 < handed_in, "{} refused", table.refused);
}

/// A refusal by the rate limit itself does not shorten the idle timeout: the idle connection stays open.
#[test]
fn a_refusal_by_the_limit_closes_no_idle_connection() {
    let closes_idle_connection = |report: Vec<f32>| {
        let mut set = settings();
        (set.report_left, set.report_limit) = (Some(0), Some(1));
        let mut harness = SenderHarness::new(set, vec![entry(1, 7)]);
        for id in 0..3 {
            harness.demand(id, 7, 0);
            harness.returns_with_report(id, Outcome::Refused(None), report.clone());
            harness.wait(20 * S);
            harness.returns_with_report(id, Outcome::Ok, vec![0.9, 70.0]);
            harness.wait(20 * S);
        }
        // Three messages in three seconds: with an idle timeout of five seconds the connection stays open.
        (10..13).any(|id| {
            harness.demand(id, 7, 0);
            harness.wait(S);
            let closed = closed_endpoints(&harness.returns_with_report(id, Outcome::Ok, vec![0.9, 70.0]));
            id > 10 && !closed.is_empty()
        })
    };
    assert!(closes_idle_connection(vec![]), "no report about the limit: the table is full");
    assert!(!closes_idle_connection(vec![0.0, 70.0]), "the limit is used up");
}
