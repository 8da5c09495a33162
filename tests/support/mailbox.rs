//! A stand-in mail server, SMTP or LMTP, that injects faults; and a mail client that says lines and reads replies.
#![allow(dead_code)] // each test program uses its part

use super::LONG;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the server does with a recipient's message.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    None,
    /// Accepts the text, then drops the connection before its reply.
    DropAfterText,
    /// Accepts the text, then says nothing.
    HangAfterText,
    /// Drops the connection before the text.
    DropBeforeText,
    /// Answers RCPT so.
    Rcpt(&'static str),
    /// Answers the text so.
    Text(&'static str),
    /// Answers the text so, behind a second copy of its answer to RCPT.
    TextAfterRcptCopy(&'static str),
    /// Answers the text so, behind a second copy of its answer to the text before on that connection, if there was one.
    TextAfterTextCopy(&'static str),
}

impl Fault {
    /// The answer to the text, if it is another than that the text is taken.
    fn text_reply(self) -> Option<&'static str> {
        match self {
            Fault::Text(reply) | Fault::TextAfterRcptCopy(reply) | Fault::TextAfterTextCopy(reply) => {
                Some(reply)
            }
            _ => None,
        }
    }
}

const RCPT_TAKEN: &str = "250 ok\r\n";
const TEXT_TAKEN: &str = "250 2.0.0 taken\r\n";
/// How long after a copy of an earlier answer the answer itself comes.
const ANSWER_AFTER_COPY: Duration = Duration::from_millis(40);

/// What the server has seen: a transaction's sender, recipient and text, and whether it was taken.
#[derive(Debug, Clone)]
pub struct Seen {
    pub from: String,
    pub to: String,
    pub text: String,
    pub taken: bool,
}

pub struct Mailbox {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    /// Recipients of transactions that have begun.
    pub open: Arc<Mutex<Vec<String>>>,
}

impl Mailbox {
    /// Texts that reached this recipient and may have taken effect.
    pub fn taken(&self, to: &str) -> Vec<Seen> {
        self.seen.lock().unwrap().iter().filter(|s| s.to == to && s.taken).cloned().collect()
    }

    /// All transactions that named this recipient.
    pub fn tried(&self, to: &str) -> usize {
        self.seen.lock().unwrap().iter().filter(|s| s.to == to).count()
    }
}

/// Starts one; `fault` is asked by recipient and how manieth transaction of it this is, from 1.
pub fn mailbox(lmtp: bool, fault: impl Fn(&str, usize) -> Fault + Send + Sync + 'static) -> Mailbox {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (seen, fault) = (Arc::new(Mutex::new(Vec::new())), Arc::new(fault));
    let open = Arc::new(Mutex::new(Vec::new()));
    let (all, begun) = (seen.clone(), open.clone());
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (seen, open, fault) = (all.clone(), begun.clone(), fault.clone());
            thread::spawn(move || drop(session(lmtp, stream, &seen, &open, &*fault)));
        }
    });
    Mailbox { addr, seen, open }
}

fn session(
    lmtp: bool, stream: TcpStream, seen: &Mutex<Vec<Seen>>, open: &Mutex<Vec<String>>,
    fault: &dyn Fn(&str, usize) -> Fault,
) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut lines = BufReader::new(stream).lines();
    let (mut from, mut to, mut plan) = (String::new(), String::new(), Fault::None);
    // Texts answered on this connection.
    let mut ended = 0;
    write!(out, "220 stand-in ready\r\n")?;
    while let Some(Ok(line)) = lines.next() {
        let upper = line.to_ascii_uppercase();
        let inside = |line: &str| line.split(['<', '>']).nth(1).unwrap_or_default().to_owned();
        if upper.starts_with("EHLO") && !lmtp || upper.starts_with("LHLO") && lmtp {
            write!(out, "250-stand-in\r\n250-8BITMIME\r\n250 SIZE 1000000\r\n")?;
        } else if upper.starts_with("MAIL FROM:") {
            from = inside(&line);
            write!(out, "250 ok\r\n")?;
        } else if upper.starts_with("RCPT TO:") {
            to = inside(&line);
            open.lock().unwrap().push(to.clone());
            let nth = seen.lock().unwrap().iter().filter(|s| s.to == to).count() + 1;
            plan = fault(&to, nth);
            let one = Seen { from: from.clone(), to: to.clone(), text: String::new(), taken: false };
            seen.lock().unwrap().push(one);
            match plan {
                Fault::Rcpt(reply) => write!(out, "{reply}\r\n")?,
                _ => out.write_all(RCPT_TAKEN.as_bytes())?,
            }
        } else if upper == "DATA" {
            if plan == Fault::DropBeforeText {
                return Ok(());
            }
            write!(out, "354 go on\r\n")?;
            let mut text = String::new();
            loop {
                let Some(Ok(line)) = lines.next() else { return Ok(()) };
                if line == "." {
                    break;
                }
                text += line.strip_prefix('.').unwrap_or(&line);
                text += "\n";
            }
            let mut seen = seen.lock().unwrap();
            let mine = seen.iter_mut().rev().find(|s| s.to == to && s.text.is_empty()).unwrap();
            mine.text = text;
            mine.taken = plan.text_reply().is_none_or(|reply| reply.starts_with('2'));
            drop(seen);
            let copy = match plan {
                Fault::DropAfterText => return Ok(()),
                Fault::HangAfterText => {
                    thread::sleep(LONG);
                    None
                }
                Fault::TextAfterRcptCopy(_) => Some(RCPT_TAKEN),
                Fault::TextAfterTextCopy(_) if ended > 0 => Some(TEXT_TAKEN),
                _ => None,
            };
            if let Some(copy) = copy {
                out.write_all(copy.as_bytes())?;
                thread::sleep(ANSWER_AFTER_COPY);
            }
            ended += 1;
            match plan.text_reply() {
                Some(reply) => write!(out, "{reply}\r\n")?,
                None => out.write_all(TEXT_TAKEN.as_bytes())?,
            }
        } else if upper == "RSET" {
            write!(out, "250 ok\r\n")?;
        } else if upper == "QUIT" {
            write!(out, "221 bye\r\n")?;
            return Ok(());
        } else {
            write!(out, "500 what\r\n")?;
        }
    }
    Ok(())
}

/// A mail client.
pub struct Client {
    pub out: TcpStream,
    lines: BufReader<TcpStream>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        let out = TcpStream::connect(addr).unwrap();
        out.set_read_timeout(Some(LONG)).unwrap();
        let mut client = Client { lines: BufReader::new(out.try_clone().unwrap()), out };
        assert!(client.reply().starts_with("220 "));
        client
    }

    /// One reply, its last line; empty at the end.
    pub fn reply(&mut self) -> String {
        loop {
            let mut line = String::new();
            self.lines.read_line(&mut line).unwrap();
            if line.as_bytes().get(3) != Some(&b'-') {
                return line.trim_end().to_owned();
            }
        }
    }

    /// Says a line and reads its reply.
    pub fn say(&mut self, line: &str) -> String {
        self.out.write_all(format!("{line}\r\n").as_bytes()).unwrap();
        self.reply()
    }

    /// Envelope and text; one reply, or over LMTP one for each recipient.
    pub fn send(&mut self, hello: &str, from: &str, to: &[&str], text: &str) -> Vec<String> {
        assert!(self.say(hello).starts_with("250 "));
        assert!(self.say(&format!("MAIL FROM:<{from}>")).starts_with("250 "));
        for to in to {
            assert!(self.say(&format!("RCPT TO:<{to}>")).starts_with("250 "));
        }
        assert!(self.say("DATA").starts_with("354 "));
        self.out.write_all(text.as_bytes()).unwrap();
        self.out.write_all(b".\r\n").unwrap();
        let replies = if hello.starts_with("LHLO") { to.len() } else { 1 };
        (0..replies).map(|_| self.reply()).collect()
    }
}
