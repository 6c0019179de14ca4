//! What was counted between two readings.

use quetzalrack_core::burn::RouteCounts;
use quetzalrack_core::ids::RouteName;
use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use quetzalrack_core::time::WallTime;

/// Is what one node counted on one route between two readings.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteEntry {
    /// When the later reading was made.
    pub at: WallTime,
    /// The node's availability zone.
    pub zone: ZoneName,
    /// The service.
    pub service: ServiceName,
    /// The route.
    pub route: RouteName,
    /// The counts.
    pub counts: RouteCounts,
    /// Whether they go back to before the first reading, so that their moment is not known.
    pub is_older: bool,
}
