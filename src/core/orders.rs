//! What the fronts tell the core and what it tells them.

use super::{Backend, Req, Verdict};
use crate::api::{EndpointId, Micros};
use std::net::SocketAddr;
use std::sync::Arc;

/// One fetch of one req.
#[derive(Debug, Clone)]
pub struct Fetch {
    /// The message.
    pub msg: u64,
    /// Its how manieth fetch in the module's count, from 0.
    pub attempt: u8,
    pub(crate) at: EndpointId,
    /// Where to.
    pub backend: Arc<Backend>,
    /// What to send.
    pub req: Arc<Req>,
    /// Absolute deadline of this fetch, never past the req's own.
    pub until: Micros,
}

/// A message that ended otherwise than by delivery; its client must be told.
#[derive(Debug, Clone)]
pub struct Notice {
    /// The message.
    pub msg: u64,
    /// The req.
    pub req: Arc<Req>,
    /// Its end.
    pub verdict: Verdict,
    /// What a backend last said of it.
    pub said: String,
}

/// What is to be done next.
#[derive(Debug)]
pub enum Order {
    /// Start a fetch.
    Fetch(Fetch),
    /// Close the connection of a fetch that is out.
    Cancel {
        /// The message.
        msg: u64,
        /// Which fetch of it.
        attempt: u8,
    },
    /// Tell a client the end of its message.
    Notice(Notice),
    /// Watch the list of backends.
    Watch,
    /// Close idle connections to this backend.
    LetGo(Arc<Backend>),
    /// Nothing.
    Nothing,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Delivered,
    /// The backend answered with an error; it may have run.
    Failed,
    /// Its answer can't be read, or is not whole; it may have run. A wait that it tells binds all the same.
    Spoilt(Option<Micros>),
    /// Turned away unseen, perhaps with a wait.
    TurnedAway(Option<Micros>),
    /// Never sent, by the courier's own decision or for want of a slot.
    Unsent,
    /// Not sent, and nothing more is owed.
    Over,
    /// The backend will never take it; it never ran, and its client must be told.
    Rejected,
    /// No connection, or it broke before the last byte was written: it never ran.
    NotConnected,
    /// The connection broke after that.
    Broke,
    /// No answer by the deadline.
    TimedOut,
    /// Called off.
    CalledOff,
}

impl End {
    /// Whether the fetch may have taken effect.
    pub fn may_have_run(self) -> bool {
        use End::*;
        matches!(self, Delivered | Failed | Spoilt(_) | Broke | TimedOut | CalledOff)
    }
}

/// State of a listed backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListState {
    /// Takes new work.
    Up,
    /// Finishes what it has.
    Draining,
    /// Removed.
    Gone,
}

/// One line of a list of backends.
#[derive(Debug, Clone, PartialEq)]
pub struct ListLine {
    /// Name, the same at every courier.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its destination.
    pub dest: u16,
    /// Kind of destination, by position in the settings.
    pub kind: u8,
    /// Zone, by position in the settings.
    pub zone: u16,
    /// Its state.
    pub state: ListState,
    /// Rate that its destination takes, in calls a second.
    pub weight: f64,
    /// A higher one is used while no lower one can be.
    pub rank: u16,
}

/// What happened.
pub enum Report {
    /// A req was handed in.
    Req(Req),
    /// The answer that took this message on has been written: its fetches may begin.
    Answered(u64),
    /// Its client went before that.
    Withdrawn(u64),
    /// A fetch has its connection; may its first byte go?
    Begin(Fetch),
    /// A fetch is over.
    Done {
        /// The fetch.
        fetch: Fetch,
        /// How it ended.
        end: End,
        /// From its first byte on.
        latency: Micros,
        /// What the backend told of its load, in the order of the settings.
        load: Vec<f32>,
        /// Its last word, where it has words.
        said: String,
    },
    /// The client has been told the end of this message.
    Told(u64),
    /// News of the backends.
    List {
        /// Whose list it is.
        front: u8,
        /// All of them, or only those that changed.
        whole: bool,
        /// The lines.
        backends: Vec<ListLine>,
        /// From the register itself, not from what was kept of it.
        fresh: bool,
    },
    /// The watch on the list failed or broke.
    ListFailed,
}

/// What the core says to a report, at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The message is taken on.
    Taken(u64),
    /// It was taken on before under this id; it is not taken twice.
    Known,
    /// A synthetic answer: refused, come back after so long.
    Refused(Micros),
    /// No backend was ever listed for this destination.
    NoSuchDest,
    /// The fetch may begin, or must not.
    Go(bool),
    /// Heard.
    Noted,
}
