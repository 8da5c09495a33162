//! Endpoints that the operators have taken out by hand: which they are and what may be asked of them. No I/O: whoever
//! changes the set writes it down before anybody is told.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::fmt;

/// The longest name of an endpoint.
pub const NAME_MOST: usize = 256;
/// Names that are remembered as ever listed; the oldest go first. Danger: where endpoints come and go all day, their names
/// alone fill memory in the end.
const KNOWN_MOST: usize = 8192;
/// Room for the names of all that are out, in bytes with their marks.
pub const OUT_BYTES: usize = 8 * 1024;

/// Names that were listed at some time.
#[derive(Debug, Default)]
pub struct Known {
    names: HashSet<String>,
    order: VecDeque<String>,
}

impl Known {
    /// These are listed.
    pub fn listed<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            if !self.names.contains(name) {
                self.names.insert(name.to_owned());
                self.order.push_back(name.to_owned());
                if self.order.len() > KNOWN_MOST {
                    if let Some(old) = self.order.pop_front() {
                        self.names.remove(&old);
                    }
                }
            }
        }
    }

    /// Whether this was.
    pub fn knows(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

/// Why not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum No {
    /// It was never listed.
    NeverListed,
    /// So many are out that there is no room to write down another.
    TooMany,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            No::NeverListed => "no endpoint of this id was ever listed",
            No::TooMany => "too many endpoints are out to write down another",
        })
    }
}

/// The set itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Out(BTreeSet<String>);

impl Out {
    /// Those of these names that could be any, as far as there is room.
    pub fn of(names: impl IntoIterator<Item = String>) -> Out {
        let mut out = Out::default();
        for name in names {
            if !name.is_empty() && name.len() <= NAME_MOST && out.bytes() + name.len() + 4 <= OUT_BYTES {
                out.0.insert(name);
            }
        }
        out
    }

    fn bytes(&self) -> usize {
        self.0.iter().map(|n| n.len() + 4).sum()
    }

    /// With one more; `None`: it is out already.
    pub fn exclude(&self, known: &Known, name: &str) -> Result<Option<Out>, No> {
        if self.0.contains(name) {
            return Ok(None);
        }
        if !known.knows(name) {
            return Err(No::NeverListed);
        }
        if self.bytes() + name.len() + 4 > OUT_BYTES {
            return Err(No::TooMany);
        }
        let mut next = self.clone();
        next.0.insert(name.to_owned());
        Ok(Some(next))
    }

    /// Without one; `None`: it is not out. One that is out was listed, whoever remembers it.
    pub fn include(&self, known: &Known, name: &str) -> Result<Option<Out>, No> {
        if !self.0.contains(name) {
            return if known.knows(name) { Ok(None) } else { Err(No::NeverListed) };
        }
        let mut next = self.clone();
        next.0.remove(name);
        Ok(Some(next))
    }

    /// Whether this one is out.
    pub fn has(&self, name: &str) -> bool {
        self.0.contains(name)
    }

    /// All of them.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// Those whose state differs.
    pub fn differs(&self, other: &Out) -> Vec<String> {
        self.0.symmetric_difference(&other.0).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn known(names: &[&str]) -> Known {
        let mut known = Known::default();
        known.listed(names.iter().copied());
        known
    }

    #[test]
    fn only_what_was_listed_can_be_taken_out_and_one_call_puts_it_back() {
        let known = known(&["a", "b"]);
        let none = Out::default();
        assert_eq!(none.exclude(&known, "x"), Err(No::NeverListed));
        assert_eq!(none.include(&known, "x"), Err(No::NeverListed));
        assert_eq!(none.include(&known, "a"), Ok(None));
        let out = none.exclude(&known, "a").unwrap().unwrap();
        assert_eq!(out.exclude(&known, "a"), Ok(None), "a call that is repeated does no harm");
        assert!(out.has("a") && !out.has("b"));
        assert_eq!(out.include(&known, "a"), Ok(Some(Out::default())));
        let forgotten = Known::default();
        assert_eq!(out.include(&forgotten, "a"), Ok(Some(Out::default())), "out, so it was listed");
        assert_eq!(out.differs(&none), ["a"]);
    }

    #[test]
    fn names_and_bans_are_bounded() {
        let names: Vec<String> = (0..KNOWN_MOST + 10).map(|n| format!("s-{n}")).collect();
        let mut all = Known::default();
        all.listed(names.iter().map(String::as_str));
        assert!(!all.knows("s-9") && all.knows("s-10"));
        let long: Vec<String> = (0..64).map(|n| format!("{n:0>256}")).collect();
        all.listed(long.iter().map(String::as_str));
        let mut out = Out::default();
        let mut refused = 0;
        for name in &long {
            match out.exclude(&all, name) {
                Ok(next) => out = next.unwrap(),
                Err(no) => {
                    assert_eq!(no, No::TooMany);
                    refused += 1;
                }
            }
        }
        assert_eq!(refused, 64 - OUT_BYTES / 260);
        assert_eq!(Out::of(long).names().count(), OUT_BYTES / 260);
    }
}
