//! One route's counts at one node.

use serde::Deserialize;
use serde::Serialize;

use super::RouteCounts;
use crate::ids::RouteName;
use crate::ids::ServiceName;

/// Holds one node's counts of one route as ingress, where the caller's outcome is known.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RouteSample {
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The counts since the node started.
    pub counts: RouteCounts,
}
