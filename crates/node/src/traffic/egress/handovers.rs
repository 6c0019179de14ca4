//! Handover of slices between owners.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use quetzalrack_core::cluster::Member;
use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use quetzalrack_core::traffic::idempotency::IdempotencyState;

use super::Egress;
use crate::shared::Handover;
use crate::shared::HandoverLink;

/// How long a slice's requests may take to finish before the slice is handed over anyway. Requests
/// still running then are handed over with an unknown outcome, so that they don't run elsewhere.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Holds the idempotency states handed over to this node until the matching grants arrive.
pub(super) struct Handovers {
    link: Arc<dyn HandoverLink>,
    received: Mutex<HashMap<SliceId, Handover>>,
}

impl Handovers {
    pub(super) fn new(link: Arc<dyn HandoverLink>) -> Self {
        Self {
            link,
            received: Mutex::default(),
        }
    }

    fn take(&self, slice: &SliceId, fence: Fence) -> Option<Handover> {
        let mut received = self.received.lock().unwrap_or_else(PoisonError::into_inner);
        let handover = received.remove(slice)?;
        (handover.fence == fence).then_some(handover)
    }
}

impl Egress {
    /// Adopts the idempotency state of the previous owner, or starts with an empty one.
    pub(in crate::traffic) fn prepare_slice(
        &self,
        slice: &SliceId,
        fence: Fence,
        previous: Option<Fence>,
    ) {
        let handover = previous.and_then(|previous| self.handovers.take(slice, previous));
        let state = handover.and_then(|handover| match IdempotencyState::decode(&handover.state) {
            Ok(state) => Some(state),
            Err(error) => {
                log::warn!(event = "handover_unreadable", slice:% = slice, error:% = error; "the idempotency state handed over can't be decoded; starting with an empty one");
                None
            }
        });
        let wall = self.clock.wall();
        self.idempotency().add_slice(wall, slice, fence, state);
    }

    /// Waits for a slice's requests and hands its idempotency state over.
    pub(in crate::traffic) async fn drain_slice(
        &self,
        slice: &SliceId,
        fence: Fence,
        successor: Option<&Member>,
    ) {
        self.slice_requests.close(slice, fence);
        let finished = self.slice_requests.wait_until_empty(slice);
        if tokio::time::timeout(DRAIN_TIMEOUT, finished).await.is_err() {
            log::warn!(event = "drain_cut_short", slice:% = slice; "handing the slice over with requests in flight");
        }
        let state = self.idempotency().remove_slice(slice, fence);
        let (Some(state), Some(successor)) = (state, successor) else {
            return;
        };
        let state = match state.encode() {
            Ok(state) => state,
            Err(error) => {
                log::error!(event = "handover_unwritten", slice:% = slice, error:% = error; "the idempotency state can't be encoded; it is not handed over");
                return;
            }
        };
        let handover = Handover {
            slice: slice.clone(),
            fence,
            state,
        };
        if !self.handovers.link.hand_over(successor, handover).await {
            log::warn!(event = "handover_unconfirmed", slice:% = slice; "the successor did not confirm the idempotency state; it may start with an empty one");
        }
    }

    /// Discards the idempotency state of a slice whose lease ended without a handover.
    pub(in crate::traffic) fn forget_slice(&self, slice: &SliceId, fence: Fence) {
        self.slice_requests.close(slice, fence);
        self.idempotency().remove_slice(slice, fence);
    }

    /// Stores an idempotency state until the matching grant arrives; a newer one replaces an older
    /// one.
    pub(in crate::traffic) fn receive_handover(&self, handover: Handover) {
        let received = &self.handovers.received;
        let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
        let known = received.get(&handover.slice);
        if known.is_none_or(|known| known.fence <= handover.fence) {
            received.insert(handover.slice.clone(), handover);
        }
    }
}
