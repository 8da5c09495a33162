//! A question on its way, and what comes to the asking thread.

use super::shape::Piece;
use super::Tell;
use crate::api::Micros;
use crate::ask::{Answer, Kind, QuestionId};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// What comes in from other threads.
pub(super) enum Msg {
    /// A question to the fleet.
    Ask { kind: Kind, subject: String, tell: Tell },
    /// What this courier itself says to a question.
    Own { question: u64, said: Result<Vec<Piece>, String> },
}

impl Msg {
    /// There is no room for it.
    pub fn busy(self) {
        if let Msg::Ask { tell, .. } = self {
            tell(crate::admin::refusal("busy: too many questions at once"));
        }
    }
}

/// What has come of one part.
#[derive(Default)]
pub(super) struct Got {
    pub says: BTreeMap<u8, Value>,
    pub figure: u64,
    pub after: Micros,
}

/// A question, and then its end while late answers still come.
pub(super) struct Asked {
    pub id: QuestionId,
    pub kind: Kind,
    pub subject: String,
    pub since: Micros,
    pub hard: Micros,
    pub tell: Option<Tell>,
    pub parts: BTreeMap<usize, Got>,
    /// Words on what is missing.
    pub details: BTreeMap<usize, String>,
    /// Who said anything in time.
    pub heard: BTreeSet<usize>,
    pub own: Option<Result<Vec<Piece>, String>>,
    pub own_after: Micros,
    pub settled: bool,
    pub answer: Option<Box<Answer>>,
    pub ended: Option<Micros>,
    /// Of all answers.
    pub bytes: usize,
    /// When to decide again.
    pub look: Micros,
}
