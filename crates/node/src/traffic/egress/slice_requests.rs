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
pub(super) struct SliceRequests {
    states: Mutex<HashMap<SliceId, SliceState>>,
    changed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct SliceState {
    in_flight: usize,
    closed_fence: Option<Fence>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(super) struct SliceRequest {
    requests: Arc<SliceRequests>,
    slice: SliceId,
}

impl SliceRequests {
    /// Starts to count a request under a grant; none if the slice is closed for this grant.
    pub(super) fn start(self: &Arc<Self>, slice: &SliceId, fence: Fence) -> Option<SliceRequest> {
        let mut states = self.lock();
        let entry = states.entry(slice.clone()).or_default();
        if entry.closed_fence.is_some_and(|closed| fence <= closed) {
            return None;
        }
        entry.in_flight += 1;
        Some(SliceRequest {
            requests: Arc::clone(self),
            slice: slice.clone(),
        })
    }

    /// Closes the slice for requests under this grant and earlier grants.
    pub(super) fn close(&self, slice: &SliceId, fence: Fence) {
        let mut states = self.lock();
        let entry = states.entry(slice.clone()).or_default();
        entry.closed_fence = entry.closed_fence.max(Some(fence));
    }

    /// Resolves once no request of the slice is in flight.
    pub(super) async fn wait_until_empty(&self, slice: &SliceId) {
        loop {
            let changed = self.changed.notified();
            if self
                .lock()
                .get(slice)
                .is_none_or(|entry| entry.in_flight == 0)
            {
                return;
            }
            changed.await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SliceId, SliceState>> {
        self.states.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SliceRequest {
    fn drop(&mut self) {
        let mut states = self.requests.lock();
        if let Some(entry) = states.get_mut(&self.slice) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            if entry.in_flight == 0 {
                self.requests.changed.notify_waiters();
            }
        }
    }
}
