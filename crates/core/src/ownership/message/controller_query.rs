//! The query for the current controller.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::NodeName;

/// Asks another node which controller it follows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerQuery {
    /// The asking node.
    pub node: NodeName,
    /// The asking node's incarnation.
    pub incarnation: Incarnation,
}
