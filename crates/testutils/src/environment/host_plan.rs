//! What one host is to be.

use quetzalrack_core::document::spec::ServiceSpec;
use quetzalrack_core::ids::NodeName;
use quetzalrack_core::ids::ServerName;
use quetzalrack_core::ids::ZoneName;

/// Describes one host: a backend server and the node beside it.
#[derive(Clone, Debug)]
pub struct HostPlan {
    /// The node's name.
    pub node: NodeName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The backend server's name.
    pub server: ServerName,
    /// The backend server's service.
    pub service: ServiceSpec,
}
