//! A mail server (SMTP, RFC 5321) of a partner. A text has run once its final dot has come: it is recorded as `ran`,
//! with its recipient and Message-ID, and an ordinary server then answers 250.
//!
//! Behaviour:
//! - `pace=SECONDS`: each text is answered after so long.
//! - `slow-first=SECONDS`: the answer to the first text comes so late.
//! - `shut=FROM-TO`: in this span, in seconds since the case began, the server is shut: it answers RCPT with 451, so
//!   nothing runs.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

struct Server {
    name: String,
    record: Record,
    texts: AtomicUsize,
    pace: f64,
    slow_first: Option<f64>,
    shut: Option<(f64, f64)>,
}

pub fn run(name: &str, record: Record, address: &str, behaviour: &[&str]) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let (mut pace, mut slow_first, mut shut) = (0.0, None, None);
    for word in behaviour {
        match word.split_once('=') {
            Some(("pace", seconds)) => pace = seconds.parse().map_err(|_| "pace: no number")?,
            Some(("slow-first", seconds)) => slow_first = seconds.parse().ok(),
            Some(("shut", span)) => {
                shut = span.split_once('-').and_then(|(a, b)| Some((a.parse().ok()?, b.parse().ok()?)));
            }
            _ => return Err(format!("{word}: no such behaviour")),
        }
    }
    let (name, texts) = (name.to_owned(), AtomicUsize::new(0));
    let server = Arc::new(Server { name, record, texts, pace, slow_first, shut });
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        // An error means that the client has closed the connection.
        thread::spawn(move || drop(server.session(stream)));
    }
    Ok(())
}

impl Server {
    fn session(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut lines = BufReader::new(stream).lines();
        let mut say = |reply: &str| out.write_all(format!("{reply}\r\n").as_bytes());
        say("220 partner.example ready")?;
        let mut to = String::new();
        while let Some(line) = lines.next().transpose()? {
            match line.get(..4).unwrap_or_default().to_ascii_uppercase().as_str() {
                "EHLO" => say("250-partner.example\r\n250 8BITMIME")?,
                "MAIL" | "RSET" | "NOOP" => say("250 2.0.0 ok")?,
                "RCPT" if self.is_shut() => {
                    self.record.line(&self.name, &format!("refused {}: 451, shut", address_in(&line)));
                    say("451 4.3.2 shut, come again later")?;
                }
                "RCPT" => {
                    to = address_in(&line);
                    say("250 2.1.5 ok")?;
                }
                "DATA" => {
                    say("354 go on")?;
                    let mut id = String::from("none");
                    let mut about = String::new();
                    loop {
                        let Some(line) = lines.next().transpose()? else { return Ok(()) };
                        if line == "." {
                            break;
                        }
                        let lower = line.to_ascii_lowercase();
                        if id == "none" && lower.starts_with("message-id:") {
                            id = line[11..].trim().to_owned();
                        }
                        // A bounce (RFC 3464) names the message that it is about in the headers that come with it.
                        if lower.starts_with("message-id:") && line[11..].trim() != id {
                            about = format!(", about {}", line[11..].trim());
                        }
                    }
                    self.record.line(&self.name, &format!("ran for {to}: {id}{about}"));
                    thread::sleep(Duration::from_secs_f64(self.pace));
                    if let Some(seconds) =
                        self.slow_first.filter(|_| self.texts.fetch_add(1, Ordering::SeqCst) == 0)
                    {
                        thread::sleep(Duration::from_secs_f64(seconds));
                    }
                    let answered = say("250 2.0.0 taken");
                    if self.slow_first.is_some() {
                        let how = if answered.is_ok() { "answered 250" } else { "could not be answered" };
                        self.record.line(&self.name, &format!("{id} {how}"));
                    }
                    answered?;
                }
                "QUIT" => return say("221 2.0.0 bye"),
                _ => say("502 5.5.1 not offered")?,
            }
        }
        Ok(())
    }

    fn is_shut(&self) -> bool {
        let now = self.record.seconds();
        self.shut.is_some_and(|(from, to)| from <= now && now < to)
    }
}

fn address_in(line: &str) -> String {
    line.split(['<', '>']).nth(1).unwrap_or_default().to_owned()
}
