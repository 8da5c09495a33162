//! The log: structured events by `tracing`, on standard error, one line each, for people or as JSON.
//!
//! At the default level a line is written for a message only where an earlier process may have sent it. A flood is bounded, but at
//! `debug` and below: of equal lines, and of all lines from one place in the program, only so many in ten seconds are written; the
//! next one says how many were left out.

use serde_json::{Map, Value};
use std::cell::Cell;
use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::filter::{FilterExt, Targets};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::Layer;

/// How lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum Format {
    /// `indigohold: words field=value`
    #[default]
    Human,
    /// One JSON object a line.
    Json,
}

/// Starts the log. `levels` is a level, or a list such as `info,discovery=debug`; an error says what is wrong with it.
pub fn start(format: Format, levels: &str) -> Result<(), String> {
    let targets: Targets = levels.parse().map_err(|e| format!("log levels: {levels:?}: {e}"))?;
    let lines = tracing_subscriber::fmt::layer()
        .event_format(Lines(format))
        .with_writer(std::io::stderr)
        .with_filter(targets.and(Flood::default()));
    // Only a second start in one process can fail, and then the first one holds.
    let _ = tracing_subscriber::registry().with(lines).try_init();
    Ok(())
}

thread_local! {
    /// Lines like the one that is about to be written which were left out.
    static LEFT_OUT: Cell<u64> = const { Cell::new(0) };
}

struct Lines(Format);

#[derive(Default)]
struct Fields(Vec<(&'static str, Value)>);

impl Fields {
    fn of(event: &Event) -> Fields {
        let mut fields = Fields::default();
        event.record(&mut fields);
        fields
    }

    fn message(&self) -> &str {
        self.0.iter().find(|(k, _)| *k == "message").and_then(|(_, v)| v.as_str()).unwrap_or_default()
    }
}

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.0.push((field.name(), Value::from(format!("{value:?}"))));
    }
    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.push((field.name(), Value::from(value)));
    }
    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.push((field.name(), Value::from(value)));
    }
    fn record_i64(&mut self, field: &Field, value: i64) {
        self.0.push((field.name(), Value::from(value)));
    }
    fn record_bool(&mut self, field: &Field, value: bool) {
        self.0.push((field.name(), Value::from(value)));
    }
}

/// Danger: words from a partner or a file may hold line ends, and one event must stay one line.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

impl<S, N> FormatEvent<S, N> for Lines
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(&self, _: &FmtContext<'_, S, N>, mut out: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        let fields = Fields::of(event);
        let left_out = LEFT_OUT.replace(0);
        match self.0 {
            Format::Human => {
                write!(out, "indigohold: {}", one_line(fields.message()))?;
                for (name, value) in fields.0.iter().filter(|(name, _)| *name != "message") {
                    match value.as_str() {
                        Some(text) => write!(out, " {name}={}", one_line(text))?,
                        None => write!(out, " {name}={value}")?,
                    }
                }
                if left_out > 0 {
                    write!(out, " ({left_out} more like this were left out)")?;
                }
            }
            Format::Json => {
                let mut line = Map::new();
                let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                line.insert("time_ms".into(), Value::from(now.as_millis() as u64));
                let level = event.metadata().level().as_str().to_lowercase();
                line.insert("level".into(), Value::from(level));
                line.insert("target".into(), Value::from(event.metadata().target()));
                line.extend(fields.0.into_iter().map(|(name, value)| (name.to_owned(), value)));
                if left_out > 0 {
                    line.insert("left_out".into(), Value::from(left_out));
                }
                out.write_str(&Value::Object(line).to_string())?;
            }
        }
        out.write_char('\n')
    }
}

/// So many lines in so long: equal ones, and all from one place.
const WINDOW: Duration = Duration::from_secs(10);
const EQUAL_MOST: u64 = 10;
const PLACE_MOST: u64 = 100;
/// Lines and places that are counted at a time.
const COUNTED_MOST: usize = 512;

#[derive(Default)]
struct Flood(Mutex<HashMap<(usize, u64), Count>>);

struct Count {
    since: Instant,
    lines: u64,
    left_out: u64,
}

/// Whether one more may be written; if so, how many before it were not.
fn count(all: &mut HashMap<(usize, u64), Count>, key: (usize, u64), most: u64, now: Instant) -> Option<u64> {
    if all.len() >= COUNTED_MOST && !all.contains_key(&key) {
        all.retain(|_, c| now < c.since + WINDOW);
        if all.len() >= COUNTED_MOST {
            all.clear();
        }
    }
    let seen = all.entry(key).or_insert(Count { since: now, lines: 0, left_out: 0 });
    if now >= seen.since + WINDOW {
        (seen.since, seen.lines) = (now, 0);
    }
    seen.lines += 1;
    if seen.lines > most {
        seen.left_out += 1;
        return None;
    }
    Some(std::mem::take(&mut seen.left_out))
}

impl<S> Filter<S> for Flood {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // Who asks for details of each message wants all of them.
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let place = std::ptr::from_ref(event.metadata()) as usize;
        let mut hash = DefaultHasher::new();
        Fields::of(event).message().hash(&mut hash);
        let now = Instant::now();
        let mut all = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let equal = count(&mut all, (place, hash.finish()), EQUAL_MOST, now);
        let Some(equal) = equal else { return false };
        let Some(like) = count(&mut all, (place, 0), PLACE_MOST, now) else { return false };
        LEFT_OUT.set(equal + like);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_bounded_and_counted() {
        let (mut all, start) = (HashMap::new(), Instant::now());
        let written = (0..1000).filter(|_| count(&mut all, (1, 1), EQUAL_MOST, start).is_some()).count();
        assert_eq!(written as u64, EQUAL_MOST);
        assert_eq!(count(&mut all, (1, 1), EQUAL_MOST, start + WINDOW), Some(1000 - EQUAL_MOST));
        for n in 0..10_000 {
            count(&mut all, (2, n), EQUAL_MOST, start);
        }
        assert!(all.len() <= COUNTED_MOST);
    }
}
