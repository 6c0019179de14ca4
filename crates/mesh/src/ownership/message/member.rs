//! The description of a node.

use std::net::SocketAddr;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;
use serde::Deserialize;
use serde::Serialize;

use super::NodeIncarnation;
use super::ServerInfo;

/// What a node tells the other nodes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The node and its current process.
    pub incarnation: NodeIncarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it receives datagrams.
    pub control: SocketAddr,
    /// Where it receives requests from other nodes.
    pub traffic: SocketAddr,
    /// The service of its backend server.
    pub service: ServiceName,
    /// Its backend server, if usable.
    pub server: Option<ServerInfo>,
    /// Whether its host's link is so narrow that other nodes are preferred as leader.
    pub narrow_link: bool,
    /// Whether the node is shutting down.
    pub leaving: bool,
}
