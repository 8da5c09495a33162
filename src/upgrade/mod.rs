//! Upgrade to a new version under load: the serving process hands over to a process that was started beside it.
//! [`phase`] has the state machines of both processes, [`frame`] the messages between them; this module does the I/O
//! of both sides. The design is described in `docs/design/upgrade.md`.

pub mod frame;
pub mod inherited_socket;
pub mod phase;

use crate::admin::overrides::EndpointOverrides;
use crate::api::Micros;
use crate::core::handover::{CompletedCall, HandoverState};
use crate::core::{Clock, Courier};
use crate::net::acceptor::{AcceptorHandle, ExportedConnection};
use crate::net::spawn;
use crate::store::owner::{self, ClaimError, Owner};
use crossbeam_channel::{bounded, unbounded, Receiver};
use frame::{receive, send, Frame, MAX_FRAME_FDS};
use phase::{NewAction, NewEvent, NewPhase, OldAction, OldEvent, OldPhase, VERSION};
use rustix::event::{poll, PollFd, PollFlags};
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The socket's name in the state folder.
const SOCKET_NAME: &str = "upgrade.sock";
/// How long the old process waits for its connection acceptor to finish its current round.
const QUIESCE_TIMEOUT: Micros = Micros(500_000);
/// How long the old process waits until the new one has the complete state, and for the write of one call's end.
/// Clients wait 400 ms for an answer, so a new process that hangs must not block them for longer than needed.
const READY_TIMEOUT: Micros = Micros(700_000);
/// How long the new process tries to claim the folder and repeats its request.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(4_500);
/// How long the new process waits to send or receive one frame.
const FRAME_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The delay before a request is repeated, and before the old process accepts again after an error.
const RETRY_INTERVAL: Duration = Duration::from_millis(30);
/// How long the old process waits for the request on a new connection, and for the write of a refusal.
const REQUEST_TIMEOUT: Micros = Micros(500_000);

/// A path below a directory that is addressed through a descriptor of the directory. A socket's path is limited to
/// 107 bytes, and state folders may have longer paths.
struct ShortPath {
    _dir: File,
    path: PathBuf,
}

fn short_path(dir: &Path, name: &str) -> io::Result<ShortPath> {
    let dir = File::open(dir)?;
    let path = PathBuf::from(format!("/proc/self/fd/{}", dir.as_raw_fd())).join(name);
    Ok(ShortPath { _dir: dir, path })
}

// ---- The old process ----

/// The serving process, with what it needs for a handover.
pub struct ServingProcess {
    /// The core.
    pub courier: Arc<Courier>,
    /// The handle of the connection acceptor, which passes the client connections on.
    pub acceptor: AcceptorHandle,
    /// Whether this process accepts clients.
    pub serving: Arc<AtomicBool>,
    /// Whether this process has sent the ends of all calls that were in flight at the handover to the new process. It
    /// must not exit before that, as the outcomes that only it knows would be lost.
    pub ends_forwarded: Arc<AtomicBool>,
    /// The lock on the state folder.
    pub owner: Arc<Mutex<Option<Owner>>>,
    /// The administrative overrides, which only the new process changes after the handover.
    pub overrides: Arc<EndpointOverrides>,
    /// The reason for which every handover is refused, if there is one.
    pub refusal_reason: Option<&'static str>,
}

/// Starts a thread that listens for a process that wants to take over. If that fails, this process can't hand over,
/// which is logged, and everything else works as usual.
pub fn listen_for_successor(dir: &Path, this: ServingProcess) {
    let listener = short_path(dir, SOCKET_NAME).and_then(|socket| {
        // Only the owner of the folder gets here, so an existing socket file is a leftover of an earlier process.
        match fs::remove_file(&socket.path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        UnixListener::bind(&socket.path)
    });
    let started = listener.and_then(|listener| {
        spawn("upgrade", move || {
            let mut phase = OldPhase::Serving;
            while phase != OldPhase::HandedOver {
                match listener.accept() {
                    Ok((stream, _)) => phase = this.handle_request(stream),
                    Err(_) => std::thread::sleep(RETRY_INTERVAL),
                }
            }
        })
    });
    if let Err(e) = started {
        tracing::info!(target: "upgrade", "no new version can take over from this process: {e}");
    }
}

impl ServingProcess {
    fn deadline_after(&self, timeout: Micros) -> Instant {
        let clock = &self.courier.clock;
        clock.instant(clock.now() + timeout)
    }

    /// Handles the request of one process; returns the phase of this process afterwards.
    fn handle_request(&self, stream: UnixStream) -> OldPhase {
        let mut phase = OldPhase::Serving;
        let (version, process) = match receive(&stream, self.deadline_after(REQUEST_TIMEOUT)) {
            Ok((Frame::Request { version, process }, _)) => (version, process),
            _ => return phase,
        };
        tracing::info!(target: "upgrade", process, version, "a new process asks to take over");
        if let (OldAction::Quiesce, None) = (phase.handle(OldEvent::Requested(version)), self.refusal_reason)
        {
            return self.hand_over(phase, stream);
        }
        let reason =
            self.refusal_reason.map_or_else(|| format!("this one speaks version {VERSION}"), str::to_owned);
        tracing::warn!(target: "upgrade", process, "it is refused: {reason}");
        // An error means that the new process is gone.
        let _ = send(&stream, &Frame::Refused(reason), &[], self.deadline_after(REQUEST_TIMEOUT));
        OldPhase::Serving
    }

    /// Carries out a handover that was requested on `stream`; returns the phase of this process if the handover
    /// fails, and does not return if it succeeds.
    fn hand_over(&self, phase: OldPhase, stream: UnixStream) -> OldPhase {
        let (courier, owner) = (self.courier.clone(), self.owner.clone());
        let (serving, overrides) = (self.serving.clone(), self.overrides.clone());
        let stream = Arc::new(stream);
        let (result_sender, result) = bounded(1);
        let acceptor_stream = stream.clone();
        // Set by whichever comes first: the acceptor, which then passes the connections, or the timeout. An acceptor
        // that gets there after the timeout must not pass anything.
        let claimed = Arc::new(AtomicBool::new(false));
        let claimed_by_acceptor = claimed.clone();
        let hand_over = move |listener: BorrowedFd, connections: &[(BorrowedFd, ExportedConnection)]| {
            if claimed_by_acceptor.swap(true, Ordering::SeqCst) {
                return false;
            }
            let mut phase = phase;
            // The new process reads the journal from disk: records that are only in memory would be lost.
            if !courier.journal_written() {
                phase.handle(OldEvent::Quiesced(false));
                let refusal = Frame::Refused("its journal can't be written".into());
                // An error means that the new process is gone.
                let _ = send(
                    &acceptor_stream,
                    &refusal,
                    &[],
                    courier.clock.instant(courier.clock.now() + REQUEST_TIMEOUT),
                );
                return result_sender.send((phase, None)).is_err();
            }
            let mut state = courier.freeze();
            state.answering = connections
                .iter()
                .flat_map(|(_, exported)| exported.unconfirmed_messages.iter().copied())
                .collect();
            phase.handle(OldEvent::Quiesced(true));
            let deadline = courier.clock.instant(courier.clock.now() + READY_TIMEOUT);
            let event = match send_state(&acceptor_stream, state, listener, connections, deadline) {
                Ok(Frame::Ready) => OldEvent::SuccessorReady,
                _ => OldEvent::ChannelFailed,
            };
            if phase.handle(event) != OldAction::ReleaseOwnership {
                courier.thaw();
                return result_sender.send((phase, None)).is_err();
            }
            let (end_sender, ends) = unbounded();
            serving.store(false, Ordering::SeqCst);
            overrides.close();
            courier.hand_over(end_sender);
            drop(owner.lock().unwrap_or_else(PoisonError::into_inner).take());
            // An error means that the new process is gone; the folder is free for the next one.
            let _ = send(&acceptor_stream, &Frame::OwnershipReleased, &[], deadline);
            drop(result_sender.send((phase, Some(ends))));
            true
        };
        let requested = self.acceptor.hand_over(Box::new(hand_over));
        let (phase, ends) = match requested
            .map(|()| result.recv_timeout(Duration::from_micros(QUIESCE_TIMEOUT.0)))
        {
            Ok(Ok(done)) => done,
            _ if !claimed.swap(true, Ordering::SeqCst) => {
                tracing::warn!(target: "upgrade", "the client connections could not be paused in time; this process keeps serving");
                let _ = send(
                    &stream,
                    &Frame::Refused("it could not be brought to rest".into()),
                    &[],
                    self.deadline_after(REQUEST_TIMEOUT),
                );
                return OldPhase::Serving;
            }
            // The acceptor has begun to pass the connections, so its result follows.
            _ => match result.recv() {
                Ok(done) => done,
                Err(_) => return OldPhase::Serving,
            },
        };
        let Some(ends) = ends else {
            tracing::warn!(target: "upgrade", "the new process did not take over; this one serves on");
            return phase;
        };
        tracing::info!(target: "upgrade", "handed over");
        exit_with_successor(&stream);
        forward_call_ends(&self.courier, &stream, &ends);
        self.ends_forwarded.store(true, Ordering::SeqCst);
        // The stream stays open as long as this process runs: the new one takes its end for the exit of this process.
        loop {
            std::thread::park();
        }
    }
}

/// Sends the complete state; returns the answer of the new process.
fn send_state(
    stream: &UnixStream, state: HandoverState, listener: BorrowedFd,
    connections: &[(BorrowedFd, ExportedConnection)], deadline: Instant,
) -> io::Result<Frame> {
    send(stream, &Frame::CoreState(Box::new(state)), &[listener], deadline)?;
    for chunk in connections.chunks(MAX_FRAME_FDS) {
        let (fds, exported): (Vec<BorrowedFd>, Vec<ExportedConnection>) = chunk.iter().cloned().unzip();
        send(stream, &Frame::Connections(exported), &fds, deadline)?;
    }
    send(stream, &Frame::StateComplete, &[], deadline)?;
    receive(stream, deadline).map(|(frame, _)| frame)
}

/// Ends this process as soon as the one that took over is gone: the next one may send the messages of the calls that are still in
/// flight here again, and no message may have two calls in flight.
fn exit_with_successor(stream: &Arc<UnixStream>) {
    let stream = stream.clone();
    let watch = spawn("upgrade-watch", move || {
        let mut fds = [PollFd::new(&*stream, PollFlags::RDHUP)];
        // The new process sends nothing from here on.
        while !matches!(poll(&mut fds, None), Ok(ready) if ready > 0) {}
        tracing::warn!(target: "upgrade", "the process that took over has ended, and so does this one");
        std::process::exit(0);
    });
    if let Err(e) = watch {
        tracing::error!(target: "upgrade", "the process that took over can't be watched: {e}");
    }
}

/// Sends the ends of the calls in flight to the new process, until the last call has ended.
fn forward_call_ends(courier: &Courier, stream: &UnixStream, ends: &Receiver<CompletedCall>) {
    for completed in ends {
        let deadline = courier.clock.instant(courier.clock.now() + READY_TIMEOUT);
        if send(stream, &Frame::CallCompleted(completed), &[], deadline).is_err() {
            // The new process is gone, or slow; the journal has the calls that may have run.
            return;
        }
    }
}

// ---- The new process ----

/// What the new process received from the old one.
pub struct Inherited {
    /// The state of the core.
    pub state: HandoverState,
    /// The listener for clients.
    pub listener: Option<TcpListener>,
    /// The client connections, each with its descriptor.
    pub connections: Vec<(OwnedFd, ExportedConnection)>,
    /// The stream on which the old process reports the ends of its calls in flight.
    pub call_ends: UnixStream,
}

/// Claims a folder. If another process owns it and `can_request` is set, requests a handover from that process.
pub fn claim_folder(
    dir: &Path, clock: &Clock, can_request: bool,
) -> Result<(Owner, Option<Inherited>), String> {
    let give_up_at = Instant::now() + CLAIM_TIMEOUT;
    let mut phase = NewPhase::Requesting;
    loop {
        let owned = match owner::claim(dir, clock.now(), 0) {
            Ok(owner) => return Ok((owner, None)),
            Err(e @ ClaimError::Owned(_)) if can_request => e,
            Err(e) => return Err(e.to_string()),
        };
        let mut errors = Vec::new();
        match request_handover(dir, &mut phase, &mut errors) {
            Ok(Some(inherited)) => {
                // The old process released the lock before it reported the release.
                let owner = owner::claim(dir, clock.now(), 0).map_err(|e| e.to_string())?;
                return Ok((owner, Some(inherited)));
            }
            Ok(None) => {}
            Err(reason) => return Err(format!("{owned}, and hands nothing over: {reason}")),
        }
        if Instant::now() >= give_up_at {
            phase.handle(NewEvent::TimedOut);
            let error = errors.pop().unwrap_or_else(|| "it does not answer".to_owned());
            return Err(format!("{owned}, and hands nothing over: {error}"));
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Requests the handover once. `Ok(None)` means that the attempt failed, its error is in `errors`, and the caller may
/// try again, as the folder may be free by then. `Err` is the reason for which the old process refused.
fn request_handover(
    dir: &Path, phase: &mut NewPhase, errors: &mut Vec<String>,
) -> Result<Option<Inherited>, String> {
    let mut retry = |phase: &mut NewPhase, e: io::Error| {
        errors.push(e.to_string());
        phase.handle(NewEvent::ChannelFailed);
        Ok(None)
    };
    let frame_deadline = || Instant::now() + FRAME_TIMEOUT;
    let connected = short_path(dir, SOCKET_NAME).and_then(|socket| UnixStream::connect(&socket.path));
    let stream = match connected {
        Ok(stream) => stream,
        Err(e) => return retry(phase, e),
    };
    let requested = send(
        &stream,
        &Frame::Request { version: VERSION, process: std::process::id() },
        &[],
        frame_deadline(),
    );
    if let Err(e) = requested {
        return retry(phase, e);
    }
    let (mut state, mut listener, mut connections) = (None, None, Vec::new());
    loop {
        let (frame, fds) = match receive(&stream, frame_deadline()) {
            Ok(received) => received,
            Err(e) => return retry(phase, e),
        };
        let action = match frame {
            Frame::Refused(reason) => {
                phase.handle(NewEvent::Refused);
                return Err(reason);
            }
            Frame::CoreState(core) => {
                state = Some(*core);
                listener = fds.into_iter().next().map(TcpListener::from);
                phase.handle(NewEvent::StateReceived)
            }
            Frame::Connections(exported) => {
                connections.extend(fds.into_iter().zip(exported));
                phase.handle(NewEvent::StateReceived)
            }
            Frame::StateComplete if state.is_some() => phase.handle(NewEvent::StateComplete),
            Frame::OwnershipReleased => phase.handle(NewEvent::OwnershipReleased),
            _ => return retry(phase, ErrorKind::InvalidData.into()),
        };
        match (action, state.take()) {
            (NewAction::TakeOver, Some(state)) => {
                return Ok(Some(Inherited { state, listener, connections, call_ends: stream }))
            }
            (NewAction::SendReady, core) => {
                state = core;
                if let Err(e) = send(&stream, &Frame::Ready, &[], frame_deadline()) {
                    return retry(phase, e);
                }
            }
            (NewAction::Receive, core) => state = core,
            _ => return retry(phase, ErrorKind::InvalidData.into()),
        }
    }
}

/// Starts a thread that receives the ends of the calls that the old process has in flight.
pub fn follow_call_ends(courier: &Arc<Courier>, call_ends: UnixStream) -> io::Result<()> {
    let courier = courier.clone();
    spawn("upgrade-ends", move || {
        // Longer than the lifetime of any message; the old process ends long before.
        let deadline = courier.clock.instant(courier.clock.now() + Micros(24 * 3600 * 1_000_000));
        while let Ok((Frame::CallCompleted(completed), _)) = receive(&call_ends, deadline) {
            courier.complete_inherited_call(completed);
        }
        let lost = courier.abandon_inherited_calls();
        tracing::info!(target: "upgrade", lost, "the process before has ended");
    })
    .map(|_| ())
}
