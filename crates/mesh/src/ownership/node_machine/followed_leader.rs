//! The leader that a node follows.

use quetzalrack_core::time::Moment;

use crate::ownership::LeaderRecord;

/// The leader that a node follows.
#[derive(Clone, Debug)]
pub(super) struct FollowedLeader {
    pub(super) record: LeaderRecord,
    /// When the node began to follow it.
    pub(super) since: Moment,
    /// When the newest reply arrived.
    pub(super) reply_at: Option<Moment>,
    /// The send time of the newest reply, on the leader's clock.
    pub(super) reply_sent: Option<u64>,
    /// Whether it has stood down or its process has ended.
    pub(super) resigned: bool,
}
