//! System calls that fail in the ways that Linux documents, by scripts: which errors say something of the other side, which are
//! waited for, and that interrupted, short and momentarily refused calls change nothing of what goes over a connection.

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

#[test]
fn each_error_of_a_connection_has_one_meaning() {
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
    assert!(is_timeout(&ErrorKind::TimedOut.into()), "a deadline of ours");
    assert!(!is_timeout(&error(Errno::TIMEDOUT)), "a connection that broke");
}

#[test]
fn accept_sheds_nobody_for_what_its_process_has_enough_of() {
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

/// Dials by a script; the last step is repeated.
fn dial(script: &[Result<(), Errno>], until: Instant) -> (io::Result<()>, usize) {
    let mut dials = 0;
    let connected = conn::connect_with(until, |left| {
        assert!(left > Duration::ZERO);
        let step = script[dials.min(script.len() - 1)];
        dials += 1;
        step.map_err(error)
    });
    (connected, dials)
}

#[test]
fn a_connection_is_tried_again_for_what_this_machine_lacks_and_for_nothing_else() {
    let long = || Instant::now() + Duration::from_secs(60);
    let lacks =
        [Err(Errno::ADDRNOTAVAIL), Err(Errno::INTR), Err(Errno::NETUNREACH), Err(Errno::NOBUFS), Ok(())];
    let (connected, dials) = dial(&lacks, long());
    assert!(connected.is_ok());
    assert_eq!(dials, lacks.len());
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::CONNRESET, Errno::MFILE] {
        let (connected, dials) = dial(&[Err(errno)], long());
        assert_eq!((connected.unwrap_err().raw_os_error(), dials), (Some(errno.raw_os_error()), 1));
    }
    let begun = Instant::now();
    let (connected, dials) = dial(&[Err(Errno::ADDRNOTAVAIL)], long());
    assert!(is_local(&connected.unwrap_err()) && dials > 1, "and it still says nothing of the other side");
    assert!(begun.elapsed() < Duration::from_secs(10), "not until the deadline");
    let (connected, _) = dial(&[Err(Errno::ADDRNOTAVAIL)], Instant::now() + Duration::from_millis(8));
    connected.unwrap_err();
}

/// What one call comes to.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// So many bytes at most.
    Some(usize),
    Fails(Errno),
}

/// A connection that does as a script says; behind its end it does all that is asked.
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

    fn step(&self, most: usize) -> io::Result<usize> {
        match self.steps.borrow_mut().pop_front() {
            Some(Step::Some(n)) => Ok(n.min(most)),
            Some(Step::Fails(errno)) => Err(error(errno)),
            None => Ok(most),
        }
    }
}

impl SocketStream for Scripted {
    fn set_read_timeout(&self, span: Option<Duration>) -> io::Result<()> {
        assert!(span.is_some_and(|span| span > Duration::ZERO));
        Ok(())
    }
    fn set_write_timeout(&self, span: Option<Duration>) -> io::Result<()> {
        self.set_read_timeout(span)
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

const TROUBLE: [Step; 8] = [
    Step::Fails(Errno::INTR),
    Step::Some(1),
    Step::Fails(Errno::NOBUFS),
    Step::Some(3),
    Step::Fails(Errno::INTR),
    Step::Fails(Errno::NOMEM),
    Step::Some(2),
    Step::Fails(Errno::INTR),
];

#[test]
fn short_and_interrupted_calls_change_nothing_of_what_goes_over() {
    let until = Instant::now() + Duration::from_secs(60);
    let text = b"POST /hook HTTP/1.1\r\n\r\n";
    let wire = Scripted::new(&TROUBLE, b"");
    conn::write_all(&wire, text, until).unwrap();
    assert_eq!(*wire.sent.borrow(), text);
    let wire = Scripted::new(&TROUBLE, text);
    let (mut got, mut buf) = (Vec::<u8>::new(), [0; 8]);
    while got.len() < text.len() {
        let n = conn::read(&wire, &mut buf, until).unwrap();
        assert!(n > 0, "an interrupted read is no end");
        got.extend(&buf[..n]);
    }
    assert_eq!(got, text);
}

#[test]
fn a_write_that_fails_is_told_from_one_that_came_too_late() {
    let until = Instant::now() + Duration::from_secs(60);
    for errno in [Errno::TIMEDOUT, Errno::PIPE, Errno::CONNRESET, Errno::HOSTUNREACH] {
        let wire = Scripted::new(&[Step::Some(5), Step::Fails(errno)], b"");
        let e = conn::write_all(&wire, b"a whole request", until).unwrap_err();
        assert_eq!(fault_of(&e), Fault::Remote, "{errno:?}");
        assert!(wire.sent.borrow().len() < b"a whole request".len(), "its last byte was not written");
    }
    let past = Instant::now();
    assert!(is_timeout(&conn::write_all(&Scripted::new(&[], b""), b"late", past).unwrap_err()));
    // What this machine lacks for long ends as its own want, not as the other side's.
    let wire = Scripted::new(&[Step::Fails(Errno::NOBUFS); 500], b"");
    assert!(is_local(&conn::write_all(&wire, b"x", until).unwrap_err()));
}

#[test]
fn reads_that_do_not_wait_say_what_came_of_them() {
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
        let wire = Scripted::new(&[Step::Fails(Errno::INTR), step], b"abcdef");
        assert_eq!(receive(&mut &wire, &mut [0; 16]), received, "{step:?}");
    }
    assert_eq!(receive(&mut &Scripted::new(&[], b""), &mut [0; 16]), Received::EndOfStream);
}

#[test]
fn writes_that_do_not_wait_say_how_far_they_came() {
    let cases = [
        (Step::Fails(Errno::AGAIN), Sent::WouldBlock),
        (Step::Fails(Errno::NOBUFS), Sent::LocalFault),
        (Step::Fails(Errno::NOMEM), Sent::LocalFault),
        (Step::Fails(Errno::PIPE), Sent::Broken),
        (Step::Fails(Errno::TIMEDOUT), Sent::Broken),
        (Step::Some(0), Sent::Broken),
    ];
    for (step, sent) in cases {
        let wire = Scripted::new(&[Step::Some(2), Step::Fails(Errno::INTR), Step::Some(1), step], b"");
        assert_eq!(send(&mut &wire, b"an answer"), (3, sent), "{step:?}");
        assert_eq!(*wire.sent.borrow(), b"an ");
    }
    assert_eq!(send(&mut &Scripted::new(&TROUBLE[..2], b""), b"an answer"), (9, Sent::All));
}
