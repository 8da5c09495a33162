//! The rules of the service, checked on what partners, clients and the platform saw.

use super::record::{Call, Effect, Ran, Record};
use std::collections::BTreeMap;
use std::time::Duration;

/// Each time limit of the simulator's rules is so much longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// A wait is heeded from so long after its answer was written.
const WAIT_HEARD: Duration = Duration::from_millis(100);

/// Every broken rule, in words.
pub fn broken(record: &Record, window: Duration) -> Vec<String> {
    let mut found = record.unanswered.clone();
    found.extend(duplicates(record, window));
    found.extend(early_calls(record));
    found.extend(without_end(record));
    found
}

fn by_id(calls: &[Call]) -> BTreeMap<&str, Vec<&Call>> {
    let mut by_id: BTreeMap<&str, Vec<&Call>> = BTreeMap::new();
    calls.iter().for_each(|call| by_id.entry(&call.id).or_default().push(call));
    by_id
}

fn duplicates(record: &Record, window: Duration) -> Vec<String> {
    let mut found = Vec::new();
    for (id, calls) in by_id(&record.calls) {
        let Some(first) = calls.iter().find(|call| call.ran != Ran::Never) else { continue };
        for later in calls.iter().filter(|call| call.at > first.at) {
            let after = later.at - first.at;
            let allowed = match Effect::of(id) {
                Effect::Safe => true,
                Effect::Keyed => after <= window + SLACK,
                Effect::Unsafe => false,
            };
            if !allowed {
                found.push(format!(
                    "duplicate: {id} was called again {after:?} after a call that may have run"
                ));
            }
        }
    }
    found
}

/// Calls to a destination that had told to wait; a restart ends the wait.
fn early_calls(record: &Record) -> Vec<String> {
    let mut found = Vec::new();
    for told in record.calls.iter().filter(|call| call.wait > Duration::ZERO) {
        let (from, until) = (told.answered + WAIT_HEARD, told.answered + told.wait);
        let restarted = |at| record.ready.iter().any(|ready| told.answered < *ready && *ready <= at);
        let early = |call: &&Call| call.dest == told.dest && call.at > from && call.at < until;
        for call in record.calls.iter().filter(early).filter(|call| !restarted(call.at)) {
            found.push(format!(
                "wait: {} was called {:?} after {} was told to wait for {:?}",
                call.id,
                call.at - told.answered,
                told.id,
                told.wait
            ));
        }
    }
    found
}

/// What was taken on ends by a delivery or by a notice.
fn without_end(record: &Record) -> Vec<String> {
    let delivered = |id: &str| record.calls.iter().any(|call| call.id == id && call.ran == Ran::Delivered);
    let lost = record.taken.iter().filter(|id| !record.noticed.contains(*id) && !delivered(id));
    lost.map(|id| format!("lost: {id} was taken on and has no end")).collect()
}
