//! `where ID`: where a message is. Whoever has it settles the question.

use super::{Answers, Here, Piece, ELSEWHERE};
use crate::admin::metrics::Ended;
use crate::ask::Kind;
use crate::control::schema::SettingsNames;
use crate::core::message_lookup;
use serde_json::{json, Value};

/// The longest id.
const ID_MOST: usize = 256;

pub(super) struct Place;

pub(super) fn name(list: &[String], place: u16) -> String {
    list.get(usize::from(place)).filter(|n| !n.is_empty()).cloned().unwrap_or_else(|| format!("#{place}"))
}

fn say(place: &message_lookup::MessageLocation, words: &SettingsNames) -> Value {
    match place {
        message_lookup::MessageLocation::Held { message: held, attempts: tries, deadline: due, backend } => {
            json!({
                "state": held.state.label(),
                "dest": held.dest,
                "class": name(&words.classes, held.class),
                "tenant": name(&words.tenants, held.tenant),
                "tries": tries,
                "due_ms": due.0 / 1_000,
                "backend": backend,
            })
        }
        message_lookup::MessageLocation::Ended { how, at } => {
            let how = match how {
                Ended::Completed => "delivered",
                Ended::Rejected => "handed_back",
                Ended::Failed => "given_up",
            };
            json!({"state": "ended", "how": how, "at_ms": at.0 / 1_000})
        }
        message_lookup::MessageLocation::KnownDuplicate => {
            json!({"state": "ended", "how": "not_known; it may have taken effect"})
        }
        message_lookup::MessageLocation::Unknown => json!({"state": "unknown"}),
    }
}

impl Answers for Place {
    fn kind(&self) -> Kind {
        Kind::Where
    }

    fn check(&self, _: &Here, subject: &str) -> Result<(), String> {
        let word = |s: &str| !s.is_empty() && s.len() <= ID_MOST && !s.contains(char::is_whitespace);
        word(subject).then_some(()).ok_or_else(|| "it takes one id".to_owned())
    }

    fn needs_core(&self) -> bool {
        true
    }

    fn answer(&self, here: &Here, subject: &str) -> Result<Vec<Piece>, String> {
        let place = here.courier.locate_message(subject).ok_or(ELSEWHERE)?;
        let found = place != message_lookup::MessageLocation::Unknown;
        let body = say(&place, &here.words);
        Ok(vec![Piece { figure: u64::from(found), settles: found, body }])
    }
}
