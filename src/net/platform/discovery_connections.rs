//! The addresses of discovery and the connections to it. Discovery may have several addresses, and the configured one may
//! change while the courier runs; the connections to an address that is no longer used are closed.

use crate::api::Micros;
use crate::net::acceptor::AcceptorHandle;
use crate::register::address_rotation::AddressRotation;
use crossbeam_channel::Sender;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Instant;

/// Discovery's addresses and the connections to the current one.
pub struct DiscoveryConnections {
    state: Mutex<State>,
    /// Requests a watch on the list.
    watch: Sender<()>,
    /// Establishes connections.
    acceptor: AcceptorHandle,
}

struct State {
    rotation: AddressRotation,
    open: Vec<Weak<TcpStream>>,
}

impl State {
    /// Closes the connections to an address that is no longer used. Such an address goes silent or closes its connections
    /// only later, and a watch or a notice that waited there would be late. After the shutdown its thread retries at the new
    /// address.
    fn shutdown_connections(&mut self) {
        for stream in self.open.drain(..).filter_map(|open| open.upgrade()) {
            // An error means that it is closed already.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

impl DiscoveryConnections {
    /// Starts at the first address. It changes when the address fails or is replaced; the latter also requests a watch.
    pub fn new(
        rotation: AddressRotation, watch: Sender<()>, acceptor: AcceptorHandle,
    ) -> DiscoveryConnections {
        DiscoveryConnections { state: Mutex::new(State { rotation, open: Vec::new() }), watch, acceptor }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The address in use.
    pub fn addr(&self) -> SocketAddr {
        self.state().rotation.current()
    }

    /// Connects by the deadline to the address that is in use when the connection is established.
    pub fn connect(&self, until: Instant) -> io::Result<Arc<TcpStream>> {
        loop {
            let addr = self.addr();
            let stream = self.acceptor.connect(addr, until).map(Arc::new);
            let mut state = self.state();
            // A change of the address does not close a connection that was being established meanwhile, so try again.
            if state.rotation.current() == addr {
                let stream = stream?;
                state.open.retain(|open| open.strong_count() > 0);
                state.open.push(Arc::downgrade(&stream));
                return Ok(stream);
            }
        }
    }

    /// The span with jitter, so that couriers do not ask in step.
    pub fn jittered(&self, span: Micros) -> Micros {
        self.state().rotation.jittered(span)
    }

    /// A time drawn uniformly from zero to this span.
    pub fn random_within(&self, span: Micros) -> Micros {
        self.state().rotation.random_within(span)
    }

    /// Whether there is no other address to ask.
    pub fn is_only_address(&self) -> bool {
        self.state().rotation.is_only_address()
    }

    /// The address in use has answered.
    pub fn record_success(&self) {
        self.state().rotation.record_success();
    }

    /// This address has failed. Returns the pause before the next one is asked, which is zero if this address was no longer in
    /// use; `None`: all addresses have failed in this round.
    pub fn record_failure(&self, addr: SocketAddr) -> Option<Micros> {
        let mut state = self.state();
        if state.rotation.current() != addr {
            return Some(Micros(0));
        }
        let pause = state.rotation.record_failure();
        if state.rotation.current() != addr {
            state.shutdown_connections();
        }
        pause
    }

    /// Replaces the configured address with a new one, which is used at once whatever other addresses there are.
    pub fn set_configured(&self, addr: SocketAddr) {
        let mut state = self.state();
        let previous = state.rotation.current();
        if !state.rotation.set_configured(addr) {
            return;
        }
        tracing::info!(target: "discovery", "discovery moves from {previous} to {addr}");
        state.shutdown_connections();
        // The receiver lives as long as the process.
        let _ = self.watch.send(());
    }
}
