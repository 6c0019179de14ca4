//! The identity and addresses of a node.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ids::ServerName;
use crate::ids::ServiceName;
use crate::ids::ZoneName;

/// Identifies one incarnation of a node and holds its listening addresses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Member {
    /// The node's name.
    pub node: NodeName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The backend server beside it, once it has announced itself.
    pub server: Option<ServerName>,
    /// The service of that backend server.
    pub service: Option<ServiceName>,
    /// Where it accepts callers' requests and requests forwarded by other nodes.
    pub traffic: SocketAddr,
    /// Where it receives heartbeats, as datagrams.
    pub heartbeat: SocketAddr,
    /// Where it accepts infrequent calls of other nodes.
    pub control: SocketAddr,
    /// Where it accepts operators' calls.
    pub admin: SocketAddr,
}
