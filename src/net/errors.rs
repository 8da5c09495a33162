//! What the error of a system call says, in one place: whether it was interrupted, whether this machine lacks something just now,
//! whether a deadline passed, or whether the other side is gone. `docs/system-calls.md` has the table of calls, errors and decisions.

use rustix::io::Errno;
use std::io::{self, ErrorKind};

/// What an error of a connection says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call is made again.
    Interrupted,
    /// This process, or the machine, has no descriptor left.
    NoDescriptor,
    /// This machine lacks something else just now: memory, buffers, ports, a way out. It says nothing of the other side.
    Local,
    /// Nothing happened until the deadline, or nothing is there yet.
    TimedOut,
    /// The connection, or the machine at its other end.
    Remote,
}

/// What an error of `accept` asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFault {
    /// Nobody waits any more.
    Nobody,
    /// It concerns one connection that is gone: the next one may come.
    Next,
    /// This process has no descriptor left: one of its own connections has to make room.
    NoDescriptor,
    /// The machine lacks something just now. Connections of this process that are closed for it would change nothing.
    Later,
}

/// Errors of the machine that the process runs on. `EACCES` and `EPERM` are a rule of its firewall.
const LOCAL: [Errno; 10] = [
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::NETUNREACH,
    Errno::NETDOWN,
    Errno::ACCESS,
    Errno::PERM,
    Errno::NFILE,
    Errno::NOSR,
];

/// Errors by which `accept` tells that the connection it took from the queue is gone. Linux passes network errors of the new
/// connection on in this way.
const OF_ONE_CONNECTION: [Errno; 12] = [
    Errno::INTR,
    Errno::CONNABORTED,
    Errno::PROTO,
    Errno::PERM,
    Errno::NETDOWN,
    Errno::NOPROTOOPT,
    Errno::HOSTDOWN,
    Errno::NONET,
    Errno::HOSTUNREACH,
    Errno::OPNOTSUPP,
    Errno::NETUNREACH,
    Errno::TIMEDOUT,
];

fn is_one_of(e: &io::Error, all: &[Errno]) -> bool {
    e.raw_os_error().is_some_and(|n| all.iter().any(|errno| errno.raw_os_error() == n))
}

/// What an error of connecting, reading or writing says. Danger: `ETIMEDOUT` from the system is a connection that broke, not a
/// deadline of ours that passed, though both are of the same kind.
pub fn fault_of(e: &io::Error) -> Fault {
    match e.kind() {
        ErrorKind::Interrupted => Fault::Interrupted,
        ErrorKind::WouldBlock => Fault::TimedOut,
        ErrorKind::TimedOut if e.raw_os_error().is_none() => Fault::TimedOut,
        _ if no_descriptor(e) => Fault::NoDescriptor,
        _ if is_one_of(e, &LOCAL) => Fault::Local,
        _ => Fault::Remote,
    }
}

/// What an error of `accept` asks for.
pub fn accept_fault(e: &io::Error) -> AcceptFault {
    match e.kind() {
        ErrorKind::WouldBlock => AcceptFault::Nobody,
        _ if is_one_of(e, &OF_ONE_CONNECTION) => AcceptFault::Next,
        _ if is_one_of(e, &[Errno::MFILE]) => AcceptFault::NoDescriptor,
        _ => AcceptFault::Later,
    }
}

/// True for an error that says that a deadline has passed.
pub fn timed_out(e: &io::Error) -> bool {
    fault_of(e) == Fault::TimedOut
}

/// True for an error that says that this process, or the machine, has no descriptor left.
pub fn no_descriptor(e: &io::Error) -> bool {
    is_one_of(e, &[Errno::MFILE, Errno::NFILE])
}

/// True for an error that says nothing of the other side.
pub fn is_local(e: &io::Error) -> bool {
    matches!(fault_of(e), Fault::Interrupted | Fault::NoDescriptor | Fault::Local)
}
