//! Ids of ended messages that are still recognised, in a file of their own.

use super::{Home, Journal, Owed};
use crate::api::Micros;
use std::collections::BTreeMap;
use std::io;

/// The file, its share of the budget, and how it is written anew.
pub(super) const IDS: &str = "ids.log";
const IDS_SHARE: u64 = 8;

impl Journal {
    /// The id of one that ends is recognised for as long as it asked for, if it may have taken effect.
    pub(super) fn recognise(&mut self, msg: u64, now: Micros) {
        let may_have_run = |o: &&Owed| o.risk.is_some() || o.open.is_some();
        let Some(owed) = self.owed.get(&msg).filter(may_have_run) else { return };
        let until = owed.req.keep_id;
        if until > now {
            let id = owed.req.id.clone();
            self.remember(id, until, now);
        }
    }

    fn remember(&mut self, id: String, until: Micros, now: Micros) {
        let line = id_line(&id, until);
        self.ids.insert(id, until);
        // Danger: behind half a line the next one can't be read either; so after a failure the file is written anew.
        self.ids_stale |= self.home.append(IDS, line.as_bytes()).is_err();
        self.ids_bytes += line.len() as u64;
        let most = self.budget / IDS_SHARE;
        if self.ids_bytes > most {
            self.ids.retain(|_, until| *until > now);
            // Still over half its share: those that would go first go now.
            let mut soonest: Vec<(Micros, String)> = self.ids.iter().map(|(i, u)| (*u, i.clone())).collect();
            soonest.sort();
            let mut bytes: u64 = soonest.iter().map(|(u, i)| id_line(i, *u).len() as u64).sum();
            for (until, id) in soonest {
                if bytes <= most / 2 {
                    break;
                }
                bytes -= id_line(&id, until).len() as u64;
                self.ids.remove(&id);
            }
            self.ids_stale = true;
        }
        if self.ids_stale {
            self.rewrite_ids();
        }
    }

    /// Writes the ids anew. After an error the next call does.
    pub(super) fn rewrite_ids(&mut self) {
        if let Ok(bytes) = write_ids(&mut *self.home, &self.ids) {
            (self.ids_bytes, self.ids_stale) = (bytes, false);
        }
    }
}

fn id_line(id: &str, until: Micros) -> String {
    let text = format!("{} {id}", until.0);
    format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes()))
}

/// Reads the ids that are still to be recognised; a torn or damaged line is passed over.
pub(super) fn read_ids(bytes: Vec<u8>, now: Micros) -> BTreeMap<String, Micros> {
    let read = |line: &str| {
        let (sum, text) = line.split_once(' ')?;
        let sum = u32::from_str_radix(sum, 16).ok()?;
        let (until, id) = text.split_once(' ').filter(|_| crc32fast::hash(text.as_bytes()) == sum)?;
        Some((id.to_owned(), Micros(until.parse().ok()?)))
    };
    let text = String::from_utf8_lossy(&bytes);
    text.lines().filter_map(read).filter(|(_, until)| *until > now).collect()
}

/// Writes the ids anew; says how many bytes they take.
pub(super) fn write_ids(home: &mut dyn Home, ids: &BTreeMap<String, Micros>) -> io::Result<u64> {
    let text: String = ids.iter().map(|(id, until)| id_line(id, *until)).collect();
    home.replace(IDS, text.as_bytes())?;
    Ok(text.len() as u64)
}
