//! One process of a node.

use std::fmt;

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// Names one process of a node. A host runs one at a time, so a later life proves that the earlier
/// one is gone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct NodeLife {
    /// The node.
    pub node: NodeName,
    /// A random number, drawn at the start of the process.
    pub life: u64,
}

impl fmt::Display for NodeLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{:x}", self.node, self.life)
    }
}
