//! The leases that one node holds.

use std::collections::BTreeMap;

use super::Lease;
use crate::ids::SliceId;

/// Is an immutable view of a node's leases, read by its traffic threads right before each send.
///
/// The threads compare the deadline themselves, because the control thread that would clear a flag
/// may have been paused together with them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeaseTable {
    /// The leases by slice.
    pub leases: BTreeMap<SliceId, Lease>,
}
