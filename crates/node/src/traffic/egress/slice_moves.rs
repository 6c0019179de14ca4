//! Changes of ownership, as egress takes part in them.

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

/// How long a slice's requests may take to finish before it is handed over all the same. What is
/// still running then is handed over as unknown, so it runs nowhere else.
const FINISH: Duration = Duration::from_secs(10);

/// Keeps the memories handed over to this node until their grants arrive.
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
    /// Adopts what the previous owner remembered, or starts a memory that knows nothing.
    pub(in crate::traffic) fn prepare_slice(
        &self,
        slice: &SliceId,
        fence: Fence,
        previous: Option<Fence>,
    ) {
        let handover = previous.and_then(|previous| self.handovers.take(slice, previous));
        let memory = handover.and_then(|handover| match IdempotencyState::decode(&handover.memory) {
            Ok(memory) => Some(memory),
            Err(error) => {
                log::warn!(event = "handover_unreadable", slice:% = slice, error:% = error; "starting empty");
                None
            }
        });
        let wall = self.clock.wall();
        self.gate().add_slice(wall, slice, fence, memory);
    }

    /// Finishes a slice's requests and hands its memory over.
    pub(in crate::traffic) async fn drain_slice(
        &self,
        slice: &SliceId,
        fence: Fence,
        successor: Option<&Member>,
    ) {
        self.book.close(slice, fence);
        let finished = self.book.wait_until_empty(slice);
        if tokio::time::timeout(FINISH, finished).await.is_err() {
            log::warn!(event = "drain_cut_short", slice:% = slice; "requests still in flight");
        }
        let memory = self.gate().remove_slice(slice, fence);
        let (Some(memory), Some(successor)) = (memory, successor) else {
            return;
        };
        let memory = match memory.encode() {
            Ok(memory) => memory,
            Err(error) => {
                log::error!(event = "handover_unwritten", slice:% = slice, error:% = error; "not handed over");
                return;
            }
        };
        let handover = Handover {
            slice: slice.clone(),
            fence,
            memory,
        };
        if !self.handovers.link.hand_over(successor, handover).await {
            log::warn!(event = "handover_unconfirmed", slice:% = slice; "successor starts empty");
        }
    }

    /// Forgets a slice whose lease ended without a handover.
    pub(in crate::traffic) fn forget_slice(&self, slice: &SliceId, fence: Fence) {
        self.book.close(slice, fence);
        self.gate().remove_slice(slice, fence);
    }

    /// Keeps a memory until the matching grant arrives; a newer one replaces an older one.
    pub(in crate::traffic) fn receive_handover(&self, handover: Handover) {
        let received = &self.handovers.received;
        let mut received = received.lock().unwrap_or_else(PoisonError::into_inner);
        let known = received.get(&handover.slice);
        if known.is_none_or(|known| known.fence <= handover.fence) {
            received.insert(handover.slice.clone(), handover);
        }
    }
}
