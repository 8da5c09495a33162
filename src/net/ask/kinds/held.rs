//! `held`: how many messages are held and owed, by what they are at, class, tenant and destination.

use super::place::name;
use super::{nothing_to_choose, Answers, Here, Piece, ELSEWHERE};
use crate::api::Micros;
use crate::ask::Kind;
use crate::control::schema::SettingsNames;
use crate::core::message_lookup;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// A copy of what is held serves for so long, however many ask.
const KEPT: Micros = Micros(200_000);
/// Destinations that are named, those with the most first; the others are summed up.
const DESTS: usize = 256;

#[derive(Default)]
pub(super) struct Held {
    last: Mutex<Option<(Micros, Piece)>>,
}

fn count(held: &[message_lookup::HeldMessage], words: &SettingsNames) -> Piece {
    let (mut at, mut class, mut tenant) = (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
    let mut dest: BTreeMap<u16, u64> = BTreeMap::new();
    for one in held {
        *at.entry(one.state.label()).or_insert(0u64) += 1;
        *class.entry(name(&words.classes, one.class)).or_insert(0u64) += 1;
        *tenant.entry(name(&words.tenants, one.tenant)).or_insert(0u64) += 1;
        *dest.entry(one.dest).or_insert(0) += 1;
    }
    let mut by_size: Vec<(u16, u64)> = dest.into_iter().collect();
    by_size.sort_by_key(|(number, n)| (std::cmp::Reverse(*n), *number));
    let others: u64 = by_size.iter().skip(DESTS).map(|(_, n)| n).sum();
    let dest: BTreeMap<String, u64> =
        by_size.iter().take(DESTS).map(|(number, n)| (number.to_string(), *n)).collect();
    let mut body = json!({"at": at, "class": class, "tenant": tenant, "dest": dest});
    if others > 0 {
        body["dest_others"] = Value::from(others);
    }
    Piece { figure: held.len() as u64, settles: false, body }
}

impl Answers for Held {
    fn kind(&self) -> Kind {
        Kind::Held
    }

    fn check(&self, _: &Here, subject: &str) -> Result<(), String> {
        nothing_to_choose(subject)
    }

    fn needs_core(&self) -> bool {
        true
    }

    fn answer(&self, here: &Here, _: &str) -> Result<Vec<Piece>, String> {
        let now = here.courier.clock.now();
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((_, piece)) = last.as_ref().filter(|(at, _)| now - *at < KEPT) {
            return Ok(vec![piece.clone()]);
        }
        // The core's lock is held for the copy alone; it is counted afterwards.
        let piece = count(&here.courier.held_messages().ok_or(ELSEWHERE)?, &here.words);
        *last = Some((now, piece.clone()));
        Ok(vec![piece])
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn all_is_counted_once_by_each_mark_and_many_destinations_are_summed_up() {
        let held = |dest, tenant, at| message_lookup::HeldMessage { dest, class: 0, tenant, state: at };
        let mut all: Vec<_> =
            (0..300).map(|dest| held(dest, 0, message_lookup::HeldState::Waiting)).collect();
        all.push(held(299, 1, message_lookup::HeldState::InFlight));
        let words = SettingsNames { classes: vec!["order".into()], tenants: vec!["t".into()] };
        let piece = count(&all, &words);
        assert_eq!((piece.figure, piece.settles), (301, false));
        assert_eq!(piece.body["at"], json!({"held": 300, "out": 1}));
        assert_eq!(piece.body["class"], json!({"order": 301}));
        assert_eq!(piece.body["tenant"], json!({"t": 300, "#1": 1}));
        assert_eq!((&piece.body["dest"]["299"], &piece.body["dest_others"]), (&json!(2), &json!(44)));
    }
}
