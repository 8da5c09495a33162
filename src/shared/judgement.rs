//! What is believed of an endpoint, from one's own evidence, what others saw themselves, and what was said by hand.
//!
//! The order: by hand; own and fresh; hearsay of many. Hearsay is never said again: what is published is own evidence.

use super::{Member, Version};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

mod trial;

pub use trial::Trial;

/// Endpoints kept at most.
pub const ENDPOINTS: usize = 4_096;
/// Witnesses kept of an endpoint, at most.
pub const WITNESSES: usize = 1_024;

/// What a courier saw of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Saw {
    /// It answers.
    Served,
    /// It answers, far later than it used to.
    Slow,
    /// It is back after it was out; not warm yet.
    Cold,
    /// It does not answer.
    Out,
    /// It told to stay away for so many milliseconds from now on.
    Shut(u32),
}

impl Saw {
    fn answers(self) -> bool {
        matches!(self, Saw::Served | Saw::Slow | Saw::Cold)
    }
}

/// An entry's value: what its owner saw itself. At most 20 bytes encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// What it saw.
    pub saw: Saw,
    /// Milliseconds since it saw that, when it was said.
    pub since: u32,
    /// Milliseconds for which it still says something, from when it was said.
    pub life: u32,
    /// Trials it has made since it has the endpoint out.
    pub tries: u16,
    /// Milliseconds since it last began a trial, where it has the endpoint out.
    pub tried: Option<u32>,
}

/// How judgements are said and believed.
#[derive(Debug, Clone)]
pub struct Terms {
    /// How long what was seen says something.
    pub life: Micros,
    /// Evidence is said again after so long, while it lives.
    pub every: Micros,
    /// How long the one whose turn it is to try has for it.
    pub turn: Micros,
    /// Witnesses that hearsay needs at least; never under 2.
    pub witnesses: usize,
    /// After a failure that followed another's good word, good words are not believed for so long.
    pub deaf: Micros,
}

impl Default for Terms {
    fn default() -> Terms {
        let s = |n: u64| Micros(n * 1_000_000);
        Terms { life: s(10), every: s(1), turn: Micros(1_500_000), witnesses: 2, deaf: s(10) }
    }
}

/// What is believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Belief {
    /// Nothing is known against it.
    Free,
    /// It answers slowly.
    Slow,
    /// It is back; it gets its pace times this courier's share at most.
    Cold,
    /// It is out: trials only.
    Out,
    /// It is shut until then.
    Shut(Micros),
    /// Taken out by hand: nothing at all, no trials.
    Banned,
}

/// Whose word it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// Nobody's.
    Nothing,
    /// An operator's.
    Hand,
    /// This courier's own.
    Own,
    /// Others', so many for and so many against.
    Hearsay(usize, usize),
}

/// A belief, whose it is, and how old the newest evidence for it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Judged {
    /// What is believed.
    pub belief: Belief,
    /// On whose word.
    pub basis: Basis,
    /// Age of the newest evidence for it.
    pub age: Micros,
}

/// What an operator says of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hand {
    /// Nothing goes there.
    Ban,
    /// It is used, whatever others say; own evidence still counts.
    Trust,
}

#[derive(Debug, Clone)]
struct Own {
    saw: Saw,
    at: Micros,
    until: Micros,
    tries: u16,
    /// When this courier last began a trial.
    tried: Option<Micros>,
    /// Nobody tries before.
    due: Micros,
    /// Others' good words are not believed until then.
    deaf: Micros,
    said: Option<Micros>,
}

#[derive(Debug, Clone)]
struct Heard {
    version: Version,
    saw: Saw,
    at: Micros,
    until: Micros,
    tries: u16,
    tried: Option<Micros>,
}

/// The judgements at one courier. Endpoints are named by a number that is the same at all (an address and a port).
#[derive(Debug, Clone)]
pub struct Judgements {
    me: Member,
    terms: Terms,
    own: BTreeMap<u64, Own>,
    others: BTreeMap<u64, BTreeMap<Member, Heard>>,
    hand: BTreeMap<u64, Hand>,
}

impl Judgements {
    /// Nothing is known yet.
    pub fn new(me: Member, terms: Terms) -> Judgements {
        Judgements { me, terms, own: BTreeMap::new(), others: BTreeMap::new(), hand: BTreeMap::new() }
    }

    /// An operator's word, or its end. Danger: who puts an endpoint back says that it serves; what was seen before would keep it
    /// out for as long as that lives.
    pub fn by_hand(&mut self, endpoint: u64, hand: Option<Hand>) {
        match hand {
            Some(hand) if self.hand.len() < ENDPOINTS => {
                self.hand.insert(endpoint, hand);
            }
            Some(_) => {}
            None => {
                if self.hand.remove(&endpoint) == Some(Hand::Ban) {
                    self.own.remove(&endpoint);
                }
            }
        }
    }

    /// This courier saw something. `retry` is when the endpoint may be tried again, where it is out.
    pub fn saw(&mut self, now: Micros, endpoint: u64, saw: Saw, retry: Micros) {
        if self.own.len() >= ENDPOINTS && !self.own.contains_key(&endpoint) {
            self.own.retain(|_, o| now < o.until);
            if self.own.len() >= ENDPOINTS {
                return;
            }
        }
        let misled = saw == Saw::Out
            && matches!(
                self.judge(now, endpoint),
                Judged { belief: Belief::Cold, basis: Basis::Hearsay(..), .. }
            );
        let old = self.own.get(&endpoint);
        let news = saw == Saw::Out || old.is_none_or(|o| o.saw != saw);
        let mut own = Own {
            saw,
            at: now,
            until: now + self.terms.life,
            tries: old.map_or(0, |o| o.tries),
            // Danger: kept when the trial has failed; without it all others' turns would be long past.
            tried: old.and_then(|o| o.tried).filter(|_| saw == Saw::Out),
            due: retry,
            deaf: old.map_or(Micros(0), |o| o.deaf),
            said: if news { None } else { old.and_then(|o| o.said) },
        };
        match saw {
            Saw::Out => {
                // It lasts over some trials of others': if all forgot it at once, each would try.
                own.until = now.max(retry) + self.terms.life.scale(3.0);
                if misled {
                    // Danger: a liar, or one with a better link, would send this courier there again at each word.
                    own.deaf = now + self.terms.deaf;
                }
            }
            Saw::Shut(wait) => own.until = now + Micros(u64::from(wait) * 1_000),
            _ => own.tries = 0,
        }
        self.own.insert(endpoint, own);
    }

    /// What another saw itself, `age` old when it arrived. Returns whether it was taken: what is no newer, or says nothing any
    /// more, is not.
    pub fn heard(
        &mut self, now: Micros, from: Member, version: Version, endpoint: u64, age: Micros, said: Evidence,
    ) -> bool {
        let time = |ms: u32| Micros(u64::from(ms) * 1_000);
        let ago = |ms: u32| now - (age + time(ms));
        // Danger: a life is another's word; none is longer here than four times what this courier would give.
        let until = now - age + Micros(time(said.life).0.min(self.terms.life.0 * 4));
        let room = self.others.len() < ENDPOINTS || self.others.contains_key(&endpoint);
        if from == self.me || !room || now >= until {
            return false;
        }
        let all = self.others.entry(endpoint).or_default();
        all.retain(|_, h| now < h.until);
        if all.get(&from).is_some_and(|h| h.version >= version)
            || (all.len() >= WITNESSES && !all.contains_key(&from))
        {
            return false;
        }
        let (at, tried) = (ago(said.since), said.tried.map(ago));
        all.insert(from, Heard { version, saw: said.saw, at, until, tries: said.tries, tried });
        true
    }

    /// A member is gone: its evidence says nothing any more.
    pub fn gone(&mut self, member: Member) {
        self.others.retain(|_, all| {
            all.remove(&member);
            !all.is_empty()
        });
    }

    /// Adds what is to be said: own evidence that is new, or was not said for `every`. Never what was heard.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<(u64, Evidence)>) {
        let ms = |time: Micros| u32::try_from(time.0 / 1_000).unwrap_or(u32::MAX);
        self.own.retain(|_, o| now < o.until);
        for (endpoint, own) in &mut self.own {
            if own.said.is_some_and(|s| now < s + self.terms.every) {
                continue;
            }
            own.said = Some(now);
            let saw = match own.saw {
                Saw::Shut(_) => Saw::Shut(ms(own.until - now)),
                other => other,
            };
            let (since, life, tried) =
                (ms(now - own.at), ms(own.until - now), own.tried.map(|t| ms(now - t)));
            out.push((*endpoint, Evidence { saw, since, life, tries: own.tries, tried }));
        }
        self.others.retain(|_, all| {
            all.retain(|_, h| now < h.until);
            !all.is_empty()
        });
    }

    /// What is believed of an endpoint.
    pub fn judge(&self, now: Micros, endpoint: u64) -> Judged {
        let hand = self.hand.get(&endpoint);
        if hand == Some(&Hand::Ban) {
            return Judged { belief: Belief::Banned, basis: Basis::Hand, age: Micros(0) };
        }
        if let Some(own) = self.own.get(&endpoint).filter(|o| now < o.until) {
            return self.own_word(now, endpoint, own);
        }
        match hand {
            Some(_) => Judged { belief: Belief::Free, basis: Basis::Hand, age: Micros(0) },
            None => self.hearsay(now, endpoint),
        }
    }

    /// Own evidence stands whatever others say, but for one case: it is out here, and another was answered since.
    fn own_word(&self, now: Micros, endpoint: u64, own: &Own) -> Judged {
        let judged = |belief| Judged { belief, basis: Basis::Own, age: now - own.at };
        match own.saw {
            Saw::Served => judged(Belief::Free),
            Saw::Slow => judged(Belief::Slow),
            Saw::Cold => judged(Belief::Cold),
            Saw::Shut(_) => judged(Belief::Shut(own.until)),
            Saw::Out => {
                let good = |h: &&Heard| now < h.until && h.saw.answers() && h.at > own.at && now >= own.deaf;
                // Those who were answered in a trial of theirs say so newly; that opens a gentle return.
                let words: Vec<&Heard> = self.witnesses(endpoint).map(|(_, h)| h).filter(good).collect();
                let Some(newest) = words.iter().map(|h| h.at).max() else { return judged(Belief::Out) };
                Judged { belief: Belief::Cold, basis: Basis::Hearsay(words.len(), 0), age: now - newest }
            }
        }
    }

    fn hearsay(&self, now: Micros, endpoint: u64) -> Judged {
        let all: Vec<&Heard> = self.witnesses(endpoint).map(|(_, h)| h).filter(|h| now < h.until).collect();
        // Danger: one with a bad link, or a part of the fleet with one, must take nothing out for others. Against it
        // speaks who saw otherwise since the first of them saw it; what was seen before proves nothing.
        let most = |of: &dyn Fn(Saw) -> bool| {
            let agree: Vec<&&Heard> = all.iter().filter(|h| of(h.saw)).collect();
            let first = agree.iter().map(|h| h.at).min().unwrap_or(Micros(0));
            let against = all.iter().filter(|h| !of(h.saw) && h.at >= first).count();
            let enough = agree.len() >= self.terms.witnesses.max(2) && agree.len() > against * 2;
            let age = agree.iter().map(|h| now - h.at).min().unwrap_or(Micros(0));
            enough.then_some((Basis::Hearsay(agree.len(), against), age))
        };
        if let Some((basis, age)) = most(&|s| matches!(s, Saw::Shut(_))) {
            // The second earliest end: one that exaggerates holds nobody away for longer than another witness says.
            let mut ends: Vec<Micros> = all.iter().filter_map(|h| h.shut_until()).collect();
            ends.sort_unstable();
            return Judged { belief: Belief::Shut(ends[1]), basis, age };
        }
        let kinds: [(&dyn Fn(Saw) -> bool, Belief); 3] = [
            (&|s| s == Saw::Out, Belief::Out),
            // Back at one, out at others: not warm, two say so.
            (&|s| matches!(s, Saw::Cold | Saw::Out), Belief::Cold),
            (&|s| s == Saw::Slow, Belief::Slow),
        ];
        for (of, belief) in kinds {
            if let Some((basis, age)) = most(of) {
                return Judged { belief, basis, age };
            }
        }
        Judged { belief: Belief::Free, basis: Basis::Nothing, age: Micros(0) }
    }

    /// Whether anybody finds fault with it: then a good word of this courier's is worth saying.
    pub fn disputed(&self, now: Micros, endpoint: u64) -> bool {
        let fault = |h: &Heard| now < h.until && !matches!(h.saw, Saw::Served);
        self.witnesses(endpoint).any(|(_, h)| fault(h))
    }

    fn witnesses(&self, endpoint: u64) -> impl Iterator<Item = (&Member, &Heard)> {
        self.others.get(&endpoint).into_iter().flatten()
    }
}

impl Heard {
    fn shut_until(&self) -> Option<Micros> {
        match self.saw {
            Saw::Shut(_) => Some(self.until),
            _ => None,
        }
    }
}

/// What a cold endpoint may get from this courier, calls a second: its pace for the whole fleet times the units of the
/// destination's lease that are in force here. The sum over the fleet is the pace at most, as the lease's sum is.
pub fn cold_pace(pace: f64, in_force: u32) -> f64 {
    pace * f64::from(in_force) / f64::from(super::lease::LIMIT_UNITS)
}
