//! What a core may do under its settings, judged from outside by what it was told and what it ordered.

use super::Played;
use indigohold::core::{End, Fetch};
use indigohold::store::FinalOutcome;
use indigohold::{DedupGroup, Effect, Kind, Micros, Settings};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// So late a round may be: the emulator looks at the clock so often without another cause.
pub const LOOK: Micros = Micros(20_000);
const FAULTS_MOST: usize = 10;

/// How a line of the list stands.
#[derive(Debug, Clone, PartialEq)]
pub struct Line {
    pub dest: u16,
    pub kind: Arc<str>,
    pub zone: Arc<str>,
    /// Since when it takes nothing new, as it was told.
    pub closed: Option<Micros>,
}

/// A message that was taken on.
struct Msg {
    class: usize,
    due: Micros,
    answered: bool,
    calls: u32,
    out: bool,
    /// First call that may have run: when and where.
    risk: Option<(Micros, String)>,
    ended: bool,
}

/// Keeps an eye on one core.
pub struct Seen {
    settings: Settings,
    grace: Micros,
    pub lines: BTreeMap<String, Line>,
    msgs: HashMap<u64, Msg>,
    /// Calls whose first byte has gone and that are not over.
    out: u32,
    waits: HashMap<(u16, Option<String>), Micros>,
    pub played: Played,
}

impl Seen {
    pub fn new(settings: Settings, grace: u64) -> Seen {
        Seen {
            settings,
            grace: Micros(grace),
            lines: BTreeMap::new(),
            msgs: HashMap::new(),
            out: 0,
            waits: HashMap::new(),
            played: Played::default(),
        }
    }

    pub fn broken(&mut self, now: Micros, what: String) {
        if self.played.broken.len() < FAULTS_MOST {
            self.played.broken.push(format!("{:.3}: {what}", now.secs()));
        }
    }

    fn must(&mut self, now: Micros, holds: bool, what: impl FnOnce() -> String) {
        if !holds {
            self.broken(now, what());
        }
    }

    pub fn taken(&mut self, msg: u64, class: usize, due: Micros) {
        let fresh = Msg { class, due, answered: false, calls: 0, out: false, risk: None, ended: false };
        self.msgs.insert(msg, fresh);
    }

    pub fn refused(&mut self, now: Micros, wait: Micros) {
        self.played.refused += 1;
        let most = self.settings.limits.max_retry_after;
        self.must(now, most.is_none_or(|most| wait <= most), || format!("stay away {} us", wait.0));
    }

    pub fn answered(&mut self, msg: u64) {
        self.msgs.get_mut(&msg).into_iter().for_each(|m| m.answered = true);
    }

    pub fn withdrawn(&mut self, msg: u64) {
        self.msgs.remove(&msg);
    }

    /// The kind of this name; `None`: the settings list none.
    fn kind(&self, name: &str) -> Option<&Kind> {
        self.settings.kinds.iter().find(|kind| kind.name == name)
    }

    /// One call is ordered, with these messages.
    pub fn ordered(&mut self, now: Micros, call: &[Fetch]) {
        let to = &call[0].backend.name;
        let kind = self.lines.get(to).and_then(|line| self.kind(&line.kind));
        let most = kind.map_or(1, |k| k.max_batch_size.max(1));
        self.must(now, call.len() <= most as usize, || format!("{} in a call, {most} at most", call.len()));
        if call.len() > 1 {
            self.played.together += call.len() as u64;
        }
        for fetch in call {
            self.must(now, fetch.backend.name == *to, || format!("one call to {to} and elsewhere"));
            self.must(now, fetch.deadline <= fetch.req.due, || format!("{} past its time", fetch.msg));
            let Some(m) = self.msgs.get(&fetch.msg) else {
                self.broken(now, format!("a call for {}, which is not held", fetch.msg));
                continue;
            };
            let (answered, ended) = (m.answered, m.ended);
            self.must(now, answered, || format!("{} was called before its answer was written", fetch.msg));
            self.must(now, !ended, || format!("{} was called after its end", fetch.msg));
        }
    }

    /// The first byte of a call for this message goes.
    pub fn begun(&mut self, now: Micros, fetch: &Fetch) {
        let (id, to) = (fetch.msg, fetch.backend.name.clone());
        self.played.calls += 1;
        let Some(line) = self.lines.get(&to).cloned() else {
            return self.broken(now, format!("{id} to {to}, which was never listed"));
        };
        self.must(now, line.dest == fetch.req.dest, || format!("{id} to another destination"));
        let grace = self.grace;
        self.must(now, line.closed.is_none_or(|at| now <= at + grace), || {
            format!("{id} to {to}, which is closed")
        });
        let apart = self.kind(&line.kind).is_some_and(|k| k.separate_routes);
        let wait = self.waits.get(&(line.dest, apart.then(|| to.clone()))).copied();
        self.must(now, wait.is_none_or(|until| now >= until), || format!("{id} to {to}, told to wait"));
        let Some(m) = self.msgs.get_mut(&id) else { return };
        m.calls += 1;
        let (calls, twice) = (m.calls, std::mem::replace(&mut m.out, true));
        let (risk, due) = (m.risk.clone(), m.due);
        let effect = self.settings.classes[m.class].effect;
        self.must(now, !twice, || format!("a second copy of {id}"));
        let most = self.settings.limits.max_attempts;
        self.must(now, most.is_none_or(|most| calls <= most), || format!("{id} called {calls} times"));
        self.must(now, now < due, || format!("{id} after its time"));
        let Some((at, first)) = risk else { return };
        let zone = |name: &str| self.lines.get(name).map(|l| &l.zone);
        let remembered = match effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                let same = match group {
                    DedupGroup::All => true,
                    DedupGroup::Zone => zone(&first) == zone(&to),
                    DedupGroup::Endpoint => first == to,
                };
                same && now < at + window
            }
        };
        self.must(now, remembered, || {
            format!("{id} may take effect twice: {effect:?} at {first}, then {to}")
        });
    }

    /// Calls that hold a slot, one more or one less.
    pub fn slot(&mut self, now: Micros, more: bool) {
        self.out = if more { self.out + 1 } else { self.out - 1 };
        let (out, slots) = (self.out, self.settings.limits.slots);
        self.must(now, !more || slots.is_none_or(|s| out <= s), || format!("{out} calls out at once"));
    }

    /// A call that had begun at `sent` is over for this message.
    pub fn over(&mut self, now: Micros, fetch: &Fetch, sent: Micros, end: End) {
        if let (End::TurnedAway(Some(wait)) | End::Spoilt(Some(wait)), Some(line)) =
            (end, self.lines.get(&fetch.backend.name))
        {
            let apart = self.kind(&line.kind).is_some_and(|k| k.separate_routes);
            let whom = (line.dest, apart.then(|| fetch.backend.name.clone()));
            let until = self.waits.entry(whom).or_default();
            *until = (*until).max(now + wait);
        }
        let Some(m) = self.msgs.get_mut(&fetch.msg) else { return };
        m.out = false;
        if end.may_have_run() {
            m.risk.get_or_insert((sent, fetch.backend.name.clone()));
        }
        if matches!(end, End::Delivered | End::Over) {
            self.played.delivered += u64::from(end == End::Delivered && !m.ended);
            self.msgs.remove(&fetch.msg);
        }
    }

    /// The core ends a message by a notice.
    pub fn noticed(&mut self, now: Micros, msg: u64, verdict: FinalOutcome) {
        let Some(m) = self.msgs.get_mut(&msg) else {
            return self.broken(now, format!("a notice for {msg}, which is not held"));
        };
        let (twice, due, risky) = (std::mem::replace(&mut m.ended, true), m.due, m.risk.is_some());
        let safe = self.settings.classes[m.class].effect == Effect::Safe;
        let slack = self.settings.rules.answer_slack.unwrap_or_default();
        self.must(now, !twice, || format!("two ends of {msg}"));
        self.must(now, now <= due + slack + LOOK, || format!("the end of {msg} is late"));
        if let FinalOutcome::HandedBack(wait) = verdict {
            self.must(now, safe || !risky, || format!("{msg} was handed back and may have run"));
            let most = self.settings.limits.max_retry_after;
            self.must(now, most.is_none_or(|most| wait <= most), || format!("stay away {} us", wait.0));
        }
    }

    pub fn told(&mut self, msg: u64) {
        if self.msgs.get(&msg).is_some_and(|m| !m.out) {
            self.msgs.remove(&msg);
        }
    }

    pub fn probed(&mut self, now: Micros) {
        self.played.asked += 1;
        self.must(now, self.settings.limits.probes, || "a probe, which is not permitted".into());
    }

    pub fn noted(&mut self, now: Micros) {
        self.played.asked += 1;
        self.must(now, self.settings.limits.gossip, || "a note, which is not permitted".into());
    }

    pub fn cancelled(&mut self, now: Micros) {
        self.must(now, self.settings.limits.cancel, || {
            "a call was called off, which is not permitted".into()
        });
    }

    /// After each turn of the core.
    pub fn held(&mut self, now: Micros, owed: usize) {
        let most = self.settings.limits.max_open;
        self.must(now, most.is_none_or(|most| owed <= most as usize), || format!("{owed} messages held"));
    }

    /// All is over: nobody is owed anything.
    pub fn end(mut self, now: Micros) -> Played {
        let lost = self.msgs.values().filter(|m| !m.ended).count();
        self.must(now, lost == 0, || format!("{lost} messages have no end"));
        self.played
    }
}
