//! What the rider makes of entries that are cut, foreign or not for it: dropped, counted, and nothing believed.

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

fn entry<T: serde::Serialize>(form: u8, value: &T) -> Vec<u8> {
    postcard::to_allocvec(&(form, value)).unwrap()
}

fn facts(now: Micros) -> Facts {
    let of = DestinationFacts {
        dest: 7,
        demand: 45.0,
        handed_in: (9, 9),
        limit: Some(50.0),
        calls_sent: 0,
        calls_refused: 0,
    };
    Facts { at: now, tenants: vec![(0, 3)], destinations: vec![of], ..Facts::default() }
}

#[test]
fn what_is_cut_foreign_or_not_for_this_courier_is_dropped_and_counted() {
    let peers = |me| Peers::new(Config::new(cluster(["here"])), Micros(S), me, 2, 1, 3);
    let (mut mine, mut other, desk) = (peers(0), peers(1), Arc::<Exchange>::default());
    let mut rider = Sharing::new(Micros(S), 0, 1, SharingSettings::exactly(2), Start::Restart, desk.clone());
    let demand = Demand { units: 9, weight: 1, owned: 0, in_force: 0, lent: 0, stamp_ms: 0 };
    let too_much = Demand { units: LIMIT_UNITS + 1, ..demand };
    let loan = Loan { to: Member(0), units: LIMIT_UNITS / 2, run: 1, stamp_ms: 0, sequence: 1 };
    let tally = Tally { at_ms: 1, requested: 5, refused: 0 };
    let mut cut = entry(1, &demand);
    cut.pop();
    let mut longer = entry(1, &demand);
    longer.push(0);
    let said = [
        (kinds::DEMAND, 1, cut),
        (kinds::DEMAND, 2, longer),
        (kinds::DEMAND, 3, entry(2, &demand)),
        (kinds::DEMAND, 4, entry(1, &too_much)),
        (kinds::DEMAND, 70_000, entry(1, &demand)),
        // Its number names another receiver than it does; and one that another life of this courier asked for.
        (kinds::LOAN, 7 << 16 | 1, entry(1, &loan)),
        (kinds::LOAN, 7 << 16, entry(1, &Loan { run: 9, ..loan })),
        (kinds::COUNTERS, 5, entry(1, &tally)),
        (kinds::COUNTERS, 0, entry(1, &Tally { refused: 6, ..tally })),
        (kinds::EVIDENCE, 1, vec![255; 40]),
    ];
    for (kind, id, value) in &said {
        assert!(other.set(Micros(S), *kind, *id, value));
    }
    for now in (S..6 * S).step_by(50_000).map(Micros) {
        desk.publish_facts(facts(now));
        for (_, bytes) in other.tick(now) {
            mine.receive(now, Some(1), &bytes).unwrap();
        }
        rider.tick(now, &mut mine);
        for (_, bytes) in mine.tick(now) {
            other.receive(now, Some(0), &bytes).unwrap();
        }
    }
    let dropped = rider.dropped();
    assert_eq!((dropped.malformed, dropped.foreign, dropped.old), (4, 5, 1), "{dropped:?}");
    let share = desk.view().unwrap().destination_share(Micros(6 * S), 7).unwrap();
    assert!(share <= 0.5, "no loan was taken: {share}");
    // What this courier says itself can be read, and is no longer than an entry may be.
    let own: Vec<_> = other.get(kinds::DEMAND).chain(other.get(kinds::COUNTERS)).collect();
    assert_eq!(own.len(), 2);
    let (form, heard): (u8, Demand) = postcard::from_bytes(&own[0].value).unwrap();
    assert_eq!((form, heard.units), (1, 9_000_000));
}

/// Guards against two lives that lend the same: one that has passed its core on says nothing more.
#[test]
fn a_life_that_has_passed_its_core_on_is_silent() {
    let mut peers = Peers::new(Config::new(cluster(["here"])), Micros(S), 0, 2, 1, 3);
    let desk = Arc::<Exchange>::default();
    let mut rider = Sharing::new(Micros(S), 0, 1, SharingSettings::exactly(2), Start::Restart, desk.clone());
    let mut run = |desk: &Exchange, from: u64| {
        (from..from + 5 * S).step_by(100_000).map(Micros).for_each(|now| {
            desk.publish_facts(facts(now));
            rider.tick(now, &mut peers);
        });
        desk.view().unwrap().at
    };
    let last = run(&desk, S);
    desk.close();
    assert_eq!(run(&desk, 6 * S), last);
}

/// Guards against an operator's word that evidence outranks, here or elsewhere, and against one that lasts beyond its end.
#[test]
fn what_is_taken_out_by_hand_is_out_whatever_is_seen_and_free_once_it_is_put_back() {
    let peers = |me| Peers::new(Config::new(cluster(["here"])), Micros(S), me, 3, 1, 3);
    let (mut mine, desk) = (peers(0), Arc::<Exchange>::default());
    let mut rider = Sharing::new(Micros(S), 0, 1, SharingSettings::exactly(3), Start::Restart, desk.clone());
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
        let said = entry(1, &(5u64, out));
        assert!(other.set(Micros(S), kinds::EVIDENCE, 5, &said));
    }
    let mut run = |from: u64, saw, seen, banned: Arc<[u64]>| {
        for now in (from..from + 3 * S).step_by(50_000).map(Micros) {
            let of = EndpointFacts {
                id,
                name: 5,
                observation: saw,
                observed_at: Micros(seen),
                retry_at: now,
                probed_at: Micros(0),
            };
            desk.publish_facts(Facts { endpoints: vec![of], excluded: banned.clone(), ..facts(now) });
            for (i, other) in others.iter_mut().enumerate() {
                for (_, bytes) in other.tick(now) {
                    mine.receive(now, Some(i as u16 + 1), &bytes).unwrap();
                }
            }
            rider.tick(now, &mut mine);
        }
        let (beliefs, now) = (desk.view().unwrap(), Micros(from + 3 * S));
        (beliefs.endpoints.get(&id).map(|e| e.assessment), beliefs.excludes(now, id), rider.figures(now))
    };
    let (judged, ..) = run(S, Some(Observation::Served), S, Arc::default());
    assert_eq!(judged, None, "served here: nothing is held against it");
    let (judged, keeps, figures) = run(4 * S, Some(Observation::Served), 4 * S, [5, 9].into());
    let judged = judged.unwrap();
    assert_eq!((judged.belief, judged.basis, keeps), (Belief::Banned, Basis::Hand, true));
    assert_eq!(figures["banned"], 2);
    // It has failed here while it was out; the operators know better once it is back.
    assert!(run(7 * S, Some(Observation::Out), 7 * S, [5].into()).1);
    let (judged, keeps, _) = run(13 * S, Some(Observation::Out), 7 * S, Arc::default());
    assert_eq!((judged, keeps), (None, false));
}
