//! Traffic statistics for the control thread.

use quetzalrack_mesh::model::ServerIncarnation;
use quetzalrack_mesh::ownership::KeyLoad;
use quetzalrack_mesh::ownership::NodeLoad;

/// Load measured by the traffic thread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficReport {
    /// The load of the backend server.
    pub load: NodeLoad,
    /// The load of each of its key ranges.
    pub key_loads: Vec<KeyLoad>,
    /// Whether the server's port refuses connections.
    pub server_gone: bool,
    /// The incarnation of the server that is leaving, by its responses.
    pub server_leaving: Option<ServerIncarnation>,
}
