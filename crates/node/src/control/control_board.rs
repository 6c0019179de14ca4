//! What the control thread tells the rest of the node about itself.

use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwapOption;
use quetzalrack_core::time::Moment;
use quetzalrack_wire::status::ControllerStatus;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use super::SliceCounts;

/// Is written by the control thread and read by whoever answers operators.
#[derive(Debug, Default)]
pub struct ControlBoard {
    /// The controller that the node follows.
    pub controller: ArcSwapOption<ControllerStatus>,
    /// Whether the log service answered the last read of the intent stream.
    pub log_reachable: AtomicBool,
    intent_since: AtomicU64,
    slices: Mutex<SliceCounts>,
}

impl ControlBoard {
    /// Returns when the intent in force was taken over.
    pub fn intent_since(&self) -> Moment {
        Moment(self.intent_since.load(Ordering::Relaxed))
    }

    /// Notes when newer intent was taken over.
    pub fn set_intent_since(&self, now: Moment) {
        self.intent_since.store(now.0, Ordering::Relaxed);
    }

    /// Lets `change` count a change of ownership.
    pub fn update_slices<F>(&self, change: F)
    where
        F: FnOnce(&mut SliceCounts),
    {
        change(&mut self.slices.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Copies the counts of changes of ownership.
    pub fn slices(&self) -> SliceCounts {
        self.slices
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
