//! The line by which a node says where it listens.

use std::net::SocketAddr;

use quetzalrack_core::ids::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// Is the one line that a node prints on standard output, once all its addresses are bound; where
/// the host chose a port, whoever started the process reads it here.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListeningLine {
    /// Always `listening`.
    pub event: String,
    /// The node.
    pub node: NodeName,
    /// Where it takes callers' requests.
    pub traffic: SocketAddr,
    /// Where it takes datagrams of other nodes.
    pub heartbeat: SocketAddr,
    /// Where it takes calls of other nodes.
    pub control: SocketAddr,
    /// Where it takes operators' calls and announcements.
    pub admin: SocketAddr,
}
