//! Requests in flight by slice.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use tokio::sync::Notify;

/// Counts the requests in flight for each slice, so that a slice is handed over only when none is
/// left.
#[derive(Debug, Default)]
pub(super) struct SliceBook {
    uses: Mutex<HashMap<SliceId, Use>>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct Use {
    running: usize,
    drained: Option<Fence>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct SliceUse {
    book: Arc<SliceBook>,
    slice: SliceId,
}

impl SliceBook {
    /// Starts to count a request under a grant; none if the slice is closed for this grant.
    pub(super) fn enter(self: &Arc<Self>, slice: &SliceId, fence: Fence) -> Option<SliceUse> {
        let mut uses = self.lock();
        let entry = uses.entry(slice.clone()).or_default();
        if entry.drained.is_some_and(|drained| fence <= drained) {
            return None;
        }
        entry.running += 1;
        Some(SliceUse {
            book: Arc::clone(self),
            slice: slice.clone(),
        })
    }

    /// Closes the slice for requests under this grant and earlier grants.
    pub(super) fn close(&self, slice: &SliceId, fence: Fence) {
        let mut uses = self.lock();
        let entry = uses.entry(slice.clone()).or_default();
        entry.drained = entry.drained.max(Some(fence));
    }

    /// Resolves once no request of the slice is in flight.
    pub(super) async fn wait_until_empty(&self, slice: &SliceId) {
        loop {
            let changed = self.changed.notified();
            if self
                .lock()
                .get(slice)
                .is_none_or(|entry| entry.running == 0)
            {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SliceId, Use>> {
        self.uses.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SliceUse {
    fn drop(&mut self) {
        let mut uses = self.book.lock();
        if let Some(entry) = uses.get_mut(&self.slice) {
            entry.running = entry.running.saturating_sub(1);
            if entry.running == 0 {
                self.book.changed.notify_waiters();
            }
        }
    }
}
