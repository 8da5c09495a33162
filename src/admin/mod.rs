//! The operators' door: one call a line, one line a connection, answered at once by what the core has published. What a
//! call means is here and in [`figures`] and [`hand`]; the sockets are in [`door`], the command line's side in [`client`].

pub mod client;
pub mod door;
pub mod figures;
pub mod hand;

use crate::api::Micros;
use crate::ask::Kind;
use crate::core::Clock;
use crate::net::ask::shape::{kind, plain, word};
use crate::net::ask::{Asker, Tell};
use crate::net::peers::published::Published;
use crate::register::exclusions::MAX_NAME_BYTES;
use figures::Board;
use hand::Hand;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The longest line that is read: the longest call, and room for spaces.
pub const LINE_MOST: usize = MAX_NAME_BYTES + 64;

const NO_SUCH: &str = "no such call; there are readyz, telemetry, exclude ID and include ID";

/// What operators may ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Whether this process takes clients.
    Ready,
    /// The figures.
    Telemetry,
    /// Leave this endpoint out.
    Exclude(String),
    /// Put it back.
    Include(String),
    /// What this courier alone has to say to a question: its kind and what exactly.
    Part(Kind, String),
    /// What the whole fleet has.
    Ask(Kind, String),
}

impl fmt::Display for Call {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Call::Ready => f.write_str("readyz"),
            Call::Telemetry => f.write_str("telemetry"),
            Call::Exclude(id) => write!(f, "exclude {id}"),
            Call::Include(id) => write!(f, "include {id}"),
            Call::Part(kind, subject) => f.write_str(format!("part {} {subject}", word(*kind)).trim_end()),
            Call::Ask(kind, subject) => f.write_str(format!("ask {} {subject}", word(*kind)).trim_end()),
        }
    }
}

impl Call {
    /// The call of a line, its end taken off; the error says what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<Call, String> {
        Call::read(line, true)
    }

    /// The same; `fleet`: there are questions to the fleet. If not, no word of them is known.
    fn read(line: &[u8], fleet: bool) -> Result<Call, String> {
        let line = std::str::from_utf8(line).map_err(|_| "the line is no text".to_owned())?;
        if line.chars().any(|c| c.is_control() && c != '\t') {
            return Err("the line is no text".into());
        }
        let words: Vec<&str> = line.split([' ', '\t']).filter(|w| !w.is_empty()).collect();
        let id = |id: &str| match id.len() <= MAX_NAME_BYTES {
            true => Ok(id.to_owned()),
            false => Err(format!("the id is longer than {MAX_NAME_BYTES} bytes")),
        };
        match words[..] {
            [] => Err("the line is empty".into()),
            ["readyz"] => Ok(Call::Ready),
            ["telemetry"] => Ok(Call::Telemetry),
            ["exclude", name] => id(name).map(Call::Exclude),
            ["include", name] => id(name).map(Call::Include),
            ["readyz" | "telemetry", ..] => Err(format!("{} takes no further word", words[0])),
            ["exclude" | "include", ..] => Err(format!("{} takes one id", words[0])),
            ["part" | "ask", name, ref subject @ ..] if fleet => {
                let kind = kind(name).ok_or_else(|| format!("{} is no kind of question", plain(name, 32)))?;
                let call = if words[0] == "part" { Call::Part } else { Call::Ask };
                Ok(call(kind, subject.join(" ")))
            }
            ["part" | "ask"] if fleet => Err(format!("{} takes a kind of question", words[0])),
            _ => Err(NO_SUCH.into()),
        }
    }
}

/// What the door answers from. Nothing here waits for the core's owner.
pub struct Desk {
    /// What the core has published.
    pub board: Arc<Board>,
    /// Endpoints that are left out.
    pub hand: Arc<Hand>,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// This process takes clients.
    pub serving: Arc<AtomicBool>,
    /// Questions to the fleet; `None`: off, and there are no such calls.
    pub fleet: Option<Asker>,
    /// What the fleet believes; `None`: nothing is shared.
    pub shared: Option<Arc<Published>>,
    /// What time it is.
    pub clock: Clock,
}

/// What a line comes to.
pub enum Heard {
    /// The answer, whole.
    Now(String),
    /// It comes by the `tell` that was handed over; not after this moment, seen from now.
    Later(Micros),
}

impl Desk {
    /// The answer to a line, or that it comes later.
    pub fn hear(&self, line: &[u8], tell: impl FnOnce() -> Tell) -> Heard {
        match (Call::read(line, self.fleet.is_some()), &self.fleet) {
            (Ok(Call::Part(kind, subject)), Some(fleet)) => {
                fleet.part(kind, subject, tell());
                Heard::Later(fleet.hard(kind))
            }
            (Ok(Call::Ask(kind, subject)), Some(fleet)) => {
                fleet.ask(kind, subject, tell());
                Heard::Later(fleet.hard(kind))
            }
            (Ok(call), _) => Heard::Now(self.answer(call)),
            (Err(what), _) => Heard::Now(refusal(&what)),
        }
    }

    fn answer(&self, call: Call) -> String {
        let done = match &call {
            Call::Ready => match (self.serving.load(Ordering::SeqCst), self.board.read().ready) {
                (true, true) => Ok("this process takes clients".to_owned()),
                (false, _) => Err("this process takes no clients".to_owned()),
                (true, false) => Err("no endpoint is known yet".to_owned()),
            },
            Call::Telemetry => {
                let figures = self.board.read();
                let shared = self.shared.as_ref().map(|shared| shared.json(self.clock.now()));
                return format!("{}\nEOF\n", figures.json(&self.classes, self.board.written(), shared));
            }
            Call::Exclude(id) => self.hand.exclude(id),
            Call::Include(id) => self.hand.include(id),
            Call::Part(..) | Call::Ask(..) => Err(NO_SUCH.to_owned()),
        };
        if matches!(call, Call::Exclude(_) | Call::Include(_)) {
            let (yes, what) = (done.is_ok(), done.as_ref().unwrap_or_else(|e| e));
            tracing::info!(target: "door", yes, "{call}: {what}");
        }
        match done {
            Ok(what) => format!("200 {what}\n"),
            Err(what) => refusal(&what),
        }
    }
}

/// The answer to what can't be done.
pub fn refusal(what: &str) -> String {
    format!("400 {what}\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_a_call_or_is_told_what_is_wrong_with_it() {
        assert_eq!(Call::parse(b"readyz"), Ok(Call::Ready));
        assert_eq!(Call::parse(b" exclude\t s-1 \r".trim_ascii()), Ok(Call::Exclude("s-1".into())));
        assert_eq!(Call::parse(b"include x"), Ok(Call::Include("x".into())));
        let long = format!("exclude {}", "x".repeat(MAX_NAME_BYTES + 1));
        for (line, word) in [
            (&b""[..], "empty"),
            (b"   ", "empty"),
            (b"readyz now", "no further"),
            (b"exclude", "one id"),
            (b"exclude a b", "one id"),
            (b"READYZ", "no such call"),
            (b"\xff\xfe", "no text"),
            (b"exclude a\0b", "no text"),
            (long.as_bytes(), "longer"),
        ] {
            let said = Call::parse(line).unwrap_err();
            assert!(said.contains(word), "{line:?}: {said}");
        }
        assert!(Call::parse(b"ask").unwrap_err().contains("takes a kind"));
        assert!(Call::parse(b"part wher x").unwrap_err().contains("no kind"));
        let (placed, held) = (Call::Ask(Kind::Where, "m 1".into()), Call::Part(Kind::Held, String::new()));
        let others = [Call::Ready, Call::Telemetry, Call::Exclude("a".into()), Call::Include("b".into())];
        for call in others.into_iter().chain([placed, held]) {
            assert_eq!(Call::parse(call.to_string().as_bytes()), Ok(call));
        }
    }
}
