//! A new version under load: the process that serves hands over to the one that was started beside it. What is done when is
//! decided in [`phase`]; what is said, in [`frame`]; here are the two sides' sockets. `docs/design/upgrade.md`.

pub mod frame;
pub mod inherit;
pub mod phase;

use crate::admin::hand::Hand;
use crate::api::Micros;
use crate::core::handover::HandoverState;
use crate::core::{Clock, Courier};
use crate::net::acceptor::{AcceptorHandle, ExportedConnection};
use crate::net::spawn;
use crate::store::owner::{self, Owner, Refusal};
use crossbeam_channel::{bounded, unbounded, Receiver};
use frame::{hear, send, Frame, FDS_MOST};
use phase::{Do, Heard, New, Next, Old, Said, VERSION};
use std::fs::{self, File};
use std::io::{self, ErrorKind};
use std::net::TcpListener;
use std::os::fd::{AsRawFd, BorrowedFd, OwnedFd};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The socket's name in the folder that lasts.
const SOCKET: &str = "upgrade.sock";
/// The old process waits so long for its connection acceptor to be between two rounds, and for the new one to have
/// everything. Danger: clients wait 400 ms for an answer; a new process that hangs must not cost them more than it has to.
const SETTLE: Micros = Micros(500_000);
const READY: Micros = Micros(700_000);
/// The new process asks for so long, and waits so long for each word.
const ASK: Duration = Duration::from_millis(4_500);
const WORD: Duration = Duration::from_millis(1_500);
const ASK_AGAIN: Duration = Duration::from_millis(30);
/// What is said to a new process that can't be served.
const ANSWER: Micros = Micros(500_000);

/// The path of a folder by a descriptor of it. Danger: a socket's path may have 107 bytes, and folders are deeper than that.
struct Short {
    _dir: File,
    path: PathBuf,
}

fn short(dir: &Path, name: &str) -> io::Result<Short> {
    let dir = File::open(dir)?;
    let path = PathBuf::from(format!("/proc/self/fd/{}", dir.as_raw_fd())).join(name);
    Ok(Short { _dir: dir, path })
}

// ---- The process that serves ----

/// What the process that serves hands over.
pub struct Serving {
    /// The core.
    pub courier: Arc<Courier>,
    /// The front's sessions.
    pub door: AcceptorHandle,
    /// Whether this process takes clients.
    pub serving: Arc<AtomicBool>,
    /// Whether the other process has heard how all calls ended that were out when this one left. Danger: this process must not
    /// end before, or what it knows of them is lost with it.
    pub told: Arc<AtomicBool>,
    /// The folder's lock.
    pub owner: Arc<Mutex<Option<Owner>>>,
    /// Bans are changed by the other from then on.
    pub hand: Arc<Hand>,
    /// Why it can't be, if it can't.
    pub refuses: Option<&'static str>,
}

/// Listens for a process that wants to take over. Where that can't be, there is no upgrade, and all else goes on.
pub fn serve(dir: &Path, this: Serving) {
    let listener = short(dir, SOCKET).and_then(|at| {
        // Only the folder's owner comes here: whatever lies there was left behind.
        match fs::remove_file(&at.path) {
            Err(e) if e.kind() != ErrorKind::NotFound => return Err(e),
            _ => {}
        }
        UnixListener::bind(&at.path)
    });
    let started = listener.and_then(|listener| {
        spawn("upgrade", move || {
            let mut state = Old::Serves;
            while state != Old::Left {
                match listener.accept() {
                    Ok((stream, _)) => state = this.asked(stream),
                    Err(_) => std::thread::sleep(ASK_AGAIN),
                }
            }
        })
    });
    if let Err(e) = started {
        tracing::info!(target: "upgrade", "no new version can take over from this process: {e}");
    }
}

impl Serving {
    fn within(&self, span: Micros) -> Instant {
        let clock = &self.courier.clock;
        clock.instant(clock.now() + span)
    }

    /// One process that asks; what this one is then.
    fn asked(&self, stream: UnixStream) -> Old {
        let mut state = Old::Serves;
        let (version, process) = match hear(&stream, self.within(ANSWER)) {
            Ok((Frame::Ask { version, process }, _)) => (version, process),
            _ => return state,
        };
        tracing::info!(target: "upgrade", process, version, "a new process asks to take over");
        if let (Do::Settle, None) = (state.hear(Heard::Asked(version)), self.refuses) {
            return self.settle(state, stream);
        }
        let why = self.refuses.map_or_else(|| format!("this one speaks version {VERSION}"), str::to_owned);
        tracing::warn!(target: "upgrade", process, "it is refused: {why}");
        // An error says that it is gone.
        let _ = send(&stream, &Frame::No(why), &[], self.within(ANSWER));
        Old::Serves
    }

    fn settle(&self, state: Old, stream: UnixStream) -> Old {
        let (courier, owner) = (self.courier.clone(), self.owner.clone());
        let (serving, hand) = (self.serving.clone(), self.hand.clone());
        let stream = Arc::new(stream);
        let (said, word) = bounded(1);
        let ours = stream.clone();
        // Danger: told to stop waiting, an acceptor that gets there late must not hand anything over.
        let late = Arc::new(AtomicBool::new(false));
        let too_late = late.clone();
        let pass = move |listener: BorrowedFd, seats: &[(BorrowedFd, ExportedConnection)]| {
            if too_late.swap(true, Ordering::SeqCst) {
                return false;
            }
            let mut state = state;
            // Danger: what the journal has in memory only would be lost to the other process.
            if !courier.journal_written() {
                state.hear(Heard::Settled(false));
                let why = Frame::No("its journal can't be written".into());
                // An error says that it is gone.
                let _ = send(&ours, &why, &[], courier.clock.instant(courier.clock.now() + ANSWER));
                return said.send((state, None)).is_err();
            }
            let mut passed = courier.freeze();
            passed.answering =
                seats.iter().flat_map(|(_, words)| words.unconfirmed_messages.iter().copied()).collect();
            state.hear(Heard::Settled(true));
            let until = courier.clock.instant(courier.clock.now() + READY);
            let heard = match pass_all(&ours, passed, listener, seats, until) {
                Ok(Frame::Ready) => Heard::Ready,
                _ => Heard::Broken,
            };
            if state.hear(heard) != Do::LetGo {
                courier.thaw();
                return said.send((state, None)).is_err();
            }
            let (over, ends) = unbounded();
            serving.store(false, Ordering::SeqCst);
            hand.close();
            courier.hand_over(over);
            drop(owner.lock().unwrap_or_else(PoisonError::into_inner).take());
            // An error says that the other is gone; the folder is free for the next one.
            let _ = send(&ours, &Frame::Yours, &[], until);
            drop(said.send((state, Some(ends))));
            true
        };
        let parked = self.door.hand_over(Box::new(pass));
        let (state, ends) = match parked.map(|()| word.recv_timeout(Duration::from_micros(SETTLE.0))) {
            Ok(Ok(done)) => done,
            _ if !late.swap(true, Ordering::SeqCst) => {
                tracing::warn!(target: "upgrade", "the sessions could not be brought to rest; this process serves on");
                let _ = send(
                    &stream,
                    &Frame::No("it could not be brought to rest".into()),
                    &[],
                    self.within(ANSWER),
                );
                return Old::Serves;
            }
            // It is at it.
            _ => match word.recv() {
                Ok(done) => done,
                Err(_) => return Old::Serves,
            },
        };
        let Some(ends) = ends else {
            tracing::warn!(target: "upgrade", "the new process did not take over; this one serves on");
            return state;
        };
        tracing::info!(target: "upgrade", "handed over");
        tell_ends(&self.courier, &stream, &ends);
        self.told.store(true, Ordering::SeqCst);
        // The other process takes the end of the stream for the end of this one.
        loop {
            std::thread::park();
        }
    }
}

/// Sends all, and hears the other's word for it.
fn pass_all(
    stream: &UnixStream, passed: HandoverState, listener: BorrowedFd,
    seats: &[(BorrowedFd, ExportedConnection)], until: Instant,
) -> io::Result<Frame> {
    send(stream, &Frame::Core(Box::new(passed)), &[listener], until)?;
    for some in seats.chunks(FDS_MOST) {
        let (fds, words): (Vec<BorrowedFd>, Vec<ExportedConnection>) = some.iter().cloned().unzip();
        send(stream, &Frame::Seats(words), &fds, until)?;
    }
    send(stream, &Frame::Whole, &[], until)?;
    hear(stream, until).map(|(frame, _)| frame)
}

/// Until the last has been told.
fn tell_ends(courier: &Courier, stream: &UnixStream, ends: &Receiver<crate::core::handover::CompletedCall>) {
    for over in ends {
        let until = courier.clock.instant(courier.clock.now() + READY);
        if send(stream, &Frame::Over(over), &[], until).is_err() {
            return; // the other is gone; the journal says what may have run
        }
    }
}

// ---- The process that wants to serve ----

/// What was taken over.
pub struct Taken {
    /// For the core.
    pub passed: HandoverState,
    /// The listener, and the sessions.
    pub listener: Option<TcpListener>,
    /// See there.
    pub sessions: Vec<(OwnedFd, ExportedConnection)>,
    /// Where the ends of calls come from that are still out.
    pub ends: UnixStream,
}

/// Claims a folder, from the process that owns it if there is one and it hands over.
pub fn claim(dir: &Path, clock: &Clock, can_ask: bool) -> Result<(Owner, Option<Taken>), String> {
    let give_up = Instant::now() + ASK;
    let mut state = New::Asks;
    loop {
        let owned = match owner::claim(dir, clock.now(), 0) {
            Ok(owner) => return Ok((owner, None)),
            Err(e @ Refusal::Owned(_)) if can_ask => e,
            Err(e) => return Err(e.to_string()),
        };
        let mut said = Vec::new();
        match ask(dir, &mut state, &mut said) {
            Ok(Some(taken)) => {
                // It has let go of the lock before it said so.
                let owner = owner::claim(dir, clock.now(), 0).map_err(|e| e.to_string())?;
                return Ok((owner, Some(taken)));
            }
            Ok(None) => {}
            Err(why) => return Err(format!("{owned}, and hands nothing over: {why}")),
        }
        if Instant::now() >= give_up {
            state.hear(Said::TooLong);
            let said = said.pop().unwrap_or_else(|| "it does not answer".to_owned());
            return Err(format!("{owned}, and hands nothing over: {said}"));
        }
        std::thread::sleep(ASK_AGAIN);
    }
}

/// Asks once. `None`: the folder may be free, or can be asked for again.
fn ask(dir: &Path, state: &mut New, said: &mut Vec<String>) -> Result<Option<Taken>, String> {
    let mut again = |state: &mut New, e: io::Error| {
        said.push(e.to_string());
        state.hear(Said::Broken);
        Ok(None)
    };
    let soon = || Instant::now() + WORD;
    let opened = short(dir, SOCKET).and_then(|at| UnixStream::connect(&at.path));
    let stream = match opened {
        Ok(stream) => stream,
        Err(e) => return again(state, e),
    };
    let asked = send(&stream, &Frame::Ask { version: VERSION, process: std::process::id() }, &[], soon());
    if let Err(e) = asked {
        return again(state, e);
    }
    let (mut passed, mut listener, mut sessions) = (None, None, Vec::new());
    loop {
        let (frame, fds) = match hear(&stream, soon()) {
            Ok(heard) => heard,
            Err(e) => return again(state, e),
        };
        let next = match frame {
            Frame::No(why) => {
                state.hear(Said::No);
                return Err(why);
            }
            Frame::Core(core) => {
                passed = Some(*core);
                listener = fds.into_iter().next().map(TcpListener::from);
                state.hear(Said::Passing)
            }
            Frame::Seats(words) => {
                sessions.extend(fds.into_iter().zip(words));
                state.hear(Said::Passing)
            }
            Frame::Whole if passed.is_some() => state.hear(Said::Whole),
            Frame::Yours => state.hear(Said::Yours),
            _ => return again(state, ErrorKind::InvalidData.into()),
        };
        match (next, passed.take()) {
            (Next::GoOn, Some(passed)) => {
                return Ok(Some(Taken { passed, listener, sessions, ends: stream }))
            }
            (Next::SayReady, core) => {
                passed = core;
                if let Err(e) = send(&stream, &Frame::Ready, &[], soon()) {
                    return again(state, e);
                }
            }
            (Next::Read, core) => passed = core,
            _ => return again(state, ErrorKind::InvalidData.into()),
        }
    }
}

/// Hears how the calls end that the other process has out.
pub fn follow(courier: &Arc<Courier>, ends: UnixStream) -> io::Result<()> {
    let courier = courier.clone();
    spawn("upgrade-ends", move || {
        // Longer than any message lives; its process ends long before.
        let until = courier.clock.instant(courier.clock.now() + Micros(24 * 3600 * 1_000_000));
        while let Ok((Frame::Over(over), _)) = hear(&ends, until) {
            courier.complete_inherited_call(over);
        }
        let lost = courier.abandon_inherited_calls();
        tracing::info!(target: "upgrade", lost, "the process before has ended");
    })
    .map(|_| ())
}
