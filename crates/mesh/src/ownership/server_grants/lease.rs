//! The lease that a node has from its leader.

use quetzalrack_core::time::Moment;

use crate::ownership::Assignment;

/// What the leader's newest reply allows a node to grant, and until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::ownership) struct Lease {
    /// When the lease ends. It is counted from when the node sent its heartbeat, so a late reply can only
    /// shorten it.
    pub(in crate::ownership) until: Moment,
    /// What may be granted.
    pub(in crate::ownership) assignment: Assignment,
}
