//! What a controller tells a node besides its leases.

use serde::Deserialize;
use serde::Serialize;

use super::RoutingDelta;
use crate::ids::Version;

/// Carries what is newer at the controller than at the node that it answers.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Updates {
    /// The version of the intent that the controller follows, so that nodes which do not read the
    /// log learn that there is something newer.
    pub intent_version: Option<Version>,
    /// What is newer in the routing table.
    pub routing: Option<RoutingDelta>,
}
