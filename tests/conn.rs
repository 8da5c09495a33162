//! Idle connections of fetches: which ones may be reused, and when they are closed.

use indigohold::core::Backend;
use indigohold::net::conn::{is_idle, FetchConnections};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The two ends of a new connection.
fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (client, listener.accept().unwrap().0)
}

/// Guards against reusing a connection after its backend is gone: a new backend at the same address gets a new connection,
/// and the idle connections of the old one are closed.
#[test]
fn a_connection_belongs_to_its_backend_not_to_its_address() {
    let (client, mut server) = connected_pair();
    let addr = server.local_addr().unwrap();
    let backend = |name: &str| Arc::new(Backend { name: name.into(), addr, zone: None, dest: 1 });
    let conns = FetchConnections::new(Duration::from_secs(60), 8, b"");
    conns.keep(&backend("old"), Arc::new(client), 7);
    assert!(conns.reuse(&backend("new")).is_none());
    let (stream, tag) = conns.reuse(&backend("old")).unwrap();
    assert_eq!(tag, 7);
    conns.keep(&backend("old"), stream, tag);
    conns.close_idle(&backend("new"));
    conns.close_idle(&backend("old"));
    assert!(conns.reuse(&backend("old")).is_none());
    assert_eq!(server.read(&mut [0]).unwrap(), 0);
}

/// Guards against sending a request on an idle connection that the endpoint has closed, reset, or sent something on unasked. The
/// request would count as one that may have run, or take a stray response for its own.
#[test]
fn a_connection_is_idle_only_while_it_is_open_and_has_no_input() {
    let (client, mut server) = connected_pair();
    assert!(is_idle(&client));
    server.write_all(b"H").unwrap();
    client.peek(&mut [0]).unwrap();
    assert!(!is_idle(&client), "unexpected input");
    let (client, server) = connected_pair();
    drop(server);
    client.peek(&mut [0]).unwrap();
    assert!(!is_idle(&client), "closed by the endpoint");
    let (client, server) = connected_pair();
    (&client).write_all(b"unread").unwrap();
    server.peek(&mut [0]).unwrap();
    drop(server);
    // Closing a socket with unread input resets the connection.
    client.peek(&mut [0]).unwrap_err();
    assert!(!is_idle(&client), "reset by the endpoint");
}
