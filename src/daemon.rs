//! The daemon: reads the configuration, recovers the pending messages, and serves the frontends.

mod steps;

use crate::admin::{overrides as admin_overrides, overrides::EndpointOverrides, server, CommandHandler};
use crate::admission;
use crate::ask;
use crate::clock::anchor;
use crate::config::{Config, Paths, PeerAddresses};
use crate::control::{self, schema::SettingsNames};
use crate::core::{draining, memory, Courier, ListUpdate, Options, Report, Source};
use crate::history;
use crate::net::ask::{Asker, Setup};
use crate::net::peers::riders;
use crate::net::{self, mail, platform};
use crate::register::address_rotation::AddressRotation;
use crate::register::config as register_config;
use crate::register::kept_changes;
use crate::register::kept_copy::{KeptCopyRules, KeptCopyWriter};
use crate::register::list::ParsedList;
use crate::register::static_file::{self, StaticFile};
use crate::store::{owner, Journal, StartMode};
use crate::upgrade::{self, inherited_socket};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
pub(crate) use steps::classes_of;
use steps::{
    keep_list, log_damages, name_positions, read_file, read_kept_list, reload, report_kept_list,
    sharing_setup,
};

/// Time from SIGTERM until client connections are closed.
const CLOSE_DELAY: Duration = Duration::from_millis(3_100);
/// Time from SIGTERM until the process ends. SIGKILL follows after 3.7 s.
const EXIT_DELAY: Duration = Duration::from_millis(3_400);
/// Time in which a process that ends may still answer the requests that it has read.
const FINISH_TIMEOUT: Duration = Duration::from_millis(100);
/// Time for which this process still serves the admin address after another process has taken over.
const LINGER_TIME: Duration = Duration::from_millis(8_000);
/// Time in which a process that ends may tell its peers so.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(50);
/// The kept copy of the list takes at most the disk space divided by this.
const KEPT_COPY_DISK_DIVISOR: u64 = 8;
/// Questions to the fleet take at most the descriptors divided by this.
const ASK_DIVISOR: usize = 4;
/// Interval at which ended messages are written to the history.
const HISTORY_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Least disk space that the history must leave for the journal.
const MIN_JOURNAL_BYTES: u64 = 1_000_000;

/// The claim on the state folder; `None` once it has been handed over.
type SharedOwner = Arc<Mutex<Option<owner::Owner>>>;
/// Starts the listeners of a frontend.
type StartServing = Box<dyn FnOnce() -> std::io::Result<()>>;
/// Applies the settings that a frontend can change while it runs.
type ReloadFn = Box<dyn Fn(&Config) -> Result<(), String>>;

/// Serves until the process is told to end by a signal or has handed over. An error is one line.
pub fn run(paths: &Paths) -> Result<(), String> {
    // This comes first, so that from here on none of these signals ends the process by itself.
    let mut signals = signal_hook::iterator::Signals::new([SIGTERM, SIGINT, SIGHUP])
        .map_err(|e| format!("signals: {e}"))?;
    let config = paths.read()?;
    let state = paths.state()?;
    let discovery = config.discovery();
    let admin_addr = config.admin_addr()?;
    let (mut known_list, peers_at) = (config.known_list, config.peers);
    let (mut settings, names) = config.settings.split()?;
    let mail_config = mail::config::read(&paths.mail, &mut settings, &names)?;
    let register = read_file(&paths.register, register_config::read)?;
    let control = read_file(&paths.channel, control::config::read)?;
    let sharing = read_file(&paths.shared, net::peers::config::read)?;
    let admission = read_file(&paths.admission, admission::config::read)?;
    let asks = read_file(&paths.ask, ask::read)?;
    let asks = Some(asks).filter(|asks| asks.enabled);
    let classes = classes_of(&names, mail_config.as_ref());
    let history = read_file(&paths.history, |path| history::config::read(path, &names.tenants, &classes))?;
    let history = Some(history).filter(|h| h.enabled);
    if config.listen.is_none() && mail_config.is_none() {
        return Err("listen: not set, and the mail front is off".into());
    }
    let slots = settings.limits.slots.map_or(64, |s| s as usize).clamp(1, 256) + 2;
    let (clock, mut anchor) = anchor::start(&state);
    // Listeners are opened before the state folder is touched, so that an address in use or an invalid descriptor ends only
    // this process and leaves a running one alone.
    let inherited = inherited_socket::listener(paths.listen_fd.as_deref(), config.listen.as_deref())?;
    let admin_listener = match admin_addr {
        Some(at) => Some(server::bind(at).map_err(|e| format!("control: {at}: {e}"))?),
        None => None,
    };
    let upgradable = admin_addr.is_some() || inherited.is_some();
    let zone_bytes = mail_config.as_ref().map_or(0, |m| mail::dns::server::room(m.zones.len()));
    let disk_bytes = (config.disk_mb * 1e6) as u64;
    let copy_rules = KeptCopyRules {
        disk_bytes: register.kept_copy.disk_bytes.min(disk_bytes / KEPT_COPY_DISK_DIVISOR),
        ..register.kept_copy.clone()
    };
    let keeps_list = copy_rules.enabled && config.listen.is_some();
    let copy_bytes = if keeps_list { copy_rules.disk_bytes + kept_changes::MAX_LOG_BYTES } else { 0 };
    let drain_bytes = if control.is_some() { draining::RESERVED_DISK_BYTES } else { 0 };
    let state_error = |e: &dyn std::fmt::Display| format!("NODE_STATE: {}: {e}", state.display());
    let override_bytes = if admin_addr.is_some() { admin_overrides::MAX_DISK_BYTES } else { 0 };
    let history_bytes = history.as_ref().map_or(0, |h| h.disk);
    let static_bytes = register.static_file.as_ref().map_or(0, |_| static_file::COPY_DISK_BYTES);
    let other_bytes = zone_bytes
        + static_bytes
        + drain_bytes
        + override_bytes
        + history_bytes
        + owner::OWNER_FILE_DISK_BYTES
        + memory::MAX_FOLDER_BYTES
        + anchor::DISK_BYTES;
    let journal_bytes = disk_bytes.saturating_sub(other_bytes + copy_bytes);
    if history_bytes > 0 && journal_bytes < MIN_JOURNAL_BYTES {
        return Err(format!(
            "{}: disk_kb: {} KiB of {} MB leave the journal less than {} KB",
            paths.history.display(),
            history_bytes / 1_024,
            config.disk_mb,
            MIN_JOURNAL_BYTES / 1_000
        ));
    }
    // Two processes on one folder would both send its messages, and each would destroy the other's journal.
    let (owner, taken) = upgrade::claim_folder(&state, &clock, upgradable).map_err(|e| state_error(&e))?;
    let taken_over = taken.is_some();
    if let Err(e) = anchor.write() {
        tracing::warn!(target: "clock", "the clock's anchor can't be written yet: {e}");
    }
    let (mut handed_over, mut taken_listener, mut sessions, mut call_ends) = (None, None, Vec::new(), None);
    if let Some(taken) = taken {
        (handed_over, taken_listener) = (Some(taken.state), taken.listener);
        (sessions, call_ends) = (taken.connections, Some(taken.call_ends));
    }
    let start_mode = if taken_over { StartMode::Handover } else { StartMode::Restart };
    let mut journal =
        Journal::open_as(&state, journal_bytes, clock.now(), owner.claim.incarnation, start_mode)
            .map_err(|e| state_error(&e))?;
    journal.set_position_names(name_positions(&mut settings, &names, mail_config.as_ref()));
    log_damages(&journal);
    // If the claim file was damaged, the journal has the right incarnation.
    let incarnation = journal.incarnation();
    // An excluded endpoint stays excluded in a process run without an admin server, too.
    let overrides = Arc::new(EndpointOverrides::open(&state));
    let lists = handed_over.as_mut().map_or(Vec::new(), |handed_over| std::mem::take(&mut handed_over.lists));
    let members =
        peers_at.as_ref().map_or(0, |n| n.member_count.max(n.peers.len() + 1)).max(settings.senders as usize);
    // The process that handed over has closed the history and released the folder by now.
    let history_writer = history.map(|history| {
        let time = Box::new(move || clock.now());
        history::keeper::Keeper::open(&state, history, incarnation, members, clock.now(), time)
    });
    let (kept_list, list_changes) = read_kept_list(&state, keeps_list, &mut known_list);
    let options = Options {
        list_changes,
        overrides: Some(overrides.clone()),
        handed_over,
        register: register.rules.clone(),
        drain_dir: control.is_some().then(|| state.clone()),
        memory_dir: Some(state.clone()),
        record_outcomes: asks.is_some(),
        bounces: mail_config.as_ref().map(|config| Arc::new(mail::bounce::MailBounces::new(config)) as _),
        history: history_writer,
    };
    let words = SettingsNames { classes: classes.clone(), tenants: names.tenants.clone() };
    let gossip_allowed = settings.limits.gossip;
    let courier = Arc::new(Courier::new(settings, config.seed, clock, journal, options));
    let start_error = |e: std::io::Error| format!("starting: {e}");
    if courier.with_history(|_, _| ()).is_some() {
        let shared = courier.clone();
        let write_history = move || {
            while shared.persist_history() {
                thread::sleep(HISTORY_WRITE_INTERVAL);
            }
        };
        net::spawn("history", write_history).map_err(start_error)?;
    }
    let (mut fronts, mut acceptors, mut start_serving) = (Vec::new(), Vec::new(), Vec::<StartServing>::new());
    let mut reloads = Vec::<ReloadFn>::new();
    let (mut copy_writer, mut static_file) = (None, None);
    if let Some(listen) = config.listen {
        let now = courier.clock.now();
        let report = |update: ListUpdate| {
            courier.report(Report::List { front: platform::FRONT, update });
        };
        let list = ParsedList { list: known_list, unreadable: Vec::new() };
        // The list in the configuration counts as a full list even if it is marked otherwise.
        report(ListUpdate { is_full_list: true, ..list.into_update(Source::Configured, now) });
        if copy_rules.enabled {
            if let Some(kept) = kept_list {
                report_kept_list(&courier, kept, register.rules.max_copy_age);
            }
            copy_writer = Some(KeptCopyWriter::new(&state, copy_rules));
        }
        for (front, list) in lists {
            let update = ListUpdate::full(Source::Discovery, list.generation, list.records, now);
            courier.report(Report::List { front, update });
        }
        if let Some(file) = register.static_file {
            let mut file = StaticFile::new(file, &state);
            file.read_if_changed(now).into_iter().for_each(report);
            static_file = Some(file);
        }
        let discovery_addrs = AddressRotation::new(discovery?, &register.extra_addrs, config.seed);
        let mut limits = config.limits;
        if admin_addr.is_some() {
            limits.descriptors -= server::max_connections(limits.descriptors);
        }
        if let Some(asks) = asks.as_ref().filter(|_| gossip_allowed) {
            limits.descriptors -= asks.limits.connections.min(config.limits.descriptors / ASK_DIVISOR);
        }
        let (platform, front) = platform::start(
            &courier,
            limits,
            names,
            slots,
            discovery_addrs,
            register.poll_interval,
            &admission.platform,
        )
        .map_err(start_error)?;
        let listener = match inherited.or(taken_listener.take()) {
            Some(listener) => listener,
            None => net::acceptor::bind(&listen, admission.platform.backlog)
                .map_err(|e| format!("listen: {listen}: {e}"))?,
        };
        let sessions = std::mem::take(&mut sessions);
        fronts.push(front);
        acceptors.push(platform.acceptor.clone());
        let shared = platform.clone();
        reloads
            .push(Box::new(move |config| config.discovery().map(|at| shared.discovery.set_configured(at))));
        start_serving.push(Box::new(move || platform::serve(&platform, listener, sessions)));
    }
    let mail_is_on = mail_config.is_some();
    if let Some(mail_config) = mail_config {
        let listeners = mail::bind(&mail_config, admission.mail.backlog)?;
        let (mail, front) =
            mail::start(&courier, mail_config, slots, &state, admission.mail, config.limits.memory_bytes)?;
        fronts.push(front);
        acceptors.push(mail.door.clone());
        let shared = mail.clone();
        reloads.push(Box::new(move |_| {
            shared.reload();
            Ok(())
        }));
        start_serving.push(Box::new(move || mail::serve(&mail, listeners)));
    }
    let conns: Vec<_> = fronts.iter().map(|f| f.conns.clone()).collect();
    let shared = courier.clone();
    let owner = Arc::new(Mutex::new(Some(owner)));
    let ask_gossip = ask::gossip::SharedState::default();
    let payload_of =
        |at: &PeerAddresses| riders::rides(asks.as_ref(), &config.name, at.me).then(|| ask_gossip.clone());
    let peers = match peers_at.filter(|_| gossip_allowed) {
        Some(at) => Some(
            net::peers::start(
                &courier,
                at.clone(),
                sharing_setup(&courier, &at, sharing, incarnation, &owner, config.seed, payload_of(&at)),
            )
            .map_err(|e| format!("peer_listen: {}: {e}", at.listen))?,
        ),
        None => None,
    };
    let gossip = peers.clone();
    let health = peers.as_ref().and_then(|peers| peers.shared.clone());
    net::spawn("dispatch", move || net::dispatch(&shared, &fronts, gossip.as_ref())).map_err(start_error)?;
    let (serving, ends_forwarded) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let fleet = match asks {
        Some(asks) => {
            let descriptors = config.limits.descriptors / ASK_DIVISOR;
            let setup = Setup {
                courier: courier.clone(),
                words: words.clone(),
                serving: serving.clone(),
                config: asks.with_max_connections(descriptors)?,
                name: config.name,
                life: incarnation,
                may_ask: gossip_allowed,
                shared: ask_gossip,
                believed: health.clone(),
            };
            Some(Asker::start(setup).map_err(|e| format!("{}: {e}", paths.ask.display()))?)
        }
        None => None,
    };
    if let Some(control) = &control {
        let control_error = |e: std::io::Error| format!("control: {}: {e}", control.socket.display());
        let (acceptors, health, fleet) = (acceptors.clone(), health.clone(), fleet.clone());
        control::server::serve(&courier, control, words, acceptors, health, fleet, taken_over)
            .map_err(control_error)?;
    }
    if let Some(listener) = admin_listener {
        let (metrics, overrides) = (courier.board.clone(), overrides.clone());
        let (serving, clock) = (serving.clone(), courier.clock);
        let handler = CommandHandler { metrics, overrides, classes, serving, fleet, shared: health, clock };
        let max = server::max_connections(config.limits.descriptors);
        let at = server::serve(listener, handler, courier.clock, max).map_err(|e| format!("control: {e}"))?;
        tracing::info!(target: "door", "door on {at}");
    }
    if let Some(call_ends) = call_ends {
        upgrade::follow_call_ends(&courier, call_ends).map_err(start_error)?;
    }
    // Clients are served only now that the pending messages are recovered.
    start_serving.into_iter().try_for_each(|start| start()).map_err(start_error)?;
    serving.store(true, Ordering::SeqCst);
    let phase = courier.phase(platform::FRONT).name();
    let (pending, backends) = (courier.owed(), courier.backends());
    if let (true, Some(acceptor)) = (upgradable, acceptors.first()) {
        let process = upgrade::ServingProcess {
            ends_forwarded: ends_forwarded.clone(),
            courier: courier.clone(),
            acceptor: acceptor.clone(),
            serving: serving.clone(),
            owner: owner.clone(),
            overrides,
            refusal_reason: mail_is_on
                .then_some("the mail front is on, and its sessions can't be handed over"),
        };
        upgrade::listen_for_successor(&state, process);
    }
    anchor.log_start();
    tracing::info!(target: "daemon", register = phase, incarnation, "ready; {pending} messages are owed, {backends} backends known");
    let mut stopping: Option<Instant> = None;
    let mut handed_over_at: Option<Instant> = None;
    let mut last_sweep = Instant::now();
    loop {
        let next = courier.tick();
        let now = Instant::now();
        for signal in signals.pending() {
            if signal == SIGHUP {
                // A courier with a valid configuration keeps it if the file can no longer be read.
                if let Err(e) = reload(paths, &reloads) {
                    tracing::error!(target: "daemon", "the configuration stays as it was: {e}");
                }
            } else if stopping.is_none() {
                stopping = Some(now);
                // The core is stopped before the line is logged, so that a drain requested after the line is refused.
                let pending = courier.owed();
                courier.stop(now + EXIT_DELAY);
                tracing::info!(target: "daemon", "told to end; {pending} messages are owed");
            }
        }
        if let Some(since) = stopping.map(|at| now - at) {
            if since >= CLOSE_DELAY {
                acceptors.iter().for_each(|a| a.close());
            }
            // A fetch that is cut off here may have run, so its message fails or is sent again; an idle process can end early.
            let open: usize = acceptors.iter().map(|a| a.connection_count()).sum();
            let fetches: usize = conns.iter().map(|c| c.fetch_count()).sum();
            let idle = open + fetches == 0;
            let reported = handed_over_at.is_none() || ends_forwarded.load(Ordering::SeqCst);
            if since >= EXIT_DELAY || (since >= CLOSE_DELAY || handed_over_at.is_some()) && idle && reported {
                let finish_by = now + FINISH_TIMEOUT;
                if !acceptors.iter().all(|acceptor| acceptor.finish(finish_by)) {
                    tracing::warn!(target: "daemon", "not every request that was read could be answered in time");
                }
                let pending = courier.owed();
                tracing::info!(target: "daemon", "ends; {pending} messages stay owed, {fetches} of them being sent");
                peers.iter().for_each(|peers| peers.leave(Instant::now() + LEAVE_TIMEOUT));
                return Ok(());
            }
        }
        if now - last_sweep > Duration::from_millis(250) {
            last_sweep = now;
            if handed_over_at.is_none() && courier.has_handed_over() {
                handed_over_at = Some(now);
                peers.iter().for_each(|peers| peers.close());
            }
            if let Some(at) = handed_over_at {
                let fetches: usize = conns.iter().map(|c| c.fetch_count()).sum();
                if now - at >= LINGER_TIME && fetches == 0 && ends_forwarded.load(Ordering::SeqCst) {
                    tracing::info!(target: "daemon", "ends; another process has taken over");
                    return Ok(());
                }
                continue;
            }
            conns.iter().for_each(|c| c.close_expired());
            // After an error it is tried again in the next round.
            let _ = anchor.write();
            if let Some(writer) = &mut copy_writer {
                keep_list(
                    &courier,
                    writer,
                    disk_bytes.saturating_sub(other_bytes + kept_changes::MAX_LOG_BYTES),
                );
            }
            if let Some(update) = static_file
                .as_mut()
                .and_then(|file: &mut StaticFile| file.read_if_changed(courier.clock.now()))
            {
                courier.report(Report::List { front: platform::FRONT, update });
            }
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}
