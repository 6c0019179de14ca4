//! The grant of a slice.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::SliceId;

/// Grants one slice; the fence identifies the grant.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// The slice.
    pub slice: SliceId,
    /// The grant's fence.
    pub fence: Fence,
    /// The fence of the grant that was released in favour of this one.
    pub previous: Option<Fence>,
}
