//! Connections with absolute deadlines, and the fetches' connections: those out, which can be called off, and
//! those idle, which can be used again.

use super::errors::{fault_of, Fault};
use crate::core::Backend;
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use rustix::net::RecvFlags;
use std::collections::HashMap;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How long, and how often, something is waited for that this machine lacks.
const LOCAL_PATIENCE: Duration = Duration::from_millis(100);
const LOCAL_PAUSE: Duration = Duration::from_millis(2);
const LOCAL_TRIES: u32 = 50;

/// What is left until a deadline; an error once it is past.
fn left(until: Instant) -> io::Result<Duration> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    Ok(left.max(Duration::from_millis(1)))
}

/// A connection of either kind: TCP, or a socket of this machine.
pub trait Wire {
    /// As [`TcpStream::set_read_timeout`].
    fn set_read_timeout(&self, span: Option<Duration>) -> io::Result<()>;
    /// As [`TcpStream::set_write_timeout`].
    fn set_write_timeout(&self, span: Option<Duration>) -> io::Result<()>;
    /// As [`Read::read`].
    fn recv(&self, into: &mut [u8]) -> io::Result<usize>;
    /// As [`Write::write`].
    fn send(&self, bytes: &[u8]) -> io::Result<usize>;
}

macro_rules! wires {
    ($($kind:ty),*) => {$(
        impl Wire for $kind {
            fn set_read_timeout(&self, span: Option<Duration>) -> io::Result<()> {
                <$kind>::set_read_timeout(self, span)
            }
            fn set_write_timeout(&self, span: Option<Duration>) -> io::Result<()> {
                <$kind>::set_write_timeout(self, span)
            }
            fn recv(&self, into: &mut [u8]) -> io::Result<usize> {
                let mut stream = self;
                stream.read(into)
            }
            fn send(&self, bytes: &[u8]) -> io::Result<usize> {
                let mut stream = self;
                stream.write(bytes)
            }
        }
    )*};
}

wires!(TcpStream, UnixStream);

impl<W: Wire> Wire for Arc<W> {
    fn set_read_timeout(&self, span: Option<Duration>) -> io::Result<()> {
        (**self).set_read_timeout(span)
    }
    fn set_write_timeout(&self, span: Option<Duration>) -> io::Result<()> {
        (**self).set_write_timeout(span)
    }
    fn recv(&self, into: &mut [u8]) -> io::Result<usize> {
        (**self).recv(into)
    }
    fn send(&self, bytes: &[u8]) -> io::Result<usize> {
        (**self).send(bytes)
    }
}

/// Connects before the deadline.
pub fn connect(addr: SocketAddr, until: Instant) -> io::Result<TcpStream> {
    let stream = connect_by(until, |left| TcpStream::connect_timeout(&addr, left))?;
    // Without it small writes may wait in the system; that is no reason to do without the connection.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Connects by `dial`, which is given the time that is left. What this machine lacks for a moment is waited for, but for a
/// descriptor: whoever has one to spare must give it.
pub fn connect_by<T>(until: Instant, mut dial: impl FnMut(Duration) -> io::Result<T>) -> io::Result<T> {
    let patience = until.min(Instant::now() + LOCAL_PATIENCE);
    loop {
        match dial(left(until)?) {
            Err(e)
                if matches!(fault_of(&e), Fault::Interrupted | Fault::Local) && Instant::now() < patience =>
            {
                thread::sleep(LOCAL_PAUSE);
            }
            other => return other,
        }
    }
}

/// Makes a call again that was interrupted, or that this machine lacked something for; the latter not for ever.
fn until_clear<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut patience = LOCAL_TRIES;
    loop {
        match call() {
            Err(e) if fault_of(&e) == Fault::Interrupted => {}
            Err(e) if fault_of(&e) == Fault::Local && patience > 0 => {
                patience -= 1;
                thread::sleep(LOCAL_PAUSE);
            }
            other => return other,
        }
    }
}

/// Reads some bytes before the deadline; 0 at the end.
pub fn read<W: Wire>(stream: &W, into: &mut [u8], until: Instant) -> io::Result<usize> {
    until_clear(|| {
        stream.set_read_timeout(Some(left(until)?))?;
        stream.recv(into)
    })
}

/// Looks at some bytes before the deadline and leaves them there; 0 at the end. What is there counts, however late the look:
/// danger, a process that is stopped past the deadline wakes up by an interrupted call, and what came in time would be taken
/// for nothing.
pub fn peek(stream: &TcpStream, into: &mut [u8], until: Instant) -> io::Result<usize> {
    until_clear(|| {
        let Ok(left) = left(until) else {
            let (_, n) = rustix::net::recv(stream, &mut *into, RecvFlags::PEEK | RecvFlags::DONTWAIT)?;
            return Ok(n);
        };
        stream.set_read_timeout(Some(left))?;
        stream.peek(into)
    })
}

/// What lies there, without waiting and without taking it out.
pub fn peek_now(stream: &TcpStream, into: &mut [u8]) -> usize {
    let look = || Ok(rustix::net::recv(stream, &mut *into, RecvFlags::PEEK | RecvFlags::DONTWAIT)?);
    until_clear(look).map_or(0, |(_, n)| n)
}

/// Writes all bytes before the deadline.
pub fn write_all<W: Wire>(stream: &W, mut bytes: &[u8], until: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        let sent = until_clear(|| {
            stream.set_write_timeout(Some(left(until)?))?;
            stream.send(bytes)
        })?;
        if sent == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        bytes = &bytes[sent..];
    }
    Ok(())
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Idle {
    stream: Arc<TcpStream>,
    /// What its front knows of it.
    tag: u32,
    since: Instant,
}

enum Out {
    /// Ordered, without a connection yet.
    Waiting,
    /// Its connection, how many fetches share it, and its destination once the last byte of its request is written: from
    /// then on an answer may lie there.
    Open(Arc<TcpStream>, Arc<AtomicUsize>, Option<u16>),
    CalledOff,
}

/// The connections of one front's fetches.
pub struct Conns {
    /// What is said on an idle connection before it is closed.
    farewell: &'static [u8],
    keep: Duration,
    most_idle: usize,
    /// By backend, not by address alone. Danger: a new backend may listen where one that has gone did, and a
    /// connection to that one leads nowhere or to the wrong one.
    idle: Mutex<HashMap<Arc<Backend>, Vec<Idle>>>,
    out: Mutex<HashMap<(u64, u8), Out>>,
}

impl Conns {
    /// Idle connections are kept for so long and no more than so many; each is closed with a farewell.
    pub fn new(keep: Duration, most_idle: usize, farewell: &'static [u8]) -> Conns {
        Conns { farewell, keep, most_idle, idle: Mutex::default(), out: Mutex::default() }
    }

    /// A fetch is ordered; from now on it can be called off.
    pub fn ordered(&self, msg: u64, attempt: u8) {
        lock(&self.out).insert((msg, attempt), Out::Waiting);
    }

    /// The fetch has a connection; `false` if it was called off meanwhile.
    pub fn opened(&self, msg: u64, attempt: u8, stream: &Arc<TcpStream>) -> bool {
        self.opened_together(&[(msg, attempt)], stream) == [true]
    }

    /// The same for fetches that share a call; which of them were not called off meanwhile.
    pub fn opened_together(&self, fetches: &[(u64, u8)], stream: &Arc<TcpStream>) -> Vec<bool> {
        let riders = Arc::new(AtomicUsize::new(0));
        let mut all = lock(&self.out);
        let mut open = |fetch: &(u64, u8)| match all.get_mut(fetch) {
            Some(Out::CalledOff) | None => false,
            Some(out) => {
                riders.fetch_add(1, Ordering::SeqCst);
                *out = Out::Open(stream.clone(), riders.clone(), None);
                true
            }
        };
        fetches.iter().map(&mut open).collect()
    }

    /// Its last byte is written.
    pub fn written(&self, msg: u64, attempt: u8, dest: u16) {
        if let Some(Out::Open(_, _, to)) = lock(&self.out).get_mut(&(msg, attempt)) {
            *to = Some(dest);
        }
    }

    /// Connections on which something has come from this destination that nobody has taken out yet.
    pub fn unread(&self, dest: u16) -> Vec<Arc<TcpStream>> {
        let of = |out: &Out| match out {
            Out::Open(stream, _, Some(to)) if *to == dest => Some(stream.clone()),
            _ => None,
        };
        let mut streams: Vec<Arc<TcpStream>> = lock(&self.out).values().filter_map(of).collect();
        let mut fds: Vec<PollFd> = streams.iter().map(|s| PollFd::new(s, PollFlags::IN)).collect();
        if fds.is_empty() {
            return Vec::new();
        }
        // Danger: an interrupted look taken for one that found nothing lets a call go into a wait that is told already.
        let ready = until_clear(|| Ok(poll(&mut fds, Some(&Timespec::default()))?));
        if !ready.is_ok_and(|ready| ready > 0) {
            return Vec::new();
        }
        let ready: Vec<bool> = fds.iter().map(|fd| !fd.revents().is_empty()).collect();
        let mut ready = ready.into_iter();
        streams.retain(|_| ready.next().unwrap_or_default());
        streams
    }

    /// The fetch is over; `true` if it was called off.
    pub fn closed(&self, msg: u64, attempt: u8) -> bool {
        match lock(&self.out).remove(&(msg, attempt)) {
            Some(Out::CalledOff) => true,
            Some(Out::Open(_, riders, _)) => {
                riders.fetch_sub(1, Ordering::SeqCst);
                false
            }
            _ => false,
        }
    }

    /// How many fetches are ordered or out.
    pub fn out(&self) -> usize {
        lock(&self.out).len()
    }

    /// Calls a fetch off by closing its connection, unless others share it that are not called off. One that is over is
    /// passed by.
    pub fn cancel(&self, msg: u64, attempt: u8) {
        if let Some(out) = lock(&self.out).get_mut(&(msg, attempt)) {
            if let Out::Open(stream, riders, _) = std::mem::replace(out, Out::CalledOff) {
                if riders.fetch_sub(1, Ordering::SeqCst) == 1 {
                    // An error says that it is closed already.
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// An idle connection that is still in order, the one used last. Danger: an endpoint closes connections that
    /// have stood idle, and a request written to one of those ends as a reset that may have run; so one with an
    /// end or stray bytes to read is dropped, and so is one that has been idle for long.
    pub fn reuse(&self, backend: &Backend) -> Option<(Arc<TcpStream>, u32)> {
        loop {
            let idle = lock(&self.idle).get_mut(backend)?.pop()?;
            if idle.since.elapsed() < self.keep && quiet(&idle.stream) {
                return Some((idle.stream, idle.tag));
            }
        }
    }

    /// Keeps a connection whose answer was read whole.
    pub fn keep(&self, backend: &Arc<Backend>, stream: Arc<TcpStream>, tag: u32) {
        let mut idle = lock(&self.idle);
        idle.entry(backend.clone()).or_default().push(Idle { stream, tag, since: Instant::now() });
        if idle.values().map(Vec::len).sum::<usize>() > self.most_idle {
            let oldest = idle.iter().filter_map(|(b, l)| l.first().map(|i| (i.since, b.clone())));
            let oldest = oldest.min_by_key(|(since, _)| *since);
            if let Some(list) = oldest.and_then(|(_, b)| idle.get_mut(&b)) {
                self.part(list.remove(0));
            }
        }
    }

    /// Closes idle connections to one backend.
    pub fn let_go(&self, backend: &Backend) {
        lock(&self.idle).remove(backend).into_iter().flatten().for_each(|idle| self.part(idle));
    }

    /// Closes what has been idle for too long.
    pub fn sweep(&self) {
        let mut old = Vec::new();
        lock(&self.idle).retain(|_, list| {
            old.extend(list.extract_if(.., |idle| idle.since.elapsed() >= self.keep));
            !list.is_empty()
        });
        old.into_iter().for_each(|idle| self.part(idle));
    }

    /// Closes an idle connection. It has nothing to send, so its farewell fits into its buffer and never waits.
    fn part(&self, idle: Idle) {
        if !self.farewell.is_empty() && quiet(&idle.stream) {
            // An error says that it is closed already.
            let _ = (&*idle.stream).write(self.farewell);
        }
    }
}

/// Open, with nothing to read.
pub fn quiet(stream: &TcpStream) -> bool {
    let look = || Ok(rustix::net::recv(stream, &mut [0u8; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT)?);
    until_clear(look).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}
