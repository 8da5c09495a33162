//! What the connection acceptor requires of a client protocol.

use crate::api::Micros;
use std::net::SocketAddr;

/// The result of parsing a client's input.
pub enum Parsed<R> {
    /// More input is needed.
    Incomplete {
        /// A request or a transaction has begun.
        begun: bool,
    },
    /// A whole request; it is answered together with those of other connections.
    Request(R),
    /// The protocol has written the reply itself.
    Answered {
        /// The request was invalid.
        fault: bool,
    },
    /// The protocol has written its last reply, if any, and the connection is to be closed.
    Closing,
}

/// The reply to a request.
pub struct Reply {
    /// Its bytes.
    pub text: String,
    /// The connection is closed after this reply.
    pub close: bool,
    /// The request was invalid.
    pub fault: bool,
    /// The message that the request has submitted, if it was accepted. [`ClientProtocol::replies_written`] is told whether the
    /// reply could be written.
    pub accepted_message: Option<u64>,
}

/// Why the acceptor closes a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// No request is under way.
    Idle,
    /// The request that was begun is incomplete.
    Half,
    /// The incomplete requests of all clients together exceed the buffer limit.
    Full,
    /// The client closed its sending side before its request was read. If the protocol has no reply for this reason, the
    /// request is processed nevertheless.
    Gone,
}

/// A protocol that clients of a listener speak. No method may wait for a client.
pub trait ClientProtocol: Send + 'static {
    /// The protocol's state of one connection.
    type Session: Send;
    /// A whole request.
    type Request;

    /// Begins a session on a new connection; a greeting is appended to `out`.
    fn open(&self, from: SocketAddr, out: &mut Vec<u8>) -> Self::Session;
    /// Parses input up to the end of the first whole request. Returns the number of bytes consumed.
    fn parse(
        &self, session: &mut Self::Session, bytes: &[u8], out: &mut Vec<u8>,
    ) -> (usize, Parsed<Self::Request>);
    /// Answers a batch of requests, in their order.
    fn answer(&self, requests: Vec<Self::Request>) -> Vec<Reply>;
    /// Reports for accepted messages whether the reply was written.
    fn replies_written(&self, _results: &[(u64, bool)]) {}
    /// How long no request of a client is read after an invalid one.
    fn fault_pause(&self, _session: &mut Self::Session) -> Micros {
        Micros(0)
    }
    /// The reply before a connection is closed for this reason; empty if there is none.
    fn closing_reply(&self, why: CloseReason) -> &'static str;
    /// The reply to a new client when all places are taken. `None`: the client waits in the listen queue.
    fn refusal(&self) -> Option<&'static str>;
    /// Serializes a session for a handover to another process.
    fn export_session(&self, _session: &Self::Session) -> Vec<u8> {
        Vec::new()
    }
    /// Restores a session from another process; whatever is not in `exported` is as in a new session.
    fn import_session(&self, from: SocketAddr, _exported: &[u8]) -> Self::Session {
        self.open(from, &mut Vec::new())
    }
}
