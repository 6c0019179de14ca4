//! A slice move that has been ordered.

use crate::ids::NodeName;

/// A handover that the holder has been asked for. Without a target the slice becomes free.
#[derive(Clone, Debug)]
pub(super) struct PlannedMove {
    pub(super) target: Option<NodeName>,
}
