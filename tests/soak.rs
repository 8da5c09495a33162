//! Soak: couriers under load and faults by seed, held to the rules on duplicates, waits, ends and answers.

#[path = "support/soak/mod.rs"]
mod soak;
mod support;

use soak::play;
use std::sync::Mutex;
use std::thread;

/// Runs side by side.
const AT_ONCE: usize = 8;
const SHORT: std::ops::Range<u64> = 1..9;
const LONG: std::ops::Range<u64> = 1..61;

fn play_all(seeds: std::ops::Range<u64>) {
    let (next, broken) = (Mutex::new(seeds), Mutex::new(Vec::new()));
    thread::scope(|all| {
        for _ in 0..AT_ONCE {
            all.spawn(|| loop {
                let Some(seed) = next.lock().unwrap().next() else { return };
                let (found, played) = play(seed);
                println!("{played}: {} broken", found.len());
                broken.lock().unwrap().extend(found.into_iter().map(|what| format!("seed {seed}: {what}")));
            });
        }
    });
    let broken = broken.into_inner().unwrap();
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn soak_of_eight_seeds_breaks_no_rule() {
    play_all(SHORT);
}

/// `SOAK_SEED` plays one seed.
#[test]
#[ignore = "takes minutes: sixty seeds"]
fn soak_of_sixty_seeds_breaks_no_rule() {
    match std::env::var("SOAK_SEED") {
        Ok(seed) => play_all(seed.parse().map(|seed| seed..seed + 1).unwrap()),
        Err(_) => play_all(LONG),
    }
}
