//! What a node knows of itself.

use std::net::SocketAddr;
use std::time::Duration;

use quetzalrack_core::ids::ServiceName;
use quetzalrack_core::ids::ZoneName;

use crate::model::Granting;
use crate::ownership::NodeLife;

/// Is what a node knows of itself at its start.
#[derive(Clone, Debug)]
pub struct NodeProfile {
    /// The node and its process.
    pub life: NodeLife,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where it takes datagrams.
    pub control: SocketAddr,
    /// Where it takes requests from other nodes.
    pub traffic: SocketAddr,
    /// The service of its backend server.
    pub service: ServiceName,
    /// How often its backend server sends a heartbeat.
    pub heartbeat: Duration,
    /// How its backend server is granted keys where its service does not say.
    pub granting: Granting,
    /// Whether its host's link is too narrow to lead where others can.
    pub narrow: bool,
    /// Seeds what is chosen at random.
    pub seed: u64,
}
