//! The rules, checked from the world's side: on the record of what was seen, not on the courier's books. Each broken one is
//! told with the shortest trace of the message concerned. `lab/tests/rules.rs` has a trace that breaks each of them.

mod doubles;
mod link_uncertainty;

pub use doubles::doubles;

use crate::record::{Ended, Fact, Instance, MsgNo, Record};
use crate::scenario::{Effect, Scenario};
use crate::world::{EndpointNo, Listed};
use indigohold::Micros;
use link_uncertainty::LinkUncertainty;
use std::collections::{BTreeMap, HashMap};

/// Latest end of an accepted message after its deadline.
const LATE: Micros = Micros(300_000);
/// The same after a restart, from when the instance serves again.
const AFTER_RESTART: Micros = Micros(1_500_000);
/// Time after the announcement of a drain from which its endpoint gets no new call.
const DRAIN: Micros = Micros(250_000);
/// Time after the arrival of a response from which the wait that it demands holds.
const WAIT: Micros = Micros(100_000);
/// Repeats stay under this share of the first tries, plus a reserve for each second and one for the beginning.
const REPEATS: f64 = 1.0 / 3.0;
const RESERVE_PER_S: f64 = 1.0;
const RESERVE: f64 = 10.0;
/// Traces that are told of one rule.
const TOLD_MOST: usize = 5;

/// The rules, by the names under which they are told.
pub const RULES: [&str; 11] = [
    "one end",
    "lost",
    "twice",
    "drain",
    "wait",
    "topple",
    "one out",
    "attempts",
    "budget",
    "taken first",
    "in time",
];

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq)]
pub struct Broken {
    /// Which, of [`RULES`].
    pub rule: &'static str,
    /// When.
    pub at: Micros,
    /// What happened.
    pub what: String,
    /// What became of the message, in the order of time.
    pub trace: Vec<String>,
}

#[derive(Default)]
struct Message {
    class: u16,
    dest: u32,
    due: Micros,
    /// Who took it on and owes its end; and its calls since then.
    holder: Option<Instance>,
    began: u32,
    /// Its last end, once it has one.
    delivered: bool,
    /// When that was first so.
    delivered_at: Option<Micros>,
    told: Option<bool>,
    effects: u32,
    /// Calls out, by whom and where.
    out: Vec<(Instance, EndpointNo)>,
    wanted: bool,
}

#[derive(Default)]
struct Seen {
    up: bool,
    /// When it last began to serve, and when it last went.
    up_at: Micros,
    down_at: Option<Micros>,
    /// What it was told of endpoints, and when.
    listed: HashMap<EndpointNo, Micros>,
    /// Waits by destination: told when, until when.
    waits: HashMap<u32, (Micros, Micros)>,
    firsts: u64,
    repeats: u64,
    since: Option<Micros>,
}

/// The checkers of one run.
struct Checker<'a> {
    uncertainty: LinkUncertainty,
    scenario: &'a Scenario,
    record: &'a Record,
    /// Destinations of endpoints, as far as calls have shown them.
    broken: Vec<(&'static str, Micros, Option<MsgNo>, String)>,
    messages: BTreeMap<MsgNo, Message>,
    instances: BTreeMap<Instance, Seen>,
}

/// All rules that a run broke, at most five of each with their traces, in the order of time.
pub fn check(record: &Record, scenario: &Scenario) -> Vec<Broken> {
    check_for(record, scenario, true)
}

/// The same; without the budget of repeats where a policy does not claim to have one.
pub fn check_for(record: &Record, scenario: &Scenario, budget: bool) -> Vec<Broken> {
    let (broken, messages, instances) = (Vec::new(), BTreeMap::new(), BTreeMap::new());
    let uncertainty = LinkUncertainty::of_scenario(scenario);
    let mut checker = Checker { uncertainty, scenario, record, broken, messages, instances };
    record.facts.iter().for_each(|(at, fact)| checker.see(*at, fact));
    checker.end(budget);
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let mut out = Vec::new();
    let broken = std::mem::take(&mut checker.broken);
    for (rule, at, msg, what) in broken {
        let count = counts.entry(rule).or_default();
        *count += 1;
        if *count <= TOLD_MOST {
            let trace = msg.map_or(Vec::new(), |msg| record.trace(msg, rule == "drain"));
            out.push(Broken { rule, at, what, trace });
        }
    }
    for broken in &mut out {
        let more = counts[broken.rule].saturating_sub(TOLD_MOST);
        if more > 0 {
            broken.what.push_str(&format!(" ({more} more of this rule are not told)"));
        }
    }
    out
}

impl Checker<'_> {
    fn breaks(&mut self, rule: &'static str, at: Micros, msg: Option<MsgNo>, what: impl Into<String>) {
        if !self.uncertainty.hides(rule) {
            self.broken.push((rule, at, msg, what.into()));
        }
    }

    fn message(&mut self, msg: MsgNo) -> &mut Message {
        self.messages.entry(msg).or_default()
    }

    fn see(&mut self, at: Micros, fact: &Fact) {
        match *fact {
            Fact::Wanted { msg, class, dest, due, .. } => {
                let m = self.message(msg);
                (m.class, m.dest, m.due, m.wanted) = (class, dest, due, true);
            }
            Fact::Taken { msg, at: by } => self.taken(at, msg, by),
            Fact::Began { msg, by, to, .. } => self.began(at, msg, by, to),
            Fact::Back { msg, by, to, ended } => self.back(at, msg, by, to, ended),
            Fact::Ran { msg, effect: true, .. } => self.ran(at, msg),
            Fact::Told { msg, by, harmless } => self.told(at, msg, by, harmless),
            Fact::Listed { to, endpoint, state } => {
                let listed = &mut self.instances.entry(to).or_default().listed;
                match state {
                    Listed::Up => drop(listed.remove(&endpoint)),
                    Listed::Draining | Listed::Gone => drop(listed.entry(endpoint).or_insert(at)),
                }
            }
            Fact::Up(n) => {
                let seen = self.instances.entry(n).or_default();
                (seen.up, seen.up_at) = (true, at);
                seen.since.get_or_insert(at);
            }
            Fact::Ending(n) => self.instances.entry(n).or_default().down_at = Some(at),
            Fact::Down(n, lost) => self.down(at, n, lost),
            Fact::Toppled { dest, calls, knowing } if knowing * 3 >= calls * 2 => {
                let what = format!(
                    "destination {dest} was pushed over by {calls} calls, {knowing} of those who knew"
                );
                self.breaks("topple", at, None, what);
            }
            _ => {}
        }
    }

    fn taken(&mut self, at: Micros, msg: MsgNo, by: Instance) {
        let m = self.message(msg);
        let before = m.holder.replace(by);
        (m.began, m.told) = (0, None);
        if let Some(other) = before.filter(|_| !self.uncertainty.clients_lost) {
            self.breaks("one end", at, Some(msg), format!("taken on while instance {other} owes its end"));
        }
    }

    fn began(&mut self, at: Micros, msg: MsgNo, by: Instance, to: EndpointNo) {
        let most = self.scenario.courier.attempts;
        let uncertainty = self.uncertainty;
        let m = self.message(msg);
        let (holder, due, dest, out, delivered) = (m.holder, m.due, m.dest, m.out.len(), m.delivered);
        m.began += 1;
        m.out.push((by, to));
        let began = m.began;
        // One whose answer was lost on its way, or with the life that waited for it, is called again: its caller can't know.
        let unknown = delivered && uncertainty.answers_lost || self.cannot_know(msg, by);
        if holder != Some(by) && !unknown {
            self.breaks("taken first", at, Some(msg), format!("instance {by} calls and does not owe it"));
        }
        if out > 0 {
            self.breaks("one out", at, Some(msg), "a call begins while another is out");
        }
        if began > most {
            self.breaks("attempts", at, Some(msg), format!("attempt {began} of {most}"));
        }
        if at >= due {
            self.breaks("in time", at, Some(msg), "a call begins after its time is up");
        }
        let seen = self.instances.entry(by).or_default();
        match began {
            1 => seen.firsts += 1,
            _ => seen.repeats += 1,
        }
        if let Some(told) = seen.listed.get(&to).copied().filter(|told| *told + DRAIN < at) {
            let what = format!("endpoint {to} was told to drain {:.0} ms before", (at - told).secs() * 1e3);
            self.breaks("drain", at, Some(msg), what);
        }
        let waits = self.instances.get(&by).and_then(|s| s.waits.get(&dest)).copied();
        if let Some((told, until)) = waits.filter(|(told, until)| *told + WAIT < at && at < *until) {
            let (since, left) = ((at - told).secs() * 1e3, (until - at).secs() * 1e3);
            let what = format!("destination {dest} told to wait {since:.0} ms ago, for another {left:.0} ms");
            self.breaks("wait", at, Some(msg), what);
        }
    }

    fn back(&mut self, at: Micros, msg: MsgNo, by: Instance, to: EndpointNo, ended: Ended) {
        let m = self.message(msg);
        if let Some(place) = m.out.iter().position(|out| *out == (by, to)) {
            m.out.remove(place);
        }
        let dest = m.dest;
        match ended {
            Ended::Delivered => {
                let (told, before) = (m.told, m.holder.take());
                let again = std::mem::replace(&mut m.delivered, true);
                m.delivered_at.get_or_insert(at);
                // An answer that was lost is not known to the courier: it may repeat, and may have told an end.
                let lost = self.uncertainty.answers_lost && (again || told.is_some());
                if lost || self.uncertainty.clients_lost || again && self.cannot_know(msg, by) {
                    return;
                }
                // Given up while its call was out: the client knows that it may have run.
                if told == Some(true) {
                    self.breaks("one end", at, Some(msg), "delivered after it was handed back as harmless");
                } else if told.is_none() && before.is_none() {
                    self.breaks("one end", at, Some(msg), "delivered though nobody owes it");
                }
            }
            Ended::TurnedAway(Some(wait)) => {
                let waits = &mut self.instances.entry(by).or_default().waits;
                let until = waits.get(&dest).map_or(at + wait, |w| w.1.max(at + wait));
                waits.insert(dest, (at, until));
            }
            _ => {}
        }
    }

    /// A message was delivered to a life of this instance that has ended: the answer may have been on its way to it. What must
    /// not be repeated is held to "twice" all the same.
    fn cannot_know(&self, msg: MsgNo, by: Instance) -> bool {
        let delivered = self.messages.get(&msg).and_then(|m| m.delivered_at);
        delivered.zip(self.instances.get(&by)).is_some_and(|(at, seen)| seen.up_at > at)
    }

    fn ran(&mut self, at: Micros, msg: MsgNo) {
        let m = self.message(msg);
        m.effects += 1;
        let (class, effects) = (usize::from(m.class), m.effects);
        let effect = self.scenario.classes.get(class).map(|c| c.effect);
        if effects > 1 && effect != Some(Effect::Safe) {
            self.breaks("twice", at, Some(msg), format!("it takes effect for the {effects}th time"));
        }
    }

    fn told(&mut self, at: Micros, msg: MsgNo, by: Instance, harmless: bool) {
        let (uncertainty, unknown) = (self.uncertainty, self.cannot_know(msg, by));
        let m = self.message(msg);
        let (holder, before, delivered) = (m.holder.take(), m.told, m.delivered);
        m.told = Some(harmless);
        if uncertainty.answers_lost && delivered || uncertainty.clients_lost || unknown {
            return;
        }
        let (effects, class) = (m.effects, usize::from(m.class));
        let safe = self.scenario.classes.get(class).is_some_and(|c| c.effect == Effect::Safe);
        // A later life tells an end once more that it does not know to have been told: that does no harm.
        if holder.is_none() && before.is_none() && delivered {
            self.breaks("one end", at, Some(msg), "its client is told that it failed after it was delivered");
        }
        if before.is_some_and(|b| b != harmless) && holder.is_none() {
            self.breaks("one end", at, Some(msg), "its client is told two different ends");
        }
        if harmless && effects > 0 && !safe {
            self.breaks("one end", at, Some(msg), "handed back as harmless after it took effect");
        }
    }

    fn down(&mut self, at: Micros, n: Instance, lost: bool) {
        let seen = self.instances.entry(n).or_default();
        seen.up = false;
        seen.down_at.get_or_insert(at);
        seen.waits.clear();
        seen.listed.clear();
        for m in self.messages.values_mut() {
            m.out.retain(|(by, _)| *by != n);
            if lost && m.holder == Some(n) {
                m.holder = None;
            }
        }
    }

    fn end(&mut self, budget: bool) {
        let last = self.record.facts.last().map_or(self.record.began, |(at, _)| *at);
        self.lost(last);
        if !budget {
            return;
        }
        let mut over = Vec::new();
        for (n, seen) in &self.instances {
            let span = seen.since.map_or(0.0, |since| (last - since).secs());
            let most = seen.firsts as f64 * REPEATS + RESERVE + RESERVE_PER_S * span;
            if seen.repeats as f64 > most {
                over.push(format!("instance {n}: {} repeats of {} first tries", seen.repeats, seen.firsts));
            }
        }
        over.into_iter().for_each(|what| self.breaks("budget", last, None, what));
    }

    /// Who has no end, or has it too late. The times of ends are read from the record once more.
    fn lost(&mut self, last: Micros) {
        let mut outages: HashMap<Instance, Vec<(Micros, Micros)>> = HashMap::new();
        let mut open: HashMap<Instance, Micros> = HashMap::new();
        let mut owed: BTreeMap<MsgNo, Instance> = BTreeMap::new();
        let mut ends: Vec<(MsgNo, Instance, Micros)> = Vec::new();
        for (at, fact) in &self.record.facts {
            match *fact {
                Fact::Ending(n) => drop(open.entry(n).or_insert(*at)),
                // One that is stopped answers nobody; how late it is afterwards is held to the same bound as a restart.
                Fact::Paused(n, true) => drop(open.entry(n).or_insert(*at)),
                Fact::Paused(n, false) => {
                    let spans = outages.entry(n).or_default();
                    spans.extend(open.remove(&n).map(|from| (from, *at + AFTER_RESTART)));
                }
                Fact::Down(n, lost) => {
                    open.entry(n).or_insert(*at);
                    if lost {
                        owed.retain(|_, by| *by != n);
                    }
                }
                Fact::Up(n) => {
                    let spans = outages.entry(n).or_default();
                    spans.extend(open.remove(&n).map(|from| (from, *at + AFTER_RESTART)));
                }
                Fact::Taken { msg, at: by } => drop(owed.insert(msg, by)),
                Fact::Told { msg, .. } | Fact::Back { msg, ended: Ended::Delivered, .. } => {
                    ends.extend(owed.remove(&msg).map(|by| (msg, by, *at)));
                }
                _ => {}
            }
        }
        let away = |n: Instance, at: Micros| {
            let spans = outages.get(&n);
            open.get(&n).is_some_and(|from| *from <= at)
                || spans.is_some_and(|s| s.iter().any(|(from, to)| *from <= at && at <= *to))
        };
        let mut found: Vec<(Micros, MsgNo, String)> = Vec::new();
        for (msg, by, at) in ends {
            let due = self.messages[&msg].due;
            // While it was away, and shortly after, nothing is overdue.
            if at > due + LATE && !away(by, at) && !self.uncertainty.register_late {
                found.push((at, msg, format!("its end comes {:.0} ms late", (at - due).secs() * 1e3)));
            }
        }
        for (msg, by) in owed {
            let due = self.messages[&msg].due;
            // Where its client was not heard, the next instance that took it on owes its end.
            if last > due + LATE && !away(by, last) && !self.uncertainty.clients_lost {
                found.push((last, msg, format!("instance {by} took it on, and it has no end")));
            }
        }
        found.sort();
        found.into_iter().for_each(|(at, msg, what)| self.breaks("lost", at, Some(msg), what));
    }
}
