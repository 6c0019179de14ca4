//! The controller that a node follows.

use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::Rank;
use quetzalrack_core::ids::Term;
use serde::Deserialize;
use serde::Serialize;

/// Names the controller whose routing table a node follows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerStatus {
    /// Its term.
    pub term: Term,
    /// Its rank in the line of that term; zero unless a deputy took over.
    pub rank: Rank,
    /// The node, when this one knows it.
    pub node: Option<NodeName>,
    /// Whether it is this very node.
    pub here: bool,
}
