//! Calls that an earlier process left without an outcome, against attempts of later processes that never begin. Real processes,
//! a fault proxy before the partner, kills in series.

mod support;

use indigohold_relay::{Limits, LinkName, Relay, Rule, RuleNo, What};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

const WINDOW: Duration = Duration::from_millis(6_000);
const DONE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const OVER: &str = "over, of a message taken up";
const COURIERS: usize = 3;
const BACKLOG: i32 = 4;

/// The first call of a message hangs, so that it may have run; all later ones are taken.
fn first_hangs(_id: &str, nth: usize) -> Act {
    if nth == 1 {
        Act::Hang
    } else {
        Act::Answer(DONE)
    }
}

fn fleet(addr: SocketAddr) -> Vec<Site> {
    let one = |_| {
        let mut site = site(256, 64);
        site.list(&[instance("s-3", addr, 3, "up").replace("50.0", "0.0")]);
        site.config["settings"]["weights"] = "off".into();
        site.config["settings"]["loadReport"]["names"] = serde_json::json!([]);
        site.config["settings"]["profiles"][0]["repeatWindow"] = 6_000_000.into();
        site
    };
    (0..COURIERS).map(one).collect()
}

fn start_all(fleet: &[Site]) -> Vec<(Program, SocketAddr)> {
    fleet.iter().map(Site::start).collect()
}

fn kill_all(programs: Vec<(Program, SocketAddr)>) {
    programs.into_iter().for_each(|(program, _)| program.kill());
}

/// How attempts of the second processes fail before their first byte.
trait Obstacle {
    fn set(&mut self);
    fn lift(&mut self);
}

/// Connections to the partner are refused.
struct Refused {
    relay: Relay,
    rule: Option<RuleNo>,
}

impl Obstacle for Refused {
    fn set(&mut self) {
        let rule = Rule::new("refused", "couriers>partner", What::Refuse).unwrap();
        self.rule = Some(self.relay.add(rule).unwrap());
    }

    fn lift(&mut self) {
        assert!(self.relay.lift(self.rule.take().unwrap()).unwrap());
    }
}

/// Connections to the partner never come up: it accepts none, and its backlog is full.
struct NeverUp {
    addr: SocketAddr,
    paused: Arc<AtomicBool>,
    waiting: Vec<TcpStream>,
}

impl Obstacle for NeverUp {
    fn set(&mut self) {
        self.paused.store(true, Ordering::SeqCst);
        while let Ok(stream) = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200)) {
            self.waiting.push(stream);
        }
    }

    fn lift(&mut self) {
        self.waiting.clear();
        self.paused.store(false, Ordering::SeqCst);
    }
}

/// A partner whose accepting can be paused.
fn pausable() -> (Endpoint, NeverUp) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(BACKLOG).unwrap();
    let listener = TcpListener::from(socket);
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let paused = Arc::new(AtomicBool::new(false));
    let held = paused.clone();
    let accept = move || loop {
        let accepted = (!held.load(Ordering::SeqCst)).then(|| listener.accept().ok()).flatten();
        if let Some((stream, _)) = accepted {
            stream.set_nonblocking(false).unwrap();
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    (endpoint_of(addr, accept, first_hangs), NeverUp { addr, paused, waiting: Vec::new() })
}

/// One message for each courier: its call hangs and the courier is killed; the second process fails to begin a call and is killed;
/// the third starts when the window is over. Nothing may be sent then.
fn no_repeat_after_the_window(partner: &Endpoint, addr: SocketAddr, obstacle: &mut dyn Obstacle) {
    let fleet = fleet(addr);
    let first = start_all(&fleet);
    let begun = Instant::now();
    for (i, (_, addr)) in first.iter().enumerate() {
        assert_eq!(ask(*addr, api(&format!("m{i}")).as_bytes()).status(), 202);
    }
    until("the first calls", || (0..COURIERS).all(|i| partner.count(&format!("m{i}")) == 1));
    kill_all(first);
    obstacle.set();
    let mut second = start_all(&fleet);
    for (program, _) in &mut second {
        program.line_with(OVER);
    }
    assert!(begun.elapsed() < WINDOW, "this machine took so long that the window is over");
    kill_all(second);
    obstacle.lift();
    std::thread::sleep(
        (begun + WINDOW + Duration::from_millis(300)).saturating_duration_since(Instant::now()),
    );
    let _third = start_all(&fleet);
    until("the ends of all messages", || {
        let ended = |i: usize| fleet[i].discovery.noticed(&format!("m{i}")).is_some();
        (0..COURIERS).all(|i| ended(i) || partner.count(&format!("m{i}")) > 1)
    });
    for (i, site) in fleet.iter().enumerate() {
        assert_eq!(partner.count(&format!("m{i}")), 1, "sent again outside its window");
        assert_eq!(site.discovery.noticed(&format!("m{i}")).unwrap()["outcome"], "given_up");
    }
}

#[test]
fn a_refused_connection_does_not_clear_the_call_of_an_earlier_process() {
    let partner = endpoint(first_hangs);
    let relay = Relay::start(1, Vec::new(), Limits::default()).unwrap();
    let addr = relay.link(LinkName::new("couriers", "partner"), partner.addr).unwrap();
    no_repeat_after_the_window(&partner, addr, &mut Refused { relay, rule: None });
}

#[test]
fn a_connection_that_never_comes_up_does_not_clear_the_call_of_an_earlier_process() {
    let (partner, mut never_up) = pausable();
    no_repeat_after_the_window(&partner, partner.addr, &mut never_up);
}
