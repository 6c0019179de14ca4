//! The lease that a node has from its leader.

use quetzalrack_core::time::Moment;

use crate::ownership::Assignment;

/// Is what the newest order allows a node to grant, and until when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::ownership) struct Lease {
    /// When it ends, counted from the sending of the heartbeat that was answered: a late answer
    /// can only shorten it.
    pub(in crate::ownership) until: Moment,
    /// What may be granted.
    pub(in crate::ownership) assignment: Assignment,
}
