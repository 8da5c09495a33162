//! Figures of a run, all taken from its record.

use crate::record::{Ended, Fact, MsgNo, Record};
use crate::rules;
use crate::scenario::Scenario;
use hdrhistogram::Histogram;
use indigohold::Micros;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// Latencies, in milliseconds, by share of the messages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Latency {
    /// Half of them.
    pub p50: f64,
    /// 99 of 100.
    pub p99: f64,
    /// 999 of 1,000.
    pub p999: f64,
    /// All.
    pub max: f64,
}

impl Latency {
    /// Of what was counted in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Latency {
        let at = |share: f64| histogram.value_at_quantile(share) as f64 / 1e3;
        Latency { p50: at(0.5), p99: at(0.99), p999: at(0.999), max: histogram.max() as f64 / 1e3 }
    }
}

/// A histogram for latencies up to an hour, in microseconds, exact to three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("these bounds are within what it takes")
}

/// One class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Its name.
    pub name: String,
    /// Messages.
    pub wanted: u64,
    /// Of these delivered.
    pub delivered: u64,
    /// Worth earned, as a share of the worth asked.
    pub goodput: f64,
    /// Messages that took effect more often than they may.
    pub doubles: u64,
    /// From when it was wanted to when its delivery was known.
    pub latency: Latency,
}

/// One second of a run, by when its messages were wanted or its calls made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth asked, and of that earned in the end.
    pub asked: f64,
    /// See `asked`.
    pub earned: f64,
    /// Calls begun; of these repeats; and refusals heard.
    pub calls: u32,
    /// See `calls`.
    pub repeats: u32,
    /// See `calls`.
    pub refusals: u32,
    /// Messages delivered in it.
    pub delivered: u32,
    /// Taken on and without an end, at its end.
    pub owed: u32,
}

/// The figures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Figures {
    /// Messages wanted by clients.
    pub wanted: u64,
    /// Delivered.
    pub delivered: u64,
    /// Times that one was refused at the door.
    pub refused: u64,
    /// Told as given up, and as handed back.
    pub given_up: u64,
    /// See `given_up`.
    pub handed_back: u64,
    /// Worth earned, as a share of the worth asked.
    pub goodput: f64,
    /// The same over the worst ten seconds in a row.
    pub worst_10s: f64,
    /// Seconds from the end of the last trouble until goodput is what it was before the first: 0 at once; none: not
    /// within the run, or there was no trouble.
    pub recovery_s: Option<f64>,
    /// There was trouble, and goodput did not come back.
    pub stuck: bool,
    /// Calls begun.
    pub calls: u64,
    /// Of these further tries.
    pub repeats: u64,
    /// Calls turned away.
    pub refusals: u64,
    /// Calls without an answer in time.
    pub timeouts: u64,
    /// Messages that took effect more often than they may.
    pub doubles: u64,
    /// Times that a cold destination was pushed over.
    pub toppled: u64,
    /// By class.
    pub classes: Vec<ClassFigures>,
    /// From wanted to known as delivered, all classes.
    pub latency: Latency,
    /// Its distribution: milliseconds within which each whole percent of the delivered messages was known, from 0 to 100.
    #[serde(default)]
    pub distribution: Vec<f64>,
    /// By second.
    pub seconds: Vec<Second>,
}

/// Goodput counts as come back at this share of what it was.
const BACK: f64 = 0.95;
/// Over so many seconds.
const BACK_SPAN: usize = 3;
const WORST_SPAN: usize = 10;

/// The figures of a record.
pub fn figures(record: &Record, scenario: &Scenario) -> Figures {
    struct Message {
        at: Micros,
        class: usize,
        due: Micros,
        began: u32,
        delivered: bool,
        owed: bool,
    }
    let span = scenario.seconds.ceil() as usize + 1;
    let mut seconds = vec![Second::default(); span];
    let mut messages: HashMap<MsgNo, Message> = HashMap::new();
    let (mut all, mut owed) = (histogram(), 0i64);
    let mut by_class: Vec<(u64, u64, f64, f64, Histogram<u64>)> =
        scenario.classes.iter().map(|_| (0, 0, 0.0, 0.0, histogram())).collect();
    let mut f = Figures {
        wanted: 0,
        delivered: 0,
        refused: 0,
        given_up: 0,
        handed_back: 0,
        goodput: 0.0,
        worst_10s: 0.0,
        recovery_s: None,
        stuck: false,
        calls: 0,
        repeats: 0,
        refusals: 0,
        timeouts: 0,
        doubles: 0,
        toppled: 0,
        classes: Vec::new(),
        latency: Latency::default(),
        distribution: Vec::new(),
        seconds: Vec::new(),
    };
    for (at, fact) in &record.facts {
        let place = (record.secs(*at) as usize).min(span - 1);
        match *fact {
            Fact::Wanted { msg, class, due, .. } => {
                let class = usize::from(class);
                let m = Message { at: *at, class, due, began: 0, delivered: false, owed: false };
                messages.insert(msg, m);
                let Some(c) = scenario.classes.get(class) else { continue };
                f.wanted += 1;
                seconds[place].asked += c.worth;
                by_class[class].0 += 1;
                by_class[class].2 += c.worth;
            }
            Fact::Taken { msg, .. } => {
                if let Some(m) = messages.get_mut(&msg) {
                    owed += i64::from(!m.owed);
                    (m.owed, m.began) = (true, 0);
                }
            }
            Fact::Refused { .. } => f.refused += 1,
            Fact::Began { msg, .. } => {
                f.calls += 1;
                seconds[place].calls += 1;
                if let Some(m) = messages.get_mut(&msg) {
                    m.began += 1;
                    if m.began > 1 {
                        f.repeats += 1;
                        seconds[place].repeats += 1;
                    }
                }
            }
            Fact::Back { msg, ended, .. } => match ended {
                Ended::TurnedAway(_) => {
                    f.refusals += 1;
                    seconds[place].refusals += 1;
                }
                Ended::TimedOut => f.timeouts += 1,
                Ended::Delivered => {
                    let Some(m) = messages.get_mut(&msg).filter(|m| !m.delivered) else { continue };
                    m.delivered = true;
                    owed -= i64::from(std::mem::take(&mut m.owed));
                    let took = *at - m.at;
                    let Some(c) = scenario.classes.get(m.class) else { continue };
                    let worth = worth(c.worth, c.late_worth, took, c.aim, m.due - m.at);
                    let wanted = (record.secs(m.at) as usize).min(span - 1);
                    seconds[wanted].earned += worth;
                    seconds[place].delivered += 1;
                    f.delivered += 1;
                    by_class[m.class].1 += 1;
                    by_class[m.class].3 += worth;
                    by_class[m.class].4.saturating_record(took.0.max(1));
                    all.saturating_record(took.0.max(1));
                }
                _ => {}
            },
            Fact::Told { msg, harmless, .. } => {
                if harmless {
                    f.handed_back += 1;
                } else {
                    f.given_up += 1;
                }
                if let Some(m) = messages.get_mut(&msg) {
                    owed -= i64::from(std::mem::take(&mut m.owed));
                }
            }
            Fact::Toppled { .. } => f.toppled += 1,
            _ => {}
        }
        seconds[place].owed = owed.max(0) as u32;
    }
    let doubles = rules::doubles(record, scenario);
    f.doubles = doubles.values().sum();
    for (n, (class, (wanted, delivered, asked, earned, latency))) in
        scenario.classes.iter().zip(&by_class).enumerate()
    {
        f.classes.push(ClassFigures {
            name: class.name.clone(),
            wanted: *wanted,
            delivered: *delivered,
            goodput: share(*earned, *asked),
            doubles: doubles.get(&(n as u16)).copied().unwrap_or_default(),
            latency: Latency::of(latency),
        });
    }
    f.latency = Latency::of(&all);
    f.distribution = (0..=100).map(|n| all.value_at_quantile(f64::from(n) / 100.0) as f64 / 1e3).collect();
    f.goodput = over(&seconds);
    f.worst_10s = seconds.windows(WORST_SPAN.min(span)).map(over).fold(f64::INFINITY, f64::min);
    (f.recovery_s, f.stuck) = recovery(scenario, &seconds);
    f.seconds = seconds;
    f
}

fn share(earned: f64, asked: f64) -> f64 {
    if asked > 0.0 {
        earned / asked
    } else {
        1.0
    }
}

fn over(part: &[Second]) -> f64 {
    share(part.iter().map(|s| s.earned).sum(), part.iter().map(|s| s.asked).sum())
}

fn worth(worth: f64, late: f64, took: Micros, aim: Micros, life: Micros) -> f64 {
    if took <= aim {
        return worth;
    }
    if took > life {
        return 0.0;
    }
    let part = (took - aim).secs() / (life - aim).secs().max(1e-9);
    worth * (1.0 - (1.0 - late) * part)
}

fn recovery(scenario: &Scenario, seconds: &[Second]) -> (Option<f64>, bool) {
    let Some(last) = scenario.last_trouble() else { return (None, false) };
    let firsts = scenario.faults.iter().map(|f| f.at).chain(scenario.kills.iter().map(|k| k.at));
    let firsts = firsts.chain(scenario.registry.down.iter().map(|d| d.0));
    let firsts = firsts.chain(scenario.clients.surges.iter().map(|s| s.0));
    let first = firsts.fold(f64::INFINITY, f64::min);
    let whole = scenario.seconds as usize;
    let before = (first as usize).min(whole);
    let usual = if before >= 2 { over(&seconds[1..before]) } else { 1.0 };
    let from = (last.ceil() as usize).min(whole);
    let spans = (from..).take_while(|s| s + BACK_SPAN <= whole);
    for second in spans {
        if over(&seconds[second..second + BACK_SPAN]) >= usual * BACK {
            return (Some((second as f64 - last).max(0.0)), false);
        }
    }
    (None, from + BACK_SPAN <= whole)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn worth_is_full_to_the_aim_and_falls_evenly_to_the_deadline() {
        let at = |secs: f64| worth(2.0, 0.5, Micros::from_secs(secs), Micros(2_000_000), Micros(6_000_000));
        assert_eq!(at(2.0), 2.0);
        assert!((at(4.0) - 1.5).abs() < 1e-9);
        assert!((at(6.0) - 1.0).abs() < 1e-9);
        assert_eq!(at(6.1), 0.0);
    }
}
