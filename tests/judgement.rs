//! SharedHealth on endpoints that couriers share: by table, and in a small world where an endpoint is out and comes back.

use indigohold::shared::health::{
    Basis, Belief, Evidence, HealthSettings, Observation, Override, ProbeTurn, SharedHealth,
};
use indigohold::shared::{Member, Version};
use indigohold::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const S: u64 = 1_000_000;
const E: u64 = 0x0a00_0001_1b58;

fn said(observation: Observation, age_ms: u32) -> Evidence {
    Evidence { observation, age_ms, valid_ms: 10_000 - age_ms.min(9_000), probes: 0, since_probe_ms: None }
}

/// Courier 0, having heard these at 20 s, each from another member.
fn hearing(words: &[Evidence]) -> SharedHealth {
    let mut judge = SharedHealth::new(Member(0), HealthSettings::default());
    for (i, word) in words.iter().enumerate() {
        let version = Version { run: 1, counter: 1 };
        assert!(judge.receive(Micros(20 * S), Member(i as u32 + 1), version, E, Micros(0), *word));
    }
    judge
}

#[test]
fn what_is_believed_by_table() {
    use Observation::*;
    let shut = |ms| Evidence { valid_ms: ms, ..said(Shut(ms), 0) };
    type Row = (&'static str, Option<Override>, Option<Observation>, Vec<Evidence>, Belief);
    let rows: Vec<Row> = vec![
        ("nothing", None, None, vec![], Belief::Free),
        ("one bad link", None, None, vec![said(Out, 0)], Belief::Free),
        ("two say out", None, None, vec![said(Out, 0), said(Out, 0)], Belief::Out),
        (
            "two, and one is served since",
            None,
            None,
            vec![said(Out, 100), said(Out, 100), said(Served, 0)],
            Belief::Free,
        ),
        (
            "two, and one was served before",
            None,
            None,
            vec![said(Out, 0), said(Out, 0), said(Served, 500)],
            Belief::Out,
        ),
        ("served here, all others out", None, Some(Served), vec![said(Out, 0); 39], Belief::Free),
        ("slow here, all others out", None, Some(Slow), vec![said(Out, 0); 39], Belief::Slow),
        ("out here, nobody served since", None, Some(Out), vec![said(Served, 500); 3], Belief::Out),
        ("back at one, out at one", None, None, vec![said(Cold, 0), said(Out, 500)], Belief::Cold),
        ("one says shut", None, None, vec![shut(60_000)], Belief::Free),
        ("two say shut", None, None, vec![shut(5_000), shut(3_000)], Belief::Shut(Micros(25 * S))),
        (
            "banned, served here",
            Some(Override::Exclude),
            Some(Served),
            vec![said(Served, 0); 5],
            Belief::Banned,
        ),
        ("trusted, others out", Some(Override::Trust), None, vec![said(Out, 0); 39], Belief::Free),
        ("trusted, out here", Some(Override::Trust), Some(Out), vec![], Belief::Out),
    ];
    for (name, hand, own, words, belief) in rows {
        let mut judge = hearing(&words);
        judge.set_override(E, hand);
        if let Some(own) = own {
            judge.observe(Micros(20 * S), E, own, Micros(21 * S));
        }
        assert_eq!(judge.assess(Micros(20 * S), E).belief, belief, "{name}");
        // What was heard is never said: only own evidence is.
        let mut out = vec![];
        judge.tick(Micros(20 * S), &mut out);
        assert_eq!(out.len(), usize::from(own.is_some()), "{name}");
    }
}

#[test]
fn every_word_ends() {
    let judge = hearing(&[said(Observation::Out, 0), said(Observation::Out, 0)]);
    assert_eq!(judge.assess(Micros(29 * S), E).belief, Belief::Out);
    assert_eq!(judge.assess(Micros(29 * S), E).age, Micros(9 * S));
    assert_eq!(judge.assess(Micros(30 * S), E).basis, Basis::Nothing);
}

#[test]
fn a_good_word_opens_gently_and_a_false_one_only_once() {
    let mut judge = SharedHealth::new(Member(0), HealthSettings::default());
    let hear = |j: &mut SharedHealth, at: u64, counter| {
        j.receive(
            Micros(at),
            Member(1),
            Version { run: 1, counter },
            E,
            Micros(0),
            said(Observation::Served, 0),
        );
    };
    judge.observe(Micros(20 * S), E, Observation::Out, Micros(21 * S));
    hear(&mut judge, 21 * S, 1);
    assert_eq!(judge.assess(Micros(21 * S), E).belief, Belief::Cold);
    judge.observe(Micros(22 * S), E, Observation::Out, Micros(23 * S));
    for n in 2..10 {
        hear(&mut judge, (21 + n) * S, n);
        assert_eq!(judge.assess(Micros((21 + n) * S), E).belief, Belief::Out, "at {n}");
    }
    hear(&mut judge, 33 * S, 20);
    assert_eq!(judge.assess(Micros(33 * S), E).belief, Belief::Cold);
}

/// One courier with a bad link judges every endpoint falsely, among `n` that have no evidence of their own or are served.
#[test]
fn a_false_judgement_about_every_endpoint_takes_none_out_for_others() {
    let mut fleet: Vec<SharedHealth> =
        (0..20).map(|i| SharedHealth::new(Member(i), HealthSettings::default())).collect();
    let mut out = vec![];
    (0..500).for_each(|e| fleet[7].observe(Micros(S), e, Observation::Out, Micros(2 * S)));
    fleet[7].tick(Micros(S), &mut out);
    assert_eq!(out.len(), 500);
    for (i, judge) in fleet.iter_mut().enumerate().filter(|(i, _)| *i != 7) {
        for (endpoint, word) in &out {
            judge.receive(
                Micros(S),
                Member(7),
                Version { run: 1, counter: *endpoint },
                *endpoint,
                Micros(0),
                *word,
            );
            assert_eq!(judge.assess(Micros(S), *endpoint).belief, Belief::Free, "{i}");
        }
        let mut passed_on = vec![];
        judge.tick(Micros(S), &mut passed_on);
        assert!(passed_on.is_empty());
    }
}

struct World {
    fleet: Vec<SharedHealth>,
    trials: usize,
    most_at_once: usize,
    back_known: Vec<Option<u64>>,
}

/// `n` couriers that all have one endpoint out; it comes back at 12 s. Words take 20 to 200 ms, a fifth is lost. `groups`
/// parts do not hear each other; `dead` couriers have died after they said that it is out.
fn come_back(n: u32, groups: u32, dead: u32, seed: u64) -> World {
    let (mut rng, step, mut counter) = (Pcg32::seed_from_u64(seed), 20_000, 0);
    let mut world = World { fleet: vec![], trials: 0, most_at_once: 0, back_known: vec![None; n as usize] };
    world.fleet = (0..n).map(|i| SharedHealth::new(Member(i), HealthSettings::default())).collect();
    let here: Vec<Member> = (0..n).map(Member).collect();
    let mut net: Vec<(u64, u32, u32, Version, Evidence)> = vec![];
    let mut trying: Vec<Option<u64>> = vec![None; n as usize];
    for i in 0..n {
        world.fleet[i as usize].observe(Micros(S), E, Observation::Out, Micros(4 * S));
    }
    for now in (S..25 * S).step_by(step as usize) {
        let alive = |i: u32| i >= dead || now < 3 * S;
        for (_, to, from, version, word) in take(&mut net, now) {
            world.fleet[to as usize].receive(Micros(now), Member(from), version, E, Micros(0), word);
        }
        for i in (0..n).filter(|i| alive(*i)) {
            let judge = &mut world.fleet[i as usize];
            if trying[i as usize].is_some_and(|t| now >= t + 300_000) {
                trying[i as usize] = None;
                // Seen at the end of the call.
                match now >= 12 * S {
                    true => judge.observe(Micros(now), E, Observation::Cold, Micros(now)),
                    false => judge.observe(Micros(now), E, Observation::Out, Micros(now + 2 * S)),
                }
            } else if trying[i as usize].is_none()
                && judge.probe_turn(Micros(now), E, &here) == ProbeTurn::Mine
            {
                judge.begin_probe(Micros(now), E);
                trying[i as usize] = Some(now);
                world.trials += 1;
            }
            if world.back_known[i as usize].is_none() && judge.assess(Micros(now), E).belief == Belief::Cold {
                world.back_known[i as usize] = Some(now);
            }
            if world.back_known[i as usize].is_some_and(|t| now >= t + 500_000) {
                judge.observe(Micros(now), E, Observation::Served, Micros(now));
            }
            let mut out = vec![];
            judge.tick(Micros(now), &mut out);
            for (_, word) in out {
                counter += 1;
                for to in (0..n).filter(|to| *to != i && to % groups == i % groups) {
                    if rng.next_u32() % 5 > 0 {
                        let at = now + 20_000 + u64::from(rng.next_u32() % 180_000);
                        net.push((at, to, i, Version { run: 1, counter }, word));
                    }
                }
            }
        }
        world.most_at_once = world.most_at_once.max(trying.iter().flatten().count());
    }
    world
}

#[test]
fn a_returning_endpoint_gets_one_trial_of_the_fleets() {
    // Out from 4 s to 12 s, with a turn of 1.5 s: seven trials, the last of them when it is back.
    for (n, groups, dead) in [(20, 1, 0), (40, 1, 0), (40, 1, 3), (40, 2, 0), (40, 40, 0)] {
        let world = come_back(n, groups, dead, u64::from(n + groups));
        let known = world.back_known.iter().skip(dead as usize).map(|k| k.unwrap_or(u64::MAX));
        let last = known.max().unwrap().saturating_sub(12 * S) as f64 / 1e6;
        println!(
            "{n} in {groups}, {dead} dead: {} trials, {} at once, known after {last} s",
            world.trials, world.most_at_once
        );
        assert!(
            world.trials <= 7 * groups as usize && world.most_at_once <= groups as usize,
            "{}",
            world.trials
        );
        assert!(last < 1.5 * (f64::from(dead) + 2.0), "{last}");
    }
}

type Way = (u64, u32, u32, Version, Evidence);

fn take(net: &mut Vec<Way>, now: u64) -> Vec<Way> {
    let (come, stay) = net.drain(..).partition(|e| e.0 <= now);
    *net = stay;
    come
}
