//! Couriers as processes that share state through the relay, and a member played by the test.

use super::links::Tap;
use super::*;
use indigohold::net::peers::frame;
use indigohold::peers::{cluster, Config, Peers, Recipient};
use indigohold::Micros;
use indigohold_relay::{Faults, Mesh};
use serde_json::{json, Value};
use std::net::UdpSocket;
use std::sync::atomic::AtomicBool;

/// How often members say that they are there: suspected after 1.5 s, away after 3 s.
pub const BEAT_MS: u64 = 200;
/// The operators' notes a second of each.
pub const NOTES: f64 = 60.0;

pub struct Fleet {
    pub mesh: Arc<Mesh>,
    pub tap: Tap,
    pub folders: Vec<Folder>,
    pub programs: Vec<Option<(Program, SocketAddr)>>,
    pub configs: Vec<Value>,
    pub discovery: Discovery,
    pub endpoint: Endpoint,
}

impl Fleet {
    /// So many couriers, and one place more for a [`Speaker`].
    pub fn new(n: usize, notes: bool, shared: bool) -> Fleet {
        Fleet::with(n, notes, shared, "50.0", |_, _| {
            Act::Answer("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        })
    }

    /// Beside an endpoint of this weight that does this.
    pub fn with(
        n: usize, notes: bool, shared: bool, weight: &str,
        act: impl Fn(&str, usize) -> Act + Send + Sync + 'static,
    ) -> Fleet {
        let mesh = Arc::new(Mesh::new(n + 1, 5).unwrap());
        let tap = Tap::new(&mesh);
        let endpoint = endpoint(act);
        let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up").replace("50.0", weight)]);
        let folders: Vec<Folder> = (0..n).map(|_| Folder::new()).collect();
        let configs = (0..n).map(|i| {
            let mut settings = settings(20_000);
            settings["balancers"] = (n + 1).into();
            settings["me"] = i.into();
            settings["limits"]["peers"] = notes.into();
            let place = &mesh.places()[i];
            let peers: Vec<String> = place.peers.iter().map(ToString::to_string).collect();
            json!({
                "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "discovery": discovery.addr.to_string(),
                "seed": "0c", "limits": {"memory_mb": 192, "sockets": 256, "disk_mb": 3}, "settings": settings,
                "peer_listen": place.listen.to_string(), "peers": peers,
            })
        });
        let configs = configs.collect();
        for folder in &folders {
            let text =
                json!({"enabled": shared, "beat_ms": BEAT_MS, "notes_per_s": NOTES, "share_limits": true});
            folder.write("shared.json", &text.to_string());
            folder.write("channel.json", r#"{"enabled": true, "socket": "control.sock"}"#);
        }
        let programs = (0..n).map(|_| None).collect();
        Fleet { mesh, tap, folders, programs, configs, discovery, endpoint }
    }

    /// All ways from the first to the second have these faults from now on.
    pub fn spoil(&self, from: &[usize], to: &[usize], faults: Faults) {
        let pairs = from.iter().flat_map(|i| to.iter().map(move |j| (*i, *j))).filter(|(i, j)| i != j);
        pairs.for_each(|(i, j)| self.mesh.link(i, j, faults).unwrap());
    }

    /// No faults any more.
    pub fn heal(&self) {
        self.mesh.all(Faults::default()).unwrap();
        self.mesh.heal().unwrap();
    }

    pub fn started(n: usize) -> Fleet {
        let mut fleet = Fleet::new(n, true, true);
        (0..n).for_each(|i| fleet.start(i));
        fleet
    }

    pub fn start(&mut self, i: usize) {
        self.programs[i] = Some(self.one_more(i));
    }

    /// All are started, and each has heard of each.
    pub fn gather(&mut self, secs: f64) {
        let all: Vec<usize> = (0..self.programs.len()).collect();
        all.iter().for_each(|i| self.start(*i));
        within(secs, "all here", || self.all_say(&all, &all, "here"));
    }

    /// A process on the folder of this one.
    pub fn one_more(&self, i: usize) -> (Program, SocketAddr) {
        let mut program = Program::start(&self.folders[i].0, &self.configs[i], None);
        let door = program.addr("door");
        (program, door)
    }

    /// Where it takes messages.
    pub fn listening(&mut self, i: usize) -> SocketAddr {
        self.programs[i].as_mut().unwrap().0.addr("platform")
    }

    pub fn kill(&mut self, i: usize) {
        self.programs[i].take().unwrap().0.kill();
    }

    pub fn signal(&self, i: usize, name: &str) {
        self.programs[i].as_ref().unwrap().0.signal(name);
    }

    /// The words of an answer at its door.
    pub fn call(&self, i: usize, line: &str) -> String {
        let mut stream = crowd::connect(self.programs[i].as_ref().unwrap().1);
        stream.write_all(format!("{line}\n").as_bytes()).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    /// What one of them believes, by its door.
    pub fn view(&self, i: usize) -> Value {
        view(self.programs[i].as_ref().unwrap().1)
    }

    /// What `indigohold status` prints of one of them.
    pub fn status(&self, i: usize) -> String {
        let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
        let out = command.args(["status", "--channel"]).arg(self.folders[i].0.join("channel.json")).output();
        String::from_utf8(out.unwrap().stdout).unwrap()
    }

    /// How it says that another stands, and in which life.
    pub fn stands(&self, by: usize, member: usize) -> (String, u64) {
        let seen = &self.view(by)["members"][member];
        (seen["standing"].as_str().unwrap().to_owned(), seen["incarnation"].as_u64().unwrap())
    }

    /// Whether each of these says `word` of each of those.
    pub fn all_say(&self, by: &[usize], members: &[usize], word: &str) -> bool {
        by.iter().all(|by| {
            let view = self.view(*by);
            members.iter().all(|m| m == by || view["members"][*m]["standing"] == word)
        })
    }

    /// Whether each of these holds so many entries of others, and lacks nothing.
    pub fn all_hold(&self, by: &[usize], entries: usize) -> bool {
        by.iter().all(|by| {
            let view = self.view(*by);
            view["entries"] == entries
                && view["members"].as_array().unwrap().iter().all(|m| m["whole"] == true)
        })
    }
}

/// The shared part of the figures at a door; null if there is none.
pub fn view(door: SocketAddr) -> Value {
    let mut stream = crowd::connect(door);
    stream.write_all(b"telemetry\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    let figures: Value = serde_json::from_str(answer.lines().next().unwrap()).unwrap();
    figures["shared"].clone()
}

/// Waits until something holds, which it must within this time; how long it took.
pub fn within(secs: f64, what: &str, mut holds: impl FnMut() -> bool) -> Duration {
    let since = Instant::now();
    while !holds() {
        assert!(since.elapsed().as_secs_f64() < secs, "not within {secs} s: {what}");
        thread::sleep(Duration::from_millis(20));
    }
    since.elapsed()
}

/// The last member, played by the test: it says what it is told to.
pub struct Speaker {
    pub peers: Arc<Mutex<Peers>>,
    over: Arc<AtomicBool>,
    since: Instant,
    thread: Option<thread::JoinHandle<()>>,
}

impl Speaker {
    pub fn new(mesh: &Mesh) -> Speaker {
        let me = mesh.places().len() - 1;
        let config = Config {
            beat_interval: Micros(BEAT_MS * 1_000),
            messages_per_s: NOTES,
            ..Config::new(cluster(["fleet"]))
        };
        let peers = Peers::new(config, Micros(0), me as u16, me + 1, 1, 9);
        let (peers, since) = (Arc::new(Mutex::new(peers)), Instant::now());
        let over = Arc::new(AtomicBool::new(false));
        let socket = UdpSocket::bind(mesh.places()[me].listen).unwrap();
        socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
        let to = mesh.places()[me].peers[..me].to_vec();
        let (ground, end) = (peers.clone(), over.clone());
        let thread = thread::spawn(move || {
            let mut buf = [0; 2048];
            while !end.load(Ordering::SeqCst) {
                let got = socket.recv_from(&mut buf).ok();
                let now = Micros(since.elapsed().as_micros() as u64);
                let mut ground = ground.lock().unwrap();
                if let Some((n, from)) = got {
                    let from = to.iter().position(|addr| *addr == from).unwrap();
                    if let Ok((frame::SHARED, body)) = frame::open(&buf[..n]) {
                        let _ = ground.receive(now, Some(from as u16), body);
                    }
                }
                for (whom, body) in ground.tick(now) {
                    let bytes = frame::seal(frame::SHARED, &body).unwrap();
                    let all = || to.clone();
                    let to = if let Recipient::One(i) = whom { vec![to[usize::from(i)]] } else { all() };
                    to.iter().for_each(|to| drop(socket.send_to(&bytes, to)));
                }
            }
        });
        Speaker { peers, over, since, thread: Some(thread) }
    }

    /// Says so many entries of full length, numbered from here, with values of their own.
    pub fn say(&self, from: u32, count: u32) {
        let now = Micros(self.since.elapsed().as_micros() as u64);
        let value = now.0.to_le_bytes().repeat(6);
        let mut peers = self.peers.lock().unwrap();
        (from..from + count).for_each(|id| assert!(peers.set(now, 200, id, &value)));
    }
}

impl Drop for Speaker {
    fn drop(&mut self) {
        self.over.store(true, Ordering::SeqCst);
        self.thread.take().into_iter().for_each(|t| drop(t.join()));
    }
}
