//! Network I/O: threads with small stacks, sockets of the standard library, buffers of one size. Two protocol frontends share
//! what is here: the platform's HTTP protocol and mail. They take no decisions; they report to the core and carry out its orders.

pub mod acceptor;
pub mod ask;
pub mod conn;
pub mod errors;
pub mod mail;
pub mod peers;
pub mod platform;
pub mod pool;
pub mod transfer;

use crate::api::{Micros, Outcome};
use crate::core::{Courier, Fetch, Notice, Order, Probe};
use crossbeam_channel::Sender;
use std::io;
use std::sync::Arc;
use std::thread::{Builder, JoinHandle};

/// Stack size of every thread but the first.
const THREAD_STACK_BYTES: usize = 192 * 1024;

/// Starts a named thread with a small stack. Most of these threads run until the process ends.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(THREAD_STACK_BYTES).spawn(run)
}

/// The channels through which the core's orders reach one protocol frontend.
#[derive(Clone)]
pub struct Frontend {
    /// Its number, as in [`crate::core::Req::front`].
    pub number: u8,
    /// Calls to start; as many threads take them as the courier has slots.
    pub fetches: Sender<Vec<Fetch>>,
    /// Divides fetches that may share a call into groups that can share one in this protocol.
    pub split: fn(Vec<Fetch>) -> Vec<Vec<Fetch>>,
    /// Messages that ended undelivered, whose clients must be notified; `None`: this frontend's end by bounces.
    pub notices: Option<Sender<Notice>>,
    /// Requests to watch the endpoint list; `None`: this frontend reports its list without being asked.
    pub watch: Option<Sender<()>>,
    /// Requests to read the whole list once more, in parallel to the watch.
    pub read_list: Option<Sender<()>>,
    /// Endpoints to probe; `None`: this frontend sends no probes.
    pub probes: Option<Sender<Probe>>,
    /// The connections of its fetches.
    pub conns: Arc<conn::FetchConnections>,
}

impl Frontend {
    fn start(&self, call: Vec<Fetch>) {
        call.iter().for_each(|fetch| self.conns.fetch_ordered(fetch.msg, fetch.attempt));
        // The receivers live until the process ends.
        let _ = self.fetches.send(call);
    }
}

/// The [`Frontend::split`] of a protocol in which each fetch is a call of its own.
pub fn one_fetch_per_call(fetches: Vec<Fetch>) -> Vec<Vec<Fetch>> {
    fetches.into_iter().map(|fetch| vec![fetch]).collect()
}

/// Passes each order to the frontend that it concerns, and gossip messages to the peers' thread, if there is one. It waits for
/// none of them.
pub fn dispatch(courier: &Courier, frontends: &[Frontend], peers: Option<&peers::Peers>) {
    let frontend = |number: u8| frontends.iter().find(|f| f.number == number);
    loop {
        match courier.next_order() {
            Order::Fetch(fetch) => {
                if let Some(frontend) = frontend(fetch.req.front) {
                    frontend.start(vec![fetch]);
                }
            }
            Order::Batch(fetches) => {
                let frontend = fetches.first().and_then(|fetch| frontend(fetch.req.front));
                if let Some(frontend) = frontend {
                    (frontend.split)(fetches).into_iter().for_each(|call| frontend.start(call));
                }
            }
            Order::Notice(notice) => {
                if let Some(notices) = frontend(notice.req.front).and_then(|f| f.notices.as_ref()) {
                    let _ = notices.send(notice);
                }
            }
            Order::Cancel { msg, attempt } => frontends.iter().for_each(|f| f.conns.cancel(msg, attempt)),
            Order::CloseIdle(backend) => frontends.iter().for_each(|f| f.conns.close_idle(&backend)),
            Order::WatchList => {
                for watch in frontends.iter().filter_map(|f| f.watch.as_ref()) {
                    let _ = watch.send(());
                }
            }
            Order::ReadList(number) => {
                if let Some(read) = frontend(number).and_then(|f| f.read_list.as_ref()) {
                    let _ = read.send(());
                }
            }
            Order::Probe(probe) => {
                let undelivered = match frontends.iter().find_map(|f| f.probes.as_ref()) {
                    Some(probes) => probes.try_send(probe).err().map(|e| e.into_inner()),
                    None => Some(probe),
                };
                // A probe that is dropped without a result would leave its endpoint half-open for ever.
                if let Some(probe) = undelivered {
                    courier.probed(&probe, Outcome::NotSent, Micros(0), Vec::new());
                }
            }
            Order::Note { to, note } => peers.iter().for_each(|peers| peers.tell(to, note.clone())),
            Order::Nothing => return,
        }
    }
}
