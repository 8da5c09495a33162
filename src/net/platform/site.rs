//! Where discovery is. It moves while the courier runs, it may have several addresses, and the connections to an address
//! that is left go with it.

use crate::api::Micros;
use crate::net::acceptor::AcceptorHandle;
use crate::register::address_rotation::AddressRotation;
use crossbeam_channel::Sender;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Instant;

/// Discovery's addresses and the connections to the present one.
pub struct Site {
    at: Mutex<At>,
    /// A wish to watch the list.
    watch: Sender<()>,
    /// Through which it connects.
    door: AcceptorHandle,
}

struct At {
    seek: AddressRotation,
    open: Vec<Weak<TcpStream>>,
}

impl At {
    /// Danger: an address that is left goes silent or closes only later, and a watch or a notice that waits there is
    /// late; so each is cut off, and whoever waits on one asks again at the new address.
    fn cut(&mut self) {
        for stream in self.open.drain(..).filter_map(|open| open.upgrade()) {
            // An error says that it is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl Site {
    /// At the first of its addresses, until it moves or fails; a move asks for a watch.
    pub fn new(seek: AddressRotation, watch: Sender<()>, door: AcceptorHandle) -> Site {
        Site { at: Mutex::new(At { seek, open: Vec::new() }), watch, door }
    }

    fn at(&self) -> MutexGuard<'_, At> {
        self.at.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address now.
    pub fn addr(&self) -> SocketAddr {
        self.at().seek.current()
    }

    /// Connects before the deadline, to wherever it is by then.
    pub fn connect(&self, until: Instant) -> io::Result<Arc<TcpStream>> {
        loop {
            let addr = self.addr();
            let stream = self.door.connect(addr, until).map(Arc::new);
            let mut at = self.at();
            // Danger: a connection that came up while discovery moved would be missed by the move.
            if at.seek.current() == addr {
                let stream = stream?;
                at.open.retain(|open| open.strong_count() > 0);
                at.open.push(Arc::downgrade(&stream));
                return Ok(stream);
            }
        }
    }

    /// About so long, so that couriers are not in step.
    pub fn jittered(&self, span: Micros) -> Micros {
        self.at().seek.jittered(span)
    }

    /// Any moment within this span.
    pub fn within(&self, span: Micros) -> Micros {
        self.at().seek.random_within(span)
    }

    /// There is no other address to ask.
    pub fn alone(&self) -> bool {
        self.at().seek.is_only_address()
    }

    /// The present address has spoken.
    pub fn answered(&self) {
        self.at().seek.record_success();
    }

    /// This address failed: the pause before the next one; `None`: all have had their turn, or it has been left already
    /// and the present one can be asked at once.
    pub fn failed(&self, addr: SocketAddr) -> Option<Micros> {
        let mut at = self.at();
        if at.seek.current() != addr {
            return Some(Micros(0));
        }
        let pause = at.seek.record_failure();
        if at.seek.current() != addr {
            at.cut();
        }
        pause
    }

    /// From now on it is there, whatever other addresses there are.
    pub fn move_to(&self, addr: SocketAddr) {
        let mut at = self.at();
        let from = at.seek.current();
        if !at.seek.set_configured(addr) {
            return;
        }
        tracing::info!(target: "discovery", "discovery moves from {from} to {addr}");
        at.cut();
        // The receiver ends with its process.
        let _ = self.watch.send(());
    }
}
