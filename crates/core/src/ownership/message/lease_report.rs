//! The report of one lease.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::SliceId;
use crate::time::Milliseconds;

/// Reports one lease to a new controller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseReport {
    /// The slice.
    pub slice: SliceId,
    /// The grant's fence.
    pub fence: Fence,
    /// The time left on the lease when the report is sent, rounded down.
    pub remaining: Milliseconds,
    /// Whether the backend server has confirmed the grant.
    pub confirmed: bool,
}
