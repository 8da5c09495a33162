//! What became of a message that was taken with 250 and not delivered: one bounce to its sender (RFC 3464), and
//! none where the sender is null. The bounce is a req like any other: journaled, paced, and ended once.

use super::client::Envelope;
use super::{Mail, FRONT};
use crate::api::Micros;
use crate::core::{Answer, FinalOutcome, Notice, Report, Req};
use crossbeam_channel::Receiver;
use std::time::{Duration, UNIX_EPOCH};

/// Pause before a bounce that was refused is handed in again.
const PAUSE: Micros = Micros(500_000);
/// The most of the message's own header that goes back with it.
const HEADER_MOST: usize = 8 * 1024;

/// Takes orders for as long as there are any. A bounce that can't be taken now waits, and its message stays owed,
/// also over a restart; the others don't wait for it.
pub fn work(mail: &Mail, orders: &Receiver<Notice>) {
    let clock = &mail.courier.clock;
    let mut waiting: Vec<(Notice, Req)> = Vec::new();
    loop {
        let next = if waiting.is_empty() {
            orders.recv().ok()
        } else {
            orders.recv_deadline(clock.instant(clock.now() + PAUSE)).ok()
        };
        match next.map(|notice| (bounce(mail, &notice), notice)) {
            Some((Some(req), notice)) => waiting.push((notice, req)),
            Some((None, notice)) => drop(mail.courier.report(Report::NoticeDelivered(notice.msg))),
            None if waiting.is_empty() => return,
            None => {}
        }
        waiting.retain(|(notice, req)| {
            let told = hand_in(mail, req);
            if told {
                mail.courier.report(Report::NoticeDelivered(notice.msg));
            }
            !told
        });
    }
}

/// Hands a bounce in; `false`: it can't be taken now. Its id is made of the message's, so that one that was taken
/// in an earlier life, before the message itself was forgotten, is recognised.
fn hand_in(mail: &Mail, req: &Req) -> bool {
    if req.due <= mail.courier.clock.now() {
        tracing::warn!(target: "bounces", "{}: could not be handed in in time", req.id);
        return true;
    }
    match mail.courier.report(Report::Req(req.clone())) {
        Answer::Taken(msg) => {
            mail.courier.report(Report::Answered(msg));
            true
        }
        Answer::Known => true,
        Answer::Refused(_) | Answer::NoRoomForId(_) | Answer::Draining { .. } | Answer::NoSuchDest => false,
        Answer::MayBegin(_) | Answer::Acknowledged => false,
    }
}

/// The bounce of a message, if there is one to send.
pub fn bounce(mail: &Mail, notice: &Notice) -> Option<Req> {
    let envelope = Envelope::of(&notice.req.head);
    if envelope.from.is_empty() {
        tracing::warn!(
            target: "bounces",
            "{} to {}: ended without delivery, and has no sender",
            notice.req.id, envelope.to
        );
        return None;
    }
    let domain = envelope.from.rsplit('@').next().unwrap_or_default().to_ascii_lowercase();
    let Some(partner) = mail.config.partners.get(&domain) else {
        tracing::warn!(target: "bounces", "{}: no partner {domain} to send its bounce to", notice.req.id);
        return None;
    };
    let now = mail.courier.clock.now();
    let to = envelope.from.clone();
    Some(Req {
        id: format!("bounce-{}", notice.req.id),
        front: FRONT,
        dest: partner.dest,
        class: mail.config.bounce_class,
        tenant: notice.req.tenant,
        due: now + mail.config.deadlines[usize::from(mail.config.bounce_class)],
        body: text(mail, notice, &envelope, now).into(),
        head: Envelope { from: String::new(), to }.head(),
        keep_id_until: now + mail.config.remember,
    })
}

/// Date and time as RFC 5322 writes them.
pub fn date(now: Micros) -> String {
    httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_micros(now.0)).replace("GMT", "+0000")
}

fn text(mail: &Mail, notice: &Notice, envelope: &Envelope, now: Micros) -> Vec<u8> {
    let (host, id, to) = (&mail.config.hostname, &notice.req.id, &envelope.to);
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
    let said = if notice.last_reply.is_empty() { "none" } else { &notice.last_reply };
    // Only what a server has replied is an SMTP diagnostic.
    let kind = if notice.last_reply.starts_with(|c: char| c.is_ascii_digit()) { "smtp" } else { "x-courier" };
    let header = header(&notice.req.body);
    let mut out = format!(
        "From: Mail Delivery System <postmaster@{host}>\r\n\
         To: <{}>\r\n\
         Subject: Undelivered Mail Returned to Sender\r\n\
         Date: {}\r\n\
         Message-ID: <bounce-{id}@{host}>\r\n\
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
    let head = &body[..end.min(HEADER_MOST)];
    let whole = head.iter().rposition(|b| *b == b'\n').map_or(0, |at| at + 1);
    &head[..whole]
}
