//! Stand-ins for mail: a partner's SMTP server that may be shut, and a client that hands one message in.
#![allow(dead_code)] // each case uses its part

use super::common::*;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// Who hands mail in.
pub const SENDER: &str = "me@tallowood.partners.example";

/// A text that a server has taken.
#[derive(Clone)]
pub struct Taken {
    pub at: Instant,
    pub to: String,
    pub text: String,
}

/// A partner's SMTP server.
#[derive(Clone)]
pub struct MailServer {
    pub name: &'static str,
    pub addr: SocketAddr,
    pub taken: Arc<Mutex<Vec<Taken>>>,
    /// While it is shut it greets every client with 421.
    pub shut: Arc<AtomicBool>,
}

impl MailServer {
    pub fn start(record: &Record, name: &'static str) -> MailServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().unwrap();
        let server = MailServer { name, addr, taken: Arc::default(), shut: Arc::default() };
        let (shared, record) = (server.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (shared.clone(), record.clone());
                // An error means that the client has closed the connection.
                thread::spawn(move || drop(server.session(&record, stream)));
            }
        });
        server
    }

    fn session(&self, record: &Record, stream: TcpStream) -> std::io::Result<()> {
        let mut out = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        if self.shut.load(Ordering::SeqCst) {
            record.line(format!("{}: 421, it is shut", self.name));
            return out.write_all(b"421 4.3.2 shut, come again later\r\n");
        }
        out.write_all(b"220 stand-in ready\r\n")?;
        let mut to = String::new();
        while let Some(line) = lines.next().transpose()? {
            let verb = line.get(..4).unwrap_or_default().to_ascii_uppercase();
            let reply = match verb.as_str() {
                "EHLO" => "250-stand-in\r\n250 8BITMIME",
                "RCPT" => {
                    to = between(&line, "<", ">").unwrap_or_default().to_owned();
                    "250 ok"
                }
                "DATA" => {
                    out.write_all(b"354 go on\r\n")?;
                    let mut text = String::new();
                    while let Some(line) = lines.next().transpose()?.filter(|line| line != ".") {
                        text += line.strip_prefix('.').unwrap_or(&line);
                        text += "\n";
                    }
                    let subject = between(&text, "Subject: ", "\n").unwrap_or_default();
                    record.line(format!("{}: taken, to {to}: {subject}", self.name));
                    self.taken.lock().unwrap().push(Taken { at: Instant::now(), to: to.clone(), text });
                    "250 2.0.0 taken"
                }
                "MAIL" | "RSET" | "NOOP" | "HELO" => "250 ok",
                "QUIT" => {
                    out.write_all(b"221 bye\r\n")?;
                    return Ok(());
                }
                _ => "500 what",
            };
            out.write_all(format!("{reply}\r\n").as_bytes())?;
        }
        Ok(())
    }

    /// How many texts with this mark it has taken.
    pub fn count(&self, mark: &str) -> usize {
        self.taken.lock().unwrap().iter().filter(|taken| taken.text.contains(mark)).count()
    }
}

/// Hands a message in by SMTP; returns the reply to its text, or to the command that was refused.
pub fn send_mail(record: &Record, courier: SocketAddr, kind: &str, to: &str, id: &str) -> String {
    let reply = try_send_mail(courier, kind, to, id).unwrap_or_else(|e| format!("none: {e}"));
    record.line(format!("client: mail {id} to {to} handed in, answered {reply}"));
    reply
}

fn try_send_mail(courier: SocketAddr, kind: &str, to: &str, id: &str) -> std::io::Result<String> {
    let stream = TcpStream::connect_timeout(&courier, ms(1_000))?;
    stream.set_read_timeout(Some(ms(5_000)))?;
    let mut out = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut hear = || loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
        }
        if line.as_bytes().get(3) != Some(&b'-') {
            return Ok(line.trim_end().to_owned());
        }
    };
    let text = format!(
        "From: <{SENDER}>\r\nTo: <{to}>\r\nSubject: {id}\r\nReq-Kind: {kind}\r\n\
         Message-ID: <{id}@tallowood.partners.example>\r\n\r\ntext of {id}\r\n.\r\n"
    );
    hear()?;
    let steps = [
        ("EHLO client.tallowood.example\r\n".to_owned(), "250"),
        (format!("MAIL FROM:<{SENDER}>\r\n"), "250"),
        (format!("RCPT TO:<{to}>\r\n"), "250"),
        ("DATA\r\n".to_owned(), "354"),
        (text, "250"),
    ];
    let mut reply = String::new();
    for (command, wanted) in steps {
        out.write_all(command.as_bytes())?;
        reply = hear()?;
        if !reply.starts_with(wanted) {
            break;
        }
    }
    // An error means that the courier has closed the connection.
    let _ = out.write_all(b"QUIT\r\n");
    Ok(reply)
}

/// The settings of a small deployment, as the site `score-delivery` has them.
pub fn settings() -> &'static str {
    r#"{"balancers":1,"discovery":"subscribe","failureDomains":["here"],"family":"deliver",
  "familyInfo":{"bundleMax":[1,1],"fades":"by_half","kindApart":[false,false],"slots":7},
  "invariants":{"answerSlack":20000,"cold":11000000,"coldShare":0.18,"mustAskIn":10000000,"overloadFactor":2.0,
   "stopSendingWithin":250000,"tipAfter":1500000},
  "kinds":["print-house","community"],
  "limits":{"cancel":true,"connIdle":5000000,"connectTimeout":1500000,"maxOpen":157,"maxRetryAfter":3000000,
   "peers":false,"probing":false,"retryAfter":true,"tryLimit":8},
  "loadReport":{"names":["x0","x1"],"via":"inline"},"overShareWorth":0.2,"period":5000,
  "profiles":[{"name":"print-order","aim":3000000,"deadline":20000000,"group":"all","idempotency":"token",
    "lateWorth":0.3,"repeatWindow":8000000,"worth":2.0},
   {"name":"render-status","aim":800000,"deadline":5000000,"group":"all","idempotency":"pure","lateWorth":0.1,
    "repeatWindow":5000000,"worth":1.0}],
  "tenants":[{"name":"tallowood","quotaPerS":11.0,"share":1.0}],"weights":"nominal"}"#
}

/// The configuration, with the platform's front on beside the mail front.
pub fn config(listen: SocketAddr, discovery: SocketAddr) -> String {
    format!(
        r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024,"disk_mb":3}},
 "known":{{"generation":0,"reset":true,"instances":[]}},
 "settings":{}}}"#,
        settings()
    )
}

/// The mail front's file. `partners`: name of the domain below `partners.example` and its number.
pub fn mail_config(smtp: SocketAddr, dns: SocketAddr, zones: &str, partners: &[(&str, u16)]) -> String {
    let partners: Vec<String> = partners
        .iter()
        .map(|(name, dest)| {
            format!(
                r#"{{"domain":"{name}.partners.example","dest":{dest},"class":"render-status","kind":"community"}}"#
            )
        })
        .collect();
    format!(
        r#"{{"enabled":true,"hostname":"courier.tallowood.example","smtp":"{smtp}","dns":"{dns}",
 "update_sources":["127.0.0.1"],"zones":[{zones}],"partners":[{}],
 "senders":{{"tallowood.partners.example":"tallowood"}}}}"#,
        partners.join(",")
    )
}

/// The start of a zone's text.
pub fn zone_head(serial: u32) -> String {
    format!("$TTL 60\n@ IN SOA ns hostmaster ( {serial} 3600 600 86400 60 )\n@ IN NS ns\nns IN A 127.0.0.1\n")
}

/// A partner's lines in its zone: one server.
pub fn zone_lines(partner: &str, server: SocketAddr) -> String {
    let port = server.port();
    format!("_smtp._tcp.{partner} IN SRV 0 1 {port} mail.{partner}\nmail.{partner} IN A 127.0.0.1\n")
}
