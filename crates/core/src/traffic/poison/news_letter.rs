//! News of suspected contents for one node.

use super::ContentDigest;
use crate::ids::NodeName;

/// News for one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewsLetter {
    /// The node.
    pub to: NodeName,
    /// The contents of which it is to be told; none stands for all.
    pub contents: Option<Vec<ContentDigest>>,
    /// The nodes to which it is to pass the news on.
    pub relay: Vec<NodeName>,
}
