//! The order to hand a slice over.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::Member;
use crate::ids::Fence;

/// Orders the holder to finish a slice's requests and hand its idempotency state to the successor.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Drain {
    /// The fence of the grant.
    pub fence: Fence,
    /// The node that gets the slice next, if one is chosen.
    pub successor: Option<Member>,
}
