//! The record of a run: what happened, seen from the world's side. The checkers and all figures rest on it alone, not on
//! what a courier says of itself. Both engines write it, and a test may write one by hand.

use crate::world::{EndpointNo, Listed};
use indigohold::Micros;
use std::fmt;

/// A client's message, the same however often it is handed in.
pub type MsgNo = u64;
/// An instance of the courier.
pub type Instance = u32;

/// How a call ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Delivered.
    Delivered,
    /// An error.
    Failed,
    /// Turned away, perhaps with a wait.
    TurnedAway(Option<Micros>),
    /// No connection.
    NotConnected,
    /// The connection broke after the last byte was written.
    Broke,
    /// No answer in time.
    TimedOut,
    /// Given up by the courier.
    CalledOff,
}

/// One thing that happened.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fact {
    /// A client had a message to be delivered.
    Wanted {
        /// The message.
        msg: MsgNo,
        /// Its class.
        class: u16,
        /// Its tenant.
        tenant: u16,
        /// Its destination.
        dest: u32,
        /// When its time is up.
        due: Micros,
    },
    /// It was handed in.
    HandedIn {
        /// The message.
        msg: MsgNo,
        /// Where.
        at: Instance,
    },
    /// It was taken on.
    Taken {
        /// The message.
        msg: MsgNo,
        /// By whom.
        at: Instance,
    },
    /// It was refused.
    Refused {
        /// The message.
        msg: MsgNo,
        /// By whom.
        at: Instance,
        /// Come back after so long.
        wait: Option<Micros>,
    },
    /// Nobody answered the client in time.
    Unanswered {
        /// The message.
        msg: MsgNo,
        /// Who did not.
        at: Instance,
    },
    /// The client will not come again: the message is lost to it.
    Abandoned {
        /// The message.
        msg: MsgNo,
    },
    /// The first byte of a call went out.
    Began {
        /// The message.
        msg: MsgNo,
        /// By whom.
        by: Instance,
        /// Where to.
        to: EndpointNo,
        /// Number of the attempt in this life.
        attempt: u8,
    },
    /// A call ended for its caller.
    Back {
        /// The message.
        msg: MsgNo,
        /// Whose.
        by: Instance,
        /// Where it was.
        to: EndpointNo,
        /// How.
        ended: Ended,
    },
    /// It took effect, or was dropped as a repeat.
    Ran {
        /// The message.
        msg: MsgNo,
        /// Where.
        at: EndpointNo,
        /// It took effect.
        effect: bool,
    },
    /// Its client was told that it is not delivered.
    Told {
        /// The message.
        msg: MsgNo,
        /// By whom.
        by: Instance,
        /// It may be handed in again without harm.
        harmless: bool,
    },
    /// An instance was told of an endpoint.
    Listed {
        /// Who.
        to: Instance,
        /// Which.
        endpoint: EndpointNo,
        /// What.
        state: Listed,
    },
    /// An instance asked the register for its list, and was answered or turned away.
    Asked {
        /// Who.
        by: Instance,
        /// It has the list.
        answered: bool,
    },
    /// An instance opened a connection to an endpoint.
    Connected {
        /// Who.
        by: Instance,
        /// Where.
        to: EndpointNo,
    },
    /// An instance is stopped, or goes on.
    Paused(Instance, bool),
    /// An instance serves.
    Up(Instance),
    /// An instance was told to end.
    Ending(Instance),
    /// An instance is gone; its folder is lost too, or not.
    Down(Instance, bool),
    /// Something went wrong at a destination, or was over.
    Trouble {
        /// Where.
        dest: u32,
        /// It begins.
        begins: bool,
        /// What.
        what: &'static str,
    },
    /// A cold destination was pushed over.
    Toppled {
        /// Where.
        dest: u32,
        /// Calls that did it.
        calls: u32,
        /// Of these, by instances that had seen its outage.
        knowing: u32,
    },
}

impl Fact {
    /// The message that it is about, if any.
    pub fn msg(&self) -> Option<MsgNo> {
        match self {
            Fact::Wanted { msg, .. }
            | Fact::HandedIn { msg, .. }
            | Fact::Taken { msg, .. }
            | Fact::Refused { msg, .. }
            | Fact::Unanswered { msg, .. }
            | Fact::Abandoned { msg }
            | Fact::Began { msg, .. }
            | Fact::Back { msg, .. }
            | Fact::Ran { msg, .. }
            | Fact::Told { msg, .. } => Some(*msg),
            _ => None,
        }
    }
}

impl fmt::Display for Fact {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Fact::Wanted { msg, class, dest, due, .. } => {
                write!(f, "message {msg} of class {class} for destination {dest}, due {:.3} s", due.secs())
            }
            Fact::HandedIn { msg, at } => write!(f, "message {msg} handed in at instance {at}"),
            Fact::Taken { msg, at } => write!(f, "message {msg} taken on by instance {at}"),
            Fact::Refused { msg, at, wait } => {
                write!(f, "message {msg} refused by instance {at}, wait {:?} ms", wait.map(|w| w.0 / 1000))
            }
            Fact::Unanswered { msg, at } => write!(f, "message {msg} not answered by instance {at}"),
            Fact::Abandoned { msg } => write!(f, "message {msg} not handed in again"),
            Fact::Began { msg, by, to, attempt } => {
                write!(f, "call {attempt} of message {msg} begins, instance {by} to endpoint {to}")
            }
            Fact::Back { msg, by, to, ended } => {
                write!(f, "call of message {msg} by instance {by} to endpoint {to} ends: {ended:?}")
            }
            Fact::Ran { msg, at, effect } => {
                let what = if *effect { "takes effect" } else { "is dropped as a repeat" };
                write!(f, "message {msg} {what} at endpoint {at}")
            }
            Fact::Told { msg, by, harmless } => {
                let what = if *harmless { "handed back" } else { "given up" };
                write!(f, "message {msg} {what} by instance {by}")
            }
            Fact::Listed { to, endpoint, state } => {
                write!(f, "instance {to} hears that endpoint {endpoint} is {state:?}")
            }
            Fact::Asked { by, answered } => {
                write!(
                    f,
                    "instance {by} asks for the list, {}",
                    if *answered { "answered" } else { "turned away" }
                )
            }
            Fact::Connected { by, to } => write!(f, "instance {by} connects to endpoint {to}"),
            Fact::Paused(n, true) => write!(f, "instance {n} is stopped"),
            Fact::Paused(n, false) => write!(f, "instance {n} goes on"),
            Fact::Up(n) => write!(f, "instance {n} serves"),
            Fact::Ending(n) => write!(f, "instance {n} is told to end"),
            Fact::Down(n, lost) => {
                write!(f, "instance {n} is gone{}", if *lost { ", its folder too" } else { "" })
            }
            Fact::Trouble { dest, begins, what } => {
                write!(f, "destination {dest}: {what} {}", if *begins { "begins" } else { "is over" })
            }
            Fact::Toppled { dest, calls, knowing } => {
                write!(f, "destination {dest} falls over by {calls} calls, {knowing} of those who had seen its outage")
            }
        }
    }
}

/// All that happened, in its order.
#[derive(Debug, Clone, Default)]
pub struct Record {
    /// When the run began.
    pub began: Micros,
    /// The facts.
    pub facts: Vec<(Micros, Fact)>,
}

impl Record {
    /// A record that begins now.
    pub fn new(began: Micros) -> Record {
        Record { began, facts: Vec::new() }
    }

    /// Writes down what happened.
    pub fn put(&mut self, now: Micros, fact: Fact) {
        self.facts.push((now, fact));
    }

    /// Seconds since it began.
    pub fn secs(&self, at: Micros) -> f64 {
        (at - self.began).secs()
    }

    /// The facts that are about one message, and what its endpoints and instances went through meanwhile: the shortest
    /// trace that shows what became of it.
    pub fn trace(&self, msg: MsgNo, lists: bool) -> Vec<String> {
        let own = |f: &Fact| f.msg() == Some(msg);
        let Some(first) = self.facts.iter().position(|(_, f)| own(f)) else { return Vec::new() };
        let last = self.facts.iter().rposition(|(_, f)| own(f)).unwrap_or(first);
        let instances: Vec<Instance> = self.facts[first..=last]
            .iter()
            .filter(|(_, f)| own(f))
            .filter_map(|(_, f)| match f {
                Fact::Taken { at, .. } => Some(*at),
                Fact::Began { by, .. } => Some(*by),
                _ => None,
            })
            .collect();
        let endpoints: Vec<EndpointNo> = self.facts[first..=last]
            .iter()
            .filter(|(_, f)| own(f))
            .filter_map(|(_, f)| match f {
                Fact::Began { to, .. } => Some(*to),
                _ => None,
            })
            .collect();
        let wanted = |f: &Fact| match f {
            Fact::Up(n) | Fact::Down(n, _) | Fact::Ending(n) | Fact::Paused(n, _) => instances.contains(n),
            Fact::Listed { to, endpoint, .. } => {
                lists && instances.contains(to) && endpoints.contains(endpoint)
            }
            f => own(f),
        };
        let from = if lists { 0 } else { first };
        let facts = self.facts[from..=last].iter().filter(|(_, f)| wanted(f));
        facts.map(|(at, f)| format!("{:10.6} s  {f}", self.secs(*at))).collect()
    }
}
