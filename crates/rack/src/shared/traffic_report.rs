//! What traffic counts for the control thread.

use quetzalrack_mesh::ownership::KeyLoad;
use quetzalrack_mesh::ownership::NodeLoad;

/// Is one count.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TrafficReport {
    /// The load of the backend server.
    pub load: NodeLoad,
    /// The load of its keys.
    pub key_loads: Vec<KeyLoad>,
    /// Whether its port takes no connections.
    pub server_gone: bool,
}
