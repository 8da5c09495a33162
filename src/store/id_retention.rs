//! Which ids the journal remembers after the ends of their messages, and whether it has the room to promise that.

use super::ended_ids::Retention;
use super::{EndedIdFigures, Journal, MessageState, Req};
use crate::api::Micros;
use std::collections::BTreeSet;

/// Ids of ended messages take at most the journal's budget divided by this.
pub(super) const BUDGET_DIVISOR: u64 = 4;

impl Journal {
    /// Names the classes whose messages may safely run twice. Their ids are dropped where others need the room.
    pub fn set_repeatable_classes(&mut self, classes: BTreeSet<u16>) {
        self.repeatable_classes = classes;
    }

    /// Whether a message with this id has ended and may have taken effect.
    pub fn knows_id(&self, id: &str, now: Micros) -> bool {
        self.ended_ids.contains(id, now)
    }

    /// Whether the id of one more req can be remembered once that has ended; `before` reqs are accepted ahead of it. A
    /// req of [`Journal::must_remember`] is not to be accepted otherwise.
    pub fn has_room_for_id(&mut self, now: Micros, before: usize) -> bool {
        let pending = self.pending.values().filter(|state| self.must_remember(&state.req)).count();
        if !self.ended_ids.has_room(pending + before) {
            self.ended_ids.make_room(now, &mut *self.storage);
        }
        self.ended_ids.has_room(pending + before)
    }

    /// Whether the id of this req must be recognised after its end, as it must not run twice.
    pub fn must_remember(&self, req: &Req) -> bool {
        req.keep_id_until > Micros(0) && !self.repeatable_classes.contains(&req.class)
    }

    /// How many ids of ended messages are kept.
    pub fn ended_id_figures(&self) -> EndedIdFigures {
        self.ended_ids.figures()
    }

    /// Remembers the id of a message that ends, until its `keep_id_until`, if the message may have taken effect. No
    /// later record is written before the id, see [`Journal::repair`].
    pub(super) fn remember_id(&mut self, msg: u64, now: Micros) {
        let may_have_run =
            |state: &&MessageState| state.first_uncertain.is_some() || state.open_attempt.is_some();
        let Some(state) = self.pending.get(&msg).filter(may_have_run) else { return };
        let req = state.req.clone();
        if req.keep_id_until <= now {
            return;
        }
        let retention = match self.repeatable_classes.contains(&req.class) {
            true => Retention::Droppable,
            false => Retention::Required,
        };
        self.ended_ids.insert(&req.id, req.keep_id_until, retention);
        self.ended_ids.make_room(now, &mut *self.storage);
        // After an error the next write of the journal tries it again first.
        let _ = self.ended_ids.write(&mut *self.storage);
    }
}
