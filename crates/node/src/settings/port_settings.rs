//! The ports on which a node listens.

use serde::Deserialize;
use serde::Serialize;

/// A node's ports; zero means any free port, which the `listening` log line reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PortSettings {
    /// HTTP for callers and for requests forwarded by other nodes.
    pub traffic: u16,
    /// Datagrams between nodes.
    pub heartbeat: u16,
    /// JSON-RPC calls between nodes.
    pub control: u16,
    /// HTTP for operators and for the announcements of the backend server beside the node.
    pub admin: u16,
}
