//! A node's heartbeat.

use serde::Deserialize;
use serde::Serialize;

use super::LeaseReport;
use super::LoadReport;
use super::Profile;
use crate::cluster::RoutingVersion;
use crate::ids::Fence;
use crate::ids::Incarnation;
use crate::ids::NodeName;
use crate::ownership::Ballot;

/// Reports a node's leases to the controller; only an answer to a heartbeat grants or renews a
/// lease.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node.
    pub node: NodeName,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// Counts the heartbeats of this incarnation.
    pub number: u64,
    /// The ballot that the node has adopted.
    pub ballot: Ballot,
    /// The round that the node acknowledges as a voter; none while it abstains.
    pub acked: Option<u64>,
    /// The last round that the node received, acknowledged or not; it dates `leases`.
    pub round: u64,
    /// Grants that the backend server confirmed and that are still held.
    pub held: Vec<Fence>,
    /// Grants given back since the last answered heartbeat.
    pub released: Vec<Fence>,
    /// Every lease held, for a controller that has not answered this node yet.
    pub leases: Option<Vec<LeaseReport>>,
    /// The node's profile, for a controller that may not know it.
    pub profile: Option<Profile>,
    /// The node's load; sent less often than heartbeats.
    pub load: Option<LoadReport>,
    /// The version of the node's routing table.
    pub routing: RoutingVersion,
}
