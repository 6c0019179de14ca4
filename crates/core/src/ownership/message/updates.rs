//! Newer state that a controller sends with an answer.

use serde::Deserialize;
use serde::Serialize;

use super::RoutingDelta;
use crate::ids::Version;

/// Carries state that is newer at the controller than at the node it answers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Updates {
    /// The version of the intent that the controller follows. It tells nodes that do not read the
    /// log that there is newer intent.
    pub intent_version: Option<Version>,
    /// The changes to the routing table that the node lacks.
    pub routing: Option<RoutingDelta>,
}
