//! Where a node listens.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Is the node's `listening` line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct NodeListening {
    /// HTTP for callers.
    pub traffic: SocketAddr,
    /// Datagrams between nodes.
    pub heartbeat: SocketAddr,
    /// Rare calls between nodes.
    pub control: SocketAddr,
    /// HTTP for operators and announcements.
    pub admin: SocketAddr,
}
