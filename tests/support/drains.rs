//! A program with a control channel, as the drains' tests start it.

use super::*;
use indigohold::control::client::{Client, ClientError};
use indigohold::control::schema::{DrainStatus, NewDrain};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

pub const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

pub struct Site {
    pub folder: Folder,
    pub discovery: Discovery,
    pub config: serde_json::Value,
}

/// A program's folder with its control channel on, and a discovery that lists these endpoints at their destinations.
pub fn site(endpoints: &[(&Endpoint, u16)]) -> Site {
    let entries: Vec<String> = endpoints
        .iter()
        .enumerate()
        .map(|(n, (e, dest))| instance(&format!("s-{n}"), e.addr, *dest, "up"))
        .collect();
    let discovery = discovery(&entries);
    let folder = Folder::new();
    folder.write("channel.json", r#"{"socket": "run/control.sock"}"#);
    let config = serde_json::json!({
        "listen": "127.0.0.1:0", "discovery": discovery.addr.to_string(), "seed": "0c",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 3},
        "known": {"generation": 0, "reset": true, "instances": serde_json::from_str::<serde_json::Value>(&format!("[{}]", entries.join(","))).unwrap()},
        "settings": settings(20_000)
    });
    Site { folder, discovery, config }
}

impl Site {
    pub fn socket(&self) -> PathBuf {
        self.folder.0.join("run/control.sock")
    }

    pub fn client(&self) -> Client {
        Client::new(&self.socket())
    }

    pub fn start(&self) -> (Program, SocketAddr) {
        let mut program = Program::start(&self.folder.0, &self.config, None);
        let addr = program.addr("platform");
        (program, addr)
    }

    /// The command line, on this instance.
    pub fn command(&self, args: &[&str]) -> (Option<i32>, String) {
        let out = Command::new(env!("CARGO_BIN_EXE_indigohold"))
            .args(args)
            .env("NODE_CHANNEL", self.folder.0.join("channel.json"))
            .output()
            .unwrap();
        let text = [out.stdout, out.stderr].concat();
        (out.status.code(), String::from_utf8(text).unwrap())
    }
}

pub fn api(id: &str, class: &str, dest: u16) -> String {
    format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nReq-Id: {id}\r\nReq-Kind: {class}\r\nReq-Owner: tallowood\r\n\
         Req-Deadline-Ms: {}\r\nIdempotency-Key: k-{id}\r\nX-Addressing: dest={dest}\r\nContent-Length: 1\r\n\r\nx",
        if class == "print-order" { 20_000 } else { 5_000 }
    )
}

pub fn hand_in(addr: SocketAddr, id: &str, class: &str, dest: u16) -> Http {
    ask(addr, api(id, class, dest).as_bytes())
}

pub fn wish(within_ms: u64) -> NewDrain {
    NewDrain { within_ms: Some(within_ms), ..NewDrain::default() }
}

pub fn word(failed: ClientError) -> String {
    match failed {
        ClientError::Problem(p) => p.short_kind().to_owned(),
        ClientError::Unreachable(e) => panic!("unreached: {e}"),
    }
}

pub fn ended(client: &mut Client, id: u64, state: &str) -> DrainStatus {
    let mut last = None;
    until(state, || {
        let drain = client.drain(id).unwrap();
        let there = drain.state == state;
        last = Some(drain);
        there
    });
    last.unwrap()
}
