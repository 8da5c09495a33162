//! Questions to the fleet over the control channel.

use super::schema::Problem;
use crate::api::Micros;
use crate::core::Clock;
use crate::net::ask::shape::{kind, AnswerShape};
use crate::net::ask::Asker;
use crossbeam_channel::bounded;
use serde::{Deserialize, Serialize};

/// The asker ends each question in time; this much more is waited for its word.
const SLACK: Micros = Micros(500_000);

/// A question.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetQuery {
    /// The word of its kind.
    pub kind: String,
    /// What exactly.
    #[serde(default)]
    pub subject: String,
}

/// Asks, and waits for the answer on the session's own thread.
pub(super) fn ask(fleet: Option<&Asker>, clock: &Clock, body: &[u8]) -> Result<AnswerShape, Problem> {
    let refuse = |detail: String| Problem::new("question", 422, "the question can't be asked so", detail);
    let fleet = fleet.ok_or_else(|| Problem::new("path", 404, "no such path", "questions are off"))?;
    let question: FleetQuery = serde_json::from_slice(body).map_err(|e| refuse(e.to_string()))?;
    let kind = kind(&question.kind).ok_or_else(|| refuse(format!("{:?} is no kind", question.kind)))?;
    if question.subject.chars().any(char::is_control) || question.subject.len() > 512 {
        return Err(refuse("the subject is no plain text".into()));
    }
    let (to, from) = bounded(1);
    let until = clock.instant(clock.now() + fleet.hard(kind) + SLACK);
    // Whoever has gone by then takes no answer any more.
    fleet.ask(kind, question.subject, Box::new(move |text| drop(to.try_send(text))));
    let text =
        from.recv_deadline(until).map_err(|_| Problem::new("late", 504, "no answer came in time", ""))?;
    if let Some(words) = text.strip_prefix("400 ") {
        return Err(refuse(words.trim_end().into()));
    }
    let line = text.lines().next().unwrap_or_default();
    serde_json::from_str(line).map_err(|e| Problem::new("internal", 500, "a fault", e.to_string()))
}
