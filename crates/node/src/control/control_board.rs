//! State of the control thread for readers on other threads.

use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwapOption;
use quetzalrack_core::time::Moment;
use quetzalrack_wire::status::ControllerStatus;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::SliceCounts;

/// Control state shown on the admin port; only the control thread and its tasks write it.
#[derive(Debug, Default)]
pub struct ControlBoard {
    /// The controller that the node follows.
    pub controller: ArcSwapOption<ControllerStatus>,
    /// Whether the last read of the intent stream got a response from the log service.
    pub log_reachable: AtomicBool,
    intent_since: AtomicU64,
    slices: Mutex<SliceCounts>,
}

impl ControlBoard {
    /// Returns when the intent in force was adopted.
    pub fn intent_since(&self) -> Moment {
        Moment(self.intent_since.load(Ordering::Relaxed))
    }

    /// Records when newer intent was adopted.
    pub fn set_intent_since(&self, now: Moment) {
        self.intent_since.store(now.0, Ordering::Relaxed);
    }

    /// Applies `change` to the counts of ownership changes.
    pub fn update_slices<F>(&self, change: F)
    where
        F: FnOnce(&mut SliceCounts),
    {
        change(&mut self.slices.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Returns a copy of the counts of ownership changes.
    pub fn slices(&self) -> SliceCounts {
        self.slices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
