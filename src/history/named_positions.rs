//! Classes and tenants in the history's file. A row holds ids that stand for names, as the positions of the names in the settings may be
//! others in the next process. In a file of an older version the ids are the positions.

use super::config::SettingNames;
use super::kept::Kept;
use super::order::first_bytes;
use super::retention::{Scope, ANY};
use super::store::{from_bytes, io_error, to_bytes, KEPT};
use redb::{Database, ReadableTable, TableDefinition, WriteTransaction};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::io;

/// Names by kind and id.
const NAMES: TableDefinition<(u8, u16), &str> = TableDefinition::new("names");
/// The number of the first message whose row was written with ids of names.
const NAMED_FROM: TableDefinition<(), u64> = TableDefinition::new("named_from");
const CLASS: u8 = 0;
const TENANT: u8 = 1;
/// Ids are below this.
const MAX_IDS: u16 = 4_096;
/// A position without a name is written as itself above this, which no id reaches.
const UNNAMED_FROM: u16 = 0x8000;
const MAX_UNNAMED: u16 = 0x4000;
/// Names that the settings lack have positions from here on, by the name, so that they are the same for each courier.
const UNLISTED_FROM: u16 = 0xc000;
const MAX_UNLISTED: u16 = 0x3ff0;
/// The position of a message whose class or tenant is not known.
const UNKNOWN: u16 = ANY - 1;

/// Positions and ids of the classes or of the tenants.
#[derive(Debug, Clone, Default)]
pub(super) struct Positions {
    /// By id.
    names: BTreeMap<u16, String>,
    position_of_id: BTreeMap<u16, u16>,
    id_of_position: BTreeMap<u16, u16>,
}

impl Positions {
    /// Of the names in the file, which gain those of the settings.
    fn new(mut names: BTreeMap<u16, String>, settings: &[String]) -> Positions {
        for name in settings.iter().filter(|name| !name.is_empty()) {
            let next = names.keys().next_back().map_or(0, |id| id + 1);
            if next < MAX_IDS && !names.values().any(|known| known == name) {
                names.insert(next, name.clone());
            }
        }
        let mut positions = Positions::default();
        for (id, name) in &names {
            let listed =
                settings.iter().position(|known| known == name).and_then(|at| u16::try_from(at).ok());
            let position = listed.unwrap_or_else(|| positions.unlisted(name));
            positions.position_of_id.insert(*id, position);
            positions.id_of_position.insert(position, *id);
        }
        Positions { names, ..positions }
    }

    /// A position that no other name has.
    fn unlisted(&self, name: &str) -> u16 {
        let start = (first_bytes(&Sha256::digest(name)) % u64::from(MAX_UNLISTED)) as u16;
        let candidates = (0..MAX_UNLISTED).map(|step| UNLISTED_FROM + (start + step) % MAX_UNLISTED);
        let mut free = candidates.filter(|position| !self.id_of_position.contains_key(position));
        free.next().unwrap_or(UNKNOWN)
    }

    /// Neither the file nor the settings have names: rows hold positions.
    fn is_unnamed(&self) -> bool {
        self.names.is_empty()
    }

    /// How a row holds this position.
    pub fn to_row(&self, position: u16) -> u16 {
        if self.is_unnamed() || position == ANY {
            return position;
        }
        match self.id_of_position.get(&position) {
            Some(id) => *id,
            None if position < MAX_UNNAMED => UNNAMED_FROM + position,
            None => position,
        }
    }

    /// The position of a scope's class or tenant, from its row. One without a name keeps its position: another courier has said it,
    /// whose settings may have more.
    pub fn of_scope(&self, in_row: u16) -> u16 {
        match self.position_of_id.get(&in_row) {
            Some(position) => *position,
            None if !self.is_unnamed() && (UNNAMED_FROM..UNLISTED_FROM).contains(&in_row) => {
                in_row - UNNAMED_FROM
            }
            None => in_row,
        }
    }

    /// The position of a message's class or tenant, from its row. One without a name is not known: its position may be another's by now.
    pub fn of_message(&self, in_row: u16) -> u16 {
        match self.position_of_id.get(&in_row) {
            Some(position) => *position,
            None if self.is_unnamed() || in_row >= UNLISTED_FROM => in_row,
            None => UNKNOWN,
        }
    }
}

/// What a file knows of names.
#[derive(Debug, Clone, Default)]
pub(super) struct NamedPositions {
    pub classes: Positions,
    pub tenants: Positions,
    /// Messages with lower numbers were written by an older version, with positions: nobody knows which names they stood for.
    named_from: u64,
}

impl NamedPositions {
    /// Reads the file's names, and writes down those of the settings that it lacks, before any row holds their ids.
    pub fn open(db: &Database, settings: &SettingNames) -> io::Result<NamedPositions> {
        let (mut classes, mut tenants) = (BTreeMap::new(), BTreeMap::new());
        let transaction = db.begin_write().map_err(io_error)?;
        for row in transaction.open_table(NAMES).map_err(io_error)?.iter().map_err(io_error)? {
            let (key, name) = row.map_err(io_error)?;
            let (kind, id) = key.value();
            let names = if kind == CLASS { &mut classes } else { &mut tenants };
            names.insert(id, name.value().to_owned());
        }
        let named_from =
            match transaction.open_table(NAMED_FROM).map_err(io_error)?.get(()).map_err(io_error)? {
                Some(number) => number.value(),
                // The file has no names yet; if the settings have none either, its rows go on holding positions.
                None if settings.is_empty() => 0,
                None => {
                    let kept = transaction.open_table(KEPT).map_err(io_error)?;
                    let last = kept.last().map_err(io_error)?;
                    last.map_or(0, |(number, _)| number.value() + 1)
                }
            };
        let known = (classes.len(), tenants.len());
        let positions = NamedPositions {
            classes: Positions::new(classes, &settings.classes),
            tenants: Positions::new(tenants, &settings.tenants),
            named_from,
        };
        if (positions.classes.names.len(), positions.tenants.names.len()) != known {
            positions.write(&transaction)?;
            transaction.commit().map_err(io_error)?;
        }
        Ok(positions)
    }

    /// A message's row.
    pub fn row_of(&self, mut kept: Kept) -> Vec<u8> {
        kept.class = self.classes.to_row(kept.class);
        kept.tenant = self.tenants.to_row(kept.tenant);
        to_bytes(&kept)
    }

    /// The message of a row.
    pub fn message(&self, row: &[u8]) -> Option<Kept> {
        let kept: Kept = from_bytes(row)?;
        let (class, tenant) = (self.classes.of_message(kept.class), self.tenants.of_message(kept.tenant));
        Some(Kept { class, tenant, ..kept })
    }

    /// A scope as rows hold it.
    pub fn scope_in_row(&self, scope: Scope) -> Scope {
        Scope { tenant: self.tenants.to_row(scope.tenant), class: self.classes.to_row(scope.class), ..scope }
    }

    /// The scope that a row holds.
    pub fn scope(&self, in_row: Scope) -> Scope {
        let (tenant, class) = (self.tenants.of_scope(in_row.tenant), self.classes.of_scope(in_row.class));
        Scope { tenant, class, ..in_row }
    }

    /// Whether a message's row may stand for another class than it had.
    pub fn is_uncertain(&self, number: u64) -> bool {
        number < self.named_from
    }

    /// Writes down all names in a file that was begun anew.
    pub fn write_to(&self, db: &Database) -> io::Result<()> {
        let transaction = db.begin_write().map_err(io_error)?;
        self.write(&transaction)?;
        transaction.commit().map_err(io_error)
    }

    /// Writes down all names.
    pub fn write(&self, transaction: &WriteTransaction) -> io::Result<()> {
        let mut table = transaction.open_table(NAMES).map_err(io_error)?;
        for (kind, positions) in [(CLASS, &self.classes), (TENANT, &self.tenants)] {
            for (id, name) in &positions.names {
                table.insert((kind, *id), name.as_str()).map_err(io_error)?;
            }
        }
        let mut table = transaction.open_table(NAMED_FROM).map_err(io_error)?;
        table.insert((), self.named_from).map_err(io_error)?;
        Ok(())
    }
}
