//! Entries that are truncated, invalid or for another courier are dropped and counted, and do not change the fleet view. A run
//! that handed over its core publishes nothing, and an operator's exclusion outranks all evidence until it ends.

use indigohold::peers::payload::{kinds, GossipPayload};
use indigohold::peers::{cluster, Config, Peers};
use indigohold::shared::counts::Tally;
use indigohold::shared::health::{Basis, Belief, Evidence, Observation};
use indigohold::shared::lease::{Demand, Loan, Start, LIMIT_UNITS};
use indigohold::shared::sharing::{
    DestinationFacts, EndpointFacts, Exchange, Facts, Sharing, SharingSettings,
};
use indigohold::shared::Member;
use indigohold::{EndpointId, Micros};
use std::sync::Arc;

const S: u64 = 1_000_000;

fn entry<T: serde::Serialize>(format: u8, value: &T) -> Vec<u8> {
    postcard::to_allocvec(&(format, value)).unwrap()
}

fn facts(now: Micros) -> Facts {
    let destination = DestinationFacts {
        dest: 7,
        demand: 45.0,
        handed_in: (9, 9),
        limit: Some(50.0),
        calls_sent: 0,
        calls_refused: 0,
    };
    Facts { at: now, tenants: vec![(0, 3)], destinations: vec![destination], ..Facts::default() }
}

#[test]
fn entries_that_are_truncated_invalid_or_for_another_courier_are_dropped_and_counted() {
    let peers = |me| Peers::new(Config::new(cluster(["here"])), Micros(S), me, 2, 1, 3);
    let (mut mine, mut other, exchange) = (peers(0), peers(1), Arc::<Exchange>::default());
    let mut sharing =
        Sharing::new(Micros(S), 0, 1, SharingSettings::exactly(2), Start::Restart, exchange.clone());
    let demand = Demand { units: 9, weight: 1, owned: 0, in_force: 0, lent: 0, stamp_ms: 0 };
    let too_much = Demand { units: LIMIT_UNITS + 1, ..demand };
    let loan = Loan { to: Member(0), units: LIMIT_UNITS / 2, run: 1, stamp_ms: 0, sequence: 1 };
    let tally = Tally { at_ms: 1, requested: 5, refused: 0 };
    let mut truncated = entry(1, &demand);
    truncated.pop();
    let mut extended = entry(1, &demand);
    extended.push(0);
    let invalid = [
        (kinds::DEMAND, 1, truncated),
        (kinds::DEMAND, 2, extended),
        (kinds::DEMAND, 3, entry(2, &demand)),
        (kinds::DEMAND, 4, entry(1, &too_much)),
        (kinds::DEMAND, 70_000, entry(1, &demand)),
        // A loan whose number names another recipient than its value does, and one for another run of this courier.
        (kinds::LOAN, 7 << 16 | 1, entry(1, &loan)),
        (kinds::LOAN, 7 << 16, entry(1, &Loan { run: 9, ..loan })),
        (kinds::COUNTERS, 5, entry(1, &tally)),
        (kinds::COUNTERS, 0, entry(1, &Tally { refused: 6, ..tally })),
        (kinds::EVIDENCE, 1, vec![255; 40]),
    ];
    for (kind, id, value) in &invalid {
        assert!(other.set(Micros(S), *kind, *id, value));
    }
    for now in (S..6 * S).step_by(50_000).map(Micros) {
        exchange.publish_facts(facts(now));
        for (_, bytes) in other.tick(now) {
            mine.receive(now, Some(1), &bytes).unwrap();
        }
        sharing.tick(now, &mut mine);
        for (_, bytes) in mine.tick(now) {
            other.receive(now, Some(0), &bytes).unwrap();
        }
    }
    let dropped = sharing.dropped();
    assert_eq!((dropped.malformed, dropped.foreign, dropped.old), (4, 5, 1), "{dropped:?}");
    let share = exchange.view().unwrap().destination_share(Micros(6 * S), 7).unwrap();
    assert!(share <= 0.5, "no loan was accepted: {share}");
    // This courier's own entries can be decoded, and fit into an entry.
    let own: Vec<_> = other.get(kinds::DEMAND).chain(other.get(kinds::COUNTERS)).collect();
    assert_eq!(own.len(), 2);
    let (format, received): (u8, Demand) = postcard::from_bytes(&own[0].value).unwrap();
    assert_eq!((format, received.units), (1, 9_000_000));
}

/// Guards against two runs that lend the same units: one that has handed over its core publishes nothing more.
#[test]
fn a_run_that_handed_over_its_core_publishes_nothing() {
    let mut peers = Peers::new(Config::new(cluster(["here"])), Micros(S), 0, 2, 1, 3);
    let exchange = Arc::<Exchange>::default();
    let mut sharing =
        Sharing::new(Micros(S), 0, 1, SharingSettings::exactly(2), Start::Restart, exchange.clone());
    let mut run = |exchange: &Exchange, from: u64| {
        (from..from + 5 * S).step_by(100_000).map(Micros).for_each(|now| {
            exchange.publish_facts(facts(now));
            sharing.tick(now, &mut peers);
        });
        exchange.view().unwrap().at
    };
    let last = run(&exchange, S);
    exchange.close();
    assert_eq!(run(&exchange, 6 * S), last);
}

/// Guards against an exclusion that is outranked by evidence of this courier or of peers, and one that has effects after its end.
#[test]
fn an_excluded_endpoint_is_unused_whatever_is_observed_and_free_once_it_is_included_again() {
    let peers = |me| Peers::new(Config::new(cluster(["here"])), Micros(S), me, 3, 1, 3);
    let (mut mine, exchange) = (peers(0), Arc::<Exchange>::default());
    let mut sharing =
        Sharing::new(Micros(S), 0, 1, SharingSettings::exactly(3), Start::Restart, exchange.clone());
    let id = EndpointId { addr: [0, 0, 0, 1], port: 0 };
    let mut others = [peers(1), peers(2)];
    let out = Evidence {
        observation: Observation::Out,
        age_ms: 0,
        valid_ms: 10_000,
        probes: 0,
        since_probe_ms: None,
    };
    for other in &mut others {
        let evidence = entry(1, &(5u64, out));
        assert!(other.set(Micros(S), kinds::EVIDENCE, 5, &evidence));
    }
    let mut run = |from: u64, observation, observed_at, excluded: Arc<[u64]>| {
        for now in (from..from + 3 * S).step_by(50_000).map(Micros) {
            let endpoint = EndpointFacts {
                id,
                name: 5,
                observation,
                observed_at: Micros(observed_at),
                retry_at: now,
                probed_at: Micros(0),
            };
            exchange.publish_facts(Facts {
                endpoints: vec![endpoint],
                excluded: excluded.clone(),
                ..facts(now)
            });
            for (i, other) in others.iter_mut().enumerate() {
                for (_, bytes) in other.tick(now) {
                    mine.receive(now, Some(i as u16 + 1), &bytes).unwrap();
                }
            }
            sharing.tick(now, &mut mine);
        }
        let (beliefs, now) = (exchange.view().unwrap(), Micros(from + 3 * S));
        (beliefs.endpoints.get(&id).map(|e| e.assessment), beliefs.excludes(now, id), sharing.figures(now))
    };
    let (assessment, ..) = run(S, Some(Observation::Served), S, Arc::default());
    assert_eq!(assessment, None, "served here: nothing is known against it");
    let (assessment, excluded, figures) = run(4 * S, Some(Observation::Served), 4 * S, [5, 9].into());
    let assessment = assessment.unwrap();
    assert_eq!((assessment.belief, assessment.basis, excluded), (Belief::Banned, Basis::Hand, true));
    assert_eq!(figures["banned"], 2);
    // It failed here while it was excluded; including it again discards that observation.
    assert!(run(7 * S, Some(Observation::Out), 7 * S, [5].into()).1);
    let (assessment, excluded, _) = run(13 * S, Some(Observation::Out), 7 * S, Arc::default());
    assert_eq!((assessment, excluded), (None, false));
}
