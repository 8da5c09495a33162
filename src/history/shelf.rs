//! Between the core and the thread that writes the history. The core lays down here what the journal has ended and never waits
//! for the file; the thread takes it from here ([`Shelf::turn`]) and says how far it is. Danger: whoever holds the core may not
//! wait for the keeper; whoever holds the keeper may wait for the core, as the replay's orders do.

use super::keeper::Keeper;
use crate::api::Micros;
use crate::store::EndedMessage;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, TryLockError};
use std::thread;
use std::time::{Duration, Instant};

/// Messages for which the keeper is held without a pause.
const PART: usize = 256;
/// Whoever waits for the keeper until a moment looks so often.
const LOOK: Duration = Duration::from_millis(1);

/// See above.
pub struct Shelf {
    keeper: Mutex<Option<Keeper>>,
    ends: Mutex<Vec<EndedMessage>>,
    /// All ends up to this one are in the file, or never will be.
    upto: AtomicU64,
    closed: AtomicBool,
    /// The last of those who come again found it at work until they gave up.
    hung: AtomicBool,
    given_way: Arc<AtomicU64>,
}

impl Shelf {
    /// For a history that is open, or closed.
    pub fn new(keeper: Keeper) -> Shelf {
        Shelf {
            ends: Mutex::default(),
            upto: AtomicU64::new(0),
            closed: AtomicBool::new(keeper.shut().is_some()),
            hung: AtomicBool::new(false),
            given_way: keeper.given_way.clone(),
            keeper: Mutex::new(Some(keeper)),
        }
    }

    /// Nothing that ends is kept: the file is closed.
    pub fn closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    /// These have ended, in the journal's order.
    pub fn lay(&self, mut ends: Vec<EndedMessage>) {
        self.ends.lock().unwrap_or_else(PoisonError::into_inner).append(&mut ends);
    }

    /// One ended and is not handed over; it is counted.
    pub fn give_way(&self) {
        self.given_way.fetch_add(1, Ordering::Relaxed);
    }

    /// The journal may let go of all up to this one.
    pub fn upto(&self) -> u64 {
        self.upto.load(Ordering::Acquire)
    }

    /// Writes what lies here and moves time, on a thread that nobody waits for; `false` once another process has the file.
    pub fn turn(&self, now: &dyn Fn() -> Micros) -> bool {
        let ends = std::mem::take(&mut *self.ends.lock().unwrap_or_else(PoisonError::into_inner));
        for part in ends.chunks(PART) {
            // Danger: what it is not told, the next process finds in the journal.
            let told = self.wait(|keeper| {
                keeper.take_in(now(), part);
                keeper.shut().is_some()
            });
            let Some(closed) = told else { return false };
            self.closed.store(closed, Ordering::Release);
            self.upto.store(part.last().map_or(0, |end| end.seq), Ordering::Release);
        }
        let told = self.wait(|keeper| {
            keeper.tick(now());
            keeper.shut().is_some()
        });
        self.closed.store(told.unwrap_or(true), Ordering::Release);
        told.is_some()
    }

    /// Does this with the keeper as soon as it is free; `None`: another process has the file.
    pub fn wait<T>(&self, by: impl FnOnce(&mut Keeper) -> T) -> Option<T> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner).as_mut().map(by)
    }

    /// The keeper, if it is free now.
    pub fn free(&self) -> Option<MutexGuard<'_, Option<Keeper>>> {
        match self.keeper.try_lock() {
            Ok(keeper) => Some(keeper),
            Err(TryLockError::Poisoned(keeper)) => Some(keeper.into_inner()),
            Err(TryLockError::WouldBlock) => None,
        }
    }

    /// The same, if it is free by then.
    pub fn free_by(&self, until: Instant) -> Option<MutexGuard<'_, Option<Keeper>>> {
        loop {
            match self.free() {
                None if Instant::now() < until => thread::sleep(LOOK),
                found => return found,
            }
        }
    }

    /// The same for who comes again: it waits no more until it was free once. Danger: several that wait so on one thread, one after
    /// the other, would do nothing else while a file hangs.
    pub fn free_soon(&self, until: Instant) -> Option<MutexGuard<'_, Option<Keeper>>> {
        let found = match self.hung.load(Ordering::Relaxed) {
            true => self.free(),
            false => self.free_by(until),
        };
        self.hung.store(found.is_none(), Ordering::Relaxed);
        found
    }

    /// Another process owns the file from here on. Danger: the library writes as it closes.
    pub fn let_go(&self) {
        let keeper = self.keeper.lock().unwrap_or_else(PoisonError::into_inner).take();
        self.closed.store(true, Ordering::Release);
        keeper.into_iter().for_each(|mut keeper| keeper.let_go());
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::history::config::parse;

    #[test]
    fn who_comes_again_waits_once_for_a_file_that_hangs() {
        let dir = std::env::temp_dir().join(format!("indigohold-shelf-{}", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let config = parse(br#"{"enabled": true, "disk_kb": 2048}"#, &[], &[]).unwrap();
        let shelf = Shelf::new(Keeper::open(&dir, config, 1, 1, Micros(0), Box::new(|| Micros(0))));
        let hangs = shelf.free().unwrap();
        assert!(shelf.free_soon(Instant::now()).is_none(), "so long it may wait");
        let an_hour = Instant::now() + Duration::from_secs(3_600);
        assert!(shelf.free_soon(an_hour).is_none(), "and not again while it hangs");
        drop(hangs);
        assert!(shelf.free_soon(an_hour).is_some() && !shelf.hung.load(Ordering::Relaxed));
        let _ = std::fs::remove_dir_all(&dir);
    }
}
