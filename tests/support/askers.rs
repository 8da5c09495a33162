//! Couriers that ask each other: processes with doors on port 0, every link between two of them through one relay.
#![allow(dead_code)] // each test program uses its part

use crate::support::crowd::{connect, environment, submit, Environment, Response};
use crate::support::*;
use indigohold::net::ask::shape::AnswerShape;
use indigohold_relay::{Limits, LinkName, Mesh, Place, Relay, Rule, RuleNo, What};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::Path;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// A running fleet.
pub struct Fleet {
    pub relay: Relay,
    pub site: Environment,
    pub programs: Vec<Option<Program>>,
    pub doors: Vec<SocketAddr>,
    pub addrs: Vec<SocketAddr>,
    folders: Vec<Folder>,
    notes: Option<Vec<Place>>,
}

/// What a fleet is made of.
pub struct Plan<'a> {
    pub n: usize,
    /// Each one's operators' file but for the list of couriers.
    pub file: &'a dyn Fn(usize) -> Value,
    /// The settings let couriers speak to each other.
    pub may_ask: bool,
    /// Notes between them, by what is said of them to each.
    pub notes: Option<&'a Mesh>,
    /// Two slots each, so that many fit on a machine.
    pub lean: bool,
    /// The operators' file for histories.
    pub history: Option<&'a str>,
}

/// So many couriers; `file` is the operators' file but for the list of couriers.
pub fn fleet(n: usize, file: Value, may_ask: bool) -> Fleet {
    fleet_with(n, file, may_ask, None)
}

/// The same with notes between them.
pub fn fleet_with(n: usize, file: Value, may_ask: bool, notes: Option<&Mesh>) -> Fleet {
    fleet_of(&Plan { n, file: &|_| file.clone(), may_ask, notes, lean: false, history: None })
}

/// The partner delivers all but what has `hang` in its id.
pub fn fleet_of(plan: &Plan) -> Fleet {
    let Plan { n, may_ask, notes, .. } = *plan;
    let relay = Relay::start(1, Vec::new(), Limits::default()).unwrap();
    let mut site = environment(256, 64);
    site.endpoint = endpoint(|id, _| match id.contains("hang") {
        true => Act::Hang,
        false => Act::Answer(OK),
    });
    let entry = instance("s-0", site.endpoint.addr, 3, "up").replace("50.0", "50000.0");
    site.set_endpoints(&[entry]);
    site.config["control"] = "127.0.0.1:0".into();
    site.config["settings"]["limits"]["peers"] = may_ask.into();
    if plan.lean {
        site.config["settings"]["familyInfo"]["slots"] = 2.into();
    }
    let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let folders: Vec<Folder> = (0..n)
        .map(|from| {
            let couriers: Vec<Value> = (0..n)
                .map(|to| {
                    let link = LinkName::new(format!("c{from}"), format!("c{to}"));
                    let door = if from == to { nowhere } else { relay.link(link, nowhere).unwrap() };
                    let second = LinkName::new(format!("c{from}"), format!("second{to}"));
                    let second = relay.link(second, nowhere).unwrap().to_string();
                    json!({"name": format!("c{to}"), "door": door.to_string(), "second_door": second})
                })
                .collect();
            let folder = Folder::new();
            let mut file = (plan.file)(from);
            file["couriers"] = couriers.into();
            folder.write("ask.json", &file.to_string());
            folder.write("channel.json", r#"{"socket": "s"}"#);
            plan.history.into_iter().for_each(|text| drop(folder.write("history.json", text)));
            folder
        })
        .collect();
    let notes = notes.map(|mesh| mesh.places().to_vec());
    let mut fleet =
        Fleet { notes, relay, site, programs: Vec::new(), doors: Vec::new(), addrs: Vec::new(), folders };
    for i in 0..n {
        fleet.programs.push(None);
        fleet.doors.push(nowhere);
        fleet.addrs.push(nowhere);
        fleet.start(i);
    }
    fleet
}

impl Fleet {
    pub fn start(&mut self, i: usize) {
        let mut config = self.site.config.clone();
        config["name"] = format!("c{i}").into();
        if let Some(place) = self.notes.as_ref().map(|places| &places[i]) {
            let peers: Vec<String> = place.peers.iter().map(ToString::to_string).collect();
            config["settings"]["me"] = i.into();
            config["peer_listen"] = place.listen.to_string().into();
            config["peers"] = peers.into();
            let shared = json!({"enabled": true, "beat_ms": 200});
            std::fs::write(self.folder(i).join("shared.json"), shared.to_string()).unwrap();
        }
        let mut program = Program::start(&self.folders[i].0, &config, None);
        (self.doors[i], self.addrs[i]) = (program.addr("door"), program.addr("platform"));
        self.programs[i] = Some(program);
        (0..self.doors.len()).filter(|from| *from != i).for_each(|from| self.target(from, i, self.doors[i]));
        // Those that start later dial this one by links that are there already.
        for from in self.doors.len()..self.folders.len() {
            self.target(from, i, self.doors[i]);
        }
    }

    pub fn target(&self, from: usize, to: usize, door: SocketAddr) {
        assert!(self.relay.target(LinkName::new(format!("c{from}"), format!("c{to}")), door).unwrap());
    }

    /// The other address of a courier's door, for this one.
    pub fn second(&self, from: usize, to: usize, door: SocketAddr) {
        assert!(self.relay.target(LinkName::new(format!("c{from}"), format!("second{to}")), door).unwrap());
    }

    pub fn folder(&self, i: usize) -> &Path {
        &self.folders[i].0
    }

    pub fn kill(&mut self, i: usize) {
        self.programs[i].take().unwrap().kill();
    }

    /// SIGSTOP, once every thread of it stands still.
    pub fn stop(&self, i: usize) {
        let program = self.programs[i].as_ref().unwrap();
        program.signal("STOP");
        let tasks = format!("/proc/{}/task", program.child.id());
        let stands = |task: std::io::Result<std::fs::DirEntry>| {
            let stat = std::fs::read_to_string(task.unwrap().path().join("stat")).unwrap();
            stat.rsplit(") ").next().unwrap().starts_with('T')
        };
        until("it stands still", || std::fs::read_dir(&tasks).unwrap().all(stands));
    }

    pub fn go_on(&self, i: usize) {
        self.programs[i].as_ref().unwrap().signal("CONT");
    }

    pub fn rule(&self, links: &str, what: What) -> RuleNo {
        self.relay.add(Rule::new("rule", links, what).unwrap()).unwrap()
    }

    /// A message that this one takes on.
    pub fn hand_in(&self, i: usize, id: &str) {
        assert_eq!(submit(&mut connect(self.addrs[i]), id), Response::Status(202));
    }

    /// The words of an answer at the door.
    pub fn call(&self, i: usize, line: &str) -> String {
        call(self.doors[i], line)
    }

    pub fn ask(&self, i: usize, question: &str) -> AnswerShape {
        let text = self.call(i, &format!("ask {question}"));
        let line = text.strip_suffix("\nEOF\n").unwrap_or_else(|| panic!("{text}"));
        let answer: AnswerShape = serde_json::from_str(line).unwrap();
        sound(&answer);
        answer
    }
}

/// The words of an answer at a door.
pub fn call(door: SocketAddr, line: &str) -> String {
    let mut stream = connect(door);
    stream.write_all(format!("{line}\n").as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

/// What holds for every answer: each courier has come whole or is missing, never both, never neither.
pub fn sound(answer: &AnswerShape) {
    let whole = answer.parts.iter().filter(|p| p.whole).map(|p| p.courier.as_str());
    let mut all: Vec<&str> = whole.chain(answer.missing.iter().map(|m| m.courier.as_str())).collect();
    all.sort_unstable();
    let mut names: Vec<String> = (0..answer.fleet).map(|i| format!("c{i}")).collect();
    names.sort_unstable();
    assert_eq!(all, names, "{answer:?}");
    assert!(answer.complete == (answer.missing.is_empty() || answer.stopped == "found"), "{answer:?}");
}

/// Who is missing and why.
pub fn missing(answer: &AnswerShape) -> Vec<(&str, &str)> {
    answer.missing.iter().map(|m| (m.courier.as_str(), m.why.as_str())).collect()
}
