//! Entries that couriers share, in virtual time: dropped ones, late ones, bounds, and what asks for them cost.

#[path = "support/notes.rs"]
mod notes;

use indigohold::peers::MemberStatus;
use notes::{Net, S};

/// Guards against dropped entries that live on at one who was away for longer than tombstones last, also where parts of the
/// sweep are lost; and against more own entries than the bound.
#[test]
fn what_was_dropped_is_gone_at_all() {
    for seed in 0..8 {
        let mut net = Net::new(3, seed, |_| {});
        for id in 0..60 {
            net.at(0, |p, now| assert!(p.set(now, 4, id, &[1; 40])));
        }
        net.run(60 * S);
        assert_eq!(net.view(2).kind(4).count(), 60);
        net.link = Box::new(|a, b| a != 2 && b != 2);
        for id in 0..40 {
            net.at(0, |p, now| p.remove(now, 4, id));
            net.run(S);
        }
        net.link = Box::new(|_, _| true);
        net.spoil = (40, 10);
        let left = |net: &Net, i| net.view(i).kind(4).count();
        let done = net.until(net.now + 120 * S, |n| left(n, 1) == 20 && left(n, 2) == 20);
        assert!(done, "{} are left, seed {seed}", left(&net, 2));
        let full = net.at(0, |p, now| (0..100).filter(|id| p.set(now, 5, *id, b"x")).count());
        assert_eq!(full, 44);
        net.at(0, |p, now| assert!(!p.set(now, 0, 0, &[0; 49])));
    }
}

/// Guards against a note that was held up somewhere and makes old figures, and its sender, seem young.
#[test]
fn a_late_note_is_as_old_as_it_is() {
    let mut net = Net::new(3, 4, |_| {});
    net.run(5 * S);
    net.link = Box::new(|a, _| a != 0);
    net.at(0, |p, now| assert!(p.set(now, 1, 1, b"held up")));
    net.seen.clear();
    net.run(S);
    let held: Vec<_> = net.seen.iter().filter(|(from, ..)| *from == 0).cloned().collect();
    net.run(20 * S);
    for (_, _, bytes) in held {
        net.at(1, |p, now| assert_eq!(p.receive(now, Some(0), &bytes), Ok(())));
    }
    let (view, now) = (net.view(1), net.local(1));
    let ages: Vec<_> = view.kind(1).map(|s| (now - s.set_at).secs()).collect();
    assert!(ages.len() == 1 && ages[0] > 20.0 && ages[0] < 21.8, "{ages:?}");
    assert_eq!(view.members[0].standing, MemberStatus::Down);
    assert!(view.counts.late > 0);
}

/// Guards against a storm of answers to a storm of asks, and against an asker that is never answered.
#[test]
fn asks_are_answered_within_the_budget() {
    use indigohold::peers::{cluster, codec, Config, Peers, Recipient};
    let config = Config { bytes_per_message: 0.0, ..Config::new(cluster(["here"])) };
    let mut peers = Peers::new(config, indigohold::Micros(0), 0, 40, 1, 6);
    for id in 0..60 {
        assert!(peers.set(indigohold::Micros(0), 1, id, &[1; 40]));
    }
    let (mut bytes, mut answered) = (0, std::collections::BTreeSet::new());
    for tenth in 0..1_200u64 {
        let now = indigohold::Micros(tenth * 100_000);
        for from in (1..40).filter(|_| tenth > 300) {
            let asks = vec![codec::EntryRequest { owner: 0, incarnation: 1, have: 0, sweep: (0, 0) }];
            let note = codec::GossipMessage {
                from,
                incarnation: 1,
                at: tenth * 100,
                next: 20,
                asks,
                ..Default::default()
            };
            let note = codec::encode(cluster(["here"]), &note).expect("it is short");
            assert_eq!(peers.receive(now, Some(from), &note), Ok(()));
        }
        for (to, note) in peers.tick(now) {
            bytes += note.len() * if to == Recipient::All { 39 } else { 1 };
            answered.extend(match to {
                Recipient::One(one) => Some(one),
                Recipient::All => None,
            });
        }
    }
    let floor = 112.0 * 39.0 / peers.beat_interval().secs();
    assert!(
        bytes as f64 <= 1.5 * floor * 120.0 + 3.0 * floor,
        "{bytes} bytes in 120 s, the floor is {floor} a second"
    );
    assert_eq!(answered.len(), 39);
}

/// Guards against more being held than the bound, and against urgent kinds going first.
#[test]
fn room_is_kept_by_giving_up_the_least_urgent() {
    let mut net = Net::new(10, 2, |c| c.max_peer_entries = 100);
    for id in 0..15 {
        for i in 0..10 {
            net.at(i, |p, now| assert!(p.set(now, if id < 5 { 1 } else { 200 }, id, b"some")));
        }
    }
    net.run(60 * S);
    for i in 0..10 {
        let view = net.view(i);
        assert!(view.entries.len() <= 100 && view.counts.given_up > 0);
        assert_eq!(view.kind(1).count(), 45, "the urgent ones stay");
    }
}

/// Guards against one damaged or mad note that silences a member for ever: nobody would believe a number above it.
#[test]
fn a_life_that_nobody_can_have_reached_takes_over_no_member() {
    use indigohold::peers::codec::{encode, GossipMessage, MemberDigest};
    let mut net = Net::new(2, 8, |_| {});
    let word = |incarnation, at| {
        let tops = vec![MemberDigest { owner: 0, incarnation, top: 0, stamp: 1, age: 0 }];
        let note = GossipMessage { from: 1, incarnation: 9, at, next: 20, tops, ..GossipMessage::default() };
        encode(indigohold::peers::cluster(["here"]), &note).expect("it is short")
    };
    for (incarnation, over) in [(u64::MAX, None), (1 << 30, None), (70, Some(70))] {
        net.at(0, |p, now| {
            assert!(p.receive(now, Some(1), &word(incarnation, incarnation % 100)).is_ok());
            assert_eq!(p.superseded(), over);
        });
    }
}

/// Guards against panics and growth without bound on sound notes with unsound content.
#[test]
fn wild_notes_change_nothing_beyond_bounds() {
    use indigohold::peers::codec::{
        encode, DirectAck, DirectPayload, DirectUpdate, EntryBlock, EntryItem, EntryRequest, GossipMessage,
        MemberDigest,
    };
    use rand_core::{RngCore, SeedableRng};
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut net = Net::new(4, 8, |c| c.max_peer_entries = 90);
    let fleet = indigohold::peers::cluster(["here"]);
    for round in 0..20_000u64 {
        let mut wild = || match rng.next_u32() % 4 {
            0 => rng.next_u64(),
            1 => u64::MAX - u64::from(rng.next_u32() % 3),
            _ => u64::from(rng.next_u32() % 9),
        };
        let (owner, incarnation) = (wild() as u16, wild());
        let (from, many) = (wild(), wild() % 6);
        let value = |step| (step % 3 > 0).then(|| vec![1; step as usize]);
        let items = (1..many + 1).map(|step| EntryItem {
            kind: wild() as u8,
            id: wild() as u32,
            step,
            age: wild() as u32,
            value: value(step),
        });
        let items = items.collect();
        let to = from.saturating_add(many);
        let note = GossipMessage {
            from: wild() as u16 % 6,
            incarnation: wild(),
            at: wild(),
            next: wild() as u16,
            top: wild(),
            tops: vec![MemberDigest { owner, incarnation, top: wild(), stamp: wild(), age: wild() as u32 }],
            asks: vec![EntryRequest {
                owner: wild() as u16,
                incarnation: wild(),
                have: wild(),
                sweep: (wild(), wild()),
            }],
            blocks: vec![EntryBlock { owner, incarnation, from, to, swept: wild() % 2 * wild(), items }],
            private: (round % 2 == 0).then(|| DirectPayload {
                to_life: wild() % 3,
                taken: vec![DirectAck { kind: wild() as u8, id: wild() as u32, turn: wild() }],
                words: vec![DirectUpdate {
                    kind: wild() as u8,
                    id: wild() as u32,
                    turn: wild(),
                    age: wild() as u32,
                    value: vec![1; 9],
                }],
            }),
        };
        let Some(bytes) = encode(fleet, &note) else { continue };
        net.at(0, |p, now| {
            let _ = p.receive(now + indigohold::Micros(round * 1_000), None, &bytes);
            p.tick(now + indigohold::Micros(round * 1_000));
            p.next_at();
        });
    }
    let view = net.view(0);
    assert!(view.entries.len() <= 90 && view.counts.heard > 100 && view.counts.refused[5] > 100);
}
