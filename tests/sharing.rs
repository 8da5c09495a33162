//! What a fleet makes of budgets, counts and judgements that it shares: each world with and without, in one run. `-- --nocapture`
//! prints the figures.

mod common;
#[allow(dead_code)]
#[path = "support/notes.rs"]
mod notes;
#[path = "support/sharing.rs"]
mod sharing;

use common::{endpoint, S};
use sharing::{set_of, Fleet};

const LIMIT: f64 = 60.0;

/// At a load, evenly spread or not: share handed back, calls refused.
fn loaded(n: u32, shares: bool, skew: f64, load: f64) -> (f64, u32) {
    let mut fleet = Fleet::new(&set_of(n, true), LIMIT, shares, 3);
    let place = move |u: f64| ((u.powf(skew) * f64::from(n)) as usize, 9);
    fleet.run(12 * S, LIMIT * load, place);
    fleet.take_ends();
    fleet.run(10 * S, LIMIT * load, place);
    let ends = fleet.take_ends();
    (ends.back as f64 / ends.asked as f64, fleet.refused(12))
}

/// Guards against parts of a limit that keep messages waiting beside room, and against parts that stay where demand is not.
#[test]
fn a_limit_is_used_where_demand_is() {
    let worlds =
        [(2, 3.0, 0.67), (20, 1.0, 0.67), (20, 3.0, 0.67), (40, 3.0, 0.67), (2, 3.0, 1.3), (20, 1.0, 1.3)];
    for (n, skew, load) in worlds {
        let (without, with) = (loaded(n, false, skew, load), loaded(n, true, skew, load));
        println!(
            "{n} couriers, skew {skew}, load {load}: (back, refused) without {without:?}, with {with:?}"
        );
        // Parts that move several times a second take a call's time with them: what is paid stays paid.
        assert_eq!(with.1, 0, "calls over the limit");
        assert!(if load < 1.0 { with.0 <= 0.005 } else { with.0 < without.0 }, "{} handed back", with.0);
    }
}

/// A tenant within its quota whose traffic comes through 2 of 20 couriers, beside one that asks four times its own: share of the
/// first's that is handed back.
fn through_few(shares: bool, seed: u64) -> f64 {
    let mut fleet = Fleet::new(&set_of(20, true), 40.0, shares, seed);
    let place = |u: f64| match u < 0.15 {
        true => ((u / 0.075) as usize, 0),
        false => (((u - 0.15) / 0.85 * 20.0) as usize, 1),
    };
    fleet.run(12 * S, 90.0, place);
    fleet.take_ends();
    fleet.run(20 * S, 90.0, place);
    let (asked, back) = fleet.take_ends().of_first;
    back as f64 / asked as f64
}

/// Guards against a quota that is judged by a small part of a tenant's traffic.
#[test]
fn who_comes_through_few_couriers_and_stays_within_its_quota_is_not_cut() {
    // One world's figure moves by a third of itself.
    let mean = |shares| (5..9).map(|seed| through_few(shares, seed)).sum::<f64>() / 4.0;
    let (without, with) = (mean(false), mean(true));
    println!("within the quota, through 2 of 20: handed back {without:.3} without, {with:.3} with");
    assert!(without > 0.3 && with < without / 3.0, "{without} {with}");
}

/// Guards against parts that add up to more than the limit while each half of a fleet hears only itself, and against parts that
/// stay small when it is healed.
#[test]
fn two_halves_stay_within_the_limit_and_are_whole_again() {
    let mut fleet = Fleet::new(&set_of(20, true), LIMIT, true, 7);
    fleet.run(12 * S, LIMIT * 1.5, |u| ((u * 20.0) as usize, 9));
    fleet.net.link = Box::new(|a, b| (a < 10) == (b < 10));
    // Demand moves to one half while they are apart.
    let few = |u: f64| ((u * 10.0) as usize, 9);
    fleet.run(12 * S, LIMIT * 1.5, few);
    let healed = fleet.second();
    fleet.net.link = Box::new(|_, _| true);
    fleet.run(8 * S, LIMIT * 1.5, few);
    println!("calls by second from the split on: {:?}", &fleet.stand.sent[12..]);
    let most = *fleet.stand.sent[12..].iter().max().unwrap();
    assert!(f64::from(most) <= LIMIT * 1.05, "{most} calls in a second");
    let mean = |from: usize, to: usize| {
        f64::from(fleet.stand.sent[from..to].iter().sum::<u32>()) / (to - from) as f64
    };
    // A quarter of what the idle half owns is never lent: 0.875 of the limit is all that can be used.
    let (apart, whole) = (mean(healed - 6, healed), mean(healed + 3, fleet.second()));
    assert!(apart > 0.45 * LIMIT && whole > 0.7 * LIMIT, "{apart} calls a second apart, {whole} healed");
}

/// Guards against one courier with a bad link that takes an endpoint out for all.
#[test]
fn one_bad_link_takes_nothing_out_for_others() {
    let mut fleet = Fleet::new(&set_of(20, true), LIMIT, true, 9);
    fleet.bad_link = Some(4);
    fleet.run(20 * S, 30.0, |u| ((u * 20.0) as usize, 9));
    for (i, (asked, back)) in fleet.by_sender.iter().enumerate().filter(|(i, _)| *i != 4) {
        assert_eq!(*back, 0, "{i}: of {asked}");
        let beliefs = fleet.desks[i].view().unwrap();
        assert!(!beliefs.excludes(fleet.net.local(i), endpoint(1)), "{i}");
    }
}

/// An outage of 12 s: trials from 2 s on, and how many seconds after its end half the demand is taken.
fn outage(shares: bool) -> (u32, usize) {
    let mut fleet = Fleet::new(&set_of(20, true), LIMIT, shares, 11);
    let all = |u: f64| ((u * 20.0) as usize, 9);
    fleet.run(10 * S, 30.0, all);
    fleet.stand.out = true;
    fleet.run(12 * S, 30.0, all);
    fleet.stand.out = false;
    fleet.run(20 * S, 30.0, all);
    let met = fleet.stand.sent[12..22].iter().sum();
    let back = fleet.stand.sent[22..].iter().position(|n| *n >= 15).unwrap_or(99);
    (met, back)
}

/// Guards against each courier finding an outage and its end by trials of its own.
#[test]
fn an_outage_is_tried_by_one_for_all() {
    let (without, with) = (outage(false), outage(true));
    println!("outage of 12 s: (trials after 2 s, seconds to half) without {without:?}, with {with:?}");
    assert!(with.0 * 2 <= without.0, "{without:?} {with:?}");
    // One trial in a turn of 1.5 s, and a gentle return everywhere: later than by twenty that each try all the time.
    assert!(with.1 <= 6, "{without:?} {with:?}");
}

/// Guards against a control thread that hangs and leaves what it lent and held in force for ever.
#[test]
fn beliefs_of_a_thread_that_hangs_end() {
    let mut fleet = Fleet::new(&set_of(4, true), LIMIT, true, 13);
    fleet.run(8 * S, 50.0, |_| (0, 0));
    let held = |fleet: &Fleet| {
        let (beliefs, now) = (fleet.desks[0].view().unwrap(), fleet.net.local(0));
        (beliefs.destination_share(now, 7).unwrap(), beliefs.tenant_share(now, indigohold::TenantId(0), 20.0))
    };
    assert!(held(&fleet).0 > 0.5 && held(&fleet).1.is_some(), "{:?}", held(&fleet));
    fleet.shares = false;
    fleet.run(8 * S, 50.0, |_| (0, 0));
    assert!(held(&fleet).0 <= 0.251 && held(&fleet).1.is_none(), "{:?}", held(&fleet));
}
