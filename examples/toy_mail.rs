//! A toy mail server for trying the mail front by hand. It prints each message. If the recipient's name begins with
//! `drop`, it receives the message and closes the connection without a reply, as one partner's server has done.

use std::io::{BufRead, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;

const ADDR: &str = "127.0.0.1:2526";

fn main() -> std::io::Result<()> {
    let listener = TcpListener::bind(ADDR)?;
    println!("mail on {ADDR}");
    for stream in listener.incoming().flatten() {
        // An error means that the courier has closed the connection.
        thread::spawn(move || drop(session(stream)));
    }
    Ok(())
}

fn session(stream: TcpStream) -> std::io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut lines = BufReader::new(stream).lines();
    out.write_all(b"220 toy ready\r\n")?;
    let mut recipient = String::new();
    while let Some(line) = lines.next().transpose()? {
        let verb = line.get(..4).unwrap_or_default().to_ascii_uppercase();
        let reply = match verb.as_str() {
            "EHLO" => "250-toy\r\n250 8BITMIME",
            "RCPT" => {
                recipient = line.split(['<', '>']).nth(1).unwrap_or_default().to_owned();
                "250 ok"
            }
            "DATA" => {
                out.write_all(b"354 go on\r\n")?;
                println!("---- to {recipient}");
                while let Some(line) = lines.next().transpose()?.filter(|l| l != ".") {
                    println!("{}", line.strip_prefix('.').unwrap_or(&line));
                }
                if recipient.starts_with("drop") {
                    println!("---- taken, and dropped before the reply");
                    return Ok(());
                }
                "250 2.0.0 taken"
            }
            "MAIL" | "RSET" => "250 ok",
            "QUIT" => "221 bye",
            _ => "500 what",
        };
        out.write_all(format!("{reply}\r\n").as_bytes())?;
    }
    Ok(())
}
