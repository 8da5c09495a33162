//! The state of one client connection, and the form in which it is exported to another process.

use crate::api::Micros;
use crate::net::transfer::has_hung_up;
use mio::net::TcpStream;
use rustix::io::ioctl_fionread;
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

    /// Bytes that the client has sent behind a request, of which `unparsed` are read.
    pub(super) fn input_behind(&self, unparsed: usize) -> usize {
        if unparsed == 0 && !self.readable {
            return 0;
        }
        // An error means that the connection is broken, which its next read tells.
        unparsed + ioctl_fionread(&self.stream).map_or(0, |unread| unread as usize)
    }

    /// Whether the client has closed the connection or its sending side, also if input before that is still unread.
    pub(super) fn has_ended(&self) -> bool {
        self.end_of_input || self.hung_up || has_hung_up(&self.stream)
    }
}
