//! The platform's front: reqs, fetches and notices as HTTP/1.1, the list of backends by a watch.

pub mod discovery;
pub mod fetch;
pub mod http;
pub mod notices;
pub mod session;
pub mod site;

use super::conn::Conns;
use super::pool::Pool;
use super::sessions::{self, Room, Sessions};
use super::{spawn, Front};
use crate::core::Courier;
use crate::settings::Names;
use crossbeam_channel::unbounded;
use site::Site;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Number of this front in the journal.
pub const FRONT: u8 = 0;
/// Share of an endpoint's idle limit for which a connection is kept.
const KEEP_SHARE: f64 = 0.8;

/// A client sends its request as soon as it is connected, and waits 400 ms for the answer; what takes longer makes
/// room for a newcomer. A session without an open request may be closed after 2 s.
const ROOM: Room = Room {
    most: 0, // by the configuration
    silent: Duration::from_millis(250),
    idle: Duration::from_secs(2),
    stuck: Duration::from_millis(500),
    full: FULL,
};
/// What a client hears when all sessions are taken by others that have a request open.
const FULL: &str =
    "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// What the threads of this front share.
pub struct Platform {
    /// The core.
    pub courier: Arc<Courier>,
    /// Names on the sockets.
    pub names: Names,
    /// The buffers.
    pub pool: Pool,
    /// The fetches' connections.
    pub conns: Arc<Conns>,
    /// Where discovery is, and the connections to it.
    pub site: Site,
    /// Client sessions.
    pub sessions: Arc<Sessions>,
}

/// Starts the front's threads, all but the listener's.
pub fn start(
    courier: &Arc<Courier>, sockets: usize, names: Names, slots: usize, discovery: SocketAddr, version: u64,
) -> io::Result<(Arc<Platform>, Front)> {
    let keep = Duration::from_secs_f64(names.conn_idle.secs() * KEEP_SHARE);
    let conns = Arc::new(Conns::new(keep, sockets / 8, b""));
    let (watch, watch_orders) = unbounded();
    let platform = Arc::new(Platform {
        courier: courier.clone(),
        names,
        pool: Pool::new(64),
        conns: conns.clone(),
        site: Site::new(discovery, watch.clone()),
        sessions: Arc::new(Sessions::new(Room { most: sockets / 2, ..ROOM })),
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
    spawn("watch", move || discovery::work(&shared, &watch_orders, version))?;
    Ok((platform, Front { number: FRONT, fetches, notices, watch: Some(watch), conns }))
}

/// Starts the listener.
pub fn serve(platform: &Arc<Platform>, listener: TcpListener) -> io::Result<()> {
    eprintln!("indigohold: platform on {}", listener.local_addr()?);
    let platform = platform.clone();
    spawn("listen", move || sessions::listen(&listener, &platform.sessions, &platform, session::serve))
        .map(|_| ())
}
