//! The state machines of the two processes of a handover, without I/O, clock or threads: each takes an event and
//! returns the next action. `tests/upgrade_model.rs` checks every order of events, with either process killed and the
//! channel cut at any point.
//!
//! The rules: the folder's lock has one holder at a time, and only its holder makes decisions. The old process
//! releases the lock in one step, after the new process has confirmed that it has the complete state, and never takes
//! the lock again. If anything fails before that step, the old process keeps serving as if no handover had been
//! requested.

/// The version of the handover protocol. A request of any other version is refused.
pub const VERSION: u32 = 1;

/// The phase of the process that serves before the handover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OldPhase {
    /// It serves and makes all decisions.
    Serving,
    /// A handover was requested; its connection acceptor and its core are being paused.
    Quiescing,
    /// The state is sent; nothing is decided until the new process confirms it or this process gives up.
    AwaitingReady,
    /// The new process makes all decisions.
    HandedOver,
}

/// An event of the old process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OldEvent {
    /// Another process requests the handover with this protocol version.
    Requested(u32),
    /// The attempt to pause the process succeeded (`true`) or failed (`false`).
    Quiesced(bool),
    /// The new process has received the complete state.
    SuccessorReady,
    /// The channel failed, a deadline passed, or an unexpected frame arrived.
    ChannelFailed,
}

/// The next action of the old process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum OldAction {
    /// Do nothing.
    Nothing,
    /// Refuse the request.
    Refuse,
    /// Pause the connection acceptor and freeze the core.
    Quiesce,
    /// Send the complete state.
    SendState,
    /// Resume service as if no handover had been requested.
    Resume,
    /// Close the journal, release the lock and tell the new process so.
    ReleaseOwnership,
}

impl OldPhase {
    /// Processes an event: moves to the next phase and returns the action to take.
    pub fn handle(&mut self, event: OldEvent) -> OldAction {
        let (next, action) = match (*self, event) {
            (OldPhase::Serving, OldEvent::Requested(VERSION)) => (OldPhase::Quiescing, OldAction::Quiesce),
            (OldPhase::Serving, OldEvent::Requested(_)) => (OldPhase::Serving, OldAction::Refuse),
            (OldPhase::Quiescing, OldEvent::Quiesced(true)) => {
                (OldPhase::AwaitingReady, OldAction::SendState)
            }
            (OldPhase::Quiescing, OldEvent::Quiesced(false)) => (OldPhase::Serving, OldAction::Refuse),
            (OldPhase::AwaitingReady, OldEvent::SuccessorReady) => {
                (OldPhase::HandedOver, OldAction::ReleaseOwnership)
            }
            (OldPhase::Quiescing | OldPhase::AwaitingReady, OldEvent::ChannelFailed) => {
                (OldPhase::Serving, OldAction::Resume)
            }
            // After the release this process never resumes service, as the new process may already have made decisions.
            (OldPhase::HandedOver, _) => (OldPhase::HandedOver, OldAction::Nothing),
            (phase, _) => (phase, OldAction::Nothing),
        };
        *self = next;
        action
    }
}

/// The phase of the process that wants to take over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NewPhase {
    /// It tries to claim the folder and requests a handover from the owner.
    Requesting,
    /// It receives the state.
    Receiving,
    /// It has the complete state and has confirmed this.
    Ready,
    /// It may claim the folder and continue from the received state.
    Owner,
    /// It gives up and ends with a one-line error.
    Failed,
}

/// An event of the new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NewEvent {
    /// A part of the state arrived.
    StateReceived,
    /// The state is complete.
    StateComplete,
    /// The old process has released the folder.
    OwnershipReleased,
    /// The old process refused the request.
    Refused,
    /// The channel failed, or a deadline passed.
    ChannelFailed,
    /// The time for requests is over.
    TimedOut,
}

/// The next action of the new process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NewAction {
    /// Receive the next frame.
    Receive,
    /// Confirm that the state is complete.
    SendReady,
    /// Claim the folder and continue from the received state.
    TakeOver,
    /// Drop the received state; try to claim the folder as after a kill, and repeat the request if the folder is owned.
    Retry,
    /// Exit.
    Exit,
}

impl NewPhase {
    /// Processes an event: moves to the next phase and returns the action to take.
    pub fn handle(&mut self, event: NewEvent) -> NewAction {
        let (next, action) = match (*self, event) {
            (NewPhase::Requesting | NewPhase::Receiving, NewEvent::StateReceived) => {
                (NewPhase::Receiving, NewAction::Receive)
            }
            (NewPhase::Receiving, NewEvent::StateComplete) => (NewPhase::Ready, NewAction::SendReady),
            (NewPhase::Ready, NewEvent::OwnershipReleased) => (NewPhase::Owner, NewAction::TakeOver),
            (NewPhase::Owner, _) => (NewPhase::Owner, NewAction::TakeOver),
            (NewPhase::Failed, _) | (_, NewEvent::Refused | NewEvent::TimedOut) => {
                (NewPhase::Failed, NewAction::Exit)
            }
            // Without the confirmed release, the old process may have resumed service and made decisions after it
            // sent the state. The received state may thus be outdated, and is dropped even if the lock turns out to
            // be free.
            (NewPhase::Requesting | NewPhase::Receiving | NewPhase::Ready, _) => {
                (NewPhase::Requesting, NewAction::Retry)
            }
        };
        *self = next;
        action
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_handover_completes_and_is_never_undone() {
        let mut old = OldPhase::Serving;
        assert_eq!(old.handle(OldEvent::SuccessorReady), OldAction::Nothing, "no handover was requested");
        assert_eq!(old.handle(OldEvent::Requested(VERSION + 1)), OldAction::Refuse);
        assert_eq!(old.handle(OldEvent::Requested(VERSION)), OldAction::Quiesce);
        assert_eq!(old.handle(OldEvent::Quiesced(true)), OldAction::SendState);
        assert_eq!(old.handle(OldEvent::SuccessorReady), OldAction::ReleaseOwnership);
        assert_eq!(old.handle(OldEvent::ChannelFailed), OldAction::Nothing);
        assert_eq!(old.handle(OldEvent::Requested(VERSION)), OldAction::Nothing);
        let mut new = NewPhase::Requesting;
        let events = [
            NewEvent::StateReceived,
            NewEvent::StateReceived,
            NewEvent::StateComplete,
            NewEvent::OwnershipReleased,
        ];
        let actions = events.map(|event| new.handle(event));
        let expected = [NewAction::Receive, NewAction::Receive, NewAction::SendReady, NewAction::TakeOver];
        assert_eq!(actions, expected);
    }

    #[test]
    fn a_failure_before_the_release_leaves_the_old_process_serving() {
        for failed_after in 1..3 {
            let mut old = OldPhase::Serving;
            let events = [OldEvent::Requested(VERSION), OldEvent::Quiesced(true)];
            for event in &events[..failed_after] {
                old.handle(*event);
            }
            assert_eq!((old.handle(OldEvent::ChannelFailed), old), (OldAction::Resume, OldPhase::Serving));
        }
        let mut new = NewPhase::Requesting;
        for event in [NewEvent::StateReceived, NewEvent::StateComplete] {
            new.handle(event);
        }
        assert_eq!((new.handle(NewEvent::ChannelFailed), new), (NewAction::Retry, NewPhase::Requesting));
        assert_eq!(
            new.handle(NewEvent::OwnershipReleased),
            NewAction::Retry,
            "a release of an earlier request"
        );
    }
}
