//! The platform's protocol frontend: reqs, fetches and notices over HTTP/1.1, and the list of backends from discovery.

pub mod batch;
pub mod demanded_waits;
pub mod discovery;
pub mod discovery_connections;
pub mod fetch;
pub mod http;
pub mod line_decoder;
pub mod notices;
pub mod probe;
pub mod response;
pub mod session;

use super::acceptor::{AcceptorHandle, BufferLimits, ConnectionAcceptor, ExportedConnection};
use super::conn::FetchConnections;
use super::pool::{BufferPool, BUFFER_BYTES};
use super::{spawn, Frontend};
use crate::admission::config::FrontendAdmission;
use crate::admission::Rules;
use crate::api::Micros;
use crate::config::ProcessLimits;
use crate::core::Courier;
use crate::register::address_rotation::AddressRotation;
use crate::settings::NetworkSettings;
use crossbeam_channel::{bounded, unbounded};
use demanded_waits::DemandedWaits;
use discovery_connections::DiscoveryConnections;
use std::io;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::sync::Arc;
use std::time::Duration;

/// Number of this frontend in the journal.
pub const FRONT: u8 = 0;
/// Fraction of an endpoint's idle timeout for which an idle connection to it is kept.
const IDLE_KEEP_FRACTION: f64 = 0.8;

/// Descriptors for everything but client sessions and connections to endpoints: journal, listener, discovery, log.
const OTHER_DESCRIPTORS: usize = 32;
/// Memory of a session without buffered data, in the process and in the kernel.
const SESSION_BYTES: usize = 8 * 1024;
/// All memory divided by this is the share for sessions.
const SESSIONS_MEMORY_DIVISOR: usize = 4;
/// All memory divided by this is the share for requests and responses that are partly received or sent.
const HELD_MEMORY_DIVISOR: usize = 4;
/// Idle buffers that the pool keeps for reuse.
const POOLED_BUFFERS: usize = 32;

/// State shared by the threads of this frontend.
pub struct Platform {
    /// The core.
    pub courier: Arc<Courier>,
    /// Settings of the network code, among them the names that are used on the wire.
    pub settings: NetworkSettings,
    /// Whether any kind of destination accepts several messages in one call.
    pub batches: bool,
    /// Interval at which the full list is read where discovery offers no watch.
    pub poll_interval: Micros,
    /// The buffers.
    pub pool: BufferPool,
    /// Connections to endpoints.
    pub conns: Arc<FetchConnections>,
    /// Waits that endpoints have demanded.
    pub demanded_waits: DemandedWaits,
    /// Discovery's addresses and the connections to it.
    pub discovery: DiscoveryConnections,
    /// Handle of the acceptor of client sessions; it also establishes connections.
    pub acceptor: AcceptorHandle,
    admission_rules: Rules,
    max_held_bytes: usize,
}

/// Starts the threads of the frontend, except the listener's.
pub fn start(
    courier: &Arc<Courier>, limits: ProcessLimits, settings: NetworkSettings, slots: usize,
    discovery_addrs: AddressRotation, poll_interval: Micros, admission: &FrontendAdmission,
) -> io::Result<(Arc<Platform>, Frontend)> {
    let keep = Duration::from_secs_f64(settings.conn_idle.secs() * IDLE_KEEP_FRACTION);
    let max_idle = limits.descriptors / 8;
    let conns = Arc::new(FetchConnections::new(keep, max_idle, b""));
    // Hundreds of clients may send one request and keep the connection open for their 2 s, so sessions get every descriptor
    // that nothing else needs.
    let free =
        limits.descriptors.saturating_sub(max_idle + slots + OTHER_DESCRIPTORS).max(limits.descriptors / 3);
    let max_sessions = free.min(limits.memory_bytes / SESSIONS_MEMORY_DIVISOR / SESSION_BYTES);
    let (watch, watch_orders) = unbounded();
    let acceptor = AcceptorHandle::new();
    let platform = Arc::new(Platform {
        courier: courier.clone(),
        batches: settings.batches,
        settings,
        poll_interval,
        pool: BufferPool::new(POOLED_BUFFERS),
        conns: conns.clone(),
        demanded_waits: DemandedWaits::default(),
        discovery: DiscoveryConnections::new(discovery_addrs, watch.clone(), acceptor.clone()),
        acceptor,
        admission_rules: admission.rules(max_sessions),
        max_held_bytes: limits.memory_bytes / HELD_MEMORY_DIVISOR,
    });
    let (fetches, fetch_orders) = unbounded();
    for _ in 0..slots {
        let (platform, orders) = (platform.clone(), fetch_orders.clone());
        spawn("fetch", move || fetch::run_worker(&platform, &orders))?;
    }
    let (notices, notice_orders) = unbounded();
    let shared = platform.clone();
    spawn("notices", move || notices::run_worker(&shared, &notice_orders))?;
    let shared = platform.clone();
    spawn("watch", move || discovery::run_watch_worker(&shared, &watch_orders))?;
    let (read_list, read_orders) = unbounded();
    let shared = platform.clone();
    spawn("read-list", move || discovery::run_read_worker(&shared, &read_orders))?;
    let (watch, read_list) = (Some(watch), Some(read_list));
    let mut probes = None;
    if platform.settings.probing {
        let (sender, probe_orders) = bounded(probe::QUEUE_CAPACITY);
        for _ in 0..probe::THREADS {
            let (platform, orders) = (platform.clone(), probe_orders.clone());
            spawn("probe", move || probe::run_worker(&platform, &orders))?;
        }
        probes = Some(sender);
    }
    Ok((
        platform,
        Frontend {
            number: FRONT,
            fetches,
            split: batch::split,
            notices: Some(notices),
            watch,
            read_list,
            probes,
            conns,
        },
    ))
}

/// Starts the acceptor of client sessions, with the sessions that a handover passed on.
pub fn serve(
    platform: &Arc<Platform>, listener: TcpListener, sessions: Vec<(OwnedFd, ExportedConnection)>,
) -> io::Result<()> {
    tracing::info!(target: "platform", "platform on {}", listener.local_addr()?);
    let clients = session::ClientSessions(platform.clone());
    let (clock, rules) = (platform.courier.clock, platform.admission_rules.clone());
    let limits = BufferLimits { total: platform.max_held_bytes, per_connection: BUFFER_BYTES };
    let mut acceptor =
        ConnectionAcceptor::new("platform", clients, listener, &platform.acceptor, clock, rules, limits)?;
    sessions.into_iter().for_each(|(fd, exported)| acceptor.import_connection(fd, exported));
    spawn("lobby", move || acceptor.run()).map(|_| ())
}
