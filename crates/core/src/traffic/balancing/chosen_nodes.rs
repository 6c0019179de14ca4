//! The outcome of a choice.

use crate::ids::NodeName;

/// Says where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenNodes {
    /// The node that is to answer.
    pub node: NodeName,
    /// A straggler that gets the same request at the same time, only to be measured: a caller must
    /// not wait for a node that is known to be slow.
    pub probe: Option<NodeName>,
}
