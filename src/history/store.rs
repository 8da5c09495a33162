//! The history on disk. The journal records that a message has ended; [`History::take_in`] stores the message here later, in one
//! transaction with the journal's number of the last end, and only then does the journal release it. At a start it is called with
//! the ends that the journal has behind that number, and [`History::still_owed`] with the pending messages of the journal. So a
//! message is in the journal or here at whatever moment the process was killed. Every message that is shown or sent passes the
//! rules of retention, and none is before enough other couriers were heard.

use super::config::HistoryConfig;
use super::file;
use super::index::{Index, Meta, BESIDE};
pub use super::kept::Kept;
use super::named_positions::NamedPositions;
use super::orders::Orders;
use super::replay::Claim;
use super::retention::{decode, encode, About, Book, Entry, Scope};
use super::taking::{put_mark, MARK};
use crate::api::Micros;
pub use crate::store::EndKind;
use crate::store::MessageState;
use redb::{Database, ReadableTable, TableDefinition, WriteTransaction};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

pub(super) const KEPT: TableDefinition<u64, &[u8]> = TableDefinition::new("kept");
pub(super) const CLAIMS: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("claims");
const BOOK: TableDefinition<&[u8], &[u8]> = TableDefinition::new("book");

/// Bytes of the file without any message.
const EMPTY_FILE_BYTES: u64 = 600 * 1_024;
/// Bytes of the file for each byte that is kept, including the copies that a transaction makes.
const FILE_BYTES_PER_KEPT_BYTE: u64 = 3;
/// Limits of the messages that are written in one transaction.
const MAX_BATCH_MESSAGES: usize = 256;
/// Messages that are deleted at a time, because the core may be waiting for the history.
pub const MAX_DELETED_AT_ONCE: usize = 500;
const MAX_BATCH_BYTES: u64 = 64 * 1024;

/// Numbers of messages that the history deleted or did not keep, and of failures of its file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counts {
    /// Deleted by age, by a forget order, or because no policy covers them.
    pub deleted: u64,
    /// Deleted early because a limit on bytes or messages was reached, of the history or of a policy.
    pub dropped: u64,
    /// Those of them that a hold covered.
    pub dropped_held: u64,
    /// Not kept because the file could not be written.
    pub unwritten: u64,
    /// How often the file was damaged and replaced by a new one.
    pub begun_anew: u64,
    /// Transactions that failed.
    pub failed: u64,
}

/// The ended messages that one courier keeps.
pub struct History {
    path: PathBuf,
    disk: u64,
    db: Option<Database>,
    pub(super) book: Book,
    /// Scopes whose entry is known and not on disk yet.
    unsaved: BTreeSet<Scope>,
    /// Messages that must be deleted and are not deleted yet.
    pub(super) undeleted: Vec<u64>,
    pub(super) index: Index,
    /// What the rows' ids of classes and tenants stand for.
    pub(super) names: NamedPositions,
    pending: Vec<(u64, Kept)>,
    pending_bytes: u64,
    pub(super) mark: Option<u64>,
    pub(super) counts: Counts,
    pub(super) orders: Orders,
    /// Rows of orders as the file has them.
    pub(super) saved: BTreeMap<u64, Vec<u8>>,
}

/// An error of the database as an I/O error.
pub(super) fn io_error(e: impl Into<redb::Error>) -> io::Error {
    io::Error::other(e.into())
}

/// Encodes a value for the file or for another courier.
pub(super) fn to_bytes<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Decodes a value; `None` if it is malformed.
pub(super) fn from_bytes<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    postcard::from_bytes(bytes).ok()
}

impl History {
    /// Opens `history.redb` in a folder that this process owns, and reads what is there.
    pub fn open(dir: &Path, config: &HistoryConfig) -> io::Result<History> {
        let path = dir.join("history.redb");
        let (db, anew) = file::open(&path, config.disk)?;
        let names = NamedPositions::open(&db, &config.names)?;
        let mut history = History {
            path,
            names,
            disk: config.disk,
            db: Some(db),
            book: Book::new(config.entries),
            unsaved: BTreeSet::new(),
            undeleted: Vec::new(),
            index: Index::new(
                config.disk.saturating_sub(EMPTY_FILE_BYTES) / FILE_BYTES_PER_KEPT_BYTE,
                config,
            ),
            pending: Vec::new(),
            pending_bytes: 0,
            mark: None,
            counts: Counts { begun_anew: u64::from(anew), ..Counts::default() },
            orders: Orders { stands: config.stands, ..Orders::default() },
            saved: BTreeMap::new(),
        };
        history.load()?;
        history.load_orders()?;
        Ok(history)
    }

    fn load(&mut self) -> io::Result<()> {
        let (mut book, mut kept, mut claims, mut mark) = (Vec::new(), Vec::new(), Vec::new(), None);
        let names = self.names.clone();
        self.write_transaction(|t| {
            mark = t.open_table(MARK).map_err(io_error)?.get(()).map_err(io_error)?.map(|m| m.value());
            for row in t.open_table(BOOK).map_err(io_error)?.iter().map_err(io_error)? {
                let entry = decode(row.map_err(io_error)?.1.value());
                book.extend(entry.map(|(scope, entry)| (names.scope(scope), entry)));
            }
            for row in t.open_table(KEPT).map_err(io_error)?.iter().map_err(io_error)? {
                let (number, value) = row.map_err(io_error)?;
                let bytes = value.value().len() as u64;
                kept.extend(names.message(value.value()).map(|k| (number.value(), Meta::of(&k, bytes))));
            }
            for row in t.open_table(CLAIMS).map_err(io_error)?.iter().map_err(io_error)? {
                let (key, value) = row.map_err(io_error)?;
                claims.extend(from_bytes::<Claim>(value.value()).map(|c| (key.value(), c)));
            }
            Ok(())
        })?;
        self.mark = self.mark.max(mark);
        for (scope, entry) in book {
            self.book.join(scope, entry);
        }
        kept.into_iter().for_each(|(number, meta)| self.index.enter(number, meta));
        for ((number, order), claim) in claims {
            self.index.claim(number, order, claim);
        }
        Ok(())
    }

    /// A transaction that takes effect as a whole or not at all. After a failure the file is opened again, because the library
    /// refuses further transactions.
    pub(super) fn write_transaction(
        &mut self, by: impl FnOnce(&WriteTransaction) -> io::Result<()>,
    ) -> io::Result<()> {
        let done = self.with(|db| {
            let transaction = db.begin_write().map_err(io_error)?;
            by(&transaction)?;
            transaction.commit().map_err(io_error)
        });
        if done.is_err() {
            self.counts.failed += 1;
            let db = self.db.take();
            // The library accesses its file once more when it is closed, and may panic.
            let _ = catch_unwind(AssertUnwindSafe(|| drop(db)));
            if let Ok((db, anew)) = file::open(&self.path, self.disk) {
                let named = !anew || self.names.write_to(&db).is_ok();
                self.db = Some(db).filter(|_| named);
                self.counts.begun_anew += u64::from(anew);
                if anew {
                    self.saved.clear();
                    self.unsaved.extend(self.book.entries().keys());
                }
            }
        }
        done
    }

    /// A transaction that only reads.
    pub(super) fn read_transaction(
        &self, by: impl FnOnce(&redb::ReadTransaction) -> io::Result<()>,
    ) -> io::Result<()> {
        self.with(|db| by(&db.begin_read().map_err(io_error)?))
    }

    /// The library panics on some damage; that must not end the process.
    fn with(&self, by: impl FnOnce(&Database) -> io::Result<()>) -> io::Result<()> {
        let db = self.db.as_ref().ok_or_else(|| io::Error::other("history is shut"))?;
        let done = catch_unwind(AssertUnwindSafe(|| by(db)));
        done.unwrap_or_else(|_| Err(io::Error::other("the history's file can't be read")))
    }

    /// Whether all known entries of retention are on disk and have been applied.
    pub fn settled(&self) -> bool {
        self.unsaved.is_empty() && self.undeleted.is_empty() && self.book.whole()
    }

    pub(super) fn delete(&mut self, numbers: &[u64]) -> io::Result<()> {
        if numbers.is_empty() {
            return Ok(());
        }
        let claims = self.index.claims_of(numbers);
        self.write_transaction(|t| erase(t, numbers, &claims))?;
        numbers.iter().for_each(|n| drop(self.index.leave(*n)));
        Ok(())
    }

    /// A message has ended. It is kept if a policy says so; a message with the same number is the same message. Nothing is on disk
    /// before [`History::write`].
    pub fn ended(&mut self, now: Micros, number: u64, owed: &MessageState, how: EndKind) {
        self.take_one(now, now, number, owed, how);
    }

    pub(super) fn take_one(
        &mut self, now: Micros, ended: Micros, number: u64, owed: &MessageState, how: EndKind,
    ) {
        let req = &owed.req;
        let about = About { tenant: req.tenant, class: req.class, dest: req.dest, ended };
        if self.book.gone(now, &about).is_some() {
            return;
        }
        let first = owed
            .first_uncertain
            .clone()
            .or_else(|| owed.open_attempt.clone())
            .map_or((ended, String::new()), |attempt| (attempt.at, attempt.backend));
        let kept = Kept {
            id: req.id.clone(),
            front: req.front,
            dest: req.dest,
            class: req.class,
            tenant: req.tenant,
            head: req.head.clone(),
            body: req.body.to_vec(),
            due: req.due,
            first,
            ended,
            how,
            said: owed.last_reply.clone(),
        };
        let bytes = (kept.body.len() + kept.head.len()) as u64 + BESIDE;
        if bytes > self.index.room / 4 {
            self.counts.unwritten += 1;
            return;
        }
        self.pending_bytes += bytes;
        self.pending.push((number, kept));
        if self.pending.len() >= MAX_BATCH_MESSAGES || self.pending_bytes >= MAX_BATCH_BYTES {
            self.write(now);
        }
    }

    /// Writes the messages that have ended, and makes room for them. If that fails twice they are not kept, and are counted.
    pub fn write(&mut self, now: Micros) {
        self.pending_bytes = 0;
        let names = &self.names;
        let encode = |(number, kept): (u64, Kept)| {
            let mut meta = Meta::of(&kept, 0);
            let row = names.row_of(kept);
            meta.bytes = row.len() as u64;
            (number, meta, row)
        };
        let pending: Vec<(u64, Meta, Vec<u8>)> = self.pending.drain(..).map(encode).collect();
        if pending.is_empty() || self.write_all(&pending).is_ok() {
            return;
        }
        // The file's content differs from the index, or the file is full: half of the messages are deleted.
        self.reload(now);
        if self.write_all(&pending).is_err() {
            self.counts.unwritten += pending.len() as u64;
            self.index.clear();
            let _ = self.load();
        }
    }

    fn write_all(&mut self, pending: &[(u64, Meta, Vec<u8>)]) -> io::Result<()> {
        for (number, meta, _) in pending {
            self.index.enter(*number, meta.clone());
        }
        let over = self.index.over(&self.book);
        let claims = self.index.claims_of(&over);
        let gone: BTreeSet<u64> = over.iter().copied().collect();
        let mark = self.mark;
        self.write_transaction(|t| {
            erase(t, &over, &claims)?;
            let mut table = t.open_table(KEPT).map_err(io_error)?;
            for (number, _, bytes) in pending.iter().filter(|(n, ..)| !gone.contains(n)) {
                table.insert(number, bytes.as_slice()).map_err(io_error)?;
            }
            put_mark(t, mark)
        })?;
        let held = over.iter().filter(|n| self.index.metas.get(n).is_some_and(|m| self.book.held(&m.about)));
        self.counts.dropped_held += held.count() as u64;
        self.counts.dropped += over.len() as u64;
        over.iter().for_each(|n| drop(self.index.leave(*n)));
        Ok(())
    }

    fn reload(&mut self, now: Micros) {
        self.index.clear();
        let _ = self.load();
        let half: Vec<u64> =
            self.index.order.iter().take(self.index.order.len() / 2).map(|(_, n)| *n).collect();
        if self.delete(&half).is_ok() {
            self.counts.dropped += half.len() as u64;
        }
        let _ = self.sweep(now);
    }

    /// Deletes messages that are still pending in the journal: the process was killed before the journal had written their ends.
    pub fn still_owed(&mut self, numbers: impl IntoIterator<Item = u64>) -> io::Result<()> {
        let cut: Vec<u64> = numbers.into_iter().filter(|n| self.index.metas.contains_key(n)).collect();
        self.delete(&cut)
    }

    /// One more than the largest number kept. The journal's numbers come from the clock; if the clock is set back, a new message must
    /// not replace an ended one.
    pub fn next_number(&self) -> u64 {
        self.index.metas.keys().next_back().map_or(0, |n| n + 1)
    }

    /// Adds entries of other couriers or of the operators' file. Once it returns, they are on disk and hold for every message that is
    /// shown or sent. Up to [`MAX_DELETED_AT_ONCE`] messages that they forbid are deleted, the others by [`History::clear`]. The
    /// entries may be acknowledged once none is left ([`History::told`]).
    pub fn apply(&mut self, now: Micros, entries: &[(Scope, Entry)]) -> io::Result<bool> {
        let mut book = self.book.clone();
        let joined: Vec<bool> = entries.iter().map(|(scope, entry)| book.join(*scope, *entry)).collect();
        // An entry holds at once, also if it can't be written; it is acknowledged only once it is on disk.
        self.book = book;
        let new = entries.iter().zip(joined).filter(|(_, new)| *new);
        self.unsaved.extend(new.map(|((scope, _), _)| *scope));
        if self.unsaved.is_empty() {
            return Ok(false);
        }
        self.write(now);
        let mut gone = self.index.gone(now, &self.book);
        let undeleted = gone.split_off(gone.len().min(MAX_DELETED_AT_ONCE));
        let claims = self.index.claims_of(&gone);
        let known = self.unsaved.iter().filter_map(|s| self.book.entries().get(s).map(|e| (s, e)));
        let in_row = known.map(|(scope, entry)| (self.names.scope_in_row(*scope), *entry));
        let rows: Vec<(Vec<u8>, Vec<u8>)> = in_row.map(|(s, e)| (to_bytes(&s), encode(s, e))).collect();
        self.write_transaction(|t| {
            erase(t, &gone, &claims)?;
            let mut table = t.open_table(BOOK).map_err(io_error)?;
            for (scope, entry) in &rows {
                table.insert(scope.as_slice(), entry.as_slice()).map_err(io_error)?;
            }
            Ok(())
        })?;
        self.unsaved.clear();
        self.undeleted = undeleted;
        self.counts.deleted += gone.len() as u64;
        gone.iter().for_each(|n| drop(self.index.leave(*n)));
        Ok(true)
    }

    /// Deletes all messages that retention forbids. Returns their number.
    pub fn sweep(&mut self, now: Micros) -> io::Result<usize> {
        let gone = self.index.gone(now, &self.book);
        self.delete(&gone)?;
        self.counts.deleted += gone.len() as u64;
        Ok(gone.len())
    }
}

fn erase(t: &WriteTransaction, numbers: &[u64], claims: &[(u64, u64)]) -> io::Result<()> {
    let mut table = t.open_table(KEPT).map_err(io_error)?;
    for number in numbers {
        table.remove(number).map_err(io_error)?;
    }
    let mut table = t.open_table(CLAIMS).map_err(io_error)?;
    for key in claims {
        table.remove(key).map_err(io_error)?;
    }
    Ok(())
}
