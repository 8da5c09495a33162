//! Gossip notes between couriers and probes of endpoints, tested with the real program and with fake endpoints and peers.

mod common;
mod support;

use indigohold::config::PeerAddresses;
use indigohold::core::*;
use indigohold::net::peers::{self, frame};
use indigohold::store::Journal;
use indigohold::{Micros, Outcome, PeerId};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use support::asked::*;
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A datagram socket on an address that is free, and stays so for the program once this is dropped.
fn socket() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(LONG)).unwrap();
    socket
}

struct May {
    probe: bool,
    peers: bool,
}

fn config(discovery: SocketAddr, may: &May, connect_us: u64) -> Value {
    let mut settings = settings(20_000);
    settings["balancers"] = 2.into();
    settings["me"] = 0.into();
    settings["limits"]["probing"] = may.probe.into();
    settings["limits"]["peers"] = may.peers.into();
    settings["limits"]["connectTimeout"] = connect_us.into();
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "settings": settings
    })
}

/// The same with addresses of neighbours, this courier itself at the first place.
fn with_peers(mut config: Value, own: SocketAddr, peers: &[SocketAddr]) -> Value {
    let all = [own].iter().chain(peers).map(|addr| Value::from(addr.to_string())).collect::<Vec<_>>();
    config["peer_listen"] = all[0].clone();
    config["peers"] = all.into();
    config
}

fn api(id: &str, dest: u16) -> String {
    format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: render-status\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: 5000\r\nContent-Length: 1\r\nX-Addressing: dest={dest}\r\n\r\nx"
    )
}

fn start(folder: &Folder, config: &Value) -> (Program, SocketAddr) {
    let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_indigohold"));
    surroundings(&mut command, &folder.0, &config.to_string());
    command.env("NODE_LOG", "info,peers=debug");
    let mut program = Program::of(command);
    program.line_with("ready; ");
    let line = program.line_with("platform on ");
    let addr = line.rsplit(' ').next().unwrap().parse().unwrap();
    (program, addr)
}

/// The core in a time of its own.
struct World {
    core: Core,
    orders: crossbeam_channel::Receiver<Order>,
    now: Micros,
    _folder: Folder,
}

fn world(probes: bool, notes: bool, names: &[(&str, u16)]) -> World {
    let (folder, now) = (Folder::new(), Micros(1_000 * common::S));
    let mut settings = common::settings();
    (settings.limits.probes, settings.limits.gossip) = (probes, notes);
    settings.rules.overload_factor = None;
    let journal = Journal::open(&folder.0.join("state"), 3_000_000, now).unwrap();
    let (core, orders) = Core::new(settings, 1, now, journal, Options::default());
    let mut world = World { core, orders, now, _folder: folder };
    world.list(names, EndpointState::Up);
    world
}

impl World {
    fn list(&mut self, names: &[(&str, u16)], state: EndpointState) {
        let addr = "127.0.0.1:9".parse().unwrap();
        let line = |(name, dest): &(&str, u16)| EndpointRecord {
            name: (*name).into(),
            addr,
            dest: *dest,
            kind: "".into(),
            zone: "".into(),
            state,
            weight: 1.0,
            rank: 0,
        };
        let word = ListUpdate::full(Source::Discovery, 1, names.iter().map(line).collect(), self.now);
        self.core.report(self.now, Report::List { front: 0, update: word });
    }

    /// Takes a message on and has its client told.
    fn take(&mut self, id: &str, dest: u16) {
        let req = Req {
            id: id.into(),
            front: 0,
            dest,
            class: 0,
            tenant: 0,
            due: self.now + Micros(20 * common::S),
            head: String::new(),
            body: [1][..].into(),
            keep_id_until: Micros(0),
        };
        let answer = self.core.report(self.now, Report::Req(req));
        let Answer::Taken(msg) = answer else { panic!("{answer:?}") };
        self.core.report(self.now, Report::Answered(msg));
    }

    /// The next fetch, probe or note within so many milliseconds.
    fn next(&mut self, within_ms: u64) -> Option<Order> {
        for _ in 0..=within_ms {
            self.core.tick(self.now);
            let mut orders = self.orders.try_iter();
            let is = |o: &Order| matches!(o, Order::Fetch(_) | Order::Probe(_) | Order::Note { .. });
            if let Some(order) = orders.find(is) {
                return Some(order);
            }
            self.now = self.now + Micros(1000);
        }
        None
    }

    fn fetched(&mut self, within_ms: u64, end: End) {
        let order = self.next(within_ms);
        let Some(Order::Fetch(fetch)) = order else { panic!("{order:?}") };
        assert_eq!(self.core.report(self.now, Report::Begin(fetch.clone())), Answer::MayBegin(true));
        let (latency, load, said) = (Micros(1000), Vec::new(), String::new());
        self.core.report(self.now, Report::Done { fetch, end, latency, load, reply: said });
    }

    fn probe(&mut self) -> Probe {
        let order = self.next(10_000);
        let Some(Order::Probe(probe)) = order else { panic!("{order:?}") };
        probe
    }
}

/// Guards against a note that goes by numbers, which differ from courier to courier, and against one that is not heeded.
#[test]
fn a_note_opens_the_ramp_of_what_it_names_and_of_nothing_else() {
    let mut teller = world(false, true, &[("s-2", 8), ("s-1", 7)]);
    let mut hearer = world(false, true, &[("s-1", 7), ("s-3", 9)]);
    let mut alone = world(false, true, &[("s-1", 7), ("s-3", 9)]);
    for world in [&mut teller, &mut hearer, &mut alone] {
        world.take("m", 7);
        world.fetched(0, End::NotConnected);
        // It has no pause to wait for, unlike the first.
        world.take("n", 7);
    }
    teller.fetched(5_000, End::Delivered);
    let order = teller.next(0);
    let Some(Order::Note { to: None, note }) = order else { panic!("{order:?}") };
    assert_eq!(note, Note::EndpointRecovered("s-1".into()));
    let from = PeerId(1);
    assert!(!hearer.core.noted(hearer.now, from, &Note::EndpointRecovered("s-2".into())), "not listed here");
    assert!(
        hearer.core.noted(hearer.now, from, &Note::EndpointRecovered("s-3".into())),
        "in use: changes nothing"
    );
    assert!(hearer.next(100).is_none());
    assert!(hearer.core.noted(hearer.now, from, &note));
    hearer.fetched(100, End::Delivered);
    assert!(alone.next(200).is_none(), "without a note it is too early");
    let mut forbidden = world(false, false, &[("s-1", 7)]);
    assert!(!forbidden.core.noted(forbidden.now, from, &note));
}

/// Guards against an endpoint that stays half open, gets a message before a probe, or is probed twice, in a wait or draining.
#[test]
fn a_probe_goes_first_and_always_ends() {
    let mut world = world(true, false, &[("s-1", 7)]);
    world.take("m", 7);
    world.fetched(0, End::NotConnected);
    let first = world.probe();
    assert_eq!((first.dest, first.backend.name.as_str()), (7, "s-1"));
    assert!(world.next(3_000).is_none(), "one is out");
    assert!(world.core.may_probe(world.now, &first));
    world.core.report(world.now, Report::RetryAfter { front: 0, dest: 7, wait: Micros(common::S) });
    assert!(!world.core.may_probe(world.now, &first), "told to wait");
    world.now = world.now + Micros(common::S);
    assert!(world.core.may_probe(world.now, &first));
    world.core.probed(world.now, &first, Outcome::NotSent, Micros(0), Vec::new());
    assert!(!world.core.may_probe(world.now, &first), "it is over");
    let second = world.probe();
    world.list(&[("s-1", 7)], EndpointState::Draining);
    assert!(!world.core.may_probe(world.now, &second), "it drains");
    world.list(&[("s-1", 7)], EndpointState::Up);
    let wait = Some(Micros(2 * common::S));
    world.core.probed(world.now, &second, Outcome::Refused(wait), Micros(0), Vec::new());
    assert!(world.next(1_900).is_none(), "a wait told to a probe binds what is ordered");
    // Who answers, if only that it is full, is up: a message tries.
    world.fetched(1_000, End::Delivered);
}

/// Guards against a process that takes over and never gets the port, and against one that leaves and keeps it.
#[test]
fn the_port_goes_from_one_process_to_the_next() {
    let folders = (Folder::new(), Folder::new());
    let courier = |folder: &Folder| {
        let clock = Clock::start();
        let journal = Journal::open(&folder.0.join("state"), 3_000_000, clock.now()).unwrap();
        Arc::new(Courier::new(common::settings(), 1, clock, journal, Options::default()))
    };
    let (own, peer) = (socket(), socket());
    let (listen, from) = (own.local_addr().unwrap(), peer.local_addr().unwrap());
    drop(own);
    let at =
        PeerAddresses { listen, peers: vec![(PeerId(1), from)], broadcast: None, me: None, member_count: 2 };
    let (leaves, comes) = (courier(&folders.0), courier(&folders.1));
    let leaves = peers::start(&leaves, at.clone(), None).unwrap();
    let comes = peers::start(&comes, at, None).unwrap();
    let note = Note::EndpointRecovered("s-9".into());
    let bytes = frame::encode(&note).unwrap();
    peer.send_to(&bytes, listen).unwrap();
    until("heard by the first", || leaves.counts.unlisted() == 1);
    assert_eq!(comes.counts.unlisted(), 0);
    leaves.close();
    until("heard by the second", || {
        peer.send_to(&bytes, listen).unwrap();
        comes.counts.unlisted() + comes.counts.flooded() > 0
    });
    comes.tell(None, note.clone());
    let mut buf = [0; 300];
    let (n, sender) = peer.recv_from(&mut buf).unwrap();
    assert_eq!((frame::decode(&buf[..n]), sender), (Ok(note), listen));
    comes.tell(None, Note::EndpointRecovered("x".repeat(frame::MOST)));
    until("too long", || comes.counts.too_long() == 1);
}

#[test]
fn a_return_that_one_courier_saw_reaches_the_other() {
    let endpoint = asked(OUT);
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let may = May { probe: false, peers: true };
    let (one, two) = (socket(), socket());
    let (at_one, at_two) = (one.local_addr().unwrap(), two.local_addr().unwrap());
    let of = |own, peer| with_peers(config(discovery.addr, &may, 1_500_000), own, &[peer]);
    let (to_one, to_two) = (of(at_one, at_two), of(at_two, at_one));
    drop((one, two));
    let folders = (Folder::new(), Folder::new());
    let ((mut first, addr), (mut second, _)) = (start(&folders.0, &to_one), start(&folders.1, &to_two));
    until("taken", || ask(addr, api("m", 3).as_bytes()).status() == 202);
    first.line_with("is out");
    endpoint.mode.store(UP, Ordering::SeqCst);
    first.line_with("sent 1,");
    second.line_with("heard 1,");
}

/// Guards against acting on anything but an intact note from a listed peer, and against a flood that uses the courier's time.
#[test]
fn what_is_no_note_of_a_neighbour_changes_nothing_and_is_counted() {
    let endpoint = endpoint(|_, _| Act::Answer(OK));
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let (own, peer, stranger) = (socket(), socket(), socket());
    let at = own.local_addr().unwrap();
    let may = May { probe: false, peers: true };
    let config = with_peers(config(discovery.addr, &may, 1_500_000), at, &[peer.local_addr().unwrap()]);
    drop(own);
    let folder = Folder::new();
    let (mut program, addr) = start(&folder, &config);
    let good = frame::encode(&Note::EndpointRecovered("s-1".into())).unwrap();
    stranger.send_to(&good, at).unwrap();
    program.line_with("strangers 1,");
    peer.send_to(&[good.clone(), vec![0; 257 - good.len()]].concat(), at).unwrap();
    program.line_with(" long 1,");
    let mut rng = Pcg32::seed_from_u64(7);
    for size in 0..8 {
        let mut bytes = vec![0; size * 36];
        rng.fill_bytes(&mut bytes);
        // With a note's mark it would be one of some version.
        bytes.first_mut().into_iter().for_each(|first| *first &= 0x7f);
        peer.send_to(&bytes, at).unwrap();
        let mut bytes = good.clone();
        bytes[1 + size] ^= 1 << size;
        peer.send_to(&bytes, at).unwrap();
    }
    program.line_with("malformed 16,");
    peer.send_to(&frame::seal(1, b"of later").unwrap(), at).unwrap();
    program.line_with("unknown 1,");
    peer.send_to(&frame::encode(&Note::EndpointRecovered("s-9".into())).unwrap(), at).unwrap();
    let line = program.line_with("unlisted 1");
    assert!(line.contains("heard 0,") && line.contains("flooded 0,"), "{line}");
    peer.send_to(&good, at).unwrap();
    program.line_with("heard 1,");
    (0..200).for_each(|_| drop(peer.send_to(&good, at)));
    program.find("flooded", |l| (l.contains(" flooded ") && !l.contains(" flooded 0,")).then(String::new));
    assert_eq!(ask(addr, api("m", 3).as_bytes()).status(), 202);
    until("the call", || endpoint.count("m") == 1);
}

#[test]
fn nothing_goes_out_where_the_settings_forbid_it() {
    let endpoint = asked(OUT);
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let (own, peer) = (socket(), socket());
    let at = own.local_addr().unwrap();
    let may = May { probe: false, peers: false };
    let config = with_peers(config(discovery.addr, &may, 1_500_000), at, &[peer.local_addr().unwrap()]);
    let folder = Folder::new();
    // Its port is taken: where it were wanted, that would be said.
    let (mut program, addr) = start(&folder, &config);
    until("taken", || ask(addr, api("m", 3).as_bytes()).status() == 202);
    program.line_with("is out");
    let risked = endpoint.messages();
    endpoint.mode.store(UP, Ordering::SeqCst);
    until("the return", || endpoint.messages() > risked);
    assert_eq!(endpoint.questions(), 0);
    peer.set_nonblocking(true).unwrap();
    assert!(peer.recv(&mut [0; 300]).is_err(), "not one packet");
    let taken: Vec<String> = program.seen().filter(|l| l.contains("peers")).cloned().collect();
    assert!(taken.is_empty(), "{taken:?}");
}

#[test]
fn an_endpoint_that_is_out_is_asked_before_a_message_is_risked() {
    let endpoint = asked(OUT);
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let folder = Folder::new();
    let config = config(discovery.addr, &May { probe: true, peers: false }, 1_500_000);
    let (_program, addr) = start(&folder, &config);
    until("taken", || ask(addr, api("m", 3).as_bytes()).status() == 202);
    until("questions", || endpoint.questions() == 2);
    let risked = endpoint.messages();
    endpoint.mode.store(UP, Ordering::SeqCst);
    until("the message", || endpoint.messages() > risked);
    let sent = endpoint.sent.lock().unwrap().clone();
    let first = sent.iter().position(|asks| *asks).unwrap();
    let last = sent.iter().rposition(|asks| *asks).unwrap();
    assert!(sent[first..=last].iter().all(|asks| *asks), "no message in between: {sent:?}");
}

/// Guards against probes of what hangs that never end, and that hold up messages to others.
#[test]
fn a_probe_that_hangs_ends_by_its_deadline_and_holds_nobody_up() {
    let (hung, fine) = (asked(OUT), endpoint(|_, _| Act::Answer(OK)));
    let list = [instance("s-1", hung.addr, 3, "up"), instance("s-2", fine.addr, 4, "up")];
    let discovery = discovery(&list);
    let folder = Folder::new();
    let config = config(discovery.addr, &May { probe: true, peers: false }, 200_000);
    let (_program, addr) = start(&folder, &config);
    until("taken", || ask(addr, api("m", 3).as_bytes()).status() == 202);
    until("a message", || hung.messages() > 0);
    hung.mode.store(HANGS, Ordering::SeqCst);
    until("questions", || hung.questions() > 0);
    assert_eq!(ask(addr, api("other", 4).as_bytes()).status(), 202);
    until("the other", || fine.count("other") == 1);
    let so_far = hung.questions();
    until("one more question", || hung.questions() > so_far);
}

/// Guards against a broken wait: one that was told to a question binds messages and questions alike.
#[test]
fn a_wait_that_a_probe_is_told_binds_all() {
    let endpoint = asked(OUT);
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let folder = Folder::new();
    let config = config(discovery.addr, &May { probe: true, peers: false }, 1_500_000);
    let (_program, addr) = start(&folder, &config);
    until("taken", || ask(addr, api("m", 3).as_bytes()).status() == 202);
    until("a message", || endpoint.messages() > 0);
    endpoint.mode.store(WAITS, Ordering::SeqCst);
    until("taken", || ask(addr, api("n", 3).as_bytes()).status() == 202);
    until("what is next", || endpoint.told.lock().unwrap().is_some_and(|(_, next)| next.is_some()));
    let (told, next) = endpoint.told.lock().unwrap().unwrap();
    assert!(next.unwrap() - told >= WAIT, "{:?}", next.unwrap() - told);
}

#[test]
fn a_probe_that_is_out_does_not_keep_the_process() {
    let hung = asked(OUT);
    let discovery = discovery(&[instance("s-1", hung.addr, 3, "up")]);
    let folder = Folder::new();
    let config = config(discovery.addr, &May { probe: true, peers: false }, 120_000_000);
    let (mut program, addr) = start(&folder, &config);
    until("taken", || ask(addr, api("m", 3).as_bytes()).status() == 202);
    until("a message", || hung.messages() > 0);
    hung.mode.store(HANGS, Ordering::SeqCst);
    until("a question", || hung.questions() > 0);
    program.signal("TERM");
    until("its end", || program.child.try_wait().unwrap().is_some_and(|status| status.success()));
}
