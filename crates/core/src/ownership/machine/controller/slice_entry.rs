//! The controller's state for one slice.

use super::Assignment;
use super::PlannedMove;
use super::SliceState;
use crate::explain::GrantReason;
use crate::ids::Fence;
use crate::ids::NodeName;
use crate::time::Milliseconds;
use crate::time::Moment;

/// What the controller knows of one slice.
#[derive(Clone, Debug)]
pub(super) struct SliceEntry {
    pub(super) state: SliceState,
    /// The released grant whose holder handed its idempotency state over; the next grant names it.
    pub(super) previous: Option<Fence>,
    pub(super) planned_move: Option<PlannedMove>,
    pub(super) reason: GrantReason,
    /// The smoothed rate in requests per second.
    pub(super) rate: f32,
    /// When the slice lost its holder; `None` while it has one.
    pub(super) vacant_since: Option<Moment>,
}

impl SliceEntry {
    pub(super) fn open(
        state: SliceState,
        reason: GrantReason,
        vacant_since: Option<Moment>,
    ) -> Self {
        Self {
            state,
            previous: None,
            planned_move: None,
            reason,
            rate: 0.0,
            vacant_since,
        }
    }

    pub(super) fn assignment(&self) -> Option<&Assignment> {
        match &self.state {
            SliceState::Granted(assignment) => Some(assignment),
            _ => None,
        }
    }

    /// Returns the target of the planned move if it has one, otherwise the current holder.
    pub(super) fn destination(&self) -> Option<&NodeName> {
        let target = self
            .planned_move
            .as_ref()
            .and_then(|plan| plan.target.as_ref());
        target.or(self.assignment().map(|assignment| &assignment.node))
    }

    /// Marks the slice as held and returns how long it had no holder.
    pub(super) fn end_vacancy(&mut self, now: Moment) -> Milliseconds {
        let vacant = self.vacant_since.take().map(|vacant| now.since(vacant));
        let waited = vacant.unwrap_or_default().as_millis();
        Milliseconds(u32::try_from(waited).unwrap_or(u32::MAX))
    }

    /// Frees the slice after its holder has stopped serving it.
    pub(super) fn release(&mut self, now: Moment) {
        let Some(fence) = self.assignment().map(|assignment| assignment.fence) else {
            return;
        };
        self.state = SliceState::Free;
        self.vacant_since.get_or_insert(now);
        if self.planned_move.is_some() {
            self.previous = Some(fence);
            self.reason = GrantReason::Moved;
        } else {
            self.previous = None;
            self.reason = GrantReason::GivenBack;
        }
    }
}
