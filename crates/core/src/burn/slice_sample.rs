//! One node's counts of ownership changes of a service's slices.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::ServiceName;

/// Counts the ownership changes that involved one node since it started; churn and unavailable time
/// are computed from these counts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SliceSample {
    /// The service.
    pub service: ServiceName,
    /// Slices that were granted to this node.
    pub granted: u64,
    /// Slices that this node released in a graceful move.
    pub released: u64,
    /// Slices whose lease lapsed at this node.
    pub lapsed: u64,
    /// The sum, over slices, of the time in which the controller on this node knew no holder, in
    /// milliseconds, counted when the next holder confirms its grant.
    pub unavailable_ms: u64,
}
