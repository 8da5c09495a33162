//! What goes over the wire: pieces of one courier's answer, a line of JSON each, and the whole answer that an asker gives.

use crate::ask::Kind;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Bytes of one courier's answer.
pub const PART_BYTES: usize = 256 * 1024;
/// Pieces of one courier's answer.
pub const PIECES: usize = 64;
/// Bytes of all answers to a question.
pub const ANSWER_BYTES: usize = 4 << 20;

/// A piece of an answer, as the one that answers makes it.
#[derive(Debug, Clone, PartialEq)]
pub struct Piece {
    /// What it counts.
    pub figure: u64,
    /// No other answer is needed: what was looked for is here.
    pub settles: bool,
    /// What it says, for people and programs; its form is its kind's.
    pub body: Value,
}

/// A piece as it goes over the wire.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PieceShape {
    /// Whose.
    pub courier: String,
    /// In which life.
    pub life: u64,
    /// From 0.
    pub piece: u8,
    /// None follows it.
    pub last: bool,
    /// As in [`Piece`].
    pub figure: u64,
    /// As in [`Piece`].
    #[serde(default)]
    pub settles: bool,
    /// As in [`Piece`].
    #[serde(default)]
    pub body: Value,
}

/// The lines of one courier's answer.
pub fn lines(courier: &str, life: u64, pieces: Vec<Piece>) -> Result<String, String> {
    if pieces.is_empty() || pieces.len() > PIECES {
        return Err(format!("{} pieces, and 1 to {PIECES} can be", pieces.len()));
    }
    let most = pieces.len() - 1;
    let mut out = String::new();
    for (n, Piece { figure, settles, body }) in pieces.into_iter().enumerate() {
        let (courier, piece, last) = (courier.to_owned(), n as u8, n == most);
        let shape = PieceShape { courier, life, piece, last, figure, settles, body };
        out += &serde_json::to_string(&shape).map_err(|e| e.to_string())?;
        out.push('\n');
    }
    match out.len() > PART_BYTES {
        true => Err(format!("the answer is longer than {PART_BYTES} bytes")),
        false => Ok(out),
    }
}

/// What one courier has answered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartShape {
    /// Whose.
    pub courier: String,
    /// All of its pieces have come. If not, it is among the missing, too.
    pub whole: bool,
    /// How long its last piece took, in milliseconds.
    pub after_ms: f64,
    /// What its pieces count.
    pub figure: u64,
    /// What its pieces say, in their order.
    pub says: Vec<Value>,
}

/// What was known of a missing part before.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BeforeShape {
    /// The figure of its last complete answer to the same question.
    pub figure: u64,
    /// How old that is, in milliseconds.
    pub age_ms: u64,
}

/// A part that is missing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MissingShape {
    /// Whose.
    pub courier: String,
    /// `away`, `late`, `refused`, `unknown` or `restarted`.
    pub why: String,
    /// More of it, in words.
    pub detail: String,
    /// Its share of what the others are thought to hold, 0 to 1.
    pub share: f64,
    /// Some of its pieces came.
    pub some: bool,
    /// What was known of it before.
    pub before: Option<BeforeShape>,
}

/// The answer of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerShape {
    /// The word of its kind.
    pub kind: String,
    /// What exactly was asked; empty where a kind has nothing to choose.
    pub subject: String,
    /// The courier that asked the others.
    pub asked: String,
    /// Nothing is missing, or what was looked for is found.
    pub complete: bool,
    /// More than half of the fleet has been heard, or is known to be there. If not, what is missing may be the larger part.
    pub majority: bool,
    /// Couriers of the fleet, the asked one counted.
    pub fleet: usize,
    /// Those that said something in time, the asked one counted.
    pub heard: usize,
    /// The share of what the others are thought to hold that has come, 0 to 1.
    pub share: f64,
    /// What all parts that came count together.
    pub figure: u64,
    /// How long it took, in milliseconds.
    pub waited_ms: f64,
    /// Why it ended: `found`, `all_came`, `nobody_left`, `not_worth_more`, `hard_bound`.
    pub stopped: String,
    /// What came, by courier.
    pub parts: Vec<PartShape>,
    /// What did not.
    pub missing: Vec<MissingShape>,
    /// What a kind makes of all parts together, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub together: Option<Value>,
}

/// The kind of a word.
pub fn kind(word: &str) -> Option<Kind> {
    Kind::ALL.iter().find(|(name, _)| *name == word).map(|(_, kind)| *kind)
}

/// The word of a kind.
pub fn word(kind: Kind) -> &'static str {
    Kind::ALL[kind as usize].0
}

/// A text of another's, fit for a line of a log or a table: short, and without control characters.
pub fn plain(text: &str, most: usize) -> String {
    text.chars().map(|c| if c.is_control() { ' ' } else { c }).take(most).collect()
}
