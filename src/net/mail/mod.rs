//! The mail front: SMTP (RFC 5321) and LMTP (RFC 2033), in and out, on the same core as the platform's front and
//! under its rules. Each recipient of a message is a req of its own. Nobody at a partner's mail server drops a
//! repeat, so a print order that may have taken effect is not sent again.

pub mod bounce;
pub mod client;
pub mod config;
pub mod dns;
pub mod lines;
pub mod message;
pub mod server;

use super::acceptor::{self, AcceptorHandle, BufferLimits, ClientProtocol, ConnectionAcceptor};
use super::conn::FetchConnections;
use super::pool::{BufferPool, BUFFER_BYTES};
use super::{spawn, Frontend};
use crate::admission::config::FrontendAdmission;
use crate::core::{Courier, EndpointRecord, EndpointState, ListUpdate, Report, Source};
use config::MailConfig;
use crossbeam_channel::unbounded;
use dns::server::Zones;
use dns::zone::Protocol;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Number of this front in the journal.
pub const FRONT: u8 = 1;
/// What sessions may hold that is half sent: command lines and questions. Texts are counted by themselves.
const HELD_MOST: usize = 64 * 16 * 1024;
/// All memory divided by this is the share for message texts that are coming in.
const SESSIONS_MEMORY_DIVISOR: usize = 4;
/// Listeners whose sessions send texts: SMTP and LMTP.
const LISTENERS: usize = 2;
/// How long an idle connection to a partner is kept: servers wait for minutes.
const KEEP: Duration = Duration::from_secs(20);
/// How often the zone files are looked at.
const RELOAD: Duration = Duration::from_millis(500);

/// What the threads of this front share.
pub struct Mail {
    /// The core.
    pub courier: Arc<Courier>,
    /// Its file.
    pub config: MailConfig,
    /// The buffers.
    pub pool: BufferPool,
    /// The fetches' connections.
    pub conns: Arc<FetchConnections>,
    /// Client sessions.
    pub door: AcceptorHandle,
    admission: FrontendAdmission,
    /// Sessions of one listener for which there is memory.
    max_sessions: usize,
    zones: OnceLock<Zones>,
}

/// The sockets that the front listens on.
pub struct Listeners {
    smtp: Option<TcpListener>,
    lmtp: Option<TcpListener>,
    dns: Option<(UdpSocket, TcpListener)>,
}

/// Starts the front, all but its listeners.
pub fn start(
    courier: &Arc<Courier>, config: MailConfig, slots: usize, state: &Path, admission: FrontendAdmission,
    memory_bytes: usize,
) -> Result<(Arc<Mail>, Frontend), String> {
    let conns = Arc::new(FetchConnections::new(KEEP, 64, b"QUIT\r\n"));
    let mail = Arc::new(Mail {
        courier: courier.clone(),
        max_sessions: memory_bytes / SESSIONS_MEMORY_DIVISOR / LISTENERS / config.message_bytes.max(1),
        config,
        pool: BufferPool::new(16),
        conns: conns.clone(),
        door: AcceptorHandle::new(),
        admission,
        zones: OnceLock::new(),
    });
    let shared = Arc::downgrade(&mail);
    let changed = move || {
        if let Some(mail) = shared.upgrade() {
            mail.tell_backends();
        }
    };
    let sources = mail.config.update_sources.clone();
    let zones = Zones::open(&mail.config.zones, state, sources, mail.courier.clock.now(), Box::new(changed))?;
    mail.zones.get_or_init(|| zones);
    mail.tell_backends();
    let (fetches, fetch_orders) = unbounded();
    let threads = || -> io::Result<()> {
        for _ in 0..slots {
            let (mail, orders) = (mail.clone(), fetch_orders.clone());
            spawn("mail-fetch", move || client::work(&mail, &orders))?;
        }
        let shared = mail.clone();
        spawn("zones", move || loop {
            std::thread::sleep(RELOAD);
            shared.reload();
        })?;
        Ok(())
    };
    threads().map_err(|e| format!("starting the mail front: {e}"))?;
    Ok((
        mail,
        Frontend {
            number: FRONT,
            fetches,
            split: super::one_fetch_per_call,
            notices: None,
            watch: None,
            read_list: None,
            probes: None,
            conns,
        },
    ))
}

/// Opens the front's sockets.
pub fn bind(config: &MailConfig, backlog: i32) -> Result<Listeners, String> {
    let tcp = |what: &str, addr: Option<SocketAddr>| match addr {
        None => Ok(None),
        Some(addr) => {
            acceptor::bind(&addr.to_string(), backlog).map(Some).map_err(|e| format!("{what}: {addr}: {e}"))
        }
    };
    let smtp = tcp("smtp", config.smtp)?;
    let lmtp = tcp("lmtp", config.lmtp)?;
    let dns = match tcp("dns", config.dns)? {
        None => None,
        Some(listener) => {
            let addr = listener.local_addr().map_err(|e| format!("dns: {e}"))?;
            Some((UdpSocket::bind(addr).map_err(|e| format!("dns: {addr}: {e}"))?, listener))
        }
    };
    Ok(Listeners { smtp, lmtp, dns })
}

/// Starts the front's listeners.
pub fn serve(mail: &Arc<Mail>, listeners: Listeners) -> io::Result<()> {
    let names = [
        ("smtp", listeners.smtp.as_ref()),
        ("lmtp", listeners.lmtp.as_ref()),
        ("dns", listeners.dns.as_ref().map(|d| &d.1)),
    ];
    for (what, listener) in names {
        if let Some(addr) = listener.and_then(|l| l.local_addr().ok()) {
            tracing::info!(target: "mail", "{what} on {addr}");
        }
    }
    for (name, listener, protocol) in
        [("smtp", listeners.smtp, Protocol::Smtp), ("lmtp", listeners.lmtp, Protocol::Lmtp)]
    {
        if let Some(listener) = listener {
            seat(mail, name, listener, server::Clients { mail: mail.clone(), protocol })?;
        }
    }
    if let Some((udp, tcp)) = listeners.dns {
        let shared = mail.clone();
        spawn("dns-udp", move || shared.zones().iter().for_each(|z| z.serve_udp(&udp)))?;
        seat(mail, "dns", tcp, dns::tcp::Askers(mail.clone()))?;
    }
    Ok(())
}

/// Starts the connection acceptor of one listener.
fn seat<F: ClientProtocol>(
    mail: &Mail, name: &'static str, listener: TcpListener, clients: F,
) -> io::Result<()> {
    let rules = mail.admission.rules(mail.max_sessions);
    let room = BufferLimits { total: HELD_MOST, per_connection: BUFFER_BYTES };
    let acceptor =
        ConnectionAcceptor::new(name, clients, listener, &mail.door, mail.courier.clock, rules, room)?;
    spawn("mail-lobby", move || acceptor.run()).map(|_| ())
}

impl Mail {
    /// Looks at the zone files.
    pub fn reload(&self) {
        self.zones().iter().for_each(|zones| zones.reload(self.courier.clock.now()));
    }

    pub(crate) fn zones(&self) -> Option<&Zones> {
        self.zones.get()
    }

    /// Tells the core all mail backends of all partners, as the zones name them now. One that is named no more
    /// gets nothing new and finishes what it has.
    fn tell_backends(&self) {
        let Some(zones) = self.zones() else { return };
        let lines = self.config.partners.values().flat_map(|partner| {
            let backends = zones.backends(&partner.domain);
            backends.into_iter().map(|backend| EndpointRecord {
                name: format!("{}/{}", partner.dest, backend.name),
                addr: backend.addr,
                dest: partner.dest,
                kind: partner.kind.as_str().into(),
                zone: "".into(),
                state: EndpointState::Up,
                weight: partner.rate,
                rank: backend.rank,
            })
        });
        let word = ListUpdate::full(Source::Zone, 0, lines.collect(), self.courier.clock.now());
        self.courier.report(Report::List { front: FRONT, update: word });
    }
}
