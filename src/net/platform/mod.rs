//! The platform's front: reqs, fetches and notices as HTTP/1.1, the list of backends by a watch.

pub mod answer;
pub mod batch;
pub mod discovery;
pub mod fetch;
pub mod http;
pub mod lines;
pub mod notices;
pub mod probe;
pub mod session;
pub mod site;

use super::acceptor::{AcceptorHandle, BufferLimits, ConnectionAcceptor, ExportedConnection};
use super::conn::FetchConnections;
use super::pool::{BufferPool, BUFFER_BYTES};
use super::{spawn, Frontend};
use crate::admission::config::FrontAdmission;
use crate::admission::Rules;
use crate::api::Micros;
use crate::config::Bounds;
use crate::core::Courier;
use crate::register::address_rotation::AddressRotation;
use crate::register::list::KindAndZoneNames;
use crate::settings::NetworkSettings;
use crossbeam_channel::{bounded, unbounded};
use site::Site;
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// Number of this front in the journal.
pub const FRONT: u8 = 0;
/// Share of an endpoint's idle limit for which a connection is kept.
const KEEP_SHARE: f64 = 0.8;

/// Descriptors for all that is no session and no connection to an endpoint: journal, listener, discovery, log.
const OTHERS: usize = 32;
/// Memory that a session takes that holds nothing, in the process and in the kernel, and the share of all memory for
/// sessions and for what is half sent.
const SESSION_BYTES: usize = 8 * 1024;
const SESSIONS_SHARE: usize = 4;
const HELD_SHARE: usize = 4;
/// Buffers that are kept for their next use.
const POOL_KEEPS: usize = 32;

/// What the threads of this front share.
pub struct Platform {
    /// The core.
    pub courier: Arc<Courier>,
    /// Names on the sockets.
    pub names: NetworkSettings,
    /// Names in lists.
    pub places: KindAndZoneNames,
    /// Some kind of destination takes several messages in a call.
    pub batches: bool,
    /// How often the whole list is read where there is no watch.
    pub poll: Micros,
    /// The buffers.
    pub pool: BufferPool,
    /// The fetches' connections.
    pub conns: Arc<FetchConnections>,
    /// Where discovery is, and the connections to it.
    pub site: Site,
    /// Client sessions.
    pub door: AcceptorHandle,
    rules: Rules,
    held_most: usize,
}

/// Starts the front's threads, all but the listener's.
pub fn start(
    courier: &Arc<Courier>, bounds: Bounds, names: NetworkSettings, slots: usize, discovery: AddressRotation,
    poll: Micros, admission: &FrontAdmission,
) -> io::Result<(Arc<Platform>, Frontend)> {
    let keep = Duration::from_secs_f64(names.conn_idle.secs() * KEEP_SHARE);
    let idle = bounds.sockets / 8;
    let conns = Arc::new(FetchConnections::new(keep, idle, b""));
    // Danger: clients that asked once and stay for their 2 s come by hundreds. All that is not needed is theirs.
    let free = bounds.sockets.saturating_sub(idle + slots + OTHERS).max(bounds.sockets / 3);
    let places = free.min(bounds.memory / SESSIONS_SHARE / SESSION_BYTES);
    let (watch, watch_orders) = unbounded();
    let door = AcceptorHandle::new();
    let platform = Arc::new(Platform {
        courier: courier.clone(),
        places: names.places(),
        batches: names.batches,
        names,
        poll,
        pool: BufferPool::new(POOL_KEEPS),
        conns: conns.clone(),
        site: Site::new(discovery, watch.clone(), door.clone()),
        door,
        rules: admission.rules(places),
        held_most: bounds.memory / HELD_SHARE,
    });
    let (fetches, fetch_orders) = unbounded();
    for _ in 0..slots {
        let (platform, orders) = (platform.clone(), fetch_orders.clone());
        spawn("fetch", move || fetch::work(&platform, &orders))?;
    }
    let (notices, notice_orders) = unbounded();
    let shared = platform.clone();
    spawn("notices", move || notices::work(&shared, &notice_orders))?;
    let shared = platform.clone();
    spawn("watch", move || discovery::work(&shared, &watch_orders))?;
    let (read_list, read_orders) = unbounded();
    let shared = platform.clone();
    spawn("read-list", move || discovery::read_again(&shared, &read_orders))?;
    let (watch, read_list) = (Some(watch), Some(read_list));
    let mut probes = None;
    if platform.names.probing {
        let (to, probe_orders) = bounded(probe::QUEUE);
        for _ in 0..probe::THREADS {
            let (platform, orders) = (platform.clone(), probe_orders.clone());
            spawn("probe", move || probe::work(&platform, &orders))?;
        }
        probes = Some(to);
    }
    Ok((
        platform,
        Frontend { number: FRONT, fetches, split: batch::split, notices, watch, read_list, probes, conns },
    ))
}

/// Starts the listener.
pub fn serve(
    platform: &Arc<Platform>, listener: TcpListener, sessions: Vec<(OwnedFd, ExportedConnection)>,
) -> io::Result<()> {
    tracing::info!(target: "platform", "platform on {}", listener.local_addr()?);
    let clients = session::Clients(platform.clone());
    let (clock, rules) = (platform.courier.clock, platform.rules.clone());
    let room = BufferLimits { total: platform.held_most, per_connection: BUFFER_BYTES };
    let mut acceptor =
        ConnectionAcceptor::new("platform", clients, listener, &platform.door, clock, rules, room)?;
    sessions.into_iter().for_each(|(fd, words)| acceptor.import_connection(fd, words));
    spawn("lobby", move || acceptor.run()).map(|_| ())
}
