//! Measures over a fleet, beside the rules: how long it takes to be in full service again after a fault, and what it asks of
//! everybody meanwhile. All from the record of a run and from that of its unharmed twin, the same seed without faults.

use crate::record::{Ended, Fact, Instance, MsgNo, Record};
use crate::scenario::Scenario;
use crate::streams::Streams;
use crate::world::World;
use indigohold::Micros;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Service is looked at so often, in seconds.
pub const STEP: f64 = 0.25;
/// It is looked at over so long, and has to hold for so long; in steps.
const WINDOW: usize = 4;
const HOLDS: usize = 8;
/// Full service: this share of what the twin delivers in time.
const FULL: f64 = 0.95;
/// A class with fewer messages in a window says nothing by itself.
const LEAST: u64 = 20;

/// The measures.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Seconds from the end of the last fault to full service; none: not within the run.
    pub full_service_s: Option<f64>,
    /// Of those messages that were wanted, by share: delivered within their aim, and in the twin.
    pub in_time: f64,
    /// See `in_time`.
    pub twin_in_time: f64,
    /// Handed back by the courier, by share of the messages.
    pub handed_back: f64,
    /// Refused at the door, by share.
    pub refused: f64,
    /// Given up, by share.
    pub given_up: f64,
    /// Calls for the list: all, the most in one second, and those that were turned away.
    pub asks: u64,
    /// See `asks`.
    pub asks_peak: u64,
    /// See `asks`.
    pub asks_refused: u64,
    /// Connections to endpoints: all, and the most in one second.
    pub connects: u64,
    /// See `connects`.
    pub connects_peak: u64,
    /// Calls by all instances that were turned away, by share of the calls.
    pub turned_away: f64,
    /// The most calls that one destination got in a second, in times what it bears.
    pub over_limit: f64,
    /// Cold destinations pushed over.
    pub toppled: u64,
    /// Calls that a destination had room for while messages for it were held, in shares of the messages.
    pub idle_room: f64,
    /// From when an instance is gone to when it serves again, in seconds: the longest.
    pub away_s: f64,
}

/// Steps of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Step {
    /// Messages wanted in it, and of these delivered within their aim, by class.
    pub wanted: Vec<u64>,
    /// See `wanted`.
    pub in_time: Vec<u64>,
    /// Calls for the list and connections in it.
    pub asks: u64,
    /// See `asks`.
    pub connects: u64,
    /// Messages held by instances at its end.
    pub held: u64,
}

/// The steps of a record.
pub fn steps(record: &Record, scenario: &Scenario) -> Vec<Step> {
    let classes = scenario.classes.len();
    let count = (scenario.seconds / STEP).ceil() as usize;
    let empty = Step { wanted: vec![0; classes], in_time: vec![0; classes], ..Step::default() };
    let mut out = vec![empty; count];
    let place = |at: Micros| (record.secs(at) / STEP) as usize;
    let mut wanted: HashMap<MsgNo, (Micros, usize)> = HashMap::new();
    let (mut held, mut done): (HashSet<MsgNo>, HashSet<MsgNo>) = Default::default();
    for (at, fact) in &record.facts {
        let here = place(*at);
        match *fact {
            Fact::Wanted { msg, class, .. } => {
                wanted.insert(msg, (*at, usize::from(class)));
                if let Some(step) = out.get_mut(here) {
                    step.wanted[usize::from(class)] += 1;
                }
            }
            Fact::Taken { msg, .. } => drop(held.insert(msg)),
            Fact::Told { msg, .. } => drop(held.remove(&msg)),
            Fact::Back { msg, ended: Ended::Delivered, .. } => {
                held.remove(&msg);
                let Some((since, class)) = wanted.get(&msg).copied().filter(|_| done.insert(msg)) else {
                    continue;
                };
                if *at - since <= scenario.classes[class].aim {
                    if let Some(step) = out.get_mut(place(since)) {
                        step.in_time[class] += 1;
                    }
                }
            }
            Fact::Asked { .. } => out.get_mut(here).into_iter().for_each(|s| s.asks += 1),
            Fact::Connected { .. } => out.get_mut(here).into_iter().for_each(|s| s.connects += 1),
            _ => {}
        }
        if let Some(step) = out.get_mut(here) {
            step.held = held.len() as u64;
        }
    }
    out
}

/// Whether service is full in the window that begins at a step, against the twin's.
fn full(steps: &[Step], twin: &[Step], from: usize) -> bool {
    let sum = |steps: &[Step], by: fn(&Step) -> &Vec<u64>, class: usize| -> u64 {
        steps[from..from + WINDOW].iter().map(|s| by(s)[class]).sum()
    };
    let classes = steps[from].wanted.len();
    let (mut ours, mut theirs) = (0, 0);
    for class in 0..classes {
        let (we, they) = (sum(steps, |s| &s.in_time, class), sum(twin, |s| &s.in_time, class));
        let enough = sum(twin, |s| &s.wanted, class) >= LEAST;
        if enough && (we as f64) < FULL * they as f64 {
            return false;
        }
        (ours, theirs) = (ours + we, theirs + they);
    }
    ours as f64 >= FULL * theirs as f64
}

/// Seconds from a moment to full service.
fn full_service(steps: &[Step], twin: &[Step], since: f64) -> Option<f64> {
    let first = (since / STEP).ceil() as usize;
    let last = steps.len().min(twin.len()).checked_sub(WINDOW + HOLDS)?;
    let holds = |at: usize| (at..at + HOLDS).all(|n| full(steps, twin, n));
    (first..=last).find(|at| holds(*at)).map(|at| (at as f64 * STEP - since).max(0.0))
}

fn peak(steps: &[Step], by: fn(&Step) -> u64) -> u64 {
    steps.windows(WINDOW.min(steps.len().max(1))).map(|w| w.iter().map(by).sum()).max().unwrap_or(0)
}

/// The measures of a run beside its twin's record.
pub fn measures(record: &Record, twin: &Record, scenario: &Scenario, seed: u64) -> Measures {
    let (ours, theirs) = (steps(record, scenario), steps(twin, scenario));
    let share = |part: u64, of: u64| part as f64 / of.max(1) as f64;
    let all =
        |steps: &[Step], by: fn(&Step) -> &Vec<u64>| -> u64 { steps.iter().flat_map(|s| by(s).iter()).sum() };
    let wanted = all(&ours, |s| &s.wanted);
    let mut m = Measures {
        full_service_s: scenario.last_trouble().and_then(|at| full_service(&ours, &theirs, at)),
        in_time: share(all(&ours, |s| &s.in_time), wanted),
        twin_in_time: share(all(&theirs, |s| &s.in_time), all(&theirs, |s| &s.wanted)),
        asks: ours.iter().map(|s| s.asks).sum(),
        asks_peak: peak(&ours, |s| s.asks),
        connects: ours.iter().map(|s| s.connects).sum(),
        connects_peak: peak(&ours, |s| s.connects),
        ..Measures::default()
    };
    let (mut told, mut refused, mut given, mut calls, mut away) = (0, 0, 0, 0u64, 0u64);
    let mut gone: HashMap<Instance, Micros> = HashMap::new();
    for (at, fact) in &record.facts {
        match *fact {
            Fact::Told { harmless: true, .. } => told += 1,
            Fact::Told { .. } => given += 1,
            Fact::Refused { .. } => refused += 1,
            Fact::Began { .. } => calls += 1,
            Fact::Back { ended: Ended::TurnedAway(_), .. } => away += 1,
            Fact::Asked { answered: false, .. } => m.asks_refused += 1,
            Fact::Toppled { .. } => m.toppled += 1,
            Fact::Down(n, _) => drop(gone.insert(n, *at)),
            Fact::Up(n) => {
                let since = gone.remove(&n).map(|since| (*at - since).secs());
                m.away_s = m.away_s.max(since.unwrap_or(0.0));
            }
            _ => {}
        }
    }
    (m.handed_back, m.refused, m.given_up) =
        (share(told, wanted), share(refused, wanted), share(given, wanted));
    m.turned_away = share(away, calls);
    let room = Room::of(record, scenario, seed);
    (m.over_limit, m.idle_room) = (room.over, room.idle / wanted.max(1) as f64);
    m
}

/// What destinations bear, beside what they were asked and what was held for them.
struct Room {
    over: f64,
    idle: f64,
}

impl Room {
    fn of(record: &Record, scenario: &Scenario, seed: u64) -> Room {
        let world = World::new(scenario, Streams::new(seed), Micros(0));
        let bears: Vec<f64> =
            (0..world.dests()).map(|d| world.endpoints_of(d).next().map_or(0.0, |(_, _, w)| w)).collect();
        let count = (scenario.seconds / STEP).ceil() as usize;
        let mut asked: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let mut held: BTreeMap<usize, Vec<f64>> = BTreeMap::new();
        let mut dest_of: HashMap<MsgNo, usize> = HashMap::new();
        let mut now: BTreeMap<usize, HashSet<MsgNo>> = BTreeMap::new();
        let mut at_step = 0;
        for (at, fact) in &record.facts {
            let here = (record.secs(*at) / STEP) as usize;
            // What is held at the end of a step could have gone in it.
            while at_step < here.min(count) {
                for (dest, held_now) in &now {
                    held.entry(*dest).or_insert_with(|| vec![0.0; count])[at_step] = held_now.len() as f64;
                }
                at_step += 1;
            }
            match *fact {
                Fact::Wanted { msg, dest, .. } => drop(dest_of.insert(msg, dest as usize)),
                Fact::Taken { msg, .. } => {
                    let dest = dest_of.get(&msg).copied().unwrap_or_default();
                    now.entry(dest).or_default().insert(msg);
                }
                Fact::Told { msg, .. } | Fact::Back { msg, ended: Ended::Delivered, .. } => {
                    let dest = dest_of.get(&msg).copied().unwrap_or_default();
                    now.entry(dest).or_default().remove(&msg);
                }
                Fact::Began { to, .. } if here < count => {
                    asked.entry(world.dest_of(to)).or_insert_with(|| vec![0.0; count])[here] += 1.0;
                }
                _ => {}
            }
        }
        let (mut over, mut idle) = (0.0f64, 0.0);
        for (dest, asked) in &asked {
            let bears = bears[*dest].max(1e-9);
            let second = |w: &[f64]| w.iter().sum::<f64>() / (bears * STEP * WINDOW as f64);
            // A destination that bears a few calls a second is over it by chance alone.
            if bears >= 10.0 {
                over = asked.windows(WINDOW).map(second).fold(over, f64::max);
            }
        }
        for (dest, held) in &held {
            let none = vec![0.0; count];
            let asked = asked.get(dest).unwrap_or(&none);
            let free = |n: usize| (bears[*dest] * STEP - asked[n]).max(0.0);
            idle += (0..count).map(|n| free(n).min(held[n])).sum::<f64>();
        }
        Room { over, idle }
    }
}

/// The steps as CSV, the twin's beside.
pub fn csv(ours: &[Step], twin: &[Step]) -> String {
    let mut out = "at_s,wanted,in_time,twin_in_time,asks,connects,held\n".to_owned();
    for (n, (step, twin)) in ours.iter().zip(twin).enumerate() {
        let sum = |v: &[u64]| v.iter().sum::<u64>();
        out.push_str(&format!(
            "{:.2},{},{},{},{},{},{}\n",
            n as f64 * STEP,
            sum(&step.wanted),
            sum(&step.in_time),
            sum(&twin.in_time),
            step.asks,
            step.connects,
            step.held
        ));
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Ten messages a step, of which so many in time.
    fn run(in_time: &[u64]) -> Vec<Step> {
        in_time.iter().map(|n| Step { wanted: vec![10], in_time: vec![*n], ..Step::default() }).collect()
    }

    #[test]
    fn full_service_is_where_it_begins_to_hold() {
        let twin = run(&[10; 40]);
        let mut ours = vec![10; 40];
        ours[8..16].fill(0);
        // It seems to be back, and is not: a second dip within 2 s.
        ours[21] = 5;
        assert_eq!(full_service(&run(&ours), &twin, 2.0), Some(3.5));
        ours[21] = 10;
        assert_eq!(full_service(&run(&ours), &twin, 2.0), Some(2.0));
        assert_eq!(full_service(&run(&[10; 40]), &twin, 2.0), Some(0.0));
        assert_eq!(full_service(&run(&[9; 40]), &twin, 2.0), None, "nine of ten is not full");
        assert_eq!(full_service(&run(&[9; 40]), &run(&[9; 40]), 2.0), Some(0.0), "the twin is no better");
    }

    #[test]
    fn a_class_that_is_starved_is_not_hidden_by_the_others() {
        let step = |few: u64| Step { wanted: vec![100, 6], in_time: vec![100, few], ..Step::default() };
        let twin: Vec<Step> = (0..30).map(|_| step(6)).collect();
        let starved: Vec<Step> = (0..30).map(|_| step(3)).collect();
        assert_eq!(full_service(&starved, &twin, 1.0), None);
        assert_eq!(full_service(&twin, &twin, 1.0), Some(0.0));
    }

    #[test]
    fn room_that_was_not_used_while_messages_were_held_counts() {
        let text = br#"{"seconds":2,"destinations":{"count":1,"endpoints":1,"limit":{"kind":"rate","times":1}},"clients":{"rate":20}}"#;
        let scenario = Scenario::read(text).unwrap();
        let mut record = Record::new(Micros(0));
        let at = |secs: f64| Micros::from_secs(secs);
        let wanted = Fact::Wanted { msg: 1, class: 0, tenant: 0, dest: 0, due: at(9.0) };
        record.put(at(0.1), wanted);
        record.put(at(0.1), Fact::Taken { msg: 1, at: 0 });
        record.put(at(1.1), Fact::Began { msg: 1, by: 0, to: 0, attempt: 0 });
        record.put(at(1.2), Fact::Back { msg: 1, by: 0, to: 0, ended: Ended::Delivered });
        record.put(at(1.9), Fact::Up(0));
        let m = measures(&record, &record, &scenario, 1);
        // Held at the end of four quarters of a second, in each of which five calls would have been taken.
        assert_eq!((m.idle_room, m.in_time), (4.0, 1.0));
    }
}
