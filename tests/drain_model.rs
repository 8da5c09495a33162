//! The drain under every interleaving: start, second start, cancel, close, deadline, outcomes, hand-ins, notices, and a
//! SIGKILL anywhere, also in the middle of a strike. The machine under test is the real one; what surrounds it is a small
//! stand-in for the core that follows the same order of writes: what is decided is written down before it holds.

use indigohold::drain::{
    self, Answer, DrainRequest, Drains, History, MessageAttributes, Refusal, Scope, Stage,
};
use indigohold::{DedupGroup, Effect, Micros};
use stateright::{Checker, Model, Property};

const S: u64 = 1_000_000;

/// Two messages: a keyed one, and a safe one of another destination that a partial drain leaves alone.
const EFFECTS: [Effect; MSGS] =
    [Effect::Keyed { group: DedupGroup::All, window: Micros(8 * S) }, Effect::Safe];
const DESTS: [u16; MSGS] = [7, 8];
const MSGS: usize = 2;
/// Time runs to here.
const END: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum At {
    Waiting,
    Out,
    /// Waiting, and an earlier call may have run.
    Risked,
    /// Decided: its client is owed the notice.
    Owed(Answer2),
    Ended(Answer2),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Answer2 {
    Delivered,
    HandedBack,
    GivenUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    drains: Drains,
    /// As the next life finds them.
    written: Drains,
    msgs: [At; MSGS],
    /// Final answers decided so far, and what they were decided on: (message, answer, may have run).
    decided: Vec<(usize, Answer2, bool)>,
    /// What callers were told: a cancel that won, and one that came too late, by drain.
    won: Vec<u64>,
    late: Vec<u64>,
    /// Something happened that must not.
    fault: Option<&'static str>,
    crashes: u8,
    starts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Act {
    Tick,
    /// The core looks at the time.
    Look,
    Start {
        by: u64,
        dest: Option<u16>,
    },
    Cancel(u64),
    Close(u64),
    HandIn(usize),
    Begin(usize),
    Delivered(usize),
    Lost(usize),
    Refused(usize),
    Told(usize),
    Crash,
    /// The process dies when this many of the messages that a strike finds have been decided.
    CrashInStrike(usize),
}

struct Whole;

fn marks(msg: usize) -> MessageAttributes {
    MessageAttributes { front: 0, dest: DESTS[msg], class: msg as u16, tenant: 0 }
}

fn open(at: At) -> bool {
    matches!(at, At::Waiting | At::Out | At::Risked)
}

impl World {
    fn now(&self) -> Micros {
        Micros(self.now * S)
    }

    /// Decides one message as a strike does, and writes it down: messages outlast a crash.
    fn decide(&mut self, msg: usize) {
        let may_have_run = matches!(self.msgs[msg], At::Out | At::Risked);
        let history = if may_have_run { History::MayHaveRun } else { History::NeverRan };
        let answer = match drain::final_answer(EFFECTS[msg], history) {
            Answer::HandBack => Answer2::HandedBack,
            Answer::GiveUp => Answer2::GivenUp,
        };
        self.note((msg, answer, may_have_run));
        self.msgs[msg] = At::Owed(answer);
    }

    /// In no order: it does not matter which came first.
    fn note(&mut self, decided: (usize, Answer2, bool)) {
        self.decided.push(decided);
        self.decided.sort_unstable();
    }

    fn found(&self, scope: &Scope) -> Vec<usize> {
        (0..MSGS).filter(|m| open(self.msgs[*m]) && scope.covers(&marks(*m))).collect()
    }

    fn strike(&mut self, most: Option<usize>) {
        let due = self.drains.expire_due(self.now());
        for id in due {
            let scope = self.drains.get(id).unwrap().scope.clone();
            let found = self.found(&scope);
            for msg in found.into_iter().take(most.unwrap_or(usize::MAX)) {
                self.decide(msg);
            }
        }
        if most.is_none() {
            self.written = self.drains.clone();
        }
    }

    /// The next life: what is written is all there is. A call that was out may have run.
    fn restart(&mut self) {
        self.crashes += 1;
        self.drains = self.written.clone();
        for at in &mut self.msgs {
            if *at == At::Out {
                *at = At::Risked;
            }
        }
        let struck: Vec<Scope> = self
            .drains
            .active()
            .iter()
            .filter(|d| d.stage == Stage::Expired)
            .map(|d| d.scope.clone())
            .collect();
        for scope in struck {
            self.found(&scope).into_iter().for_each(|msg| self.decide(msg));
        }
        self.strike(None);
    }

    fn covered(&self, msg: usize) -> bool {
        self.drains.active().iter().any(|d| d.scope.covers(&marks(msg)))
    }
}

impl Model for Whole {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            now: 0,
            drains: Drains::default(),
            written: Drains::default(),
            msgs: [At::Waiting; MSGS],
            decided: Vec::new(),
            won: Vec::new(),
            late: Vec::new(),
            fault: None,
            crashes: 0,
            starts: 0,
        }]
    }

    fn actions(&self, w: &World, acts: &mut Vec<Act>) {
        if w.now < END {
            acts.push(Act::Tick);
        }
        acts.push(Act::Look);
        if w.starts < 2 {
            for by in [1, 2] {
                acts.extend([None, Some(7)].map(|dest| Act::Start { by, dest }));
            }
        }
        for id in w.drains.active().iter().map(|d| d.id) {
            acts.extend([Act::Cancel(id), Act::Close(id)]);
        }
        if w.crashes < 1 {
            acts.push(Act::Crash);
            acts.extend((0..MSGS).map(Act::CrashInStrike));
        }
        for msg in 0..MSGS {
            match w.msgs[msg] {
                At::Waiting | At::Risked => acts.push(Act::Begin(msg)),
                At::Out => acts.extend([Act::Delivered(msg), Act::Lost(msg), Act::Refused(msg)]),
                At::Owed(_) => acts.push(Act::Told(msg)),
                At::Ended(_) => acts.push(Act::HandIn(msg)),
            }
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut w = last.clone();
        let now = w.now();
        match act {
            Act::Tick => w.now += 1,
            Act::Look => w.strike(None),
            Act::Start { by, dest } => {
                w.starts += 1;
                w.strike(None);
                let scope = Scope { dest, ..Scope::default() };
                let wish = DrainRequest {
                    scope,
                    deadline: Micros(by * S),
                    reason: String::new(),
                    alternative_address: None,
                };
                if w.drains.start(now, wish, false, 0).is_ok() {
                    w.written = w.drains.clone();
                }
            }
            Act::Cancel(id) => {
                // Whoever looks first: the caller itself may find the deadline past.
                let struck_before = w.drains.get(id).is_some_and(|d| d.stage == Stage::Expired);
                match w.drains.cancel(now, id) {
                    Ok(()) => {
                        w.written = w.drains.clone();
                        w.won.push(id);
                        if struck_before {
                            w.fault = Some("a cancel won over a strike");
                        }
                    }
                    Err(Refusal::Expired) if w.late.contains(&id) => return None,
                    Err(Refusal::Expired) => w.late.push(id),
                    Err(_) => {}
                }
            }
            Act::Close(id) => {
                let scope = w.drains.get(id)?.scope.clone();
                w.strike(None);
                let left = (0..MSGS).filter(|m| !matches!(w.msgs[*m], At::Ended(_)));
                let left = left.filter(|m| scope.covers(&marks(*m))).count() as u64;
                if w.drains.close(now, id, left).is_ok() {
                    w.written = w.drains.clone();
                }
            }
            Act::HandIn(msg) => {
                // A message of the same kind comes: taken, or turned away.
                match w.drains.rejection(now, &marks(msg), Micros(S)) {
                    None => {
                        if w.covered(msg) {
                            w.fault = Some("taken while it drains");
                        }
                        // One more round is enough; more would be the same again.
                        if w.decided.iter().filter(|d| d.0 == msg).count() > 1 {
                            return None;
                        }
                        w.msgs[msg] = At::Waiting;
                    }
                    Some(turn) => {
                        if !w.covered(msg) || turn.retry_after == Micros(0) {
                            w.fault = Some("turned away by nothing, or told to come at once");
                        }
                        return None;
                    }
                }
            }
            Act::Begin(msg) => {
                if !w.drains.may_begin(now, &marks(msg), Micros(0)) {
                    return None;
                }
                if w.msgs[msg] == At::Risked && EFFECTS[msg] == Effect::Unsafe {
                    return None;
                }
                w.msgs[msg] = At::Out;
            }
            Act::Delivered(msg) => {
                w.note((msg, Answer2::Delivered, true));
                w.msgs[msg] = At::Ended(Answer2::Delivered);
            }
            Act::Lost(msg) => w.msgs[msg] = At::Risked,
            Act::Refused(msg) => w.msgs[msg] = At::Waiting,
            Act::Told(msg) => {
                let At::Owed(answer) = w.msgs[msg] else { return None };
                w.msgs[msg] = At::Ended(answer);
            }
            Act::Crash => w.restart(),
            Act::CrashInStrike(most) => {
                if w.drains.next_deadline().is_none_or(|at| at > now) {
                    return None;
                }
                w.strike(Some(most));
                w.restart();
            }
        }
        Some(w)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing that must not be", |_, w: &World| w.fault.is_none()),
            Property::always("an answer fits its history", |_, w: &World| {
                w.decided.iter().all(|(msg, answer, may_have_run)| match answer {
                    Answer2::Delivered => true,
                    Answer2::HandedBack => !may_have_run || EFFECTS[*msg] == Effect::Safe,
                    Answer2::GivenUp => *may_have_run && EFFECTS[*msg] != Effect::Safe,
                })
            }),
            Property::always("a message is decided once", |_, w: &World| {
                // Handed in a second time it is another message, so at most twice in all.
                (0..MSGS).all(|msg| {
                    let times = w.decided.iter().filter(|d| d.0 == msg).count();
                    let open = usize::from(open(w.msgs[msg]));
                    times + open <= 3
                })
            }),
            Property::always("cancel or strike, never both", |_, w: &World| {
                w.won.iter().all(|id| {
                    let drain = w.drains.get(*id);
                    !w.late.contains(id) && drain.is_none_or(|d| d.stage == Stage::Cancelled)
                })
            }),
            Property::always("after a strike nothing is left undecided", |_, w: &World| {
                w.drains
                    .active()
                    .iter()
                    .filter(|d| d.stage == Stage::Expired)
                    .all(|d| w.found(&d.scope).is_empty())
            }),
            Property::always("what is told is written", |_, w: &World| {
                // A stop now would lose nothing that a caller was told, but for strikes, which repeat by themselves.
                w.won.iter().all(|id| w.written.get(*id).is_some_and(|d| d.stage == Stage::Cancelled))
            }),
            Property::sometimes("a cancel wins", |_, w: &World| !w.won.is_empty()),
            Property::sometimes("a cancel comes too late", |_, w: &World| !w.late.is_empty()),
            Property::sometimes("a strike gives up", |_, w: &World| {
                w.msgs.iter().any(|m| matches!(m, At::Owed(Answer2::GivenUp)))
            }),
            Property::sometimes("service resumes", |_, w: &World| {
                !w.won.is_empty()
                    && w.msgs[0] == At::Waiting
                    && w.decided.iter().any(|d| d.0 == 0 && d.1 == Answer2::Delivered)
            }),
        ]
    }

    fn within_boundary(&self, w: &World) -> bool {
        w.decided.len() <= 3 && w.late.len() <= 1
    }
}

#[test]
fn every_interleaving_keeps_the_rules() {
    let checker = Whole.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "the model has shrunk to nothing");
    checker.assert_properties();
}

/// The checker bites: a strike that forgets what is out leaves a message undecided, and is caught.
#[test]
fn a_wrong_strike_is_found() {
    struct Wrong;
    impl Model for Wrong {
        type State = World;
        type Action = Act;
        fn init_states(&self) -> Vec<World> {
            Whole.init_states()
        }
        fn actions(&self, w: &World, acts: &mut Vec<Act>) {
            Whole.actions(w, acts);
        }
        fn next_state(&self, last: &World, act: Act) -> Option<World> {
            let mut next = Whole.next_state(last, act)?;
            if act == Act::Look {
                for (was, is) in last.msgs.iter().zip(&mut next.msgs) {
                    if *was == At::Out {
                        *is = At::Out;
                    }
                }
            }
            Some(next)
        }
        fn properties(&self) -> Vec<Property<Self>> {
            vec![Property::always("after a strike nothing is left undecided", |_, w: &World| {
                w.drains
                    .active()
                    .iter()
                    .filter(|d| d.stage == Stage::Expired)
                    .all(|d| w.found(&d.scope).is_empty())
            })]
        }
        fn within_boundary(&self, w: &World) -> bool {
            Whole.within_boundary(w)
        }
    }
    let checker = Wrong.checker().spawn_bfs().join();
    assert!(checker.discovery("after a strike nothing is left undecided").is_some());
}
