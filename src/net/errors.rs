//! Classifies the errors of system calls on sockets: whether the call was interrupted, whether this machine lacks a resource,
//! whether a deadline passed, or whether the other side failed. `docs/system-calls.md` has the table of calls, errors and
//! decisions.

use rustix::io::Errno;
use std::io::{self, ErrorKind};

/// The class of an error on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A signal interrupted the call, which is to be repeated.
    Interrupted,
    /// This process, or the machine, has no free descriptor.
    NoDescriptor,
    /// This machine lacks another resource at present: memory, buffers, ports, a route. It says nothing about the other side.
    Local,
    /// Nothing happened until the deadline, or a non-blocking call would have to wait.
    TimedOut,
    /// The connection or the machine at its other end failed.
    Remote,
}

/// The class of an error of `accept`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptFault {
    /// No connection is waiting.
    QueueEmpty,
    /// The connection that was to be accepted is gone; the next one can be accepted.
    ConnectionLost,
    /// This process has no free descriptor: it has to close one of its own connections.
    NoDescriptor,
    /// The machine lacks a resource at present. Closing connections of this process would not help.
    Local,
}

/// Errors of the machine that the process runs on. `EACCES` and `EPERM` come from its firewall rules.
const LOCAL_ERRORS: [Errno; 10] = [
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

/// Errors by which `accept` reports that the connection it took from the queue is gone. Linux reports pending network errors of
/// the new connection in this way.
const CONNECTION_LOST_ERRORS: [Errno; 12] = [
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

fn is_one_of(e: &io::Error, errnos: &[Errno]) -> bool {
    e.raw_os_error().is_some_and(|number| errnos.iter().any(|errno| errno.raw_os_error() == number))
}

/// Classifies an error of connecting, reading or writing. `ETIMEDOUT` from the kernel means that the connection broke, not that
/// one of our deadlines passed, although both errors have the same [`ErrorKind`].
pub fn fault_of(e: &io::Error) -> Fault {
    match e.kind() {
        ErrorKind::Interrupted => Fault::Interrupted,
        ErrorKind::WouldBlock => Fault::TimedOut,
        ErrorKind::TimedOut if e.raw_os_error().is_none() => Fault::TimedOut,
        _ if is_out_of_descriptors(e) => Fault::NoDescriptor,
        _ if is_one_of(e, &LOCAL_ERRORS) => Fault::Local,
        _ => Fault::Remote,
    }
}

/// Classifies an error of `accept`.
pub fn accept_fault(e: &io::Error) -> AcceptFault {
    match e.kind() {
        ErrorKind::WouldBlock => AcceptFault::QueueEmpty,
        _ if is_one_of(e, &CONNECTION_LOST_ERRORS) => AcceptFault::ConnectionLost,
        _ if is_one_of(e, &[Errno::MFILE]) => AcceptFault::NoDescriptor,
        _ => AcceptFault::Local,
    }
}

/// Whether the error means that a deadline has passed.
pub fn is_timeout(e: &io::Error) -> bool {
    fault_of(e) == Fault::TimedOut
}

/// Whether the error means that this process, or the machine, has no free descriptor.
pub fn is_out_of_descriptors(e: &io::Error) -> bool {
    is_one_of(e, &[Errno::MFILE, Errno::NFILE])
}

/// Whether the error says nothing about the other side.
pub fn is_local(e: &io::Error) -> bool {
    matches!(fault_of(e), Fault::Interrupted | Fault::NoDescriptor | Fault::Local)
}
