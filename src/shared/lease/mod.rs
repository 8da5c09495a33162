//! A rate limit that many couriers keep together: each owns a safe share of it and lends parts of that to named peers for a
//! limited term.
//!
//! `docs/design/shared.md` states the bound on the sum of shares and proves it; comments here say which case each check
//! guards against. Shares are in units, [`LIMIT_UNITS`] to the limit, whatever that is in calls per second: couriers with
//! different values for the limit multiply their shares by different values.

mod plan;
mod types;

pub use plan::{targets, Row};
pub use types::{Demand, LeaseMessage, LeaseSettings, Loan, LoanAck, Start, LIMIT_UNITS, RESERVE_DIVISOR};

use super::{Member, Version};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of members that a lease keeps data of.
pub const MAX_MEMBERS: usize = 4_096;
/// Maximum number of published versions of one loan that are tracked.
const MAX_STEPS: usize = 8;

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct LentLoan {
    /// Units last published, and the run and stamp of the demand that they answered.
    units: u32,
    answered: (u64, u32),
    /// Run and stamp of the demand on which the plan last changed the loan.
    planned_for: (u64, u32),
    /// What counts as lent, in the order of publication.
    steps: Vec<Step>,
}

/// A published loan, until it has expired or its successor was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Step {
    units: u32,
    until: Micros,
    sequence: u32,
}

impl LentLoan {
    fn outstanding(&self, now: Micros) -> u32 {
        self.steps.iter().filter(|s| s.until > now).map(|s| s.units).max().unwrap_or(0)
    }

    fn add_step(&mut self, units: u32, until: Micros, sequence: u32, now: Micros) {
        // A greater loan that has not expired still counts; only steps that the new one covers in both units and time are
        // removed. The new one is added even if an older one covers it, because the older one may be ack.
        self.steps.retain(|s| s.until > now && !(s.units <= units && s.until <= until));
        if units > 0 {
            self.steps.push(Step { units, until, sequence });
        }
        if self.steps.len() > MAX_STEPS {
            // The two oldest steps are merged into their maximum, so that no more is taken back than has expired.
            let first = self.steps.remove(0);
            self.steps[0].units = self.steps[0].units.max(first.units);
            self.steps[0].until = self.steps[0].until.max(first.until);
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct HeldLoan {
    /// The lender's run and the sequence number of the loan.
    version: (u64, u32),
    units: u32,
    until: Micros,
    /// A greater loan was given up for this one, and the return is not published yet.
    ack_due: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    version: Version,
    demand: Demand,
    /// When its newest stamp was received, on this courier's clock.
    received_at: Micros,
}

/// One courier's part in sharing one limit.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    me: Member,
    run: u64,
    started_at: Micros,
    settings: LeaseSettings,
    /// Until then loans of a previous run may be in force; none while another run of this member serves.
    quiet_until: Option<Micros>,
    /// Units that this courier may use until `quiet_until`.
    initial_share: u32,
    /// Units that this courier would use, and their weight.
    demand: (u32, u8),
    lent: BTreeMap<Member, LentLoan>,
    held: BTreeMap<Member, HeldLoan>,
    peers: BTreeMap<Member, Peer>,
    /// All other members that the steward knows to exist or to have existed.
    known_members: BTreeSet<Member>,
    published: Option<(Micros, Demand)>,
    planned_at: Option<Micros>,
    /// Sequence number of the last published loan.
    sequence: u32,
}

impl Lease {
    /// For a run of `me` that begins `now`. `run` must be greater than that of every previous run.
    pub fn new(me: Member, run: u64, now: Micros, settings: LeaseSettings, start: Start) -> Lease {
        // A steward learns of a new member from its first messages. Until the steward has had time to take back the new
        // member's share, the new member uses nothing; twice the lender's wait leaves one of the two for the messages.
        let new_member = start == Start::First && settings.max_couriers != settings.min_couriers;
        let (lender_wait, initial_share) =
            (settings.lender_wait(), if new_member { 0 } else { settings.safe_share() / RESERVE_DIVISOR });
        let quiet_until = match start {
            Start::Overlapping => None,
            _ if new_member => Some(now + lender_wait + lender_wait),
            _ => Some(now + lender_wait),
        };
        Lease {
            me,
            run,
            started_at: now,
            settings,
            quiet_until,
            initial_share,
            demand: (0, 1),
            lent: BTreeMap::new(),
            held: BTreeMap::new(),
            peers: BTreeMap::new(),
            known_members: BTreeSet::new(),
            published: None,
            planned_at: None,
            sequence: 0,
        }
    }

    /// The other run of this member has ended: its loans expire from now on.
    pub fn other_run_ended(&mut self, now: Micros) {
        if self.quiet_until.is_none() {
            self.quiet_until = Some(now + self.settings.lender_wait());
        }
    }

    /// Applies new settings. A smaller safe share takes effect at once; what is lent above it expires.
    pub fn apply_settings(&mut self, settings: LeaseSettings) {
        self.settings = settings;
        self.initial_share = self.initial_share.min(self.settings.safe_share() / RESERVE_DIVISOR);
    }

    /// Sets the units of the limit that this courier would use, and their weight.
    pub fn set_demand(&mut self, units: u32, weight: u8) {
        self.demand = (units.min(LIMIT_UNITS), weight.max(1));
    }

    /// Adds a member that exists or existed, according to stored state, settings or the gossip layer. Only the steward uses it.
    pub fn add_member(&mut self, member: Member) {
        if member != self.me && self.known_members.len() < MAX_MEMBERS {
            self.known_members.insert(member);
        }
    }

    /// Removes a member that announced its end, or that the operator declared gone. A member that is merely silent must not be
    /// removed.
    pub fn remove_member(&mut self, member: Member) {
        self.known_members.remove(&member);
        self.peers.remove(&member);
    }

    fn owned(&self, now: Micros) -> u32 {
        let safe_share = self.settings.safe_share();
        let settled = now >= self.started_at + self.settings.lender_wait().scale(4.0);
        if self.settings.steward != Some(self.me) || !settled {
            return safe_share;
        }
        // A silent member still uses its safe share, so it counts until it announces its end.
        let members = (self.known_members.len() as u32 + 1).max(self.settings.min_couriers);
        safe_share + LIMIT_UNITS.saturating_sub(members.saturating_mul(safe_share))
    }

    fn outstanding(&self, now: Micros) -> u32 {
        self.lent.values().fold(0, |sum, l| sum.saturating_add(l.outstanding(now)))
    }

    /// Units that this courier may use at this moment. Must be called at each use and not be stored: a process that was
    /// suspended for longer than a loan term learns here that its loans have expired, and a stored value would not show it.
    pub fn in_force(&self, now: Micros) -> u32 {
        let Some(quiet_until) = self.quiet_until else { return 0 };
        let own = match now < quiet_until {
            true => self.initial_share,
            false => self.owned(now).saturating_sub(self.outstanding(now)),
        };
        self.held.values().filter(|h| now < h.until).fold(own, |sum, h| sum.saturating_add(h.units))
    }

    /// The future values of [`Lease::in_force`] as (from when, units), if nothing more is received and [`Lease::tick`] is not
    /// called: held loans expire, and lent units come back.
    pub fn schedule(&self, now: Micros) -> Vec<(Micros, u32)> {
        let held = self.held.values().map(|h| h.until);
        let lent = self.lent.values().flat_map(|l| l.steps.iter().map(|s| s.until));
        let moments: BTreeSet<Micros> =
            held.chain(lent).chain(self.quiet_until).filter(|at| *at > now).chain([now]).collect();
        moments.into_iter().map(|at| (at, self.in_force(at))).collect()
    }

    /// The total demand in units, by the last message of each peer, and this courier's own.
    pub fn total_and_own_demand(&self) -> (u64, u32) {
        let others = self.peers.values().map(|p| u64::from(p.demand.units));
        (others.sum::<u64>() + u64::from(self.demand.0), self.demand.0)
    }

    /// Takes in a peer's demand. Old messages and this courier's own are ignored.
    pub fn receive_demand(&mut self, now: Micros, from: Member, version: Version, demand: Demand) {
        let has_capacity = self.peers.len() < MAX_MEMBERS;
        if from == self.me || self.peers.get(&from).map_or(!has_capacity, |p| p.version >= version) {
            return;
        }
        self.add_member(from);
        // A stamp counts from when it was first received; receiving the same stamp again must not extend loans.
        let old = self
            .peers
            .get(&from)
            .filter(|p| p.version.run == version.run && p.demand.stamp_ms >= demand.stamp_ms);
        let received_at = old.map_or(now, |p| p.received_at);
        let demand = Demand {
            stamp_ms: old.map_or(demand.stamp_ms, |p| p.demand.stamp_ms),
            weight: demand.weight.max(1),
            ..demand
        };
        self.peers.insert(from, Peer { version, demand, received_at });
    }

    /// Takes in a peer's loan. Returns whether it was accepted: a loan to another member or to a previous run, an old one and
    /// an expired one are not.
    pub fn receive_loan(&mut self, now: Micros, from: Member, version: Version, loan: Loan) -> bool {
        let requested_at = self.started_at + Micros(u64::from(loan.stamp_ms) * 1_000);
        // The run is compared because stamps of a previous run mean nothing on this run's clock; a stamp in the future
        // cannot be this run's own.
        if loan.to != self.me || from == self.me || loan.run != self.run || requested_at > now {
            return false;
        }
        let until = requested_at + self.settings.loan_term;
        // A loan that was returned must never be accepted again: older sequence numbers are refused for as long as they could
        // be in force, since their stamps are no newer and they expire no later.
        let loan_version = (version.run, loan.sequence);
        let late = self.held.get(&from).is_some_and(|h| h.version >= loan_version);
        if late || until <= now || loan.units > LIMIT_UNITS || self.quiet_until.is_none() {
            return false;
        }
        if self.held.len() >= MAX_MEMBERS && !self.held.contains_key(&from) {
            return false;
        }
        let ack_due = self.held.get(&from).is_some_and(|h| h.ack_due || h.units > loan.units);
        self.held.insert(from, HeldLoan { version: loan_version, units: loan.units, until, ack_due });
        true
    }

    /// A peer reports the last loan that it accepted: loans before it are no longer in force, expired or not.
    pub fn receive_ack(&mut self, from: Member, ack: LoanAck) {
        // Sequence numbers start anew in each run; those of a previous run say nothing about this run's loans.
        if ack.to == self.me && ack.run == self.run && ack.sequence <= self.sequence {
            if let Some(lent) = self.lent.get_mut(&from) {
                lent.steps.retain(|s| s.sequence >= ack.sequence);
            }
        }
    }

    /// Lends units, takes them back and publishes demand as time passes; messages to be published are appended to `out`. To be
    /// called about ten times per second and after messages were received; calling more often does no harm.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<LeaseMessage>) {
        // A run that overlaps another publishes nothing: peers would lend to it instead of to the run that serves.
        let Some(quiet_until) = self.quiet_until else { return };
        self.held.retain(|_, h| now < h.until);
        for (lender, held) in self.held.iter_mut().filter(|(_, h)| h.ack_due) {
            held.ack_due = false;
            out.push(LeaseMessage::Ack(LoanAck {
                to: *lender,
                run: held.version.0,
                sequence: held.version.1,
            }));
        }
        self.lent.retain(|_, l| l.units > 0 || l.outstanding(now) > 0);
        if now >= quiet_until {
            if self.planned_at.is_none_or(|at| now >= at + self.settings.plan_interval) {
                self.planned_at = Some(now);
                self.plan(now, out);
            }
            self.renew(now, out);
        }
        self.publish_demand(now, out);
    }

    /// Publishes the demand when due: a quarter of a loan term after the last time if it changed, or while this courier holds
    /// loans or lacks units; otherwise after a whole term.
    fn publish_demand(&mut self, now: Micros, out: &mut Vec<LeaseMessage>) {
        let stamp_ms = u32::try_from((now - self.started_at).0 / 1_000).unwrap_or(u32::MAX);
        let demand = Demand {
            units: self.demand.0,
            weight: self.demand.1,
            owned: self.owned(now),
            in_force: self.in_force(now),
            lent: self.outstanding(now),
            stamp_ms,
        };
        let lacks_units = demand.units > demand.in_force;
        let quarter = Micros(self.settings.loan_term.0 / 4);
        let due = self.published.is_none_or(|(at, published)| {
            let differs = |old: u32, new: u32| old.abs_diff(new) > (old / 8).max(self.settings.dead_band());
            let changed = differs(published.units, demand.units)
                || differs(published.in_force, demand.in_force)
                || published.weight != demand.weight;
            let active = !self.held.is_empty() || lacks_units;
            now >= at + if active || changed { quarter } else { self.settings.loan_term }
        });
        if due {
            self.published = Some((now, demand));
            out.push(LeaseMessage::Demand(demand));
        }
    }

    /// The members that the plan covers: this courier, and the peers heard from within the last two and a half loan terms.
    fn rows(&self, now: Micros) -> Vec<Row> {
        let fresh_for = self.settings.loan_term.scale(2.5);
        let rows = self
            .peers
            .iter()
            .filter(|(_, p)| now < p.received_at + fresh_for)
            .map(|(m, p)| Row::of(*m, &p.demand));
        let (demand, weight) = self.demand;
        let (owned, lent) = (self.owned(now), self.outstanding(now));
        let mine = Row { member: self.me, demand, weight, owned, in_force: self.in_force(now), lent };
        let mut rows: Vec<Row> = rows.chain([mine]).collect();
        rows.sort_unstable_by_key(|r| r.member);
        rows
    }

    fn plan(&mut self, now: Micros, out: &mut Vec<LeaseMessage>) {
        let rows = self.rows(now);
        let loans: BTreeMap<Member, u32> = self.lent.iter().map(|(m, l)| (*m, l.units)).collect();
        for (to, units) in plan::loan_changes(self.me, &rows, &loans, &self.settings) {
            // A demand that does not reflect the last change yet would cause the same correction again in each round.
            let stamp = self.peers.get(&to).map(|p| (p.version.run, p.demand.stamp_ms));
            let loan = self.lent.entry(to).or_default();
            if stamp.is_some_and(|stamp| std::mem::replace(&mut loan.planned_for, stamp) != stamp) {
                self.lend(now, to, units, out);
            }
        }
    }

    /// Publishes each loan again for every new stamp of its holder; ends the loans of holders that are no longer heard from.
    fn renew(&mut self, now: Micros, out: &mut Vec<LeaseMessage>) {
        let loans: Vec<(Member, u32, (u64, u32))> =
            self.lent.iter().filter(|(_, l)| l.units > 0).map(|(m, l)| (*m, l.units, l.answered)).collect();
        for (to, units, answered) in loans {
            let peer = self.peers.get(&to);
            if peer.is_some_and(|p| (p.version.run, p.demand.stamp_ms) != answered) {
                self.lend(now, to, units, out);
            } else if peer.is_none_or(|p| now >= p.received_at + self.settings.loan_term) {
                self.lent.entry(to).or_default().units = 0;
            }
        }
    }

    fn lend(&mut self, now: Micros, to: Member, units: u32, out: &mut Vec<LeaseMessage>) {
        let Some(peer) = self.peers.get(&to) else { return };
        // Counted from when the stamp was received, not from now: the holder's term began before that.
        let until = peer.received_at + self.settings.lender_wait();
        let answered = (peer.version.run, peer.demand.stamp_ms);
        let outstanding = self.outstanding(now);
        // Never more than is owned, less the reserve that a new run of this member would use at once.
        let lendable = self.owned(now).saturating_sub(self.settings.safe_share().div_ceil(RESERVE_DIVISOR));
        let loan = self.lent.entry(to).or_default();
        let others = outstanding - loan.outstanding(now);
        let units = units.min(lendable.saturating_sub(others));
        if until <= now {
            loan.units = 0;
            return;
        }
        // The units stop being in force here before the loan is published.
        self.sequence += 1;
        loan.add_step(units, until, self.sequence, now);
        loan.units = units;
        loan.answered = answered;
        out.push(LeaseMessage::Loan(Loan {
            to,
            units,
            run: answered.0,
            stamp_ms: answered.1,
            sequence: self.sequence,
        }));
    }
}
