//! The two sides of a hand-over as machines without I/O, clock or threads: what each has heard goes in, what it does next
//! comes out. `tests/upgrade_model.rs` explores every order of events, with either side killed and the channel cut anywhere.
//!
//! The rules: the folder's lock has one holder at a time, and only its holder decides; the predecessor lets go of it in one
//! step, after the successor has said that it has everything, and never takes it up again; whatever goes wrong before that
//! step leaves the predecessor serving as if nothing had been.

/// Format of what is passed; another one is refused.
pub const VERSION: u32 = 1;

/// The process that serves until now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Old {
    /// It decides.
    Serves,
    /// It has been asked, and brings all to rest.
    Settles,
    /// All is passed; nothing is decided until the other has it, or until this gives up.
    Waits,
    /// The other decides.
    Left,
}

/// What the old process hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Heard {
    /// Another process wants to take over, and speaks this version.
    Asked(u32),
    /// All is at rest, or (`false`) could not be brought there.
    Settled(bool),
    /// The other has all that was passed.
    Ready,
    /// The channel broke, nothing came in time, or what came makes no sense.
    Broken,
}

/// What the old process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Do {
    /// Nothing more.
    Nothing,
    /// Tell the other that it can't be.
    Refuse,
    /// Park the lobbies and freeze the core.
    Settle,
    /// Send everything.
    Pass,
    /// Go on as if nothing had been.
    TakeUp,
    /// Close the journal, let the lock go, say so.
    LetGo,
}

impl Old {
    /// See the module.
    pub fn hear(&mut self, heard: Heard) -> Do {
        let (next, act) = match (*self, heard) {
            (Old::Serves, Heard::Asked(VERSION)) => (Old::Settles, Do::Settle),
            (Old::Serves, Heard::Asked(_)) => (Old::Serves, Do::Refuse),
            (Old::Settles, Heard::Settled(true)) => (Old::Waits, Do::Pass),
            (Old::Settles, Heard::Settled(false)) => (Old::Serves, Do::Refuse),
            (Old::Waits, Heard::Ready) => (Old::Left, Do::LetGo),
            (Old::Settles | Old::Waits, Heard::Broken) => (Old::Serves, Do::TakeUp),
            // Danger: one that has let go must never take up again: the other may have decided already.
            (Old::Left, _) => (Old::Left, Do::Nothing),
            (state, _) => (state, Do::Nothing),
        };
        *self = next;
        act
    }
}

/// The process that wants to serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum New {
    /// Tries to claim the folder, and asks its owner.
    Asks,
    /// Takes in what is passed.
    Reads,
    /// Has everything, and has said so.
    Ready,
    /// May claim the folder and go on with what was passed.
    Owns,
    /// Gives up, with one line.
    Fails,
}

/// What the new process hears.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Said {
    /// Something is being passed.
    Passing,
    /// All of it is there.
    Whole,
    /// The folder is its own.
    Yours,
    /// The old process says that it can't be.
    No,
    /// The channel broke, or nothing came in time.
    Broken,
    /// It has asked for as long as it may.
    TooLong,
}

/// What the new process does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Next {
    /// Goes on reading.
    Read,
    /// Says that it has everything.
    SayReady,
    /// Claims the folder and goes on with what was passed.
    GoOn,
    /// Drops what was passed; tries to claim the folder as after a kill, and asks again if it is owned.
    Again,
    /// Ends.
    End,
}

impl New {
    /// See the module.
    pub fn hear(&mut self, said: Said) -> Next {
        let (next, act) = match (*self, said) {
            (New::Asks | New::Reads, Said::Passing) => (New::Reads, Next::Read),
            (New::Reads, Said::Whole) => (New::Ready, Next::SayReady),
            (New::Ready, Said::Yours) => (New::Owns, Next::GoOn),
            (New::Owns, _) => (New::Owns, Next::GoOn),
            (New::Fails, _) | (_, Said::No | Said::TooLong) => (New::Fails, Next::End),
            // Danger: without that word the old process may have taken up service, and decided, since it passed this. So
            // what was passed is worth nothing, even where the lock turns out to be free.
            (New::Asks | New::Reads | New::Ready, _) => (New::Asks, Next::Again),
        };
        *self = next;
        act
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hand_over_goes_through_and_is_never_taken_back() {
        let mut old = Old::Serves;
        assert_eq!(old.hear(Heard::Ready), Do::Nothing, "nobody has asked");
        assert_eq!(old.hear(Heard::Asked(VERSION + 1)), Do::Refuse);
        assert_eq!(old.hear(Heard::Asked(VERSION)), Do::Settle);
        assert_eq!(old.hear(Heard::Settled(true)), Do::Pass);
        assert_eq!(old.hear(Heard::Ready), Do::LetGo);
        assert_eq!(old.hear(Heard::Broken), Do::Nothing);
        assert_eq!(old.hear(Heard::Asked(VERSION)), Do::Nothing);
        let mut new = New::Asks;
        let said = [Said::Passing, Said::Passing, Said::Whole, Said::Yours].map(|said| new.hear(said));
        assert_eq!(said, [Next::Read, Next::Read, Next::SayReady, Next::GoOn]);
    }

    #[test]
    fn what_breaks_before_the_step_leaves_the_old_one_serving() {
        for at in 1..3 {
            let mut old = Old::Serves;
            let all = [Heard::Asked(VERSION), Heard::Settled(true)];
            for heard in &all[..at] {
                old.hear(*heard);
            }
            assert_eq!((old.hear(Heard::Broken), old), (Do::TakeUp, Old::Serves));
        }
        let mut new = New::Asks;
        for said in [Said::Passing, Said::Whole] {
            new.hear(said);
        }
        assert_eq!((new.hear(Said::Broken), new), (Next::Again, New::Asks));
        assert_eq!(new.hear(Said::Yours), Next::Again, "said to another, long ago");
    }
}
