//! Reads and writes with absolute deadlines, and the connections of one frontend's fetches: those in use, which can be
//! cancelled, and idle ones, on which no request was written yet.

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

/// How long connecting is retried after faults of this machine ([`Fault::Local`]).
const LOCAL_FAULT_CONNECT_TIME: Duration = Duration::from_millis(100);
/// Delay before a call is repeated after such a fault.
const LOCAL_FAULT_RETRY_DELAY: Duration = Duration::from_millis(2);
/// How often a read or write is repeated after such faults.
const MAX_LOCAL_FAULT_RETRIES: u32 = 50;

/// The time left until a deadline; an error once it has passed.
fn time_left(until: Instant) -> io::Result<Duration> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(ErrorKind::TimedOut.into());
    }
    Ok(left.max(Duration::from_millis(1)))
}

/// A stream socket, TCP or Unix.
pub trait SocketStream {
    /// See [`TcpStream::set_read_timeout`].
    fn set_read_timeout(&self, timeout: Option<Duration>) -> io::Result<()>;
    /// See [`TcpStream::set_write_timeout`].
    fn set_write_timeout(&self, timeout: Option<Duration>) -> io::Result<()>;
    /// See [`Read::read`].
    fn recv(&self, into: &mut [u8]) -> io::Result<usize>;
    /// See [`Write::write`].
    fn send(&self, bytes: &[u8]) -> io::Result<usize>;
}

macro_rules! impl_socket_stream {
    ($($kind:ty),*) => {$(
        impl SocketStream for $kind {
            fn set_read_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
                <$kind>::set_read_timeout(self, timeout)
            }
            fn set_write_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
                <$kind>::set_write_timeout(self, timeout)
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

impl_socket_stream!(TcpStream, UnixStream);

impl<S: SocketStream> SocketStream for Arc<S> {
    fn set_read_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        (**self).set_read_timeout(timeout)
    }
    fn set_write_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        (**self).set_write_timeout(timeout)
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
    let stream = connect_with(until, |left| TcpStream::connect_timeout(&addr, left))?;
    // Without it the kernel may delay small writes; that is no reason to give up the connection.
    let _ = stream.set_nodelay(true);
    Ok(stream)
}

/// Connects by `dial`, which is given the time that is left. Faults of this machine are retried for a moment, but not a lack of
/// descriptors: that one ends only when some other connection is closed, which is up to the caller.
pub fn connect_with<T>(until: Instant, mut dial: impl FnMut(Duration) -> io::Result<T>) -> io::Result<T> {
    let retry_until = until.min(Instant::now() + LOCAL_FAULT_CONNECT_TIME);
    loop {
        match dial(time_left(until)?) {
            Err(e)
                if matches!(fault_of(&e), Fault::Interrupted | Fault::Local)
                    && Instant::now() < retry_until =>
            {
                thread::sleep(LOCAL_FAULT_RETRY_DELAY);
            }
            other => return other,
        }
    }
}

/// Repeats a call that was interrupted, without limit, and one that failed by a fault of this machine, for a limited number of
/// times.
fn retry_local_faults<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut retries_left = MAX_LOCAL_FAULT_RETRIES;
    loop {
        match call() {
            Err(e) if fault_of(&e) == Fault::Interrupted => {}
            Err(e) if fault_of(&e) == Fault::Local && retries_left > 0 => {
                retries_left -= 1;
                thread::sleep(LOCAL_FAULT_RETRY_DELAY);
            }
            other => return other,
        }
    }
}

/// Reads some bytes before the deadline. Returns 0 at the end of the stream.
pub fn read<S: SocketStream>(stream: &S, into: &mut [u8], until: Instant) -> io::Result<usize> {
    retry_local_faults(|| {
        stream.set_read_timeout(Some(time_left(until)?))?;
        stream.recv(into)
    })
}

/// Reads some bytes before the deadline and leaves them in the socket. Returns 0 at the end of the stream. Input that is already
/// there is returned even after the deadline: a process that was stopped past the deadline resumes with an interrupted call, and
/// input that had arrived in time would otherwise be missed.
pub fn peek(stream: &TcpStream, into: &mut [u8], until: Instant) -> io::Result<usize> {
    retry_local_faults(|| {
        let Ok(left) = time_left(until) else {
            let (_, count) = rustix::net::recv(stream, &mut *into, RecvFlags::PEEK | RecvFlags::DONTWAIT)?;
            return Ok(count);
        };
        stream.set_read_timeout(Some(left))?;
        stream.peek(into)
    })
}

/// Copies input that has arrived, without waiting and without consuming it. Returns the number of bytes; 0 also for an error.
pub fn peek_now(stream: &TcpStream, into: &mut [u8]) -> usize {
    let peek = || Ok(rustix::net::recv(stream, &mut *into, RecvFlags::PEEK | RecvFlags::DONTWAIT)?);
    retry_local_faults(peek).map_or(0, |(_, count)| count)
}

/// Writes all bytes before the deadline.
pub fn write_all<S: SocketStream>(stream: &S, mut bytes: &[u8], until: Instant) -> io::Result<()> {
    while !bytes.is_empty() {
        let sent = retry_local_faults(|| {
            stream.set_write_timeout(Some(time_left(until)?))?;
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

struct IdleConnection {
    stream: Arc<TcpStream>,
    /// A value that the frontend stores with the connection.
    tag: u32,
    since: Instant,
}

/// Why an idle connection is closed. The variant names are written to logs.
#[derive(Debug)]
enum IdleCloseReason {
    IdleTimeout,
    ClosedByEndpoint,
    /// The endpoint has sent bytes that belong to no call.
    UnsolicitedInput,
}

enum FetchState {
    /// Ordered, without a connection yet.
    Ordered,
    /// The connection, how many fetches share it, and the destination once the first byte of the request may be written: from
    /// then on a response may have arrived.
    Connected(Arc<TcpStream>, Arc<AtomicUsize>, Option<u16>),
    Cancelled,
}

/// The connections of one frontend's fetches.
pub struct FetchConnections {
    /// Sent on an idle connection before it is closed.
    closing_command: &'static [u8],
    idle_timeout: Duration,
    max_idle: usize,
    /// By backend, not by address alone: a new backend may listen at the address of one that is gone, and a connection to the
    /// old one is dead or leads to the wrong backend.
    idle: Mutex<HashMap<Arc<Backend>, Vec<IdleConnection>>>,
    fetches: Mutex<HashMap<(u64, u8), FetchState>>,
}

impl FetchConnections {
    /// Keeps at most `max_idle` idle connections, each for `idle_timeout`, and sends `closing_command` before it closes one.
    pub fn new(idle_timeout: Duration, max_idle: usize, closing_command: &'static [u8]) -> FetchConnections {
        FetchConnections {
            closing_command,
            idle_timeout,
            max_idle,
            idle: Mutex::default(),
            fetches: Mutex::default(),
        }
    }

    /// A fetch is ordered; from now on it can be cancelled.
    pub fn fetch_ordered(&self, msg: u64, attempt: u8) {
        lock(&self.fetches).insert((msg, attempt), FetchState::Ordered);
    }

    /// The fetch has a connection. Returns `false` if it was cancelled meanwhile.
    pub fn fetch_connected(&self, msg: u64, attempt: u8, stream: &Arc<TcpStream>) -> bool {
        self.fetches_connected(&[(msg, attempt)], stream) == [true]
    }

    /// The fetches of a shared call have a connection. Returns for each whether it was not cancelled meanwhile.
    pub fn fetches_connected(&self, fetches: &[(u64, u8)], stream: &Arc<TcpStream>) -> Vec<bool> {
        let sharing = Arc::new(AtomicUsize::new(0));
        let mut all = lock(&self.fetches);
        let mut connect = |fetch: &(u64, u8)| match all.get_mut(fetch) {
            Some(FetchState::Cancelled) | None => false,
            Some(state) => {
                sharing.fetch_add(1, Ordering::SeqCst);
                *state = FetchState::Connected(stream.clone(), sharing.clone(), None);
                true
            }
        };
        fetches.iter().map(&mut connect).collect()
    }

    /// The request is about to be written. This is noted before the write: the thread that writes may be suspended right after
    /// it, and the response that arrives meanwhile has to be found by other threads.
    pub fn request_starts(&self, msg: u64, attempt: u8, dest: u16) {
        if let Some(FetchState::Connected(_, _, to)) = lock(&self.fetches).get_mut(&(msg, attempt)) {
            *to = Some(dest);
        }
    }

    /// The connections on which a destination has sent something that is not read yet.
    pub fn with_unread_input(&self, dest: u16) -> Vec<Arc<TcpStream>> {
        let of = |state: &FetchState| match state {
            FetchState::Connected(stream, _, Some(to)) if *to == dest => Some(stream.clone()),
            _ => None,
        };
        let mut streams: Vec<Arc<TcpStream>> = lock(&self.fetches).values().filter_map(of).collect();
        let mut fds: Vec<PollFd> = streams.iter().map(|s| PollFd::new(s, PollFlags::IN)).collect();
        if fds.is_empty() {
            return Vec::new();
        }
        // The poll is repeated if it is interrupted: taken for one that found nothing, it would let a call begin during a
        // Retry-After time that has already arrived.
        let ready = retry_local_faults(|| Ok(poll(&mut fds, Some(&Timespec::default()))?));
        if !ready.is_ok_and(|ready| ready > 0) {
            return Vec::new();
        }
        let ready: Vec<bool> = fds.iter().map(|fd| !fd.revents().is_empty()).collect();
        let mut ready = ready.into_iter();
        streams.retain(|_| ready.next().unwrap_or_default());
        streams
    }

    /// The fetch has ended. Returns whether it was cancelled.
    pub fn fetch_ended(&self, msg: u64, attempt: u8) -> bool {
        match lock(&self.fetches).remove(&(msg, attempt)) {
            Some(FetchState::Cancelled) => true,
            Some(FetchState::Connected(_, sharing, _)) => {
                sharing.fetch_sub(1, Ordering::SeqCst);
                false
            }
            _ => false,
        }
    }

    /// The number of fetches that are ordered or under way.
    pub fn fetch_count(&self) -> usize {
        lock(&self.fetches).len()
    }

    /// Cancels a fetch. Its connection is closed unless other fetches share it that are not cancelled. Does nothing for a fetch
    /// that has ended.
    pub fn cancel(&self, msg: u64, attempt: u8) {
        if let Some(state) = lock(&self.fetches).get_mut(&(msg, attempt)) {
            if let FetchState::Connected(stream, sharing, _) = std::mem::replace(state, FetchState::Cancelled)
            {
                if sharing.fetch_sub(1, Ordering::SeqCst) == 1 {
                    // An error means that it is closed already.
                    let _ = stream.shutdown(Shutdown::Both);
                }
            }
        }
    }

    /// Takes the newest idle connection that is still usable. An endpoint closes connections that have been idle,
    /// and a request written to such a connection ends with a reset after which it may have run. So a connection is dropped if
    /// its end or unexpected input can be read, or if it has been idle for too long.
    pub fn reuse(&self, backend: &Backend) -> Option<(Arc<TcpStream>, u32)> {
        loop {
            let idle = lock(&self.idle).get_mut(backend)?.pop()?;
            let Some(reason) = self.close_reason(&idle) else {
                return Some((idle.stream, idle.tag));
            };
            tracing::debug!(target: "connections", endpoint = %backend.name, ?reason, "an idle connection is closed");
        }
    }

    /// Why an idle connection can't be used any more, if it can't.
    fn close_reason(&self, idle: &IdleConnection) -> Option<IdleCloseReason> {
        if idle.since.elapsed() >= self.idle_timeout {
            return Some(IdleCloseReason::IdleTimeout);
        }
        if is_idle(&idle.stream) {
            return None;
        }
        Some(match peek_now(&idle.stream, &mut [0]) {
            0 => IdleCloseReason::ClosedByEndpoint,
            _ => IdleCloseReason::UnsolicitedInput,
        })
    }

    /// Keeps a connection on which no request was written, and closes the one that has been idle longest if there are too many.
    /// One that carried a request must not be kept: responses name no request, so a second copy of its response would be taken
    /// for the response to the next request.
    pub fn keep(&self, backend: &Arc<Backend>, stream: Arc<TcpStream>, tag: u32) {
        let mut idle = lock(&self.idle);
        idle.entry(backend.clone()).or_default().push(IdleConnection { stream, tag, since: Instant::now() });
        if idle.values().map(Vec::len).sum::<usize>() > self.max_idle {
            let oldest = idle.iter().filter_map(|(b, list)| list.first().map(|i| (i.since, b.clone())));
            let oldest = oldest.min_by_key(|(since, _)| *since);
            if let Some(list) = oldest.and_then(|(_, b)| idle.get_mut(&b)) {
                self.close(list.remove(0));
            }
        }
    }

    /// Closes the idle connections to one backend.
    pub fn close_idle(&self, backend: &Backend) {
        lock(&self.idle).remove(backend).into_iter().flatten().for_each(|idle| self.close(idle));
    }

    /// Closes the connections that have been idle for too long.
    pub fn close_expired(&self) {
        let mut expired = Vec::new();
        lock(&self.idle).retain(|_, list| {
            expired.extend(list.extract_if(.., |idle| idle.since.elapsed() >= self.idle_timeout));
            !list.is_empty()
        });
        expired.into_iter().for_each(|idle| self.close(idle));
    }

    /// Closes an idle connection. It has no pending output, so the closing command fits into the send buffer and never blocks.
    fn close(&self, idle: IdleConnection) {
        if !self.closing_command.is_empty() && is_idle(&idle.stream) {
            // An error means that it is closed already.
            let _ = (&*idle.stream).write(self.closing_command);
        }
    }
}

/// Whether a connection is open and has nothing to read.
pub fn is_idle(stream: &TcpStream) -> bool {
    let peek = || Ok(rustix::net::recv(stream, &mut [0u8; 1], RecvFlags::PEEK | RecvFlags::DONTWAIT)?);
    retry_local_faults(peek).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}
