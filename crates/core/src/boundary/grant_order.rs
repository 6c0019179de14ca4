//! The order that passes a grant to a backend server.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Fence;
use crate::ids::SliceId;

/// Tells a backend server that it owns a slice from now on, under a fence.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GrantOrder {
    /// The slice.
    pub slice: SliceId,
    /// The grant's fence; a backend server that checks fences refuses lower ones from then on.
    pub fence: Fence,
}
