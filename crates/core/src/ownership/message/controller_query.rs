//! The question for the controller.

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::NodeName;

/// Asks another node which controller it follows.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ControllerQuery {
    /// Who asks.
    pub node: NodeName,
    /// Its life.
    pub incarnation: Incarnation,
}
