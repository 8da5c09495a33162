//! The admin server: each connection carries one line with one command, which is answered at once from what the core has
//! published. This module, [`metrics`] and [`overrides`] implement the commands, [`server`] the sockets, and [`client`] the
//! client for the command line.

pub mod client;
pub mod metrics;
pub mod overrides;
pub mod server;

use crate::api::Micros;
use crate::ask::Kind;
use crate::core::Clock;
use crate::net::ask::shape::{kind, plain, word};
use crate::net::ask::{Asker, Tell};
use crate::net::peers::published::Published;
use crate::register::exclusions::MAX_NAME_BYTES;
use metrics::PublishedMetrics;
use overrides::EndpointOverrides;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The longest line that is accepted: the longest command and some spaces.
pub const MAX_LINE_BYTES: usize = MAX_NAME_BYTES + 64;

const UNKNOWN_COMMAND: &str = "no such call; there are readyz, telemetry, exclude ID and include ID";

/// A command to the admin server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AdminCommand {
    /// Asks whether this process serves clients.
    Ready,
    /// Asks for the metrics.
    Telemetry,
    /// Excludes an endpoint.
    Exclude(String),
    /// Includes an excluded endpoint again.
    Include(String),
    /// Asks this courier alone a question, by its kind and subject.
    Part(Kind, String),
    /// Asks the whole fleet a question.
    Ask(Kind, String),
}

impl fmt::Display for AdminCommand {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdminCommand::Ready => f.write_str("readyz"),
            AdminCommand::Telemetry => f.write_str("telemetry"),
            AdminCommand::Exclude(id) => write!(f, "exclude {id}"),
            AdminCommand::Include(id) => write!(f, "include {id}"),
            AdminCommand::Part(kind, subject) => {
                f.write_str(format!("part {} {subject}", word(*kind)).trim_end())
            }
            AdminCommand::Ask(kind, subject) => {
                f.write_str(format!("ask {} {subject}", word(*kind)).trim_end())
            }
        }
    }
}

impl AdminCommand {
    /// Parses a line without its line end. The error says what is wrong with it.
    pub fn parse(line: &[u8]) -> Result<AdminCommand, String> {
        AdminCommand::parse_line(line, true)
    }

    /// Parses a line. Without `fleet`, questions to the fleet are off and their commands unknown.
    fn parse_line(line: &[u8], fleet: bool) -> Result<AdminCommand, String> {
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
            ["readyz"] => Ok(AdminCommand::Ready),
            ["telemetry"] => Ok(AdminCommand::Telemetry),
            ["exclude", name] => id(name).map(AdminCommand::Exclude),
            ["include", name] => id(name).map(AdminCommand::Include),
            ["readyz" | "telemetry", ..] => Err(format!("{} takes no further word", words[0])),
            ["exclude" | "include", ..] => Err(format!("{} takes one id", words[0])),
            ["part" | "ask", name, ref subject @ ..] if fleet => {
                let kind = kind(name).ok_or_else(|| format!("{} is no kind of question", plain(name, 32)))?;
                let command = if words[0] == "part" { AdminCommand::Part } else { AdminCommand::Ask };
                Ok(command(kind, subject.join(" ")))
            }
            ["part" | "ask"] if fleet => Err(format!("{} takes a kind of question", words[0])),
            _ => Err(UNKNOWN_COMMAND.into()),
        }
    }
}

/// Executes commands. Nothing here waits for the core's owner.
pub struct CommandHandler {
    /// The metrics that the core publishes.
    pub metrics: Arc<PublishedMetrics>,
    /// The excluded endpoints.
    pub overrides: Arc<EndpointOverrides>,
    /// Names of the classes, by position.
    pub classes: Vec<String>,
    /// Whether this process serves clients.
    pub serving: Arc<AtomicBool>,
    /// Questions to the fleet. If `None`, they are off and their commands unknown.
    pub fleet: Option<Asker>,
    /// Shared health of the fleet. If `None`, nothing is shared.
    pub shared: Option<Arc<Published>>,
    /// The clock.
    pub clock: Clock,
}

/// The reply to a line.
pub enum Reply {
    /// The whole answer.
    Now(String),
    /// The answer is passed to the callback within this time.
    Later(Micros),
}

impl CommandHandler {
    /// Executes a line. `callback` is called for a command that is answered later.
    pub fn handle(&self, line: &[u8], callback: impl FnOnce() -> Tell) -> Reply {
        match (AdminCommand::parse_line(line, self.fleet.is_some()), &self.fleet) {
            (Ok(AdminCommand::Part(kind, subject)), Some(fleet)) => {
                fleet.part(kind, subject, callback());
                Reply::Later(fleet.hard(kind))
            }
            (Ok(AdminCommand::Ask(kind, subject)), Some(fleet)) => {
                fleet.ask(kind, subject, callback());
                Reply::Later(fleet.hard(kind))
            }
            (Ok(command), _) => Reply::Now(self.answer(command)),
            (Err(message), _) => Reply::Now(refusal(&message)),
        }
    }

    fn answer(&self, command: AdminCommand) -> String {
        let result = match &command {
            AdminCommand::Ready => match (self.serving.load(Ordering::SeqCst), self.metrics.read().ready) {
                (true, true) => Ok("this process takes clients".to_owned()),
                (false, _) => Err("this process takes no clients".to_owned()),
                (true, false) => Err("no endpoint is known yet".to_owned()),
            },
            AdminCommand::Telemetry => {
                let metrics = self.metrics.read();
                let shared = self.shared.as_ref().map(|shared| shared.json(self.clock.now()));
                return format!("{}\nEOF\n", metrics.json(&self.classes, self.metrics.written(), shared));
            }
            AdminCommand::Exclude(id) => self.overrides.exclude(id),
            AdminCommand::Include(id) => self.overrides.include(id),
            AdminCommand::Part(..) | AdminCommand::Ask(..) => Err(UNKNOWN_COMMAND.to_owned()),
        };
        if matches!(command, AdminCommand::Exclude(_) | AdminCommand::Include(_)) {
            let (yes, message) = (result.is_ok(), result.as_ref().unwrap_or_else(|e| e));
            tracing::info!(target: "door", yes, "{command}: {message}");
        }
        match result {
            Ok(message) => format!("200 {message}\n"),
            Err(message) => refusal(&message),
        }
    }
}

/// The answer to a command that can't be executed.
pub fn refusal(message: &str) -> String {
    format!("400 {message}\n")
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_is_a_command_or_its_error_says_what_is_wrong() {
        assert_eq!(AdminCommand::parse(b"readyz"), Ok(AdminCommand::Ready));
        assert_eq!(
            AdminCommand::parse(b" exclude\t s-1 \r".trim_ascii()),
            Ok(AdminCommand::Exclude("s-1".into()))
        );
        assert_eq!(AdminCommand::parse(b"include x"), Ok(AdminCommand::Include("x".into())));
        let long = format!("exclude {}", "x".repeat(MAX_NAME_BYTES + 1));
        for (line, expected) in [
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
            let error = AdminCommand::parse(line).unwrap_err();
            assert!(error.contains(expected), "{line:?}: {error}");
        }
        assert!(AdminCommand::parse(b"ask").unwrap_err().contains("takes a kind"));
        assert!(AdminCommand::parse(b"part wher x").unwrap_err().contains("no kind"));
        let (ask, part) =
            (AdminCommand::Ask(Kind::Where, "m 1".into()), AdminCommand::Part(Kind::Held, String::new()));
        let others = [
            AdminCommand::Ready,
            AdminCommand::Telemetry,
            AdminCommand::Exclude("a".into()),
            AdminCommand::Include("b".into()),
        ];
        for command in others.into_iter().chain([ask, part]) {
            assert_eq!(AdminCommand::parse(command.to_string().as_bytes()), Ok(command));
        }
    }
}
