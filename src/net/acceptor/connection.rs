//! The state of one client connection, and the form in which it is exported to another process.

use crate::api::Micros;
use mio::net::TcpStream;
use serde::{Deserialize, Serialize};

/// The state of a client connection in a handover. Together with the connection's descriptor it is all that another process
/// needs to continue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExportedConnection {
    #[serde(rename = "talk")]
    pub(super) session: Vec<u8>,
    #[serde(rename = "held")]
    pub(super) unparsed: Vec<u8>,
    #[serde(rename = "out")]
    pub(super) unsent: Vec<u8>,
    /// Accepted messages whose replies are not written yet.
    #[serde(rename = "receipts")]
    pub unconfirmed_messages: Vec<u64>,
    #[serde(rename = "asked")]
    pub(super) requests: u32,
    #[serde(rename = "ended")]
    pub(super) end_of_input: bool,
    #[serde(rename = "last")]
    pub(super) close_after_write: bool,
    #[serde(rename = "after")]
    pub(super) discard_left: Option<usize>,
}

pub(super) struct Connection<S> {
    pub(super) stream: TcpStream,
    pub(super) session: S,
    /// Input that was read and that the protocol has not consumed.
    pub(super) unparsed: Vec<u8>,
    /// Output that is not written yet.
    pub(super) unsent: Vec<u8>,
    pub(super) unconfirmed_messages: Vec<u64>,
    /// The socket may have more input.
    pub(super) readable: bool,
    /// `unparsed` may contain a whole request.
    pub(super) may_parse: bool,
    /// The poll has reported that the client closed its sending side.
    pub(super) hung_up: bool,
    /// The end of the client's input was read.
    pub(super) end_of_input: bool,
    /// Nothing is added to `unsent` any more.
    pub(super) close_after_write: bool,
    /// Bytes of input that may still be read and discarded after the last reply.
    pub(super) discard_left: Option<usize>,
    /// While there is output, the deadline for writing it; otherwise the time until which no request is read.
    pub(super) timer: Option<Micros>,
}

impl<S> Connection<S> {
    pub(super) fn reads_requests(&self) -> bool {
        self.unsent.is_empty() && !self.close_after_write && self.timer.is_none()
    }
}
