//! Which faults there are, and which of them a connection meets, where. No I/O and no clock. What is drawn by chance is
//! drawn from (seed, link, connection, rule), so that it does not matter who came first.

use crate::frames::Part;
pub use crate::links::{LinkName, Links};
use indigohold::checked::ObjectReader;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sha2::{Digest, Sha256};
use std::fmt;

/// A direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Way {
    /// From who dialled.
    Up,
    /// To who dialled.
    Down,
}

impl fmt::Display for Way {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(if *self == Way::Up { "up" } else { "down" })
    }
}

/// Where in a direction's stream something happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum At {
    /// Before this byte, counted from 0.
    Byte(u64),
    /// Before this byte of a part of a message.
    Message(u64, Part, u64),
    /// Behind the last byte of this message.
    Behind(u64),
}

/// What happens to a direction's bytes, or to the connection.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum What {
    /// Connections are refused.
    Refuse,
    /// They are taken, and nobody is dialled: they stay open and silent.
    Hold,
    /// From here on nothing is passed on, while it holds.
    Mute,
    /// From here on every byte comes later by so many microseconds, drawn in between, and by so much more for each second
    /// of the connection's life.
    Delay {
        /// At least.
        low: u64,
        /// At most.
        high: u64,
        /// More with each second.
        grows: u64,
    },
    /// From here on no more than so many bytes a second.
    Rate(u64),
    /// The connection ends here, both ways, by FIN.
    Fin,
    /// The same by RST.
    Rst,
    /// This direction ends here by FIN; the other goes on.
    HalfClose,
    /// So many bytes from here on are changed.
    Garble(u64),
    /// What follows comes so much later (microseconds), once.
    Pause(u64),
    /// A datagram is lost.
    Lose,
    /// It comes twice.
    Double,
    /// It comes behind the next one of its link.
    Swap,
}

impl What {
    /// Its word in files and records.
    pub fn word(&self) -> &'static str {
        match self {
            What::Refuse => "refuse",
            What::Hold => "hold",
            What::Mute => "mute",
            What::Delay { .. } => "delay",
            What::Rate(_) => "rate",
            What::Fin => "fin",
            What::Rst => "rst",
            What::HalfClose => "half_close",
            What::Garble(_) => "garble",
            What::Pause(_) => "pause",
            What::Lose => "lose",
            What::Double => "double",
            What::Swap => "swap",
        }
    }

    /// It is for datagrams, too, or for them only. Muted ones are lost, delayed ones may overtake each other.
    pub fn spoils_datagrams(&self) -> bool {
        matches!(self, What::Lose | What::Double | What::Swap | What::Delay { .. } | What::Mute)
    }

    /// It goes on from where it begins for as long as its rule holds.
    pub fn stands(&self) -> bool {
        matches!(self, What::Mute | What::Delay { .. } | What::Rate(_))
    }
}

/// One rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Its name in the record.
    pub name: String,
    /// Links.
    pub links: Links,
    /// Connections or datagrams of each link, from and to, by number.
    pub connections: (u64, u64),
    /// Of these every so manieth.
    pub every: u64,
    /// Of these by chance.
    pub chance: f64,
    /// Directions.
    pub ways: Vec<Way>,
    /// Where; for a byte, drawn between this one and `more` further.
    pub at: At,
    /// See `at`.
    pub more: u64,
    /// What.
    pub what: What,
    /// From when to when it holds, in seconds since the relay began.
    pub during: (f64, f64),
}

/// Always.
pub const ALWAYS: (f64, f64) = (0.0, 1e9);

impl Rule {
    /// A rule for all connections of some links, in both directions, from their first byte on.
    pub fn new(name: &str, links: &str, what: What) -> Result<Rule, String> {
        Ok(Rule {
            name: name.into(),
            links: Links::read(links)?,
            connections: (0, u64::MAX),
            every: 1,
            chance: 1.0,
            ways: vec![Way::Up, Way::Down],
            at: At::Byte(0),
            more: 0,
            what,
            during: ALWAYS,
        })
    }

    /// In one direction only.
    pub fn one_way(mut self, way: Way) -> Rule {
        self.ways = vec![way];
        self
    }

    /// From another place on.
    pub fn at(mut self, at: At) -> Rule {
        self.at = at;
        self
    }

    /// For connections from one number to another.
    pub fn on(mut self, first: u64, last: u64) -> Rule {
        self.connections = (first, last);
        self
    }

    /// Between two moments, in seconds since the relay began.
    pub fn during(mut self, from: f64, to: f64) -> Rule {
        self.during = (from, to);
        self
    }

    /// Whether it is about each connection of its links, so that there need be no listener at all.
    pub fn whole_link(&self) -> bool {
        self.connections == (0, u64::MAX) && self.every == 1 && self.chance >= 1.0
    }

    /// Whether it is about this connection.
    pub fn meets(&self, seed: u64, link: &LinkName, connection: u64) -> bool {
        let (first, last) = self.connections;
        self.links.has(link)
            && (first..=last).contains(&connection)
            && (connection - first).is_multiple_of(self.every.max(1))
            && (self.chance >= 1.0
                || stream(seed, link, connection, &self.name).random::<f64>() < self.chance)
    }

    /// Where it begins on this connection.
    pub fn place(&self, seed: u64, link: &LinkName, connection: u64) -> At {
        match self.at {
            At::Byte(first) if self.more > 0 => {
                let mut stream = stream(seed, link, connection, &format!("{}/place", self.name));
                At::Byte(first + stream.random_range(0..=self.more))
            }
            at => at,
        }
    }
}

/// Random numbers of one rule on one connection.
pub fn stream(seed: u64, link: &LinkName, connection: u64, rule: &str) -> Pcg64Mcg {
    let mut hash = Sha256::new();
    hash.update(seed.to_le_bytes());
    hash.update(connection.to_le_bytes());
    hash.update(link.to_string().as_bytes());
    hash.update([0]);
    hash.update(rule.as_bytes());
    let digest = hash.finalize();
    Pcg64Mcg::seed_from_u64(u64::from_le_bytes(digest[..8].try_into().expect("eight bytes of thirty-two")))
}

/// Reads a rule of a file.
pub fn read(doc: &ObjectReader) -> Rule {
    let whole = |name: &str, default: u64, most: u64| doc.whole(name, default, 0..=most);
    let ms = doc.span("ms", (100.0, 100.0), 0.0..=3.6e6);
    let grows = doc.number("grows_ms_per_s", 0.0, 0.0..=3.6e6);
    let rate = doc.whole("bytes_per_s", 10_000, 1..=1_000_000_000);
    let bytes = doc.whole("bytes", 1, 1..=1_000_000);
    let links = doc.text("links").unwrap_or_else(|| "*>*".into());
    let links = Links::read(&links).unwrap_or_else(|what| {
        doc.fault("links", what);
        Links(Vec::new())
    });
    let place = doc.span("byte", (0.0, 0.0), 0.0..=1e12);
    let (message, offset) = (whole("message", 0, 1 << 40), whole("offset", 0, 1 << 40));
    let part = doc.choice(
        "part",
        &[
            ("none", None),
            ("head", Some(Part::Head)),
            ("body", Some(Part::Body)),
            ("chunk_length", Some(Part::ChunkLength)),
            ("chunk", Some(Part::Chunk)),
            ("trailer", Some(Part::Trailer)),
        ],
    );
    let behind = doc.flag("behind", false);
    let at = match part {
        _ if behind => At::Behind(message),
        Some(part) => At::Message(message, part, offset),
        None => At::Byte(place.0 as u64),
    };
    let first = whole("first", 0, 1 << 40);
    let during = (doc.number("from_s", 0.0, 0.0..=1e9), doc.number("to_s", 1e9, 0.0..=1e9));
    if during.1 < during.0 {
        doc.fault("to_s", "it is before from_s");
    }
    let delay =
        What::Delay { low: (ms.0 * 1e3) as u64, high: (ms.1 * 1e3) as u64, grows: (grows * 1e3) as u64 };
    let words = [
        ("mute", What::Mute),
        ("refuse", What::Refuse),
        ("hold", What::Hold),
        ("delay", delay),
        ("rate", What::Rate(rate)),
        ("fin", What::Fin),
        ("rst", What::Rst),
        ("half_close", What::HalfClose),
        ("garble", What::Garble(bytes)),
        ("pause", What::Pause((ms.0 * 1e3) as u64)),
        ("lose", What::Lose),
        ("double", What::Double),
        ("swap", What::Swap),
    ];
    Rule {
        name: doc.text("name").unwrap_or_else(|| "unnamed".into()),
        links,
        connections: (first, doc.whole("last", 1 << 40, 0..=1 << 40).max(first)),
        every: doc.whole("every_nth", 1, 1..=1 << 40),
        chance: doc.number("chance", 1.0, 0.0..=1.0),
        ways: doc.choice("way", &[("both", 3), ("up", 1), ("down", 2)]).ways(),
        at,
        more: (place.1 - place.0) as u64,
        what: doc.choice("what", &words),
        during,
    }
}

trait Ways {
    fn ways(self) -> Vec<Way>;
}

impl Ways for i32 {
    fn ways(self) -> Vec<Way> {
        let all = [(1, Way::Up), (2, Way::Down)];
        all.into_iter().filter(|(bit, _)| self & bit != 0).map(|(_, way)| way).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn chance_falls_the_same_whoever_came_first_and_otherwise_by_seed() {
        let mut rule = Rule::new("r", "c*>e*", What::Rst).unwrap();
        (rule.chance, rule.at, rule.more) = (0.3, At::Byte(10), 90);
        let all = |seed: u64| -> Vec<(bool, At)> {
            (0..400)
                .map(|n| {
                    (
                        rule.meets(seed, &LinkName::new("c1", "e2"), n),
                        rule.place(seed, &LinkName::new("c1", "e2"), n),
                    )
                })
                .collect()
        };
        assert_eq!(all(1), all(1));
        assert_ne!(all(1), all(2));
        let met = all(1).iter().filter(|(met, _)| *met).count();
        assert!((80..160).contains(&met), "{met} of 400 at a chance of 0.3");
        assert!(all(1).iter().all(|(_, at)| matches!(at, At::Byte(n) if (10..=100).contains(n))));
    }

    #[test]
    fn a_file_s_rule_is_read_and_its_faults_are_named() {
        let text = br#"{"name":"x","links":"c1>registry","way":"down","what":"garble","part":"chunk_length","message":0,"first":2,"last":4,"every_nth":2}"#;
        let rule = indigohold::checked::read(text, read).unwrap();
        assert_eq!(rule.at, At::Message(0, Part::ChunkLength, 0));
        assert_eq!((rule.ways.as_slice(), rule.what), (&[Way::Down][..], What::Garble(1)));
        let met = |n| rule.meets(0, &LinkName::new("c1", "registry"), n);
        assert_eq!([met(1), met(2), met(3), met(4), met(6)], [false, true, false, true, false]);
        let bad = br#"{"links":"c1","what":"sing","from_s":3,"to_s":1,"colour":1}"#;
        let faults = indigohold::checked::read(bad, read).unwrap_err();
        let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
        assert_eq!(paths, ["links", "to_s", "what", "colour"]);
    }
}
