//! One courier through several processes under load: signals in series, kills at the earliest moment, links that refuse, crowds.
//! All that is drawn comes from the seed.

pub mod clients;
pub mod partner;
pub mod record;
pub mod rules;

use crate::support::crowd::{environment, Environment};
use crate::support::{instance, Program};
use clients::{Client, Front};
use indigohold_relay::{Limits, LinkName, Relay, Rule, RuleNo, What};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use record::{Effect, Record};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A keyed message may be repeated for so long.
pub const WINDOW: Duration = Duration::from_millis(3_000);
/// New connections keep coming for so long after SIGTERM, and SIGKILL comes no sooner than this.
const FRONT_NOTICES: Duration = Duration::from_millis(400);
const KILL_AFTER_TERM: Duration = Duration::from_millis(3_700);
/// Calls hang for so long before some kills, so that they are out then.
const STALL_BEFORE_KILL: Duration = Duration::from_millis(300);
const RESTART_AFTER: Duration = Duration::from_millis(600);
const CLIENTS: usize = 6;
const SOCKETS: usize = 128;
const CROWD: usize = 200;
const LIVES: usize = 5;

/// How long clients pause, and of a hundred calls how many hang.
const LOADS: [(Duration, u32); 3] =
    [(Duration::from_millis(30), 8), (Duration::from_millis(150), 20), (Duration::from_millis(400), 50)];
/// After the longest deadline a message has its end so soon, a shared machine's own delay included.
const ENDED_BY: Duration = Duration::from_millis(2_500);

/// The moments and choices of one run.
struct Chance(Pcg64Mcg);

impl Chance {
    fn one_in(&mut self, n: u32) -> bool {
        self.0.next_u32().is_multiple_of(n)
    }

    fn between(&mut self, low_ms: u64, high_ms: u64) -> Duration {
        Duration::from_millis(low_ms + u64::from(self.0.next_u32()) % (high_ms - low_ms))
    }
}

fn config(site: &mut Environment, links: &[SocketAddr]) -> SocketAddr {
    let addr = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let entries = [instance("s-3", links[0], 3, "up"), instance("s-4", links[1], 4, "up")];
    site.set_endpoints(&entries.map(|entry| entry.replace("50.0", "0.0")));
    site.config["listen"] = addr.to_string().into();
    let settings = &mut site.config["settings"];
    settings["weights"] = "off".into();
    settings["loadReport"]["names"] = serde_json::json!([]);
    let mut profiles = Vec::new();
    for effect in Effect::ALL {
        let (name, deadline) = effect.class();
        let idempotency = match effect {
            Effect::Safe => "pure",
            Effect::Keyed => "token",
            Effect::Unsafe => "side_effect",
        };
        profiles.push(
            serde_json::json!({"aim": 500_000, "deadline": deadline.as_micros() as u64, "group": "all",
            "idempotency": idempotency, "lateWorth": 0.3, "name": name, "worth": 1.0,
            "repeatWindow": WINDOW.as_micros() as u64}),
        );
    }
    settings["profiles"] = profiles.into();
    addr
}

struct Run {
    chance: Chance,
    site: Environment,
    relay: Relay,
    refused: Vec<RuleNo>,
    stalled: Arc<AtomicBool>,
    front: Arc<Front>,
    record: Arc<Mutex<Record>>,
}

impl Run {
    fn start(&mut self) -> Program {
        // Destinations may be out of reach from before a process's start on, perhaps for several processes.
        if self.refused.is_empty() {
            for link in ["courier>p3", "courier>p4"] {
                if !self.chance.one_in(3) {
                    let rule = Rule::new("refused", link, What::Refuse).unwrap();
                    self.refused.push(self.relay.add(rule).unwrap());
                }
            }
        }
        let (program, _) = self.site.start();
        self.record.lock().unwrap().ready.push(Instant::now());
        self.front.closed.store(false, Ordering::SeqCst);
        program
    }

    fn heal(&mut self) {
        for rule in self.refused.drain(..) {
            self.relay.lift(rule).unwrap();
        }
    }

    /// Some of the process's life, and how it ends.
    fn life(&mut self, program: Program) {
        thread::sleep(self.chance.between(300, 1_500));
        if self.chance.one_in(3) {
            self.heal();
        }
        for _ in 0..self.chance.0.next_u32() % 3 {
            program.signal("HUP");
            thread::sleep(self.chance.between(1, 200));
        }
        if self.chance.one_in(3) {
            self.terminate(&program);
        } else if self.chance.one_in(2) {
            self.stalled.store(true, Ordering::SeqCst);
            thread::sleep(STALL_BEFORE_KILL);
        }
        self.front.closed.store(true, Ordering::SeqCst);
        self.front.kills.fetch_add(1, Ordering::SeqCst);
        program.kill();
        self.stalled.store(false, Ordering::SeqCst);
        if self.chance.one_in(2) {
            self.heal();
        }
        thread::sleep(RESTART_AFTER);
    }

    /// SIGTERM, other signals behind it, and the time until the kill.
    fn terminate(&mut self, program: &Program) {
        program.signal("TERM");
        let told = Instant::now();
        for signal in ["HUP", "TERM", "INT"] {
            if self.chance.one_in(2) {
                thread::sleep(self.chance.between(1, 100));
                program.signal(signal);
            }
        }
        thread::sleep((told + FRONT_NOTICES).saturating_duration_since(Instant::now()));
        self.front.closed.store(true, Ordering::SeqCst);
        thread::sleep((told + KILL_AFTER_TERM).saturating_duration_since(Instant::now()));
    }
}

/// Plays one seed; says which rules were broken, and what was played.
pub fn play(seed: u64) -> (Vec<String>, String) {
    let mut chance = Chance(Pcg64Mcg::seed_from_u64(seed));
    let record = Arc::new(Mutex::new(Record::default()));
    let relay = Relay::start(seed, Vec::new(), Limits::default()).unwrap();
    let (pause, hangs_percent) = LOADS[chance.0.next_u32() as usize % LOADS.len()];
    let acts = Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed ^ 0xac7)));
    let stalled = Arc::new(AtomicBool::new(false));
    let acts = partner::Acts { chance: acts, hangs_percent, stalled: stalled.clone() };
    let link = |dest: u16| {
        let addr = partner::start(dest, acts.clone(), record.clone());
        relay.link(LinkName::new("courier", format!("p{dest}")), addr).unwrap()
    };
    let links = [link(3), link(4)];
    let mut site = environment(SOCKETS, 64);
    let addr = config(&mut site, &links);
    let front = Arc::new(Front::default());
    let with_crowd = chance.one_in(3);
    let mut run = Run {
        chance,
        site,
        relay,
        refused: Vec::new(),
        stalled,
        front: front.clone(),
        record: record.clone(),
    };
    let mut program = run.start();
    let client = |number| {
        let client = Client { number, seed, pause, addr, front: front.clone(), record: record.clone() };
        thread::spawn(move || client.run())
    };
    let clients: Vec<_> = (0..CLIENTS).map(client).collect();
    let mut crowd: Vec<TcpStream> = Vec::new();
    for _ in 1..LIVES {
        if with_crowd {
            crowd = (0..CROWD).filter_map(|_| TcpStream::connect(addr).ok()).collect();
        }
        run.life(program);
        program = run.start();
    }
    thread::sleep(run.chance.between(300, 800));
    run.heal();
    front.over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().unwrap());
    drop(crowd);
    let longest = Effect::ALL.iter().map(|effect| effect.class().1).max().unwrap();
    thread::sleep(longest + ENDED_BY);
    program.kill();
    let mut record = record.lock().unwrap();
    let notices = run.site.discovery.notices.lock().unwrap();
    record.noticed.extend(notices.iter().map(|notice| notice["message"].as_str().unwrap().to_owned()));
    let played = format!(
        "seed {seed}: {} taken, {} refused, {} calls, {} notices, crowd {with_crowd}",
        record.taken.len(),
        record.refused,
        record.calls.len(),
        record.noticed.len()
    );
    (rules::broken(&record, WINDOW), played)
}
