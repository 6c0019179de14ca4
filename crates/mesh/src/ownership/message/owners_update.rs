//! Changes to the table of owners.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use crate::model::KeyRange;

/// A range of keys and the node whose backend server owns it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnedRange {
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub keys: KeyRange,
    /// The node; none if the range has no owner now.
    pub node: Option<NodeName>,
}

/// The changes to the table of owners since the version in a node's heartbeat.
///
/// While busy keys move several times a second, the whole table in every reply would exceed what a narrow
/// link carries, and the leader's replies would arrive too late to count.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnersUpdate {
    /// The version of the table with these changes.
    pub version: u64,
    /// Whether `ranges` replaces the whole table. If not, its ranges are applied to the known table in
    /// order.
    pub full: bool,
    /// The owned ranges.
    pub ranges: Vec<OwnedRange>,
}
