//! Administrative exclusions: the endpoints to which the operators allow no calls. No I/O: the caller stores a changed
//! set on disk before it confirms the change to anybody.

use std::collections::{BTreeSet, HashSet, VecDeque};
use std::fmt;

/// Longest name of an endpoint.
pub const MAX_NAME_BYTES: usize = 256;
/// Listed names that are remembered; the oldest are dropped first. Without a limit, the names would fill the memory
/// where endpoints come and go all day.
const MAX_LISTED_NAMES: usize = 8192;
/// Space for the names of all excluded endpoints, with the punctuation of the file.
pub const MAX_EXCLUDED_BYTES: usize = 8 * 1024;
/// Punctuation of the file per name.
const NAME_OVERHEAD_BYTES: usize = 4;

/// Names of endpoints that were listed at some time.
#[derive(Debug, Default)]
pub struct ListedNames {
    names: HashSet<String>,
    /// The names from the oldest to the newest.
    order: VecDeque<String>,
}

impl ListedNames {
    /// Adds names that are listed now.
    pub fn record<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        for name in names {
            if !self.names.contains(name) {
                self.names.insert(name.to_owned());
                self.order.push_back(name.to_owned());
                if self.order.len() > MAX_LISTED_NAMES {
                    if let Some(oldest) = self.order.pop_front() {
                        self.names.remove(&oldest);
                    }
                }
            }
        }
    }

    /// Whether an endpoint of this name was listed, as far as is remembered.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }
}

/// Why an exclusion cannot be changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExclusionError {
    /// The endpoint was never listed.
    NeverListed,
    /// The names of the excluded endpoints fill the space that is reserved for them.
    TooMany,
}

impl fmt::Display for ExclusionError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            ExclusionError::NeverListed => "no endpoint of this id was ever listed",
            ExclusionError::TooMany => "too many endpoints are out to write down another",
        })
    }
}

/// The set of excluded endpoints.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ExcludedEndpoints(BTreeSet<String>);

impl ExcludedEndpoints {
    /// Creates the set from those names that are valid, as far as there is space.
    pub fn from_names(names: impl IntoIterator<Item = String>) -> ExcludedEndpoints {
        let mut excluded = ExcludedEndpoints::default();
        for name in names {
            if !name.is_empty() && name.len() <= MAX_NAME_BYTES && excluded.has_space_for(&name) {
                excluded.0.insert(name);
            }
        }
        excluded
    }

    fn has_space_for(&self, name: &str) -> bool {
        let used: usize = self.0.iter().map(|name| name.len() + NAME_OVERHEAD_BYTES).sum();
        used + name.len() + NAME_OVERHEAD_BYTES <= MAX_EXCLUDED_BYTES
    }

    /// The set with one more endpoint; `None` if that is excluded already.
    pub fn exclude(
        &self, listed: &ListedNames, name: &str,
    ) -> Result<Option<ExcludedEndpoints>, ExclusionError> {
        if self.0.contains(name) {
            return Ok(None);
        }
        if !listed.contains(name) {
            return Err(ExclusionError::NeverListed);
        }
        if !self.has_space_for(name) {
            return Err(ExclusionError::TooMany);
        }
        let mut next = self.clone();
        next.0.insert(name.to_owned());
        Ok(Some(next))
    }

    /// The set without one endpoint; `None` if that is not excluded. An excluded endpoint can always be included again,
    /// even if its name is no longer remembered as listed.
    pub fn include(
        &self, listed: &ListedNames, name: &str,
    ) -> Result<Option<ExcludedEndpoints>, ExclusionError> {
        if !self.0.contains(name) {
            return if listed.contains(name) { Ok(None) } else { Err(ExclusionError::NeverListed) };
        }
        let mut next = self.clone();
        next.0.remove(name);
        Ok(Some(next))
    }

    /// Whether this endpoint is excluded.
    pub fn contains(&self, name: &str) -> bool {
        self.0.contains(name)
    }

    /// The names of all excluded endpoints.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.0.iter().map(String::as_str)
    }

    /// The names that are in only one of the two sets.
    pub fn differing_names(&self, other: &ExcludedEndpoints) -> Vec<String> {
        self.0.symmetric_difference(&other.0).cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn listed(names: &[&str]) -> ListedNames {
        let mut listed = ListedNames::default();
        listed.record(names.iter().copied());
        listed
    }

    #[test]
    fn only_listed_endpoints_can_be_excluded_and_one_call_includes_them_again() {
        let listed = listed(&["a", "b"]);
        let none = ExcludedEndpoints::default();
        assert_eq!(none.exclude(&listed, "x"), Err(ExclusionError::NeverListed));
        assert_eq!(none.include(&listed, "x"), Err(ExclusionError::NeverListed));
        assert_eq!(none.include(&listed, "a"), Ok(None));
        let excluded = none.exclude(&listed, "a").unwrap().unwrap();
        assert_eq!(excluded.exclude(&listed, "a"), Ok(None), "a repeated call has no effect");
        assert!(excluded.contains("a") && !excluded.contains("b"));
        assert_eq!(excluded.include(&listed, "a"), Ok(Some(ExcludedEndpoints::default())));
        let forgotten = ListedNames::default();
        assert_eq!(
            excluded.include(&forgotten, "a"),
            Ok(Some(ExcludedEndpoints::default())),
            "an excluded endpoint was listed once"
        );
        assert_eq!(excluded.differing_names(&none), ["a"]);
    }

    #[test]
    fn listed_names_and_exclusions_are_bounded() {
        let names: Vec<String> = (0..MAX_LISTED_NAMES + 10).map(|n| format!("s-{n}")).collect();
        let mut listed = ListedNames::default();
        listed.record(names.iter().map(String::as_str));
        assert!(!listed.contains("s-9") && listed.contains("s-10"));
        let long: Vec<String> = (0..64).map(|n| format!("{n:0>256}")).collect();
        listed.record(long.iter().map(String::as_str));
        let mut excluded = ExcludedEndpoints::default();
        let mut refused = 0;
        for name in &long {
            match excluded.exclude(&listed, name) {
                Ok(next) => excluded = next.unwrap(),
                Err(error) => {
                    assert_eq!(error, ExclusionError::TooMany);
                    refused += 1;
                }
            }
        }
        assert_eq!(refused, 64 - MAX_EXCLUDED_BYTES / 260);
        assert_eq!(ExcludedEndpoints::from_names(long).names().count(), MAX_EXCLUDED_BYTES / 260);
    }
}
