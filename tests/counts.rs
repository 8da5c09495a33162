//! Counts that couriers share: nothing is counted twice if entries are lost, duplicated or reordered; the rate of a
//! stopped courier decays; a quota decision reports its basis.

use indigohold::shared::counts::{decide_quota, Basis, CountSettings, CounterKey, Counts, FleetValue, Tally};
use indigohold::shared::{Member, Version};
use indigohold::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

const SECOND: u64 = 1_000_000;
const TENANT: CounterKey = CounterKey::Tenant(3);

/// Twenty couriers run in virtual time, each with its own rate. Entries are lost, duplicated, reordered and delayed by up
/// to 3 s; every third courier is killed once and restarts. The total at courier 0 must never exceed the requests made,
/// and must reach them in the end, except for those lost by a kill.
#[test]
fn lost_duplicated_and_late_entries_never_count_twice() {
    for seed in 0..10 {
        let (n, mut rng) = (20u32, Pcg32::seed_from_u64(seed));
        let mut fleet: Vec<Counts> =
            (0..n).map(|i| Counts::new(Member(i), Micros(0), CountSettings::for_members(n))).collect();
        let (mut runs, mut asked, mut published) = (vec![1u64; n as usize], 0u64, vec![0u64; n as usize]);
        let (mut net, mut lost_by_kill) = (Vec::<(u64, u32, Version, CounterKey, Tally)>::new(), 0u64);
        let mut unpublished = vec![0u64; n as usize];
        for now in (0..20 * SECOND).step_by(100_000) {
            for i in 0..n {
                let k = i as usize;
                if i % 3 == 1 && now == 8 * SECOND {
                    runs[k] += 1;
                    (lost_by_kill, unpublished[k], published[k]) = (lost_by_kill + unpublished[k], 0, 0);
                    fleet[k] = Counts::new(Member(i), Micros(now), CountSettings::for_members(n));
                }
                if now < 15 * SECOND {
                    fleet[k].count(TENANT, u64::from(i) + 1, 1);
                    (asked, unpublished[k]) = (asked + u64::from(i) + 1, unpublished[k] + u64::from(i) + 1);
                }
                let mut out = vec![];
                fleet[k].tick(Micros(now), &mut out);
                for (key, tally) in out {
                    (published[k], unpublished[k]) = (published[k] + 1, 0);
                    let version = Version { run: runs[k], counter: published[k] };
                    // Near the end and before the kills the newest entry always arrives, as the transport ensures.
                    let reliable = now >= 16 * SECOND || (7 * SECOND..8 * SECOND).contains(&now);
                    let copies = if reliable { 2 } else { rng.next_u32() % 3 };
                    for _ in 0..copies {
                        let delay = if (7 * SECOND..8 * SECOND).contains(&now) {
                            0
                        } else {
                            u64::from(rng.next_u32()) % (3 * SECOND)
                        };
                        net.push((now + delay, i, version, key, tally));
                    }
                }
            }
            let (arrived, delayed): (Vec<_>, Vec<_>) = net.drain(..).partition(|e| e.0 <= now);
            net = delayed;
            for (_, from, version, key, tally) in arrived {
                fleet[0].merge(Micros(now), Member(from), version, Micros(0), key, tally);
            }
            let total = fleet[0].total(Micros(now), TENANT).0.value;
            assert!(total <= asked as f64, "{total} of {asked} at {now}");
        }
        let total = fleet[0].total(Micros(20 * SECOND), TENANT).0.value;
        assert!(
            total <= asked as f64 && total >= (asked - lost_by_kill) as f64,
            "{total}, {asked}, {lost_by_kill}"
        );
    }
}

#[test]
fn a_rate_uses_the_owners_clock_and_decays_after_its_last_entry() {
    let mut counts = Counts::new(Member(0), Micros(0), CountSettings::for_members(2));
    let entry = |n: u64| {
        (Version { run: 1, counter: n }, Tally { at_ms: (n * 500) as u32, requested: n * 50, refused: n * 5 })
    };
    // Every other entry is lost; the rate stays at 100 per second.
    for n in (2..=20).step_by(2) {
        let (version, tally) = entry(n);
        assert!(counts.merge(Micros(n * 500_000), Member(1), version, Micros(0), TENANT, tally));
        assert!(
            !counts.merge(Micros(n * 500_000), Member(1), version, Micros(0), TENANT, tally),
            "duplicate"
        );
        let rate = counts.rate(Micros(n * 500_000), TENANT);
        assert!((rate.0.value - 100.0).abs() < 1.0 && (rate.1.value - 10.0).abs() < 0.1, "{rate:?}");
        assert_eq!(rate.0.coverage, 1.0);
    }
    // The last entry arrived at 10 s: the rate is unchanged while it is fresh, then halves every 2 s.
    let at = |s: u64| counts.rate(Micros(s * SECOND), TENANT).0;
    assert!((at(12).value - 100.0).abs() < 1.0 && at(12).age == Micros(2 * SECOND));
    assert!((at(14).value - 50.0).abs() < 1.0 && at(14).coverage == 0.5);
    assert!((at(18).value - 12.5).abs() < 1.0);
    // An entry of this courier itself that comes back is ignored.
    let (version, tally) = entry(30);
    assert!(!counts.merge(Micros(19 * SECOND), Member(0), version, Micros(0), TENANT, tally));
}

#[test]
fn a_quota_uses_fleet_counts_if_they_are_fresh_and_the_own_share_otherwise() {
    let settings = CountSettings::for_members(20);
    let fleet_value = |value, age, coverage| FleetValue { value, age: Micros(age), coverage };
    // ((quota, own rate), fleet value, (exceeded, within_per_s, basis))
    let cases = [
        // All requests reach this courier: more than a twentieth of the quota, and within the quota.
        ((20.0, 15.0), fleet_value(15.0, 0, 1.0), (false, 15.0, Basis::Fleet)),
        ((20.0, 15.0), fleet_value(40.0, 0, 1.0), (true, 7.5, Basis::Fleet)),
        // Four fifths of the couriers are heard; the rest is assumed to have the same rate.
        ((20.0, 2.0), fleet_value(20.0, 0, 0.8), (true, 1.6, Basis::Fleet)),
        ((20.0, 15.0), fleet_value(15.0, 0, 0.5), (true, 1.0, Basis::OwnShare)),
        ((20.0, 0.5), fleet_value(90.0, 4 * SECOND, 1.0), (false, 0.5, Basis::OwnShare)),
    ];
    for ((quota, own), fleet, (exceeded, within_per_s, basis)) in cases {
        let decision = decide_quota(quota, own, &fleet, &settings);
        assert_eq!((decision.exceeded, decision.basis), (exceeded, basis), "{fleet:?}");
        assert!((decision.within_per_s - within_per_s).abs() < 1e-9, "{decision:?}");
    }
}
