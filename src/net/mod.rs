//! The sockets: std::net, threads with small stacks, buffers of one size. Two fronts share what is here: the
//! platform's protocol and mail. Neither decides anything; they report to the core and do what it orders.

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

/// Stack of every thread but the first.
const STACK: usize = 192 * 1024;

/// Starts a thread with a small stack. It runs for as long as the process unless it says otherwise.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<JoinHandle<()>> {
    Builder::new().name(name.to_owned()).stack_size(STACK).spawn(run)
}

/// Where the orders of one front go.
#[derive(Clone)]
pub struct Front {
    /// Its number, as in [`crate::core::Req::front`].
    pub number: u8,
    /// Calls to start; as many threads take them as the courier has slots.
    pub fetches: Sender<Vec<Fetch>>,
    /// What of fetches that may share a call can share one here.
    pub split: fn(Vec<Fetch>) -> Vec<Vec<Fetch>>,
    /// Ends to tell.
    pub notices: Sender<Notice>,
    /// A wish to watch the list; a front without one pushes its list unasked.
    pub watch: Option<Sender<()>>,
    /// A wish to read the whole list once more, beside the watch.
    pub read_list: Option<Sender<()>>,
    /// Endpoints to ask how they are; `None`: this front asks none.
    pub probes: Option<Sender<Probe>>,
    /// Connections that are out or idle.
    pub conns: Arc<conn::Conns>,
}

impl Front {
    fn start(&self, call: Vec<Fetch>) {
        call.iter().for_each(|fetch| self.conns.ordered(fetch.msg, fetch.attempt));
        // The receivers live as long as the process.
        let _ = self.fetches.send(call);
    }
}

/// For a front where each fetch is a call of its own.
pub fn each_alone(fetches: Vec<Fetch>) -> Vec<Vec<Fetch>> {
    fetches.into_iter().map(|fetch| vec![fetch]).collect()
}

/// Hands each order to the front it concerns, and notes to the neighbours' thread, if there is one. It waits for none.
pub fn dispatch(courier: &Courier, fronts: &[Front], peers: Option<&peers::Peers>) {
    let of = |number: u8| fronts.iter().find(|f| f.number == number);
    loop {
        match courier.next_order() {
            Order::Fetch(fetch) => {
                if let Some(front) = of(fetch.req.front) {
                    front.start(vec![fetch]);
                }
            }
            Order::Batch(fetches) => {
                let front = fetches.first().and_then(|fetch| of(fetch.req.front));
                if let Some(front) = front {
                    (front.split)(fetches).into_iter().for_each(|call| front.start(call));
                }
            }
            Order::Notice(notice) => {
                if let Some(front) = of(notice.req.front) {
                    let _ = front.notices.send(notice);
                }
            }
            Order::Cancel { msg, attempt } => fronts.iter().for_each(|f| f.conns.cancel(msg, attempt)),
            Order::CloseIdle(backend) => fronts.iter().for_each(|f| f.conns.let_go(&backend)),
            Order::WatchList => {
                for watch in fronts.iter().filter_map(|f| f.watch.as_ref()) {
                    let _ = watch.send(());
                }
            }
            Order::ReadList(front) => {
                if let Some(read) = of(front).and_then(|f| f.read_list.as_ref()) {
                    let _ = read.send(());
                }
            }
            Order::Probe(probe) => {
                let left = match fronts.iter().find_map(|f| f.probes.as_ref()) {
                    Some(probes) => probes.try_send(probe).err().map(|e| e.into_inner()),
                    None => Some(probe),
                };
                // Danger: one that is dropped without a word leaves its endpoint half open for ever.
                if let Some(probe) = left {
                    courier.probed(&probe, Outcome::NotSent, Micros(0), Vec::new());
                }
            }
            Order::Note { to, note } => peers.iter().for_each(|peers| peers.tell(to, note.clone())),
            Order::Nothing => return,
        }
    }
}
