//! Files of the relay: links, rules and limits, checked whole.

use crate::relay::Limits;
use crate::rules::{self, LinkName, Rule};
use indigohold::checked::{self, Doc, Fault};
use std::net::SocketAddr;

/// A file.
#[derive(Debug)]
pub struct Script {
    /// For what is drawn by chance.
    pub seed: u64,
    /// Links and their targets.
    pub links: Vec<(LinkName, SocketAddr)>,
    /// Rules.
    pub rules: Vec<Rule>,
    /// What it may hold.
    pub limits: Limits,
}

fn link(doc: &Doc) -> (LinkName, SocketAddr) {
    let text = |name: &str| {
        doc.text(name).unwrap_or_else(|| {
            doc.fault(name, "it is needed");
            String::new()
        })
    };
    let name = LinkName::new(text("from"), text("to"));
    let target = text("target").parse().unwrap_or_else(|_| {
        doc.fault("target", "it is no address, as in 127.0.0.1:8081");
        SocketAddr::from(([127, 0, 0, 1], 1))
    });
    if !target.ip().is_loopback() {
        doc.fault("target", "it is not on loopback");
    }
    (name, target)
}

fn script(doc: &Doc) -> Script {
    let usual = Limits::default();
    let limit = |name: &str, usual: usize, most: u64| doc.whole(name, usual as u64, 1..=most) as usize;
    Script {
        seed: doc.whole("seed", 1, 0..=1 << 53),
        links: doc.objects("links", 10_000, link),
        rules: doc.objects("rules", 10_000, rules::read),
        limits: Limits {
            connections: limit("connections", usual.connections, 1_000_000),
            bytes: limit("bytes", usual.bytes, 1 << 40),
        },
    }
}

impl Script {
    /// Reads a file; all that is wrong with it otherwise.
    pub fn read(text: &[u8]) -> Result<Script, Vec<Fault>> {
        checked::read(text, script)
    }
}

/// One rule by itself, as a command has it.
pub fn rule(text: &[u8]) -> Result<Rule, Vec<Fault>> {
    checked::read(text, rules::read)
}
