//! The answer to a probe.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::NodeName;

/// Tells a node that its probe came through; that the echo arrives tells it the way back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Echo {
    /// Who answers.
    pub node: NodeName,
    /// What the probe said.
    pub probe_sent: u64,
}
