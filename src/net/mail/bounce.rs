//! What became of a message that was taken with 250 and not delivered: one bounce to its sender (RFC 3464), and
//! none where the sender is null. A bounce takes the place of its message and is journaled, paced, and ended once.

use super::client::Envelope;
use super::config::MailConfig;
use super::FRONT;
use crate::api::Micros;
use crate::core::bounces::BounceComposer;
use crate::core::{FinalOutcome, Notice, Req};
use std::collections::BTreeMap;
use std::time::{Duration, UNIX_EPOCH};

/// The most of the message's own header that goes back with it.
const MAX_HEADER_BYTES: usize = 8 * 1024;
/// The most of a server's reply that a bounce quotes.
const MAX_REPLY_BYTES: usize = 256;
/// Bounds for the record of a bounce: its own words with numbers and dates, and how many times it has the reply, the host's name,
/// the message's id and its addresses.
const MAX_FIXED_BYTES: usize = 1_400;
const REPLY_COPIES: usize = 2;
const HOSTNAME_COPIES: usize = 3;
const ID_COPIES: usize = 7;
const ADDRESS_COPIES: usize = 3;

/// Composes bounces.
pub struct MailBounces {
    hostname: String,
    /// Destinations by the domains of their partners.
    destinations: BTreeMap<String, u16>,
    class: u16,
    /// How long a bounce is tried.
    deadline: Micros,
}

impl MailBounces {
    /// By the mail front's file.
    pub fn new(config: &MailConfig) -> MailBounces {
        let partners = config.partners.iter();
        MailBounces {
            hostname: config.hostname.clone(),
            destinations: partners.map(|(domain, partner)| (domain.clone(), partner.dest)).collect(),
            class: config.bounce_class,
            deadline: config.deadlines[usize::from(config.bounce_class)],
        }
    }
}

impl BounceComposer for MailBounces {
    fn front(&self) -> u8 {
        FRONT
    }

    fn class(&self) -> u16 {
        self.class
    }

    fn compose(&self, now: Micros, number: u64, notice: &Notice) -> Option<Req> {
        let (id, envelope) = (&notice.req.id, Envelope::of(&notice.req.head));
        if envelope.from.is_empty() {
            let to = &envelope.to;
            tracing::warn!(target: "bounces", "{id} to {to}: ended without delivery, and has no sender");
            return None;
        }
        let domain = envelope.from.rsplit('@').next().unwrap_or_default().to_ascii_lowercase();
        let Some(dest) = self.destinations.get(&domain) else {
            tracing::warn!(target: "bounces", "{id}: no partner {domain} to send its bounce to");
            return None;
        };
        // A message that is handed in again has the same id, and may end a second time while its first bounce is pending.
        let bounce_id = format!("bounce-{number}-{id}");
        let text = text(&self.hostname, &bounce_id, notice, &envelope, now);
        Some(Req {
            id: bounce_id,
            front: FRONT,
            dest: *dest,
            class: self.class,
            tenant: notice.req.tenant,
            due: now + self.deadline,
            body: text.into(),
            head: Envelope { from: String::new(), to: envelope.from }.head(),
            keep_id_until: Micros(0),
        })
    }

    fn max_record_bytes(&self, req: &Req) -> u64 {
        let names = HOSTNAME_COPIES * self.hostname.len()
            + ID_COPIES * req.id.len()
            + ADDRESS_COPIES * req.head.len();
        let reply = REPLY_COPIES * MAX_REPLY_BYTES;
        (MAX_FIXED_BYTES + names + reply + header(&req.body).len()) as u64
    }
}

/// Date and time as RFC 5322 writes them.
pub fn date(now: Micros) -> String {
    httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_micros(now.0)).replace("GMT", "+0000")
}

fn text(host: &str, bounce_id: &str, notice: &Notice, envelope: &Envelope, now: Micros) -> Vec<u8> {
    let (id, to) = (&notice.req.id, &envelope.to);
    let (status, why) = match notice.verdict {
        FinalOutcome::HandedBack(wait) => (
            "4.4.7",
            format!(
                "It was not delivered in time, and it has not taken effect.\r\n\
                 It may be sent again, best after {} seconds.",
                wait.0.div_ceil(1_000_000)
            ),
        ),
        FinalOutcome::GivenUp if notice.last_reply.starts_with('5') => {
            ("5.0.0", "The partner's server has refused it. It has not taken effect.".to_owned())
        }
        FinalOutcome::GivenUp => (
            "4.4.2",
            "It was handed to the partner's server, which did not say whether it took it.\r\n\
             It may have taken effect. It was not sent again, so that it takes effect only once."
                .to_owned(),
        ),
    };
    // The server's own enhanced code says more, where it gave one.
    let own = notice
        .last_reply
        .split(' ')
        .nth(1)
        .filter(|w| w.split('.').count() == 3 && notice.last_reply.starts_with(&w[..1]));
    let status = own.unwrap_or(status);
    // Replies are ASCII.
    let said = notice.last_reply.get(..MAX_REPLY_BYTES).unwrap_or(&notice.last_reply);
    let said = if said.is_empty() { "none" } else { said };
    // Only what a server has replied is an SMTP diagnostic.
    let kind = if notice.last_reply.starts_with(|c: char| c.is_ascii_digit()) { "smtp" } else { "x-courier" };
    let header = header(&notice.req.body);
    let mut out = format!(
        "From: Mail Delivery System <postmaster@{host}>\r\n\
         To: <{}>\r\n\
         Subject: Undelivered Mail Returned to Sender\r\n\
         Date: {}\r\n\
         Message-ID: <{bounce_id}@{host}>\r\n\
         Auto-Submitted: auto-replied\r\n\
         MIME-Version: 1.0\r\n\
         Content-Type: multipart/report; report-type=delivery-status;\r\n boundary=\"{id}.report\"\r\n\
         \r\n\
         --{id}.report\r\n\
         Content-Type: text/plain; charset=us-ascii\r\n\
         \r\n\
         Your message to <{to}> has ended without a confirmed delivery.\r\n\
         {why}\r\n\
         The last word from the partner's server: {said}\r\n\
         \r\n\
         --{id}.report\r\n\
         Content-Type: message/delivery-status\r\n\
         \r\n\
         Reporting-MTA: dns; {host}\r\n\
         \r\n\
         Final-Recipient: rfc822; {to}\r\n\
         Action: failed\r\n\
         Status: {status}\r\n\
         Diagnostic-Code: {kind}; {said}\r\n\
         \r\n\
         --{id}.report\r\n\
         Content-Type: text/rfc822-headers\r\n\
         \r\n",
        envelope.from,
        date(now),
    )
    .into_bytes();
    // A bounce is 7-bit text.
    out.extend(header.iter().map(|b| if b.is_ascii() { *b } else { b'?' }));
    out.extend(format!("\r\n--{id}.report--\r\n").as_bytes());
    out
}

/// The header of a message, whole lines of it.
fn header(body: &[u8]) -> &[u8] {
    let end = body.windows(4).position(|w| w == b"\r\n\r\n").map_or(body.len(), |at| at + 2);
    let head = &body[..end.min(MAX_HEADER_BYTES)];
    let whole = head.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
    &head[..whole]
}
