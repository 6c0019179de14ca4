//! A change of ownership.

use std::time::Duration;

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::SliceId;

/// Is a slice seen under a new fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipChange {
    /// When it was seen, from the start of the watch.
    pub at: Duration,
    /// The slice.
    pub slice: SliceId,
    /// The holder before, if one was seen.
    pub from: Option<NodeName>,
    /// The holder now.
    pub to: NodeName,
    /// The grant.
    pub fence: Fence,
}
