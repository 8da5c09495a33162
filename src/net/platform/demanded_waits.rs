//! Finds waits that a destination demands while a call to it is about to begin.
//!
//! In a process that gets a small fraction of a core, a thread may be delayed by hundreds of milliseconds at any point: the one
//! that is to read a response, and the one that is to write a request which the core has just allowed.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// How many waits each destination has demanded. Bounded by the number of destinations.
#[derive(Default)]
pub struct DemandedWaits(Mutex<HashMap<u16, u64>>);

impl DemandedWaits {
    /// Counts a wait that a response demands. The core has been told of it already, and the response is still unread: then a
    /// call that begins meanwhile finds the wait in the core's decision, in the socket, or here.
    pub fn count(&self, dest: u16) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner).entry(dest).or_default() += 1;
    }

    /// The number of waits that a destination has demanded since the process started.
    fn total(&self, dest: u16) -> u64 {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&dest).copied().unwrap_or_default()
    }

    /// Starts the check of a call, before the core is asked whether it may begin. `report_unread` tells the core of the waits in
    /// responses that no thread has read yet, and returns whether there are any.
    pub fn start_check<F: Fn() -> bool>(&self, dest: u16, report_unread: F) -> WaitCheck<'_, F> {
        report_unread();
        WaitCheck { waits: self, dest, demanded_before: self.total(dest), report_unread }
    }
}

/// The check of one call, from before the core's decision until the first byte.
pub struct WaitCheck<'a, F> {
    waits: &'a DemandedWaits,
    dest: u16,
    demanded_before: u64,
    report_unread: F,
}

impl<F: Fn() -> bool> WaitCheck<'_, F> {
    /// Whether a wait was demanded that the core may not have known when it allowed the call.
    pub fn finds_new_wait(&self) -> bool {
        // In this order, since a response is counted before it is read.
        (self.report_unread)() || self.waits.total(self.dest) != self.demanded_before
    }
}
