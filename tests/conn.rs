//! Connections and buffers by themselves.

use indigohold::core::Backend;
use indigohold::net::conn::{self, Conns};
use indigohold::net::pool::Pool;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

fn pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let one = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (one, listener.accept().unwrap().0)
}

/// Guards against idle sessions that use up the processor: a process that is stopped and continued all the time, to
/// hold it to its part of a core, gets each read that has a time-out interrupted, hundreds of them each time.
#[test]
fn an_idle_wait_has_no_time_out_whatever_was_set_before() {
    let (mut one, other) = pair();
    one.write_all(b"x").unwrap();
    conn::read(&other, &mut [0], Instant::now() + Duration::from_secs(9)).unwrap();
    assert!(other.read_timeout().unwrap().is_some());
    one.write_all(b"y").unwrap();
    assert!(conn::wait_byte(&other).unwrap());
    assert_eq!(other.read_timeout().unwrap(), None);
    assert_eq!(
        conn::read(&other, &mut [0], Instant::now() + Duration::from_secs(9)).unwrap(),
        1,
        "not taken"
    );
    drop(one);
    assert!(!conn::wait_byte(&other).unwrap(), "the end");
}

/// Guards against memory filled by half bodies: what clients get is bounded, what fetches need is not refused.
#[test]
fn clients_get_no_more_buffers_than_their_share() {
    let pool = Pool::new(1, 2);
    let (first, _fetch) = (pool.get_for_client().unwrap(), pool.get());
    assert!(pool.get_for_client().is_none());
    drop((first, pool.get()));
    assert!(pool.get_for_client().is_some());
}

/// Guards against a connection that outlives its backend: a new one at the same address gets a new connection, and
/// what was let go is closed.
#[test]
fn a_connection_belongs_to_its_backend_not_to_its_address() {
    let (one, mut other) = pair();
    let addr = other.local_addr().unwrap();
    let backend = |name: &str| Arc::new(Backend { name: name.into(), addr });
    let conns = Conns::new(Duration::from_secs(60), 8, b"");
    conns.keep(&backend("old"), Arc::new(one), 7);
    assert!(conns.reuse(&backend("new")).is_none());
    let (stream, tag) = conns.reuse(&backend("old")).unwrap();
    assert_eq!(tag, 7);
    conns.keep(&backend("old"), stream, tag);
    conns.let_go(&backend("new"));
    conns.let_go(&backend("old"));
    assert!(conns.reuse(&backend("old")).is_none());
    assert_eq!(other.read(&mut [0]).unwrap(), 0);
}
