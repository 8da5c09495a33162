//! Orders to send again in the history's file: what the fleet knows of them outlasts the process.

use super::orders::{Known, Orders, Row};
use super::replay::{Claim, Item};
use super::store::{from_bytes, io_error, to_bytes, History};
use redb::{ReadableTable, TableDefinition, TableError};
use std::collections::BTreeMap;
use std::io;

const ORDERS: TableDefinition<u64, &[u8]> = TableDefinition::new("orders");

impl History {
    /// What is known.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// What no row holds: how far parts are.
    pub(crate) fn orders_mut(&mut self) -> &mut Orders {
        &mut self.orders
    }

    pub(super) fn load_orders(&mut self) -> io::Result<()> {
        let mut rows = Vec::new();
        self.read_transaction(|t| {
            // There is none before the first order: it takes a page.
            let table = match t.open_table(ORDERS) {
                Err(TableError::TableDoesNotExist(_)) => return Ok(()),
                table => table.map_err(io_error)?,
            };
            for row in table.iter().map_err(io_error)? {
                let (id, value) = row.map_err(io_error)?;
                rows.extend(from_bytes::<Row>(value.value()).map(|row| (id.value(), row)));
            }
            Ok(())
        })?;
        self.saved = rows.iter().map(|(id, row)| (*id, to_bytes(row))).collect();
        for (id, mut row) in rows {
            let tenant = &mut row.given.order.tenant;
            *tenant = self.names.tenants.of_scope(*tenant);
            // Its number comes from what it says, and claims are kept under it.
            if row.given.order.id() == id {
                self.orders.known.insert(id, Known::of(row));
            } else {
                tracing::warn!(target: "history", order = id, "its tenant has another place in the settings; it has to be given again");
            }
        }
        Ok(())
    }

    /// The rows of all orders that are known.
    fn order_rows(&self) -> BTreeMap<u64, Vec<u8>> {
        let row = |known: &Known| {
            let mut row = known.row.clone();
            row.given.order.tenant = self.names.tenants.to_row(row.given.order.tenant);
            to_bytes(&row)
        };
        self.orders.known.iter().map(|(id, known)| (*id, row(known))).collect()
    }

    /// Changes what is known, and writes what of it outlasts the process before it returns: only then may it be acknowledged or
    /// said. What can't be written has not changed.
    pub fn change<T>(&mut self, by: impl FnOnce(&mut Orders) -> T) -> io::Result<T> {
        let before = self.orders.clone();
        let out = by(&mut self.orders);
        let rows = self.order_rows();
        if rows == self.saved {
            return Ok(out);
        }
        let gone: Vec<u64> = self.saved.keys().filter(|id| !rows.contains_key(id)).copied().collect();
        let new: Vec<(u64, Vec<u8>)> = rows
            .iter()
            .filter(|(id, row)| self.saved.get(id) != Some(row))
            .map(|(id, r)| (*id, r.clone()))
            .collect();
        let written = self.write_transaction(|t| {
            let mut table = t.open_table(ORDERS).map_err(io_error)?;
            for id in &gone {
                table.remove(id).map_err(io_error)?;
            }
            for (id, row) in &new {
                table.insert(id, row.as_slice()).map_err(io_error)?;
            }
            Ok(())
        });
        match written {
            Ok(()) => self.saved = rows,
            Err(_) => self.orders = before,
        }
        written.map(|()| out)
    }

    /// A message that a former life may have claimed is as one with a claim that has no end. Danger: nobody knows when; its key's
    /// window is taken to have begun with its first fetch, which was earlier.
    pub(super) fn doubt(&self, item: &mut Item) {
        for (id, known) in &self.orders.known {
            if known.row.given.order.covers(&item.about) && self.orders.doubtful(*id, item.about.ended) {
                item.claims.entry(*id).or_insert(Claim::Sending { at: item.first, life: 0 });
            }
        }
    }
}
