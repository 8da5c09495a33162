//! Notes between four running couriers through a mesh that loses, doubles and delays them, and what comes from strangers or is too
//! long: none of it ends a message, sends one twice, or keeps a courier from hearing the next.

mod support;

use indigohold::core::Note;
use indigohold::net::peers::frame;
use indigohold_relay::{Mesh, Place};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const LATE: Duration = Duration::from_millis(2_500);

fn start(
    folder: &Folder, place: &Place, (me, all): (usize, usize), discovery: SocketAddr,
) -> (Program, SocketAddr) {
    let mut settings = settings(20_000);
    settings["balancers"] = all.into();
    settings["me"] = me.into();
    settings["limits"]["peers"] = true.into();
    // Long enough for all that is told before the endpoint is back.
    settings["limits"]["tryLimit"] = 100.into();
    settings["profiles"][1]["deadline"] = 60_000_000.into();
    let config: Value = json!({
        "name": place.name, "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024, "disk_mb": 3}, "settings": settings,
        "peer_listen": place.listen.to_string(), "peers_all": place.all.to_string(),
        "peers": place.peers.iter().map(ToString::to_string).collect::<Vec<_>>()
    });
    let mut command = Command::new(env!("CARGO_BIN_EXE_indigohold"));
    surroundings(&mut command, &folder.0, &config.to_string());
    command.env("NODE_LOG", "info,peers=debug");
    let mut program = Program::of(command);
    program.line_with("ready; ");
    let addr = program.line_with("platform on ").rsplit(' ').next().unwrap().parse().unwrap();
    (program, addr)
}

fn take(addr: SocketAddr, id: &str) {
    let text = format!(
        "POST /api HTTP/1.1\r\nReq-Id: {id}\r\nReq-Kind: render-status\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: 59000\r\nContent-Length: 1\r\nX-Addressing: dest=3\r\n\r\nx"
    );
    until("taken", || ask(addr, text.as_bytes()).status() == 202);
}

/// All are told that an endpoint is back that is not: the first hears nothing of it, the second twice, the third seconds later.
/// When it is back in truth, each message is delivered, once.
#[test]
fn lost_doubled_late_strange_and_long_notes_harm_nothing() {
    let (up, answered) = (Arc::new(AtomicBool::new(false)), Arc::<Mutex<BTreeMap<String, usize>>>::default());
    let (is_up, done) = (up.clone(), answered.clone());
    let endpoint = endpoint(move |id, _| {
        if !is_up.load(Ordering::SeqCst) {
            return Act::Drop;
        }
        *done.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        Act::Answer(OK)
    });
    let discovery = discovery(&[instance("s-1", endpoint.addr, 3, "up")]);
    let mesh = Mesh::new(4, 1).unwrap();
    for text in [
        r#"{"name":"lost","links":"*>c1","what":"lose"}"#,
        r#"{"name":"twice","links":"*>c2","what":"double"}"#,
        r#"{"name":"late","links":"*>c3","what":"delay","ms":[2500,2600]}"#,
    ] {
        mesh.add(indigohold_relay::script::rule(text.as_bytes()).unwrap()).unwrap();
    }
    let folders: Vec<Folder> = (0..4).map(|_| Folder::new()).collect();
    let places = mesh.places().iter().zip(&folders).enumerate();
    let mut couriers: Vec<(Program, SocketAddr)> =
        places.map(|(n, (place, folder))| start(folder, place, (n, 4), discovery.addr)).collect();
    for (n, (program, addr)) in couriers.iter_mut().enumerate() {
        take(*addr, &format!("m{n}"));
        program.line_with("is out");
    }
    let back = frame::encode(&Note::EndpointRecovered("s-1".into())).unwrap();
    let at = Instant::now();
    (1..4).for_each(|to| mesh.say(0, to, &back).unwrap());
    couriers[2].0.line_with("heard 2,");
    couriers[3].0.line_with("heard 1,");
    assert!(at.elapsed() >= LATE, "{:?}", at.elapsed());
    let lost = mesh.counts(0, 1).unwrap();
    assert_eq!((lost.came, lost.lost, lost.passed), (1, 1, 0));
    mesh.say(1, 0, &[back.clone(), vec![0; 257 - back.len()]].concat()).unwrap();
    couriers[0].0.line_with(" long 1,");
    mesh.stranger(0, &back).unwrap();
    couriers[0].0.line_with("strangers 1,");
    assert!(answered.lock().unwrap().is_empty());
    up.store(true, Ordering::SeqCst);
    until("all delivered", || answered.lock().unwrap().len() == 4);
    // Whoever saw the return first told the others by the one address for all; the mesh passed it to each.
    until("a note of the return", || {
        let ways = (0..4).flat_map(|a| (0..4).map(move |b| (a, b)));
        ways.filter(|(a, b)| a != b).map(|(a, b)| mesh.counts(a, b).unwrap().came).sum::<u64>() >= 3 + 1 + 3
    });
    for (n, (_, addr)) in couriers.iter().enumerate() {
        take(*addr, &format!("n{n}"));
    }
    until("the next ones", || answered.lock().unwrap().len() == 8);
    for (program, _) in &mut couriers {
        program.signal("TERM");
        assert!(program.child.wait().unwrap().success());
    }
    let answered = answered.lock().unwrap();
    assert!(answered.values().all(|n| *n == 1), "{answered:?}");
    assert!(discovery.notices.lock().unwrap().is_empty());
}
