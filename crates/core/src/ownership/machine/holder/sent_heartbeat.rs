//! An unanswered heartbeat.

use crate::ids::Fence;
use crate::ids::SliceId;
use crate::time::Moment;

/// Remembers the contents of an unanswered heartbeat and when it was sent, by this node's clock.
#[derive(Clone, Debug)]
pub(in crate::ownership::machine) struct SentHeartbeat {
    pub(super) sent_at: Moment,
    pub(super) held: Vec<(SliceId, Fence)>,
    pub(super) released: Vec<Fence>,
    pub(super) profile_version: Option<u64>,
}
