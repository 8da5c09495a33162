//! What becomes of datagrams between couriers: which are lost, doubled, late or out of order, and when each is to arrive. No
//! sockets and no clock: whoever holds it says what time it is (microseconds), gives it what was sent, and takes out what is
//! due. What is drawn by chance is drawn from (seed, link, number of the datagram on it), so that each run meets the same.

use crate::record::{Event, Record};
use crate::rules::{stream, LinkName, Rule, Way, What};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap};

/// Datagrams on their way at most, on all links; more are dropped and counted.
const MOST: usize = 65_536;
/// The same in bytes.
const MOST_BYTES: usize = 32 << 20;
/// A datagram that is to come behind the next one waits no longer for it (microseconds).
pub const SWAP_WAIT: u64 = 1_000_000;

/// What happens on one link, from one courier to one other, to datagrams that are drawn by chance. None of it: as it is made
/// by default.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Faults {
    /// Share of datagrams that are lost; 1: one way is cut.
    pub lost: f64,
    /// Share that come twice.
    pub doubled: f64,
    /// Share that come behind the next one.
    pub swapped: f64,
    /// Share that come late.
    pub late: f64,
    /// How late these are, in microseconds: drawn between the two for each.
    pub late_us: (u64, u64),
}

/// Counts of one link. What came is what arrived at the relay; of it, and of copies, `passed` is what was sent on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LinkCounts {
    /// Datagrams that the sender sent.
    pub came: u64,
    /// Bytes of those.
    pub bytes: u64,
    /// Sent on, copies counted.
    pub passed: u64,
    /// Lost by a rule or by chance.
    pub lost: u64,
    /// Lost as the two were cut from each other.
    pub cut: u64,
    /// Sent twice.
    pub doubled: u64,
    /// Late.
    pub late: u64,
    /// Behind the next one.
    pub swapped: u64,
    /// Dropped as too much was on its way.
    pub over: u64,
    /// That the socket did not take.
    pub unsent: u64,
}

/// From which courier to which, by their places.
pub type Ends = (usize, usize);

#[derive(Default)]
struct Link {
    counts: LinkCounts,
    faults: Faults,
    /// Waits for the next one, at this place in the queue.
    swapped: Option<(u64, u64)>,
}

struct Datagram {
    ends: Ends,
    bytes: Vec<u8>,
}

/// All links between some couriers.
pub struct Air {
    seed: u64,
    names: Vec<String>,
    links: HashMap<Ends, Link>,
    rules: Vec<(Rule, bool)>,
    /// The group of each courier; `None`: nobody is cut off.
    groups: Option<Vec<Option<usize>>>,
    /// By the time when it is due, and by number.
    queue: BTreeMap<(u64, u64), Datagram>,
    next: u64,
    held: usize,
    /// What was met.
    pub record: Record,
}

impl Air {
    /// Links between couriers of these names.
    pub fn new(seed: u64, names: Vec<String>, rules: Vec<Rule>) -> Air {
        Air {
            seed,
            names,
            links: HashMap::new(),
            rules: rules.into_iter().map(|rule| (rule, true)).collect(),
            groups: None,
            queue: BTreeMap::new(),
            next: 0,
            held: 0,
            record: Record::default(),
        }
    }

    /// The couriers' names, by place.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// A rule more, for what is sent from now on; its number.
    pub fn add(&mut self, rule: Rule) -> usize {
        self.rules.push((rule, true));
        self.rules.len() - 1
    }

    /// A rule less; whether it held. What it made late stays late.
    pub fn lift(&mut self, rule: usize) -> bool {
        self.rules.get_mut(rule).is_some_and(|(_, on)| std::mem::replace(on, false))
    }

    /// No rules any more; how many there were.
    pub fn lift_all(&mut self) -> usize {
        (0..self.rules.len()).filter(|n| self.lift(*n)).count()
    }

    /// Faults by chance on one link; these replace what was said of it before.
    pub fn faults(&mut self, ends: Ends, faults: Faults) {
        self.links.entry(ends).or_default().faults = faults;
    }

    /// Only members of one group hear each other, and who is in none hears nobody. What is on its way across is lost.
    pub fn cut(&mut self, groups: &[Vec<usize>]) {
        let of = |courier| groups.iter().position(|group| group.contains(&courier));
        self.groups = Some((0..self.names.len()).map(of).collect());
        let across: Vec<(u64, u64)> =
            self.queue.iter().filter(|(_, d)| self.is_cut(d.ends)).map(|(at, _)| *at).collect();
        for at in across {
            if let Some(datagram) = self.remove(at) {
                let link = self.links.entry(datagram.ends).or_default();
                link.counts.cut += 1;
                link.swapped = link.swapped.filter(|swapped| *swapped != at);
            }
        }
    }

    /// Nobody is cut off any more.
    pub fn heal(&mut self) {
        self.groups = None;
    }

    fn is_cut(&self, (from, to): Ends) -> bool {
        let group = |groups: &[Option<usize>], n: usize| groups.get(n).copied().flatten();
        self.groups
            .as_ref()
            .is_some_and(|groups| group(groups, from).is_none() || group(groups, from) != group(groups, to))
    }

    /// Counts of one link.
    pub fn counts(&self, ends: Ends) -> LinkCounts {
        self.links.get(&ends).map(|link| link.counts).unwrap_or_default()
    }

    /// Links on which anything came, in the order of places.
    pub fn used(&self) -> Vec<(LinkName, LinkCounts)> {
        let mut all: Vec<_> = self.links.iter().filter(|(_, link)| link.counts.came > 0).collect();
        all.sort_by_key(|(ends, _)| **ends);
        all.into_iter().map(|(ends, link)| (self.name(*ends), link.counts)).collect()
    }

    /// A link's name.
    pub fn name(&self, (from, to): Ends) -> LinkName {
        LinkName::new(self.names[from].as_str(), self.names[to].as_str())
    }

    /// The socket did not take one.
    pub fn unsent(&mut self, ends: Ends) {
        let counts = &mut self.links.entry(ends).or_default().counts;
        counts.passed -= 1;
        counts.unsent += 1;
    }

    /// Takes what one courier sent to another. The number of a datagram counts what came on its link.
    pub fn take(&mut self, now: u64, ends: Ends, bytes: &[u8]) {
        let name = self.name(ends);
        let is_cut = self.is_cut(ends);
        let link = self.links.entry(ends).or_default();
        let (number, faults) = (link.counts.came, link.faults);
        link.counts.came += 1;
        link.counts.bytes += bytes.len() as u64;
        if is_cut {
            link.counts.cut += 1;
            return;
        }
        let mut met: Vec<(String, What)> = Vec::new();
        for (rule, on) in &self.rules {
            let holds = (rule.during.0 * 1e6) as u64 <= now && now < (rule.during.1 * 1e6) as u64;
            if *on && holds && rule.what.spoils_datagrams() && rule.meets(self.seed, &name, number) {
                met.push((rule.name.clone(), rule.what));
            }
        }
        let mut draws = stream(self.seed, &name, number, "faults");
        // Drawn for each, so that one share changes nothing for the others.
        let drawn: [f64; 4] = std::array::from_fn(|_| draws.random());
        let (low, high) = faults.late_us;
        let by_chance = [
            (faults.lost, What::Lose),
            (faults.doubled, What::Double),
            (faults.swapped, What::Swap),
            (faults.late, What::Delay { low, high, grows: 0 }),
        ];
        for (drawn, (share, what)) in drawn.into_iter().zip(by_chance) {
            if drawn < share {
                met.push(("chance".into(), what));
            }
        }
        self.record_all(now, &name, number, &met);
        self.pass(now, ends, bytes, &met, &mut draws);
    }

    fn record_all(&mut self, now: u64, name: &LinkName, number: u64, met: &[(String, What)]) {
        for (rule, what) in met {
            let (link, rule, what) = (name.clone(), rule.clone(), what.word());
            self.record.put(now, Event { link, connection: number, way: Way::Up, byte: 0, rule, what });
        }
    }

    fn pass(&mut self, now: u64, ends: Ends, bytes: &[u8], met: &[(String, What)], draws: &mut Pcg64Mcg) {
        let link = self.links.entry(ends).or_default();
        if met.iter().any(|(_, what)| matches!(what, What::Lose | What::Mute)) {
            link.counts.lost += 1;
            return;
        }
        let has = |what: What| met.iter().any(|(_, w)| *w == what);
        let (doubled, swapped) = (has(What::Double), has(What::Swap));
        let mut due = now;
        for (_, what) in met {
            if let What::Delay { low, high, .. } = what {
                due += draws.random_range(*low..=*high.max(low));
                link.counts.late += 1;
            }
        }
        link.counts.doubled += u64::from(doubled);
        link.counts.swapped += u64::from(swapped);
        let waits = link.swapped.take();
        let at = self.put(if swapped { due + SWAP_WAIT } else { due }, ends, bytes.to_vec());
        if doubled {
            self.put(due, ends, bytes.to_vec());
        }
        // Who waited for this one goes right behind it, and if this one waits, too, ahead of it.
        if let Some(before) = waits.and_then(|at| self.remove(at)) {
            self.put(due, ends, before.bytes);
        }
        if swapped {
            self.links.entry(ends).or_default().swapped = at;
        }
    }

    /// Its place in the queue, if there was room.
    fn put(&mut self, due: u64, ends: Ends, bytes: Vec<u8>) -> Option<(u64, u64)> {
        if self.queue.len() >= MOST || self.held + bytes.len() > MOST_BYTES {
            self.links.entry(ends).or_default().counts.over += 1;
            return None;
        }
        self.held += bytes.len();
        let at = (due, self.next);
        self.next += 1;
        self.queue.insert(at, Datagram { ends, bytes });
        Some(at)
    }

    fn remove(&mut self, at: (u64, u64)) -> Option<Datagram> {
        let datagram = self.queue.remove(&at)?;
        self.held -= datagram.bytes.len();
        Some(datagram)
    }

    /// The next one that is due: from whom, to whom, and its bytes. It counts as passed on.
    pub fn out(&mut self, now: u64) -> Option<(Ends, Vec<u8>)> {
        let at = *self.queue.first_key_value().filter(|((due, _), _)| *due <= now)?.0;
        let Datagram { ends, bytes } = self.remove(at)?;
        let link = self.links.entry(ends).or_default();
        link.swapped = link.swapped.filter(|swapped| *swapped != at);
        link.counts.passed += 1;
        Some((ends, bytes))
    }

    /// When something is due next.
    pub fn next(&self) -> Option<u64> {
        self.queue.first_key_value().map(|((due, _), _)| *due)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn air(seed: u64, rules: &[&str]) -> Air {
        let rules = rules.iter().map(|text| crate::script::rule(text.as_bytes()).unwrap()).collect();
        Air::new(seed, (0..4).map(|n| format!("c{n}")).collect(), rules)
    }

    /// All that is due by then, in order, each by its first byte.
    fn due(air: &mut Air, now: u64) -> Vec<u8> {
        std::iter::from_fn(|| air.out(now)).map(|(_, bytes)| bytes[0]).collect()
    }

    #[test]
    fn rules_lose_double_delay_and_swap_by_number() {
        let mut air = air(
            1,
            &[
                r#"{"links":"c0>c1","what":"lose","first":1,"last":1}"#,
                r#"{"links":"c0>c1","what":"double","first":2,"last":2}"#,
                r#"{"links":"c0>c1","what":"swap","first":3,"last":3}"#,
                r#"{"links":"c0>c1","what":"delay","ms":[7,7],"first":5,"last":5}"#,
            ],
        );
        (0..7).for_each(|n| air.take(100, (0, 1), &[n]));
        air.take(100, (1, 0), &[9]);
        assert_eq!(due(&mut air, 100), [0, 2, 2, 4, 3, 6, 9]);
        assert_eq!(air.next(), Some(7_100));
        assert_eq!(due(&mut air, 7_100), [5]);
        let counts = air.counts((0, 1));
        assert_eq!((counts.came, counts.passed, counts.lost, counts.late), (7, 7, 1, 1));
        assert_eq!((counts.doubled, counts.swapped), (1, 1));
    }

    #[test]
    fn the_last_one_waits_for_no_other_for_ever() {
        let mut air = air(1, &[r#"{"what":"swap"}"#]);
        air.take(0, (0, 1), &[1]);
        assert!(due(&mut air, SWAP_WAIT - 1).is_empty());
        assert_eq!(due(&mut air, SWAP_WAIT), [1]);
        air.take(SWAP_WAIT, (0, 1), &[2]);
        assert_eq!((due(&mut air, 2 * SWAP_WAIT), air.next()), (vec![2], None));
    }

    #[test]
    fn groups_hear_only_themselves_and_what_crosses_is_lost() {
        let mut air = air(1, &[r#"{"links":"c0>c2","what":"delay","ms":[5,5]}"#]);
        air.take(0, (0, 2), &[1]);
        air.cut(&[vec![0, 1], vec![2]]);
        for ends in [(0, 1), (1, 0), (0, 2), (2, 0), (3, 0), (0, 3)] {
            air.take(0, ends, &[2]);
        }
        assert_eq!(due(&mut air, 10_000), [2, 2]);
        assert_eq!((air.counts((0, 2)).cut, air.counts((3, 0)).cut), (2, 1));
        air.cut(&[vec![0, 2]]);
        air.take(0, (0, 1), &[3]);
        air.take(0, (2, 0), &[4]);
        assert_eq!(due(&mut air, 10_000), [4]);
        air.heal();
        air.take(0, (3, 0), &[5]);
        assert_eq!(due(&mut air, 10_000), [5]);
    }

    #[test]
    fn chance_falls_by_seed_link_and_number_whatever_others_send() {
        let faults = Faults { lost: 0.2, doubled: 0.2, swapped: 0.2, late: 0.5, late_us: (10, 900) };
        let run = |seed: u64, others: bool| {
            let mut air = air(seed, &[]);
            air.faults((0, 1), faults);
            air.faults((2, 1), faults);
            for n in 0..100 {
                if others {
                    air.take(0, (2, 1), &[200]);
                }
                air.take(0, (0, 1), &[n]);
            }
            due(&mut air, u64::MAX).into_iter().filter(|n| *n != 200).collect::<Vec<_>>()
        };
        assert_eq!(run(3, false), run(3, true));
        assert_ne!(run(3, false), run(4, false));
        let (arrived, mut sorted) = (run(3, false), run(3, false));
        sorted.sort_unstable();
        assert!(arrived != sorted && arrived.len() > 60, "{arrived:?}");
    }

    #[test]
    fn what_is_on_its_way_is_bounded() {
        let mut air = air(1, &[r#"{"what":"delay","ms":[1000,1000]}"#]);
        (0..600).for_each(|_| air.take(0, (0, 1), &[0; 65_000]));
        let counts = air.counts((0, 1));
        assert_eq!(counts.over, 600 - (MOST_BYTES / 65_000) as u64);
        assert_eq!(due(&mut air, 1_000_000).len() as u64 + counts.over, 600);
    }
}
