//! The fixed properties of a node.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;

use crate::model::Granting;
use crate::ownership::NodeIncarnation;

/// What a node knows of itself at its start.
#[derive(Clone, Debug)]
pub struct NodeProfile {
    /// The node and its process.
    pub incarnation: NodeIncarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it receives datagrams.
    pub control: SocketAddr,
    /// Where it receives requests from other nodes.
    pub traffic: SocketAddr,
    /// The service of its backend server.
    pub service: ServiceName,
    /// Where its backend server listens.
    pub server: SocketAddr,
    /// How often its backend server sends a heartbeat.
    pub heartbeat: Duration,
    /// How keys are granted to its backend server, unless the settings of its service say otherwise.
    pub granting: Granting,
    /// Whether its host's link is so narrow that other nodes are preferred as leader.
    pub narrow_link: bool,
    /// The seed of random choices.
    pub seed: u64,
}
