//! Passes data between the core and the gossip thread by two swapped pointers. Neither side ever waits for the other.

use super::{Facts, FleetView};
use arc_swap::{ArcSwap, ArcSwapOption};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Facts from the core to the gossip thread, and the fleet view in the other direction; each replaces the previous one.
#[derive(Debug, Default)]
pub struct Exchange {
    facts: ArcSwap<Facts>,
    view: ArcSwapOption<FleetView>,
    open: AtomicBool,
}

impl Exchange {
    /// Publishes the core's newest facts.
    pub fn publish_facts(&self, facts: Facts) {
        self.facts.store(Arc::new(facts));
    }

    /// The facts last published.
    pub fn facts(&self) -> Arc<Facts> {
        self.facts.load_full()
    }

    /// Publishes a new fleet view.
    pub fn publish_view(&self, view: FleetView) {
        self.view.store(Some(Arc::new(view)));
    }

    /// The gossip thread reads facts from now on.
    pub fn open(&self) {
        self.open.store(true, Ordering::Release);
    }

    /// The core continues in another process: nothing more is published for it here.
    pub fn close(&self) {
        self.open.store(false, Ordering::Release);
    }

    /// Whether facts are to be published.
    pub fn is_open(&self) -> bool {
        self.open.load(Ordering::Acquire)
    }

    /// The fleet view last published; `None` before the first.
    pub fn view(&self) -> Option<Arc<FleetView>> {
        self.view.load_full()
    }
}
