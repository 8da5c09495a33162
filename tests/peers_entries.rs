//! Gossip entries in virtual time: removal, late messages, limits, and the traffic of requests.

#[path = "support/notes.rs"]
mod notes;

use indigohold::peers::MemberStatus;
use notes::{Net, S};

/// Guards against removed entries that survive at a member that was cut off for longer than tombstones are
/// kept, also when parts of the sweep are lost, and against more own entries than the limit.
#[test]
fn removed_entries_disappear_everywhere() {
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
        assert!(done, "{} entries are left, seed {seed}", left(&net, 2));
        let full = net.at(0, |p, now| (0..100).filter(|id| p.set(now, 5, *id, b"x")).count());
        assert_eq!(full, 44);
        net.at(0, |p, now| assert!(!p.set(now, 0, 0, &[0; 49])));
    }
}

/// Guards against a delayed message that makes old entries, and its sender, seem recent.
#[test]
fn late_message_keeps_its_age() {
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

/// Guards against bursts of answers to a burst of requests, and against a requester that is never answered.
#[test]
fn requests_are_answered_within_the_budget() {
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
            let message = codec::GossipMessage {
                from,
                incarnation: 1,
                at: tenth * 100,
                next: 20,
                asks,
                ..Default::default()
            };
            let message = codec::encode(cluster(["here"]), &message).expect("shorter than the limit");
            assert_eq!(peers.receive(now, Some(from), &message), Ok(()));
        }
        for (to, message) in peers.tick(now) {
            bytes += message.len() * if to == Recipient::All { 39 } else { 1 };
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

/// Guards against storing more entries than the limit, and against evicting urgent kinds first.
#[test]
fn least_urgent_entries_are_evicted_at_the_limit() {
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
        assert_eq!(view.kind(1).count(), 45, "urgent entries stay");
    }
}

/// Guards against one damaged or wrong message that silences a member for ever: no incarnation above it would
/// be accepted.
#[test]
fn unreachable_incarnation_replaces_no_member() {
    use indigohold::peers::codec::{encode, GossipMessage, MemberDigest};
    let mut net = Net::new(2, 8, |_| {});
    let message_of = |incarnation, at| {
        let tops = vec![MemberDigest { owner: 0, incarnation, top: 0, stamp: 1, age: 0 }];
        let message =
            GossipMessage { from: 1, incarnation: 9, at, next: 20, tops, ..GossipMessage::default() };
        encode(indigohold::peers::cluster(["here"]), &message).expect("shorter than the limit")
    };
    for (incarnation, over) in [(u64::MAX, None), (1 << 30, None), (70, Some(70))] {
        net.at(0, |p, now| {
            assert!(p.receive(now, Some(1), &message_of(incarnation, incarnation % 100)).is_ok());
            assert_eq!(p.superseded(), over);
        });
    }
}

/// Guards against panics and unbounded growth on well-formed messages with arbitrary content.
#[test]
fn arbitrary_messages_respect_the_limits() {
    use indigohold::peers::codec::{
        encode, DirectAck, DirectPayload, DirectUpdate, EntryBlock, EntryItem, EntryRequest, GossipMessage,
        MemberDigest,
    };
    use rand_core::{RngCore, SeedableRng};
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
    let mut net = Net::new(4, 8, |c| c.max_peer_entries = 90);
    let fleet = indigohold::peers::cluster(["here"]);
    for round in 0..20_000u64 {
        let mut arbitrary = || match rng.next_u32() % 4 {
            0 => rng.next_u64(),
            1 => u64::MAX - u64::from(rng.next_u32() % 3),
            _ => u64::from(rng.next_u32() % 9),
        };
        let (owner, incarnation) = (arbitrary() as u16, arbitrary());
        let (from, count) = (arbitrary(), arbitrary() % 6);
        let value = |step| (step % 3 > 0).then(|| vec![1; step as usize]);
        let items = (1..count + 1).map(|step| EntryItem {
            kind: arbitrary() as u8,
            id: arbitrary() as u32,
            step,
            age: arbitrary() as u32,
            value: value(step),
        });
        let items = items.collect();
        let to = from.saturating_add(count);
        let message = GossipMessage {
            from: arbitrary() as u16 % 6,
            incarnation: arbitrary(),
            at: arbitrary(),
            next: arbitrary() as u16,
            top: arbitrary(),
            tops: vec![MemberDigest {
                owner,
                incarnation,
                top: arbitrary(),
                stamp: arbitrary(),
                age: arbitrary() as u32,
            }],
            asks: vec![EntryRequest {
                owner: arbitrary() as u16,
                incarnation: arbitrary(),
                have: arbitrary(),
                sweep: (arbitrary(), arbitrary()),
            }],
            blocks: vec![EntryBlock {
                owner,
                incarnation,
                from,
                to,
                swept: arbitrary() % 2 * arbitrary(),
                items,
            }],
            private: (round % 2 == 0).then(|| DirectPayload {
                to_life: arbitrary() % 3,
                taken: vec![DirectAck { kind: arbitrary() as u8, id: arbitrary() as u32, turn: arbitrary() }],
                words: vec![DirectUpdate {
                    kind: arbitrary() as u8,
                    id: arbitrary() as u32,
                    turn: arbitrary(),
                    age: arbitrary() as u32,
                    value: vec![1; 9],
                }],
            }),
        };
        let Some(bytes) = encode(fleet, &message) else { continue };
        net.at(0, |p, now| {
            let _ = p.receive(now + indigohold::Micros(round * 1_000), None, &bytes);
            p.tick(now + indigohold::Micros(round * 1_000));
            p.next_at();
        });
    }
    let view = net.view(0);
    assert!(view.entries.len() <= 90 && view.counts.heard > 100 && view.counts.refused[5] > 100);
}
