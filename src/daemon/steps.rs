//! Steps of the daemon's start and of its main loop.

use super::{ReloadFn, SharedOwner};
use crate::api::{Class, Effect, EndReport, Micros, Settings};
use crate::ask;
use crate::checked::Fault;
use crate::config::{Paths, PeerAddresses};
use crate::core::{Courier, ListUpdate, Report, Source};
use crate::net::peers::config::Sharing;
use crate::net::peers::control::Shared;
use crate::net::peers::riders::{self, Place};
use crate::net::{mail, platform};
use crate::register::kept_changes::{self, ChangeLog, KeptListRead};
use crate::register::kept_copy::{KeptCopyWriter, KeptList, NotWritten};
use crate::register::list::{DiscoveryList, ParsedList};
use crate::settings::NetworkSettings;
use crate::store::{Journal, PositionNames};
use std::path::Path;
use std::sync::Arc;

/// The class of a message whose own class is not known: it may run once, by its own deadline.
const UNLISTED_CLASS: Class = Class {
    aim: Micros(10_000_000),
    deadline: Micros(20_000_000),
    worth: 1.0,
    late_worth: 1.0,
    effect: Effect::Unsafe,
    in_order: false,
    end_report: EndReport::Message,
};

/// Reads an operators' file. The error names the file and lists all its faults.
pub(super) fn read_file<T>(
    path: &Path, read: impl FnOnce(&Path) -> Result<T, Vec<Fault>>,
) -> Result<T, String> {
    read(path).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        format!("{}: {}", path.display(), faults.join("; "))
    })
}

/// Names of the classes by their position, including those of the mail frontend.
pub(crate) fn classes_of(names: &NetworkSettings, mail: Option<&mail::config::MailConfig>) -> Vec<String> {
    let mut classes = names.classes.clone();
    for (name, index) in mail.iter().flat_map(|m| &m.classes) {
        classes.resize(classes.len().max(usize::from(*index) + 1), String::new());
        classes[usize::from(*index)].clone_from(name);
    }
    classes
}

/// Adds a class for messages of the journal whose own class the settings do not list, and names all classes and tenants for
/// the journal.
pub(super) fn name_positions(
    settings: &mut Settings, names: &NetworkSettings, mail: Option<&mail::config::MailConfig>,
) -> PositionNames {
    let of_platform = names.classes.iter().map(|name| format!("platform:{name}"));
    let of_mail = names.classes.iter().map(|name| format!("mail:{name}")).chain(["bounce:".to_owned()]);
    let classes = of_platform.chain(of_mail.filter(|_| mail.is_some())).collect();
    let unlisted_class = settings.classes.len() as u16;
    settings.classes.push(UNLISTED_CLASS);
    PositionNames { classes, tenants: names.tenants.clone(), unlisted_class }
}

/// What the gossip thread needs to share state. `None` if operators have not turned sharing on, or the configuration does
/// not say which member this courier is.
pub(super) fn sharing_setup(
    courier: &Arc<Courier>, at: &PeerAddresses, config: Option<Sharing>, incarnation: u64,
    owner: &SharedOwner, seed: u64, ask_gossip: Option<ask::gossip::SharedState>,
) -> Option<Shared> {
    let Sharing { ground: config, matters } = config?;
    let Some(me) = at.me else {
        tracing::warn!(target: "peers", "nothing is shared: the configuration does not say which of `peers` this is");
        return None;
    };
    // Members with the same random numbers would all wait for the same times.
    let seed = seed ^ (u64::from(me.0) << 48) ^ incarnation.rotate_left(24);
    let place = Place { me: me.0, n: at.member_count, incarnation, seed, matters };
    let owner = owner.clone();
    let claim = move |now, known| {
        // If the lock is held or the claim is gone, the folder is being handed over or has been.
        let mut owner = owner.try_lock().ok()?;
        let raised = owner.as_mut()?.raise_incarnation(now, known);
        raised.map_err(|e| tracing::error!(target: "peers", "no higher incarnation can be claimed: {e}")).ok()
    };
    Some(Shared { config, place, riders: riders::riders(courier, place, ask_gossip), claim: Box::new(claim) })
}

/// Logs every damaged part of the journal, because nobody can tell what became of the messages recorded there.
pub(super) fn log_damages(journal: &Journal) {
    let (damages, uncertain) = journal.damages();
    for damage in damages {
        let (segment, bytes, at) = (damage.segment, damage.bytes.len(), damage.bytes.start);
        tracing::error!(target: "journal", segment, at, bytes, "damaged: {}", damage.description);
    }
    if !damages.is_empty() {
        tracing::error!(
            target: "journal", doubted = uncertain,
            "messages that were accepted before the damage are treated as ones that may have run"
        );
    }
}

/// Writes the kept copy of the list if that is due. Only then is the list copied under the core's lock.
pub(super) fn keep_list(courier: &Courier, writer: &mut KeptCopyWriter, disk_bytes: u64) {
    let now = courier.clock.now();
    let is_due = courier
        .edition(platform::FRONT)
        .is_some_and(|(number, confirmed)| writer.due(now, number, confirmed));
    let is_overdue = writer.may_write_early() && courier.list_copy_overdue();
    if !is_due && !is_overdue {
        return;
    }
    let Some(list) = courier.list_to_store() else { return };
    let free = disk_bytes.saturating_sub(list.journal_bytes);
    match writer.write(now, &list.snapshot, list.sequence, free) {
        Ok(()) => courier.list_copy_written(list.sequence),
        Err(NotWritten { log_line: Some(line) }) => tracing::warn!(target: "register", "{line}"),
        Err(NotWritten { log_line: None }) => {}
    }
}

/// Reads what is kept of discovery's list. A known list of the configuration that is older than a list that is known to be
/// outdated is emptied.
pub(super) fn read_kept_list(
    state: &Path, enabled: bool, known: &mut DiscoveryList,
) -> (Option<KeptList>, Option<ChangeLog>) {
    if !enabled {
        return (None, None);
    }
    let KeptListRead { list, outdated, log, warnings } = kept_changes::read(state);
    warnings.iter().for_each(|warning| tracing::warn!(target: "register", "{warning}"));
    if let Some(generation) = outdated {
        tracing::warn!(
            target: "register",
            "the kept list is passed over: a change up to version {generation} could not be kept"
        );
        if known.generation < generation {
            *known = DiscoveryList::default();
        }
    }
    (list, Some(log))
}

/// Reports the kept list to the core.
pub(super) fn report_kept_list(courier: &Courier, kept: KeptList, max_copy_age: Micros) {
    let now = courier.clock.now();
    // The age of a copy with a time in the future is unknown, so it gets the greatest age that is still trusted.
    let from_future = kept.confirmed_at() > now;
    let as_of = if from_future { now - max_copy_age } else { kept.confirmed_at() };
    let list = ParsedList { list: kept.list, unreadable: Vec::new() };
    let update = ListUpdate { is_full_list: true, ..list.into_update(Source::KeptCopy, as_of) };
    courier.report(Report::List { front: platform::FRONT, update });
}

/// Applies the configuration again, on SIGHUP. The whole file is read before any of it is applied.
pub(super) fn reload(paths: &Paths, reloads: &[ReloadFn]) -> Result<(), String> {
    let config = paths.read()?;
    reloads.iter().try_for_each(|reload| reload(&config))
}
