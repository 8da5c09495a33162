//! Tests of the thread that exchanges shared state with peers. They guard against a hung thread that blocks traffic or readers,
//! lost updates between riders, a departed member that counts as suspected, and traffic above the configured budget.

mod common;
mod support;

use crossbeam_channel::{bounded, Receiver, Sender};
use indigohold::config::PeerAddresses;
use indigohold::core::*;
use indigohold::net::peers::control::Shared;
use indigohold::net::peers::riders::Place;
use indigohold::net::peers::{self, Peers};
use indigohold::peers::payload::GossipPayload;
use indigohold::peers::{cluster, Config, MemberStatus, Peers as Ground};
use indigohold::shared::sharing::SharedTopics;
use indigohold::store::Journal;
use indigohold::{Micros, PeerId};
use indigohold_relay::Mesh;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::links::{sent, Tap};
use support::*;

/// Publishes the bytes that the test sends it, adds up the bytes that peers published, and blocks its thread on request.
struct ScriptedRider {
    bytes_to_publish: Receiver<u8>,
    hang_request: Receiver<()>,
    received_sum: Arc<AtomicU64>,
    tick_count: Arc<AtomicU64>,
    publishes_constantly: Arc<AtomicBool>,
}

impl GossipPayload for ScriptedRider {
    fn tick(&mut self, now: Micros, peers: &mut Ground) -> Micros {
        self.tick_count.fetch_add(1, Ordering::SeqCst);
        self.bytes_to_publish
            .try_iter()
            .for_each(|byte| assert!(peers.set(now, 200, u32::from(byte), &[byte])));
        if self.publishes_constantly.load(Ordering::SeqCst) {
            let value = now.0.to_le_bytes().repeat(6);
            (0..8).for_each(|id| assert!(peers.set(now, 201, id, &value)));
        }
        let received_sum = peers.get(200).map(|entry| u64::from(entry.value[0])).sum();
        self.received_sum.store(received_sum, Ordering::SeqCst);
        if self.hang_request.try_recv().is_ok() {
            // Blocks until the test drops the sender.
            let _ = self.hang_request.recv();
        }
        now + Micros(20_000)
    }

    fn figures(&self, _: Micros) -> Value {
        json!({"seen": self.received_sum.load(Ordering::SeqCst)})
    }
}

struct Node {
    courier: Arc<Courier>,
    peers: Peers,
    bytes_to_publish: Sender<u8>,
    hang_request: Sender<()>,
    received_sum: Arc<AtomicU64>,
    tick_count: Arc<AtomicU64>,
    publishes_constantly: Arc<AtomicBool>,
    _folder: Folder,
}

fn start_node(index: u16, node_addresses: &[SocketAddr]) -> Node {
    let (folder, clock) = (Folder::new(), Clock::start());
    let journal = Journal::open(&folder.0.join("state"), 3_000_000, clock.now()).unwrap();
    let courier = Arc::new(Courier::new(common::settings(), 1, clock, journal, Options::default()));
    let endpoint = EndpointRecord {
        name: "s-1".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        dest: 7,
        kind: "".into(),
        zone: "".into(),
        state: EndpointState::Up,
        weight: 1.0,
        rank: 0,
    };
    let update = ListUpdate::full(Source::Discovery, 1, vec![endpoint], clock.now());
    courier.report(Report::List { front: 0, update });
    let ((bytes_to_publish, publish_receiver), (hang_request, hang_receiver)) = (bounded(64), bounded(1));
    let (received_sum, tick_count, publishes_constantly): (Arc<AtomicU64>, Arc<AtomicU64>, Arc<AtomicBool>) =
        Default::default();
    let rider = ScriptedRider {
        bytes_to_publish: publish_receiver,
        hang_request: hang_receiver,
        received_sum: received_sum.clone(),
        tick_count: tick_count.clone(),
        publishes_constantly: publishes_constantly.clone(),
    };
    let addresses = PeerAddresses {
        listen: node_addresses[usize::from(index)],
        peers: (0..)
            .zip(node_addresses)
            .filter(|(i, _)| *i != index)
            .map(|(i, addr)| (PeerId(i), *addr))
            .collect(),
        broadcast: None,
        me: Some(PeerId(index)),
        member_count: node_addresses.len(),
    };
    let shared = Shared {
        config: Config {
            beat_interval: Micros(200_000),
            messages_per_s: 30.0,
            ..Config::new(cluster(["here"]))
        },
        place: Place {
            me: index,
            n: node_addresses.len(),
            incarnation: 1,
            seed: u64::from(index),
            matters: SharedTopics::ALL,
        },
        riders: vec![Box::new(rider)],
        claim: Box::new(|_, _| None),
    };
    let peers = peers::start(&courier, addresses, Some(shared)).unwrap();
    Node {
        courier,
        peers,
        bytes_to_publish,
        hang_request,
        received_sum,
        tick_count,
        publishes_constantly,
        _folder: folder,
    }
}

fn accept_message(courier: &Courier, id: u32) {
    let req = Req {
        id: format!("m-{id}"),
        front: 0,
        dest: 7,
        class: 0,
        tenant: 0,
        due: courier.clock.now() + Micros(20_000_000),
        head: String::new(),
        body: [1][..].into(),
        keep_id_until: Micros(0),
    };
    let answer = courier.report(Report::Req(req));
    assert!(matches!(answer, Answer::Taken(_)), "{answer:?}");
}

/// Guards against traffic or readers of the view that wait for a hung thread, and against a view that doesn't show its age.
#[test]
fn a_hung_thread_does_not_block_traffic_and_is_visible() {
    let reserved_sockets: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let node_addresses: Vec<SocketAddr> = reserved_sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(reserved_sockets);
    let (first, second) = (start_node(0, &node_addresses), start_node(1, &node_addresses));
    first.bytes_to_publish.send(5).unwrap();
    until("byte received", || second.received_sum.load(Ordering::SeqCst) == 5);
    until("published", || second.peers.shared.as_ref().unwrap().view().riders == [json!({"seen": 5})]);
    second.hang_request.send(()).unwrap();
    let shared = second.peers.shared.clone().unwrap();
    let now = || second.courier.clock.now();
    until("thread hangs", || now() - shared.turned() > Micros(1_500_000));
    let tick_count = second.tick_count.load(Ordering::SeqCst);
    first.bytes_to_publish.send(7).unwrap();
    // The 200 notes exceed the capacity of the thread's queue and of the socket's buffer.
    for id in 0..200 {
        if id < 20 {
            accept_message(&second.courier, id);
        }
        second.peers.tell(None, Note::EndpointRecovered("s-1".into()));
        second.courier.tick();
        let json = shared.json(now());
        assert!(json["turn_ms"].as_u64().unwrap() >= 1_500, "{json}");
    }
    assert!(second.peers.counts.unsent() > 0, "notes beyond the queue's capacity are dropped");
    assert_eq!(
        (second.tick_count.load(Ordering::SeqCst), second.received_sum.load(Ordering::SeqCst)),
        (tick_count, 5)
    );
    // The view is no longer updated, so its coverage falls as the reader's clock advances.
    until("coverage falls", || shared.view().fleet.coverage(now(), Micros(1_000_000), |_| 1.0) < 0.6);
    // `leave` returns soon after its deadline although the thread hangs.
    let deadline = Instant::now() + Duration::from_millis(50);
    second.peers.leave(deadline);
    assert!(deadline.elapsed() < Duration::from_secs(5));
    drop(second.hang_request);
    until("member has left", || {
        let view = first.peers.shared.as_ref().unwrap().view();
        view.fleet.members[1].standing == MemberStatus::Down
    });
}

/// Guards against a process that keeps its port after leaving, and against a member that has left and sends again.
#[test]
fn riders_receive_all_entries_and_a_leave_message_is_final() {
    let reserved_sockets: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let node_addresses: Vec<SocketAddr> = reserved_sockets.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(reserved_sockets);
    let nodes: Vec<Node> = (0..3).map(|index| start_node(index, &node_addresses)).collect();
    nodes.iter().zip([1, 10, 100]).for_each(|(n, byte)| n.bytes_to_publish.send(byte).unwrap());
    for (n, expected_sum) in nodes.iter().zip([110, 101, 11]) {
        until("all bytes of peers", || n.received_sum.load(Ordering::SeqCst) == expected_sum);
    }
    let standing_of_third = || nodes[0].peers.shared.as_ref().unwrap().view().fleet.members[2].standing;
    until("published", || standing_of_third() == MemberStatus::Alive);
    let shared_count = nodes[2].peers.counts.shared();
    assert!(shared_count > 0 && nodes[2].peers.counts.unknown() == 0);
    let deadline = Instant::now() + LONG;
    nodes[2].peers.leave(deadline);
    assert!(Instant::now() < deadline, "the thread ended before the deadline");
    // The port of the member that left can be bound again.
    UdpSocket::bind(node_addresses[2]).unwrap();
    until("member leaves", || standing_of_third() != MemberStatus::Alive);
    assert_eq!(standing_of_third(), MemberStatus::Down, "a silent member would be suspected first");
    assert_eq!(nodes[0].received_sum.load(Ordering::SeqCst), 110, "entries of a member that left remain");
}

/// Guards against riders that publish constantly and exceed the configured send budget, or leave it unused. The relay counts what
/// is sent.
#[test]
fn riders_that_publish_constantly_stay_within_the_budget() {
    let mesh = Arc::new(Mesh::new(3, 5).unwrap());
    let tap = Tap::new(&mesh);
    let started = Instant::now();
    let addresses_seen_by = |index: usize| mesh.places()[index].peers.clone();
    let nodes: Vec<Node> = (0..3).map(|index| start_node(index as u16, &addresses_seen_by(index))).collect();
    nodes.iter().for_each(|n| n.publishes_constantly.store(true, Ordering::SeqCst));
    // The byte rate allows the heartbeats to two receivers plus half as much; the burst saves up two seconds of it.
    let (receivers, heartbeats_per_s) = (2.0, 2.0 / 0.2);
    let rate = 1.5 * heartbeats_per_s * 112.0;
    std::thread::sleep(Duration::from_secs(5));
    let sent_per_node = sent(&mesh);
    let secs = started.elapsed().as_secs_f64();
    let bytes_without_overhead = |(notes, bytes): (u64, u64)| bytes as f64 - 6.0 * notes as f64;
    // Sending starts slowly: a node that publishes constantly stays slow for its first forty heartbeats.
    assert!(
        sent_per_node.iter().all(|s| bytes_without_overhead(*s) > 0.2 * rate * secs),
        "{sent_per_node:?} in {secs} s"
    );
    let notes = tap.most(started, 30.0, 2.25 * 30.0 + receivers, |(notes, _)| notes as f64);
    let bytes = tap.most(started, rate, 2.25 * rate + receivers * 250.0, bytes_without_overhead);
    assert_eq!((notes, bytes), (Ok(()), Ok(())));
    // Within that budget every entry still reaches every node.
    nodes.iter().for_each(|n| n.publishes_constantly.store(false, Ordering::SeqCst));
    let is_complete = |n: &Node| {
        let view = n.peers.shared.as_ref().unwrap().view();
        view.fleet.entries.len() == 16 && view.fleet.members.iter().all(|m| m.whole)
    };
    until("every entry at every node", || nodes.iter().all(is_complete));
}
