//! Stand-ins for the platform's side: discovery with its notices, endpoints, and a client that hands in messages over HTTP.
//! Each connection carries one request.

use crate::record::Record;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// How long a client waits for the answer to its request.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval of the empty lines on a watch.
const HEARTBEAT: Duration = Duration::from_secs(2);

struct Request {
    method: String,
    path: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

fn read_request(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let (method, path) = (line.split(' ').next()?.to_owned(), line.split(' ').nth(1)?.to_owned());
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim_end().split_once(':') {
            Some((name, value)) => headers.insert(name.to_ascii_lowercase(), value.trim().to_owned()),
            None => break,
        };
    }
    let length = headers.get("content-length").and_then(|n| n.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request { method, path, headers, body })
}

fn serve(address: &str, answer: impl Fn(TcpStream) + Send + Sync + 'static) -> Result<(), String> {
    let listener = TcpListener::bind(address).map_err(|e| format!("{address}: {e}"))?;
    let answer = Arc::new(answer);
    for stream in listener.incoming().flatten() {
        let answer = answer.clone();
        thread::spawn(move || answer(stream));
    }
    Ok(())
}

/// Discovery: the list that a file holds, in one line, and the notices, which are recorded.
pub fn discovery(record: Record, address: &str, list_file: &str) -> Result<(), String> {
    let list = std::fs::read_to_string(list_file).map_err(|e| format!("{list_file}: {e}"))?;
    let list = list.trim().to_owned();
    serve(address, move |mut stream| {
        let Some(request) = read_request(&stream) else { return };
        // Errors mean that the courier has closed the connection.
        let _ = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/v1/notices") => {
                for line in String::from_utf8_lossy(&request.body).lines() {
                    record.line("discovery", &format!("notice {line}"));
                }
                stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n")
            }
            (_, path) if path.contains("watch=1") => watch(stream, &list),
            _ => write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()),
        };
    })
}

fn watch(mut stream: TcpStream, list: &str) -> std::io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{list}\n\r\n", list.len() + 1)?;
    loop {
        thread::sleep(HEARTBEAT);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

/// An endpoint. A call has run once its last byte has come, and is recorded as `ran`. With `hang=FROM-TO` the endpoint
/// takes calls in this span, in seconds since the case began, and answers none of them.
pub fn endpoint(name: &str, record: Record, address: &str, hang: Option<&str>) -> Result<(), String> {
    let hang = hang.and_then(|word| word.strip_prefix("hang=")).and_then(|span| {
        let (from, to) = span.split_once('-')?;
        Some((from.parse::<f64>().ok()?, to.parse::<f64>().ok()?))
    });
    let name = name.to_owned();
    serve(address, move |mut stream| {
        let Some(request) = read_request(&stream) else { return };
        let Some(id) = request.headers.get("req-id") else { return };
        let now = record.seconds();
        record.line(&name, &format!("ran {id}"));
        if let Some((_, to)) = hang.filter(|(from, to)| *from <= now && now < *to) {
            thread::sleep(Duration::from_secs_f64(to - now));
            return;
        }
        thread::sleep(Duration::from_millis(100));
        // An error means that the courier has closed the connection.
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    })
}

/// Hands in one message of the class print-order, and records the answer.
pub fn post(
    record: &Record, address: &str, id: &str, destination: &str, deadline: &str,
) -> Result<(), String> {
    let mut stream = TcpStream::connect(address).map_err(|e| format!("{address}: {e}"))?;
    stream.set_read_timeout(Some(CLIENT_TIMEOUT)).map_err(|e| e.to_string())?;
    let request = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: print-order\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: {deadline}\r\nIdempotency-Key: key-of-{id}\r\nX-Addressing: dest={destination}\r\n\
         Content-Length: 9\r\n\r\nten parts"
    );
    stream.write_all(request.as_bytes()).map_err(|e| e.to_string())?;
    let mut answer = String::new();
    let read = BufReader::new(&stream).read_line(&mut answer);
    let answer = read.map_or_else(|e| e.to_string(), |_| answer.trim_end().to_owned());
    record.line("client", &format!("handed in {id} for destination {destination}: {answer}"));
    Ok(())
}
