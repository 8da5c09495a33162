//! The body that all policies of the lab share: lines of messages by destination, slots, told waits, what may be repeated.

use super::Tactic;
use indigohold::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A call that may be repeated is waited for so long.
const TIMEOUT: Micros = Micros(3_000_000);
/// Nothing is sent so shortly before a deadline.
const LAST: Micros = Micros(10_000);
const SECOND: Micros = Micros(1_000_000);
/// A breaker opens on no fewer calls than this.
const BREAKER_LEAST: u32 = 5;
/// The slowest pace, in calls a second.
const AIMD_LEAST: f64 = 0.5;

struct Item {
    message: Message,
    tries: u32,
    out: bool,
    risk: Option<SentAttempt>,
    over: bool,
}

#[derive(Default)]
struct Line {
    endpoints: Vec<EndpointId>,
    waiting: VecDeque<MessageId>,
    wait_until: Micros,
    tokens: f64,
    /// Breaker: the window's beginning, calls and failures in it; until when it is open; a trial is out.
    window: (Micros, u32, u32),
    open_until: Micros,
    trial: bool,
    /// Pace: calls a second, none at first; when the next may go; those of the last second.
    rate: Option<f64>,
    next_at: Micros,
    sent: VecDeque<Micros>,
}

/// A policy of the lab.
pub(super) struct Plain {
    set: Settings,
    tactic: Tactic,
    rng: Pcg64Mcg,
    listed: BTreeMap<EndpointId, (DestinationId, ListingState)>,
    lines: BTreeMap<DestinationId, Line>,
    items: BTreeMap<MessageId, Item>,
    later: BTreeSet<(Micros, MessageId)>,
    ends: BTreeSet<(Micros, MessageId)>,
    busy: usize,
    asked: bool,
    ask_at: Micros,
    alarm_at: Option<Micros>,
}

impl Plain {
    pub(super) fn new(set: Settings, tactic: Tactic, seed: u64) -> Plain {
        Plain {
            set,
            tactic,
            rng: Pcg64Mcg::seed_from_u64(seed),
            listed: BTreeMap::new(),
            lines: BTreeMap::new(),
            items: BTreeMap::new(),
            later: BTreeSet::new(),
            ends: BTreeSet::new(),
            busy: 0,
            asked: false,
            ask_at: Micros(0),
            alarm_at: None,
        }
    }

    fn effect(&self, message: &Message) -> Effect {
        self.set.classes.get(usize::from(message.class.0)).map_or(Effect::Unsafe, |c| c.effect)
    }

    fn list(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.listed.insert(entry.endpoint, (entry.destination, entry.state));
            let line = self.lines.entry(entry.destination).or_default();
            line.endpoints.retain(|e| *e != entry.endpoint);
            if entry.state == ListingState::Ready {
                line.endpoints.push(entry.endpoint);
                line.endpoints.sort_unstable();
            }
        }
    }

    fn take(&mut self, message: &Message, tries: u32, risk: Option<SentAttempt>) {
        let line = self.lines.entry(message.destination).or_default();
        if let Tactic::Budget { ratio, most } = self.tactic {
            line.tokens = (line.tokens + ratio).min(most);
        }
        line.waiting.push_back(message.id);
        self.ends.insert((message.due - LAST, message.id));
        let item = Item { message: message.clone(), tries, out: false, risk, over: false };
        self.items.insert(message.id, item);
    }

    fn may_repeat(&self, now: Micros, item: &Item) -> bool {
        let in_time = now + LAST < item.message.due;
        let left = item.tries < self.set.limits.max_attempts.unwrap_or(u32::MAX);
        let safe = match (item.risk, self.effect(&item.message)) {
            (None, _) | (_, Effect::Safe) => true,
            (Some(earlier), Effect::Keyed { window, .. }) => now + LAST < earlier.sent_at + window,
            (Some(_), Effect::Unsafe) => false,
        };
        in_time && left && safe
    }

    fn give_up(&mut self, now: Micros, id: MessageId, actions: &mut Vec<Action>) {
        let Some(item) = self.items.get_mut(&id).filter(|i| !i.over) else { return };
        item.over = true;
        let out = item.out;
        let harmless = !out && item.risk.is_none();
        let to = item.message.destination;
        let safe = !out && self.effect(&self.items[&id].message) == Effect::Safe;
        if harmless || safe {
            let wait = self.lines.get(&to).map_or(Micros(0), |l| l.wait_until - now).max(SECOND);
            let most = self.set.limits.max_retry_after.unwrap_or(wait);
            actions.push(Action::Decline { id, retry_after: wait.min(most) });
        } else {
            actions.push(Action::Fail(id));
        }
        if !out {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: MessageId) {
        if let Some(item) = self.items.remove(&id) {
            let slack = self.set.rules.answer_slack.unwrap_or_default().scale(0.5);
            self.ends.remove(&(item.message.due - LAST, id));
            self.ends.remove(&(item.message.due + slack, id));
            if let Some(line) = self.lines.get_mut(&item.message.destination) {
                line.waiting.retain(|m| *m != id);
            }
        }
    }

    fn returned(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        let Event::Returned { id, endpoint, outcome, terminal, .. } = *event else { return };
        let Some(item) = self.items.get_mut(&id).filter(|i| i.out) else { return };
        item.out = false;
        self.busy = self.busy.saturating_sub(1);
        use Outcome::*;
        if matches!(outcome, Error | InvalidAnswer(_) | Timeout | Reset | Cancelled) {
            item.risk.get_or_insert(SentAttempt { sent_at: now, endpoint, zone: None });
        }
        let (to, over, tries) = (item.message.destination, item.over, item.tries);
        let line = self.lines.entry(to).or_default();
        if let Refused(Some(wait)) | InvalidAnswer(Some(wait)) = outcome {
            line.wait_until = line.wait_until.max(now + wait);
        }
        let failed = !matches!(outcome, Ok | NotSent);
        match self.tactic {
            Tactic::Breaker { window, share, open } => {
                if std::mem::take(&mut line.trial) && failed {
                    line.open_until = now + open;
                }
                if line.window.0 + window <= now {
                    line.window = (now, 0, 0);
                }
                line.window.1 += 1;
                line.window.2 += u32::from(failed);
                let (_, calls, bad) = line.window;
                if calls >= BREAKER_LEAST && f64::from(bad) >= share * f64::from(calls) {
                    line.open_until = now + open;
                    line.window = (now + open, 0, 0);
                }
            }
            Tactic::Aimd { step, cut } => match outcome {
                Ok => line.rate = line.rate.map(|r| r + step),
                Refused(_) => {
                    let lately = line.sent.len().max(1) as f64;
                    line.rate = Some((line.rate.unwrap_or(lately) * cut).max(AIMD_LEAST));
                }
                _ => {}
            },
            _ => {}
        }
        if over || terminal || outcome == Ok {
            return self.forget(id);
        }
        if !self.may_repeat(now, &self.items[&id]) {
            return self.give_up(now, id, actions);
        }
        if outcome == NotSent {
            self.later.insert((now + Micros(50_000), id));
            return;
        }
        let jittered = |rng: &mut Pcg64Mcg, base: Micros, cap: Micros| {
            let bound = base.scale(2f64.powi(tries.saturating_sub(1).min(16) as i32)).min(cap);
            bound.scale(rng.random::<f64>())
        };
        let wait = match self.tactic {
            Tactic::Immediate => Some(Micros(0)),
            Tactic::Fixed { pause } => Some(pause),
            Tactic::Jitter { base, cap } => Some(jittered(&mut self.rng, base, cap)),
            Tactic::Breaker { .. } | Tactic::Aimd { .. } => {
                Some(jittered(&mut self.rng, Micros(500_000), Micros(8_000_000)))
            }
            Tactic::Budget { .. } => {
                let line = self.lines.entry(to).or_default();
                let pays = line.tokens >= 1.0;
                line.tokens -= if pays { 1.0 } else { 0.0 };
                pays.then_some(Micros(0))
            }
        };
        match wait {
            Some(wait) => drop(self.later.insert((now + wait, id))),
            None => self.give_up(now, id, actions),
        }
    }

    fn dispatch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        while let Some((_, id)) = self.later.first().copied().filter(|(at, _)| *at <= now) {
            self.later.pop_first();
            if let Some(item) = self.items.get(&id).filter(|i| !i.over) {
                self.lines.entry(item.message.destination).or_default().waiting.push_back(id);
            }
        }
        let slots = self.set.limits.slots.unwrap_or(u32::MAX) as usize;
        let waiting = |l: &Line| !l.waiting.is_empty();
        let lines: Vec<DestinationId> =
            self.lines.iter().filter(|(_, l)| waiting(l)).map(|(d, _)| *d).collect();
        if lines.is_empty() {
            return;
        }
        // No destination is always first.
        let from = self.rng.random_range(0..lines.len());
        for to in lines[from..].iter().chain(&lines[..from]) {
            while self.busy < slots && self.one(now, *to, actions) {}
        }
    }

    fn one(&mut self, now: Micros, to: DestinationId, actions: &mut Vec<Action>) -> bool {
        let Some(line) = self.lines.get_mut(&to) else { return false };
        if line.wait_until > now || line.open_until > now || line.next_at > now || line.trial {
            return false;
        }
        let Some(id) = line.waiting.front().copied() else { return false };
        let Some(item) = self.items.get_mut(&id) else {
            line.waiting.pop_front();
            return true;
        };
        let class = self.set.classes.get(usize::from(item.message.class.0));
        let fits: Vec<EndpointId> = match (item.risk, class.map(|c| c.effect)) {
            (Some(earlier), Some(Effect::Keyed { group: DedupGroup::Endpoint | DedupGroup::Zone, .. })) => {
                line.endpoints.iter().copied().filter(|e| *e == earlier.endpoint).collect()
            }
            _ => line.endpoints.clone(),
        };
        if fits.is_empty() {
            return false;
        }
        let endpoint = fits[self.rng.random_range(0..fits.len())];
        line.waiting.pop_front();
        if matches!(self.tactic, Tactic::Breaker { .. }) && line.open_until > Micros(0) {
            // The first call after the breaker was open is a trial.
            line.trial = true;
            line.open_until = Micros(0);
        }
        line.sent.push_back(now);
        while line.sent.front().is_some_and(|at| *at + SECOND < now) {
            line.sent.pop_front();
        }
        if let Some(rate) = line.rate {
            line.next_at = line.next_at.max(now) + Micros::from_secs(1.0 / rate);
        }
        item.tries += 1;
        item.out = true;
        self.busy += 1;
        let left = item.message.due - now;
        let timeout = match class.map(|c| c.effect) {
            Some(Effect::Unsafe) | None => left,
            Some(Effect::Keyed { window, .. }) => left.min(TIMEOUT).min(window.scale(0.75)),
            Some(Effect::Safe) => left.min(TIMEOUT),
        };
        actions.push(Action::Try { id, endpoint, timeout });
        true
    }
}

impl DecisionEngine for Plain {
    fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        for event in events {
            match event {
                Event::Demand(message) => self.take(message, 0, None),
                Event::Resumed { message, attempts: tries, first_uncertain: risk } => {
                    self.take(message, *tries, *risk);
                    if *tries > 0 && !self.may_repeat(now, &self.items[&message.id]) {
                        self.give_up(now, message.id, actions);
                    }
                }
                Event::Returned { .. } => self.returned(now, event, actions),
                Event::WholeList(entries) | Event::ListChange(entries) | Event::LocalListChange(entries) => {
                    self.asked = true;
                    self.list(entries);
                }
                Event::ListFailed => (self.asked, self.ask_at) = (false, now + SECOND),
                Event::Withdrawn(id) => {
                    if let Some(item) = self.items.get_mut(id) {
                        item.over = true;
                        if !item.out {
                            self.forget(*id);
                        }
                    }
                }
                Event::TimerElapsed(_) => self.alarm_at = None,
                _ => {}
            }
        }
        if !self.asked && self.ask_at <= now {
            (self.asked, self.ask_at) = (true, now + SECOND);
            actions.push(Action::Subscribe);
        }
        while let Some((_, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.pop_first();
            // A call that is out by then may still be answered in time.
            let slack = self.set.rules.answer_slack.unwrap_or_default().scale(0.5);
            match self.items.get(&id).filter(|i| i.out && !i.over).map(|i| i.message.due + slack) {
                Some(last) if last > now => drop(self.ends.insert((last, id))),
                _ => self.give_up(now, id, actions),
            }
        }
        self.dispatch(now, actions);
        let lines = self.lines.values().filter(|l| !l.waiting.is_empty());
        let opens = lines.map(|l| l.wait_until.max(l.open_until).max(l.next_at)).filter(|at| *at > now).min();
        let next = [
            opens,
            self.later.first().map(|l| l.0),
            self.ends.first().map(|e| e.0),
            (!self.asked).then_some(self.ask_at),
        ];
        if let Some(next) = next.into_iter().flatten().min() {
            let next = next.max(now + self.set.period);
            if self.alarm_at.is_none_or(|at| at > next) {
                self.alarm_at = Some(next);
                actions.push(Action::SetTimer { after: next - now, token: TimerToken(0) });
            }
        }
    }

    fn may_begin(&self, now: Micros, _message: MessageId, id: EndpointId) -> bool {
        let Some((to, listed)) = self.listed.get(&id) else { return false };
        let waits = self.lines.get(to).is_some_and(|l| l.wait_until > now);
        *listed == ListingState::Ready && !waits
    }

    fn required_wait_until(&self, destination: DestinationId) -> Micros {
        self.lines.get(&destination).map_or(Micros(0), |l| l.wait_until)
    }
}
