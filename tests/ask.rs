//! Questions to all against fixed deadlines and against one that knows all latencies in advance, in virtual time.

use indigohold::ask::{AskConfig, Coordinator, CourierId, Decision, Kind, Part, Piece, Presence};
use indigohold::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const COURIERS: usize = 40;
const QUESTIONS: usize = 300;
const APART: u64 = 20_000_000;
/// What others offer: these deadlines, each for all questions, ends early where all that are not away have answered.
const GRID_MS: [u64; 24] = [
    1, 2, 3, 5, 7, 10, 15, 20, 30, 40, 60, 80, 100, 130, 170, 220, 300, 400, 550, 700, 900, 1_200, 1_600,
    2_000,
];

/// A question's latencies, `None`: never; and who is known to be away.
type Latencies = [(Option<Micros>, bool); COURIERS];

struct Dice(Pcg64Mcg);

impl Dice {
    fn unit(&mut self) -> f64 {
        (self.0.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }

    fn log_normal(&mut self, median_ms: f64, spread: f64) -> Option<Micros> {
        let normal = (-2.0 * (1.0 - self.unit()).ln()).sqrt() * (self.unit() * std::f64::consts::TAU).cos();
        Some(Micros((median_ms * 1e3 * (normal * spread).exp()) as u64))
    }
}

/// Question, courier, its own usual milliseconds (10 to 40), chance.
type World = fn(usize, usize, f64, &mut Dice) -> (Option<Micros>, bool);

const WORLDS: [(&str, World); 8] = [
    ("steady log-normal", |_, _, usual, dice| (dice.log_normal(usual, 0.4), false)),
    ("heavy tail", |_, _, usual, dice| (dice.log_normal(usual / 2.0, 1.8), false)),
    ("one slow for ever, one lost", |_, courier, usual, dice| match courier {
        3 => (dice.log_normal(3_000.0, 0.3), false),
        4 => (None, false),
        _ => (dice.log_normal(usual, 0.4), false),
    }),
    ("all slow from half-way", |question, _, usual, dice| {
        let slow = if question < QUESTIONS / 2 { 0.5 } else { 8.0 };
        (dice.log_normal(usual * slow, 0.5), false)
    }),
    ("two humps, a part away", |question, courier, usual, dice| {
        let away = courier % 8 == 1;
        let hump = if dice.unit() < 0.75 { 0.5 } else { 15.0 };
        let latency = dice.log_normal(usual * hump, 0.3).filter(|_| !away);
        (latency, away && question >= 20)
    }),
    ("half late once known fast", |question, courier, usual, dice| {
        let late = courier % 2 == 0 && question >= QUESTIONS / 2;
        (dice.log_normal(if late { usual * 20.0 } else { usual / 4.0 }, 0.4), false)
    }),
    ("smaller part of a split", |question, courier, usual, dice| {
        let cut = courier < 28 && (100..200).contains(&question);
        (dice.log_normal(usual, 0.4).filter(|_| !cut), cut && question > 102)
    }),
    ("slow by turns", |question, courier, usual, dice| {
        let slow = (question / 25 + courier) % 4 == 0;
        (dice.log_normal(if slow { usual * 10.0 } else { usual }, 0.4), false)
    }),
];

fn play(world: World, seed: u64) -> Vec<Latencies> {
    let mut dice = Dice(Pcg64Mcg::seed_from_u64(seed));
    let usual: Vec<f64> = (0..COURIERS).map(|_| 10.0 + 30.0 * dice.unit()).collect();
    let one = |question| std::array::from_fn(|courier| world(question, courier, usual[courier], &mut dice));
    (0..QUESTIONS).map(one).collect()
}

fn weight(courier: usize) -> f64 {
    1.0 + (courier % 5) as f64
}

fn share(courier: usize) -> f64 {
    weight(courier) / 120.0 // the sum of all
}

fn part(courier: usize, away: bool) -> Part {
    let presence = if away { Presence::Away } else { Presence::Present };
    Part { courier: CourierId(courier as u16), incarnation: 1, weight: Some(weight(courier)), presence }
}

fn piece(courier: usize) -> Piece {
    Piece {
        courier: CourierId(courier as u16),
        incarnation: 1,
        number: 0,
        last: true,
        figure: 1,
        settles: false,
    }
}

/// Worth of what came by `stop` milliseconds, which is cut short where nobody is left to be waited for.
fn worth_of(config: &AskConfig, of: &Latencies, stop: Micros) -> f64 {
    let worth = config.answer_value(Kind::History);
    let waited =
        of.iter().filter(|(_, away)| !away).map(|(latency, _)| latency.map_or(stop, |l| l.min(stop)));
    let time = waited.max().unwrap_or_default();
    let came =
        |(_, (latency, away)): &(usize, &(Option<Micros>, bool))| !away && latency.is_some_and(|l| l <= stop);
    let shares: f64 = of.iter().enumerate().filter(came).map(|(courier, _)| share(courier)).sum();
    let whole = if shares > 0.999_999 { worth.completeness_bonus } else { 0.0 };
    worth.share_value * shares + whole - worth.cost_per_ms * time.0 as f64 / 1e3
}

/// The learnt rule's worth of each question. `late`: whether answers after the end still come through.
fn learnt(config: &AskConfig, all: &[Latencies], late: bool) -> Vec<f64> {
    let mut desk = Coordinator::new(config.clone(), CourierId(1_000), 1);
    let mut out = Vec::new();
    for (n, of) in all.iter().enumerate() {
        let start = Micros(1 + n as u64 * APART);
        let fleet: Vec<Part> = of.iter().enumerate().map(|(c, (_, away))| part(c, *away)).collect();
        let id = desk.ask(start, Kind::History, 0, &fleet).unwrap();
        let answering = of.iter().enumerate().filter(|(_, (_, away))| !away);
        let mut answers: Vec<(Micros, usize)> =
            answering.filter_map(|(c, (l, _))| Some(((*l)?, c))).collect();
        answers.sort();
        let mut answers = answers.into_iter().peekable();
        let mut now = start;
        let answer = loop {
            while let Some((_, courier)) = answers.next_if(|(latency, _)| start + *latency <= now) {
                desk.record_piece(now, id, &piece(courier));
            }
            match desk.decide(now, id).unwrap() {
                Decision::Ended(answer) => break answer,
                Decision::Wait(again) => {
                    assert!(again > now, "time goes on");
                    now = answers.peek().map_or(again, |(latency, _)| again.min(start + *latency));
                }
            }
        };
        let worth = config.answer_value(Kind::History);
        let whole = if answer.complete { worth.completeness_bonus } else { 0.0 };
        out.push(
            worth.share_value * answer.share + whole - worth.cost_per_ms * answer.elapsed.0 as f64 / 1e3,
        );
        for (latency, courier) in answers.filter(|(latency, _)| late && *latency < Micros(10_000_000)) {
            desk.record_piece(start + latency, id, &piece(courier));
        }
    }
    out
}

fn knows_all(config: &AskConfig, of: &Latencies) -> f64 {
    let times = of.iter().filter_map(|(latency, away)| latency.filter(|_| !away));
    let times = times.filter(|t| *t <= config.answer_value(Kind::History).max_wait).chain([Micros(0)]);
    times.map(|stop| worth_of(config, of, stop)).fold(0.0, f64::max)
}

/// Prints the table and holds it to the bar.
fn compare(title: &str, config: &AskConfig, late: bool, seeds: &[u64]) {
    println!("\n{title}\n{:<28} learnt  fixed (ms)     ratio  knows all  first 20", "");
    let (mut sum, mut fixed_sums) = (0.0, [0.0; GRID_MS.len()]);
    let mut under = Vec::new();
    for (name, world) in WORLDS {
        let count = (seeds.len() * QUESTIONS) as f64;
        let (mut mine, mut first, mut all_known) = (0.0, 0.0, 0.0);
        let mut fixed = [0.0; GRID_MS.len()];
        for seed in seeds {
            let all = play(world, *seed);
            let worths = learnt(config, &all, late);
            mine += worths.iter().sum::<f64>() / count;
            first += worths[..20].iter().sum::<f64>() / 20.0 / seeds.len() as f64;
            for of in &all {
                all_known += knows_all(config, of) / count;
                for (sum, ms) in fixed.iter_mut().zip(GRID_MS) {
                    *sum += worth_of(config, of, Micros(ms * 1_000)) / count;
                }
            }
        }
        let best = (0..GRID_MS.len()).max_by(|a, b| fixed[*a].total_cmp(&fixed[*b])).unwrap();
        let ratio = mine / fixed[best];
        println!(
            "{name:<28} {mine:.4}  {:.4} ({:>4})  {ratio:.3}  {all_known:.4}     {first:.4}",
            fixed[best], GRID_MS[best]
        );
        if ratio < 0.95 {
            under.push((name, ratio));
        }
        sum += mine;
        fixed_sums.iter_mut().zip(fixed).for_each(|(sum, fixed)| *sum += fixed);
    }
    let best = (0..GRID_MS.len()).max_by(|a, b| fixed_sums[*a].total_cmp(&fixed_sums[*b])).unwrap();
    println!("{:<28} {sum:.4}  {:.4} ({:>4})", "all", fixed_sums[best], GRID_MS[best]);
    assert!(under.is_empty(), "under 0.95 of the best fixed deadline: {under:?}");
    assert!(sum > fixed_sums[best], "{sum} over all, a fixed deadline has {}", fixed_sums[best]);
}

fn settings(share: f64, whole: f64, ms_costs: f64) -> AskConfig {
    let mut config = AskConfig::default();
    for worth in &mut config.answer_values {
        (worth.share_value, worth.completeness_bonus, worth.cost_per_ms) = (share, whole, ms_costs);
    }
    config
}

fn cut_off() -> AskConfig {
    let mut config = settings(1.0, 0.0, 0.001);
    config.latency_memory.linger = Micros(0);
    config
}

#[test]
fn the_learnt_wait_holds_its_own_against_fixed_ones() {
    compare("a second costs what all is worth", &settings(1.0, 0.0, 0.001), true, &[1]);
    compare("late answers are cut off", &cut_off(), false, &[1]);
}

/// cargo test --release --test ask -- --ignored --nocapture
#[test]
#[ignore = "the whole table, for the record"]
fn the_whole_table() {
    let seeds = [1, 2, 3, 4, 5];
    compare("a second costs what all is worth", &settings(1.0, 0.0, 0.001), true, &seeds);
    compare("time is dear", &settings(1.0, 0.0, 0.004), true, &seeds);
    compare("time is cheap", &settings(1.0, 0.0, 0.000_2), true, &seeds);
    compare("half of the worth only where none is missing", &settings(0.5, 0.5, 0.001), true, &seeds);
    compare("late answers are cut off", &cut_off(), false, &seeds);
}

/// Half of the couriers are late just after the asker has learnt that all are fast. What the first such question loses by
/// waiting for them is the price of not knowing; from the second on it is known.
#[test]
fn half_of_them_late_just_after_they_were_known_to_be_fast() {
    let all = play(WORLDS[5].1, 7);
    let turn = QUESTIONS / 2;
    for (ms_costs, first) in [(0.000_2, 0.9), (0.001, 0.6), (0.004, 0.3)] {
        let config = settings(1.0, 0.0, ms_costs);
        let worths = learnt(&config, &all, true);
        let fixed = |n: usize| GRID_MS.map(|ms| worth_of(&config, &all[n], Micros(ms * 1_000)));
        let ratio = |of: std::ops::Range<usize>| {
            let best: f64 = of.clone().map(|n| fixed(n).into_iter().fold(0.0, f64::max)).sum();
            worths[of].iter().sum::<f64>() / best
        };
        let ratios = [0..turn, turn..turn + 1, turn + 1..turn + 4, turn + 4..QUESTIONS].map(ratio);
        println!("{ms_costs}: before, first, next three, then, of the best for each question: {ratios:.3?}");
        assert!(ratios[0] > 0.95 && ratios[1] > first && ratios[2] > 0.9 && ratios[3] > 0.95);
    }
}
