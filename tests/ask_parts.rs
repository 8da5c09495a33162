//! Questions to the whole fleet, in virtual time: which pieces are accepted, which parts are missing and why, and how latencies are
//! learnt and shared between couriers.

use hdrhistogram::Histogram;
use indigohold::ask::*;
use indigohold::Micros;
use quickcheck::quickcheck;

const ME: CourierId = CourierId(0);

fn ms(ms: u64) -> Micros {
    Micros(ms * 1_000)
}

fn part(courier: u16) -> Part {
    Part { courier: CourierId(courier), incarnation: 1, weight: Some(1.0), presence: Presence::Present }
}

fn piece(courier: u16, incarnation: u64, number: u8, last: bool) -> Piece {
    Piece { courier: CourierId(courier), incarnation, number, last, figure: 10, settles: false }
}

fn new_coordinator() -> Coordinator {
    Coordinator::new(AskConfig::default(), ME, 5)
}

/// Advances the time from decision to decision until the question ends.
fn wait_for_end(coordinator: &mut Coordinator, mut now: Micros, id: QuestionId) -> Answer {
    loop {
        match coordinator.decide(now, id).unwrap() {
            Decision::Ended(answer) => return *answer,
            Decision::Wait(again) => now = again,
        }
    }
}

fn reasons(answer: &Answer) -> Vec<(u16, MissingReason)> {
    answer.missing.iter().map(|m| (m.courier.0, m.reason)).collect()
}

#[test]
fn pieces_are_accepted_once_in_any_order_and_only_from_couriers_that_were_asked() {
    let mut coordinator = new_coordinator();
    let id = coordinator.ask(ms(0), Kind::History, 1, &[part(1), part(2)]).unwrap();
    let record = |coordinator: &mut Coordinator, piece: &Piece| coordinator.record_piece(ms(3), id, piece);
    assert_eq!(record(&mut coordinator, &piece(1, 1, 2, true)), PieceOutcome::New);
    assert_eq!(record(&mut coordinator, &piece(1, 1, 0, false)), PieceOutcome::New);
    assert_eq!(record(&mut coordinator, &piece(1, 1, 0, false)), PieceOutcome::Duplicate);
    assert_eq!(
        record(&mut coordinator, &piece(1, 1, 3, false)),
        PieceOutcome::Invalid,
        "after the last piece"
    );
    assert_eq!(record(&mut coordinator, &piece(1, 1, 64, false)), PieceOutcome::Invalid);
    assert_eq!(record(&mut coordinator, &piece(9, 1, 0, true)), PieceOutcome::Invalid, "was not asked");
    assert!(matches!(coordinator.decide(ms(3), id), Some(Decision::Wait(_))), "a piece is still missing");
    assert_eq!(record(&mut coordinator, &piece(1, 1, 1, false)), PieceOutcome::New);
    assert_eq!(
        record(&mut coordinator, &piece(1, 1, 1, false)),
        PieceOutcome::Duplicate,
        "the part is complete"
    );
    let previous_run = QuestionId { incarnation: 4, ..id };
    assert_eq!(
        coordinator.record_piece(ms(3), previous_run, &piece(2, 1, 0, true)),
        PieceOutcome::UnknownQuestion,
        "a question of a previous run"
    );
    assert_eq!(record(&mut coordinator, &piece(2, 1, 0, false)), PieceOutcome::New);
    let answer = wait_for_end(&mut coordinator, ms(3), id);
    assert_eq!((answer.figure, answer.share, reasons(&answer)), (40, 0.5, vec![(2, MissingReason::Late)]));
    assert!(answer.missing[0].partial && !answer.complete);
    assert_eq!(coordinator.decide(ms(9_000), id), None, "a question ends only once");
    assert_eq!(record(&mut coordinator, &piece(2, 1, 1, true)), PieceOutcome::Late);
    assert_eq!(
        (coordinator.counts().duplicates, coordinator.counts().late, coordinator.counts().dropped),
        (2, 1, 4)
    );
}

#[test]
fn a_courier_that_restarts_is_asked_again_and_its_earlier_pieces_are_discarded() {
    let mut coordinator = new_coordinator();
    let id = coordinator.ask(ms(0), Kind::Held, 0, &[part(1), part(2)]).unwrap();
    coordinator.record_piece(ms(1), id, &piece(1, 1, 0, false));
    assert_eq!(coordinator.courier_restarted(ms(2), CourierId(1), 2), [id]);
    assert_eq!(coordinator.courier_restarted(ms(2), CourierId(1), 2), [], "once for each incarnation");
    assert_eq!(coordinator.record_piece(ms(2), id, &piece(1, 1, 1, true)), PieceOutcome::OldIncarnation);
    assert_eq!(
        coordinator.record_piece(ms(3), id, &piece(1, 3, 0, true)),
        PieceOutcome::New,
        "an incarnation that was not announced"
    );
    coordinator.record_piece(ms(3), id, &piece(2, 1, 0, false));
    assert_eq!(coordinator.record_piece(ms(4), id, &piece(2, 2, 0, true)), PieceOutcome::NewAfterRestart);
    let answer = wait_for_end(&mut coordinator, ms(4), id);
    assert_eq!((answer.complete, answer.figure), (true, 20));
    let id = coordinator.ask(ms(0), Kind::Held, 0, &[part(1)]).unwrap();
    let again: Vec<usize> = (2..6)
        .map(|incarnation| coordinator.courier_restarted(ms(2), CourierId(1), incarnation).len())
        .collect();
    assert_eq!(again, [1, 1, 0, 0], "the number of asks is limited");
    assert_eq!(reasons(&wait_for_end(&mut coordinator, ms(3), id)), [(1, MissingReason::Restarted)]);
}

#[test]
fn missing_parts_have_a_reason_and_the_previous_figure() {
    let mut coordinator = new_coordinator();
    let fleet: Vec<Part> = (1..=4).map(part).collect();
    let id = coordinator.ask(ms(0), Kind::Where, 77, &fleet).unwrap();
    (1..=4).for_each(|c| {
        assert_eq!(coordinator.record_piece(ms(2), id, &piece(c, 1, 0, true)), PieceOutcome::New)
    });
    assert!(wait_for_end(&mut coordinator, ms(2), id).complete);
    let mut fleet = fleet;
    (fleet[0].presence, fleet[3].presence) = (Presence::Away, Presence::Unknown);
    let id = coordinator.ask(ms(60_000), Kind::Where, 77, &fleet).unwrap();
    coordinator.record_refusal(id, CourierId(2));
    coordinator.mark_away(ms(60_001), CourierId(3));
    let answer = wait_for_end(&mut coordinator, ms(60_001), id);
    let expected = [
        (1, MissingReason::Away),
        (2, MissingReason::Refused),
        (3, MissingReason::Away),
        (4, MissingReason::Unknown),
    ];
    assert_eq!(reasons(&answer), expected);
    assert!(answer.missing.iter().all(|m| m.previous.is_some_and(|b| b.figure == 10 && b.age >= ms(59_000))));
    let other = coordinator.ask(ms(90_000), Kind::Where, 78, &fleet[..1]).unwrap();
    assert_eq!(
        wait_for_end(&mut coordinator, ms(90_000), other).missing[0].previous,
        None,
        "another channel has no previous figure"
    );
}

#[test]
fn a_settling_piece_ends_the_question_and_limits_hold() {
    let mut coordinator = new_coordinator();
    let fleet: Vec<Part> = (1..=40).map(part).collect();
    let id = coordinator.ask(ms(0), Kind::Where, 0, &fleet).unwrap();
    coordinator.record_piece(ms(1), id, &Piece { settles: true, ..piece(7, 1, 0, true) });
    let answer = wait_for_end(&mut coordinator, ms(1), id);
    assert!(answer.complete && answer.elapsed == ms(1));
    for _ in 0..16 {
        coordinator.ask(ms(2), Kind::Where, 0, &fleet).unwrap();
    }
    assert_eq!(coordinator.ask(ms(2), Kind::Where, 0, &fleet), Err(AskError::TooManyQuestions));
    assert_eq!(
        Coordinator::new(AskConfig::default(), ME, 1).ask(ms(0), Kind::Held, 0, &[]),
        Err(AskError::FleetSize)
    );
    let many: Vec<Part> = (1..=1_025).map(part).collect();
    assert_eq!(
        Coordinator::new(AskConfig::default(), ME, 1).ask(ms(0), Kind::Held, 0, &many),
        Err(AskError::FleetSize)
    );
}

/// Where all remaining weight belongs to couriers known to be away, nothing is waited for; a part with nearly all of the weight is
/// waited for longer than a light one.
#[test]
fn the_wait_depends_on_weights_and_an_asker_without_majority_reports_it() {
    let ask = |weight: f64, presence: Presence| {
        let mut coordinator = new_coordinator();
        let mut fleet: Vec<Part> = (1..=40).map(part).collect();
        (fleet[0].weight, fleet[0].presence) = (Some(weight), Presence::Present);
        fleet[13..].iter_mut().for_each(|p| p.presence = presence);
        let id = coordinator.ask(ms(0), Kind::Held, 0, &fleet).unwrap();
        (2..=13).for_each(|c| {
            assert_eq!(coordinator.record_piece(ms(1), id, &piece(c, 1, 0, true)), PieceOutcome::New)
        });
        let answer = wait_for_end(&mut coordinator, ms(1), id);
        (answer.elapsed, answer.majority)
    };
    let (none, light, heavy) =
        (ask(0.0, Presence::Away), ask(0.5, Presence::Away), ask(500.0, Presence::Away));
    assert!(
        none.0 == ms(1) && none.0 <= light.0 && light.0 < heavy.0 && heavy.0 <= ms(2_000),
        "{light:?} {heavy:?}"
    );
    assert!(!none.1 && ask(0.0, Presence::Present).1, "14 of 41 are no majority");
}

/// Without decay of evidence, a courier that did not answer for a long time and whose connection is closed at the end of each
/// question would never be waited for again, although it answers by now.
#[test]
fn a_courier_that_is_no_longer_waited_for_is_tried_again() {
    let answers_received = |memory: f64| {
        let mut config = AskConfig::default();
        (config.latency_memory.answers, config.latency_memory.linger) = (memory, ms(0));
        config.answer_values.iter_mut().for_each(|w| w.cost_per_ms = 0.000_5);
        let mut coordinator = Coordinator::new(config, ME, 1);
        let fleet: Vec<Part> = (1..=10).map(part).collect();
        let mut received = 0;
        for n in 0..500u64 {
            let (start, recovered) = (ms(n * 10_000), n >= 400);
            let id = coordinator.ask(start, Kind::Held, 0, &fleet).unwrap();
            let mut now = start;
            while let Decision::Wait(again) = coordinator.decide(now, id).unwrap() {
                let next = again.min(start + ms(if again <= start + ms(4) { 4 } else { 40 }));
                now = if next > now { next } else { again };
                if now == start + ms(4) {
                    (2..=10).for_each(|c| {
                        assert_eq!(
                            coordinator.record_piece(now, id, &piece(c, 1, 0, true)),
                            PieceOutcome::New
                        )
                    });
                }
                if now == start + ms(40) && recovered {
                    received += u32::from(
                        coordinator.record_piece(now, id, &piece(1, 1, 0, true)) == PieceOutcome::New,
                    );
                }
            }
        }
        received
    };
    let (decaying, lasting) = (answers_received(32.0), answers_received(10_000.0));
    assert!(decaying > 60 && lasting < decaying / 2, "{decaying} {lasting} of 100");
}

#[test]
fn silences_are_evidence_and_quantiles_agree_with_hdrhistogram() {
    let mut latency = LatencyModel::new(&AskConfig::default());
    let (mut histogram, mut random) = (Histogram::<u64>::new(3).unwrap(), 1u64);
    for n in 0..400 {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let at = Micros(5_000 + (random >> 40) % 60_000);
        latency.record_answer(Micros(n), Kind::Held, CourierId(n as u16 % 40), Micros(0), at);
        histogram.record(at.0).unwrap();
    }
    let pool = latency.pooled_curve(Micros(400), Kind::Held);
    for share in [0.25, 0.5, 0.75, 0.9] {
        let (learnt, measured) =
            (pool.quantile(share).unwrap().0 as f64, histogram.value_at_quantile(share) as f64);
        assert!((learnt / measured).ln().abs() < 0.25, "{share}: {learnt} {measured}");
    }
    // As many silences of 100 ms as answers: by the end of the answers half of all questions have been answered.
    for n in 0..400 {
        latency.record_silence(Micros(400), Kind::Held, CourierId(n % 40), Micros(0), ms(100));
    }
    let pool = latency.pooled_curve(Micros(400), Kind::Held);
    let answered = 1.0 - (-pool.cumulative_rate(ms(80))).exp();
    assert!((0.35..0.65).contains(&answered), "{answered}");
}

#[test]
fn a_courier_that_has_just_started_uses_latencies_measured_by_others() {
    let mut experienced = LatencyModel::new(&AskConfig::default());
    for n in 0..400u64 {
        let courier = CourierId(n as u16 % 40);
        let at = if courier == CourierId(3) { ms(400) } else { ms(8) };
        match courier {
            CourierId(4) => experienced.record_silence(Micros(n), Kind::Held, courier, Micros(0), ms(16_000)),
            _ => experienced.record_answer(Micros(n), Kind::Held, courier, Micros(0), at),
        }
    }
    let (now, entry) = (Micros(400), experienced.encode_entry(Micros(400), Kind::Held).unwrap());
    assert_eq!(experienced.encode_entry(now, Kind::History), None);
    let mut fresh = LatencyModel::new(&AskConfig::default());
    assert_eq!(fresh.merge_entry(now, CourierId(1), 1, 2, &entry), Ok(Kind::Held));
    let answered_by = |courier: u16, latency: Micros| {
        let curve =
            fresh.courier_curve(now, Kind::Held, CourierId(courier), &fresh.pooled_curve(now, Kind::Held));
        1.0 - (-curve.cumulative_rate(latency)).exp()
    };
    assert!(
        answered_by(9, ms(12)) > 0.75 && answered_by(9, ms(5)) < 0.2,
        "{} {}",
        answered_by(9, ms(12)),
        answered_by(9, ms(5))
    );
    assert!(
        answered_by(3, ms(200)) < 0.3 && answered_by(3, ms(800)) > 0.6,
        "{} {}",
        answered_by(3, ms(200)),
        answered_by(3, ms(800))
    );
    assert!(answered_by(4, ms(1_000)) < 0.5, "{}", answered_by(4, ms(1_000)));
    assert_eq!(fresh.encode_entry(now, Kind::Held), None, "received entries are not forwarded");
    assert_eq!(fresh.merge_entry(now, CourierId(1), 1, 2, &entry), Err(EntryError::Outdated));
    assert_eq!(fresh.merge_entry(now, CourierId(1), 2, 1, &entry), Ok(Kind::Held), "a later incarnation");
    let mut newer = entry;
    newer[0] = 2;
    assert_eq!(fresh.merge_entry(now, CourierId(1), 3, 1, &newer), Err(EntryError::UnknownVersion));
    assert_eq!(fresh.merge_entry(now, CourierId(1), 3, 1, &entry[..47]), Err(EntryError::Malformed));
}

quickcheck! {
    fn arbitrary_entries_and_times_keep_rates_finite(bytes: Vec<u8>, versions: (u64, u64), times: Vec<u64>) -> bool {
        let mut latency = LatencyModel::new(&AskConfig::default());
        let mut valid = bytes.clone();
        valid.resize(ENTRY_BYTES, 0);
        (valid[0], valid[1], valid[2], valid[3], valid[47]) = (1, valid[1] % 5, valid[2].max(1), valid[3] % 10, 0);
        let _ = latency.merge_entry(Micros(0), ME, versions.0, versions.1, &bytes);
        let merged = latency.merge_entry(Micros(0), CourierId(9), versions.0, versions.1, &valid);
        for pair in times.windows(2) {
            latency.record_silence(Micros(pair[0]), Kind::Held, ME, Micros(pair[0]), Micros(pair[1]));
            latency.record_answer(Micros(pair[1]), Kind::Held, ME, Micros(pair[0]), Micros(pair[1]));
        }
        Kind::ALL.iter().all(|(_, kind)| {
            let curve = latency.courier_curve(Micros(1), *kind, ME, &latency.pooled_curve(Micros(1), *kind));
            (0..BUCKETS).all(|b| curve.rate(b).is_finite() && curve.rate(b) >= 0.0)
        }) && merged.is_ok()
    }
}
