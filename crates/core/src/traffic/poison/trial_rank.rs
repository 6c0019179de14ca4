//! The order in which nodes are tried with a suspected content.

use super::ContentDigest;
use crate::ids::NodeName;

/// The place of a node among those at which a content is tried. Every node computes the same, so that requests
/// which enter at different hosts are tried at the same few servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TrialRank {
    /// A server that has ended under the content may still be listed for a while, and comes last.
    has_ended: bool,
    weight: u64,
}

impl TrialRank {
    /// Computes the place of a node for a content under which its server has ended or not.
    pub fn of(content: &ContentDigest, node: &NodeName, has_ended: bool) -> Self {
        let content = content.to_string();
        let parts = [content.as_bytes(), node.as_str().as_bytes()];
        Self {
            has_ended,
            weight: ContentDigest::of(parts).leading_word(),
        }
    }
}
