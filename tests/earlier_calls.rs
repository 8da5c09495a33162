//! Calls of unknown outcome across kills, with real processes and a fault proxy in front of the partner. A first
//! process is killed during a call; the attempt of a second process fails before its first byte. Guards against a
//! third process that takes this failure for the outcome of the call and sends the message again after the repeat
//! window.

mod support;

use indigohold_relay::{Limits, LinkName, Relay, Rule, RuleNo, What};
use socket2::{Domain, Socket, Type};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use support::crowd::*;
use support::*;

const REPEAT_WINDOW: Duration = Duration::from_millis(6_000);
const OK_REPLY: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
/// Part of the log line that a courier writes when an attempt for a recovered message has ended.
const RECOVERED_ATTEMPT_ENDED: &str = "over, of a message taken up";
const COURIER_COUNT: usize = 3;
const LISTEN_BACKLOG: i32 = 4;

/// Leaves the first call of a message unanswered, so that it may have run, and answers all later calls with 200.
fn hang_first_call(_id: &str, call_number: usize) -> Act {
    if call_number == 1 {
        Act::Hang
    } else {
        Act::Answer(OK_REPLY)
    }
}

fn create_environments(addr: SocketAddr) -> Vec<Environment> {
    let create_environment = |_| {
        let mut environment = environment(256, 64);
        environment.set_endpoints(&[instance("s-3", addr, 3, "up").replace("50.0", "0.0")]);
        environment.config["settings"]["weights"] = "off".into();
        environment.config["settings"]["loadReport"]["names"] = serde_json::json!([]);
        environment.config["settings"]["profiles"][0]["repeatWindow"] = 6_000_000.into();
        environment
    };
    (0..COURIER_COUNT).map(create_environment).collect()
}

fn start_all(environments: &[Environment]) -> Vec<(Program, SocketAddr)> {
    environments.iter().map(Environment::start).collect()
}

fn kill_all(programs: Vec<(Program, SocketAddr)>) {
    programs.into_iter().for_each(|(program, _)| program.kill());
}

/// A fault that makes the attempts of the second processes fail before their first byte.
trait ConnectFault {
    fn apply(&mut self);
    fn remove(&mut self);
}

/// Refuses connections to the partner.
struct RefusedConnections {
    relay: Relay,
    rule: Option<RuleNo>,
}

impl ConnectFault for RefusedConnections {
    fn apply(&mut self) {
        let rule = Rule::new("refused", "couriers>partner", What::Refuse).unwrap();
        self.rule = Some(self.relay.add(rule).unwrap());
    }

    fn remove(&mut self) {
        assert!(self.relay.lift(self.rule.take().unwrap()).unwrap());
    }
}

/// Keeps connections to the partner from being established: it accepts none, and its listen backlog is full.
struct FullBacklog {
    addr: SocketAddr,
    paused: Arc<AtomicBool>,
    backlog_connections: Vec<TcpStream>,
}

impl ConnectFault for FullBacklog {
    fn apply(&mut self) {
        self.paused.store(true, Ordering::SeqCst);
        while let Ok(stream) = TcpStream::connect_timeout(&self.addr, Duration::from_millis(200)) {
            self.backlog_connections.push(stream);
        }
    }

    fn remove(&mut self) {
        self.backlog_connections.clear();
        self.paused.store(false, Ordering::SeqCst);
    }
}

/// Starts a partner whose acceptor can be paused.
fn pausable_partner() -> (Endpoint, FullBacklog) {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
    socket.listen(LISTEN_BACKLOG).unwrap();
    let listener = TcpListener::from(socket);
    listener.set_nonblocking(true).unwrap();
    let addr = listener.local_addr().unwrap();
    let paused = Arc::new(AtomicBool::new(false));
    let acceptor_paused = paused.clone();
    let accept = move || loop {
        let accepted = (!acceptor_paused.load(Ordering::SeqCst)).then(|| listener.accept().ok()).flatten();
        if let Some((stream, _)) = accepted {
            stream.set_nonblocking(false).unwrap();
            return Some(stream);
        }
        std::thread::sleep(Duration::from_millis(2));
    };
    (
        endpoint_of(addr, accept, hang_first_call),
        FullBacklog { addr, paused, backlog_connections: Vec::new() },
    )
}

/// Hands one message to each courier. Its first call hangs and the courier is killed; the second process fails to
/// begin a call and is killed; the third starts after the repeat window. Checks that it gives the message up and
/// sends nothing.
fn check_no_repeat_after_the_window(
    partner: &Endpoint, partner_addr: SocketAddr, fault: &mut dyn ConnectFault,
) {
    let environments = create_environments(partner_addr);
    let first = start_all(&environments);
    let started = Instant::now();
    for (i, (_, courier_addr)) in first.iter().enumerate() {
        assert_eq!(ask(*courier_addr, request_text(&format!("m{i}")).as_bytes()).status(), 202);
    }
    until("the first calls", || (0..COURIER_COUNT).all(|i| partner.count(&format!("m{i}")) == 1));
    kill_all(first);
    fault.apply();
    let mut second = start_all(&environments);
    for (program, _) in &mut second {
        program.line_with(RECOVERED_ATTEMPT_ENDED);
    }
    assert!(started.elapsed() < REPEAT_WINDOW, "this machine was too slow: the repeat window has ended");
    kill_all(second);
    fault.remove();
    std::thread::sleep(
        (started + REPEAT_WINDOW + Duration::from_millis(300)).saturating_duration_since(Instant::now()),
    );
    let _third = start_all(&environments);
    until("the ends of all messages", || {
        let ended = |i: usize| environments[i].discovery.noticed(&format!("m{i}")).is_some();
        (0..COURIER_COUNT).all(|i| ended(i) || partner.count(&format!("m{i}")) > 1)
    });
    for (i, environment) in environments.iter().enumerate() {
        assert_eq!(partner.count(&format!("m{i}")), 1, "sent again after the repeat window");
        assert_eq!(environment.discovery.noticed(&format!("m{i}")).unwrap()["outcome"], "given_up");
    }
}

#[test]
fn a_refused_connection_does_not_settle_the_call_of_an_earlier_process() {
    let partner = endpoint(hang_first_call);
    let relay = Relay::start(1, Vec::new(), Limits::default()).unwrap();
    let addr = relay.link(LinkName::new("couriers", "partner"), partner.addr).unwrap();
    check_no_repeat_after_the_window(&partner, addr, &mut RefusedConnections { relay, rule: None });
}

#[test]
fn a_connection_that_is_never_established_does_not_settle_the_call_of_an_earlier_process() {
    let (partner, mut full_backlog) = pausable_partner();
    check_no_repeat_after_the_window(&partner, partner.addr, &mut full_backlog);
}
