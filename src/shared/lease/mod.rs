//! A limit that many couriers keep together: each owns a safe share of it and lends parts to named peers for a term.
//!
//! The bound and its proof are in `docs/design/shared.md`; what each line here guards is said beside it. Shares are in
//! units, [`WHOLE`] to the limit, whatever that is in calls a second: who believes another limit has another product.

mod plan;
mod terms;

pub use plan::{targets, Row};
pub use terms::{Back, Loan, Said, Start, Terms, Want, KEPT, WHOLE};

use super::{Member, Version};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Members that a lease keeps something of, at most.
pub const MEMBERS: usize = 4_096;
/// Steps that a shrinking loan is remembered by, at most.
const STEPS: usize = 8;

#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Lent {
    /// Amount last said, and the life and stamp it was said with.
    said: u32,
    echo: (u64, u32),
    /// The life and stamp of the word that the plan last changed it by.
    moved: (u64, u32),
    /// What counts as lent, in the order it was said.
    steps: Vec<Step>,
}

/// A loan that was said, until it has lapsed or its successor was taken.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Step {
    amount: u32,
    until: Micros,
    turn: u32,
}

impl Lent {
    fn outstanding(&self, now: Micros) -> u32 {
        self.steps.iter().filter(|s| s.until > now).map(|s| s.amount).max().unwrap_or(0)
    }

    fn note(&mut self, amount: u32, until: Micros, turn: u32, now: Micros) {
        // Danger: a greater loan that has not lapsed stays counted; only what the new one covers in both goes. The new
        // one is counted by itself also where an older one covers it: that one may be given back.
        self.steps.retain(|s| s.until > now && !(s.amount <= amount && s.until <= until));
        if amount > 0 {
            self.steps.push(Step { amount, until, turn });
        }
        if self.steps.len() > STEPS {
            // Danger: merged upwards, so that no more is taken back than has lapsed.
            let first = self.steps.remove(0);
            self.steps[0].amount = self.steps[0].amount.max(first.amount);
            self.steps[0].until = self.steps[0].until.max(first.until);
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    /// The lender's life and turn.
    order: (u64, u32),
    amount: u32,
    until: Micros,
    /// A greater loan was given up for this one, and that is yet to be said.
    back: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    version: Version,
    want: Want,
    /// When its newest stamp was heard, by this courier's clock.
    heard: Micros,
}

/// One limit at one courier.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Lease {
    me: Member,
    life: u64,
    born: Micros,
    terms: Terms,
    /// Until then a former life's loans may be in force; none while beside another life.
    quiet: Option<Micros>,
    kept: u32,
    want: (u32, u8),
    lent: BTreeMap<Member, Lent>,
    held: BTreeMap<Member, Held>,
    peers: BTreeMap<Member, Peer>,
    /// Whom the steward ever heard of.
    ever: BTreeSet<Member>,
    said: Option<(Micros, Want)>,
    planned: Option<Micros>,
    /// Of the last loan said.
    turn: u32,
}

impl Lease {
    /// A life of `me` that begins `now`. `life` must be greater than any former life's.
    pub fn new(me: Member, life: u64, now: Micros, terms: Terms, start: Start) -> Lease {
        // Danger: a steward learns of a newcomer by its first words. Until it has had time to take back the
        // newcomer's part, the newcomer uses nothing; twice the lapse leaves one lapse for the words to arrive.
        let newcomer = start == Start::First && terms.most != terms.least;
        let (lapse, kept) = (terms.lapse(), if newcomer { 0 } else { terms.safe() / KEPT });
        let quiet = match start {
            Start::Beside => None,
            _ if newcomer => Some(now + lapse + lapse),
            _ => Some(now + lapse),
        };
        Lease {
            me,
            life,
            born: now,
            terms,
            quiet,
            kept,
            want: (0, 1),
            lent: BTreeMap::new(),
            held: BTreeMap::new(),
            peers: BTreeMap::new(),
            ever: BTreeSet::new(),
            said: None,
            planned: None,
            turn: 0,
        }
    }

    /// The other life of this member has ended: its loans lapse from now on.
    pub fn alone(&mut self, now: Micros) {
        if self.quiet.is_none() {
            self.quiet = Some(now + self.terms.lapse());
        }
    }

    /// New settings. A smaller safe share holds at once; what is lent above it lapses.
    pub fn retune(&mut self, terms: Terms) {
        self.terms = terms;
        self.kept = self.kept.min(self.terms.safe() / KEPT);
    }

    /// This courier would use so many units of the limit, worth so much.
    pub fn demand(&mut self, units: u32, worth: u8) {
        self.want = (units.min(WHOLE), worth.max(1));
    }

    /// A member that there is or was, by the folder, the settings or the carrier. Only the steward minds.
    pub fn known(&mut self, member: Member) {
        if member != self.me && self.ever.len() < MEMBERS {
            self.ever.insert(member);
        }
    }

    /// A member has said farewell, or the operator says that it is gone. Silence is no such word.
    pub fn gone(&mut self, member: Member) {
        self.ever.remove(&member);
        self.peers.remove(&member);
    }

    fn owned(&self, now: Micros) -> u32 {
        let safe = self.terms.safe();
        let settled = now >= self.born + self.terms.lapse().scale(4.0);
        if self.terms.steward != Some(self.me) || !settled {
            return safe;
        }
        // Danger: a member that is silent still uses its safe share. It counts until its farewell.
        let members = (self.ever.len() as u32 + 1).max(self.terms.least);
        safe + WHOLE.saturating_sub(members.saturating_mul(safe))
    }

    fn outstanding(&self, now: Micros) -> u32 {
        self.lent.values().fold(0, |sum, l| sum.saturating_add(l.outstanding(now)))
    }

    /// What this courier may use at this moment, in units. Ask at each use.
    ///
    /// Danger: the answer is worth nothing a moment later. A process that was stopped for longer than a term finds
    /// here that what it held has lapsed; one that kept the answer would not.
    pub fn in_force(&self, now: Micros) -> u32 {
        let Some(quiet) = self.quiet else { return 0 };
        let own = match now < quiet {
            true => self.kept,
            false => self.owned(now).saturating_sub(self.outstanding(now)),
        };
        self.held.values().filter(|h| now < h.until).fold(own, |sum, h| sum.saturating_add(h.amount))
    }

    /// What [`Lease::in_force`] says from now on, as (from when, units), as long as nothing more is heard and no tick is made:
    /// what is held lapses, and what was lent comes back.
    pub fn course(&self, now: Micros) -> Vec<(Micros, u32)> {
        let held = self.held.values().map(|h| h.until);
        let lent = self.lent.values().flat_map(|l| l.steps.iter().map(|s| s.until));
        let moments: BTreeSet<Micros> =
            held.chain(lent).chain(self.quiet).filter(|at| *at > now).chain([now]).collect();
        moments.into_iter().map(|at| (at, self.in_force(at))).collect()
    }

    /// What all would use together, in units, by the last word of each that said any; and what this courier would.
    pub fn wanted(&self) -> (u64, u32) {
        let others = self.peers.values().map(|p| u64::from(p.want.want));
        (others.sum::<u64>() + u64::from(self.want.0), self.want.0)
    }

    /// What a peer said of itself. What is old or this courier's own is left aside.
    pub fn heard_want(&mut self, now: Micros, from: Member, version: Version, want: Want) {
        let room = self.peers.len() < MEMBERS;
        if from == self.me || self.peers.get(&from).map_or(!room, |p| p.version >= version) {
            return;
        }
        self.known(from);
        // Danger: a stamp counts from when it was first heard; the same stamp again makes nothing younger.
        let old =
            self.peers.get(&from).filter(|p| p.version.run == version.run && p.want.stamp >= want.stamp);
        let heard = old.map_or(now, |p| p.heard);
        let want = Want { stamp: old.map_or(want.stamp, |p| p.want.stamp), worth: want.worth.max(1), ..want };
        self.peers.insert(from, Peer { version, want, heard });
    }

    /// What a peer lends. Returns whether it was taken: one for another, for a former life, old or lapsed is not.
    pub fn heard_loan(&mut self, now: Micros, from: Member, version: Version, loan: Loan) -> bool {
        let asked = self.born + Micros(u64::from(loan.stamp) * 1_000);
        // Danger: the life guards against a loan to a former life, whose stamps say nothing on this one's clock;
        // a stamp of the future is no stamp of ours.
        if loan.to != self.me || from == self.me || loan.life != self.life || asked > now {
            return false;
        }
        let until = asked + self.terms.term;
        // Danger: what was said to be given back is never taken again: an older turn stays refused for as long as it
        // could be in force, since its stamp is no newer and it lapses no later.
        let order = (version.run, loan.turn);
        let late = self.held.get(&from).is_some_and(|h| h.order >= order);
        if late || until <= now || loan.amount > WHOLE || self.quiet.is_none() {
            return false;
        }
        if self.held.len() >= MEMBERS && !self.held.contains_key(&from) {
            return false;
        }
        let back = self.held.get(&from).is_some_and(|h| h.back || h.amount > loan.amount);
        self.held.insert(from, Held { order, amount: loan.amount, until, back });
        true
    }

    /// A peer says which loan it took last: those before it are out of force, lapsed or not.
    pub fn heard_back(&mut self, from: Member, back: Back) {
        // Danger: turns are counted by life; a former life's say nothing of this one's loans.
        if back.to == self.me && back.life == self.life && back.turn <= self.turn {
            if let Some(lent) = self.lent.get_mut(&from) {
                lent.steps.retain(|s| s.turn >= back.turn);
            }
        }
    }

    /// Time goes on: lends, takes back, asks again; what is to be published is added to `out`. Call it some ten times a
    /// second and after something was heard; more often costs nothing but the call.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Said>) {
        // A life beside another says nothing: peers would lend to it and leave the one that serves.
        let Some(quiet) = self.quiet else { return };
        self.held.retain(|_, h| now < h.until);
        for (lender, held) in self.held.iter_mut().filter(|(_, h)| h.back) {
            held.back = false;
            out.push(Said::Back(Back { to: *lender, life: held.order.0, turn: held.order.1 }));
        }
        self.lent.retain(|_, l| l.said > 0 || l.outstanding(now) > 0);
        if now >= quiet {
            if self.planned.is_none_or(|p| now >= p + self.terms.round) {
                self.planned = Some(now);
                self.plan(now, out);
            }
            self.renew(now, out);
        }
        self.ask(now, out);
    }

    /// Says the want again: at once if it changed, each quarter of a term while it holds loans or is in need, else each term.
    fn ask(&mut self, now: Micros, out: &mut Vec<Said>) {
        let stamp = u32::try_from((now - self.born).0 / 1_000).unwrap_or(u32::MAX);
        let want = Want {
            want: self.want.0,
            worth: self.want.1,
            own: self.owned(now),
            held: self.in_force(now),
            lent: self.outstanding(now),
            stamp,
        };
        let in_need = want.want > want.held;
        let quarter = Micros(self.terms.term.0 / 4);
        let due = self.said.is_none_or(|(at, said)| {
            let far = |a: u32, b: u32| a.abs_diff(b) > (a / 8).max(self.terms.band());
            let moved = far(said.want, want.want) || far(said.held, want.held) || said.worth != want.worth;
            let lively = !self.held.is_empty() || in_need;
            now >= at + if lively || moved { quarter } else { self.terms.term }
        });
        if due {
            self.said = Some((now, want));
            out.push(Said::Want(want));
        }
    }

    /// Who takes part in the plan: this courier, and those heard within the last terms.
    fn rows(&self, now: Micros) -> Vec<Row> {
        let fresh = self.terms.term.scale(2.5);
        let rows =
            self.peers.iter().filter(|(_, p)| now < p.heard + fresh).map(|(m, p)| Row::of(*m, &p.want));
        let (want, worth) = self.want;
        let (own, lent) = (self.owned(now), self.outstanding(now));
        let mine = Row { member: self.me, want, worth, own, held: self.in_force(now), lent };
        let mut rows: Vec<Row> = rows.chain([mine]).collect();
        rows.sort_unstable_by_key(|r| r.member);
        rows
    }

    fn plan(&mut self, now: Micros, out: &mut Vec<Said>) {
        let rows = self.rows(now);
        let loans: BTreeMap<Member, u32> = self.lent.iter().map(|(m, l)| (*m, l.said)).collect();
        for (to, amount) in plan::moves(self.me, &rows, &loans, &self.terms) {
            // Danger: a word that does not tell of the last change yet would be corrected by it in each round.
            let word = self.peers.get(&to).map(|p| (p.version.run, p.want.stamp));
            let entry = self.lent.entry(to).or_default();
            if word.is_some_and(|word| std::mem::replace(&mut entry.moved, word) != word) {
                self.lend(now, to, amount, out);
            }
        }
    }

    /// Says a loan again for each stamp that is new; takes it back from those that are not heard.
    fn renew(&mut self, now: Micros, out: &mut Vec<Said>) {
        let all: Vec<(Member, u32, (u64, u32))> =
            self.lent.iter().filter(|(_, l)| l.said > 0).map(|(m, l)| (*m, l.said, l.echo)).collect();
        for (to, amount, echo) in all {
            let peer = self.peers.get(&to);
            if peer.is_some_and(|p| (p.version.run, p.want.stamp) != echo) {
                self.lend(now, to, amount, out);
            } else if peer.is_none_or(|p| now >= p.heard + self.terms.term) {
                self.lent.entry(to).or_default().said = 0;
            }
        }
    }

    fn lend(&mut self, now: Micros, to: Member, amount: u32, out: &mut Vec<Said>) {
        let Some(peer) = self.peers.get(&to) else { return };
        // Counted from the moment the stamp was heard, not from now: the holder's term began before that.
        let until = peer.heard + self.terms.lapse();
        let echo = (peer.version.run, peer.want.stamp);
        let outstanding = self.outstanding(now);
        // Danger: never more than is owned, less what a new life of this member would use.
        let most = self.owned(now).saturating_sub(self.terms.safe().div_ceil(KEPT));
        let entry = self.lent.entry(to).or_default();
        let others = outstanding - entry.outstanding(now);
        let amount = amount.min(most.saturating_sub(others));
        if until <= now {
            entry.said = 0;
            return;
        }
        // The part goes out of use here, before anybody hears of it.
        self.turn += 1;
        entry.note(amount, until, self.turn, now);
        entry.said = amount;
        entry.echo = echo;
        out.push(Said::Loan(Loan { to, amount, life: echo.0, stamp: echo.1, turn: self.turn }));
    }
}
