//! A toy platform for trying the courier by hand: a discovery service that lists one endpoint, and that endpoint. It
//! prints what it receives. Every third call is refused with a wait, to show a retry.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

const DISCOVERY: &str = "127.0.0.1:8500";
const ENDPOINT: &str = "127.0.0.1:9001";

fn main() -> std::io::Result<()> {
    let (discovery, endpoint) = (TcpListener::bind(DISCOVERY)?, TcpListener::bind(ENDPOINT)?);
    println!("discovery on {DISCOVERY}, one endpoint for dest=7 on {ENDPOINT}");
    thread::spawn(move || serve(&discovery, discover));
    serve(&endpoint, call);
    Ok(())
}

fn serve(listener: &TcpListener, answer: fn(&str, &str, &mut TcpStream) -> std::io::Result<()>) {
    for stream in listener.incoming().flatten() {
        // An error means that the courier has closed the connection.
        thread::spawn(move || drop(session(stream, answer)));
    }
}

fn session(
    stream: TcpStream, answer: fn(&str, &str, &mut TcpStream) -> std::io::Result<()>,
) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let (mut request_line, mut content_length) = (String::new(), 0);
        if reader.read_line(&mut request_line)? == 0 {
            return Ok(());
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let line = line.trim().to_ascii_lowercase();
            if line.is_empty() {
                break;
            }
            if let Some(value) = line.strip_prefix("content-length:") {
                content_length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; content_length];
        reader.read_exact(&mut body)?;
        answer(request_line.trim(), &String::from_utf8_lossy(&body), &mut writer)?;
    }
}

fn discover(request_line: &str, body: &str, out: &mut TcpStream) -> std::io::Result<()> {
    if request_line.starts_with("POST /v1/notices") {
        println!("notice: {}", body.trim());
        return out.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
    }
    out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let list = format!(
        r#"{{"generation":1,"reset":true,"instances":[{{"instanceId":"toy","hostPort":"{ENDPOINT}","zone":"here","machineType":"community","cell":7,"lifecycle":"up","weight":20.0,"startedAtMs":0}}]}}"#
    );
    let mut line = list + "\n";
    loop {
        write!(out, "{:x}\r\n{line}\r\n", line.len())?;
        line = "\n".to_owned();
        thread::sleep(Duration::from_secs(2));
    }
}

fn call(request_line: &str, body: &str, out: &mut TcpStream) -> std::io::Result<()> {
    static CALLS: AtomicUsize = AtomicUsize::new(1);
    let turned_away = CALLS.fetch_add(1, Ordering::Relaxed).is_multiple_of(3);
    println!("{request_line} {body:?} {}", if turned_away { "turned away" } else { "taken" });
    let answer = match turned_away {
        true => "HTTP/1.1 429 Too Many Requests\r\nX-RateLimit-Wait-Ms: 400\r\nContent-Length: 0\r\n\r\n",
        false => "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    };
    out.write_all(answer.as_bytes())
}
