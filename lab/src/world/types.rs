//! What the world is told and tells: connections, responses and events.

use indigohold::Micros;

/// An endpoint, by its place in the world.
pub type EndpointNo = u32;
/// A call, numbered by whoever makes it; never the same twice.
pub type CallNo = u64;

/// An endpoint's state on the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listed {
    /// Takes work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// What an attempt to connect meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connect {
    /// It is established after this time beyond the network's.
    Up(Micros),
    /// Refused at once.
    Refused,
    /// It never comes up.
    Never,
}

/// How a call is answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// Delivered.
    Ok,
    /// An error; whether it ran is in the world's record, not in the answer.
    Error,
    /// Turned away unseen, perhaps with a wait.
    Full(Option<Micros>),
    /// The connection breaks.
    Break,
}

/// What has happened in the world.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Happening {
    /// A call is answered.
    Reply(CallNo, Reply),
    /// A message took effect, or was dropped as a repeat.
    Ran {
        /// The message.
        msg: u64,
        /// Where.
        at: EndpointNo,
        /// It took effect.
        effect: bool,
    },
    /// All connections to an endpoint have broken.
    Broken(EndpointNo),
    /// The list says something new.
    Listed(EndpointNo, Listed),
    /// Something went wrong, or was over, at a destination.
    Trouble {
        /// Where.
        dest: usize,
        /// It begins.
        begins: bool,
        /// What.
        what: &'static str,
    },
    /// A destination that was cold fell over: it was sent more than it bore.
    Toppled {
        /// Where.
        dest: usize,
        /// Calls in the window that did it.
        calls: usize,
        /// Of these, by instances that had seen the outage.
        knowing: usize,
    },
}
