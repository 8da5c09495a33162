//! The record of a case: a file to which all of its processes append whole lines.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

pub struct Record {
    file: File,
    start_ms: u128,
}

pub fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

impl Record {
    /// `start` is the time at which the case began, in milliseconds since 1970.
    pub fn open(path: &str, start: &str) -> Record {
        let file =
            OpenOptions::new().create(true).append(true).open(path).expect("the record can't be opened");
        Record { file, start_ms: start.parse().expect("START_MS is a number") }
    }

    /// Seconds since the case began.
    pub fn seconds(&self) -> f64 {
        now_ms().saturating_sub(self.start_ms) as f64 / 1e3
    }

    /// Appends one event as one line, by one write.
    pub fn line(&self, who: &str, what: &str) {
        let line = format!("{:8.3} {who}: {what}\n", self.seconds());
        (&self.file).write_all(line.as_bytes()).expect("the record can't be written");
    }
}
