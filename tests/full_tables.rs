//! Endpoints that accept few connections, and many senders with little traffic each: an idle connection of one
//! sender takes a place in the endpoint's connection table that another sender needs.

mod common;
use common::*;
use indigohold::*;
use std::collections::BTreeMap;

const SENDERS: usize = 40;
const DESTINATIONS: usize = 3;
const MAX_CONNECTIONS: usize = 13;
const SERVICE_MICROS: u64 = 150_000;
/// Connections are closed after this idle time.
const IDLE_TIMEOUT_MICROS: u64 = 12 * S;

/// Connection tables of endpoints, one for each destination. Each endpoint has a rate limit far above the traffic
/// sent to it, but accepts only `MAX_CONNECTIONS` connections. A refusal because the table is full says nothing
/// about the rate limit.
#[derive(Default)]
struct ConnectionTables {
    /// Since when connections have been idle, by destination and sender.
    idle: BTreeMap<(usize, usize), Vec<u64>>,
    in_use: [usize; DESTINATIONS],
    refused: usize,
}

impl ConnectionTables {
    fn open_connections(&self, now: u64, destination: usize) -> usize {
        let idle =
            self.idle.range((destination, 0)..(destination + 1, 0)).flat_map(|(_, connections)| connections);
        self.in_use[destination] + idle.filter(|since| **since + IDLE_TIMEOUT_MICROS > now).count()
    }

    /// Whether the call is accepted: over the sender's idle connection, or over a new one if the table has
    /// room.
    fn call(&mut self, now: u64, destination: usize, sender: usize) -> bool {
        let idle = self.idle.entry((destination, sender)).or_default();
        idle.retain(|since| *since + IDLE_TIMEOUT_MICROS > now);
        let accepted = idle.pop().is_some() || self.open_connections(now, destination) < MAX_CONNECTIONS;
        self.in_use[destination] += usize::from(accepted);
        self.refused += usize::from(!accepted);
        accepted
    }
}

fn closed_endpoints(actions: &[Action]) -> Vec<EndpointId> {
    let closed = |action: &Action| match action {
        Action::CloseIdleConnections(endpoint) => Some(*endpoint),
        _ => None,
    };
    actions.iter().filter_map(closed).collect()
}

/// Guards against a fleet whose idle connections shut out its own calls: each refusal was taken for one by the
/// rate limit, the send rate fell, and a destination that accepts three times the demand counted as unavailable.
#[test]
fn idle_connections_are_closed_where_connection_tables_are_small() {
    let mut settings = settings();
    settings.senders = SENDERS as u32;
    settings.classes[0].aim = Micros(5 * S / 2);
    (settings.report_left, settings.report_limit) = (Some(0), Some(1));
    let list: Vec<Entry> = (0..DESTINATIONS as u16).map(|number| entry(number as u8, number)).collect();
    let seeded = |seed| SenderHarness::seeded(settings.clone(), list.clone(), seed);
    let mut fleet: Vec<SenderHarness> = (0..SENDERS as u64).map(seeded).collect();
    let (start, mut tables) = (fleet[0].now, ConnectionTables::default());
    let (mut submitted, mut in_time, mut submitted_at) = (0, 0, BTreeMap::new());
    // Calls in flight: when each ends, its sender, its message, and whether it was accepted.
    let mut in_flight: Vec<(u64, usize, u64, bool)> = vec![];
    for step in 0..40_000u64 / 5 {
        let now = start + step * 5_000;
        let mut actions_by_sender: Vec<(usize, Vec<Action>)> = vec![];
        for (sender, harness) in fleet.iter_mut().enumerate() {
            actions_by_sender.push((sender, harness.wait(now.saturating_sub(harness.now))));
        }
        // 24 messages a second, 0.6 from each sender.
        if step * 24 / 200 != (step + 1) * 24 / 200 {
            let sender = submitted * 17 % SENDERS;
            submitted += 1;
            submitted_at.insert(submitted as u64, now);
            actions_by_sender
                .push((sender, fleet[sender].demand(submitted as u64, (submitted % DESTINATIONS) as u16, 0)));
        }
        let (ended, remaining): (Vec<_>, Vec<_>) = in_flight.into_iter().partition(|call| call.0 <= now);
        in_flight = remaining;
        for (_, sender, id, accepted) in ended {
            let (outcome, report) = match accepted {
                true => (Outcome::Ok, vec![0.9, 70.0]),
                false => (Outcome::Refused(None), vec![]),
            };
            if accepted {
                let destination = id as usize % DESTINATIONS;
                tables.in_use[destination] -= 1;
                tables.idle.entry((destination, sender)).or_default().push(now);
                in_time += usize::from(now < submitted_at[&id] + 5 * S / 2);
            }
            actions_by_sender.push((sender, fleet[sender].returns_with_report(id, outcome, report)));
        }
        for (sender, actions) in actions_by_sender {
            for endpoint in closed_endpoints(&actions) {
                tables.idle.remove(&(endpoint.addr[3].into(), sender));
            }
            for id in attempted_ids(&actions) {
                let accepted = tables.call(now, id as usize % DESTINATIONS, sender);
                in_flight.push((now + if accepted { SERVICE_MICROS } else { 40_000 }, sender, id, accepted));
            }
        }
    }
    println!("{in_time} of {submitted} delivered in time, {} calls refused", tables.refused);
    assert!(in_time * 10 > submitted * 9, "{in_time} of {submitted} delivered in time");
    assert!(tables.refused * 5 < submitted, "{} calls refused", tables.refused);
}

/// Guards against shortening the idle timeout after a refusal by the rate limit itself: the idle connection stays open.
#[test]
fn a_refusal_by_the_rate_limit_closes_no_idle_connection() {
    let closes_idle_connection = |report: Vec<f32>| {
        let mut settings = settings();
        (settings.report_left, settings.report_limit) = (Some(0), Some(1));
        let mut harness = SenderHarness::new(settings, vec![entry(1, 7)]);
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
    assert!(closes_idle_connection(vec![]), "no report about the limit: the table must be full");
    assert!(!closes_idle_connection(vec![0.0, 70.0]), "the report says that the limit is used up");
}
