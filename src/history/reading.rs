//! What of the history is shown, planned and sent: all of it through what is known of retention.

use super::hearing::{Hearing, Told};
use super::replay::{Claim, Gate, Item, Life, Not, Order};
use super::retention::{Book, Scope, ANY};
use super::store::{io_error, to_bytes, Counts, History, Kept, CLAIMS, KEPT};
use crate::api::{Effect, Micros};
use std::collections::BTreeSet;
use std::io;
use std::ops::Bound;

/// What the settings and the register say of messages: what a repeat can do, by class, and whether an endpoint of the key's
/// group is there, by destination and the backend of the first fetch.
pub struct World<'a> {
    /// By class.
    pub effect: &'a dyn Fn(u16) -> Effect,
    /// By destination, backend and class.
    pub group: &'a dyn Fn(u16, &str, u16) -> bool,
}

/// Messages of a page that are looked at: whoever has the file is waited for.
const LOOKED_AT: usize = 4_000;
/// Bytes that a page takes as kept, texts included; one message is always read.
const PAGE_BYTES: u64 = 256 * 1024;

/// A place in the history: when a message ended, and its number. All couriers have the same order.
pub type Mark = (Micros, u64);

/// Some messages of a channel, the oldest first.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// With their numbers.
    pub rows: Vec<(u64, Kept)>,
    /// There may be more after this place: nothing up to it is lacking in `rows`.
    pub upto: Option<Mark>,
}

impl History {
    /// Messages of a scope that ended after `after` and before `until`, the oldest first, `most` of them: a page as long as may be
    /// read in one go. `None`: as with [`History::shown`].
    pub fn page(
        &mut self, now: Micros, hearing: &Hearing, scope: Scope, (after, until): (Mark, Micros), most: usize,
    ) -> io::Result<Option<Page>> {
        if !hearing.informed() || !self.book.whole() {
            return Ok(None);
        }
        if after >= (until, 0) {
            return Ok(Some(Page { rows: Vec::new(), upto: None }));
        }
        let none = BTreeSet::new();
        let order = match scope.tenant {
            ANY => &self.index.order,
            tenant => self.index.tenants.get(&tenant).unwrap_or(&none),
        };
        let mut there = order.range((Bound::Excluded(after), Bound::Excluded((until, 0)))).peekable();
        let (mut numbers, mut bytes, mut upto) = (Vec::new(), 0, None);
        for (at, number) in there.by_ref().take(LOOKED_AT) {
            upto = Some((*at, *number));
            let Some(meta) = self.index.metas.get(number) else { continue };
            if !scope.covers(&meta.about) || self.book.gone(now, &meta.about).is_some() {
                continue;
            }
            numbers.push(*number);
            bytes += meta.bytes;
            if numbers.len() >= most || bytes >= PAGE_BYTES {
                break;
            }
        }
        let upto = upto.filter(|_| there.peek().is_some());
        Ok(Some(Page { rows: self.read(&numbers)?, upto }))
    }

    /// What is known of retention.
    pub fn book(&self) -> &Book {
        &self.book
    }

    /// What became of messages without anybody asking for it.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// How many messages are kept.
    pub fn len(&self) -> usize {
        self.index.metas.len()
    }

    /// None is.
    pub fn is_empty(&self) -> bool {
        self.index.metas.is_empty()
    }

    /// Messages of one scope that ended from `since` on and before `until`, the oldest first, `most` of them; none while this
    /// life has not heard enough others, as some of them may have been forgotten (`None`).
    pub fn shown(
        &mut self, now: Micros, hearing: &Hearing, scope: Scope, span: (Micros, Micros), most: usize,
    ) -> io::Result<Option<Vec<(u64, Kept)>>> {
        if !hearing.informed() || !self.book.whole() {
            return Ok(None);
        }
        let there = self.index.order.range((span.0, 0)..).take_while(|(at, _)| *at < span.1);
        let metas = there.filter_map(|(_, n)| self.index.metas.get(n).map(|m| (*n, m)));
        let fit = metas.filter(|(_, m)| scope.covers(&m.about) && self.book.gone(now, &m.about).is_none());
        let numbers: Vec<u64> = fit.map(|(n, _)| n).take(most).collect();
        self.read(&numbers).map(Some)
    }

    fn read(&mut self, numbers: &[u64]) -> io::Result<Vec<(u64, Kept)>> {
        let mut out = Vec::with_capacity(numbers.len());
        self.read_transaction(|t| {
            let table = t.open_table(KEPT).map_err(io_error)?;
            for number in numbers {
                let row = table.get(number).map_err(io_error)?;
                let kept = row.and_then(|row| self.names.message(row.value()));
                out.extend(kept.map(|kept| (*number, kept)));
            }
            Ok(())
        })?;
        Ok(out)
    }

    /// One message, as a plan sees it.
    pub fn item(&self, number: u64, world: &World) -> Option<Item> {
        let meta = self.index.metas.get(&number)?;
        let about = meta.about;
        let mut item = Item {
            number,
            about,
            delivered: meta.delivered,
            effect: match self.names.is_uncertain(number) {
                true => Effect::Unsafe,
                false => (world.effect)(about.class),
            },
            first: meta.first,
            group: (world.group)(about.dest, &meta.at, about.class),
            claims: meta.claims.clone(),
        };
        self.doubt(&mut item);
        Some(item)
    }

    /// When a message ended.
    pub fn ended_at(&self, number: u64) -> Option<Micros> {
        self.index.metas.get(&number).map(|m| m.about.ended)
    }

    /// What an order asks for, the oldest first.
    pub fn items<'a>(&'a self, order: &'a Order, world: &'a World) -> impl Iterator<Item = Item> + 'a {
        let there = self.index.order.range((order.since, 0)..).take_while(|(at, _)| *at < order.until);
        there.filter_map(|(_, n)| self.item(*n, world)).filter(|item| order.covers(&item.about))
    }

    /// Claims a message for an order and gives it out to be sent, if it may be: the only way to one. The claim is written
    /// before this returns. Danger: the call must begin at once, or what was forgotten meanwhile is sent.
    pub fn claim(
        &mut self, now: Micros, order: &Order, number: u64, world: &World, life: Life,
    ) -> io::Result<Result<Kept, Not>> {
        let Some(item) = self.item(number, world) else { return Ok(Err(Not::Retention)) };
        if let Err(why) = (Gate { book: &self.book, life }).may(now, order, &item) {
            return Ok(Err(why));
        }
        if self.orders.beyond(order.id(), item.about.ended) {
            return Ok(Err(Not::NotFresh));
        }
        let claim = Claim::Sending { at: now, life: life.number };
        let Some((_, kept)) = self.read(&[number])?.pop() else { return Ok(Err(Not::Retention)) };
        self.note(number, order.id(), claim)?;
        Ok(Ok(kept))
    }

    /// The outcome of a send that was claimed.
    pub fn sent(&mut self, order: &Order, number: u64, taken: bool) -> io::Result<()> {
        let id = order.id();
        let claim = self.index.metas.get(&number).and_then(|m| m.claims.get(&id));
        let Some(Claim::Sending { at, .. }) = claim.copied() else { return Ok(()) };
        self.note(number, id, Claim::Ended { at, taken })
    }

    /// A send that was claimed proved never to have run: it was as if it had never been claimed.
    pub fn unclaim(&mut self, order: &Order, number: u64) -> io::Result<()> {
        let key = (number, order.id());
        self.write_transaction(|t| {
            t.open_table(CLAIMS).map_err(io_error)?.remove(key).map_err(io_error)?;
            Ok(())
        })?;
        if let Some(meta) = self.index.metas.get_mut(&number) {
            meta.claims.remove(&key.1);
        }
        Ok(())
    }

    /// One message, unless it must not be there any more. Danger: it is sent by [`History::claim`] alone.
    pub(crate) fn peek(&mut self, now: Micros, number: u64) -> Option<Kept> {
        let meta = self.index.metas.get(&number)?;
        if self.book.gone(now, &meta.about).is_some() {
            return None;
        }
        self.read(&[number]).ok()?.pop().map(|(_, kept)| kept)
    }

    fn note(&mut self, number: u64, order: u64, claim: Claim) -> io::Result<()> {
        self.write_transaction(|t| {
            let mut table = t.open_table(CLAIMS).map_err(io_error)?;
            table.insert((number, order), to_bytes(&claim).as_slice()).map_err(io_error)?;
            Ok(())
        })?;
        self.index.claim(number, order, claim);
        Ok(())
    }

    /// Tenants of which something is kept, or that the book names.
    pub fn tenants(&self) -> BTreeSet<u16> {
        let named = self.book.entries().keys().map(|s| s.tenant).filter(|t| *t != ANY);
        self.index.tenants.keys().copied().chain(named).collect()
    }

    /// What this courier says of a tenant to the others. `None` while something that it knows is not written down: it honours
    /// that not yet.
    pub fn told(&self, now: Micros, node: u64, tenant: u16) -> Option<Told> {
        self.settled().then(|| self.honours(node, tenant, now))
    }

    /// The same, whether all of it is written down and deleted by or not.
    pub fn honours(&self, node: u64, tenant: u16, now: Micros) -> Told {
        let scopes = self.book.entries().iter().filter(|(s, _)| s.tenant == tenant || s.tenant == ANY);
        let forgot = scopes.map(|(_, e)| e.forget()).max().unwrap_or(0);
        let oldest = self.index.tenants.get(&tenant).and_then(|of| of.first());
        let version = self.book.version(tenant);
        Told { node, tenant, version, forgot, oldest: oldest.map(|(at, _)| *at), at: now }
    }
}
