//! Where discovery is. It moves while the courier runs, and the connections to its old address go with it.

use crate::net::conn;
use crossbeam_channel::Sender;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Instant;

/// Discovery's address and the connections to it.
pub struct Site {
    at: Mutex<At>,
    /// A wish to watch the list.
    watch: Sender<()>,
}

struct At {
    addr: SocketAddr,
    open: Vec<Weak<TcpStream>>,
}

impl Site {
    /// At an address, until it moves; a move asks for a watch.
    pub fn new(addr: SocketAddr, watch: Sender<()>) -> Site {
        Site { at: Mutex::new(At { addr, open: Vec::new() }), watch }
    }

    fn at(&self) -> MutexGuard<'_, At> {
        self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address now.
    pub fn addr(&self) -> SocketAddr {
        self.at().addr
    }

    /// Connects before the deadline, to wherever it is by then.
    pub fn connect(&self, until: Instant) -> io::Result<Arc<TcpStream>> {
        loop {
            let addr = self.addr();
            let stream = conn::connect(addr, until).map(Arc::new);
            let mut at = self.at();
            // Danger: a connection that came up while discovery moved would be missed by the move.
            if at.addr == addr {
                let stream = stream?;
                at.open.retain(|open| open.strong_count() > 0);
                at.open.push(Arc::downgrade(&stream));
                return Ok(stream);
            }
        }
    }

    /// From now on it is there. Danger: the old address goes silent or closes only later, and a watch or a notice
    /// that waits there is late; so each is cut off, and whoever waits on one asks again at the new address.
    pub fn move_to(&self, addr: SocketAddr) {
        let mut at = self.at();
        if at.addr == addr {
            return;
        }
        eprintln!("indigohold: discovery moves from {} to {addr}", at.addr);
        at.addr = addr;
        for stream in at.open.drain(..).filter_map(|open| open.upgrade()) {
            // An error says that it is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
        // The receiver ends with its process.
        let _ = self.watch.send(());
    }
}
