//! Model check of drains under every interleaving of start, second start, cancel, close, deadline, outcomes, submissions, notices
//! and a SIGKILL at any point, also while a drain expires. The drain state machine is the real one. The core around it is a
//! small substitute with the same order of writes: a decision is written before it takes effect.

use indigohold::drain::{
    self, Answer, DrainRequest, Drains, History, MessageAttributes, Refusal, Scope, Stage,
};
use indigohold::{DedupGroup, Effect, Micros};
use stateright::{Checker, Model, Property};

const SECOND_US: u64 = 1_000_000;

/// Two messages: a keyed one, and a safe one to another destination, which is outside the scope of a partial drain.
const EFFECTS: [Effect; MESSAGES] =
    [Effect::Keyed { group: DedupGroup::All, window: Micros(8 * SECOND_US) }, Effect::Safe];
const DESTINATIONS: [u16; MESSAGES] = [7, 8];
const MESSAGES: usize = 2;
/// The time in seconds at which the model's clock stops.
const LAST_SECOND: u64 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Phase {
    Queued,
    InFlight,
    /// No call is in flight, but an earlier one may have run.
    MayHaveRun,
    /// Its final answer is decided; the notice to its client is pending.
    NoticePending(FinalAnswer),
    Ended(FinalAnswer),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum FinalAnswer {
    Delivered,
    HandedBack,
    GivenUp,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    drains: Drains,
    /// The drains as written to disk, which the next process run reads.
    written: Drains,
    messages: [Phase; MESSAGES],
    /// The final answers so far: message, answer, and whether the message may have run.
    decided: Vec<(usize, FinalAnswer, bool)>,
    /// Drains whose cancel request succeeded, and drains whose cancel request was refused as too late.
    cancelled: Vec<u64>,
    late_cancels: Vec<u64>,
    /// A rule that a step broke.
    violation: Option<&'static str>,
    crashes: u8,
    starts: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Tick,
    /// The core checks the deadlines.
    CheckDeadlines,
    Start {
        by: u64,
        dest: Option<u16>,
    },
    Cancel(u64),
    Close(u64),
    Submit(usize),
    BeginCall(usize),
    Delivered(usize),
    Lost(usize),
    Refused(usize),
    NoticeDelivered(usize),
    Crash,
    /// The process is killed after it has decided this many of the messages that an expired drain covers.
    CrashDuringExpiry(usize),
}

struct DrainModel;

fn attributes(msg: usize) -> MessageAttributes {
    MessageAttributes { front: 0, dest: DESTINATIONS[msg], class: msg as u16, tenant: 0 }
}

fn is_open(phase: Phase) -> bool {
    matches!(phase, Phase::Queued | Phase::InFlight | Phase::MayHaveRun)
}

impl State {
    fn now(&self) -> Micros {
        Micros(self.now * SECOND_US)
    }

    /// Decides one message as an expired drain does, and writes the decision: messages survive a crash.
    fn decide(&mut self, msg: usize) {
        let may_have_run = matches!(self.messages[msg], Phase::InFlight | Phase::MayHaveRun);
        let history = if may_have_run { History::MayHaveRun } else { History::NeverRan };
        let answer = match drain::final_answer(EFFECTS[msg], history) {
            Answer::HandBack => FinalAnswer::HandedBack,
            Answer::GiveUp => FinalAnswer::GivenUp,
        };
        self.record_answer((msg, answer, may_have_run));
        self.messages[msg] = Phase::NoticePending(answer);
    }

    /// Records an answer. The list is sorted, as the order of decisions makes no difference to the state.
    fn record_answer(&mut self, decided: (usize, FinalAnswer, bool)) {
        self.decided.push(decided);
        self.decided.sort_unstable();
    }

    fn open_in_scope(&self, scope: &Scope) -> Vec<usize> {
        (0..MESSAGES).filter(|m| is_open(self.messages[*m]) && scope.covers(&attributes(*m))).collect()
    }

    fn expire_due(&mut self, max_decisions: Option<usize>) {
        let due = self.drains.expire_due(self.now());
        for id in due {
            let scope = self.drains.get(id).unwrap().scope.clone();
            let open = self.open_in_scope(&scope);
            for msg in open.into_iter().take(max_decisions.unwrap_or(usize::MAX)) {
                self.decide(msg);
            }
        }
        if max_decisions.is_none() {
            self.written = self.drains.clone();
        }
    }

    /// Restarts the process from the written state. A call that was in flight may have run.
    fn restart(&mut self) {
        self.crashes += 1;
        self.drains = self.written.clone();
        for phase in &mut self.messages {
            if *phase == Phase::InFlight {
                *phase = Phase::MayHaveRun;
            }
        }
        let expired: Vec<Scope> = self
            .drains
            .active()
            .iter()
            .filter(|d| d.stage == Stage::Expired)
            .map(|d| d.scope.clone())
            .collect();
        for scope in expired {
            self.open_in_scope(&scope).into_iter().for_each(|msg| self.decide(msg));
        }
        self.expire_due(None);
    }

    fn covered(&self, msg: usize) -> bool {
        self.drains.active().iter().any(|d| d.scope.covers(&attributes(msg)))
    }
}

impl Model for DrainModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            drains: Drains::default(),
            written: Drains::default(),
            messages: [Phase::Queued; MESSAGES],
            decided: Vec::new(),
            cancelled: Vec::new(),
            late_cancels: Vec::new(),
            violation: None,
            crashes: 0,
            starts: 0,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        if state.now < LAST_SECOND {
            steps.push(Step::Tick);
        }
        steps.push(Step::CheckDeadlines);
        if state.starts < 2 {
            for by in [1, 2] {
                steps.extend([None, Some(7)].map(|dest| Step::Start { by, dest }));
            }
        }
        for id in state.drains.active().iter().map(|d| d.id) {
            steps.extend([Step::Cancel(id), Step::Close(id)]);
        }
        if state.crashes < 1 {
            steps.push(Step::Crash);
            steps.extend((0..MESSAGES).map(Step::CrashDuringExpiry));
        }
        for msg in 0..MESSAGES {
            match state.messages[msg] {
                Phase::Queued | Phase::MayHaveRun => steps.push(Step::BeginCall(msg)),
                Phase::InFlight => steps.extend([Step::Delivered(msg), Step::Lost(msg), Step::Refused(msg)]),
                Phase::NoticePending(_) => steps.push(Step::NoticeDelivered(msg)),
                Phase::Ended(_) => steps.push(Step::Submit(msg)),
            }
        }
    }

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        let now = state.now();
        match step {
            Step::Tick => state.now += 1,
            Step::CheckDeadlines => state.expire_due(None),
            Step::Start { by, dest } => {
                state.starts += 1;
                state.expire_due(None);
                let scope = Scope { dest, ..Scope::default() };
                let request = DrainRequest {
                    scope,
                    deadline: Micros(by * SECOND_US),
                    reason: String::new(),
                    alternative_address: None,
                };
                if state.drains.start(now, request, false, 0).is_ok() {
                    state.written = state.drains.clone();
                }
            }
            Step::Cancel(id) => {
                // The deadline may have passed before the cancel request, without a tick since.
                let expired_before = state.drains.get(id).is_some_and(|d| d.stage == Stage::Expired);
                match state.drains.cancel(now, id) {
                    Ok(()) => {
                        state.written = state.drains.clone();
                        state.cancelled.push(id);
                        if expired_before {
                            state.violation = Some("an expired drain was cancelled");
                        }
                    }
                    Err(Refusal::Expired) if state.late_cancels.contains(&id) => return None,
                    Err(Refusal::Expired) => state.late_cancels.push(id),
                    Err(_) => {}
                }
            }
            Step::Close(id) => {
                let scope = state.drains.get(id)?.scope.clone();
                state.expire_due(None);
                let left = (0..MESSAGES).filter(|m| !matches!(state.messages[*m], Phase::Ended(_)));
                let left = left.filter(|m| scope.covers(&attributes(*m))).count() as u64;
                if state.drains.close(now, id, left).is_ok() {
                    state.written = state.drains.clone();
                }
            }
            Step::Submit(msg) => {
                // A message with the same attributes arrives; it is accepted or refused.
                match state.drains.rejection(now, &attributes(msg), Micros(SECOND_US)) {
                    None => {
                        if state.covered(msg) {
                            state.violation = Some("a message in the scope of a drain was accepted");
                        }
                        // Each message is submitted again at most once; further rounds would only repeat these states.
                        if state.decided.iter().filter(|d| d.0 == msg).count() > 1 {
                            return None;
                        }
                        state.messages[msg] = Phase::Queued;
                    }
                    Some(rejection) => {
                        if !state.covered(msg) || rejection.retry_after == Micros(0) {
                            state.violation = Some("refused without a drain, or without a retry delay");
                        }
                        return None;
                    }
                }
            }
            Step::BeginCall(msg) => {
                if !state.drains.may_begin(now, &attributes(msg), Micros(0)) {
                    return None;
                }
                if state.messages[msg] == Phase::MayHaveRun && EFFECTS[msg] == Effect::Unsafe {
                    return None;
                }
                state.messages[msg] = Phase::InFlight;
            }
            Step::Delivered(msg) => {
                state.record_answer((msg, FinalAnswer::Delivered, true));
                state.messages[msg] = Phase::Ended(FinalAnswer::Delivered);
            }
            Step::Lost(msg) => state.messages[msg] = Phase::MayHaveRun,
            Step::Refused(msg) => state.messages[msg] = Phase::Queued,
            Step::NoticeDelivered(msg) => {
                let Phase::NoticePending(answer) = state.messages[msg] else { return None };
                state.messages[msg] = Phase::Ended(answer);
            }
            Step::Crash => state.restart(),
            Step::CrashDuringExpiry(decisions) => {
                if state.drains.next_deadline().is_none_or(|at| at > now) {
                    return None;
                }
                state.expire_due(Some(decisions));
                state.restart();
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no step breaks a rule", |_, s: &State| s.violation.is_none()),
            Property::always("every final answer fits its message's history", |_, s: &State| {
                s.decided.iter().all(|(msg, answer, may_have_run)| match answer {
                    FinalAnswer::Delivered => true,
                    FinalAnswer::HandedBack => !may_have_run || EFFECTS[*msg] == Effect::Safe,
                    FinalAnswer::GivenUp => *may_have_run && EFFECTS[*msg] != Effect::Safe,
                })
            }),
            Property::always("a message is decided once", |_, s: &State| {
                // A second submission is another message, so there are at most two decisions in all.
                (0..MESSAGES).all(|msg| {
                    let decisions = s.decided.iter().filter(|d| d.0 == msg).count();
                    let undecided = usize::from(is_open(s.messages[msg]));
                    decisions + undecided <= 3
                })
            }),
            Property::always("a drain is cancelled or expires, never both", |_, s: &State| {
                s.cancelled.iter().all(|id| {
                    let drain = s.drains.get(*id);
                    !s.late_cancels.contains(id) && drain.is_none_or(|d| d.stage == Stage::Cancelled)
                })
            }),
            Property::always("an expired drain leaves no message undecided", |_, s: &State| {
                s.drains
                    .active()
                    .iter()
                    .filter(|d| d.stage == Stage::Expired)
                    .all(|d| s.open_in_scope(&d.scope).is_empty())
            }),
            Property::always("a confirmed cancel is written", |_, s: &State| {
                // A crash must not lose a confirmed cancel. An expiry that it loses is repeated after the restart.
                s.cancelled.iter().all(|id| s.written.get(*id).is_some_and(|d| d.stage == Stage::Cancelled))
            }),
            Property::sometimes("a cancel succeeds", |_, s: &State| !s.cancelled.is_empty()),
            Property::sometimes("a cancel comes too late", |_, s: &State| !s.late_cancels.is_empty()),
            Property::sometimes("an expired drain gives a message up", |_, s: &State| {
                s.messages.iter().any(|m| matches!(m, Phase::NoticePending(FinalAnswer::GivenUp)))
            }),
            Property::sometimes("service resumes", |_, s: &State| {
                !s.cancelled.is_empty()
                    && s.messages[0] == Phase::Queued
                    && s.decided.iter().any(|d| d.0 == 0 && d.1 == FinalAnswer::Delivered)
            }),
        ]
    }

    fn within_boundary(&self, state: &State) -> bool {
        state.decided.len() <= 3 && state.late_cancels.len() <= 1
    }
}

#[test]
fn every_interleaving_satisfies_the_properties() {
    let checker = DrainModel.checker().threads(2).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    assert!(checker.unique_state_count() > 10_000, "the model has too few states");
    checker.assert_properties();
}

/// Checks the model itself: an expiry that skips calls in flight leaves a message undecided, which must be reported.
#[test]
fn an_expiry_that_skips_calls_in_flight_is_detected() {
    struct FaultyModel;
    impl Model for FaultyModel {
        type State = State;
        type Action = Step;
        fn init_states(&self) -> Vec<State> {
            DrainModel.init_states()
        }
        fn actions(&self, state: &State, steps: &mut Vec<Step>) {
            DrainModel.actions(state, steps);
        }
        fn next_state(&self, previous: &State, step: Step) -> Option<State> {
            let mut next = DrainModel.next_state(previous, step)?;
            if step == Step::CheckDeadlines {
                for (was, is) in previous.messages.iter().zip(&mut next.messages) {
                    if *was == Phase::InFlight {
                        *is = Phase::InFlight;
                    }
                }
            }
            Some(next)
        }
        fn properties(&self) -> Vec<Property<Self>> {
            vec![Property::always("an expired drain leaves no message undecided", |_, s: &State| {
                s.drains
                    .active()
                    .iter()
                    .filter(|d| d.stage == Stage::Expired)
                    .all(|d| s.open_in_scope(&d.scope).is_empty())
            })]
        }
        fn within_boundary(&self, state: &State) -> bool {
            DrainModel.within_boundary(state)
        }
    }
    let checker = FaultyModel.checker().spawn_bfs().join();
    assert!(checker.discovery("an expired drain leaves no message undecided").is_some());
}
