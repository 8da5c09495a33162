//! Mail sessions: SMTP and LMTP as a server. A 250 after the text means that the message is journaled and owed;
//! refusals that may pass are 4yz, permanent faults 5yz.

use super::bounce::date;
use super::client::Envelope;
use super::config::Partner;
use super::dns::zone::Protocol;
use super::lines::{self, BadLine, BadText, Text};
use super::message::{domain_of, is_plain_address, Header};
use super::{Mail, FRONT};
use crate::api::Micros;
use crate::core::{Answer, Req};
use crate::net::acceptor::{ClientProtocol, CloseReason, Parsed, Reply, MAX_UNSENT_BYTES};
use smtp_proto::{Request, MAIL_BODY_BINARYMIME, MAIL_BY_RETURN};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Recipients of one message at most.
const RECIPIENTS_MOST: usize = 100;
/// Faults of a session before it is closed.
const FAULTS_MOST: u32 = 20;
/// A message with so many trace lines goes round in circles.
const HOPS_MOST: usize = 50;

/// Clients of one listener.
pub struct Clients {
    /// The front.
    pub mail: Arc<Mail>,
    /// What they speak.
    pub protocol: Protocol,
}

/// What is remembered of one.
pub struct Talk {
    from_ip: IpAddr,
    hello: Option<String>,
    /// Sender, its tenant, and the moment that its sender asks for.
    from: Option<(String, u16, Option<Micros>)>,
    to: Vec<String>,
    /// A message text that is coming in.
    text: Option<Text>,
    faults: u32,
}

struct Session<'a> {
    mail: &'a Mail,
    protocol: Protocol,
    talk: &'a mut Talk,
}

/// What a session does after a reply.
#[derive(PartialEq)]
enum Next {
    Go,
    Text,
    End,
}

impl ClientProtocol for Clients {
    type Session = Talk;
    type Request = std::convert::Infallible;

    fn open(&self, from: SocketAddr, out: &mut Vec<u8>) -> Talk {
        let word = if self.protocol == Protocol::Smtp { "ESMTP" } else { "LMTP" };
        say(out, &format!("220 {} {word} indigohold", self.mail.config.hostname));
        Talk { from_ip: from.ip(), hello: None, from: None, to: Vec::new(), text: None, faults: 0 }
    }

    fn parse(&self, talk: &mut Talk, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Parsed<Self::Request>) {
        Session { mail: &self.mail, protocol: self.protocol, talk }.hear(bytes, out)
    }

    fn answer(&self, asks: Vec<Self::Request>) -> Vec<Reply> {
        asks.into_iter().map(|none| match none {}).collect()
    }

    fn closing_reply(&self, why: CloseReason) -> &'static str {
        match why {
            // A text that is handed in again is recognised by sender, recipient and Message-ID.
            CloseReason::Gone => "",
            _ => "421 4.3.2 closing\r\n",
        }
    }

    fn refusal(&self) -> Option<&'static str> {
        Some("421 4.3.2 too many sessions, come again later\r\n")
    }
}

fn say(out: &mut Vec<u8>, reply: &str) {
    out.extend(reply.as_bytes());
    out.extend(b"\r\n");
}

impl Session<'_> {
    /// Hears all that has come: commands, and the text after DATA.
    fn hear<A>(mut self, bytes: &[u8], out: &mut Vec<u8>) -> (usize, Parsed<A>) {
        let (mut used, mut said) = (0, false);
        loop {
            if out.len() >= MAX_UNSENT_BYTES {
                return (used, Parsed::Answered { fault: false });
            }
            if let Some(text) = &mut self.talk.text {
                let (n, ended) = text.push(&bytes[used..]);
                used += n;
                if !ended {
                    return (used, Parsed::Incomplete { begun: true });
                }
                if !self.text(out) {
                    return (bytes.len(), Parsed::Closing);
                }
                said = true;
                continue;
            }
            let line = match lines::line(&bytes[used..]) {
                Ok(Some(line)) => line,
                Ok(None) => break,
                // Where its lines end can't be told, so nothing after it is taken for a command.
                Err(BadLine::Bare) => {
                    say(out, "500 5.5.2 lines end in CR LF and nothing else");
                    return (bytes.len(), Parsed::Closing);
                }
                Err(BadLine::Long) => {
                    say(out, "500 5.5.2 line too long");
                    return (bytes.len(), Parsed::Closing);
                }
            };
            used += line.len() + 2;
            let (reply, next) = self.command(line);
            said = true;
            say(out, &reply);
            self.talk.faults += u32::from(next == Next::Go && reply.starts_with('5'));
            if next == Next::End || self.talk.faults > FAULTS_MOST {
                return (bytes.len(), Parsed::Closing);
            }
            if next == Next::Text {
                self.talk.text = Some(Text::new(self.mail.config.message_bytes));
            }
        }
        // The process is about to end; the client hands in the rest elsewhere or later.
        if said && self.mail.door.closing() && used == bytes.len() {
            say(out, "421 4.3.2 shutting down");
            return (used, Parsed::Closing);
        }
        // Outside a transaction it may make room for another.
        let begun = self.talk.from.is_some() || used < bytes.len();
        (used, if said && !begun { Parsed::Answered { fault: false } } else { Parsed::Incomplete { begun } })
    }

    fn command(&mut self, line: &[u8]) -> (String, Next) {
        let whole = [line, b"\r\n"].concat();
        let request = match Request::parse(&mut whole.iter()) {
            Ok(request) => request,
            Err(e) => return (syntax(&e).to_owned(), Next::Go),
        };
        let say = |text: &str| (text.to_owned(), Next::Go);
        match request {
            Request::Ehlo { host } if self.protocol == Protocol::Smtp => self.greet(&host, true),
            Request::Helo { host } if self.protocol == Protocol::Smtp => self.greet(&host, false),
            Request::Lhlo { host } if self.protocol == Protocol::Lmtp => self.greet(&host, true),
            Request::Ehlo { .. } | Request::Helo { .. } => say("500 5.5.1 this is LMTP: say LHLO"),
            Request::Lhlo { .. } => say("500 5.5.1 this is SMTP: say EHLO"),
            Request::Mail { .. } | Request::Rcpt { .. } if self.talk.hello.is_none() => {
                say("503 5.5.1 say hello first")
            }
            Request::Mail { .. } if self.mail.courier.front_closed(FRONT) && self.talk.from.is_none() => {
                ("421 4.3.2 draining, come again later".to_owned(), Next::End)
            }
            Request::Mail { from } => (self.mail_from(&from), Next::Go),
            Request::Rcpt { to } => (self.rcpt_to(&to.address), Next::Go),
            Request::Data if self.talk.from.is_none() => say("503 5.5.1 MAIL first"),
            Request::Data if self.talk.to.is_empty() => say("503 5.5.1 no valid recipients"),
            Request::Data => ("354 end with <CR><LF>.<CR><LF>".to_owned(), Next::Text),
            Request::Rset => {
                self.reset();
                say("250 2.0.0 reset")
            }
            Request::Noop { .. } => say("250 2.0.0 ok"),
            Request::Vrfy { .. } => say("252 2.5.0 will try to deliver"),
            Request::Help { .. } => say("214 2.0.0 RFC 5321, RFC 2033"),
            Request::Quit => ("221 2.0.0 bye".to_owned(), Next::End),
            _ => say("502 5.5.1 not offered here"),
        }
    }

    fn greet(&mut self, host: &str, extended: bool) -> (String, Next) {
        if host.is_empty() || !host.bytes().all(|b| b.is_ascii_graphic()) {
            return ("501 5.5.4 say your name".to_owned(), Next::Go);
        }
        self.reset();
        self.talk.hello = Some(host.to_owned());
        let name = &self.mail.config.hostname;
        let reply = match extended {
            false => format!("250 {name}"),
            true => format!(
                "250-{name}\r\n250-PIPELINING\r\n250-8BITMIME\r\n250-ENHANCEDSTATUSCODES\r\n250-DELIVERBY\r\n250 SIZE {}",
                self.mail.config.message_bytes
            ),
        };
        (reply, Next::Go)
    }

    fn reset(&mut self) {
        self.talk.from = None;
        self.talk.to.clear();
    }

    fn mail_from(&mut self, from: &smtp_proto::MailFrom<std::borrow::Cow<'_, str>>) -> String {
        let config = &self.mail.config;
        if self.talk.from.is_some() {
            return "503 5.5.1 one sender at a time".into();
        }
        if from.size > config.message_bytes {
            return "552 5.3.4 message too big".into();
        }
        if from.flags & MAIL_BODY_BINARYMIME != 0
            || !from.address.is_empty() && !is_plain_address(&from.address)
        {
            return "553 5.1.7 this sender's address or its parameters are not taken".into();
        }
        let tenant = match domain_of(&from.address) {
            // A null sender is nobody's; what it sends counts to the first tenant.
            None => 0,
            Some(domain) => match self.tenant_of_sender(&domain) {
                Ok(tenant) => tenant,
                Err(refusal) => return refusal.into(),
            },
        };
        // RFC 2852: return what can't be delivered by then; a wish to be notified only is not ours to keep.
        let by = (from.flags & MAIL_BY_RETURN != 0).then_some(from.by);
        if by.is_some_and(|by| by <= 0) {
            return "501 5.5.4 BY: the time is up".into();
        }
        let now = self.mail.courier.clock.now();
        let due = by.map(|by| now + Micros((by as u64).saturating_mul(1_000_000)));
        self.talk.from = Some((from.address.to_string(), tenant, due));
        "250 2.1.0 ok".into()
    }

    /// The tenant that sends from this domain. What is taken from it has to have an address for its bounce.
    fn tenant_of_sender(&self, domain: &str) -> Result<u16, &'static str> {
        let config = &self.mail.config;
        let tenant = *config.senders.get(domain).ok_or("550 5.7.1 no tenant sends from this domain")?;
        let partner = config
            .partners
            .get(domain)
            .ok_or("550 5.1.8 no partner takes what is returned to this domain")?;
        let has_backend = self.mail.zones().is_some_and(|zones| !zones.backends(&partner.domain).is_empty());
        match has_backend {
            true => Ok(tenant),
            false => Err("451 4.1.8 no mail backend takes what is returned to this domain just now"),
        }
    }

    fn rcpt_to(&mut self, to: &str) -> String {
        if self.talk.from.is_none() {
            return "503 5.5.1 MAIL first".into();
        }
        if self.talk.to.len() >= RECIPIENTS_MOST {
            return "452 4.5.3 too many recipients".into();
        }
        if !is_plain_address(to) {
            return "553 5.1.3 this address is not taken".into();
        }
        if self.partner(to).is_none() {
            return "550 5.1.2 no partner of this domain".into();
        }
        // One named twice is kept twice: LMTP owes a reply for each. The second is known by then.
        self.talk.to.push(to.to_owned());
        "250 2.1.5 ok".into()
    }

    fn partner(&self, to: &str) -> Option<&Partner> {
        self.mail.config.partners.get(&domain_of(to)?)
    }

    /// Answers the text, whatever is wrong with it; `false`: nothing after it can be trusted.
    fn text(&mut self, out: &mut Vec<u8>) -> bool {
        let Some(text) = self.talk.text.take() else { return true };
        let header = Header::read(&text.bytes);
        let fault = match text.bad {
            Some(BadText::Bare) => Some("554 5.6.0 lines end in CR LF and nothing else"),
            Some(BadText::Line) => Some("554 5.6.0 a line is too long"),
            Some(BadText::Size) => Some("552 5.3.4 message too big"),
            None if header.hop_count > HOPS_MOST => Some("554 5.4.6 too many hops"),
            None => None,
        };
        let replies = match fault {
            Some(fault) => vec![fault; if self.protocol == Protocol::Lmtp { self.talk.to.len() } else { 1 }],
            None => self.hand_in(&header, &text.bytes),
        };
        self.reset();
        replies.iter().for_each(|reply| say(out, reply));
        // Its other readers may see other lines in it, and commands after it.
        let trusted = text.bad != Some(BadText::Bare);
        if !trusted {
            say(out, "421 4.7.0 closing");
        }
        trusted
    }

    /// One req for each recipient. LMTP answers for each by itself; SMTP has one answer for all, so there all
    /// are taken or none. What is taken stands, even if the reply is lost: the client hands it in again, and it
    /// is recognised.
    fn hand_in(&self, header: &Header, text: &[u8]) -> Vec<&'static str> {
        let reqs: Vec<Option<Req>> = self.talk.to.iter().map(|to| self.req(to, header, text)).collect();
        let known: Vec<bool> = reqs.iter().map(Option::is_some).collect();
        let mut answers = self.mail.courier.hand_in(reqs.into_iter().flatten().collect()).into_iter();
        let mut taken = Vec::new();
        let mut reply = |known: bool| match known.then(|| answers.next()).flatten() {
            None => "550 5.6.0 Req-Kind: no such class",
            Some(Answer::Taken(msg)) => {
                taken.push(msg);
                "250 2.0.0 taken"
            }
            Some(Answer::Known) => "250 2.0.0 taken before",
            Some(Answer::NoSuchDest) => "451 4.4.4 the partner has no mail backend just now",
            Some(Answer::NoRoomForId(_)) => "452 4.3.1 no room to remember this order, come again later",
            Some(Answer::Refused(_)) => "451 4.3.2 busy, come again later",
            Some(Answer::Draining { .. }) => "451 4.3.2 draining, come again later",
            Some(Answer::MayBegin(_) | Answer::Acknowledged) => "451 4.3.0 local error",
        };
        let mut replies: Vec<_> = known.into_iter().map(&mut reply).collect();
        if self.protocol == Protocol::Smtp {
            let worst = replies.iter().copied().find(|r| !r.starts_with('2'));
            if let Some(worst) = worst {
                let withdrawn: Vec<_> = taken.into_iter().map(|msg| (msg, false)).collect();
                self.mail.courier.answered(&withdrawn);
                return vec![worst];
            }
            replies.truncate(1);
        }
        let written: Vec<_> = taken.into_iter().map(|msg| (msg, true)).collect();
        self.mail.courier.answered(&written);
        replies
    }

    fn req(&self, to: &str, header: &Header, text: &[u8]) -> Option<Req> {
        let (mail, partner) = (self.mail, self.partner(to)?);
        let (from, tenant, by) = self.talk.from.clone()?;
        let class = match &header.class_name {
            None => partner.class,
            Some(name) => *mail.config.classes.get(name)?,
        };
        let now = mail.courier.clock.now();
        let deadline = now + mail.config.deadlines[usize::from(class)];
        let envelope = Envelope { from, to: to.to_owned() };
        let id = header.message_id(&envelope, text);
        let trace = format!(
            "Received: from {} ({})\r\n\tby {} with {} id {id};\r\n\t{}\r\n",
            self.talk.hello.as_deref().unwrap_or("unknown"),
            format_args!("[{}]", self.talk.from_ip),
            mail.config.hostname,
            if self.protocol == Protocol::Smtp { "ESMTP" } else { "LMTP" },
            date(now)
        );
        Some(Req {
            id,
            front: FRONT,
            dest: partner.dest,
            class,
            tenant,
            due: by.map_or(deadline, |by| by.min(deadline)),
            head: envelope.head(),
            body: [trace.as_bytes(), text].concat().into(),
            keep_id_until: now + mail.config.remember,
        })
    }
}

fn syntax(e: &smtp_proto::Error) -> &'static str {
    match e {
        smtp_proto::Error::UnknownCommand => "500 5.5.1 unknown command",
        smtp_proto::Error::InvalidSenderAddress => "553 5.1.7 malformed sender's address",
        smtp_proto::Error::InvalidRecipientAddress => "553 5.1.3 malformed recipient's address",
        smtp_proto::Error::UnsupportedParameter { .. } => "555 5.5.4 parameter not offered",
        smtp_proto::Error::InvalidParameter { .. } => "501 5.5.4 malformed parameter",
        _ => "501 5.5.2 syntax error",
    }
}
