//! Direct updates to one member over a network that loses, duplicates, delays and cuts, across restarts.

#[allow(dead_code)]
#[path = "support/notes.rs"]
mod notes;

use indigohold::peers::codec;
use indigohold::peers::direct::MAX_OUTGOING;
use indigohold::Micros;
use notes::{Net, S};

const KIND: u8 = 2;

/// What `by` received from `from` under this id: the text, and whether a previous run sent it.
fn received(net: &Net, by: usize, from: u16, id: u32) -> Option<(Vec<u8>, bool)> {
    let node = net.nodes[by].as_ref()?;
    node.get(KIND).find(|s| s.owner == from && s.id == id).map(|s| (s.value.to_vec(), s.from_previous_run))
}

/// Whether `by` receives this text from `from` within `secs` seconds, from a previous run or not.
fn receives(
    net: &mut Net, by: usize, (from, id): (u16, u32), text: &str, previous_run: bool, secs: u64,
) -> bool {
    let end = net.now + secs * S;
    net.until(end, |net| received(net, by, from, id) == Some((text.into(), previous_run)))
}

fn send(net: &mut Net, from: usize, to: u16, id: u32, text: &[u8], secs: u64) -> bool {
    net.at(from, |p, now| p.send_to(now, to, KIND, id, text, now + Micros(secs * S)))
}

/// Bytes of direct messages sent, over all members.
fn direct_bytes(net: &Net) -> u64 {
    net.nodes.iter().flatten().map(|p| p.counts().sent_bytes[4]).sum()
}

#[test]
fn direct_update_reaches_its_receiver_and_nobody_else() {
    for (spoil, seed) in [((0, 0), 1), ((30, 20), 2), ((60, 30), 3)] {
        let mut net = Net::new(5, seed, |_| ());
        net.spoil = spoil;
        net.run(8 * S);
        for id in 0..6 {
            assert!(send(&mut net, 0, 3, id, format!("word {id}").as_bytes(), 60));
        }
        let all = |net: &Net| {
            (0..6).all(|id| received(net, 3, 0, id) == Some((format!("word {id}").into(), false)))
        };
        let end = net.now + 40 * S;
        assert!(net.until(end, all), "{spoil:?}");
        for by in [1, 2, 4] {
            assert!((0..6).all(|id| received(&net, by, 0, id).is_none()));
        }
    }
}

/// Guards against endless retransmission: after the acknowledgement nothing more is sent.
#[test]
fn acknowledged_update_is_not_resent_and_its_replacement_is() {
    let mut net = Net::new(4, 5, |_| ());
    net.spoil = (20, 20);
    net.run(8 * S);
    send(&mut net, 1, 2, 7, b"first", 600);
    net.run(20 * S);
    let before = direct_bytes(&net);
    assert!(before > 0);
    net.run(60 * S);
    assert_eq!(direct_bytes(&net), before, "nothing is sent after the acknowledgement");
    send(&mut net, 1, 2, 7, b"second", 600);
    assert!(receives(&mut net, 2, (1, 7), "second", false, 20));
}

/// Guards against an older update that arrives late, twice or out of order and replaces the newer one.
#[test]
fn newest_update_wins_in_any_order() {
    let mut net = Net::new(3, 9, |_| ());
    net.delay = (1_000, 3 * S);
    net.spoil = (10, 50);
    net.run(20 * S);
    for n in 0..40u8 {
        send(&mut net, 0, 1, 4, &[n], 60);
        net.run(S / 5);
    }
    let mut last = 0;
    for _ in 0..400 {
        net.run(S / 10);
        if let Some((text, _)) = received(&net, 1, 0, 4) {
            assert!(text[0] >= last, "{} after {last}", text[0]);
            last = text[0];
        }
    }
    assert_eq!(last, 39);
    // Delivers everything that was ever sent once more.
    for (from, to, bytes) in net.seen.clone() {
        net.post(from, to, &bytes);
    }
    net.run(10 * S);
    assert_eq!(received(&net, 1, 0, 4), Some((vec![39], false)));
}

/// Guards against a new run that takes over a loan made to its previous run, and against a loan that is not
/// sent to the new run because the previous one had received it.
#[test]
fn restarts_of_sender_and_receiver() {
    let mut net = Net::new(3, 11, |_| ());
    net.run(10 * S);
    // Sent while the receiver is down: the update waits, and the new run receives it.
    net.nodes[2] = None;
    send(&mut net, 0, 2, 1, b"while down", 120);
    net.run(3 * S);
    net.start(2);
    assert!(receives(&mut net, 2, (0, 1), "while down", false, 30));
    // Messages under way to the previous run do not apply to the new one.
    let to_previous_run: Vec<_> =
        net.seen.iter().filter(|(from, to, _)| (*from, *to) == (0, 2)).cloned().collect();
    assert!(!to_previous_run.is_empty());
    net.nodes[2] = None;
    net.start(2);
    for (from, to, bytes) in to_previous_run {
        net.post(from, to, &bytes);
    }
    net.run(5 * S);
    assert_eq!(received(&net, 2, 0, 1), None);
    // The sender restarts: what its previous run sent is marked so until it is replaced.
    send(&mut net, 0, 2, 1, b"again", 120);
    assert!(receives(&mut net, 2, (0, 1), "again", false, 20));
    net.nodes[0] = None;
    net.start(0);
    assert!(receives(&mut net, 2, (0, 1), "again", true, 20));
    send(&mut net, 0, 2, 1, b"new life", 120);
    assert!(receives(&mut net, 2, (0, 1), "new life", false, 20));
}

/// Guards against heavy retransmission to an unreachable member, and against expired updates being sent late.
#[test]
fn unreachable_member_costs_little_and_receives_nothing_expired() {
    let mut net = Net::new(3, 13, |_| ());
    net.run(10 * S);
    net.link = Box::new(|_, to| to != 2);
    for id in 0..20 {
        send(&mut net, 0, 2, id, &[7; 40], 5);
    }
    send(&mut net, 0, 2, 99, b"long", 300);
    let (before, began) = (direct_bytes(&net), net.now);
    net.run(60 * S);
    let rate = (direct_bytes(&net) - before) as f64 / ((net.now - began) / S) as f64;
    assert!(rate < 100.0, "{rate} bytes per second to an unreachable member");
    net.link = Box::new(|_, _| true);
    assert!(receives(&mut net, 2, (0, 99), "long", false, 30));
    assert!((0..20).all(|id| received(&net, 2, 0, id).is_none()));
}

#[test]
fn limits_hold() {
    let mut net = Net::new(2, 17, |_| ());
    net.run(5 * S);
    assert!(!send(&mut net, 0, 0, 1, b"to itself", 9) && !send(&mut net, 0, 5, 1, b"to nobody", 9));
    assert!(!send(&mut net, 0, 1, 1, &[0; codec::MAX_VALUE_BYTES + 1], 9));
    net.link = Box::new(|_, _| false);
    for id in 0..2 * MAX_OUTGOING as u32 {
        send(&mut net, 0, 1, id, b"x", 600);
    }
    net.link = Box::new(|_, _| true);
    net.run(120 * S);
    let have = (0..2 * MAX_OUTGOING as u32).filter(|id| received(&net, 1, 0, *id).is_some()).count();
    assert_eq!(have, MAX_OUTGOING, "the oldest were dropped");
    assert!(received(&net, 1, 0, 2 * MAX_OUTGOING as u32 - 1).is_some());
    // In a fleet that has shrunk nobody sends to removed members, nor keeps what they sent.
    net.at(1, |p, now| p.send_to(now, 0, KIND, 1, b"to be gone", now + Micros(60 * S)));
    assert!(receives(&mut net, 0, (1, 1), "to be gone", false, 20));
    net.at(0, |p, now| p.resize(now, 1));
    net.run(5 * S);
    assert_eq!(received(&net, 0, 1, 1), None);
}
