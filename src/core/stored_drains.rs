//! The content of the drains file. Scopes hold classes and tenants by position; the file says which names the positions stood for, as
//! they may be others in the settings of the next process.

use crate::drain::{Drains, Scope};
use crate::store::PositionNames;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Names that the settings lack have positions from here down. No message has them.
const HIGHEST_UNLISTED: u16 = u16::MAX;

/// Names by position, of those positions that scopes hold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
struct ScopeNames {
    classes: BTreeMap<u16, String>,
    tenants: BTreeMap<u16, String>,
}

#[derive(Serialize, Deserialize)]
struct Content {
    #[serde(flatten)]
    drains: Drains,
    /// Missing in a file of an older version.
    names: Option<ScopeNames>,
}

/// What this process calls the positions in scopes.
pub(super) struct DrainNames {
    settings: PositionNames,
    /// Names in the file that the settings lack.
    unlisted: ScopeNames,
}

impl DrainNames {
    /// By the names of the settings; `None`: positions have no names.
    pub fn new(settings: Option<PositionNames>) -> DrainNames {
        DrainNames { settings: settings.unwrap_or_default(), unlisted: ScopeNames::default() }
    }

    /// Reads the file's content, with the positions that its names have now.
    pub fn decode(&mut self, body: &[u8]) -> serde_json::Result<Drains> {
        let Content { mut drains, names } = serde_json::from_slice(body)?;
        if let Some(names) = names {
            drains.scopes_mut().for_each(|scope| self.resolve(scope, &names));
        }
        Ok(drains)
    }

    /// The file's content.
    pub fn encode(&self, drains: &Drains) -> serde_json::Result<Vec<u8>> {
        let mut names = ScopeNames::default();
        for scope in drains.scopes() {
            for class in &scope.classes {
                let name = name_of(&self.settings.classes, &self.unlisted.classes, *class);
                names.classes.extend(name.map(|name| (*class, name)));
            }
            if let Some(tenant) = scope.tenant {
                let name = name_of(&self.settings.tenants, &self.unlisted.tenants, tenant);
                names.tenants.extend(name.map(|name| (tenant, name)));
            }
        }
        serde_json::to_vec(&Content { drains: drains.clone(), names: Some(names) })
    }

    /// A scope of unlisted names covers no message. It keeps them, so that it covers their messages again once they are listed.
    fn resolve(&mut self, scope: &mut Scope, names: &ScopeNames) {
        for class in &mut scope.classes {
            if let Some(name) = names.classes.get(class) {
                *class = position_of(&self.settings.classes, &mut self.unlisted.classes, name);
            }
        }
        if let Some(name) = scope.tenant.and_then(|tenant| names.tenants.get(&tenant)) {
            scope.tenant = Some(position_of(&self.settings.tenants, &mut self.unlisted.tenants, name));
        }
    }
}

fn name_of(settings: &[String], unlisted: &BTreeMap<u16, String>, position: u16) -> Option<String> {
    settings.get(usize::from(position)).or_else(|| unlisted.get(&position)).cloned()
}

fn position_of(settings: &[String], unlisted: &mut BTreeMap<u16, String>, name: &str) -> u16 {
    let listed = settings.iter().position(|known| known == name).and_then(|at| u16::try_from(at).ok());
    let known = || unlisted.iter().find(|(_, known)| *known == name).map(|(position, _)| *position);
    if let Some(position) = listed.or_else(known) {
        return position;
    }
    let position = unlisted.keys().next().map_or(HIGHEST_UNLISTED, |lowest| lowest - 1);
    unlisted.insert(position, name.to_owned());
    tracing::warn!(target: "drain", "a drain is about {name}, which the settings do not list");
    position
}
