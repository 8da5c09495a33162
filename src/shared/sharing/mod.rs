//! Budgets, counts and judgements on the ground: one rider that says what this courier knows and publishes what it believes.
//! No I/O, no clock; facts and beliefs cross to the core by a [`Desk`]. `docs/design/shared.md` says why it is cut so.

mod beliefs;
mod desk;
mod facts;
mod hear;
mod publish;
mod words;

pub use beliefs::{Beliefs, OfEndpoint as EndpointBelief, OfTenant};
pub use desk::Desk;
pub use facts::{name, Facts, OfDestination, OfEndpoint};
use serde::Serialize;
pub use words::Dropped;
use words::For;

use crate::api::Micros;
use crate::peers::payload::{kinds, GossipPayload};
use crate::peers::Peers;
use crate::shared::counts::{self, CounterKey, Counts};
use crate::shared::judgement::{self, Evidence, Hand, Judgements, Saw};
use crate::shared::lease::{self, Lease, LeaseMessage, Start, LIMIT_UNITS};
use crate::shared::Member;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Destinations whose limit is shared; loans take most of the entries.
pub const BUDGETS: usize = 8;
/// Tenants whose traffic is said.
pub const TENANTS: usize = 12;
/// Endpoints of which evidence is said.
pub const EVIDENCE: usize = 8;
/// Destinations that are kept at most: beyond them none is shared.
const LEASES: usize = 256;
/// It wants to be called so often.
const EVERY: Micros = Micros(100_000);
/// And has no turn sooner again than after this.
const LEAST: Micros = Micros(20_000);
/// Messages a second of a tenant's at the whole fleet from which its couriers speak of them.
const QUIET: f64 = 0.01;
/// Gain of each message in the share of those within their quotas; the weight of those beyond.
const WITHIN_GAIN: f64 = 0.02;
const BEYOND: f64 = 0.1;
/// The worth of a want for the whole limit.
const WORTHS: f64 = 200.0;

/// Which matters are shared and decided by; what is not said is not believed either.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Matters {
    /// Limits of destinations, as leases.
    pub limits: bool,
    /// Tenants' traffic against their quotas.
    pub tenants: bool,
    /// Judgements on endpoints.
    pub endpoints: bool,
}

impl Matters {
    /// All of them.
    pub const ALL: Matters = Matters { limits: true, tenants: true, endpoints: true };
}

/// What the settings say.
#[derive(Debug, Clone)]
pub struct Terms {
    /// What is shared at all.
    pub matters: Matters,
    /// Of each destination's limit.
    pub lease: lease::LeaseSettings,
    /// Of the counts.
    pub counts: counts::CountSettings,
    /// Of the judgements.
    pub judgements: judgement::Terms,
}

impl Terms {
    /// For exactly `n` couriers: what is said to all comes less often with more of them, so that its price stays.
    pub fn exactly(n: u32) -> Terms {
        let more = |each: u64| Micros(u64::from(n.max(1)) * each);
        let lease = lease::LeaseSettings {
            loan_term: Micros(1_200_000) + more(100_000),
            ..lease::LeaseSettings::exactly(n)
        };
        let every = Micros(500_000).max(more(50_000));
        let counts = counts::CountSettings {
            publish_interval: every,
            rate_window: Micros(10_000_000),
            fresh_for: every.scale(5.0),
            half_life: every.scale(5.0),
            max_age: every.scale(5.0),
            ..counts::CountSettings::for_members(n)
        };
        Terms { matters: Matters::ALL, lease, counts, judgements: judgement::Terms::default() }
    }
}

/// The rider.
pub struct Sharing {
    desk: Arc<Desk>,
    terms: Terms,
    start: Start,
    me: Member,
    life: u64,
    /// When the core of this life first decided. Danger: before that a former life may still serve and lend.
    born: Option<Micros>,
    turned: Option<Micros>,
    /// Danger: none is ever dropped within a life; a new one would know nothing of what the old one has lent.
    leases: BTreeMap<u16, Lease>,
    counts: Counts,
    judgements: Judgements,
    facts: Arc<Facts>,
    /// The newest version of each entry that was looked at, by kind, owner and number.
    seen: BTreeMap<(u8, u16, u32), (u64, u64)>,
    /// Counters as they were when they were last counted, and endpoints as they were last told of.
    counted: BTreeMap<CounterKey, (u64, u64)>,
    told: BTreeMap<u64, OfEndpoint>,
    /// When a call of this courier was last turned away, by destination.
    turned_away: BTreeMap<u16, Micros>,
    /// Destinations of which a want is said.
    wanting: BTreeSet<u16>,
    /// When a tenant last asked something here.
    asked_at: Option<Micros>,
    /// By destination: the messages that came, those within their shares, and the share of these lately.
    within: BTreeMap<u16, ((u64, u64), f64)>,
    /// Own entries, and when they are taken back if they are not said again.
    said: BTreeMap<(u8, u32), Micros>,
    dropped: Dropped,
}

impl Sharing {
    /// A life that begins now, at the place and in the life that the carrier has.
    pub fn new(now: Micros, me: u16, life: u64, terms: Terms, start: Start, desk: Arc<Desk>) -> Sharing {
        let me = Member(u32::from(me));
        desk.open();
        Sharing {
            desk,
            start,
            me,
            life,
            born: None,
            turned: None,
            leases: BTreeMap::new(),
            counts: Counts::new(me, now, terms.counts.clone()),
            judgements: Judgements::new(me, terms.judgements.clone()),
            facts: Arc::new(Facts::default()),
            seen: BTreeMap::new(),
            counted: BTreeMap::new(),
            told: BTreeMap::new(),
            turned_away: BTreeMap::new(),
            wanting: BTreeSet::new(),
            asked_at: None,
            within: BTreeMap::new(),
            said: BTreeMap::new(),
            dropped: Dropped::default(),
            terms,
        }
    }

    /// What was not taken in.
    pub fn dropped(&self) -> Dropped {
        self.dropped
    }

    fn set(&mut self, now: Micros, peers: &mut Peers, key: (u8, u32), value: &[u8], life: Micros) {
        if value.is_empty() || !peers.set(now, key.0, key.1, value) {
            self.dropped.no_room += 1;
            return;
        }
        self.said.insert(key, now + life);
    }

    /// For one alone, for as long as it can be in force.
    fn tell<T: For + Serialize>(&mut self, now: Micros, peers: &mut Peers, kind: u8, dest: u16, word: &T) {
        let (id, until) = (words::pair(dest, word.to()), now + self.terms.lease.loan_term);
        let told = peers.send_to(now, word.to() as u16, kind, id, &words::encode(word), until);
        self.dropped.no_room += u64::from(!told);
    }

    /// What the core knows is taken in.
    fn learn(&mut self, now: Micros) {
        let facts = self.desk.facts();
        self.heed_hand(&facts.banned);
        let tenants = facts.tenants.iter().map(|(t, asked)| (CounterKey::Tenant(*t), (*asked, 0)));
        let calls =
            facts.destinations.iter().map(|d| (CounterKey::Destination(d.dest), (d.called, d.refused)));
        for (what, (asked, refused)) in tenants.chain(calls) {
            if self.counted.len() >= counts::MAX_COUNTERS && !self.counted.contains_key(&what) {
                continue;
            }
            let before = self.counted.insert(what, (asked, refused)).unwrap_or_default();
            let more = (asked.saturating_sub(before.0), refused.saturating_sub(before.1));
            match what {
                CounterKey::Tenant(_) if more.0 > 0 => self.asked_at = Some(now),
                CounterKey::Destination(dest) if more.1 > 0 => {
                    self.turned_away.insert(dest, now);
                }
                _ => {}
            }
            self.counts.count(what, more.0, more.1);
        }
        for d in &facts.destinations {
            let (before, share) = self.within.entry(d.dest).or_insert((d.came, 1.0));
            let (came, within) = (d.came.0.saturating_sub(before.0), d.came.1.saturating_sub(before.1));
            if came > 0 {
                *share += (WITHIN_GAIN * came as f64).min(1.0) * (within as f64 / came as f64 - *share);
            }
            *before = d.came;
        }
        for seen in &facts.endpoints {
            let before = self.told.get(&seen.name);
            let Some(saw) =
                seen.saw.filter(|_| before.is_none_or(|b| (b.saw, b.seen) != (seen.saw, seen.seen)))
            else {
                self.tries(now, seen);
                continue;
            };
            if self.told.len() >= judgement::ENDPOINTS && before.is_none() {
                continue;
            }
            // A trial's beginning is known only by its time; it comes before the trial's end.
            self.tries(now, seen);
            self.judgements.saw(seen.seen.min(now), seen.name, saw, seen.retry);
            self.told.insert(seen.name, *seen);
        }
        self.facts = facts;
    }

    /// Bans outrank all that anybody saw; one that is lifted leaves nothing of what was seen here before.
    fn heed_hand(&mut self, banned: &Arc<[u64]>) {
        if Arc::ptr_eq(banned, &self.facts.banned) {
            return;
        }
        let (before, now): (BTreeSet<u64>, BTreeSet<u64>) =
            (self.facts.banned.iter().copied().collect(), banned.iter().copied().collect());
        before.difference(&now).for_each(|name| self.judgements.by_hand(*name, None));
        now.iter().for_each(|name| self.judgements.by_hand(*name, Some(Hand::Ban)));
    }

    fn tries(&mut self, now: Micros, seen: &OfEndpoint) {
        if let Some(told) = self.told.get_mut(&seen.name).filter(|told| told.tried < seen.tried) {
            told.tried = seen.tried;
            self.judgements.begin_trial(seen.tried.min(now), seen.name);
        }
    }

    /// Leases of the destinations that matter most: all others have their safe share.
    fn lend(&mut self, now: Micros, peers: &mut Peers) {
        let mut most: Vec<(f64, u16, f64)> = self
            .facts
            .destinations
            .iter()
            .filter(|d| d.demand > 0.0)
            .filter_map(|d| Some((d.demand, d.dest, d.limit.filter(|l| *l > 0.0)?)))
            .collect();
        most.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        let top: BTreeMap<u16, u32> = most
            .iter()
            .take(BUDGETS)
            .map(|(demand, dest, limit)| (*dest, (demand / limit * f64::from(LIMIT_UNITS)) as u32))
            .collect();
        for dest in top.keys() {
            self.lease(*dest);
        }
        let mut out = Vec::new();
        for (dest, lease) in &mut self.leases {
            // Danger: by equal worth the courier with the most demand would be cut down to the others. A courier is no customer:
            // each message counts alike, but for those beyond their tenants' quotas.
            let want = top.get(dest).copied().unwrap_or(0);
            let within = self.within.get(dest).map_or(1.0, |(_, share)| *share).max(BEYOND);
            let worth = f64::from(want) * within * WORTHS / f64::from(LIMIT_UNITS);
            lease.set_demand(want, worth.clamp(1.0, WORTHS) as u8);
            let mut said = Vec::new();
            lease.tick(now, &mut said);
            out.extend(said.into_iter().map(|said| (*dest, said)));
        }
        let term = self.terms.lease.loan_term;
        for (dest, said) in out {
            match said {
                // What nobody here wants is not said: it would cost an entry and a note to all.
                // But that nothing is wanted any more is said once.
                LeaseMessage::Demand(demand) if top.contains_key(&dest) || self.wanting.contains(&dest) => {
                    if demand.units > 0 {
                        self.wanting.insert(dest);
                    } else {
                        self.wanting.remove(&dest);
                    }
                    let key = (kinds::DEMAND, u32::from(dest));
                    self.set(now, peers, key, &words::encode(&demand), term.scale(3.0));
                }
                LeaseMessage::Demand(_) => {}
                // For one alone: nobody else can use them, and to all they cost the fleet's number of notes.
                LeaseMessage::Loan(loan) => self.tell(now, peers, kinds::LOAN, dest, &loan),
                LeaseMessage::Ack(ack) => self.tell(now, peers, kinds::LOAN_ACK, dest, &ack),
            }
        }
    }

    fn lease(&mut self, dest: u16) -> Option<&mut Lease> {
        if self.leases.len() >= LEASES && !self.leases.contains_key(&dest) {
            return None;
        }
        let (me, life, born) = (self.me, self.life, self.born?);
        let (terms, start) = (&self.terms.lease, self.start);
        // Born with the process: stamps are its life's, and a former life's loans lapse from there.
        Some(self.leases.entry(dest).or_insert_with(|| Lease::new(me, life, born, terms.clone(), start)))
    }

    fn say_counts(&mut self, now: Micros, peers: &mut Peers) {
        // A fleet without traffic says nothing of it; where another has some, each says that it is there.
        let own = self.asked_at.is_some_and(|at| now < at + self.terms.counts.rate_window.scale(2.0));
        let fleet = |(t, _): &(u16, u64)| self.counts.rate(now, CounterKey::Tenant(*t)).0.value > QUIET;
        if !own && !self.facts.tenants.iter().any(fleet) {
            return;
        }
        let mut out = Vec::new();
        self.counts.tick(now, &mut out);
        let mut most: Vec<(u64, u16)> = self.facts.tenants.iter().map(|(t, asked)| (*asked, *t)).collect();
        most.sort_unstable_by(|a, b| b.cmp(a));
        let top: BTreeSet<u16> = most.into_iter().take(TENANTS).map(|(_, t)| t).collect();
        let life = self.terms.counts.publish_interval.scale(20.0);
        for (what, tally) in out {
            if matches!(what, CounterKey::Tenant(t) if top.contains(&t)) {
                let key = (kinds::COUNTERS, words::counter(what));
                self.set(now, peers, key, &words::encode(&tally), life);
            }
        }
    }

    fn say_evidence(&mut self, now: Micros, peers: &mut Peers) {
        let mut out: Vec<(u64, Evidence)> = Vec::new();
        self.judgements.tick(now, &mut out);
        let rank = |saw: Saw| match saw {
            Saw::Out => 0,
            Saw::Shut(_) => 1,
            Saw::Cold => 2,
            Saw::Slow => 3,
            Saw::Served => 4,
        };
        // Who is served says so only where others find fault: all good words would be a note each second.
        out.retain(|(name, e)| rank(e.saw) < 4 || self.judgements.disputed(now, *name));
        out.sort_by_key(|(name, e)| (rank(e.saw), *name));
        let life = self.terms.judgements.life;
        for (name, evidence) in out.into_iter().take(EVIDENCE) {
            let key = (kinds::EVIDENCE, name as u32);
            self.set(now, peers, key, &words::encode(&words::Named { name, evidence }), life);
        }
    }
}

impl GossipPayload for Sharing {
    fn tick(&mut self, now: Micros, peers: &mut Peers) -> Micros {
        if peers.incarnation() != self.life {
            // Danger: the same process under another number is a new life to all others, whose loans name the old one.
            let start = Start::Restart;
            // What was passed on to another process stays so.
            let (open, (me, _)) = (self.desk.is_open(), peers.position());
            *self = Sharing::new(now, me, peers.incarnation(), self.terms.clone(), start, self.desk.clone());
            if !open {
                self.desk.shut();
            }
        }
        // A burst of notes is one turn: what they say stands in the entries meanwhile.
        if let Some(again) = self.turned.map(|at| at + LEAST).filter(|again| now < *again) {
            return again;
        }
        self.turned = Some(now);
        self.learn(now);
        // Danger: a life that has passed its core on must lend nothing more, nor one that has not got it yet.
        if !self.desk.is_open() || self.facts.at == Micros(0) {
            return now + EVERY;
        }
        self.born = self.born.or(Some(now));
        self.hear(now, peers);
        let Matters { limits, tenants, endpoints } = self.terms.matters;
        if limits {
            self.lend(now, peers);
        }
        if tenants {
            self.say_counts(now, peers);
        }
        if endpoints {
            self.say_evidence(now, peers);
        }
        let over: Vec<(u8, u32)> = self.said.iter().filter(|(_, at)| **at <= now).map(|(k, _)| *k).collect();
        for key in over {
            self.said.remove(&key);
            peers.remove(now, key.0, key.1);
        }
        // Danger: before what was lent leaves, it is out of use here.
        self.publish(now, peers);
        now + EVERY
    }

    fn figures(&self, now: Micros) -> serde_json::Value {
        self.told_operators(now)
    }
}
