//! Links between parties, and how rules and groups name them: `c3`, `c3-7`, `c*`, `*`. No I/O.

use std::fmt;

/// A link: who dials, and whom.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkName {
    /// Who dials, as in `c3`.
    pub from: String,
    /// Whom, as in `e5`.
    pub to: String,
}

impl LinkName {
    /// A link by its two ends.
    pub fn new(from: impl Into<String>, to: impl Into<String>) -> LinkName {
        LinkName { from: from.into(), to: to.into() }
    }
}

impl fmt::Display for LinkName {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}>{}", self.from, self.to)
    }
}

/// Some of the parties: `*`, `c*`, `c3`, or `c3-7`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Ends {
    All(String),
    One(String),
    Between(String, u64, u64),
}

impl Ends {
    pub(crate) fn read(text: &str) -> Result<Ends, String> {
        if text.is_empty() {
            return Err("an end is missing".into());
        }
        let prefix = text.strip_suffix('*');
        if prefix.unwrap_or(text).contains('*') {
            return Err(format!("{text}: a star may only be last"));
        }
        if let Some(prefix) = prefix {
            return Ok(Ends::All(prefix.into()));
        }
        let Some((low, high)) = text.split_once('-') else { return Ok(Ends::One(text.into())) };
        let digits = low.len() - low.trim_end_matches(|c: char| c.is_ascii_digit()).len();
        let (prefix, low) = low.split_at(low.len() - digits);
        match (low.parse(), high.parse()) {
            (Ok(low), Ok(high)) if low <= high => Ok(Ends::Between(prefix.into(), low, high)),
            _ => Err(format!("{text}: a range is written as in c3-7")),
        }
    }

    pub(crate) fn has(&self, name: &str) -> bool {
        match self {
            Ends::All(prefix) => name.starts_with(prefix.as_str()),
            Ends::One(one) => one == name,
            Ends::Between(prefix, low, high) => name
                .strip_prefix(prefix.as_str())
                .and_then(|n| n.parse::<u64>().ok())
                .is_some_and(|n| (*low..=*high).contains(&n)),
        }
    }
}

/// Some of the links, as in `c0-7>* clients>c0-7`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Links(pub(crate) Vec<(Ends, Ends)>);

impl Links {
    /// Reads pairs `FROM>TO` with spaces between them.
    pub fn read(text: &str) -> Result<Links, String> {
        let one = |pair: &str| {
            let (from, to) = pair.split_once('>').ok_or(format!("{pair}: a link is written FROM>TO"))?;
            Ok((Ends::read(from)?, Ends::read(to)?))
        };
        let all: Vec<_> = text.split_whitespace().map(one).collect::<Result<_, String>>()?;
        match all.is_empty() {
            true => Err("no link is named".into()),
            false => Ok(Links(all)),
        }
    }

    /// Whether this link is among them.
    pub fn has(&self, link: &LinkName) -> bool {
        self.0.iter().any(|(from, to)| from.has(&link.from) && to.has(&link.to))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn links_are_named_by_ends_ranges_and_stars() {
        let links = Links::read("c0-7>* clients>c3 *>registry").unwrap();
        let has = |from: &str, to: &str| links.has(&LinkName::new(from, to));
        assert!(has("c0", "e5") && has("c7", "x") && has("clients", "c3") && has("c40", "registry"));
        assert!(!has("c8", "e5") && !has("clients", "c4") && !has("c", "e5") && !has("d3", "e1"));
        for bad in ["", "c3", "c7-3>e1", "c*x>e1", ">e1", "c1->e1"] {
            assert!(Links::read(bad).is_err(), "{bad}");
        }
    }
}
