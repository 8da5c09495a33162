//! The courier as a daemon: reads its configuration, takes up what is owed, and serves its fronts.

mod parts;

use crate::admin::{overrides, overrides::EndpointOverrides, server, CommandHandler};
use crate::admission;
use crate::ask;
use crate::clock::anchor;
use crate::config::{Addresses, Config, Paths};
use crate::control::{self, shape::Words};
use crate::core::{draining, memory, Courier, ListUpdate, Options, Report, Source};
use crate::history;
use crate::net::ask::{Asker, Setup};
use crate::net::peers::riders;
use crate::net::{self, mail, platform};
use crate::register::address_rotation::AddressRotation;
use crate::register::config as register;
use crate::register::kept_copy::{self, KeptCopyRules, KeptCopyWriter};
use crate::register::list::ParsedList;
use crate::register::static_file::StaticFile;
use crate::store::{owner, Journal, StartMode};
use crate::upgrade::{self, inherited_socket};
pub(crate) use parts::classes_of;
use parts::{file, keep_list, reload, share, tell_damages};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// After SIGTERM: when sessions are closed, and when the process ends. SIGKILL follows after 3.7 s.
const CLOSE: Duration = Duration::from_millis(3_100);
const EXIT: Duration = Duration::from_millis(3_400);
/// At its end a process answers what it has read, if that takes no longer.
const FINISH: Duration = Duration::from_millis(100);
/// After another process has taken over, this one answers at its door for so long.
const LINGER: Duration = Duration::from_millis(8_000);
/// At its end its neighbours are told so, if that takes no longer.
const FAREWELL: Duration = Duration::from_millis(50);
/// The kept list takes no more than this share of the folder that lasts.
const KEPT_SHARE: u64 = 8;

/// Questions to the fleet take no more than this share of the descriptors.
const ASK_SHARE: usize = 4;
/// What has ended is put away so often.
const KEEP: Duration = Duration::from_millis(20);
/// What the history must leave the journal.
const JOURNAL_LEAST: u64 = 1_000_000;

/// Who owns the folder; `None` once it has been handed over.
type Owned = Arc<Mutex<Option<owner::Owner>>>;
/// Starts a front's listeners.
type Serve = Box<dyn FnOnce() -> std::io::Result<()>>;
/// Takes over what a front can change while it runs.
type Reload = Box<dyn Fn(&Config) -> Result<(), String>>;

/// Serves until it is told to end. An error is one line.
pub fn run(paths: &Paths) -> Result<(), String> {
    // First of all: from here on no signal is fatal.
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    let config = paths.read()?;
    let state = paths.state()?;
    let discovery = config.discovery();
    let door_at = config.admin_addr()?;
    let (known, neighbours) = (config.known, config.neighbours);
    let (mut settings, names) = config.settings.split()?;
    let mail_config = mail::config::read(&paths.mail, &mut settings, &names)?;
    let reg = file(&paths.register, register::read)?;
    let control = file(&paths.channel, control::config::read)?;
    let sharing = file(&paths.shared, net::peers::config::read)?;
    let admission = file(&paths.admission, admission::config::read)?;
    let asks = file(&paths.ask, ask::read)?;
    let asks = Some(asks).filter(|asks| asks.enabled);
    let classes = classes_of(&names, mail_config.as_ref());
    let history = file(&paths.history, |path| history::config::read(path, &names.tenants, &classes))?;
    let history = Some(history).filter(|h| h.enabled);
    if config.listen.is_none() && mail_config.is_none() {
        return Err("listen: not set, and the mail front is off".into());
    }
    let slots = settings.limits.slots.map_or(64, |s| s as usize).clamp(1, 256) + 2;
    let (clock, mut anchor) = anchor::start(&state);
    // Before anything is touched: an address that is taken or a descriptor that is none ends this process alone.
    let inherited = inherited_socket::listener(paths.listen_fd.as_deref(), config.listen.as_deref())?;
    let door_listener = match door_at {
        Some(at) => Some(server::bind(at).map_err(|e| format!("control: {at}: {e}"))?),
        None => None,
    };
    let upgradable = door_at.is_some() || inherited.is_some();
    let zones = mail_config.as_ref().map_or(0, |m| mail::dns::server::room(m.zones.len()));
    let disk = (config.disk_mb * 1e6) as u64;
    let keep = KeptCopyRules {
        disk_bytes: reg.kept_copy.disk_bytes.min(disk / KEPT_SHARE),
        ..reg.kept_copy.clone()
    };
    let for_copy = if keep.enabled && config.listen.is_some() { keep.disk_bytes } else { 0 };
    let for_drains = if control.is_some() { draining::RESERVED_DISK_BYTES } else { 0 };
    let in_state = |e: &dyn std::fmt::Display| format!("NODE_STATE: {}: {e}", state.display());
    let for_hand = if door_at.is_some() { overrides::MAX_DISK_BYTES } else { 0 };
    let for_history = history.as_ref().map_or(0, |h| h.disk);
    let others = zones
        + for_copy
        + for_drains
        + for_hand
        + owner::OWNER_FILE_DISK_BYTES
        + memory::MAX_FOLDER_BYTES
        + anchor::DISK_BYTES;
    let room = disk.saturating_sub(others + for_history);
    if for_history > 0 && room < JOURNAL_LEAST {
        return Err(format!(
            "{}: disk_kb: {} KiB of {} MB leave the journal less than {} KB",
            paths.history.display(),
            for_history / 1_024,
            config.disk_mb,
            JOURNAL_LEAST / 1_000
        ));
    }
    // Danger: two processes on one folder both answer for its messages, and each destroys the other's journal.
    let (owner, taken) = upgrade::claim_folder(&state, &clock, upgradable).map_err(|e| in_state(&e))?;
    let taken_over = taken.is_some();
    if let Err(e) = anchor.write() {
        tracing::warn!(target: "clock", "its anchor can't be written yet: {e}");
    }
    let (mut passed, mut taken_listener, mut sessions, mut ends) = (None, None, Vec::new(), None);
    if let Some(taken) = taken {
        (passed, taken_listener) = (Some(taken.state), taken.listener);
        (sessions, ends) = (taken.connections, Some(taken.call_ends));
    }
    let succession = if taken_over { StartMode::Handover } else { StartMode::Restart };
    let journal = Journal::open_as(&state, room, clock.now(), owner.claim.incarnation, succession)
        .map_err(|e| in_state(&e))?;
    tell_damages(&journal);
    // The journal knows better where the file of claims was damaged.
    let incarnation = journal.incarnation();
    // An endpoint that is left out stays so in a life without a door, too.
    let by_hand = Arc::new(EndpointOverrides::open(&state));
    let lists = passed.as_mut().map_or(Vec::new(), |passed| std::mem::take(&mut passed.lists));
    // Before it is touched: the process that had it has closed it and let go of the folder.
    let members =
        neighbours.as_ref().map_or(0, |n| n.places.max(n.peers.len() + 1)).max(settings.senders as usize);
    let keeper = history.map(|history| {
        let watch = Box::new(move || clock.now());
        history::keeper::Keeper::open(&state, history, owner.claim.incarnation, members, clock.now(), watch)
    });
    let options = Options {
        overrides: Some(by_hand.clone()),
        handed_over: passed,
        register: reg.rules.clone(),
        drain_dir: control.is_some().then(|| state.clone()),
        memory_dir: Some(state.clone()),
        record_outcomes: asks.is_some(),
        own_class: mail_config.as_ref().map(|m| m.bounce_class),
        history: keeper,
    };
    let words = Words { classes: classes.clone(), tenants: names.tenants.clone() };
    let may_tell = settings.limits.gossip;
    let courier = Arc::new(Courier::new(settings, config.seed, clock, journal, options));
    let fail = |e: std::io::Error| format!("starting: {e}");
    if courier.with_history(|_, _| ()).is_some() {
        let shared = courier.clone();
        let keeps = move || {
            while shared.persist_history() {
                thread::sleep(KEEP);
            }
        };
        net::spawn("history", keeps).map_err(fail)?;
    }
    let (mut fronts, mut doors, mut serve) = (Vec::new(), Vec::new(), Vec::<Serve>::new());
    let mut reloads = Vec::<Reload>::new();
    let (mut keeper, mut fixed) = (None, None);
    if let Some(listen) = config.listen {
        let places = names.places();
        let now = courier.clock.now();
        let tell = |word: ListUpdate| {
            courier.report(Report::List { front: platform::FRONT, update: word });
        };
        let read = ParsedList { list: known, unreadable: Vec::new() };
        // What the configuration knows is a whole list, whatever it calls itself.
        tell(ListUpdate { is_full_list: true, ..read.into_update(Source::Configured, &places, now) });
        if keep.enabled {
            let (copy, said) = kept_copy::read(&state);
            said.iter().for_each(|words| tracing::warn!(target: "register", "{words}"));
            if let Some(copy) = copy {
                // A copy from the future says nothing of its age: it is as old as can be trusted at all.
                let from_future = copy.confirmed_at() > now;
                let as_of = if from_future { now - reg.rules.max_copy_age } else { copy.confirmed_at() };
                let read = ParsedList { list: copy.list, unreadable: Vec::new() };
                tell(ListUpdate { is_full_list: true, ..read.into_update(Source::KeptCopy, &places, as_of) });
            }
            keeper = Some(KeptCopyWriter::new(&state, keep, places.clone()));
        }
        for (front, list) in lists {
            let word = ListUpdate::full(Source::Discovery, list.generation, list.records, now);
            courier.report(Report::List { front, update: word });
        }
        if let Some(file) = reg.static_file {
            let mut file = StaticFile::new(file, places);
            file.read_if_changed(now).into_iter().for_each(tell);
            fixed = Some(file);
        }
        let seek = AddressRotation::new(discovery?, &reg.extra_addrs, config.seed);
        let mut bounds = config.bounds;
        if door_at.is_some() {
            bounds.sockets -= server::max_connections(bounds.sockets);
        }
        if let Some(asks) = asks.as_ref().filter(|_| may_tell) {
            bounds.sockets -= asks.most.connections.min(config.bounds.sockets / ASK_SHARE);
        }
        let (platform, front) =
            platform::start(&courier, bounds, names, slots, seek, reg.poll_interval, &admission.platform)
                .map_err(fail)?;
        let listener = match inherited.or(taken_listener.take()) {
            Some(listener) => listener,
            None => net::acceptor::bind(&listen, admission.platform.backlog)
                .map_err(|e| format!("listen: {listen}: {e}"))?,
        };
        let sessions = std::mem::take(&mut sessions);
        fronts.push(front);
        doors.push(platform.acceptor.clone());
        let shared = platform.clone();
        reloads.push(Box::new(move |config| {
            config.discovery().map(|addr| shared.discovery.set_configured(addr))
        }));
        serve.push(Box::new(move || platform::serve(&platform, listener, sessions)));
    }
    if let Some(mail_config) = mail_config {
        let listeners = mail::bind(&mail_config, admission.mail.backlog)?;
        let (mail, front) = mail::start(&courier, mail_config, slots, &state, admission.mail)?;
        fronts.push(front);
        doors.push(mail.door.clone());
        let shared = mail.clone();
        reloads.push(Box::new(move |_| {
            shared.reload();
            Ok(())
        }));
        serve.push(Box::new(move || mail::serve(&mail, listeners)));
    }
    let conns: Vec<_> = fronts.iter().map(|f| f.conns.clone()).collect();
    let shared = courier.clone();
    let owner = Arc::new(Mutex::new(Some(owner)));
    let learnt = ask::rider::Shared::default();
    let rides = |at: &Addresses| riders::rides(asks.as_ref(), &config.name, at.me).then(|| learnt.clone());
    let peers = match neighbours.filter(|_| may_tell) {
        Some(at) => Some(
            net::peers::start(
                &courier,
                at.clone(),
                share(&courier, &at, sharing, incarnation, &owner, config.seed, rides(&at)),
            )
            .map_err(|e| format!("peer_listen: {}: {e}", at.listen))?,
        ),
        None => None,
    };
    let notes = peers.clone();
    let believed = peers.as_ref().and_then(|peers| peers.shared.clone());
    net::spawn("dispatch", move || net::dispatch(&shared, &fronts, notes.as_ref())).map_err(fail)?;
    let serving = Arc::new(AtomicBool::new(false));
    let told = Arc::new(AtomicBool::new(false));
    let fleet = match asks {
        Some(asks) => {
            let sockets = config.bounds.sockets / ASK_SHARE;
            let setup = Setup {
                courier: courier.clone(),
                words: words.clone(),
                serving: serving.clone(),
                config: asks.within(sockets)?,
                name: config.name,
                life: incarnation,
                may_ask: may_tell,
                shared: learnt,
                believed: believed.clone(),
            };
            Some(Asker::start(setup).map_err(|e| format!("{}: {e}", paths.ask.display()))?)
        }
        None => None,
    };
    if let Some(control) = &control {
        let refuse = |e: std::io::Error| format!("control: {}: {e}", control.socket.display());
        let (doors, believed, fleet) = (doors.clone(), believed.clone(), fleet.clone());
        control::server::serve(&courier, control, words, doors, believed, fleet, taken_over)
            .map_err(refuse)?;
    }
    if let Some(listener) = door_listener {
        let (metrics, overrides) = (courier.board.clone(), by_hand.clone());
        let (serving, clock) = (serving.clone(), courier.clock);
        let desk = CommandHandler { metrics, overrides, classes, serving, fleet, shared: believed, clock };
        let places = server::max_connections(config.bounds.sockets);
        let at = server::serve(listener, desk, courier.clock, places).map_err(|e| format!("control: {e}"))?;
        tracing::info!(target: "door", "door on {at}");
    }
    if let Some(ends) = ends {
        upgrade::follow_call_ends(&courier, ends).map_err(fail)?;
    }
    // What is owed has been taken up; only now is anybody answered.
    serve.into_iter().try_for_each(|serve| serve()).map_err(fail)?;
    serving.store(true, Ordering::SeqCst);
    let phase = courier.phase(platform::FRONT).name();
    let (owed, backends) = (courier.owed(), courier.backends());
    if let (true, Some(door)) = (upgradable, doors.first()) {
        let this = upgrade::ServingProcess {
            ends_forwarded: told.clone(),
            courier: courier.clone(),
            acceptor: door.clone(),
            serving: serving.clone(),
            owner: owner.clone(),
            overrides: by_hand,
            refusal_reason: (doors.len() > 1)
                .then_some("the mail front is on, and its sessions can't be handed over"),
        };
        upgrade::listen_for_successor(&state, this);
    }
    anchor.log_start();
    tracing::info!(target: "daemon", register = phase, incarnation, "ready; {owed} messages are owed, {backends} backends known");
    let mut stopping: Option<Instant> = None;
    let mut left_at: Option<Instant> = None;
    let mut swept = Instant::now();
    loop {
        let next = courier.tick();
        let now = Instant::now();
        for signal in signals.pending() {
            if signal == SIGHUP {
                // Danger: a file that can't be read must not take a courier down that still knows its own.
                if let Err(e) = reload(paths, &reloads) {
                    tracing::error!(target: "daemon", "the configuration stays as it was: {e}");
                }
            } else if stopping.is_none() {
                stopping = Some(now);
                // Stopped before it is said: who reads the line and asks for a drain is told that it ends.
                let owed = courier.owed();
                courier.stop(now + EXIT);
                tracing::info!(target: "daemon", "told to end; {owed} messages are owed");
            }
        }
        if let Some(since) = stopping.map(|at| now - at) {
            if since >= CLOSE {
                doors.iter().for_each(|d| d.close());
            }
            // Danger: a fetch cut off here may have run, and costs its message an answer or a repeat.
            let open: usize = doors.iter().map(|d| d.connection_count()).sum();
            let out: usize = conns.iter().map(|c| c.fetch_count()).sum();
            let idle = open + out == 0;
            let told = left_at.is_none() || told.load(Ordering::SeqCst);
            if since >= EXIT || (since >= CLOSE || left_at.is_some()) && idle && told {
                let finish_by = now + FINISH;
                if !doors.iter().all(|door| door.finish(finish_by)) {
                    tracing::warn!(target: "daemon", "not all that was read could be answered in time");
                }
                let owed = courier.owed();
                tracing::info!(target: "daemon", "ends; {owed} messages stay owed, {out} of them out");
                peers.iter().for_each(|peers| peers.leave(Instant::now() + FAREWELL));
                return Ok(());
            }
        }
        if now - swept > Duration::from_millis(250) {
            swept = now;
            if left_at.is_none() && courier.has_handed_over() {
                left_at = Some(now);
                peers.iter().for_each(|peers| peers.close());
            }
            if let Some(at) = left_at {
                let out: usize = conns.iter().map(|c| c.fetch_count()).sum();
                if now - at >= LINGER && out == 0 && told.load(Ordering::SeqCst) {
                    tracing::info!(target: "daemon", "ends; another process has taken over");
                    return Ok(());
                }
                continue;
            }
            conns.iter().for_each(|c| c.close_expired());
            // After an error the next round does it.
            let _ = anchor.write();
            if let Some(keeper) = &mut keeper {
                let others = zones
                    + for_drains
                    + for_hand
                    + memory::MAX_FOLDER_BYTES
                    + anchor::DISK_BYTES
                    + for_history;
                keep_list(&courier, keeper, disk.saturating_sub(others));
            }
            if let Some(word) =
                fixed.as_mut().and_then(|f: &mut StaticFile| f.read_if_changed(courier.clock.now()))
            {
                courier.report(Report::List { front: platform::FRONT, update: word });
            }
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
