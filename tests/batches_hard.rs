//! Batches over sockets in special cases: the response omits one message, a wait is demanded while another batch is in flight,
//! and the endpoint begins to drain between the order and the first byte.

mod support;

use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::partner::*;
use support::*;

/// Ends the program by SIGTERM, which awaits the responses in flight, and checks that after a restart no message is pending.
fn assert_nothing_is_pending(world: &World, mut program: Program) {
    program.signal("TERM");
    assert!(program.child.wait().unwrap().success());
    let ready = world.start().0.line("indigohold: ready");
    assert!(ready.contains(" 0 messages are owed"), "{ready}");
}

/// The response has the states of nineteen messages, which end them; the twentieth may have taken effect. If it is repeatable it
/// is sent once more, by itself; otherwise it is given up and not sent again.
#[test]
fn a_response_with_nineteen_states_ends_nineteen_messages() {
    let world = world(partner(|_, items| {
        let states = ids(items).into_iter().filter(|id| !id.ends_with("-7")).map(|id| (id, "done"));
        Reply::Keeps(support::partner::told(&states.collect::<Vec<_>>(), ""))
    }));
    let (program, addr) = world.start();
    let (repeatable, unrepeatable) = (named("k", 20), named("u", 20));
    world.together(addr, "gate-k", "print-order", &repeatable);
    let called_again = || world.partner.singles.lock().unwrap().iter().any(|id| id == "k-7");
    until("the second call of the twentieth", called_again);
    world.partner.gate.send(()).unwrap();
    world.together(addr, "gate-u", "render-status", &unrepeatable);
    until("the twentieth is given up", || world.discovery.noticed("u-7").is_some());
    assert_nothing_is_pending(&world, program);
    let batches = world.batches();
    assert!(batches.iter().map(Vec::len).eq([20, 20]), "{batches:?}");
    let singles = world.partner.singles.lock().unwrap().clone();
    assert_eq!(singles, ["gate-k", "k-7", "gate-u"]);
    let notices = world.discovery.notices.lock().unwrap().clone();
    assert_eq!(notices.len(), 1, "{notices:?}");
    assert_eq!(notices[0]["outcome"], "given_up");
}

/// The response to one batch demands a wait while another batch is in flight. The response to the other is awaited, and no other
/// call begins before the wait has ended, whether for repeated messages or for new ones.
#[test]
fn a_wait_demanded_by_one_batch_delays_all_calls_but_those_in_flight() {
    const WAIT: Duration = Duration::from_millis(600);
    let arrivals: Arc<Mutex<Vec<Instant>>> = Arc::default();
    let (shared_arrivals, wait_sent) = (arrivals.clone(), Arc::<Mutex<Option<Instant>>>::default());
    let shared_wait_sent = wait_sent.clone();
    let partner = partner(move |nth, items| {
        shared_arrivals.lock().unwrap().push(Instant::now());
        match nth {
            0 => {
                until("the other batch is in flight", || shared_arrivals.lock().unwrap().len() == 2);
                *shared_wait_sent.lock().unwrap() = Some(Instant::now());
                Reply::Keeps(
                    "HTTP/1.1 429 Later\r\nX-RateLimit-Wait-Ms: 600\r\nContent-Length: 0\r\n\r\n".into(),
                )
            }
            1 => {
                until("the wait is sent", || {
                    shared_wait_sent.lock().unwrap().is_some_and(|sent| sent.elapsed() > WAIT / 2)
                });
                Reply::Keeps(all_done(items))
            }
            _ => Reply::Keeps(all_done(items)),
        }
    });
    let mut world = world(partner);
    // A destination may occupy no more slots than it leaves free: two.
    world.config["settings"]["familyInfo"]["slots"] = 4.into();
    world.config["settings"]["familyInfo"]["bundleMax"] = json!([1, 5]);
    let (program, addr) = world.start();
    for (n, gate) in ["gate-1", "gate-2"].into_iter().enumerate() {
        assert_eq!(hand_in(addr, gate, "render-status"), 202);
        until("the gate call holds a slot", || world.partner.singles.lock().unwrap().len() == n + 1);
    }
    let all = named("m", 10);
    all.iter().for_each(|id| assert_eq!(hand_in(addr, id, "render-status"), 202, "{id}"));
    (0..2).for_each(|_| world.partner.gate.send(()).unwrap());
    until("the wait", || wait_sent.lock().unwrap().is_some());
    let new = named("n", 5);
    new.iter().for_each(|id| assert_eq!(hand_in(addr, id, "render-status"), 202, "{id}"));
    let after_first =
        |batches: &[Vec<Value>]| batches.iter().skip(1).flat_map(|batch| ids(batch)).collect::<BTreeSet<_>>();
    until("calls of all messages", || {
        world.partner.gate.send(()).unwrap();
        let mut seen = after_first(&world.batches());
        seen.extend(world.partner.singles.lock().unwrap().iter().cloned());
        all.iter().chain(&new).all(|id| seen.contains(id))
    });
    assert_nothing_is_pending(&world, program);
    let (batches, wait_sent) = (world.batches(), wait_sent.lock().unwrap().unwrap());
    assert!(batches[..2].iter().all(|b| b.len() == 5), "{batches:?}");
    assert!(arrivals.lock().unwrap()[2..].iter().all(|at| *at - wait_sent >= WAIT));
    let ids_of = |n: usize| ids(&batches[n]);
    assert!(ids_of(1).iter().all(|id| world.copies()[id] == 1), "the response to the other batch counts");
    assert!(ids_of(0).iter().all(|id| world.copies()[id] <= 2));
    assert!(world.discovery.notices.lock().unwrap().is_empty());
}

/// Whether a connection to this address is being established (state SYN-SENT).
fn is_connecting(addr: SocketAddr) -> bool {
    let remote = format!(":{:04X} 02", addr.port());
    std::fs::read_to_string("/proc/net/tcp").unwrap().lines().any(|line| line.contains(&remote))
}

/// An endpoint begins to drain when a batch for it is ordered and the connection is not established yet. Not one byte of the
/// batch is sent there; all messages are sent to the other endpoint, once each.
#[test]
fn an_endpoint_that_drains_before_the_first_byte_of_a_batch_receives_none_of_it() {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    // The listen queue holds one connection; further ones are not answered.
    socket.listen(0).unwrap();
    let listener: TcpListener = socket.into();
    let first = listener.local_addr().unwrap();
    let mut world = world(partner(|_, items| Reply::Keeps(all_done(items))));
    let other = world.partner.addr;
    let up = instance("s-1", first, 3, "up");
    world.discovery = discovery(std::slice::from_ref(&up));
    world.config["discovery"] = world.discovery.addr.to_string().into();
    world.config["known"]["instances"] = json!([serde_json::from_str::<Value>(&up).unwrap()]);
    // A destination may occupy no more slots than it leaves free: one.
    world.config["settings"]["familyInfo"]["slots"] = 2.into();
    world.config["settings"]["limits"]["connectTimeout"] = 10_000_000.into();
    let (program, addr) = world.start();
    assert_eq!(hand_in(addr, "gate", "render-status"), 202);
    let (gate, _) = listener.accept().unwrap();
    let mut gate = BufReader::new(gate);
    read_http(&mut gate).unwrap();
    let all = named("m", 5);
    all.iter().for_each(|id| assert_eq!(hand_in(addr, id, "render-status"), 202, "{id}"));
    let queued = TcpStream::connect(first).unwrap();
    gate.get_mut().write_all(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").unwrap();
    drop(gate);
    until("the batch's connection attempt", || is_connecting(first));
    let list = [("s-1", first, 3, "draining"), ("s-2", other, 3, "up"), ("s-3", other, 4, "up")];
    let list = list.map(|(name, at, dest, state)| instance(name, at, dest, state)).join(",");
    *world.discovery.list.lock().unwrap() = (8, list);
    // Only this list has destination 4, so a message accepted for it shows that the list has been read.
    until("the new list", || hand_in_at(addr, "new", "render-status", 4) == 202);
    until("the other endpoint has that message", || {
        world.partner.singles.lock().unwrap().contains(&"new".to_owned())
    });
    world.partner.gate.send(()).unwrap();
    let mut accepted = vec![listener.accept().unwrap().0];
    drop(queued);
    until("the connection is established or given up", || !is_connecting(first));
    let seen = || {
        let mut seen: Vec<String> = world.batches().iter().flat_map(|b| ids(b)).collect();
        seen.extend(world.partner.singles.lock().unwrap().iter().cloned());
        seen.retain(|id| id.starts_with("m-"));
        seen.sort();
        seen
    };
    until("all messages at the other endpoint", || {
        world.partner.gate.send(()).unwrap();
        seen().len() >= all.len()
    });
    assert_nothing_is_pending(&world, program);
    assert_eq!(seen(), all);
    listener.set_nonblocking(true).unwrap();
    accepted.extend(std::iter::from_fn(|| listener.accept().ok().map(|(stream, _)| stream)));
    for mut stream in accepted {
        stream.set_nonblocking(true).unwrap();
        let received = stream.read(&mut [0; 100]);
        let nothing = matches!(&received, Ok(0))
            || received.as_ref().is_err_and(|e| e.kind() != ErrorKind::Interrupted);
        assert!(nothing, "the draining endpoint received {received:?}");
    }
}
