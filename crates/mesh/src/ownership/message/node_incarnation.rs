//! One run of a node's process.

use std::fmt;

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// Identifies one run of a node's process. A host runs one at a time, so a later incarnation proves that
/// the earlier one has ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeIncarnation {
    /// The node.
    pub node: NodeName,
    /// A random number, drawn at the start of the process.
    pub nonce: u64,
}

impl fmt::Display for NodeIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.node, self.nonce)
    }
}
