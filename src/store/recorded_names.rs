//! Classes and tenants in records: a record names them, as their positions in the settings may be others in the next process.

use super::records::{put_text, Fields};
use super::{Journal, MessageState, Req};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a process calls the classes and tenants of its settings. Each name stands for one position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PositionNames {
    /// Names of the classes, by position. Those of each front differ, also where operators give them the same name.
    pub classes: Vec<String>,
    /// Names of the tenants, by position.
    pub tenants: Vec<String>,
    /// The class of messages whose own class is not listed or not known; none of them may run twice.
    pub unlisted_class: u16,
}

/// The names in a message's record. They stay as they were recorded, also while the settings lack them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RecordedNames {
    /// Name of the class; empty in a record of an older version.
    pub class: Arc<str>,
    /// Name of the tenant; empty in a record of an older version, or if the settings named no tenants.
    pub tenant: Arc<str>,
}

impl RecordedNames {
    pub(super) fn put(&self, body: &mut Vec<u8>) {
        put_text(body, &self.class);
        put_text(body, &self.tenant);
    }

    /// The names at the end of a record; a record of an older version ends before them.
    pub(super) fn read(fields: &mut Fields) -> RecordedNames {
        let class = fields.text().unwrap_or_default();
        let tenant = fields.text().unwrap_or_default();
        RecordedNames { class: class.into(), tenant: tenant.into() }
    }
}

/// The position of a name.
fn position_of(names: &[String], name: &str) -> Option<u16> {
    names.iter().position(|known| known == name).and_then(|at| u16::try_from(at).ok())
}

impl PositionNames {
    pub(super) fn names_of(&self, req: &Req) -> RecordedNames {
        let name = |names: &[String], at: u16| names.get(usize::from(at)).map_or("", String::as_str).into();
        RecordedNames { class: name(&self.classes, req.class), tenant: name(&self.tenants, req.tenant) }
    }

    /// The position of a message's class. Of an older record only the position is known: it is used while no call may have
    /// run, and else allows no repeat.
    fn class_of(&self, state: &MessageState) -> u16 {
        let may_have_run = state.first_uncertain.is_some() || state.open_attempt.is_some();
        let position = match &*state.names.class {
            "" => Some(state.req.class).filter(|at| !may_have_run && usize::from(*at) < self.classes.len()),
            name => position_of(&self.classes, name),
        };
        position.unwrap_or(self.unlisted_class)
    }

    /// The position of a message's tenant; one behind the last if the settings do not list it.
    fn tenant_of(&self, state: &MessageState) -> u16 {
        match &*state.names.tenant {
            "" => state.req.tenant,
            name => position_of(&self.tenants, name).unwrap_or(self.tenants.len() as u16),
        }
    }

    /// Gives a message of an earlier process the positions that its names have now.
    pub(super) fn resolve(&self, state: &mut MessageState) {
        let (class, tenant) = (self.class_of(state), self.tenant_of(state));
        if (class, tenant) != (state.req.class, state.req.tenant) {
            let req = Req { class, tenant, ..(*state.req).clone() };
            state.req = Arc::new(req);
        }
    }
}

impl Journal {
    /// Names the classes and tenants of this process, and finds those of the messages that were read. Called before any
    /// message is accepted.
    pub fn set_position_names(&mut self, names: PositionNames) {
        let mut unlisted: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        for state in self.pending.values_mut() {
            names.resolve(state);
            if state.req.class == names.unlisted_class {
                *unlisted.entry(state.names.class.clone()).or_default() += 1;
            }
        }
        self.backlog.resolve_names(&names);
        for (class, count) in unlisted {
            let class = if class.is_empty() { "a class that an older version recorded" } else { &class };
            tracing::warn!(
                target: "journal",
                "{count} pending messages are of {class}, which the settings do not list: those that may have run are not repeated"
            );
        }
        self.names = Some(names);
    }

    /// The names of classes and tenants, if they were set.
    pub fn position_names(&self) -> Option<&PositionNames> {
        self.names.as_ref()
    }

    /// The names for the record of a new message.
    pub(super) fn names_of(&self, req: &Req) -> RecordedNames {
        self.names.as_ref().map_or_else(RecordedNames::default, |names| names.names_of(req))
    }
}
