//! The figures that operators read: what became of messages since the process began, by class, and how things stand.
//!
//! Each message moves one count, once, where the core lets go of it:
//!
//! | end | count |
//! | --- | --- |
//! | an endpoint said 200 (delivered) | `completed` |
//! | turned away when handed in: 503 or 429, a drain, no room | `rejected` |
//! | handed back by a notice or a bounce that says so | `rejected` |
//! | given up; its notice or bounce has been taken | `failed` |
//! | an endpoint said that it is over (410) | `failed` |
//! | no such destination (404) | `failed` |
//! | its client went before it was told that it is taken on | none |
//! | handed in again while it is owed, or recognised after its end | none |
//!
//! A message whose end is decided and not told yet is still `pending`.

use crate::core::attempt_log::AttemptCounts;
use serde_json::{Map, Value};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

/// How a message ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    /// Delivered.
    Completed,
    /// Refused, or handed back.
    Rejected,
    /// Failed.
    Failed,
}

/// Counts and levels, all of one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// By how they ended, then by class.
    ended: [Vec<u64>; 3],
    /// Delivered, of all classes.
    delivered: u64,
    /// Messages taken on and not ended.
    pub pending: u64,
    /// Endpoints in the list.
    pub members: u64,
    /// Those of them that get nothing now, by hand or by choice.
    pub unavailable: u64,
    /// The core would call itself ready.
    pub ready: bool,
    /// What became of attempts.
    pub attempts: AttemptCounts,
}

impl Figures {
    /// A message has ended.
    pub fn count(&mut self, ended: Ended, class: u16) {
        let counts = &mut self.ended[ended as usize];
        let class = usize::from(class);
        if counts.len() <= class {
            counts.resize(class + 1, 0);
        }
        counts[class] += 1;
        self.delivered += u64::from(ended == Ended::Completed);
    }

    /// How many have ended so.
    pub fn ended(&self, ended: Ended, class: u16) -> u64 {
        self.ended[ended as usize].get(usize::from(class)).copied().unwrap_or(0)
    }

    /// As operators read them; `written`: messages written whole to endpoints; `shared`: what the fleet believes.
    pub fn json(&self, classes: &[String], written: u64, shared: Option<Value>) -> String {
        let by_class = |ended: Ended| {
            let mut counts = Map::new();
            // One name may stand for several classes.
            for (class, name) in classes.iter().enumerate().filter(|(_, name)| !name.is_empty()) {
                let more = self.ended(ended, class as u16);
                let before = counts.get(name).and_then(Value::as_u64).unwrap_or(0);
                counts.insert(name.clone(), Value::from(before + more));
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
        ];
        let all = all.into_iter().chain(shared.map(|shared| ("shared", shared)));
        Value::Object(all.map(|(name, value)| (name.to_owned(), value)).collect()).to_string()
    }
}

/// Where the core's owner puts them and others read them. The lock is held for a copy, never over anything that waits.
#[derive(Debug, Default)]
pub struct Board {
    figures: Mutex<Figures>,
    written: AtomicU64,
    delivered: AtomicU64,
}

impl Board {
    /// The figures as last published.
    pub fn read(&self) -> Figures {
        self.figures.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts new ones in their place.
    pub fn publish(&self, figures: &Figures) {
        self.delivered.store(figures.delivered, Ordering::Relaxed);
        self.figures.lock().unwrap_or_else(PoisonError::into_inner).clone_from(figures);
    }

    /// How many messages have been delivered, read without a lock.
    pub fn delivered(&self) -> u64 {
        self.delivered.load(Ordering::Relaxed)
    }

    /// A message's last byte has been written to an endpoint.
    pub fn wrote(&self) {
        self.written.fetch_add(1, Ordering::Relaxed);
    }

    /// How many were.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn classes_are_told_by_name_and_all_of_them() {
        let mut figures = Figures { pending: 3, members: 5, unavailable: 1, ..Figures::default() };
        figures.count(Ended::Completed, 2);
        figures.count(Ended::Completed, 0);
        figures.count(Ended::Failed, 1);
        let names = ["order".to_owned(), "status".to_owned(), "order".to_owned()];
        let read: Value = serde_json::from_str(&figures.json(&names, 9, None)).unwrap();
        assert_eq!(read["completed"], serde_json::json!({"order": 2, "status": 0}));
        assert_eq!(read["rejected"], serde_json::json!({"order": 0, "status": 0}));
        assert_eq!(read["failed"], serde_json::json!({"order": 0, "status": 1}));
        assert_eq!((&read["upstream_requests"], &read["pending"]), (&9.into(), &3.into()));
        assert_eq!((&read["members"], &read["members_unavailable"]), (&5.into(), &1.into()));
        assert!(read.get("shared").is_none());
        let board = Board::default();
        board.publish(&figures);
        assert_eq!(board.delivered(), 2);
    }
}
