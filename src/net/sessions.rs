//! The client sessions of a front: a thread for each connection, bounded in number. Danger: clients that say nothing,
//! or asked once and stay, take every place; so when all are taken the one that matters least makes room.

use super::spawn;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How long a newcomer waits for a place. Danger: those behind it wait too.
const PLACE: Duration = Duration::from_millis(50);

/// How many sessions a front has, and which of them may be closed to make room for a newcomer.
pub struct Room {
    /// So many at most.
    pub most: usize,
    /// One whose client has said nothing yet, after so long.
    pub silent: Duration,
    /// One without an open request, after so long.
    pub idle: Duration,
    /// One whose request has got no further for so long.
    pub stuck: Duration,
    /// Room or not, one whose client has said nothing yet is closed after so long.
    pub silent_most: Duration,
    /// And one without an open request.
    pub idle_most: Duration,
    /// What a newcomer hears for whom there is none, if anything.
    pub full: &'static str,
}

/// What a session is at. The order is that in which sessions make room.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum At {
    /// Connected, and nothing of use said yet.
    Silent,
    /// Between requests.
    Idle,
    /// A request is coming in or being answered.
    Busy,
    /// Told to make room.
    Leaving,
}

struct Entry {
    stream: Arc<TcpStream>,
    at: At,
    since: Instant,
}

/// The sessions that are open, so that newcomers find room and the end of the process can close them.
pub struct Sessions {
    room: Room,
    closing: AtomicBool,
    open: Mutex<(u64, HashMap<u64, Entry>)>,
    left: Condvar,
}

/// One session's place among the others; dropping it gives the place up.
pub struct Place {
    of: Arc<Sessions>,
    number: u64,
}

impl Place {
    /// A request has begun to come in, or has got further.
    pub fn busy(&self) {
        self.of.mark(self.number, At::Busy);
    }

    /// Its client sent what can't be used and was told so: it makes room like one that has said nothing.
    pub fn faulty(&self) {
        self.of.mark(self.number, At::Silent);
    }

    /// The session has no open request.
    pub fn idle(&self) {
        self.of.mark(self.number, At::Idle);
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.of.open().1.remove(&self.number);
        self.of.left.notify_one();
    }
}

impl Sessions {
    /// None yet.
    pub fn new(room: Room) -> Sessions {
        Sessions { room, closing: AtomicBool::new(false), open: Mutex::default(), left: Condvar::new() }
    }

    fn open(&self) -> MutexGuard<'_, (u64, HashMap<u64, Entry>)> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn mark(&self, number: u64, at: At) {
        if let Some(entry) = self.open().1.get_mut(&number).filter(|e| e.at != At::Leaving) {
            (entry.at, entry.since) = (at, Instant::now());
        }
    }

    /// A place, if there is one or one can be made. Who makes room sees the end of what its client sends: a request
    /// that has come in by then is still answered.
    fn enter(self: &Arc<Sessions>, stream: &Arc<TcpStream>) -> Option<Place> {
        let until = Instant::now() + PLACE;
        let mut open = self.open();
        while open.1.len() >= self.room.most {
            let now = Instant::now();
            let spare = |e: &&mut Entry| match e.at {
                At::Silent => e.since + self.room.silent <= now,
                At::Idle => e.since + self.room.idle <= now,
                At::Busy => e.since + self.room.stuck <= now,
                At::Leaving => false,
            };
            if let Some(entry) = open.1.values_mut().filter(spare).min_by_key(|e| (e.at, e.since)) {
                entry.at = At::Leaving;
                // An error says that it is closed already.
                let _ = entry.stream.shutdown(Shutdown::Read);
            }
            let left = until.checked_duration_since(now).filter(|left| !left.is_zero())?;
            // Nobody says so when a session becomes old enough.
            let soon = left.min(Duration::from_millis(5));
            open = self.left.wait_timeout(open, soon).unwrap_or_else(PoisonError::into_inner).0;
        }
        open.0 += 1;
        let number = open.0;
        open.1.insert(number, Entry { stream: stream.clone(), at: At::Silent, since: Instant::now() });
        drop(open);
        Some(Place { of: self.clone(), number })
    }

    /// Ends the input of those that have said nothing or idled for too long.
    pub fn sweep(&self) {
        for entry in self.open().1.values_mut() {
            let over = match entry.at {
                At::Silent => entry.since.elapsed() >= self.room.silent_most,
                At::Idle => entry.since.elapsed() >= self.room.idle_most,
                At::Busy | At::Leaving => false,
            };
            if over {
                entry.at = At::Leaving;
                // An error says that it is closed already.
                let _ = entry.stream.shutdown(Shutdown::Read);
            }
        }
    }

    /// How many are open.
    pub fn count(&self) -> usize {
        self.open().1.len()
    }

    /// Every session ends after the request that it is reading, and at once if it reads none.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        for entry in self.open().1.values() {
            // What has come in can still be read; then the session sees an end.
            let _ = entry.stream.shutdown(Shutdown::Read);
        }
    }

    /// The process is about to end.
    pub fn closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }
}

/// Accepts connections for as long as the process lives; each gets a thread of its own.
pub fn listen<T: Send + Sync + 'static>(
    listener: &TcpListener, sessions: &Arc<Sessions>, shared: &Arc<T>,
    serve: fn(&T, &TcpStream, &Place) -> io::Result<()>,
) {
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => Arc::new(stream),
            Err(e) => {
                // No descriptor was free, or the client went again.
                if e.kind() != ErrorKind::ConnectionAborted {
                    std::thread::sleep(Duration::from_millis(5));
                }
                continue;
            }
        };
        let Some(place) = sessions.enter(&stream) else {
            // It has just connected, so these few bytes fit into its buffer. An error says that it is gone.
            let _ = (&*stream).write(sessions.room.full.as_bytes());
            continue;
        };
        let shared = shared.clone();
        // A thread that can't be started drops its place and its connection.
        let _ = spawn("session", move || {
            // An error says that the connection broke: there is nobody to tell.
            let _ = serve(&shared, &stream, &place);
        });
    }
}
