//! The health of endpoints that couriers share: assessments by a table of cases, and a simulated fleet in which an endpoint is
//! out and recovers. Guards against a false report that takes an endpoint out for others, and against probes by every courier.

use indigohold::shared::health::{
    Basis, Belief, Evidence, HealthSettings, Observation, Override, ProbeTurn, SharedHealth,
};
use indigohold::shared::{Member, Version};
use indigohold::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const S: u64 = 1_000_000;
const ENDPOINT: u64 = 0x0a00_0001_1b58;

fn evidence(observation: Observation, age_ms: u32) -> Evidence {
    Evidence { observation, age_ms, valid_ms: 10_000 - age_ms.min(9_000), probes: 0, since_probe_ms: None }
}

/// Courier 0 after it received these at 20 s, each from another member.
fn courier_with(reports: &[Evidence]) -> SharedHealth {
    let mut health = SharedHealth::new(Member(0), HealthSettings::default());
    for (i, evidence) in reports.iter().enumerate() {
        let version = Version { run: 1, counter: 1 };
        assert!(health.receive(
            Micros(20 * S),
            Member(i as u32 + 1),
            version,
            ENDPOINT,
            Micros(0),
            *evidence
        ));
    }
    health
}

#[test]
fn assessments_follow_the_table() {
    use Observation::*;
    let shut = |ms| Evidence { valid_ms: ms, ..evidence(Shut(ms), 0) };
    type Row = (&'static str, Option<Override>, Option<Observation>, Vec<Evidence>, Belief);
    let rows: Vec<Row> = vec![
        ("nothing", None, None, vec![], Belief::Free),
        ("one bad link", None, None, vec![evidence(Out, 0)], Belief::Free),
        ("two report out", None, None, vec![evidence(Out, 0), evidence(Out, 0)], Belief::Out),
        (
            "two report out, one was served since",
            None,
            None,
            vec![evidence(Out, 100), evidence(Out, 100), evidence(Served, 0)],
            Belief::Free,
        ),
        (
            "two report out, one was served before",
            None,
            None,
            vec![evidence(Out, 0), evidence(Out, 0), evidence(Served, 500)],
            Belief::Out,
        ),
        ("served here, all others out", None, Some(Served), vec![evidence(Out, 0); 39], Belief::Free),
        ("slow here, all others out", None, Some(Slow), vec![evidence(Out, 0); 39], Belief::Slow),
        ("out here, nobody served since", None, Some(Out), vec![evidence(Served, 500); 3], Belief::Out),
        ("cold at one, out at one", None, None, vec![evidence(Cold, 0), evidence(Out, 500)], Belief::Cold),
        ("one reports shut", None, None, vec![shut(60_000)], Belief::Free),
        ("two report shut", None, None, vec![shut(5_000), shut(3_000)], Belief::Shut(Micros(25 * S))),
        (
            "excluded, served here",
            Some(Override::Exclude),
            Some(Served),
            vec![evidence(Served, 0); 5],
            Belief::Banned,
        ),
        ("trusted, others out", Some(Override::Trust), None, vec![evidence(Out, 0); 39], Belief::Free),
        ("trusted, out here", Some(Override::Trust), Some(Out), vec![], Belief::Out),
    ];
    for (name, by_operator, own, reports, belief) in rows {
        let mut health = courier_with(&reports);
        health.set_override(ENDPOINT, by_operator);
        if let Some(own) = own {
            health.observe(Micros(20 * S), ENDPOINT, own, Micros(21 * S));
        }
        assert_eq!(health.assess(Micros(20 * S), ENDPOINT).belief, belief, "{name}");
        // Only own evidence is published, never what was received.
        let mut out = vec![];
        health.tick(Micros(20 * S), &mut out);
        assert_eq!(out.len(), usize::from(own.is_some()), "{name}");
    }
}

#[test]
fn evidence_expires() {
    let health = courier_with(&[evidence(Observation::Out, 0), evidence(Observation::Out, 0)]);
    assert_eq!(health.assess(Micros(29 * S), ENDPOINT).belief, Belief::Out);
    assert_eq!(health.assess(Micros(29 * S), ENDPOINT).age, Micros(9 * S));
    assert_eq!(health.assess(Micros(30 * S), ENDPOINT).basis, Basis::Nothing);
}

#[test]
fn a_report_of_recovery_allows_limited_calls_and_a_false_one_does_so_only_once() {
    let mut health = SharedHealth::new(Member(0), HealthSettings::default());
    let report = |health: &mut SharedHealth, at: u64, counter| {
        health.receive(
            Micros(at),
            Member(1),
            Version { run: 1, counter },
            ENDPOINT,
            Micros(0),
            evidence(Observation::Served, 0),
        );
    };
    health.observe(Micros(20 * S), ENDPOINT, Observation::Out, Micros(21 * S));
    report(&mut health, 21 * S, 1);
    assert_eq!(health.assess(Micros(21 * S), ENDPOINT).belief, Belief::Cold);
    health.observe(Micros(22 * S), ENDPOINT, Observation::Out, Micros(23 * S));
    for n in 2..10 {
        report(&mut health, (21 + n) * S, n);
        assert_eq!(health.assess(Micros((21 + n) * S), ENDPOINT).belief, Belief::Out, "at {n}");
    }
    report(&mut health, 33 * S, 20);
    assert_eq!(health.assess(Micros(33 * S), ENDPOINT).belief, Belief::Cold);
}

/// One courier of 20 has a bad link and reports every endpoint as out; the others have no evidence of their own.
#[test]
fn false_reports_about_every_endpoint_take_none_out_for_others() {
    let mut fleet: Vec<SharedHealth> =
        (0..20).map(|i| SharedHealth::new(Member(i), HealthSettings::default())).collect();
    let mut out = vec![];
    (0..500).for_each(|e| fleet[7].observe(Micros(S), e, Observation::Out, Micros(2 * S)));
    fleet[7].tick(Micros(S), &mut out);
    assert_eq!(out.len(), 500);
    for (i, health) in fleet.iter_mut().enumerate().filter(|(i, _)| *i != 7) {
        for (endpoint, evidence) in &out {
            health.receive(
                Micros(S),
                Member(7),
                Version { run: 1, counter: *endpoint },
                *endpoint,
                Micros(0),
                *evidence,
            );
            assert_eq!(health.assess(Micros(S), *endpoint).belief, Belief::Free, "{i}");
        }
        let mut forwarded = vec![];
        health.tick(Micros(S), &mut forwarded);
        assert!(forwarded.is_empty());
    }
}

struct Simulation {
    fleet: Vec<SharedHealth>,
    probes: usize,
    most_at_once: usize,
    /// By courier: when it learned of the recovery.
    recovery_known: Vec<Option<u64>>,
}

/// `n` couriers observed that one endpoint is out; it recovers at 12 s. Messages take 20 to 200 ms, and a fifth is lost. The
/// fleet is split into `groups` parts that do not reach each other; `dead` couriers stop after they reported that it is out.
fn simulate_recovery(n: u32, groups: u32, dead: u32, seed: u64) -> Simulation {
    let (mut rng, step, mut counter) = (Pcg32::seed_from_u64(seed), 20_000, 0);
    let mut simulation =
        Simulation { fleet: vec![], probes: 0, most_at_once: 0, recovery_known: vec![None; n as usize] };
    simulation.fleet = (0..n).map(|i| SharedHealth::new(Member(i), HealthSettings::default())).collect();
    let present: Vec<Member> = (0..n).map(Member).collect();
    let mut net: Vec<(u64, u32, u32, Version, Evidence)> = vec![];
    let mut probing: Vec<Option<u64>> = vec![None; n as usize];
    for i in 0..n {
        simulation.fleet[i as usize].observe(Micros(S), ENDPOINT, Observation::Out, Micros(4 * S));
    }
    for now in (S..25 * S).step_by(step as usize) {
        let alive = |i: u32| i >= dead || now < 3 * S;
        for (_, to, from, version, evidence) in take_arrived(&mut net, now) {
            simulation.fleet[to as usize].receive(
                Micros(now),
                Member(from),
                version,
                ENDPOINT,
                Micros(0),
                evidence,
            );
        }
        for i in (0..n).filter(|i| alive(*i)) {
            let health = &mut simulation.fleet[i as usize];
            if probing[i as usize].is_some_and(|t| now >= t + 300_000) {
                probing[i as usize] = None;
                // The result is observed at the end of the call.
                match now >= 12 * S {
                    true => health.observe(Micros(now), ENDPOINT, Observation::Cold, Micros(now)),
                    false => health.observe(Micros(now), ENDPOINT, Observation::Out, Micros(now + 2 * S)),
                }
            } else if probing[i as usize].is_none()
                && health.probe_turn(Micros(now), ENDPOINT, &present) == ProbeTurn::Mine
            {
                health.begin_probe(Micros(now), ENDPOINT);
                probing[i as usize] = Some(now);
                simulation.probes += 1;
            }
            if simulation.recovery_known[i as usize].is_none()
                && health.assess(Micros(now), ENDPOINT).belief == Belief::Cold
            {
                simulation.recovery_known[i as usize] = Some(now);
            }
            if simulation.recovery_known[i as usize].is_some_and(|t| now >= t + 500_000) {
                health.observe(Micros(now), ENDPOINT, Observation::Served, Micros(now));
            }
            let mut out = vec![];
            health.tick(Micros(now), &mut out);
            for (_, evidence) in out {
                counter += 1;
                for to in (0..n).filter(|to| *to != i && to % groups == i % groups) {
                    if rng.next_u32() % 5 > 0 {
                        let at = now + 20_000 + u64::from(rng.next_u32() % 180_000);
                        net.push((at, to, i, Version { run: 1, counter }, evidence));
                    }
                }
            }
        }
        simulation.most_at_once = simulation.most_at_once.max(probing.iter().flatten().count());
    }
    simulation
}

#[test]
fn a_recovering_endpoint_gets_one_probe_at_a_time_from_the_fleet() {
    // Probed from 4 s to 12 s, with turns of 1.5 s: seven probes, the last of them after the recovery.
    for (n, groups, dead) in [(20, 1, 0), (40, 1, 0), (40, 1, 3), (40, 2, 0), (40, 40, 0)] {
        let simulation = simulate_recovery(n, groups, dead, u64::from(n + groups));
        let known = simulation.recovery_known.iter().skip(dead as usize).map(|k| k.unwrap_or(u64::MAX));
        let last = known.max().unwrap().saturating_sub(12 * S) as f64 / 1e6;
        println!(
            "{n} in {groups}, {dead} dead: {} probes, {} at once, known after {last} s",
            simulation.probes, simulation.most_at_once
        );
        assert!(
            simulation.probes <= 7 * groups as usize && simulation.most_at_once <= groups as usize,
            "{}",
            simulation.probes
        );
        assert!(last < 1.5 * (f64::from(dead) + 2.0), "{last}");
    }
}

/// When it arrives, to whom, from whom, and what.
type Transmission = (u64, u32, u32, Version, Evidence);

fn take_arrived(net: &mut Vec<Transmission>, now: u64) -> Vec<Transmission> {
    let (arrived, delayed) = net.drain(..).partition(|e| e.0 <= now);
    *net = delayed;
    arrived
}
