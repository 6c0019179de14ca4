//! One lease of a node.

use quetzalrack_core::ids::Fence;
use quetzalrack_core::ids::SliceId;
use serde::Deserialize;
use serde::Serialize;

/// Says which slice a node holds, under which fence and for how long still.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The slice.
    pub slice: SliceId,
    /// The grant's fence.
    pub fence: Fence,
    /// What is left of the lease, in milliseconds; zero when it has lapsed.
    pub left_ms: u64,
    /// Whether new requests are admitted.
    pub admits: bool,
}
