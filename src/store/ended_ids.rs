//! Ids of ended messages that are still recognised, in a file of their own.

use super::{Journal, MessageState, Storage};
use crate::api::Micros;
use std::collections::BTreeMap;
use std::io;

/// Name of the file.
pub(super) const IDS_FILE: &str = "ids.log";
/// The file takes at most the journal's budget divided by this.
const BUDGET_DIVISOR: u64 = 8;

impl Journal {
    /// Remembers the id of a message that ends, until its `keep_id_until`, if the message may have taken effect.
    pub(super) fn remember_id(&mut self, msg: u64, now: Micros) {
        let may_have_run =
            |state: &&MessageState| state.first_uncertain.is_some() || state.open_attempt.is_some();
        let Some(state) = self.pending.get(&msg).filter(may_have_run) else { return };
        let until = state.req.keep_id_until;
        if until > now {
            let id = state.req.id.clone();
            self.add_id(id, until, now);
        }
    }

    fn add_id(&mut self, id: String, until: Micros, now: Micros) {
        let line = id_line(&id, until);
        self.ended_ids.insert(id, until);
        // After a failed append the file is rewritten: a line that follows an incomplete line can't be read either.
        self.ids_stale |= self.storage.append(IDS_FILE, line.as_bytes()).is_err();
        self.ids_bytes += line.len() as u64;
        let max_bytes = self.budget / BUDGET_DIVISOR;
        if self.ids_bytes > max_bytes {
            self.ended_ids.retain(|_, until| *until > now);
            // If the rest takes more than half of the limit, the ids that expire first are dropped early.
            let mut by_expiry: Vec<(Micros, String)> =
                self.ended_ids.iter().map(|(id, until)| (*until, id.clone())).collect();
            by_expiry.sort();
            let mut bytes: u64 = by_expiry.iter().map(|(until, id)| id_line(id, *until).len() as u64).sum();
            for (until, id) in by_expiry {
                if bytes <= max_bytes / 2 {
                    break;
                }
                bytes -= id_line(&id, until).len() as u64;
                self.ended_ids.remove(&id);
            }
            self.ids_stale = true;
        }
        if self.ids_stale {
            self.rewrite_ids();
        }
    }

    /// Rewrites the file. After an error the next call tries again.
    pub(super) fn rewrite_ids(&mut self) {
        if let Ok(bytes) = write_ids(&mut *self.storage, &self.ended_ids) {
            (self.ids_bytes, self.ids_stale) = (bytes, false);
        }
    }
}

/// One line of the file: a checksum, the expiry time and the id.
fn id_line(id: &str, until: Micros) -> String {
    let text = format!("{} {id}", until.0);
    format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}

/// Reads the ids that are still to be recognised; incomplete and damaged lines are skipped.
pub(super) fn read_ids(bytes: Vec<u8>, now: Micros) -> BTreeMap<String, Micros> {
    let read_line = |line: &str| {
        let (sum, text) = line.split_once(' ')?;
        let sum = u32::from_str_radix(sum, 16).ok()?;
        let (until, id) = text.split_once(' ').filter(|_| crc32fast::hash(text.as_bytes()) == sum)?;
        Some((id.to_owned(), Micros(until.parse().ok()?)))
    };
    let text = String::from_utf8_lossy(&bytes);
    text.lines().filter_map(read_line).filter(|(_, until)| *until > now).collect()
}

/// Replaces the file with one that holds these ids; returns its length in bytes.
pub(super) fn write_ids(storage: &mut dyn Storage, ids: &BTreeMap<String, Micros>) -> io::Result<u64> {
    let text: String = ids.iter().map(|(id, until)| id_line(id, *until)).collect();
    storage.replace(IDS_FILE, text.as_bytes())?;
    Ok(text.len() as u64)
}
