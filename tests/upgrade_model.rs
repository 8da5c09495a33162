//! Model check of the handover under every interleaving: a channel that is cut at any point, frames that arrive late,
//! and either process killed or ended at any moment. The two state machines are the real ones of `upgrade::phase`.
//! The folder's lock and the core are small substitutes with the same order of events: the lock is released before
//! `OwnershipReleased` is sent, and only the holder of the lock decides.

use indigohold::upgrade::phase::{NewAction, NewEvent, NewPhase, OldAction, OldEvent, OldPhase, VERSION};
use stateright::{Checker, Model, Property};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Message {
    Request,
    State,
    StateComplete,
    Ready,
    OwnershipReleased,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Side {
    Old,
    New,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    old: OldPhase,
    new: NewPhase,
    old_lives: bool,
    new_lives: bool,
    /// The holder of the folder's lock.
    lock: Option<Side>,
    /// Whether the old process is frozen: it decides nothing while it hands over.
    frozen: bool,
    /// The messages in transit to each side, and whether the channel is open.
    to_old: Vec<Message>,
    to_new: Vec<Message>,
    channel_open: bool,
    requests: u8,
    /// The version of the core's state, which each decision raises, and the version that was sent to the new process.
    state_version: u8,
    sent_version: u8,
    violation: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Decide(Side),
    Claim,
    Request,
    OldReceives,
    OldQuiesces(bool),
    OldTimesOut,
    NewReceives,
    NewTimesOut,
    Cut,
    Kill(Side),
}

struct HandoverModel;

impl State {
    fn cut(&mut self) {
        self.channel_open = false;
    }

    fn run_old_action(&mut self, action: OldAction) {
        match action {
            OldAction::Quiesce => {}
            OldAction::SendState => {
                self.frozen = true;
                self.sent_version = self.state_version;
                self.to_new.extend([Message::State, Message::StateComplete]);
            }
            OldAction::Resume => {
                self.frozen = false;
                self.cut();
            }
            OldAction::Refuse => self.cut(),
            OldAction::ReleaseOwnership => {
                if self.lock == Some(Side::Old) {
                    self.lock = None;
                }
                self.to_new.push(Message::OwnershipReleased);
            }
            OldAction::Nothing => {}
        }
    }

    fn run_new_action(&mut self, action: NewAction) {
        match action {
            NewAction::SendReady => self.to_old.push(Message::Ready),
            NewAction::TakeOver => {
                if self.lock.is_some() {
                    self.violation = Some("the new process takes over while the folder is locked");
                }
                if self.sent_version != self.state_version {
                    self.violation = Some("the new process continues from an outdated state");
                }
                self.lock = Some(Side::New);
            }
            NewAction::Retry => {
                self.cut();
                self.to_new.clear();
            }
            NewAction::Receive | NewAction::Exit => {}
        }
    }
}

impl Model for HandoverModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            old: OldPhase::Serving,
            new: NewPhase::Requesting,
            old_lives: true,
            new_lives: true,
            lock: Some(Side::Old),
            frozen: false,
            to_old: vec![],
            to_new: vec![],
            channel_open: false,
            requests: 0,
            state_version: 0,
            sent_version: 0,
            violation: None,
        }]
    }

    fn actions(&self, state: &State, steps: &mut Vec<Step>) {
        let old_decides = state.old_lives && state.old != OldPhase::HandedOver && !state.frozen;
        if old_decides && state.state_version < 3 {
            steps.push(Step::Decide(Side::Old));
        }
        if state.new_lives && state.lock == Some(Side::New) && state.state_version < 3 {
            steps.push(Step::Decide(Side::New));
        }
        if state.new_lives && state.new == NewPhase::Requesting {
            if state.lock.is_none() {
                steps.push(Step::Claim);
            } else if state.old_lives
                && state.requests < 2
                && !state.channel_open
                && state.old == OldPhase::Serving
            {
                steps.push(Step::Request);
            }
        }
        if state.old_lives && !state.to_old.is_empty() {
            steps.push(Step::OldReceives);
        }
        if state.old_lives && state.old == OldPhase::Quiescing {
            steps.extend([Step::OldQuiesces(true), Step::OldQuiesces(false)]);
        }
        if state.old_lives && state.old == OldPhase::AwaitingReady {
            steps.push(Step::OldTimesOut);
        }
        if state.new_lives && state.lock != Some(Side::New) {
            if !state.to_new.is_empty() {
                steps.push(Step::NewReceives);
            } else if matches!(state.new, NewPhase::Receiving | NewPhase::Ready)
                || state.new == NewPhase::Requesting && state.requests > 0 && state.channel_open
            {
                steps.push(Step::NewTimesOut);
            }
        }
        if state.channel_open {
            steps.push(Step::Cut);
        }
        steps.extend(
            [Side::Old, Side::New]
                .into_iter()
                .filter(|side| match side {
                    Side::Old => state.old_lives,
                    Side::New => state.new_lives,
                })
                .map(Step::Kill),
        );
    }

    fn next_state(&self, previous: &State, step: Step) -> Option<State> {
        let mut state = previous.clone();
        match step {
            Step::Decide(side) => {
                if state.lock != Some(side) {
                    state.violation = Some("a process decides without the lock");
                }
                state.state_version += 1;
            }
            Step::Claim => state.lock = Some(Side::New),
            Step::Request => {
                (state.channel_open, state.to_old, state.to_new) = (true, vec![Message::Request], vec![]);
                state.requests += 1;
            }
            Step::OldReceives => {
                let event = match state.to_old.remove(0) {
                    Message::Request => OldEvent::Requested(VERSION),
                    Message::Ready => OldEvent::SuccessorReady,
                    _ => OldEvent::ChannelFailed,
                };
                let action = state.old.handle(event);
                state.run_old_action(action);
            }
            Step::OldQuiesces(quiesced) => {
                let action = state.old.handle(OldEvent::Quiesced(quiesced));
                state.run_old_action(action);
            }
            Step::OldTimesOut => {
                let action = state.old.handle(OldEvent::ChannelFailed);
                state.run_old_action(action);
            }
            Step::NewReceives => {
                let event = match state.to_new.remove(0) {
                    Message::State => NewEvent::StateReceived,
                    Message::StateComplete => NewEvent::StateComplete,
                    Message::OwnershipReleased => NewEvent::OwnershipReleased,
                    _ => NewEvent::ChannelFailed,
                };
                let action = state.new.handle(event);
                state.run_new_action(action);
            }
            Step::NewTimesOut => {
                let action = state.new.handle(NewEvent::ChannelFailed);
                state.run_new_action(action);
            }
            // Messages in transit to the new process may still arrive after the channel is cut.
            Step::Cut => {
                state.cut();
                state.to_old.clear();
            }
            Step::Kill(Side::Old) => {
                state.old_lives = false;
                state.cut();
                if state.lock == Some(Side::Old) {
                    state.lock = None;
                }
            }
            Step::Kill(Side::New) => {
                state.new_lives = false;
                state.cut();
                state.to_new.clear();
                if state.lock == Some(Side::New) {
                    state.lock = None;
                }
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("there is one owner, and only the owner decides", |_, s: &State| {
                s.violation.is_none()
            }),
            // In any other phase no timeout would end the freeze, and the process would stay frozen for good.
            Property::always("a frozen process can give up", |_, s: &State| {
                !s.old_lives || !s.frozen || matches!(s.old, OldPhase::AwaitingReady | OldPhase::HandedOver)
            }),
            Property::always("the folder never stays without a possible owner", |_, s: &State| {
                let new_can_own = s.new_lives && s.new != NewPhase::Failed;
                let old_can_own = s.old_lives && s.old != OldPhase::HandedOver;
                // A process that has handed over has released the lock, so the next process can claim the folder.
                old_can_own || new_can_own || s.lock.is_none()
            }),
            Property::sometimes("a handover completes", |_, s: &State| {
                s.new == NewPhase::Owner && s.state_version > 0
            }),
            Property::sometimes("the old process resumes service", |_, s: &State| {
                s.old == OldPhase::Serving && s.requests > 0 && s.new == NewPhase::Ready
            }),
            Property::sometimes("a kill of the owner frees the folder", |_, s: &State| {
                !s.old_lives && s.lock == Some(Side::New) && s.new == NewPhase::Requesting
            }),
        ]
    }
}

#[test]
fn every_interleaving_has_a_single_owner() {
    let checker = HandoverModel.checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.unique_state_count() > 500, "{}", checker.unique_state_count());
}
