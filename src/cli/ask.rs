//! `indigohold ask ...`: queries the whole fleet through the admin server or the control channel of any courier.

use super::retention::format_time;
use super::Socket;
use crate::admin::{client, AdminCommand};
use crate::config::Paths;
use crate::control::client::{Client, ClientError};
use crate::control::config as control;
use crate::net::ask::shape::{kind, plain, AnswerShape, MissingShape, PartShape};
use comfy_table::{presets, Table};
use serde_json::Value;
use std::fmt::Write as _;
use std::time::Duration;

/// Exit code: all couriers answered, or what was looked for was found.
const COMPLETE: u8 = 0;
/// Exit code: no answer came.
const UNREACHABLE: u8 = 1;
/// Exit code: the query is malformed.
const REFUSED: u8 = 3;
/// Exit code: some answers are missing.
const PARTIAL: u8 = 4;
/// Longest text of a courier in a table cell.
const MAX_CELL_CHARS: usize = 160;

/// Runs the query and prints the answer. Returns the exit code.
pub fn run(paths: &Paths, socket: &Socket, words: &[String], json: bool) -> u8 {
    let (kind_name, subject) = (words.first().map_or("", String::as_str), words.get(1..).unwrap_or_default());
    let Some(kind) = kind(kind_name) else {
        eprintln!("{kind_name:?} is no kind of question");
        return REFUSED;
    };
    let subject = subject.join(" ");
    let result = match &socket.socket {
        Some(socket) => Client::new(socket).ask(kind_name, &subject).map_err(|error| match error {
            ClientError::Problem(problem) => (REFUSED, format!("{}: {}", problem.title, problem.detail)),
            error => (UNREACHABLE, error.to_string()),
        }),
        None if paths.config.is_none() && paths.control.is_none() => {
            ask_configured_channel(paths, kind_name, &subject)
        }
        None => client::ask(paths, &AdminCommand::Ask(kind, subject)),
    };
    let answer = match result {
        Ok(answer) => answer,
        Err((code, error)) => {
            eprintln!("{error}");
            return code;
        }
    };
    match json {
        true => println!("{}", serde_json::to_string_pretty(&answer).unwrap_or_default()),
        false => print!("{}", text(&answer)),
    }
    if answer.complete {
        COMPLETE
    } else {
        PARTIAL
    }
}

/// Asks over the control channel that the control file names.
fn ask_configured_channel(paths: &Paths, kind: &str, subject: &str) -> Result<AnswerShape, (u8, String)> {
    match control::read(&paths.channel) {
        Ok(Some(config)) => {
            Client::new(&config.socket).ask(kind, subject).map_err(|error| (UNREACHABLE, error.to_string()))
        }
        _ => Err((UNREACHABLE, "neither --control nor --socket, and the control channel is off".into())),
    }
}

/// One value of a courier's answer as the text of a table cell; empty fields of an object are left out.
fn value_text(value: &Value) -> String {
    let scalar = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let text = match value {
        Value::Object(fields) => {
            let is_empty =
                |value: &Value| value.is_null() || value.as_object().is_some_and(serde_json::Map::is_empty);
            let filled = fields.iter().filter(|(_, value)| !is_empty(value));
            filled.map(|(name, value)| format!("{name} {}", scalar(value))).collect::<Vec<_>>().join(", ")
        }
        other => scalar(other),
    };
    plain(&text, MAX_CELL_CHARS)
}

fn part_row(part: &PartShape) -> [String; 4] {
    let state = if part.whole { "whole" } else { "in part" };
    let texts: Vec<String> = part.says.iter().map(value_text).collect();
    [
        plain(&part.courier, 64),
        format!("{state}, after {:.1} ms", part.after_ms),
        part.figure.to_string(),
        texts.join("\n"),
    ]
}

fn missing_row(missing: &MissingShape, needed: bool) -> [String; 4] {
    let before = missing.before.as_ref().map_or_else(
        || "nothing known of it before".to_owned(),
        |before| {
            let age = Duration::from_secs(before.age_ms / 1_000);
            format!("{} before, {} ago", before.figure, humantime::format_duration(age))
        },
    );
    let share = format!("{:.0} %", missing.share * 100.0);
    [
        plain(&missing.courier, 64),
        format!("{}: {}", if needed { "missing" } else { "not needed" }, plain(&missing.why, 32)),
        "-".into(),
        format!("{}; {before}; share {share}", plain(&missing.detail, MAX_CELL_CHARS)),
    ]
}

/// The answer as text for people.
fn text(answer: &AnswerShape) -> String {
    let stopped = match answer.stopped.as_str() {
        "found" => "it was found",
        "all_came" => "all have answered",
        "nobody_left" => "nobody was left to wait for",
        "not_worth_more" => "the rest was not worth more time",
        "hard_bound" => "the hard bound was reached",
        other => other,
    };
    let (heard, fleet) = (answer.heard, answer.fleet);
    let mut out = format!(
        "{}: {}; {heard} of {fleet} couriers heard; asked {}\nwaited {:.1} ms, as {}; together {}\n",
        plain(format!("{} {}", answer.kind, answer.subject).trim_end(), 300),
        if answer.complete { "complete" } else { "IN PART" },
        plain(&answer.asked, 64),
        answer.waited_ms,
        plain(stopped, 64),
        answer.figure,
    );
    if !answer.majority {
        out += "this is not the larger part of the fleet: what is missing may be more than what came\n";
    }
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(["courier", "", "figure", "says"]);
    table
        .add_rows(answer.parts.iter().map(part_row))
        .add_rows(answer.missing.iter().map(|missing| missing_row(missing, !answer.complete)));
    let _ = writeln!(out, "{table}");
    if let Some(together) = &answer.together {
        out += &message_rows(together);
        out += &tenant_lines(together);
    }
    out
}

fn elements<'a>(of: &'a Value, name: &str) -> impl Iterator<Item = &'a Value> {
    of[name].as_array().into_iter().flatten()
}

fn field_text(of: &Value, name: &str, max_chars: usize) -> String {
    match &of[name] {
        Value::String(text) => plain(text, max_chars),
        Value::Null => "-".into(),
        other => plain(&other.to_string(), max_chars),
    }
}

/// The messages of one page of a history, and the argument that asks for the next page.
fn message_rows(together: &Value) -> String {
    let Some(messages) = together["rows"].as_array() else { return String::new() };
    let mut table = Table::new();
    let names = ["ended", "courier", "id", "class", "how", "bytes", "backend", "said"];
    table.load_preset(presets::NOTHING).set_header(names);
    table.add_rows(messages.iter().map(|row| {
        let ended = format_time(row["ended_us"].as_u64().unwrap_or(0) / 1_000);
        let other_cells = names[1..].iter().map(|name| field_text(row, name, MAX_CELL_CHARS));
        std::iter::once(ended).chain(other_cells).collect::<Vec<_>>()
    }));
    let mut out = format!("{table}\n");
    if together["withheld"] != 0 {
        out += "some are kept back: the asked courier knows that they are forgotten\n";
    }
    if let Some(next) = together["next"].as_str() {
        let _ = writeln!(out, "there may be more: ask the same with after={}", plain(next, 64));
    }
    out
}

/// One line per tenant: its retention policy's version and the couriers that honour it.
fn tenant_lines(together: &Value) -> String {
    let mut out = String::new();
    let time_of = |of: &Value, name: &str| of[name].as_u64().map(format_time);
    for tenant in elements(together, "tenants") {
        let _ = write!(
            out,
            "{}: version {}",
            field_text(tenant, "tenant", 64),
            field_text(tenant, "version", 32)
        );
        let until = time_of(tenant, "forgotten_until_ms").map(|at| format!(", forgotten up to {at}"));
        out += &until.unwrap_or_default();
        let by: Vec<String> =
            elements(tenant, "honoured_by").map(|name| plain(name.as_str().unwrap_or(""), 64)).collect();
        let by = if by.is_empty() { "nobody".to_owned() } else { by.join(", ") };
        let _ = write!(out, ", honoured by {}", if tenant["by_all"] == true { "all" } else { &by });
        for (name, version) in tenant["not_by"].as_object().into_iter().flatten() {
            let _ = write!(out, ", NOT by {} (version {version})", plain(name, 64));
        }
        for (name, last) in tenant["unheard"].as_object().into_iter().flatten() {
            let since =
                time_of(last, "since_ms").map_or("never heard".to_owned(), |at| format!("since {at}"));
            let version = field_text(last, "version", 32);
            let _ = write!(out, ", unheard {} ({since}, version {version})", plain(name, 64));
        }
        let oldest = time_of(tenant, "oldest_ms").map(|at| format!(", oldest held ended {at}"));
        let _ = writeln!(out, "{}", oldest.unwrap_or_default());
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::net::ask::shape::BeforeShape;
    use serde_json::json;

    #[test]
    fn text_shows_present_and_missing_answers_without_control_characters() {
        let part = PartShape {
            courier: "c1".into(),
            whole: true,
            after_ms: 2.25,
            figure: 3,
            says: vec![json!({"at": {"held": 3}, "odd": "\u{1b}[2J", "none": null})],
        };
        let missing = MissingShape {
            courier: "c2".into(),
            why: "away".into(),
            detail: "the connection was refused".into(),
            share: 0.5,
            some: false,
            before: Some(BeforeShape { figure: 7, age_ms: 61_000 }),
        };
        let answer = AnswerShape {
            kind: "held".into(),
            subject: String::new(),
            asked: "c0".into(),
            complete: false,
            majority: false,
            fleet: 3,
            heard: 2,
            share: 0.5,
            figure: 3,
            waited_ms: 12.0,
            stopped: "nobody_left".into(),
            parts: vec![part],
            missing: vec![missing],
            together: Some(json!({
                "rows": [{"ended_us": 1_000_000, "id": "m\u{1b}7", "how": "delivered"}], "next": "1000000/5", "withheld": 1,
                "tenants": [{"tenant": "t", "version": 3, "by_all": false, "honoured_by": ["c1"], "not_by": {"c3": 2},
                    "unheard": {"c2": {"since_ms": 2_000, "version": 1}}, "oldest_ms": 9_000}],
            })),
        };
        let text = text(&answer);
        for expected in [
            "IN PART",
            "2 of 3",
            "not the larger part",
            "whole, after 2.2 ms",
            "missing: away",
            "7 before, 1m 1s ago",
            "1970-01-01T00:00:01Z",
            "m 7",
            "after=1000000/5",
            "kept back",
            "t: version 3, honoured by c1, NOT by c3 (version 2), unheard c2 (since 1970-01-01T00:00:02Z, version 1), oldest",
        ] {
            assert!(text.contains(expected), "{expected}: {text}");
        }
        assert!(!text.contains('\u{1b}') && !text.contains("none"), "{text}");
    }
}
