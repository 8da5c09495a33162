//! Counts messages that took effect more than once.

use crate::record::{Fact, Record};
use crate::scenario::{Effect, Scenario};
use std::collections::{BTreeMap, HashMap, HashSet};

/// Messages of a class that took effect more than once, and are counted as doubles.
pub fn doubles(record: &Record, scenario: &Scenario) -> BTreeMap<u16, u64> {
    let (mut class_of, mut ran) = (HashMap::new(), HashSet::new());
    let mut out: BTreeMap<u16, u64> = BTreeMap::new();
    for (_, fact) in &record.facts {
        match *fact {
            Fact::Wanted { msg, class, .. } => drop(class_of.insert(msg, class)),
            Fact::Ran { msg, effect: true, .. } if !ran.insert(msg) => {
                let class = class_of.get(&msg).copied().unwrap_or_default();
                let safe = scenario.classes.get(usize::from(class)).is_some_and(|c| c.effect == Effect::Safe);
                if !safe {
                    *out.entry(class).or_default() += 1;
                }
            }
            _ => {}
        }
    }
    out
}
