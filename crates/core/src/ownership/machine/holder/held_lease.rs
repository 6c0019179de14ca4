//! A lease at its holder.

use super::GrantStage;
use crate::cluster::Lease;
use crate::ids::Fence;
use crate::time::Moment;

/// The lease of one grant that this node accepted from a controller.
#[derive(Clone, Copy, Debug)]
pub(in crate::ownership::machine) struct HeldLease {
    pub(super) fence: Fence,
    pub(super) deadline: Moment,
    pub(super) stage: GrantStage,
}

impl HeldLease {
    /// Extends the deadline. A late or duplicate answer never shortens it.
    pub(super) fn extend(&mut self, deadline: Moment) {
        self.deadline = self.deadline.max(deadline);
    }

    pub(super) fn is_confirmed(&self) -> bool {
        self.stage != GrantStage::Activating
    }

    pub(super) fn as_lease(&self) -> Lease {
        Lease {
            fence: self.fence,
            deadline: self.deadline,
            admits: self.stage == GrantStage::Active,
        }
    }
}
