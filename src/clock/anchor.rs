//! What one life tells the next about time: which boot of the machine it ran on, and what the courier's clock said at one moment of
//! the monotonic clock. Deadlines, windows, waits and graces are written down as moments of the courier's clock, so they stay spans
//! of real time as long as all lives count by one anchor.

use super::{wall, Clock};
use crate::api::Micros;
use crate::store::sealed::Sealed;
use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::path::{Path, PathBuf};

/// The anchor's file in the folder that lasts.
const FILE: Sealed = Sealed { name: "clock", magic: "indigohold-clock", version: 1 };
/// Room that it takes in the folder: a block each for the file, the one before and the one being written.
pub const ROOM: u64 = 3 * 512;
/// Which boot of the machine this is.
const BOOT_ID: &str = "/proc/sys/kernel/random/boot_id";
/// Where the boot is not known, the monotonic clock is believed if it is this close to the wall clock: steps are no longer, and
/// another boot is almost surely further away.
const UNKNOWN_BOOT: Micros = Micros(2 * 3_600 * 1_000_000);

/// One moment on both clocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Anchor {
    /// The machine's boot; empty: not known.
    pub boot: String,
    /// The monotonic clock.
    pub monotonic: Micros,
    /// The courier's clock.
    pub time: Micros,
}

/// The machine's clocks at one moment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// The machine's boot; empty: not known.
    pub boot: String,
    /// The monotonic clock.
    pub monotonic: Micros,
    /// The wall clock.
    pub wall: Micros,
}

impl Anchor {
    /// What the courier's clock says at this reading; `None`: the anchor is of another boot.
    fn time_at(&self, reading: &Reading) -> Option<Micros> {
        if reading.monotonic < self.monotonic {
            return None;
        }
        let time = self.time + (reading.monotonic - self.monotonic);
        let close = time - reading.wall <= UNKNOWN_BOOT && reading.wall - time <= UNKNOWN_BOOT;
        let known = !self.boot.is_empty() && !reading.boot.is_empty();
        (if known { self.boot == reading.boot } else { close }).then_some(time)
    }

    /// Leaves it in a folder.
    pub fn write(&self, dir: &Path) -> io::Result<()> {
        FILE.write(dir, &FILE.seal(self.text().as_bytes()))
    }

    fn text(&self) -> String {
        format!("{} {} {}\n", self.monotonic.0, self.time.0, self.boot)
    }

    fn read(text: &[u8]) -> Result<Anchor, String> {
        let read = || {
            let mut words = std::str::from_utf8(text).ok()?.trim_end_matches('\n').splitn(3, ' ');
            let monotonic = Micros(words.next()?.parse().ok()?);
            let time = Micros(words.next()?.parse().ok()?);
            Some(Anchor { boot: words.next()?.to_owned(), monotonic, time })
        };
        read().ok_or_else(|| "not an anchor".to_owned())
    }
}

/// What the courier's clock says at this reading, going on from an anchor, and whether the anchor holds for this boot.
/// Danger: on another boot only the wall clock is left, and it may have been put back; the courier's time never goes back behind
/// what a former life had already seen.
pub fn resume(anchor: Option<&Anchor>, reading: &Reading) -> (Micros, bool) {
    match anchor.map(|anchor| (anchor, anchor.time_at(reading))) {
        Some((_, Some(time))) => (time, true),
        Some((anchor, None)) => (reading.wall.max(anchor.time), false),
        None => (reading.wall, false),
    }
}

impl Reading {
    /// Reads the machine's clocks.
    pub fn take() -> Reading {
        let monotonic = clock_gettime(ClockId::Monotonic);
        let micros = monotonic.tv_sec as u64 * 1_000_000 + monotonic.tv_nsec as u64 / 1_000;
        let boot = std::fs::read_to_string(BOOT_ID).unwrap_or_default().trim().to_owned();
        Reading { boot, monotonic: Micros(micros), wall: wall() }
    }
}

/// An anchor that the folder lacks. It is written by the folder's owner, again and again until that succeeds.
pub struct Pending {
    dir: PathBuf,
    anchor: Option<Anchor>,
    /// How far the wall clock is ahead of the courier's.
    step_ms: i64,
}

impl Pending {
    /// Says in the log how the clock has started.
    pub fn tell(&self) {
        let (goes_on, step_ms) = (self.anchor.is_none(), self.step_ms);
        tracing::info!(target: "clock", goes_on, step_ms, "the courier's clock has started");
    }

    /// Writes it, if it is not written yet; the error says why it could not be.
    pub fn write(&mut self) -> io::Result<()> {
        let Some(anchor) = &self.anchor else { return Ok(()) };
        anchor.write(&self.dir)?;
        self.anchor = None;
        Ok(())
    }
}

/// The courier's clock, going on from what an earlier life left in this folder, and the anchor that is to be written there.
pub fn start(dir: &Path) -> (Clock, Pending) {
    let (anchor, passed_over) = FILE.read(dir, Anchor::read);
    passed_over.iter().for_each(|words| tracing::warn!(target: "clock", "{words}"));
    let reading = Reading::take();
    let (time, holds) = resume(anchor.as_ref(), &reading);
    let clock = Clock::at(time);
    let step_ms = (reading.wall.0 as i64 - time.0 as i64) / 1_000;
    let anchor = (!holds).then_some(Anchor { boot: reading.boot, monotonic: reading.monotonic, time });
    (clock, Pending { dir: dir.to_owned(), anchor, step_ms })
}
