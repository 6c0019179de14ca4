//! Changes of what every node knows of the others.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServiceName;
use serde::Deserialize;
use serde::Serialize;

use super::Member;
use super::NodeLoad;
use crate::model::KeyRange;

/// Says which node's backend server owns a range of keys.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnedRange {
    /// The service.
    pub service: ServiceName,
    /// The keys.
    pub keys: KeyRange,
    /// The node.
    pub node: NodeName,
}

/// Is what has changed since the versions that a node named.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableUpdate {
    /// The version of the member table after this.
    pub table: u64,
    /// Members that changed, and whether the leader hears them.
    pub members: Vec<(Member, bool)>,
    /// Nodes that are gone.
    pub gone: Vec<NodeName>,
    /// The loads of all members in the order of their names, for a node whose table is up to date
    /// with this: names would be nine tenths of it.
    pub loads: Vec<NodeLoad>,
    /// The version of the owners after this, and all of them, if they changed.
    pub owners: Option<(u64, Vec<OwnedRange>)>,
}
