//! Words for one member alone, over a network that loses, doubles, delays and cuts, with lives that end and begin.

#[allow(dead_code)]
#[path = "support/notes.rs"]
mod notes;

use indigohold::peers::codec;
use indigohold::peers::direct::MAX_OUTGOING;
use indigohold::Micros;
use notes::{Net, S};

const KIND: u8 = 2;

/// What `by` has heard from `from` under this number: the text and whether a former life said it.
fn heard(net: &Net, by: usize, from: u16, id: u32) -> Option<(Vec<u8>, bool)> {
    let node = net.nodes[by].as_ref()?;
    node.get(KIND).find(|s| s.owner == from && s.id == id).map(|s| (s.value.to_vec(), s.from_previous_run))
}

/// Within so many seconds `by` hears this from `from`, of a former life or not.
fn hears(net: &mut Net, by: usize, (from, id): (u16, u32), text: &str, former: bool, secs: u64) -> bool {
    let end = net.now + secs * S;
    net.until(end, |net| heard(net, by, from, id) == Some((text.into(), former)))
}

fn say(net: &mut Net, from: usize, to: u16, id: u32, text: &[u8], secs: u64) -> bool {
    net.at(from, |p, now| p.send_to(now, to, KIND, id, text, now + Micros(secs * S)))
}

/// Bytes that went out for single members, over all.
fn alone(net: &Net) -> u64 {
    net.nodes.iter().flatten().map(|p| p.counts().sent_bytes[4]).sum()
}

#[test]
fn a_word_reaches_the_one_that_it_is_for_and_nobody_else() {
    for (spoil, seed) in [((0, 0), 1), ((30, 20), 2), ((60, 30), 3)] {
        let mut net = Net::new(5, seed, |_| ());
        net.spoil = spoil;
        net.run(8 * S);
        for id in 0..6 {
            assert!(say(&mut net, 0, 3, id, format!("word {id}").as_bytes(), 60));
        }
        let all =
            |net: &Net| (0..6).all(|id| heard(net, 3, 0, id) == Some((format!("word {id}").into(), false)));
        let end = net.now + 40 * S;
        assert!(net.until(end, all), "{spoil:?}");
        for by in [1, 2, 4] {
            assert!((0..6).all(|id| heard(&net, by, 0, id).is_none()));
        }
    }
}

/// Guards against words that are said for ever: once the answer is in, nothing more goes out.
#[test]
fn what_was_taken_is_not_said_again_and_what_replaced_it_is() {
    let mut net = Net::new(4, 5, |_| ());
    net.spoil = (20, 20);
    net.run(8 * S);
    say(&mut net, 1, 2, 7, b"first", 600);
    net.run(20 * S);
    let before = alone(&net);
    assert!(before > 0);
    net.run(60 * S);
    assert_eq!(alone(&net), before, "quiet once it is taken");
    say(&mut net, 1, 2, 7, b"second", 600);
    assert!(hears(&mut net, 2, (1, 7), "second", false, 20));
}

/// Guards against an older word that arrives late, twice or out of order and stands in the place of the newer.
#[test]
fn the_newest_word_stands_whatever_the_order() {
    let mut net = Net::new(3, 9, |_| ());
    net.delay = (1_000, 3 * S);
    net.spoil = (10, 50);
    net.run(20 * S);
    for n in 0..40u8 {
        say(&mut net, 0, 1, 4, &[n], 60);
        net.run(S / 5);
    }
    let mut last = 0;
    for _ in 0..400 {
        net.run(S / 10);
        if let Some((text, _)) = heard(&net, 1, 0, 4) {
            assert!(text[0] >= last, "{} after {last}", text[0]);
            last = text[0];
        }
    }
    assert_eq!(last, 39);
    // All that ever went out, once more.
    for (from, to, bytes) in net.seen.clone() {
        net.post(from, to, &bytes);
    }
    net.run(10 * S);
    assert_eq!(heard(&net, 1, 0, 4), Some((vec![39], false)));
}

/// Guards against a loan to a former life that a new one takes for its own, and against one that is told to nobody since the
/// life that it was said to had taken it.
#[test]
fn lives_end_and_begin() {
    let mut net = Net::new(3, 11, |_| ());
    net.run(10 * S);
    // Said while the receiver is down: it waits, and the new life hears it.
    net.nodes[2] = None;
    say(&mut net, 0, 2, 1, b"while down", 120);
    net.run(3 * S);
    net.start(2);
    assert!(hears(&mut net, 2, (0, 1), "while down", false, 30));
    // What was on its way to the former life is nothing to the new one.
    let former: Vec<_> = net.seen.iter().filter(|(from, to, _)| (*from, *to) == (0, 2)).cloned().collect();
    assert!(!former.is_empty());
    net.nodes[2] = None;
    net.start(2);
    for (from, to, bytes) in former {
        net.post(from, to, &bytes);
    }
    net.run(5 * S);
    assert_eq!(heard(&net, 2, 0, 1), None);
    // The speaker's new life: what the former one said is marked so until it is replaced.
    say(&mut net, 0, 2, 1, b"again", 120);
    assert!(hears(&mut net, 2, (0, 1), "again", false, 20));
    net.nodes[0] = None;
    net.start(0);
    assert!(hears(&mut net, 2, (0, 1), "again", true, 20));
    say(&mut net, 0, 2, 1, b"new life", 120);
    assert!(hears(&mut net, 2, (0, 1), "new life", false, 20));
}

/// Guards against a storm of words to who does not answer, and against what has lived its time being said late.
#[test]
fn one_that_is_cut_off_costs_little_and_hears_nothing_that_is_over() {
    let mut net = Net::new(3, 13, |_| ());
    net.run(10 * S);
    net.link = Box::new(|_, to| to != 2);
    for id in 0..20 {
        say(&mut net, 0, 2, id, &[7; 40], 5);
    }
    say(&mut net, 0, 2, 99, b"long", 300);
    let (before, began) = (alone(&net), net.now);
    net.run(60 * S);
    let rate = (alone(&net) - before) as f64 / ((net.now - began) / S) as f64;
    assert!(rate < 100.0, "{rate} bytes a second to who is away");
    net.link = Box::new(|_, _| true);
    assert!(hears(&mut net, 2, (0, 99), "long", false, 30));
    assert!((0..20).all(|id| heard(&net, 2, 0, id).is_none()));
}

#[test]
fn bounds_hold() {
    let mut net = Net::new(2, 17, |_| ());
    net.run(5 * S);
    assert!(!say(&mut net, 0, 0, 1, b"to itself", 9) && !say(&mut net, 0, 5, 1, b"to nobody", 9));
    assert!(!say(&mut net, 0, 1, 1, &[0; codec::MAX_VALUE_BYTES + 1], 9));
    net.link = Box::new(|_, _| false);
    for id in 0..2 * MAX_OUTGOING as u32 {
        say(&mut net, 0, 1, id, b"x", 600);
    }
    net.link = Box::new(|_, _| true);
    net.run(120 * S);
    let have = (0..2 * MAX_OUTGOING as u32).filter(|id| heard(&net, 1, 0, *id).is_some()).count();
    assert_eq!(have, MAX_OUTGOING, "the oldest gave way");
    assert!(heard(&net, 1, 0, 2 * MAX_OUTGOING as u32 - 1).is_some());
    // Of a fleet that has become smaller nobody speaks to those who are gone, nor answers for them.
    net.at(1, |p, now| p.send_to(now, 0, KIND, 1, b"to be gone", now + Micros(60 * S)));
    assert!(hears(&mut net, 0, (1, 1), "to be gone", false, 20));
    net.at(0, |p, now| p.resize(now, 1));
    net.run(5 * S);
    assert_eq!(heard(&net, 0, 1, 1), None);
}
