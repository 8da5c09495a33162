//! A simulated gossip network in virtual time: loss, duplication, delay (and with it reordering), cut and
//! one-way links, and clocks at different rates.

use indigohold::peers::{cluster, Config, Peers, Recipient, Snapshot};
use indigohold::Micros;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;

/// One second.
pub const S: u64 = 1_000_000;

/// Whether a message from the first to the second member passes.
pub type Link = Box<dyn Fn(u16, u16) -> bool>;

/// The network and its members.
pub struct Net {
    /// The simulation's time.
    pub now: u64,
    /// The members; `None` while one is down.
    pub nodes: Vec<Option<Peers>>,
    /// Percentages of lost and of duplicated messages.
    pub spoil: (u32, u32),
    /// Smallest and largest delay of a message.
    pub delay: (u64, u64),
    /// Which links work.
    pub link: Link,
    /// Messages and bytes sent since this was last reset, counting each receiver.
    pub sent: (u64, u64),
    /// Messages sent recently, for replay: sender, receiver and bytes.
    pub seen: Vec<(u16, u16, Vec<u8>)>,
    under_way: BTreeMap<(u64, u64), (u16, u16, Vec<u8>)>,
    rng: Pcg64Mcg,
    seq: u64,
    life: u64,
    config: Config,
}

impl Net {
    /// Creates `n` members, which start at once.
    pub fn new(n: usize, seed: u64, config: impl Fn(&mut Config)) -> Net {
        let mut rules = Config::new(cluster(["here"]));
        config(&mut rules);
        let mut net = Net {
            now: 10 * S,
            nodes: (0..n).map(|_| None).collect(),
            spoil: (0, 0),
            delay: (2_700, 17_000),
            link: Box::new(|_, _| true),
            sent: (0, 0),
            seen: vec![],
            under_way: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            seq: 0,
            life: 0,
            config: rules,
        };
        (0..n).for_each(|i| net.start(i));
        net
    }

    /// Starts a run of a member, with an incarnation above all before.
    pub fn start(&mut self, i: usize) {
        self.life += 1;
        let (now, seed, life) = (self.local(i), self.rng.next_u64(), self.life);
        self.nodes[i] = Some(Peers::new(self.config.clone(), now, i as u16, self.nodes.len(), life, seed));
    }

    /// The local time of a member: each clock has an offset, and those with odd numbers run 1 % faster.
    pub fn local(&self, i: usize) -> Micros {
        Micros(i as u64 * 7_777_777 + self.now + if i % 2 == 1 { self.now / 100 } else { 0 })
    }

    fn outside(&self, i: usize, local: Micros) -> u64 {
        let past = local.0.saturating_sub(i as u64 * 7_777_777);
        1 + if past > 1 << 60 {
            1 << 60
        } else if i % 2 == 1 {
            (u128::from(past) * 100 / 101) as u64
        } else {
            past
        }
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.next_u32() % 100 < percent
    }

    /// Sends bytes over a link, which may lose, duplicate or delay them.
    pub fn post(&mut self, from: u16, to: u16, bytes: &[u8]) {
        self.sent = (self.sent.0 + 1, self.sent.1 + bytes.len() as u64);
        let copies = 1 + u32::from(self.chance(self.spoil.1));
        for _ in 0..copies {
            if (self.link)(from, to) && !self.chance(self.spoil.0) {
                let (least, most) = self.delay;
                let at = self.now + least + self.rng.next_u64() % (most - least + 1);
                self.seq += 1;
                self.under_way.insert((at, self.seq), (from, to, bytes.to_vec()));
            }
        }
    }

    fn tick(&mut self, i: usize) {
        let now = self.local(i);
        let Some(node) = &mut self.nodes[i] else { return };
        for (to, bytes) in node.tick(now) {
            assert!(bytes.len() <= self.config.max_datagram_bytes);
            let all = 0..self.nodes.len() as u16;
            let to: Vec<u16> = match to {
                Recipient::One(to) => vec![to],
                Recipient::All => all.filter(|to| usize::from(*to) != i).collect(),
            };
            if self.seen.len() < 10_000 {
                self.seen.push((i as u16, to[0], bytes.clone()));
            }
            to.into_iter().for_each(|to| self.post(i as u16, to, &bytes));
        }
    }

    /// Runs until `end`, or until `holds` returns true, which is checked every 10 ms. Returns whether it did.
    pub fn until(&mut self, end: u64, holds: impl Fn(&Net) -> bool) -> bool {
        let mut wakes: BTreeMap<(u64, usize), ()> = BTreeMap::new();
        let mut wake = vec![0; self.nodes.len()];
        let mut look = self.now;
        for (i, at) in wake.iter_mut().enumerate() {
            *at = self.now;
            wakes.insert((self.now, i), ());
        }
        while self.now <= end {
            if self.now >= look {
                look = self.now + 10_000;
                if holds(self) {
                    return true;
                }
            }
            let note = self.under_way.keys().next().map_or(u64::MAX, |k| k.0);
            let (at, who) = wakes.keys().next().copied().unwrap_or((u64::MAX, 0));
            let who = if note.min(at) > look {
                self.now = look;
                continue;
            } else if note <= at {
                self.now = self.now.max(note);
                let Some((_, (from, to, bytes))) = self.under_way.pop_first() else { continue };
                let (to, now) = (usize::from(to), self.local(usize::from(to)));
                let Some(node) = &mut self.nodes[to] else { continue };
                let _ = node.receive(now, Some(from), &bytes);
                to
            } else {
                self.now = self.now.max(at);
                self.tick(who);
                who
            };
            wakes.remove(&(wake[who], who));
            if let Some(node) = &self.nodes[who] {
                wake[who] = self.outside(who, node.next_at()).max(self.now + 100);
                wakes.insert((wake[who], who), ());
            }
        }
        holds(self)
    }

    /// Runs for this long.
    pub fn run(&mut self, time: u64) {
        self.until(self.now + time, |_| false);
    }

    /// Calls `act` on a member at its local time.
    pub fn at<T>(&mut self, i: usize, act: impl FnOnce(&mut Peers, Micros) -> T) -> T {
        let now = self.local(i);
        act(self.nodes[i].as_mut().expect("it is up"), now)
    }

    /// A member's snapshot.
    pub fn view(&self, i: usize) -> Snapshot {
        self.nodes[i].as_ref().expect("it is up").snapshot(self.local(i))
    }
}
