//! A partner that takes, turns away, fails, drops and hangs by chance, and sends second copies of its answers: right behind the
//! answer, or once the next call on the connection has come.

use super::record::{Call, Ran, Record};
use crate::support::{read_http, LONG};
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";
const BUSY: &str = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
const NO_WAIT: Duration = Duration::ZERO;

/// Of a hundred answers, how many are followed by a second copy; of a hundred calls on a connection that carried one before, how
/// many are met by one.
const COPIES_BEHIND_PERCENT: u32 = 10;
const STALE_COPIES_PERCENT: u32 = 50;
/// A copy comes so long after the answer or the call, at most.
const MAX_COPY_DELAY_MS: u32 = 6;

enum Act {
    Deliver,
    Fail,
    Busy,
    Wait(Duration),
    Drop,
    Hang,
}

fn draw(chance: &mut Pcg64Mcg, hangs_percent: u32) -> (Act, Duration) {
    let works = Duration::from_millis(u64::from(chance.next_u32() % 60));
    if chance.next_u32() % 100 < hangs_percent {
        return (Act::Hang, works);
    }
    let act = match chance.next_u32() % 100 {
        0..=4 => Act::Fail,
        5..=11 => Act::Busy,
        12..=15 => Act::Wait(Duration::from_millis(300 + u64::from(chance.next_u32() % 500))),
        16..=21 => Act::Drop,
        _ => Act::Deliver,
    };
    (act, works)
}

/// Writes a second copy of an answer, by chance. An error means that the other side has closed the connection.
fn copy(writer: &mut TcpStream, text: &str, chance: &Mutex<Pcg64Mcg>, percent: u32) {
    let (drawn, delay) = {
        let mut chance = chance.lock().unwrap();
        (chance.next_u32() % 100 < percent, chance.next_u32() % MAX_COPY_DELAY_MS)
    };
    if drawn {
        thread::sleep(Duration::from_millis(delay.into()));
        let _ = writer.write_all(text.as_bytes());
    }
}

/// What a partner's acts are drawn from.
#[derive(Clone)]
pub struct Acts {
    pub chance: Arc<Mutex<Pcg64Mcg>>,
    pub hangs_percent: u32,
    /// All calls hang.
    pub stalled: Arc<AtomicBool>,
}

pub fn start(dest: u16, acts: Acts, record: Arc<Mutex<Record>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (acts, record) = (acts.clone(), record.clone());
            thread::spawn(move || serve(dest, stream, &acts, &record));
        }
    });
    addr
}

/// Whether the other side has closed the connection.
fn ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).unwrap();
    !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

fn serve(dest: u16, stream: TcpStream, acts: &Acts, record: &Mutex<Record>) {
    let mut writer = stream.try_clone().unwrap();
    let mut reader = BufReader::new(stream);
    let mut last: Option<String> = None;
    while let Some(request) = read_http(&mut reader) {
        let (id, at) = (request.header("req-id").unwrap().to_owned(), Instant::now());
        let (act, works) = draw(
            &mut acts.chance.lock().unwrap(),
            if acts.stalled.load(Ordering::SeqCst) { 100 } else { acts.hangs_percent },
        );
        let index = {
            let calls = &mut record.lock().unwrap().calls;
            calls.push(Call { id, dest, at, ran: Ran::Perhaps, wait: NO_WAIT, answered: at });
            calls.len() - 1
        };
        if let Some(last) = last.take() {
            copy(&mut writer, &last, &acts.chance, STALE_COPIES_PERCENT);
        }
        thread::sleep(works);
        let mut answer = |writer: &mut TcpStream, ran: Ran, wait: Duration, text: &str| {
            let call = &mut record.lock().unwrap().calls[index];
            // Before it is written: whoever reads it may act on it at once.
            (call.ran, call.wait, call.answered) = (ran, wait, Instant::now());
            let _ = writer.write_all(text.as_bytes());
            copy(writer, text, &acts.chance, COPIES_BEHIND_PERCENT);
            last = Some(text.to_owned());
        };
        match act {
            Act::Deliver => answer(&mut writer, Ran::Delivered, NO_WAIT, OK),
            Act::Fail => answer(&mut writer, Ran::Perhaps, NO_WAIT, ERROR),
            Act::Busy => answer(&mut writer, Ran::Never, NO_WAIT, BUSY),
            Act::Wait(wait) => {
                let ms = wait.as_millis();
                let head =
                    format!("HTTP/1.1 429 Later\r\nX-RateLimit-Wait-Ms: {ms}\r\nContent-Length: 0\r\n\r\n");
                // Who has given the call up is told nothing.
                let heard = if ended(&writer) { NO_WAIT } else { wait };
                answer(&mut writer, Ran::Never, heard, &head);
            }
            Act::Drop => return,
            Act::Hang => thread::sleep(LONG),
        }
    }
}
