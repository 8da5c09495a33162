//! The thread that carries shared state, by itself: what it costs traffic when it hangs, and that riders have their turns.

mod common;
mod support;

use crossbeam_channel::{bounded, Receiver, Sender};
use indigohold::config::Addresses;
use indigohold::core::*;
use indigohold::net::peers::control::Shared;
use indigohold::net::peers::riders::Place;
use indigohold::net::peers::{self, Peers};
use indigohold::peers::rider::Rider;
use indigohold::peers::{cluster, Config, Peers as Ground, Standing};
use indigohold::shared::sharing::Matters;
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

/// Says what it is told to, counts what others say, and hangs once it is told so.
struct Scripted {
    say: Receiver<u8>,
    hang: Receiver<()>,
    seen: Arc<AtomicU64>,
    turns: Arc<AtomicU64>,
    loud: Arc<AtomicBool>,
}

impl Rider for Scripted {
    fn tick(&mut self, now: Micros, peers: &mut Ground) -> Micros {
        self.turns.fetch_add(1, Ordering::SeqCst);
        self.say.try_iter().for_each(|byte| assert!(peers.set(now, 200, u32::from(byte), &[byte])));
        if self.loud.load(Ordering::SeqCst) {
            let value = now.0.to_le_bytes().repeat(6);
            (0..8).for_each(|id| assert!(peers.set(now, 201, id, &value)));
        }
        let seen = peers.get(200).map(|said| u64::from(said.value[0])).sum();
        self.seen.store(seen, Ordering::SeqCst);
        if self.hang.try_recv().is_ok() {
            // Until the test ends.
            let _ = self.hang.recv();
        }
        now + Micros(20_000)
    }

    fn figures(&self, _: Micros) -> Value {
        json!({"seen": self.seen.load(Ordering::SeqCst)})
    }
}

struct Node {
    courier: Arc<Courier>,
    peers: Peers,
    say: Sender<u8>,
    hang: Sender<()>,
    seen: Arc<AtomicU64>,
    turns: Arc<AtomicU64>,
    loud: Arc<AtomicBool>,
    _folder: Folder,
}

fn node(me: u16, at: &[SocketAddr]) -> Node {
    let (folder, clock) = (Folder::new(), Clock::start());
    let journal = Journal::open(&folder.0.join("state"), 3_000_000, clock.now()).unwrap();
    let courier = Arc::new(Courier::new(common::settings(), 1, clock, journal, Options::default()));
    let line = EndpointRecord {
        name: "s-1".into(),
        addr: "127.0.0.1:9".parse().unwrap(),
        dest: 7,
        kind: 0,
        zone: 0,
        state: EndpointState::Up,
        weight: 1.0,
        rank: 0,
    };
    let word = ListUpdate::full(Source::Discovery, 1, vec![line], clock.now());
    courier.report(Report::List { front: 0, update: word });
    let ((say, told), (hang, hangs)) = (bounded(64), bounded(1));
    let (seen, turns, loud): (Arc<AtomicU64>, Arc<AtomicU64>, Arc<AtomicBool>) = Default::default();
    let (by, count, wild) = (seen.clone(), turns.clone(), loud.clone());
    let rider = Scripted { say: told, hang: hangs, seen: by, turns: count, loud: wild };
    let addresses = Addresses {
        listen: at[usize::from(me)],
        peers: (0..).zip(at).filter(|(i, _)| *i != me).map(|(i, addr)| (PeerId(i), *addr)).collect(),
        all: None,
        me: Some(PeerId(me)),
        places: at.len(),
    };
    let shared = Shared {
        config: Config { beat: Micros(200_000), notes: 30.0, ..Config::new(cluster(["here"])) },
        place: Place { me, n: at.len(), incarnation: 1, seed: u64::from(me), matters: Matters::ALL },
        riders: vec![Box::new(rider)],
        claim: Box::new(|_, _| None),
    };
    let peers = peers::start(&courier, addresses, Some(shared)).unwrap();
    Node { courier, peers, say, hang, seen, turns, loud, _folder: folder }
}

fn take(courier: &Courier, id: u32) {
    let req = Req {
        id: format!("m-{id}"),
        front: 0,
        dest: 7,
        class: 0,
        tenant: 0,
        due: courier.clock.now() + Micros(20_000_000),
        head: String::new(),
        body: [1][..].into(),
        keep_id: Micros(0),
    };
    let answer = courier.report(Report::Req(req));
    assert!(matches!(answer, Answer::Taken(_)), "{answer:?}");
}

/// Guards against traffic, or a reader of the view, that waits for the thread; and against a view that does not say that it is old.
#[test]
fn a_thread_that_hangs_costs_traffic_nothing_and_shows() {
    let held: Vec<_> = (0..2).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let at: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(held);
    let (one, two) = (node(0, &at), node(1, &at));
    one.say.send(5).unwrap();
    until("heard", || two.seen.load(Ordering::SeqCst) == 5);
    until("published", || two.peers.shared.as_ref().unwrap().view().riders == [json!({"seen": 5})]);
    two.hang.send(()).unwrap();
    let shared = two.peers.shared.clone().unwrap();
    let now = || two.courier.clock.now();
    until("it hangs", || now() - shared.turned() > Micros(1_500_000));
    let turns = two.turns.load(Ordering::SeqCst);
    one.say.send(7).unwrap();
    // More than its queue has room for, and more than the socket keeps.
    for id in 0..200 {
        if id < 20 {
            take(&two.courier, id);
        }
        two.peers.tell(None, Note::EndpointRecovered("s-1".into()));
        two.courier.tick();
        let json = shared.json(now());
        assert!(json["turn_ms"].as_u64().unwrap() >= 1_500, "{json}");
    }
    assert!(two.peers.counts.unsent() > 0, "what there was no room for is dropped");
    assert_eq!((two.turns.load(Ordering::SeqCst), two.seen.load(Ordering::SeqCst)), (turns, 5));
    // By the reader's clock the fleet is covered less and less.
    until("not covered", || shared.view().fleet.coverage(now(), Micros(1_000_000), |_| 1.0) < 0.6);
    // A farewell is not waited for.
    let by = Instant::now() + Duration::from_millis(50);
    two.peers.leave(by);
    assert!(by.elapsed() < Duration::from_secs(5));
    drop(two.hang);
    until("it has ended", || {
        let view = one.peers.shared.as_ref().unwrap().view();
        view.fleet.members[1].standing == Standing::Away
    });
}

/// Guards against a process that answers for another's port, and against a member that has left and speaks again.
#[test]
fn riders_hear_all_and_a_farewell_is_the_last_word() {
    let held: Vec<_> = (0..3).map(|_| UdpSocket::bind("127.0.0.1:0").unwrap()).collect();
    let at: Vec<SocketAddr> = held.iter().map(|s| s.local_addr().unwrap()).collect();
    drop(held);
    let nodes: Vec<Node> = (0..3).map(|me| node(me, &at)).collect();
    nodes.iter().zip([1, 10, 100]).for_each(|(n, byte)| n.say.send(byte).unwrap());
    for (n, others) in nodes.iter().zip([110, 101, 11]) {
        until("all that others say", || n.seen.load(Ordering::SeqCst) == others);
    }
    let stands = || nodes[0].peers.shared.as_ref().unwrap().view().fleet.members[2].standing;
    until("published", || stands() == Standing::Here);
    let told = nodes[2].peers.counts.shared();
    assert!(told > 0 && nodes[2].peers.counts.unknown() == 0);
    let by = Instant::now() + LONG;
    nodes[2].peers.leave(by);
    assert!(Instant::now() < by, "the thread has ended");
    // The former port is free again.
    UdpSocket::bind(at[2]).unwrap();
    until("it goes", || stands() != Standing::Here);
    assert_eq!(stands(), Standing::Away, "by silence it would be suspected first");
    assert_eq!(nodes[0].seen.load(Ordering::SeqCst), 110, "what it said goes on standing");
}

/// Guards against riders that always have something to say: what goes out is what the operators allow, by the relay's counts, and
/// it is used.
#[test]
fn riders_that_never_rest_stay_within_the_budget() {
    let mesh = Arc::new(Mesh::new(3, 5).unwrap());
    let tap = Tap::new(&mesh);
    let since = Instant::now();
    let at = |me: usize| mesh.places()[me].peers.clone();
    let nodes: Vec<Node> = (0..3).map(|me| node(me as u16, &at(me))).collect();
    nodes.iter().for_each(|n| n.loud.store(true, Ordering::SeqCst));
    // By the rate: beats of two receivers and half as much again, two seconds of it saved up.
    let (others, beats) = (2.0, 2.0 / 0.2);
    let rate = 1.5 * beats * 112.0;
    std::thread::sleep(Duration::from_secs(5));
    let all = sent(&mesh);
    let secs = since.elapsed().as_secs_f64();
    let less = |(notes, bytes): (u64, u64)| bytes as f64 - 6.0 * notes as f64;
    // Their lives begin slowly, and whoever never rests is slow for forty beats.
    assert!(all.iter().all(|s| less(*s) > 0.2 * rate * secs), "{all:?} in {secs} s");
    let notes = tap.most(since, 30.0, 2.25 * 30.0 + others, |(notes, _)| notes as f64);
    let bytes = tap.most(since, rate, 2.25 * rate + others * 250.0, less);
    assert_eq!((notes, bytes), (Ok(()), Ok(())));
    // Beside that all that is said reaches all.
    nodes.iter().for_each(|n| n.loud.store(false, Ordering::SeqCst));
    let whole = |n: &Node| {
        let view = n.peers.shared.as_ref().unwrap().view();
        view.fleet.entries.len() == 16 && view.fleet.members.iter().all(|m| m.whole)
    };
    until("all entries of all", || nodes.iter().all(whole));
}
