//! What the fronts tell the core and what it tells them.

pub use super::neighbours::{Note, Probe};
use super::{Backend, Req, Verdict};
use crate::api::{EndpointId, Micros, PeerId};
use crate::register::trust::CallEnd;
pub use crate::register::{EndpointRecord, EndpointState, ListUpdate, Source};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One fetch of one req.
#[derive(Debug, Clone)]
pub struct Fetch {
    /// The message.
    pub msg: u64,
    /// Its how manieth fetch in the module's count, from 0.
    pub attempt: u8,
    pub(crate) endpoint: EndpointId,
    /// Where to.
    pub backend: Arc<Backend>,
    /// What to send.
    pub req: Arc<Req>,
    /// Absolute deadline of this fetch, never past the req's own.
    pub deadline: Micros,
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
    pub last_reply: String,
}

/// What is to be done next.
#[derive(Debug)]
pub enum Order {
    /// Start a fetch.
    Fetch(Fetch),
    /// Start these fetches to one backend as one call, where their front knows how; each has an end of its own.
    Batch(Vec<Fetch>),
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
    WatchList,
    /// Read the whole list of this front once more, by a connection of its own.
    ReadList(u8),
    /// Close idle connections to this backend.
    CloseIdle(Arc<Backend>),
    /// Ask an endpoint how it is.
    Probe(Probe),
    /// Tell one neighbour, or all of them.
    Note {
        /// Whom; `None`: all.
        to: Option<PeerId>,
        /// What.
        note: Note,
    },
    /// Nothing.
    Nothing,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// Delivered.
    Delivered,
    /// The backend answered with an error; it may have run.
    Failed,
    /// Its answer can't be read, or is not whole; it may have run. A wait that it tells binds all the same.
    Spoilt(Option<Micros>),
    /// Turned away unseen, perhaps with a wait.
    TurnedAway(Option<Micros>),
    /// Not sent on by the backend's word: all slots are taken, or all attempts made.
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
    /// Not a byte of it reached the backend, for a reason of the courier's own: it counts as no attempt.
    NotBegun,
}

impl End {
    /// What it says of the trust in its backend.
    pub fn for_trust(self) -> CallEnd {
        match self {
            End::Delivered | End::Failed | End::TurnedAway(_) | End::Over | End::Rejected => {
                CallEnd::Answered
            }
            End::NotConnected => CallEnd::Refused,
            End::Spoilt(_) | End::Broke | End::TimedOut => CallEnd::Lost,
            End::Unsent | End::NotBegun | End::CalledOff => CallEnd::Unsent,
        }
    }

    /// Whether the fetch may have taken effect.
    pub fn may_have_run(self) -> bool {
        use End::*;
        matches!(self, Delivered | Failed | Spoilt(_) | Broke | TimedOut | CalledOff)
    }
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
    /// A backend's answer tells to wait, and is not read to its end yet.
    RetryAfter {
        /// Whose.
        front: u8,
        /// The destination.
        dest: u16,
        /// For so long from now on.
        wait: Micros,
    },
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
        reply: String,
    },
    /// The client has been told the end of this message.
    NoticeDelivered(u64),
    /// News of the backends.
    List {
        /// Whose list it is.
        front: u8,
        /// What its source says.
        update: ListUpdate,
    },
    /// The watch on the list is open, and nothing has changed.
    ListUnchanged(u8),
    /// The watch on the list of this front failed at all addresses, or broke.
    ListFailed(u8),
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
    /// A synthetic answer: refused, since this drain lets nothing in; come back after so long.
    Draining {
        /// How long to stay away.
        wait: Micros,
        /// The drain.
        drain: u64,
    },
    /// No backend was ever listed for this destination.
    NoSuchDest,
    /// The fetch may begin, or must not.
    MayBegin(bool),
    /// Heard.
    Acknowledged,
}
