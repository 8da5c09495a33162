//! Clients that send what no honest one does, for some seconds, and what the program and an honest client beside them see of it.
#![allow(dead_code)] // each test program uses its part

use socket2::{Domain, Socket, Type};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// The address that hostile clients come from.
const HOSTILE_ADDRESS: [u8; 4] = [127, 0, 0, 2];
/// Pause between the requests of the honest client.
const HONEST_PAUSE: Duration = Duration::from_millis(25);
/// How long one write of a hostile client may wait before it looks whether its time is up.
const WRITE_TIMEOUT: Duration = Duration::from_millis(50);
/// Pause of a hostile client before it connects again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(2);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

/// One kind of hostile client.
#[derive(Clone)]
pub struct Attack {
    pub name: &'static str,
    /// Clients at once.
    pub clients: usize,
    /// What a client sends on its connection number `connection`.
    pub bytes: fn(client: usize, connection: u64) -> Vec<u8>,
    /// How much of it is written at a time, and the pause after each part.
    pub part_bytes: usize,
    pub pause: Duration,
    /// Whether it reads what it is answered.
    pub reads: bool,
    /// Whether it stays connected behind its last byte until it is closed; otherwise it connects again at once.
    pub stays: bool,
}

/// What was seen.
#[derive(Debug)]
pub struct Seen {
    pub peak_memory_mb: f64,
    pub processor_seconds: f64,
    pub honest_requests: u64,
    /// Honest requests that were refused or not answered.
    pub unserved: u64,
    pub worst_answer: Duration,
    pub connections: u64,
    pub sent_mb: f64,
}

/// The process's largest resident set so far.
pub fn peak_memory_mb(pid: u32) -> f64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<f64>().unwrap() * 1024.0 / 1e6
}

/// Processor time that the process has used.
pub fn processor_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit_once(") ").unwrap().1.split(' ').collect();
    (fields[11].parse::<f64>().unwrap() + fields[12].parse::<f64>().unwrap()) / TICKS_PER_SECOND
}

/// Runs the attack while `honest` is called again and again; it says whether it was served.
pub fn run(
    attack: &Attack, seconds: f64, pid: u32, addr: SocketAddr, mut honest: impl FnMut(u64) -> bool,
) -> Seen {
    let stop = Arc::new(AtomicBool::new(false));
    let (connections, sent) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let processor_before = processor_seconds(pid);
    let clients: Vec<_> = (0..attack.clients)
        .map(|client| {
            let (attack, stop) = (attack.clone(), stop.clone());
            let (connections, sent) = (connections.clone(), sent.clone());
            let run = move || {
                while !stop.load(Ordering::SeqCst) {
                    let connection = connections.fetch_add(1, Ordering::SeqCst);
                    sent.fetch_add(
                        connect_and_send(&attack, client, connection, addr, &stop),
                        Ordering::SeqCst,
                    );
                    thread::sleep(RECONNECT_PAUSE);
                }
            };
            thread::Builder::new().stack_size(256 * 1024).spawn(run).unwrap()
        })
        .collect();
    let started = Instant::now();
    let (mut requests, mut unserved, mut worst) = (0, 0, Duration::ZERO);
    while started.elapsed().as_secs_f64() < seconds {
        let asked = Instant::now();
        unserved += u64::from(!honest(requests));
        worst = worst.max(asked.elapsed());
        requests += 1;
        thread::sleep(HONEST_PAUSE);
    }
    stop.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    Seen {
        peak_memory_mb: peak_memory_mb(pid),
        processor_seconds: processor_seconds(pid) - processor_before,
        honest_requests: requests,
        unserved,
        worst_answer: worst,
        connections: connections.load(Ordering::SeqCst),
        sent_mb: sent.load(Ordering::SeqCst) as f64 / 1e6,
    }
}

/// One connection of a hostile client. Returns the bytes that it has sent.
fn connect_and_send(
    attack: &Attack, client: usize, connection: u64, addr: SocketAddr, stop: &AtomicBool,
) -> u64 {
    let Ok(mut stream) = connect(addr) else { return 0 };
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(1))).unwrap();
    let bytes = (attack.bytes)(client, connection);
    let (mut at, mut sink) = (0, [0; 16 * 1024]);
    while at < bytes.len() && !stop.load(Ordering::SeqCst) {
        let end = bytes.len().min(at + attack.part_bytes);
        match stream.write(&bytes[at..end]) {
            Ok(n) => at += n,
            Err(e) if is_timeout(&e) => {}
            Err(_) => return at as u64,
        }
        if attack.reads && matches!(stream.read(&mut sink), Ok(0)) {
            return at as u64;
        }
        if !attack.pause.is_zero() {
            thread::sleep(attack.pause);
        }
    }
    stream.set_read_timeout(Some(WRITE_TIMEOUT)).unwrap();
    while attack.stays && !stop.load(Ordering::SeqCst) {
        // Only a closed connection ends this; what is answered stays unread if the client does not read.
        let open = match attack.reads {
            true => !matches!(stream.read(&mut sink), Ok(0)),
            false => stream.write(&[]).is_ok() && stream.take_error().is_ok_and(|e| e.is_none()),
        };
        if !open {
            break;
        }
        thread::sleep(Duration::from_millis(5));
    }
    at as u64
}

/// Connects from another address than the honest clients'.
fn connect(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(addr), Type::STREAM, None)?;
    socket.bind(&SocketAddr::from((HOSTILE_ADDRESS, 0)).into())?;
    socket.connect_timeout(&addr.into(), Duration::from_secs(1))?;
    Ok(socket.into())
}

fn is_timeout(e: &std::io::Error) -> bool {
    matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
