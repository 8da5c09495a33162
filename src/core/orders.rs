//! The messages between the core and the fronts: orders from the core, reports to it, and its answers.

pub use super::neighbours::{Note, Probe};
use super::{Backend, FinalOutcome, Req};
use crate::api::{EndpointId, Micros, PeerId};
use crate::register::trust::CallEnd;
pub use crate::register::{EndpointRecord, EndpointState, ListUpdate, Source};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// One delivery attempt of one req.
#[derive(Debug, Clone)]
pub struct Fetch {
    /// Number of the message.
    pub msg: u64,
    /// Number of this attempt as the decision module counts them, from 0.
    pub attempt: u8,
    pub(crate) endpoint: EndpointId,
    /// The backend to call.
    pub backend: Arc<Backend>,
    /// The req to send.
    pub req: Arc<Req>,
    /// Absolute deadline of this fetch, never later than the req's own.
    pub deadline: Micros,
}

/// The end of a message that was not delivered; its client must be notified.
#[derive(Debug, Clone)]
pub struct Notice {
    /// Number of the message.
    pub msg: u64,
    /// The req.
    pub req: Arc<Req>,
    /// How the message ended.
    pub verdict: FinalOutcome,
    /// The text of the last reply that a backend gave for it.
    pub last_reply: String,
}

/// An action for the fronts to carry out.
#[derive(Debug)]
pub enum Order {
    /// Start a fetch.
    Fetch(Fetch),
    /// Send these fetches to one backend as one call, if their front supports that; each fetch ends separately.
    Batch(Vec<Fetch>),
    /// Close the connection of a fetch that is in flight.
    Cancel {
        /// Number of the message.
        msg: u64,
        /// Number of its attempt.
        attempt: u8,
    },
    /// Notify a client of the end of its message.
    Notice(Notice),
    /// Open a watch on the list of backends.
    WatchList,
    /// Read the whole list of this front again, over a separate connection.
    ReadList(u8),
    /// Close the idle connections to this backend.
    CloseIdle(Arc<Backend>),
    /// Probe the health of an endpoint.
    Probe(Probe),
    /// Send a note to one peer, or to all of them.
    Note {
        /// The receiving peer; `None` means all peers.
        to: Option<PeerId>,
        /// The note.
        note: Note,
    },
    /// Nothing is to be done.
    Nothing,
}

/// How a fetch ended. The variant names are written to logs and into the handover stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The backend accepted the message.
    Delivered,
    /// The backend answered with an error; the message may have taken effect.
    Failed,
    /// The answer is malformed or incomplete; the message may have taken effect. A wait that the answer demands is
    /// honoured all the same.
    Spoilt(Option<Micros>),
    /// Refused without being processed; the answer may demand a wait before the next attempt.
    TurnedAway(Option<Micros>),
    /// The backend reports that it did not forward the message: it has no free slot, or all attempts were used.
    Unsent,
    /// Not sent, and neither another attempt nor a notice is due.
    Over,
    /// The backend refuses the message permanently; it never took effect, and its client must be notified.
    Rejected,
    /// No connection was made, or it failed before the last byte was written: the message never took effect.
    NotConnected,
    /// The connection failed after the last byte was written.
    Broke,
    /// No answer arrived by the deadline.
    TimedOut,
    /// The courier cancelled the fetch.
    CalledOff,
    /// The courier itself sent no byte of it to the backend; it does not count as an attempt.
    NotBegun,
}

impl End {
    /// The evidence that this end gives about the trust in its backend.
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

    /// Whether the fetch may have taken effect at the backend.
    pub fn may_have_run(self) -> bool {
        use End::*;
        matches!(self, Delivered | Failed | Spoilt(_) | Broke | TimedOut | CalledOff)
    }
}

/// An event that a front reports to the core.
pub enum Report {
    /// A client submitted a req.
    Req(Req),
    /// The answer that accepted this message has been written: its fetches may begin.
    Answered(u64),
    /// The client disconnected before the answer that accepted this message was written.
    Withdrawn(u64),
    /// A fetch has its connection and asks whether its first byte may be sent.
    Begin(Fetch),
    /// A backend's answer demands a wait; the rest of the answer has not been read yet.
    RetryAfter {
        /// Number of the front.
        front: u8,
        /// Number of the destination.
        dest: u16,
        /// How long to wait, from now on.
        wait: Micros,
    },
    /// A fetch has ended.
    Done {
        /// The fetch.
        fetch: Fetch,
        /// How it ended.
        end: End,
        /// Time since its first byte was sent.
        latency: Micros,
        /// The load figures that the backend reported, in the order of the settings.
        load: Vec<f32>,
        /// The text of the backend's reply, where the protocol has one.
        reply: String,
    },
    /// The client has been notified of the end of this message.
    NoticeDelivered(u64),
    /// The list of backends was read or has changed.
    List {
        /// Number of the front whose list it is.
        front: u8,
        /// The update from the list's source.
        update: ListUpdate,
    },
    /// The watch on the list of this front is open, and nothing has changed.
    ListUnchanged(u8),
    /// The watch on the list of this front failed at all addresses, or its connection was lost.
    ListFailed(u8),
}

/// The core's immediate answer to a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The message is accepted under this number.
    Taken(u64),
    /// A message with this id was accepted before; it is not accepted twice.
    Known,
    /// A synthetic answer: refused, retry after this time.
    Refused(Micros),
    /// A synthetic answer: refused because a drain accepts nothing; retry after the wait.
    Draining {
        /// Time before the client should retry.
        wait: Micros,
        /// Number of the drain.
        drain: u64,
    },
    /// A synthetic answer: refused, as the message's id could not be remembered after its end; retry after this time.
    NoRoomForId(Micros),
    /// No backend was ever listed for this destination.
    NoSuchDest,
    /// Whether the fetch may begin.
    MayBegin(bool),
    /// The report was recorded; it has no other answer.
    Acknowledged,
}
