//! The metrics that the admin server reports: how many messages have ended since the start of the process, by class and by
//! how they ended, and the present levels.
//!
//! Each message is counted once, when the core removes it:
//!
//! | end of the message | counter |
//! | --- | --- |
//! | an endpoint answered 200 (delivered) | `completed` |
//! | refused when submitted: 503 or 429, a drain, no capacity | `rejected` |
//! | returned to its sender by a notice or a bounce that says so | `rejected` |
//! | given up, and the notice or bounce was accepted | `failed` |
//! | an endpoint answered that the message is obsolete (410) | `failed` |
//! | no such destination (404) | `failed` |
//! | the client disconnected before it was told that the message is accepted | none |
//! | submitted again while it is pending, or recognised after its end | none |
//!
//! A message whose end is decided but not reported yet still counts as `pending`.

use crate::core::attempt_log::AttemptCounts;
use crate::store::EndedIdFigures;
use serde_json::{json, Map, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Delivered.
    Completed,
    /// Refused when submitted, or returned to its sender.
    Rejected,
    /// Given up, obsolete, or without a destination.
    Failed,
}

/// Counters and levels at one point in time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Ended messages, by [`Ended`], then by class.
    ended: [Vec<u64>; 3],
    /// Delivered messages of all classes.
    delivered: u64,
    /// Messages that were accepted and have not ended.
    pub pending: u64,
    /// Listed endpoints.
    pub members: u64,
    /// Those of them to which nothing is sent now, because operators excluded them or the core avoids them.
    pub unavailable: u64,
    /// Whether the core is ready.
    pub ready: bool,
    /// Attempts by how they ended.
    pub attempts: AttemptCounts,
    /// Ids of ended messages that are recognised.
    pub ended_ids: EndedIdFigures,
    /// Messages that were refused because their ids could not be remembered.
    pub refused_for_ids: u64,
}

impl Metrics {
    /// Counts a message that has ended.
    pub fn count(&mut self, ended: Ended, class: u16) {
        let counts = &mut self.ended[ended as usize];
        let class = usize::from(class);
        if counts.len() <= class {
            counts.resize(class + 1, 0);
        }
        counts[class] += 1;
        self.delivered += u64::from(ended == Ended::Completed);
    }

    /// Number of messages of a class that have ended this way.
    pub fn ended(&self, ended: Ended, class: u16) -> u64 {
        self.ended[ended as usize].get(usize::from(class)).copied().unwrap_or(0)
    }

    fn ended_ids_json(&self) -> Value {
        let EndedIdFigures { kept, capacity, dropped } = self.ended_ids;
        json!({"kept": kept, "capacity": capacity, "dropped": dropped, "refused": self.refused_for_ids})
    }

    /// The metrics as the admin server reports them. `written` is the number of messages written in full to endpoints, and
    /// `shared` the shared health of the fleet.
    pub fn json(&self, classes: &[String], written: u64, shared: Option<Value>) -> String {
        let by_class = |ended: Ended| {
            let mut counts = Map::new();
            // Several classes may have the same name.
            for (class, name) in classes.iter().enumerate().filter(|(_, name)| !name.is_empty()) {
                let added = self.ended(ended, class as u16);
                let before = counts.get(name).and_then(Value::as_u64).unwrap_or(0);
                counts.insert(name.clone(), Value::from(before + added));
            }
            Value::Object(counts)
        };
        let all = [
            ("completed", by_class(Ended::Completed)),
            ("rejected", by_class(Ended::Rejected)),
            ("failed", by_class(Ended::Failed)),
            ("upstream_requests", written.into()),
            ("pending", self.pending.into()),
            ("members", self.members.into()),
            ("members_unavailable", self.unavailable.into()),
            ("attempts", self.attempts.json()),
            ("ended_ids", self.ended_ids_json()),
        ];
        let all = all.into_iter().chain(shared.map(|shared| ("shared", shared)));
        Value::Object(all.map(|(name, value)| (name.to_owned(), value)).collect()).to_string()
    }
}

/// The metrics as the core's owner last published them, for other threads. The lock is held only for a copy.
#[derive(Debug, Default)]
pub struct PublishedMetrics {
    metrics: Mutex<Metrics>,
    written: AtomicU64,
    delivered: AtomicU64,
}

impl PublishedMetrics {
    /// The metrics as last published.
    pub fn read(&self) -> Metrics {
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the published metrics.
    pub fn publish(&self, metrics: &Metrics) {
        self.delivered.store(metrics.delivered, Ordering::Relaxed);
        self.metrics.lock().unwrap_or_else(PoisonError::into_inner).clone_from(metrics);
    }

    /// Number of messages delivered, read without a lock.
    pub fn delivered(&self) -> u64 {
        self.delivered.load(Ordering::Relaxed)
    }

    /// Counts a message whose last byte was written to an endpoint.
    pub fn count_written(&self) {
        self.written.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of messages written in full to endpoints.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_class_is_reported_by_its_name() {
        let mut metrics = Metrics { pending: 3, members: 5, unavailable: 1, ..Metrics::default() };
        metrics.count(Ended::Completed, 2);
        metrics.count(Ended::Completed, 0);
        metrics.count(Ended::Failed, 1);
        let names = ["order".to_owned(), "status".to_owned(), "order".to_owned()];
        let read: Value = serde_json::from_str(&metrics.json(&names, 9, None)).unwrap();
        assert_eq!(read["completed"], serde_json::json!({"order": 2, "status": 0}));
        assert_eq!(read["rejected"], serde_json::json!({"order": 0, "status": 0}));
        assert_eq!(read["failed"], serde_json::json!({"order": 0, "status": 1}));
        assert_eq!((&read["upstream_requests"], &read["pending"]), (&9.into(), &3.into()));
        assert_eq!((&read["members"], &read["members_unavailable"]), (&5.into(), &1.into()));
        assert!(read.get("shared").is_none());
        let published = PublishedMetrics::default();
        published.publish(&metrics);
        assert_eq!(published.delivered(), 2);
    }
}
