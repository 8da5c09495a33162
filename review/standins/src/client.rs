//! Mail clients of the courier (SMTP): one that hands in one message, and one that hands in many at a steady rate.

use crate::record::Record;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a reply is waited for.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Sessions of [`load`].
const SESSIONS: u32 = 4;

struct Session {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Session {
    fn open(address: &str) -> Result<Session, String> {
        let stream = TcpStream::connect(address).map_err(|e| format!("{address}: {e}"))?;
        let options = stream.set_nodelay(true).and_then(|()| stream.set_read_timeout(Some(REPLY_TIMEOUT)));
        options.map_err(|e| e.to_string())?;
        let reader = BufReader::new(stream.try_clone().map_err(|e| e.to_string())?);
        let mut session = Session { stream, reader };
        session.reply("220")?;
        session.ask("EHLO client.tallowood.example", "250")?;
        Ok(session)
    }

    fn write(&mut self, text: &str) -> Result<(), String> {
        self.stream.write_all(text.as_bytes()).map_err(|e| e.to_string())
    }

    /// The last line of the next reply; an error unless it begins with `code`.
    fn reply(&mut self, code: &str) -> Result<String, String> {
        loop {
            let mut line = String::new();
            match self.reader.read_line(&mut line) {
                Ok(0) => return Err("the connection was closed".into()),
                Ok(_) if line.as_bytes().get(3) == Some(&b'-') => {}
                Ok(_) if line.starts_with(code) => return Ok(line.trim_end().to_owned()),
                Ok(_) => return Err(line.trim_end().to_owned()),
                Err(e) => return Err(e.to_string()),
            }
        }
    }

    fn ask(&mut self, command: &str, code: &str) -> Result<String, String> {
        self.write(&format!("{command}\r\n"))?;
        self.reply(code)
    }

    /// Everything of a transaction but the reply to the text.
    fn send(&mut self, from: &str, to: &str, id: &str, by: Option<&str>) -> Result<(), String> {
        let by = by.map_or(String::new(), |seconds| format!(" BY={seconds};R"));
        self.ask(&format!("MAIL FROM:<{from}>{by}"), "250")?;
        self.ask(&format!("RCPT TO:<{to}>"), "250")?;
        self.ask("DATA", "354")?;
        self.write(&format!(
            "From: <{from}>\r\nTo: <{to}>\r\nSubject: order\r\nMessage-ID: {id}\r\n\r\nten trumpet parts\r\n.\r\n"
        ))
    }
}

/// Hands in one message in a session of its own, and records the reply. With `by=SECONDS` the message is to be
/// returned if it is not delivered by then (RFC 2852). With `lose-reply` the connection is lost before the reply.
pub fn hand_in(
    record: &Record, address: &str, from: &str, to: &str, id: &str, options: &[&str],
) -> Result<(), String> {
    let by = options.iter().find_map(|option| option.strip_prefix("by="));
    let mut session = Session::open(address)?;
    session.send(from, to, id, by)?;
    if options.contains(&"lose-reply") {
        // The text has arrived; the connection ends while the reply is under way.
        thread::sleep(Duration::from_millis(200));
        let _ = session.stream.shutdown(Shutdown::Both);
        record.line("client", &format!("handed in {id} to {to}: the connection was lost before the reply"));
        return Ok(());
    }
    let reply = session.reply("");
    record.line("client", &format!("handed in {id} to {to}: {}", reply.unwrap_or_else(|e| e)));
    Ok(())
}

/// Hands in `count` messages, `per_second` a second, over a few sessions, and records which were taken. A refusal (4yz) is
/// not repeated. `to` has recipients with their shares of the messages in hundredths (`ADDRESS=SHARE`), `by=SECONDS` as in
/// [`hand_in`].
pub fn load(
    record: &Arc<Record>, address: &str, from: &str, count: &str, per_second: &str, to: &[&str],
) -> Result<(), String> {
    let count: u32 = count.parse().map_err(|_| "COUNT is a number")?;
    let per_second: f64 = per_second.parse().map_err(|_| "PER_SECOND is a number")?;
    let by: Option<String> = to.iter().find_map(|word| word.strip_prefix("by=")).map(str::to_owned);
    let mut hundred: Vec<String> = Vec::new();
    for word in to.iter().filter(|word| !word.starts_with("by=")) {
        let (recipient, share) = word.split_once('=').ok_or("recipients are ADDRESS=SHARE")?;
        let share: usize = share.parse().map_err(|_| "SHARE is a number")?;
        hundred.extend(std::iter::repeat_n(recipient.to_owned(), share));
    }
    if hundred.len() != 100 {
        return Err("the shares must add up to 100".into());
    }
    record.line("load", &format!("begins: {count} messages, {per_second} a second"));
    let (begun, hundred) = (Instant::now(), Arc::new(hundred));
    let sessions: Vec<_> = (0..SESSIONS)
        .map(|number| {
            let (address, from, by) = (address.to_owned(), from.to_owned(), by.clone());
            let (record, hundred) = (record.clone(), hundred.clone());
            thread::spawn(move || -> Result<u32, String> {
                let mut session = Session::open(&address)?;
                let mut taken = 0;
                for message in (number..count).step_by(SESSIONS as usize) {
                    let due = begun + Duration::from_secs_f64(f64::from(message) / per_second);
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    // Consecutive messages are spread over the recipients.
                    let to = &hundred[(message as usize * 37) % 100];
                    let id = format!("<load-{message}@tallowood.example>");
                    session.send(&from, to, &id, by.as_deref())?;
                    if session.reply("").is_ok_and(|reply| reply.starts_with("250")) {
                        record.line("load", &format!("taken {id}"));
                        taken += 1;
                    }
                }
                Ok(taken)
            })
        })
        .collect();
    let mut taken = 0;
    for session in sessions {
        taken += session.join().map_err(|_| "a session panicked")??;
    }
    let seconds = begun.elapsed().as_secs_f64();
    record.line("load", &format!("ends: {taken} of {count} messages taken with 250 in {seconds:.1} s"));
    Ok(())
}
