//! The stored anchor of the courier's clock: the boot id of the machine, and the time that the courier's clock showed at one
//! reading of the monotonic clock. Deadlines, windows, waits and grace periods are stored as times of the courier's clock.
//! They remain correct durations as long as all process runs use the same anchor.

use super::{wall, Clock};
use crate::api::Micros;
use crate::store::checksummed_file::ChecksummedFile;
use rustix::time::{clock_gettime, ClockId};
use std::io;
use std::path::{Path, PathBuf};

/// The anchor's file in the state folder.
const ANCHOR_FILE: ChecksummedFile = ChecksummedFile { name: "clock", magic: "indigohold-clock", version: 1 };
/// The disk space that the anchor takes in the state folder, in bytes: one block each for the file, its predecessor and the
/// file being written.
pub const DISK_BYTES: u64 = 3 * 512;
/// The kernel's file with the id of the current boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";
/// If a boot id is missing, an anchor is accepted if it agrees with the wall clock within this span: steps of the wall clock
/// are shorter, and an anchor of another boot almost certainly differs by more.
const MAX_DEVIATION_WITHOUT_BOOT_ID: Micros = Micros(2 * 3_600 * 1_000_000);

/// One point in time, on the monotonic clock and on the courier's clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Anchor {
    /// The machine's boot id; empty if unknown.
    pub boot: String,
    /// The time of the monotonic clock.
    pub monotonic: Micros,
    /// The time of the courier's clock.
    pub time: Micros,
}

/// A simultaneous reading of the machine's clocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClockReading {
    /// The machine's boot id; empty if unknown.
    pub boot: String,
    /// The time of the monotonic clock.
    pub monotonic: Micros,
    /// The time of the wall clock.
    pub wall: Micros,
}

impl Anchor {
    /// The time of the courier's clock at this reading; `None` if the anchor was written in another boot.
    fn time_at(&self, reading: &ClockReading) -> Option<Micros> {
        if reading.monotonic < self.monotonic {
            return None;
        }
        let time = self.time + (reading.monotonic - self.monotonic);
        let agrees = time - reading.wall <= MAX_DEVIATION_WITHOUT_BOOT_ID
            && reading.wall - time <= MAX_DEVIATION_WITHOUT_BOOT_ID;
        let both_known = !self.boot.is_empty() && !reading.boot.is_empty();
        (if both_known { self.boot == reading.boot } else { agrees }).then_some(time)
    }

    /// Writes the anchor to a state folder.
    pub fn write(&self, dir: &Path) -> io::Result<()> {
        ANCHOR_FILE.write(dir, &ANCHOR_FILE.encode(self.encode().as_bytes()))
    }

    fn encode(&self) -> String {
        format!("{} {} {}\n", self.monotonic.0, self.time.0, self.boot)
    }

    fn decode(text: &[u8]) -> Result<Anchor, String> {
        let decode = || {
            let mut words = std::str::from_utf8(text).ok()?.trim_end_matches('\n').splitn(3, ' ');
            let monotonic = Micros(words.next()?.parse().ok()?);
            let time = Micros(words.next()?.parse().ok()?);
            Some(Anchor { boot: words.next()?.to_owned(), monotonic, time })
        };
        decode().ok_or_else(|| "not an anchor".to_owned())
    }
}

/// Returns the time of the courier's clock at this reading, continued from an anchor, and whether the anchor is valid for this
/// boot.
///
/// After a reboot only the wall clock is available, and it may have been set back. The result is never before the anchor's time,
/// so the courier's clock doesn't fall behind the start of an earlier process run.
pub fn resume(anchor: Option<&Anchor>, reading: &ClockReading) -> (Micros, bool) {
    match anchor.map(|anchor| (anchor, anchor.time_at(reading))) {
        Some((_, Some(time))) => (time, true),
        Some((anchor, None)) => (reading.wall.max(anchor.time), false),
        None => (reading.wall, false),
    }
}

impl ClockReading {
    /// Reads the machine's clocks.
    pub fn now() -> ClockReading {
        let monotonic = clock_gettime(ClockId::Monotonic);
        let micros = monotonic.tv_sec as u64 * 1_000_000 + monotonic.tv_nsec as u64 / 1_000;
        let boot = std::fs::read_to_string(BOOT_ID_PATH).unwrap_or_default().trim().to_owned();
        ClockReading { boot, monotonic: Micros(micros), wall: wall() }
    }
}

/// An anchor that may still have to be written to the state folder. The folder's owner retries until the write succeeds.
pub struct PendingAnchor {
    dir: PathBuf,
    anchor: Option<Anchor>,
    /// How far the wall clock is ahead of the courier's clock, in milliseconds.
    step_ms: i64,
}

impl PendingAnchor {
    /// Logs how the clock was started.
    pub fn log_start(&self) {
        let (continued, step_ms) = (self.anchor.is_none(), self.step_ms);
        tracing::info!(target: "clock", goes_on = continued, step_ms, "the courier's clock has started");
    }

    /// Writes the anchor, if that is still to be done.
    pub fn write(&mut self) -> io::Result<()> {
        let Some(anchor) = &self.anchor else { return Ok(()) };
        anchor.write(&self.dir)?;
        self.anchor = None;
        Ok(())
    }
}

/// Starts the courier's clock from the anchor that an earlier process run wrote to this folder. Also returns the anchor that
/// is still to be written there, if any.
pub fn start(dir: &Path) -> (Clock, PendingAnchor) {
    let (anchor, warnings) = ANCHOR_FILE.read(dir, Anchor::decode);
    warnings.iter().for_each(|warning| tracing::warn!(target: "clock", "{warning}"));
    let reading = ClockReading::now();
    let (time, anchor_valid) = resume(anchor.as_ref(), &reading);
    let clock = Clock::at(time);
    let step_ms = (reading.wall.0 as i64 - time.0 as i64) / 1_000;
    let anchor = (!anchor_valid).then_some(Anchor { boot: reading.boot, monotonic: reading.monotonic, time });
    (clock, PendingAnchor { dir: dir.to_owned(), anchor, step_ms })
}
