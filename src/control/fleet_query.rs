//! Queries to the whole fleet over the control channel.

use super::schema::Problem;
use crate::api::Micros;
use crate::core::Clock;
use crate::json;
use crate::net::ask::shape::{kind, AnswerShape};
use crate::net::ask::Asker;
use crossbeam_channel::bounded;
use serde::{Deserialize, Serialize};

/// Time added to the hard bound of a query: the asker ends each query at that bound, and its answer then has this long to arrive.
const ANSWER_MARGIN: Micros = Micros(500_000);

/// A query to the fleet.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename = "QuestionShape", deny_unknown_fields)]
pub struct FleetQuery {
    /// Name of the kind of query.
    pub kind: String,
    /// What the query is about, such as a message id; its form depends on the kind.
    #[serde(default)]
    pub subject: String,
}

/// Sends the query to the fleet and blocks the session's thread until the answer arrives or its time is over.
pub(super) fn ask(fleet: Option<&Asker>, clock: &Clock, body: &[u8]) -> Result<AnswerShape, Problem> {
    let refuse = |detail: String| Problem::new("question", 422, "the question can't be asked so", detail);
    let fleet = fleet.ok_or_else(|| Problem::new("path", 404, "no such path", "questions are off"))?;
    let query: FleetQuery = json::from_slice(body).map_err(|e| refuse(e.to_string()))?;
    let kind = kind(&query.kind).ok_or_else(|| refuse(format!("{:?} is no kind", query.kind)))?;
    if query.subject.chars().any(char::is_control) || query.subject.len() > 512 {
        return Err(refuse("the subject is no plain text".into()));
    }
    let (to, from) = bounded(1);
    let until = clock.instant(clock.now() + fleet.hard(kind) + ANSWER_MARGIN);
    // The receiver may have timed out by the time the answer comes; the failed send is then ignored.
    fleet.ask(kind, query.subject, Box::new(move |text| drop(to.try_send(text))));
    let text =
        from.recv_deadline(until).map_err(|_| Problem::new("late", 504, "no answer came in time", ""))?;
    if let Some(reason) = text.strip_prefix("400 ") {
        return Err(refuse(reason.trim_end().into()));
    }
    let line = text.lines().next().unwrap_or_default();
    serde_json::from_str(line).map_err(|e| Problem::new("internal", 500, "a fault", e.to_string()))
}
