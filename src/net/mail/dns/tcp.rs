//! Questions and updates over TCP (RFC 1035, section 4.2.2; RFC 7766): each behind its length, one after another, and
//! several at once where the client sends them so; the answers are in their order.

use crate::net::acceptor::{ClientProtocol, CloseReason, Parsed, Reply};
use crate::net::mail::Mail;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Those who ask.
pub struct Askers(pub Arc<Mail>);

impl ClientProtocol for Askers {
    type Session = IpAddr;
    type Request = std::convert::Infallible;

    fn open(&self, from: SocketAddr, _out: &mut Vec<u8>) -> IpAddr {
        from.ip()
    }

    fn parse(&self, from: &mut IpAddr, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Parsed<Self::Request>) {
        let more = (0, Parsed::Incomplete { begun: !bytes.is_empty() });
        let Some((length, rest)) = bytes.split_first_chunk::<2>() else { return more };
        let length = usize::from(u16::from_be_bytes(*length));
        let Some(question) = rest.get(..length) else { return more };
        let answer = self.0.zones().and_then(|zones| zones.answer(*from, question));
        let Some((answer, length)) = answer.and_then(|a| u16::try_from(a.len()).ok().map(|n| (a, n))) else {
            return (bytes.len(), Parsed::Closing);
        };
        out.extend(length.to_be_bytes());
        out.extend(answer);
        (2 + question.len(), Parsed::Answered { fault: false })
    }

    fn answer(&self, asks: Vec<Self::Request>) -> Vec<Reply> {
        asks.into_iter().map(|none| match none {}).collect()
    }

    fn closing_reply(&self, _why: CloseReason) -> &'static str {
        ""
    }

    fn refusal(&self) -> Option<&'static str> {
        Some("")
    }
}
