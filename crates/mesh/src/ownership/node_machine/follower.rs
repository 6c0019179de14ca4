//! The leader that a node follows.

use quetzalrack_core::time::Moment;

use crate::ownership::LeaderRecord;

/// Is the leader that a node follows.
#[derive(Clone, Debug)]
pub(super) struct Following {
    pub(super) record: LeaderRecord,
    pub(super) since: Moment,
    pub(super) heard: Option<Moment>,
    /// The stamp of the newest order.
    pub(super) stamp: Option<u64>,
    pub(super) resigned: bool,
}
