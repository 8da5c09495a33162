//! The part of `indigohold status` about the shared health of the fleet.

use serde_json::Value;
use std::fmt::Write;
use std::time::Duration;

/// One line for the fleet, and one for each member that is away or whose state is not known completely.
pub fn text(shared: &Value) -> String {
    let number = |name: &str| shared[name].as_u64().unwrap_or(0);
    let members = shared["members"].as_array().map_or(&[][..], Vec::as_slice);
    let (messages, bytes) = (&shared["sent"]["notes"], &shared["sent"]["bytes"]);
    let refused_by_reason = shared["refused"].as_object().into_iter().flatten();
    let refused: u64 = refused_by_reason.filter_map(|(_, n)| n.as_u64()).sum();
    let mut out = format!(
        "fleet: member {} in life {}, {} of {} here; {} entries of others; {messages} notes and {bytes} bytes sent, {} heard, \
         {refused} refused; last turn {} ago\n",
        number("me"),
        number("incarnation"),
        number("here"),
        members.len(),
        number("entries"),
        number("heard"),
        span(&shared["turn_ms"]),
    );
    if let Some(by) = shared["superseded_by"].as_u64() {
        let _ = writeln!(out, "fleet: life {by} goes by this one's number, which says nothing any more");
    }
    for member in members {
        let (standing, whole) = (member["standing"].as_str().unwrap_or("?"), member["whole"] == true);
        if standing != "here" || !whole {
            let _ = writeln!(
                out,
                "member {}: {standing} for {}, in life {}, last alive {}{}",
                member["member"],
                span(&member["since_ms"]),
                member["incarnation"],
                member["alive_ms"]
                    .as_u64()
                    .map_or("never".to_owned(), |_| span(&member["alive_ms"]) + " ago"),
                if whole { "" } else { "; something that it has told is lacking here" }
            );
        }
    }
    out
}

/// A time span given in milliseconds, or `never` if there is none.
fn span(ms: &Value) -> String {
    let format = |ms| humantime::format_duration(Duration::from_millis(ms)).to_string();
    ms.as_u64().map_or_else(|| "never".to_owned(), format)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn text_has_a_line_for_the_fleet_and_one_for_each_deviating_member() {
        let shared = serde_json::json!({
            "me": 0, "incarnation": 7, "here": 2, "turn_ms": 40, "entries": 3, "heard": 9, "superseded_by": null,
            "sent": {"notes": 12, "bytes": 480}, "refused": {"old": 1, "foreign": 1},
            "members": [
                {"member": 0, "standing": "here", "whole": true},
                {"member": 1, "standing": "here", "whole": false, "since_ms": 60_000, "incarnation": 4, "alive_ms": 900},
                {"member": 2, "standing": "away", "whole": true, "since_ms": 2_000, "incarnation": 2, "alive_ms": 5_000},
                {"member": 3, "standing": "never", "whole": true, "since_ms": 8_000, "incarnation": 0, "alive_ms": null},
            ],
        });
        let text = text(&shared);
        let lines: Vec<&str> = text.lines().collect();
        assert!(lines[0].starts_with(
            "fleet: member 0 in life 7, 2 of 4 here; 3 entries of others; 12 notes and 480 bytes"
        ));
        assert!(lines[0].ends_with("9 heard, 2 refused; last turn 40ms ago"), "{text}");
        assert_eq!(lines[1], "member 1: here for 1m, in life 4, last alive 900ms ago; something that it has told is lacking here");
        assert_eq!(lines[2], "member 2: away for 2s, in life 2, last alive 5s ago");
        assert_eq!(lines[3], "member 3: never for 8s, in life 0, last alive never");
    }
}
