//! A batch of changes to the routing table.

use serde::Deserialize;
use serde::Serialize;

use super::RoutingChange;
use crate::cluster::RoutingVersion;

/// Updates a routing table from one version to a newer one of the same controller. A delta based
/// on count zero applies to an empty table.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RoutingDelta {
    /// The version after the changes.
    pub version: RoutingVersion,
    /// The count of the version that the changes apply to.
    pub base: u64,
    /// The changes, in the order in which they apply.
    pub changes: Vec<RoutingChange>,
}
