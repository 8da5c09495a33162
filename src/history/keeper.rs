//! The history of a running courier: opened with the operators' policies, written as messages end, swept, and closed where its
//! file is in the way of traffic. Whatever becomes of the file, no call here fails.

use super::config::HistoryConfig;
use super::hearing::{self, Hearing, Honoured, Told};
use super::retention::{Entry, Scope};
use super::store::{Counts, History};
use crate::api::Micros;
use crate::store::EndedMessage;
use std::collections::BTreeMap;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// A write that takes longer is slow, and a file that was is kept away from for so long.
const SLOW: Micros = Micros(100_000);
const SLOW_FOR: Micros = Micros(10_000_000);
/// Strikes of one write that failed; one that did not takes one away. At so many the file is closed. The same for slow ones, and
/// nothing that traffic waits for goes to the file.
const STRIKES: u32 = 3;
const STRIKES_MOST: u32 = 9;
/// What is too old is looked for so often, in so many messages each time: whoever holds the core is waited for.
const SWEEP: Micros = Micros(250_000);
const LOOK: usize = 1_000;

/// Whoever was heard longer ago is unheard, unless the ground says otherwise.
const LATELY: Micros = Micros(10_000_000);

/// What another courier last said.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Other {
    /// When it was last alive.
    pub alive: Option<Micros>,
    /// Of the book that it honours, in its present life.
    pub digest: Option<u64>,
    /// By tenant: version, forgotten up to which second, and the second in which the oldest that it holds ended.
    pub tenants: BTreeMap<u16, (u64, u32, Option<u32>)>,
}

/// Reads the process's clock: how long a write took.
pub type Watch = Box<dyn Fn() -> Micros + Send>;

/// The history, or what is left to say of it.
pub struct Keeper {
    history: Option<History>,
    /// Who was heard, in this life.
    pub hearing: Hearing,
    /// What the operators' file says.
    pub config: HistoryConfig,
    watch: Watch,
    strikes: u32,
    slow: u32,
    slow_until: Micros,
    failed: u64,
    sweep_at: Micros,
    sweep_from: u64,
    /// The number of this courier in the fleet, and what the others say.
    pub me: u64,
    /// See there.
    pub others: BTreeMap<u64, Other>,
    /// Whoever was heard longer ago than this is unheard.
    pub lately: Micros,
    members: usize,
    /// Why it is closed, and what ended since.
    shut: Option<String>,
    unkept: u64,
    last: Counts,
    /// Messages that ended and that the core did not hand over, as too many waited.
    pub given_way: Arc<AtomicU64>,
}

impl Keeper {
    /// Opens the history of a folder that this process owns. `incarnation`: the journal's, another for each start; `members`:
    /// couriers of the fleet, this one included. A file that can't be used leaves a history that is closed.
    pub fn open(
        dir: &Path, config: HistoryConfig, incarnation: u64, members: usize, now: Micros, watch: Watch,
    ) -> Keeper {
        let quorum = config.quorum(members);
        let hearing = Hearing::new(incarnation, quorum, config.fresh);
        let opened = guarded(|| History::open(dir, &config));
        let mut keeper = Keeper {
            history: None,
            hearing,
            config,
            watch,
            strikes: 0,
            slow: 0,
            slow_until: now,
            failed: 0,
            sweep_at: now,
            sweep_from: 0,
            me: 0,
            others: BTreeMap::new(),
            lately: LATELY,
            members,
            shut: None,
            unkept: 0,
            last: Counts::default(),
            given_way: Arc::default(),
        };
        match opened {
            Ok(mut history) => {
                history.look_over(now);
                history.orders_mut().others = quorum.in_force() - 1;
                let (kept, anew) = (history.len(), history.counts().begun_anew > 0);
                tracing::info!(target: "history", kept, incarnation, "history is kept");
                if anew {
                    tracing::error!(target: "history", "its file was damaged and is begun anew");
                }
                keeper.history = Some(history);
                keeper.policies(now);
            }
            Err(e) => keeper.close(&format!("it can't be opened: {e}")),
        }
        keeper
    }

    /// The file's policies that are newer than what is known.
    fn policies(&mut self, now: Micros) {
        let Some(history) = &self.history else { return };
        let mut new = Vec::new();
        for policy in &self.config.policies {
            let (scope, version) = (policy.scope, policy.word.version);
            let entry = history.book().reworded(scope, now, policy.word, policy.keep);
            match history.book().entries().get(&scope).map(Entry::version) {
                Some(known) if known == version && !history.book().says(scope, policy.word, policy.keep) => {
                    tracing::warn!(
                        target: "history", version,
                        "a policy of the file differs from the one of its version that is known, and changes nothing: raise it"
                    );
                }
                Some(known) if known >= version => {}
                _ => new.push((scope, entry)),
            }
        }
        self.apply(now, &new);
    }

    /// The history, unless it is closed.
    pub fn history(&self) -> Option<&History> {
        self.history.as_ref()
    }

    /// The history and who was heard, unless it is closed.
    pub fn both(&mut self) -> Option<(&mut History, &Hearing)> {
        self.history.as_mut().map(|history| (history, &self.hearing))
    }

    /// Why it is closed, if it is.
    pub fn shut(&self) -> Option<&str> {
        self.shut.as_deref()
    }

    /// What became of messages, in this life.
    pub fn counts(&self) -> Counts {
        let counts = self.history.as_ref().map_or(self.last, History::counts);
        let given_way = self.given_way.load(Ordering::Relaxed);
        Counts { unwritten: counts.unwritten + self.unkept + given_way, ..counts }
    }

    /// What the journal owes is not of the history, and what has ended there and is not here is put in: a former life was killed
    /// before it had. Says which number the journal's ends go on behind.
    pub fn take_up(
        &mut self, now: Micros, owed: impl IntoIterator<Item = u64>, ends: &[EndedMessage],
    ) -> u64 {
        let Some(history) = &mut self.history else { return 0 };
        let done = guarded(|| {
            history.still_owed(owed)?;
            history.catch_up(now, ends)
        });
        let mark = history.mark().unwrap_or(0);
        match done {
            Ok(0) => {}
            Ok(many) => tracing::info!(target: "history", many, "what the journal had ended is taken up"),
            // Danger: what is owed and kept would be sent by its owner and by a replay.
            Err(e) => self.close(&format!("what the journal has can't be taken up: {e}")),
        }
        mark
    }

    /// The journal's numbers go on from there.
    pub fn next_number(&self) -> u64 {
        self.history.as_ref().map_or(0, History::next_number)
    }

    /// These have ended, by the journal's word, the oldest first. Once this returns the journal may let go of them: they are here,
    /// or counted. Nobody waits for it, so a file that is slow is not closed; but it is told ([`Keeper::slow`]).
    pub fn take_in(&mut self, now: Micros, ends: &[EndedMessage]) {
        let began = (self.watch)();
        let Some(history) = &mut self.history else {
            self.unkept += ends.len() as u64;
            return;
        };
        let done = guarded(|| {
            history.take_in(now, ends);
            Ok(())
        });
        let (slow, took) = (self.slow, (self.watch)() - began);
        self.slow = strike(slow, took > SLOW).min(STRIKES_MOST);
        if took > SLOW {
            self.slow_until = now + took + SLOW_FOR;
        }
        if self.slow > slow && self.slow == STRIKES_MOST {
            tracing::warn!(target: "history", "its file is slow: nothing is sent again for now");
        }
        self.judge(done);
    }

    /// Whoever holds traffic up keeps away from the file: its writes were slow not long ago.
    pub fn slow(&self, now: Micros) -> bool {
        self.slow >= STRIKES_MOST && now < self.slow_until
    }

    /// Takes in entries: from others, from the operators. Whether all that is known is written; it is honoured once [`Keeper::tick`] has deleted by it.
    pub fn apply(&mut self, now: Micros, entries: &[(Scope, Entry)]) -> bool {
        let Some(history) = &mut self.history else { return false };
        let done = guarded(|| history.apply(now, entries));
        match done {
            Ok(_) => true,
            Err(e) => {
                tracing::error!(target: "history", "what is known of retention can't be written: {e}");
                self.strike(true);
                false
            }
        }
    }

    /// The other couriers, and whether each was alive lately.
    pub fn members(&self, now: Micros) -> impl Iterator<Item = (u64, bool)> + '_ {
        let here = move |node: u64| {
            self.others.get(&node).and_then(|o| o.alive).is_some_and(|at| now - at <= self.lately)
        };
        (0..self.members as u64).filter(|node| *node != self.me).map(move |node| (node, here(node)))
    }

    /// For each tenant: who honours what.
    pub fn overview(&self, now: Micros) -> Vec<Honoured> {
        let Some(history) = &self.history else { return Vec::new() };
        let mut tenants = history.tenants();
        tenants.extend(self.others.values().flat_map(|o| o.tenants.keys().copied()));
        // Danger: this book may have changed since the others were heard.
        let digest = Some(history.book().digest()).filter(|_| history.settled());
        let mut told = Vec::new();
        for tenant in tenants {
            let mine = history.told(now, self.me, tenant);
            told.extend(mine);
            for (node, other) in &self.others {
                let Some(at) = other.alive else { continue };
                let (version, forgot, oldest) = other.tenants.get(&tenant).copied().unwrap_or_default();
                let oldest = oldest.map(|s| Micros(u64::from(s) * 1_000_000));
                // Who has the same book honours the same.
                let (version, forgot) = match mine.filter(|_| other.digest == digest) {
                    Some(mine) => (mine.version, mine.forgot),
                    None => (version, forgot),
                };
                told.push(Told { node: *node, tenant, version, forgot, oldest, at });
            }
        }
        let known = self.others.keys().copied().chain([self.me]);
        let unknown = (0..self.members as u64).filter(|n| !self.others.contains_key(n));
        let members = known.chain(unknown).take(self.members).collect();
        hearing::overview(now, self.lately, self.config.quorum(self.members), &members, &told)
    }

    /// Moves time: deletes what is too old, and tries again to write what could not be.
    pub fn tick(&mut self, now: Micros) {
        if self.history.as_ref().is_some_and(History::clears) {
            let Some(history) = &mut self.history else { return };
            let done = guarded(|| history.clear(now));
            return self.judge(done);
        }
        if now < self.sweep_at {
            return;
        }
        self.sweep_at = now + SWEEP;
        if self.history.as_ref().is_some_and(|h| !h.settled()) {
            self.apply(now, &[]);
        }
        let Some(history) = &mut self.history else { return };
        let from = self.sweep_from;
        let done = guarded(|| history.sweep_from(now, from, LOOK));
        self.sweep_from = *done.as_ref().unwrap_or(&0);
        self.judge(done.map(drop));
    }

    fn judge(&mut self, done: io::Result<()>) {
        let failed = self.history.as_ref().map_or(0, |h| h.counts().failed);
        let bad = done.is_err() || failed > self.failed;
        self.failed = failed;
        self.strike(bad);
    }

    fn strike(&mut self, bad: bool) {
        self.strikes = strike(self.strikes, bad);
        if self.strikes >= STRIKES_MOST {
            self.close("writes of its file fail");
        }
    }

    /// For this life. Traffic goes on.
    fn close(&mut self, why: &str) {
        self.last = self.history.as_ref().map_or(self.last, History::counts);
        self.shut = Some(why.to_owned());
        tracing::error!(target: "history", "history is closed, what ends is not kept: {why}");
        self.let_go();
    }

    /// Another process owns the file from here on, or nobody.
    pub fn let_go(&mut self) {
        let history = self.history.take();
        // An error says that the library fell over its own file: it is gone all the same.
        let _ = catch_unwind(AssertUnwindSafe(|| drop(history)));
    }
}

fn strike(strikes: u32, bad: bool) -> u32 {
    if bad {
        strikes + STRIKES
    } else {
        strikes.saturating_sub(1)
    }
}

/// Danger: the library panics on some damage, which must end nothing but the history.
fn guarded<T>(by: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
    catch_unwind(AssertUnwindSafe(by)).unwrap_or_else(|_| Err(io::Error::other("it fell over the file")))
}

#[cfg(test)]
mod tests;
