//! Steps of the daemon's start and of its rounds, each by itself.

use super::{Owned, Reload};
use crate::ask;
use crate::checked::Fault;
use crate::config::{Addresses, Paths};
use crate::core::Courier;
use crate::net::peers::config::Sharing;
use crate::net::peers::control::Shared;
use crate::net::peers::riders::{self, Place};
use crate::net::{mail, platform};
use crate::register::kept_copy::KeptCopyWriter;
use crate::settings::NetworkSettings;
use crate::store::Journal;
use std::path::Path;
use std::sync::Arc;

/// An operators' file; the error names it and all that is wrong with it.
pub(super) fn file<T>(path: &Path, read: impl FnOnce(&Path) -> Result<T, Vec<Fault>>) -> Result<T, String> {
    read(path).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        format!("{}: {}", path.display(), faults.join("; "))
    })
}

/// Names of classes by their position, the mail front's included.
pub(crate) fn classes_of(names: &NetworkSettings, mail: Option<&mail::config::MailConfig>) -> Vec<String> {
    let mut classes = names.classes.clone();
    for (name, place) in mail.iter().flat_map(|m| &m.classes) {
        classes.resize(classes.len().max(usize::from(*place) + 1), String::new());
        classes[usize::from(*place)].clone_from(name);
    }
    classes
}

/// What the notes' thread needs to share state, where the operators want it and the configuration says which member this is.
pub(super) fn share(
    courier: &Arc<Courier>, at: &Addresses, config: Option<Sharing>, incarnation: u64, owner: &Owned,
    seed: u64, learnt: Option<ask::rider::Shared>,
) -> Option<Shared> {
    let Sharing { ground: config, matters } = config?;
    let Some(me) = at.me else {
        tracing::warn!(target: "peers", "nothing is shared: the configuration does not say which of `peers` this is");
        return None;
    };
    // Danger: members that draw the same numbers all wait for the same time.
    let seed = seed ^ (u64::from(me.0) << 48) ^ incarnation.rotate_left(24);
    let place = Place { me: me.0, n: at.places, incarnation, seed, matters };
    let owner = owner.clone();
    let claim = move |now, known| {
        // Held or empty: the folder is being handed over, or has been.
        let mut owner = owner.try_lock().ok()?;
        let raised = owner.as_mut()?.raise_incarnation(now, known);
        raised.map_err(|e| tracing::error!(target: "peers", "no higher life can be claimed: {e}")).ok()
    };
    Some(Shared { config, place, riders: riders::riders(courier, place, learnt), claim: Box::new(claim) })
}

/// What the journal lost goes to the log in full: what can't be read is what nobody can answer for.
pub(super) fn tell_damages(journal: &Journal) {
    let (damages, doubted) = journal.damages();
    for damage in damages {
        let (segment, bytes, at) = (damage.segment, damage.bytes.len(), damage.bytes.start);
        tracing::error!(target: "journal", segment, at, bytes, "damaged: {}", damage.description);
    }
    if !damages.is_empty() {
        tracing::error!(
            target: "journal", doubted,
            "messages that were taken before the damage count as ones that may have run"
        );
    }
}

/// Keeps the list if that is due. Nothing is copied under the core's lock otherwise.
pub(super) fn keep_list(courier: &Courier, keeper: &mut KeptCopyWriter, disk: u64) {
    let now = courier.clock.now();
    let due = courier.edition(platform::FRONT).is_some_and(|(number, heard)| keeper.due(now, number, heard));
    let Some((edition, journal)) = due.then(|| courier.list_to_store(platform::FRONT)).flatten() else {
        return;
    };
    if let Some(words) = keeper.write(now, &edition, disk.saturating_sub(journal)) {
        tracing::warn!(target: "register", "{words}");
    }
}

/// On SIGHUP: the file is read whole before anything of it is used.
pub(super) fn reload(paths: &Paths, fronts: &[Reload]) -> Result<(), String> {
    let config = paths.read()?;
    fronts.iter().try_for_each(|reload| reload(&config))
}
