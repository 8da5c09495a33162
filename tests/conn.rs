//! Connections and buffers by themselves.

use indigohold::core::Backend;
use indigohold::net::conn::{is_idle, FetchConnections};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (one, listener.accept().unwrap().0)
}

/// Guards against a connection that outlives its backend: a new one at the same address gets a new connection, and
/// what was let go is closed.
#[test]
fn a_connection_belongs_to_its_backend_not_to_its_address() {
    let (one, mut other) = pair();
    let addr = other.local_addr().unwrap();
    let backend = |name: &str| Arc::new(Backend { name: name.into(), addr });
    let conns = FetchConnections::new(Duration::from_secs(60), 8, b"");
    conns.keep(&backend("old"), Arc::new(one), 7);
    assert!(conns.reuse(&backend("new")).is_none());
    let (stream, tag) = conns.reuse(&backend("old")).unwrap();
    assert_eq!(tag, 7);
    conns.keep(&backend("old"), stream, tag);
    conns.close_idle(&backend("new"));
    conns.close_idle(&backend("old"));
    assert!(conns.reuse(&backend("old")).is_none());
    assert_eq!(other.read(&mut [0]).unwrap(), 0);
}

/// Guards against a request on an idle connection that its endpoint has ended, reset, or said something on that nobody asked: it
/// would count as one that may have run, or take a stray answer for its own.
#[test]
fn a_connection_is_quiet_only_while_nothing_came_on_it() {
    let (one, mut other) = pair();
    assert!(is_idle(&one));
    other.write_all(b"H").unwrap();
    one.peek(&mut [0]).unwrap();
    assert!(!is_idle(&one), "a stray answer");
    let (one, other) = pair();
    drop(other);
    one.peek(&mut [0]).unwrap();
    assert!(!is_idle(&one), "its end");
    let (one, other) = pair();
    (&one).write_all(b"unread").unwrap();
    other.peek(&mut [0]).unwrap();
    drop(other);
    // Closed over unread bytes: a reset.
    one.peek(&mut [0]).unwrap_err();
    assert!(!is_idle(&one), "a reset");
}
