//! The client sessions of a front: a thread for each connection, bounded in number.

use super::spawn;
use std::collections::HashMap;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// The sessions that are open, so that the end of the process can close them between requests.
pub struct Sessions {
    most: usize,
    closing: AtomicBool,
    open: Mutex<(u64, HashMap<u64, Arc<TcpStream>>)>,
}

impl Sessions {
    /// Room for so many.
    pub fn new(most: usize) -> Sessions {
        Sessions { most, closing: AtomicBool::new(false), open: Mutex::default() }
    }

    fn enter(&self, stream: &Arc<TcpStream>) -> Option<u64> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.1.len() >= self.most {
            return None;
        }
        open.0 += 1;
        let number = open.0;
        open.1.insert(number, stream.clone());
        Some(number)
    }

    fn leave(&self, number: u64) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).1.remove(&number);
    }

    /// How many are open.
    pub fn count(&self) -> usize {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).1.len()
    }

    /// Every session ends after the request that it is reading, and at once if it reads none.
    pub fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        for stream in self.open.lock().unwrap_or_else(PoisonError::into_inner).1.values() {
            // What has come in can still be read; then the session sees an end.
            let _ = stream.shutdown(Shutdown::Read);
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
    serve: fn(&T, &TcpStream) -> io::Result<()>,
) {
    loop {
        let stream = match listener.accept() {
            Ok((stream, _)) => Arc::new(stream),
            Err(e) => {
                // No descriptor was free, or the client went again.
                if e.kind() != ErrorKind::ConnectionAborted {
                    std::thread::sleep(std::time::Duration::from_millis(5));
                }
                continue;
            }
        };
        // Past the most sessions, a connection is closed with nothing read from it.
        let Some(number) = sessions.enter(&stream) else { continue };
        let (of, shared) = (sessions.clone(), shared.clone());
        let session = move || {
            // An error says that the connection broke: there is nobody to tell.
            let _ = serve(&shared, &stream);
            of.leave(number);
        };
        if spawn("session", session).is_err() {
            sessions.leave(number);
        }
    }
}
