//! The result of load balancing.

use crate::ids::NodeName;

/// The nodes that get a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenNodes {
    /// The node whose response the caller gets.
    pub node: NodeName,
    /// A straggler that gets a copy of the request, only to measure its latency: no caller should
    /// wait for a node that is known to be slow.
    pub probe: Option<NodeName>,
}
