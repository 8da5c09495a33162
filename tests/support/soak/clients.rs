//! Clients as the platform's are: they keep their connections and use them for as long as these stay open.

use super::record::{Effect, Record};
use crate::support::crowd::{read_response, Response};
use crate::support::LONG;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What the run tells its clients.
#[derive(Default)]
pub struct Front {
    /// No new connections: the front knows that the process ends.
    pub closed: AtomicBool,
    /// Processes killed so far: what was under way then may have no answer.
    pub kills: AtomicUsize,
    pub over: AtomicBool,
}

pub struct Client {
    pub number: usize,
    pub seed: u64,
    /// Between two of its requests, at least; at most twice as long.
    pub pause: Duration,
    pub addr: SocketAddr,
    pub front: Arc<Front>,
    pub record: Arc<Mutex<Record>>,
}

impl Client {
    pub fn run(self) {
        let mut chance = Pcg64Mcg::seed_from_u64(self.seed ^ (self.number as u64 + 1) << 32);
        let mut stream = None;
        for n in 0..100_000 {
            if self.front.over.load(Ordering::SeqCst) {
                return;
            }
            let effect = Effect::ALL[chance.next_u32() as usize % Effect::ALL.len()];
            let id = format!("{}{}-{n}", effect.letter(), self.number);
            self.hand_in(&mut stream, &id, 3 + (chance.next_u32() % 2) as u16);
            thread::sleep(self.pause + self.pause.mul_f64(f64::from(chance.next_u32() % 100) / 100.0));
        }
    }

    /// On the open connection, or once more on a new one if that was closed meanwhile.
    fn hand_in(&self, stream: &mut Option<TcpStream>, id: &str, dest: u16) {
        let request = request(id, dest);
        if let Some(open) = stream {
            match exchange(open, &request) {
                Response::Status(status) => return self.answered(id, status),
                Response::Truncated => self.unanswered(id, "an answer was cut off"),
                Response::Closed => *stream = None,
            }
        }
        if self.front.closed.load(Ordering::SeqCst) {
            return;
        }
        let kills = self.front.kills.load(Ordering::SeqCst);
        let Ok(mut new) = TcpStream::connect(self.addr) else { return };
        new.set_read_timeout(Some(LONG)).unwrap();
        match exchange(&mut new, &request) {
            Response::Status(status) => {
                self.answered(id, status);
                *stream = Some(new);
            }
            Response::Closed | Response::Truncated if self.front.kills.load(Ordering::SeqCst) == kills => {
                // The kill may be seen before it is counted.
                thread::sleep(Duration::from_millis(50));
                if self.front.kills.load(Ordering::SeqCst) == kills {
                    self.unanswered(id, "no answer on a new connection");
                }
            }
            Response::Closed | Response::Truncated => {}
        }
    }

    fn answered(&self, id: &str, status: u16) {
        let mut record = self.record.lock().unwrap();
        match status {
            200 | 202 => drop(record.taken.insert(id.to_owned())),
            _ => record.refused += 1,
        }
    }

    fn unanswered(&self, id: &str, what: &str) {
        self.record.lock().unwrap().unanswered.push(format!("unanswered: {id}: {what}"));
    }
}

fn request(id: &str, dest: u16) -> String {
    let (class, deadline) = Effect::of(id).class();
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: {}\r\nIdempotency-Key: k-{id}\r\nX-Addressing: dest={dest}\r\nContent-Length: 1\r\n\r\nx",
        deadline.as_millis()
    )
}

fn exchange(stream: &mut TcpStream, request: &str) -> Response {
    match stream.write_all(request.as_bytes()) {
        Ok(()) => read_response(stream),
        Err(_) => Response::Closed,
    }
}
