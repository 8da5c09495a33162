//! Scripted system calls that fail in the ways that Linux documents: which errors say something about the other side, which are
//! retried, and that interrupted, short and temporarily failing calls do not change the bytes that a connection carries.

use indigohold::net::conn::{self, SocketStream};
use indigohold::net::errors::{accept_fault, fault_of, is_local, is_timeout, AcceptFault, Fault};
use indigohold::net::transfer::{receive, send, Received, Sent};
use rustix::io::Errno;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::time::{Duration, Instant};

fn error(errno: Errno) -> io::Error {
    io::Error::from_raw_os_error(errno.raw_os_error())
}

/// Guards against counting a fault of this machine as one of the partner, and the reverse.
#[test]
fn each_error_of_a_connection_has_one_class() {
    let table = [
        (Fault::Interrupted, vec![Errno::INTR]),
        (Fault::NoDescriptor, vec![Errno::MFILE, Errno::NFILE]),
        (
            Fault::Local,
            vec![
                Errno::NOBUFS,
                Errno::NOMEM,
                Errno::ADDRNOTAVAIL,
                Errno::ADDRINUSE,
                Errno::NETUNREACH,
                Errno::NETDOWN,
                Errno::ACCESS,
                Errno::PERM,
            ],
        ),
        (Fault::TimedOut, vec![Errno::AGAIN]),
        (
            Fault::Remote,
            vec![
                Errno::CONNREFUSED,
                Errno::CONNRESET,
                Errno::CONNABORTED,
                Errno::PIPE,
                Errno::TIMEDOUT,
                Errno::HOSTUNREACH,
                Errno::HOSTDOWN,
                Errno::NOTCONN,
                Errno::NETRESET,
            ],
        ),
    ];
    for (fault, errors) in table {
        for errno in errors {
            assert_eq!(fault_of(&error(errno)), fault, "{errno:?}");
            let local = matches!(fault, Fault::Interrupted | Fault::NoDescriptor | Fault::Local);
            assert_eq!(is_local(&error(errno)), local, "{errno:?}");
        }
    }
    assert!(is_timeout(&ErrorKind::TimedOut.into()), "one of our deadlines has passed");
    assert!(!is_timeout(&error(Errno::TIMEDOUT)), "the connection broke");
}

/// Guards against closing client connections for a resource that they do not hold: only a lack of descriptors in this process
/// is a reason.
#[test]
fn accept_asks_for_a_descriptor_only_when_this_process_has_none() {
    let table = [
        (AcceptFault::QueueEmpty, vec![Errno::AGAIN]),
        (AcceptFault::NoDescriptor, vec![Errno::MFILE]),
        (AcceptFault::Local, vec![Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::IO]),
        (
            AcceptFault::ConnectionLost,
            vec![
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
            ],
        ),
    ];
    for (fault, errors) in table {
        for errno in errors {
            assert_eq!(accept_fault(&error(errno)), fault, "{errno:?}");
        }
    }
}

/// Connects by a script, whose last step is repeated. Returns the result and the number of attempts.
fn connect_scripted(script: &[Result<(), Errno>], until: Instant) -> (io::Result<()>, usize) {
    let mut attempts = 0;
    let connected = conn::connect_with(until, |left| {
        assert!(left > Duration::ZERO);
        let step = script[attempts.min(script.len() - 1)];
        attempts += 1;
        step.map_err(error)
    });
    (connected, attempts)
}

/// Guards against giving up a connection at once for a fault of this machine that may pass, and against retrying after an error
/// of the other side or for want of a descriptor.
#[test]
fn connecting_is_retried_after_faults_of_this_machine_only() {
    let far_deadline = || Instant::now() + Duration::from_secs(60);
    let faults =
        [Err(Errno::ADDRNOTAVAIL), Err(Errno::INTR), Err(Errno::NETUNREACH), Err(Errno::NOBUFS), Ok(())];
    let (connected, attempts) = connect_scripted(&faults, far_deadline());
    assert!(connected.is_ok());
    assert_eq!(attempts, faults.len());
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::CONNRESET, Errno::MFILE] {
        let (connected, attempts) = connect_scripted(&[Err(errno)], far_deadline());
        assert_eq!((connected.unwrap_err().raw_os_error(), attempts), (Some(errno.raw_os_error()), 1));
    }
    let started = Instant::now();
    let (connected, attempts) = connect_scripted(&[Err(Errno::ADDRNOTAVAIL)], far_deadline());
    assert!(
        is_local(&connected.unwrap_err()) && attempts > 1,
        "the error still says nothing about the other side"
    );
    assert!(started.elapsed() < Duration::from_secs(10), "retries end before the deadline");
    let (connected, _) =
        connect_scripted(&[Err(Errno::ADDRNOTAVAIL)], Instant::now() + Duration::from_millis(8));
    connected.unwrap_err();
}

/// The result of one call.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// At most this number of bytes are transferred.
    Some(usize),
    Fails(Errno),
}

/// A connection whose calls follow a script; after its end they transfer all that is asked.
struct Scripted {
    steps: RefCell<VecDeque<Step>>,
    incoming: RefCell<VecDeque<u8>>,
    sent: RefCell<Vec<u8>>,
}

impl Scripted {
    fn new(steps: &[Step], incoming: &[u8]) -> Scripted {
        Scripted {
            steps: RefCell::new(steps.iter().copied().collect()),
            incoming: RefCell::new(incoming.iter().copied().collect()),
            sent: RefCell::default(),
        }
    }

    fn step(&self, max: usize) -> io::Result<usize> {
        match self.steps.borrow_mut().pop_front() {
            Some(Step::Some(n)) => Ok(n.min(max)),
            Some(Step::Fails(errno)) => Err(error(errno)),
            None => Ok(max),
        }
    }
}

impl SocketStream for Scripted {
    fn set_read_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        assert!(timeout.is_some_and(|timeout| timeout > Duration::ZERO));
        Ok(())
    }
    fn set_write_timeout(&self, timeout: Option<Duration>) -> io::Result<()> {
        self.set_read_timeout(timeout)
    }
    fn recv(&self, into: &mut [u8]) -> io::Result<usize> {
        let n = self.step(into.len())?.min(self.incoming.borrow().len());
        for byte in &mut into[..n] {
            *byte = self.incoming.borrow_mut().pop_front().unwrap();
        }
        Ok(n)
    }
    fn send(&self, bytes: &[u8]) -> io::Result<usize> {
        let n = self.step(bytes.len())?;
        self.sent.borrow_mut().extend(&bytes[..n]);
        Ok(n)
    }
}

impl Read for &Scripted {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        self.recv(into)
    }
}

impl Write for &Scripted {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        SocketStream::send(*self, bytes)
    }
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const SHORT_AND_FAILING_CALLS: [Step; 8] = [
    Step::Fails(Errno::INTR),
    Step::Some(1),
    Step::Fails(Errno::NOBUFS),
    Step::Some(3),
    Step::Fails(Errno::INTR),
    Step::Fails(Errno::NOMEM),
    Step::Some(2),
    Step::Fails(Errno::INTR),
];

/// Guards against bytes that are lost or repeated after a short, interrupted or temporarily failing call.
#[test]
fn short_and_interrupted_calls_do_not_change_the_bytes_transferred() {
    let until = Instant::now() + Duration::from_secs(60);
    let text = b"POST /hook HTTP/1.1\r\n\r\n";
    let stream = Scripted::new(&SHORT_AND_FAILING_CALLS, b"");
    conn::write_all(&stream, text, until).unwrap();
    assert_eq!(*stream.sent.borrow(), text);
    let stream = Scripted::new(&SHORT_AND_FAILING_CALLS, text);
    let (mut received, mut buf) = (Vec::<u8>::new(), [0; 8]);
    while received.len() < text.len() {
        let n = conn::read(&stream, &mut buf, until).unwrap();
        assert!(n > 0, "an interrupted read is not the end of the stream");
        received.extend(&buf[..n]);
    }
    assert_eq!(received, text);
}

/// Guards against taking a broken connection, a passed deadline and a fault of this machine for one another.
#[test]
fn a_failed_write_differs_from_one_past_its_deadline() {
    let until = Instant::now() + Duration::from_secs(60);
    for errno in [Errno::TIMEDOUT, Errno::PIPE, Errno::CONNRESET, Errno::HOSTUNREACH] {
        let stream = Scripted::new(&[Step::Some(5), Step::Fails(errno)], b"");
        let e = conn::write_all(&stream, b"a whole request", until).unwrap_err();
        assert_eq!(fault_of(&e), Fault::Remote, "{errno:?}");
        assert!(stream.sent.borrow().len() < b"a whole request".len(), "the last byte was not written");
    }
    let passed_deadline = Instant::now();
    assert!(is_timeout(&conn::write_all(&Scripted::new(&[], b""), b"late", passed_deadline).unwrap_err()));
    // A lasting fault of this machine is reported as such, not as a fault of the other side.
    let stream = Scripted::new(&[Step::Fails(Errno::NOBUFS); 500], b"");
    assert!(is_local(&conn::write_all(&stream, b"x", until).unwrap_err()));
}

/// Guards against a non-blocking read that takes a temporary fault for the end of the connection.
#[test]
fn non_blocking_reads_report_their_result() {
    let cases = [
        (Step::Some(3), Received::Bytes(3)),
        (Step::Fails(Errno::AGAIN), Received::WouldBlock),
        (Step::Fails(Errno::NOMEM), Received::LocalFault),
        (Step::Fails(Errno::NOBUFS), Received::LocalFault),
        (Step::Fails(Errno::CONNRESET), Received::Broken),
        (Step::Fails(Errno::TIMEDOUT), Received::Broken),
        (Step::Fails(Errno::HOSTUNREACH), Received::Broken),
    ];
    for (step, received) in cases {
        let stream = Scripted::new(&[Step::Fails(Errno::INTR), step], b"abcdef");
        assert_eq!(receive(&mut &stream, &mut [0; 16]), received, "{step:?}");
    }
    assert_eq!(receive(&mut &Scripted::new(&[], b""), &mut [0; 16]), Received::EndOfStream);
}

/// Guards against output that is lost or repeated after a partial non-blocking write.
#[test]
fn non_blocking_writes_report_how_much_was_written() {
    let cases = [
        (Step::Fails(Errno::AGAIN), Sent::WouldBlock),
        (Step::Fails(Errno::NOBUFS), Sent::LocalFault),
        (Step::Fails(Errno::NOMEM), Sent::LocalFault),
        (Step::Fails(Errno::PIPE), Sent::Broken),
        (Step::Fails(Errno::TIMEDOUT), Sent::Broken),
        (Step::Some(0), Sent::Broken),
    ];
    for (step, sent) in cases {
        let stream = Scripted::new(&[Step::Some(2), Step::Fails(Errno::INTR), Step::Some(1), step], b"");
        assert_eq!(send(&mut &stream, b"an answer"), (3, sent), "{step:?}");
        assert_eq!(*stream.sent.borrow(), b"an ");
    }
    assert_eq!(send(&mut &Scripted::new(&SHORT_AND_FAILING_CALLS[..2], b""), b"an answer"), (9, Sent::All));
}
