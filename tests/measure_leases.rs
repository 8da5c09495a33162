//! Leases against none near a limit, in virtual time: `cargo test --release --test measure_leases -- --ignored --nocapture`.
//! It prints and judges nothing. `SEEDS` says how many worlds of each kind (4), `ONLY` which loads, by comma, in percent; `KNOWS`
//! is `told`, `listed` or `nothing`, and `WARM` how many seconds go before (30).

mod common;
#[allow(dead_code)]
#[path = "support/notes.rs"]
mod notes;
#[allow(dead_code)]
#[path = "support/sharing.rs"]
mod sharing;

use common::S;
use indigohold::shared::sharing::SharedTopics;
use sharing::{set_of, Fleet};

const LIMIT: f64 = 60.0;

/// What is known of the limit beforehand.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Knows {
    /// Listed, and answers tell it and what is left of it.
    Told,
    Listed,
    Nothing,
}

/// Handed back, done in its aim, refused: shares of what was asked over ten seconds, and notes a second by each.
fn play(n: u32, knows: Knows, skew: f64, load: f64, seed: u64, limits: bool) -> [f64; 4] {
    let mut set = set_of(n, knows != Knows::Nothing);
    if knows == Knows::Listed {
        (set.report_left, set.report_limit) = (None, None);
    }
    let matters = SharedTopics { limits, ..SharedTopics::ALL };
    let mut fleet = Fleet::of(&set, LIMIT, Some(matters), seed);
    let place = move |u: f64| ((u.powf(skew) * f64::from(n)) as usize, 9);
    let warm = std::env::var("WARM").map_or(30, |s| s.parse().unwrap());
    fleet.run(warm * S, LIMIT * load, place);
    fleet.take_ends();
    let notes = fleet.net.sent.0;
    fleet.run(10 * S, LIMIT * load, place);
    let ends = fleet.take_ends();
    let asked = ends.asked as f64;
    let notes = (fleet.net.sent.0 - notes) as f64 / 10.0 / f64::from(n);
    [
        ends.back as f64 / asked,
        ends.in_aim as f64 / asked,
        f64::from(fleet.refused(warm as usize)) / asked,
        notes,
    ]
}

#[test]
#[ignore = "a measurement"]
fn near_a_limit() {
    let seeds: u64 = std::env::var("SEEDS").map_or(4, |s| s.parse().unwrap());
    let only = std::env::var("ONLY").unwrap_or_default();
    let kinds: Vec<Knows> = match std::env::var("KNOWS").as_deref() {
        Ok("listed") => vec![Knows::Listed],
        Ok("nothing") => vec![Knows::Nothing],
        Ok("told") => vec![Knows::Told],
        _ => vec![Knows::Told, Knows::Listed, Knows::Nothing],
    };
    println!("% of what was asked: handed back / in its aim / refused (notes a second by each)");
    for knows in kinds {
        for n in [2, 20, 40] {
            for load in [0.67, 0.95, 1.1, 1.3] {
                if !only.is_empty()
                    && !only.split(',').any(|l| l.parse::<f64>() == Ok((load * 100.0f64).round()))
                {
                    continue;
                }
                for skew in [1.0, 3.0] {
                    let mean = |limits: bool| {
                        let mut sum = [0.0; 4];
                        for seed in 0..seeds {
                            let one = play(n, knows, skew, load, 3 + seed * 17, limits);
                            sum.iter_mut().zip(one).for_each(|(s, x)| *s += x / seeds as f64);
                        }
                        sum
                    };
                    let (off, on) = std::thread::scope(|s| {
                        let off = s.spawn(|| mean(false));
                        (mean(true), off.join().unwrap())
                    });
                    let (on, off) = (off, on);
                    let word = |x: [f64; 4]| {
                        format!(
                            "{:5.1} /{:5.1} /{:5.1} ({:5.1})",
                            x[0] * 100.0,
                            x[1] * 100.0,
                            x[2] * 100.0,
                            x[3]
                        )
                    };
                    println!(
                        "{knows:?} {n:2} couriers, {:3.0} %, skew {skew}: without {}  with {}",
                        load * 100.0,
                        word(off),
                        word(on)
                    );
                }
            }
        }
    }
}
