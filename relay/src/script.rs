//! Files of the relay: links, rules and limits, checked whole.

use crate::links::Ends;
use crate::relay::Limits;
use crate::rules::{self, LinkName, Rule};
use indigohold::checked::{self, Fault, ObjectReader};
use std::collections::HashSet;
use std::net::SocketAddr;

/// A file.
#[derive(Debug)]
pub struct Script {
    /// For what is drawn by chance.
    pub seed: u64,
    /// Couriers with the relay between their datagrams: names, and own addresses where these are given.
    pub couriers: Vec<(String, Option<SocketAddr>)>,
    /// Links and their targets.
    pub links: Vec<(LinkName, SocketAddr)>,
    /// Rules.
    pub rules: Vec<Rule>,
    /// What it may hold.
    pub limits: Limits,
}

fn link(doc: &ObjectReader) -> (LinkName, SocketAddr) {
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

/// An address on loopback, if one is given.
fn courier(doc: &ObjectReader) -> (String, Option<SocketAddr>) {
    let listen = doc.text("listen").and_then(|text| {
        let addr = text.parse::<SocketAddr>().ok().filter(|addr| addr.ip().is_loopback());
        if addr.is_none() {
            doc.fault("listen", "it is no address on loopback, as in 127.0.0.1:7000");
        }
        addr
    });
    let name = doc.text("name").unwrap_or_else(|| {
        doc.fault("name", "it is needed");
        String::new()
    });
    (name, listen)
}

fn script(doc: &ObjectReader) -> Script {
    let usual = Limits::default();
    let limit = |name: &str, usual: usize, most: u64| doc.whole(name, usual as u64, 1..=most) as usize;
    let couriers = doc.objects("couriers", 1_000, courier);
    let (mut names, mut addrs) = (HashSet::new(), HashSet::new());
    for (n, (name, addr)) in couriers.iter().enumerate() {
        if !names.insert(name) || addr.is_some_and(|addr| !addrs.insert(addr)) {
            doc.fault("couriers", format!("[{n}] has the name or the address of an earlier one"));
        }
    }
    Script {
        couriers,
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

/// Groups of couriers as a command has them, `c0-1 c2-4`: places of those that each word names.
pub fn groups(text: &str, names: &[&str]) -> Result<Vec<Vec<usize>>, String> {
    let group = |word: &str| {
        let ends = Ends::read(word)?;
        let group: Vec<usize> = (0..names.len()).filter(|n| ends.has(names[*n])).collect();
        if group.is_empty() {
            return Err(format!("{word}: there is no such courier"));
        }
        Ok(group)
    };
    text.split_whitespace().map(group).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn couriers_are_read_and_groups_named() {
        let text = br#"{"couriers":[{"name":"c0"},{"name":"c1","listen":"127.0.0.1:7001"}]}"#;
        let read = Script::read(text).unwrap().couriers;
        assert_eq!(read, [("c0".into(), None), ("c1".into(), Some("127.0.0.1:7001".parse().unwrap()))]);
        let bad =
            br#"{"couriers":[{"name":"c0","listen":"10.0.0.1:1"},{"name":"c0"},{"listen":"127.0.0.1:1"}]}"#;
        let paths: Vec<String> = Script::read(bad).unwrap_err().into_iter().map(|f| f.path).collect();
        assert_eq!(paths, ["couriers[0].listen", "couriers[2].name", "couriers"]);
        let names = ["c0", "c1", "c2", "d0"];
        assert_eq!(groups("c0-1 d*", &names), Ok(vec![vec![0, 1], vec![3]]));
        assert!(groups("c0 e1", &names).is_err() && groups("c2-1", &names).is_err());
    }
}
