//! The log: `tracing` events on standard error, one line each, as text or as JSON.
//!
//! At the default level, a single message is logged only if an earlier process may have sent it already. At `info` and above
//! the rate is limited: in ten seconds at most 10 equal lines and at most 100 lines from one place in the source are
//! written, and the next line that is written has the number of those that were left out.

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

/// Format of the lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum Format {
    /// `indigohold: message field=value`
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// Starts the log. `levels` is a level or a list such as `info,discovery=debug`; the error says what is wrong with it.
pub fn start(format: Format, levels: &str) -> Result<(), String> {
    let targets: Targets = levels.parse().map_err(|e| format!("log levels: {levels:?}: {e}"))?;
    let layer = tracing_subscriber::fmt::layer()
        .event_format(LineFormatter(format))
        .with_writer(std::io::stderr)
        .with_filter(targets.and(RateLimit::default()));
    // This fails only if the log was started before in this process, and then the first configuration stays.
    let _ = tracing_subscriber::registry().with(layer).try_init();
    Ok(())
}

thread_local! {
    /// Number of lines like the next one that were left out. The filter passes it to the formatter on the same thread.
    static LEFT_OUT: Cell<u64> = const { Cell::new(0) };
}

struct LineFormatter(Format);

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

/// Replaces line ends, which texts from partners and files may contain, so that each event stays one line.
fn one_line(text: &str) -> String {
    text.replace(['\n', '\r'], " ")
}

impl<S, N> FormatEvent<S, N> for LineFormatter
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

/// Period of the limits on the number of lines.
const WINDOW: Duration = Duration::from_secs(10);
/// Most equal lines per period.
const MAX_EQUAL_LINES: u64 = 10;
/// Most lines per period from one place in the source.
const MAX_CALLSITE_LINES: u64 = 100;
/// Most counters, of equal lines and of places, that are kept at a time.
const MAX_COUNTERS: usize = 512;

#[derive(Default)]
struct RateLimit(Mutex<HashMap<(usize, u64), LineCounter>>);

struct LineCounter {
    since: Instant,
    lines: u64,
    left_out: u64,
}

/// Counts a line. If it may be written, returns how many before it were left out.
fn count_line(
    counters: &mut HashMap<(usize, u64), LineCounter>, key: (usize, u64), max_lines: u64, now: Instant,
) -> Option<u64> {
    if counters.len() >= MAX_COUNTERS && !counters.contains_key(&key) {
        counters.retain(|_, c| now < c.since + WINDOW);
        if counters.len() >= MAX_COUNTERS {
            counters.clear();
        }
    }
    let counter = counters.entry(key).or_insert(LineCounter { since: now, lines: 0, left_out: 0 });
    if now >= counter.since + WINDOW {
        (counter.since, counter.lines) = (now, 0);
    }
    counter.lines += 1;
    if counter.lines > max_lines {
        counter.left_out += 1;
        return None;
    }
    Some(std::mem::take(&mut counter.left_out))
}

impl<S> Filter<S> for RateLimit {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        // At `debug` and below all lines are wanted.
        if *event.metadata().level() > Level::INFO {
            return true;
        }
        let callsite = std::ptr::from_ref(event.metadata()) as usize;
        let mut hash = DefaultHasher::new();
        Fields::of(event).message().hash(&mut hash);
        let now = Instant::now();
        let mut counters = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let left_out = count_line(&mut counters, (callsite, hash.finish()), MAX_EQUAL_LINES, now);
        let Some(equal) = left_out else { return false };
        let Some(same_callsite) = count_line(&mut counters, (callsite, 0), MAX_CALLSITE_LINES, now) else {
            return false;
        };
        LEFT_OUT.set(equal + same_callsite);
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn many_lines_are_limited_and_counted() {
        let (mut counters, start) = (HashMap::new(), Instant::now());
        let written =
            (0..1000).filter(|_| count_line(&mut counters, (1, 1), MAX_EQUAL_LINES, start).is_some()).count();
        assert_eq!(written as u64, MAX_EQUAL_LINES);
        assert_eq!(
            count_line(&mut counters, (1, 1), MAX_EQUAL_LINES, start + WINDOW),
            Some(1000 - MAX_EQUAL_LINES)
        );
        for n in 0..10_000 {
            count_line(&mut counters, (2, n), MAX_EQUAL_LINES, start);
        }
        assert!(counters.len() <= MAX_COUNTERS);
    }
}
